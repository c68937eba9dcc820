"""To begin workflows of a fleet and to ask for them, at whichever of its relays answers.

    flows = FlowsClient(["10.0.0.1:7501", "10.0.0.2:7501"])
    told = flows.start("booking", tenant="firm-7", mark="order-1881", values={"room": "A"}, wait=20.0)

A call that brought no answer is made again at the next relay with the same mark: it finds the same one.
"""

import time
from collections.abc import Mapping
from typing import NamedTuple

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls import fleet_pb2_grpc

DONE, UNDONE, ERRORED = "done", "undone", "errored"
UNHEARD = "unheard"  # the state that is told when no relay said anything in time
SPARE = 0.15  # of the time, for the way there and back
PAUSE = 0.05
AGAIN = ("stopping", "no_quorum", "lapsed_lease", "fenced_off", "overloaded", "not_leader", "unknown_fate")


class Told(NamedTuple):
    """`answer`: DONE, UNDONE, ERRORED; `state`: where the workflow stands ("unknown" if the books did not
    say); `fates`: of each step; `refused`: an error's code, if the fleet said one."""

    number: int
    answer: str
    state: str
    fates: tuple[tuple[str, str], ...]
    refused: str = ""


class FlowsClient:
    def __init__(self, addresses: list[str]) -> None:
        """`addresses`: host:port of relays, in the order in which they are asked."""
        self.channels = [grpc.insecure_channel(one) for one in addresses]
        self.closed = False
        self.stubs = [fleet_pb2_grpc.FlowsStub(one) for one in self.channels]

    def close(self) -> None:
        """Whoever waits is answered at once, with ERRORED; the fleet hears that its client has left."""
        self.closed = True
        for one in self.channels:
            one.close()

    def start(self, definition: str, tenant: str, mark: str, values: Mapping[str, str], wait: float) -> Told:
        """One answer within `wait` seconds. ERRORED with a number: ask `look` later; without one: start it
        again with the same mark."""
        given = [wire.Given(name=name, value=values[name]) for name in sorted(values)]

        def order(left: float) -> Message:
            return wire.StartOrder(
                definition=definition,
                tenant=tenant,
                mark=mark,
                values=given,
                wait=int(left * (1 - SPARE) * 1_000_000),
            )

        return self._asked("Start", order, wait)

    def look(self, number: int, wait: float = 5.0) -> Told:
        return self._asked("Look", lambda _: wire.LookOrder(number=number), wait)

    def leave(self, number: int, wait: float = 5.0) -> Told:
        """Turns it back, unless the point of no return may be passed."""
        return self._asked("Leave", lambda _: wire.LeaveOrder(number=number), wait)

    def settle(self, number: int, step: int, how: str, wait: float = 5.0) -> Told:
        """An operator's word on a stuck step, by its place: `by_hand`, or `again`."""
        return self._asked("Settle", lambda _: wire.SettleOrder(number=number, step=step, how=how), wait)

    def _asked(self, verb: str, order: object, wait: float) -> Told:
        over, found, at = time.monotonic() + wait, Told(0, ERRORED, UNHEARD, (), "unknown_fate"), 0
        while not self.closed and (left := over - time.monotonic()) > PAUSE:
            stub, at = self.stubs[at % len(self.stubs)], at + 1
            try:
                answer = getattr(stub, verb)(order(left), timeout=left)
            except (grpc.RpcError, ValueError):  # ValueError: closed meanwhile
                time.sleep(min(PAUSE, max(over - time.monotonic(), 0)))
                continue
            found = Told(
                answer.number,
                answer.answer,
                answer.state,
                tuple((one.name, one.state) for one in answer.steps),
                answer.refused.code,
            )
            if found.refused not in AGAIN:
                return found
            time.sleep(min(PAUSE, max(over - time.monotonic(), 0)))
        return found
