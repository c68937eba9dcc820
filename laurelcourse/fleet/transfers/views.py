"""Transfers as the keepers tell them to relays: tuples of whole numbers and texts, and back. No I/O."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Fence, Job, Stretch
from laurelcourse.fleet.errors import UnreadableError

AT_ONCE = 64  # jobs told in one answer


class View(NamedTuple):
    """`owner` is None for an orphan."""

    job: Job
    owner: Fence | None
    pieces: tuple[Stretch, ...]
    proven: int
    state: str


class Seen(NamedTuple):
    """`time`: of the books, when it was told. `ended`: how the one job asked for did, if it has."""

    time: int
    ended: str
    views: tuple[View, ...]


def told(seen: Seen) -> tuple:
    return (
        seen.time,
        seen.ended,
        tuple(
            (tuple(one.job), tuple(one.owner or ()), pieces(one.pieces), one.proven, one.state)
            for one in seen.views[:AT_ONCE]
        ),
    )


def pieces(found: Iterable[Stretch]) -> tuple:
    return tuple(tuple(one) for one in found)


def seen_pieces(rows: tuple) -> tuple[Stretch, ...]:
    """Raises UnreadableError."""
    try:
        found = tuple(Stretch(*one) for one in rows)
        if any(type(number) is not int for one in found for number in one[:3]):
            raise ValueError("a number")
    except (TypeError, ValueError) as error:
        raise UnreadableError("transfer", fault="its pieces") from error
    return found


def seen(value: tuple) -> Seen:
    """What `told` made. Raises UnreadableError."""
    try:
        time, ended, rows = value
        return Seen(
            time,
            ended,
            tuple(
                View(Job(*job), Fence(*owner) if owner else None, seen_pieces(found), proven, state)
                for job, owner, found, proven, state in rows
            ),
        )
    except (TypeError, ValueError) as error:
        raise UnreadableError("transfer", fault=type(error).__name__) from error
