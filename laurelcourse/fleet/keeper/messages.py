"""What goes into and comes out of the keepers' replicated log: plain values, no I/O.

A keeper is one replica of the log. Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm" (2014); pre-vote, leadership transfer, read index and membership changes of one server at a time:
Ongaro's thesis (2014), chapters 3, 4, 6 and 9. Times are whole microseconds of the keeper's own monotonic
clock; indexes and terms count from 1, 0 is none. Keepers are identified by name; a name is never used again
with another disk.

Classes that cross processes, and their fields, are named as in `fleet/calls/fleet.proto`.
"""

from typing import NamedTuple

# Kinds of entries.
NOOP = "noop"
BOOKS = "books"  # commands to the replicated state machine
KEEPERS = "keepers"  # a membership

# Roles of a keeper.
PROVING = "proving"  # its disk may be an older copy: it takes no part until the others have been asked
FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"
REFUSED = "refused"  # its disk is an older copy


class Bounds(NamedTuple):
    """Times in microseconds; counts and bytes as named."""

    heartbeat: int
    election_timeout: int  # minimum; up to twice as long at random
    max_batch_bytes: int  # of entries in one message
    max_in_flight: int  # unanswered messages with entries to one keeper
    chunk_bytes: int  # of a snapshot in one message
    max_waiting: int  # proposals and reads that wait at once


class Entry(NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: str
    data: bytes


class Keepers(NamedTuple):
    """The members: those with a vote, and learners, which only receive the log. Sorted, no name in both."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class Snapshot(NamedTuple):
    """The state machine after the entry at `index`, which had `term`, and the members as of then."""

    index: int
    term: int
    keepers: Keepers
    data: bytes


class Mark(NamedTuple):
    """What another keeper is known to have held: its disk, its term, the last entry that it reported."""

    disk: str
    term: int
    index: int


class Kept(NamedTuple):
    """What a disk holds at start. Entries follow each other from the snapshot's index + 1 on."""

    disk: str  # drawn at random when the file was created, the same for its life
    term: int
    vote: str  # for whom this keeper voted in `term`, or ''
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    marks: dict[str, Mark]  # of the other keepers, by name


class Write(NamedTuple):
    """To be written to disk atomically, before anything else of the same `Out` is carried out.

    In this order: `snapshot` replaces all entries up to its index (and all later ones too if
    `snapshot_whole`); entries from `cut` on are removed; `entries` are appended.
    """

    term: int
    vote: str
    cut: int = 0  # 0: none
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    snapshot_whole: bool = False  # the log does not continue this snapshot: all entries are removed
    marks: dict[str, Mark] | None = None  # all of them, if any changed


# Messages between keepers. Each carries its sender's term.


class AskVote(NamedTuple):
    """A candidate asks for a vote."""

    term: int
    last_index: int
    last_term: int
    trial: bool  # pre-vote: asks whether a vote would be granted, and changes nothing
    handed: bool  # the leader itself wants the sender to lead


class Vote(NamedTuple):
    """The answer to an AskVote."""

    term: int
    granted: bool
    trial: bool


class Append(NamedTuple):
    """Entries, or a heartbeat without any."""

    term: int
    before_index: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # of heartbeats, for reads: returned with the answer
    marks: tuple[tuple[str, Mark], ...] = ()  # what the leader knows the keepers to hold


class Appended(NamedTuple):
    """The answer to an Append."""

    term: int
    ok: bool
    index: int  # ok: held up to here; else: try again from here at the latest
    round: int


class Piece(NamedTuple):
    """A chunk of a snapshot; the last one completes it."""

    term: int
    index: int
    index_term: int
    keepers: Keepers
    offset: int
    data: bytes
    last: bool
    round: int


class PieceTaken(NamedTuple):
    """The answer to a Piece."""

    term: int
    index: int
    offset: int  # continue from here
    done: bool
    round: int


class TakeOver(NamedTuple):
    """From the leader: start an election at once."""

    term: int


class Hello(NamedTuple):
    """From a keeper that has started: what its disk holds.

    It neither votes nor stands for election until enough others have answered that they know of nothing it
    lacks.
    """

    term: int
    disk: str
    index: int


class Known(NamedTuple):
    """The answer to a Hello."""

    term: int
    disk: str  # as in the Hello
    older: bool  # more than the Hello says, or another disk, is known of the sender
    mark: Mark  # what is known


Message = AskVote | Vote | Append | Appended | Piece | PieceTaken | TakeOver | Hello | Known


class Out(NamedTuple):
    """What has to be done, in this order: `write`, then `send`, then `restore`, `apply`, then the rest."""

    write: Write | None = None
    send: tuple[tuple[str, Message], ...] = ()
    restore: Snapshot | None = None  # replaces the state machine
    apply: tuple[Entry, ...] = ()  # committed, in order, each once
    appended: tuple[tuple[int, int, int], ...] = ()  # proposals by token: index and term of their entry
    reads: tuple[tuple[int, int], ...] = ()  # by token: may be answered once this index is applied
    refused: tuple[tuple[int, str], ...] = ()  # proposals and reads by token: code of `fleet.errors`
    role_change: tuple[str, int, str] | None = None  # role, term, and the leader or ''
