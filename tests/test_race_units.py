"""Connections to units, with a close, a partial, late or early answer forced between any two steps."""

import contextlib
import errno
import re
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import BinaryIO

import conftest
import pytest
from conftest import Served

from laurelcourse import interface as face
from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.exchange import Exchange
from laurelcourse.net.connection import Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.idle_limit import IdleLimit
from laurelcourse.net.limits import limits
from laurelcourse.net.pool import Pool
from laurelcourse.net.scheduler import Clock, Mailbox, Scheduler
from laurelcourse.net.tries import TryRunner
from laurelcourse.settings import SettingsTree
from laurelcourse.standins.base import STAND_IN_HOST, StandIn, read_exactly, reset_on_close, wait_until
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import (
    READY,
    ROW,
    ROW_DESCRIPTION,
    build_query,
    pack_error,
    pack_message,
    read_message,
)
from laurelcourse.standins.settings import PLATFORM_SETTINGS

COMPLETED, SHED, ERRORED = ("TDCZ", ""), ("EZ", "53300"), ("EZ", "58000")
GREETING = pack_message(b"R", bytes(4)) + READY
OTHER = ROW.replace(b"\x9f\x03", b"\x66\x66")  # what no unit made for the req at hand
FATAL = pack_message(b"E", b"SFATAL\0C53300\0Mgoing\0\0")
BEFORE = pack_message(b"N", b"SNOTICE\0\0") + pack_message(b"S", b"gauges\0avg_ms=3\0")
WAIT = 1_000_000


class Scripted(StandIn):
    """A unit that runs `play(unit, conn, stream)` on each of its connections.

    `queries` are those that came whole; `said` is what the unit tells the test. With `narrow` its kernel
    buffers little. Until it `opens` it accepts nobody; with `shut` not even its kernel does.
    """

    def __init__(self, play: Callable[..., None], narrow: bool = False, shut: bool = False) -> None:
        self.play, self.queries, self.said = play, [], []
        self.opens, self.over = threading.Event(), threading.Event()
        if not shut:
            self.opens.set()
        super().__init__()
        self.first = []
        if shut:
            self.listener.listen(0)  # holds one connection, and this is it
            self.first = [socket.create_connection((STAND_IN_HOST, self.port))]
        if narrow:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)

    def _accept(self) -> None:
        self.opens.wait()
        super()._accept()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        self.play(self, conn, stream)

    def close(self) -> None:
        self.over.set()
        self.opens.set()
        for sock in self.first:
            sock.close()
        super().close()

    def query(self, stream: BinaryIO) -> str:
        kind, body = read_message(stream)
        if kind != b"Q":
            raise EOFError
        self.queries.append(body[:-1].decode())
        return self.queries[-1]


def hello(stream: BinaryIO) -> None:
    read_exactly(stream, int.from_bytes(read_exactly(stream, 4), "big") - 4)


def greet(conn: socket.socket, stream: BinaryIO) -> None:
    hello(stream)
    conn.sendall(GREETING)


def usual(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    greet(conn, stream)
    while unit.query(stream):
        conn.sendall(ROW + READY)


class Rig:
    """A pool and its tries in this process, over sockets to stand-ins; units are numbered from 0."""

    def __init__(self, *stands: StandIn, **changed: object) -> None:
        self.faults: list[int] = []
        self.scheduler = Scheduler(Clock(), lambda: self.faults.append(1))
        root = {"limits": {"sockets": 1024, "memory_mb": 64}, "settings": PLATFORM_SETTINGS}
        self.limits = limits(SettingsTree(root))._replace(**{"connect_timeout": 1_000_000} | changed)
        self.exchange = Exchange(self.scheduler, self.limits, True, Counters())
        self.counters = self.exchange.counters
        self.pool = Pool(self.scheduler, self.limits, self.exchange.greet, self.counters)
        self.pool.budgets = self.held = Held()
        self.tries = TryRunner(self.scheduler, self.pool, self.exchange, self.counters)
        self.stands = stands
        self.list()

    def list(self, **changed: object) -> None:
        listed = face.Listed(0, "a", 0, 1, face.READY, 1.0, face.START_UNKNOWN_US)
        self.pool.update_units(
            [
                (listed._replace(**{"unit": number} | changed), (STAND_IN_HOST, stand.port))
                for number, stand in enumerate(self.stands)
            ],
            True,
        )

    def begin(self, box: Mailbox, words: str = "", unit: int = 0, wait: int = WAIT) -> object:
        return self.tries.begin(
            0, unit, wait, wire.parse_statement((words or build_query("once")).encode()), box
        )

    def ask(self, words: str = "", unit: int = 0, wait: int = WAIT) -> str:
        box = Mailbox(self.scheduler)
        self.begin(box, words, unit, wait)
        return box.get()[3]

    def run(self, work: Callable[[], None]) -> None:
        task = self.scheduler.spawn(work)
        self.scheduler.run(lambda: task.dead)
        for stand in self.stands:
            stand.close()

    def even(self) -> bool:
        """Returns whether every connection that is counted is an idle one."""
        idle = [conn for place in self.pool.endpoints.values() for _, conn in place.idle]
        return self.pool.open_count == len(idle) == self.held.connections and set(idle) == set(
            self.pool.unit_by_connection
        )


class Held(face.NoBudgets):
    connections = 0

    def consume(self, now: int, name: str, key: str = "") -> None:
        self.connections += name == face.CONNECTIONS

    def release(self, now: int, name: str, key: str = "") -> None:
        self.connections -= 1


def number(words: str) -> int:
    return int(re.search(r"id=([0-9a-f]+)", words)[1], 16)


def numbered(number: int) -> str:
    return re.sub("id=[0-9a-f]+", f"id={number:016x}", build_query("once"))


# What was cut at each byte: (answer, [(from how many bytes on, its outcome)]), reset before the first.
CUT = {
    "row": (ROW + READY, [(len(ROW), face.OK)]),
    "row behind notices": (BEFORE + ROW + READY, [(len(BEFORE + ROW), face.OK)]),
    "two rows": (ROW + ROW, [(len(ROW), face.OK), (len(ROW + ROW_DESCRIPTION), face.RESET)]),
    "turned away": (pack_error("53300") + READY, [(len(pack_error("53300") + READY), face.BUSY)]),
    "turned away for good": (FATAL, [(len(FATAL), face.BUSY)]),
    "turned away behind notices": (BEFORE + FATAL, [(len(BEFORE + FATAL), face.BUSY)]),
    "turned away and a row": (FATAL + ROW, [(len(FATAL), face.BUSY), (len(FATAL) + 1, face.RESET)]),
    "turned away within a row": (
        ROW[:-14] + pack_error("53300") + READY,
        [(len(ROW[:-14] + pack_error("53300") + READY), face.FAILED)],
    ),
    "error": (pack_error("XX000") + READY, [(len(pack_error("XX000") + READY), face.FAILED)]),
    "at fault": (pack_error("42601") + READY, [(len(pack_error("42601") + READY), face.CLIENT_FAULT)]),
}


def expected(answer: str, cut: int) -> str:
    return [face.RESET, *(status for begins, status in CUT[answer][1] if cut >= begins)][-1]


def cutting(answer: bytes, end: str) -> Callable[..., None]:
    """Answers with as many bytes as the req's number says, and then closes, resets or stays silent."""

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        greet(conn, stream)
        conn.sendall(answer[: number(unit.query(stream))])
        if end == "reset":
            reset_on_close(conn)
        elif end == "silent":
            stream.read()

    return play


@pytest.mark.parametrize("answer", CUT)
def test_an_answer_cut_at_any_byte_proves_only_what_it_contains(answer: str) -> None:
    raw = CUT[answer][0]
    rig, results = (
        Rig(Scripted(cutting(raw, "closed")), connect_timeout=5 * WAIT),
        [],
    )  # no outcome here is one of time
    rig.run(lambda: results.extend(rig.ask(numbered(cut), wait=5 * WAIT) for cut in range(len(raw) + 1)))
    assert results == [expected(answer, cut) for cut in range(len(raw) + 1)]
    assert len(rig.stands[0].queries) == len(raw) + 1 and rig.even()


@pytest.mark.parametrize("end", ["reset", "silent"])
@pytest.mark.parametrize("answer", ["row", "turned away for good"])
def test_an_answer_that_stops_at_each_byte_is_served_or_may_have_run(answer: str, end: str) -> None:
    """A reset may overtake bytes, and a silent unit may go on. Only a whole row or a whole code counts."""
    raw = CUT[answer][0]
    rig, results = Rig(Scripted(cutting(raw, end))), {}

    def work() -> None:
        boxes = [Mailbox(rig.scheduler) for _ in range(len(raw) + 1)]
        for cut, box in enumerate(boxes):
            rig.begin(box, numbered(cut))
        results.update((cut, box.get()[3]) for cut, box in enumerate(boxes))

    rig.run(work)
    for cut, status in results.items():
        best = expected(answer, cut)
        if end == "silent" and best == face.BUSY:
            best = face.RESET  # more may follow while the connection stands
        worse = {face.RESET} if end == "reset" else {face.TIMEOUT} if cut == 0 else set()
        assert status in {best} | worse, cut
    assert rig.even() and len(rig.stands[0].queries) == len(raw) + 1


@pytest.fixture
def among(serve: Callable[..., Served], monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., Served]]:
    """Starts a relay's process among units that each run a script."""

    def start(*plays: Callable[..., None], narrow: bool = False, **changed: float) -> Served:
        stands = iter([Scripted(play, narrow) for play in plays])
        monkeypatch.setattr(conftest, "UnitStandIn", lambda: next(stands))
        monkeypatch.setattr(
            conftest,
            "PLATFORM_SETTINGS",
            PLATFORM_SETTINGS
            | {"limits": PLATFORM_SETTINGS["limits"] | {"connect_timeout": 1000.0} | changed},
        )
        return serve(units=len(plays))

    return start


@pytest.mark.parametrize(
    "answer, whole, end",
    [("row", len(ROW), COMPLETED), ("turned away", len(pack_error("53300") + READY), SHED)],
)
def test_clients_get_the_right_answer_for_each_cut(
    among: Callable[..., Served], answer: str, whole: int, end: tuple
) -> None:
    raw = CUT[answer][0]
    served = among(cutting(raw, "closed"))
    client = served.client()
    for cut in range(len(raw) + 1):
        letters, code, row = client.ask(numbered(cut))
        assert (letters, code) == (end if cut >= whole else ERRORED), cut
        assert cut < whole or end == SHED or pack_message(b"D", row) in ROW
    assert served.count("tasks_died") == 0 == served.count("module_faults")


def early_greeting(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    """Fills exactly what is read at once with its greeting; a row that nobody asked for follows."""
    hello(stream)
    padding = 4096 - len(GREETING) - 5 - len("padding\0\0")
    conn.sendall(
        pack_message(b"R", bytes(4))
        + pack_message(b"S", b"padding\0" + b"x" * padding + b"\0")
        + READY
        + OTHER
        + READY
    )
    unit.query(stream)
    conn.sendall(ROW + READY)


def test_bytes_before_the_query_are_not_its_answer(among: Callable[..., Served]) -> None:
    served = among(early_greeting)
    letters, code, row = served.client().ask(build_query("once"))
    assert row == b"" and (letters, code) == SHED
    assert not served.queries()


def early_row(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    """Answers before the query's last byte is written, and reads from then on."""
    greet(conn, stream)
    if len(unit.connections) > 1:
        unit.query(stream)
        conn.sendall(ROW + READY)
        return
    conn.recv(1, socket.MSG_PEEK)
    conn.sendall(OTHER + READY)
    with contextlib.suppress(EOFError):
        time.sleep(0.05)  # what was written until now is on its way, what is left waits
        unit.query(stream)
        conn.sendall(ROW + READY)


LARGE_SQL = build_query("once").replace("9f03", "9f03" * 32768)


def again(words: str) -> str:
    """Returns the same statement as another req."""
    return re.sub("id=[0-9a-f]+", re.search("id=[0-9a-f]+", build_query())[0], words)


def test_an_answer_before_the_querys_last_byte_is_not_its_answer(among: Callable[..., Served]) -> None:
    served = among(early_row, narrow=True)
    letters, code, row = served.client().ask(LARGE_SQL)
    assert (letters, code) == COMPLETED and pack_message(b"D", row) in ROW
    assert len(served.queries()) == 1


def deaf(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    """Reads no query; its kernel buffers what it can."""
    greet(conn, stream)
    unit.over.wait(5)


def deaf_and_gone(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    greet(conn, stream)
    conn.recv(1, socket.MSG_PEEK)
    reset_on_close(conn)


@pytest.mark.parametrize(
    "play, asked, end",
    [(deaf, LARGE_SQL, SHED), (deaf, build_query("once"), ERRORED), (deaf_and_gone, LARGE_SQL, SHED)],
    ids=["in part", "whole", "in part, then reset"],
)
def test_a_partly_buffered_query_has_never_run(
    among: Callable[..., Served], play: Callable[..., None], asked: str, end: tuple
) -> None:
    served, began = among(play, narrow=True), time.monotonic()
    asked = asked.replace("d=2000", "d=500")
    assert served.client().ask(asked)[:2] == end
    assert time.monotonic() - began < 1.2 and not served.queries()
    assert play is not deaf or len(served.units[0].connections) == 1, (
        "no connection is begun once the time is over"
    )


def test_a_cancel_counts_while_the_query_waits_to_be_written(among: Callable[..., Served]) -> None:
    """The unit's kernel takes no more of a req that may be repeated: another unit serves it in time."""
    served = among(deaf, usual, narrow=True)
    client, deaf_one = served.client(), served.units[0]
    while not deaf_one.connections:
        assert client.ask(again(LARGE_SQL).replace("c=once", "c=read"))[:2] == COMPLETED
    assert not deaf_one.queries


def test_a_cancelled_querys_last_byte_stays_where_it_is() -> None:
    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        with contextlib.suppress(EOFError):
            usual(unit, conn, stream)
        unit.said.append("its end")

    rig, results = Rig(Scripted(play), last_byte_delay=200_000), []

    def work() -> None:
        rig.pool.idle_limit.is_wary = True
        box = Mailbox(rig.scheduler)
        upstream_try = rig.begin(box)
        rig.scheduler.sleep(40_000)
        upstream_try.cancel()
        results.append(box.get()[3])
        wait_until(lambda: rig.stands[0].said)

    rig.run(work)
    assert results == [face.CANCELLED] and not rig.stands[0].queries and rig.even()


# -- connections that come up late, or never


def held(seconds: float) -> Callable[..., None]:
    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        hello(stream)
        time.sleep(seconds)
        conn.sendall(GREETING)
        while unit.query(stream):
            conn.sendall(ROW + READY)

    return play


def dripped(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    hello(stream)
    for at in range(len(GREETING)):
        time.sleep(0.06)
        conn.sendall(GREETING[at : at + 1])
    unit.query(stream)


def endless(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    hello(stream)
    while True:
        conn.sendall(pack_message(b"S", b"name\0value\0"))


def greeted(greeting: bytes) -> Callable[..., None]:
    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        hello(stream)
        conn.sendall(greeting)

    return play


@pytest.mark.parametrize(
    "play, wait, status, least, most",
    [
        (held(0.1), 900, face.OK, 0.1, 0.5),
        (held(0.8), 900, face.UNREACHABLE, 0.5, 0.7),
        (dripped, 900, face.UNREACHABLE, 0.5, 0.7),
        (endless, 900, face.UNREACHABLE, 0.5, 0.7),
        (held(9), 100, face.UNREACHABLE, 0.1, 0.3),
        (endless, 100, face.UNREACHABLE, 0.1, 0.3),
        (greeted(FATAL), 900, face.BUSY, 0, 0.2),
        (greeted(GREETING + FATAL), 900, face.UNREACHABLE, 0, 0.2),
        (greeted(READY + READY), 900, face.UNREACHABLE, 0, 0.2),
        (greeted(b"HTTP/1.1"), 900, face.UNREACHABLE, 0, 0.2),
    ],
    ids=[
        "just in time",
        "just late",
        "dripped",
        "endless",
        "held, short try",
        "endless, short try",
        "turned away",
        "greeted and turned away",
        "ready twice",
        "nonsense",
    ],
)
def test_a_greeting_ends_with_the_connect_time_out_or_the_try(
    play: Callable[..., None], wait: int, status: str, least: float, most: float
) -> None:
    rig, results = Rig(Scripted(play), Scripted(usual), connect_timeout=500_000), {}

    def work() -> None:
        box, began = Mailbox(rig.scheduler), time.monotonic()
        rig.begin(box, wait=wait * 1000)
        results["beside"] = rig.ask(unit=1)
        results["status"] = box.get()[3]
        results["after"] = time.monotonic() - began

    rig.run(work)
    assert (results["status"], results["beside"]) == (status, face.OK) and rig.even()
    assert least <= results["after"] < most + 0.3
    assert len(rig.stands[0].queries) == (status == face.OK)


@pytest.mark.parametrize("greeting, whole", [(GREETING, None), (FATAL, face.BUSY)], ids=["usual", "full"])
def test_a_greeting_cut_at_each_byte_has_run_nothing(greeting: bytes, whole: str | None) -> None:
    results = []

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        hello(stream)
        conn.sendall(greeting[: len(unit.connections) - 1])

    rig = Rig(Scripted(play))
    rig.run(lambda: results.extend(rig.ask() for _ in range(len(greeting))))
    assert results == [face.UNREACHABLE] * len(greeting) and rig.even() and not rig.stands[0].queries
    if whole:
        rig = Rig(Scripted(greeted(greeting)))
        rig.run(lambda: results.append(rig.ask()))
        assert results[-1] == whole


@pytest.mark.parametrize(
    "connect, opens, status, least, most",
    [
        (300_000, None, face.UNREACHABLE, 0.3, 0.9),
        (500_000, 0.1, face.UNREACHABLE, 0.5, 0.95),
        (2_500_000, 0.1, face.OK, 0.9, 2.4),
    ],
    ids=["never", "just late", "just in time"],
)
def test_a_host_that_never_connects_has_run_nothing(
    connect: int, opens: float | None, status: str, least: float, most: float
) -> None:
    """It drops the first packet, and accepts the one that is sent again a second later, if still needed."""
    rig, results = Rig(Scripted(usual, shut=True), connect_timeout=connect), []
    if opens:
        threading.Timer(opens, rig.stands[0].opens.set).start()

    def work() -> None:
        began = time.monotonic()
        results.extend((rig.ask(wait=4_000_000), time.monotonic() - began))

    rig.run(work)
    assert results[0] == status and least <= results[1] < most and rig.even()
    assert len(rig.stands[0].queries) == (status == face.OK)


@pytest.mark.parametrize("wait, connections", [(150_000, (1, 2)), (WAIT, (3,))])
def test_connections_that_break_all_end_within_the_try(wait: int, connections: tuple) -> None:
    """Each new connection of a try has its own timeout; together they end with the try."""

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        hello(stream)
        time.sleep(0.1)
        conn.sendall(GREETING)
        conn.recv(1, socket.MSG_PEEK)
        reset_on_close(conn)

    rig, results = Rig(Scripted(play, narrow=True)), []

    def work() -> None:
        began = time.monotonic()
        results.extend((rig.ask(LARGE_SQL, wait=wait), time.monotonic() - began))

    rig.run(work)
    assert results[0] == face.UNREACHABLE and rig.even() and not rig.stands[0].queries
    assert results[1] < wait / 1e6 + 0.3 and len(rig.stands[0].connections) in connections


# -- counted once, given back once


def nonsense(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
    greet(conn, stream)
    unit.query(stream)
    conn.sendall(b"HTTP/1.1 400")


def broken(*_: object) -> str:
    raise RuntimeError("a fault of this program")


def no_descriptor(*_: object) -> None:
    raise OSError(errno.EMFILE, "too many open files")


@pytest.mark.parametrize(
    "play, meddle, status",
    [
        (usual, "", face.OK),
        (nonsense, "", face.RESET),
        (deaf, "", face.TIMEOUT),
        (usual, "refused", face.UNREACHABLE),
        (greeted(GREETING[:5]), "", face.UNREACHABLE),
        (greeted(FATAL), "", face.BUSY),
        (cutting(ROW, "closed"), "", face.RESET),
        (held(0.3), "cancel", face.CANCELLED),
        (deaf, "cancel", face.CANCELLED),
        (held(0.3), "gone", None),
        (deaf, "gone", face.TIMEOUT),
        (usual, "fault in the greeting", face.RESET),
        (usual, "fault in the answer", face.RESET),
        (usual, "no descriptor", face.UNREACHABLE),
    ],
)
def test_each_way_a_try_ends_gives_its_connection_back_once(
    play: Callable[..., None], meddle: str, status: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig, results = Rig(Scripted(play), Scripted(usual), max_upstream=2), []
    if meddle == "refused":
        rig.stands[0].listener.close()
        rig.stands[0].port = reserve_port(host=STAND_IN_HOST)
        rig.list()
    elif meddle == "fault in the greeting":
        rig.pool.greet = broken
    elif meddle == "fault in the answer":
        rig.exchange.answered = broken
    elif meddle == "no descriptor":
        monkeypatch.setattr(socket, "socket", no_descriptor)

    def work() -> None:
        box = Mailbox(rig.scheduler)
        upstream_try = rig.begin(box, numbered(3), wait=600_000)
        rig.scheduler.sleep(50_000 if meddle in ("cancel", "gone") else 0)
        if meddle == "cancel":
            upstream_try.cancel()
        elif meddle == "gone":
            rig.pool.update_units([], True)
        results.append(box.get()[3])
        monkeypatch.undo()
        rig.pool.greet, rig.exchange.answered = (
            rig.exchange.greet,
            type(rig.exchange).answered.__get__(rig.exchange),
        )
        rig.scheduler.sleep(1000)
        rig.list()
        results.append(rig.even())
        # All that may be open can be opened again: what rests gives way.
        results.extend(rig.ask(unit=1) for _ in range(3))

    rig.run(work)
    assert results[1:] == [True] + [face.OK] * 3 and results[0] == (status or results[0])
    assert len(rig.faults) == meddle.startswith("fault") and rig.even()


# -- a connection that was kept


def once_more(late: float) -> Callable[..., None]:
    """Sends each answer a second time, so many seconds late and with another value."""

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        greet(conn, stream)
        while unit.query(stream):
            conn.sendall(ROW + READY)
            time.sleep(late)
            conn.sendall(OTHER + READY)
            unit.said.append("again")

    return play


@pytest.mark.parametrize("late", [0.0, 0.08])
def test_a_second_answer_on_an_idle_connection_is_discarded(
    among: Callable[..., Served], late: float
) -> None:
    served = among(once_more(late))
    (unit,), client = served.units, served.client()
    for turn in range(5):
        letters, code, row = client.ask(build_query("once"))
        assert (letters, code) == COMPLETED and pack_message(b"D", row) in ROW
        wait_until(lambda turn=turn: len(unit.said) == turn + 1)
    assert len(unit.connections) == 5 == len(unit.queries) and served.count("tries.ok") == 5


def between(rig: Rig, monkeypatch: pytest.MonkeyPatch, what: Callable[[Connection], None]) -> None:
    """Has something happen right after a kept connection was found clean, before the query's first byte."""
    real, once = Connection.is_clean, [what]

    def clean(conn: Connection) -> bool:
        is_clean = real(conn)
        if is_clean and rig.stands[0].queries and once:
            once.pop()(conn)
        return is_clean

    monkeypatch.setattr(Connection, "is_clean", clean)


@pytest.mark.parametrize("end, status, queries", [("closed", face.RESET, 1), ("reset", face.OK, 2)])
def test_a_kept_connection_that_closes_just_as_it_is_taken(
    end: str, status: str, queries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a reset the kernel accepts nothing, and the query never ran; after an end it accepts it."""

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        greet(conn, stream)
        while unit.query(stream):
            conn.sendall(ROW + READY)
            if len(unit.queries) == 1:
                unit.over.wait(5)
                return reset_on_close(conn) if end == "reset" else None

    rig, results = Rig(Scripted(play)), []

    def goes(conn: Connection) -> None:
        rig.stands[0].over.set()
        wait_until(lambda: conn.peek() == b"")

    between(rig, monkeypatch, goes)

    def work() -> None:
        results.append(rig.ask())
        rig.scheduler.sleep(2 * rig.limits.settle_time)
        results.append(rig.ask())

    rig.run(work)
    assert results == [face.OK, status] and len(rig.stands[0].queries) == queries and rig.even()


def at_the_next_byte(*what: bytes | None) -> Callable[..., None]:
    """At the first byte of a connection's second query it sends something or, with None, closes."""

    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        greet(conn, stream)
        while unit.query(stream):
            conn.sendall(ROW + READY)
            if len(unit.queries) == 1:
                conn.recv(1, socket.MSG_PEEK)
                for step in what:
                    if step is None:
                        return
                    conn.sendall(step)

    return play


@pytest.mark.parametrize(
    "what",
    [(None,), (OTHER + READY,), (OTHER[:1],), (FATAL, None)],
    ids=["closed", "a row", "a byte", "turned away"],
)
def test_a_delayed_last_byte_is_not_sent_after_unexpected_bytes(what: tuple) -> None:
    rig, results = Rig(Scripted(at_the_next_byte(*what)), last_byte_delay=200_000), []

    def work() -> None:
        results.append(rig.ask())
        rig.scheduler.sleep(2 * rig.limits.settle_time)
        rig.pool.idle_limit.is_wary = True
        box = Mailbox(rig.scheduler)
        rig.begin(box)
        results.append(box.get()[3:7:3])

    rig.run(work)
    assert results == [face.OK, (face.OK, ROW)] and len(rig.stands[0].queries) == 2
    assert len(rig.stands[0].connections) == 2 and rig.even()


def test_a_broken_new_connection_does_not_change_idle_limits() -> None:
    rests = IdleLimit(Rig().limits)
    for _ in range(10):
        rests.record(0, True)
    assert rests.max_idle == rests.limits.max_idle and rests.is_wary
    for _ in range(10):  # kept ones break as often: a rest makes nothing worse
        rests.record(rests.limits.settle_time, True)
    assert rests.max_idle == rests.limits.max_idle
    for _ in range(200):
        rests.record(0, False)
    rests.record(rests.limits.settle_time, True)
    assert rests.max_idle == rests.limits.settle_time, "none is so young any more: none is kept"


def test_an_answer_that_came_while_the_relay_was_paused_is_whole(among: Callable[..., Served]) -> None:
    def play(unit: Scripted, conn: socket.socket, stream: BinaryIO) -> None:
        greet(conn, stream)
        unit.query(stream)
        conn.sendall(ROW[:20])
        unit.said.append("begun")
        unit.over.wait(5)
        conn.sendall(ROW[20:] + READY)
        unit.said.append("done")

    served = among(play)
    (unit,), client = served.units, served.client()
    client.send(build_query("once"))
    wait_until(lambda: unit.said)
    time.sleep(0.05)  # the relay has read the beginning
    served.process.send_signal(signal.SIGSTOP)
    unit.over.set()
    wait_until(lambda: len(unit.said) == 2)
    time.sleep(0.6)  # longer than an answer that has begun may pause
    served.process.send_signal(signal.SIGCONT)
    assert client.answer()[:2] == COMPLETED
