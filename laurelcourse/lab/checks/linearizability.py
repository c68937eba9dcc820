"""Checks that what clients were told could have come from a single copy that did one operation at a time.

Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with Lowe's cache of configurations
("Testing for linearizability", 2017). The search is bounded: a history that is not decided within the bound
is reported as such.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

NEVER = 1 << 62  # the end of an operation that was not answered
MAX_STEPS = 20_000

# Operations of sessions.
OPEN = "open"
TAKEN = "taken"
CLOSE = "close"
LOOK = "look"


class Operation(NamedTuple):
    """One operation. Times are true microseconds; `kind` and `result` are for the model alone.

    One whose `end` is NEVER may have been done at any time from its start on, or never.
    """

    start: int
    end: int
    kind: str
    result: tuple = ()


Step = Callable[[Hashable, Operation], Iterable[Hashable]]


def is_linearizable(
    operations: Iterable[Operation], initial: Hashable, step: Step, max_steps: int = MAX_STEPS
) -> bool | None:
    """Returns whether some order explains all results; None if `max_steps` did not decide it.

    `step` returns the states that an operation may lead to from a state, none if its result is impossible
    there.
    """
    ranked = sorted(operations)
    required = sum(1 << place for place, operation in enumerate(ranked) if operation.end < NEVER)
    stack: list[tuple[int, Hashable]] = [(0, initial)]
    visited = {stack[0]}
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        max_steps -= 1
        if max_steps < 0:
            return None
        first_end = min(operation.end for place, operation in enumerate(ranked) if not done >> place & 1)
        for place, operation in enumerate(ranked):
            if operation.start > first_end:
                break
            if not done >> place & 1:
                for next_state in step(state, operation):
                    configuration = (done | 1 << place, next_state)
                    if configuration not in visited:
                        visited.add(configuration)
                        stack.append(configuration)
    return False


def session_step(state: Hashable, operation: Operation) -> Iterable[Hashable]:
    """Models one name's sessions as a register: (the newest session's number, whether it lives).

    A session may lapse at any time unseen, but none comes back, and numbers only grow. Results: OPEN has
    (number,) if it was answered, or all numbers that it may have got if not; TAKEN, a refusal as that session
    lives, and CLOSE have (number,); LOOK has (number or 0,).
    """
    newest, lives = state
    if operation.kind == OPEN:
        return [(number, True) for number in operation.result if number > newest]
    if operation.kind == CLOSE:
        return [(newest, False)] if operation.result[0] == newest else [state]
    if operation.result[0]:
        return [state] if lives and operation.result[0] == newest else []
    return [(newest, False)]


def stale_reads(operations: Iterable[Operation]) -> list[tuple[Operation, Operation]]:
    """Returns reads of a number that only grows which saw less than one that had ended before they began.

    Results begin with the number. Each is returned after the one that saw more; such a register needs no
    search.
    """
    by_end = sorted((operation.end, operation) for operation in operations if operation.end < NEVER)
    found = []
    place = 0
    newest = None
    for operation in sorted(operation for operation in operations if operation.end < NEVER):
        while place < len(by_end) and by_end[place][0] < operation.start:
            if newest is None or by_end[place][1].result[0] > newest.result[0]:
                newest = by_end[place][1]
            place += 1
        if newest is not None and newest.result[0] > operation.result[0]:
            found.append((newest, operation))
    return found
