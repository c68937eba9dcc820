"""By check of `lab keepers`, how the guard that it watches is taken out, in this process, and put back."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from laurelcourse.fleet.books import apply
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.core import Core
from laurelcourse.fleet.keeper.stale_disk import NO_MARK, Marks
from laurelcourse.fleet.session import Session

Put = Callable[[Any, str, Any], Any]  # in the place of what is there, which it gives back


@contextlib.contextmanager
def out(name: str) -> Iterator[None]:
    """Without the guard of this name; '' takes none out."""
    undo: list[tuple[Any, str, Any]] = []

    def put(where: Any, what: str, instead: Any) -> Any:  # noqa: ANN401
        undo.append((where, what, getattr(where, what)))
        setattr(where, what, instead)
        return undo[-1][2]

    try:
        if name:
            GUARDS[name](put)
        yield
    finally:
        for where, what, before in reversed(undo):
            setattr(where, what, before)


def _elects_itself(put: Put) -> None:
    """One vote is enough, its own."""

    def alone(self: Core, now: int) -> None:
        if self._is_trial:
            self._campaign(now, trial=False)
        else:
            self._lead(now)

    put(Core, "_count_votes", alone)


def _votes_for_any(put: Put) -> None:
    """A keeper whose log is behind may be elected."""
    put(Core, "_is_up_to_date", lambda *_: True)


def _commits_alone(put: Put) -> None:
    """What the leader holds counts as committed, whoever else holds it."""
    put(Core, "_quorum_value", lambda self, mine, theirs: mine)


def _own_time(put: Put) -> None:
    """Each keeper's own clock enters its books, not the time in the batch."""

    def by_own(self: Coordinator, now: int, entry: Any) -> Any:  # noqa: ANN401
        decode = self.decode
        self.decode = lambda data: decode(data)._replace(at=now)
        try:
            return books(self, now, entry)
        finally:
            self.decode = decode

    books = put(Coordinator, "_apply_batch", by_own)


def _reads_unconfirmed(put: Put) -> None:
    """Whoever believes that it leads answers reads at once."""

    def read(self: Core, now: int, token: int) -> Any:  # noqa: ANN401
        if self.role != "leader":
            return self._refuse(token, "not_leader")
        self._confirmed_reads.append((token, self.commit))
        return self._take_out()

    put(Core, "read", read)


def _lease_unlooked(put: Put) -> None:
    """A holder uses its shares without a look at its lease."""
    put(Session, "_in_lease", lambda self, now: self.granted_at is not None)


def _marks_forgotten(put: Put) -> None:
    put(Marks, "of", lambda *_: NO_MARK)


def _refusals_raised(put: Put) -> None:
    """A command that the books refuse is an exception."""
    put(apply, "FleetError", ())


GUARDS: dict[str, Callable[[Put], None]] = {
    "two_leaders_in_a_term": _elects_itself,
    "logs_differ": _votes_for_any,
    "committed_lost": _commits_alone,
    "states_differ": _own_time,
    "not_linearizable": _reads_unconfirmed,
    "over_whole": _lease_unlooked,
    "older_disk_voted": _marks_forgotten,
    "module_faults": _refusals_raised,
}
