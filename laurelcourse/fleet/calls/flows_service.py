"""The gRPC service for clients of workflows, at any relay: each call gets one answer in its time.

If a client cancels its call before the answer, the workflow is undone, unless it is too late for that. All
calls are tasks of one event loop in one thread: a client that waits holds a future and no thread.

Requests are read as streams of one message, which gRPC's clients don't notice: so a call that does not go on
ends in time, and what gRPC keeps of one that is not read is bounded.
"""

import asyncio
import contextlib
import threading
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import NamedTuple

import grpc
from google.protobuf.message import DecodeError, Message
from grpc import aio

from laurelcourse.fleet.calls import codec
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.call_admission import CallAdmission
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.errors import (
    DefinitionRefusedError,
    FleetError,
    OutOfBoundsError,
    OverloadedError,
    StoppingError,
    UnknownFateError,
)
from laurelcourse.fleet.workflows.definition import MAX_DURATION_US
from laurelcourse.fleet.workflows.engine import MAX_CLIENTS, WorkflowEngine
from laurelcourse.fleet.workflows.run import ERRORED, ClientAnswer
from laurelcourse.net.fair_share import FairShare

MAX_CALLS = MAX_CLIENTS + 128  # all that may wait, and those that look, leave or settle meanwhile
MAX_MESSAGE_BYTES = 64 << 10  # twice the largest call that is within the books' bounds
MAX_STREAMS = 256  # open calls on one connection
MAX_HELD_BACK = 64  # refused calls whose answers are held back
MAX_READING = 2 * MAX_STREAMS  # calls whose message has not come
STREAM_WINDOW_BYTES = 8 << 10  # of a call's message, that gRPC takes before it is read
METADATA_BYTES = 4 << 10  # of a call's head; twice as much ends the call at once
READ_TIME = 2_300_000  # microseconds, for a call's message
FAULT_DELAY = 500_000  # microseconds
RESPONSE_SHARE = (7, 8)  # of a caller's time that may pass before its answer is sent
FALLBACK_SHARE = 16  # one part in so many of the time is added before this service answers by itself

SERVICE = wire.DESCRIPTOR.services_by_name["Flows"]
# Answers that blame the call: a client that repeats such calls at once would take the CPU from the others.
FAULTS = (DefinitionRefusedError.code, OutOfBoundsError.code)


class Call(NamedTuple):
    """A call as it is read and carried out."""

    order: Message
    client: str  # its connection
    context: aio.ServicerContext


class Methods(grpc.GenericRpcHandler):
    """The methods of the service, by their full names."""

    def __init__(self, handlers: dict[str, grpc.RpcMethodHandler]) -> None:
        self.handlers = handlers

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Returns a call's handler; None if there is no such method."""
        return self.handlers.get(details.method)


def server_options(limits: Limits) -> list[tuple[str, int]]:
    """Returns gRPC's options of a server whose clients are not trusted."""
    bounded = {
        "grpc.max_concurrent_streams": MAX_STREAMS,
        "grpc.max_metadata_size": METADATA_BYTES,
        "grpc.absolute_max_metadata_size": 2 * METADATA_BYTES,
        "grpc.http2.lookahead_bytes": STREAM_WINDOW_BYTES,
        "grpc.http2.bdp_probe": 0,
    }
    return list((dict(options(limits._replace(message_bytes=MAX_MESSAGE_BYTES))) | bounded).items())


class FlowsService:
    """The server of one relay."""

    def __init__(self, flows: WorkflowEngine, address: str, limits: Limits) -> None:
        """Listens at `address` (host:port) once `start` is called. Raises OSError if it is in use."""
        self.flows = flows
        self.limits = limits
        self.stopping = False
        # Used by the loop's thread alone.
        self.waiting: set[asyncio.Future] = set()
        self.admission = CallAdmission(MAX_CALLS, FAULT_DELAY)
        self.reading = FairShare(MAX_READING)
        self.held_back = 0
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
        # Further calls are refused by gRPC (RESOURCE_EXHAUSTED).
        server = aio.server(
            options=server_options(self.limits), maximum_concurrent_rpcs=MAX_CALLS + 2 * MAX_HELD_BACK
        )
        calls = {"Start": self._start, "Look": self._look, "Leave": self._leave, "Settle": self._settle}
        handlers = {f"/{SERVICE.full_name}/{name}": self._handler(name, call) for name, call in calls.items()}
        server.add_generic_rpc_handlers((Methods(handlers),))
        server.add_insecure_port(address)
        return server

    def _handler(self, name: str, call: Callable[[Call], Awaitable[Message]]) -> grpc.RpcMethodHandler:
        order_type = getattr(wire, SERVICE.methods_by_name[name].input_type.name)

        async def serve(messages: AsyncIterator[bytes], context: aio.ServicerContext) -> Message:
            return await self._serve_call(order_type, call, messages, context)

        # Without a deserializer, messages arrive as bytes.
        return grpc.stream_unary_rpc_method_handler(
            serve, response_serializer=lambda answer: answer.SerializeToString()
        )

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

    # Calls

    async def _serve_call(
        self,
        order_type: type[Message],
        call: Callable[[Call], Awaitable[Message]],
        messages: AsyncIterator[bytes],
        context: aio.ServicerContext,
    ) -> Message:
        """Reads a call and carries it out, if its client may have a further one open."""
        client = context.peer()
        if not self.admission.begin(client):
            return await self._refuse()
        try:
            if not self.reading.take(client):
                return await self._refuse()
            try:
                order = await self._read(order_type, client, messages, context)
            finally:
                self.reading.give_back(client)
            answer = await call(Call(order, client, context))
            if answer.refused.code in FAULTS:
                await self._delay_fault(client)
            else:
                self.admission.note_served(client)
            return answer
        finally:
            self.admission.end(client)

    async def _refuse(self) -> Message:
        """Answers a call that finds no room, after a while if not too many are held back already."""
        error = OverloadedError("workflows", waiting=self.admission.open_calls.taken, at_most=MAX_CALLS)
        if self.held_back < MAX_HELD_BACK:
            self.held_back += 1
            try:
                await asyncio.sleep(FAULT_DELAY / SECOND)
            finally:
                self.held_back -= 1
        return _flow(error)

    async def _read(
        self,
        order_type: type[Message],
        client: str,
        messages: AsyncIterator[bytes],
        context: aio.ServicerContext,
    ) -> Message:
        """Returns a call's message; ends a call that has none in time, or none that can be read."""
        try:
            data = await asyncio.wait_for(anext(messages), READ_TIME / SECOND)
            return order_type.FromString(data)
        except TimeoutError:
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, "the call's message did not arrive in time"
            )
        except (DecodeError, StopAsyncIteration):
            await self._delay_fault(client)
            await context.abort(grpc.StatusCode.UNKNOWN, "the call's message can't be read")

    async def _delay_fault(self, client: str) -> None:
        await asyncio.sleep(self.admission.note_fault(client) / SECOND)

    async def _start(self, call: Call) -> Message:
        """Starts a workflow and returns its end, or where it stands at the end of the time."""
        order = call.order
        definition = self.flows.definitions.get(order.definition)
        max_wait = min(order.wait or MAX_DURATION_US, definition.timeout if definition else MAX_DURATION_US)
        wait = self._time(call.context, max_wait)
        values = tuple((given.name, given.value) for given in order.values)
        until = self.flows.clock() + wait

        def ask(on_answer: Callable) -> None:
            self.flows.post(
                self.flows.start,
                order.definition,
                order.tenant,
                order.mark,
                values,
                until,
                on_answer,
                call.client,
            )

        return await self._answer_call(call, ask, wait + self._spare(wait))

    async def _look(self, call: Call) -> Message:
        """Returns where a workflow stands."""
        return await self._answer_call(
            call,
            lambda on_answer: self.flows.post(self.flows.look, call.order.number, on_answer),
            self._time(call.context, self.limits.order_timeout),
        )

    async def _leave(self, call: Call) -> Message:
        """Has a workflow undone, unless it is too late."""
        return await self._answer_call(
            call,
            lambda on_answer: self.flows.post(self.flows.leave, call.order.number, on_answer, call.client),
            self._time(call.context, self.limits.order_timeout),
        )

    async def _settle(self, call: Call) -> Message:
        """Settles a stuck step."""
        order = call.order
        return await self._answer_call(
            call,
            lambda on_answer: self.flows.post(
                self.flows.settle, order.number, order.step, order.how, on_answer, call.client
            ),
            self._time(call.context, self.limits.order_timeout),
        )

    def _time(self, context: aio.ServicerContext, max_wait: int) -> int:
        """Returns how long a call may wait, so that its answer arrives before the caller's time is over."""
        left = context.time_remaining()
        share, parts = RESPONSE_SHARE
        return max_wait if left is None else max(min(int(left * SECOND) * share // parts, max_wait), 1)

    def _spare(self, wait: int) -> int:
        """Returns the time after which this service answers for the task, which normally does so itself."""
        return wait // FALLBACK_SHARE

    async def _answer_call(self, call: Call, ask: Callable[[Callable], None], wait: int) -> Message:
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
            if not future.done():
                self.flows.post_or_drop(self.flows.client_left, on_answer, call.client)
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
