"""Plans by solvers (OR-tools) in bounded time: to compare with, and where they earn more.

A job moves whole or not at all, and so do slots in a grain; a linear program alone (GLOP) therefore gives
only a bound. CP-SAT gives plans together with a bound. Rates are in units of about a thousandth of the widest
link: capacities are rounded down, bytes up, so that the result always fits.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.transfers.plan import (
    MILLION,
    Capacity,
    JobRequest,
    Part,
    Plan,
    make_plan,
    total_earnings,
)

# A plan guided by the linear program replaces the greedy one if it earns so many millionths of it.
MIN_GAIN_PPM = 1_010_000

UNITS_OF_WIDEST_LINK = 1_000
BOUND_TOLERANCE = 1e-6  # of a solver's floating-point bound
MILLISECONDS_PER_SECOND = 1_000


class SolverPlan(NamedTuple):
    """A solver's plan."""

    plan: Plan
    bound: int  # no plan with these grains and units earns more
    is_optimal: bool  # the plan earns just that


def solve(
    capacity: Capacity,
    requests: Iterable[JobRequest],
    seconds: float,
    seed: int = 1,
    hint: Plan | None = None,
) -> SolverPlan | None:
    """Returns the best plan found in so many seconds; None without a solver or a plan."""
    try:
        from ortools.sat.python import cp_model
    except ImportError:
        return None
    requests = [request for request in requests if request.size_left > 0]
    widest = max((max(free, default=0) for free in capacity.links.values()), default=0)
    unit = max(1, widest // UNITS_OF_WIDEST_LINK)
    model = cp_model.CpModel()
    link_rates: dict[tuple[str, int], list] = {}
    site_slots: dict[tuple[str, int], list] = {}
    moves, variables = {}, []
    for request in requests:
        job = request.job
        link = f"{job.origin}>{job.to}"
        if link not in capacity.links or not {job.origin, job.to} <= capacity.sites.keys():
            continue
        moves[job.name] = does_move = model.new_bool_var(job.name)
        needed = -(-capacity.rate_for(request.size_left) // unit)
        job_rates = []
        for grain in range(request.first, request.until):
            if min(capacity.sites[job.origin][grain], capacity.sites[job.to][grain]) < job.slots:
                continue
            max_rate = min(needed, capacity.links[link][grain] // unit)
            if max_rate <= 0:
                continue
            is_busy, rate = model.new_bool_var(""), model.new_int_var(0, max_rate, "")
            model.add(rate <= max_rate * is_busy)
            model.add_implication(is_busy, does_move)
            link_rates.setdefault((link, grain), []).append(rate)
            job_rates.append(rate)
            variables.append((job.name, grain, (job.origin, job.to), rate))
            for site in (job.origin, job.to):
                site_slots.setdefault((site, grain), []).append(job.slots * is_busy)
        model.add(sum(job_rates) >= needed * does_move)
    for (link, grain), rates in link_rates.items():
        model.add(sum(rates) <= capacity.links[link][grain] // unit)
    for (site, grain), slots in site_slots.items():
        model.add(sum(slots) <= capacity.sites[site][grain])
    model.maximize(
        sum(
            request.job.earnings * moves[request.job.name]
            for request in requests
            if request.job.name in moves
        )
    )
    for name, does_move in moves.items():
        model.add_hint(does_move, int(name in (hint or {})))
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = seconds
    solver.parameters.num_workers = 1
    solver.parameters.random_seed = seed
    status = solver.solve(model)
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return None
    parts_by_name: dict[str, list[Part]] = {}
    for name, grain, path, rate in variables:
        if solver.value(rate) and solver.value(moves[name]):
            parts_by_name.setdefault(name, []).append(Part(grain, solver.value(rate) * unit, path))
    plan = {name: tuple(sorted(parts)) for name, parts in sorted(parts_by_name.items())}
    bound = int(solver.best_objective_bound + BOUND_TOLERANCE)
    return SolverPlan(plan, bound, status == cp_model.OPTIMAL)


def solve_relaxed(
    capacity: Capacity, requests: Iterable[JobRequest], seconds: float
) -> tuple[int, dict[str, int]] | None:
    """Solves the linear program in which a job may move in part and take part of a slot.

    Returns what no plan with these grains can exceed, and how much of each job moves, in millionths; None as
    in `solve`.
    """
    try:
        from ortools.linear_solver import pywraplp
    except ImportError:
        return None
    solver = pywraplp.Solver.CreateSolver("GLOP")
    if solver is None:
        return None
    solver.SetTimeLimit(int(seconds * MILLISECONDS_PER_SECOND))
    link_limits = {
        (link, grain): solver.Constraint(0, float(amount))
        for link, free in capacity.links.items()
        for grain, amount in enumerate(free)
    }
    site_limits = {
        (site, grain): solver.Constraint(0, float(amount))
        for site, free in capacity.sites.items()
        for grain, amount in enumerate(free)
    }
    objective = solver.Objective()
    moved_shares = {}
    for request in requests:
        job = request.job
        needed = capacity.rate_for(request.size_left)
        link = f"{job.origin}>{job.to}"
        if (
            request.size_left <= 0
            or link not in capacity.links
            or not {job.origin, job.to} <= capacity.sites.keys()
        ):
            continue
        moved_shares[job.name] = moved_share = solver.NumVar(0, 1, "")
        objective.SetCoefficient(moved_share, job.earnings)
        sum_of_parts = solver.Constraint(0, 0)
        sum_of_parts.SetCoefficient(moved_share, -1)
        for grain in range(request.first, request.until):
            if min(capacity.sites[job.origin][grain], capacity.sites[job.to][grain]) < job.slots:
                continue
            max_rate = min(needed, capacity.links[link][grain])
            if max_rate <= 0:
                continue
            # In parts of the job: rates in bytes a second would spread over too many magnitudes.
            part = solver.NumVar(0, max_rate / needed, "")
            sum_of_parts.SetCoefficient(part, 1)
            link_limits[link, grain].SetCoefficient(part, needed)
            for site in (job.origin, job.to):
                site_limits[site, grain].SetCoefficient(part, job.slots * needed / max_rate)
    objective.SetMaximization()
    if solver.Solve() != pywraplp.Solver.OPTIMAL:
        return None
    shares = {name: int(share.solution_value() * MILLION) for name, share in moved_shares.items()}
    return int(objective.Value() + 1), shares


def choose_plan(capacity: Capacity, requests: Iterable[JobRequest], seconds: float) -> Plan:
    """Returns the greedy plan, or one guided by the linear program where that earns MIN_GAIN_PPM of it.

    The program has so many seconds; with 0, only the greedy plan is made.
    """
    requests = list(requests)
    greedy = make_plan(capacity, requests)
    if seconds <= 0 or len(greedy) == sum(request.size_left > 0 for request in requests):
        return greedy
    relaxed = solve_relaxed(capacity, requests, seconds)
    guided = make_plan(capacity, requests, relaxed[1]) if relaxed else greedy
    if total_earnings(requests, guided) * MILLION > total_earnings(requests, greedy) * MIN_GAIN_PPM:
        return guided
    return greedy
