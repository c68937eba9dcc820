"""Units that speak PostgreSQL's protocol, version 3, and a client; written from its public description."""

import contextlib
import itertools
import socket
import struct
import time
from typing import BinaryIO

from laurelcourse.standins.base import RELAY_HOST, StandIn, read_exactly, reset_on_close

PROTOCOL_VERSION = 3 << 16


def pack_message(kind: bytes, payload: bytes = b"") -> bytes:
    """Returns a message with its length."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def read_message(stream: BinaryIO) -> tuple[bytes, bytes]:
    """Returns kind and payload of the next message. Raises EOFError."""
    kind, length = read_exactly(stream, 1), struct.unpack("!I", read_exactly(stream, 4))[0]
    return kind, read_exactly(stream, length - 4)


def pack_error(code: str) -> bytes:
    """Returns an ErrorResponse with this SQLSTATE."""
    return pack_message(b"E", f"SERROR\0C{code}\0Mno\0\0".encode())


COLUMN = b"blob\0" + struct.pack("!IHIHIH", 0, 0, 17, 0xFFFF, 0xFFFFFFFF, 1)
ROW_DESCRIPTION = pack_message(b"T", b"\0\1" + COLUMN)
ROW = ROW_DESCRIPTION + pack_message(b"D", b"\0\1\0\0\0\2\x9f\x03") + pack_message(b"C", b"SELECT 1\0")
READY = pack_message(b"Z", b"I")
STARTUP_PARAMETERS = struct.pack("!I", PROTOCOL_VERSION) + b"user\0api\0database\0ledger\0\0"
STARTUP = struct.pack("!I", len(STARTUP_PARAMETERS) + 4) + STARTUP_PARAMETERS
LARGE_BLOB = bytes(range(256)) * 256
LARGER_BLOB = LARGE_BLOB * 6

# By mode: what a unit sends in answer to a query.
UNIT_ANSWERS = {
    "larger": ROW_DESCRIPTION
    + pack_message(b"D", struct.pack("!HI", 1, len(LARGER_BLOB)) + LARGER_BLOB)
    + pack_message(b"C", b"SELECT 1\0")
    + READY,
    "large": ROW.replace(
        b"\0\0\0\x0c\0\1\0\0\0\2\x9f\x03",
        struct.pack("!IHI", len(LARGE_BLOB) + 10, 1, len(LARGE_BLOB)) + LARGE_BLOB,
    )
    + READY,
    "ok": ROW + READY,
    "busy": pack_error("53300") + READY,
    "failed": pack_error("XX000") + READY,
    "syntax": pack_error("42601") + READY,
    "nonsense": b"HTTP/1.1 400 Bad\r\n\r\n",
    "twice": ROW + ROW + READY,
    "unready": ROW,
    "torn": ROW[:-3],
    "half": ROW[:-20],
    "huge": ROW_DESCRIPTION + b"D\xb3\0\0\0\0\1\xb3",
    "false": pack_error("53300"),
    "more": ROW + READY + ROW,
    "noise": ROW + READY + b"\0\xff",
    "shape": ROW_DESCRIPTION
    + pack_message(b"D", b"\0\2\0\0\0\1a\0\0\0\1b")
    + pack_message(b"C", b"SELECT 1\0")
    + READY,
    "noisy": pack_message(b"N", b"SNOTICE\0\0") + pack_message(b"S", b"gauges\0avg_ms=3\0") + ROW + READY,
}

DRIP_BYTES = 20
DRIP_INTERVAL = 0.15  # seconds
LATE_DELAY = 0.005  # seconds


class UnitStandIn(StandIn):
    """A unit that records its queries.

    `mode`: a key of UNIT_ANSWERS, or early (closed before the handshake), full, mute (no handshake), stale
    (reset at the second query), reset, slowSECONDS, silent, drip (in small pieces), late (a second answer).
    """

    def __init__(self) -> None:
        self.queries: list[str] = []
        self.times: list[float] = []  # when each query came, monotonic seconds
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves one connection."""
        read_exactly(stream, struct.unpack("!I", read_exactly(stream, 4))[0] - 4)
        if self.mode in ("early", "full", "mute"):
            conn.sendall(pack_message(b"E", b"SFATAL\0C53300\0Mfull\0\0") if self.mode == "full" else b"")
            return stream.read() if self.mode == "mute" else None
        conn.sendall(pack_message(b"R", bytes(4)) + READY)
        for number in itertools.count():
            if number and self.mode == "stale":
                stream.read(1)  # the relay learns of the close only with its next query's first byte
                return reset_on_close(conn)
            kind, body = read_message(stream)
            if kind == b"Q":
                self.queries.append(body[:-1].decode())
                self.times.append(time.monotonic())
            if self.mode == "reset":
                return reset_on_close(conn)
            self._send_answer(conn)
            if self.mode in ("unready", "torn"):
                return None

    def _send_answer(self, conn: socket.socket) -> None:
        if self.mode.startswith("slow"):
            time.sleep(float(self.mode[4:]))
        if self.mode not in ("silent", "drip"):
            conn.sendall(UNIT_ANSWERS.get(self.mode, ROW + READY))
        if self.mode == "drip":
            for offset in range(0, len(ROW + READY), DRIP_BYTES):
                time.sleep(DRIP_INTERVAL)
                conn.sendall((ROW + READY)[offset : offset + DRIP_BYTES])
        if self.mode == "late":
            time.sleep(LATE_DELAY)
            conn.sendall(ROW.replace(b"\x9f\x03", b"\x66\x66") + READY)


class PgClient:
    """A client of a relay."""

    def __init__(self, port: int, first: bytes = b"") -> None:
        """Connects; `first` is sent right behind the startup message."""
        self.sock = socket.create_connection((RELAY_HOST, port))
        self.sock.settimeout(5)
        self.stream = self.sock.makefile("rb")
        self.sock.sendall(STARTUP + first)
        self.answer()

    def answer(self) -> tuple[str, str, bytes]:
        """Returns the letters of an answer up to ready or the end, its error code, and its row."""
        letters, code, row = "", "", b""
        with contextlib.suppress(EOFError, ConnectionError):
            while letters[-1:] != "Z":
                kind, body = read_message(self.stream)
                letters += kind.decode()
                code = body.split(b"\0C")[1][:5].decode() if kind == b"E" else code
                row = body if kind == b"D" else row
        return letters, code, row

    def send(self, query: str) -> None:
        """Sends a query."""
        self.sock.sendall(pack_message(b"Q", query.encode() + b"\0"))

    def ask(self, query: str) -> tuple[str, str, bytes]:
        """Sends a query and returns its answer."""
        self.send(query)
        return self.answer()


QUERY_IDS = itertools.count(1)


def build_query(route: str = "read", timeout_ms: int = 2000, more: str = "") -> str:
    """Returns a query of a route with an id of its own; `more` is added to its comment."""
    more += ",k=5c0f6e1a2b3d4c59" if route == "mark" else ""
    comment = f"/* id={next(QUERY_IDS):016x},c={route},d={timeout_ms}{more} */"
    if route == "read":
        return f"SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655' {comment}"
    return f"INSERT INTO rows (handle, blob) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING blob {comment}"
