"""A relay's session carried out: its orders go to the keepers, what comes back arrives as letters.

One greenlet task; nothing here decides (see `session.py`, `budgets/holder.py`). The log hears of each change
of state once."""

import logging
import threading
from collections.abc import Callable

from laurelcourse.fleet.books.forms import Command, Done, GiveBack
from laurelcourse.fleet.budgets.holder import Holder
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.mailbox import Letters
from laurelcourse.fleet.errors import FleetError, made
from laurelcourse.fleet.orders import Answer, Beat, Submit
from laurelcourse.fleet.session import CLOSING, Session
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import Scheduler

log = logging.getLogger(__name__)

Heard = Callable[[Submit | Beat, Answer | FleetError], None]


class Shares:
    """The holder as a front asks it: leases are counted by another clock than reqs are."""

    def __init__(self, holder: Holder, clock: Callable[[], int]) -> None:
        self.holder, self.clock = holder, clock

    def allows(self, _: int, name: str, key: str = "") -> bool | None:
        return self.holder.allows(self.clock(), name, key)

    def consume(self, _: int, name: str, key: str = "") -> bool | None:
        return self.holder.consume(self.clock(), name, key)

    def release(self, _: int, name: str, key: str = "") -> None:
        self.holder.release(self.clock(), name, key)

    def waits_when_exhausted(self, name: str) -> bool:
        return name in self.holder.waiting


class Member:
    def __init__(
        self,
        scheduler: Scheduler,
        session: Session,
        holder: Holder,
        client: Client,
        letters: Letters,
        clock: Callable[[], int],
        counters: Counters,
    ) -> None:
        """`clock`: monotonic microseconds, the one that the session's leases are counted by."""
        self.scheduler, self.session, self.holder = scheduler, session, holder
        self.client, self.letters, self.clock, self.counters = client, letters, clock, counters
        self.told, self.fault = session.state, ""
        self.others: Callable[[Command, Done], None] = lambda *_: None  # hears of commands not its own

    def work(self) -> None:
        """Until the letters are closed."""
        while not self.letters.closed:
            now = self.clock()
            if now >= self.session.due():
                self.holder.update_session(now)
            for order in self.session.orders(now):
                self._send(order, self._heard)
            self._give_back()
            self._tell()
            wait = max(self.session.due() - self.clock(), 0)
            came = self.letters.get(self.scheduler.now() + wait)
            if came is not None:
                heard, order, answer = came
                heard(order, answer)

    def _send(self, order: Submit | Beat, heard: Heard) -> None:
        give = self.client.renew if isinstance(order, Beat) else self.client.submit
        try:
            give(order, lambda answer: self._put(heard, order, answer))
        except FleetError as error:
            heard(order, error)

    def _put(self, heard: Heard, order: Submit | Beat, answer: Answer | FleetError) -> None:
        """From a thread of the client. An answer that finds no room is as one that was lost on its way."""
        try:
            self.letters.put((heard, order, answer))
        except FleetError:
            self.counters.add("fleet.answers_lost")

    def _heard(self, order: Submit | Beat, answer: Answer | FleetError) -> None:
        """Of an order that the session made."""
        now = self.clock()
        if isinstance(answer, FleetError):
            self.session.failed(now, order.asked_at, answer.code)
            self._doubt(answer)
        else:
            self.session.answered(now, order.asked_at, answer)
            dones = answer if type(answer) is tuple else (answer,)
            for done in [one for one in dones if isinstance(one, Done) and one.code]:
                self._doubt(made(done.code, done.to, dict(done.told)))
        self.holder.renewed(now)
        for command, done in self.session.take_results():
            if isinstance(command.what, GiveBack):
                self.holder.give_back_answered(now, command.what)
            else:
                self.others(command, done)
        if self.fault and self.session.is_usable(now):
            self.fault = ""
            log.info("keepers are back")

    def _give_back(self) -> None:
        now = self.clock()
        for what in self.holder.give_backs(now) if self.session.is_usable(now) else ():
            try:
                command = self.session.command(what, now)
            except FleetError as error:
                # The word was never sent: it must not bind this relay for ever.
                self.holder.give_back_answered(now, what)
                self._doubt(error)
                continue
            self._send(Submit((command,), now), self._given)

    def _given(self, order: Submit, answer: Answer | FleetError) -> None:
        now, command = self.clock(), order.commands[0]
        if isinstance(answer, FleetError | Done):
            self.session.lost(command, answer.code)
            return
        self.session.confirmed(now, command)
        self.holder.give_back_answered(now, command.what)

    def _doubt(self, error: FleetError) -> None:
        self.counters.add(f"fleet.failed.{error.code}")
        if error.code != self.fault:
            self.fault = error.code
            log.warning("keepers fail", extra=error.fields())

    def _tell(self) -> None:
        if self.session.state != self.told:
            self.told, fence = self.session.state, self.session.fence
            log.info(
                "session is now",
                extra={
                    "state": self.told,
                    "session": fence.session if fence else 0,
                    "boot": fence.boot if fence else 0,
                },
            )
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
