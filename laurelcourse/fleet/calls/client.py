"""A member's client: sends orders to the leading keeper; a callback from another thread gets each answer.

The leader is found by calling keepers in turn and following their hints; if it can't be reached, others are
asked to forward orders to it (`fleet/routing.py`). An order is retried, with its marks, until its time is
over; then it ends as UnknownFateError if it may have been applied, else as NoQuorumError (or as the last
error that a keeper returned).
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Command, Done
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, NoAnswerError, RpcChannel
from laurelcourse.fleet.errors import (
    FleetError,
    NoQuorumError,
    OverloadedError,
    StoppingError,
    TooLargeError,
    UnknownFateError,
    error_from_code,
)
from laurelcourse.fleet.keeper.messages import Keepers
from laurelcourse.fleet.orders import Answer, Beat, Question, Submit
from laurelcourse.fleet.routing import Attempt, LeaderRoutes
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)

OnAnswer = Callable[[Answer | FleetError], None]

# Errors after which another keeper, or the same one later, may succeed. All others are final.
RETRIED_CODES = (
    "no_quorum",
    "not_leader",
    "other_fleet",
    "other_version",
    "overloaded",
    "stopping",
    "unknown_fate",
    "unreadable",
    "disk_full",
    "disk_failed",
    "older_disk",
    "damaged_books",
    "books_differ",
    "keeper_fault",
)


# Errors after which the order may have been applied.
MAYBE_APPLIED_CODES = ("unknown_fate", "disk_full", "disk_failed", "books_differ", "keeper_fault")

# Errors of processes that refuse the order, as this one refuses their answer.
FOREIGN_CODES = ("other_fleet", "other_version")

# Calls that change the books.
WRITES = ("Submit", "Change")

HEAD_TEXTS = 4  # texts of the largest size that a request may hold beside its order


class Order(NamedTuple):
    """An order on its way to the keepers."""

    verb: str  # the name of the call
    payload: Message
    on_answer: OnAnswer
    until: int  # microseconds of the client's clock


class Lane:
    """A queue and a thread for one kind of order, so that no renewal waits behind a slow order."""

    def __init__(self, client: "Client", name: str) -> None:
        self.client = client
        self.name = name
        self.queue: deque[Order] = deque()
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self._run, name=f"fleet-client-{name}", daemon=True)
        self.thread.start()

    def put(self, order: Order) -> None:
        """Queues an order. Raises OverloadedError or StoppingError."""
        at_most = self.client.limits.queue_length
        with self.changed:
            if self.client.closed:
                raise StoppingError(self.client.me)
            if len(self.queue) >= at_most:
                raise OverloadedError(self.client.me, waiting=len(self.queue), at_most=at_most)
            self.queue.append(order)
            self.changed.notify()

    def wake(self) -> None:
        """Has the thread look whether the client is closed."""
        with self.changed:
            self.changed.notify()

    def pause(self, length: int) -> None:
        """Waits for so many microseconds, or until the client is closed."""
        with self.changed:
            self.changed.wait_for(lambda: self.client.closed, length / SECOND)

    def _run(self) -> None:
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.queue or self.client.closed)
                if not self.queue:
                    return
                order = self.queue.popleft()
            try:
                order.on_answer(self.client.execute(order, self))
            except Exception:
                # The lane goes on with the next orders, whatever the caller of this one did.
                log.exception("answer not taken", extra={"order": order.verb})


class Client:
    """Sends the orders of one relay to the keepers."""

    def __init__(
        self,
        fleet: str,
        me: str,
        keepers: dict[str, str],
        limits: Limits,
        clock: Callable[[], int],
        rng: Prng,
    ) -> None:
        """`keepers` are addresses by name. `clock` returns monotonic microseconds, to any thread."""
        self.fleet = fleet
        self.me = me
        self.limits = limits
        self.clock = clock
        self.channels = {
            name: RpcChannel(keepers[name], limits, fleet_pb2_grpc.BooksStub) for name in sorted(keepers)
        }
        names = tuple(self.channels)
        # Relays don't all call the same keeper first. A leader that did not answer is called directly again
        # once per `order_timeout`, which is no shorter than a lease.
        self.routes = LeaderRoutes(names, rng.below(len(names)), limits.order_timeout)
        self.closed = False
        self.logged_forwarder = ""  # the keeper that forwards orders, as logged last; empty: none
        self.lanes = {name: Lane(self, name) for name in ("submit", "renew", "ask")}

    # None of these blocks; each may raise OverloadedError, TooLargeError, UnreadableError or StoppingError:
    # nothing was sent then. Otherwise `on_answer` is called once, by a thread of this module.

    def submit(self, submit: Submit, on_answer: OnAnswer) -> None:
        """Sends commands for the books."""
        self._put("submit", "Submit", submit, on_answer)

    def check_sendable(self, command: Command) -> None:
        """Raises TooLargeError or UnreadableError for a command that can't be sent even by itself."""
        self._to_payload(Submit((command,)))

    def renew(self, beat: Beat, on_answer: OnAnswer) -> None:
        """Renews the session's lease."""
        self._put("renew", "Renew", beat, on_answer)

    def ask(self, question: Question, on_answer: OnAnswer) -> None:
        """Reads from the books."""
        self._put("ask", "Ask", question, on_answer)

    def change(self, keepers: Keepers, on_answer: OnAnswer) -> None:
        """Changes the membership of the keepers."""
        self._put("ask", "Change", keepers, on_answer)

    def close(self, timeout: int) -> None:
        """Ends all orders at once; waits up to `timeout` microseconds for each thread to end."""
        self.closed = True
        for channel in self.channels.values():
            channel.close()
        for lane in self.lanes.values():
            lane.wake()
        for lane in self.lanes.values():
            lane.thread.join(timeout / SECOND)

    def _put(self, lane: str, verb: str, form: object, on_answer: OnAnswer) -> None:
        payload = self._to_payload(form)
        self.lanes[lane].put(Order(verb, payload, on_answer, self.clock() + self.limits.order_timeout))

    def _to_payload(self, form: object) -> Message:
        max_bytes = self.limits.message_bytes - HEAD_TEXTS * codec.MAX_TEXT_BYTES
        return codec.check_size(codec.to_message(form), max_bytes)

    def execute(self, order: Order, lane: Lane) -> Answer | FleetError:
        """Blocks until an order has its answer or its time is over, and returns that."""
        last_error: FleetError | None = None
        sent = False  # whether the order may have been applied
        calls = 0
        delay = self.limits.retry_delay
        routes = self.routes
        next_attempt = routes.first(self.clock())
        while not self.closed and (left := order.until - self.clock()) > 0:
            attempt = next_attempt
            try:
                answer, by = self._call(order, attempt, min(left, self.limits.call_timeout))
            except NoAnswerError as error:
                if error.too_large:
                    return TooLargeError(
                        attempt.keeper, size=self.limits.message_bytes + 1, at_most=self.limits.message_bytes
                    )
                sent |= error.sent
                next_attempt = routes.unheard(self.clock(), attempt)
            except FleetError as error:
                last_error = error
                sent |= error.code not in FOREIGN_CODES
                next_attempt = routes.elsewhere(self.clock(), attempt, error.code)
            else:
                if not isinstance(answer, Done) or answer.code not in RETRIED_CODES:
                    routes.answered(attempt, by)
                    self._log_forwarder(attempt.keeper if by else "")
                    return answer
                figures = dict(answer.told)
                if answer.code == "not_leader":
                    next_attempt = routes.not_leader(
                        self.clock(), attempt, str(figures.get("leader", "")), by
                    )
                else:
                    last_error = error_from_code(answer.code, answer.to, figures)
                    sent |= answer.code in MAYBE_APPLIED_CODES
                    next_attempt = routes.elsewhere(self.clock(), attempt, answer.code, by)
            calls += 1
            if next_attempt == attempt or calls % len(self.channels) == 0:
                lane.pause(min(delay, max(order.until - self.clock(), 0)))
                delay = min(2 * delay, self.limits.call_timeout)
        return self._final_error(order, sent, last_error)

    @property
    def leader(self) -> str:
        """The keeper that is assumed to lead; empty if none is."""
        return self.routes.leader

    def _log_forwarder(self, via: str) -> None:
        if via != self.logged_forwarder:
            self.logged_forwarder = via
            log.log(
                logging.WARNING if via else logging.INFO,
                "orders are handed on" if via else "orders go to the leader itself",
                extra={"leader": self.leader, "keeper": via or self.leader},
            )

    def _final_error(self, order: Order, sent: bool, last_error: FleetError | None) -> FleetError:
        if sent and order.verb in WRITES:
            return UnknownFateError(self.fleet)
        if self.closed:
            return StoppingError(self.me)
        if last_error is not None and last_error.code != "unknown_fate":
            return last_error
        return NoQuorumError(self.fleet)

    def _call(self, order: Order, to: Attempt, timeout: int) -> tuple[Answer, str]:
        """Returns a keeper's answer, and the leader's name if the order was forwarded to it."""
        # All requests have the same fields; only their types differ.
        request = REQUESTS[order.verb](
            head=codec.head(self.fleet, self.me, to.keeper), what=order.payload, hand_on=to.hand_on
        )
        reply = self.channels[to.keeper].call(order.verb, request, timeout)
        codec.check(reply, self.fleet, self.me)
        return codec.from_message(Answer, reply.answer), reply.by


REQUESTS = {
    "Submit": wire.SubmitOrder,
    "Renew": wire.RenewOrder,
    "Ask": wire.AskOrder,
    "Change": wire.ChangeOrder,
}
