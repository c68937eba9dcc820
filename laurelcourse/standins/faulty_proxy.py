"""TCP proxies between processes on loopback that inject network faults, and can be healed at any moment.

For each directed pair (who connects, to whom) a listener forwards bytes to the real address. What a proxy
holds back is not lost: it stays with its sender, as TCP keeps what a network drops, and arrives once the
proxy is healed. One thread moves all bytes. Times are whole microseconds.
"""

import contextlib
import errno
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.standins.base import reset_on_close

PROXY_HOST = "127.0.0.4"  # no connection has it as its source, so free ports stay free

# Kinds of faults.
OPEN = "open"
CUT = "cut"
SILENT = "silent"
DEAF = "deaf"
HALF_OPEN = "half-open"
SLOW = "slow"
FLAP = "flap"

# Directions of a connection.
TO_SERVER = 0
TO_CLIENT = 1

BUFFER_BYTES = 256 << 10  # that one direction reads before they may be sent on
PIECE_BYTES = 64 << 10
SLICES_PER_SECOND = 50  # in which a slow direction reads
SECOND_US = 1_000_000
LISTEN_BACKLOG = 128
ORDER_TIMEOUT = 10  # seconds
CLOSE_TIMEOUT = 5  # seconds
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

Address = tuple[str, int]


class Mode(NamedTuple):
    """How a proxy behaves.

    `cut`: connections are reset, new ones refused. `silent`: connections stand still, new ones get no answer.
    `deaf`: bytes in `direction` are held back, the others pass; new connections are accepted. `half-open`:
    new connections are accepted, nothing passes. `slow`: `delay` in each direction, `rate` bytes a second (0:
    no limit). `flap`: cut for a `period`, open for one, and so on.
    """

    kind: str = OPEN
    direction: int = TO_SERVER
    delay: int = 0
    rate: int = 0
    period: int = 0


class Counts(NamedTuple):
    """What one proxy has forwarded."""

    connections: int  # since the start
    open_connections: int
    bytes_to_server: int
    bytes_to_client: int


def clock() -> int:
    """Returns monotonic microseconds."""
    return time.monotonic_ns() // 1000


class _Stream:
    """One direction of a connection."""

    __slots__ = ("ended", "ended_at_target", "free_at", "queue", "queued_bytes", "source", "target")

    def __init__(self, source: socket.socket, target: socket.socket) -> None:
        self.source = source
        self.target = target
        self.queue: deque[tuple[int, bytes]] = deque()  # when it may be sent, bytes
        self.queued_bytes = 0
        self.free_at = 0  # when a limited rate allows the next bytes
        self.ended = False  # the last byte was read
        self.ended_at_target = False  # the target was told so


class _Connection:
    __slots__ = ("client", "connected", "connecting", "proxy", "server", "streams")

    def __init__(self, proxy: "_Proxy", client: socket.socket) -> None:
        self.proxy = proxy
        self.client = client
        self.server = socket.socket()
        self.server.setblocking(False)
        self.connecting = False
        self.connected = False
        self.streams = (_Stream(client, self.server), _Stream(self.server, client))
        for sock in (client, self.server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class _Proxy:
    def __init__(self, to: Address) -> None:
        self.to = to
        self.mode = Mode()
        self.current_mode = Mode()  # of a flapping one: open or cut
        self.mode_since = 0
        # Bound but never listening, it keeps the port while a cut proxy has no listener.
        self.port_holder = _bound((PROXY_HOST, 0))
        self.address: Address = self.port_holder.getsockname()
        self.listener: socket.socket | None = None
        self.backlog_fillers: list[socket.socket] = []
        self.connections: set[_Connection] = set()
        self.connection_count = 0
        self.bytes = [0, 0]

    def mode_at(self, now: int) -> Mode:
        if self.mode.kind != FLAP:
            return self.mode
        return Mode(OPEN if (now - self.mode_since) // self.mode.period % 2 else CUT)

    def next_flap(self, now: int) -> int | None:
        period = self.mode.period
        return None if self.mode.kind != FLAP else now + period - (now - self.mode_since) % period

    def passes(self, direction: int) -> bool:
        mode = self.current_mode
        return mode.kind in (OPEN, SLOW) or (mode.kind == DEAF and mode.direction != direction)

    def max_queued_bytes(self) -> int:
        rate = self.current_mode.rate
        if not rate:
            return BUFFER_BYTES
        return rate * self.current_mode.delay // SECOND_US + max(rate // SLICES_PER_SECOND, 1)


def _bound(address: Address) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


class FaultyProxies:
    """All proxies of a test, and their thread."""

    def __init__(self) -> None:
        self.proxies: dict[tuple[str, str], _Proxy] = {}
        self.selector = selectors.DefaultSelector()
        self.masks: dict[socket.socket, int] = {}
        self.delayed: set[_Connection] = set()  # with bytes that may be sent only later
        self.orders: deque[tuple[Callable[[], None], threading.Event]] = deque()
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.selector.register(self.wake_reader, READ, None)
        self.closed = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def open(self, client: str, server: str, to: Address) -> Address:
        """Returns the address by which `client` reaches `server`, which listens at `to`."""
        proxy = _Proxy(to)
        self.proxies[client, server] = proxy
        self._execute(lambda: self._enter_mode(proxy, Mode()))
        return proxy.address

    def set(self, client: str, server: str, mode: Mode) -> None:
        """Sets a proxy's mode, which is in force on return."""
        proxy = self.proxies[client, server]

        def change() -> None:
            proxy.mode = mode
            proxy.mode_since = clock()
            self._enter_mode(proxy, proxy.mode_at(proxy.mode_since))

        self._execute(change)

    def heal(self) -> None:
        """Opens all proxies."""
        for client, server in sorted(self.proxies):
            self.set(client, server, Mode())

    def counts(self, client: str, server: str) -> Counts:
        """Returns what a proxy has forwarded."""
        proxy = self.proxies[client, server]
        return Counts(proxy.connection_count, len(proxy.connections), *proxy.bytes)

    def close(self) -> None:
        """Ends the thread, and closes all sockets."""
        self.closed = True
        self.wake_writer.send(b"!")
        self.thread.join(CLOSE_TIMEOUT)
        for proxy in self.proxies.values():
            for connection in list(proxy.connections):
                self._drop(connection)
            for sock in (proxy.port_holder, proxy.listener, *proxy.backlog_fillers):
                if sock is not None:
                    sock.close()
        self.selector.close()
        self.wake_reader.close()
        self.wake_writer.close()

    def _execute(self, order: Callable[[], None]) -> None:
        """Has the thread execute an order, and waits for it."""
        done = threading.Event()
        self.orders.append((order, done))
        self.wake_writer.send(b"!")
        assert done.wait(ORDER_TIMEOUT), "the proxies' thread has ended"

    # In the thread of its own

    def _run(self) -> None:
        while not self.closed:
            for key, mask in self.selector.select(self._timeout()):
                if key.data is None:
                    self.wake_reader.recv(4096)
                elif isinstance(key.data, _Proxy):
                    self._accept(key.data)
                elif key.fileobj in self.masks:
                    self._serve(key.data, key.fileobj, mask)
            while self.orders:
                order, done = self.orders.popleft()
                order()
                done.set()
            now = clock()
            for proxy in self.proxies.copy().values():
                if proxy.mode.kind == FLAP and proxy.mode_at(now) != proxy.current_mode:
                    self._enter_mode(proxy, proxy.mode_at(now))
            for connection in list(self.delayed):
                self._forward(connection)

    def _timeout(self) -> float | None:
        """Returns the seconds until a proxy flaps or delayed bytes may be sent; None if nothing is due."""
        now = clock()
        flaps = [at for proxy in self.proxies.copy().values() if (at := proxy.next_flap(now)) is not None]
        due_times = flaps + [
            stream.queue[0][0]
            for connection in self.delayed
            for direction, stream in enumerate(connection.streams)
            if stream.queue and connection.proxy.passes(direction)
        ]
        return max(min(due_times) - now, 0) / SECOND_US if due_times else None

    def _enter_mode(self, proxy: _Proxy, mode: Mode) -> None:
        proxy.current_mode = mode
        if mode.kind == CUT:
            for connection in list(proxy.connections):
                self._drop(connection)
        self._update_listener(proxy, mode.kind)
        for connection in list(proxy.connections):
            self._forward(connection)

    def _update_listener(self, proxy: _Proxy, kind: str) -> None:
        """Accepts connections, refuses them (cut), or has a full backlog, so that none is answered."""
        if kind in (CUT, SILENT) or proxy.backlog_fillers:
            if proxy.listener is not None:
                self._set_mask(proxy.listener, 0, proxy)
                proxy.listener.close()
            proxy.listener = None
            for filler in proxy.backlog_fillers:
                filler.close()
            proxy.backlog_fillers = []
        if kind == CUT or proxy.listener is not None:
            return
        proxy.listener = _bound(proxy.address)
        if kind != SILENT:
            proxy.listener.listen(LISTEN_BACKLOG)
            proxy.listener.setblocking(False)
            self._set_mask(proxy.listener, READ, proxy)
            return
        proxy.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(proxy.address)
            proxy.backlog_fillers.append(filler)

    def _accept(self, proxy: _Proxy) -> None:
        with contextlib.suppress(OSError):
            while proxy.listener is not None:
                client, _ = proxy.listener.accept()
                client.setblocking(False)
                proxy.connection_count += 1
                connection = _Connection(proxy, client)
                proxy.connections.add(connection)
                self._forward(connection)

    def _serve(self, connection: _Connection, sock: socket.socket, mask: int) -> None:
        try:
            if connection.connecting and sock is connection.server:
                if fault := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(fault, "can't be reached")
                connection.connecting, connection.connected = False, True
            if mask & READ:
                direction = TO_SERVER if sock is connection.client else TO_CLIENT
                self._read(connection.proxy, connection.streams[direction])
        except OSError:
            self._drop(connection)
            return
        self._forward(connection)

    def _read(self, proxy: _Proxy, stream: _Stream) -> None:
        rate, now = proxy.current_mode.rate, clock()
        with contextlib.suppress(BlockingIOError):
            data = stream.source.recv(max(rate // SLICES_PER_SECOND, 1) if rate else PIECE_BYTES)
            duration = len(data) * SECOND_US // rate if rate else 0
            stream.free_at = max(now, stream.free_at) + duration
            if data:
                stream.queue.append((stream.free_at + proxy.current_mode.delay, data))
                stream.queued_bytes += len(data)
            else:
                stream.ended = True

    def _forward(self, connection: _Connection) -> None:
        """Sends what may be sent, and waits for more."""
        proxy = connection.proxy
        if connection not in proxy.connections:
            return
        try:
            if (
                not connection.connected
                and not connection.connecting
                and (proxy.passes(TO_SERVER) or proxy.passes(TO_CLIENT))
            ):
                fault = connection.server.connect_ex(proxy.to)
                if fault not in (0, errno.EINPROGRESS):
                    raise OSError(fault, "can't be reached")
                connection.connecting = True
            if connection.connected:
                for direction, stream in enumerate(connection.streams):
                    if proxy.passes(direction):
                        self._send(proxy, direction, stream)
        except OSError:
            self._drop(connection)
            return
        if all(stream.ended_at_target for stream in connection.streams):
            self._drop(connection, orderly=True)
            return
        self._update_masks(connection)

    def _send(self, proxy: _Proxy, direction: int, stream: _Stream) -> None:
        now = clock()
        with contextlib.suppress(BlockingIOError):
            while stream.queue and stream.queue[0][0] <= now:
                due, data = stream.queue.popleft()
                try:
                    sent = stream.target.send(data)
                except BlockingIOError:
                    sent = 0
                proxy.bytes[direction] += sent
                stream.queued_bytes -= sent
                if sent < len(data):
                    stream.queue.appendleft((due, data[sent:]))
                    return
        if stream.ended and not stream.queue and not stream.ended_at_target:
            stream.target.shutdown(socket.SHUT_WR)
            stream.ended_at_target = True

    def _update_masks(self, connection: _Connection) -> None:
        proxy = connection.proxy
        now = clock()
        masks = {connection.client: 0, connection.server: WRITE if connection.connecting else 0}
        is_delayed = False
        for direction, stream in enumerate(connection.streams):
            if not proxy.passes(direction) or not connection.connected:
                continue
            if not stream.ended and stream.queued_bytes < proxy.max_queued_bytes():
                masks[stream.source] |= READ
            if stream.queue and stream.queue[0][0] <= now:
                masks[stream.target] |= WRITE
            is_delayed = is_delayed or bool(stream.queue)
        (self.delayed.add if is_delayed else self.delayed.discard)(connection)
        for sock, mask in masks.items():
            self._set_mask(sock, mask, connection)

    def _set_mask(self, sock: socket.socket, mask: int, data: object) -> None:
        old_mask = self.masks.get(sock, 0)
        if mask == old_mask:
            return
        if not mask:
            self.selector.unregister(sock)
            del self.masks[sock]
            return
        (self.selector.modify if old_mask else self.selector.register)(sock, mask, data)
        self.masks[sock] = mask

    def _drop(self, connection: _Connection, orderly: bool = False) -> None:
        connection.proxy.connections.discard(connection)
        self.delayed.discard(connection)
        for sock in (connection.client, connection.server):
            self._set_mask(sock, 0, connection)
            if not orderly:
                with contextlib.suppress(OSError):
                    reset_on_close(sock)
            sock.close()
