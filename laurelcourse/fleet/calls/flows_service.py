"""The gRPC service for clients of workflows, at any relay: each call gets one answer in its time.

A call that its client gives up before its answer turns the workflow back, unless it is too late for that.
"""

import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError, ThreadPoolExecutor
from concurrent.futures import TimeoutError as LateError

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.calls.ways import SECOND, Limits, options
from laurelcourse.fleet.errors import FleetError, StoppingError, UnknownFateError
from laurelcourse.fleet.workflows.definition import LONGEST
from laurelcourse.fleet.workflows.run import ERRORED, Tell
from laurelcourse.fleet.workflows.work import Flows

CALLS = 128         # under way at once; each holds a thread while it waits
MESSAGE = 256 << 10


class FlowsService(fleet_pb2_grpc.FlowsServicer):
    def __init__(self, flows: Flows, address: str, limits: Limits) -> None:
        """Listens at `address` (host:port) once `start` is called; OSError if another process has it."""
        self.flows, self.limits, self.stopping = flows, limits, False
        self.lock, self.waits = threading.Lock(), set()
        self.pool = ThreadPoolExecutor(CALLS, thread_name_prefix="fleet-flows")
        self.server = grpc.server(self.pool, options=options(limits._replace(message=MESSAGE, asks=CALLS)),
                                  maximum_concurrent_rpcs=CALLS)
        fleet_pb2_grpc.add_FlowsServicer_to_server(self, self.server)
        try:
            self.server.add_insecure_port(address)
        except RuntimeError as error:
            self.pool.shutdown()
            raise OSError(f"can't listen at {address}") from error

    def start(self) -> None:
        self.server.start()

    def stop(self, grace: int) -> None:
        """Whoever waits is told at once that this relay stops: its workflow goes on at another."""
        with self.lock:
            self.stopping = True
            for wait in self.waits:
                _set(wait, StoppingError("workflows"))
        self.server.stop(grace / SECOND).wait()
        self.pool.shutdown()

    # The calls: names as in fleet.proto

    def Start(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        definition = self.flows.definitions.get(request.definition)
        most = min(request.wait or LONGEST, definition.timeout if definition else LONGEST)
        wait = self._time(context, most)
        values = tuple((one.name, one.value) for one in request.values)
        until = self.flows.clock() + wait

        def ask(told: Callable) -> None:
            self.flows.put(self.flows.start, request.definition, request.tenant, request.mark, values, until,
                           told)
        return self._asked(ask, wait + self._spare(wait), context, leaves=True)

    def Look(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked(lambda told: self.flows.put(self.flows.look, request.number, told),
                           self._time(context, self.limits.answer), context)

    def Leave(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked(lambda told: self.flows.put(self.flows.leave, request.number, told),
                           self._time(context, self.limits.answer), context)

    def Settle(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked(lambda told: self.flows.put(self.flows.settle, request.number, request.step,
                                                       request.how, told),
                           self._time(context, self.limits.answer), context)

    def _time(self, context: grpc.ServicerContext, most: int) -> int:
        """Seven eighths of the asker's time, so that the answer is there before it is over."""
        left = context.time_remaining()
        return most if left is None else max(min(int(left * SECOND) * 7 // 8, most), 1)

    def _spare(self, wait: int) -> int:
        """The task itself answers when the time is up; this thread only in case it can't."""
        return wait // 16

    def _asked(self, ask: Callable[[Callable], None], wait: int, context: grpc.ServicerContext,
               leaves: bool = False) -> Message:
        future: Future = Future()

        def told(answer: Tell | FleetError) -> None:
            _set(future, answer)

        def gone() -> None:
            if leaves and not future.done():
                self.flows._late(self.flows.left, told)
                _set(future, UnknownFateError("client"))
        try:
            with self.lock:
                if self.stopping:
                    raise StoppingError("workflows")
                self.waits.add(future)
            context.add_callback(gone)
            ask(told)
            return _flow(future.result(wait / SECOND))
        except LateError:
            _set(future, UnknownFateError("workflows"))
            return _flow(future.result())
        except FleetError as error:
            _set(future, error)
            return _flow(error)
        finally:
            with self.lock:
                self.waits.discard(future)


def _set(future: Future, answer: Tell | FleetError) -> None:
    """The first answer is the one."""
    with contextlib.suppress(InvalidStateError):
        future.set_result(answer)


def _flow(answer: Tell | FleetError) -> Message:
    if isinstance(answer, FleetError):
        return wire.Flow(answer=ERRORED, state="unknown", refused=codec.message_of(refusal(answer)).done)
    steps = [wire.StepFate(name=name, state=state) for name, state in answer.fates]
    return wire.Flow(number=answer.workflow, answer=answer.answer, state=answer.state, steps=steps)
