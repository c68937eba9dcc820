"""Cooperative tasks on greenlet over one poll object, with timers and mailboxes. Times are whole
microseconds.
"""

import heapq
import logging
import select
import time
from collections import deque
from collections.abc import Callable

from greenlet import getcurrent, greenlet

READ = select.POLLIN
WRITE = select.POLLOUT
CLOSED = getattr(select, "POLLRDHUP", 0)  # the other side's close, even if bytes before it are unread
MAX_SWITCHES = 128  # between two polls, each a system call that looks at every descriptor
MIN_CANCELLED = 256  # cancelled timers from which on the heap may be rebuilt

# Why a wait ended.
IO = "io"
MAIL = "mail"
LATE = "late"
SHUT = "shut"

log = logging.getLogger(__name__)


class Clock:
    """Unix time read once and then carried on by the monotonic clock."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the time in whole microseconds."""
        return (self.offset + time.monotonic_ns()) // 1000


class Task(greenlet):
    """A task. An exception that it raises is logged and ends the task alone."""

    def __init__(self, scheduler: "Scheduler", work: Callable, args: tuple) -> None:
        super().__init__(None, scheduler.hub)
        self.scheduler, self.work, self.args = scheduler, work, args
        self.woken = True

    def run(self, _: str) -> None:
        """Runs the task; called by greenlet."""
        args, self.args = self.args, ()  # frees what the arguments hold, whoever still refers to the task
        self.scheduler.run_guarded(self.work, *args)


class Timer:
    """An entry of the heap. Cancelled, it no longer refers to its task."""

    __slots__ = ("target",)

    def __init__(self, target: Task | Callable[[], None]) -> None:
        self.target: Task | Callable[[], None] | None = target


class Mailbox:
    """A queue with one reader."""

    def __init__(self, scheduler: "Scheduler") -> None:
        self.scheduler = scheduler
        self.items: deque = deque()
        self.reader: Task | None = None

    def put(self, item: object) -> None:
        """Adds an item and wakes the reader."""
        self.items.append(item)
        if self.reader:
            self.scheduler.wake(self.reader, MAIL)

    def get(self, deadline: int | None = None) -> object | None:
        """Waits for the next item; returns None if none has come by the deadline."""
        while not self.items:
            if self.scheduler.wait(box=self, until=deadline) == LATE and not self.items:
                return None
        return self.items.popleft()


class Scheduler:
    """Runs tasks in the greenlet that made it, the hub."""

    def __init__(self, clock: Clock, on_task_died: Callable[[], None]) -> None:
        self.now, self.on_task_died = clock.now, on_task_died
        self.hub = getcurrent()
        self.poll = select.poll()
        self.waiting: dict[int, Task] = {}  # by descriptor
        self.registered: dict[int, int] = {}  # descriptors in the poll object, more than are waited on
        self.ready: deque[tuple[Task, str]] = deque()
        self.yielded: deque[tuple[Task, str]] = deque()  # ready again once the kernel has been asked
        self.heap: list[tuple[int, int, Timer]] = []
        self.push_count = self.cancelled_count = 0

    def spawn(self, work: Callable, *args: object) -> Task:
        """Starts a task; it runs once the caller waits."""
        task = Task(self, work, args)
        self.ready.append((task, MAIL))
        return task

    def run_guarded(self, work: Callable, *args: object) -> None:
        """Calls a function; an exception is logged and counted."""
        try:
            work(*args)
        except Exception:
            log.exception("task died", extra={"task": getattr(work, "__qualname__", work)})
            self.on_task_died()

    def after(self, delay: int, work: Callable[[], None]) -> None:
        """Calls `work` in the hub after the delay; it may wake and spawn tasks, but not wait."""
        self._push(self.now() + delay, work)

    def sleep(self, delay: int) -> None:
        """Suspends the calling task."""
        self.wait(until=self.now() + delay)

    def yield_to_others(self) -> None:
        """Lets every other task run first that is ready, or for which something has arrived by now."""
        task = getcurrent()
        task.woken = True
        self.yielded.append((task, IO))
        self.hub.switch()

    def wait(
        self, fd: int | None = None, events: int = 0, box: Mailbox | None = None, until: int | None = None
    ) -> str:
        """Suspends the calling task until the descriptor is ready, the mailbox has an item, or it is late.

        Returns IO, MAIL or LATE, or SHUT if the descriptor was closed meanwhile.
        """
        if box is not None and box.items:
            return MAIL
        task = getcurrent()
        if fd is not None:
            self.waiting[fd] = task
            if self.registered.get(fd) != events:
                self.registered[fd] = events
                self.poll.register(fd, events)
        if box is not None:
            box.reader = task
        timer = self._push(until, task) if until is not None else None
        reason = self.hub.switch()
        if timer and timer.target:
            self._cancel(timer)
        if box is not None:
            box.reader = None
        # The number may stand for another descriptor by now, on which another task waits.
        if fd is not None and self.waiting.get(fd) is task:
            del self.waiting[fd]
        return reason

    def ready_now(self, fd: int, events: int) -> bool:
        """Asks the kernel about a descriptor without waiting."""
        poll = select.poll()
        poll.register(fd, events)
        return bool(poll.poll(0))

    def forget(self, fd: int) -> None:
        """Has to be called before a descriptor is closed; a task that waits on it is woken with SHUT."""
        self._unregister(fd)
        if task := self.waiting.pop(fd, None):
            self.wake(task, SHUT)

    def _unregister(self, fd: int) -> None:
        if self.registered.pop(fd, None) is not None:
            self.poll.unregister(fd)

    def wake(self, task: Task, reason: str) -> None:
        """Makes a task ready; of several reasons before it runs the first counts."""
        if not task.woken and not task.dead:
            task.woken = True
            self.ready.append((task, reason))

    def run(self, over: Callable[[], bool]) -> None:
        """Runs tasks until `over` returns True."""
        while True:
            left = MAX_SWITCHES
            while self.ready and left:
                left -= 1
                task, reason = self.ready.popleft()
                task.woken = False
                task.switch(reason)
            if over():
                return
            now = self.now()
            while self.heap and self.heap[0][0] <= now:
                timer = heapq.heappop(self.heap)[2]
                target, timer.target = timer.target, None
                if isinstance(target, Task):
                    self.wake(target, LATE)
                elif target:
                    self.run_guarded(target)
                else:
                    self.cancelled_count -= 1
            for fd, _ in self.poll.poll(self._poll_timeout(now)):
                if fd in self.waiting:
                    self.wake(self.waiting[fd], IO)
                else:
                    self._unregister(fd)
            self.ready.extend(self.yielded)
            self.yielded.clear()

    def _poll_timeout(self, now: int) -> int | None:
        """Returns whole milliseconds, rounded up: rounded down, the loop would spin in the last one."""
        if self.ready or self.yielded:
            return 0
        return max(-((now - self.heap[0][0]) // 1000), 0) if self.heap else None

    def _push(self, when: int, target: Task | Callable[[], None]) -> Timer:
        self.push_count += 1
        timer = Timer(target)
        heapq.heappush(self.heap, (when, self.push_count, timer))
        return timer

    def _cancel(self, timer: Timer) -> None:
        """Cancels a timer. Most waits end early, so the heap is rebuilt once most of it is cancelled."""
        timer.target = None
        self.cancelled_count += 1
        if self.cancelled_count > MIN_CANCELLED and 2 * self.cancelled_count > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].target]
            heapq.heapify(self.heap)
            self.cancelled_count = 0
