"""A TUF repository that publishes signed revisions and keeps former ones for outdated mirrors."""

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

TOP_LEVEL_ROLES = ("root", "timestamp", "snapshot", "targets")
ROOT_LIFETIME = 86400 * 365  # seconds


def wall_clock() -> datetime:
    """Returns the current time."""
    return datetime.now(UTC)


class Revision:
    """All files of one revision, by name."""

    def __init__(self, metadata: dict[str, bytes], targets: dict[str, bytes], version: int) -> None:
        self.metadata = metadata
        self.targets = targets
        self.version = version  # of its timestamp


class TufRepository:
    """A repository with its keys."""

    def __init__(
        self,
        consistent: bool = True,
        lifetime: float = 3600.0,
        threshold: int = 1,
        clock: Callable[[], datetime] = wall_clock,
    ) -> None:
        """`consistent`: with consistent snapshots; `lifetime`: seconds until a revision expires."""
        self.consistent = consistent
        self.lifetime = lifetime
        self.clock = clock
        self.signers = {
            role: [CryptoSigner.generate_ed25519() for _ in range(threshold)] for role in TOP_LEVEL_ROLES
        }
        self.root = Metadata(Root(expires=self._after(ROOT_LIFETIME), consistent_snapshot=consistent))
        self.targets = Metadata(Targets(expires=self._after(lifetime)))
        self.delegated: dict[str, Metadata] = {}
        self.data: dict[str, bytes] = {}
        self.snapshot = Metadata(Snapshot(expires=self._after(lifetime)))
        self.timestamp = Metadata(Timestamp(expires=self._after(lifetime)))
        for role in TOP_LEVEL_ROLES:
            for signer in self.signers[role]:
                self.root.signed.add_key(signer.public_key, role)
            self.root.signed.roles[role].threshold = threshold
        self.roots: list[bytes] = []
        self.revisions: list[Revision] = []
        self._sign_root(())

    def _after(self, seconds: float) -> datetime:
        return (self.clock() + timedelta(seconds=seconds)).replace(microsecond=0)

    @property
    def pinned(self) -> bytes:
        """The first root."""
        return self.roots[0]

    @property
    def newest(self) -> Revision:
        """The newest revision."""
        return self.revisions[-1]

    def _sign(self, metadata: Metadata, signers: list) -> None:
        metadata.signatures.clear()
        for signer in signers:
            metadata.sign(signer, append=True)

    def _sign_root(self, former: tuple) -> None:
        self._sign(self.root, [*self.signers["root"], *former])
        self.roots.append(self.root.to_bytes())

    def rotate(self, role: str) -> None:
        """Adds a root that replaces a role's first key; the old one is revoked."""
        old = self.signers[role][0]
        self.signers[role][0] = new = CryptoSigner.generate_ed25519()
        self.root.signed.revoke_key(old.public_key.keyid, role)
        self.root.signed.add_key(new.public_key, role)
        self.root.signed.version += 1
        self._sign_root((old,) if role == "root" else ())

    def add(self, path: str, data: bytes, role: str = "targets", custom: dict | None = None) -> TargetFile:
        """Adds or replaces a target, for the next revision."""
        target = TargetFile.from_data(path, data, ["sha256"])
        if custom:
            target.unrecognized_fields["custom"] = custom
        self.data[path] = data
        signed = self.targets.signed if role == "targets" else self.delegated[role].signed
        signed.targets[path] = target
        return target

    def delegate(self, parent: str, child: str, paths: list[str], terminating: bool = False) -> None:
        """Adds a delegation, for the next revision."""
        signer = self.signers.setdefault(child, [CryptoSigner.generate_ed25519()])[0]
        signed = (self.targets if parent == "targets" else self.delegated[parent]).signed
        if signed.delegations is None:
            signed.delegations = Delegations(keys={}, roles={})
        signed.delegations.roles[child] = DelegatedRole(child, [], 1, terminating, paths=paths)
        signed.add_key(signer.public_key, child)
        self.delegated.setdefault(child, Metadata(Targets(expires=self._after(self.lifetime))))

    def publish(self, ahead: int = 1, expires: float | None = None) -> Revision:
        """Signs a new revision; versions increase by `ahead`. `expires`: seconds, if not the lifetime."""
        lifetime = self.lifetime if expires is None else expires
        files: dict[str, bytes] = {}
        meta: dict[str, MetaFile] = {}
        for role, metadata in {"targets": self.targets, **self.delegated}.items():
            raw = self._publish_file(role, metadata, ahead, lifetime)
            meta[f"{role}.json"] = MetaFile.from_data(metadata.signed.version, raw, ["sha256"])
            files[self._file_name(role, metadata.signed.version)] = raw
        self.snapshot.signed.meta = meta
        raw = self._publish_file("snapshot", self.snapshot, ahead, lifetime)
        snapshot_version = self.snapshot.signed.version
        self.timestamp.signed.snapshot_meta = MetaFile.from_data(snapshot_version, raw, ["sha256"])
        files[self._file_name("snapshot", snapshot_version)] = raw
        raw = self._publish_file("timestamp", self.timestamp, ahead, lifetime)
        files[self._file_name("timestamp", self.timestamp.signed.version)] = raw
        files |= {f"{index + 1}.root.json": root for index, root in enumerate(self.roots)}
        targets = {self._target_name(path): data for path, data in self.data.items()}
        self.revisions.append(Revision(files, targets, self.timestamp.signed.version))
        return self.revisions[-1]

    def _publish_file(self, role: str, metadata: Metadata, ahead: int, lifetime: float) -> bytes:
        metadata.signed.version += ahead if self.revisions else 0
        metadata.signed.expires = self._after(lifetime)
        self._sign(metadata, self.signers[role])
        return metadata.to_bytes()

    def _file_name(self, role: str, version: int) -> str:
        return f"{version}.{role}.json" if self.consistent and role != "timestamp" else f"{role}.json"

    def _target_name(self, path: str) -> str:
        if not self.consistent:
            return path
        folder, slash, name = path.rpartition("/")
        target = next(
            metadata.signed.targets[path]
            for metadata in (self.targets, *self.delegated.values())
            if path in metadata.signed.targets
        )
        return f"{folder}{slash}{target.hashes['sha256']}.{name}"

    def forged(self) -> dict[str, bytes]:
        """Returns the newest timestamp, one version ahead, signed by an unknown key."""
        timestamp = copy.deepcopy(self.timestamp)
        timestamp.signed.version += 1
        self._sign(timestamp, [CryptoSigner.generate_ed25519()])
        return {"timestamp.json": timestamp.to_bytes()}
