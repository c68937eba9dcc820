"""`lab tuf`: clients fetch by TUF and Uptane through two relay processes from mirrors that fail by a script.

A bad release of the mirrors' software is voted back, then a good one is voted on. The memory of one more
relay is read while 64 large files are under way there.
"""

import http.client
import json
import re
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from laurelcourse.lab import tuf_clients
from laurelcourse.lab.process import ROOT, RelayProcess
from laurelcourse.lab.report import Check, Progress, Report, quantile
from laurelcourse.lab.rollout import Machine, MachinePool, count_over_cap, offer_build
from laurelcourse.lab.tuf_environment import BAD_BUILD, GOOD_BUILD, LARGE_FILE, SIZES, Environment
from laurelcourse.lab.tuf_rig import FRONT, TufRig
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.deployer import RolloutDeployer
from laurelcourse.standins.mirror import MirrorRequest, MirrorStandIn
from laurelcourse.standins.repository import TufRepository

RELAYS = 2
MIRRORS = 7
CLIENTS = 200
CLIENT_PROCESSES = 4
CLIENT_PAUSE = 3.2  # seconds, a client's usual pause between sessions
CLIENT_KINDS = (
    [tuf_clients.TUF] * 11 + [tuf_clients.PLAIN] * 5 + [tuf_clients.MANIFEST] * 3 + [tuf_clients.LEAVE]
)

# Exposure of a build on trial.
CAPS = (0.1, 0.5, 1.0)  # by stage
FREE = 2  # tries, in a window
WINDOW = 2.0  # seconds
GRACE = 2.0  # seconds
STAGE_SECONDS = 1.25 * WINDOW  # at least: exposure is counted over a window
LATE_NOTE_SECONDS = 0.5  # by which a stand-in that is short of CPU may see a try late
MACHINE_SHARES = (0.45, 0.6, 1.0)  # of mirrors that run the build on trial, by stage
DRAIN_SECONDS = 3.0  # longer than the grace, so that requests after it are seen

FULL_SIZE_SECONDS = 40.0  # shorter runs have fewer clients, and leave the large files out
TIMEOUTS = {"metadata": 3.0, "target": 20.0, "manifest": 2.0}  # seconds, by route
MANIFEST_PATH = "/director/manifest"
TIMESTAMP_PATH = "/plain/metadata/timestamp.json"

# A refusal was held back if it came near the end of its time, and no mirror was slow shortly before.
HELD_BACK_SHARE = 0.85  # of the time
IDLE_SECONDS = 0.6
SLOW_MIRROR_SECONDS = 0.5

HUGE_FILE_BYTES = 32 << 20
HUGE_FILE_READERS = 64
HUGE_FILE_SECONDS = 12


def make_tasks(
    environment: Environment, rig: TufRig, seed: int, seconds: float, full_size: bool
) -> list[dict]:
    """Returns what each process of clients is to do (see `tuf_clients.py`)."""
    repositories = [
        {
            "name": prefix.strip("/"),
            "prefix": prefix,
            "consistent": repository.consistent,
            "root": repository.pinned.hex(),
            "paths": list(SIZES),
            "large": LARGE_FILE,
        }
        for prefix, repository in environment.repositories.items()
        if prefix != "/director/"
    ]
    clients = [
        (
            number,
            {
                "kind": CLIENT_KINDS[number % len(CLIENT_KINDS)],
                "relay": number % RELAYS,
                "port": rig.ports[number % RELAYS],
            },
        )
        for number in range(CLIENTS if full_size else CLIENTS // 3)
    ]
    common = {
        "seed": seed,
        "host": RELAY_HOST,
        "repositories": repositories,
        "pace": CLIENT_PAUSE,
        "manifests": MANIFEST_PATH,
        "timeouts": TIMEOUTS,
    }
    processes = CLIENT_PROCESSES if full_size else CLIENT_PROCESSES // 2
    return [
        {"seconds": seconds, "common": common, "clients": clients[place::processes]}
        for place in range(processes)
    ]


def start_clients(task: dict) -> subprocess.Popen:
    """Starts a process of clients; its standard output has the records of their sessions."""
    process = subprocess.Popen(
        [sys.executable, "-m", "laurelcourse.lab.tuf_clients"],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    process.stdin.write(json.dumps(task))
    process.stdin.close()
    return process


def measure_overhead(rig: TufRig, mirror: MirrorStandIn, count: int) -> dict[str, float]:
    """Measures one reader's requests through a relay and at a mirror, in turn: latency and CPU time."""
    figures = {}
    relay = rig.relays[0]
    latencies: dict[str, list[float]] = {"relay": [], "mirror": []}
    connections = {
        "relay": http.client.HTTPConnection(RELAY_HOST, rig.ports[0]),
        "mirror": http.client.HTTPConnection(*mirror.address.split(":")),
    }
    cpu = relay.cpu()
    for _ in range(count):
        for name, conn in connections.items():
            for path in (TIMESTAMP_PATH, "/plain/targets/small.bin"):
                start = time.monotonic()
                conn.request("GET", path)
                conn.getresponse().read()
                latencies[name].append(time.monotonic() - start)
    figures["cpu_ms_a_req_relay"] = round((relay.cpu() - cpu) * 1000 / (2 * count), 2)
    cpu_start = time.process_time()
    for _ in range(count):
        connections["mirror"].request("GET", TIMESTAMP_PATH)
        connections["mirror"].getresponse().read()
    # The mirror and its reader are this process: what both use together is the most that the mirror uses.
    figures["cpu_ms_a_req_mirror_and_reader"] = round((time.process_time() - cpu_start) * 1000 / count, 2)
    for name, seconds in latencies.items():
        figures[f"quiet_p50_ms_{name}"] = round(quantile(seconds, 0.5) * 1000, 2)
        figures[f"quiet_p99_ms_{name}"] = round(quantile(seconds, 0.99) * 1000, 2)
        connections[name].close()
    return figures


class HugeFileReaders:
    """Readers of one large file at a relay, at the same time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.over = threading.Event()
        self.open_count = 0
        self.threads = [threading.Thread(target=self._read, daemon=True) for _ in range(HUGE_FILE_READERS)]

    def start(self) -> None:
        """Starts all readers."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stops all readers, and waits for them."""
        self.over.set()
        for thread in self.threads:
            thread.join(5)

    def _read(self) -> None:
        while not self.over.is_set():
            conn = http.client.HTTPConnection(RELAY_HOST, self.port, timeout=10)
            try:
                conn.request("GET", "/huge/targets/huge.bin")
                response = conn.getresponse()
                if response.status == 200:
                    self.open_count += 1
                    while not self.over.is_set() and response.read(65536):
                        pass
                    self.open_count -= 1
                    return
                response.read()
            except (OSError, http.client.HTTPException):
                pass
            finally:
                conn.close()
            self.over.wait(0.3)


def measure_memory(folder: Path, progress: Progress) -> dict[str, float]:
    """Returns the peak memory of a relay of its own with many large files under way at once."""
    repository = TufRepository(False)
    repository.add("huge.bin", tuf_clients.file_content("huge.bin", 1, HUGE_FILE_BYTES))
    repository.publish()
    mirrors = [MirrorStandIn({"/huge/": repository}, rate=400_000) for _ in range(4)]
    rig = TufRig(folder, {"/huge/": repository}, mirrors)
    readers = HugeFileReaders(rig.ports[0])
    try:
        rig.start()
        idle = rig.relays[0].peak_mb()
        readers.start()
        deadline = time.monotonic() + HUGE_FILE_SECONDS
        most_open = 0
        while time.monotonic() < deadline and most_open < HUGE_FILE_READERS:
            most_open = max(most_open, readers.open_count)
            time.sleep(0.05)
        progress.say(f"{most_open} files of {HUGE_FILE_BYTES >> 20} MB under way")
        time.sleep(2.0)
        peak = rig.relays[0].peak_mb()
        readers.stop()
        return {
            "large_files_under_way": most_open,
            "memory_peak_mb": round(peak, 1),
            "memory_idle_mb": round(idle, 1),
        }
    finally:
        readers.over.set()
        rig.close()


def _overrides(environment: Environment) -> dict[str, dict[str, str]]:
    uptane = {"director": "director", "image": "fw", "manifests": MANIFEST_PATH}
    if environment.director:
        uptane["counter"] = "report_counter"
    return {
        "uptane": uptane,
        "release": {
            "caps": " ".join(map(str, CAPS)),
            "shares": " ".join(map(str, MACHINE_SHARES)),
            "free": str(FREE),
            "window": f"{WINDOW:g}s",
            "bake": "1s",
        },
        "state": {"folder": "state"},
    }


def _total_cpu(relays: list[RelayProcess]) -> float:
    return sum(relay.cpu() for relay in relays)


def run(seed: int, seconds: float, removed_guard: str, progress: Progress, calm: bool = False) -> Report:
    """Runs the lab; without faults if `calm`. Below `FULL_SIZE_SECONDS` it is smaller."""
    start = time.monotonic()
    full_size = seconds >= FULL_SIZE_SECONDS
    # Where the director drops repeats nothing happens twice, whoever sends: that guard's check does without.
    environment = Environment(seed, calm, bool(seed % 2) and removed_guard != "manifests_twice")
    with tempfile.TemporaryDirectory(prefix="laurelcourse-lab-") as folder:
        pools: list[MachinePool] = []
        deployer = RolloutDeployer(
            CAPS, lambda *news: pools[0].on_rollout(*news) if pools else None, STAGE_SECONDS
        )
        rig = TufRig(
            Path(folder) / "main",
            environment.repositories,
            [],
            RELAYS,
            _overrides(environment),
            removed_guard,
            deployer,
        )
        pool = MachinePool(
            rig.directory, MIRRORS, MACHINE_SHARES, environment.make_mirror, seed, DRAIN_SECONDS
        )
        pools.append(pool)
        processes: list[subprocess.Popen] = []
        try:
            rig.start()
            wait_until(lambda: rig.request(TIMESTAMP_PATH)[0] == 200, 10)
            figures = measure_overhead(rig, pool.active[0].stand_in, 150 if full_size else 20)
            progress.say(f"{RELAYS} relays, {MIRRORS} mirrors")
            duration = seconds - (22 if full_size else 4) - (time.monotonic() - start)
            environment.duration = duration
            cpu_start = _total_cpu(rig.relays)
            for task in make_tasks(environment, rig, seed, duration, full_size):
                processes.append(start_clients(task))
            threading.Thread(target=environment.run, args=(pool,), daemon=True).start()
            clients_start = time.monotonic()
            time.sleep(4.0 if full_size else 2.0)
            offer_build(deployer, BAD_BUILD, "it spoils files", clients_start + duration * 0.5, progress)
            offer_build(deployer, GOOD_BUILD, "it is sound", clients_start + duration, progress)
            results = [json.loads(process.stdout.read()) for process in processes]
            for process in processes:
                process.wait()
            cpu = _total_cpu(rig.relays) - cpu_start
            counters = [relay.counters() for relay in rig.relays]
            tracebacks = sum(len(re.findall("Traceback", relay.log.read_text())) for relay in rig.relays)
        finally:
            environment.over.set()
            for process in processes:
                process.kill()
            rig.close()
            pool.close()
        if full_size and not removed_guard:
            figures |= measure_memory(Path(folder) / "large", progress)
    sessions = [session for result in results for session in result["sessions"]]
    stuck = sum(result["stuck"] for result in results)
    figures |= measure(environment, sessions, counters, cpu) | {"relay_faults": tracebacks}
    checks = make_checks(environment, pool, deployer, sessions, stuck)
    return Report("tuf", seed, time.monotonic() - start, figures, checks)


def _without_outage(environment: Environment, session: dict) -> bool:
    """Whether the session met no time in which all mirrors failed."""
    is_manifest = session["kind"] == tuf_clients.MANIFEST
    outages = environment.lost_periods if is_manifest else environment.down_periods
    return not any(session["at"] < end and session["at"] + session["took"] > start for start, end in outages)


def _completed_times(sessions: list[dict], route: str) -> list[float]:
    return [
        session["took"]
        for session in sessions
        if session.get("route") == route and session["end"] == tuf_clients.COMPLETED
    ]


def measure(
    environment: Environment, sessions: list[dict], counters: list[dict[str, int]], cpu: float
) -> dict[str, float]:
    """Returns the figures of a run. `counters` are each relay's, `cpu` is their seconds of CPU time."""

    def total(name: str) -> int:
        return sum(count.get(f"{FRONT}.{name}", 0) for count in counters)

    finished = [session for session in sessions if session["end"] != tuf_clients.LEFT]
    ends = [session["end"] for session in finished]
    counted = [session for session in finished if _without_outage(environment, session)]
    completed = sum(session["end"] == tuf_clients.COMPLETED for session in counted)
    metadata_times = _completed_times(sessions, "metadata")
    target_times = _completed_times(sessions, "target")
    timestamps_asked = sum(
        session.get("name") == "timestamp.json" or session["kind"] == tuf_clients.TUF for session in sessions
    )
    delivered = total("bytes_delivered")
    timestamp_tries = total("asked.timestamp")
    return {
        "sessions": len(ends),
        **{end: ends.count(end) for end in ("completed", "shed", "errored", "cut")},
        "completed_share_honest_up": round(completed / max(len(counted), 1), 4),
        "bytes_delivered_mb": round(delivered / 1e6, 1),
        "bytes_fetched_over_delivered": round(total("bytes_fetched") / max(delivered, 1), 3),
        "timestamp_tries_per_1000_asked": round(timestamp_tries * 1000 / max(timestamps_asked, 1), 1),
        "metadata_p50_ms": round(quantile(metadata_times, 0.5) * 1000, 1),
        "metadata_p99_ms": round(quantile(metadata_times, 0.99) * 1000, 1),
        "target_p50_ms": round(quantile(target_times, 0.5) * 1000, 1),
        "target_p99_ms": round(quantile(target_times, 0.99) * 1000, 1),
        "cpu_ms_a_req": round(cpu * 1000 / max(total("asked"), 1), 2),
        "http_reqs": total("asked"),
        "superseded_p99_s": round(quantile(superseded_ages(environment, sessions), 0.99), 1),
        "mirrors_wrong": total("mirrors_wrong"),
        "mirrors_behind": total("mirrors_behind"),
        "mirrors_stalled": total("mirrors_stalled"),
        "files_cut": total("files_cut"),
    }


def make_checks(
    environment: Environment,
    pool: MachinePool,
    deployer: RolloutDeployer,
    sessions: list[dict],
    stuck: int,
) -> list[Check]:
    """Returns the checks of a run; `stuck` is how many clients did not end in time."""
    mirror_requests = [(machine, request) for machine in pool.all for request in machine.stand_in.requests]
    late = sum(session["end"] == tuf_clients.NONE or session.get("late", 0) for session in sessions)
    extra = sum(bool(session.get("extra", 0)) for session in sessions)
    repeated = len(environment.manifests) - len(set(environment.manifests))
    return [
        Check(
            "one_outcome_each",
            stuck + late + extra,
            0,
            "kiosks without exactly one outcome in time, and answers nobody asked for",
        ),
        Check(
            "wrong_bytes_accepted",
            sum(has_wrong_bytes(environment, session) for session in sessions),
            0,
            "complete files that are no published version of their path",
        ),
        Check(
            "stale_metadata_passed",
            count_stale(sessions),
            0,
            "metadata older than given before, expired, or mixed",
        ),
        Check(
            "to_draining_after_grace",
            count_after_drain(mirror_requests),
            0,
            "requests and bytes of a mirror 2 s after it was told to drain",
        ),
        Check(
            "exposure_over_cap",
            count_exposure_over_cap(mirror_requests, sessions, deployer),
            0,
            "tries at a release on trial beyond free + cap x reqs, by relay, in any 2 s",
        ),
        Check("manifests_twice", repeated, 0, "manifests that had their effect at the director twice"),
        Check(
            "answers_held_back",
            sum(is_held_back(session, mirror_requests) for session in sessions),
            0,
            "refusals near the time's end with nothing under way",
        ),
    ]


def has_wrong_bytes(environment: Environment, session: dict) -> bool:
    """Whether the client accepted complete bytes that were never published.

    A file of another version than a python-tuf client's metadata names is none of these.
    """
    if match := re.search(r"Observed hash (\w+)", str(session.get("what", ""))):
        return match[1] not in environment.hashes
    return bool(session.get("wrong", 0))


def count_stale(sessions: list[dict]) -> int:
    """Returns how much stale metadata was passed on.

    That is what clients found expired or mixed, and timestamps older than one that the same relay gave
    before.
    """
    count = sum(session.get("stale", 0) for session in sessions)
    timestamps = sorted(
        (session for session in sessions if session.get("name") == "timestamp.json" and "version" in session),
        key=lambda session: session["at"],
    )
    for place, session in enumerate(timestamps):
        versions_before = [
            other["version"]
            for other in timestamps[:place]
            if other["relay"] == session["relay"] and other["at"] + other["took"] < session["at"]
        ]
        count += session["version"] < max(versions_before, default=0)
    return count


def superseded_ages(environment: Environment, sessions: list[dict]) -> list[float]:
    """Returns, for each timestamp given, how many seconds ago the next one had come out."""
    ages = []
    for session in sessions:
        if session.get("name") == "timestamp.json" and "version" in session:
            newer = [at for at, version in environment.published if version > session["version"]]
            ages.append(max(session["at"] + session["took"] - newer[0], 0.0) if newer else 0.0)
    return ages


def count_after_drain(mirror_requests: list[tuple[Machine, MirrorRequest]]) -> int:
    """Returns how many requests a mirror served after it had drained, and the grace was over."""
    return sum(
        max(request.at, request.last) > machine.drained_at + GRACE for machine, request in mirror_requests
    )


def count_exposure_over_cap(
    mirror_requests: list[tuple[Machine, MirrorRequest]], sessions: list[dict], deployer: RolloutDeployer
) -> int:
    """Returns how many tries at builds on trial exceed what their relay may send.

    Requests are counted as the mirrors saw them; those that no mirror saw were shed, as the clients saw.
    """
    relays = {f"n{number}": number for number in range(RELAYS)}
    tries: dict[int, list[tuple[float, int]]] = {}
    request_times = {
        number: [
            session["at"] + session["took"]
            for session in sessions
            if session["relay"] == number and session["end"] == tuf_clients.SHED
        ]
        for number in relays.values()
    }
    for machine, request in mirror_requests:
        if request.relay:
            relay = relays[request.relay]
            request_times[relay].append(request.at)
            if machine.build > 1:
                tries.setdefault(machine.build, []).append((request.at, relay))
    return count_over_cap(tries, request_times, deployer, FREE, WINDOW, GRACE, LATE_NOTE_SECONDS)


def is_held_back(session: dict, mirror_requests: list[tuple[Machine, MirrorRequest]]) -> bool:
    """Whether a session was refused near the end of its time though no mirror was slow shortly before."""
    if session.get("status", 0) < 500:
        return False
    if session["took"] < HELD_BACK_SHARE * TIMEOUTS[session["route"]]:
        return False
    end = session["at"] + session["took"]
    relay = f"n{session['relay']}"
    path = session["path"]
    if session["route"] == "metadata":
        path = path.rpartition("/")[0]
    # A mirror that took its time excuses a late answer; one that failed at once does not.
    return not any(
        request.relay == relay
        and request.path.startswith(path)
        and session["at"] < request.at < end
        and request.done > end - IDLE_SECONDS
        and request.done - request.at > SLOW_MIRROR_SECONDS
        for _, request in mirror_requests
    )
