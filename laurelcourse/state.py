"""State of the decision module: one upstream try, one req, one unit, one build on trial, one relay."""

import contextlib
import math
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice

from laurelcourse.interface import CLIENT_FAULT, FAILED, GONE, NEVER_RAN, OK, READY, Listed
from laurelcourse.messages import RelaySums, VoterReport
from laurelcourse.prng import Prng
from laurelcourse.settings import GROUP_CELL, GROUP_ZONE, Route, Settings

MAX_STICKY_KEYS = 1 << 16

INITIAL_CONCURRENCY_LIMIT = 20.0  # open tries
INITIAL_RETRY_TOKENS = 10.0

# States of a req.
NEW = "new"
TRYING = "trying"
ENDED = "ended"


class Window:
    """Times of recent events, oldest first."""

    __slots__ = ("add", "clear", "times")

    def __init__(self) -> None:
        self.times: deque[int] = deque()
        self.add, self.clear = self.times.append, self.times.clear

    def count_since(self, start: int) -> int:
        """Drops the events before `start` and returns how many are left."""
        while self.times and self.times[0] < start:
            self.times.popleft()
        return len(self.times)

    def discard(self, at: int) -> None:
        """Removes one event of that time, if it is still in the window."""
        with contextlib.suppress(ValueError):
            self.times.remove(at)


class Try:
    """One upstream try of a req."""

    __slots__ = (
        "build",
        "counted_at",
        "may_have_run",
        "number",
        "on_new_unit",
        "open",
        "sent_at",
        "status",
        "unit",
        "unit_started_at",
    )

    def __init__(self, number: int, unit: "Unit", sent_at: int, on_new_unit: bool) -> None:
        self.number, self.unit, self.build = number, unit, unit.build
        self.sent_at, self.on_new_unit = sent_at, on_new_unit
        self.unit_started_at = unit.started_at
        self.counted_at = sent_at  # its time in the window of tries at a build on trial
        self.open = self.may_have_run = True
        self.status = ""

    def finish(self, status: str) -> None:
        """Records how the try ended."""
        self.open, self.may_have_run, self.status = False, status not in NEVER_RAN, status
        self.unit.open_tries -= 1


class Req:
    """One req of a client, from its arrival until it is answered and no try is open."""

    __slots__ = (
        "deadline",
        "had_unsent_try",
        "id",
        "key",
        "pending_failure",
        "received_at",
        "route",
        "route_index",
        "state",
        "tries",
    )

    def __init__(
        self, req_id: str, route: Route, route_index: int, key: int | None, received_at: int, deadline: int
    ) -> None:
        self.id, self.route, self.route_index, self.key = req_id, route, route_index, key
        self.received_at, self.deadline = received_at, deadline
        self.state = NEW
        self.pending_failure: Try | None = None  # not yet counted, as the req may be tried at another build
        self.tries: list[Try] = []
        self.had_unsent_try = False

    def has_open_try(self, excluding: Try | None = None) -> bool:
        """Returns whether a try, other than the excluded one, has not ended."""
        return any(attempt.open and attempt is not excluding for attempt in self.tries)

    def was_tried_at(self, unit: "Unit") -> bool:
        """Returns whether any try went to this unit."""
        return any(attempt.unit is unit for attempt in self.tries)

    def counts_against_build(self, failed: Try) -> bool:
        """Returns whether a failed try is evidence against its build.

        It is not if another build failed the req too. If the unit blamed the client, another build must have
        served the req.
        """
        elsewhere = [attempt.status for attempt in self.tries if attempt.build != failed.build]
        if failed.status == CLIENT_FAULT:
            return OK in elsewhere
        return not {FAILED, CLIENT_FAULT}.intersection(elsewhere)

    def tries_that_may_have_run(self, excluding: Try | None = None) -> list[Try]:
        """Returns the tries that may have had an effect, other than the excluded one."""
        return [attempt for attempt in self.tries if attempt.may_have_run and attempt is not excluding]


class ExposureCap:
    """The capped share of a build on trial.

    A lower cap binds after a grace period, and tries are counted anew from then. Reported again meanwhile, it
    binds no later: otherwise news that repeats itself would postpone it for ever.
    """

    __slots__ = ("current", "pending")

    def __init__(self, share: float) -> None:
        self.current = share
        self.pending: list[tuple[float, int]] = []  # falling shares, each with the time from which it binds

    def update(self, share: float, binds_at: int) -> None:
        """Records a reported cap; a lower one binds at `binds_at`."""
        while self.pending and self.pending[-1][0] <= share:
            binds_at = self.pending.pop()[1]
        if share >= self.current:
            self.current = share
        else:
            self.pending.append((share, binds_at))

    def apply_due(self, now: int) -> bool:
        """Applies the lower caps that bind by now; returns whether there were any."""
        applied = False
        while self.pending and now >= self.pending[0][1]:
            self.current, applied = self.pending.pop(0)[0], True
        return applied


class Unit:
    """A unit as the directory lists it, and what this relay observed of it since the unit started."""

    __slots__ = (
        "build",
        "cell",
        "ejected_until",
        "ejection_time",
        "failure_rate",
        "gone_since",
        "health",
        "id",
        "latency_ratio",
        "open_tries",
        "peer_counts",
        "recent_failures",
        "recent_outcomes",
        "recent_sends",
        "sends_since_start",
        "size",
        "start_learned_at",
        "started_at",
        "success_streak",
        "suspicions",
        "waiting_since",
        "zone",
    )

    def __init__(self, now: int, entry: Listed) -> None:
        self.id, self.open_tries = entry.unit, 0
        self.peer_counts = [0, 0, 0]  # open tries, recent outcomes and recent failures at all peers
        self.started_at = self.build = -1
        self.update(now, entry)

    def update(self, now: int, entry: Listed) -> None:
        """Adopts the directory's entry; observations start anew if the unit restarted or changed its build.

        An entry of a unit that is leaving need not repeat its start and build. Were they adopted, sends to a
        cold unit would be counted anew once the leaving is taken back.
        """
        self.health, self.gone_since = entry.health, None
        if entry.health != READY and self.build >= 0:
            return
        if (entry.started_at, entry.build) != (self.started_at, self.build):
            self.latency_ratio, self.failure_rate, self.waiting_since = 1.0, 0.0, None
            self.ejected_until = self.ejection_time = self.success_streak = 0
            self.recent_outcomes = self.recent_failures = 0.0
            self.recent_sends, self.sends_since_start, self.start_learned_at = Window(), 0, now
            self.suspicions: dict[int, tuple[int, bool]] = {}  # by relay: when, and whether the unit failed
        self.zone, self.cell, self.build = entry.zone, entry.cell, entry.build
        self.started_at, self.size = entry.started_at, entry.size

    def in_other_dedup_group(self, other: "Unit", group: str) -> bool:
        """Returns whether a repeat at the other unit may run again.

        Of units whose zone is unknown, any two may be in different groups.
        """
        other_zone = self is not other and (self.zone != other.zone or not self.zone)
        return (group == GROUP_ZONE and other_zone) or (group == GROUP_CELL and self.cell != other.cell)

    def record_suspicion(self, relay: int, now: int, failed: bool, expired: int) -> None:
        """Records a relay's suspicion, the newest last, and drops those made at `expired` or before."""
        self.suspicions.pop(relay, None)
        self.suspicions[relay] = (now, failed)
        while self.suspicions[oldest := next(iter(self.suspicions))][0] <= expired:
            del self.suspicions[oldest]

    def had_failure_since(self, since: int, excluding_relay: int = -1) -> bool:
        """Returns whether any relay, other than the excluded one, saw it fail after `since`."""
        return any(
            failed and at > since
            for relay, (at, failed) in self.suspicions.items()
            if relay != excluding_relay
        )

    def recent_counts(self) -> tuple[float, float]:
        """Returns recent outcomes and failures, here and as reported by peers."""
        return self.recent_outcomes + self.peer_counts[1], self.recent_failures + self.peer_counts[2]

    def begin_try(self, now: int, window_start: int) -> None:
        """Records a new try and drops sends before `window_start` from the window."""
        self.open_tries += 1
        self.sends_since_start += 1
        self.recent_sends.count_since(window_start)
        self.recent_sends.add(now)
        self.waiting_since = now if self.waiting_since is None else self.waiting_since


class OutcomeSums:
    """Sums over the outcomes of one route. Log latencies are of microseconds."""

    __slots__ = ("count", "failed", "log_latency", "log_latency_squared", "timed")

    def __init__(self) -> None:
        self.count = self.failed = self.timed = self.log_latency = self.log_latency_squared = 0.0

    def add(
        self, count: float, failed: float, timed: float, log_latency: float, log_latency_squared: float
    ) -> None:
        """Adds outcomes; `timed` are those with a latency."""
        self.count += count
        self.failed += failed
        self.timed += timed
        self.log_latency += log_latency
        self.log_latency_squared += log_latency_squared

    def latency_mean_and_spread(self, min_spread: float) -> tuple[float, float]:
        """Returns mean and standard deviation of log latency."""
        mean = self.log_latency / self.timed
        variance = max(self.log_latency_squared / self.timed - mean * mean, 0.0)
        return mean, max(min_spread, math.sqrt(variance))

    def decay(self, factor: float) -> None:
        """Scales all sums."""
        self.count *= factor
        self.failed *= factor
        self.timed *= factor
        self.log_latency *= factor
        self.log_latency_squared *= factor


class BuildTrial:
    """Evidence about one build: the posterior's log weights and the sums exchanged with the voters."""

    __slots__ = (
        "build",
        "changed_routes",
        "complaint_count",
        "earlier_sums",
        "earlier_units",
        "log_weights",
        "outcome_count",
        "own_sums",
        "received_rows",
        "reports",
        "timed",
        "voters",
        "warm_units",
    )

    def __init__(
        self, build: int, earlier_units: int, route_count: int, log_weights: list[float], voters: list[int]
    ) -> None:
        self.build, self.earlier_units = build, earlier_units
        self.log_weights, self.voters = log_weights, voters
        self.outcome_count = self.complaint_count = self.warm_units = 0
        self.timed = 0.0
        self.own_sums = [OutcomeSums() for _ in range(route_count)]
        self.earlier_sums = [OutcomeSums() for _ in range(route_count)]
        self.changed_routes: set[int] = set()
        # By relay and route (-1: complaints), the epoch, number and values last received.
        self.received_rows: dict[tuple[int, int], tuple] = {}
        self.reports: dict[int, tuple[int, VoterReport]] = {}  # by voter, with the time of receipt

    def take_changed_rows(self) -> list[tuple]:
        """Returns the sums of the routes that changed since the last call, as rows of a datagram."""
        indexes, self.changed_routes = sorted(self.changed_routes), set()
        return [
            (
                index,
                int(own.count),
                int(own.failed),
                int(own.timed),
                own.log_latency,
                int(earlier.count),
                int(earlier.failed),
                int(earlier.timed),
                earlier.log_latency,
                earlier.log_latency_squared,
            )
            for index, own, earlier in (
                (index, self.own_sums[index], self.earlier_sums[index]) for index in indexes
            )
        ]

    def add_complaint(self, route_index: int) -> None:
        """Records a client's complaint of a wrong answer."""
        self.complaint_count += 1
        self.changed_routes.add(route_index)

    def accept_report(self, now: int, relay: int, report: VoterReport) -> None:
        """Keeps a voter's report, unless it is of another build, of no voter, or older than the last."""
        last = self.reports.get(relay, (0, None))[1]
        newer = last is None or (report.epoch, report.number) > (last.epoch, last.number)
        if report.build == self.build and relay in self.voters and newer:
            self.reports[relay] = (now, report)

    def quorum_report(self, since: int, quorum: int) -> VoterReport | None:
        """Returns what `quorum` of the voters heard since then agree on at least, or None if there are fewer.

        Each figure is the `quorum`-th highest of the voters' figures.
        """
        reports = [report for at, report in self.reports.values() if at >= since]
        if len(reports) < quorum:
            return None
        posteriors, ratios = (
            [sorted(column)[-quorum] for column in zip(*rows, strict=True)]
            for rows in (
                [report.posteriors for report in reports],
                [report.latency_ratios for report in reports],
            )
        )
        outcome_count, wait_ratio = (
            sorted(column)[-quorum]
            for column in zip(*((report.outcome_count, report.wait_ratio) for report in reports), strict=True)
        )
        return VoterReport(0, 0, self.build, outcome_count, tuple(posteriors), tuple(ratios), wait_ratio)

    def take_new_evidence(self, relay: int, sums: RelaySums) -> tuple[int, list[tuple[int, list[float]]]]:
        """Returns the complaints and the rows by route that a relay's sums add to those received before.

        Sums that were overtaken add nothing; after the relay's restart its sums count from zero.
        """
        gained = []
        if sums.build != self.build:
            return 0, gained
        for index, row in [(-1, (sums.complaints,)), *sums.rows.items()]:
            epoch, number, last_row = self.received_rows.get((relay, index), (-1, -1, ()))
            if (sums.epoch, sums.number) > (epoch, number):
                self.received_rows[relay, index] = (sums.epoch, sums.number, row)
                last_row = last_row if epoch == sums.epoch else [0] * len(row)
                gained.append((index, [new - old for new, old in zip(row, last_row, strict=True)]))
        complaints = gained.pop(0)[1][0] if gained and gained[0][0] < 0 else 0
        return complaints, gained


class VoteState:
    """This relay's last vote, and when the next one may be cast."""

    __slots__ = ("backoff", "cast_at", "last_vote", "not_before")

    def __init__(self) -> None:
        self.last_vote: tuple[int, int, int] | None = None  # build, stage, verdict
        self.cast_at = self.not_before = self.backoff = 0


class ReleaseStatus:
    """Where the newest build stands, as the deployer reported last."""

    __slots__ = ("build", "cap", "stage", "stage_began_at", "standing")

    def __init__(self, build: int, stage: int, standing: int, cap: float, stage_began_at: int) -> None:
        self.build, self.stage, self.standing = build, stage, standing
        self.cap, self.stage_began_at = cap, stage_began_at


class UnitGroup:
    """Ready units that may serve alike, split into those of the home zone and the others."""

    __slots__ = ("local", "remote", "size")

    def __init__(self, units: list[Unit], home_zone: str | None) -> None:
        """Without a home zone all units count as local."""
        self.local = [unit for unit in units if home_zone in (None, unit.zone)]
        self.remote = [unit for unit in units if home_zone not in (None, unit.zone)]
        self.size = len(units)

    def unit_at(self, index: int) -> Unit:
        """Returns a unit by its index, local ones first."""
        return self.local[index] if index < len(self.local) else self.remote[index - len(self.local)]


class FleetWait:
    """Estimates how long tries at all relays are open, from the relays' counts of open and ended tries."""

    __slots__ = ("end_rate", "ended_tries", "measured_at", "open_by_relay")

    def __init__(self, now: int) -> None:
        self.measured_at, self.ended_tries = now, 0.0
        self.end_rate = 0.0  # tries ended in a microsecond
        self.open_by_relay: dict[int, tuple[int, int]] = {}  # time of receipt, open tries

    def record_open(self, now: int, relay: int, open_tries: int) -> None:
        """Records a relay's number of open tries."""
        self.open_by_relay[relay] = (now, open_tries)

    def estimate(self, now: int, horizon: int) -> float:
        """Returns the mean time that a try is open, in microseconds; 0 if unknown.

        By Little's law (Little 1961) it shows an overload before late answers do. Counts older than the
        horizon are dropped, and the rate is smoothed over it.
        """
        elapsed = max(now - self.measured_at, 1)
        gain = min(elapsed / horizon, 1.0) if self.end_rate else 1.0
        self.end_rate += (self.ended_tries / elapsed - self.end_rate) * gain
        self.measured_at, self.ended_tries = now, 0.0
        self.open_by_relay = {
            relay: report for relay, report in self.open_by_relay.items() if now - report[0] < horizon
        }
        total_open = sum(open_tries for _, open_tries in self.open_by_relay.values())
        return total_open / self.end_rate if self.end_rate > 0 else 0.0


class WarmThroughput:
    """Answers of warm units at this relay, and the unit time in which they came.

    It decays while some units are warm and stands still while all are cold: answers of cold units show what
    was let through, not what a unit can do.
    """

    __slots__ = ("answers", "size_time", "unit_time", "updated_at")

    def __init__(self, now: int) -> None:
        self.updated_at, self.answers = now, 0.0
        self.size_time = self.unit_time = 0.0  # summed sizes and number of warm units, times microseconds

    def advance(self, now: int, half_life: int, warm_sizes: list[float]) -> None:
        """Accounts for the time since the last call, in which units of these sizes were warm."""
        elapsed, self.updated_at = now - self.updated_at, now
        decay = 0.5 ** (elapsed / half_life) if warm_sizes else 1.0
        self.answers *= decay
        self.size_time = self.size_time * decay + elapsed * sum(warm_sizes)
        self.unit_time = self.unit_time * decay + elapsed * len(warm_sizes)

    def time_of_one_unit(self, size: float, minimum: int) -> float:
        """Returns the time in microseconds, at least `minimum`, in which one unit would have given the
        answers.

        A unit counts by its size, but for no more than an average one.
        """
        return max(self.size_time / size if size else 0.0, self.unit_time, minimum)


class RelayState:
    """All that one relay's decisions rest on."""

    def __init__(self, seed: int, now: int, route_count: int) -> None:
        self.rng, self.epoch = Prng(seed), now // 1000 % (1 << 32)
        # Units and reqs.
        self.units: dict[int, Unit] = {}
        self.ready_units: list[Unit] = []
        self.oldest_build, self.total_size, self.earliest_start = 0, 0.0, 0  # of the ready units
        self.groups_current = False
        self.trial_units = self.established_units = self.all_units = UnitGroup([], None)
        self.sticky_builds: dict[int, int] = {}  # by key, the newest build that served it
        self.reqs: dict[str, Req] = {}
        # Releases, votes and evidence.
        self.release: ReleaseStatus | None = None
        self.cap = ExposureCap(0.0)
        self.trial_tries: dict[tuple[int, int], Window] = {}  # by build and scope of the cap
        self.recent_reqs = [Window() for _ in range(route_count)]  # by scope of the cap
        self.trial: BuildTrial | None = None
        self.baseline = [OutcomeSums() for _ in range(route_count)]
        self.newer_sums = [OutcomeSums() for _ in range(route_count)]
        self.vote = VoteState()
        # Load and latency.
        self.open_tries, self.mean_open_tries = 0, 0.0
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.latency_load = 0.0  # smoothed latency over the objective
        self.typical_latency: list[float] = []  # by route, in microseconds
        self.retry_tokens = INITIAL_RETRY_TOKENS
        self.recent_answers, self.warm_throughput = Window(), WarmThroughput(now)
        self.remote_share = 0.0  # share of reqs that are sent to other zones, as the own one is full
        # Other relays.
        self.peer_loads: dict[int, tuple[int, dict[int, list[int]]]] = {}
        self.fleet_wait = FleetWait(now)
        self.unsent_suspicions: list[tuple[int, bool]] = []
        # Timers.
        self.next_watch_at = self.watch_backoff = 0
        self.timer_count = self.next_report_at = 0
        self.last_timer_at = now

    def update_units(self, now: int, entries: Iterable[Listed], complete: bool) -> None:
        """Adopts the directory's entries; units that a complete list lacks are gone."""
        listed = {entry.unit: entry for entry in entries}
        for unit_id in self.units if complete else ():
            if unit_id not in listed:
                self.units[unit_id].health = GONE
        for unit_id, entry in listed.items():
            if unit_id in self.units:
                self.units[unit_id].update(now, entry)
            else:
                self.units[unit_id] = Unit(now, entry)
        self.ready_units = [
            self.units[unit_id] for unit_id in sorted(self.units) if self.units[unit_id].health == READY
        ]
        self.oldest_build = min((unit.build for unit in self.ready_units), default=0)
        self.total_size = sum(unit.size for unit in self.ready_units)
        self.earliest_start = min((unit.started_at for unit in self.ready_units), default=0)
        self.groups_current = False

    def record_answer(self, now: int, unit: Unit, warm_up_time: int) -> None:
        """Records an answer for the estimate of what a unit can serve."""
        self.recent_answers.add(now)
        self.warm_throughput.answers += unit.health == READY and now - unit.started_at >= warm_up_time

    def equivalent_units(self, unit: Unit) -> float:
        """Returns how many units of this one's size the ready ones amount to.

        It is at least their number, since sizes are rough.
        """
        return max(self.total_size / unit.size if unit.size else 0.0, len(self.ready_units), 1)

    def regroup(self, on_trial: Callable[[int], bool], home_zone: str | None) -> None:
        """Groups the ready units by their build; called after news of the directory or the deployer."""
        self.trial_units = UnitGroup([unit for unit in self.ready_units if on_trial(unit.build)], home_zone)
        self.established_units = UnitGroup(
            [unit for unit in self.ready_units if not on_trial(unit.build)], home_zone
        )
        self.all_units = UnitGroup(self.ready_units, home_zone)
        self.groups_current = True

    def start_new_sums(self, released: bool) -> None:
        """Starts sums for a newly offered build; those of a released one become the baseline."""
        self.baseline = self.newer_sums if released else self.baseline
        self.newer_sums = [OutcomeSums() for _ in self.baseline]

    def decay_sums(self, factor: float, minimum: int, maximum: int) -> None:
        """Decays the sums of outcomes, to `maximum` outcomes at most, but not those of few outcomes."""
        if self.trial:
            self.trial.timed *= factor
        for sums in self.baseline + self.newer_sums:
            if sums.count > minimum:
                sums.decay(min(factor, maximum / sums.count))

    def latency_ratios(self, routes: tuple[Route, ...], minimum: int) -> tuple[float, ...]:
        """Returns each route's usual latency at all builds over its objective.

        It is 0 for a route with fewer than `minimum` timed outcomes.
        """
        ratios = []
        for old, new, route in zip(self.baseline, self.newer_sums, routes, strict=True):
            timed = old.timed + new.timed
            ratios.append(
                math.exp((old.log_latency + new.log_latency) / timed) / route.objective
                if timed >= minimum
                else 0.0
            )
        return tuple(ratios)

    def prune(self, now: int, loads_since: int, answers_since: int, settings: Settings) -> None:
        """Drops what no longer counts, so that state stays bounded however long the relay runs."""
        self.drop_peer_loads(loads_since)
        self.recent_answers.count_since(answers_since)
        self.warm_throughput.advance(
            now,
            max(settings.warm_up_time, now - answers_since),
            [unit.size for unit in self.ready_units if now - unit.started_at >= settings.warm_up_time],
        )
        window_start = now - settings.cap_window - settings.tick
        for window in self.recent_reqs:
            window.count_since(window_start)
        self.trial_tries = {
            scope: window for scope, window in self.trial_tries.items() if window.count_since(window_start)
        }
        for unit in [unit for unit in self.units.values() if unit.health == GONE and not unit.open_tries]:
            unit.gone_since = now if unit.gone_since is None else unit.gone_since
            # Complaints come late, and a leaving may be taken back.
            if now - unit.gone_since > 2 * settings.warm_up_time:
                del self.units[unit.id]
                for _, loads in self.peer_loads.values():
                    loads.pop(unit.id, None)
        if len(self.sticky_builds) > MAX_STICKY_KEYS:
            self.sticky_builds = dict(islice(self.sticky_builds.items(), MAX_STICKY_KEYS // 2, None))

    def drop_peer_loads(self, before: int) -> None:
        """Drops the loads that were received before then."""
        for relay in [relay for relay, (at, _) in self.peer_loads.items() if at <= before]:
            self.record_peer_loads(relay, before, {})

    def record_peer_loads(self, relay: int, now: int, loads: dict[int, list[int]]) -> dict[int, list[int]]:
        """Replaces a peer's loads in the units' sums; returns those that the peer reported before."""
        replaced = self.peer_loads.pop(relay, (0, {}))[1]
        loads = {unit_id: counts for unit_id, counts in loads.items() if unit_id in self.units}
        for sign, counted in ((-1, replaced), (1, loads)):
            for unit_id, counts in counted.items():
                unit = self.units[unit_id]
                unit.peer_counts = [
                    total + sign * count for total, count in zip(unit.peer_counts, counts[:3], strict=True)
                ]
        if loads:
            self.peer_loads[relay] = (now, loads)
        return replaced
