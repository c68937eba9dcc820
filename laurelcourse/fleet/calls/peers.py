"""Sends keepers' messages: for each other keeper a bounded queue and a thread that carries it there.

Nothing here blocks whoever sends. The way may lose messages, as any way may (the log's core sends what
matters again); a peer that is dead, cut off or half open holds up its own thread alone, a deadline at a time.
"""

import logging
import threading
from collections import deque

from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.ways import SECOND, Limits, UnheardError, Way
from laurelcourse.fleet.errors import FleetError, error_from_code
from laurelcourse.fleet.keeper import messages as keeper
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)


def heartbeat(message: keeper.Message) -> bool:
    return isinstance(message, keeper.Append) and not message.entries


class Peer:
    """One other keeper. `lost` counts what was never brought there."""

    def __init__(self, fleet: str, me: str, name: str, address: str, limits: Limits, rng: Prng) -> None:
        self.fleet, self.me, self.name, self.limits, self.rng = fleet, me, name, limits, rng
        self.address = address
        self.way = Way(address, limits, fleet_pb2_grpc.KeepersStub)
        self.queue: deque[keeper.Message] = deque()
        self.news = threading.Condition()
        self.closed, self.lost, self.pause = False, 0, 0
        self.said = ""  # how it went last, as logged: a change is told once
        self.thread = threading.Thread(target=self._run, name=f"fleet-peer-{name}", daemon=True)
        self.thread.start()

    def put(self, message: keeper.Message) -> None:
        with self.news:
            if len(self.queue) >= self.limits.queue:
                self.lost += 1
                oldest = next((n for n, one in enumerate(self.queue) if heartbeat(one)), 0)
                del self.queue[oldest]
            self.queue.append(message)
            self.news.notify()

    def close(self) -> None:
        with self.news:
            self.closed = True
            self.news.notify()
        self.way.close()

    def _run(self) -> None:
        while True:
            with self.news:
                self.news.wait_for(lambda: self.queue or self.closed)
                if self.closed:
                    return
            envelope = self._filled()
            if not envelope.messages:
                continue
            how = self._carried(envelope)
            if how != self.said:
                self.said = how
                log.log(
                    logging.WARNING if how else logging.INFO,
                    "keeper refuses" if how else "keeper hears",
                    extra={"keeper": self.name, "fault": how or "none"},
                )
            if self.pause:
                with self.news:
                    self.news.wait_for(lambda: self.closed, self.pause / SECOND)

    def _filled(self) -> Message:
        """As many messages as one call may hold, in their order."""
        envelope = wire.Envelope(head=codec.head(self.fleet, self.me, self.name))
        room = self.limits.message - envelope.ByteSize()
        while True:
            with self.news:
                if not self.queue:
                    return envelope
                form = self.queue[0]
            # Written without the lock: whoever sends does not wait for it. Meanwhile the queue may have
            # dropped this one; then it is the next one's turn.
            try:
                message = codec.fitting(codec.message_of(form), self.limits.message // 2)
            except FleetError as error:
                log.error("message not sent", extra={"keeper": self.name, **error.fields()})
                message = None
            room -= message.ByteSize() + 8 if message else 0
            if room < 0:
                return envelope
            with self.news:
                if not self.queue or self.queue[0] is not form:
                    continue
                self.queue.popleft()
            if message:
                envelope.messages.append(message)

    def _carried(self, envelope: Message) -> str:
        """Empty, or why it was not heard; sets the pause before the next call."""
        try:
            answer = self.way.call("Talk", envelope, self.limits.talk)
            codec.check(answer, self.fleet, self.me)
            if answer.HasField("refused"):
                done = codec.form_of(Done, answer.refused)
                raise error_from_code(done.code, done.to, dict(done.told))
        except UnheardError as error:
            self.lost += len(envelope.messages)
            # Grows from a beat to a call's time, scattered so that keepers don't knock in step.
            self.pause = min(max(2 * self.pause, self.limits.pause), self.limits.call)
            self.pause -= self.rng.below(self.pause // 4 + 1)
            return error.status
        except FleetError as error:
            self.pause = self.limits.pause
            return error.code
        self.pause = 0
        return ""


class Peers:
    def __init__(self, fleet: str, me: str, addresses: dict[str, str], limits: Limits, rng: Prng) -> None:
        """`addresses` by keepers' names; this keeper's own is passed over."""
        self.fleet, self.me, self.limits, self.rng = fleet, me, limits, rng
        self.lock = threading.Lock()
        self.peers: dict[str, Peer] = {}
        self.know(addresses)

    def know(self, addresses: dict[str, str]) -> None:
        """These are the keepers now; those that stay at their address are not disturbed."""
        with self.lock:
            gone = [one for name, one in self.peers.items() if addresses.get(name) != one.address]
            for one in gone:
                del self.peers[one.name]
            for name in sorted(addresses):
                if name != self.me and name not in self.peers:
                    rng = Prng(self.rng.below(1 << 30))
                    self.peers[name] = Peer(self.fleet, self.me, name, addresses[name], self.limits, rng)
        for one in gone:
            one.close()

    def send(self, to: str, message: keeper.Message) -> None:
        """Any thread; never blocks. A keeper without an address is sent nothing."""
        if (peer := self.peers.get(to)) is not None:
            peer.put(message)

    def close(self, timeout: int) -> None:
        """What waits is dropped; `timeout` in microseconds for each thread to end."""
        with self.lock:
            peers, self.peers = list(self.peers.values()), {}
        for one in peers:
            one.close()
        for one in peers:
            one.thread.join(timeout / SECOND)
