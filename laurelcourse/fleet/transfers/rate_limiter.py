"""Rate limits of one transfer: the sender keeps to what is reserved, the receiver refuses what exceeds it.

Credit is counted in micro-bytes (a byte a second for a microsecond is one), so nothing is rounded and nothing
drifts. What a pause left unsent is not made up for: later bytes above the rate would take others' capacity.
"""

from collections.abc import Iterable

from laurelcourse.fleet.books.forms import Stretch

MILLION = 1_000_000
SENDER_BURST_US = 50_000  # of its rate that a sender may send at once

# Of its rate that may arrive at once: delays on the way add to the sender's bursts.
RECEIVER_SLACK_US = 200_000
RECEIVER_MIN_MESSAGES = 4

NEVER_US = 1 << 62

RateSteps = tuple[tuple[int, int], ...]  # from when on (microseconds), bytes a second


def rate_steps(pieces: Iterable[Stretch], slice_us: int) -> RateSteps:
    """Returns the rate of all pieces together, in order of time."""
    deltas: dict[int, int] = {}
    for piece in pieces:
        first_us = piece.first * slice_us
        until_us = piece.until * slice_us
        deltas[first_us] = deltas.get(first_us, 0) + piece.rate
        deltas[until_us] = deltas.get(until_us, 0) - piece.rate
    rate = 0
    steps = []
    for at in sorted(deltas):
        rate += deltas[at]
        steps.append((at, rate))
    return tuple(steps)


class RateLimiter:
    """A token bucket that fills at the reserved rate.

    It holds `burst` microseconds of that rate, and at least `min_bytes` while anything is reserved, since a
    message must fit; `message` bytes are added to it: with room for a single message, the time by which the
    sender is late with each one would be lost. Times must not go back; one that does adds nothing.
    """

    __slots__ = ("_at", "_credit", "_steps", "burst", "message", "min_bytes")

    def __init__(
        self,
        steps: RateSteps,
        now: int,
        burst: int = SENDER_BURST_US,
        min_bytes: int = 0,
        message: int = 0,
    ) -> None:
        self._steps = steps
        self._at = now
        self._credit = 0  # micro-bytes
        self.burst = burst
        self.min_bytes = min_bytes
        self.message = message

    def _max_credit(self, rate: int) -> int:
        if not rate:
            return 0
        return max(rate * self.burst, self.min_bytes * MILLION) + self.message * MILLION

    def _fill(self, now: int) -> None:
        if now <= self._at:
            return
        for (begin, rate), (end, _) in zip(self._steps, [*self._steps[1:], (now, 0)], strict=True):
            since, until = max(begin, self._at), min(end, now)
            if since < until:
                # What a fast stretch left over would be far too much at once in a slow one.
                self._credit = min(self._max_credit(rate), self._credit + rate * (until - since))
        self._at = now

    def available(self, now: int) -> int:
        """Returns how many bytes may pass now."""
        self._fill(now)
        return max(0, self._credit // MILLION)

    def take(self, now: int, size: int) -> bool:
        """Returns whether so many bytes may pass now; only then are they counted."""
        if not 0 <= size <= self.available(now):
            return False
        self._credit -= size * MILLION
        return True

    def due(self, now: int, size: int) -> int:
        """Returns when so many bytes may pass if no others do; 0 for never."""
        self._fill(now)
        credit = self._credit
        ends = [*self._steps[1:], (NEVER_US, 0)]
        for (begin, rate), (end, _) in zip(self._steps, ends, strict=True):
            since, max_credit = max(begin, now), self._max_credit(rate)
            if since >= end or not rate:
                credit = credit if since >= end else 0
                continue
            credit = min(credit, max_credit)
            at = since + max(0, -(-(size * MILLION - credit) // rate))
            if size * MILLION <= max_credit and at < end:
                return at
            credit = min(max_credit, credit + rate * (end - since))
        return 0


def sender_limiter(pieces: Iterable[Stretch], slice_us: int, now: int, message: int) -> RateLimiter:
    """Returns the limiter of a sender whose messages have up to `message` bytes."""
    return RateLimiter(rate_steps(pieces, slice_us), now, SENDER_BURST_US, 0, message)


def receiver_limiter(pieces: Iterable[Stretch], slice_us: int, now: int, message: int) -> RateLimiter:
    """Returns the limiter of a receiver, which refuses what exceeds the rate by more than its slack.

    The slack is RECEIVER_SLACK_US of the rate, or RECEIVER_MIN_MESSAGES messages. Stretches begin that much
    earlier and end that much later by the receiver's clock: delays and clocks may differ by so much.
    """
    steps = rate_steps(pieces, slice_us)
    widened: list[tuple[int, int]] = []
    for index, (at, rate) in enumerate(steps):
        rate_before = steps[index - 1][1] if index else 0
        widened.append((at - RECEIVER_SLACK_US if rate > rate_before else at + RECEIVER_SLACK_US, rate))
    ordered: list[tuple[int, int]] = []
    for at, rate in widened:
        # Of changes closer to each other than the slack the later one counts; times stay in order.
        ordered.append((max(at, ordered[-1][0]) if ordered else max(0, at), rate))
    return RateLimiter(tuple(ordered), now, RECEIVER_SLACK_US, RECEIVER_MIN_MESSAGES * message)
