"""The fleet's forms to protobuf messages and back. No gRPC here, no I/O: pure modules may use it.

A form (a NamedTuple of `keeper/forms.py`, `books/forms.py`, `orders.py`) and its message have fields of the
same names; both are walked once, when this module is loaded, and one that lacks a field of the other ends
the start. Numbers are 0 to 2^63 - 1 but in values, where they may be below 0; texts have a bound. Whatever
can't be read or written raises UnreadableError or TooLargeError and nothing else. Fields that this version
does not know are passed over.
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

LEAST, VERSION, MINOR = 1, 1, 0
MOST = (1 << 63) - 1  # of a number
TEXT = 4096  # bytes of a text
DEEP = 8  # values within values

KINDS = {
    (keeper.Entry, "kind"): (keeper.NOOP, keeper.BOOKS, keeper.KEEPERS),
    (books.Budget, "kind"): (books.RATE, books.LEVEL, books.COUNT),
}
TALK = {
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
WHAT = {
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
}
WHAT |= {
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
    *TALK.values(),
    books.Fence,
    *WHAT.values(),
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

Two = tuple[Callable, Callable]  # a form's value to the message's, and back


def unreadable(to: str, fault: str) -> UnreadableError:
    return UnreadableError(to, fault=fault)


def _whole(where: str) -> Two:
    def both(value: object) -> int:
        if type(value) is not int or not 0 <= value <= MOST:
            raise unreadable(where, "a number out of range")
        return value

    return both, both


def _flag(where: str) -> Two:
    def write(value: object) -> bool:
        if type(value) is not bool:
            raise unreadable(where, "not true or false")
        return value

    return write, lambda value: value


def _bytes(where: str) -> Two:
    def write(value: object) -> bytes:
        if type(value) is not bytes:
            raise unreadable(where, "not bytes")
        return value

    return write, lambda value: value


def _text(where: str, known: tuple[str, ...] | None = None) -> Two:
    def both(value: object) -> str:
        if type(value) is not str:
            raise unreadable(where, "not a text")
        # Only a text that may be over the bound is encoded for its length: this is done for every name.
        if 4 * len(value) > TEXT and (size := len(value.encode("utf-8", "replace"))) > TEXT:
            raise TooLargeError(where, size=size, at_most=TEXT)
        if known is not None and value not in known:
            raise unreadable(where, f"no such kind '{value[:40]}'")
        return value

    return both, both


def _value_to(value: object, where: str, deep: int = DEEP) -> Message:
    if type(value) is int and -MOST <= value <= MOST:
        return wire.Value(number=value)
    if type(value) is str:
        return wire.Value(text=_text(where)[0](value))
    if type(value) is books.Fence:
        return wire.Value(fence=_write(value))
    if isinstance(value, tuple) and deep:
        return wire.Value(many=wire.Values(values=[_value_to(one, where, deep - 1) for one in value]))
    raise unreadable(where, "neither a number in range, a text, a fence nor a tuple of them")


def _value_of(value: Message, where: str, deep: int = DEEP) -> object:
    which = value.WhichOneof("one")
    if which == "number" and value.number >= -MOST:
        return value.number
    if which == "text":
        return _text(where)[1](value.text)
    if which == "fence":
        return _read(books.Fence, value.fence)
    if which == "many" and deep:
        return tuple([_value_of(one, where, deep - 1) for one in value.many.values])
    raise unreadable(where, "a value of no known kind")


def _result(where: str) -> Two:
    """What `Done.value` holds: a tuple, perhaps a Fence."""

    def read(value: Message) -> tuple:
        if value.WhichOneof("one") is None:
            return ()
        found = _value_of(value, where)
        if not isinstance(found, tuple):
            raise unreadable(where, "not a tuple")
        return found

    def write(value: object) -> Message:
        if not isinstance(value, tuple):
            raise unreadable(where, "not a tuple")
        return _value_to(value, where) if value else wire.Value()

    return write, read


def _plain(where: str) -> Two:
    """A figure of an error: an int or a str."""

    def read(value: Message) -> int | str:
        found = _value_of(value, where)
        if isinstance(found, tuple):
            raise unreadable(where, "neither a number nor a text")
        return found

    def write(value: object) -> Message:
        if isinstance(value, tuple):
            raise unreadable(where, "neither a number nor a text")
        return _value_to(value, where)

    return write, read


def _many(one: Two, where: str) -> Two:
    to, of = one

    def write(values: object) -> list:
        if not isinstance(values, tuple):
            raise unreadable(where, "not a tuple")
        return [to(value) for value in values]

    return write, lambda values: tuple([of(value) for value in values])


def _pair(hints: tuple, kind: type[Message], where: str) -> Two:
    first, second = kind.DESCRIPTOR.fields
    to_1, of_1 = _two(hints[0], first, where)
    to_2, of_2 = _two(hints[1], second, where)

    def write(pair: object) -> Message:
        if not isinstance(pair, tuple) or len(pair) != 2:
            raise unreadable(where, "not a pair")
        return kind(**{first.name: to_1(pair[0]), second.name: to_2(pair[1])})

    return write, lambda pair: (of_1(getattr(pair, first.name)), of_2(getattr(pair, second.name)))


def _one_of(kinds: dict[str, type], message: type[Message], where: str) -> Two:
    names = {kind: name for name, kind in kinds.items()}

    def write(form: object) -> Message:
        if type(form) not in names:
            raise unreadable(where, "of no known kind")
        return message(**{names[type(form)]: _write(form)})

    def read(found: Message) -> object:
        name = found.WhichOneof("one")
        if name is None:
            raise unreadable(where, "of no kind that this version knows")
        return _read(kinds[name], getattr(found, name))

    return write, read


def _form(kind: type, where: str) -> Two:
    def write(form: object) -> Message:
        if type(form) is not kind:
            raise unreadable(where, f"not a {kind.__name__}")
        return _write(form)

    return write, lambda message: _read(kind, message)


def _two(hint: object, field: object, where: str, known: tuple[str, ...] | None = None) -> Two:
    """How a field with this type hint crosses."""
    plain = {int: _whole, bool: _flag, bytes: _bytes, tuple: _result, int | str: _plain}
    if hint is str:
        return _text(where, known)
    if hint in plain:
        return plain[hint](where)
    if get_origin(hint) is tuple:
        inner = get_args(hint)
        kind = GetMessageClass(field.message_type) if field.message_type else None
        if inner[-1] is Ellipsis:
            pair = get_origin(inner[0]) is tuple
            one = _pair(get_args(inner[0]), kind, where) if pair else _two(inner[0], field, where)
            return _many(one, where)
    if hint == books.What:
        return _one_of(WHAT, wire.What, where)
    if get_origin(hint) in (Union, types.UnionType):
        return _form(next(one for one in get_args(hint) if one is not type(None)), where)
    return _form(hint, where)


OWN = {(orders.Beat, "asked_at"), (orders.Submit, "asked_at")}  # the asker's alone: they are not sent


class Layout(NamedTuple):
    """Of each field: its name, how it is written, how it is read, is it a message, may it be absent."""

    message: type[Message]
    fields: tuple[tuple[str, Callable, Callable, bool, bool], ...]


def _layout(form: type, message: type[Message]) -> Layout:
    hints, fields = get_type_hints(form), message.DESCRIPTOR.fields_by_name
    hints = {name: hint for name, hint in hints.items() if (form, name) not in OWN}
    if set(hints) != set(fields):
        raise TypeError(f"{form.__name__} and its message differ: {sorted(set(hints) ^ set(fields))}")
    rows = []
    for name, hint in hints.items():
        to, of = _two(hint, fields[name], f"{form.__name__}.{name}", KINDS.get((form, name)))
        single = fields[name].message_type is not None and get_origin(hint) is not tuple and hint is not tuple
        rows.append((name, to, of, single, type(None) in get_args(hint)))
    return Layout(message, tuple(rows))


def _write(form: object) -> Message:
    layout = LAYOUTS[type(form)]
    fields = ((name, to, spare, getattr(form, name)) for name, to, _, _, spare in layout.fields)
    return layout.message(
        **{name: to(value) for name, to, spare, value in fields if not (spare and value is None)}
    )


def _read(form: type, message: Message) -> object:
    values = {}
    for name, _, of, single, spare in LAYOUTS[form].fields:
        if single and not message.HasField(name):
            if not spare:
                raise unreadable(form.__name__, f"no {name}")
            values[name] = None
        else:
            values[name] = of(getattr(message, name))
    return form(**values)


LAYOUTS: dict[type, Layout] = {}
LAYOUTS |= {form: _layout(form, getattr(wire, form.__name__)) for form in FORMS}
LAYOUTS[keeper.Keepers] = _layout(keeper.Keepers, wire.Circle)
_TALK = _one_of(TALK, wire.Message, "Message")


def message_of(form: object) -> Message:
    """The message of a form; a keepers' message and an answer come wrapped with their kind."""
    try:
        if type(form) in TALK.values():
            return _TALK[0](form)
        if isinstance(form, orders.Renewed):
            return wire.Answer(renewed=_write(form))
        if isinstance(form, books.Done):
            return wire.Answer(done=_write(form))
        if type(form) is tuple:
            return wire.Answer(dones=wire.Dones(dones=[_form(books.Done, "Answer")[0](one) for one in form]))
        if type(form) in LAYOUTS:
            return _write(form)
    except FleetError:
        raise
    except (ValueError, TypeError, EncodeError) as error:  # surrogates in a text, a field of None
        raise unreadable(type(form).__name__, type(error).__name__) from error
    raise unreadable(type(form).__name__, "no form that crosses")


def form_of(kind: type, message: Message) -> object:
    """The form of a message; `kind` is the form's type, or the union `Message` or `Answer`."""
    if kind is keeper.Message:
        return _TALK[1](message)
    if kind is orders.Answer:
        which = message.WhichOneof("one")
        if which == "renewed":
            return _read(orders.Renewed, message.renewed)
        if which == "dones":
            return tuple([_read(books.Done, one) for one in message.dones.dones])
        if which == "done":
            return _read(books.Done, message.done)
        raise unreadable("Answer", "of no kind that this version knows")
    return _read(kind, message)


def parsed(message: type[Message], data: bytes, at_most: int) -> Message:
    if len(data) > at_most:
        raise TooLargeError(message.DESCRIPTOR.name, size=len(data), at_most=at_most)
    try:
        return message.FromString(data)
    except (DecodeError, UnicodeDecodeError) as error:
        raise unreadable(message.DESCRIPTOR.name, "not its bytes") from error


def fitting(message: Message, at_most: int) -> Message:
    """The message itself; TooLargeError if the other side would not take it."""
    if (size := message.ByteSize()) > at_most:
        raise TooLargeError(message.DESCRIPTOR.name, size=size, at_most=at_most)
    return message


def packed(batch: books.Batch) -> bytes:
    """The data of a log entry: the same bytes for the same batch."""
    return message_of(batch).SerializeToString(deterministic=True)


def unpacked(data: bytes, at_most: int = 1 << 30) -> books.Batch:
    return _read(books.Batch, parsed(wire.Batch, data, at_most))


# Whom a message is from and for


def head(fleet: str, sender: str, to: str) -> Message:
    return wire.Head(fleet=fleet, sender=sender, to=to, version=VERSION, minor=MINOR)


def check(message: Message, fleet: str, me: str) -> str:
    """The sender's name, once the head shows that the message is from this fleet, for this process and of a
    version that it reads. A keeper's answer that strays to another could be counted there as a vote."""
    if not message.HasField("head"):
        raise unreadable(message.DESCRIPTOR.name, "no head")
    found = message.head
    for text in (found.fleet, found.sender, found.to):
        _text("Head")[1](text)
    if not LEAST <= found.version <= VERSION:
        raise OtherVersionError(found.sender, theirs=found.version, least=LEAST, most=VERSION)
    if found.fleet != fleet:
        raise OtherFleetError(found.sender, theirs=found.fleet, ours=fleet)
    if not found.sender or found.to != me:
        raise unreadable(found.sender or "Head", f"it is for '{found.to}', this is '{me}'")
    return found.sender
