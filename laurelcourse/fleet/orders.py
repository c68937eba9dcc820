"""What relays ask the keepers, and what a keeper has to do about it: plain values, no I/O.

A client gives a token, a number of its own, and gets one answer to it in `Acts.answers`. Classes that cross
processes, and their fields, are named as in `fleet/calls/fleet.proto`.
"""

from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget, Command, Done, Fence, Job, Limits, Link, Site
from laurelcourse.fleet.keeper.messages import Bounds, Keepers, Message, Write

MILLION = 1_000_000


class Terms(NamedTuple):
    """The operators' settings of leases, the same at every process of the fleet. Times in microseconds."""

    fleet: str  # the fleet's name, checked in every message and file
    lease: int  # of a session
    drift: int  # parts in a million by which a clock may be fast or slow against another
    renew_interval: int  # how often a relay renews its lease, and the leader divides budgets
    sessions: int  # live at once, at most
    bounds: Bounds
    keepers: Keepers  # as in the settings, for a log that names none yet
    budgets: tuple[Budget, ...]
    snapshot_every: int  # entries after which the log is compacted
    limits: Limits | None = None  # on workflows; None: those in the state machine stay
    links: tuple[Link, ...] = ()
    sites: tuple[Site, ...] = ()

    def holder_lease(self) -> int:
        """Returns how long the holder may rely on a lease, from when it asked, by its own clock."""
        return self.lease - self.lease * self.drift // MILLION - 1

    def keeper_lease(self) -> int:
        """Returns how long the keepers honour a lease, from when they granted it, by their clock."""
        return self.lease + self.lease * self.drift // MILLION + 1


class Beat(NamedTuple):
    """A relay renews its session's lease.

    It reports what it could use of each budget (`name` or `name/key`), and what part in a million it used of
    what was granted since the last renewal.
    """

    fence: Fence
    demands: tuple[tuple[str, int], ...] = ()
    asked_at: int = 0  # by the relay's clock; returned to its session with the answer; not sent
    uses: tuple[tuple[str, int], ...] = ()


class Share(NamedTuple):
    """`granted` may be used; the holder has to come down to `wanted`, and confirm that by `GiveBack`."""

    budget: str
    granted: int
    wanted: int


class Renewed(NamedTuple):
    """A lease, from when the relay asked, and all shares that the session holds."""

    lease: int
    shares: tuple[Share, ...]


class Question(NamedTuple):
    """A linearizable read of the replicated state.

    `what` is 'session' with a name, 'budget' with a name or name/key, 'keepers', 'hash', 'flow' with numbers
    of workflows ('3,7'), 'flows' with a session's number (its own, the orphans, and, if there are orphans,
    the live sessions), or 'moves', 'move' and 'plan' of transfers.
    """

    what: str
    of: str = ""
    job: Job | None = None  # of 'plan'


class Note(NamedTuple):
    """A line for the operators' log."""

    level: str  # 'info', 'warning', 'error'
    msg: str
    fields: tuple[tuple[str, str | int], ...] = ()


Answer = Renewed | tuple[Done, ...] | Done  # of a Beat; of commands, one each; of a Question or a refusal


class Acts(NamedTuple):
    """To be carried out in this order. `write` is on disk before anything is sent or answered."""

    write: Write | None = None
    send: tuple[tuple[str, Message], ...] = ()
    answers: tuple[tuple[int, Answer], ...] = ()
    notes: tuple[Note, ...] = ()


class Submit(NamedTuple):
    """Commands of one session (or one `Open`), in the order of their marks."""

    commands: tuple[Command, ...]
    asked_at: int = 0  # as in Beat; not sent
