"""Datagrams between relays. A sender is known by its address."""

import socket

from laurelcourse.net.config import Config
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.scheduler import READ, SHUT, Scheduler


class Peers:
    """The socket for datagrams of other relays."""

    def __init__(
        self, scheduler: Scheduler, config: Config, dispatcher: Dispatcher, counters: Counters
    ) -> None:
        self.scheduler, self.limits = scheduler, config.limits
        self.dispatcher, self.counters = dispatcher, counters
        self.addresses, self.broadcast_address = config.peers, config.peers_all
        own_index = config.settings.relay_index
        self.indexes = {address: index for index, address in enumerate(config.peers) if index != own_index}
        self.sock: socket.socket | None = None

    def bind(self, address: tuple[str, int]) -> None:
        """Binds the socket. Raises OSError."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(address)

    def listen(self) -> None:
        """Passes on datagrams of known relays until the socket closes."""
        while self.scheduler.wait(self.sock.fileno(), READ) != SHUT:
            for _ in range(self.limits.accepts_per_turn):
                try:
                    payload, sender = self.sock.recvfrom(self.limits.max_datagram + 1)
                except OSError:
                    break
                index = self.indexes.get(sender)
                if index is None or len(payload) > self.limits.max_datagram:
                    self.counters.add("datagrams_ignored")
                    continue
                self.counters.add("datagrams_heard")
                self.dispatcher.peer(index, payload)

    def send(self, relay: int | str, payload: bytes) -> None:
        """Sends a datagram to one relay or to "all"; one that cannot be sent now is lost."""
        try:
            address = self.broadcast_address if relay == "all" else self.addresses[relay]
            self.sock.sendto(payload, address)
            self.counters.add("datagrams_told")
        except (OSError, IndexError):
            self.counters.add("datagrams_untold")
