"""Stands for the deployer: accepts votes, and reports its state in a stream of notices."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

from laurelcourse.standins.http import HttpStandIn
from laurelcourse.standins.settings import PLATFORM_SETTINGS

# Phases of a build.
PROGRESSING = "Progressing"
HEALTHY = "Healthy"
ABORTING = "Aborting"
ABORTED = "Aborted"


class DeployerStandIn(HttpStandIn):
    """A deployer with one state, `news`. `mode` of answers to votes: ok, silent, error, or an error code."""

    def __init__(self, port: int = 0) -> None:
        self.votes: list[dict] = []
        self.streams: list[socket.socket] = []
        self.stream_lock = threading.Lock()
        self.news = "build=1&stage=0&phase=Healthy&cap=1&age_ms=9000"
        super().__init__(port)

    def send_notices(self, text: str) -> None:
        """Sends text on all streams of notices, in two chunks."""
        with self.stream_lock:
            for conn in self.streams:
                with contextlib.suppress(OSError):
                    for part in (text[:5], text[5:]):
                        conn.sendall(f"{len(part):x}\r\n{part}\r\n".encode())

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        """Answers a vote (POST), or begins a stream of notices."""
        if method == "POST":
            self.votes.append(query)
            if self.mode == "ok":
                item = "".join(f"<{name}>{value}</{name}>" for name, value in parse_qsl(self.news))
                self.reply(conn, 200, f"<Response><results><item>{item}</item></results></Response>")
            elif self.mode != "silent":
                status = 500 if self.mode == "error" else 400
                self.reply(conn, status, f"<Error><Code>{self.mode}</Code></Error>")
            return
        with self.stream_lock:
            conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.streams.append(conn)
        self.send_notices(f": hello\n\nevent: novel\ndata: x\n\nevent: progress\ndata: {self.news}\n\n")


class StageChange(NamedTuple):
    """A change of the rollout's state."""

    at: float  # monotonic seconds
    build: int
    stage: int
    phase: str
    cap: float


class RolloutDeployer(DeployerStandIn):
    """A deployer that moves a build on through its stages, or back, by the first vote that says so.

    Caps by stage are shares of reqs. A stage lasts at least `bake` seconds. An earlier vote to go on counts
    for `vote_ttl` seconds, or until any other vote: votes don't say who casts them.
    """

    def __init__(
        self,
        caps: tuple[float, ...],
        on_change: Callable[[int, int, str], None],
        bake: float = 1.0,
        vote_ttl: float = PLATFORM_SETTINGS["domain"]["ballot_ttl"] / 1000,
    ) -> None:
        """`on_change(build, stage, phase)` is called before a change is reported, so that machines can
        follow.
        """
        self.caps = caps
        self.on_change = on_change
        self.bake = bake
        self.vote_ttl = vote_ttl
        self.advance_until = 0.0  # until when a vote to go on counts for the current stage
        self.history: list[StageChange] = []
        self.lock = threading.Lock()
        super().__init__()
        self._change(1, 0, HEALTHY)

    @property
    def cap(self) -> float:
        """The share of reqs that the build may get now."""
        if self.phase == PROGRESSING:
            return self.caps[self.stage]
        return 1.0 if self.phase == HEALTHY else 0.0

    def offer(self, build: int) -> None:
        """Begins the rollout of a build."""
        with self.lock:
            self._change(build, 0, PROGRESSING)

    def withdraw(self) -> None:
        """Takes back a build that was not decided on."""
        with self.lock:
            if self.phase == PROGRESSING:
                self._change(self.build, 0, ABORTING)

    def settle(self) -> None:
        """Ends the rollback of a build whose machines are gone."""
        with self.lock:
            self._change(self.build, 0, ABORTED)

    def end_phase(self, build: int) -> str:
        """Returns how a build's rollout ended, HEALTHY or ABORTING; empty while it goes on."""
        phases = [change.phase for change in self.history if change.build == build]
        return phases[-1] if phases and phases[-1] != PROGRESSING else ""

    def max_cap(self, build: int, since: float, until: float) -> float:
        """Returns the highest cap of a build in this time, including the one set before it."""
        changes = [change for change in self.history if change.build == build and change.at <= until]
        before = [change.cap for change in changes if change.at <= since]
        return max([*before[-1:], *(change.cap for change in changes if change.at > since)], default=0.0)

    def _change(self, build: int, stage: int, phase: str) -> None:
        self.build, self.stage, self.phase, self.since = build, stage, phase, time.monotonic()
        self.advance_until = 0.0
        self.on_change(build, stage, phase)
        self.history.append(StageChange(time.monotonic(), build, stage, phase, self.cap))
        self._update_news()
        self.send_notices(f"event: progress\ndata: {self.news}\n\n")

    def _update_news(self) -> None:
        age = int((time.monotonic() - self.since) * 1000)
        self.news = f"build={self.build}&stage={self.stage}&phase={self.phase}&cap={self.cap}&age_ms={age}"

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        """Counts a vote before it is answered."""
        with self.lock:  # for all of it: a late report would take back what was reported meanwhile
            if method == "POST":
                self._count_vote(query)
            self._update_news()
            super().answer(conn, method, target, query)

    def _count_vote(self, vote: dict) -> None:
        if self.phase != PROGRESSING or int(vote["build"]) != self.build:
            return
        if vote["verdict"] == "stop":
            self._change(self.build, 0, ABORTING)
        elif int(vote["stage"]) == self.stage:
            now = time.monotonic()
            self.advance_until = now + self.vote_ttl if vote["verdict"] == "go" else 0.0
            if now < self.since + self.bake:
                timer = threading.Timer(self.since + self.bake - now, self._on_baked, (self.since,))
                timer.daemon = True
                timer.start()
            else:
                self._advance()

    def _on_baked(self, since: float) -> None:
        with self.lock:
            if since == self.since:
                self._advance()

    def _advance(self) -> None:
        if time.monotonic() < self.advance_until:
            is_last = self.stage + 1 == len(self.caps)
            self._change(self.build, self.stage + (not is_last), HEALTHY if is_last else PROGRESSING)
