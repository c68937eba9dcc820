"""Hostile and resting clients at each front: the process stays within its memory, measured from outside."""

import contextlib
import re
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import Served

from laurelcourse.standins.postgres import PgClient, build_query, pack_message

MEMORY_MB = 32  # the least that the pages allow
VALUE_BYTES = 64 << 10  # the largest value that the pages allow
MANY = 150
SAMPLE_INTERVAL = 0.01  # seconds


def resident_mb(pid: int) -> float:
    """Returns the resident memory that no file holds, in MiB (Linux, /proc/PID/status)."""
    found = re.search(r"RssAnon:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024 if found else 0.0


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
