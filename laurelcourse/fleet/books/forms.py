"""Commands to the fleet's replicated state machine ("books"), and their results. Plain values, no I/O.

A command carries a mark, so that it is applied once however often it is submitted, and a fence, by which the
state machine checks that the sender may still act. Amounts are whole numbers (of tries, connections,
milli-units of work and so on), times whole microseconds. Durations are by the sender's clock; `at` is by the
leader's clock (`keeper/leader_clock.py`).

Classes and fields here have the names of the protobuf messages in `calls/fleet.proto`.
"""

from typing import NamedTuple

from laurelcourse.fleet.workflows.definition import Definition

# Kinds of budgets.
RATE = "rate"  # uses per second
LEVEL = "level"  # uses at any instant
COUNT = "count"  # uses in a window

# Outcomes of a try of a workflow's step.
COMPLETED = "completed"
NEVER_RAN = "never_ran"
UNKNOWN = "unknown"
FAILED = "failed"  # without effect, for good

# Why a workflow is turned back.
LEFT = "left"  # the client left
LATE = "late"  # not enough time is left
GAVE_UP = "gave_up"  # no tries are left

# What an operator says of a stuck step.
BY_HAND = "by_hand"
AGAIN = "again"


class Fence(NamedTuple):
    """A fencing token: who sends a command.

    That is the relay's name, its session (numbers are never used again), which of that name's sessions it is,
    and the keepers' term in which it was opened. A later session of the same name fences an earlier one off.
    """

    name: str
    session: int
    boot: int
    term: int


class Command(NamedTuple):
    """One command.

    `mark` counts up from 1 within the session; for `Open` it is any number above 0, drawn at random.
    """

    fence: Fence | None
    mark: int
    what: "What"


class Batch(NamedTuple):
    """The data of a log entry of kind BOOKS.

    `at` is the leader's clock, which never goes back within the log: a new leader continues from the state
    machine's time, by its own monotonic clock.
    """

    at: int
    term: int
    commands: tuple[Command, ...]


# Sessions


class Open(NamedTuple):
    """Opens a session. Value: its Fence. A repetition with the same mark finds the same session."""

    name: str
    site: str


class Close(NamedTuple):
    """Ends the sender's session: all that it holds is free at once, levels too."""


class Lapse(NamedTuple):
    """Ends a session whose lease has surely expired by the keepers' clock. From the leader."""

    session: int


# Budgets (`docs/fleet-books.md`): shares of a whole


class Define(NamedTuple):
    """Sets the budgets of the operators' settings, always the whole list. From the leader."""

    budgets: tuple["Budget", ...]


class Budget(NamedTuple):
    """The rules of one budget."""

    name: str
    kind: str  # RATE, LEVEL or COUNT
    whole: int  # of the scope: at any instant (LEVEL), per second (RATE), per `window` (COUNT)
    floor: int  # what each relay may use without a share
    relays: int  # the most relays there may be: the floors of all fit into the whole
    window: int  # microseconds, of a COUNT; otherwise 0
    freed_after: int  # microseconds after which a LEVEL of a lapsed session is free


class Grant(NamedTuple):
    """Shares of one budget for sessions, as `budgets/division.py` divides it. From the leader.

    A share lower than before is asked back: the former grant counts until its holder has given it back.
    """

    budget: str
    shares: tuple[tuple[int, int], ...]  # session, share


class GiveBack(NamedTuple):
    """The relay holds no more than `keeps` of its share from now on."""

    budget: str
    keeps: int


# Workflows (`fleet/workflows/definition.py`)


class Limits(NamedTuple):
    """Limits on workflows, as in the operators' settings. From the leader."""

    in_flight: int
    by_tenant: int
    behind: int  # undoing or stuck: with so many, none begins
    keeps: int  # microseconds for which an ended workflow can be queried


class Begin(NamedTuple):
    """Begins a workflow. Value: its number and state.

    The same mark of the same tenant finds the same workflow, whoever sends it; it belongs to the session that
    sent it first.
    """

    tenant: str
    mark: str  # the client's idempotency key
    definition: Definition
    values: tuple[tuple[str, str], ...] = ()


class Intend(NamedTuple):
    """Records the intent to send a step or its undo. Value: its req's id, and the key of all tries."""

    workflow: int
    step: int
    undo: bool
    tried: int  # which try it is, from 1


class Result(NamedTuple):
    """Records the outcome of a try. Value: the workflow's state."""

    workflow: int
    step: int
    undo: bool
    tried: int
    outcome: str  # COMPLETED, NEVER_RAN, UNKNOWN or FAILED


class Leave(NamedTuple):
    """Turns a workflow back, unless it may have passed its point of no return.

    From any relay. Value: the state.
    """

    workflow: int
    why: str


class Settle(NamedTuple):
    """An operator's decision about a stuck step: done by hand, or to be tried again. Value: the state."""

    workflow: int
    step: int
    how: str


class Adopt(NamedTuple):
    """Passes on the workflow of a session that has ended: to the sender or, from the leader, to session `to`.

    Value: the state.
    """

    workflow: int
    former: int
    to: int = 0


What = (
    Open
    | Close
    | Lapse
    | Define
    | Grant
    | GiveBack
    | Limits
    | Begin
    | Intend
    | Result
    | Leave
    | Settle
    | Adopt
)


class Done(NamedTuple):
    """The result of a command.

    Either a value of plain ints and strings (a Fence for `Open`), or an error's code with whom it concerns
    and its figures (`fleet/errors.py`).
    """

    value: tuple = ()
    code: str = ""
    to: str = ""
    told: tuple[tuple[str, int | str], ...] = ()


# Transfers between sites: links and compute slots reserved together. A slice is `state.SLICE_US`.


class Link(NamedTuple):
    """One direction between two sites, in bytes a second; `kept` of it is for ordinary reqs."""

    origin: str
    to: str
    capacity: int
    kept: int


class Site(NamedTuple):
    """The compute slots for transfers at one site."""

    name: str
    slots: int


class Places(NamedTuple):
    """Sets the links and sites of the operators' settings, always the whole list. From the leader."""

    links: tuple[Link, ...]
    sites: tuple[Site, ...]


class Shrink(NamedTuple):
    """Sets the capacity of a link (`a>b`, bytes a second) or of a site (`a`, slots) from slice `since` on.

    From the leader; it may also be more than before. Reservations stand.
    """

    resource: str
    capacity: int
    since: int


class Recall(NamedTuple):
    """Asks these jobs to give up or to move. From the leader. Their reservations count until they did."""

    jobs: tuple[str, ...]


class Job(NamedTuple):
    """A transfer job. Times are microseconds of the state machine's time."""

    name: str
    firm: str
    origin: str
    to: str
    size: int  # bytes
    earliest: int
    deadline: int
    earnings: int
    slots: int  # taken at both sites while bytes move


class Stretch(NamedTuple):
    """`rate` bytes a second on each link of the path `way`, from slice `first` to before slice `until`."""

    first: int
    until: int
    rate: int
    way: tuple[str, ...]  # the two sites: paths over a third site are refused


class Reserve(NamedTuple):
    """Reserves all of it for the sender's session, or nothing. Value: the job's name."""

    job: Job
    pieces: tuple[Stretch, ...]


class Move(NamedTuple):
    """Replaces the reservations for the bytes that are not proven yet, or changes nothing.

    Without pieces, a recalled job is parked: it holds nothing, and continues when it is moved again.
    """

    job: str
    pieces: tuple[Stretch, ...]


class Resume(NamedTuple):
    """Takes over a job whose session has ended. Value: the number of bytes proven."""

    job: str


class Progress(NamedTuple):
    """Records how many bytes from the start are proven to have arrived."""

    job: str
    proven: int


class Commit(NamedTuple):
    """Makes the copy visible, once, and frees all reservations. Value: the job's size."""

    job: str


class Free(NamedTuple):
    """Gives the job up: none of it is transferred any more."""

    job: str


What = What | Places | Shrink | Recall | Reserve | Move | Resume | Progress | Commit | Free
