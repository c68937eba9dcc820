"""A workflow as the keepers tell it to relays: nested tuples of whole numbers and texts, and back. No I/O."""

from laurelcourse.fleet.books.workflows import StepView, View
from laurelcourse.fleet.errors import UnreadableError
from laurelcourse.fleet.workflows import definition as d

AT_ONCE = 8      # workflows told in one answer: each may bear a whole definition
NUMBERS = 512    # of one kind told in one answer


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
