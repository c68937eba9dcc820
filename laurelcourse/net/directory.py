"""The directory: one watch of the list of units behind another."""

import logging

from laurelcourse import interface as face
from laurelcourse.net import http
from laurelcourse.net.calls import Pauses, answer
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.forms import Address, FormError, Members, decoded, members
from laurelcourse.net.http import HttpError
from laurelcourse.net.lists import Lists
from laurelcourse.net.pool import Pool
from laurelcourse.net.scheduler import Mailbox, Scheduler

MEMBERS = "/catalog/members"

log = logging.getLogger(__name__)


class Directory:
    def __init__(
        self, scheduler: Scheduler, config: Config, choices: Choices, pool: Pool, counters: Counters
    ) -> None:
        self.scheduler, self.address, self.limits = scheduler, config.directory, config.limits
        self.choices, self.pool, self.counters = choices, pool, counters
        self.must_ask = config.settings.must_ask
        self.revision = config.known.revision if config.known.entries else None
        self.lists = Lists(config.known, config.limits.watch + config.limits.watch_grace)
        self.asked, self.moved = Mailbox(scheduler), Mailbox(scheduler)
        self.conn: Connection | None = None
        self.at_once = False  # whether the last watch was answered so
        self.bare_until = 0  # entries that can't be sent to are logged once a watch's time
        # What the agent has at its return counts at once: a drain told then is heard within its grace.
        # Pauses and the patience with an agent, which answers at once, are parts of that grace.
        grace = config.settings.drain_grace
        self.pauses = Pauses(config.limits, config.seed, "directory", grace // 8)
        self.patience = min(config.limits.watch_grace, max(grace // 2, config.limits.watch_grace // 4))
        # Calls that failed since one worked; what an agent has at the start is asked for as after a failure.
        self.failures = 0 if self.must_ask else 1

    def watch(self) -> None:
        """The module asked for changes from now on."""
        self.asked.put(None)

    def move(self, address: Address) -> None:
        """Another address from now on, also for a call that waits; its revisions count anew."""
        if address != self.address:
            self.address, self.revision, self.failures = address, None, 1
            self._hang_up()
            self.moved.put(None)

    def follow(self) -> None:
        while True:
            if self.must_ask:
                self.asked.get()
            pause = 0
            while not pause:
                pause = self._watch()
            if self.must_ask:
                self.choices.directory(face.BROKEN, [])
            else:
                self.moved.get(self.scheduler.now() + pause)

    def _watch(self) -> int:
        """One watch, handed on; if it failed, the pause due before the next."""
        began, address = self.scheduler.now(), self.address
        self.moved.items.clear()
        self.counters.add("directory_calls")
        try:
            found = self._call()
            if address != self.address:
                raise HttpError("moved")
        except (HttpError, FormError, ValueError, RecursionError) as error:
            if address != self.address:
                return 0
            self.counters.add("directory_failed")
            self.failures += 1
            self._hang_up()
            return self.pauses.failed(error)
        self.pauses.worked()
        self.failures = 0
        before, self.revision = self.revision, found.revision
        again = before is not None and found.revision <= before
        self._held_back(found.bare)
        found = self.lists.take(self.scheduler.now(), found)
        if found.entries or found.whole:
            self.pool.listed(found.entries, found.whole)
            how = face.WHOLE if found.whole else face.CHANGES
            self.choices.directory(how, [listed for listed, _ in found.entries])
        else:
            again = True
        before, self.at_once = self.at_once, self.scheduler.now() - began < self.limits.pause_first
        if self.at_once and (again or before):
            # A directory that does not wait is not to be asked without a pause, whatever it has to tell.
            self.scheduler.sleep(self.limits.pause_first)
        return 0

    def _held_back(self, bare: tuple[str, ...]) -> None:
        """Notes entries that say too little to be sent to; a list that repeats them must not fill the log."""
        if bare:
            self.counters.add("directory_held_back", len(bare))
        if bare and self.scheduler.now() >= self.bare_until:
            self.bare_until = self.scheduler.now() + self.limits.watch
            log.warning("an entry without build or address", extra={"first": bare[0], "entries": len(bare)})

    def _times(self) -> tuple[int, int]:
        """How long the next call may wait, and how much later its answer may come. What need not be waited
        for is answered at once: a list asked for anew that stays out, and a watch opened anew that is silent
        as well, are known soon: what the first of two missed counts 2 s after its wait. Who is slow is heard
        all the same: a directory that is asked has twice the time at each call, an agent at each 32nd."""
        limits = self.limits
        if not self.failures:
            return limits.watch, limits.watch_grace
        if self.must_ask:
            return limits.pause_first, min(limits.watch_grace << min(self.failures, 4) >> 2, limits.watch)
        return limits.pause_first, min(self.patience << min(self.failures >> 5, 4), limits.watch_grace)

    def _call(self) -> Members:
        hold, patience = self._times()
        target = f"{MEMBERS}?from={self.revision}&hold_ms={hold // 1000}"
        target = MEMBERS if self.revision is None else target
        until = self.scheduler.now() + hold + patience
        if self.conn is None or not self.conn.clean():
            self._hang_up()
            soon = self.scheduler.now() + min(patience, self.limits.watch_grace)
            address = self.address
            self.conn = Connection.connect(self.scheduler, address, self.limits, soon)
            if address != self.address:
                self._hang_up()
        if self.conn is None:
            raise HttpError("no connection")
        if not self.conn.write(http.request("GET", target, self.address), until):
            raise HttpError("a call not written whole")
        found = answer(self.conn, until, self.limits.body)
        if found.head.status != 200:
            raise HttpError(f"status {found.head.status}")
        if found.head.closes:
            self._hang_up()
        return members(decoded(found.take()))

    def _hang_up(self) -> None:
        if self.conn:
            self.conn.close()
            self.conn = None
