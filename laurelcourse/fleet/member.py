"""Carries out a relay's session: sends its orders to the keepers and applies their answers.

One greenlet task; nothing is decided here (see `session.py`, `budgets/holder.py`). Each change of the
session's state is logged once.
"""

import logging
import threading
from collections.abc import Callable

from laurelcourse.fleet.books.forms import Command, Done, GiveBack
from laurelcourse.fleet.budgets.holder import Holder
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.errors import FleetError, error_from_code
from laurelcourse.fleet.orders import Answer, Beat, Submit
from laurelcourse.fleet.session import CLOSING, Session
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import Scheduler

log = logging.getLogger(__name__)

MICROSECONDS_PER_SECOND = 1_000_000

OnAnswer = Callable[[Submit | Beat, Answer | FleetError], None]


class Shares:
    """The holder as fronts use it (`interface.Budgets`); leases run by another clock than reqs do."""

    def __init__(self, holder: Holder, clock: Callable[[], int]) -> None:
        self.holder = holder
        self.clock = clock

    def allows(self, _: int, name: str, key: str = "") -> bool | None:
        """Returns whether one may be used now; None if no budget limits it."""
        return self.holder.allows(self.clock(), name, key)

    def consume(self, _: int, name: str, key: str = "") -> bool | None:
        """Uses one if it may be used now; None if no budget limits it."""
        return self.holder.consume(self.clock(), name, key)

    def release(self, _: int, name: str, key: str = "") -> None:
        """Releases one of a budget of what is held at once."""
        self.holder.release(self.clock(), name, key)

    def waits_when_exhausted(self, name: str) -> bool:
        """Returns whether reqs wait for this budget when it is used up."""
        return name in self.holder.waiting


class Member:
    """A relay's membership of its fleet: the session, the budgets and the client of the keepers."""

    def __init__(
        self,
        scheduler: Scheduler,
        session: Session,
        holder: Holder,
        client: Client,
        mailbox: CrossThreadMailbox,
        clock: Callable[[], int],
        counters: Counters,
    ) -> None:
        """`clock` returns monotonic microseconds, by which the session's lease is measured."""
        self.scheduler = scheduler
        self.session = session
        self.holder = holder
        self.client = client
        self.mailbox = mailbox
        self.clock = clock
        self.counters = counters
        self.logged_state = session.state
        self.fault = ""  # the code of the error that was logged last; empty once the session is usable again
        self.on_result: Callable[[Command, Done], None] = (
            lambda *_: None
        )  # for commands of workflows, transfers

    def work(self) -> None:
        """Runs until the mailbox is closed."""
        while not self.mailbox.closed:
            now = self.clock()
            if now >= self.session.due():
                self.holder.update_session(now)
            for order in self.session.orders(now):
                self.send(order, self._answered)
            self._give_back()
            self._log_state()
            wait = max(self.session.due() - self.clock(), 0)
            letter = self.mailbox.get(self.scheduler.now() + wait)
            if letter is not None:
                on_answer, order, answer = letter
                on_answer(order, answer)

    def send(self, order: Submit | Beat, on_answer: OnAnswer) -> None:
        """Sends an order; this task calls `on_answer` with its answer, or at once if it can't be sent."""
        call = self.client.renew if isinstance(order, Beat) else self.client.submit
        try:
            call(order, lambda answer: self._put(on_answer, order, answer))
        except FleetError as error:
            on_answer(order, error)

    def _put(self, on_answer: OnAnswer, order: Submit | Beat, answer: Answer | FleetError) -> None:
        """Called by a thread of the client. An answer that finds the queue full counts as lost."""
        try:
            self.mailbox.put((on_answer, order, answer))
        except FleetError:
            self.counters.add("fleet.answers_lost")

    def _answered(self, order: Submit | Beat, answer: Answer | FleetError) -> None:
        """Applies the answer to an order of the session."""
        now = self.clock()
        is_repeat = isinstance(order, Submit)
        if isinstance(answer, FleetError):
            self.session.failed(now, order.asked_at, answer.code, is_repeat)
            self._log_fault(answer)
        else:
            self.session.answered(now, order.asked_at, answer, is_repeat)
            dones = answer if type(answer) is tuple else (answer,)
            for done in [done for done in dones if isinstance(done, Done) and done.code]:
                self._log_fault(error_from_code(done.code, done.to, dict(done.told)))
        self.holder.renewed(now)
        for command, done in self.session.take_results():
            if isinstance(command.what, GiveBack):
                self.holder.give_back_answered(now, command.what)
            else:
                self.on_result(command, done)
        if self.fault and self.session.is_usable(now):
            self.fault = ""
            log.info("keepers are back")

    def _give_back(self) -> None:
        now = self.clock()
        for give_back in self.holder.give_backs(now) if self.session.is_usable(now) else ():
            try:
                command = self.session.command(give_back, now)
            except FleetError as error:
                # It was never sent, so it must not bind this relay for ever.
                self.holder.give_back_answered(now, give_back)
                self._log_fault(error)
                continue
            self.send(Submit((command,), now), self._give_back_answered)

    def _give_back_answered(self, order: Submit, answer: Answer | FleetError) -> None:
        now = self.clock()
        command = order.commands[0]
        if isinstance(answer, FleetError | Done):
            self.session.lost(command, answer.code)
            return
        self.session.confirmed(now, command)
        self.holder.give_back_answered(now, command.what)

    def _log_fault(self, error: FleetError) -> None:
        self.counters.add(f"fleet.failed.{error.code}")
        if error.code != self.fault:
            self.fault = error.code
            log.warning("keepers fail", extra=error.fields())

    def _log_state(self) -> None:
        if self.session.state != self.logged_state:
            self.logged_state = self.session.state
            fence = self.session.fence
            log.info(
                "session is now",
                extra={
                    "state": self.logged_state,
                    "session": fence.session if fence else 0,
                    "boot": fence.boot if fence else 0,
                },
            )
            self.counters.add(f"fleet.sessions.{self.logged_state}")

    def close(self, timeout: int) -> None:
        """Closes the session, in the scheduler's thread, after the scheduler has ended.

        Without an answer within `timeout` microseconds the session lapses by itself.
        """
        self.session.close(self.clock())
        if self.session.state == CLOSING:
            answered = threading.Event()
            for order in self.session.orders(self.clock()):
                try:
                    self.client.submit(order, lambda _: answered.set())
                except FleetError:
                    answered.set()
            answered.wait(timeout / MICROSECONDS_PER_SECOND)
        self.mailbox.close()
        self.client.close(timeout)
