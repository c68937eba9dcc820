"""From gRPC's threads to the one thread that greenlets and the poll belong to (`net/scheduler.py`)."""

import socket
import threading
from collections import deque

from laurelcourse.fleet.errors import OverloadedError, StoppingError
from laurelcourse.net.scheduler import READ, Scheduler


class Letters:
    """A bounded queue, and a socket pair that wakes the poll. `put` from any thread; all else from the
    scheduler's own. Nothing of the scheduler is touched by `put`: at most one byte lies in the sockets."""

    def __init__(self, scheduler: Scheduler, at_most: int) -> None:
        self.scheduler, self.at_most = scheduler, at_most
        self.items: deque = deque()
        self.lock = threading.Lock()
        self.rung = self.closed = False
        self.ear, self.bell = socket.socketpair()
        self.ear.setblocking(False)
        self.bell.setblocking(False)

    def put(self, item: object) -> None:
        """Raises OverloadedError when full, StoppingError once closed."""
        with self.lock:
            if self.closed:
                raise StoppingError("letters")
            if len(self.items) >= self.at_most:
                raise OverloadedError("letters", waiting=len(self.items), at_most=self.at_most)
            self.items.append(item)
            if not self.rung:
                self.rung = True
                self.bell.send(b"!")

    def get(self, until: int | None = None) -> object | None:
        """The next item, for one task at a time; None if none has come by then, or once closed."""
        while True:
            with self.lock:
                if self.items:
                    return self.items.popleft()
                if self.closed:
                    return None
                if self.rung:
                    self.ear.recv(1)
                    self.rung = False
            if until is not None and self.scheduler.now() >= until:
                return None
            self.scheduler.wait(self.ear.fileno(), READ, until=until)

    def close(self) -> None:
        """What still waits can be got; nothing more is taken."""
        with self.lock:
            if self.closed:
                return
            self.closed = True
        self.scheduler.forget(self.ear.fileno())
        self.ear.close()
        self.bell.close()
