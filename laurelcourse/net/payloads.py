"""Payloads of the directory and the deployer, parsed into values. What cannot be read raises PayloadError."""

import json
import math
import re
import zlib
from typing import NamedTuple
from xml.etree import ElementTree

from laurelcourse import interface as face

Address = tuple[str, int]

HEALTH_BY_PHASE = {"active": face.READY, "leaving": face.DRAINING, "left": face.GONE}
STANDING_BY_PHASE = {
    "Progressing": face.ON_TRIAL,
    "Aborting": face.ROLLING_BACK,
    "Healthy": face.RELEASED,
    "Aborted": face.WITHDRAWN,
}
# In the order in which a build goes through them.
STANDINGS_IN_ORDER = (face.ON_TRIAL, face.RELEASED, face.ROLLING_BACK, face.WITHDRAWN)
VERDICT_WORDS = {
    face.NO_VOTE: "blank",
    face.VOTE_ADVANCE: "go",
    face.VOTE_HOLD: "stay",
    face.VOTE_ROLL_BACK: "stop",
}
STATUS_BY_ERROR_CODE = {
    "limit": face.REFUSED,
    "moot": face.VOID,
    "error": face.CALL_FAILED,
    "malformed": face.CALL_FAILED,
}
HOST_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")  # that sockets accept
DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,20})?(?:[eE]-?[0-9]{1,2})?")
MAX_INTEGER = (1 << 32) - 1  # fits a field of a datagram between relays
MAX_TIME_MS = 1 << 45
MAX_REVISION = (1 << 53) - 1
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class PayloadError(Exception):
    """What is wrong with a payload."""


class BuildState(NamedTuple):
    """Where a build stands, and for how many microseconds."""

    build: int
    stage: int
    standing: int
    cap: float
    since: int


class Tally(NamedTuple):
    """Sampled outcomes of a build, with their age and mean latency in microseconds."""

    since: int
    lag: int
    build: int
    route: str
    failed: int
    counted: int


class UnitList(NamedTuple):
    """A list of units, or changes to one."""

    revision: int
    complete: bool
    entries: list[tuple[face.Listed, Address | None]]
    incomplete: tuple[str, ...] = ()  # ids of ready units whose entries lack what a send needs


NO_BUILD = BuildState(0, 0, face.ON_TRIAL, 0.0, 0)


def parse_address(text: str) -> Address:
    """Parses `host:port`. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if (
        not HOST_PATTERN.fullmatch(host)
        or not (port.isascii() and port.isdigit())
        or not 0 < int(port[:6]) < 65536
    ):
        raise ValueError(f"'{text}' is not an address")
    return host, int(port)


def parse_number(value: object, maximum: float) -> float:
    """Returns a number from JSON or a form, finite and from 0 to the maximum. Raises ValueError."""
    if isinstance(value, bool) or (isinstance(value, str) and not DECIMAL_PATTERN.fullmatch(value)):
        raise ValueError(f"{value!r} is not a number")
    number = float(value)
    if not math.isfinite(number) or not 0 <= number <= maximum:
        raise ValueError(f"{value!r} is out of range")
    return number


def parse_integer(value: object, maximum: int = MAX_INTEGER) -> int:
    """Returns an integer from 0 to the maximum. Raises ValueError."""
    number = parse_number(value, maximum)
    if number != int(number):
        raise ValueError(f"{value!r} is not a whole number")
    return int(number)


def parse_milliseconds(value: object) -> int:
    """Returns a time given in milliseconds as microseconds. Raises ValueError."""
    return round(parse_number(value, MAX_TIME_MS) * 1000)


def parse_word(value: object) -> str:
    """Returns a printable text that is not empty. Raises ValueError."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"{value!r} is not a word")
    return value


def unit_number(unit_id: str) -> int:
    """Returns a unit's number, the same at every relay and below 2^32."""
    return zlib.crc32(unit_id.encode())


def parse_unit(fields: dict) -> tuple[face.Listed, Address | None]:
    """Parses one entry of a list.

    An absent value is omitted or null; a unit's zone may be unknown. A ready unit without build or address is
    taken as draining: it is not gone, as it is listed, and not sent to, as its build may be another.
    """
    fields = {name: value for name, value in fields.items() if value is not None}
    health, host_port, build = (
        HEALTH_BY_PHASE[fields["phase"]],
        fields.get("host_port"),
        fields.get("revision_no"),
    )
    can_be_sent_to = build is not None and host_port is not None
    listed = face.Listed(
        unit=unit_number(parse_word(fields["id"])),
        zone=parse_word(fields["locality"]) if fields.get("locality", "") != "" else "",
        cell=parse_integer(fields.get("cell", 0)),
        build=0 if build is None else parse_integer(build),
        health=face.DRAINING if health == face.READY and not can_be_sent_to else health,
        size=parse_number(fields.get("size", 1), MAX_INTEGER),
        started_at=parse_milliseconds(fields.get("up_since_ms", 0)) or face.START_UNKNOWN_US,
    )
    address = (
        None if host_port is None or (health == face.GONE and not host_port) else parse_address(host_port)
    )
    return listed, address if can_be_sent_to else None


def parse_unit_list(root: dict) -> UnitList:
    """Parses a list or changes. Raises PayloadError."""
    try:
        entries = [parse_unit(fields) for fields in root["members"]]
        incomplete = tuple(
            fields["id"]
            for fields, (listed, _) in zip(root["members"], entries, strict=True)
            if HEALTH_BY_PHASE[fields["phase"]] != listed.health
        )
        if not isinstance(root["complete"], bool):
            raise ValueError("complete is neither true nor false")
        return UnitList(parse_integer(root["revision"], MAX_REVISION), root["complete"], entries, incomplete)
    except PARSE_ERRORS as error:
        raise PayloadError(f"an unreadable list: {type(error).__name__} {error}") from None


def parse_build_state(fields: dict) -> BuildState:
    """Parses where a build stands. Raises PayloadError."""
    try:
        return BuildState(
            parse_integer(fields["build"]),
            parse_integer(fields["stage"]),
            STANDING_BY_PHASE[fields["phase"]],
            parse_number(fields["cap"], 1.0),
            parse_milliseconds(fields["age_ms"]),
        )
    except PARSE_ERRORS as error:
        raise PayloadError(f"an unreadable state: {type(error).__name__} {error}") from None


def progress(state: BuildState) -> tuple[int, int, int]:
    """Returns a key by which a later state is greater."""
    stage = state.stage if state.standing == face.ON_TRIAL else 0
    return state.build, STANDINGS_IN_ORDER.index(state.standing), stage


def lifts_cap(state: BuildState, known: BuildState) -> bool:
    """Returns whether an earlier state would lift a cap that the known one set.

    One that lifts nothing may be applied: a lower cap binds, whichever was written last.
    """
    return progress(state) < progress(known) and (state.build < known.build or state.cap > known.cap)


def parse_tally(fields: dict) -> Tally:
    """Parses sampled outcomes. Raises PayloadError."""
    try:
        return Tally(
            parse_milliseconds(fields["age_ms"]),
            parse_milliseconds(fields.get("mean_ms") or 0),
            parse_integer(fields["build"]),
            fields["class"],
            parse_integer(fields["failed"]),
            parse_integer(fields["count"]),
        )
    except PARSE_ERRORS as error:
        raise PayloadError(f"unreadable metrics: {type(error).__name__} {error}") from None


def vote_form(build: int, stage: int, verdict: int) -> dict[str, object]:
    """Returns the fields of a vote's request."""
    return {"Action": "CastVote", "build": build, "stage": stage, "verdict": VERDICT_WORDS[verdict]}


def parse_json(body: bytes) -> object:
    """Parses strict JSON: NaN and Infinity, which Python's parser accepts, raise PayloadError."""

    def refuse(name: str) -> None:
        raise PayloadError(f"{name} in a list")

    return json.loads(body, parse_constant=refuse)


def parse_vote_response(status: int, body: bytes) -> tuple[str, BuildState]:
    """Returns how a vote ended and the state that its response reports. Raises PayloadError."""
    try:
        root = ElementTree.fromstring(body)
    except (ElementTree.ParseError, ValueError, LookupError):
        raise PayloadError("an answer that is not XML") from None
    if status == 200:
        item = root.find("results/item")
        fields = {child.tag: child.text for child in (item if item is not None else ())}
        return face.COUNTED, parse_build_state(fields)
    code = root.findtext(".//Code")
    if code not in STATUS_BY_ERROR_CODE:
        raise PayloadError(f"status {status} with code {code}")
    return STATUS_BY_ERROR_CODE[code], NO_BUILD
