"""A member's side: orders to whichever keeper leads, each answered once, by a callback from another thread.

The leader is found by asking keepers in turn and following their hints; if it is not heard, others are asked
to hand orders on to it (`fleet/handing.py`). An order is given again, with the marks it bears, until its time
is over; what then may have been carried out ends as UnknownFateError, what surely was not as NoQuorumError
(or as the keepers' own last word).
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.ways import SECOND, Limits, UnheardError, Way
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

Told = Callable[[Answer | FleetError], None]
# A keeper's words after which another keeper, or the same one later, may do better. All others are final.
ELSEWHERE = (
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
)


class Order(NamedTuple):
    verb: str  # the call's name
    what: Message
    told: Told
    until: int


class Lane:
    """One kind of order, one at a time and in order: a renewal never waits behind what takes long."""

    def __init__(self, client: "Client", name: str) -> None:
        self.client, self.name = client, name
        self.queue: deque[Order] = deque()
        self.news = threading.Condition()
        self.thread = threading.Thread(target=self._run, name=f"fleet-client-{name}", daemon=True)
        self.thread.start()

    def put(self, order: Order) -> None:
        at_most = self.client.limits.queue
        with self.news:
            if self.client.closed:
                raise StoppingError(self.client.me)
            if len(self.queue) >= at_most:
                raise OverloadedError(self.client.me, waiting=len(self.queue), at_most=at_most)
            self.queue.append(order)
            self.news.notify()

    def wake(self) -> None:
        with self.news:
            self.news.notify()

    def pause(self, length: int) -> None:
        with self.news:
            self.news.wait_for(lambda: self.client.closed, length / SECOND)

    def _run(self) -> None:
        while True:
            with self.news:
                self.news.wait_for(lambda: self.queue or self.client.closed)
                if not self.queue:
                    return
                order = self.queue.popleft()
            try:
                order.told(self.client.carried(order, self))
            except Exception:
                # The lane serves the orders to come, whatever became of this one's asker.
                log.exception("answer not taken", extra={"order": order.verb})


class Client:
    def __init__(
        self,
        fleet: str,
        me: str,
        keepers: dict[str, str],
        limits: Limits,
        clock: Callable[[], int],
        rng: Prng,
    ) -> None:
        """`keepers`: addresses by name. `clock`: monotonic, whole microseconds, any thread."""
        self.fleet, self.me, self.limits, self.clock = fleet, me, limits, clock
        self.ways = {name: Way(keepers[name], limits, fleet_pb2_grpc.BooksStub) for name in sorted(keepers)}
        names = tuple(self.ways)
        # Relays don't all turn to the same keeper first. A leader that was not heard is tried itself again
        # once in an order's time, which is no shorter than a lease.
        self.routes = LeaderRoutes(names, rng.below(len(names)), limits.answer)
        self.closed, self.said = False, ""  # who hands orders on, as logged: a change is told once
        self.lanes = {name: Lane(self, name) for name in ("submit", "renew", "ask")}

    # Each may raise OverloadedError, TooLargeError, UnreadableError or StoppingError at once and never
    # blocks; `told` is called once, by a thread of this module.

    def submit(self, submit: Submit, told: Told) -> None:
        self._put("submit", "Submit", submit, told)

    def renew(self, beat: Beat, told: Told) -> None:
        self._put("renew", "Renew", beat, told)

    def ask(self, question: Question, told: Told) -> None:
        self._put("ask", "Ask", question, told)

    def change(self, keepers: Keepers, told: Told) -> None:
        self._put("ask", "Change", keepers, told)

    def close(self, timeout: int) -> None:
        """Orders that wait or are under way end at once; `timeout` in microseconds for each thread to end."""
        self.closed = True
        for way in self.ways.values():
            way.close()
        for lane in self.lanes.values():
            lane.wake()
        for lane in self.lanes.values():
            lane.thread.join(timeout / SECOND)

    def _put(self, lane: str, verb: str, form: object, told: Told) -> None:
        what = codec.fitting(codec.message_of(form), self.limits.message - 4 * codec.TEXT)
        self.lanes[lane].put(Order(verb, what, told, self.clock() + self.limits.answer))

    def carried(self, order: Order, lane: Lane) -> Answer | FleetError:
        """Blocks until the order has its answer or its time is over."""
        last: FleetError | None = None
        sent, asked, pause, routes = False, 0, self.limits.pause, self.routes
        then = routes.first(self.clock())
        while not self.closed and (left := order.until - self.clock()) > 0:
            tried = then
            try:
                answer, by = self._asked(order, tried, min(left, self.limits.call))
            except UnheardError as error:
                if error.too_large:
                    return TooLargeError(
                        tried.keeper, size=self.limits.message + 1, at_most=self.limits.message
                    )
                sent |= error.sent
                then = routes.unheard(self.clock(), tried)
            except FleetError as error:
                last = error
                # Who is of another fleet or version refused the order, as we refuse its answer.
                sent |= error.code not in ("other_fleet", "other_version")
                then = routes.elsewhere(self.clock(), tried, error.code)
            else:
                if not isinstance(answer, Done) or answer.code not in ELSEWHERE:
                    routes.answered(tried, by)
                    self._tell(tried.keeper if by else "")
                    return answer
                told = dict(answer.told)
                if answer.code == "not_leader":
                    then = routes.not_leader(self.clock(), tried, str(told.get("leader", "")), by)
                else:
                    last = error_from_code(answer.code, answer.to, told)
                    sent |= answer.code in ("unknown_fate", "disk_full", "disk_failed", "books_differ")
                    then = routes.elsewhere(self.clock(), tried, answer.code, by)
            asked += 1
            if then == tried or asked % len(self.ways) == 0:
                lane.pause(min(pause, max(order.until - self.clock(), 0)))
                pause = min(2 * pause, self.limits.call)
        return self._ended(order, sent, last)

    @property
    def leader(self) -> str:
        """Who is taken for the leader; empty: nobody."""
        return self.routes.leader

    def _tell(self, via: str) -> None:
        if via != self.said:
            self.said = via
            log.log(
                logging.WARNING if via else logging.INFO,
                "orders are handed on" if via else "orders go to the leader itself",
                extra={"leader": self.leader, "keeper": via or self.leader},
            )

    def _ended(self, order: Order, sent: bool, last: FleetError | None) -> FleetError:
        if sent and order.verb in ("Submit", "Change"):
            return UnknownFateError(self.fleet)
        if self.closed:
            return StoppingError(self.me)
        return last if last is not None and last.code != "unknown_fate" else NoQuorumError(self.fleet)

    def _asked(self, order: Order, to: Attempt, timeout: int) -> tuple[Answer, str]:
        """The answer, and who gave it if it was handed on."""
        # All requests have the same fields; only their types differ.
        request = REQUESTS[order.verb](
            head=codec.head(self.fleet, self.me, to.keeper), what=order.what, hand_on=to.hand_on
        )
        reply = self.ways[to.keeper].call(order.verb, request, timeout)
        codec.check(reply, self.fleet, self.me)
        return codec.form_of(Answer, reply.answer), reply.by


REQUESTS = {
    "Submit": wire.SubmitOrder,
    "Renew": wire.RenewOrder,
    "Ask": wire.AskOrder,
    "Change": wire.ChangeOrder,
}
