"""The other relays: datagrams, whose sender is told by its address."""

import socket

from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import READ, SHUT, Scheduler


class Relays:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, counters: Counters) -> None:
        self.scheduler, self.limits, self.choices, self.counters = scheduler, config.limits, choices, counters
        self.peers, self.all, self.me = config.peers, config.peers_all, config.settings.me
        self.numbers = {address: number for number, address in enumerate(config.peers) if number != self.me}
        self.sock: socket.socket | None = None

    def bind(self, address: tuple[str, int]) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(address)

    def hear(self) -> None:
        while self.scheduler.wait(self.sock.fileno(), READ) != SHUT:
            for _ in range(self.limits.accepts):
                try:
                    payload, sender = self.sock.recvfrom(self.limits.datagram + 1)
                except OSError:
                    break
                number = self.numbers.get(sender)
                if number is None or len(payload) > self.limits.datagram:
                    self.counters.add("datagrams_ignored")
                    continue
                self.counters.add("datagrams_heard")
                self.choices.peer(number, payload)

    def tell(self, relay: int | str, payload: bytes) -> None:
        """One that can't go now is lost, as any datagram may be."""
        try:
            self.sock.sendto(payload, self.all if relay == "all" else self.peers[relay])
            self.counters.add("datagrams_told")
        except (OSError, IndexError):
            self.counters.add("datagrams_untold")
