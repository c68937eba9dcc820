"""What the directory and the deployer tell, as values; what can't be read raises FormError."""

import json
import math
import re
import zlib
from typing import NamedTuple
from xml.etree import ElementTree

from laurelcourse import interface as face

Address = tuple[str, int]
HEALTH = {"active": face.READY, "leaving": face.DRAINING, "left": face.GONE}
PHASES = {"Progressing": face.ON_TRIAL, "Aborting": face.GOING_BACK, "Healthy": face.RELEASED,
          "Aborted": face.WITHDRAWN}
VERDICTS = {face.NO_VOTE: "blank", face.VOTE_ON: "go", face.VOTE_HOLD: "stay", face.VOTE_BACK: "stop"}
ENDS = {"limit": face.REFUSED, "moot": face.VOID, "error": face.BROKE, "malformed": face.BROKE}
DECIMAL = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,20})?(?:[eE]-?[0-9]{1,2})?")
MOST_WHOLE, MOST_MS, MOST_REVISION = (1 << 32) - 1, 1 << 45, (1 << 53) - 1  # a datagram's word holds 32 bits
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class FormError(Exception):
    """What is wrong with what was told."""


class State(NamedTuple):
    """Where a build stands, and for how long."""

    build: int
    stage: int
    standing: int
    cap: float
    since: int


class Tally(NamedTuple):
    since: int
    lag: int
    build: int
    route: str
    failed: int
    counted: int


class Members(NamedTuple):
    revision: int
    whole: bool
    entries: list[tuple[face.Listed, Address | None]]


NOWHERE = State(0, 0, face.ON_TRIAL, 0.0, 0)


def address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port[:6]) < 65536:
        raise ValueError(f"'{text}' is not an address")
    return host, int(port)


def part(value: object, most: float) -> float:
    """A number as JSON or a form holds it: finite, and from 0 to the most."""
    if isinstance(value, bool) or (isinstance(value, str) and not DECIMAL.fullmatch(value)):
        raise ValueError(f"{value!r} is not a number")
    found = float(value)
    if not math.isfinite(found) or not 0 <= found <= most:
        raise ValueError(f"{value!r} is out of range")
    return found


def whole(value: object, most: int = MOST_WHOLE) -> int:
    found = part(value, most)
    if found != int(found):
        raise ValueError(f"{value!r} is not a whole number")
    return int(found)


def micros(ms: object) -> int:
    return round(part(ms, MOST_MS) * 1000)


def words(value: object) -> str:
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"{value!r} is not a word")
    return value


def number(name: str) -> int:
    """A unit's number: the same at every relay, and below 2^32."""
    return zlib.crc32(name.encode())


def member(one: dict) -> tuple[face.Listed, Address | None]:
    health = HEALTH[one["phase"]]
    where = one.get("host_port")
    listed = face.Listed(
        unit=number(words(one["id"])), zone=words(one["locality"]), cell=whole(one.get("cell", 0)),
        build=whole(one["revision_no"]), health=health, size=part(one.get("size", 1), MOST_WHOLE),
        since=micros(one.get("up_since_ms", 0)) or face.LONG_AGO)
    return listed, None if health == face.GONE and not where else address(where)


def members(root: dict) -> Members:
    try:
        entries = [member(one) for one in root["members"]]
        if not isinstance(root["complete"], bool):
            raise ValueError("complete is neither true nor false")
        return Members(whole(root["revision"], MOST_REVISION), root["complete"], entries)
    except UNREADABLE as error:
        raise FormError(f"an unreadable list: {type(error).__name__} {error}") from None


def state(fields: dict) -> State:
    try:
        return State(whole(fields["build"]), whole(fields["stage"]), PHASES[fields["phase"]],
                     part(fields["cap"], 1.0), micros(fields["age_ms"]))
    except UNREADABLE as error:
        raise FormError(f"an unreadable state: {type(error).__name__} {error}") from None


def tally(fields: dict) -> Tally:
    try:
        return Tally(micros(fields["age_ms"]), micros(fields.get("mean_ms") or 0), whole(fields["build"]),
                     fields["class"], whole(fields["failed"]), whole(fields["count"]))
    except UNREADABLE as error:
        raise FormError(f"unreadable metrics: {type(error).__name__} {error}") from None


def vote(build: int, stage: int, verdict: int) -> dict[str, object]:
    return {"Action": "CastVote", "build": build, "stage": stage, "verdict": VERDICTS[verdict]}


def decoded(body: bytes) -> object:
    """JSON alone: Python's reader would take NaN and Infinity too."""
    def refuse(name: str) -> None:
        raise FormError(f"{name} in a list")
    return json.loads(body, parse_constant=refuse)


def end_of_vote(status: int, body: bytes) -> tuple[str, State]:
    """What a vote's answer says: its end, and the state it tells."""
    try:
        root = ElementTree.fromstring(body)
    except (ElementTree.ParseError, ValueError, LookupError):
        raise FormError("an answer that is not XML") from None
    if status == 200:
        item = root.find("results/item")
        return face.COUNTED, state({part.tag: part.text for part in (item if item is not None else ())})
    code = root.findtext(".//Code")
    if code not in ENDS:
        raise FormError(f"status {status} with code {code}")
    return ENDS[code], NOWHERE
