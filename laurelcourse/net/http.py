"""HTTP/1.1 for a client: requests, responses, chunked bodies, event streams. Pure: no sockets."""

import re
from typing import NamedTuple
from urllib.parse import parse_qsl, urlencode

FORM_TYPE = "application/x-www-form-urlencoded"
MAX_HEAD_BYTES = 16 << 10
CRLF = b"\r\n"
STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\x00-\x1f\x7f]*)?")
HEADER_LINE = re.compile(r"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*")
CONTENT_LENGTH = re.compile(r"[0-9]{1,12}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
EVENT_NAME = re.compile(r"[a-z_]+")
STATUSES_WITHOUT_BODY = (204, 304)


class HttpError(Exception):
    """What the other side sent cannot be parsed."""


class Head(NamedTuple):
    """A response's status and headers, with lower-case names."""

    status: int
    fields: dict[str, str]

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return "chunked" in self.fields.get("transfer-encoding", "").lower()

    @property
    def closes(self) -> bool:
        """Whether the server closes the connection after this response."""
        return "close" in self.fields.get("connection", "").lower()


def request(
    method: str,
    target: str,
    address: tuple[str, int],
    form: dict[str, object] | None = None,
    closes: bool = False,
) -> bytes:
    """Returns a request; `closes` asks the server to close the connection after its response."""
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {target} HTTP/1.1", "Host: {}:{}".format(*address)]
    lines += [f"Content-Type: {FORM_TYPE}", f"Content-Length: {len(body)}"] if form is not None else []
    lines += ["Connection: close"] if closes else []
    return "\r\n".join([*lines, "", ""]).encode() + body


def parse_head(raw: bytes) -> Head:
    """Parses a response's head without the empty line behind it. Raises HttpError."""
    first_line, *lines = raw.decode("latin-1").split("\r\n")
    status, fields = STATUS_LINE.fullmatch(first_line), [HEADER_LINE.fullmatch(line) for line in lines]
    if not status or not all(fields):
        raise HttpError("an unreadable head")
    return Head(int(status[1]), {field[1].lower(): field[2] for field in fields})


class ChunkParser:
    """Parses a chunked body, however it is split."""

    def __init__(self) -> None:
        self.unparsed, self.done = b"", False
        self.left = 0  # bytes of the current chunk, its line end included
        self.in_trailer = False

    def feed(self, data: bytes) -> bytes:
        """Returns the content of the body that the data completes. Raises HttpError."""
        self.unparsed += data
        parts = []
        while self.unparsed and not self.done:
            if self.left > len(CRLF):
                part = self.unparsed[: self.left - len(CRLF)]
                parts.append(part)
                self.unparsed, self.left = self.unparsed[len(part) :], self.left - len(part)
            elif self.left:
                if len(self.unparsed) < self.left:
                    break
                if not self.unparsed.startswith(CRLF[len(CRLF) - self.left :]):
                    raise HttpError("a chunk without its end")
                self.unparsed, self.left = self.unparsed[self.left :], 0
            else:
                line, ending, rest = self.unparsed.partition(CRLF)
                if not ending:
                    if len(self.unparsed) > MAX_HEAD_BYTES:
                        raise HttpError("a chunk's size without end")
                    break
                self.unparsed = rest
                if self.in_trailer:
                    self.done = not line
                    continue
                if not (match := CHUNK_SIZE_LINE.fullmatch(line)):
                    raise HttpError("an unreadable chunk size")
                size = int(match[1], 16)
                self.in_trailer, self.left = size == 0, size + len(CRLF) if size else 0
        return b"".join(parts)


class Response:
    """One response, fed as it arrives. `body` holds what of it was parsed and not yet taken."""

    def __init__(self, max_body: int) -> None:
        self.max_body, self.unparsed, self.body = max_body, b"", bytearray()
        self.head: Head | None = None
        self.chunks: ChunkParser | None = None
        self.content_length: int | None = None
        self.done = False

    def feed(self, data: bytes) -> None:
        """Parses more bytes. Raises HttpError."""
        if self.head is None:
            self.unparsed += data
            raw_head, ending, data = self.unparsed.partition(b"\r\n\r\n")
            if not ending:
                if len(self.unparsed) > MAX_HEAD_BYTES:
                    raise HttpError("a head without end")
                return
            self.unparsed, self.head = b"", parse_head(raw_head)
            self.chunks = ChunkParser() if self.head.chunked else None
            length = self.head.fields.get("content-length")
            if length is not None and self.chunks is None:
                if not CONTENT_LENGTH.fullmatch(length):
                    raise HttpError("an unreadable length")
                self.content_length = int(length)
            if self.head.status in STATUSES_WITHOUT_BODY:
                self.content_length = 0
        if self.chunks:
            self.body += self.chunks.feed(data)
            self.done, extra = self.chunks.done, self.chunks.done and self.chunks.unparsed
        elif self.content_length is not None:
            self.body += data
            extra = len(self.body) > self.content_length
            self.done = len(self.body) >= self.content_length
        else:
            self.body += data
            extra = False
        if len(self.body) > self.max_body or extra:
            raise HttpError("a body longer than it may be")

    def end_of_stream(self) -> None:
        """The other side has closed, which ends a body without a length."""
        self.done |= self.head is not None and self.chunks is None and self.content_length is None

    def take(self) -> bytes:
        """Consumes and returns the parsed part of the body."""
        taken = bytes(self.body)
        self.body.clear()
        return taken


class EventParser:
    """Parses an event stream, however it is split. Comment lines only keep the connection alive."""

    def __init__(self, max_line: int) -> None:
        self.max_line, self.unparsed, self.name, self.data = max_line, b"", "", []

    def feed(self, data: bytes) -> list[tuple[str, str]]:
        """Returns the names and data of the events that the bytes complete. Raises HttpError."""
        *lines, self.unparsed = (self.unparsed + data).split(b"\n")
        if len(self.unparsed) > self.max_line:
            raise HttpError("an event's line without end")
        events = []
        for raw_line in lines:
            try:
                line = raw_line.rstrip(b"\r").decode()
            except UnicodeDecodeError:
                raise HttpError("an event of other bytes") from None
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if not line:
                if self.data and not EVENT_NAME.fullmatch(self.name):
                    raise HttpError("an event without a name")
                if self.data:
                    events.append((self.name, "\n".join(self.data)))
                self.name, self.data = "", []
            elif name == "event":
                self.name = value
            elif name == "data":
                self.data.append(value)
            elif name not in ("", "id", "retry"):
                raise HttpError("an unreadable line in an event")
        return events


def parse_form(text: str) -> dict[str, str]:
    """Parses a URL-encoded form."""
    return dict(parse_qsl(text, keep_blank_values=True))
