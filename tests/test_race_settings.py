"""Settings of other deployments: drawn from the documented ranges, unusual ones, and the ends of ranges."""

import copy
import heapq
import json
import math
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from laurelcourse import interface as face
from laurelcourse import messages
from laurelcourse.fronts.postgres import wire
from laurelcourse.net import config as configuration
from laurelcourse.net.limits import limits
from laurelcourse.prng import Prng
from laurelcourse.rules import Balancer
from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE, Route, Settings, SettingsTree
from laurelcourse.standins.base import RELAY_HOST, STAND_IN_HOST
from laurelcourse.standins.postgres import LARGER_BLOB, build_query
from laurelcourse.standins.settings import PLATFORM_SETTINGS, route_settings
from laurelcourse.standins.settings import relay_config as written

if TYPE_CHECKING:
    from conftest import Served

MS, SECOND = 1000, 1_000_000
DRAWS, AT_ONCE = 140, 20
RAN = {face.BUSY: False, face.UNREACHABLE: False, face.UNSENT: False}


class Draw(Prng):
    def one_of(self, *values: object) -> object:
        return values[self.below(len(values))]

    def between(self, low: float, high: float) -> float:
        """Returns a log-uniform value."""
        return low * (high / low) ** self.fraction()

    def chance(self, share: float) -> bool:
        return self.fraction() < share


def drawn(c: Draw) -> Settings:
    """Draws valid settings: objectives of 50 ms to 20 s, ticks of 1 to 10 ms."""

    def route(name: str) -> Route:
        objective = int(c.between(50 * MS, 20 * SECOND))
        timeout = int(objective * c.between(1, 5))
        memory = c.one_of(0, timeout // 3, timeout, 3 * timeout)
        return Route(
            name,
            objective,
            timeout,
            c.one_of(0.0, 1.0, 5.0),
            0.2,
            c.one_of(RETRIABLE, DEDUPED, NON_RETRIABLE),
            c.one_of("all", "zone", "cell"),
            memory,
        )

    stages = c.one_of(1, 2, 4, 10)
    shares = sorted(c.between(0.01, 1.0) for _ in range(stages))
    slack = c.between(1, 2)
    caps = [min(1.0, share * slack) for share in shares]
    caps[0] *= not c.chance(0.1)
    relays = c.one_of(1, 3, 7, 30, 500)
    return Settings(
        relay_index=c.below(relays),
        relay_count=relays,
        zone="a",
        tick=c.one_of(1, 2, 5, 10) * MS,
        routes=tuple(route(f"r{place}") for place in range(c.one_of(1, 3, 6, 20))),
        max_tries=c.one_of(1, 2, 3, 6) * (not c.chance(0.05)),
        may_duplicate=c.chance(0.5),
        may_probe=True,
        may_message_peers=c.chance(0.6),
        may_send_retry_after=c.chance(0.5),
        max_retry_after=SECOND,
        must_poll=c.chance(0.3),
        max_poll_interval=int(c.one_of(0, 0.5, 10) * SECOND),
        drain_grace=int(c.one_of(0, 0.3, 2, 5) * SECOND),
        start_capacity=c.one_of(0.15, 0.3, 1.0),
        warm_up_time=int(c.between(0.5, 30) * SECOND),
        overload_factor=c.between(1.5, 4),
        overload_window=int(c.between(0.3, 3) * SECOND),
        cap_per_route=c.chance(0.5),
        cap_free_tries=c.one_of(0.0, 1.0, 5.0),
        stage_caps=tuple(caps),
        cap_window=int(c.between(0.2, 10) * SECOND),
        stage_shares=tuple(shares),
        protected_stages=c.below(stages + 1),
        sticky_keys=c.chance(0.3),
        release_control=c.one_of("any", "share", "clocked"),
        min_stage_time=int(c.between(0.5, 5) * SECOND),
        vote_ttl=int(c.one_of(0, 0.5, 6) * SECOND),
        vote_timeout=int(c.one_of(0.05, 2) * SECOND),
        votes_to_advance=c.one_of(0, 1, 2 * relays),
        votes_to_roll_back=c.below(2 * relays),
        complaint_share=c.one_of(0.0, 0.3),
        cross_zone_price=c.one_of(0.0, 0.1),
        may_cancel=c.chance(0.7),
    )


class Asked:
    def __init__(self, route: Route, place: int, key: int | None, due: int) -> None:
        self.route, self.place, self.key, self.due = route, place, key, due
        self.final = ""
        self.tries: list[list] = []  # sent, unit, status or "" while it is out

    def out(self) -> list[list]:
        return [one_try for one_try in self.tries if not one_try[2]]

    def ran(self) -> list[list]:
        return [one_try for one_try in self.tries if RAN.get(one_try[2], True)]


class Rules:
    """What an instance was told, and the five rules as the protocol's page words them."""

    def __init__(self, s: Settings) -> None:
        self.settings, self.reqs = s, {}
        self.units: dict[int, face.Listed] = {}
        self.left: dict[int, int] = {}  # since when a unit is told to be draining or gone
        self.news: tuple[int, int, int] | None = None
        self.caps: list[tuple[float, float]] = []  # told when, and how much
        self.counted_from = -math.inf  # attempts at the named build count from here on
        self.tried: list[tuple[int, int, int]] = []
        self.took: list[tuple[int, int]] = []
        self.keys: dict[int, int] = {}

    def listed(self, now: int, whole: bool, entries: list[face.Listed]) -> None:
        results = {entry.unit: entry for entry in entries}
        for name, listed_unit in self.units.items() if whole else ():
            results.setdefault(name, listed_unit._replace(health=face.GONE))
        for name, listed_unit in results.items():
            self.units[name] = listed_unit
            if listed_unit.health == face.READY:
                self.left.pop(name, None)
            else:
                self.left.setdefault(name, now)

    def on_trial(self, build: int) -> bool:
        if self.news is None:
            return False
        named, _, standing = self.news
        return build > named or (build == named and standing != face.RELEASED)

    def cap(self, now: int) -> float:
        """Returns the cap in force: one that is lower than those told within the grace does not bind yet."""
        before = [cap for at, cap in self.caps if at <= now - self.settings.drain_grace]
        return max(before[-1:] + [cap for at, cap in self.caps if at > now - self.settings.drain_grace])

    def told(self, now: int, build: int, stage: int, standing: int, cap: float) -> None:
        self.settle(now)
        if self.news is None or self.news[0] != build:
            self.caps, self.counted_from = [(-math.inf, self.settings.stage_caps[0])], -math.inf
        elif self.news[2] == face.RELEASED:
            self.caps = [(-math.inf, 1.0)]
        self.caps.append((now, cap))
        self.news = (build, stage, standing)

    def settle(self, now: int) -> None:
        """Notes when a lower cap began to bind: tries are counted anew from then."""
        for at in sorted(at + self.settings.drain_grace for at, _ in self.caps if at > -math.inf):
            if self.counted_from < at <= now and self.cap(at) < self.cap(at - 1):
                self.counted_from = at

    def exposure(self, now: int, rq: Asked, build: int) -> None:
        s, named = self.settings, build == self.news[0]
        self.settle(now)
        cap, stage = (self.cap(now), self.news[1]) if named else (s.stage_caps[0], 0)
        since = max(now - s.cap_window, self.counted_from - 1 if named else -math.inf)
        scope = [place for place in range(len(s.routes)) if place == rq.place or not s.cap_per_route]
        tried = sum(
            at > since and its_build == build and place in scope for at, its_build, place in self.tried
        )
        req_count = sum(at > now - s.cap_window and place in scope for at, place in self.took)
        assert tried + 1 <= s.cap_free_tries + cap * req_count + 1e-9, "rule 5: over the cap"
        assert cap > 0, "rule 5: a cap of 0"
        assert stage >= s.protected_stages or rq.route.repeat_policy == RETRIABLE, (
            "rule 5: an effect in a shielded stage"
        )
        self.tried.append((now, build, rq.place))

    def sent(self, now: int, rq: Asked, unit: int) -> None:
        s, ran, listed = self.settings, rq.ran(), self.units[unit]
        assert not rq.final, "rule 1: sent after the final answer"
        # An attempt counts once its last byte has come.
        written = [one_try for one_try in rq.tries if one_try[2] != face.UNSENT]
        assert len(written) < s.max_tries, "over the most tries"
        assert now < rq.due, "sent when the time is over"
        assert not ran or rq.route.repeat_policy != NON_RETRIABLE, "rule 2: may run twice"
        assert s.may_duplicate or not rq.out(), "rule 2: two at once"
        for at, where, _ in ran if rq.route.repeat_policy == DEDUPED else ():
            assert now <= at + rq.route.dedup_window, "rule 2: no longer remembered"
            apart = {"all": False, "zone": where.zone != listed.zone, "cell": where.cell != listed.cell}
            assert not apart[rq.route.dedup_group], "rule 2: outside the group"
        if unit in self.left:
            assert now <= self.left[unit] + s.drain_grace, "rule 3: sent to one that leaves"
        if self.on_trial(listed.build):
            self.exposure(now, rq, listed.build)
        elif s.sticky_keys and rq.key in self.keys and self.news and self.news[2] != face.ROLLING_BACK:
            held = self.keys[rq.key]
            assert held != self.news[0] or listed.build >= held or (self.news[2] == face.WITHDRAWN), (
                "rule 5: a key to an earlier build"
            )
        rq.tries.append([now, listed, ""])

    def shed(self, rq: Asked) -> None:
        harmless = rq.route.repeat_policy == RETRIABLE or (
            rq.route.repeat_policy == DEDUPED and rq.route.dedup_group == "all"
        )
        assert harmless or not rq.ran(), "rule 2: shed though it may have run"


class World:
    """One instance with drawn settings, and all that happens to it, in simulated time."""

    def __init__(self, seed: int) -> None:
        self.c = Draw(seed)
        self.settings = drawn(self.c)
        self.now, self.heap, self.made, self.seen = 1000 * SECOND, [], 0, set()
        self.balancer, self.rules = Balancer(self.settings, seed, self.now), Rules(self.settings)
        self.build, self.stage, self.standing, self.share = 6, 0, face.ON_TRIAL, self.settings.stage_caps[0]
        self.fleet = {
            name: face.Listed(
                name,
                self.c.one_of("a", "b"),
                self.c.below(2),
                self.c.one_of(5, 5, 6),
                face.READY,
                1.0,
                face.START_UNKNOWN_US,
            )
            for name in range(1, self.c.one_of(2, 4, 12))
        }
        self.span = int(self.c.between(1.5, 15) * SECOND)
        self.end = self.now + self.span
        self.spoilt = self.c.one_of(0.0, 0.1, 0.6)
        self.pace = self.c.between(0.05, 1.5)
        self.live: list[Asked] = []
        self.wakes = 0

    def at(self, delay: float, work: Callable, *args: object) -> None:
        self.made += 1
        heapq.heappush(self.heap, (self.now + int(delay), self.made, work, args))

    def call(self, name: str, *args: object) -> None:
        for verb, *rest in getattr(self.balancer, name)(self.now, *args):
            self.seen.add(verb)
            getattr(self, verb)(*rest)
        self.live = [rq for rq in self.live if not rq.final]
        for rq in self.live:
            assert rq.out(), "rule 1: held without a try, so that nothing will end it"

    # what it does

    def send(self, req: str, unit: int, limit: int) -> None:
        rq = self.rules.reqs[req]
        self.rules.sent(self.now, rq, unit)
        left = min(limit, rq.due - self.now) if limit > 0 else rq.due - self.now
        duration = int(rq.route.objective * self.pace * self.c.between(0.2, 4))
        bad = self.fleet[unit].build > 5 and self.c.chance(0.3)
        status = (
            face.OK
            if not bad and not self.c.chance(self.spoilt)
            else self.c.one_of(
                face.FAILED,
                face.FAILED,
                face.BUSY,
                face.UNREACHABLE,
                face.RESET,
                face.TIMEOUT,
                face.CLIENT_FAULT,
                face.UNSENT,
            )
        )
        quick = status in (face.BUSY, face.UNREACHABLE, face.UNSENT)
        duration = duration // 50 if quick else duration
        if status == face.TIMEOUT or duration >= left:
            duration, status = left, face.TIMEOUT
        self.at(duration, self.ended, req, len(rq.tries) - 1, status)

    def ended(self, req: str, number: int, status: str) -> None:
        rq = self.rules.reqs[req]
        if rq.tries[number][2]:
            return
        rq.tries[number][2] = status
        sent, unit, _ = rq.tries[number]
        if status == face.OK and not rq.final:
            rq.final = "completed"
            if rq.key is not None and unit.build >= self.rules.news[0]:
                self.rules.keys[rq.key] = unit.build
        self.call("outcome", req, number, unit.unit, status, self.now - sent, bool(rq.final), {})

    def cancel(self, req: str, number: int) -> None:
        assert self.settings.may_cancel, "called off where that is not allowed"
        assert number < len(self.rules.reqs[req].tries)
        self.at(MS, self.ended, req, number, face.CANCELLED)

    def shed(self, req: str, back: int) -> None:
        rq = self.rules.reqs[req]
        assert not rq.final, "rule 1: two answers"
        self.rules.shed(rq)
        rq.final = "shed"

    def error(self, req: str) -> None:
        rq = self.rules.reqs[req]
        assert not rq.final, "rule 1: two answers"
        rq.final = "errored"

    def wake(self, delay: int, token: str) -> None:
        assert delay > 0, "a timer that comes at once comes for ever"
        self.wakes += 1
        self.at(delay, self.call, "timer", token)

    def watch(self) -> None:
        assert self.settings.must_poll
        self.at(20 * MS, self.lists, self.c.chance(0.3))

    def tell(self, relay: int | str, payload: bytes) -> None:
        assert (
            self.settings.may_message_peers
            and len(payload) <= 256
            and (relay == "all" or 0 <= relay < self.settings.relay_count)
        )
        assert messages.unpack(payload, len(self.settings.routes)) is not None
        if self.settings.relay_count > 1 and self.c.chance(0.5):
            self.at(5 * MS, self.call, "peer", self.c.below(self.settings.relay_count), payload)

    def vote(self, build: int, stage: int, verdict: int) -> None:
        assert verdict != (
            face.VOTE_ADVANCE if self.settings.release_control == "clocked" else face.VOTE_HOLD
        )
        self.at(50 * MS, self.voted, build, stage, verdict)

    def note(self, text: str) -> None:
        pass

    # what happens to it

    def voted(self, build: int, stage: int, verdict: int) -> None:
        status = self.c.one_of(
            face.COUNTED,
            face.COUNTED,
            face.COUNTED,
            face.REFUSED,
            face.CALL_FAILED,
            face.VOID,
            face.UNANSWERED,
        )
        if status == face.COUNTED and build == self.build:
            if verdict == face.VOTE_ADVANCE and stage == self.stage and self.standing == face.ON_TRIAL:
                self.moves(True)
            elif verdict == face.VOTE_ROLL_BACK and self.standing != face.WITHDRAWN:
                self.moves(False)
        self.tells(status)

    def tells(self, status: str | None = None) -> None:
        report = (self.build, self.stage, self.standing)
        if status in (None, face.COUNTED):
            self.rules.told(self.now, *report, self.share)
            self.call("stage", *report, status is not None, face.COUNTED, self.share, 100 * MS)
        else:
            self.call("stage", 0, 0, 0, True, status, 0.0, 0)

    def moves(self, on: bool) -> None:
        """Moves the release a step on or back; going back, the cap falls at once or gradually."""
        if self.standing in (face.RELEASED, face.WITHDRAWN) and on:
            self.build, self.stage, self.standing = self.build + 1, 0, face.ON_TRIAL
        elif self.standing == face.ROLLING_BACK:
            self.standing = face.WITHDRAWN
        elif not on:
            self.standing = face.ROLLING_BACK
        elif self.stage + 1 < len(self.settings.stage_caps):
            self.stage += 1
        else:
            self.standing = face.RELEASED
        caps = {face.ON_TRIAL: self.settings.stage_caps[self.stage], face.RELEASED: 1.0}
        self.share = caps.get(self.standing, 0.0)
        if self.standing == face.ROLLING_BACK and self.c.chance(0.5):
            self.share = self.settings.stage_caps[self.stage] * 0.3
        for name in self.fleet if self.standing == face.ON_TRIAL else ():
            if self.c.chance(self.settings.stage_shares[self.stage]):
                self.fleet[name] = self.fleet[name]._replace(build=self.build, started_at=self.now)

    def lists(self, broken: bool = False) -> None:
        how = face.WATCH_BROKEN if broken else self.c.one_of(face.CHANGES, face.FULL_LIST, face.CACHED)
        entries = [
            unit_entry for unit_entry in self.fleet.values() if how != face.CHANGES or self.c.chance(0.4)
        ]
        if how in (face.FULL_LIST, face.CACHED):
            entries = [entry for entry in entries if entry.health != face.GONE]
        if how != face.WATCH_BROKEN:
            self.rules.listed(self.now, how != face.CHANGES, entries)
        self.call("directory", how, [] if how == face.WATCH_BROKEN else entries)

    def shifts(self) -> None:
        """Has a unit drain, leave, return or restart, perhaps with another build."""
        name = self.c.one_of(*self.fleet)
        health = self.c.one_of(face.READY, face.READY, face.DRAINING, face.GONE)
        build = self.c.one_of(self.fleet[name].build, self.build, self.build + 1)
        since = self.now - self.c.one_of(0, SECOND) if self.c.chance(0.5) else self.fleet[name].started_at
        self.fleet[name] = self.fleet[name]._replace(health=health, build=build, started_at=since)

    def asks(self) -> None:
        place = self.c.below(len(self.settings.routes))
        route, req = self.settings.routes[place], f"q{self.made}"
        left = int(route.timeout * self.c.between(0.3, 1))
        key = self.c.below(6) if self.c.chance(0.7) else None
        self.rules.reqs[req] = rq = Asked(route, place, key, self.now + left)
        self.live.append(rq)
        self.rules.took.append((self.now, place))
        self.call("new_req", req, route.name, "", key, left, self.c.chance(0.2))
        if self.c.chance(0.05):
            self.at(left * self.c.fraction(), self.leaves, req)
        if self.c.chance(0.1):
            self.at(left * self.c.fraction(), self.streams, req)

    def leaves(self, req: str) -> None:
        if not self.rules.reqs[req].final:
            self.rules.reqs[req].final = "withdrawn"
            self.call("withdrawn", req)

    def streams(self, req: str) -> None:
        if self.rules.reqs[req].out():
            self.call("streaming", req, len(self.rules.reqs[req].tries) - 1)

    def play(self) -> None:
        c = self.c
        self.call("start")
        if c.chance(0.9):
            self.lists()
        self.tells()
        for work, least, most in (
            (self.asks, 60, 160),
            (self.shifts, 0, 12),
            (self.lists, 3, 20),
            (self.tells, 2, 40),
        ):
            burst = c.between(0.1, 1)
            for _ in range(int(c.between(least + 1, most))):
                self.at(self.span * c.fraction() * burst, work)
        for _ in range(c.below(20)):
            self.at(self.span * c.fraction(), lambda: (self.moves(c.chance(0.7)), self.tells()))
        for _ in range(c.below(4)):
            self.at(
                self.span * c.fraction(),
                lambda: self.call("complaint", c.one_of(*self.fleet), SECOND, self.settings.routes[0].name),
            )
        while self.heap and (self.now < self.end or self.live):
            self.now, _, work, args = heapq.heappop(self.heap)
            work(*args)
        assert self.wakes < 50 + 2 * (self.now - self.end + self.span) / (10 * self.settings.tick), (
            "too many timers"
        )
        assert all(rq.final for rq in self.rules.reqs.values()), "rule 1: no answer"


@pytest.mark.parametrize("first", range(0, DRAWS, AT_ONCE))
def test_the_five_rules_hold_under_drawn_settings(first: int) -> None:
    for seed in range(first, first + AT_ONCE):
        world = World(seed)
        try:
            world.play()
        except Exception as error:
            raise AssertionError(f"seed {seed}: {type(error).__name__} {error}\n{world.s}") from error


# a configuration's fields, each as another customer may have it

AT = f"{RELAY_HOST}:6543"
MEMBER = {
    "id": "s-0",
    "host_port": f"{STAND_IN_HOST}:6543",
    "locality": "a",
    "phase": "active",
    "revision_no": 1,
}
LONG_NAME = "nightly-reconciliation-of-partner-ledger"
TWENTY = [route_settings(f"r{place}", "idempotent") for place in range(20)]
GONE = object()


def root(*changes: tuple[str, object]) -> dict:
    """Returns a configuration with fields set by their paths, or removed."""
    made = copy.deepcopy(
        written(
            "n0",
            AT,
            f"{STAND_IN_HOST}:1",
            f"{STAND_IN_HOST}:2",
            {"revision": 1, "complete": True, "members": [MEMBER]},
            PLATFORM_SETTINGS,
        )
    )
    for path, value in changes:
        *steps, last = [int(step) if step.isdecimal() else step for step in path.split(".")]
        branch = made
        for step in steps:
            branch = branch[step]
        if value is GONE:
            branch.pop(last)
        else:
            branch[last] = value
    return made


@pytest.mark.parametrize(
    "changes",
    [
        [("settings.classes", [route_settings("q", "idempotent")])],
        [("settings.classes", TWENTY)],
        [("settings.classes.0.name", LONG_NAME)],
        [("settings.classes.0.aim_stretch", 3.0)],
        [("settings.classes.0.group", "none")],
        [("settings.classes.0.group", GONE)],
        [("settings.customers", "")],
        [("settings.customers", [])],
        [("settings.domain.warm_keys", True)],
        [("settings.novel", {"deep": [1, None]}), ("novel", None), ("limits.cores", GONE)],
        [("settings.domain.rings", [1.0]), ("settings.domain.most_shares", [1.0])],
        [("settings.domain.rings", "1.0"), ("settings.domain.most_shares", "1.0")],
        [
            ("settings.domain.rings", [k / 10 for k in range(1, 11)]),
            ("settings.domain.most_shares", [1.0] * 10),
        ],
        [("settings.limits.max_attempts", 0)],
        [("settings.classes.1.memory_span", 0)],
        [("settings.obligations.stop_sending_within", 0)],
        [("settings.domain.counted_over", 0)],
        [("settings.obligations.must_ask_in", 0), ("settings.discovery", "ask")],
        [("settings.domain.ballot_ttl", 0)],
        [("settings.limits.conn_idle", 0)],
        [(f"settings.classes.{place}.worth", 0.0) for place in range(3)],
        [("settings.classes.0.worth", -1)],
        [("limits.sockets", 64), ("limits.memory_mb", 16)],
        [("limits.sockets", 32), ("limits.memory_mb", 1)],
        [("settings.me", 7)],
        [("settings.balancers", 9)],
        [("peers", [])],
        [("peers", [AT] * 40)],
        [
            ("settings.limits.peer_messages", False),
            ("peers", GONE),
            ("peers_all", GONE),
            ("peer_listen", GONE),
        ],
        [("settings.classes.0.memory_span", GONE)],
        [("settings.classes.2.memory_span", None)],
        [("settings.limits.retry_after", False), ("settings.limits.max_retry_after", GONE)],
        [("settings.obligations.must_ask_in", None)],
        [("settings.limits.cancel", False)],
        [("settings.limits.cancel", GONE)],
        [("settings.reporting.names", [])],
        [("settings.reporting.names", GONE)],
        [("settings.reporting.names", None)],
        [("known.members", [])],
        [("known.members.0.cell", 2), ("known.members.0.flavor", None), ("known.members.0.novel", 1)],
        [("pipeline.news.phase", "Aborting"), ("pipeline.news.stage", 9)],
        *(
            [
                ("settings.tick", tick),
                *(
                    (f"settings.classes.{place}.{name}", value)
                    for place in range(3)
                    for name, value in (("aim", aim), ("deadline", 1.2 * aim))
                ),
            ]
            for tick in (1, 10)
            for aim in (50, 20_000)
        ),
        *([("settings.obligations.warm_after", value)] for value in (0.5, 30_000)),
        *([("settings.limits.connect_timeout", value)] for value in (50, 2000)),
    ],
)
def test_a_configuration_that_is_served(changes: list) -> None:
    decoded = configuration.decode(root(*changes))
    balancer, now = Balancer(decoded.settings, decoded.seed, 100 * SECOND), 100 * SECOND
    balancer.start(now)
    balancer.directory(now, face.CACHED, [entry for entry, _ in decoded.known.entries])
    balancer.stage(now, *decoded.news[:3], False, face.COUNTED, *decoded.news[3:])
    for number in range(40):
        now += SECOND // 10
        for route in decoded.settings.routes:
            results = balancer.new_req(now, f"{route.name}/{number}", route.name, "", None, SECOND, False)
            assert [verb for verb, *_ in results if verb in (face.SEND, face.SHED, face.ERROR)]
            for verb, *rest in results:
                if verb == face.SEND:
                    balancer.outcome(now, rest[0], 0, rest[1], face.OK, 1, True, {})
        assert all(len(rest[-1]) <= 256 for verb, *rest in balancer.timer(now, "beat") if verb == face.TELL)


@pytest.mark.parametrize(
    "path, value, message",
    [
        ("settings.domain.rings", [], "rings"),
        ("settings.domain.most_shares", "", "most_shares"),
        ("settings.domain.rings", [0.1, 0.5, 1.0], "a cap for 2 stages"),
        ("settings.domain.rings", [0.1, float("nan")], "rings"),
        ("settings.domain.rings", [0.1, None], "rings"),
        ("settings.domain.rings", 1.0, "rings"),
        ("settings.domain.cap_scope", "per_tenant", "cap_scope"),
        ("settings.classes.1.group", "rack", "group"),
        ("settings.classes.1.group", GONE, "group"),
        ("settings.tick", 1e306, "tick"),
        ("settings.me", 1e300, "me"),
        ("settings.tick", None, "tick"),
        ("settings.tick", float("inf"), "tick"),
        ("settings.classes", {}, "classes"),
        ("settings", [], "settings"),
        ("settings.classes", ["read"], "classes.0."),
        ("settings", None, "settings"),
        ("pipeline.news", None, "news"),
        ("pipeline.news", {}, "news"),
        ("pipeline.news.age_ms", GONE, "news"),
        ("pipeline.news.cap", 2, "news"),
        ("pipeline", [], "pipeline"),
        ("known", [], "known"),
        ("known", None, "known"),
        ("known.members", None, "known"),
        ("known.members", [None], "known"),
        ("known.revision", -1, "known"),
        ("known.complete", GONE, "known"),
        ("peers", GONE, "peers"),
        ("peers", None, "peers"),
        ("peers", [None], "peers"),
        ("peers_all", None, "peers_all"),
        ("peer_listen", GONE, "peer_listen"),
        ("listen", "a..b:1", "listen"),
        ("listen", "a\0b:1", "listen"),
        ("listen", "a" * 70 + ":1", "listen"),
        ("listen", f"{RELAY_HOST}:0", "listen"),
        ("seed", 7, "seed"),
        ("limits", None, "limits"),
        ("limits.sockets", "many", "sockets"),
        ("limits.memory_mb", 0, "memory_mb"),
    ],
)
def test_a_configuration_that_is_not_served_is_one_line(
    tmp_path: Path, path: str, value: object, message: str
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(root((path, value))))
    with pytest.raises(configuration.ConfigError) as raised:
        configuration.read(str(file))
    assert message in str(raised.value) and "\n" not in str(raised.value)


def test_news_of_a_stage_that_the_settings_lack_is_told_at_the_start(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(root(("pipeline.news.phase", "Progressing"), ("pipeline.news.stage", 2))))
    with pytest.raises(configuration.ConfigError, match=r"stage 2, which 'settings\.domain\.rings' lacks"):
        configuration.read(str(file))


@pytest.mark.parametrize("name", ["q", LONG_NAME, "r\u00e4ttning", "prix/\u00e9t\u00e9", "a.b:c"])
def test_a_routes_name_is_found_in_a_statement(name: str) -> None:
    words = build_query("read").replace("c=read", f"c={name}").encode()
    statement = wire.parse_statement(words)
    assert (statement.route, statement.left_ms) == (name, 2000)
    assert statement.with_wait(7)[5:-1] == words.replace(b"2000", b"7")


def test_a_configuration_as_large_as_any_keeps_its_messages_short() -> None:
    rows = [(place, 9, 1, 8, 100.0, 9, 1, 8, 100.0, 1300.0) for place in range(20)]
    sums = messages.pack_sums(1, 2, 3, 0, rows)
    heard = [messages.unpack(datagram, 20)[1].rows for datagram in sums]
    assert all(len(datagram) <= 256 for datagram in sums) and sorted(
        place for datagram in heard for place in datagram
    ) == list(range(20))
    word = messages.pack_report(messages.VoterReport(1, 2, 3, 9, (0.5, 0.2, 0.1), (0.5,) * 20, 0.1))
    assert len(word) <= 256 and len(messages.unpack(word, 20)[1].latency_ratios) == 20


FAR, LEAST, MOST_REAL = 1 << 60, 1e-300, 3.4028234663852886e38  # beyond each field; least; most of 32 bits


@pytest.mark.parametrize(
    "packed, expected",
    [
        (lambda: messages.pack_sums(1, 2, 60_000, 65_536, [], 65_536)[0], (1, 2, 60_000, 65_535, 65_535, {})),
        (
            lambda: messages.pack_sums(1, 2, 3, FAR, [(0, FAR, -1, FAR, 1e99, *(FAR,) * 3, 1e99, math.inf)])[
                0
            ],
            (
                1,
                2,
                3,
                65_535,
                0,
                {
                    0: [
                        4_294_967_295,
                        0,
                        4_294_967_295,
                        MOST_REAL,
                        *(4_294_967_295,) * 3,
                        MOST_REAL,
                        MOST_REAL,
                    ]
                },
            ),
        ),
        (
            lambda: messages.pack_report(
                messages.VoterReport(1, 2, 60_000, FAR, (7.0, -1.0), (FAR, LEAST), math.inf)
            ),
            (1, 2, 60_000, 65_535, (1.0, 0.0), (2 ** (127 / 8), 0.0), 2 ** (127 / 8)),
        ),
        (lambda: messages.pack_loads([(9, FAR, 1.6, math.inf, -3)]), {9: [255, 2, 255, 0]}),
        (lambda: messages.pack_suspicions(7, [(9, FAR), (8, True)]), (7, [(9, 255), (8, 1)])),
    ],
    ids=["complaints", "sums", "word", "loads", "doubts"],
)
def test_values_beyond_a_field_are_sent_as_its_limit(packed: Callable[[], bytes], expected: object) -> None:
    unpacked = packed()
    assert len(unpacked) <= messages.MAX_BYTES and messages.unpack(unpacked, 2)[1] == expected


def test_more_complaints_than_a_field_holds_are_sent() -> None:
    """The counts of reqs and the rest of a heartbeat's work are not lost because of them."""
    sender, other = (make_balancer(relay_index=me, relay_count=2) for me in (0, 1))
    now, build = 100 * SECOND, 65_535  # the highest that there is (wire, 4)
    for relay in (sender, other):
        relay.directory(
            now, face.FULL_LIST, [face.Listed(1, "a", 0, build, face.READY, 1.0, face.START_UNKNOWN_US)]
        )
    sender.state.trial.complaint_count = 65_535
    sender.complaint(now, 1, 0, "read")
    results = []
    while not results and now < 110 * SECOND:
        now += 10 * MS
        results = [
            result[2] for result in sender.timer(now, "beat") if result[0] == face.TELL and result[1] == 1
        ]
    other.peer(now, 0, results[0])
    assert (
        messages.unpack(results[0], 3)[1][2:4] == (build, 65_535)
        and len(other.state.trial.received_rows) == 2
    )


# numbers that follow a setting: what they are under the reference's settings, and at the ends


def make_balancer(**changed: object) -> Balancer:
    kept = configuration.decode(root()).settings
    aim = changed.pop("objective", SECOND)
    routes = tuple(route._replace(objective=aim, timeout=3 * aim) for route in kept.routes)
    return Balancer(kept._replace(routes=routes, **changed), 7, 100 * SECOND)


@pytest.mark.parametrize(
    "changed, beat, idle, few",
    [
        ({}, 50, 500, True),
        ({"relay_count": 20}, 50, 500, False),
        ({"objective": 50 * MS, "tick": MS}, 10, 100, True),
        ({"objective": 20 * SECOND}, 1000, 1000, False),
        ({"objective": 20 * SECOND, "vote_ttl": 3 * SECOND}, 500, 500, False),
        ({"vote_ttl": 0}, 50, 50, True),
        ({"tick": 10 * MS, "vote_ttl": SECOND}, 100, 166, True),
    ],
)
def test_timer_intervals_follow_ticks_objectives_and_votes(
    changed: dict, beat: int, idle: int, few: bool
) -> None:
    balancer = make_balancer(**changed)
    assert (balancer.timer_interval // MS, balancer.idle_timer_interval // MS, balancer.small_fleet) == (
        beat,
        idle,
        few,
    )


@pytest.mark.parametrize("objective, silent_on", [(50 * MS, 6.5), (SECOND, 6.5), (20 * SECOND, 22.25)])
def test_a_build_without_outcomes_advances_only_after_its_reqs_ended(
    objective: int, silent_on: float
) -> None:
    balancer, now = (
        make_balancer(objective=objective, relay_index=0, relay_count=1, stage_shares=(0.5, 1.0)),
        100 * SECOND,
    )
    listed = [
        face.Listed(name, "a", 0, build, face.READY, 1.0, since)
        for name, build, since in ((1, 5, face.START_UNKNOWN_US), (2, 5, face.START_UNKNOWN_US), (3, 6, now))
    ]
    balancer.directory(now, face.FULL_LIST, listed)
    balancer.stage(now, 6, 0, face.ON_TRIAL, False, face.COUNTED, 0.1, 0)
    votes = []
    while not votes and now < 200 * SECOND:
        now += 10 * MS
        votes = [result for result in balancer.timer(now, "beat") if result[0] == face.VOTE]
    assert votes == [(face.VOTE, 6, 0, face.VOTE_ADVANCE)]
    assert silent_on <= (now - 100 * SECOND) / SECOND <= silent_on + 1.1


@pytest.mark.parametrize("complaint_share", [0.0, 0.3])
@pytest.mark.parametrize(
    "control, verdict", [("share", face.VOTE_ADVANCE), ("any", face.VOTE_ADVANCE), ("clocked", None)]
)
def test_a_build_without_outcomes_is_held_good_with_any_number_of_routes(
    control: str, verdict: int | None, complaint_share: float
) -> None:
    """Without complaints, the prior of a failing build is the bound itself: rounding must not decide."""
    for many in range(1, 21):
        balancer, now = (
            make_balancer(
                relay_index=0,
                relay_count=1,
                release_control=control,
                complaint_share=complaint_share,
                may_message_peers=False,
                vote_ttl=60 * SECOND,
            ),
            100 * SECOND,
        )
        routes = tuple(balancer.settings.routes[0]._replace(name=f"r{place}") for place in range(many))
        balancer = Balancer(balancer.settings._replace(routes=routes), 7, now)
        balancer.directory(now, face.FULL_LIST, fleet(u1=5, u2=5, u3=6, u4=6))
        balancer.stage(now, 6, 0, face.ON_TRIAL, False, face.COUNTED, 0.1, 0)
        votes = [
            result
            for step in range(1, 100)
            for result in balancer.timer(now + step * 100 * MS, "beat")
            if result[0] == face.VOTE
        ]
        assert [vote[3] for vote in votes][:1] == ([] if verdict is None else [verdict]), many


@pytest.mark.parametrize(
    "warm_after, beside, blamed",
    [(4.5, 0.9, True), (4.5, 1.1, False), (30, 6, True), (30, 7, False), (0.5, 0.1, True), (0.5, 0.2, False)],
)
def test_units_of_similar_age_are_compared_by_the_warm_up_time(
    warm_after: float, beside: float, blamed: bool
) -> None:
    balancer, now = make_balancer(warm_up_time=int(warm_after * SECOND)), 100 * SECOND
    balancer.directory(
        now,
        face.FULL_LIST,
        [
            face.Listed(1, "a", 0, 6, face.READY, 1.0, now - 50 * SECOND),
            face.Listed(2, "a", 0, 6, face.READY, 1.0, now - 50 * SECOND + int(beside * SECOND)),
        ],
    )
    balancer.state.units[2].recent_outcomes = 40.0
    assert balancer._is_machine_fault(now, balancer.state.units[1]) is blamed


def test_a_repeated_lower_cap_binds_no_later() -> None:
    """News repeats itself: as the answer to a vote, and each time that the platform sends it."""
    balancer, now = (
        make_balancer(cap_free_tries=0.0, cap_window=60 * SECOND, drain_grace=2 * SECOND),
        100 * SECOND,
    )
    balancer.directory(
        now, face.FULL_LIST, [face.Listed(1, "a", 0, 6, face.READY, 1.0, face.START_UNKNOWN_US)]
    )
    balancer.stage(now, 6, 1, face.ON_TRIAL, False, face.COUNTED, 1.0, 0)
    sent = []
    for step in range(40):
        now += SECOND // 10
        balancer.stage(now, 6, 1, face.ROLLING_BACK, False, face.COUNTED, 0.1, 0)
        sent.append(balancer.new_req(now, f"q{step}", "read", "", None, SECOND, False)[-1][0] == face.SEND)
        if sent[-1]:
            balancer.outcome(now, f"q{step}", 0, 1, face.OK, MS, True, {})
    assert all(sent[:20]) and sum(sent[20:]) <= 4, "told 0.1 of 40 reqs, two seconds ago and since"


Asking = tuple[int, str, int | None, int]  # when, which route, its key, how long the client waits


def played(
    balancer: Balancer, asked: Iterable[Asking], answers: Callable[[int], tuple[str, int]]
) -> list[tuple]:
    """Returns what a relay does with reqs whose tries end as their units answer: time, action, the rest."""
    heap, actions, tries = [], [], Counter()

    def heed(now: int, results: list[tuple]) -> None:
        for result in results:
            actions.append((now, *result))
            if result[0] == face.SEND:
                _, req, unit, limit = result
                status, lag = answers(unit)
                status, lag = (status, lag) if lag < limit else (face.TIMEOUT, limit)
                heapq.heappush(heap, (now + lag, req, tries[req], unit, status, lag))
                tries[req] += 1

    for step, (at, route, key, left) in enumerate(asked):
        while heap and heap[0][0] <= at:
            now, *ended = heapq.heappop(heap)
            heed(now, balancer.outcome(now, *ended, ended[3] == face.OK, {}))
        if at >= balancer.next_wake_at:
            heed(at, balancer.timer(at, "beat"))
        heed(at, balancer.new_req(at, f"{step}/{route}/{key}", route, "", key, left, False))
    return actions


def fleet(**builds: int) -> list[face.Listed]:
    """Returns units that have run for long, named u1, u2 and so on, with their builds."""
    return [
        face.Listed(int(name[1:]), "a", 0, build, face.READY, 1.0, face.START_UNKNOWN_US)
        for name, build in builds.items()
    ]


@pytest.mark.parametrize("allowed", [True, False])
def test_reqs_at_a_silent_unit_are_cancelled_only_if_allowed(allowed: bool) -> None:
    balancer = make_balancer(may_cancel=allowed)
    balancer.directory(100 * SECOND, face.FULL_LIST, fleet(u1=5, u2=5, u3=5, u4=5))
    results = played(
        balancer,
        [(100 * SECOND + step * 20 * MS, "read", None, 3 * SECOND) for step in range(200)],
        lambda unit: (face.OK, (20 if unit > 1 else 60_000) * MS),
    )
    assert any(verb == face.CANCEL for _, verb, *_ in results) is allowed
    assert balancer.state.units[1].ejected_until > 0


@pytest.mark.parametrize("longer", [1.2, 3.0])
def test_a_silent_unit_is_ejected_however_short_clients_wait(longer: float) -> None:
    """Clients wait for a third of the route's time; at ten reqs a second, tries at a unit do not overlap."""
    balancer, left = make_balancer(relay_count=50), int(0.34 * longer * SECOND)
    balancer = Balancer(
        balancer.settings._replace(
            routes=tuple(route._replace(timeout=int(longer * SECOND)) for route in balancer.settings.routes)
        ),
        7,
        0,
    )
    balancer.directory(0, face.FULL_LIST, fleet(u1=5, u2=5, u3=5, u4=5, u5=5))
    results = played(
        balancer,
        [(step * 100 * MS, "read", None, left) for step in range(400)],
        lambda unit: (face.OK, (30 if unit > 1 else 60_000) * MS),
    )
    assert sum(verb == face.SEND and rest[1] == 1 for _, verb, *rest in results) <= 12


@pytest.mark.parametrize("worth", [0.0, 0.001, 0.1, 5.0])
@pytest.mark.parametrize("beside", [0.0, 5.0])
def test_low_earning_reqs_are_served_while_there_is_capacity(worth: float, beside: float) -> None:
    """A hundred reqs a second, each answered in a tenth of its objective; at first some are shed."""
    balancer = make_balancer()
    routes = tuple(route._replace(worth=beside) for route in balancer.settings.routes[1:])
    balancer = Balancer(
        balancer.settings._replace(routes=(balancer.settings.routes[0]._replace(worth=worth), *routes)), 7, 0
    )
    balancer.directory(0, face.FULL_LIST, fleet(**{f"u{unit}": 5 for unit in range(1, 11)}))
    names = [route.name for route in balancer.settings.routes]
    results = played(
        balancer,
        [(step * 10 * MS, names[step % 3], None, 3 * SECOND) for step in range(600)],
        lambda unit: (face.OK, 100 * MS),
    )
    sent = sum(verb == face.SEND and "read" in rest[0] for _, verb, *rest in results)
    assert sent > 0.8 * 600 / 3


@pytest.mark.parametrize("keys", [30, 100])
def test_sticky_keys_stay_within_the_cap(keys: int) -> None:
    """One machine of 34 is on trial, at a cap of twice its part; a key's further reqs stay there."""
    refused, there = 0, 0
    for me in range(6):
        balancer = make_balancer(
            sticky_keys=True,
            relay_count=50,
            relay_index=me,
            stage_caps=(0.06, 1.0),
            cap_free_tries=3.0,
            may_message_peers=False,
        )
        balancer.directory(
            0, face.FULL_LIST, fleet(**{f"u{unit}": 5 + (unit == 34) for unit in range(1, 35)})
        )
        balancer.stage(0, 6, 0, face.ON_TRIAL, False, face.COUNTED, 0.06, 0)
        c = Draw(me)
        results = played(
            balancer,
            [(step * 10 * MS, "read", int(keys ** c.fraction()), 3 * SECOND) for step in range(1000)],
            lambda unit: (face.OK, 20 * MS),
        )
        refused += sum(verb == face.SHED for _, verb, *_ in results)
        there += sum(verb == face.SEND and rest[1] == 34 for _, verb, *rest in results)
    assert refused <= 0.08 * 6000 and there >= 0.01 * 6000


def test_keys_served_by_a_released_build_stay_with_it_too() -> None:
    """The earlier machines are listed for a while after the release."""
    balancer, at = make_balancer(sticky_keys=True), {}
    balancer.directory(0, face.FULL_LIST, fleet(u1=5, u2=5, u3=6))
    balancer.stage(0, 6, 1, face.RELEASED, False, face.COUNTED, 1.0, 0)
    results = played(
        balancer,
        [(step * 50 * MS, "read", step % 10, 3 * SECOND) for step in range(200)],
        lambda unit: (face.OK, 20 * MS),
    )
    for _, verb, *rest in results:
        if verb == face.SEND:
            key = rest[0].rpartition("/")[-1]
            assert rest[1] == 3 or at.get(key) != 3
            at[key] = rest[1]


@pytest.mark.parametrize(
    "votes_to_advance, votes_to_roll_back, bad",
    [(1, 1, False), (1, 1, True), (5, 1, False), (1, 5, True), (20, 1, False)],
)
def test_as_many_relays_vote_as_a_move_needs(
    votes_to_advance: int, votes_to_roll_back: int, bad: bool
) -> None:
    voted = Counter()
    for me in range(9):
        balancer = make_balancer(
            relay_count=9,
            relay_index=me,
            votes_to_advance=votes_to_advance,
            votes_to_roll_back=votes_to_roll_back,
            stage_caps=(1.0, 1.0),
        )
        balancer.directory(0, face.FULL_LIST, fleet(u1=5, u2=5, u3=6, u4=6))
        balancer.stage(0, 6, 0, face.ON_TRIAL, False, face.COUNTED, 1.0, 0)
        results = played(
            balancer,
            [(step * 20 * MS, "read", None, 3 * SECOND) for step in range(250)],
            lambda unit: (face.FAILED if bad and unit > 2 else face.OK, 20 * MS),
        )
        voted.update({rest[-1] for _, verb, *rest in results if verb == face.VOTE})
    need = max(votes_to_advance, votes_to_roll_back)
    assert voted[face.VOTE_ROLL_BACK if bad else face.VOTE_ADVANCE] == (3 if need == 1 else 9)


@pytest.mark.parametrize("warm_after", [0.5, 4.5, 20, 30])
def test_a_build_that_fails_goes_back_however_long_machines_warm(warm_after: float) -> None:
    balancer = make_balancer(
        warm_up_time=int(warm_after * SECOND), stage_caps=(1.0, 1.0), relay_count=1, relay_index=0
    )
    young = [unit._replace(started_at=0) if unit.unit > 2 else unit for unit in fleet(u1=5, u2=5, u3=6, u4=6)]
    balancer.directory(0, face.FULL_LIST, young)
    balancer.stage(0, 6, 0, face.ON_TRIAL, False, face.COUNTED, 1.0, 0)
    results = played(
        balancer,
        [(step * 20 * MS, "read", None, 3 * SECOND) for step in range(1000)],
        lambda unit: (face.FAILED if unit > 2 else face.OK, 20 * MS),
    )
    assert next(rest[-1] for _, verb, *rest in results if verb == face.VOTE) == face.VOTE_ROLL_BACK


def test_limits_follow_the_settings() -> None:
    limit_values = limits(SettingsTree(root()))
    assert (limit_values.write_timeout, limit_values.max_idle, limit_values.connect_timeout) == (
        5 * SECOND,
        29 * SECOND,
        250 * MS,
    )
    slow = [(f"settings.classes.{place}.deadline", 20_000.0) for place in range(3)]
    limit_values = limits(SettingsTree(root(*slow, ("settings.limits.conn_idle", 1000.0))))
    assert limit_values.write_timeout > 20 * SECOND and limit_values.max_idle == 900 * MS


# and a process of each kind that answers


def settings_of(change: dict) -> dict:
    settings_copy = copy.deepcopy(PLATFORM_SETTINGS)
    for path, value in change.items():
        branch = settings_copy
        *steps, last = path.split(".")
        for step in steps:
            branch = branch[int(step) if step.isdecimal() else step]
        branch[last] = value
    return settings_copy


@pytest.fixture
def customer(serve: Callable[..., "Served"], monkeypatch: pytest.MonkeyPatch) -> Callable[..., "Served"]:
    def start(change: dict, **kinds: object) -> "Served":
        monkeypatch.setattr(sys.modules[serve.__module__], "PLATFORM_SETTINGS", settings_of(change))
        return serve(**kinds)

    return start


def timed(aim: float, deadline: float) -> dict:
    return {
        f"classes.{place}.{name}": value
        for place in range(3)
        for name, value in (("aim", aim), ("deadline", deadline))
    }


@pytest.mark.parametrize(
    "change, kinds, route",
    [
        (
            {"tick": 1.0, "limits.connect_timeout": 50.0, "limits.conn_idle": 1000.0} | timed(50.0, 200.0),
            {},
            "read",
        ),
        (
            {"tick": 10.0, "limits.connect_timeout": 2000.0, "discovery": "ask"} | timed(20_000.0, 20_000.0),
            {},
            "mark",
        ),
        (
            {
                "classes": [route_settings(LONG_NAME, "idempotent")],
                "domain.rings": [1.0],
                "domain.most_shares": [1.0],
            },
            {},
            LONG_NAME,
        ),
        (
            {"classes": [*TWENTY, route_settings("q", "idempotent")], "customers": "", "balancers": 40},
            {},
            "q",
        ),
        ({"discovery": "ask", "obligations.must_ask_in": 0, "limits.peer_messages": False}, {}, "once"),
        (
            {"obligations.stop_sending_within": 0, "domain.ballot_ttl": 300.0},
            {"sockets": 64, "memory": 16},
            "read",
        ),
    ],
)
def test_a_process_with_other_settings_answers(
    customer: Callable[..., "Served"], change: dict, kinds: dict, route: str
) -> None:
    served = customer(change, **kinds)
    wait = 190 if "tick" in change and change["tick"] == 1.0 else 2000
    for _ in range(3):
        assert served.client().ask(build_query("read", wait).replace("c=read", f"c={route},k=1"))[0] == "TDCZ"
    assert served.count("module_faults") == served.count("tasks_died") == 0
    assert "Traceback" not in served.log.read_text()


ALL_ZERO = {f"classes.{place}.worth": 0.0 for place in range(3)}
EFFECTS = [
    route_settings("pay", "at_most_once"),
    route_settings("book", "deduplicated") | {"group": "cell"},
    route_settings("move", "deduplicated") | {"group": "zone", "memory_span": 100.0},
]


@pytest.mark.parametrize(
    "change",
    [
        ALL_ZERO
        | {
            "limits.cancel": False,
            "limits.probes": False,
            "limits.retry_after": False,
            "limits.max_attempts": 1,
            "limits.may_duplicate": False,
            "limits.conn_idle": 1000.0,
            "limits.connect_timeout": 1000.0,
            "domain.keys_stay": True,
            "domain.decided_by": "majority",
            "domain.to_advance": 9,
            "obligations.stop_sending_within": 300.0,
            "obligations.warm_after": 30_000.0,
            "tick": 10.0,
        },
        timed(400.0, 400.0)
        | {
            "classes": EFFECTS,
            "domain.decided_by": "clocked",
            "domain.to_advance": 0,
            "domain.shielded": 2,
            "domain.cap_scope": "per_lane",
            "domain.complaint_share": 0.2,
            "limits.peer_messages": False,
            "limits.max_retry_after": 1.0,
            "discovery": "ask",
            "obligations.must_ask_in": 1000.0,
            "tick": 1.0,
            "obligations.start_capacity": 0.15,
            "balancers": 500,
            "reporting.via": "piggyback",
            "reporting.names": "err_rps,cpu,x0,avg_ms",
        },
    ],
)
def test_a_process_serves_every_route(customer: Callable[..., "Served"], change: dict) -> None:
    served = customer({path: value for path, value in change.items() if path == "classes"} | change)
    for route in settings_of(change)["classes"]:
        for number in range(3):
            words = build_query("read", 400).replace("c=read", f"c={route['name']},k={number}")
            assert served.client().ask(words)[0] == "TDCZ"
    assert served.count("module_faults") == served.count("tasks_died") == 0


def test_a_client_that_reads_late_is_waited_for_as_long_as_its_time_lasts(
    customer: Callable[..., "Served"],
) -> None:
    """Its req has been taken: closing the connection before its deadline would lose the answer."""
    served = customer(timed(8000.0, 12_000.0), modes="larger")
    client, asked = served.client(), 30
    for _ in range(asked):
        client.send(build_query("read", 12_000))
    time.sleep(6)  # longer than the patience with a route's 3 s
    for _ in range(asked):
        letters, _, row = client.answer()
        assert letters == "TDCZ" and row.endswith(LARGER_BLOB)
