"""A keeper's gRPC server: passes calls of other keepers and of relays to its replica, and returns answers.

Errors of the fleet are returned within the answer, by code; a gRPC status is gRPC's own. Threads are bounded:
relays' calls may hold all but `Limits.keeper_threads` of them, since each waits for its answer, and keepers
that could not communicate meanwhile would never reach one. Forwarded orders hold at most half of those.
"""

import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import CancelledError, Future, ThreadPoolExecutor
from typing import Protocol

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet import routing
from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.calls.forwarder import Forwarder
from laurelcourse.fleet.errors import FleetError, OverloadedError, StoppingError, UnknownFateError
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.fleet.orders import Answer, Beat, Question, Submit

log = logging.getLogger(__name__)


RESPONSE_SHARE = (7, 8)  # of a caller's time that may pass before its answer is sent


class ReplicaCalls(Protocol):
    """What the service needs of a replica. Thread-safe; each may raise a FleetError at once."""

    def heard(self, sender: str, message: keeper.Message) -> None:
        """Passes on a message of another keeper."""

    def submit(self, submit: Submit) -> "Future[Answer]":
        """Proposes commands."""

    def renew(self, beat: Beat) -> "Future[Answer]":
        """Renews a lease."""

    def ask(self, question: Question) -> "Future[Answer]":
        """Reads from the books."""

    def change(self, keepers: keeper.Keepers) -> "Future[Answer]":
        """Changes the membership."""


def _truncate(value: int | str) -> int | str:
    """Shortens a text, so that an answer can be written whatever the error names."""
    return value[: codec.MAX_TEXT_BYTES // codec.MAX_UTF8_BYTES] if isinstance(value, str) else value


def refusal(error: FleetError) -> Done:
    """Returns an error as an answer."""
    figures = tuple((name, _truncate(value)) for name, value in sorted(error.figures.items()))
    return Done(code=error.code, to=_truncate(error.to), told=figures)


class Deadline:
    """What is left of a caller's time.

    gRPC measures it by the time of day, which may be changed meanwhile: it is read once, and from then on a
    clock that can't be set counts.
    """

    def __init__(self, context: grpc.ServicerContext) -> None:
        left = context.time_remaining()
        self.until = None if left is None else self._now() + int(left * SECOND)

    def left(self) -> int | None:
        """Returns microseconds, below 0 once it is over; None if the caller set no deadline."""
        return None if self.until is None else self.until - self._now()

    def _now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Service(fleet_pb2_grpc.KeepersServicer, fleet_pb2_grpc.BooksServicer):
    """The server of one keeper."""

    def __init__(
        self,
        replica: ReplicaCalls,
        fleet: str,
        me: str,
        address: str,
        limits: Limits,
        forwarder: Forwarder,
    ) -> None:
        """Listens at `address` (host:port; port 0: any, see `port`) once `start` is called.

        Raises OSError if the address is in use. `forwarder` is closed with the service.
        """
        self.replica = replica
        self.fleet = fleet
        self.me = me
        self.limits = limits
        self.forwarder = forwarder
        self.lock = threading.Lock()
        self.stopping = False
        self.waiting: set[threading.Event] = set()
        threads = limits.keeper_threads + limits.max_calls
        self.pool = ThreadPoolExecutor(threads, thread_name_prefix="fleet-service")
        # Further calls are refused by gRPC (RESOURCE_EXHAUSTED).
        self.server = grpc.server(self.pool, options=options(limits), maximum_concurrent_rpcs=2 * threads)
        fleet_pb2_grpc.add_KeepersServicer_to_server(self, self.server)
        fleet_pb2_grpc.add_BooksServicer_to_server(self, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            self.pool.shutdown()
            raise OSError(f"can't listen at {address}") from error

    def start(self) -> None:
        """Begins to accept calls."""
        self.server.start()

    def refuse(self) -> None:
        """Answers all further calls with StoppingError, and those that wait at once."""
        with self.lock:
            self.stopping = True
            for wait in self.waiting:
                wait.set()
        self.forwarder.close()

    def stop(self, grace: int) -> None:
        """Lets calls in progress end within `grace` microseconds, then stops."""
        self.refuse()
        self.server.stop(grace / SECOND).wait()
        self.pool.shutdown()

    # Calls, named as in fleet.proto

    def Talk(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        """Receives messages of another keeper."""
        refused = None
        try:
            sender = codec.check(request, self.fleet, self.me)
            if self.stopping:
                raise StoppingError(self.me)
        except FleetError as error:
            refused = error
        else:
            for message in request.messages:
                # A message of a kind unknown to this version does not prevent the others from being read.
                try:
                    self.replica.heard(sender, codec.from_message(keeper.Message, message))
                except FleetError as error:
                    refused = refused or error
        answer = wire.Heard(head=codec.head(self.fleet, self.me, _truncate(request.head.sender)))
        if refused is not None:
            answer.refused.CopyFrom(codec.to_message(refusal(refused)).done)
        return answer

    def Submit(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        """Proposes commands of a relay."""
        return self._answer_call("Submit", request, Submit, self.replica.submit, context)

    def Renew(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        """Renews the lease of a relay."""
        return self._answer_call("Renew", request, Beat, self.replica.renew, context)

    def Ask(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        """Reads from the books."""
        return self._answer_call("Ask", request, Question, self.replica.ask, context)

    def Change(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        """Changes the membership."""
        return self._answer_call("Change", request, keeper.Keepers, self.replica.change, context)

    def _answer_call(
        self,
        verb: str,
        request: Message,
        kind: type,
        ask: Callable[[object], "Future[Answer]"],
        context: grpc.ServicerContext,
    ) -> Message:
        ready = threading.Event()
        deadline = Deadline(context)
        sender = _truncate(request.head.sender)
        try:
            codec.check(request, self.fleet, self.me)
            if not request.HasField("what"):
                raise codec.unreadable(kind.__name__, "nothing is asked")
            order = codec.from_message(kind, request.what)
            self._enter(ready)
            try:
                answer = self._wait(ask(order), kind, ready, deadline, context)
                if leader := routing.forward_target(
                    request.hand_on, answer, self.me, self.forwarder.channels
                ):
                    return self._forward(verb, request, sender, leader, deadline)
            finally:
                with self.lock:
                    self.waiting.discard(ready)
            return self._reply(sender, answer)
        except FleetError as error:
            return self._reply(sender, refusal(error))

    def _forward(self, verb: str, request: Message, sender: str, leader: str, deadline: Deadline) -> Message:
        """Returns the leader's answer as it is, with fields that this version may not know."""
        timeout = routing.forward_timeout(deadline.left(), self.limits.call_timeout)
        reply = self.forwarder.forward(verb, request, leader, timeout)
        return codec.check_size(
            wire.Reply(head=codec.head(self.fleet, self.me, sender), answer=reply.answer, by=leader),
            self.limits.message_bytes,
        )

    def _reply(self, to: str, answer: Answer) -> Message:
        return codec.check_size(
            wire.Reply(head=codec.head(self.fleet, self.me, to), answer=codec.to_message(answer)),
            self.limits.message_bytes,
        )

    def _enter(self, ready: threading.Event) -> None:
        with self.lock:
            if self.stopping:
                raise StoppingError(self.me)
            if len(self.waiting) >= self.limits.max_calls:
                raise OverloadedError(self.me, waiting=len(self.waiting), at_most=self.limits.max_calls)
            self.waiting.add(ready)

    def _wait(
        self,
        future: "Future[Answer]",
        kind: type,
        ready: threading.Event,
        deadline: Deadline,
        context: grpc.ServicerContext,
    ) -> Answer:
        """Waits for an answer; a part of the caller's time is left for its way back."""
        future.add_done_callback(lambda _: ready.set())
        if not context.add_callback(ready.set):  # the caller has gone: this thread must not wait
            ready.set()
        left = deadline.left()
        max_wait = self.limits.call_timeout
        share, parts = RESPONSE_SHARE
        ready.wait((max_wait if left is None else min(left * share // parts, max_wait)) / SECOND)
        if future.done():
            try:
                return future.result()
            except CancelledError:
                pass
        elif self.stopping and kind not in (Submit, keeper.Keepers):
            raise StoppingError(self.me)
        raise UnknownFateError(self.me)
