"""One HTTP call on a connection: written, and its answer read, by a deadline."""

from laurelcourse.net.connection import ENDED, GOT, Connection
from laurelcourse.net.http import HttpError, Response


def answer(conn: Connection, until: int, most: int) -> Response:
    """The whole answer; raises on one that breaks, stays out or can't be read."""
    found = Response(most)
    while not found.done:
        reason = conn.read(until)
        if reason == GOT:
            found.feed(conn.buffer.take())
        elif reason == ENDED:
            found.ended()
            if not found.done:
                raise HttpError("the connection ended inside an answer")
        else:
            raise HttpError("no whole answer in time")
    return found
