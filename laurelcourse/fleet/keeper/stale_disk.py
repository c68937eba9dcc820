"""Whether a disk is the newest that its keeper has had. Pure.

A keeper that comes back with an older copy of its disk has forgotten what it promised: entries that count as
held by it, and votes. So the others keep a mark of what each reported to hold, and a keeper that starts asks
them.

What a keeper holds is reported as its term and, if its last entry is of that term, that entry's index, else
0: while a keeper stays in one term, entries of that term are never removed from its log, so on one disk this
never decreases.
"""

from laurelcourse.fleet.keeper.messages import Append, AskVote, Hello, Known, Mark, Message, Vote

NO_MARK = Mark("", 0, 0)


def is_older(held: Mark, known: Mark) -> bool:
    """Returns whether `held` is less than what is known, or on another disk."""
    other_disk = bool(known.disk) and known.disk != held.disk
    return other_disk or (held.term, held.index) < (known.term, known.index)


def mark_shown_by(message: Message) -> Mark:
    """Returns what a message proves its sender to hold, as that was on disk before it was sent.

    That is its term and, of a leader, all that it sends, since the last entry of its log is of its term. So
    whoever elected a candidate, or holds an entry that a leader counts itself for, has noted it, even if it
    hears nothing more. A pre-vote asks for a future term; Hello and Known come from disks that are not
    verified.
    """
    if isinstance(message, Hello | Known) or (isinstance(message, AskVote | Vote) and message.trial):
        return NO_MARK
    end = message.before_index + len(message.entries) if isinstance(message, Append) else 0
    return Mark("", message.term, end)


class Marks:
    """What the other keepers reported to hold. `changed` is written with the next write, `urgent` at once."""

    __slots__ = ("_me", "by_name", "changed", "urgent")

    def __init__(self, me: str, kept: dict[str, Mark]) -> None:
        self._me, self.by_name, self.changed, self.urgent = me, dict(kept), False, False

    def of(self, name: str) -> Mark:
        """Returns the mark of a keeper."""
        return self.by_name.get(name, NO_MARK)

    def note(self, name: str, mark: Mark) -> None:
        """Raises a keeper's mark. Marks never decrease, and a name keeps its first disk."""
        before = self.of(name)
        if name == self._me or (before.disk and mark.disk and before.disk != mark.disk):
            return
        after = Mark(before.disk or mark.disk, *max(before[1:], mark[1:]))
        if after != before:
            self.by_name[name], self.changed = after, True
            self.urgent = self.urgent or after.disk != before.disk

    def to_send(self, own: Mark) -> tuple[tuple[str, Mark], ...]:
        """Returns all marks, the own one included, sorted by name."""
        return tuple(sorted({**self.by_name, self._me: own}.items()))

    def take_changed(self) -> dict[str, Mark] | None:
        """Returns all marks if any changed; from now on they count as written."""
        if not self.changed:
            return None
        self.changed = self.urgent = False
        return dict(sorted(self.by_name.items()))
