"""Relays with a TUF front among stand-ins, for labs and tests."""

import copy
import http.client
from pathlib import Path

from laurelcourse.lab.operator_xml import element, operator_element
from laurelcourse.lab.process import RelayProcess
from laurelcourse.standins.base import RELAY_HOST
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.mirror import MirrorStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.repository import TufRepository
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config

FRONT = "updates"
REQUEST_TIMEOUT = 30  # seconds
WARM_AFTER_MS = 1000.0
DEFAULT_MEMORY_MB = 192  # of a relay

# Attributes of the front's elements, by element or route.
DEFAULT_ATTRIBUTES = {
    "tuf": {"tries": "4"},
    "metadata": {"latency-objective": "400ms", "timeout": "3s", "earnings": "4"},
    "target": {"latency-objective": "2s", "timeout": "20s", "earnings": "1"},
    "manifest": {"latency-objective": "500ms", "timeout": "2s", "earnings": "2"},
    "freshness": {"ask-again": "500ms", "serve-proven": "1h"},
    "rests": {"behind": "1s", "wrong": "10s", "most": "0.5"},
    "limits": {
        "files": "96",
        "files-per-mirror": "96",
        "files-per-client": "96",
        "bytes": "32MiB",
        "floor": "32KiB/s",
        "floor-over": "800ms",
    },
    "uptane": {},
    "release": {},
    "state": {},
}


class TufRig:
    """Relays with a TUF front, their mirrors, and stand-ins of a directory and a deployer."""

    def __init__(
        self,
        folder: Path,
        repositories: dict[str, TufRepository],
        mirrors: list[MirrorStandIn],
        relays: int = 1,
        overrides: dict[str, dict[str, str]] | None = None,
        removed_guard: str = "",
        deployer: DeployerStandIn | None = None,
        use_directory: bool = True,
        memory_mb: int = DEFAULT_MEMORY_MB,
    ) -> None:
        """Writes the settings of all relays.

        `repositories` are by path prefix; `overrides` change `DEFAULT_ATTRIBUTES`. Mirrors stand in the
        settings and, with `use_directory`, in a directory too. With a `deployer`, there is a release.
        """
        self.folder = folder
        self.memory_mb = memory_mb
        self.mirrors = mirrors
        self.repositories = repositories
        self.directory = DirectoryStandIn()
        self.deployer = deployer or DeployerStandIn()
        self.attributes = {name: dict(values) for name, values in DEFAULT_ATTRIBUTES.items()}
        for name, values in (overrides or {}).items():
            self.attributes[name] |= values
        self.mirror_names = [f"m-{number}" for number in range(len(mirrors))]
        self.use_directory = use_directory
        for name, mirror in zip(self.mirror_names, mirrors, strict=True):
            self.list_mirror(name, mirror)
        self.relay_ports = [reserve_port() for _ in range(relays)]
        self.ports = [reserve_port() for _ in range(relays)]  # of the fronts
        self.relays: list[RelayProcess] = []
        for number in range(relays):
            relay_folder = folder / f"relay-{number}"
            relay_folder.mkdir(parents=True)
            operator_path = relay_folder / "operator.xml"
            operator_path.write_text(
                self._operator_xml(relay_folder, self.ports[number], deployer is not None)
            )
            config = self._config(number, relays)
            self.relays.append(RelayProcess(relay_folder, config, operator_path, removed_guard, "tuf"))

    def _config(self, number: int, relays: int) -> dict:
        settings = copy.deepcopy(PLATFORM_SETTINGS)
        settings["me"] = number
        settings["balancers"] = relays
        settings["limits"]["peer_messages"] = False
        settings["obligations"] |= {"warm_after": WARM_AFTER_MS}
        return relay_config(
            f"n{number}",
            f"{RELAY_HOST}:{self.relay_ports[number]}",
            DirectoryStandIn().address,
            DeployerStandIn().address,
            {"revision": 1, "complete": True, "members": []},
            settings,
            memory_mb=self.memory_mb,
        )

    def list_mirror(self, name: str, mirror: MirrorStandIn, phase: str = "active", build: int = 1) -> None:
        """Puts a mirror on the directory's list, or changes its entry."""
        self.directory.put(name, mirror.address, phase, build)

    def _operator_xml(self, folder: Path, port: int, with_release: bool) -> str:
        attributes = self.attributes
        parts = [self._mirrors_element()]
        if with_release:
            parts.append(element("release", {"deployer": self.deployer.address} | attributes["release"]))
        parts += [
            self._repository_element(folder, prefix, repository)
            for prefix, repository in self.repositories.items()
        ]
        if attributes["uptane"]:
            parts.append(element("uptane", attributes["uptane"]))
        routes = ("metadata", "target", *(["manifest"] if attributes["uptane"] else []))
        parts += [element("route", {"name": name} | attributes[name]) for name in routes]
        parts += [element(name, attributes[name]) for name in ("freshness", "rests", "limits")]
        if attributes["state"]:
            parts.append(element("state", {"folder": str(folder / attributes["state"]["folder"])}))
        front = {"name": FRONT, "listen": f"{RELAY_HOST}:{port}"} | attributes["tuf"]
        return operator_element(element("tuf", front, "".join(parts)))

    def _mirrors_element(self) -> str:
        mirrors = "".join(
            element("mirror", {"name": name, "address": mirror.address, "zone": "a", "build": "1"})
            for name, mirror in zip(self.mirror_names, self.mirrors, strict=True)
        )
        return element(
            "mirrors", {"directory": self.directory.address} if self.use_directory else {}, mirrors
        )

    @staticmethod
    def _repository_element(folder: Path, prefix: str, repository: TufRepository) -> str:
        """Returns a repository's element, and writes its pinned root."""
        name = prefix.strip("/")
        (folder / f"{name}.json").write_bytes(repository.pinned)
        return element(
            "repository",
            {
                "name": name,
                "metadata": f"{prefix}metadata/",
                "targets": f"{prefix}targets/",
                "root": f"{name}.json",
            },
        )

    def start(self) -> "TufRig":
        """Starts all relays. Raises RuntimeError if one ends before it serves."""
        for relay in self.relays:
            relay.start()
        return self

    def url(self, prefix: str, relay: int = 0) -> str:
        """Returns the URL of a path prefix at a relay's front."""
        return f"http://{RELAY_HOST}:{self.ports[relay]}{prefix}"

    def request(
        self, path: str, method: str = "GET", body: bytes | None = None, relay: int = 0, **fields: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a connection of its own, and returns status, fields and body.

        In names of `fields`, an underscore stands for a hyphen. Raises what http.client raises on an answer
        that is cut.
        """
        conn = http.client.HTTPConnection(RELAY_HOST, self.ports[relay], timeout=REQUEST_TIMEOUT)
        try:
            headers = {name.replace("_", "-"): value for name, value in fields.items()}
            conn.request(method, path, body, headers)
            response = conn.getresponse()
            response_fields = {name.lower(): value for name, value in response.getheaders()}
            return response.status, response_fields, response.read()
        finally:
            conn.close()

    def counter(self, name: str, relay: int = 0) -> int:
        """Returns one of the front's counters."""
        return self.relays[relay].counters().get(f"{FRONT}.{name}", 0)

    def count_mirror_requests(self, path_part: str) -> int:
        """Returns how many requests with this in their path the mirrors have seen."""
        return sum(path_part in request.path for mirror in self.mirrors for request in mirror.requests)

    def close(self) -> None:
        """Kills the relays, and closes the stand-ins."""
        for relay in self.relays:
            relay.kill()
        for stand_in in (*self.mirrors, self.directory, self.deployer):
            stand_in.close()
