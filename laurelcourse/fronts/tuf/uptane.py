"""Uptane's decisions (Standard 2.0.0): repositories held against each other, manifests told apart. Pure."""

import hashlib
import json
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from tuf.api.metadata import TargetFile

# Whether an image may pass: what the director says of it.
AGREED, UNDIRECTED, DISAGREE = "agreed", "undirected", "disagree"
# What to do with a manifest.
SEND, GIVE, WAIT, UNKNOWN = "send", "give", "wait", "unknown"
UNDER_WAY, DONE, LOST = "under way", "done", "lost"


def same(one: TargetFile, other: TargetFile) -> bool:
    """Length and every hash that both name; one such hash at least (5.4.4.2, full verification)."""
    common = one.hashes.keys() & other.hashes.keys()
    return (
        one.length == other.length
        and bool(common)
        and all(one.hashes[name] == other.hashes[name] for name in common)
    )


def hardware(image: TargetFile) -> set[str]:
    """The hardware that an image is said to be for; empty if it does not say."""
    found = image.custom.get("hardwareIds", []) if image.custom else []
    return {one for one in found if isinstance(one, str)} if isinstance(found, list) else set()


def directed_to(target: TargetFile) -> set[str]:
    """The hardware that the director means it for: `ecuIdentifiers`, each with a hardwareId."""
    found = target.custom.get("ecuIdentifiers", {}) if target.custom else {}
    ecus = found.values() if isinstance(found, dict) else ()
    return {
        one["hardwareId"] for one in ecus if isinstance(one, dict) and isinstance(one.get("hardwareId"), str)
    }


def judge(image: TargetFile, directed: Iterable[TargetFile]) -> str:
    """An image against all that directors say under its path: one that agrees is enough, since another
    vehicle's director may mean another version; none that agrees among some is a disagreement."""
    said = False
    for target in directed:
        said = True
        ours, theirs = hardware(image), directed_to(target)
        if same(image, target) and (not ours or not theirs or theirs <= ours):
            return AGREED
    return DISAGREE if said else UNDIRECTED


class ManifestError(Exception):
    """Why a manifest can't be passed up."""


class Manifest(NamedTuple):
    """`key` tells it apart: vehicle and counter, or all its bytes where the director names no counter."""

    key: bytes
    counted: bool


def manifest(body: bytes, counter: str | None) -> Manifest:
    """A vehicle version manifest (5.4.2.1): signed by the primary, whose keys the director alone has; here
    its form counts alone, and what tells it apart."""
    try:
        found = json.loads(body)
    except (ValueError, RecursionError):
        raise ManifestError("not JSON") from None
    signed = found.get("signed") if isinstance(found, dict) else None
    if not isinstance(signed, dict) or not isinstance(found.get("signatures"), list):
        raise ManifestError("neither signed part nor signatures")
    vehicle = signed.get("vin")
    if not isinstance(vehicle, str) or not vehicle:
        raise ManifestError("no vin")
    if counter is None:
        return Manifest(hashlib.blake2b(body, digest_size=16).digest(), False)
    count = signed.get(counter)
    if isinstance(count, bool) or not isinstance(count, int):
        raise ManifestError(f"no whole number in {counter}")
    return Manifest(hashlib.blake2b(f"{vehicle}\0{count}".encode(), digest_size=16).digest(), True)


class Given(NamedTuple):
    """The director's answer, kept to be given again."""

    status: int
    body: bytes


class Entry:
    __slots__ = ("at", "given", "state")

    def __init__(self, at: int) -> None:
        self.state, self.at = UNDER_WAY, at
        self.given: Given | None = None


class Reports:
    """What became of each manifest, for as long as a repeat of it may come: never sent twice by this relay
    while it may have been taken, unless the director drops repeats by their counter."""

    def __init__(self, deduped: bool, memory: int, most: int, longest: int) -> None:
        """`memory` in microseconds; `most` entries; answers up to `longest` bytes are kept."""
        self.deduped, self.memory, self.most, self.longest = deduped, memory, most, longest
        self.entries: OrderedDict[bytes, Entry] = OrderedDict()

    def take(self, now: int, key: bytes) -> tuple[str, Given | None]:
        """A manifest has come: send it, give the answer that it had, or say that it can't be sent now."""
        self._forget(now)
        entry = self.entries.get(key)
        if entry is None:
            if len(self.entries) >= self.most:
                return WAIT, None
            self.entries[key] = Entry(now)
            return SEND, None
        if entry.state == UNDER_WAY:
            return WAIT, None
        if entry.state == DONE and entry.given is not None:
            return GIVE, entry.given
        if entry.state == LOST and self.deduped:
            entry.state, entry.at = UNDER_WAY, now
            return SEND, None
        return UNKNOWN, None

    def ended(self, now: int, key: bytes, state: str, given: Given | None = None) -> None:
        """DONE with its answer; LOST if it may have been taken; an empty state if it never left."""
        if not state:
            self.entries.pop(key, None)
        elif entry := self.entries.get(key):
            entry.state, entry.at = state, now
            entry.given = given if given and len(given.body) <= self.longest else None
            self.entries.move_to_end(key)

    def _forget(self, now: int) -> None:
        """Entries stand in the order of their last change: those that ended go from the front on."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.state == UNDER_WAY or now - entry.at <= self.memory:
                return
            del self.entries[key]
