"""Workflows: the books' rules by script, and owners that die, pause and wake at every point."""

import json
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

import pytest

from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books import workflows as w
from laurelcourse.fleet.books.apply import HASH_BYTES, Books
from laurelcourse.fleet.errors import ERRORS_BY_CODE
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.fleet.workflows import run as r
from laurelcourse.fleet.workflows.takeover import Takeover, TakeoverLimits, rank
from laurelcourse.prng import Prng
from laurelcourse.settings import DEDUPED, NON_RETRIABLE

MS = 1000
UNDO = d.Send("release", "RELEASE {who}", 100 * MS)


def hold(name: str) -> d.Step:
    return d.Step(name, d.Send("hold", f"HOLD {name} {{who}}", 100 * MS), UNDO)


NOTICE = d.Step("notice", d.Send("notice", "TELL {who}", 100 * MS, NON_RETRIABLE), None, fails=d.HARMLESS)
COMMIT = d.Step("commit", d.Send("commit", "COMMIT", 100 * MS), None, no_return=True)
LOOK = d.Step("look", d.Send("look", "LOOK", 100 * MS), None, effect=False)
BOOKING = d.Definition(
    "booking",
    5_000 * MS,
    3,
    10 * MS,
    100 * MS,
    (hold("room"), hold("device"), hold("one"), hold("two"), NOTICE._replace(no_return=True)),
)
# For the explorer: a req may outlast several leases.
KINDS = [
    BOOKING._replace(steps=tuple(one._replace(send=one.send._replace(timeout=300 * MS)) for one in steps))
    for steps in (BOOKING.steps, (hold("room"), LOOK, hold("one"), COMMIT, NOTICE))
]
SHORT = BOOKING._replace(steps=(hold("room"), COMMIT, NOTICE))
KEYED = SHORT._replace(
    steps=(hold("room"), COMMIT._replace(send=COMMIT.send._replace(repeat=DEDUPED, memory=500 * MS)), NOTICE)
)
ZONAL = SHORT._replace(
    steps=(hold("room"), COMMIT._replace(send=COMMIT.send._replace(repeat=DEDUPED)), NOTICE)
)
PAID_STEP = hold("room")._replace(undo=UNDO._replace(repeat=DEDUPED, memory=500 * MS))
PAID = SHORT._replace(steps=(PAID_STEP, COMMIT, NOTICE))
LISTS = {
    "booking": BOOKING,
    "short": SHORT,
    "keyed": KEYED,
    "paid": PAID,
    "zonal": ZONAL,
    "harmless": PAID._replace(steps=(PAID_STEP._replace(harmless=True), COMMIT, NOTICE)),
    "none": SHORT._replace(steps=()),
}
OUTCOMES = {"ok": f.COMPLETED, "never": f.NEVER_RAN, "unknown": f.UNKNOWN, "failed": f.FAILED}

# `begin WHO MARK NAME`, `do WHO STEP TRY [OUTCOME]`, `undo ..`: with an outcome the result, else the intent
SCRIPTS = """done: do a 0 1; do a 0 1 ok = forward; do a 1 1; do a 1 1 ok; do a 2 1; do a 2 1 ok = done
 ; do a 2 2 = out_of_order
order: do a 1 1 = out_of_order; do a 0 2 = out_of_order; do a 0 1; do a 0 2 = out_of_order
 ; do a 1 1 = out_of_order; do a 0 2 ok = out_of_order; undo a 0 1 = out_of_order; do a 3 1 = unreadable
not the owner: do b 0 1 = fenced_off; do a 0 1; do b 0 1 ok = fenced_off; adopt b 1 = out_of_order
never ran: do a 0 1; do a 0 1 never = forward; leave b = undone
tried again: do a 0 1; do a 0 1 never; do a 0 2; do a 0 2 ok; leave b = undoing; undo a 0 1
 ; undo a 0 1 ok = undone
unknown: do a 0 1; do a 0 1 unknown = undoing; do a 1 1 = out_of_order; undo a 0 1
 ; undo a 0 1 ok = undone
refused: do a 0 1; do a 0 1 failed = undone
left while sent: do a 0 1; leave b = undoing; undo a 0 1 = out_of_order; do a 0 1 ok = undoing
 ; undo a 0 1
point refused: do a 0 1; do a 0 1 ok; do a 1 1; leave b = forward; do a 1 1 failed = undoing
point passed: do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 unknown = forward; leave a = forward
 ; undo a 0 1 = out_of_order; do a 1 2; do a 1 2 failed = forward; do a 1 3; do a 1 3 never = stuck
 ; settle b 0 by_hand = out_of_order; settle b 1 again = forward; do a 1 4; do a 1 4 ok = forward
 ; do a 2 1; do a 2 1 unknown = done
notice lost: do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 ok; do a 2 1; do a 2 1 never = done
stuck: do a 0 1; do a 0 1 unknown; undo a 0 1; undo a 0 1 failed = undoing; undo a 0 2
 ; undo a 0 2 unknown = undoing; undo a 0 3; undo a 0 3 never = stuck; undo a 0 4 = out_of_order
 ; settle b 0 again = undoing; undo a 0 4; undo a 0 4 ok = undone
by hand: do a 0 1; do a 0 1 unknown; undo a 0 1; undo a 0 1 failed; undo a 0 2; undo a 0 2 failed
 ; undo a 0 3; undo a 0 3 failed; settle b 0 by_hand = undone
taken over: do a 0 1; lapse 1; adopt b 2 = out_of_order; adopt b 1 = forward; adopt b 1 = out_of_order
 ; do a 0 1 ok = lapsed_lease; do b 0 1 unknown = out_of_order; at 100000
 ; do b 0 1 unknown = out_of_order; at 100020; do b 0 1 unknown = undoing; undo b 0 1
 ; undo b 0 1 unknown = undoing
leader's word: give 2 1 = out_of_order; lapse 1; give 3 1 = lapsed_lease; give 2 1 = forward
 ; give 2 1 = out_of_order
same mark: begin b m1 short = 1 forward; begin b m1 booking = 1 forward; begin b m2 short = 2 forward
bounds: begin a m2 short; begin b m3 short = crowded; leave b = undone; begin b m3 short = 3 forward
behind: do a 0 1; do a 0 1 unknown; begin b m2 short = crowded; undo a 0 1; undo a 0 1 ok
 ; begin b m2 short = 2 forward
forgotten: leave a = undone; at 1000018; begin b m1 short = 1 undone; at 1000020
 ; leave a = no_such_workflow; begin b m1 short = 2 forward
flawed: begin a m2 none = definition_refused
"""


class Script:
    def __init__(self, kind: str = "short") -> None:
        self.books, self.at, self.marks = Books(), 20, 0
        self.fences: dict[str, f.Fence] = {}
        self.batches: list[f.Batch] = []
        self.do(None, f.Limits(2, 2, 1, 1000 * MS))
        self.fences = {name: self.do(None, f.Open(name, "x"), 7).value for name in "ab"}
        assert self.say(f"begin a m1 {kind}") == "1 forward"

    def do(self, who: str | None, what: f.What, mark: int = 0) -> f.Done:
        self.marks += 1
        batch = f.Batch(self.at, 1, (f.Command(self.fences.get(who), mark or self.marks, what),))
        self.batches.append(batch)
        return self.books.apply(self.books.index + 1, batch)[0]

    def say(self, order: str) -> str:
        match order.split():
            case "begin", who, mark, name:
                done = self.do(who, f.Begin("firm", mark, LISTS[name], (("who", "x"),)))
            case "do" | "undo" as what, who, step, tried:
                done = self.do(who, f.Intend(1, int(step), what == "undo", int(tried)))
            case "do" | "undo" as what, who, step, tried, out:
                done = self.do(who, f.Result(1, int(step), what == "undo", int(tried), OUTCOMES[out]))
            case "leave", who:
                done = self.do(who, f.Leave(1, f.LEFT))
            case "settle", who, step, how:
                done = self.do(who, f.Settle(1, int(step), how))
            case "adopt", who, former:
                done = self.do(who, f.Adopt(1, int(former)))
            case "give", to, former:
                done = self.do(None, f.Adopt(1, int(former), int(to)))
            case "lapse", session:
                done = self.do(None, f.Lapse(int(session)))
        return done.code or " ".join(map(str, done.value))


@pytest.mark.parametrize("script", SCRIPTS.replace("\n ;", ";").strip().splitlines())
def test_rules(script: str) -> None:
    it = Script()
    for step in script.partition(":")[2].split(";"):
        order, _, wanted = (part.strip() for part in step.partition("="))
        if order.startswith("at "):
            it.at = int(order[3:])
            it.books.apply(it.books.index + 1, f.Batch(it.at, 1, ()))
            it.batches.append(f.Batch(it.at, 1, ()))
            continue
        before = it.books.to_plain()[9]
        result = it.say(order)
        assert result == wanted if wanted else result not in ERRORS_BY_CODE, step
        assert result not in ERRORS_BY_CODE or it.books.to_plain()[9] == before, (
            f"{step}: refused, yet it did"
        )
    again = Books()
    for batch in it.batches:
        again = Books.from_snapshot(again.snapshot())
        again.apply(again.index + 1, batch)
    assert again.hash() == it.books.hash()


def test_a_deduplicated_step_is_not_repeated_after_its_memory() -> None:
    it = Script("keyed")
    for order in ("do a 0 1", "do a 0 1 ok", "do a 1 1", "do a 1 1 unknown"):
        it.say(order)
    it.at = 400 * MS + 21
    assert it.say("do a 1 2") == "out_of_order"
    assert it.say("do a 1 1 unknown") == "stuck" and it.books.workflow(1).steps[1].state == w.MAYBE
    assert it.say("settle a 1 again") == "forward" and it.say("do a 1 2") == "out_of_order"
    assert it.say("do a 1 1 unknown") == "stuck" and it.say("settle a 1 by_hand") == "forward"
    assert it.say("do a 2 1")


def test_an_undo_that_may_have_run_is_not_repeated_after_its_memory() -> None:
    """Guards against an undo that is sent again when units no longer know its key."""
    it = Script("paid")
    for order in ("do a 0 1", "do a 0 1 ok", "leave a", "undo a 0 1"):
        it.say(order)
    it.say("lapse 1"), it.say("adopt b 1")
    it.at = 400 * MS + 21
    assert it.say("undo b 0 1 unknown") == "stuck"
    assert it.say("settle a 0 again") == "lapsed_lease" and it.say("settle b 0 again") == "undoing"
    assert it.say("undo b 0 2") == "out_of_order" and it.say("undo b 0 1 unknown") == "stuck"
    assert it.say("settle b 0 by_hand") == "undone"


def test_what_only_some_units_drop_is_not_repeated() -> None:
    it = Script("zonal")
    for order in ("do a 0 1", "do a 0 1 ok", "do a 1 1"):
        it.say(order)
    assert it.say("do a 1 1 unknown") == "stuck" and it.books.workflow(1).steps[1].state == w.MAYBE
    assert it.say("settle a 1 again") == "forward" and it.say("do a 1 2") == "out_of_order"


PAID_ORDERS = ("do a 0 1", "do a 0 1 ok", "leave a", "undo a 0 1")


@pytest.mark.parametrize(
    ("kind", "first", "at", "answer"),
    [
        ("paid", "undo a 0 1 unknown", 400 * MS + 20, ""),
        ("paid", "undo a 0 1 unknown", 400 * MS + 21, "out_of_order"),
        ("paid", "undo a 0 1 never", 4_000 * MS, ""),
        ("paid", "undo a 0 1 failed", 4_000 * MS, ""),
        ("harmless", "undo a 0 1 unknown", 4_000 * MS, ""),
        ("short", "undo a 0 1 unknown", 4_000 * MS, ""),
    ],
    ids=["in time", "too late", "never ran", "failed", "harmless", "retriable"],
)
def test_until_when_an_undo_is_sent_again(kind: str, first: str, at: int, answer: str) -> None:
    it = scripted(kind, *PAID_ORDERS, first)
    it.at = at
    run = r.WorkflowRun(1, Prng(1))
    # The owner asks as its books say: for a further try, or that the operator is told.
    owned_at = it.books.workflow(1).owned_since
    assert run.step(0, it.books.workflow(1), 1, True, lambda: False) == () and run.state == r.WAITING
    (write,) = run.step(at - owned_at, it.books.workflow(1), 1, True, lambda: True)
    assert type(write.command) is (f.Result if answer else f.Intend)
    code = it.say("undo a 0 2")
    assert (code if code in ERRORS_BY_CODE else "") == answer
    if answer:
        assert it.do("a", write.command).value == ("stuck",)


def test_units_know_an_undo_from_its_first_try_that_may_have_run() -> None:
    it = scripted("paid", *PAID_ORDERS, "undo a 0 1 never")
    it.at = 4_000 * MS
    assert it.say("undo a 0 2") not in ERRORS_BY_CODE and it.say("undo a 0 2 unknown") == "undoing"
    it.at += 400 * MS
    assert it.say("undo a 0 3") not in ERRORS_BY_CODE and it.say("undo a 0 3 never") == "stuck"


@pytest.mark.parametrize(
    ("answered_at", "until"),
    [(0, 100 * MS), (350 * MS, 450 * MS), (399 * MS, 499 * MS), (420 * MS, 500 * MS), (500 * MS, 0)],
)
def test_a_repeat_is_not_sent_once_its_intents_answer_came_too_late(answered_at: int, until: int) -> None:
    """Guards against a repeat that units no longer drop: the owner was paused as the books answered it."""
    it = scripted("paid", *PAID_ORDERS, "undo a 0 1 unknown")
    run, view = r.WorkflowRun(1, Prng(1)), it.books.workflow(1)
    (write,) = run.step(0, view, 1, True, lambda: True)
    result = it.do("a", write.command)
    effects = run.on_result(answered_at, result, it.books.workflow(1), 1, True)
    assert [effect.until for effect in effects] == ([until] if until else [])
    assert result.value == ("w1.0.undo.2", "w1.0.undo", 500 * MS)
    if not until:
        (write,) = run.step(answered_at, it.books.workflow(1), 1, True, lambda: True)
        assert write.command == f.Result(1, 0, True, 2, f.NEVER_RAN)
        it.at = answered_at + it.books.time
        assert it.do("a", write.command).value == ("stuck",)


@pytest.mark.parametrize("kind", ["short", "harmless"])
def test_a_repeat_that_does_no_harm_is_sent_however_late_its_answer_came(kind: str) -> None:
    it = scripted(kind, *PAID_ORDERS, "undo a 0 1 unknown")
    run = r.WorkflowRun(1, Prng(1))
    (write,) = run.step(0, it.books.workflow(1), 1, True, lambda: True)
    result = it.do("a", write.command)
    (send,) = run.on_result(60_000 * MS, result, it.books.workflow(1), 1, True)
    assert send.until == 60_100 * MS


def snapshot_of_former_version(books: Books) -> bytes:
    """Returns the snapshot as it was written before steps had the fields of their undo."""
    plain = json.loads(books.snapshot())[:-1]
    for workflow in plain[9][3]:
        workflow[11] = [step[: w.UNDO_FIELDS_INDEX] for step in workflow[11]]
    data = json.dumps(plain, separators=(",", ":")).encode()
    digest = blake2b(data, digest_size=HASH_BYTES).hexdigest()
    return data[:-1] + f',"{digest}"]'.encode()


def test_an_undo_begun_before_its_time_was_recorded_may_have_run() -> None:
    """Guards against a snapshot of a former version, which says nothing of when an undo was first sent."""
    it = scripted("paid", *PAID_ORDERS, "undo a 0 1 failed")
    it.books = Books.from_snapshot(snapshot_of_former_version(it.books))
    assert it.say("undo a 0 2") == "out_of_order" and it.say("undo a 0 1 unknown") == "stuck"
    assert Books.from_snapshot(it.books.snapshot()).hash() == it.books.hash()


@pytest.mark.parametrize(
    "template, out", [("A {a}", "A {b}"), ("{b}{c}", "2{c}"), ("{a", "{a"), ("a}", "a}")]
)
def test_values_are_filled_in_once(template: str, out: str) -> None:
    assert r.fill(template, (("a", "{b}"), ("b", "2"))) == out


# An explorer: three relays, one workflow, units that count what is done to them

LEASE, TICK = 40 * MS, 10 * MS
CHECKS = (
    "out_of_order",
    "effects_left_behind",
    "undone_though_done",
    "notices_twice",
    "two_owners_acted",
    "undo_of_never_ran",
    "one_outcome_each",
)


class Relay:
    def __init__(self, name: str) -> None:
        self.name, self.fence, self.until, self.marks, self.wakes = name, None, 0, 0, 0
        self.runs: dict[int, r.WorkflowRun] = {}
        self.takeover = Takeover(TakeoverLimits(2, 100 * MS, 10, 200 * MS))
        self.events: list[Callable[[], None]] = []


class Req(NamedTuple):
    at: int
    send: r.SendReq
    what: f.Intend
    relay: Relay
    run: r.WorkflowRun
    fate: str  # told to the relay if the answer comes
    runs: bool
    answered: bool


class World:
    def __init__(self, seed: int, lease_check: bool = True) -> None:
        self.c, self.now, self.books, self.lease_check = Prng(seed), 0, Books(), lease_check
        self.seen = dict.fromkeys(CHECKS, 0)
        self.relays = [Relay(name) for name in "abc"]
        self.bound: dict[int, int] = {}
        self.batches: list[f.Batch] = []
        self.reqs: list[Req] = []
        self.late: list[tuple[int, Callable[[], None]]] = []
        self.sessions: list[int] = []  # in the order of what they sent
        self.there: set[int] = set()  # steps whose effect is there
        self.notices = self.undos = 0
        self.point_ran = False
        self.known_not: set[int] = set()
        self.bad = 1 + self.c.below(40)  # faults in a hundred
        self.calm = (500 + self.c.below(1500)) * MS
        self.definition = KINDS[self.c.below(2)]
        self.leaves = self.c.below(1500) * MS if self.c.below(2) else r.NEVER_US
        for relay in self.relays:
            self.open(relay)
        self.number = self.do(self.relays[0], f.Begin("firm", "m", self.definition)).value[0]
        self.client, self.told = r.WaitingClient(self.number, self.definition.timeout), []

    def rng(self, share: int = 0) -> bool:
        return self.now < self.calm and self.c.below(100) < (share or self.bad)

    def do(self, relay: Relay | None, what: f.What, mark: int = 0, fence: f.Fence | None = None) -> f.Done:
        if relay and not mark:
            relay.marks += 1
            mark = relay.marks
        if relay and type(what) is not f.Open:
            fence = fence or relay.fence
        batch = f.Batch(self.now, 1, (f.Command(fence, mark, what),))
        self.batches.append(batch)
        done = self.books.apply(self.books.index + 1, batch)[0]
        if type(what) is f.Result and not what.undo and not done.code:
            step = self.books.workflow(what.workflow).steps[what.step]
            if step.state in (w.NEVER_RAN, w.FAILED):
                self.known_not.add(what.step)
        if type(what) is f.Intend and not what.undo and not done.code:
            self.known_not.discard(what.step)
        return done

    def open(self, relay: Relay) -> None:
        done = self.do(relay, f.Open(relay.name, "x"), 1 + self.c.below(1 << 30))
        if not done.code:
            relay.fence, relay.marks, relay.until = done.value, 0, self.now + LEASE - 1
            self.bound[done.value.session] = self.now + LEASE + 1

    def usable(self, relay: Relay) -> bool:
        return self.now < relay.until or not self.lease_check

    def faults(self, relay: Relay) -> None:
        """At every point between two acts of a relay: it may sleep past its lease, or be killed."""
        if self.rng(self.bad // 8 + 1):
            relay.wakes = self.now + self.c.below(12 * LEASE)
        elif self.rng(self.bad // 16 + 1):
            relay.runs, relay.events, relay.until, relay.fence = {}, [], 0, None
            relay.wakes = self.now + self.c.below(2 * LEASE)

    def tick(self) -> None:
        self.now += TICK
        for session in sorted(self.bound):
            if self.now >= self.bound[session]:
                del self.bound[session]
                self.do(None, f.Lapse(session))
        self.arrive()
        due = [call for at, call in self.late if at <= self.now]
        self.late = [entry for entry in self.late if entry[0] > self.now]
        for call in due:
            call()
        for relay in self.relays:
            if self.now >= relay.wakes:
                self.relay(relay)
        if self.now >= self.leaves and self.rng(20):
            self.do(self.relays[self.c.below(3)], f.Leave(self.number, f.LEFT))
        answer = self.client.answer(self.now, self.books.workflow(self.number))
        self.told += [answer] if answer else []

    def relay(self, relay: Relay) -> None:
        due, relay.events = relay.events, []
        for call in due:
            if self.now >= relay.wakes:
                call()
                self.faults(relay)
            else:
                relay.events.append(call)
        if self.now < relay.wakes:
            return
        if relay.fence and relay.fence.session in self.bound:
            me = relay.fence.session
            if not self.rng():
                relay.until, self.bound[me] = self.now + LEASE - 1, self.now + LEASE + 1
        else:
            self.open(relay)
        if not relay.fence:
            return
        me = relay.fence.session
        live = tuple(session.number for session in self.books.sessions())
        owned = self.books.workflows_owned_by(me)
        if self.usable(relay):
            for adopt in relay.takeover.requests(
                self.now, self.books.orphaned_workflows(), live, me, len(owned)
            ):
                self.do(relay, adopt)
        for number in owned:
            if number not in relay.runs or relay.runs[number].state == r.OVER:
                relay.runs[number] = r.WorkflowRun(number, Prng(self.c.below(1 << 30)))
        for number, run in sorted(relay.runs.items()):
            self.carry(
                relay,
                run,
                run.step(
                    self.now, self.books.workflow(number), me, self.usable(relay), lambda: not self.rng()
                ),
                me,
            )
        self.faults(relay)

    def carry(self, relay: Relay, run: r.WorkflowRun, effects: tuple[r.Effect, ...], me: int) -> None:
        for effect in effects:
            if type(effect) is r.SubmitCommand:
                relay.marks += 1
                write = partial(self.write, relay, run, effect.command, relay.marks, relay.fence)
                if self.rng(self.bad // 2 + 1):
                    self.late.append((self.now + self.c.below(8 * LEASE), write))
                else:
                    write()
            else:
                self.send(relay, run, effect, run.sending(), me)

    def write(self, relay: Relay, run: r.WorkflowRun, what: f.What, mark: int, fence: f.Fence) -> None:
        """The answer waits for the relay; what it knows when it wakes is what that said, however old."""
        done = self.do(relay, what, mark, fence)
        if relay.runs.get(self.number) is run:
            view = self.books.workflow(self.number)
            relay.events.append(partial(self.written, relay, run, done, view, fence.session))

    def written(self, relay: Relay, run: r.WorkflowRun, done: f.Done, view: w.WorkflowView, me: int) -> None:
        self.carry(relay, run, run.on_result(self.now, done, view, me, self.usable(relay)), me)

    def send(self, relay: Relay, run: r.WorkflowRun, send: r.SendReq, what: f.Intend, session: int) -> None:
        if session in self.sessions and self.sessions[-1] != session:
            self.seen["two_owners_acted"] += 1
        self.sessions.append(session)
        if what.undo:
            never = what.step in self.known_not or not self.books.workflow(self.number).steps[what.step].tries
            self.seen["undo_of_never_ran"] += never
        step = self.definition.steps[what.step]
        fate, runs = f.COMPLETED, True
        if self.rng():
            fate, runs = f.NEVER_RAN, False
        elif self.rng() and (what.undo or step.fails != d.NEVER):
            fate, runs = f.FAILED, False
        lost = self.rng()
        longest = send.until if self.rng() else min(send.until, self.now + 60 * MS)
        at = self.now + self.c.below(longest - self.now + 1)
        runs = runs and not (lost and self.c.below(2))
        self.reqs.append(Req(at, send, what, relay, run, fate, runs, not lost))

    def arrive(self) -> None:
        due = sorted((req for req in self.reqs if req.at <= self.now), key=lambda req: req.at)
        self.reqs = [req for req in self.reqs if req.at > self.now]
        for req in due:
            if req.runs:
                self.effect(req.what)
            if req.answered:
                req.relay.events.append(partial(req.run.on_outcome, self.now, req.what, req.fate))

    def effect(self, what: f.Intend) -> None:
        steps = self.definition.steps
        if what.undo:
            self.undos += 1
            self.seen["out_of_order"] += any(step > what.step for step in self.there)
            self.there.discard(what.step)
        else:
            self.seen["out_of_order"] += any(
                number not in self.there for number in range(what.step) if steps[number].undo is not None
            )
            self.there |= {what.step} if steps[what.step].effect else set()
            self.point_ran |= what.step == self.definition.no_return_index()
            self.notices += steps[what.step].name == "notice"

    def finish(self) -> None:
        for _ in range(3000):
            self.tick()
            view = self.books.workflow(self.number)
            if view.state == w.STUCK and self.now > self.calm + 3 * LEASE:
                at = w.current_step(view) if w.passed_no_return(view) else w.step_to_undo(view)
                self.do(self.relays[0], f.Settle(self.number, at, f.AGAIN))
            if view.state in w.END_STATES and not self.reqs and self.told and self.now > self.calm:
                break
        self.tick()
        state, counts = self.books.workflow(self.number).state, self.seen
        counts["effects_left_behind"] += state == w.UNDONE and bool(self.there)
        counts["undone_though_done"] += (state == w.DONE or self.point_ran) and self.undos > 0
        counts["notices_twice"] += self.notices > 1
        right = [
            answer
            for answer in self.told
            if answer.answer == (state if answer.state in w.END_STATES else r.ERRORED)
        ]
        counts["one_outcome_each"] += state not in w.END_STATES or len(self.told) != 1 or right != self.told


def explored(seeds: range, lease_check: bool = True) -> tuple[dict[str, int], dict[str, int]]:
    counts, states = dict.fromkeys(CHECKS, 0), {}
    for seed in seeds:
        world = World(seed, lease_check)
        world.finish()
        for check in CHECKS:
            counts[check] += world.seen[check] > 0
        state = world.books.workflow(world.number).state + f" {min(len(set(world.sessions)), 3)} owners"
        states[state] = states.get(state, 0) + 1
        if seed % 40 == 0:
            # Replay, with a restart from a snapshot anywhere, comes to the same books.
            again, cut = Books(), world.c.below(len(world.batches))
            for at, batch in enumerate(world.batches):
                again = Books.from_snapshot(again.snapshot()) if at == cut else again
                again.apply(at + 1, batch)
            assert again.hash() == world.books.hash()
    return counts, states


def test_explorer_finds_nothing() -> None:
    counts, states = explored(range(1200))
    assert counts == dict.fromkeys(CHECKS, 0)
    assert all(states.get(f"{end} {owners} owners", 0) > 20 for end in w.END_STATES for owners in (1, 2)), (
        states
    )


def no_point(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w, "passed_no_return", lambda flow: False)
    patch.setattr(
        w,
        "step_to_undo",
        lambda flow: max(
            (
                at
                for at, step in enumerate(flow.steps)
                if step.state in w.UNDOABLE_STEP_STATES and flow.definition.steps[at].undo
            ),
            default=-1,
        ),
    )


def any_order(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        w,
        "step_to_undo",
        lambda flow: min(
            (
                at
                for at, step in enumerate(flow.steps)
                if step.state in w.UNDOABLE_STEP_STATES and flow.definition.steps[at].effect
            ),
            default=-1,
        ),
    )


def at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w, "can_be_unknown", lambda *_: True)
    patch.setattr(
        r.WorkflowRun,
        "_unknown_result",
        lambda self, now, view, at, undo: f.Result(
            self.number, at, undo, view.steps[at].undo_tries if undo else view.steps[at].tries, f.UNKNOWN
        ),
    )


def notice_again(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w, "NON_RETRIABLE", "none")


def undo_all(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w, "UNDOABLE_STEP_STATES", (*w.UNDOABLE_STEP_STATES, w.NEVER_RAN, w.FAILED))
    patch.setattr(
        w,
        "NEXT_STEP_STATES",
        w.NEXT_STEP_STATES
        | {state: (*w.NEXT_STEP_STATES[state], w.UNDO_INTENDED) for state in (w.NEVER_RAN, w.FAILED)},
    )


def tell_again(patch: pytest.MonkeyPatch) -> None:
    old = r.WaitingClient.answer
    patch.setattr(
        r.WaitingClient,
        "answer",
        lambda self, now, view: (setattr(self, "_is_answered", False), old(self, now, view))[1],
    )


def no_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(World, "usable", lambda self, relay: True)


@pytest.mark.parametrize(
    "check, guard",
    [
        ("out_of_order", any_order),
        ("effects_left_behind", at_once),
        ("undone_though_done", no_point),
        ("notices_twice", notice_again),
        ("two_owners_acted", no_lease),
        ("undo_of_never_ran", undo_all),
        ("one_outcome_each", tell_again),
    ],
)
def test_explorer_sees_a_guard_that_is_gone(
    check: str, guard: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    guard(monkeypatch)
    count, start = 0, 0
    while not count and start < 1200:
        count, start = explored(range(start, start + 40))[0][check], start + 40
    assert count, f"{check} can't fail"


# Taking over

PACE = TakeoverLimits(5, 100 * MS, 60, 1000 * MS)


def test_many_orphans_are_taken_over_evenly_within_limits() -> None:
    live = tuple(range(11, 31))
    herd = {number: 3 for number in range(1, 1001)}
    relays = {session_number: Takeover(PACE) for session_number in live}
    held = dict.fromkeys(live, 0)
    for beat in range(30):
        for me, takeover in relays.items():
            for _ in range(2):
                requests = takeover.requests(beat * PACE.interval, tuple(herd.items()), live, me, held[me])
                assert len(requests) <= PACE.max_requests
                for request in requests:
                    assert request.former == herd.pop(request.workflow)
                    held[me] += 1
    assert not herd and min(held.values()) > 30 and max(held.values()) <= PACE.max_owned, held


def test_a_run_undoes_in_time_with_growing_backoff() -> None:
    it = Script("booking")
    view = it.books.workflow(1)

    def first(left_at: int, now: int = 0, may: bool = True) -> tuple[r.Effect, ...]:
        return r.WorkflowRun(1, Prng(3), left_at).step(now, view, 1, True, lambda: may)

    # A step and its undo take 200 ms.
    assert first(200 * MS) == (r.SubmitCommand(f.Intend(1, 0, False, 1)),)
    assert first(200 * MS - 1) == (r.SubmitCommand(f.Leave(1, f.LATE)),)
    gone = r.WorkflowRun(1, Prng(3))
    gone.client_left()
    assert gone.step(0, view, 1, True, bool) == (r.SubmitCommand(f.Leave(1, f.LEFT)),)
    for order in ("do a 0 1", "do a 0 1 unknown"):
        it.say(order)
    waits, rng = [], Prng(5)
    for tried in range(3):
        view, run = it.books.workflow(1), r.WorkflowRun(1, rng)
        assert run.step(0, view, 1, True, lambda: False) == () and run.state == r.WAITING
        assert run.step(run.due() - 1, view, 1, True, lambda: True) == ()
        waits.append(run.due())
        assert run.step(run.due(), view, 1, True, lambda: True) == (
            r.SubmitCommand(f.Intend(1, 0, True, tried + 1)),
        )
        it.say(f"undo a 0 {tried + 1}"), it.say(f"undo a 0 {tried + 1} failed")
    assert all(5 * MS << at <= wait <= 10 * MS << at for at, wait in enumerate(waits)), waits
    # Stuck: it waits for an operator's word, and the client is told in time, once.
    view, run, client = it.books.workflow(1), r.WorkflowRun(1, rng), r.WaitingClient(1, 50)
    assert run.step(0, view, 1, True, lambda: True) == () and run.due() == BOOKING.longest
    assert client.answer(49, view) is None
    answer = client.answer(50, view)
    assert answer[:3] == (1, r.ERRORED, w.STUCK) and answer.fates[0] == ("room", w.UNDO_DUE)
    assert client.answer(51, view) is None and r.WaitingClient(1, 5).answer(5, None).state == "unknown"


def scripted(kind: str, *orders: str) -> Script:
    it = Script(kind)
    assert not [order for order in orders if it.say(order) in ERRORS_BY_CODE]
    return it


# What the books hold of BOOKING's first three steps, and the undos that follow, by place.
UNDONE_IN_ORDER = [
    ("do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 ok; do a 2 1; do a 2 1 failed", [1, 0]),
    ("do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 ok; do a 2 1; do a 2 1 unknown", [2, 1, 0]),
    ("do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 ok; leave a", [1, 0]),
    ("do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 never; leave a", [0]),
]


@pytest.mark.parametrize("orders, places", UNDONE_IN_ORDER)
def test_each_owner_undoes_the_last_that_may_have_run_alone(orders: str, places: list[int]) -> None:
    it, undone = scripted("booking", *orders.split("; ")), []
    while it.books.workflow(1).state == w.UNDOING:
        # As if it were taken over before each undo: the books alone say what is next.
        (write,) = r.WorkflowRun(1, Prng(1)).step(0, it.books.workflow(1), 1, True, lambda: True)
        assert write.command.undo and it.do("a", write.command).code == ""
        assert it.do("a", f.Result(1, write.command.step, True, 1, f.COMPLETED)).code == ""
        undone.append(write.command.step)
    assert undone == places and it.books.workflow(1).state == w.UNDONE


def test_a_try_whose_fate_is_not_known_is_told_as_unknown() -> None:
    it, lost = Script("booking"), r.SubmitCommand(f.Result(1, 0, False, 1, f.UNKNOWN))
    begun = it.books.workflow(1)

    def sent(usable: bool) -> tuple[r.WorkflowRun, tuple[r.Effect, ...]]:
        run = r.WorkflowRun(1, Prng(1))
        assert run.step(0, begun, 1, True, lambda: True) == (r.SubmitCommand(f.Intend(1, 0, False, 1)),)
        return run, run.on_result(0, f.Done(("id", "key")), begun, 1, usable)

    # No answer by the end of the step's time; one that comes later changes nothing.
    run, (send,) = sent(True)
    what = run.sending()
    it.say("do a 0 1")
    view = it.books.workflow(1)
    assert run.due() == send.until == 100 * MS and run.step(send.until - 1, view, 1, True, bool) == ()
    assert run.step(send.until, view, 1, True, bool) == (lost,)
    run.on_outcome(send.until, what, f.COMPLETED)
    run.on_result(send.until, f.Done(code="no_quorum"), view, 1, True)
    assert run.step(run.due(), view, 1, True, bool) == (lost,)
    # A lease that ended between intent and sending: nothing goes, yet it is not said that it never ran.
    run, effects = sent(False)
    assert effects == () and run.step(1, view, 1, True, bool) == (lost,)
    # A try of the owner before may still run until its time is over.
    run, taken = r.WorkflowRun(1, Prng(1)), view._replace(owner=2)
    assert run.step(7, taken, 2, True, bool) == () and run.due() == 7 + 100 * MS
    assert run.step(7 + 100 * MS, taken, 2, True, bool) == (lost,)
    # So the client hears of it.
    it.say("do a 0 1 unknown")
    assert r.WaitingClient(1, 0).answer(0, it.books.workflow(1)).fates[0] == ("room", w.MAYBE)


FAILS = "undo a 0 1; undo a 0 1 failed; undo a 0 2; undo a 0 2 unknown; undo a 0 3; undo a 0 3 failed"


@pytest.mark.parametrize(
    "orders, place, code, step",
    [
        ("do a 0 1; do a 0 1 ok; leave a; " + FAILS, 0, "undo_stuck", "room"),
        (
            "do a 0 1; do a 0 1 ok; do a 1 1; do a 1 1 unknown; "
            "do a 1 2; do a 1 2 failed; do a 1 3; do a 1 3 never",
            1,
            "step_stuck",
            "commit",
        ),
    ],
)
def test_stuck_steps_are_reported_and_settled(orders: str, place: int, code: str, step: str) -> None:
    it = scripted("short", *orders.split("; "))
    at, error = r.stuck_step(it.books.workflow(1))
    assert (at, error.code, error.figures) == (place, code, {"step": step, "tries": 3})
    assert "by hand at its unit, then tell the books" in error.fields()["do"]
    # The place that is named is the one that the books take an operator's word for, and no other.
    assert it.say(f"settle b {1 - at} by_hand") == "out_of_order"
    assert it.say(f"settle b {at} by_hand") in (w.UNDONE, w.FORWARD)


NOT_FIT = [
    f.Limits(0, 1, 1, 1),
    f.Limits(1 << 17, 1, 1, 1),
    f.Begin("", "m", SHORT),
    f.Begin("t", "", SHORT),
    f.Begin("t", "m", None),
    f.Begin("t", "m", SHORT, (("a",),)),
    f.Begin("t", "m", SHORT, (("a", "\n"),)),
    f.Begin("t", "m", SHORT._replace(timeout=1.5)),
    f.Begin("t", "m", SHORT._replace(steps=[COMMIT])),
    f.Begin("t", "m", SHORT._replace(steps=(COMMIT._replace(send=None),))),
    f.Intend([], 0, False, 1),
    f.Intend(1, True, False, 1),
    f.Intend(1, 0, 0, 1),
    f.Intend(1, -1, False, 1),
    f.Intend(1, 0, False, 0),
    f.Result(1, 0, False, 1, []),
    f.Leave(1, None),
    f.Leave("1", f.LEFT),
    f.Settle(1, 0, 5),
    f.Adopt(1, None),
    f.Adopt(None, 1),
]


@pytest.mark.parametrize("what", NOT_FIT)
def test_what_does_not_fit_is_refused_and_changes_nothing(what: f.What) -> None:
    it = Script()
    before = it.books.to_plain()[9]
    assert it.do(None if type(what) is f.Limits else "a", what).code == "unreadable"
    assert it.books.to_plain()[9] == before


def test_an_absent_relay_is_replaced_in_takeovers() -> None:
    live, orphans = (11, 12, 13), ((7, 3),)
    order = sorted(live, key=lambda session: rank(7, live, session))
    for place, me in enumerate(order):
        takeover = Takeover(PACE)
        takeover.requests(0, orphans, live, me, PACE.max_owned)
        assert not takeover.requests(place * PACE.delay - 1, orphans, live, me, 0)
        assert takeover.requests(place * PACE.delay + PACE.interval, orphans, live, me, 0) == (f.Adopt(7, 3),)
