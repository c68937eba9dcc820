"""Real relays of one fleet, each a process with its own folder, whose keepers they reach over ways; and the
script of faults carried out on them."""

import contextlib
import copy
import shutil
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path

from laurelcourse.lab import faults
from laurelcourse.lab.faults import Fault
from laurelcourse.lab.process import RelayProcess
from laurelcourse.lab.rig import element
from laurelcourse.standins import way
from laurelcourse.standins.base import RELAY, until
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.settings import OUTSIDE, config
from laurelcourse.standins.way import Mode, Ways

FLEET = {"name": "lab", "folder": "books", "lease": "1500ms", "beat": "250ms", "drift": "1000"}
BOUNDS = {"heartbeat": "50ms", "patience": "250ms"}
NOWHERE = f"{RELAY}:1"  # a directory and a deployer that nobody answers for


class Node(RelayProcess):
    """A relay that can be paused, and whose clock and disk can go wrong if it is `skewed`."""

    def __init__(
        self, folder: Path, told: dict, operator: str, books: str, broken: str, lab: str, skewed: bool
    ) -> None:
        folder.mkdir(parents=True)
        (folder / "operator.xml").write_text(operator)
        super().__init__(folder, told, folder / "operator.xml", broken, lab)
        self.skewed, self.books = skewed, folder / books
        self.paused = False

    def words(self) -> list[str]:
        skewed = ["laurelcourse.lab.skewed", str(self.folder)] if self.skewed else []
        return [*skewed, *super().words()]

    def start(self, wait: bool = True) -> None:
        self.paused = False
        super().start(wait)

    def state(self) -> str:
        """One letter (Linux, /proc/PID/stat): T is stopped, Z ended."""
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]

    def pause(self) -> None:
        if self.alive():
            self.process.send_signal(signal.SIGSTOP)
            # The signal is only on its way when the call returns.
            until(lambda: self.state() in "TZ")
            self.paused = True

    def wake(self) -> None:
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def stop(self) -> int:
        self.wake()
        return super().stop()

    def restart(self, wait: bool = False) -> None:
        self.kill()
        self.start(wait)

    def copied(self, name: str) -> None:
        """Keeps the books' folder as it is at this moment, as a crash would leave it, under another name."""
        running = self.alive() and not self.paused
        if running:
            self.pause()
        self._put(self.books, self.folder / name)
        if running:
            self.wake()

    def put_back(self, name: str) -> None:
        """The process must have ended. What was never kept leaves no folder."""
        self._put(self.folder / name, self.books)

    def tear(self) -> None:
        """Cuts the largest of the books' files in the middle; the process must have ended."""
        files = sorted((one.stat().st_size, one) for one in self.books.rglob("*") if one.is_file())
        if files:
            size, path = files[-1]
            with path.open("r+b") as file:
                file.truncate(size // 2)

    @staticmethod
    def _put(from_: Path, to: Path) -> None:
        shutil.rmtree(to, ignore_errors=True)
        if from_.exists():
            shutil.copytree(from_, to)


class Host:
    """`nodes` by name. It is a context manager, so that no process outlives it."""

    def __init__(
        self,
        folder: Path,
        keepers: dict[str, str],
        members: dict[str, str],
        changed: dict[str, str] | None = None,
        bounds: dict[str, str] | None = None,
        budgets: tuple[dict[str, str], ...] = (),
        directory: str = NOWHERE,
        deployer: str = NOWHERE,
        known: dict | None = None,
        outside: dict | None = None,
        broken: str = "",
        lab: str = "",
        skewed: bool = False,
        leader: Callable[[], str] = str,
        behind: str = "",
        flows: str = "",
        moves: str | Callable[["Host", str], str] = "",
    ) -> None:
        """Relays by name with their sites; `changed` and `bounds` are attributes of the fleet's elements,
        `behind` XML of fronts behind it, `moves` of sites and links, `flows` of workflows, whose
        clients relays then hear at the ports `flows`. `leader` names who leads now, or nobody by ''."""
        self.sites, self.keepers, self.leader, self.skewed = keepers | members, keepers, leader, skewed
        self.ports = {name: reserve_port() for name in self.sites}
        self.at = {name: (RELAY, reserve_port()) for name in keepers}  # where keepers listen
        self.flows = {name: reserve_port() for name in self.sites if flows}
        self.ways, self.nodes = Ways(), {}
        self.killed = ""  # whom the last KILL_LEADER met
        fleet, found = FLEET | (changed or {}), known or {"revision": 1, "complete": True, "members": []}
        for me, (name, site) in enumerate(self.sites.items()):
            told = copy.deepcopy(outside or OUTSIDE)
            told |= {
                "me": me,
                "balancers": len(self.sites),
                "locality": site,
                "areas": sorted(set(self.sites.values())),
            }
            told["limits"]["peer_messages"] = False
            listed = [
                element("keeper", {"name": one, "address": self._address(name, one), "site": where})
                for one, where in keepers.items()
            ]
            inside = "".join(
                (
                    *listed,
                    element("bounds", BOUNDS | (bounds or {})),
                    *(element("budget", one) for one in budgets),
                    flows,
                    moves(self, name) if callable(moves) else moves,
                )
            )
            xml = element(
                "operator",
                {"xmlns": "urn:laurelcourse:operator:1"},
                element("fleet", fleet | self._port(name), inside) + behind,
            )
            self.nodes[name] = Node(
                folder / name,
                config(name, f"{RELAY}:{self.ports[name]}", directory, deployer, found, told),
                xml,
                fleet["folder"],
                broken,
                lab,
                skewed,
            )

    def _port(self, relay: str) -> dict[str, str]:
        return {"flows-port": str(self.flows[relay])} if self.flows else {}

    def _address(self, relay: str, keeper: str) -> str:
        host, port = self.at[keeper]
        if relay != keeper:
            host, port = self.ways.open(relay, keeper, (host, port))
        return f"{host}:{port}"

    def start(self) -> "Host":
        for node in self.nodes.values():
            node.start(wait=False)
        for node in self.nodes.values():
            until(lambda node=node: "msg=serving" in node.log.read_text() or not node.alive(), 30)
            if not node.alive():
                raise RuntimeError(f"a relay ended at its start: {node.log.read_text()[-2000:]}")
        return self

    def __enter__(self) -> "Host":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        for node in self.nodes.values():
            with contextlib.suppress(OSError):
                node.kill()
        self.ways.close()

    def between(self, one: str, other: str, mode: Mode, back: Mode | None = None) -> None:
        """The ways from one to the other, and back; there is one only towards a keeper."""
        for pair, wanted in (((one, other), mode), ((other, one), back or mode)):
            if pair in self.ways.ways:
                self.ways.set(*pair, wanted)

    def around(self, site: str, mode: Mode) -> None:
        """All ways between this site and the others."""
        for one, other in sorted(self.ways.ways):
            if (self.sites[one] == site) != (self.sites[other] == site):
                self.ways.set(one, other, mode)

    def play(
        self, script: tuple[Fault, ...], over: threading.Event, tell: Callable[[str], None] = len
    ) -> None:
        """Carries out the script at its times from now on, until `over`; `tell` hears each fault's line."""
        for name in sorted({one.who[0] for one in script if one.kind == faults.OLD_DISK}):
            self.nodes[name].copied("older")
        began = time.monotonic()
        for fault in script:
            if over.wait(max(began + fault.at / 1_000_000 - time.monotonic(), 0)):
                return
            tell(faults.line(fault))
            self.carry(fault)

    def carry(self, fault: Fault) -> None:
        """One fault, at once; whoever is started anew may not serve yet on return."""
        kind, (who, *others) = fault.kind, fault.who
        if kind in faults.LINKS:
            self._link(kind, who, others[0], fault)
        elif kind == faults.SITE_CUT:
            self.around(who[1:], Mode(way.SILENT))
        elif kind == faults.HEAL and others:
            self.between(who, others[0], Mode())
        elif kind == faults.HEAL:
            self.around(who[1:], Mode())
        else:
            for name in self._meant(kind, who):
                self._node(kind, self.nodes[name], fault)

    def _meant(self, kind: str, who: str) -> list[str]:
        if who == faults.ALL:
            return list(self.nodes)
        if who != faults.LEADER:
            return [who]
        if kind == faults.KILL_LEADER:
            self.killed = self.leader()
        return [self.killed] if self.killed else []

    def _link(self, kind: str, one: str, other: str, fault: Fault) -> None:
        if kind == faults.DEAF:
            self.between(one, other, Mode(way.DEAF, lane=way.THERE), Mode(way.DEAF, lane=way.BACK))
            return
        self.between(
            one,
            other,
            {
                faults.CUT: Mode(way.CUT),
                faults.SILENT: Mode(way.SILENT),
                faults.HALF_OPEN: Mode(way.HALF_OPEN),
                faults.SLOW: Mode(way.SLOW, delay=fault.figure, rate=fault.rate),
                faults.FLAP: Mode(way.FLAP, period=fault.figure),
            }[kind],
        )

    def _node(self, kind: str, node: Node, fault: Fault) -> None:
        full, clock = node.folder / "full", node.folder / "clock"
        if not self.skewed and kind in (faults.DISK_FULL, faults.WRONG_CLOCK):
            raise ValueError(f"{kind} wants a host with skewed=True")
        if kind == faults.RESTART:
            if not node.alive():
                node.start(wait=False)
        elif kind in (faults.KILL, faults.KILL_LEADER, faults.KILL_ALL):
            node.kill()
        elif kind == faults.PAUSE:
            node.pause()
        elif kind == faults.WAKE:
            node.wake()
        elif kind == faults.DISK_FULL:
            full.touch()
        elif kind == faults.DISK_FREE:
            full.unlink(missing_ok=True)
        elif kind in (faults.WRONG_CLOCK, faults.RIGHT_CLOCK):
            clock.write_text(f"{fault.figure} {fault.rate}")
            node.restart()
        else:
            node.kill()
            if kind == faults.DISK_BACK:
                node.put_back("newest")
            else:
                node.copied("newest")
            if kind == faults.OLD_DISK:
                node.put_back("older")
            elif kind == faults.DISK_TORN:
                node.tear()
            node.start(wait=False)
