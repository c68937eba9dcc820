"""A deployer: takes votes, tells its news on a stream of notices."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from urllib.parse import parse_qsl

from laurelcourse.standins.http import HttpStand
from laurelcourse.standins.settings import OUTSIDE


class DeployerStand(HttpStand):
    def __init__(self, port: int = 0) -> None:
        self.votes, self.streams, self.telling = [], [], threading.Lock()
        self.news = "build=1&stage=0&phase=Healthy&cap=1&age_ms=9000"
        super().__init__(port)

    def tell(self, text: str) -> None:
        with self.telling:
            for conn in self.streams:
                with contextlib.suppress(OSError):
                    for part in (text[:5], text[5:]):
                        conn.sendall(f"{len(part):x}\r\n{part}\r\n".encode())

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        if method == "POST":
            self.votes.append(query)
            if self.mode == "ok":
                item = "".join(f"<{name}>{value}</{name}>" for name, value in parse_qsl(self.news))
                self.reply(conn, 200, f"<Response><results><item>{item}</item></results></Response>")
            elif self.mode != "silent":
                status = 500 if self.mode == "error" else 400
                self.reply(conn, status, f"<Error><Code>{self.mode}</Code></Error>")
            return
        with self.telling:
            conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.streams.append(conn)
        self.tell(f": hello\n\nevent: novel\ndata: x\n\nevent: progress\ndata: {self.news}\n\n")


class Rollout(DeployerStand):
    """A deployer that moves a build on through its stages, or back, at the first vote that says so.

    `moved(build, stage, phase)` is called at each change, before anyone is told, so that machines can follow.
    Caps by stage are shares of reqs; a stage lasts `bake` seconds at least. A vote to go on that comes sooner
    stands for `stands` seconds, until any other is cast: votes do not name who casts them."""

    def __init__(
        self,
        caps: tuple[float, ...],
        moved: Callable[[int, int, str], None],
        bake: float = 1.0,
        stands: float = OUTSIDE["domain"]["ballot_ttl"] / 1000,
    ) -> None:
        self.caps, self.moved, self.bake, self.stands = caps, moved, bake, stands
        self.go_until = 0.0  # of the stage that is on
        self.told: list[tuple[float, int, int, str, float]] = []  # when, build, stage, phase, cap
        self.lock = threading.Lock()
        super().__init__()
        self._move(1, 0, "Healthy")

    @property
    def cap(self) -> float:
        if self.phase == "Progressing":
            return self.caps[self.stage]
        return 1.0 if self.phase == "Healthy" else 0.0

    def offer(self, build: int) -> None:
        with self.lock:
            self._move(build, 0, "Progressing")

    def withdraw(self) -> None:
        """Takes back a build that nobody decided on."""
        with self.lock:
            if self.phase == "Progressing":
                self._move(self.build, 0, "Aborting")

    def settle(self) -> None:
        """A build that went back is over: its machines have gone."""
        with self.lock:
            self._move(self.build, 0, "Aborted")

    def ended(self, build: int) -> str:
        """How a build ended, Healthy or Aborting; empty while it goes on."""
        ends = [phase for _, one, _, phase, _ in self.told if one == build]
        return ends[-1] if ends and ends[-1] != "Progressing" else ""

    def caps_since(self, build: int, since: float, until: float) -> float:
        """The highest share that was told for this build in that time, the one before it included."""
        told = [(at, cap) for at, one, _, _, cap in self.told if one == build and at <= until]
        before = [cap for at, cap in told if at <= since]
        return max([*before[-1:], *(cap for at, cap in told if at > since)], default=0.0)

    def _move(self, build: int, stage: int, phase: str) -> None:
        self.build, self.stage, self.phase, self.since = build, stage, phase, time.monotonic()
        self.go_until = 0.0
        self.moved(build, stage, phase)
        self.told.append((time.monotonic(), build, stage, phase, self.cap))
        self._refresh()
        self.tell(f"event: progress\ndata: {self.news}\n\n")

    def _refresh(self) -> None:
        age = int((time.monotonic() - self.since) * 1000)
        self.news = f"build={self.build}&stage={self.stage}&phase={self.phase}&cap={self.cap}&age_ms={age}"

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        with self.lock:  # all of it: news told late would take back what was told meanwhile
            if method == "POST":
                self._count(query)
            self._refresh()
            super().answer(conn, method, target, query)

    def _count(self, vote: dict) -> None:
        if self.phase != "Progressing" or int(vote["build"]) != self.build:
            return
        if vote["verdict"] == "stop":
            self._move(self.build, 0, "Aborting")
        elif int(vote["stage"]) == self.stage:
            now = time.monotonic()
            self.go_until = now + self.stands if vote["verdict"] == "go" else 0.0
            if now < self.since + self.bake:
                timer = threading.Timer(self.since + self.bake - now, self._baked, (self.since,))
                timer.daemon = True
                timer.start()
            else:
                self._go_on()

    def _baked(self, since: float) -> None:
        with self.lock:
            if since == self.since:
                self._go_on()

    def _go_on(self) -> None:
        if time.monotonic() < self.go_until:
            last = self.stage + 1 == len(self.caps)
            self._move(self.build, self.stage + (not last), "Healthy" if last else "Progressing")
