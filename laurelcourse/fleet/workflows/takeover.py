"""Decides which orphaned workflows a relay asks for: spread evenly, at a bounded rate. No I/O.

Each orphan has its own order of the live sessions (rendezvous hashing: Thaler, Ravishankar 1998), the same at
every relay. The first one asks at once, each other one some time after the one before it, in case that is
overloaded or paused. The state machine decides who gets it: only one request names its current owner.
"""

from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Adopt
from laurelcourse.prng import hash_pair

HASH_SHIFT_FIRST = 15
HASH_SHIFT_SECOND = 13


class TakeoverLimits(NamedTuple):
    """How fast a relay takes workflows over. Times are microseconds."""

    max_requests: int  # per `interval`
    interval: int
    max_owned: int  # workflows in flight that a relay may own and still ask for others
    delay: int  # after which the next relay in an orphan's order asks too
    max_ranked: int = 512  # orphans that are ranked per call: each takes a look at all live sessions


def weight(workflow: int, session: int) -> int:
    """Returns the weight of a session for a workflow.

    `hash_pair` is linear, which would put neighbouring numbers in one order: its bits are folded between
    rounds.
    """
    first = hash_pair(workflow, session)
    second = hash_pair(first ^ first >> HASH_SHIFT_FIRST, session)
    return hash_pair(second ^ second >> HASH_SHIFT_SECOND, workflow)


def rank(workflow: int, live_sessions: Iterable[int], own_session: int) -> int:
    """Returns how many live sessions come before this relay's own."""
    own = weight(workflow, own_session), own_session
    return sum(
        (weight(workflow, session), session) > own for session in live_sessions if session != own_session
    )


class Takeover:
    """The takeovers of one relay."""

    __slots__ = ("_first_seen", "_interval_began", "_limits", "_live_sessions", "_ranks", "_requested")

    def __init__(self, limits: TakeoverLimits) -> None:
        self._limits = limits
        self._first_seen: dict[tuple[int, int], int] = {}  # by workflow and former owner
        self._interval_began = 0
        self._requested = 0  # in this interval
        self._live_sessions: tuple[int, ...] = ()  # the own one first
        self._ranks: dict[int, int] = {}  # by workflow, of the own session among these

    def due(self) -> int:
        """Returns when the next interval begins."""
        return self._interval_began + self._limits.interval

    def requests(
        self,
        now: int,
        orphans: tuple[tuple[int, int], ...],
        live_sessions: tuple[int, ...],
        own_session: int,
        owned: int,
    ) -> tuple[Adopt, ...]:
        """Returns the requests to send now; to be called only with a valid lease.

        `orphans`: number and former owner of each; `owned`: how many workflows this relay owns.
        """
        if now >= self._interval_began + self._limits.interval:
            self._interval_began = now
            self._requested = 0
        self._first_seen = {orphan: self._first_seen.get(orphan, now) for orphan in orphans}
        self._update_ranks(orphans, live_sessions, own_session)
        room = min(self._limits.max_requests - self._requested, self._limits.max_owned - owned)
        requests = []
        for workflow, former in orphans:
            if len(requests) >= room or workflow not in self._ranks:
                break
            delays_passed = (now - self._first_seen[workflow, former]) // self._limits.delay
            if self._ranks[workflow] <= delays_passed:
                requests.append(Adopt(workflow, former))
        self._requested += len(requests)
        return tuple(requests)

    def _update_ranks(
        self, orphans: tuple[tuple[int, int], ...], live_sessions: tuple[int, ...], own_session: int
    ) -> None:
        if self._live_sessions != (own_session, *live_sessions):
            self._live_sessions = (own_session, *live_sessions)
            self._ranks = {}
        known = {workflow: self._ranks[workflow] for workflow, _ in orphans if workflow in self._ranks}
        new = (workflow for workflow, _ in orphans if workflow not in known)
        self._ranks = known | {
            workflow: rank(workflow, live_sessions, own_session)
            for workflow in islice(new, self._limits.max_ranked)
        }
