"""What of a directory's list is news, when lists repeat, shrink, or go back to an older revision: pure.

A directory may lag behind what this relay has heard already, at another address after SIGHUP or after its own
restart. Its older word must not make a draining unit look ready: the drain was told. It may also number anew;
then what it says again and again counts."""

from laurelcourse import interface as face
from laurelcourse.net.forms import Members

WORSE = {face.READY: 0, face.DRAINING: 1, face.GONE: 2}
GONE_SPARE = 64  # units that have gone are remembered up to as many as there are, and so many more


class Lists:
    """`patience`: microseconds after which a directory that stays behind is taken to number anew."""

    __slots__ = ("behind_since", "health", "heard", "patience")

    def __init__(self, known: Members, patience: int) -> None:
        self.heard, self.patience = known.revision, patience
        self.behind_since: int | None = None
        # By unit, the start it was heard with, and how it was: a new start begins a new life.
        self.health: dict[int, tuple[int, str]] = {}
        self._keep(known)

    def take(self, now: int, found: Members) -> Members:
        """What is to be handed on: of an older list, each unit's health is the worse of the two."""
        if found.revision >= self.heard:
            self.heard, self.behind_since = found.revision, None
        else:
            self.behind_since = now if self.behind_since is None else self.behind_since
            if now - self.behind_since < self.patience:
                found = found._replace(entries=[self._worse(*one) for one in found.entries])
            else:
                self.heard, self.behind_since = found.revision, None
        self._keep(found)
        return found

    def _worse(self, entry: face.Listed, address: tuple[str, int] | None) -> tuple:
        since, health = self.health.get(entry.unit, (entry.since, entry.health))
        if since >= entry.since and WORSE[health] > WORSE[entry.health]:
            entry = entry._replace(health=health)
        return entry, address

    def _since(self, entry: face.Listed) -> int:
        """An entry of one that leaves need not say when it started: it is the life heard of that ends."""
        known = self.health.get(entry.unit) if entry.health != face.READY else None
        return max(entry.since, known[0]) if known else entry.since

    def _keep(self, found: Members) -> None:
        told = {entry.unit: (self._since(entry), entry.health) for entry, _ in found.entries}
        if found.whole and self.behind_since is None:
            # What a complete list leaves out has gone: an older one that names it must not bring it back.
            gone = {unit: (since, face.GONE) for unit, (since, _) in self.health.items() if unit not in told}
            self.health = gone | told
        else:
            self.health |= told
        gone = [unit for unit, (_, health) in self.health.items() if health == face.GONE]
        if 2 * len(gone) > len(self.health) + GONE_SPARE:
            for unit in gone[: len(gone) // 2]:
                del self.health[unit]
