"""A member's side: orders to whichever keeper leads, each answered once, by a callback from another thread.

The leader is found by asking keepers in turn and following their hints. An order is given again, with the
marks it bears, until its time is over; what then may have been carried out ends as UnknownFateError, what
surely was not as NoQuorumError (or as the keepers' own last word).
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from google.protobuf.message import Message

from laurelcourse.chance import Chance
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
    made,
)
from laurelcourse.fleet.keeper.forms import Keepers
from laurelcourse.fleet.orders import Answer, Beat, Question, Submit

log = logging.getLogger(__name__)

Told = Callable[[Answer | FleetError], None]
# A keeper's words after which another keeper, or the same one later, may do better. All others are final.
ELSEWHERE = ("no_quorum", "not_leader", "other_fleet", "other_version", "overloaded", "stopping",
             "unknown_fate", "unreadable", "disk_full", "disk_failed", "older_disk", "damaged_books",
             "books_differ")


class Order(NamedTuple):
    verb: str            # the call's name
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
    def __init__(self, fleet: str, me: str, keepers: dict[str, str], limits: Limits,
                 clock: Callable[[], int], chance: Chance) -> None:
        """`keepers`: addresses by name. `clock`: monotonic, whole microseconds, any thread."""
        self.fleet, self.me, self.limits, self.clock = fleet, me, limits, clock
        self.ways = {name: Way(keepers[name], limits, fleet_pb2_grpc.BooksStub) for name in sorted(keepers)}
        self.names = tuple(self.ways)
        self.turn = chance.below(len(self.names))  # relays don't all turn to the same keeper first
        self.leader, self.closed = "", False
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
        sent, asked, pause, at = False, 0, self.limits.pause, self.leader
        while not self.closed and (left := order.until - self.clock()) > 0:
            name = at if at in self.ways else self._next()
            at = ""
            try:
                answer = self._asked(order, name, min(left, self.limits.call))
            except UnheardError as error:
                if error.too_large:
                    return TooLargeError(name, size=self.limits.message + 1, at_most=self.limits.message)
                sent |= error.sent
            except FleetError as error:
                last = error
                # Who is of another fleet or version refused the order, as we refuse its answer.
                sent |= error.code not in ("other_fleet", "other_version")
            else:
                if not isinstance(answer, Done) or answer.code not in ELSEWHERE:
                    self.leader = name
                    return answer
                told = dict(answer.told)
                if answer.code == "not_leader":
                    at = str(told.get("leader", ""))
                else:
                    last = made(answer.code, answer.to, told)
                    sent |= answer.code in ("unknown_fate", "disk_full", "disk_failed", "books_differ")
                    at = name if answer.code == "overloaded" else ""
            self.leader = at
            asked += 1
            if at == name or asked % len(self.names) == 0:
                lane.pause(min(pause, max(order.until - self.clock(), 0)))
                pause = min(2 * pause, self.limits.call)
        return self._ended(order, sent, last)

    def _ended(self, order: Order, sent: bool, last: FleetError | None) -> FleetError:
        if sent and order.verb in ("Submit", "Change"):
            return UnknownFateError(self.fleet)
        if self.closed:
            return StoppingError(self.me)
        return last if last is not None and last.code != "unknown_fate" else NoQuorumError(self.fleet)

    def _asked(self, order: Order, name: str, timeout: int) -> Answer:
        # All requests have the same two fields; only their types differ.
        request = REQUESTS[order.verb](head=codec.head(self.fleet, self.me, name), what=order.what)
        reply = self.ways[name].call(order.verb, request, timeout)
        codec.check(reply, self.fleet, self.me)
        return codec.form_of(Answer, reply.answer)

    def _next(self) -> str:
        self.turn = (self.turn + 1) % len(self.names)
        return self.names[self.turn]


REQUESTS = {"Submit": wire.SubmitOrder, "Renew": wire.RenewOrder, "Ask": wire.AskOrder,
            "Change": wire.ChangeOrder}
