"""A workflow as the keepers tell it to relays: nested tuples of whole numbers and texts, and back. No I/O."""

from laurelcourse.fleet.books import workflows as books
from laurelcourse.fleet.books.forms import Fence, Intend, Limits, Result
from laurelcourse.fleet.books.state import Session, State
from laurelcourse.fleet.books.workflows import StepView, View
from laurelcourse.fleet.errors import UnreadableError
from laurelcourse.fleet.workflows import definition as d

AT_ONCE = 8  # workflows told in one answer: each may bear a whole definition
NUMBERS = 512  # of one kind told in one answer


def told(view: View | None) -> tuple:
    """Empty for a workflow that isn't there."""
    if view is None:
        return ()
    row = view._replace(definition=d.plain(view.definition), steps=tuple(map(tuple, view.steps)))
    return _tuples(row)


def _tuples(one: object) -> object:
    return tuple(map(_tuples, one)) if isinstance(one, list | tuple) else one


def seen(found: tuple) -> View | None:
    """What `told` made. Raises UnreadableError."""
    if not found:
        return None
    try:
        view = View(*found)
        definition = d.read(view.definition)
        steps = tuple(StepView(*one) for one in view.steps)
    except (TypeError, ValueError) as error:
        raise UnreadableError("workflow", fault=type(error).__name__) from error
    if not d.well_formed(definition) or len(steps) != len(definition.steps):
        raise UnreadableError("workflow", fault="definition")
    return view._replace(definition=definition, steps=steps)


def after(view: View, what: Intend | Result, elapsed: int) -> View:
    """The view once the books have taken this order of its owner, without asking them: by their own rules.
    `elapsed`: microseconds since the owner came by it, by its own clock; should the books have gone another
    way for their time, they refuse the next order. Raises FleetErrors."""
    state = State()
    row = [
        view.number,
        view.tenant,
        view.mark,
        0,
        view.owner,
        view.values,
        view.began,
        view.since,
        view.state,
        view.left,
        view.ended,
        view.steps,
    ]
    state.flows = books.read([view.number, Limits(1, 1, 1, 1), [d.plain(view.definition)], [row]])
    state.time = view.since + elapsed
    books.carry_out(state, Session(Fence("", view.owner, 0, 0), "", 0, 0), what)
    return books.view(state.flows.all[view.number])
