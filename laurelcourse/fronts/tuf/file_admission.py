"""Limits the files in transfer: of the front, by mirror, by client address; and the bytes held. Pure."""

from collections import Counter
from typing import NamedTuple

# Why a file is refused.
TOO_MANY_FILES = "files"
TOO_MANY_BYTES = "bytes"
TOO_MANY_OF_CLIENT = "client"


class AdmissionBounds(NamedTuple):
    """The most there may be at once."""

    files: int
    files_per_mirror: int
    files_per_client: int
    bytes: int


class FileAdmission:
    """Admits files. Those over a limit are refused at once; metadata is not limited, and so has priority."""

    def __init__(self, bounds: AdmissionBounds) -> None:
        self.bounds = bounds
        self.files = 0
        self.bytes = 0
        self.by_client: Counter[str] = Counter()
        self.by_mirror: Counter[int] = Counter()

    def admit(self, client: str, held: int) -> str:
        """Admits a file of which at most `held` bytes are in memory; returns '', or why it is refused."""
        if self.files >= self.bounds.files:
            return TOO_MANY_FILES
        if self.by_client[client] >= self.bounds.files_per_client:
            return TOO_MANY_OF_CLIENT
        if self.bytes + held > self.bounds.bytes:
            return TOO_MANY_BYTES
        self.files += 1
        self.bytes += held
        self.by_client[client] += 1
        return ""

    def release(self, client: str, held: int) -> None:
        """Releases an admitted file."""
        self.files -= 1
        self.bytes -= held
        self.by_client[client] -= 1
        if self.by_client[client] <= 0:
            del self.by_client[client]

    def begin_part(self, mirror: int) -> bool:
        """Counts a part of a file asked of a mirror; returns whether the mirror is full now."""
        self.by_mirror[mirror] += 1
        return self.by_mirror[mirror] == self.bounds.files_per_mirror

    def end_part(self, mirror: int) -> bool:
        """Uncounts a part; returns whether the mirror was full until now."""
        was_full = self.by_mirror[mirror] == self.bounds.files_per_mirror
        self.by_mirror[mirror] -= 1
        if self.by_mirror[mirror] <= 0:
            del self.by_mirror[mirror]
        return was_full

    def is_full(self, mirror: int) -> bool:
        """Returns whether a mirror sends as many parts as it may."""
        return self.by_mirror[mirror] >= self.bounds.files_per_mirror
