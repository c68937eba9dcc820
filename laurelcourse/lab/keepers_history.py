"""What the relays of one simulated run asked and were told, and what their shares add up to at each instant.

Times are true microseconds.
"""

from collections.abc import Callable
from copy import copy
from typing import NamedTuple

from laurelcourse.fleet.books.forms import LEVEL, Batch, Close, Command, Done, Fence, Lapse, Open
from laurelcourse.fleet.keeper.messages import BOOKS, Entry
from laurelcourse.fleet.orders import Question, Terms
from laurelcourse.fleet.session import Session
from laurelcourse.lab.checks.linearizability import (
    CLOSE,
    LOOK,
    NEVER,
    OPEN,
    TAKEN,
    Operation,
    is_linearizable,
    session_step,
    stale_reads,
)
from laurelcourse.lab.checks.logs import Breach, lost_commands
from laurelcourse.lab.checks.shares import Holding, budgets_exceeded
from laurelcourse.lab.keepers_simulation import MILLION, Clock

MAX_DESCRIPTION = 1500  # characters
Key = tuple[str | int, ...]


def command_key(command: Command) -> Key:
    """Returns what tells a command from all others, however often it is given."""
    if isinstance(command.what, Open):
        return ("open", command.what.name, command.mark)
    return (type(command.what).__name__, command.fence.session if command.fence else 0, command.mark)


class FormerHolding(NamedTuple):
    """What a relay held of a level when its lease ended."""

    budget: str
    amount: int
    until: int  # when the unit frees it
    session: int


class ShareHolder:
    """A relay as far as shares go. `session` is None while it is dead.

    What it held of levels as its lease ended is freed by the units `freed_after` later by their own clocks,
    which are as wrong as any.
    """

    __slots__ = ("clock", "former", "lease_end", "levels", "name", "number", "session")

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.session: Session | None = None
        self.levels: dict[str, int] = {}  # of its newest lease, by budget
        self.lease_end = 0  # by its own clock
        self.number = 0  # of its newest lease's session
        self.former: list[FormerHolding] = []

    def holdings(self, now: int, terms: Terms) -> list[Holding]:
        """Returns what it may be using now."""
        # Of a copy, since a session may change when its shares are asked for.
        shares = copy(self.session).shares(self.clock.local(now)) if self.session else {}
        if shares:
            self.levels = {
                budget.name: shares[budget.name].granted
                for budget in terms.budgets
                if budget.kind == LEVEL and budget.name in shares
            }
            self.lease_end = self.clock.true(self.session.granted_at + terms.holder_lease())
            self.number = self.session.fence.session
            # A lease that is over by its own clock may be renewed: what it held then, it holds now.
            self.former = [former for former in self.former if former.session != self.number]
        elif self.levels:
            self.end_lease(terms)
        self.former = [former for former in self.former if former.until > now]
        return [
            *(Holding(self.name, share.budget, share.granted) for share in shares.values()),
            *(Holding(f"{self.name} (before)", former.budget, former.amount) for former in self.former),
        ]

    def end_lease(self, terms: Terms) -> None:
        """Takes the end of its lease, or its death."""
        for budget in terms.budgets:
            if self.levels.get(budget.name):
                freed_after = budget.freed_after - 3 * budget.freed_after * terms.drift // MILLION
                until = self.lease_end + freed_after
                self.former.append(FormerHolding(budget.name, self.levels[budget.name], until, self.number))
        self.levels = {}


class History:
    """Operations of all relays, and the breaches found in them."""

    def __init__(self, terms: Terms, decode: Callable[[bytes], Batch]) -> None:
        self.terms = terms
        self.decode = decode
        self.holders: dict[str, ShareHolder] = {}
        self.opens: dict[Key, Operation] = {}
        self.operations: dict[str, list[Operation]] = {}  # on sessions, by name
        self.hash_reads: list[Operation] = []
        self.answered: list[tuple[int, str, Key]] = []
        self.lapsed: dict[int, int] = {}  # sessions that the log has ended, and when
        self.breaches: list[Breach] = []
        self.undecided = 0  # histories

    def on_asked(self, now: int, name: str, command: Command) -> None:
        """Takes a command that a relay sends."""
        if isinstance(command.what, Open):
            self.opens.setdefault(command_key(command), Operation(now, NEVER, OPEN))

    def on_result(self, start: int, now: int, name: str, command: Command, result: Done) -> None:
        """Takes the result of a relay's command that was sent at `start`."""
        operations = self.operations.setdefault(name, [])
        key = command_key(command)
        if not result.code:
            self.answered.append((now, name, key))
        if isinstance(command.what, Open):
            operation = self.opens[key]
            if not result.code and operation.end == NEVER:
                number = Fence(*result.value).session
                self.opens[key] = operation._replace(end=now, result=(number,))
            elif result.code == "name_taken":
                operations.append(Operation(start, now, TAKEN, (dict(result.told)["session"],)))
        elif isinstance(command.what, Close) and not result.code:
            operations.append(Operation(start, now, CLOSE, (command.fence.session,)))

    def on_read(self, start: int, now: int, question: Question, result: Done) -> None:
        """Takes the result of a read: a session's fence, or the hash with the index before it."""
        if question.what == "session":
            number = Fence(*result.value[:4]).session if result.value else 0
            self.operations.setdefault(question.of, []).append(Operation(start, now, LOOK, (number,)))
        else:
            self.hash_reads.append(Operation(start, now, question.what, result.value))

    def on_entry(self, now: int, entry: Entry) -> None:
        """Takes an entry that a keeper is the first to apply."""
        if entry.kind == BOOKS:
            for command in self.decode(entry.data).commands:
                if isinstance(command.what, Lapse):
                    self.lapsed.setdefault(command.what.session, now)

    def check_shares(self, now: int) -> None:
        """Compares all holdings with the budgets.

        To be called at whatever may give a holder more, or end a session.
        """
        holdings: list[Holding] = []
        for name in sorted(self.holders):
            holder = self.holders[name]
            holdings += holder.holdings(now, self.terms)
            session = holder.session
            if (
                session
                and session.fence
                and session.fence.session in self.lapsed
                and copy(session).is_usable(holder.clock.local(now))
            ):
                self.breaches.append(
                    Breach(
                        "over_whole",
                        now,
                        f"{name} counts on session {session.fence.session} after it has lapsed",
                    )
                )
        exceeded = budgets_exceeded(self.terms.budgets, holdings)
        self.breaches += [Breach("over_whole", now, line) for line in exceeded]

    def finish(self, now: int, left: list[Entry]) -> None:
        """Checks the whole history; `left` is the log as it stands at the end."""
        keys = {
            command_key(command)
            for entry in left
            if entry.kind == BOOKS
            for command in self.decode(entry.data).commands
        }
        self.breaches += lost_commands(self.answered, keys)
        for name in sorted(self.operations.keys() | {key[1] for key in self.opens}):
            self._check_sessions(now, name)
        self.breaches += [
            Breach("not_linearizable", after.end, f"{after.kind} told {after.result} after {before.result}")
            for before, after in stale_reads(self.hash_reads)
        ]

    def _check_sessions(self, now: int, name: str) -> None:
        operations = self.operations.get(name, ())
        opens = [operation for key, operation in sorted(self.opens.items()) if key[1] == name]
        known = {number for operation in opens for number in operation.result}
        # One that was not answered may have got any number that nobody else was told.
        others = {operation.result[0] for operation in operations if operation.result[0]} - known
        opens = [
            operation if operation.result else operation._replace(result=tuple(sorted(others)))
            for operation in opens
        ]
        history = [*opens, *operations]
        linearizable = is_linearizable(history, (0, False), session_step)
        if linearizable is None:
            self.undecided += 1
        elif not linearizable:
            description = f"the sessions of {name}: {sorted(history)}"[:MAX_DESCRIPTION]
            self.breaches.append(Breach("not_linearizable", now, description))
