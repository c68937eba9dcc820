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
PHASES = {
    "Progressing": face.ON_TRIAL,
    "Aborting": face.GOING_BACK,
    "Healthy": face.RELEASED,
    "Aborted": face.WITHDRAWN,
}
COMES = (face.ON_TRIAL, face.RELEASED, face.GOING_BACK, face.WITHDRAWN)  # in the order in which a build does
VERDICTS = {face.NO_VOTE: "blank", face.VOTE_ON: "go", face.VOTE_HOLD: "stay", face.VOTE_BACK: "stop"}
ENDS = {"limit": face.REFUSED, "moot": face.VOID, "error": face.BROKE, "malformed": face.BROKE}
HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")  # what a socket takes without a fault
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
    bare: tuple[str, ...] = ()  # ids of those that are to serve, but lack what a send needs


NOWHERE = State(0, 0, face.ON_TRIAL, 0.0, 0)


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not HOST.fullmatch(host) or not (port.isascii() and port.isdigit()) or not 0 < int(port[:6]) < 65536:
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
    """An absent value is omitted (wire), or null: a unit may be of no known zone. One without build or
    address is held as leaving: not gone, as the list names it; not sent to, as its build may be another."""
    one = {name: value for name, value in one.items() if value is not None}
    health, where, build = HEALTH[one["phase"]], one.get("host_port"), one.get("revision_no")
    sendable = build is not None and where is not None
    listed = face.Listed(
        unit=number(words(one["id"])),
        zone=words(one["locality"]) if one.get("locality", "") != "" else "",
        cell=whole(one.get("cell", 0)),
        build=0 if build is None else whole(build),
        health=face.DRAINING if health == face.READY and not sendable else health,
        size=part(one.get("size", 1), MOST_WHOLE),
        since=micros(one.get("up_since_ms", 0)) or face.LONG_AGO,
    )
    found = None if where is None or (health == face.GONE and not where) else address(where)
    return listed, found if sendable else None


def members(root: dict) -> Members:
    try:
        entries = [member(one) for one in root["members"]]
        bare = tuple(
            one["id"]
            for one, (listed, _) in zip(root["members"], entries, strict=True)
            if HEALTH[one["phase"]] != listed.health
        )
        if not isinstance(root["complete"], bool):
            raise ValueError("complete is neither true nor false")
        return Members(whole(root["revision"], MOST_REVISION), root["complete"], entries, bare)
    except UNREADABLE as error:
        raise FormError(f"an unreadable list: {type(error).__name__} {error}") from None


def state(fields: dict) -> State:
    try:
        return State(
            whole(fields["build"]),
            whole(fields["stage"]),
            PHASES[fields["phase"]],
            part(fields["cap"], 1.0),
            micros(fields["age_ms"]),
        )
    except UNREADABLE as error:
        raise FormError(f"an unreadable state: {type(error).__name__} {error}") from None


def progress(told: State) -> tuple[int, int, int]:
    """How far builds have come: of two states, the later has the greater."""
    stage = told.stage if told.standing == face.ON_TRIAL else 0
    return told.build, COMES.index(told.standing), stage


def lifts(told: State, known: State) -> bool:
    """Whether an earlier state would lift a cap that a later one set. One that lifts nothing may be taken: a
    lower cap binds, whichever was written last."""
    return progress(told) < progress(known) and (told.build < known.build or told.cap > known.cap)


def tally(fields: dict) -> Tally:
    try:
        return Tally(
            micros(fields["age_ms"]),
            micros(fields.get("mean_ms") or 0),
            whole(fields["build"]),
            fields["class"],
            whole(fields["failed"]),
            whole(fields["count"]),
        )
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
