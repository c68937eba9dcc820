"""Connections by unit: connect, keep for reuse, expire, close. Knows no protocol."""

from collections import deque
from collections.abc import Callable, Iterable

from greenlet import getcurrent

from laurelcourse import interface as face
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.idle_limit import IdleLimit
from laurelcourse.net.limits import Limits
from laurelcourse.net.payloads import Address
from laurelcourse.net.scheduler import SHUT, Scheduler, Task

SWEEPS_PER_IDLE_TIME = 8
MIN_SWEEP_INTERVAL_US = 1000


class Endpoint:
    """Where a unit listens. With another address, build or start, its number is another endpoint."""

    def __init__(self, address: Address, entry: face.Listed) -> None:
        self.address, self.build, self.started_at = address, entry.build, entry.started_at
        self.unit = str(entry.unit)
        self.idle: deque[tuple[int, Connection]] = deque()  # with the time since when, oldest first
        self.connecting: set[Task] = set()
        self.gone = False
        self.malformed_logged = False


class Pool:
    """All connections of one front to units."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        greet: Callable[[Connection, int], str],
        counters: Counters,
    ) -> None:
        """`greet` does what a new connection needs before its first query, and returns how that ended."""
        self.scheduler, self.limits, self.greet, self.counters = scheduler, limits, greet, counters
        self.budgets: face.Budgets = face.NoBudgets()
        self.unit_by_connection: dict[Connection, str] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.open_count = 0
        self.idle_limit = IdleLimit(limits)

    def update_units(self, entries: Iterable[tuple[face.Listed, Address | None]], complete: bool) -> None:
        """Applies a list of units; those that a complete list lacks are gone."""
        listed = {entry.unit for entry, _ in entries}
        for unit in [unit for unit in self.endpoints if complete and unit not in listed]:
            self._remove(unit)
        for entry, address in entries:
            known = self.endpoints.get(entry.unit)
            if entry.health == face.GONE:
                self._remove(entry.unit)
            elif address is not None and (
                known is None
                or (known.address, known.build, known.started_at) != (address, entry.build, entry.started_at)
            ):
                self._remove(entry.unit)
                self.endpoints[entry.unit] = Endpoint(address, entry)

    def _remove(self, unit: int) -> None:
        endpoint = self.endpoints.pop(unit, None)
        if endpoint:
            endpoint.gone = True
            for task in endpoint.connecting:
                self.scheduler.wake(task, SHUT)
            while endpoint.idle:
                self.close(endpoint.idle.popleft()[1])

    def acquire(
        self, endpoint: Endpoint, deadline: int, may_connect: Callable[[], bool] = lambda: True
    ) -> tuple[Connection | None, int, str]:
        """Returns a connection, how long it was idle, and OK; or None and why there is none.

        An idle connection is reused if there is a clean one; else a new one is made, if it still may be.
        Nothing has run at the unit so far.
        """
        if self.scheduler.now() >= deadline:
            return None, 0, face.UNREACHABLE  # a handshake for nobody would cost the unit work
        conn, idle = self._take_idle(endpoint)
        if conn is None and self._should_wait(endpoint):
            conn, idle = self._wait_for_idle(endpoint, deadline)
        if conn:
            return conn, idle, face.OK
        if endpoint.gone or not may_connect():
            return None, 0, face.UNSENT  # the unit or the client has gone meanwhile
        if self.open_count >= self.limits.max_upstream and not self.drop_idle():
            self.counters.add("units_no_descriptor")
            # This is not the unit's fault, and must not count against it.
            return None, 0, face.UNSENT
        if not self._consume_budgets(endpoint):
            self.counters.add("units_no_budget")
            return None, 0, face.UNSENT
        self.open_count += 1
        deadline = min(deadline, self.scheduler.now() + self.limits.connect_timeout)
        conn, status = None, face.UNREACHABLE
        endpoint.connecting.add(task := getcurrent())
        try:
            conn = Connection.connect(self.scheduler, endpoint.address, self.limits, deadline)
            if conn:
                self.unit_by_connection[conn] = endpoint.unit
                self.counters.add("units_connected")
                status = face.UNREACHABLE if endpoint.gone else self.greet(conn, deadline)
        finally:
            endpoint.connecting.remove(task)
            # After an exception too: otherwise it would count as open, and as held, for ever.
            if conn is None:
                self.open_count -= 1
                self.budgets.release(self.scheduler.now(), face.CONNECTIONS, endpoint.unit)
            elif status != face.OK:
                self.close(conn)
        # How a wait for a unit that has left ended says nothing about the unit.
        status = face.UNSENT if endpoint.gone and status == face.UNREACHABLE else status
        return conn if status == face.OK else None, 0, status

    def _should_wait(self, endpoint: Endpoint) -> bool:
        """Returns whether a budget is exhausted for which the operators want reqs to wait."""
        now = self.scheduler.now()
        return not endpoint.gone and any(
            self.budgets.allows(now, name, endpoint.unit) is False and self.budgets.waits_when_exhausted(name)
            for name in (face.HANDSHAKES, face.CONNECTIONS)
        )

    def _wait_for_idle(self, endpoint: Endpoint, deadline: int) -> tuple[Connection | None, int]:
        """Waits until the budget has room again or a connection is free, whichever comes first."""
        wait_until = (
            min(deadline, self.scheduler.now() + self.limits.connect_timeout) - self.limits.settle_time
        )
        while self.scheduler.now() < wait_until and self._should_wait(endpoint):
            self.scheduler.sleep(self.limits.settle_time)
            if (idle := self._take_idle(endpoint))[0]:
                return idle
        return None, 0

    def _consume_budgets(self, endpoint: Endpoint) -> bool:
        """Returns whether the fleet's budgets allow a new connection to a unit; if so it counts as held."""
        now = self.scheduler.now()
        if self.budgets.allows(now, face.HANDSHAKES, endpoint.unit) is False or (
            self.budgets.consume(now, face.CONNECTIONS, endpoint.unit) is False
        ):
            return False
        self.budgets.consume(now, face.HANDSHAKES, endpoint.unit)
        return True

    def _take_idle(self, endpoint: Endpoint) -> tuple[Connection | None, int]:
        """Returns the connection used last among those idle long enough to show an unexpected second
        answer.
        """
        now, not_settled, taken, idle_time = self.scheduler.now(), [], None, 0
        while endpoint.idle and not taken:
            since, conn = endpoint.idle.pop()
            if now - since < self.limits.settle_time:
                not_settled.append((since, conn))
            elif now - since < self.idle_limit.max_idle and conn.is_clean():
                taken, idle_time = conn, now - since
            else:
                self.close(conn)
        endpoint.idle.extend(reversed(not_settled))
        return taken, idle_time

    def release(self, endpoint: Endpoint, conn: Connection) -> None:
        """Keeps a connection for reuse, unless the unit has gone."""
        if endpoint.gone:
            self.close(conn)
        else:
            # An idle connection does not keep the buffer of a large answer.
            conn.buffer.shrink()
            endpoint.idle.append((self.scheduler.now(), conn))

    def close(self, conn: Connection) -> None:
        """Closes a connection, if it is open."""
        if conn.open:
            conn.close()
            self.open_count -= 1
            unit = self.unit_by_connection.pop(conn, "")
            self.budgets.release(self.scheduler.now(), face.CONNECTIONS, unit)

    def drop_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        oldest = min(
            (endpoint for endpoint in self.endpoints.values() if endpoint.idle),
            key=lambda endpoint: endpoint.idle[0][0],
            default=None,
        )
        if oldest:
            self.close(oldest.idle.popleft()[1])
        return oldest is not None

    def sweep(self) -> None:
        """Closes connections that were idle for too long, again and again."""
        while True:
            interval = max(self.limits.max_idle // SWEEPS_PER_IDLE_TIME, MIN_SWEEP_INTERVAL_US)
            self.scheduler.sleep(interval)
            self.idle_limit.decay()
            expired = self.scheduler.now() - self.idle_limit.max_idle
            for endpoint in list(self.endpoints.values()):
                while endpoint.idle and endpoint.idle[0][0] <= expired:
                    self.close(endpoint.idle.popleft()[1])
