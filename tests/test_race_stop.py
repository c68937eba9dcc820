"""A stop: what arrives as the listener and the connections close is answered, or known as not taken."""

import contextlib
import errno
import signal
import socket
import threading
import time
from collections.abc import Callable

import pytest
from conftest import Served

from laurelcourse.net.shutdown import DRAINING, LEAVING, Shutdown
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.postgres import LARGER_BLOB, STARTUP, PgClient, build_query, pack_message

COMPLETED, ERRORED, SHED = ("TDCZ", ""), ("EZ", "58000"), ("EZ", "53300")
FINAL = ("TDCZ", "EZ", "E")  # a completed req, one shed or errored, one told that there is no room
STOPPED = 4.0  # s: the longest deadline of these settings and 0.7 s, and some for the machine


def asked(route: str = "once", wait: int = 2000) -> bytes:
    return pack_message(b"Q", build_query(route, wait).encode() + b"\0")


class Client(PgClient):
    """A client that writes when it is told to, and reads nothing before."""

    def __init__(self, port: int, first: bytes = STARTUP, small: bool = False) -> None:
        self.sock = socket.socket()
        if small:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.settimeout(8)
        self.sock.connect((RELAY_HOST, port))
        self.stream = self.sock.makefile("rb")
        self.sock.sendall(first)

    def close(self) -> None:
        self.stream.close()
        self.sock.close()

    def last(self) -> tuple[str, str]:
        """Returns the message types and the code of its answer, after the greeting."""
        letters, code, _ = self.answer()
        return self.answer()[:2] if letters[:1] == "R" else (letters, code)


def told(served: Served) -> float:
    """Sends SIGTERM, and returns when."""
    served.process.send_signal(signal.SIGTERM)
    began = time.monotonic()
    wait_until(lambda: "msg=stopping" in served.log.read_text())
    return began


def refused(served: Served) -> bool:
    """Returns whether the listener has closed; a connection that comes up as it closes is reset."""
    try:
        socket.create_connection((RELAY_HOST, served.port)).close()
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    return False


def over(served: Served, began: float) -> float:
    """Returns the seconds from SIGTERM to the end, and checks that it is one without a fault."""
    assert served.process.wait(20) == 0
    ended = time.monotonic() - began
    assert "Traceback" not in served.log.read_text()
    return ended


def test_connections_in_the_backlog_of_a_closing_listener_are_answered(
    serve: Callable[..., Served],
) -> None:
    room = 60 - 60 // 8 - 16
    for _ in range(5):  # one that this test saw too late, its door nearly closed, is made anew
        served = serve(sockets=60, modes="silent")
        busy = [Client(served.port, STARTUP + asked()) for _ in range(room * 9 // 20)]
        wait_until(lambda served=served, busy=busy: len(served.queries()) == len(busy))
        began = told(served)
        while time.monotonic() < began + 0.2:
            time.sleep(0.01)
        # Told that there is no room, and open for half a second more: none is accepted beside them.
        full = [Client(served.port) for _ in range(room // 10)]
        wait_until(
            lambda served=served, began=began, arrived=(*busy, *full): time.monotonic() > began + 0.4
            or served.count("clients_accepted") == len(arrived)
        )
        served.process.send_signal(signal.SIGSTOP)
        if time.monotonic() < began + 0.4:
            break
        served.process.kill()
    # A queue holds one more than it was asked to.
    crowd = [Client(served.port, STARTUP + asked()) for _ in range(61)]
    while time.monotonic() < began + 0.65:  # the longest that the relay waits for its door
        time.sleep(0.01)
    served.process.send_signal(signal.SIGCONT)
    assert [client.last()[0] in FINAL for client in (*crowd, *busy)] == [True] * (61 + len(busy))
    assert over(served, began) < STOPPED


def test_a_stop_without_free_descriptors_accepts_as_others_leave(serve: Callable[..., Served]) -> None:
    served = serve(files=24, modes="silent")
    crowd = [Client(served.port, STARTUP + asked("once", 900)) for _ in range(40)]
    wait_until(lambda: served.count("clients_no_descriptor"))
    began = told(served)
    # None of them closes its connection: the relay does.
    assert [client.last()[0] in FINAL for client in crowd] == [True] * 40
    assert over(served, began) < 8


# What a client has written before the close, and what it writes after, at each blank when welcomed.
ROUND = {
    "welcomed": (STARTUP, [b"", asked()]),
    "startup in halves": (STARTUP[:20], [STARTUP[20:], asked()]),
    "startup and req in halves": (STARTUP[:3], [STARTUP[3:] + asked()]),
    "silent": (b"", [STARTUP, asked()]),
    "req in halves": (STARTUP + asked()[:50], [asked()[50:]]),
    "letter": (STARTUP + b"Q", [asked()[1:]]),
}


def test_a_new_connection_is_answered_whatever_part_of_it_came_before_the_close(
    serve: Callable[..., Served],
) -> None:
    served, ends = serve(), {}
    began = told(served)
    clients = {name: Client(served.port, first) for name, (first, _) in ROUND.items()}
    wait_until(lambda: served.count("clients_accepted") == len(ROUND))
    wait_until(lambda: refused(served))
    for name, client in clients.items():
        *before, last = ROUND[name][1]
        for part in before:
            with contextlib.suppress(ConnectionError):
                client.sock.sendall(part)
            client.answer()  # the welcome
        with contextlib.suppress(ConnectionError):
            client.sock.sendall(last)
    for name, client in clients.items():
        ends[name] = client.answer()[:2] if len(ROUND[name][1]) > 1 else client.last()
        client.close()
    assert ends == dict.fromkeys(ROUND, COMPLETED)
    assert over(served, began) < STOPPED


def test_a_req_in_two_halves_round_the_close_is_answered(serve: Callable[..., Served]) -> None:
    served, words = serve(), [asked() for _ in range(4)]
    cuts = (1, 5, 40, len(words[0]) - 1)
    clients = [served.client() for _ in cuts]
    for each_client, cut, word in zip(clients, cuts, words, strict=True):
        assert each_client.ask(build_query())[:2] == COMPLETED
        each_client.sock.sendall(word[:cut])
    began = told(served)
    wait_until(lambda: refused(served))
    for each_client, cut, word in zip(clients, cuts, words, strict=True):
        each_client.sock.sendall(word[cut:])
    assert [client.answer()[:2] for client in clients] == [COMPLETED] * 4
    assert [client.answer()[0] for client in clients] == [""] * 4
    assert over(served, began) < STOPPED


def test_reqs_asked_ahead_are_answered_in_their_order(serve: Callable[..., Served]) -> None:
    served = serve(modes="slow0.25")
    client = served.client()
    client.sock.sendall(b"".join(asked() for _ in range(6)) + asked()[:-9])
    wait_until(served.queries)
    began = told(served)
    assert [client.answer()[:2] for _ in range(7)] == [COMPLETED] * 6 + [("", "")]
    assert over(served, began) < STOPPED and len(served.queries()) == 6


def test_a_slow_message_does_not_delay_a_stop(serve: Callable[..., Served]) -> None:
    served, words = serve(), asked()
    client, ended = served.client(), threading.Event()
    assert client.ask(build_query())[:2] == COMPLETED

    def drip() -> None:
        with contextlib.suppress(OSError):
            for place in range(len(words) - 1):
                client.sock.sendall(words[place : place + 1])
                if ended.wait(0.1):
                    return

    thread = threading.Thread(target=drip)
    thread.start()
    try:
        assert over(served, told(served)) < 2.5
    finally:
        ended.set()
        thread.join()
    assert len(served.queries()) == 1


def test_a_req_that_crosses_the_close_is_left_unread(serve: Callable[..., Served]) -> None:
    """Its client learns that it was not taken, and may send it again elsewhere."""
    served = serve()
    client = served.client()
    assert client.ask(build_query())[:2] == COMPLETED
    began = told(served)
    assert client.stream.read() == b""  # the relay has closed its side
    client.sock.sendall(asked())
    socket_error = wait_until(lambda: client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 2)
    assert socket_error in (errno.ECONNRESET, errno.EPIPE) and len(served.queries()) == 1
    assert over(served, began) < STOPPED


def test_a_client_that_leaves_after_the_close_delays_nobody(
    serve: Callable[..., Served],
) -> None:
    served = serve()
    client = served.client()
    assert client.ask(build_query())[:2] == COMPLETED
    began = told(served)
    assert client.stream.read() == b""
    closed = time.monotonic()
    client.sock.sendall(asked())
    client.stream.close()
    client.sock.close()
    over(served, began)
    assert time.monotonic() - closed < 0.45  # the interpreter's own end is in it


def test_an_answer_half_read_as_the_connection_closes_is_whole(serve: Callable[..., Served]) -> None:
    served = serve(modes="larger")
    late = Client(served.port, STARTUP + asked(), small=True)
    wait_until(served.queries)
    began = told(served)
    while time.monotonic() < began + 1:  # longer than the door and what it waits for a client to close
        time.sleep(0.02)
    letters, code = late.answer()[:2]
    letters, code, row = late.answer()
    assert (letters, code) == COMPLETED and row.endswith(LARGER_BLOB)
    assert over(served, began) < STOPPED


def test_a_req_that_no_unit_answers_has_its_answer_before_the_kill(serve: Callable[..., Served]) -> None:
    """It is taken as SIGTERM comes, with the longest deadline there is; SIGKILL may come 0.7 s later."""
    served = serve(modes="silent")
    client, began = served.client(), time.monotonic()
    client.sock.sendall(asked("once", 3000))
    wait_until(served.queries)
    stopped = told(served)
    assert client.answer()[:2] == ERRORED and time.monotonic() - began < 3.05
    assert over(served, stopped) < 3.7


def test_an_effect_whose_client_has_gone_is_not_begun_again(serve: Callable[..., Served]) -> None:
    served = serve(modes="slow1")
    gone, stays = served.client(), served.client()
    for client in (gone, stays):
        client.sock.sendall(asked())
    wait_until(lambda: len(served.queries()) == 2)
    began = told(served)
    gone.stream.close()
    gone.sock.close()
    assert stays.answer()[:2] == COMPLETED and over(served, began) < STOPPED
    last = served.log.read_text().splitlines()[-1]
    assert "reqs.once.completed=1" in last and len(served.queries()) == 2


@pytest.mark.parametrize("accepted, closes", [(0, 450), (149, 450), (150, 450), (250, 550), (400, 600)])
def test_a_quiet_listener_stays_open_for_the_documented_time(accepted: int, closes: int) -> None:
    stop = Shutdown(300, 600, 450)
    assert stop.begin(0)
    assert stop.step(closes - 1, accepted, 1) == LEAVING and stop.step(closes, accepted, 1) == DRAINING


def test_one_that_connects_late_in_a_stop_is_answered(serve: Callable[..., Served]) -> None:
    """Nobody else connects, and connections may come for 0.4 s."""
    served = serve()
    began = told(served)
    while time.monotonic() < began + 0.36:
        time.sleep(0.005)
    assert served.client().ask(build_query("once"))[:2] == COMPLETED
    assert over(served, began) < STOPPED


def test_what_is_asked_too_late_to_be_answered_before_the_kill_is_shed(serve: Callable[..., Served]) -> None:
    """What comes over 0.7 s after SIGTERM, and has no answer when SIGKILL comes, is lost."""
    served = serve(modes="slow1.2")
    client = served.client()
    client.sock.sendall(asked())
    wait_until(served.queries)
    began = told(served)
    while time.monotonic() < began + 0.8:
        time.sleep(0.01)
    client.sock.sendall(asked(wait=3000))
    assert [client.answer()[:2] for _ in range(2)] == [COMPLETED, SHED]
    assert over(served, began) < STOPPED and len(served.queries()) == 1
