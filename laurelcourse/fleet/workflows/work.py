"""A relay's workflows carried out: its own, orphans it was given, and clients that wait. One greenlet task.

Nothing is decided here: `run.py` says what is next, `takeover.py` which orphans to ask for, books whether.
Commands go in the session's order, one Submit at a time; a run is told what came of its own once the books
have been looked at anew.
"""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from laurelcourse.fleet.books import workflows as books
from laurelcourse.fleet.books.forms import (
    COMPLETED,
    LEFT,
    Adopt,
    Begin,
    Command,
    Done,
    Intend,
    Leave,
    Result,
    Settle,
    What,
)
from laurelcourse.fleet.books.workflows import View
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.errors import (
    DefinitionRefusedError,
    FleetError,
    UnknownFateError,
    UnreadableError,
    error_from_code,
)
from laurelcourse.fleet.orders import Answer, Question, Submit
from laurelcourse.fleet.workflows import run, statements, steps, views
from laurelcourse.fleet.workflows.definition import Definition
from laurelcourse.fleet.workflows.takeover import Pace, Takeover
from laurelcourse.prng import Prng

if TYPE_CHECKING:
    from laurelcourse.fleet.member import Member

log = logging.getLogger(__name__)

UNDOS = "undos"  # the budget that tries of undos are taken from, if the operators name one
AT_ONCE, BEGINS = 32, 2  # commands of one Submit, and those among them that bear a definition
ORPHANS, HELD = 32, 1_000  # asked for in a beat; owned, above which none is asked for
WAITING = 1_000  # clients at one relay

Then = Callable[[Done], None]
Told = Callable[[run.Tell | FleetError], None]


class Item(NamedTuple):
    what: What
    then: Then


class Client(NamedTuple):
    waiting: run.Waiting
    told: Told


class Flows:
    def __init__(
        self,
        member: "Member",
        letters: CrossThreadMailbox,
        sender: steps.Steps,
        definitions: dict[str, Definition],
        rng: Prng,
    ) -> None:
        """`letters`: what comes from other threads and tasks: a function and its arguments."""
        self.member, self.letters, self.sender = member, letters, sender
        self.definitions, self.rng = definitions, rng
        self.session, self.clock, self.counters = member.session, member.clock, member.counters
        terms = member.session.terms
        self.beat, self.patience = (
            terms.renew_interval,
            2 * terms.lease + 2 * member.client.limits.order_timeout,
        )
        self.takeover = Takeover(Pace(ORPHANS, terms.renew_interval, HELD, 2 * terms.renew_interval))
        self.me = 0
        self.runs: dict[int, run.Run] = {}
        self.seen: dict[int, View] = {}
        self.clients: dict[int, list[Client]] = {}
        self.opening: list[tuple[int, Told]] = []  # clients whose Begin is not answered yet
        self.outbox: list[Item] = []
        self.under: tuple[int, tuple[tuple[Command, Item], ...]] | None = None  # since when, what
        self.lost: dict[tuple[int, int], Item] = {}  # by session and mark
        self.to_look: dict[int, list[Callable[[], None]]] = {}
        self.looking: tuple[int, tuple[int, ...]] | None = None
        self.next_round, self.stuck = 0, set()
        self.by_client: dict[int, int] = {}
        self.owned_at: dict[int, int] = {}  # of each run: since when, by the own clock
        member.on_result = self._settled

    # From other threads: a letter each. Raises FleetErrors at once.

    def put(self, work: Callable, *args: object) -> None:
        self.letters.put((work, args))

    def late(self, work: Callable, *args: object) -> None:
        """An answer that finds no room is as one that was lost on its way."""
        try:
            self.letters.put((work, args))
        except FleetError:
            self.counters.add("flows.letters_lost")

    # What clients ask, in the scheduler's task

    def start(
        self, name: str, tenant: str, mark: str, values: tuple[tuple[str, str], ...], until: int, told: Told
    ) -> None:
        definition = self.definitions.get(name)
        if definition is None:
            told(DefinitionRefusedError(name, fault="the settings name no such workflow"))
            return
        if len(self.opening) + sum(map(len, self.clients.values())) >= WAITING:
            told(error_from_code("overloaded", self.session.name, {"waiting": WAITING, "at_most": WAITING}))
            return
        fault = statements.unfit(definition, values)
        if fault is not None:
            told(fault)
            return
        entry = until, told
        self.opening.append(entry)

        def then(done: Done) -> None:
            waits = entry in self.opening
            if waits:
                self.opening.remove(entry)
            if done.code or not waits:
                if waits:
                    told(error_from_code(done.code, done.to, dict(done.told)))
                elif not done.code:
                    # Nobody waits any more: it is turned back before its first step.
                    self.by_client[done.value[0]] = 0
                    self._look(done.value[0])
                return
            number = done.value[0]
            self.by_client[number] = until
            self.clients.setdefault(number, []).append(Client(run.Waiting(number, until), told))
            self._look(number)

        self.outbox.append(Item(Begin(tenant, mark, definition, values), then))

    def look(self, number: int, told: Told) -> None:
        """As it stands."""
        waiting = run.Waiting(number, 0)
        self._look(number, lambda: told(waiting.look(self.clock(), self.seen.get(number))))

    def leave(self, number: int, told: Told) -> None:
        self._word(Leave(number, LEFT), number, told)

    def settle(self, number: int, step: int, how: str, told: Told) -> None:
        self._word(Settle(number, step, how), number, told)

    def left(self, told: Told) -> None:
        """The client that would have been told has gone."""
        self.opening = [one for one in self.opening if one[1] is not told]
        for number, there in self.clients.items():
            if any(one.told is told for one in there):
                self.outbox.append(Item(Leave(number, LEFT), lambda _: None))
                if number in self.runs:
                    self.runs[number].client_left()

    def _word(self, what: Leave | Settle, number: int, told: Told) -> None:
        def then(done: Done) -> None:
            if done.code:
                told(error_from_code(done.code, done.to, dict(done.told)))
            else:
                self.look(number, told)

        self.outbox.append(Item(what, then))

    # The task

    def work(self) -> None:
        """Until the letters are closed."""
        while not self.letters.closed:
            now = self.clock()
            usable = self._usable(now)
            if now >= self.next_round:
                self.next_round = now + self.beat
                self._round(now, usable)
            if usable:
                self._step(now)
            self._tell(now)
            self._flush(now, usable)
            self._ask(now)
            due = min(
                [
                    self.next_round,
                    *(one.due() for one in self.runs.values() if usable),
                    *(one.waiting.due() for there in self.clients.values() for one in there),
                    *(until for until, _ in self.opening),
                ]
            )
            came = self.letters.get(self.member.scheduler.now() + max(due - self.clock(), 0))
            if came is not None:
                came[0](*came[1])

    def _usable(self, now: int) -> bool:
        usable = self.session.is_usable(now)
        if usable and self.session.fence.session != self.me:
            # A new session owns nothing: what the former had is for whoever the books give it to.
            self.me, self.runs, self.stuck = self.session.fence.session, {}, set()
        return usable

    def _round(self, now: int, usable: bool) -> None:
        """Once a beat: what is mine, what is nobody's, and what clients wait for elsewhere."""
        for number in sorted(self.clients.keys() - self.runs.keys()):
            self._look(number)
        if usable:
            me = self.me
            self._question(Question("flows", str(me)), lambda answer: self._listed(me, answer))

    def _question(self, question: Question, then: Callable[[Answer | FleetError], None]) -> None:
        try:
            self.member.client.ask(question, lambda answer: self.late(then, answer))
        except FleetError as error:
            then(error)

    def _listed(self, me: int, answer: Answer | FleetError) -> None:
        now = self.clock()
        if isinstance(answer, FleetError) or answer.code or me != self.me or not self._usable(now):
            return
        mine, orphans, live = answer.value
        for number in mine:
            if number not in self.runs:
                self._look(number)
        for what in self.takeover.take(now, orphans, live, me, len(self.runs)):
            self.outbox.append(Item(what, lambda done, what=what: self._adopted(what, done)))

    def _adopted(self, what: Adopt, done: Done) -> None:
        if not done.code:
            self.counters.add("flows.taken_over")
            log.info("workflow taken over", extra={"workflow": what.workflow, "former": what.former})
            self._look(what.workflow)

    def _step(self, now: int) -> None:
        for number in sorted(self.runs):
            one = self.runs[number]
            if one.due() <= now:
                self._effects(number, one.step(now, self.seen.get(number), self.me, True, self._may_undo))
            if one.state == run.OVER:
                del self.runs[number]
                self.stuck.discard(number)
                self.by_client.pop(number, None)
                self.owned_at.pop(number, None)

    def _may_undo(self) -> bool:
        return self.member.holder.consume(self.clock(), UNDOS) is not False

    def _effects(self, number: int, effects: tuple[run.Effect, ...]) -> None:
        for effect in effects:
            if isinstance(effect, run.Write):
                self.outbox.append(Item(effect.what, self._wrote(number, self.runs[number], effect.what)))
            else:
                self._send(number, self.runs[number], effect)

    def _wrote(self, number: int, one: run.Run, what: run.Order) -> Then:
        def then(done: Done) -> None:
            def fresh() -> None:
                if self.runs.get(number) is not one:
                    return
                now = self.clock()
                usable = self._usable(now)
                self._effects(number, one.wrote(now, done, self.seen.get(number), self.me, usable))

            if done.code or not self._foreseen(number, what):
                self._look(number, fresh)
            else:
                fresh()

        return then

    def _foreseen(self, number: int, what: run.Order) -> bool:
        """Whether the view could be brought on without asking the books: on the way that most go."""
        view = self.seen.get(number)
        if (
            view is None
            or view.owner != self.me
            or not (isinstance(what, Intend) or (isinstance(what, Result) and what.outcome == COMPLETED))
        ):
            return False
        try:
            found = views.after(view, what, max(self.clock() - self.owned_at.get(number, 0), 0))
        except FleetError:
            return False
        self._saw(number, found)
        return True

    def _send(self, number: int, one: run.Run, send: run.Send) -> None:
        what, me = one.sending(), self.me
        left = send.until - self.clock()

        def usable() -> bool:
            return me == self.me and self._usable(self.clock())

        def came(outcome: str) -> None:
            one.came(self.clock(), what, outcome)
            self.late(len, ())

        self.sender.send(send, left, what.tried > 1, usable, came)

    def _tell(self, now: int) -> None:
        for until, told in [one for one in self.opening if one[0] <= now]:
            self.opening.remove((until, told))
            told(UnknownFateError(self.session.name))
        for number in sorted(self.clients):
            there = self.clients[number]
            for one in list(there):
                tell = one.waiting.look(now, self.seen.get(number))
                if tell is not None:
                    there.remove(one)
                    self.counters.add(f"flows.told.{tell.answer}")
                    one.told(tell)
            if not there:
                del self.clients[number]
                if number not in self.runs:
                    self.by_client.pop(number, None)
        for number in [
            one
            for one in self.seen
            if one not in self.runs and one not in self.clients and one not in self.to_look
        ]:
            del self.seen[number]

    # Commands

    def _flush(self, now: int, usable: bool) -> None:
        if self.under is not None and now - self.under[0] > self.patience:
            self._submitted(self.under, UnknownFateError(self.session.name))
        if self.under is not None or not self.outbox or not usable:
            return
        taken, begins, pairs = 0, 0, []
        for item in self.outbox[:AT_ONCE]:
            begins += isinstance(item.what, Begin)
            if begins > BEGINS:
                break
            taken += 1
            try:
                pairs.append((self.session.command(item.what, now), item))
            except FleetError as error:
                item.then(Done(code=error.code, to=error.to, told=tuple(sorted(error.figures.items()))))
        del self.outbox[:taken]
        if not pairs:
            return
        under = self.under = now, tuple(pairs)
        try:
            self.member.client.submit(
                Submit(tuple(command for command, _ in pairs), now),
                lambda answer: self.late(self._submitted, under, answer),
            )
        except FleetError as error:
            self._submitted(under, error)

    def _submitted(
        self, under: tuple[int, tuple[tuple[Command, Item], ...]], answer: Answer | FleetError
    ) -> None:
        if self.under is not under:
            return
        self.under, now = None, self.clock()
        if isinstance(answer, Done) and answer.code == "too_large":
            answer = (answer,) * len(under[1])
        for place, (command, item) in enumerate(under[1]):
            if isinstance(answer, FleetError | Done):
                self.lost[command.fence.session, command.mark] = item
                self.session.lost(command, answer.code)
            else:
                self.session.confirmed(now, command)
                item.then(answer[place])

    def _settled(self, command: Command, done: Done) -> None:
        """What came of a command whose answer was lost, from the member's task."""
        item = self.lost.pop((command.fence.session, command.mark), None)
        if item is not None:
            self.late(item.then, done)

    # Looks at the books

    def _look(self, number: int, then: Callable[[], None] | None = None) -> None:
        self.to_look.setdefault(number, []).extend([then] if then else [])

    def _ask(self, now: int) -> None:
        if self.looking is not None and now - self.looking[0] > self.patience:
            self.looking = None
        if self.looking is not None or not self.to_look:
            return
        numbers = tuple(sorted(self.to_look)[: views.AT_ONCE])
        looking = self.looking = now, numbers
        thens = {one: self.to_look.pop(one) for one in numbers}
        self._question(
            Question("flow", ",".join(map(str, numbers))), lambda answer: self._looked(looking, thens, answer)
        )

    def _looked(
        self,
        looking: tuple[int, tuple[int, ...]],
        thens: dict[int, list[Callable[[], None]]],
        answer: Answer | FleetError,
    ) -> None:
        if self.looking is looking:
            self.looking = None
        try:
            if isinstance(answer, FleetError) or answer.code:
                raise UnreadableError("workflow", fault=answer.code)
            found = dict(zip(looking[1], map(views.seen, answer.value), strict=True))
        except (FleetError, ValueError):
            # Not answered: asked again a beat later, for runs wait on it.
            for number in looking[1]:
                self.member.scheduler.after(
                    self.beat, lambda number=number: self.late(self._again, number, thens[number])
                )
            return
        for number, view in found.items():
            self._saw(number, view)
            for then in thens[number]:
                then()

    def _again(self, number: int, thens: list[Callable[[], None]]) -> None:
        self.to_look.setdefault(number, []).extend(thens)

    def _saw(self, number: int, view: View | None) -> None:
        if view is None:
            self.seen.pop(number, None)
            return
        self.seen[number] = view
        if view.owner == self.me and view.state not in books.ENDED and number not in self.runs:
            self.owned_at[number] = self.clock()
            self.runs[number] = run.Run(number, self.rng, self.by_client.get(number, run.FAR))
        if view.owner == self.me and view.state == books.STUCK and number not in self.stuck:
            self.stuck.add(number)
            self.counters.add("flows.stuck")
            at, error = run.stuck(view)
            log.error("workflow is stuck", extra=error.fields() | {"place": at})
        elif view.state != books.STUCK:
            self.stuck.discard(number)
