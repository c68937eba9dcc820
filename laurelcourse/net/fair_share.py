"""Places that holders share: each may have as many as are left free for all others. Pure.

However many holders take all they can, some places stay free, and a new one finds room.
"""

from collections import Counter
from collections.abc import Hashable


class FairShare:
    """Counts the places of each holder."""

    def __init__(self, max_places: int) -> None:
        self.max_places = max_places
        self.taken = 0
        self.by_holder: Counter[Hashable] = Counter()

    def take(self, holder: Hashable) -> bool:
        """Takes a place; returns False if the holder has as many as are free."""
        held = self.by_holder.get(holder, 0)
        if held >= self.max_places - self.taken:
            return False
        self.by_holder[holder] = held + 1
        self.taken += 1
        return True

    def give_back(self, holder: Hashable) -> None:
        """Gives back a place that was taken."""
        self.taken -= 1
        self.by_holder[holder] -= 1
        if not self.by_holder[holder]:
            del self.by_holder[holder]
