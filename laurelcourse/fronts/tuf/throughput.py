"""Measures whether a mirror sends fast enough, and its latency independent of file size and client. Pure."""

SECOND_US = 1_000_000
REFERENCE_BYTES = 1 << 20  # a file's time is scaled to this size, so that large files don't count as slow


class ThroughputMonitor:
    """Counts bytes against the time for which the mirror was waited for.

    Silence alone does not show a stall: one byte a second is one too. Time spent waiting for the client does
    not count.
    """

    __slots__ = (
        "min_rate",
        "total_bytes",
        "total_waited",
        "window",
        "window_bytes",
        "window_waited",
    )

    def __init__(self, min_rate: int, window: int) -> None:
        """`min_rate`: bytes a second, over each `window` microseconds of waiting."""
        self.min_rate = min_rate
        self.window = window
        self.window_waited = 0
        self.window_bytes = 0
        self.total_waited = 0
        self.total_bytes = 0

    def window_left(self) -> int:
        """Returns how many microseconds the next read may wait until the window is over."""
        return max(self.window - self.window_waited, 1)

    def record(self, waited: int, count: int) -> bool:
        """Counts a read; returns False if the mirror has stalled."""
        self.window_waited += waited
        self.total_waited += waited
        self.window_bytes += count
        self.total_bytes += count
        if self.window_waited < self.window:
            return True
        is_fast_enough = self.window_bytes * SECOND_US >= self.min_rate * self.window_waited
        self.window_waited = self.window_bytes = 0
        return is_fast_enough

    def latency(self, first_byte: int) -> int:
        """Returns the latency in microseconds: the time to the first byte, and the rest scaled."""
        rest = max(self.total_waited - first_byte, 0)
        if self.total_bytes > REFERENCE_BYTES:
            rest = rest * REFERENCE_BYTES // self.total_bytes
        return first_byte + rest
