"""A keeper that does not lead forwards members' orders to the leader, and returns its answers.

Bounded in count and time: each forwarded order holds the thread that it came by (`calls/service.py`), and
threads that all wait for an unreachable leader would be missing if this keeper came to lead itself.
"""

import threading

from google.protobuf.message import Message

from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls.channel import Limits, NoAnswerError, RpcChannel
from laurelcourse.fleet.errors import (
    FleetError,
    NotLeaderError,
    OverloadedError,
    TooLargeError,
    UnknownFateError,
)


class Forwarder:
    """Channels to the other keepers, for orders that are forwarded."""

    def __init__(self, fleet: str, me: str, addresses: dict[str, str], limits: Limits) -> None:
        """`addresses` are by keepers' names; this keeper's own is ignored."""
        self.fleet = fleet
        self.me = me
        self.limits = limits
        self.channels = {
            name: RpcChannel(address, limits, fleet_pb2_grpc.BooksStub)
            for name, address in sorted(addresses.items())
            if name != me
        }
        self.lock = threading.Lock()
        self.busy = 0

    def forward(self, verb: str, order: Message, leader: str, timeout: int) -> Message:
        """Returns the leader's reply to an order that came by the call `verb`.

        Blocks for at most `timeout` microseconds. Raises NotLeaderError if the leader surely did not receive
        it, UnknownFateError if it may have, OverloadedError and TooLargeError.
        """
        if timeout <= 0:
            raise NotLeaderError(self.me, leader=leader)
        with self.lock:
            if self.busy >= self.limits.max_forwards:
                raise OverloadedError(self.me, waiting=self.busy, at_most=self.limits.max_forwards)
            self.busy += 1
        try:
            # Sent without `hand_on`: this is its one hop. Everything else of it stays as it came.
            request = type(order)(head=codec.head(self.fleet, self.me, leader), what=order.what)
            return self._checked(self.channels[leader].call(verb, request, timeout))
        except NoAnswerError as error:
            if error.too_large:
                raise TooLargeError(
                    leader, size=self.limits.message_bytes + 1, at_most=self.limits.message_bytes
                ) from error
            if error.sent:
                raise UnknownFateError(leader) from error
            raise NotLeaderError(self.me, leader=leader) from error
        finally:
            with self.lock:
                self.busy -= 1

    def _checked(self, reply: Message) -> Message:
        try:
            codec.check(reply, self.fleet, self.me)
        except FleetError as error:
            # The process that answered so may have applied the order nevertheless.
            raise UnknownFateError(self.me) from error
        return reply

    def close(self) -> None:
        """Closes the channels and ends the calls in progress."""
        for channel in self.channels.values():
            channel.close()
