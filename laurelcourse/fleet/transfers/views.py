"""Serializes transfers for relays: tuples of whole numbers and texts, and back. No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Fence, Job, Stretch
from laurelcourse.fleet.errors import UnreadableError

MAX_JOBS = 64  # in one answer


class TransferView(NamedTuple):
    """A job as relays see it."""

    job: Job
    owner: Fence | None  # None: its session has ended
    pieces: tuple[Stretch, ...]
    proven: int  # bytes
    state: str


class TransferList(NamedTuple):
    """The answer to a question about transfers."""

    time: int  # of the state machine, when it was answered
    ended: str  # how the single job that was asked for ended, if it did
    views: tuple[TransferView, ...]


def to_plain(transfers: TransferList) -> tuple:
    """Returns the answer as nested tuples, of at most MAX_JOBS jobs."""
    return (
        transfers.time,
        transfers.ended,
        tuple(
            (tuple(view.job), tuple(view.owner or ()), pieces_to_plain(view.pieces), view.proven, view.state)
            for view in transfers.views[:MAX_JOBS]
        ),
    )


def pieces_to_plain(pieces: Iterable[Stretch]) -> tuple:
    """Returns reservations as nested tuples."""
    return tuple(tuple(piece) for piece in pieces)


def pieces_from_plain(plain: tuple) -> tuple[Stretch, ...]:
    """Returns what `pieces_to_plain` was given. Raises UnreadableError."""
    try:
        pieces = tuple(Stretch(*piece) for piece in plain)
        if any(type(number) is not int for piece in pieces for number in piece[:3]):
            raise ValueError("a number")
    except (TypeError, ValueError) as error:
        raise UnreadableError("transfer", fault="its pieces") from error
    return pieces


def from_plain(plain: tuple) -> TransferList:
    """Returns what `to_plain` was given. Raises UnreadableError."""
    try:
        time, ended, rows = plain
        views = tuple(
            TransferView(
                Job(*job), Fence(*owner) if owner else None, pieces_from_plain(pieces), proven, state
            )
            for job, owner, pieces, proven, state in rows
        )
    except (TypeError, ValueError) as error:
        raise UnreadableError("transfer", fault=type(error).__name__) from error
    return TransferList(time, ended, views)
