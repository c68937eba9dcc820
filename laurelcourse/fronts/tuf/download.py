"""One target on its way through the relay: which bytes may be passed on to the client. Pure.

Memory is two chunks at most. Of a file that was verified as a whole before, each block is verified before it
is passed on. Of any other file the hash is computed over what is passed on, and the last chunk is held back
until the whole is verified, so that no client ever has a complete file that is invalid.
"""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from tuf.api.metadata import TargetFile

# States.
WAITING = "waiting"
READING = "reading"
BETWEEN_MIRRORS = "moving"
VERIFIED = "proven"
FAILED = "cut"  # what was passed on is invalid: the client's answer ends here

# How a mirror's response head compares with what was asked for.
FITS = "fine"
NO_RANGES = "unfit"
MISMATCH = "other"
OUTDATED = "old"

HASHES = ("sha512", "sha384", "sha256", "sha224")  # that metadata may name, the strongest first

OK = 200
PARTIAL_CONTENT = 206
MAX_SKIPPED_CHUNKS = 16  # to read again at a mirror without ranges; more cost less at another mirror


class Source(NamedTuple):
    """Where a stretch of the file came from."""

    unit: int
    start: int


class BlockHashes:
    """Hashes of the blocks of verified files: those used last, up to a number of hashes."""

    def __init__(self, block_size: int, max_hashes: int) -> None:
        self.block_size = block_size
        self.max_hashes = max_hashes
        self.count = 0
        self.files: OrderedDict[str, tuple[bytes, ...]] = OrderedDict()

    def get(self, name: str) -> tuple[bytes, ...] | None:
        """Returns the hashes of a file."""
        hashes = self.files.get(name)
        if hashes is not None:
            self.files.move_to_end(name)
        return hashes

    def put(self, name: str, hashes: tuple[bytes, ...]) -> None:
        """Adds the hashes of a file; those not used for longest are removed."""
        if name in self.files or len(hashes) > self.max_hashes:
            return
        self.files[name] = hashes
        self.count += len(hashes)
        while self.count > self.max_hashes:
            self.count -= len(self.files.popitem(last=False)[1])


def _new_block() -> "hashlib._Hash":
    return hashlib.sha256()


def _block_hash(data: bytes) -> bytes:
    return hashlib.sha256(data).digest()


def file_id(target: TargetFile) -> str:
    """Returns what identifies a file: its strongest hash and its length.

    Raises KeyError if it names no known hash.
    """
    algorithm = next((name for name in HASHES if name in target.hashes), "")
    return f"{algorithm}:{target.hashes[algorithm]}:{target.length}"


class Download:
    """A range of one target, read from mirrors in turn."""

    def __init__(
        self,
        target: TargetFile,
        first: int,
        last: int,
        chunk: int,
        blocks: BlockHashes,
        is_versioned: bool = True,
    ) -> None:
        """`first` and `last` are included. `is_versioned`: the path at the mirrors contains the hash, so
        that different bytes can't be another version.
        """
        self.is_versioned = is_versioned
        self.target = target
        self.first = first
        self.last = last
        self.chunk = chunk
        self.blocks = blocks
        self.id = file_id(target)
        self.length = target.length
        self.known_hashes = blocks.get(self.id)
        self.state = WAITING
        self.held = bytearray()  # read, not passed on yet
        self.sources: list[Source] = []
        self.new_hashes: list[bytes] = []  # of the blocks read so far
        self.block = _new_block()
        self.block_bytes = 0  # of the last block, so far
        self.fetched = 0  # bytes read from mirrors, in all tries
        self.skip = 0  # bytes that come before those asked for
        self.delivered = 0  # bytes passed on to the client
        self._restart()

    def _restart(self) -> None:
        # With known blocks a part begins at its own block; otherwise all must be read from the first byte.
        size = self.blocks.block_size
        self.start = self.first // size * size if self.known_hashes else 0
        self.offset = self.passed = self.start
        self.hashes = {}
        if not self.known_hashes:
            self.hashes = {name: hashlib.new(name) for name in self.target.hashes if name in HASHES}
        self.tail = b""  # the end of the range, while bytes behind it have to be verified
        self.held.clear()
        self.sources.clear()
        self.new_hashes.clear()
        self.block = _new_block()
        self.block_bytes = 0

    @property
    def end(self) -> int:
        """Where reading ends: after the last block needed if blocks are known, else after the file."""
        if not self.known_hashes:
            return self.length
        return min((self.last // self.blocks.block_size + 1) * self.blocks.block_size, self.length)

    @property
    def has_delivered(self) -> bool:
        """Whether the client has any of it."""
        return self.delivered > 0

    def range_to_ask(self) -> tuple[int, int] | None:
        """Returns the range to ask a mirror for, both ends included; None for the whole file."""
        return None if self.offset == 0 and self.end == self.length else (self.offset, self.end - 1)

    def begin(
        self,
        unit: int,
        status: int,
        length: int | None,
        content_range: tuple[int, int, int] | None,
        former_length: int | None,
    ) -> str:
        """Compares a mirror's response head with what was asked for; reading begins if it FITS.

        `content_range`: first, last, whole length; `former_length`: of the file of this path in the previous
        view.
        """
        asked = self.range_to_ask()
        if status == PARTIAL_CONTENT:
            if (
                asked is None
                or content_range is None
                or content_range[2] != self.length
                or content_range[:2] != asked
            ):
                return self._mismatch(content_range[2] if content_range else None, former_length)
            if length is not None and length != asked[1] - asked[0] + 1:
                return MISMATCH
            self.skip = 0
        elif status == OK:
            if length is not None and length != self.length:
                return self._mismatch(length, former_length)
            if asked is not None and self.offset > MAX_SKIPPED_CHUNKS * self.chunk:
                return NO_RANGES
            self.skip = self.offset
        else:
            return MISMATCH
        self.state = READING
        self.sources.append(Source(unit, self.offset))
        return FITS

    @staticmethod
    def _mismatch(length: int | None, former_length: int | None) -> str:
        return OUTDATED if length is not None and length == former_length else MISMATCH

    def add(self, data: bytes | memoryview) -> list[bytes]:
        """Adds bytes of the current mirror; returns those that may be passed on to the client.

        What a mirror sends beyond the file's end is ignored.
        """
        self.fetched += len(data)
        if self.skip:
            skipped = min(self.skip, len(data))
            self.skip -= skipped
            data = data[skipped:]
        data = data[: max(self.end - self.offset, 0)]
        if not data:
            return []
        self.held += data
        self.offset += len(data)
        if self.known_hashes:
            return self._take_known_blocks()
        for digest in self.hashes.values():
            digest.update(data)
        self._hash_blocks(data)
        return self._take_unknown()

    def _hash_blocks(self, data: bytes | memoryview) -> None:
        """Hashes the blocks of a file that is read for the first time, in case it is verified."""
        view = memoryview(data)
        while len(view):
            piece = view[: self.blocks.block_size - self.block_bytes]
            self.block.update(piece)
            self.block_bytes += len(piece)
            view = view[len(piece) :]
            if self.block_bytes == self.blocks.block_size:
                self._end_block()

    def _end_block(self) -> None:
        self.new_hashes.append(self.block.digest())
        self.block = _new_block()
        self.block_bytes = 0

    def _take_known_blocks(self) -> list[bytes]:
        """Takes whole verified blocks; an invalid one is discarded, and reading returns to its start."""
        parts = []
        size = self.blocks.block_size
        while self.held:
            length = min(size, self.length - self.passed)
            if len(self.held) < length:
                break
            block = bytes(self.held[:length])
            if _block_hash(block) != self.known_hashes[self.passed // size]:
                self.offset = self.passed
                self.held.clear()
                self.state = BETWEEN_MIRRORS
                return parts
            del self.held[:length]
            parts += self._in_range(block)
        if self.offset == self.end and not self.held:
            self.state = VERIFIED
        return parts

    def _take_unknown(self) -> list[bytes]:
        """Takes all but the last chunk; at the end of the file the rest, once the whole is verified."""
        parts = []
        if self.offset < self.length:
            if len(self.held) > self.chunk:
                part = bytes(self.held[: -self.chunk])
                del self.held[: -self.chunk]
                parts += self._in_range(part)
            return parts
        if self.block_bytes:
            self._end_block()
        if any(digest.hexdigest() != self.target.hashes[name] for name, digest in self.hashes.items()):
            self.state = FAILED if self.has_delivered else BETWEEN_MIRRORS
            return parts
        self.state = VERIFIED
        self.blocks.put(self.id, tuple(self.new_hashes))
        rest, tail = bytes(self.held), self.tail
        self.held.clear()
        self.delivered += len(tail)
        return parts + ([tail] if tail else []) + self._in_range(rest)

    def _in_range(self, part: bytes) -> list[bytes]:
        """Returns what of the next bytes in order is within the range, and may be passed on now."""
        begin = max(self.first - self.passed, 0)
        end = max(self.last + 1 - self.passed, 0)
        self.passed += len(part)
        wanted = part[begin:end]
        if wanted and self.passed > self.last and not self.known_hashes and self.state != VERIFIED:
            self.tail, wanted = wanted, b""
        self.delivered += len(wanted)
        return [wanted] if wanted else []

    def is_read(self) -> bool:
        """Returns whether all that is to be read of the file has been read."""
        return self.offset >= self.end

    def suspects(self) -> set[int]:
        """Returns the mirrors that contributed to invalid bytes."""
        if self.known_hashes:
            return {self.sources[-1].unit} if self.sources else set()
        return {source.unit for source in self.sources}

    def leave_mirror(self) -> None:
        """Ends reading from a mirror.

        The next one continues from the byte reached or, if the whole was invalid and the client has nothing
        of it yet, from the start.
        """
        if self.state in (VERIFIED, FAILED):
            return
        whole_was_invalid = not self.known_hashes and self.offset >= self.length > 0
        self.state = BETWEEN_MIRRORS
        if self.known_hashes:
            # Of a block from two mirrors it could not be told which one is at fault.
            self.offset = self.passed
            self.held.clear()
        elif whole_was_invalid:
            self._restart()
