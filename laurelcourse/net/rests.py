"""How long a kept connection may rest, learned from those that broke at their next query."""

from laurelcourse.net.limits import Limits


class Rests:
    """Counts by rest time, a doubling at a place; the first place holds new connections, to compare with."""

    def __init__(self, limits: Limits) -> None:
        self.limits, self.most, self.wary = limits, limits.idle, False
        self.seen = [[0.0, 0.0] for _ in range(self._place(limits.idle) + 1)]

    def _place(self, rested: int) -> int:
        return (rested // self.limits.settle).bit_length()

    def note(self, rested: int, broke: bool) -> None:
        """A query after so long a rest, 0 on a new connection, broke without a word, or did not."""
        one = self.seen[min(self._place(rested), len(self.seen) - 1)]
        one[:] = [one[0] * self.limits.rest_fade + 1, one[1] * self.limits.rest_fade + broke]
        if broke:
            self._judge()

    def fade(self) -> None:
        """What is no longer tried is forgotten, and so tried again."""
        for one in self.seen:
            one[:] = [count * self.limits.rest_forget for count in one]
        self._judge()

    def _judge(self) -> None:
        few, margin = self.limits.rest_few, self.limits.rest_margin
        (tried, broken), *rested = self.seen
        usual = broken / max(tried, 1) + margin
        worse = (place for place, (tried, broke) in enumerate(rested) if broke >= max(few, usual * tried))
        self.most = min(self.limits.idle, self.limits.settle << next(worse, 62))
        tried, broken = (sum(counts) for counts in zip(*self.seen, strict=True))
        self.wary = broken >= few and broken > margin * tried
