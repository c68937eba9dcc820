"""What stand-ins and clients saw of workflows, judged: pure, of values alone."""

from collections import Counter
from collections.abc import Iterable
from itertools import pairwise
from typing import NamedTuple

from laurelcourse.fleet.flows_client import DONE, ERRORED, UNDONE, UNHEARD, WorkflowStatus
from laurelcourse.standins.holds import Effect

HOLDS = ("room", "device", "slot")  # in the order of the steps; a thing is named `room.MARK`
QUICK = 1.2  # a workflow answered so soon met no takeover: that takes a lease
SPARE = 0.25  # seconds by which a busy machine may be late


class Asked(NamedTuple):
    """One call of a client. `told` is None if it left; `calm`: no relay was paused then."""

    mark: str
    began: float
    took: float
    wait: float
    told: WorkflowStatus | None
    calm: bool


class Seen(NamedTuple):
    mark: str
    came: list[Effect]  # statements, in order
    effects: list[Effect]
    refused: frozenset[str]  # things whose hold units refuse


def by_mark(
    marks: Iterable[str], came: list[Effect], effects: list[Effect], refused: frozenset[str]
) -> dict[str, Seen]:
    found = {mark: Seen(mark, [], [], refused) for mark in marks}
    for one in came:
        if (mark := one.thing.partition(".")[2]) in found:
            found[mark].came.append(one)
    for one in effects:
        if (mark := one.thing.partition(".")[2]) in found:
            found[mark].effects.append(one)
    return found


def place(one: Effect) -> int:
    return HOLDS.index(one.thing.partition(".")[0]) if one.what != "notice" else len(HOLDS)


def _firsts(ones: list[Effect], what: tuple[str, ...]) -> list[int]:
    firsts: dict[tuple[str, str], Effect] = {}
    for one in ones:
        firsts.setdefault((one.what, one.thing), one)
    return [place(one) for one in firsts.values() if one.what in what]


def out_of_order(seen: Seen) -> int:
    """Steps that took effect before an earlier one, undos before a later one's."""
    forward, back = _firsts(seen.effects, ("hold", "notice")), _firsts(seen.effects, ("free",))
    return sum(later < one for one, later in pairwise(forward)) + sum(
        later > one for one, later in pairwise(back)
    )


def two_owners(seen: Seen) -> int:
    """Statements that come when the workflow was further on already: of an owner that was one no more."""
    furthest, count = (0, 0), 0
    for one in seen.came:
        at = (1, -place(one)) if one.what == "free" else (0, place(one))
        count += at < furthest
        furthest = max(furthest, at)
    return count


def held(seen: Seen) -> list[str]:
    """Things whose last effect is a hold."""
    last = {one.thing: one.what for one in seen.effects if one.what != "notice"}
    return [thing for thing, what in last.items() if what == "hold"]


def notices(seen: Seen) -> int:
    return sum(one.what == "notice" for one in seen.effects)


def freed(seen: Seen) -> list[str]:
    return [one.thing for one in seen.came if one.what == "free"]


def judged(seen: dict[str, Seen], asked: list[Asked], final: dict[str, WorkflowStatus]) -> dict[str, int]:
    """Each check's count. `final`: what a client that asked after all faults was told of each mark."""
    ended = {mark: told.answer for mark, told in final.items()}
    quick = {
        one.mark for one in asked if one.calm and one.told and one.told.answer == UNDONE and one.took < QUICK
    }
    answers = Counter(
        one.mark
        for one in asked
        if one.told is not None
        and one.told.answer in (DONE, UNDONE)
        and ended.get(one.mark) in (DONE, UNDONE)
        and one.told.answer != ended[one.mark]
    )
    return {
        "out_of_order": sum(out_of_order(one) for one in seen.values()),
        "effects_left_behind": sum(len(held(one)) for mark, one in seen.items() if ended.get(mark) == UNDONE),
        "undone_though_done": sum(
            bool(freed(one)) for mark, one in seen.items() if ended.get(mark) == DONE or notices(one)
        ),
        "notices_twice": sum(max(notices(one) - 1, 0) for one in seen.values()),
        "two_owners_acted": sum(two_owners(one) for one in seen.values()),
        "undo_of_never_ran": sum(
            thing in one.refused for mark, one in seen.items() if mark in quick for thing in freed(one)
        ),
        "one_outcome_each": answers.total()
        + sum(one.told is not None and one.told.answer not in (DONE, UNDONE, ERRORED) for one in asked),
        "answered_after_deadline": sum(
            one.told is not None and (one.took > one.wait + SPARE or (one.calm and one.told.state == UNHEARD))
            for one in asked
        ),
    }
