"""Which orphans a relay asks the books for: spread evenly, at a bounded pace. No I/O.

Each orphan has its own order of the live sessions (rendezvous hashing: Thaler, Ravishankar 1998), the same at
every relay. The first in it asks at once; each one after it a while later, in case the first is crowded or
paused. Who gets it, whatever two relays think, is for the books: only one names the owner they have.
"""

from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Adopt
from laurelcourse.prng import hash_pair


class Pace(NamedTuple):
    most: int  # asked for in one `every`
    every: int  # microseconds
    held: int  # workflows in flight that a relay may own and still ask
    patience: int  # after which the next in an orphan's order asks too
    looked: int = 512  # orphans whose order is worked out in one call: each takes all live sessions


def weight(workflow: int, session: int) -> int:
    """Of a session for a workflow. `hashed` is linear, which would give neighbours in number one order: its
    bits are folded between two rounds."""
    one = hash_pair(workflow, session)
    two = hash_pair(one ^ one >> 15, session)
    return hash_pair(two ^ two >> 13, workflow)


def rank(workflow: int, live: Iterable[int], me: int) -> int:
    """How many come before me."""
    mine = weight(workflow, me), me
    return sum((weight(workflow, one), one) > mine for one in live if one != me)


class Takeover:
    __slots__ = ("_asked", "_begun", "_live", "_pace", "_ranks", "_seen")

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._seen: dict[tuple[int, int], int] = {}  # when an orphan was first seen here
        self._begun, self._asked = 0, 0
        self._live: tuple[int, ...] = ()
        self._ranks: dict[int, int] = {}  # of me, for each orphan, among these live ones

    def due(self) -> int:
        return self._begun + self._pace.every

    def take(
        self, now: int, orphans: tuple[tuple[int, int], ...], live: tuple[int, ...], me: int, held: int
    ) -> tuple[Adopt, ...]:
        """`orphans`: number and former owner, of the books; `held`: how many I own; call only with a usable
        lease."""
        if now >= self._begun + self._pace.every:
            self._begun, self._asked = now, 0
        self._seen = {one: self._seen.get(one, now) for one in orphans}
        self._rank(orphans, live, me)
        room = min(self._pace.most - self._asked, self._pace.held - held)
        wanted = []
        for one, former in orphans:
            if len(wanted) >= room or one not in self._ranks:
                break
            waited = (now - self._seen[one, former]) // self._pace.patience
            if self._ranks[one] <= waited:
                wanted.append(Adopt(one, former))
        self._asked += len(wanted)
        return tuple(wanted)

    def _rank(self, orphans: tuple[tuple[int, int], ...], live: tuple[int, ...], me: int) -> None:
        if self._live != (me, *live):
            self._live, self._ranks = (me, *live), {}
        known = {one: self._ranks[one] for one, _ in orphans if one in self._ranks}
        new = (one for one, _ in orphans if one not in known)
        self._ranks = known | {one: rank(one, live, me) for one in islice(new, self._pace.looked)}
