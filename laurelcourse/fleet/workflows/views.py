"""Serializes a workflow for relays: nested tuples of whole numbers and texts, and back. No I/O."""

from laurelcourse.fleet.books import workflows as books
from laurelcourse.fleet.books.forms import Fence, Intend, Limits, Result
from laurelcourse.fleet.books.state import Session, State
from laurelcourse.fleet.books.workflows import StepView, WorkflowView
from laurelcourse.fleet.errors import UnreadableError
from laurelcourse.fleet.workflows import definition as definitions

MAX_VIEWS = 8  # workflows in one answer: each may contain a whole definition
MAX_NUMBERS = 512  # of one kind in one answer


def to_plain(view: WorkflowView | None) -> tuple:
    """Returns the view as nested tuples, empty for a workflow that doesn't exist."""
    if view is None:
        return ()
    definition = definitions.to_plain(view.definition)
    return _to_tuples(view._replace(definition=definition, steps=tuple(map(books.step_to_plain, view.steps))))


def _to_tuples(value: object) -> object:
    return tuple(map(_to_tuples, value)) if isinstance(value, list | tuple) else value


def from_plain(plain: tuple) -> WorkflowView | None:
    """Returns what `to_plain` was given. Raises UnreadableError."""
    if not plain:
        return None
    try:
        view = WorkflowView(*plain)
        definition = definitions.from_plain(view.definition)
        steps = tuple(StepView(*step) for step in view.steps)
    except (TypeError, ValueError) as error:
        raise UnreadableError("workflow", fault=type(error).__name__) from error
    if not definitions.is_well_formed(definition) or len(steps) != len(definition.steps):
        raise UnreadableError("workflow", fault="definition")
    return view._replace(definition=definition, steps=steps)


def predict(view: WorkflowView, command: Intend | Result, elapsed: int) -> WorkflowView:
    """Returns the view after a command of its owner, by the rules of the state machine, without asking it.

    `elapsed`: microseconds since the owner got the workflow, by its own clock. If the state machine decided
    otherwise by its own time, it refuses the next command. Raises FleetErrors.
    """
    state = State()
    row = [
        view.number,
        view.tenant,
        view.mark,
        0,
        view.owner,
        view.values,
        view.began_at,
        view.owned_since,
        view.state,
        view.leave_reason,
        view.ended_at,
        view.steps,
    ]
    limits = Limits(1, 1, 1, 1)
    state.workflows = books.from_plain([view.number, limits, [definitions.to_plain(view.definition)], [row]])
    state.time = view.owned_since + elapsed
    books.apply_command(state, Session(Fence("", view.owner, 0, 0), "", 0, 0), command)
    return books.view(state.workflows.by_number[view.number])
