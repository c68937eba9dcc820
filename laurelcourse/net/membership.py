"""Filters a directory's lists, which may repeat, shrink, or go back to an older revision. Pure.

A directory may lag behind what this relay knows: at another address after SIGHUP, or after its own restart.
Its older list must not make a draining unit look ready again. It may also number its revisions anew; a
directory that stays behind is taken to have done so.
"""

from laurelcourse import interface as face
from laurelcourse.net.payloads import UnitList

HEALTH_ORDER = {face.READY: 0, face.DRAINING: 1, face.GONE: 2}
MAX_EXTRA_GONE = 64  # gone units remembered beyond the number of the others


class MembershipFilter:
    """Remembers each unit's last health, so that an older list cannot improve it."""

    __slots__ = ("behind_since", "health", "patience", "revision")

    def __init__(self, known: UnitList, patience: int) -> None:
        """`patience`: microseconds after which a directory that stays behind counts as numbering anew."""
        self.revision, self.patience = known.revision, patience
        self.behind_since: int | None = None
        self.health: dict[int, tuple[int, str]] = {}  # by unit: start time and health
        self._remember(known)

    def filter(self, now: int, units: UnitList) -> UnitList:
        """Returns the list to apply: of an older list, each unit's health is the worse of the two."""
        if units.revision >= self.revision:
            self.revision, self.behind_since = units.revision, None
        else:
            self.behind_since = now if self.behind_since is None else self.behind_since
            if now - self.behind_since < self.patience:
                units = units._replace(entries=[self._with_worse_health(*entry) for entry in units.entries])
            else:
                self.revision, self.behind_since = units.revision, None
        self._remember(units)
        return units

    def _with_worse_health(self, entry: face.Listed, address: tuple[str, int] | None) -> tuple:
        started_at, health = self.health.get(entry.unit, (entry.started_at, entry.health))
        if started_at >= entry.started_at and HEALTH_ORDER[health] > HEALTH_ORDER[entry.health]:
            entry = entry._replace(health=health)
        return entry, address

    def _start_time(self, entry: face.Listed) -> int:
        """The entry of a leaving unit need not have its start: the known one then counts."""
        known = self.health.get(entry.unit) if entry.health != face.READY else None
        return max(entry.started_at, known[0]) if known else entry.started_at

    def _remember(self, units: UnitList) -> None:
        listed = {entry.unit: (self._start_time(entry), entry.health) for entry, _ in units.entries}
        if units.complete and self.behind_since is None:
            # A unit that a complete list lacks is gone; an older list must not bring it back.
            gone = {
                unit: (started_at, face.GONE)
                for unit, (started_at, _) in self.health.items()
                if unit not in listed
            }
            self.health = gone | listed
        else:
            self.health |= listed
        gone = [unit for unit, (_, health) in self.health.items() if health == face.GONE]
        if 2 * len(gone) > len(self.health) + MAX_EXTRA_GONE:
            for unit in gone[: len(gone) // 2]:
                del self.health[unit]
