"""Ordinary reqs at relays that also move transfers: how long they take beside them, and with none."""

import threading
import time
from typing import NamedTuple

from laurelcourse.lab.report import part
from laurelcourse.standins.postgres import PgClient, sql

PAUSE = 0.01  # seconds between two reqs of a client
LEAST = 100  # reqs on each side, or no ratio is told


class Took(NamedTuple):
    at: float  # monotonic seconds, when asked
    seconds: float


class Reqs:
    """A client at each of these ports, until `over`. Each asks one req after another."""

    def __init__(self, ports: list[int], over: threading.Event) -> None:
        self.over, self.took = over, []
        self.threads = [threading.Thread(target=self._ask, args=(port,), daemon=True) for port in ports]

    def start(self) -> "Reqs":
        for one in self.threads:
            one.start()
        return self

    def _ask(self, port: int) -> None:
        client: PgClient | None = None
        while not self.over.wait(PAUSE):
            try:
                client = client or PgClient(port)
                began = time.monotonic()
                if client.ask(sql(wait=1500))[0] == "TDCZ":
                    self.took.append(Took(began, time.monotonic() - began))
                else:
                    client = None
            except OSError:
                client = None


def compared(took: list[Took], without: tuple[float, float], beside: tuple[float, float]) -> dict[str, float]:
    """The p99 in each of two stretches of time and their ratio; -1: too few reqs in one of them."""
    sides = [[one.seconds for one in took if since <= one.at < until] for since, until in (without, beside)]
    alone, loaded = (part(one, 0.99) for one in sides)
    enough = min(map(len, sides)) >= LEAST
    return {
        "reqs_without": len(sides[0]),
        "reqs_beside": len(sides[1]),
        "reqs_p99_without_ms": round(alone * 1000, 1),
        "reqs_p99_beside_ms": round(loaded * 1000, 1),
        "reqs_p99_ratio": round(loaded / alone, 3) if enough else -1,
    }
