"""Units: connections by unit, upstream tries, probes."""

import logging
from collections import deque
from collections.abc import Iterable

from laurelcourse import interface as face
from laurelcourse.net import postgres
from laurelcourse.net.config import Address, Config
from laurelcourse.net.connection import ENDED, FULL, GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.postgres import Answer, ProtocolError, Statement
from laurelcourse.net.scheduler import MAIL, Mailbox, Scheduler

USER, DATABASE, LOAD_REPORT = "api", "ledger", "gauges"
OUTCOME = "outcome"
SILENT = "silent"

log = logging.getLogger(__name__)


class Place:
    """Where a unit listens; another address, build or start under its number is another place."""

    def __init__(self, address: Address, entry: face.Listed) -> None:
        self.address, self.build, self.since = address, entry.build, entry.since
        self.idle: deque[tuple[int, Connection]] = deque()
        self.gone = False


class Try:
    """One upstream try; a cancel comes through its box."""

    def __init__(self, number: int, unit: int, box: Mailbox) -> None:
        self.number, self.unit, self.box = number, unit, box

    def cancel(self) -> None:
        self.box.put(face.CANCEL)


class Units:
    def __init__(self, scheduler: Scheduler, config: Config, counters: Counters) -> None:
        self.scheduler, self.counters, self.limits = scheduler, counters, config.limits
        self.load_names = config.load_names
        self.places: dict[int, Place] = {}
        self.open = 0
        self.hello = postgres.startup(USER, DATABASE)

    def listed(self, entries: Iterable[tuple[face.Listed, Address | None]], whole: bool) -> None:
        named = {entry.unit for entry, _ in entries}
        for unit in [unit for unit in self.places if whole and unit not in named]:
            self._leave(unit)
        for entry, address in entries:
            have = self.places.get(entry.unit)
            if entry.health == face.GONE:
                self._leave(entry.unit)
            elif address is not None and (have is None or (have.address, have.build, have.since) != (
                    address, entry.build, entry.since)):
                self._leave(entry.unit)
                self.places[entry.unit] = Place(address, entry)

    def _leave(self, unit: int) -> None:
        place = self.places.pop(unit, None)
        if place:
            place.gone = True
            while place.idle:
                self._close(place.idle.popleft()[1])

    def begin(self, number: int, unit: int, limit: int, statement: Statement, box: Mailbox) -> Try:
        """Starts an upstream try; its one outcome goes into the box."""
        one = Try(number, unit, Mailbox(self.scheduler))
        self.scheduler.spawn("try", self._run, one, limit, statement, box)
        return one

    def probe(self, unit: int, report: Mailbox) -> None:
        """Asks a unit how it is; status, lag and load go into the box."""
        self.scheduler.spawn("probe", self._probe, unit, report)

    def _run(self, one: Try, limit: int, statement: Statement, box: Mailbox) -> None:
        began = self.scheduler.now()
        answer = Answer()
        status = face.UNREACHED
        try:
            status = self._exchange(one, began + limit, statement, answer)
        finally:
            lag = self.scheduler.now() - began
            self.counters.add(f"tries.{status}")
            row = answer.whole() if status == face.OK else None
            box.put((OUTCOME, one.number, one.unit, status, lag, answer.load, row))

    def _exchange(self, one: Try, until: int, statement: Statement, answer: Answer) -> str:
        place = self.places.get(one.unit)
        conn, status = self._connection(place, until) if place else (None, face.UNREACHED)
        if conn is None:
            return status
        left = (until - self.scheduler.now()) // 1000
        if one.box.items or left <= 0:
            self._keep(place, conn)
            return face.CANCELLED if one.box.items else face.UNREACHED
        # Until the last byte is written the unit has not begun: only then may the try have run.
        if not conn.write(statement.waiting(left), until):
            self._close(conn)
            return face.UNREACHED
        ended = self._answered(conn, until, answer, one.box)
        if answer.ready:
            self._keep(place, conn)
        else:
            self._close(conn)
        if answer.code:
            return face.BUSY if answer.code == postgres.TURNED_AWAY else face.FAILED
        if answer.whole() and ended != postgres.VIOLATION:
            return face.OK
        return {SILENT: face.TIMEOUT, MAIL: face.CANCELLED}.get(ended, face.RESET)

    def _answered(self, conn: Connection, until: int, answer: Answer, box: Mailbox | None) -> str:
        """Reads until the answer is whole, and tells what ended it otherwise."""
        buffer = conn.buffer
        while not answer.ready:
            try:
                found = postgres.frame(buffer.data, buffer.start, buffer.end, buffer.most)
                if found:
                    if found.end > buffer.end:
                        raise ProtocolError(postgres.TOO_LONG, "a message over the limit")
                    buffer.start = found.end
                    answer.take(found.kind, bytes(buffer.data[found.begin:found.end]), LOAD_REPORT)
                    continue
            except ProtocolError as error:
                self.counters.add("units_nonsense")
                log.warning("a unit speaks nonsense", extra={"fault": error})
                return postgres.VIOLATION
            reason = conn.read(until, box)
            if reason in (ENDED, FULL, MAIL):
                return reason
            if reason != GOT:
                return SILENT
        if len(buffer):
            self.counters.add("units_nonsense")
            answer.ready = False
            return postgres.VIOLATION
        return GOT

    def _probe(self, unit: int, report: Mailbox) -> None:
        began = self.scheduler.now()
        until = began + self.limits.connect
        place, answer = self.places.get(unit), Answer()
        conn, status = self._connection(place, until) if place else (None, face.UNREACHED)
        if conn:
            sql = b"SHOW " + LOAD_REPORT.encode() if self.load_names else b"SELECT 1"
            written = conn.write(postgres.query(sql), until)
            ended = self._answered(conn, until, answer, None) if written else ENDED
            status = face.OK if answer.whole() else face.FAILED if answer.code else (
                face.TIMEOUT if ended == SILENT else face.RESET)
            if answer.ready:
                self._keep(place, conn)
            else:
                self._close(conn)
        load = postgres.report((answer.row or b"").decode("latin-1")) if self.load_names else {}
        self.counters.add(f"probes.{status}")
        report.put((unit, status, self.scheduler.now() - began, load))

    def _connection(self, place: Place, until: int) -> tuple[Connection | None, str]:
        """A clean idle one, else a new one; or why there is none. Nothing has run yet in either case."""
        while place.idle:
            since, conn = place.idle.pop()
            if conn.clean() and self.scheduler.now() - since < self.limits.idle:
                return conn, face.OK
            self._close(conn)
        if self.open >= self.limits.upstream and not self.drop_idle():
            self.counters.add("units_no_descriptor")
            return None, face.UNREACHED
        self.open += 1
        until = min(until, self.scheduler.now() + self.limits.connect)
        conn = Connection.connect(self.scheduler, place.address, self.limits, until)
        if conn is None:
            self.open -= 1
            return None, face.UNREACHED
        self.counters.add("units_connected")
        status = self._welcomed(conn, until)
        if status != face.OK:
            self._close(conn)
            return None, status
        return conn, status

    def _welcomed(self, conn: Connection, until: int) -> str:
        if not conn.write(self.hello, until):
            return face.UNREACHED
        buffer = conn.buffer
        while True:
            try:
                found = postgres.frame(buffer.data, buffer.start, buffer.end, buffer.most)
            except ProtocolError:
                return face.UNREACHED
            if found and found.end <= buffer.end:
                buffer.start = found.end
                if chr(found.kind) == "E":
                    fields = postgres.fields_of_error(bytes(buffer.data[found.begin:found.end]))
                    return face.BUSY if fields.get("C") == postgres.TURNED_AWAY else face.UNREACHED
                if chr(found.kind) == "Z":
                    return face.OK
            elif found or conn.read(until) != GOT:
                return face.UNREACHED

    def _keep(self, place: Place, conn: Connection) -> None:
        if place.gone or not conn.open or len(conn.buffer):
            self._close(conn)
        else:
            place.idle.append((self.scheduler.now(), conn))

    def _close(self, conn: Connection) -> None:
        if conn.open:
            conn.close()
            self.open -= 1

    def drop_idle(self) -> bool:
        """Closes the connection that has been idle longest; whether there was one."""
        oldest = min((place for place in self.places.values() if place.idle),
                     key=lambda place: place.idle[0][0], default=None)
        if oldest:
            self._close(oldest.idle.popleft()[1])
        return oldest is not None

    def sweep(self) -> None:
        """Closes what has been idle for too long, again and again."""
        while True:
            self.scheduler.sleep(max(self.limits.idle // 8, 1000))
            expired = self.scheduler.now() - self.limits.idle
            for place in list(self.places.values()):
                while place.idle and place.idle[0][0] <= expired:
                    self._close(place.idle.popleft()[1])
