"""One gRPC channel to another process, its bounds, and how what gRPC says of a call is read.

gRPC and fork don't go together: a process that has loaded this module starts others by `subprocess` alone.
"""

import logging
import threading
from typing import NamedTuple

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.orders import Terms

SECOND = 1_000_000
ROOM = 64 << 10  # bytes of a message beside its entries

# gRPC prints the whole stack for each message of strangers that it can't parse; it answers them by itself.
logging.getLogger("grpc._common").setLevel(logging.CRITICAL)


class Limits(NamedTuple):
    """Bytes, counts, and times in whole microseconds."""

    message: int  # bytes of one message
    talks: int  # threads for keepers' calls
    asks: int  # calls of relays under way at once; each holds a thread while it waits
    hands: int  # of those, handed on to the leader at once
    queue: int  # what waits for one keeper, or for one kind of order, at most
    talk: int  # a call between keepers
    call: int  # a relay's call to one keeper
    answer: int  # an order in all, over all keepers
    pause: int  # the first one after a failure; it doubles up to `call`
    idle: int  # without a word, after which a connection is looked at


def limits(terms: Terms) -> Limits:
    """What the settings come to. A call to one keeper may outlast an election, an order no lease."""
    bounds, keepers = terms.bounds, len(terms.keepers.voters) + len(terms.keepers.learners)
    asks = 8 + terms.sessions // 4
    return Limits(
        message=4 * max(bounds.max_batch_bytes, bounds.chunk_bytes) + ROOM,
        talks=2 * keepers + 2,
        asks=asks,
        hands=asks // 2,
        queue=4 * (bounds.max_in_flight + 4),
        talk=bounds.election_timeout,
        call=2 * bounds.election_timeout,
        answer=max(terms.lease, 2 * bounds.election_timeout),
        pause=bounds.heartbeat,
        idle=terms.lease,
    )


def options(limits: Limits) -> list[tuple[str, int]]:
    """Of both ends. One process may not take the place of another at its address (`so_reuseport`), and no
    channel shares a connection with another (a cut one would hold up both). Connecting has half of a call's
    time (gRPC's least pause between two attempts is also the most that one may take): it fails before the
    call does, so that the caller knows that nothing was sent."""
    idle, call, pause = (max(one // 1000, 1) for one in (limits.idle, limits.call, limits.pause))
    return [
        ("grpc.max_receive_message_length", limits.message),
        ("grpc.max_send_message_length", limits.message),
        ("grpc.max_concurrent_streams", limits.asks + limits.talks),
        ("grpc.server_handshake_timeout_ms", call),
        ("grpc.keepalive_time_ms", idle),
        ("grpc.keepalive_timeout_ms", call),
        ("grpc.http2.min_recv_ping_interval_without_data_ms", idle // 2),
        ("grpc.so_reuseport", 0),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.enable_http_proxy", 0),
        ("grpc.initial_reconnect_backoff_ms", max(pause, 100)),
        ("grpc.min_reconnect_backoff_ms", max(call // 2, 1)),
        ("grpc.max_reconnect_backoff_ms", max(call, 100)),
    ]


class UnheardError(Exception):
    """gRPC brought no answer. `sent`: the other side may have heard the call."""

    def __init__(self, status: str, sent: bool, too_large: bool) -> None:
        self.status, self.sent, self.too_large = status, sent, too_large
        super().__init__(status)


def _unheard(error: grpc.RpcError) -> UnheardError:
    status, details = error.code(), error.details() or ""
    return UnheardError(
        status.name.lower(),
        "failed to connect to all addresses" not in details,
        status is grpc.StatusCode.RESOURCE_EXHAUSTED and "larger than max" in details,
    )


class Way:
    """To one address, made when first used. Any thread may call."""

    def __init__(self, address: str, limits: Limits, stub: type) -> None:
        self.address, self.limits, self.kind = address, limits, stub
        self.lock, self.closed = threading.Lock(), False
        self.channel: grpc.Channel | None = None
        self.stub: object = None

    def call(self, name: str, request: Message, timeout: int) -> Message:
        """Blocks for `timeout` microseconds at most; raises UnheardError."""
        with self.lock:
            if self.closed:
                raise UnheardError("closed", False, False)
            if self.channel is None:
                self.channel = grpc.insecure_channel(self.address, options(self.limits))
                self.stub = self.kind(self.channel)
            stub = self.stub
        try:
            return getattr(stub, name)(request, timeout=timeout / SECOND)
        except grpc.RpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._renew(stub)
            raise _unheard(error) from error
        except ValueError as error:  # closed between the lock and the call
            raise UnheardError("closed", False, False) from error

    def _renew(self, stub: object) -> None:
        """A connection that was cut without a word would be used on until TCP gives up. Calls of other
        threads on the old channel go on: it goes when the last of them lets go of it."""
        with self.lock:
            if self.stub is stub:
                self.channel = self.stub = None

    def close(self) -> None:
        """Ends the calls under way, too."""
        with self.lock:
            channel, self.closed, self.channel, self.stub = self.channel, True, None, None
        if channel is not None:
            channel.close()
