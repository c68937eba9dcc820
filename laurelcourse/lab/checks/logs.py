"""What keepers' disks and messages showed, held against each other: who led, what was applied, what is
left."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.keeper.messages import Append, Entry, Message, Piece, TakeOver

LEADS = (Append, Piece, TakeOver)  # what only a leader sends


class Breach(NamedTuple):
    """A check that did not hold, when (true microseconds), and how."""

    check: str
    at: int
    how: str


class Ledger:
    """All keepers of one run. A thing is noted when it is first seen; the rest is held against it."""

    __slots__ = ("breaches", "first", "last", "leads", "states", "twice")

    def __init__(self) -> None:
        self.leads: dict[int, str] = {}  # by term
        self.twice: set[int] = set()  # terms that two have led
        self.first: dict[int, tuple[Entry, str]] = {}  # by index, and the keeper that applied it first
        self.states: dict[int, tuple[str, str]] = {}  # hash of the books by index, and the keeper
        self.breaches: list[Breach] = []
        self.last = 0

    def sent(self, now: int, sender: str, message: Message) -> None:
        if isinstance(message, LEADS):
            first = self.leads.setdefault(message.term, sender)
            if first != sender and message.term not in self.twice:
                self.twice.add(message.term)
                self.breaches.append(
                    Breach("two_leaders_in_a_term", now, f"{first} and {sender} lead term {message.term}")
                )

    def applied(self, now: int, keeper: str, entry: Entry) -> None:
        """`entry`: as it lies on that keeper's disk at the index that it says it has applied."""
        first, by = self.first.setdefault(entry.index, (entry, keeper))
        self.last = max(self.last, entry.index)
        if first != entry:
            self.breaches.append(
                Breach(
                    "logs_differ",
                    now,
                    f"entry {entry.index}: {by} {first.term} "
                    f"{first.kind}, {keeper} {entry.term} {entry.kind}",
                )
            )

    def state(self, now: int, keeper: str, index: int, told: str) -> None:
        first, by = self.states.setdefault(index, (told, keeper))
        if first != told:
            self.breaches.append(
                Breach("states_differ", now, f"books at {index}: {by} {first}, {keeper} {told}")
            )


def lost(answered: Iterable[tuple[int, str, tuple]], held: set[tuple]) -> list[Breach]:
    """Answered commands (true time, who asked, key) whose key is in no entry that is left."""
    return [
        Breach("committed_lost", at, f"{asker} was answered {key}, and it is gone")
        for at, asker, key in answered
        if key not in held
    ]
