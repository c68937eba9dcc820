"""`lab budgets`: a fleet of relays, three of them keepers, divides budgets while faults befall it.

Most of the demand moves from relay to relay, and relays are killed, paused and cut off. Units and clients
count what the relays use.
"""

import contextlib
import copy
import tempfile
import time
from pathlib import Path

from laurelcourse import interface as face
from laurelcourse.lab import budgets_checks, faults
from laurelcourse.lab.budgets_checks import BudgetClient, BusyUnit, Request, Span
from laurelcourse.lab.cluster import Cluster
from laurelcourse.lab.process import RelayProcess
from laurelcourse.lab.report import Check, Progress, Report, quantile
from laurelcourse.prng import Prng
from laurelcourse.standins import faulty_proxy
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.faulty_proxy import Mode
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import PgClient
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config

KEEPERS = {"k1": "a", "k2": "b", "k3": "c"}
MEMBERS = {"m1": "a", "m2": "b", "m3": "c"}
JOINING = "m3"  # started later than the others
MAX_RELAYS = 6
UNITS = 3
CLIENTS_PER_RELAY = 12

# A client's pause in seconds: where most demand is, where some is, elsewhere.
HOT_PAUSE = 0.02
WARM_PAUSE = 0.3
COLD_PAUSE = 6.0

# Budgets: retries per second of the fleet, connections of a unit, and new connections per second of a unit.
RETRY_RATE = 24
RETRY_FLOOR = 1  # of a relay without a lease
MAX_CONNECTIONS = 60
CONNECTION_FLOOR = 5
HANDSHAKE_RATE = 60
HANDSHAKE_FLOOR = 5

LEASE = 1.5  # seconds, as of `cluster.FLEET_ATTRIBUTES`
HEARTBEAT = 0.25  # seconds, as there
BURST_FRACTION = 4  # a rate allows a burst of a quarter of it (`fleet/budgets/usage.py`)
WINDOWS = (1.0, 2.0, 4.0)  # seconds, in which uses are compared with a rate
GRACE = 0.3  # seconds after the end of a lease, since its renewal may have been under way
SETTLE_SECONDS = 2 * LEASE  # after a shift of demand
MIN_FLOOR_USE = 0.5  # the share of a floor that must be used
MIN_FLOOR_DEMAND = 2.0  # if so many tries are refused for each use
DIVIDED_AGAIN_SHARE = 0.7  # of a rate, used where most demand is
JOINED_RATE = DIVIDED_AGAIN_SHARE * (RETRY_RATE - RETRY_FLOOR * MAX_RELAYS)

SECOND_US = 1_000_000
MIN_FULL_SECONDS = 30  # shorter runs leave parts out
START_TIMEOUT = 15
RESTART_TIMEOUT = 10
CLIENT_JOIN_TIMEOUT = 7
MEASURED_SECONDS = 2.0
SCRIPT_DURATION_US = 4_500_000
SCRIPT_GAP_US = 1_200_000
FAULT_KINDS = (faults.KILL, faults.PAUSE, faults.CUT, faults.SILENT, faults.DEAF)


def _budget(
    name: str, kind: str, scope: str, total: int, floor: int, equal_parts: int, **attributes: str
) -> dict[str, str]:
    parts = {"whole": str(total), "floor": str(floor), "relays": str(MAX_RELAYS)}
    if equal_parts:
        part = total // equal_parts
        parts = {"whole": str(part * equal_parts), "floor": str(part), "relays": str(equal_parts)}
    when_used_up = "shed" if scope == "fleet" else "wait"
    fixed = {"name": name, "kind": kind, "scope": scope, "when-used-up": when_used_up}
    return fixed | parts | attributes


def budget_attributes(equal_parts: int = 0) -> tuple[dict[str, str], ...]:
    """Returns the budgets' attributes; with `equal_parts`, for so many relays and with nothing to share."""
    return (
        _budget(face.RESENDS, "rate", "fleet", RETRY_RATE, RETRY_FLOOR, equal_parts),
        _budget(
            face.CONNECTIONS,
            "level",
            "unit",
            MAX_CONNECTIONS,
            CONNECTION_FLOOR,
            equal_parts,
            **{"freed-after": "500ms"},
        ),
        _budget(face.HANDSHAKES, "rate", "unit", HANDSHAKE_RATE, HANDSHAKE_FLOOR, equal_parts),
    )


def platform_settings() -> dict:
    """Returns the relays' settings as the platform gives them."""
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    settings["limits"]["peer_messages"] = False
    return settings


class Environment:
    """Units, a directory, a deployer, and clients of whatever relays there are."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.clients: list[BudgetClient] = []
        self.units = [BusyUnit(seed * UNITS + number) for number in range(UNITS)]
        self.directory = DirectoryStandIn()
        self.deployer = DeployerStandIn()
        for number, unit in enumerate(self.units):
            self.directory.put(f"u-{number}", unit.address)

    def add_clients(self, relay: str, port: int, pause: float) -> None:
        """Starts the clients of one relay."""
        first_seed = (self.seed * MAX_RELAYS + len(self.clients)) * CLIENTS_PER_RELAY
        self.clients += [
            BudgetClient(first_seed + number, relay, port, pause) for number in range(CLIENTS_PER_RELAY)
        ]

    def set_demand(self, hot_relay: str) -> None:
        """Moves most demand to one relay, or with '' to none."""
        for client in self.clients:
            client.pause = HOT_PAUSE if client.relay == hot_relay else COLD_PAUSE

    def requests(self) -> list[Request]:
        """Returns all clients' requests so far."""
        return [request for client in self.clients for request in client.requests]

    def retries(self) -> list[tuple[float, str]]:
        """Returns when each retry came, and of which relay's clients."""
        return budgets_checks.retries(self.units, self.requests())

    def retry_times(self) -> list[float]:
        """Returns when each retry came."""
        return [at for at, _ in self.retries()]

    def stop_clients(self) -> None:
        """Stops all clients, and waits for what they have under way."""
        for client in self.clients:
            client.over.set()
        for client in self.clients:
            client.thread.join(CLIENT_JOIN_TIMEOUT)

    def close(self) -> None:
        """Stops all clients, and closes the stand-ins."""
        for client in self.clients:
            client.over.set()
        for unit in self.units:
            unit.close()
        self.directory.close()
        self.deployer.close()


class Scenario:
    """The fleet's run. What befell whom, and when, is noted for the checks."""

    def __init__(self, seed: int, folder: Path, removed_guard: str, progress: Progress, short: bool) -> None:
        self.rng = Prng(seed)
        self.progress = progress
        self.short = short
        self.environment = Environment(seed)
        self.cluster = Cluster(
            folder,
            KEEPERS,
            MEMBERS,
            budgets=budget_attributes(),
            directory=self.environment.directory.address,
            deployer=self.environment.deployer.address,
            known=self.environment.directory.full_list(),
            platform_settings=platform_settings(),
            removed_guard=removed_guard,
            lab="budgets",
        )
        self.down: list[Span] = []  # killed or paused
        self.without_lease: list[Span] = []
        self.steady_periods: list[tuple[float, float]] = []
        self.no_quorum_periods: list[tuple[float, float]] = []
        self.seconds_to_divide = {"join": -1.0, "kill": -1.0}
        self.steady_cpu = 0.0  # seconds
        self.steady_requests = 0

    def run(self) -> None:
        """Runs all parts, and closes the cluster and its environment."""
        try:
            self._start()
            self._shift_demand()
            if not self.short:
                self._join_relay()
                self._kill_relay()
            self._pause_past_lease()
            self._lose_quorum()
            if not self.short:
                self._play_script()
            self.environment.stop_clients()
        finally:
            self.environment.close()
            self.cluster.close()

    def _start(self) -> None:
        names = [name for name in self.cluster.nodes if name != JOINING]
        for name in names:
            self.cluster.nodes[name].start()
        wait_until(lambda: all(self._holds_lease(name) for name in names), START_TIMEOUT)
        for name in names:
            self.environment.add_clients(name, self.cluster.ports[name], COLD_PAUSE)

    def _holds_lease(self, name: str) -> bool:
        return "state=held" in self.cluster.nodes[name].log.read_text()

    def _shift_demand(self) -> None:
        """Has most demand at one relay, then at another."""
        for hot_relay in ("m1",) if self.short else ("m1", "k2"):
            self.progress.say(f"most demand is at {hot_relay}")
            self.environment.set_demand(hot_relay)
            time.sleep(SETTLE_SECONDS)
            start = time.monotonic()
            requests = len(self.environment.requests())
            cpu = self._cpu()
            time.sleep(MEASURED_SECONDS)
            self.steady_periods.append((start, time.monotonic()))
            self.steady_requests += len(self.environment.requests()) - requests
            self.steady_cpu += self._cpu() - cpu

    def _cpu(self) -> float:
        return sum(node.cpu() for node in self.cluster.nodes.values() if node.alive())

    def _seconds_to_divide(self, relay: str, start: float) -> float:
        times = [at for at, one in self.environment.retries() if one == relay]
        return budgets_checks.seconds_to_rate(times, start, time.monotonic(), JOINED_RATE)

    def _join_relay(self) -> None:
        node = self.cluster.nodes[JOINING]
        self.environment.set_demand("")
        node.start()
        self.progress.say(f"{JOINING} joins, and most demand is there")
        self.environment.add_clients(JOINING, self.cluster.ports[JOINING], HOT_PAUSE)
        start = time.monotonic()
        time.sleep(2 * LEASE + HEARTBEAT)
        self.seconds_to_divide["join"] = self._seconds_to_divide(JOINING, start)

    def _kill_relay(self) -> None:
        """Kills the relay that has most of the budget; its demand goes to another at once."""
        self.progress.say(f"{JOINING} is killed, and most demand is at m2")
        self.cluster.nodes[JOINING].kill()
        start = time.monotonic()
        self.environment.set_demand("m2")
        time.sleep(2 * LEASE + 2 * HEARTBEAT)
        self.seconds_to_divide["kill"] = self._seconds_to_divide("m2", start)
        self.down.append(Span(JOINING, start, float("inf")))
        for client in self.environment.clients:
            if client.relay == JOINING:
                client.over.set()

    def _pause_past_lease(self) -> None:
        """Cuts one relay off and pauses it for longer than a lease; cuts another one off.

        The paused relay wakes while it is still cut off.
        """
        paused, cut_off = ("m1", "m2") if self.rng.below(2) else ("m2", "m1")
        kinds = (faulty_proxy.CUT, faulty_proxy.SILENT, faulty_proxy.HALF_OPEN)
        mode = Mode(kinds[self.rng.below(3)])
        self.progress.say(f"{paused} has its shares and is paused, {cut_off} cut off ({mode.kind})")
        self.environment.set_demand(paused)
        time.sleep(LEASE)
        node = self.cluster.nodes[paused]
        paused_at = time.monotonic()
        for keeper in KEEPERS:
            self.cluster.set_link(paused, keeper, Mode(faulty_proxy.CUT))
            self.cluster.set_link(cut_off, keeper, mode)
        node.pause()
        time.sleep(LEASE + GRACE)
        node.wake()
        self.environment.set_demand(cut_off)
        for client in self.environment.clients:
            client.pause = HOT_PAUSE if client.relay in (paused, cut_off) else COLD_PAUSE
        woken_at = time.monotonic()
        time.sleep(2 * LEASE)
        healed_at = time.monotonic()
        for name in (paused, cut_off):
            for keeper in KEEPERS:
                self.cluster.set_link(name, keeper, Mode())
        self.down.append(Span(paused, paused_at, woken_at))
        self.without_lease += [Span(name, woken_at, healed_at) for name in (paused, cut_off)]

    def _lose_quorum(self) -> None:
        """Cuts the keepers off from each other: every relay's lease ends, and it serves on."""
        pairs = [(one, other) for one in KEEPERS for other in KEEPERS if one < other]
        mode = Mode((faulty_proxy.CUT, faulty_proxy.SILENT)[self.rng.below(2)])
        self.environment.set_demand("m1")
        time.sleep(LEASE)
        self.progress.say(f"the quorum is lost ({mode.kind})")
        for one, other in pairs:
            self.cluster.set_link(one, other, mode)
        lost_at = time.monotonic()
        # The leader may grant until it has missed its quorum for an election timeout: a heartbeat.
        time.sleep(LEASE + HEARTBEAT + GRACE)
        # Each relay has demand beyond its floor.
        for client in self.environment.clients:
            client.pause = HOT_PAUSE if client.relay == "m1" else WARM_PAUSE
        ended_at = time.monotonic()
        time.sleep(2 * LEASE)
        healed_at = time.monotonic()
        for one, other in pairs:
            self.cluster.set_link(one, other, Mode())
        self.no_quorum_periods.append((lost_at, healed_at))
        self.without_lease += [
            Span(name, ended_at, healed_at) for name, node in self.cluster.nodes.items() if node.alive()
        ]

    def _play_script(self) -> None:
        """Injects faults by seed; over_whole and one_outcome_each are checked over all of it."""
        members = tuple((name, site) for name, site in MEMBERS.items() if name != JOINING)
        plan = faults.Plan(
            tuple(KEEPERS.items()),
            members,
            duration=SCRIPT_DURATION_US,
            gap=SCRIPT_GAP_US,
            lease=int(LEASE * SECOND_US),
            kinds=FAULT_KINDS,
        )
        self.environment.set_demand("m2")
        start = time.monotonic()
        for fault in faults.generate_script(self.environment.seed, plan):
            time.sleep(max(start + fault.at / SECOND_US - time.monotonic(), 0))
            self.progress.say(faults.describe(fault))
            name = fault.targets[0]
            if fault.kind in (faults.KILL, faults.PAUSE):
                self.down.append(Span(name, time.monotonic(), float("inf")))
            self.cluster.inject(fault)
            if fault.kind == faults.RESTART:
                wait_until(lambda name=name: self._accepts(name), RESTART_TIMEOUT)
            if fault.kind in (faults.RESTART, faults.WAKE):
                self._end_downtime(name)
        time.sleep(1.0)

    def _end_downtime(self, name: str) -> None:
        self.down = [
            span._replace(end=time.monotonic()) if span.relay == name and span.end == float("inf") else span
            for span in self.down
        ]

    def _accepts(self, name: str) -> bool:
        with contextlib.suppress(OSError):
            PgClient(self.cluster.ports[name]).sock.close()
            return True
        return False


def measure_equal_parts(seed: int, folder: Path) -> float:
    """Returns the share of the retry rate that is used where each relay has an equal part of it."""
    environment = Environment(seed)
    names = KEEPERS | {name: site for name, site in MEMBERS.items() if name != JOINING}
    cluster = Cluster(
        folder,
        KEEPERS,
        {name: names[name] for name in names if name not in KEEPERS},
        budgets=budget_attributes(len(names)),
        directory=environment.directory.address,
        deployer=environment.deployer.address,
        known=environment.directory.full_list(),
        platform_settings=platform_settings(),
    )
    try:
        cluster.start()
        for name in names:
            environment.add_clients(name, cluster.ports[name], COLD_PAUSE)
        environment.set_demand("m1")
        time.sleep(1.5)
        start = time.monotonic()
        time.sleep(MEASURED_SECONDS)
        period = (start, time.monotonic())
        environment.stop_clients()
        rate = RETRY_RATE // len(names) * len(names)
        return budgets_checks.used_share(environment.retry_times(), [period], rate)
    finally:
        environment.close()
        cluster.close()


def measure_without_fleet(seed: int, folder: Path) -> float:
    """Returns the seconds of CPU time per request of relays without a fleet, under the same demand."""
    environment = Environment(seed)
    names = [*KEEPERS, *(name for name in MEMBERS if name != JOINING)]
    ports = {name: reserve_port() for name in names}
    relays = []
    try:
        for number, name in enumerate(names):
            config = relay_config(
                name,
                f"{RELAY_HOST}:{ports[name]}",
                environment.directory.address,
                environment.deployer.address,
                environment.directory.full_list(),
                platform_settings() | {"me": number, "balancers": len(names) + 1},
            )
            relays.append(RelayProcess(folder / name, config))
            relays[-1].start()
            environment.add_clients(name, ports[name], COLD_PAUSE)
        environment.set_demand("m1")
        time.sleep(1.0)
        requests = len(environment.requests())
        cpu = sum(relay.cpu() for relay in relays)
        time.sleep(MEASURED_SECONDS)
        requests = len(environment.requests()) - requests
        cpu = sum(relay.cpu() for relay in relays) - cpu
        environment.stop_clients()
        return cpu / max(requests, 1)
    finally:
        environment.close()
        for relay in relays:
            relay.kill()


def run(seed: int, seconds: float, removed_guard: str, progress: Progress) -> Report:
    """Runs the lab.

    Below `MIN_FULL_SECONDS` it leaves out the joining and killed relay, faults by seed, and comparisons.
    """
    start = time.monotonic()
    short = seconds < MIN_FULL_SECONDS
    with tempfile.TemporaryDirectory(prefix="laurelcourse-lab-") as folder:
        scenario = Scenario(seed, Path(folder) / "fleet", removed_guard, progress, short)
        scenario.run()
        figures = measure(scenario)
        if not short and not removed_guard:
            progress.say("equal fixed parts, then no fleet")
            figures["used_of_whole_fixed"] = measure_equal_parts(seed, Path(folder) / "fixed")
            cpu = measure_without_fleet(seed, Path(folder) / "plain")
            figures["cpu_us_a_req_plain"] = round(cpu * SECOND_US)
    return Report("budgets", seed, time.monotonic() - start, figures, make_checks(scenario))


def measure(scenario: Scenario) -> dict[str, float]:
    """Returns the figures of a run."""
    environment = scenario.environment
    requests = environment.requests()
    without_quorum = [
        request
        for request in requests
        if any(start <= request.at < end for start, end in scenario.no_quorum_periods)
    ]
    served_without_quorum = sum(request.answer == "TDCZ" for request in without_quorum)
    retry_times = environment.retry_times()
    figures = {
        "reqs": len(requests),
        "completed": sum(request.answer == "TDCZ" for request in requests),
        "shed": sum(request.code == "53300" for request in requests),
        "errored": sum(request.code == "58000" for request in requests),
        "resends": len(retry_times),
        "connections": sum(change > 0 for unit in environment.units for _, change in unit.connection_changes),
        "latency_p99_ms": round(quantile([request.took for request in requests], 0.99) * 1000, 1),
        "used_of_whole": budgets_checks.used_share(retry_times, scenario.steady_periods, RETRY_RATE),
        "served_without_keepers": round(served_without_quorum / max(len(without_quorum), 1), 3),
        "cpu_us_a_req": round(scenario.steady_cpu / max(scenario.steady_requests, 1) * SECOND_US),
    }
    if not scenario.short:
        figures |= {f"redivided_{event}_s": value for event, value in scenario.seconds_to_divide.items()}
    return figures


def _count_over_budgets(units: list[BusyUnit], retry_times: list[float]) -> int:
    over = budgets_checks.count_over_rate(
        retry_times, RETRY_RATE, RETRY_RATE / BURST_FRACTION + MAX_RELAYS, WINDOWS
    )
    for unit in units:
        over += budgets_checks.count_over_level(unit.connection_changes, MAX_CONNECTIONS)
        opened = [at for at, change in unit.connection_changes if change > 0]
        over += budgets_checks.count_over_rate(
            opened, HANDSHAKE_RATE, HANDSHAKE_RATE / BURST_FRACTION + MAX_RELAYS, WINDOWS
        )
    return over


def make_checks(scenario: Scenario) -> list[Check]:
    """Returns the checks of a run."""
    environment = scenario.environment
    requests = environment.requests()
    retries = environment.retries()
    refusals = budgets_checks.refusals(environment.units, requests)
    over = _count_over_budgets(environment.units, [at for at, _ in retries])
    wrong_outcomes = sum(
        not request.answered_once() and not budgets_checks.is_excused(request, scenario.down)
        for request in requests
    )
    wrong_outcomes += sum(client.unexpected_bytes for client in environment.clients)
    return [
        Check(
            "over_whole",
            over,
            0,
            "resends, connections held and new at a unit, beyond the whole: rates"
            f" in any 1, 2 and 4 s, with a burst of whole / {BURST_FRACTION} and one a relay",
        ),
        Check(
            "used_after_lapse",
            budgets_checks.count_beyond_floor(retries, scenario.without_lease, RETRY_FLOOR),
            0,
            "resends beyond the floor of a relay whose lease must have ended",
        ),
        Check(
            "floor_broken",
            budgets_checks.count_unused_floors(
                refusals,
                retries,
                scenario.without_lease,
                RETRY_FLOOR,
                MIN_FLOOR_DEMAND,
                MIN_FLOOR_USE,
            ),
            0,
            "times in which a relay without keepers had demand and did not use its floor",
        ),
        Check(
            "one_outcome_each",
            wrong_outcomes,
            0,
            "reqs without exactly one final answer in time, and answers nobody asked for",
        ),
    ]
