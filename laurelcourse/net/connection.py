"""A stream socket with one buffer for what it reads: read, write, deadline, close."""

import errno
import socket
from collections.abc import Callable

from laurelcourse.net.limits import Limits
from laurelcourse.net.scheduler import CLOSED, IO, LATE, MAIL, READ, WRITE, Mailbox, Scheduler

GOT, ENDED = "got", "ended"


class Buffer:
    """Grows as it needs, is compacted in place, and shrinks once a large message has gone."""

    def __init__(self, usual: int, most: int) -> None:
        self.usual, self.most = usual, most
        self.data = bytearray(usual)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def room(self) -> memoryview:
        """Free space behind the bytes; empty when the buffer holds its most."""
        self.shrink()
        if self.end == len(self.data) and self.start:
            held = len(self)
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if self.end == len(self.data):
            self.data.extend(bytes(min(len(self.data), self.most - len(self.data))))
        return memoryview(self.data)[self.end :]

    def shrink(self) -> None:
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.usual:
                self.data = bytearray(self.usual)

    def skip(self, count: int) -> None:
        self.start += count

    def take(self) -> bytes:
        taken, self.start = bytes(self.data[self.start : self.end]), self.end
        return taken


class Connection:
    def __init__(self, scheduler: Scheduler, sock: socket.socket, limits: Limits, most: int = 0) -> None:
        self.scheduler, self.sock, self.limits = scheduler, sock, limits
        self.fd = sock.fileno()
        self.buffer = Buffer(limits.buffer_usual, most or limits.buffer_most)
        self.open = True
        sock.setblocking(False)

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: tuple[str, int], limits: Limits, until: int
    ) -> "Connection | None":
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return None
        conn = cls(scheduler, sock, limits, limits.value + limits.buffer_usual)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            failed = sock.connect_ex(address)
            if failed == errno.EINPROGRESS and scheduler.wait(conn.fd, WRITE, until=until) == IO:
                failed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            failed = error.errno or errno.EIO
        if failed:
            conn.close()
            return None
        return conn

    def read(self, until: int | None = None, box: Mailbox | None = None) -> str:
        """Waits for bytes or mail: GOT, MAIL, LATE, or ENDED; that too when the buffer holds its most, and
        nothing in it could be taken."""
        if not self.open or len(self.buffer) == self.buffer.most:
            return ENDED
        # The relay may be late itself: bytes that came in time are read once more, and then no further.
        late = until is not None and self.scheduler.now() >= until
        reason = self.scheduler.wait(self.fd, READ, box, until)
        if reason == MAIL or (reason == LATE and late):
            return reason
        return self.read_now()

    def read_now(self) -> str:
        """Takes what is there without waiting; LATE if nothing is."""
        if not self.open:
            return ENDED
        with self.buffer.room() as room:
            try:
                count = self.sock.recv_into(room) if room else 0
            except BlockingIOError:
                return LATE
            except OSError:
                return ENDED
        self.buffer.end += count
        return GOT if count else ENDED

    def left(self) -> bool:
        """Whether the other side has closed. What it wrote before that is read first, as much as a buffer
        usually holds; of what lies behind, the machine tells."""
        reason = GOT
        while reason == GOT and len(self.buffer) < self.limits.buffer_usual:
            reason = self.read_now()
        return reason == ENDED or (reason == GOT and self.scheduler.ready_now(self.fd, CLOSED))

    def closed(self, box: Mailbox) -> str:
        """Waits, and reads nothing, for the other side's close or mail: ENDED or MAIL."""
        reason = self.scheduler.wait(self.fd, CLOSED, box) if self.open else ENDED
        return MAIL if reason == MAIL else ENDED

    def write(
        self,
        data: bytes,
        until: int | None = None,
        box: Mailbox | None = None,
        may: Callable[[], bool] | None = None,
    ) -> bool:
        """Whether the last byte was written; without a deadline, the limits' patience is one. Mail ends it
        while it waits; `may` is asked whenever the rest had to wait."""
        written = 0
        while written < len(data) and self.open:
            try:
                written += self.sock.send(memoryview(data)[written:] if written else data)
            except BlockingIOError:
                until = until or self.scheduler.now() + self.limits.patience
                if self.scheduler.wait(self.fd, WRITE, box, until) in (MAIL, LATE) or (may and not may()):
                    return False
            except OSError:
                return False
        return written == len(data)

    def peek(self) -> bytes | None:
        """The next byte that waits in the machine; None if there is none, empty at the end."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def clean(self) -> bool:
        """Nothing unread, and not closed by the other side."""
        return self.open and not self.buffer and self.peek() is None

    def close(self) -> None:
        if self.open:
            self.open = False
            self.scheduler.forget(self.fd)
            self.sock.close()

    def close_gently(self, until: int) -> None:
        """Closes so that no unread byte resets an answer on its way; who sends on and on is cut off."""
        passed, reason = 0, GOT
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while reason == GOT and passed < self.limits.drained:
                passed += len(self.buffer.take())
                reason = self.read(until)
        except OSError:
            pass
        self.close()
