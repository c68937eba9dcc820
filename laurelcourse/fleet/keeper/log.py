"""The log of one keeper in memory, and what of it the next `Write` must hold. Pure.

Indexes count from 1. Entries up to the snapshot's index are gone; the snapshot stands for them.
"""

from laurelcourse.fleet.keeper.membership import decode_keepers
from laurelcourse.fleet.keeper.messages import KEEPERS, Entry, Keepers, Mark, Snapshot, Write

ENTRY_OVERHEAD_BYTES = 32  # counted for an entry beside its data
UNKNOWN_TERM = -1  # of an index that the log does not reach, or has compacted


class Log:
    """Entries, snapshot and membership, and which of them are not on disk yet."""

    __slots__ = (
        "_cut",
        "_memberships",
        "_new_snapshot",
        "_snapshot_replaces_all",
        "_unwritten",
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
        changes = [entry for entry in entries if entry.kind == KEEPERS]
        self._memberships = [base, *((entry.index, decode_keepers(entry.data)) for entry in changes)]
        self._forget_unwritten()

    def _forget_unwritten(self) -> None:
        self._cut, self._unwritten = 0, []
        self._new_snapshot, self._snapshot_replaces_all = None, False

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.first + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.first_term

    @property
    def keepers(self) -> Keepers:
        """The latest membership, committed or not: it is in force once it is in the log (thesis, 4.1)."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the latest membership; 0 if only the settings name one."""
        return self._memberships[-1][0]

    def term_at(self, index: int) -> int:
        """Returns the term of an entry, or UNKNOWN_TERM."""
        if index == self.first:
            return self.first_term
        return self.entries[index - self.first - 1].term if self.first < index <= self.last else UNKNOWN_TERM

    def entries_from(self, start: int, size: int) -> tuple[Entry, ...]:
        """Returns entries from `start` on, of at most `size` bytes together, but at least one if there is
        one.
        """
        begin = end = start - self.first - 1
        total = 0
        while end < len(self.entries):
            total += ENTRY_OVERHEAD_BYTES + len(self.entries[end].data)
            if end > begin and total > size:
                break
            end += 1
        return tuple(self.entries[begin:end])

    def entries_between(self, after: int, last: int) -> tuple[Entry, ...]:
        """Returns the entries behind `after` up to `last`."""
        return tuple(self.entries[after - self.first : last - self.first])

    def first_of_term(self, index: int) -> int:
        """Returns the first index held of the term that `index` has."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term and index - 1 > self.first:
            index -= 1
        return index

    def append(self, entry: Entry) -> None:
        """Appends an entry with the next index."""
        assert entry.index == self.last + 1
        self.entries.append(entry)
        self._unwritten.append(entry)
        if entry.kind == KEEPERS:
            self._memberships.append((entry.index, decode_keepers(entry.data)))

    def cut(self, index: int) -> None:
        """Removes the entries from `index` on; memberships in them are no longer in force."""
        assert index > self.first
        del self.entries[index - self.first - 1 :]
        self._unwritten = [entry for entry in self._unwritten if entry.index < index]
        self._cut = min(index, self._cut) if self._cut else index
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def keepers_at(self, index: int) -> Keepers:
        """Returns the membership as of an index."""
        return [keepers for at, keepers in self._memberships if at <= index][-1]

    def keepers_since(self, index: int) -> list[Keepers]:
        """Returns the membership as of an index, and all later ones."""
        return [self.keepers_at(index), *(keepers for at, keepers in self._memberships if at > index)]

    def install(self, snapshot: Snapshot) -> None:
        """Replaces all up to the snapshot's index; what follows stays if it continues from just there."""
        continues = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[snapshot.index - self.first :] if continues else []
        later = [change for change in self._memberships if change[0] > snapshot.index] if continues else []
        self._memberships = [(snapshot.index, snapshot.keepers), *later]
        self._unwritten = (
            [entry for entry in self._unwritten if entry.index > snapshot.index] if continues else []
        )
        self.snapshot, self.first, self.first_term = snapshot, snapshot.index, snapshot.term
        self._new_snapshot, self._snapshot_replaces_all = snapshot, not continues

    def has_unwritten(self) -> bool:
        """Returns whether anything is not on disk yet."""
        return bool(self._cut or self._unwritten or self._new_snapshot)

    def take_write(self, term: int, vote: str, marks: dict[str, Mark] | None) -> Write:
        """Returns all that is not on disk yet. From now on it counts as written: the caller writes first."""
        write = Write(
            term,
            vote,
            self._cut,
            tuple(self._unwritten),
            self._new_snapshot,
            self._snapshot_replaces_all,
            marks,
        )
        self._forget_unwritten()
        return write
