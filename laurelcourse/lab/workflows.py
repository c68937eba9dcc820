"""Bookings over units through real relays of one fleet, while these are killed, paused and cut off: what
units and clients saw of them is judged by `flows_seen.py`."""

import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from laurelcourse.fleet.flows_client import DONE, UNDONE, FlowsClient, WorkflowStatus
from laurelcourse.lab import faults
from laurelcourse.lab.flows_seen import Asked, by_mark, judged
from laurelcourse.lab.host import FLEET, Host
from laurelcourse.lab.report import Check, Progress, Report, part
from laurelcourse.lab.rig import element
from laurelcourse.prng import Prng
from laurelcourse.standins.base import RELAY, until
from laurelcourse.standins.directory import DirectoryStand
from laurelcourse.standins.holds import HoldsStand, Ledger
from laurelcourse.standins.postgres import PgClient

KEEPERS, MEMBERS = {"k1": "a", "k2": "b", "k3": "c"}, {"m1": "a", "m2": "b", "m3": "c"}
UNITS, CLIENTS, WAIT, PAUSE = 4, 6, 8.0, 0.15
SETTLES, STARTS = 12.0, 8.0  # seconds of the whole, at most: after the faults, before them
KINDS = (faults.KILL, faults.KILL_LEADER, faults.PAUSE, faults.CUT, faults.SILENT, faults.SITE_CUT)
CALM = 3.0  # seconds before the first fault
LEASE = int(FLEET["lease"].removesuffix("ms")) * 1000
SLOW = 0.4  # seconds that some steps take
WHAT = {
    "out_of_order": "steps or undos that took effect out of their order",
    "effects_left_behind": "holds left at units by undone workflows",
    "undone_though_done": "done workflows, or such as gave notice, of which anything was undone",
    "notices_twice": "notices given more than once",
    "two_owners_acted": "statements that came after their workflow had gone on without them",
    "undo_of_never_ran": "undos of steps that a unit had refused, where the relay heard so",
    "one_outcome_each": "answers that differ from how the workflow ended, or are none",
    "answered_after_deadline": "answers after the client's time",
}


def statement(name: str) -> str:
    return f"SELECT blob FROM rows WHERE handle = '{name}.{{mark}}'"


def definition() -> str:
    def step(name: str) -> str:
        undo = element(
            "undo",
            {"route": "mark", "statement": statement(f"free.{name}"), "timeout": "600ms", "harmless": "true"},
        )
        return element(
            "step",
            {"name": name, "route": "mark", "statement": statement(f"hold.{name}"), "timeout": "600ms"},
            undo,
        )

    notice = element(
        "step",
        {
            "name": "notice",
            "route": "once",
            "statement": statement("notice.note"),
            "timeout": "600ms",
            "no-return": "true",
            "fails": "harmless",
        },
    )
    return element(
        "workflow",
        {
            "name": "booking",
            "timeout": "8s",
            "tries": "1000",
            "back-off": "50ms",
            "longest-back-off": "500ms",
        },
        "".join(map(step, ("room", "device", "slot"))) + notice,
    )


class Caller:
    """A client that books again and again; some leave in the middle, some ask twice."""

    def __init__(self, number: int, seed: int, lab: "Lab") -> None:
        self.number, self.lab, self.rng = number, lab, Prng(seed * 1000 + number)
        names = sorted(lab.host.flows)
        self.names = [names[(number + place) % len(names)] for place in range(len(names))]
        self.thread = threading.Thread(target=self._work, daemon=True)

    def _client(self) -> FlowsClient:
        return FlowsClient([f"{RELAY}:{self.lab.host.flows[one]}" for one in self.names])

    def _work(self) -> None:
        count = 0
        while not self.lab.over.wait(PAUSE):
            count += 1
            mark, dice = f"{self.number}x{count}", self.rng.below(100)
            self._prepare(mark, dice)
            ledger = self.lab.ledger
            client, gone = self._client(), threading.Event()
            moment = (lambda: False) if dice % 10 == 7 else partial(ledger.statements, f"notice.note.{mark}")
            leaving = threading.Thread(
                target=leave,
                args=(client, gone, moment, 0.05 * (1 + self.rng.below(20)) if dice % 10 == 7 else WAIT),
            )
            if dice % 10 == 7 or 24 <= dice < 36:
                leaving.start()
            began = time.monotonic()
            told = client.start("booking", f"firm-{self.number}", mark, {"mark": mark}, WAIT)
            took = time.monotonic() - began
            self.lab.asked.append(
                Asked(
                    mark,
                    began,
                    took,
                    WAIT,
                    None if gone.is_set() else told,
                    not self.lab.met(began, began + took),
                )
            )
            self.lab.tenants[mark] = f"firm-{self.number}"
            client.close()

    def _prepare(self, mark: str, dice: int) -> None:
        ledger = self.lab.ledger
        if dice < 12:
            ledger.answers[f"hold.device.{mark}"] = "syntax"
        elif dice < 24:
            ledger.answers[f"hold.slot.{mark}"] = "reset"
        elif dice < 40:
            ledger.delays[f"notice.note.{mark}"] = SLOW
        elif dice < 60:
            ledger.delays[f"hold.device.{mark}"] = SLOW


def leave(client: FlowsClient, gone: threading.Event, moment: Callable[[], object], after: float) -> None:
    """A client that leaves at this moment, or so long after its asking."""
    over = time.monotonic() + after
    while not moment() and time.monotonic() < over and not client.closed:
        time.sleep(0.01)
    if not client.closed:
        gone.set()
        client.close()


class Lab:
    def __init__(self, host: Host, ledger: Ledger) -> None:
        self.host, self.ledger, self.over = host, ledger, threading.Event()
        self.asked: list[Asked] = []
        self.tenants: dict[str, str] = {}
        self.faults: list[tuple[float, str]] = []
        self.plain: list[float] = []

    def met(self, began: float, ended: float) -> bool:
        """Whether a relay may have been paused in this time: one that is, can't answer."""
        return any(
            began - 3 * LEASE / 1e6 < at < ended and faults.PAUSE in line.split()
            for at, line in list(self.faults)
        )

    def tell(self, line: str) -> None:
        self.faults.append((time.monotonic(), line))

    def ask_plain(self) -> None:
        """Plain reqs at a relay beside the workflows."""
        number, port = 0, self.host.ports["m1"]
        client: PgClient | None = None
        while not self.over.wait(0.02):
            number += 1
            try:
                client = client or PgClient(port)
                began = time.monotonic()
                letters, _, _ = client.ask(
                    f"SELECT blob FROM rows WHERE handle = 'ab' /* id=p{number},c=read,d=1500 */"
                )
                if letters == "TDCZ":
                    self.plain.append(time.monotonic() - began)
                else:
                    client = None
            except OSError:
                client = None

    def final(self, over: float) -> dict[str, WorkflowStatus]:
        """How each booking ended, as a client that asks with its mark is told."""
        found: dict[str, WorkflowStatus] = {}
        client = FlowsClient([f"{RELAY}:{port}" for _, port in sorted(self.host.flows.items())])
        while (left := [mark for mark in self.tenants if mark not in found]) and time.monotonic() < over:
            for mark in left:
                told = client.start("booking", self.tenants[mark], mark, {"mark": mark}, 1.0)
                if told.answer in (DONE, UNDONE):
                    found[mark] = told
                if time.monotonic() > over:
                    break
        client.close()
        return found

    def taken_over(self) -> list[float]:
        """Seconds from the death or pause of a relay to the next statement of a booking that it had begun and
        that another went on with."""
        found = []
        for at, line in self.faults:
            words = line.split()
            if words[2] not in (faults.KILL, faults.PAUSE):
                continue
            for one in self.asked:
                if one.began < at < one.began + one.took and one.took > LEASE / 1e6:
                    later = [
                        came.at
                        for came in self.ledger.came
                        if came.thing.endswith(f".{one.mark}") and came.at > at + LEASE / 2e6
                    ]
                    found += [min(later) - at] if later else []
        return found


def leader(host: Host) -> str:
    """Whoever said last that it leads, in the highest term; only for choosing whom to kill."""
    found = []
    for name in KEEPERS:
        for line in host.nodes[name].log.read_text().splitlines():
            if "keeper is now" in line and "role=leader" in line:
                found.append((int(line.partition("term=")[2].split(" ")[0]), name))
    return max(found)[1] if found else ""


def run(seed: int, seconds: float, broken: str, progress: Progress) -> Report:
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        ledger, directory = Ledger(), DirectoryStand()
        for place in range(UNITS):
            directory.put(f"u-{place}", HoldsStand(ledger).at)
        host = Host(
            Path(folder),
            KEEPERS,
            MEMBERS,
            flows=definition(),
            known=directory.whole(),
            directory=directory.at,
            broken=broken,
            lab="workflows",
            leader=lambda: leader(host),
        )
        with host:
            host.start()
            return _run(Lab(host, ledger), seed, began, seconds, progress)


def _run(lab: Lab, seed: int, began: float, seconds: float, progress: Progress) -> Report:
    host, ledger = lab.host, lab.ledger
    until(lambda: leader(host), STARTS)
    callers = [Caller(number, seed, lab) for number in range(CLIENTS)]
    for one in callers:
        one.thread.start()
    threading.Thread(target=lab.ask_plain, daemon=True).start()
    lab.over.wait(CALM)
    lasts = max(seconds - SETTLES - WAIT - (time.monotonic() - began), 5.0)
    plan = faults.Plan(
        tuple(KEEPERS.items()),
        tuple(MEMBERS.items()),
        lasts=int(lasts * 1e6),
        lease=LEASE,
        kinds=KINDS,
        gap=2_000_000,
    )
    played = time.monotonic()
    host.play(faults.script(seed, plan), threading.Event(), lambda line: (lab.tell(line), progress.say(line)))
    lab.over.wait(max(played + lasts - time.monotonic(), 0))
    lab.over.set()
    for one in callers:
        one.thread.join(WAIT + 2)
    final = lab.final(began + seconds)
    seen = by_mark(
        lab.tenants,
        ledger.came,
        ledger.effects,
        frozenset(name.partition(".")[2] for name, answer in ledger.answers.items() if answer == "syntax"),
    )
    counts = judged(seen, lab.asked, final)
    took, takes = [one.took for one in lab.asked if one.told], lab.taken_over()
    figures = {
        "workflows": len(lab.tenants),
        "faults": len(lab.faults),
        "done": sum(one.answer == DONE for one in final.values()),
        "undone": sum(one.answer == UNDONE for one in final.values()),
        "settled_share": round(len(final) / max(len(lab.tenants), 1), 4),
        "taken_over": len(takes),
        "taken_over_s": round(part(takes, 0.5), 2),
        "taken_over_worst_s": round(max(takes, default=0.0), 2),
        "flow_p50_ms": round(part(took, 0.5) * 1000, 1),
        "flow_p99_ms": round(part(took, 0.99) * 1000, 1),
        "plain_reqs": len(lab.plain),
        "plain_p99_ms": round(part(lab.plain, 0.99) * 1000, 1),
    }
    checks = [Check(name, counts[name], 0, WHAT[name]) for name in WHAT]
    return Report("workflows", seed, time.monotonic() - began, figures, checks)
