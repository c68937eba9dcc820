"""The verified metadata of one repository, and the assessment of a mirror's bytes. Pure: time is passed in.

Signatures, thresholds, roles, delegations and canonical forms are python-tuf's. Here is the client workflow
(TUF specification 1.0.33, section 5) as a relay needs it: one verified view at a time, adopted as a whole; a
mirror that is merely outdated is distinguished from one that gives invalid data.
"""

import re
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, NamedTuple
from urllib.parse import quote, unquote

from tuf.api.exceptions import LengthOrHashMismatchError, RepositoryError
from tuf.api.metadata import Metadata, Root, Snapshot, TargetFile, Targets, Timestamp
from tuf.api.serialization import DeserializationError

# Verdicts on a mirror's bytes.
VERIFIED = "proven"
UNCHANGED = "same"
OUTDATED = "behind"  # properly signed, or missing, but older, expired, or of another snapshot
UNVERIFIABLE = "strange"  # by keys that no verified root has: of a mirror ahead of a rotation, or invalid
INVALID = "wrong"

ROOT = "root"
TIMESTAMP = "timestamp"
SNAPSHOT = "snapshot"
TARGETS = "targets"

# As in python-tuf's client.
MAX_ROTATIONS = 256  # in one refresh
MAX_ROLES = 32  # delegated roles searched for one target

MAX_ROLES_REACHED = 64  # on the way to a role asked for by name

FILE_NAME = re.compile(r"(?:([1-9][0-9]{0,8})\.)?([^/]{1,512})\.json")
HASH_PREFIXED_PATH = re.compile(r"((?:[^/]+/)*)([0-9a-f]{32,128})\.([^/]+)")
SECOND_US = 1_000_000


class Assessment(NamedTuple):
    """What a mirror's bytes are, and why; `among`: all mirrors that contributed to them."""

    verdict: str
    why: str = ""
    among: frozenset[int] = frozenset()


class WantedFile(NamedTuple):
    """A file to ask a mirror for."""

    role: str
    name: str  # under the repository's prefix
    max_bytes: int


class VerifiedFile(NamedTuple):
    """A metadata file. `parse` returns one that is not verified yet."""

    role: str
    raw: bytes
    signed: Any
    payload: bytes  # what was signed, in canonical form
    signatures: Any

    @property
    def version(self) -> int:
        """The version."""
        return self.signed.version

    def is_expired(self, now: int) -> bool:
        """Returns whether the file is expired."""
        return self.signed.is_expired(_to_datetime(now))


class View(NamedTuple):
    """One consistent state of a repository. Delegated roles are added once they are verified."""

    timestamp: VerifiedFile
    snapshot: VerifiedFile
    roles: dict[str, VerifiedFile]

    def is_expired(self, now: int) -> bool:
        """Returns whether any top-level file is expired."""
        return any(file.is_expired(now) for file in (self.timestamp, self.snapshot, self.roles[TARGETS]))

    def file(self, role: str) -> VerifiedFile | None:
        """Returns a role's file."""
        return {TIMESTAMP: self.timestamp, SNAPSHOT: self.snapshot}.get(role) or self.roles.get(role)


class SearchResult(NamedTuple):
    """The result of a search for a target: the file, or a role to verify first, or neither."""

    target: TargetFile | None = None
    missing_role: str = ""


class TrustError(Exception):
    """The pinned root can't be used."""


def _to_datetime(now: int) -> datetime:
    return datetime.fromtimestamp(now / SECOND_US, UTC)


def parse(role: str, kind: type, raw: bytes) -> VerifiedFile | None:
    """Returns the metadata, not verified; None if the bytes are no metadata of this kind."""
    try:
        metadata = Metadata.from_bytes(raw)
        return (
            VerifiedFile(role, raw, metadata.signed, metadata.signed_bytes, metadata.signatures)
            if isinstance(metadata.signed, kind)
            else None
        )
    except (DeserializationError, RecursionError, ValueError):
        return None


def is_signed_by(delegator: Any, role: str, file: VerifiedFile) -> bool:  # noqa: ANN401
    """Returns whether the delegator's keys for the role signed the file, up to its threshold."""
    try:
        delegator.verify_delegate(role, file.payload, file.signatures)
    except (RepositoryError, ValueError):
        return False
    return True


def _matches_meta(meta: Any, raw: bytes) -> bool:  # noqa: ANN401
    try:
        meta.verify_length_and_hashes(raw)
    except LengthOrHashMismatchError:
        return False
    return True


def _delegates_to(parent: VerifiedFile, role: str) -> bool:
    delegations = parent.signed.delegations
    if delegations is None:
        return False
    return role in (delegations.roles or ()) or (
        delegations.succinct_roles is not None and delegations.succinct_roles.is_delegated_role(role)
    )


def _delegated_roles(parent: VerifiedFile) -> tuple[str, ...]:
    delegations = parent.signed.delegations
    return tuple(delegations.roles or ()) if delegations else ()


def _has_renewed_keys(old: Root, new: Root) -> bool:
    """Returns whether the keys of timestamp or snapshot changed."""
    return any(
        (set(old.roles[role].keyids), old.roles[role].threshold)
        != (set(new.roles[role].keyids), new.roles[role].threshold)
        for role in (TIMESTAMP, SNAPSHOT)
    )


class Trust:
    """The trusted files of one repository, from its pinned root on."""

    def __init__(self, pinned_root: bytes, max_bytes: int) -> None:
        """`max_bytes`: of a metadata file where no verified file tells its length. Raises TrustError."""
        root = parse(ROOT, Root, pinned_root)
        if root is None or not is_signed_by(root.signed, ROOT, root):
            raise TrustError("the pinned root is no root that signs itself")
        self.max_bytes = max_bytes
        self.roots: dict[int, VerifiedFile] = {root.version: root}
        # Later roots, verified, that are adopted once a view is verified under them, or after some time.
        # Until then the former view is served, as if they had come a moment later.
        self.pending_roots: dict[int, VerifiedFile] = {}
        self.view: View | None = None
        # The timestamp and snapshot that later ones may not be older than, also without a view.
        self.rollback_floor: tuple[VerifiedFile, VerifiedFile] | None = None
        self.previous_view: View | None = None  # for clients in the middle of a refresh

    @property
    def root(self) -> VerifiedFile:
        """The root in force."""
        return self.roots[max(self.roots)]

    @property
    def latest_root(self) -> VerifiedFile:
        """The root by which a newer view is verified."""
        return self.pending_roots[max(self.pending_roots)] if self.pending_roots else self.root

    @property
    def uses_consistent_snapshots(self) -> bool:
        """Whether file names contain versions and hashes."""
        return bool(self.latest_root.signed.consistent_snapshot)

    def is_usable(self, now: int) -> bool:
        """Returns whether there is a view, and neither it nor the root is expired."""
        return self.view is not None and not self.view.is_expired(now) and not self.root.is_expired(now)

    # Roots: one version at a time, each signed by the one before and by itself (5.3)

    def next_root(self) -> WantedFile:
        """Returns the next root to ask for."""
        return WantedFile(ROOT, f"{self.latest_root.version + 1}.root.json", self.max_bytes)

    def add_root(self, raw: bytes) -> Assessment:
        """Assesses a root, and adds it to the pending ones if it is verified."""
        root = parse(ROOT, Root, raw)
        if root is None:
            return Assessment(INVALID, "no root metadata")
        if not is_signed_by(root.signed, ROOT, root):
            return Assessment(INVALID, "a root that its own keys did not sign")
        known = self.roots.get(root.version) or self.pending_roots.get(root.version)
        if known is not None and root.payload == known.payload:
            return Assessment(OUTDATED, f"root {root.version} under the name of a later one")
        if not is_signed_by(self.latest_root.signed, ROOT, root):
            return Assessment(INVALID, "a root that the root before it did not sign")
        expected = self.latest_root.version + 1
        if root.version != expected:
            return Assessment(INVALID, f"root {root.version} where {expected} was due")
        self.pending_roots[root.version] = root
        return Assessment(VERIFIED)

    def adopt_pending_roots(self) -> None:
        """Puts the pending roots in force; what their keys did not sign is no longer trusted."""
        for version in sorted(self.pending_roots):
            old = self.root
            self.roots[version] = self.pending_roots.pop(version)
            self._rotate(old.signed, self.root.signed)

    def is_view_signed_by_latest_root(self) -> bool:
        """Returns whether the latest root's keys signed all of the view."""
        view = self.view
        return view is not None and all(
            is_signed_by(self.latest_root.signed, file.role, file)
            for file in (view.timestamp, view.snapshot, view.roles[TARGETS])
        )

    def current_rollback_floor(self) -> tuple[VerifiedFile, VerifiedFile] | None:
        """Returns what a newer view must not be older than, by the latest root."""
        if _has_renewed_keys(self.root.signed, self.latest_root.signed):
            return None
        return self.rollback_floor

    def _rotate(self, old: Root, new: Root) -> None:
        """Drops what the new root's keys did not sign.

        Where the keys of timestamp or snapshot changed, their versions are not trusted either: whoever had
        the old keys may have raised them far ahead (5.3.11).
        """
        has_renewed_keys = _has_renewed_keys(old, new)
        if has_renewed_keys:
            self.rollback_floor = None
        # Clients in the middle of a refresh may still ask for files that the new keys signed, by version.
        kept = [
            view
            for view in (self.view, self.previous_view)
            if view
            and is_signed_by(new, SNAPSHOT, view.snapshot)
            and is_signed_by(new, TARGETS, view.roles[TARGETS])
        ]
        if has_renewed_keys or self.view not in kept:
            self.view = None
        self.previous_view = next((view for view in kept if view is not self.view), None)

    def signature_fault(self, role: str, file: VerifiedFile) -> Assessment | None:
        """Returns what is wrong with the signatures of a top-level role's file; None if nothing is."""
        if is_signed_by(self.latest_root.signed, role, file):
            return None
        known = [*self.roots.values(), *self.pending_roots.values()]
        if any(is_signed_by(root.signed, role, file) for root in known):
            return Assessment(OUTDATED, f"{role} signed by keys that were revoked since")
        known_keys = {key for root in known for key in root.signed.roles[role].keyids}
        if not known_keys & set(file.signatures):
            return Assessment(UNVERIFIABLE, f"{role} signed by keys that no proven root names")
        return Assessment(INVALID, f"{role} with signatures that are no good, or too few")

    # Files by name

    def parse_name(self, name: str) -> tuple[str, int | None]:
        """Returns role and version of a file's name; ("", None) if it can't be metadata's."""
        match = FILE_NAME.fullmatch(name)
        if not match:
            return "", None
        version, role = match.groups()
        if version is not None and role != ROOT and not self.uses_consistent_snapshots:
            version, role = None, f"{version}.{role}"  # a role whose name begins with a number
        return unquote(role), int(version) if version else None

    def file_name(self, role: str, version: int) -> str:
        """Returns the name under which mirrors have a role's file of this version."""
        is_versioned = self.uses_consistent_snapshots and role != TIMESTAMP
        return f"{version}.{quote(role, '')}.json" if is_versioned else f"{quote(role, '')}.json"

    def find_file(self, role: str, version: int | None, view: View | None) -> VerifiedFile | None:
        """Returns a verified file of this view or, if its version is given, of the previous one."""
        if role == ROOT:
            return self.root if version is None else self.roots.get(version)
        for candidate in (view, self.previous_view if version is not None else None):
            file = candidate.file(role) if candidate else None
            if file and version in (None, file.version):
                return file
        return None

    # Delegated roles (5.6)

    def wanted_role_file(self, view: View, role: str) -> WantedFile | None:
        """Returns a role's file to ask for; None if the snapshot does not list it."""
        meta = view.snapshot.signed.meta.get(f"{role}.json")
        if meta is None:
            return None
        max_bytes = min(meta.length or self.max_bytes, self.max_bytes)
        return WantedFile(role, self.file_name(role, meta.version), max_bytes)

    def add_role(self, view: View, role: str, raw: bytes, now: int) -> Assessment:
        """Assesses a delegated role's file, and adds it to the view if it is verified."""
        meta, file = view.snapshot.signed.meta[f"{role}.json"], parse(role, Targets, raw)
        if file is None:
            return Assessment(INVALID, "no targets metadata")
        parents = [parent for parent in view.roles.values() if _delegates_to(parent, role)]
        if not any(is_signed_by(parent.signed, role, file) for parent in parents):
            return Assessment(INVALID, f"{role} that no proven delegation vouches for")
        if file.version != meta.version:
            return Assessment(OUTDATED, f"{role} {file.version} where the snapshot says {meta.version}")
        if not _matches_meta(meta, raw):
            return Assessment(INVALID, f"{role} of another length or hash")
        if file.is_expired(now):
            return Assessment(OUTDATED, f"{role} has expired")
        view.roles[role] = file
        return Assessment(VERIFIED)

    def next_role_towards(self, view: View, role: str) -> str | None:
        """Returns the role to verify next on the way to this one, at last itself; None if there is no way."""
        seen, queue = {TARGETS}, [TARGETS]
        unknown: list[str] = []
        for name in queue:
            file = view.roles[name]
            if _delegates_to(file, role):
                return role
            for child in _delegated_roles(file):
                if child not in seen and len(seen) < MAX_ROLES_REACHED:
                    seen.add(child)
                    (queue if child in view.roles else unknown).append(child)
        return next((child for child in unknown if f"{child}.json" in view.snapshot.signed.meta), None)

    def find_target(self, view: View, path: str) -> SearchResult:
        """Searches a target in the order of delegations (5.6.7): each role once, up to a bound."""
        stack, seen = [TARGETS], set()
        while stack and len(seen) <= MAX_ROLES:
            role = stack.pop()
            if role in seen:
                continue
            file = view.roles.get(role)
            if file is None:
                return SearchResult(missing_role=role)
            seen.add(role)
            if (target := file.signed.targets.get(path)) is not None:
                return SearchResult(target=target)
            if file.signed.delegations is not None:
                children = []
                for child, is_terminating in file.signed.delegations.get_roles_for_target(path):
                    children.append(child)
                    if is_terminating:
                        stack.clear()
                        break
                stack += reversed(children)
        return SearchResult()

    def possible_targets(self, path: str) -> Iterator[tuple[str, str]]:
        """Yields what a path under the targets' prefix may mean: a target's path, and the hash in it."""
        if self.uses_consistent_snapshots and (match := HASH_PREFIXED_PATH.fullmatch(path)):
            yield match[1] + match[3], match[2]
        yield path, ""

    # Views

    def adopt(self, view: View) -> None:
        """Adopts a view.

        Delegated roles stay verified if the new snapshot lists the same files, and a new delegation signs
        them.
        """
        old = self.view
        self.rollback_floor = (view.timestamp, view.snapshot)
        if old is not None and old.timestamp.payload != view.timestamp.payload:
            self.previous_view = old
        queue = [TARGETS]
        for name in queue if old else ():
            for child in _delegated_roles(view.roles[name]):
                file, meta = old.roles.get(child), view.snapshot.signed.meta.get(f"{child}.json")
                if (
                    file
                    and meta
                    and child not in view.roles
                    and file.version == meta.version
                    and _matches_meta(meta, file.raw)
                    and is_signed_by(view.roles[name].signed, child, file)
                ):
                    view.roles[child] = file
                    queue.append(child)
        self.view = view


class Refresh:
    """One refresh: root, timestamp, snapshot, targets, one file at a time.

    `next_file` names it; a mirror's bytes are passed to `add` until some are VERIFIED or UNCHANGED, or to
    `add_missing` if a mirror lacks the file. Nothing is adopted until all is verified, so that no mixture is
    ever served.
    """

    def __init__(self, trust: Trust) -> None:
        self.trust = trust
        self.stage = ROOT
        self.rotations = 0
        self.met_unknown_keys = False
        self.has_retried_root = False
        self.timestamp: VerifiedFile | None = None
        self.snapshot: VerifiedFile | None = None
        self.done = False

    def next_file(self) -> WantedFile | None:
        """Returns the file to ask for; None once the refresh is done."""
        trust = self.trust
        if self.done:
            return None
        if self.stage == ROOT:
            return trust.next_root()
        if self.stage == TIMESTAMP:
            return WantedFile(TIMESTAMP, "timestamp.json", trust.max_bytes)
        meta = self._meta()
        max_bytes = min(meta.length or trust.max_bytes, trust.max_bytes)
        return WantedFile(self.stage, trust.file_name(self.stage, meta.version), max_bytes)

    def _meta(self) -> Any:  # noqa: ANN401
        """Returns what the file before says of the wanted one."""
        if self.stage == SNAPSHOT:
            return self.timestamp.signed.snapshot_meta
        return self.snapshot.signed.meta["targets.json"]

    def try_again(self) -> bool:
        """No mirror gave the file; returns whether there is another one to ask for.

        There may be a later root that the mirror did not have that was asked: it is asked for once more.
        """
        again = self.met_unknown_keys and not self.has_retried_root and self.stage == TIMESTAMP
        if again:
            self.has_retried_root = True
            self.stage = ROOT
        return again

    def add_missing(self) -> Assessment:
        """Assesses a mirror without the file: without a next root, the rotations end."""
        if self.stage == ROOT:
            self.stage = TIMESTAMP
            return Assessment(UNCHANGED)
        return Assessment(OUTDATED, f"lacks {self.stage}")

    def add(self, raw: bytes, now: int) -> Assessment:
        """Assesses a mirror's bytes for the wanted file."""
        if self.stage == ROOT:
            return self._add_root(raw)
        add = {TIMESTAMP: self._add_timestamp, SNAPSHOT: self._add_snapshot, TARGETS: self._add_targets}
        return add[self.stage](raw, now)

    def _add_root(self, raw: bytes) -> Assessment:
        assessment = self.trust.add_root(raw)
        if assessment.verdict == VERIFIED:
            self.rotations += 1
            self.stage = TIMESTAMP if self.rotations >= MAX_ROTATIONS else ROOT
        return assessment

    def _add_timestamp(self, raw: bytes, now: int) -> Assessment:
        trust, file = self.trust, parse(TIMESTAMP, Timestamp, raw)
        if file is None:
            return Assessment(INVALID, "no timestamp metadata")
        if fault := trust.signature_fault(TIMESTAMP, file):
            self.met_unknown_keys |= fault.verdict == UNVERIFIABLE
            return fault
        if fault := self._timestamp_rollback(file):
            return fault
        if file.is_expired(now) or trust.latest_root.is_expired(now):
            return Assessment(OUTDATED, "a timestamp or root that has expired")
        if trust.view is not None and file.payload == trust.view.timestamp.payload:
            if trust.view.is_expired(now):
                return Assessment(OUTDATED, "a timestamp of files that have expired")
            if trust.is_view_signed_by_latest_root():
                trust.adopt_pending_roots()
            self.done = True
            return Assessment(UNCHANGED)
        self.timestamp = file
        self.stage = SNAPSHOT
        if trust.view is not None and self._is_current(trust.view.snapshot, now):
            self._take_snapshot(trust.view.snapshot, now)
        return Assessment(VERIFIED)

    def _timestamp_rollback(self, file: VerifiedFile) -> Assessment | None:
        floor = self.trust.current_rollback_floor()
        if floor is None:
            return None
        known = floor[0]
        if file.version < known.version:
            return Assessment(OUTDATED, f"timestamp {file.version} after {known.version}")
        if file.version == known.version and file.payload != known.payload:
            return Assessment(OUTDATED, f"another timestamp {file.version}")
        if file.signed.snapshot_meta.version < known.signed.snapshot_meta.version:
            return Assessment(OUTDATED, "a timestamp that goes back to an earlier snapshot")
        return None

    def _is_current(self, file: VerifiedFile, now: int) -> bool:
        """Returns whether a file of the former view is the wanted one."""
        meta = self._meta()
        return (
            file.version == meta.version
            and _matches_meta(meta, file.raw)
            and not file.is_expired(now)
            and is_signed_by(self.trust.latest_root.signed, self.stage, file)
        )

    def _add_snapshot(self, raw: bytes, now: int) -> Assessment:
        trust, file = self.trust, parse(SNAPSHOT, Snapshot, raw)
        if file is None:
            return Assessment(INVALID, "no snapshot metadata")
        if fault := trust.signature_fault(SNAPSHOT, file):
            return fault
        meta = self._meta()
        if file.version != meta.version:
            return Assessment(OUTDATED, f"snapshot {file.version} where the timestamp says {meta.version}")
        if not _matches_meta(meta, raw):
            return Assessment(INVALID, "a snapshot of another length or hash")
        floor = trust.current_rollback_floor()
        for name, old in floor[1].signed.meta.items() if floor else ():
            new = file.signed.meta.get(name)
            if new is None or new.version < old.version:
                return Assessment(OUTDATED, f"a snapshot that takes {name} back")
        if file.is_expired(now):
            return Assessment(OUTDATED, "a snapshot that has expired")
        if "targets.json" not in file.signed.meta:
            return Assessment(OUTDATED, "a snapshot without targets")
        self._take_snapshot(file, now)
        return Assessment(VERIFIED)

    def _take_snapshot(self, file: VerifiedFile, now: int) -> None:
        self.snapshot = file
        self.stage = TARGETS
        view = self.trust.view
        if view is not None and self._is_current(view.roles[TARGETS], now):
            self._finish(view.roles[TARGETS])

    def _add_targets(self, raw: bytes, now: int) -> Assessment:
        file, meta = parse(TARGETS, Targets, raw), self._meta()
        if file is None:
            return Assessment(INVALID, "no targets metadata")
        if fault := self.trust.signature_fault(TARGETS, file):
            return fault
        if file.version != meta.version:
            return Assessment(OUTDATED, f"targets {file.version} where the snapshot says {meta.version}")
        if not _matches_meta(meta, raw):
            return Assessment(INVALID, "targets of another length or hash")
        if file.is_expired(now):
            return Assessment(OUTDATED, "targets that have expired")
        self._finish(file)
        return Assessment(VERIFIED)

    def _finish(self, targets: VerifiedFile) -> None:
        self.trust.adopt_pending_roots()
        self.trust.adopt(View(self.timestamp, self.snapshot, {TARGETS: targets}))
        self.done = True
