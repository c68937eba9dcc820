"""The keepers' simulation: checkers by table, short runs with faults, each check without its guard."""

import os
import subprocess
import sys

import pytest
from conftest import ROOT

from laurelcourse.fleet.books.forms import RATE, Budget
from laurelcourse.lab import keepers, keepers_guards
from laurelcourse.lab.checks.linearizability import (
    NEVER,
    Operation,
    is_linearizable,
    session_step,
    stale_reads,
)
from laurelcourse.lab.checks.logs import lost_commands
from laurelcourse.lab.checks.shares import Holding, budgets_exceeded
from laurelcourse.lab.keepers_faults import KINDS

SHORT, SETTLES = 1_500_000, 1_300_000


def op(start: int, end: int, kind: str, *result: int) -> Operation:
    return Operation(start, end, kind, result)


@pytest.mark.parametrize(
    ("history", "fits"),
    [
        ([op(1, 2, "open", 3), op(3, 4, "look", 3)], True),
        ([op(1, 2, "open", 3), op(3, 4, "look", 0)], True),  # it lapsed
        ([op(1, 2, "open", 3), op(3, 4, "look", 0), op(5, 6, "look", 3)], False),  # and came back
        ([op(1, 2, "open", 3), op(3, 6, "look", 0), op(4, 5, "look", 3)], True),  # at one time: either first
        ([op(1, 2, "open", 3), op(3, 4, "open", 5), op(5, 6, "look", 3)], False),  # read from before
        ([op(3, 4, "open", 3), op(1, 2, "look", 3)], False),  # read before it was
        ([op(1, 2, "open", 5), op(3, 4, "open", 3)], False),  # numbers only grow
        ([op(1, 2, "open", 3), op(3, 4, "taken", 3), op(5, 6, "open", 4)], True),
        ([op(1, 2, "taken", 3)], False),  # by nobody
        ([op(1, NEVER, "open", 3), op(5, 6, "look", 3)], True),  # unanswered, and done
        ([op(1, NEVER, "open", 3), op(5, 6, "look", 0)], True),  # or not
        ([op(1, 2, "open", 3), op(3, 4, "close", 3), op(5, 6, "look", 3)], False),
        ([op(1, 2, "open", 3), op(3, NEVER, "close", 3), op(5, 6, "look", 3)], True),
    ],
)
def test_histories_of_sessions(history: list[Operation], fits: bool) -> None:
    assert is_linearizable(history, (0, False), session_step) is fits


def test_a_search_over_its_limit_decides_nothing() -> None:
    many = [op(1, 100, "open", number) for number in range(1, 30)] + [op(101, 102, "look", 99)]
    assert is_linearizable(many, (0, False), session_step, max_steps=50) is None


@pytest.mark.parametrize(
    ("looks", "stale_count"),
    [
        ([(1, 2, 5), (3, 4, 5), (5, 6, 9)], 0),
        ([(1, 2, 5), (3, 4, 4)], 1),
        ([(1, 4, 5), (3, 6, 4)], 0),
        ([(1, 2, 5), (3, NEVER, 4)], 0),
        ([(1, 9, 2), (2, 3, 7), (4, 5, 6), (6, 8, 1)], 2),
    ],
)
def test_stale_reads_of_a_growing_number(looks: list[tuple[int, int, int]], stale_count: int) -> None:
    assert (
        len(stale_reads([op(began, ended, "hash", number) for began, ended, number in looks])) == stale_count
    )


def test_exceeded_budgets_and_lost_commands() -> None:
    budget = Budget("tries", RATE, 100, 2, 10, 0, 0)
    fits = [Holding("r1", "tries", 50), Holding("r2", "tries", 30), Holding("r1", "other", 99)]
    assert budgets_exceeded([budget], fits) == []
    assert budgets_exceeded([budget], [*fits, Holding("r3", "tries", 1)]) == [
        "tries: 101 of 100: r1 50, r2 30, r3 1"
    ]
    gone = lost_commands([(1, "r1", ("x", 1)), (2, "r1", ("x", 2))], {("x", 1)})
    assert [(breach.check, breach.at) for breach in gone] == [("committed_lost", 2)]


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_short_runs_hold_and_end_with_a_leader(kind: str) -> None:
    ran = [keepers.simulate(seed, kind, SHORT, SETTLES) for seed in range(8)]
    assert [(run.seed, run.breaches[:2]) for run in ran if run.breaches] == []
    assert [run.seed for run in ran if run.leaderless] == []
    assert sum(run.commands for run in ran) >= 40 and not any(run.undecided for run in ran)
    assert kind != "disks" or any(run.refused_disks for run in ran)
    assert kind != "hands" or sum(run.forwarded for run in ran) >= 20


def test_a_seed_determines_the_run() -> None:
    words = (
        "from laurelcourse.lab import keepers; "
        "print(keepers.simulate(5, 'all', 900_000, 500_000).fingerprint)"
    )
    results = {
        subprocess.run(
            [sys.executable, "-c", words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        ).stdout.strip()
        for salt in ("1", "2")
    }
    assert results == {keepers.simulate(5, "all", 900_000, 500_000).fingerprint}
    assert keepers.simulate(6, "all", 900_000, 500_000).fingerprint not in results


# by check: a kind of run, and how many seeds of it are tried at most
WITHOUT = {
    "two_leaders_in_a_term": ("network", 8),
    "logs_differ": ("network", 60),
    "committed_lost": ("network", 4),
    "states_differ": ("leaders", 2),
    "not_linearizable": ("pauses", 80),
    "over_whole": ("network", 20),
    "older_disk_voted": ("disks", 24),
    "module_faults": ("pauses", 12),
}


def broken(seed: int, kind: str) -> set[str]:
    return {breache.check for breache in keepers.simulate(seed, kind, 3_000_000, SETTLES).breaches}


@pytest.mark.parametrize("check", keepers.CHECKS)
def test_each_check_fails_without_its_guard(check: str) -> None:
    kind, seeds = WITHOUT[check]
    with keepers_guards.without_guard(check):
        failing_seed = next((seed for seed in range(seeds) if check in broken(seed, kind)), None)
    assert failing_seed is not None
    assert not broken(failing_seed, kind)


def test_the_lab_reports_its_checks_and_figures() -> None:
    report = keepers.run(3, 2.5, relay_counts=(30,), cores=2)
    assert report.holds and {check.name for check in report.checks} == set(keepers_guards.GUARDS)
    assert report.figures["runs"] >= 2 and report.figures["steps"] > 0
    assert report.figures["bytes_a_relay_a_second_30"] < 1024 and report.figures["commands_a_second_30"] > 0
