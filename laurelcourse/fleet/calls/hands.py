"""A keeper that does not lead takes members' orders to the one that does, and brings its answers back.

Bounded in count and time: each order handed on holds the thread that it came by (`calls/service.py`), and
threads that all waited for a leader out of reach would be missing where this keeper comes to lead itself.
"""

import threading

from google.protobuf.message import Message

from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls.ways import Limits, UnheardError, Way
from laurelcourse.fleet.errors import (
    FleetError,
    NotLeaderError,
    OverloadedError,
    TooLargeError,
    UnknownFateError,
)


class Hands:
    def __init__(self, fleet: str, me: str, addresses: dict[str, str], limits: Limits) -> None:
        """`addresses` by keepers' names; this keeper's own is passed over."""
        self.fleet, self.me, self.limits = fleet, me, limits
        self.ways = {
            name: Way(address, limits, fleet_pb2_grpc.BooksStub)
            for name, address in sorted(addresses.items())
            if name != me
        }
        self.lock, self.busy = threading.Lock(), 0

    def on(self, verb: str, order: Message, leader: str, timeout: int) -> Message:
        """The leader's reply to `order`, which came by the call `verb`; blocks for `timeout` microseconds at
        most. NotLeaderError: it surely was not brought there; UnknownFateError: it may have been.
        OverloadedError, TooLargeError."""
        if timeout <= 0:
            raise NotLeaderError(self.me, leader=leader)
        with self.lock:
            if self.busy >= self.limits.hands:
                raise OverloadedError(self.me, waiting=self.busy, at_most=self.limits.hands)
            self.busy += 1
        try:
            # Without the wish to be handed on: this is its one hop. All else of it stays as it came.
            request = type(order)(head=codec.head(self.fleet, self.me, leader), what=order.what)
            return self._heard(self.ways[leader].call(verb, request, timeout))
        except UnheardError as error:
            if error.too_large:
                raise TooLargeError(
                    leader, size=self.limits.message + 1, at_most=self.limits.message
                ) from error
            if error.sent:
                raise UnknownFateError(leader) from error
            raise NotLeaderError(self.me, leader=leader) from error
        finally:
            with self.lock:
                self.busy -= 1

    def _heard(self, reply: Message) -> Message:
        try:
            codec.check(reply, self.fleet, self.me)
        except FleetError as error:
            # Whoever answered so may have carried it out all the same.
            raise UnknownFateError(self.me) from error
        return reply

    def close(self) -> None:
        """Ends what is under way, too."""
        for way in self.ways.values():
            way.close()
