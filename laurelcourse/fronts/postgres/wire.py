"""PostgreSQL's wire protocol, version 3: bytes in, values out, and back. No sockets."""

import re
import struct
from typing import NamedTuple

SSL, GSS, CANCEL, VERSION_3 = 80877103, 80877104, 80877102, 3
LENGTH, WORD, SHORT = struct.Struct("!I"), struct.Struct("!I"), struct.Struct("!H")

SYNTAX, BAD_VALUE, OUT_OF_RANGE, VIOLATION = "42601", "22023", "22003", "08P01"
TOO_LONG, UNSUPPORTED, TURNED_AWAY, STARTING, SYSTEM = "54000", "0A000", "53300", "57P03", "58000"
# Classes of codes by which a server blames the statement: feature not supported, data exception, syntax error
# or access rule violation (PostgreSQL 15 documentation, appendix A).
BLAMES_STATEMENT = ("0A", "22", "42")
EXTENDED = frozenset(b"PBDECH")
LONGEST_WAIT_MS = 3_600_000

STATEMENT = re.compile(
    rb"(?:SELECT blob FROM rows WHERE handle = '([^'\\]{1,256})'"
    rb"|INSERT INTO rows \(handle, blob\) VALUES \('([^'\\]{1,256})', '\\x([0-9a-fA-F]*)'\)"
    rb" RETURNING blob)"
    rb" /\* ?([^*]{1,1024}?) ?\*/;?"
)
FIELDS = re.compile(rb"[^=, ]+=[^, ]*(?:,[^=, ]+=[^, ]*)*")
TIME = re.compile(rb"[*, ]d=")


# What a unit may send, and how long each message may be said to be; a row as long as the reader allows.
LONGEST = {
    ord(letter): most
    for letter, most in (
        ("R", 4096),
        ("S", 8192),
        ("K", 64),
        ("Z", 5),
        ("T", 4096),
        ("D", None),
        ("C", 64),
        ("E", 8192),
        ("N", 8192),
        ("A", 8192),
    )
}
TAG = re.compile(rb"(?:SELECT 1|INSERT 0 1|SHOW)\0")
CODE = re.compile(r"[0-9A-Z]{5}")
LOAD = re.compile(r" *([^=, ]+) *= *(\d{1,15}(?:\.\d{1,15})?) *")


class ProtocolError(Exception):
    """What the other side sent can't be taken; `code` is its SQLSTATE."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FramingError(ProtocolError):
    """Nothing behind it can be told apart any more."""


class Frame(NamedTuple):
    kind: int  # the type byte; 0 for a startup message
    begin: int  # of the payload
    end: int


class Statement(NamedTuple):
    req: str
    route: str
    left_ms: int
    mark: str
    repeated: bool
    key: int | None
    before: bytes  # the statement's bytes on both sides of the time it names
    after: bytes

    def waiting(self, ms: int) -> bytes:
        """The query that passes on: unchanged but for the time that the sender will wait."""
        return query(b"%b%d%b" % (self.before, ms, self.after))


def frame(data: bytearray | bytes, start: int, end: int, most: int, startup: bool = False) -> Frame | None:
    """The next message, or None while bytes are missing; the caller may skip one that is too long."""
    head = 0 if startup else 1
    if end - start < head + 4:
        return None
    length = LENGTH.unpack_from(data, start + head)[0]
    if length < (8 if startup else 4) or (startup and length > most):
        raise FramingError(VIOLATION, "a message of impossible length")
    found = Frame(0 if startup else data[start], start + head + 4, start + head + length)
    return found if length > most or found.end <= end else None


def frame_of_unit(data: bytearray, start: int, end: int, most: int) -> Frame | None:
    """A unit's next whole message; noise and lengths that don't fit are told from its head."""
    if end > start and data[start] not in LONGEST:
        raise FramingError(VIOLATION, "an unknown message")
    found = frame(data, start, end, most)
    if end - start >= 5 and LENGTH.unpack_from(data, start + 1)[0] > (LONGEST[data[start]] or most):
        raise FramingError(VIOLATION, "a message over the limit")
    return found


def code_of_startup(payload: bytes) -> int:
    """SSL, GSS or CANCEL as they are; else the protocol's major version."""
    code = WORD.unpack_from(payload)[0]
    return code if code in (SSL, GSS, CANCEL) else code >> 16


def minor_version(payload: bytes) -> int:
    return WORD.unpack_from(payload)[0] & 0xFFFF


def text(payload: bytes) -> bytes:
    """What a query holds, without its closing zero."""
    if payload[-1:] != b"\0" or payload.find(b"\0") != len(payload) - 1:
        raise ProtocolError(VIOLATION, "a query that is not one string")
    return payload[:-1]


def statement(sql: bytes) -> Statement:
    found = STATEMENT.fullmatch(sql)
    if not found or (found.end(3) - found.start(3)) % 2:
        raise ProtocolError(SYNTAX, "not a statement that is served here")
    begin, end = found.span(4)
    pairs = found.group(4).split(b",")
    fields = dict(pair.split(b"=", 1) for pair in pairs) if FIELDS.fullmatch(sql, begin, end) else {}
    if len(fields) < len(pairs):
        raise ProtocolError(SYNTAX, "the comment does not hold names, each with one value")
    for name in (b"id", b"c", b"d"):
        if not fields.get(name):
            raise ProtocolError(BAD_VALUE, f"the comment lacks {name.decode()}")
    wait = fields[b"d"]
    if not wait.isdigit() or not 0 < int(wait) <= LONGEST_WAIT_MS:
        raise ProtocolError(OUT_OF_RANGE, "d is out of range")
    place = TIME.search(sql, begin - 1, end).end()
    key = (found.group(1) or found.group(2)).decode("latin-1")
    try:
        number = int(key, 16) % (1 << 53)
    except ValueError:
        number = None
    return Statement(
        req=fields[b"id"].decode("latin-1"),
        route=fields[b"c"].decode("utf-8", "replace"),
        left_ms=int(wait),
        mark=fields.get(b"k", b"").decode("latin-1"),
        repeated=fields.get(b"r") == b"1",
        key=number,
        before=sql[:place],
        after=sql[place + len(wait) :],
    )


def message(kind: bytes, payload: bytes = b"") -> bytes:
    return kind + LENGTH.pack(len(payload) + 4) + payload


def query(sql: bytes) -> bytes:
    return message(b"Q", sql + b"\0")


def startup(user: str, database: str) -> bytes:
    words = b"".join(word.encode() + b"\0" for word in ("user", user, "database", database))
    payload = WORD.pack(VERSION_3 << 16) + words + b"\0"
    return LENGTH.pack(len(payload) + 4) + payload


def error(code: str, words: str, back_ms: int = 0, fatal: bool = False) -> bytes:
    level = "FATAL" if fatal else "ERROR"
    fields = [("S", level), ("V", level), ("C", code), ("M", words)]
    fields += [("D", str(back_ms))] if back_ms else []
    return message(b"E", b"".join(f"{name}{value}".encode() + b"\0" for name, value in fields) + b"\0")


READY = message(b"Z", b"I")
EMPTY = message(b"I")
PARAMETERS = (
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
    ("DateStyle", "ISO, MDY"),
)


TOLD = b"".join(message(b"S", f"{name}\0{value}\0".encode()) for name, value in PARAMETERS)
WELCOME = message(b"R", WORD.pack(0)) + TOLD + message(b"K", bytes(8)) + READY


def welcome(minor: int) -> bytes:
    """Of a newer minor version the client is told that this one holds."""
    return (message(b"v", bytes(8)) if minor else b"") + WELCOME


def fields_of_error(payload: bytes) -> dict[str, str]:
    """An error's fields; raises unless they stand as they must and hold a code."""
    parts = payload.decode("latin-1").split("\0")
    found = {part[:1]: part[1:] for part in parts[:-2]}
    if (
        parts[-2:] != ["", ""]
        or len(found) != len(parts) - 2
        or not ({"S", "C", "M"} <= found.keys() and all(found.values()) and CODE.fullmatch(found["C"]))
    ):
        raise ProtocolError(VIOLATION, "an unreadable error")
    return found


def parameter(payload: bytes) -> tuple[str, str]:
    name, *value = payload.decode("latin-1").split("\0")
    if not name or len(value) != 2 or value[1]:
        raise ProtocolError(VIOLATION, "an unreadable parameter")
    return name, value[0]


def report(words: str) -> dict[str, float]:
    """A load report: `name=number` set apart by commas; with anything unreadable in it, none."""
    found = [LOAD.fullmatch(part) for part in words.split(",")]
    return {one[1]: float(one[2]) for one in found} if all(found) else {}


class Answer:
    """What a unit answers to one query, message by message."""

    __slots__ = ("code", "fatal", "kept", "load", "ready", "stage")
    lag = None

    def __init__(self) -> None:
        self.kept: list[bytes] = []
        self.stage = self.code = ""
        self.ready = self.fatal = False
        self.load: dict[str, float] = {}

    def take(self, raw: bytes, parameter_of_load: str) -> None:
        """One message; raises on what no answer may hold."""
        letter = raw[:1]
        if letter in b"TDC":
            self.stage += letter.decode()
            if self.code or not "TDC".startswith(self.stage):
                raise ProtocolError(VIOLATION, f"message {letter!r} out of place")
            # One column with a name; the row's as long as the message says, not null; a tag of one row.
            if letter == b"T":
                right = raw[5:7] == b"\0\1" and 7 < raw.find(b"\0", 7) == len(raw) - 19
            elif letter == b"D":
                right = len(raw) >= 11 and raw[5:11] == b"\0\1" + WORD.pack(len(raw) - 11)
            else:
                right = TAG.fullmatch(raw, 5)
            if not right:
                raise ProtocolError(VIOLATION, "a row of another shape")
            self.kept.append(raw)
        elif letter == b"Z":
            self.ready = raw[5:] == b"I" and (bool(self.code) or self.stage == "TDC")
            if not self.ready:
                raise ProtocolError(VIOLATION, "ready without a whole answer")
        elif letter == b"E":
            if self.code or self.stage == "TDC":
                raise ProtocolError(VIOLATION, "an error out of place")
            fields = fields_of_error(raw[5:])
            self.code, self.fatal = fields["C"], fields["S"] in ("FATAL", "PANIC")
        elif letter == b"S":
            name, words = parameter(raw[5:])
            self.load = report(words) if name == parameter_of_load else self.load
        elif letter not in b"NA":
            raise ProtocolError(VIOLATION, f"message {letter!r} out of place")

    @property
    def begun(self) -> bool:
        return bool(self.stage or self.code)

    def whole(self) -> bytes | None:
        """The row as it came, for the client."""
        return b"".join(self.kept) if self.stage == "TDC" and not self.code else None

    def row(self) -> bytes:
        return self.kept[1][11:] if len(self.kept) > 1 else b""
