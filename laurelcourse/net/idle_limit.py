"""How long a kept connection may stay idle, learned from those that broke at their next query."""

from laurelcourse.net.limits import Limits

NO_BUCKET = 62  # as a shift it makes any idle time longer than the limit


class IdleLimit:
    """Counts queries and broken connections by idle time, in buckets that double.

    The first bucket holds new connections, to compare with.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits, self.max_idle = limits, limits.max_idle
        self.is_wary = False  # connections break often at their next query
        self.buckets = [[0.0, 0.0] for _ in range(self._bucket(limits.max_idle) + 1)]  # queries, broken

    def _bucket(self, idle: int) -> int:
        return (idle // self.limits.settle_time).bit_length()

    def record(self, idle: int, broke: bool) -> None:
        """Records a query after an idle time, 0 on a new connection, and whether the connection just
        broke.
        """
        bucket = self.buckets[min(self._bucket(idle), len(self.buckets) - 1)]
        bucket[:] = [
            bucket[0] * self.limits.idle_count_decay + 1,
            bucket[1] * self.limits.idle_count_decay + broke,
        ]
        if broke:
            self._update()

    def decay(self) -> None:
        """Forgets gradually, so that idle times which are no longer used are tried again."""
        for bucket in self.buckets:
            bucket[:] = [count * self.limits.idle_sweep_decay for count in bucket]
        self._update()

    def _update(self) -> None:
        min_broken, margin = self.limits.idle_min_broken, self.limits.idle_margin
        (queries, broken), *idle_buckets = self.buckets
        usual_share = broken / max(queries, 1) + margin
        worse = (
            index
            for index, (queries, broken) in enumerate(idle_buckets)
            if broken >= max(min_broken, usual_share * queries)
        )
        self.max_idle = min(self.limits.max_idle, self.limits.settle_time << next(worse, NO_BUCKET))
        queries, broken = (sum(counts) for counts in zip(*self.buckets, strict=True))
        self.is_wary = broken >= min_broken and broken > margin * queries
