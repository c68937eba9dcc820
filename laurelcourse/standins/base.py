"""Stand-ins for outside systems on loopback: a listener with a thread per connection, and shared helpers."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

# Addresses that no connection has as its source, so that a free port stays free.
RELAY_HOST = "127.0.0.2"
STAND_IN_HOST = "127.0.0.3"

POLL_INTERVAL = 0.005  # seconds


def wait_until(condition: Callable[[], object], timeout: float = 5.0) -> object:
    """Waits until a condition returns something true, and returns that.

    Raises AssertionError after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while not (result := condition()):
        assert time.monotonic() < deadline, "not in time"
        time.sleep(POLL_INTERVAL)
    return result


class StandIn:
    """A server on a port that the system chooses; `mode` says how it behaves."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server((STAND_IN_HOST, port))
        self.port = self.listener.getsockname()[1]
        self.mode = "ok"
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{STAND_IN_HOST}:{self.port}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn = self.listener.accept()[0]
                self.connections.append(conn)
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError), conn, conn.makefile("rb") as stream:
            self.serve(conn, stream)

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves one connection in its own thread, until it returns or raises OSError or EOFError."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the listener and all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in self.connections:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def reset_on_close(conn: socket.socket) -> None:
    """Has a connection end with a reset when it is closed."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Returns so many bytes. Raises EOFError if there are fewer."""
    data = stream.read(count)
    if len(data) < count:
        raise EOFError
    return data
