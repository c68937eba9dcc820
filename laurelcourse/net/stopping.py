"""How a relay stops, as a machine of states: pure, so that a table tells it whole.

| state | listener | readiness (empty query) | a client between reqs | one with an open req |
| --- | --- | --- | --- | --- |
| serving | accepts | ready, once there is a list of units | stays | stays |
| leaving | accepts: the front still sends some | as before | stays, may ask | stays |
| draining | closed, what came is taken | refused | closes, its words answered | closes, answered |
| over | closed | refused | none is left | none is left |

A new client, which has asked nothing yet, is between reqs only once its first one has had time to come.
Late in a stop nothing new is read, and what may be cut off before its answer is shed (`Doors.late`).
"""

SERVING, LEAVING, DRAINING, OVER = "serving", "leaving", "draining", "over"


class Stop:
    """Times are whole microseconds: `quiet` without a new connection ends the leaving, not before `least`,
    and `most` at the most."""

    __slots__ = ("began", "least", "most", "quiet", "state")

    def __init__(self, quiet: int, most: int, least: int = 0) -> None:
        self.state, self.quiet, self.most, self.least, self.began = SERVING, quiet, most, least, 0

    def begin(self, now: int) -> bool:
        """Whether this is the first word of a stop."""
        if self.state != SERVING:
            return False
        self.state, self.began = LEAVING, now
        return True

    def step(self, now: int, accepted: int, clients: int) -> str:
        """`accepted`: when the last connection came; `clients`: open ones, at all fronts."""
        still = now - max(self.began, accepted) >= self.quiet and now - self.began >= self.least
        if self.state == LEAVING and (still or now - self.began >= self.most):
            self.state = DRAINING
        elif self.state == DRAINING and not clients:
            self.state = OVER
        return self.state
