"""The directory: one watch of the list of units behind another."""

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


class Directory:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, pool: Pool,
                 counters: Counters) -> None:
        self.scheduler, self.address, self.limits = scheduler, config.directory, config.limits
        self.choices, self.pool, self.counters = choices, pool, counters
        self.must_ask = config.settings.must_ask
        self.revision = config.known.revision if config.known.entries else None
        self.lists = Lists(config.known, config.limits.watch + config.limits.watch_grace)
        self.asked, self.moved = Mailbox(scheduler), Mailbox(scheduler)
        self.conn: Connection | None = None
        self.pauses = Pauses(config.limits, config.seed, "directory")

    def watch(self) -> None:
        """The module asked for changes from now on."""
        self.asked.put(None)

    def move(self, address: Address) -> None:
        """Another address from now on, also for a call that waits; its revisions count anew."""
        if address != self.address:
            self.address, self.revision = address, None
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
            self._hang_up()
            return self.pauses.failed(error)
        self.pauses.worked()
        self.revision = found.revision
        found = self.lists.take(self.scheduler.now(), found)
        if found.entries or found.whole:
            self.pool.listed(found.entries, found.whole)
            how = face.WHOLE if found.whole else face.CHANGES
            self.choices.directory(how, [listed for listed, _ in found.entries])
        elif self.scheduler.now() - began < self.limits.pause_first:
            # A directory that does not wait is not to be asked without a pause.
            self.scheduler.sleep(self.limits.pause_first)
        return 0

    def _call(self) -> Members:
        hold = self.limits.watch // 1000
        target = MEMBERS if self.revision is None else f"{MEMBERS}?from={self.revision}&hold_ms={hold}"
        until = self.scheduler.now() + self.limits.watch + self.limits.watch_grace
        if self.conn is None or not self.conn.clean():
            self._hang_up()
            soon = self.scheduler.now() + self.limits.watch_grace
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
