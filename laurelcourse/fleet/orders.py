"""What relays ask the keepers, and what a keeper is to do about it: plain values, no I/O.

Whoever asks gives a token, a number of its own, and hears of it once in `Acts.answers`.
"""

from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget, Command, Done, Fence, Job, Limits, Link, Site
from laurelcourse.fleet.keeper.forms import Bounds, Keepers, Message, Write


class Terms(NamedTuple):
    """What the operators' settings say of leases; the same at every process of the fleet. Microseconds."""

    fleet: str  # the fleet's name, held against every message and file
    lease: int  # of a session
    drift: int  # parts of a million that a clock may run fast or slow against another
    beat: int  # how often a relay renews, and how often the leader divides budgets
    sessions: int  # live at once, at most
    bounds: Bounds
    keepers: Keepers  # as the settings have them, for a log that has none yet
    budgets: tuple[Budget, ...]
    snapshot_every: int  # entries after which the books are written out and the log is cut
    limits: Limits | None = None  # on workflows; None: as the books have them
    links: tuple[Link, ...] = ()
    sites: tuple[Site, ...] = ()

    def holds(self) -> int:
        """How long the holder may count on a lease, from when it asked, by its own clock."""
        return self.lease - self.lease * self.drift // 1_000_000 - 1

    def binds(self) -> int:
        """How long the keepers hold to one, from when they granted it, by theirs."""
        return self.lease + self.lease * self.drift // 1_000_000 + 1


class Beat(NamedTuple):
    """A relay renews its session, and tells what it could use of each budget (`name` or `name/key`), and how
    much of what it was granted it did use since the Beat before, in parts of a million."""

    fence: Fence
    demands: tuple[tuple[str, int], ...] = ()
    asked_at: int = 0  # by the relay's clock; its session gets it back with the answer; not sent
    uses: tuple[tuple[str, int], ...] = ()


class Share(NamedTuple):
    """`granted` may be used; the holder is to come down to `wanted`, and to say so by `GiveBack`."""

    budget: str
    granted: int
    wanted: int


class Renewed(NamedTuple):
    """A lease from when the relay asked. All shares that the session holds."""

    lease: int
    shares: tuple[Share, ...]


class Question(NamedTuple):
    """A look at the books that is as new as any answer given before it: 'session' with a name, 'budget' with
    a name or name/key, 'keepers', 'hash', 'flow' with numbers of workflows ('3,7'), 'flows' with a session's
    number: its own, the orphans, and, if there are orphans, who lives."""

    what: str
    of: str = ""
    job: Job | None = None  # of 'plan': when it may move; 'moves' and 'move' tell of transfers


class Note(NamedTuple):
    """A line for the people on call."""

    level: str  # 'info', 'warning', 'error'
    msg: str
    fields: tuple[tuple[str, str | int], ...] = ()


Answer = Renewed | tuple[Done, ...] | Done  # of a Beat; of commands, one each; of a Question or a refusal


class Acts(NamedTuple):
    """To be done in this order. `write` is on disk before anything is sent or answered."""

    write: Write | None = None
    send: tuple[tuple[str, Message], ...] = ()
    answers: tuple[tuple[int, Answer], ...] = ()
    notes: tuple[Note, ...] = ()


class Submit(NamedTuple):
    """Commands of one session (or one `Open`), in the order of their marks."""

    commands: tuple[Command, ...]
    asked_at: int = 0  # as in Beat; not sent
