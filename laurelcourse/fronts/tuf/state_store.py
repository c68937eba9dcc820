"""Stores verified metadata in a folder: one file per repository, written whole or not at all.

The file is JSON with a SHA-256 over its body. What is read is verified again from the pinned root, so that a
modified file can at worst be unusable; nothing here makes anything trusted.
"""

import base64
import contextlib
import hashlib
import json
import logging
import os
import queue
import threading
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from laurelcourse.fronts.tuf.trust import (
    ROOT,
    SNAPSHOT,
    TARGETS,
    TIMESTAMP,
    UNCHANGED,
    VERIFIED,
    Refresh,
    Trust,
)

FORMAT = 1
SUFFIX = ".proven"
PARTIAL_SUFFIX = ".part"

log = logging.getLogger(__name__)


class StoredState(NamedTuple):
    """What is stored of one repository."""

    roots: list[bytes]  # after the pinned one, in order
    files: dict[str, bytes]  # of the view, by role
    proven_at: int  # when the view was last confirmed


class StateError(Exception):
    """Why a file can't be used."""


def state_of(trust: Trust, verified_at: int) -> StoredState:
    """Returns what to store of a repository."""
    pinned = min(trust.roots)
    roots = [trust.roots[version].raw for version in sorted(trust.roots) if version > pinned]
    view = trust.view
    files = {TIMESTAMP: view.timestamp.raw, SNAPSHOT: view.snapshot.raw} if view else {}
    files |= {role: file.raw for role, file in view.roles.items()} if view else {}
    return StoredState(roots, files, verified_at)


def serialize(state: StoredState) -> bytes:
    """Returns the content of a file."""
    body = json.dumps(
        {
            "roots": [base64.b64encode(raw).decode() for raw in state.roots],
            "proven_at": state.proven_at,
            "files": {role: base64.b64encode(raw).decode() for role, raw in state.files.items()},
        }
    )
    digest = hashlib.sha256(body.encode()).hexdigest()
    return json.dumps({"format": FORMAT, "sha256": digest, "body": body}).encode()


def deserialize(raw: bytes) -> StoredState:
    """Returns what `serialize` was given. Raises StateError."""
    try:
        outer = json.loads(raw)
        if outer["format"] != FORMAT:
            raise StateError(f"format {outer['format']!r}, not {FORMAT}")
        if hashlib.sha256(outer["body"].encode()).hexdigest() != outer["sha256"]:
            raise StateError("damaged: its checksum does not fit")
        body = json.loads(outer["body"])
        roots = [base64.b64decode(root, validate=True) for root in body["roots"]]
        files = {role: base64.b64decode(file, validate=True) for role, file in body["files"].items()}
        return StoredState(roots, files, int(body["proven_at"]))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise StateError(f"damaged: {type(error).__name__}") from None


def restore(trust: Trust, state: StoredState, now: int) -> bool:
    """Verifies a stored state from the pinned root on, as of when it was confirmed.

    Returns whether there is a view. An expired one still prevents rollbacks. Raises StateError.
    """
    for raw in state.roots:
        if trust.add_root(raw).verdict != VERIFIED:
            raise StateError("a root that the one before it did not sign")
    trust.adopt_pending_roots()
    if not state.files:
        return False
    refresh, then = Refresh(trust), min(state.proven_at, now)
    refresh.add_missing()
    for role in (TIMESTAMP, SNAPSHOT, TARGETS):
        assessment = refresh.add(state.files[role], then) if role in state.files else None
        if assessment is None or assessment.verdict not in (VERIFIED, UNCHANGED):
            raise StateError(f"{role}: {assessment.why if assessment else 'missing'}")
    _restore_delegated_roles(trust, state, then)
    return True


def _restore_delegated_roles(trust: Trust, state: StoredState, then: int) -> None:
    top_level = (ROOT, TIMESTAMP, SNAPSHOT, TARGETS)
    waiting = {role: raw for role, raw in state.files.items() if role not in top_level}
    for _ in range(len(waiting)):
        for role in [role for role in waiting if f"{role}.json" in trust.view.snapshot.signed.meta]:
            if trust.add_role(trust.view, role, waiting[role], then).verdict == VERIFIED:
                del waiting[role]


def write_atomically(path: Path, raw: bytes, on_step: Callable[[str], None] = lambda _: None) -> None:
    """Writes a temporary file and renames it: after a power failure the old file is there, or the new one.

    `on_step` is called after each step, so that a test can end the process between them. Raises OSError.
    """
    partial = path.with_suffix(PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(raw[: len(raw) // 2])
        on_step("half")
        file.write(raw[len(raw) // 2 :])
        file.flush()
        on_step("written")
        os.fsync(file.fileno())
    on_step("synced")
    partial.replace(path)
    on_step("renamed")
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class StateStore:
    """Writes in a thread of its own: an fsync may take long, and no answer waits for it."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError."""
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        for partial in folder.glob(f"*{PARTIAL_SUFFIX}"):
            partial.unlink()
        self.newest: dict[str, bytes] = {}  # to be written, by repository
        self.lock = threading.Lock()
        self.names: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def path(self, name: str) -> Path:
        """Returns the path of a repository's file."""
        return self.folder / f"{name}{SUFFIX}"

    def read(self, name: str) -> StoredState | None:
        """Returns the stored state; None, with a line in the log, if there is none that can be used."""
        path = self.path(name)
        try:
            return deserialize(path.read_bytes())
        except FileNotFoundError:
            log.info("nothing kept, the pinned root counts", extra={"file": path})
        except (OSError, StateError) as error:
            log.warning(
                "what was kept can't be used, the pinned root counts", extra={"file": path, "fault": error}
            )
        return None

    def write(self, name: str, state: StoredState) -> None:
        """Has a state written soon; of several states of one repository the newest is written."""
        with self.lock:
            is_waiting = name in self.newest
            self.newest[name] = serialize(state)
        if not is_waiting:
            self.names.put(name)

    def close(self) -> None:
        """Writes what is waiting, and ends the thread."""
        self.names.put(None)
        self.thread.join()

    def _write(self) -> None:
        while (name := self.names.get()) is not None:
            with self.lock:
                raw = self.newest.pop(name)
            try:
                write_atomically(self.path(name), raw)
            except OSError as error:
                log.warning("what was proven can't be kept", extra={"file": self.path(name), "fault": error})
                with contextlib.suppress(OSError):
                    self.path(name).with_suffix(PARTIAL_SUFFIX).unlink()
