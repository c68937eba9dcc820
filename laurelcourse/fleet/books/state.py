"""The data of the fleet's state machine, and its bounds.

All keepers must reach the same state from the same log, so the bounds are constants instead of settings: a
process with other settings would refuse what the others apply. Times are whole microseconds of the state
machine's own time, amounts whole numbers.
"""

from laurelcourse.fleet.books.forms import Budget, Done, Fence, Job, Limits, Link, Site, Stretch
from laurelcourse.fleet.workflows.definition import Definition

MAX_AMOUNT = 1 << 48  # the largest amount or duration: no possible sum exceeds 63 bits
MAX_NUMBER = (1 << 63) - 1
MAX_TEXT_BYTES = 256  # of a name, a site, a scope

# Sessions
MAX_SESSIONS = 4_096  # live at once
MAX_PAST_SESSIONS = 1_000  # names without a live session whose last session is remembered
MAX_RESULTS = 64  # of each live session: the last marks whose results are remembered

# Budgets
MAX_BUDGETS = 256  # defined at once
MAX_SCOPES = 4_096  # budgets and their keys (`name/key`) with anything in use
MAX_SHARES = 1 << 18  # of all sessions in all scopes
MAX_PENDING = 64  # amounts of one scope that wait for their time to be free

# Workflows
MAX_WORKFLOWS = 1 << 16  # ended ones included
MAX_VALUES = 64  # of one workflow
# Until the leader has set others.
DEFAULT_LIMITS = Limits(in_flight=10_000, by_tenant=1_000, behind=1_000, keeps=3_600_000_000)

# Transfers
SLICE_US = 1_000_000  # reserved rates change only between slices, so that sums are exact
GRACE_US = 60_000_000  # for which a job keeps its reservations after its deadline
FORGET_US = 86_400_000_000  # for which a job's end is remembered
HORIZON_SLICES = 1_000_000  # how far ahead a job may reserve
MAX_JOBS = 4_096  # with reservations
MAX_ENDED_JOBS = 4_096  # whose ends are remembered
MAX_JOB_PIECES = 256
MAX_LINKS = 256
MAX_SITES = 64
MAX_CAPACITY_STEPS = 16  # of one resource


class Session:
    """A live session."""

    __slots__ = ("fence", "forgotten_mark", "open_mark", "opened_index", "results", "scopes", "site")

    def __init__(self, fence: Fence, site: str, open_mark: int, opened_index: int) -> None:
        """`open_mark`: of its `Open`; `opened_index`: of the log entry that opened it."""
        self.fence = fence
        self.site = site
        self.open_mark = open_mark
        self.opened_index = opened_index
        self.results: dict[int, Done] = {}  # of its last marks
        self.forgotten_mark = 0  # the highest mark whose result is no longer remembered
        self.scopes: set[str] = set()  # where it holds a share; derived from the scopes when restored


class PastSession:
    """The last session of a name that has no live one."""

    __slots__ = ("boot", "open_mark", "session")

    def __init__(self, boot: int, session: int, open_mark: int) -> None:
        self.boot = boot
        self.session = session
        self.open_mark = open_mark


class Scope:
    """One whole that is divided: a budget, or a key of it."""

    __slots__ = ("pending", "shares")

    def __init__(self) -> None:
        self.shares: dict[int, tuple[int, int]] = {}  # by session: granted (above 0), wanted
        self.pending: list[tuple[int, int]] = []  # when it is free, amount: nobody's, but maybe still in use

    def pending_amount(self) -> int:
        """Returns what nobody has a share of, but may still be in use."""
        return sum(amount for _, amount in self.pending)

    def in_use(self) -> int:
        """Returns what may be in use."""
        return sum(granted for granted, _ in self.shares.values()) + self.pending_amount()


class StepState:
    """One step of a workflow. `tries` and `undo_tries` never decrease: req ids are made from them."""

    __slots__ = (
        "allowed_tries",
        "first_intended_at",
        "first_undo_intended_at",
        "intended_by",
        "maybe_ran",
        "state",
        "tries",
        "undo_maybe_ran",
        "undo_tries",
    )

    def __init__(self, allowed_tries: int) -> None:
        self.state = "new"
        self.tries = 0
        self.undo_tries = 0
        self.allowed_tries = allowed_tries  # until it is stuck
        self.maybe_ran = 0  # 1 once the outcome of any try was unknown
        self.intended_by = 0  # the session of the last intent
        self.first_intended_at = 0
        self.undo_maybe_ran = 0  # as `maybe_ran`, of its undo
        self.first_undo_intended_at = 0  # of the first try of its undo that may have run


class Workflow:
    """A workflow."""

    __slots__ = (
        "began_at",
        "definition",
        "ended_at",
        "leave_reason",
        "mark",
        "number",
        "owned_since",
        "owner",
        "state",
        "steps",
        "tenant",
        "values",
    )

    def __init__(self, number: int, tenant: str, mark: str, definition: Definition, owner: int) -> None:
        self.number = number
        self.tenant = tenant
        self.mark = mark  # the client's idempotency key
        self.definition = definition
        self.owner = owner  # a session
        self.values: tuple[tuple[str, str], ...] = ()
        self.state = "forward"
        self.leave_reason = ""  # LEFT, LATE or GAVE_UP once it was turned back
        self.began_at = 0
        self.owned_since = 0  # when its owner got it
        self.ended_at = 0  # 0: it has not ended
        self.steps = [StepState(definition.tries) for _ in definition.steps]


class Workflows:
    """All workflows. What follows from `by_number` is kept beside it, and derived when restored."""

    __slots__ = (
        "behind",
        "by_mark",
        "by_number",
        "ended",
        "in_flight",
        "in_flight_by_tenant",
        "last_number",
        "limits",
    )

    def __init__(self) -> None:
        self.last_number = 0
        self.limits = DEFAULT_LIMITS
        self.by_number: dict[int, Workflow] = {}
        self.by_mark: dict[tuple[str, str], int] = {}  # by tenant and mark
        self.in_flight: dict[int, Workflow] = {}
        self.in_flight_by_tenant: dict[str, int] = {}
        self.ended: dict[int, Workflow] = {}  # in the order in which they ended
        self.behind = 0  # undoing or stuck


class JobRecord:
    """A transfer job with its reservations."""

    __slots__ = ("job", "owner", "pieces", "proven", "state")

    def __init__(self, job: Job, owner: int, pieces: tuple[Stretch, ...], proven: int, state: str) -> None:
        """`owner`: a session, or 0 once that has ended; `proven`: bytes."""
        self.job = job
        self.owner = owner
        self.pieces = pieces
        self.proven = proven
        self.state = state


class Transfers:
    """Links, sites and jobs."""

    __slots__ = ("capacity_steps", "deltas", "ended", "jobs", "links", "next_end", "sites")

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self.sites: dict[str, Site] = {}
        # By resource: from which slice on how much may be reserved, as set by Shrink.
        self.capacity_steps: dict[str, list[tuple[int, int]]] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.ended: dict[str, tuple[str, int]] = {}  # how and when, in the order in which they ended
        # By resource and slice: how the reserved sum changes there. Derived from the jobs when restored.
        self.deltas: dict[str, dict[int, int]] = {}
        self.next_end = MAX_NUMBER  # no job or memory of one expires before


class State:
    """All of the state machine's data."""

    __slots__ = (
        "budgets",
        "index",
        "last_session",
        "live_sessions",
        "next_release",
        "past_sessions",
        "removed_budgets",
        "scopes",
        "session_by_name",
        "share_count",
        "time",
        "transfers",
        "workflows",
    )

    def __init__(self) -> None:
        self.workflows = Workflows()
        self.index = 0  # of the last entry applied
        self.time = 0
        self.last_session = 0  # the session opened last
        self.live_sessions: dict[int, Session] = {}
        self.session_by_name: dict[str, int] = {}  # live ones
        self.past_sessions: dict[str, PastSession] = {}  # by name, in the order in which they ended
        self.budgets: dict[str, Budget] = {}  # in the order of the settings
        self.removed_budgets: dict[str, Budget] = {}  # no longer in the settings, but still in use
        self.scopes: dict[str, Scope] = {}
        self.share_count = 0  # in all scopes
        self.next_release = MAX_NUMBER  # no pending amount is free before
        self.transfers = Transfers()


def is_number(value: object, minimum: int = 0, maximum: int = MAX_AMOUNT) -> bool:
    """Returns whether a value is an int (and no bool) within its bounds."""
    return type(value) is int and minimum <= value <= maximum


def is_text(value: object, min_bytes: int = 1) -> bool:
    """Returns whether a value can be a name in logs and files: encodable, without control characters."""
    if type(value) is not str or any(character < " " or character == "\x7f" for character in value):
        return False
    try:
        return min_bytes <= len(value.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False
