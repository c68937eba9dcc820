"""The decisions of one relay.

Make one `Balancer(settings, seed, now)` a relay, call `start`, then a call for each thing that happens;
carry out what each returns. Calls and results: `laurelcourse/interface.py`; the design and its exceptions:
`docs/design.md`. Beside the design stand these mechanisms:
1. guard: every send, shed and error passes one place that keeps the five rules.
2. pace: latencies, and the open tries that relays tell each other, steer the two choices.
3. set-aside: a failing, silent or unreachable unit rests until its time is up or a peer has good answers.
4. home first: a unit of the own zone is taken unless it would make the req late.
5. shedding: open tries are held to what is answered in time; what is given up is answered at once.
6. machine's fault: what one machine does against its fellows is not held against the build.
"""

import math
from collections.abc import Iterable
from itertools import takewhile

from laurelcourse import interface as face
from laurelcourse import messages, posterior
from laurelcourse import settings as known
from laurelcourse.chance import hashed
from laurelcourse.interface import Result
from laurelcourse.state import ENDED, TRYING, Cap, Case, Group, Instance, News, Req, Try, Unit, Window

# the judge: p, p0, every Ai; kinds and their priors; densities. A prior of 0.2 is calm, however it rounds
CHANGE, SUSPECT, ODDS, CALM, DOUBT = 0.0005, 0.3, 0.05, 0.2 + 1e-9, 0.5
FAILING, SLOW, WRONG = "failing", "slow", "wrong"
PRIORS = {FAILING: 0.5, SLOW: 0.25, WRONG: 0.25}
FAIL_FLOOR, FALSE_COMPLAINTS, FAIL_ALL, FAIL_ROUTE, WRONG_SHARE = 0.01, 0.005, 0.15, 0.5, 0.1
SLOWER, SPREAD_FLOOR, SPREAD_CLIP = math.log(2.5), 0.5, 1.5
BASE_ENOUGH, BASE_MOST, ENOUGH, BASE_HALVES, TELL_BEATS, IDLE_BEATS = 8, 128, 12, 4_000_000, 5, 10
# A beat is so many ticks, but no shorter than such a part of an objective, nor of a vote that is to stand on.
BEATS, OBJECTIVE_BEATS, VOTE_BEATS = 10, 20, 6
UNLIKE_NOISE, UNLIKE_FLOOR, SOUND_SEEN, SOUND_FELLOWS, SAME_AGE = 0.05, 0.12, 30, 0.3, 2 / 9
# The design's 3 s and room for the clock's start; thrice that is past the page's 8 s for a stage's machines.
RUN_BEFORE_ON, MOST_POOL, POOL_SPARE, WORD_LASTS, AGREED = 3_250_000, 2, 2, 4, 2
# routing, health and shedding; shares are of the latency objective; LEAST_PART lets the usual open tries pass
FAR_AFTER, FAR_DUE, CROSS_GAIN, FAR_BETTER, PACE_GAIN, PACE_OF_FAILURE = 0.5, 0.2, 0.25, 2.0, 0.2, 4.0
STRAIN, STRAIN_GAIN, STRAIN_CLIP, LIMIT_FALL, LIMIT_RISE, EARNINGS_BEND = 0.5, 0.08, 1.5, 0.1, 1.02, 0.25
ASIDE_FAILING, RESTED_FAILING, SEEN_FADE, GOOD_ON_END, FAILS_TOO, CLEAN_WRAP = 0.3, 0.2, 0.97, 3, 2, 250
FAIL_GAIN, COLD_SAFETY, ANSWERED_OVER, COME_BACK_SHARE, DRAWS, LOADS_LAST = 0.25, 0.5, 4, 0.5, 4, 1_000_000
UNHEARD, DOUBTS_LAST, SILENT_AFTER, TRIAL_DEARER, RISE_MOST = 0.5, 4, 0.4, 4.0, 4.0
HOPELESS, HOPE, RETRY_SHARE, RETRY_STORE, JAM, LEAST_PART, PATIENCE = 1.0, 0.1, 0.2, 10.0, 0.35, 0.5, 0.3


class Balancer(face.Decisions):
    def __init__(self, settings: known.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.s, self.i = settings, Instance(seed, now, len(settings.routes))
        self.i.typical = [route.objective / 4 for route in settings.routes]
        self.top = max(route.earnings for route in settings.routes) or 1.0  # all may earn nothing
        self.places = {route.name: place for place, route in enumerate(settings.routes)}
        self.scopes = [place if settings.cap_by_route else 0 for place in range(len(settings.routes))]
        self.shortest = min(route.objective for route in settings.routes)
        revote = settings.vote_life // VOTE_BEATS
        self.beat = max(BEATS * settings.tick, min(self.shortest // OBJECTIVE_BEATS, revote))
        self.idle_beat = max(self.beat, min(IDLE_BEATS * self.beat, revote))
        self.pooled = settings.control == known.ANY and settings.votes_on <= MOST_POOL >= settings.votes_back
        self.members = self._members()
        self.kinds, self.priors = {one[0]: 0.0 for one in self.members}, [one[-1] for one in self.members]
        self.first = [math.log(1 - SUSPECT), *(math.log(SUSPECT * prior) for prior in self.priors)]
        self.few = settings.relays * self.beat < LOADS_LAST
        self.site = messages.site(settings.zone)
        self.tell_every = max(TELL_BEATS * self.beat, settings.relays * settings.tick // 2)
        self.i.tell_at = now + self.i.chance.below(self.tell_every)

    def start(self, now: int) -> list[Result]:
        self.wake(now, self.beat)
        self.out += [(face.WATCH,)] if self.s.must_ask else []
        return self.results()

    def new_req(
        self, now: int, req: str, route: str, tenant: str, key: int | None, left: int, repeated: bool
    ) -> list[Result]:
        place = self.places[route]
        rq = self.i.reqs[req] = Req(req, self.s.routes[place], place, key, now, now + left)
        self.i.took[self.scopes[place]].add(now)
        self.i.retries = min(self.i.retries + RETRY_SHARE, RETRY_STORE)
        fits = self.i.open < self.i.limit * max((rq.route.earnings / self.top) ** EARNINGS_BEND, LEAST_PART)
        self.wake(now, self.beat)
        self._try_or_end(now, rq, fits and not self._hopeless(now, place))
        return self.results()

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
        done = (rq := self.i.reqs[req]).tries[number]
        done.end(status)
        rq.unsent |= status == face.UNSENT
        self.i.open -= 1
        self._learn(now, rq, done, status, lag)
        if last or rq.state == ENDED:
            self._become(rq, ENDED)
        elif status == face.AT_FAULT and not self._on_trial(done.build) and not rq.out():
            self.out.append((face.ERROR, rq.id))
            self._become(rq, ENDED)
        elif not rq.out():
            # Further tries are a bounded share of the reqs, lest they feed an overload; one unsent does not.
            free = status == face.UNSENT
            may = free or (self.i.retries >= 1 and self.shares.take(now, face.RESENDS) is not False)
            self.i.retries -= may and not free
            self._try_or_end(now, rq, may)
        if rq.owed and (rq.state == ENDED or (done is not rq.owed and status != face.UNSENT)):
            # A req that fails on both builds tells against itself, not against the build on trial.
            if rq.blames(rq.owed):
                self._count(rq, rq.owed, face.FAILED, 0)
            rq.owed = None
        return self.results()

    def may_write(self, now: int, req: str, number: int) -> bool:
        """The guard at a try's first byte, and at a last one that waited: units drain, start anew and lose
        their cap meanwhile. At a build on trial a try counts from now: late connections must not bunch."""
        one = (rq := self.i.reqs[req]).tries[number]
        if trial := self._on_trial(one.build) and self._tries_at(one.build, rq.place):
            trial.drop(one.counted)
        same = (one.unit.since, one.unit.build) == (one.since, one.build)
        may = same and self._stands(now, rq, one.unit, one)
        if trial and may:
            one.counted = now
            trial.add(now)
        return may

    def streaming(self, now: int, req: str, number: int) -> list[Result]:
        """A part of an answer: its unit is not silent; like a req it earns further tries."""
        if (rq := self.i.reqs.get(req)) and rq.tries[number].out:
            rq.tries[number].unit.unanswered = now
            self.i.retries = min(self.i.retries + RETRY_SHARE, RETRY_STORE)
        return self.results()

    def withdrawn(self, now: int, req: str) -> list[Result]:
        if req in self.i.reqs:
            self._become(self.i.reqs[req], ENDED)
        return self.results()

    def directory(self, now: int, how: str, entries: Iterable[face.Listed]) -> list[Result]:
        i = self.i
        if how == face.BROKEN:
            # A failed call or a lost watch is renewed ever more slowly: the directory may be struggling.
            # But what a silent one missed counts soon: it is asked for within the grace of a drain.
            most = max(min(self.s.ask_within // 8, self.s.drain_grace // 2), self.s.tick)
            i.ask_pause = min(max(2 * i.ask_pause, self.beat), most)
            i.ask_at = now + i.ask_pause + i.chance.below(i.ask_pause)
            self.wake(now, i.ask_at - now)
        else:
            i.ask_at, i.ask_pause = (i.ask_at, i.ask_pause) if how == face.CACHED else (0, 0)
            i.list_units(now, entries, how != face.CHANGES)
            self._open_case(max((unit.build for unit in i.ready), default=0))
        return self.results()

    def timer(self, now: int, token: str) -> list[Result]:
        i = self.i
        if now < self.wake_at:
            return []
        beats, i.beat_at = (now - i.beat_at) / self.beat, now
        judging = i.case and i.news and i.news.standing == face.ON_TRIAL and self.s.me in i.case.voters
        self.wake(now, self.beat if i.open or self.few or judging else self.idle_beat)
        self.out += [(face.WATCH,)] if 0 < i.ask_at <= now else []
        i.ask_at *= i.ask_at > now
        # More outcomes than these make a baseline no surer, only later to see what befalls all builds.
        i.fade(0.5 ** (beats * self.beat / BASE_HALVES), 4 * BASE_ENOUGH, BASE_MOST)
        strain = max(i.strain, jam := self._jam(now), STRAIN / RISE_MOST)
        change = (STRAIN / strain) ** LIMIT_FALL if strain > STRAIN else LIMIT_RISE ** (STRAIN / strain)
        i.limit = min(i.limit, max(i.open, 2)) if jam > STRAIN else i.limit
        i.usual_open += (i.open - i.usual_open) * min(beats * self.beat / LOADS_LAST, 1.0)
        i.limit = max(2.0, min(i.limit * change**beats, 2 * i.usual_open + 10.0))
        i.tidy(now, now - LOADS_LAST, now - ANSWERED_OVER * self.s.tip_after, self.s)
        self._leave_silent(now)
        self._consider_vote(now)
        self._tell(now)
        return self.results()

    def peer(self, now: int, relay: int, payload: bytes) -> list[Result]:
        i, case, s = self.i, self.i.case, self.s
        what, told = (0 <= relay < s.relays and messages.unpack(payload, len(s.routes))) or (None, None)
        if what == messages.SUMS and case and s.me in case.voters:
            i.flow.hear(now, relay, told.open)
            self._hear(relay, told)
        elif what == messages.WORD and case and len(told.posteriors) == len(self.kinds):
            case.take(now, relay, told)
        elif what == messages.LOADS:
            before = i.hear_loads(relay, now, told)
            # A unit set aside comes back when another relay tells of good answers from it, several on end.
            for unit in [i.units[name] for name in told if name in before]:
                if told[unit.id][3] >= GOOD_ON_END and told[unit.id][3] != before[unit.id][3]:
                    unit.aside_until = min(unit.aside_until, now)
        elif what == messages.DOUBTS and not self.few and told.site == self.site:
            for name, erred in [one for one in told.units if one[0] in i.units]:
                self._doubt(now, i.units[name], relay, erred > 0)
        return self.results()

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
        i, vote = self.i, self.i.vote
        if answers_vote:
            counted = status == face.COUNTED
            vote.pause = 0 if counted else min(max(2 * vote.pause, self.beat), self.s.vote_life // 4)
            vote.said = vote.said if counted else None
            vote.not_before = now + (self.s.vote_timeout if status == face.VOID else vote.pause)
        if status == face.COUNTED:
            i.grouped, same = False, i.news is not None and i.news.build == build
            if not same or i.news.standing == face.RELEASED:
                i.cap = Cap(1.0 if same else self.s.stage_caps[0])
            self._cap(now)
            i.cap.told(cap, now + self.s.drain_grace)
            if i.case and same and build == i.case.build and stage > i.news.stage:
                # A stage that went on in spite of one slow machine: the next is judged without its word.
                i.case.weights = self.first[:] if self._posteriors()[SLOW] >= CALM else i.case.weights
                i.case.timed = 0.0
            i.news = News(build, stage, standing, cap, now - since)
            self._open_case(build)
        return self.results()

    def complaint(self, now: int, unit: int, since: int, route: str) -> list[Result]:
        case, told = self.i.case, self.i.units.get(unit)
        if case and told and told.build == case.build and told.since < now - since:
            case.complain(self.places[route])
            self._weigh(self.places[route], 0, 0, 0, 0.0, 1)
        return self.results()

    def _become(self, rq: Req, state: str) -> None:
        rq.state = state
        if state == ENDED and not rq.out():
            self.i.reqs.pop(rq.id, None)

    def _try_or_end(self, now: int, rq: Req, may: bool) -> None:
        if not may or not (unit := self._pick(now, rq)):
            return self._give_up(now, rq)
        rq.tries.append(Try(len(rq.tries), unit, now, now - unit.since < self.s.warm_after // 2))
        self._become(rq, TRYING)
        if self._ramp(now, unit) < 1.0:
            self.shares.take(now, face.COLD_WORK, str(unit.id))
        unit.begin(now, now - self.s.tip_after - self.s.tick)
        self.i.open += 1
        if self._on_trial(unit.build):
            self._tries_at(unit.build, rq.place).add(now)
        self.out.append((face.SEND, rq.id, unit.id, rq.due - now))

    def _jam(self, now: int) -> float:
        """How long tries wait at all relays, of the shortest objective, where every route's answers are late
        as well: else a few silent units may hold them. One relay's own answers tell it too late."""
        told = self.i.case and not self.few and self.i.case.agreed(now - WORD_LASTS * self.tell_every, AGREED)
        return min(told.wait, STRAIN_CLIP) if told and min(told.usual) > JAM else 0.0

    def _hopeless(self, now: int, place: int) -> bool:
        """A route that is late at all units holds places that others need: a few of its reqs find out."""
        told = self.i.case and self.i.case.agreed(now - WORD_LASTS * self.tell_every, AGREED)
        return bool(told) and told.usual[place] == max(told.usual) > HOPELESS and self.i.chance.share() > HOPE

    def _give_up(self, now: int, rq: Req) -> None:
        anywhere = rq.route.repeat == known.DEDUPED and rq.route.group == known.GROUP_ALL
        harmless = rq.route.repeat == known.RETRIABLE or anywhere or not rq.ran()
        back = int(self.s.longest_return * COME_BACK_SHARE) if self.s.may_name_return else 0
        self.out.append((face.SHED, rq.id, back) if harmless else (face.ERROR, rq.id))
        self._become(rq, ENDED)

    def _may_send(self, now: int, rq: Req, unit: Unit) -> bool:
        # One unsent takes no other's place; more would ask on and on for a budget that is used up.
        may = now < rq.due - self.s.tick and len(rq.tries) < self.s.max_tries + rq.unsent
        return may and self._stands(now, rq, unit, None) and self._cold_room(now, unit)

    def _stands(self, now: int, rq: Req, unit: Unit, this: Try | None) -> bool:
        """What has to hold from the decision to the last byte of this try."""
        s, route, ran = self.s, rq.route, rq.ran(this)
        if rq.state == ENDED or (
            ran and (route.repeat == known.NON_RETRIABLE or (rq.out(this) and not s.may_duplicate))
        ):
            return False
        if (
            ran
            and route.repeat == known.DEDUPED
            and (
                now > ran[0].sent + route.memory - s.tick
                or any(one.unit.apart(unit, route.group) for one in ran)
            )
        ):
            return False
        return unit.health == face.READY and self._exposure_room(now, rq, unit)

    def _ramp(self, now: int, unit: Unit) -> float:
        return min(1.0, 1 - (1 - self.s.cold_share) * (1 - max(now - unit.since, 0) / self.s.warm_after))

    def _cold_room(self, now: int, unit: Unit) -> bool:
        """Rule 4: this relay's share of a cold unit's budget, safe if every other relay does the same."""
        ramp = self._ramp(now, unit)
        if ramp <= 0.0 or ramp >= 1.0:  # nothing yet, whatever the fleet's budget says, or all
            return ramp >= 1.0
        if (told := self.shares.could(now, face.COLD_WORK, str(unit.id))) is not None:
            return told
        # Answers, not reqs, tell what a warm unit can do; while all are cold, earlier ones: the budget holds
        # answers down. Parts add up to it at any number of relays: where one is under a try, chance by unit,
        # start and relay decides who sends when. All cold, what fell due untold or before would bunch.
        i, s, over = self.i, self.s, ANSWERED_OVER * self.s.tip_after
        usual, alike = i.answered.since(now - over) / ANSWERED_OVER, i.alike(unit)
        if all_cold := i.eldest > now - s.warm_after:
            usual, alike = i.work.answers * s.tip_after, i.work.took(unit.size, over)
        part = COLD_SAFETY * s.overload_factor * usual / alike
        chance = hashed(unit.id + unit.since, s.me) / (1 << 32)
        earned, lapsed = (
            part * max(by - unit.since, 0) / s.tip_after * (s.cold_share + self._ramp(by, unit)) / 2 + chance
            for by in (now, max(unit.told, now - s.tip_after))
        )
        unit.sent = max(unit.sent, int(lapsed) * all_cold)
        sent = unit.sends.since(now - s.tip_after - s.tick)
        return sent + 1 <= max(1.0, part * ramp) and unit.sent + 1 <= earned

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
        kept = i.keys.get(rq.key, 0)  # from a build that was withdrawn a key may go anywhere
        kept *= news is None or (kept >= news.build and news.standing in (face.ON_TRIAL, face.RELEASED))
        if kept > unit.build or not self._on_trial(unit.build):
            return kept <= unit.build
        named = news is not None and news.build == unit.build
        cap, stage = (self._cap(now), news.stage) if named else (s.stage_caps[0], 0)
        if (
            cap == 0
            or (named and news.standing != face.ON_TRIAL and news.cap == 0)
            or (stage < s.shielded and rq.route.repeat != known.RETRIABLE)
        ):
            return False
        tried = self._tries_at(unit.build, rq.place).since(now - s.cap_window - s.tick)
        took = i.took[self.scopes[rq.place]].since(now - s.cap_window + s.tick)
        return tried + 1 <= s.cap_free + cap * took

    def _pick(self, now: int, rq: Req) -> Unit | None:
        i = self.i
        if not i.grouped:
            i.group(self._on_trial, self.s.zone if self.s.crossing_price else None)
        order, many = [i.others, i.trial], i.trial.many
        # A failed req goes to the earlier build; the few machines on trial can't take what all relays retry.
        if 0 < many < len(i.ready) and not rq.tries:
            found, tried = self._posteriors(), i.news is not None and i.news.standing == face.ON_TRIAL
            if not tried or found[FAILING] + found.get(WRONG, 0.0) >= DOUBT:
                order = [i.whole] if rq.route.repeat == known.RETRIABLE else order
            # Where keys stay, these are drawn: all would be bound there by and by, and refused past the cap.
            elif (
                at := hashed(rq.key + i.case.build, self.s.me) * len(i.ready) >> 32
                if self.s.keys_stay and rq.key is not None
                else i.chance.below(len(i.ready))
            ) < many and self._usable(now, rq, i.trial.at(at)):
                # Machines on trial get their even part: more would queue and pass for slowness; less would
                # leave the build unjudged. What a cold one can't take goes to the earlier build.
                one = self._two_choices(now, rq, i.trial, False)
                two = self._two_choices(now, rq, i.others, False)
                if one and (not two or self._cost(now, one) <= TRIAL_DEARER * self._cost(now, two)):
                    return one
        found = (self._two_choices(now, rq, group, full) for full in (False, True) for group in order)
        return next(filter(None, found), None)

    def _two_choices(self, now: int, rq: Req, group: Group, thorough: bool) -> Unit | None:
        # A full site answers late: its relays send a part elsewhere, as long as that is answered in time.
        cross = group.far and 0 < self.i.crossing > self.i.chance.share()
        near = None if cross else self._better(now, rq, group.near, thorough)
        if near and self._cost(now, near) * self.i.typical[rq.place] <= FAR_AFTER * rq.route.objective:
            return near
        far = self._better(now, rq, group.far, thorough)
        if cross:
            return far or self._better(now, rq, group.near, thorough)
        closer = near and far and self._cost(now, far) * FAR_BETTER >= self._cost(now, near)
        return near if closer else far or near

    def _better(self, now: int, rq: Req, units: list[Unit], thorough: bool) -> Unit | None:
        """Two random choices among those that may and should serve; a full look only when draws fail."""
        if thorough:
            allowed = [unit for unit in units if self._may_send(now, rq, unit)]
            untried = [unit for unit in allowed if not rq.tried(unit)]
            units = [unit for unit in untried if not self._aside(now, rq, unit)] or untried or allowed
        pair = [self._draw(now, rq, units, thorough) for _ in (1, 2)]
        return min((unit for unit in pair if unit), key=lambda unit: self._cost(now, unit), default=None)

    def _draw(self, now: int, rq: Req, units: list[Unit], any_does: bool) -> Unit | None:
        drawn = (units[self.i.chance.below(len(units))] for _ in range(DRAWS if units else 0))
        return next((unit for unit in drawn if any_does or self._usable(now, rq, unit)), None)

    def _usable(self, now: int, rq: Req, unit: Unit) -> bool:
        return self._may_send(now, rq, unit) and not self._aside(now, rq, unit) and not rq.tried(unit)

    def _cost(self, now: int, unit: Unit) -> float:
        return math.sqrt(unit.pace) * (unit.open + unit.heard[0] + 1) / self._ramp(now, unit)

    def _leave_silent(self, now: int) -> None:
        """A silent unit's reqs are tried elsewhere while they can be in time; a long req alone runs on."""
        for rq, one in [(rq, rq.tries[-1]) for rq in self.i.reqs.values() if rq.tries]:
            if one.out and self.i.strain < STRAIN and self._unheard(now, rq, one.unit):
                self._doubt(now, one.unit, self.s.me, False)
            may = one.out and one.number + 1 < self.s.max_tries and rq.route.repeat != known.NON_RETRIABLE
            if may and now - one.sent > SILENT_AFTER * rq.route.objective and self._aside(now, rq, one.unit):
                self._set_aside(now, one.unit)
                self.out += [(face.CANCEL, rq.id, one.number)] if self.s.may_cancel else []

    def _aside(self, now: int, rq: Req, unit: Unit) -> bool:
        # A silent unit gives no outcome until a time-out: leaving this long unanswered is telling. One open
        # try can't tell it from a slow answer; on trial only a longer wait tells it from a slow build.
        return unit.aside_until > now or ((self.few or unit.open > 1) and self._unheard(now, rq, unit))

    def _unheard(self, now: int, rq: Req, unit: Unit) -> bool:
        most = max(rq.route.objective / 2, 4 * self.i.typical[rq.place]) * (1 + self._on_trial(unit.build))
        return unit.unanswered is not None and now - unit.unanswered > most

    def _doubt(self, now: int, unit: Unit, relay: int, erred: bool) -> None:
        """One relay's doubt is told to all and proves nothing. Errors at two of a site set a unit aside; so
        does no word at half of those that it should have answered: fewer tell of a slow one. For relays that
        meet a unit too seldom to know it; a site that is cut off accuses to itself alone."""
        i, s, mine = self.i, self.s, relay == self.s.me
        if self.few or (mine and now - unit.doubts.get(relay, (0, erred))[0] < s.tip_after):
            return
        unit.doubt(relay, now, erred, now - DOUBTS_LAST * s.tip_after)
        i.doubted += [(unit.id, erred)] if mine and s.may_tell else []
        if unit.aside_until > now or self._on_trial(unit.build):
            return  # in a jam hundreds of relays doubt every unit: what changes nothing is not reckoned
        met = i.answered.since(now - ANSWERED_OVER * s.tip_after) / ANSWERED_OVER
        recent = [
            erred
            for at, erred in takewhile(
                lambda told: now - told[0] < s.tip_after, reversed(unit.doubts.values())
            )
        ]
        silent = len(recent) >= max(AGREED, UNHEARD * met * s.relays / max(len(i.ready), 1))
        if silent or sum(recent) >= AGREED:
            self._set_aside(now, unit)

    def _learn(self, now: int, rq: Req, done: Try, status: str, lag: int) -> None:
        i, s, unit, good, trial = self.i, self.s, done.unit, status == face.OK, self._on_trial(done.build)
        if status not in (face.TIMEOUT, face.UNREACHED, face.CANCELLED, face.UNSENT) or not unit.open:
            unit.unanswered = now if unit.open else None
        if good and s.keys_stay and rq.key is not None and (trial or done.build > i.oldest):
            i.keys[rq.key] = max(done.build, i.keys.get(rq.key, 0))
        if done.build != unit.build or status == face.UNSENT:
            return
        if status == face.AT_FAULT:
            # It tells of the client alone, unless an earlier build serves what one on trial calls at fault.
            rq.owed = done if trial else rq.owed
            return
        if self.s.crossing_price and status in (face.OK, face.TIMEOUT, face.CANCELLED):
            late = lag > FAR_AFTER * rq.route.objective
            change = late - FAR_DUE if unit.zone == self.s.zone else -2 * late
            i.crossing = min(max(i.crossing + CROSS_GAIN * change, 0.0), 1.0)
        # A time-out shorter than a usual answer tells of the client's patience, unless none has any more.
        patient = min(rq.route.objective / 2, PATIENCE * rq.route.timeout)
        if status == face.CANCELLED or (status == face.TIMEOUT and lag < patient):
            return None if status == face.TIMEOUT else self._count(rq, done, status, lag)
        unit.failing += FAIL_GAIN * ((not good) - unit.failing)
        unit.clean = (unit.clean % CLEAN_WRAP + 1) * good
        unit.seen, unit.failed = unit.seen * SEEN_FADE + 1, unit.failed * SEEN_FADE + (not good)
        if status == face.FAILED and trial:
            rq.owed = done
        else:
            self._count(rq, done, status, lag)
        if good or status == face.TIMEOUT:
            i.strain += STRAIN_GAIN * (min(lag / rq.route.objective, STRAIN_CLIP) - i.strain)
        blamed = not good and not trial
        unit.pace += PACE_GAIN * (max(lag / i.typical[rq.place], PACE_OF_FAILURE * blamed) - unit.pace)
        if good:
            i.typical[rq.place] += PACE_GAIN / 4 * (lag - i.typical[rq.place])
            unit.aside_for = unit.aside_for * 3 // 4
            i.answer(now, unit, s.warm_after)
        elif status in (face.UNREACHED, face.TIMEOUT) or (unit.failing > ASIDE_FAILING and blamed):
            # Errors of a build on trial are the judge's to weigh: setting its machines aside would starve it.
            self._set_aside(now, unit)
        if status in (face.FAILED, face.UNREACHED, face.TIMEOUT):
            self._doubt(now, unit, self.s.me, status == face.FAILED)

    def _set_aside(self, now: int, unit: Unit) -> None:
        if unit.aside_until > now or 3 * (1 + sum([one.aside_until > now for one in self.i.ready])) > len(
            self.i.ready
        ):
            return
        unit.aside_for = min(max(2 * unit.aside_for, self.s.tip_after), 8 * self.s.tip_after)
        unit.aside_until, unit.failing = now + unit.aside_for, RESTED_FAILING

    def _members(self) -> list[tuple[str, int | None, float, float]]:
        """Each kind's members: where it shows (None: everywhere), how strongly, its part of the prior."""
        found = [(FAILING, None, FAIL_ALL), (SLOW, None, SLOWER)]
        found += [(FAILING, place, FAIL_ROUTE) for place in range(len(self.s.routes))]
        found += [(WRONG, None, WRONG_SHARE * self.s.complaint_share)] if self.s.complaint_share else []
        kinds = [kind for kind, *_ in found]
        total = sum(PRIORS[kind] for kind in PRIORS if kind in kinds)
        return [(*one, PRIORS[one[0]] / total / kinds.count(one[0])) for one in found]

    def _open_case(self, build: int) -> None:
        i = self.i
        if i.case is None or build > i.case.build:
            i.turn_over(i.news is not None and i.news.standing == face.RELEASED)
            # The pool: few, however many relays there are, with spares for the dead and the cut off.
            ranked = sorted(range(self.s.relays), key=lambda relay: hashed(build, relay))
            pool = ranked[: min(self.s.votes_back, MOST_POOL) + POOL_SPARE]
            i.case = Case(build, sum(one.build < build for one in i.ready), len(i.newer), self.first[:], pool)

    def _count(self, rq: Req, done: Try, status: str, lag: int) -> None:
        """An outcome as evidence, but for connections that failed or broke. A time-out tells of latency."""
        i, case = self.i, self.i.case
        uncounted = status in (face.UNREACHED, face.RESET, face.BUSY) or done.fresh
        if uncounted or case is None or done.build > case.build:
            return
        failed, timed, logs = int(status == face.FAILED), 0, 0.0
        if not failed and self._ramp(done.sent, done.unit) >= 1.0:
            timed, logs = 1, math.log(max(lag, 1))
        case.changed.add(rq.place)
        if done.build < case.build:
            case.earlier[rq.place].add(1, failed, timed, logs, logs * logs)
            i.base[rq.place].add(1, failed, timed, logs, logs * logs)
        elif not (failed and self._machine_to_blame(done.sent + lag, done.unit)):
            for sums in (case.own[rq.place], i.newer[rq.place]):
                sums.add(1, failed, timed, logs, logs * logs)
            self._weigh(rq.place, 1, failed, timed, logs)

    def _machine_to_blame(self, now: int, unit: Unit) -> bool:
        """Fellows as old as it are sound; while none is known well, an earlier build's machine fails too, or
        did before it drained: after a release nothing else tells sick machines from the build."""
        machines, since = self._machines(unit.build), now - DOUBTS_LAST * self.s.tip_after
        near = [one for one in machines if one.zone == self.s.zone]  # those that the relays heeded here meet
        erred = sum(one.erred(since) for one in near)
        if unit in near and unit.erred(since, self.s.me) and 3 * erred <= len(near):
            return True  # errors of one machine hang together: the first at all relays counts
        as_old = unit.since + SAME_AGE * self.s.warm_after  # what changes with a machine's age is its warming
        fellows = [
            one.ended()
            for one in machines
            if one is not unit and one.since <= as_old and one.ended()[0] >= SOUND_SEEN
        ]
        sound = [bad <= max(unit.failing > ASIDE_FAILING, 2 * FAIL_FLOOR * seen) for seen, bad in fellows]
        if sound:
            return sum(sound) >= SOUND_FELLOWS * len(sound)
        return any(one.ended()[1] >= FAILS_TOO for one in self.i.units.values() if one.build < unit.build)

    def _machines(self, build: int) -> list[Unit]:
        return [unit for unit in self.i.ready if unit.build == build]

    def _steps(self, place: int, count: int, failed: int, timed: int, logs: float, wrong: int) -> list[float]:
        """For each member, log fi - log f0 of one outcome of a batch at its mean, or of complaints."""
        base = self.i.base[place]
        fail0 = max(FAIL_FLOOR, (base.failed + FAIL_FLOOR) / (base.count + 1))
        mean, spread = base.usual(SPREAD_FLOOR) if base.timed >= BASE_ENOUGH else (0.0, 0.0)
        # The paper's outcomes are independent; a machine's hang together: they count as no more than a few.
        paces = [math.log(max(unit.pace, 0.1)) for unit in self.i.ready if unit.build < self.i.case.build]
        unlike = max(
            posterior.variance(paces) - UNLIKE_NOISE,
            UNLIKE_FLOOR,
            0.0 if self.few else spread**2 - SPREAD_FLOOR**2,
        )  # too seldom seen to tell
        most = spread * spread / unlike * max(self.i.case.warm, 1)
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
        """The recursion, a batch counting as `count` outcomes at its mean, complaints as one."""
        steps = self._steps(place, count, failed, timed, logs, wrong)
        for _ in range(count or min(wrong, 1)):
            posterior.step(self.i.case.weights, steps, self.priors, CHANGE)
        self.i.case.counted, self.i.case.timed = self.i.case.counted + count, self.i.case.timed + timed

    def _posteriors(self) -> dict[str, float]:
        parts = [
            (member[0], math.exp(weight))
            for member, weight in zip(self.members, self.i.case.weights[1:], strict=True)
        ]
        return {kind: sum(part for one, part in parts if one == kind) for kind in self.kinds}

    def _consider_vote(self, now: int) -> None:
        i, s, vote, news = self.i, self.s, self.i.vote, self.i.news
        if (
            news is None
            or i.case is None
            or i.case.build != news.build
            or (self.pooled and s.me not in i.case.voters)
        ):
            return
        verdict = self._verdict(now, news)
        wanted = (news.build, news.stage if verdict in (face.VOTE_ON, face.VOTE_HOLD) else 0, verdict)
        stands = vote.said == wanted and now < vote.cast + s.vote_life * 2 // 3
        nothing = verdict == face.NO_VOTE and (vote.said is None or vote.said[2] == face.NO_VOTE)
        if now < vote.not_before or stands or nothing:
            return
        vote.said, vote.cast, vote.not_before = wanted, now, now + s.vote_timeout + self.beat
        self.out.append((face.VOTE, news.build, news.stage, verdict))
        if s.me in i.case.voters:
            what = f"vote {verdict} on build {news.build} stage {news.stage}"
            self.note(what, i.case.counted, self._posteriors())

    def _verdict(self, now: int, news: News) -> int:
        machines = [unit.since for unit in self._machines(news.build)]
        self.i.case.warm = sum(now - since >= self.s.warm_after for since in machines)
        (found, counted), alone = self._found(now), len(machines) < 2
        # One machine's slowness can't tell it from the build: it holds for a while, then a second one is due.
        if news.standing in (face.ON_TRIAL, face.RELEASED) and any(
            part > 1 / (1 + ODDS) and not (alone and kind == SLOW) for kind, part in found.items()
        ):
            return face.VOTE_BACK
        if news.standing != face.ON_TRIAL or self.s.control == known.CLOCKED:
            held = news.standing == face.ON_TRIAL and max(found.values()) >= CALM
            return face.VOTE_HOLD if held else face.NO_VOTE
        ran = now - max(machines, default=now)
        waited = alone and ran >= 3 * RUN_BEFORE_ON
        calm = all(part < CALM or (waited and kind == SLOW) for kind, part in found.items())
        due = int(self.s.stage_shares[news.stage] * self.i.case.places + 0.5)
        there = len(machines) >= due or now - news.began >= 3 * RUN_BEFORE_ON
        # Silence tells nothing before reqs that count and are in time have ended.
        enough = counted >= ENOUGH or ran >= max(2 * RUN_BEFORE_ON, self.s.warm_after // 2 + self.shortest)
        return face.VOTE_ON if calm and there and enough and ran >= RUN_BEFORE_ON else face.NO_VOTE

    def _tell(self, now: int) -> None:
        i, case, s = self.i, self.i.case, self.s
        i.told += 1
        if s.may_tell and i.doubted:
            self.out.append((face.TELL, "all", messages.pack_doubts(self.site, i.doubted)))
            i.doubted = i.doubted[messages.DOUBTED :]
        if s.may_tell and self.few and i.told % s.relays == 0:
            busiest = sorted(i.ready, key=lambda unit: -unit.open)  # a message may not hold them all
            loads = [(unit.id, unit.open, unit.seen, unit.failed, unit.clean) for unit in busiest]
            self.out.append((face.TELL, "all", messages.pack_loads(loads)))
        if case is None or now < i.tell_at or not s.may_tell:
            return
        i.tell_at = now + self.tell_every
        if case.changed:
            bodies = messages.pack_sums(i.epoch, i.told, case.build, case.complained, case.rows(), i.open)
            self.out += [(face.TELL, one, body) for one in case.voters if one != s.me for body in bodies]
        if s.me in case.voters:
            late, parts = i.lateness(s.routes, BASE_ENOUGH), tuple(self._posteriors().values())
            wait = i.flow.wait(now, LOADS_LAST) / self.shortest
            word = messages.Word(i.epoch, i.told, case.build, case.counted, parts, late, wait)
            self.out.append((face.TELL, "all", messages.pack_word(word)))
            case.take(now, s.me, word)

    def _found(self, now: int) -> tuple[dict[str, float], int]:
        """Posteriors, and what they rest on: of two voters' words, while own outcomes are too few."""
        case, found = self.i.case, self._posteriors()
        told = case.agreed(now - WORD_LASTS * self.tell_every, AGREED)
        if self.s.me in case.voters or case.counted >= ENOUGH or told is None:
            return found, case.counted
        return dict(zip(found, told.posteriors, strict=True)), told.counted

    def _hear(self, relay: int, told: messages.Told) -> None:
        i, case = self.i, self.i.case
        wrong, rows = case.gain(relay, told)
        self._weigh(0, 0, 0, 0, 0.0, wrong)
        for place, (count, failed, timed, logs, *earlier) in rows:
            i.base[place].add(*earlier)
            i.flow.ended += count + earlier[0]
            if count > 0:
                i.newer[place].add(count, failed, timed, logs, logs * logs / max(timed, 1))
                self._weigh(place, count, failed, timed, logs)
