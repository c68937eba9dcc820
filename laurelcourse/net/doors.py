"""A front's client connections: accepted, counted, and let go of in the order they can be spared."""

import contextlib
import errno
import socket
from collections.abc import Callable

from laurelcourse.net.connection import ENDED, GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import Limits
from laurelcourse.net.scheduler import IO, LATE, MAIL, READ, SHUT, Mailbox, Scheduler

NO_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
STOP = "stop"
HANG_UP = 0  # the one event that poll tells of without being asked


class Client:
    def __init__(self, conn: Connection, box: Mailbox, accepted: int, address: str) -> None:
        self.conn, self.box, self.accepted, self.address = conn, box, accepted, address
        self.stopping = self.heard = False  # heard: it has sent something that could be served
        self.faults = 0  # on end
        self.stop_told = 0  # when it was told to stop, between reqs

    def stop(self) -> None:
        self.box.put((STOP,))


class Doors:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        spare: Callable[[], bool],
        counters: Counters,
        serve: Callable[[Client], None],
    ) -> None:
        """`spare` gives up a descriptor kept for later, if there is one; `serve` has a client's task."""
        self.scheduler, self.limits, self.spare, self.counters = scheduler, limits, spare, counters
        self.serve = serve
        self.open: set[Client] = set()
        self.served: set[Client] = set()
        # Who may give way, and since when, oldest first: unheard, between reqs, inside a message, at fault,
        # told that there is no room.
        self.silent: dict[Client, int] = {}
        self.idle: dict[Client, int] = {}
        self.partial: dict[Client, int] = {}
        self.faulty: dict[Client, int] = {}
        self.turned_away: dict[Client, int] = {}
        self.freed = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.accepted_at = 0
        self.late: int | None = None  # when a stop takes nothing new any more

    def listen(self, sock: socket.socket) -> None:
        self.listener = sock
        while self.listener:
            room = self.limits.clients + self.limits.crowd - len(self.open)
            if room <= 0 and not self.make_room():
                # Accepting on would use up the descriptors, at the cost of idle connections to units.
                self.freed.get(self.scheduler.now() + self.limits.pause_first)
            elif self.scheduler.wait(sock.fileno(), READ) != SHUT:
                self._accept(sock, min(max(room, 1), self.limits.accepts))

    def stop(self, late: int) -> None:
        """Tells all clients, and closes the listener once what the machine has accepted already is taken, so
        that its closing resets nobody. Out of descriptors, that waits for the clients that leave. What comes
        from `late` on is not taken: the process may be killed before its answer."""
        self.late = late
        for client in self.open:
            client.stop()
        sock, self.listener = self.listener, None
        if sock:
            self.scheduler.forget(sock.fileno())
            # A queue holds one more than the backlog; a descriptor that has to be spared takes a turn too.
            left = 2 * (self.limits.backlog + 1)
            while left:
                held = len(self.open)
                left = self._accept(sock, left)
                if not held and not self.open:
                    break
            sock.close()

    def _accept(self, sock: socket.socket, most: int) -> int:
        """Accepts up to so many; how many of them may still wait."""
        for taken in range(most):
            try:
                accepted, (address, _) = sock.accept()
            except BlockingIOError:
                return 0
            except OSError as error:
                # Out of descriptors the listener stays readable: waiting on it at once would spin.
                if error.errno in NO_ROOM and not self.spare():
                    self.counters.add("clients_no_descriptor")
                    self.scheduler.sleep(self.limits.pause_first)
                    return most - taken
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_at = self.scheduler.now()
            self.counters.add("clients_accepted")
            conn = Connection(self.scheduler, accepted, self.limits)
            client = Client(conn, Mailbox(self.scheduler), self.accepted_at, address)
            if len(self.open) >= self.limits.roomy:
                self.make_room()
            self.open.add(client)
            self.silent[client] = client.accepted
            self.scheduler.spawn(self._serve, client)
            if not self.listener:
                client.stop()
        return 0

    def _serve(self, client: Client) -> None:
        try:
            self.serve(client)
        finally:
            self.leave(client)
            if not self.freed.items:
                self.freed.put(None)

    def begin(self, client: Client) -> bool:
        """The client may be served from now on; False if there are too many, and none can be spared."""
        self.silent.pop(client, None)
        while len(self.served) >= self.limits.clients and self.make_room():
            pass
        if len(self.served) < self.limits.clients:
            self.served.add(client)
        else:
            # Those that stay in spite of it must not keep the next ones, and what these ask, in the backlog.
            self.turned_away[client] = self.scheduler.now()
        return client in self.served

    def leave(self, client: Client) -> None:
        client.conn.close()
        for group in (self.open, self.served):
            group.discard(client)
        for waiting in (self.silent, self.idle, self.partial, self.faulty, self.turned_away):
            waiting.pop(client, None)

    def make_room(self) -> bool:
        """Closes the connection that can best be spared; whether there was one. None that has an open req
        goes, nor one with something to read: its req may just have come."""
        now, limits = self.scheduler.now(), self.limits
        for waiting, rest in (
            (self.faulty, 0),
            (self.turned_away, limits.spare_least),
            (self.silent, 4 * limits.spare_least),
            (self.idle, limits.spare),
            (self.partial, 4 * limits.spare_least),
            (self.idle, limits.spare_least),
        ):
            for client, since in waiting.items():
                if since + rest > now:
                    break
                if waiting is self.faulty or waiting is self.turned_away or not client.conn.peek():
                    self.counters.add("clients_made_room")
                    self.leave(client)
                    return True
        return False

    def more(self, client: Client, unfinished: Callable[[], bytes], idle: int | None = None) -> bool:
        """Waits for bytes between reqs; False when the connection is over, or is to be closed now.
        `unfinished` makes the last word to one that does not finish in time what it began; one that asks
        nothing for `idle` is let go."""
        conn, now = client.conn, self.scheduler.now()
        if not client.stopping:
            until, waiting = None if idle is None else now + idle, self.idle
            if conn.buffer:
                began, waiting = self.partial.setdefault(client, now), self.partial
                until = (began if client.heard else client.accepted) + self.limits.begin
                if not self.memory_left(client):
                    return False
            elif not client.heard:
                until, waiting = client.accepted + self.limits.begin, self.silent
            waiting.setdefault(client, now)
            reason = conn.read(until, client.box)
            if waiting is not self.partial:
                waiting.pop(client, None)
            if reason == MAIL:
                self.told_to_stop(client)
            elif reason == LATE and waiting is self.partial:
                self.hang_up(client, unfinished())
            elif reason == LATE:
                reason = conn.read_now()
            return reason in (MAIL, GOT)
        # A req whose bytes have come, or begun to, is taken and answered before the connection closes, and so
        # is the first of a new one: its client has just been welcomed. A late one stays unread, and is sent
        # elsewhere: after the longest answer, a client has its next req at once.
        begun = bool(conn.buffer) or not client.heard
        if (begun or not self.is_late()) and conn.read_now() == GOT:
            return True
        if begun:
            # Counted once for a message: one that drips in would hold the stop for ever.
            began = max(client.stop_told, self.partial.setdefault(client, now))
            if conn.read(began + self.limits.stop_drain) == GOT:
                return True
        self._part(client, now + self.limits.stop_drain)
        return False

    def word(self, client: Client) -> tuple | None:
        """The next that is said to a client while its req is open, a stop apart; None once it has left."""
        conn = client.conn
        while True:
            if len(conn.buffer) >= self.limits.buffer_usual:
                # What it asks ahead waits in its own machine; its close is seen behind that.
                reason = conn.closed(client.box)
            else:
                reason = conn.read(box=client.box)
            if reason == MAIL:
                word = client.box.get()
                if word[0] != STOP:
                    return word
                client.stopping = True
            elif reason == ENDED:
                return None

    def _part(self, client: Client, until: int) -> None:
        """Closes between reqs. One that crosses this stays unread: its client learns that it was not taken,
        and sends it again elsewhere. Until the client closes too, an answer may be on its way to it."""
        conn = client.conn
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_WR)
            if self.scheduler.wait(conn.fd, READ, until=until) == IO and conn.peek():
                self.scheduler.wait(conn.fd, HANG_UP, until=until)
        conn.close()

    def is_late(self) -> bool:
        """Whether a stop has come so far that what comes now may be cut off."""
        return self.late is not None and self.scheduler.now() >= self.late

    def cut_off(self, left: int) -> bool:
        """Whether a req that may take so long could meet the end of the process before its answer."""
        return self.is_late() and self.scheduler.now() + left > self.late + self.limits.stop_answers

    def memory_left(self, client: Client) -> bool:
        """Unfinished messages share a part of the memory. Over it the oldest is read on, and the others wait
        in the machine: a req whose last byte is written there must not be closed for want of memory. One that
        does not go on in time gives way. Whether this one stays."""
        conn, limits = client.conn, self.limits
        while (
            conn.open
            and len(conn.buffer.data) > limits.buffer_usual
            and limits.unfinished < sum(len(one.conn.buffer.data) for one in self.partial)
        ):
            oldest, began = next(iter(self.partial.items()))
            if began + 4 * limits.spare_least <= self.scheduler.now() and not oldest.conn.peek():
                self.counters.add("clients_over_memory")
                self.leave(oldest)
            elif oldest is client:
                break
            else:
                self.scheduler.sleep(limits.spare_least // 5)
        return conn.open

    def told_to_stop(self, client: Client) -> int:
        """Heeds the one thing said to a client between reqs; how long what it has begun may take."""
        client.box.get()
        client.stopping, client.stop_told = True, self.scheduler.now()
        return client.stop_told + self.limits.stop_drain

    def hang_up(self, client: Client, word: bytes) -> None:
        """The last word to a client, and a close that does not cut it off."""
        until = self.scheduler.now() + self.limits.stop_drain
        client.conn.write(word, until)
        client.conn.close_gently(until)
