"""The fleet's common books: a deterministic state machine over the keepers' log.

Every keeper applies the same batches in the same order and comes to the same state, whatever the batches
hold: a command that can't be carried out is refused by its error's code and changes nothing.
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
from laurelcourse.fleet.books.state import Past, Scope, Session, State
from laurelcourse.fleet.errors import (
    DamagedBooksError,
    FleetError,
    OutOfOrderError,
    UnknownCommandError,
    UnreadableError,
)

FORM = 1  # of the snapshot
OF_WORKFLOWS = Begin, Intend, Result, Leave, Settle, Adopt
FROM_LEADER = Lapse, Define, Grant, Limits, *reservations.FROM_LEADER
FROM_SESSION = Close, GiveBack, *OF_WORKFLOWS, *reservations.FROM_SESSION


class Live(NamedTuple):
    """A live session as the leader's desk sees it. `opened`: the index of the entry that opened it."""

    number: int
    name: str
    site: str
    opened: int
    fence: Fence


class Books:
    def __init__(self) -> None:
        self._state = State()

    @property
    def time(self) -> int:
        """Microseconds of the books' own account, which only batches move on."""
        return self._state.time

    @property
    def index(self) -> int:
        """Of the entry applied last."""
        return self._state.index

    def apply(self, index: int, batch: Batch) -> tuple[Done, ...]:
        """One Done a command, in their order. Raises ValueError for an entry that has been applied."""
        if index <= self._state.index:
            raise ValueError(f"entry {index} after {self._state.index}: applied twice")
        self._state.index, self._state.time = index, max(self._state.time, batch.at)
        budgets.free(self._state)
        workflows.forget(self._state)
        reservations.free(self._state)
        return tuple(self._one(batch.term, command) for command in batch.commands)

    def _one(self, term: int, command: Command) -> Done:
        try:
            if type(command) is not Command:
                raise UnreadableError("command", fault="its form")
            if type(command.what) is Open:
                return Done(sessions.opened(self._state, term, command.what, command.mark))
            by_leader = type(command.what) is Adopt and command.fence is None
            if type(command.what) in FROM_LEADER or by_leader:
                return self._from_leader(command)
            if type(command.what) in FROM_SESSION:
                return self._from_session(command)
            raise UnknownCommandError("command", kind=type(command.what).__name__.lower())
        except FleetError as error:
            return _refused(error)

    def _from_leader(self, command: Command) -> Done:
        state, what = self._state, command.what
        if command.fence is not None:
            raise OutOfOrderError("command", state="asked by a relay", order=type(what).__name__.lower())
        match what:
            case Lapse():
                self._end(sessions.lapsing(state, what), budgets.LAPSED)
            case Define():
                budgets.define(state, what)
            case Grant():
                budgets.grant(state, what)
            case Limits():
                workflows.limit(state, what)
            case Adopt():
                return Done(workflows.adopt(state, what, what.to))
            case _ if type(what) in reservations.FROM_LEADER:
                return Done(reservations.lead(state, what))
        return Done()

    def _from_session(self, command: Command) -> Done:
        state, what = self._state, command.what
        session = sessions.admitted(state, command.fence)
        done = sessions.seen(session, command)
        if done is not None:
            return done
        if type(what) is Close:
            self._end(session, budgets.CLOSED)
            return Done()
        try:
            if type(what) in OF_WORKFLOWS:
                done = Done(workflows.carry_out(state, session, what))
            elif type(what) in reservations.FROM_SESSION:
                done = Done(reservations.ask(state, session, what))
            else:
                done = Done((budgets.give_back(state, session, what),))
        except FleetError as error:
            done = _refused(error)
        sessions.keep(session, command.mark, done)
        return done

    def _end(self, session: Session, how: str) -> None:
        budgets.release(self._state, session, how)
        reservations.orphan(self._state, session)
        sessions.end(self._state, session)

    # What the leader's desk looks at

    def sessions(self) -> tuple[Live, ...]:
        """The live ones, by number."""
        return tuple(_live(self._state.live[one]) for one in sorted(self._state.live))

    def session(self, name: str) -> Live | None:
        """The live one of this name."""
        return self.numbered(self._state.names.get(name, 0))

    def numbered(self, session: int) -> Live | None:
        there = self._state.live.get(session)
        return _live(there) if there else None

    def refusal(self, fence: Fence) -> Done | None:
        """Why who bears this fence may not act, or None: he may."""
        try:
            sessions.admitted(self._state, fence)
        except FleetError as error:
            return _refused(error)
        return None

    def defined(self) -> tuple[Budget, ...]:
        """As the last Define had them."""
        return tuple(self._state.budgets.values())

    def budget(self, scope: str) -> Budget | None:
        """The rules of `name` or `name/key`, of one that is leaving too."""
        return (self._state.leaving | self._state.budgets).get(budgets.named(scope))

    def scopes(self) -> tuple[str, ...]:
        """Budgets (`name` or `name/key`) of which anything is in use."""
        return tuple(sorted(self._state.scopes))

    def shares(self, scope: str) -> tuple[tuple[int, int, int], ...]:
        """Session, granted, wanted."""
        there = self._state.scopes.get(scope)
        return tuple((one, *there.shares[one]) for one in sorted(there.shares)) if there else ()

    def shares_of(self, session: int) -> tuple[tuple[str, int, int], ...]:
        """Scope, granted, wanted."""
        there = self._state.live.get(session)
        names = sorted(there.scopes) if there else ()
        return tuple((one, *self._state.scopes[one].shares[session]) for one in names)

    def held(self, scope: str) -> int:
        """What nobody has a share of, but may still be in use."""
        there = self._state.scopes.get(scope)
        return there.held() if there else 0

    def workflow(self, number: int) -> workflows.View | None:
        flow = self._state.flows.all.get(number)
        return workflows.view(flow) if flow else None

    def workflow_of(self, tenant: str, mark: str) -> workflows.View | None:
        """The one that this client's mark began."""
        return self.workflow(self._state.flows.marks.get((tenant, mark), 0))

    def workflows_of(self, session: int) -> tuple[int, ...]:
        """Numbers of those in flight that this session owns."""
        flows = self._state.flows.open
        return tuple(one for one in sorted(flows) if flows[one].owner == session)

    def orphans(self) -> tuple[tuple[int, int], ...]:
        """Number and former owner of those in flight whose owner's session is over."""
        flows = self._state.flows.open
        return tuple(
            (one, flows[one].owner) for one in sorted(flows) if flows[one].owner not in self._state.live
        )

    def limits(self) -> Limits:
        """On workflows, as the last Limits had them."""
        return self._state.flows.limits

    def behind(self) -> int:
        """How many are undoing or stuck."""
        return self._state.flows.behind

    # Transfers

    def jobs(self) -> tuple[reservations.Kept, ...]:
        """Jobs that are not ended, by name."""
        return reservations.kept(self._state)

    def ended(self, job: str) -> str:
        """How a job ended, if it did and that is still known."""
        return self._state.transfers.ended.get(job, ("", 0))[0]

    def resources(self) -> tuple[str, ...]:
        """Links (`a>b`) and sites (`a`), by name."""
        return reservations.resources(self._state)

    def room(self, resource: str, first: int, until: int) -> tuple[int, ...]:
        """What is free in each slice of `first` up to `until`; below 0 where it is over."""
        return reservations.room(self._state, resource, first, until)

    def places(self) -> tuple[tuple[Link, ...], tuple[Site, ...]]:
        """As the last Places had them."""
        moves = self._state.transfers
        return tuple(moves.links.values()), tuple(moves.sites.values())

    def over(self) -> tuple[str, ...]:
        """Resources that have shrunk below what is reserved: their jobs must be planned anew."""
        return tuple(one for one in self.resources() if reservations.is_over(self._state, one))

    # All of it, as it goes from one keeper to another

    def plain(self) -> list:
        """Nested lists of ints and strings; the last one is the hash of the rest."""
        rest = self._rest()
        return [*rest, _hash(_written(rest))]

    def _rest(self) -> list:
        s = self._state
        return [
            FORM,
            s.index,
            s.time,
            s.last,
            [_session(s.live[one]) for one in sorted(s.live)],
            [[name, past.boot, past.session, past.mark] for name, past in s.past.items()],
            [list(budget) for budget in s.budgets.values()],
            [list(s.leaving[name]) for name in sorted(s.leaving)],
            [_scope(name, s.scopes[name]) for name in sorted(s.scopes)],
            workflows.plain(s.flows),
            reservations.plain(s),
        ]

    def snapshot(self) -> bytes:
        """`plain` as JSON without blanks; the rest is written once, not a second time for its hash."""
        rest = _written(self._rest())
        return rest[:-1] + f',"{_hash(rest)}"]'.encode()

    def hash(self) -> str:
        return _hash(self.snapshot())

    @classmethod
    def restored(cls, data: bytes) -> "Books":
        """Raises DamagedBooksError."""
        try:
            plain = json.loads(data)
            if plain[0] != FORM:
                raise ValueError(f"form {plain[0]}, this version reads {FORM}")
            books = cls()
            books._state = _read(plain)
            whole = books.snapshot() == bytes(data)
        except (ValueError, TypeError, LookupError, AttributeError, RecursionError) as error:
            raise DamagedBooksError("books", fault=str(error)[:80].replace("\n", " ")) from error
        if not whole:
            raise DamagedBooksError("books", fault="what was read differs from what was written")
        return books


def _refused(error: FleetError) -> Done:
    return Done(code=error.code, to=error.to, told=tuple(sorted(error.figures.items())))


def _live(session: Session) -> Live:
    return Live(session.fence.session, session.fence.name, session.site, session.opened, session.fence)


def _written(plain: list) -> bytes:
    return json.dumps(plain, separators=(",", ":")).encode()


def _hash(data: bytes) -> str:
    return blake2b(data, digest_size=8).hexdigest()


def _session(session: Session) -> list:
    dones = [
        [mark, list(done.value), done.code, done.to, [list(one) for one in done.told]]
        for mark, done in sorted(session.dones.items())
    ]
    return [list(session.fence), session.site, session.mark, session.opened, session.forgotten, dones]


def _scope(name: str, scope: Scope) -> list:
    shares = [[one, *scope.shares[one]] for one in sorted(scope.shares)]
    return [name, shares, [list(one) for one in scope.pieces]]


def _read(plain: list) -> State:
    state = State()
    _, state.index, state.time, state.last, live, past, defined, leaving, scopes, flows, moves, _ = plain
    reservations.read(state, moves)
    for fence, site, mark, opened, forgotten, dones in live:
        session = Session(Fence(*fence), site, mark, opened)
        session.forgotten = forgotten
        session.dones = {
            at: Done(tuple(value), code, to, tuple((key, what) for key, what in told))
            for at, value, code, to, told in dones
        }
        state.live[session.fence.session] = session
        state.names[session.fence.name] = session.fence.session
    state.past = {name: Past(boot, session, mark) for name, boot, session, mark in past}
    state.budgets = {one[0]: Budget(*one) for one in defined}
    state.leaving = {one[0]: Budget(*one) for one in leaving}
    for name, shares, pieces in scopes:
        scope = state.scopes[name] = Scope()
        scope.shares = {session: (granted, wanted) for session, granted, wanted in shares}
        scope.pieces = [(when, amount) for when, amount in pieces]
        state.shares += len(scope.shares)
        state.next_free = min([state.next_free, *(when for when, _ in scope.pieces)])
        for session in scope.shares:
            state.live[session].scopes.add(name)
    state.flows = workflows.read(flows)
    return state
