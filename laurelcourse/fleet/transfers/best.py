"""The best plan by a solver (OR-tools CP-SAT) in bounded time: to compare with, and where it earns more.

Which jobs move is a yes or no, and slots are taken whole or not at all in a grain, so a linear programme
alone (GLOP) gives only a bound; CP-SAT gives plans, with a bound beside. Rates are counted in units of about a
thousandth of the widest link: capacities are rounded down, bytes up, so that what is found always fits.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.transfers.plan import MILLION, Part, Plan, Room, Want, earned, links, planned, ways

EARNS = 1_020_000       # of a million: the solver's plan must earn so much more than the greedy one
UNITS = 1_000           # of the widest link


class Best(NamedTuple):
    plan: Plan
    bound: int          # no plan on this grid (and by these units) earns more
    proved: bool        # the plan earns just that


def best(room: Room, wants: Iterable[Want], seconds: float, seed: int = 1,
         hint: Plan | None = None) -> Best | None:
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
        if not {job.origin, job.to} <= room.sites.keys():
            continue
        moves[name] = yes = model.new_bool_var(name)
        need = -(-room.rate(want.left) // unit)
        mine = []
        for grain in range(want.first, want.until):
            if min(room.sites[job.origin][grain], room.sites[job.to][grain]) < job.slots:
                continue
            busy = model.new_bool_var("")
            some = False
            for way in ways(room, job):
                most = min(need, *(room.links[link][grain] // unit for link in links(way)))
                if most <= 0:
                    continue
                some, rate = True, model.new_int_var(0, most, "")
                model.add(rate <= most * busy)
                for link in links(way):
                    on_link.setdefault((link, grain), []).append(rate)
                mine.append(rate)
                parts.append((name, grain, way, rate))
            if some:
                model.add_implication(busy, yes)
                for site in (job.origin, job.to):
                    on_site.setdefault((site, grain), []).append(job.slots * busy)
        model.add(sum(mine) >= need * yes)
    for (link, grain), taken in on_link.items():
        model.add(sum(taken) <= room.links[link][grain] // unit)
    for (site, grain), taken in on_site.items():
        model.add(sum(taken) <= room.sites[site][grain])
    model.maximize(sum(want.job.earnings * moves[want.job.name] for want in wants if want.job.name in moves))
    for name, yes in moves.items():
        model.add_hint(yes, name in (hint or {}))
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


def chosen(room: Room, wants: Iterable[Want], seconds: float, seed: int = 1) -> Plan:
    """The greedy plan, or the solver's where that earns EARNS as much in so many seconds; 0: greedy alone."""
    wants = list(wants)
    greedy = planned(room, wants)
    if seconds <= 0 or len(greedy) == sum(want.left > 0 for want in wants):
        return greedy
    found = best(room, wants, seconds, seed, greedy)
    if found is None or earned(wants, found.plan) * MILLION <= earned(wants, greedy) * EARNS:
        return greedy
    return found.plan
