"""A client that starts workflows of a fleet and reads their status, at any of its relays.

    flows = FlowsClient(["10.0.0.1:7501", "10.0.0.2:7501"])
    status = flows.start("booking", tenant="firm-7", mark="order-1881", values={"room": "A"}, wait=20.0)

A call without an answer is retried at the next relay with the same mark, which finds the same workflow.
"""

import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls import fleet_pb2_grpc

# Answers.
DONE = "done"
UNDONE = "undone"
ERRORED = "errored"

UNHEARD = "unheard"  # the state that is returned if no relay answered in time

NETWORK_SHARE = 0.15  # part of the waiting time that is left for the call's way there and back
RETRY_DELAY = 0.05  # seconds
MICROSECONDS_PER_SECOND = 1_000_000
RETRIED_CODES = (
    "stopping",
    "no_quorum",
    "lapsed_lease",
    "fenced_off",
    "overloaded",
    "not_leader",
    "unknown_fate",
)


class WorkflowStatus(NamedTuple):
    """How a workflow ended, or where it stands."""

    number: int  # 0: unknown
    answer: str  # DONE, UNDONE or ERRORED
    state: str  # "unknown" if the books did not answer
    fates: tuple[tuple[str, str], ...]  # names and states of its steps
    refused: str = ""  # the code of an error that the fleet returned


class FlowsClient:
    """Calls the relays of one fleet in turn until one answers. Times are in seconds."""

    def __init__(self, addresses: list[str]) -> None:
        """`addresses` are host:port of relays, in the order in which they are called."""
        self.channels = [grpc.insecure_channel(address) for address in addresses]
        self.closed = False
        self.stubs = [fleet_pb2_grpc.FlowsStub(channel) for channel in self.channels]

    def close(self) -> None:
        """Ends calls that wait, with ERRORED; the fleet is told that their client has left."""
        self.closed = True
        for channel in self.channels:
            channel.close()

    def start(
        self, definition: str, tenant: str, mark: str, values: Mapping[str, str], wait: float
    ) -> WorkflowStatus:
        """Starts a workflow and returns its status at its end, or within `wait` seconds.

        After ERRORED with a number, call `look` later; without one, start it again with the same mark.
        """
        given = [wire.Given(name=name, value=values[name]) for name in sorted(values)]

        def order(left: float) -> Message:
            return wire.StartOrder(
                definition=definition,
                tenant=tenant,
                mark=mark,
                values=given,
                wait=int(left * (1 - NETWORK_SHARE) * MICROSECONDS_PER_SECOND),
            )

        return self._call("Start", order, wait)

    def look(self, number: int, wait: float = 5.0) -> WorkflowStatus:
        """Returns the status of a workflow."""
        return self._call("Look", lambda _: wire.LookOrder(number=number), wait)

    def leave(self, number: int, wait: float = 5.0) -> WorkflowStatus:
        """Has a workflow undone, unless it may have passed its point of no return."""
        return self._call("Leave", lambda _: wire.LeaveOrder(number=number), wait)

    def settle(self, number: int, step: int, how: str, wait: float = 5.0) -> WorkflowStatus:
        """Settles a stuck step by its index: `by_hand` if an operator did it, or `again` to retry it."""
        return self._call("Settle", lambda _: wire.SettleOrder(number=number, step=step, how=how), wait)

    def _call(self, verb: str, order: Callable[[float], Message], wait: float) -> WorkflowStatus:
        """Calls a method of the service until an answer is final or the time is over."""
        deadline = time.monotonic() + wait
        status = WorkflowStatus(0, ERRORED, UNHEARD, (), "unknown_fate")
        turn = 0
        while not self.closed and (left := deadline - time.monotonic()) > RETRY_DELAY:
            stub = self.stubs[turn % len(self.stubs)]
            turn += 1
            try:
                answer = getattr(stub, verb)(order(left), timeout=left)
            except (grpc.RpcError, ValueError):  # ValueError: closed meanwhile
                time.sleep(min(RETRY_DELAY, max(deadline - time.monotonic(), 0)))
                continue
            status = WorkflowStatus(
                answer.number,
                answer.answer,
                answer.state,
                tuple((step.name, step.state) for step in answer.steps),
                answer.refused.code,
            )
            if status.refused not in RETRIED_CODES:
                return status
            time.sleep(min(RETRY_DELAY, max(deadline - time.monotonic(), 0)))
        return status
