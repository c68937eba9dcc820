"""Hosts many instances of the module that share nothing."""

from typing import BinaryIO

from laurelcourse.benchlink import decode, encode
from laurelcourse.benchlink.framing import LIST, Message, WireError, batches
from laurelcourse.rules import Balancer

NEW, DOWN = "NEW_INSTANCE", "DOWN"


class Host:
    def __init__(self) -> None:
        self.instances: dict[str, Balancer | None] = {}
        self.lists: dict[int, list] = {}

    def batch(self, now: int, messages: list[Message]) -> list[str]:
        lines: list[str] = []
        for message in messages:
            if message.name == LIST:
                self.lists[message.whole("ref")] = decode.listed(message)
            else:
                lines += self.event(now, message)
        return lines

    def event(self, now: int, message: Message) -> list[str]:
        who = message.text("who")
        if message.name == NEW:
            settings, seed = decode.settings(message), message.whole("entropy")
            self.instances[who] = None

            def act() -> list:
                self.instances[who] = Balancer(settings, seed, now)
                return self.instances[who].start(now)
        elif who not in self.instances:
            raise WireError(f"line {message.line}: {message.name} for the unknown instance {who[:40]!r}")
        elif message.name == DOWN:
            del self.instances[who]
            return []
        else:
            call, instance = decode.call(message, self.lists), self.instances[who]
            if instance is None:
                return []

            def act() -> list:
                return call(instance, now)

        try:
            return [encode.line(who, result) for result in act()]
        except Exception as error:
            self.instances[who] = None
            return [encode.fault(who, error)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    for now, seq, messages in batches(source):
        sink.write("\n".join([*host.batch(now, messages), f"OK\tseq={seq}\n"]).encode())
        sink.flush()
