"""Leases from both sides, a keeper's decisions around the core, and all orders of a small fleet."""

import json
from collections import deque
from collections.abc import Callable, Iterator

import pytest

from laurelcourse.chance import Chance
from laurelcourse.fleet import session as side
from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Batch, Command, Done, Fence, GiveBack, Grant, Lapse, Open
from laurelcourse.fleet.errors import LapsedLeaseError, OverloadedError
from laurelcourse.fleet.keeper.clock import Account
from laurelcourse.fleet.keeper.forms import BOOKS, Bounds, Entry, Keepers, Kept, Mark, Snapshot, Write
from laurelcourse.fleet.keeper.together import merged
from laurelcourse.fleet.members import Members
from laurelcourse.fleet.orders import Beat, Renewed, Share, Submit, Terms
from laurelcourse.fleet.session import Session

MS = 1_000
RATE = forms.Budget("tries", forms.RATE, 100, 10, 4, 0, 0)
LEVEL = forms.Budget("held", forms.LEVEL, 40, 0, 4, 0, 900 * MS)
BOUNDS = Bounds(20 * MS, 200 * MS, 1 << 16, 8, 1 << 14, 64)
TERMS = Terms("f", 1000 * MS, 100_000, 100 * MS, 16, BOUNDS, Keepers(("a", "b", "c")), (RATE, LEVEL), 1 << 30)
FENCE = Fence("r", 1, 1, 1)


def test_the_holders_time_is_over_before_the_keepers() -> None:
    for lease in (1000, 999_999, 1_000_000):
        for drift in (0, 1, 333, 100_000):
            terms = TERMS._replace(lease=lease, drift=drift)
            # in true time, each clock as wrong as it may be in the worse direction
            assert terms.holds() * (1_000_000 + drift) < terms.binds() * (1_000_000 - drift)


# The relay's side

def opened(at: int = 0, terms: Terms = TERMS) -> Session:
    one = Session("r", "s", terms, Chance(1), at)
    one.orders(at)
    one.answered(at, at, (Done(FENCE),))
    return one


def renew(one: Session, asked: int, now: int, *shares: Share) -> None:
    one.next_at = asked
    assert isinstance(one.orders(asked)[0], Beat)
    one.answered(now, asked, Renewed(TERMS.lease, shares))


@pytest.mark.parametrize("steps, state, usable", [
    ((), side.HELD, True),
    (("at 899998",), side.HELD, True), (("at 899999",), side.LAPSED, False),
    (("ask 500000", "yes 500000 900000", "at 1399998"), side.HELD, True),
    (("ask 500000", "yes 500000 900000", "at 1399999"), side.LAPSED, False),
    (("ask 500000", "at 950000", "yes 500000 950000"), side.HELD, True),
    (("ask 500000", "at 1500000", "yes 500000 1500000"), side.LAPSED, False),
    (("ask 500000", "ask 600000", "yes 600000 700000", "yes 500000 700000", "at 1499998"), side.HELD, True),
    (("ask 500000", "no 500000 500001 not_leader"), side.HELD, True),
    (("ask 500000", "no 500000 500001 lapsed_lease"), side.OPENING, False),
    (("ask 500000", "no 500000 500001 fenced_off"), side.OPENING, False),
    (("no 77 500000 fenced_off",), side.HELD, True),
    (("close",), side.CLOSING, False),
    (("close", "ask 500000", "no 500000 500001 no_quorum"), side.CLOSING, False),
    (("close", "ask 500000", "done 500000"), side.ENDED, False),
    (("close", "ask 500000", "no 500000 500001 lapsed_lease"), side.ENDED, False)])
def test_states_of_a_session(steps: tuple[str, ...], state: str, usable: bool) -> None:
    one, now = opened(), 0
    for step in steps:
        verb, *rest = step.split()
        numbers = [int(word) for word in rest if word.isdigit()]
        now = max([now, *numbers])
        match verb:
            case "at":
                one.usable(now)
            case "ask":
                one.next_at = now
                assert len(one.orders(now)) == 1
            case "yes":
                one.answered(now, numbers[0], Renewed(TERMS.lease, ()))
            case "no":
                one.failed(now, numbers[0], rest[-1])
            case "done":
                one.answered(now, numbers[0], (Done(),))
            case "close":
                one.close(now)
    assert (one.state, one.usable(now)) == (state, usable)
    assert bool(one.shares(now)) is False


def test_a_state_is_not_left_but_as_stated() -> None:
    one = opened()
    with pytest.raises(AssertionError, match="held can't become away"):
        one._turn(side.AWAY)


def test_openings_bear_one_mark_until_refused_and_pause_longer_each_time() -> None:
    one, now, marks, pauses = Session("r", "s", TERMS, Chance(4), 0), 0, [], []
    for _ in range(8):
        order = one.orders(now)[0]
        marks.append(order.commands[0].mark)
        one.failed(now, order.asked_at, "no_quorum")
        pauses.append(one.due() - now)
        assert one.orders(one.due() - 1) == []
        now = one.due()
    longest = [min(TERMS.beat << min(times, 5), TERMS.lease) for times in range(8)]
    assert all(most // 2 <= pause < most for most, pause in zip(longest, pauses, strict=True))
    assert len(set(marks)) == 1 and len({pause / most for pause, most in zip(pauses, longest, strict=True)}) > 4
    order = one.orders(now)[0]
    one.answered(now, order.asked_at, (Done(code="name_taken"),))
    assert one.state == side.AWAY and one.orders(one.due())[0].commands[0].mark != marks[0]
    # never answered at all: asked again, and the lease counts from the first asking
    first, now = one.due() - TERMS.lease, one.due()
    order = one.orders(now)[0]
    one.answered(now, now, (Done(FENCE),))
    assert order.commands[0].mark == one.open_mark and one.granted_at == first and not one.usable(now)


def test_unknown_fates_are_asked_again_with_the_same_mark() -> None:
    one = opened()
    renew(one, 10, 20, Share("tries", 30, 30))
    commands = [one.command(GiveBack("tries", keeps), 30) for keeps in (20, 10)]
    assert [command.mark for command in commands] == [1, 2]
    for command in commands:
        one.lost(command, "unknown_fate")
    one.next_at = 40
    beat, submit = one.orders(40)
    assert submit == Submit(tuple(commands), 40) and beat.fence == FENCE
    one.answered(50, 40, (Done((20,)), Done(code="not_leader")))
    assert one.settled() == [(commands[0], Done((20,)))] and one.settled() == []
    one.next_at = 60
    assert one.orders(60)[1].commands == (commands[1],)
    for _ in range(side.MARKS - 1):
        one.command(GiveBack("held", 0), 61)
    with pytest.raises(OverloadedError):      # or its fate would be forgotten by the books
        one.command(GiveBack("held", 0), 61)
    one.failed(70, 60, "fenced_off")
    assert [done.code for _, done in one.settled()] == ["unknown_fate"]
    with pytest.raises(LapsedLeaseError):
        one.command(GiveBack("tries", 0), 80)


@pytest.mark.parametrize("steps, granted", [
    ("", 30), ("back", 10), ("back old30", 10), ("back new30", 10), ("back new30 known old30", 10),
    ("back known new30", 30), ("back new10", 10), ("back new10 old30", 10), ("back new10 new30", 30),
    ("back new10 late20 new30", 30), ("back back5 new10 new30", 5), ("back back5 known new30", 5)])
def test_a_share_given_back_is_not_used_on_an_older_word(steps: str, granted: int) -> None:
    one = opened()
    renew(one, 10, 20, Share("tries", 30, 10))
    one.next_at = 90
    one.orders(90)                                       # asked before anything is given back
    now, back = 100, None
    for step in steps.split():
        now += 10
        if step.startswith("back"):
            command = one.command(GiveBack("tries", int(step[4:] or 10)), now)
            back = back or command
        elif step == "known":
            one.known(now, back)
        elif step.startswith("old"):
            one.answered(now, 90, Renewed(TERMS.lease, (Share("tries", int(step[3:]), 10),)))
        else:
            renew(one, now, now + 5, Share("tries", int(step[-2:]), 10))
            now += 5
    assert one.shares(now + 1)["tries"].granted == granted


# The leader's side

def test_leases_as_the_leader_counts_them() -> None:
    binds, one = TERMS.binds(), Members(TERMS, 1000, [2, 1])
    assert one.due() == 1000 + binds and one.over(1000 + binds - 1) == []
    beats = [Beat(FENCE._replace(session=number), (("tries", 7),), 0, (("tries", 5),)) for number in range(10)]
    assert one.renewed(5000, beats[1]) and one.renewed(4000, beats[1]._replace(demands=()))
    assert not one.renewed(5000, beats[9])
    assert (one.used_of(1, "tries"), one.used_of(2, "tries")) == (5, -1)
    one.follow(6000, [1, 2, 3])
    assert one.over(1000 + binds) == [2] and one.over(1000 + binds) == []
    assert not one.renewed(1000 + binds, beats[2]) and one.refuses(2)
    assert one.demand(6000, 2, "tries", 50) == 0 and one.demand(6000, 1, "tries", 50) == 7
    assert one.demand(6000, 3, "tries", 50) == 50           # it has told this leader nothing yet
    assert one.over(5000 + binds - 1) == [] and one.over(5000 + binds) == [1]
    one.spare(1)
    assert one.due() <= 5000 + binds and one.renewed(6000, beats[1]._replace(demands=(("tries", 1000),)))
    full, gone = 6000 + 2 * TERMS.beat, 6000 + TERMS.lease
    fading = [one.demand(now, 1, "tries", 0) for now in (full, (full + gone) // 2, gone)]
    assert fading == [1000, 500, 0] and one.wanted() == {"tries": [1]}
    one.follow(7000, [2])
    assert sorted(one.live) == [2]


def test_a_leaders_time_goes_on_from_the_books_and_never_back() -> None:
    account = Account(500, 10_000)
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
    chance, apart, joined, write = Chance(seed), Disk("d"), Disk("d"), None
    for step in range(1, 9):
        kept = apart.kept
        base = kept.snapshot.index if kept.snapshot else 0
        last, cut, snapshot, whole = base + len(kept.entries), 0, None, False
        match chance.below(4):
            case 0 if last > base:
                cut = base + 1 + chance.below(last - base)
                last = cut - 1
            case 1 if last > base:
                snapshot = Snapshot(base + 1 + chance.below(last - base), 1, TERMS.keepers, b"")
            case 2:
                last, whole = last + 3, True
        if whole:
            snapshot = Snapshot(last, 1, TERMS.keepers, b"")
        entries = tuple(Entry(last + 1 + more, step, BOOKS, b"") for more in range(chance.below(4)))
        marks = {"b": Mark("x", step, 0)} if chance.below(2) else None
        apart.save(one := Write(step, "v", cut, entries, snapshot, whole, marks))
        write = merged(write, one)
        if chance.below(3) == 0:
            joined.save(write)
            write = None
            assert joined.kept == apart.kept
    if write is not None:
        joined.save(write)
    assert joined.kept == apart.kept
