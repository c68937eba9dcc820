"""Counters of what the relay receives, sends and answers."""

from collections import Counter


class Counters:
    """Named counts; they are printed in the log."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Increments a counter."""
        self.counts[name] += count

    def with_prefix(self, prefix: str) -> "Counters":
        """Returns a view for one front: the same counts, with names that have this prefix."""
        return PrefixedCounters(self, prefix)

    def fields(self) -> dict[str, int]:
        """Returns all counts, sorted by name."""
        return dict(sorted(self.counts.items()))


class PrefixedCounters(Counters):
    """Counters whose names get a prefix."""

    def __init__(self, parent: Counters, prefix: str) -> None:
        self.counts, self.prefix = parent.counts, prefix

    def add(self, name: str, count: int = 1) -> None:
        """Increments a counter."""
        self.counts[f"{self.prefix}.{name}"] += count
