"""Between directory and choices: the directory's word on each mirror, less those that rest or are full."""

import logging
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.fronts.tuf.decide_mirrors import Mirrors
from laurelcourse.fronts.tuf.decide_room import Room
from laurelcourse.fronts.tuf.trust import PROVEN, SAME, STRANGE, WRONG, Offer
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.payloads import BuildState, Tally
from laurelcourse.net.scheduler import Scheduler
from laurelcourse.operator.settings import METADATA

log = logging.getLogger(__name__)


class Listing:
    def __init__(
        self,
        scheduler: Scheduler,
        choices: Dispatcher,
        mirrors: Mirrors,
        room: Room,
        counters: Counters,
        left: Callable[[int], None],
    ) -> None:
        """`left` hears of a mirror that drains or is withdrawn."""
        self.scheduler, self.dispatcher, self.mirrors, self.room = scheduler, choices, mirrors, room
        self.counters, self.left = counters, left
        self.entries: dict[int, face.Listed] = {}
        self.trial = -1  # the build on trial, as last told

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        """The directory's news, as `Dispatcher.directory` hears it."""
        entries = list(entries)
        if how == face.WATCH_BROKEN:
            self.dispatcher.directory(how, entries)
            return
        before = {unit for unit, one in self.entries.items() if one.health == face.READY}
        told = {one.unit: one for one in entries}
        self.entries = told if how != face.CHANGES else self.entries | told
        ready = {unit: one.build for unit, one in self.entries.items() if one.health == face.READY}
        self.mirrors.listed(ready)
        self.dispatcher.directory(how, [self._masked(one) for one in entries])
        for unit in before - ready.keys():
            self.left(unit)
        self.entries = {unit: one for unit, one in self.entries.items() if one.health != face.GONE}

    def stage(self, news: BuildState, vote_status: str | None = None) -> None:
        """The deployer's news, as `Dispatcher.stage` hears it."""
        if vote_status in (None, face.COUNTED):
            self.trial = news.build if news.standing == face.ON_TRIAL else -1
        self.dispatcher.stage(news, vote_status)

    def tally(self, found: Tally) -> None:
        self.dispatcher.tally(found)

    def _masked(self, one: face.Listed) -> face.Listed:
        masked = self.mirrors.is_excluded(self.scheduler.now(), one.unit) or self.room.full(one.unit)
        return one._replace(health=face.DRAINING) if masked and one.health == face.READY else one

    def _tell(self, unit: int) -> None:
        if unit in self.entries:
            self.dispatcher.directory(face.CHANGES, [self._masked(self.entries[unit])])

    def full(self, unit: int, begins: bool) -> None:
        """A part of a file begins or ends at a mirror."""
        if self.room.begin(unit) if begins else self.room.end(unit):
            self._tell(unit)

    def judged(self, unit: int, route: str, offer: Offer) -> None:
        """What an answer of the mirror was worth."""
        now, mirrors = self.scheduler.now(), self.mirrors
        if offer.verdict in (PROVEN, SAME):
            mirrors.good(unit)
            return
        if len(offer.among) > 1 and unit not in mirrors.suspect(now, set(offer.among)):
            self.counters.add("mirrors_suspected")
            return
        lies = offer.verdict == WRONG or (offer.verdict == STRANGE and mirrors.strange(now, unit))
        self.counters.add(f"mirrors_{WRONG if lies else offer.verdict}")
        if offer.verdict == STRANGE and not lies and route == METADATA:
            return  # it may be the one that has the next root
        # Wrong answers of a release on trial are the judge's to weigh: rests of its mirrors would starve it.
        judged = lies and self.entries.get(unit) is not None and self.entries[unit].build == self.trial
        if judged:
            mirrors.blame(now, unit)
        elif (mirrors.wrong if lies else mirrors.behind)(now, unit):
            rest = (mirrors.known[unit].until - now) // 1000
            log.warning(
                "a mirror rests",
                extra={"mirror": unit, "verdict": offer.verdict, "why": offer.why, "rest_ms": rest},
            )
            self._tell(unit)
            self.scheduler.after(mirrors.known[unit].until - now, lambda: self._tell(unit))
        else:
            log.debug("a mirror is not believed: %s", offer.why)
        if lies and mirrors.tells_against_build(now, unit):
            self.dispatcher.complaint(unit, 0, route)
