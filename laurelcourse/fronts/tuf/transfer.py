"""A target on its way through the relay: which bytes may go on to the client, what is proven of them. Pure.

Memory is two chunks at most. Of a file that was proven whole before, each block is proven before it goes
on; of another the hash is built up over what went on, and the last chunk stays here until the whole is
proven, so that nobody ever has a complete file that is wrong.
"""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from tuf.api.metadata import TargetFile

# The states. MOVING: between mirrors; CUT: what went on can't be made good, the client's answer ends here.
WAITING, READING, MOVING, PROVEN, CUT = "waiting", "reading", "moving", "proven", "cut"
# What a mirror's head for a part is worth.
FINE, UNFIT, OTHER, OLD = "fine", "unfit", "other", "old"
HASHES = ("sha512", "sha384", "sha256", "sha224")  # those that metadata may name, the strongest first


class Source(NamedTuple):
    """A stretch of the file, and the mirror that it came from."""

    unit: int
    start: int


class Blocks:
    """Hashes by block of files that were proven whole, the latest used kept, within so many hashes."""

    def __init__(self, size: int, most: int) -> None:
        self.size, self.most, self.held = size, most, 0
        self.files: OrderedDict[str, tuple[bytes, ...]] = OrderedDict()

    def get(self, name: str) -> tuple[bytes, ...] | None:
        found = self.files.get(name)
        if found is not None:
            self.files.move_to_end(name)
        return found

    def put(self, name: str, hashes: tuple[bytes, ...]) -> None:
        if name in self.files or len(hashes) > self.most:
            return
        self.files[name] = hashes
        self.held += len(hashes)
        while self.held > self.most:
            self.held -= len(self.files.popitem(last=False)[1])


def new_block() -> "hashlib._Hash":
    return hashlib.sha256()


def block_hash(data: bytes) -> bytes:
    return hashlib.sha256(data).digest()


def name_of(target: TargetFile) -> str:
    """What tells a file apart: its strongest hash, and its length. Raises KeyError if it names none known."""
    algorithm = next((one for one in HASHES if one in target.hashes), "")
    return f"{algorithm}:{target.hashes[algorithm]}:{target.length}"


class Transfer:
    def __init__(
        self, target: TargetFile, first: int, last: int, chunk: int, blocks: Blocks, versioned: bool = True
    ) -> None:
        """The bytes `first` to `last` of a target, both included, as its proven metadata tells it.
        `versioned`: the path that mirrors are asked for names its hash: what differs is no other version."""
        self.versioned = versioned
        self.target, self.first, self.last, self.chunk, self.blocks = target, first, last, chunk, blocks
        self.name, self.length = name_of(target), target.length
        self.known = blocks.get(self.name)
        self.state = WAITING
        self.held = bytearray()  # taken from mirrors, not yet passed on
        self.sources: list[Source] = []
        self.fresh: list[bytes] = []  # block hashes, as they are found; the last block's so far
        self.block, self.in_block = new_block(), 0
        self.fetched = 0  # bytes taken from mirrors, all tries together
        self.skip = 0  # bytes that come before what was asked for
        self.given = 0  # bytes that went on to the client
        self._restart()

    def _restart(self) -> None:
        # Known blocks let a part begin at its own block; else all from the first byte on must be read.
        self.start = self.first // self.blocks.size * self.blocks.size if self.known else 0
        self.at = self.passed = self.start
        self.hashes = (
            {}
            if self.known
            else {
                algorithm: hashlib.new(algorithm) for algorithm in self.target.hashes if algorithm in HASHES
            }
        )
        self.tail = b""  # the last of what is wanted, while bytes behind it are to be proven
        self.held.clear()
        self.sources.clear()
        self.fresh.clear()
        self.block, self.in_block = new_block(), 0

    @property
    def end(self) -> int:
        """Where reading ends: with known blocks at the end of the last block needed, else of the file."""
        if not self.known:
            return self.length
        return min((self.last // self.blocks.size + 1) * self.blocks.size, self.length)

    @property
    def out(self) -> bool:
        """Whether the client has any of it."""
        return self.given > 0

    def asks(self) -> tuple[int, int] | None:
        """The range to ask of a mirror, both ends included; None for the whole file."""
        return None if self.at == 0 and self.end == self.length else (self.at, self.end - 1)

    def begin(
        self, unit: int, status: int, length: int | None, span: tuple[int, int, int] | None, older: int | None
    ) -> str:
        """Holds a mirror's head against what was asked. `span` is its Content-Range as first, last, whole;
        `older` the length of the file that the path named in the view before."""
        asked = self.asks()
        if status == 206:
            if asked is None or span is None or span[2] != self.length or span[:2] != asked:
                return self._other(span[2] if span else None, older)
            if length is not None and length != asked[1] - asked[0] + 1:
                return OTHER
            self.skip = 0
        elif status == 200:
            if length is not None and length != self.length:
                return self._other(length, older)
            if asked is not None and self.at > 16 * self.chunk:
                return UNFIT  # it knows no ranges: to read so much anew costs more than to ask another
            self.skip = self.at
        else:
            return OTHER
        self.state = READING
        self.sources.append(Source(unit, self.at))
        return FINE

    def _other(self, length: int | None, older: int | None) -> str:
        return OLD if length is not None and length == older else OTHER

    def take(self, data: bytes | memoryview) -> list[bytes]:
        """Bytes of the mirror that is read; returns those that may go on to the client. What a mirror sends
        beyond the file's end is passed over."""
        self.fetched += len(data)
        if self.skip:
            passed = min(self.skip, len(data))
            self.skip -= passed
            data = data[passed:]
        data = data[: max(self.end - self.at, 0)]
        if not data:
            return []
        self.held += data
        self.at += len(data)
        if self.known:
            return self._known_blocks()
        for one in self.hashes.values():
            one.update(data)
        self._add_blocks(data)
        return self._unknown()

    def _add_blocks(self, data: bytes | memoryview) -> None:
        """The hashes by block of a file that is read for the first time, should it be proven."""
        view, size = memoryview(data), self.blocks.size
        while len(view):
            now = view[: size - self.in_block]
            self.block.update(now)
            self.in_block += len(now)
            view = view[len(now) :]
            if self.in_block == size:
                self._end_block()

    def _end_block(self) -> None:
        self.fresh.append(self.block.digest())
        self.block, self.in_block = new_block(), 0

    def _known_blocks(self) -> list[bytes]:
        """Whole blocks that are proven; a wrong one is thrown away, and reading goes back to its start."""
        out, size = [], self.blocks.size
        while self.held:
            due = min(size, self.length - self.passed)
            if len(self.held) < due:
                break
            block = bytes(self.held[:due])
            if block_hash(block) != self.known[self.passed // size]:
                self.at = self.passed
                self.held.clear()
                self.state = MOVING
                return out
            del self.held[:due]
            out += self._wanted(block)
        if self.at == self.end and not self.held:
            self.state = PROVEN
        return out

    def _unknown(self) -> list[bytes]:
        out = []
        if self.at < self.length:
            if len(self.held) > self.chunk:  # the last chunk stays
                part = bytes(self.held[: -self.chunk])
                del self.held[: -self.chunk]
                out += self._wanted(part)
            return out
        if self.in_block:
            self._end_block()
        if any(one.hexdigest() != self.target.hashes[name] for name, one in self.hashes.items()):
            self.state = CUT if self.out else MOVING
            return out
        self.state = PROVEN
        self.blocks.put(self.name, tuple(self.fresh))
        rest, tail = bytes(self.held), self.tail
        self.held.clear()
        self.given += len(tail)
        return out + ([tail] if tail else []) + self._wanted(rest)

    def _wanted(self, part: bytes) -> list[bytes]:
        """What of the next bytes in order the client asked for, and may have now."""
        begin = max(self.first - self.passed, 0)
        end = max(self.last + 1 - self.passed, 0)
        self.passed += len(part)
        wanted = part[begin:end]
        if wanted and self.passed > self.last and not self.known and self.state != PROVEN:
            self.tail, wanted = wanted, b""
        self.given += len(wanted)
        return [wanted] if wanted else []

    def over(self) -> bool:
        """Whether all that is read of the file has been read."""
        return self.at >= self.end

    def culprits(self) -> set[int]:
        """After bytes proven wrong: the mirrors that had a part in them."""
        if self.known:
            return {self.sources[-1].unit} if self.sources else set()
        return {one.unit for one in self.sources}

    def left(self) -> None:
        """The mirror was left, in whatever way; the next goes on from the byte reached, or, if the whole was
        wrong and the client has nothing of it yet, from the start."""
        if self.state not in (PROVEN, CUT):
            whole_was_wrong = not self.known and self.at >= self.length > 0
            self.state = MOVING
            if self.known:
                # Half a block of one mirror and half of another could not be told apart if wrong.
                self.at = self.passed
                self.held.clear()
            elif whole_was_wrong:
                self._restart()
