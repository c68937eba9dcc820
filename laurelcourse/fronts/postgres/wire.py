"""PostgreSQL's frontend/backend protocol, version 3: bytes in, values out, and back. No sockets."""

import re
import struct
from typing import NamedTuple

# Codes at the start of a connection, and the protocol's major version.
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102
VERSION_3 = 3

LENGTH = struct.Struct("!I")
INT32 = struct.Struct("!I")

# SQLSTATEs that clients are sent.
SYNTAX_ERROR = "42601"
INVALID_VALUE = "22023"
OUT_OF_RANGE = "22003"
PROTOCOL_VIOLATION = "08P01"
LIMIT_EXCEEDED = "54000"
NOT_SUPPORTED = "0A000"
TOO_MANY_CONNECTIONS = "53300"
CANNOT_CONNECT_NOW = "57P03"
SYSTEM_ERROR = "58000"
# Classes of codes by which a server blames the statement: feature not supported, data exception, syntax error
# or access rule violation (PostgreSQL 15 documentation, appendix A).
STATEMENT_FAULT_CLASSES = ("0A", "22", "42")

EXTENDED_QUERY_TYPES = frozenset(b"PBDECH")
MAX_WAIT_MS = 3_600_000

STATEMENT = re.compile(
    rb"(?:SELECT blob FROM rows WHERE handle = '([^'\\]{1,256})'"
    rb"|INSERT INTO rows \(handle, blob\) VALUES \('([^'\\]{1,256})', '\\x([0-9a-fA-F]*)'\)"
    rb" RETURNING blob)"
    rb" /\* ?([^*]{1,1024}?) ?\*/;?"
)
COMMENT_FIELDS = re.compile(rb"[^=, ]+=[^, ]*(?:,[^=, ]+=[^, ]*)*")
WAIT_FIELD = re.compile(rb"[*, ]d=")

# Types of messages that a unit may send, with their maximum length; None: as long as the reader allows.
MAX_LENGTH_BY_TYPE = {
    ord(letter): max_length
    for letter, max_length in (
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
COMMAND_TAG = re.compile(rb"(?:SELECT 1|INSERT 0 1|SHOW)\0")
SQLSTATE = re.compile(r"[0-9A-Z]{5}")
LOAD_FIELD = re.compile(r" *([^=, ]+) *= *(\d{1,15}(?:\.\d{1,15})?) *")

TYPE_AND_LENGTH_BYTES = 5
COMPLETE_ANSWER = "TDC"  # row description, data row, command complete


class ProtocolError(Exception):
    """What the other side sent cannot be accepted; `code` is the SQLSTATE for it."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FramingError(ProtocolError):
    """Where the next message begins is unknown."""


class Frame(NamedTuple):
    """Where a message stands in a buffer."""

    kind: int  # the type byte; 0 for a startup message
    begin: int  # of the payload
    end: int


class Statement(NamedTuple):
    """A client's query, as a req."""

    req: str
    route: str
    left_ms: int
    mark: str
    repeated: bool
    key: int | None
    before_wait: bytes  # the statement's bytes on both sides of the wait that it names
    after_wait: bytes

    def size(self) -> int:
        """Returns the bytes of its text, but for the wait."""
        return len(self.before_wait) + len(self.after_wait)

    def with_wait(self, wait_ms: int) -> bytes:
        """Returns the query to pass on, unchanged except for the time that the sender will wait."""
        return query(b"%b%d%b" % (self.before_wait, wait_ms, self.after_wait))


def parse_frame(
    data: bytearray | bytes, start: int, end: int, max_length: int, startup: bool = False
) -> Frame | None:
    """Returns the next message, or None while bytes are missing. Raises FramingError.

    A message that is too long is returned as soon as its length is known.
    """
    type_size = 0 if startup else 1
    if end - start < type_size + 4:
        return None
    length = LENGTH.unpack_from(data, start + type_size)[0]
    if length < (8 if startup else 4) or (startup and length > max_length):
        raise FramingError(PROTOCOL_VIOLATION, "a message of impossible length")
    frame = Frame(0 if startup else data[start], start + type_size + 4, start + type_size + length)
    return frame if length > max_length or frame.end <= end else None


def parse_unit_frame(data: bytearray, start: int, end: int, max_length: int) -> Frame | None:
    """Returns a unit's next complete message, or None. Raises FramingError for unknown types and lengths."""
    if end > start and data[start] not in MAX_LENGTH_BY_TYPE:
        raise FramingError(PROTOCOL_VIOLATION, "an unknown message")
    frame = parse_frame(data, start, end, max_length)
    if end - start >= TYPE_AND_LENGTH_BYTES and LENGTH.unpack_from(data, start + 1)[0] > (
        MAX_LENGTH_BY_TYPE[data[start]] or max_length
    ):
        raise FramingError(PROTOCOL_VIOLATION, "a message over the limit")
    return frame


def startup_code(payload: bytes) -> int:
    """Returns a request code of a startup message, or else the protocol's major version."""
    code = INT32.unpack_from(payload)[0]
    return code if code in (SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST) else code >> 16


def minor_version(payload: bytes) -> int:
    """Returns the protocol's minor version from a startup message."""
    return INT32.unpack_from(payload)[0] & 0xFFFF


def query_text(payload: bytes) -> bytes:
    """Returns a query's text without its closing zero. Raises ProtocolError."""
    if payload[-1:] != b"\0" or payload.find(b"\0") != len(payload) - 1:
        raise ProtocolError(PROTOCOL_VIOLATION, "a query that is not one string")
    return payload[:-1]


def parse_statement(sql: bytes) -> Statement:
    """Parses a query and the fields in its comment. Raises ProtocolError."""
    match = STATEMENT.fullmatch(sql)
    if not match or (match.end(3) - match.start(3)) % 2:
        raise ProtocolError(SYNTAX_ERROR, "not a statement that is served here")
    begin, end = match.span(4)
    pairs = match.group(4).split(b",")
    fields = dict(pair.split(b"=", 1) for pair in pairs) if COMMENT_FIELDS.fullmatch(sql, begin, end) else {}
    if len(fields) < len(pairs):
        raise ProtocolError(SYNTAX_ERROR, "the comment does not hold names, each with one value")
    for name in (b"id", b"c", b"d"):
        if not fields.get(name):
            raise ProtocolError(INVALID_VALUE, f"the comment lacks {name.decode()}")
    wait = fields[b"d"]
    if not wait.isdigit() or not 0 < int(wait) <= MAX_WAIT_MS:
        raise ProtocolError(OUT_OF_RANGE, "d is out of range")
    wait_start = WAIT_FIELD.search(sql, begin - 1, end).end()
    handle = (match.group(1) or match.group(2)).decode("latin-1")
    try:
        key = int(handle, 16) % (1 << 53)
    except ValueError:
        key = None
    return Statement(
        req=fields[b"id"].decode("latin-1"),
        route=fields[b"c"].decode("utf-8", "replace"),
        left_ms=int(wait),
        mark=fields.get(b"k", b"").decode("latin-1"),
        repeated=fields.get(b"r") == b"1",
        key=key,
        before_wait=sql[:wait_start],
        after_wait=sql[wait_start + len(wait) :],
    )


def message(kind: bytes, payload: bytes = b"") -> bytes:
    """Returns a message with its type and length."""
    return kind + LENGTH.pack(len(payload) + 4) + payload


def query(sql: bytes) -> bytes:
    """Returns a simple query."""
    return message(b"Q", sql + b"\0")


def startup(user: str, database: str) -> bytes:
    """Returns the first message to a unit."""
    words = b"".join(word.encode() + b"\0" for word in ("user", user, "database", database))
    payload = INT32.pack(VERSION_3 << 16) + words + b"\0"
    return LENGTH.pack(len(payload) + 4) + payload


def error(code: str, text: str, retry_after_ms: int = 0, fatal: bool = False) -> bytes:
    """Returns an error; a time to retry after stands in its detail field."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)]
    fields += [("D", str(retry_after_ms))] if retry_after_ms else []
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
PARAMETER_MESSAGES = b"".join(message(b"S", f"{name}\0{value}\0".encode()) for name, value in PARAMETERS)
WELCOME = message(b"R", INT32.pack(0)) + PARAMETER_MESSAGES + message(b"K", bytes(8)) + READY


def welcome(minor: int) -> bytes:
    """Returns the reply to a startup message; a client with a newer minor version is told this server's."""
    return (message(b"v", bytes(8)) if minor else b"") + WELCOME


def parse_error_fields(payload: bytes) -> dict[str, str]:
    """Returns an error's fields. Raises ProtocolError if they are malformed or hold no code."""
    parts = payload.decode("latin-1").split("\0")
    fields = {part[:1]: part[1:] for part in parts[:-2]}
    if (
        parts[-2:] != ["", ""]
        or len(fields) != len(parts) - 2
        or not ({"S", "C", "M"} <= fields.keys() and all(fields.values()) and SQLSTATE.fullmatch(fields["C"]))
    ):
        raise ProtocolError(PROTOCOL_VIOLATION, "an unreadable error")
    return fields


def parse_parameter(payload: bytes) -> tuple[str, str]:
    """Returns a parameter's name and value. Raises ProtocolError."""
    name, *value = payload.decode("latin-1").split("\0")
    if not name or len(value) != 2 or value[1]:
        raise ProtocolError(PROTOCOL_VIOLATION, "an unreadable parameter")
    return name, value[0]


def parse_load_report(text: str) -> dict[str, float]:
    """Parses `name=number` pairs separated by commas; with any unreadable one, returns none."""
    matches = [LOAD_FIELD.fullmatch(part) for part in text.split(",")]
    return {match[1]: float(match[2]) for match in matches} if all(matches) else {}


class Answer:
    """What a unit answers to one query, message by message."""

    __slots__ = ("code", "fatal", "load", "ready", "row_messages", "stage")
    lag = None

    def __init__(self) -> None:
        self.row_messages: list[bytes] = []
        self.stage = ""  # types of the row's messages so far
        self.code = ""  # of an error
        self.ready = self.fatal = False
        self.load: dict[str, float] = {}

    def take(self, raw: bytes, load_parameter: str) -> None:
        """Takes one message. Raises ProtocolError if an answer may not hold it."""
        letter = raw[:1]
        if letter in b"TDC":
            self.stage += letter.decode()
            if self.code or not COMPLETE_ANSWER.startswith(self.stage):
                raise ProtocolError(PROTOCOL_VIOLATION, f"message {letter!r} out of place")
            # One column with a name; a value as long as the message says, not null; a tag of one row.
            if letter == b"T":
                well_formed = raw[5:7] == b"\0\1" and 7 < raw.find(b"\0", 7) == len(raw) - 19
            elif letter == b"D":
                well_formed = len(raw) >= 11 and raw[5:11] == b"\0\1" + INT32.pack(len(raw) - 11)
            else:
                well_formed = COMMAND_TAG.fullmatch(raw, 5)
            if not well_formed:
                raise ProtocolError(PROTOCOL_VIOLATION, "a row of another shape")
            self.row_messages.append(raw)
        elif letter == b"Z":
            self.ready = raw[5:] == b"I" and (bool(self.code) or self.stage == COMPLETE_ANSWER)
            if not self.ready:
                raise ProtocolError(PROTOCOL_VIOLATION, "ready without a whole answer")
        elif letter == b"E":
            if self.code or self.stage == COMPLETE_ANSWER:
                raise ProtocolError(PROTOCOL_VIOLATION, "an error out of place")
            fields = parse_error_fields(raw[5:])
            self.code, self.fatal = fields["C"], fields["S"] in ("FATAL", "PANIC")
        elif letter == b"S":
            name, value = parse_parameter(raw[5:])
            self.load = parse_load_report(value) if name == load_parameter else self.load
        elif letter not in b"NA":
            raise ProtocolError(PROTOCOL_VIOLATION, f"message {letter!r} out of place")

    @property
    def begun(self) -> bool:
        """Whether a part of the row or an error has arrived."""
        return bool(self.stage or self.code)

    def whole(self) -> bytes | None:
        """Returns the row's messages as they came, for the client; None unless they are complete."""
        return b"".join(self.row_messages) if self.stage == COMPLETE_ANSWER and not self.code else None

    def row(self) -> bytes:
        """Returns the row's value, or nothing."""
        return self.row_messages[1][11:] if len(self.row_messages) > 1 else b""
