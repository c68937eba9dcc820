"""Decodes the simulator's messages into the module's settings and calls."""

import base64
import binascii
from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.benchlink.framing import Message, WireError
from laurelcourse.settings import Settings, SettingsError, SettingsTree, decode

TRY_STATUSES = {
    "done": face.OK,
    "err": face.FAILED,
    "busy": face.BUSY,
    "etimedout": face.TIMEOUT,
    "econnrefused": face.UNREACHABLE,
    "econnreset": face.RESET,
    "ecanceled": face.CANCELLED,
    "skipped": face.UNSENT,
}
VOTE_STATUSES = {
    "done": face.COUNTED,
    "skipped": face.VOID,
    "busy": face.REFUSED,
    "err": face.CALL_FAILED,
    "etimedout": face.UNANSWERED,
}
DIRECTORY_EVENTS = {"D": face.CHANGES, "F": face.FULL_LIST, "C": face.CACHED, "X": face.WATCH_BROKEN}
HEALTH_BY_PHASE = {"Ready": face.READY, "Terminating": face.DRAINING, "Gone": face.GONE}
REPEATED_FLAG = 2  # in a new req's attributes


def one_of(message: Message, field: str, words: dict[str, str]) -> str:
    """Returns what a field's word stands for. Raises WireError."""
    word = message.text(field)
    if word not in words:
        raise message.unreadable(field)
    return words[word]


def nest(fields: dict[str, str]) -> dict | list:
    """Returns dotted paths and their values as a tree; numbered branches with a count become lists.

    Raises ValueError if a path runs through a value.
    """
    root: dict = {}
    for path, value in fields.items():
        name, *rest = path.split(".")
        branch = root
        for next_name in rest:
            branch, name = branch.setdefault(name, {}), next_name
            if not isinstance(branch, dict):
                raise ValueError(path)
        branch[name] = value
    return convert_lists(root)


def convert_lists(branch: dict) -> dict | list:
    """Returns a branch with its numbered parts converted to lists."""
    converted = {
        name: convert_lists(value) if isinstance(value, dict) else value for name, value in branch.items()
    }
    count = converted.get("count")
    if isinstance(count, str) and count.isdecimal():
        return [converted[index] for index in map(str, range(int(count))) if index in converted]
    return converted


def decode_settings(message: Message) -> Settings:
    """Returns an instance's settings. Raises WireError."""
    try:
        return decode(SettingsTree(nest(message.fields)))
    except SettingsError as error:
        raise WireError(f"line {message.line}: {message.name} {error}") from None
    except ValueError as error:
        raise message.unreadable(str(error)) from None


def decode_load(message: Message) -> dict[str, float]:
    """Returns a unit's load report. Raises WireError."""
    report = {}
    for part in filter(None, message.fields.get("feedback", "").split(",")):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            raise message.unreadable("feedback") from None
    return report


def decode_payload(message: Message) -> bytes:
    """Returns a datagram's bytes. Raises WireError."""
    text = message.text("body")
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        raise message.unreadable("body") from None


def decode_list(message: Message) -> list[face.Listed]:
    """Returns the units of a list. Raises WireError."""
    return [
        face.Listed(
            unit=entry.integer("unit"),
            zone=entry.fields.get("failure_domain", ""),
            cell=entry.integer("block", 0),
            build=round(entry.number("image", 0)),
            health=one_of(entry, "health", HEALTH_BY_PHASE),
            size=entry.number("nominal", 1),
            started_at=entry.microseconds("since", 0) or face.START_UNKNOWN_US,
        )
        for entry in message.entries
    ]


def decode_event(message: Message, lists: dict[int, list[face.Listed]]) -> Callable[..., list]:
    """Returns the call that an event makes, as a function of the instance and the time. Raises WireError."""
    name = message.name
    if name == "NEW_REQUEST":
        req, lane, left = message.text("corr"), message.text("lane"), message.microseconds("left")
        key = message.integer("key") if "key" in message.fields else None
        tenant, repeated = message.fields.get("tenant", ""), bool(message.integer("attrs", 0) & REPEATED_FLAG)
        return lambda instance, now: instance.new_req(now, req, lane, tenant, key, left, repeated)
    if name == "OUTCOME":
        req, number, unit = message.text("corr"), message.integer("try"), message.integer("unit")
        status, lag, report = (
            one_of(message, "disposition", TRY_STATUSES),
            message.microseconds("lag"),
            decode_load(message),
        )
        last = message.integer("last", 0) != 0
        return lambda instance, now: instance.outcome(now, req, number, unit, status, lag, last, report)
    if name == "WITHDRAWN":
        req = message.text("corr")
        return lambda instance, now: instance.withdrawn(now, req)
    if name == "ACK_FIRST":
        req, number = message.text("corr"), message.integer("try")
        return lambda instance, now: instance.streaming(now, req, number)
    if name == "DIRECTORY_UPDATE":
        how = one_of(message, "how", DIRECTORY_EVENTS)
        if how != face.WATCH_BROKEN and message.integer("ref") not in lists:
            raise WireError(f"line {message.line}: no list has the number {message.integer('ref')}")
        entries = lists[message.integer("ref")] if how != face.WATCH_BROKEN else []
        return lambda instance, now: instance.directory(now, how, entries)
    if name == "TICK_DUE":
        token = message.text("nonce")
        return lambda instance, now: instance.timer(now, token)
    if name == "PONG":
        unit, status = message.integer("unit"), one_of(message, "disposition", TRY_STATUSES)
        lag, report = message.microseconds("lag", 0), decode_load(message)
        return lambda instance, now: instance.probed(now, unit, status, lag, report)
    if name == "PEER":
        relay, body = message.integer("src"), decode_payload(message)
        return lambda instance, now: instance.peer(now, relay, body)
    if name == "SHIP_STATE":
        status = one_of(message, "disposition", VOTE_STATUSES)
        build, stage, standing = (
            message.integer("build", 0),
            message.integer("ring", 0),
            message.integer("standing", 0),
        )
        answers, cap, since = (
            message.integer("sense", 0) == 1,
            message.number("most_share", 0),
            message.microseconds("since", 0),
        )
        return lambda instance, now: instance.stage(now, build, stage, standing, answers, status, cap, since)
    if name == "METRICS":
        since, lag, build = (
            message.microseconds("since"),
            message.microseconds("lag", 0),
            message.integer("build"),
        )
        lane, bad, samples = message.text("lane"), message.integer("bad"), message.integer("samples")
        return lambda instance, now: instance.tally(now, since, lag, build, lane, bad, samples)
    if name == "COMPLAINT":
        unit, since, lane = message.integer("unit"), message.microseconds("since"), message.text("lane")
        return lambda instance, now: instance.complaint(now, unit, since, lane)
    raise WireError(f"line {message.line}: unknown message {name[:40]!r}")
