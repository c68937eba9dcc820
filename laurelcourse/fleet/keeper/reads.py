"""Reads that wait until a quorum has confirmed that its leader still leads (thesis, 6.4). Pure.

A read counts as confirmed only by a round of heartbeats that was begun after it was asked. One round is under
way at a time, so what heartbeats cost does not grow with reads.
"""

from typing import NamedTuple


class _Read(NamedTuple):
    token: int
    round: int  # that must be confirmed; 0: none has been begun for it yet
    index: int  # committed when that round was begun


class Reads:
    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[_Read] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, token: int) -> None:
        self._waiting.append(_Read(token, 0, 0))

    def confirmed(self, round_: int) -> list[tuple[int, int]]:
        """Takes out the reads of rounds up to this one: tokens, and the index to be applied before each."""
        found = [(one.token, one.index) for one in self._waiting if 0 < one.round <= round_]
        self._waiting = [one for one in self._waiting if not 0 < one.round <= round_]
        return found

    def wants_round(self) -> bool:
        return bool(self._waiting) and not any(one.round for one in self._waiting)

    def begin(self, round_: int, commit: int) -> None:
        """A round begins now; it will do for all that wait."""
        self._waiting = [one._replace(round=round_, index=commit) for one in self._waiting]

    def drop(self) -> list[int]:
        """Takes out all: their tokens."""
        found = [one.token for one in self._waiting]
        self._waiting = []
        return found
