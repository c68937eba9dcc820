"""Ways between processes on loopback that a test takes away, bends and gives back at any moment.

For each directed pair (who connects, to whom) there is a listener that forwards bytes to the real address.
What a way holds back is not lost: it stays with its sender, as TCP keeps what a network drops, and comes
once the way is healed. One thread moves all bytes. Times are whole microseconds."""

import contextlib
import errno
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.standins.base import reset

WAY = "127.0.0.4"  # no connection takes it as its source, so ports found free stay free
OPEN, CUT, SILENT, DEAF = "open", "cut", "silent", "deaf"
HALF_OPEN, SLOW, FLAP = "half-open", "slow", "flap"
THERE, BACK = 0, 1  # lanes: from who connected, and to it
BUFFER = 256 << 10  # bytes that a lane takes in before they may leave
PIECE = 64 << 10
SLICES = 50  # of a second, in which a slow lane takes bytes in
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
Address = tuple[str, int]


class Mode(NamedTuple):
    """`cut`: connections are reset, new ones refused. `silent`: connections stand still, new ones get no
    answer. `deaf`: bytes of `lane` stay behind, the others pass; new connections are taken. `half-open`: new
    ones are taken, nothing passes. `slow`: `delay` each way, `rate` bytes a second of a lane (0: as it goes).
    `flap`: cut for a `period`, open for one, and so on."""

    kind: str = OPEN
    lane: int = THERE
    delay: int = 0
    rate: int = 0
    period: int = 0


class Counts(NamedTuple):
    connections: int  # taken since the start
    held: int  # of them now
    there: int  # bytes handed on
    back: int


def clock() -> int:
    return time.monotonic_ns() // 1000


class _Lane:
    __slots__ = ("dst", "ended", "free_at", "passed_on", "queue", "size", "src")

    def __init__(self, src: socket.socket, dst: socket.socket) -> None:
        self.src, self.dst = src, dst
        self.queue: deque[tuple[int, bytes]] = deque()
        self.size = self.free_at = 0
        self.ended = self.passed_on = False  # the source's last byte is read; the target was told so


class _Link:
    __slots__ = ("client", "connected", "connecting", "lanes", "server", "way")

    def __init__(self, way: "_Way", client: socket.socket) -> None:
        self.way, self.client = way, client
        self.server = socket.socket()
        self.server.setblocking(False)
        self.connecting = self.connected = False
        self.lanes = (_Lane(client, self.server), _Lane(self.server, client))
        for sock in (client, self.server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class _Way:
    def __init__(self, to: Address) -> None:
        self.to, self.mode, self.now, self.since = to, Mode(), Mode(), 0
        # Bound and never listening, it keeps the port while a cut has no listener.
        self.holder = _bound((WAY, 0))
        self.address: Address = self.holder.getsockname()
        self.listener: socket.socket | None = None
        self.plugs: list[socket.socket] = []
        self.links: set[_Link] = set()
        self.connections, self.bytes = 0, [0, 0]

    def in_force(self, now: int) -> Mode:
        if self.mode.kind != FLAP:
            return self.mode
        return Mode(OPEN if (now - self.since) // self.mode.period % 2 else CUT)

    def edge(self, now: int) -> int | None:
        """When it flaps next."""
        period = self.mode.period
        return None if self.mode.kind != FLAP else now + period - (now - self.since) % period

    def passes(self, lane: int) -> bool:
        return self.now.kind in (OPEN, SLOW) or (self.now.kind == DEAF and self.now.lane != lane)

    def room(self) -> int:
        rate = self.now.rate
        return rate * self.now.delay // 1_000_000 + max(rate // SLICES, 1) if rate else BUFFER


def _bound(address: Address) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


class Ways:
    def __init__(self) -> None:
        self.ways: dict[tuple[str, str], _Way] = {}
        self.selector = selectors.DefaultSelector()
        self.masks: dict[socket.socket, int] = {}
        self.timed: set[_Link] = set()
        self.orders: deque[tuple[Callable[[], None], threading.Event]] = deque()
        self.woken, self.wake = socket.socketpair()
        self.selector.register(self.woken, READ, None)
        self.over = False
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def open(self, one: str, other: str, to: Address) -> Address:
        """The address by which `one` reaches `other`, which listens at `to`."""
        way = _Way(to)
        self.ways[one, other] = way
        self._do(lambda: self._enter(way, Mode()))
        return way.address

    def set(self, one: str, other: str, mode: Mode) -> None:
        """In force on return."""
        way = self.ways[one, other]

        def change() -> None:
            way.mode, way.since = mode, clock()
            self._enter(way, way.in_force(way.since))

        self._do(change)

    def heal(self) -> None:
        for one, other in sorted(self.ways):
            self.set(one, other, Mode())

    def counts(self, one: str, other: str) -> Counts:
        way = self.ways[one, other]
        return Counts(way.connections, len(way.links), *way.bytes)

    def close(self) -> None:
        self.over = True
        self.wake.send(b"!")
        self.thread.join(5)
        for way in self.ways.values():
            for link in list(way.links):
                self._drop(link)
            for sock in (way.holder, way.listener, *way.plugs):
                if sock is not None:
                    sock.close()
        self.selector.close()
        self.woken.close()
        self.wake.close()

    # From here on: the thread's own.

    def _do(self, order: Callable[[], None]) -> None:
        done = threading.Event()
        self.orders.append((order, done))
        self.wake.send(b"!")
        assert done.wait(10), "the ways' thread has ended"

    def _work(self) -> None:
        while not self.over:
            now = clock()
            edges = [edge for way in self.ways.copy().values() if (edge := way.edge(now)) is not None]
            dues = edges + [
                lane.queue[0][0]
                for link in self.timed
                for place, lane in enumerate(link.lanes)
                if lane.queue and link.way.passes(place)
            ]
            wait = max(min(dues) - now, 0) / 1_000_000 if dues else None
            for key, mask in self.selector.select(wait):
                if key.data is None:
                    self.woken.recv(4096)
                elif isinstance(key.data, _Way):
                    self._take(key.data)
                elif key.fileobj in self.masks:
                    self._serve(key.data, key.fileobj, mask)
            while self.orders:
                order, done = self.orders.popleft()
                order()
                done.set()
            now = clock()
            for way in self.ways.copy().values():
                if way.mode.kind == FLAP and way.in_force(now) != way.now:
                    self._enter(way, way.in_force(now))
            for link in list(self.timed):
                self._move(link)

    def _enter(self, way: _Way, mode: Mode) -> None:
        way.now = mode
        if mode.kind == CUT:
            for link in list(way.links):
                self._drop(link)
        self._listen(way, mode.kind)
        for link in list(way.links):
            self._move(link)

    def _listen(self, way: _Way, kind: str) -> None:
        """Listening for those who come, for none (they are refused), or with a full queue (none is heard)."""
        if kind in (CUT, SILENT) or way.plugs:
            if way.listener is not None:
                self._mask(way.listener, 0, way)
                way.listener.close()
            way.listener = None
            for plug in way.plugs:
                plug.close()
            way.plugs = []
        if kind == CUT or way.listener is not None:
            return
        way.listener = _bound(way.address)
        if kind != SILENT:
            way.listener.listen(128)
            way.listener.setblocking(False)
            self._mask(way.listener, READ, way)
            return
        way.listener.listen(0)
        for _ in range(2):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(way.address)
            way.plugs.append(plug)

    def _take(self, way: _Way) -> None:
        with contextlib.suppress(OSError):
            while way.listener is not None:
                client, _ = way.listener.accept()
                client.setblocking(False)
                way.connections += 1
                link = _Link(way, client)
                way.links.add(link)
                self._move(link)

    def _serve(self, link: _Link, sock: socket.socket, mask: int) -> None:
        try:
            if link.connecting and sock is link.server:
                if fault := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(fault, "can't be reached")
                link.connecting, link.connected = False, True
            if mask & READ:
                place = THERE if sock is link.client else BACK
                self._read(link.way, link.lanes[place])
        except OSError:
            self._drop(link)
            return
        self._move(link)

    def _read(self, way: _Way, lane: _Lane) -> None:
        rate, now = way.now.rate, clock()
        with contextlib.suppress(BlockingIOError):
            found = lane.src.recv(max(rate // SLICES, 1) if rate else PIECE)
            lane.free_at = max(now, lane.free_at) + (len(found) * 1_000_000 // rate if rate else 0)
            if found:
                lane.queue.append((lane.free_at + way.now.delay, found))
                lane.size += len(found)
            else:
                lane.ended = True

    def _move(self, link: _Link) -> None:
        """Hands on what may leave, and waits for what may come."""
        if link not in link.way.links:
            return
        try:
            if (
                not link.connected
                and not link.connecting
                and (link.way.passes(THERE) or link.way.passes(BACK))
            ):
                fault = link.server.connect_ex(link.way.to)
                if fault not in (0, errno.EINPROGRESS):
                    raise OSError(fault, "can't be reached")
                link.connecting = True
            if link.connected:
                for place, lane in enumerate(link.lanes):
                    if link.way.passes(place):
                        self._hand_on(link.way, place, lane)
        except OSError:
            self._drop(link)
            return
        if all(lane.passed_on for lane in link.lanes):
            self._drop(link, orderly=True)
            return
        self._wait(link)

    def _hand_on(self, way: _Way, place: int, lane: _Lane) -> None:
        now = clock()
        with contextlib.suppress(BlockingIOError):
            while lane.queue and lane.queue[0][0] <= now:
                due, piece = lane.queue.popleft()
                try:
                    sent = lane.dst.send(piece)
                except BlockingIOError:
                    sent = 0
                way.bytes[place] += sent
                lane.size -= sent
                if sent < len(piece):
                    lane.queue.appendleft((due, piece[sent:]))
                    return
        if lane.ended and not lane.queue and not lane.passed_on:
            lane.dst.shutdown(socket.SHUT_WR)
            lane.passed_on = True

    def _wait(self, link: _Link) -> None:
        now, masks = clock(), {link.client: 0, link.server: WRITE if link.connecting else 0}
        later = False
        for place, lane in enumerate(link.lanes):
            if not link.way.passes(place) or not link.connected:
                continue
            if not lane.ended and lane.size < link.way.room():
                masks[lane.src] |= READ
            if lane.queue and lane.queue[0][0] <= now:
                masks[lane.dst] |= WRITE
            later = later or bool(lane.queue)
        (self.timed.add if later else self.timed.discard)(link)
        for sock, mask in masks.items():
            self._mask(sock, mask, link)

    def _mask(self, sock: socket.socket, mask: int, data: object) -> None:
        had = self.masks.get(sock, 0)
        if mask == had:
            return
        if not mask:
            self.selector.unregister(sock)
            del self.masks[sock]
            return
        (self.selector.modify if had else self.selector.register)(sock, mask, data)
        self.masks[sock] = mask

    def _drop(self, link: _Link, orderly: bool = False) -> None:
        link.way.links.discard(link)
        self.timed.discard(link)
        for sock in (link.client, link.server):
            self._mask(sock, 0, link)
            if not orderly:
                with contextlib.suppress(OSError):
                    reset(sock)
            sock.close()
