"""Bounds of what clients and operators of workflows may send, checked where it enters a relay. No I/O.

The state machine takes nothing else (`state.py`), and the codec carries all of it. A call out of bounds is
refused by itself, before a command is made of it that could hold up others.
"""

from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books.state import MAX_NUMBER, MAX_TEXT_BYTES, MAX_VALUES, is_number, is_text
from laurelcourse.fleet.errors import OutOfBoundsError
from laurelcourse.fleet.workflows.definition import MAX_STEPS

MAX_QUOTED_CHARACTERS = 40  # of a value's name, in an error


def check_command(command: forms.Begin | forms.Leave | forms.Settle) -> None:
    """Raises OutOfBoundsError for a command of a client or operator that the books would not take."""
    match command:
        case forms.Begin():
            check_text("tenant", command.tenant)
            check_text("mark", command.mark)
            _check_values(command.values)
        case forms.Leave():
            check_workflow(command.workflow)
        case forms.Settle():
            check_workflow(command.workflow)
            _check_number("step", command.step, 0, MAX_STEPS - 1)
            if command.how not in (forms.BY_HAND, forms.AGAIN):
                raise OutOfBoundsError("how", fault=f"neither {forms.BY_HAND} nor {forms.AGAIN}")


def check_workflow(number: int) -> None:
    """Raises OutOfBoundsError for what can't be a workflow's number."""
    _check_number("number", number, 1, MAX_NUMBER)


def check_text(field: str, value: str, min_bytes: int = 1) -> None:
    """Raises OutOfBoundsError for a text that is too short, too long, or holds control characters."""
    if is_text(value, min_bytes):
        return
    size = len(value.encode("utf-8", "replace"))
    if not min_bytes <= size <= MAX_TEXT_BYTES:
        raise OutOfBoundsError(field, fault=f"{size} bytes, from {min_bytes} to {MAX_TEXT_BYTES} are taken")
    raise OutOfBoundsError(field, fault="characters that no name may hold, such as control characters")


def _check_values(values: tuple[tuple[str, str], ...]) -> None:
    if len(values) > MAX_VALUES:
        raise OutOfBoundsError("values", fault=f"{len(values)} of them, {MAX_VALUES} at most")
    for name, value in values:
        check_text("name of a value", name)
        check_text(f"value {name[:MAX_QUOTED_CHARACTERS]}", value, 0)


def _check_number(field: str, value: int, minimum: int, maximum: int) -> None:
    if not is_number(value, minimum, maximum):
        raise OutOfBoundsError(field, fault=f"{value}, from {minimum} to {maximum} are taken")
