"""Workflows of the fleet's settings: validation, alone and with the platform's routes, and conversion."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

from laurelcourse import settings as platform
from laurelcourse.fleet.books import forms
from laurelcourse.fleet.workflows import definition as definitions
from laurelcourse.fleet.workflows import statements
from laurelcourse.operator.checks import find_duplicates
from laurelcourse.operator.settings import Fault, Fleet, Step, Workflow


def find_faults(fleet: Fleet) -> Iterator[Fault]:
    """Yields what is wrong without the platform's settings; `find_route_faults` yields the rest."""
    yield from find_duplicates("workflow", ((workflow.line, workflow.name) for workflow in fleet.workflows))
    for workflow in fleet.workflows:
        yield from _find_workflow_faults(workflow, None)
    limits = fleet.workflow_limits
    if limits is None:
        return
    if limits.by_tenant > limits.in_flight:
        yield Fault(
            limits.line,
            f"by-tenant is {limits.by_tenant}, over in-flight, {limits.in_flight}: lower it",
        )
    if limits.behind > limits.in_flight:
        yield Fault(
            limits.line,
            f"behind is {limits.behind}, over in-flight, {limits.in_flight}: it bounds nothing",
        )
    if not 0 < limits.keeps <= definitions.MAX_DURATION_US:
        yield Fault(limits.line, "keeps must be above 0 and 1d at most: the books hold finished ones so long")


def find_route_faults(fleet: Fleet, routes: Iterable[platform.Route]) -> Iterator[Fault]:
    """Yields what is wrong once the platform's routes are known: names, repeats, times."""
    rules = route_rules(routes)
    for workflow in fleet.workflows:
        known = set(_find_workflow_faults(workflow, None))
        yield from (fault for fault in _find_workflow_faults(workflow, rules) if fault not in known)


def route_rules(routes: Iterable[platform.Route]) -> dict[str, definitions.RouteRule]:
    """Returns by route what matters for workflows."""
    return {
        route.name: definitions.RouteRule(
            route.repeat_policy,
            route.dedup_window,
            route.timeout,
            is_fleet_wide=route.dedup_group == platform.GROUP_ALL,
        )
        for route in routes
    }


def to_definitions(fleet: Fleet, routes: Iterable[platform.Route]) -> dict[str, definitions.Definition]:
    """Returns the definitions by name, of settings in which `find_route_faults` finds nothing."""
    rules = route_rules(routes)
    return {
        workflow.name: definitions.with_route_rules(_to_definition(workflow), rules)
        for workflow in fleet.workflows
    }


def to_limits(fleet: Fleet) -> forms.Limits | None:
    """Returns the limits on workflows; None: those in the state machine stay."""
    limits = fleet.workflow_limits
    if limits is None:
        return None
    return forms.Limits(limits.in_flight, limits.by_tenant, limits.behind, limits.keeps)


def _to_definition(workflow: Workflow) -> definitions.Definition:
    return definitions.Definition(
        workflow.name,
        workflow.timeout,
        workflow.tries,
        workflow.back_off,
        workflow.longest_back_off,
        tuple(_to_step(step) for step in workflow.steps),
    )


def _to_step(step: Step) -> definitions.Step:
    undo = step.undo
    return definitions.Step(
        step.name,
        definitions.Send(step.route, step.statement, step.timeout),
        definitions.Send(undo.route, undo.statement, undo.timeout) if undo else None,
        step.effect,
        step.no_return,
        step.fails,
        bool(undo and undo.harmless),
    )


def _find_workflow_faults(
    workflow: Workflow, rules: Mapping[str, definitions.RouteRule] | None
) -> Iterator[Fault]:
    definition = _to_definition(workflow)
    for flaw in chain(definitions.find_flaws(definition, rules), statements.find_flaws(definition)):
        line = _line_of(workflow, flaw)
        yield Fault(line, f"workflow {workflow.name}: {flaw.message}")


def _line_of(workflow: Workflow, flaw: definitions.Flaw) -> int:
    if flaw.step == definitions.WHOLE_WORKFLOW:
        return workflow.line
    step = workflow.steps[flaw.step]
    return step.undo.line if flaw.undo and step.undo else step.line
