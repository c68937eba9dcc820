"""A TUF repository that publishes revisions, signed by python-tuf, each kept for mirrors that lag."""

import copy
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from securesystemslib.signer import CryptoSigner
from tuf.api.metadata import (
    DelegatedRole,
    Delegations,
    Metadata,
    MetaFile,
    Root,
    Snapshot,
    TargetFile,
    Targets,
    Timestamp,
)

TOP = ("root", "timestamp", "snapshot", "targets")


def wall_clock() -> datetime:
    return datetime.now(UTC)


class Published:
    """All files of one revision by their names, metadata and targets apart."""

    def __init__(self, metadata: dict[str, bytes], targets: dict[str, bytes], version: int) -> None:
        self.metadata, self.targets, self.version = metadata, targets, version


class TufRepository:
    def __init__(
        self,
        consistent: bool = True,
        lasts: float = 3600.0,
        threshold: int = 1,
        clock: Callable[[], datetime] = wall_clock,
    ) -> None:
        """`lasts`: seconds by `clock` until what is published expires."""
        self.consistent, self.lasts, self.clock = consistent, lasts, clock
        self.signers = {role: [CryptoSigner.generate_ed25519() for _ in range(threshold)] for role in TOP}
        self.root = Metadata(Root(expires=self._later(86400 * 365), consistent_snapshot=consistent))
        self.targets = Metadata(Targets(expires=self._later(lasts)))
        self.delegated: dict[str, Metadata] = {}
        self.data: dict[str, bytes] = {}
        self.snapshot = Metadata(Snapshot(expires=self._later(lasts)))
        self.timestamp = Metadata(Timestamp(expires=self._later(lasts)))
        for role in TOP:
            for signer in self.signers[role]:
                self.root.signed.add_key(signer.public_key, role)
            self.root.signed.roles[role].threshold = threshold
        self.roots: list[bytes] = []
        self.revisions: list[Published] = []
        self._sign_root(())

    def _later(self, seconds: float) -> datetime:
        return (self.clock() + timedelta(seconds=seconds)).replace(microsecond=0)

    @property
    def pinned(self) -> bytes:
        return self.roots[0]

    @property
    def newest(self) -> Published:
        return self.revisions[-1]

    def _sign(self, metadata: Metadata, signers: list) -> None:
        metadata.signatures.clear()
        for signer in signers:
            metadata.sign(signer, append=True)

    def _sign_root(self, former: tuple) -> None:
        self._sign(self.root, [*self.signers["root"], *former])
        self.roots.append(self.root.to_bytes())

    def rotate(self, role: str) -> None:
        """A root that gives the role another key in place of its first; the old one is revoked."""
        old = self.signers[role][0]
        self.signers[role][0] = new = CryptoSigner.generate_ed25519()
        self.root.signed.revoke_key(old.public_key.keyid, role)
        self.root.signed.add_key(new.public_key, role)
        self.root.signed.version += 1
        self._sign_root((old,) if role == "root" else ())

    def add(self, path: str, data: bytes, role: str = "targets", custom: dict | None = None) -> TargetFile:
        target = TargetFile.from_data(path, data, ["sha256"])
        if custom:
            target.unrecognized_fields["custom"] = custom
        self.data[path] = data
        signed = self.targets.signed if role == "targets" else self.delegated[role].signed
        signed.targets[path] = target
        return target

    def delegate(self, parent: str, child: str, paths: list[str], terminating: bool = False) -> None:
        signer = self.signers.setdefault(child, [CryptoSigner.generate_ed25519()])[0]
        signed = (self.targets if parent == "targets" else self.delegated[parent]).signed
        if signed.delegations is None:
            signed.delegations = Delegations(keys={}, roles={})
        signed.delegations.roles[child] = DelegatedRole(child, [], 1, terminating, paths=paths)
        signed.add_key(signer.public_key, child)
        self.delegated.setdefault(child, Metadata(Targets(expires=self._later(self.lasts))))

    def publish(self, ahead: int = 1, expires: float | None = None) -> Published:
        """Signs all anew, versions going up by `ahead`."""
        lasts = self.lasts if expires is None else expires
        files: dict[str, bytes] = {}
        meta: dict[str, MetaFile] = {}
        for role, one in {"targets": self.targets, **self.delegated}.items():
            one.signed.version += ahead if self.revisions else 0
            one.signed.expires = self._later(lasts)
            self._sign(one, self.signers[role])
            raw = one.to_bytes()
            meta[f"{role}.json"] = MetaFile.from_data(one.signed.version, raw, ["sha256"])
            files[self._name(role, one.signed.version)] = raw
        self.snapshot.signed.meta = meta
        for one, role in ((self.snapshot, "snapshot"), (self.timestamp, "timestamp")):
            one.signed.version += ahead if self.revisions else 0
            one.signed.expires = self._later(lasts)
            self._sign(one, self.signers[role])
            raw = one.to_bytes()
            if role == "snapshot":
                self.timestamp.signed.snapshot_meta = MetaFile.from_data(one.signed.version, raw, ["sha256"])
            files[self._name(role, one.signed.version)] = raw
        files |= {f"{place + 1}.root.json": raw for place, raw in enumerate(self.roots)}
        targets = {self._target(path): data for path, data in self.data.items()}
        self.revisions.append(Published(files, targets, self.timestamp.signed.version))
        return self.revisions[-1]

    def _name(self, role: str, version: int) -> str:
        return f"{version}.{role}.json" if self.consistent and role != "timestamp" else f"{role}.json"

    def _target(self, path: str) -> str:
        if not self.consistent:
            return path
        folder, stroke, name = path.rpartition("/")
        found = next(
            one.signed.targets[path]
            for one in (self.targets, *self.delegated.values())
            if path in one.signed.targets
        )
        return f"{folder}{stroke}{found.hashes['sha256']}.{name}"

    def forged(self) -> dict[str, bytes]:
        """The newest revision's timestamp, a version ahead, signed by a key of nobody's."""
        one = copy.deepcopy(self.timestamp)
        one.signed.version += 1
        self._sign(one, [CryptoSigner.generate_ed25519()])
        return {"timestamp.json": one.to_bytes()}
