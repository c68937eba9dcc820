"""Which way an order takes to the leader, at its asker and at a keeper that does not lead: pure, no I/O.

An asker turns to the leader itself. Only if that one is not heard does it ask another keeper to hand its
order on; who hands on asks the leader with no such wish, so an order goes over one other keeper at most, and
never in a circle. Whether an order counts once is no matter of its way: its mark sees to it.
"""

from collections.abc import Collection
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.orders import Answer


def leader_for(wished: bool, answer: Answer, me: str, keepers: Collection[str]) -> str:
    """To whom this keeper hands an order on, after its own answer to it; '': to nobody. Only a `not_leader`
    says that nothing was done with the order here, nor will be."""
    if not wished or not isinstance(answer, Done) or answer.code != "not_leader":
        return ""
    leader = dict(answer.told).get("leader", "")
    return leader if leader in keepers and leader != me else ""


def time_for(left: int | None, most: int) -> int:
    """Microseconds that handing on may take, where the asker waits `left` more (None: no end told): an eighth
    of it stays for the way back. 0: none, the asker would not hear of it."""
    return max(most if left is None else min(left * 7 // 8, most), 0)


class Try(NamedTuple):
    """Whom an order goes to next; `hand_on`: that one is asked to hand it on if it does not lead."""

    keeper: str
    hand_on: bool = False


class Routes:
    """Whom one process takes for the leader, and how its orders go there. Its threads share it without a
    lock: each change is one assignment, each look takes one value, and what another thread has just found
    out costs a try at most."""

    def __init__(self, names: tuple[str, ...], turn: int, rest: int) -> None:
        """`turn`: the keeper before the first one tried. `rest`: microseconds for which nobody turns to an
        unheard leader by itself."""
        self.names, self.turn, self.rest = names, turn, rest
        self.leader = ""  # '': not known
        self.via = ""  # who named it, or handed an order on to it, last
        self.rests: dict[str, int] = {}  # when a keeper that was not heard is tried again

    def first(self, now: int) -> Try:
        leader = self.leader
        return Try(leader) if leader and not self._resting(now, leader) else self._other(now)

    # What came of a try, and whose turn it is. `by`: who answered, if the keeper tried handed the order on.

    def unheard(self, now: int, tried: Try) -> Try:
        self.rests[tried.keeper] = now + self.rest
        self._not_by(tried)
        return self._other(now)

    def not_leader(self, now: int, tried: Try, hint: str, by: str = "") -> Try:
        self.rests.pop(tried.keeper, None)
        if hint not in self.names:
            # One that is cut off itself knows no better; who was heard of last may lead on.
            self.leader = self.leader if tried.hand_on and not by else ""
            self._not_by(tried)
            return self._other(now)
        self.leader = hint
        if tried.hand_on:
            self._not_by(tried)
        else:
            self.via = tried.keeper
        return Try(hint) if not self._resting(now, hint) else self._other(now)

    def elsewhere(self, now: int, tried: Try, code: str, by: str = "") -> Try:
        """A refusal after which another keeper, or the same one later, may do better."""
        self.rests.pop(tried.keeper, None)
        if code == "overloaded":
            return tried
        if by or not tried.hand_on:
            self.leader = ""
        self._not_by(tried)
        return self._other(now)

    def answered(self, tried: Try, by: str = "") -> None:
        self.rests.pop(tried.keeper, None)
        self.leader = by if by in self.names else tried.keeper
        self.via = tried.keeper if by else self.via

    def _not_by(self, tried: Try) -> None:
        if tried.keeper == self.via:
            self.via = ""

    def _other(self, now: int) -> Try:
        """To be handed on if somebody can; otherwise to whoever may lead."""
        leader, via = self.leader, self.via
        rests = leader and self._resting(now, leader)
        return Try(via, True) if rests and via not in ("", leader) else self._next(now)

    def _resting(self, now: int, name: str) -> bool:
        return now < self.rests.get(name, now)

    def _next(self, now: int) -> Try:
        """In turn. A leader that rests is passed over as long as there is one that may hand on to it."""
        leader = self.leader
        past = leader if leader and self._resting(now, leader) else ""
        for _ in self.names:
            self.turn = turn = (self.turn + 1) % len(self.names)
            name = self.names[turn]
            if name != past or all(self._resting(now, one) for one in self.names):
                break
        return Try(name, bool(past) and name != past)
