"""Whether the workflows of the fleet's settings make sense: by themselves, and with the platform's routes."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

from laurelcourse import settings
from laurelcourse.fleet.books.forms import Limits
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.fleet.workflows import statements
from laurelcourse.operator.form import Fault, Fleet, Step, Workflow
from laurelcourse.operator.same import twice


def faults(fleet: Fleet) -> Iterator[Fault]:
    """What can be said without the platform's settings; `against` says the rest."""
    yield from twice("workflow", ((one.line, one.name) for one in fleet.workflows))
    for one in fleet.workflows:
        yield from _flaws(one, None)
    told = fleet.workflow_limits
    if told and told.by_tenant > told.in_flight:
        yield Fault(told.line, f"by-tenant is {told.by_tenant}, over in-flight, {told.in_flight}: lower it")
    if told and told.behind > told.in_flight:
        yield Fault(
            told.line, f"behind is {told.behind}, over in-flight, {told.in_flight}: it bounds nothing"
        )
    if told and not 0 < told.keeps <= d.MAX_DURATION_US:
        yield Fault(told.line, "keeps must be above 0 and 1d at most: the books hold finished ones so long")


def against(fleet: Fleet, routes: Iterable[settings.Route]) -> Iterator[Fault]:
    """What is wrong once the platform's routes are known: names, repeats, times."""
    known = rules(routes)
    for one in fleet.workflows:
        told = set(_flaws(one, None))
        yield from (fault for fault in _flaws(one, known) if fault not in told)


def rules(routes: Iterable[settings.Route]) -> dict[str, d.RouteRule]:
    return {one.name: d.RouteRule(one.repeat_policy, one.dedup_window, one.timeout) for one in routes}


def definitions(fleet: Fleet, routes: Iterable[settings.Route]) -> dict[str, d.Definition]:
    """By name, as they go into the books; of settings in which `against` finds nothing."""
    known = rules(routes)
    return {one.name: d.with_route_rules(definition(one), known) for one in fleet.workflows}


def limits(fleet: Fleet) -> Limits | None:
    """None: the books' own count."""
    told = fleet.workflow_limits
    return Limits(told.in_flight, told.by_tenant, told.behind, told.keeps) if told else None


def definition(found: Workflow) -> d.Definition:
    return d.Definition(
        found.name,
        found.timeout,
        found.tries,
        found.back_off,
        found.longest_back_off,
        tuple(_step(one) for one in found.steps),
    )


def _step(one: Step) -> d.Step:
    undo = one.undo
    return d.Step(
        one.name,
        d.Send(one.route, one.statement, one.timeout),
        d.Send(undo.route, undo.statement, undo.timeout) if undo else None,
        one.effect,
        one.no_return,
        one.fails,
        bool(undo and undo.harmless),
    )


def _flaws(found: Workflow, routes: Mapping[str, d.RouteRule] | None) -> Iterator[Fault]:
    told = definition(found)
    for flaw in chain(d.find_flaws(told, routes), statements.find_flaws(told)):
        step = found.steps[flaw.step] if flaw.step >= 0 else None
        line = found.line if step is None else step.undo.line if flaw.undo and step.undo else step.line
        yield Fault(line, f"workflow {found.name}: {flaw.message}")
