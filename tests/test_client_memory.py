"""Hostile and resting clients at each front: the process stays within its memory, measured from outside."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import Served, resident_mb

from laurelcourse.lab.tuf_rig import TufRig
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.mirror import MirrorStandIn
from laurelcourse.standins.postgres import STARTUP, PgClient, build_query, pack_message
from laurelcourse.standins.repository import TufRepository

MEMORY_MB = 32  # the least that the pages allow
VALUE_BYTES = 64 << 10  # the largest value that the pages allow
MANY = 150
SAMPLE_INTERVAL = 0.01  # seconds
HOLD_SECONDS = 1.5
TUF_MEMORY_MB = 48  # beside a front with its libraries
MANIFESTS = "/director/manifest"
COMPLETED = ("TDCZ", "")
FILE = "/image/targets/first.bin"


class PeakMemory:
    """The largest memory of a process while the context lasts."""

    def __init__(self, pid: int) -> None:
        self.pid, self.peak_mb, self.over = pid, 0.0, threading.Event()
        self.thread = threading.Thread(target=self._sample, daemon=True)

    def _sample(self) -> None:
        while not self.over.wait(SAMPLE_INTERVAL):
            self.peak_mb = max(self.peak_mb, resident_mb(self.pid))

    def __enter__(self) -> "PeakMemory":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.over.set()
        self.thread.join()


def asked(sql: str) -> bytes:
    return pack_message(b"Q", sql.encode() + b"\0")


def large_statement() -> str:
    return build_query("mark").replace("9f03", "9f" * VALUE_BYTES)


@contextlib.contextmanager
def many_clients(port: int, count: int = MANY) -> Iterator[list[PgClient]]:
    clients = [PgClient(port) for _ in range(count)]
    try:
        yield clients
    finally:
        for client in clients:
            client.sock.close()


def test_resting_clients_keep_neither_statement_nor_answer(serve: Callable[..., Served]) -> None:
    """Guards against `review/7`: each resting client kept its last statement and answer, 260 KiB."""
    served = serve(memory=MEMORY_MB, modes="large")
    with PeakMemory(served.process.pid) as memory, many_clients(served.port) as clients:
        for client in clients:
            assert client.ask(large_statement())[0] == "TDCZ"
    assert memory.peak_mb < MEMORY_MB


@pytest.mark.parametrize(
    "message",
    [asked("X" * 2 * VALUE_BYTES), pack_message(b"P", bytes(2 * VALUE_BYTES))],
    ids=["query", "parse"],
)
def test_resting_clients_keep_no_large_message_that_was_not_served(
    serve: Callable[..., Served], message: bytes
) -> None:
    """Guards against buffers of a large message that stayed as they were after an error."""
    served = serve(memory=MEMORY_MB)
    with PeakMemory(served.process.pid) as memory, many_clients(served.port) as clients:
        for client in clients:
            client.sock.sendall(message)
            assert client.stream.read(1) == b"E"
    assert memory.peak_mb < MEMORY_MB


def hold(port: int, sent: bytes, over: threading.Event) -> None:
    """Connects, sends, and stays until `over`, whatever the relay does."""
    with contextlib.suppress(OSError), socket.create_connection((RELAY_HOST, port)) as sock:
        sock.sendall(sent)
        over.wait()


@contextlib.contextmanager
def holding_clients(port: int, sent: bytes, count: int) -> Iterator[None]:
    """Runs clients that send the same bytes at once, and stay for a while."""
    over = threading.Event()
    threads = [threading.Thread(target=hold, args=(port, sent, over), daemon=True) for _ in range(count)]
    for thread in threads:
        thread.start()
    try:
        yield
        over.wait(HOLD_SECONDS)
    finally:
        over.set()
        for thread in threads:
            thread.join()


@pytest.mark.parametrize(
    "sent",
    [
        asked(large_statement())[:-1000],
        STARTUP[:4] + bytes(range(256)),
        STARTUP + asked(large_statement())[:-1000],
    ],
    ids=["no-startup", "no-protocol", "half"],
)
def test_unfinished_messages_stay_within_memory(serve: Callable[..., Served], sent: bytes) -> None:
    served = serve(memory=MEMORY_MB)
    with PeakMemory(served.process.pid) as memory, holding_clients(served.port, sent, 2 * MANY):
        assert served.client().ask(build_query())[0] == "TDCZ"
    assert memory.peak_mb < MEMORY_MB and served.count("tasks_died") == 0


def ask_again_and_again(served: Served, over: threading.Event, answers: list[tuple[str, str]]) -> None:
    """Runs a client with one large req after another."""
    with contextlib.suppress(OSError):
        client = served.client()
        while not over.is_set():
            answers.append(client.ask(large_statement())[:2])
            if answers[-1] != COMPLETED:
                over.wait(0.2)


def test_large_reqs_under_way_stay_within_memory(serve: Callable[..., Served]) -> None:
    """Guards against large statements under way that nothing bounded: 36 MB with 200 clients."""
    served, over = serve(memory=MEMORY_MB, units=12, modes="slow0.3"), threading.Event()
    answers: list[tuple[str, str]] = []
    clients = [threading.Thread(target=ask_again_and_again, args=(served, over, answers)) for _ in range(200)]
    with PeakMemory(served.process.pid) as memory:
        for client in clients:
            client.start()
            time.sleep(0.01)
        over.wait(4)
        over.set()
        for client in clients:
            client.join()
    assert memory.peak_mb < MEMORY_MB
    assert served.count("clients_over_memory.under_way") and answers.count(COMPLETED) > len(clients)
    assert len(served.queries()) == answers.count(COMPLETED)  # what is shed never ran
    assert served.client().ask(large_statement())[:2] == COMPLETED  # their part is free again


def test_whole_messages_that_wait_for_memory_are_not_taken_for_unfinished(
    serve: Callable[..., Served],
) -> None:
    """Guards against 08P01 for reqs that lay whole in the kernel, as one was read every 10 ms: 80 of 300."""
    served = serve(memory=MEMORY_MB, units=4)
    with many_clients(served.port, 2 * MANY) as clients:
        for client in clients:
            client.send(large_statement())
        answers = {client.answer()[:2] for client in clients}
    assert answers <= {COMPLETED, ("EZ", "53300")}
    assert served.count("clients_faults.08P01") == 0


@pytest.fixture
def kiosks(tmp_path: Path) -> Iterator[TufRig]:
    """Starts a relay with a TUF front that takes manifests."""
    both = {"/image/": TufRepository(consistent=False), "/director/": TufRepository(consistent=False)}
    for repository in both.values():
        repository.add("first.bin", b"first")
        repository.publish()
    uptane = {"image": "image", "director": "director", "manifests": MANIFESTS, "counter": "report_counter"}
    mirrors = [MirrorStandIn(both, director="deduped") for _ in range(2)]
    rig = TufRig(tmp_path, both, mirrors, overrides={"uptane": uptane}, memory_mb=TUF_MEMORY_MB)
    with contextlib.closing(rig):
        yield rig.start()


@pytest.mark.parametrize(
    "sent",
    [
        f"POST {MANIFESTS} HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n".encode() + bytes(262_000),
        b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 4000,
        b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 60 + b"\r\n",
    ],
    ids=["half-a-manifest", "a-head-of-short-fields", "whole-heads"],
)
def test_unfinished_requests_to_a_tuf_front_stay_within_memory(kiosks: TufRig, sent: bytes) -> None:
    """Guards against bodies that no part of the memory bounded: 81 MB with 190 manifests half way."""
    wait_until(lambda: kiosks.request(FILE)[0] == 200)
    with PeakMemory(kiosks.relays[0].process.pid) as memory, holding_clients(kiosks.ports[0], sent, MANY):
        assert kiosks.request(FILE)[0] == 200
    assert memory.peak_mb < TUF_MEMORY_MB
