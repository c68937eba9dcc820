"""Plans by solvers (OR-tools) in bounded time: to compare with, and where they earn more.

Which jobs move is a yes or no, and slots are taken whole or not at all in a grain, so a linear programme
alone (GLOP) gives only a bound; CP-SAT gives plans, with a bound beside. Rates are in units of about a
thousandth of the widest link: capacities are rounded down, bytes up, so that what is found always fits.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.transfers.plan import MILLION, Part, Plan, Room, Want, earned, planned

EARNS = 1_010_000  # of a million: the led plan must earn so much more than the greedy one
UNITS = 1_000  # of the widest link


class Best(NamedTuple):
    plan: Plan
    bound: int  # no plan on this grid (and by these units) earns more
    proved: bool  # the plan earns just that


def best(
    room: Room, wants: Iterable[Want], seconds: float, seed: int = 1, hint: Plan | None = None
) -> Best | None:
    """None where the solver is not there or finds nothing in so many seconds."""
    try:
        from ortools.sat.python import cp_model
    except ImportError:
        return None
    wants = [want for want in wants if want.left > 0]
    widest = max((max(one, default=0) for one in room.links.values()), default=0)
    unit = max(1, widest // UNITS)
    model = cp_model.CpModel()
    on_link: dict[tuple[str, int], list] = {}
    on_site: dict[tuple[str, int], list] = {}
    moves, parts = {}, []
    for want in wants:
        job, name = want.job, want.job.name
        link = f"{job.origin}>{job.to}"
        if link not in room.links or not {job.origin, job.to} <= room.sites.keys():
            continue
        moves[name] = yes = model.new_bool_var(name)
        need = -(-room.rate(want.left) // unit)
        mine = []
        for grain in range(want.first, want.until):
            if min(room.sites[job.origin][grain], room.sites[job.to][grain]) < job.slots:
                continue
            most = min(need, room.links[link][grain] // unit)
            if most <= 0:
                continue
            busy, rate = model.new_bool_var(""), model.new_int_var(0, most, "")
            model.add(rate <= most * busy)
            model.add_implication(busy, yes)
            on_link.setdefault((link, grain), []).append(rate)
            mine.append(rate)
            parts.append((name, grain, (job.origin, job.to), rate))
            for site in (job.origin, job.to):
                on_site.setdefault((site, grain), []).append(job.slots * busy)
        model.add(sum(mine) >= need * yes)
    for (link, grain), taken in on_link.items():
        model.add(sum(taken) <= room.links[link][grain] // unit)
    for (site, grain), taken in on_site.items():
        model.add(sum(taken) <= room.sites[site][grain])
    model.maximize(sum(want.job.earnings * moves[want.job.name] for want in wants if want.job.name in moves))
    for name, yes in moves.items():
        model.add_hint(yes, int(name in (hint or {})))
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds, solver.parameters.num_workers = seconds, 1
    solver.parameters.random_seed = seed
    status = solver.solve(model)
    if status not in (cp_model.OPTIMAL, cp_model.FEASIBLE):
        return None
    found: dict[str, list[Part]] = {}
    for name, grain, way, rate in parts:
        if solver.value(rate) and solver.value(moves[name]):
            found.setdefault(name, []).append((grain, solver.value(rate) * unit, way))
    plan = {name: tuple(sorted(there)) for name, there in sorted(found.items())}
    return Best(plan, int(solver.best_objective_bound + 1e-6), status == cp_model.OPTIMAL)


def relaxed(room: Room, wants: Iterable[Want], seconds: float) -> tuple[int, dict[str, int]] | None:
    """By a linear programme, where a job may move in part and take part of a slot: what no plan on this grid
    can out-earn, and how much of each job moves there, in parts of a million. None as in `best`."""
    try:
        from ortools.linear_solver import pywraplp
    except ImportError:
        return None
    solver = pywraplp.Solver.CreateSolver("GLOP")
    if solver is None:
        return None
    solver.SetTimeLimit(int(seconds * 1_000))
    links_of = {
        (link, grain): solver.Constraint(0, float(amount))
        for link, free in room.links.items()
        for grain, amount in enumerate(free)
    }
    sites_of = {
        (site, grain): solver.Constraint(0, float(amount))
        for site, free in room.sites.items()
        for grain, amount in enumerate(free)
    }
    goal, moves = solver.Objective(), {}
    for want in wants:
        job, need, link = want.job, room.rate(want.left), f"{want.job.origin}>{want.job.to}"
        if want.left <= 0 or link not in room.links or not {job.origin, job.to} <= room.sites.keys():
            continue
        moves[job.name] = share = solver.NumVar(0, 1, "")
        goal.SetCoefficient(share, job.earnings)
        whole = solver.Constraint(0, 0)
        whole.SetCoefficient(share, -1)
        for grain in range(want.first, want.until):
            if min(room.sites[job.origin][grain], room.sites[job.to][grain]) < job.slots:
                continue
            most = min(need, room.links[link][grain])
            if most <= 0:
                continue
            # In parts of the job: rates in bytes a second would spread over too many magnitudes.
            part = solver.NumVar(0, most / need, "")
            whole.SetCoefficient(part, 1)
            links_of[link, grain].SetCoefficient(part, need)
            for site in (job.origin, job.to):
                sites_of[site, grain].SetCoefficient(part, job.slots * need / most)
    goal.SetMaximization()
    if solver.Solve() != pywraplp.Solver.OPTIMAL:
        return None
    shares = {name: int(share.solution_value() * MILLION) for name, share in moves.items()}
    return int(goal.Value() + 1), shares


def chosen(room: Room, wants: Iterable[Want], seconds: float) -> Plan:
    """The greedy plan, or one led by the linear programme where that earns EARNS as much and the programme
    answers in so many seconds; 0: greedy alone."""
    wants = list(wants)
    greedy = planned(room, wants)
    if seconds <= 0 or len(greedy) == sum(want.left > 0 for want in wants):
        return greedy
    found = relaxed(room, wants, seconds)
    led = planned(room, wants, found[1]) if found else greedy
    return led if earned(wants, led) * MILLION > earned(wants, greedy) * EARNS else greedy
