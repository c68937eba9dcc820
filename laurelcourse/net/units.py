"""Units: connections by unit, upstream tries, probes."""

import logging
from collections import deque
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.net import postgres
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.forms import Address
from laurelcourse.net.postgres import Answer, ProtocolError, Statement
from laurelcourse.net.rests import Rests
from laurelcourse.net.scheduler import LATE, MAIL, Mailbox, Scheduler

USER, DATABASE, LOAD_REPORT = "api", "ledger", "gauges"
OUTCOME = "outcome"
NONSENSE, DEAD = "nonsense", "dead"

log = logging.getLogger(__name__)


class Place:
    """Where a unit listens; another address, build or start under its number is another place."""

    def __init__(self, address: Address, entry: face.Listed) -> None:
        self.address, self.build, self.since = address, entry.build, entry.since
        self.idle: deque[tuple[int, Connection]] = deque()
        self.gone = self.odd = False


class Try:
    """One upstream try; a cancel comes through its box."""

    def __init__(self, number: int, unit: int, box: Mailbox) -> None:
        self.number, self.unit, self.box = number, unit, box

    def cancel(self) -> None:
        self.box.put(face.CANCEL)


class Units:
    def __init__(self, scheduler: Scheduler, config: Config, counters: Counters) -> None:
        self.scheduler, self.counters, self.limits = scheduler, counters, config.limits
        self.load_told = config.load_told
        self.places: dict[int, Place] = {}
        self.open = 0
        self.rests = Rests(config.limits)
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
        self.scheduler.spawn(self._run, one, limit, statement, box)
        return one

    def unsent(self, number: int, unit: int, box: Mailbox) -> Try:
        """A try that came too late to be sent: the req had ended."""
        self.counters.add(f"tries.{face.UNSENT}")
        box.put((OUTCOME, number, unit, face.UNSENT, 0, {}, None))
        return Try(number, unit, Mailbox(self.scheduler))

    def probe(self, unit: int, report: Mailbox) -> None:
        """Asks a unit how it is; status, lag and load go into the box."""
        self.scheduler.spawn(self._probe, unit, report)

    def _run(self, one: Try, limit: int, statement: Statement, box: Mailbox) -> None:
        began, answer = self.scheduler.now(), Answer()
        status = face.RESET  # what a fault of this program leaves open is taken for a try that may have run
        try:
            status = self._ask(one.unit, statement.waiting, began + limit, answer, one.box)
        finally:
            self.counters.add(f"tries.{status}")
            row = answer.whole() if status == face.OK else None
            box.put((OUTCOME, one.number, one.unit, status, self.scheduler.now() - began, answer.load, row))

    def _probe(self, unit: int, report: Mailbox) -> None:
        began, answer = self.scheduler.now(), Answer()
        sql = f"SHOW {LOAD_REPORT}" if self.load_told else "SELECT 1"
        probe = postgres.query(sql.encode())
        until, never = began + self.limits.connect, Mailbox(self.scheduler)
        status = self._ask(unit, lambda _: probe, until, answer, never)
        load = postgres.report(answer.row().decode("latin-1")) if self.load_told else {}
        self.counters.add(f"probes.{status}")
        report.put((unit, status, self.scheduler.now() - began, load))

    def _ask(self, unit: int, query: Callable[[int], bytes], until: int, answer: Answer, box: Mailbox) -> str:
        """Sends one query, made for the ms that are left, and reads its answer; how that ended."""
        place = self.places.get(unit)
        for _ in range(self.limits.fresh if place else 0):
            conn, rested, status = self._connection(place, until)
            if conn is None:
                return status
            status = self._asked(place, conn, rested, query, until, answer, box)
            if status != DEAD:
                return status
        return face.UNREACHED

    def _asked(self, place: Place, conn: Connection, rested: int, query: Callable[[int], bytes], until: int,
               answer: Answer, box: Mailbox) -> str:
        """How a query on this connection ended; DEAD if it broke before its last byte was written."""
        try:
            left = (until - self.scheduler.now()) // 1000
            # Until the last byte is written the unit has not begun: only from then on may the try have run.
            if left <= 0 or box.items or not self._written(conn, query(left), until):
                self.rests.note(rested, left > 0 and not box.items)
                return face.CANCELLED if box.items else DEAD if left > 0 else face.UNREACHED
            ended = self._answered(conn, until, answer, box)
            if ended in (face.OK, face.RESET):
                self.rests.note(rested, ended == face.RESET and not answer.stage and not answer.code)
            if answer.ready and conn.buffer:
                # The answer was whole; what is behind it must not pass for the next req's.
                self.counters.add("units_unasked")
            elif answer.ready:
                self._keep(place, conn)
                conn = None
        finally:
            if conn:
                self._close(conn)
        if ended == NONSENSE:
            if not place.odd:
                log.warning("a unit speaks nonsense", extra={"unit": place.address})
            place.odd = True
            return face.RESET  # whatever it said before, its try may have run
        # A code counts once nothing can follow it: a spoilt 53300 must not pass for a try that never ran.
        if answer.code and (answer.ready or (answer.fatal and ended == face.RESET)):
            return face.BUSY if answer.code == postgres.TURNED_AWAY else face.FAILED
        return face.OK if answer.whole() else ended

    def _written(self, conn: Connection, query: bytes, until: int) -> bool:
        """While connections break at their next query, its last byte waits: a dead one has run nothing."""
        if not self.rests.wary:
            return conn.write(query, until)
        if not conn.write(query[:-1], until):
            return False
        self.scheduler.sleep(self.limits.wary)
        return conn.clean() and conn.write(query[-1:], until)

    def _answered(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        """Reads until the answer is whole, and tells how that ended."""
        while not answer.ready:
            found = self._message(conn, until, box, bool(answer.stage or answer.code))
            if isinstance(found, str):
                # All but the last word: the connection is not used again, the row stands.
                return face.RESET if answer.whole() and not conn.buffer else found
            try:
                answer.take(found, LOAD_REPORT)
            except ProtocolError as error:
                return self._nonsense(error)
        return face.OK

    def _message(self, conn: Connection, until: int, box: Mailbox, begun: bool = False) -> bytes | str:
        """The unit's next message, or how the wait for it ended; an answer that has begun goes on soon."""
        buffer = conn.buffer
        while True:
            try:
                found = postgres.frame_of_unit(buffer.data, buffer.start, buffer.end, self.limits.value)
            except ProtocolError as error:
                return self._nonsense(error)
            if found:
                raw = bytes(buffer.data[buffer.start:found.end])
                buffer.start = found.end
                return raw
            due = self.scheduler.now() + self.limits.part if begun or buffer else until
            reason = conn.read(min(until, due), box)
            if reason == LATE and due < until:
                return self._nonsense("an answer that does not go on")
            if reason != GOT:
                return {MAIL: face.CANCELLED, LATE: face.TIMEOUT}.get(reason, face.RESET)

    def _nonsense(self, fault: object) -> str:
        self.counters.add("units_nonsense")
        log.debug("a unit speaks nonsense: %s", fault)
        return NONSENSE

    def _connection(self, place: Place, until: int) -> tuple[Connection | None, int, str]:
        """A clean idle one and its rest, else a new one; or why there is none. Nothing has run so far."""
        conn, rested = self._rested(place)
        if conn:
            return conn, rested, face.OK
        if self.open >= self.limits.upstream and not self.drop_idle():
            self.counters.add("units_no_descriptor")
            return None, 0, face.UNREACHED
        self.open += 1
        until = min(until, self.scheduler.now() + self.limits.connect)
        conn = Connection.connect(self.scheduler, place.address, self.limits, until)
        if conn is None:
            self.open -= 1
            return None, 0, face.UNREACHED
        self.counters.add("units_connected")
        status = self._welcomed(conn, until)
        if status != face.OK:
            self._close(conn)
            return None, 0, status
        return conn, 0, status

    def _rested(self, place: Place) -> tuple[Connection | None, int]:
        """The one used last among those that have rested, so that a second answer would have come by now."""
        now, fresh, found, rested = self.scheduler.now(), [], None, 0
        while place.idle and not found:
            since, conn = place.idle.pop()
            if now - since < self.limits.settle:
                fresh.append((since, conn))
            elif now - since < self.rests.most and conn.clean():
                found, rested = conn, now - since
            else:
                self._close(conn)
        place.idle.extend(reversed(fresh))
        return found, rested

    def _welcomed(self, conn: Connection, until: int) -> str:
        if not conn.write(self.hello, until):
            return face.UNREACHED
        while not isinstance(found := self._message(conn, until, Mailbox(self.scheduler)), str):
            if found[:1] == b"Z":
                return face.OK if not conn.buffer else face.UNREACHED
            if found[:1] == b"E":
                busy = b"\0C%b\0" % postgres.TURNED_AWAY.encode() in found
                return face.BUSY if busy else face.UNREACHED
        return face.UNREACHED

    def _keep(self, place: Place, conn: Connection) -> None:
        if place.gone:
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
            self.rests.fade()
            expired = self.scheduler.now() - self.rests.most
            for place in list(self.places.values()):
                while place.idle and place.idle[0][0] <= expired:
                    self._close(place.idle.popleft()[1])
