"""What the directory and the deployer tell, as values; what can't be read raises FormError."""

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
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"'{text}' is not an address")
    return host, int(port)


def micros(ms: object) -> int:
    return round(float(ms) * 1000)


def number(name: str) -> int:
    """A unit's number: the same at every relay, and below 2^32."""
    return zlib.crc32(name.encode())


def member(one: dict) -> tuple[face.Listed, Address | None]:
    health = HEALTH[one["phase"]]
    where = one.get("host_port")
    listed = face.Listed(
        unit=number(one["id"]), zone=str(one["locality"]), cell=int(one.get("cell", 0)),
        build=int(one["revision_no"]), health=health, size=float(one.get("size", 1)),
        since=micros(one.get("up_since_ms", 0)) or face.LONG_AGO)
    return listed, None if health == face.GONE and not where else address(where)


def members(root: dict) -> Members:
    try:
        entries = [member(one) for one in root["members"]]
        return Members(int(root["revision"]), bool(root["complete"]), entries)
    except UNREADABLE as error:
        raise FormError(f"an unreadable list: {type(error).__name__} {error}") from None


def state(fields: dict) -> State:
    try:
        return State(int(fields["build"]), int(fields["stage"]), PHASES[fields["phase"]],
                     float(fields["cap"]), micros(fields["age_ms"]))
    except UNREADABLE as error:
        raise FormError(f"an unreadable state: {type(error).__name__} {error}") from None


def tally(fields: dict) -> Tally:
    try:
        return Tally(micros(fields["age_ms"]), micros(fields.get("mean_ms") or 0), int(fields["build"]),
                     fields["class"], int(fields["failed"]), int(fields["count"]))
    except UNREADABLE as error:
        raise FormError(f"unreadable metrics: {type(error).__name__} {error}") from None


def vote(build: int, stage: int, verdict: int) -> dict[str, object]:
    return {"Action": "CastVote", "build": build, "stage": stage, "verdict": VERDICTS[verdict]}


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
