"""Reqs that are open or read in part as the relay stops, is paused, or runs short of a resource."""

import copy
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

import conftest
import pytest
from conftest import Served
from test_race_clients import WAYS, asked, goes_on, leave, stopped
from test_race_units import Rig

from laurelcourse import interface as face
from laurelcourse.net.scheduler import Mailbox
from laurelcourse.standins.base import read_exactly, wait_until
from laurelcourse.standins.postgres import (
    READY,
    UnitStandIn,
    build_query,
    pack_error,
    pack_message,
    read_message,
)
from laurelcourse.standins.settings import PLATFORM_SETTINGS

SECOND = 1_000_000
COMPLETED = ("TDCZ", "")
LARGEST = 64 << 10  # bytes of a value


def largest() -> bytes:
    return asked(build_query("once").replace("9f03", "9f" * LARGEST))


def test_simultaneous_large_reqs_are_all_answered(serve: Callable[..., Served]) -> None:
    """They arrive while all are read in parts: none is refused for the memory that the others take."""
    served = serve(memory=16)
    clients = [served.client() for _ in range(16)]
    for client in clients:
        assert client.ask(build_query())[:2] == COMPLETED
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * LARGEST)
    stopped(served.process)
    for client in clients:
        client.sock.sendall(largest())
    goes_on(served.process)
    # A burst may be shed in part; a connection that closes says nothing.
    assert [client.answer()[0] in ("TDCZ", "EZ") for client in clients] == [True] * 16
    assert served.count("clients_over_memory") == 0


class HeldUnit(UnitStandIn):
    """A unit whose connections come up at once, but are greeted only when the test releases them."""

    def __init__(self) -> None:
        self.go = threading.Event()
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        self.go.wait(10)
        super().serve(conn, stream)


@WAYS
def test_a_close_and_a_connection_arrive_while_the_process_is_paused(
    serve: Callable[..., Served], monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    settings["limits"]["connect_timeout"] = 3000.0
    monkeypatch.setattr(conftest, "PLATFORM_SETTINGS", settings)
    monkeypatch.setattr(conftest, "UnitStandIn", HeldUnit)
    served = serve(units=1)
    clients, unit = [served.client() for _ in range(4)], served.units[0]
    for client in clients:
        client.send(build_query("once"))
    wait_until(lambda: len(unit.connections) == 4)
    served.count("notices")
    stopped(served.process)
    for client in clients:
        leave(client, how)
    time.sleep(0.2)  # an attempt that begins more than 0.1 s after the close is a break
    unit.go.set()
    time.sleep(0.2)  # the greetings are in the relay's machine
    goes_on(served.process)
    wait_until(lambda: served.count("reqs.once.withdrawn") == 4)
    assert served.queries() == [] and served.count("tries.unsent") >= 4
    assert served.count("module_faults") == served.count("tasks_died") == 0


def test_a_stop_finds_reqs_in_each_state_and_answers_all(
    serve: Callable[..., Served], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reqs wait for a connection, are unread, read in part, pipelined, or answered in part.

    All of this happens while the process is stopped, so that the signal, reqs and answers come between two of
    its statements.
    """
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    settings["limits"]["connect_timeout"] = 3000.0
    monkeypatch.setattr(conftest, "PLATFORM_SETTINGS", settings)
    monkeypatch.setattr(conftest, "UnitStandIn", HeldUnit)
    served = serve(units=1, modes="drip")
    unit, clients = served.units[0], [served.client() for _ in range(6)]
    waits, unread, halves, ahead, gone, idle = clients
    for client in (waits, gone):
        client.send(build_query("once"))
    wait_until(lambda: len(unit.connections) == 2)
    halves.sock.sendall(asked(build_query("once"))[:40])
    served.count("notices")
    stopped(served.process)
    served.process.send_signal(signal.SIGTERM)
    unread.send(build_query("once"))
    ahead.sock.sendall(asked(build_query("once")) + asked(build_query()))
    leave(gone, "fin")
    unit.go.set()
    goes_on(served.process)
    wait_until(lambda: "msg=stopping" in served.log.read_text())
    rest = asked(build_query("once"))
    halves.sock.sendall(rest[40:])
    results = [client.answer()[:2] for client in (waits, unread, halves, ahead, ahead, idle)]
    assert results == [COMPLETED] * 5 + [("", "")]
    assert served.process.wait(10) == 0
    assert "reqs.once.withdrawn=1" in served.log.read_text().splitlines()[-1] and len(served.queries()) == 5


def test_an_idle_connection_keeps_no_large_buffer() -> None:
    unit = UnitStandIn()
    unit.mode, rig = "large", Rig(unit)

    def ask() -> None:
        assert rig.ask() == face.OK
        ((_, conn),) = rig.pool.endpoints[0].idle
        assert len(conn.buffer.data) == rig.limits.usual_buffer

    rig.run(ask)
    assert not rig.faults


def test_a_timely_answer_is_no_timeout_when_the_relay_is_late() -> None:
    """The relay is busy from before the answer until after the try's timeout."""
    unit, results = UnitStandIn(), []
    unit.mode, rig = "slow0.1", Rig(unit)

    def ask() -> None:
        box = Mailbox(rig.scheduler)
        rig.begin(box, wait=SECOND // 2)
        while not unit.queries:
            rig.scheduler.sleep(SECOND // 200)
        time.sleep(0.6)
        results.append(box.get()[3])
        unit.mode = "silent"
        results.append(rig.ask(wait=SECOND // 10))

    rig.run(ask)
    assert results == [face.OK, face.TIMEOUT] and not rig.faults and rig.even()


def test_a_relay_whose_connections_are_all_in_use_blames_no_unit(serve: Callable[..., Served]) -> None:
    """Tries of clients that have left hold all connections: that none is free says nothing about a unit."""
    served, most = serve(sockets=40, modes="silent"), (40 - 40 // 8 - 16) * 9 // 20
    for taken in range(most):
        client = served.client()
        client.send(build_query("once", 3000))
        wait_until(lambda count=taken + 1: len(served.queries()) == count)
        leave(client, "fin")
    answer = served.client().ask(build_query())[:2]
    assert answer == ("EZ", "53300") and served.count("units_no_descriptor") > 0
    assert served.count("tries.unreached") == 0 and len(served.queries()) == most


class FailsLate(UnitStandIn):
    """A unit that fails each query once the test releases it."""

    def __init__(self) -> None:
        self.go = threading.Event()
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        read_exactly(stream, struct.unpack("!I", read_exactly(stream, 4))[0] - 4)
        conn.sendall(pack_message(b"R", bytes(4)) + READY)
        while True:
            self.queries.append(read_message(stream)[1].decode())
            self.go.wait(10)
            conn.sendall(pack_error("XX000") + READY)


@WAYS
def test_a_failure_and_its_clients_close_begin_no_further_try(
    serve: Callable[..., Served], monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """The req may be repeated, and the relay learns of the failure and of the close in one turn."""
    monkeypatch.setattr(conftest, "UnitStandIn", FailsLate)
    served = serve(units=2)
    clients = [served.client() for _ in range(4)]
    for client in clients:
        client.send(build_query())
    wait_until(lambda: len(served.queries()) == 4)
    stopped(served.process)
    for client in clients:
        leave(client, how)
    for unit in served.units:
        unit.go.set()
    time.sleep(0.2)  # the answers are in the relay's machine, and the closes over 0.1 s old
    goes_on(served.process)
    wait_until(lambda: served.count("reqs.read.withdrawn") == 4)
    assert len(served.queries()) == 4
