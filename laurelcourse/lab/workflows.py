"""`lab workflows`: clients book through a fleet of relays, while these are killed, paused and cut off.

What units and clients saw is judged by `workflow_checks.py`.
"""

import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import NamedTuple

from laurelcourse.fleet.flows_client import DONE, UNDONE, FlowsClient, WorkflowStatus
from laurelcourse.lab import faults
from laurelcourse.lab.cluster import FLEET_ATTRIBUTES, Cluster
from laurelcourse.lab.operator_xml import element
from laurelcourse.lab.report import Check, Progress, Report, quantile
from laurelcourse.lab.workflow_checks import HELD_THINGS, ClientCall, count_violations, group_by_mark
from laurelcourse.prng import Prng
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.holds import HoldingUnit, Ledger
from laurelcourse.standins.postgres import PgClient

KEEPERS = {"k1": "a", "k2": "b", "k3": "c"}
MEMBERS = {"m1": "a", "m2": "b", "m3": "c"}
UNITS = 4
CLIENTS = 6
CLIENT_TIMEOUT = 8.0  # seconds
CLIENT_PAUSE = 0.15  # seconds
FINAL_TIMEOUT = 1.0  # seconds, of a call that asks how a workflow ended

# Parts of a run, in seconds.
START_TIMEOUT = 8.0
CALM_SECONDS = 3.0  # before the first fault
SETTLE_SECONDS = 12.0  # after the last one, at most
MIN_FAULT_SECONDS = 5.0

FAULT_KINDS = (faults.KILL, faults.KILL_LEADER, faults.PAUSE, faults.CUT, faults.SILENT, faults.SITE_CUT)
FAULT_GAP_US = 2_000_000
LEASE_US = int(FLEET_ATTRIBUTES["lease"].removesuffix("ms")) * 1000
SECOND_US = 1_000_000
SLOW_STEP_SECONDS = 0.4
PLAIN_REQUEST_PAUSE = 0.02  # seconds
POLL_INTERVAL = 0.01  # seconds

DESCRIPTIONS = {
    "out_of_order": "steps or undos that took effect out of their order",
    "effects_left_behind": "holds left at units by undone workflows",
    "undone_though_done": "done workflows, or such as gave notice, of which anything was undone",
    "notices_twice": "notices given more than once",
    "two_owners_acted": "statements that came after their workflow had gone on without them",
    "undo_of_never_ran": "undos of steps that a unit had refused, where the relay heard so",
    "one_outcome_each": "answers that differ from how the workflow ended, or are none",
    "answered_after_deadline": "answers after the client's time",
}


def statement_template(name: str) -> str:
    """Returns a statement whose handle is `name` and the workflow's mark."""
    return f"SELECT blob FROM rows WHERE handle = '{name}.{{mark}}'"


def _step_element(name: str) -> str:
    undo = element(
        "undo",
        {
            "route": "mark",
            "statement": statement_template(f"free.{name}"),
            "timeout": "600ms",
            "harmless": "true",
        },
    )
    step = {
        "name": name,
        "route": "mark",
        "statement": statement_template(f"hold.{name}"),
        "timeout": "600ms",
    }
    return element("step", step, undo)


def definition_xml() -> str:
    """Returns the definition of a booking: three holds that can be undone, and a notice that can't."""
    notice = element(
        "step",
        {
            "name": "notice",
            "route": "once",
            "statement": statement_template("notice.note"),
            "timeout": "600ms",
            "no-return": "true",
            "fails": "harmless",
        },
    )
    workflow = {
        "name": "booking",
        "timeout": "8s",
        "tries": "1000",
        "back-off": "50ms",
        "longest-back-off": "500ms",
    }
    return element("workflow", workflow, "".join(map(_step_element, HELD_THINGS)) + notice)


class BookingClient:
    """A client that books again and again; some of its calls are left in the middle."""

    def __init__(self, number: int, seed: int, lab: "WorkflowLab") -> None:
        self.number = number
        self.lab = lab
        self.rng = Prng(seed * 1000 + number)
        names = sorted(lab.cluster.workflow_ports)
        self.names = [names[(number + place) % len(names)] for place in range(len(names))]
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _connect(self) -> FlowsClient:
        return FlowsClient([f"{RELAY_HOST}:{self.lab.cluster.workflow_ports[name]}" for name in self.names])

    def _run(self) -> None:
        count = 0
        while not self.lab.over.wait(CLIENT_PAUSE):
            count += 1
            self._book(f"{self.number}x{count}", self.rng.below(100))

    def _book(self, mark: str, dice: int) -> None:
        """Books once; `dice`, from 0 to 99, chooses what happens on the way."""
        self._prepare_units(mark, dice)
        client = self._connect()
        left = threading.Event()
        leaves_early = dice % 10 == 7
        leaves_at_notice = 24 <= dice < 36
        if leaves_early:
            timeout = 0.05 * (1 + self.rng.below(20))
            threading.Thread(target=leave, args=(client, left, lambda: False, timeout)).start()
        elif leaves_at_notice:
            is_time = partial(self.lab.ledger.count_received, f"notice.note.{mark}")
            threading.Thread(target=leave, args=(client, left, is_time, CLIENT_TIMEOUT)).start()
        tenant = f"firm-{self.number}"
        start = time.monotonic()
        status = client.start("booking", tenant, mark, {"mark": mark}, CLIENT_TIMEOUT)
        took = time.monotonic() - start
        self.lab.calls.append(
            ClientCall(
                mark,
                start,
                took,
                CLIENT_TIMEOUT,
                None if left.is_set() else status,
                not self.lab.may_be_paused(start, start + took),
            )
        )
        self.lab.tenants[mark] = tenant
        client.close()

    def _prepare_units(self, mark: str, dice: int) -> None:
        ledger = self.lab.ledger
        if dice < 12:
            ledger.answers[f"hold.device.{mark}"] = "syntax"
        elif dice < 24:
            ledger.answers[f"hold.slot.{mark}"] = "reset"
        elif dice < 40:
            ledger.delays[f"notice.note.{mark}"] = SLOW_STEP_SECONDS
        elif dice < 60:
            ledger.delays[f"hold.device.{mark}"] = SLOW_STEP_SECONDS


def leave(client: FlowsClient, left: threading.Event, is_time: Callable[[], object], timeout: float) -> None:
    """Closes a client when `is_time` or after `timeout` seconds, and sets `left`, unless it is closed."""
    deadline = time.monotonic() + timeout
    while not is_time() and time.monotonic() < deadline and not client.closed:
        time.sleep(POLL_INTERVAL)
    if not client.closed:
        left.set()
        client.close()


class InjectedFault(NamedTuple):
    """When a fault was injected (monotonic seconds), and its kind."""

    at: float
    kind: str


class WorkflowLab:
    """One run: what clients were told, what was injected, and plain requests beside the workflows."""

    def __init__(self, cluster: Cluster, ledger: Ledger) -> None:
        self.cluster = cluster
        self.ledger = ledger
        self.over = threading.Event()
        self.calls: list[ClientCall] = []
        self.tenants: dict[str, str] = {}  # by mark
        self.faults: list[InjectedFault] = []
        self.plain_seconds: list[float] = []  # that plain requests took

    def may_be_paused(self, start: float, end: float) -> bool:
        """Whether a relay may have been paused in this time: one that is can't answer."""
        pause = 3 * LEASE_US / SECOND_US
        return any(
            start - pause < fault.at < end and fault.kind == faults.PAUSE for fault in list(self.faults)
        )

    def on_fault(self, fault: faults.Fault) -> None:
        """Notes a fault that is injected now."""
        self.faults.append(InjectedFault(time.monotonic(), fault.kind))

    def send_plain_requests(self) -> None:
        """Sends plain requests to a relay, one after another, until it is over."""
        number = 0
        port = self.cluster.ports["m1"]
        client: PgClient | None = None
        while not self.over.wait(PLAIN_REQUEST_PAUSE):
            number += 1
            try:
                client = client or PgClient(port)
                start = time.monotonic()
                answer, _, _ = client.ask(
                    f"SELECT blob FROM rows WHERE handle = 'ab' /* id=p{number},c=read,d=1500 */"
                )
                if answer == "TDCZ":
                    self.plain_seconds.append(time.monotonic() - start)
                else:
                    client = None
            except OSError:
                client = None

    def final_statuses(self, deadline: float) -> dict[str, WorkflowStatus]:
        """Returns how each booking ended, as a client that starts it again is told, by its mark."""
        statuses: dict[str, WorkflowStatus] = {}
        addresses = [f"{RELAY_HOST}:{port}" for _, port in sorted(self.cluster.workflow_ports.items())]
        client = FlowsClient(addresses)
        while (
            missing := [mark for mark in self.tenants if mark not in statuses]
        ) and time.monotonic() < deadline:
            for mark in missing:
                status = client.start("booking", self.tenants[mark], mark, {"mark": mark}, FINAL_TIMEOUT)
                if status.answer in (DONE, UNDONE):
                    statuses[mark] = status
                if time.monotonic() > deadline:
                    break
        client.close()
        return statuses

    def takeover_seconds(self) -> list[float]:
        """Returns how long takeovers took.

        That is from the death or pause of a relay to the next statement of a booking that was under way and
        that another relay went on with.
        """
        lease = LEASE_US / SECOND_US
        found = []
        for fault in self.faults:
            if fault.kind not in (faults.KILL, faults.PAUSE):
                continue
            for call in self.calls:
                if call.started < fault.at < call.started + call.took and call.took > lease:
                    later = [
                        statement.at
                        for statement in self.ledger.received
                        if statement.thing.endswith(f".{call.mark}") and statement.at > fault.at + lease / 2
                    ]
                    found += [min(later) - fault.at] if later else []
        return found


def find_leader(cluster: Cluster) -> str:
    """Returns the keeper that said last that it leads, in the highest term; '' if none did."""
    found = []
    for name in KEEPERS:
        for line in cluster.nodes[name].log.read_text().splitlines():
            if "keeper is now" in line and "role=leader" in line:
                found.append((int(line.partition("term=")[2].split(" ")[0]), name))
    return max(found)[1] if found else ""


def run(seed: int, seconds: float, removed_guard: str, progress: Progress) -> Report:
    """Runs the lab."""
    start = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        ledger = Ledger()
        directory = DirectoryStandIn()
        for number in range(UNITS):
            directory.put(f"u-{number}", HoldingUnit(ledger).address)
        cluster = Cluster(
            Path(folder),
            KEEPERS,
            MEMBERS,
            workflows_xml=definition_xml(),
            known=directory.full_list(),
            directory=directory.address,
            removed_guard=removed_guard,
            lab="workflows",
            find_leader=lambda: find_leader(cluster),
        )
        with cluster:
            cluster.start()
            lab = WorkflowLab(cluster, ledger)
            final = _run_clients(lab, seed, start, seconds, progress)
            return make_report(lab, final, seed, time.monotonic() - start)


def _run_clients(
    lab: WorkflowLab, seed: int, start: float, seconds: float, progress: Progress
) -> dict[str, WorkflowStatus]:
    """Runs clients and faults, and returns how each booking ended."""
    wait_until(lambda: find_leader(lab.cluster), START_TIMEOUT)
    clients = [BookingClient(number, seed, lab) for number in range(CLIENTS)]
    for client in clients:
        client.thread.start()
    threading.Thread(target=lab.send_plain_requests, daemon=True).start()
    lab.over.wait(CALM_SECONDS)
    elapsed = time.monotonic() - start
    duration = max(seconds - SETTLE_SECONDS - CLIENT_TIMEOUT - elapsed, MIN_FAULT_SECONDS)
    plan = faults.Plan(
        tuple(KEEPERS.items()),
        tuple(MEMBERS.items()),
        duration=int(duration * SECOND_US),
        lease=LEASE_US,
        kinds=FAULT_KINDS,
        gap=FAULT_GAP_US,
    )

    def on_fault(fault: faults.Fault) -> None:
        lab.on_fault(fault)
        progress.say(faults.describe(fault))

    script_start = time.monotonic()
    lab.cluster.play(faults.generate_script(seed, plan), threading.Event(), on_fault)
    lab.over.wait(max(script_start + duration - time.monotonic(), 0))
    lab.over.set()
    for client in clients:
        client.thread.join(CLIENT_TIMEOUT + 2)
    return lab.final_statuses(start + seconds)


def make_report(lab: WorkflowLab, final: dict[str, WorkflowStatus], seed: int, seconds: float) -> Report:
    """Returns the report of a run; `final` is how each booking ended, by its mark."""
    ledger = lab.ledger
    refused = frozenset(
        name.partition(".")[2] for name, answer in ledger.answers.items() if answer == "syntax"
    )
    observations = group_by_mark(lab.tenants, ledger.received, ledger.effects, refused)
    counts = count_violations(observations, lab.calls, final)
    call_seconds = [call.took for call in lab.calls if call.status]
    takeovers = lab.takeover_seconds()
    figures = {
        "workflows": len(lab.tenants),
        "faults": len(lab.faults),
        "done": sum(status.answer == DONE for status in final.values()),
        "undone": sum(status.answer == UNDONE for status in final.values()),
        "settled_share": round(len(final) / max(len(lab.tenants), 1), 4),
        "taken_over": len(takeovers),
        "taken_over_s": round(quantile(takeovers, 0.5), 2),
        "taken_over_worst_s": round(max(takeovers, default=0.0), 2),
        "flow_p50_ms": round(quantile(call_seconds, 0.5) * 1000, 1),
        "flow_p99_ms": round(quantile(call_seconds, 0.99) * 1000, 1),
        "plain_reqs": len(lab.plain_seconds),
        "plain_p99_ms": round(quantile(lab.plain_seconds, 0.99) * 1000, 1),
    }
    checks = [Check(name, counts[name], 0, description) for name, description in DESCRIPTIONS.items()]
    return Report("workflows", seed, seconds, figures, checks)
