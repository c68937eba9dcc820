"""Which mirrors rest, for how long, and whose wrong answers tell against a release. Pure.

A mirror that is merely behind rests for a little, and never more than a share of all for that; one that lies
rests long. `Balancer` has the last word on who is asked: a rest reaches it as the directory's word.
"""

from typing import NamedTuple

LONGEST_BEHIND, LONGEST_WRONG = 16, 64  # a rest on end, as a multiple of the first
SUSPECTED = 2  # files in whose wrong bytes a mirror had a part, each beside another one
STRANGE_LASTS = 4  # of the rest for being behind: a mirror ahead of the others is not ahead for longer
REMEMBERED = 16  # of the rest for a lie: so long a wrong answer counts


class Bounds(NamedTuple):
    """Whole microseconds; `most` is the share of mirrors that may rest for being behind."""

    behind: int
    wrong: int
    most: float


class Mirror:
    __slots__ = ("build", "lagged", "lied", "odd_since", "suspected", "until", "wrong_at")

    def __init__(self, build: int) -> None:
        self.build = build
        self.lagged = self.lied = 0  # on end
        self.until = 0  # rests until then
        self.odd_since: int | None = None
        self.wrong_at: int | None = None
        self.suspected: dict[int, int] = {}  # by the other mirror that had a part, when


class Mirrors:
    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.known: dict[int, Mirror] = {}

    def listed(self, builds: dict[int, int]) -> None:
        """The mirrors that are ready, by their builds; one with another build is another mirror."""
        old = self.known
        self.known = {
            unit: old[unit] if unit in old and old[unit].build == build else Mirror(build)
            for unit, build in builds.items()
        }

    def is_excluded(self, now: int, unit: int) -> bool:
        return unit in self.known and self.known[unit].until > now

    def good(self, unit: int) -> None:
        """An answer that was borne out."""
        if one := self.known.get(unit):
            one.lagged = one.lied = 0
            one.odd_since = None
            one.suspected.clear()

    def behind(self, now: int, unit: int) -> bool:
        """It gave what is older than what is proven; whether it rests now."""
        one = self.known.get(unit)
        if one is None or one.until > now:
            return False
        resting = sum(other.until > now for other in self.known.values())
        if resting + 1 > self.bounds.most * len(self.known):
            return False  # if most are behind it is the repository that is: someone must be asked
        one.until = now + self.bounds.behind * min(1 << one.lagged, LONGEST_BEHIND)
        one.lagged = min(one.lagged + 1, LONGEST_BEHIND)
        return True

    def strange(self, now: int, unit: int) -> bool:
        """It gave what nobody known signed, or other bytes under a path that tells no version; whether that
        is a lie. For a while it may be a mirror ahead of what is proven; if it gives nothing good for longer,
        it is none."""
        one = self.known.get(unit)
        if one is None:
            return False
        one.odd_since = now if one.odd_since is None else one.odd_since
        return now - one.odd_since >= STRANGE_LASTS * self.bounds.behind

    def blame(self, now: int, unit: int) -> None:
        """It gave what is proven wrong, which counts against its build if others of it do too."""
        if one := self.known.get(unit):
            one.wrong_at = now

    def wrong(self, now: int, unit: int) -> bool:
        """It gave what is proven wrong; whether it rests now. The last one awake stays so: what it gives is
        proven all the same."""
        one = self.known.get(unit)
        if one is None:
            return False
        self.blame(now, unit)
        if not any(other is not one and other.until <= now for other in self.known.values()):
            return False
        one.until = max(one.until, now + self.bounds.wrong * min(1 << one.lied, LONGEST_WRONG))
        one.lied = min(one.lied + 1, LONGEST_WRONG)
        return True

    def suspect(self, now: int, units: set[int]) -> list[int]:
        """A file of several mirrors' parts was wrong: which of them that convicts, by what is known so far.

        One that had a part in wrong files beside two different mirrors is the one they have in common."""
        memory = REMEMBERED * self.bounds.wrong
        convicted = []
        for unit in units & self.known.keys():
            seen = self.known[unit].suspected
            seen.update({other: now for other in units if other != unit})
            for other in [other for other, at in seen.items() if now - at > memory]:
                del seen[other]
            if len(seen) >= SUSPECTED and len(units) > 1:
                convicted.append(unit)
        seen = {unit: len(self.known[unit].suspected) for unit in convicted}
        return [unit for unit in convicted if seen[unit] == max(seen.values())]

    def tells_against_build(self, now: int, unit: int) -> bool:
        """Whether a wrong answer of this mirror is to count against its build: two of the build's mirrors
        gave one lately, or it has no other. One machine's lies are held against the machine alone."""
        one = self.known.get(unit)
        if one is None:
            return False
        fellows = [other for name, other in self.known.items() if other.build == one.build and name != unit]
        recent = now - REMEMBERED * self.bounds.wrong
        return not fellows or any(
            other.wrong_at is not None and other.wrong_at >= recent for other in fellows
        )
