"""Units and clients of the budget lab, and checks of what they saw. Times are monotonic seconds."""

import bisect
import contextlib
import re
import socket
import struct
import threading
import time
from typing import BinaryIO, NamedTuple

from laurelcourse.prng import Prng
from laurelcourse.standins.base import read_exactly
from laurelcourse.standins.postgres import (
    READY,
    UNIT_ANSWERS,
    PgClient,
    UnitStandIn,
    build_query,
    pack_message,
    read_message,
)

TIMEOUT_MS = 1500  # of a request
LATE_ANSWER_SECONDS = 0.75  # by which a busy machine may be late
WORK_SECONDS = 0.004  # of a unit, on a request
REQUESTS_PER_CONNECTION = 24
BUSY_SHARE = 0.25  # of requests that a unit refuses as busy
MAX_PAUSE_STEP = 0.1  # seconds; a client with longer pauses asks after some of these steps, by chance
TOLERANCE = 0.15  # seconds by which a unit's or a client's notes may be late or early
TRAILING_ANSWER_TIMEOUT = 0.3  # seconds
ANSWER_MESSAGES = ("TDCZ", "EZ")  # types of the messages of a whole answer


class Span(NamedTuple):
    """A time in which something befell a relay."""

    relay: str
    start: float
    end: float


class BusyUnit(UnitStandIn):
    """Refuses some requests as busy, and ends each connection after a few."""

    def __init__(self, seed: int) -> None:
        self.rng = Prng(seed)
        self.connection_changes: list[tuple[float, int]] = []  # when, and 1 or -1
        self.refusals: list[tuple[float, str]] = []  # when, and the query
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves one connection."""
        self.connection_changes.append((time.monotonic(), 1))
        try:
            read_exactly(stream, struct.unpack("!I", read_exactly(stream, 4))[0] - 4)
            conn.sendall(pack_message(b"R", bytes(4)) + READY)
            for _ in range(REQUESTS_PER_CONNECTION):
                kind, body = read_message(stream)
                if kind != b"Q":
                    break
                self.queries.append(body[:-1].decode())
                self.times.append(time.monotonic())
                time.sleep(WORK_SECONDS)
                busy = self.rng.fraction() < BUSY_SHARE
                if busy:
                    self.refusals.append((time.monotonic(), self.queries[-1]))
                conn.sendall(UNIT_ANSWERS["busy" if busy else "ok"])
        finally:
            self.connection_changes.append((time.monotonic(), -1))


class Request:
    """One request as its client saw it."""

    __slots__ = ("answer", "at", "code", "name", "relay", "took")

    def __init__(self, name: str, relay: str, at: float) -> None:
        self.name = name
        self.relay = relay
        self.at = at
        self.answer = ""  # types of the messages of the answer
        self.code = ""
        self.took = 0.0

    def answered_once(self) -> bool:
        """Whether exactly one final answer came, in time."""
        return self.answer in ANSWER_MESSAGES and self.took <= TIMEOUT_MS / 1000 + LATE_ANSWER_SECONDS


class BudgetClient:
    """A client of one relay, with one request at a time; `pause` is its usual pause in seconds."""

    def __init__(self, seed: int, relay: str, port: int, pause: float) -> None:
        self.relay = relay
        self.port = port
        self.pause = pause
        self.rng = Prng(seed)
        self.requests: list[Request] = []
        self.unexpected_bytes = 0
        self.over = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        client = None
        # In short steps, so that a change of the pause has its effect at once.
        while not self.over.wait(min(self.pause, MAX_PAUSE_STEP) * (0.5 + self.rng.fraction())):
            with contextlib.suppress(OSError, EOFError):
                if self.rng.fraction() * self.pause <= MAX_PAUSE_STEP:
                    client = client or PgClient(self.port)
                    self._send(client)
                continue
            client = None
        if client:
            client.sock.settimeout(TRAILING_ANSWER_TIMEOUT)
            with contextlib.suppress(OSError):
                self.unexpected_bytes += len(client.stream.read(1) or b"")

    def _send(self, client: PgClient) -> None:
        query = build_query("read", TIMEOUT_MS)
        request = Request(re.search(r"id=(\w+)", query)[1], self.relay, time.monotonic())
        self.requests.append(request)
        try:
            request.answer, request.code, _ = client.ask(query)
        finally:
            request.took = time.monotonic() - request.at
        if request.answer[-1:] != "Z":
            raise EOFError


def _request_name(query: str) -> str:
    match = re.search(r"id=(\w+)", query)
    return match[1] if match else ""


def refusals(units: list[BusyUnit], requests: list[Request]) -> list[tuple[float, str]]:
    """Returns what units refused as busy: when, and of which relay's clients."""
    relay_of = {request.name: request.relay for request in requests}
    return sorted(
        (at, relay_of.get(_request_name(query), "")) for unit in units for at, query in unit.refusals
    )


def retries(units: list[BusyUnit], requests: list[Request]) -> list[tuple[float, str]]:
    """Returns the tries of requests beyond the first, over all units: when, and of which relay's clients."""
    relay_of = {request.name: request.relay for request in requests}
    seen: set[str] = set()
    found = []
    tries = sorted(pair for unit in units for pair in zip(unit.times, unit.queries, strict=False))
    for at, query in tries:
        name = _request_name(query)
        if name in seen:
            found.append((at, relay_of.get(name, "")))
        seen.add(name)
    return found


def count_over_rate(times: list[float], rate: float, burst: float, windows: tuple[float, ...]) -> int:
    """Returns how many events fill some window with more than rate * (window + TOLERANCE) + burst."""
    times = sorted(times)
    return sum(
        any(
            place + 1 - bisect.bisect_left(times, at - window) > rate * (window + TOLERANCE) + burst
            for window in windows
        )
        for place, at in enumerate(times)
    )


def count_over_level(changes: list[tuple[float, int]], limit: int) -> int:
    """Returns how many connections were opened while more than the limit were open.

    One that ended within TOLERANCE may be noted out of order, so an opening counts TOLERANCE later.
    """
    level = 0
    over = 0
    for _, change in sorted((at + TOLERANCE if change > 0 else at, change) for at, change in changes):
        level += change
        over += change > 0 and level > limit
    return over


def _count_in(span: Span, events: list[tuple[float, str]]) -> int:
    return sum(span.start <= at < span.end and relay == span.relay for at, relay in events)


def count_beyond_floor(uses: list[tuple[float, str]], spans: list[Span], floor: int) -> int:
    """Returns how many uses in these spans exceed floor * time and what a floor's bucket holds."""
    over = 0
    for span in spans:
        allowed = int(floor * (span.end - span.start + TOLERANCE) + max(1, floor / 4))
        over += max(0, _count_in(span, uses) - allowed)
    return over


def count_unused_floors(
    denied: list[tuple[float, str]],
    uses: list[tuple[float, str]],
    spans: list[Span],
    floor: int,
    demand: float,
    min_share: float,
) -> int:
    """Returns in how many spans a relay had demand, and yet used too little of its floor.

    Demand is `demand` refused tries for each use of the floor; too little is less than `min_share` of the
    floor, less one.
    """
    count = 0
    for span in spans:
        seconds = span.end - span.start
        has_demand = _count_in(span, denied) >= demand * floor * seconds
        count += has_demand and _count_in(span, uses) < floor * seconds * min_share - 1
    return count


def is_excused(request: Request, spans: list[Span]) -> bool:
    """Whether the request's relay was killed or paused while it was under way.

    Then no answer, or a late one, is due from it; never a second one.
    """
    overlaps = any(
        request.relay == span.relay
        and span.start - TOLERANCE < request.at + request.took
        and request.at < span.end + TOLERANCE
        for span in spans
    )
    return overlaps and (request.answer in ANSWER_MESSAGES or request.answer[-1:] != "Z")


def seconds_to_rate(times: list[float], start: float, end: float, rate: float, window: float = 0.5) -> float:
    """Returns the seconds from `start` until a window saw this rate of events; -1 if none did."""
    times = sorted(at for at in times if start <= at < end)
    needed = max(1, int(rate * window))
    for last in range(needed - 1, len(times)):
        first = last - needed + 1
        if times[last] - times[first] <= window:
            return round(times[first] - start, 2)
    return -1.0


def used_share(times: list[float], periods: list[tuple[float, float]], rate: int) -> float:
    """Returns the share of a rate that was used in these periods."""
    seconds = sum(end - start for start, end in periods)
    return round(sum(start <= at < end for at in times for start, end in periods) / (rate * seconds), 3)
