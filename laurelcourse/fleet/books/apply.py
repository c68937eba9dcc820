"""The fleet's replicated state machine ("books"): deterministic, applied to the keepers' log.

All keepers apply the same batches in the same order and reach the same state, whatever the batches hold: a
command that can't be applied is refused with its error's code and changes nothing.
"""

import json
from hashlib import blake2b
from typing import NamedTuple

from laurelcourse.fleet.books import budgets, reservations, sessions, workflows
from laurelcourse.fleet.books.forms import (
    Adopt,
    Batch,
    Begin,
    Budget,
    Close,
    Command,
    Define,
    Done,
    Fence,
    GiveBack,
    Grant,
    Intend,
    Lapse,
    Leave,
    Limits,
    Link,
    Open,
    Result,
    Settle,
    Site,
)
from laurelcourse.fleet.books.state import PastSession, Scope, Session, State
from laurelcourse.fleet.errors import (
    DamagedBooksError,
    FleetError,
    OutOfOrderError,
    UnknownCommandError,
    UnreadableError,
)

SNAPSHOT_VERSION = 1
HASH_BYTES = 8
MAX_QUOTED_CHARACTERS = 80  # of a fault, in an error

WORKFLOW_COMMANDS = (Begin, Intend, Result, Leave, Settle, Adopt)
LEADER_COMMANDS = (Lapse, Define, Grant, Limits, *reservations.LEADER_COMMANDS)
SESSION_COMMANDS = (Close, GiveBack, *WORKFLOW_COMMANDS, *reservations.SESSION_COMMANDS)


class LiveSession(NamedTuple):
    """A live session as the leader sees it."""

    number: int
    name: str
    site: str
    opened_index: int  # of the log entry that opened it
    fence: Fence


class Books:
    """The state machine."""

    def __init__(self) -> None:
        self._state = State()

    @property
    def time(self) -> int:
        """The state machine's time in microseconds, which only batches move on."""
        return self._state.time

    @property
    def index(self) -> int:
        """The index of the entry applied last."""
        return self._state.index

    def apply(self, index: int, batch: Batch) -> tuple[Done, ...]:
        """Applies a batch and returns the results of its commands, in order.

        Raises ValueError for an entry that has been applied.
        """
        if index <= self._state.index:
            raise ValueError(f"entry {index} after {self._state.index}: applied twice")
        self._state.index = index
        self._state.time = max(self._state.time, batch.at)
        budgets.release_pending(self._state)
        workflows.forget_ended(self._state)
        reservations.expire(self._state)
        return tuple(self._apply_command(batch.term, command) for command in batch.commands)

    def _apply_command(self, term: int, command: Command) -> Done:
        try:
            if type(command) is not Command:
                raise UnreadableError("command", fault="its form")
            kind = type(command.what)
            if kind is Open:
                return Done(sessions.open_session(self._state, term, command.what, command.mark))
            if kind in LEADER_COMMANDS or (kind is Adopt and command.fence is None):
                return self._apply_leader_command(command)
            if kind in SESSION_COMMANDS:
                return self._apply_session_command(command)
            raise UnknownCommandError("command", kind=kind.__name__.lower())
        except FleetError as error:
            return _refused(error)

    def _apply_leader_command(self, command: Command) -> Done:
        state, what = self._state, command.what
        if command.fence is not None:
            raise OutOfOrderError("command", state="asked by a relay", order=type(what).__name__.lower())
        match what:
            case Lapse():
                self._end_session(sessions.session_to_lapse(state, what), budgets.LAPSED)
            case Define():
                budgets.define(state, what)
            case Grant():
                budgets.grant(state, what)
            case Limits():
                workflows.set_limits(state, what)
            case Adopt():
                return Done(workflows.adopt(state, what, what.to))
            case _ if type(what) in reservations.LEADER_COMMANDS:
                return Done(reservations.apply_leader_command(state, what))
        return Done()

    def _apply_session_command(self, command: Command) -> Done:
        state, what = self._state, command.what
        session = sessions.check_fence(state, command.fence)
        result = sessions.known_result(session, command)
        if result is not None:
            return result
        if type(what) is Close:
            self._end_session(session, budgets.CLOSED)
            return Done()
        try:
            if type(what) in WORKFLOW_COMMANDS:
                result = Done(workflows.apply_command(state, session, what))
            elif type(what) in reservations.SESSION_COMMANDS:
                result = Done(reservations.apply_session_command(state, session, what))
            else:
                result = Done((budgets.give_back(state, session, what),))
        except FleetError as error:
            result = _refused(error)
        sessions.remember_result(session, command.mark, result)
        return result

    def _end_session(self, session: Session, reason: str) -> None:
        budgets.release(self._state, session, reason)
        reservations.orphan_jobs(self._state, session)
        sessions.end_session(self._state, session)

    # Sessions

    def sessions(self) -> tuple[LiveSession, ...]:
        """Returns the live sessions, by number."""
        live_sessions = self._state.live_sessions
        return tuple(_live_session(live_sessions[number]) for number in sorted(live_sessions))

    def session(self, name: str) -> LiveSession | None:
        """Returns the live session of this name."""
        return self.session_by_number(self._state.session_by_name.get(name, 0))

    def session_by_number(self, number: int) -> LiveSession | None:
        """Returns the live session of this number."""
        session = self._state.live_sessions.get(number)
        return _live_session(session) if session else None

    def fence_refusal(self, fence: Fence) -> Done | None:
        """Returns why the sender with this fence may not act; None if it may."""
        try:
            sessions.check_fence(self._state, fence)
        except FleetError as error:
            return _refused(error)
        return None

    # Budgets

    def budgets(self) -> tuple[Budget, ...]:
        """Returns the budgets of the last Define."""
        return tuple(self._state.budgets.values())

    def budget(self, scope: str) -> Budget | None:
        """Returns the rules of `name` or `name/key`, also of a removed budget that is still in use."""
        known = self._state.removed_budgets | self._state.budgets
        return known.get(budgets.budget_name(scope))

    def scopes(self) -> tuple[str, ...]:
        """Returns the budgets (`name` or `name/key`) of which anything is in use."""
        return tuple(sorted(self._state.scopes))

    def shares(self, scope: str) -> tuple[tuple[int, int, int], ...]:
        """Returns the shares of a scope: session, granted, wanted."""
        shares = self._state.scopes[scope].shares if scope in self._state.scopes else {}
        return tuple((session, *shares[session]) for session in sorted(shares))

    def session_shares(self, session: int) -> tuple[tuple[str, int, int], ...]:
        """Returns the shares of a session: scope, granted, wanted."""
        live = self._state.live_sessions.get(session)
        scopes = sorted(live.scopes) if live else ()
        return tuple((scope, *self._state.scopes[scope].shares[session]) for scope in scopes)

    def pending(self, scope: str) -> int:
        """Returns what nobody has a share of, but may still be in use."""
        record = self._state.scopes.get(scope)
        return record.pending_amount() if record else 0

    # Workflows

    def workflow(self, number: int) -> workflows.WorkflowView | None:
        """Returns a workflow."""
        workflow = self._state.workflows.by_number.get(number)
        return workflows.view(workflow) if workflow else None

    def workflow_by_mark(self, tenant: str, mark: str) -> workflows.WorkflowView | None:
        """Returns the workflow that this mark of a client began."""
        return self.workflow(self._state.workflows.by_mark.get((tenant, mark), 0))

    def workflows_owned_by(self, session: int) -> tuple[int, ...]:
        """Returns the numbers of the workflows in flight that a session owns."""
        in_flight = self._state.workflows.in_flight
        return tuple(number for number in sorted(in_flight) if in_flight[number].owner == session)

    def orphaned_workflows(self) -> tuple[tuple[int, int], ...]:
        """Returns number and former owner of each workflow in flight whose owner's session has ended."""
        in_flight = self._state.workflows.in_flight
        return tuple(
            (number, in_flight[number].owner)
            for number in sorted(in_flight)
            if in_flight[number].owner not in self._state.live_sessions
        )

    def workflow_limits(self) -> Limits:
        """Returns the limits on workflows."""
        return self._state.workflows.limits

    def workflows_behind(self) -> int:
        """Returns how many workflows are undoing or stuck."""
        return self._state.workflows.behind

    # Transfers

    def jobs(self) -> tuple[reservations.JobView, ...]:
        """Returns the jobs that have not ended, by name."""
        return reservations.job_views(self._state)

    def job_end(self, job: str) -> str:
        """Returns how a job ended; empty if it did not, or if that is forgotten."""
        return self._state.transfers.ended.get(job, ("", 0))[0]

    def resources(self) -> tuple[str, ...]:
        """Returns links (`a>b`) and sites (`a`), by name."""
        return reservations.resources(self._state)

    def free_capacity(self, resource: str, first: int, until: int) -> tuple[int, ...]:
        """Returns what is free in each slice from `first` to before `until`; below 0 where over-reserved."""
        return reservations.free_capacity(self._state, resource, first, until)

    def places(self) -> tuple[tuple[Link, ...], tuple[Site, ...]]:
        """Returns the links and sites of the last Places."""
        transfers = self._state.transfers
        return tuple(transfers.links.values()), tuple(transfers.sites.values())

    def over_reserved(self) -> tuple[str, ...]:
        """Returns the resources of which more is reserved than there is: their jobs must be replanned."""
        return tuple(name for name in self.resources() if reservations.is_over_reserved(self._state, name))

    # Serialization

    def to_plain(self) -> list:
        """Returns the state as nested lists of ints and strings; the last one is the hash of the others."""
        plain = self._to_plain_without_hash()
        return [*plain, _hash(_to_json(plain))]

    def _to_plain_without_hash(self) -> list:
        state = self._state
        return [
            SNAPSHOT_VERSION,
            state.index,
            state.time,
            state.last_session,
            [_session_to_plain(state.live_sessions[number]) for number in sorted(state.live_sessions)],
            [[name, past.boot, past.session, past.open_mark] for name, past in state.past_sessions.items()],
            [list(budget) for budget in state.budgets.values()],
            [list(state.removed_budgets[name]) for name in sorted(state.removed_budgets)],
            [_scope_to_plain(name, state.scopes[name]) for name in sorted(state.scopes)],
            workflows.to_plain(state.workflows),
            reservations.to_plain(state),
        ]

    def snapshot(self) -> bytes:
        """Returns `to_plain` as JSON without blanks, without serializing it a second time for its hash."""
        data = _to_json(self._to_plain_without_hash())
        return data[:-1] + f',"{_hash(data)}"]'.encode()

    def hash(self) -> str:
        """Returns a hash of the whole state."""
        return _hash(self.snapshot())

    @classmethod
    def from_snapshot(cls, data: bytes) -> "Books":
        """Restores a snapshot. Raises DamagedBooksError."""
        try:
            plain = json.loads(data)
            if plain[0] != SNAPSHOT_VERSION:
                raise ValueError(f"form {plain[0]}, this version reads {SNAPSHOT_VERSION}")
            books = cls()
            books._state = _state_from_plain(plain)
            is_whole = books.snapshot() == bytes(data)
        except (ValueError, TypeError, LookupError, AttributeError, RecursionError) as error:
            fault = str(error)[:MAX_QUOTED_CHARACTERS].replace("\n", " ")
            raise DamagedBooksError("books", fault=fault) from error
        if not is_whole:
            raise DamagedBooksError("books", fault="what was read differs from what was written")
        return books


def _refused(error: FleetError) -> Done:
    return Done(code=error.code, to=error.to, told=tuple(sorted(error.figures.items())))


def _live_session(session: Session) -> LiveSession:
    fence = session.fence
    return LiveSession(fence.session, fence.name, session.site, session.opened_index, fence)


def _to_json(plain: list) -> bytes:
    return json.dumps(plain, separators=(",", ":")).encode()


def _hash(data: bytes) -> str:
    return blake2b(data, digest_size=HASH_BYTES).hexdigest()


def _session_to_plain(session: Session) -> list:
    results = [
        [mark, list(result.value), result.code, result.to, [list(figure) for figure in result.told]]
        for mark, result in sorted(session.results.items())
    ]
    return [
        list(session.fence),
        session.site,
        session.open_mark,
        session.opened_index,
        session.forgotten_mark,
        results,
    ]


def _scope_to_plain(name: str, scope: Scope) -> list:
    shares = [[session, *scope.shares[session]] for session in sorted(scope.shares)]
    return [name, shares, [list(entry) for entry in scope.pending]]


def _state_from_plain(plain: list) -> State:
    state = State()
    (
        _,
        state.index,
        state.time,
        state.last_session,
        live,
        past,
        defined,
        removed,
        scopes,
        plain_workflows,
        transfers,
        _,
    ) = plain
    reservations.restore(state, transfers)
    for plain_session in live:
        session = _session_from_plain(plain_session)
        state.live_sessions[session.fence.session] = session
        state.session_by_name[session.fence.name] = session.fence.session
    state.past_sessions = {name: PastSession(boot, session, mark) for name, boot, session, mark in past}
    state.budgets = {budget[0]: Budget(*budget) for budget in defined}
    state.removed_budgets = {budget[0]: Budget(*budget) for budget in removed}
    for name, shares, pending in scopes:
        scope = state.scopes[name] = Scope()
        scope.shares = {session: (granted, wanted) for session, granted, wanted in shares}
        scope.pending = [(free_at, amount) for free_at, amount in pending]
        state.share_count += len(scope.shares)
        state.next_release = min([state.next_release, *(free_at for free_at, _ in scope.pending)])
        for session in scope.shares:
            state.live_sessions[session].scopes.add(name)
    state.workflows = workflows.from_plain(plain_workflows)
    return state


def _session_from_plain(plain: list) -> Session:
    fence, site, open_mark, opened_index, forgotten_mark, results = plain
    session = Session(Fence(*fence), site, open_mark, opened_index)
    session.forgotten_mark = forgotten_mark
    session.results = {
        mark: Done(tuple(value), code, to, tuple((name, figure) for name, figure in figures))
        for mark, value, code, to, figures in results
    }
    return session
