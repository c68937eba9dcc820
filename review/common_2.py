"""What the cases from 6 on share: the relay's process, stand-ins on loopback, the record, the end."""

import asyncio
import atexit
import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


def _end_unrun(kind: type, fault: BaseException, _: object) -> None:
    """Ends a case on an exception that nobody catches: no broken rule, though Python would exit with 1."""
    print(f"could not run: {kind.__name__}: {fault}", flush=True)
    os._exit(2)


sys.excepthook = _end_unrun

from laurelcourse.standins.base import RELAY_HOST, STAND_IN_HOST  # noqa: E402
from laurelcourse.standins.ports import reserve_port  # noqa: E402
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT = 115  # seconds, after which a case that has not ended could not be run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

READY = b"Z\0\0\0\5I"
START = time.monotonic()

_SCRATCH: list[tempfile.TemporaryDirectory] = []


def now() -> float:
    """Returns the seconds since the case began."""
    return time.monotonic() - START


class Record:
    """The record of a run: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.lock = threading.Lock()

    def add(self, what: str, at: float | None = None) -> None:
        """Adds a line with its time."""
        with self.lock:
            self.file.write(f"{now() if at is None else at:9.3f} {what}\n")


class Relay:
    """One relay, started with the `run` line of the deploy file."""

    all: list["Relay"] = []  # noqa: RUF012

    def __init__(
        self, folder: Path, config: dict, operator: Path | None = None, descriptors: int = 0
    ) -> None:
        """`descriptors`: how many the process may hold, as the platform bounds it."""
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.operator, self.descriptors = folder, operator, descriptors
        self.path, self.log = folder / "config.json", folder / "log"
        self.path.write_text(json.dumps(config))
        self.log.touch()
        self.process: subprocess.Popen | None = None
        Relay.all.append(self)

    def start(self, timeout: float = 20.0) -> None:
        """Starts the relay and waits until it serves."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        run += f" --operator '{self.operator}'" if self.operator else ""
        run = f"ulimit -n {self.descriptors}; {run}" if self.descriptors else run
        served = self.log.read_text().count("msg=serving")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=os.environ | {"EDGE_CONFIG": str(self.path), "TMPDIR": str(self.folder)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        until = time.monotonic() + timeout
        while self.log.read_text().count("msg=serving") == served:
            if self.process.poll() is not None or time.monotonic() > until:
                not_run(f"a relay did not start: {self.log.read_text()[-600:]}")
            time.sleep(0.02)

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the relay."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def ended(self) -> bool:
        """Whether the relay has ended."""
        return self.process.poll() is not None


def _end_all(*_: object) -> None:
    for relay in Relay.all:
        if relay.process and relay.process.poll() is None:
            relay.process.kill()
            relay.process.wait()
    while _SCRATCH:
        _SCRATCH.pop().cleanup()


def _end_by_signal(number: int, _: object) -> None:
    _end_all()
    os._exit(NOT_RUN if number else BROKEN)


def _end_late() -> None:
    time.sleep(TIME_LIMIT)
    print("could not run: not over in time", flush=True)
    _end_all()
    os._exit(NOT_RUN)


def not_run(why: str) -> None:
    """Ends a case that could not be run."""
    print(f"could not run: {why}", flush=True)
    _end_all()
    os._exit(NOT_RUN)


def end(record: Record, breaks: list[str]) -> None:
    """Ends a case: with 1 if the rule was broken, else with 0."""
    for line in breaks[:20]:
        record.add(f"BROKEN {line}")
    text = f"rule broken {len(breaks)} times; the first: {breaks[0]}" if breaks else "rule held"
    record.add(text)
    print(text, flush=True)
    for relay in Relay.all:
        if not breaks and relay.process and relay.process.poll() not in (None, -signal.SIGKILL, 0):
            not_run("a relay ended by itself")
    _end_all()
    os._exit(BROKEN if breaks else HELD)


def begin(folder: str) -> tuple[Record, Path]:
    """Begins a case; returns its record and a temporary folder."""
    atexit.register(_end_all)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _end_by_signal)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 8192 if hard == resource.RLIM_INFINITY else min(hard, 8192)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    threading.Thread(target=_end_late, daemon=True).start()
    scratch = tempfile.TemporaryDirectory(prefix="case-")
    _SCRATCH.append(scratch)
    record = Record(Path(folder).resolve().parent)
    record.add(f"trouble={int(TROUBLE)}")
    return record, Path(scratch.name)


# PostgreSQL's protocol, version 3, as far as units and clients need it.


def message(kind: bytes, payload: bytes = b"") -> bytes:
    """Returns a message."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def row(value: bytes) -> bytes:
    """Returns an answer of one row of one column."""
    column = b"blob\0" + struct.pack("!IHIHIH", 0, 0, 17, 0xFFFF, 0xFFFFFFFF, 1)
    return (
        message(b"T", b"\0\1" + column)
        + message(b"D", struct.pack("!HI", 1, len(value)) + value)
        + message(b"C", b"SELECT 1\0")
    )


def error(code: str) -> bytes:
    """Returns an error."""
    return message(b"E", f"SERROR\0VERROR\0C{code}\0Mno\0\0".encode())


class Loop:
    """An event loop in a thread of its own, for stand-ins."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine: Any) -> Any:  # noqa: ANN401
        """Runs a coroutine in the loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)


FIELDS = re.compile(r"/\* ?([^*]*?) ?\*/")


def fields_of(sql: str) -> dict[str, str]:
    """Returns the fields in a statement's comment."""
    found = FIELDS.search(sql)
    return dict(part.split("=", 1) for part in found.group(1).split(",")) if found else {}


class Unit:
    """A unit. `work` is a coroutine that gets each statement, does it, and returns the answer."""

    def __init__(self, loop: Loop, name: str, work: Callable, port: int = 0) -> None:
        self.name, self.work = name, work
        self.server = loop.call(asyncio.start_server(self._serve, STAND_IN_HOST, port, backlog=256))
        self.address = f"{STAND_IN_HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            length = struct.unpack("!I", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            writer.write(message(b"R", bytes(4)) + READY)
            while True:
                kind = await reader.readexactly(1)
                length = struct.unpack("!I", await reader.readexactly(4))[0]
                body = await reader.readexactly(length - 4)
                if kind != b"Q":
                    return
                sql = body[:-1].decode()
                if "/*" not in sql:
                    # A probe: it tells that the unit runs.
                    writer.write(row(b"latency_ms=20") + READY)
                    continue
                writer.write(await self.work(self, sql) + READY)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Directory:
    """Discovery: whole lists, and watches that wait until something is newer."""

    def __init__(self, loop: Loop, record: Record, name: str = "discovery") -> None:
        self.loop, self.record, self.name = loop, record, name
        self.revision = 100
        self.entries: dict[str, dict] = {}
        self.changed_at: dict[str, int] = {}
        self.told: dict[str, float] = {}  # by unit: when its leaving was written to the relay
        self.indent: int | None = None
        self.body_delay = 0.0  # seconds between an answer's head and its body
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = loop.call(asyncio.start_server(self._serve, STAND_IN_HOST, 0))
        self.address = f"{STAND_IN_HOST}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, name: str, address: str, phase: str = "active", **more: object) -> None:
        """Adds a unit, before the relay starts."""
        self.entries[name] = {
            "id": name,
            "host_port": address,
            "locality": "a",
            "flavor": "std-3c",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            "revision_no": 41,
        } | more
        self.changed_at[name] = self.revision

    def whole(self) -> dict:
        """Returns the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    def change(self, names: list[str], phase: str) -> None:
        """Changes the phase of units."""

        async def apply() -> None:
            self.revision += 1
            for name in names:
                self.entries[name] = self.entries[name] | {"phase": phase}
                self.changed_at[name] = self.revision
            self.changed.set()
            self.changed = asyncio.Event()

        self.loop.call(apply())

    def retire(self, after: float) -> None:
        """Accepts no new connection, and closes the open ones after a time."""

        async def apply() -> None:
            self.server.close()
            await asyncio.sleep(after)
            for writer in list(self.writers):
                writer.close()

        asyncio.run_coroutine_threadsafe(apply(), self.loop.loop)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                query = dict(parse_qsl(urlsplit(target).query))
                await self._answer(writer, target, query)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, target: str, query: dict[str, str]) -> None:
        came = now()
        if "from" in query:
            since, until = int(query["from"]), time.monotonic() + int(query["hold_ms"]) / 1000
            while self.revision <= since and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except TimeoutError:
                    break
            members = [self.entries[name] for name in self.entries if self.changed_at[name] > since]
            listed = {"revision": self.revision, "complete": False, "members": members}
        else:
            listed = self.whole()
        body = json.dumps(listed, indent=self.indent).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()
        if self.body_delay:
            await asyncio.sleep(self.body_delay)
        writer.write(body)
        await writer.drain()
        whole = "whole" if listed["complete"] else "changes"
        open_still = not writer.is_closing()
        self.record.add(
            f"{self.name} {target} came={came:.3f} {whole} entries={len(listed['members'])} "
            f"bytes={len(body)} open={int(open_still)}"
        )
        if open_still:
            for entry in listed["members"]:
                if entry["phase"] != "active":
                    self.told.setdefault(entry["id"], now())


class Client:
    """A client of a relay, on one connection."""

    def __init__(self, port: int, timeout: float = 6.0, first: bytes = b"") -> None:
        """Connects; `first` is written right behind the startup message."""
        self.sock = socket.create_connection((RELAY_HOST, port), timeout)
        self.stream = self.sock.makefile("rb")
        parameters = struct.pack("!I", 3 << 16) + b"user\0api\0database\0ledger\0\0"
        self.sock.sendall(struct.pack("!I", len(parameters) + 4) + parameters + first)
        self.answer()

    def answer(self) -> tuple[str, str]:
        """Returns the letters of an answer up to ReadyForQuery or the end, and its error's code."""
        letters = code = ""
        while not letters.endswith("Z"):
            head = self.stream.read(5)
            if len(head) < 5:
                return letters, code
            body = self.stream.read(struct.unpack("!I", head[1:])[0] - 4)
            letters += head[:1].decode()
            if head[:1] == b"E":
                code = body.split(b"\0C")[1][:5].decode()
        return letters, code

    def ask(self, sql: str) -> tuple[str, str]:
        """Sends a query and returns its answer."""
        self.sock.sendall(message(b"Q", sql.encode() + b"\0"))
        return self.answer()

    def close(self) -> None:
        """Leaves."""
        self.sock.close()


_IDS = iter(range(1, 1 << 62))


def select(route: str, wait_ms: int, mark: str = "") -> tuple[str, str]:
    """Returns a new id and a statement with it."""
    name = f"{os.getpid():08x}{next(_IDS):08x}"
    more = f",k={mark}" if mark else ""
    return name, f"SELECT blob FROM rows WHERE handle = '{name}' /* id={name},c={route},d={wait_ms}{more} */"


class Traffic:
    """Clients that ask one after another, each on a connection of its own, until they are told to stop."""

    def __init__(self, record: Record, port: int, clients: int, pause: float, route: str = "read") -> None:
        self.record, self.port, self.pause, self.route = record, port, pause, route
        self.over = threading.Event()
        self.counts: dict[str, int] = {}
        self.threads = [threading.Thread(target=self._run, daemon=True) for _ in range(clients)]

    def start(self) -> None:
        """Begins."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Ends, once each client has its answer."""
        self.over.set()
        for thread in self.threads:
            thread.join(8)

    def _run(self) -> None:
        client = None
        while not self.over.wait(self.pause):
            name, sql = select(self.route, 2000)
            try:
                client = client or Client(self.port)
                letters, code = client.ask(sql)
            except OSError as fault:
                letters, code = "", type(fault).__name__
            self.record.add(f"client id={name} answer={letters or '-'} code={code or '-'}")
            self.counts[letters] = self.counts.get(letters, 0) + 1
            if not letters.endswith("Z"):
                client = None


def settings(**changes: dict) -> dict:
    """Returns settings of a small deployment, with some branches changed."""
    tree = json.loads(json.dumps(PLATFORM_SETTINGS))
    for name, branch in changes.items():
        tree[name] = tree[name] | branch if isinstance(branch, dict) else branch
    return tree


def config_of(
    name: str, port: int, directory: str, deployer: str, known: dict, tree: dict, **more: int
) -> dict:
    """Returns a relay's configuration."""
    config = relay_config(name, f"{RELAY_HOST}:{port}", directory, deployer, known, tree, **more)
    udp = f"{RELAY_HOST}:{reserve_port(socket.SOCK_DGRAM)}"
    return config | {"peers": [udp], "peer_listen": udp, "peers_all": udp}


def run(case: Callable[[], None]) -> None:
    """Runs a case; a fault of the case itself is no broken rule."""
    try:
        case()
    except Exception as fault:
        not_run(f"{type(fault).__name__}: {fault}")
