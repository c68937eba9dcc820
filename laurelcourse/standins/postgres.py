"""Units that speak PostgreSQL's protocol, version 3, and a client; written from its public description."""

import contextlib
import itertools
import socket
import struct
import time
from typing import BinaryIO

from laurelcourse.standins.base import RELAY, Stand, exactly, reset


def pg(kind: bytes, payload: bytes = b"") -> bytes:
    return kind + struct.pack("!I", len(payload) + 4) + payload


def message(stream: BinaryIO) -> tuple[bytes, bytes]:
    kind, length = exactly(stream, 1), struct.unpack("!I", exactly(stream, 4))[0]
    return kind, exactly(stream, length - 4)


COLUMN = b"blob\0" + struct.pack("!IHIHIH", 0, 0, 17, 0xFFFF, 0xFFFFFFFF, 1)
TOLD = pg(b"T", b"\0\1" + COLUMN)
ROW = TOLD + pg(b"D", b"\0\1\0\0\0\2\x9f\x03") + pg(b"C", b"SELECT 1\0")
IDLE = pg(b"Z", b"I")
WORDS = struct.pack("!I", 3 << 16) + b"user\0api\0database\0ledger\0\0"
HELLO = struct.pack("!I", len(WORDS) + 4) + WORDS


def failure(code: str) -> bytes:
    return pg(b"E", f"SERROR\0C{code}\0Mno\0\0".encode())


LARGE = bytes(range(256)) * 256
LARGER = LARGE * 6
UNIT_ANSWERS = {
    "larger": TOLD + pg(b"D", struct.pack("!HI", 1, len(LARGER)) + LARGER) + pg(b"C", b"SELECT 1\0") + IDLE,
    "large": ROW.replace(
        b"\0\0\0\x0c\0\1\0\0\0\2\x9f\x03", struct.pack("!IHI", len(LARGE) + 10, 1, len(LARGE)) + LARGE
    )
    + IDLE,
    "ok": ROW + IDLE,
    "busy": failure("53300") + IDLE,
    "failed": failure("XX000") + IDLE,
    "syntax": failure("42601") + IDLE,
    "nonsense": b"HTTP/1.1 400 Bad\r\n\r\n",
    "twice": ROW + ROW + IDLE,
    "unready": ROW,
    "torn": ROW[:-3],
    "half": ROW[:-20],
    "huge": TOLD + b"D\xb3\0\0\0\0\1\xb3",
    "false": failure("53300"),
    "more": ROW + IDLE + ROW,
    "noise": ROW + IDLE + b"\0\xff",
    "shape": TOLD + pg(b"D", b"\0\2\0\0\0\1a\0\0\0\1b") + pg(b"C", b"SELECT 1\0") + IDLE,
    "noisy": pg(b"N", b"SNOTICE\0\0") + pg(b"S", b"gauges\0avg_ms=3\0") + ROW + IDLE,
}


class UnitStand(Stand):
    def __init__(self) -> None:
        self.queries: list[str] = []
        self.times: list[float] = []
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        exactly(stream, struct.unpack("!I", exactly(stream, 4))[0] - 4)
        if self.mode in ("early", "full", "mute"):
            conn.sendall(pg(b"E", b"SFATAL\0C53300\0Mfull\0\0") if self.mode == "full" else b"")
            return stream.read() if self.mode == "mute" else None
        conn.sendall(pg(b"R", bytes(4)) + IDLE)
        for number in itertools.count():
            if number and self.mode == "stale":
                stream.read(1)  # closed without a word, and told so at its next query's first byte
                return reset(conn)
            kind, body = message(stream)
            if kind == b"Q":
                self.queries.append(body[:-1].decode())
                self.times.append(time.monotonic())
            if self.mode == "reset":
                return reset(conn)
            if self.mode.startswith("slow"):
                time.sleep(float(self.mode[4:]))
            if self.mode not in ("silent", "drip"):
                conn.sendall(UNIT_ANSWERS.get(self.mode, ROW + IDLE))
            if self.mode == "drip":
                for place in range(0, len(ROW + IDLE), 20):
                    time.sleep(0.15)
                    conn.sendall((ROW + IDLE)[place : place + 20])
            if self.mode == "late":
                time.sleep(0.005)
                conn.sendall(ROW.replace(b"\x9f\x03", b"\x66\x66") + IDLE)
            if self.mode in ("unready", "torn"):
                return None


class PgClient:
    def __init__(self, port: int, first: bytes = b"") -> None:
        self.sock = socket.create_connection((RELAY, port))
        self.sock.settimeout(5)
        self.stream = self.sock.makefile("rb")
        self.sock.sendall(HELLO + first)
        self.answer()

    def answer(self) -> tuple[str, str, bytes]:
        """The letters of an answer up to ready or the end, its error code, and its row."""
        letters, code, row = "", "", b""
        with contextlib.suppress(EOFError, ConnectionError):
            while letters[-1:] != "Z":
                kind, body = message(self.stream)
                letters += kind.decode()
                code = body.split(b"\0C")[1][:5].decode() if kind == b"E" else code
                row = body if kind == b"D" else row
        return letters, code, row

    def send(self, sql: str) -> None:
        self.sock.sendall(pg(b"Q", sql.encode() + b"\0"))

    def ask(self, sql: str) -> tuple[str, str, bytes]:
        self.send(sql)
        return self.answer()


IDS = itertools.count(1)


def sql(route: str = "read", wait: int = 2000, more: str = "") -> str:
    more += ",k=5c0f6e1a2b3d4c59" if route == "mark" else ""
    words = f"/* id={next(IDS):016x},c={route},d={wait}{more} */"
    if route == "read":
        return f"SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655' {words}"
    return f"INSERT INTO rows (handle, blob) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING blob {words}"
