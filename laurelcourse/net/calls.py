"""HTTP calls: an answer read by its deadline, and the pauses after calls that fail."""

import logging

from laurelcourse.chance import Chance
from laurelcourse.net.connection import ENDED, GOT, Connection
from laurelcourse.net.http import HttpError, Response
from laurelcourse.net.limits import Limits

log = logging.getLogger(__name__)


def answer(conn: Connection, until: int, most: int) -> Response:
    """The whole answer; raises on one that breaks, stays out, stops half-way or can't be read."""
    found, begun = Response(most), False
    while not found.done:
        reason = conn.read(until)
        if reason == GOT:
            if not begun:
                begun, until = True, min(until, conn.scheduler.now() + conn.limits.part)
            found.feed(conn.buffer.take())
        elif reason == ENDED:
            found.ended()
            if not found.done:
                raise HttpError("the connection ended inside an answer")
        else:
            raise HttpError("no whole answer in time")
    return found


class Pauses:
    """Growing, jittered pauses between failed calls; the log hears of a change alone."""

    def __init__(self, limits: Limits, seed: int, what: str, most: int | None = None) -> None:
        """`most`: microseconds that a pause is at most, and half of it more by chance; else the limits'."""
        self.first, self.what = limits.pause_first, what
        self.most = limits.pause_most if most is None else max(min(limits.pause_most, most), self.first)
        self.chance, self.pause = Chance(seed), 0

    def failed(self, fault: object) -> int:
        """Notes a failed call; how long to wait before the next."""
        if not self.pause:
            log.warning("%s fails", self.what, extra={"fault": fault})
        self.pause = min(max(2 * self.pause, self.first), self.most)
        return self.pause // 2 + self.chance.below(self.pause)

    def worked(self) -> None:
        if self.pause:
            log.info("%s is back", self.what)
        self.pause = 0
