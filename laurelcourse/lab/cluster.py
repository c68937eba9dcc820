"""A fleet of relay processes, and the faults that befall them.

Each relay has a folder of its own and reaches the keepers through faulty proxies.
"""

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
from laurelcourse.lab.operator_xml import element, operator_element
from laurelcourse.lab.process import ERROR_CHARACTERS, RelayProcess
from laurelcourse.standins import faulty_proxy
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.faulty_proxy import FaultyProxies, Mode
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config

FLEET_ATTRIBUTES = {"name": "lab", "folder": "books", "lease": "1500ms", "beat": "250ms", "drift": "1000"}
BOUNDS_ATTRIBUTES = {"heartbeat": "50ms", "patience": "250ms"}
UNREACHABLE_ADDRESS = f"{RELAY_HOST}:1"  # of a directory and a deployer: nothing listens there

SERVE_TIMEOUT = 30  # seconds until a relay serves
SECOND_US = 1_000_000

# What a relay's folder may hold beside its data (see `skewed.py`), and copies of its data.
CLOCK_FILE = "clock"
DISK_FULL_FILE = "full"
OLDER_COPY = "older"
NEWEST_COPY = "newest"


class Node(RelayProcess):
    """A relay that can be paused, and whose clock and disk can go wrong if it is `skewed`."""

    def __init__(
        self,
        folder: Path,
        config: dict,
        operator_xml: str,
        data_folder: str,
        removed_guard: str,
        lab: str,
        skewed: bool,
    ) -> None:
        """Writes the settings. `data_folder` is the keeper's, relative to `folder`."""
        folder.mkdir(parents=True)
        operator_path = folder / "operator.xml"
        operator_path.write_text(operator_xml)
        super().__init__(folder, config, operator_path, removed_guard, lab)
        self.skewed = skewed
        self.data_folder = folder / data_folder
        self.paused = False

    def command(self) -> list[str]:
        """Returns the module and its arguments, as Python is to run it."""
        prefix = ["laurelcourse.lab.skewed", str(self.folder)] if self.skewed else []
        return [*prefix, *super().command()]

    def start(self, wait: bool = True) -> None:
        """Starts the relay, as `RelayProcess.start` does."""
        self.paused = False
        super().start(wait)

    def process_state(self) -> str:
        """Returns one letter (Linux, /proc/PID/stat): T is stopped, Z ended."""
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0]

    def pause(self) -> None:
        """Stops the process with SIGSTOP, and waits until it has stopped."""
        if self.alive():
            self.process.send_signal(signal.SIGSTOP)
            # The signal is only on its way when the call returns.
            wait_until(lambda: self.process_state() in "TZ")
            self.paused = True

    def wake(self) -> None:
        """Has a paused process go on."""
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def stop(self) -> int:
        """Stops the relay, as `RelayProcess.stop` does, also if it is paused."""
        self.wake()
        return super().stop()

    def restart(self, wait: bool = False) -> None:
        """Kills the relay and starts it again."""
        self.kill()
        self.start(wait)

    def back_up_data(self, name: str) -> None:
        """Copies the data folder as it is at this moment, as a crash would leave it."""
        running = self.alive() and not self.paused
        if running:
            self.pause()
        self._copy_folder(self.data_folder, self.folder / name)
        if running:
            self.wake()

    def restore_data(self, name: str) -> None:
        """Puts a copy in place of the data folder; without such a copy there is no folder afterwards.

        The process must have ended.
        """
        self._copy_folder(self.folder / name, self.data_folder)

    def truncate_largest_file(self) -> None:
        """Cuts the largest file of the data folder in the middle; the process must have ended."""
        files = sorted((path.stat().st_size, path) for path in self.data_folder.rglob("*") if path.is_file())
        if files:
            size, path = files[-1]
            with path.open("r+b") as file:
                file.truncate(size // 2)

    @staticmethod
    def _copy_folder(source: Path, target: Path) -> None:
        shutil.rmtree(target, ignore_errors=True)
        if source.exists():
            shutil.copytree(source, target)


class Cluster:
    """Relays by name. It is a context manager, so that no process outlives it."""

    def __init__(
        self,
        folder: Path,
        keepers: dict[str, str],
        members: dict[str, str],
        fleet_attributes: dict[str, str] | None = None,
        bounds: dict[str, str] | None = None,
        budgets: tuple[dict[str, str], ...] = (),
        directory: str = UNREACHABLE_ADDRESS,
        deployer: str = UNREACHABLE_ADDRESS,
        known: dict | None = None,
        platform_settings: dict | None = None,
        removed_guard: str = "",
        lab: str = "",
        skewed: bool = False,
        find_leader: Callable[[], str] = str,
        fronts_xml: str = "",
        workflows_xml: str = "",
        transfers_xml: str | Callable[["Cluster", str], str] = "",
    ) -> None:
        """Writes the settings of all relays.

        `keepers` and `members` give each relay's site; `known` is the list of units as last held.
        `fleet_attributes` and `bounds` change attributes of the operator's settings, `budgets` has those of
        its budgets. With `workflows_xml`, relays hear clients of workflows at `workflow_ports`.
        `transfers_xml` may depend on the relay. `find_leader` names the leading keeper, or nobody by ''.
        """
        self.sites = keepers | members
        self.keepers = keepers
        self.find_leader = find_leader
        self.skewed = skewed
        self.ports = {name: reserve_port() for name in self.sites}
        self.keeper_addresses = {name: (RELAY_HOST, reserve_port()) for name in keepers}
        self.workflow_ports = {name: reserve_port() for name in self.sites if workflows_xml}
        self.proxies = FaultyProxies()
        self.nodes: dict[str, Node] = {}
        self.killed_leader = ""  # by the last KILL_LEADER
        fleet = FLEET_ATTRIBUTES | (fleet_attributes or {})
        known = known or {"revision": 1, "complete": True, "members": []}
        for number, (name, site) in enumerate(self.sites.items()):
            settings = self._platform_settings(platform_settings or PLATFORM_SETTINGS, number, site)
            content = "".join(
                (
                    *self._keeper_elements(name),
                    element("bounds", BOUNDS_ATTRIBUTES | (bounds or {})),
                    *(element("budget", budget) for budget in budgets),
                    workflows_xml,
                    transfers_xml(self, name) if callable(transfers_xml) else transfers_xml,
                )
            )
            operator_xml = operator_element(
                element("fleet", fleet | self._port_attribute(name), content) + fronts_xml
            )
            self.nodes[name] = Node(
                folder / name,
                relay_config(name, f"{RELAY_HOST}:{self.ports[name]}", directory, deployer, known, settings),
                operator_xml,
                fleet["folder"],
                removed_guard,
                lab,
                skewed,
            )

    def _platform_settings(self, settings: dict, number: int, site: str) -> dict:
        settings = copy.deepcopy(settings)
        settings |= {
            "me": number,
            "balancers": len(self.sites),
            "locality": site,
            "areas": sorted(set(self.sites.values())),
        }
        settings["limits"]["peer_messages"] = False
        return settings

    def _keeper_elements(self, relay: str) -> list[str]:
        return [
            element("keeper", {"name": keeper, "address": self._address(relay, keeper), "site": site})
            for keeper, site in self.keepers.items()
        ]

    def _port_attribute(self, relay: str) -> dict[str, str]:
        return {"flows-port": str(self.workflow_ports[relay])} if self.workflow_ports else {}

    def _address(self, relay: str, keeper: str) -> str:
        host, port = self.keeper_addresses[keeper]
        if relay != keeper:
            host, port = self.proxies.open(relay, keeper, (host, port))
        return f"{host}:{port}"

    def start(self) -> "Cluster":
        """Starts all relays and waits until they serve.

        Raises RuntimeError if one ends at its start, AssertionError if one does not serve in time.
        """
        for node in self.nodes.values():
            node.start(wait=False)
        for node in self.nodes.values():
            wait_until(
                lambda node=node: "msg=serving" in node.log.read_text() or not node.alive(), SERVE_TIMEOUT
            )
            if not node.alive():
                raise RuntimeError(f"a relay ended at its start: {node.log.read_text()[-ERROR_CHARACTERS:]}")
        return self

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kills all relays, and closes the proxies."""
        for node in self.nodes.values():
            with contextlib.suppress(OSError):
                node.kill()
        self.proxies.close()

    def set_link(self, one: str, other: str, mode: Mode, back: Mode | None = None) -> None:
        """Sets the mode of the proxies from one relay to another and back; only keepers have proxies."""
        for pair, wanted in (((one, other), mode), ((other, one), back or mode)):
            if pair in self.proxies.proxies:
                self.proxies.set(*pair, wanted)

    def set_site_links(self, site: str, mode: Mode) -> None:
        """Sets the mode of all proxies between a site and the others."""
        for one, other in sorted(self.proxies.proxies):
            if (self.sites[one] == site) != (self.sites[other] == site):
                self.proxies.set(one, other, mode)

    def play(
        self,
        script: tuple[Fault, ...],
        over: threading.Event,
        on_fault: Callable[[Fault], object] | None = None,
    ) -> None:
        """Injects the faults of a script at their times from now on, until `over`.

        `on_fault` is called with each fault before it is injected.
        """
        for name in sorted({fault.targets[0] for fault in script if fault.kind == faults.OLD_DISK}):
            self.nodes[name].back_up_data(OLDER_COPY)
        start = time.monotonic()
        for fault in script:
            if over.wait(max(start + fault.at / SECOND_US - time.monotonic(), 0)):
                return
            if on_fault is not None:
                on_fault(fault)
            self.inject(fault)

    def inject(self, fault: Fault) -> None:
        """Injects one fault at once; a relay that is started by it may not serve yet on return."""
        kind = fault.kind
        target, *others = fault.targets
        if kind in faults.LINK_FAULTS:
            self._inject_link_fault(kind, target, others[0], fault)
        elif kind == faults.SITE_CUT:
            self.set_site_links(target[1:], Mode(faulty_proxy.SILENT))
        elif kind == faults.HEAL and others:
            self.set_link(target, others[0], Mode())
        elif kind == faults.HEAL:
            self.set_site_links(target[1:], Mode())
        else:
            for name in self._node_names(kind, target):
                self._inject_node_fault(kind, self.nodes[name], fault)

    def _node_names(self, kind: str, target: str) -> list[str]:
        if target == faults.ALL:
            return list(self.nodes)
        if target != faults.LEADER:
            return [target]
        if kind == faults.KILL_LEADER:
            self.killed_leader = self.find_leader()
        return [self.killed_leader] if self.killed_leader else []

    def _inject_link_fault(self, kind: str, one: str, other: str, fault: Fault) -> None:
        if kind == faults.DEAF:
            self.set_link(
                one,
                other,
                Mode(faulty_proxy.DEAF, direction=faulty_proxy.TO_SERVER),
                Mode(faulty_proxy.DEAF, direction=faulty_proxy.TO_CLIENT),
            )
            return
        modes = {
            faults.CUT: Mode(faulty_proxy.CUT),
            faults.SILENT: Mode(faulty_proxy.SILENT),
            faults.HALF_OPEN: Mode(faulty_proxy.HALF_OPEN),
            faults.SLOW: Mode(faulty_proxy.SLOW, delay=fault.value, rate=fault.rate),
            faults.FLAP: Mode(faulty_proxy.FLAP, period=fault.value),
        }
        self.set_link(one, other, modes[kind])

    def _inject_node_fault(self, kind: str, node: Node, fault: Fault) -> None:
        if not self.skewed and kind in (faults.DISK_FULL, faults.WRONG_CLOCK):
            raise ValueError(f"{kind} needs a cluster with skewed=True")
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
            (node.folder / DISK_FULL_FILE).touch()
        elif kind == faults.DISK_FREE:
            (node.folder / DISK_FULL_FILE).unlink(missing_ok=True)
        elif kind in (faults.WRONG_CLOCK, faults.RIGHT_CLOCK):
            (node.folder / CLOCK_FILE).write_text(f"{fault.value} {fault.rate}")
            node.restart()
        else:
            self._replace_disk(kind, node)

    @staticmethod
    def _replace_disk(kind: str, node: Node) -> None:
        node.kill()
        if kind == faults.DISK_BACK:
            node.restore_data(NEWEST_COPY)
        else:
            node.back_up_data(NEWEST_COPY)
        if kind == faults.OLD_DISK:
            node.restore_data(OLDER_COPY)
        elif kind == faults.DISK_TORN:
            node.truncate_largest_file()
        node.start(wait=False)
