"""The thread that owns a keeper's decisions and its disk: the only place that waits for either.

Other threads enqueue messages and orders. Here they go to the coordinator, and what it decides is done
strictly in order: written to disk, then sent, answered and logged. Once a coordinator has decided, it is
ahead of the disk, so a write that found no room is repeated unchanged before anything else happens.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any, NamedTuple

from laurelcourse.fleet import errors
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import LEADER, Keepers, Kept, Message, Write
from laurelcourse.fleet.keeper.store import Store
from laurelcourse.fleet.orders import Acts, Answer, Beat, Note, Question, Submit

# States, and which may follow.
RUNNING = "taking"
DISK_FULL = "full"
STOPPING = "stopping"
ENDED = "ended"
NEXT_STATES = {
    RUNNING: (DISK_FULL, STOPPING, ENDED),
    DISK_FULL: (RUNNING, STOPPING, ENDED),
    STOPPING: (ENDED,),
    ENDED: (),
}

LOG_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
# Names that logging does not accept as extra fields.
RESERVED_LOG_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}
SECOND = 1_000_000
MAX_WAIT_US = 60 * SECOND  # a coordinator without a timeout names a time beyond what the system can wait


class QueuedOrder(NamedTuple):
    """One order, the coordinator's method that takes it, and the future of its answer."""

    method: Callable[[int, int, Any], Acts]
    order: Submit | Beat | Question | Keepers
    future: "Future[Answer]"


class Replica:
    """A keeper in this process. All methods may be called from any thread, and none waits but `stop`.

    `clock` gives monotonic microseconds. `send` must neither wait nor raise; a message that it cannot take is
    lost, like one that the network loses. A future holds an `Answer` (a refusal is one too), or a
    `FleetError` from here: of orders that the coordinator had taken before this keeper ended, the fate is
    unknown.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        store: Store,
        send: Callable[[str, Message], None],
        clock: Callable[[], int],
        log: logging.Logger,
    ) -> None:
        self.coordinator, self.store, self.send, self.clock, self.log = coordinator, store, send, clock, log
        self.heartbeat = coordinator.terms.bounds.heartbeat
        self.max_waiting = coordinator.terms.bounds.max_waiting
        self.state, self.error, self.stop_until = RUNNING, None, 0
        self.coordinator_stopped = False  # the coordinator knows of the stop
        self.changed = threading.Condition()
        self.messages: deque[tuple[str, Message]] = deque()
        self.orders: deque[QueuedOrder] = deque()
        self.waiting: dict[int, Future[Answer]] = {}  # by token
        self.last_token = self.messages_lost = 0
        self.thread = threading.Thread(target=self._run, name="keeper", daemon=True)
        self.thread.start()

    # From any thread

    def heard(self, sender: str, message: Message) -> None:
        """Enqueues a message; drops it if too many wait or the disk is full: Raft repeats what matters."""
        with self.changed:
            if len(self.messages) < self.max_waiting and self.state in (RUNNING, STOPPING):
                self.messages.append((sender, message))
                self.changed.notify()
            else:
                self.messages_lost += 1

    def submit(self, submit: Submit) -> "Future[Answer]":
        """Enqueues commands."""
        return self._enqueue(self.coordinator.submit, submit)

    def renew(self, beat: Beat) -> "Future[Answer]":
        """Enqueues a renewal."""
        return self._enqueue(self.coordinator.renew, beat)

    def ask(self, question: Question) -> "Future[Answer]":
        """Enqueues a question."""
        return self._enqueue(self.coordinator.ask, question)

    def change(self, keepers: Keepers) -> "Future[Answer]":
        """Enqueues a membership change."""
        return self._enqueue(self.coordinator.change, keepers)

    def stop(self, timeout: int) -> bool:
        """Transfers leadership and answers what waits, for `timeout` microseconds at most.

        Returns whether all of it has ended by then, one heartbeat allowed, and the folder is free.
        """
        error = errors.StoppingError(self.coordinator.name)
        self._set_state(STOPPING, error, until=self.clock() + timeout)
        self.thread.join((timeout + self.heartbeat) / SECOND)
        return not self.thread.is_alive()

    def _enqueue(
        self, method: Callable[[int, int, Any], Acts], order: Submit | Beat | Question | Keepers
    ) -> "Future[Answer]":
        future: Future[Answer] = Future()
        with self.changed:
            error, waiting = self.error, len(self.orders)
            if error is None and waiting >= self.max_waiting:
                error = errors.OverloadedError(
                    self.coordinator.name, waiting=waiting, at_most=self.max_waiting
                )
            if error is None:
                self.orders.append(QueuedOrder(method, order, future))
                self.changed.notify()
        if error is not None:
            future.set_exception(error)
        return future

    def _set_state(
        self,
        state: str,
        error: errors.FleetError | None,
        fate: errors.FleetError | None = None,
        until: int = 0,
    ) -> bool:
        """The one place where `state` changes; returns whether it may.

        `error` is what orders get from now on, and those that the coordinator has not seen; `fate`, at the
        end, what the others get.
        """
        with self.changed:
            if state not in NEXT_STATES[self.state]:
                return False
            self.state, self.error, self.stop_until = state, error, until
            unseen = [queued.future for queued in self.orders] if error else []
            seen = [self.waiting.pop(token) for token in sorted(self.waiting)] if fate else []
            if error:
                self.orders.clear()
            if state in (DISK_FULL, ENDED):
                self.messages.clear()
            self.changed.notify_all()
        # Not under the lock: callbacks of a future may do anything.
        for future in unseen:
            if future.set_running_or_notify_cancel():
                future.set_exception(error)
        for future in seen:
            future.set_exception(fate)
        return True

    # In the thread of its own

    def _run(self) -> None:
        name = self.coordinator.name
        unknown = errors.UnknownFateError(name)
        try:
            while self._step():
                pass
            self._set_state(ENDED, errors.StoppingError(name), unknown)
        except errors.DiskFullError as error:
            self.log.warning("keeper ends with a write that found no room", extra=error.fields())
            self._set_state(ENDED, errors.StoppingError(name), unknown)
        except errors.DiskFailedError as error:
            self.log.error("keeper takes part no more", extra=error.fields())
            self._set_state(ENDED, error, error)
        except Exception as error:
            fault = errors.KeeperFaultError(name, fault=errors.describe_fault(error))
            self.log.exception("keeper takes part no more", extra=fault.fields())
            self._set_state(ENDED, fault, fault)
        finally:
            self.store.close()

    def _step(self) -> bool:
        """Handles a due timeout, one message and one order, so that none keeps the others waiting for long.

        Each is handled with a time read after it arrived: an earlier one would count a lease too long.
        Returns False once all is over.
        """
        if self.coordinator.due() <= self.clock():
            self._carry_out(self.coordinator.tick(self.clock()))
        with self.changed:
            must_stop, over = self.state == STOPPING and not self.coordinator_stopped, self._is_over()
            if not (must_stop or over or self.messages or self.orders):
                until = (
                    min(self.coordinator.due(), self.stop_until)
                    if self.coordinator_stopped
                    else self.coordinator.due()
                )
                self.changed.wait(max(min(until - self.clock(), MAX_WAIT_US), 0) / SECOND)
            message = self.messages.popleft() if self.messages else None
        if over:
            return False
        if must_stop:
            self.coordinator_stopped = True
            self._carry_out(self.coordinator.stop(self.clock()))
        if message is not None:
            self._carry_out(self.coordinator.hear(self.clock(), *message))
        with self.changed:
            queued = self.orders.popleft() if self.orders else None
            if queued is None or not queued.future.set_running_or_notify_cancel():
                return True
            self.last_token += 1
            self.waiting[self.last_token] = queued.future
        self._carry_out(queued.method(self.clock(), self.last_token, queued.order))
        return True

    def _is_over(self) -> bool:
        """A leader stays until another one leads, if any could, to finish what it began."""
        if not self.coordinator_stopped:
            return False
        core = self.coordinator.core
        leads = core.role == LEADER and len(core.keepers.voters) > 1
        return self.clock() >= self.stop_until or not (leads or self.waiting)

    def _carry_out(self, acts: Acts) -> None:
        if acts.write is not None:
            self._write(acts.write)
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
            self._log_note(note)

    def _write(self, write: Write) -> None:
        """Returns once it is on disk. Raises DiskFullError only if the time to stop runs out meanwhile."""
        while True:
            try:
                self.store.save(write)
                break
            except errors.DiskFullError as error:
                if self._set_state(DISK_FULL, error):
                    self.log.warning("keeper steps out", extra=error.fields())
                with self.changed:
                    if self.state == STOPPING and self.clock() >= self.stop_until:
                        raise
                    self.changed.wait(self.heartbeat / SECOND)
        if self._set_state(RUNNING, None):
            self.log.info("keeper goes on, there is room again", extra={"messages_lost": self.messages_lost})

    def _log_note(self, note: Note) -> None:
        fields = {f"of_{key}" if key in RESERVED_LOG_FIELDS else key: value for key, value in note.fields}
        self.log.log(LOG_LEVELS[note.level], note.msg, extra=fields)


class DisabledReplica:
    """Stands for a `Replica` whose disk cannot be used: it ignores messages, so it votes for nobody."""

    def __init__(self, error: errors.FleetError) -> None:
        self.error = error

    def heard(self, sender: str, message: Message) -> None:
        """Ignores a message."""
        pass

    def submit(self, submit: Submit) -> "Future[Answer]":
        """Refuses commands."""
        return self._refused()

    def renew(self, beat: Beat) -> "Future[Answer]":
        """Refuses a renewal."""
        return self._refused()

    def ask(self, question: Question) -> "Future[Answer]":
        """Refuses a question."""
        return self._refused()

    def change(self, keepers: Keepers) -> "Future[Answer]":
        """Refuses a membership change."""
        return self._refused()

    def stop(self, timeout: int) -> bool:
        """Returns True: there is nothing to stop."""
        return True

    def _refused(self) -> "Future[Answer]":
        future: Future[Answer] = Future()
        future.set_exception(self.error)
        return future


def open_replica(
    folder: Path,
    fleet: str,
    keeper: str,
    seed: int,
    make_coordinator: Callable[[Kept], Coordinator],
    send: Callable[[str, Message], None],
    clock: Callable[[], int],
    log: logging.Logger,
) -> Replica | DisabledReplica:
    """Opens a keeper's folder and starts its replica.

    If the disk cannot be used, that is logged, and the keeper takes no part until it is restarted; the
    process goes on either way. `make_coordinator` gets what was kept.
    """
    try:
        store = Store.open(folder, fleet, keeper, seed)
        try:
            coordinator = make_coordinator(store.kept)
        except BaseException:
            store.close()
            raise
    except errors.FleetError as error:
        log.error("keeper takes no part", extra=error.fields())
        return DisabledReplica(error)
    return Replica(coordinator, store, send, clock, log)
