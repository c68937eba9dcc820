"""A front's client connections: accepted, admitted up to a limit, and closed in the order they can be
spared.
"""

import contextlib
import errno
import itertools
import socket
from collections.abc import Callable

from laurelcourse.net.client_memory import ClientMemory
from laurelcourse.net.connection import ENDED, GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import HELD_COPIES, Limits
from laurelcourse.net.scheduler import IO, LATE, MAIL, READ, SHUT, Mailbox, Scheduler

OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
STOP = "stop"  # message to a client's task
HANG_UP_ONLY = 0  # event mask under which poll still reports a hang-up
CLIENT_NUMBERS = itertools.count(1)
MESSAGES_PER_TURN = 4  # of one client, before others run


def _do_nothing() -> None:
    """Ends a small message, which is not counted."""


class Client:
    """A client connection and the mailbox of its task."""

    def __init__(self, conn: Connection, mailbox: Mailbox, accepted_at: int, address: str) -> None:
        self.conn, self.mailbox, self.accepted_at, self.address = conn, mailbox, accepted_at, address
        self.number = next(CLIENT_NUMBERS)  # of the connection, never used again
        self.stopping = False
        self.has_spoken = False  # it has sent something that could be served
        self.faults_in_a_row = 0
        self.messages_this_turn = 0
        self.body_bytes = 0  # of an unfinished message, beside what its buffer holds
        self.memory_wait = 0  # how long its unfinished message had to wait for memory
        self.stop_seen_at = 0  # when its task learned of the stop, between reqs

    def stop(self) -> None:
        """Tells the client's task that the relay is stopping."""
        self.mailbox.put((STOP,))


class ClientAdmission:
    """Accepts clients, and decides which connection is closed when room is short or the relay stops."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        free_descriptor: Callable[[], bool],
        counters: Counters,
        serve: Callable[[Client], None],
    ) -> None:
        """`free_descriptor` closes an idle descriptor, if there is one; `serve` runs in a client's own
        task.
        """
        self.scheduler, self.limits, self.counters = scheduler, limits, counters
        self.free_descriptor, self.serve = free_descriptor, serve
        self.open: set[Client] = set()
        self.admitted: set[Client] = set()
        # Clients whose connection may be closed, each with the time since when, oldest first.
        self.silent: dict[Client, int] = {}  # have sent nothing yet
        self.idle: dict[Client, int] = {}  # between reqs
        self.partial: dict[Client, int] = {}  # inside a message
        self.faulty: dict[Client, int] = {}  # sent something that could not be served
        self.rejected: dict[Client, int] = {}  # were told that there is no room
        self.memory = ClientMemory(limits.unfinished_bytes, limits.under_way_bytes)
        self.memory_queue: dict[Client, Mailbox] = {}  # clients that wait for memory
        self.room_freed = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.last_accepted_at = 0
        self.reads_until: int | None = None  # when a stopping relay takes nothing new any more

    def listen(self, sock: socket.socket) -> None:
        """Accepts clients until the relay stops."""
        self.listener = sock
        while self.listener:
            room = self.limits.max_clients + self.limits.max_rejected - len(self.open)
            if room <= 0 and not self.make_room():
                # Accepting more would use up the descriptors, at the cost of idle connections to units.
                self.room_freed.get(self.scheduler.now() + self.limits.backoff_first)
            elif self.scheduler.wait(sock.fileno(), READ) != SHUT:
                self._accept(sock, min(max(room, 1), self.limits.accepts_per_turn))

    def stop(self, reads_until: int) -> None:
        """Tells all clients to stop, and closes the listener once its backlog is accepted.

        Closing it earlier would reset connections that the kernel has accepted. Without free descriptors that
        waits for clients to leave. What comes from `reads_until` on is not read: the process may be killed
        before it is answered.
        """
        self.reads_until = reads_until
        for client in self.open:
            client.stop()
        sock, self.listener = self.listener, None
        if sock:
            self.scheduler.forget(sock.fileno())
            # The queue holds one more than the backlog; a descriptor that has to be freed takes a turn too.
            left = 2 * (self.limits.backlog + 1)
            while left:
                open_before = len(self.open)
                left = self._accept(sock, left)
                if not open_before and not self.open:
                    break
            sock.close()

    def _accept(self, sock: socket.socket, max_count: int) -> int:
        """Accepts up to `max_count` clients; returns how many of them may still wait."""
        for accepted_count in range(max_count):
            try:
                accepted, (address, _) = sock.accept()
            except BlockingIOError:
                return 0
            except OSError as error:
                # Without descriptors the listener stays readable: waiting on it at once would spin.
                if error.errno in OUT_OF_DESCRIPTORS and not self.free_descriptor():
                    self.counters.add("clients_no_descriptor")
                    self.scheduler.sleep(self.limits.backoff_first)
                    return max_count - accepted_count
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.last_accepted_at = self.scheduler.now()
            self.counters.add("clients_accepted")
            conn = Connection(self.scheduler, accepted, self.limits)
            client = Client(conn, Mailbox(self.scheduler), self.last_accepted_at, address)
            if len(self.open) >= self.limits.make_room_from:
                self.make_room()
            self.open.add(client)
            self.silent[client] = client.accepted_at
            self.scheduler.spawn(self._serve, client)
            if not self.listener:
                client.stop()
        return 0

    def _serve(self, client: Client) -> None:
        try:
            self.serve(client)
        finally:
            self.remove(client)
            if not self.room_freed.items:
                self.room_freed.put(None)

    def admit(self, client: Client) -> bool:
        """Admits a client; returns False if there are too many and none can be spared."""
        self.silent.pop(client, None)
        while len(self.admitted) >= self.limits.max_clients and self.make_room():
            pass
        if len(self.admitted) < self.limits.max_clients:
            self.admitted.add(client)
        else:
            # If it stays all the same, it must not keep the next ones in the backlog.
            self.rejected[client] = self.scheduler.now()
        return client in self.admitted

    def remove(self, client: Client) -> None:
        """Closes a client's connection and forgets the client."""
        client.conn.close()
        for clients in (self.open, self.admitted):
            clients.discard(client)
        for since_by_client in (self.silent, self.idle, self.faulty, self.rejected):
            since_by_client.pop(client, None)
        self.end_message(client)

    def end_message(self, client: Client) -> None:
        """Notes that a client's message is whole, or that it never will be."""
        if client in self.partial:
            del self.partial[client]
            self.memory.end_unfinished(client)
            client.body_bytes = client.memory_wait = 0
            self._wake_first_in_queue()

    def wait_for_turn(self, client: Client) -> None:
        """Lets others run before a client's next message, if it has had several in a row."""
        client.messages_this_turn += 1
        if client.messages_this_turn > MESSAGES_PER_TURN:
            client.messages_this_turn = 0
            self.scheduler.yield_to_others()

    def hold_message(self, size: int) -> Callable[[], None] | None:
        """Counts a whole message whose req begins; returns what to call at the req's end.

        Returns None if large messages under way use all of their part of the memory.
        """
        if size <= self.limits.usual_buffer:
            return _do_nothing
        held = HELD_COPIES * size
        if not self.memory.begin(held):
            self.counters.add("clients_over_memory.under_way")
            return None
        return lambda: self.memory.end(held)

    def make_room(self) -> bool:
        """Closes the connection that can best be spared; returns whether there was one.

        A client with an open req is never closed, nor is one with bytes to read, which may be a req.
        """
        now, limits = self.scheduler.now(), self.limits
        for since_by_client, min_time in (
            (self.faulty, 0),
            (self.rejected, limits.min_idle_if_crowded),
            (self.silent, 4 * limits.min_idle_if_crowded),
            (self.idle, limits.min_idle),
            (self.partial, 4 * limits.min_idle_if_crowded),
            (self.idle, limits.min_idle_if_crowded),
        ):
            for client, since in since_by_client.items():
                if since + min_time > now:
                    break
                if (
                    since_by_client is self.faulty
                    or since_by_client is self.rejected
                    or not client.conn.peek()
                ):
                    self.counters.add("clients_made_room")
                    self.remove(client)
                    return True
        return False

    def wait_for_bytes(
        self, client: Client, unfinished_reply: Callable[[], bytes], idle_timeout: int | None = None
    ) -> bool:
        """Waits for bytes between reqs; returns False if the connection is over or has to be closed now.

        `unfinished_reply` makes the last reply to a client that does not complete its message in time. A
        client that sends nothing for `idle_timeout` is closed.
        """
        conn, now = client.conn, self.scheduler.now()
        client.messages_this_turn = 0  # the wait lets others run
        if not client.stopping:
            deadline, waiting = None if idle_timeout is None else now + idle_timeout, self.idle
            if conn.buffer:
                began, waiting = self.partial.setdefault(client, now), self.partial
                if not self.wait_for_memory(client):
                    return False
                began = began if client.has_spoken else client.accepted_at
                deadline = began + client.memory_wait + self.limits.message_time
            elif not client.has_spoken:
                deadline, waiting = client.accepted_at + self.limits.message_time, self.silent
            waiting.setdefault(client, now)
            reason = conn.read(deadline, client.mailbox)
            if waiting is not self.partial:
                waiting.pop(client, None)
            if reason == MAIL:
                self.take_stop(client)
            elif reason == LATE and waiting is self.partial:
                self.close_with_reply(client, unfinished_reply())
            elif reason == LATE:
                # The wait may have been called late, by a process that was held up (`Connection.read`).
                reason = conn.read_now()
            return reason in (MAIL, GOT)
        # A req of which any bytes have come is taken and answered before the connection closes, and so is the
        # first one of a new client. Late ones stay unread, and are sent elsewhere: after the longest answer a
        # client has its next req ready at once.
        begun = bool(conn.buffer) or not client.has_spoken
        if (begun or not self.is_too_late()) and conn.read_now() == GOT:
            return True
        if begun:
            # The time counts from the message's start: one that comes byte by byte would hold the stop for
            # ever.
            began = max(client.stop_seen_at, self.partial.setdefault(client, now))
            if conn.read(began + self.limits.stop_drain) == GOT:
                return True
        self._close_between_reqs(client, now + self.limits.stop_drain)
        return False

    def next_message(self, client: Client) -> tuple | None:
        """Returns the next message to a client's task while its req is open; None once the client has left.

        A stop is noted, not returned.
        """
        conn = client.conn
        while True:
            if len(conn.buffer) >= self.limits.usual_buffer:
                # More pipelined reqs stay in the kernel; a close is noticed behind them.
                reason = conn.wait_closed(client.mailbox)
            else:
                reason = conn.read(mailbox=client.mailbox)
            if reason == MAIL:
                message = client.mailbox.get()
                if message[0] != STOP:
                    return message
                client.stopping = True
            elif reason == ENDED:
                return None

    def _close_between_reqs(self, client: Client, deadline: int) -> None:
        """Closes a client between reqs.

        A req that crosses the close stays unread: the client learns that it was not taken, and sends it
        elsewhere. The socket stays open until the client closes, as an answer may still be on its way.
        """
        conn = client.conn
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_WR)
            if self.scheduler.wait(conn.fd, READ, until=deadline) == IO and conn.peek():
                self.scheduler.wait(conn.fd, HANG_UP_ONLY, until=deadline)
        conn.close()

    def is_too_late(self) -> bool:
        """Returns whether a stopping relay may be killed before it answers what comes now."""
        return self.reads_until is not None and self.scheduler.now() >= self.reads_until

    def may_be_killed_before(self, duration: int) -> bool:
        """Returns whether a req that may take this long could outlast the process."""
        return (
            self.is_too_late()
            and self.scheduler.now() + duration > self.reads_until + self.limits.stop_answers
        )

    def wait_for_memory(self, client: Client) -> bool:
        """Waits while unfinished messages use more than their part of the memory; returns whether it stays.

        Only the oldest is read on then; the others wait in the kernel, as a req whose last byte is written
        there must not be closed for lack of memory. One that does not go on in time is closed.
        """
        conn, limits, began_waiting = client.conn, self.limits, self.scheduler.now()
        held = len(conn.buffer.data) + client.body_bytes
        self.memory.set_unfinished(client, held)
        while conn.open and held > limits.usual_buffer and not self.memory.has_room_for_unfinished():
            oldest, began = next(iter(self.partial.items()))
            if began + 4 * limits.min_idle_if_crowded <= self.scheduler.now() and not oldest.conn.peek():
                self.counters.add("clients_over_memory")
                self.remove(oldest)
            elif oldest is client:
                break
            else:
                self._wait_in_memory_queue(client)
        if self.memory_queue.pop(client, None):
            self._wake_first_in_queue()
        client.memory_wait += self.scheduler.now() - began_waiting
        return conn.open

    def _first_in_queue(self) -> Client | None:
        """Returns the client that waits for memory and whose message began first."""
        return next((client for client in self.partial if client in self.memory_queue), None)

    def _wake_first_in_queue(self) -> None:
        if self.memory_queue and (first := self._first_in_queue()):
            self.memory_queue[first].put(None)

    def _wait_in_memory_queue(self, client: Client) -> None:
        """Waits until another message has ended, or is stalled for so long that it may be given up."""
        mailbox = self.memory_queue.setdefault(client, Mailbox(self.scheduler))
        # The first looks often whether the oldest message is stalled; for all others it would cost too much.
        is_first = self._first_in_queue() is client
        pause = self.limits.min_idle_if_crowded // (5 if is_first else 1)
        mailbox.get(self.scheduler.now() + pause)

    def take_stop(self, client: Client) -> int:
        """Takes the stop message between reqs; returns the deadline for what the client has begun."""
        client.mailbox.get()
        client.stopping, client.stop_seen_at = True, self.scheduler.now()
        return client.stop_seen_at + self.limits.stop_drain

    def close_with_reply(self, client: Client, reply: bytes) -> None:
        """Sends a last reply, and closes so that it is not cut off."""
        deadline = self.scheduler.now() + self.limits.stop_drain
        client.conn.write(reply, deadline)
        client.conn.close_gracefully(deadline)
