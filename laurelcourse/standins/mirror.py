"""Stands for a mirror of TUF repositories by HTTP/1.1 (RFC 9110, RFC 9112), and for a director.

It behaves as its modes say, and records its requests.
"""

import json
import re
import socket
import time
from typing import BinaryIO

from laurelcourse.standins.base import StandIn, read_exactly, reset_on_close
from laurelcourse.standins.repository import Revision, TufRepository

PIECE_BYTES = 64 << 10
RANGE = re.compile(r"bytes=([0-9]+)-([0-9]*)")
ENDLESS_CHUNKS = 4096
ENDLESS_CHUNK_BYTES = 0x4000

# Seconds.
SLOW_DELAY = 0.3
SILENCE = 30
STALL = 20
DRIP_INTERVAL = 1

DRIP_COUNT = 20


class MirrorRequest:
    """One request, as the mirror received it. Times are monotonic seconds."""

    __slots__ = ("at", "done", "last", "method", "path", "relay", "sent", "span", "status")

    def __init__(self, method: str, path: str, relay: str, span: str) -> None:
        self.at = time.monotonic()
        self.last = self.at  # when bytes were last sent
        self.done = float("inf")  # when it was answered or given up
        self.method = method
        self.path = path
        self.relay = relay
        self.span = span  # its Range
        self.status = 0
        self.sent = 0  # bytes


class MirrorStandIn(StandIn):
    """A mirror. `mode` is its fault for all routes, `modes` by route (metadata, target, manifest) before it.

    Metadata: mixed (newest timestamp, older files), forged, flipped, endless. Targets: flipped (one bit at
    the end), longer, shorter, stall (at half), drip, torn (ends at half), unranged, misranged, elsewhere
    (another file of that length). Any: busy, failing, slow, silent, reset. Without a sync it is frozen.
    """

    def __init__(self, repositories: dict[str, TufRepository], rate: float = 0.0, director: str = "") -> None:
        """`repositories`: by prefix; `rate`: bytes a second of each file, 0 for no limit; `director`: whether
        manifests are `deduped`.
        """
        self.repositories = repositories
        self.rate = rate
        self.director = director
        self.revision = {prefix: repository.newest for prefix, repository in repositories.items()}
        self.modes: dict[str, str] = {}
        self.requests: list[MirrorRequest] = []
        self.manifests: list[tuple[str, int]] = []  # accepted ones: vehicle, counter
        self.counted: set[tuple[str, int]] = set()  # all counters that came
        super().__init__()

    def sync(self) -> None:
        """Takes the newest revision of each repository."""
        for prefix, repository in self.repositories.items():
            self.revision[prefix] = repository.newest

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves the requests of one connection."""
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while first := stream.readline():
            method, path, _ = first.decode().split(" ")
            fields = {}
            while line := stream.readline().strip():
                name, _, value = line.decode().partition(":")
                fields[name.lower()] = value.strip()
            body = read_exactly(stream, int(fields.get("content-length", 0)))
            relay = fields.get("via", "").removeprefix("1.1 ")
            request = MirrorRequest(method, path, relay, fields.get("range", ""))
            self.requests.append(request)
            try:
                if not self._answer(conn, request, body):
                    return
            finally:
                request.done = time.monotonic()

    def _answer(self, conn: socket.socket, request: MirrorRequest, body: bytes) -> bool:
        """Returns whether the connection stays open."""
        route = "metadata" if request.path.endswith(".json") else "target"
        route = "manifest" if request.method == "POST" else route
        mode = self.modes.get(route, self.mode)
        if mode in ("busy", "failing"):
            return self._reply(conn, request, 503 if mode == "busy" else 500, b"")
        if mode == "slow":
            time.sleep(SLOW_DELAY)
        if mode == "silent":
            time.sleep(SILENCE)
            return False
        if mode == "reset":
            reset_on_close(conn)
            return False
        if route == "manifest":
            return self._answer_manifest(conn, request, body)
        for prefix, revision in self.revision.items():
            if request.path.startswith(f"{prefix}metadata/"):
                return self._answer_metadata(conn, request, prefix, revision, mode)
            if request.path.startswith(f"{prefix}targets/"):
                data = revision.targets.get(request.path.removeprefix(f"{prefix}targets/"))
                if data is not None:
                    return self._answer_target(conn, request, data, mode)
        return self._reply(conn, request, 404, b"")

    def _reply(self, conn: socket.socket, request: MirrorRequest, status: int, body: bytes) -> bool:
        request.status = status
        conn.sendall(f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        request.sent, request.last = len(body), time.monotonic()
        return True

    def _answer_metadata(
        self, conn: socket.socket, request: MirrorRequest, prefix: str, revision: Revision, mode: str
    ) -> bool:
        name = request.path.removeprefix(f"{prefix}metadata/")
        repository = self.repositories[prefix]
        raw = revision.metadata.get(name)
        if mode == "mixed":
            raw = self._mixed_metadata(repository, name)
        elif mode == "forged" and name == "timestamp.json":
            raw = repository.forged()[name]
        elif mode == "flipped" and raw and "root" not in name:
            raw = raw.replace(b'"sig":"', b'"sig":"0', 1)
        elif mode == "endless" and raw and "root" not in name:
            conn.sendall(b"HTTP/1.1 200 Said\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(ENDLESS_CHUNKS):
                conn.sendall(b"4000\r\n" + b" " * ENDLESS_CHUNK_BYTES + b"\r\n")
                request.sent += ENDLESS_CHUNK_BYTES
            return False
        return self._reply(conn, request, 404, b"") if raw is None else self._reply(conn, request, 200, raw)

    @staticmethod
    def _mixed_metadata(repository: TufRepository, name: str) -> bytes | None:
        """Returns the newest timestamp, and all other files of the first revision."""
        if "timestamp" in name:
            return repository.newest.metadata.get(name)
        oldest = repository.revisions[0].metadata
        unversioned = name.partition(".")[2]
        return oldest.get(name) or next(
            (raw for other, raw in oldest.items() if other.partition(".")[2] == unversioned), None
        )

    def _answer_target(self, conn: socket.socket, request: MirrorRequest, data: bytes, mode: str) -> bool:
        first, last, status, content_range = 0, len(data) - 1, 200, ""
        if mode == "flipped":
            data = data[:-1] + bytes([data[-1] ^ 1])
        elif mode == "longer":
            data += b"more"
            last += 4
        elif mode == "shorter":
            data, last = data[:-3], last - 3
        elif mode == "elsewhere":
            data = bytes(len(data))
        if (match := RANGE.fullmatch(request.span)) and mode != "unranged":
            first, last = int(match[1]), min(int(match[2] or last), last)
            if first >= len(data):
                return self._reply(conn, request, 416, b"")
            shift = 1 if mode == "misranged" else 0
            status = 206
            content_range = f"Content-Range: bytes {first + shift}-{last + shift}/{len(data)}\r\n"
        request.status = status
        length = last - first + 1
        conn.sendall(f"HTTP/1.1 {status} Said\r\nContent-Length: {length}\r\n{content_range}\r\n".encode())
        half, began = first + length // 2, time.monotonic()
        for offset in range(first, last + 1, PIECE_BYTES):
            piece = data[offset : min(offset + PIECE_BYTES, last + 1)]
            if mode in ("stall", "drip", "torn") and offset + len(piece) > half:
                piece = piece[: max(half - offset, 0)]
            conn.sendall(piece)
            request.sent += len(piece)
            request.last = time.monotonic()
            if mode in ("stall", "drip", "torn") and offset + PIECE_BYTES > half:
                return self._stop_at_half(conn, request, mode, data[half : last + 1])
            if self.rate:
                time.sleep(max(began + request.sent / self.rate - time.monotonic(), 0))
        return True

    @staticmethod
    def _stop_at_half(conn: socket.socket, request: MirrorRequest, mode: str, rest: bytes) -> bool:
        if mode == "stall":
            time.sleep(STALL)
        for offset in range(DRIP_COUNT if mode == "drip" else 0):
            conn.sendall(rest[offset : offset + 1])
            request.last = time.monotonic()
            time.sleep(DRIP_INTERVAL)
        return False

    def _answer_manifest(self, conn: socket.socket, request: MirrorRequest, body: bytes) -> bool:
        """Accepts a manifest; where they are deduplicated, a repetition has no effect and the same answer."""
        signed = json.loads(body)["signed"]
        key = signed["vin"], signed["report_counter"]
        mode = self.modes.get("manifest", self.mode)
        if self.director != "deduped" or key not in self.counted:
            self.manifests.append(key)
        self.counted.add(key)
        if mode == "lost":  # accepted, but the answer is lost
            reset_on_close(conn)
            return False
        return self._reply(conn, request, 200, b'{"taken": true}')
