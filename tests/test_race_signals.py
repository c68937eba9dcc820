"""Signals at any moment of a relay's life: before it has handlers, twice, or while a file is incomplete."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import ROOT, Served

from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import PgClient, build_query, pack_message

COMPLETED = ("TDCZ", "")
HUP, TERM, INT, USR1 = signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Served]:
    served = Served(tmp_path_factory.mktemp("shared"))
    yield served
    served.close()


class Started:
    """One more relay's process among the stand-ins of another, from its first moment on."""

    def __init__(self, shared: Served, where: Path, ignored: tuple = (), **changed: object) -> None:
        self.path, self.log, self.port = where / "config.json", where / "log", reserve_port()
        own = {
            "listen": f"{RELAY_HOST}:{self.port}",
            "peer_listen": f"{RELAY_HOST}:{reserve_port(socket.SOCK_DGRAM)}",
        }
        self.config = json.loads(json.dumps(shared.config)) | own | changed
        self.ignored = ignored

    def start(self) -> subprocess.Popen:
        def ignore() -> None:
            for number in self.ignored:
                signal.signal(number, signal.SIG_IGN)

        with self.log.open("wb") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "laurelcourse", "serve", "--config", str(self.path)],
                cwd=ROOT,
                stderr=log_file,
                preexec_fn=ignore,
            )
        return self.process

    def hold(self) -> int:
        """Starts the relay, and holds it where it reads its configuration until something is written."""
        os.mkfifo(self.path)
        self.start()

        def writer() -> int | None:
            with contextlib.suppress(OSError):  # nobody reads yet
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)

        return wait_until(writer)

    def go_on(self, writer: int) -> None:
        """Lets a held relay read the configuration as it was at the start; the path may lead elsewhere by
        now.
        """
        os.write(writer, json.dumps(self.config).encode())
        os.close(writer)

    def said(self, words: str) -> int:
        return self.log.read_text().count(words)

    def serving(self) -> bool:
        return self.said("msg=serving") > 0 or self.process.poll() is not None

    def ready(self) -> None:
        wait_until(self.serving)
        assert self.process.poll() is None, self.log.read_text()

    def caught(self, number: int) -> bool:
        """Returns whether the program has a handler of its own for a signal."""
        with contextlib.suppress(OSError):
            words = Path(f"/proc/{self.process.pid}/status").read_text().split("SigCgt:")[1].split()[0]
            return bool(int(words, 16) >> number - 1 & 1)
        return False

    def ignores(self, number: int) -> bool:
        """Returns whether a signal is ignored, as whoever started the program may have it."""
        with contextlib.suppress(OSError):
            words = Path(f"/proc/{self.process.pid}/status").read_text().split("SigIgn:")[1].split()[0]
            return bool(int(words, 16) >> number - 1 & 1)
        return False

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


@pytest.fixture
def further(shared: Served, tmp_path: Path) -> Iterator[Callable[..., Started]]:
    with contextlib.ExitStack() as stack:

        def make(**kinds: object) -> Started:
            started = Started(shared, tmp_path, **kinds)
            stack.callback(started.close)
            return started

        yield make


@pytest.mark.parametrize("times", [1, 3])
def test_a_reload_signal_while_the_configuration_is_read_is_not_lost(
    further: Callable[..., Started], times: int
) -> None:
    started, directory = further(), DirectoryStandIn()
    directory.entries = {entry["id"]: entry for entry in started.config["known"]["members"]}
    writer = started.hold()
    later = started.path.with_name("later")
    later.write_text(json.dumps(started.config | {"discovery": directory.address}))
    later.replace(started.path)
    for _ in range(times):
        started.process.send_signal(HUP)
    started.go_on(writer)
    started.ready()
    wait_until(lambda: directory.calls)
    assert started.said("configuration taken") >= 1
    assert PgClient(started.port).ask(build_query())[:2] == COMPLETED
    directory.close()


@pytest.mark.parametrize("number", [TERM, INT])
def test_a_stop_while_the_configuration_is_read_ends_with_zero_before_it_serves(
    further: Callable[..., Started], number: int
) -> None:
    started = further()
    writer = started.hold()
    started.process.send_signal(number)
    # One that came just before the program waits for the pipe is heard as that wait ends.
    with contextlib.suppress(BrokenPipeError):
        started.go_on(writer)
    assert started.process.wait(5) == 0 and started.log.read_text() == ""


def test_counters_asked_for_while_the_configuration_is_read_come_once_it_serves(
    further: Callable[..., Started],
) -> None:
    started = further()
    writer = started.hold()
    started.process.send_signal(USR1)
    started.go_on(writer)
    started.ready()
    wait_until(lambda: started.said("msg=counters") == 1)
    assert PgClient(started.port).ask(build_query())[:2] == COMPLETED


@pytest.mark.parametrize("ignored", [(), (HUP, USR1)], ids=["", "ignored"])
def test_signals_during_a_start_do_not_end_it(further: Callable[..., Started], ignored: tuple) -> None:
    """Signals come from when the program has handlers, or from the first moment if whoever starts it ignores
    them until then, as a shell's trap does.
    """
    for _ in range(5):  # a start in which this test itself got no CPU had few
        started = further(ignored=ignored)
        started.path.write_text(json.dumps(started.config))
        started.start()
        wait_until(lambda one=started: ignored or one.caught(HUP) or one.process.poll() is not None)
        began, sent = time.monotonic(), 0
        while not started.serving() and time.monotonic() < began + 5:
            started.process.send_signal(HUP)
            started.process.send_signal(USR1)
            sent += 1
            time.sleep(0.002)  # some hundred of them, all through the imports
        assert started.process.poll() is None and started.caught(HUP)
        if sent > 5:
            break
    assert sent > 5
    taken = started.said("configuration taken")
    started.process.send_signal(HUP)
    wait_until(lambda: started.said("configuration taken") > taken)
    assert PgClient(started.port).ask(build_query())[:2] == COMPLETED
    started.process.send_signal(TERM)
    assert started.process.wait(5) == 0


def test_signals_do_not_end_a_relay_started_by_the_deploy_file(further: Callable[..., Started]) -> None:
    """From the shell's first command on: a SIGHUP would end the interpreter before it has a handler."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    started = further()
    started.path.write_text(json.dumps(started.config))
    words = line.replace("exec .venv/bin/python", f"kill -HUP $$; kill -USR1 $$; exec {sys.executable}")
    with started.log.open("wb") as log_file:
        started.process = subprocess.Popen(
            ["/bin/sh", "-c", words],
            cwd=ROOT,
            stderr=log_file,
            env=os.environ | {"EDGE_CONFIG": str(started.path)},
        )
    while not started.serving():
        if started.ignores(HUP):
            started.process.send_signal(HUP)
        time.sleep(0.002)
    assert started.process.poll() is None
    assert PgClient(started.port).ask(build_query())[:2] == COMPLETED


@pytest.mark.parametrize(
    "torn", [None, "", "{", "half", "[]"], ids=["gone", "empty", "open", "half", "other"]
)
def test_a_file_completed_a_moment_later_needs_no_second_signal(
    further: Callable[..., Started], torn: str | None
) -> None:
    started, directory = further(), DirectoryStandIn()
    directory.entries = {entry["id"]: entry for entry in started.config["known"]["members"]}
    started.path.write_text(json.dumps(started.config))
    started.start()
    started.ready()
    whole = json.dumps(started.config | {"discovery": directory.address})
    if torn is None:
        started.path.unlink()
    else:
        started.path.write_text(whole[: len(whole) // 2] if torn == "half" else torn)
    started.process.send_signal(HUP)
    wait_until(lambda: started.said("configuration not taken"))
    started.path.write_text(whole)
    wait_until(lambda: directory.calls, 2)
    assert started.said("configuration not taken") == 1 == started.said("configuration taken")
    assert PgClient(started.port).ask(build_query())[:2] == COMPLETED
    directory.close()


def test_a_file_that_stays_invalid_is_ignored(
    further: Callable[..., Started],
) -> None:
    started, first, second = further(), DirectoryStandIn(), DirectoryStandIn()
    started.path.write_text(json.dumps(started.config))
    started.start()
    started.ready()
    started.path.write_text("{")
    started.process.send_signal(HUP)
    wait_until(lambda: started.said("configuration not taken") == 1)
    started.path.write_text(json.dumps(started.config | {"discovery": first.address}))
    started.process.send_signal(HUP)
    wait_until(lambda: first.calls)
    # Read after the last signal, a file is not read again until the next one.
    started.path.write_text(json.dumps(started.config | {"discovery": second.address}))
    time.sleep(2)
    assert not second.calls and started.said("configuration taken") == 1
    started.path.write_text("{")
    started.process.send_signal(HUP)
    wait_until(lambda: started.said("configuration not taken") == 2)
    time.sleep(2)  # longer than it is read again
    started.path.write_text(json.dumps(started.config | {"discovery": second.address}))
    time.sleep(0.5)
    assert not second.calls and started.said("configuration not taken") == 2
    for stand in (first, second):
        stand.close()


def test_signals_during_a_stop_change_nothing(serve: Callable[..., Served]) -> None:
    served, directory = serve(modes="slow1"), DirectoryStandIn()
    directory.entries = {entry["id"]: entry for entry in served.config["known"]["members"]}
    busy = served.client()
    busy.send(build_query("once"))
    wait_until(served.queries)
    served.process.send_signal(TERM)
    wait_until(lambda: "msg=stopping" in served.log.read_text())
    served.path.write_text(json.dumps(served.config | {"discovery": directory.address}))
    for number in (HUP, TERM, USR1, INT, HUP, TERM):
        served.process.send_signal(number)
    wait_until(lambda: directory.calls)
    while served.process.poll() is None:
        for number in (USR1, HUP, TERM):
            with contextlib.suppress(OSError):
                served.process.send_signal(number)
        time.sleep(0.01)
    assert busy.answer()[:2] == COMPLETED and served.process.poll() == 0
    assert served.log.read_text().count("msg=stopping") == 1
    assert "tasks_died" not in served.log.read_text()
    directory.close()


# An object that goes with the interpreter's modules waits there until somebody writes.
LINGERS = """
import builtins, os, runpy
class Lingers:
    def __init__(self, open_, read): self.open, self.read = open_, read
    def __del__(self): self.read(self.open({path!r}, {flags}), 1)
builtins.lingers = Lingers(os.open, os.read)
runpy.run_module("laurelcourse", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("number", [TERM, INT, HUP, USR1])
def test_a_signal_during_interpreter_exit_keeps_exit_code_zero(
    serve: Callable[..., Served], tmp_path: Path, number: int
) -> None:
    path = tmp_path / "lingers"
    os.mkfifo(path)
    served = serve(watched=LINGERS.format(path=str(path), flags=os.O_RDONLY))
    served.process.send_signal(TERM)

    def writer() -> int | None:
        with contextlib.suppress(OSError):
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)

    held = wait_until(writer)
    served.process.send_signal(number)
    os.close(held)
    assert served.process.wait(5) == 0 and "Traceback" not in served.log.read_text()


def test_a_stop_before_the_first_list_ends_at_once(further: Callable[..., Started]) -> None:
    with socket.socket() as nobody:
        nobody.bind((RELAY_HOST, 0))  # and does not listen
        at = "{}:{}".format(*nobody.getsockname())
        started = further(discovery=at, known={"revision": 0, "complete": True, "members": []})
        started.path.write_text(json.dumps(started.config))
        started.start()
        started.ready()
        client = PgClient(started.port)
        assert client.ask("")[1] == "57P03"
        started.process.send_signal(TERM)
        wait_until(lambda: started.said("msg=stopping"))
        late = PgClient(started.port, pack_message(b"Q", build_query(timeout_ms=900).encode() + b"\0"))
        assert late.answer()[:2] in (("EZ", "53300"), ("EZ", "58000"))
        assert client.answer()[0] == "" and started.process.wait(3) == 0
