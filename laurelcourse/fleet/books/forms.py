"""Commands to the fleet's common books, and what comes of each: plain values, no I/O.

A command bears a mark, by which it is carried out once however often it is given, and a fence, by which the
books know whether its asker may still act. Amounts are whole numbers (of tries, connections, milli-units of
work...), times whole microseconds; durations are by the asker's clock, `at` by the leader's account.
"""

from typing import NamedTuple

from laurelcourse.fleet.workflows.definition import Definition

RATE, LEVEL, COUNT = "rate", "level", "count"


class Fence(NamedTuple):
    """Who asks: the relay's name, its session (never used again), which of that name's sessions it is, and
    the keepers' term in which it was opened. A later session of the same name fences an earlier one off."""

    name: str
    session: int
    boot: int
    term: int


class Command(NamedTuple):
    """`mark`: counted up by the session, from 1; for `Open` any number above 0 chosen at random."""

    fence: Fence | None
    mark: int
    what: "What"


class Batch(NamedTuple):
    """The data of one entry of kind BOOKS. `at`: the leader's account of time, which never runs backwards in
    the books: it goes on from the books' own time when a leader begins, by its monotonic clock."""

    at: int
    term: int
    commands: tuple[Command, ...]


# Sessions


class Open(NamedTuple):
    """A relay begins. Value: its Fence. Given again with the same mark it finds the same session."""

    name: str
    site: str


class Close(NamedTuple):
    """A relay ends by itself: what it holds is free at once, levels too."""


class Lapse(NamedTuple):
    """From the leader alone, once a session's lease is surely over by the keepers' clock."""

    session: int


# Budgets (`docs/fleet-books.md`): shares of a whole


class Define(NamedTuple):
    """The budgets as the operators' settings have them, from the leader; the whole list each time."""

    budgets: tuple["Budget", ...]


class Budget(NamedTuple):
    name: str
    kind: str  # RATE, LEVEL, COUNT
    whole: int  # of the scope, at any instant (LEVEL), a second (RATE), in `window` (COUNT)
    floor: int  # what each relay may use without any share
    relays: int  # the most there may be: floors of all fit in the whole
    window: int  # of a COUNT; else 0
    freed_after: int  # a LEVEL whose holder has lapsed is free so long after


class Grant(NamedTuple):
    """Shares of one budget for sessions, from the leader, as `budgets/division.py` made them. A lower share
    than before is asked back: what was granted before counts until its holder has given it back."""

    budget: str
    shares: tuple[tuple[int, int], ...]  # session, share


class GiveBack(NamedTuple):
    """A relay holds no more than `keeps` of its share from now on."""

    budget: str
    keeps: int


# Workflows (`fleet/workflows/definition.py`)

COMPLETED, NEVER_RAN, UNKNOWN, FAILED = "completed", "never_ran", "unknown", "failed"  # of a try
LEFT, LATE, GAVE_UP = "left", "late", "gave_up"  # why it turns back
BY_HAND, AGAIN = "by_hand", "again"  # what an operator did


class Limits(NamedTuple):
    """On workflows, from the leader, as the operators' settings have them."""

    in_flight: int
    by_tenant: int
    behind: int  # undoing or stuck: with so many none begins
    keeps: int  # microseconds for which a finished one can be asked for


class Begin(NamedTuple):
    """Value: the workflow's number and state. The same tenant's same mark finds the same workflow, whoever
    asks; it belongs to the session that asked first."""

    tenant: str
    mark: str  # the client's
    definition: Definition
    values: tuple[tuple[str, str], ...] = ()


class Intend(NamedTuple):
    """Before a step, or its undo, is sent. Value: the req's id, and the key that all tries of it share."""

    workflow: int
    step: int
    undo: bool
    tried: int  # which try it is, from 1


class Result(NamedTuple):
    """What came of that try. Value: the workflow's state."""

    workflow: int
    step: int
    undo: bool
    tried: int
    outcome: str  # COMPLETED, NEVER_RAN, UNKNOWN, FAILED: surely without effect, for good


class Leave(NamedTuple):
    """Turn back, unless the point of no return may be passed. From any relay. Value: the state."""

    workflow: int
    why: str


class Settle(NamedTuple):
    """An operator's word on a stuck step: done by hand, or to be tried again. Value: the state."""

    workflow: int
    step: int
    how: str


class Adopt(NamedTuple):
    """The workflow of a session that is over goes to the asker's or, by the leader's word, to session `to`.
    Value: the state."""

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
    """What came of a command: a value of plain ints and strings (a Fence for `Open`), or an error's code
    with whom it concerns and its figures (`fleet.errors`)."""

    value: tuple = ()
    code: str = ""
    to: str = ""
    told: tuple[tuple[str, int | str], ...] = ()


# Transfers between sites: links and compute slots reserved together. A slice is `state.SLICE` microseconds.


class Link(NamedTuple):
    """One direction between two sites, bytes a second; `kept` of it is for ordinary reqs."""

    origin: str
    to: str
    capacity: int
    kept: int


class Site(NamedTuple):
    """Compute slots for transfers at one site."""

    name: str
    slots: int


class Places(NamedTuple):
    """Links and sites as the operators' settings have them, from the leader; the whole list each time."""

    links: tuple[Link, ...]
    sites: tuple[Site, ...]


class Shrink(NamedTuple):
    """From the leader: what a link (`a>b`, all of its bytes a second) or a site (`a`, slots) has from slice
    `since` on, until told anew; more than before is a recovery. What is reserved stands."""

    resource: str
    capacity: int
    since: int


class Recall(NamedTuple):
    """From the leader: these jobs are to let go, or to move; what they hold counts until they did."""

    jobs: tuple[str, ...]


class Job(NamedTuple):
    """Times: whole microseconds of the books' account. `slots`: taken at both ends while bytes move."""

    name: str
    firm: str
    origin: str
    to: str
    size: int  # bytes
    earliest: int
    deadline: int
    earnings: int
    slots: int


class Stretch(NamedTuple):
    """`rate` bytes a second on each link of `way` in slices `first` up to, not with, `until`."""

    first: int
    until: int
    rate: int
    way: tuple[str, ...]  # both ends: books take no way over a third site


class Reserve(NamedTuple):
    """All of it or nothing, for the asking session. Value: the job's name."""

    job: Job
    pieces: tuple[Stretch, ...]


class Move(NamedTuple):
    """The owner's new plan for what is not proven yet, in the place of the one before, or nothing changes.
    Without any pieces a recalled job parks: it holds nothing, and goes on when it moves again."""

    job: str
    pieces: tuple[Stretch, ...]


class Resume(NamedTuple):
    """An orphan's next owner. Value: the byte proven."""

    job: str


class Progress(NamedTuple):
    """So many bytes from the start are proven to be at the far end."""

    job: str
    proven: int


class Commit(NamedTuple):
    """The copy becomes visible, once, and all that is reserved is free. Value: the job's size."""

    job: str


class Free(NamedTuple):
    """The owner gives the job up: nothing of it moves any more."""

    job: str


What = What | Places | Shrink | Recall | Reserve | Move | Resume | Progress | Commit | Free
