"""What relays tell each other, in at most 256 bytes; what can't be read comes back as None."""

import math
import struct
from typing import NamedTuple

VERSION, SUMS, LOADS = 1, 1, 2
HEAD = struct.Struct("<BBBIIHH")
ROW = struct.Struct("<IIIfIIIff")
ROWS = 6
LOAD = struct.Struct("<IBBBB")
MOST_LOADS = 31


class Told(NamedTuple):
    """Running sums of one relay for some routes: at the build on trial, then at the builds before it.

    A route's row: counted, failed, timed, summed log latency; then earlier builds' and their squares."""

    first: int
    epoch: int
    number: int
    build: int
    complained: int
    rows: list[tuple]


def pack_loads(loads: list[tuple]) -> bytes:
    """Of each unit: its open tries, how many lately ended and failed, and how many ended well on end."""
    packed = [LOAD.pack(unit, *(min(round(one), 255) for one in counts))
              for unit, *counts in loads[:MOST_LOADS]]
    return bytes((VERSION, LOADS)) + b"".join(packed)


def pack_sums(epoch: int, number: int, build: int, complained: int, rows: list) -> list[bytes]:
    """As many messages as the routes need."""
    found = []
    for first in range(0, len(rows), ROWS):
        packed = b"".join(ROW.pack(*row) for row in rows[first:first + ROWS])
        found.append(HEAD.pack(VERSION, SUMS, first, epoch, number, build, complained) + packed)
    return found


def unpack(payload: bytes, routes: int) -> tuple[int, Told | dict[int, list[int]]] | None:
    if len(payload) < 2 or payload[0] != VERSION:
        return None
    what = payload[1]
    if what == LOADS and (len(payload) - 2) % LOAD.size == 0:
        return what, {unit: counts for unit, *counts in LOAD.iter_unpack(payload[2:])}
    if what != SUMS or len(payload) < HEAD.size or (len(payload) - HEAD.size) % ROW.size:
        return None
    _, _, first, epoch, number, build, complained = HEAD.unpack_from(payload)
    rows = list(ROW.iter_unpack(payload[HEAD.size:]))
    if first + len(rows) > routes or not all(math.isfinite(value) for row in rows for value in row):
        return None
    return SUMS, Told(first, epoch, number, build, complained, rows)
