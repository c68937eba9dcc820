"""Checks of keepers' logs: who led, what each applied, and what is left."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.keeper.messages import Append, Entry, Message, Piece, TakeOver

LEADER_MESSAGES = (Append, Piece, TakeOver)


class Breach(NamedTuple):
    """A check that did not hold."""

    check: str
    at: int  # true microseconds
    description: str


class LogChecker:
    """Compares what all keepers of one run sent and applied with what was first seen."""

    __slots__ = (
        "breaches",
        "disputed_terms",
        "first_applied",
        "last_index",
        "leaders",
        "state_hashes",
    )

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}  # by term
        self.disputed_terms: set[int] = set()  # terms that two have led
        self.first_applied: dict[int, tuple[Entry, str]] = {}  # by index: the entry, and who applied it first
        self.state_hashes: dict[int, tuple[str, str]] = {}  # by index: the hash of the books, and the keeper
        self.breaches: list[Breach] = []
        self.last_index = 0

    def on_sent(self, now: int, sender: str, message: Message) -> None:
        """Takes a message, at true time `now`."""
        if isinstance(message, LEADER_MESSAGES):
            first = self.leaders.setdefault(message.term, sender)
            if first != sender and message.term not in self.disputed_terms:
                self.disputed_terms.add(message.term)
                self.breaches.append(
                    Breach("two_leaders_in_a_term", now, f"{first} and {sender} lead term {message.term}")
                )

    def on_applied(self, now: int, keeper: str, entry: Entry) -> None:
        """Takes an entry as it lies on a keeper's disk, at an index that the keeper says it has applied."""
        first, first_keeper = self.first_applied.setdefault(entry.index, (entry, keeper))
        self.last_index = max(self.last_index, entry.index)
        if first != entry:
            self.breaches.append(
                Breach(
                    "logs_differ",
                    now,
                    f"entry {entry.index}: {first_keeper} {first.term} "
                    f"{first.kind}, {keeper} {entry.term} {entry.kind}",
                )
            )

    def on_state(self, now: int, keeper: str, index: int, state_hash: str) -> None:
        """Takes the hash of a keeper's books after the entry at an index."""
        first, first_keeper = self.state_hashes.setdefault(index, (state_hash, keeper))
        if first != state_hash:
            self.breaches.append(
                Breach(
                    "states_differ",
                    now,
                    f"books at {index}: {first_keeper} {first}, {keeper} {state_hash}",
                )
            )


def lost_commands(answered: Iterable[tuple[int, str, tuple]], left: set[tuple]) -> list[Breach]:
    """Returns a breach for each answered command that is in no entry that is left.

    `answered` has true time, who asked, and the command's key; `left` has the keys in the log.
    """
    return [
        Breach("committed_lost", at, f"{asker} was answered {key}, and it is gone")
        for at, asker, key in answered
        if key not in left
    ]
