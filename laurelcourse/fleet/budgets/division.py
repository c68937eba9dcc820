"""Divides a budget among the sessions of the relays, at each interval of the leading keeper. Pure.

Each relay has its floor without asking; `whole - relays * floor` is divided: max-min fair by water filling
(Bertsekas, Gallager, "Data Networks", 1992, section 6.5), in whole numbers, with equal weights. The rest goes
to demand beyond what is trusted, then to headroom for bursts; a reserve stays free for sessions that join.

Two calls per interval and budget, in this order:

    credit = update_credit(budget, demands, credit)               # kept by the caller between intervals
    changes = divide(budget, demands, held_by_others, credit)     # for one `Grant`; () if none is worth it

`credit` says for each session how far its demand is trusted, in millionths of an equal share. It starts at
MILLION, is halved in each interval in which a relay does not use what it asked for and was granted, and
doubled in each in which it uses all it has. Beyond its credit a relay is trusted with what its use proves.
A new leader starts without credit entries: all are trusted again, and false demands are detected within a few
intervals.

Raises never rely on what is only asked back: their sum with all that is still granted stays within the whole,
so they follow the give-backs by one interval. Both functions take O(n log n) for n sessions.
"""

from collections.abc import Sequence
from math import isqrt
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget

MILLION = 1_000_000

# Parts of what is divided: one in so many.
RESERVE_DIVISOR = 32  # stays free, for the first shares of sessions that join
FREED_DIVISOR = 100  # small raises out of idle capacity are worth a log entry if together they use this much

# A raise is worth a log entry from this part of the share on, and from the share's root on: smaller
# differences are within the variation of a count.
RAISE_DIVISOR = 8

# A share that nobody waits for is asked back if its excess is this part of it, and twice its root.
CUT_DIVISOR = 4

# Of capacity that no demand claims, each session gets this part of its demand on top, for bursts.
HEADROOM_DIVISOR = 4

# A session that uses its share fully is trusted with so many times its use.
GROWTH_FACTOR = 4

# A share counts as fully used from 3/4 on.
FULL_USE_NUMERATOR = 3
FULL_USE_DENOMINATOR = 4

# A session that does not is trusted with 3/2 of its use: above the inverse of full use, or shares oscillate.
SPARE_NUMERATOR = 3
SPARE_DENOMINATOR = 2

# A session that uses less than half of what it asked for and was granted overstates its demand.
OVERSTATED_FACTOR = 2

# Above zero, so that a session can prove itself again.
MIN_CREDIT = MILLION // 16


class SessionDemand(NamedTuple):
    """What one session holds of a budget and asks of it, in the budget's units."""

    session: int
    demand: int  # what it could use in all, its floor included
    granted: int  # above the floor: what it may still use
    wanted: int  # above the floor: what it is asked to come down to, or `granted`
    used_ppm: int  # millionths of `granted` that it used recently; -1: unknown
    site: str

    def used(self) -> int:
        """Returns the used amount, rounded up: a share that is used now and then is not idle."""
        return -(-self.granted * max(0, self.used_ppm) // MILLION)

    def is_fully_used(self) -> bool:
        """Returns whether the session uses so much of its share that its demand may be larger."""
        return self.used() * FULL_USE_DENOMINATOR >= self.granted * FULL_USE_NUMERATOR > 0

    def above_floor(self, floor: int) -> int:
        """Returns the demand that the floor does not cover."""
        return max(0, self.demand - floor)


def divisible(budget: Budget) -> int:
    """Returns what is divided: the whole without the floors of all relays that may be alive."""
    return max(0, budget.whole - budget.relays * budget.floor)


def water_fill(amount: int, wants: Sequence[int]) -> list[int]:
    """Returns max-min fair parts of `amount`, none above its want.

    They are whole numbers with the sum min(amount, sum(wants)). The remainder of equal parts goes to those
    that come first.
    """
    parts = [0] * len(wants)
    left = max(0, amount)
    order = sorted(range(len(wants)), key=lambda index: (wants[index], index))
    for done, index in enumerate(order):
        part, remainder = divmod(left, len(order) - done)
        if wants[index] > part:
            for position, unfilled in enumerate(sorted(order[done:])):
                parts[unfilled] = part + (position < remainder)
            break
        parts[index] = wants[index]
        left -= wants[index]
    return parts


def update_credit(budget: Budget, demands: Sequence[SessionDemand], credit: dict[int, int]) -> dict[int, int]:
    """Returns the credit after this interval, for the sessions in `demands` alone."""
    updated = {}
    for entry in sorted(demands):
        claimed = min(entry.above_floor(budget.floor), entry.granted)
        used = entry.used()
        session_credit = credit.get(entry.session, MILLION)
        # The root allows for chance: a session near idle may claim a few too many without losing credit.
        if entry.used_ppm >= 0 and claimed > OVERSTATED_FACTOR * used + isqrt(claimed) + 1:
            session_credit = max(MIN_CREDIT, session_credit // 2)
        elif entry.used_ppm >= 0 and entry.is_fully_used():
            session_credit = min(MILLION, session_credit * 2)
        updated[entry.session] = session_credit
    return updated


def target_shares(
    budget: Budget, demands: Sequence[SessionDemand], room: int, credit: dict[int, int]
) -> list[int]:
    """Returns the shares as they would be if changes cost nothing; the order of `demands` settles ties."""
    asks = [entry.above_floor(budget.floor) for entry in demands]
    equal_share = room // max(1, len(demands))
    fully_trusted = [credit.get(entry.session, MILLION) == MILLION for entry in demands]
    trusted_asks = [
        min(ask, max(1, _proven(entry), equal_share * credit.get(entry.session, MILLION) // MILLION))
        for ask, entry in zip(asks, demands, strict=True)
    ]
    shares = water_fill(room, trusted_asks)
    for extra in (
        [ask - trusted for ask, trusted in zip(asks, trusted_asks, strict=True)],
        [ask // HEADROOM_DIVISOR for ask in asks],
    ):
        wants = [want if trusted else 0 for want, trusted in zip(extra, fully_trusted, strict=True)]
        additions = water_fill(room - sum(shares), wants)
        shares = [share + addition for share, addition in zip(shares, additions, strict=True)]
    return shares


def divide(
    budget: Budget, demands: tuple[SessionDemand, ...], held_by_others: int, credit: dict[int, int]
) -> tuple[tuple[int, int], ...]:
    """Returns the changes worth making: session and new share, by session.

    `held_by_others` is what sessions that are not in `demands` may still use. Where parts are equal, the
    remainder goes first to the session with the most credit, then to the one with the largest share, then to
    the lower number.
    """
    demands = tuple(
        sorted(
            demands,
            key=lambda entry: (-credit.get(entry.session, MILLION), -entry.wanted, entry.session),
        )
    )
    room = divisible(budget) - held_by_others
    reserve = divisible(budget) // RESERVE_DIVISOR
    targets = target_shares(budget, demands, max(0, room - reserve), credit)
    free = room - sum(entry.granted for entry in demands)
    shares = [entry.wanted for entry in demands]
    raises = _raises(demands, targets)
    _cut_excess(demands, targets, shares, sum(raises.values()) + reserve - free)
    _cut_unclaimed(budget, demands, targets, shares, free - reserve, room)
    for joining, kept_free in ((True, 0), (False, reserve)):
        chosen = [index for index in raises if joining == (not demands[index].granted)]
        parts = water_fill(free - kept_free, [raises[index] for index in chosen])
        free -= sum(parts)
        for index, part in zip(chosen, parts, strict=True):
            shares[index] = max(shares[index], min(targets[index], demands[index].granted + part))
    _use_idle(budget, demands, targets, shares, free - reserve, room)
    return tuple(
        sorted(
            (entry.session, share)
            for entry, share in zip(demands, shares, strict=True)
            if share != entry.wanted
        )
    )


def _proven(entry: SessionDemand) -> int:
    """Returns the demand that a session's use proves, whatever its credit."""
    if entry.is_fully_used():
        return GROWTH_FACTOR * entry.used()
    return entry.used() * SPARE_NUMERATOR // SPARE_DENOMINATOR


def _raises(demands: Sequence[SessionDemand], targets: Sequence[int]) -> dict[int, int]:
    """Returns, by index, what raises that are worth it take beyond what is granted.

    A first share is always worth it.
    """
    return {
        index: max(0, target - entry.granted)
        for index, (entry, target) in enumerate(zip(demands, targets, strict=True))
        if target - entry.wanted >= max(1, isqrt(entry.wanted), entry.wanted // RAISE_DIVISOR)
    }


def _cut_excess(
    demands: Sequence[SessionDemand], targets: Sequence[int], shares: list[int], need: int
) -> None:
    """Asks back large excess, and as much more as `need`, which others wait for, requires.

    The largest excess comes first, so that few sessions are asked. What is already asked back counts.
    """
    need -= sum(entry.granted - entry.wanted for entry in demands)
    with_excess = sorted(
        (index for index, entry in enumerate(demands) if entry.wanted > targets[index]),
        key=lambda index: (targets[index] - demands[index].wanted, index),
    )
    for index in with_excess:
        excess = shares[index] - targets[index]
        is_large = excess >= max(2 * isqrt(shares[index]), shares[index] // CUT_DIVISOR)
        cut = excess if is_large else max(0, min(excess, need))
        shares[index] -= cut
        need -= cut


def _cut_unclaimed(
    budget: Budget,
    demands: Sequence[SessionDemand],
    targets: Sequence[int],
    shares: list[int],
    free: int,
    room: int,
) -> None:
    """Asks back small shares that idle relays no longer claim, if this is worth it for all of them together.

    Each alone is too little to pay for a raise; together with what is free they may be worth what
    `_use_idle` gives out of them.
    """
    shortfall = sum(_shortfalls(budget, demands, targets, shares))
    unclaimed = [
        index for index, entry in enumerate(demands) if entry.above_floor(budget.floor) < 1 <= shares[index]
    ]
    if unclaimed and min(shortfall, free + sum(shares[index] for index in unclaimed)) * FREED_DIVISOR >= max(
        1, room
    ):
        for index in unclaimed:
            shares[index] = 0


def _shortfalls(
    budget: Budget, demands: Sequence[SessionDemand], targets: Sequence[int], shares: Sequence[int]
) -> list[int]:
    """Returns what each session could use above its new share; 0 for those that are asked to give back."""
    return [
        max(0, min(target, entry.above_floor(budget.floor)) - share) if share >= entry.granted else 0
        for entry, target, share in zip(demands, targets, shares, strict=True)
    ]


def _use_idle(
    budget: Budget,
    demands: Sequence[SessionDemand],
    targets: Sequence[int],
    shares: list[int],
    free: int,
    room: int,
) -> None:
    """Gives idle capacity to sessions with a shortfall, however little to each, if it is worth it in all.

    Nobody is asked to give anything back for it, so that shares can't oscillate.
    """
    parts = water_fill(free, _shortfalls(budget, demands, targets, shares))
    if sum(parts) * FREED_DIVISOR >= max(1, room):
        for index, part in enumerate(parts):
            shares[index] += part
