"""Floods of connections at one relay: well-behaved clients lose nothing, and file descriptors suffice."""

import contextlib
import os
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import Served, resident_mb

from laurelcourse.standins.base import RELAY_HOST, reset_on_close, wait_until
from laurelcourse.standins.postgres import STARTUP, PgClient, build_query, pack_message
from laurelcourse.standins.settings import PLATFORM_SETTINGS

COMPLETED, SHED = ("TDCZ", ""), ("E", "53300")
SSL, GSS = (struct.pack("!II", 8, code) for code in (80877103, 80877104))
SOCKETS, MANY = 128, 150


def asked(words: str) -> bytes:
    return pack_message(b"Q", words.encode() + b"\0")


class Good:
    """A well-behaved client: it keeps its connection.

    A req that crosses the close of a connection that was used before is sent again on a new one, once.
    """

    def __init__(self, served: Served, keeps: bool) -> None:
        self.served, self.keeps, self.client = served, keeps, None
        self.ends: list[tuple[str, str]] = []
        self.longest = 0.0

    def ask(self) -> None:
        began, words, end, used = time.monotonic(), build_query("once"), ("", ""), self.client is not None
        if used:
            with contextlib.suppress(OSError):
                end = self.client.ask(words)[:2]
        if end == ("", ""):
            # Its first statement comes right behind the startup message: from then on it is taken.
            with contextlib.suppress(OSError):
                self.client = self.served.client(asked(words))
                end = self.client.answer()[:2]
        self.longest = max(self.longest, time.monotonic() - began)
        self.ends.append(end)
        if not self.keeps or end != COMPLETED:
            self.client = None

    def go_on(self, over: threading.Event) -> None:
        while not over.is_set():
            self.ask()
            time.sleep(0.01)


def bad(served: Served, first: bytes, over: threading.Event, how: str) -> None:
    """Runs a client that connects, sends, and then stays, sends slowly, or reconnects again and again."""
    while not over.is_set():
        with contextlib.suppress(OSError), socket.create_connection((RELAY_HOST, served.port)) as raw:
            raw.settimeout(1)
            if how == "drips":
                for byte in first:
                    raw.sendall(bytes((byte,)))
                    if over.wait(0.05):
                        break
                continue
            raw.sendall(first)
            if how == "resets":
                reset_on_close(raw)
            if how in ("resets", "goes"):
                over.wait(0.2)
                continue
            over.wait(3)


@pytest.mark.parametrize(
    "first, how",
    [
        (b"", "stays"),
        (b"", "resets"),
        (STARTUP[:10], "stays"),
        (STARTUP, "drips"),
        (STARTUP, "goes"),
        (STARTUP, "stays"),
        (STARTUP + asked(build_query())[:-9], "stays"),
        (STARTUP + pack_message(b"~"), "stays"),
        (STARTUP + asked(build_query()) * 3, "stays"),
        (STARTUP + asked(build_query()), "goes"),
    ],
    ids=["mute", "resets", "half", "drips", "goes", "hello", "partial", "faulty", "same-id", "asks-goes"],
)
def test_good_clients_lose_nothing_in_a_flood(serve: Callable[..., Served], first: bytes, how: str) -> None:
    served, over = serve(sockets=SOCKETS), threading.Event()
    kept, new = [Good(served, True) for _ in range(4)], [Good(served, False) for _ in range(2)]
    for client in kept:
        client.ask()
    threads = [threading.Thread(target=bad, args=(served, first, over, how)) for _ in range(MANY)]
    threads += [threading.Thread(target=client.go_on, args=(over,)) for client in (*kept, *new)]
    for thread in threads:
        thread.start()

    def few() -> bool:
        return any(len(client.ends) <= 2 for client in (*kept, *new))

    most, ends = 0, time.monotonic() + 1.2
    while time.monotonic() < ends + 8 * few():  # the crowd stays until all good clients have asked some more
        most = max(most, len(list(Path(f"/proc/{served.process.pid}/fd").iterdir())))
        time.sleep(0.02)
    over.set()
    for thread in threads:
        thread.join(5)
    results = [end for client in (*kept, *new) for end in client.ends]
    assert most <= SOCKETS and min(len(client.ends) for client in (*kept, *new)) > 2
    assert set(results) <= {COMPLETED, SHED}
    assert results.count(COMPLETED) * 2 > len(results)  # what is refused is told so at once, and few are
    assert max(client.longest for client in (*kept, *new)) < 2  # none waits in the backlog past its time
    assert served.count("tasks_died") == served.count("module_faults") == 0


def test_encryption_is_asked_for_once_each_way(serve: Callable[..., Served]) -> None:
    """Thousands of such requests in a row, answered one by one, used to delay all other clients."""
    served = serve()
    with socket.create_connection((RELAY_HOST, served.port)) as raw:
        raw.settimeout(5)
        raw.sendall(SSL + GSS + SSL * 500)
        heard = b""
        with contextlib.suppress(ConnectionError):
            heard = b"".join(iter(lambda: raw.recv(1000), b""))
        assert heard[:3] == b"NNE" and b"C08P01" in heard
    assert served.count("clients_faults.08P01") == 1


def test_an_id_that_another_has_open_harms_its_sender_alone(serve: Callable[..., Served]) -> None:
    served, words = serve(modes="slow0.5"), build_query("once")
    good, other = served.client(), served.client()
    good.send(words)
    wait_until(served.queries)
    for _ in range(2):
        other.send(words)
        assert other.answer()[:2] == ("EZ", "22023")
    other.sock.close()
    assert good.answer()[:2] == COMPLETED and len(served.queries()) == 1
    assert good.ask(build_query("once"))[:2] == COMPLETED


def test_connections_with_an_unread_req_are_not_closed_for_new_ones(serve: Callable[..., Served]) -> None:
    """Many clients connect while the process is stopped, as statements arrive on connections that would be
    closed.
    """
    served = serve(sockets=60)
    ready = [PgClient(served.port) for _ in range(6)]
    idle = [served.client() for _ in range(4)]
    for client in idle:
        assert client.ask(build_query())[:2] == COMPLETED
    time.sleep(0.3)  # silent, or between reqs, for longer than is asked for
    os.kill(served.process.pid, signal.SIGSTOP)
    crowd = [socket.create_connection((RELAY_HOST, served.port)) for _ in range(40)]
    for client in (*ready, *idle):
        client.send(build_query("once"))
    for client in crowd:
        client.sendall(STARTUP + b"Q")
    os.kill(served.process.pid, signal.SIGCONT)
    assert [client.answer()[:2] for client in (*ready, *idle)] == [COMPLETED] * 10
    for client in crowd:
        client.close()


@pytest.mark.parametrize(
    "flood",
    [
        asked("") * 100,
        pack_message(b"S") * 100,
        (asked("HELLO") + pack_message(b"S")) * 100,
        pack_message(b"P") * 100,
        b"",
    ],
    ids=["empty", "sync", "unsound", "skipped", "new-ids"],
)
def test_a_client_that_sends_at_full_speed_makes_no_other_late(
    serve: Callable[..., Served], flood: bytes
) -> None:
    """Guards against picture (b) of issue 49: one connection, small or unsound requests, ever new ids."""
    served, over = serve(memory=64), threading.Event()

    def send() -> None:
        while not over.is_set():
            with contextlib.suppress(OSError), socket.create_connection((RELAY_HOST, served.port)) as raw:
                raw.sendall(STARTUP)
                threading.Thread(target=read, args=(raw,), daemon=True).start()
                while not over.is_set():
                    raw.sendall(flood or b"".join(asked(build_query()) for _ in range(20)))

    def read(raw: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while raw.recv(1 << 16):
                pass

    sender, good = threading.Thread(target=send), Good(served, True)
    good.ask()
    before = resident_mb(served.process.pid)
    sender.start()
    for _ in range(40):
        good.ask()
        time.sleep(0.03)
    over.set()
    sender.join(5)
    objective = PLATFORM_SETTINGS["classes"][2]["aim"] / 1000
    assert set(good.ends) == {COMPLETED} and good.longest < objective
    assert resident_mb(served.process.pid) < before + 8  # an eighth of its memory
