"""Every error of the fleet: its text, its encoding between processes, its row on the on-call page; and
invalid input of each kind at a keeper, which goes on.
"""

import re
import string
from collections.abc import Iterator
from pathlib import Path

import grpc
import pytest

from laurelcourse.fleet import errors, orders
from laurelcourse.fleet.books.forms import Command, Done, Fence, GiveBack, Lapse, Open
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import limits
from laurelcourse.fleet.calls.forwarder import Forwarder
from laurelcourse.fleet.calls.service import Service, refusal
from laurelcourse.fleet.errors import ERRORS_BY_CODE, FleetError
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import Bounds, Keepers
from laurelcourse.fleet.keeper.replica import Replica, open_replica
from laurelcourse.fleet.orders import Terms
from laurelcourse.fleet.wiring import clock, log
from laurelcourse.prng import Prng
from laurelcourse.standins.base import wait_until

DOC = Path(__file__).parent.parent / "docs" / "on-call-fleet.md"
SECOND = 1_000_000
WORDS = {"leader", "fault", "fleet", "keeper", "theirs", "ours", "of", "state", "order", "resource", "kind"}
TERMS = Terms(
    "agenda",
    SECOND,
    1000,
    SECOND // 10,
    9,
    Bounds(SECOND // 20, SECOND // 5, 1 << 14, 4, 1 << 14, 64),
    Keepers(("k1",)),
    (),
    99,
)


def figures(kind: type[FleetError]) -> dict[str, int | str]:
    """Returns a value for each figure that an error's two sentences name."""
    names = [name for _, name, _, _ in string.Formatter().parse(kind.problem) if name]
    return {name: f"a {name}" if name in WORDS else 7 + place for place, name in enumerate(names)}


def rows() -> dict[str, tuple[str, str]]:
    """Returns the page's table of errors: what happened and what to do, by code."""
    table = DOC.read_text().partition("## All errors")[2].partition("\n## ")[0]
    table_rows = re.findall(r"^\| `(\w+)` \| (.+?) \| (.+?) \|(?: .*\|)?$", table, re.M)
    assert len(table_rows) == len({code for code, _, _ in table_rows}), "a code has two rows"
    return {code: (what, do) for code, what, do in table_rows}


def test_the_on_call_page_documents_exactly_the_errors() -> None:
    assert rows() == {code: (kind.problem, kind.remedy) for code, kind in ERRORS_BY_CODE.items()}


def test_each_type_has_a_code_of_its_own() -> None:
    assert len(ERRORS_BY_CODE) == len(FleetError.__subclasses__()) and "" not in ERRORS_BY_CODE


@pytest.mark.parametrize("kind", ERRORS_BY_CODE.values(), ids=ERRORS_BY_CODE)
def test_an_error_says_what_happened_to_what_and_what_to_do(kind: type[FleetError]) -> None:
    error_figures = figures(kind)
    error = kind("relay-7", **error_figures)
    text, problem = str(error), kind.problem.format(**error_figures)
    assert text == f"relay-7: {problem}; {kind.remedy}"
    assert (
        all(str(value) in problem for value in error_figures.values())
        and kind.remedy
        and "{" not in kind.remedy + problem
    )
    assert error.fields() == {"fault": kind.code, "to": "relay-7", "what": problem, "do": kind.remedy}
    # To another process and back.
    message = codec.to_message(refusal(error))
    done = codec.from_message(orders.Answer, wire.Answer.FromString(message.SerializeToString()))
    back = errors.error_from_code(done.code, done.to, dict(done.told))
    assert (
        type(back) is kind
        and str(back) == text
        and back.figures == error_figures
        and back.is_temporary == kind.is_temporary
    )
    # With a figure missing it is unreadable, and never a fault of whoever hears it.
    if error_figures:
        assert isinstance(errors.error_from_code(kind.code, "relay-7", {}), errors.UnreadableError)


def test_an_unknown_code_is_reported_as_unreadable() -> None:
    error = errors.error_from_code("of_next_year", "relay-7", {"x": 1})
    assert isinstance(error, errors.UnreadableError) and "of_next_year" in str(error)


class Running:
    def __init__(self, folder: Path) -> None:
        def desk(kept: object) -> Coordinator:
            return Coordinator(
                "k1", "a", TERMS, Prng(1), kept, clock(), encode=codec.encode_batch, decode=codec.decode_batch
            )

        self.limits = limits(TERMS)
        self.keeping = open_replica(folder, "agenda", "k1", 1, desk, lambda to, message: None, clock, log)
        assert isinstance(self.keeping, Replica)
        self.service = Service(
            self.keeping,
            "agenda",
            "k1",
            "127.0.0.1:0",
            self.limits,
            Forwarder("agenda", "k1", {}, self.limits),
        )
        self.service.start()
        self.channel = grpc.insecure_channel(f"127.0.0.1:{self.service.port}")

    def ask(self, verb: str, order: object, **head: object) -> Done | tuple:
        request = {"Submit": wire.SubmitOrder, "Ask": wire.AskOrder, "Change": wire.ChangeOrder}[verb](
            head=codec.head("agenda", "m1", "k1"), what=codec.to_message(order)
        )
        for name, value in head.items():
            setattr(request.head, name, value)
        reply = getattr(fleet_pb2_grpc.BooksStub(self.channel), verb)(request, timeout=5)
        return codec.from_message(orders.Answer, reply.answer)

    def hash(self) -> tuple:
        return wait_until(lambda: self.ask("Ask", orders.Question("hash")).value)


@pytest.fixture(scope="module")
def keeper(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Running]:
    running = Running(tmp_path_factory.mktemp("books") / "k1")
    running.hash()
    yield running
    running.channel.close()
    running.keeping.stop(SECOND)
    running.service.stop(SECOND)


ASK = orders.Question("hash")


@pytest.mark.parametrize(
    "verb, order, head, code",
    [
        ("Ask", ASK, {"fleet": "other"}, "other_fleet"),
        ("Ask", ASK, {"version": 99}, "other_version"),
        ("Ask", ASK, {"version": 0}, "other_version"),
        ("Ask", ASK, {"to": "k2"}, "unreadable"),
        ("Ask", ASK, {"sender": ""}, "unreadable"),
        ("Ask", ASK, {"sender": "x" * 5000}, "too_large"),
        ("Ask", orders.Question("everything"), {}, "unknown_command"),
        ("Ask", orders.Question("budget", "none"), {}, "no_such_budget"),
        ("Submit", orders.Submit((Command(None, 5, Lapse(1)),)), {}, "out_of_order"),
        ("Submit", orders.Submit((Command(Fence("m1", 9, 1, 0), 5, GiveBack("x", 0)),)), {}, "lapsed_lease"),
        ("Submit", orders.Submit((Command(None, 5, Open("m" * 4000, "a")),) * 5), {}, "too_large"),
        ("Change", Keepers(("k1", "k2", "k3")), {}, "unfit_change"),
        ("Change", Keepers(()), {}, "unfit_change"),
        ("Change", Keepers(("k;1",)), {}, "unfit_change"),
    ],
)
def test_invalid_orders_are_refused_and_change_nothing(
    keeper: Running, verb: str, order: object, head: dict, code: str
) -> None:
    before = keeper.hash()
    answer = keeper.ask(verb, order, **head)
    done = answer if isinstance(answer, Done) else answer[0]
    assert done.code == code
    assert keeper.hash() == before


def _garbage(size: int) -> bytes:
    rng = Prng(size)
    return bytes(rng.below(256) for _ in range(size))


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff" * 9, _garbage(7), _garbage(900), b"x" * (1 << 20)],
    ids=["nothing", "ones", "few", "many", "over the bound"],
)
def test_garbage_ends_nothing(keeper: Running, data: bytes) -> None:
    before = keeper.hash()
    own = [("grpc.use_local_subchannel_pool", 1)]
    stranger = grpc.insecure_channel(f"127.0.0.1:{keeper.service.port}", own)
    for name in ("Keepers", "Books"):  # Flows has a port of its own: tests/test_fleet_workflow_processes.py
        service = wire.DESCRIPTOR.services_by_name[name]
        for method in service.methods:
            try:
                answer = stranger.unary_unary(f"/{service.full_name}/{method.name}")(data, timeout=5)
            except grpc.RpcError as error:
                assert error.code() in (
                    grpc.StatusCode.INTERNAL,
                    grpc.StatusCode.UNKNOWN,
                    grpc.StatusCode.RESOURCE_EXHAUSTED,
                ), (method.name, error)
            else:
                assert answer, method.name  # refused by type, in an answer that can be read
    stranger.close()
    assert keeper.hash() == before and keeper.keeping.thread.is_alive()
