"""What the relays of one simulated run were told, and what their shares come to at each instant."""

from collections.abc import Callable
from copy import copy

from laurelcourse.fleet.books.forms import LEVEL, Batch, Command, Done, Fence, Lapse, Open
from laurelcourse.fleet.keeper.messages import BOOKS, Entry
from laurelcourse.fleet.orders import Question, Terms
from laurelcourse.fleet.session import Session
from laurelcourse.lab.checks.linearizability import NEVER, Op, linearizable, session_step, stale
from laurelcourse.lab.checks.logs import Breach, lost
from laurelcourse.lab.checks.shares import Holding, over_whole
from laurelcourse.lab.keepers_world import MILLION, Clock

Key = tuple[str | int, ...]


def key_of(command: Command) -> Key:
    """What tells a command from all others, however often it is given."""
    if isinstance(command.what, Open):
        return ("open", command.what.name, command.mark)
    return (type(command.what).__name__, command.fence.session if command.fence else 0, command.mark)


class Holder:
    """A relay as far as shares go. `session` is None while it is dead. What it held of levels as its lease
    ended, the units let go of `freed_after` later by their own clocks, which are as wrong as any."""

    __slots__ = ("clock", "ended_at", "former", "levels", "name", "number", "session")

    def __init__(self, name: str, clock: Clock) -> None:
        self.name, self.clock = name, clock
        self.session: Session | None = None
        self.levels: dict[str, int] = {}  # of its newest lease
        self.ended_at = self.number = 0  # of that lease by its own clock, in true time
        self.former: list[tuple[str, int, int, int]] = []  # budget, amount, held until, of which session

    def holdings(self, now: int, terms: Terms) -> list[Holding]:
        """Asks a copy, for a session that is looked at may change by it."""
        shares = copy(self.session).shares(self.clock.local(now)) if self.session else {}
        if shares:
            self.levels = {
                one.name: shares[one.name].granted
                for one in terms.budgets
                if one.kind == LEVEL and one.name in shares
            }
            self.ended_at = self.clock.true(self.session.granted_at + terms.holder_lease())
            self.number = self.session.fence.session
            # A lease that is over by its own clock may be renewed: what it held then, it holds now.
            self.former = [one for one in self.former if one[3] != self.number]
        elif self.levels:
            self.leave(terms)
        self.former = [one for one in self.former if one[2] > now]
        return [
            *(Holding(self.name, one.budget, one.granted) for one in shares.values()),
            *(Holding(f"{self.name} (before)", budget, amount) for budget, amount, *_ in self.former),
        ]

    def leave(self, terms: Terms) -> None:
        """Its lease is over, or it is dead."""
        for one in terms.budgets:
            if self.levels.get(one.name):
                lasts = one.freed_after - 3 * one.freed_after * terms.drift // MILLION
                self.former.append((one.name, self.levels[one.name], self.ended_at + lasts, self.number))
        self.levels = {}


class Seen:
    def __init__(self, terms: Terms, decode: Callable[[bytes], Batch]) -> None:
        self.terms, self.decode = terms, decode
        self.holders: dict[str, Holder] = {}
        self.opens: dict[Key, Op] = {}
        self.ops: dict[str, list[Op]] = {}
        self.indexes: list[Op] = []
        self.answered: list[tuple[int, str, Key]] = []
        self.lapsed: dict[int, int] = {}  # sessions that the log has ended: since when, true time
        self.breaches: list[Breach] = []
        self.unsettled = 0

    # What relays asked and were told; times are true ones

    def asks(self, now: int, name: str, command: Command) -> None:
        if isinstance(command.what, Open):
            self.opens.setdefault(key_of(command), Op(now, NEVER, "open"))

    def told(self, began: int, now: int, name: str, command: Command, done: Done) -> None:
        ops = self.ops.setdefault(name, [])
        if not done.code:
            self.answered.append((now, name, key_of(command)))
        if isinstance(command.what, Open):
            asked = self.opens[key_of(command)]
            if not done.code and asked.ended == NEVER:
                self.opens[key_of(command)] = asked._replace(ended=now, told=(Fence(*done.value).session,))
            elif done.code == "name_taken":
                ops.append(Op(began, now, "taken", (dict(done.told)["session"],)))
        elif type(command.what).__name__ == "Close" and not done.code:
            ops.append(Op(began, now, "close", (command.fence.session,)))

    def looked(self, began: int, now: int, question: Question, done: Done) -> None:
        """At a session, told as its fence, or at the hash, told with the index before it."""
        if question.what == "session":
            number = Fence(*done.value[:4]).session if done.value else 0
            self.ops.setdefault(question.of, []).append(Op(began, now, "look", (number,)))
        else:
            self.indexes.append(Op(began, now, question.what, done.value))

    def entry(self, now: int, entry: Entry) -> None:
        """One that a keeper has applied, the first time that any did."""
        if entry.kind == BOOKS:
            for command in self.decode(entry.data).commands:
                if isinstance(command.what, Lapse):
                    self.lapsed.setdefault(command.what.session, now)

    def shares(self, now: int) -> None:
        """To be called at whatever may give a holder more, or a session its end."""
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
        self.breaches += [Breach("over_whole", now, how) for how in over_whole(self.terms.budgets, holdings)]

    def finish(self, now: int, left: list[Entry]) -> None:
        """`left`: the log as it stands at the end."""
        held = {
            key_of(command)
            for entry in left
            if entry.kind == BOOKS
            for command in self.decode(entry.data).commands
        }
        self.breaches += lost(self.answered, held)
        for name in sorted(self.ops.keys() | {key[1] for key in self.opens}):
            self._history(now, name)
        self.breaches += [
            Breach("not_linearizable", two.ended, f"{two.what} told {two.told} after {one.told}")
            for one, two in stale(self.indexes)
        ]

    def _history(self, now: int, name: str) -> None:
        opens = [op for key, op in sorted(self.opens.items()) if key[1] == name]
        known = {number for op in opens for number in op.told}
        others = {op.told[0] for op in self.ops.get(name, ()) if op.told[0]} - known
        opens = [op if op.told else op._replace(told=tuple(sorted(others))) for op in opens]
        found = linearizable([*opens, *self.ops.get(name, ())], (0, False), session_step)
        if found is None:
            self.unsettled += 1
        elif not found:
            self.breaches.append(
                Breach(
                    "not_linearizable",
                    now,
                    f"the sessions of {name}: {sorted([*opens, *self.ops.get(name, ())])}"[:1500],
                )
            )
