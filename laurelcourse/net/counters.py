"""Counts of what the relay takes in, sends and answers."""

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        self.counts[name] += count

    def fields(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
