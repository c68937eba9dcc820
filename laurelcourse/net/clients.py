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
from laurelcourse.net.scheduler import MAIL, READ, SHUT, Mailbox, Scheduler
from laurelcourse.net.units import OUTCOME, Try, Units
from laurelcourse.settings import DEDUPED

ANSWER, STOP, GONE = "answer", "stop", "gone"
NO_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
TURN = 16  # messages that one client may have answered before the others go first

log = logging.getLogger(__name__)


class Client:
    def __init__(self, conn: Connection, box: Mailbox) -> None:
        self.conn, self.box = conn, box
        self.stopping = False

    def stop(self) -> None:
        self.box.put((STOP,))


class Clients:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, units: Units,
                 counters: Counters) -> None:
        self.scheduler, self.limits, self.choices = scheduler, config.limits, choices
        self.units, self.counters = units, counters
        self.repeats = {route.name: route.repeat for route in config.settings.routes}
        self.open: set[Client] = set()
        self.served = 0
        self.freed = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.accepted_at = 0

    def listen(self, sock: socket.socket) -> None:
        self.listener = sock
        while self.listener:
            room = self.limits.clients + self.limits.crowd - len(self.open)
            if room <= 0:
                # Accepting on would use up the descriptors, at the cost of idle connections to units.
                self.freed.get()
            elif self.scheduler.wait(sock.fileno(), READ) != SHUT:
                self._accept(sock, min(room, self.limits.accepts))

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
            client = Client(Connection(self.scheduler, accepted, self.limits), Mailbox(self.scheduler))
            self.open.add(client)
            self.scheduler.spawn(self._serve, client)

    def _serve(self, client: Client) -> None:
        try:
            if self._startup(client) and not self._crowded(client):
                self.served += 1
                try:
                    self._talk(client)
                finally:
                    self.served -= 1
        finally:
            client.conn.close()
            self.open.discard(client)
            if not self.freed.items:
                self.freed.put(None)

    def _startup(self, client: Client) -> bool:
        conn, buffer = client.conn, client.conn.buffer
        until = self.scheduler.now() + self.limits.patience
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
                self._fault(conn, error)
                return False

    def _crowded(self, client: Client) -> bool:
        """Beyond the limit a client is told so at once: one left waiting unaccepted would be lost."""
        if self.served < self.limits.clients:
            return False
        self._fault(client.conn, ProtocolError(postgres.TURNED_AWAY, "too many connections"))
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
                turn += 1
                if turn % TURN == 0:
                    self.scheduler.breathe()
                if found.end > buffer.end:
                    if not self._skip(conn, found.end - buffer.start):
                        return
                    raise ProtocolError(postgres.TOO_LONG, "a message over the limit")
                payload = bytes(buffer.data[found.begin:found.end])
                buffer.start = found.end
                letter = chr(found.kind)
                if letter == "X":
                    return
                if letter == "S":
                    skipping = False
                    answer = postgres.READY
                elif skipping:
                    continue
                elif letter == "Q":
                    answer = self._query(client, payload)
                elif found.kind in postgres.EXTENDED:
                    skipping = True
                    answer = self._refuse(ProtocolError(postgres.UNSUPPORTED, "simple queries only"))
                elif letter == "F":
                    raise ProtocolError(postgres.UNSUPPORTED, "no function calls")
                else:
                    raise FramingError(postgres.VIOLATION, "an unknown message")
            except FramingError as error:
                self._fault(conn, error)
                return
            except ProtocolError as error:
                answer = self._refuse(error) + postgres.READY
            if answer is None or not conn.write(answer):
                return

    def _more(self, client: Client) -> bool:
        """Waits for bytes between reqs; False when the connection is over, or is to be closed now."""
        conn = client.conn
        if not client.stopping:
            reason = conn.read(box=client.box)
            if reason == MAIL:
                self._told_to_stop(client)
            return reason in (MAIL, GOT)
        # A req whose bytes have come, or begun to, is taken and answered before the connection closes.
        soon = self.scheduler.now() + self.limits.stop_drain
        if conn.read_now() == GOT or (conn.buffer and conn.read(soon) == GOT):
            return True
        conn.close_gently(soon)
        return False

    def _told_to_stop(self, client: Client) -> int:
        """Heeds the one thing said to a client between reqs; how long what it has begun may take."""
        client.box.get()
        client.stopping = True
        return self.scheduler.now() + self.limits.stop_drain

    def _skip(self, conn: Connection, count: int) -> bool:
        """Passes over a message too long to hold, so that the framing stands behind it."""
        until = self.scheduler.now() + self.limits.patience
        while count > len(conn.buffer):
            count -= len(conn.buffer.take())
            if conn.read(until) != GOT:
                return False
        conn.buffer.start += count
        return True

    def _refuse(self, error: ProtocolError) -> bytes:
        self.counters.add(f"clients_faults.{error.code}")
        return postgres.error(error.code, str(error))

    def _fault(self, conn: Connection, error: ProtocolError) -> None:
        """Says what is wrong, and hangs up."""
        self.counters.add(f"clients_faults.{error.code}")
        until = self.scheduler.now() + self.limits.stop_drain
        conn.write(postgres.error(error.code, str(error), fatal=True), until)
        conn.close_gently(until)

    def _query(self, client: Client, payload: bytes) -> bytes | None:
        sql = postgres.text(payload)
        if not sql.strip(b" ;\n\r\t"):
            if not self.choices.holds_list:
                raise ProtocolError(postgres.STARTING, "no list of units yet")
            return postgres.EMPTY + postgres.READY
        statement = postgres.statement(sql)
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
        self.scheduler.spawn(self._live, statement, box, client.box)
        reason = GOT
        while True:
            if reason == FULL:
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
