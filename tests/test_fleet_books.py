"""The replicated books: each rule by a script, replay of any prefix, and never more in use than there is."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator

import pytest

from laurelcourse.fleet.books import budgets, sessions
from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.errors import ERRORS_BY_CODE, DamagedBooksError, error_from_code
from laurelcourse.prng import Prng

A = f.Fence("a", 1, 1, 3)
WHO = {
    "a": A,
    "b": f.Fence("b", 2, 1, 3),
    "boot": A._replace(boot=2),
    "term": A._replace(term=2),
    "name": A._replace(name="b"),
}
TRIES = f.Budget("tries", f.RATE, 100, 10, 4, 0, 0)  # 60 to divide
LINES = f.Budget("lines", f.LEVEL, 50, 0, 4, 0, 1000)
HELLOS = f.Budget("hellos", f.COUNT, 20, 1, 4, 500, 0)  # 16 to divide
LISTS = {
    "all": (TRIES, LINES, HELLOS),
    "small": (LINES._replace(whole=5),),
    "high": (TRIES._replace(relays=11),),
    "kind": (LINES._replace(kind=f.RATE), TRIES),
}


def read(step: str) -> f.Command:
    """Parses `open NAME MARK`, `lapse N`, `define LIST`, `grant SCOPE N:SHARE..`, `close WHO MARK` or `back
    WHO MARK SCOPE KEEPS`.
    """
    match step.split():
        case "open", name, mark:
            return f.Command(None, int(mark), f.Open(name, "east"))
        case "lapse", number:
            return f.Command(None, 0, f.Lapse(int(number)))
        case "define", name:
            return f.Command(None, 0, f.Define(LISTS[name]))
        case "grant", scope, *shares:
            pairs = (share.split(":") for share in shares)
            return f.Command(
                None, 0, f.Grant(scope, tuple((int(session), int(share)) for session, share in pairs))
            )
        case "close", who, mark:
            return f.Command(WHO[who], int(mark), f.Close())
        case "back", who, mark, scope, keeps:
            return f.Command(WHO[who], int(mark), f.GiveBack(scope, int(keeps)))
    raise AssertionError(step)


def do(books: Books, at: int, *steps: str | f.Command) -> list[str]:
    """Returns the result of each command: its code, or its value as text."""
    commands = tuple(read(step) if type(step) is str else step for step in steps)
    done = books.apply(books.index + 1, f.Batch(at, 3, commands))
    for result in done:
        assert (
            not result.code
            or type(error_from_code(result.code, result.to, dict(result.told))) is ERRORS_BY_CODE[result.code]
        ), result
    return [result.code or " ".join(map(str, result.value)) for result in done]


def begun() -> Books:
    books = Books()
    do(books, 10, "define all", "open a 71", "open b 72")
    return books


SCRIPTS = """
open again: open a 71 = a 1 1 3; open a 5 = name_taken
open come late: lapse 1; open a 71 = lapsed_lease; open a 73 = a 3 2 3; open a 71 = name_taken
open from two back: lapse 1; open a 73; lapse 3; open a 73 = lapsed_lease; open a 71 = a 4 3 3
 ; open a 74 = name_taken; close a 1 = fenced_off; lapse 4; open a 74 = a 5 4 3
fenced off: lapse 1; close a 1 = lapsed_lease; open a 73; close a 1 = fenced_off; lapse 3
 ; close a 1 = fenced_off
whole fence: close boot 1 = lapsed_lease; close term 1 = lapsed_lease; close name 1 = fenced_off
mark again: grant lines 1:40; back a 1 lines 30 = 30; grant lines 1:45; back a 1 lines 30 = 30
 ; back a 2 lines 45 = 45
refused mark again: back a 1 lines 30 = not_held; grant lines 1:40; back a 1 lines 30 = not_held
over the whole: grant tries 1:30; grant tries 1:40 2:21 = over_whole; grant tries 2:30
 ; grant tries 1:31 = over_whole
asked back: grant tries 1:60; grant tries 1:20; grant tries 2:1 = over_whole; back a 1 tries 20 = 20
 ; grant tries 2:40
more than held: grant tries 1:5; back a 1 tries 6 = not_held; back b 1 tries 1 = not_held
 ; back b 2 tries 0 = 0
rate: grant tries 1:60; lapse 1; grant tries 2:60
level lapsed: grant lines 1:50; lapse 1; at 1019; grant lines 2:1 = over_whole; at 1020; grant lines 2:50
level closed: grant lines 1:50; close a 1; grant lines 2:50
count back: grant hellos/k 1:16; back a 1 hellos/k 6; at 519; grant hellos/k 2:1 = over_whole; at 520
 ; grant hellos/k 2:10
count twice: grant hellos 1:16; back a 1 hellos 8; at 21; back a 2 hellos 0; at 520; grant hellos 2:8
 ; grant hellos 2:9 = over_whole; at 521; grant hellos 2:16
count lapsed: grant hellos 1:16; lapse 1; at 519; grant hellos 2:1 = over_whole; at 520; grant hellos 2:16
count closed: grant hellos 1:16; close a 1; at 519; grant hellos 2:1 = over_whole; at 520; grant hellos 2:16
time back: at 600; grant hellos 1:16; at 20; lapse 1; at 1099; grant hellos 2:1 = over_whole; at 1100
 ; grant hellos 2:1
keys: grant hellos/k 1:16; grant hellos/l 1:16; grant hellos 2:16; grant hellos/ 2:1 = no_such_budget
none: grant none/k 2:1 = no_such_budget; back a 1 none 1 = no_such_budget; back a 1 none 0 = no_such_budget
lower whole: grant lines 1:20 2:20; define small; grant lines 1:21 = over_whole; grant lines 1:2 2:2
 ; back a 1 lines 2
 ; grant lines 1:3 = over_whole; back b 1 lines 2; grant lines 1:3; grant lines 1:4 = over_whole
gone: grant hellos 1:16; define small; grant hellos 1:16 = no_such_budget; back a 1 hellos 0; define all
 ; at 519; grant hellos 1:1 = over_whole; define small; at 520; back a 2 hellos 0 = no_such_budget
nobody: lapse 1; grant lines 1:0 = lapsed_lease; lapse 1 = lapsed_lease
kinds: grant lines 1:1; define kind = definition_refused; back a 1 lines 0; define kind; grant lines 1:50
floors: define high = floors_over_whole; grant tries 2:60
"""


@pytest.mark.parametrize("script", SCRIPTS.replace("\n ;", ";").strip().splitlines())
def test_rules(script: str) -> None:
    books, at = begun(), 20
    for step in script.partition(":")[2].split(";"):
        order, _, wanted = (part.strip() for part in step.partition("="))
        at = int(order[3:]) if order.startswith("at ") else at
        do(books, at)
        before = books.to_plain()[5:9]
        results_text = do(books, at, *([] if order.startswith("at ") else [order]))
        assert not wanted or results_text == [wanted], step
        assert results_text in ([], [wanted]) or results_text[0] not in ERRORS_BY_CODE, step
        assert not set(results_text) & set(ERRORS_BY_CODE) or books.to_plain()[5:9] == before, (
            f"{step}: refused, yet it did"
        )


def test_marks_too_old() -> None:
    books = begun()
    assert do(books, 20, *(f"back a {mark} lines 0" for mark in range(2, 67))) == ["0"] * 65
    books = Books.from_snapshot(books.snapshot())
    late = [f"back a {mark} lines 0" for mark in (3, 2, 1)]
    assert do(books, 20, *late) == ["0", "mark_forgotten", "mark_forgotten"]


BACK, OVER = f.GiveBack("lines", 1), (1 << 48) + 1
UNFIT: dict[str, list] = {
    "out_of_order": [read(one)._replace(fence=A) for one in ("lapse 2", "define all", "grant lines 1:1")],
    "unknown_command": [f.Command(A, 1, None), f.Command(A, 1, A)],
    "unreadable": [
        None,
        BACK,
        *(f.Command(fence, 1, BACK) for fence in (None, tuple(A), A._replace(name=[]))),
        *(f.Command(A, mark, BACK) for mark in (0, "1", True, 1 << 63)),
        *(f.Command(A, 1, f.GiveBack("lines", keeps)) for keeps in (-1, True, "1", OVER)),
        *(f.Command(None, 0, f.Lapse(session)) for session in (0, "1", 1 << 63)),
        *(f.Command(None, 1, f.Open(name, "east")) for name in ("", "a\nb", "x" * 257, "\ud800", 5)),
        *(f.Command(None, mark, f.Open("c", "east")) for mark in (0, None)),
        *(
            f.Command(None, 0, f.Grant("lines", shares))
            for shares in (
                ((1, -1),),
                ((1, 1), (1, 2)),
                ((1,),),
                (5,),
                None,
                [(1, 1)],
                ((1, OVER),),
                ((1, 1.0),),
            )
        ),
        *(f.Command(None, 0, f.Define(listed)) for listed in (None, [LINES], (5,))),
    ],
    "definition_refused": [
        f.Command(None, 0, f.Define((LINES, LINES))),
        *(
            f.Command(None, 0, f.Define((LINES._replace(**{field: value}),)))
            for field, value in (
                ("name", ""),
                ("name", "a/b"),
                ("name", 5),
                ("kind", "other"),
                ("kind", f.COUNT),
                ("window", 5),
                ("whole", 0),
                ("floor", -1),
                ("relays", 4097),
                ("freed_after", OVER),
            )
        ),
    ],
    "no_such_budget": [f.Command(A, 1, f.GiveBack([], 1)), f.Command(None, 0, f.Grant(None, ()))],
}


@pytest.mark.parametrize("code", UNFIT)
def test_what_does_not_fit_is_refused_and_changes_nothing(code: str) -> None:
    for command in UNFIT[code]:
        books = begun()
        before = books.to_plain()[5:9]
        assert (do(books, 10, command), books.to_plain()[5:9]) == ([code], before), command


def test_all_stored_state_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for room, name, most in (
        (sessions, "MAX_SESSIONS", 3),
        (sessions, "MAX_PAST_SESSIONS", 2),
        (budgets, "MAX_BUDGETS", 3),
        (budgets, "MAX_SCOPES", 3),
        (budgets, "MAX_SHARES", 3),
        (budgets, "MAX_PENDING", 4),
    ):
        monkeypatch.setattr(room, name, most)
    monkeypatch.setitem(LISTS, "many", tuple(LINES._replace(name=number) for number in "abcd"))
    books = begun()
    assert do(books, 10, "open c 1", "open d 1", "define many") == ["c 3 1 3", "crowded", "crowded"]
    assert do(books, 10, "grant lines/k 1:1", "grant lines/l 1:1", "grant lines/m 1:1 2:1")[2] == "crowded"
    assert do(books, 10, "grant lines/m 1:1", "grant lines/n 1:0") == ["", ""]
    books = Books.from_snapshot(books.snapshot())
    assert do(books, 10, "grant lines/m 2:1", "back a 1 lines/k 0") == ["crowded", "0"]
    assert do(books, 10, "lapse 1", "grant hellos 2:1", "grant tries 2:1")[2] == "crowded", "keys in use"
    ends = [
        word
        for number, name in enumerate("aeafae", 4)
        for word in (f"open {name} {number}", f"lapse {number}")
    ]
    assert do(books, 2000, *ends)[::2] == ["a 4 2 3", "e 5 1 3", "a 6 3 3", "f 7 1 3", "a 8 4 3", "e 9 1 3"]
    do(books, 2000, "grant hellos 2:16")
    for number in range(10):
        do(books, 2020 + number, f"back b {number + 1} hellos {15 - number}")
    assert books.to_plain()[8][0][2] == [[2520, 1], [2521, 1], [2522, 1], [2529, 7]]


def test_entries_are_applied_once_and_the_coordinator_sees_the_state() -> None:
    books = begun()
    do(books, 20, "grant hellos/k 1:9 2:3", "grant hellos/k 1:4", "back b 1 hellos/k 1")
    for index in (2, 1, 0):
        with pytest.raises(ValueError, match="applied twice"):
            books.apply(index, f.Batch(30, 3, ()))
    assert [session[:4] for session in books.sessions()] == [(1, "a", "east", 1), (2, "b", "east", 1)]
    assert (
        books.session("b") == books.session_by_number(2)
        and books.session("c") is books.session_by_number(3) is None
    )
    assert books.sessions()[0].fence == A and books.fence_refusal(A) is None
    assert books.fence_refusal(WHO["boot"]).code == "lapsed_lease"
    assert books.shares("hellos/k") == ((1, 9, 4), (2, 1, 1)) and books.session_shares(1) == (
        ("hellos/k", 9, 4),
    )
    assert (books.pending("hellos/k"), books.scopes(), books.budget("hellos/k")) == (2, ("hellos/k",), HELLOS)
    assert books.budgets() == LISTS["all"] and (books.time, books.index) == (20, 2)
    do(books, 20, "define small")
    assert books.shares("hellos/k") == ((1, 9, 0), (2, 1, 0)), "of a budget gone, all is asked back"


def test_damaged_snapshots_are_refused() -> None:
    books = begun()
    do(books, 20, "grant hellos/k 1:9", "back a 1 lines 30", "back a 2 hellos/k 2")
    data = books.snapshot()
    assert json.loads(data) == books.to_plain() and Books.from_snapshot(data).to_plain() == books.to_plain()
    flipped = [data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :] for at in range(len(data))]
    newer = data.replace(b"[1,", b"[2,", 1)
    for bad in (b"", b"[]", b"{}", b"5", b"null", b"[" * 100_000, data[:-1], data + b" ", *flipped):
        with pytest.raises(DamagedBooksError):
            Books.from_snapshot(bad)
    with pytest.raises(DamagedBooksError, match="form 2, this version reads 1"):
        Books.from_snapshot(newer)


SCOPES = ("tries", "lines", "hellos", "hellos/k")


def play(seed: int) -> Iterator[tuple[Books, f.Batch, tuple[f.Done, ...]]]:
    """Applies random commands of the leader and of relays, with late and repeated ones."""
    rng, books, fences, given, at = Prng(seed), Books(), [A], [read("define all")], 0
    for index in range(1, 40):
        at, commands = at + rng.below(400) - 20, []
        for mark in range(6 * index, 6 * index + 1 + rng.below(6)):
            fence, scope = fences[rng.below(len(fences))], SCOPES[rng.below(4)]
            shares = [f"{session.number}:{rng.below(30)}" for session in books.sessions() if rng.below(2)]
            own = (f.Close(), f.GiveBack(scope, 0), f.GiveBack(scope, rng.below(12)))[rng.below(3)]
            common = (
                f"open {'abcdef'[rng.below(6)]} {mark}",
                f"lapse {fence.session}",
                f"define {('all', 'small')[rng.below(2)]}",
                *[" ".join(("grant", scope, *shares))] * 5,
            )[rng.below(8)]
            command = f.Command(fence, mark, own) if not rng.below(4) else read(common)
            commands.append(given[rng.below(len(given))] if not rng.below(8) else command)
        given += commands
        batch = f.Batch(at, 1 + index // 9, tuple(commands))
        done = books.apply(2 * index, batch)
        fences += [result.value for result in done if type(result.value) is f.Fence]
        yield books, batch, done


@pytest.mark.parametrize("seed", range(0, 400, 50))
def test_replay_from_any_snapshot_comes_to_the_same_books(seed: int) -> None:
    for number in range(seed, seed + 50):
        log = [(books.index, batch, done, books.hash()) for books, batch, done in play(number)]
        cut, again, each = Prng(number).below(len(log)), Books(), Books()
        for at, (index, batch, done, hashed) in enumerate(log):
            again = Books.from_snapshot(again.snapshot()) if at == cut else again
            each = Books.from_snapshot(each.snapshot())
            for books in (again, each):
                assert books.apply(index, batch) == done and books.hash() == hashed, (number, at, cut)


def in_use(scope: str, shares: dict[int, int], over: list[tuple[str, int, int]], now: int) -> int:
    return sum(shares.values()) + sum(amount for name, amount, free in over if name == scope and free > now)


def test_never_more_in_use_than_there_is() -> None:
    """Counted from the commands and their results alone, by an independent implementation of the rules."""
    codes: set[str] = set()
    for seed in range(1000, 1200):
        shares: dict[str, dict[int, int]] = {scope: {} for scope in SCOPES}
        over: list[tuple[str, int, int]] = []  # scope, amount, when it is free
        now, marks, divided = 0, set(), {}
        for books, batch, done in play(seed):
            now = max(now, batch.at)
            for (fence, mark, what), (_, code, _, _) in zip(batch.commands, done, strict=True):
                codes.add(code)
                less: list[tuple[str, int, int]] = []  # scope, session, what it keeps
                if type(what) is f.Grant and code in ("", "over_whole"):
                    mine = shares[what.budget]
                    more = sum(max(share - mine.get(session, 0), 0) for session, share in what.shares)
                    there = divided[what.budget.partition("/")[0]]
                    fits = not more or in_use(what.budget, mine, over, now) + more <= there
                    assert fits == (not code), (seed, what)
                    mine |= {
                        session: max(share, mine.get(session, 0))
                        for session, share in what.shares
                        if not code
                    }
                elif not code and type(what) is f.Define:
                    divided = {
                        budget.name: budget.whole - budget.relays * budget.floor for budget in what.budgets
                    }
                elif not code and type(what) is f.GiveBack and (fence, mark) not in marks:
                    less = [(what.budget, fence.session, what.keeps)]
                elif not code and type(what) in (f.Lapse, f.Close):
                    gone = fence.session if fence else what.session
                    less = [(scope, gone, 0) for scope in SCOPES if gone in shares[scope]]
                marks |= {(fence, mark)} if fence else set()
                for scope, session, keeps in less:
                    lasts = {"lines": 1000 * (type(what) is f.Lapse), "tries": 0}.get(scope, 500)
                    over.append((scope, shares[scope].get(session, 0) - keeps, now + lasts))
                    shares[scope][session] = keeps
            for scope, most in zip(SCOPES, (60, 50, 16, 16), strict=True):
                used = in_use(scope, shares[scope], over, now)
                known_use = books.pending(scope) + sum(granted for _, granted, _ in books.shares(scope))
                assert used == known_use and used <= most, (seed, scope)
    wanted = {"", "over_whole", "not_held", "lapsed_lease", "fenced_off", "name_taken", "no_such_budget"}
    assert wanted <= codes, "the play has not come upon all that matters"


def test_hash_does_not_rest_on_the_order_of_sets() -> None:
    code = "import test_fleet_books as t; print([one.hash() for n in range(20) for one, *_ in t.play(n)])"
    env = os.environ | {"PYTHONPATH": os.pathsep.join(["tests", *sys.path])}
    results = {
        subprocess.run(
            [sys.executable, "-c", code],
            env=env | {"PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
            timeout=60,
        ).stdout
        for seed in "123"
    }
    assert len(results) == 1 and len(results.pop()) > 3_000
