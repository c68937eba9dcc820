"""The owner's side of one workflow: what to do next, as values. No I/O; times are whole microseconds by the
owner's own clock, chance is given.

A turn goes: intent into the books; once it is there, the req; once its fate is known, the result into the
books. The lease is looked at in each turn, so also between an intent and its req. A relay that comes by a
workflow in the middle knows nothing but the books: a try that they hold as intended and that this run did not
send is of unknown fate.
"""

from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books import workflows as books
from laurelcourse.fleet.books.workflows import View
from laurelcourse.fleet.errors import ERRORS_BY_CODE, FleetError, StepStuckError, UndoStuckError
from laurelcourse.prng import Prng

FAR = 1 << 62


Order = f.Intend | f.Result | f.Leave


class Write(NamedTuple):
    """Into the books; what came of it is given to `wrote`, a lost one after it was found by its mark."""

    what: Order


class Send(NamedTuple):
    """A req, to be given up at `until`; what came of it is given to `came`, with one of COMPLETED, NEVER_RAN,
    UNKNOWN, FAILED. The sender looks at the lease once more when it writes it to the unit."""

    id: str
    key: str  # by which units know a repeat
    route: str
    statement: str
    until: int


class Tell(NamedTuple):
    """The client's one answer."""

    workflow: int
    answer: str  # DONE, UNDONE, ERRORED
    state: str
    fates: tuple[tuple[str, str], ...]  # of each step: its name and state


ERRORED = "errored"
Effect = Write | Send

# What a run is at; `_turn` changes it
READY, WRITING, SENDING, WAITING, OVER = "ready", "writing", "sending", "waiting", "over"
TURNS = {
    READY: (WRITING, WAITING, OVER),
    WRITING: (READY, SENDING, WAITING, OVER),
    SENDING: (READY, OVER),
    WAITING: (READY, OVER),
    OVER: (),
}


class Run:
    __slots__ = ("_chance", "_known", "_left", "_sent", "_since", "_until", "_what", "number", "state")

    def __init__(self, number: int, rng: Prng, left_at: int = FAR) -> None:
        """`left_at`: by the own clock, when the client must have its answer, if before the definition's."""
        self.number, self._chance, self._left = number, rng, left_at
        self.state = READY
        self._what: Order | None = None
        self._sent: tuple[f.Intend, int] | None = None  # the try that this run sent, and until when
        self._known: f.Result | None = None  # its fate, not in the books yet
        self._until = 0
        self._since = -1

    def _turn(self, to: str, until: int = FAR) -> None:
        if to not in TURNS[self.state]:
            raise ValueError(f"run {self.number}: {self.state} to {to}")
        self.state, self._until = to, until

    def due(self) -> int:
        """When `step` is wanted next, unless `wrote` or `came` is called before."""
        return 0 if self.state == READY else self._until

    def client_left(self) -> None:
        self._left = -1

    def step(
        self, now: int, view: View | None, me: int, usable: bool, may_undo: Callable[[], bool]
    ) -> tuple[Effect, ...]:
        """`view`: the books' latest; `me`: my session; `usable`: whether its lease is, at this moment;
        `may_undo` takes one try out of the budget of undos."""
        if self.state == OVER:
            return ()
        if view is None or view.owner != me or view.state in books.ENDED:
            self._turn(OVER)
            return ()
        if not usable:
            return ()
        if self._since < 0:
            self._since = now
            self._left = min(self._left, now + view.definition.timeout - (view.since - view.began))
        if self.state == SENDING and now >= self._until:
            self.came(now, self._sent[0], f.UNKNOWN)
        if self.state == WAITING and now >= self._until:
            self._turn(READY)
        if self.state != READY:
            return ()
        what = self._next(now, view, may_undo)
        if what is None:
            return ()
        self._what = what
        self._turn(WRITING)
        return (Write(what),)

    def _next(self, now: int, view: View, may_undo: Callable[[], bool]) -> Order | None:
        if self._known is not None:
            return self._known
        for at, one in enumerate(view.steps):
            if one.state in (books.INTENDED, books.UNDO_INTENDED):
                return self._of_unknown_fate(now, view, at, one.state == books.UNDO_INTENDED)
        if view.state == books.FORWARD:
            return self._forward(now, view)
        if view.state == books.UNDOING:
            at = books.to_undo(view)
            tried = view.steps[at].undo_tries
            if not may_undo():
                self._wait(now, view, tried)
                return None
            return f.Intend(self.number, at, True, tried + 1)
        self._turn(WAITING, now + view.definition.longest)  # stuck: an operator's word is waited for
        return None

    def _of_unknown_fate(self, now: int, view: View, at: int, undo: bool) -> f.Result | None:
        step, one = view.definition.steps[at], view.steps[at]
        ripe = self._since + (step.undo if undo else step.send).timeout
        if one.by != view.owner and now < ripe:
            self._turn(WAITING, ripe)
            return None
        return f.Result(self.number, at, undo, one.undo_tries if undo else one.tries, f.UNKNOWN)

    def _forward(self, now: int, view: View) -> Order:
        at = books.current(view)
        one = view.steps[at]
        if not books.passed(view) and (self._late(now, view, at) or one.tries >= one.allowed):
            why = f.LEFT if self._left < 0 else f.GAVE_UP if one.tries >= one.allowed else f.LATE
            return f.Leave(self.number, why)
        elapsed = view.since + now - self._since
        if one.maybe and not books.repeatable(view, at, elapsed):
            return f.Result(self.number, at, False, one.tries, f.UNKNOWN)
        return f.Intend(self.number, at, False, one.tries + 1)

    def _late(self, now: int, view: View, at: int) -> bool:
        """Whether this step and all undos, each with its whole timeout, would end after the client's time."""
        undos = sum(step.undo.timeout for step in view.definition.steps[: at + 1] if step.undo)
        return now + view.definition.steps[at].send.timeout + undos > self._left

    def _wait(self, now: int, view: View, tried: int) -> None:
        """Twice as long each time, and between half and all of it by chance, so that runs don't keep step."""
        longest = min(view.definition.back_off << min(tried, 40), view.definition.longest)
        self._turn(WAITING, now + longest - self._chance.below(longest // 2 + 1))

    def wrote(self, now: int, done: f.Done, view: View | None, me: int, usable: bool) -> tuple[Effect, ...]:
        """What the books said to the last Write. `view` and `usable` as of this moment."""
        if self.state != WRITING:
            return ()
        what, self._what = self._what, None
        if type(what) is f.Result and not (
            done.code in ERRORS_BY_CODE and ERRORS_BY_CODE[done.code].is_temporary
        ):
            self._known = None
        if done.code:
            # Fenced off, or the books stand elsewhere than was thought: look again, not at once.
            if view is None:
                self._turn(OVER)
            else:
                self._wait(now, view, 0)
            return ()
        if type(what) is f.Intend and view is not None and usable and view.owner == me:
            step = view.definition.steps[what.step]
            send = step.undo if what.undo else step.send
            self._sent = what, now + send.timeout
            self._turn(SENDING, now + send.timeout)
            return (Send(*done.value, send.route, filled(send.statement, view.values), now + send.timeout),)
        if type(what) is f.Intend:
            # Nothing was sent, but an owner without a lease may not say so: it is unknown to whoever comes.
            self._turn(READY)
        elif type(what) is f.Result and what.outcome != f.COMPLETED and view is not None:
            self._wait(now, view, what.tried - 1)
        else:
            self._turn(READY)
        return ()

    def came(self, now: int, what: f.Intend, outcome: str) -> None:
        """The fate of a req. One that comes after it was called unknown changes nothing."""
        if self.state != SENDING or self._sent is None or self._sent[0] != what:
            return
        self._sent = None
        self._known = f.Result(*what, outcome)
        self._turn(READY)

    def sending(self) -> f.Intend | None:
        return self._sent[0] if self._sent else None


def filled(statement: str, values: tuple[tuple[str, str], ...]) -> str:
    """The template with its values; in one pass, so that no value is taken for a template."""
    known = dict(values)
    parts = statement.split("{")
    out = [parts[0]]
    for part in parts[1:]:
        name, close, rest = part.partition("}")
        out.append(known[name] + rest if close and name in known else "{" + part)
    return "".join(out)


def placeholders(statement: str) -> list[str]:
    """The names that `filled` would look for, each once."""
    found = (part.partition("}") for part in statement.split("{")[1:])
    return list(dict.fromkeys(name for name, close, _ in found if name and close))


def stuck(view: View) -> tuple[int, FleetError]:
    """Of a workflow that is stuck: the place of the step that a person must settle, and what to do."""
    passed = books.passed(view)
    at = books.current(view) if passed else books.to_undo(view)
    kind, tries = (
        (StepStuckError, view.steps[at].tries) if passed else (UndoStuckError, view.steps[at].undo_tries)
    )
    return at, kind(f"workflow {view.number}", step=view.definition.steps[at].name, tries=tries)


class Waiting:
    """A client that waits, at whichever relay: it is told once, in time."""

    __slots__ = ("_told", "_until", "number")

    def __init__(self, number: int, until: int) -> None:
        self.number, self._until, self._told = number, until, False

    def due(self) -> int:
        return FAR if self._told else self._until

    def look(self, now: int, view: View | None) -> Tell | None:
        """The answer, once: done and undone as soon as the books say so, errored when the time is up."""
        state = view.state if view else "unknown"
        if self._told or (state not in books.ENDED and now < self._until):
            return None
        self._told = True
        steps = zip(view.definition.steps, view.steps, strict=True) if view else ()
        return Tell(
            self.number,
            state if state in books.ENDED else ERRORED,
            state,
            tuple((step.name, one.state) for step, one in steps),
        )
