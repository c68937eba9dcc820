"""What has come of transfers at one site, in files: parts under `.parts`, whole copies under `in`.

A copy is seen once, whole: its part is renamed when the books have its Commit, and not before. The folder is
the site's, shared by its relays: a lock of the file system lets one of them write to a part at a time.
"""

import contextlib
import fcntl
import os
from hashlib import blake2b
from pathlib import Path
from typing import BinaryIO
from urllib.parse import quote, unquote

from laurelcourse.fleet.errors import DiskFailedError, JobHeldError

BLOCK = 1 << 20


def digest(path: Path) -> bytes:
    """Raises OSError."""
    whole = blake2b(digest_size=32)
    with path.open("rb") as file:
        while block := file.read(BLOCK):
            whole.update(block)
    return whole.digest()


def _kept(folder: Path) -> None:
    """A new name in it outlives a crash of the machine."""
    there = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(there)
    finally:
        os.close(there)


def _locked(path: Path, job: str) -> BinaryIO:
    file = path.open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        file.close()
        raise JobHeldError(job, session=0) from error
    return file


class Part:
    """An open part: `at` bytes are there, `proven` of them surely on disk."""

    def __init__(self, path: Path, job: str, size: int) -> None:
        """Raises JobHeldError while another process writes to it, DiskFailedError."""
        self.path, self.job, self.size = path, job, size
        try:
            self.file = _locked(path, job)
            self.at = self.file.tell()
            if self.at >= size:
                # The last byte comes again, with the digest of the whole that it is proven by.
                self.at = size - 1 if self.at == size else 0
                self.file.truncate(self.at)
            os.fsync(self.file.fileno())
            _kept(path.parent)
        except OSError as error:
            raise DiskFailedError(job, fault=str(error)[:80]) from error
        self.proven = self.at

    def write(self, data: bytes) -> None:
        try:
            self.file.write(data)
        except OSError as error:
            raise DiskFailedError(self.job, fault=str(error)[:80]) from error
        self.at += len(data)

    def sync(self) -> int:
        try:
            self.file.flush()
            os.fsync(self.file.fileno())
        except OSError as error:
            raise DiskFailedError(self.job, fault=str(error)[:80]) from error
        self.proven = self.at
        return self.proven

    def digest(self) -> bytes:
        return digest(self.path)

    def drop(self) -> None:
        """All of it is sent anew: its bytes are not those that were sent."""
        self.file.truncate(0)
        self.at = self.proven = 0

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.file.close()


class Arrivals:
    def __init__(self, folder: Path) -> None:
        """Raises OSError."""
        self.parts, self.whole = folder / ".parts", folder / "in"
        for one in (self.parts, self.whole):
            one.mkdir(parents=True, exist_ok=True)

    def part(self, job: str, size: int) -> Part:
        return Part(self.parts / file_name(job), job, size)

    def waiting(self) -> list[str]:
        """Jobs with a part, by name."""
        return sorted(unquote(one.name) for one in self.parts.iterdir())

    def show(self, job: str) -> bool:
        """The part of a committed job becomes the copy. Whether it did so now. OSError, JobHeldError."""
        name = file_name(job)
        path = self.parts / name
        if not path.exists():
            return False
        with _locked(path, job):  # nobody writes to it meanwhile
            if (self.whole / name).exists():  # another relay of the site was first
                path.unlink()
                return False
            path.rename(self.whole / name)
        _kept(self.whole)
        return True

    def forget(self, job: str) -> None:
        (self.parts / file_name(job)).unlink(missing_ok=True)


def file_name(job: str) -> str:
    """Of any job's name a file name that can't lead out of its folder."""
    return quote(job, safe="").replace(".", "%2E")
