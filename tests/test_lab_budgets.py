"""The lab of budgets: what it counts, and the lab itself, whole and with each guard removed."""

import json
import subprocess
import sys

import pytest
from conftest import ROOT

from laurelcourse.lab import budgets_checks
from laurelcourse.lab.budgets_checks import Request, Span
from laurelcourse.lab.guards import GUARDS

SHORT = "20"  # seconds: the lab's short form


@pytest.mark.parametrize(
    ("times", "whole", "burst", "over"),
    [
        ([0.1 * at for at in range(20)], 10, 1, 0),
        ([0.05 * at for at in range(40)], 10, 1, 28),  # the 13th within a second is one beyond 10 * 1.15 + 1
        ([0.0] * 5, 2, 1, 2),
    ],
)
def test_rates_are_checked_in_any_window(times: list[float], whole: float, burst: float, over: int) -> None:
    assert budgets_checks.count_over_rate(times, whole, burst, (1.0,)) == over


@pytest.mark.parametrize(
    ("moves", "over"),
    [
        ([(0.0, 1), (1.0, 1), (2.0, 1)], 1),
        ([(0.0, 1), (1.0, 1), (2.1, -1), (2.0, 1)], 0),  # heard of out of order, within the edge
        ([(0.0, 1), (1.0, 1), (2.4, -1), (2.0, 1)], 1),
    ],
)
def test_a_level_counts_what_is_held_at_once(moves: list[tuple[float, int]], over: int) -> None:
    assert budgets_checks.count_over_level(moves, 2) == over


@pytest.mark.parametrize(
    ("used", "refused", "beyond", "left"), [(4, 9, 0, 0), (9, 9, 5, 0), (0, 9, 0, 1), (0, 2, 0, 0)]
)
def test_a_floor_is_an_upper_and_a_lower_bound_without_a_lease(
    used: int, refused: int, beyond: int, left: int
) -> None:
    more, denied = ([(0.3 * at, "m") for at in range(count)] for count in (used, refused))
    spans = [Span("m", 0.0, 3.0), Span("other", 0.0, 3.0)]
    assert budgets_checks.count_beyond_floor(more, spans, 1) == beyond
    assert budgets_checks.count_unused_floors(denied, more, spans, 1, 2.0, 0.5) == left


@pytest.mark.parametrize(
    ("relay", "letters", "excused"),
    [("m", "", True), ("m", "TDCZ", True), ("m", "TDCZTDCZ", False), ("k", "", False)],
)
def test_only_a_killed_or_paused_relay_owes_no_answer(relay: str, letters: str, excused: bool) -> None:
    request = Request("1", relay, 1.0)
    request.answer = letters
    assert budgets_checks.is_excused(request, [Span("m", 0.5, 2.0)]) is excused


# Six relays beside units and clients of 60 connections: the short form too wants the machine for itself.
@pytest.mark.alone
@pytest.mark.parametrize("broken", ["", *GUARDS["budgets"]])
def test_the_lab_holds_and_each_check_fails_without_its_guard(broken: str) -> None:
    words = ["--seed", "5", "--seconds", SHORT, "--json", *(["--break", broken] if broken else [])]
    ran = subprocess.run(
        [sys.executable, "-m", "laurelcourse", "lab", "budgets", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        timeout=90,
    )
    report = json.loads(ran.stdout)
    checks = {check["name"]: check["holds"] for check in report["checks"]}
    assert set(GUARDS["budgets"]) == set(checks)
    assert ran.returncode == int(bool(broken)) and report["holds"] is not bool(broken), ran.stdout
    assert not broken or checks[broken] is False, ran.stdout
