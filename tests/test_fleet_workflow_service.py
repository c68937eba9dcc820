"""The service for clients of workflows alone: many that wait, one that leaves, a stop in the middle."""

import os
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import grpc
import pytest
from test_fleet_calls import LIMITS, now, wait_until

from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls import fleet_pb2_grpc
from laurelcourse.fleet.calls.channel import SECOND
from laurelcourse.fleet.calls.flows_service import (
    FAULT_DELAY,
    MAX_CALLS,
    MAX_STREAMS,
    READ_TIME,
    FlowsService,
)
from laurelcourse.fleet.errors import FleetError, error_from_code
from laurelcourse.fleet.workflows.run import ClientAnswer
from laurelcourse.standins.base import RELAY_HOST
from laurelcourse.standins.ports import reserve_port

MANY = 200
GRACE = 5_000_000  # microseconds


class Flows:
    """In place of a relay's workflows: it keeps the callbacks, and answers when the test says so."""

    def __init__(self) -> None:
        self.definitions: dict = {}
        self.asked: dict[str, Callable] = {}  # by mark
        self.gone: list[Callable] = []
        self.refuses: Exception | None = None

    def clock(self) -> int:
        return now()

    def post(self, work: Callable, *args: object) -> None:
        if self.refuses:
            raise self.refuses
        work(*args)

    post_or_drop = post

    def start(
        self, _: str, __: str, mark: str, ___: tuple, ____: int, on_answer: Callable, client: str
    ) -> None:
        self.asked[mark] = on_answer

    def client_left(self, on_answer: Callable, client: str) -> None:
        self.gone.append(on_answer)

    def tell(self, mark: str) -> None:
        self.asked[mark](ClientAnswer(int(mark), "done", "done", (("room", "completed"),)))


@contextmanager
def served(flows: Flows) -> Iterator[tuple[FlowsService, fleet_pb2_grpc.FlowsStub]]:
    address = f"{RELAY_HOST}:{reserve_port()}"
    service = FlowsService(flows, address, LIMITS)
    service.start()
    channel = grpc.insecure_channel(address)
    try:
        stub = fleet_pb2_grpc.FlowsStub(channel)
        stub.channel, stub.address = channel, address
        yield service, stub
    finally:
        channel.close()
        if not service.stopping:
            service.stop(GRACE)


def order(mark: object) -> wire.StartOrder:
    return wire.StartOrder(definition="booking", tenant="firm", mark=str(mark), wait=20_000_000)


def threads() -> int:
    """Returns the number of threads of this process, with those of gRPC's core."""
    return len(os.listdir("/proc/self/task"))


def test_clients_that_wait_hold_no_thread_each_and_all_have_their_outcome() -> None:
    flows = Flows()
    with served(flows) as (_, stub):
        calls = [stub.Start.future(order(0), timeout=30)]
        wait_until(lambda: len(flows.asked) == 1)
        before = threads()
        calls += [stub.Start.future(order(mark), timeout=30) for mark in range(1, MANY)]
        wait_until(lambda: len(flows.asked) == MANY or any(call.done() for call in calls))
        assert len(flows.asked) == MANY, next(call for call in calls if call.done()).exception()
        assert threads() <= before + 16
        assert not any(call.done() for call in calls)
        for mark in reversed(range(MANY)):
            flows.tell(str(mark))
        assert [call.result(10).number for call in calls] == list(range(MANY))
        assert {call.result().answer for call in calls} == {"done"} and not flows.gone


def test_a_client_that_leaves_is_told_of_and_no_other() -> None:
    flows = Flows()
    with served(flows) as (_, stub):
        first, second = (stub.Start.future(order(mark), timeout=30) for mark in (1, 2))
        wait_until(lambda: len(flows.asked) == 2)
        first.cancel()
        wait_until(lambda: flows.gone)
        flows.tell("1"), flows.tell("2")
        assert second.result(5).number == 2 and flows.gone == [flows.asked["1"]]


def test_waiting_clients_are_answered_at_a_stop() -> None:
    flows = Flows()
    with served(flows) as (service, stub):
        calls = [stub.Start.future(order(mark), timeout=30) for mark in range(9)]
        wait_until(lambda: len(flows.asked) == 9)
        stopper = threading.Thread(target=service.stop, args=(GRACE,))
        stopper.start()
        assert {call.result(5).refused.code for call in calls} == {"stopping"} and not flows.gone
        # Not by polling `is_alive` of a thread that another one joins: Python 3.11 may fail by that.
        stopper.join(10)
        assert not stopper.is_alive() and not service.thread.is_alive()
        # A late answer finds nobody, and ends nothing.
        flows.tell("1")


@pytest.mark.parametrize(
    "refuses, wait, code",
    [
        (error_from_code("overloaded", "letters", {"waiting": 1, "at_most": 1}), 20_000_000, "overloaded"),
        (None, 100_000, "unknown_fate"),
    ],
)
def test_each_call_has_one_answer_in_time(refuses: FleetError | None, wait: int, code: str) -> None:
    flows = Flows()
    flows.refuses = refuses
    with served(flows) as (_, stub):
        begun = time.monotonic()
        # Without a time of its own: the order's counts.
        answer = stub.Start(wire.StartOrder(definition="booking", mark="1", wait=wait))
        assert (answer.answer, answer.refused.code) == ("errored", code) and time.monotonic() < begun + 5
        assert not flows.gone


def test_only_faults_of_calls_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    flows = Flows()
    with served(flows) as (_, stub):
        name = "/" + wire.DESCRIPTOR.services_by_name["Flows"].full_name + "/Start"
        for data, code in ((b"\xff" * 9, "UNKNOWN"), (b"x" * (1 << 20), "RESOURCE_EXHAUSTED")):
            with pytest.raises(grpc.RpcError) as raised:
                stub.channel.unary_unary(name)(data, timeout=5)
            assert raised.value.code().name == code
        assert not caplog.records
        flows.refuses = ValueError("a fault")
        with pytest.raises(grpc.RpcError):
            stub.Start(order(1), timeout=5)
        assert "a fault" in caplog.text and flows.asked == {}


def test_an_address_that_is_taken_is_named() -> None:
    address = f"{RELAY_HOST}:{reserve_port()}"
    service = FlowsService(Flows(), address, LIMITS)
    with pytest.raises(OSError, match=address):
        FlowsService(Flows(), address, LIMITS)
    service.start()
    service.stop(0)


def method_path(method: str) -> str:
    return f"/{wire.DESCRIPTOR.services_by_name['Flows'].full_name}/{method}"


def test_a_call_whose_message_does_not_come_ends_in_time() -> None:
    """Guards against calls that held their place for ever, until no other was taken."""
    over = threading.Event()

    def messages() -> Iterator[bytes]:
        over.wait(20)
        yield b""

    with served(Flows()) as (_, stub):
        began = time.monotonic()
        call = stub.channel.stream_unary(method_path("Start")).future(messages(), timeout=15)
        assert call.code() is grpc.StatusCode.DEADLINE_EXCEEDED and "in time" in call.details()
        assert time.monotonic() - began < 2 * READ_TIME / SECOND
        over.set()


def test_connections_that_open_all_they_may_leave_room_for_another() -> None:
    """Guards against a few connections that took every place."""
    flows = Flows()
    calls = []  # a call that nobody refers to is cancelled
    with served(flows) as (_, stub), ExitStack() as stack:
        for number in range(6):
            # Each with a connection of its own.
            channel = grpc.insecure_channel(stub.address, [("grpc.use_local_subchannel_pool", 1)])
            stack.callback(channel.close)
            crowd = fleet_pb2_grpc.FlowsStub(channel)
            calls += [
                crowd.Start.future(order(f"{number}-{mark}"), timeout=30) for mark in range(MAX_STREAMS)
            ]
        wait_until(lambda: len(flows.asked) > MAX_CALLS // 2)
        call = stub.Start.future(order(7), timeout=5)
        wait_until(lambda: "7" in flows.asked or call.done())
        flows.tell("7")
        assert call.result(5).number == 7


def test_faults_in_a_row_are_answered_late_and_only_to_their_sender() -> None:
    """Guards against a client that took the CPU with calls that can't be served."""
    with served(Flows()) as (service, stub):
        garbage = stub.channel.unary_unary(method_path("Start"))
        durations = []
        for _ in range(3):
            began = time.monotonic()
            with pytest.raises(grpc.RpcError):
                garbage(b"\xff" * 9, timeout=5)
            durations.append(time.monotonic() - began)
        assert durations[0] < FAULT_DELAY / SECOND <= min(durations[1:])
        wait_until(lambda: service.admission.open_calls.taken == 0)  # a call ends behind its answer
        assert len(service.admission.faults_in_a_row) == 1
