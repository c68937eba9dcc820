"""The holder's side of one budget: what a relay may take now, and what it tells the keepers. Pure.

A relay may use its floor always, and beside it its share while its lease holds. Each `take` looks at the
lease as of then, so a relay that wakes from a pause falls to its floor in the first `take`.

- RATE: a token bucket filled at floor + share a second, that holds BURST of a second's worth, at least one.
  It begins empty, a raise adds nothing to it, and a lower share spills it: so all buckets of the fleet
  together hold at most BURST of the whole (or one each), and what is taken in any time t by all relays is at
  most whole * t and that. More than a bucket holds can never be taken at once.
- COUNT: at most floor + share in any `window`; what was taken counts on whatever becomes of the share.
- LEVEL: nothing is taken while floor + share is held; what is held beyond is not taken away, only given back.
"""

from collections import deque

from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget
from laurelcourse.fleet.orders import Share

MILLION = 1_000_000
SECOND = 1_000_000
BURST = 4  # a bucket holds one part in so many of a second's worth
SLICES = 16  # of the time that a budget's units are told in: a second, or a COUNT's window
# Slices of a later part of it, and how many times the mean of its count the square of a difference is that
# chance does not make: of a rise, of a fall. Few events that fall together by chance are many at once, while
# none can be less than none: in a short part a rise needs more, or chance alone would raise what is told.
CHANGED = (SLICES // 4, 16, 8), (SLICES // 2, 16, 8), (SLICES, 4, 4)


class Slice:
    """What happened in one part of the time lately."""

    __slots__ = ("offered", "peak", "refused", "span", "taken", "used")

    def __init__(self, peak: int) -> None:
        self.taken = self.refused = 0
        self.peak = peak  # of a LEVEL, held at once
        self.used = 0  # taken while there was a share,
        self.span = 0  # in so many microseconds
        self.offered = 0  # share * microseconds


class Lately:
    """The last two units of time, by slices; the latest is not over yet."""

    __slots__ = ("last", "length", "slices")

    def __init__(self, unit: int) -> None:
        self.length, self.last = max(1, unit // SLICES), 0
        self.slices: deque[Slice] = deque([Slice(0)], 2 * SLICES + 1)

    def begin(self, now: int) -> None:
        """Of the time before nothing is known: it is not a time without demand."""
        self.last = now // self.length

    def at(self, now: int, held: int) -> Slice:
        number = now // self.length
        for _ in range(min(number - self.last, 2 * SLICES + 1)):
            self.slices.append(Slice(held))
        self.last = max(self.last, number)
        return self.slices[-1]

    def offer(self, since: int, to: int, share: int) -> None:
        """Between the two there was this share; `to` lies in the latest slice."""
        start = self.last * self.length
        for one in reversed(self.slices):
            part = to - max(since, start)
            one.span += part
            one.offered += share * part
            to, start = start, start - self.length
            if to <= since:
                break

    def known(self, now: int) -> int:
        """How long it is since the oldest slice began; `now` lies in the latest."""
        return now - (self.last - len(self.slices) + 1) * self.length

    def unit(self) -> list[Slice]:
        return list(self.slices)[-SLICES - 1 :]


class Use:
    """One budget at one relay. Times: microseconds of the relay's monotonic clock, the one that `until` is
    told by; one that runs back is taken to stand still. Amounts: whole, in the budget's units."""

    __slots__ = (
        "at",
        "bucket",
        "budget",
        "closed_until",
        "counted",
        "granted",
        "held",
        "lately",
        "left",
        "newest",
        "settled",
        "until",
        "wanted",
        "window",
        "word",
    )

    def __init__(self, budget: Budget, closed_until: int = 0) -> None:
        """`closed_until`: nothing is taken before. For a COUNT of which an earlier process of this relay may
        have used the floor just now: the end of a window from its start."""
        self.budget, self.closed_until = budget, closed_until
        self.granted = self.wanted = self.until = 0
        self.newest, self.at = 0, -1  # the latest `until` told; -1: not looked at yet
        self.word: int | None = None  # given: what this relay has said that it keeps,
        self.settled = 0  # until it is told something that is good for so long; 0: not answered
        self.bucket = 0  # RATE: millionths
        self.window: deque[tuple[int, int]] = deque()  # COUNT: when, how much
        self.counted = self.held = 0  # COUNT: the sum of `window`; LEVEL
        self.lately = Lately(budget.window if budget.kind == COUNT else SECOND)
        self.left = 0  # millionths of the demand that are not told yet

    def told(self, now: int, share: Share | None, until: int) -> None:
        """What a renewal brought, good until then: a share, or None if it named none. A renewal asked earlier
        than one that is known (an earlier `until`) is passed over. None and 0: the session is over."""
        self._advance(now)
        if until and until < self.newest:
            return
        self.granted, self.wanted = (share.granted, share.wanted) if share is not None else (0, 0)
        self.until, self.newest = until, max(until, self.newest)
        if not until or (self.settled and until >= self.settled):
            self.word, self.settled = None, 0

    def take(self, now: int, amount: int = 1, *, usable: bool) -> bool:
        """Whether so much may be used now; if so it counts as used. `usable`: what `Session.usable` says at
        this moment. Ask once for each thing to be done: what is refused counts as demand."""
        if not usable:
            # Nothing shows how long since it has not been: since the last look, then.
            self.until = min(self.until, self.at)
        now = self._advance(now)
        lately, took = self.lately.at(now, self.held), now >= self.closed_until and self._fits(amount)
        if took:
            self._count(now, amount)
            lately.taken += amount
            lately.used += amount if self.allowed(now) > self.budget.floor else 0
            lately.peak = max(lately.peak, self.held)
        else:
            lately.refused += amount
        return took

    def could(self, now: int, amount: int = 1, *, usable: bool) -> bool:
        """Whether `take` would say yes. One who only looks may look often: a no counts as demand once in a
        slice of the time."""
        if not usable:
            self.until = min(self.until, self.at)
        now = self._advance(now)
        fits, lately = now >= self.closed_until and self._fits(amount), self.lately.at(now, self.held)
        if not fits and not lately.refused:
            lately.refused = amount
        return fits

    def back(self, now: int, amount: int = 1) -> None:
        """Of a LEVEL: so much is held no longer. ValueError if so much is not held: a fault of the caller."""
        if not 0 <= amount <= self.held:
            raise ValueError(f"{self.budget.name}: {amount} given back of {self.held} held")
        self._advance(now)
        self.held -= amount

    def allowed(self, now: int) -> int:
        """Floor and share as of now; a second (RATE), in any window (COUNT), at once (LEVEL)."""
        return self.budget.floor + (self._share() if now < self.until else 0)

    def demand(self, now: int) -> int:
        """What this relay could use in all, floor included: the mean of the last two units of time, as far as
        they are known; but a later part of them alone where that differs by more than chance explains. To be
        asked once a beat: what whole numbers leave over of the mean is told the next time. Without a floor
        even the least demand wants one, or it would never be served."""
        self._advance(now)
        if self.budget.kind == LEVEL:
            unit = self.lately.unit()
            return max(one.peak for one in unit) + sum(one.refused for one in unit)
        counts = [one.taken + one.refused for one in self.lately.slices]
        total, unit = sum(counts), self.lately.length * SLICES
        known = max(self.lately.known(self.at), unit)
        for slices, rise, fall in CHANGED:
            # The latest slice is not over: a part of the time is only what is whole.
            times, count = SLICES // slices, sum(counts[-slices - 1 : -1])
            more = count * times * known - total * unit  # both by `known`
            if more**2 > (rise if more > 0 else fall) * total * unit * times * known:
                return count * times
        mean, self.left = divmod(total * unit * MILLION // known + self.left, MILLION)
        return max(mean, 1) if total and not self.budget.floor else mean

    def used_of(self, now: int) -> int:
        """Parts in a million of what was granted beside the floor that were used lately; -1: unknown. Of what
        is granted now or was on the mean, whichever is less: a share that changed shows nothing yet."""
        self._advance(now)
        slices = self.lately.slices
        offered, span = sum(one.offered for one in slices), sum(one.span for one in slices)
        if not offered or span < self.lately.length:
            return -1
        floor, unit = self.budget.floor, self.lately.length * SLICES
        if self.budget.kind == LEVEL:
            used = max(0, max(one.peak for one in slices) - floor) * span
        else:
            used = max(0, sum(one.used for one in slices) * unit - floor * span)
        return min(MILLION, used * MILLION // max(1, min(offered, self.granted * span)))

    def keeps(self, now: int) -> int | None:
        """What to say by `GiveBack`, once, or None. Whoever asks sends it, and again by the same mark while
        its fate is unknown. From here on no more is used, whatever is told, until the books have answered it
        and a later look at them is told: else a raise that crosses the word would be used after it was given
        away."""
        self._advance(now)
        if now >= self.until or self.word is not None:
            return None
        least = self._share()
        if self.budget.kind == LEVEL:
            least = max(least, min(self.granted, self.held - self.budget.floor))
        if least >= self.granted:
            return None
        self.word = least
        return least

    def given(self, after: int) -> None:
        """The books have answered the word, by yes or no, just now. `after`: until when a renewal asked now
        would be good (now + `Terms.holds()`): one that is good for less may have been read before."""
        if self.word is not None:
            self.settled = after

    def _share(self) -> int:
        share = min(self.granted, self.wanted)
        return share if self.word is None else min(share, self.word)

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
        """Carries all that time changes on to now; a lease that ended on the way counts up to its end."""
        if self.at < 0:
            self.at = now  # the time before is nobody's: a bucket begins empty
            self.lately.begin(now)
        if self.at < self.until <= now:
            self._pass(self.until)
        self._pass(max(now, self.at))
        while self.window and self.window[0][0] <= self.at - self.budget.window:
            self.counted -= self.window.popleft()[1]
        return self.at

    def _pass(self, to: int) -> None:
        allowed, gone = self.allowed(self.at), to - self.at
        if self.budget.kind == RATE:
            self.bucket = min(self._holds(allowed), self.bucket + allowed * gone)
        self.lately.at(to, self.held)
        if allowed > self.budget.floor and gone:
            self.lately.offer(self.at, to, allowed - self.budget.floor)
        self.at = to

    @staticmethod
    def _holds(allowed: int) -> int:
        return max(MILLION, allowed * MILLION // BURST) if allowed else 0
