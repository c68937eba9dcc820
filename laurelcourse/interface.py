"""What a relay calls, and the results it gets back.

Every call takes plain values and the time in whole microseconds, and returns a list of results:
plain tuples with the verb first. The relay carries them out in order, at that same time.

Where a connection has to come up first, a try's bytes follow its SEND late: `may_write` is asked then, and
answers yes or no. After a no the try is over: `outcome` hears UNSENT, and decides anew.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

Result = tuple

SEND = "send"  # req, unit, limit                  start an upstream try, the req's next number
SHED = "shed"  # req, come_back                    final: trying again does no harm; 0 names no time
ERROR = "error"  # req                               final: no claim about the effect
CANCEL = "cancel"  # req, number                       stop waiting for one upstream try
WAKE = "wake"  # delay, token                      call `timer` with the token after the delay
PROBE = "probe"  # unit                              ask a unit how it is
TELL = "tell"  # relay, payload                    at most 256 bytes to another relay
WATCH = "watch"  #                                   ask the directory for changes from now on
VOTE = "vote"  # build, stage, verdict
NOTE = "note"  # text                              a line for the people on call

# how an upstream try or a probe ended
OK, FAILED, BUSY, TIMEOUT = "ok", "failed", "busy", "timeout"
AT_FAULT = "at_fault"  # the unit says that the req itself can't be served
UNREACHED, RESET, CANCELLED, UNSENT = "unreached", "reset", "cancelled", "unsent"
NEVER_RAN = frozenset((BUSY, UNREACHED, UNSENT))

# a directory's news
CHANGES, WHOLE, CACHED, BROKEN = "changes", "whole", "cached", "broken"
LONG_AGO = -1 << 50  # the start of a unit that started at a time nobody tells
READY, DRAINING, GONE = "ready", "draining", "gone"

# where a build stands, and a vote's verdicts
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = 0, 1, 2, 3
NO_VOTE, VOTE_ON, VOTE_HOLD, VOTE_BACK = 0, 1, 2, 3
COUNTED, VOID, REFUSED, BROKE, UNANSWERED = "counted", "void", "refused", "broke", "unanswered"


# budgets of the fleet that relays know by name: tries beyond a req's first; by unit: tries while it is cold,
# connections held, and connections begun
RESENDS, COLD_WORK, CONNECTIONS, HANDSHAKES = "resends", "cold-work", "connections", "handshakes"


class Shares(Protocol):
    """What this relay may use of the fleet's budgets, looked up at each use. True or False; None where the
    module's own bound is all there is: no budget has this name, or it has no floor and no share now."""

    def could(self, now: int, name: str, key: str = "") -> bool | None: ...

    def take(self, now: int, name: str, key: str = "") -> bool | None:
        """As `could`, and if True it counts as used."""

    def back(self, now: int, name: str, key: str = "") -> None:
        """Of what is held: one is held no longer."""

    def waits(self, name: str) -> bool:
        """Whether, when it is used up, a moment is waited for room: as the operators say."""


class NoShares:
    """A relay without a fleet."""

    def could(self, now: int, name: str, key: str = "") -> None:
        return None

    def take(self, now: int, name: str, key: str = "") -> None:
        return None

    def back(self, now: int, name: str, key: str = "") -> None:
        pass

    def waits(self, name: str) -> bool:
        return False


class Listed(NamedTuple):
    """One unit as the directory lists it."""

    unit: int
    zone: str
    cell: int
    build: int
    health: str
    size: float
    since: int


class Decisions:
    """The calls. `laurelcourse.rules.Balancer(settings, seed, now)` answers them; the rest go unheeded.

    Results gather in `out` while a call is answered. One timer counts at a time, the next due."""

    def __init__(self) -> None:
        self.out: list[Result] = []
        self.wake_at = 0
        self.shares: Shares = NoShares()

    def results(self) -> list[Result]:
        out, self.out = self.out, []
        return out

    def wake(self, now: int, delay: int) -> None:
        if self.wake_at <= now or now + delay < self.wake_at:
            self.wake_at = now + delay
            self.out.append((WAKE, delay, "beat"))

    def note(self, what: str, counted: int, posteriors: dict[str, float]) -> None:
        found = ", ".join(f"{kind} {part:.2f}" for kind, part in posteriors.items())
        self.out.append((NOTE, f"{what}: {counted} counted, {found}"))

    def start(self, now: int) -> list[Result]:
        return []

    def heed(self, now: int, shares: Shares) -> list[Result]:
        """From now on the fleet's budgets bind as well."""
        self.shares = shares
        return []

    def new_req(
        self, now: int, req: str, route: str, tenant: str, key: int | None, left: int, repeated: bool
    ) -> list[Result]:
        raise NotImplementedError

    def may_write(self, now: int, req: str, number: int) -> bool:
        """Whether a try that was decided on may still be written; changes what is counted, nothing else."""
        return True

    def streaming(self, now: int, req: str, number: int) -> list[Result]:
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
        raise NotImplementedError

    def withdrawn(self, now: int, req: str) -> list[Result]:
        raise NotImplementedError

    def directory(self, now: int, how: str, entries: Iterable[Listed]) -> list[Result]:
        raise NotImplementedError

    def timer(self, now: int, token: str) -> list[Result]:
        return []

    def probed(self, now: int, unit: int, status: str, lag: int, load: dict[str, float]) -> list[Result]:
        return []

    def peer(self, now: int, relay: int, payload: bytes) -> list[Result]:
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
        return []

    def tally(
        self, now: int, since: int, lag: int, build: int, route: str, failed: int, counted: int
    ) -> list[Result]:
        return []

    def complaint(self, now: int, unit: int, since: int, route: str) -> list[Result]:
        return []
