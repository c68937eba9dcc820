"""Divides one budget's whole among the relays' sessions, once a beat, at the leading keeper. Pure.

Each relay has its floor without asking; what is divided is `whole - relays * floor`, max-min fair by water
filling (Bertsekas, Gallager, "Data Networks", 1992, section 6.5), in whole numbers, weights equal. What is
left goes by demand beyond what is believed, then as headroom for bursts; a part stays free for newcomers.

Two calls a beat, in this order, for each budget:

    credit = credited(budget, asked, credit)                     # kept by the caller, from beat to beat
    changes = divide(budget, asked, held_by_others, credit)      # for one `Grant`; () where none is worth it

`credit` holds by session how far its word is believed, in parts of a million of an equal part. It begins
whole, is halved in each beat in which a relay leaves idle what it asked for and had, and doubled in each in
which it uses what it has. Beyond that a relay is believed what its use proves. A new leader begins with an
empty one: all are trusted anew, and liars found out within a few beats.

Raises never rest on what is only asked back: their sum with all that is still granted stays within the whole,
so they follow the give-backs by a beat. Both functions take O(n log n) for n sessions.
"""

from collections.abc import Sequence
from math import isqrt
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget

MILLION = 1_000_000
RESERVE = 32  # this part of what is divided stays free, for the first shares of newcomers
RAISE_WORTH = 8  # a raise is worth an entry in the log from this part of the share on, and from its root on:
# counts so small move by chance;
FREED_WORTH = 100  # or if all raises together use this part of what is divided that would lie idle
CUT_WORTH = 4  # a share that nobody waits for is asked back from this part of it on, and twice its root
HEADROOM = 4  # this part of the demand on top, for bursts, of what nobody asks for
GROWTH = 4  # whoever uses its share is believed so many times as much,
SPARE = (3, 2)  # and whoever does not, so much as it uses: more than 1 / FULL_USE, lest shares swing
FULL_USE = (3, 4)  # of what is granted
IDLE = 2  # a relay that uses less than one part in so many of what it asked for and has overstates
LEAST = MILLION // 16  # credit never falls below, so that a relay can prove itself again


class Asked(NamedTuple):
    """What one session holds of a budget and asks of it."""

    session: int
    demand: int  # what it could use in all, its floor included; in the budget's units (`forms.Budget`)
    granted: int  # beside the floor: what it may still use
    wanted: int  # beside the floor: what it is asked to come down to, or `granted`
    used_of: int  # parts in a million of `granted` that it used lately, -1 unknown
    site: str

    def used(self) -> int:
        """Rounded up: one that is used now and then is not idle."""
        return -(-self.granted * max(0, self.used_of) // MILLION)

    def uses_all(self) -> bool:
        return self.used() * FULL_USE[1] >= self.granted * FULL_USE[0] > 0

    def beyond(self, floor: int) -> int:
        return max(0, self.demand - floor)


def divided(budget: Budget) -> int:
    """What there is to share; the floors of all relays that may be alive lie beside."""
    return max(0, budget.whole - budget.relays * budget.floor)


def fill(amount: int, wants: Sequence[int]) -> list[int]:
    """Max-min fair parts of `amount`, none above its want, in whole numbers that add up to
    min(amount, sum(wants)). The remainders of equal parts are all alike: earlier places get them."""
    given, left = [0] * len(wants), max(0, amount)
    order = sorted(range(len(wants)), key=lambda place: (wants[place], place))
    for done, place in enumerate(order):
        part, over = divmod(left, len(order) - done)
        if wants[place] > part:
            for turn, short in enumerate(sorted(order[done:])):
                given[short] = part + (turn < over)
            break
        given[place] = wants[place]
        left -= wants[place]
    return given


def credited(budget: Budget, asked: Sequence[Asked], credit: dict[int, int]) -> dict[int, int]:
    """The credit after this beat, of the sessions in `asked` alone; `credit` itself stays as it is."""
    after = {}
    for one in sorted(asked):
        had, used = min(one.beyond(budget.floor), one.granted), one.used()
        before = credit.get(one.session, MILLION)
        # A few too many are told by chance: whoever is near idle must not be slow when it has demand.
        if one.used_of >= 0 and had > IDLE * used + isqrt(had) + 1:
            before = max(LEAST, before // 2)
        elif one.used_of >= 0 and one.uses_all():
            before = min(MILLION, before * 2)
        after[one.session] = before
    return after


def targets(budget: Budget, asked: Sequence[Asked], room: int, credit: dict[int, int]) -> list[int]:
    """The shares there would be if moving them cost nothing, in the order of `asked`, which settles ties."""
    asks = [one.beyond(budget.floor) for one in asked]
    equal = room // max(1, len(asked))
    trusted = [credit.get(one.session, MILLION) == MILLION for one in asked]
    believed = [
        min(ask, max(1, _proven(one), equal * credit.get(one.session, MILLION) // MILLION))
        for ask, one in zip(asks, asked, strict=True)
    ]
    shares = fill(room, believed)
    for beyond in (
        [ask - known for ask, known in zip(asks, believed, strict=True)],
        [ask // HEADROOM for ask in asks],
    ):
        wants = [want if sure else 0 for want, sure in zip(beyond, trusted, strict=True)]
        shares = [share + more for share, more in zip(shares, fill(room - sum(shares), wants), strict=True)]
    return shares


def divide(
    budget: Budget, asked: tuple[Asked, ...], held_by_others: int, credit: dict[int, int]
) -> tuple[tuple[int, int], ...]:
    """The changes worth making: session and share, by session. `held_by_others`: what sessions that are not
    in `asked` may still use. Where parts are equal, the remainder goes first to the most credit, then to who
    is to have the most already, then to the lower session."""
    asked = tuple(
        sorted(asked, key=lambda one: (-credit.get(one.session, MILLION), -one.wanted, one.session))
    )
    room, reserve = divided(budget) - held_by_others, divided(budget) // RESERVE
    aims = targets(budget, asked, max(0, room - reserve), credit)
    free = room - sum(one.granted for one in asked)
    shares = [one.wanted for one in asked]
    raises = _raises(asked, aims)
    _cut(asked, aims, shares, sum(raises.values()) + reserve - free)
    _cut_unasked(budget, asked, aims, shares, free - reserve, room)
    for newcomers, kept_free in ((True, 0), (False, reserve)):
        places = [place for place in raises if newcomers == (not asked[place].granted)]
        given = fill(free - kept_free, [raises[place] for place in places])
        free -= sum(given)
        for place, more in zip(places, given, strict=True):
            shares[place] = max(shares[place], min(aims[place], asked[place].granted + more))
    _use_freed(budget, asked, aims, shares, free - reserve, room)
    return tuple(
        sorted((one.session, share) for one, share in zip(asked, shares, strict=True) if share != one.wanted)
    )


def _proven(one: Asked) -> int:
    if one.uses_all():
        return GROWTH * one.used()
    return one.used() * SPARE[0] // SPARE[1]


def _raises(asked: Sequence[Asked], aims: Sequence[int]) -> dict[int, int]:
    """By place: what raises that are worth it take beside what is granted. A first share always is."""
    return {
        place: max(0, aim - one.granted)
        for place, (one, aim) in enumerate(zip(asked, aims, strict=True))
        if aim - one.wanted >= max(1, isqrt(one.wanted), one.wanted // RAISE_WORTH)
    }


def _cut(asked: Sequence[Asked], aims: Sequence[int], shares: list[int], need: int) -> None:
    """Asks back what is far too much, and, where others wait for `need`, as much as pays for it: the largest
    excess first, so that few are asked. What is asked back already counts."""
    need -= sum(one.granted - one.wanted for one in asked)
    excess = sorted(
        (place for place, one in enumerate(asked) if one.wanted > aims[place]),
        key=lambda place: (aims[place] - asked[place].wanted, place),
    )
    for place in excess:
        over = shares[place] - aims[place]
        far = over >= max(2 * isqrt(shares[place]), shares[place] // CUT_WORTH)
        back = over if far else max(0, min(over, need))
        shares[place] -= back
        need -= back


def _cut_unasked(
    budget: Budget, asked: Sequence[Asked], aims: Sequence[int], shares: list[int], free: int, room: int
) -> None:
    """Single tokens that nobody asks for any more, of relays near idle, are each too little to pay for a
    raise. All together, and with what is free, they may be worth what `_use_freed` gives from there."""
    short = sum(_short(budget, asked, aims, shares))
    idle = [place for place, one in enumerate(asked) if one.beyond(budget.floor) < 1 <= shares[place]]
    if idle and min(short, free + sum(shares[place] for place in idle)) * FREED_WORTH >= max(1, room):
        for place in idle:
            shares[place] = 0


def _short(budget: Budget, asked: Sequence[Asked], aims: Sequence[int], shares: Sequence[int]) -> list[int]:
    """What each could use beyond the share that it is to have, of those that are to give nothing back."""
    return [
        max(0, min(aim, one.beyond(budget.floor)) - share) if share >= one.granted else 0
        for one, aim, share in zip(asked, aims, shares, strict=True)
    ]


def _use_freed(
    budget: Budget, asked: Sequence[Asked], aims: Sequence[int], shares: list[int], free: int, room: int
) -> None:
    """What lies idle goes to whoever is short, however little to each, if it is worth it all together. Nobody
    is asked to give anything back for it, so it can't swing."""
    given = fill(free, _short(budget, asked, aims, shares))
    if sum(given) * FREED_WORTH >= max(1, room):
        for place, more in enumerate(given):
            shares[place] += more
