"""Converts the fleet's forms to protobuf messages and back. No gRPC and no I/O: pure modules may use it.

A form (a NamedTuple of `keeper/messages.py`, `books/forms.py`, `orders.py`) and its message have fields of
the same names. Both are walked once, when this module is loaded; a difference raises TypeError. Numbers are 0
to 2^63 - 1, in values also below 0; texts have a largest size. Whatever can't be read or written raises
UnreadableError or TooLargeError and nothing else. Fields unknown to this version are ignored.
"""

import types
from collections.abc import Callable
from typing import NamedTuple, Union, get_args, get_origin, get_type_hints

from google.protobuf.message import DecodeError, EncodeError, Message
from google.protobuf.message_factory import GetMessageClass

from laurelcourse.fleet import orders
from laurelcourse.fleet.books import forms as books
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.errors import (
    FleetError,
    OtherFleetError,
    OtherVersionError,
    TooLargeError,
    UnreadableError,
)
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.fleet.workflows import definition

# Versions of the protocol: the least that is read, and the one that is written.
MIN_VERSION = 1
VERSION = 1
MINOR = 0

MAX_NUMBER = (1 << 63) - 1
MAX_TEXT_BYTES = 4096
MAX_DEPTH = 8  # of values within values
MAX_UTF8_BYTES = 4  # of one character
MAX_ENTRY_BYTES = 1 << 30
QUOTED_CHARACTERS = 40  # of an unknown text, in an error

# Fields that hold one of a few texts.
KNOWN_TEXTS = {
    (keeper.Entry, "kind"): (keeper.NOOP, keeper.BOOKS, keeper.KEEPERS),
    (books.Budget, "kind"): (books.RATE, books.LEVEL, books.COUNT),
}
# By the names of their fields in `Message`.
KEEPER_MESSAGES = {
    "ask_vote": keeper.AskVote,
    "vote": keeper.Vote,
    "append": keeper.Append,
    "appended": keeper.Appended,
    "piece": keeper.Piece,
    "piece_taken": keeper.PieceTaken,
    "take_over": keeper.TakeOver,
    "hello": keeper.Hello,
    "known": keeper.Known,
}
# By the names of their fields in `What`.
COMMANDS = {
    "open": books.Open,
    "close": books.Close,
    "lapse": books.Lapse,
    "define": books.Define,
    "grant": books.Grant,
    "give_back": books.GiveBack,
    "limits": books.Limits,
    "begin": books.Begin,
    "intend": books.Intend,
    "result": books.Result,
    "leave": books.Leave,
    "settle": books.Settle,
    "adopt": books.Adopt,
    "places": books.Places,
    "shrink": books.Shrink,
    "recall": books.Recall,
    "reserve": books.Reserve,
    "move": books.Move,
    "resume": books.Resume,
    "progress": books.Progress,
    "commit": books.Commit,
    "free": books.Free,
}
FORMS = (
    keeper.Entry,
    keeper.Snapshot,
    keeper.Mark,
    *KEEPER_MESSAGES.values(),
    books.Fence,
    *COMMANDS.values(),
    definition.Send,
    definition.Step,
    definition.Definition,
    books.Budget,
    books.Command,
    books.Batch,
    books.Done,
    orders.Submit,
    orders.Beat,
    orders.Share,
    orders.Renewed,
    orders.Question,
    books.Link,
    books.Site,
    books.Job,
    books.Stretch,
)

Converters = tuple[Callable, Callable]  # of a form's value to the message's, and back


def unreadable(to: str, fault: str) -> UnreadableError:
    """Returns the error for a form or message that can't be converted."""
    return UnreadableError(to, fault=fault)


def _number(where: str) -> Converters:
    def both(value: object) -> int:
        if type(value) is not int or not 0 <= value <= MAX_NUMBER:
            raise unreadable(where, "a number out of range")
        return value

    return both, both


def _flag(where: str) -> Converters:
    def write(value: object) -> bool:
        if type(value) is not bool:
            raise unreadable(where, "not true or false")
        return value

    return write, lambda value: value


def _bytes(where: str) -> Converters:
    def write(value: object) -> bytes:
        if type(value) is not bytes:
            raise unreadable(where, "not bytes")
        return value

    return write, lambda value: value


def _text(where: str, known: tuple[str, ...] | None = None) -> Converters:
    def both(value: object) -> str:
        if type(value) is not str:
            raise unreadable(where, "not a text")
        # Only a text that may be too long is encoded for its length, since every name passes here.
        if (
            MAX_UTF8_BYTES * len(value) > MAX_TEXT_BYTES
            and (size := len(value.encode("utf-8", "replace"))) > MAX_TEXT_BYTES
        ):
            raise TooLargeError(where, size=size, at_most=MAX_TEXT_BYTES)
        if known is not None and value not in known:
            raise unreadable(where, f"no such kind '{value[:QUOTED_CHARACTERS]}'")
        return value

    return both, both


def _write_value(value: object, where: str, depth: int = MAX_DEPTH) -> Message:
    if type(value) is int and -MAX_NUMBER <= value <= MAX_NUMBER:
        return wire.Value(number=value)
    if type(value) is str:
        return wire.Value(text=_text(where)[0](value))
    if type(value) is books.Fence:
        return wire.Value(fence=_write(value))
    if isinstance(value, tuple) and depth:
        return wire.Value(many=wire.Values(values=[_write_value(item, where, depth - 1) for item in value]))
    raise unreadable(where, "neither a number in range, a text, a fence nor a tuple of them")


def _read_value(value: Message, where: str, depth: int = MAX_DEPTH) -> object:
    which = value.WhichOneof("one")
    if which == "number" and value.number >= -MAX_NUMBER:
        return value.number
    if which == "text":
        return _text(where)[1](value.text)
    if which == "fence":
        return _read(books.Fence, value.fence)
    if which == "many" and depth:
        return tuple([_read_value(item, where, depth - 1) for item in value.many.values])
    raise unreadable(where, "a value of no known kind")


def _result(where: str) -> Converters:
    """Returns converters for `Done.value`: a tuple, perhaps a Fence."""

    def read(value: Message) -> tuple:
        if value.WhichOneof("one") is None:
            return ()
        result = _read_value(value, where)
        if not isinstance(result, tuple):
            raise unreadable(where, "not a tuple")
        return result

    def write(value: object) -> Message:
        if not isinstance(value, tuple):
            raise unreadable(where, "not a tuple")
        return _write_value(value, where) if value else wire.Value()

    return write, read


def _figure(where: str) -> Converters:
    """Returns converters for a figure of an error: an int or a str."""

    def read(value: Message) -> int | str:
        result = _read_value(value, where)
        if isinstance(result, tuple):
            raise unreadable(where, "neither a number nor a text")
        return result

    def write(value: object) -> Message:
        if isinstance(value, tuple):
            raise unreadable(where, "neither a number nor a text")
        return _write_value(value, where)

    return write, read


def _many(item: Converters, where: str) -> Converters:
    write_item, read_item = item

    def write(values: object) -> list:
        if not isinstance(values, tuple):
            raise unreadable(where, "not a tuple")
        return [write_item(value) for value in values]

    return write, lambda values: tuple([read_item(value) for value in values])


def _pair(hints: tuple, kind: type[Message], where: str) -> Converters:
    first, second = kind.DESCRIPTOR.fields
    write_first, read_first = _converters(hints[0], first, where)
    write_second, read_second = _converters(hints[1], second, where)

    def write(pair: object) -> Message:
        if not isinstance(pair, tuple) or len(pair) != 2:
            raise unreadable(where, "not a pair")
        return kind(**{first.name: write_first(pair[0]), second.name: write_second(pair[1])})

    return write, lambda pair: (
        read_first(getattr(pair, first.name)),
        read_second(getattr(pair, second.name)),
    )


def _one_of(kinds: dict[str, type], message: type[Message], where: str) -> Converters:
    names = {kind: name for name, kind in kinds.items()}

    def write(form: object) -> Message:
        if type(form) not in names:
            raise unreadable(where, "of no known kind")
        return message(**{names[type(form)]: _write(form)})

    def read(wrapper: Message) -> object:
        name = wrapper.WhichOneof("one")
        if name is None:
            raise unreadable(where, "of no kind that this version knows")
        return _read(kinds[name], getattr(wrapper, name))

    return write, read


def _form(kind: type, where: str) -> Converters:
    def write(form: object) -> Message:
        if type(form) is not kind:
            raise unreadable(where, f"not a {kind.__name__}")
        return _write(form)

    return write, lambda message: _read(kind, message)


def _converters(hint: object, field: object, where: str, known: tuple[str, ...] | None = None) -> Converters:
    """Returns the converters of a field by its type hint."""
    simple = {int: _number, bool: _flag, bytes: _bytes, tuple: _result, int | str: _figure}
    if hint is str:
        return _text(where, known)
    if hint in simple:
        return simple[hint](where)
    if get_origin(hint) is tuple:
        inner = get_args(hint)
        kind = GetMessageClass(field.message_type) if field.message_type else None
        if inner[-1] is Ellipsis:
            is_pair = get_origin(inner[0]) is tuple
            item = _pair(get_args(inner[0]), kind, where) if is_pair else _converters(inner[0], field, where)
            return _many(item, where)
    if hint == books.What:
        return _one_of(COMMANDS, wire.What, where)
    if get_origin(hint) in (Union, types.UnionType):
        return _form(next(inner for inner in get_args(hint) if inner is not type(None)), where)
    return _form(hint, where)


# Fields that are not sent.
LOCAL_FIELDS = {(orders.Beat, "asked_at"), (orders.Submit, "asked_at")}


class Field(NamedTuple):
    """How one field of a form is converted."""

    name: str
    write: Callable
    read: Callable
    is_message: bool
    is_optional: bool


class Layout(NamedTuple):
    """A form's message and fields."""

    message: type[Message]
    fields: tuple[Field, ...]


def _layout(form: type, message: type[Message]) -> Layout:
    hints, fields = get_type_hints(form), message.DESCRIPTOR.fields_by_name
    hints = {name: hint for name, hint in hints.items() if (form, name) not in LOCAL_FIELDS}
    if set(hints) != set(fields):
        raise TypeError(f"{form.__name__} and its message differ: {sorted(set(hints) ^ set(fields))}")
    rows = []
    for name, hint in hints.items():
        write, read = _converters(
            hint, fields[name], f"{form.__name__}.{name}", KNOWN_TEXTS.get((form, name))
        )
        is_message = (
            fields[name].message_type is not None and get_origin(hint) is not tuple and hint is not tuple
        )
        rows.append(Field(name, write, read, is_message, type(None) in get_args(hint)))
    return Layout(message, tuple(rows))


def _write(form: object) -> Message:
    layout = LAYOUTS[type(form)]
    values = ((field, getattr(form, field.name)) for field in layout.fields)
    return layout.message(
        **{
            field.name: field.write(value)
            for field, value in values
            if not (field.is_optional and value is None)
        }
    )


def _read(form: type, message: Message) -> object:
    values = {}
    for name, _, read, is_message, is_optional in LAYOUTS[form].fields:
        if is_message and not message.HasField(name):
            if not is_optional:
                raise unreadable(form.__name__, f"no {name}")
            values[name] = None
        else:
            values[name] = read(getattr(message, name))
    return form(**values)


LAYOUTS: dict[type, Layout] = {}
LAYOUTS |= {form: _layout(form, getattr(wire, form.__name__)) for form in FORMS}
LAYOUTS[keeper.Keepers] = _layout(keeper.Keepers, wire.Circle)
_write_keeper_message, _read_keeper_message = _one_of(KEEPER_MESSAGES, wire.Message, "Message")


def to_message(form: object) -> Message:
    """Returns the message of a form; a keepers' message and an answer are wrapped with their kind.

    Raises UnreadableError and TooLargeError.
    """
    try:
        if type(form) in KEEPER_MESSAGES.values():
            return _write_keeper_message(form)
        if isinstance(form, orders.Renewed):
            return wire.Answer(renewed=_write(form))
        if isinstance(form, books.Done):
            return wire.Answer(done=_write(form))
        if type(form) is tuple:
            return wire.Answer(
                dones=wire.Dones(dones=[_form(books.Done, "Answer")[0](done) for done in form])
            )
        if type(form) in LAYOUTS:
            return _write(form)
    except FleetError:
        raise
    except (ValueError, TypeError, EncodeError) as error:  # surrogates in a text, a field of None
        raise unreadable(type(form).__name__, type(error).__name__) from error
    raise unreadable(type(form).__name__, "no form that crosses")


def from_message(kind: type, message: Message) -> object:
    """Returns the form of a message; `kind` is the form's type, or the union `Message` or `Answer`.

    Raises UnreadableError and TooLargeError.
    """
    if kind is keeper.Message:
        return _read_keeper_message(message)
    if kind is orders.Answer:
        which = message.WhichOneof("one")
        if which == "renewed":
            return _read(orders.Renewed, message.renewed)
        if which == "dones":
            return tuple([_read(books.Done, done) for done in message.dones.dones])
        if which == "done":
            return _read(books.Done, message.done)
        raise unreadable("Answer", "of no kind that this version knows")
    return _read(kind, message)


def parse(message: type[Message], data: bytes, at_most: int) -> Message:
    """Returns the message in `data`. Raises TooLargeError beyond `at_most` bytes, and UnreadableError."""
    if len(data) > at_most:
        raise TooLargeError(message.DESCRIPTOR.name, size=len(data), at_most=at_most)
    try:
        return message.FromString(data)
    except (DecodeError, UnicodeDecodeError) as error:
        raise unreadable(message.DESCRIPTOR.name, "not its bytes") from error


def check_size(message: Message, at_most: int) -> Message:
    """Returns the message itself. Raises TooLargeError beyond `at_most` bytes."""
    if (size := message.ByteSize()) > at_most:
        raise TooLargeError(message.DESCRIPTOR.name, size=size, at_most=at_most)
    return message


def encode_batch(batch: books.Batch) -> bytes:
    """Returns the data of a log entry: the same bytes for the same batch."""
    return to_message(batch).SerializeToString(deterministic=True)


def decode_batch(data: bytes, at_most: int = MAX_ENTRY_BYTES) -> books.Batch:
    """Returns the batch of a log entry. Raises UnreadableError and TooLargeError."""
    return _read(books.Batch, parse(wire.Batch, data, at_most))


# The head of a message: its sender and receiver


def head(fleet: str, sender: str, to: str) -> Message:
    """Returns the head of a message from this process."""
    return wire.Head(fleet=fleet, sender=sender, to=to, version=VERSION, minor=MINOR)


def check(message: Message, fleet: str, me: str) -> str:
    """Checks that a message is from this fleet, for this process and of a version that it reads.

    Returns the sender's name. Raises OtherVersionError, OtherFleetError and UnreadableError. Without the
    check a keeper's answer that reaches another one could be counted there as a vote.
    """
    if not message.HasField("head"):
        raise unreadable(message.DESCRIPTOR.name, "no head")
    received = message.head
    for text in (received.fleet, received.sender, received.to):
        _text("Head")[1](text)
    if not MIN_VERSION <= received.version <= VERSION:
        raise OtherVersionError(received.sender, theirs=received.version, least=MIN_VERSION, most=VERSION)
    if received.fleet != fleet:
        raise OtherFleetError(received.sender, theirs=received.fleet, ours=fleet)
    if not received.sender or received.to != me:
        raise unreadable(received.sender or "Head", f"it is for '{received.to}', this is '{me}'")
    return received.sender
