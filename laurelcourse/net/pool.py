"""Connections by unit: connect, keep, rest, drain, close. Knows no protocol."""

from collections import deque
from collections.abc import Callable, Iterable

from greenlet import getcurrent

from laurelcourse import interface as face
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.forms import Address
from laurelcourse.net.limits import Limits
from laurelcourse.net.rests import Rests
from laurelcourse.net.scheduler import SHUT, Scheduler, Task


class Place:
    """Where a unit listens; another address, build or start under its number is another place."""

    def __init__(self, address: Address, entry: face.Listed) -> None:
        self.address, self.build, self.since = address, entry.build, entry.since
        self.unit = str(entry.unit)
        self.idle: deque[tuple[int, Connection]] = deque()
        self.coming: set[Task] = set()  # whoever waits for a connection to come up
        self.gone = self.odd = False


class Pool:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        greet: Callable[[Connection, int], str],
        counters: Counters,
    ) -> None:
        """`greet` does what a new connection needs before its first query, and tells how that ended."""
        self.scheduler, self.limits, self.greet, self.counters = scheduler, limits, greet, counters
        self.shares: face.Shares = face.NoShares()
        self.units: dict[Connection, str] = {}
        self.places: dict[int, Place] = {}
        self.open = 0
        self.rests = Rests(limits)

    def listed(self, entries: Iterable[tuple[face.Listed, Address | None]], whole: bool) -> None:
        named = {entry.unit for entry, _ in entries}
        for unit in [unit for unit in self.places if whole and unit not in named]:
            self._leave(unit)
        for entry, address in entries:
            have = self.places.get(entry.unit)
            if entry.health == face.GONE:
                self._leave(entry.unit)
            elif address is not None and (
                have is None or (have.address, have.build, have.since) != (address, entry.build, entry.since)
            ):
                self._leave(entry.unit)
                self.places[entry.unit] = Place(address, entry)

    def _leave(self, unit: int) -> None:
        place = self.places.pop(unit, None)
        if place:
            place.gone = True
            for task in place.coming:
                self.scheduler.wake(task, SHUT)
            while place.idle:
                self.close(place.idle.popleft()[1])

    def connection(
        self, place: Place, until: int, may: Callable[[], bool] = lambda: True
    ) -> tuple[Connection | None, int, str]:
        """A clean idle one and its rest, else a new one, if it `may` still be begun; or why there is none.
        Nothing has run so far."""
        if self.scheduler.now() >= until:
            return None, 0, face.UNREACHED  # a greeting for nobody would cost the unit work
        conn, rested = self._rested(place)
        if conn is None and self._waits(place):
            conn, rested = self._after_a_moment(place, until)
        if conn:
            return conn, rested, face.OK
        if place.gone or not may():
            return None, 0, face.UNSENT  # the unit went meanwhile, or who asked: a greeting for nobody too
        if self.open >= self.limits.upstream and not self.drop_idle():
            self.counters.add("units_no_descriptor")
            # Not the unit's fault, and nothing that it is to be judged by.
            return None, 0, face.UNSENT
        if not self._within_budgets(place):
            self.counters.add("units_no_budget")
            return None, 0, face.UNSENT  # nor is this
        self.open += 1
        until = min(until, self.scheduler.now() + self.limits.connect)
        conn, status = None, face.UNREACHED
        place.coming.add(task := getcurrent())
        try:
            conn = Connection.connect(self.scheduler, place.address, self.limits, until)
            if conn:
                self.units[conn] = place.unit
                self.counters.add("units_connected")
                status = face.UNREACHED if place.gone else self.greet(conn, until)
        finally:
            place.coming.remove(task)
            # Also after a fault: else it would count as open, and as held, for ever.
            if conn is None:
                self.open -= 1
                self.shares.back(self.scheduler.now(), face.CONNECTIONS, place.unit)
            elif status != face.OK:
                self.close(conn)
        # What a wait for a unit that has left ended with tells nothing of it.
        status = face.UNSENT if place.gone and status == face.UNREACHED else status
        return conn if status == face.OK else None, 0, status

    def _waits(self, place: Place) -> bool:
        """Whether a budget is used up that the operators let reqs wait for; else other units come first."""
        now = self.scheduler.now()
        return not place.gone and any(
            self.shares.could(now, name, place.unit) is False and self.shares.waits(name)
            for name in (face.HANDSHAKES, face.CONNECTIONS)
        )

    def _after_a_moment(self, place: Place, until: int) -> tuple[Connection | None, int]:
        """A budget's next use may be a moment away, and so may be a connection that comes to rest."""
        patience = min(until, self.scheduler.now() + self.limits.connect) - self.limits.settle
        while self.scheduler.now() < patience and self._waits(place):
            self.scheduler.sleep(self.limits.settle)
            if (found := self._rested(place))[0]:
                return found
        return None, 0

    def _within_budgets(self, place: Place) -> bool:
        """The fleet's bounds on new connections to a unit and on those held; one is counted as held from here
        on."""
        now = self.scheduler.now()
        if self.shares.could(now, face.HANDSHAKES, place.unit) is False or (
            self.shares.take(now, face.CONNECTIONS, place.unit) is False
        ):
            return False
        self.shares.take(now, face.HANDSHAKES, place.unit)
        return True

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
                self.close(conn)
        place.idle.extend(reversed(fresh))
        return found, rested

    def keep(self, place: Place, conn: Connection) -> None:
        if place.gone:
            self.close(conn)
        else:
            # Of a large answer's buffer nothing is kept while the connection rests.
            conn.buffer.shrink()
            place.idle.append((self.scheduler.now(), conn))

    def close(self, conn: Connection) -> None:
        if conn.open:
            conn.close()
            self.open -= 1
            self.shares.back(self.scheduler.now(), face.CONNECTIONS, self.units.pop(conn, ""))

    def drop_idle(self) -> bool:
        """Closes the connection that has been idle longest; whether there was one."""
        oldest = min(
            (place for place in self.places.values() if place.idle),
            key=lambda place: place.idle[0][0],
            default=None,
        )
        if oldest:
            self.close(oldest.idle.popleft()[1])
        return oldest is not None

    def sweep(self) -> None:
        """Closes what has been idle for too long, again and again."""
        while True:
            self.scheduler.sleep(max(self.limits.idle // 8, 1000))
            self.rests.fade()
            expired = self.scheduler.now() - self.rests.most
            for place in list(self.places.values()):
                while place.idle and place.idle[0][0] <= expired:
                    self.close(place.idle.popleft()[1])
