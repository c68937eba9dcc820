"""The definition of a workflow: steps in order, each with its undo, and at most one point of no return.

Sagas (Garcia-Molina, Salem, "Sagas", 1987). Until the step marked `no_return` may have run, everything can be
undone, in reverse order; from then on the workflow only goes forward. Times are whole microseconds. No I/O.

Classes and fields here have the names of the protobuf messages in `calls/fleet.proto`.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE

# Whether a step may be refused for good.
MAY = "may"
NEVER = "never"
HARMLESS = "harmless"

MAX_STEPS = 32
MAX_NAME_BYTES = 64
MAX_STATEMENT_BYTES = 1024
MAX_TRIES = 1_000
MAX_DURATION_US = 86_400_000_000

MILLISECOND_US = 1000
MAX_DOUBLINGS = 40  # of a back-off: any more exceed every longest back-off

WHOLE_WORKFLOW = -1  # the step index of a flaw of no single step


class RouteRule(NamedTuple):
    """What matters here of a route of the platform's settings."""

    repeat: str  # RETRIABLE, DEDUPED or NON_RETRIABLE
    memory: int  # for how long a unit recognizes a repeat, if DEDUPED
    timeout: int
    is_fleet_wide: bool = True  # whether any unit recognizes a repeat of what another one ran, if DEDUPED


class Send(NamedTuple):
    """A req of a step or of its undo."""

    route: str
    statement: str  # a template: `{name}` stands for a value given when the workflow begins
    timeout: int
    repeat: str = RETRIABLE
    memory: int = 0  # for how long any unit recognizes a repeat, if DEDUPED; 0: only some units do


class Step(NamedTuple):
    """One step."""

    name: str
    send: Send
    undo: Send | None
    effect: bool = True  # False: there is nothing to undo
    no_return: bool = False  # once it may have run, the workflow only goes forward
    fails: str = MAY  # whether it may be refused for good; HARMLESS: the workflow goes on without it
    harmless: bool = False  # its undo does no harm, however late or often it runs


class Definition(NamedTuple):
    """A workflow."""

    name: str
    timeout: int  # within which the client gets its answer
    tries: int  # of an undo, or of a step behind the point of no return, until it is stuck
    back_off: int  # after the first try; doubled after each other one, up to `longest`
    longest: int
    steps: tuple[Step, ...]

    def no_return_index(self) -> int:
        """Returns the index of the step marked `no_return`; the number of steps if none is."""
        return next((index for index, step in enumerate(self.steps) if step.no_return), len(self.steps))

    def max_total_back_off(self) -> int:
        """Returns the longest time that all tries of one undo wait for each other."""
        return sum(
            min(self.back_off << min(tried, MAX_DOUBLINGS), self.longest) for tried in range(self.tries - 1)
        )


class Flaw(NamedTuple):
    """Something wrong with a definition."""

    step: int  # its index, or WHOLE_WORKFLOW
    undo: bool  # it is in the step's undo
    message: str


def find_flaws(definition: Definition, routes: Mapping[str, RouteRule] | None = None) -> Iterator[Flaw]:
    """Yields all flaws. Without `routes`, the rules in the definition itself are used."""
    if not definition.steps:
        yield Flaw(WHOLE_WORKFLOW, False, "no step")
    if len(definition.steps) > MAX_STEPS:
        yield Flaw(WHOLE_WORKFLOW, False, f"{len(definition.steps)} steps: {MAX_STEPS} at most")
    if not 0 < definition.timeout <= MAX_DURATION_US:
        yield Flaw(WHOLE_WORKFLOW, False, "a timeout of 0 or over 1d")
    if not 0 < definition.tries <= MAX_TRIES:
        yield Flaw(WHOLE_WORKFLOW, False, f"tries must be from 1 to {MAX_TRIES}")
    if not 0 < definition.back_off <= definition.longest <= MAX_DURATION_US:
        yield Flaw(WHOLE_WORKFLOW, False, "back-off must be above 0 and no longer than longest-back-off")
    names = [step.name for step in definition.steps]
    for index, step in enumerate(definition.steps):
        if step.name in names[:index]:
            yield Flaw(index, False, f"step {step.name} stands twice: give each its own name")
        yield from _find_step_flaws(definition, index, routes)
    yield from _find_timeout_flaw(definition)


def _find_timeout_flaw(definition: Definition) -> Iterator[Flaw]:
    point = definition.no_return_index()
    needed = sum(
        step.send.timeout + (step.undo.timeout if step.undo and index < point else 0)
        for index, step in enumerate(definition.steps)
    )
    if needed > definition.timeout:
        yield Flaw(
            WHOLE_WORKFLOW,
            False,
            f"steps and their undos take up to {_milliseconds(needed)}, its timeout is "
            f"{_milliseconds(definition.timeout)}: raise it, or lower theirs",
        )


def _find_step_flaws(
    definition: Definition, index: int, routes: Mapping[str, RouteRule] | None
) -> Iterator[Flaw]:
    point = definition.no_return_index()
    step = definition.steps[index]
    if step.no_return and index > point:
        yield Flaw(
            index,
            False,
            f"a second point of no return, after step {definition.steps[point].name}: there is one at most",
        )
    rule = yield from _find_send_flaws(index, False, step.send, routes)
    if index < point and step.effect and step.undo is None:
        yield Flaw(
            index,
            False,
            f"step {step.name} has an effect but no undo, before the point of no return: "
            'name its undo, or say effect="false" if it has none',
        )
    if index >= point and step.undo is not None:
        yield Flaw(
            index,
            True,
            f"step {step.name} has an undo that never runs: it is at or behind the point of no return",
        )
    if index > point and step.fails == MAY:
        yield Flaw(
            index,
            False,
            f"step {step.name} may fail for good behind the point of no return: say "
            'fails="never", or fails="harmless" if all is done without it',
        )
    if rule and index >= point and step.fails != HARMLESS and not _is_repeatable(rule, definition, step.send):
        yield Flaw(
            index,
            False,
            f"step {step.name} can't be repeated until it is done, on route "
            f'{step.send.route}, at or behind the point of no return: say fails="harmless" if an '
            "unknown fate does no harm, or take another route",
        )
    if step.undo is not None:
        yield from _find_undo_flaws(definition, index, step, step.undo, routes)


def _find_undo_flaws(
    definition: Definition, index: int, step: Step, undo: Send, routes: Mapping[str, RouteRule] | None
) -> Iterator[Flaw]:
    rule = yield from _find_send_flaws(index, True, undo, routes)
    if rule and rule.repeat == NON_RETRIABLE:
        yield Flaw(
            index,
            True,
            f"the undo of step {step.name} goes by route {undo.route}, which may "
            "not be repeated: take one that may",
        )
    elif rule and not step.harmless and not _is_repeatable(rule, definition, undo):
        yield Flaw(
            index,
            True,
            f"the undo of step {step.name} may run later than the {_milliseconds(rule.memory)} "
            f"for which repeats are known on route {undo.route}: say "
            'harmless="true" if that does none, or lower tries and back-off',
        )


def _is_repeatable(rule: RouteRule, definition: Definition, send: Send) -> bool:
    """Returns whether all tries of one owner are within the time for which a unit recognizes a repeat.

    Takeovers and waits for the keepers are not foreseen here: before each try the state machine looks at the
    time that has passed (`books.workflows.may_send`). In a stored definition, a memory of 0 says that only
    some units recognize a repeat: there is none beyond the req itself, whose tries stay among these units.
    """
    if rule.repeat == DEDUPED and not rule.is_fleet_wide and not rule.memory:
        return True
    longest = definition.tries * send.timeout + definition.max_total_back_off()
    return rule.repeat == RETRIABLE or (rule.repeat == DEDUPED and longest <= rule.memory)


def _find_send_flaws(
    index: int, undo: bool, send: Send, routes: Mapping[str, RouteRule] | None
) -> Iterator[Flaw]:
    """Yields the flaws of one req; the generator returns the route's rule, None if there is no such route."""
    rule = _stored_rule(send) if routes is None else routes.get(send.route)
    if rule is None:
        known = ", ".join(sorted(routes)) or "none"
        yield Flaw(index, undo, f"no route {send.route}: the platform has {known}")
    elif send.timeout > rule.timeout:
        yield Flaw(
            index,
            undo,
            f"a timeout of {_milliseconds(send.timeout)}, route {send.route} has "
            f"{_milliseconds(rule.timeout)}: it can't be longer",
        )
    elif rule.memory > MAX_DURATION_US:
        yield Flaw(index, undo, f"route {send.route} knows repeats for over 1d, which the books don't take")
    if send.timeout <= 0:
        yield Flaw(index, undo, "a timeout of 0")
    if not _is_text(send.statement, MAX_STATEMENT_BYTES):
        yield Flaw(
            index,
            undo,
            f"a statement over {MAX_STATEMENT_BYTES} bytes, or with control characters: "
            "the books don't take it",
        )
    return rule


def _stored_rule(send: Send) -> RouteRule:
    return RouteRule(send.repeat, send.memory, send.timeout, is_fleet_wide=send.memory > 0)


def with_route_rules(definition: Definition, routes: Mapping[str, RouteRule]) -> Definition:
    """Returns the definition with the rules of its routes, all of which must be known.

    Which units a req may have reached is not recorded. So where only some units recognize a repeat, none
    surely does, and the memory is 0.
    """

    def with_rule(send: Send) -> Send:
        rule = routes[send.route]
        return send._replace(repeat=rule.repeat, memory=rule.memory if rule.is_fleet_wide else 0)

    return definition._replace(
        steps=tuple(
            step._replace(send=with_rule(step.send), undo=with_rule(step.undo) if step.undo else None)
            for step in definition.steps
        )
    )


def is_well_formed(value: object) -> bool:
    """Returns whether a value from elsewhere is a definition by its types and sizes."""
    if not (
        type(value) is Definition
        and type(value.steps) is tuple
        and _is_text(value.name, MAX_NAME_BYTES)
        and _are_numbers(value.timeout, value.tries, value.back_off, value.longest)
    ):
        return False
    return len(value.steps) <= MAX_STEPS and all(
        type(step) is Step
        and _is_text(step.name, MAX_NAME_BYTES)
        and step.fails in (MAY, NEVER, HARMLESS)
        and all(type(flag) is bool for flag in (step.effect, step.no_return, step.harmless))
        and _is_send(step.send)
        and (step.undo is None or _is_send(step.undo))
        for step in value.steps
    )


def _is_send(value: object) -> bool:
    return (
        type(value) is Send
        and _is_text(value.route, MAX_NAME_BYTES)
        and _is_text(value.statement, MAX_STATEMENT_BYTES)
        and _are_numbers(value.timeout, value.memory)
        and value.repeat in (RETRIABLE, DEDUPED, NON_RETRIABLE)
    )


def _milliseconds(time: int) -> str:
    return f"{time // MILLISECOND_US}ms"


def _are_numbers(*values: object) -> bool:
    return all(type(value) is int and 0 <= value <= MAX_DURATION_US for value in values)


def _is_text(value: object, max_bytes: int) -> bool:
    if type(value) is not str or any(character < " " or character == "\x7f" for character in value):
        return False
    try:
        return 0 < len(value.encode()) <= max_bytes
    except UnicodeEncodeError:
        return False


def to_plain(definition: Definition) -> list:
    """Returns nested lists of ints and strings."""
    steps = [
        [
            step.name,
            list(step.send),
            list(step.undo or ()),
            int(step.effect),
            int(step.no_return),
            step.fails,
            int(step.harmless),
        ]
        for step in definition.steps
    ]
    return [*definition[:-1], steps]


def from_plain(plain: list) -> Definition:
    """Returns what `to_plain` was given. Raises ValueError or TypeError."""
    *head, steps = plain
    return Definition(*head, tuple(_step_from_plain(*step) for step in steps))


def _step_from_plain(
    name: str, send: list, undo: list, effect: int, no_return: int, fails: str, harmless: int
) -> Step:
    return Step(
        name,
        Send(*send),
        Send(*undo) if undo else None,
        bool(effect),
        bool(no_return),
        fails,
        bool(harmless),
    )
