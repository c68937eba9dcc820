"""Hosts many instances of the decision module that share nothing."""

from typing import BinaryIO

from laurelcourse.benchlink import decode, encode
from laurelcourse.benchlink.framing import LIST, Message, WireError, read_batches
from laurelcourse.rules import Balancer

# Names of messages that start and end an instance.
NEW_INSTANCE = "NEW_INSTANCE"
STOP_INSTANCE = "DOWN"


class Host:
    """All instances by name. One that raised an exception stays as None and ignores events."""

    def __init__(self) -> None:
        self.instances: dict[str, Balancer | None] = {}
        self.lists: dict[int, list] = {}

    def handle_batch(self, now: int, messages: list[Message]) -> list[str]:
        """Handles a batch's messages; returns the lines of the results. Raises WireError."""
        lines: list[str] = []
        for message in messages:
            if message.name == LIST:
                self.lists[message.integer("ref")] = decode.decode_list(message)
            else:
                lines += self.handle_event(now, message)
        return lines

    def handle_event(self, now: int, message: Message) -> list[str]:
        """Handles one event of an instance; returns the lines of the results. Raises WireError."""
        name = message.text("who")
        if message.name == NEW_INSTANCE:
            settings, seed = decode.decode_settings(message), message.integer("entropy")
            self.instances[name] = None

            def act() -> list:
                self.instances[name] = Balancer(settings, seed, now)
                return self.instances[name].start(now)
        elif name not in self.instances:
            raise WireError(f"line {message.line}: {message.name} for the unknown instance {name[:40]!r}")
        elif message.name == STOP_INSTANCE:
            del self.instances[name]
            return []
        else:
            call, instance = decode.decode_event(message, self.lists), self.instances[name]
            if instance is None:
                return []

            def act() -> list:
                return call(instance, now)

        try:
            return [encode.encode_result(name, result) for result in act()]
        except Exception as error:
            self.instances[name] = None
            return [encode.encode_fault(name, error)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each batch of the source with the lines of its results and an OK. Raises WireError."""
    host = Host()
    for now, sequence, messages in read_batches(source):
        lines = host.handle_batch(now, messages)
        sink.write("\n".join([*lines, f"OK\tseq={sequence}\n"]).encode())
        sink.flush()
