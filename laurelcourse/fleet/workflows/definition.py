"""What a workflow is: steps in order, each with its undo, and at most one point of no return.

Sagas (Garcia-Molina, Salem, "Sagas", 1987). Until the step that is marked `no_return` may have run, all can
be undone, in reverse order; from then on there is only forward. Times are whole microseconds. No I/O.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE

# Whether a step may be refused for good
MAY, NEVER, HARMLESS = "may", "never", "harmless"
STEPS, TEXT, STATEMENT, TRIES = 32, 64, 1024, 1_000
LONGEST = 86_400_000_000


class Rule(NamedTuple):
    """A route of the platform's settings, as far as it matters here."""

    repeat: str  # RETRIABLE, DEDUPED, NON_RETRIABLE
    memory: int  # for how long a unit knows a repeat, of DEDUPED
    timeout: int


class Send(NamedTuple):
    route: str
    statement: str  # a template: `{name}` stands for a value given at the beginning
    timeout: int
    repeat: str = RETRIABLE
    memory: int = 0


class Step(NamedTuple):
    name: str
    send: Send
    undo: Send | None
    effect: bool = True  # without one there is nothing to undo
    no_return: bool = False  # once it may have run there is only forward
    fails: str = MAY  # MAY be refused for good; NEVER is; HARMLESS: all is done without it
    harmless: bool = False  # its undo is, however late it comes and however often


class Definition(NamedTuple):
    name: str
    timeout: int  # the client has its answer within it
    tries: int  # of an undo, or of a step behind the point, until it is stuck
    back_off: int  # after the first try; doubled each time, `longest` at most
    longest: int
    steps: tuple[Step, ...]

    def point(self) -> int:
        """The index of the step marked `no_return`; behind the last step if none is."""
        return next((at for at, one in enumerate(self.steps) if one.no_return), len(self.steps))

    def waits(self) -> int:
        """The most that the tries of one undo wait for each other in all."""
        return sum(min(self.back_off << min(at, 40), self.longest) for at in range(self.tries - 1))


class Flaw(NamedTuple):
    """`step`: its index, -1 for the whole; `undo`: whether it is its undo's."""

    step: int
    undo: bool
    words: str


def flaws(found: Definition, routes: Mapping[str, Rule] | None = None) -> Iterator[Flaw]:
    """Everything that is wrong. Without `routes`, the rules that the definition itself bears count."""
    point = found.point()
    if not found.steps:
        yield Flaw(-1, False, "no step")
    if len(found.steps) > STEPS:
        yield Flaw(-1, False, f"{len(found.steps)} steps: {STEPS} at most")
    if not 0 < found.timeout <= LONGEST:
        yield Flaw(-1, False, "a timeout of 0 or over 1d")
    if not 0 < found.tries <= TRIES:
        yield Flaw(-1, False, f"tries must be from 1 to {TRIES}")
    if not 0 < found.back_off <= found.longest <= LONGEST:
        yield Flaw(-1, False, "back-off must be above 0 and no longer than longest-back-off")
    names = [one.name for one in found.steps]
    for at, step in enumerate(found.steps):
        if step.name in names[:at]:
            yield Flaw(at, False, f"step {step.name} stands twice: give each its own name")
        yield from _step(found, at, point, routes)
    needed = sum(
        step.send.timeout + (step.undo.timeout if step.undo and at < point else 0)
        for at, step in enumerate(found.steps)
    )
    if needed > found.timeout:
        yield Flaw(
            -1,
            False,
            f"steps and their undos take up to {_ms(needed)}, its timeout is "
            f"{_ms(found.timeout)}: raise it, or lower theirs",
        )


def _step(found: Definition, at: int, point: int, routes: Mapping[str, Rule] | None) -> Iterator[Flaw]:
    step = found.steps[at]
    if step.no_return and at > point:
        yield Flaw(
            at,
            False,
            f"a second point of no return, after step {found.steps[point].name}: there is one at most",
        )
    rule = yield from _send(at, False, step.send, routes)
    if at < point and step.effect and step.undo is None:
        yield Flaw(
            at,
            False,
            f"step {step.name} has an effect but no undo, before the point of no return: "
            'name its undo, or say effect="false" if it has none',
        )
    if at >= point and step.undo is not None:
        yield Flaw(
            at,
            True,
            f"step {step.name} has an undo that never runs: it is at or behind the point of no return",
        )
    if at > point and step.fails == MAY:
        yield Flaw(
            at,
            False,
            f"step {step.name} may fail for good behind the point of no return: say "
            'fails="never", or fails="harmless" if all is done without it',
        )
    if rule and at >= point and step.fails != HARMLESS and not _lasting(rule, found, step.send):
        yield Flaw(
            at,
            False,
            f"step {step.name} can't be repeated until it is done, on route "
            f'{step.send.route}, at or behind the point of no return: say fails="harmless" if an '
            "unknown fate does no harm, or take another route",
        )
    if step.undo is not None:
        rule = yield from _send(at, True, step.undo, routes)
        if rule and rule.repeat == NON_RETRIABLE:
            yield Flaw(
                at,
                True,
                f"the undo of step {step.name} goes by route {step.undo.route}, which may "
                "not be repeated: take one that may",
            )
        elif rule and not step.harmless and not _lasting(rule, found, step.undo):
            yield Flaw(
                at,
                True,
                f"the undo of step {step.name} may run later than the {_ms(rule.memory)} "
                f"for which repeats are known on route {step.undo.route}: say "
                'harmless="true" if that does none, or lower tries and back-off',
            )


def _lasting(rule: Rule, found: Definition, send: Send) -> bool:
    """Whether all tries lie within the time for which a unit knows a repeat."""
    spent = found.tries * send.timeout + found.waits()
    return rule.repeat == RETRIABLE or (rule.repeat == DEDUPED and spent <= rule.memory)


def _send(at: int, undo: bool, send: Send, routes: Mapping[str, Rule] | None) -> Iterator[Flaw]:
    """Gives back the route's rule, None if there is no such route."""
    rule = Rule(send.repeat, send.memory, send.timeout) if routes is None else routes.get(send.route)
    if rule is None:
        yield Flaw(at, undo, f"no route {send.route}: the platform has {', '.join(sorted(routes)) or 'none'}")
    elif send.timeout > rule.timeout:
        yield Flaw(
            at,
            undo,
            f"a timeout of {_ms(send.timeout)}, route {send.route} has "
            f"{_ms(rule.timeout)}: it can't be longer",
        )
    elif rule.memory > LONGEST:
        yield Flaw(at, undo, f"route {send.route} knows repeats for over 1d, which the books don't take")
    if send.timeout <= 0:
        yield Flaw(at, undo, "a timeout of 0")
    if not _text(send.statement, STATEMENT):
        yield Flaw(
            at,
            undo,
            f"a statement over {STATEMENT} bytes, or with control characters: the books don't take it",
        )
    return rule


def ruled(found: Definition, routes: Mapping[str, Rule]) -> Definition:
    """The definition with its routes' rules, which must be known: as it goes into the books."""

    def of(send: Send) -> Send:
        return send._replace(repeat=routes[send.route].repeat, memory=routes[send.route].memory)

    return found._replace(
        steps=tuple(
            one._replace(send=of(one.send), undo=of(one.undo) if one.undo else None) for one in found.steps
        )
    )


def well_formed(found: object) -> bool:
    """Whether what came from elsewhere is a definition by its types and sizes."""
    if not (
        type(found) is Definition
        and type(found.steps) is tuple
        and _text(found.name, TEXT)
        and _whole(found.timeout, found.tries, found.back_off, found.longest)
    ):
        return False
    return len(found.steps) <= STEPS and all(
        type(one) is Step
        and _text(one.name, TEXT)
        and one.fails in (MAY, NEVER, HARMLESS)
        and all(type(flag) is bool for flag in (one.effect, one.no_return, one.harmless))
        and _is_send(one.send)
        and (one.undo is None or _is_send(one.undo))
        for one in found.steps
    )


def _is_send(send: object) -> bool:
    return (
        type(send) is Send
        and _text(send.route, TEXT)
        and _text(send.statement, STATEMENT)
        and _whole(send.timeout, send.memory)
        and send.repeat in (RETRIABLE, DEDUPED, NON_RETRIABLE)
    )


def _ms(time: int) -> str:
    return f"{time // 1000}ms"


def _whole(*values: object) -> bool:
    return all(type(one) is int and 0 <= one <= LONGEST for one in values)


def _text(value: object, most: int) -> bool:
    if type(value) is not str or any(one < " " or one == "\x7f" for one in value):
        return False
    try:
        return 0 < len(value.encode()) <= most
    except UnicodeEncodeError:
        return False


def plain(found: Definition) -> list:
    """Nested lists of ints and strings."""
    steps = [
        [
            one.name,
            list(one.send),
            list(one.undo or ()),
            int(one.effect),
            int(one.no_return),
            one.fails,
            int(one.harmless),
        ]
        for one in found.steps
    ]
    return [*found[:-1], steps]


def read(told: list) -> Definition:
    """What `plain` made. Raises ValueError or TypeError."""
    *head, steps = told
    return Definition(
        *head,
        tuple(
            Step(
                name, Send(*send), Send(*undo) if undo else None, bool(effect), bool(point), fails, bool(mild)
            )
            for name, send, undo, effect, point, fails, mild in steps
        ),
    )
