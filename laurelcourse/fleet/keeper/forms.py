"""What goes into and comes out of the keepers' replicated log: plain values, no I/O.

Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); pre-vote, leadership
transfer, read index and changes of one server at a time: Ongaro's thesis (2014), chapters 3, 4, 6 and 9.
Times are whole microseconds of the keeper's own monotonic clock; indexes and terms count from 1, 0 is none.
Keepers are told apart by their names, which are never used again with another disk.
"""

from typing import NamedTuple

# kinds of entries
NOOP, BOOKS, KEEPERS = "noop", "books", "keepers"
# what a keeper is at the moment
PROVING, FOLLOWER, CANDIDATE, LEADER, REFUSED = "proving", "follower", "candidate", "leader", "refused"


class Bounds(NamedTuple):
    """Times in microseconds; counts and bytes as named."""

    beat: int  # a leader's heartbeat
    patience: int  # without a leader for so long, and up to twice, a keeper asks to be elected
    batch: int  # bytes of entries in one message at most
    ahead: int  # messages with entries under way to one keeper at most, unanswered
    piece: int  # bytes of a snapshot in one message
    waiting: int  # proposals and reads that wait at once, at most


class Entry(NamedTuple):
    index: int
    term: int
    kind: str
    data: bytes


class Keepers(NamedTuple):
    """Who has a vote, and who is only sent the log until it has caught up. Sorted, no name in both."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class Snapshot(NamedTuple):
    """The books after `index`, whose entry had `term`, and the keepers as of then."""

    index: int
    term: int
    keepers: Keepers
    data: bytes


class Mark(NamedTuple):
    """What another keeper is known to have held: its disk, its term, the last entry it said that it has."""

    disk: str
    term: int
    index: int


class Kept(NamedTuple):
    """What a disk holds at start. Entries follow each other from the snapshot's index + 1 on."""

    disk: str  # made at random when the file was made, the same for its life
    term: int
    vote: str  # whom this keeper voted for in `term`, or ''
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    marks: dict[str, Mark]  # of the other keepers, by name


class Write(NamedTuple):
    """To be on disk, all of it or nothing, before anything else of the same `Out` is carried out.

    In this order: `snapshot` takes the place of all entries up to its index (and of all later ones too if
    `snapshot_whole`); entries from `cut` on go; `entries` are appended."""

    term: int
    vote: str
    cut: int = 0  # 0: none go
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    snapshot_whole: bool = False  # the log does not go on from this snapshot: all entries go
    marks: dict[str, Mark] | None = None  # all of them, where they changed


# What keepers tell each other. Every message bears its sender's term.


class AskVote(NamedTuple):
    term: int
    last_index: int
    last_term: int
    trial: bool  # pre-vote: would you, if I asked? Nothing is changed by it
    handed: bool  # asked for by the leader itself, which wants this one to lead


class Vote(NamedTuple):
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
    round: int  # of heartbeats, for reads: answered back as it came
    marks: tuple[tuple[str, Mark], ...] = ()  # what the leader knows the keepers to hold


class Appended(NamedTuple):
    term: int
    ok: bool
    index: int  # ok: held up to here; else: try again from here, at the most
    round: int


class Piece(NamedTuple):
    """A part of a snapshot; the last one completes it."""

    term: int
    index: int
    index_term: int
    keepers: Keepers
    offset: int
    data: bytes
    last: bool
    round: int


class PieceTaken(NamedTuple):
    term: int
    index: int
    offset: int  # go on from here
    done: bool
    round: int


class TakeOver(NamedTuple):
    """From the leader: be elected at once."""

    term: int


class Hello(NamedTuple):
    """From a keeper that has started: what its disk holds. It neither votes nor asks to be elected until
    enough others have said that they know of nothing that it lacks."""

    term: int
    disk: str
    index: int


class Known(NamedTuple):
    term: int
    disk: str  # as in the Hello that this answers
    older: bool  # more than that has been seen of this keeper, or another disk
    mark: Mark  # what was seen


Message = AskVote | Vote | Append | Appended | Piece | PieceTaken | TakeOver | Hello | Known


class Out(NamedTuple):
    """What is to be done, in this order: `write`, then `send`, then `restore`, `apply`, then the rest."""

    write: Write | None = None
    send: tuple[tuple[str, Message], ...] = ()
    restore: Snapshot | None = None  # the books are replaced by these
    apply: tuple[Entry, ...] = ()  # committed, in order, each once
    taken: tuple[tuple[int, int, int], ...] = ()  # proposals by token: index and term they were appended at
    reads: tuple[tuple[int, int], ...] = ()  # by token: may be answered once this index is applied
    refused: tuple[tuple[int, str], ...] = ()  # proposals and reads by token: code of `fleet.errors`
    now: tuple[str, int, str] | None = None  # changed: what this keeper is, its term, the leader or ''
