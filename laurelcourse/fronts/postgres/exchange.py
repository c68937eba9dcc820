"""Queries to units in PostgreSQL's protocol, and what their answers prove."""

import logging

from laurelcourse import interface as face
from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import Answer, ProtocolError, Statement
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import Limits
from laurelcourse.net.scheduler import LATE, MAIL, Mailbox, Scheduler
from laurelcourse.net.tries import MALFORMED

USER = "api"
DATABASE = "ledger"
LOAD_PARAMETER = "gauges"

log = logging.getLogger(__name__)


class Exchange:
    """Implements `net.tries.Exchange`."""

    def __init__(self, scheduler: Scheduler, limits: Limits, load_told: bool, counters: Counters) -> None:
        self.scheduler, self.limits, self.load_told, self.counters = scheduler, limits, load_told, counters
        self.startup = wire.startup(USER, DATABASE)
        self.probe = wire.query(f"SHOW {LOAD_PARAMETER}".encode() if load_told else b"SELECT 1")

    def greet(self, conn: Connection, deadline: int) -> str:
        """Starts a session on a new connection; returns how that ended."""
        if not conn.write(self.startup, deadline):
            return face.UNREACHABLE
        while not isinstance(raw := self._next_message(conn, deadline, Mailbox(self.scheduler)), str):
            if raw[:1] == b"Z":
                # What arrives before the query is no answer to it.
                return face.OK if conn.is_clean() else face.UNREACHABLE
            if raw[:1] == b"E":
                busy = b"\0C%b\0" % wire.TOO_MANY_CONNECTIONS.encode() in raw
                return face.BUSY if busy else face.UNREACHABLE
        return face.UNREACHABLE

    def answer(self, request: Statement | None, unit: int, number: int) -> Answer:
        """Returns an empty answer."""
        return Answer()

    def query(self, request: Statement | None, answer: Answer, left_ms: int) -> bytes:
        """Returns a req's query, or that of a probe."""
        return request.with_wait(left_ms) if request else self.probe

    def report(self, answer: Answer) -> dict[str, float]:
        """Returns the load that a probe's answer reports."""
        return wire.parse_load_report(answer.row().decode("latin-1")) if self.load_told else {}

    def status(self, answer: Answer, ended: str) -> str:
        """Returns the outcome that an answer and the end of its reading make."""
        # A code counts only once nothing can follow it: a corrupted 53300 must not prove that nothing ran.
        if answer.code and (answer.ready or (answer.fatal and ended == face.RESET)):
            if answer.code == wire.TOO_MANY_CONNECTIONS and not answer.stage:
                return face.BUSY  # behind a part of a row the same code is no rejection: something ran
            return face.CLIENT_FAULT if answer.code.startswith(wire.STATEMENT_FAULT_CLASSES) else face.FAILED
        return face.OK if answer.whole() else ended

    def answered(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        """Reads until the answer is complete; returns how that ended."""
        while not answer.ready:
            message = self._next_message(conn, deadline, mailbox, answer.begun)
            if isinstance(message, str):
                rest = conn.buffer.take()
                # Only ReadyForQuery is incomplete: the row counts, but the connection is not reused.
                if answer.whole() and wire.READY.startswith(rest):
                    return face.RESET
                answer.fatal = answer.fatal and not rest  # a fatal error is followed by nothing
                return message
            try:
                answer.take(message, LOAD_PARAMETER)
            except ProtocolError as error:
                return self._malformed(error)
        return face.OK

    def _next_message(
        self, conn: Connection, deadline: int, mailbox: Mailbox, begun: bool = False
    ) -> bytes | str:
        """Returns the unit's next message, or how the wait for it ended.

        Once an answer has begun, its next message must arrive soon.
        """
        buffer = conn.buffer
        while True:
            try:
                frame = wire.parse_unit_frame(
                    buffer.data, buffer.start, buffer.end, self.limits.max_unit_value
                )
            except ProtocolError as error:
                return self._malformed(error)
            if frame:
                raw = bytes(buffer.data[buffer.start : frame.end])
                buffer.start = frame.end
                return raw
            due = self.scheduler.now() + self.limits.response_time if begun or buffer else deadline
            reason = conn.read(min(deadline, due), mailbox)
            if reason == LATE and due < deadline:
                return self._malformed("an answer that does not go on")
            if reason != GOT:
                return {MAIL: face.CANCELLED, LATE: face.TIMEOUT}.get(reason, face.RESET)

    def _malformed(self, fault: object) -> str:
        self.counters.add("units_nonsense")
        log.debug("a unit speaks nonsense: %s", fault)
        return MALFORMED
