"""Decides which mirrors are excluded for a time, and whose invalid answers count against their build. Pure.

A mirror with outdated data is excluded briefly, and never more than a share of all mirrors for that; one with
invalid data is excluded for long. The `Balancer` decides who is asked; it sees an excluded mirror as one that
the directory reports as draining.
"""

from typing import NamedTuple

# The longest exclusion of a series, in multiples of the first.
MAX_BEHIND_FACTOR = 16
MAX_WRONG_FACTOR = 64

MIN_SUSPICIONS = 2  # invalid files, each with a part of another mirror, that convict a mirror

# In multiples of the first exclusion for outdated data: a mirror ahead of the others is not ahead for longer.
MAX_AHEAD_FACTOR = 4

WRONG_MEMORY_FACTOR = 16  # for how long invalid answers count, in multiples of the first exclusion for them


class ExclusionBounds(NamedTuple):
    """Times in microseconds."""

    behind: int  # the first exclusion for outdated data
    wrong: int  # the first exclusion for invalid data
    most: float  # the largest share of mirrors excluded for outdated data


class MirrorRecord:
    """What is known of one mirror."""

    __slots__ = (
        "behind_streak",
        "build",
        "excluded_until",
        "suspected_with",
        "unverifiable_since",
        "wrong_at",
        "wrong_streak",
    )

    def __init__(self, build: int) -> None:
        self.build = build
        self.behind_streak = 0
        self.wrong_streak = 0
        self.excluded_until = 0
        self.unverifiable_since: int | None = None
        self.wrong_at: int | None = None  # the last invalid answer
        self.suspected_with: dict[int, int] = {}  # by the other mirror that had a part: when


class MirrorRecords:
    """What is known of all mirrors."""

    def __init__(self, bounds: ExclusionBounds) -> None:
        self.bounds = bounds
        self.known: dict[int, MirrorRecord] = {}

    def set_ready(self, builds: dict[int, int]) -> None:
        """Sets the mirrors that are ready, with their builds; a mirror with another build counts as new."""
        old = self.known
        self.known = {
            unit: old[unit] if unit in old and old[unit].build == build else MirrorRecord(build)
            for unit, build in builds.items()
        }

    def is_excluded(self, now: int, unit: int) -> bool:
        """Returns whether a mirror is excluded."""
        return unit in self.known and self.known[unit].excluded_until > now

    def record_good(self, unit: int) -> None:
        """Notes a verified answer."""
        if mirror := self.known.get(unit):
            mirror.behind_streak = mirror.wrong_streak = 0
            mirror.unverifiable_since = None
            mirror.suspected_with.clear()

    def exclude_behind(self, now: int, unit: int) -> bool:
        """Notes an outdated answer; returns whether the mirror becomes excluded."""
        mirror = self.known.get(unit)
        if mirror is None or mirror.excluded_until > now:
            return False
        excluded = sum(other.excluded_until > now for other in self.known.values())
        if excluded + 1 > self.bounds.most * len(self.known):
            return False  # if most are behind, the repository is: some mirror must be asked
        factor = min(1 << mirror.behind_streak, MAX_BEHIND_FACTOR)
        mirror.excluded_until = now + self.bounds.behind * factor
        mirror.behind_streak = min(mirror.behind_streak + 1, MAX_BEHIND_FACTOR)
        return True

    def is_wrong_if_unverifiable(self, now: int, unit: int) -> bool:
        """Notes an answer signed by unknown keys, or other bytes under a path without a version.

        Returns whether that counts as invalid. For a while the mirror may be ahead of what is verified; if it
        gives nothing good for longer, it is not.
        """
        mirror = self.known.get(unit)
        if mirror is None:
            return False
        if mirror.unverifiable_since is None:
            mirror.unverifiable_since = now
        return now - mirror.unverifiable_since >= MAX_AHEAD_FACTOR * self.bounds.behind

    def record_wrong(self, now: int, unit: int) -> None:
        """Notes an invalid answer, which counts against the build if other mirrors of it give some too."""
        if mirror := self.known.get(unit):
            mirror.wrong_at = now

    def exclude_wrong(self, now: int, unit: int) -> bool:
        """Notes an invalid answer; returns whether the mirror is excluded.

        The last mirror that is not excluded stays so: whatever it gives is verified all the same.
        """
        mirror = self.known.get(unit)
        if mirror is None:
            return False
        self.record_wrong(now, unit)
        if not any(other is not mirror and other.excluded_until <= now for other in self.known.values()):
            return False
        factor = min(1 << mirror.wrong_streak, MAX_WRONG_FACTOR)
        mirror.excluded_until = max(mirror.excluded_until, now + self.bounds.wrong * factor)
        mirror.wrong_streak = min(mirror.wrong_streak + 1, MAX_WRONG_FACTOR)
        return True

    def suspect(self, now: int, units: set[int]) -> list[int]:
        """Notes an invalid file with parts of several mirrors; returns the mirrors that this convicts.

        A mirror with parts in invalid files together with two different mirrors is what they have in common.
        """
        memory = WRONG_MEMORY_FACTOR * self.bounds.wrong
        convicted = []
        for unit in units & self.known.keys():
            suspected_with = self.known[unit].suspected_with
            suspected_with.update({other: now for other in units if other != unit})
            for other in [other for other, at in suspected_with.items() if now - at > memory]:
                del suspected_with[other]
            if len(suspected_with) >= MIN_SUSPICIONS and len(units) > 1:
                convicted.append(unit)
        counts = {unit: len(self.known[unit].suspected_with) for unit in convicted}
        return [unit for unit in convicted if counts[unit] == max(counts.values())]

    def counts_against_build(self, now: int, unit: int) -> bool:
        """Returns whether an invalid answer of this mirror counts against its build.

        It does if two of the build's mirrors gave one recently, or if the build has no other mirror. One
        machine's invalid answers are held against the machine alone.
        """
        mirror = self.known.get(unit)
        if mirror is None:
            return False
        same_build = [
            other for name, other in self.known.items() if other.build == mirror.build and name != unit
        ]
        since = now - WRONG_MEMORY_FACTOR * self.bounds.wrong
        return not same_build or any(
            other.wrong_at is not None and other.wrong_at >= since for other in same_build
        )
