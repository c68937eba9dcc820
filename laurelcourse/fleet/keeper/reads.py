"""Reads that wait until a quorum has confirmed that its leader still leads (Ongaro's thesis, 6.4). Pure.

A read is confirmed only by a round of heartbeats that began after it was requested. One round is under way at
a time, so the cost of heartbeats does not grow with the number of reads.
"""

from typing import NamedTuple


class _Read(NamedTuple):
    token: int
    round: int  # that must be confirmed; 0: none has begun for it yet
    index: int  # committed when that round began


class PendingReads:
    """The reads that wait."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[_Read] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, token: int) -> None:
        """Adds a read."""
        self._waiting.append(_Read(token, 0, 0))

    def take_confirmed(self, round_: int) -> list[tuple[int, int]]:
        """Removes the reads of rounds up to this one; returns tokens and the index to apply before each."""
        confirmed = [(read.token, read.index) for read in self._waiting if 0 < read.round <= round_]
        self._waiting = [read for read in self._waiting if not 0 < read.round <= round_]
        return confirmed

    def needs_round(self) -> bool:
        """Returns whether reads wait and no round is under way."""
        return bool(self._waiting) and not any(read.round for read in self._waiting)

    def begin_round(self, round_: int, commit: int) -> None:
        """A round begins now; it serves all reads that wait."""
        self._waiting = [read._replace(round=round_, index=commit) for read in self._waiting]

    def take_all(self) -> list[int]:
        """Removes all reads; returns their tokens."""
        tokens = [read.token for read in self._waiting]
        self._waiting = []
        return tokens
