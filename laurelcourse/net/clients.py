"""Clients: their connections, what they send, and the life of a req."""

import errno
import logging
import socket

from laurelcourse import interface as face
from laurelcourse.net import postgres
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.connection import ENDED, FULL, GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.postgres import FramingError, ProtocolError, Statement
from laurelcourse.net.scheduler import LATE, MAIL, READ, SHUT, Mailbox, Scheduler
from laurelcourse.net.units import OUTCOME, Try, Units
from laurelcourse.settings import DEDUPED

ANSWER, STOP, GONE = "answer", "stop", "gone"
NO_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
TURN = 16  # messages that one client may have answered before the others go first

log = logging.getLogger(__name__)


class Client:
    def __init__(self, conn: Connection, box: Mailbox, accepted: int) -> None:
        self.conn, self.box, self.accepted = conn, box, accepted
        self.stopping = self.heard = False  # heard: it has sent something that could be served
        self.faults = 0                     # on end

    def stop(self) -> None:
        self.box.put((STOP,))


class Clients:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, units: Units,
                 counters: Counters) -> None:
        self.scheduler, self.limits, self.choices = scheduler, config.limits, choices
        self.units, self.counters = units, counters
        self.repeats = {route.name: route.repeat for route in config.settings.routes}
        self.open: set[Client] = set()
        self.served: set[Client] = set()
        # Who may give way, and since when, oldest first: unheard, between reqs, inside a message, at fault.
        self.silent: dict[Client, int] = {}
        self.idle: dict[Client, int] = {}
        self.partial: dict[Client, int] = {}
        self.faulty: dict[Client, int] = {}
        self.freed = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.accepted_at = 0

    def listen(self, sock: socket.socket) -> None:
        self.listener = sock
        while self.listener:
            room = self.limits.clients + self.limits.crowd - len(self.open)
            if room <= 0 and not self._make_room():
                # Accepting on would use up the descriptors, at the cost of idle connections to units.
                self.freed.get(self.scheduler.now() + self.limits.pause_first)
            elif self.scheduler.wait(sock.fileno(), READ) != SHUT:
                self._accept(sock, min(max(room, 1), self.limits.accepts))

    def close_listener(self) -> None:
        """Takes what the machine has accepted already, so that its closing resets nobody."""
        sock, self.listener = self.listener, None
        if sock:
            self._accept(sock, self.limits.backlog)
            self.scheduler.forget(sock.fileno())
            sock.close()

    def _accept(self, sock: socket.socket, most: int) -> None:
        for _ in range(most):
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Out of descriptors the listener stays readable: waiting on it at once would spin.
                if error.errno in NO_ROOM and not self.units.drop_idle():
                    self.counters.add("clients_no_descriptor")
                    self.scheduler.sleep(self.limits.pause_first)
                continue
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_at = self.scheduler.now()
            self.counters.add("clients_accepted")
            conn = Connection(self.scheduler, accepted, self.limits)
            client = Client(conn, Mailbox(self.scheduler), self.accepted_at)
            if len(self.open) >= self.limits.roomy:
                self._make_room()
            self.open.add(client)
            self.silent[client] = client.accepted
            self.scheduler.spawn(self._serve, client)

    def _serve(self, client: Client) -> None:
        try:
            started = self._startup(client)
            self.silent.pop(client, None)
            if started and not self._crowded(client):
                self.served.add(client)
                self._talk(client)
        finally:
            self._leave(client)
            if not self.freed.items:
                self.freed.put(None)

    def _leave(self, client: Client) -> None:
        client.conn.close()
        for group in (self.open, self.served):
            group.discard(client)
        for waiting in (self.silent, self.idle, self.partial, self.faulty):
            waiting.pop(client, None)

    def _make_room(self) -> bool:
        """Closes the connection that can best be spared; whether there was one. None that has an open req
        goes, nor one with something to read: its req may just have come."""
        now, limits = self.scheduler.now(), self.limits
        for waiting, rest in (
                (self.faulty, 0), (self.silent, 4 * limits.spare_least), (self.idle, limits.spare),
                (self.partial, limits.spare), (self.idle, limits.spare_least)):
            for client, since in waiting.items():
                if since + rest > now:
                    break
                if waiting is self.faulty or not client.conn.peek():
                    self.counters.add("clients_made_room")
                    self._leave(client)
                    return True
        return False

    def _startup(self, client: Client) -> bool:
        conn, buffer = client.conn, client.conn.buffer
        until = client.accepted + self.limits.begin
        while True:
            try:
                found = postgres.frame(buffer.data, buffer.start, buffer.end, buffer.usual, startup=True)
                if not found:
                    if (reason := conn.read(until, client.box)) == MAIL:
                        until = self._told_to_stop(client)
                    elif reason != GOT:
                        return False
                    continue
                payload = bytes(buffer.data[found.begin:found.end])
                buffer.start = found.end
                code = postgres.code_of_startup(payload)
                if code in (postgres.SSL, postgres.GSS):
                    if not conn.write(b"N", until):
                        return False
                elif code == postgres.VERSION_3:
                    return conn.write(postgres.welcome(postgres.minor_version(payload)), until)
                elif code == postgres.CANCEL:
                    return False
                else:
                    raise ProtocolError(postgres.VIOLATION, "not version 3 of the protocol")
            except ProtocolError as error:
                self._fault(client, error)
                return False

    def _crowded(self, client: Client) -> bool:
        """Beyond the limit a client is told so at once: one left waiting unaccepted would be lost."""
        while len(self.served) >= self.limits.clients and self._make_room():
            pass
        if len(self.served) < self.limits.clients:
            return False
        self._hang_up(client, ProtocolError(postgres.TURNED_AWAY, "too many connections"))
        return True

    def _talk(self, client: Client) -> None:
        conn, buffer, skipping, turn = client.conn, client.conn.buffer, False, 0
        while True:
            try:
                found = postgres.frame(buffer.data, buffer.start, buffer.end, self.limits.message)
                if found is None:
                    if not self._more(client):
                        return
                    continue
                self.partial.pop(client, None)
                turn += 1
                if turn % TURN == 0:
                    self.scheduler.breathe()
                letter = chr(found.kind)
                if found.end > buffer.end:
                    # Told from its head: whoever says 60 MB is not waited for.
                    raise FramingError(postgres.TOO_LONG, "a message over the limit")
                begin, buffer.start = found.begin, found.end
                if letter == "X":
                    return
                if letter == "S":
                    skipping = False
                    answer = postgres.READY
                elif skipping:
                    continue
                elif letter == "Q":
                    answer = self._query(client, postgres.text(bytes(buffer.data[begin:found.end])))
                elif found.kind in postgres.EXTENDED:
                    skipping = True
                    raise ProtocolError(postgres.UNSUPPORTED, "simple queries only")
                elif letter == "F":
                    raise ProtocolError(postgres.UNSUPPORTED, "no function calls")
                else:
                    raise FramingError(postgres.VIOLATION, "an unknown message")
            except ProtocolError as error:
                client.faults += 1
                if isinstance(error, FramingError) or client.faults >= self.limits.faults:
                    return self._fault(client, error)
                if client.faults > 1:
                    # One that repeats its fault at once would take the CPU from the others.
                    self.scheduler.sleep(self.limits.penance)
                answer = self._refuse(error) + (b"" if skipping else postgres.READY)
            if answer is None or not conn.write(answer):
                return

    def _more(self, client: Client) -> bool:
        """Waits for bytes between reqs; False when the connection is over, or is to be closed now."""
        conn, now = client.conn, self.scheduler.now()
        if not client.stopping:
            until, waiting = None, self.idle
            if conn.buffer:
                began, waiting = self.partial.setdefault(client, now), self.partial
                until = (began if client.heard else client.accepted) + self.limits.begin
                if not self._memory_left(client):
                    return False
            elif not client.heard:
                until, waiting = client.accepted + self.limits.begin, self.silent
            waiting.setdefault(client, now)
            reason = conn.read(until, client.box)
            if waiting is not self.partial:
                waiting.pop(client, None)
            if reason == MAIL:
                self._told_to_stop(client)
            elif reason == LATE and waiting is self.partial:
                self._hang_up(client, ProtocolError(postgres.VIOLATION, "a message not finished in time"))
            elif reason == LATE:
                reason = conn.read_now()
            return reason in (MAIL, GOT)
        # A req whose bytes have come, or begun to, is taken and answered before the connection closes.
        soon = now + self.limits.stop_drain
        if conn.read_now() == GOT or (conn.buffer and conn.read(soon) == GOT):
            return True
        conn.close_gently(soon)
        return False

    def _memory_left(self, client: Client) -> bool:
        """Unfinished messages share a part of the memory: the oldest gives way. Whether this one stays."""
        if len(client.conn.buffer.data) > self.limits.buffer_usual:
            while sum(len(one.conn.buffer.data) for one in self.partial) > self.limits.unfinished:
                self.counters.add("clients_over_memory")
                self._leave(next(iter(self.partial)))
        return client.conn.open

    def _told_to_stop(self, client: Client) -> int:
        """Heeds the one thing said to a client between reqs; how long what it has begun may take."""
        client.box.get()
        client.stopping = True
        return self.scheduler.now() + self.limits.stop_drain

    def _refuse(self, error: ProtocolError, fatal: bool = False) -> bytes:
        self.counters.add(f"clients_faults.{error.code}")
        return postgres.error(error.code, str(error), fatal=fatal)

    def _fault(self, client: Client, error: ProtocolError) -> None:
        """Hangs up on one that speaks badly, a little late: it may be back at once with the same."""
        self.faulty[client] = self.scheduler.now()
        self.scheduler.sleep(self.limits.penance)
        self._hang_up(client, error)

    def _hang_up(self, client: Client, error: ProtocolError) -> None:
        until = self.scheduler.now() + self.limits.stop_drain
        client.conn.write(self._refuse(error, fatal=True), until)
        client.conn.close_gently(until)

    def _query(self, client: Client, sql: bytes) -> bytes | None:
        if not sql.strip(b" ;\n\r\t"):
            if not self.choices.holds_list:
                raise ProtocolError(postgres.STARTING, "no list of units yet")
            client.heard = True
            return postgres.EMPTY + postgres.READY
        statement = postgres.statement(sql)
        del sql  # as large as the statement, which is kept until the req has ended
        if statement.route not in self.repeats:
            raise ProtocolError(postgres.BAD_VALUE, "c names no class that is served here")
        if self.repeats[statement.route] == DEDUPED and not statement.mark:
            raise ProtocolError(postgres.BAD_VALUE, "the comment lacks k")
        return self._await(client, statement)

    def _await(self, client: Client, statement: Statement) -> bytes | None:
        """The answer to a req, with an eye on the client meanwhile; None if it went away."""
        box = Mailbox(self.scheduler)
        if not self.choices.expect(statement.req, box):
            raise ProtocolError(postgres.BAD_VALUE, "id is that of a req under way")
        client.heard, client.faults = True, 0
        self.scheduler.spawn(self._live, statement, box, client.box)
        reason = GOT
        while True:
            if reason == FULL or len(client.conn.buffer) >= self.limits.buffer_usual:
                # What it asks ahead waits in its own machine.
                self.scheduler.wait(box=client.box)
                reason = MAIL
            else:
                reason = client.conn.read(box=client.box)
            if reason == MAIL:
                what, *rest = client.box.get()
                if what == ANSWER:
                    return rest[0]
                client.stopping = True
            elif reason == ENDED:
                box.put((GONE,))
                return None

    def _live(self, statement: Statement, box: Mailbox, client: Mailbox) -> None:
        """A req's life, from its taking until it is answered and no try is out."""
        req, route, choices = statement.req, statement.route, self.choices
        tries: list[Try] = []
        out, end = 0, None
        try:
            choices.take(req, route, statement.key, statement.left_ms * 1000, statement.repeated)
            while end is None or out:
                what, *rest = box.get()
                if what == face.SEND:
                    _, unit, limit = rest
                    out += 1
                    if end is None:
                        tries.append(self.units.begin(len(tries), unit, limit, statement, box))
                    else:
                        tries.append(self.units.unsent(len(tries), unit, box))
                elif what == face.CANCEL:
                    tries[rest[1]].cancel()
                elif what == OUTCOME:
                    number, unit, status, lag, load, row = rest
                    out -= 1
                    if status == face.OK and end is None:
                        end = "completed"
                        client.put((ANSWER, row + postgres.READY))
                    choices.outcome(req, number, unit, status, lag, end is not None, load)
                elif what == GONE and end is None:
                    end = "withdrawn"
                    choices.withdrawn(req)
                elif what == face.SHED and end is None:
                    end = "shed"
                    back = rest[1] // 1000
                    client.put((ANSWER, postgres.error(postgres.TURNED_AWAY, end, back) + postgres.READY))
                elif what == face.ERROR and end is None:
                    end = "errored"
                    client.put((ANSWER, postgres.error(postgres.SYSTEM, end) + postgres.READY))
        finally:
            if end is None:
                # A fault of this program: the client still gets its one answer, which claims nothing.
                end = "errored"
                client.put((ANSWER, postgres.error(postgres.SYSTEM, end) + postgres.READY))
            choices.done(req)
            self.counters.add(f"reqs.{route}.{end}")
