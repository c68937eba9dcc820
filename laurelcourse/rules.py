"""The decisions of one relay.

A relay makes one `Balancer(settings, seed, now)`, calls `start`, then one method for each event, and carries
out the results that each call returns. Calls and results are described in `laurelcourse/interface.py`, the
design and its exceptions in `docs/design.md`. Beside the design there are these mechanisms:

1. Guard: every send, shed and error passes one place that keeps the five rules.
2. Load-aware choice: latencies, and open tries exchanged between relays, steer the choice between two units.
3. Ejection: a failing, silent or unreachable unit gets no reqs until its time is up or a peer has good
   answers.
4. Zone affinity: a unit of the own zone is taken unless it would make the req late.
5. Load shedding: open tries are limited to what is answered in time; what is given up is answered at once.
6. Machine faults: failures of one machine that its peers do not show are not held against the build.
"""

import math
from collections.abc import Iterable
from itertools import takewhile

from laurelcourse import interface as face
from laurelcourse import messages, posterior
from laurelcourse import settings as config
from laurelcourse.interface import Result
from laurelcourse.prng import hash_pair
from laurelcourse.state import (
    ENDED,
    TRYING,
    BuildTrial,
    ExposureCap,
    RelayState,
    ReleaseStatus,
    Req,
    Try,
    Unit,
    UnitGroup,
    Window,
)

# Kinds of bad builds, with their prior probabilities.
FAILING = "failing"
SLOW = "slow"
WRONG = "wrong"
KIND_PRIORS = {FAILING: 0.5, SLOW: 0.25, WRONG: 0.25}

# Posterior recursion and stopping rule; the symbols are those of the paper.
CHANGE_PROBABILITY = 0.0005  # p: that a sound build turns bad at an outcome
INITIAL_BAD_PROBABILITY = 0.3  # p0
ROLL_BACK_ODDS = 0.05  # Ai, the same for every kind
MAX_CALM_POSTERIOR = 0.2 + 1e-9  # of each kind, to vote on; a prior of 0.2 is below it however it is rounded
MAX_TRIAL_USE_POSTERIOR = 0.5  # of failing and wrong together, up to which reqs are sent to a build on trial

# Likelihoods of a sound and of a bad build.
MIN_FAILURE_RATE = 0.01
FALSE_COMPLAINT_RATE = 0.005
FAILING_EVERYWHERE_RATE = 0.15
FAILING_ROUTE_RATE = 0.5
WRONG_ANSWER_RATE = 0.1
SLOW_LOG_LATENCY_SHIFT = math.log(2.5)
MIN_LOG_LATENCY_SPREAD = 0.5
MAX_DEVIATION = 1.5  # of a mean log latency, in spreads

# Baseline and evidence.
MIN_BASELINE_OUTCOMES = 8
MAX_BASELINE_OUTCOMES = 128  # by route; more would only delay noticing what befalls all builds
BASELINE_HALF_LIFE_US = 4_000_000
MIN_TRIAL_OUTCOMES = 12
MACHINE_VARIANCE_NOISE = 0.05  # of log latency ratios between equal machines
MIN_MACHINE_VARIANCE = 0.12

# Timers and messages. A timer interval is a number of ticks, but at least a part of the shortest objective,
# so that answers can change something in it, and at most a part of a vote's life.
TICKS_PER_TIMER = 10
TIMERS_PER_OBJECTIVE = 20
TIMERS_PER_VOTE = 6
TIMERS_PER_REPORT = 5
IDLE_TIMER_FACTOR = 10
REPORT_LIFETIME = 4  # report intervals
PEER_LOAD_LIFETIME_US = 1_000_000

# Voting.
MAX_POOLED_VOTES = 2  # votes needed for a move, up to which only the hashed voters vote
SPARE_VOTERS = 2  # beyond the votes that a roll back needs, for voters that are dead or cut off
AGREEING_RELAYS = 2
MIN_RUN_TIME_US = 3_250_000  # of the newest machine on trial: the design's 3 s and room for its start time
MAX_WAIT_RUN_TIMES = 3  # run times after which missing or single machines no longer hold a vote back

# Machine faults.
MIN_FELLOW_OUTCOMES = 30
HEALTHY_FELLOW_SHARE = 0.3
MIN_EARLIER_BUILD_FAILURES = 2
SAME_AGE_SHARE = 2 / 9  # of the warm-up time
FAULTY_MACHINE_SHARE = 3  # one in so many machines may be at fault

# Choice of units.
MAX_DRAWS = 4
LATENCY_GAIN = 0.2
FAILURE_LATENCY_RATIO = 4.0  # what a failure counts as, in typical latencies
REMOTE_AFTER_SHARE = 0.5  # of the objective, expected in the own zone
REMOTE_COST_ADVANTAGE = 2.0
EXPECTED_LATE_SHARE = 0.2
REMOTE_SHARE_GAIN = 0.25
MAX_TRIAL_COST_RATIO = 4.0
ANSWER_RATE_WINDOWS = 4  # overload windows over which answers are counted
COLD_CAPACITY_SAFETY = 0.5

# Ejection and silence.
EJECTION_FAILURE_RATE = 0.3
FAILURE_RATE_AFTER_EJECTION = 0.2
FAILURE_RATE_GAIN = 0.25
MAX_EJECTION_WINDOWS = 8  # overload windows
MIN_READY_PER_EJECTED = 3  # ready units, ejected ones included
OUTCOME_DECAY = 0.97
RECOVERY_SUCCESS_STREAK = 3
SUCCESS_STREAK_WRAP = 250  # fits a byte of a datagram
SILENT_SUSPICION_SHARE = 0.5  # of the relays that should have had an answer
SUSPICION_LIFETIME = 4  # overload windows
RETRY_AFTER_SILENCE_SHARE = 0.4  # of the objective
SILENCE_TYPICAL_LATENCIES = 4

# Load shedding. Shares and ratios are of the latency objective.
TARGET_LATENCY_LOAD = 0.5
MAX_LATENCY_LOAD = 1.5
LATENCY_LOAD_GAIN = 0.08
LIMIT_DECREASE_EXPONENT = 0.1
LIMIT_INCREASE_FACTOR = 1.02
MAX_LIMIT_INCREASE_EXPONENT = 4.0
MIN_CONCURRENCY_LIMIT = 2.0
FREE_CONCURRENCY = 10.0  # open tries above twice their mean
WORTH_EXPONENT = 0.25
MIN_WORTH_SHARE = 0.5  # of the limit that routes of any worth may use; lets the usual open tries pass
LATE_ROUTE_RATIO = 1.0
LATE_ROUTE_PROBE_SHARE = 0.1
OVERLOAD_ROUTE_RATIO = 0.35
RETRY_TOKENS_PER_REQ = 0.2
MAX_RETRY_TOKENS = 10.0
RETRY_AFTER_SHARE = 0.5  # of the longest retry-after that is allowed
PATIENT_TIMEOUT_SHARE = 0.3  # of a route's timeout; earlier time-outs show the client's impatience

# Directory.
DIRECTORY_RETRIES_PER_POLL = 8


class Balancer(face.Decisions):
    """Decides for one front of a relay."""

    def __init__(self, settings: config.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.settings, self.state = settings, RelayState(seed, now, len(settings.routes))
        self.state.typical_latency = [route.objective / 4 for route in settings.routes]
        self.highest_worth = max(route.worth for route in settings.routes) or 1.0  # all may be worth nothing
        self.route_indexes = {route.name: index for index, route in enumerate(settings.routes)}
        self.cap_scopes = [index if settings.cap_per_route else 0 for index in range(len(settings.routes))]
        self.shortest_objective = min(route.objective for route in settings.routes)
        max_interval = settings.vote_ttl // TIMERS_PER_VOTE
        self.timer_interval = max(
            TICKS_PER_TIMER * settings.tick,
            min(self.shortest_objective // TIMERS_PER_OBJECTIVE, max_interval),
        )
        self.idle_timer_interval = max(
            self.timer_interval, min(IDLE_TIMER_FACTOR * self.timer_interval, max_interval)
        )
        self.only_voters_vote = (
            settings.release_control == config.ANY
            and settings.votes_to_advance <= MAX_POOLED_VOTES >= settings.votes_to_roll_back
        )
        self.hypotheses = self._hypotheses()
        self.kinds = {hypothesis[0]: 0.0 for hypothesis in self.hypotheses}
        self.priors = [hypothesis[-1] for hypothesis in self.hypotheses]
        self.initial_log_weights = [
            math.log(1 - INITIAL_BAD_PROBABILITY),
            *(math.log(INITIAL_BAD_PROBABILITY * prior) for prior in self.priors),
        ]
        # In a small fleet the relays tell each other their open tries, each in turn.
        self.small_fleet = settings.relay_count * self.timer_interval < PEER_LOAD_LIFETIME_US
        self.zone_code = messages.zone_code(settings.zone)
        self.report_interval = max(
            TIMERS_PER_REPORT * self.timer_interval, settings.relay_count * settings.tick // 2
        )
        self.state.next_report_at = now + self.state.rng.below(self.report_interval)

    def start(self, now: int) -> list[Result]:
        """Requests the first timer and, where the directory has to be asked, its changes."""
        self.schedule_timer(now, self.timer_interval)
        self.pending_results += [(face.WATCH,)] if self.settings.must_poll else []
        return self.take_results()

    def new_req(
        self, now: int, req: str, route: str, tenant: str, key: int | None, left: int, repeated: bool
    ) -> list[Result]:
        """Sends a req to a unit, or sheds it."""
        state = self.state
        index = self.route_indexes[route]
        rq = state.reqs[req] = Req(req, self.settings.routes[index], index, key, now, now + left)
        state.recent_reqs[self.cap_scopes[index]].add(now)
        state.retry_tokens = min(state.retry_tokens + RETRY_TOKENS_PER_REQ, MAX_RETRY_TOKENS)
        worth_share = max((rq.route.worth / self.highest_worth) ** WORTH_EXPONENT, MIN_WORTH_SHARE)
        fits = state.open_tries < state.concurrency_limit * worth_share
        self.schedule_timer(now, self.timer_interval)
        self._try_or_give_up(now, rq, fits and not self._expected_late(now, index))
        return self.take_results()

    def outcome(
        self,
        now: int,
        req: str,
        number: int,
        unit: int,
        status: str,
        lag: int,
        last: bool,
        load: dict[str, float],
    ) -> list[Result]:
        """Learns from a try's outcome, and tries the req again where that may help."""
        attempt = (rq := self.state.reqs[req]).tries[number]
        attempt.finish(status)
        rq.had_unsent_try |= status == face.UNSENT
        self.state.open_tries -= 1
        self._learn(now, rq, attempt, status, lag)
        if last or rq.state == ENDED:
            self._set_req_state(rq, ENDED)
        elif status == face.CLIENT_FAULT and not self._is_on_trial(attempt.build) and not rq.has_open_try():
            self.pending_results.append((face.ERROR, rq.id))
            self._set_req_state(rq, ENDED)
        elif not rq.has_open_try():
            # Further tries are a bounded share of the reqs, so that they cannot feed an overload. A try that
            # was never sent costs nothing.
            free = status == face.UNSENT
            may = free or (
                self.state.retry_tokens >= 1 and self.budgets.consume(now, face.RESENDS) is not False
            )
            self.state.retry_tokens -= may and not free
            self._try_or_give_up(now, rq, may)
        if rq.pending_failure and (
            rq.state == ENDED or (attempt is not rq.pending_failure and status != face.UNSENT)
        ):
            # A req that fails at both builds is evidence against itself, not against the build on trial.
            if rq.counts_against_build(rq.pending_failure):
                self._count(rq, rq.pending_failure, face.FAILED, 0)
            rq.pending_failure = None
        return self.take_results()

    def may_write(self, now: int, req: str, number: int) -> bool:
        """Checks the rules again at a try's first byte, and at its last one if that had to wait.

        Meanwhile the unit may have been drained or restarted, or the cap lowered. At a build on trial the try
        counts from now on: tries whose connections come up late must not exceed the cap together.
        """
        attempt = (rq := self.state.reqs[req]).tries[number]
        if window := self._is_on_trial(attempt.build) and self._trial_window(attempt.build, rq.route_index):
            window.discard(attempt.counted_at)
        unchanged = (attempt.unit.started_at, attempt.unit.build) == (attempt.unit_started_at, attempt.build)
        may = unchanged and self._may_still_send(now, rq, attempt.unit, attempt)
        if window and may:
            attempt.counted_at = now
            window.add(now)
        return may

    def streaming(self, now: int, req: str, number: int) -> list[Result]:
        """A part of an answer shows that its unit is not silent, and earns further tries like a req does."""
        if (rq := self.state.reqs.get(req)) and rq.tries[number].open:
            rq.tries[number].unit.waiting_since = now
            self.state.retry_tokens = min(self.state.retry_tokens + RETRY_TOKENS_PER_REQ, MAX_RETRY_TOKENS)
        return self.take_results()

    def withdrawn(self, now: int, req: str) -> list[Result]:
        """Ends a req whose client has left."""
        if req in self.state.reqs:
            self._set_req_state(self.state.reqs[req], ENDED)
        return self.take_results()

    def directory(self, now: int, how: str, entries: Iterable[face.Listed]) -> list[Result]:
        """Adopts the directory's list or changes, or schedules a retry of a broken watch."""
        state = self.state
        if how == face.WATCH_BROKEN:
            # Retries back off, since the directory may be overloaded. But a drain that was missed meanwhile
            # counts soon, so the watch is renewed within the grace of a drain.
            max_backoff = max(
                min(
                    self.settings.max_poll_interval // DIRECTORY_RETRIES_PER_POLL,
                    self.settings.drain_grace // 2,
                ),
                self.settings.tick,
            )
            state.watch_backoff = min(max(2 * state.watch_backoff, self.timer_interval), max_backoff)
            state.next_watch_at = now + state.watch_backoff + state.rng.below(state.watch_backoff)
            self.schedule_timer(now, state.next_watch_at - now)
        else:
            state.next_watch_at, state.watch_backoff = (
                (state.next_watch_at, state.watch_backoff) if how == face.CACHED else (0, 0)
            )
            state.update_units(now, entries, how != face.CHANGES)
            self._open_trial(max((unit.build for unit in state.ready_units), default=0))
        return self.take_results()

    def timer(self, now: int, token: str) -> list[Result]:
        """Updates estimates and limits, casts votes and sends messages."""
        state = self.state
        if now < self.next_wake_at:
            return []
        intervals, state.last_timer_at = (now - state.last_timer_at) / self.timer_interval, now
        judging = (
            state.trial
            and state.release
            and state.release.standing == face.ON_TRIAL
            and self.settings.relay_index in state.trial.voters
        )
        self.schedule_timer(
            now,
            self.timer_interval
            if state.open_tries or self.small_fleet or judging
            else self.idle_timer_interval,
        )
        self.pending_results += [(face.WATCH,)] if 0 < state.next_watch_at <= now else []
        state.next_watch_at *= state.next_watch_at > now
        state.decay_sums(
            0.5 ** (intervals * self.timer_interval / BASELINE_HALF_LIFE_US),
            4 * MIN_BASELINE_OUTCOMES,
            MAX_BASELINE_OUTCOMES,
        )
        load = max(
            state.latency_load,
            fleet_load := self._fleet_overload(now),
            TARGET_LATENCY_LOAD / MAX_LIMIT_INCREASE_EXPONENT,
        )
        change = (
            (TARGET_LATENCY_LOAD / load) ** LIMIT_DECREASE_EXPONENT
            if load > TARGET_LATENCY_LOAD
            else LIMIT_INCREASE_FACTOR ** (TARGET_LATENCY_LOAD / load)
        )
        state.concurrency_limit = (
            min(state.concurrency_limit, max(state.open_tries, 2))
            if fleet_load > TARGET_LATENCY_LOAD
            else state.concurrency_limit
        )
        state.mean_open_tries += (state.open_tries - state.mean_open_tries) * min(
            intervals * self.timer_interval / PEER_LOAD_LIFETIME_US, 1.0
        )
        state.concurrency_limit = max(
            MIN_CONCURRENCY_LIMIT,
            min(state.concurrency_limit * change**intervals, 2 * state.mean_open_tries + FREE_CONCURRENCY),
        )
        state.prune(
            now,
            now - PEER_LOAD_LIFETIME_US,
            now - ANSWER_RATE_WINDOWS * self.settings.overload_window,
            self.settings,
        )
        self._retry_at_silent_units(now)
        self._consider_vote(now)
        self._send_messages(now)
        return self.take_results()

    def peer(self, now: int, relay: int, payload: bytes) -> list[Result]:
        """Learns from another relay's datagram; a malformed one is ignored."""
        state, trial, settings = self.state, self.state.trial, self.settings
        kind, content = (
            0 <= relay < settings.relay_count and messages.unpack(payload, len(settings.routes))
        ) or (None, None)
        if kind == messages.SUMS and trial and settings.relay_index in trial.voters:
            state.fleet_wait.record_open(now, relay, content.open_tries)
            self._add_peer_sums(relay, content)
        elif kind == messages.VOTER_REPORT and trial and len(content.posteriors) == len(self.kinds):
            trial.accept_report(now, relay, content)
        elif kind == messages.LOADS:
            replaced = state.record_peer_loads(relay, now, content)
            # An ejected unit is used again when another relay reports several good answers in a row from it.
            for unit in [state.units[unit_id] for unit_id in content if unit_id in replaced]:
                streak, last_streak = content[unit.id][3], replaced[unit.id][3]
                if streak >= RECOVERY_SUCCESS_STREAK and streak != last_streak:
                    unit.ejected_until = min(unit.ejected_until, now)
        elif kind == messages.SUSPICIONS and not self.small_fleet and content.zone_code == self.zone_code:
            for unit_id, failed in [entry for entry in content.units if entry[0] in state.units]:
                self._suspect(now, state.units[unit_id], relay, failed > 0)
        return self.take_results()

    def stage(
        self,
        now: int,
        build: int,
        stage: int,
        standing: int,
        answers_vote: bool,
        status: str,
        cap: float,
        since: int,
    ) -> list[Result]:
        """Adopts where the newest build stands, and how a vote's call ended."""
        state, vote = self.state, self.state.vote
        if answers_vote:
            counted = status == face.COUNTED
            max_backoff = self.settings.vote_ttl // 4
            vote.backoff = 0 if counted else min(max(2 * vote.backoff, self.timer_interval), max_backoff)
            vote.last_vote = vote.last_vote if counted else None
            vote.not_before = now + (self.settings.vote_timeout if status == face.VOID else vote.backoff)
        if status == face.COUNTED:
            state.groups_current, same = False, state.release is not None and state.release.build == build
            if not same or state.release.standing == face.RELEASED:
                state.cap = ExposureCap(1.0 if same else self.settings.stage_caps[0])
            self._apply_cap(now)
            state.cap.update(cap, now + self.settings.drain_grace)
            if state.trial and same and build == state.trial.build and stage > state.release.stage:
                # The last stage was passed in spite of one slow machine: the next starts without its
                # evidence.
                state.trial.log_weights = (
                    self.initial_log_weights[:]
                    if self._posteriors()[SLOW] >= MAX_CALM_POSTERIOR
                    else state.trial.log_weights
                )
                state.trial.timed = 0.0
            state.release = ReleaseStatus(build, stage, standing, cap, now - since)
            self._open_trial(build)
        return self.take_results()

    def complaint(self, now: int, unit: int, since: int, route: str) -> list[Result]:
        """Counts a complaint as evidence if the unit already ran the build on trial at that time."""
        trial, known_unit = self.state.trial, self.state.units.get(unit)
        if trial and known_unit and known_unit.build == trial.build and known_unit.started_at < now - since:
            trial.add_complaint(self.route_indexes[route])
            self._update_posterior(self.route_indexes[route], 0, 0, 0, 0.0, 1)
        return self.take_results()

    def _set_req_state(self, rq: Req, state: str) -> None:
        rq.state = state
        if state == ENDED and not rq.has_open_try():
            self.state.reqs.pop(rq.id, None)

    def _try_or_give_up(self, now: int, rq: Req, may: bool) -> None:
        if not may or not (unit := self._choose_unit(now, rq)):
            return self._give_up(now, rq)
        on_new_unit = now - unit.started_at < self.settings.warm_up_time // 2
        rq.tries.append(Try(len(rq.tries), unit, now, on_new_unit))
        self._set_req_state(rq, TRYING)
        if self._capacity_share(now, unit) < 1.0:
            self.budgets.consume(now, face.COLD_WORK, str(unit.id))
        unit.begin_try(now, now - self.settings.overload_window - self.settings.tick)
        self.state.open_tries += 1
        if self._is_on_trial(unit.build):
            self._trial_window(unit.build, rq.route_index).add(now)
        self.pending_results.append((face.SEND, rq.id, unit.id, rq.deadline - now))

    def _quorum_report(self, now: int) -> messages.VoterReport | None:
        """What two voters' recent reports agree on."""
        since = now - REPORT_LIFETIME * self.report_interval
        return self.state.trial.quorum_report(since, AGREEING_RELAYS)

    def _fleet_overload(self, now: int) -> float:
        """Returns how long tries wait at all relays over the shortest objective; 0 without an overload.

        An overload makes the answers of every route late; a few silent units also hold tries open. This
        relay's own answers would show it too late.
        """
        report = self.state.trial and not self.small_fleet and self._quorum_report(now)
        overloaded = report and min(report.latency_ratios) > OVERLOAD_ROUTE_RATIO
        return min(report.wait_ratio, MAX_LATENCY_LOAD) if overloaded else 0.0

    def _expected_late(self, now: int, route_index: int) -> bool:
        """Returns whether a req should be shed since its route is late at all units.

        Otherwise such reqs hold places that others need. A few are tried to notice an improvement.
        """
        report = self.state.trial and self._quorum_report(now)
        return (
            bool(report)
            and report.latency_ratios[route_index] == max(report.latency_ratios) > LATE_ROUTE_RATIO
            and self.state.rng.fraction() > LATE_ROUTE_PROBE_SHARE
        )

    def _give_up(self, now: int, rq: Req) -> None:
        """Sheds a req if a retry by the client does no harm; else ends it with an error."""
        deduped_everywhere = (
            rq.route.repeat_policy == config.DEDUPED and rq.route.dedup_group == config.GROUP_ALL
        )
        harmless = (
            rq.route.repeat_policy == config.RETRIABLE
            or deduped_everywhere
            or not rq.tries_that_may_have_run()
        )
        retry_after = (
            int(self.settings.max_retry_after * RETRY_AFTER_SHARE)
            if self.settings.may_send_retry_after
            else 0
        )
        self.pending_results.append((face.SHED, rq.id, retry_after) if harmless else (face.ERROR, rq.id))
        self._set_req_state(rq, ENDED)

    def _may_send(self, now: int, rq: Req, unit: Unit) -> bool:
        # One try that was never sent does not count; were more not counted, a req would go on asking for a
        # budget that is used up.
        within_limits = (
            now < rq.deadline - self.settings.tick
            and len(rq.tries) < self.settings.max_tries + rq.had_unsent_try
        )
        return (
            within_limits and self._may_still_send(now, rq, unit, None) and self._cold_unit_allows(now, unit)
        )

    def _may_still_send(self, now: int, rq: Req, unit: Unit, attempt: Try | None) -> bool:
        """Checks the rules that have to hold from the decision on a try to its last byte."""
        settings, route, ran = self.settings, rq.route, rq.tries_that_may_have_run(attempt)
        if rq.state == ENDED or (
            ran
            and (
                route.repeat_policy == config.NON_RETRIABLE
                or (rq.has_open_try(attempt) and not settings.may_duplicate)
            )
        ):
            return False
        if (
            ran
            and route.repeat_policy == config.DEDUPED
            and (
                now > ran[0].sent_at + route.dedup_window - settings.tick
                or any(earlier.unit.in_other_dedup_group(unit, route.dedup_group) for earlier in ran)
            )
        ):
            return False
        return unit.health == face.READY and self._cap_allows(now, rq, unit)

    def _capacity_share(self, now: int, unit: Unit) -> float:
        """Returns the share of a warm unit's capacity that a unit has now; negative before it can serve."""
        cold_part = 1 - max(now - unit.started_at, 0) / self.settings.warm_up_time
        return min(1.0, 1 - (1 - self.settings.start_capacity) * cold_part)

    def _cold_unit_allows(self, now: int, unit: Unit) -> bool:
        """Keeps rule 4: this relay's share of a cold unit's capacity, safe if all relays use theirs."""
        ramp = self._capacity_share(now, unit)
        if ramp <= 0.0 or ramp >= 1.0:  # nothing yet, whatever the fleet's budget allows, or everything
            return ramp >= 1.0
        if (allowed := self.budgets.allows(now, face.COLD_WORK, str(unit.id))) is not None:
            return allowed
        # What a warm unit can do is estimated from answers, not from reqs. While all units are cold the
        # budget itself holds answers down, so earlier answers count. The relays' parts add up to the budget,
        # however many relays there are: where a part is less than one try, a number hashed from unit, start
        # and relay decides who sends when. While all are cold, a part that fell due before the start was
        # learned, or more than a window ago, lapses: otherwise the relays would send all of it at once.
        state, settings = self.state, self.settings
        answer_period = ANSWER_RATE_WINDOWS * settings.overload_window
        answers = state.recent_answers.count_since(now - answer_period) / ANSWER_RATE_WINDOWS
        sharing_units = state.equivalent_units(unit)
        if all_cold := state.earliest_start > now - settings.warm_up_time:
            answers = state.warm_throughput.answers * settings.overload_window
            sharing_units = state.warm_throughput.time_of_one_unit(unit.size, answer_period)
        part = COLD_CAPACITY_SAFETY * settings.overload_factor * answers / sharing_units
        offset = hash_pair(unit.id + unit.started_at, settings.relay_index) / (1 << 32)
        earned, lapsed = (
            part
            * max(at - unit.started_at, 0)
            / settings.overload_window
            * (settings.start_capacity + self._capacity_share(at, unit))
            / 2
            + offset
            for at in (now, max(unit.start_learned_at, now - settings.overload_window))
        )
        unit.sends_since_start = max(unit.sends_since_start, int(lapsed) * all_cold)
        recent = unit.recent_sends.count_since(now - settings.overload_window - settings.tick)
        return recent + 1 <= max(1.0, part * ramp) and unit.sends_since_start + 1 <= earned

    def _is_on_trial(self, build: int) -> bool:
        release = self.state.release
        if release is None:
            return build > min((unit.build for unit in self.state.ready_units), default=build)
        return build > release.build or (build == release.build and release.standing != face.RELEASED)

    def _trial_window(self, build: int, route_index: int) -> Window:
        """Returns the window of tries at a build on trial that count against the cap with a route's."""
        return self.state.trial_tries.setdefault((build, self.cap_scopes[route_index]), Window())

    def _apply_cap(self, now: int) -> float:
        """Returns the cap that binds now. Where a lower one begins to bind, tries are counted anew."""
        for index in self.cap_scopes if self.state.cap.apply_due(now) else ():
            self._trial_window(self.state.release.build, index).clear()
        return self.state.cap.current

    def _cap_allows(self, now: int, rq: Req, unit: Unit) -> bool:
        """Keeps rule 5: the windowed count of tries at a build on trial stays within the reported cap."""
        state, settings, release = self.state, self.settings, self.state.release
        # A key that was served by a build that was since withdrawn may go anywhere.
        sticky_build = state.sticky_builds.get(rq.key, 0)
        sticky_build *= release is None or (
            sticky_build >= release.build and release.standing in (face.ON_TRIAL, face.RELEASED)
        )
        if sticky_build > unit.build or not self._is_on_trial(unit.build):
            return sticky_build <= unit.build
        reported = release is not None and release.build == unit.build
        cap, stage = (self._apply_cap(now), release.stage) if reported else (settings.stage_caps[0], 0)
        if (
            cap == 0
            or (reported and release.standing != face.ON_TRIAL and release.cap == 0)
            or (stage < settings.protected_stages and rq.route.repeat_policy != config.RETRIABLE)
        ):
            return False
        window = self._trial_window(unit.build, rq.route_index)
        tries = window.count_since(now - settings.cap_window - settings.tick)
        reqs = state.recent_reqs[self.cap_scopes[rq.route_index]].count_since(
            now - settings.cap_window + settings.tick
        )
        return tries + 1 <= settings.cap_free_tries + cap * reqs

    def _choose_unit(self, now: int, rq: Req) -> Unit | None:
        state = self.state
        if not state.groups_current:
            state.regroup(self._is_on_trial, self.settings.zone if self.settings.cross_zone_price else None)
        groups, trial_size = [state.established_units, state.trial_units], state.trial_units.size
        # A failed req is tried at the earlier build: the few machines on trial cannot serve all retries.
        if 0 < trial_size < len(state.ready_units) and not rq.tries:
            posteriors, on_trial = (
                self._posteriors(),
                state.release is not None and state.release.standing == face.ON_TRIAL,
            )
            if not on_trial or posteriors[FAILING] + posteriors.get(WRONG, 0.0) >= MAX_TRIAL_USE_POSTERIOR:
                groups = [state.all_units] if rq.route.repeat_policy == config.RETRIABLE else groups
            # Sticky keys are drawn by key: drawn by req, all keys would in time be bound to the build on
            # trial, and be refused beyond its cap.
            elif (
                index := hash_pair(rq.key + state.trial.build, self.settings.relay_index)
                * len(state.ready_units)
                >> 32
                if self.settings.sticky_keys and rq.key is not None
                else state.rng.below(len(state.ready_units))
            ) < trial_size and self._is_usable(now, rq, state.trial_units.unit_at(index)):
                # Machines on trial get their proportional part: more would queue there and look like
                # slowness, less would leave the build unjudged. What a cold one cannot take goes to the
                # earlier build.
                trial_unit = self._choose_in_group(now, rq, state.trial_units, False)
                other_unit = self._choose_in_group(now, rq, state.established_units, False)
                if trial_unit and (
                    not other_unit
                    or self._cost(now, trial_unit) <= MAX_TRIAL_COST_RATIO * self._cost(now, other_unit)
                ):
                    return trial_unit
        choices = (
            self._choose_in_group(now, rq, group, check_all)
            for check_all in (False, True)
            for group in groups
        )
        return next(filter(None, choices), None)

    def _choose_in_group(self, now: int, rq: Req, group: UnitGroup, check_all: bool) -> Unit | None:
        """Prefers the own zone. A full zone sends a part of its reqs elsewhere, while they are answered in
        time.
        """
        cross = group.remote and 0 < self.state.remote_share > self.state.rng.fraction()
        local = None if cross else self._choose_of_two(now, rq, group.local, check_all)
        if (
            local
            and self._cost(now, local) * self.state.typical_latency[rq.route_index]
            <= REMOTE_AFTER_SHARE * rq.route.objective
        ):
            return local
        remote = self._choose_of_two(now, rq, group.remote, check_all)
        if cross:
            return remote or self._choose_of_two(now, rq, group.local, check_all)
        stay = local and remote and self._cost(now, remote) * REMOTE_COST_ADVANTAGE >= self._cost(now, local)
        return local if stay else remote or local

    def _choose_of_two(self, now: int, rq: Req, units: list[Unit], check_all: bool) -> Unit | None:
        """Returns the cheaper of two randomly drawn usable units.

        `check_all`: looks at all units, and accepts ejected ones or ones tried before if there are no others.
        """
        if check_all:
            allowed = [unit for unit in units if self._may_send(now, rq, unit)]
            untried = [unit for unit in allowed if not rq.was_tried_at(unit)]
            units = [unit for unit in untried if not self._is_avoided(now, rq, unit)] or untried or allowed
        pair = [self._draw(now, rq, units, check_all) for _ in (1, 2)]
        return min((unit for unit in pair if unit), key=lambda unit: self._cost(now, unit), default=None)

    def _draw(self, now: int, rq: Req, units: list[Unit], accept_any: bool) -> Unit | None:
        drawn = (units[self.state.rng.below(len(units))] for _ in range(MAX_DRAWS if units else 0))
        return next((unit for unit in drawn if accept_any or self._is_usable(now, rq, unit)), None)

    def _is_usable(self, now: int, rq: Req, unit: Unit) -> bool:
        return (
            self._may_send(now, rq, unit)
            and not self._is_avoided(now, rq, unit)
            and not rq.was_tried_at(unit)
        )

    def _cost(self, now: int, unit: Unit) -> float:
        """Estimates a unit's latency from its open tries, its latency ratio and how warm it is."""
        load = unit.open_tries + unit.peer_counts[0] + 1
        return math.sqrt(unit.latency_ratio) * load / self._capacity_share(now, unit)

    def _retry_at_silent_units(self, now: int) -> None:
        """Cancels tries at silent units while their reqs can still be answered in time elsewhere.

        A long req alone does not make its unit silent.
        """
        for rq, attempt in [(rq, rq.tries[-1]) for rq in self.state.reqs.values() if rq.tries]:
            if (
                attempt.open
                and self.state.latency_load < TARGET_LATENCY_LOAD
                and self._is_silent(now, rq, attempt.unit)
            ):
                self._suspect(now, attempt.unit, self.settings.relay_index, False)
            may_retry = (
                attempt.open
                and attempt.number + 1 < self.settings.max_tries
                and rq.route.repeat_policy != config.NON_RETRIABLE
            )
            if (
                may_retry
                and now - attempt.sent_at > RETRY_AFTER_SILENCE_SHARE * rq.route.objective
                and self._is_avoided(now, rq, attempt.unit)
            ):
                self._eject(now, attempt.unit)
                self.pending_results += (
                    [(face.CANCEL, rq.id, attempt.number)] if self.settings.may_cancel else []
                )

    def _is_avoided(self, now: int, rq: Req, unit: Unit) -> bool:
        """Returns whether a unit is ejected or silent.

        In a large fleet a single open try does not show silence: the relay has no other answers to tell a
        silent unit from a slow one.
        """
        return unit.ejected_until > now or (
            (self.small_fleet or unit.open_tries > 1) and self._is_silent(now, rq, unit)
        )

    def _is_silent(self, now: int, rq: Req, unit: Unit) -> bool:
        """Returns whether a unit has owed an answer for long, which shows earlier than a time-out.

        For a build on trial the limit is twice as long, as its units may merely be slow.
        """
        max_wait = max(
            rq.route.objective / 2,
            SILENCE_TYPICAL_LATENCIES * self.state.typical_latency[rq.route_index],
        ) * (1 + self._is_on_trial(unit.build))
        return unit.waiting_since is not None and now - unit.waiting_since > max_wait

    def _suspect(self, now: int, unit: Unit, relay: int, failed: bool) -> None:
        """Records a relay's suspicion of a unit, sends on an own one, and ejects the unit if enough agree.

        One relay's suspicion proves nothing. Failures at two relays of a zone eject a unit; so does silence
        towards half of the relays that it should have answered, as fewer may mean a slow one. This serves
        relays that meet a unit too seldom to know it. Only the own zone's suspicions count, since a zone that
        is cut off suspects all others.
        """
        state, settings, own = self.state, self.settings, relay == self.settings.relay_index
        if self.small_fleet or (
            own and now - unit.suspicions.get(relay, (0, failed))[0] < settings.overload_window
        ):
            return
        unit.record_suspicion(relay, now, failed, now - SUSPICION_LIFETIME * settings.overload_window)
        state.unsent_suspicions += [(unit.id, failed)] if own and settings.may_message_peers else []
        if unit.ejected_until > now or self._is_on_trial(unit.build):
            return  # saves the work below in an overload, when hundreds of relays suspect every unit
        answers = (
            state.recent_answers.count_since(now - ANSWER_RATE_WINDOWS * settings.overload_window)
            / ANSWER_RATE_WINDOWS
        )
        recent = [
            failed
            for at, failed in takewhile(
                lambda entry: now - entry[0] < settings.overload_window, reversed(unit.suspicions.values())
            )
        ]
        silent = len(recent) >= max(
            AGREEING_RELAYS,
            SILENT_SUSPICION_SHARE * answers * settings.relay_count / max(len(state.ready_units), 1),
        )
        if silent or sum(recent) >= AGREEING_RELAYS:
            self._eject(now, unit)

    def _learn(self, now: int, rq: Req, attempt: Try, status: str, lag: int) -> None:
        state, settings, unit, good, trial = (
            self.state,
            self.settings,
            attempt.unit,
            status == face.OK,
            self._is_on_trial(attempt.build),
        )
        no_answer = (face.TIMEOUT, face.UNREACHABLE, face.CANCELLED, face.UNSENT)
        if status not in no_answer or not unit.open_tries:
            unit.waiting_since = now if unit.open_tries else None
        if (
            good
            and settings.sticky_keys
            and rq.key is not None
            and (trial or attempt.build > state.oldest_build)
        ):
            state.sticky_builds[rq.key] = max(attempt.build, state.sticky_builds.get(rq.key, 0))
        if attempt.build != unit.build or status == face.UNSENT:
            return
        if status == face.CLIENT_FAULT:
            # This is evidence on the client alone, unless the earlier build serves what one on trial rejects.
            rq.pending_failure = attempt if trial else rq.pending_failure
            return
        if self.settings.cross_zone_price and status in (face.OK, face.TIMEOUT, face.CANCELLED):
            late = lag > REMOTE_AFTER_SHARE * rq.route.objective
            change = late - EXPECTED_LATE_SHARE if unit.zone == self.settings.zone else -2 * late
            state.remote_share = min(max(state.remote_share + REMOTE_SHARE_GAIN * change, 0.0), 1.0)
        # A time-out shorter than a usual answer shows the client's impatience, unless all clients are so.
        patient_after = min(rq.route.objective / 2, PATIENT_TIMEOUT_SHARE * rq.route.timeout)
        if status == face.CANCELLED or (status == face.TIMEOUT and lag < patient_after):
            return None if status == face.TIMEOUT else self._count(rq, attempt, status, lag)
        unit.failure_rate += FAILURE_RATE_GAIN * ((not good) - unit.failure_rate)
        unit.success_streak = (unit.success_streak % SUCCESS_STREAK_WRAP + 1) * good
        unit.recent_outcomes, unit.recent_failures = (
            unit.recent_outcomes * OUTCOME_DECAY + 1,
            unit.recent_failures * OUTCOME_DECAY + (not good),
        )
        if status == face.FAILED and trial:
            rq.pending_failure = attempt
        else:
            self._count(rq, attempt, status, lag)
        if good or status == face.TIMEOUT:
            ratio = min(lag / rq.route.objective, MAX_LATENCY_LOAD)
            state.latency_load += LATENCY_LOAD_GAIN * (ratio - state.latency_load)
        blamed = not good and not trial
        unit.latency_ratio += LATENCY_GAIN * (
            max(lag / state.typical_latency[rq.route_index], FAILURE_LATENCY_RATIO * blamed)
            - unit.latency_ratio
        )
        if good:
            state.typical_latency[rq.route_index] += (
                LATENCY_GAIN / 4 * (lag - state.typical_latency[rq.route_index])
            )
            unit.ejection_time = unit.ejection_time * 3 // 4
            state.record_answer(now, unit, settings.warm_up_time)
        elif status in (face.UNREACHABLE, face.TIMEOUT) or (
            unit.failure_rate > EJECTION_FAILURE_RATE and blamed
        ):
            # Failures of a build on trial are evidence for the posterior: ejecting its units would end it.
            self._eject(now, unit)
        if status in (face.FAILED, face.UNREACHABLE, face.TIMEOUT):
            self._suspect(now, unit, self.settings.relay_index, status == face.FAILED)

    def _eject(self, now: int, unit: Unit) -> None:
        """Ejects a unit, longer each time, but never more than a third of the ready units."""
        if unit.ejected_until > now:
            return
        ejected = sum([other.ejected_until > now for other in self.state.ready_units])
        if MIN_READY_PER_EJECTED * (1 + ejected) > len(self.state.ready_units):
            return
        unit.ejection_time = min(
            max(2 * unit.ejection_time, self.settings.overload_window),
            MAX_EJECTION_WINDOWS * self.settings.overload_window,
        )
        unit.ejected_until, unit.failure_rate = now + unit.ejection_time, FAILURE_RATE_AFTER_EJECTION

    def _hypotheses(self) -> list[tuple[str, int | None, float, float]]:
        """Returns each hypothesis: kind, route index (None: all routes), strength and prior."""
        members = [(FAILING, None, FAILING_EVERYWHERE_RATE), (SLOW, None, SLOW_LOG_LATENCY_SHIFT)]
        members += [(FAILING, index, FAILING_ROUTE_RATE) for index in range(len(self.settings.routes))]
        members += (
            [(WRONG, None, WRONG_ANSWER_RATE * self.settings.complaint_share)]
            if self.settings.complaint_share
            else []
        )
        kinds = [kind for kind, *_ in members]
        total = sum(KIND_PRIORS[kind] for kind in KIND_PRIORS if kind in kinds)
        return [(*member, KIND_PRIORS[member[0]] / total / kinds.count(member[0])) for member in members]

    def _open_trial(self, build: int) -> None:
        """Starts collecting evidence on a build that is newer than the last."""
        state = self.state
        if state.trial is None or build > state.trial.build:
            state.start_new_sums(state.release is not None and state.release.standing == face.RELEASED)
            # Few relays vote, however many there are, with spares for those that are dead or cut off.
            ranked = sorted(range(self.settings.relay_count), key=lambda relay: hash_pair(build, relay))
            voters = ranked[: min(self.settings.votes_to_roll_back, MAX_POOLED_VOTES) + SPARE_VOTERS]
            state.trial = BuildTrial(
                build,
                sum(unit.build < build for unit in state.ready_units),
                len(state.newer_sums),
                self.initial_log_weights[:],
                voters,
            )

    def _count(self, rq: Req, attempt: Try, status: str, lag: int) -> None:
        """Counts an outcome as evidence, unless its connection failed or broke.

        A time-out counts as a latency.
        """
        state, trial = self.state, self.state.trial
        uncounted = status in (face.UNREACHABLE, face.RESET, face.BUSY) or attempt.on_new_unit
        if uncounted or trial is None or attempt.build > trial.build:
            return
        failed, timed, log_latency = int(status == face.FAILED), 0, 0.0
        if not failed and self._capacity_share(attempt.sent_at, attempt.unit) >= 1.0:
            timed, log_latency = 1, math.log(max(lag, 1))
        trial.changed_routes.add(rq.route_index)
        if attempt.build < trial.build:
            for sums in (trial.earlier_sums[rq.route_index], state.baseline[rq.route_index]):
                sums.add(1, failed, timed, log_latency, log_latency * log_latency)
        elif not (failed and self._is_machine_fault(attempt.sent_at + lag, attempt.unit)):
            for sums in (trial.own_sums[rq.route_index], state.newer_sums[rq.route_index]):
                sums.add(1, failed, timed, log_latency, log_latency * log_latency)
            self._update_posterior(rq.route_index, 1, failed, timed, log_latency)

    def _is_machine_fault(self, now: int, unit: Unit) -> bool:
        """Returns whether a failure at a unit is to be blamed on its machine, not on its build.

        It is if enough machines of that build and age are healthy. While none is known well enough, it is if
        a machine of an earlier build fails too, or did before it drained: after a release nothing else tells
        a faulty machine from a faulty build.
        """
        machines = self._units_of_build(unit.build)
        since = now - SUSPICION_LIFETIME * self.settings.overload_window
        # Only those of the own zone, whose suspicions count here.
        local = [machine for machine in machines if machine.zone == self.settings.zone]
        suspected = sum(machine.had_failure_since(since) for machine in local)
        if (
            unit in local
            and unit.had_failure_since(since, self.settings.relay_index)
            and FAULTY_MACHINE_SHARE * suspected <= len(local)
        ):
            return True  # failures of one machine are correlated: the first one at all relays counts
        # Only a machine's warming up changes with its age.
        as_old_since = unit.started_at + SAME_AGE_SHARE * self.settings.warm_up_time
        fellows = [
            machine.recent_counts()
            for machine in machines
            if machine is not unit
            and machine.started_at <= as_old_since
            and machine.recent_counts()[0] >= MIN_FELLOW_OUTCOMES
        ]
        healthy = [
            failures <= max(unit.failure_rate > EJECTION_FAILURE_RATE, 2 * MIN_FAILURE_RATE * outcomes)
            for outcomes, failures in fellows
        ]
        if healthy:
            return sum(healthy) >= HEALTHY_FELLOW_SHARE * len(healthy)
        return any(
            machine.recent_counts()[1] >= MIN_EARLIER_BUILD_FAILURES
            for machine in self.state.units.values()
            if machine.build < unit.build
        )

    def _units_of_build(self, build: int) -> list[Unit]:
        return [unit for unit in self.state.ready_units if unit.build == build]

    def _log_likelihood_ratios(
        self, route_index: int, count: int, failed: int, timed: int, log_latency: float, complaints: int
    ) -> list[float]:
        """Returns, for each hypothesis, log fi - log f0 of one outcome of a batch at its mean, or of
        complaints.

        `log_latency` is summed over the timed outcomes.
        """
        baseline = self.state.baseline[route_index]
        sound_rate = max(MIN_FAILURE_RATE, (baseline.failed + MIN_FAILURE_RATE) / (baseline.count + 1))
        mean, spread = (
            baseline.latency_mean_and_spread(MIN_LOG_LATENCY_SPREAD)
            if baseline.timed >= MIN_BASELINE_OUTCOMES
            else (0.0, 0.0)
        )
        # The paper's outcomes are independent, those of one machine are not: they count as no more than a
        # few. The more the earlier build's machines differ, the fewer. Where a relay meets each machine too
        # seldom to know that, the spread of all latencies stands for it.
        log_ratios = [
            math.log(max(unit.latency_ratio, 0.1))
            for unit in self.state.ready_units
            if unit.build < self.state.trial.build
        ]
        machine_variance = max(
            posterior.variance(log_ratios) - MACHINE_VARIANCE_NOISE,
            MIN_MACHINE_VARIANCE,
            0.0 if self.small_fleet else spread**2 - MIN_LOG_LATENCY_SPREAD**2,
        )
        max_independent = spread * spread / machine_variance * max(self.state.trial.warm_units, 1)
        discount = (
            (max_independent / (max_independent + self.state.trial.timed)) ** 2 if max_independent else 0.0
        )
        log_likelihood_ratios, failed_share = [], failed / max(count, 1)
        for kind, only_route, strength, _ in self.hypotheses:
            log_ratio = 0.0
            if kind == FAILING and count and only_route in (None, route_index):
                bad_rate = sound_rate + (1 - sound_rate) * strength
                log_ratio = failed_share * math.log(bad_rate / sound_rate) + (1 - failed_share) * math.log(
                    (1 - bad_rate) / (1 - sound_rate)
                )
            elif kind == SLOW and timed and spread:
                deviation = min(max((log_latency / timed - mean) / spread, -MAX_DEVIATION), MAX_DEVIATION)
                log_ratio = discount * timed / count * strength / spread * (deviation - strength / spread / 2)
            elif kind == WRONG:
                sound_wrong, bad_wrong = FALSE_COMPLAINT_RATE, strength + FALSE_COMPLAINT_RATE
                log_ratio = complaints * math.log(bad_wrong / sound_wrong) + (count > 0) * math.log(
                    (1 - bad_wrong) / (1 - sound_wrong)
                )
            log_likelihood_ratios.append(log_ratio)
        return log_likelihood_ratios

    def _update_posterior(
        self,
        route_index: int,
        count: int,
        failed: int,
        timed: int,
        log_latency: float,
        complaints: int = 0,
    ) -> None:
        """Applies the recursion: a batch counts as `count` outcomes at its mean, complaints as one."""
        ratios = self._log_likelihood_ratios(route_index, count, failed, timed, log_latency, complaints)
        trial = self.state.trial
        for _ in range(count or min(complaints, 1)):
            posterior.update_log_weights(trial.log_weights, ratios, self.priors, CHANGE_PROBABILITY)
        trial.outcome_count, trial.timed = trial.outcome_count + count, trial.timed + timed

    def _posteriors(self) -> dict[str, float]:
        """Returns the posterior of each kind, the sum of its hypotheses'."""
        weights = [
            (hypothesis[0], math.exp(log_weight))
            for hypothesis, log_weight in zip(self.hypotheses, self.state.trial.log_weights[1:], strict=True)
        ]
        return {kind: sum(weight for member, weight in weights if member == kind) for kind in self.kinds}

    def _consider_vote(self, now: int) -> None:
        state, settings, vote, release = self.state, self.settings, self.state.vote, self.state.release
        if (
            release is None
            or state.trial is None
            or state.trial.build != release.build
            or (self.only_voters_vote and settings.relay_index not in state.trial.voters)
        ):
            return
        verdict = self._verdict(now, release)
        stage = release.stage if verdict in (face.VOTE_ADVANCE, face.VOTE_HOLD) else 0
        wanted = (release.build, stage, verdict)
        stands = vote.last_vote == wanted and now < vote.cast_at + settings.vote_ttl * 2 // 3
        nothing_to_withdraw = verdict == face.NO_VOTE and (
            vote.last_vote is None or vote.last_vote[2] == face.NO_VOTE
        )
        if now < vote.not_before or stands or nothing_to_withdraw:
            return
        vote.last_vote, vote.cast_at = wanted, now
        vote.not_before = now + settings.vote_timeout + self.timer_interval
        self.pending_results.append((face.VOTE, release.build, release.stage, verdict))
        if settings.relay_index in state.trial.voters:
            text = f"vote {verdict} on build {release.build} stage {release.stage}"
            self.add_note(text, state.trial.outcome_count, self._posteriors())

    def _verdict(self, now: int, release: ReleaseStatus) -> int:
        starts = [unit.started_at for unit in self._units_of_build(release.build)]
        self.state.trial.warm_units = sum(
            now - started_at >= self.settings.warm_up_time for started_at in starts
        )
        (posteriors, outcome_count), single = self._pooled_posteriors(now), len(starts) < 2
        # Slowness of a single machine cannot be told from that of its build: it holds the vote back for a
        # while, until a second machine is due.
        if release.standing in (face.ON_TRIAL, face.RELEASED) and any(
            probability > 1 / (1 + ROLL_BACK_ODDS) and not (single and kind == SLOW)
            for kind, probability in posteriors.items()
        ):
            return face.VOTE_ROLL_BACK
        if release.standing != face.ON_TRIAL or self.settings.release_control == config.CLOCKED:
            hold = release.standing == face.ON_TRIAL and max(posteriors.values()) >= MAX_CALM_POSTERIOR
            return face.VOTE_HOLD if hold else face.NO_VOTE
        max_wait = MAX_WAIT_RUN_TIMES * MIN_RUN_TIME_US
        run_time = now - max(starts, default=now)
        waited = single and run_time >= max_wait
        calm = all(
            probability < MAX_CALM_POSTERIOR or (waited and kind == SLOW)
            for kind, probability in posteriors.items()
        )
        due = int(self.settings.stage_shares[release.stage] * self.state.trial.earlier_units + 0.5)
        machines_run = len(starts) >= due or now - release.stage_began_at >= max_wait
        # Without outcomes there is no evidence before reqs that count and are in time can have ended.
        enough = outcome_count >= MIN_TRIAL_OUTCOMES or run_time >= max(
            2 * MIN_RUN_TIME_US, self.settings.warm_up_time // 2 + self.shortest_objective
        )
        advance = calm and machines_run and enough and run_time >= MIN_RUN_TIME_US
        return face.VOTE_ADVANCE if advance else face.NO_VOTE

    def _send_messages(self, now: int) -> None:
        state, trial, settings = self.state, self.state.trial, self.settings
        state.timer_count += 1
        if settings.may_message_peers and state.unsent_suspicions:
            payload = messages.pack_suspicions(self.zone_code, state.unsent_suspicions)
            self.pending_results.append((face.TELL, "all", payload))
            state.unsent_suspicions = state.unsent_suspicions[messages.MAX_SUSPICIONS :]
        if settings.may_message_peers and self.small_fleet and state.timer_count % settings.relay_count == 0:
            # The busiest first, as a datagram may not hold them all.
            busiest = sorted(state.ready_units, key=lambda unit: -unit.open_tries)
            loads = [
                (
                    unit.id,
                    unit.open_tries,
                    unit.recent_outcomes,
                    unit.recent_failures,
                    unit.success_streak,
                )
                for unit in busiest
            ]
            self.pending_results.append((face.TELL, "all", messages.pack_loads(loads)))
        if trial is None or now < state.next_report_at or not settings.may_message_peers:
            return
        state.next_report_at = now + self.report_interval
        if trial.changed_routes:
            payloads = messages.pack_sums(
                state.epoch,
                state.timer_count,
                trial.build,
                trial.complaint_count,
                trial.take_changed_rows(),
                state.open_tries,
            )
            self.pending_results += [
                (face.TELL, voter, payload)
                for voter in trial.voters
                if voter != settings.relay_index
                for payload in payloads
            ]
        if settings.relay_index in trial.voters:
            ratios, posteriors = (
                state.latency_ratios(settings.routes, MIN_BASELINE_OUTCOMES),
                tuple(self._posteriors().values()),
            )
            wait_ratio = state.fleet_wait.estimate(now, PEER_LOAD_LIFETIME_US) / self.shortest_objective
            report = messages.VoterReport(
                state.epoch,
                state.timer_count,
                trial.build,
                trial.outcome_count,
                posteriors,
                ratios,
                wait_ratio,
            )
            self.pending_results.append((face.TELL, "all", messages.pack_report(report)))
            trial.accept_report(now, settings.relay_index, report)

    def _pooled_posteriors(self, now: int) -> tuple[dict[str, float], int]:
        """Returns the posteriors and the number of outcomes that they rest on.

        A relay that is no voter and has too few outcomes of its own uses those that two voters agree on.
        """
        trial, posteriors = self.state.trial, self._posteriors()
        report = self._quorum_report(now)
        if (
            self.settings.relay_index in trial.voters
            or trial.outcome_count >= MIN_TRIAL_OUTCOMES
            or report is None
        ):
            return posteriors, trial.outcome_count
        return dict(zip(posteriors, report.posteriors, strict=True)), report.outcome_count

    def _add_peer_sums(self, relay: int, sums: messages.RelaySums) -> None:
        state, trial = self.state, self.state.trial
        complaints, rows = trial.take_new_evidence(relay, sums)
        self._update_posterior(0, 0, 0, 0, 0.0, complaints)
        for index, (count, failed, timed, log_latency, *earlier) in rows:
            state.baseline[index].add(*earlier)
            state.fleet_wait.ended_tries += count + earlier[0]
            if count > 0:
                state.newer_sums[index].add(
                    count, failed, timed, log_latency, log_latency * log_latency / max(timed, 1)
                )
                self._update_posterior(index, count, failed, timed, log_latency)
