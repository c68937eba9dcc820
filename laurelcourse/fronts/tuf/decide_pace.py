"""Whether a mirror goes on, and how long it took, whatever the size and the client. Pure."""

USUAL = 1 << 20  # bytes to which the time for a file is scaled, so that large ones don't pass for slowness


class Pace:
    """Bytes against the time that the mirror was waited for. Silence alone does not tell a stall: one byte a
    second is one too. Time in which the client was waited for does not count."""

    __slots__ = ("got", "over", "rate", "total", "waited", "window")

    def __init__(self, rate: int, over: int) -> None:
        """At least `rate` bytes a second, over each `over` microseconds of waiting."""
        self.rate, self.over = rate, over
        self.window = self.got = 0  # of the stretch that is being judged
        self.waited = self.total = 0  # of all

    def left(self) -> int:
        """How long the next read may wait before the stretch is judged, in microseconds."""
        return max(self.over - self.window, 1)

    def add(self, waited: int, count: int) -> bool:
        """A read that waited so long for so many bytes; False when the mirror has stalled."""
        self.window += waited
        self.waited += waited
        self.got += count
        self.total += count
        if self.window < self.over:
            return True
        enough = self.got * 1_000_000 >= self.rate * self.window
        self.window = self.got = 0
        return enough

    def lag(self, first: int) -> int:
        """Microseconds as for a usual size: the time to the first byte, and the rest scaled."""
        rest = max(self.waited - first, 0)
        return first + (rest * USUAL // self.total if self.total > USUAL else rest)
