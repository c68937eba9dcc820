"""HTTP/1.1 for this front: parses request heads, builds responses. Pure: bytes in, values out.

h11 parses and writes (RFC 9112). Before it gets a head, forms that two parsers might read in different ways
are refused here: bare line ends, folded lines, two lengths, a length beside a transfer coding.
"""

import re
from typing import NamedTuple
from urllib.parse import unquote

import h11

MAX_HEAD_BYTES = 16 << 10
MAX_LINE_BYTES = 8 << 10
MAX_FIELDS = 64
HEAD_END = b"\r\n\r\n"
RANGE = re.compile(r"bytes=(?:([0-9]{1,18})-([0-9]{1,18})?|-([0-9]{1,18}))")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,12}")
CONTENT_RANGE = re.compile(r"bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})")
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
    """A client's request can't be handled; `status` is its answer."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestHead(NamedTuple):
    """The head of a client's request."""

    method: str
    target: str  # as received, percent-encoded
    fields: dict[str, str]
    length: int  # of the body
    stays: bool  # the connection stays open after the answer
    parser: h11.Connection

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


def find_head_end(data: bytes | bytearray, start: int, end: int) -> int | None:
    """Returns where the head that begins at `start` ends; None while it is incomplete.

    Raises BadRequestError if it is too long or has a bare line end.
    """
    at = data.find(HEAD_END, start, end)
    if at >= 0 and at + len(HEAD_END) - start <= MAX_HEAD_BYTES:
        return at + len(HEAD_END)
    if at < 0 and end - start <= MAX_HEAD_BYTES:
        # A bare line end never ends a head here: it is refused at once, instead of waiting for more.
        if b"\n" in data[start:end].replace(b"\r\n", b""):
            raise BadRequestError(400, "a bare line end")
        if b"\r\n" not in data[start:end] and end - start > MAX_LINE_BYTES:
            raise BadRequestError(414, "a request line without end")
        return None
    raise BadRequestError(431, "a head without end")


def parse_head(raw: bytes) -> RequestHead:
    """Parses a whole head, up to its empty line. Raises BadRequestError."""
    _check_lines(raw)
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
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
    return RequestHead(event.method.decode("latin-1"), target, fields, int(length), not closes, parser)


def _check_lines(raw: bytes) -> None:
    """Raises BadRequestError for what two parsers might read in different ways."""
    first, *lines = raw[: -len(HEAD_END)].split(b"\r\n")
    if len(first) > MAX_LINE_BYTES:
        raise BadRequestError(414, "a request line too long")
    if len(lines) > MAX_FIELDS:
        raise BadRequestError(431, "too many fields")
    if any(byte in line for line in (first, *lines) for byte in (b"\r", b"\n", b"\0")):
        raise BadRequestError(400, "a bare line end or a zero byte")
    names = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name[:1] in b" \t" or name[-1:] in b" \t":
            raise BadRequestError(400, "a folded or unreadable field")
        names.append(name.lower())
        if names[-1] == b"content-length" and not CONTENT_LENGTH.fullmatch(value.strip(b" \t")):
            raise BadRequestError(400, "an unreadable length")  # h11 accepts a list of equal ones
    if names.count(b"content-length") > 1 or names.count(b"host") > 1:
        raise BadRequestError(400, "two lengths or hosts")
    if b"transfer-encoding" in names:
        # Nothing that this front accepts needs one: a manifest has a length.
        has_both = b"content-length" in names
        raise BadRequestError(400 if has_both else 411, "a transfer coding" + " beside a length" * has_both)


def decode_path(path: str) -> str:
    """Decodes a path. Raises BadRequestError for empty, dotted or odd segments: it must name one file."""
    try:
        decoded = unquote(path, errors="strict") if path.isascii() else ""
    except UnicodeDecodeError:
        raise BadRequestError(404, "no such path") from None
    segments = decoded.split("/")
    if any(not SEGMENT.fullmatch(segment) or segment in (".", "..") for segment in segments):
        raise BadRequestError(404, "no such path")
    return decoded


def requested_range(fields: dict[str, str], length: int, etag: str) -> tuple[int, int] | None:
    """Returns the range asked for, both ends included (RFC 9110, 14.2); None for the whole.

    Several ranges, other units and a failed If-Range ask for the whole. Raises BadRequestError (416) for a
    range outside the file.
    """
    given = fields.get("range")
    if given is None or fields.get("if-range", etag) != etag:
        return None
    match = RANGE.fullmatch(given.strip())
    if not match:
        return None
    first, last, suffix = match.groups()
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


def parse_content_range(fields: dict[str, str]) -> tuple[int, int, int] | None:
    """Returns first, last and whole length of a Content-Range; None if it can't be read."""
    match = CONTENT_RANGE.fullmatch(fields.get("content-range", ""))
    return (int(match[1]), int(match[2]), int(match[3])) if match else None


def build_response(
    head: RequestHead | None, status: int, fields: dict[str, str], length: int, stays: bool
) -> bytes:
    """Returns a response's head, for a body of this length."""
    parser = head.parser if head else h11.Connection(h11.SERVER)
    headers = [("Content-Length", str(length)), *fields.items()]
    headers += [] if stays else [("Connection", "close")]
    reason = REASONS.get(status, "").encode()
    return parser.send(h11.Response(status_code=status, reason=reason, headers=headers))


def build_request(
    method: str, path: str, host: str, via: str, fields: dict[str, str], body: bytes
) -> tuple[h11.Connection, bytes]:
    """Returns a request to a mirror, and the parser for its response.

    `via` names the relay (RFC 9110, 7.6.3).
    """
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    headers = [("Host", host), ("Via", f"1.1 {via}"), ("Accept-Encoding", "identity"), *fields.items()]
    headers += [("Content-Length", str(len(body)))] if body or method == "POST" else []
    raw = parser.send(h11.Request(method=method, target=path, headers=headers))
    raw += parser.send(h11.Data(data=body)) or b"" if body else b""
    return parser, raw + (parser.send(h11.EndOfMessage()) or b"")
