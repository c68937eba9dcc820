"""A relay's session carried out: its orders go to the keepers, what comes back arrives as letters.

One greenlet task; nothing here decides (see `session.py`). The log hears of each change of state once."""

import logging
import threading
from collections.abc import Callable

from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.mailbox import Letters
from laurelcourse.fleet.errors import FleetError
from laurelcourse.fleet.orders import Answer, Beat, Submit
from laurelcourse.fleet.session import CLOSING, HELD, Session
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import Scheduler

log = logging.getLogger(__name__)


class Member:
    def __init__(self, scheduler: Scheduler, session: Session, client: Client, letters: Letters,
                 clock: Callable[[], int], counters: Counters) -> None:
        """`clock`: monotonic microseconds, the one that the session's leases are counted by."""
        self.scheduler, self.session, self.client, self.letters = scheduler, session, client, letters
        self.clock, self.counters = clock, counters
        self.told, self.fault = session.state, ""

    def work(self) -> None:
        """Until the letters are closed."""
        while not self.letters.closed:
            for order in self.session.orders(self.clock()):
                self._send(order)
            self._tell()
            wait = max(self.session.due() - self.clock(), 0)
            came = self.letters.get(self.scheduler.now() + wait)
            if came is not None:
                self._heard(*came)

    def _send(self, order: Submit | Beat) -> None:
        give = self.client.renew if isinstance(order, Beat) else self.client.submit
        try:
            give(order, lambda answer: self._put(order, answer))
        except FleetError as error:
            self._heard(order, error)

    def _put(self, order: Submit | Beat, answer: Answer | FleetError) -> None:
        """From a thread of the client. An answer that finds no room is as one that was lost on its way."""
        try:
            self.letters.put((order, answer))
        except FleetError:
            self.counters.add("fleet.answers_lost")

    def _heard(self, order: Submit | Beat, answer: Answer | FleetError) -> None:
        if isinstance(answer, FleetError):
            self.session.failed(self.clock(), order.asked_at, answer.code)
            self._doubt(answer)
            return
        self.session.answered(self.clock(), order.asked_at, answer)
        if self.fault and self.session.state == HELD:
            self.fault = ""
            log.info("keepers are back")

    def _doubt(self, error: FleetError) -> None:
        self.counters.add(f"fleet.failed.{error.code}")
        if error.code != self.fault:
            self.fault = error.code
            log.warning("keepers fail", extra=error.fields())

    def _tell(self) -> None:
        if self.session.state != self.told:
            self.told, fence = self.session.state, self.session.fence
            log.info("session is now", extra={
                "state": self.told, "session": fence.session if fence else 0, "boot": fence.boot if fence else 0})
            self.counters.add(f"fleet.sessions.{self.told}")

    def close(self, timeout: int) -> None:
        """Gives back what is held, from the thread that the scheduler ran in, once it has ended. `timeout`
        in microseconds: without an answer by then the session lapses by itself."""
        self.session.close(self.clock())
        if self.session.state == CLOSING:
            over = threading.Event()
            for order in self.session.orders(self.clock()):
                try:
                    self.client.submit(order, lambda _: over.set())
                except FleetError:
                    over.set()
            over.wait(timeout / 1_000_000)
        self.letters.close()
        self.client.close(timeout)
