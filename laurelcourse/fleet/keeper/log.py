"""The log of one keeper in memory, and what of it the next `Write` must hold. Pure.

Indexes count from 1. Entries up to the snapshot's index are gone; the snapshot stands for them.
"""

from laurelcourse.fleet.keeper.changes import read_keepers
from laurelcourse.fleet.keeper.forms import KEEPERS, Entry, Keepers, Mark, Snapshot, Write

ENTRY_HEAD = 32  # bytes counted for what an entry is besides its data
UNKNOWN = -1  # the term of an index that the log does not reach, or has cut off


class Log:
    __slots__ = (
        "_changes",
        "_cut",
        "_fresh",
        "_taken",
        "_whole",
        "entries",
        "first",
        "first_term",
        "snapshot",
    )

    def __init__(self, snapshot: Snapshot | None, entries: tuple[Entry, ...], keepers: Keepers) -> None:
        """`keepers` count while neither snapshot nor entries name any."""
        self.snapshot, self.entries = snapshot, list(entries)
        self.first, self.first_term = (snapshot.index, snapshot.term) if snapshot else (0, 0)
        base = (snapshot.index, snapshot.keepers) if snapshot else (0, keepers)
        named = [one for one in entries if one.kind == KEEPERS]
        self._changes = [base, *((one.index, read_keepers(one.data)) for one in named)]
        self._clean()

    def _clean(self) -> None:
        self._cut, self._fresh, self._taken, self._whole = 0, [], None, False

    @property
    def last(self) -> int:
        return self.first + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.first_term

    @property
    def keepers(self) -> Keepers:
        """The latest, committed or not: they are in force once they are in the log (thesis, 4.1)."""
        return self._changes[-1][1]

    @property
    def changed_at(self) -> int:
        """The index that named the latest keepers; 0 when nothing but the settings did."""
        return self._changes[-1][0]

    def term_at(self, index: int) -> int:
        if index == self.first:
            return self.first_term
        return self.entries[index - self.first - 1].term if self.first < index <= self.last else UNKNOWN

    def part(self, start: int, size: int) -> tuple[Entry, ...]:
        """Entries from `start` on, of at most `size` bytes together, but at least one if there is one."""
        begin = end = start - self.first - 1
        total = 0
        while end < len(self.entries):
            total += ENTRY_HEAD + len(self.entries[end].data)
            if end > begin and total > size:
                break
            end += 1
        return tuple(self.entries[begin:end])

    def between(self, after: int, last: int) -> tuple[Entry, ...]:
        return tuple(self.entries[after - self.first : last - self.first])

    def term_begins(self, index: int) -> int:
        """The first index held of the term that `index` has."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index - 1 > self.first:
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        assert entry.index == self.last + 1
        self.entries.append(entry)
        self._fresh.append(entry)
        if entry.kind == KEEPERS:
            self._changes.append((entry.index, read_keepers(entry.data)))

    def cut(self, index: int) -> None:
        """Entries from `index` on go; keepers that they named are no longer in force."""
        assert index > self.first
        del self.entries[index - self.first - 1 :]
        self._fresh = [one for one in self._fresh if one.index < index]
        self._cut = min(index, self._cut) if self._cut else index
        while len(self._changes) > 1 and self._changes[-1][0] >= index:
            self._changes.pop()

    def keepers_at(self, index: int) -> Keepers:
        return [keepers for at, keepers in self._changes if at <= index][-1]

    def keepers_since(self, index: int) -> list[Keepers]:
        """As of `index`, and all that were named later."""
        return [self.keepers_at(index), *(keepers for at, keepers in self._changes if at > index)]

    def take(self, snapshot: Snapshot) -> None:
        """The snapshot stands for all up to its index; what follows stays if it goes on from just there."""
        goes_on = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[snapshot.index - self.first :] if goes_on else []
        later = [one for one in self._changes if one[0] > snapshot.index] if goes_on else []
        self._changes = [(snapshot.index, snapshot.keepers), *later]
        self._fresh = [one for one in self._fresh if one.index > snapshot.index] if goes_on else []
        self.snapshot, self.first, self.first_term = snapshot, snapshot.index, snapshot.term
        self._taken, self._whole = snapshot, not goes_on

    def unwritten(self) -> bool:
        return bool(self._cut or self._fresh or self._taken)

    def written(self, term: int, vote: str, marks: dict[str, Mark] | None) -> Write:
        """All that is not on disk yet. It counts as being there from now on: the caller writes first."""
        write = Write(term, vote, self._cut, tuple(self._fresh), self._taken, self._whole, marks)
        self._clean()
        return write
