"""Whether what clients were told could have come from one copy that did one thing at a time.

Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with Lowe's memory of what was tried
("Testing for linearizability", 2017). The search is bounded: a history that is not settled within the bound
is told as such, and counts as nothing.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

NEVER = 1 << 62


class Op(NamedTuple):
    """`ended` is NEVER where no answer came: it may have been done at any time from `began` on, or never.
    Times are true microseconds; `what` and `told` are for the model alone."""

    began: int
    ended: int
    what: str
    told: tuple = ()


Step = Callable[[Hashable, Op], Iterable[Hashable]]


def linearizable(ops: Iterable[Op], first: Hashable, step: Step, most: int = 20_000) -> bool | None:
    """True, False, or None when `most` steps did not settle it. `step` gives the states that an operation may
    lead to from a state, none when it can't have been told that there."""
    ranked = sorted(ops)
    must = sum(1 << place for place, op in enumerate(ranked) if op.ended < NEVER)
    stack: list[tuple[int, Hashable]] = [(0, first)]
    tried = {stack[0]}
    while stack:
        done, state = stack.pop()
        if done & must == must:
            return True
        most -= 1
        if most < 0:
            return None
        edge = min(op.ended for place, op in enumerate(ranked) if not done >> place & 1)
        for place, op in enumerate(ranked):
            if op.began > edge:
                break
            if not done >> place & 1:
                for after in step(state, op):
                    one = (done | 1 << place, after)
                    if one not in tried:
                        tried.add(one)
                        stack.append(one)
    return False


def session_step(state: Hashable, op: Op) -> Iterable[Hashable]:
    """One name's sessions as a register: (the newest session's number, whether it lives). A session may lapse
    at any time unseen, but none comes back and numbers only grow.

    Operations: 'open', told (number,) when answered, or all numbers that it may have got when not; 'taken',
    told (number,): refused as that session lives; 'close', told (number,); 'look', told (number or 0,)."""
    newest, lives = state
    if op.what == "open":
        return [(number, True) for number in op.told if number > newest]
    if op.what == "close":
        return [(newest, False)] if op.told[0] == newest else [state]
    if op.told[0]:
        return [state] if lives and op.told[0] == newest else []
    return [(newest, False)]


def stale(ops: Iterable[Op]) -> list[tuple[Op, Op]]:
    """Of looks at a number that only grows (`told` begins with it), each that began after another had ended
    that saw more, with that other. No search is needed for such a register."""
    ends = sorted((op.ended, op) for op in ops if op.ended < NEVER)
    found, place, most = [], 0, None
    for op in sorted(op for op in ops if op.ended < NEVER):
        while place < len(ends) and ends[place][0] < op.began:
            if most is None or ends[place][1].told[0] > most.told[0]:
                most = ends[place][1]
            place += 1
        if most is not None and most.told[0] > op.told[0]:
            found.append((most, op))
    return found
