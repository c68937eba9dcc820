"""Sends messages between keepers: a bounded queue and a thread for each other keeper.

Nothing here blocks the sender. Messages may be lost, as on any network (the core sends again what matters); a
peer that is dead, cut off or half open holds up its own thread alone, one call's timeout at a time.
"""

import logging
import threading
from collections import deque

from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, NoAnswerError, RpcChannel
from laurelcourse.fleet.errors import FleetError, error_from_code
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)

FRAMING_BYTES = 8  # of each message in an envelope, at most


def is_heartbeat(message: keeper.Message) -> bool:
    """Returns whether a message carries no entries, so that a later one replaces it."""
    return isinstance(message, keeper.Append) and not message.entries


class Peer:
    """The queue, the thread and the channel for one other keeper."""

    def __init__(self, fleet: str, me: str, name: str, address: str, limits: Limits, rng: Prng) -> None:
        self.fleet = fleet
        self.me = me
        self.name = name
        self.limits = limits
        self.rng = rng
        self.address = address
        self.channel = RpcChannel(address, limits, fleet_pb2_grpc.KeepersStub)
        self.queue: deque[keeper.Message] = deque()
        self.changed = threading.Condition()
        self.closed = False
        self.lost = 0  # messages that were never delivered
        self.retry_delay = 0  # microseconds
        self.logged_fault = ""  # as logged last; empty: none
        self.thread = threading.Thread(target=self._run, name=f"fleet-peer-{name}", daemon=True)
        self.thread.start()

    def put(self, message: keeper.Message) -> None:
        """Queues a message; if the queue is full, its oldest heartbeat, else its oldest message is lost."""
        with self.changed:
            if len(self.queue) >= self.limits.queue_length:
                self.lost += 1
                oldest = next((index for index, queued in enumerate(self.queue) if is_heartbeat(queued)), 0)
                del self.queue[oldest]
            self.queue.append(message)
            self.changed.notify()

    def close(self) -> None:
        """Drops what is queued and ends the call in progress."""
        with self.changed:
            self.closed = True
            self.changed.notify()
        self.channel.close()

    def _run(self) -> None:
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.queue or self.closed)
                if self.closed:
                    return
            envelope = self._next_envelope()
            if not envelope.messages:
                continue
            fault = self._deliver(envelope)
            if fault != self.logged_fault:
                self.logged_fault = fault
                log.log(
                    logging.WARNING if fault else logging.INFO,
                    "keeper refuses" if fault else "keeper hears",
                    extra={"keeper": self.name, "fault": fault or "none"},
                )
            if self.retry_delay:
                with self.changed:
                    self.changed.wait_for(lambda: self.closed, self.retry_delay / SECOND)

    def _next_envelope(self) -> Message:
        """Returns as many queued messages as one call may hold, in their order."""
        envelope = wire.Envelope(head=codec.head(self.fleet, self.me, self.name))
        room = self.limits.message_bytes - envelope.ByteSize()
        while True:
            with self.changed:
                if not self.queue:
                    return envelope
                form = self.queue[0]
            # Encoded without the lock, so that no sender waits for it. Meanwhile the queue may have dropped
            # this message; then the next one follows.
            try:
                message = codec.check_size(codec.to_message(form), self.limits.message_bytes // 2)
            except FleetError as error:
                log.error("message not sent", extra={"keeper": self.name, **error.fields()})
                message = None
            room -= message.ByteSize() + FRAMING_BYTES if message else 0
            if room < 0:
                return envelope
            with self.changed:
                if not self.queue or self.queue[0] is not form:
                    continue
                self.queue.popleft()
            if message:
                envelope.messages.append(message)

    def _deliver(self, envelope: Message) -> str:
        """Returns why messages were not delivered, or an empty string; sets the delay of the next call."""
        try:
            answer = self.channel.call("Talk", envelope, self.limits.keeper_timeout)
            codec.check(answer, self.fleet, self.me)
            if answer.HasField("refused"):
                done = codec.from_message(Done, answer.refused)
                raise error_from_code(done.code, done.to, dict(done.told))
        except NoAnswerError as error:
            self.lost += len(envelope.messages)
            # Doubles up to a call's timeout, with jitter so that keepers don't retry in step.
            delay = min(max(2 * self.retry_delay, self.limits.retry_delay), self.limits.call_timeout)
            self.retry_delay = delay - self.rng.below(delay // 4 + 1)
            return error.status
        except FleetError as error:
            self.retry_delay = self.limits.retry_delay
            return error.code
        self.retry_delay = 0
        return ""


class Peers:
    """All other keepers."""

    def __init__(self, fleet: str, me: str, addresses: dict[str, str], limits: Limits, rng: Prng) -> None:
        """`addresses` are by keepers' names; this keeper's own is ignored."""
        self.fleet = fleet
        self.me = me
        self.limits = limits
        self.rng = rng
        self.lock = threading.Lock()
        self.peers: dict[str, Peer] = {}
        self.set_addresses(addresses)

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replaces the keepers; connections to those that stay at their address are kept."""
        with self.lock:
            removed = [peer for name, peer in self.peers.items() if addresses.get(name) != peer.address]
            for peer in removed:
                del self.peers[peer.name]
            for name in sorted(addresses):
                if name != self.me and name not in self.peers:
                    rng = Prng(self.rng.below(1 << 30))
                    self.peers[name] = Peer(self.fleet, self.me, name, addresses[name], self.limits, rng)
        for peer in removed:
            peer.close()

    def send(self, to: str, message: keeper.Message) -> None:
        """Queues a message, from any thread, without blocking; ignored if the keeper has no address."""
        if (peer := self.peers.get(to)) is not None:
            peer.put(message)

    def close(self, timeout: int) -> None:
        """Drops what is queued; waits up to `timeout` microseconds for each thread to end."""
        with self.lock:
            peers, self.peers = list(self.peers.values()), {}
        for peer in peers:
            peer.close()
        for peer in peers:
            peer.thread.join(timeout / SECOND)
