"""Combines what several calls of the core want done: one write, then all that rests on it."""

from laurelcourse.fleet.keeper.messages import Message, Write
from laurelcourse.fleet.orders import Acts, Answer, Note


class ActionBatch:
    """Collects actions until `take`."""

    __slots__ = ("answers", "notes", "send", "write")

    def __init__(self) -> None:
        self.write: Write | None = None
        self.send: list[tuple[str, Message]] = []
        self.answers: list[tuple[int, Answer]] = []
        self.notes: list[Note] = []

    def take(self) -> Acts:
        """Returns the actions collected so far and forgets them."""
        acts = Acts(self.write, tuple(self.send), tuple(self.answers), tuple(self.notes))
        self.__init__()
        return acts


def merge_writes(first: Write | None, second: Write | None) -> Write | None:
    """Returns one write that leaves on disk what `first`, then `second` would have."""
    if first is None or second is None:
        return second if first is None else first
    snapshot = second.snapshot or first.snapshot
    kept = () if second.snapshot_whole else first.entries
    if second.cut:
        kept = tuple(entry for entry in kept if entry.index < second.cut)
    cuts = [cut for cut in (first.cut, second.cut) if cut]
    # The snapshot is written first: entries that it covers would be written behind it.
    entries = tuple(
        entry for entry in (*kept, *second.entries) if snapshot is None or entry.index > snapshot.index
    )
    return Write(
        second.term,
        second.vote,
        min(cuts, default=0),
        entries,
        snapshot,
        first.snapshot_whole or second.snapshot_whole,
        first.marks if second.marks is None else second.marks,
    )
