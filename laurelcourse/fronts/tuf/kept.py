"""What was proven, in a folder that lasts: one file a repository, written whole or not at all.

The file is JSON with a SHA-256 over its body. What is read is proven anew from the pinned root, so that a
changed file can at worst be missing; nothing here makes anything trusted.
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

from laurelcourse.fronts.tuf.trust import PROVEN, ROOT, SAME, SNAPSHOT, TARGETS, TIMESTAMP, Refresh, Trust

FORMAT = 1
ENDING, UNFINISHED = ".proven", ".part"

log = logging.getLogger(__name__)


class State(NamedTuple):
    """The roots behind the pinned one in order, the files of the view by role, and when it was borne out."""

    roots: list[bytes]
    files: dict[str, bytes]
    proven_at: int


class StateError(Exception):
    """Why a file can't be used."""


def state_of(trust: Trust, proven_at: int) -> State:
    first = min(trust.roots)
    roots = [trust.roots[version].raw for version in sorted(trust.roots) if version > first]
    view = trust.view
    files = {TIMESTAMP: view.timestamp.raw, SNAPSHOT: view.snapshot.raw} if view else {}
    files |= {role: one.raw for role, one in view.roles.items()} if view else {}
    return State(roots, files, proven_at)


def packed(state: State) -> bytes:
    body = json.dumps(
        {
            "roots": [base64.b64encode(raw).decode() for raw in state.roots],
            "proven_at": state.proven_at,
            "files": {role: base64.b64encode(raw).decode() for role, raw in state.files.items()},
        }
    )
    digest = hashlib.sha256(body.encode()).hexdigest()
    return json.dumps({"format": FORMAT, "sha256": digest, "body": body}).encode()


def unpacked(raw: bytes) -> State:
    try:
        outer = json.loads(raw)
        if outer["format"] != FORMAT:
            raise StateError(f"format {outer['format']!r}, not {FORMAT}")
        if hashlib.sha256(outer["body"].encode()).hexdigest() != outer["sha256"]:
            raise StateError("damaged: its checksum does not fit")
        body = json.loads(outer["body"])
        roots = [base64.b64decode(one, validate=True) for one in body["roots"]]
        files = {role: base64.b64decode(one, validate=True) for role, one in body["files"].items()}
        return State(roots, files, int(body["proven_at"]))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise StateError(f"damaged: {type(error).__name__}") from None


def restore(trust: Trust, state: State, now: int) -> bool:
    """Proves what was kept, from the pinned root on, as of when it was borne out; whether there is a view.

    An expired one is a floor all the same: nothing older may come after it."""
    for raw in state.roots:
        if trust.offer_root(raw).verdict != PROVEN:
            raise StateError("a root that the one before it did not sign")
    trust.settle()
    if not state.files:
        return False
    refresh, then = Refresh(trust), min(state.proven_at, now)
    refresh.lacks()
    for role in (TIMESTAMP, SNAPSHOT, TARGETS):
        found = refresh.offer(state.files[role], then) if role in state.files else None
        if found is None or found.verdict not in (PROVEN, SAME):
            raise StateError(f"{role}: {found.why if found else 'missing'}")
    top = (ROOT, TIMESTAMP, SNAPSHOT, TARGETS)
    waiting = {role: raw for role, raw in state.files.items() if role not in top}
    for _ in range(len(waiting)):
        for role in [role for role in waiting if f"{role}.json" in trust.view.snapshot.signed.meta]:
            if trust.offer_role(trust.view, role, waiting[role], then).verdict == PROVEN:
                del waiting[role]
    return True


def write_whole(path: Path, raw: bytes, step: Callable[[str], None] = lambda _: None) -> None:
    """Temporary file, fsync, rename, fsync of the folder: after a power cut the old file is there or the new.
    `step` hears of each, so that a test can end the process between them."""
    part = path.with_suffix(UNFINISHED)
    with part.open("wb") as file:
        file.write(raw[: len(raw) // 2])
        step("half")
        file.write(raw[len(raw) // 2 :])
        file.flush()
        step("written")
        os.fsync(file.fileno())
    step("synced")
    part.replace(path)
    step("renamed")
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Keeper:
    """Writes in a thread of its own: an fsync may take long, and nobody's answer waits for it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        for left in folder.glob(f"*{UNFINISHED}"):
            left.unlink()
        self.newest: dict[str, bytes] = {}
        self.lock = threading.Lock()
        self.wanted: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def path(self, name: str) -> Path:
        return self.folder / f"{name}{ENDING}"

    def read(self, name: str) -> State | None:
        """What was kept; None, and a line in the log, if there is nothing that can be used."""
        path = self.path(name)
        try:
            return unpacked(path.read_bytes())
        except FileNotFoundError:
            log.info("nothing kept, the pinned root counts", extra={"file": path})
        except (OSError, StateError) as error:
            log.warning(
                "what was kept can't be used, the pinned root counts", extra={"file": path, "fault": error}
            )
        return None

    def write(self, name: str, state: State) -> None:
        """Soon; of several that wait for one file the newest is written."""
        with self.lock:
            waits = name in self.newest
            self.newest[name] = packed(state)
        if not waits:
            self.wanted.put(name)

    def close(self) -> None:
        """Writes what waits, and ends."""
        self.wanted.put(None)
        self.thread.join()

    def _write(self) -> None:
        while (name := self.wanted.get()) is not None:
            with self.lock:
                raw = self.newest.pop(name)
            try:
                write_whole(self.path(name), raw)
            except OSError as error:
                log.warning("what was proven can't be kept", extra={"file": self.path(name), "fault": error})
                with contextlib.suppress(OSError):
                    self.path(name).with_suffix(UNFINISHED).unlink()
