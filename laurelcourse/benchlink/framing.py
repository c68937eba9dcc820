"""Framing of the simulator's protocol: parses lines into batches of messages."""

import math
from collections.abc import Iterator
from typing import BinaryIO

TAB = "\t"

# Names of messages that frame others.
BATCH_START = "ROUND"
BATCH_END = "YOUR_TURN"
LIST = "PAGE"
ENTRY = "ENTRY"


class WireError(Exception):
    """The input is malformed; the message names the line."""


class Message:
    """One line: a name and fields, and the entries that follow a list."""

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
        """Returns a field. Raises WireError if it is missing."""
        value = self.fields.get(field)
        if value is None:
            raise WireError(f"line {self.line}: {self.name} lacks the field '{field}'")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """Returns an integer field. Raises WireError."""
        if default is not None and field not in self.fields:
            return default
        try:
            return int(self.text(field))
        except ValueError:
            raise self.unreadable(field) from None

    def number(self, field: str, default: float | None = None) -> float:
        """Returns a finite number. Raises WireError."""
        if default is not None and field not in self.fields:
            return default
        try:
            value = float(self.text(field))
        except ValueError:
            raise self.unreadable(field) from None
        if not math.isfinite(value):
            raise self.unreadable(field)
        return value

    def microseconds(self, field: str, default: float | None = None) -> int:
        """Returns a time given in milliseconds as microseconds. Raises WireError."""
        return round(self.number(field, default) * 1000)

    def unreadable(self, field: str) -> WireError:
        """Returns the error for a field whose value cannot be used."""
        return WireError(f"line {self.line}: {self.name} has an unreadable '{field}'")


def read_batches(stream: BinaryIO) -> Iterator[tuple[int, str, list[Message]]]:
    """Yields each batch's time in microseconds, its number as written, and its messages in order.

    Raises WireError.
    """
    start: Message | None = None
    messages: list[Message] = []
    entries_due = line_number = 0
    for raw_line in stream:
        line_number += 1
        try:
            text = raw_line.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {line_number}: not UTF-8") from None
        if not raw_line.endswith(b"\n"):
            raise WireError(f"line {line_number}: the input ends inside a line")
        if not text:
            continue
        message = Message(text, line_number)
        if (message.name == ENTRY) != (entries_due > 0):
            expected = "an ENTRY" if entries_due else "no ENTRY"
            raise WireError(f"line {line_number}: {message.name} where {expected} is due")
        if entries_due:
            messages[-1].entries.append(message)
            entries_due -= 1
        elif message.name == BATCH_START:
            if start is not None:
                raise WireError(f"line {line_number}: a batch begins inside another")
            start, messages = message, []
        elif start is None:
            raise WireError(f"line {line_number}: {message.name} outside a batch")
        elif message.name == BATCH_END:
            yield start.microseconds("moment"), str(start.integer("seq")), messages
            start = None
        else:
            messages.append(message)
            if message.name == LIST:
                entries_due = message.integer("nodes_list")
    if start is not None:
        raise WireError(f"line {line_number}: the input ends inside a batch")
