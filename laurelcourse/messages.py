"""Datagrams between relays, of at most 256 bytes. What cannot be read is decoded as None."""

import math
import struct
from typing import NamedTuple
from zlib import crc32

VERSION = 3

# Kinds of datagrams, the second byte.
SUMS = 1
LOADS = 2
VOTER_REPORT = 3
SUSPICIONS = 4

MAX_BYTES = 256
SUMS_HEADER = struct.Struct("<BBIIHHH")
SUMS_ROW = struct.Struct("<BIIIfIIIff")
LOAD_ROW = struct.Struct("<IBBBB")
SUSPICION_ROW = struct.Struct("<IB")
SUSPICION_HEADER_BYTES = 3
REPORT_HEADER = struct.Struct("<BBIIHH")

MAX_BYTE = 255
MAX_BY_FORMAT = {
    "B": MAX_BYTE,
    "H": (1 << 16) - 1,
    "I": (1 << 32) - 1,
    "f": (2 - 2.0**-23) * 2.0**127,
}
MAX_SUMS_ROWS = (MAX_BYTES - SUMS_HEADER.size) // SUMS_ROW.size
MAX_SUSPICIONS = (MAX_BYTES - SUSPICION_HEADER_BYTES) // SUSPICION_ROW.size

# A ratio r is sent as one byte, 128 + 8 log2 r; 0 stands for an unknown one.
RATIO_ONE = 128
RATIO_STEPS_PER_DOUBLING = 8


class RelaySums(NamedTuple):
    """Running sums of one relay's outcomes, by route.

    A row holds outcomes, failures, timed outcomes and their summed log latency at the build on trial, then
    the same and the summed squares at the builds before it.
    """

    epoch: int  # the sender's start
    number: int
    build: int
    complaints: int
    open_tries: int
    rows: dict[int, tuple]


class VoterReport(NamedTuple):
    """What a voter concludes from the pooled outcomes."""

    epoch: int  # the sender's start
    number: int
    build: int
    outcome_count: int  # that the posteriors rest on
    posteriors: tuple[float, ...]  # by kind
    latency_ratios: tuple[float, ...]  # by route: usual latency over the objective; 0 if unknown
    wait_ratio: float = 0.0  # time that tries at all relays are open, over the shortest objective


class Suspicions(NamedTuple):
    """Units that a relay suspects, each with 1 if it returned an error, 0 if it did not answer."""

    zone_code: int
    units: list[tuple[int, int]]


def clamp(value: float, field_format: str = "B") -> float:
    """Returns the value of a field's range that is nearest to a number."""
    clamped = min(max(0, value), MAX_BY_FORMAT[field_format])
    return clamped if field_format == "f" else round(clamped)


def pack_clamped(layout: struct.Struct, *values: float) -> bytes:
    """Packs values so that one beyond its field's range does not prevent the others from being sent."""
    return layout.pack(*map(clamp, values, layout.format[1:]))


def pack_loads(loads: list[tuple]) -> bytes:
    """Packs, for each unit: open tries, recent outcomes and failures, and successes in a row."""
    rows = [pack_clamped(LOAD_ROW, *load) for load in loads[: (MAX_BYTES - 2) // LOAD_ROW.size]]
    return bytes((VERSION, LOADS)) + b"".join(rows)


def zone_code(zone: str) -> int:
    """Returns a one-byte hash of a zone's name."""
    return crc32(zone.encode()) % (MAX_BYTE + 1)


def pack_suspicions(sender_zone: int, units: list[tuple[int, int]]) -> bytes:
    """Packs the first MAX_SUSPICIONS suspected units; the rest is for later datagrams."""
    rows = [pack_clamped(SUSPICION_ROW, *unit) for unit in units[:MAX_SUSPICIONS]]
    return bytes((VERSION, SUSPICIONS, sender_zone)) + b"".join(rows)


def pack_sums(
    epoch: int, number: int, build: int, complaints: int, rows: list, open_tries: int = 0
) -> list[bytes]:
    """Packs rows, each beginning with its route's index, into as many datagrams as they need."""
    header = pack_clamped(SUMS_HEADER, VERSION, SUMS, epoch, number, build, complaints, open_tries)
    return [
        header + b"".join(pack_clamped(SUMS_ROW, *row) for row in rows[first : first + MAX_SUMS_ROWS])
        for first in range(0, len(rows), MAX_SUMS_ROWS) or (0,)
    ]


def pack_report(report: VoterReport) -> bytes:
    """Packs posteriors in parts of 255 and ratios as logarithms, a byte each."""
    posteriors = [clamp(MAX_BYTE * posterior) for posterior in report.posteriors]
    ratios = [
        clamp(RATIO_ONE + RATIO_STEPS_PER_DOUBLING * math.log2(ratio)) if ratio > 0 else 0
        for ratio in (*report.latency_ratios, report.wait_ratio)
    ]
    header = pack_clamped(
        REPORT_HEADER, VERSION, VOTER_REPORT, report.epoch, report.number, report.build, report.outcome_count
    )
    return header + bytes(posteriors + ratios)


def unpack(
    payload: bytes, route_count: int
) -> tuple[int, RelaySums | VoterReport | Suspicions | dict[int, list[int]]] | None:
    """Returns a datagram's kind and content, or None if it is malformed or of another version."""
    if len(payload) < 2 or payload[0] != VERSION:
        return None
    kind, size = payload[1], len(payload)
    if kind == LOADS and (size - 2) % LOAD_ROW.size == 0:
        return kind, {unit: counts for unit, *counts in LOAD_ROW.iter_unpack(payload[2:])}
    if (
        kind == SUSPICIONS
        and size > SUSPICION_HEADER_BYTES
        and (size - SUSPICION_HEADER_BYTES) % SUSPICION_ROW.size == 0
    ):
        rows = payload[SUSPICION_HEADER_BYTES:]
        return kind, Suspicions(payload[2], list(SUSPICION_ROW.iter_unpack(rows)))
    if kind == SUMS and size >= SUMS_HEADER.size and (size - SUMS_HEADER.size) % SUMS_ROW.size == 0:
        rows = {index: row for index, *row in SUMS_ROW.iter_unpack(payload[SUMS_HEADER.size :])}
        if all(index < route_count and all(map(math.isfinite, row)) for index, row in rows.items()):
            return kind, RelaySums(*SUMS_HEADER.unpack_from(payload)[2:], rows)
    if kind == VOTER_REPORT and size > REPORT_HEADER.size + route_count:
        posteriors = tuple(part / MAX_BYTE for part in payload[REPORT_HEADER.size : size - route_count - 1])
        *latency_ratios, wait_ratio = (
            2 ** ((code - RATIO_ONE) / RATIO_STEPS_PER_DOUBLING) if code else 0.0
            for code in payload[size - route_count - 1 :]
        )
        header = REPORT_HEADER.unpack_from(payload)[2:]
        return kind, VoterReport(*header, posteriors, tuple(latency_ratios), wait_ratio)
    return None
