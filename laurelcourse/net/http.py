"""HTTP/1.1 as a caller needs it: requests, answers, chunks, event streams. Pure: no sockets."""

import re
from typing import NamedTuple
from urllib.parse import parse_qsl, urlencode

FORM = "application/x-www-form-urlencoded"
MOST_HEAD = 16 << 10
FIRST = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\x00-\x1f\x7f]*)?")
FIELD = re.compile(r"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*")
LENGTH, SIZE = re.compile(r"[0-9]{1,12}"), re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")
WORD = re.compile(r"[a-z_]+")


class HttpError(Exception):
    """What the other side sent can't be read."""


class Head(NamedTuple):
    status: int
    fields: dict[str, str]

    @property
    def chunked(self) -> bool:
        return "chunked" in self.fields.get("transfer-encoding", "").lower()

    @property
    def closes(self) -> bool:
        return "close" in self.fields.get("connection", "").lower()


def request(
    method: str,
    target: str,
    address: tuple[str, int],
    form: dict[str, object] | None = None,
    closes: bool = False,
) -> bytes:
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {target} HTTP/1.1", "Host: {}:{}".format(*address)]
    lines += [f"Content-Type: {FORM}", f"Content-Length: {len(body)}"] if form is not None else []
    lines += ["Connection: close"] if closes else []
    return "\r\n".join([*lines, "", ""]).encode() + body


def head(raw: bytes) -> Head:
    first, *lines = raw.decode("latin-1").split("\r\n")
    status, fields = FIRST.fullmatch(first), [FIELD.fullmatch(line) for line in lines]
    if not status or not all(fields):
        raise HttpError("an unreadable head")
    return Head(int(status[1]), {field[1].lower(): field[2] for field in fields})


class Chunks:
    """Takes a chunked body apart, however it is split."""

    def __init__(self) -> None:
        self.held, self.left, self.done = b"", 0, False
        self.trailing = False

    def feed(self, data: bytes) -> bytes:
        self.held += data
        out = []
        while self.held and not self.done:
            if self.left > 2:
                part = self.held[: self.left - 2]
                out.append(part)
                self.held, self.left = self.held[len(part) :], self.left - len(part)
            elif self.left:
                if len(self.held) < self.left:
                    break
                if not self.held.startswith(b"\r\n"[2 - self.left :]):
                    raise HttpError("a chunk without its end")
                self.held, self.left = self.held[self.left :], 0
            else:
                line, ending, rest = self.held.partition(b"\r\n")
                if not ending:
                    if len(self.held) > MOST_HEAD:
                        raise HttpError("a chunk's size without end")
                    break
                self.held = rest
                if self.trailing:
                    self.done = not line
                    continue
                if not (said := SIZE.fullmatch(line)):
                    raise HttpError("an unreadable chunk size")
                size = int(said[1], 16)
                self.trailing, self.left = size == 0, size + 2 if size else 0
        return b"".join(out)


class Response:
    """One answer, fed as it comes. `body` holds what of it has been read and not taken."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.body = most, b"", bytearray()
        self.head: Head | None = None
        self.chunks: Chunks | None = None
        self.left: int | None = None
        self.done = False

    def feed(self, data: bytes) -> None:
        if self.head is None:
            self.held += data
            raw, ending, data = self.held.partition(b"\r\n\r\n")
            if not ending:
                if len(self.held) > MOST_HEAD:
                    raise HttpError("a head without end")
                return
            self.held, self.head = b"", head(raw)
            self.chunks = Chunks() if self.head.chunked else None
            length = self.head.fields.get("content-length")
            if length is not None and self.chunks is None:
                if not LENGTH.fullmatch(length):
                    raise HttpError("an unreadable length")
                self.left = int(length)
            if self.head.status in (204, 304):
                self.left = 0
        if self.chunks:
            self.body += self.chunks.feed(data)
            self.done, extra = self.chunks.done, self.chunks.done and self.chunks.held
        elif self.left is not None:
            self.body += data
            extra = len(self.body) > self.left
            self.done = len(self.body) >= self.left
        else:
            self.body += data
            extra = False
        if len(self.body) > self.most or extra:
            raise HttpError("a body longer than it may be")

    def ended(self) -> None:
        """The other side closed: the end of a body without a length."""
        self.done |= self.head is not None and self.chunks is None and self.left is None

    def take(self) -> bytes:
        taken = bytes(self.body)
        self.body.clear()
        return taken


class Events:
    """An event stream's events, however it is split; comment lines are signs of life alone."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.name, self.data = most, b"", "", []

    def feed(self, data: bytes) -> list[tuple[str, str]]:
        *lines, self.held = (self.held + data).split(b"\n")
        if len(self.held) > self.most:
            raise HttpError("an event's line without end")
        found = []
        for raw in lines:
            try:
                line = raw.rstrip(b"\r").decode()
            except UnicodeDecodeError:
                raise HttpError("an event of other bytes") from None
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if not line:
                if self.data and not WORD.fullmatch(self.name):
                    raise HttpError("an event without a name")
                if self.data:
                    found.append((self.name, "\n".join(self.data)))
                self.name, self.data = "", []
            elif name == "event":
                self.name = value
            elif name == "data":
                self.data.append(value)
            elif name not in ("", "id", "retry"):
                raise HttpError("an unreadable line in an event")
        return found


def form(words: str) -> dict[str, str]:
    return dict(parse_qsl(words, keep_blank_values=True))
