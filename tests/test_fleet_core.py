"""The keepers' log in memory: each hard case of Raft by hand, then seeded runs with all kinds of faults.

`Fleet` carries out what cores return, keeps disks in memory, and checks the invariants at every step: one
leader per term, one entry per index among all that were ever committed, no message before its write.
"""

from collections.abc import Callable

import pytest

from laurelcourse.fleet.keeper import membership, messages, progress, stale_disk
from laurelcourse.fleet.keeper.core import NEVER_US, Core
from laurelcourse.fleet.keeper.messages import BOOKS, FOLLOWER, LEADER, PROVING, REFUSED, Entry, Keepers, Kept
from laurelcourse.prng import Prng

MS = 1_000
BOUNDS = messages.Bounds(
    heartbeat=50 * MS,
    election_timeout=500 * MS,
    max_batch_bytes=150,
    max_in_flight=4,
    chunk_bytes=40,
    max_waiting=20,
)
ABC, FIVE = Keepers(tuple("abc")), Keepers(tuple("abcde"))


def log(*terms: int) -> tuple[Entry, ...]:
    return tuple(Entry(at + 1, term, BOOKS, b"%d" % term) for at, term in enumerate(terms))


def disk(name: str, *terms: int, term: int = 0, vote: str = "") -> Kept:
    return Kept(f"disk-{name}", term or max(terms, default=0), vote, None, log(*terms), {})


def written(kept: Kept, write: messages.Write) -> Kept:
    """Applies a write in the order that `Write` names, as a store has to."""
    entries, snap = kept.entries, write.snapshot or kept.snapshot
    if write.snapshot:
        entries = (
            () if write.snapshot_whole else tuple(entry for entry in entries if entry.index > snap.index)
        )
    if write.cut:
        entries = tuple(entry for entry in entries if entry.index < write.cut)
    entries += write.entries
    first = snap.index if snap else 0
    assert [entry.index for entry in entries] == list(range(first + 1, first + 1 + len(entries)))
    assert write.term > kept.term or kept.vote in ("", write.vote), "voted twice in a term"
    marks = kept.marks if write.marks is None else write.marks
    return Kept(kept.disk, write.term, write.vote, snap, entries, marks)


class Fleet:
    """With `faults`, messages are late, lost, duplicated and reordered, and keepers die around writes."""

    def __init__(
        self, keepers: Keepers = ABC, seed: int = 1, names: str = "", disks: dict[str, Kept] | None = None
    ) -> None:
        self.now, self.keepers, self.rng, self.faults = 0, keepers, Prng(seed * 7919 + 13), False
        self.cores: dict[str, Core] = {}
        self.disks, self.books = dict(disks or {}), dict[str, list[bytes]]()
        self.wire: list[tuple[int, int, str, str, messages.Message]] = []
        self.sent, self.asleep = 0, dict[str, int]()
        self.cut: set[tuple[str, str]] = set()
        self.leaders, self.committed = dict[int, str](), dict[int, Entry]()
        self.taken, self.reads, self.asked = dict[int, tuple[int, int]](), dict[int, int](), dict[int, int]()
        self.refused: dict[int, str] = {}
        for name in names or (*keepers.voters, *keepers.learners):
            self.start(name)

    def start(self, name: str, kept: Kept | None = None) -> None:
        """Starts a keeper from `kept`, else from its disk, else with an empty one."""
        kept = self.disks[name] = kept or self.disks.get(name) or disk(name)
        rng = Prng(self.rng.below(1 << 30))
        self.cores[name] = Core(name, BOUNDS, rng, kept, self.keepers, self.now)
        self.books[name] = kept.snapshot.data.split(b"|")[1:] if kept.snapshot else []

    def carry(self, name: str, out: messages.Out) -> messages.Out:
        fate = self.rng.below(400) if self.faults else -1
        if fate == 0:  # it dies before its write
            del self.cores[name]
            return out
        if out.write:
            self.disks[name] = written(self.disks[name], out.write)
        core, kept = self.cores[name], self.disks[name]
        assert (kept.term, kept.vote, kept.entries) == (core.term, core.vote, tuple(core.log.entries))
        if fate == 1:  # or after it, before its messages
            del self.cores[name]
            return out
        for to, message in out.send:
            for _ in range((self.rng.below(10) > 0) + (self.rng.below(10) == 0) if self.faults else 1):
                self.sent += 1
                at = self.now + MS + (self.rng.below(60 * MS) if self.faults else 0)
                self.wire.append((at, self.sent, name, to, message))
        if out.restore:
            self.books[name] = out.restore.data.split(b"|")[1:]
        for entry in out.apply:
            assert self.committed.setdefault(entry.index, entry) == entry, (
                "two entries committed at one index"
            )
            self.books[name].append(entry.data)
            assert len(self.books[name]) == entry.index, "not each once, in order"
        for token, index in out.reads:
            assert index >= self.asked[token], "older than what was committed when it was asked"
        self.taken |= {token: (index, term) for token, index, term in out.appended}
        self.reads |= dict(out.reads)
        self.refused |= dict(out.refused)
        if core.role == LEADER:
            assert self.leaders.setdefault(core.term, name) == name, "two leaders in a term"
        return out

    def say(self, sender: str, to: str, message: messages.Message) -> messages.Out:
        return self.carry(to, self.cores[to].hear(self.now, sender, message))

    def sleepers(self) -> set[str]:
        return {name for name, until in self.asleep.items() if until > self.now}

    def step(self) -> None:
        """Goes on to the next moment at which something happens."""
        awake = sorted(set(self.cores) - self.sleepers())
        dues = [self.cores[name].due() for name in awake] + [
            envelope[0] for envelope in self.wire if envelope[3] in awake
        ]
        self.now = max(self.now, min([*dues, self.now + BOUNDS.heartbeat]))
        ripe = sorted(
            envelope
            for envelope in self.wire
            if envelope[0] <= self.now and envelope[3] not in self.sleepers()
        )
        self.wire = [envelope for envelope in self.wire if envelope not in ripe]
        for _, _, sender, to, message in ripe:
            if to in self.cores and (sender, to) not in self.cut:
                self.say(sender, to, message)
        for name in awake:
            if name in self.cores and self.cores[name].due() <= self.now:
                self.carry(name, self.cores[name].tick(self.now))

    def run(self, until: Callable[[], object], within: int = 60_000 * MS) -> None:
        end = self.now + within
        while not until():
            self.step()
            assert self.now < end, {
                name: (core.role, core.term, core.last) for name, core in self.cores.items()
            }

    def rest(self, time: int = 3 * BOUNDS.heartbeat) -> None:
        end = self.now + time
        self.run(lambda: self.now >= end)

    def leading(self) -> str:
        results = [name for name, core in sorted(self.cores.items()) if core.role == LEADER]
        return max(results, key=lambda name: self.cores[name].term, default="")

    def lead(self, name: str = "a") -> Core:
        """Has a keeper become leader, and all others know it."""
        self.run(self.leading)
        self.rest()
        self.carry(self.leading(), self.cores[self.leading()].hand_over(self.now, name))
        self.run(lambda: self.leading() == name)
        self.rest()
        return self.cores[name]

    def propose(self, name: str, token: int) -> str:
        """Returns the code with which a proposal was refused, or ''."""
        self.carry(name, self.cores[name].propose(self.now, token, BOOKS, b"%d" % token))
        return self.refused.get(token, "")

    def read(self, name: str, token: int) -> None:
        self.asked[token] = max(self.committed, default=0)
        self.carry(name, self.cores[name].read(self.now, token))

    def change(self, name: str, voters: str, learners: str = "") -> str:
        self.refused.pop(-1, None)
        keepers = Keepers(tuple(sorted(voters)), tuple(sorted(learners)))
        self.carry(name, self.cores[name].change(self.now, -1, keepers))
        return self.refused.get(-1, "")

    def compact(self, name: str) -> None:
        books = b"|" + b"|".join(self.books[name])
        self.carry(name, self.cores[name].compact(self.now, self.cores[name].applied, books))

    def part(self, *names: str) -> None:
        """Cuts these keepers off from the others."""
        every = {*self.disks}
        self.cut = {
            (first, other) for first in every for other in every if (first in names) != (other in names)
        }

    def same(self) -> bool:
        """Waits until one leads, and all that it replicates to have applied the whole log."""
        if not (lead := self.leading()):
            return False
        inside = [self.cores[name] for part in self.cores[lead].keepers for name in part]
        last = self.cores[lead].last
        return all(core.applied == core.last == last and core.role in (FOLLOWER, LEADER) for core in inside)


SEEDS = 12  # of each fleet


def begun(kept: Kept, keepers: Keepers = ABC) -> tuple[Fleet, Core]:
    """Returns the keeper `b` alone, admitted, with that disk; the test reads its messages."""
    fleet = Fleet(keepers, disks={"b": kept}, names="b")
    for other in "acde":
        fleet.say(other, "b", messages.Known(0, kept.disk, False, messages.Mark("", 0, 0)))
    return fleet, fleet.cores["b"]


def elected(kept: Kept) -> tuple[Fleet, Core]:
    fleet, core = begun(kept)
    fleet.run(lambda: core.role == messages.CANDIDATE)
    fleet.say("a", "b", messages.Vote(core.term + 1, True, True))
    for sender, vote in (
        ("x", messages.Vote(core.term, True, False)),  # it has no vote
        ("a", messages.Vote(core.term + 1, True, True)),  # a trial, for another term
        ("a", messages.Vote(core.term, False, False)),
    ):
        fleet.say(sender, "b", vote)
        assert core.role == messages.CANDIDATE
    fleet.say("a", "b", messages.Vote(core.term, True, False))
    assert core.role == LEADER and core.marks.by_name == {"a": messages.Mark("", core.term, 0)}
    fleet.say("c", "b", messages.Append(core.term, 0, 0, (), 0, 1))  # a term has one leader
    assert core.role == LEADER
    return fleet, core


@pytest.mark.parametrize(
    "held, term, vote, ask, granted",
    [
        ((1, 2), 0, "", (3, 2, 2, False), True),
        ((1, 2), 0, "", (3, 9, 1, False), False),  # its last term is earlier
        ((1, 2), 0, "", (3, 1, 2, False), False),  # its log is shorter
        ((1, 2), 0, "", (1, 2, 2, False), False),  # a term gone by
        ((1,), 3, "c", (3, 2, 2, False), False),  # voted for another
        ((1,), 3, "a", (3, 2, 2, False), True),  # for this one, which asks again
        ((1,), 3, "", (3, 2, 2, False), False),  # the disk may have been copied before its vote
        ((1,), 0, "", (3, 2, 2, True), True),
        ((1,), 3, "", (3, 2, 2, True), False),  # of the term that it has
        ((1, 2), 0, "", (3, 2, 1, True), False),
    ],
)
def test_vote_requests_are_granted_or_refused(
    held: tuple, term: int, vote: str, ask: tuple, granted: bool
) -> None:
    fleet, core = begun(disk("b", *held, term=term, vote=vote))
    asked = messages.AskVote(*ask, handed=False)
    out = fleet.say("a", "b", asked)
    assert out.send == (("a", messages.Vote(asked.term if granted else core.term, granted, asked.trial)),)
    if asked.trial:
        assert out.write is None
    elif granted:
        assert fleet.disks["b"][1:3] == (3, "a") and not fleet.say("c", "b", asked).send[0][1].granted


@pytest.mark.parametrize(
    "handed, trial, late, heeded",
    [(False, False, 0, False), (False, True, 0, False), (True, False, 0, True), (False, False, 600, True)],
)
def test_a_follower_that_hears_its_leader_refuses_trial_votes(
    handed: bool, trial: bool, late: int, heeded: bool
) -> None:
    fleet, core = begun(disk("b", 1))
    fleet.say("a", "b", messages.Append(2, 1, 1, (), 1, 1))
    fleet.now += late * MS
    out = fleet.say("c", "b", messages.AskVote(9, 9, 9, trial, handed))
    assert (core.term, core.leader) == ((9, "") if heeded else (2, "a"))
    assert any(vote.granted for _, vote in out.send) == heeded


@pytest.mark.parametrize(
    "held, term, before, terms, known, answer, left, commit",
    [
        ((1, 1), 2, (2, 1), (1, 1, 2), 3, (True, 3), (1, 1, 2), 3),
        ((1, 1), 2, (3, 2), (), 3, (False, 2), (1, 1), 0),  # it has less
        ((1, 1, 1, 1), 2, (3, 2), (), 0, (False, 0), (1, 1, 1, 1), 0),  # back past the whole term
        ((1, 2, 2), 3, (3, 3), (), 1, (False, 1), (1, 2, 2), 0),
        ((1, 1, 1), 2, (1, 1), (1, 2), 1, (True, 2), (1, 2), 1),  # a real conflict is cut
        ((1, 1, 2), 2, (1, 1), (1, 1), 1, (True, 2), (1, 1, 2), 1),  # one that came late cuts nothing
        ((1, 1, 1), 2, (1, 1), (), 3, (True, 1), (1, 1, 1), 1),  # never past what matches
        ((1, 1), 2, (1, 1), (1, 1, 1, 2)[2:], 3, None, (1, 1), 0),  # no leader sends such
        ((1, 2), 1, (1, 1), (1, 1), 2, (False, 0), (1, 2), 0),
    ],
)  # a leader gone by
def test_appends_are_accepted_or_refused(
    held: tuple,
    term: int,
    before: tuple,
    terms: tuple,
    known: int,
    answer: tuple | None,
    left: tuple,
    commit: int,
) -> None:
    fleet, core = begun(disk("b", *held))
    entries = log(*terms)[before[0] :] if answer else log(*terms)
    out = fleet.say("a", "b", messages.Append(term, *before, entries, known, 7))
    expected = [messages.Appended(core.term, *answer, 7 if term == core.term else 0)] if answer else []
    assert [message for _, message in out.send] == expected
    assert (tuple(entry.term for entry in core.log.entries), core.commit, core.applied) == (
        left,
        commit,
        commit,
    )


def test_committed_entries_are_never_truncated() -> None:
    fleet, core = begun(disk("b", 1, 1))
    fleet.say("a", "b", messages.Append(1, 2, 1, (), 2, 1))
    out = fleet.say("a", "b", messages.Append(1, 0, 0, log(5), 0, 1))
    assert core.last == 2 and out.send[0][1] == messages.Appended(1, True, 2, 1)
    late = fleet.say("a", "b", messages.Piece(1, 1, 1, ABC, 0, b"", True, 1))
    assert late.restore is None and late.send[0][1].done and core.commit == 2


def named(at: int, term: int, keepers: Keepers) -> Entry:
    return Entry(at, term, messages.KEEPERS, membership.encode_keepers(keepers))


def test_membership_follows_the_log() -> None:
    fleet, core = begun(disk("b", 1)._replace(entries=(*log(1), named(2, 1, FIVE))))
    assert core.keepers == FIVE
    fleet.say("a", "b", messages.Append(2, 1, 1, log(1, 2)[1:], 1, 1))
    assert core.keepers == ABC and core.last == 2


@pytest.mark.parametrize("index_term, last", [(1, 4), (2, 3)])
def test_a_snapshot_keeps_only_matching_later_entries(index_term: int, last: int) -> None:
    fleet, core = begun(disk("b", 1, 1, 1, 1))
    for term, index, at, data, offset in (
        (2, 3, 0, b"|x|", 3),
        (3, 3, 3, b"the rest, of another leader", 0),
        (3, 3, 0, b"|a|", 3),
        (3, 2, 0, b"of an earlier one", None),
        (3, 3, 9, b"too early", 3),
        (3, 3, 3, b"b|c", 6),
    ):
        assert core.commit == 0
        out = fleet.say("a", "b", messages.Piece(term, index, index_term, FIVE, at, data, at > 2, 1))
        assert [message.offset for _, message in out.send] == ([] if offset is None else [offset])
    assert fleet.books["b"] == [b"a", b"b", b"c"]
    assert (core.last, core.commit, core.keepers) == (last, 3, FIVE)


def test_entries_of_former_terms_are_committed_by_one_of_the_current_term() -> None:
    fleet, core = elected(disk("b", 1, 2, term=3))
    fleet.say("a", "b", messages.Appended(4, True, 2, 1))
    fleet.say("a", "b", messages.Appended(4, True, 99, 1))  # more than there is
    assert core.commit == 0  # figure 8: a majority holds entry 2, and it may still be lost
    assert [entry.index for entry in fleet.say("a", "b", messages.Appended(4, True, 3, 1)).apply] == [1, 2, 3]


def test_a_read_is_confirmed_by_a_round_begun_after_it_and_after_the_first_commit_of_the_term() -> None:
    fleet, core = elected(disk("b", 1))
    fleet.read("b", 1)
    assert not fleet.say("a", "b", messages.Appended(2, True, 1, 1)).reads and core.commit == 0
    out = fleet.say("a", "b", messages.Appended(2, True, 3, 1))
    assert core.commit == 3 and not out.reads and {to for to, _ in out.send} == set("ac")
    fleet.read("b", 2)
    assert not fleet.say("c", "b", messages.Appended(1, True, 3, 2)).reads  # of another term
    assert fleet.say("c", "b", messages.Appended(2, True, 1, 2)).reads == ((1, 3),)
    assert fleet.say("a", "b", messages.Appended(2, False, 1, 3)).reads == ((2, 3),)


def test_an_answer_to_a_former_term_confirms_no_read() -> None:
    word = begun(disk("c", 1, term=2))[0].say("a", "b", messages.Append(1, 1, 1, (), 1, 1_000)).send[0][1]
    lead, core = elected(disk("b", 1))
    lead.say("a", "b", messages.Appended(2, True, 3, 1))
    lead.read("b", 1)
    assert word.term == core.term and not lead.say("c", "b", word).reads


def test_an_isolated_leader_steps_down_and_rejoins_quietly() -> None:
    fleet = Fleet()
    old = fleet.lead("a")
    fleet.part("a")
    fleet.read("a", 1)
    assert fleet.propose("a", 2) == ""
    fleet.run(lambda: old.role != LEADER, BOUNDS.election_timeout)
    assert fleet.refused == {1: "no_quorum"} and old.leader == ""
    fleet.run(lambda: fleet.leading() in ("b", "c"), 4 * BOUNDS.election_timeout)
    fleet.propose(fleet.leading(), 3)
    fleet.rest(10 * BOUNDS.election_timeout)
    before = fleet.cores[fleet.leading()].term
    fleet.cut = set()
    fleet.run(fleet.same)
    assert fleet.cores[fleet.leading()].term == before and fleet.books["a"][-1:] == [b"3"]


def test_leadership_is_transferred_to_an_up_to_date_follower() -> None:
    fleet = Fleet()
    old, start = fleet.lead("a"), fleet.now
    fleet.propose("a", 1)
    out = fleet.carry("a", old.hand_over(fleet.now, "c"))
    assert messages.TakeOver(old.term) not in [message for _, message in out.send]  # entry 1 first
    assert not fleet.say("b", "c", messages.TakeOver(old.term)).send  # not from the leader
    assert fleet.propose("a", 2) == "not_leader" and fleet.change("a", "ab") == "not_leader"
    fleet.run(lambda: fleet.leading() == "c", BOUNDS.election_timeout // 2)
    fleet.run(fleet.same)
    assert b"1" in fleet.books["c"] and fleet.now - start < BOUNDS.election_timeout
    fleet.part("b")
    fleet.carry("c", fleet.cores["c"].hand_over(fleet.now, "b"))  # it can't be reached: leads on
    fleet.rest(BOUNDS.election_timeout)
    assert fleet.leading() == "c" and fleet.propose("c", 3) == ""
    fleet.rest()
    fleet.carry("c", fleet.cores["c"].hand_over(fleet.now))
    fleet.run(lambda: fleet.leading() == "a", BOUNDS.election_timeout // 2)  # the one furthest ahead


def test_membership_changes_one_at_a_time() -> None:
    fleet = Fleet(names="abcde")
    lead = fleet.lead("a")
    for voters, learners, code in [
        ("abcd", "", "unfit_change"),  # was no learner
        ("abc", "de", "unfit_change"),  # two
        ("abc", "", "unfit_change"),  # none
        ("abc", "c", "unfit_change"),
        ("", "abc", "unfit_change"),
        ("abc", "d", ""),
        ("abc", "de", "change_under_way"),
    ]:
        assert fleet.change("a", voters, learners) == code
    assert fleet.change("a", "abcd") == "change_under_way"
    fleet.rest()
    fleet.part("d")
    for token in range(9):
        fleet.propose("a", token)
    fleet.rest()
    assert fleet.change("a", "abcd") == "unfit_change"  # has not caught up
    fleet.cut = set()
    fleet.rest()
    assert fleet.change("a", "abcd") == "" and lead.keepers.voters == tuple("abcd")
    fleet.rest()
    fleet.cut = {("b", "a"), ("c", "a")}
    fleet.rest(BOUNDS.election_timeout - 3 * BOUNDS.heartbeat)
    fleet.cut = set()
    fleet.rest()
    assert lead.role == LEADER and fleet.change("a", "bcd") == ""
    fleet.run(lambda: fleet.leading() in tuple("bcd") and lead.role == FOLLOWER, BOUNDS.election_timeout)
    fleet.rest(9 * BOUNDS.election_timeout)
    assert fleet.leading() in tuple("bcd") and fleet.cores[fleet.leading()].keepers.voters == tuple("bcd")


def test_no_change_before_an_entry_of_the_own_term_is_committed() -> None:
    fleet, core = elected(disk("b", term=1)._replace(snapshot=messages.Snapshot(1, 1, ABC, b"|1")))
    fleet.say("a", "b", messages.Appended(2, True, 1, 1))
    assert core.commit == 1 and fleet.change("b", "abc", "d") == "change_under_way"
    fleet.say("a", "b", messages.Appended(2, True, 2, 1))
    assert fleet.change("b", "abc", "d") == "" and fleet.change("b", "abc") == "change_under_way"
    out = fleet.say("a", "b", messages.Appended(2, True, 3, 1))
    assert [to for to, message in out.send if message.commit == 3] == ["a", "c", "d"]  # told at once


@pytest.mark.parametrize("without", [Keepers(("a", "c")), Keepers(("a", "c"), ("b",))])
def test_a_removed_keeper_may_ask_for_votes_but_gets_none(without: Keepers) -> None:
    fleet, core = begun(disk("b", 1)._replace(entries=(named(1, 1, ABC), named(2, 1, without))))
    fleet.run(lambda: core.role == messages.CANDIDATE)
    for trial, sender in ((True, "a"), (True, "c"), (False, "a")):
        fleet.say(sender, "b", messages.Vote(core.term + trial, True, trial))
    assert core.role == messages.CANDIDATE
    fleet.say("c", "b", messages.Vote(core.term, True, False))
    assert core.role == LEADER
    for sender in "ac":
        fleet.say(sender, "b", messages.Appended(2, True, 3, 1))
    assert core.role == FOLLOWER and core.commit == 3
    fleet.rest(9 * BOUNDS.election_timeout)
    assert core.role == FOLLOWER and core.term == 2


@pytest.mark.parametrize(
    "old, new, caught_up, alive, fits",
    [
        (Keepers(("a",), ("b",)), Keepers(("a", "b")), "b", "ab", True),
        (Keepers(("a",), ("b",)), Keepers(("a", "b")), "", "ab", False),
        (Keepers(("a",), ("b",)), Keepers(("a", "b"), ("b",)), "b", "ab", False),
        (ABC, Keepers(("b", "a")), "", "abc", False),
        (ABC, Keepers(("a", "b", "c"), ("d;",)), "", "abc", False),
        (ABC, Keepers(("a", "b")), "", "ab", True),
        (ABC, Keepers(("a", "b")), "", "ac", False),
    ],
)
def test_valid_membership_changes(old: Keepers, new: Keepers, caught_up: str, alive: str, fits: bool) -> None:
    assert membership.is_allowed(old, new, set(caught_up), set(alive)) == fits


@pytest.mark.parametrize("lost", range(5))
def test_a_lagging_follower_gets_a_snapshot_despite_lost_or_repeated_chunks(lost: int) -> None:
    fleet = Fleet()
    fleet.lead("a")
    fleet.part("c")
    for token in range(60):
        fleet.propose("a", token)
        fleet.step()
    fleet.rest()
    fleet.compact("a")
    fleet.propose("a", 61)
    fleet.cut, seen = set(), 0
    while fleet.cores["c"].commit < fleet.cores["a"].last:
        fleet.step()
        for one in [envelope for envelope in fleet.wire if isinstance(envelope[4], messages.Piece)]:
            seen += 1
            if seen == lost:
                fleet.wire.remove(one)
            elif seen == lost + 1:
                fleet.wire.append((one[0] + 30 * MS, 10**6 + seen, *one[2:]))
        assert fleet.now < 60_000 * MS and seen < 30
    assert fleet.books["c"] == fleet.books["a"] and fleet.disks["c"].snapshot and seen >= lost


def test_pipelining_and_waiting_commands_are_bounded() -> None:
    fleet = Fleet()
    lead = fleet.lead("a")
    fleet.part("c")
    for token in range(100, 100 + BOUNDS.max_waiting):
        assert fleet.propose("a", token) == ""
    assert fleet.propose("a", 1) == "overloaded"
    fleet.carry("a", lead.propose(fleet.now, 3, messages.KEEPERS, b"a;"))
    assert fleet.refused[3] == "unfit_change"
    fleet.read("a", 2)
    assert fleet.refused[2] == "overloaded"
    with_entries = [envelope[4] for envelope in fleet.wire if envelope[3] == "b" and envelope[4].entries]
    assert len(with_entries) == BOUNDS.max_in_flight
    fleet.run(lambda: lead.commit == lead.last, BOUNDS.election_timeout)


def test_a_diverged_follower_is_corrected_in_few_messages() -> None:
    kept = {"a": disk("a", 1, *[3] * 40), "b": disk("b", 1, *[3] * 40), "c": disk("c", 1, *[2] * 60, term=3)}
    fleet = Fleet(disks=kept)
    fleet.run(fleet.leading)
    refused = set[int]()
    while not fleet.same():
        fleet.step()
        sizes = [
            sum(len(entry.data) + 32 for entry in envelope[4].entries)
            for envelope in fleet.wire
            if isinstance(envelope[4], messages.Append)
        ]
        assert max(sizes, default=0) <= BOUNDS.max_batch_bytes
        refused |= {
            envelope[1]
            for envelope in fleet.wire
            if isinstance(envelope[4], messages.Appended) and not envelope[4].ok
        }
    assert len(refused) <= 3 and fleet.books["c"] == fleet.books["a"]


@pytest.mark.parametrize(
    "comes_back, role", [("same", FOLLOWER), ("older", REFUSED), ("wiped", REFUSED), ("a term back", REFUSED)]
)
def test_an_older_disk_is_detected_and_refused(comes_back: str, role: str) -> None:
    fleet = Fleet()
    fleet.lead("a")
    fleet.rest()
    former = fleet.disks["c"]
    if comes_back == "a term back":
        fleet.lead("b")
    for token in range(5):
        fleet.propose(fleet.leading(), token)
        fleet.rest()
    kept = {"same": fleet.disks["c"], "wiped": disk("c")._replace(disk="another")}.get(comes_back, former)
    leader = fleet.leading()
    del fleet.cores[leader]  # whoever is left must know it
    fleet.start("c", kept)
    assert fleet.cores["c"].role == PROVING
    assert not fleet.say("b", "c", messages.AskVote(99, 99, 99, False, True)).send
    fleet.rest(2 * BOUNDS.election_timeout)
    assert fleet.cores["c"].role == role and (role == FOLLOWER or fleet.cores["c"].due() == NEVER_US)
    fleet.start(leader)
    fleet.rest(9 * BOUNDS.election_timeout)
    assert fleet.leading() and (fleet.cores["c"].role == REFUSED) == (role == REFUSED)


def test_a_leader_with_a_restored_disk_is_detected_without_any_heartbeat() -> None:
    """It was elected and committed by the one other keeper that hears it, which is alive.

    Its first heartbeat, which names what it holds, was lost. If admitted, it would elect the third keeper in
    the same term, without that entry.
    """
    fleet = Fleet()
    fleet.lead("a")
    former = fleet.disks["c"]
    fleet.part("b")
    fleet.carry("a", fleet.cores["a"].hand_over(fleet.now, "c"))
    for _ in range(60):
        fleet.wire = [envelope for envelope in fleet.wire if not getattr(envelope[4], "marks", ())]
        if fleet.cores["c"].commit > former.entries[-1].index:
            break
        fleet.step()
    term, last = fleet.cores["c"].term, fleet.cores["c"].commit
    assert fleet.leaders[term] == "c" and fleet.committed[last].term == term > former.term
    fleet.cut, fleet.wire = set(), []
    fleet.start("c", former)
    fleet.rest(9 * BOUNDS.election_timeout)
    assert fleet.cores["c"].role == REFUSED
    assert fleet.leading() and fleet.cores[fleet.leading()].log.term_at(last) == term


def test_messages_of_another_disk_do_not_exclude_the_current_one() -> None:
    fleet = Fleet()
    fleet.lead("a")
    true = fleet.disks["c"]
    fleet.start("c", disk("c", *[8] * 30)._replace(disk="another"))
    fleet.rest()
    assert fleet.cores["c"].role == REFUSED
    fleet.say("c", "a", messages.Known(9, "disk-a", False, stale_disk.NO_MARK))
    fleet.start("c", true)
    fleet.rest(2 * BOUNDS.election_timeout)
    assert fleet.cores["c"].role == FOLLOWER


def told_of_disk(message: messages.Message, core: Core) -> messages.Mark:
    """Returns what a message shows that its sender holds: its term, and an entry of that term."""
    if getattr(message, "trial", False):
        return stale_disk.NO_MARK
    last = message.before_index + len(message.entries) if isinstance(message, messages.Append) else 0
    last = message.index if isinstance(message, messages.Appended) and message.ok else last
    return messages.Mark("", message.term, last if core.log.term_at(last) == message.term else 0)


@pytest.mark.parametrize("seed", range(3))
def test_a_disk_older_than_its_messages_is_known_to_their_receivers(seed: int) -> None:
    """Requests for votes and entries count too: a candidate counts its own vote, a leader what it holds
    itself.
    """
    fleet, moments, marks_told, refused = Fleet(seed=seed), [], [stale_disk.NO_MARK], 0
    carry, say = fleet.carry, fleet.say

    def carried(name: str, out: messages.Out) -> messages.Out:
        if name == "c" and out.write:
            moments.append(out.write)
        return carry(name, out)

    def said(sender: str, to: str, message: messages.Message) -> messages.Out:
        told_it = not isinstance(message, messages.Hello | messages.Known) and fleet.cores[to].role != PROVING
        if sender == "c" and told_it:
            marks_told.append(max(marks_told[-1], told_of_disk(message, fleet.cores["c"])))
        return say(sender, to, message)

    fleet.carry, fleet.say, disks = carried, said, [fleet.disks["c"]]
    for token in range(1, 250):
        fleet.step()
        lead = fleet.leading()
        if lead and fleet.rng.below(3) == 0:
            fleet.propose(lead, token)
        elif lead and fleet.rng.below(25) == 0:
            fleet.carry(lead, fleet.cores[lead].hand_over(fleet.now))
        while moments:
            disks.append(written(disks[-1], moments.pop(0)))
        for kept in disks:
            last = kept.entries[-1].index if kept.entries and kept.entries[-1].term == kept.term else 0
            held = messages.Mark(kept.disk, kept.term, last)
            is_known = any(stale_disk.is_older(held, fleet.cores[name].marks.of("c")) for name in "ab")
            assert is_known >= stale_disk.is_older(held, marks_told[-1]), (held, marks_told[-1])
            refused += is_known
        assert not is_known, "its newest disk is not let in"
    assert refused > 1000 and "c" in fleet.leaders.values()


@pytest.mark.parametrize("later, role", [(None, FOLLOWER), (True, REFUSED)])
def test_a_keeper_that_may_know_more_is_awaited_for_an_election_timeout(
    later: bool | None, role: str
) -> None:
    fleet = Fleet(disks={"b": disk("b", 1)}, names="b")
    fleet.say("a", "b", messages.Known(1, "disk-b", False, messages.Mark("", 0, 0)))
    fleet.rest(BOUNDS.election_timeout // 2)
    if later:
        fleet.say("c", "b", messages.Known(1, "disk-b", True, messages.Mark("disk-b", 1, 2)))
    fleet.rest(BOUNDS.election_timeout)
    assert fleet.cores["b"].role == role


@pytest.mark.parametrize(
    "sender, reports, role",
    [
        ("a", (1, "disk-b", False, ("disk-b", 1, 1)), PROVING),  # the other one may know more
        ("ac", (1, "disk-b", False, ("disk-b", 1, 1)), FOLLOWER),
        ("a", (1, "disk-b", True, ("", 0, 0)), REFUSED),
        ("a", (1, "disk-b", False, ("disk-b", 1, 2)), REFUSED),  # what was seen is more, whatever it says
        ("a", (1, "disk-b", False, ("another", 0, 0)), REFUSED),
        ("a", (1, "another", True, ("disk-b", 9, 9)), PROVING),  # an answer to another disk
        ("x", (1, "disk-b", False, ("", 0, 0)), PROVING),
    ],
)  # no voter
def test_admission_by_what_others_know_of_a_disk(sender: str, reports: tuple, role: str) -> None:
    fleet = Fleet(disks={"b": disk("b", 1)}, names="b")
    for name in sender:
        fleet.say(name, "b", messages.Known(*reports[:3], messages.Mark(*reports[3])))
    assert fleet.cores["b"].role == role
    out = fleet.say("x", "b", messages.Hello(4, "disk-x", 0))
    assert out.send[0][1].older is False and out.write is None  # no keeper, no mark
    out = fleet.say("c", "b", messages.Hello(4, "disk-c", 0))
    assert out.send[0][1].older is False and out.write.marks == {"c": messages.Mark("disk-c", 4, 0)}


def test_marks_never_decrease_and_exclude_entries_that_may_be_truncated() -> None:
    marks = stale_disk.Marks("b", {})
    for mark in (("", 1, 5), ("d", 1, 3), ("other", 9, 9), ("", 2, 0), ("", 1, 9)):
        marks.note("c", messages.Mark(*mark))
    assert marks.by_name == {"c": messages.Mark("d", 2, 0)}
    fleet = Fleet(disks={"b": disk("b", 1, 1, term=2)}, names="b")
    assert fleet.carry("b", fleet.cores["b"].tick(0)).send[0][1] == messages.Hello(2, "disk-b", 0)


def test_late_answers_do_not_move_a_followers_progress_back() -> None:
    follower = progress.Progress(0, 9, 4)
    follower.record_match(5)
    follower.record_mismatch(2)
    assert (follower.next, follower.state) == (6, progress.PROBE)
    follower.begin_snapshot(messages.Snapshot(8, 1, ABC, b"x" * 99))
    follower.record_mismatch(7)
    assert follower.state == progress.SNAPSHOT
    assert [follower.record_chunk_answer(offset) for offset in (40, 40, 80, 40, 80)] == [
        True,
        False,
        True,
        False,
        True,
    ]


def test_a_single_keeper_leads_and_commits_in_one_write() -> None:
    fleet = Fleet(Keepers(("a",)))
    fleet.step()
    out = fleet.carry("a", fleet.cores["a"].propose(fleet.now, 1, BOOKS, b"x"))
    assert out.apply == out.write.entries and out.appended == ((1, 3, 1),)
    fleet.read("a", 2)
    assert fleet.reads == {2: 3} and fleet.now == 0
    fleet.start("a")
    fleet.run(fleet.same)
    assert fleet.books["a"][2] == b"x"


def fault(fleet: Fleet, token: int) -> None:
    """Injects something that operators, relays or machines do to a keeper."""
    every, rng, lead = sorted(fleet.disks), fleet.rng, fleet.leading()
    name, what = every[rng.below(len(every))], rng.below(60)
    if name not in fleet.cores:
        if what < 20:
            fleet.start(name)
    elif what < 20:
        fleet.propose(lead or name, token)
    elif what < 30:
        fleet.read(name, token)
    elif what < 33:
        fleet.part(name, every[rng.below(len(every))])
        fleet.cut = {pair for pair in fleet.cut if what == 30 or name in pair[what - 31 : what - 30]}
    elif what < 37:
        fleet.cut = set()
    elif what < 39:
        fleet.compact(name)
    elif what == 39:
        fleet.asleep[name] = fleet.now + rng.below(2 * BOUNDS.election_timeout)
    elif what == 40:
        fleet.carry(name, fleet.cores[name].hand_over(fleet.now))
    elif what < 45 and lead:
        voters, learners = (set(part) for part in fleet.cores[lead].keepers)
        if name in voters:
            learners |= {name} if what == 43 else set()
            voters.discard(name)
        else:
            voters |= {name} & learners
            learners ^= {name}
        fleet.change(lead, "".join(voters), "".join(learners))


@pytest.mark.parametrize(
    "keepers, names",
    [(ABC, "abcde"), (FIVE, "abcdef"), (Keepers(("a",)), "abc"), (Keepers(("a", "b")), "abc")],
)
@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_faults_leave_one_log_with_all_committed_entries(
    keepers: Keepers, names: str, seed: int
) -> None:
    fleet = Fleet(keepers, seed, names)
    fleet.faults = True
    for token in range(1, 600):
        fleet.step()
        if fleet.rng.below(4) == 0:
            fault(fleet, token)
    fleet.faults, fleet.cut = False, set()
    for name in set(fleet.disks) - set(fleet.cores):
        fleet.start(name)
    fleet.run(fleet.same)
    inside = [name for part in fleet.cores[fleet.leading()].keepers for name in part]
    assert (
        all(
            fleet.books[name] == [fleet.committed[at].data for at in sorted(fleet.committed)]
            for name in inside
        )
        and len(fleet.committed) > 5
    )
