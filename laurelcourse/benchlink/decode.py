"""From the wire's messages to the module's settings and calls."""

import base64
import binascii
from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.benchlink.framing import Message, WireError
from laurelcourse.settings import Settings, SettingsError, SettingsTree, decode

STATUSES = {
    "done": face.OK,
    "err": face.FAILED,
    "busy": face.BUSY,
    "etimedout": face.TIMEOUT,
    "econnrefused": face.UNREACHABLE,
    "econnreset": face.RESET,
    "ecanceled": face.CANCELLED,
    "skipped": face.UNSENT,
}
ANSWERS = {
    "done": face.COUNTED,
    "skipped": face.VOID,
    "busy": face.REFUSED,
    "err": face.CALL_FAILED,
    "etimedout": face.UNANSWERED,
}
NEWS = {"D": face.CHANGES, "F": face.FULL_LIST, "C": face.CACHED, "X": face.WATCH_BROKEN}
HEALTH = {"Ready": face.READY, "Terminating": face.DRAINING, "Gone": face.GONE}
REPEATED = 2


def one_of(message: Message, field: str, words: dict[str, str]) -> str:
    word = message.text(field)
    if word not in words:
        raise message.unreadable(field)
    return words[word]


def nested(fields: dict[str, str]) -> dict:
    """Paths with their values as a tree; what stands under numbers, with a count, is a list."""
    root: dict = {}
    for path, value in fields.items():
        at, *steps = path.split(".")
        branch = root
        for step in steps:
            branch, at = branch.setdefault(at, {}), step
            if not isinstance(branch, dict):
                raise ValueError(path)
        branch[at] = value
    return listing(root)


def listing(branch: dict) -> dict | list:
    kept = {name: listing(value) if isinstance(value, dict) else value for name, value in branch.items()}
    count = kept.get("count")
    if isinstance(count, str) and count.isdecimal():
        return [kept[place] for place in map(str, range(int(count))) if place in kept]
    return kept


def settings(message: Message) -> Settings:
    try:
        return decode(SettingsTree(nested(message.fields)))
    except SettingsError as error:
        raise WireError(f"line {message.line}: {message.name} {error}") from None
    except ValueError as error:
        raise message.unreadable(str(error)) from None


def load(message: Message) -> dict[str, float]:
    report = {}
    for part in filter(None, message.fields.get("feedback", "").split(",")):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            raise message.unreadable("feedback") from None
    return report


def payload(message: Message) -> bytes:
    text = message.text("body")
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise message.unreadable("body") from None


def listed(message: Message) -> list[face.Listed]:
    return [
        face.Listed(
            unit=entry.whole("unit"),
            zone=entry.fields.get("failure_domain", ""),
            cell=entry.whole("block", 0),
            build=round(entry.number("image", 0)),
            health=one_of(entry, "health", HEALTH),
            size=entry.number("nominal", 1),
            started_at=entry.micros("since", 0) or face.START_UNKNOWN_US,
        )
        for entry in message.entries
    ]


def call(message: Message, lists: dict[int, list[face.Listed]]) -> Callable[..., list]:
    """What one event asks of an instance, as a function of the instance and the time."""
    get, name = message, message.name
    if name == "NEW_REQUEST":
        req, lane, left = get.text("corr"), get.text("lane"), get.micros("left")
        key = get.whole("key") if "key" in get.fields else None
        tenant, repeated = get.fields.get("tenant", ""), bool(get.whole("attrs", 0) & REPEATED)
        return lambda one, now: one.new_req(now, req, lane, tenant, key, left, repeated)
    if name == "OUTCOME":
        req, number, unit = get.text("corr"), get.whole("try"), get.whole("unit")
        status, lag, report = one_of(get, "disposition", STATUSES), get.micros("lag"), load(get)
        last = get.whole("last", 0) != 0
        return lambda one, now: one.outcome(now, req, number, unit, status, lag, last, report)
    if name == "WITHDRAWN":
        req = get.text("corr")
        return lambda one, now: one.withdrawn(now, req)
    if name == "ACK_FIRST":
        req, number = get.text("corr"), get.whole("try")
        return lambda one, now: one.streaming(now, req, number)
    if name == "DIRECTORY_UPDATE":
        how = one_of(get, "how", NEWS)
        if how != face.WATCH_BROKEN and get.whole("ref") not in lists:
            raise WireError(f"line {get.line}: no list has the number {get.whole('ref')}")
        entries = lists[get.whole("ref")] if how != face.WATCH_BROKEN else []
        return lambda one, now: one.directory(now, how, entries)
    if name == "TICK_DUE":
        token = get.text("nonce")
        return lambda one, now: one.timer(now, token)
    if name == "PONG":
        unit, status = get.whole("unit"), one_of(get, "disposition", STATUSES)
        lag, report = get.micros("lag", 0), load(get)
        return lambda one, now: one.probed(now, unit, status, lag, report)
    if name == "PEER":
        relay, body = get.whole("src"), payload(get)
        return lambda one, now: one.peer(now, relay, body)
    if name == "SHIP_STATE":
        status = one_of(get, "disposition", ANSWERS)
        build, stage, standing = get.whole("build", 0), get.whole("ring", 0), get.whole("standing", 0)
        answers, cap, since = get.whole("sense", 0) == 1, get.number("most_share", 0), get.micros("since", 0)
        return lambda one, now: one.stage(now, build, stage, standing, answers, status, cap, since)
    if name == "METRICS":
        since, lag, build = get.micros("since"), get.micros("lag", 0), get.whole("build")
        lane, bad, samples = get.text("lane"), get.whole("bad"), get.whole("samples")
        return lambda one, now: one.tally(now, since, lag, build, lane, bad, samples)
    if name == "COMPLAINT":
        unit, since, lane = get.whole("unit"), get.micros("since"), get.text("lane")
        return lambda one, now: one.complaint(now, unit, since, lane)
    raise WireError(f"line {message.line}: unknown message {name[:40]!r}")
