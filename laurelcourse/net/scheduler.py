"""Tasks on greenlet over one poll object, a heap of deadlines, mailboxes. Times are whole microseconds."""

import heapq
import logging
import select
import time
from collections import deque
from collections.abc import Callable

from greenlet import getcurrent, greenlet

READ, WRITE = select.POLLIN, select.POLLOUT
CLOSED = getattr(select, "POLLRDHUP", 0)  # the other side's close, though bytes before it are unread
SWITCHES = 128  # between two polls at most: each poll looks at every descriptor
STALE = 256  # alarms of waits that are over, at least, before the heap is made anew
IO, MAIL, LATE, SHUT = "io", "mail", "late", "shut"  # why a wait ended

log = logging.getLogger(__name__)


class Clock:
    """Unix time taken once, carried on monotonically."""

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self.offset + time.monotonic_ns()) // 1000


class Task(greenlet):
    def __init__(self, scheduler: "Scheduler", work: Callable, args: tuple) -> None:
        super().__init__(None, scheduler.hub)
        self.scheduler, self.work, self.args = scheduler, work, args
        self.woken = True

    def run(self, _: str) -> None:
        args, self.args = self.args, ()  # what still knows the task keeps nothing else
        self.scheduler.guarded(self.work, *args)


class Alarm:
    """A time in the heap; it lets go of whom it would have woken when the wait is over."""

    __slots__ = ("what",)

    def __init__(self, what: Task | Callable[[], None]) -> None:
        self.what: Task | Callable[[], None] | None = what


class Mailbox:
    def __init__(self, scheduler: "Scheduler") -> None:
        self.scheduler = scheduler
        self.items: deque = deque()
        self.reader: Task | None = None

    def put(self, item: object) -> None:
        self.items.append(item)
        if self.reader:
            self.scheduler.wake(self.reader, MAIL)

    def get(self, until: int | None = None) -> object | None:
        """The next item; None if none has come by then."""
        while not self.items:
            if self.scheduler.wait(box=self, until=until) == LATE and not self.items:
                return None
        return self.items.popleft()


class Scheduler:
    def __init__(self, clock: Clock, died: Callable[[], None]) -> None:
        self.now, self.died = clock.now, died
        self.hub = getcurrent()
        self.poll = select.poll()
        self.waiting: dict[int, Task] = {}
        self.watched: dict[int, int] = {}  # what the poll object holds: more than is waited on
        self.ready: deque[tuple[Task, str]] = deque()
        self.heap: list[tuple[int, int, Alarm]] = []
        self.pushed = self.stale = 0

    def spawn(self, work: Callable, *args: object) -> Task:
        task = Task(self, work, args)
        self.ready.append((task, MAIL))
        return task

    def guarded(self, work: Callable, *args: object) -> None:
        try:
            work(*args)
        except Exception:
            log.exception("task died", extra={"task": getattr(work, "__qualname__", work)})
            self.died()

    def after(self, delay: int, work: Callable[[], None]) -> None:
        """Calls `work` in the hub after the delay; it may wake and spawn tasks, but not wait."""
        self._push(self.now() + delay, work)

    def sleep(self, delay: int) -> None:
        self.wait(until=self.now() + delay)

    def breathe(self) -> None:
        """Lets every other task that is ready go first."""
        self.wake(getcurrent(), IO)
        self.hub.switch()

    def wait(
        self, fd: int | None = None, events: int = 0, box: Mailbox | None = None, until: int | None = None
    ) -> str:
        """Waits for the first of: the descriptor ready, something in the box, the time come."""
        if box is not None and box.items:
            return MAIL
        task = getcurrent()
        if fd is not None:
            self.waiting[fd] = task
            if self.watched.get(fd) != events:
                self.watched[fd] = events
                self.poll.register(fd, events)
        if box is not None:
            box.reader = task
        alarm = self._push(until, task) if until is not None else None
        reason = self.hub.switch()
        if alarm and alarm.what:
            self._drop(alarm)
        if box is not None:
            box.reader = None
        # The number may by now stand for another descriptor, with another task waiting on it.
        if fd is not None and self.waiting.get(fd) is task:
            del self.waiting[fd]
        return reason

    def ready_now(self, fd: int, events: int) -> bool:
        """Asks the machine without a wait."""
        poll = select.poll()
        poll.register(fd, events)
        return bool(poll.poll(0))

    def forget(self, fd: int) -> None:
        """To be called before a descriptor closes: whoever waits on it learns that it is shut."""
        self._unwatch(fd)
        if task := self.waiting.pop(fd, None):
            self.wake(task, SHUT)

    def _unwatch(self, fd: int) -> None:
        if self.watched.pop(fd, None) is not None:
            self.poll.unregister(fd)

    def wake(self, task: Task, reason: str) -> None:
        if not task.woken and not task.dead:
            task.woken = True
            self.ready.append((task, reason))

    def run(self, over: Callable[[], bool]) -> None:
        while True:
            left = SWITCHES
            while self.ready and left:
                left -= 1
                task, reason = self.ready.popleft()
                task.woken = False
                task.switch(reason)
            if over():
                return
            now = self.now()
            while self.heap and self.heap[0][0] <= now:
                alarm = heapq.heappop(self.heap)[2]
                what, alarm.what = alarm.what, None
                if isinstance(what, Task):
                    self.wake(what, LATE)
                elif what:
                    self.guarded(what)
                else:
                    self.stale -= 1
            for fd, _ in self.poll.poll(self._pause(now)):
                if fd in self.waiting:
                    self.wake(self.waiting[fd], IO)
                else:
                    self._unwatch(fd)

    def _pause(self, now: int) -> int | None:
        """Whole ms, rounded up: rounding down would spin through the last one."""
        if self.ready:
            return 0
        return max(-((now - self.heap[0][0]) // 1000), 0) if self.heap else None

    def _push(self, when: int, what: Task | Callable[[], None]) -> Alarm:
        self.pushed += 1
        alarm = Alarm(what)
        heapq.heappush(self.heap, (when, self.pushed, alarm))
        return alarm

    def _drop(self, alarm: Alarm) -> None:
        """Most waits end before their time: their alarms go once they are most of the heap."""
        alarm.what = None
        self.stale += 1
        if self.stale > STALE and 2 * self.stale > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].what]
            heapq.heapify(self.heap)
            self.stale = 0
