"""Steps of workflows as ordinary reqs: through choices and the Balancer, with all their rules.

Two looks guard a late try: the lease is looked at when the Balancer sends one, and no try is written at or
after the end of the step's time (`net/tries.py`), after which whoever took over may call it unknown.
"""

from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.fleet.books.forms import COMPLETED, FAILED, NEVER_RAN, UNKNOWN
from laurelcourse.fleet.workflows.run import Send
from laurelcourse.fleet.workflows.statements import statement
from laurelcourse.fronts.postgres.wire import ProtocolError, Statement
from laurelcourse.net import req
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.req import ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.tries import OUTCOME, TryRunner, UpstreamTry
from laurelcourse.settings import NON_RETRIABLE


class Heard:
    """In the place of a req's box for one try: what became of it is noted on its way."""

    def __init__(self, box: Mailbox, statuses: list[str]) -> None:
        self.box, self.statuses = box, statuses

    def put(self, item: tuple) -> None:
        if item[0] == OUTCOME:
            self.statuses.append(item[3])
        self.box.put(item)


class Owned:
    """Tries of reqs whose sender must have a lease at that moment."""

    def __init__(self, tries: TryRunner) -> None:
        self.tries = tries
        self.usable: dict[str, Callable[[], bool]] = {}  # by the req's name
        self.statuses: dict[str, list[str]] = {}

    def begin(self, number: int, unit: int, limit: int, asked: Statement, box: Mailbox) -> UpstreamTry:
        heard = Heard(box, self.statuses[asked.req])
        if not self.usable[asked.req]():
            return self.tries.report_unsent(number, unit, heard)
        return self.tries.begin(number, unit, limit, asked, heard)

    def report_unsent(self, number: int, unit: int, box: Mailbox) -> UpstreamTry:
        return self.tries.report_unsent(number, unit, box)


def outcome(end: str, statuses: list[str], once: bool) -> str:
    """Of a req, by how it ended and how each of its tries did. `once`: it is never sent again after a try
    that may have run, so that a shed one did not."""
    if end == req.COMPLETED:
        return COMPLETED
    may_have_run = [one for one in statuses if one not in face.NEVER_RAN]
    if end == req.SHED and (once or not may_have_run):
        return NEVER_RAN
    if end == req.ERRORED and may_have_run and set(may_have_run) == {face.CLIENT_FAULT}:
        return FAILED
    return UNKNOWN


class Steps:
    def __init__(
        self,
        scheduler: Scheduler,
        choices: Dispatcher,
        tries: TryRunner,
        counters: Counters,
        repeats: dict[str, str],
    ) -> None:
        """`repeats`: of each route."""
        self.scheduler, self.counters, self.repeats = scheduler, counters, repeats
        self.tries = Owned(tries)
        self.lifecycle = ReqLifecycle(scheduler, choices, self.tries, counters)

    def send(
        self, send: Send, left: int, again: bool, usable: Callable[[], bool], came: Callable[[str], None]
    ) -> None:
        """`came` hears the outcome once, from a task of the scheduler."""
        self.scheduler.spawn(self._send, send, left, again, usable, came)

    def _send(
        self, send: Send, left: int, again: bool, usable: Callable[[], bool], came: Callable[[str], None]
    ) -> None:
        found = UNKNOWN
        try:
            found = self._sent(send, left, again, usable)
        finally:
            self.counters.add(f"flows.steps.{found}")
            came(found)

    def _sent(self, send: Send, left: int, again: bool, usable: Callable[[], bool]) -> str:
        try:
            asked = statement(send, left, again)
        except ProtocolError:
            return FAILED
        box, answers = Mailbox(self.scheduler), Mailbox(self.scheduler)
        statuses = self.tries.statuses[asked.req] = []
        self.tries.usable[asked.req] = usable
        if not self.lifecycle.begin(asked, box, answers):
            return UNKNOWN
        try:
            _, end, _ = answers.get()
            # Tries that are out still use the two: they go when the req is over.
            return outcome(end, statuses, self.repeats.get(send.route) == NON_RETRIABLE)
        finally:
            self.scheduler.after(2 * left, lambda: self._forget(asked.req))

    def _forget(self, name: str) -> None:
        self.tries.statuses.pop(name, None)
        self.tries.usable.pop(name, None)
