"""Statements of steps: made here alone, and read by the parser of the users' front. No I/O.

The same parse judges a template when the settings are checked, when a workflow is begun, and what is sent.
"""

from collections.abc import Iterator

from laurelcourse.fleet.errors import DefinitionRefusedError, FleetError
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.fleet.workflows import run
from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import ProtocolError, Statement

Values = tuple[tuple[str, str], ...]

# In the place of what clients give: a part of a handle as well as a byte, or half of one, of a blob.
BYTE, HALF, NOTHING = "00", "0", ""


def statement(send: run.Send, left: int, again: bool) -> Statement:
    """In the users' form; `left` in microseconds. Raises ProtocolError for what no unit would take."""
    mark = ",r=1" if again else ""
    told = f"{send.statement} /* id={send.id},c={send.route},d={left // 1000},k={send.key}{mark} */"
    return wire.parse_statement(told.encode())


def unfit(definition: d.Definition, values: Values) -> FleetError | None:
    """Why a statement would not be one once the values are in it: found out before anything is held."""
    for step in definition.steps:
        for send in (step.send, step.undo):
            fault = send and _fault(send, values)
            if fault:
                return DefinitionRefusedError(definition.name, fault=f"step {step.name}: {fault}")
    return None


def flaws(definition: d.Definition) -> Iterator[d.Flaw]:
    """Each statement that `unfit` would refuse whatever a client gives, where it gives part of a handle or of
    a blob. A timeout of 0 is told by `definition.flaws`."""
    for at, step in enumerate(definition.steps):
        for undo, send in ((False, step.send), (True, step.undo)):
            fault = send and send.timeout > 0 and _always(send)
            if fault:
                whose = f"the undo of step {step.name}" if undo else f"step {step.name}"
                yield d.Flaw(at, undo, f"{whose} can't be sent: {fault}")


def _always(send: d.Send) -> str:
    """The fault that it has with any of the values tried; empty if it is a statement with one of them."""
    names = run.placeholders(send.statement)
    tries = [dict.fromkeys(names, value) for value in (BYTE, HALF, NOTHING)]
    # Hexadecimal digits must be even in number, whatever stands beside the one that brings half a byte.
    tries += [tries[0] | {name: HALF} for name in names]
    faults = [_fault(send, tuple(values.items())) for values in tries]
    return faults[0] if all(faults) else ""


def _fault(send: d.Send, values: Values) -> str:
    text = run.filled(send.statement, values)
    try:
        statement(run.Send("w1.0.do.1", "w1.0.do", send.route, text, 0), send.timeout, False)
    except (ProtocolError, UnicodeEncodeError) as error:
        if getattr(error, "code", "") == wire.OUT_OF_RANGE:
            return f"its timeout must be from 1ms to {wire.MAX_WAIT_MS // 60_000}min"
        return str(error)
    return ""
