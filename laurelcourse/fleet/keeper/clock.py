"""A leader's account of time, from which each batch gets its `at`. Whole microseconds."""


class Account:
    """Goes on from the books' time as the leader's own NOOP was applied, by its monotonic clock. While
    nobody leads no time passes, so what is freed after a time is freed later, never sooner."""

    __slots__ = ("base", "begun", "last")

    def __init__(self, now: int, books_time: int) -> None:
        self.begun, self.base = now, books_time
        self.last = books_time

    def at(self, now: int) -> int:
        """Never less than any answer before, whatever the clock does."""
        self.last = max(self.last, self.base + now - self.begun)
        return self.last
