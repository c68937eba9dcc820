"""Queries to units by PostgreSQL's protocol, and what their answers prove."""

import logging

from laurelcourse import interface as face
from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import Answer, ProtocolError, Statement
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import Limits
from laurelcourse.net.scheduler import LATE, MAIL, Mailbox, Scheduler
from laurelcourse.net.tries import NONSENSE

USER, DATABASE, LOAD_REPORT = "api", "ledger", "gauges"

log = logging.getLogger(__name__)


class Exchange:
    def __init__(self, scheduler: Scheduler, limits: Limits, load_told: bool, counters: Counters) -> None:
        self.scheduler, self.limits, self.load_told, self.counters = scheduler, limits, load_told, counters
        self.hello = wire.startup(USER, DATABASE)
        self.probe = wire.query(f"SHOW {LOAD_REPORT}".encode() if load_told else b"SELECT 1")

    def greet(self, conn: Connection, until: int) -> str:
        if not conn.write(self.hello, until):
            return face.UNREACHED
        while not isinstance(found := self._message(conn, until, Mailbox(self.scheduler)), str):
            if found[:1] == b"Z":
                # What is there before the query is no answer to it.
                return face.OK if conn.clean() else face.UNREACHED
            if found[:1] == b"E":
                busy = b"\0C%b\0" % wire.TURNED_AWAY.encode() in found
                return face.BUSY if busy else face.UNREACHED
        return face.UNREACHED

    def answer(self, asked: Statement | None, unit: int, number: int) -> Answer:
        return Answer()

    def query(self, asked: Statement | None, answer: Answer, left_ms: int) -> bytes:
        return asked.waiting(left_ms) if asked else self.probe

    def report(self, answer: Answer) -> dict[str, float]:
        return wire.report(answer.row().decode("latin-1")) if self.load_told else {}

    def status(self, answer: Answer, ended: str) -> str:
        # A code counts once nothing can follow it: a spoilt 53300 must not pass for a try that never ran.
        if answer.code and (answer.ready or (answer.fatal and ended == face.RESET)):
            if answer.code == wire.TURNED_AWAY and not answer.stage:
                return face.BUSY  # behind a part of a row it is no turning away: something ran
            return face.AT_FAULT if answer.code.startswith(wire.BLAMES_STATEMENT) else face.FAILED
        return face.OK if answer.whole() else ended

    def answered(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        """Reads until the answer is whole, and tells how that ended."""
        while not answer.ready:
            found = self._message(conn, until, box, answer.begun)
            if isinstance(found, str):
                rest = conn.buffer.take()
                # All but the last word: the connection is not used again, the row stands.
                if answer.whole() and wire.READY.startswith(rest):
                    return face.RESET
                answer.fatal = answer.fatal and not rest  # nothing follows a last word: it was none
                return found
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
                found = wire.frame_of_unit(buffer.data, buffer.start, buffer.end, self.limits.value)
            except ProtocolError as error:
                return self._nonsense(error)
            if found:
                raw = bytes(buffer.data[buffer.start : found.end])
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
