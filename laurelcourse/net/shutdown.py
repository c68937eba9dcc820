"""How a relay shuts down, as a pure state machine.

| state | listener | readiness (empty query) | a client between reqs | one with an open req |
| --- | --- | --- | --- | --- |
| serving | accepts | ready, once there is a list of units | stays | stays |
| leaving | accepts: the load balancer still sends some | as before | stays, may ask | stays |
| draining | closed, the backlog is taken | refused | closes, its reqs answered | closes, answered |
| over | closed | refused | none is left | none is left |

A new client, which has asked nothing yet, counts as between reqs only once its first req has had time to
arrive. Late in a shutdown nothing new is read, and what may be cut off before its answer is shed
(`ClientAdmission.reads_until`).
"""

SERVING = "serving"
LEAVING = "leaving"
DRAINING = "draining"
OVER = "over"


class Shutdown:
    """The state of a relay's shutdown. Times are whole microseconds."""

    __slots__ = ("began_at", "max_leaving", "min_leaving", "quiet_time", "state")

    def __init__(self, quiet_time: int, max_leaving: int, min_leaving: int = 0) -> None:
        """`quiet_time` without a new connection ends the leaving, within its minimum and maximum."""
        self.state, self.began_at = SERVING, 0
        self.quiet_time, self.max_leaving, self.min_leaving = quiet_time, max_leaving, min_leaving

    def begin(self, now: int) -> bool:
        """Begins the shutdown; returns False if it had begun before."""
        if self.state != SERVING:
            return False
        self.state, self.began_at = LEAVING, now
        return True

    def step(self, now: int, last_accepted_at: int, open_clients: int) -> str:
        """Returns the state, from the time of the last new connection and the number of open ones."""
        elapsed = now - self.began_at
        quiet = now - max(self.began_at, last_accepted_at) >= self.quiet_time and elapsed >= self.min_leaving
        if self.state == LEAVING and (quiet or elapsed >= self.max_leaving):
            self.state = DRAINING
        elif self.state == DRAINING and not open_clients:
            self.state = OVER
        return self.state
