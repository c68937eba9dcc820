"""What relays tell each other, in at most 256 bytes; what can't be read comes back as None."""

import math
import struct
from typing import NamedTuple

VERSION, SUMS, ASIDE, GOOD = 1, 1, 2, 3
HEAD = struct.Struct("<BBIIHH")
ROW = struct.Struct("<IIfIIff")
ABOUT_UNIT = struct.Struct("<BBI")


class Told(NamedTuple):
    """Running sums of one relay: at the build on trial, then at the builds before it, route by route."""

    epoch: int
    number: int
    build: int
    sums: list[float]


def pack_unit(what: int, unit: int) -> bytes:
    return ABOUT_UNIT.pack(VERSION, what, unit)


def pack_sums(epoch: int, number: int, build: int, complained: int, rows: list[tuple]) -> bytes:
    head = HEAD.pack(VERSION, SUMS, epoch, number, build, complained)
    return head + b"".join(ROW.pack(*row) for row in rows)


def unpack(payload: bytes, routes: int) -> tuple[int, object] | None:
    if len(payload) < 2 or payload[0] != VERSION:
        return None
    what = payload[1]
    if what in (ASIDE, GOOD) and len(payload) == ABOUT_UNIT.size:
        return what, ABOUT_UNIT.unpack(payload)[2]
    if what != SUMS or len(payload) != HEAD.size + routes * ROW.size:
        return None
    _, _, epoch, number, build, complained = HEAD.unpack_from(payload)
    sums: list[float] = [complained]
    for place in range(routes):
        sums += ROW.unpack_from(payload, HEAD.size + place * ROW.size)
    return (SUMS, Told(epoch, number, build, sums)) if all(map(math.isfinite, sums)) else None
