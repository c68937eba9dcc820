"""One budget at one relay: what the relay may consume now, and what it reports to the keepers. Pure.

A relay may always use its floor, and beside it its share while its lease holds. Each `consume` checks the
lease as of its own time, so a relay that resumes after a pause is down to its floor at the first call.

- RATE: a token bucket that fills by floor + share per second and holds a quarter of a second's worth, at
  least one. It starts empty, a raise adds nothing to it, and a lower share discards what it no longer holds.
  So the buckets of the fleet together hold at most a quarter of the whole (or one each), and all relays
  together consume at most whole * t and that in any time t. More than a bucket holds can't be consumed at
  once.
- COUNT: at most floor + share in any `window`; what was consumed counts whatever becomes of the share.
- LEVEL: nothing is consumed while floor + share is held; what is held beyond is not revoked, only released.
"""

from collections import deque
from typing import NamedTuple

from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget
from laurelcourse.fleet.orders import Share

MILLION = 1_000_000
SECOND = 1_000_000  # microseconds
BURST_DIVISOR = 4  # a bucket holds one part in so many of a second's worth
SLICES = 16  # parts of a budget's unit of time: a second, or a COUNT's window


class ChangeTest(NamedTuple):
    """When the latest slices alone are reported as demand: if they differ by more than chance explains.

    The thresholds are multiples of the mean count, for the square of the difference. In a short time a rise
    needs more than a fall: few events that coincide are many at once, while no count is below zero.
    """

    slices: int
    rise_threshold: int
    fall_threshold: int


CHANGE_TESTS = (
    ChangeTest(SLICES // 4, 16, 8),
    ChangeTest(SLICES // 2, 16, 8),
    ChangeTest(SLICES, 4, 4),
)


class Slice:
    """What happened in one slice of time."""

    __slots__ = ("consumed", "consumed_with_share", "peak", "refused", "share_span", "share_time")

    def __init__(self, peak: int) -> None:
        self.consumed = 0
        self.refused = 0
        self.peak = peak  # of a LEVEL: the most that was held at once
        self.consumed_with_share = 0
        self.share_span = 0  # microseconds with a share
        self.share_time = 0  # share * microseconds


class RecentSlices:
    """The last two units of time in slices; the latest is not over yet."""

    __slots__ = ("last", "length", "slices")

    def __init__(self, unit: int) -> None:
        """`unit` is in microseconds."""
        self.length = max(1, unit // SLICES)
        self.last = 0
        self.slices: deque[Slice] = deque([Slice(0)], 2 * SLICES + 1)

    def begin(self, now: int) -> None:
        """Starts at a time; what was before is unknown, not a time without demand."""
        self.last = now // self.length

    def at(self, now: int, held: int) -> Slice:
        """Returns the slice of a time, after adding those that began since."""
        number = now // self.length
        for _ in range(min(number - self.last, 2 * SLICES + 1)):
            self.slices.append(Slice(held))
        self.last = max(self.last, number)
        return self.slices[-1]

    def add_share(self, since: int, to: int, share: int) -> None:
        """Records that there was a share from `since` until `to`, which lies in the latest slice."""
        start = self.last * self.length
        for entry in reversed(self.slices):
            part = to - max(since, start)
            entry.share_span += part
            entry.share_time += share * part
            to, start = start, start - self.length
            if to <= since:
                break

    def known_time(self, now: int) -> int:
        """Returns the time since the oldest slice began; `now` lies in the latest."""
        return now - (self.last - len(self.slices) + 1) * self.length

    def last_unit(self) -> list[Slice]:
        """Returns the slices of the last unit of time and the one that is not over."""
        return list(self.slices)[-SLICES - 1 :]


class BudgetUse:
    """One budget at one relay. Amounts are whole, in the budget's units.

    Times are microseconds of the relay's monotonic clock, by which `until` is given; one that runs back is
    treated as standing still.
    """

    __slots__ = (
        "at",
        "bucket",
        "budget",
        "closed_until",
        "counted",
        "give_back_settled",
        "given_back_to",
        "granted",
        "held",
        "latest_until",
        "recent",
        "remainder",
        "until",
        "wanted",
        "window",
    )

    def __init__(self, budget: Budget, closed_until: int = 0) -> None:
        """Nothing is consumed before `closed_until`.

        For a COUNT of which an earlier process of this relay may just have used the floor, it is the end of
        a window from this process's start.
        """
        self.budget = budget
        self.closed_until = closed_until
        self.granted = 0
        self.wanted = 0
        self.until = 0
        self.latest_until = 0
        self.at = -1  # the latest time; -1: none yet
        self.given_back_to: int | None = None  # what the relay has said that it keeps of its share
        self.give_back_settled = 0  # a renewal good until then knows the give-back; 0: not answered yet
        self.bucket = 0  # RATE: millionths
        self.window: deque[tuple[int, int]] = deque()  # COUNT: times and amounts
        self.counted = 0  # COUNT: the sum of `window`
        self.held = 0  # LEVEL
        self.recent = RecentSlices(budget.window if budget.kind == COUNT else SECOND)
        self.remainder = 0  # millionths of the demand that are not reported yet

    def set_share(self, now: int, share: Share | None, until: int) -> None:
        """Applies the share that a renewal returned, valid until then; None if it named none.

        A renewal that was requested before a known one (an earlier `until`) is ignored. With None and 0 the
        session is over.
        """
        self._advance(now)
        if until and until < self.latest_until:
            return
        self.granted, self.wanted = (share.granted, share.wanted) if share is not None else (0, 0)
        self.until = until
        self.latest_until = max(until, self.latest_until)
        if not until or (self.give_back_settled and until >= self.give_back_settled):
            self.given_back_to = None
            self.give_back_settled = 0

    def consume(self, now: int, amount: int = 1, *, usable: bool) -> bool:
        """Consumes an amount if it may be used now, and returns whether it did.

        `usable` is what `Session.is_usable` returns at this moment. Call once for each thing to be done: a
        refused amount counts as demand.
        """
        if not usable:
            # It is unknown since when the session is not usable: since the last call, then.
            self.until = min(self.until, self.at)
        now = self._advance(now)
        current = self.recent.at(now, self.held)
        fits = now >= self.closed_until and self._fits(amount)
        if fits:
            self._count(now, amount)
            current.consumed += amount
            current.consumed_with_share += amount if self.allowed(now) > self.budget.floor else 0
            current.peak = max(current.peak, self.held)
        else:
            current.refused += amount
        return fits

    def allows(self, now: int, amount: int = 1, *, usable: bool) -> bool:
        """Returns what `consume` would return.

        It may be called often: a refusal counts as demand once per slice of time.
        """
        if not usable:
            self.until = min(self.until, self.at)
        now = self._advance(now)
        fits = now >= self.closed_until and self._fits(amount)
        current = self.recent.at(now, self.held)
        if not fits and not current.refused:
            current.refused = amount
        return fits

    def release(self, now: int, amount: int = 1) -> None:
        """Releases an amount of a LEVEL. Raises ValueError if less is held, a fault of the caller."""
        if not 0 <= amount <= self.held:
            raise ValueError(f"{self.budget.name}: {amount} given back of {self.held} held")
        self._advance(now)
        self.held -= amount

    def allowed(self, now: int) -> int:
        """Returns floor and share: per second (RATE), in any window (COUNT), at once (LEVEL)."""
        return self.budget.floor + (self._share() if now < self.until else 0)

    def demand(self, now: int) -> int:
        """Returns what this relay could use in all, its floor included; to be called once per renewal.

        It is the mean of the last two units of time, as far as they are known; but that of a later part
        alone if it differs by more than chance explains. What rounding leaves of the mean is added the next
        time. Without a floor the least demand counts as one, or it would never be served.
        """
        self._advance(now)
        if self.budget.kind == LEVEL:
            recent = self.recent.last_unit()
            return max(entry.peak for entry in recent) + sum(entry.refused for entry in recent)
        counts = [entry.consumed + entry.refused for entry in self.recent.slices]
        total = sum(counts)
        unit = self.recent.length * SLICES
        known = max(self.recent.known_time(self.at), unit)
        for test in CHANGE_TESTS:
            # The latest slice is not over: only whole ones are compared.
            times = SLICES // test.slices
            count = sum(counts[-test.slices - 1 : -1])
            difference = count * times * known - total * unit  # both multiplied by `known`
            threshold = test.rise_threshold if difference > 0 else test.fall_threshold
            if difference**2 > threshold * total * unit * times * known:
                return count * times
        mean, self.remainder = divmod(total * unit * MILLION // known + self.remainder, MILLION)
        return max(mean, 1) if total and not self.budget.floor else mean

    def used_ppm(self, now: int) -> int:
        """Returns how many millionths of the share were used recently; -1: unknown.

        The share is what is granted now or what was granted on average, whichever is less: the use of a
        share that changed is not known yet.
        """
        self._advance(now)
        slices = self.recent.slices
        share_time = sum(entry.share_time for entry in slices)
        span = sum(entry.share_span for entry in slices)
        if not share_time or span < self.recent.length:
            return -1
        floor = self.budget.floor
        unit = self.recent.length * SLICES
        if self.budget.kind == LEVEL:
            used = max(0, max(entry.peak for entry in slices) - floor) * span
        else:
            used = max(0, sum(entry.consumed_with_share for entry in slices) * unit - floor * span)
        return min(MILLION, used * MILLION // max(1, min(share_time, self.granted * span)))

    def give_back(self, now: int) -> int | None:
        """Returns what this relay keeps if it has something to give back, once; else None.

        The caller sends it by `GiveBack`, and again with the same mark while its fate is unknown. From now on
        no more than that is used, whatever share is set, until the books have answered and a later read of
        them is applied: otherwise a raise that crosses the give-back would be used after it was given away.
        """
        self._advance(now)
        if now >= self.until or self.given_back_to is not None:
            return None
        keeps = self._share()
        if self.budget.kind == LEVEL:
            keeps = max(keeps, min(self.granted, self.held - self.budget.floor))
        if keeps >= self.granted:
            return None
        self.given_back_to = keeps
        return keeps

    def give_back_answered(self, after: int) -> None:
        """Records that the books have just accepted or refused the give-back.

        `after` is until when a renewal requested now would be valid (now + `Terms.holder_lease()`): one that
        is valid for less may have been read before the answer.
        """
        if self.given_back_to is not None:
            self.give_back_settled = after

    def _share(self) -> int:
        share = min(self.granted, self.wanted)
        return share if self.given_back_to is None else min(share, self.given_back_to)

    def _fits(self, amount: int) -> bool:
        if self.budget.kind == RATE:
            return amount * MILLION <= self.bucket
        return (self.counted if self.budget.kind == COUNT else self.held) + amount <= self.allowed(self.at)

    def _count(self, now: int, amount: int) -> None:
        if self.budget.kind == RATE:
            self.bucket -= amount * MILLION
        elif self.budget.kind == COUNT:
            self.window.append((now, amount))
            self.counted += amount
        else:
            self.held += amount

    def _advance(self, now: int) -> int:
        """Brings everything that depends on time up to now; a lease counts until its end."""
        if self.at < 0:
            self.at = now  # nothing is credited for the time before: a bucket starts empty
            self.recent.begin(now)
        if self.at < self.until <= now:
            self._advance_within_share(self.until)
        self._advance_within_share(max(now, self.at))
        while self.window and self.window[0][0] <= self.at - self.budget.window:
            self.counted -= self.window.popleft()[1]
        return self.at

    def _advance_within_share(self, to: int) -> None:
        """Advances by a time in which the share does not change."""
        allowed = self.allowed(self.at)
        elapsed = to - self.at
        if self.budget.kind == RATE:
            self.bucket = min(self._bucket_size(allowed), self.bucket + allowed * elapsed)
        self.recent.at(to, self.held)
        if allowed > self.budget.floor and elapsed:
            self.recent.add_share(self.at, to, allowed - self.budget.floor)
        self.at = to

    @staticmethod
    def _bucket_size(allowed: int) -> int:
        """Returns what a bucket holds, in millionths."""
        return max(MILLION, allowed * MILLION // BURST_DIVISOR) if allowed else 0
