"""Ordinary requests at relays that also move transfers, and their latency with and without these."""

import threading
import time
from typing import NamedTuple

from laurelcourse.lab.report import quantile
from laurelcourse.standins.postgres import PgClient, build_query

PAUSE = 0.01  # seconds between two requests of a client
TIMEOUT_MS = 1500
MIN_REQUESTS = 100  # in each period, for a ratio to be reported


class Latency(NamedTuple):
    """When a request was sent (monotonic seconds), and how many seconds its answer took."""

    at: float
    seconds: float


class RequestLoad:
    """One client per port, until `over`. Each sends one request after another."""

    def __init__(self, ports: list[int], over: threading.Event) -> None:
        self.over = over
        self.latencies: list[Latency] = []
        self.threads = [threading.Thread(target=self._run, args=(port,), daemon=True) for port in ports]

    def start(self) -> "RequestLoad":
        """Starts the clients."""
        for thread in self.threads:
            thread.start()
        return self

    def _run(self, port: int) -> None:
        client: PgClient | None = None
        while not self.over.wait(PAUSE):
            try:
                client = client or PgClient(port)
                start = time.monotonic()
                if client.ask(build_query(timeout_ms=TIMEOUT_MS))[0] == "TDCZ":
                    self.latencies.append(Latency(start, time.monotonic() - start))
                else:
                    client = None
            except OSError:
                client = None


def compare_latencies(
    latencies: list[Latency], without: tuple[float, float], beside: tuple[float, float]
) -> dict[str, float]:
    """Returns the 99th percentile in each of two periods, and their ratio.

    The ratio is -1 if one of the periods has too few requests.
    """
    periods = [
        [latency.seconds for latency in latencies if since <= latency.at < until]
        for since, until in (without, beside)
    ]
    p99_without, p99_beside = (quantile(seconds, 0.99) for seconds in periods)
    enough = min(map(len, periods)) >= MIN_REQUESTS
    return {
        "reqs_without": len(periods[0]),
        "reqs_beside": len(periods[1]),
        "reqs_p99_without_ms": round(p99_without * 1000, 1),
        "reqs_p99_beside_ms": round(p99_beside * 1000, 1),
        "reqs_p99_ratio": round(p99_beside / p99_without, 3) if enough else -1,
    }
