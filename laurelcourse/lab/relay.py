"""`lab relay`: two relay processes before units of an old and a new build, without a fleet.

A bad build is voted back, then a good one is voted on, while clients go on asking.
"""

import contextlib
import copy
import re
import tempfile
import threading
import time
from pathlib import Path

from laurelcourse.lab.process import RelayProcess
from laurelcourse.lab.report import Check, Progress, Report, quantile
from laurelcourse.lab.rollout import MachinePool, count_over_cap, offer_build
from laurelcourse.prng import Prng
from laurelcourse.standins.base import RELAY_HOST
from laurelcourse.standins.deployer import RolloutDeployer
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import PgClient, UnitStandIn, build_query
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config

UNITS = 10
RELAYS = 2
CLIENTS = 24
BAD_BUILD = 2
GOOD_BUILD = 3

# Exposure of a build on trial.
CAPS = (0.1, 0.5, 1.0)  # by stage
FREE = 2  # tries, in a window
WINDOW = 2.0  # seconds
STAGE_SECONDS = 1.25 * WINDOW  # at least: exposure is counted over a window
MACHINE_SHARES = (0.3, 0.6, 1.0)  # of units that run the build on trial, by stage

LATE_ANSWER_SECONDS = 0.25  # by which a busy machine may be late
TIMEOUT_MS = 1500  # of a request
PAUSE = 0.12  # seconds, a client's usual pause between two requests
# Of a sound unit on a request, in seconds. If answers came at once, waits of a busy machine for its
# processors would be several times what is usual, and pass for a slow build.
WORK_SECONDS = 0.1

WARM_UP_SECONDS = 2.5  # before a build is offered
CLIENT_JOIN_TIMEOUT = 5
TRAILING_ANSWER_TIMEOUT = 0.3


class Request:
    """One request as its client saw it."""

    __slots__ = ("answer", "at", "code", "late", "name", "relay", "took")

    def __init__(self, name: str, relay: int, at: float) -> None:
        self.name = name
        self.relay = relay
        self.at = at
        self.answer = ""  # types of the messages of the answer
        self.code = ""
        self.took = 0.0
        self.late = False

    def answered_once(self) -> bool:
        """Whether exactly one final answer came, in time."""
        return self.answer in ("TDCZ", "EZ") and not self.late


def platform_settings(number: int) -> dict:
    """Returns the settings of one relay as the platform gives them."""
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    settings["me"] = number
    settings["balancers"] = RELAYS
    settings["limits"]["peer_messages"] = False
    settings["domain"] |= {
        "free": FREE,
        "counted_over": WINDOW * 1000,
        "most_shares": CAPS,
        "rings": MACHINE_SHARES,
        "least_stage": 1000.0,
    }
    settings["obligations"]["warm_after"] = 1000.0
    return settings


class RepeatingClient:
    """A client that sends one request after another."""

    def __init__(self, seed: int, relay: int, port: int, over: threading.Event) -> None:
        self.relay = relay
        self.port = port
        self.over = over
        self.rng = Prng(seed)
        self.requests: list[Request] = []
        self.unexpected_bytes = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        client = None
        while not self.over.wait(PAUSE * (0.5 + self.rng.fraction())):
            with contextlib.suppress(OSError):
                client = client or PgClient(self.port)
                self._send(client)
                continue
            client = None
        if client:
            # Whatever comes now was asked by nobody.
            client.sock.settimeout(TRAILING_ANSWER_TIMEOUT)
            with contextlib.suppress(OSError):
                self.unexpected_bytes += len(client.stream.read(1) or b"")

    def _send(self, client: PgClient) -> None:
        route = ("read", "read", "mark", "once")[self.rng.below(4)]
        query = build_query(route, TIMEOUT_MS)
        request = Request(re.search(r"id=(\w+)", query)[1], self.relay, time.monotonic())
        self.requests.append(request)
        request.answer, request.code, _ = client.ask(query)
        request.took = time.monotonic() - request.at
        request.late = request.took > TIMEOUT_MS / 1000 + LATE_ANSWER_SECONDS


def make_unit(build: int) -> UnitStandIn:
    """Starts a unit of a build."""
    unit = UnitStandIn()
    unit.mode = "failed" if build == BAD_BUILD else f"slow{WORK_SECONDS}"
    return unit


def _start_clients(seed: int, ports: list[int], over: threading.Event) -> list[RepeatingClient]:
    return [
        RepeatingClient(seed * CLIENTS + number, number % RELAYS, ports[number % RELAYS], over)
        for number in range(CLIENTS)
    ]


def run(seed: int, seconds: float, removed_guard: str, progress: Progress) -> Report:
    """Runs the lab."""
    start = time.monotonic()
    directory = DirectoryStandIn()
    pool = MachinePool(directory, UNITS, MACHINE_SHARES, make_unit, seed)
    deployer = RolloutDeployer(CAPS, pool.on_rollout, bake=STAGE_SECONDS)
    ports = [reserve_port() for _ in range(RELAYS)]
    over = threading.Event()
    clients: list[RepeatingClient] = []
    with tempfile.TemporaryDirectory(prefix="laurelcourse-lab-") as folder:
        relays = [
            RelayProcess(
                Path(folder) / str(number),
                relay_config(
                    f"n{number}",
                    f"{RELAY_HOST}:{port}",
                    directory.address,
                    deployer.address,
                    directory.full_list(),
                    platform_settings(number),
                ),
                removed_guard=removed_guard,
                lab="relay",
            )
            for number, port in enumerate(ports)
        ]
        try:
            for relay in relays:
                relay.start()
            progress.say(f"{RELAYS} relays serve {UNITS} units of build 1 to {CLIENTS} clients")
            clients = _start_clients(seed, ports, over)
            time.sleep(WARM_UP_SECONDS)
            offer_build(deployer, BAD_BUILD, "it fails", start + (seconds - 3) / 2, progress)
            offer_build(deployer, GOOD_BUILD, "it is sound", start + seconds - 2, progress)
            time.sleep(0.5)
            over.set()
            for client in clients:
                client.thread.join(CLIENT_JOIN_TIMEOUT)
            counters = [relay.counters() for relay in relays]
        finally:
            over.set()
            for relay in relays:
                relay.kill()
            pool.close()
            directory.close()
            deployer.close()
    return make_report(seed, time.monotonic() - start, clients, pool, deployer, counters)


def make_report(
    seed: int,
    seconds: float,
    clients: list[RepeatingClient],
    pool: MachinePool,
    deployer: RolloutDeployer,
    counters: list[dict[str, int]],
) -> Report:
    """Returns the report of a run; `counters` are each relay's."""
    requests = [request for client in clients for request in client.requests]
    released = [build for _, build, _, phase, _ in deployer.history if phase == "Healthy"]
    aborted_at = next(
        (at for at, build, _, phase, _ in deployer.history if (build, phase) == (BAD_BUILD, "Aborting")), 0.0
    )
    offered_at = next((at for at, build, *_ in deployer.history if build == BAD_BUILD), 0.0)
    bad_build_tries = sum(len(machine.stand_in.times) for machine in pool.all if machine.build == BAD_BUILD)
    figures = {
        "reqs": len(requests),
        "completed": sum(request.answer == "TDCZ" for request in requests),
        "shed": sum(request.code == "53300" for request in requests),
        "errored": sum(request.code == "58000" for request in requests),
        "latency_p50_ms": round(quantile([request.took for request in requests], 0.5) * 1000, 1),
        "latency_p99_ms": round(quantile([request.took for request in requests], 0.99) * 1000, 1),
        "bad_build_back_after_s": round(aborted_at - offered_at, 1) if aborted_at else 0.0,
        "tries_at_bad_build": bad_build_tries,
        "module_faults": sum(count.get("module_faults", 0) for count in counters),
    }
    wrong_outcomes = sum(not request.answered_once() for request in requests)
    wrong_outcomes += sum(client.unexpected_bytes for client in clients)
    checks = [
        Check(
            "one_outcome_each",
            wrong_outcomes,
            0,
            "reqs without exactly one final answer in time, and answers nobody asked for",
        ),
        Check("bad_build_released", released.count(BAD_BUILD), 0, "releases of the build that fails"),
        Check(
            "good_build_released",
            released.count(GOOD_BUILD),
            1,
            "releases of the sound build",
            at_least=True,
        ),
        Check(
            "exposure_over_cap",
            count_exposure_over_cap(requests, pool, deployer),
            0,
            "tries at a build on trial beyond free + cap x reqs, by relay, in any 2 s",
        ),
    ]
    return Report("relay", seed, seconds, figures, checks)


def count_exposure_over_cap(requests: list[Request], pool: MachinePool, deployer: RolloutDeployer) -> int:
    """Returns how many tries at builds on trial exceed what their relay may send."""
    relay_of = {request.name: request.relay for request in requests}
    tries: dict[int, list[tuple[float, int]]] = {}
    for machine in pool.all:
        for at, query in zip(machine.stand_in.times, machine.stand_in.queries, strict=True):
            if machine.build > 1 and (match := re.search(r"id=(\w+)", query)):
                tries.setdefault(machine.build, []).append((at, relay_of.get(match[1], -1)))
    request_times = {
        relay: [request.at for request in requests if request.relay == relay] for relay in range(RELAYS)
    }
    grace = PLATFORM_SETTINGS["obligations"]["stop_sending_within"] / 1000
    return count_over_cap(tries, request_times, deployer, FREE, WINDOW, grace, LATE_ANSWER_SECONDS)
