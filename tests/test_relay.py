"""The program as it is started, over sockets."""

import contextlib
import json
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import ROOT, Served

from laurelcourse import VERSION, messages
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.deployer import DeployerStandIn
from laurelcourse.standins.directory import DirectoryStandIn
from laurelcourse.standins.ports import reserve_port
from laurelcourse.standins.postgres import (
    LARGE_BLOB,
    LARGER_BLOB,
    READY,
    ROW,
    STARTUP,
    PgClient,
    UnitStandIn,
    build_query,
    pack_message,
)
from laurelcourse.standins.settings import PLATFORM_SETTINGS

COMPLETED, SHED, ERRORED = ("TDCZ", ""), ("EZ", "53300"), ("EZ", "58000")


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Served]:
    served = Served(tmp_path_factory.mktemp("shared"))
    yield served
    served.close()


@pytest.mark.parametrize("route", ["read", "mark", "once"])
@pytest.mark.parametrize("mode", ["ok", "noisy", "unready"])
def test_a_completed_req_passes_on_statement_and_row_as_they_came(
    shared: Served, route: str, mode: str
) -> None:
    asked, before = build_query(route, 1500, ",r=1"), len(shared.queries())
    for unit in shared.units:
        unit.mode = mode
    letters, code, row = shared.client().ask(asked)
    assert (letters, code) == COMPLETED and pack_message(b"D", row) in ROW
    sent = shared.queries()
    assert len(sent) == before + 1
    passed_on = next(query for query in sent if re.sub(r"\bd=\d+", "d=1500", query) == asked)
    assert 1000 < int(re.search(r"\bd=(\d+)", passed_on)[1]) <= 1500


@pytest.mark.parametrize(
    "mode, route, end, queries",
    [
        ("busy", "once", SHED, 3),
        ("busy", "mark", SHED, 3),
        ("failed", "once", ERRORED, 1),
        ("failed", "read", SHED, 3),
        ("syntax", "read", ERRORED, 1),
        ("reset", "once", ERRORED, 1),
        ("reset", "read", SHED, 3),
        ("silent", "once", ERRORED, 1),
        ("nonsense", "once", ERRORED, 1),
        ("twice", "once", ERRORED, 1),
        ("torn", "once", ERRORED, 1),
        ("half", "once", ERRORED, 1),
        ("huge", "once", ERRORED, 1),
        ("false", "once", ERRORED, 1),
        ("shape", "once", ERRORED, 1),
        ("early", "once", SHED, 0),
        ("full", "once", SHED, 0),
        ("mute", "once", SHED, 0),
        ("closed", "once", SHED, 0),
    ],
)
def test_tries_that_may_have_run_differ_from_those_that_never_ran(
    serve: Callable[..., Served], mode: str, route: str, end: tuple, queries: int
) -> None:
    served = serve(modes=mode)
    for unit in served.units:
        if mode == "closed":
            unit.close()
    began = time.monotonic()
    assert served.client().ask(build_query(route, 900))[:2] == end
    assert time.monotonic() - began < 1.0
    assert len(served.queries()) == queries


@pytest.mark.parametrize("mode", ["more", "noise", "late"])
def test_bytes_after_an_answer_never_answer_the_next_req(serve: Callable[..., Served], mode: str) -> None:
    served = serve(units=1, modes=mode)
    for _ in range(10):
        letters, code, row = served.client().ask(build_query("once"))
        assert (letters, code) == COMPLETED and pack_message(b"D", row) in ROW
    assert served.count("tries.ok") == 10 and len(served.units[0].connections) >= 5


@pytest.mark.parametrize(
    "mode, value", [("drip", b"\x9f\x03"), ("larger", LARGER_BLOB)], ids=["drip", "larger"]
)
def test_slow_and_large_answers_are_whole_answers(
    serve: Callable[..., Served], mode: str, value: bytes
) -> None:
    letters, code, row = serve(modes=mode, memory=32).client().ask(build_query("once", 3000))
    assert (letters, code) == COMPLETED and row[6:] == value


def test_connections_that_break_when_kept_are_not_kept_for_long(serve: Callable[..., Served]) -> None:
    served = serve(units=1, modes="stale")
    client, ends = served.client(), []
    for _ in range(40):
        time.sleep(0.06)  # so that the connection has rested
        ends.append(client.ask(build_query("once"))[:2])
    assert ends.count(ERRORED) <= 4 and ends[8:] == [COMPLETED] * 32
    assert served.count("tries.unreached") == 0 and len(served.units[0].queries) == ends.count(COMPLETED)


def test_the_directory_moves_reqs_between_units(serve: Callable[..., Served]) -> None:
    served, moved = serve(units=1), UnitStandIn()
    client, (first,) = served.client(), served.units
    assert client.ask(build_query())[:2] == COMPLETED
    served.directory.put("s-0", moved.address)
    wait_until(lambda: client.ask(build_query())[:2] == COMPLETED and moved.queries)
    other = UnitStandIn()
    served.directory.put("s-0", moved.address, phase="leaving")
    served.directory.put("s-1", other.address)
    wait_until(lambda: client.ask(build_query())[:2] == COMPLETED and other.queries)
    before = len(first.queries), len(moved.queries)
    for _ in range(20):
        assert client.ask(build_query())[:2] == COMPLETED
    assert (len(first.queries), len(moved.queries)) == before


def test_a_client_that_goes_away_ends_its_req(serve: Callable[..., Served]) -> None:
    served = serve(modes="silent")
    client = served.client()
    client.send(build_query("once", 800))
    wait_until(served.queries)
    client.sock.close()
    client.stream.close()
    wait_until(lambda: served.count("reqs.once.withdrawn") == 1)
    assert served.count("module_faults") == 0 and len(served.queries()) == 1


def test_queries_come_in_any_pieces_and_are_answered_in_order(shared: Served) -> None:
    for unit in shared.units:
        unit.mode = "ok"
    client = shared.client(first=pack_message(b"Q", b"\0"))
    assert client.answer()[0] == "IZ"
    for byte in pack_message(b"Q", build_query().encode() + b"\0"):
        client.sock.sendall(bytes((byte,)))
    assert client.answer()[:2] == COMPLETED
    for words in (build_query(), "", "HELLO", build_query("mark")):
        client.send(words)
    assert [client.answer()[0] for _ in range(4)] == ["TDCZ", "IZ", "EZ", "TDCZ"]
    large = build_query("mark").replace("9f03", "9f" * 65536)
    assert client.ask(large)[:2] == COMPLETED
    client.sock.sendall(pack_message(b"X"))
    assert client.answer()[0] == ""


def test_startup_variants(shared: Served) -> None:
    with socket.create_connection((RELAY_HOST, shared.port)) as raw:
        raw.settimeout(5)
        for code in (80877103, 80877104):
            raw.sendall(struct.pack("!II", 8, code))
            assert raw.recv(1) == b"N"
        raw.sendall(struct.pack("!IIII", 16, 80877102, 1, 2))
        assert raw.recv(1) == b""
    for bad in (struct.pack("!II", 8, 2 << 16), struct.pack("!II", 3, 0), struct.pack("!II", 1 << 30, 0)):
        with socket.create_connection((RELAY_HOST, shared.port)) as raw:
            raw.settimeout(5)
            raw.sendall(bad)
            assert b"C08P01" in raw.recv(1000)


@pytest.mark.parametrize(
    "raw, letters, code, kept",
    [
        (pack_message(b"Q", b"DROP TABLE rows\0"), "EZ", "42601", True),
        (pack_message(b"Q", build_query().replace(",c=read", "").encode() + b"\0"), "EZ", "22023", True),
        (pack_message(b"Q", build_query("unheard").encode() + b"\0"), "EZ", "22023", True),
        (pack_message(b"Q", build_query("mark").replace(",k=", ",x=").encode() + b"\0"), "EZ", "22023", True),
        (pack_message(b"Q", build_query(timeout_ms=0).encode() + b"\0"), "EZ", "22003", True),
        (pack_message(b"Q", build_query(timeout_ms=10**9).encode() + b"\0"), "EZ", "22003", True),
        (pack_message(b"Q", build_query().replace("d=2000", "d=soon").encode() + b"\0"), "EZ", "22003", True),
        (pack_message(b"Q", build_query().encode()), "EZ", "08P01", True),
        (
            pack_message(b"Q", build_query("mark").replace("9f03", "9f0").encode() + b"\0"),
            "EZ",
            "42601",
            True,
        ),
        (
            pack_message(b"P", b"\0SELECT\0\0\0")
            + pack_message(b"B")
            + pack_message(b"E")
            + pack_message(b"S"),
            "EZ",
            "0A000",
            True,
        ),
        (pack_message(b"F"), "EZ", "0A000", True),
        (b"Q\3\x93\x87\0INSERT", "E", "54000", False),
        (b"Q\xff\xff\xff\xff", "E", "54000", False),
        (pack_message(b"~"), "E", "08P01", False),
        (b"Q\0\0\0\1", "E", "08P01", False),
    ],
)
def test_bad_input_gets_its_error_and_reaches_no_unit(
    shared: Served, raw: bytes, letters: str, code: str, kept: bool
) -> None:
    for unit in shared.units:
        unit.mode = "ok"
    before, client = len(shared.queries()), shared.client()
    faults = shared.count(f"clients_faults.{code}")
    client.sock.sendall(raw)
    if kept:
        assert client.answer()[:2] == (letters, code)
        assert client.ask(build_query())[:2] == COMPLETED
    else:
        assert client.answer()[:2] == ("E", code) and client.stream.read() == b""
    assert len(shared.queries()) == before + kept
    assert shared.count(f"clients_faults.{code}") == faults + 1


def test_a_relay_serves_without_directory_and_deployer(serve: Callable[..., Served]) -> None:
    served = serve(down=True)
    assert served.client(first=pack_message(b"Q", b"\0")).answer()[0] == "IZ"
    assert served.client().ask(build_query())[:2] == COMPLETED
    late = UnitStandIn()
    directory, deployer = (
        stand(old.port)
        for stand, old in ((DirectoryStandIn, served.directory), (DeployerStandIn, served.deployer))
    )
    directory.revision = 9
    directory.put("s-9", late.address)
    wait_until(lambda: served.client().ask(build_query())[:2] == COMPLETED and late.queries)
    wait_until(lambda: deployer.streams)
    for stand in (directory, deployer):
        stand.close()
    assert "Traceback" not in served.log.read_text()


@pytest.mark.parametrize("mode", ["silent", "status", "json", "fields", "half"])
def test_a_malformed_directory_answer_keeps_the_last_list(serve: Callable[..., Served], mode: str) -> None:
    served = serve()
    wait_until(lambda: served.directory.calls)
    served.directory.mode = mode
    served.directory.revision += 1
    wait_until(lambda: served.count("directory_failed") > 2)
    assert served.client().ask(build_query())[:2] == COMPLETED
    late = UnitStandIn()
    served.directory.put("s-9", late.address)
    served.directory.mode = "ok"
    wait_until(lambda: served.client().ask(build_query())[:2] == COMPLETED and late.queries)
    assert served.log.read_text().count("directory fails") == 1


TRIAL = "build=2&stage=0&phase=Progressing&cap=1&age_ms=9000"


@pytest.mark.parametrize(
    "mode, end",
    [
        ("ok", "counted"),
        ("limit", "refused"),
        ("moot", "void"),
        ("error", "broke"),
        ("silent", "unanswered"),
        ("novel", "unanswered"),
        ("closed", "broke"),
    ],
)
def test_a_failing_build_is_voted_back_and_each_end_of_a_vote_is_told(
    serve: Callable[..., Served], mode: str, end: str
) -> None:
    served = serve(units=4, builds=(1, 1, 2, 2), news=TRIAL)
    served.deployer.mode = mode
    for unit in served.units[2:]:
        unit.mode = "failed"
    wait_until(lambda: served.deployer.streams)
    if mode == "closed":
        served.deployer.close()
    client = served.client()

    def voted() -> bool:
        assert client.ask(build_query())[:2] in (COMPLETED, SHED)
        return served.count(f"votes.{end}") > 0

    wait_until(voted)
    verdicts = {(vote["Action"], vote["build"], vote["verdict"]) for vote in served.deployer.votes}
    assert mode == "closed" or ("CastVote", "2", "stop") in verdicts


def test_a_lost_or_malformed_notices_stream_is_reopened(serve: Callable[..., Served]) -> None:
    served = serve(
        units=4, builds=(1, 1, 2, 2), news=TRIAL.replace("cap=1", "cap=0").replace("Progressing", "Aborting")
    )
    wait_until(lambda: served.deployer.streams)
    client = served.client()
    for _ in range(20):
        assert client.ask(build_query())[:2] == COMPLETED
    assert not served.units[2].queries and not served.units[3].queries
    served.deployer.news = TRIAL.replace("Progressing", "Healthy")
    served.deployer.send_notices(
        "event: progress\ndata: build=soon\n\nevent: metrics\ndata: class=read&build=2\n\n"
    )
    wait_until(lambda: client.ask(build_query())[:2] == COMPLETED and served.units[2].queries, 1)
    served.deployer.streams[-1].shutdown(socket.SHUT_RDWR)
    wait_until(lambda: len(served.deployer.streams) == 3, 1)
    assert served.count("notices_unreadable") == 1


def test_a_new_configuration_moves_directory_and_deployer_under_load(serve: Callable[..., Served]) -> None:
    served = serve(modes="slow0.2")
    wait_until(lambda: served.directory.calls and served.deployer.streams)
    open_before = served.client()
    for turn in range(2):
        open_before.send(build_query("once"))
        late, directory, deployer = UnitStandIn(), DirectoryStandIn(), DeployerStandIn()
        directory.put(f"s-{turn}", late.address)
        config = served.config | {"discovery": directory.address, "name": "other" if turn else "n0"}
        config["pipeline"] = served.config["pipeline"] | {"address": deployer.address}
        served.path.write_text("{" if turn else json.dumps(config | {"listen": "nowhere"}))
        served.process.send_signal(signal.SIGHUP)
        wait_until(lambda turn=turn: served.log.read_text().count("configuration not taken") == turn + 1)
        served.path.write_text(json.dumps(config))
        served.process.send_signal(signal.SIGHUP)
        wait_until(lambda deployer=deployer: deployer.streams, 1)
        wait_until(lambda late=late: served.client().ask(build_query())[:2] == COMPLETED and late.queries, 1)
        assert open_before.answer()[:2] == COMPLETED and not directory.calls > 9
        wait_until(lambda: served.deployer.streams[-1].fileno() < 0, 1)
        served.deployer = deployer
    assert 'needs a restart" fields=name' in served.log.read_text()
    assert served.count("directory_failed") == 0 == served.count("tasks_died")


def test_a_vote_goes_to_the_new_address(serve: Callable[..., Served]) -> None:
    served, deployer = serve(units=4, builds=(1, 1, 2, 2), news=TRIAL), DeployerStandIn()
    served.deployer.mode, deployer.news = "silent", TRIAL
    for unit in served.units[2:]:
        unit.mode = "failed"
    client = served.client()
    wait_until(lambda: client.ask(build_query()) and served.deployer.votes)
    served.config["pipeline"]["address"] = deployer.address
    served.path.write_text(json.dumps(served.config))
    served.process.send_signal(signal.SIGHUP)
    wait_until(lambda: client.ask(build_query()) and deployer.votes)
    assert served.count("votes.unanswered") > 0


def test_only_datagrams_of_peers_count(serve: Callable[..., Served]) -> None:
    served = serve()
    assert 2 <= len(served.peer.recv(1000)) <= messages.MAX_BYTES
    body, to = messages.pack_loads([]), (RELAY_HOST, served.udp)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(body, to)
    served.peer.sendto(bytes(messages.MAX_BYTES + 1), to)
    served.peer.sendto(body, to)
    served.peer.sendto(b"\0", to)
    wait_until(lambda: served.count("datagrams_heard") == 2)
    assert served.count("datagrams_ignored") == 2 and served.count("module_faults") == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_answers_what_was_taken_and_leaves_with_zero(
    serve: Callable[..., Served], number: signal.Signals
) -> None:
    served = serve(modes="slow0.9")
    busy, idle = served.client(), served.client()
    busy.send(build_query("once"))
    wait_until(served.queries)
    served.process.send_signal(number)
    wait_until(lambda: "msg=stopping" in served.log.read_text())
    late = served.client()
    late.send(build_query("once"))
    assert idle.answer()[0] == "" and served.process.poll() is None
    assert busy.answer()[:2] == COMPLETED and late.answer()[:2] == COMPLETED
    assert served.process.wait(5) == 0
    assert "reqs.once.completed=2" in served.log.read_text().splitlines()[-1]


def test_clients_that_go_on_asking_through_a_stop_lose_no_req(serve: Callable[..., Served]) -> None:
    """After SIGTERM they send on every connection that stays open.

    Each req is answered, or its connection closed without a byte for it, between reqs, so that it may be sent
    again elsewhere.
    """
    served, ends = serve(modes="slow0.01"), []

    def go_on(client: PgClient) -> None:
        answers = [client.ask(build_query("once"))]
        while answers[-1][0]:
            answers.append(client.ask(build_query("once")))
        ends.append([answer[:2] for answer in answers])

    threads = [threading.Thread(target=go_on, args=(served.client(),)) for _ in range(8)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(served.queries()) > 80)
    served.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "msg=stopping" in served.log.read_text())
    leaving, asked = served.client(pack_message(b"Q", b"\0")), len(served.queries())
    assert leaving.answer()[0] == "IZ"  # still ready for what the front sends on
    wait_until(lambda: len(served.queries()) > asked + 8)
    assert served.process.wait(5) == 0
    for thread in threads:
        thread.join(5)
    assert len(ends) == 8 and all(set(end[:-1]) == {COMPLETED} and end[-1] == ("", "") for end in ends)
    with pytest.raises(ConnectionRefusedError):
        served.client()
    assert sum(len(end) - 1 for end in ends) == len(served.queries())


def test_an_older_list_at_a_new_address_takes_back_no_drain(serve: Callable[..., Served]) -> None:
    served = serve(units=2)
    client, (first, second) = served.client(), served.units
    older, entries = DirectoryStandIn(), served.directory.full_list()["members"]
    older.entries = {entry["id"]: dict(entry) for entry in entries}
    served.directory.put("s-0", first.address, phase="leaving")
    served.directory.revision += 10
    wait_until(lambda: served.count("directory_calls") >= 2 and client.ask(build_query())[:2] == COMPLETED)
    before = len(first.queries)
    served.path.write_text(json.dumps(served.config | {"discovery": older.address}))
    served.process.send_signal(signal.SIGHUP)
    wait_until(lambda: older.calls >= 2)
    for _ in range(40):
        assert client.ask(build_query())[:2] == COMPLETED
    assert len(first.queries) == before and len(second.queries) >= 40


def test_without_free_descriptors_the_relay_does_not_spin(serve: Callable[..., Served]) -> None:
    served = serve(files=24)
    first = served.client()
    assert first.ask(build_query())[:2] == COMPLETED
    crowd = [socket.create_connection((RELAY_HOST, served.port)) for _ in range(40)]
    wait_until(lambda: served.count("clients_no_descriptor"))
    ticks = lambda: sum(map(int, Path(f"/proc/{served.process.pid}/stat").read_text().split()[13:15]))  # noqa: E731
    before = ticks()
    time.sleep(0.5)
    assert ticks() - before < 25
    for sock in crowd:
        sock.close()
    assert first.ask(build_query())[:2] in (COMPLETED, SHED)
    assert served.client().ask(build_query())[:2] == COMPLETED


def test_clients_beyond_the_limit_are_told_so_at_once(serve: Callable[..., Served]) -> None:
    served = serve(sockets=60, modes="slow1")
    crowd = [served.client() for _ in range((60 - 60 // 8 - 16) * 9 // 20)]
    for client in crowd:
        client.send(build_query())
    wait_until(served.queries)
    late = served.client(first=pack_message(b"Q", build_query("once").encode() + b"\0"))
    assert late.answer()[:2] == ("E", "53300") and not any("c=once" in query for query in served.queries())
    assert [client.answer()[:2] in (COMPLETED, SHED) for client in crowd] == [True] * len(crowd)
    crowd.pop().sock.sendall(pack_message(b"X"))
    wait_until(lambda: served.client().ask(build_query())[:2] == COMPLETED)


def test_idle_clients_are_closed_for_new_ones(serve: Callable[..., Served]) -> None:
    served = serve(sockets=60)
    crowd = [served.client() for _ in range((60 - 60 // 8 - 16) * 9 // 20)]
    for client in crowd:
        assert client.ask(build_query())[:2] == COMPLETED
    for turn in range(40):  # more in two seconds than there is room for, and fewer than a third are held
        time.sleep(0.02 if turn else 0.1)
        crowd.append(served.client())
        assert crowd[-1].ask(build_query())[:2] == COMPLETED
    assert crowd[0].answer() == ("", "", b"") and crowd[-1].ask(build_query())[:2] == COMPLETED
    assert len(select.select([client.sock for client in crowd[1:]], [], [], 0)[0]) >= len(crowd) - 60 // 3


def test_connections_that_never_sent_are_closed_first(serve: Callable[..., Served]) -> None:
    served = serve(sockets=60)
    usual = served.client()
    silent = [socket.create_connection((RELAY_HOST, served.port)) for _ in range(60)]
    began = time.monotonic()
    assert usual.ask(build_query())[:2] == COMPLETED and served.client().ask(build_query())[:2] == COMPLETED
    assert time.monotonic() - began < 1
    silent[0].settimeout(1)
    assert silent[0].recv(1) == b""


@pytest.mark.parametrize(
    "first, letters",
    [
        (b"", ""),
        (STARTUP[:10], ""),
        (STARTUP, "ready"),
        (STARTUP + b"Q", "late"),
        (STARTUP + b"Q\0\0\1\0SELECT", "late"),
    ],
)
def test_an_unfinished_startup_is_closed_within_3_s(shared: Served, first: bytes, letters: str) -> None:
    began = time.monotonic()
    with socket.create_connection((RELAY_HOST, shared.port)) as raw:
        raw.settimeout(4)
        for byte in first:
            raw.sendall(bytes((byte,)))  # a bound on each read would never fall due
        heard = b"".join(iter(lambda: raw.recv(1000), b""))
    assert 1.9 < time.monotonic() - began < 3
    assert (
        heard.endswith(READY)
        if letters == "ready"
        else (b"C08P01" in heard if letters == "late" else heard == b"")
    )


def test_values_pass_both_ways_beside_unfinished_ones_at_the_smallest_memory(
    serve: Callable[..., Served],
) -> None:
    served = serve(modes="large", memory=32, sockets=256)
    half = [served.client() for _ in range(60)]
    for client in half:
        client.sock.sendall(
            pack_message(b"Q", build_query("mark").replace("9f03", "9f" * 65536).encode())[:-9]
        )
    for route in ("mark", "read"):
        letters, _, row = served.client().ask(build_query(route).replace("9f03", "9f" * 65536))
        assert letters == "TDCZ" and row.endswith(LARGE_BLOB)
    assert served.count("clients_over_memory") > 0
    status = Path(f"/proc/{served.process.pid}/status").read_text()
    assert int(re.search(r"VmHWM:\s+(\d+)", status)[1]) < 28 << 10


def test_a_client_with_repeated_faults_is_delayed_and_closed(shared: Served) -> None:
    client, began = shared.client(), time.monotonic()
    client.sock.sendall(pack_message(b"Q", b"HELLO\0") * 300)
    results = [client.answer()[0] for _ in range(4)]
    assert results == ["EZ", "EZ", "EZ", "E"] and 1 < time.monotonic() - began < 3
    with contextlib.suppress(ConnectionError):
        assert client.stream.read() == b""


def program(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-B", "-m", "laurelcourse", *words],
        cwd=ROOT,
        capture_output=True,
        check=False,
        timeout=10,
    )


@pytest.mark.parametrize(
    "change, message",
    [
        (lambda config: config.pop("listen"), "lacks the field 'listen'"),
        (lambda config: config["settings"].pop("tick"), "lacks the field 'settings.tick'"),
        (lambda config: config.update(discovery="nowhere"), "unreadable 'discovery'"),
        (lambda config: config["pipeline"]["news"].update(phase="Gone"), "'pipeline.news'"),
        (lambda config: config["known"].pop("members"), "'known'"),
        (lambda config: config["settings"]["classes"][1].update(effect="odd"), "'settings.classes.1.effect'"),
        (lambda config: config["settings"].update(classes=[]), "no route in 'settings.classes'"),
        (lambda config: config["settings"]["classes"][0].update(aim=0), "'settings.classes.0.aim' under 1,"),
        (lambda config: config["settings"].update(balancers=0), "'settings.balancers' under 1,"),
        (lambda config: config["settings"].update(tick=0), "'settings.tick' under 0.001,"),
        (
            lambda config: config["settings"]["obligations"].update(tip_after=0),
            "obligations.tip_after' under",
        ),
        (lambda config: config["limits"].update(sockets=20), "'limits.sockets' under 32,"),
        (lambda config: config.update(peers=["here"]), "unreadable 'peers'"),
        (lambda config: config.update(seed="xyz"), "unreadable 'seed'"),
        (None, "is not JSON"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check"])
def test_a_bad_configuration_is_one_plain_line_and_exit_2(
    shared: Served, tmp_path: Path, change: Callable | None, message: str, command: str
) -> None:
    config = json.loads(json.dumps(shared.config))
    if change:
        change(config)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config) if change else "{")
    done = program(command, "--config", str(path))
    error = done.stderr.decode()
    assert done.returncode == 2 and str(path) in error and message in error and error.count("\n") == 1


def test_check_and_version_say_what_is_there(shared: Served) -> None:
    routes = len(PLATFORM_SETTINGS["classes"])
    for words, message in (
        (["check", "--config", str(shared.path)], f"{routes} routes, 2 units"),
        (["version"], VERSION),
        (["--help"], "serve"),
    ):
        done = program(*words)
        assert done.returncode == 0 and message in done.stdout.decode()


def test_a_client_that_reads_late_gets_whole_answers_and_keeps_nobody_waiting(shared: Served) -> None:
    for unit in shared.units:
        unit.mode = "large"
    before, late = len(shared.queries()), shared.client()
    for _ in range(200):
        late.send(build_query())
    assert shared.client().ask(build_query())[:2] == COMPLETED
    wait_until(lambda: len(shared.queries()) > before + 20)
    for _ in range(200):
        letters, _, row = late.answer()
        assert letters == "TDCZ" and row.endswith(LARGE_BLOB)


WATCHED = """
import atexit, os, runpy, sys
seen = set()
refused = ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen")
def heed(event, args):
    if event in refused or event in ("socket.bind", "socket.connect") and isinstance(args[1], (str, bytes)):
        seen.add(event)
sys.addaudithook(heed)
for name in ("sendfile", "splice"):
    setattr(os, name, lambda *_, name=name: seen.add(name))
def tell():
    named = {"cryptography", "h11", "lxml", "securesystemslib", "tuf"} & set(sys.modules)
    print("watched", len(sys.modules) > 50, sorted(seen | named), file=sys.stderr)
atexit.register(tell)
runpy.run_module("laurelcourse", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize(
    "also, expected", [("", "[]"), ("import h11; os.system('true')", "['h11', 'os.system']")]
)
def test_run_loads_no_library_of_other_fronts(serve: Callable[..., Served], also: str, expected: str) -> None:
    served = serve(watched=WATCHED.replace("runpy.run", f"{also}\nrunpy.run"))
    assert served.client().ask(build_query())[:2] == COMPLETED
    served.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "configuration taken" in served.log.read_text())
    assert served.client().ask(build_query())[:2] == COMPLETED
    served.process.send_signal(signal.SIGTERM)
    assert served.process.wait(10) == 0
    assert f"watched True {expected}" in served.log.read_text()


@pytest.mark.parametrize(
    "change",
    [
        lambda config: config["settings"].update(locality="elsewhere"),
        lambda config: config.update(peers=[]),
        lambda config: config.update(
            peers=[f"127.9.{one // 250}.{one % 250 + 1}:7946" for one in range(600)]
        ),
        lambda config: config["settings"].update(balancers=600, me=599),
        lambda config: config["known"].update(members=config["known"]["members"] * 3),
        lambda config: config["known"]["members"][1].update(
            host_port=config["known"]["members"][0]["host_port"]
        ),
        lambda config: config["known"].update(members=[]),
        lambda config: config["limits"].update(sockets=32, memory_mb=24),
    ],
)
def test_an_unusual_but_valid_configuration_is_served(
    shared: Served, tmp_path: Path, change: Callable
) -> None:
    config = json.loads(json.dumps(shared.config)) | {
        "listen": f"{RELAY_HOST}:{reserve_port()}",
        "peer_listen": f"{RELAY_HOST}:{reserve_port(socket.SOCK_DGRAM)}",
    }
    change(config)
    path, log = tmp_path / "config.json", tmp_path / "log"
    path.write_text(json.dumps(config))
    for unit in shared.units:
        unit.mode = "ok"
    with (
        log.open("wb") as log_file,
        subprocess.Popen(
            [sys.executable, "-B", "-m", "laurelcourse", "serve", "--config", str(path)],
            cwd=ROOT,
            stderr=log_file,
        ) as process,
    ):
        try:
            wait_until(lambda: "msg=serving" in log.read_text() or process.poll() is not None)
            port = int(config["listen"].split(":")[1])
            wait_until(lambda: PgClient(port).ask(build_query())[:2] == COMPLETED)
            process.send_signal(signal.SIGTERM)
            assert process.wait(10) == 0 and "Traceback" not in log.read_text()
        finally:
            process.kill()
