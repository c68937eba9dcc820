"""Drives one workflow for its owner: what to do next, as values. No I/O.

Times are whole microseconds by the owner's own clock, random numbers are given. The owner records an intent;
once that is in the log, it sends the req; once the req's outcome is known, it records the result. The lease
is checked at each step, so also between an intent and its req. An owner that takes over a workflow knows only
the state machine's view: a try that is recorded as intended, and that this run did not send, has an unknown
outcome.
"""

from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books import workflows as books
from laurelcourse.fleet.books.workflows import WorkflowView
from laurelcourse.fleet.errors import ERRORS_BY_CODE, FleetError, StepStuckError, UndoStuckError
from laurelcourse.prng import Prng

NEVER_US = 1 << 62
MAX_DOUBLINGS = 40  # of a back-off: any more exceed every longest back-off

OwnerCommand = forms.Intend | forms.Result | forms.Leave


class SubmitCommand(NamedTuple):
    """Submit a command; `on_result` is called with its result, a lost one once it was looked up."""

    command: OwnerCommand


class SendReq(NamedTuple):
    """Send a req that is given up at `until`; `on_outcome` is called with its outcome.

    That is one of COMPLETED, NEVER_RAN, UNKNOWN, FAILED. The sender checks the lease and `until` once more
    when it writes the req to a unit.
    """

    id: str
    key: str  # by which units recognize a repeat
    route: str
    statement: str
    until: int


Effect = SubmitCommand | SendReq

ERRORED = "errored"


class ClientAnswer(NamedTuple):
    """The client's one answer."""

    workflow: int
    answer: str  # DONE, UNDONE or ERRORED
    state: str
    fates: tuple[tuple[str, str], ...]  # of each step: name and state


# States of a run, and which may follow.
READY = "ready"
SUBMITTING = "writing"
SENDING = "sending"
WAITING = "waiting"
OVER = "over"
NEXT_STATES = {
    READY: (SUBMITTING, WAITING, OVER),
    SUBMITTING: (READY, SENDING, WAITING, OVER),
    SENDING: (READY, OVER),
    WAITING: (READY, OVER),
    OVER: (),
}


class WorkflowRun:
    """One workflow at its owner."""

    __slots__ = (
        "_answer_by",
        "_asked_at",
        "_command",
        "_owned_since",
        "_result",
        "_rng",
        "_sent",
        "_wake_at",
        "number",
        "state",
    )

    def __init__(self, number: int, rng: Prng, answer_by: int = NEVER_US) -> None:
        """`answer_by`: when the client must have its answer, if before the definition's timeout."""
        self.number = number
        self.state = READY
        self._rng = rng
        self._answer_by = answer_by  # below 0: the client has left
        self._command: OwnerCommand | None = None  # being submitted
        self._asked_at = 0  # when it was submitted
        self._sent: tuple[forms.Intend, int] | None = None  # the try that this run sent, and until when
        self._result: forms.Result | None = None  # known, but not recorded yet
        self._wake_at = 0
        self._owned_since = -1  # not known yet

    def _set_state(self, to: str, wake_at: int = NEVER_US) -> None:
        if to not in NEXT_STATES[self.state]:
            raise ValueError(f"run {self.number}: {self.state} to {to}")
        self.state = to
        self._wake_at = wake_at

    def due(self) -> int:
        """Returns when `step` has to be called next, unless one of the callbacks is called before."""
        return 0 if self.state == READY else self._wake_at

    def client_left(self) -> None:
        """Notes that the client has left."""
        self._answer_by = -1

    def step(
        self,
        now: int,
        view: WorkflowView | None,
        own_session: int,
        has_lease: bool,
        may_undo: Callable[[], bool],
    ) -> tuple[Effect, ...]:
        """Returns what to do now.

        `view`: the newest one; `has_lease`: whether the session's lease is valid at this moment; `may_undo`
        takes one try from the budget of undos.
        """
        if self.state == OVER:
            return ()
        if view is None or view.owner != own_session or view.state in books.END_STATES:
            self._set_state(OVER)
            return ()
        if not has_lease:
            return ()
        if self._owned_since < 0:
            self._owned_since = now
            time_used = view.owned_since - view.began_at
            self._answer_by = min(self._answer_by, now + view.definition.timeout - time_used)
        if self.state == SENDING and now >= self._wake_at:
            self.on_outcome(now, self._sent[0], forms.UNKNOWN)
        if self.state == WAITING and now >= self._wake_at:
            self._set_state(READY)
        if self.state != READY:
            return ()
        command = self._next_command(now, view, may_undo)
        if command is None:
            return ()
        self._command = command
        self._asked_at = now
        self._set_state(SUBMITTING)
        return (SubmitCommand(command),)

    def _next_command(
        self, now: int, view: WorkflowView, may_undo: Callable[[], bool]
    ) -> OwnerCommand | None:
        if self._result is not None:
            return self._result
        for index, step in enumerate(view.steps):
            if step.state in (books.INTENDED, books.UNDO_INTENDED):
                return self._unknown_result(now, view, index, step.state == books.UNDO_INTENDED)
        if view.state == books.FORWARD:
            return self._next_forward(now, view)
        if view.state == books.UNDOING:
            return self._next_undo(now, view, may_undo)
        self._set_state(WAITING, now + view.definition.longest)  # stuck: an operator has to settle it
        return None

    def _next_undo(self, now: int, view: WorkflowView, may_undo: Callable[[], bool]) -> OwnerCommand | None:
        index = books.step_to_undo(view)
        tried = view.steps[index].undo_tries
        if not books.may_send(view, index, True, self._books_time(now, view)):
            return forms.Result(self.number, index, True, tried, forms.UNKNOWN)
        if not may_undo():
            self._back_off(now, view, tried)
            return None
        return forms.Intend(self.number, index, True, tried + 1)

    def _books_time(self, now: int, view: WorkflowView) -> int:
        """Returns the state machine's time as far as the owner knows it; the true one may be later."""
        return view.owned_since + now - self._owned_since

    def _unknown_result(self, now: int, view: WorkflowView, index: int, undo: bool) -> forms.Result | None:
        definition = view.definition.steps[index]
        step = view.steps[index]
        over_at = self._owned_since + (definition.undo if undo else definition.send).timeout
        if step.intended_by != view.owner and now < over_at:
            self._set_state(WAITING, over_at)
            return None
        tried = step.undo_tries if undo else step.tries
        return forms.Result(self.number, index, undo, tried, forms.UNKNOWN)

    def _next_forward(self, now: int, view: WorkflowView) -> OwnerCommand:
        index = books.current_step(view)
        step = view.steps[index]
        out_of_tries = step.tries >= step.allowed_tries
        if not books.passed_no_return(view) and (self._is_late(now, view, index) or out_of_tries):
            return forms.Leave(self.number, self._leave_reason(out_of_tries))
        if not books.may_send(view, index, False, self._books_time(now, view)):
            return forms.Result(self.number, index, False, step.tries, forms.UNKNOWN)
        return forms.Intend(self.number, index, False, step.tries + 1)

    def _leave_reason(self, out_of_tries: bool) -> str:
        if self._answer_by < 0:
            return forms.LEFT
        return forms.GAVE_UP if out_of_tries else forms.LATE

    def _is_late(self, now: int, view: WorkflowView, index: int) -> bool:
        """Returns whether this step and all undos, each with its whole timeout, would end too late."""
        steps = view.definition.steps
        undos = sum(step.undo.timeout for step in steps[: index + 1] if step.undo)
        return now + steps[index].send.timeout + undos > self._answer_by

    def _back_off(self, now: int, view: WorkflowView, tried: int) -> None:
        """Waits twice as long each time, less a random part of up to half, so that runs spread."""
        delay = min(view.definition.back_off << min(tried, MAX_DOUBLINGS), view.definition.longest)
        self._set_state(WAITING, now + delay - self._rng.below(delay // 2 + 1))

    def on_result(
        self, now: int, result: forms.Done, view: WorkflowView | None, own_session: int, has_lease: bool
    ) -> tuple[Effect, ...]:
        """Takes the result of the last SubmitCommand. `view` and `has_lease` are as of this moment."""
        if self.state != SUBMITTING:
            return ()
        command, self._command = self._command, None
        if type(command) is forms.Result and not _is_temporary(result):
            self._result = None
        if result.code:
            # Fenced off, or the state is not what was assumed: check again, but not at once.
            if view is None:
                self._set_state(OVER)
            else:
                self._back_off(now, view, 0)
            return ()
        if type(command) is forms.Intend and view is not None and has_lease and view.owner == own_session:
            return self._send(now, command, result, view)
        if type(command) is forms.Intend:
            # Nothing was sent, but an owner without a lease may not record that: it stays unknown.
            self._set_state(READY)
        elif type(command) is forms.Result and command.outcome != forms.COMPLETED and view is not None:
            self._back_off(now, view, command.tried - 1)
        else:
            self._set_state(READY)
        return ()

    def _send(
        self, now: int, intent: forms.Intend, result: forms.Done, view: WorkflowView
    ) -> tuple[Effect, ...]:
        """Returns the req of a try, unless the books' answer came too late for a repeat.

        Units remember the first try for as long as the books say. That counts from when this relay asked, as
        a lease does: the books answered later, and the answer may have been on its way for long.
        """
        definition = view.definition.steps[intent.step]
        send = definition.undo if intent.undo else definition.send
        req_id, key, *repeatable_for = result.value
        until = min([now + send.timeout, *(self._asked_at + time for time in repeatable_for)])
        if until <= now:
            self._result = forms.Result(*intent, forms.NEVER_RAN)
            self._set_state(READY)
            return ()
        self._sent = intent, until
        self._set_state(SENDING, until)
        return (SendReq(req_id, key, send.route, fill(send.statement, view.values), until),)

    def on_outcome(self, now: int, intent: forms.Intend, outcome: str) -> None:
        """Takes the outcome of a req; ignored once it was called unknown."""
        if self.state != SENDING or self._sent is None or self._sent[0] != intent:
            return
        self._sent = None
        self._result = forms.Result(*intent, outcome)
        self._set_state(READY)

    def sending(self) -> forms.Intend | None:
        """Returns the try in flight."""
        return self._sent[0] if self._sent else None


def _is_temporary(result: forms.Done) -> bool:
    return result.code in ERRORS_BY_CODE and ERRORS_BY_CODE[result.code].is_temporary


def fill(template: str, values: tuple[tuple[str, str], ...]) -> str:
    """Returns the template with its values; in one pass, so that no value is taken for a template."""
    value_by_name = dict(values)
    first, *parts = template.split("{")
    filled = [first]
    for part in parts:
        name, close, rest = part.partition("}")
        filled.append(value_by_name[name] + rest if close and name in value_by_name else "{" + part)
    return "".join(filled)


def placeholders(template: str) -> list[str]:
    """Returns the names that `fill` would look up, each once."""
    parts = (part.partition("}") for part in template.split("{")[1:])
    return list(dict.fromkeys(name for name, close, _ in parts if name and close))


def stuck_step(view: WorkflowView) -> tuple[int, FleetError]:
    """Returns the index of the step that an operator must settle, and the error that says what to do."""
    passed = books.passed_no_return(view)
    index = books.current_step(view) if passed else books.step_to_undo(view)
    step = view.steps[index]
    error_type, tries = (StepStuckError, step.tries) if passed else (UndoStuckError, step.undo_tries)
    name = view.definition.steps[index].name
    return index, error_type(f"workflow {view.number}", step=name, tries=tries)


class WaitingClient:
    """A client that waits, at any relay: it gets one answer, in time."""

    __slots__ = ("_is_answered", "_until", "number")

    def __init__(self, number: int, until: int) -> None:
        self.number = number
        self._until = until
        self._is_answered = False

    def due(self) -> int:
        """Returns when `answer` has to be called at the latest."""
        return NEVER_US if self._is_answered else self._until

    def answer(self, now: int, view: WorkflowView | None) -> ClientAnswer | None:
        """Returns the answer, once: as soon as the workflow has ended, or ERRORED when the time is up."""
        state = view.state if view else "unknown"
        if self._is_answered or (state not in books.END_STATES and now < self._until):
            return None
        self._is_answered = True
        steps = zip(view.definition.steps, view.steps, strict=True) if view else ()
        return ClientAnswer(
            self.number,
            state if state in books.END_STATES else ERRORED,
            state,
            tuple((definition.name, step.state) for definition, step in steps),
        )
