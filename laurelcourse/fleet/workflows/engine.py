"""Carries out a relay's workflows: its own, those it takes over, and clients that wait. One greenlet task.

Nothing is decided here: `run.py` says what is next, `takeover.py` which orphans to ask for, the state machine
whether. Commands are submitted in the session's order, one Submit at a time; a run gets the result of its
command together with a view that includes it.
"""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from laurelcourse.fleet.books import bounds
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
)
from laurelcourse.fleet.books.workflows import WorkflowView
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.errors import (
    DefinitionRefusedError,
    FleetError,
    TooLargeError,
    UnknownFateError,
    UnreadableError,
    error_from_code,
)
from laurelcourse.fleet.orders import Answer, Question, Submit
from laurelcourse.fleet.workflows import run, statements, views
from laurelcourse.fleet.workflows.definition import Definition
from laurelcourse.fleet.workflows.outbox import Outbox, OutgoingCommand, take_in_turn
from laurelcourse.fleet.workflows.step_sender import StepSender
from laurelcourse.fleet.workflows.takeover import Takeover, TakeoverLimits
from laurelcourse.prng import Prng

if TYPE_CHECKING:
    from laurelcourse.fleet.member import Member

log = logging.getLogger(__name__)

UNDO_BUDGET = "undos"  # the budget that tries of undos are taken from, if the operators name one
MAX_COMMANDS = 32  # of one Submit
MAX_BEGINS = 2  # of those, as each contains a definition
MAX_ADOPTIONS = 32  # asked for in one interval
MAX_OWNED = 1_000  # workflows; above that no orphan is asked for
MAX_CLIENTS = 1_000  # that wait at one relay
MAX_LETTERS_PER_TURN = 32  # carried out before other tasks of the process run

OnResult = Callable[[Done], None]
OnAnswer = Callable[[run.ClientAnswer | FleetError], None]


class SubmittedCommands(NamedTuple):
    """Commands whose answer is awaited."""

    submitted_at: int
    commands: tuple[tuple[Command, OutgoingCommand], ...]


class ViewRequest(NamedTuple):
    """Workflows whose views are awaited."""

    asked_at: int
    numbers: tuple[int, ...]


class StartingClient(NamedTuple):
    """A client whose Begin has no result yet."""

    until: int
    on_answer: OnAnswer
    client: str  # its connection


class Client(NamedTuple):
    """A client that waits for a workflow, and what its answer is passed to."""

    waiting: run.WaitingClient
    on_answer: OnAnswer


class WorkflowEngine:
    """The workflows at one relay."""

    def __init__(
        self,
        member: "Member",
        mailbox: CrossThreadMailbox,
        sender: StepSender,
        definitions: dict[str, Definition],
        rng: Prng,
    ) -> None:
        """`mailbox`: gets work from other threads and tasks, as a function and its arguments."""
        self.member = member
        self.mailbox = mailbox
        self.sender = sender
        self.definitions = definitions
        self.rng = rng
        self.session = member.session
        self.clock = member.clock
        self.counters = member.counters
        terms = member.session.terms
        self.interval = terms.renew_interval
        self.answer_timeout = 2 * terms.lease + 2 * member.client.limits.order_timeout
        self.takeover = Takeover(
            TakeoverLimits(MAX_ADOPTIONS, terms.renew_interval, MAX_OWNED, 2 * terms.renew_interval)
        )
        self.own_session = 0
        self.runs: dict[int, run.WorkflowRun] = {}
        self.owned_at: dict[int, int] = {}  # of each run: since when, by this clock
        self.views: dict[int, WorkflowView] = {}
        self.clients: dict[int, list[Client]] = {}
        self.client_deadlines: dict[int, int] = {}  # by workflow; 0: the client has left
        self.starting: list[StartingClient] = []
        self.started_by: dict[int, str] = {}  # by workflow: the connection of its client
        self.outbox = Outbox()
        self.submitted: SubmittedCommands | None = None
        self.max_commands = MAX_COMMANDS  # of the next Submit
        self.unanswered: dict[tuple[int, int], OutgoingCommand] = {}  # by session and mark
        self.views_wanted: dict[int, list[Callable[[], None]]] = {}  # what to call with a new view
        self.view_request: ViewRequest | None = None
        self.next_refresh = 0
        self.stuck: set[int] = set()
        member.on_result = self._on_late_result

    # From other threads. `post` raises FleetErrors at once.

    def post(self, work: Callable, *args: object) -> None:
        """Has the task call `work`."""
        self.mailbox.put((work, args))

    def post_or_drop(self, work: Callable, *args: object) -> None:
        """Has the task call `work`, unless the mailbox is full: an answer counts as lost then."""
        try:
            self.mailbox.put((work, args))
        except FleetError:
            self.counters.add("flows.letters_lost")

    # Calls of clients, in the scheduler's task

    def start(
        self,
        name: str,
        tenant: str,
        mark: str,
        values: tuple[tuple[str, str], ...],
        until: int,
        on_answer: OnAnswer,
        client: str,
    ) -> None:
        """Begins a workflow; its client waits until `until`. `client` names the connection of the call."""
        definition = self.definitions.get(name)
        if definition is None:
            on_answer(DefinitionRefusedError(name, fault="the settings name no such workflow"))
            return
        if len(self.starting) + sum(map(len, self.clients.values())) >= MAX_CLIENTS:
            figures = {"waiting": MAX_CLIENTS, "at_most": MAX_CLIENTS}
            on_answer(error_from_code("overloaded", self.session.name, figures))
            return
        begin = Begin(tenant, mark, definition, values)
        fault = _find_out_of_bounds(begin) or statements.find_unfit(definition, values)
        if fault is not None:
            on_answer(fault)
            return
        entry = StartingClient(until, on_answer, client)
        self.starting.append(entry)
        self.outbox.append(
            OutgoingCommand(begin, lambda result: self._on_begun(entry, result), client, on_answer)
        )

    def _on_begun(self, entry: "StartingClient", result: Done) -> None:
        until, on_answer, connection = entry
        is_waiting = entry in self.starting
        if is_waiting:
            self.starting.remove(entry)
        if result.code:
            if is_waiting:
                on_answer(error_from_code(result.code, result.to, dict(result.told)))
            return
        number = result.value[0]
        # Without a client that waits, it is turned back before its first step.
        self.client_deadlines[number] = until if is_waiting else 0
        self.started_by[number] = connection
        if is_waiting:
            client = Client(run.WaitingClient(number, until), on_answer)
            self.clients.setdefault(number, []).append(client)
        self._want_view(number)

    def look(self, number: int, on_answer: OnAnswer) -> None:
        """Answers where a workflow stands."""
        try:
            bounds.check_workflow(number)
        except FleetError as error:
            on_answer(error)
            return
        waiting = run.WaitingClient(number, 0)
        self._want_view(number, lambda: on_answer(waiting.answer(self.clock(), self.views.get(number))))

    def leave(self, number: int, on_answer: OnAnswer, client: str) -> None:
        """Has a workflow undone, unless it is too late."""
        self._submit_and_look(Leave(number, LEFT), number, on_answer, client)

    def settle(self, number: int, step: int, how: str, on_answer: OnAnswer, client: str) -> None:
        """Settles a stuck step."""
        self._submit_and_look(Settle(number, step, how), number, on_answer, client)

    def client_left(self, on_answer: OnAnswer, client: str) -> None:
        """The client behind `on_answer` has left: its workflow is undone, unless it is too late.

        A command that has not been submitted yet is not submitted at all.
        """
        self.outbox.discard(client, on_answer)
        self.starting = [entry for entry in self.starting if entry.on_answer is not on_answer]
        for number, clients in self.clients.items():
            if any(client.on_answer is on_answer for client in clients):
                self.outbox.append(OutgoingCommand(Leave(number, LEFT), lambda _: None))
                if number in self.runs:
                    self.runs[number].client_left()

    def _submit_and_look(
        self, command: Leave | Settle, number: int, on_answer: OnAnswer, client: str
    ) -> None:
        fault = _find_out_of_bounds(command)
        if fault is not None:
            on_answer(fault)
            return

        def on_result(result: Done) -> None:
            if result.code:
                on_answer(error_from_code(result.code, result.to, dict(result.told)))
            else:
                self.look(number, on_answer)

        self.outbox.append(OutgoingCommand(command, on_result, client, on_answer))

    # The task

    def work(self) -> None:
        """Runs until the mailbox is closed."""
        while not self.mailbox.closed:
            now = self.clock()
            has_lease = self._has_lease(now)
            if now >= self.next_refresh:
                self.next_refresh = now + self.interval
                self._refresh(has_lease)
            if has_lease:
                self._step_runs(now)
            self._answer_clients(now)
            self._submit(now, has_lease)
            self._request_views(now)
            wait = max(self._due(has_lease) - self.clock(), 0)
            self._take_letters(self.member.scheduler.now() + wait)

    def _take_letters(self, until: int) -> None:
        """Waits for letters and carries out what has come.

        However many come, the process's other tasks have their turn in between.
        """
        letter = self.mailbox.get(until)
        count = 0
        while letter is not None:
            call, args = letter
            call(*args)
            count += 1
            if count == MAX_LETTERS_PER_TURN:
                self.member.scheduler.yield_to_others()
                return
            letter = self.mailbox.get_now()

    def _due(self, has_lease: bool) -> int:
        return min(
            [
                self.next_refresh,
                *(workflow_run.due() for workflow_run in self.runs.values() if has_lease),
                *(client.waiting.due() for clients in self.clients.values() for client in clients),
                *(entry.until for entry in self.starting),
            ]
        )

    def _has_lease(self, now: int) -> bool:
        has_lease = self.session.is_usable(now)
        if has_lease and self.session.fence.session != self.own_session:
            # A new session owns nothing: the former one's workflows go to whoever adopts them.
            self.own_session = self.session.fence.session
            self.runs = {}
            self.stuck = set()
        return has_lease

    def _refresh(self, has_lease: bool) -> None:
        """Once an interval: asks what this relay owns, what nobody owns, and what its clients wait for."""
        for number in sorted(self.clients.keys() - self.runs.keys()):
            self._want_view(number)
        if has_lease:
            own_session = self.own_session
            self._ask(
                Question("flows", str(own_session)), lambda answer: self._on_listed(own_session, answer)
            )

    def _ask(self, question: Question, on_answer: Callable[[Answer | FleetError], None]) -> None:
        try:
            self.member.client.ask(question, lambda answer: self.post_or_drop(on_answer, answer))
        except FleetError as error:
            on_answer(error)

    def _on_listed(self, own_session: int, answer: Answer | FleetError) -> None:
        now = self.clock()
        if (
            isinstance(answer, FleetError)
            or answer.code
            or own_session != self.own_session
            or not self._has_lease(now)
        ):
            return
        owned, orphans, live_sessions = answer.value
        for number in owned:
            if number not in self.runs:
                self._want_view(number)
        for adopt in self.takeover.requests(now, orphans, live_sessions, own_session, len(self.runs)):
            self.outbox.append(
                OutgoingCommand(adopt, lambda result, adopt=adopt: self._on_adopted(adopt, result))
            )

    def _on_adopted(self, adopt: Adopt, result: Done) -> None:
        if not result.code:
            self.counters.add("flows.taken_over")
            log.info("workflow taken over", extra={"workflow": adopt.workflow, "former": adopt.former})
            self._want_view(adopt.workflow)

    def _step_runs(self, now: int) -> None:
        for number in sorted(self.runs):
            workflow_run = self.runs[number]
            if workflow_run.due() <= now:
                effects = workflow_run.step(
                    now, self.views.get(number), self.own_session, True, self._may_undo
                )
                self._carry_out(number, effects)
            if workflow_run.state == run.OVER:
                del self.runs[number]
                self.stuck.discard(number)
                self._forget_client(number)
                self.owned_at.pop(number, None)

    def _forget_client(self, number: int) -> None:
        self.client_deadlines.pop(number, None)
        self.started_by.pop(number, None)

    def _may_undo(self) -> bool:
        return self.member.holder.consume(self.clock(), UNDO_BUDGET) is not False

    def _carry_out(self, number: int, effects: tuple[run.Effect, ...]) -> None:
        for effect in effects:
            workflow_run = self.runs[number]
            if isinstance(effect, run.SubmitCommand):
                on_result = self._on_result_of(number, workflow_run, effect.command)
                client = self.started_by.get(number, "")
                self.outbox.append(OutgoingCommand(effect.command, on_result, client))
            else:
                self._send(workflow_run, effect)

    def _on_result_of(
        self, number: int, workflow_run: run.WorkflowRun, command: run.OwnerCommand
    ) -> OnResult:
        def on_result(result: Done) -> None:
            def on_view() -> None:
                if self.runs.get(number) is not workflow_run:
                    return
                now = self.clock()
                has_lease = self._has_lease(now)
                view = self.views.get(number)
                self._carry_out(
                    number, workflow_run.on_result(now, result, view, self.own_session, has_lease)
                )

            if result.code or not self._predict_view(number, command):
                self._want_view(number, on_view)
            else:
                on_view()

        return on_result

    def _predict_view(self, number: int, command: run.OwnerCommand) -> bool:
        """Returns whether the view could be updated without a question, as in the most frequent case."""
        view = self.views.get(number)
        if (
            view is None
            or view.owner != self.own_session
            or not (
                isinstance(command, Intend) or (isinstance(command, Result) and command.outcome == COMPLETED)
            )
        ):
            return False
        elapsed = max(self.clock() - self.owned_at.get(number, 0), 0)
        try:
            predicted = views.predict(view, command, elapsed)
        except FleetError:
            return False
        self._set_view(number, predicted)
        return True

    def _send(self, workflow_run: run.WorkflowRun, send: run.SendReq) -> None:
        intent = workflow_run.sending()
        own_session = self.own_session
        time_left = send.until - self.clock()

        def may_send() -> bool:
            now = self.clock()
            return own_session == self.own_session and self._has_lease(now) and now < send.until

        def on_outcome(outcome: str) -> None:
            workflow_run.on_outcome(self.clock(), intent, outcome)
            self.post_or_drop(len, ())  # wakes the task

        self.sender.send(send, time_left, intent.tried > 1, may_send, on_outcome)

    def _answer_clients(self, now: int) -> None:
        for entry in [entry for entry in self.starting if entry.until <= now]:
            self.starting.remove(entry)
            self.outbox.discard(entry.client, entry.on_answer)
            entry.on_answer(UnknownFateError(self.session.name))
        for number in sorted(self.clients):
            clients = self.clients[number]
            for client in list(clients):
                answer = client.waiting.answer(now, self.views.get(number))
                if answer is not None:
                    clients.remove(client)
                    self.counters.add(f"flows.told.{answer.answer}")
                    client.on_answer(answer)
            if not clients:
                del self.clients[number]
                if number not in self.runs:
                    self._forget_client(number)
        for number in list(self.views):
            if number not in self.runs and number not in self.clients and number not in self.views_wanted:
                del self.views[number]

    # Commands

    def _submit(self, now: int, has_lease: bool) -> None:
        if self.submitted is not None and now - self.submitted.submitted_at > self.answer_timeout:
            self._on_submitted(self.submitted, UnknownFateError(self.session.name))
        if self.submitted is not None or not self.outbox or not has_lease:
            return
        commands = self._take_commands(now)
        if not commands:
            return
        submitted = self.submitted = SubmittedCommands(now, tuple(commands))
        try:
            self.member.client.submit(
                Submit(tuple(command for command, _ in commands), now),
                lambda answer: self.post_or_drop(self._on_submitted, submitted, answer),
            )
        except FleetError as error:
            self.submitted = None
            self._submit_later(submitted, error.code)

    def _take_commands(self, now: int) -> list[tuple[Command, OutgoingCommand]]:
        """Takes the next commands from the outbox; those that the session refuses get its error."""
        commands = []
        for outgoing in self.outbox.take(self.max_commands, MAX_BEGINS):
            try:
                command = self.session.command(outgoing.command, now)
                self.member.client.check_sendable(command)
                commands.append((command, outgoing))
            except FleetError as error:
                figures = tuple(sorted(error.figures.items()))
                outgoing.on_result(Done(code=error.code, to=error.to, told=figures))
        return commands

    def _submit_later(self, submitted: SubmittedCommands, code: str) -> None:
        """Puts commands that were surely not carried out back in front, fewer at once if they were too large.

        They get other marks then: none of these is known anywhere.
        """
        self.outbox.put_back(outgoing for _, outgoing in submitted.commands)
        if code == TooLargeError.code:
            self.max_commands = max(len(submitted.commands) // 2, 1)

    def _on_submitted(self, submitted: SubmittedCommands, answer: Answer | FleetError) -> None:
        if self.submitted is not submitted:
            return
        self.submitted = None
        now = self.clock()
        if isinstance(answer, Done) and answer.code == TooLargeError.code:
            # The leader refused it whole. The client's own error may mean that the answer was too large.
            if len(submitted.commands) > 1:
                self._submit_later(submitted, answer.code)
                return
            answer = (answer,)
        self.max_commands = MAX_COMMANDS
        for index, (command, outgoing) in enumerate(submitted.commands):
            if isinstance(answer, FleetError | Done):
                self.unanswered[command.fence.session, command.mark] = outgoing
                self.session.lost(command, answer.code)
            else:
                self.session.confirmed(now, command)
                outgoing.on_result(answer[index])

    def _on_late_result(self, command: Command, result: Done) -> None:
        """Takes the result of a command whose answer was lost, from the member's task."""
        outgoing = self.unanswered.pop((command.fence.session, command.mark), None)
        if outgoing is not None:
            self.post_or_drop(outgoing.on_result, result)

    # Views

    def _want_view(self, number: int, on_view: Callable[[], None] | None = None) -> None:
        self.views_wanted.setdefault(number, []).extend([on_view] if on_view else [])

    def _request_views(self, now: int) -> None:
        if self.view_request is not None and now - self.view_request.asked_at > self.answer_timeout:
            self.view_request = None
        if self.view_request is not None or not self.views_wanted:
            return
        wanted = sorted(self.views_wanted)
        numbers = tuple(take_in_turn(wanted, lambda number: self.started_by.get(number, ""), views.MAX_VIEWS))
        request = self.view_request = ViewRequest(now, numbers)
        callbacks = {number: self.views_wanted.pop(number) for number in numbers}
        self._ask(
            Question("flow", ",".join(map(str, numbers))),
            lambda answer: self._on_views(request, callbacks, answer),
        )

    def _on_views(
        self,
        request: ViewRequest,
        callbacks: dict[int, list[Callable[[], None]]],
        answer: Answer | FleetError,
    ) -> None:
        if self.view_request is request:
            self.view_request = None
        try:
            if isinstance(answer, FleetError) or answer.code:
                raise UnreadableError("workflow", fault=answer.code)
            new_views = dict(zip(request.numbers, map(views.from_plain, answer.value), strict=True))
        except (FleetError, ValueError):
            # Asked again an interval later, as runs wait for it.
            for number in request.numbers:
                self.member.scheduler.after(
                    self.interval,
                    lambda number=number: self.post_or_drop(
                        self._want_views_again, number, callbacks[number]
                    ),
                )
            return
        for number, view in new_views.items():
            self._set_view(number, view)
            for on_view in callbacks[number]:
                on_view()

    def _want_views_again(self, number: int, callbacks: list[Callable[[], None]]) -> None:
        self.views_wanted.setdefault(number, []).extend(callbacks)

    def _set_view(self, number: int, view: WorkflowView | None) -> None:
        if view is None:
            self.views.pop(number, None)
            return
        self.views[number] = view
        is_own = view.owner == self.own_session
        if is_own and view.state not in books.END_STATES and number not in self.runs:
            self.owned_at[number] = self.clock()
            answer_by = self.client_deadlines.get(number, run.NEVER_US)
            self.runs[number] = run.WorkflowRun(number, self.rng, answer_by)
        if is_own and view.state == books.STUCK and number not in self.stuck:
            self.stuck.add(number)
            self.counters.add("flows.stuck")
            index, error = run.stuck_step(view)
            log.error("workflow is stuck", extra=error.fields() | {"place": index})
        elif view.state != books.STUCK:
            self.stuck.discard(number)


def _find_out_of_bounds(command: Begin | Leave | Settle) -> FleetError | None:
    try:
        bounds.check_command(command)
    except FleetError as error:
        return error
    return None
