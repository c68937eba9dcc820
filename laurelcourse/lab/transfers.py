"""`lab transfers`: tenants' data moves between three sites of relays, under faults.

Bytes are counted by the proxies between relays, copies by their files, reservations by a client of the books.
"""

import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

from laurelcourse.fleet import terms
from laurelcourse.fleet.books.forms import Command, Done, Fence, Free, Job, Open, Reserve, Stretch
from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls.channel import limits
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.errors import LapsedLeaseError
from laurelcourse.fleet.orders import Question, Submit
from laurelcourse.fleet.transfers import plan, solver, views
from laurelcourse.fleet.wiring import clock, join_address
from laurelcourse.lab import faults
from laurelcourse.lab.cluster import Cluster
from laurelcourse.lab.operator_xml import element
from laurelcourse.lab.report import Check, Progress, Report
from laurelcourse.lab.request_load import RequestLoad, compare_latencies
from laurelcourse.lab.workflows import find_leader
from laurelcourse.operator import reading
from laurelcourse.prng import Prng
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.holds import HoldingUnit, Ledger
from laurelcourse.standins.ports import reserve_port

SITES = "abc"
LINKS = tuple((origin, target) for origin in SITES for target in SITES if origin != target)
KEEPERS = {"k1": "a", "k2": "b", "k3": "c"}
MEMBERS = {"m1": "a", "m2": "a", "m3": "b", "m4": "b", "m5": "c", "m6": "c"}
LOADED_RELAYS = ("m1", "m3", "m5")  # of each site, one that has ordinary requests too
UNITS = 2

# Capacities: bytes per second that transfers may use of a link, and that are kept free of them; slots of a
# site.
USABLE_RATE = 256 << 10
KEPT_RATE = 128 << 10
SLOTS = 2

JOBS = 18
JOB_INTERVAL = 0.4  # seconds
MIN_JOB_SECONDS = 8  # until a deadline
MAX_JOB_SECONDS = 18
MIN_JOB_BYTES = 128 << 10
MAX_JOB_BYTES = 896 << 10
MAX_EARNINGS = 20
CONTENT_BLOCK = 4096  # bytes, repeated in a job's file

FAULT_KINDS = (faults.KILL, faults.KILL_LEADER, faults.CUT)
FAULT_GAP_US = 4_000_000
FAULT_LEASE_US = 1_500_000
MIN_FAULT_SECONDS = 8.0
QUIET_SECONDS = 8.0  # without faults, at the end
WARM_UP_SECONDS = 0.5  # of requests that are not counted
PERIOD_SECONDS = 3.0  # of requests without transfers, and beside them

# Probes of whether the books let all of a link be reserved.
PROBE_SLICES = 4
PROBE_ATTEMPTS = 3  # where answers are lost

STARTED_BYTES = 64 << 10  # over a link, by which a transfer is under way
RATE_WINDOW = 2.0  # seconds
RATE_BURST_SECONDS = 0.75  # of the rate, which may pass at once
GRPC_OVERHEAD = 1.06  # bytes on a link for a byte of a file

COUNT_INTERVAL = 0.1  # seconds
LOOK_INTERVAL = 0.4  # seconds
CALL_TIMEOUT = 6  # seconds
LEADER_TIMEOUT = 12  # seconds
START_TIMEOUT = 15  # seconds
SOLVER_SECONDS = 2.0
SECOND_US = 1_000_000

DESCRIPTIONS = {
    "over_link": "windows of 2 s in which a link's direction carried more than may be reserved, and a burst",
    "over_compute": "looks at which transfers held more slots of a site than it has",
    "half_reserved": "jobs that were reserved with less than their bytes need",
    "wrong_bytes": "copies that differ from what was sent",
    "committed_twice": "copies that were put there more than once",
    "leaked_reservations": "links of which not all was free once jobs had ended, one early among them",
}


def sites_xml(folder: Path, transfer_ports: dict[str, int], cluster: Cluster, relay: str) -> str:
    """Returns the sites and links of a relay's settings; it reaches relays of other sites through proxies."""
    sites = ""
    for site in SITES:
        doors = ""
        for name, member_site in MEMBERS.items():
            if member_site == site:
                host = RELAY_HOST
                port = transfer_ports[name]
                if relay in MEMBERS and MEMBERS[relay] != member_site:
                    host, port = cluster.proxies.open(relay, name, (host, port))
                doors += element("door", {"relay": name, "address": f"{host}:{port}"})
        sites += element("site", {"name": site, "slots": str(SLOTS), "folder": f"{folder}/{site}"}, doors)
    links = (
        element(
            "link",
            {
                "origin": origin,
                "to": target,
                "capacity": f"{USABLE_RATE + KEPT_RATE}B",
                "kept": f"{KEPT_RATE}B",
            },
        )
        for origin, target in LINKS
    )
    return sites + "".join(links)


class ByteSample(NamedTuple):
    """How many bytes a link's direction had carried at a time (monotonic seconds)."""

    at: float
    byte_count: int


class TransferLab:
    """One run: its jobs, and what was seen of them."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self.cluster = cluster
        self.folder = folder
        self.over = threading.Event()
        fleet = reading.read(str(folder / "m1" / "operator.xml")).fleet
        self.client = Client(
            "lab",
            "lab",
            {keeper.name: join_address(keeper.address) for keeper in fleet.keepers},
            limits(terms.terms(fleet)),
            clock,
            Prng(9),
        )
        self.jobs: dict[str, Job] = {}
        self.counts = dict.fromkeys(DESCRIPTIONS, 0)
        self.ended: dict[str, str] = {}  # by job: how
        self.half_reserved: set[str] = set()  # jobs
        self.copies_seen: dict[str, set[tuple[int, int]]] = {}  # by job: inode and time of change
        self.samples: dict[tuple[str, str], list[ByteSample]] = {}  # by link
        self.transfer_started = threading.Event()
        self.open_jobs: set[str] = set()  # in the books at the last look

    def ask(self, kind: str, of: str = "", job: Job | None = None) -> tuple | None:
        """Returns the books' answer to a question; None if it is an error, or did not come in time."""
        answers: list = []
        self.client.ask(Question(kind, of, job), answers.append)
        try:
            wait_until(lambda: answers, CALL_TIMEOUT)
        except AssertionError:
            return None
        answer = answers[0]
        return answer.value if hasattr(answer, "value") and not answer.code else None

    def submit(self, *commands: Command) -> tuple[Done, ...]:
        """Returns the result of each command; none if they are not known in time."""
        answers: list = []
        self.client.submit(Submit(commands), answers.append)
        try:
            wait_until(lambda: answers, CALL_TIMEOUT)
        except AssertionError:
            return ()
        answer = answers[0]
        return answer if isinstance(answer, tuple) and not hasattr(answer, "code") else ()

    def books_time(self) -> int:
        """Returns the books' time in microseconds, once there is a leader."""
        return views.from_plain(wait_until(lambda: self.ask("move", "none"), LEADER_TIMEOUT)).time

    def copy_path(self, name: str) -> Path:
        """Returns where a job's copy is put."""
        return self.folder / self.jobs[name].to / "in" / name

    def add_job(self, rng: Prng, number: int) -> None:
        """Writes a job's file and its order at a site."""
        name = f"job{number}"
        origin = SITES[rng.below(3)]
        target = SITES.replace(origin, "")[rng.below(2)]
        size = MIN_JOB_BYTES + rng.below(MAX_JOB_BYTES - MIN_JOB_BYTES)
        duration = (MIN_JOB_SECONDS + rng.below(MAX_JOB_SECONDS - MIN_JOB_SECONDS)) * SLICE_US
        earnings = 1 + rng.below(MAX_EARNINGS)
        now = self.books_time()
        self.jobs[name] = Job(name, "f", origin, target, size, now, now + duration, earnings, 1)
        site_folder = self.folder / origin
        site_folder.mkdir(exist_ok=True)
        block = bytes(rng.below(256) for _ in range(CONTENT_BLOCK))
        (site_folder / name).write_bytes(block * (size // CONTENT_BLOCK + 1))
        with (site_folder / name).open("r+b") as file:
            file.truncate(size)
        (site_folder / "new").write_text(
            f'<job firm="f" to="{target}" within="{duration}" earnings="{earnings}" slots="1"/>'
        )
        (site_folder / "new").rename(site_folder / f"{name}.job")

    def add_jobs(self, rng: Prng) -> None:
        """Adds all jobs, one after another."""
        for number in range(JOBS):
            self.add_job(rng, number)
            self.over.wait(JOB_INTERVAL)

    def watch_bytes(self) -> None:
        """Samples the bytes on each link, and looks at the copies, until it is over."""
        while not self.over.wait(COUNT_INTERVAL):
            now = time.monotonic()
            totals: dict[tuple[str, str], int] = {}
            for origin, target in self.cluster.proxies.proxies:
                if target in MEMBERS:
                    link = MEMBERS[origin], MEMBERS[target]
                    byte_count = self.cluster.proxies.counts(origin, target).bytes_to_server
                    totals[link] = totals.get(link, 0) + byte_count
            for link, byte_count in totals.items():
                self.samples.setdefault(link, []).append(ByteSample(now, byte_count))
                if byte_count > STARTED_BYTES:
                    self.transfer_started.set()
            for name in list(self.jobs):
                path = self.copy_path(name)
                if path.exists():
                    stat = path.stat()
                    self.copies_seen.setdefault(name, set()).add((stat.st_ino, stat.st_mtime_ns))

    def watch_books(self) -> None:
        """Looks at the reservations in the books, until it is over."""
        while not self.over.wait(LOOK_INTERVAL):
            used_slots: dict[str, int] = {}
            if (value := self.ask("moves", "*")) is None:
                continue
            seen = views.from_plain(value)
            for view in seen.views:
                reserved = sum(piece.rate * (piece.until - piece.first) for piece in view.pieces)
                if view.pieces and not view.proven and reserved < view.job.size:
                    self.half_reserved.add(view.job.name)
                if any(piece.first <= seen.time // SLICE_US < piece.until for piece in view.pieces):
                    for site in (view.job.origin, view.job.to):
                        used_slots[site] = used_slots.get(site, 0) + view.job.slots
            self.open_jobs = {view.job.name for view in seen.views}
            for name in sorted(self.jobs.keys() - self.ended.keys() - self.open_jobs):
                if (value := self.ask("move", name)) and (ended := views.from_plain(value).ended):
                    self.ended[name] = ended
            self.counts["over_compute"] += sum(slots > SLOTS for slots in used_slots.values())

    def count_violations(self) -> None:
        """Fills in each check's count, once it is over."""
        max_bytes = USABLE_RATE * (RATE_WINDOW + RATE_BURST_SECONDS) * GRPC_OVERHEAD
        for samples in self.samples.values():
            first = 0
            for sample in samples:
                while samples[first].at < sample.at - RATE_WINDOW:
                    first += 1
                self.counts["over_link"] += sample.byte_count - samples[first].byte_count > max_bytes
        self.counts["half_reserved"] = len(self.half_reserved)
        self.counts["committed_twice"] = sum(len(copies) > 1 for copies in self.copies_seen.values())
        for name, job in self.jobs.items():
            source = self.folder / job.origin / name
            path = self.copy_path(name)
            self.counts["wrong_bytes"] += path.exists() and path.read_bytes() != source.read_bytes()
        # What a job had reserved is past when it ends in time, and nobody would miss it: one ends early on
        # each link.
        self.counts["leaked_reservations"] = sum(not self.is_free(*link) for link in LINKS)

    def is_free(self, origin: str, target: str) -> bool:
        """Whether the books let a job reserve all of a link and its sites, and another after it has ended."""
        for attempt in range(PROBE_ATTEMPTS):
            name = f"probe{origin}{target}{attempt}"
            opened = self.submit(Command(None, 1, Open(name, origin)))
            if not opened or opened[0].code:
                continue
            fence = Fence(*opened[0].value)
            changes = self._probe_changes(name, origin, target)
            results = self.submit(*(Command(fence, mark, change) for mark, change in enumerate(changes, 1)))
            # The probe's session is not renewed: one that lapsed meanwhile says nothing of the capacity.
            if results and not any(result.code == LapsedLeaseError.code for result in results):
                return not any(result.code for result in results)
        return False

    def _probe_changes(self, name: str, origin: str, target: str) -> list[Reserve | Free]:
        first = self.books_time() // SLICE_US + 2
        until = first + PROBE_SLICES
        pieces = (Stretch(first, until, USABLE_RATE, (origin, target)),)
        size = PROBE_SLICES * USABLE_RATE
        changes: list[Reserve | Free] = []
        for suffix in "xy":
            job = Job(name + suffix, "f", origin, target, size, 0, until * SLICE_US, 0, SLOTS)
            changes += [Reserve(job, pieces), Free(job.name)]
        return changes

    def is_settled(self) -> bool:
        """Whether each job has ended, or was never accepted and is late."""
        now = self.books_time() if len(self.jobs) == JOBS else 0
        return now > 0 and all(
            name in self.ended or (name not in self.open_jobs and job.deadline < now)
            for name, job in self.jobs.items()
        )

    def measure(self) -> dict[str, float]:
        """Returns the figures of a run, with those of plans that know all jobs beforehand."""
        start = min(job.earliest for job in self.jobs.values()) // SLICE_US
        slices = max(job.deadline for job in self.jobs.values()) // SLICE_US - start
        capacity = plan.Capacity(
            start,
            1,
            SLICE_US,
            {f"{origin}>{target}": (USABLE_RATE,) * slices for origin, target in LINKS},
            {site: (SLOTS,) * slices for site in SITES},
        )
        requests = tuple(plan.job_request(capacity, job) for job in self.jobs.values())
        committed = [job for name, job in self.jobs.items() if self.ended.get(name) == "committed"]
        first_come = plan.first_come_plan(capacity, requests)
        best_earnings = max_earnings(capacity, requests, SOLVER_SECONDS)
        earned = sum(job.earnings for job in committed)
        return {
            "jobs": len(self.jobs),
            "committed": len(committed),
            "still_open": len(self.jobs) - len(self.ended),
            "of_best_plan": round(earned / max(1, best_earnings), 3),
            "deadlines_kept": round(len(committed) / len(self.jobs), 3),
            "deadlines_kept_first_come": round(len(first_come) / len(self.jobs), 3),
        }


def max_earnings(capacity: plan.Capacity, requests: tuple[plan.JobRequest, ...], seconds: float) -> int:
    """Returns the most that a plan earns which knows all jobs beforehand.

    The solver begins with the greedy plan, since it may not find as good a one in `seconds` of a busy
    machine.
    """
    greedy = plan.make_plan(capacity, requests)
    solved = solver.solve(capacity, requests, seconds, hint=greedy)
    solved_earnings = plan.total_earnings(requests, solved.plan) if solved else 0
    return max(plan.total_earnings(requests, greedy), solved_earnings)


class RequestPeriods(NamedTuple):
    """Two times from start to end (monotonic seconds): without transfers, and beside them."""

    without: tuple[float, float]
    beside: tuple[float, float]


def _measure_requests(lab: TransferLab, job_thread: threading.Thread) -> RequestPeriods:
    """Waits for a period without transfers, starts the jobs, and waits for a period beside them."""
    lab.over.wait(WARM_UP_SECONDS)
    start = time.monotonic()
    lab.over.wait(PERIOD_SECONDS)
    without = (start, time.monotonic())
    job_thread.start()
    lab.transfer_started.wait(PERIOD_SECONDS)
    start = time.monotonic()
    lab.over.wait(PERIOD_SECONDS)
    return RequestPeriods(without, (start, time.monotonic() if lab.transfer_started.is_set() else start))


def _play_script(
    lab: TransferLab, seed: int, duration: float, progress: Progress
) -> tuple[faults.Fault, ...]:
    """Starts to inject faults, and returns them."""
    members = tuple(MEMBERS.items())
    fault_plan = faults.Plan(
        tuple(KEEPERS.items()),
        members,
        duration=int(duration * SECOND_US),
        kinds=FAULT_KINDS,
        gap=FAULT_GAP_US,
        lease=FAULT_LEASE_US,
    )
    script = faults.generate_script(seed, fault_plan)

    def on_fault(fault: faults.Fault) -> None:
        progress.say(faults.describe(fault))

    arguments = (script, lab.over, on_fault)
    threading.Thread(target=lab.cluster.play, args=arguments, daemon=True).start()
    return script


def run(seed: int, seconds: float, removed_guard: str, progress: Progress) -> Report:
    """Runs the lab."""
    start = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        transfer_ports = {relay: reserve_port() for relay in MEMBERS}
        directory = DirectoryStandIn()
        ledger = Ledger()
        for number in range(UNITS):
            directory.put(f"u-{number}", HoldingUnit(ledger).address)
        cluster = Cluster(
            folder,
            KEEPERS,
            MEMBERS,
            removed_guard=removed_guard,
            lab="transfers",
            find_leader=lambda: find_leader(cluster),
            known=directory.full_list(),
            directory=directory.address,
            transfers_xml=lambda cluster, relay: sites_xml(folder, transfer_ports, cluster, relay),
        )
        with cluster:
            cluster.start()
            lab = TransferLab(cluster, folder)
            try:
                wait_until(lambda: all(lab.ask("session", relay) for relay in MEMBERS), START_TIMEOUT)
                for watch in (lab.watch_bytes, lab.watch_books):
                    threading.Thread(target=watch, daemon=True).start()
                load = RequestLoad([cluster.ports[relay] for relay in LOADED_RELAYS], lab.over).start()
                job_thread = threading.Thread(target=lab.add_jobs, args=(Prng(seed),), daemon=True)
                periods = _measure_requests(lab, job_thread)
                duration = max(MIN_FAULT_SECONDS, seconds - QUIET_SECONDS - (time.monotonic() - start))
                script = _play_script(lab, seed, duration, progress)
                job_thread.join(JOBS)
                end = start + seconds - 3.0
                while time.monotonic() < end and not lab.is_settled():
                    lab.over.wait(0.2)
                lab.over.wait(1.0)
                lab.over.set()
                lab.count_violations()
            finally:
                lab.over.set()
                lab.client.close(SECOND_US)
    checks = [Check(name, lab.counts[name], 0, description) for name, description in DESCRIPTIONS.items()]
    figures = lab.measure() | compare_latencies(load.latencies, *periods) | {"faults": len(script)}
    return Report("transfers", seed, time.monotonic() - start, figures, checks)
