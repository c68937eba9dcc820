"""Budgets of a fleet on loopback: real relays, three of them keepers, divide what units may bear, while most
demand moves from relay to relay, and relays are killed, paused and cut off. Units and clients count."""

import contextlib
import copy
import tempfile
import time
from pathlib import Path

from laurelcourse import interface as face
from laurelcourse.lab import budgets_seen as seen
from laurelcourse.lab import faults
from laurelcourse.lab.budgets_seen import Caller, Span, Unit
from laurelcourse.lab.host import Host
from laurelcourse.lab.process import RelayProcess
from laurelcourse.lab.report import Check, Progress, Report, part
from laurelcourse.prng import Prng
from laurelcourse.standins import way
from laurelcourse.standins.base import RELAY, until
from laurelcourse.standins.deployer import DeployerStand
from laurelcourse.standins.directory import DirectoryStand
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.settings import OUTSIDE, config
from laurelcourse.standins.way import Mode

KEEPERS = {"k1": "a", "k2": "b", "k3": "c"}
MEMBERS = {"m1": "a", "m2": "b", "m3": "c"}
JOINS = "m3"  # started later than the others
PLACES, UNITS, EACH_HAS = 6, 3, 12  # relays that there may be, units, clients of a relay
HOT, WARM, COLD = 0.02, 0.3, 6.0  # a client's pause: where most demand is, where some is, elsewhere
WHOLE, FLOOR = 24, 1  # resends a second of the fleet, and of a relay without a lease
HELD, NEW = 60, 60  # connections that a unit bears, and new ones a second
HELD_FLOOR, NEW_FLOOR = 5, 5
LEASE, BEAT, BURST = 1.5, 0.25, 4  # as lab/host.py has them; of fleet/budgets/usage.py
WINDOWS = (1.0, 2.0, 4.0)  # in which rates are held against their whole
GRACE = 0.3  # after a lease must have ended: its answer may have been under way
SETTLE = 2 * LEASE  # what a shift of demand may take until use of the whole is looked at
LEAST, DEMAND = 0.5, 2.0  # a floor's part that must be used, if so many tries are refused for each use
NEAR = 0.7  # of the whole: then it is divided anew


def budgets(fixed: int = 0) -> tuple[dict[str, str], ...]:
    """`fixed`: equal parts for so many relays, and nothing to share."""

    def one(name: str, kind: str, scope: str, whole: int, floor: int, **more: str) -> dict[str, str]:
        told = {"whole": str(whole), "floor": str(floor), "relays": str(PLACES)}
        if fixed:
            told = {"whole": str(whole // fixed * fixed), "floor": str(whole // fixed), "relays": str(fixed)}
        return (
            {
                "name": name,
                "kind": kind,
                "scope": scope,
                "when-used-up": "shed" if scope == "fleet" else "wait",
            }
            | told
            | more
        )

    return (
        one(face.RESENDS, "rate", "fleet", WHOLE, FLOOR),
        one(face.CONNECTIONS, "level", "unit", HELD, HELD_FLOOR, **{"freed-after": "500ms"}),
        one(face.HANDSHAKES, "rate", "unit", NEW, NEW_FLOOR),
    )


def settings() -> dict:
    told = copy.deepcopy(OUTSIDE)
    told["limits"]["peer_messages"] = False
    return told


class Stage:
    """Units, a directory, a deployer, and clients of whatever relays there are."""

    def __init__(self, seed: int) -> None:
        self.seed, self.callers = seed, []
        self.units = [Unit(seed * UNITS + place) for place in range(UNITS)]
        self.directory, self.deployer = DirectoryStand(), DeployerStand()
        for place, unit in enumerate(self.units):
            self.directory.put(f"u-{place}", unit.at)

    def clients(self, relay: str, port: int, pace: float) -> None:
        first = (self.seed * PLACES + len(self.callers)) * EACH_HAS
        self.callers += [Caller(first + place, relay, port, pace) for place in range(EACH_HAS)]

    def demand(self, hot: str) -> None:
        for one in self.callers:
            one.pace = HOT if one.relay == hot else COLD

    def asked(self) -> list[seen.Asked]:
        return [one for caller in self.callers for one in caller.asked]

    def more(self) -> list[float]:
        return [at for at, _ in seen.resends(self.units, self.asked())]

    def rest(self) -> None:
        for caller in self.callers:
            caller.over.set()
        for caller in self.callers:
            caller.thread.join(7)

    def close(self) -> None:
        for caller in self.callers:
            caller.over.set()
        for unit in self.units:
            unit.close()
        self.directory.close()
        self.deployer.close()


class Play:
    """The fleet's run. What befell whom, and when, is noted for the checks."""

    def __init__(self, seed: int, folder: Path, broken: str, progress: Progress, short: bool) -> None:
        self.rng, self.progress, self.short = Prng(seed), progress, short
        self.stage = Stage(seed)
        self.host = Host(
            folder,
            KEEPERS,
            MEMBERS,
            budgets=budgets(),
            directory=self.stage.directory.at,
            deployer=self.stage.deployer.at,
            known=self.stage.directory.whole(),
            outside=settings(),
            broken=broken,
            lab="budgets",
        )
        self.troubled: list[Span] = []  # killed or paused
        self.without: list[Span] = []  # no lease can hold
        self.steady: list[tuple[float, float]] = []
        self.lost: list[tuple[float, float]] = []
        self.redivided = {"join": -1.0, "kill": -1.0}
        self.cpu = self.calm_reqs = 0.0

    def run(self) -> None:
        try:
            self._start()
            self._skewed()
            if not self.short:
                self._joined()
                self._killed()
            self._woken()
            self._no_quorum()
            if not self.short:
                self._by_seed()
            self.stage.rest()
        finally:
            self.stage.close()
            self.host.close()

    def _start(self) -> None:
        names = [name for name in self.host.nodes if name != JOINS]
        for name in names:
            self.host.nodes[name].start()
        until(lambda: all(self._held(name) for name in names), 15)
        for name in names:
            self.stage.clients(name, self.host.ports[name], COLD)

    def _held(self, name: str) -> bool:
        return "state=held" in self.host.nodes[name].log.read_text()

    def _say(self, words: str) -> None:
        self.progress.say(words)

    def _skewed(self) -> None:
        """Most demand at one relay, then at another."""
        for hot in ("m1",) if self.short else ("m1", "k2"):
            self._say(f"most demand is at {hot}")
            self.stage.demand(hot)
            time.sleep(SETTLE)
            began, reqs, cpu = time.monotonic(), len(self.stage.asked()), self._cpu()
            time.sleep(2.0)
            self.steady.append((began, time.monotonic()))
            self.calm_reqs += len(self.stage.asked()) - reqs
            self.cpu += self._cpu() - cpu

    def _cpu(self) -> float:
        return sum(node.cpu() for node in self.host.nodes.values() if node.alive())

    def _joined(self) -> None:
        node = self.host.nodes[JOINS]
        self.stage.demand("")
        node.start()
        self._say(f"{JOINS} joins, and most demand is there")
        self.stage.clients(JOINS, self.host.ports[JOINS], HOT)
        began = time.monotonic()
        time.sleep(2 * LEASE + BEAT)
        mine = [at for at, relay in seen.resends(self.stage.units, self.stage.asked()) if relay == JOINS]
        self.redivided["join"] = seen.reached(mine, began, time.monotonic(), NEAR * (WHOLE - FLOOR * PLACES))

    def _killed(self) -> None:
        """The relay that has most of the budget dies; its demand goes to another at once."""
        self._say(f"{JOINS} is killed, and most demand is at m2")
        self.host.nodes[JOINS].kill()
        began = time.monotonic()
        self.stage.demand("m2")
        time.sleep(2 * LEASE + 2 * BEAT)
        mine = [at for at, relay in seen.resends(self.stage.units, self.stage.asked()) if relay == "m2"]
        self.redivided["kill"] = seen.reached(mine, began, time.monotonic(), NEAR * (WHOLE - FLOOR * PLACES))
        self.troubled.append(Span(JOINS, began, float("inf")))
        for one in self.stage.callers:
            if one.relay == JOINS:
                one.over.set()

    def _woken(self) -> None:
        """One is cut off and paused for longer than a lease, wakes, and is heard of again only later. One
        more is only cut off."""
        woken, cut = ("m1", "m2") if self.rng.below(2) else ("m2", "m1")
        mode = Mode((way.CUT, way.SILENT, way.HALF_OPEN)[self.rng.below(3)])
        self._say(f"{woken} has its shares and is paused, {cut} cut off ({mode.kind})")
        self.stage.demand(woken)
        time.sleep(LEASE)
        node, paused = self.host.nodes[woken], time.monotonic()
        for keeper in KEEPERS:
            self.host.between(woken, keeper, Mode(way.CUT))
            self.host.between(cut, keeper, mode)
        node.pause()
        time.sleep(LEASE + GRACE)
        node.wake()
        self.stage.demand(cut)
        for one in self.stage.callers:
            one.pace = HOT if one.relay in (woken, cut) else COLD
        awake = time.monotonic()
        time.sleep(2 * LEASE)
        healed = time.monotonic()
        for name in (woken, cut):
            for keeper in KEEPERS:
                self.host.between(name, keeper, Mode())
        self.troubled.append(Span(woken, paused, awake))
        self.without += [Span(woken, awake, healed), Span(cut, awake, healed)]

    def _no_quorum(self) -> None:
        """No keeper hears another: at every relay the lease ends, and it serves on."""
        pairs = [(one, other) for one in KEEPERS for other in KEEPERS if one < other]
        mode = Mode((way.CUT, way.SILENT)[self.rng.below(2)])
        self.stage.demand("m1")
        time.sleep(LEASE)
        self._say(f"the quorum is lost ({mode.kind})")
        for one, other in pairs:
            self.host.between(one, other, mode)
        lost = time.monotonic()
        # The leader may grant until it has missed its quorum for its patience: a beat.
        time.sleep(LEASE + BEAT + GRACE)
        # Each has demand beyond its floor.
        for one in self.stage.callers:
            one.pace = HOT if one.relay == "m1" else WARM
        since = time.monotonic()
        time.sleep(2 * LEASE)
        healed = time.monotonic()
        for one, other in pairs:
            self.host.between(one, other, Mode())
        self.lost.append((lost, healed))
        self.without += [Span(name, since, healed) for name, node in self.host.nodes.items() if node.alive()]

    def _by_seed(self) -> None:
        """Faults by seed; over_whole and one_outcome_each are held against all of it."""
        members = tuple((name, site) for name, site in MEMBERS.items() if name != JOINS)
        plan = faults.Plan(
            tuple(KEEPERS.items()),
            members,
            lasts=4_500_000,
            gap=1_200_000,
            lease=int(LEASE * 1_000_000),
            kinds=(faults.KILL, faults.PAUSE, faults.CUT, faults.SILENT, faults.DEAF),
        )
        self.stage.demand("m2")
        began = time.monotonic()
        for fault in faults.script(self.stage.seed, plan):
            time.sleep(max(began + fault.at / 1_000_000 - time.monotonic(), 0))
            self._say(faults.line(fault))
            name = fault.who[0]
            if fault.kind in (faults.KILL, faults.PAUSE):
                self.troubled.append(Span(name, time.monotonic(), float("inf")))
            self.host.carry(fault)
            if fault.kind == faults.RESTART:
                until(lambda name=name: self._served(name), 10)
            if fault.kind in (faults.RESTART, faults.WAKE):
                self.troubled = [
                    one._replace(to=time.monotonic()) if one.relay == name and one.to == float("inf") else one
                    for one in self.troubled
                ]
        time.sleep(1.0)

    def _served(self, name: str) -> bool:
        with contextlib.suppress(OSError):
            seen.PgClient(self.host.ports[name]).sock.close()
            return True
        return False


def fixed(seed: int, folder: Path) -> float:
    """What is used of the whole where each relay has an equal part and no more."""
    stage = Stage(seed)
    names = KEEPERS | {name: site for name, site in MEMBERS.items() if name != JOINS}
    host = Host(
        folder,
        KEEPERS,
        {name: names[name] for name in names if name not in KEEPERS},
        budgets=budgets(len(names)),
        directory=stage.directory.at,
        deployer=stage.deployer.at,
        known=stage.directory.whole(),
        outside=settings(),
    )
    try:
        host.start()
        for name in names:
            stage.clients(name, host.ports[name], COLD)
        stage.demand("m1")
        time.sleep(1.5)
        began = time.monotonic()
        time.sleep(2.0)
        span = (began, time.monotonic())
        stage.rest()
        return seen.used(stage.more(), [span], WHOLE // len(names) * len(names))
    finally:
        stage.close()
        host.close()


def plain(seed: int, folder: Path) -> float:
    """Seconds of CPU a req, of relays without a fleet under the same demand."""
    stage = Stage(seed)
    names = [*KEEPERS, *(name for name in MEMBERS if name != JOINS)]
    ports = {name: reserve_port() for name in names}
    relays = []
    try:
        for me, name in enumerate(names):
            told = settings() | {"me": me, "balancers": len(names) + 1}
            relays.append(
                RelayProcess(
                    folder / name,
                    config(
                        name,
                        f"{RELAY}:{ports[name]}",
                        stage.directory.at,
                        stage.deployer.at,
                        stage.directory.whole(),
                        told,
                    ),
                )
            )
            relays[-1].start()
            stage.clients(name, ports[name], COLD)
        stage.demand("m1")
        time.sleep(1.0)
        reqs, cpu = len(stage.asked()), sum(one.cpu() for one in relays)
        time.sleep(2.0)
        reqs, cpu = len(stage.asked()) - reqs, sum(one.cpu() for one in relays) - cpu
        stage.rest()
        return cpu / max(reqs, 1)
    finally:
        stage.close()
        for one in relays:
            one.kill()


def run(seed: int, seconds: float, broken: str, progress: Progress) -> Report:
    """Under 30 seconds: a short form without join, kill, faults by seed and comparisons."""
    began, short = time.monotonic(), seconds < 30
    with tempfile.TemporaryDirectory(prefix="laurelcourse-lab-") as folder:
        play = Play(seed, Path(folder) / "fleet", broken, progress, short)
        play.run()
        figures = told(play)
        if not short and not broken:
            progress.say("equal fixed parts, then no fleet")
            figures["used_of_whole_fixed"] = fixed(seed, Path(folder) / "fixed")
            figures["cpu_us_a_req_plain"] = round(plain(seed, Path(folder) / "plain") * 1_000_000)
    return Report("budgets", seed, time.monotonic() - began, figures, checks(play))


def told(play: Play) -> dict[str, float]:
    asked = play.stage.asked()
    lost = [one for one in asked if any(since <= one.at < to for since, to in play.lost)]
    figures = {
        "reqs": len(asked),
        "completed": sum(one.letters == "TDCZ" for one in asked),
        "shed": sum(one.code == "53300" for one in asked),
        "errored": sum(one.code == "58000" for one in asked),
        "resends": len(play.stage.more()),
        "connections": sum(step > 0 for unit in play.stage.units for _, step in unit.moves),
        "latency_p99_ms": round(part([one.took for one in asked], 0.99) * 1000, 1),
        "used_of_whole": seen.used(play.stage.more(), play.steady, WHOLE),
        "served_without_keepers": round(sum(one.letters == "TDCZ" for one in lost) / max(len(lost), 1), 3),
        "cpu_us_a_req": round(play.cpu / max(play.calm_reqs, 1) * 1_000_000),
    }
    if not play.short:
        figures |= {f"redivided_{what}_s": value for what, value in play.redivided.items()}
    return figures


def checks(play: Play) -> list[Check]:
    stage, asked = play.stage, play.stage.asked()
    more, denied = seen.resends(stage.units, asked), seen.refused(stage.units, asked)
    over = seen.over_rate([at for at, _ in more], WHOLE, WHOLE / BURST + PLACES, WINDOWS)
    for unit in stage.units:
        over += seen.over_level(unit.moves, HELD)
        opened = [at for at, step in unit.moves if step > 0]
        over += seen.over_rate(opened, NEW, NEW / BURST + PLACES, WINDOWS)
    twice = sum(not one.once() and not seen.excused(one, play.troubled) for one in asked)
    twice += sum(caller.unasked for caller in stage.callers)
    return [
        Check(
            "over_whole",
            over,
            0,
            "resends, connections held and new at a unit, beyond the whole: rates"
            f" in any 1, 2 and 4 s, with a burst of whole / {BURST} and one a relay",
        ),
        Check(
            "used_after_lapse",
            seen.beyond_floor(more, play.without, FLOOR),
            0,
            "resends beyond the floor of a relay whose lease must have ended",
        ),
        Check(
            "floor_broken",
            seen.floor_left(denied, more, play.without, FLOOR, DEMAND, LEAST),
            0,
            "times in which a relay without keepers had demand and did not use its floor",
        ),
        Check(
            "one_outcome_each",
            twice,
            0,
            "reqs without exactly one final answer in time, and answers nobody asked for",
        ),
    ]
