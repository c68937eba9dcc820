"""The time that a leader gives its batches. Whole microseconds."""


class LeaderClock:
    """Continues the state machine's time by the leader's monotonic clock.

    It starts as the leader's own NOOP is applied. While nobody leads no time passes, so what is freed after a
    time is freed later, never sooner.
    """

    __slots__ = ("last", "started_at", "started_with")

    def __init__(self, now: int, books_time: int) -> None:
        self.started_at, self.started_with = now, books_time
        self.last = books_time

    def at(self, now: int) -> int:
        """Returns the state machine's time, never less than before, whatever the clock does."""
        self.last = max(self.last, self.started_with + now - self.started_at)
        return self.last
