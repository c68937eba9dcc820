"""Workflows in the books: every transition is checked against the definition stored with the workflow.

Sagas (Garcia-Molina, Salem 1987). An intent stands here before its req is sent, the result before the next
intent. Undos go in reverse order of completion, one at a time; a step known never to have run has none; one
of unknown fate is undone as if it had run. Behind the point of no return a step that may not be repeated and
whose fate is unknown is SPENT: the workflow goes on to its end, and states it; a deduplicated one that is out
of its memory is stuck unless its loss is harmless. Times are microseconds by the
books' account. A refusal changes nothing.
"""

from typing import NamedTuple

from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books.state import (
    AMOUNT,
    FLOWS,
    NUMBER,
    VALUES,
    Flow,
    Flows,
    Session,
    State,
    Try,
    number,
    text,
)
from laurelcourse.fleet.errors import (
    CrowdedError,
    DefinitionRefusedError,
    FencedOffError,
    LapsedLeaseError,
    NoSuchWorkflowError,
    OutOfOrderError,
    UnreadableError,
)
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.settings import DEDUPED, NON_RETRIABLE

# Of a workflow
FORWARD, UNDOING, STUCK, DONE, UNDONE = "forward", "undoing", "stuck", "done", "undone"
ENDED = DONE, UNDONE
MOVES = {
    FORWARD: (UNDOING, STUCK, DONE, UNDONE),
    UNDOING: (STUCK, UNDONE),
    STUCK: (FORWARD, UNDOING, DONE, UNDONE),
    DONE: (),
    UNDONE: (),
}

# Of a step. MAYBE: it may have run; SPENT: it may have, and is not sent again; LOST: done without it.
NEW, INTENDED, COMPLETED, NEVER_RAN, FAILED = "new", "intended", "completed", "never_ran", "failed"
MAYBE, SPENT, LOST = "maybe", "spent", "lost"
UNDO_INTENDED, UNDO_DUE, STEP_UNDONE = "undo_intended", "undo_due", "undone"
SETTLED = COMPLETED, SPENT, LOST
TO_UNDO = COMPLETED, MAYBE, UNDO_INTENDED, UNDO_DUE
STEP_MOVES = {
    NEW: (INTENDED,),
    INTENDED: (COMPLETED, NEVER_RAN, FAILED, MAYBE, SPENT, LOST),
    NEVER_RAN: (INTENDED, COMPLETED),
    FAILED: (INTENDED, COMPLETED),
    MAYBE: (INTENDED, SPENT, UNDO_INTENDED, COMPLETED),
    COMPLETED: (UNDO_INTENDED,),
    UNDO_INTENDED: (UNDO_DUE, STEP_UNDONE),
    UNDO_DUE: (UNDO_INTENDED, STEP_UNDONE),
    SPENT: (),
    LOST: (),
    STEP_UNDONE: (),
}


class StepView(NamedTuple):
    state: str
    tries: int
    undo_tries: int
    allowed: int
    maybe: int
    by: int
    first: int


class View(NamedTuple):
    number: int
    tenant: str
    mark: str
    definition: d.Definition
    values: tuple[tuple[str, str], ...]
    owner: int
    began: int
    since: int
    state: str
    left: str
    ended: int
    steps: tuple[StepView, ...]


def view(flow: Flow) -> View:
    return View(
        flow.number,
        flow.tenant,
        flow.mark,
        flow.definition,
        flow.values,
        flow.owner,
        flow.began,
        flow.since,
        flow.state,
        flow.left,
        flow.ended,
        tuple(map(_step_view, flow.steps)),
    )


def _step_view(one: Try) -> StepView:
    return StepView(one.state, one.tries, one.undo_tries, one.allowed, one.maybe, one.by, one.first)


def key(workflow: int, step: int, undo: bool) -> str:
    """What all tries of one step, or of its undo, share: by it units know a repeat."""
    return f"w{workflow}.{step}.{'undo' if undo else 'do'}"


def req_id(workflow: int, step: int, undo: bool, tried: int) -> str:
    """Of one try, and of no other ever: numbers of workflows and of tries only count up."""
    return f"{key(workflow, step, undo)}.{tried}"


# Where a workflow stands, of a Flow as of a View


def current(flow: Flow | View) -> int:
    """The step that is on forward; the number of steps if all are settled."""
    return next((at for at, one in enumerate(flow.steps) if one.state not in SETTLED), len(flow.steps))


def to_undo(flow: Flow | View) -> int:
    """The step that is undone next, the last one that may have run; -1: none is left."""
    return max(
        (
            at
            for at, one in enumerate(flow.steps)
            if one.state in TO_UNDO and flow.definition.steps[at].effect
        ),
        default=-1,
    )


def passed(flow: Flow | View) -> bool:
    """Whether the point of no return may be passed."""
    return any(one.state in (INTENDED, MAYBE, *SETTLED) for one in flow.steps[flow.definition.point() :])


def repeatable(flow: Flow | View, at: int, time: int) -> bool:
    """Whether a try of unknown fate may be sent once more: never a non-retriable one, and a deduplicated one
    only while its first is surely remembered."""
    send = flow.definition.steps[at].send
    if send.repeat == NON_RETRIABLE:
        return False
    return send.repeat != DEDUPED or time + send.timeout <= flow.steps[at].first + send.memory


def ripe(flow: Flow | View, at: int, undo: bool, time: int) -> bool:
    """Whether a try can be called unknown. The former owner may have sent up to the end of its lease, and
    its req may run until its timeout: an undo that came before it would leave it behind."""
    step = flow.definition.steps[at]
    send = step.undo if undo else step.send
    return flow.steps[at].by == flow.owner or time >= flow.since + send.timeout


# The one place where a workflow's state changes, and the one where a step's does


def _move(state: State, flow: Flow, to: str) -> None:
    if to == flow.state:
        return
    if to not in MOVES[flow.state]:
        raise OutOfOrderError(_named(flow), state=flow.state, order=to)
    flows, was = state.flows, flow.state
    flows.behind += (to in (UNDOING, STUCK)) - (was in (UNDOING, STUCK))
    flow.state = to
    if to in ENDED:
        flow.ended, flow.values = max(state.time, 1), ()
        del flows.open[flow.number]
        flows.ended[flow.number] = flow
        _count(flows, flow.tenant, -1)


def _step_to(flow: Flow, at: int, to: str) -> None:
    one = flow.steps[at]
    if to != one.state and to not in STEP_MOVES[one.state]:
        raise OutOfOrderError(_named(flow), state=one.state, order=to)
    one.state = to


def _go_on(state: State, flow: Flow) -> None:
    """After any change: whether it is finished."""
    if flow.state == FORWARD and current(flow) == len(flow.steps):
        _move(state, flow, DONE)
    elif flow.state == UNDOING and to_undo(flow) < 0 and all(one.state != INTENDED for one in flow.steps):
        _move(state, flow, UNDONE)


def _count(flows: Flows, tenant: str, by: int) -> None:
    left = flows.by_tenant.get(tenant, 0) + by
    if left:
        flows.by_tenant[tenant] = left
    else:
        flows.by_tenant.pop(tenant, None)


# Commands


def carry_out(state: State, session: Session, what: f.What) -> tuple:
    """The value of its Done. Raises FleetErrors."""
    match what:
        case f.Begin():
            return _begin(state, session.fence.session, what)
        case f.Intend():
            return _intend(state, session.fence.session, what)
        case f.Result():
            return _result(state, session.fence.session, what)
        case f.Leave():
            return _leave(state, what)
        case f.Settle():
            return _settle(state, what)
        case f.Adopt():
            return adopt(state, what, session.fence.session)
    raise UnreadableError("workflow", fault="command")


def limit(state: State, what: f.Limits) -> None:
    """Raises UnreadableError."""
    if not (all(number(one, 1) for one in what) and what.in_flight <= FLOWS and what.keeps <= AMOUNT):
        raise UnreadableError("limits", fault="a figure out of its bounds")
    state.flows.limits = what


def _begin(state: State, owner: int, what: f.Begin) -> tuple:
    flows = state.flows
    if not (text(what.tenant) and text(what.mark) and _are_values(what.values)):
        raise UnreadableError("begin", fault="tenant, mark or values")
    there = flows.marks.get((what.tenant, what.mark))
    if there is not None:
        return there, flows.all[there].state
    if not d.well_formed(what.definition):
        raise UnreadableError("begin", fault="definition")
    flaw = next(d.flaws(what.definition), None)
    if flaw:
        raise DefinitionRefusedError(what.definition.name, fault=flaw.words)
    limits = flows.limits
    for held, most, of in (
        (flows.behind, limits.behind, "undos behind"),
        (len(flows.open), limits.in_flight, "workflows"),
        (flows.by_tenant.get(what.tenant, 0), limits.by_tenant, "the tenant's workflows"),
        (len(flows.all), FLOWS, "workflows with finished ones"),
    ):
        if held >= most:
            raise CrowdedError(what.tenant, held=held, at_most=most, of=of)
    flows.last += 1
    flow = Flow(flows.last, what.tenant, what.mark, what.definition, owner)
    flow.values, flow.began, flow.since = what.values, state.time, state.time
    _enter(flows, flow)
    return flow.number, flow.state


def _enter(flows: Flows, flow: Flow) -> None:
    flows.all[flow.number] = flow
    flows.marks[flow.tenant, flow.mark] = flow.number
    if flow.ended:
        flows.ended[flow.number] = flow
        return
    flows.open[flow.number] = flow
    flows.behind += flow.state in (UNDOING, STUCK)
    _count(flows, flow.tenant, 1)


def _intend(state: State, owner: int, what: f.Intend) -> tuple:
    flow = _owned(state, owner, what)
    one, tried = flow.steps[what.step], what.tried
    so_far = one.undo_tries if what.undo else one.tries
    if tried != so_far + 1:
        raise OutOfOrderError(_named(flow), state=f"{so_far} tries", order=f"try {tried}")
    (_may_undo if what.undo else _may_send)(state, flow, what.step)
    _step_to(flow, what.step, UNDO_INTENDED if what.undo else INTENDED)
    one.by = owner
    if what.undo:
        one.undo_tries = tried
    else:
        one.tries, one.first = tried, one.first or max(state.time, 1)
    return req_id(what.workflow, what.step, what.undo, tried), key(what.workflow, what.step, what.undo)


def _may_send(state: State, flow: Flow, at: int) -> None:
    """Forward only, in order, one at a time; a non-retriable step once ever."""
    one, send = flow.steps[at], flow.definition.steps[at].send
    once = send.repeat == NON_RETRIABLE
    spent = one.tries and (once or (one.maybe and not repeatable(flow, at, state.time)))
    if flow.state != FORWARD or at != current(flow) or one.state == INTENDED or spent:
        raise OutOfOrderError(
            _named(flow), state=f"{flow.state}, step {current(flow)} {one.state}", order=f"step {at}"
        )


def _may_undo(state: State, flow: Flow, at: int) -> None:
    """Strictly the last one that may have run, once nothing forward is on its way."""
    pending = any(one.state in (INTENDED, UNDO_INTENDED) for one in flow.steps)
    if flow.state != UNDOING or pending or at != to_undo(flow) or flow.definition.steps[at].undo is None:
        raise OutOfOrderError(
            _named(flow), state=f"{flow.state}, step {to_undo(flow)} is next", order=f"undo of step {at}"
        )


def _result(state: State, owner: int, what: f.Result) -> tuple:
    flow = _owned(state, owner, what)
    if what.outcome not in (f.COMPLETED, f.NEVER_RAN, f.UNKNOWN, f.FAILED):
        raise UnreadableError(_named(flow), fault="outcome")
    one = flow.steps[what.step]
    tries, wanted = (one.undo_tries, UNDO_INTENDED) if what.undo else (one.tries, INTENDED)
    out_of_memory = (
        not what.undo
        and one.state == MAYBE
        and what.outcome == f.UNKNOWN
        and passed(flow)
        and flow.state == FORWARD
        and not repeatable(flow, what.step, state.time)
    )
    if what.tried != tries or not (one.state == wanted or out_of_memory):
        raise OutOfOrderError(
            _named(flow),
            state=f"step {what.step} {one.state}, try {tries}",
            order=f"result of try {what.tried}",
        )
    if what.outcome == f.UNKNOWN and not ripe(flow, what.step, what.undo, state.time):
        raise OutOfOrderError(_named(flow), state="the former owner's req may yet run", order="unknown")
    if what.undo:
        _undo_came(state, flow, what.step, what.outcome)
    else:
        _came(state, flow, what.step, what.outcome)
    _go_on(state, flow)
    return (flow.state,)


def _came(state: State, flow: Flow, at: int, outcome: str) -> None:
    one, step, point = flow.steps[at], flow.definition.steps[at], flow.definition.point()
    if outcome != f.COMPLETED and not step.effect:
        outcome = f.FAILED if outcome == f.FAILED else f.NEVER_RAN
    if one.maybe and outcome != f.COMPLETED:
        # A later try that surely did nothing proves nothing about the one before it.
        outcome = f.UNKNOWN
    one.maybe |= outcome == f.UNKNOWN
    to = {f.COMPLETED: COMPLETED, f.NEVER_RAN: NEVER_RAN, f.FAILED: FAILED, f.UNKNOWN: MAYBE}[outcome]
    once, harmless = step.send.repeat == NON_RETRIABLE, step.fails == d.HARMLESS
    if to == COMPLETED or flow.state == UNDOING:
        _step_to(flow, at, to)
        return
    if at < point:
        _step_to(flow, at, to)
        if to != NEVER_RAN or once:
            _move(state, flow, UNDOING)
    elif to == MAYBE and not repeatable(flow, at, state.time):
        if harmless or once:
            _step_to(flow, at, SPENT)
        else:
            # Out of its repeats' memory, and it must be done: an operator looks whether it is.
            _step_to(flow, at, MAYBE)
            _move(state, flow, STUCK)
    elif harmless and (to == FAILED or (to == NEVER_RAN and once)):
        _step_to(flow, at, LOST)
    else:
        _step_to(flow, at, to)
        for_good = flow.left or once or one.tries >= one.allowed or (to == FAILED and step.fails == d.MAY)
        if at == point and to != MAYBE and for_good:
            _move(state, flow, UNDOING)
        elif one.tries >= one.allowed:
            _move(state, flow, STUCK)


def _undo_came(state: State, flow: Flow, at: int, outcome: str) -> None:
    one = flow.steps[at]
    _step_to(flow, at, STEP_UNDONE if outcome == f.COMPLETED else UNDO_DUE)
    if one.state == UNDO_DUE and one.undo_tries >= one.allowed:
        _move(state, flow, STUCK)


def _leave(state: State, what: f.Leave) -> tuple:
    flow = _found(state, what.workflow)
    if what.why not in (f.LEFT, f.LATE, f.GAVE_UP):
        raise UnreadableError(_named(flow), fault="why")
    if flow.state in ENDED:
        return (flow.state,)
    flow.left = flow.left or what.why
    if flow.state == FORWARD and not passed(flow):
        _move(state, flow, UNDOING)
        _go_on(state, flow)
    return (flow.state,)


def _settle(state: State, what: f.Settle) -> tuple:
    flow = _found(state, what.workflow)
    if what.how not in (f.BY_HAND, f.AGAIN):
        raise UnreadableError(_named(flow), fault="how")
    back = not passed(flow)
    at = to_undo(flow) if back else current(flow)
    if flow.state != STUCK or what.step != at:
        raise OutOfOrderError(
            _named(flow), state=f"{flow.state}, step {at}", order=f"settle step {what.step}"
        )
    one = flow.steps[at]
    if what.how == f.AGAIN:
        one.allowed = (one.undo_tries if back else one.tries) + flow.definition.tries
    else:
        _step_to(flow, at, STEP_UNDONE if back else COMPLETED)
    _move(state, flow, UNDOING if back else FORWARD)
    _go_on(state, flow)
    return (flow.state,)


def adopt(state: State, what: f.Adopt, to: int) -> tuple:
    """The first who names the owner that is over has it; whoever comes second names a wrong one."""
    flow = _found(state, what.workflow)
    if not (number(what.former, 1, NUMBER) and number(to, 1, NUMBER)):
        raise UnreadableError(_named(flow), fault="session")
    if to not in state.live:
        raise LapsedLeaseError(f"session {to}", session=to)
    if flow.state in ENDED or flow.owner != what.former or flow.owner in state.live:
        raise OutOfOrderError(_named(flow), state=f"{flow.state}, owned by {flow.owner}", order="adopt")
    flow.owner, flow.since = to, state.time
    return (flow.state,)


def forget(state: State) -> None:
    """Finished ones whose time is over. They ended in the order of time."""
    flows = state.flows
    while flows.ended:
        flow = next(iter(flows.ended.values()))
        if flow.ended + flows.limits.keeps > state.time:
            return
        del flows.ended[flow.number], flows.all[flow.number], flows.marks[flow.tenant, flow.mark]


# Who may


def _found(state: State, workflow: object) -> Flow:
    if not number(workflow, 1, NUMBER):
        raise UnreadableError("workflow", fault="its number")
    if workflow not in state.flows.all:
        raise NoSuchWorkflowError(f"workflow {workflow}")
    return state.flows.all[workflow]


def _owned(state: State, owner: int, what: f.Intend | f.Result) -> Flow:
    flow = _found(state, what.workflow)
    if not (number(what.step, 0, len(flow.steps) - 1) and type(what.undo) is bool and number(what.tried, 1)):
        raise UnreadableError(_named(flow), fault="step, undo or try")
    _owns(flow, owner)
    return flow


def _owns(flow: Flow, owner: int) -> None:
    if flow.owner != owner:
        raise FencedOffError(_named(flow), session=owner, newer=flow.owner)


def _named(flow: Flow) -> str:
    return f"workflow {flow.number}"


def _are_values(values: object) -> bool:
    if type(values) is not tuple or len(values) > VALUES:
        return False
    return all(type(one) is tuple and len(one) == 2 and text(one[0]) and text(one[1], 0) for one in values)


# To and from nested lists


def plain(flows: Flows) -> list:
    """Equal definitions are written once."""
    definitions: dict[d.Definition, int] = {}
    rows = [_row(flows.all[one], definitions) for one in sorted(flows.all)]
    return [flows.last, list(flows.limits), [d.plain(one) for one in definitions], rows]


def _row(flow: Flow, definitions: dict[d.Definition, int]) -> list:
    return [
        flow.number,
        flow.tenant,
        flow.mark,
        definitions.setdefault(flow.definition, len(definitions)),
        flow.owner,
        [list(one) for one in flow.values],
        flow.began,
        flow.since,
        flow.state,
        flow.left,
        flow.ended,
        [list(_step_view(one)) for one in flow.steps],
    ]


def read(told: list) -> Flows:
    """What `plain` made. Raises ValueError, TypeError, LookupError."""
    flows = Flows()
    flows.last, limits, definitions, rows = told
    flows.limits = f.Limits(*limits)
    known = [d.read(one) for one in definitions]
    found = [_flow(row, known) for row in rows]
    for flow in sorted(found, key=lambda flow: (flow.ended, flow.number)):
        _enter(flows, flow)
    return flows


def _flow(row: list, known: list[d.Definition]) -> Flow:
    numbered, tenant, mark, definition, owner, values, began, since, state, left, ended, steps = row
    flow = Flow(numbered, tenant, mark, known[definition], owner)
    flow.values = tuple((name, value) for name, value in values)
    flow.began, flow.since = began, since
    flow.state, flow.left, flow.ended = state, left, ended
    for one, told in zip(flow.steps, steps, strict=True):
        one.state, one.tries, one.undo_tries, one.allowed, one.maybe, one.by, one.first = told
    return flow
