"""What relays tell each other, in at most 256 bytes; what can't be read comes back as None."""

import math
import struct
from typing import NamedTuple
from zlib import crc32

VERSION, SUMS, LOADS, WORD, DOUBTS = 3, 1, 2, 3, 4
MOST = 256
HEAD = struct.Struct("<BBIIHHH")
ROW = struct.Struct("<BIIIfIIIff")
LOAD = struct.Struct("<IBBBB")
UNIT = struct.Struct("<IB")
OPINION = struct.Struct("<BBIIHH")
ROWS, LARGEST = (MOST - HEAD.size) // ROW.size, 255
HOLDS = {"B": LARGEST, "H": (1 << 16) - 1, "I": (1 << 32) - 1, "f": (2 - 2.0**-23) * 2.0**127}
DOUBTED = (MOST - 3) // UNIT.size


class Told(NamedTuple):
    """Running sums of one relay by route: at the build on trial, then at the builds before it; and how many
    tries are open there.

    A route's row: counted, failed, timed, summed log latency; then earlier builds' and their squares."""

    epoch: int
    number: int
    build: int
    complained: int
    open: int
    rows: dict[int, tuple]


class Word(NamedTuple):
    """What a hashed voter makes of the pool: posteriors by kind, the outcomes they rest on, each route's
    usual latency as a multiple of its objective, and how long tries wait at all relays, of the shortest."""

    epoch: int
    number: int
    build: int
    counted: int
    posteriors: tuple[float, ...]
    usual: tuple[float, ...]
    wait: float = 0.0


class Doubts(NamedTuple):
    """Units that a relay doubts, each with 1 if it erred, 0 if it was not heard; and the relay's site."""

    site: int
    units: list[tuple[int, int]]


def held(value: float, kind: str = "B") -> float:
    """A number as a field of this kind holds it: one beyond its range is told as its end."""
    within = min(max(0, value), HOLDS[kind])
    return within if kind == "f" else round(within)


def pack(form: struct.Struct, *values: float) -> bytes:
    """One count beyond its field must not keep all else from being told."""
    return form.pack(*map(held, values, form.format[1:]))


def pack_loads(loads: list[tuple]) -> bytes:
    """Of each unit: its open tries, how many lately ended and failed, and how many ended well on end."""
    packed = [pack(LOAD, *load) for load in loads[: (MOST - 2) // LOAD.size]]
    return bytes((VERSION, LOADS)) + b"".join(packed)


def site(zone: str) -> int:
    """A zone's name as one byte."""
    return crc32(zone.encode()) % (LARGEST + 1)


def pack_doubts(where: int, units: list[tuple[int, int]]) -> bytes:
    """Units that a relay of a site doubts; those beyond the first go with a later message."""
    return bytes((VERSION, DOUBTS, where)) + b"".join(pack(UNIT, *unit) for unit in units[:DOUBTED])


def pack_sums(
    epoch: int, number: int, build: int, complained: int, rows: list, opened: int = 0
) -> list[bytes]:
    """As many messages as the rows need; a row begins with its route's place."""
    head = pack(HEAD, VERSION, SUMS, epoch, number, build, complained, opened)
    return [
        head + b"".join(pack(ROW, *row) for row in rows[first : first + ROWS])
        for first in range(0, len(rows), ROWS) or (0,)
    ]


def pack_word(word: Word) -> bytes:
    """Posteriors in parts of 255, latencies in eighths of a doubling of the objective, around 128."""
    parts = [held(LARGEST * part) for part in word.posteriors]
    usual = [held(128 + 8 * math.log2(one)) if one > 0 else 0 for one in (*word.usual, word.wait)]
    head = pack(OPINION, VERSION, WORD, word.epoch, word.number, word.build, word.counted)
    return head + bytes(parts + usual)


def unpack(payload: bytes, routes: int) -> tuple[int, Told | Word | Doubts | dict[int, list[int]]] | None:
    if len(payload) < 2 or payload[0] != VERSION:
        return None
    what, size = payload[1], len(payload)
    if what == LOADS and (size - 2) % LOAD.size == 0:
        return what, {unit: counts for unit, *counts in LOAD.iter_unpack(payload[2:])}
    if what == DOUBTS and size > 3 and (size - 3) % UNIT.size == 0:
        return what, Doubts(payload[2], list(UNIT.iter_unpack(payload[3:])))
    if what == SUMS and size >= HEAD.size and (size - HEAD.size) % ROW.size == 0:
        rows = {place: row for place, *row in ROW.iter_unpack(payload[HEAD.size :])}
        if all(place < routes and all(map(math.isfinite, row)) for place, row in rows.items()):
            return what, Told(*HEAD.unpack_from(payload)[2:], rows)
    if what == WORD and size > OPINION.size + routes:
        parts = tuple(part / LARGEST for part in payload[OPINION.size : size - routes - 1])
        *usual, wait = (2 ** ((one - 128) / 8) if one else 0.0 for one in payload[size - routes - 1 :])
        return what, Word(*OPINION.unpack_from(payload)[2:], parts, tuple(usual), wait)
    return None
