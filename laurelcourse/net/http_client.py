"""HTTP calls: reading a response by its deadline, and backing off after calls that fail."""

import logging

from laurelcourse.net.connection import ENDED, GOT, Connection
from laurelcourse.net.http import HttpError, Response
from laurelcourse.net.limits import Limits
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)


def read_response(conn: Connection, deadline: int, max_body: int, min_response_time: int = 0) -> Response:
    """Reads a whole response.

    Once it has begun it has the limits' response time, or `min_response_time` if that is longer, both in
    microseconds.
    Raises HttpError if it breaks, does not come in time, stalls half-way or cannot be parsed.
    """
    response, begun = Response(max_body), False
    response_time = max(conn.limits.response_time, min_response_time)
    while not response.done:
        reason = conn.read(deadline)
        if reason == GOT:
            if not begun:
                begun, deadline = True, min(deadline, conn.scheduler.now() + response_time)
            response.feed(conn.buffer.take())
        elif reason == ENDED:
            response.end_of_stream()
            if not response.done:
                raise HttpError("the connection ended inside an answer")
        else:
            raise HttpError("no whole answer in time")
    return response


class Backoff:
    """Exponential backoff with jitter between failed calls. Only changes of state are logged."""

    def __init__(self, limits: Limits, seed: int, service: str, max_delay: int | None = None) -> None:
        """`max_delay`: in microseconds, before jitter adds up to half of it; else that of the limits."""
        self.first_delay, self.service = limits.backoff_first, service
        self.max_delay = (
            limits.backoff_max
            if max_delay is None
            else max(min(limits.backoff_max, max_delay), self.first_delay)
        )
        self.rng, self.delay = Prng(seed), 0

    def failed(self, fault: object) -> int:
        """Records a failed call; returns how long to wait before the next, in microseconds."""
        if not self.delay:
            log.warning("%s fails", self.service, extra={"fault": fault})
        self.delay = min(max(2 * self.delay, self.first_delay), self.max_delay)
        return self.delay // 2 + self.rng.below(self.delay)

    def succeeded(self) -> None:
        """Records a call that worked."""
        if self.delay:
            log.info("%s is back", self.service)
        self.delay = 0
