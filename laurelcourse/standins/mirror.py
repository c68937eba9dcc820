"""A mirror of TUF repositories by HTTP/1.1 (RFC 9110, RFC 9112), with faults as a script tells, and a
director that takes manifests. It keeps what it saw."""

import json
import re
import socket
import time
from typing import BinaryIO

from laurelcourse.standins.base import Stand, exactly, reset
from laurelcourse.standins.repository import Published, TufRepository

PIECE = 64 << 10
RANGE = re.compile(r"bytes=([0-9]+)-([0-9]*)")


class Seen:
    """One request as the mirror saw it."""

    __slots__ = ("at", "done", "last", "method", "path", "relay", "sent", "span", "status")

    def __init__(self, method: str, path: str, relay: str, span: str) -> None:
        self.at = self.last = time.monotonic()
        self.method, self.path, self.relay, self.span = method, path, relay, span
        self.status = self.sent = 0
        self.done = float("inf")  # when it was answered or given up


class MirrorStand(Stand):
    """`mode` is its fault for all routes, `modes` by route (metadata, target, manifest) before it.

    Metadata: mixed (newest timestamp, older files), forged, flipped, endless. Targets: flipped (one bit at
    the end), longer, shorter, stall (at half), drip, torn (ends at half), unranged, misranged, elsewhere
    (another file of that length). Any: busy, failing, slow, silent, reset. Without a sync it is frozen."""

    def __init__(self, repositories: dict[str, TufRepository], rate: float = 0.0, director: str = "") -> None:
        """Repositories by prefix; `rate` bytes a second of each file, 0 for as fast as it goes."""
        self.repositories, self.rate, self.director = repositories, rate, director
        self.revision = {prefix: one.newest for prefix, one in repositories.items()}
        self.modes: dict[str, str] = {}
        self.seen: list[Seen] = []
        self.manifests: list[tuple[str, int]] = []
        self.counted: set[tuple[str, int]] = set()
        super().__init__()

    def sync(self) -> None:
        for prefix, one in self.repositories.items():
            self.revision[prefix] = one.newest

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while first := stream.readline():
            method, path, _ = first.decode().split(" ")
            fields = {}
            while line := stream.readline().strip():
                name, _, value = line.decode().partition(":")
                fields[name.lower()] = value.strip()
            body = exactly(stream, int(fields.get("content-length", 0)))
            relay = fields.get("via", "").removeprefix("1.1 ")
            seen = Seen(method, path, relay, fields.get("range", ""))
            self.seen.append(seen)
            try:
                if not self.answer(conn, seen, body):
                    return
            finally:
                seen.done = time.monotonic()

    def answer(self, conn: socket.socket, seen: Seen, body: bytes) -> bool:
        route = "metadata" if seen.path.endswith(".json") else "target"
        route = "manifest" if seen.method == "POST" else route
        mode = self.modes.get(route, self.mode)
        if mode in ("busy", "failing"):
            return self._say(conn, seen, 503 if mode == "busy" else 500, b"")
        if mode == "slow":
            time.sleep(0.3)
        if mode == "silent":
            time.sleep(30)
            return False
        if mode == "reset":
            reset(conn)
            return False
        if route == "manifest":
            return self._manifest(conn, seen, body)
        for prefix, revision in self.revision.items():
            if seen.path.startswith(f"{prefix}metadata/"):
                return self._metadata(conn, seen, prefix, revision, mode)
            if seen.path.startswith(f"{prefix}targets/"):
                data = revision.targets.get(seen.path.removeprefix(f"{prefix}targets/"))
                if data is not None:
                    return self._target(conn, seen, data, mode)
        return self._say(conn, seen, 404, b"")

    def _say(self, conn: socket.socket, seen: Seen, status: int, body: bytes, more: str = "") -> bool:
        seen.status = status
        conn.sendall(f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body)
        seen.sent, seen.last = len(body), time.monotonic()
        return True

    def _metadata(self, conn: socket.socket, seen: Seen, prefix: str, revision: Published, mode: str) -> bool:
        name = seen.path.removeprefix(f"{prefix}metadata/")
        repository = self.repositories[prefix]
        raw = revision.metadata.get(name)
        if mode == "mixed":
            newest = repository.newest.metadata
            raw = (
                newest.get(name)
                if "timestamp" in name
                else repository.revisions[0].metadata.get(name)
                or (
                    next(
                        (
                            old
                            for key, old in repository.revisions[0].metadata.items()
                            if key.partition(".")[2] == name.partition(".")[2]
                        ),
                        None,
                    )
                )
            )
        elif mode == "forged" and name == "timestamp.json":
            raw = repository.forged()[name]
        elif mode == "flipped" and raw and "root" not in name:
            raw = raw.replace(b'"sig":"', b'"sig":"0', 1)
        elif mode == "endless" and raw and "root" not in name:
            conn.sendall(b"HTTP/1.1 200 Said\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(4096):
                conn.sendall(b"4000\r\n" + b" " * 0x4000 + b"\r\n")
                seen.sent += 0x4000
            return False
        return self._say(conn, seen, 404, b"") if raw is None else self._say(conn, seen, 200, raw)

    def _target(self, conn: socket.socket, seen: Seen, data: bytes, mode: str) -> bool:
        first, last, status, more = 0, len(data) - 1, 200, ""
        if mode == "flipped":
            data = data[:-1] + bytes([data[-1] ^ 1])
        elif mode == "longer":
            data += b"more"
            last += 4
        elif mode == "shorter":
            data, last = data[:-3], last - 3
        elif mode == "elsewhere":
            data = bytes(len(data))
        if (found := RANGE.fullmatch(seen.span)) and mode != "unranged":
            first, last = int(found[1]), min(int(found[2] or last), last)
            if first >= len(data):
                return self._say(conn, seen, 416, b"")
            off = 1 if mode == "misranged" else 0
            status, more = 206, f"Content-Range: bytes {first + off}-{last + off}/{len(data)}\r\n"
        seen.status = status
        conn.sendall(f"HTTP/1.1 {status} Said\r\nContent-Length: {last - first + 1}\r\n{more}\r\n".encode())
        half, began = first + (last - first + 1) // 2, time.monotonic()
        for at in range(first, last + 1, PIECE):
            piece = data[at : min(at + PIECE, last + 1)]
            if mode in ("stall", "drip", "torn") and at + len(piece) > half:
                piece = piece[: max(half - at, 0)]
            conn.sendall(piece)
            seen.sent += len(piece)
            seen.last = time.monotonic()
            if mode in ("stall", "drip", "torn") and at + PIECE > half:
                return self._halt(conn, seen, mode, data[half : last + 1])
            if self.rate:
                time.sleep(max(began + seen.sent / self.rate - time.monotonic(), 0))
        return True

    def _halt(self, conn: socket.socket, seen: Seen, mode: str, rest: bytes) -> bool:
        if mode == "stall":
            time.sleep(20)
        for place in range(20 if mode == "drip" else 0):
            conn.sendall(rest[place : place + 1])
            seen.last = time.monotonic()
            time.sleep(1)
        return False

    def _manifest(self, conn: socket.socket, seen: Seen, body: bytes) -> bool:
        """Takes a manifest; one whose counter it has seen is dropped, its first answer told again."""
        signed = json.loads(body)["signed"]
        key = signed["vin"], signed["report_counter"]
        mode = self.modes.get("manifest", self.mode)
        if self.director != "deduped" or key not in self.counted:
            self.manifests.append(key)
        self.counted.add(key)
        if mode == "lost":  # taken, and the answer lost
            reset(conn)
            return False
        return self._say(conn, seen, 200, b'{"taken": true}')
