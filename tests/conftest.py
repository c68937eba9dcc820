"""Shared helpers: settings of a small deployment, a driver of one balancer, and a relay among stand-ins."""

import contextlib
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from urllib.parse import parse_qsl

import pytest

from laurelcourse import interface as face
from laurelcourse.rules import Balancer
from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE, Route, Settings
from laurelcourse.standins.base import RELAY_HOST, STAND_IN_HOST, wait_until
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import PgClient, UnitStandIn
from laurelcourse.standins.settings import PLATFORM_SETTINGS

SECOND = 1_000_000
ROOT = Path(__file__).parent.parent


def route(name: str, repeat: str, group: str = "all") -> Route:
    return Route(name, SECOND, 3 * SECOND, 1.0, 0.2, repeat, group, 2 * SECOND)


SETTINGS = Settings(
    relay_index=0,
    relay_count=3,
    zone="a",
    tick=5000,
    max_tries=3,
    may_duplicate=True,
    may_probe=True,
    may_message_peers=True,
    may_send_retry_after=True,
    max_retry_after=SECOND,
    must_poll=False,
    max_poll_interval=10 * SECOND,
    routes=(route("read", RETRIABLE), route("mark", DEDUPED, "zone"), route("once", NON_RETRIABLE)),
    drain_grace=SECOND,
    start_capacity=0.3,
    warm_up_time=4 * SECOND,
    overload_factor=3.0,
    overload_window=SECOND,
    cap_per_route=False,
    cap_free_tries=2,
    cap_window=2 * SECOND,
    stage_caps=(0.1, 1.0),
    stage_shares=(0.1, 1.0),
    protected_stages=1,
    sticky_keys=False,
    release_control="any",
    min_stage_time=SECOND,
    vote_ttl=4 * SECOND,
    vote_timeout=SECOND,
    votes_to_advance=1,
    votes_to_roll_back=1,
    complaint_share=0.3,
    cross_zone_price=0.0,
)


class BalancerDriver:
    """Drives one balancer, and keeps its clock."""

    def __init__(self, **changed: object) -> None:
        self.now, self.made = 100 * SECOND, 0
        self.balancer = Balancer(SETTINGS._replace(**changed), 7, self.now)
        self.first = self.balancer.start(self.now)

    def list(
        self, *units: tuple[int, str, int, int], how: str = face.FULL_LIST, health: str = face.READY
    ) -> None:
        """Sends a list. Units are (number, zone, build, seconds since the start)."""
        entries = [
            face.Listed(unit, zone, 0, build, health, 1.0, self.now - int(age * SECOND))
            for unit, zone, build, age in units
        ]
        self.balancer.directory(self.now, how, entries)

    def news(self, build: int, stage: int = 0, standing: int = 0, cap: float = 0.1, since: int = 0) -> list:
        return self.balancer.stage(self.now, build, stage, standing, False, face.COUNTED, cap, since)

    def req(self, route: str = "read", left: int = 2 * SECOND) -> list:
        self.made += 1
        return self.balancer.new_req(self.now, f"r{self.made}", route, "", None, left, False)

    def end(
        self, sent: tuple, number: int, status: str, lag: int = 100_000, last: bool | None = None
    ) -> list:
        self.now += lag
        return self.balancer.outcome(
            self.now, sent[1], number, sent[2], status, lag, status == face.OK if last is None else last, {}
        )

    def serve(self, times: int, status: str = face.OK, route: str = "read", lag: int = 100_000) -> None:
        for _ in range(times):
            sent, number = self.req(route)[-1], 0
            while sent[0] == face.SEND:
                results, number = self.end(sent, number, status, lag), number + 1
                sent = results[-1] if results else (None,)

    def wait(self, seconds: float) -> list:
        results = []
        for _ in range(int(seconds * 20)):
            self.now += SECOND // 20
            results += self.balancer.timer(self.now, "beat")
        return results


@pytest.fixture
def make_driver() -> Callable[..., BalancerDriver]:
    return BalancerDriver


# A relay's process, and the stand-ins of the package for whom it speaks with.


class Served:
    """A relay's process, started with the command of the deploy file, and the stand-ins around it."""

    def __init__(
        self,
        where: Path,
        units: int = 2,
        builds: tuple[int, ...] = (),
        sockets: int = 1024,
        files: int = 0,
        news: str = "",
        down: bool = False,
        modes: str = "ok",
        memory: int = 192,
        watched: str = "",
    ) -> None:
        """Starts the relay. `watched` is a program that runs the module in place of `-m`, and observes it."""
        self.units = [UnitStandIn() for _ in range(units)]
        self.directory, self.deployer = DirectoryStandIn(), DeployerStandIn()
        for place, unit in enumerate(self.units):
            unit.mode = modes
            self.directory.put(f"s-{place}", unit.address, build=(builds or (1,) * units)[place])
        self.deployer.news = news or self.deployer.news
        self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer.bind((STAND_IN_HOST, 0))
        self.peer.settimeout(5)
        self.port, self.udp = reserve_port(), reserve_port(socket.SOCK_DGRAM)
        other = "{}:{}".format(*self.peer.getsockname())
        state = dict(parse_qsl(self.deployer.news))
        self.config = {
            "name": "n0",
            "listen": f"{RELAY_HOST}:{self.port}",
            "discovery": self.directory.address,
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets},
            "peers_all": other,
            "peer_listen": f"{RELAY_HOST}:{self.udp}",
            "peers": [f"{RELAY_HOST}:{self.udp}", other],
            "pipeline": {"address": self.deployer.address, "news": state},
            "known": self.directory.full_list(),
            "settings": PLATFORM_SETTINGS,
        }
        if down:
            self.directory.close()
            self.deployer.close()
        self.path, self.log = where / "config.json", where / "log"
        self.path.write_text(json.dumps(self.config))
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        words = line.split("exec ")[1].split()
        limit = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))) if files else None
        words = ["-B", "-c", watched, *words[4:]] if watched else words[1:]
        self.process = subprocess.Popen(
            [sys.executable, *words],
            cwd=ROOT,
            preexec_fn=limit,
            env=os.environ | {"EDGE_CONFIG": str(self.path)},
            stderr=self.log.open("wb"),
        )
        wait_until(lambda: "msg=serving" in self.log.read_text() or self.process.poll() is not None)

    def client(self, first: bytes = b"") -> PgClient:
        return PgClient(self.port, first)

    def queries(self) -> list[str]:
        return [query for unit in self.units for query in unit.queries]

    def count(self, name: str) -> int:
        """Returns a counter, as the relay prints it on request."""

        def lines() -> list[str]:
            # Whole ones alone: the last may be in the writing.
            log_lines = self.log.read_text().splitlines(True)
            return [line for line in log_lines if "msg=counters" in line and line.endswith("\n")]

        printed = len(lines())
        self.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: len(lines()) > printed)
        line = lines()[-1].rstrip("\n")
        return int(dict(part.split("=", 1) for part in line.split(" ")).get(name, 0))

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for stand in (*self.units, self.directory, self.deployer):
            stand.close()
        self.peer.close()


def resident_mb(pid: int) -> float:
    """Returns the resident memory that no file holds, in MiB (Linux, /proc/PID/status)."""
    found = re.search(r"RssAnon:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024 if found else 0.0


@pytest.fixture
def serve(tmp_path: Path) -> Iterator[Callable[..., Served]]:
    with contextlib.ExitStack() as stack:

        def start(**kinds: object) -> Served:
            return stack.enter_context(contextlib.closing(Served(tmp_path, **kinds)))

        yield start
