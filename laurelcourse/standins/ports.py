"""Ports for processes that bind them later, reserved so that nothing else takes them meanwhile.

A port that was bound to 0 and closed again may be taken before the process it is meant for binds it: by an
outgoing connection, by another listener on port 0, or by another test process. The ports handed out here lie
below the range from which the kernel picks, and each process takes them from blocks of its own.
"""

import itertools
import socket
from collections.abc import Iterator

from laurelcourse.standins.base import RELAY_HOST

# Nobody connects to or from this address: a socket bound there only marks a block of ports as taken.
RESERVATION_HOST = "127.0.0.250"
FIRST_PORT = 10_000
END_PORT = 32_000  # below the kernel's default range for outgoing connections, which starts at 32,768
BLOCK_SIZE = 50


class NoFreePortError(Exception):
    """All blocks of ports are taken by other processes."""


def _reserve_block() -> tuple[int, socket.socket]:
    """Returns a block's first port and the socket that holds the block until it is closed."""
    for first in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            holder.bind((RESERVATION_HOST, first))
        except OSError:
            holder.close()
            continue
        return first, holder
    raise NoFreePortError(f"all ports from {FIRST_PORT} to {END_PORT - 1} are reserved by other processes")


class PortReserver:
    """Hands out each port once, from blocks that this process holds until it ends."""

    def __init__(self) -> None:
        self._holders: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def reserve(self, kind: int, host: str) -> int:
        """Returns a port that is free at `host` for sockets of this kind.

        Raises NoFreePortError if other processes hold all blocks.
        """
        for port in itertools.chain(self._ports, self._next_blocks()):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    continue
                return port
        raise AssertionError("unreachable: blocks run out with NoFreePortError")

    def _next_blocks(self) -> Iterator[int]:
        while True:
            first, holder = _reserve_block()
            self._holders.append(holder)
            self._ports = iter(range(first, first + BLOCK_SIZE))
            yield from self._ports


_RESERVER = PortReserver()


def reserve_port(kind: int = socket.SOCK_STREAM, host: str = RELAY_HOST) -> int:
    """Returns a port at `host` that no other process using this function, and no connection, takes."""
    return _RESERVER.reserve(kind, host)
