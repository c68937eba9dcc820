"""A stream socket with a read buffer: connect, read, write, deadlines, close."""

import errno
import fcntl
import socket
import sys
import termios
from collections.abc import Callable

from laurelcourse.net.limits import Limits
from laurelcourse.net.scheduler import CLOSED, IO, LATE, MAIL, READ, WRITE, Mailbox, Scheduler

INT_BYTES = 4  # of a C int, as FIONREAD returns

# How a read ended, beside the scheduler's MAIL and LATE.
GOT = "got"
ENDED = "ended"


class Buffer:
    """A byte buffer that grows on demand, is compacted in place, and shrinks once a large message is
    consumed.
    """

    def __init__(self, usual_size: int, max_size: int) -> None:
        self.usual_size, self.max_size = usual_size, max_size
        self.data = bytearray(usual_size)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Returns the free space behind the bytes; empty when the buffer has reached its maximum."""
        self.shrink()
        if self.end == len(self.data) and self.start:
            held = len(self)
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if self.end == len(self.data):
            self.data.extend(bytes(min(len(self.data), self.max_size - len(self.data))))
        return memoryview(self.data)[self.end :]

    def shrink(self) -> None:
        """Returns to the usual size if the buffer is empty."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.usual_size:
                self.data = bytearray(self.usual_size)

    def skip(self, count: int) -> None:
        """Consumes some bytes."""
        self.start += count

    def consume_to(self, position: int) -> None:
        """Consumes the bytes before a position, and gives up the space of a large message that ends there."""
        self.start = position
        self.shrink()

    def pop(self, begin: int, end: int) -> bytes:
        """Returns the bytes between two positions, and consumes all before the second."""
        taken = bytes(self.data[begin:end])
        self.consume_to(end)
        return taken

    def take(self) -> bytes:
        """Consumes and returns all bytes."""
        taken, self.start = bytes(self.data[self.start : self.end]), self.end
        return taken


class Connection:
    """A non-blocking TCP connection. Its methods suspend the calling task, not the process."""

    def __init__(
        self, scheduler: Scheduler, sock: socket.socket, limits: Limits, max_buffer: int = 0
    ) -> None:
        self.scheduler, self.sock, self.limits = scheduler, sock, limits
        self.fd = sock.fileno()
        self.buffer = Buffer(limits.usual_buffer, max_buffer or limits.max_buffer)
        self.open = True
        sock.setblocking(False)

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: tuple[str, int], limits: Limits, deadline: int
    ) -> "Connection | None":
        """Connects to a unit or server; None if that fails or takes too long."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return None
        conn = cls(scheduler, sock, limits, limits.max_unit_value + limits.usual_buffer)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_code = sock.connect_ex(address)
            if error_code == errno.EINPROGRESS and scheduler.wait(conn.fd, WRITE, until=deadline) == IO:
                error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            error_code = error.errno or errno.EIO
        if error_code:
            conn.close()
            return None
        return conn

    def read(self, deadline: int | None = None, mailbox: Mailbox | None = None) -> str:
        """Waits for bytes or mail and returns GOT, MAIL, LATE or ENDED.

        It returns ENDED too when the buffer is full and nothing in it could be consumed.
        """
        if not self.open or len(self.buffer) == self.buffer.max_size:
            return ENDED
        # The process may be held up between reading its clock and acting, for up to 0.15 s by the platform's
        # rules: bytes that came in time are read once more, and then no further.
        already_late = deadline is not None and self.scheduler.now() >= deadline
        reason = self.scheduler.wait(self.fd, READ, mailbox, deadline)
        if reason == MAIL or (reason == LATE and already_late):
            return reason
        return self.read_now()

    def read_now(self) -> str:
        """Reads what is there without waiting; LATE if nothing is."""
        if not self.open:
            return ENDED
        with self.buffer.free_space() as space:
            try:
                count = self.sock.recv_into(space) if space else 0
            except BlockingIOError:
                return LATE
            except OSError:
                return ENDED
        self.buffer.end += count
        return GOT if count else ENDED

    def peer_has_closed(self) -> bool:
        """Returns whether the other side has closed.

        What it wrote before is read first, as much as a buffer usually holds. If more is unread, the kernel
        is asked.
        """
        reason = GOT
        while reason == GOT and len(self.buffer) < self.limits.usual_buffer:
            reason = self.read_now()
        return reason == ENDED or (reason == GOT and self.scheduler.ready_now(self.fd, CLOSED))

    def may_hide_close(self) -> bool:
        """Returns whether so much is unread that the other side's close may not have arrived yet.

        Its kernel sends the close behind all that was written before, and waits for room here.
        """
        if not self.open or len(self.buffer) < self.limits.usual_buffer:
            return False
        count = fcntl.ioctl(self.fd, termios.FIONREAD, bytes(INT_BYTES))
        return int.from_bytes(count, sys.byteorder) >= self.limits.close_hiding_bytes

    def wait_closed(self, mailbox: Mailbox) -> str:
        """Waits, without reading, for the other side's close or for mail; returns ENDED or MAIL."""
        reason = self.scheduler.wait(self.fd, CLOSED, mailbox) if self.open else ENDED
        return MAIL if reason == MAIL else ENDED

    def write(
        self,
        data: bytes,
        deadline: int | None = None,
        mailbox: Mailbox | None = None,
        may_go_on: Callable[[], bool] | None = None,
    ) -> bool:
        """Writes all data; returns whether the last byte was written.

        Without a deadline the limits' write timeout counts. Mail ends a wait. `may_go_on` is asked whenever
        the rest had to wait.
        """
        written = 0
        while written < len(data) and self.open:
            try:
                written += self.sock.send(memoryview(data)[written:] if written else data)
            except BlockingIOError:
                deadline = deadline or self.scheduler.now() + self.limits.write_timeout
                if self.scheduler.wait(self.fd, WRITE, mailbox, deadline) in (MAIL, LATE) or (
                    may_go_on and not may_go_on()
                ):
                    return False
            except OSError:
                return False
        return written == len(data)

    def peek(self) -> bytes | None:
        """Returns the next unread byte in the kernel; None if there is none, empty at the end of the
        stream.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_clean(self) -> bool:
        """Returns whether the connection can be reused: nothing is unread, and the other side has not
        closed.
        """
        return self.open and not self.buffer and self.peek() is None

    def close(self) -> None:
        """Closes the socket; a task that waits on it is woken."""
        if self.open:
            self.open = False
            self.scheduler.forget(self.fd)
            self.sock.close()

    def close_gracefully(self, deadline: int) -> None:
        """Closes after reading what is left, as unread bytes would reset an answer that is still under way.

        The amount read is limited.
        """
        discarded, reason = 0, GOT
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while reason == GOT and discarded < self.limits.max_discarded:
                discarded += len(self.buffer.take())
                reason = self.read(deadline)
        except OSError:
            pass
        self.close()
