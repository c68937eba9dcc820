"""Scripted servers on loopback: a listener with a thread for each connection, and what all of them share."""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

# Addresses that no connection takes as its source, so that a port found free stays free.
RELAY, STAND_IN = "127.0.0.2", "127.0.0.3"


def until(met: Callable[[], object], seconds: float = 5.0) -> object:
    """Waits for a condition, and fails when it is not met in time."""
    over = time.monotonic() + seconds
    while not (found := met()):
        assert time.monotonic() < over, "not in time"
        time.sleep(0.005)
    return found


class Stand:
    """A listener on a port that the system gives; each connection has a thread."""

    def __init__(self, port: int = 0) -> None:
        self.sock = socket.create_server((STAND_IN, port))
        self.port, self.mode = self.sock.getsockname()[1], "ok"
        self.conns: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def at(self) -> str:
        return f"{STAND_IN}:{self.port}"

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn = self.sock.accept()[0]
                self.conns.append(conn)
                threading.Thread(target=self.guarded, args=(conn,), daemon=True).start()

    def guarded(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError), conn, conn.makefile("rb") as stream:
            self.serve(conn, stream)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in self.conns:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def reset(conn: socket.socket) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def exactly(stream: BinaryIO, count: int) -> bytes:
    found = stream.read(count)
    if len(found) < count:
        raise EOFError
    return found
