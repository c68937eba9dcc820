"""Transfers: what is reserved against an independent count, plans against the solver's, pacing."""

from collections import Counter

import pytest

from laurelcourse.chance import Chance
from laurelcourse.fleet.books import forms, reservations
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import (
    Batch,
    Command,
    Commit,
    Fence,
    Free,
    Job,
    Link,
    Move,
    Places,
    Progress,
    Recall,
    Reserve,
    Resume,
    Shrink,
    Site,
    Stretch,
)
from laurelcourse.fleet.books.state import GRACE, SLICE
from laurelcourse.fleet.transfers import best, pace, plan

SITES, ON = "abc", {"a>b": 90, "a>c": 70, "b>a": 60, "b>c": 60, "c>a": 80, "c>b": 60, "a": 3, "b": 2, "c": 3}
PLACES = Places(tuple(Link(x, y, ON[f"{x}>{y}"] + 10, 10) for x in SITES for y in SITES if x != y),
                tuple(Site(x, ON[x]) for x in SITES))
AHEAD, S = 40, SLICE


class Play:
    """Random commands; what is reserved is counted here from the commands that were taken alone."""

    def __init__(self, seed: int) -> None:
        self.chance, self.books, self.at, self.index, self.mark = Chance(seed), Books(), 0, 0, 0
        self.jobs: dict[str, list] = {}        # job, pieces, proven, owner, recalled
        self.cap = {name: [amount] * 4000 for name, amount in ON.items()}
        self.wrong, self.taken, self.committed, self.log = Counter(), Counter(), Counter(), []
        self.fences: list[Fence] = []
        self.give(None, PLACES)
        for name in "rst":
            self.open(name)

    def give(self, fence: Fence | None, what: forms.What) -> forms.Done:
        self.index, self.mark = self.index + 1, self.mark + 1
        batch = Batch(self.at, 1, (Command(fence, self.mark, what),))
        self.log.append((batch, self.books.hash() if self.index % 50 == 0 else ""))
        for name in [one for one, there in self.jobs.items() if there[0].deadline + GRACE <= self.at]:
            del self.jobs[name]
        done = self.books.apply(self.index, batch)[0]
        self.taken[type(what).__name__, done.code] += 1
        return done

    def open(self, name: str) -> None:
        self.fences.append(self.give(None, forms.Open(name, "a")).value)

    def used(self, name: str, at: int) -> int:
        if ">" in name:
            return sum(one.rate for there in self.jobs.values() for one in there[1]
                       if one.first <= at < one.until and name in ">".join(one.way)
                       and f"{name[0]}>{name[2]}" in [f"{x}>{y}" for x, y in zip(one.way, one.way[1:],
                                                                                 strict=False)])
        return sum(there[0].slots for there in self.jobs.values() if name in (there[0].origin, there[0].to)
                   and any(one.first <= at < one.until for one in there[1]))

    def book(self, job: Job, pieces: tuple, proven: int, owner: int) -> None:
        points = [(name, at) for name in ON for at in range(self.at // S, self.at // S + AHEAD + 61)]
        before = {point: self.used(*point) for point in points}
        self.jobs[job.name] = [job, pieces, proven, owner, False]
        for name, at in points:
            if self.used(name, at) > max(self.cap[name][at], before[name, at]):
                self.wrong["over_link" if ">" in name else "over_compute"] += 1
        if sum(one.rate * (one.until - one.first) for one in pieces) < job.size - proven:
            self.wrong["half_reserved"] += 1

    def compare(self) -> None:
        first = self.at // S
        for name in ON:
            for at, room in enumerate(self.books.room(name, first, first + AHEAD + 61), first):
                much = self.cap[name][at] - self.used(name, at) - room
                if much:
                    self.wrong["leaked_reservations" if much > 0 else "half_reserved"] += 1
            over = any(self.used(name, at) > self.cap[name][at] for at in range(first, first + AHEAD + 61))
            self.wrong["over_not_told"] += over != (name in self.books.over())

    def pieces(self, job: Job) -> tuple[Stretch, ...]:
        below, made, first = self.chance.below, [], max(self.at, job.earliest) // S + 1
        third = next(one for one in SITES if one not in (job.origin, job.to))
        for _ in range(1 + below(3)):
            way = (job.origin, third, job.to) if below(3) == 0 else (job.origin, job.to)
            until = first + 1 + below(8)
            made.append(Stretch(first, until, 1 + below(60), way))
            first = until - below(2)
        return tuple(made)

    def step(self) -> None:
        below = self.chance.below
        self.at += below(S // 3)
        now, kind = self.at // S, below(100)
        fence = self.fences[-1 - below(len(self.fences))]
        if below(8):
            fence = self.books.session("rst"[below(3)]).fence
        name = sorted(self.jobs)[below(len(self.jobs))] if self.jobs else "none"
        there = self.jobs.get(name)
        if there and below(4):
            fence = next((one for one in self.fences if one.session == there[3]), fence)
        if kind < 30:
            x = below(3)
            job = Job(f"j{self.index}", "firm", SITES[x], SITES[(x + 1 + below(2)) % 3], 1 + below(250),
                      self.at, self.at + (5 + below(AHEAD - 5)) * S, 1, below(3))
            pieces = self.pieces(job)
            if not self.give(fence, Reserve(job, pieces)).code:
                self.book(job, pieces, 0, fence.session)
        elif kind < 34:
            resource = sorted(ON)[below(len(ON))]
            amount, since = below(ON[resource] + 30), now + below(10)
            self.give(None, Shrink(resource, amount, since))
            self.cap[resource][since:] = [max(0, amount - 10 * (">" in resource))] * (4000 - since)
        elif kind < 38:
            told = self.give(None, Recall((name,)))
            if there and not told.code:
                if told.value and there[4]:
                    self.wrong["told_twice"] += 1
                there[4] = there[3] > 0
                there[1] = there[1] if there[3] else ()
        elif kind < 41:
            live = next(one for one in reversed(self.fences) if self.books.session(one.name).fence == one)
            self.give(None, forms.Lapse(live.session))
            for one in self.jobs.values():
                if one[3] == live.session:
                    one[1], one[3], one[4] = () if one[4] else one[1], 0, False
            self.open(live.name)
            self.fences = self.fences[-8:]
        elif there:
            what = (Move(name, self.pieces(there[0])), Resume(name), Progress(name, below(there[0].size) + 1),
                    Progress(name, there[0].size), Commit(name), Free(name))[(kind - 41) // 10]
            done = self.give(fence, what)
            if done.code:
                return
            if there[3] != (0 if type(what) is Resume else fence.session):
                self.wrong["two_owners_acted"] += 1
            if type(what) is Move:
                self.book(there[0], what.pieces, there[2], there[3])
            elif type(what) is Resume:
                there[3] = fence.session
            elif type(what) is Progress:
                self.wrong["proven_back"] += what.proven < there[2]
                there[2] = what.proven
            else:
                del self.jobs[name]
            if type(what) is Commit:
                again = self.give(fence, what)
                self.committed[name] += 1 + (not again.code)
                self.wrong["committed_twice"] += self.committed[name] > 1

    def run(self, steps: int) -> "Play":
        for step in range(steps):
            self.step()
            if step % 25 == 0:
                self.compare()
        self.at += 10 * AHEAD * S + GRACE
        self.give(None, Recall(()))
        self.compare()
        self.wrong["leaked_reservations"] += len(self.books._state.transfers.deltas) + len(self.books.jobs())
        return self


def test_nothing_over_half_twice_or_left_behind_in_thousands_of_commands() -> None:
    taken = Counter()
    for seed in range(1, 5):
        play = Play(seed).run(1_300)
        assert not +play.wrong, (seed, play.wrong)
        taken += play.taken
        copy = Books()
        for index, (batch, before) in enumerate(play.log, 1):
            if before:
                assert copy.hash() == before
                copy = Books.restored(copy.snapshot())
            copy.apply(index, batch)
        assert copy.snapshot() == play.books.snapshot()
    assert sum(taken.values()) > 4_000
    kinds = ("Reserve", "Move", "Resume", "Progress", "Commit", "Free", "Shrink", "Recall")
    assert all(taken[kind, ""] > 20 for kind in kinds), taken
    assert all(any(code == one and count > 5 for (_, code), count in taken.items()) for one in
               ("capacity_taken", "link_shrunk", "plan_unfit", "job_held", "no_such_job", "out_of_order",
                "fenced_off")), taken


REAL = reservations._usable


def unbounded(links: bool) -> object:
    return lambda state, resource: [(0, 10**9)] if (">" in resource) == links else REAL(state, resource)


@pytest.mark.parametrize("guard, instead, count", [
    ("_usable", unbounded(True), "over_link"),
    ("_usable", unbounded(False), "over_compute"),
    ("_check_plan", lambda *_: None, "half_reserved"),
    ("_turn", lambda state, there, to: setattr(there, "state", to), "committed_twice"),
    ("free", lambda state: None, "leaked_reservations"),
])
def test_each_count_is_seen_when_its_guard_is_taken_out(guard: str, instead: object, count: str,
                                                        monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reservations, guard, instead)
    assert Play(1).run(300).wrong[count] > 0


JOB = Job("x", "f", "a", "b", 100, 0, 20 * S, 1, 1)
FULL = (Stretch(2, 4, 50, ("a", "b")),)


@pytest.mark.parametrize("commands, code, told", [
    ((Reserve(JOB, FULL),), "", {}),
    ((Reserve(JOB, FULL), Reserve(JOB._replace(name="y"), FULL)), "capacity_taken",
     {"resource": "a>b", "free": 40, "asked": 50}),
    ((Reserve(JOB._replace(slots=3), FULL),), "capacity_taken", {"resource": "b", "free": 2, "asked": 3}),
    ((Reserve(JOB, FULL), Reserve(JOB._replace(name="y"), (Stretch(2, 4, 50, ("a", "c", "b")),))), "", {}),
    ((Reserve(JOB, (Stretch(2, 4, 49, ("a", "b")),)),), "plan_unfit", {}),
    ((Reserve(JOB._replace(deadline=4 * S - 1), FULL),), "plan_unfit", {}),
    ((Reserve(JOB._replace(earliest=2 * S + 1), FULL),), "plan_unfit", {}),
    ((Reserve(JOB, (Stretch(2, 4, 50, ("a", "x", "b")),)),), "capacity_taken", {"resource": "a>x"}),
    ((Reserve(JOB, FULL), Shrink("a>b", 40, 3),
      Reserve(JOB._replace(name="y"), (Stretch(5, 15, 10, ("a", "b")),))), "link_shrunk", {"capacity": 30}),
    ((Reserve(JOB, FULL), Commit("x")), "out_of_order", {"state": "proven 0"}),
    ((Reserve(JOB, FULL), Progress("x", 60), Progress("x", 59)), "out_of_order", {}),
    ((Reserve(JOB, FULL), Progress("x", 60), Move("x", (Stretch(5, 9, 10, ("a", "b")),))), "", {}),
    ((Reserve(JOB, FULL), Progress("x", 100), Commit("x"), Reserve(JOB, FULL)), "no_such_job",
     {"end": "committed"}),
    ((Reserve(JOB._replace(slots=2), (Stretch(2, 9, 50, ("a", "b")), Stretch(3, 4, 9, ("a", "b")))),
      Reserve(JOB._replace(name="y"), (Stretch(5, 9, 25, ("a", "b")),))),
     "capacity_taken", {"resource": "b"}),
    ((Reserve(JOB, FULL), Shrink("a>b", 40, 3), Move("x", FULL)), "", {}),
    ((Reserve(JOB, FULL), Shrink("a>b", 40, 3), Move("x", (Stretch(2, 4, 51, ("a", "b")),))),
     "capacity_taken", {"resource": "a>b", "free": 30}),
    ((Reserve(JOB, FULL), Move("x", ())), "out_of_order", {"order": "park"}),
    ((Places((), ()),), "out_of_order", {}), ((Shrink("a>b", 1, 0),) * 20, "", {}),
    ((Shrink("q", 1, 0),), "definition_refused", {}),
    ((Places((Link("a", "b", 1, 2),), ()),), "out_of_order", {}),
])
def test_commands(commands: tuple, code: str, told: dict) -> None:
    play = Play(1)
    for what in commands[:-1]:
        assert not play.give(None if type(what) is Shrink else play.fences[0], what).code
    what = commands[-1]
    done = play.give(None if type(what) is Shrink else play.fences[0], what)
    assert done.code == code
    assert told.items() <= dict(done.told).items()


def test_bounds_and_forgetting(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("JOBS", "ENDED", "STEPS"):
        monkeypatch.setattr(reservations, name, 2)
    play, plan_of = Play(1), (Stretch(2, 6, 25, ("a", "b")),)
    plans = {name: Reserve(JOB._replace(name=name, slots=0), plan_of) for name in "xyz"}
    assert [play.give(play.fences[0], what).code for what in plans.values()] == ["", "", "crowded"]
    assert [play.give(None, Shrink("a>b", 90, at)).code for at in (3, 4, 5)] == ["", "", "crowded"]
    for what in (Free("x"), plans["z"], Free("y"), Free("z")):
        assert not play.give(play.fences[0], what).code
    assert [play.books.ended(name) for name in "xyz"] == ["", "freed", "freed"]
    play.at = reservations.FORGET
    play.give(None, Recall(()))
    assert [play.books.ended(name) for name in "yz"] == ["", ""]


# Plans

def instance(seed: int, jobs: int, grains: int = 24, load: int = 100) -> tuple[plan.Room, list[plan.Want]]:
    chance, grain = Chance(seed), 300
    links = {f"{x}>{y}": (10_000_000 + chance.below(20_000_000),) * grains
             for x in SITES for y in SITES if x != y}
    room = plan.Room(0, grain, S, links, {site: (8,) * grains for site in SITES})
    mean = sum(sum(one) for one in links.values()) * grain * load // 100 // jobs
    made = []
    for number in range(jobs):
        x, size = chance.below(3), mean * (50 + chance.below(100)) // 100
        first = chance.below(grains * 2 // 3)
        last = min(grains, first + 2 + chance.below(grains // 2))
        to, earnings = (x + 1 + chance.below(2)) % 3, size // 1_000_000 * (50 + chance.below(150)) // 100 + 1
        job = Job(f"j{number:03}", "f", SITES[x], SITES[to], size, first * grain * S, last * grain * S,
                  earnings, 1 + chance.below(2))
        made.append(plan.wanted(room, job))
    return room, made


def unfit(room: plan.Room, wants: list[plan.Want], made: plan.Plan) -> list[str]:
    """Held against the books themselves: every job of the plan is taken by them."""
    books, by_name = Books(), {want.job.name: want.job for want in wants}
    links = tuple(Link(*name.split(">"), free[0], 0) for name, free in room.links.items())
    sites = tuple(Site(name, free[0]) for name, free in room.sites.items())
    fence = Fence("r", 1, 1, 1)
    commands = [Command(None, 1, Places(links, sites)), Command(None, 1, forms.Open("r", "a"))]
    commands += [Command(fence, at, Reserve(by_name[name], plan.stretches(room, parts)))
                 for at, (name, parts) in enumerate(made.items(), 1)]
    return [done.code for done in books.apply(1, Batch(0, 1, tuple(commands))) if done.code]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_plans_fit_the_books_and_come_near_the_best(seed: int) -> None:
    pytest.importorskip("ortools")
    room, wants = instance(seed, 8, 6)
    greedy = plan.planned(room, wants)
    found = best.best(room, wants, 5, 1, greedy)
    assert found.proved
    assert not unfit(room, wants, greedy) and not unfit(room, wants, found.plan)
    assert plan.earned(wants, greedy) >= 0.85 * found.bound
    assert plan.earned(wants, greedy) >= plan.earned(wants, plan.first_come(room, wants))
    assert plan.earned(wants, best.chosen(room, wants, 2)) >= plan.earned(wants, greedy)
    assert best.relaxed(room, wants, 2)[0] >= plan.earned(wants, found.plan)


def test_many_jobs_keep_more_deadlines_than_first_come_first_served() -> None:
    kept = first = 0
    for seed in (1, 2, 3):
        room, wants = instance(seed, 100)
        made = plan.planned(room, wants)
        assert not unfit(room, wants, made)
        kept += plan.earned(wants, made)
        first += plan.earned(wants, plan.first_come(room, wants))
    assert kept > 1.1 * first


def flat(amount: int, slots: int = 2, over: int = 0) -> plan.Room:
    return plan.Room(0, 1, S, {"a>b": (amount,) * 10, "a>c": (over,) * 10, "c>b": (over,) * 10},
                     {site: (slots,) * 10 for site in SITES})


def held(name: str, earnings: int, rate: int, told: bool = False) -> plan.Held:
    want = plan.Want(JOB._replace(name=name, earnings=earnings, size=4 * rate), 4 * rate, 0, 4)
    return plan.Held(want, tuple((grain, rate, ("a", "b")) for grain in range(4)), told)


NEW = plan.Want(JOB._replace(name="n", earnings=105, size=400), 400, 0, 4)


@pytest.mark.parametrize("room, there, new, recall, planned", [
    (flat(100), (held("x", 5, 40), held("y", 9, 60)), (), (), ()),
    (flat(60, 2, 40), (held("x", 5, 40), held("y", 9, 60)), (), ("x",), ("x",)),       # over the third site
    (flat(40, 1), (held("x", 5, 40), held("y", 9, 40)), (), ("x",), ()),        # a slot lost: the least goes
    (flat(40, 1), (held("x", 5, 40, True), held("y", 9, 40)), (), (), ()),      # told once
    (flat(100), (held("x", 5, 40, True),), (), (), ("x",)),
    (flat(100), (held("x", 5, 40)._replace(parts=((0, 40, ("a", "b")),)),), (), ("x",), ("x",)),  # late
    (flat(100, 1), (held("x", 100, 100),), (NEW,), (), ()),                     # slightly better: no swinging
    (flat(100, 1), (held("x", 90, 100),), (NEW,), ("x",), ("n",)),
])
def test_planning_anew(room: plan.Room, there: tuple, new: tuple, recall: tuple, planned: tuple) -> None:
    changes = plan.replanned(room, there, new)
    assert (changes.recall, tuple(sorted(changes.plan))) == (recall, planned)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_after_a_shrink_and_a_lost_slot_plans_come_to_fit_again(seed: int) -> None:
    room, wants = instance(seed, 30, 12, 80)
    played = Play(seed)
    links = tuple(Link(*name.split(">"), free[0], 0) for name, free in room.links.items())
    played.give(None, Places(links, tuple(Site(name, free[0]) for name, free in room.sites.items())))
    made = plan.planned(room, wants)
    for want in wants:
        if want.job.name in made:
            reserve = Reserve(want.job, plan.stretches(room, made[want.job.name]))
            assert not played.give(played.fences[0], reserve).code
    played.at = 300 * S + 1
    for resource, amount in (("a>b", links[0].capacity // 3), ("c", 4)):
        played.give(None, Shrink(resource, amount, 600))
    books, told, earnings = played.books, [], 0
    assert books.over()
    for _ in range(4):
        seen = plan.seen(books.resources(), books.room, 600, 300, S, 10)
        there = tuple(plan.held(seen, one.job, one.proven, one.pieces, played.at // S,
                                one.state == reservations.RECALLED) for one in books.jobs())
        changes = plan.replanned(plan.whole(seen, there), there, ())
        for one in books.jobs():
            if one.state == reservations.RECALLED and one.job.name not in changes.plan:
                played.give(played.fences[0], Free(one.job.name))
                earnings += one.job.earnings
            elif one.state == reservations.RECALLED:
                new = Move(one.job.name, plan.stretches(seen, changes.plan[one.job.name]))
                assert played.give(played.fences[0], new).code in ("", "capacity_taken")
        told += (now := played.give(None, Recall(changes.recall)).value)
        assert not any(played.give(played.fences[0], Move(name, ())).code for name in now)
    assert not books.over() and told and len(told) == len(set(told))
    assert all(one.state == reservations.RESERVED for one in books.jobs())
    all_of_it = sum(want.job.earnings for want in wants if want.job.name in made)
    assert earnings < all_of_it // 2, (earnings, all_of_it, len(told))


# Pacing

def test_a_sender_keeps_to_the_rate_and_a_receiver_refuses_what_goes_beyond() -> None:
    pieces, chance = (Stretch(1, 3, 1_000, ("a", "b")), Stretch(2, 5, 3_000, ("a", "c", "b"))), Chance(7)
    send, hear, fast = (make(pieces, S, 0, 64) for make in (pace.sender, pace.receiver, pace.receiver))
    sent = now = fast_taken = 0
    by_second = Counter()
    while now < 6 * S:
        now += 1 + chance.below(30_000)
        size = min(64, send.room(now))
        if send.take(now, size):
            assert hear.take(now + chance.below(1_000), size)
            sent, by_second[now // S] = sent + size, by_second[now // S] + size
        fast_taken += 64 * fast.take(now, 64) + 64 * fast.take(now, 64) + 64 * fast.take(now, 64)
    assert by_second[0] == by_second[5] == 0 and sent > 0
    assert all(by_second[at] <= rate + max(150, rate // 20) for at, rate in
               ((1, 1_000), (2, 4_000), (3, 3_000), (4, 3_000)))
    assert fast_taken <= 11_000 + (1_000 + 3_000) * 2 * pace.SLACK // S + 4 * 64
    assert not send.take(now, -1) and send.due(now, 1) == 0
    early, late = (pace.receiver(pieces, S, at, 64) for at in (0, 5 * S))
    assert early.take(S - 1, 64) and not early.take(S - 1, 300) and late.take(5 * S + pace.SLACK - 1, 64)
    fresh = pace.sender(pieces, S, 0, 64)
    due = fresh.due(0, 50)
    assert not fresh.take(due - 1, 50) and fresh.take(due, 50) and due == S + 50_000
