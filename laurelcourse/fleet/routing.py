"""How an order reaches the leader, from its client and at a keeper that does not lead. Pure.

A client turns to the leader itself. Only if it cannot reach that one does it ask another keeper to forward
its order; a keeper forwards to the leader without that request, so an order passes at most one other keeper,
and never goes in a circle. Whether an order counts once does not depend on its route: its mark ensures that.
"""

from collections.abc import Collection
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.orders import Answer


def forward_target(requested: bool, answer: Answer, me: str, keepers: Collection[str]) -> str:
    """Returns to whom this keeper forwards an order, after its own answer to it; '' for nobody.

    Only `not_leader` means that nothing was, or will be, done with the order here.
    """
    if not requested or not isinstance(answer, Done) or answer.code != "not_leader":
        return ""
    leader = dict(answer.told).get("leader", "")
    return leader if leader in keepers and leader != me else ""


def forward_timeout(left: int | None, max_timeout: int) -> int:
    """Returns how many microseconds forwarding may take.

    `left`: how long the client waits (None: unknown); an eighth of it is kept for the way back. 0: too short,
    the client would not get the answer.
    """
    return max(max_timeout if left is None else min(left * 7 // 8, max_timeout), 0)


class Attempt(NamedTuple):
    """Which keeper an order goes to next; `hand_on`: it is asked to forward it if it does not lead."""

    keeper: str
    hand_on: bool = False


class LeaderRoutes:
    """Which keeper one process takes for the leader, and how its orders reach it.

    Threads share it without a lock: each change is one assignment, each read takes one value, and at worst an
    attempt is wasted on what another thread has just found out.
    """

    def __init__(self, names: tuple[str, ...], last_index: int, retry_after: int) -> None:
        """`last_index`: the keeper before the first one tried. `retry_after`: microseconds for which an
        unreachable leader is not tried directly.
        """
        self.names, self.last_index, self.retry_after = names, last_index, retry_after
        self.leader = ""  # '': unknown
        self.via = ""  # the keeper that last named the leader, or forwarded an order to it
        self.retry_at: dict[str, int] = {}  # when an unreachable keeper is tried again

    def first(self, now: int) -> Attempt:
        """Returns the first attempt for an order."""
        leader = self.leader
        return Attempt(leader) if leader and not self._is_unreachable(now, leader) else self._alternative(now)

    # After an attempt: the next one. `by`: who answered, if the keeper forwarded the order.

    def unheard(self, now: int, attempt: Attempt) -> Attempt:
        """The keeper did not answer."""
        self.retry_at[attempt.keeper] = now + self.retry_after
        self._forget_via(attempt)
        return self._alternative(now)

    def not_leader(self, now: int, attempt: Attempt, hint: str, by: str = "") -> Attempt:
        """The keeper does not lead; `hint` is whom it takes for the leader."""
        self.retry_at.pop(attempt.keeper, None)
        if hint not in self.names:
            # A keeper that is cut off itself does not know better; the last known leader may still lead.
            self.leader = self.leader if attempt.hand_on and not by else ""
            self._forget_via(attempt)
            return self._alternative(now)
        self.leader = hint
        if attempt.hand_on:
            self._forget_via(attempt)
        else:
            self.via = attempt.keeper
        return Attempt(hint) if not self._is_unreachable(now, hint) else self._alternative(now)

    def elsewhere(self, now: int, attempt: Attempt, code: str, by: str = "") -> Attempt:
        """The keeper refused, and another one, or the same one later, may not."""
        self.retry_at.pop(attempt.keeper, None)
        if code == "overloaded":
            return attempt
        if by or not attempt.hand_on:
            self.leader = ""
        self._forget_via(attempt)
        return self._alternative(now)

    def answered(self, attempt: Attempt, by: str = "") -> None:
        """The order was answered."""
        self.retry_at.pop(attempt.keeper, None)
        self.leader = by if by in self.names else attempt.keeper
        self.via = attempt.keeper if by else self.via

    def _forget_via(self, attempt: Attempt) -> None:
        if attempt.keeper == self.via:
            self.via = ""

    def _alternative(self, now: int) -> Attempt:
        """Returns a keeper that can forward, if one is known; otherwise one that may lead."""
        leader, via = self.leader, self.via
        unreachable = leader and self._is_unreachable(now, leader)
        return Attempt(via, True) if unreachable and via not in ("", leader) else self._next(now)

    def _is_unreachable(self, now: int, name: str) -> bool:
        return now < self.retry_at.get(name, now)

    def _next(self, now: int) -> Attempt:
        """Takes the keepers in turn; skips an unreachable leader while another one may forward to it."""
        leader = self.leader
        skipped = leader if leader and self._is_unreachable(now, leader) else ""
        for _ in self.names:
            self.last_index = index = (self.last_index + 1) % len(self.names)
            name = self.names[index]
            if name != skipped or all(self._is_unreachable(now, other) for other in self.names):
                break
        return Attempt(name, bool(skipped) and name != skipped)
