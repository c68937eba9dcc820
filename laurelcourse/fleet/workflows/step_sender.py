"""Sends the steps of workflows as ordinary reqs, through the dispatcher and the Balancer with all its rules.

The lease and the end of the step's time guard against a late try: after them a new owner may call it unknown,
and units may have forgotten its key. Both are checked when the Balancer sends a try, and right before its
bytes are written.
"""

from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.fleet.books.forms import COMPLETED, FAILED, NEVER_RAN, UNKNOWN
from laurelcourse.fleet.workflows.run import SendReq
from laurelcourse.fleet.workflows.statements import build_statement
from laurelcourse.fronts.postgres.wire import ProtocolError, Statement
from laurelcourse.net import req
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.req import ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.tries import OUTCOME, TryRunner, UpstreamTry
from laurelcourse.settings import NON_RETRIABLE


class RecordingMailbox:
    """Stands for a req's mailbox for one try: records the try's status and passes everything on."""

    def __init__(self, mailbox: Mailbox, statuses: list[str]) -> None:
        self.mailbox = mailbox
        self.statuses = statuses

    def put(self, item: tuple) -> None:
        """Passes an item on."""
        if item[0] == OUTCOME:
            self.statuses.append(item[3])
        self.mailbox.put(item)


class GuardedTries:
    """Runs tries of reqs whose sender is asked, for each one, whether it may still send."""

    def __init__(self, tries: TryRunner) -> None:
        self.tries = tries
        self.may_send: dict[str, Callable[[], bool]] = {}  # by req
        self.statuses: dict[str, list[str]] = {}  # by req: of its tries

    def begin(self, number: int, unit: int, limit: int, statement: Statement, box: Mailbox) -> UpstreamTry:
        """Begins a try, or reports it as unsent."""
        recording = RecordingMailbox(box, self.statuses[statement.req])
        if not self.may_send[statement.req]():
            return self.tries.report_unsent(number, unit, recording)
        return self.tries.begin(number, unit, limit, statement, recording)

    def report_unsent(self, number: int, unit: int, box: Mailbox) -> UpstreamTry:
        """Reports a try as unsent."""
        return self.tries.report_unsent(number, unit, box)


def outcome_of(end: str, statuses: list[str], once: bool) -> str:
    """Returns the outcome of a req by how it ended and the statuses of its tries.

    `once`: it is never repeated after a try that may have run, so one that was shed never ran.
    """
    if end == req.COMPLETED:
        return COMPLETED
    may_have_run = [status for status in statuses if status not in face.NEVER_RAN]
    if end == req.SHED and (once or not may_have_run):
        return NEVER_RAN
    if end == req.ERRORED and may_have_run and set(may_have_run) == {face.CLIENT_FAULT}:
        return FAILED
    return UNKNOWN


class StepSender:
    """Sends steps."""

    def __init__(
        self,
        scheduler: Scheduler,
        dispatcher: Dispatcher,
        tries: TryRunner,
        counters: Counters,
        repeat_policies: dict[str, str],
    ) -> None:
        """`repeat_policies`: by route."""
        self.scheduler = scheduler
        self.counters = counters
        self.repeat_policies = repeat_policies
        self.tries = GuardedTries(tries)
        self.lifecycle = ReqLifecycle(scheduler, dispatcher, self.tries, counters)

    def send(
        self,
        send: SendReq,
        time_left: int,
        is_repeat: bool,
        may_send: Callable[[], bool],
        on_outcome: Callable[[str], None],
    ) -> None:
        """Sends a step; a task of the scheduler calls `on_outcome`, once. `time_left` is in microseconds."""
        self.scheduler.spawn(self._send, send, time_left, is_repeat, may_send, on_outcome)

    def _send(
        self,
        send: SendReq,
        time_left: int,
        is_repeat: bool,
        may_send: Callable[[], bool],
        on_outcome: Callable[[str], None],
    ) -> None:
        outcome = UNKNOWN
        try:
            outcome = self._run_req(send, time_left, is_repeat, may_send)
        finally:
            self.counters.add(f"flows.steps.{outcome}")
            on_outcome(outcome)

    def _run_req(self, send: SendReq, time_left: int, is_repeat: bool, may_send: Callable[[], bool]) -> str:
        try:
            statement = build_statement(send, time_left, is_repeat)
        except ProtocolError:
            return FAILED
        box, answers = Mailbox(self.scheduler), Mailbox(self.scheduler)
        statuses = self.tries.statuses[statement.req] = []
        self.tries.may_send[statement.req] = may_send
        if not self.lifecycle.begin(statement, box, answers, lambda: not may_send()):
            return UNKNOWN
        try:
            _, end, _ = answers.get()
            # Tries in flight still use both entries, until the req is over.
            once = self.repeat_policies.get(send.route) == NON_RETRIABLE
            return outcome_of(end, statuses, once)
        finally:
            self.scheduler.after(2 * time_left, lambda: self._forget(statement.req))

    def _forget(self, name: str) -> None:
        self.tries.statuses.pop(name, None)
        self.tries.may_send.pop(name, None)
