"""What the fleet's common books keep, and how much of it at most.

Every keeper must come to the same state from the same log, so the bounds are constants and not settings: a
process with another file of settings would else refuse what the others carry out. Times are whole
microseconds of the books' own account, amounts whole numbers.
"""

from laurelcourse.fleet.books.forms import Budget, Done, Fence, Job, Limits, Link, Site, Stretch
from laurelcourse.fleet.workflows.definition import Definition

MARKS = 64  # of each live session, whose outcomes are kept
PAST = 1_000  # names without a live session whose boots are remembered
SESSIONS = 4_096  # live at once
BUDGETS = 256  # defined at once
SCOPES = 4_096  # budgets and keys of them (`name/key`) with anything in use
SHARES = 1 << 18  # of all sessions in all scopes
PIECES = 64  # of one scope that wait for their time to be free
FLOWS = 1 << 16  # workflows, finished ones with them
VALUES = 64  # of one workflow
LIMITS = Limits(10_000, 1_000, 1_000, 3_600_000_000)  # until the leader has told others
TEXT = 256  # bytes of a name, a site, a scope
AMOUNT = 1 << 48  # the largest amount or duration: no sum of as many as there may be leaves 63 bits
NUMBER = (1 << 63) - 1


class Session:
    """A live one. `dones`: of its last marks; `forgotten`: the highest mark that is no longer kept."""

    __slots__ = ("dones", "fence", "forgotten", "mark", "opened", "scopes", "site")

    def __init__(self, fence: Fence, site: str, mark: int, opened: int) -> None:
        self.fence, self.site, self.mark, self.opened = fence, site, mark, opened
        self.dones: dict[int, Done] = {}
        self.forgotten = 0
        self.scopes: set[str] = set()  # where it holds a share: found from the scopes, not kept twice


class Past:
    """The last session of a name that has none now."""

    __slots__ = ("boot", "mark", "session")

    def __init__(self, boot: int, session: int, mark: int) -> None:
        self.boot, self.session, self.mark = boot, session, mark


class Scope:
    """One whole being divided: a budget, or a key of it. `shares`: by session, granted and wanted, where
    granted is above 0. `pieces`: when each is free, and how much; nobody's share, yet it may be in use."""

    __slots__ = ("pieces", "shares")

    def __init__(self) -> None:
        self.shares: dict[int, tuple[int, int]] = {}
        self.pieces: list[tuple[int, int]] = []

    def held(self) -> int:
        return sum(amount for _, amount in self.pieces)

    def in_use(self) -> int:
        return sum(granted for granted, _ in self.shares.values()) + self.held()


class Try:
    """One step of a workflow. `tries` of itself and `undo_tries` never fall: req ids come from them."""

    __slots__ = ("allowed", "by", "first", "maybe", "state", "tries", "undo_tries")

    def __init__(self, allowed: int) -> None:
        self.state = "new"
        self.tries = self.undo_tries = 0
        self.allowed = allowed  # tries until it is stuck
        self.maybe = 0  # 1 once the fate of any try was unknown
        self.by = self.first = 0  # the session that intended last; when it was intended first


class Flow:
    """A workflow. `since`: when its owner came by it; `ended`: when it was finished, 0 before."""

    __slots__ = (
        "began",
        "definition",
        "ended",
        "left",
        "mark",
        "number",
        "owner",
        "since",
        "state",
        "steps",
        "tenant",
        "values",
    )

    def __init__(self, number: int, tenant: str, mark: str, definition: Definition, owner: int) -> None:
        self.number, self.tenant, self.mark, self.owner = number, tenant, mark, owner
        self.definition = definition
        self.values: tuple[tuple[str, str], ...] = ()
        self.state, self.left = "forward", ""
        self.began = self.since = self.ended = 0
        self.steps = [Try(definition.tries) for _ in definition.steps]


class Flows:
    """All workflows. What can be counted from `all` is kept beside it, and counted anew when read."""

    __slots__ = ("all", "behind", "by_tenant", "ended", "last", "limits", "marks", "open")

    def __init__(self) -> None:
        self.last, self.limits = 0, LIMITS
        self.all: dict[int, Flow] = {}
        self.marks: dict[tuple[str, str], int] = {}
        self.open: dict[int, Flow] = {}
        self.ended: dict[int, Flow] = {}  # in the order in which they ended
        self.by_tenant: dict[str, int] = {}  # open ones
        self.behind = 0


# Transfers
SLICE = 1_000_000  # microseconds: reserved rates change only between slices, so sums are exact
GRACE = 60_000_000  # after its deadline a job keeps what it has so long, then all is freed
FORGET = 86_400_000_000  # so long after its end a job's outcome is known
JOBS, ENDED = 4_096, 4_096  # jobs that hold something; outcomes kept
JOB_PIECES = 256
LINKS, SITES, STEPS = 256, 64, 16
HORIZON = 1_000_000  # slices that a job may reach ahead


class Booked:
    """A job with what it has reserved. `owner`: a session, 0 for an orphan."""

    __slots__ = ("job", "owner", "pieces", "proven", "state")

    def __init__(self, job: Job, owner: int, pieces: tuple[Stretch, ...], proven: int, state: str) -> None:
        self.job, self.owner, self.pieces, self.proven, self.state = job, owner, pieces, proven, state


class Transfers:
    """`steps`: of each resource, from which slice on how much may be reserved, as told by Shrink. `deltas`:
    where what is reserved rises and falls; found from the jobs, not kept twice."""

    __slots__ = ("deltas", "ended", "jobs", "links", "next_end", "sites", "steps")

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.sites: dict[str, Site] = {}
        self.steps: dict[str, list[tuple[int, int]]] = {}
        self.jobs: dict[str, Booked] = {}
        self.ended: dict[str, tuple[str, int]] = {}  # how and when, in the order in which they ended
        self.deltas: dict[str, dict[int, int]] = {}
        self.next_end = NUMBER  # nothing ends by itself before


class State:
    __slots__ = (
        "budgets",
        "flows",
        "index",
        "last",
        "leaving",
        "live",
        "names",
        "next_free",
        "past",
        "scopes",
        "shares",
        "time",
        "transfers",
    )

    def __init__(self) -> None:
        self.flows = Flows()
        self.index = self.time = self.last = 0  # last: the session opened last
        self.live: dict[int, Session] = {}
        self.names: dict[str, int] = {}  # of the live ones
        self.past: dict[str, Past] = {}  # in the order in which they ended
        self.budgets: dict[str, Budget] = {}  # in the order of the settings
        self.leaving: dict[str, Budget] = {}  # no longer in the settings, but still in use
        self.scopes: dict[str, Scope] = {}
        self.shares = 0  # how many, in all scopes
        self.next_free = NUMBER  # no piece is free before
        self.transfers = Transfers()


def number(value: object, least: int = 0, most: int = AMOUNT) -> bool:
    return type(value) is int and least <= value <= most


def text(value: object, least: int = 1) -> bool:
    """Names stand in log lines and files: no controls, nothing that can't be encoded."""
    if type(value) is not str or any(one < " " or one == "\x7f" for one in value):
        return False
    try:
        return least <= len(value.encode()) <= TEXT
    except UnicodeEncodeError:
        return False
