"""One file of helpers: an imagined deployment, a relay to drive, and one to start among stand-ins."""

import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO
from urllib.parse import parse_qsl

import pytest

from laurelcourse import interface as face
from laurelcourse.rules import Balancer
from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE, Route, Settings

SECOND = 1_000_000
ROOT = Path(__file__).parent.parent
# Addresses that no connection takes as its source, so that a port found free stays free.
RELAY, STAND_IN = "127.0.0.2", "127.0.0.3"


def route(name: str, repeat: str, group: str = "all") -> Route:
    return Route(name, SECOND, 3 * SECOND, 1.0, 0.2, repeat, group, 2 * SECOND)


SETTINGS = Settings(
    me=0, relays=3, zone="a", tick=5000, max_tries=3, may_duplicate=True, may_probe=True, may_tell=True,
    may_name_return=True, longest_return=SECOND, must_ask=False, ask_within=10 * SECOND,
    routes=(route("read", RETRIABLE), route("mark", DEDUPED, "zone"), route("once", NON_RETRIABLE)),
    drain_grace=SECOND, cold_share=0.3, warm_after=4 * SECOND, overload_factor=3.0, tip_after=SECOND,
    cap_by_route=False, cap_free=2, cap_window=2 * SECOND, stage_caps=(0.1, 1.0), stage_shares=(0.1, 1.0),
    shielded=1, keys_stay=False, control="any", bake=SECOND, vote_life=4 * SECOND, vote_timeout=SECOND,
    votes_on=1, votes_back=1, complaint_share=0.3, crossing_price=0.0)


class Relay:
    """Drives one balancer and keeps the clock."""

    def __init__(self, **changed: object) -> None:
        self.now, self.made = 100 * SECOND, 0
        self.one = Balancer(SETTINGS._replace(**changed), 7, self.now)
        self.first = self.one.start(self.now)

    def list(self, *units: tuple[int, str, int, int], how: str = face.WHOLE,
             health: str = face.READY) -> None:
        """Units as (number, zone, build, seconds since its start)."""
        entries = [face.Listed(unit, zone, 0, build, health, 1.0, self.now - int(age * SECOND))
                   for unit, zone, build, age in units]
        self.one.directory(self.now, how, entries)

    def news(self, build: int, stage: int = 0, standing: int = 0, cap: float = 0.1, since: int = 0) -> list:
        return self.one.stage(self.now, build, stage, standing, False, face.COUNTED, cap, since)

    def req(self, route: str = "read", left: int = 2 * SECOND) -> list:
        self.made += 1
        return self.one.new_req(self.now, f"r{self.made}", route, "", None, left, False)

    def end(self, sent: tuple, number: int, status: str, lag: int = 100_000,
            last: bool | None = None) -> list:
        self.now += lag
        return self.one.outcome(self.now, sent[1], number, sent[2], status, lag,
                                status == face.OK if last is None else last, {})

    def serve(self, times: int, status: str = face.OK, route: str = "read", lag: int = 100_000) -> None:
        for _ in range(times):
            sent, number = self.req(route)[-1], 0
            while sent[0] == face.SEND:
                results, number = self.end(sent, number, status, lag), number + 1
                sent = results[-1] if results else (None,)

    def wait(self, seconds: float) -> list:
        found = []
        for _ in range(int(seconds * 20)):
            self.now += SECOND // 20
            found += self.one.timer(self.now, "beat")
        return found


@pytest.fixture
def relay() -> Callable[..., Relay]:
    return Relay


# Settings as they come from outside, and stand-ins for whom a relay speaks with.

def outside(name: str, effect: str) -> dict:
    return {"name": name, "aim": 1000.0, "deadline": 3000.0, "worth": 1.0, "late_share": 0.2,
            "effect": effect, "group": "all", "memory_span": 5000.0, "novel": 7}


OUTSIDE = {
    "me": 0, "balancers": 2, "locality": "a", "tick": 5.0, "discovery": "push", "areas": ["a"],
    "classes": [outside("read", "idempotent"), outside("mark", "deduplicated"),
                outside("once", "at_most_once")],
    "limits": {"max_attempts": 3, "may_duplicate": True, "probes": True, "peer_messages": True,
               "retry_after": True, "max_retry_after": 1000.0, "conn_idle": 30000.0,
               "connect_timeout": 250.0},
    "obligations": {"must_ask_in": 9000.0, "stop_sending_within": 2000.0, "start_capacity": 0.3,
                    "warm_after": 4500.0, "overload_factor": 3.0, "tip_after": 1000.0},
    "domain": {"cap_scope": "all", "free": 30.0, "counted_over": 2000.0, "most_shares": [0.06, 1.0],
               "rings": [0.03, 1.0], "shielded": 0, "keys_stay": False, "decided_by": "single",
               "least_stage": 1500.0, "ballot_ttl": 6000.0, "api_timeout": 400.0, "to_advance": 1,
               "back_votes": 1, "complaint_share": 0.0},
    "prices": {"cross_zone": 0.0}, "reporting": {"names": "avg_ms", "via": "pull"}}


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


def pg(kind: bytes, payload: bytes = b"") -> bytes:
    return kind + struct.pack("!I", len(payload) + 4) + payload


def exactly(stream: BinaryIO, count: int) -> bytes:
    found = stream.read(count)
    if len(found) < count:
        raise EOFError
    return found


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
    "large": ROW.replace(b"\0\0\0\x0c\0\1\0\0\0\2\x9f\x03", struct.pack(
        "!IHI", len(LARGE) + 10, 1, len(LARGE)) + LARGE) + IDLE,
    "ok": ROW + IDLE, "busy": failure("53300") + IDLE, "failed": failure("XX000") + IDLE,
    "nonsense": b"HTTP/1.1 400 Bad\r\n\r\n", "twice": ROW + ROW + IDLE, "unready": ROW, "torn": ROW[:-3],
    "half": ROW[:-20], "huge": TOLD + b"D\xb3\0\0\0\0\1\xb3", "false": failure("53300"),
    "more": ROW + IDLE + ROW, "noise": ROW + IDLE + b"\0\xff",
    "shape": TOLD + pg(b"D", b"\0\2\0\0\0\1a\0\0\0\1b") + pg(b"C", b"SELECT 1\0") + IDLE,
    "noisy": pg(b"N", b"SNOTICE\0\0") + pg(b"S", b"gauges\0avg_ms=3\0") + ROW + IDLE}


class UnitStand(Stand):
    def __init__(self) -> None:
        self.queries: list[str] = []
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
            if self.mode == "reset":
                return reset(conn)
            if self.mode.startswith("slow"):
                time.sleep(float(self.mode[4:]))
            if self.mode not in ("silent", "drip"):
                conn.sendall(UNIT_ANSWERS.get(self.mode, ROW + IDLE))
            if self.mode == "drip":
                for place in range(0, len(ROW + IDLE), 20):
                    time.sleep(0.15)
                    conn.sendall((ROW + IDLE)[place:place + 20])
            if self.mode == "late":
                time.sleep(0.005)
                conn.sendall(ROW.replace(b"\x9f\x03", b"\x66\x66") + IDLE)
            if self.mode in ("unready", "torn"):
                return None


class HttpStand(Stand):
    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        while first := stream.readline():
            method, target, _ = first.decode().split(" ")
            fields = {}
            while line := stream.readline().strip():
                name, _, value = line.decode().partition(":")
                fields[name.lower()] = value.strip()
            body = exactly(stream, int(fields.get("content-length", 0))).decode()
            self.answer(conn, method, target, dict(parse_qsl(body or target.partition("?")[2])))

    def reply(self, conn: socket.socket, status: int, body: str) -> None:
        head = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n\r\n"
        conn.sendall((head + body).encode())


class DirectoryStand(HttpStand):
    def __init__(self, port: int = 0) -> None:
        self.revision, self.entries, self.calls = 1, {}, 0
        super().__init__(port)

    def put(self, name: str, at: str, phase: str = "active", build: int = 1) -> None:
        self.entries[name] = {"id": name, "host_port": at, "locality": "a", "cell": 0, "phase": phase,
                              "size": 1.0, "up_since_ms": 0, "revision_no": build}
        self.revision += 1

    def whole(self) -> dict:
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        self.calls += 1
        over = time.monotonic() + float(query.get("hold_ms", 0)) / 1000
        while self.mode == "ok" and time.monotonic() < over and self.revision <= int(query["from"]):
            time.sleep(0.005)
        if self.mode == "silent":
            raise EOFError
        if self.mode == "half":
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
            return
        broken = {"status": (500, "{}"), "json": (200, '{"revision":'), "fields": (200, '{"revision": 3}')}
        self.reply(conn, *broken.get(self.mode, (200, json.dumps(self.whole()))))


class DeployerStand(HttpStand):
    def __init__(self, port: int = 0) -> None:
        self.votes, self.streams = [], []
        self.news = "build=1&stage=0&phase=Healthy&cap=1&age_ms=9000"
        super().__init__(port)

    def tell(self, text: str) -> None:
        for conn in self.streams:
            with contextlib.suppress(OSError):
                for part in (text[:5], text[5:]):
                    conn.sendall(f"{len(part):x}\r\n{part}\r\n".encode())

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        if method == "POST":
            self.votes.append(query)
            if self.mode == "ok":
                item = "".join(f"<{name}>{value}</{name}>" for name, value in parse_qsl(self.news))
                self.reply(conn, 200, f"<Response><results><item>{item}</item></results></Response>")
            elif self.mode != "silent":
                status = 500 if self.mode == "error" else 400
                self.reply(conn, status, f"<Error><Code>{self.mode}</Code></Error>")
            return
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.streams.append(conn)
        self.tell(f": hello\n\nevent: novel\ndata: x\n\nevent: progress\ndata: {self.news}\n\n")


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


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((RELAY, 0))
        return sock.getsockname()[1]


class Served:
    """A relay's process, started as the deployment's page says, and what stands around it."""

    def __init__(self, where: Path, units: int = 2, builds: tuple[int, ...] = (), sockets: int = 1024,
                 files: int = 0, news: str = "", down: bool = False, modes: str = "ok",
                 memory: int = 192) -> None:
        self.units = [UnitStand() for _ in range(units)]
        self.directory, self.deployer = DirectoryStand(), DeployerStand()
        for place, unit in enumerate(self.units):
            unit.mode = modes
            self.directory.put(f"s-{place}", unit.at, build=(builds or (1,) * units)[place])
        self.deployer.news = news or self.deployer.news
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind((STAND_IN, 0))
        self.peer.settimeout(5)
        self.port, self.udp = free_port(), free_port(socket.SOCK_DGRAM)
        other = "{}:{}".format(*self.peer.getsockname())
        state = dict(parse_qsl(self.deployer.news))
        self.config = {
            "name": "n0", "listen": f"{RELAY}:{self.port}", "discovery": self.directory.at, "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets}, "peers_all": other,
            "peer_listen": f"{RELAY}:{self.udp}", "peers": [f"{RELAY}:{self.udp}", other],
            "pipeline": {"address": self.deployer.at, "news": state}, "known": self.directory.whole(),
            "settings": OUTSIDE}
        if down:
            self.directory.close()
            self.deployer.close()
        self.path, self.log = where / "config.json", where / "log"
        self.path.write_text(json.dumps(self.config))
        words = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"].split()[1:]
        limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))) if files else None
        self.process = subprocess.Popen([sys.executable, *words[1:]], cwd=ROOT, preexec_fn=limit,
                                        env=os.environ | {"EDGE_CONFIG": str(self.path)},
                                        stderr=self.log.open("wb"))
        until(lambda: "msg=serving" in self.log.read_text() or self.process.poll() is not None)

    def client(self, first: bytes = b"") -> PgClient:
        return PgClient(self.port, first)

    def queries(self) -> list[str]:
        return [query for unit in self.units for query in unit.queries]

    def count(self, name: str) -> int:
        """A counter, as printed on request."""
        printed = self.log.read_text().count("msg=counters")
        self.process.send_signal(signal.SIGUSR1)
        until(lambda: self.log.read_text().count("msg=counters") > printed)
        line = [line for line in self.log.read_text().splitlines() if "msg=counters" in line][-1]
        return int(dict(part.split("=", 1) for part in line.split(" ")).get(name, 0))

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for stand in (*self.units, self.directory, self.deployer):
            stand.close()
        self.peer.close()


@pytest.fixture
def serve(tmp_path: Path) -> Iterator[Callable[..., Served]]:
    with contextlib.ExitStack() as stack:
        def start(**kinds: object) -> Served:
            return stack.enter_context(contextlib.closing(Served(tmp_path, **kinds)))
        yield start
