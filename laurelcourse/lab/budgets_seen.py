"""What units and clients of the budgets lab saw, and what follows from it. Times: seconds, monotonic."""

import bisect
import contextlib
import re
import socket
import struct
import threading
import time
from typing import BinaryIO, NamedTuple

from laurelcourse.prng import Prng
from laurelcourse.standins.base import exactly
from laurelcourse.standins.postgres import IDLE, UNIT_ANSWERS, PgClient, UnitStand, message, pg, sql

WAIT_MS, LATE = 1500, 0.75  # a req's time; so late may an answer be on a busy machine
WORK, EACH, BUSY = 0.004, 24, 0.25  # a unit's time for a req, reqs a connection, the share refused as busy
STEP = 0.1  # a client's longest pause, after which one of a slower pace asks by chance
EDGE = 0.15  # what a unit or a client notes may be so late, or so early


class Span(NamedTuple):
    """A time in which something befell a relay."""

    relay: str
    since: float
    to: float


class Unit(UnitStand):
    """Notes when connections came and went, refuses some reqs, ends each connection after a few."""

    def __init__(self, seed: int) -> None:
        self.rng, self.moves, self.refused = Prng(seed), [], []
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        self.moves.append((time.monotonic(), 1))
        try:
            exactly(stream, struct.unpack("!I", exactly(stream, 4))[0] - 4)
            conn.sendall(pg(b"R", bytes(4)) + IDLE)
            for _ in range(EACH):
                kind, body = message(stream)
                if kind != b"Q":
                    break
                self.queries.append(body[:-1].decode())
                self.times.append(time.monotonic())
                time.sleep(WORK)
                busy = self.rng.fraction() < BUSY
                if busy:
                    self.refused.append((time.monotonic(), self.queries[-1]))
                conn.sendall(UNIT_ANSWERS["busy" if busy else "ok"])
        finally:
            self.moves.append((time.monotonic(), -1))


class Asked:
    __slots__ = ("at", "code", "letters", "name", "relay", "took")

    def __init__(self, name: str, relay: str, at: float) -> None:
        self.name, self.relay, self.at = name, relay, at
        self.letters, self.code, self.took = "", "", 0.0

    def once(self) -> bool:
        return self.letters in ("TDCZ", "EZ") and self.took <= WAIT_MS / 1000 + LATE


class Caller:
    """A client of one relay, one req at a time; `pace` is its usual pause."""

    def __init__(self, seed: int, relay: str, port: int, pace: float) -> None:
        self.relay, self.port, self.pace, self.rng = relay, port, pace, Prng(seed)
        self.asked: list[Asked] = []
        self.unasked, self.over = 0, threading.Event()
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def _work(self) -> None:
        client = None
        # In short steps, so that another pace is heeded at once.
        while not self.over.wait(min(self.pace, STEP) * (0.5 + self.rng.fraction())):
            with contextlib.suppress(OSError, EOFError):
                if self.rng.fraction() * self.pace <= STEP:
                    client = client or PgClient(self.port)
                    self._ask(client)
                continue
            client = None
        if client:
            client.sock.settimeout(0.3)
            with contextlib.suppress(OSError):
                self.unasked += len(client.stream.read(1) or b"")

    def _ask(self, client: PgClient) -> None:
        words = sql("read", WAIT_MS)
        one = Asked(re.search(r"id=(\w+)", words)[1], self.relay, time.monotonic())
        self.asked.append(one)
        try:
            one.letters, one.code, _ = client.ask(words)
        finally:
            one.took = time.monotonic() - one.at
        if one.letters[-1:] != "Z":
            raise EOFError


def _named(query: str) -> str:
    return found[1] if (found := re.search(r"id=(\w+)", query)) else ""


def refused(units: list[Unit], asked: list[Asked]) -> list[tuple[float, str]]:
    """What units refused as busy: when, and of which relay's clients."""
    relay_of = {one.name: one.relay for one in asked}
    return sorted((at, relay_of.get(_named(query), "")) for unit in units for at, query in unit.refused)


def resends(units: list[Unit], asked: list[Asked]) -> list[tuple[float, str]]:
    """Tries beyond the first, by req id over all units: when, and of which relay's clients."""
    relay_of = {one.name: one.relay for one in asked}
    seen: set[str] = set()
    more = []
    for at, query in sorted(pair for unit in units for pair in zip(unit.times, unit.queries, strict=False)):
        if (name := _named(query)) in seen:
            more.append((at, relay_of.get(name, "")))
        seen.add(name)
    return more


def over_rate(times: list[float], whole: float, burst: float, windows: tuple[float, ...]) -> int:
    """Events with which some window holds more than whole * (window + EDGE) + burst."""
    times = sorted(times)
    return sum(
        any(
            place + 1 - bisect.bisect_left(times, at - window) > whole * (window + EDGE) + burst
            for window in windows
        )
        for place, at in enumerate(times)
    )


def over_level(moves: list[tuple[float, int]], whole: int) -> int:
    """Openings that find more than the whole held. One that is ended within EDGE may not have been heard of
    in order, so an opening counts EDGE later."""
    held = over = 0
    for _, step in sorted((at + EDGE if step > 0 else at, step) for at, step in moves):
        held += step
        over += step > 0 and held > whole
    return over


def beyond_floor(more: list[tuple[float, str]], spans: list[Span], floor: int) -> int:
    """Uses in these times beyond floor * time + the one that a floor's bucket holds at least."""
    over = 0
    for one in spans:
        count = sum(one.since <= at < one.to and relay == one.relay for at, relay in more)
        over += max(0, count - int(floor * (one.to - one.since + EDGE) + max(1, floor / 4)))
    return over


def floor_left(
    denied: list[tuple[float, str]],
    more: list[tuple[float, str]],
    spans: list[Span],
    floor: int,
    demand: float,
    least: float,
) -> int:
    """Times in which so many tries of a relay were refused for each use of its floor, and it yet made less of
    it than this part, less one."""
    broken = 0
    for one in spans:
        long = one.to - one.since
        asked = sum(one.since <= at < one.to and relay == one.relay for at, relay in denied)
        used = sum(one.since <= at < one.to and relay == one.relay for at, relay in more)
        broken += asked >= demand * floor * long and used < floor * long * least - 1
    return broken


def excused(one: Asked, spans: list[Span]) -> bool:
    """Whether its relay was killed or paused while it was under way: then no answer, or a late one, is due
    from it; never a second one."""
    return any(
        one.relay == span.relay and span.since - EDGE < one.at + one.took and one.at < span.to + EDGE
        for span in spans
    ) and (one.letters in ("TDCZ", "EZ") or one.letters[-1:] != "Z")


def reached(times: list[float], since: float, to: float, rate: float, over: float = 0.5) -> float:
    """Seconds from `since` on until a window of `over` seconds saw this rate; -1 if none did."""
    times = sorted(at for at in times if since <= at < to)
    need = max(1, int(rate * over))
    for last in range(need - 1, len(times)):
        if times[last] - times[last - need + 1] <= over:
            return round(times[last - need + 1] - since, 2)
    return -1.0


def used(times: list[float], spans: list[tuple[float, float]], whole: int) -> float:
    """The part of the whole that was used in these times."""
    long = sum(to - since for since, to in spans)
    return round(sum(since <= at < to for at in times for since, to in spans) / (whole * long), 3)
