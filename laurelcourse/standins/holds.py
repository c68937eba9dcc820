"""Units that remember which holds were taken and let go, by the keys of the statements: what took effect is
told by them alone, never by relays."""

import re
import socket
import struct
import threading
import time
from typing import BinaryIO, NamedTuple

from laurelcourse.standins.base import Stand, exactly, reset
from laurelcourse.standins.postgres import IDLE, UNIT_ANSWERS, message, pg

STATEMENT = re.compile(r"handle = '(hold|free|notice)\.([^']*)' /\* ([^*]*) \*/")


class Effect(NamedTuple):
    at: float  # monotonic seconds
    what: str  # hold, free, notice
    thing: str
    key: str
    req: str


class Ledger:
    """What all units together have done; a key that was carried out once is not carried out again, but where
    nothing is deduplicated: notices."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.effects: list[Effect] = []
        self.came: list[Effect] = []  # every statement, whatever became of it
        self.answers: dict[str, str] = {}  # by `what.thing`: an answer of `UNIT_ANSWERS`, or "reset"
        self.delays: dict[str, float] = {}  # by `what.thing`: seconds between the effect and its answer

    def take(self, text: str) -> tuple[str, float]:
        """The answer, and how long it waits."""
        found = STATEMENT.search(text)
        if not found:
            return "ok", 0.0
        fields = dict(one.split("=", 1) for one in found.group(3).split(","))
        one = Effect(time.monotonic(), found.group(1), found.group(2), fields.get("k", ""), fields["id"])
        name = f"{one.what}.{one.thing}"
        with self.lock:
            self.came.append(one)
            answer = self.answers.get(name, "ok")
            if answer in ("ok", "reset") and (
                one.what == "notice" or all(other.key != one.key for other in self.effects)
            ):
                self.effects.append(one)
            return answer, self.delays.get(name, 0.0)

    def of(self, thing: str) -> list[str]:
        """What was done to it, in order."""
        with self.lock:
            return [one.what for one in self.effects if one.thing == thing]

    def statements(self, name: str) -> int:
        with self.lock:
            return sum(f"{one.what}.{one.thing}" == name for one in self.came)


class HoldsStand(Stand):
    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        exactly(stream, struct.unpack("!I", exactly(stream, 4))[0] - 4)
        conn.sendall(pg(b"R", bytes(4)) + IDLE)
        while True:
            kind, body = message(stream)
            if kind != b"Q":
                return
            answer, delay = self.ledger.take(body[:-1].decode())
            time.sleep(delay)
            if answer == "reset":
                reset(conn)
                return
            conn.sendall(UNIT_ANSWERS[answer])
