"""Workflows on real relays: three keepers and two members before units that record effects."""

import copy
import itertools
import json
import re
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace

import grpc
import pytest
import test_fleet_coordinator
from click.testing import CliRunner
from conftest import ROOT
from google.protobuf.message import Message

from laurelcourse import cli
from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.errors import TooLargeError
from laurelcourse.fleet.flows_client import DONE, ERRORED, UNDONE, FlowsClient, WorkflowStatus
from laurelcourse.fleet.orders import Question, Submit
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.fleet.workflows import step_sender, views
from laurelcourse.fleet.workflows.engine import OutgoingCommand, SubmittedCommands, WorkflowEngine
from laurelcourse.lab import workflow_checks
from laurelcourse.lab.cluster import UNREACHABLE_ADDRESS, Cluster
from laurelcourse.net import req
from laurelcourse.net.counters import Counters
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.holds import Effect, HoldingUnit, Ledger
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config, route_settings

FLOWS = re.search("<workflow .*</workflow>", (ROOT / "deploy/fleet.xml").read_text(), re.DOTALL).group()
FLOWS = FLOWS.replace('tries="6"', 'tries="3"').replace('longest-back-off="5s"', 'longest-back-off="300ms"')
FLOWS = FLOWS.replace('timeout="2s"', 'timeout="700ms"')
WAIT = 12.0
# Units know repeats of this route for less than a lease, so that no takeover comes in time for one.
BRIEF_ROUTE, BRIEF_SECONDS = "brief", 1.0
PLATFORM = PLATFORM_SETTINGS | {
    "classes": [
        *PLATFORM_SETTINGS["classes"],
        route_settings(BRIEF_ROUTE, "deduplicated") | {"memory_span": BRIEF_SECONDS * 1000},
        route_settings("zonal", "deduplicated") | {"group": "zone"},
    ]
}
HARMFUL_FLOW = """<workflow name="order" timeout="8s" tries="2" back-off="100ms" longest-back-off="100ms">
    <step name="room" route="brief" statement="SELECT blob FROM rows WHERE handle = 'hold.room.{room}'"
          timeout="400ms">
      <undo route="brief" statement="SELECT blob FROM rows WHERE handle = 'free.room.{room}'" timeout="400ms"
            harmless="false"/>
    </step>
    <step name="device" route="mark" statement="SELECT blob FROM rows WHERE handle = 'hold.device.{device}'"
          timeout="700ms" no-return="true"/>
  </workflow>"""


ZONAL_FLOW = """<workflow name="zonal" timeout="8s" tries="2" back-off="100ms" longest-back-off="100ms">
    <step name="room" route="read" statement="SELECT blob FROM rows WHERE handle = 'hold.room.{room}'"
          timeout="700ms" effect="false"/>
    <step name="device" route="zonal" statement="SELECT blob FROM rows WHERE handle = 'hold.device.{device}'"
          timeout="700ms" no-return="true"/>
  </workflow>"""


class Fleet:
    def __init__(self, folder: Path) -> None:
        self.ledger = Ledger({BRIEF_ROUTE: BRIEF_SECONDS})
        self.units, directory = [HoldingUnit(self.ledger) for _ in range(3)], DirectoryStandIn()
        for place, unit in enumerate(self.units):
            directory.put(f"u-{place}", unit.address)
        self.host = Cluster(
            folder,
            {"k1": "a", "k2": "b", "k3": "c"},
            {"m1": "a", "m2": "b"},
            platform_settings=PLATFORM,
            workflows_xml=FLOWS + HARMFUL_FLOW + ZONAL_FLOW,
            known=directory.full_list(),
            directory=directory.address,
        )
        self.host.start()

    def client(self, *names: str) -> FlowsClient:
        return FlowsClient([f"{RELAY_HOST}:{self.host.workflow_ports[name]}" for name in names])

    def start(self, mark: str, *names: str, wait: float = WAIT, **values: str) -> WorkflowStatus:
        values = {"room": f"r-{mark}", "device": f"d-{mark}"} | values
        return self.client(*(names or ("m1",))).start("booking", "firm", mark, values, wait)

    def behind(
        self, mark: str, *names: str, wait: float = WAIT
    ) -> tuple[threading.Thread, list[WorkflowStatus]]:
        statuses: list[WorkflowStatus] = []
        thread = threading.Thread(target=lambda: statuses.append(self.start(mark, *names, wait=wait)))
        thread.start()
        return thread, statuses

    def effects(self, mark: str) -> list[str]:
        """Returns effects in the order in which they came to the units."""
        results = [
            (effect.at, f"{effect.kind} {effect.thing.partition('.')[0]}")
            for effect in self.ledger.effects
            if effect.thing.endswith(f"-{mark}")
        ]
        return [what for _, what in sorted(results)]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    started = Fleet(tmp_path_factory.mktemp("flows"))
    with started.host:
        assert wait_until(lambda: started.start("first").answer == DONE, 20)
        yield started


def test_done_and_the_same_mark_at_another_relay_is_the_same(fleet: Fleet) -> None:
    first = fleet.start("one")
    again = fleet.start("one", "m2")
    assert (first.answer, again.answer, first.number) == (DONE, DONE, again.number)
    assert [state for _, state in again.fates] == ["completed"] * 3
    assert fleet.effects("one") == ["hold room", "hold device", "notice r-one"]
    assert fleet.client("k1").look(first.number)[:3] == (first.number, DONE, DONE)


def test_a_step_that_is_refused_undoes_those_before_it(fleet: Fleet) -> None:
    fleet.ledger.answers["hold.device.d-two"] = "syntax"
    assert fleet.start("two").answer == UNDONE
    assert fleet.effects("two") == ["hold room", "free room"]


def test_a_step_of_unknown_outcome_is_undone_first(fleet: Fleet) -> None:
    fleet.ledger.answers["hold.device.d-three"] = "reset"
    assert fleet.start("three").answer == UNDONE
    assert fleet.effects("three") == ["hold room", "hold device", "free device", "free room"]


@pytest.mark.parametrize(
    ("definition", "values", "code"),
    [
        ("other", {}, "definition_refused"),
        ("booking", {"room": "a' /* id=x,c=once,d=9 */"}, "definition_refused"),
    ],
)
def test_values_that_break_a_statement_are_refused_at_the_start(
    fleet: Fleet, definition: str, values: dict[str, str], code: str
) -> None:
    status = fleet.client("m1").start(definition, "firm", "bad", values, 2.0)
    assert (status.number, status.answer, status.refused) == (0, ERRORED, code)


@pytest.mark.parametrize("data", [b"\xff" * 9, b"x" * (1 << 20)])
def test_garbage_ends_nothing(fleet: Fleet, data: bytes) -> None:
    channel = grpc.insecure_channel(f"{RELAY_HOST}:{fleet.host.workflow_ports['m1']}")
    for method in wire.DESCRIPTOR.services_by_name["Flows"].methods:
        with pytest.raises(grpc.RpcError) as raised:
            channel.unary_unary(f"/{method.containing_service.full_name}/{method.name}")(data, timeout=5)
        assert raised.value.code() is not grpc.StatusCode.DEADLINE_EXCEEDED
    channel.close()
    assert fleet.client("m1").look(1).number == 1


def test_a_client_that_leaves_undoes(fleet: Fleet) -> None:
    fleet.ledger.delays["hold.device.d-left"] = 0.5
    client = fleet.client("m1")
    thread = threading.Thread(
        target=lambda: client.start("booking", "firm", "left", {"room": "r-left", "device": "d-left"}, 3.0)
    )
    thread.start()
    wait_until(lambda: fleet.ledger.count_received("hold.device.d-left"))
    client.close()
    wait_until(lambda: fleet.effects("left")[-2:] == ["free device", "free room"], 8)
    thread.join()
    assert not fleet.ledger.count_received("notice.r-left")


def test_a_stuck_undo_is_reported_and_settled_by_hand(fleet: Fleet) -> None:
    fleet.ledger.answers |= {"hold.device.d-stuck": "syntax", "free.room.r-stuck": "failed"}
    status = fleet.start("stuck", wait=6.0)
    assert (status.answer, status.state) == (ERRORED, "stuck")
    assert "fault=undo_stuck" in fleet.host.nodes["m1"].log.read_text()
    assert fleet.client("m2").settle(status.number, 0, "by_hand").answer == UNDONE


@pytest.mark.parametrize("slow", ["hold.room.r-killed", "hold.device.d-killed2", "notice.r-killed3"])
def test_a_killed_owner_is_replaced_by_one_other(fleet: Fleet, slow: str) -> None:
    mark = slow.partition("-")[2]
    fleet.ledger.delays[slow] = 0.5
    thread, statuses = fleet.behind(mark, "m2", "m1")
    wait_until(lambda: fleet.ledger.count_received(slow))
    fleet.host.nodes["m2"].restart()
    thread.join()
    assert statuses[0].answer in (DONE, UNDONE)
    effects = fleet.effects(mark)
    assert effects.count(f"notice r-{mark}") == (statuses[0].answer == DONE)
    if statuses[0].answer == UNDONE:
        assert [effect for effect in effects if "free" in effect][-1] == "free room"


def test_a_paused_owner_sends_nothing_more(fleet: Fleet) -> None:
    fleet.ledger.delays["hold.room.r-paused"] = 0.5
    thread, statuses = fleet.behind("paused", "m2", "m1")
    wait_until(lambda: fleet.ledger.count_received("hold.room.r-paused"))
    node = fleet.host.nodes["m2"]
    node.pause()
    client = fleet.client("m1")
    again = client.start("booking", "firm", "paused", {}, 10.0)
    before = len(fleet.ledger.received)
    node.wake()
    thread.join()
    assert again.answer in (DONE, UNDONE) and statuses[0][:2] == again[:2]
    wait_until(lambda: node.log.read_text().rstrip().count("session is now") >= 2, 8)
    assert (
        len(
            [statement for statement in fleet.ledger.received[before:] if statement.thing.endswith("-paused")]
        )
        == 0
    )


def test_an_undo_that_may_have_run_is_not_sent_again_by_the_next_owner_after_its_memory(fleet: Fleet) -> None:
    """Guards against an undo that takes effect twice: its owner is killed, units forget its key meanwhile."""
    values = {"room": "r-twice", "device": "d-twice"}
    fleet.ledger.answers["hold.device.d-twice"] = "syntax"
    fleet.ledger.delays["free.room.r-twice"] = 0.3
    client = fleet.client("m2")
    thread = threading.Thread(target=lambda: client.start("order", "firm", "twice", values, 6.0))
    thread.start()
    wait_until(lambda: fleet.ledger.count_received("free.room.r-twice"))
    fleet.host.nodes["m2"].restart()
    thread.join()
    other = fleet.client("m1")

    def state() -> str:
        return other.start("order", "firm", "twice", values, 1.0).state

    assert wait_until(lambda: state() in ("stuck", UNDONE), 20)
    assert fleet.ledger.effects_on("room.r-twice") == ["hold", "free"]
    assert state() == "stuck"
    assert any("fault=undo_stuck" in node.log.read_text() for node in fleet.host.nodes.values())
    number = other.start("order", "firm", "twice", values, 0.2).number
    assert other.settle(number, 0, "by_hand").answer == UNDONE


def test_a_step_whose_repeats_a_zone_alone_drops_is_not_repeated_by_another_req(fleet: Fleet) -> None:
    """Guards against a step that runs in a second zone, where its key is not known."""
    values = {"room": "r-zonal", "device": "d-zonal"}
    fleet.ledger.answers["hold.device.d-zonal"] = "reset"
    assert fleet.client("m1").start("zonal", "firm", "zonal", values, 4.0).state == "stuck"
    reqs = {each.req for each in fleet.ledger.received if each.thing == "device.d-zonal"}
    assert [req_.rpartition(".")[2] for req_ in reqs] == ["1"]


LONG, BEYOND = "m" * 5000, 1 << 63


@pytest.mark.parametrize(
    ("method", "request_"),
    [
        ("Start", wire.StartOrder(definition="booking", tenant="firm", mark=LONG)),
        ("Start", wire.StartOrder(definition="booking", tenant=LONG, mark="m")),
        ("Start", wire.StartOrder(definition="booking", tenant="firm", mark="m" * 257)),
        (
            "Start",
            wire.StartOrder(
                definition="booking",
                tenant="f",
                mark="long",
                values=[wire.Given(name="room", value="r" * 6000)],
            ),
        ),
        ("Start", wire.StartOrder(definition="booking", tenant="f\n", mark="m")),
        ("Look", wire.LookOrder(number=BEYOND)),
        ("Leave", wire.LeaveOrder(number=BEYOND)),
        ("Settle", wire.SettleOrder(number=BEYOND, step=0, how="again")),
        ("Settle", wire.SettleOrder(number=1, step=BEYOND, how="again")),
        ("Settle", wire.SettleOrder(number=1, step=0, how=LONG)),
    ],
)
def test_a_call_out_of_bounds_is_refused_and_holds_up_no_other(
    fleet: Fleet, method: str, request_: Message
) -> None:
    """Guards against one call that can't be encoded and stops all workflows of its relay."""
    mark = f"bounds{len(fleet.ledger.received)}"
    thread, statuses = fleet.behind(mark)
    with grpc.insecure_channel(f"{RELAY_HOST}:{fleet.host.workflow_ports['m1']}") as channel:
        answer = getattr(fleet_pb2_grpc.FlowsStub(channel), method)(request_, timeout=5)
    assert answer.refused.code == "out_of_bounds"
    thread.join()
    assert statuses[0].answer == fleet.start(mark + "-next").answer == DONE


# Without processes

SEND = d.Send("mark", "x{a}", 5, "deduplicated", 9)
COMMANDS = (
    f.Limits(1, 2, 3, 4),
    f.Begin(
        "t",
        "m",
        d.Definition(
            "n", 1, 2, 3, 4, (d.Step("s", SEND, SEND), d.Step("s2", SEND, None, False, True, "never", True))
        ),
        (("a", "b"),),
    ),
    f.Intend(1, 0, True, 2),
    f.Result(1, 0, False, 2, "unknown"),
    f.Leave(3, "left"),
    f.Settle(3, 1, "again"),
    f.Adopt(3, 4, 5),
)


@pytest.mark.parametrize("what", COMMANDS, ids=lambda one: type(one).__name__)
def test_commands_round_trip(what: f.What) -> None:
    batch = f.Batch(1, 2, (f.Command(f.Fence("r", 1, 1, 1), 3, what),))
    assert codec.decode_batch(codec.encode_batch(batch)) == batch


def test_workflow_views_round_trip() -> None:
    books, send = Books(), d.Send("read", "x", 5)
    expected = d.Definition("n", 100, 2, 3, 4, (d.Step("s", send, send),))
    fence = books.apply(1, f.Batch(1, 1, (f.Command(None, 7, f.Open("r", "a")),)))[0].value
    books.apply(
        2, f.Batch(1, 1, (f.Command(f.Fence(*fence), 1, f.Begin("t", "m", expected, (("a", "b"),))),))
    )
    assert views.from_plain(views.to_plain(books.workflow(1))) == books.workflow(1)
    assert views.from_plain(views.to_plain(None)) is None
    for index, (what, elapsed) in enumerate(
        ((f.Intend(1, 0, False, 1), 4), (f.Result(1, 0, False, 1, f.COMPLETED), 9)), 3
    ):
        before = books.workflow(1)
        books.apply(index, f.Batch(1 + elapsed, 1, (f.Command(f.Fence(*fence), index, what),)))
        assert views.predict(before, what, elapsed) == books.workflow(1) != before


@pytest.mark.parametrize(
    ("end", "statuses", "once", "outcome"),
    [
        (req.COMPLETED, ["reset", "ok"], False, f.COMPLETED),
        (req.SHED, [], False, f.NEVER_RAN),
        (req.SHED, ["busy", "unsent"], False, f.NEVER_RAN),
        (req.SHED, ["reset"], False, f.UNKNOWN),
        (req.SHED, ["failed"], True, f.NEVER_RAN),
        (req.ERRORED, ["at_fault"], False, f.FAILED),
        (req.ERRORED, ["busy", "at_fault"], True, f.FAILED),
        (req.ERRORED, ["reset", "at_fault"], False, f.UNKNOWN),
        (req.ERRORED, [], False, f.UNKNOWN),
        (req.WITHDRAWN, ["ok"], False, f.UNKNOWN),
    ],
)
def test_outcomes_of_a_step(end: str, statuses: list[str], once: bool, outcome: str) -> None:
    assert step_sender.outcome_of(end, statuses, once) == outcome


def seen(words: str) -> dict[str, workflow_checks.Observations]:
    """Returns the observations of one workflow from words such as `hold.room`, in order.

    A word with a `?` came without effect.
    """
    results = [
        (Effect(at, *word.strip("?").split("."), "", ""), word[-1] != "?")
        for at, word in enumerate(words.split())
    ]
    results = [(effect_._replace(thing=effect_.thing + ".m"), effect) for effect_, effect in results]
    return workflow_checks.group_by_mark(
        ["m"],
        [effect_ for effect_, _ in results],
        [effect_ for effect_, effect in results if effect],
        frozenset(["device.m"]),
    )


@pytest.mark.parametrize(
    ("words", "answer", "ended", "took", "broken"),
    [
        ("hold.room hold.device hold.slot notice.n", DONE, DONE, 1.0, {}),
        ("hold.room hold.device free.device free.room", UNDONE, UNDONE, 2.0, {}),
        (
            "hold.device hold.room hold.slot notice.n",
            DONE,
            DONE,
            1.0,
            {"out_of_order": 1, "two_owners_acted": 1},
        ),
        (
            "hold.room hold.device free.room free.device",
            UNDONE,
            UNDONE,
            2.0,
            {"out_of_order": 1, "two_owners_acted": 1},
        ),
        ("hold.room hold.device free.device", UNDONE, UNDONE, 2.0, {"effects_left_behind": 1}),
        (
            "hold.room free.room hold.room",
            UNDONE,
            UNDONE,
            2.0,
            {"effects_left_behind": 1, "two_owners_acted": 1},
        ),
        ("hold.room free.room notice.n", DONE, DONE, 1.0, {"undone_though_done": 1, "two_owners_acted": 1}),
        ("hold.room notice.n notice.n", DONE, DONE, 1.0, {"notices_twice": 1}),
        ("hold.room hold.device? free.device free.room", UNDONE, UNDONE, 0.3, {"undo_of_never_ran": 1}),
        ("hold.room hold.device? free.device free.room", UNDONE, UNDONE, 2.0, {}),
        ("hold.room", UNDONE, DONE, 1.0, {"one_outcome_each": 1}),
        ("hold.room", "maybe", DONE, 1.0, {"one_outcome_each": 1}),
        ("hold.room", ERRORED, DONE, 8.5, {"answered_after_deadline": 1}),
    ],
)
def test_violations_that_the_lab_counts(
    words: str, answer: str, ended: str, took: float, broken: dict[str, int]
) -> None:
    asked = [workflow_checks.ClientCall("m", 0.0, took, 8.0, WorkflowStatus(1, answer, answer, ()), True)]
    counts = workflow_checks.count_violations(seen(words), asked, {"m": WorkflowStatus(1, ended, ended, ())})
    assert {name: count for name, count in counts.items() if count} == broken


def test_only_the_leader_sets_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(test_fleet_coordinator, "encode", codec.encode_batch)
    monkeypatch.setattr(test_fleet_coordinator, "decode", codec.decode_batch)
    limits = f.Limits(9, 8, 7, 6)
    desks = test_fleet_coordinator.Fleet(terms=test_fleet_coordinator.TERMS._replace(limits=limits))
    fence = desks.open("r")
    desks.until(lambda: desks.leader().books.workflow_limits() == limits)
    for what in (limits, f.Adopt(1, 2, fence.session)):
        assert desks.ask("submit", test_fleet_coordinator.submit(None, what)).code == "out_of_order"
    assert desks.ask("ask", Question("flows", str(fence.session))) == f.Done(((), (), ()))
    assert desks.ask("ask", Question("flow", "1,x,2")) == f.Done(((), ()))


def test_check_compares_workflows_with_the_platforms_routes(tmp_path: Path) -> None:
    for effect, code, words in (("deduplicated", 0, "1 workflows"), ("at_most_once", 2, "may not be")):
        settings_copy = copy.deepcopy(PLATFORM_SETTINGS)
        settings_copy["classes"][1]["effect"] = effect
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                relay_config(
                    "r-1",
                    f"{RELAY_HOST}:1",
                    UNREACHABLE_ADDRESS,
                    UNREACHABLE_ADDRESS,
                    {"revision": 1, "complete": True, "members": []},
                    settings_copy,
                )
            )
        )
        ran = CliRunner().invoke(
            cli.main, ["check", "--config", str(path), "-o", str(ROOT / "deploy/fleet.xml")]
        )
        assert (ran.exit_code, words in ran.output) == (code, True), ran.output


def test_no_try_is_begun_without_a_lease() -> None:
    begun: list[str] = []

    class Tries:
        def begin(self, *_: object) -> None:
            begun.append("sent")

        def report_unsent(self, *_: object) -> None:
            begun.append("unsent")

    owned, leases = step_sender.GuardedTries(Tries()), [True, False]
    asked = step_sender.build_statement(
        step_sender.SendReq("i", "k", "mark", "SELECT blob FROM rows WHERE handle = 'a'", 0), 5000, True
    )
    assert asked.repeated and (asked.req, asked.mark, asked.left_ms) == ("i", "k", 5)
    owned.statuses["i"], owned.may_send["i"] = [], lambda: leases.pop(0)
    for number in range(2):
        owned.begin(number, 0, 9, asked, None)
    assert begun == ["sent", "unsent"]


def test_a_steps_lease_is_its_own_sessions_and_looked_at_as_it_is_sent() -> None:
    """A later session may be usable while the step's intent belongs to the former one."""
    looks, sent, lease = [], [], [True]

    def usable(now: int) -> bool:
        looks.append(now)
        return lease[0]

    now = itertools.count(100)
    flows = SimpleNamespace(
        own_session=7,
        clock=lambda: next(now),
        _has_lease=usable,
        post_or_drop=None,
        sender=SimpleNamespace(send=lambda *of: sent.append(of)),
    )
    run = SimpleNamespace(sending=lambda: SimpleNamespace(tried=2), on_outcome=None)
    WorkflowEngine._send(flows, run, step_sender.SendReq("i", "k", "mark", "SELECT 1", 5000))
    ((_, left, again, look, _),) = sent
    assert (left, again, looks) == (4900, True, []), "looked at when it is sent, not before"
    assert look() and looks == [101]
    lease[0] = False
    assert not look()
    lease[0], flows.own_session = True, 8
    assert not look()
    flows.own_session = 7
    now = itertools.count(4999)
    assert look() and not look(), "nor is it sent once its time is over"


def test_a_step_is_not_written_once_it_may_not_be_sent() -> None:
    """Guards against a step sent by an owner that was paused, or lost its lease, as a connection came up."""
    asked: list[Callable[[], bool]] = []
    lifecycle = SimpleNamespace(begin=lambda _request, _box, _answers, has_left: asked.append(has_left))
    sender = step_sender.StepSender(
        SimpleNamespace(spawn=lambda task, *args: task(*args)), None, None, Counters(), {}
    )
    sender.lifecycle, may_send = lifecycle, [True, False]
    request = step_sender.SendReq("i", "k", "mark", "SELECT blob FROM rows WHERE handle = 'a'", 0)
    sender.send(request, 5000, False, lambda: may_send.pop(0), lambda _: None)
    assert [asked[0](), asked[0]()] == [False, True], "asked as its bytes are written"


class SubmittingClient:
    """Takes Submits of up to `most` commands; raises or answers that larger ones are too large."""

    def __init__(self, most: int, raises: bool) -> None:
        self.most, self.raises, self.sent = most, raises, []

    def check_sendable(self, command: f.Command) -> None:
        if command.what.workflow == UNSENDABLE:
            raise TooLargeError("Leave", size=2, at_most=1)

    def submit(self, submit: Submit, on_answer: Callable) -> None:
        if len(submit.commands) > self.most and self.raises:
            raise TooLargeError("Submit", size=2, at_most=1)
        self.sent.append(len(submit.commands))
        if len(submit.commands) > self.most:
            on_answer(f.Done(code="too_large", told=(("size", 2), ("at_most", 1))))
        else:
            on_answer((f.Done(("forward",)),) * len(submit.commands))


UNSENDABLE = 9


@pytest.mark.parametrize("raises", [True, False])
def test_a_command_that_is_refused_leaves_those_beside_it_alone(raises: bool) -> None:
    """Guards against a Submit that is refused whole and taken for one whose answer was lost."""
    session = test_fleet_coordinator.opened()
    client = SubmittingClient(2, raises)
    member = SimpleNamespace(
        session=session,
        client=SimpleNamespace(
            limits=SimpleNamespace(order_timeout=1),
            check_sendable=client.check_sendable,
            submit=client.submit,
        ),
        clock=lambda: 10,
        counters=Counters(),
    )
    engine = WorkflowEngine(member, None, None, {}, None)
    engine.post_or_drop = lambda work, *args: work(*args)
    results: dict[int, f.Done] = {}
    for number in range(1, 12):
        engine.outbox.append(
            OutgoingCommand(
                f.Leave(number, f.LEFT), lambda done, number=number: results.update({number: done})
            )
        )
    for _ in range(20):
        engine._submit(10, True)
    assert {number: done.code for number, done in results.items() if done.code} == {UNSENDABLE: "too_large"}
    assert len(results) == 11 and not session.unknown and not engine.unanswered


def test_a_submit_that_the_client_gave_up_may_have_been_applied() -> None:
    """Guards against commands given anew, with other marks, after an answer that was too large."""
    outgoing = OutgoingCommand(f.Leave(1, f.LEFT), None)
    commands = tuple(
        (f.Command(test_fleet_coordinator.FENCE, mark, outgoing.command), outgoing) for mark in (1, 2)
    )
    lost: list[f.Command] = []
    engine = SimpleNamespace(
        submitted=(submitted := SubmittedCommands(0, commands)),
        clock=lambda: 10,
        unanswered={},
        outbox=[],
        max_commands=2,
        session=SimpleNamespace(lost=lambda command, _: lost.append(command)),
    )
    WorkflowEngine._on_submitted(engine, submitted, TooLargeError("k1", size=2, at_most=1))
    assert [command.mark for command in lost] == [1, 2] and not engine.outbox


def test_a_client_with_hundreds_of_workflows_does_not_hold_up_another(fleet: Fleet) -> None:
    """Guards against Begins of one connection that kept all others waiting: 5.3 s, and no answer."""
    address = f"{RELAY_HOST}:{fleet.host.workflow_ports['m1']}"
    # Channels of one process share a connection unless told otherwise.
    channel = grpc.insecure_channel(address, [("grpc.use_local_subchannel_pool", 1)])
    stub = fleet_pb2_grpc.FlowsStub(channel)
    orders = (
        wire.StartOrder(
            definition="booking",
            tenant="crowd",
            mark=f"crowd-{number}",
            values=[wire.Given(name=name, value=f"crowd-{number}") for name in ("room", "device")],
            wait=6_000_000,
        )
        for number in range(400)
    )
    calls = [stub.Start.future(order, timeout=7) for order in orders]
    assert fleet.start("among-many", wait=4.0).answer == DONE
    for call in calls:
        call.cancel()
    channel.close()
