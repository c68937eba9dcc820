"""The directory's API: one watch of the list of units after another."""

import logging

from laurelcourse import interface as face
from laurelcourse.net import http
from laurelcourse.net.config import Config
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.http import HttpError
from laurelcourse.net.http_client import Backoff, read_response
from laurelcourse.net.membership import MembershipFilter
from laurelcourse.net.payloads import Address, PayloadError, UnitList, parse_json, parse_unit_list
from laurelcourse.net.pool import Pool
from laurelcourse.net.scheduler import Mailbox, Scheduler

UNITS_PATH = "/catalog/members"

log = logging.getLogger(__name__)


class Directory:
    """Follows the list of units and hands changes to the pool and the dispatcher."""

    def __init__(
        self,
        scheduler: Scheduler,
        config: Config,
        dispatcher: Dispatcher,
        pool: Pool,
        counters: Counters,
    ) -> None:
        self.scheduler, self.address, self.limits = scheduler, config.directory, config.limits
        self.dispatcher, self.pool, self.counters = dispatcher, pool, counters
        self.must_poll = config.settings.must_poll
        self.revision = config.known.revision if config.known.entries else None
        self.membership = MembershipFilter(config.known, config.limits.watch + config.limits.watch_grace)
        self.watch_requested, self.address_changed = Mailbox(scheduler), Mailbox(scheduler)
        self.conn: Connection | None = None
        self.answered_at_once = False  # the last watch
        self.quiet_until = 0  # incomplete entries are logged once in the time of a watch
        # What the agent knows counts as soon as it is back: a drain must be learned within its grace. Delays
        # between calls, and the time allowed to an agent that answers at once, are parts of that grace.
        grace = config.settings.drain_grace
        self.backoff = Backoff(config.limits, config.seed, "directory", grace // 8)
        self.response_time = min(config.limits.watch_grace, max(grace // 2, config.limits.watch_grace // 4))
        # Calls that failed in a row. Starting with 1 asks an agent at once for what it has.
        self.failures = 0 if self.must_poll else 1

    def watch(self) -> None:
        """The decision module asks for changes from now on."""
        self.watch_requested.put(None)

    def move(self, address: Address) -> None:
        """Uses another address from now on, also for a call under way; its revisions are its own."""
        if address != self.address:
            self.address, self.revision, self.failures = address, None, 1
            self._disconnect()
            self.address_changed.put(None)

    def follow(self) -> None:
        """Watches the directory again and again; backs off after failures."""
        while True:
            if self.must_poll:
                self.watch_requested.get()
            delay = 0
            while not delay:
                delay = self._watch()
            if self.must_poll:
                self.dispatcher.directory(face.WATCH_BROKEN, [])
            else:
                self.address_changed.get(self.scheduler.now() + delay)

    def _watch(self) -> int:
        """Makes one watch and hands on what it brings; returns the delay before the next if it failed, else
        0.
        """
        began, address = self.scheduler.now(), self.address
        self.address_changed.items.clear()
        self.counters.add("directory_calls")
        try:
            units = self._call()
            if address != self.address:
                raise HttpError("moved")
        except (HttpError, PayloadError, ValueError, RecursionError) as error:
            if address != self.address:
                return 0
            self.counters.add("directory_failed")
            self.failures += 1
            self._disconnect()
            return self.backoff.failed(error)
        self.backoff.succeeded()
        self.failures = 0
        last_revision, self.revision = self.revision, units.revision
        repeated = last_revision is not None and units.revision <= last_revision
        self._report_incomplete(units.incomplete)
        units = self.membership.filter(self.scheduler.now(), units)
        if units.entries or units.complete:
            self.pool.update_units(units.entries, units.complete)
            how = face.FULL_LIST if units.complete else face.CHANGES
            self.dispatcher.directory(how, [listed for listed, _ in units.entries])
        else:
            repeated = True
        last_at_once, self.answered_at_once = (
            self.answered_at_once,
            self.scheduler.now() - began < self.limits.backoff_first,
        )
        if self.answered_at_once and (repeated or last_at_once):
            # A directory that does not hold a watch open is not called again without a delay.
            self.scheduler.sleep(self.limits.backoff_first)
        return 0

    def _report_incomplete(self, unit_ids: tuple[str, ...]) -> None:
        """Counts and logs entries that lack what a send needs; repeated lists must not fill the log."""
        if unit_ids:
            self.counters.add("directory_held_back", len(unit_ids))
        if unit_ids and self.scheduler.now() >= self.quiet_until:
            self.quiet_until = self.scheduler.now() + self.limits.watch
            log.warning(
                "an entry without build or address", extra={"first": unit_ids[0], "entries": len(unit_ids)}
            )

    def _call_times(self) -> tuple[int, int]:
        """Returns how long the next call may wait, and how much later its answer may come.

        After a failure the directory is asked for what it has, so that a dead one is noticed soon: what a
        first silent watch missed counts 2 s after its wait. A slow directory gets more time with each
        failure: one that is polled twice as much at each, an agent at each 32nd.
        """
        limits = self.limits
        if not self.failures:
            return limits.watch, limits.watch_grace
        if self.must_poll:
            return limits.backoff_first, min(limits.watch_grace << min(self.failures, 4) >> 2, limits.watch)
        return limits.backoff_first, min(self.response_time << min(self.failures >> 5, 4), limits.watch_grace)

    def _call(self) -> UnitList:
        hold, response_time = self._call_times()
        target = f"{UNITS_PATH}?from={self.revision}&hold_ms={hold // 1000}"
        target = UNITS_PATH if self.revision is None else target
        deadline = self.scheduler.now() + hold + response_time
        if self.conn is None or not self.conn.is_clean():
            self._disconnect()
            connect_deadline = self.scheduler.now() + min(response_time, self.limits.watch_grace)
            address = self.address
            self.conn = Connection.connect(self.scheduler, address, self.limits, connect_deadline)
            if address != self.address:
                self._disconnect()
        if self.conn is None:
            raise HttpError("no connection")
        if not self.conn.write(http.request("GET", target, self.address), deadline):
            raise HttpError("a call not written whole")
        # A slow directory has as long behind its head as before it.
        response = read_response(self.conn, deadline, self.limits.max_list, response_time)
        if response.head.status != 200:
            raise HttpError(f"status {response.head.status}")
        if response.head.closes:
            self._disconnect()
        return parse_unit_list(parse_json(response.take()))

    def _disconnect(self) -> None:
        if self.conn:
            self.conn.close()
            self.conn = None
