"""The gRPC service for clients of workflows, at any relay: each call gets one answer in its time.

A call that its client gives up before its answer turns the workflow back, unless it is too late for that.
All calls are tasks of one event loop in one thread: a client that waits holds a future and no thread.
"""

import asyncio
import contextlib
import logging
import threading
from collections.abc import Callable, Coroutine

from google.protobuf.message import Message
from grpc import aio

from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.calls.ways import SECOND, Limits, options
from laurelcourse.fleet.errors import FleetError, StoppingError, UnknownFateError
from laurelcourse.fleet.workflows.definition import LONGEST
from laurelcourse.fleet.workflows.run import ERRORED, Tell
from laurelcourse.fleet.workflows.work import WAITING, Flows

CALLS = WAITING + 128  # under way at once: all that may wait, and those that look, leave or settle meanwhile
MESSAGE = 256 << 10

# gRPC answers strangers' bytes by itself (UNKNOWN), and would print a whole stack for each; a fault of the
# calls below is still told.
logging.getLogger("grpc._cython.cygrpc").addFilter(lambda one: "[DecodeError]" not in one.getMessage())


class FlowsService(fleet_pb2_grpc.FlowsServicer):
    def __init__(self, flows: Flows, address: str, limits: Limits) -> None:
        """Listens at `address` (host:port) once `start` is called; OSError if another process has it."""
        self.flows, self.limits, self.stopping = flows, limits, False
        self.waits: set[asyncio.Future] = set()  # of the loop's thread, as all that is done by calls
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._serve, name="fleet-flows", daemon=True)
        self.thread.start()
        try:
            self.server = self._do(self._listen(address))
        except RuntimeError as error:
            self._end()
            raise OSError(f"can't listen at {address}") from error

    def start(self) -> None:
        self._do(self.server.start())

    def stop(self, grace: int) -> None:
        """Whoever waits is told at once that this relay stops: its workflow goes on at another."""
        self._do(self._stop(grace))
        self._end()

    def _serve(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.close()

    def _do(self, work: Coroutine) -> object:
        """gRPC's objects belong to the loop that they were made in: all that is done to them goes there."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    async def _listen(self, address: str) -> aio.Server:
        server = aio.server(
            options=options(self.limits._replace(message=MESSAGE, asks=CALLS)), maximum_concurrent_rpcs=CALLS
        )
        fleet_pb2_grpc.add_FlowsServicer_to_server(self, server)
        server.add_insecure_port(address)
        return server

    async def _stop(self, grace: int) -> None:
        self.stopping = True
        for wait in self.waits:
            _set(wait, StoppingError("workflows"))
        await self.server.stop(grace / SECOND)
        # gRPC does not wait for the ends of its own tasks: a loop closed before them would print each.
        if others := asyncio.all_tasks() - {asyncio.current_task()}:
            await asyncio.wait(others, timeout=grace / SECOND)

    def _end(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    # The calls: names as in fleet.proto

    async def Start(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        definition = self.flows.definitions.get(request.definition)
        most = min(request.wait or LONGEST, definition.timeout if definition else LONGEST)
        wait = self._time(context, most)
        values = tuple((one.name, one.value) for one in request.values)
        until = self.flows.clock() + wait

        def ask(told: Callable) -> None:
            self.flows.put(
                self.flows.start, request.definition, request.tenant, request.mark, values, until, told
            )

        return await self._asked(ask, wait + self._spare(wait), leaves=True)

    async def Look(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        return await self._asked(
            lambda told: self.flows.put(self.flows.look, request.number, told),
            self._time(context, self.limits.answer),
        )

    async def Leave(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        return await self._asked(
            lambda told: self.flows.put(self.flows.leave, request.number, told),
            self._time(context, self.limits.answer),
        )

    async def Settle(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        return await self._asked(
            lambda told: self.flows.put(self.flows.settle, request.number, request.step, request.how, told),
            self._time(context, self.limits.answer),
        )

    def _time(self, context: aio.ServicerContext, most: int) -> int:
        """Seven eighths of the asker's time, so that the answer is there before it is over."""
        left = context.time_remaining()
        return most if left is None else max(min(int(left * SECOND) * 7 // 8, most), 1)

    def _spare(self, wait: int) -> int:
        """The task itself answers when the time is up; this service only in case it can't."""
        return wait // 16

    async def _asked(self, ask: Callable[[Callable], None], wait: int, leaves: bool = False) -> Message:
        future = self.loop.create_future()

        def told(answer: Tell | FleetError) -> None:
            """From the task's thread; RuntimeError: the loop is closed, and whoever waited has an answer."""
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(_set, future, answer)

        try:
            if self.stopping:
                raise StoppingError("workflows")
            self.waits.add(future)
            ask(told)
            await asyncio.wait([future], timeout=wait / SECOND)
            return _flow(future.result() if future.done() else UnknownFateError("workflows"))
        except FleetError as error:
            return _flow(error)
        except asyncio.CancelledError:
            # The client has gone, or its time is over.
            if leaves and not future.done():
                self.flows.late(self.flows.left, told)
            raise
        finally:
            self.waits.discard(future)


def _set(future: asyncio.Future, answer: Tell | FleetError) -> None:
    """The first answer is the one."""
    if not future.done():
        future.set_result(answer)


def _flow(answer: Tell | FleetError) -> Message:
    if isinstance(answer, FleetError):
        return wire.Flow(answer=ERRORED, state="unknown", refused=codec.message_of(refusal(answer)).done)
    steps = [wire.StepFate(name=name, state=state) for name, state in answer.fates]
    return wire.Flow(number=answer.workflow, answer=answer.answer, state=answer.state, steps=steps)
