"""Calls between processes of a fleet: messages, versions, the real server and client, and the mailbox."""

import ast
import contextlib
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from pathlib import Path
from types import SimpleNamespace

import grpc
import pytest

from laurelcourse.fleet import errors, orders, wiring
from laurelcourse.fleet.books import forms as books
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import Limits, NoAnswerError, limits, options
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.forwarder import Forwarder
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.calls.peers import Peers, is_heartbeat
from laurelcourse.fleet.calls.service import Service
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.net.scheduler import Clock, Scheduler
from laurelcourse.prng import Prng

ROOT = Path(__file__).parent.parent
SECOND = 1_000_000
LIMITS = Limits(
    message_bytes=1 << 16,
    keeper_threads=3,
    max_calls=2,
    max_forwards=1,
    queue_length=4,
    keeper_timeout=SECOND // 4,
    call_timeout=SECOND // 4,
    order_timeout=2 * SECOND,
    retry_delay=SECOND // 100,
    keepalive_time=10 * SECOND,
)
ONE_ATTEMPT = LIMITS._replace(call_timeout=2 * SECOND, order_timeout=2 * SECOND, retry_delay=10 * SECOND)
SLOW = LIMITS._replace(
    keeper_timeout=60 * SECOND, call_timeout=60 * SECOND, order_timeout=60 * SECOND
)  # what waits goes on
FENCE = books.Fence("relay-1", 7, 3, 2)
MARK = keeper.Mark("d1", 2, 9)
VOTERS = keeper.Keepers(("a", "b"), ("c",))
BEAT = orders.Beat(FENCE, (("probes", 9), ("tries/x", 0)), uses=(("probes", 7),))
RENEWED = orders.Renewed(10 * SECOND, (orders.Share("probes", 5, 4),))
ASKED = orders.Question("hash")
BUDGET = books.Budget("probes", books.LEVEL, 90, 1, 30, 0, SECOND)
WHATS = (
    books.Open("relay-1", "north"),
    books.Close(),
    books.Lapse(7),
    books.Define((BUDGET,)),
    books.Grant("probes", ((7, 30), (8, 0))),
    books.GiveBack("probes", 2),
)
JOB, PIECES = books.Job("j", "firm", "a", "b", 5, 0, 9, 3, 1), (books.Stretch(0, 2, 100, ("a", "b")),)
WHATS += (
    books.Places((books.Link("a", "b", 9, 1),), (books.Site("a", 3),)),
    books.Shrink("a>b", 3, 2),
    books.Recall(("j",)),
    books.Reserve(JOB, PIECES),
    books.Move("j", PIECES),
    books.Move("j", ()),
    books.Resume("j"),
    books.Progress("j", 3),
    books.Commit("j"),
    books.Free("j"),
)
SUBMIT = orders.Submit(tuple(books.Command(FENCE if n else None, n, what) for n, what in enumerate(WHATS)))
BATCH = books.Batch(5, 2, SUBMIT.commands)
BEATING = keeper.Append(2, 9, 2, (), 8, 41)
TALK = (
    keeper.AskVote(3, 9, 2, True, False),
    keeper.Vote(3, True, True),
    BEATING,
    keeper.Append(2, 9, 2, (keeper.Entry(10, 2, keeper.BOOKS, b"\0x"),), 8, 41, (("b", MARK),)),
    keeper.Appended(2, False, 4, 41),
    keeper.Piece(2, 9, 2, VOTERS, 0, b"{}", True, 41),
    keeper.PieceTaken(2, 9, 2, False, 41),
    keeper.TakeOver(2),
    keeper.Hello(2, "d1", 9),
    keeper.Known(2, "d1", True, MARK),
)
ANSWERS = (
    RENEWED,
    (books.Done(tuple(FENCE)), books.Done(FENCE), books.Done((-1, "x", ((), (FENCE,))))),
    books.Done(code="over_whole", to="probes", told=(("sum", 99), ("whole", "ä"))),
    (),
    books.Done(),
)


def now() -> int:
    return time.monotonic_ns() // 1000


def wait_until(true: Callable[[], object], seconds: float = 5) -> None:
    end = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < end, "did not come about in time"
        time.sleep(0.002)


# Forms

FORMS = [
    *((keeper.Message, one) for one in TALK),
    *((orders.Answer, one) for one in ANSWERS),
    (orders.Submit, SUBMIT),
    (orders.Beat, BEAT),
    (orders.Question, ASKED),
    (keeper.Keepers, VOTERS),
    (books.Batch, BATCH),
    (keeper.Snapshot, keeper.Snapshot(9, 2, VOTERS, b"{}")),
]


@pytest.mark.parametrize("kind, form", FORMS)
def test_messages_round_trip(kind: type, form: object) -> None:
    message = codec.to_message(form)
    there = codec.parse(type(message), message.SerializeToString(), 1 << 20)
    back = codec.from_message(kind, there)
    assert back == form and type(back) is type(form)
    if isinstance(form, tuple) and form and isinstance(form[0], books.Done):
        assert type(back[1].value) is books.Fence and type(back[0].value) is tuple


def test_a_batch_is_the_same_bytes_each_time() -> None:
    data = codec.encode_batch(BATCH)
    assert codec.encode_batch(codec.decode_batch(data)) == data
    with pytest.raises(errors.TooLargeError):
        codec.decode_batch(data, at_most=len(data) - 1)


def _deep(levels: int) -> tuple:
    return (_deep(levels - 1),) if levels else ()


@pytest.mark.parametrize(
    "form",
    [
        keeper.TakeOver(-1),
        keeper.TakeOver(1 << 63),
        keeper.TakeOver(True),
        keeper.TakeOver(None),
        keeper.Vote(1, 1, True),
        keeper.Hello(1, "\ud800", 1),
        keeper.Hello(1, b"x", 1),
        keeper.Hello(1, "x" * 5000, 1),
        BEATING._replace(entries=(keeper.Entry(1, 1, "other", b""),)),
        BEATING._replace(marks=(("b", MARK, 1),)),
        BEATING._replace(entries=(keeper.Entry(1, 1, keeper.NOOP, "text"),)),
        orders.Submit([]),
        orders.Submit((SUBMIT,)),
        orders.Submit((books.Command(None, 1, BUDGET),)),
        orders.Beat(None),
        books.Done((1.5,)),
        books.Done(7),
        books.Done(told=(("x", (1,)),)),
        books.Done(_deep(20)),
        (1,),
        7,
    ],
)
def test_values_out_of_range_are_not_encoded(form: object) -> None:
    error = errors.TooLargeError if "xxxx" in repr(form) else errors.UnreadableError
    with pytest.raises(error):
        codec.to_message(form)


def _nested(levels: int) -> wire.Value:
    return wire.Value(many=wire.Values(values=[_nested(levels - 1)] if levels else []))


@pytest.mark.parametrize(
    "kind, message",
    [
        (books.Batch, wire.Batch(at=1 << 63)),
        (books.Batch, wire.Batch(commands=[wire.Command(mark=1)])),
        (books.Batch, wire.Batch(commands=[wire.Command(mark=1, what=wire.What())])),
        (orders.Beat, wire.Beat()),
        (keeper.Message, wire.Message()),
        (orders.Answer, wire.Answer()),
        (orders.Answer, wire.Answer(done=wire.Done(value=wire.Value(number=1)))),
        (orders.Answer, wire.Answer(done=wire.Done(told=[wire.Told(name="x")]))),
        (orders.Answer, wire.Answer(done=wire.Done(value=_nested(20)))),
        (keeper.Message, wire.Message(append=wire.Append(entries=[wire.Entry(kind="other")]))),
    ],
)
def test_incomplete_messages_are_refused(kind: type, message: object) -> None:
    with pytest.raises(errors.UnreadableError):
        codec.from_message(kind, message)


def test_arbitrary_bytes_are_decoded_or_refused() -> None:
    rng, sound, read = Prng(5), codec.encode_batch(BATCH), 0
    for _ in range(6000):
        data = bytearray(sound[: 1 + rng.below(len(sound))])
        for _ in range(rng.below(4)):
            data[rng.below(len(data))] = rng.below(256)
        try:
            codec.to_message(codec.decode_batch(bytes(data), at_most=len(sound) - 1))
            read += 1
        except (errors.UnreadableError, errors.TooLargeError):
            pass
    assert 30 < read < 4000


# Versions


def _with_more(message: object) -> object:
    """Returns the message as from a newer version: with bytes of a field 900 at its end."""
    return type(message).FromString(message.SerializeToString() + b"\xa2\x38\x03new")


def test_fields_of_a_newer_version_are_ignored() -> None:
    assert codec.from_message(orders.Beat, _with_more(codec.to_message(BEAT))) == BEAT
    assert codec.decode_batch(codec.encode_batch(BATCH) + b"\xa2\x38\x03new") == BATCH


def _parts(message: object) -> Iterator[object]:
    """Returns the message and all messages in it."""
    yield message
    for field, value in message.ListFields():
        if field.message_type:
            for part in (value,) if hasattr(value, "ListFields") else value:
                yield from _parts(part)


def _lacks(whole: object, less: object) -> bool:
    """Returns the same text without what is empty there."""
    alike = isinstance(whole, tuple) and type(whole) is type(less) and len(whole) == len(less)
    return whole == less or not less or (alike and all(map(_lacks, whole, less)))


@pytest.mark.parametrize("kind, form", FORMS)
def test_a_field_that_a_former_version_did_not_send_is_read_as_nothing_or_refused(
    kind: type, form: object
) -> None:
    """At any depth, one field at a time; everything else is as it was sent."""
    whole, read = codec.to_message(form), 0
    for place, part in enumerate(_parts(whole)):
        for field in part.DESCRIPTOR.fields:
            less = type(whole).FromString(whole.SerializeToString())
            list(_parts(less))[place].ClearField(field.name)
            try:
                decoded = codec.from_message(kind, less)
            except errors.UnreadableError:
                continue
            read += 1
            assert _lacks(form, decoded), (part.DESCRIPTOR.name, field.name)
    assert read


def test_the_generated_files_are_those_of_the_proto(tmp_path: Path) -> None:
    folder = "laurelcourse/fleet/calls"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "grpc_tools.protoc",
            "-I.",
            f"--python_out={tmp_path}",
            f"--grpc_python_out={tmp_path}",
            f"{folder}/fleet.proto",
        ],
        cwd=ROOT,
        check=True,
    )
    for name in ("fleet_pb2.py", "fleet_pb2_grpc.py"):
        assert (tmp_path / folder / name).read_text() == (ROOT / folder / name).read_text()


def test_grpc_is_loaded_by_nothing_else() -> None:
    names = [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in sorted((ROOT / "laurelcourse/fleet").rglob("*.py"))
        if path.stem not in ("wiring", "member", "flows_client", "books_client", "receiver", "sender")
        and (path.parent.name != "calls" or path.stem in ("codec", "mailbox"))
    ]
    assert "laurelcourse.fleet.orders" in names
    code = f"import sys; [__import__(name) for name in {names}]; print('grpc' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "False\n"


def test_no_part_of_a_fleet_reads_the_time_of_day(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leases are counted by a clock that goes on while the machine sleeps."""
    clocks, clocks_used = {"monotonic", "sleep", "clock_gettime_ns", "CLOCK_BOOTTIME"}, set()
    for path in sorted((ROOT / "laurelcourse" / "fleet").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and getattr(node.value, "id", "") == "time":
                clocks_used.add(node.attr)
            elif isinstance(node, ast.ImportFrom):
                assert node.module not in ("time", "datetime"), path
            elif isinstance(node, ast.Import):
                assert all(
                    alias.name != "datetime" and (alias.name != "time" or not alias.asname)
                    for alias in node.names
                ), path
    assert "CLOCK_BOOTTIME" in clocks_used <= clocks
    shown = {time.CLOCK_BOOTTIME: 7_000_999, time.CLOCK_MONOTONIC: 5_000_000, time.CLOCK_REALTIME: 9_000_000}
    monkeypatch.setattr(time, "clock_gettime_ns", shown.__getitem__)
    assert wiring.clock() == 7_000


# The real server and client


class Scripted:
    """Stands in for the member that serves calls: `script` gives an answer, an error or a future for each
    order.
    """

    def __init__(self, script: Callable[[object], object] = lambda _: RENEWED) -> None:
        self.script, self.talk, self.orders = script, [], []

    def heard(self, sender: str, message: object) -> None:
        self.talk.append((sender, message))

    def _ask(self, order: object) -> Future:
        self.orders.append(order)
        answer = self.script(order)
        if isinstance(answer, Future):
            return answer
        future = Future()
        if isinstance(answer, Exception):
            future.set_exception(answer)
        else:
            future.set_result(answer)
        return future

    submit = renew = ask = change = _ask


def refused(code: str, **figures: object) -> books.Done:
    return books.Done(code=code, to="x", told=tuple(figures.items()))


class Ground:
    """Servers, clients and half-open listeners of one test, closed with it."""

    def __init__(self, ends: contextlib.ExitStack) -> None:
        self.ends, self.held = ends, []

    def keeper(
        self,
        name: str,
        keeping: Scripted,
        port: int = 0,
        limits: Limits = LIMITS,
        others: dict[str, str] | None = None,
    ) -> Service:
        forwarder = Forwarder("fleet", name, others or {}, limits)
        service = Service(keeping, "fleet", name, f"127.0.0.2:{port}", limits, forwarder)
        service.start()
        self.ends.callback(service.stop, 0)
        return service

    def half_open(self) -> str:
        listener = self.ends.enter_context(socket.create_server(("127.0.0.3", 0)))
        return f"127.0.0.3:{listener.getsockname()[1]}"

    def mute(self) -> str:
        """Runs a gRPC peer that says nothing after an empty SETTINGS frame (RFC 9113, 6.5)."""
        listener = self.ends.enter_context(socket.create_server(("127.0.0.3", 0)))

        def serve() -> None:
            with contextlib.suppress(OSError):
                while True:
                    self.held.append(listener.accept()[0])
                    self.held[-1].sendall(b"\0\0\0\4\0\0\0\0\0")

        threading.Thread(target=serve, daemon=True).start()
        self.ends.callback(lambda: [conn.close() for conn in self.held])
        self.ends.callback(listener.shutdown, socket.SHUT_RDWR)
        return f"127.0.0.3:{listener.getsockname()[1]}"

    def dead(self) -> str:
        with socket.create_server(("127.0.0.3", 0)) as listener:
            return f"127.0.0.3:{listener.getsockname()[1]}"

    def client(self, keepers: dict[str, str], limits: Limits = LIMITS) -> Client:
        client = Client("fleet", "relay-1", keepers, limits, now, Prng(1))
        self.ends.callback(client.close, SECOND)
        return client

    def raw(self, service: Service) -> grpc.Channel:
        return self.ends.enter_context(grpc.insecure_channel(at(service), options(LIMITS)))


def at(service: Service) -> str:
    return f"127.0.0.2:{service.port}"


@pytest.fixture
def ground() -> Iterator[Ground]:
    with contextlib.ExitStack() as ends:
        yield Ground(ends)


def told(call: Callable, form: object, seconds: float = 5) -> object:
    future = Future()
    call(form, future.set_result)
    return future.result(seconds)


def test_orders_reach_the_leader_that_a_keeper_names(ground: Ground) -> None:
    leading = Scripted(lambda order: books.Done(("x",)) if order == ASKED else RENEWED)
    others = Scripted(lambda _: refused("not_leader", leader="c"))
    keepers = {name: at(ground.keeper(name, leading if name == "c" else others)) for name in "abc"}
    for turn in range(3):
        client = ground.client(keepers)
        client.routes.last_index = turn
        others.orders.clear()
        leading.orders.clear()
        assert told(client.renew, BEAT) == RENEWED
        hints = len(others.orders)
        assert hints == (turn != 1)  # one hint suffices, and who led is remembered
        client.renew(BEAT, [].remove)  # an asker's own failure ends nobody else's order
        assert [told(client.submit, SUBMIT), told(client.ask, ASKED), told(client.change, VOTERS)] == [
            RENEWED,
            books.Done(("x",)),
            RENEWED,
        ]
        assert told(client.renew, BEAT) == RENEWED and len(others.orders) == hints
        assert [order for order in leading.orders if order != BEAT] == [SUBMIT, ASKED, VOTERS]


def test_another_keeper_is_asked_after_a_fault(ground: Ground) -> None:
    """Guards against a relay that holds on to a keeper that has ended over a fault."""
    ended = Scripted(lambda _: refused("keeper_fault", fault="x"))
    serving = Scripted(lambda _: books.Done(("x",)))
    client = ground.client({"a": at(ground.keeper("a", ended)), "b": at(ground.keeper("b", serving))})
    assert [told(client.submit, SUBMIT), told(client.ask, ASKED)] == [books.Done(("x",))] * 2


@pytest.mark.parametrize(
    "answer, heard",
    [
        (refused("lapsed_lease", session=7), books.Done),
        (errors.LapsedLeaseError("x", session=7), books.Done),
        (refused("no_quorum"), errors.NoQuorumError),
        (refused("not_leader", leader="a"), errors.NoQuorumError),
        (refused("not_leader", leader="none"), errors.NoQuorumError),
        (refused("overloaded", waiting=1, at_most=1), errors.OverloadedError),
        (refused("stopping"), errors.StoppingError),
        (refused("never heard of"), books.Done),
        (refused("older_disk", held=1, said=2), errors.OlderDiskError),
        (refused("keeper_fault", fault="x"), errors.UnknownFateError),
        (Future(), errors.UnknownFateError),
        (books.Done(("x" * 2000,) * 40), books.Done),
    ],
)
def test_refusals_become_typed_errors(ground: Ground, answer: object, heard: type) -> None:
    keeping = Scripted(lambda _: answer)
    client = ground.client({"a": at(ground.keeper("a", keeping))}, LIMITS._replace(order_timeout=SECOND // 2))
    received = told(client.submit, SUBMIT)
    assert type(received) is heard and len(keeping.orders) < 12  # with pauses in between
    if heard is books.Done:
        assert received.code == (answer.code or "too_large")


# One attempt, with seconds for its answer: one cut off by the end of the order would be of unknown fate.
@pytest.mark.parametrize(
    "head, limits, error",
    [
        ({"version": 2}, ONE_ATTEMPT, errors.OtherVersionError),
        ({"fleet": "other"}, ONE_ATTEMPT, errors.OtherFleetError),
        ({"to": "relay-2"}, LIMITS._replace(order_timeout=SECOND // 4), errors.UnknownFateError),
    ],
)
def test_answers_of_another_fleet_version_or_caller_are_refused(
    ground: Ground, head: dict, limits: Limits, error: type
) -> None:
    service = ground.keeper("a", Scripted())
    answer = codec.to_message(RENEWED)
    service._reply = lambda to, _: wire.Reply(head=_head(**{"sender": "a", "to": to, **head}), answer=answer)
    client = ground.client({"a": at(service)}, limits)
    assert type(told(client.submit, SUBMIT)) is error


def test_answers_over_the_callers_limit_are_refused(ground: Ground) -> None:
    service = ground.keeper("a", Scripted(lambda _: books.Done(("x" * 2000,) * 20)))
    client = ground.client({"a": at(service)}, LIMITS._replace(message_bytes=1 << 15))
    assert type(told(client.submit, SUBMIT)) is errors.TooLargeError


def test_half_open_and_dead_keepers_are_skipped_in_time(ground: Ground) -> None:
    keeping = Scripted()
    for turn in range(3):
        client = ground.client(
            {"a": ground.half_open(), "b": ground.dead(), "c": at(ground.keeper("c", keeping))}
        )
        client.routes.last_index, began = turn, now()
        assert told(client.renew, BEAT) == RENEWED and now() - began < 2 * LIMITS.call_timeout + SECOND // 2
        assert client.leader == "c"


@pytest.mark.parametrize(
    "verb, form, keepers, error",
    [
        ("submit", SUBMIT, ["dead"], errors.NoQuorumError),
        ("ask", ASKED, ["dead"], errors.NoQuorumError),
        ("submit", SUBMIT, ["half_open"], errors.NoQuorumError),
        ("submit", SUBMIT, ["mute"], errors.UnknownFateError),
        ("renew", BEAT, ["half_open", "dead", "mute"], errors.NoQuorumError),
    ],
)
def test_orders_without_keepers_end_at_their_deadline(
    ground: Ground, verb: str, form: object, keepers: list[str], error: type
) -> None:
    addresses = {keeper: getattr(ground, keeper)() for keeper in keepers}
    client, began = ground.client(addresses, LIMITS._replace(order_timeout=SECOND // 2)), now()
    assert type(told(getattr(client, verb), form)) is error
    assert SECOND // 2 <= now() - began < 2 * SECOND
    assert keepers != ["mute"] or len(ground.held) > 1  # what did not answer is connected to anew


def test_the_clients_queue_is_bounded_and_close_ends_waiting_orders(ground: Ground) -> None:
    client, results = ground.client({"a": ground.mute()}, SLOW), []
    client.submit(SUBMIT, results.append)
    wait_until(lambda: not client.lanes["submit"].queue)
    for _ in range(LIMITS.queue_length):
        client.submit(SUBMIT, results.append)
    with pytest.raises(errors.OverloadedError):
        client.submit(SUBMIT, results.append)
    with pytest.raises(errors.TooLargeError):
        client.submit(orders.Submit(SUBMIT.commands * 1000), results.append)
    began = now()
    client.close(SECOND)
    assert now() - began < SECOND
    assert [type(result) for result in results] == [errors.UnknownFateError] + [
        errors.StoppingError
    ] * LIMITS.queue_length
    with pytest.raises(errors.StoppingError):
        client.renew(BEAT, results.append)


def _head(**other: object) -> wire.Head:
    return wire.Head(**{"fleet": "fleet", "sender": "relay-1", "to": "a", "version": 1, **other})


@pytest.mark.parametrize(
    "head, code",
    [
        (_head(), ""),
        (_head(minor=9), ""),
        (_head(version=2), "other_version"),
        (_head(version=0), "other_version"),
        (_head(fleet="other"), "other_fleet"),
        (_head(to="b"), "unreadable"),
        (_head(sender=""), "unreadable"),
        (_head(sender="x" * 5000), "too_large"),
        (None, "unreadable"),
    ],
)
def test_orders_of_another_fleet_version_or_process_are_refused(
    ground: Ground, head: wire.Head, code: str
) -> None:
    keeping = Scripted()
    channel = ground.raw(ground.keeper("a", keeping))
    order = _with_more(wire.RenewOrder(head=head, what=codec.to_message(BEAT)))
    assert fleet_pb2_grpc.BooksStub(channel).Renew(order, timeout=5).answer.done.code == code
    talk = _with_more(wire.Envelope(head=head, messages=[codec.to_message(BEATING), wire.Message()]))
    heard = fleet_pb2_grpc.KeepersStub(channel).Talk(talk, timeout=5)
    assert heard.refused.code == (code or "unreadable")  # the second message is of no kind known here
    assert keeping.talk == ([] if code else [("relay-1", BEATING)]) and len(keeping.orders) == (not code)


def test_unknown_clients_on_the_port_change_nothing(ground: Ground) -> None:
    keeping = Scripted()
    service = ground.keeper("a", keeping)
    rng = Prng(3)
    for start in (b"", b"GET / HTTP/1.1\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"):
        garbage = start + bytes(rng.below(256) for _ in range(3000))
        with socket.create_connection(("127.0.0.2", service.port)) as sock, contextlib.suppress(OSError):
            sock.sendall(garbage)
    channel = ground.raw(service)
    renew = "/laurelcourse.fleet.v1.Books/Renew"
    for data, status in (
        (b"\xff" * 50, grpc.StatusCode.INTERNAL),
        (b"\0" * (LIMITS.message_bytes + 1), grpc.StatusCode.RESOURCE_EXHAUSTED),
    ):
        with pytest.raises(grpc.RpcError) as caught:
            grpc.insecure_channel(at(service)).unary_unary(renew)(data, timeout=5)
        assert caught.value.code() is status
    empty = fleet_pb2_grpc.BooksStub(channel).Ask(wire.AskOrder(head=_head()), timeout=5)
    assert empty.answer.done.code == "unreadable" and not keeping.orders
    assert told(ground.client({"a": at(service)}).renew, BEAT) == RENEWED
    with pytest.raises(OSError):
        Service(keeping, "fleet", "b", at(service), LIMITS, Forwarder("fleet", "b", {}, LIMITS))


def test_waiting_orders_do_not_block_messages_and_end_at_a_stop(ground: Ground) -> None:
    keeping = Scripted(lambda _: Future())
    service = ground.keeper("a", keeping, limits=SLOW)
    stub = fleet_pb2_grpc.BooksStub(ground.raw(service))
    renewal = wire.RenewOrder(head=_head(), what=codec.to_message(BEAT))
    order = wire.SubmitOrder(head=_head(), what=codec.to_message(SUBMIT))
    # An answer by type, before the asker's own time is over.
    assert stub.Renew(renewal, timeout=0.3).answer.done.code == "unknown_fate"
    slow = [stub.Renew.future(renewal, timeout=30), stub.Submit.future(order, timeout=30)]
    wait_until(lambda: len(service.waiting) == LIMITS.max_calls)
    assert stub.Renew(renewal, timeout=5).answer.done.code == "overloaded"
    talk = fleet_pb2_grpc.KeepersStub(ground.raw(service)).Talk
    assert not talk(wire.Envelope(head=_head(), messages=[codec.to_message(BEATING)]), timeout=5).refused.code
    assert keeping.talk == [("relay-1", BEATING)]
    service.refuse()
    assert [call.result(5).answer.done.code for call in slow] == ["stopping", "unknown_fate"]
    assert talk(wire.Envelope(head=_head()), timeout=5).refused.code == "stopping"
    assert stub.Renew(renewal, timeout=5).answer.done.code == "stopping" and len(keeping.orders) == 3
    service.stop(SECOND)


def test_a_caller_that_left_frees_its_place(ground: Ground) -> None:
    service = ground.keeper("a", Scripted(lambda _: Future()), limits=SLOW)
    stub = fleet_pb2_grpc.BooksStub(ground.raw(service))
    call = stub.Renew.future(wire.RenewOrder(head=_head(), what=codec.to_message(BEAT)), timeout=60)
    wait_until(lambda: service.waiting)
    call.cancel()
    wait_until(lambda: not service.waiting)


# Orders handed on: a keeper that does not lead, `b`, reaches the leader `a`; the relay does not

LEADS = "a"


def hinting(_: object) -> books.Done:
    return refused("not_leader", leader=LEADS)


def test_orders_that_cannot_reach_the_leader_are_forwarded_unchanged(ground: Ground) -> None:
    leading = Scripted(lambda order: books.Done(("x",)) if order == ASKED else RENEWED)
    others = Scripted(hinting)
    a = ground.keeper("a", leading)
    b = ground.keeper("b", others, others={"a": at(a), "b": "127.0.0.2:1"})
    for unheard in (ground.dead, ground.half_open, ground.mute):
        client = ground.client({"a": unheard(), "b": at(b)})
        leading.orders.clear()
        assert [
            told(client.renew, BEAT),
            told(client.submit, SUBMIT),
            told(client.ask, ASKED),
            told(client.change, VOTERS),
        ] == [RENEWED, RENEWED, books.Done(("x",)), RENEWED]
        assert leading.orders == [BEAT, SUBMIT, ASKED, VOTERS] and client.leader == "a"
        # Found out once: a renewal has no time to wait for whom it can't reach each time.
        began = now()
        assert told(client.renew, BEAT) == RENEWED and now() - began < LIMITS.call_timeout // 2
    straight = ground.client({"a": at(a), "b": at(b)})
    others.orders.clear()
    straight.routes.last_index = 0
    assert told(straight.renew, BEAT) == RENEWED and len(others.orders) == 1 and straight.routes.via == "b"
    assert (
        told(straight.renew, BEAT) == RENEWED and len(others.orders) == 1 and straight.logged_forwarder == ""
    )


@pytest.mark.parametrize(
    "timeout, head, error, asked",
    [
        (1, {}, None, 1),
        (0, {}, errors.NotLeaderError, 0),
        (-1, {}, errors.NotLeaderError, 0),
        (1, {"fleet": "other"}, errors.UnknownFateError, 1),
        (1, {"version": 9}, errors.UnknownFateError, 1),
        (1, {"to": "c"}, errors.UnknownFateError, 1),
    ],
)
def test_orders_past_their_deadline_are_not_forwarded(
    ground: Ground, timeout: int, head: dict, error: type | None, asked: int
) -> None:
    forwarder, calls = Forwarder("fleet", "b", {"a": "127.0.0.1:1"}, LIMITS), []
    ground.ends.callback(forwarder.close)
    reply = wire.Reply(head=_head(**{"to": "b", **head}), answer=codec.to_message(RENEWED))
    forwarder.channels["a"] = SimpleNamespace(call=lambda *of: calls.append(of) or reply, close=lambda: None)
    order = wire.ChangeOrder(head=_head(to="b"), what=codec.to_message(VOTERS), hand_on=True)
    with pytest.raises(error) if error else contextlib.nullcontext():
        assert forwarder.forward("Change", order, "a", timeout) == reply
    assert len(calls) == asked and forwarder.busy == 0
    assert not asked or (calls[0][1].what == order.what and not calls[0][1].hand_on)


@pytest.mark.parametrize("hours", [-1, 1])
def test_setting_the_time_of_day_does_not_change_a_callers_deadline(
    ground: Ground, monkeypatch: pytest.MonkeyPatch, hours: int
) -> None:
    """gRPC's `time_remaining` is computed from `time.time`.

    Set back, an order would be forwarded after its asker's deadline; set forward, not at all.
    """
    own, times, handed = Future(), [], []
    service = ground.keeper("b", Scripted(lambda _: own), 0, SLOW, {"a": "127.0.0.1:1"})
    end = time.time() + 20

    def remaining() -> float:
        left, clock = max(end - time.time(), 0), time.time()
        if not times:  # the keeper loses the lead only after that
            monkeypatch.setattr(time, "time", lambda: clock + 3600 * hours)
            threading.Timer(0.05, own.set_result, (refused("not_leader", leader="a"),)).start()
        times.append(left)
        return left

    def on(verb: str, request: object, leader: str, timeout: int) -> object:
        handed.append(timeout)
        return wire.Reply(answer=codec.to_message(RENEWED))

    monkeypatch.setattr(service.forwarder, "forward", on)
    context = SimpleNamespace(time_remaining=remaining, add_callback=lambda _: True)
    order = wire.RenewOrder(head=_head(to="b"), what=codec.to_message(BEAT), hand_on=True)
    reply = service.Renew(order, context)
    assert reply.by == "a" and 0 < handed[0] < 20 * SECOND * 7 // 8


def test_orders_are_forwarded_at_most_once(ground: Ground) -> None:
    asked = {name: Scripted() for name in "abc"}
    doors = {name: ground.keeper(name, keeping) for name, keeping in asked.items()}
    for name, following in (("a", "b"), ("b", "c"), ("c", "a")):  # each takes another for the leader
        asked[name].script = lambda _, leader=following: refused("not_leader", leader=leader)
        doors[name].forwarder = Forwarder(
            "fleet", name, {keeper: at(door) for keeper, door in doors.items()}, LIMITS
        )
    stub = fleet_pb2_grpc.BooksStub(ground.raw(doors["a"]))
    order = {"head": _head(), "what": codec.to_message(BEAT)}
    answer = stub.Renew(wire.RenewOrder(**order, hand_on=True), timeout=5)
    done = answer.answer.done
    assert (answer.by, done.code, done.told[0].value.text) == ("b", "not_leader", "c")
    assert [len(keeper.orders) for keeper in asked.values()] == [1, 1, 0]
    answer = stub.Renew(wire.RenewOrder(**order), timeout=5)  # nobody wished for it
    assert (answer.by, answer.answer.done.told[0].value.text) == ("", "b")
    assert [len(keeper.orders) for keeper in asked.values()] == [2, 1, 0]


@pytest.mark.parametrize(
    "lost, error",
    [("dead", errors.NoQuorumError), ("half_open", errors.NoQuorumError), ("mute", errors.UnknownFateError)],
)
def test_an_answer_that_never_came_back_leaves_the_fate_unknown(
    ground: Ground, lost: str, error: type
) -> None:
    """The order went only through another keeper: the relay's own connection to the leader does not work."""
    b = ground.keeper("b", Scripted(hinting), others={"a": getattr(ground, lost)()})
    client = ground.client({"a": ground.dead(), "b": at(b)}, LIMITS._replace(order_timeout=SECOND))
    began = now()
    assert type(told(client.submit, SUBMIT)) is error and now() - began < 2 * SECOND
    assert type(told(client.renew, BEAT)) is errors.NoQuorumError


def test_a_keeper_that_dies_while_forwarding_leaves_the_fate_unknown(ground: Ground) -> None:
    leading = Scripted(lambda _: Future())
    a = ground.keeper("a", leading, limits=SLOW)
    b = ground.keeper("b", Scripted(hinting), limits=SLOW, others={"a": at(a)})
    client, future = (
        ground.client({"a": ground.dead(), "b": at(b)}, SLOW._replace(order_timeout=SECOND)),
        Future(),
    )
    client.submit(SUBMIT, future.set_result)
    wait_until(lambda: leading.orders)
    began = now()
    b.stop(0)  # does not wait for the leader's answer
    assert now() - began < SECOND
    assert type(future.result(5)) is errors.UnknownFateError


def test_a_keeper_that_cannot_forward_is_followed_by_one_that_can(ground: Ground) -> None:
    leading, former = Scripted(), Scripted(hinting)
    a, b = ground.keeper("a", leading), ground.keeper("b", former)
    c = ground.keeper("c", Scripted(hinting), others={"a": at(a)})
    b.forwarder = Forwarder("fleet", "b", {}, LIMITS)  # as if the wish were not there
    client = ground.client({"a": ground.dead(), "b": at(b), "c": at(c)})
    client.routes.last_index = 0
    assert told(client.renew, BEAT) == RENEWED and client.routes.via == "c" and len(former.orders) > 0
    assert len(leading.orders) == 1


def test_forwarding_is_bounded_and_starves_nobody(ground: Ground) -> None:
    leading, others = Scripted(lambda _: Future()), Scripted(hinting)
    limits = SLOW._replace(max_calls=4, max_forwards=2)
    a = ground.keeper("a", leading, limits=limits)
    b = ground.keeper("b", others, limits=limits, others={"a": at(a)})
    stub = fleet_pb2_grpc.BooksStub(ground.raw(b))
    head = _head(to="b")
    order = wire.RenewOrder(head=head, what=codec.to_message(BEAT), hand_on=True)
    slow = [stub.Renew.future(order, timeout=30) for _ in range(limits.max_forwards)]
    wait_until(lambda: len(leading.orders) == limits.max_forwards)
    refusal = stub.Renew(order, timeout=5).answer.done
    assert (refusal.code, refusal.to) == ("overloaded", "b")
    # What is this keeper's own to answer has its threads as before.
    others.script = lambda _: RENEWED
    assert stub.Renew(order, timeout=5).answer.HasField("renewed")
    talk = fleet_pb2_grpc.KeepersStub(ground.raw(b)).Talk
    assert not talk(wire.Envelope(head=head), timeout=5).refused.code
    others.script = hinting
    # The asker's time bounds it, less what the way back wants.
    a.refuse()
    wait_until(lambda: not b.waiting)
    for call in slow:
        assert call.result(5).answer.done.code == "stopping"
    a.stopping, began = False, now()
    assert stub.Renew(order, timeout=0.5).answer.done.code == "unknown_fate" and now() - began < SECOND // 2


# Between keepers


def test_peers_deliver_in_order_and_reconnect(ground: Ground) -> None:
    keeping = Scripted()
    first = ground.keeper("b", keeping)
    addresses = {"a": "127.0.0.2:1", "b": at(first), "c": ground.mute()}
    peers = Peers("fleet", "a", addresses, LIMITS._replace(keeper_timeout=60 * SECOND), Prng(1))
    ground.ends.callback(peers.close, SECOND)
    for message in TALK:
        began = now()
        peers.send("c", message)  # never answers: its queue fills, the sender does not wait
        peers.send("d", message)  # without an address
        peers.send("b", message)
        assert now() - began < SECOND
        wait_until(lambda message=message: keeping.talk and keeping.talk[-1] == ("a", message))
    assert [message for _, message in keeping.talk] == list(TALK)
    assert len(peers.peers["c"].queue) <= LIMITS.queue_length
    first.stop(0)
    peers.send("b", TALK[0])
    wait_until(lambda: peers.peers["b"].retry_delay)
    later = Scripted()
    ground.keeper("b", later, port=first.port)

    def again() -> list:
        peers.send("b", BEATING)
        return later.talk

    wait_until(again)
    assert {sender for sender, _ in later.talk} == {"a"}
    peers.set_addresses({"b": at(first)})
    assert sorted(peers.peers) == ["b"]


def test_a_full_queue_drops_the_oldest_heartbeats_first(ground: Ground) -> None:
    peers = Peers("fleet", "a", {"b": ground.mute()}, SLOW, Prng(1))
    ground.ends.callback(peers.close, SECOND)
    peer = peers.peers["b"]
    peer.put(TALK[0])
    wait_until(lambda: not peer.queue)  # its thread is held up by the first call from now on
    sent = [BEATING._replace(round=n) if n % 2 else keeper.TakeOver(n) for n in range(7)]
    for result in sent:
        peer.put(result)
    assert list(peer.queue) == [result for result in sent if not is_heartbeat(result)] and peer.lost == 3
    peer.put(BEATING)
    assert list(peer.queue) == [*sent[2::2], BEATING]
    for _ in range(4):
        peer.put(TALK[5]._replace(data=bytes(20_000)))
    envelope = peer._next_envelope()
    assert (
        len(envelope.messages) == 3 and envelope.ByteSize() <= LIMITS.message_bytes and len(peer.queue) == 1
    )


def test_the_backoff_before_an_absent_peer_grows(ground: Ground) -> None:
    peers, calls = Peers("fleet", "a", {"b": ground.dead()}, LIMITS, Prng(1)), []
    ground.ends.callback(peers.close, SECOND)

    def call(*_: object) -> None:
        calls.append(now())
        raise NoAnswerError("unavailable", False, False)

    peers.peers["b"].channel.call = call

    def enough() -> bool:
        peers.send("b", BEATING)
        return len(calls) >= 6

    wait_until(enough)
    assert (
        calls[1] - calls[0] >= LIMITS.retry_delay * 3 // 4 and calls[5] - calls[4] >= 4 * LIMITS.retry_delay
    )


def test_limits_follow_the_settings() -> None:
    bounds = keeper.Bounds(
        SECOND // 4, SECOND, max_batch_bytes=1 << 18, max_in_flight=4, chunk_bytes=1 << 18, max_waiting=100
    )
    limit_values = limits(orders.Terms("fleet", 10 * SECOND, 1000, SECOND, 200, bounds, VOTERS, (), 1000))
    assert (
        limit_values.message_bytes > 4 * (1 << 18)
        and limit_values.max_calls >= 200 // 4
        and limit_values.keeper_threads >= 2 * 3
    )
    assert limit_values.keeper_timeout < limit_values.call_timeout < limit_values.order_timeout


# The mailbox


def test_the_mailbox_wakes_the_scheduler_from_another_thread_and_is_bounded() -> None:
    scheduler = Scheduler(Clock(), lambda: None)
    letters, got = CrossThreadMailbox(scheduler, 3), []

    def read() -> None:
        got.append(letters.get(until=scheduler.now() + 10_000))  # nothing comes
        while (item := letters.get()) is not None:
            got.append(item)
        got.append("closed")

    scheduler.spawn(read)
    scheduler.run(lambda: bool(got))
    for n in range(3):
        letters.put(n)
    with pytest.raises(errors.OverloadedError):
        letters.put(3)
    scheduler.run(lambda: len(got) >= 4)
    assert got == [None, 0, 1, 2]
    # The poll has no alarm: it sleeps for ever unless the other thread's letter wakes it.
    other = threading.Thread(target=lambda: [time.sleep(0.05), letters.put("from afar")])
    other.start()
    scheduler.run(lambda: len(got) >= 5)
    other.join()
    with pytest.raises(BlockingIOError):
        letters.wake_reader.recv(1)  # else the poll would spin, and the pair fill up
    letters.put("last")
    letters.close()
    scheduler.run(lambda: got[-1] == "closed")
    assert got[4:] == ["from afar", "last", "closed"]
    with pytest.raises(errors.StoppingError):
        letters.put("late")


def test_a_renewal_costs_little_cpu(ground: Ground) -> None:
    client = ground.client({"a": at(ground.keeper("a", Scripted()))})
    told(client.renew, BEAT)
    began, count = time.process_time_ns(), 300
    for _ in range(count):
        assert told(client.renew, BEAT) == RENEWED
    spent = (time.process_time_ns() - began) // 1000 // count
    assert spent < 10_000, f"{spent} us a renewal, both ends together"
