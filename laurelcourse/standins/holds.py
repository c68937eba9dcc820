"""Units that record which holds were taken and released, by the keys of the statements.

What took effect is known from them alone, never from relays.
"""

import math
import re
import socket
import struct
import threading
import time
from typing import BinaryIO, NamedTuple

from laurelcourse.standins.base import StandIn, read_exactly, reset_on_close
from laurelcourse.standins.postgres import READY, UNIT_ANSWERS, pack_message, read_message

STATEMENT = re.compile(r"handle = '(hold|free|notice)\.([^']*)' /\* ([^*]*) \*/")


class Effect(NamedTuple):
    """One statement, or its effect."""

    at: float  # monotonic seconds
    kind: str  # hold, free or notice
    thing: str
    key: str
    req: str


class Ledger:
    """What all units together have done.

    A key that was carried out once is not carried out again as long as its route's repeats are known, except
    for notices, which are not deduplicated.
    """

    def __init__(self, memory_seconds: dict[str, float] | None = None) -> None:
        """`memory_seconds`: by route, for how long repeats are known; without an entry for good."""
        self.memory_seconds = memory_seconds or {}
        self.lock = threading.Lock()
        self.effects: list[Effect] = []
        self.received: list[Effect] = []  # every statement, whatever became of it
        self.answers: dict[str, str] = {}  # by `kind.thing`: an answer of `UNIT_ANSWERS`, or "reset"
        self.delays: dict[str, float] = {}  # by `kind.thing`: seconds between the effect and its answer

    def apply(self, text: str) -> tuple[str, float]:
        """Applies a statement; returns the answer, and its delay in seconds."""
        match = STATEMENT.search(text)
        if not match:
            return "ok", 0.0
        fields = dict(field.split("=", 1) for field in match.group(3).split(","))
        effect = Effect(time.monotonic(), match.group(1), match.group(2), fields.get("k", ""), fields["id"])
        name = f"{effect.kind}.{effect.thing}"
        with self.lock:
            self.received.append(effect)
            answer = self.answers.get(name, "ok")
            memory = self.memory_seconds.get(fields.get("c", ""), math.inf)
            if answer in ("ok", "reset") and (effect.kind == "notice" or self._is_new(effect, memory)):
                self.effects.append(effect)
            return answer, self.delays.get(name, 0.0)

    def _is_new(self, effect: Effect, memory: float) -> bool:
        return all(other.key != effect.key or effect.at - other.at > memory for other in self.effects)

    def effects_on(self, thing: str) -> list[str]:
        """Returns the kinds of effects on a thing, in order."""
        with self.lock:
            return [effect.kind for effect in self.effects if effect.thing == thing]

    def count_received(self, name: str) -> int:
        """Returns how many statements `kind.thing` were received."""
        with self.lock:
            return sum(f"{effect.kind}.{effect.thing}" == name for effect in self.received)


class HoldingUnit(StandIn):
    """A unit that applies statements to a ledger."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves one connection."""
        read_exactly(stream, struct.unpack("!I", read_exactly(stream, 4))[0] - 4)
        conn.sendall(pack_message(b"R", bytes(4)) + READY)
        while True:
            kind, body = read_message(stream)
            if kind != b"Q":
                return
            answer, delay = self.ledger.apply(body[:-1].decode())
            time.sleep(delay)
            if answer == "reset":
                reset_on_close(conn)
                return
            conn.sendall(UNIT_ANSWERS[answer])
