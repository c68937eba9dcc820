"""The PostgreSQL front: what clients send is read, taken as reqs, and answered in order."""

from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import FramingError, ProtocolError, Statement
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT
from laurelcourse.net.counters import Counters
from laurelcourse.net.doors import Client, Doors
from laurelcourse.net.req import COMPLETED, GONE, SHED, WITHDRAWN, Lives
from laurelcourse.net.scheduler import MAIL, Mailbox, Scheduler
from laurelcourse.settings import DEDUPED

TURN = 16  # messages that one client may have answered before the others go first


class Front:
    def __init__(
        self,
        scheduler: Scheduler,
        config: Config,
        choices: Choices,
        lives: Lives,
        doors: Doors,
        counters: Counters,
    ) -> None:
        self.scheduler, self.limits, self.choices = scheduler, config.limits, choices
        self.lives, self.doors, self.counters = lives, doors, counters
        self.repeats = {route.name: route.repeat for route in config.settings.routes}

    def serve(self, client: Client) -> None:
        if not self._startup(client):
            self.doors.silent.pop(client, None)
        elif self.doors.begin(client):
            self._talk(client)
        else:
            # Beyond the limit a client is told so at once: one left waiting unaccepted would be lost.
            self._hang_up(client, ProtocolError(wire.TURNED_AWAY, "too many connections"))

    def _startup(self, client: Client) -> bool:
        conn, buffer = client.conn, client.conn.buffer
        until, refused = client.accepted + self.limits.begin, set()
        while True:
            try:
                found = wire.frame(buffer.data, buffer.start, buffer.end, buffer.usual, startup=True)
                if not found:
                    if (reason := conn.read(until, client.box)) == MAIL:
                        until = self.doors.told_to_stop(client)
                    elif reason != GOT:
                        return False
                    continue
                payload = bytes(buffer.data[found.begin : found.end])
                buffer.start = found.end
                code = wire.code_of_startup(payload)
                if code in (wire.SSL, wire.GSS) and code not in refused:
                    # Each once, as at PostgreSQL's own server: thousands in a row kept the others waiting.
                    refused.add(code)
                    if not conn.write(b"N", until):
                        return False
                elif code == wire.VERSION_3:
                    return conn.write(wire.welcome(wire.minor_version(payload)), until)
                elif code == wire.CANCEL:
                    return False
                else:
                    raise ProtocolError(wire.VIOLATION, "not version 3 of the protocol")
            except ProtocolError as error:
                self._fault(client, error)
                return False

    def _talk(self, client: Client) -> None:
        conn, buffer, skipping, turn = client.conn, client.conn.buffer, False, 0
        while True:
            try:
                found = wire.frame(buffer.data, buffer.start, buffer.end, self.limits.message)
                if found is None:
                    if not self.doors.more(client, self._unfinished):
                        return
                    continue
                self.doors.partial.pop(client, None)
                turn += 1
                if turn % TURN == 0:
                    self.scheduler.breathe()
                letter = chr(found.kind)
                if found.end > buffer.end:
                    # Told from its head: whoever says 60 MB is not waited for.
                    raise FramingError(wire.TOO_LONG, "a message over the limit")
                begin, buffer.start = found.begin, found.end
                if letter == "X":
                    return
                if letter == "S":
                    skipping = False
                    answer = wire.READY
                elif skipping:
                    continue
                elif letter == "Q":
                    answer = self._query(client, wire.text(bytes(buffer.data[begin : found.end])))
                elif found.kind in wire.EXTENDED:
                    skipping = True
                    raise ProtocolError(wire.UNSUPPORTED, "simple queries only")
                elif letter == "F":
                    raise ProtocolError(wire.UNSUPPORTED, "no function calls")
                else:
                    raise FramingError(wire.VIOLATION, "an unknown message")
            except ProtocolError as error:
                client.faults += 1
                if isinstance(error, FramingError) or client.faults >= self.limits.faults:
                    return self._fault(client, error)
                if client.faults > 1:
                    # One that repeats its fault at once would take the CPU from the others.
                    self._penance(client)
                    self.doors.faulty.pop(client, None)
                answer = self._refuse(error) + (b"" if skipping else wire.READY)
            if answer is None or not conn.write(answer):
                return

    def _unfinished(self) -> bytes:
        return self._refuse(ProtocolError(wire.VIOLATION, "a message not finished in time"), fatal=True)

    def _refuse(self, error: ProtocolError, fatal: bool = False) -> bytes:
        self.counters.add(f"clients_faults.{error.code}")
        return wire.error(error.code, str(error), fatal=fatal)

    def _fault(self, client: Client, error: ProtocolError) -> None:
        """Hangs up on one that speaks badly, a little late: it may be back at once with the same."""
        self._penance(client)
        self._hang_up(client, error)

    def _penance(self, client: Client) -> None:
        """A wait, in which its place is the first to go to another."""
        self.doors.faulty[client] = self.scheduler.now()
        self.scheduler.sleep(self.limits.penance)

    def _hang_up(self, client: Client, error: ProtocolError) -> None:
        self.doors.hang_up(client, self._refuse(error, fatal=True))

    def _query(self, client: Client, sql: bytes) -> bytes | None:
        if not sql.strip(b" ;\n\r\t"):
            if not self.choices.holds_list:
                raise ProtocolError(wire.STARTING, "no list of units yet")
            client.heard = True
            return wire.EMPTY + wire.READY
        statement = wire.statement(sql)
        del sql  # as large as the statement, which is kept until the req has ended
        if statement.route not in self.repeats:
            raise ProtocolError(wire.BAD_VALUE, "c names no class that is served here")
        if self.repeats[statement.route] == DEDUPED and not statement.mark:
            raise ProtocolError(wire.BAD_VALUE, "the comment lacks k")
        if self.doors.cut_off(statement.left_ms * 1000):
            # Asked ahead, or first on a new connection: shed while that can still be told.
            self.counters.add(f"reqs.{statement.route}.{SHED}")
            return self._words(SHED, 0) + wire.READY
        return self._await(client, statement)

    def _await(self, client: Client, statement: Statement) -> bytes | None:
        """The answer to a req, with an eye on the client meanwhile; None if it went away."""
        if client.conn.left():
            # Read late, or from behind others: nothing is sent on for one that had gone before its first try.
            self.counters.add(f"reqs.{statement.route}.{WITHDRAWN}")
            return None
        box = Mailbox(self.scheduler)
        if not self.lives.begin(statement, box, client.box, client.conn.left):
            raise ProtocolError(wire.BAD_VALUE, "id is that of a req under way")
        client.heard, client.faults = True, 0
        if word := self.doors.word(client):
            _, end, told = word
            return self._words(end, told) + wire.READY
        box.put((GONE,))
        return None

    def _words(self, end: str, told: bytes | int | None) -> bytes:
        """A req's final answer: the row as it came, or an error with the time to come back."""
        if end == COMPLETED:
            return told
        code, back = (wire.TURNED_AWAY, told // 1000) if end == SHED else (wire.SYSTEM, 0)
        return wire.error(code, end, back)
