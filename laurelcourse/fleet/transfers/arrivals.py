"""The received bytes of transfers at one site, in files: partial ones under `.parts`, copies under `in`.

A copy becomes visible as a whole: its partial file is renamed once its Commit is in the log, and not before.
The folder belongs to the site and is shared by its relays: by a file lock, one of them at a time writes to a
partial file.
"""

import contextlib
import fcntl
import os
from hashlib import blake2b
from pathlib import Path
from typing import BinaryIO
from urllib.parse import quote, unquote

from laurelcourse.fleet.errors import DiskFailedError, JobHeldError

BLOCK_BYTES = 1 << 20
DIGEST_BYTES = 32
MAX_QUOTED_CHARACTERS = 80  # of a fault, in an error


def file_digest(path: Path) -> bytes:
    """Returns the digest of a file. Raises OSError."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    with path.open("rb") as file:
        while block := file.read(BLOCK_BYTES):
            digest.update(block)
    return digest.digest()


def _sync_folder(folder: Path) -> None:
    """Has new names in the folder outlive a crash of the machine."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _open_locked(path: Path, job: str) -> BinaryIO:
    file = path.open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        file.close()
        raise JobHeldError(job, session=0) from error
    return file


def _disk_failed(job: str, error: OSError) -> DiskFailedError:
    return DiskFailedError(job, fault=str(error)[:MAX_QUOTED_CHARACTERS])


class PartialFile:
    """An open partial file: it has `offset` bytes, `proven` of them surely on disk."""

    def __init__(self, path: Path, job: str, size: int) -> None:
        """Raises JobHeldError while another process writes to it, and DiskFailedError."""
        self.path = path
        self.job = job
        self.size = size
        try:
            self.file = _open_locked(path, job)
            self.offset = self.file.tell()
            if self.offset >= size:
                # The last byte is sent again, with the digest of all bytes that proves it.
                self.offset = size - 1 if self.offset == size else 0
                self.file.truncate(self.offset)
            os.fsync(self.file.fileno())
            _sync_folder(path.parent)
        except OSError as error:
            raise _disk_failed(job, error) from error
        self.proven = self.offset

    def write(self, data: bytes) -> None:
        """Appends bytes. Raises DiskFailedError."""
        try:
            self.file.write(data)
        except OSError as error:
            raise _disk_failed(self.job, error) from error
        self.offset += len(data)

    def sync(self) -> int:
        """Writes all bytes to disk and returns their number. Raises DiskFailedError."""
        try:
            self.file.flush()
            os.fsync(self.file.fileno())
        except OSError as error:
            raise _disk_failed(self.job, error) from error
        self.proven = self.offset
        return self.proven

    def digest(self) -> bytes:
        """Returns the digest of the file. Raises OSError."""
        return file_digest(self.path)

    def discard(self) -> None:
        """Removes all bytes, as they are not those that were sent: all of them are sent again."""
        self.file.truncate(0)
        self.offset = self.proven = 0

    def close(self) -> None:
        """Closes the file and releases its lock."""
        with contextlib.suppress(OSError):
            self.file.close()


class Arrivals:
    """The files of one site."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError."""
        self.parts_folder = folder / ".parts"
        self.copies_folder = folder / "in"
        for path in (self.parts_folder, self.copies_folder):
            path.mkdir(parents=True, exist_ok=True)

    def open_partial(self, job: str, size: int) -> PartialFile:
        """Opens a job's partial file. Raises JobHeldError or DiskFailedError."""
        return PartialFile(self.parts_folder / file_name(job), job, size)

    def partial_jobs(self) -> list[str]:
        """Returns the jobs with a partial file, by name."""
        return sorted(unquote(path.name) for path in self.parts_folder.iterdir())

    def publish(self, job: str) -> bool:
        """Makes the partial file of a committed job its copy; returns whether this call did.

        Raises OSError or JobHeldError.
        """
        name = file_name(job)
        path = self.parts_folder / name
        if not path.exists():
            return False
        with _open_locked(path, job):  # nobody writes to it meanwhile
            if (self.copies_folder / name).exists():  # another relay of the site was first
                path.unlink()
                return False
            path.rename(self.copies_folder / name)
        _sync_folder(self.copies_folder)
        return True

    def delete_partial(self, job: str) -> None:
        """Deletes a job's partial file. Raises OSError."""
        (self.parts_folder / file_name(job)).unlink(missing_ok=True)


def file_name(job: str) -> str:
    """Returns a file name for a job, whatever its name, that stays within its folder."""
    return quote(job, safe="").replace(".", "%2E")
