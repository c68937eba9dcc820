"""Bounds of clients' calls: whatever is taken can be encoded, applied, stored and read back."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laurelcourse.fleet.books import bounds
from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.state import MAX_NUMBER, MAX_TEXT_BYTES, MAX_VALUES
from laurelcourse.fleet.calls import codec
from laurelcourse.fleet.errors import OutOfBoundsError
from laurelcourse.fleet.workflows import definition as d

STEP = d.Step("only", d.Send("read", "SELECT 1", 5), None, effect=False)
DEFINITION = d.Definition("n", 100, 2, 3, 4, (STEP,))
# Each size at, just above and far above the bound, in characters of one to four bytes, and any Unicode.
SIZES = (0, 1, MAX_TEXT_BYTES // 4, MAX_TEXT_BYTES, MAX_TEXT_BYTES + 1, 5_000)
TEXTS = st.one_of(
    st.text(max_size=300), st.builds(str.__mul__, st.sampled_from("aé漢𝄞"), st.sampled_from(SIZES))
)
NUMBERS = st.one_of(st.integers(-1, 40), st.integers(MAX_NUMBER - 1, 1 << 70))
VALUES = st.lists(st.tuples(TEXTS, TEXTS), max_size=3).map(tuple) | st.sampled_from(
    [tuple((f"v{number}", "") for number in range(count)) for count in (MAX_VALUES, MAX_VALUES + 1)]
)
COMMANDS = st.one_of(
    st.builds(f.Begin, TEXTS, TEXTS, st.just(DEFINITION), VALUES),
    st.builds(f.Leave, NUMBERS, st.just(f.LEFT)),
    st.builds(f.Settle, NUMBERS, NUMBERS, st.sampled_from([f.AGAIN, f.BY_HAND, "", "other"])),
)


def applied(books: Books, fence: f.Fence | None, what: f.What) -> f.Done:
    batch = f.Batch(1, 1, (f.Command(fence, 1, what),))
    return books.apply(books.index + 1, codec.decode_batch(codec.encode_batch(batch)))[0]


@given(COMMANDS)
@settings(max_examples=400, deadline=None, derandomize=True, database=None)
def test_what_is_taken_is_encoded_applied_and_read_back(command: f.Begin | f.Leave | f.Settle) -> None:
    """Guards against a call that is taken, and that the codec or the books can't carry afterwards."""
    books = Books()
    fence = f.Fence(*applied(books, None, f.Open("r", "a")).value)
    try:
        bounds.check_command(command)
    except OutOfBoundsError as error:
        assert error.to and error.figures["fault"] and "call again" in str(error)
        command = f.Begin("firm", "next", DEFINITION)  # the next good call is served
    result = applied(books, fence, command)
    assert result.code in ("", "no_such_workflow") and codec.to_message(result)
    assert Books.from_snapshot(books.snapshot()).hash() == books.hash()


@contextmanager
def refused(field: str, fault: str) -> Iterator[None]:
    with pytest.raises(OutOfBoundsError) as raised:
        yield
    assert (raised.value.to, raised.value.figures) == (field, {"fault": fault})


def test_an_error_names_field_size_and_bound() -> None:
    with refused("mark", "257 bytes, from 1 to 256 are taken"):
        bounds.check_command(f.Begin("t", "m" * 257, DEFINITION))
    with refused("value room", "258 bytes, from 0 to 256 are taken"):
        bounds.check_command(f.Begin("t", "m", DEFINITION, (("room", "漢" * 86),)))
    with refused("values", f"{MAX_VALUES + 1} of them, {MAX_VALUES} at most"):
        bounds.check_command(f.Begin("t", "m", DEFINITION, (("a", ""),) * (MAX_VALUES + 1)))
    with refused("number", f"{MAX_NUMBER + 1}, from 1 to {MAX_NUMBER} are taken"):
        bounds.check_workflow(MAX_NUMBER + 1)
