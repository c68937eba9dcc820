"""Workflows in the state machine: each transition is checked against the definition stored with the workflow.

Sagas (Garcia-Molina, Salem 1987). An intent is recorded before its req is sent, the result before the next
intent. Undos go in reverse order of completion, one at a time; a step known never to have run has none, one
of unknown outcome is undone as if it had run. At and behind the point of no return, a step that may not
be repeated and whose outcome is unknown is SPENT: the workflow goes on to its end and reports it. A
deduplicated step, or undo, that may have run and whose repeats are no longer recognized makes the workflow
stuck, unless its loss, or its repetition, is harmless. Times are microseconds of the state machine's time. A
refused command changes nothing.
"""

from typing import NamedTuple

from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books.state import (
    MAX_AMOUNT,
    MAX_NUMBER,
    MAX_VALUES,
    MAX_WORKFLOWS,
    Session,
    State,
    StepState,
    Workflow,
    Workflows,
    is_number,
    is_text,
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
from laurelcourse.fleet.workflows import definition as definitions
from laurelcourse.settings import DEDUPED, NON_RETRIABLE

# States of a workflow, and which may follow.
FORWARD = "forward"
UNDOING = "undoing"
STUCK = "stuck"
DONE = "done"
UNDONE = "undone"
END_STATES = (DONE, UNDONE)
NEXT_STATES = {
    FORWARD: (UNDOING, STUCK, DONE, UNDONE),
    UNDOING: (STUCK, UNDONE),
    STUCK: (FORWARD, UNDOING, DONE, UNDONE),
    DONE: (),
    UNDONE: (),
}

# States of a step, and which may follow.
NEW = "new"
INTENDED = "intended"
COMPLETED = "completed"
NEVER_RAN = "never_ran"
FAILED = "failed"
MAYBE = "maybe"  # it may have run
SPENT = "spent"  # it may have run, and is not sent again
LOST = "lost"  # the workflow goes on without it
UNDO_INTENDED = "undo_intended"
UNDO_DUE = "undo_due"
STEP_UNDONE = "undone"
SETTLED_STEP_STATES = (COMPLETED, SPENT, LOST)
UNDOABLE_STEP_STATES = (COMPLETED, MAYBE, UNDO_INTENDED, UNDO_DUE)
NEXT_STEP_STATES = {
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
    """One step as relays see it; the fields are those of `state.StepState`."""

    state: str
    tries: int
    undo_tries: int
    allowed_tries: int
    maybe_ran: int
    intended_by: int
    first_intended_at: int
    undo_maybe_ran: int = 0
    first_undo_intended_at: int = 0


UNBOUNDED = MAX_AMOUNT  # of a time within which something may be repeated
UNDO_FIELDS_INDEX = StepView._fields.index("undo_maybe_ran")  # those from here on are of the undo


class WorkflowView(NamedTuple):
    """A workflow as relays see it; the fields are those of `state.Workflow`."""

    number: int
    tenant: str
    mark: str
    definition: definitions.Definition
    values: tuple[tuple[str, str], ...]
    owner: int
    began_at: int
    owned_since: int
    state: str
    leave_reason: str
    ended_at: int
    steps: tuple[StepView, ...]


def view(workflow: Workflow) -> WorkflowView:
    """Returns a workflow as relays see it."""
    return WorkflowView(
        workflow.number,
        workflow.tenant,
        workflow.mark,
        workflow.definition,
        workflow.values,
        workflow.owner,
        workflow.began_at,
        workflow.owned_since,
        workflow.state,
        workflow.leave_reason,
        workflow.ended_at,
        tuple(map(_step_view, workflow.steps)),
    )


def _step_view(step: StepState) -> StepView:
    return StepView(
        step.state,
        step.tries,
        step.undo_tries,
        step.allowed_tries,
        step.maybe_ran,
        step.intended_by,
        step.first_intended_at,
        step.undo_maybe_ran,
        step.first_undo_intended_at,
    )


def deduplication_key(workflow: int, step: int, undo: bool) -> str:
    """Returns the key that all tries of a step, or of its undo, share: units recognize repeats by it."""
    return f"w{workflow}.{step}.{'undo' if undo else 'do'}"


def req_id(workflow: int, step: int, undo: bool, tried: int) -> str:
    """Returns the id of one try, which no other ever has: numbers of workflows and tries only count up."""
    return f"{deduplication_key(workflow, step, undo)}.{tried}"


# Where a workflow stands


def current_step(workflow: Workflow | WorkflowView) -> int:
    """Returns the index of the step to go on with; the number of steps if all are settled."""
    return next(
        (index for index, step in enumerate(workflow.steps) if step.state not in SETTLED_STEP_STATES),
        len(workflow.steps),
    )


def step_to_undo(workflow: Workflow | WorkflowView) -> int:
    """Returns the index of the step to undo next, the last one that may have run; -1 if none is left."""
    return max(
        (
            index
            for index, step in enumerate(workflow.steps)
            if step.state in UNDOABLE_STEP_STATES and workflow.definition.steps[index].effect
        ),
        default=-1,
    )


def passed_no_return(workflow: Workflow | WorkflowView) -> bool:
    """Returns whether the point of no return may be passed."""
    return any(
        step.state in (INTENDED, MAYBE, *SETTLED_STEP_STATES)
        for step in workflow.steps[workflow.definition.no_return_index() :]
    )


def may_have_run(step: StepState | StepView, undo: bool) -> bool:
    """Returns whether the outcome of any try of a step, or of its undo, was unknown.

    Undos begun before `first_undo_intended_at` was recorded have tries without it: they may have run.
    """
    if not undo:
        return bool(step.maybe_ran)
    return bool(step.undo_maybe_ran or (step.undo_tries and not step.first_undo_intended_at))


def repeatable_for(workflow: Workflow | WorkflowView, index: int, undo: bool, time: int) -> int:
    """Returns for how long after `time` units surely drop a repeat of a step, or of its undo, or need not.

    That is 0 for a non-retriable one and where only some units drop a repeat, UNBOUNDED for a retriable one
    and for an undo that does no harm however late it runs. Units remember a deduplicated one from its first
    try on.
    """
    step = workflow.definition.steps[index]
    send = step.undo if undo else step.send
    if send.repeat == NON_RETRIABLE:
        return 0
    if send.repeat != DEDUPED or (undo and step.harmless):
        return UNBOUNDED
    progress = workflow.steps[index]
    first_intended_at = progress.first_undo_intended_at if undo else progress.first_intended_at
    return max(first_intended_at + send.memory - time, 0) if first_intended_at else 0


def is_repeatable(workflow: Workflow | WorkflowView, index: int, undo: bool, time: int) -> bool:
    """Returns whether a try that begins now, of what may have run, ends while its repeats are dropped."""
    step = workflow.definition.steps[index]
    send = step.undo if undo else step.send
    return repeatable_for(workflow, index, undo, time) >= send.timeout


def may_send(workflow: Workflow | WorkflowView, index: int, undo: bool, time: int) -> bool:
    """Returns whether a further try of a step, or of its undo, is sure to take effect once at most."""
    return not may_have_run(workflow.steps[index], undo) or is_repeatable(workflow, index, undo, time)


def can_be_unknown(workflow: Workflow | WorkflowView, index: int, undo: bool, time: int) -> bool:
    """Returns whether the outcome of a try can be called unknown.

    The former owner may have sent it up to the end of its lease, and its req may run until its timeout: an
    undo that came before it would leave its effect behind.
    """
    step = workflow.definition.steps[index]
    send = step.undo if undo else step.send
    return workflow.steps[index].intended_by == workflow.owner or time >= workflow.owned_since + send.timeout


# Changes of states


def _set_state(state: State, workflow: Workflow, to: str) -> None:
    """The one place where a workflow's state changes."""
    if to == workflow.state:
        return
    if to not in NEXT_STATES[workflow.state]:
        raise OutOfOrderError(_name_of(workflow), state=workflow.state, order=to)
    workflows = state.workflows
    was = workflow.state
    workflows.behind += (to in (UNDOING, STUCK)) - (was in (UNDOING, STUCK))
    workflow.state = to
    if to in END_STATES:
        workflow.ended_at = max(state.time, 1)
        workflow.values = ()
        del workflows.in_flight[workflow.number]
        workflows.ended[workflow.number] = workflow
        _count_in_flight(workflows, workflow.tenant, -1)


def _set_step_state(workflow: Workflow, index: int, to: str) -> None:
    """The one place where a step's state changes."""
    step = workflow.steps[index]
    if to != step.state and to not in NEXT_STEP_STATES[step.state]:
        raise OutOfOrderError(_name_of(workflow), state=step.state, order=to)
    step.state = to


def _end_if_finished(state: State, workflow: Workflow) -> None:
    if workflow.state == FORWARD and current_step(workflow) == len(workflow.steps):
        _set_state(state, workflow, DONE)
    elif (
        workflow.state == UNDOING
        and step_to_undo(workflow) < 0
        and all(step.state != INTENDED for step in workflow.steps)
    ):
        _set_state(state, workflow, UNDONE)


def _count_in_flight(workflows: Workflows, tenant: str, change: int) -> None:
    count = workflows.in_flight_by_tenant.get(tenant, 0) + change
    if count:
        workflows.in_flight_by_tenant[tenant] = count
    else:
        workflows.in_flight_by_tenant.pop(tenant, None)


# Commands


def apply_command(state: State, session: Session, command: forms.What) -> tuple:
    """Applies a session's command and returns its value. Raises FleetErrors."""
    match command:
        case forms.Begin():
            return _begin(state, session.fence.session, command)
        case forms.Intend():
            return _intend(state, session.fence.session, command)
        case forms.Result():
            return _record_result(state, session.fence.session, command)
        case forms.Leave():
            return _leave(state, command)
        case forms.Settle():
            return _settle(state, command)
        case forms.Adopt():
            return adopt(state, command, session.fence.session)
    raise UnreadableError("workflow", fault="command")


def set_limits(state: State, command: forms.Limits) -> None:
    """Sets the limits. Raises UnreadableError."""
    if not (
        all(is_number(limit, 1) for limit in command)
        and command.in_flight <= MAX_WORKFLOWS
        and command.keeps <= MAX_AMOUNT
    ):
        raise UnreadableError("limits", fault="a figure out of its bounds")
    state.workflows.limits = command


def _begin(state: State, owner: int, command: forms.Begin) -> tuple:
    workflows = state.workflows
    if not (is_text(command.tenant) and is_text(command.mark) and _are_values(command.values)):
        raise UnreadableError("begin", fault="tenant, mark or values")
    number = workflows.by_mark.get((command.tenant, command.mark))
    if number is not None:
        return number, workflows.by_number[number].state
    if not definitions.is_well_formed(command.definition):
        raise UnreadableError("begin", fault="definition")
    flaw = next(definitions.find_flaws(command.definition), None)
    if flaw:
        raise DefinitionRefusedError(command.definition.name, fault=flaw.message)
    _check_limits(workflows, command.tenant)
    workflows.last_number += 1
    workflow = Workflow(workflows.last_number, command.tenant, command.mark, command.definition, owner)
    workflow.values = command.values
    workflow.began_at = state.time
    workflow.owned_since = state.time
    _register(workflows, workflow)
    return workflow.number, workflow.state


def _check_limits(workflows: Workflows, tenant: str) -> None:
    limits = workflows.limits
    for held, at_most, of in (
        (workflows.behind, limits.behind, "undos behind"),
        (len(workflows.in_flight), limits.in_flight, "workflows"),
        (workflows.in_flight_by_tenant.get(tenant, 0), limits.by_tenant, "the tenant's workflows"),
        (len(workflows.by_number), MAX_WORKFLOWS, "workflows with finished ones"),
    ):
        if held >= at_most:
            raise CrowdedError(tenant, held=held, at_most=at_most, of=of)


def _register(workflows: Workflows, workflow: Workflow) -> None:
    workflows.by_number[workflow.number] = workflow
    workflows.by_mark[workflow.tenant, workflow.mark] = workflow.number
    if workflow.ended_at:
        workflows.ended[workflow.number] = workflow
        return
    workflows.in_flight[workflow.number] = workflow
    workflows.behind += workflow.state in (UNDOING, STUCK)
    _count_in_flight(workflows, workflow.tenant, 1)


def _intend(state: State, owner: int, command: forms.Intend) -> tuple:
    """Returns the try's id and key; if it repeats one that may have run, also how long it may be sent."""
    workflow = _find_owned(state, owner, command)
    step = workflow.steps[command.step]
    tried = command.tried
    tries_before = step.undo_tries if command.undo else step.tries
    if tried != tries_before + 1:
        raise OutOfOrderError(_name_of(workflow), state=f"{tries_before} tries", order=f"try {tried}")
    (_check_undo if command.undo else _check_send)(state, workflow, command.step)
    _set_step_state(workflow, command.step, UNDO_INTENDED if command.undo else INTENDED)
    step.intended_by = owner
    if command.undo:
        if not may_have_run(step, True):
            # Units remember the first try that may reach them; those before it surely never ran.
            step.first_undo_intended_at = max(state.time, 1)
        step.undo_tries = tried
    else:
        step.tries = tried
        step.first_intended_at = step.first_intended_at or max(state.time, 1)
    names = (
        req_id(command.workflow, command.step, command.undo, tried),
        deduplication_key(command.workflow, command.step, command.undo),
    )
    if not may_have_run(step, command.undo):
        return names
    return (*names, repeatable_for(workflow, command.step, command.undo, state.time))


def _check_send(state: State, workflow: Workflow, index: int) -> None:
    """Steps are sent only forward, in order, one at a time; a non-retriable one is sent once."""
    step = workflow.steps[index]
    once = workflow.definition.steps[index].send.repeat == NON_RETRIABLE
    spent = step.tries and (once or not may_send(workflow, index, False, state.time))
    if workflow.state != FORWARD or index != current_step(workflow) or step.state == INTENDED or spent:
        raise OutOfOrderError(
            _name_of(workflow),
            state=f"{workflow.state}, step {current_step(workflow)} {step.state}",
            order=f"step {index}",
        )


def _check_undo(state: State, workflow: Workflow, index: int) -> None:
    """Only the last step that may have run is undone, once no step is in flight, and never twice."""
    pending = any(step.state in (INTENDED, UNDO_INTENDED) for step in workflow.steps)
    if (
        workflow.state != UNDOING
        or pending
        or index != step_to_undo(workflow)
        or workflow.definition.steps[index].undo is None
        or not may_send(workflow, index, True, state.time)
    ):
        raise OutOfOrderError(
            _name_of(workflow),
            state=f"{workflow.state}, step {step_to_undo(workflow)} is next",
            order=f"undo of step {index}",
        )


def _record_result(state: State, owner: int, command: forms.Result) -> tuple:
    workflow = _find_owned(state, owner, command)
    if command.outcome not in (forms.COMPLETED, forms.NEVER_RAN, forms.UNKNOWN, forms.FAILED):
        raise UnreadableError(_name_of(workflow), fault="outcome")
    step = workflow.steps[command.step]
    tries, expected_state = (step.undo_tries, UNDO_INTENDED) if command.undo else (step.tries, INTENDED)
    gives_up = command.outcome == forms.UNKNOWN and _can_give_up(workflow, command, state.time)
    if command.tried != tries or not (step.state == expected_state or gives_up):
        raise OutOfOrderError(
            _name_of(workflow),
            state=f"step {command.step} {step.state}, try {tries}",
            order=f"result of try {command.tried}",
        )
    if command.outcome == forms.UNKNOWN and not can_be_unknown(
        workflow, command.step, command.undo, state.time
    ):
        raise OutOfOrderError(_name_of(workflow), state="the former owner's req may yet run", order="unknown")
    if command.undo:
        _apply_undo_outcome(state, workflow, command.step, command.outcome)
    else:
        _apply_outcome(state, workflow, command.step, command.outcome)
    _end_if_finished(state, workflow)
    return (workflow.state,)


def _can_give_up(workflow: Workflow, command: forms.Result, time: int) -> bool:
    """Returns whether a step, or its undo, is awaiting a further try that may no longer be sent."""
    step = workflow.steps[command.step]
    if command.undo:
        is_awaiting = workflow.state == UNDOING and step.state == UNDO_DUE
    else:
        is_awaiting = workflow.state == FORWARD and step.state == MAYBE and passed_no_return(workflow)
    return is_awaiting and not may_send(workflow, command.step, command.undo, time)


def _apply_outcome(state: State, workflow: Workflow, index: int, outcome: str) -> None:
    step = workflow.steps[index]
    definition = workflow.definition.steps[index]
    if outcome != forms.COMPLETED and not definition.effect:
        outcome = forms.FAILED if outcome == forms.FAILED else forms.NEVER_RAN
    if step.maybe_ran and outcome != forms.COMPLETED:
        # A later try that surely had no effect proves nothing about the one before it.
        outcome = forms.UNKNOWN
    step.maybe_ran |= outcome == forms.UNKNOWN
    to = {
        forms.COMPLETED: COMPLETED,
        forms.NEVER_RAN: NEVER_RAN,
        forms.FAILED: FAILED,
        forms.UNKNOWN: MAYBE,
    }[outcome]
    if to == COMPLETED or workflow.state == UNDOING:
        _set_step_state(workflow, index, to)
    elif index < workflow.definition.no_return_index():
        _set_step_state(workflow, index, to)
        if to != NEVER_RAN or definition.send.repeat == NON_RETRIABLE:
            _set_state(state, workflow, UNDOING)
    else:
        _apply_failure_after_no_return(state, workflow, index, to)


def _apply_failure_after_no_return(state: State, workflow: Workflow, index: int, to: str) -> None:
    """Handles a step at or behind the point of no return that is not surely completed."""
    step = workflow.steps[index]
    definition = workflow.definition.steps[index]
    once = definition.send.repeat == NON_RETRIABLE
    harmless = definition.fails == definitions.HARMLESS
    if to == MAYBE and not is_repeatable(workflow, index, False, state.time):
        if harmless or once:
            _set_step_state(workflow, index, SPENT)
        else:
            # Repeats are no longer recognized, and it must be done: an operator checks whether it is.
            _set_step_state(workflow, index, MAYBE)
            _set_state(state, workflow, STUCK)
    elif harmless and (to == FAILED or (to == NEVER_RAN and once)):
        _set_step_state(workflow, index, LOST)
    else:
        _set_step_state(workflow, index, to)
        out_of_tries = step.tries >= step.allowed_tries
        for_good = (
            workflow.leave_reason
            or once
            or out_of_tries
            or (to == FAILED and definition.fails == definitions.MAY)
        )
        if index == workflow.definition.no_return_index() and to != MAYBE and for_good:
            _set_state(state, workflow, UNDOING)
        elif out_of_tries:
            _set_state(state, workflow, STUCK)


def _apply_undo_outcome(state: State, workflow: Workflow, index: int, outcome: str) -> None:
    step = workflow.steps[index]
    step.undo_maybe_ran |= outcome == forms.UNKNOWN
    _set_step_state(workflow, index, STEP_UNDONE if outcome == forms.COMPLETED else UNDO_DUE)
    if step.state == UNDO_DUE and (
        step.undo_tries >= step.allowed_tries or not may_send(workflow, index, True, state.time)
    ):
        _set_state(state, workflow, STUCK)


def _leave(state: State, command: forms.Leave) -> tuple:
    workflow = _find(state, command.workflow)
    if command.why not in (forms.LEFT, forms.LATE, forms.GAVE_UP):
        raise UnreadableError(_name_of(workflow), fault="why")
    if workflow.state in END_STATES:
        return (workflow.state,)
    workflow.leave_reason = workflow.leave_reason or command.why
    if workflow.state == FORWARD and not passed_no_return(workflow):
        _set_state(state, workflow, UNDOING)
        _end_if_finished(state, workflow)
    return (workflow.state,)


def _settle(state: State, command: forms.Settle) -> tuple:
    workflow = _find(state, command.workflow)
    if command.how not in (forms.BY_HAND, forms.AGAIN):
        raise UnreadableError(_name_of(workflow), fault="how")
    undoing = not passed_no_return(workflow)
    index = step_to_undo(workflow) if undoing else current_step(workflow)
    if workflow.state != STUCK or command.step != index:
        raise OutOfOrderError(
            _name_of(workflow),
            state=f"{workflow.state}, step {index}",
            order=f"settle step {command.step}",
        )
    step = workflow.steps[index]
    if command.how == forms.AGAIN:
        step.allowed_tries = (step.undo_tries if undoing else step.tries) + workflow.definition.tries
    else:
        _set_step_state(workflow, index, STEP_UNDONE if undoing else COMPLETED)
    _set_state(state, workflow, UNDOING if undoing else FORWARD)
    _end_if_finished(state, workflow)
    return (workflow.state,)


def adopt(state: State, command: forms.Adopt, to: int) -> tuple:
    """Gives the workflow of an ended session to session `to`, and returns its state.

    The first who names the current owner gets it; whoever comes second names a former one. Raises
    UnreadableError, NoSuchWorkflowError, LapsedLeaseError or OutOfOrderError.
    """
    workflow = _find(state, command.workflow)
    if not (is_number(command.former, 1, MAX_NUMBER) and is_number(to, 1, MAX_NUMBER)):
        raise UnreadableError(_name_of(workflow), fault="session")
    if to not in state.live_sessions:
        raise LapsedLeaseError(f"session {to}", session=to)
    if (
        workflow.state in END_STATES
        or workflow.owner != command.former
        or workflow.owner in state.live_sessions
    ):
        raise OutOfOrderError(
            _name_of(workflow), state=f"{workflow.state}, owned by {workflow.owner}", order="adopt"
        )
    workflow.owner = to
    workflow.owned_since = state.time
    return (workflow.state,)


def forget_ended(state: State) -> None:
    """Forgets ended workflows whose time is over. They are in the order in which they ended."""
    workflows = state.workflows
    while workflows.ended:
        workflow = next(iter(workflows.ended.values()))
        if workflow.ended_at + workflows.limits.keeps > state.time:
            return
        del workflows.ended[workflow.number], workflows.by_number[workflow.number]
        del workflows.by_mark[workflow.tenant, workflow.mark]


# Lookup and checks


def _find(state: State, number: object) -> Workflow:
    if not is_number(number, 1, MAX_NUMBER):
        raise UnreadableError("workflow", fault="its number")
    if number not in state.workflows.by_number:
        raise NoSuchWorkflowError(f"workflow {number}")
    return state.workflows.by_number[number]


def _find_owned(state: State, owner: int, command: forms.Intend | forms.Result) -> Workflow:
    workflow = _find(state, command.workflow)
    if not (
        is_number(command.step, 0, len(workflow.steps) - 1)
        and type(command.undo) is bool
        and is_number(command.tried, 1)
    ):
        raise UnreadableError(_name_of(workflow), fault="step, undo or try")
    _check_owner(workflow, owner)
    return workflow


def _check_owner(workflow: Workflow, owner: int) -> None:
    if workflow.owner != owner:
        raise FencedOffError(_name_of(workflow), session=owner, newer=workflow.owner)


def _name_of(workflow: Workflow) -> str:
    return f"workflow {workflow.number}"


def _are_values(values: object) -> bool:
    if type(values) is not tuple or len(values) > MAX_VALUES:
        return False
    return all(
        type(pair) is tuple and len(pair) == 2 and is_text(pair[0]) and is_text(pair[1], 0) for pair in values
    )


# Serialization


def to_plain(workflows: Workflows) -> list:
    """Returns nested lists of ints and strings; equal definitions are written once."""
    known: dict[definitions.Definition, int] = {}
    rows = [_to_row(workflows.by_number[number], known) for number in sorted(workflows.by_number)]
    return [
        workflows.last_number,
        list(workflows.limits),
        [definitions.to_plain(definition) for definition in known],
        rows,
    ]


def _to_row(workflow: Workflow, known: dict[definitions.Definition, int]) -> list:
    return [
        workflow.number,
        workflow.tenant,
        workflow.mark,
        known.setdefault(workflow.definition, len(known)),
        workflow.owner,
        [list(pair) for pair in workflow.values],
        workflow.began_at,
        workflow.owned_since,
        workflow.state,
        workflow.leave_reason,
        workflow.ended_at,
        [step_to_plain(_step_view(step)) for step in workflow.steps],
    ]


def step_to_plain(step: StepView) -> list[int | str]:
    """Returns the fields of a step, without those added later as long as its undo is not intended.

    So a version from before them reads all other steps, and what it has written is written again unchanged.
    """
    return list(step if step.first_undo_intended_at else step[:UNDO_FIELDS_INDEX])


def from_plain(plain: list) -> Workflows:
    """Returns what `to_plain` was given. Raises ValueError, TypeError or LookupError."""
    workflows = Workflows()
    workflows.last_number, limits, plain_definitions, rows = plain
    workflows.limits = forms.Limits(*limits)
    known = [definitions.from_plain(definition) for definition in plain_definitions]
    restored = [_from_row(row, known) for row in rows]
    for workflow in sorted(restored, key=lambda workflow: (workflow.ended_at, workflow.number)):
        _register(workflows, workflow)
    return workflows


def _from_row(row: list, known: list[definitions.Definition]) -> Workflow:
    (
        number,
        tenant,
        mark,
        definition,
        owner,
        values,
        began_at,
        owned_since,
        state,
        leave_reason,
        ended_at,
        steps,
    ) = row
    workflow = Workflow(number, tenant, mark, known[definition], owner)
    workflow.values = tuple((name, value) for name, value in values)
    workflow.began_at = began_at
    workflow.owned_since = owned_since
    workflow.state = state
    workflow.leave_reason = leave_reason
    workflow.ended_at = ended_at
    for step, plain_step in zip(workflow.steps, steps, strict=True):
        (
            step.state,
            step.tries,
            step.undo_tries,
            step.allowed_tries,
            step.maybe_ran,
            step.intended_by,
            step.first_intended_at,
            step.undo_maybe_ran,
            step.first_undo_intended_at,
        ) = StepView(*plain_step)
    return workflow
