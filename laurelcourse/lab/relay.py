"""The main job on loopback: two relay processes before units of an old and a new build; a bad build is voted
back, then a good one voted on, while clients ask on."""

import contextlib
import json
import re
import tempfile
import threading
import time
from pathlib import Path

from laurelcourse.lab.fleet import Fleet, offer, over_cap
from laurelcourse.lab.process import RelayProcess
from laurelcourse.lab.report import Check, Progress, Report, part
from laurelcourse.prng import Prng
from laurelcourse.standins.base import RELAY
from laurelcourse.standins.deployer import Rollout
from laurelcourse.standins.directory import DirectoryStand
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import PgClient, UnitStand, sql
from laurelcourse.standins.settings import OUTSIDE, config

UNITS, RELAYS, CLIENTS = 10, 2, 24
CAPS, FREE, WINDOW = (0.1, 0.5, 1.0), 2, 2.0
STAGE = 1.25 * WINDOW  # a stage lasts so long at least: its exposure is counted over a window
MACHINES = (0.3, 0.6, 1.0)  # the share of units that run the build on trial, by stage
ANSWERS_LATE = 0.25  # a relay may be so late with its answer on a busy machine
WAIT_MS, PACE = 1500, 0.12  # a req's time, and a client's usual pause between two
# A sound unit works on a req for so long, a tenth of the objective: where answers come at once, the waits
# of a busy machine for its processors are several times what is usual, and pass for a slow build.
WORK = 0.1


class Asked:
    """One req as its client saw it."""

    __slots__ = ("at", "code", "late", "letters", "name", "relay", "took")

    def __init__(self, name: str, relay: int, at: float) -> None:
        self.name, self.relay, self.at = name, relay, at
        self.letters, self.code, self.took, self.late = "", "", 0.0, False

    def once(self) -> bool:
        """Whether exactly one final answer came, in time."""
        return self.letters in ("TDCZ", "EZ") and not self.late


def settings(me: int) -> dict:
    found = json.loads(json.dumps(OUTSIDE))
    found["me"], found["balancers"] = me, RELAYS
    found["limits"]["peer_messages"] = False
    found["domain"] |= {
        "free": FREE,
        "counted_over": WINDOW * 1000,
        "most_shares": CAPS,
        "rings": MACHINES,
        "least_stage": 1000.0,
    }
    found["obligations"]["warm_after"] = 1000.0
    return found


class Caller:
    """A client that asks again and again, one req at a time."""

    def __init__(self, number: int, relay: int, port: int, over: threading.Event) -> None:
        self.relay, self.port, self.over, self.rng = relay, port, over, Prng(number)
        self.asked: list[Asked] = []
        self.unasked = 0
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def _work(self) -> None:
        client = None
        while not self.over.wait(PACE * (0.5 + self.rng.fraction())):
            with contextlib.suppress(OSError):
                client = client or PgClient(self.port)
                self._ask(client)
                continue
            client = None
        if client:
            # Whatever comes now was asked by nobody.
            client.sock.settimeout(0.3)
            with contextlib.suppress(OSError):
                self.unasked += len(client.stream.read(1) or b"")

    def _ask(self, client: PgClient) -> None:
        route = ("read", "read", "mark", "once")[self.rng.below(4)]
        words = sql(route, WAIT_MS)
        one = Asked(re.search(r"id=(\w+)", words)[1], self.relay, time.monotonic())
        self.asked.append(one)
        one.letters, one.code, _ = client.ask(words)
        one.took = time.monotonic() - one.at
        one.late = one.took > WAIT_MS / 1000 + ANSWERS_LATE


def run(seed: int, seconds: float, broken: str, progress: Progress) -> Report:
    began = time.monotonic()
    bad, good = 2, 3
    directory = DirectoryStand()

    def make(build: int) -> UnitStand:
        unit = UnitStand()
        unit.mode = "failed" if build == bad else f"slow{WORK}"
        return unit

    fleet = Fleet(directory, UNITS, MACHINES, make, seed)
    deployer = Rollout(CAPS, fleet.moved, bake=STAGE)
    ports = [reserve_port() for _ in range(RELAYS)]
    over = threading.Event()
    callers: list[Caller] = []
    with tempfile.TemporaryDirectory(prefix="laurelcourse-lab-") as folder:
        relays = [
            RelayProcess(
                Path(folder) / str(me),
                config(
                    f"n{me}", f"{RELAY}:{port}", directory.at, deployer.at, directory.whole(), settings(me)
                ),
                broken=broken,
                lab="relay",
            )
            for me, port in enumerate(ports)
        ]
        try:
            for one in relays:
                one.start()
            progress.say(f"{RELAYS} relays serve {UNITS} units of build 1 to {CLIENTS} clients")
            callers = [
                Caller(seed * CLIENTS + place, place % RELAYS, ports[place % RELAYS], over)
                for place in range(CLIENTS)
            ]
            time.sleep(2.5)
            offer(deployer, bad, "it fails", began + (seconds - 3) / 2, progress)
            offer(deployer, good, "it is sound", began + seconds - 2, progress)
            time.sleep(0.5)
            over.set()
            for caller in callers:
                caller.thread.join(5)
            counts = [one.counters() for one in relays]
        finally:
            over.set()
            for one in relays:
                one.kill()
            fleet.close()
            directory.close()
            deployer.close()
    return judge(seed, time.monotonic() - began, callers, fleet, deployer, counts, (bad, good))


def judge(
    seed: int,
    seconds: float,
    callers: list[Caller],
    fleet: Fleet,
    deployer: Rollout,
    counts: list[dict[str, int]],
    builds: tuple[int, int],
) -> Report:
    bad, good = builds
    asked = [one for caller in callers for one in caller.asked]
    ends = [one for one in deployer.told if one[3] in ("Healthy", "Aborting")]
    released = [build for _, build, _, phase, _ in ends if phase == "Healthy"]
    back = next((at for at, build, _, phase, _ in deployer.told if (build, phase) == (bad, "Aborting")), 0.0)
    offered = next((at for at, build, *_ in deployer.told if build == bad), 0.0)
    figures = {
        "reqs": len(asked),
        "completed": sum(one.letters == "TDCZ" for one in asked),
        "shed": sum(one.code == "53300" for one in asked),
        "errored": sum(one.code == "58000" for one in asked),
        "latency_p50_ms": round(part([one.took for one in asked], 0.5) * 1000, 1),
        "latency_p99_ms": round(part([one.took for one in asked], 0.99) * 1000, 1),
        "bad_build_back_after_s": round(back - offered, 1) if back else 0.0,
        "tries_at_bad_build": sum(len(one.stand.times) for one in fleet.all if one.build == bad),
        "module_faults": sum(count.get("module_faults", 0) for count in counts),
    }
    checks = [
        Check(
            "one_outcome_each",
            sum(not one.once() for one in asked) + sum(caller.unasked for caller in callers),
            0,
            "reqs without exactly one final answer in time, and answers nobody asked for",
        ),
        Check("bad_build_released", released.count(bad), 0, "releases of the build that fails"),
        Check("good_build_released", released.count(good), 1, "releases of the sound build", at_least=True),
        Check(
            "exposure_over_cap",
            over(asked, fleet, deployer),
            0,
            "tries at a build on trial beyond free + cap x reqs, by relay, in any 2 s",
        ),
    ]
    return Report("relay", seed, seconds, figures, checks)


def over(asked: list[Asked], fleet: Fleet, deployer: Rollout) -> int:
    relay_of = {one.name: one.relay for one in asked}
    tries: dict[int, list[tuple[float, int]]] = {}
    for one in fleet.all:
        for at, query in zip(one.stand.times, one.stand.queries, strict=True):
            if one.build > 1 and (named := re.search(r"id=(\w+)", query)):
                tries.setdefault(one.build, []).append((at, relay_of.get(named[1], -1)))
    taken = {relay: [one.at for one in asked if one.relay == relay] for relay in range(RELAYS)}
    grace = OUTSIDE["obligations"]["stop_sending_within"] / 1000
    return over_cap(tries, taken, deployer, FREE, WINDOW, grace, ANSWERS_LATE)
