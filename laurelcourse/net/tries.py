"""Upstream tries and probes: one query on a connection of the pool, by the exchange of its protocol."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from laurelcourse import interface as face
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.pool import Endpoint, Pool
from laurelcourse.net.scheduler import Mailbox, Scheduler

OUTCOME = "outcome"  # message to a req's task
MALFORMED = "nonsense"  # an exchange ended since the unit broke the protocol
DEAD = "dead"  # a connection broke before the last byte of a query was written

log = logging.getLogger(__name__)


class Answer(Protocol):
    """What a unit answers to one query."""

    begun: bool  # some of it has arrived
    ready: bool  # it is complete, and its connection may be reused
    load: dict[str, float]  # what the unit reported of itself
    lag: int | None  # how long it took in microseconds; None for all the time of the try

    def whole(self) -> Any:  # noqa: ANN401
        """Returns the value, or None."""


class Exchange(Protocol):
    """The units' protocol. A probe is asked like a req, with None in place of the request."""

    def greet(self, conn: Connection, deadline: int) -> str:
        """Does what a new connection needs before its first query; returns how that ended."""

    def answer(self, request: object | None, unit: int, number: int) -> Answer:
        """Returns an empty answer."""

    def query(self, request: object | None, answer: Answer, left_ms: int) -> bytes:
        """Returns the query's bytes."""

    def answered(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        """Reads until the answer is complete; returns how that ended."""

    def status(self, answer: Answer, ended: str) -> str:
        """Returns the outcome that an answer and the end of its reading make."""

    def report(self, answer: Answer) -> dict[str, float]:
        """Returns the load that a probe's answer reports."""


class HasReqId(Protocol):
    """What a try is made for."""

    req: str


class UpstreamTry:
    """One upstream try. A cancel comes through its mailbox."""

    def __init__(self, number: int, unit: int, mailbox: Mailbox) -> None:
        self.number, self.unit, self.mailbox = number, unit, mailbox
        self.barred = False  # it may not be written any more

    def cancel(self) -> None:
        """Stops waiting for the try."""
        self.mailbox.put(face.CANCEL)


class TryRunner:
    """Runs one task for each upstream try or probe."""

    def __init__(
        self,
        scheduler: Scheduler,
        pool: Pool,
        exchange: Exchange,
        counters: Counters,
        guard: Callable[[str, int], bool] = lambda req, number: True,
    ) -> None:
        """`guard` returns whether a req's try may still be written."""
        self.scheduler, self.pool, self.exchange, self.counters = scheduler, pool, exchange, counters
        self.guard, self.limits = guard, pool.limits

    def begin(self, number: int, unit: int, limit: int, request: HasReqId, mailbox: Mailbox) -> UpstreamTry:
        """Starts an upstream try; its one outcome goes into the mailbox."""
        attempt = UpstreamTry(number, unit, Mailbox(self.scheduler))
        self.scheduler.spawn(self._run, attempt, limit, request, mailbox)
        return attempt

    def report_unsent(self, number: int, unit: int, mailbox: Mailbox) -> UpstreamTry:
        """Reports a try as unsent, since its req had ended."""
        self.counters.add(f"tries.{face.UNSENT}")
        mailbox.put((OUTCOME, number, unit, face.UNSENT, 0, {}, None))
        return UpstreamTry(number, unit, Mailbox(self.scheduler))

    def probe(self, unit: int, reports: Mailbox) -> None:
        """Sends a health probe; unit, status, lag and load go into the mailbox."""
        self.scheduler.spawn(self._probe, unit, reports)

    def _run(self, attempt: UpstreamTry, limit: int, request: HasReqId, mailbox: Mailbox) -> None:
        began, answer = (
            self.scheduler.now(),
            self.exchange.answer(request, attempt.unit, attempt.number),
        )
        status = face.RESET  # after a fault of this program the try may have run
        try:
            status = self._ask(attempt, request, began + limit, answer)
        finally:
            self.counters.add(f"tries.{status}")
            value = answer.whole() if status == face.OK else None
            lag = self.scheduler.now() - began if answer.lag is None else answer.lag
            mailbox.put((OUTCOME, attempt.number, attempt.unit, status, lag, answer.load, value))

    def _probe(self, unit: int, reports: Mailbox) -> None:
        began, answer = self.scheduler.now(), self.exchange.answer(None, unit, 0)
        attempt = UpstreamTry(0, unit, Mailbox(self.scheduler))
        status = self._ask(attempt, None, began + self.limits.connect_timeout, answer)
        self.counters.add(f"probes.{status}")
        reports.put((unit, status, self.scheduler.now() - began, self.exchange.report(answer)))

    def _ask(self, attempt: UpstreamTry, request: HasReqId | None, deadline: int, answer: Answer) -> str:
        """Sends one query with the time that is left and reads its answer; returns how that ended."""
        endpoint = self.pool.endpoints.get(attempt.unit)
        if endpoint is None and request is not None and not self.guard(request.req, attempt.number):
            return face.UNSENT  # the unit left right after the decision
        for _ in range(self.limits.max_connections_per_try if endpoint else 0):
            conn, idle, status = self.pool.acquire(
                endpoint, deadline, lambda: self._may_write(endpoint, attempt, request)
            )
            if conn is None:
                return status
            status = self._ask_on(endpoint, conn, idle, attempt, request, deadline, answer)
            if status != DEAD:
                return status
        return face.UNREACHABLE

    def _ask_on(
        self,
        endpoint: Endpoint,
        conn: Connection,
        idle: int,
        attempt: UpstreamTry,
        request: HasReqId | None,
        deadline: int,
        answer: Answer,
    ) -> str:
        """Returns how a query on this connection ended; DEAD if it broke before the last byte was written."""
        idle_limit, mailbox = self.pool.idle_limit, attempt.mailbox
        try:
            left_ms = (deadline - self.scheduler.now()) // 1000
            if left_ms > 0 and not mailbox.items and not self._may_write(endpoint, attempt, request):
                self.pool.release(endpoint, conn)
                conn = None
                return face.UNSENT
            # The unit begins only at the last byte: until then the try cannot have run.
            if (
                left_ms <= 0
                or mailbox.items
                or not self._write_query(
                    conn,
                    self.exchange.query(request, answer, left_ms),
                    deadline,
                    mailbox,
                    lambda: self._may_write(endpoint, attempt, request),
                )
            ):
                if attempt.barred:
                    return face.UNSENT
                idle_limit.record(idle, left_ms > 0 and not mailbox.items)
                return face.CANCELLED if mailbox.items else DEAD if left_ms > 0 else face.UNREACHABLE
            ended = self.exchange.answered(conn, deadline, answer, mailbox)
            if ended in (face.OK, face.RESET):
                idle_limit.record(idle, ended == face.RESET and not answer.begun)
            if answer.ready and conn.buffer:
                # What follows a complete answer must not be taken for the next req's answer.
                self.counters.add("units_unasked")
            elif answer.ready:
                self.pool.release(endpoint, conn)
                conn = None
        finally:
            if conn:
                self.pool.close(conn)
        if ended == MALFORMED:
            if not endpoint.malformed_logged:
                log.warning("a unit speaks nonsense", extra={"unit": endpoint.address})
            endpoint.malformed_logged = True
            return face.RESET  # whatever the unit sent before, the try may have run
        return self.exchange.status(answer, ended)

    def _may_write(self, endpoint: Endpoint, attempt: UpstreamTry, request: HasReqId | None) -> bool:
        """Asked right before bytes that had to wait, for the connection or for bytes before them.

        A probe has no req, but is not sent to a unit that has gone or restarted.
        """
        if attempt.mailbox.items:
            return False
        attempt.barred = endpoint.gone or (
            request is not None and not self.guard(request.req, attempt.number)
        )
        return not attempt.barred

    def _write_query(
        self,
        conn: Connection,
        query: bytes,
        deadline: int,
        mailbox: Mailbox,
        may_go_on: Callable[[], bool],
    ) -> bool:
        """Writes a query; returns whether its last byte was written.

        While connections often break at their next query, the last byte waits a moment, so that on a dead one
        nothing has run. It is also held back for a query that may fill the kernel's buffers, as what arrives
        meanwhile is no answer to it.
        """
        is_wary = self.pool.idle_limit.is_wary
        if not is_wary and len(query) <= self.limits.usual_buffer:
            return conn.write(query, deadline, mailbox, may_go_on)
        if not conn.write(query[:-1], deadline, mailbox, may_go_on):
            return False
        if is_wary:
            self.scheduler.sleep(self.limits.last_byte_delay)
        return conn.is_clean() and may_go_on() and conn.write(query[-1:], deadline, mailbox, may_go_on)
