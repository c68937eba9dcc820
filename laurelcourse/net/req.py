"""The lifecycle of a req in any protocol: it is registered, tried at units, and answered once."""

from collections.abc import Callable
from typing import Protocol

from laurelcourse import interface as face
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.spent_ids import SpentIds
from laurelcourse.net.tries import OUTCOME, TryRunner, UpstreamTry

# Messages: the final answer to the client's task, and the client's leaving to the req's task.
ANSWER = "answer"
GONE = "gone"

# How a req ended.
COMPLETED = "completed"
SHED = "shed"
ERRORED = "errored"
WITHDRAWN = "withdrawn"


class Request(Protocol):
    """What a front reads as a req. Its exchange knows the rest."""

    req: str  # id
    route: str
    left_ms: int
    repeated: bool
    key: int | None


class ReqLifecycle:
    """Runs one task for each req."""

    def __init__(
        self,
        scheduler: Scheduler,
        dispatcher: Dispatcher,
        tries: TryRunner,
        counters: Counters,
        spent_ids: SpentIds | None = None,
        routes_run_once: frozenset[str] = frozenset(),
    ) -> None:
        """An id of `routes_run_once` that may have run is kept in `spent_ids`, and not taken again."""
        self.scheduler, self.dispatcher, self.tries = scheduler, dispatcher, tries
        self.counters = counters
        self.spent_ids = spent_ids or SpentIds(0)
        self.routes_run_once = routes_run_once

    def begin(
        self,
        request: Request,
        mailbox: Mailbox,
        client_mailbox: Mailbox,
        client_has_left: Callable[[], bool] | None = None,
        on_over: Callable[[], None] = lambda: None,
        close_is_hidden: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Starts a req's task; returns False if a req with its id is under way, or may have run and must not
        run again.

        Its one answer (ANSWER, end, value) goes to the client's mailbox. GONE in the req's mailbox says that
        the client has left; `client_has_left` is asked right before bytes go to a unit. `on_over` is called
        once nothing holds the request any more. After the first try there is no further one while
        `close_is_hidden`: what was written to the client before it would have told that it is gone.
        """
        if request.req in self.spent_ids or not self.dispatcher.register(
            request.req, mailbox, client_has_left
        ):
            on_over()
            return False
        self.scheduler.spawn(self._run, request, mailbox, client_mailbox, on_over, close_is_hidden)
        return True

    def _run(
        self,
        request: Request,
        mailbox: Mailbox,
        client_mailbox: Mailbox,
        on_over: Callable[[], None],
        close_is_hidden: Callable[[], bool],
    ) -> None:
        """Runs until the req is answered and no try is open."""
        req, route, dispatcher = request.req, request.route, self.dispatcher
        tries: list[UpstreamTry] = []
        open_tries, end, may_have_run = 0, None, False
        try:
            dispatcher.new_req(req, route, request.key, request.left_ms * 1000, request.repeated)
            # What the module decided before it learned of the client's leaving is still in the mailbox. Its
            # try needs an outcome, or it would count as open for ever.
            while end is None or open_tries or mailbox.items:
                message, *args = mailbox.get()
                if message == face.SEND:
                    _, unit, limit = args
                    open_tries += 1
                    if end is None and tries and close_is_hidden():
                        end = ERRORED
                        client_mailbox.put((ANSWER, end, None))
                        self.counters.add("reqs_of_hidden_clients")
                        dispatcher.withdrawn(req)
                    if end is None:
                        tries.append(self.tries.begin(len(tries), unit, limit, request, mailbox))
                    else:
                        tries.append(self.tries.report_unsent(len(tries), unit, mailbox))
                elif message == face.CANCEL:
                    tries[args[1]].cancel()
                elif message == OUTCOME:
                    number, unit, status, lag, load, value = args
                    open_tries -= 1
                    may_have_run |= status not in face.NEVER_RAN
                    if status == face.OK and end is None:
                        end = COMPLETED
                        client_mailbox.put((ANSWER, end, value))
                    dispatcher.outcome(req, number, unit, status, lag, end is not None, load)
                elif message == GONE and end is None:
                    end = WITHDRAWN
                    dispatcher.withdrawn(req)
                elif message == face.SHED and end is None:
                    end = SHED
                    client_mailbox.put((ANSWER, end, args[1]))
                elif message == face.ERROR and end is None:
                    end = ERRORED
                    client_mailbox.put((ANSWER, end, None))
        finally:
            if end is None:
                # After a fault of this program the client still gets its one answer, which claims nothing.
                end = ERRORED
                client_mailbox.put((ANSWER, end, None))
            if route in self.routes_run_once and (may_have_run or open_tries):
                self.spent_ids.add(req)
            dispatcher.unregister(req)
            on_over()
            self.counters.add(f"reqs.{route}.{end}")
