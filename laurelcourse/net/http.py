"""HTTP/1.1 as a caller needs it: requests, answers, chunks, event streams. Pure: no sockets."""

from typing import NamedTuple
from urllib.parse import parse_qsl, urlencode

FORM = "application/x-www-form-urlencoded"
MOST_HEAD = 16 << 10


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


def request(method: str, target: str, address: tuple[str, int], form: dict[str, object] | None = None,
            closes: bool = False) -> bytes:
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {target} HTTP/1.1", "Host: {}:{}".format(*address)]
    lines += [f"Content-Type: {FORM}", f"Content-Length: {len(body)}"] if form is not None else []
    lines += ["Connection: close"] if closes else []
    return "\r\n".join([*lines, "", ""]).encode() + body


def head(raw: bytes) -> Head:
    try:
        first, *lines = raw.decode("latin-1").split("\r\n")
        version, status, *_ = first.split(" ", 2)
        if not version.startswith("HTTP/1.") or len(status) != 3:
            raise ValueError(first)
        parts = (line.partition(":") for line in lines)
        return Head(int(status), {name.strip().lower(): value.strip() for name, _, value in parts})
    except ValueError:
        raise HttpError("an unreadable head") from None


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
                part = self.held[:self.left - 2]
                out.append(part)
                self.held, self.left = self.held[len(part):], self.left - len(part)
            elif self.left:
                if len(self.held) < self.left:
                    break
                if not self.held.startswith(b"\r\n"[2 - self.left:]):
                    raise HttpError("a chunk without its end")
                self.held, self.left = self.held[self.left:], 0
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
                try:
                    size = int(line.partition(b";")[0], 16)
                except ValueError:
                    raise HttpError("an unreadable chunk size") from None
                if size < 0:
                    raise HttpError("a chunk of negative size")
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
                if not length.isdigit():
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
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if not line:
                if self.data:
                    found.append((self.name, "\n".join(self.data)))
                self.name, self.data = "", []
            elif name == "event":
                self.name = value
            elif name == "data":
                self.data.append(value)
        return found


def form(words: str) -> dict[str, str]:
    return dict(parse_qsl(words, keep_blank_values=True))
