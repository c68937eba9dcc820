"""The wire's framing: lines in, batches out; lines back, one reply a batch."""

from collections.abc import Iterator
from typing import BinaryIO

TAB = "\t"
OPENING, CLOSING, LIST, ENTRY = "ROUND", "YOUR_TURN", "PAGE", "ENTRY"
TEXT_FIELDS = ("note_text",)


class WireError(Exception):
    """Something on the wire that this adapter can't take, said in one plain line."""


class Message:
    __slots__ = ("entries", "fields", "line", "name")

    def __init__(self, text: str, line: int) -> None:
        parts = text.split(TAB)
        self.name, self.line = parts[0], line
        self.fields: dict[str, str] = {}
        self.entries: list[Message] = []
        for part in parts[1:]:
            name, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"line {line}: a field of {self.name} has no '='")
            self.fields[name] = value

    def text(self, field: str) -> str:
        value = self.fields.get(field)
        if value is None:
            raise WireError(f"line {self.line}: {self.name} lacks the field '{field}'")
        return value

    def whole(self, field: str, absent: int | None = None) -> int:
        if absent is not None and field not in self.fields:
            return absent
        try:
            return int(self.text(field))
        except ValueError:
            raise self.unreadable(field) from None

    def number(self, field: str, absent: float | None = None) -> float:
        if absent is not None and field not in self.fields:
            return absent
        try:
            value = float(self.text(field))
        except ValueError:
            raise self.unreadable(field) from None
        if value - value != 0:
            raise self.unreadable(field)
        return value

    def micros(self, field: str, absent: float | None = None) -> int:
        return round(self.number(field, absent) * 1000)

    def unreadable(self, field: str) -> WireError:
        return WireError(f"line {self.line}: {self.name} has an unreadable '{field}'")


def batches(stream: BinaryIO) -> Iterator[tuple[int, str, list[Message]]]:
    """Each batch's clock in microseconds, its number as written, and its messages in order."""
    opening: Message | None = None
    messages: list[Message] = []
    awaited = number = 0
    for raw in stream:
        number += 1
        try:
            text = raw.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {number}: not UTF-8") from None
        if not raw.endswith(b"\n"):
            raise WireError(f"line {number}: the input ends inside a line")
        if not text:
            continue
        message = Message(text, number)
        if (message.name == ENTRY) != (awaited > 0):
            due = "an ENTRY" if awaited else "no ENTRY"
            raise WireError(f"line {number}: {message.name} where {due} is due")
        if awaited:
            messages[-1].entries.append(message)
            awaited -= 1
        elif message.name == OPENING:
            if opening is not None:
                raise WireError(f"line {number}: a batch begins inside another")
            opening, messages = message, []
        elif opening is None:
            raise WireError(f"line {number}: {message.name} outside a batch")
        elif message.name == CLOSING:
            yield opening.micros("moment"), str(opening.whole("seq")), messages
            opening = None
        else:
            messages.append(message)
            if message.name == LIST:
                awaited = message.whole("nodes_list")
    if opening is not None:
        raise WireError(f"line {number}: the input ends inside a batch")
