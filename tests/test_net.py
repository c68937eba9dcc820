"""Parsers with input split at every byte, the scheduler's waits, and the life of a req."""

import json
import os
import socket
from types import SimpleNamespace

import pytest

from laurelcourse import interface as face
from laurelcourse.fronts.postgres import wire as postgres
from laurelcourse.fronts.postgres.exchange import Exchange
from laurelcourse.net import http, payloads
from laurelcourse.net.counters import Counters
from laurelcourse.net.idle_limit import IdleLimit
from laurelcourse.net.limits import limits
from laurelcourse.net.membership import MembershipFilter
from laurelcourse.net.pool import Pool
from laurelcourse.net.req import GONE, ReqLifecycle
from laurelcourse.net.scheduler import IO, LATE, MAIL, READ, SHUT, Clock, Mailbox, Scheduler
from laurelcourse.net.shutdown import DRAINING, LEAVING, OVER, SERVING, Shutdown
from laurelcourse.net.spent_ids import SpentIds
from laurelcourse.net.tries import OUTCOME, TryRunner
from laurelcourse.settings import SettingsTree
from laurelcourse.standins.base import STAND_IN_HOST
from laurelcourse.standins.postgres import READY, ROW, UnitStandIn, build_query, pack_error, pack_message
from laurelcourse.standins.settings import PLATFORM_SETTINGS

TAGGED = ROW.replace(b"\x0dSELECT 1", b"\x0fINSERT 0 1")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;x=1\r\nhello\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n"
)


@pytest.mark.parametrize(
    "raw, status, body",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, b"hello"),
        (CHUNKED, 200, b"hello0123456789"),
        (b"HTTP/1.1 400 Bad Request\r\ncontent-length:0\r\n\r\n", 400, b""),
        (b"HTTP/1.0 500 Broken\r\n\r\nrest", 500, b"rest"),
    ],
)
def test_an_answer_is_the_same_however_it_is_split(raw: bytes, status: int, body: bytes) -> None:
    for cut in range(len(raw) + 1):
        for pieces in ((raw[:cut], raw[cut:]), [raw[at : at + 1] for at in range(len(raw))]):
            response = http.Response(100)
            for piece in pieces:
                response.feed(piece)
            response.end_of_stream()
            assert response.done and response.head.status == status and response.take() == body


@pytest.mark.parametrize(
    "raw",
    [
        b"HELLO\r\n\r\n",
        b"HTTP/1.1 abc Odd\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nmore",
        b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + bytes(200),
        CHUNKED.replace(b"5;", b"g;"),
        CHUNKED.replace(b"hello\r\n", b"hello.."),
        CHUNKED.replace(b"5;", b"-5;"),
        CHUNKED + b"more",
        b"x" * (1 << 15),
        CHUNKED.replace(b"5;", b"+5;"),
        CHUNKED.replace(b"5;", b"0x5;"),
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 \xb2\xb2\xb2 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent\x07Length: 1\r\n\r\n",
    ],
)
def test_a_bad_answer_is_refused(raw: bytes) -> None:
    with pytest.raises(http.HttpError):
        http.Response(100).feed(raw)


def test_events_are_the_same_however_they_are_split() -> None:
    raw = (
        b": life\n:\n\nevent: one\ndata: a=1&b=2\n\nevent: two\ndata: x\ndata: y\r\n\r\n"
        b"event: none\n\nid: 3\nevent:three\ndata:z\n\n"
    )
    whole = [("one", "a=1&b=2"), ("two", "x\ny"), ("three", "z")]
    for cut in range(len(raw) + 1):
        events = http.EventParser(100)
        assert events.feed(raw[:cut]) + events.feed(raw[cut:]) == whole
    for bad in (bytes(101), b"evont: one\n", b"event: o\xffe\n", b"data: x\n\n", b"event: O*E\ndata: x\n\n"):
        with pytest.raises(http.HttpError):
            http.EventParser(100).feed(bad)


def test_frames_wait_for_their_last_byte() -> None:
    raw = pack_message(b"Q", b"text\0")
    for end in range(len(raw)):
        assert postgres.parse_frame(raw, 0, end, 100) is None
    assert postgres.parse_frame(raw + b"X", 0, len(raw) + 1, 100) == (ord("Q"), 5, len(raw))
    assert postgres.parse_frame(pack_message(b"Q", bytes(200))[:5], 0, 5, 100).end == 205
    with pytest.raises(postgres.ProtocolError):
        postgres.parse_frame(b"Q\0\0\0\3", 0, 5, 100)


@pytest.mark.parametrize(
    "raw, whole, code, ready",
    [
        (ROW + READY, ROW, "", True),
        (pack_error("53300") + READY, None, "53300", True),
        (ROW, ROW, "", False),
        (pack_error("XX000"), None, "XX000", False),
        (TAGGED + READY, TAGGED, "", True),
    ],
)
def test_a_units_answer(raw: bytes, whole: bytes | None, code: str, ready: bool) -> None:
    answer, at = postgres.Answer(), 0
    while frame := postgres.parse_unit_frame(raw, at, len(raw), 1000):
        answer.take(raw[at : frame.end], "gauges")
        at = frame.end
    assert (answer.whole(), answer.code, answer.ready) == (whole, code, ready)


@pytest.mark.parametrize(
    "raw",
    [
        ROW.replace(b"blob\0", b"blobs"),
        ROW.replace(b"\0\1blob", b"\0\2blob"),
        ROW.replace(b"SELECT 1", b"SELECT x"),
        ROW.replace(b"SELECT 1", b"SELECT 2"),
        ROW.replace(b"SELECT 1\0", b"SELECT 10"),
        ROW.replace(b"\0\0\0\2\x9f", b"\0\0\0\3\x9f"),
        ROW.replace(b"\0\0\0\2\x9f", b"\xff\xff\xff\xff\x9f"),
        ROW + pack_message(b"Z", b"T"),
        ROW + pack_message(b"Z", b""),
        ROW + pack_message(b"Z", b"II"),
        ROW + pack_error("53300"),
        pack_error("53300") + ROW,
        pack_error("53300") * 2,
        pack_error("533"),
        pack_error("53300").replace(b"\0Mno\0\0", b"\0Mno!!"),
        pack_error("53300").replace(b"Mno", b"\xffno"),
        pack_message(b"E", b"C53300\0\0"),
        pack_message(b"E", b""),
        pack_message(b"S", b"gauges\0x"),
        pack_message(b"S"),
        b"HTTP/1.1 400",
        pack_message(b"?"),
        b"D\xb3\0\0\0",
        b"T\0\1\0\0",
        b"Z\0\0\0\6",
        b"C\0\0\0\3",
    ],
)
def test_a_spoilt_answer_is_refused_before_it_is_whole(raw: bytes) -> None:
    answer, at = postgres.Answer(), 0
    with pytest.raises(postgres.ProtocolError):
        while frame := postgres.parse_unit_frame(raw, at, len(raw), 1000):
            answer.take(raw[at : frame.end], "gauges")
            at = frame.end


@pytest.mark.parametrize(
    "words, load",
    [
        ("inflight=7,util=0.61", {"inflight": 7, "util": 0.61}),
        ("avg_ms=nan", {}),
        ("a=1,b=inf", {}),
        ("a=-1", {}),
        ("a=1,b", {}),
        ("a=1,", {}),
        ("", {}),
        ("a=1e999", {}),
        ("a=\u00b2", {}),
    ],
)
def test_a_load_report_is_taken_whole_or_not_at_all(words: str, load: dict) -> None:
    assert postgres.parse_load_report(words) == load


@pytest.mark.parametrize(
    "change",
    [
        {"revision": -1},
        {"revision": 1e40},
        {"revision": True},
        {"complete": "yes"},
        {"members": [None]},
        {"id": 5},
        {"id": ""},
        {"locality": "\x07"},
        {"phase": "act\u00efve"},
        {"revision_no": 1 << 32},
        {"revision_no": 1.5},
        {"revision_no": "x"},
        {"size": -1},
        {"size": float("inf")},
        {"cell": "\u00b2"},
        {"up_since_ms": float("nan")},
        {"up_since_ms": 1e300},
        {"host_port": "127.0.0.1"},
        {"host_port": "h:\u00b2"},
        {"host_port": "h:" + "9" * 5000},
    ],
)
def test_a_list_is_taken_whole_or_not_at_all(change: dict) -> None:
    entry = {"id": "s", "host_port": "h:1", "locality": "a", "phase": "active", "revision_no": 1}
    root = {"revision": 1, "complete": True, "members": [entry]}
    assert len(payloads.parse_unit_list(root).entries) == 1
    for name, value in change.items():
        (root if name in root else entry)[name] = value
    with pytest.raises(payloads.PayloadError):
        payloads.parse_unit_list(payloads.parse_json(json.dumps(root).encode()))


@pytest.mark.parametrize(
    "name, value",
    [
        ("cap", "nan"),
        ("cap", "1.5"),
        ("cap", "-0.1"),
        ("cap", "0x1"),
        ("build", "4294967296"),
        ("build", "1_0"),
        ("age_ms", "inf"),
        ("age_ms", "1e99"),
        ("stage", " 1"),
        ("phase", "Gone"),
        ("age_ms", None),
    ],
)
def test_numbers_out_of_range_are_clamped_or_refused(name: str, value: str | None) -> None:
    fields = {"build": "42", "stage": "1", "phase": "Progressing", "cap": "0.28", "age_ms": "310"}
    assert payloads.parse_build_state(fields).since == 310_000
    with pytest.raises(payloads.PayloadError):
        payloads.parse_build_state(fields | {name: value})


def test_a_statement_passes_on_but_for_its_time() -> None:
    text = build_query("mark", 480, ",r=1,novel=7")
    for words in (text, text.replace("/* id", "/*d=480,id").replace(",d=480,r", ",r").replace(" */", "*/")):
        statement = postgres.parse_statement(words.encode())
        assert (statement.route, statement.left_ms, statement.mark, statement.repeated) == (
            "mark",
            480,
            "5c0f6e1a2b3d4c59",
            True,
        )
        assert statement.with_wait(17) == pack_message(b"Q", words.replace("d=480", "d=17").encode() + b"\0")
    for words in (text.replace(",r=1", ",d=1"), text.replace(",r=1", ",r"), text.replace(",r=1", ", d=1")):
        with pytest.raises(postgres.ProtocolError):
            postgres.parse_statement(words.encode())


@pytest.mark.parametrize(
    "status, body, end",
    [
        (
            200,
            "<Response><results><item><build>42</build><stage>1</stage><phase>Aborting</phase><cap>0.28</cap>"
            "<age_ms>310</age_ms></item></results></Response>",
            (face.COUNTED, (42, 1, face.ROLLING_BACK, 0.28, 310_000)),
        ),
        (400, "<Error><Code>limit</Code></Error>", (face.REFUSED, payloads.NO_BUILD)),
        (400, "<Error><Code>moot</Code></Error>", (face.VOID, payloads.NO_BUILD)),
        (
            400,
            "<Said><Errors><Error><Code>moot</Code></Error></Errors></Said>",
            (face.VOID, payloads.NO_BUILD),
        ),
        (500, "<Error><Code>error</Code></Error>", (face.CALL_FAILED, payloads.NO_BUILD)),
        (400, "<Error><Code>malformed</Code></Error>", (face.CALL_FAILED, payloads.NO_BUILD)),
        (200, "<Response/>", None),
        (200, "<Resp", None),
        (503, "<Error><Code>novel</Code></Error>", None),
    ],
)
def test_outcomes_of_a_vote(status: int, body: str, end: tuple | None) -> None:
    if end is None:
        with pytest.raises(payloads.PayloadError):
            payloads.parse_vote_response(status, body.encode())
    else:
        assert payloads.parse_vote_response(status, body.encode()) == end


def test_idle_limits_are_learned_and_forgotten() -> None:
    rests = IdleLimit(
        limits(SettingsTree({"limits": {"sockets": 64, "memory_mb": 64}, "settings": PLATFORM_SETTINGS}))
    )
    for _ in range(50):
        rests.record(0, False)
        rests.record(60_000, False)
    assert (rests.max_idle, rests.is_wary) == (29_000_000, False)
    for _ in range(5):
        rests.record(300_000, True)
    assert (rests.max_idle, rests.is_wary) == (200_000, True)
    for _ in range(9):
        rests.decay()
    assert (rests.max_idle, rests.is_wary) == (29_000_000, False)
    for turn in range(60):
        rests.record(0, turn % 4 < 3)  # new ones break no less often: a rest tells nothing
        rests.record(300_000, turn % 4 < 2)
    assert (rests.max_idle, rests.is_wary) == (29_000_000, True)


@pytest.fixture
def scheduler() -> Scheduler:
    return Scheduler(Clock(), lambda: None)


def test_a_wait_leaves_no_state_behind(scheduler: Scheduler) -> None:
    near, far = socket.socketpair()
    results, box = [], Mailbox(scheduler)

    def wait() -> None:
        for _ in range(2):
            began = scheduler.now()
            reason = scheduler.wait(near.fileno(), READ, box, began + 20_000)
            results.append((reason, scheduler.now() - began >= 20_000))
        far.send(b"x")
        box.put(1)
        results.append(scheduler.wait(near.fileno(), READ, until=scheduler.now() + 20_000))
        results.append(scheduler.wait(near.fileno(), READ, box, scheduler.now() + 20_000))

    task = scheduler.spawn(wait)
    scheduler.run(lambda: task.dead)
    assert results == [(LATE, True), (LATE, True), IO, MAIL] and not scheduler.waiting


def test_a_task_that_yields_lets_through_what_has_arrived_meanwhile(scheduler: Scheduler) -> None:
    """Guards against a busy client that had up to 128 turns before the kernel was asked for others."""
    near, far = socket.socketpair()
    turns: list[str] = []

    def read() -> None:
        scheduler.wait(near.fileno(), READ)
        turns.append("reader")

    def go_on() -> None:
        scheduler.yield_to_others()
        far.send(b"!")
        for _ in range(4):
            scheduler.yield_to_others()
            turns.append("busy")

    with near, far:
        for work in (read, go_on):
            scheduler.spawn(work)
        scheduler.run(lambda: len(turns) == 5)
    assert turns.index("reader") <= 1


def test_the_oldest_spent_ids_are_forgotten() -> None:
    spent = SpentIds(3)
    for number in range(5):
        spent.add(str(number))
    assert [str(number) in spent for number in range(5)] == [False, False, True, True, True]


def test_finished_waits_are_removed(scheduler: Scheduler) -> None:
    def work() -> None:
        for _ in range(5000):
            scheduler.spawn(scheduler.wake, task, MAIL)
            scheduler.wait(until=scheduler.now() + 3_600_000_000)

    task = scheduler.spawn(work)
    scheduler.run(lambda: task.dead)
    assert len(scheduler.heap) <= 600 and not any(entry[2].target for entry in scheduler.heap)
    assert task.args == ()


def test_a_closed_descriptor_wakes_its_own_task_alone(scheduler: Scheduler) -> None:
    near, _far = socket.socketpair()
    other, sender = socket.socketpair()
    results = []

    def first() -> None:
        results.append(scheduler.wait(near.fileno(), READ))

    def second() -> None:
        number = near.fileno()
        scheduler.forget(number)
        near.close()
        os.dup2(other.fileno(), number)
        results.append(scheduler.wait(number, READ, until=scheduler.now() + 20_000))
        sender.send(b"x")
        results.append(scheduler.wait(number, READ, until=scheduler.now() + 1_000_000))
        os.close(number)

    scheduler.spawn(first)
    task = scheduler.spawn(second)
    scheduler.run(lambda: task.dead)
    assert results == [SHUT, LATE, IO]


def test_a_dying_task_harms_no_other() -> None:
    died = []
    scheduler = Scheduler(Clock(), lambda: died.append(1))
    scheduler.spawn(lambda: 1 // 0)
    scheduler.after(0, lambda: 1 // 0)
    task = scheduler.spawn(scheduler.sleep, 5000)
    scheduler.run(lambda: task.dead)
    assert died == [1, 1]


class Decided:
    """A module that retries by a script, and records what the req's lifecycle tells it."""

    def __init__(self, box: Mailbox) -> None:
        self.box, self.open, self.ended = box, 0, False

    def new_req(self, *_: object) -> None:
        self.open += 1
        self.box.put((face.SEND, "r", 7, 1000))

    def outcome(self, _: str, __: int, ___: int, ____: str, _____: int, last: bool, ______: dict) -> None:
        self.open -= 1
        if not last:
            self.new_req()

    def register(self, *_: object) -> bool:
        return True

    def withdrawn(self, _: str) -> None:
        self.ended = True

    def unregister(self, _: str) -> None:
        assert not self.open


def test_a_try_decided_on_as_the_client_leaves_is_owed_an_outcome(scheduler: Scheduler) -> None:
    box, out = Mailbox(scheduler), []
    decided = Decided(box)

    def begin(number: int, unit: int, _: int, __: object, box: Mailbox) -> None:
        # The first try fails just as the client leaves: both are in the box before either is heard.
        box.put((OUTCOME, number, unit, face.RESET, 5, {}, None))
        box.put((GONE,))

    def unsent(number: int, unit: int, box: Mailbox) -> None:
        out.append(number)
        box.put((OUTCOME, number, unit, face.UNSENT, 0, {}, None))

    lives = ReqLifecycle(scheduler, decided, SimpleNamespace(begin=begin, report_unsent=unsent), Counters())
    asked = SimpleNamespace(req="r", route="read", key=None, left_ms=1000, repeated=False)
    lives.begin(asked, box, Mailbox(scheduler))
    scheduler.run(lambda: decided.ended and not scheduler.ready)
    assert (decided.open, out) == (0, [1])


class Bound:
    """Budgets of one connection to each unit, as a relay's holder answers; `waits`: reqs wait for one."""

    def __init__(self, waits: bool) -> None:
        self.held, self.waits_when_exhausted = [], lambda _: waits

    def allows(self, _: int, name: str, key: str = "") -> bool:
        return name != face.CONNECTIONS or key not in self.held

    def consume(self, now: int, name: str, key: str = "") -> bool:
        allowed = self.allows(now, name, key)
        self.held += [key] if allowed and name == face.CONNECTIONS else []
        return allowed

    def release(self, _: int, name: str, key: str = "") -> None:
        self.held.remove(key)


@pytest.mark.parametrize(
    "waits, gives_back, status, connections",
    [(False, False, face.UNSENT, 1), (True, False, face.UNSENT, 1), (True, True, face.OK, 1)],
)
def test_a_connection_beyond_the_fleets_budget_is_not_opened_and_blames_no_unit(
    scheduler: Scheduler, waits: bool, gives_back: bool, status: str, connections: int
) -> None:
    stand = UnitStandIn()
    limit_values = limits(
        SettingsTree({"limits": {"sockets": 64, "memory_mb": 64}, "settings": PLATFORM_SETTINGS})
    )
    pool = Pool(
        scheduler, limit_values, Exchange(scheduler, limit_values, True, Counters()).greet, Counters()
    )
    pool.budgets, ends = Bound(waits), []

    def work() -> None:
        listed = face.Listed(7, "a", 0, 1, face.READY, 1.0, face.START_UNKNOWN_US)
        pool.update_units([(listed, (STAND_IN_HOST, stand.port))], True)
        place, until = pool.endpoints[7], scheduler.now() + 2_000_000
        first = pool.acquire(place, until)
        if gives_back:
            scheduler.after(20_000, lambda: pool.release(place, first[0]))
        began = scheduler.now()
        ends.extend([first[2], pool.acquire(place, until)[2], scheduler.now() - began])
        pool.close(first[0])

    task = scheduler.spawn(work)
    scheduler.run(lambda: task.dead)
    stand.close()
    assert ends[:2] == [face.OK, status] and len(stand.connections) == connections
    assert (ends[2] > limit_values.settle_time) is waits and ends[2] < 2 * limit_values.connect_timeout
    assert pool.budgets.held == []


@pytest.mark.parametrize(
    "idle, between, connections",
    [
        (30_000, None, 1),
        (30_000, "at once", 2),
        (30_000, "build", 2),
        (30_000, "since", 2),
        (30_000, "gone", 2),
        (30_000, "closed", 2),
        (5, "wait", 2),
    ],
)
def test_a_connection_is_used_again_only_if_it_is_clean(
    scheduler: Scheduler, idle: int, between: str | None, connections: int
) -> None:
    stand = UnitStandIn()
    root = {
        "limits": {"sockets": 64, "memory_mb": 64},
        "settings": PLATFORM_SETTINGS | {"limits": PLATFORM_SETTINGS["limits"] | {"conn_idle": idle}},
    }
    exchange = Exchange(scheduler, limits(SettingsTree(root)), True, Counters())
    pool = Pool(scheduler, exchange.limits, exchange.greet, Counters())
    tries, box, results = TryRunner(scheduler, pool, exchange, Counters()), Mailbox(scheduler), []
    listed = face.Listed(7, "a", 0, 1, face.READY, 1.0, face.START_UNKNOWN_US)
    changes = {"build": {"build": 2}, "since": {"started_at": 5}, "gone": {"health": face.GONE}}

    def work() -> None:
        pool.update_units([(listed, (STAND_IN_HOST, stand.port))], True)
        tries.probe(7, box)
        results.append(box.get()[:2])
        if between in changes:
            pool.update_units([(listed._replace(**changes[between]), (STAND_IN_HOST, stand.port))], False)
            pool.update_units([(listed, (STAND_IN_HOST, stand.port))], False)
        elif between == "closed":
            stand.connections[0].shutdown(socket.SHUT_RDWR)
        scheduler.sleep(0 if between == "at once" else 80_000)
        tries.begin(0, 7, 1_000_000, postgres.parse_statement(build_query().encode()), box)
        results.append(box.get()[3])

    task = scheduler.spawn(work)
    scheduler.run(lambda: task.dead)
    stand.close()
    assert results == [(7, face.OK), face.OK] and len(stand.connections) == connections
    assert stand.queries[0] == "SHOW gauges" and len(stand.queries) == 2


@pytest.mark.parametrize(
    "steps",
    [
        [(0, 0, 3, SERVING)],
        # Without new connections the door closes after the quiet; after the most, however many come.
        [(100, None, 0, LEAVING), (399, 0, 3, LEAVING), (400, 0, 3, DRAINING)],
        [(100, None, 0, LEAVING), (400, 350, 3, LEAVING), (649, 350, 3, LEAVING), (650, 350, 3, DRAINING)],
        [
            (100, None, 0, LEAVING),
            (699, 690, 3, LEAVING),
            (700, 699, 3, DRAINING),
            (9000, 699, 1, DRAINING),
            (9001, 699, 0, OVER),
            (9002, 699, 0, OVER),
        ],
        # An old connection does not shorten the leaving; a second signal begins nothing anew.
        [(100, None, 0, LEAVING), (300, None, 0, LEAVING), (400, 0, 0, DRAINING), (401, 0, 0, OVER)],
    ],
)
def test_a_stop_goes_through_its_states(steps: list[tuple[int, int | None, int, str]]) -> None:
    """Steps: time, last connection or None for a signal, open clients, state; quiet time 300, limit 600."""
    stop, signals = Shutdown(300, 600), 0
    for now, accepted, clients, state in steps:
        if accepted is None:
            assert stop.begin(now) is (signals == 0)
            signals += 1
        else:
            stop.step(now, accepted, clients)
        assert stop.state == state


def told(revision: int, whole: bool = True, since: int = 0, **phases: str) -> payloads.UnitList:
    entries = [face.Listed(int(unit[1:]), "a", 0, 1, health, 1.0, since) for unit, health in phases.items()]
    return payloads.UnitList(revision, whole, [(entry, ("h", 1)) for entry in entries])


R, D, G = face.READY, face.DRAINING, face.GONE


@pytest.mark.parametrize(
    "lists, expected",
    [
        ([told(5, u1=D, u2=R)], {1: D, 2: R}),
        ([told(5, u1=D), told(5, u1=D)], {1: D}),  # repeats
        ([told(5, u1=D, u2=R), told(6, u2=R)], {2: R}),  # shrinks: handed on as it is
        ([told(5, u1=D, u2=R), told(4, u1=R, u2=R)], {1: D, 2: R}),  # older: no drain is taken back
        ([told(5, False, u1=G), told(4, u1=R, u2=R)], {1: G, 2: R}),
        ([told(5, u1=D), told(4, since=9, u1=R)], {1: R}),  # but a new start is a new life
        ([told(5, u1=R), told(4, u1=D)], {1: D}),  # and what is worse counts at once
        ([told(5, u1=D), told(4, u1=R), told(6, u1=R)], {1: R}),  # caught up
        ([told(5, u1=D), *[told(4, u1=R)] * 6], {1: D}),  # behind for less than the patience
        ([told(5, u1=D), *[told(4, u1=R)] * 7], {1: R}),  # it numbers anew
        ([told(5, u1=D), told(4, u1=R), told(5, u1=D), *[told(4, u1=R)] * 6], {1: D}),
    ],
)
def test_an_older_list_takes_back_no_drain(lists: list[payloads.UnitList], expected: dict[int, str]) -> None:
    """Lists come one a second; the timeout is six seconds."""
    membership, now = MembershipFilter(told(1, u1=R, u2=R), 6_000_000), 0
    for news in lists:
        taken = membership.filter(now, news)
        now += 1_000_000
    assert {entry.unit: entry.health for entry, _ in taken.entries} == expected


def test_units_that_have_gone_are_forgotten() -> None:
    membership = MembershipFilter(told(1, u1=R), 6_000_000)
    for unit in range(2000):
        membership.filter(0, told(2 + unit, False, **{f"u{unit}": G}))
    assert len(membership.health) < 200
