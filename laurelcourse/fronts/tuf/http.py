"""HTTP/1.1 for this front: what a client's head may hold, and what it gets back. Pure: bytes in, values out.

h11 parses and writes (RFC 9112); before it sees a head, shapes that two parsers might read in two ways are
refused here: bare line ends, folded lines, two lengths, a length beside a transfer coding.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

import h11

MOST_HEAD, MOST_LINE, MOST_FIELDS = 16 << 10, 8 << 10, 64
END = b"\r\n\r\n"
ONE_RANGE = re.compile(r"bytes=(?:([0-9]{1,18})-([0-9]{1,18})?|-([0-9]{1,18}))")
LENGTH = re.compile(rb"[0-9]{1,12}")
SPAN = re.compile(r"bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})")
SEGMENT = re.compile(r"[^\x00-\x1f\x7f\\]+")
REASONS = {
    200: "OK",
    206: "Partial Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    416: "Range Not Satisfiable",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class BadRequestError(Exception):
    """What a client sent can't be taken; `status` is the answer that it gets, and the connection closes."""

    def __init__(self, status: int, words: str) -> None:
        super().__init__(words)
        self.status = status


class Head(NamedTuple):
    method: str
    target: str  # as it came, percent-encoded
    fields: dict[str, str]
    length: int  # of the body
    stays: bool  # whether the connection stays open after the answer
    parser: h11.Connection

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


def end_of_head(data: bytes | bytearray, start: int, end: int) -> int | None:
    """Where the head that begins at `start` is over; None while it is not, which is bounded."""
    found = data.find(END, start, end)
    if found >= 0 and found + len(END) - start <= MOST_HEAD:
        return found + len(END)
    if found < 0 and end - start <= MOST_HEAD:
        # A bare line end never ends a head here: it is told at once, not waited behind.
        if b"\n" in data[start:end].replace(b"\r\n", b""):
            raise BadRequestError(400, "a bare line end")
        if b"\r\n" not in data[start:end] and end - start > MOST_LINE:
            raise BadRequestError(414, "a request line without end")
        return None
    raise BadRequestError(431, "a head without end")


def head(raw: bytes) -> Head:
    """A whole head, up to its empty line."""
    first, *lines = raw[: -len(END)].split(b"\r\n")
    if len(first) > MOST_LINE:
        raise BadRequestError(414, "a request line too long")
    if len(lines) > MOST_FIELDS:
        raise BadRequestError(431, "too many fields")
    if any(byte in line for line in (first, *lines) for byte in (b"\r", b"\n", b"\0")):
        raise BadRequestError(400, "a bare line end or a zero byte")
    names = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name[:1] in b" \t" or name[-1:] in b" \t":
            raise BadRequestError(400, "a folded or unreadable field")
        names.append(name.lower())
        if names[-1] == b"content-length" and not LENGTH.fullmatch(value.strip(b" \t")):
            raise BadRequestError(400, "an unreadable length")  # h11 takes a list of equal ones
    if names.count(b"content-length") > 1 or names.count(b"host") > 1:
        raise BadRequestError(400, "two lengths or hosts")
    if b"transfer-encoding" in names:
        # Nothing that this front takes needs one: a manifest names its length.
        both = b"content-length" in names
        raise BadRequestError(400 if both else 411, "a transfer coding" + " beside a length" * both)
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
    try:
        parser.receive_data(raw)
        event = parser.next_event()
    except h11.RemoteProtocolError as error:
        raise BadRequestError(400, str(error)) from None
    if not isinstance(event, h11.Request):
        raise BadRequestError(400, "no request")
    fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
    length = fields.get("content-length", "0")
    target = event.target.decode("latin-1")
    if not target.startswith("/"):
        raise BadRequestError(400, "a target that is no path")
    closes = "close" in fields.get("connection", "").lower() or event.http_version != b"1.1"
    return Head(event.method.decode("latin-1"), target, fields, int(length), not closes, parser)


def segments(path: str) -> str:
    """A path decoded, or a fault: no empty, dotted or odd segments, so that it names one file everywhere."""
    try:
        found = unquote(path, errors="strict") if path.isascii() else ""
    except UnicodeDecodeError:
        raise BadRequestError(404, "no such path") from None
    parts = found.split("/")
    if any(not SEGMENT.fullmatch(one) or one in (".", "..") for one in parts):
        raise BadRequestError(404, "no such path")
    return found


def wanted(fields: dict[str, str], length: int, etag: str) -> tuple[int, int] | None:
    """The one range that is asked for, both ends included (RFC 9110, 14.2); None for the whole. Raises 416
    for a range outside the file; several ranges, other units and a failed If-Range ask for the whole."""
    given = fields.get("range")
    if given is None or fields.get("if-range", etag) != etag:
        return None
    found = ONE_RANGE.fullmatch(given.strip())
    if not found:
        return None
    first, last, suffix = found.groups()
    if suffix is not None:
        span = max(length - int(suffix), 0), length - 1
        if not int(suffix):
            raise BadRequestError(416, "an empty range")
    else:
        span = int(first), min(int(last), length - 1) if last is not None else length - 1
        if last is not None and int(last) < int(first):
            return None
    if span[0] >= length:
        raise BadRequestError(416, "a range outside the file")
    return span


def span_of(fields: dict[str, str]) -> tuple[int, int, int] | None:
    """A Content-Range: first, last, whole length; None if it can't be read."""
    found = SPAN.fullmatch(fields.get("content-range", ""))
    return (int(found[1]), int(found[2]), int(found[3])) if found else None


def answer(head: Head | None, status: int, fields: dict[str, str], length: int, stays: bool) -> bytes:
    """An answer's head, for a body of this length."""
    parser = head.parser if head else h11.Connection(h11.SERVER)
    told = [("Content-Length", str(length)), *fields.items()]
    told += [] if stays else [("Connection", "close")]
    reason = REASONS.get(status, "").encode()
    return parser.send(h11.Response(status_code=status, reason=reason, headers=told))


def request(
    method: str, path: str, host: str, via: str, fields: dict[str, str], body: bytes
) -> tuple[h11.Connection, bytes]:
    """A request to a mirror, and the parser for its answer. `via` names the relay (RFC 9110, 7.6.3)."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
    told = [("Host", host), ("Via", f"1.1 {via}"), ("Accept-Encoding", "identity"), *fields.items()]
    told += [("Content-Length", str(len(body)))] if body or method == "POST" else []
    raw = parser.send(h11.Request(method=method, target=path, headers=told))
    raw += parser.send(h11.Data(data=body)) or b"" if body else b""
    return parser, raw + (parser.send(h11.EndOfMessage()) or b"")
