"""The decisions of one relay.

Make one `Balancer(settings, seed, now)` for each relay, call `start`, then a call for each thing that
happens; carry out what each returns. Calls and results stand in `laurelcourse/interface.py`, the settings in
`laurelcourse/settings.py`, the design and its exceptions in `docs/design.md`.

Beside the design stand these mechanisms:
1. guard: every send, shed and error passes one place that keeps the five rules.
2. pace: latencies, and the open tries that relays tell each other, steer the two choices.
3. set-aside: a failing, silent or unreachable unit rests until its time is up or a peer has good answers.
4. home first: a unit of the own zone is taken unless it would make the req late.
5. shedding: open tries are held to what is answered in time; what is given up is answered at once.
6. machine's fault: what one machine does against its fellows is not held against the build.
"""

import math
from collections.abc import Iterable

from laurelcourse import interface as face
from laurelcourse import messages
from laurelcourse import settings as known
from laurelcourse.chance import hashed
from laurelcourse.interface import Result
from laurelcourse.state import ENDED, TRYING, Cap, Case, Instance, News, Req, Sums, Try, Unit, Window

# the judge: p, p0, every Ai; kinds and their priors; densities
CHANGE, SUSPECT, ODDS, CALM, DOUBT = 0.0005, 0.3, 0.05, 0.2, 0.5
FAILING, SLOW, WRONG = "failing", "slow", "wrong"
PRIORS = {FAILING: 0.5, SLOW: 0.25, WRONG: 0.25}
FAIL_FLOOR, FALSE_COMPLAINTS = 0.01, 0.005
FAIL_ALL, FAIL_ROUTE, WRONG_SHARE = 0.15, 0.5, 0.1
SLOWER, SPREAD_FLOOR, SPREAD_CLIP = math.log(2.5), 0.5, 1.5
BASE_ENOUGH, ENOUGH, BASE_HALVES = 8, 12, 4_000_000
UNLIKE_NOISE, UNLIKE_FLOOR, SOUND_SEEN, SOUND_FELLOWS, SAME_AGE = 0.05, 0.12, 30, 0.3, 1_000_000
RUN_BEFORE_ON, VOTERS_SPARE, BEATS, TELL_BEATS = 3_250_000, 2, 10, 5
# routing, health and shedding; shares are of the latency objective
FAR_AFTER, FAR_BETTER, SILENT_AFTER, TRIAL_DEARER = 0.5, 2.0, 0.4, 4.0
STRAIN, STRAIN_GAIN, STRAIN_CLIP = 0.5, 0.08, 1.5
LIMIT_SPAN = LOADS_LAST = 1_000_000
LIMIT_FALL, LIMIT_RISE, EARNINGS_BEND = 0.1, 1.02, 0.25
RETRY_SHARE, RETRY_STORE = 0.2, 10.0
PACE_GAIN, FAIL_GAIN, PACE_OF_FAILURE = 0.2, 0.25, 4.0
ASIDE_FAILING, RESTED_FAILING, SEEN_FADE, GOOD_ON_END, FAILS_TOO, CLEAN_WRAP = 0.3, 0.2, 0.97, 3, 2, 250
COLD_SAFETY, ANSWERED_OVER, COME_BACK_SHARE = 0.5, 4, 0.5


class Balancer(face.Decisions):
    def __init__(self, settings: known.Settings, seed: int, now: int) -> None:
        self.s, self.out = settings, []
        self.i = Instance(seed, now, len(settings.routes))
        self.i.typical = [route.objective / 4 for route in settings.routes]
        self.top = max(route.earnings for route in settings.routes)
        self.places = {route.name: place for place, route in enumerate(settings.routes)}
        self.scopes = [place if settings.cap_by_route else 0 for place in range(len(settings.routes))]
        self.beat = BEATS * settings.tick
        self.fade, self.members = 0.5 ** (self.beat / BASE_HALVES), self._members()

    def start(self, now: int) -> list[Result]:
        self.out.append((face.WAKE, self.beat, "beat"))
        self.i.ask_at = now * self.s.must_ask
        self._ask(now)
        return self._results()

    def new_req(self, now: int, req: str, route: str, tenant: str, key: int | None, left: int,
                repeated: bool) -> list[Result]:
        place = self.places[route]
        rq = self.i.reqs[req] = Req(req, self.s.routes[place], place, key, now, now + left)
        self.i.took[self.scopes[place]].add(now)
        self.i.retries = min(self.i.retries + RETRY_SHARE, RETRY_STORE)
        fits = self.i.open < self.i.limit * (rq.route.earnings / self.top) ** EARNINGS_BEND
        self._try_or_end(now, rq, fits)
        return self._results()

    def outcome(self, now: int, req: str, number: int, unit: int, status: str, lag: int, last: bool,
                load: dict[str, float]) -> list[Result]:
        rq = self.i.reqs[req]
        done = rq.tries[number]
        done.out, done.may_have_run = False, status not in face.NEVER_RAN
        done.unit.open -= 1
        self.i.open -= 1
        self._learn(now, rq, done, status, lag)
        if last or rq.state == ENDED:
            self._become(rq, ENDED)
        elif not rq.out():
            # Further tries are a bounded share of the reqs: in an overload they would feed it.
            may = self.i.retries >= 1
            self.i.retries -= may
            self._try_or_end(now, rq, may)
        return self._results()

    def withdrawn(self, now: int, req: str) -> list[Result]:
        if req in self.i.reqs:
            self._become(self.i.reqs[req], ENDED)
        return self._results()

    def directory(self, now: int, how: str, entries: Iterable[face.Listed]) -> list[Result]:
        i = self.i
        if how == face.BROKEN:
            # A failed call or a lost watch is renewed ever more slowly: the directory may be struggling.
            i.ask_pause = min(max(2 * i.ask_pause, self.beat), self.s.ask_within // 8)
            i.ask_at = now + i.ask_pause + i.chance.below(i.ask_pause)
        else:
            i.ask_at, i.ask_pause = (i.ask_at, i.ask_pause) if how == face.CACHED else (0, 0)
            i.list_units(entries, how != face.CHANGES)
            self._open_case(max((unit.build for unit in i.ready), default=0))
        return self._results()

    def timer(self, now: int, token: str) -> list[Result]:
        self.out.append((face.WAKE, self.beat, "beat"))
        i = self.i
        self._ask(now)
        if i.case:
            i.case.timed *= self.fade
        for sums in [sums for sums in i.base + i.newer if sums.count > 4 * BASE_ENOUGH]:
            sums.fade(self.fade)
        # Open tries are held to what is answered within the objective; what would be late is shed at once.
        change = (STRAIN / i.strain) ** LIMIT_FALL if i.strain > STRAIN else LIMIT_RISE
        i.usual_open += (i.open - i.usual_open) * self.beat / LIMIT_SPAN
        i.limit = max(2.0, min(i.limit * change, 2 * i.usual_open + 10.0))
        self._leave_silent(now)
        self._consider_vote(now)
        self._tell(now)
        return self._results()

    def peer(self, now: int, relay: int, payload: bytes) -> list[Result]:
        what, told = messages.unpack(payload, len(self.s.routes)) or (None, None)
        if what == messages.SUMS:
            self._hear(relay, told)
        elif what == messages.LOADS:
            before = self.i.loads.get(relay, (0, {}))[1]
            self.i.loads[relay] = (now, told)
            # A unit set aside comes back when another relay tells of good answers from it, several on end.
            for unit in [unit for unit in self.i.ready if unit.id in told and unit.id in before]:
                if told[unit.id][3] >= GOOD_ON_END and told[unit.id][3] != before[unit.id][3]:
                    unit.aside_until = min(unit.aside_until, now)
        return self._results()

    def stage(self, now: int, build: int, stage: int, standing: int, answers_vote: bool, status: str,
              cap: float, since: int) -> list[Result]:
        i, vote = self.i, self.i.vote
        if answers_vote:
            counted = status == face.COUNTED
            vote.pause = 0 if counted else min(max(2 * vote.pause, self.beat), self.s.vote_life // 4)
            vote.said = vote.said if counted else None
            # After a void vote the news that the vote lags behind is on its way.
            vote.not_before = now + (self.s.vote_timeout if status == face.VOID else vote.pause)
        if status == face.COUNTED:
            if i.news is None or i.news.build != build:
                i.cap = Cap(self.s.stage_caps[0])
            elif i.news.standing == face.RELEASED:
                i.cap = Cap(1.0)
            self._cap(now)
            i.cap.told(cap, now + self.s.drain_grace)
            if i.case and i.news and i.news.build == build == i.case.build and stage > i.news.stage:
                # A stage that went on in spite of one slow machine: the next is judged without its word.
                i.case.weights = self._start() if self._posteriors()[SLOW] >= CALM else i.case.weights
                i.case.timed = 0.0
            i.news = News(build, stage, standing, cap, now - since)
            self._open_case(build)
        return self._results()

    # `tally` is left unheeded: it samples outcomes that the relays' sums hold, and would count them twice.

    def complaint(self, now: int, unit: int, since: int, route: str) -> list[Result]:
        case, told = self.i.case, self.i.units.get(unit)
        if case and told and told.build == case.build and told.since < now - since:
            case.complained += 1
            self._weigh(self.places[route], 0, 0, 0, 0.0, 1)
        return self._results()

    # the req's states, and the guard of the five rules

    def _results(self) -> list[Result]:
        out, self.out = self.out, []
        return out

    def _become(self, rq: Req, state: str) -> None:
        rq.state = state
        if state == ENDED and not rq.out():
            self.i.reqs.pop(rq.id, None)

    def _try_or_end(self, now: int, rq: Req, may: bool) -> None:
        unit = self._pick(now, rq) if may else None
        if unit is None:
            return self._give_up(now, rq)
        rq.tries.append(Try(len(rq.tries), unit, now, now - unit.since < self.s.warm_after // 2))
        self._become(rq, TRYING)
        unit.begin(now)
        self.i.open += 1
        if self._on_trial(unit.build):
            self._tries_at(unit.build, rq.place).add(now)
        self.out.append((face.SEND, rq.id, unit.id, rq.due - now))

    def _give_up(self, now: int, rq: Req) -> None:
        anywhere = rq.route.repeat == known.DEDUPED and rq.route.group == known.GROUP_ALL
        harmless = rq.route.repeat == known.RETRIABLE or anywhere or not rq.ran()
        back = int(self.s.longest_return * COME_BACK_SHARE) if self.s.may_name_return else 0
        self.out.append((face.SHED, rq.id, back) if harmless else (face.ERROR, rq.id))
        self._become(rq, ENDED)

    def _may_send(self, now: int, rq: Req, unit: Unit) -> bool:
        """The five rules, in their order."""
        s, route = self.s, rq.route
        if rq.state == ENDED or now >= rq.due - s.tick or len(rq.tries) >= s.max_tries:
            return False
        ran = rq.ran()
        if ran and (route.repeat == known.NON_RETRIABLE or (rq.out() and not s.may_duplicate)):
            return False
        if ran and route.repeat == known.DEDUPED and (
                now > ran[0].sent + route.memory - s.tick
                or (route.group == known.GROUP_ZONE and any(one.unit.zone != unit.zone for one in ran))
                or (route.group == known.GROUP_CELL and any(one.unit.cell != unit.cell for one in ran))):
            return False
        return unit.health == face.READY and self._cold_room(now, unit) and self._exposure_room(now, rq, unit)

    def _ramp(self, now: int, unit: Unit) -> float:
        age = (now - unit.since) / self.s.warm_after
        return min(1.0, self.s.cold_share + (1 - self.s.cold_share) * max(age, 0.0))

    def _cold_room(self, now: int, unit: Unit) -> bool:
        """Rule 4: this relay's share of a cold unit's budget, safe if every other relay does the same."""
        ramp = self._ramp(now, unit)
        sent = unit.sends.since(now - self.s.tip_after - self.s.tick)
        # Answers, not reqs, tell what a warm unit can do: in an overload far more is asked for.
        usual = self.i.answered.since(now - ANSWERED_OVER * self.s.tip_after) / ANSWERED_OVER
        part = COLD_SAFETY * self.s.overload_factor * ramp * usual / max(len(self.i.ready), 1)
        return ramp >= 1.0 or sent + 1 <= max(1.0, part)

    def _on_trial(self, build: int) -> bool:
        news = self.i.news
        if news is None:
            return build > min((unit.build for unit in self.i.ready), default=build)
        return build > news.build or (build == news.build and news.standing != face.RELEASED)

    def _tries_at(self, build: int, place: int) -> Window:
        return self.i.tried.setdefault((build, self.scopes[place]), Window())

    def _cap(self, now: int) -> float:
        for place in self.scopes if self.i.cap.falls(now) else ():
            self._tries_at(self.i.news.build, place).clear()
        return self.i.cap.now

    def _exposure_room(self, now: int, rq: Req, unit: Unit) -> bool:
        """Rule 5: the windowed count of tries at a build on trial stays within the cap last told."""
        i, s, news = self.i, self.s, self.i.news
        if not self._on_trial(unit.build):
            return not (s.keys_stay and rq.key is not None and i.keys.get(rq.key, unit.build) > unit.build
                        and (news is None or news.standing in (face.ON_TRIAL, face.RELEASED)))
        named = news is not None and news.build == unit.build
        cap, stage = (self._cap(now), news.stage) if named else (s.stage_caps[0], 0)
        shut = named and news.standing != face.ON_TRIAL and news.cap == 0
        if shut or (stage < s.shielded and rq.route.repeat != known.RETRIABLE):
            return False
        tried = self._tries_at(unit.build, rq.place).since(now - s.cap_window - s.tick)
        took = i.took[self.scopes[rq.place]].since(now - s.cap_window + s.tick)
        return tried + 1 <= s.cap_free + cap * took

    def _pick(self, now: int, rq: Req) -> Unit | None:
        allowed = [unit for unit in self.i.ready if self._may_send(now, rq, unit)]
        tried = [one.unit for one in rq.tries]
        well = [unit for unit in allowed if unit not in tried and not self._aside(now, rq, unit)]
        pool = well or [unit for unit in allowed if unit not in tried] or allowed
        if not pool:
            return None
        trial = [unit for unit in pool if self._on_trial(unit.build)]
        others = [unit for unit in pool if unit not in trial]
        if trial and others:
            found, news = self._posteriors(), self.i.news
            bad = found[FAILING] + found.get(WRONG, 0.0) >= DOUBT
            doubtful = bad or news is None or news.standing != face.ON_TRIAL
            if rq.tries:
                # A failed req is tried on the other build, and both outcomes count.
                pool = others if doubtful or self._on_trial(rq.tries[-1].build) else trial
            elif doubtful:
                pool = pool if rq.route.repeat == known.RETRIABLE else others
            else:
                # Machines on trial get their even part, from any zone: more, from several relays at once,
                # would queue there and pass for slowness; less would leave the build unjudged.
                one, two = self._two_choices(now, rq, trial), self._two_choices(now, rq, others)
                due = self.i.chance.below(len(pool)) < len(trial)
                return one if due and self._cost(now, one) <= TRIAL_DEARER * self._cost(now, two) else two
        return self._two_choices(now, rq, pool)

    def _two_choices(self, now: int, rq: Req, pool: list[Unit]) -> Unit:
        near = [unit for unit in pool if unit.zone == self.s.zone or not self.s.crossing_price]
        unit = self._better(now, near or pool)
        wait = self._cost(now, unit)
        if 0 < len(near) < len(pool) and wait * self.i.typical[rq.place] > FAR_AFTER * rq.route.objective:
            far = self._better(now, [one for one in pool if one not in near])
            return far if self._cost(now, far) * FAR_BETTER < wait else unit
        return unit

    def _better(self, now: int, pool: list[Unit]) -> Unit:
        one = pool[self.i.chance.below(len(pool))]
        two = pool[self.i.chance.below(len(pool))]
        return one if self._cost(now, one) <= self._cost(now, two) else two

    def _cost(self, now: int, unit: Unit) -> float:
        return math.sqrt(unit.pace) * (self._told(now, unit)[0] + 1) / self._ramp(now, unit)

    def _told(self, now: int, unit: Unit) -> list[float]:
        """A unit's open tries, and those that lately ended and failed, at this relay and as peers told."""
        told = [loads[unit.id] for at, loads in self.i.loads.values()
                if now - at < LOADS_LAST and unit.id in loads]
        return [sum(counts) for counts in zip((unit.open, unit.seen, unit.failed, 0), *told, strict=True)]

    def _leave_silent(self, now: int) -> None:
        """A silent unit's reqs are tried elsewhere while they can be in time; a long req alone runs on."""
        for rq in [rq for rq in self.i.reqs.values() if rq.route.repeat != known.NON_RETRIABLE and rq.tries]:
            late = rq.tries[-1]
            if (late.out and late.number + 1 < self.s.max_tries and self._aside(now, rq, late.unit)
                    and now - late.sent > SILENT_AFTER * rq.route.objective):
                self._set_aside(now, late.unit)
                self.out.append((face.CANCEL, rq.id, late.number))

    def _aside(self, now: int, rq: Req, unit: Unit) -> bool:
        if unit.aside_until > now:
            return True
        # A silent unit gives no outcome until a try's time-out: having left this long unanswered is telling.
        # On trial only a longer wait tells it from a slow build: setting it aside would starve the judge.
        most = max(rq.route.objective / 2, 4 * self.i.typical[rq.place])
        most *= 2 if self._on_trial(unit.build) else 1
        return unit.unanswered is not None and now - unit.unanswered > most

    def _learn(self, now: int, rq: Req, done: Try, status: str, lag: int) -> None:
        i, unit, good = self.i, done.unit, status == face.OK
        if status not in (face.TIMEOUT, face.UNREACHED, face.CANCELLED) or not unit.open:
            unit.unanswered = now if unit.open else None
        if done.build != unit.build or status == face.UNSENT:
            return
        if status != face.CANCELLED:
            unit.failing += FAIL_GAIN * ((not good) - unit.failing)
            unit.clean = (unit.clean % CLEAN_WRAP + 1) * good
            unit.seen, unit.failed = unit.seen * SEEN_FADE + 1, unit.failed * SEEN_FADE + (not good)
        self._count(now, rq, done, status, lag)
        if status == face.CANCELLED:
            return
        if good or status == face.TIMEOUT:
            i.strain += STRAIN_GAIN * (min(lag / rq.route.objective, STRAIN_CLIP) - i.strain)
        blamed = not good and not self._on_trial(unit.build)
        pace = max(lag / i.typical[rq.place], PACE_OF_FAILURE if blamed else 0.0)
        unit.pace += PACE_GAIN * (pace - unit.pace)
        if good:
            i.typical[rq.place] += PACE_GAIN / 4 * (lag - i.typical[rq.place])
            unit.aside_for = unit.aside_for * 3 // 4
            i.answered.add(now)
            if self.s.keys_stay and rq.key is not None and self._on_trial(done.build):
                i.keys[rq.key] = done.build
        elif status in (face.UNREACHED, face.TIMEOUT) or (unit.failing > ASIDE_FAILING and blamed):
            # Errors of a build on trial are the judge's to weigh: setting its machines aside would starve it.
            self._set_aside(now, unit)

    def _set_aside(self, now: int, unit: Unit) -> None:
        resting = sum(one.aside_until > now for one in self.i.ready)
        if unit.aside_until > now or 3 * (resting + 1) > len(self.i.ready):
            return
        unit.aside_for = min(max(2 * unit.aside_for, self.s.tip_after), 8 * self.s.tip_after)
        unit.aside_until, unit.failing = now + unit.aside_for, RESTED_FAILING

    # the judge

    def _members(self) -> list[tuple[str, int | None, float, float]]:
        """Each kind's members: where it shows (None: everywhere), how strongly, its part of the prior."""
        found = [(FAILING, None, FAIL_ALL), (SLOW, None, SLOWER)]
        found += [(FAILING, place, FAIL_ROUTE) for place in range(len(self.s.routes))]
        found += [(WRONG, None, WRONG_SHARE * self.s.complaint_share)] if self.s.complaint_share else []
        kinds = [kind for kind, *_ in found]
        total = sum(PRIORS[kind] for kind in dict.fromkeys(kinds))
        return [(*one, PRIORS[one[0]] / total / kinds.count(one[0])) for one in found]

    def _start(self) -> list[float]:
        return [math.log(1 - SUSPECT)] + [math.log(SUSPECT * prior) for *_, prior in self.members]

    def _open_case(self, build: int) -> None:
        i = self.i
        if i.case is None or build > i.case.build:
            i.base = i.newer if i.news and i.news.standing == face.RELEASED else i.base
            i.newer = [Sums() for _ in self.s.routes]
            i.case = Case(build, sum(unit.build < build for unit in i.ready), len(i.newer), self._start())

    def _count(self, now: int, rq: Req, done: Try, status: str, lag: int) -> None:
        """An outcome as evidence, but for connections that failed or broke. A time-out tells of latency."""
        i, case = self.i, self.i.case
        uncounted = status in (face.UNREACHED, face.RESET, face.BUSY) or done.fresh
        if uncounted or case is None or done.build > case.build:
            return
        failed, timed, logs = int(status == face.FAILED), 0, 0.0
        if not failed and self._ramp(done.sent, done.unit) >= 1.0:
            timed, logs = 1, math.log(max(lag, 1))
        if done.build < case.build:
            for sums in (case.earlier[rq.place], i.base[rq.place]):
                sums.add(1, failed, timed, logs, logs * logs)
        elif not (failed and self._machine_to_blame(now, done.unit)):
            for sums in (case.own[rq.place], i.newer[rq.place]):
                sums.add(1, failed, timed, logs, logs * logs)
            self._weigh(rq.place, 1, failed, timed, logs)

    def _machine_to_blame(self, now: int, unit: Unit) -> bool:
        """Fellows as old as it are sound; while none is known well, an earlier build's machine fails too."""
        fellows = [self._told(now, one) for one in self._machines(unit.build)
                   if one is not unit and one.since <= unit.since + SAME_AGE]
        most = 1.0 if unit.failing > ASIDE_FAILING else 0.0
        sound = [bad <= max(most, 2 * FAIL_FLOOR * seen) for _, seen, bad, _ in fellows if seen >= SOUND_SEEN]
        if sound:
            return sum(sound) >= SOUND_FELLOWS * len(sound)
        return any(self._told(now, one)[2] >= FAILS_TOO for one in self.i.ready if one.build < unit.build)

    def _usual(self, place: int) -> tuple[float, float]:
        """Mean and spread of log latency at the earlier build; zeros while too little is known."""
        base = self.i.base[place]
        mean = base.logs / max(base.timed, 1)
        spread = max(SPREAD_FLOOR, math.sqrt(max(base.squares / max(base.timed, 1) - mean * mean, 0.0)))
        return (mean, spread) if base.timed >= BASE_ENOUGH else (0.0, 0.0)

    def _machines(self, build: int) -> list[Unit]:
        return [unit for unit in self.i.ready if unit.build == build]

    def _unlike(self) -> float:
        """How far the earlier build's machines differ: variance of log pace, less its noise."""
        paces = [math.log(max(unit.pace, 0.1)) for unit in self.i.ready if unit.build < self.i.case.build]
        mean = sum(paces) / max(len(paces), 1)
        unlike = sum((pace - mean) ** 2 for pace in paces) / max(len(paces) - 1, 1)
        return max(unlike - UNLIKE_NOISE, UNLIKE_FLOOR)

    def _steps(self, place: int, count: int, failed: int, timed: int, logs: float, wrong: int) -> list[float]:
        """For each member, log fi - log f0 of one outcome of a batch at its mean, or of complaints."""
        base = self.i.base[place]
        fail0 = max(FAIL_FLOOR, (base.failed + FAIL_FLOOR) / (base.count + 1))
        mean, spread = self._usual(place)
        # The paper assumes independent outcomes, but a machine's hang together, and a sick one would pass for
        # a slow build: a machine's latencies count as no more than a few outcomes.
        most = spread * spread / self._unlike() * max(len(self._machines(self.i.case.build)), 1)
        temper = (most / (most + self.i.case.timed)) ** 2 if most else 0.0
        steps, part = [], failed / max(count, 1)
        for kind, where, strength, _ in self.members:
            step = 0.0
            if kind == FAILING and count and where in (None, place):
                fail1 = fail0 + (1 - fail0) * strength
                step = part * math.log(fail1 / fail0) + (1 - part) * math.log((1 - fail1) / (1 - fail0))
            elif kind == SLOW and timed and spread:
                away = min(max((logs / timed - mean) / spread, -SPREAD_CLIP), SPREAD_CLIP)
                step = temper * timed / count * strength / spread * (away - strength / spread / 2)
            elif kind == WRONG:
                wrong0, wrong1 = FALSE_COMPLAINTS, strength + FALSE_COMPLAINTS
                step = wrong * math.log(wrong1 / wrong0) + (count > 0) * math.log((1 - wrong1) / (1 - wrong0))
            steps.append(step)
        return steps

    def _weigh(self, place: int, count: int, failed: int, timed: int, logs: float, wrong: int = 0) -> None:
        """The recursion, a batch counting as `count` outcomes at its mean; in logarithms, normalised."""
        steps, weights = self._steps(place, count, failed, timed, logs, wrong), self.i.case.weights
        change, stay = math.log(CHANGE), math.log(1 - CHANGE)
        for _ in range(max(count, 1)):
            sound = weights[0]
            gained = [sound + stay]
            for weight, step, (*_, prior) in zip(weights[1:], steps, self.members, strict=True):
                new = change + math.log(prior) + sound
                gained.append(max(weight, new) + math.log1p(math.exp(-abs(weight - new))) + step)
            total = max(gained) + math.log(sum(math.exp(one - max(gained)) for one in gained))
            weights[:] = [one - total for one in gained]
        self.i.case.counted += count
        self.i.case.timed += timed

    def _posteriors(self) -> dict[str, float]:
        found = dict.fromkeys([kind for kind, *_ in self.members], 0.0)
        for (kind, *_), weight in zip(self.members, self.i.case.weights[1:], strict=True):
            found[kind] += math.exp(weight)
        return found

    # votes

    def _voters(self, build: int) -> list[int]:
        ranked = sorted(range(self.s.relays), key=lambda relay: hashed(build, relay))
        return ranked[:self.s.votes_back + VOTERS_SPARE]

    def _consider_vote(self, now: int) -> None:
        i, s, vote, news = self.i, self.s, self.i.vote, self.i.news
        if news is None or i.case is None or i.case.build != news.build or (
                s.control == known.ANY and s.me not in self._voters(news.build)):
            return
        verdict = self._verdict(now, news)
        if now < vote.not_before:
            return
        wanted = (news.build, news.stage if verdict in (face.VOTE_ON, face.VOTE_HOLD) else 0, verdict)
        if (vote.said == wanted and now < vote.cast + s.vote_life // 2) or (
                verdict == face.NO_VOTE and (vote.said is None or vote.said[2] == face.NO_VOTE)):
            return
        vote.said, vote.cast, vote.not_before = wanted, now, now + s.vote_timeout + self.beat
        found = ", ".join(f"{kind} {part:.2f}" for kind, part in self._posteriors().items())
        note = f"vote {verdict} on build {news.build} stage {news.stage}: {i.case.counted} counted, {found}"
        self.out += [(face.VOTE, news.build, news.stage, verdict), (face.NOTE, note)]

    def _verdict(self, now: int, news: News) -> int:
        machines, found = [unit.since for unit in self._machines(news.build)], self._posteriors()
        alone = len(machines) < 2
        # One machine's slowness can't tell it from the build: it holds for a while, then a second one is due.
        if news.standing in (face.ON_TRIAL, face.RELEASED) and any(
                part > 1 / (1 + ODDS) and not (alone and kind == SLOW) for kind, part in found.items()):
            return face.VOTE_BACK
        if news.standing != face.ON_TRIAL or self.s.control == known.CLOCKED:
            hold = news.standing == face.ON_TRIAL and max(found.values()) >= CALM
            return face.VOTE_HOLD if hold else face.NO_VOTE
        ran = now - max(machines, default=now)
        alone = alone and ran >= 3 * RUN_BEFORE_ON
        calm = all(part < CALM or (alone and kind == SLOW) for kind, part in found.items())
        due = int(self.s.stage_shares[news.stage] * self.i.case.places + 0.5)
        there = len(machines) >= due or now - news.began >= 3 * RUN_BEFORE_ON
        enough = self.i.case.counted >= ENOUGH or ran >= 2 * RUN_BEFORE_ON
        return face.VOTE_ON if calm and there and enough and ran >= RUN_BEFORE_ON else face.NO_VOTE

    def _ask(self, now: int) -> None:
        self.out += [(face.WATCH,)] if 0 < self.i.ask_at <= now else []
        self.i.ask_at *= self.i.ask_at > now

    def _tell(self, now: int) -> None:
        i, case = self.i, self.i.case
        i.told_at += 1
        if self.s.may_tell and self.s.relays > 1 and i.told_at % self.s.relays == 0:
            loads = [(unit.id, unit.open, unit.seen, unit.failed, unit.clean) for unit in i.ready]
            self.out.append((face.TELL, "all", messages.pack_loads(loads)))
        if case and self.s.may_tell and i.told_at % TELL_BEATS == 0:
            bodies = messages.pack_sums(i.epoch, i.told_at, case.build, case.complained, case.rows())
            voters = [relay for relay in self._voters(case.build) if relay != self.s.me]
            self.out += [(face.TELL, relay, body) for relay in voters for body in bodies]

    def _hear(self, relay: int, told: messages.Told) -> None:
        i, case = self.i, self.i.case
        if case is None or told.build != case.build or self.s.me not in self._voters(told.build):
            return
        complained, rows = case.gain(relay, told)
        for place, (count, failed, timed, logs, *earlier) in enumerate(rows, told.first):
            i.base[place].add(*earlier)
            if count > 0:
                i.newer[place].add(count, failed, timed, logs, logs * logs / max(timed, 1))
                self._weigh(place, count, failed, timed, logs)
        if complained > 0:
            self._weigh(0, 0, 0, 0, 0.0, complained)
