"""Passes items from gRPC's threads to the one thread that runs greenlets and polls (`net/scheduler.py`)."""

import socket
import threading
from collections import deque

from laurelcourse.fleet.errors import OverloadedError, StoppingError
from laurelcourse.net.scheduler import READ, Scheduler


class CrossThreadMailbox:
    """A bounded queue, and a socket pair that wakes the poll.

    Any thread may call `put`; everything else is for the scheduler's own. `put` touches nothing of the
    scheduler, and at most one byte lies in the sockets.
    """

    def __init__(self, scheduler: Scheduler, max_items: int) -> None:
        self.scheduler = scheduler
        self.max_items = max_items
        self.items: deque = deque()
        self.lock = threading.Lock()
        self.is_signalled = False
        self.closed = False
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)

    def put(self, item: object) -> None:
        """Adds an item. Raises OverloadedError if the queue is full, StoppingError once it is closed."""
        with self.lock:
            if self.closed:
                raise StoppingError("letters")
            if len(self.items) >= self.max_items:
                raise OverloadedError("letters", waiting=len(self.items), at_most=self.max_items)
            self.items.append(item)
            if not self.is_signalled:
                self.is_signalled = True
                self.wake_writer.send(b"!")

    def get(self, until: int | None = None) -> object | None:
        """Returns the next item, for one task at a time; None if none comes by then, or once closed."""
        while True:
            with self.lock:
                if self.items:
                    return self.items.popleft()
                if self.closed:
                    return None
                if self.is_signalled:
                    self.wake_reader.recv(1)
                    self.is_signalled = False
            if until is not None and self.scheduler.now() >= until:
                return None
            self.scheduler.wait(self.wake_reader.fileno(), READ, until=until)

    def get_now(self) -> object | None:
        """Returns the next item without waiting; None if there is none."""
        with self.lock:
            return self.items.popleft() if self.items else None

    def close(self) -> None:
        """Refuses further items; those in the queue can still be got."""
        with self.lock:
            if self.closed:
                return
            self.closed = True
        self.scheduler.forget(self.wake_reader.fileno())
        self.wake_reader.close()
        self.wake_writer.close()
