"""The life of a req, whatever the protocol: it is taken, tried at units, and given one answer."""

from collections.abc import Callable
from typing import Protocol

from laurelcourse import interface as face
from laurelcourse.net.choices import Choices
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.tries import OUTCOME, Tries, Try

ANSWER, GONE = "answer", "gone"
COMPLETED, SHED, ERRORED, WITHDRAWN = "completed", "shed", "errored", "withdrawn"


class Asked(Protocol):
    """What a front takes for a req: its name, route and times; its exchange knows the rest."""

    req: str
    route: str
    left_ms: int
    repeated: bool
    key: int | None


class Lives:
    def __init__(self, scheduler: Scheduler, choices: Choices, tries: Tries, counters: Counters) -> None:
        self.scheduler, self.choices, self.tries, self.counters = scheduler, choices, tries, counters

    def begin(
        self, asked: Asked, box: Mailbox, client: Mailbox, left: Callable[[], bool] | None = None
    ) -> bool:
        """Begins a req's life; its one answer (ANSWER, end, value) goes to the client. GONE in the box says
        that the client has left; `left`, asked before bytes go to a unit, whether it has by then. False if a
        req with its id is under way."""
        if not self.choices.expect(asked.req, box, left):
            return False
        self.scheduler.spawn(self._live, asked, box, client)
        return True

    def _live(self, asked: Asked, box: Mailbox, client: Mailbox) -> None:
        """From its taking until it is answered and no try is out."""
        req, route, choices = asked.req, asked.route, self.choices
        tries: list[Try] = []
        out, end = 0, None
        try:
            choices.take(req, route, asked.key, asked.left_ms * 1000, asked.repeated)
            # What the module decided before it heard of the client's leaving is still in the box, and owed an
            # outcome: else its try would count as open for ever.
            while end is None or out or box.items:
                what, *rest = box.get()
                if what == face.SEND:
                    _, unit, limit = rest
                    out += 1
                    if end is None:
                        tries.append(self.tries.begin(len(tries), unit, limit, asked, box))
                    else:
                        tries.append(self.tries.unsent(len(tries), unit, box))
                elif what == face.CANCEL:
                    tries[rest[1]].cancel()
                elif what == OUTCOME:
                    number, unit, status, lag, load, value = rest
                    out -= 1
                    if status == face.OK and end is None:
                        end = COMPLETED
                        client.put((ANSWER, end, value))
                    choices.outcome(req, number, unit, status, lag, end is not None, load)
                elif what == GONE and end is None:
                    end = WITHDRAWN
                    choices.withdrawn(req)
                elif what == face.SHED and end is None:
                    end = SHED
                    client.put((ANSWER, end, rest[1]))
                elif what == face.ERROR and end is None:
                    end = ERRORED
                    client.put((ANSWER, end, None))
        finally:
            if end is None:
                # A fault of this program: the client still gets its one answer, which claims nothing.
                end = ERRORED
                client.put((ANSWER, end, None))
            choices.done(req)
            self.counters.add(f"reqs.{route}.{end}")
