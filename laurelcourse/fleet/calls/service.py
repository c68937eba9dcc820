"""A keeper's gRPC server: what other keepers and relays say is handed to its `Keeping`, answers go back.

Errors of the fleet cross within the answer, by code; a gRPC status says what gRPC itself found. Threads are
bounded: relays' calls may hold all but `Limits.talks` of them, as each waits for its answer, and keepers
that could not talk meanwhile would never come to one. Orders that are handed on hold half of those at most.
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
from laurelcourse.fleet.calls.hands import Hands
from laurelcourse.fleet.calls.ways import SECOND, Limits, options
from laurelcourse.fleet.errors import FleetError, OverloadedError, StoppingError, UnknownFateError
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.fleet.orders import Answer, Beat, Question, Submit

log = logging.getLogger(__name__)


class Keeping(Protocol):
    """Thread-safe; each may raise a FleetError at once, `heard` gives nothing back."""

    def heard(self, sender: str, message: keeper.Message) -> None: ...
    def submit(self, submit: Submit) -> "Future[Answer]": ...
    def renew(self, beat: Beat) -> "Future[Answer]": ...
    def ask(self, question: Question) -> "Future[Answer]": ...
    def change(self, keepers: keeper.Keepers) -> "Future[Answer]": ...


def _cut(value: int | str) -> int | str:
    """So that an answer can be written whatever the error names."""
    return value[: codec.TEXT // 4] if isinstance(value, str) else value


def refusal(error: FleetError) -> Done:
    told = tuple((name, _cut(value)) for name, value in sorted(error.figures.items()))
    return Done(code=error.code, to=_cut(error.to), told=told)


class Time:
    """What is left of an asker's time. gRPC reckons that against the time of day, which may be set meanwhile:
    it is asked once, and what passes from then on is counted by a clock that cannot be set."""

    def __init__(self, context: grpc.ServicerContext) -> None:
        left = context.time_remaining()
        self.until = None if left is None else self._now() + int(left * SECOND)

    def left(self) -> int | None:
        """Microseconds, below 0 once it is over; None: no end was told."""
        return None if self.until is None else self.until - self._now()

    def _now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Service(fleet_pb2_grpc.KeepersServicer, fleet_pb2_grpc.BooksServicer):
    def __init__(
        self, keeping: Keeping, fleet: str, me: str, address: str, limits: Limits, hands: Hands
    ) -> None:
        """Listens at `address` (host:port; port 0: any, see `port`) once `start` is called; OSError if
        another process has it. `hands` is closed with it."""
        self.keeping, self.fleet, self.me, self.limits, self.hands = keeping, fleet, me, limits, hands
        self.lock, self.stopping = threading.Lock(), False
        self.waits: set[threading.Event] = set()
        threads = limits.talks + limits.asks
        self.pool = ThreadPoolExecutor(threads, thread_name_prefix="fleet-service")
        # Calls beyond this wait nowhere: gRPC refuses them (RESOURCE_EXHAUSTED).
        self.server = grpc.server(self.pool, options=options(limits), maximum_concurrent_rpcs=2 * threads)
        fleet_pb2_grpc.add_KeepersServicer_to_server(self, self.server)
        fleet_pb2_grpc.add_BooksServicer_to_server(self, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            self.pool.shutdown()
            raise OSError(f"can't listen at {address}") from error

    def start(self) -> None:
        self.server.start()

    def refuse(self) -> None:
        """From now on all calls are answered with StoppingError, those that wait at once."""
        with self.lock:
            self.stopping = True
            for wait in self.waits:
                wait.set()
        self.hands.close()

    def stop(self, grace: int) -> None:
        """Answers what is under way within `grace` microseconds, then ends."""
        self.refuse()
        self.server.stop(grace / SECOND).wait()
        self.pool.shutdown()

    # The calls: names as in fleet.proto

    def Talk(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        refused = None
        try:
            sender = codec.check(request, self.fleet, self.me)
            if self.stopping:
                raise StoppingError(self.me)
        except FleetError as error:
            refused = error
        else:
            for message in request.messages:
                # One of a kind that only a newer version knows does not keep the others from being heard.
                try:
                    self.keeping.heard(sender, codec.form_of(keeper.Message, message))
                except FleetError as error:
                    refused = refused or error
        answer = wire.Heard(head=codec.head(self.fleet, self.me, _cut(request.head.sender)))
        if refused is not None:
            answer.refused.CopyFrom(codec.message_of(refusal(refused)).done)
        return answer

    def Submit(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked("Submit", request, Submit, self.keeping.submit, context)

    def Renew(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked("Renew", request, Beat, self.keeping.renew, context)

    def Ask(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked("Ask", request, Question, self.keeping.ask, context)

    def Change(self, request: Message, context: grpc.ServicerContext) -> Message:  # noqa: N802
        return self._asked("Change", request, keeper.Keepers, self.keeping.change, context)

    def _asked(
        self,
        verb: str,
        request: Message,
        kind: type,
        ask: Callable[[object], "Future[Answer]"],
        context: grpc.ServicerContext,
    ) -> Message:
        wait, rest, sender = threading.Event(), Time(context), _cut(request.head.sender)
        try:
            codec.check(request, self.fleet, self.me)
            if not request.HasField("what"):
                raise codec.unreadable(kind.__name__, "nothing is asked")
            order = codec.form_of(kind, request.what)
            self._enter(wait)
            try:
                answer = self._waited(ask(order), kind, wait, rest, context)
                if leader := routing.forward_target(request.hand_on, answer, self.me, self.hands.ways):
                    return self._handed_on(verb, request, sender, leader, rest)
            finally:
                with self.lock:
                    self.waits.discard(wait)
            return self._reply(sender, answer)
        except FleetError as error:
            return self._reply(sender, refusal(error))

    def _handed_on(self, verb: str, request: Message, sender: str, leader: str, rest: Time) -> Message:
        """The leader's answer as it is, whatever this version knows of it."""
        reply = self.hands.on(verb, request, leader, routing.forward_timeout(rest.left(), self.limits.call))
        return codec.fitting(
            wire.Reply(head=codec.head(self.fleet, self.me, sender), answer=reply.answer, by=leader),
            self.limits.message,
        )

    def _reply(self, to: str, answer: Answer) -> Message:
        return codec.fitting(
            wire.Reply(head=codec.head(self.fleet, self.me, to), answer=codec.message_of(answer)),
            self.limits.message,
        )

    def _enter(self, wait: threading.Event) -> None:
        with self.lock:
            if self.stopping:
                raise StoppingError(self.me)
            if len(self.waits) >= self.limits.asks:
                raise OverloadedError(self.me, waiting=len(self.waits), at_most=self.limits.asks)
            self.waits.add(wait)

    def _waited(
        self,
        future: "Future[Answer]",
        kind: type,
        wait: threading.Event,
        rest: Time,
        context: grpc.ServicerContext,
    ) -> Answer:
        """An eighth of the asker's time is left for the way back, so that it hears an answer by type."""
        future.add_done_callback(lambda _: wait.set())
        if not context.add_callback(wait.set):  # the asker has gone: nobody needs this thread to wait
            wait.set()
        left, most = rest.left(), self.limits.call
        wait.wait((most if left is None else min(left * 7 // 8, most)) / SECOND)
        if future.done():
            try:
                return future.result()
            except CancelledError:
                pass
        elif self.stopping and kind not in (Submit, keeper.Keepers):
            raise StoppingError(self.me)
        raise UnknownFateError(self.me)
