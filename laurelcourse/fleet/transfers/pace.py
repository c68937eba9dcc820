"""Pacing of one transfer: the sender keeps to what is reserved, the receiver refuses what goes beyond.

Counted in micro-bytes (a byte a second for a microsecond is one), so nothing is rounded and nothing drifts.
What a pause left unsent is not made up for: later bytes above the rate would be others' bytes.
"""

from collections.abc import Iterable

from laurelcourse.fleet.books.forms import Stretch

MICRO = 1_000_000
BURST = 50_000  # microseconds of its rate that a sender may send at once
SLACK = 200_000  # microseconds of its rate that may come at once: the way's bursts add to the sender's


def rates(pieces: Iterable[Stretch], slice_us: int) -> tuple[tuple[int, int], ...]:
    """From when on (microseconds) how many bytes a second, over all pieces together, in order of time."""
    deltas: dict[int, int] = {}
    for one in pieces:
        deltas[one.first * slice_us] = deltas.get(one.first * slice_us, 0) + one.rate
        deltas[one.until * slice_us] = deltas.get(one.until * slice_us, 0) - one.rate
    rate, found = 0, []
    for at in sorted(deltas):
        rate += deltas[at]
        found.append((at, rate))
    return tuple(found)


class Pace:
    """A bucket that fills at the reserved rate and holds `burst` microseconds of it, and `least` bytes at the
    least while anything is reserved: a message must fit. `message` bytes come on top of it: where the bucket
    holds one message alone, all that the sender is late with each of them would be lost. Times must not run
    backwards; one that does adds nothing."""

    __slots__ = ("_at", "_credit", "_steps", "burst", "least", "message")

    def __init__(
        self,
        steps: tuple[tuple[int, int], ...],
        now: int,
        burst: int = BURST,
        least: int = 0,
        message: int = 0,
    ) -> None:
        self._steps, self._at, self._credit = steps, now, 0
        self.burst, self.least, self.message = burst, least, message

    def _most(self, rate: int) -> int:
        return max(rate * self.burst, self.least * MICRO) + self.message * MICRO if rate else 0

    def _fill(self, now: int) -> None:
        if now <= self._at:
            return
        for (begin, rate), (end, _) in zip(self._steps, [*self._steps[1:], (now, 0)], strict=True):
            since, until = max(begin, self._at), min(end, now)
            if since < until:
                # What a fast stretch left over would be far too much at once in a slow one.
                self._credit = min(self._most(rate), self._credit + rate * (until - since))
        self._at = now

    def room(self, now: int) -> int:
        """Bytes that may go (or come) now."""
        self._fill(now)
        return max(0, self._credit // MICRO)

    def take(self, now: int, size: int) -> bool:
        """Whether so many bytes may go (or come) now; if so they are counted, else nothing is."""
        if not 0 <= size <= self.room(now):
            return False
        self._credit -= size * MICRO
        return True

    def due(self, now: int, size: int) -> int:
        """When so many bytes may go, if nothing else does; 0 when never."""
        self._fill(now)
        credit, last = self._credit, [*self._steps[1:], (1 << 62, 0)]
        for (begin, rate), (end, _) in zip(self._steps, last, strict=True):
            since, most = max(begin, now), self._most(rate)
            if since >= end or not rate:
                credit = credit if since >= end else 0
                continue
            credit = min(credit, most)
            at = since + max(0, -(-(size * MICRO - credit) // rate))
            if size * MICRO <= most and at < end:
                return at
            credit = min(most, credit + rate * (end - since))
        return 0


def sender(pieces: Iterable[Stretch], slice_us: int, now: int, least: int) -> Pace:
    return Pace(rates(pieces, slice_us), now, BURST, 0, least)


def receiver(pieces: Iterable[Stretch], slice_us: int, now: int, least: int) -> Pace:
    """More than rate * time + SLACK of the rate (or four messages of `least`) is refused. Its stretches begin
    SLACK early and end SLACK late by its own clock: the way and the clocks may differ by so much."""
    steps = rates(pieces, slice_us)
    wide: list[tuple[int, int]] = []
    for place, (at, rate) in enumerate(steps):
        before = steps[place - 1][1] if place else 0
        wide.append((at - SLACK if rate > before else at + SLACK, rate))
    made: list[tuple[int, int]] = []
    for at, rate in wide:
        # Changes nearer than SLACK to each other: the later one holds, time stays in order.
        made.append((max(at, made[-1][0]) if made else max(0, at), rate))
    return Pace(tuple(made), now, SLACK, 4 * least)
