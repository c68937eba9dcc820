"""Checks of the workflow lab: what units and clients saw of each workflow, judged without I/O."""

from collections import Counter
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

from laurelcourse.fleet.flows_client import DONE, ERRORED, UNDONE, UNHEARD, WorkflowStatus
from laurelcourse.standins.holds import Effect

HELD_THINGS = ("room", "device", "slot")  # in the order of the steps; a thing's name is `room.MARK`
NO_TAKEOVER_SECONDS = 1.2  # a takeover needs a lease: none befell a workflow that was answered sooner
LATE_ANSWER_SECONDS = 0.25  # by which a busy machine may be late


class ClientCall(NamedTuple):
    """One call of a client. Times are in seconds, `started` is monotonic."""

    mark: str
    started: float
    took: float
    timeout: float
    status: WorkflowStatus | None  # None if the client left
    no_pause: bool  # no relay was paused during the call


class Observations(NamedTuple):
    """What units saw of one workflow."""

    mark: str
    received: list[Effect]  # statements, in order
    effects: list[Effect]
    refused: frozenset[str]  # things whose hold units refuse


def group_by_mark(
    marks: Iterable[str], received: list[Effect], effects: list[Effect], refused: frozenset[str]
) -> dict[str, Observations]:
    """Returns the observations of each workflow, by its mark."""
    observations = {mark: Observations(mark, [], [], refused) for mark in marks}
    for statement in received:
        if (mark := statement.thing.partition(".")[2]) in observations:
            observations[mark].received.append(statement)
    for effect in effects:
        if (mark := effect.thing.partition(".")[2]) in observations:
            observations[mark].effects.append(effect)
    return observations


def step_index(effect: Effect) -> int:
    """Returns the index of the step that an effect belongs to."""
    if effect.kind == "notice":
        return len(HELD_THINGS)
    return HELD_THINGS.index(effect.thing.partition(".")[0])


def _first_steps(effects: list[Effect], kinds: tuple[str, ...]) -> list[int]:
    """Returns the step of each effect of these kinds, in order, without repeated effects."""
    first_effects: dict[tuple[str, str], Effect] = {}
    for effect in effects:
        first_effects.setdefault((effect.kind, effect.thing), effect)
    return [step_index(effect) for effect in first_effects.values() if effect.kind in kinds]


def count_out_of_order(observations: Observations) -> int:
    """Returns how many steps took effect before an earlier one, and undos before a later step's."""
    forward = _first_steps(observations.effects, ("hold", "notice"))
    back = _first_steps(observations.effects, ("free",))
    return sum(second < first for first, second in pairwise(forward)) + sum(
        second > first for first, second in pairwise(back)
    )


def count_stale_statements(observations: Observations) -> int:
    """Returns how many statements came when the workflow was further on, and so from a former owner."""
    furthest = (0, 0)
    count = 0
    for statement in observations.received:
        step = step_index(statement)
        progress = (1, -step) if statement.kind == "free" else (0, step)
        count += progress < furthest
        furthest = max(furthest, progress)
    return count


def held_things(observations: Observations) -> list[str]:
    """Returns the things whose last effect is a hold."""
    last_kinds = {effect.thing: effect.kind for effect in observations.effects if effect.kind != "notice"}
    return [thing for thing, kind in last_kinds.items() if kind == "hold"]


def count_notices(observations: Observations) -> int:
    """Returns how many notices were given."""
    return sum(effect.kind == "notice" for effect in observations.effects)


def freed_things(observations: Observations) -> list[str]:
    """Returns the thing of each statement that frees one."""
    return [statement.thing for statement in observations.received if statement.kind == "free"]


def count_violations(
    observations: dict[str, Observations], calls: list[ClientCall], final: dict[str, WorkflowStatus]
) -> dict[str, int]:
    """Returns each check's count.

    `final` is what a client that asked after all faults was told of each workflow, by its mark.
    """
    ended = {mark: status.answer for mark, status in final.items()}
    undone_without_takeover = {
        call.mark
        for call in calls
        if call.no_pause and call.status and call.status.answer == UNDONE and call.took < NO_TAKEOVER_SECONDS
    }
    contradictions = Counter(
        call.mark
        for call in calls
        if call.status is not None
        and call.status.answer in (DONE, UNDONE)
        and ended.get(call.mark) in (DONE, UNDONE)
        and call.status.answer != ended[call.mark]
    )
    return {
        "out_of_order": sum(count_out_of_order(one) for one in observations.values()),
        "effects_left_behind": sum(
            len(held_things(one)) for mark, one in observations.items() if ended.get(mark) == UNDONE
        ),
        "undone_though_done": sum(
            bool(freed_things(one))
            for mark, one in observations.items()
            if ended.get(mark) == DONE or count_notices(one)
        ),
        "notices_twice": sum(max(count_notices(one) - 1, 0) for one in observations.values()),
        "two_owners_acted": sum(count_stale_statements(one) for one in observations.values()),
        "undo_of_never_ran": sum(
            thing in one.refused
            for mark, one in observations.items()
            if mark in undone_without_takeover
            for thing in freed_things(one)
        ),
        "one_outcome_each": contradictions.total()
        + sum(
            call.status is not None and call.status.answer not in (DONE, UNDONE, ERRORED) for call in calls
        ),
        "answered_after_deadline": sum(
            call.status is not None
            and (
                call.took > call.timeout + LATE_ANSWER_SECONDS
                or (call.no_pause and call.status.state == UNHEARD)
            )
            for call in calls
        ),
    }
