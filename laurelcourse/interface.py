"""The calls that a relay makes on the decision module, and the results that it gets back.

Every call takes plain values and the time in whole microseconds, and returns a list of results: plain tuples
with the verb first. The relay carries them out in order, at that same time.

Where a connection has to be set up first, a try's bytes follow its SEND late. `may_write` is asked just
before they are written. If it refuses, the try is over: `outcome` is called with UNSENT, and decides anew.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

Result = tuple

# Verbs of results, with their arguments.
SEND = "send"  # req, unit, time limit in us: start an upstream try, the req's next number
SHED = "shed"  # req, retry-after in us (0: none): final answer; a retry by the client does no harm
ERROR = "error"  # req: final answer without a claim about the effect
CANCEL = "cancel"  # req, try number: stop waiting for one upstream try
WAKE = "wake"  # delay in us, token: call `timer` with the token after the delay
PROBE = "probe"  # unit: send a health probe
TELL = "tell"  # relay or "all", payload: a datagram of at most 256 bytes to other relays
WATCH = "watch"  # no arguments: ask the directory for changes from now on
VOTE = "vote"  # build, stage, verdict
NOTE = "note"  # text: a log line for the operators

# How an upstream try or a probe ended.
OK = "ok"
FAILED = "failed"
BUSY = "busy"
TIMEOUT = "timeout"
CLIENT_FAULT = "at_fault"  # the unit says that the req itself cannot be served
UNREACHABLE = "unreached"
RESET = "reset"
CANCELLED = "cancelled"
UNSENT = "unsent"
NEVER_RAN = frozenset((BUSY, UNREACHABLE, UNSENT))

# What a call of `directory` brings.
CHANGES = "changes"
FULL_LIST = "whole"
CACHED = "cached"
WATCH_BROKEN = "broken"

# Health of a unit.
READY = "ready"
DRAINING = "draining"
GONE = "gone"

START_UNKNOWN_US = -1 << 50  # start time of a unit whose start is not reported: long ago

# Standing of a build in its release.
ON_TRIAL = 0
ROLLING_BACK = 1
RELEASED = 2
WITHDRAWN = 3

# Verdicts of a vote.
NO_VOTE = 0
VOTE_ADVANCE = 1
VOTE_HOLD = 2
VOTE_ROLL_BACK = 3

# How the deployer answered a vote.
COUNTED = "counted"
VOID = "void"
REFUSED = "refused"
CALL_FAILED = "broke"
UNANSWERED = "unanswered"

# Names of the fleet's budgets that relays use. The last three are divided by unit.
RESENDS = "resends"  # tries beyond a req's first
COLD_WORK = "cold-work"  # tries at a unit that is warming up
CONNECTIONS = "connections"  # open connections to a unit
HANDSHAKES = "handshakes"  # new connections to a unit


class Budgets(Protocol):
    """This relay's allocations of the fleet's budgets, looked up at each use.

    `allows` and `consume` return None where only the relay's own bounds count: there is no budget of this
    name, or it has no floor and the relay holds no allocation now.
    """

    def allows(self, now: int, name: str, key: str = "") -> bool | None:
        """Returns whether one more may be used."""

    def consume(self, now: int, name: str, key: str = "") -> bool | None:
        """Returns the same as `allows`; if it is True, one counts as used."""

    def release(self, now: int, name: str, key: str = "") -> None:
        """Returns one that was held, for budgets of what is held over time."""

    def waits_when_exhausted(self, name: str) -> bool:
        """Returns whether the operators want callers to wait a moment for room when it is used up."""


class NoBudgets:
    """Stands for the budgets at a relay that belongs to no fleet."""

    def allows(self, now: int, name: str, key: str = "") -> None:
        """Returns None: only the relay's own bounds count."""
        return None

    def consume(self, now: int, name: str, key: str = "") -> None:
        """Returns None: only the relay's own bounds count."""
        return None

    def release(self, now: int, name: str, key: str = "") -> None:
        """Does nothing."""
        pass

    def waits_when_exhausted(self, name: str) -> bool:
        """Returns False."""
        return False


class Listed(NamedTuple):
    """One unit as the directory lists it."""

    unit: int
    zone: str
    cell: int
    build: int
    health: str
    size: float
    started_at: int


class Decisions:
    """The calls of the decision module, with default answers that decide nothing.

    `laurelcourse.rules.Balancer` implements them. Results are collected while a call is answered. Only one
    timer counts at a time, the one that is due next.
    """

    def __init__(self) -> None:
        self.pending_results: list[Result] = []
        self.next_wake_at = 0
        self.budgets: Budgets = NoBudgets()

    def take_results(self) -> list[Result]:
        """Returns the results collected so far and forgets them."""
        results, self.pending_results = self.pending_results, []
        return results

    def schedule_timer(self, now: int, delay: int) -> None:
        """Requests a call of `timer` after the delay, unless an earlier one is already due."""
        if self.next_wake_at <= now or now + delay < self.next_wake_at:
            self.next_wake_at = now + delay
            self.pending_results.append((WAKE, delay, "beat"))

    def add_note(self, text: str, outcome_count: int, posteriors: dict[str, float]) -> None:
        """Adds a log line with the posteriors by kind and the number of outcomes that they rest on."""
        by_kind = ", ".join(f"{kind} {probability:.2f}" for kind, probability in posteriors.items())
        self.pending_results.append((NOTE, f"{text}: {outcome_count} counted, {by_kind}"))

    def start(self, now: int) -> list[Result]:
        """Called once, before all other calls."""
        return []

    def heed(self, now: int, budgets: Budgets) -> list[Result]:
        """From now on the fleet's budgets bind as well."""
        self.budgets = budgets
        return []

    def new_req(
        self, now: int, req: str, route: str, tenant: str, key: int | None, left: int, repeated: bool
    ) -> list[Result]:
        """A client's req has been read; its answer is due in `left` microseconds."""
        raise NotImplementedError

    def may_write(self, now: int, req: str, number: int) -> bool:
        """Returns whether a try that was decided on may still be written. Only its accounting may change."""
        return True

    def streaming(self, now: int, req: str, number: int) -> list[Result]:
        """A part of a try's answer has arrived."""
        return []

    def outcome(
        self,
        now: int,
        req: str,
        number: int,
        unit: int,
        status: str,
        lag: int,
        last: bool,
        load: dict[str, float],
    ) -> list[Result]:
        """A try has ended, `lag` microseconds after its SEND; `last`: the client has its final answer."""
        raise NotImplementedError

    def withdrawn(self, now: int, req: str) -> list[Result]:
        """The client has left."""
        raise NotImplementedError

    def directory(self, now: int, how: str, entries: Iterable[Listed]) -> list[Result]:
        """The directory's list or changes have arrived, or its watch has broken."""
        raise NotImplementedError

    def timer(self, now: int, token: str) -> list[Result]:
        """A requested timer has fired."""
        return []

    def probed(self, now: int, unit: int, status: str, lag: int, load: dict[str, float]) -> list[Result]:
        """A health probe has ended."""
        return []

    def peer(self, now: int, relay: int, payload: bytes) -> list[Result]:
        """A datagram of another relay has arrived."""
        return []

    def stage(
        self,
        now: int,
        build: int,
        stage: int,
        standing: int,
        answers_vote: bool,
        status: str,
        cap: float,
        since: int,
    ) -> list[Result]:
        """The deployer reports the newest build's stage, which began `since` microseconds ago."""
        return []

    def tally(
        self, now: int, since: int, lag: int, build: int, route: str, failed: int, counted: int
    ) -> list[Result]:
        """The platform reports sampled outcomes of a build."""
        return []

    def complaint(self, now: int, unit: int, since: int, route: str) -> list[Result]:
        """A client complains of a wrong answer that it got `since` microseconds ago."""
        return []
