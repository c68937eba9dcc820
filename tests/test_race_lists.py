"""Unit lists and release news that stop, break, repeat or come late, with each race forced over loopback."""

import contextlib
import json
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from urllib.parse import parse_qsl

import conftest
import pytest
from conftest import SECOND, BalancerDriver, Served, resident_mb

from laurelcourse import interface as face
from laurelcourse.net import payloads
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.http import Response
from laurelcourse.net.limits import limits
from laurelcourse.net.membership import MembershipFilter
from laurelcourse.net.scheduler import Clock, Scheduler
from laurelcourse.settings import SettingsTree
from laurelcourse.standins.base import STAND_IN_HOST, wait_until
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.postgres import UnitStandIn, build_query
from laurelcourse.standins.settings import PLATFORM_SETTINGS
from laurelcourse.state import ExposureCap

LEAST_GRACE = 0.5  # seconds that some customers give a relay to leave a drained unit
HELD, GRACE = 5.0, 1.0  # a watch waits so long, and its answer may come so much later
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n"
CUT = {"mute": b"", "half a head": HEAD[:20], "no body": HEAD, "half a body": HEAD + b'{"revision": 9, "mem'}


class Agent(DirectoryStandIn):
    """A directory that answers calls by a script, and as usual after it."""

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.log: list[tuple[float, str, str]] = []  # when a call came, how it was answered, its target
        self.answered: list[float] = []
        super().__init__(port)

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        how = self.script.pop(0) if self.script else "ok"
        self.log.append((time.monotonic(), how, target))
        if how in CUT:
            conn.sendall(CUT[how])
            return
        if how == "whole at once":
            self.script.insert(0, how)
            self.reply(conn, 200, json.dumps(self.full_list()))
        elif how == "news at once":
            self.script.insert(0, how)
            self.revision += 1
            self.reply(conn, 200, json.dumps(self.full_list()))
        elif how == "empty at once":
            self.script.insert(0, how)
            self.reply(conn, 200, json.dumps(self.full_list() | {"complete": False, "members": []}))
        elif how in ("closed", "ended"):
            body = json.dumps(self.full_list() | {"complete": False, "members": []})
            length = f"Content-Length: {len(body)}\r\n" if how == "closed" else ""
            conn.sendall(f"HTTP/1.1 200 OK\r\n{length}\r\n{body}".encode())
            self.answered.append(time.monotonic())
            raise EOFError
        elif how == "error":
            self.reply(conn, 500, "{}")
        else:
            super().answer(conn, method, target, query)


class SlowAgent(DirectoryStandIn):
    """A directory whose lists come some time behind their heads, once it is told so."""

    body_delay = 0.0  # seconds

    def reply(self, conn: socket.socket, status: int, body: str) -> None:
        conn.sendall(f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
        time.sleep(self.body_delay)
        conn.sendall(body.encode())


class Asker:
    """Sends reqs again and again, so that it is seen where they go at each moment."""

    def __init__(self, served: Served) -> None:
        self.served, self.over = served, threading.Event()
        self.thread = threading.Thread(target=self.ask, daemon=True)
        self.thread.start()

    def ask(self) -> None:
        with contextlib.suppress(OSError, EOFError, AssertionError):
            client = self.served.client()
            while not self.over.wait(0.01):
                client.ask(build_query("read", 900))

    def close(self) -> None:
        self.over.set()
        self.thread.join(5)


@pytest.fixture
def started(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., Served]]:
    """Starts relays with other settings, each with a directory that has a script."""
    monkeypatch.setattr(conftest, "DirectoryStandIn", Agent)
    with contextlib.ExitStack() as stack:

        def start(discovery: str = "push", units: int = 1, **kinds: object) -> Served:
            obligations = PLATFORM_SETTINGS["obligations"] | {"stop_sending_within": 1000 * LEAST_GRACE}
            monkeypatch.setattr(
                conftest,
                "PLATFORM_SETTINGS",
                PLATFORM_SETTINGS
                | {
                    "obligations": obligations,
                    "discovery": discovery,
                    "domain": PLATFORM_SETTINGS["domain"] | {"api_timeout": 4000.0},
                },
            )
            where = tmp_path / str(len(list(tmp_path.iterdir())))
            where.mkdir()
            return stack.enter_context(contextlib.closing(Served(where, units, **kinds)))

        yield start


def last_at(unit: UnitStandIn) -> float:
    return unit.times[-1] if unit.times else 0.0


def drain(agent: Agent, served: Served) -> UnitStandIn:
    """Lists the relay's one unit as leaving and another in its place: reqs go there once that is applied."""
    late = UnitStandIn()
    agent.put("s-1", late.address)
    agent.put("s-0", served.units[0].address, phase="leaving")
    return late


def left_at(served: Served, late: UnitStandIn, seconds: float) -> float:
    """Returns when the drained unit got its last req, once the other one has got several after it."""
    drained = served.units[0]
    wait_until(lambda: len([at for at in late.times if at > last_at(drained)]) > 9, seconds)
    return last_at(drained)


def move(served: Served, directory: str = "", deployer: str = "") -> None:
    config = json.loads(served.path.read_text())
    config["discovery"] = directory or config["discovery"]
    config["pipeline"]["address"] = deployer or config["pipeline"]["address"]
    served.path.write_text(json.dumps(config))
    served.process.send_signal(signal.SIGHUP)


SILENT = [
    ("push", ["mute"]),
    ("push", ["half a head"]),
    ("push", ["half a body"]),
    ("push", ["no body"]),
    ("push", ["mute", "mute"]),
    ("ask", ["mute"]),
    ("ask", ["half a head"]),
]


def silent_watch(started: Callable[..., Served], discovery: str, script: list[str]) -> Callable[[], None]:
    """Begins a watch that gets no answer while the list changes; returns the check of what follows."""
    served = started(discovery=discovery)
    wait_until(lambda: served.directory.log)
    served.directory.script = list(script)
    served.directory.put("s-9", served.units[0].address, phase="left")  # ends the watch that waits
    wait_until(lambda: len(served.directory.log) > 1)
    began, late, asker = served.directory.log[1][0], drain(served.directory, served), Asker(served)
    # A second silence has no clock of its own in the page's words: here the usual grace bounds both.
    grace = LEAST_GRACE if len(script) == 1 else 2.0

    def check() -> None:
        with contextlib.closing(asker):
            last = left_at(served, late, HELD + 2 + grace + 4)
        calls = [round(at - began, 2) for at, _, _ in served.directory.log]
        assert 0 < last - began < HELD + 2 + grace, (discovery, script, calls)
        assert served.count("directory_failed") == len(script)

    return check


def test_a_returning_directorys_list_counts_within_the_grace(started: Callable[..., Served]) -> None:
    """The list counts at once, with or without a watch: a relay that has seen many failures asks as soon."""
    served = started()
    wait_until(lambda: served.directory.log)
    served.directory.script = ["error"] * 8
    served.directory.put("s-9", served.units[0].address, phase="left")
    with contextlib.closing(Asker(served)):
        wait_until(lambda: len(served.directory.log) == 9, 15)
        back = time.monotonic()
        late = drain(served.directory, served)
        assert left_at(served, late, 5) - back < LEAST_GRACE


def test_a_missing_full_list_after_a_move_is_requested_again(started: Callable[..., Served]) -> None:
    """What the new directory has counts 4 s after SIGHUP, though its first call got no answer."""
    served, agent = started(), Agent()
    with contextlib.closing(agent), contextlib.closing(Asker(served)):
        wait_until(lambda: served.directory.log)
        agent.script = ["mute"]
        late = drain(agent, served)
        moved = time.monotonic()
        move(served, directory=agent.address)
        assert left_at(served, late, 8) - moved < 4 + LEAST_GRACE
        assert agent.log[0][1:] == ("mute", "/catalog/members")


def test_a_directory_that_always_answers_at_once_is_polled_with_pauses(
    started: Callable[..., Served],
) -> None:
    for how in ("whole at once", "empty at once", "news at once"):
        served = started()
        wait_until(lambda served=served: served.directory.log)
        served.directory.script = [how]
        served.directory.put("s-9", served.units[0].address, phase="left")
        wait_until(lambda served=served: len(served.directory.log) > 1)
        began = len(served.directory.log)
        time.sleep(0.5)
        assert 2 <= len(served.directory.log) - began <= 12, how
        assert served.count("directory_failed") == 0


def test_a_watch_continues_over_closed_connections(started: Callable[..., Served]) -> None:
    """The next call comes within 200 ms; otherwise the watch would be a new one."""
    for how in ("closed", "ended"):
        served = started()
        wait_until(lambda served=served: served.directory.log)
        served.directory.script = [how] * 6
        served.directory.put("s-9", served.units[0].address, phase="left")
        wait_until(lambda served=served: len(served.directory.log) > 7)
        after = [at for at, _, _ in served.directory.log[2:]]
        assert max(next_at - at for at, next_at in zip(served.directory.answered, after, strict=False)) < 0.2
        assert served.count("directory_failed") == 0


@pytest.mark.parametrize(
    "step, discovery",
    [
        ("waiting", "push"),
        ("waiting", "ask"),
        ("reading", "push"),
        ("failing", "push"),
        ("failing", "ask"),
        ("connecting", "push"),
    ],
)
def test_a_moved_directory_counts_at_each_step_of_a_watch(
    started: Callable[..., Served], step: str, discovery: str
) -> None:
    """What the new directory has counts 4 s later, and nothing that the old one says any more."""
    served, agent, jam = started(discovery=discovery), Agent(), Jam()
    old = served.directory
    with contextlib.closing(agent), contextlib.closing(jam), contextlib.closing(Asker(served)):
        wait_until(lambda: old.log)
        old.script = {"reading": ["half a body"], "failing": ["error"] * 99}.get(step, [])
        if step == "connecting":
            move(served, directory=jam.at)
            wait_until(lambda: "configuration taken" in served.log.read_text())
        else:
            old.put("s-9", served.units[0].address, phase="left")
            wait_until(lambda: len(old.log) > (4 if step == "failing" else 1), 20)
        late, moved = drain(agent, served), time.monotonic()
        move(served, directory=agent.address)
        last = left_at(served, late, 10)
        assert last - moved < 4 + LEAST_GRACE
        calls, old.script = len(old.log), []
        old.put("s-0", served.units[0].address, build=3)
        jam.open()
        wait_until(lambda: len(agent.log) > 1 and len(late.times) > 50)
        assert last_at(served.units[0]) == last and len(old.log) == calls and not jam.heard
        assert served.count("tasks_died") == 0


class Jam:
    """A listener with a full backlog: connections wait until it opens, and are then noted and served."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind((STAND_IN_HOST, 0))
        self.sock.listen(0)
        self.at = "{}:{}".format(*self.sock.getsockname())
        self.own, self.conns, self.heard, self.ended = [], [], [], []
        for _ in range(8):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self.own.append(sock)

    def open(self) -> None:
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        mine = {result.getsockname() for result in self.own}
        with contextlib.suppress(OSError):
            while True:
                conn, whose = self.sock.accept()
                if whose not in mine:
                    self.conns.append(conn)
                    threading.Thread(target=self.hear, args=(conn,), daemon=True).start()

    def hear(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := conn.recv(1000):
                self.heard.append(data)
        self.ended.append(conn)

    def close(self) -> None:
        for sock in (self.sock, *self.own, *self.conns):
            sock.close()


class Platform(DeployerStandIn):
    """A deployer whose streams begin by a script, and whose answers to votes wait until they are released."""

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.opened: list[tuple[float, str]] = []
        self.go, self.older = threading.Event(), ""
        super().__init__(port)

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        if method == "POST" and self.older:
            older, self.older = self.older, ""
            self.votes.append(query)
            self.go.wait(5)
            item = "".join(f"<{name}>{value}</{name}>" for name, value in parse_qsl(older))
            self.reply(conn, 200, f"<Response><results><item>{item}</item></results></Response>")
        elif method == "POST":
            super().answer(conn, method, target, query)
        else:
            how = self.script.pop(0) if self.script else "ok"
            self.opened.append((time.monotonic(), how))
            if how == "ok":
                return super().answer(conn, method, target, query)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            conn.sendall(
                {
                    "mute": b"",
                    "half a head": head[:20],
                    "no event": head,
                    "half a chunk": head + b"64\r\nevent: progress\ndata: bu",
                    "life": head,
                }[how]
            )
            self.streams += [conn] if how == "life" else []
            while how == "life":
                with self.stream_lock:
                    conn.sendall(b"3\r\n:\n\n\r\n")
                time.sleep(0.5)

    def lower(self) -> None:
        self.news = BACK
        self.send_notices(f"event: progress\ndata: {BACK}\n\n")


TRIAL = "build=2&stage=0&phase=Progressing&cap=1&age_ms=9000"
BACK = "build=2&stage=0&phase=Aborting&cap=0&age_ms=0"


@pytest.fixture
def rolling(started: Callable[..., Served], monkeypatch: pytest.MonkeyPatch) -> Callable[..., Served]:
    """Starts relays with a machine of each build; the later build is on trial without an effective cap."""
    monkeypatch.setattr(conftest, "DeployerStandIn", Platform)
    return lambda **kinds: started(units=2, builds=(1, 2), news=TRIAL, **kinds)


def stays_away(served: Served, since: float) -> None:
    """Checks that nothing goes to the later build from then on, though many reqs come."""
    earlier, later = served.units
    wait_until(lambda: len([at for at in earlier.times if at > since]) > 20)
    assert not [at - since for at in later.times if at > since], served.deployer.opened


LOST = [["mute"], ["half a head"], ["half a chunk"], ["no event"], ["life"], ["ok", "mute"]]


def silent_stream(rolling: Callable[..., Served], script: list[str]) -> Callable[[], None]:
    """Begins a stream that falls silent or is held back; returns the check of what follows."""
    served = rolling()
    deployer, later = served.deployer, served.units[1]
    wait_until(lambda: deployer.streams)
    # One at the start has spoken; the script is for those behind it, or goes on from it.
    deployer.script = script[1:] if script[0] == "ok" else list(script)
    if script[0] != "ok":
        deployer.streams[-1].shutdown(socket.SHUT_RDWR)
        wait_until(lambda: len(deployer.opened) > 1)
        deployer.news = TRIAL if script == ["life"] else BACK
    began, asker = time.monotonic(), Asker(served)

    def check() -> None:
        with contextlib.closing(asker):
            if script == ["life"]:
                deployer.lower()
            elif script[0] == "ok":
                wait_until(lambda: len(deployer.opened) > 1)
                assert 2.5 < deployer.opened[1][0] - began < 3.5 and deployer.opened[1][1] == "mute"
                deployer.lower()  # on the stream that is held, while the one that is tried says nothing
            else:
                wait_until(lambda: len(deployer.opened) > 2)
                assert deployer.opened[2][0] - deployer.opened[1][0] < 3.5, script
            start = time.monotonic()
            wait_until(lambda: last_at(served.units[0]) > start + 0.2)
            assert not [at - start for at in later.times if at > start + LEAST_GRACE], script
            stays_away(served, time.monotonic())

    return check


def test_silent_watches_and_streams_are_reopened_in_time(
    started: Callable[..., Served], rolling: Callable[..., Served]
) -> None:
    """What a watch misses counts 2 s after its wait. All relays wait at the same time."""
    watches = [silent_watch(started, *case) for case in SILENT]
    for check in [*(silent_stream(rolling, script) for script in LOST), *watches]:
        check()


@pytest.mark.parametrize(
    "first",
    [
        "event: progress\ndata: build=2&stage=9&phase=Progressing&cap=1&age_ms=1\n\n",
        "event: metrics\ndata: build=2&class=unheard&count=1&failed=1&age_ms=1\n\n"
        "event: metrics\ndata: build=2&class=read&count=soon\n\n",
    ],
    ids=["a stage too far", "unreadable"],
)
def test_news_after_an_unreadable_event_counts_in_time(rolling: Callable[..., Served], first: str) -> None:
    served = rolling()
    wait_until(lambda: served.deployer.streams)
    with contextlib.closing(Asker(served)):
        wait_until(lambda: served.units[1].times)
        served.deployer.news = BACK
        served.deployer.send_notices(first + f"event: progress\ndata: {BACK}\n\n")
        stays_away(served, time.monotonic() + LEAST_GRACE)
    assert served.count("tasks_died") == 0 == served.count("module_faults")


def test_an_abandoned_stream_is_ignored(rolling: Callable[..., Served]) -> None:
    """The old address answers late: its news must not count, since nobody watches that stream any more."""
    served, jam, new = rolling(), Jam(), Platform()
    with contextlib.closing(jam), contextlib.closing(new):
        wait_until(lambda: served.deployer.streams)
        for place, at in enumerate((jam.at, new.address)):
            move(served, deployer=at)
            wait_until(lambda place=place: served.log.read_text().count("configuration taken") > place)
        wait_until(lambda: new.streams)
        jam.open()
        wait_until(lambda: jam.heard or jam.ended)
        assert not jam.heard and served.count("notices_opened") == 3


class Breaking(DeployerStandIn):
    """A deployer whose streams tell the state and then break, after some seconds of heartbeats."""

    def __init__(self, lasts: list[float]) -> None:
        self.lasts, self.opened, self.broken = lasts, [], []
        super().__init__()

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        self.opened.append(time.monotonic())
        super().answer(conn, method, target, query)
        breaks = time.monotonic() + (self.lasts.pop(0) if self.lasts else 60.0)
        while time.monotonic() < breaks:
            conn.sendall(b"3\r\n:\n\n\r\n")
            time.sleep(0.02)
        self.broken.append(time.monotonic())
        raise EOFError


def test_a_stream_that_keeps_breaking_is_reopened_with_backoff() -> None:
    """A single break costs only the first pause, also after a stream that has lasted for a while."""
    stand, scheduler, results = Breaking([0.0] * 6 + [0.6, 0.0]), Scheduler(Clock(), lambda: None), []
    limit_values = limits(
        SettingsTree({"limits": {"sockets": 64, "memory_mb": 64}, "settings": PLATFORM_SETTINGS})
    )._replace(silence=400_000, backoff_first=20_000, backoff_max=SECOND)
    deployer = Deployer(
        scheduler,
        SimpleNamespace(
            limits=limit_values, settings=conftest.SETTINGS, seed=7, deployer=(STAND_IN_HOST, stand.port)
        ),
        SimpleNamespace(stage=results.append),
        Counters(),
    )

    def work() -> None:
        over = time.monotonic() + 20
        while len(results) < 9 and time.monotonic() < over:
            scheduler.sleep(5000)

    scheduler.spawn(deployer.follow)
    task = scheduler.spawn(work)
    scheduler.run(lambda: task.dead)
    stand.close()
    pauses = [opened - broken for broken, opened in zip(stand.broken, stand.opened[1:], strict=False)]
    assert len(pauses) == 8 and len(results) == 9, pauses
    assert pauses[4] > 0.16 and pauses[5] > 0.32, pauses
    assert pauses[0] < 0.4 and pauses[6] < 0.4, pauses  # grown once more it would be half a second or more


def test_a_late_vote_answer_does_not_undo_newer_news(rolling: Callable[..., Served]) -> None:
    """The answer's state is older than the rollback: the cap that was told since must be kept."""
    served = rolling()
    served.deployer.older = TRIAL
    wait_until(lambda: served.deployer.streams)
    with contextlib.closing(Asker(served)):
        served.units[1].mode = "failed"
        wait_until(lambda: served.deployer.votes, 10)
        before = served.count("notices")
        served.deployer.lower()
        wait_until(lambda: served.count("notices") > before)
        served.units[1].mode = "ok"
        served.deployer.go.set()
        wait_until(lambda: served.count("votes.counted"))
        stays_away(served, time.monotonic())


@pytest.mark.parametrize("news", [BACK, TRIAL], ids=["overtaken", "true"])
def test_a_late_notice_does_not_lift_a_cap(rolling: Callable[..., Served], news: str) -> None:
    """A line is held back on the stream while a vote's answer says that the build is rolled back.

    Whatever a stream says that was opened after that answer counts again, so that no relay stays without
    news.
    """
    served = rolling()
    deployer, (_, later) = served.deployer, served.units

    def alive() -> bool:
        deployer.send_notices(": a sign of life\n\n")
        return True

    def voted() -> bool:
        """Checks that a relay told of a rollback withdraws its vote, and casts no other until news."""
        cast = [vote["verdict"] for vote in deployer.votes]
        return len(cast) > earlier and cast[-1] == "blank" and served.count("votes.counted") == len(cast)

    wait_until(lambda: served.count("notices") > 1)
    with contextlib.closing(Asker(served)):
        deployer.news = BACK  # for votes alone: the stream has not told it
        earlier = len(deployer.votes)
        later.mode = "failed"
        wait_until(lambda: alive() and voted(), 10)
        later.mode, deployer.news, deployer.mode = "ok", news, "limit"  # no later vote is told anything
        before, opened = served.count("notices"), served.count("notices_opened")
        deployer.send_notices(f"event: progress\ndata: {TRIAL}\n\n")
        start = time.monotonic()
        wait_until(lambda: served.count("notices") > before)
        if news == BACK:
            stays_away(served, start + LEAST_GRACE)
        else:
            wait_until(lambda: alive() and last_at(later) > start + LEAST_GRACE)
    # The state that opens a stream goes to all that stand: the one that was held may read it first.
    assert 1 <= served.count("notices_overtaken") <= (1 if news == BACK else 2)
    assert 1 <= served.count("notices_opened") - opened <= 2


def test_a_repeated_lower_cap_binds_no_later() -> None:
    """A new stream repeats the state: the grace runs from when it was first told."""
    cap = ExposureCap(1.0)
    cap.update(0.1, 500)
    cap.update(0.1, 900)
    assert not cap.apply_due(499) and cap.apply_due(500) and cap.current == 0.1
    cap.update(0.5, 1500)
    cap.update(0.1, 2000)
    assert not cap.apply_due(1999) and cap.apply_due(2000)


@pytest.mark.parametrize(
    "changed",
    [
        {},
        {"drain_grace": SECOND // 2},
        {"drain_grace": 4 * SECOND, "max_poll_interval": 2 * SECOND},
        {"drain_grace": SECOND // 2, "tick": 400_000},
    ],
)
def test_a_broken_watch_is_renewed_within_the_grace(
    make_driver: Callable[..., BalancerDriver], changed: dict
) -> None:
    """However many watches failed before, what this one misses counts 1 s after its wait and the grace."""
    driver = make_driver(must_poll=True, **changed)
    for _ in range(9):
        broken = driver.now
        driver.balancer.directory(driver.now, face.WATCH_BROKEN, [])
        results = []
        while (face.WATCH,) not in results:
            driver.now = driver.balancer.next_wake_at
            results = driver.balancer.timer(driver.now, "beat")
        assert (
            0
            < driver.now - broken
            <= max(driver.balancer.settings.drain_grace, 2 * driver.balancer.settings.tick)
        )


def test_an_incomplete_entry_hides_no_other(started: Callable[..., Served]) -> None:
    """A unit without a zone is used; one without a build gets nothing; for `left` the id is enough."""
    served = started(units=4)
    agent, first, bare, gone, later = served.directory, *served.units
    with contextlib.closing(Asker(served)):
        wait_until(lambda: first.times and gone.times)
        agent.entries["s-0"] |= {"phase": "leaving"}
        agent.entries["s-1"] = {name: agent.entries["s-1"][name] for name in ("id", "host_port", "phase")}
        agent.entries["s-2"] = {"id": "s-2", "phase": "left"}
        del agent.entries["s-3"]["locality"]
        agent.revision += 1
        start = time.monotonic()
        wait_until(lambda: len([at for at in later.times if at > start + LEAST_GRACE]) > 50)
        assert max(map(last_at, (first, bare, gone))) < start + LEAST_GRACE
        wait_until(lambda: f"from={agent.revision}&" in agent.log[-1][2])
        agent.revision += 1  # told once more: counted again, logged no more
        wait_until(lambda: f"from={agent.revision}&" in agent.log[-1][2])
        agent.put("s-1", bare.address, build=1)
        wait_until(lambda: last_at(bare) > start + LEAST_GRACE)
    assert served.count("directory_failed") == 0 and served.count("directory_held_back") == 2
    assert served.log.read_text().count("an entry without build or address") == 1


SPARSE = {
    "no locality": ({"locality": None}, face.READY),
    "an empty locality": ({"locality": ""}, face.READY),
    "no build": ({"revision_no": None}, face.DRAINING),
    "no address": ({"host_port": None}, face.DRAINING),
    "leaving, no build": ({"phase": "leaving", "revision_no": None, "locality": None}, face.DRAINING),
    "leaving, no address": ({"phase": "leaving", "host_port": None}, face.DRAINING),
    "left": (
        {"phase": "left"} | dict.fromkeys(("host_port", "locality", "revision_no", "up_since_ms")),
        face.GONE,
    ),
}


@pytest.mark.parametrize("absent", [True, False])
@pytest.mark.parametrize("changed, health", SPARSE.values(), ids=SPARSE)
def test_missing_fields_of_an_entry_are_unknown(
    make_driver: Callable[..., BalancerDriver], changed: dict, health: str, absent: bool
) -> None:
    """The list is not refused, nothing that is known of a unit is lost, and no older list undoes that."""
    since, driver = 90_000, make_driver()
    usual = {
        "id": "s-1",
        "host_port": "h:1",
        "locality": "a",
        "phase": "active",
        "revision_no": 7,
        "up_since_ms": since,
    }
    other = usual | {"id": "s-2", "host_port": "h:2", "phase": "leaving"}
    ready = [usual, other | {"phase": "active"}]
    before = payloads.parse_unit_list({"revision": 40, "complete": True, "members": ready})
    lists = MembershipFilter(before, 6 * SECOND)
    driver.balancer.directory(driver.now, face.FULL_LIST, [entry for entry, _ in before.entries])
    unit, fellow = driver.balancer.state.units.values()
    unit.begin_try(driver.now, 0)
    entry = {name: value for name, value in (usual | changed).items() if value is not None or not absent}
    matching = lists.filter(
        0, payloads.parse_unit_list({"revision": 41, "complete": False, "members": [entry, other]})
    )
    assert matching.incomplete == (("s-1",) if health == face.DRAINING and "phase" not in changed else ())
    driver.balancer.directory(driver.now, face.CHANGES, [listed for listed, _ in matching.entries])
    assert (unit.health, fellow.health) == (health, face.DRAINING)
    assert (unit.build, unit.started_at, unit.sends_since_start) == (7, 1000 * since, 1)
    older = lists.filter(
        SECOND, payloads.parse_unit_list({"revision": 40, "complete": True, "members": [usual, other]})
    )
    assert older.entries[0][0].health == health


def test_units_of_unknown_zones_share_no_memory(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """A try that may have run is repeated only in its unit's zone (rule 2); two unknown zones may differ."""
    driver = make_driver()
    driver.list((1, "", 5, 90), (2, "", 5, 90))
    sent = driver.req("mark")[-1]
    again = driver.end(sent, 0, face.FAILED)[-1]
    assert again[0] == face.ERROR or again[2] == sent[2]


READY, LEFT = face.READY, face.DRAINING


def told(revision: int, **health: str) -> payloads.UnitList:
    entries = [face.Listed(int(unit[1:]), "a", 0, 1, how, 1.0, 1) for unit, how in health.items()]
    return payloads.UnitList(revision, True, [(entry, ("h", 1)) for entry in entries])


def test_a_full_list_with_restarted_revisions_undoes_no_drain() -> None:
    lists = MembershipFilter(told(90, u1=READY, u2=READY), 6 * SECOND)
    lists.filter(0, told(91, u1=LEFT, u2=READY))
    matching = lists.filter(SECOND, told(2, u1=READY, u3=READY))
    assert matching.complete and {entry.unit: entry.health for entry, _ in matching.entries} == {
        1: LEFT,
        3: READY,
    }
    # Changes by the new numbers count from the first on, when they are for the worse.
    worse = lists.filter(2 * SECOND, told(3, u3=LEFT)._replace(complete=False))
    assert worse.entries[0][0].health == LEFT
    later = lists.filter(8 * SECOND, told(4, u1=READY, u3=READY))
    assert {entry.health for entry, _ in later.entries} == {READY}


@pytest.mark.parametrize("indent", [None, 2, "\t"])
@pytest.mark.parametrize("chunked", [True, False])
def test_a_list_cut_at_any_byte_is_whole_or_none(indent: int | str | None, chunked: bool) -> None:
    entry = {
        "id": "s-\u00e9",
        "host_port": "10.1.0.18:6543",
        "locality": "a",
        "cell": 3,
        "phase": "leaving",
        "size": 1.0,
        "up_since_ms": 0,
        "revision_no": 41,
    }
    body = json.dumps({"revision": 43, "complete": False, "members": [entry, entry]}, indent=indent).encode()
    coded = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:9], body[9:])) + b"0\r\n\r\n"
    raw = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + coded
        if chunked
        else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    whole = payloads.parse_unit_list(json.loads(body))
    for cut in range(len(raw)):
        response = Response(1 << 18)
        response.feed(raw[:cut])
        response.end_of_stream()
        assert not response.done
        response.feed(raw[cut:])
        assert response.done and payloads.parse_unit_list(payloads.parse_json(response.take())) == whole


ORDER = [
    (1, 1, "Progressing"),
    (1, 0, "Healthy"),
    (2, 0, "Progressing"),
    (2, 1, "Progressing"),
    (2, 1, "Healthy"),
    (2, 0, "Aborting"),
    (2, 0, "Aborted"),
    (3, 0, "Progressing"),
]


def test_release_states_are_ordered() -> None:
    results = [
        payloads.parse_build_state({"build": build, "stage": stage, "phase": phase, "cap": 1, "age_ms": 0})
        for build, stage, phase in ORDER
    ]
    assert sorted(reversed(results), key=payloads.progress) == results


@pytest.mark.parametrize(
    "reported, known, lifts",
    [
        ((2, 0, "Progressing", 1), (2, 0, "Aborting", 0), True),
        ((2, 0, "Aborting", 0), (2, 0, "Progressing", 1), False),
        ((2, 0, "Progressing", 0.1), (2, 1, "Progressing", 0.3), False),  # earlier, but lower: it binds
        ((2, 1, "Progressing", 0.3), (2, 1, "Progressing", 0.1), False),  # no earlier
        ((1, 0, "Aborted", 0), (2, 0, "Progressing", 0.1), True),  # the newest build would lose its cap
        ((2, 2, "Progressing", 0.9), (2, 2, "Healthy", 1), False),
    ],
)
def test_an_earlier_state_that_would_lift_a_cap_is_ignored(
    reported: tuple, known: tuple, lifts: bool
) -> None:
    first, second = (
        payloads.parse_build_state(
            dict(zip(("build", "stage", "phase", "cap"), state, strict=True)) | {"age_ms": 0}
        )
        for state in (reported, known)
    )
    assert payloads.lifts_cap(first, second) == lifts


def test_lists_that_come_behind_their_heads_are_taken(
    started: Callable[..., Served], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against `review/10`: an answer that had begun was given up after 0.5 s, each time anew."""
    monkeypatch.setattr(conftest, "DirectoryStandIn", SlowAgent)
    served = started(discovery="ask")
    with contextlib.closing(Asker(served)):
        wait_until(lambda: served.units[0].queries)
        served.directory.body_delay = 0.9
        changed_at = time.monotonic()
        late = drain(served.directory, served)
        told_after = 6.0  # what the page counts as told at the latest
        assert left_at(served, late, told_after + 4) < changed_at + told_after + LEAST_GRACE


def test_the_list_of_the_largest_fleet_is_taken_with_the_least_memory(started: Callable[..., Served]) -> None:
    """Guards against `review/9`: the whole list of 3,200 units was longer than a 64th of the memory."""
    served = started(memory=32)
    for number in range(3200):
        served.directory.entries[f"unit-{number:05}-of-a-long-name"] = served.directory.entries["s-0"] | {
            "id": f"unit-{number:05}-of-a-long-name",
            "flavor": "std-3c",
            "phase": "leaving",
        }
    late = UnitStandIn()
    served.directory.put("s-1", late.address)
    wait_until(lambda: served.client().ask(build_query())[0] == "TDCZ" and late.queries, 8)
    assert not served.count("directory_failed")
    assert resident_mb(served.process.pid) < 32
