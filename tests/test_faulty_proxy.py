"""Faulty proxies in each mode, scripts of faults, and real relays that these befall."""

import contextlib
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from conftest import ROOT, wait_until

from laurelcourse.lab import faults
from laurelcourse.lab.cluster import Cluster
from laurelcourse.lab.faults import ALL, ENDS, LEADER, SITE, Fault, Plan, describe, generate_script
from laurelcourse.operator import reading
from laurelcourse.standins.base import StandIn
from laurelcourse.standins.faulty_proxy import (
    CUT,
    DEAF,
    FLAP,
    HALF_OPEN,
    OPEN,
    SILENT,
    SLOW,
    TO_CLIENT,
    TO_SERVER,
    FaultyProxies,
    Mode,
)


class Echo(StandIn):
    """A server that returns what it gets, and keeps it."""

    def serve(self, conn: socket.socket, stream: object) -> None:
        self.got = getattr(self, "got", b"")
        while data := conn.recv(65536):
            self.got += data
            conn.sendall(data)


class Pair:
    """A process `a` that reaches the echo server of `b` through a proxy."""

    def __init__(self) -> None:
        self.echo, self.ways = Echo(), FaultyProxies()
        self.address = self.ways.open("a", "b", ("127.0.0.3", self.echo.port))

    def connect(self, seconds: float = 5.0) -> socket.socket:
        return socket.create_connection(self.address, seconds)

    def asks(self, sock: socket.socket, words: bytes = b"hello", seconds: float = 5.0) -> bytes | str:
        """Returns what comes back: bytes, `reset`, `refused`, or `nothing` in this time."""
        try:
            sock.settimeout(seconds)
            sock.sendall(words)
            data = b""
            while len(data) < len(words):
                if not (piece := sock.recv(65536)):
                    return "ended"
                data += piece
            return data
        except TimeoutError:
            return "nothing"
        except ConnectionError:
            return "reset"

    def anew(self, seconds: float = 5.0) -> bytes | str:
        try:
            with self.connect(seconds) as sock:
                return self.asks(sock, seconds=seconds)
        except TimeoutError:
            return "unheard"
        except ConnectionRefusedError:
            return "refused"
        except ConnectionError:
            return "reset"

    def set(self, kind: str, **figures: int) -> None:
        self.ways.set("a", "b", Mode(kind, **figures))

    def close(self) -> None:
        self.ways.close()
        self.echo.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    with contextlib.closing(Pair()) as open_pair:
        yield open_pair


# By mode: what an old connection's asking gets, what a new one's, whether the far end hears the old one, and
# whether the old one's answer comes once the way is healed.
@pytest.mark.parametrize(
    "mode, old, new, heard, comes",
    [
        (Mode(OPEN), b"hello", b"hello", True, True),
        (Mode(CUT), "reset", "refused", False, False),
        (Mode(SILENT), "nothing", "unheard", False, True),
        (Mode(DEAF, direction=TO_SERVER), "nothing", "nothing", False, True),
        (Mode(DEAF, direction=TO_CLIENT), "nothing", "nothing", True, True),
        (Mode(HALF_OPEN), "nothing", "nothing", False, True),
        (Mode(SLOW, delay=700_000), "nothing", "nothing", False, True),
        (Mode(SLOW, delay=20_000), b"hello", b"hello", True, True),
    ],
)
def test_each_mode_does_what_it_says_and_is_healed(
    pair: Pair, mode: Mode, old: bytes | str, new: bytes | str, heard: bool, comes: bool
) -> None:
    sock = pair.connect()
    assert pair.asks(sock, b"first") == b"first"
    pair.ways.set("a", "b", mode)
    # That nothing comes is seen after a while; what comes is waited for.
    assert pair.asks(sock, b"hello", 0.15 if old == "nothing" else 5) == old
    if heard:
        wait_until(lambda: pair.echo.got == b"firsthello")
    assert (pair.echo.got == b"firsthello") is heard
    assert pair.anew(0.15 if new in ("nothing", "unheard") else 5) == new
    pair.ways.heal()
    if comes and old == "nothing":
        sock.settimeout(5)
        assert sock.recv(100) == b"hello"
    if comes:
        assert pair.asks(sock, b"again") == b"again"
    with pair.connect() as fresh:
        assert pair.asks(fresh, b"fresh") == b"fresh"
    sock.close()
    wait_until(lambda: pair.ways.counts("a", "b").open_connections == 0)


def test_bytes_and_connections_are_counted_each_way(pair: Pair) -> None:
    with pair.connect() as first_conn, pair.connect() as second_conn:
        assert (
            pair.asks(first_conn, b"x" * 300_000) == b"x" * 300_000 and pair.asks(second_conn, b"y") == b"y"
        )
        # What has come may be counted a moment later.
        wait_until(lambda: pair.ways.counts("a", "b") == (2, 2, 300_001, 300_001))
        pair.set(DEAF, direction=TO_CLIENT)
        assert pair.asks(first_conn, b"z" * 1000, 0.15) == "nothing"
        wait_until(lambda: pair.ways.counts("a", "b") == (2, 2, 301_001, 300_001))


def test_a_slow_proxy_keeps_its_rate_and_delay(pair: Pair) -> None:
    pair.set(SLOW, delay=50_000, rate=200_000)
    with pair.connect() as sock:
        began = time.monotonic()
        assert pair.asks(sock, b"x" * 40_000) == b"x" * 40_000
        # A fifth of a second for the bytes, and twice the delay.
        assert time.monotonic() - began >= 0.29


def test_a_flapping_proxy_alternates_between_cut_and_open(pair: Pair) -> None:
    pair.set(FLAP, period=100_000)
    results = []
    over = time.monotonic() + 5
    while len(results) < 5 and time.monotonic() < over:
        answer = pair.anew()
        if not results or answer != results[-1]:
            results.append(answer)
    assert (
        len(results) == 5 and set(results) <= {"refused", "reset", b"hello"} and results.count(b"hello") >= 2
    )


def test_an_end_on_one_side_ends_the_other(pair: Pair) -> None:
    with pair.connect() as sock:
        sock.sendall(b"bye")
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(100) == b"bye" and sock.recv(100) == b""
    wait_until(lambda: pair.ways.counts("a", "b").open_connections == 0)
    pair.echo.close()
    assert pair.anew() in ("reset", "ended")


def test_a_thousand_changes_leave_no_connection_and_no_thread_behind(pair: Pair) -> None:
    threads = threading.active_count()
    socks = [pair.connect() for _ in range(20)]
    for turn in range(1000):
        pair.set((OPEN, SILENT, DEAF, HALF_OPEN, SLOW)[turn % 5])
    pair.set(CUT)
    assert pair.ways.counts("a", "b").open_connections == 0 and threading.active_count() <= threads + len(
        socks
    )
    for sock in socks:
        sock.close()


KEEPERS = (("k1", "a"), ("k2", "b"), ("k3", "c"), ("k4", "a"), ("k5", "b"))
MEMBERS = (("m1", "a"), ("m2", "b"), ("m3", "c"))
EVERY = (*faults.DEFAULT_KINDS, faults.KILL_ALL, faults.DISK_TORN, faults.OLD_DISK)


def most_down(script: tuple, keepers: dict[str, str]) -> tuple[int, set]:
    """Returns the most keepers down at once, and what had not ended, without slow links and wrong clocks."""
    open_: dict[tuple, str] = {}
    most = 0
    for fault in script:
        if fault.kind in ENDS:
            # No fault begins on one of the same that has not ended.
            assert (ENDS[fault.kind], fault.targets) not in open_
            open_[ENDS[fault.kind], fault.targets] = fault.kind
        else:
            del open_[fault.kind, fault.targets]
        # The end of one fault must not end another: a site's heals its ways, ALL's starts everyone.
        down: set[str] = set()
        others = [who for (_, who), kind in open_.items() if kind != faults.WRONG_CLOCK]
        assert (ALL,) not in others or len(others) == 1
        assert not any(who[0].startswith(SITE) for who in others) or all(len(who) == 1 for who in others)
        for (_, who), kind in open_.items():
            if kind in (faults.SLOW, faults.WRONG_CLOCK):
                continue
            if who[0].startswith(SITE):
                down |= {name for name, site in keepers.items() if SITE + site == who[0]}
            elif len(who) == 2:
                down |= {who[1]} if who[1] in keepers and who[0] in keepers else set()
            else:
                down |= {who[0]} & {*keepers, LEADER, ALL}
        most = max(most, len(down))
    return most, set(open_)


@pytest.mark.parametrize("down, count, beyond", [(1, 3, False), (2, 5, False), (1, 3, True)])
def test_scripts_keep_their_bounds_and_end_all_faults(down: int, count: int, beyond: bool) -> None:
    plan = Plan(
        KEEPERS[:count],
        MEMBERS,
        duration=120_000_000,
        kinds=EVERY,
        max_keepers_down=down,
        allow_quorum_loss=beyond,
    )
    kinds, most = set(), 0
    for seed in range(60):
        script = generate_script(seed, plan)
        reached, left = most_down(script, dict(plan.keepers))
        assert not left and (beyond or reached <= down)
        assert [fault.at for fault in script] == sorted(fault.at for fault in script) and script[
            -1
        ].at < plan.duration
        assert all(fault.at <= plan.duration * 5 // 6 for fault in script if fault.kind != faults.RIGHT_CLOCK)
        assert len(script) > 40
        kinds |= {fault.kind for fault in script}
        most = max(most, reached)
    site_fits = count == 5 or beyond or down == 1
    wanted = {*EVERY, *ENDS.values()} - (set() if beyond else {faults.KILL_ALL})
    assert kinds == wanted if site_fits else kinds <= wanted
    assert most >= down


def test_the_same_seed_gives_the_same_script_and_readable_lines() -> None:
    plan = Plan(KEEPERS[:3], MEMBERS)
    assert generate_script(7, plan) == generate_script(7, plan) != generate_script(8, plan)
    lines = [describe(fault) for fault in generate_script(7, plan)]
    assert lines[:4] == [
        "    2.183 s  disk-full    k1",
        "    3.141 s  pause        m1",
        "    3.891 s  wake         m1",
        "    3.986 s  slow         k3 k2 delay=40.386ms rate=131072B/s",
    ]
    assert all("\n" not in line and len(line) < 100 for line in lines)


def test_real_relays_get_each_fault_and_none_is_left(tmp_path: Path) -> None:
    budget = {"name": "resends", "kind": "rate", "whole": "100", "relays": "4"}
    pids: list[int] = []
    with Cluster(
        tmp_path,
        {"k1": "a", "k2": "b", "k3": "c"},
        {"m1": "a"},
        budgets=(budget,),
        skewed=True,
        find_leader=lambda: "k2",
    ) as host:
        nodes = host.start().nodes

        def meet(kind: str, *who: str, **figures: int) -> None:
            host.inject(Fault(0, kind, who, **figures))

        def alive() -> str:
            pids.extend(node.process.pid for node in nodes.values())
            return " ".join(name for name, node in nodes.items() if node.alive())

        def kinds() -> set[tuple[str, str, str, int]]:
            return {
                (*pair, proxy.mode.kind, proxy.mode.direction)
                for pair, proxy in host.proxies.proxies.items()
                if proxy.mode.kind != OPEN
            }

        fleet = reading.read(str(nodes["k1"].operator)).fleet
        assert [keeper.address for keeper in fleet.keepers] == [
            host.keeper_addresses["k1"],
            host.proxies.proxies["k1", "k2"].address,
            host.proxies.proxies["k1", "k3"].address,
        ]
        assert alive() == "k1 k2 k3 m1"
        meet(faults.PAUSE, "m1")
        assert nodes["m1"].process_state() == "T"
        meet(faults.WAKE, "m1")
        wait_until(lambda: nodes["m1"].process_state() != "T")
        before = nodes["k2"].process.pid
        meet(faults.KILL_LEADER, LEADER)
        assert alive() == "k1 k3 m1"
        meet(faults.RESTART, LEADER)
        assert alive() == "k1 k2 k3 m1" and nodes["k2"].process.pid != before
        meet(faults.KILL_ALL, ALL)
        assert alive() == ""
        meet(faults.RESTART, ALL)
        meet(faults.WRONG_CLOCK, "k3", value=5, rate=7)
        assert (nodes["k3"].folder / "clock").read_text() == "5 7" and alive() == "k1 k2 k3 m1"
        meet(faults.CUT, "k1", "k2")
        assert kinds() == {("k1", "k2", CUT, 0), ("k2", "k1", CUT, 0)}
        meet(faults.HEAL, "k1", "k2")
        meet(faults.DEAF, "m1", "k2")
        assert kinds() == {("m1", "k2", DEAF, TO_SERVER)}
        meet(faults.HEAL, "m1", "k2")
        meet(faults.DEAF, "k2", "m1")
        assert kinds() == {("m1", "k2", DEAF, TO_CLIENT)}
        meet(faults.HEAL, "k2", "m1")
        meet(faults.SITE_CUT, "@a")
        assert {kind[:2] for kind in kinds()} == {
            ("k1", "k2"),
            ("k1", "k3"),
            ("k2", "k1"),
            ("k3", "k1"),
            ("m1", "k2"),
            ("m1", "k3"),
        }
        meet(faults.HEAL, "@a")
        assert not kinds()
        for node in nodes.values():
            wait_until(lambda node=node: node.log.read_text().count("msg=serving") >= 2, 20)
        assert nodes["m1"].stop() == 0 and alive() == "k1 k2 k3"
    # What was waited for has no entry, or one that was used again by another.
    assert all(not node.alive() for node in nodes.values())
    mine = {
        pid
        for pid in pids
        if (path := Path(f"/proc/{pid}/cmdline")).exists() and str(tmp_path).encode() in path.read_bytes()
    }
    assert not mine


def test_disks_are_truncated_replaced_and_restored(tmp_path: Path) -> None:
    with Cluster(tmp_path, {"k1": "a"}, {}, {"alone": "true"}) as host:
        node = host.nodes["k1"]
        node.start = lambda wait=True: None
        file = node.data_folder / "some" / "file"
        file.parent.mkdir(parents=True)
        file.write_text("older")
        node.back_up_data("older")
        file.write_text("newest!!")
        for kind, content in (
            (faults.DISK_TORN, "newe"),
            (faults.DISK_BACK, "newest!!"),
            (faults.OLD_DISK, "older"),
            (faults.DISK_BACK, "newest!!"),
        ):
            host.inject(Fault(0, kind, ("k1",)))
            assert file.read_text() == content
        with pytest.raises(ValueError, match="skewed=True"):
            host.inject(Fault(0, faults.DISK_FULL, ("k1",)))


def test_a_script_is_played_at_its_times_until_it_is_over(tmp_path: Path) -> None:
    with Cluster(tmp_path, {"k1": "a", "k2": "b", "k3": "c"}, {}) as host:
        played: list[tuple[str, float, str]] = []
        began = time.monotonic()
        host.play(
            (Fault(20_000, faults.CUT, ("k1", "k2")), Fault(60_000, faults.HEAL, ("k1", "k2"))),
            threading.Event(),
            lambda fault: played.append(
                (fault.kind, time.monotonic() - began, host.proxies.proxies["k1", "k2"].mode.kind)
            ),
        )
        assert [(kind, before) for kind, _, before in played] == [("cut", OPEN), ("heal", CUT)]
        assert played[0][1] >= 0.02 and played[1][1] >= 0.06
        over = threading.Event()
        over.set()
        host.play((Fault(10**9, faults.CUT, ("k1", "k2")),), over)
        assert host.proxies.proxies["k1", "k2"].mode.kind == OPEN


PROBE = """
import sqlite3, sys, time
from pathlib import Path
here = Path(sys.argv[1])
db = sqlite3.connect(here / "db", isolation_level=None)
db.execute("create table t (a)")
told = []
for step in ("before", "while", "after"):
    (here / "full").touch() if step == "while" else (here / "full").unlink(missing_ok=True)
    try:
        db.executemany("insert into t values (?)", [(1,)])
        told.append("ok")
    except sqlite3.OperationalError as error:
        told.append(error.sqlite_errorname)
begun, real = time.monotonic(), time.clock_gettime(time.CLOCK_MONOTONIC)
while time.clock_gettime(time.CLOCK_MONOTONIC) < real + 0.2:
    pass
gone = (time.monotonic() - begun) / (time.clock_gettime(time.CLOCK_MONOTONIC) - real)
print(*told, round(time.time() - time.clock_gettime(time.CLOCK_REALTIME), -2), round(gone, 1))
"""


def test_a_skewed_process_has_another_clock_and_a_full_disk(tmp_path: Path) -> None:
    (tmp_path / "probe.py").write_text(PROBE)
    (tmp_path / "clock").write_text("-3600000000 500000")
    words = [sys.executable, "-B", "-m", "laurelcourse.lab.skewed", str(tmp_path), "probe", str(tmp_path)]
    ran = subprocess.run(
        words,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{ROOT}:{tmp_path}"},
        timeout=30,
        capture_output=True,
        text=True,
        check=False,
    )
    assert ran.stdout.split() == ["ok", "SQLITE_FULL", "ok", "-3600.0", "1.5"], ran.stderr
