"""The directory: the list of units, followed by one watch behind another."""

import json
import logging
import zlib
from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.chance import Chance
from laurelcourse.net import http
from laurelcourse.net.calls import answer
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Address, Config, address
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.http import HttpError
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.units import Units

MEMBERS = "/catalog/members"
HEALTH = {"active": face.READY, "leaving": face.DRAINING, "left": face.GONE}

log = logging.getLogger(__name__)
Entry = tuple[face.Listed, Address | None]


def number(name: str) -> int:
    """The same at every relay, and below 2^32."""
    return zlib.crc32(name.encode())


def entry(one: dict) -> Entry:
    health = HEALTH[one["phase"]]
    since = int(one.get("up_since_ms") or 0) * 1000
    where = address(one["host_port"]) if one.get("host_port") or health != face.GONE else None
    listed = face.Listed(
        unit=number(one["id"]), zone=one.get("locality", ""), cell=int(one.get("cell", 0)),
        build=int(one.get("revision_no", 0)), health=health, size=float(one.get("size", 1)),
        since=since or face.LONG_AGO)
    return listed, where


def members(root: object) -> tuple[int, bool, list[Entry]]:
    """The revision, whether the list is whole, and its entries."""
    try:
        return int(root["revision"]), bool(root["complete"]), [entry(one) for one in root["members"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise HttpError(f"an unreadable list: {type(error).__name__} {error}") from None


class Pauses:
    """Growing, jittered pauses between failed calls; the log hears of a change alone."""

    def __init__(self, scheduler: Scheduler, first: int, most: int, seed: int, what: str) -> None:
        self.scheduler, self.first, self.most, self.what = scheduler, first, most, what
        self.chance, self.pause = Chance(seed), 0

    def failed(self, fault: object) -> int:
        """Notes a failed call; how long to wait before the next."""
        if not self.pause:
            log.warning("%s fails", self.what, extra={"fault": fault})
        self.pause = min(max(2 * self.pause, self.first), self.most)
        return self.pause // 2 + self.chance.below(self.pause)

    def worked(self) -> None:
        if self.pause:
            log.info("%s is back", self.what)
        self.pause = 0


class Directory:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, units: Units,
                 counters: Counters) -> None:
        self.scheduler, self.config, self.limits = scheduler, config, config.limits
        self.choices, self.units, self.counters = choices, units, counters
        self.revision: int | None = None
        self.asked = Mailbox(scheduler)
        self.conn: Connection | None = None
        limits = config.limits
        self.pauses = Pauses(scheduler, limits.pause_first, limits.pause_most, config.seed, "directory")

    def known(self, start: Callable[[list[face.Listed]], None]) -> None:
        """Hands over the list that the configuration holds."""
        revision, _, entries = members(self.config.known)
        self.revision = revision if entries else None
        self.units.listed(entries, True)
        start([listed for listed, _ in entries])

    def watch(self) -> None:
        """The module asked for changes from now on."""
        self.asked.put(None)

    def follow(self) -> None:
        while True:
            if self.config.settings.must_ask:
                self.asked.get()
            while self._call():
                pass
            if self.config.settings.must_ask:
                self.choices.directory(face.BROKEN, [])

    def _call(self) -> bool:
        hold = self.limits.watch // 1000
        target = MEMBERS if self.revision is None else f"{MEMBERS}?from={self.revision}&hold_ms={hold}"
        self.counters.add("directory_calls")
        try:
            found = self._answer(target)
            self.revision, whole, entries = members(found)
        except (HttpError, ValueError) as error:
            self.counters.add("directory_failed")
            self._hang_up()
            pause = self.pauses.failed(error)
            if not self.config.settings.must_ask:
                self.scheduler.sleep(pause)
            return False
        self.pauses.worked()
        if entries or whole:
            self.units.listed(entries, whole)
            self.choices.directory(face.WHOLE if whole else face.CHANGES, [one for one, _ in entries])
        return True

    def _answer(self, target: str) -> object:
        until = self.scheduler.now() + self.limits.watch + self.limits.watch_grace
        if self.conn is None or not self.conn.clean():
            self._hang_up()
            where, soon = self.config.directory, self.scheduler.now() + self.limits.watch_grace
            self.conn = Connection.connect(self.scheduler, where, self.limits, soon)
            if self.conn is None:
                raise HttpError("no connection")
        host = "{}:{}".format(*self.config.directory)
        if not self.conn.write(http.request("GET", target, host), until):
            raise HttpError("a call not written whole")
        found = answer(self.conn, until, self.limits.body)
        if found.head.status != 200:
            raise HttpError(f"status {found.head.status}")
        if found.head.closes:
            self._hang_up()
        return json.loads(found.take())

    def _hang_up(self) -> None:
        if self.conn:
            self.conn.close()
            self.conn = None
