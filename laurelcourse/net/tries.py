"""Upstream tries and probes: one query on a connection of the pool, by the exchange of its protocol."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from laurelcourse import interface as face
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.pool import Place, Pool
from laurelcourse.net.scheduler import Mailbox, Scheduler

OUTCOME = "outcome"
NONSENSE, DEAD = "nonsense", "dead"

log = logging.getLogger(__name__)


class Answer(Protocol):
    """What a unit says to one query. `begun`: it has said something; `ready`: all is said, and its
    connection may be used again; `load`: what it told of itself; `whole`: the value, or None; `lag`: how long
    it took in microseconds, None for all the time of the try."""

    begun: bool
    ready: bool
    load: dict[str, float]
    lag: int | None

    def whole(self) -> Any: ...  # noqa: ANN401


class Exchange(Protocol):
    """The units' protocol. `answered` reads until the answer is whole and tells how that ended; `status` says
    what outcome that makes; a probe is asked like a req, and `None` stands for it."""

    def greet(self, conn: Connection, until: int) -> str: ...

    def answer(self, asked: object | None, unit: int, number: int) -> Answer: ...

    def query(self, asked: object | None, answer: Answer, left_ms: int) -> bytes: ...

    def answered(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str: ...

    def status(self, answer: Answer, ended: str) -> str: ...

    def report(self, answer: Answer) -> dict[str, float]: ...


class Named(Protocol):
    """What a try is made for."""

    req: str


class Try:
    """One upstream try; a cancel comes through its box. `barred`: it may not be written any more."""

    def __init__(self, number: int, unit: int, box: Mailbox) -> None:
        self.number, self.unit, self.box = number, unit, box
        self.barred = False

    def cancel(self) -> None:
        self.box.put(face.CANCEL)


class Tries:
    def __init__(
        self,
        scheduler: Scheduler,
        pool: Pool,
        exchange: Exchange,
        counters: Counters,
        guard: Callable[[str, int], bool] = lambda req, number: True,
    ) -> None:
        """`guard`: whether a req's try may still be written."""
        self.scheduler, self.pool, self.exchange, self.counters = scheduler, pool, exchange, counters
        self.guard, self.limits = guard, pool.limits

    def begin(self, number: int, unit: int, limit: int, asked: Named, box: Mailbox) -> Try:
        """Starts an upstream try; its one outcome goes into the box."""
        one = Try(number, unit, Mailbox(self.scheduler))
        self.scheduler.spawn(self._run, one, limit, asked, box)
        return one

    def unsent(self, number: int, unit: int, box: Mailbox) -> Try:
        """A try that came too late to be sent: the req had ended."""
        self.counters.add(f"tries.{face.UNSENT}")
        box.put((OUTCOME, number, unit, face.UNSENT, 0, {}, None))
        return Try(number, unit, Mailbox(self.scheduler))

    def probe(self, unit: int, report: Mailbox) -> None:
        """Asks a unit how it is; status, lag and load go into the box."""
        self.scheduler.spawn(self._probe, unit, report)

    def _run(self, one: Try, limit: int, asked: Named, box: Mailbox) -> None:
        began, answer = self.scheduler.now(), self.exchange.answer(asked, one.unit, one.number)
        status = face.RESET  # what a fault of this program leaves open is taken for a try that may have run
        try:
            status = self._ask(one, asked, began + limit, answer)
        finally:
            self.counters.add(f"tries.{status}")
            value = answer.whole() if status == face.OK else None
            lag = self.scheduler.now() - began if answer.lag is None else answer.lag
            box.put((OUTCOME, one.number, one.unit, status, lag, answer.load, value))

    def _probe(self, unit: int, report: Mailbox) -> None:
        began, answer = self.scheduler.now(), self.exchange.answer(None, unit, 0)
        one = Try(0, unit, Mailbox(self.scheduler))
        status = self._ask(one, None, began + self.limits.connect, answer)
        self.counters.add(f"probes.{status}")
        report.put((unit, status, self.scheduler.now() - began, self.exchange.report(answer)))

    def _ask(self, one: Try, asked: Named | None, until: int, answer: Answer) -> str:
        """Sends one query, made for the ms that are left, and reads its answer; how that ended."""
        place = self.pool.places.get(one.unit)
        if place is None and asked is not None and not self.guard(asked.req, one.number):
            return face.UNSENT  # it left between the decision and this
        for _ in range(self.limits.fresh if place else 0):
            conn, rested, status = self.pool.connection(place, until, lambda: self._may(place, one, asked))
            if conn is None:
                return status
            status = self._asked(place, conn, rested, one, asked, until, answer)
            if status != DEAD:
                return status
        return face.UNREACHED

    def _asked(
        self,
        place: Place,
        conn: Connection,
        rested: int,
        one: Try,
        asked: Named | None,
        until: int,
        answer: Answer,
    ) -> str:
        """How a query on this connection ended; DEAD if it broke before its last byte was written."""
        rests, box = self.pool.rests, one.box
        try:
            left = (until - self.scheduler.now()) // 1000
            if left > 0 and not box.items and not self._may(place, one, asked):
                self.pool.keep(place, conn)
                conn = None
                return face.UNSENT
            # Until the last byte is written the unit has not begun: only from then on may the try have run.
            if (
                left <= 0
                or box.items
                or not self._written(
                    conn,
                    self.exchange.query(asked, answer, left),
                    until,
                    box,
                    lambda: self._may(place, one, asked),
                )
            ):
                if one.barred:
                    return face.UNSENT
                rests.note(rested, left > 0 and not box.items)
                return face.CANCELLED if box.items else DEAD if left > 0 else face.UNREACHED
            ended = self.exchange.answered(conn, until, answer, box)
            if ended in (face.OK, face.RESET):
                rests.note(rested, ended == face.RESET and not answer.begun)
            if answer.ready and conn.buffer:
                # The answer was whole; what is behind it must not pass for the next req's.
                self.counters.add("units_unasked")
            elif answer.ready:
                self.pool.keep(place, conn)
                conn = None
        finally:
            if conn:
                self.pool.close(conn)
        if ended == NONSENSE:
            if not place.odd:
                log.warning("a unit speaks nonsense", extra={"unit": place.address})
            place.odd = True
            return face.RESET  # whatever it said before, its try may have run
        return self.exchange.status(answer, ended)

    def _may(self, place: Place, one: Try, asked: Named | None) -> bool:
        """Asked right before bytes that had to wait: for the connection, or for those before them. A probe
        has no req, but does not go to a unit that is gone or has started anew."""
        if one.box.items:
            return False
        one.barred = place.gone or (asked is not None and not self.guard(asked.req, one.number))
        return not one.barred

    def _written(
        self, conn: Connection, query: bytes, until: int, box: Mailbox, may: Callable[[], bool]
    ) -> bool:
        """While connections break at their next query, its last byte waits: a dead one has run nothing. So
        does that of one that may fill the machine's buffers: what comes meanwhile is no answer to it."""
        wary = self.pool.rests.wary
        if not wary and len(query) <= self.limits.buffer_usual:
            return conn.write(query, until, box, may)
        if not conn.write(query[:-1], until, box, may):
            return False
        if wary:
            self.scheduler.sleep(self.limits.wary)
        return conn.clean() and may() and conn.write(query[-1:], until, box, may)
