"""A gRPC channel to another process, its limits, and how the status of a call is read.

gRPC is not safe to fork: a process that has loaded this module starts others by `subprocess` alone.
"""

import logging
import threading
from typing import NamedTuple

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.orders import Terms

SECOND = 1_000_000  # microseconds
MILLISECOND = 1000  # microseconds
ENVELOPE_BYTES = 64 << 10  # of a message beside its entries

MIN_CALLS = 8  # of relays at once, in the smallest fleet
SESSIONS_PER_CALL = 4  # sessions for which one more call may be in progress
MIN_BACKOFF_MS = 100

# gRPC logs a whole stack for each message of strangers that it can't parse; it answers them by itself.
logging.getLogger("grpc._common").setLevel(logging.CRITICAL)


class Limits(NamedTuple):
    """Limits of calls: bytes, counts, and times in whole microseconds."""

    message_bytes: int  # of one message
    keeper_threads: int  # for calls between keepers
    max_calls: int  # of relays at once; each holds a thread while it waits
    max_forwards: int  # of those, forwarded to the leader at once
    queue_length: int  # of what waits for one keeper, or for one kind of order
    keeper_timeout: int  # of a call between keepers
    call_timeout: int  # of a relay's call to one keeper
    order_timeout: int  # of an order in all, over all keepers
    retry_delay: int  # after the first failure; it doubles up to `call_timeout`
    keepalive_time: int  # after which an idle connection is probed


def limits(terms: Terms) -> Limits:
    """Returns the limits that follow from the settings.

    A call to one keeper may outlast an election; an order does not outlast a lease.
    """
    bounds = terms.bounds
    keepers = len(terms.keepers.voters) + len(terms.keepers.learners)
    max_calls = MIN_CALLS + terms.sessions // SESSIONS_PER_CALL
    return Limits(
        message_bytes=4 * max(bounds.max_batch_bytes, bounds.chunk_bytes) + ENVELOPE_BYTES,
        keeper_threads=2 * keepers + 2,
        max_calls=max_calls,
        max_forwards=max_calls // 2,
        queue_length=4 * (bounds.max_in_flight + 4),
        keeper_timeout=bounds.election_timeout,
        call_timeout=2 * bounds.election_timeout,
        order_timeout=max(terms.lease, 2 * bounds.election_timeout),
        retry_delay=bounds.heartbeat,
        keepalive_time=terms.lease,
    )


def options(limits: Limits) -> list[tuple[str, int]]:
    """Returns gRPC's options, the same for servers and channels.

    No process may take the address of another (`so_reuseport`), and no two channels share a connection, since
    a cut one would hold up both. Connecting has half of a call's time (gRPC's least delay between two
    attempts is also the most that one may take): it fails before the call does, so that the caller knows that
    nothing was sent.
    """
    keepalive, call, delay = (
        max(time // MILLISECOND, 1)
        for time in (limits.keepalive_time, limits.call_timeout, limits.retry_delay)
    )
    return [
        ("grpc.max_receive_message_length", limits.message_bytes),
        ("grpc.max_send_message_length", limits.message_bytes),
        ("grpc.max_concurrent_streams", limits.max_calls + limits.keeper_threads),
        ("grpc.server_handshake_timeout_ms", call),
        ("grpc.keepalive_time_ms", keepalive),
        ("grpc.keepalive_timeout_ms", call),
        ("grpc.http2.min_recv_ping_interval_without_data_ms", keepalive // 2),
        ("grpc.so_reuseport", 0),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.enable_http_proxy", 0),
        ("grpc.initial_reconnect_backoff_ms", max(delay, MIN_BACKOFF_MS)),
        ("grpc.min_reconnect_backoff_ms", max(call // 2, 1)),
        ("grpc.max_reconnect_backoff_ms", max(call, MIN_BACKOFF_MS)),
    ]


class NoAnswerError(Exception):
    """gRPC returned no answer. `sent`: the other side may have received the call."""

    def __init__(self, status: str, sent: bool, too_large: bool) -> None:
        self.status = status
        self.sent = sent
        self.too_large = too_large
        super().__init__(status)


def _no_answer(error: grpc.RpcError) -> NoAnswerError:
    status, details = error.code(), error.details() or ""
    return NoAnswerError(
        status.name.lower(),
        "failed to connect to all addresses" not in details,
        status is grpc.StatusCode.RESOURCE_EXHAUSTED and "larger than max" in details,
    )


class RpcChannel:
    """A channel to one address, opened when first used. Any thread may call."""

    def __init__(self, address: str, limits: Limits, stub: type) -> None:
        self.address = address
        self.limits = limits
        self.stub_type = stub
        self.lock = threading.Lock()
        self.closed = False
        self.channel: grpc.Channel | None = None
        self.stub: object = None

    def call(self, name: str, request: Message, timeout: int) -> Message:
        """Calls a method; blocks for at most `timeout` microseconds. Raises NoAnswerError."""
        with self.lock:
            if self.closed:
                raise NoAnswerError("closed", False, False)
            if self.channel is None:
                self.channel = grpc.insecure_channel(self.address, options(self.limits))
                self.stub = self.stub_type(self.channel)
            stub = self.stub
        try:
            return getattr(stub, name)(request, timeout=timeout / SECOND)
        except grpc.RpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._discard(stub)
            raise _no_answer(error) from error
        except ValueError as error:  # closed between the lock and the call
            raise NoAnswerError("closed", False, False) from error

    def _discard(self, stub: object) -> None:
        """Has the next call open a new connection: a silently cut one would be used until TCP gives up.

        Calls of other threads on the old channel go on; it is closed when the last of them releases it.
        """
        with self.lock:
            if self.stub is stub:
                self.channel = self.stub = None

    def close(self) -> None:
        """Closes the channel and ends the calls in progress."""
        with self.lock:
            channel, self.closed, self.channel, self.stub = self.channel, True, None, None
        if channel is not None:
            channel.close()
