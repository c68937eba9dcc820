"""The thread that owns a keeper's decisions and its disk: the only place that waits for either.

Other threads put in what they heard and what was asked; here it goes to the desk, and what the desk says is
done strictly in order: on disk, then sent, answered and noted. Once a desk has decided, it has gone ahead of
the disk, so a write that found no room is given again, the very same, before anything else happens at all.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any, NamedTuple

from laurelcourse.fleet import errors
from laurelcourse.fleet.keeper.desk import Desk
from laurelcourse.fleet.keeper.forms import LEADER, Keepers, Kept, Message, Write
from laurelcourse.fleet.keeper.store import Store
from laurelcourse.fleet.orders import Acts, Answer, Beat, Note, Question, Submit

TAKING, FULL, STOPPING, ENDED = "taking", "full", "stopping", "ended"
NEXT = {TAKING: (FULL, STOPPING, ENDED), FULL: (TAKING, STOPPING, ENDED), STOPPING: (ENDED,), ENDED: ()}
LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
OWN = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}  # no fields for logging
SECOND = 1_000_000
LONGEST = 60 * SECOND  # of one wait: a desk that wants no tick names a time beyond what the system can wait


class Asked(NamedTuple):
    """One order, the desk's method that takes it, and who waits for its answer."""

    how: Callable[[int, int, Any], Acts]
    what: Submit | Beat | Question | Keepers
    future: "Future[Answer]"


class Keeping:
    """A keeper's part in one process. All methods may be called from any thread, and none waits but `stop`.

    `clock` gives monotonic microseconds. `send` must neither wait nor raise; a message that it can't take is
    lost, as one on the way may be. A future holds an `Answer` (a refusal too is one), or a `FleetError` from
    here: of orders that the desk had taken before this keeper's part ended, the fate is not known."""

    def __init__(
        self,
        desk: Desk,
        store: Store,
        send: Callable[[str, Message], None],
        clock: Callable[[], int],
        log: logging.Logger,
    ) -> None:
        self.desk, self.store, self.send, self.clock, self.log = desk, store, send, clock, log
        self.beat, self.most = desk.terms.bounds.beat, desk.terms.bounds.waiting
        self.state, self.error, self.until = TAKING, None, 0
        self.told = False  # whether the desk has heard that it is being stopped
        self.changed = threading.Condition()
        self.heards: deque[tuple[str, Message]] = deque()
        self.orders: deque[Asked] = deque()
        self.waiting: dict[int, Future[Answer]] = {}
        self.token = self.lost = 0
        self.thread = threading.Thread(target=self._run, name="keeper", daemon=True)
        self.thread.start()

    # From any thread

    def heard(self, sender: str, message: Message) -> None:
        """Dropped if too many wait, or while the disk is full: Raft sends again whatever is of use."""
        with self.changed:
            if len(self.heards) < self.most and self.state in (TAKING, STOPPING):
                self.heards.append((sender, message))
                self.changed.notify()
            else:
                self.lost += 1

    def submit(self, submit: Submit) -> "Future[Answer]":
        return self._ask(self.desk.submit, submit)

    def renew(self, beat: Beat) -> "Future[Answer]":
        return self._ask(self.desk.renew, beat)

    def ask(self, question: Question) -> "Future[Answer]":
        return self._ask(self.desk.ask, question)

    def change(self, keepers: Keepers) -> "Future[Answer]":
        return self._ask(self.desk.change, keepers)

    def stop(self, timeout: int) -> bool:
        """Hands leadership over and answers what waits, for `timeout` microseconds at most; whether all of it
        has ended by then, a beat allowed, and the folder is let go of."""
        self._turn(STOPPING, errors.StoppingError(self.desk.name), until=self.clock() + timeout)
        self.thread.join((timeout + self.beat) / SECOND)
        return not self.thread.is_alive()

    def _ask(
        self, how: Callable[[int, int, Any], Acts], what: Submit | Beat | Question | Keepers
    ) -> "Future[Answer]":
        future: Future[Answer] = Future()
        with self.changed:
            error, waiting = self.error, len(self.orders)
            if error is None and waiting >= self.most:
                error = errors.OverloadedError(self.desk.name, waiting=waiting, at_most=self.most)
            if error is None:
                self.orders.append(Asked(how, what, future))
                self.changed.notify()
        if error is not None:
            future.set_exception(error)
        return future

    def _turn(
        self,
        state: str,
        error: errors.FleetError | None,
        fate: errors.FleetError | None = None,
        until: int = 0,
    ) -> bool:
        """The one place where `state` changes, if it may. `error` is what orders hear from now on, and those
        that the desk has not seen; `fate`, at the end, what the others do."""
        with self.changed:
            if state not in NEXT[self.state]:
                return False
            self.state, self.error, self.until = state, error, until
            unseen = [one.future for one in self.orders] if error else []
            seen = [self.waiting.pop(token) for token in sorted(self.waiting)] if fate else []
            if error:
                self.orders.clear()
            if state in (FULL, ENDED):
                self.heards.clear()
            self.changed.notify_all()
        # Not under the lock: whoever waits on a future may do anything when it is done.
        for future in unseen:
            if future.set_running_or_notify_cancel():
                future.set_exception(error)
        for future in seen:
            future.set_exception(fate)
        return True

    # In the thread of its own

    def _run(self) -> None:
        name = self.desk.name
        unknown = errors.UnknownFateError(name)
        try:
            while self._step():
                pass
            self._turn(ENDED, errors.StoppingError(name), unknown)
        except errors.DiskFullError as error:
            self.log.warning("keeper ends with a write that found no room", extra=error.fields())
            self._turn(ENDED, errors.StoppingError(name), unknown)
        except errors.DiskFailedError as error:
            self.log.error("keeper takes part no more", extra=error.fields())
            self._turn(ENDED, error, error)
        except Exception as error:
            fault = errors.KeeperFaultError(name, fault=" ".join(f"{type(error).__name__}: {error}".split()))
            self.log.exception("keeper takes part no more", extra=fault.fields())
            self._turn(ENDED, fault, fault)
        finally:
            self.store.close()

    def _step(self) -> bool:
        """A tick if it is due, one message, one order: none keeps the others waiting for long. Each goes with
        the time from after it came: an earlier one would count a lease too long. False once all is over."""
        if self.desk.due() <= self.clock():
            self._carry(self.desk.tick(self.clock()))
        with self.changed:
            stop, over = self.state == STOPPING and not self.told, self._over()
            if not (stop or over or self.heards or self.orders):
                until = min(self.desk.due(), self.until) if self.told else self.desk.due()
                self.changed.wait(max(min(until - self.clock(), LONGEST), 0) / SECOND)
            heard = self.heards.popleft() if self.heards else None
        if over:
            return False
        if stop:
            self.told = True
            self._carry(self.desk.stop(self.clock()))
        if heard is not None:
            self._carry(self.desk.hear(self.clock(), *heard))
        with self.changed:
            order = self.orders.popleft() if self.orders else None
            if order is None or not order.future.set_running_or_notify_cancel():
                return True
            self.token += 1
            self.waiting[self.token] = order.future
        self._carry(order.how(self.clock(), self.token, order.what))
        return True

    def _over(self) -> bool:
        """A leader stays until another one leads, if there is any that could, to go on with what it began."""
        if not self.told:
            return False
        core = self.desk.core
        leads = core.role == LEADER and len(core.keepers.voters) > 1
        return self.clock() >= self.until or not (leads or self.waiting)

    def _carry(self, acts: Acts) -> None:
        if acts.write is not None:
            self._save(acts.write)
        for to, message in acts.send:
            try:
                self.send(to, message)
            except Exception as error:
                self.log.warning("a message could not be sent", extra={"to": to, "fault": repr(error)})
        for token, answer in acts.answers:
            with self.changed:
                future = self.waiting.pop(token, None)
            if future is None:
                self.log.error("an answer nobody waits for", extra={"token": token, "answer": repr(answer)})
            else:
                future.set_result(answer)
        for note in acts.notes:
            self._note(note)

    def _save(self, write: Write) -> None:
        """Returns once it is on disk; raises DiskFullError only if the time to stop runs out meanwhile."""
        while True:
            try:
                self.store.save(write)
                break
            except errors.DiskFullError as error:
                if self._turn(FULL, error):
                    self.log.warning("keeper steps out", extra=error.fields())
                with self.changed:
                    if self.state == STOPPING and self.clock() >= self.until:
                        raise
                    self.changed.wait(self.beat / SECOND)
        if self._turn(TAKING, None):
            self.log.info("keeper goes on, there is room again", extra={"messages_lost": self.lost})

    def _note(self, note: Note) -> None:
        fields = {f"of_{key}" if key in OWN else key: value for key, value in note.fields}
        self.log.log(LEVELS[note.level], note.msg, extra=fields)


class Aside:
    """In the place of a `Keeping` whose disk can't be used: it hears nothing, so it votes for nobody."""

    def __init__(self, error: errors.FleetError) -> None:
        self.error = error

    def heard(self, sender: str, message: Message) -> None:
        pass

    def submit(self, submit: Submit) -> "Future[Answer]":
        return self._refused()

    def renew(self, beat: Beat) -> "Future[Answer]":
        return self._refused()

    def ask(self, question: Question) -> "Future[Answer]":
        return self._refused()

    def change(self, keepers: Keepers) -> "Future[Answer]":
        return self._refused()

    def stop(self, timeout: int) -> bool:
        return True

    def _refused(self) -> "Future[Answer]":
        future: Future[Answer] = Future()
        future.set_exception(self.error)
        return future


def kept_in(
    folder: Path,
    fleet: str,
    keeper: str,
    seed: int,
    make: Callable[[Kept], Desk],
    send: Callable[[str, Message], None],
    clock: Callable[[], int],
    log: logging.Logger,
) -> Keeping | Aside:
    """The keeper of that folder, or, after one line in the log, one that takes no part until it is started
    anew; the process goes on either way. `make` builds the desk from what was kept."""
    try:
        store = Store.open(folder, fleet, keeper, seed)
        try:
            desk = make(store.kept)
        except BaseException:
            store.close()
            raise
    except errors.FleetError as error:
        log.error("keeper takes no part", extra=error.fields())
        return Aside(error)
    return Keeping(desk, store, send, clock, log)
