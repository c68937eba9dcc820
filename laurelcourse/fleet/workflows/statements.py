"""Builds the statements of steps, and checks them with the parser of the users' front. No I/O.

The same parser checks a template when the settings are checked, when a workflow begins, and what is sent.
"""

from collections.abc import Iterator

from laurelcourse.fleet.errors import DefinitionRefusedError, FleetError
from laurelcourse.fleet.workflows import definition as definitions
from laurelcourse.fleet.workflows import run
from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import ProtocolError, Statement

Values = tuple[tuple[str, str], ...]

# Sample values: part of a handle as well as a byte, or half of one, of a blob.
BYTE = "00"
HALF_BYTE = "0"
NOTHING = ""

# A try's id and key, of the shape that real ones have.
SAMPLE_ID = "w1.0.do.1"
SAMPLE_KEY = "w1.0.do"

MILLISECOND_US = 1000
MILLISECONDS_PER_MINUTE = 60_000


def build_statement(send: run.SendReq, time_left: int, is_repeat: bool) -> Statement:
    """Returns a step's statement in the users' form; `time_left` is in microseconds.

    Raises ProtocolError for what no unit would accept.
    """
    repeat_mark = ",r=1" if is_repeat else ""
    comment = f"id={send.id},c={send.route},d={time_left // MILLISECOND_US},k={send.key}{repeat_mark}"
    return wire.parse_statement(f"{send.statement} /* {comment} */".encode())


def find_unfit(definition: definitions.Definition, values: Values) -> FleetError | None:
    """Returns why a statement would not be valid with these values, before any step is sent."""
    for step in definition.steps:
        for send in (step.send, step.undo):
            fault = send and _fault(send, values)
            if fault:
                return DefinitionRefusedError(definition.name, fault=f"step {step.name}: {fault}")
    return None


def find_flaws(definition: definitions.Definition) -> Iterator[definitions.Flaw]:
    """Yields the statements that `find_unfit` would refuse whatever values a client gives.

    Only part of a handle or of a blob is a value. A timeout of 0 is reported by `definition.find_flaws`.
    """
    for index, step in enumerate(definition.steps):
        for undo, send in ((False, step.send), (True, step.undo)):
            fault = send and send.timeout > 0 and _constant_fault(send)
            if fault:
                name = f"the undo of step {step.name}" if undo else f"step {step.name}"
                yield definitions.Flaw(index, undo, f"{name} can't be sent: {fault}")


def _constant_fault(send: definitions.Send) -> str:
    """Returns the fault that a statement has with each sample; empty if it is valid with one of them."""
    names = run.placeholders(send.statement)
    samples = [dict.fromkeys(names, value) for value in (BYTE, HALF_BYTE, NOTHING)]
    # The number of hexadecimal digits must be even, whichever value contributes the half byte.
    samples += [samples[0] | {name: HALF_BYTE} for name in names]
    faults = [_fault(send, tuple(values.items())) for values in samples]
    return faults[0] if all(faults) else ""


def _fault(send: definitions.Send, values: Values) -> str:
    text = run.fill(send.statement, values)
    try:
        build_statement(run.SendReq(SAMPLE_ID, SAMPLE_KEY, send.route, text, 0), send.timeout, False)
    except (ProtocolError, UnicodeEncodeError) as error:
        if getattr(error, "code", "") == wire.OUT_OF_RANGE:
            return f"its timeout must be from 1ms to {wire.MAX_WAIT_MS // MILLISECONDS_PER_MINUTE}min"
        return str(error)
    return ""
