"""What several calls of the core want done, as one thing to do: one write, then all that rests on it."""

from laurelcourse.fleet.keeper.forms import Message, Write
from laurelcourse.fleet.orders import Acts, Answer, Note


class Together:
    """Gathers what is to be done until `taken`."""

    __slots__ = ("answers", "notes", "send", "write")

    def __init__(self) -> None:
        self.write: Write | None = None
        self.send: list[tuple[str, Message]] = []
        self.answers: list[tuple[int, Answer]] = []
        self.notes: list[Note] = []

    def taken(self) -> Acts:
        acts = Acts(self.write, tuple(self.send), tuple(self.answers), tuple(self.notes))
        self.__init__()
        return acts


def merged(one: Write | None, two: Write | None) -> Write | None:
    """One write that leaves on disk what `one`, then `two` would have."""
    if one is None or two is None:
        return two if one is None else one
    snapshot = two.snapshot or one.snapshot
    kept = () if two.snapshot_whole else one.entries
    if two.cut:
        kept = tuple(entry for entry in kept if entry.index < two.cut)
    cuts = [cut for cut in (one.cut, two.cut) if cut]
    # The snapshot is carried out first: entries that it covers would be written behind it.
    entries = tuple(
        entry for entry in (*kept, *two.entries) if snapshot is None or entry.index > snapshot.index
    )
    return Write(
        two.term,
        two.vote,
        min(cuts, default=0),
        entries,
        snapshot,
        one.snapshot_whole or two.snapshot_whole,
        one.marks if two.marks is None else two.marks,
    )
