"""Leases on both sides, a keeper's decisions around the core, and all interleavings of a small fleet."""

import json
import sys
from collections import deque
from collections.abc import Callable, Iterator

import pytest

from laurelcourse.fleet import session as side
from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Batch, Command, Done, Fence, GiveBack, Grant, Lapse, Open
from laurelcourse.fleet.calls import codec
from laurelcourse.fleet.errors import ERRORS_BY_CODE, LapsedLeaseError, OverloadedError, error_from_code
from laurelcourse.fleet.keeper.batching import merge_writes
from laurelcourse.fleet.keeper.coordinator import Coordinator, Order, Proposal
from laurelcourse.fleet.keeper.leader_clock import LeaderClock
from laurelcourse.fleet.keeper.messages import BOOKS, Bounds, Entry, Keepers, Kept, Mark, Snapshot, Write
from laurelcourse.fleet.keeper.transfer_planning import TransferPlanner
from laurelcourse.fleet.members import Member, Members
from laurelcourse.fleet.orders import Acts, Answer, Beat, Question, Renewed, Share, Submit, Terms
from laurelcourse.fleet.session import Session
from laurelcourse.prng import Prng

MS = 1_000
RATE = forms.Budget("tries", forms.RATE, 100, 10, 4, 0, 0)
LEVEL = forms.Budget("held", forms.LEVEL, 40, 0, 4, 0, 900 * MS)
BOUNDS = Bounds(20 * MS, 200 * MS, 1 << 16, 8, 1 << 14, 64)
TERMS = Terms("f", 1000 * MS, 100_000, 100 * MS, 16, BOUNDS, Keepers(("a", "b", "c")), (RATE, LEVEL), 1 << 30)
FENCE = Fence("r", 1, 1, 1)


def test_a_lease_ends_at_its_holder_before_it_ends_at_the_keepers() -> None:
    for lease in (1000, 999_999, 1_000_000):
        for drift in (0, 1, 333, 100_000):
            terms = TERMS._replace(lease=lease, drift=drift)
            # in true time, each clock as wrong as it may be in the worse direction
            assert terms.holder_lease() * (1_000_000 + drift) < terms.keeper_lease() * (1_000_000 - drift)


# The relay's side


def opened(at: int = 0, terms: Terms = TERMS) -> Session:
    session = Session("r", "s", terms, Prng(1), at)
    session.orders(at)
    session.answered(at, at, (Done(FENCE),))
    return session


def renew(session: Session, asked: int, now: int, *shares: Share) -> None:
    session.next_at = asked
    assert isinstance(session.orders(asked)[0], Beat)
    session.answered(now, asked, Renewed(TERMS.lease, shares))


@pytest.mark.parametrize(
    "steps, state, usable",
    [
        ((), side.HELD, True),
        (("at 899998",), side.HELD, True),
        (("at 899999",), side.LAPSED, False),
        (("ask 500000", "yes 500000 900000", "at 1399998"), side.HELD, True),
        (("ask 500000", "yes 500000 900000", "at 1399999"), side.LAPSED, False),
        (("ask 500000", "at 950000", "yes 500000 950000"), side.HELD, True),
        (("ask 500000", "at 1500000", "yes 500000 1500000"), side.LAPSED, False),
        (
            ("ask 500000", "ask 600000", "yes 600000 700000", "yes 500000 700000", "at 1499998"),
            side.HELD,
            True,
        ),
        (("ask 500000", "no 500000 500001 not_leader"), side.HELD, True),
        (("ask 500000", "no 500000 500001 lapsed_lease"), side.OPENING, False),
        (("ask 500000", "no 500000 500001 fenced_off"), side.OPENING, False),
        (("no 77 500000 fenced_off",), side.HELD, True),
        (("close",), side.CLOSING, False),
        (("close", "ask 500000", "no 500000 500001 no_quorum"), side.CLOSING, False),
        (("close", "ask 500000", "done 500000"), side.ENDED, False),
        (("close", "ask 500000", "no 500000 500001 lapsed_lease"), side.ENDED, False),
    ],
)
def test_states_of_a_session(steps: tuple[str, ...], state: str, usable: bool) -> None:
    session, now = opened(), 0
    for step in steps:
        verb, *rest = step.split()
        numbers = [int(word) for word in rest if word.isdigit()]
        now = max([now, *numbers])
        match verb:
            case "at":
                session.is_usable(now)
            case "ask":
                session.next_at = now
                assert len(session.orders(now)) == 1
            case "yes":
                session.answered(now, numbers[0], Renewed(TERMS.lease, ()))
            case "no":
                session.failed(now, numbers[0], rest[-1])
            case "done":
                session.answered(now, numbers[0], (Done(),))
            case "close":
                session.close(now)
    assert (session.state, session.is_usable(now)) == (state, usable)
    assert bool(session.shares(now)) is False


def test_a_state_is_not_left_but_as_stated() -> None:
    session = opened()
    with pytest.raises(AssertionError, match="held can't become away"):
        session._set_state(side.AWAY)


def test_opens_keep_one_mark_until_refused_with_growing_backoff() -> None:
    session, now, marks, pauses = Session("r", "s", TERMS, Prng(4), 0), 0, [], []
    for _ in range(8):
        order = session.orders(now)[0]
        marks.append(order.commands[0].mark)
        session.failed(now, order.asked_at, "no_quorum")
        pauses.append(session.due() - now)
        assert session.orders(session.due() - 1) == []
        now = session.due()
    longest = [min(TERMS.renew_interval << min(times, 5), TERMS.lease) for times in range(8)]
    assert all(most // 2 <= pause < most for most, pause in zip(longest, pauses, strict=True))
    assert len(set(marks)) == 1
    assert len({pause / most for pause, most in zip(pauses, longest, strict=True)}) > 4
    order = session.orders(now)[0]
    session.answered(now, order.asked_at, (Done(code="name_taken"),))
    assert session.state == side.AWAY and session.orders(session.due())[0].commands[0].mark != marks[0]
    # never answered at all: asked again, and the lease counts from the first asking
    first, now = session.due() - TERMS.lease, session.due()
    order = session.orders(now)[0]
    session.answered(now, now, (Done(FENCE),))
    assert (
        order.commands[0].mark == session.open_mark
        and session.granted_at == first
        and not session.is_usable(now)
    )


def test_commands_of_unknown_fate_are_retried_with_the_same_mark() -> None:
    session = opened()
    renew(session, 10, 20, Share("tries", 30, 30))
    commands = [session.command(GiveBack("tries", keeps), 30) for keeps in (20, 10)]
    assert [command.mark for command in commands] == [1, 2]
    for command in commands:
        session.lost(command, "unknown_fate")
    session.next_at = 40
    beat, submit = session.orders(40)
    assert submit == Submit(tuple(commands), 40) and beat.fence == FENCE
    session.answered(50, 40, (Done((20,)), Done(code="not_leader")))
    assert session.take_results() == [(commands[0], Done((20,)))] and session.take_results() == []
    session.next_at = 60
    assert session.orders(60)[1].commands == (commands[1],)
    for _ in range(side.REMEMBERED_MARKS - 1):
        session.command(GiveBack("held", 0), 61)
    with pytest.raises(OverloadedError):  # or its fate would be forgotten by the books
        session.command(GiveBack("held", 0), 61)
    session.failed(70, 60, "fenced_off")
    assert [done.code for _, done in session.take_results()] == ["unknown_fate"]
    with pytest.raises(LapsedLeaseError):
        session.command(GiveBack("tries", 0), 80)


def test_a_fault_of_the_planner_ends_no_keeper(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job whose figures the planner can't take, and that ends one leader after another."""
    monkeypatch.setattr(sys.modules[__name__], "encode", codec.encode_batch)
    monkeypatch.setattr(sys.modules[__name__], "decode", codec.decode_batch)
    links = (forms.Link("a", "b", 100, 10),)
    fleet = Fleet(terms=TERMS._replace(links=links, sites=(forms.Site("a", 1), forms.Site("b", 1))))
    planner = fleet.leader().leader_state.planner = FaultyPlanner()
    job = forms.Job("x", "f", "a", "b", 1, 0, 10, 1, 1)
    answer = fleet.ask("ask", Question("plan", "", job))
    assert (answer.code, dict(answer.told)) == ("plan_unfit", {"fault": "ZeroDivisionError: by job"})
    fleet.until(lambda: planner.recalls > 2)
    noted = {note.msg: dict(note.fields) for note in fleet.notes}
    assert noted["planning failed"] == {"fault": "ZeroDivisionError: by all"}
    assert fleet.open("r").session


class FaultyPlanner(TransferPlanner):
    recalls = 0

    def plan(self, *_: object) -> None:
        raise ZeroDivisionError("by job")

    def recall(self, *_: object) -> None:
        FaultyPlanner.recalls += 1
        raise ZeroDivisionError("by all")


LARGE = forms.Begin("t", "m", None)


@pytest.mark.parametrize("code", ["too_large", "unreadable", "no_quorum"])
def test_repeats_that_fail_cost_no_renewal_and_what_can_never_go_is_given_back(code: str) -> None:
    """Guards against a repeat that can't be sent and takes the Beat beside it along."""
    session = opened()
    command = session.command(GiveBack("tries", 1), 10)
    session.lost(command, "unknown_fate")
    session.next_at = 20
    assert [type(order) for order in session.orders(20)] == [Beat, Submit]
    session.failed(21, 20, code, is_repeat=True)
    session.answered(30, 20, Renewed(TERMS.lease, ()))
    assert session.granted_at == 20
    results = session.take_results()
    assert [done.code for _, done in results] == ([] if code == "no_quorum" else ["unknown_fate"])
    session.next_at = 40
    assert len(session.orders(40)) == (2 if code == "no_quorum" else 1)


def test_repeats_go_out_in_messages_that_fit() -> None:
    session = opened()
    commands = [session.command(what, 10) for what in (LARGE, GiveBack("x", 1), LARGE, LARGE)]
    commands += [session.command(GiveBack("x", 1), 10) for _ in range(40)]
    for command in commands:
        session.lost(command, "unknown_fate")
    sent, now = [], 20
    while session.unknown:
        session.next_at = now
        _, submit = session.orders(now)
        assert len(submit.commands) <= side.MAX_REPEATED
        assert sum(command.what is LARGE for command in submit.commands) <= side.MAX_LARGE_REPEATED
        sent += submit.commands
        session.answered(now, now, (Done(),) * len(submit.commands))
        now += 1
    assert sent == commands


@pytest.mark.parametrize(
    ("answered", "renewed", "over"), [(False, True, True), (True, True, False), (False, False, False)]
)
def test_a_session_whose_commands_are_stuck_is_given_up(answered: bool, renewed: bool, over: bool) -> None:
    """Guards against a relay that renews its lease, can command nothing, and keeps what it owns."""
    session, results = opened(), []
    session.lost(session.command(GiveBack("x", 1), 10), "unknown_fate")
    now, first = 20, session.fence
    while now < 20 + 3 * TERMS.lease and session.state != side.OPENING:
        session.next_at = now
        session.orders(now)
        if renewed:
            session.answered(now, now, Renewed(TERMS.lease, ()))
        if answered and now > 20 + TERMS.lease:
            session.answered(now, now, (Done(),))
        now += TERMS.renew_interval
        results += session.take_results()
    assert (session.state == side.OPENING) is over and first == FENCE
    if over:
        assert now - 20 >= side.BLOCKED_LEASES * TERMS.lease and not session.is_usable(now)
        assert [done.code for _, done in results + session.take_results()] == ["unknown_fate"]


@pytest.mark.parametrize(
    "now, closed",
    [
        (TERMS.holder_lease(), False),
        (TERMS.holder_lease() + TERMS.lease, False),
        (TERMS.holder_lease() - 1, True),
    ],
)
def test_no_command_is_made_without_a_usable_lease(now: int, closed: bool) -> None:
    """The lease is checked as the command is made: what is sent after a pause was made after it."""
    session = opened()
    assert session.command(GiveBack("tries", 0), TERMS.holder_lease() - 1) == Command(
        FENCE, 1, GiveBack("tries", 0)
    )
    if closed:
        session.close(now)
    before = session.mark
    with pytest.raises(LapsedLeaseError):
        session.command(GiveBack("tries", 0), now)
    assert session.mark == before and not session.in_flight


@pytest.mark.parametrize(
    "steps, granted",
    [
        ("", 30),
        ("back", 10),
        ("back old30", 10),
        ("back new30", 10),
        ("back new30 known old30", 10),
        ("back known new30", 30),
        ("back new10", 10),
        ("back new10 old30", 10),
        ("back new10 new30", 30),
        ("back new10 late20 new30", 30),
        ("back back5 new10 new30", 5),
        ("back back5 known new30", 5),
    ],
)
def test_a_share_given_back_is_not_used_on_an_older_answer(steps: str, granted: int) -> None:
    session = opened()
    renew(session, 10, 20, Share("tries", 30, 10))
    session.next_at = 90
    session.orders(90)  # asked before anything is given back
    now, back = 100, None
    for step in steps.split():
        now += 10
        if step.startswith("back"):
            command = session.command(GiveBack("tries", int(step[4:] or 10)), now)
            back = back or command
        elif step == "known":
            session.confirmed(now, back)
        elif step.startswith("old"):
            session.answered(now, 90, Renewed(TERMS.lease, (Share("tries", int(step[3:]), 10),)))
        else:
            renew(session, now, now + 5, Share("tries", int(step[-2:]), 10))
            now += 5
    assert session.shares(now + 1)["tries"].granted == granted


# The leader's side


def test_leases_as_the_leader_counts_them() -> None:
    binds, members = TERMS.keeper_lease(), Members(TERMS, 1000, [2, 1])
    assert members.due() == 1000 + binds and members.take_expired(1000 + binds - 1) == []
    beats = [
        Beat(FENCE._replace(session=number), (("tries", 7),), 0, (("tries", 5),)) for number in range(10)
    ]
    assert members.renew(5000, beats[1]) and members.renew(4000, beats[1]._replace(demands=()))
    assert not members.renew(5000, beats[9])
    assert (members.used_ppm(1, "tries"), members.used_ppm(2, "tries")) == (5, -1)
    members.follow(6000, [1, 2, 3])
    assert members.take_expired(1000 + binds) == [2] and members.take_expired(1000 + binds) == []
    assert not members.renew(1000 + binds, beats[2]) and members.refuses(2)
    assert members.demand(6000, 2, "tries", 50) == 0 and members.demand(6000, 1, "tries", 50) == 7
    assert members.demand(6000, 3, "tries", 50) == 50  # it has told this leader nothing yet
    assert members.take_expired(5000 + binds - 1) == [] and members.take_expired(5000 + binds) == [1]
    members.cancel_lapse(1)
    assert members.due() <= 5000 + binds and members.renew(
        6000, beats[1]._replace(demands=(("tries", 1000),))
    )
    full, gone = 6000 + 2 * TERMS.renew_interval, 6000 + TERMS.lease
    fading = [members.demand(now, 1, "tries", 0) for now in (full, (full + gone) // 2, gone)]
    assert fading == [1000, 500, 0] and members.wanted() == {"tries": [1]}
    members.follow(7000, [2])
    assert sorted(members.by_session) == [2]


def test_a_leaders_time_goes_on_from_the_books_and_never_back() -> None:
    account = LeaderClock(500, 10_000)
    assert [account.at(now) for now in (500, 600, 550, 700)] == [10_000, 10_100, 10_100, 10_200]


class Disk:
    """What writes leave behind, as `forms.Write` says."""

    def __init__(self, name: str) -> None:
        self.kept = Kept(name, 0, "", None, (), {})

    def save(self, write: Write) -> None:
        snapshot, entries = self.kept.snapshot, self.kept.entries
        if write.snapshot is not None:
            snapshot = write.snapshot
            entries = () if write.snapshot_whole else tuple(e for e in entries if e.index > snapshot.index)
        if write.cut:
            entries = tuple(entry for entry in entries if entry.index < write.cut)
        entries += write.entries
        first = snapshot.index + 1 if snapshot else 1
        assert [entry.index for entry in entries] == list(range(first, first + len(entries)))
        marks = self.kept.marks if write.marks is None else write.marks
        self.kept = Kept(self.kept.disk, write.term, write.vote, snapshot, entries, marks)


@pytest.mark.parametrize("seed", range(40))
def test_two_writes_as_one_leave_the_same_on_disk(seed: int) -> None:
    rng, apart, joined, write = Prng(seed), Disk("d"), Disk("d"), None
    for step in range(1, 9):
        kept = apart.kept
        base = kept.snapshot.index if kept.snapshot else 0
        last, cut, snapshot, whole = base + len(kept.entries), 0, None, False
        match rng.below(4):
            case 0 if last > base:
                cut = base + 1 + rng.below(last - base)
                last = cut - 1
            case 1 if last > base:
                snapshot = Snapshot(base + 1 + rng.below(last - base), 1, TERMS.keepers, b"")
            case 2:
                last, whole = last + 3, True
        if whole:
            snapshot = Snapshot(last, 1, TERMS.keepers, b"")
        entries = tuple(Entry(last + 1 + more, step, BOOKS, b"") for more in range(rng.below(4)))
        marks = {"b": Mark("x", step, 0)} if rng.below(2) else None
        next_write = Write(step, "v", cut, entries, snapshot, whole, marks)
        apart.save(next_write)
        write = merge_writes(write, next_write)
        if rng.below(3) == 0:
            joined.save(write)
            write = None
            assert joined.kept == apart.kept
    if write is not None:
        joined.save(write)
    assert joined.kept == apart.kept


# The desk around the real core

KINDS = {
    one.__name__: one
    for one in (forms.Open, forms.Close, forms.Lapse, forms.Define, forms.Grant, forms.GiveBack)
}


def encode(batch: Batch) -> bytes:
    results = [
        [command.fence, command.mark, type(command.what).__name__, command.what] for command in batch.commands
    ]
    return json.dumps([batch.at, batch.term, results]).encode()


def decode(data: bytes) -> Batch:
    at, term, commands = json.loads(data)
    return Batch(
        at,
        term,
        tuple(
            Command(Fence(*fence) if fence else None, mark, what(kind, fields))
            for fence, mark, kind, fields in commands
        ),
    )


def what(kind: str, fields: list) -> forms.What:
    match kind:
        case "Define":
            return forms.Define(tuple(forms.Budget(*field) for field in fields[0]))
        case "Grant":
            return Grant(fields[0], tuple((session, share) for session, share in fields[1]))
    return KINDS[kind](*fields)


class Fleet:
    """Keepers with disks in one thread; messages arrive at once, except to and from those cut off."""

    def __init__(self, names: str = "abc", terms: Terms = TERMS) -> None:
        self.now, self.terms = 0, terms._replace(keepers=Keepers(tuple(names)))
        self.disks, self.desks, self.cut = {name: Disk(name) for name in names}, {}, set()
        self.ways: deque = deque()
        self.answers: dict[int, list] = {}
        self.notes: list = []
        self.tokens = 0
        for name in names:
            self.start(name)
        self.until(lambda: any(desk.leader_state for desk in self.desks.values()))

    def start(self, name: str) -> None:
        rng = Prng(ord(name) + self.now)
        self.desks[name] = Coordinator(
            name, "s", self.terms, rng, self.disks[name].kept, self.now, encode=encode, decode=decode
        )

    def leader(self) -> Coordinator:
        return max(
            (desk for name, desk in self.desks.items() if desk.leader_state and name not in self.cut),
            key=lambda desk: desk.core.term,
        )

    def carry(self, name: str, acts: Acts) -> None:
        if acts.write is not None:
            self.disks[name].save(acts.write)
        self.ways += [(name, to, message) for to, message in acts.send]
        self.notes += acts.notes
        for token, answer in acts.answers:
            self.answers.setdefault(token, []).append(answer)

    def call(self, verb: str, asked: object, desk: Coordinator | None = None) -> int:
        """Returns an order's token; what follows without any time passing is carried out."""
        self.tokens += 1
        desk = desk or self.leader()
        self.carry(desk.name, getattr(desk, verb)(self.now, self.tokens, asked))
        self.deliver()
        return self.tokens

    def deliver(self) -> None:
        while self.ways:
            sender, to, message = self.ways.popleft()
            if not {sender, to} & self.cut and to in self.desks:
                self.carry(to, self.desks[to].hear(self.now, sender, message))

    def pass_time(self, until: int) -> None:
        while (due := min(desk.due() for desk in self.desks.values())) <= until:
            self.now = max(self.now, due)
            for name, desk in list(self.desks.items()):
                if desk.due() <= self.now:
                    self.carry(name, desk.tick(self.now))
            self.deliver()
        self.now = until

    def until(self, reached: Callable[[], bool], within: int = 20_000 * MS) -> None:
        end = self.now + within
        while not reached():
            assert self.now < end
            self.pass_time(self.now + 5 * MS)

    def ask(self, verb: str, asked: object) -> Answer:
        token = self.call(verb, asked)
        self.until(lambda: token in self.answers)
        assert len(self.answers[token]) == 1
        return self.answers[token][0]

    def open(self, name: str, mark: int = 1) -> Fence:
        return Fence(*self.ask("submit", submit(None, Open(name, "s"), mark))[0].value)

    def renew(self, fence: Fence, **demands: int) -> Answer:
        return self.ask("renew", Beat(fence, tuple(demands.items())))


def submit(fence: Fence | None, what: object, mark: int = 1) -> Submit:
    return Submit((Command(fence, mark, what),))


@pytest.mark.parametrize("names", ["a", "abc"])
def test_a_relay_opens_uses_and_closes_a_session(names: str) -> None:
    fleet = Fleet(names)
    fence = fleet.open("r")
    assert fence == (*fleet.ask("ask", Question("session", "r")).value[:-1],) and fence.boot == 1
    assert fleet.leader().books.budgets() == fleet.terms.budgets
    assert fleet.renew(fence, tries=70) == Renewed(fleet.terms.lease, ())
    fleet.pass_time(fleet.now + 3 * TERMS.renew_interval)
    shares = fleet.renew(fence, tries=70).shares
    assert [(share.budget, share.granted >= 50) for share in shares] == [("tries", True)]
    kept = fleet.ask(
        "submit", Submit((Command(fence, 1, GiveBack("tries", 5)), Command(fence, 2, GiveBack("held", 1))))
    )
    assert [(done.value, done.code) for done in kept] == [((5,), ""), ((), "not_held")]
    assert fleet.ask("submit", Submit(())) == ()
    assert fleet.ask("ask", Question("budget", "tries")).value == (forms.RATE, 100, 10, 5, 0)
    assert fleet.ask("ask", Question("keepers")).value[2:] == (",".join(names), "")
    index, books = fleet.ask("ask", Question("hash")).value
    fleet.pass_time(fleet.now + TERMS.bounds.heartbeat)
    assert {(desk.books.index, desk.books.hash()) for desk in fleet.desks.values()} == {(index, books)}
    assert [done.code for done in fleet.ask("submit", submit(fence, forms.Close(), 3))] == [""]
    assert fleet.ask("ask", Question("session", "r")).value == ()
    assert not fleet.notes or {note.level for note in fleet.notes} == {"info"}


REFUSALS = {
    "out_of_order": lambda fence: ("submit", submit(None, Lapse(1))),
    "lapsed_lease": lambda fence: ("renew", Beat(fence._replace(session=77))),
    "fenced_off": lambda fence: ("submit", submit(fence._replace(session=0), forms.Close())),
    "not_leader": lambda fence: ("renew", Beat(fence._replace(session=77, term=99))),
    "too_large": lambda fence: ("submit", submit(None, Open("x" * (BOUNDS.max_batch_bytes + 1), ""))),
    "no_such_budget": lambda fence: ("ask", Question("budget", "none")),
    "unknown_command": lambda fence: ("ask", Question("colour")),
    "unfit_change": lambda fence: ("change", Keepers(("x",))),
}


@pytest.mark.parametrize("code", REFUSALS)
def test_refusals_have_their_codes(code: str) -> None:
    fleet = Fleet()
    fence = fleet.open("r")
    index = fleet.leader().core.last
    verb, asked = REFUSALS[code](fence)
    done = fleet.answers[fleet.call(verb, asked)][0]  # at once, without any time passing
    assert done.code == code and fleet.leader().core.last == index
    assert isinstance(error_from_code(done.code, done.to, dict(done.told)), ERRORS_BY_CODE[code])
    assert fleet.renew(fence)._replace(shares=()) == Renewed(TERMS.lease, ())


def test_followers_and_stopping_keepers_refuse_all_orders() -> None:
    fleet = Fleet()
    leader = fleet.leader()
    other = next(desk for desk in fleet.desks.values() if desk is not leader)
    calls = (
        ("submit", Submit(())),
        ("renew", Beat(FENCE)),
        ("ask", Question("hash")),
        ("change", Keepers(("a", "b"))),
    )
    results = [fleet.answers[fleet.call(verb, asked, other)][0] for verb, asked in calls]
    assert {(done.code, done.told) for done in results} == {("not_leader", (("leader", leader.name),))}
    waiting = fleet.call("renew", Beat(FENCE._replace(term=0)), leader)
    fleet.carry(leader.name, leader.stop(fleet.now))
    results = [fleet.answers[fleet.call(verb, asked, leader)][0].code for verb, asked in calls]
    assert set(results) == {"stopping"} and waiting in fleet.answers
    fleet.until(
        lambda: any(desk.leader_state for desk in fleet.desks.values() if desk is not leader), 50 * MS
    )


def test_too_many_orders_at_once_are_refused_and_none_is_lost() -> None:
    fleet = Fleet()
    fence = fleet.open("r")
    fleet.cut = set(fleet.desks) - {fleet.leader().name}
    most = TERMS.bounds.max_waiting
    beats = [fleet.call("renew", Beat(fence)) for _ in range(most + 1)]
    opens = [fleet.call("submit", submit(None, Open(f"r{number}", ""))) for number in range(most + 2)]
    assert [fleet.answers[token][0].code for token in (beats[-1], opens[-1])] == ["overloaded"] * 2
    assert beats[0] not in fleet.answers and opens[0] not in fleet.answers
    fleet.until(lambda: all(token in fleet.answers for token in beats + opens))
    codes = [[fleet.answers[token][0].code for token in tokens] for tokens in (beats, opens)]
    assert codes[0] == ["no_quorum"] + ["not_leader"] * (most - 1) + ["overloaded"]
    assert codes[1][0] == "unknown_fate" and set(codes[1]) <= {"unknown_fate", "not_leader", "overloaded"}
    assert all(len(answer) == 1 for answer in fleet.answers.values())


def test_a_silent_session_lapses_and_is_not_renewed_once_that_is_proposed() -> None:
    fleet = Fleet()
    fence, other = fleet.open("r"), fleet.open("s")
    fleet.renew(fence, tries=40)
    heard, leader = fleet.now, fleet.leader()
    fleet.until(lambda: fleet.now >= heard + TERMS.keeper_lease() - 10 * MS)
    fleet.renew(other)
    fleet.pass_time(heard + TERMS.keeper_lease() - 1)
    assert leader.books.session_by_number(fence.session)
    fleet.cut = set(fleet.desks) - {leader.name}  # the Lapse is proposed and not committed
    fleet.pass_time(heard + TERMS.keeper_lease())
    token = fleet.call("renew", Beat(fence))
    assert fleet.answers[token][0].code == "lapsed_lease" and leader.books.session_by_number(fence.session)
    fleet.cut = set()
    fleet.until(lambda: not leader.books.session_by_number(fence.session), 50 * MS)
    assert fleet.renew(other).lease == TERMS.lease and fleet.open("r", 2).boot == 2
    assert fleet.answers[fleet.call("renew", Beat(fence))][0].code == "fenced_off"


@pytest.mark.parametrize("phase", [5, 35, 65])
def test_shares_of_a_lapsed_session_are_divided_at_once(phase: int) -> None:
    """Waiting for the next heartbeat, at whatever point the lease ends, would delay the division."""
    fleet = Fleet()
    fence, other = fleet.open("r"), fleet.open("s")
    leader = fleet.leader()
    fleet.pass_time(leader.leader_state.interval_at + phase * MS)
    fleet.renew(fence, tries=70)
    while leader.books.session_by_number(fence.session):
        fleet.renew(other, tries=70)
        fleet.pass_time(fleet.now + MS)
    fleet.until(lambda: (other.session, 59, 59) in leader.books.shares("tries"), 20 * MS)


def test_a_new_leader_restarts_leases_and_keeps_shares() -> None:
    fleet = Fleet()
    fence = fleet.open("r")
    fleet.renew(fence, tries=60)
    fleet.pass_time(fleet.now + 3 * TERMS.renew_interval)
    shares, old = fleet.renew(fence, tries=60).shares, fleet.leader()
    heard = fleet.now
    fleet.pass_time(heard + TERMS.renew_interval)
    fleet.cut = {old.name}
    beats = [
        fleet.call("renew", Beat(fence), old),
        fleet.call("submit", submit(fence, GiveBack("tries", 1)), old),
    ]
    fleet.until(lambda: any(desk.leader_state for desk in fleet.desks.values() if desk is not old))
    began, new = fleet.now, fleet.leader()
    fleet.pass_time(began + TERMS.renew_interval)
    # what it holds is its demand, until it has told this leader: nothing is asked back
    assert [(share.granted, share.wanted) for share in shares] == [
        share[1:] for share in new.books.shares("tries")
    ]
    fleet.until(lambda: all(token in fleet.answers for token in beats))
    assert [fleet.answers[token][0].code for token in beats] == ["no_quorum", "unknown_fate"]
    fleet.cut = set()
    fleet.pass_time(began + TERMS.keeper_lease() - 20 * MS)
    assert fleet.now > heard + TERMS.keeper_lease() and fleet.renew(fence, tries=60).lease == TERMS.lease
    fleet.until(lambda: not new.books.sessions(), TERMS.keeper_lease() + 100 * MS)
    assert {desk.core.term for desk in fleet.desks.values()} == {new.core.term}
    assert new.books.time <= fleet.now


def test_the_entry_of_another_leader_at_the_index_leaves_the_fate_unknown() -> None:
    fleet = Fleet()
    old = fleet.leader()
    fleet.cut = {old.name}
    token = fleet.call("submit", submit(None, Open("r", "")), old)
    fleet.desks.pop(old.name)  # paused: it neither beats nor finds out
    fleet.until(lambda: any(desk.leader_state for desk in fleet.desks.values()))
    fleet.cut, fleet.desks[old.name] = set(), old
    fleet.until(lambda: token in fleet.answers)
    assert [answer.code for answer in fleet.answers[token]] == ["unknown_fate"]
    assert fleet.open("r", 1).session == 1  # with the same mark: it was not carried out
    fleet = Fleet("a")
    desk = fleet.desks["a"]
    desk.appended[desk.core.last + 1] = Proposal(7, (Order(99, (), 0),))
    desk._carry_out(fleet.now, desk.core.propose(fleet.now, 1 << 40, BOOKS, encode(Batch(0, 1, ()))))
    fleet.carry("a", desk.tick(fleet.now))
    assert [answer.code for answer in fleet.answers[99]] == ["unknown_fate"]


def test_a_grant_refused_is_not_asked_for_again_within_a_lease() -> None:
    fleet = Fleet("a")
    desk, fence = fleet.desks["a"], fleet.open("r")
    apply, refused = desk.books.apply, []

    def refusing(index: int, batch: Batch) -> tuple[Done, ...]:
        if not any(isinstance(command.what, Grant) for command in batch.commands):
            return apply(index, batch)
        refused.append(fleet.now)
        apply(index, batch._replace(commands=()))
        return (Done(code="over_whole", to="tries"),) * len(batch.commands)

    desk.books.apply = refusing
    for _ in range(25):
        fleet.renew(fence, tries=60)
        fleet.pass_time(fleet.now + TERMS.renew_interval)
    assert 2 <= len(refused) <= 3 and refused[1] - refused[0] >= TERMS.lease
    assert [note.level for note in fleet.notes].count("warning") == len(refused)


def test_levels_of_the_lapsed_are_free_in_time_though_nobody_asks() -> None:
    fleet = Fleet()
    fleet.renew(fleet.open("r"), held=40)
    fleet.until(lambda: fleet.leader().books.shares("held"))
    fleet.until(lambda: not fleet.leader().books.sessions())
    lapsed, books = fleet.now, fleet.leader().books
    assert books.pending("held") > 0
    fleet.until(lambda: not books.pending("held"))
    assert LEVEL.freed_after - 10 * MS <= fleet.now - lapsed <= LEVEL.freed_after + 2 * TERMS.renew_interval


def test_books_are_restored_from_snapshots_at_starts_and_by_followers() -> None:
    fleet = Fleet(terms=TERMS._replace(snapshot_every=5))
    behind = next(name for name in fleet.desks if name != fleet.leader().name)
    fleet.cut = {behind}
    fences = [fleet.open(f"r{number}") for number in range(12)]
    fleet.cut = set()
    fleet.until(lambda: len({desk.books.hash() for desk in fleet.desks.values()}) == 1)
    assert len(fleet.desks[behind].books.sessions()) == 12
    for name, disk in fleet.disks.items():
        assert disk.kept.snapshot.index > 5 and len(disk.kept.entries) < 10
        fleet.start(name)
        assert fleet.desks[name].books.index >= fences[0].session
    fleet.until(lambda: any(desk.leader_state for desk in fleet.desks.values()))
    assert fleet.renew(fences[-1]).lease == TERMS.lease


def test_an_unreadable_entry_is_skipped_and_reported() -> None:
    fleet = Fleet("a")
    desk = fleet.desks["a"]
    fleet.carry("a", Acts())
    desk._carry_out(fleet.now, desk.core.propose(fleet.now, 1 << 40, BOOKS, b"{"))
    fleet.pass_time(fleet.now + TERMS.renew_interval)
    assert [note.level for note in fleet.notes if note.msg == "entry that can't be read"] == ["error"]
    assert fleet.open("r").session == 1


# All orders of a small fleet: real sessions, members and books; the keepers' agreement is taken as one log,
# and a change of leader as what it leaves: a new account of leases, and proposals that are lost.

WHOLE, UNTIL = 2, 3  # microseconds; by then a lease is over and what it held can be granted again
SMALL = TERMS._replace(
    lease=2, drift=0, renew_interval=2, budgets=(forms.Budget("x", forms.RATE, WHOLE, 0, 2, 0, 0),)
)


def copied(original: Session | Member) -> Session | Member:
    """Returns a copy; only containers are copied, since values are never changed in place."""
    new = object.__new__(type(original))
    for name in getattr(original, "__slots__", None) or vars(original):
        value = getattr(original, name)
        setattr(new, name, value.copy() if isinstance(value, dict | list) else value)
    if isinstance(original, Session):
        new.rng = Prng(0)
        new.rng.word = original.rng.word
    return new


def plain(session: Session, under_way: set[int], now: int) -> tuple:
    """Returns all that can make a difference to a session's behaviour from now on."""
    waits = session.state in (side.AWAY, side.OPENING)
    return (
        session.state,
        session.fence,
        session.mark,
        max(session.next_at, now),
        waits and (session.failures, session.first_asked),
        waits and session.open_mark,
        session.granted_at,
        *session.held.values(),
        *sorted(session.given_back.items()),
        *sorted(session.unknown),
        *sorted(item for item in session.in_flight.items() if item[0] in under_way),
        *sorted(item for item in session.repeats.items() if item[0] in under_way),
        session.blocked_since,
    )


class World:
    __slots__ = (
        "answers",
        "books",
        "heard",
        "lapses",
        "left",
        "live",
        "now",
        "paused",
        "prompt",
        "relays",
        "requests",
        "until",
    )

    def __init__(self, prompt: bool, until: int) -> None:
        self.prompt, self.until = prompt, until
        self.now, self.books, self.live, self.lapses = 0, Books(), {}, ()
        self.books.apply(1, Batch(0, 1, (Command(None, 0, forms.Define(SMALL.budgets)),)))
        self.relays = [Session(f"r{number}", "", SMALL, Prng(number), 0) for number in (0, 1)]
        self.requests, self.heard, self.answers = [()] * 2, [None] * 2, [()] * 2
        self.paused, self.left = False, ("pause", "restart", "lead")
        self.act()

    def copy(self) -> "World":
        new = object.__new__(World)
        for name in World.__slots__:
            value = getattr(self, name)
            setattr(new, name, value.copy() if isinstance(value, list) else value)
        return new

    def relay(self, place: int) -> Session:
        """To be changed: other worlds share the one before."""
        self.relays[place] = copied(self.relays[place])
        return self.relays[place]

    def key(self) -> tuple:
        asked = [
            {request.asked_at for request in requests}
            | {asked for asked, _ in answers}
            | ({heard[0].asked_at} if heard else set())
            for requests, answers, heard in zip(self.requests, self.answers, self.heard, strict=True)
        ]
        counted = tuple(
            (session, max(member.renewed_at, self.now - SMALL.keeper_lease()), member.lapse_proposed)
            for session, member in self.live.items()
        )
        relays = (plain(session, under, self.now) for session, under in zip(self.relays, asked, strict=True))
        return (
            self.now,
            *relays,
            counted,
            self.books.shares("x"),
            self.lapses,
            *self.requests,
            *self.heard,
            *self.answers,
            self.paused,
            self.left,
            *(session.fence for session in self.books.sessions()),
        )

    def members(self) -> Members:
        members = Members(SMALL, 0, ())
        members.by_session = self.live = {session: copied(member) for session, member in self.live.items()}
        members.next_expiry = 0
        return members

    def apply(self, *commands: Command) -> tuple[Done, ...]:
        self.books = Books.from_snapshot(self.books.snapshot())
        dones = self.books.apply(self.books.index + 1, Batch(self.now, 1, commands))
        self.members().follow(self.now, [session.number for session in self.books.sessions()])
        if grant := self.grant():  # as soon as may be: that is the hardest for what is in use
            self.books.apply(self.books.index + 1, Batch(self.now, 1, (grant,)))
        return dones

    def act(self) -> None:
        """Has relays that run do what is due; an order without an answer counts as lost then."""
        for place in (0, 1):
            if not (place == 0 and self.paused) and self.relays[place].due() <= self.now:
                relay = self.relay(place)
                relay.take_results()
                self.requests[place] = tuple(relay.orders(self.now)) or self.requests[place]

    def steps(self) -> Iterator[tuple[str, Callable[["World"], None]]]:
        if self.now < self.until:
            yield "time", World.time
        if self.prompt and self.requests[1]:
            yield "serve", World.serve  # nothing else may come before
            return
        # The first relay's messages may take any time; the second, alike but for that, is served in one step.
        if self.requests[0]:
            yield "hear", World.hear
        if self.heard[0]:
            yield "confirm", World.confirm
        if self.answers[0] and not self.paused:
            yield "answer", World.answer
        if self.requests[1]:
            yield "serve", World.serve
        if self.lapses:
            yield "lapse", World.lapse
        if "restart" in self.left:
            yield "restart", World.restart
        if "lead" in self.left:
            yield "lead", World.lead
        if "pause" in self.left:  # of the first relay: they are alike
            yield "pause", World.pause
        if self.paused:
            yield "wake", World.wake

    def time(self) -> None:
        self.now += 1
        self.lapses += tuple(self.members().take_expired(self.now))
        self.act()

    def serve(self) -> None:
        while self.requests[1]:
            self.hear(1)
            if self.heard[1]:
                self.confirm(1)
            self.answer(1)

    def hear(self, place: int = 0) -> None:
        orders, self.requests[place] = self.requests[place], ()
        for order in orders:
            if isinstance(order, Beat):
                self.heard[place] = order, self.now
            else:
                self.answers[place] = ((order.asked_at, self.apply(*order.commands)),)

    def confirm(self, place: int = 0) -> None:
        (beat, heard), self.heard[place] = self.heard[place], None
        answer: Answer = Done(code="lapsed_lease")
        if self.books.fence_refusal(beat.fence) is None and self.members().renew(heard, beat):
            shares = self.books.session_shares(beat.fence.session)
            answer = Renewed(SMALL.lease, tuple(Share(*share) for share in shares))
        self.answers[place] = ((beat.asked_at, answer),)  # one that did not come by now is lost

    def answer(self, place: int = 0) -> None:
        ((asked_at, answer),) = self.answers[place]
        self.answers[place], relay = (), self.relay(place)
        relay.answered(self.now, asked_at, answer)
        share = relay.shares(self.now).get("x")
        if share and share.wanted < share.granted and not relay.unknown:
            # As if no answer had come: it goes with the next beats until one does.
            relay.lost(relay.command(GiveBack("x", share.wanted), self.now), "unknown_fate")
        self.act()

    def restart(self) -> None:
        self.left = tuple(action for action in self.left if action != "restart")
        self.paused, self.answers[0] = False, ()
        self.relays[0] = Session("r0", "", SMALL, Prng(7), self.now)
        self.act()

    def lapse(self) -> None:
        session, *rest = self.lapses
        self.lapses = tuple(rest)
        self.apply(Command(None, 0, Lapse(session)))

    def grant(self) -> Command | None:
        granted = {session: (has, wants) for session, has, wants in self.books.shares("x")}
        live = [session.number for session in self.books.sessions()]
        free, changes = WHOLE - sum(has for has, _ in granted.values()), []
        for session in live:
            has, wants = granted.get(session, (0, 0))
            aim = min(WHOLE // len(live), has + free)
            free -= max(0, aim - has)
            changes += [(session, aim)] if aim != wants else []
        return Command(None, 0, Grant("x", tuple(changes))) if changes else None

    def lead(self) -> None:
        self.left = tuple(action for action in self.left if action != "lead")
        self.heard, self.live = [None] * 2, self.counted_anew()
        self.lapses = tuple(self.members().take_expired(self.now))

    def counted_anew(self) -> dict[int, Member]:
        return Members(SMALL, self.now, [session.number for session in self.books.sessions()]).by_session

    def pause(self) -> None:
        self.left, self.paused = tuple(action for action in self.left if action != "pause"), True

    def wake(self) -> None:
        self.paused = False

    def fault(self) -> str:
        """Returns what running relays may use now, as each use checks it."""
        used = 0
        for place, relay in enumerate(self.relays):
            if not (place == 0 and self.paused):
                relay = copied(relay)
                used += sum(share.granted for share in relay.shares(self.now).values())
                if relay.is_usable(self.now) and self.books.session_by_number(relay.fence.session) is None:
                    return f"relay {place} thinks session {relay.fence.session} usable, which has lapsed"
        return f"{used} of {WHOLE} in use" if used > WHOLE else ""


def explored(until: int, prompt: bool) -> tuple[int, list[str]]:
    """Explores breadth first; returns the number of states, and the shortest path to a fault, if there is
    one.
    """
    first = World(prompt, until)
    parents: dict[tuple, tuple[tuple | None, str]] = {first.key(): (None, "")}
    todo = deque([first])
    while todo:
        world = todo.popleft()
        key = world.key()
        for name, step in world.steps():
            new = world.copy()
            step(new)
            there = new.key()
            if there in parents:
                continue
            parents[there] = key, name
            if fault := new.fault():
                way = [fault]
                while there is not None:
                    there, name = parents[there]
                    way.append(name)
                return len(parents), way[::-1]
            todo.append(new)
    return len(parents), []


@pytest.mark.parametrize("until, prompt", [(1, False), (UNTIL, True)])
def test_all_orders_of_two_relays_with_a_pause_a_restart_and_a_new_leader(until: int, prompt: bool) -> None:
    states, way = explored(until, prompt)
    assert not way, f"{states} states, then: {' / '.join(way)}"
    assert states > 1000, f"only {states} states"


def counted_from_the_answer(self: Session, now: int, asked_at: int, answer: Renewed) -> None:
    RENEWED(self, now, now, answer)


def not_counted_anew(self: World) -> dict[int, Member]:
    return {session.number: Member(0) for session in self.books.sessions()}


RENEWED = Session._on_renewed
BROKEN = {
    "a pause is not looked for at use": (Session, "is_usable", lambda self, now: self.state == side.HELD),
    "a lease counts from the answer": (Session, "_on_renewed", counted_from_the_answer),
    "renewed though a Lapse is proposed": (Members, "refuses", lambda self, one: one not in self.by_session),
    "a new leader does not count anew": (World, "counted_anew", not_counted_anew),
}


@pytest.mark.parametrize("guard", BROKEN)
def test_without_a_guard_the_exploration_finds_the_fault(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*BROKEN[guard])
    states, way = explored(UNTIL, True)
    assert way, f"{states} states and no fault though {guard}"
    assert "usable, which has lapsed" in way[-1] or "in use" in way[-1]


# One relay and one keeper in true time, with clocks that run wrong


def pair(seed: int, holder: int, keeper: int, handed_on: bool = False) -> int:
    """Returns how often the relay considered its lease usable when the books no longer had its session.

    Clocks run fast by `holder` and `keeper` parts per million; messages are late or lost, both sides pause.
    With `handed_on`, orders are forwarded by a third keeper, twice, which sleeps on each for up to a lease.
    """
    rng, terms, faults, true = Prng(seed), TERMS, 0, 0
    fleet, relay = Fleet("a", terms), Session("r", "", terms, Prng(seed + 1), 0)
    start, resumes, under_way, asked = fleet.now, [0, 0], [], {}
    for _ in range(900):
        true += 1 + rng.below(30 * MS)
        mine, theirs = (true + true * rate // 1_000_000 for rate in (holder, keeper))
        for place in (0, 1):
            if rng.below(50) == 0:
                resumes[place] = true + rng.below(2 * terms.lease)
        if true >= resumes[1]:
            for when, order in [entry for entry in under_way if entry[0] <= true]:
                under_way.remove((when, order))
                verb = "renew" if isinstance(order, Beat) else "submit"
                fleet.now = start + theirs
                asked[fleet.call(verb, order, fleet.desks["a"])] = order.asked_at
            fleet.pass_time(start + theirs)
        if true >= resumes[0]:
            live = fleet.desks["a"].books.sessions()
            faults += relay.is_usable(mine) and all(
                session_number.fence != relay.fence for session_number in live
            )
            for token in [token for token in asked if token in fleet.answers and rng.below(3)]:
                relay.answered(mine, asked.pop(token), fleet.answers[token][0])
            if relay.due() <= mine:
                times, longest = (2, terms.lease) if handed_on else (1, terms.lease // 4)
                under_way += [
                    (true + rng.below(longest), order) for order in relay.orders(mine) * times if rng.below(8)
                ]
    assert relay.fence is None or relay.fence.session > 1
    return faults


SEEDS, FAST = range(6), TERMS.drift - 1


def test_clocks_within_the_bound_and_pauses_never_let_a_lapsed_lease_be_used() -> None:
    for seed in SEEDS:
        for holder, keeper in ((-FAST, FAST), (0, 0), (FAST, -FAST), (-FAST, -FAST)):
            assert pair(seed, holder, keeper) == 0, f"seed {seed}, clocks {holder} and {keeper}"


def test_orders_forwarded_late_and_twice_never_extend_a_lapsed_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for seed in SEEDS:
        for holder, keeper in ((-FAST, FAST), (0, 0), (FAST, -FAST)):
            assert pair(seed, holder, keeper, True) == 0, f"seed {seed}, clocks {holder} and {keeper}"
    monkeypatch.setattr(Session, "_on_renewed", counted_from_the_answer)
    assert sum(pair(seed, 0, 0, True) for seed in SEEDS) > 0, "the way by hand shows no difference"


def test_a_lapsed_lease_is_used_beyond_the_clock_bound_or_without_the_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert sum(pair(seed, -6 * FAST, 3 * FAST) for seed in SEEDS) > 0
    monkeypatch.setattr(Session, "is_usable", lambda self, now: self.state == side.HELD)
    assert sum(pair(seed, 0, 0) for seed in SEEDS) > 0
