"""Guards of keepers by check of `lab keepers`, and how each is removed, in this process, and put back."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from laurelcourse.fleet.books import apply
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.core import Core
from laurelcourse.fleet.keeper.messages import LEADER, Entry
from laurelcourse.fleet.keeper.stale_disk import NO_MARK, Marks
from laurelcourse.fleet.orders import Acts
from laurelcourse.fleet.session import Session

Replace = Callable[[Any, str, Any], Any]  # of an owner's attribute by a value; returns the former value


@contextlib.contextmanager
def without_guard(name: str) -> Iterator[None]:
    """Removes the guard of this name for a while; '' removes none."""
    former: list[tuple[Any, str, Any]] = []

    def replace(owner: Any, attribute: str, value: Any) -> Any:  # noqa: ANN401
        former.append((owner, attribute, getattr(owner, attribute)))
        setattr(owner, attribute, value)
        return former[-1][2]

    try:
        if name:
            GUARDS[name](replace)
        yield
    finally:
        for owner, attribute, value in reversed(former):
            setattr(owner, attribute, value)


def _elect_alone(replace: Replace) -> None:
    """One vote is enough, the candidate's own."""

    def count_votes(self: Core, now: int) -> None:
        if self._is_trial:
            self._campaign(now, trial=False)
        else:
            self._lead(now)

    replace(Core, "_count_votes", count_votes)


def _vote_for_any_log(replace: Replace) -> None:
    """A keeper whose log is behind may be elected."""
    replace(Core, "_is_up_to_date", lambda *_: True)


def _commit_alone(replace: Replace) -> None:
    """What the leader holds counts as committed, whoever else holds it."""
    replace(Core, "_quorum_value", lambda self, mine, theirs: mine)


def _apply_at_own_time(replace: Replace) -> None:
    """Each keeper's own clock enters its books, not the time in the batch."""

    def apply_batch(self: Coordinator, now: int, entry: Entry) -> Any:  # noqa: ANN401
        decode = self.decode
        self.decode = lambda data: decode(data)._replace(at=now)
        try:
            return former(self, now, entry)
        finally:
            self.decode = decode

    former = replace(Coordinator, "_apply_batch", apply_batch)


def _read_unconfirmed(replace: Replace) -> None:
    """Whoever believes that it leads answers reads at once."""

    def read(self: Core, now: int, token: int) -> Acts:
        if self.role != LEADER:
            return self._refuse(token, "not_leader")
        self._confirmed_reads.append((token, self.commit))
        return self._take_out()

    replace(Core, "read", read)


def _ignore_lease(replace: Replace) -> None:
    """A holder uses its shares without checking its lease."""
    replace(Session, "_in_lease", lambda self, now: self.granted_at is not None)


def _forget_marks(replace: Replace) -> None:
    """A keeper does not remember what others have held."""
    replace(Marks, "of", lambda *_: NO_MARK)


def _raise_refusals(replace: Replace) -> None:
    """A command that the books refuse is an exception."""
    replace(apply, "FleetError", ())


GUARDS: dict[str, Callable[[Replace], None]] = {
    "two_leaders_in_a_term": _elect_alone,
    "logs_differ": _vote_for_any_log,
    "committed_lost": _commit_alone,
    "states_differ": _apply_at_own_time,
    "not_linearizable": _read_unconfirmed,
    "over_whole": _ignore_lease,
    "older_disk_voted": _forget_marks,
    "module_faults": _raise_refusals,
}
