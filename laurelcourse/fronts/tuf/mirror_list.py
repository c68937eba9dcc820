"""Passes the directory's list of mirrors to the dispatcher, without those that are excluded or full."""

import logging
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.fronts.tuf.file_admission import FileAdmission
from laurelcourse.fronts.tuf.mirror_exclusion import MirrorRecords
from laurelcourse.fronts.tuf.trust import INVALID, UNCHANGED, UNVERIFIABLE, VERIFIED, Assessment
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.payloads import BuildState, Tally
from laurelcourse.net.scheduler import Scheduler
from laurelcourse.operator.settings import METADATA

MILLISECOND_US = 1000
NO_BUILD = -1

log = logging.getLogger(__name__)


class MirrorList:
    """The mirrors of one front, as its Balancer sees them."""

    def __init__(
        self,
        scheduler: Scheduler,
        dispatcher: Dispatcher,
        mirrors: MirrorRecords,
        admission: FileAdmission,
        counters: Counters,
        on_unready: Callable[[int], None],
    ) -> None:
        """`on_unready` is called with each mirror that drains or is withdrawn."""
        self.scheduler = scheduler
        self.dispatcher = dispatcher
        self.mirrors = mirrors
        self.admission = admission
        self.counters = counters
        self.on_unready = on_unready
        self.entries: dict[int, face.Listed] = {}
        self.trial_build = NO_BUILD

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        """Takes the directory's news, in place of `Dispatcher.directory`."""
        entries = list(entries)
        if how == face.WATCH_BROKEN:
            self.dispatcher.directory(how, entries)
            return
        ready_before = {unit for unit, entry in self.entries.items() if entry.health == face.READY}
        reported = {entry.unit: entry for entry in entries}
        self.entries = reported if how != face.CHANGES else self.entries | reported
        ready = {unit: entry.build for unit, entry in self.entries.items() if entry.health == face.READY}
        self.mirrors.set_ready(ready)
        self.dispatcher.directory(how, [self._with_exclusion(entry) for entry in entries])
        for unit in ready_before - ready.keys():
            self.on_unready(unit)
        self.entries = {unit: entry for unit, entry in self.entries.items() if entry.health != face.GONE}

    def stage(self, news: BuildState, vote_status: str | None = None) -> None:
        """Takes the deployer's news, in place of `Dispatcher.stage`."""
        if vote_status in (None, face.COUNTED):
            self.trial_build = news.build if news.standing == face.ON_TRIAL else NO_BUILD
        self.dispatcher.stage(news, vote_status)

    def tally(self, tally: Tally) -> None:
        """Takes the deployer's tally, in place of `Dispatcher.tally`."""
        self.dispatcher.tally(tally)

    def _with_exclusion(self, entry: face.Listed) -> face.Listed:
        """Returns an entry as the Balancer gets it: excluded and full mirrors appear to be draining."""
        is_hidden = self.mirrors.is_excluded(self.scheduler.now(), entry.unit) or self.admission.is_full(
            entry.unit
        )
        return entry._replace(health=face.DRAINING) if is_hidden and entry.health == face.READY else entry

    def _update(self, unit: int) -> None:
        if unit in self.entries:
            self.dispatcher.directory(face.CHANGES, [self._with_exclusion(self.entries[unit])])

    def count_part(self, unit: int, begins: bool) -> None:
        """A part of a file begins or ends at a mirror."""
        if self.admission.begin_part(unit) if begins else self.admission.end_part(unit):
            self._update(unit)

    def assess(self, unit: int, route: str, assessment: Assessment) -> None:
        """Takes the assessment of a mirror's answer."""
        now, mirrors = self.scheduler.now(), self.mirrors
        verdict = assessment.verdict
        if verdict in (VERIFIED, UNCHANGED):
            mirrors.record_good(unit)
            return
        if len(assessment.among) > 1 and unit not in mirrors.suspect(now, set(assessment.among)):
            self.counters.add("mirrors_suspected")
            return
        is_wrong = verdict == INVALID or (
            verdict == UNVERIFIABLE and mirrors.is_wrong_if_unverifiable(now, unit)
        )
        self.counters.add(f"mirrors_{INVALID if is_wrong else verdict}")
        if verdict == UNVERIFIABLE and not is_wrong and route == METADATA:
            return  # it may be the mirror that has the next root
        self._exclude(now, unit, is_wrong, assessment)
        if is_wrong and mirrors.counts_against_build(now, unit):
            self.dispatcher.complaint(unit, 0, route)

    def _exclude(self, now: int, unit: int, is_wrong: bool, assessment: Assessment) -> None:
        mirrors = self.mirrors
        # Invalid answers of a build on trial are for its judgement: exclusions would leave it without reqs.
        is_on_trial = self.entries.get(unit) is not None and self.entries[unit].build == self.trial_build
        if is_wrong and is_on_trial:
            mirrors.record_wrong(now, unit)
        elif (mirrors.exclude_wrong if is_wrong else mirrors.exclude_behind)(now, unit):
            duration = mirrors.known[unit].excluded_until - now
            log.warning(
                "a mirror rests",
                extra={
                    "mirror": unit,
                    "verdict": assessment.verdict,
                    "why": assessment.why,
                    "rest_ms": duration // MILLISECOND_US,
                },
            )
            self._update(unit)
            self.scheduler.after(duration, lambda: self._update(unit))
        else:
            log.debug("a mirror is not believed: %s", assessment.why)
