"""Clients that disconnect while their req waits, behind other reqs, or before it is read."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import Served

from laurelcourse.lab.tuf_rig import TufRig
from laurelcourse.standins.base import RELAY_HOST, reset_on_close, wait_until
from laurelcourse.standins.mirror import MirrorStandIn
from laurelcourse.standins.postgres import PgClient, build_query, pack_message
from laurelcourse.standins.repository import TufRepository

COMPLETED = ("TDCZ", "")
FILES, MANIFESTS = "/image/targets/", "/director/manifest"
LATE = 0.3  # seconds after a close: what is sent on later than that counts against the relay


def asked(words: str) -> bytes:
    return pack_message(b"Q", words.encode() + b"\0")


def large(route: str = "mark") -> bytes:
    """Returns a statement that fills more than a buffer's usual size."""
    return asked(build_query(route).replace("9f03", "9f" * 4096))


def leave(client: PgClient, how: str) -> float:
    """Closes a client's connection, and returns when."""
    client.stream.close()
    return hang_up(client.sock, how)


def hang_up(sock: socket.socket, how: str) -> float:
    if how == "rst":
        reset_on_close(sock)
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()
    return time.monotonic()


def stopped(process: subprocess.Popen) -> None:
    """Stops the process, so that what comes meanwhile comes between two of its statements."""
    os.kill(process.pid, signal.SIGSTOP)
    path = Path(f"/proc/{process.pid}/stat")
    wait_until(lambda: path.read_text().rsplit(") ", 1)[1][0] == "T")


def goes_on(process: subprocess.Popen) -> None:
    os.kill(process.pid, signal.SIGCONT)


WAYS = pytest.mark.parametrize("how", ["fin", "rst", "half"])


@WAYS
def test_a_close_is_seen_behind_pipelined_reqs(serve: Callable[..., Served], how: str) -> None:
    served = serve(modes="slow0.6")
    client = served.client()
    client.sock.sendall(asked(build_query("once")) + large() * 2)
    wait_until(served.queries)
    leave(client, how)
    wait_until(lambda: served.count("reqs.once.withdrawn"))  # at its try's end: the close was heard of before
    assert served.client().ask(build_query())[:2] == COMPLETED
    assert not any("c=mark" in query for query in served.queries()) and served.count("module_faults") == 0


@WAYS
@pytest.mark.parametrize("behind", [1, 5])
def test_reqs_that_came_with_a_close_are_not_sent(
    serve: Callable[..., Served], how: str, behind: int
) -> None:
    served = serve()
    client, other = served.client(), served.client()
    assert client.ask(build_query())[:2] == other.ask(build_query())[:2] == COMPLETED
    stopped(served.process)
    client.sock.sendall(b"".join(asked(build_query("once")) for _ in range(behind)))
    leave(client, how)
    time.sleep(2 * LATE)
    goes_on(served.process)
    assert other.ask(build_query("mark"))[:2] == COMPLETED
    assert not any("c=once" in query for query in served.queries())


@WAYS
def test_reqs_behind_a_delayed_error_are_not_sent_after_a_close(
    serve: Callable[..., Served], how: str
) -> None:
    served = serve()
    client = served.client()
    client.sock.sendall(pack_message(b"Q", b"HELLO\0") * 2 + asked(build_query("once")))
    assert client.answer()[0] == "EZ"
    leave(client, how)
    wait_until(lambda: served.count("clients_faults.42601") == 2)
    assert served.client().ask(build_query("mark"))[:2] == COMPLETED
    assert not any("c=once" in query for query in served.queries())
    assert served.count("reqs.once.withdrawn") == (how != "rst")  # by then the word of the fault finds nobody


@WAYS
def test_only_the_first_of_pipelined_reqs_is_sent(serve: Callable[..., Served], how: str) -> None:
    served = serve(modes="slow0.4")
    client = served.client()
    client.sock.sendall(b"".join(asked(build_query("once")) for _ in range(5)))
    wait_until(served.queries)
    leave(client, how)
    wait_until(lambda: served.count("reqs.once.withdrawn") == 1)
    assert len(served.queries()) == 1 and served.client().ask(build_query())[:2] == COMPLETED


@WAYS
def test_answers_that_cross_a_close_send_nothing_on_behind_it(serve: Callable[..., Served], how: str) -> None:
    """Closes the connection at every point of a sequence of answers."""
    served, left = serve(), []
    for turn in range(12):
        client = served.client()
        client.sock.sendall(b"".join(asked(build_query("once", more=f",novel={turn}")) for _ in range(30)))
        for _ in range(turn):
            assert client.answer()[:2] == COMPLETED
        left.append(leave(client, how))
    assert served.client().ask(build_query())[:2] == COMPLETED
    for unit in served.units:
        for query, when in zip(unit.queries, unit.times, strict=True):
            if "novel=" in query:
                assert when - left[int(query.split("novel=")[1].split()[0])] < LATE
    ends = sum(served.count(f"reqs.once.{end}") for end in ("completed", "withdrawn"))
    assert ends >= sum("c=once" in query for query in served.queries())
    assert served.count("module_faults") == served.count("tasks_died") == 0


@pytest.mark.parametrize("route", ["once", "mark"])
@pytest.mark.parametrize("wait", [0, 0.6])
def test_an_id_that_may_have_run_does_not_run_again(
    serve: Callable[..., Served], route: str, wait: float
) -> None:
    """Guards against an id that ran twice when it came again after its client had left."""
    served, words = serve(modes="slow0.4"), build_query(route)
    client = served.client()
    client.send(words)
    wait_until(lambda: words.split(",d=")[0] in "".join(served.queries()))
    leave(client, "fin")
    time.sleep(wait)
    again = served.client()
    for _ in range(3):
        assert again.ask(words)[:2] == ("EZ", "22023")
    assert sum(words.split(",d=")[0] in query for query in served.queries()) == 1
    fresh = served.client().ask(build_query(route))
    assert fresh[:2] == COMPLETED  # as any other id


def test_an_id_that_never_ran_may_come_again(serve: Callable[..., Served]) -> None:
    served, words = serve(modes="busy"), build_query("once")
    assert served.client().ask(words)[:2] == ("EZ", "53300")
    for unit in served.units:
        unit.mode = "ok"
    wait_until(lambda: served.client().ask(words)[:2] == COMPLETED)


def fill(sock: socket.socket, raw: bytes) -> None:
    """Writes until neither side's kernel takes more, so that a close stays behind what is not sent yet."""
    sock.setblocking(False)
    left, stalled_since = memoryview(raw), time.monotonic()
    while left and time.monotonic() < stalled_since + 0.1:
        try:
            left = left[sock.send(left) :]
            stalled_since = time.monotonic()
        except BlockingIOError:
            time.sleep(0.002)


@pytest.mark.parametrize("route", ["read", "mark"])
def test_no_further_try_is_made_for_a_client_whose_close_is_hidden(
    serve: Callable[..., Served], route: str
) -> None:
    """Guards against retries up to 1.4 s after a client left with much still unread."""
    served = serve(units=4)
    for _ in range(5):
        assert served.client().ask(build_query())[:2] == COMPLETED
    for unit in served.units:
        unit.mode = "silent"
    client = served.client()
    fill(client.sock, b"".join(asked(build_query(route, more=",novel=1")) for _ in range(30_000)))
    left = leave(client, "fin")
    time.sleep(2.5)
    late = [
        round(when - left, 2)
        for unit in served.units
        for query, when in zip(unit.queries, unit.times, strict=True)
        if "novel=1" in query and when > left + LATE
    ]
    assert late == [] and served.count("reqs_of_hidden_clients") == 1
    assert served.count("module_faults") == served.count("tasks_died") == 0


# -- kiosks


@pytest.fixture
def kiosks(tmp_path: Path) -> Iterator[TufRig]:
    """Starts a relay with files of two repositories, and a director that drops repeated manifests."""
    image, director = TufRepository(consistent=False), TufRepository()
    for repository in (image, director):
        repository.add("first.bin", b"first" * 100)
        repository.add("next.bin", b"next" * 100)
        repository.publish()
    both = {"/image/": image, "/director/": director}
    mirrors = [MirrorStandIn(both, director="deduped") for _ in range(3)]
    changed = {
        "limits": {"floor-over": "300ms"},
        "uptane": {
            "image": "image",
            "director": "director",
            "manifests": MANIFESTS,
            "counter": "report_counter",
        },
    }
    with contextlib.closing(TufRig(tmp_path, both, mirrors, overrides=changed)) as rig:
        yield rig.start()


def kiosk(rig: TufRig) -> socket.socket:
    sock = socket.create_connection((RELAY_HOST, rig.ports[0]))
    sock.settimeout(5)
    return sock


def wanted(name: str, padding: int = 0) -> bytes:
    return f"GET {FILES}{name} HTTP/1.1\r\nHost: a\r\nX: {'x' * padding}\r\n\r\n".encode()


def report(count: int) -> bytes:
    return json.dumps({"signatures": [], "signed": {"vin": "v", "report_counter": count}}).encode()


def posted(count: int) -> bytes:
    body = report(count)
    return f"POST {MANIFESTS} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def asked_since(rig: TufRig, words: str, since: float) -> list[float]:
    return [
        round(request.at - since, 2)
        for mirror in rig.mirrors
        for request in mirror.requests
        if words in request.path and request.at > since + LATE
    ]


@WAYS
@pytest.mark.parametrize(
    "first, path, route",
    [(wanted("first.bin"), "first.bin", "target"), (posted(1), MANIFESTS, "manifest")],
    ids=["file", "manifest"],
)
def test_a_tuf_clients_close_is_seen_behind_pipelined_requests(
    kiosks: TufRig, how: str, first: bytes, path: str, route: str
) -> None:
    """The mirror does not answer: no other mirror is asked, and nothing that was pipelined is sent on."""
    assert kiosks.request(FILES + "next.bin")[0] == 200
    for mirror in kiosks.mirrors:
        mirror.modes[route] = "silent"
    sock = kiosk(kiosks)
    sock.sendall(first + wanted("next.bin", 3000) * 3)
    wait_until(lambda: kiosks.count_mirror_requests(path))
    left = hang_up(sock, how)
    time.sleep(2.5)  # enough for its try to be given up and made elsewhere, or for its answer
    assert [asked_since(kiosks, words, left) for words in (path, "next.bin")] == [[], []]
    assert kiosks.counter(f"reqs.{route}.withdrawn") == kiosks.counter("clients_left") == 1
    assert kiosks.counter("module_faults") == kiosks.counter("tasks_died") == 0


@WAYS
@pytest.mark.parametrize("behind", [1, 5])
def test_no_file_is_fetched_for_a_client_that_closed_with_its_request(
    kiosks: TufRig, how: str, behind: int
) -> None:
    sock, process = kiosk(kiosks), kiosks.relays[0].process
    assert kiosks.request(FILES + "first.bin")[0] == 200
    stopped(process)
    sock.sendall(wanted("next.bin") * behind)
    left = hang_up(sock, how)
    time.sleep(2 * LATE)
    goes_on(process)
    assert kiosks.request(FILES + "first.bin")[0] == 200
    time.sleep(LATE)
    assert asked_since(kiosks, "next.bin", left) == []


@WAYS
def test_no_manifest_is_forwarded_for_a_client_that_closed_with_it(kiosks: TufRig, how: str) -> None:
    """The manifest is not recorded as under way or taken either, so it can be posted again."""
    sock, process = kiosk(kiosks), kiosks.relays[0].process
    assert kiosks.request(MANIFESTS, "POST", report(1))[0] == 200
    stopped(process)
    sock.sendall(posted(2))
    left = hang_up(sock, how)
    time.sleep(2 * LATE)
    goes_on(process)
    assert kiosks.request(MANIFESTS, "POST", report(1))[0] == 200  # the answer that was kept
    time.sleep(LATE)
    assert asked_since(kiosks, MANIFESTS, left) == []
    assert kiosks.request(MANIFESTS, "POST", report(2))[0] == 200
    assert [key for mirror in kiosks.mirrors for key in mirror.manifests].count(("v", 2)) == 1


@pytest.mark.parametrize(
    "first, path, route",
    [(wanted("first.bin"), "first.bin", "target"), (posted(1), MANIFESTS, "manifest")],
    ids=["file", "manifest"],
)
def test_no_other_mirror_is_asked_for_a_client_whose_close_is_hidden(
    kiosks: TufRig, first: bytes, path: str, route: str
) -> None:
    assert kiosks.request(FILES + "next.bin")[0] == 200
    for mirror in kiosks.mirrors:
        mirror.modes[route] = "silent"
    sock = kiosk(kiosks)
    fill(sock, first + wanted("next.bin", 3000) * 2000)
    left = hang_up(sock, "fin")
    time.sleep(2.5)
    assert [asked_since(kiosks, words, left) for words in (path, "next.bin")] == [[], []]
    assert kiosks.counter("module_faults") == kiosks.counter("tasks_died") == 0
