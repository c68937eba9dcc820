"""What the cases share: stand-ins, relays started by the deploy file, a record, the exit code."""

import contextlib
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path

from laurelcourse.fleet.flows_client import FlowsClient, WorkflowStatus
from laurelcourse.standins.base import StandIn, read_exactly, reset_on_close
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import READY, ROW, pack_message, read_message
from laurelcourse.standins.settings import seed_of

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
START_SECONDS = 25.0
KEEPERS = 3
ENDS = ("done", "undone", "stuck")
COMMENT = re.compile(r"handle = '([^']*)'.* /\* ([^*]*) \*/")


class CannotRunError(Exception):
    """Why the case could not be played as it is meant."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = path.open("w")

    def write(self, what: str, **fields: object) -> None:
        """Writes a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
            self.file.flush()


class Run:
    """One time that a unit carried out a statement."""

    def __init__(self, unit: "Unit", handle: str, fields: dict[str, str]) -> None:
        self.unit, self.handle = unit, handle
        self.req, self.mark = fields["id"], fields.get("k", "")
        self.began = time.monotonic()
        self.done = threading.Event()


class MarkMemory:
    """The marks that a group of units remembers. A repeat within `seconds` of the first is dropped."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.lock = threading.Lock()
        self.first: dict[str, Run] = {}

    def earlier(self, run: Run) -> Run | None:
        """Returns the run whose repeat this is; None for a run that is new, which is remembered."""
        with self.lock:
            known = self.first.get(run.mark) if run.mark else None
            if known is not None and run.began - known.began <= self.seconds:
                return known
            self.first[run.mark] = run
            return None


class Work:
    """What all units together have run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.begun: list[Run] = []
        self.finished: list[tuple[float, Run]] = []

    def running(self, prefix: str) -> list[Run]:
        """Returns the runs under way of handles that begin so."""
        with self.lock:
            return [run for run in self.begun if run.handle.startswith(prefix) and not run.done.is_set()]

    def by_mark(self) -> dict[str, list[tuple[float, Run]]]:
        """Returns what was carried out, by mark, in the order of its end."""
        with self.lock:
            marks: dict[str, list[tuple[float, Run]]] = {}
            for at, run in self.finished:
                marks.setdefault(run.mark, []).append((at, run))
            return marks


class Unit(StandIn):
    """A unit: begins each statement at once, takes `seconds` for it, and then answers.

    Work that has begun goes on, whatever becomes of its connection. While the unit is `cut` off nothing comes
    to it or from it, its connections stay open and silent, and new ones do not come up.
    """

    def __init__(self, name: str, zone: str, work: Work, memory: MarkMemory, seconds: float) -> None:
        self.name, self.zone, self.work, self.memory, self.seconds = name, zone, work, memory, seconds
        self.cut = threading.Event()
        super().__init__()

    def serve(self, conn: socket.socket, stream: object) -> None:
        """Serves one connection."""
        read_exactly(stream, struct.unpack("!I", read_exactly(stream, 4))[0] - 4)
        self._wait_while_cut(conn)
        conn.sendall(pack_message(b"R", bytes(4)) + READY)
        while True:
            kind, body = read_message(stream)
            self._wait_while_cut(conn)
            if kind != b"Q":
                return
            self._carry_out(body[:-1].decode())
            self._wait_while_cut(conn)
            conn.sendall(ROW + READY)

    def _wait_while_cut(self, conn: socket.socket) -> None:
        """What was under way on a connection when its unit was cut off is lost: it is reset afterwards."""
        if not self.cut.is_set():
            return
        while self.cut.is_set():
            time.sleep(0.02)
        reset_on_close(conn)
        raise EOFError

    def _carry_out(self, text: str) -> None:
        match = COMMENT.search(text)
        if not match:
            return
        fields = dict(field.split("=", 1) for field in match.group(2).split(","))
        run = Run(self, match.group(1), fields)
        known = self.memory.earlier(run)
        told = {"unit": self.name, "zone": self.zone, "handle": run.handle, "id": run.req, "k": run.mark}
        if known is not None:
            self.work.record.write("repeat dropped", **told)
            known.done.wait()
            return
        self.work.record.write("run begins", d=fields["d"], **told)
        with self.work.lock:
            self.work.begun.append(run)
        time.sleep(self.seconds)
        with self.work.lock:
            self.work.finished.append((time.monotonic(), run))
        run.done.set()
        self.work.record.write("run ends", **told)


class Deployer(DeployerStandIn):
    """A platform whose only build is released; it gives a sign of life every second."""

    def __init__(self) -> None:
        super().__init__()
        threading.Thread(target=self._live, daemon=True).start()

    def _live(self) -> None:
        while True:
            time.sleep(1)
            self.send_notices(":\n\n")


def route(name: str, effect: str, aim: float, deadline: float, memory: float, group: str) -> dict:
    """Returns a route of the platform's settings; times in milliseconds."""
    return {
        "name": name,
        "aim": aim,
        "deadline": deadline,
        "worth": 1.0,
        "late_share": 0.2,
        "effect": effect,
        "group": group,
        "memory_span": memory,
        "stream": False,
    }


def platform_settings(zones: list[str], routes: list[dict]) -> dict:
    """Returns the platform's settings of a small site without probes and messages between relays."""
    return {
        "me": 0,
        "balancers": 3,
        "locality": zones[0],
        "areas": zones,
        "tick": 5.0,
        "discovery": "push",
        "classes": routes,
        "limits": {
            "max_attempts": 4,
            "may_duplicate": False,
            "probes": False,
            "peer_messages": False,
            "retry_after": True,
            "max_retry_after": 1000.0,
            "conn_idle": 30000.0,
            "cancel": True,
            "connect_timeout": 250.0,
        },
        "obligations": {
            "must_ask_in": 0.0,
            "stop_sending_within": 2000.0,
            "start_capacity": 0.3,
            "warm_after": 4500.0,
            "overload_factor": 3.0,
            "tip_after": 1000.0,
        },
        "domain": {
            "cap_scope": "per_lane",
            "free": 3.0,
            "counted_over": 2000.0,
            "most_shares": [0.06, 0.24, 0.8, 1.0],
            "rings": [0.03, 0.12, 0.4, 1.0],
            "shielded": 1,
            "keys_stay": False,
            "decided_by": "single",
            "least_stage": 1500.0,
            "ballot_ttl": 6000.0,
            "api_timeout": 1200.0,
            "to_advance": 1,
            "back_votes": 1,
            "complaint_share": 0.0,
        },
        "prices": {"cross_zone": 0.0},
        "reporting": {"names": [], "via": "silent"},
    }


class Relay:
    """A relay process, started by the deploy file's `run` with the operators' settings."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, host: str, number: int) -> None:
        self.fleet, self.name, self.zone, self.host, self.number = fleet, name, zone, host, number
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, workflows: str) -> None:
        """Writes its configuration and the operators' settings."""
        fleet = self.fleet
        settings = json.loads(json.dumps(fleet.settings)) | {"me": self.number, "locality": self.zone}
        listen, peer = f"{self.host}:{fleet.port}", f"{self.host}:{fleet.peer_port}"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": fleet.directory.address,
            "seed": seed_of(self.name),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": peer,
            "peers": [f"{other.host}:{fleet.peer_port}" for other in fleet.relays],
            "peers_all": peer,
            "pipeline": {
                "address": fleet.deployer.address,
                "news": {"build": "1", "stage": "3", "phase": "Healthy", "cap": "1", "age_ms": "9000"},
            },
            "known": fleet.directory.full_list(),
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        keepers = "".join(
            f'<keeper name="{other.name}" address="{other.host}:{fleet.keeper_port}" site="{other.zone}"/>'
            for other in fleet.relays[:KEEPERS]
        )
        (self.folder / "operator.xml").write_text(
            '<operator xmlns="urn:laurelcourse:operator:1">'
            f'<fleet name="review" folder="books" {fleet.times} drift="1000" sessions="100" '
            f'flows-port="{fleet.flows_port}">{keepers}{workflows}</fleet></operator>'
        )

    def start(self) -> None:
        """Starts the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{run} -o {self.folder / 'operator.xml'}"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"EDGE_CONFIG": str(self.folder / "config.json")},
            )
        self.fleet.record.write("relay started", relay=self.name, pid=self.process.pid)

    def kill(self) -> None:
        """Kills the process at once."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record.write("relay killed", relay=self.name, pid=self.process.pid)

    def end(self) -> None:
        """Ends the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def log_has(self, text: str) -> bool:
        """Whether a line of its log holds this."""
        return self.log.exists() and any(text in line for line in self.log.read_text().splitlines())

    @property
    def flows_address(self) -> str:
        """Where clients of workflows call it."""
        return f"{self.host}:{self.fleet.flows_port}"


class Fleet:
    """Relays, one for each zone named, among stand-ins; the first three keep the books."""

    def __init__(
        self, record: Record, folder: Path, zones: list[str], routes: list[dict], times: str, workflows: str
    ) -> None:
        """`zones`: of each relay. `times`: lease and beat, as attributes of the operators' settings."""
        self.record, self.folder, self.times = record, folder, times
        self.settings = platform_settings(list(dict.fromkeys(zones)), routes) | {"balancers": len(zones)}
        self.directory, self.deployer = DirectoryStandIn(), Deployer()
        self.hosts = [f"127.0.0.{21 + number}" for number in range(len(zones))]
        self.port, self.flows_port, self.keeper_port = (self._free_port(socket.SOCK_STREAM) for _ in range(3))
        self.peer_port = self._free_port(socket.SOCK_DGRAM)
        self.relays: list[Relay] = []
        for number, zone in enumerate(zones):
            self.relays.append(Relay(self, f"r{number + 1}", zone, self.hosts[number], number))
        self.workflows = workflows

    def _free_port(self, kind: int) -> int:
        while True:
            port = reserve_port(kind, self.hosts[0])
            with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
                for host in self.hosts:
                    stack.enter_context(socket.socket(socket.AF_INET, kind)).bind((host, port))
                return port

    def add_unit(self, unit: Unit, cell: int = 0) -> None:
        """Lists a unit."""
        self.directory.put(unit.name, unit.address)
        self.directory.entries[unit.name] |= {"locality": unit.zone, "cell": cell}

    def start(self) -> None:
        """Starts all relays, and waits until each has a session and a keeper leads."""
        for relay in self.relays:
            relay.write_settings(self.workflows)
            relay.start()
        self.wait_for(
            lambda: all(relay.log_has("state=held") for relay in self.relays) and bool(self.leader()),
            START_SECONDS,
            "the relays did not come up",
        )

    def leader(self) -> str:
        """Returns the keeper that said last that it leads, in the highest term; '' if none did."""
        found = []
        for relay in self.relays:
            for line in relay.log.read_text().splitlines() if relay.log.exists() else ():
                if "keeper is now" in line and "role=leader" in line:
                    found.append((int(line.partition("term=")[2].split(" ")[0]), relay.name))
        return max(found)[1] if found else ""

    def wait_for(self, condition: Callable[[], object], seconds: float, why: str) -> None:
        """Waits until a condition holds. Raises CannotRunError."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(why)
            time.sleep(0.002)

    def end(self) -> None:
        """Ends all processes."""
        for relay in self.relays:
            relay.end()


def shown(mark: str) -> str:
    """Returns a mark as the record shows it."""
    return mark if len(mark) <= 40 else f"{mark[:8]}...({len(mark)} letters)"


class Booking(threading.Thread):
    """A client that starts one workflow, and notes the answer it gets."""

    def __init__(
        self, record: Record, relay: Relay, name: str, mark: str, values: dict[str, str], wait: float
    ) -> None:
        super().__init__(daemon=True)
        self.record, self.name_of_workflow, self.mark, self.values, self.wait = (
            record,
            name,
            mark,
            values,
            wait,
        )
        self.client = FlowsClient([relay.flows_address])
        self.status: WorkflowStatus | None = None
        record.write("client starts", workflow=name, mark=shown(mark), relay=relay.name)

    def run(self) -> None:
        """Starts the workflow and waits for its answer."""
        self.status = self.client.start(self.name_of_workflow, "firm", self.mark, self.values, self.wait)
        self.record.write("client told", mark=shown(self.mark), status=self.status)

    def leave(self) -> None:
        """Cancels the call."""
        self.record.write("client leaves", mark=self.mark)
        self.client.close()


def final_answer(fleet: Fleet, booking: Booking, seconds: float) -> WorkflowStatus | None:
    """Returns how a workflow ended, as a client that starts it again is told; None if it has not ended."""
    client = FlowsClient([relay.flows_address for relay in fleet.relays if relay.alive()])
    deadline = time.monotonic() + seconds
    try:
        while time.monotonic() < deadline:
            status = client.start(booking.name_of_workflow, "firm", booking.mark, booking.values, 2.0)
            if status.answer in ("done", "undone"):
                fleet.record.write("ended", mark=booking.mark, status=status)
                return status
            if status.state == "stuck":
                fleet.record.write("stuck", mark=booking.mark, status=status)
                return status
            time.sleep(0.2)
    finally:
        client.close()
    return None


def look(address: str, number: int) -> WorkflowStatus | None:
    """Returns where a workflow stands, by the relay at this address; None if the books do not answer."""
    client = FlowsClient([address])
    try:
        status = client.look(number)
        return None if status.state in ("unheard", "unknown") else status
    finally:
        client.close()


def ended(record: Record, fleet: Fleet, booking: Booking) -> bool:
    """Returns whether a workflow that was taken is finished, undone, or told to be stuck.

    The second relay is asked where the client was not told so. Raises CannotRunError if it can't say.
    """
    known = booking.status if booking.status.state in ENDS else None
    status = known or look(fleet.relays[1].flows_address, booking.status.number)
    if status is None:
        raise CannotRunError("the books do not answer")
    has_ended = status.state in ENDS
    if not has_ended:
        record.write(
            "RULE BROKEN: neither finished nor undone", mark=booking.mark, told=booking.status, now=status
        )
    return has_ended


def twice(record: Record, work: Work) -> int:
    """Returns how many marks were carried out more than once, and records them."""
    count = 0
    for mark, runs in work.by_mark().items():
        if mark and len(runs) > 1:
            count += 1
            first = runs[0][1].began
            record.write(
                "RULE BROKEN: run more than once",
                k=mark,
                handle=runs[0][1].handle,
                runs=",".join(f"{run.unit.name}/{run.unit.zone}+{run.began - first:.2f}s" for _, run in runs),
            )
    return count


def main(case: Callable[[Record, Path], int], folder: Path) -> None:
    """Plays a case in a temporary folder and exits: 1 broken, 0 held, 2 it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record, code = Record(folder / "record.txt"), CANNOT_RUN
    record.write("case begins", trouble=int(TROUBLE))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = case(record, Path(temporary))
    except CannotRunError as error:
        record.write("could not run", why=error)
    except Exception:
        record.write("could not run", why=traceback.format_exc())
    record.write("case ends", exit=code)
    print(f"{folder.name}: exit {code}, trouble {int(TROUBLE)}")
    sys.stdout.flush()
    os._exit(code)
