"""What `lab transfers` judges by, without processes: the best plan, latency ratios, leaked reservations."""

from collections.abc import Callable
from types import SimpleNamespace

import pytest
from test_fleet_transfers import instance

from laurelcourse.fleet.books import reservations
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Batch, Command, Link, Places, Site
from laurelcourse.fleet.orders import Submit
from laurelcourse.fleet.transfers import plan, solver
from laurelcourse.lab import transfers
from laurelcourse.lab.request_load import MIN_REQUESTS, Latency, compare_latencies


@pytest.mark.parametrize("solved", [None, solver.SolverPlan({}, 1, False)])
def test_a_solver_short_of_time_does_not_lower_the_best_earnings(
    solved: solver.SolverPlan | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    room, wants = instance(1, 16, 6, 80)
    monkeypatch.setattr(transfers.solver, "solve", lambda *_, **__: solved)
    assert (
        transfers.max_earnings(room, tuple(wants), 2.0)
        == plan.total_earnings(wants, plan.make_plan(room, wants))
        > 0
    )


@pytest.mark.parametrize("count, ratio", [(MIN_REQUESTS, 3.0), (MIN_REQUESTS - 1, -1)])
def test_the_latency_ratio_needs_enough_requests_in_both_periods(count: int, ratio: float) -> None:
    results = [
        Latency(at + number / 1000, seconds)
        for at, seconds in ((1, 0.002), (3, 0.006), (5, 0.9))
        for number in range(count if at == 3 else MIN_REQUESTS)
    ]
    figures = compare_latencies(results, (1.0, 2.0), (3.0, 4.0))
    assert figures["reqs_p99_ratio"] == ratio and figures["reqs_p99_beside_ms"] == 6.0
    assert (figures["reqs_without"], figures["reqs_beside"]) == (MIN_REQUESTS, count)


@pytest.mark.parametrize("leaks", [False, True])
def test_leaked_reservations_show_when_a_job_ends_early(leaks: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    books, count = Books(), 0

    def submit(order: Submit, on_answer: Callable) -> None:
        nonlocal count
        count += 1
        on_answer(books.apply(count, Batch(0, 1, order.commands)))

    links = tuple(Link(origin, to, transfers.USABLE_RATE, 0) for origin, to in ("ab", "ba"))
    submit(Submit((Command(None, 1, Places(links, (Site("a", 2), Site("b", 2)))),)), list)
    if leaks:
        book = reservations._set_pieces
        monkeypatch.setattr(
            reservations,
            "_set_pieces",
            lambda state, there, pieces: book(state, there, pieces) if pieces else None,
        )
    lab = transfers.TransferLab.__new__(transfers.TransferLab)
    lab.client, lab.books_time = SimpleNamespace(submit=submit), lambda: 0
    assert [lab.is_free(*way) for way in ("ab", "ba")] == [not leaks] * 2
