"""What is proven of one repository, and what a mirror's bytes are worth against it. Pure: time is passed in.

Signatures, thresholds, roles, delegations and canonical forms are python-tuf's; here stand the decisions of
the client workflow (TUF specification 1.0.33, section 5) as a relay needs them: one proven view at a time,
taken on whole; a mirror that is merely behind told from one that lies.
"""

import re
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, NamedTuple
from urllib.parse import quote, unquote

from tuf.api.exceptions import LengthOrHashMismatchError, RepositoryError
from tuf.api.metadata import Metadata, Root, Snapshot, TargetFile, Targets, Timestamp
from tuf.api.serialization import DeserializationError

# What bytes are worth. BEHIND: rightly signed, or not there, but older, expired, or of another snapshot;
# STRANGE: signed by keys that no proven root knows, as a mirror ahead of a rotation has them, and a liar.
PROVEN, SAME, BEHIND, STRANGE, WRONG = "proven", "same", "behind", "strange", "wrong"
ROOT, TIMESTAMP, SNAPSHOT, TARGETS = "root", "timestamp", "snapshot", "targets"
MOST_ROOTS = 256  # rotations in one refresh, as python-tuf's client allows
MOST_ROLES = 32  # delegated roles looked through for one target, likewise
MOST_REACHED = 64  # and on the way to a role that is asked for by its name
NAMED = re.compile(r"(?:([1-9][0-9]{0,8})\.)?([^/]{1,512})\.json")
PREFIXED = re.compile(r"((?:[^/]+/)*)([0-9a-f]{32,128})\.([^/]+)")


class Offer(NamedTuple):
    """What a mirror's bytes are worth, and why; `among`: all mirrors that had a part in them."""

    verdict: str
    why: str = ""
    among: frozenset[int] = frozenset()


class Want(NamedTuple):
    """A file to ask a mirror for: its role, its name under the repository's prefix, its longest length."""

    role: str
    name: str
    most: int


class Proven(NamedTuple):
    role: str
    raw: bytes
    signed: Any
    payload: bytes  # what was signed, in canonical form
    signatures: Any

    @property
    def version(self) -> int:
        return self.signed.version

    def expired(self, now: int) -> bool:
        return self.signed.is_expired(moment(now))


class View(NamedTuple):
    """One consistent state of a repository. Delegated roles are added as they are proven."""

    timestamp: Proven
    snapshot: Proven
    roles: dict[str, Proven]

    def expired(self, now: int) -> bool:
        return any(one.expired(now) for one in (self.timestamp, self.snapshot, self.roles[TARGETS]))

    def of(self, role: str) -> Proven | None:
        return {TIMESTAMP: self.timestamp, SNAPSHOT: self.snapshot}.get(role) or self.roles.get(role)


class Sought(NamedTuple):
    """Where a search for a target stands: the file, or the role to prove first, or neither."""

    target: TargetFile | None = None
    need: str = ""


class TrustError(Exception):
    """The pinned root can't be used."""


def moment(now: int) -> datetime:
    return datetime.fromtimestamp(now / 1_000_000, UTC)


def parsed(role: str, kind: type, raw: bytes) -> Proven | None:
    """The metadata, unproven; None if the bytes are no metadata of this kind."""
    try:
        found = Metadata.from_bytes(raw)
        return (
            Proven(role, raw, found.signed, found.signed_bytes, found.signatures)
            if isinstance(found.signed, kind)
            else None
        )
    except (DeserializationError, RecursionError, ValueError):
        return None


def signed_by(delegator: Any, role: str, found: Proven) -> bool:  # noqa: ANN401
    """Whether the delegator's keys for the role signed it, as many as its threshold asks for."""
    try:
        delegator.verify_delegate(role, found.payload, found.signatures)
    except (RepositoryError, ValueError):
        return False
    return True


def fits(meta: Any, raw: bytes) -> bool:  # noqa: ANN401
    try:
        meta.verify_length_and_hashes(raw)
    except LengthOrHashMismatchError:
        return False
    return True


def delegates(parent: Proven, role: str) -> bool:
    given = parent.signed.delegations
    if given is None:
        return False
    return role in (given.roles or ()) or (
        given.succinct_roles is not None and given.succinct_roles.is_delegated_role(role)
    )


def renewed(old: Root, new: Root) -> bool:
    """Whether timestamp's or snapshot's keys changed."""
    return any(
        (set(old.roles[role].keyids), old.roles[role].threshold)
        != (set(new.roles[role].keyids), new.roles[role].threshold)
        for role in (TIMESTAMP, SNAPSHOT)
    )


class Trust:
    """The trusted set of one repository, from its pinned root on."""

    def __init__(self, pinned: bytes, most: int) -> None:
        """`most`: the longest metadata file, in bytes, where no proven file says how long."""
        root = parsed(ROOT, Root, pinned)
        if root is None or not signed_by(root.signed, ROOT, root):
            raise TrustError("the pinned root is no root that signs itself")
        self.most = most
        self.roots: dict[int, Proven] = {root.version: root}
        # Later roots, proven, that count once a view is proven under them, or after a told time: what was
        # proven before they came is given until then, as if they had come a moment later.
        self.ahead: dict[int, Proven] = {}
        self.view: View | None = None
        # What no later timestamp and snapshot may go behind, also while no view is held.
        self.floor: tuple[Proven, Proven] | None = None
        self.before: View | None = None  # the view until lately, for clients that are half-way

    @property
    def root(self) -> Proven:
        return self.roots[max(self.roots)]

    @property
    def latest(self) -> Proven:
        """The root that a newer view is proven by."""
        return self.ahead[max(self.ahead)] if self.ahead else self.root

    @property
    def consistent(self) -> bool:
        return bool(self.latest.signed.consistent_snapshot)

    def usable(self, now: int) -> bool:
        return self.view is not None and not self.view.expired(now) and not self.root.expired(now)

    # -- roots: one version at a time, each signed by the one before and by itself (5.3)

    def want_root(self) -> Want:
        return Want(ROOT, f"{self.latest.version + 1}.root.json", self.most)

    def offer_root(self, raw: bytes) -> Offer:
        found = parsed(ROOT, Root, raw)
        if found is None:
            return Offer(WRONG, "no root metadata")
        if not signed_by(found.signed, ROOT, found):
            return Offer(WRONG, "a root that its own keys did not sign")
        have = self.roots.get(found.version) or self.ahead.get(found.version)
        if have is not None and found.payload == have.payload:
            return Offer(BEHIND, f"root {found.version} under the name of a later one")
        if not signed_by(self.latest.signed, ROOT, found):
            return Offer(WRONG, "a root that the root before it did not sign")
        if found.version != self.latest.version + 1:
            return Offer(WRONG, f"root {found.version} where {self.latest.version + 1} was due")
        self.ahead[found.version] = found
        return Offer(PROVEN)

    def settle(self) -> None:
        """Later roots count from now on, and what their keys did not sign counts no more."""
        for version in sorted(self.ahead):
            old = self.root
            self.roots[version] = self.ahead.pop(version)
            self._rotate(old.signed, self.root.signed)

    def outlives(self) -> bool:
        """Whether all of the view is signed by the latest root's keys."""
        view = self.view
        return view is not None and all(
            signed_by(self.latest.signed, one.role, one)
            for one in (view.timestamp, view.snapshot, view.roles[TARGETS])
        )

    def floor_now(self) -> tuple[Proven, Proven] | None:
        """What a newer view must not go behind, by the latest root."""
        return None if renewed(self.root.signed, self.latest.signed) else self.floor

    def _rotate(self, old: Root, new: Root) -> None:
        """What the new root's keys did not sign is trusted no more; where timestamp's or snapshot's keys
        changed, nor are their versions: who had the old keys may have run them far ahead (5.3.11)."""
        changed = renewed(old, new)
        if changed:
            self.floor = None
        # Clients that are half-way may still ask for what the new keys vouch for, by its version.
        kept = [
            one
            for one in (self.view, self.before)
            if one and signed_by(new, SNAPSHOT, one.snapshot) and signed_by(new, TARGETS, one.roles[TARGETS])
        ]
        if changed or self.view not in kept:
            self.view = None
        self.before = next((one for one in kept if one is not self.view), None)

    def doubt(self, role: str, found: Proven) -> Offer | None:
        """What is wrong with the signatures of a top-level role's file, None if its keys signed it."""
        if signed_by(self.latest.signed, role, found):
            return None
        known = [*self.roots.values(), *self.ahead.values()]
        if any(signed_by(old.signed, role, found) for old in known):
            return Offer(BEHIND, f"{role} signed by keys that were revoked since")
        keys = {key for one in known for key in one.signed.roles[role].keyids}
        if not keys & set(found.signatures):
            return Offer(STRANGE, f"{role} signed by keys that no proven root names")
        return Offer(WRONG, f"{role} with signatures that are no good, or too few")

    # -- a file by its name

    def named(self, name: str) -> tuple[str, int | None]:
        """Role and version that a file's name tells; ("", None) if it can't be metadata's."""
        found = NAMED.fullmatch(name)
        if not found:
            return "", None
        version, role = found.groups()
        if version is not None and role != ROOT and not self.consistent:
            version, role = None, f"{version}.{role}"  # a role whose name begins so
        return unquote(role), int(version) if version else None

    def file_of(self, role: str, version: int) -> str:
        """The name under which mirrors hold a role's file of this version."""
        versioned = self.consistent and role != TIMESTAMP
        return f"{version}.{quote(role, '')}.json" if versioned else f"{quote(role, '')}.json"

    def held(self, role: str, version: int | None, view: View | None) -> Proven | None:
        """A proven file: of this view, or, where its version is named, of the one before."""
        if role == ROOT:
            return self.root if version is None else self.roots.get(version)
        for one in (view, self.before if version is not None else None):
            found = one.of(role) if one else None
            if found and version in (None, found.version):
                return found
        return None

    # -- delegated roles (5.6)

    def want_role(self, view: View, role: str) -> Want | None:
        meta = view.snapshot.signed.meta.get(f"{role}.json")
        if meta is None:
            return None
        return Want(role, self.file_of(role, meta.version), min(meta.length or self.most, self.most))

    def offer_role(self, view: View, role: str, raw: bytes, now: int) -> Offer:
        meta, found = view.snapshot.signed.meta[f"{role}.json"], parsed(role, Targets, raw)
        if found is None:
            return Offer(WRONG, "no targets metadata")
        parents = [one for one in view.roles.values() if delegates(one, role)]
        if not any(signed_by(parent.signed, role, found) for parent in parents):
            return Offer(WRONG, f"{role} that no proven delegation vouches for")
        if found.version != meta.version:
            return Offer(BEHIND, f"{role} {found.version} where the snapshot says {meta.version}")
        if not fits(meta, raw):
            return Offer(WRONG, f"{role} of another length or hash")
        if found.expired(now):
            return Offer(BEHIND, f"{role} has expired")
        view.roles[role] = found
        return Offer(PROVEN)

    def reach(self, view: View, role: str) -> str | None:
        """The role to prove next on the way to this one, itself at the end; None if none leads there."""
        seen, queue = {TARGETS}, [TARGETS]
        unknown: list[str] = []
        for name in queue:
            proven = view.roles[name]
            if delegates(proven, role):
                return role
            given = proven.signed.delegations
            for child in (given.roles or {}) if given else ():
                if child not in seen and len(seen) < MOST_REACHED:
                    seen.add(child)
                    (queue if child in view.roles else unknown).append(child)
        return next((child for child in unknown if f"{child}.json" in view.snapshot.signed.meta), None)

    def seek(self, view: View, path: str) -> Sought:
        """The target of this path, by the order of delegations (5.6.7): each role once, and not endlessly."""
        stack, seen = [TARGETS], set()
        while stack and len(seen) <= MOST_ROLES:
            role = stack.pop()
            if role in seen:
                continue
            proven = view.roles.get(role)
            if proven is None:
                return Sought(need=role)
            seen.add(role)
            if (target := proven.signed.targets.get(path)) is not None:
                return Sought(target=target)
            if proven.signed.delegations is not None:
                children = []
                for child, terminating in proven.signed.delegations.get_roles_for_target(path):
                    children.append(child)
                    if terminating:
                        stack.clear()
                        break
                stack += reversed(children)
        return Sought()

    def paths(self, asked: str) -> Iterator[tuple[str, str]]:
        """What a path under the targets' prefix may mean: the target's path, and the hash that it names."""
        if self.consistent and (found := PREFIXED.fullmatch(asked)):
            yield found[1] + found[3], found[2]
        yield asked, ""

    # -- taking on a view

    def adopt(self, view: View) -> None:
        """Delegated roles that the new snapshot still means and a new delegation vouches for stay proven."""
        old, self.floor = self.view, (view.timestamp, view.snapshot)
        if old is not None and old.timestamp.payload != view.timestamp.payload:
            self.before = old
        queue = [TARGETS]
        for name in queue if old else ():
            given = view.roles[name].signed.delegations
            for child in (given.roles or {}) if given else ():
                kept, meta = old.roles.get(child), view.snapshot.signed.meta.get(f"{child}.json")
                if (
                    kept
                    and meta
                    and child not in view.roles
                    and kept.version == meta.version
                    and fits(meta, kept.raw)
                    and signed_by(view.roles[name].signed, child, kept)
                ):
                    view.roles[child] = kept
                    queue.append(child)
        self.view = view


class Refresh:
    """One walk to a newer view: root, timestamp, snapshot, targets; one file wanted at a time.

    `wants` names it; a mirror's bytes for it go through `offer` until some are PROVEN or SAME, `lacks` says
    that a mirror has no such file. Nothing is taken on before all is proven: nothing mixed is passed on."""

    def __init__(self, trust: Trust) -> None:
        self.trust, self.stage, self.rotations = trust, ROOT, 0
        self.strange = self.looked_again = False
        self.timestamp: Proven | None = None
        self.snapshot: Proven | None = None
        self.done = False

    def wants(self) -> Want | None:
        trust = self.trust
        if self.done:
            return None
        if self.stage == ROOT:
            return trust.want_root()
        if self.stage == TIMESTAMP:
            return Want(TIMESTAMP, "timestamp.json", trust.most)
        meta = self._meta()
        most = min(meta.length or trust.most, trust.most)
        return Want(self.stage, trust.file_of(self.stage, meta.version), most)

    def _meta(self) -> Any:  # noqa: ANN401
        """What the file before says of the one wanted."""
        if self.stage == SNAPSHOT:
            return self.timestamp.signed.snapshot_meta
        return self.snapshot.signed.meta["targets.json"]

    def failed(self) -> bool:
        """No mirror gave what was wanted; whether there is something else to ask for. There may be a later
        root, which the mirror that was asked for one did not have: that is looked for once more."""
        again = self.strange and not self.looked_again and self.stage == TIMESTAMP
        if again:
            self.looked_again, self.stage = True, ROOT
        return again

    def lacks(self) -> Offer:
        """A mirror without the file: of the next root that is usual, and ends the rotations."""
        if self.stage == ROOT:
            self.stage = TIMESTAMP
            return Offer(SAME)
        return Offer(BEHIND, f"lacks {self.stage}")

    def offer(self, raw: bytes, now: int) -> Offer:
        if self.stage == ROOT:
            return self._root(raw)
        judge = {TIMESTAMP: self._timestamp, SNAPSHOT: self._snapshot, TARGETS: self._targets}
        return judge[self.stage](raw, now)

    def _root(self, raw: bytes) -> Offer:
        found = self.trust.offer_root(raw)
        if found.verdict == PROVEN:
            self.rotations += 1
            self.stage = TIMESTAMP if self.rotations >= MOST_ROOTS else ROOT
        return found

    def _timestamp(self, raw: bytes, now: int) -> Offer:
        trust, found = self.trust, parsed(TIMESTAMP, Timestamp, raw)
        if found is None:
            return Offer(WRONG, "no timestamp metadata")
        if doubt := trust.doubt(TIMESTAMP, found):
            self.strange |= doubt.verdict == STRANGE
            return doubt
        floor = trust.floor_now()
        if floor is not None:
            have = floor[0]
            if found.version < have.version:
                return Offer(BEHIND, f"timestamp {found.version} after {have.version}")
            if found.version == have.version and found.payload != have.payload:
                return Offer(BEHIND, f"another timestamp {found.version}")
            if found.signed.snapshot_meta.version < have.signed.snapshot_meta.version:
                return Offer(BEHIND, "a timestamp that goes back to an earlier snapshot")
        if found.expired(now) or trust.latest.expired(now):
            return Offer(BEHIND, "a timestamp or root that has expired")
        if trust.view is not None and found.payload == trust.view.timestamp.payload:
            if trust.view.expired(now):
                return Offer(BEHIND, "a timestamp of files that have expired")
            if trust.outlives():
                trust.settle()
            self.done = True
            return Offer(SAME)
        self.timestamp, self.stage = found, SNAPSHOT
        if trust.view is not None and self._stands(trust.view.snapshot, now):
            self._take_snapshot(trust.view.snapshot, now)
        return Offer(PROVEN)

    def _stands(self, have: Proven, now: int) -> bool:
        """Whether the file that is held is the one that is wanted now."""
        meta = self._meta()
        return (
            have.version == meta.version
            and fits(meta, have.raw)
            and not have.expired(now)
            and signed_by(self.trust.latest.signed, self.stage, have)
        )

    def _snapshot(self, raw: bytes, now: int) -> Offer:
        trust, found = self.trust, parsed(SNAPSHOT, Snapshot, raw)
        if found is None:
            return Offer(WRONG, "no snapshot metadata")
        if doubt := trust.doubt(SNAPSHOT, found):
            return doubt
        meta = self._meta()
        if found.version != meta.version:
            return Offer(BEHIND, f"snapshot {found.version} where the timestamp says {meta.version}")
        if not fits(meta, raw):
            return Offer(WRONG, "a snapshot of another length or hash")
        floor = trust.floor_now()
        for name, old in floor[1].signed.meta.items() if floor else ():
            new = found.signed.meta.get(name)
            if new is None or new.version < old.version:
                return Offer(BEHIND, f"a snapshot that takes {name} back")
        if found.expired(now):
            return Offer(BEHIND, "a snapshot that has expired")
        if "targets.json" not in found.signed.meta:
            return Offer(BEHIND, "a snapshot without targets")
        self._take_snapshot(found, now)
        return Offer(PROVEN)

    def _take_snapshot(self, found: Proven, now: int) -> None:
        self.snapshot, self.stage = found, TARGETS
        view = self.trust.view
        if view is not None and self._stands(view.roles[TARGETS], now):
            self._finish(view.roles[TARGETS])

    def _targets(self, raw: bytes, now: int) -> Offer:
        found, meta = parsed(TARGETS, Targets, raw), self._meta()
        if found is None:
            return Offer(WRONG, "no targets metadata")
        if doubt := self.trust.doubt(TARGETS, found):
            return doubt
        if found.version != meta.version:
            return Offer(BEHIND, f"targets {found.version} where the snapshot says {meta.version}")
        if not fits(meta, raw):
            return Offer(WRONG, "targets of another length or hash")
        if found.expired(now):
            return Offer(BEHIND, "targets that have expired")
        self._finish(found)
        return Offer(PROVEN)

    def _finish(self, targets: Proven) -> None:
        self.trust.settle()
        self.trust.adopt(View(self.timestamp, self.snapshot, {TARGETS: targets}))
        self.done = True
