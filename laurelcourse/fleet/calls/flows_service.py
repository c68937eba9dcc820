"""The gRPC service for clients of workflows, at any relay: each call gets one answer in its time.

If a client cancels its call before the answer, the workflow is undone, unless it is too late for that. All
calls are tasks of one event loop in one thread: a client that waits holds a future and no thread.
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
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.errors import FleetError, StoppingError, UnknownFateError
from laurelcourse.fleet.workflows.definition import MAX_DURATION_US
from laurelcourse.fleet.workflows.engine import MAX_CLIENTS, WorkflowEngine
from laurelcourse.fleet.workflows.run import ERRORED, ClientAnswer

MAX_CALLS = MAX_CLIENTS + 128  # all that may wait, and those that look, leave or settle meanwhile
MAX_MESSAGE_BYTES = 256 << 10
RESPONSE_SHARE = (7, 8)  # of a caller's time that may pass before its answer is sent
FALLBACK_SHARE = 16  # one part in so many of the time is added before this service answers by itself

# gRPC answers malformed messages by itself (UNKNOWN), and would log a whole stack for each; exceptions of the
# calls below are still logged.
logging.getLogger("grpc._cython.cygrpc").addFilter(lambda record: "[DecodeError]" not in record.getMessage())


class FlowsService(fleet_pb2_grpc.FlowsServicer):
    """The server of one relay."""

    def __init__(self, flows: WorkflowEngine, address: str, limits: Limits) -> None:
        """Listens at `address` (host:port) once `start` is called. Raises OSError if it is in use."""
        self.flows = flows
        self.limits = limits
        self.stopping = False
        self.waiting: set[asyncio.Future] = set()  # used by the loop's thread alone
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._serve, name="fleet-flows", daemon=True)
        self.thread.start()
        try:
            self.server = self._run(self._listen(address))
        except RuntimeError as error:
            self._end()
            raise OSError(f"can't listen at {address}") from error

    def start(self) -> None:
        """Begins to accept calls."""
        self._run(self.server.start())

    def stop(self, grace: int) -> None:
        """Tells all clients that wait that this relay stops; their workflows go on at another."""
        self._run(self._stop(grace))
        self._end()

    def _serve(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.close()

    def _run(self, coroutine: Coroutine) -> object:
        """Runs a coroutine in the loop: gRPC's objects may only be used in the loop that created them."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def _listen(self, address: str) -> aio.Server:
        server = aio.server(
            options=options(self.limits._replace(message_bytes=MAX_MESSAGE_BYTES, max_calls=MAX_CALLS)),
            maximum_concurrent_rpcs=MAX_CALLS,
        )
        fleet_pb2_grpc.add_FlowsServicer_to_server(self, server)
        server.add_insecure_port(address)
        return server

    async def _stop(self, grace: int) -> None:
        self.stopping = True
        for future in self.waiting:
            _set_first(future, StoppingError("workflows"))
        await self.server.stop(grace / SECOND)
        # gRPC does not wait for its own tasks to end; closing the loop before would log each of them.
        if others := asyncio.all_tasks() - {asyncio.current_task()}:
            await asyncio.wait(others, timeout=grace / SECOND)

    def _end(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    # Calls, named as in fleet.proto

    async def Start(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        """Starts a workflow and returns its end, or where it stands at the end of the time."""
        definition = self.flows.definitions.get(request.definition)
        max_wait = min(request.wait or MAX_DURATION_US, definition.timeout if definition else MAX_DURATION_US)
        wait = self._time(context, max_wait)
        values = tuple((given.name, given.value) for given in request.values)
        until = self.flows.clock() + wait

        def ask(on_answer: Callable) -> None:
            self.flows.post(
                self.flows.start, request.definition, request.tenant, request.mark, values, until, on_answer
            )

        return await self._answer_call(ask, wait + self._spare(wait), leaves=True)

    async def Look(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        """Returns where a workflow stands."""
        return await self._answer_call(
            lambda on_answer: self.flows.post(self.flows.look, request.number, on_answer),
            self._time(context, self.limits.order_timeout),
        )

    async def Leave(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        """Has a workflow undone, unless it is too late."""
        return await self._answer_call(
            lambda on_answer: self.flows.post(self.flows.leave, request.number, on_answer),
            self._time(context, self.limits.order_timeout),
        )

    async def Settle(self, request: Message, context: aio.ServicerContext) -> Message:  # noqa: N802
        """Settles a stuck step."""
        return await self._answer_call(
            lambda on_answer: self.flows.post(
                self.flows.settle, request.number, request.step, request.how, on_answer
            ),
            self._time(context, self.limits.order_timeout),
        )

    def _time(self, context: aio.ServicerContext, max_wait: int) -> int:
        """Returns how long a call may wait, so that its answer arrives before the caller's time is over."""
        left = context.time_remaining()
        share, parts = RESPONSE_SHARE
        return max_wait if left is None else max(min(int(left * SECOND) * share // parts, max_wait), 1)

    def _spare(self, wait: int) -> int:
        """Returns the time after which this service answers for the task, which normally does so itself."""
        return wait // FALLBACK_SHARE

    async def _answer_call(self, ask: Callable[[Callable], None], wait: int, leaves: bool = False) -> Message:
        future = self.loop.create_future()

        def on_answer(answer: ClientAnswer | FleetError) -> None:
            """Called by the task's thread; RuntimeError: the loop is closed and the client was answered."""
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(_set_first, future, answer)

        try:
            if self.stopping:
                raise StoppingError("workflows")
            self.waiting.add(future)
            ask(on_answer)
            await asyncio.wait([future], timeout=wait / SECOND)
            return _flow(future.result() if future.done() else UnknownFateError("workflows"))
        except FleetError as error:
            return _flow(error)
        except asyncio.CancelledError:
            # The client has cancelled the call, or its time is over.
            if leaves and not future.done():
                self.flows.post_or_drop(self.flows.client_left, on_answer)
            raise
        finally:
            self.waiting.discard(future)


def _set_first(future: asyncio.Future, answer: ClientAnswer | FleetError) -> None:
    """Sets the result of a future unless it has one."""
    if not future.done():
        future.set_result(answer)


def _flow(answer: ClientAnswer | FleetError) -> Message:
    if isinstance(answer, FleetError):
        return wire.Flow(answer=ERRORED, state="unknown", refused=codec.to_message(refusal(answer)).done)
    steps = [wire.StepFate(name=name, state=state) for name, state in answer.fates]
    return wire.Flow(number=answer.workflow, answer=answer.answer, state=answer.state, steps=steps)
