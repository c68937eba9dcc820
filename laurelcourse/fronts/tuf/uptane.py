"""Uptane (Standard 2.0.0): compares repositories with each other, and tells manifests apart. Pure."""

import hashlib
import json
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from typing import NamedTuple

from tuf.api.metadata import TargetFile

from laurelcourse.net.fair_share import FairShare

# What the director says of an image.
AGREED = "agreed"
UNDIRECTED = "undirected"
DISAGREE = "disagree"

# What to do with a manifest.
SEND = "send"
ANSWER = "give"  # as it was answered before
WAIT = "wait"
UNKNOWN = "unknown"  # it may have been accepted, and is not sent again

# States of a manifest.
IN_FLIGHT = "under way"
DONE = "done"
LOST = "lost"

KEY_BYTES = 16


def same_file(image: TargetFile, other: TargetFile) -> bool:
    """Returns whether length and hashes agree, with at least one hash in common (5.4.4.2)."""
    common = image.hashes.keys() & other.hashes.keys()
    return (
        image.length == other.length
        and bool(common)
        and all(image.hashes[name] == other.hashes[name] for name in common)
    )


def hardware_ids(image: TargetFile) -> set[str]:
    """Returns the hardware that an image is for; empty if it does not say."""
    ids = image.custom.get("hardwareIds", []) if image.custom else []
    return {hardware for hardware in ids if isinstance(hardware, str)} if isinstance(ids, list) else set()


def directed_hardware_ids(target: TargetFile) -> set[str]:
    """Returns the hardware that the director names: `ecuIdentifiers`, each with a hardwareId."""
    identifiers = target.custom.get("ecuIdentifiers", {}) if target.custom else {}
    ecus = identifiers.values() if isinstance(identifiers, dict) else ()
    return {
        ecu["hardwareId"] for ecu in ecus if isinstance(ecu, dict) and isinstance(ecu.get("hardwareId"), str)
    }


def compare_image(image: TargetFile, directed: Iterable[TargetFile]) -> str:
    """Compares an image with all that directors say under its path.

    One that agrees is enough, since another vehicle's director may mean another version; none that agrees
    among some is a disagreement.
    """
    is_directed = False
    for target in directed:
        is_directed = True
        for_hardware, directed_to = hardware_ids(image), directed_hardware_ids(target)
        if same_file(image, target) and (not for_hardware or not directed_to or directed_to <= for_hardware):
            return AGREED
    return DISAGREE if is_directed else UNDIRECTED


class ManifestError(Exception):
    """Why a manifest can't be passed on."""


class Manifest(NamedTuple):
    """What tells a manifest apart: vehicle and counter, or all its bytes without a counter."""

    key: bytes
    counted: bool


def parse_manifest(body: bytes, counter: str | None) -> Manifest:
    """Parses a vehicle version manifest (5.4.2.1). Raises ManifestError.

    It is signed by the primary ECU, whose keys only the director has: only its form is checked here.
    `counter`: the field that counts manifests, if the director names one.
    """
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        raise ManifestError("not JSON") from None
    signed = parsed.get("signed") if isinstance(parsed, dict) else None
    if not isinstance(signed, dict) or not isinstance(parsed.get("signatures"), list):
        raise ManifestError("neither signed part nor signatures")
    vehicle = signed.get("vin")
    if not isinstance(vehicle, str) or not vehicle:
        raise ManifestError("no vin")
    if not _is_unicode(vehicle):
        raise ManifestError("a vin that holds half a character")
    if counter is None:
        return Manifest(_key(body), False)
    count = signed.get(counter)
    if isinstance(count, bool) or not isinstance(count, int):
        raise ManifestError(f"no whole number in {counter}")
    return Manifest(_key(f"{vehicle}\0{count}".encode()), True)


def _is_unicode(text: str) -> bool:
    """Returns whether a text can be written: JSON may name half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _key(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()


class DirectorAnswer(NamedTuple):
    """The director's answer, kept for repetitions of the manifest."""

    status: int
    body: bytes


class ManifestEntry:
    """What is known of one manifest."""

    __slots__ = ("answer", "changed_at", "client", "state")

    def __init__(self, now: int, client: Hashable) -> None:
        self.client = client
        self.state = IN_FLIGHT
        self.changed_at = now
        self.answer: DirectorAnswer | None = None


class ManifestLog:
    """What became of each manifest, for as long as it may be repeated.

    A manifest that may have been accepted is never sent twice by this relay, unless the director drops
    repeats by their counter. Where it does, the oldest one is forgotten for a new one; where it doesn't, new
    ones wait, and one client leaves room for others.
    """

    def __init__(
        self, deduplicated: bool, memory: int, max_entries: int, max_answer_bytes: int, max_kept_bytes: int
    ) -> None:
        """`memory` is in microseconds. Longer answers are not kept, nor the oldest over `max_kept_bytes`."""
        self.deduplicated = deduplicated
        self.memory = memory
        self.max_entries = max_entries
        self.max_answer_bytes = max_answer_bytes
        self.max_kept_bytes = max_kept_bytes
        self.entries: OrderedDict[bytes, ManifestEntry] = OrderedDict()
        self.shares = FairShare(max_entries)
        self.kept: OrderedDict[bytes, int] = OrderedDict()  # bytes of kept answers, oldest first
        self.kept_bytes = 0

    def begin(self, now: int, key: bytes, client: Hashable = None) -> tuple[str, DirectorAnswer | None]:
        """Returns what to do with a manifest, with its former answer for ANSWER.

        `client` is the connection that it came on, if that is to leave room for others.
        """
        self._forget(now)
        entry = self.entries.get(key)
        if entry is None:
            if not self._make_room() or (client is not None and not self.shares.take(client)):
                return WAIT, None
            self.entries[key] = ManifestEntry(now, client)
            return SEND, None
        if entry.state == IN_FLIGHT:
            return WAIT, None
        if entry.state == DONE and entry.answer is not None:
            return ANSWER, entry.answer
        if entry.state == LOST and self.deduplicated:
            entry.state = IN_FLIGHT
            entry.changed_at = now
            return SEND, None
        return UNKNOWN, None

    def end(self, now: int, key: bytes, state: str, answer: DirectorAnswer | None = None) -> None:
        """Notes DONE with an answer, LOST if it may have been accepted, or '' if it was never sent."""
        if not state:
            self._remove(key)
        elif entry := self.entries.get(key):
            entry.state = state
            entry.changed_at = now
            self._keep_answer(key, entry, answer)
            self.entries.move_to_end(key)

    def _keep_answer(self, key: bytes, entry: ManifestEntry, answer: DirectorAnswer | None) -> None:
        self._drop_answer(key)
        if answer is None or len(answer.body) > self.max_answer_bytes:
            return
        entry.answer = answer
        self.kept[key] = len(answer.body)
        self.kept_bytes += len(answer.body)
        while self.kept_bytes > self.max_kept_bytes:
            self._drop_answer(next(iter(self.kept)))

    def _drop_answer(self, key: bytes) -> None:
        self.kept_bytes -= self.kept.pop(key, 0)
        if entry := self.entries.get(key):
            entry.answer = None

    def _remove(self, key: bytes) -> None:
        self._drop_answer(key)
        entry = self.entries.pop(key, None)
        if entry is not None and entry.client is not None:
            self.shares.give_back(entry.client)

    def _make_room(self) -> bool:
        """Returns whether there is room for a further manifest."""
        if len(self.entries) < self.max_entries:
            return True
        oldest = next((key for key, entry in self.entries.items() if entry.state != IN_FLIGHT), None)
        if not self.deduplicated or oldest is None:
            return False
        self._remove(oldest)
        return True

    def _forget(self, now: int) -> None:
        """Removes old entries; they are in the order of their last change."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.state == IN_FLIGHT or now - entry.changed_at <= self.memory:
                return
            self._remove(key)
