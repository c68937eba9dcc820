"""Relays with a TUF front among stand-ins, for tests and labs alike."""

import copy
import http.client
from pathlib import Path

from laurelcourse.lab.process import RelayProcess
from laurelcourse.standins.base import RELAY
from laurelcourse.standins.deployer import DeployerStand
from laurelcourse.standins.directory import DirectoryStand
from laurelcourse.standins.mirror import MirrorStand
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.repository import TufRepository
from laurelcourse.standins.settings import OUTSIDE, config

FRONT = "updates"
USUAL = {
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


def element(name: str, attributes: dict[str, str], inside: str = "") -> str:
    told = "".join(f' {key}="{value}"' for key, value in attributes.items())
    return f"<{name}{told}>{inside}</{name}>"


class Rig:
    def __init__(
        self,
        folder: Path,
        repositories: dict[str, TufRepository],
        mirrors: list[MirrorStand],
        relays: int = 1,
        changed: dict[str, dict[str, str]] | None = None,
        broken: str = "",
        deployer: DeployerStand | None = None,
        listed: bool = True,
    ) -> None:
        """Repositories by prefix; mirrors are told in the settings and, if `listed`, by a directory too. A
        release's settings are given if its deployer is."""
        self.folder, self.mirrors, self.repositories = folder, mirrors, repositories
        self.directory, self.deployer = DirectoryStand(), deployer or DeployerStand()
        self.settings = {name: dict(values) for name, values in USUAL.items()}
        for name, values in (changed or {}).items():
            self.settings[name] |= values
        self.names = [f"m-{place}" for place in range(len(mirrors))]
        self.listed = listed
        for name, mirror in zip(self.names, mirrors, strict=True):
            self.list(name, mirror)
        self.plain = [reserve_port() for _ in range(relays)]
        self.ports = [reserve_port() for _ in range(relays)]
        self.relays = []
        for me in range(relays):
            here = folder / f"relay-{me}"
            here.mkdir(parents=True)
            (here / "operator.xml").write_text(self._xml(here, self.ports[me], deployer is not None))
            outside = copy.deepcopy(OUTSIDE)
            outside["me"], outside["balancers"] = me, relays
            outside["limits"]["peer_messages"] = False
            outside["obligations"] |= {"warm_after": 1000.0}
            told = config(
                f"n{me}",
                f"{RELAY}:{self.plain[me]}",
                DirectoryStand().at,
                DeployerStand().at,
                {"revision": 1, "complete": True, "members": []},
                outside,
            )
            self.relays.append(RelayProcess(here, told, here / "operator.xml", broken, "tuf"))

    def list(self, name: str, mirror: MirrorStand, phase: str = "active", build: int = 1) -> None:
        self.directory.put(name, mirror.at, phase, build)

    def _xml(self, here: Path, port: int, released: bool) -> str:
        told = self.settings
        mirrors = "".join(
            element("mirror", {"name": name, "address": one.at, "zone": "a", "build": "1"})
            for name, one in zip(self.names, self.mirrors, strict=True)
        )
        parts = [element("mirrors", {"directory": self.directory.at} if self.listed else {}, mirrors)]
        if released:
            parts.append(element("release", {"deployer": self.deployer.at} | told["release"]))
        for prefix, repository in self.repositories.items():
            name = prefix.strip("/")
            (here / f"{name}.json").write_bytes(repository.pinned)
            parts.append(
                element(
                    "repository",
                    {
                        "name": name,
                        "metadata": f"{prefix}metadata/",
                        "targets": f"{prefix}targets/",
                        "root": f"{name}.json",
                    },
                )
            )
        if told["uptane"]:
            parts.append(element("uptane", told["uptane"]))
        routes = ("metadata", "target", *(["manifest"] if told["uptane"] else []))
        parts += [element("route", {"name": name} | told[name]) for name in routes]
        parts += [element(name, told[name]) for name in ("freshness", "rests", "limits")]
        if told["state"]:
            parts.append(element("state", {"folder": str(here / told["state"]["folder"])}))
        front = {"name": FRONT, "listen": f"{RELAY}:{port}"} | told["tuf"]
        inside = element("tuf", front, "".join(parts))
        return element("operator", {"xmlns": "urn:laurelcourse:operator:1"}, inside)

    def start(self) -> "Rig":
        for one in self.relays:
            one.start()
        return self

    def url(self, prefix: str, relay: int = 0) -> str:
        return f"http://{RELAY}:{self.ports[relay]}{prefix}"

    def ask(
        self, path: str, method: str = "GET", body: bytes | None = None, relay: int = 0, **fields: str
    ) -> tuple[int, dict[str, str], bytes]:
        """One request on a connection of its own: status, fields, body. Raises what http.client raises on an
        answer that is cut."""
        conn = http.client.HTTPConnection(RELAY, self.ports[relay], timeout=30)
        try:
            named = {name.replace("_", "-"): value for name, value in fields.items()}
            conn.request(method, path, body, named)
            found = conn.getresponse()
            return found.status, {name.lower(): value for name, value in found.getheaders()}, found.read()
        finally:
            conn.close()

    def count(self, name: str, relay: int = 0) -> int:
        return self.relays[relay].counters().get(f"{FRONT}.{name}", 0)

    def asked(self, words: str) -> int:
        """How many requests with this in their path the mirrors saw."""
        return sum(words in one.path for mirror in self.mirrors for one in mirror.seen)

    def close(self) -> None:
        for one in self.relays:
            one.kill()
        for stand in (*self.mirrors, self.directory, self.deployer):
            stand.close()
