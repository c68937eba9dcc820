"""Whether a disk is the newest that its keeper has had. Pure.

A keeper that comes back with an older disk has forgotten what it promised: entries that count as held by
it, and votes. So the others keep a mark of what each said that it holds, and a keeper that starts asks them.

What a keeper holds is told as its term and, if its last entry is of that term, the entry's index, else 0:
while a keeper stays in one term, entries of that term are never cut from its log, so on one disk this never
goes back.
"""

from laurelcourse.fleet.keeper.forms import Append, AskVote, Hello, Known, Mark, Message, Vote

NOTHING = Mark("", 0, 0)


def older(held: Mark, seen: Mark) -> bool:
    """Whether `held` is less than what has been seen, or another disk."""
    other = bool(seen.disk) and seen.disk != held.disk
    return other or (held.term, held.index) < (seen.term, seen.index)


def shown(message: Message) -> Mark:
    """What a message shows by itself that its sender holds, for it was on disk before: its term, and of a
    leader all that it sends, for the last of its log is of its term. So whoever elected a candidate, or holds
    an entry for which a leader counts itself, has noted that, though it hears nothing more of it. A trial is
    asked for a term to come; Hello and Known come from disks that are not proved."""
    if isinstance(message, Hello | Known) or (isinstance(message, AskVote | Vote) and message.trial):
        return NOTHING
    end = message.before_index + len(message.entries) if isinstance(message, Append) else 0
    return Mark("", message.term, end)


class Marks:
    """What the others said that they hold. `changed` goes to disk with the next write, `urgent` at once."""

    __slots__ = ("_me", "by_name", "changed", "urgent")

    def __init__(self, me: str, kept: dict[str, Mark]) -> None:
        self._me, self.by_name, self.changed, self.urgent = me, dict(kept), False, False

    def of(self, name: str) -> Mark:
        return self.by_name.get(name, NOTHING)

    def note(self, name: str, mark: Mark) -> None:
        """Marks never go back, and a name keeps its first disk."""
        before = self.of(name)
        if name == self._me or (before.disk and mark.disk and before.disk != mark.disk):
            return
        after = Mark(before.disk or mark.disk, *max(before[1:], mark[1:]))
        if after != before:
            self.by_name[name], self.changed = after, True
            self.urgent = self.urgent or after.disk != before.disk

    def told(self, mine: Mark) -> tuple[tuple[str, Mark], ...]:
        return tuple(sorted({**self.by_name, self._me: mine}.items()))

    def written(self) -> dict[str, Mark] | None:
        """All of them if they changed; they count as being on disk from now on."""
        if not self.changed:
            return None
        self.changed = self.urgent = False
        return dict(sorted(self.by_name.items()))
