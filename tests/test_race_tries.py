"""Events between the decision on a try and its bytes: late connections, a last byte that waits."""

import contextlib
import copy
import socket
import threading
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import BinaryIO

import conftest
import pytest
from conftest import BalancerDriver

from laurelcourse import interface as face
from laurelcourse.fronts.postgres.exchange import Exchange
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.limits import limits
from laurelcourse.net.pool import Pool
from laurelcourse.net.scheduler import Clock, Mailbox, Scheduler
from laurelcourse.net.tries import OUTCOME, TryRunner
from laurelcourse.settings import SettingsTree
from laurelcourse.standins.base import STAND_IN_HOST, read_exactly, wait_until
from laurelcourse.standins.postgres import READY, PgClient, UnitStandIn, build_query, pack_message
from laurelcourse.standins.settings import PLATFORM_SETTINGS

SECOND = 1_000_000
COMPLETED, SHED, ERRORED = ("TDCZ", ""), ("EZ", "53300"), ("EZ", "58000")
WARM = ((1, "a", 5, 90), (2, "a", 5, 90), (3, "b", 5, 90), (4, "b", 5, 90))
REQ = SimpleNamespace(req="r", with_wait=lambda left: pack_message(b"Q", build_query().encode() + b"\0"))


class HeldUnit(UnitStandIn):
    """A unit whose connections come up at once, but are greeted only when the test releases them."""

    def __init__(self) -> None:
        self.go = threading.Event()
        self.go.set()
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        self.go.wait(10)
        super().serve(conn, stream)


class Crossing:
    """A relay among units of which the first one greets late."""

    def __init__(self, served: conftest.Served) -> None:
        self.served, self.late, self.client = served, served.units[0], served.client()
        self.late.go.clear()
        self.others = served.units[1:]

    def send(self, words: str, client: PgClient | None = None) -> None:
        """Sends a req whose try waits for its connection to the late unit."""
        before = len(self.late.connections)
        (client or self.client).send(words)
        wait_until(lambda: len(self.late.connections) > before)

    def list(self, change: Callable[[dict], None], *others: UnitStandIn) -> None:
        """Sends a list in which the late unit is changed and which names others, and waits until it is
        applied.
        """
        directory = self.served.directory
        calls, entries = directory.calls, copy.deepcopy(directory.entries)
        for place, other in enumerate(others):
            entries[f"s-{place + 1}"] = entries["s-0"] | {"id": f"s-{place + 1}", "host_port": other.address}
        change(entries)
        directory.entries = entries
        directory.revision += 1
        wait_until(lambda: directory.calls > calls)
        self.served.count("directory_calls")

    def news(self, words: str) -> None:
        before = self.served.count("notices")
        self.served.deployer.news = words
        self.served.deployer.send_notices(f"event: progress\ndata: {words}\n\n")
        wait_until(lambda: self.served.count("notices") > before)


@pytest.fixture
def cross(serve: Callable[..., conftest.Served], monkeypatch: pytest.MonkeyPatch) -> Callable[..., Crossing]:
    """`changed` has settings by path. Only the late unit is listed at first; a connection may take 3 s."""

    def start(units: int = 2, changed: dict[str, object] | None = None, **kinds: object) -> Crossing:
        settings = copy.deepcopy(PLATFORM_SETTINGS)
        for path, value in (
            {"limits.connect_timeout": 3000.0, "limits.max_attempts": 1} | (changed or {})
        ).items():
            *way, last = path.split(".")
            branch = settings
            for step in way:
                branch = branch[int(step) if step.isdigit() else step]
            branch[last] = value
        monkeypatch.setattr(conftest, "PLATFORM_SETTINGS", settings)
        monkeypatch.setattr(conftest, "UnitStandIn", HeldUnit)
        put = conftest.DirectoryStandIn.put
        monkeypatch.setattr(
            conftest.DirectoryStandIn,
            "put",
            lambda self, name, *rest, **more: (put(self, name, *rest, **more) if name == "s-0" else None),
        )
        return Crossing(serve(units=units, **kinds))

    return start


def change(**fields: object) -> Callable[[dict], None]:
    return lambda entries: entries["s-0"].update(fields)


@pytest.mark.parametrize(
    "changed",
    [
        change(phase="leaving"),
        change(phase="left"),
        lambda entries: entries.pop("s-0"),
        change(revision_no=2),
        change(up_since_ms=1),
        change(host_port=f"{STAND_IN_HOST}:1"),
    ],
    ids=["leaving", "left", "unlisted", "build", "restart", "address"],
)
def test_a_unit_that_changed_before_the_first_byte_gets_nothing(
    cross: Callable[..., Crossing], changed: Callable[[dict], None]
) -> None:
    """The settings allow one try, and the req may not be repeated: it goes elsewhere without harm."""
    crossing = cross(changed={"obligations.stop_sending_within": 50.0, "domain.shielded": 1})
    crossing.send(build_query("once"))
    crossing.list(changed, *crossing.others)
    start = time.monotonic()
    time.sleep(0.1)  # the grace
    crossing.late.go.set()
    assert crossing.client.answer()[:2] == COMPLETED and time.monotonic() - start < 1.5
    assert (len(crossing.late.queries), len(crossing.others[0].queries)) == (0, 1)
    assert crossing.served.count("tries.unsent") == 1 and crossing.served.count("module_faults") == 0


@pytest.mark.parametrize(
    "words, free, shielded, ends",
    [
        ("build=2&stage=1&phase=Aborting&cap=0&age_ms=1", 30.0, 0, 0),
        ("build=2&stage=1&phase=Progressing&cap=0&age_ms=1", 0.0, 0, 0),
        ("build=2&stage=0&phase=Progressing&cap=1&age_ms=1", 30.0, 1, 0),
        ("build=2&stage=1&phase=Healthy&cap=1&age_ms=1", 0.0, 1, 1),
    ],
)
def test_a_build_without_cap_at_the_first_byte_gets_nothing(
    cross: Callable[..., Crossing], words: str, free: float, shielded: int, ends: int
) -> None:
    crossing = cross(
        changed={
            "domain.free": free,
            "domain.shielded": shielded,
            "domain.most_shares": [0.06, 1.0],
            "obligations.stop_sending_within": 50.0,
        },
        builds=(2,) * 2,
        news="build=2&stage=1&phase=Progressing&cap=1&age_ms=9000",
    )
    crossing.send(build_query("once"))
    crossing.list(lambda entries: entries["s-1"].update(revision_no=1), *crossing.others)
    crossing.news(words)
    time.sleep(0.1)  # a lower cap binds after the grace
    crossing.late.go.set()
    assert crossing.client.answer()[:2] == COMPLETED
    assert (len(crossing.late.queries), len(crossing.others[0].queries)) == (ends, 1 - ends)


def test_late_connections_do_not_exceed_the_cap_of_a_trial(cross: Callable[..., Crossing]) -> None:
    """Three tries at first, three more when those count no more, and all connections come up together."""
    crossing = cross(
        1,
        {
            "domain.free": 3.0,
            "domain.counted_over": 500.0,
            "domain.most_shares": [0.001, 1.0],
            "domain.rings": [1.0, 1.0],
        },
        builds=(2,),
        news="build=2&stage=0&phase=Progressing&cap=0.001&age_ms=9000",
    )
    clients = [crossing.served.client() for _ in range(6)]
    for client in clients[:3]:
        crossing.send(build_query(), client)
    time.sleep(0.6)
    for client in clients[3:]:
        crossing.send(build_query(), client)
    crossing.late.go.set()
    ends = [client.answer()[:2] for client in clients]
    assert len(crossing.late.queries) == 3 and ends.count(COMPLETED) == ends.count(SHED) == 3


@pytest.mark.parametrize("memory, queries, end", [(9.0, 1, COMPLETED), (1.6, 0, SHED)])
def test_a_repeat_is_not_written_once_the_first_is_forgotten(
    cross: Callable[..., Crossing], memory: float, queries: int, end: tuple
) -> None:
    crossing = cross(changed={"limits.max_attempts": 2, "classes.1.memory_span": memory * 1000})
    first, late = crossing.others[0], crossing.late
    crossing.list(change(phase="leaving"), first)
    first.mode = "slow0.8"
    crossing.client.send(build_query("mark", 2900))
    wait_until(lambda: first.queries)
    crossing.list(change(phase="active"))
    first.mode = "failed"
    wait_until(lambda: late.connections)
    if not queries:
        time.sleep(max(first.times[0] + memory + 0.02 - time.monotonic(), 0.0))
    late.go.set()
    assert crossing.client.answer()[:2] == end and len(late.queries) == queries


def test_nothing_is_written_for_a_client_that_has_left(cross: Callable[..., Crossing]) -> None:
    crossing = cross(1)
    crossing.send(build_query("once"))
    crossing.client.sock.close()
    crossing.client.stream.close()
    time.sleep(0.3)
    crossing.late.go.set()
    wait_until(lambda: crossing.served.count("reqs.once.withdrawn"))
    assert crossing.late.queries == [] and crossing.served.count("tries.unsent") == 1
    time.sleep(0.06)  # its connection has rested
    assert (
        crossing.served.client().ask(build_query("once"))[:2] == COMPLETED
        and len(crossing.late.connections) == 1
    )


@pytest.fixture
def scheduler() -> Scheduler:
    return Scheduler(Clock(), lambda: None)


class Pooled:
    """Tries at one unit, in this process; the test chooses what the guard answers at each point."""

    def __init__(self, scheduler: Scheduler, unit: UnitStandIn, guard: Callable[[str, int], bool]) -> None:
        limit_values = limits(
            SettingsTree({"limits": {"sockets": 64, "memory_mb": 64}, "settings": PLATFORM_SETTINGS})
        )
        self.scheduler, self.unit, self.counters = scheduler, unit, Counters()
        exchange = Exchange(scheduler, limit_values, True, self.counters)
        self.pool = Pool(scheduler, limit_values, exchange.greet, self.counters)
        self.tries = TryRunner(scheduler, self.pool, exchange, self.counters, guard)
        self.box, self.listed = (
            Mailbox(scheduler),
            face.Listed(7, "a", 0, 1, face.READY, 1.0, face.START_UNKNOWN_US),
        )

    def list(self, **changed: object) -> None:
        self.pool.update_units([(self.listed._replace(**changed), (STAND_IN_HOST, self.unit.port))], True)

    def run(self, work: Callable[[], None]) -> None:
        task = self.scheduler.spawn(work)
        self.scheduler.run(lambda: task.dead)
        self.unit.close()


@pytest.mark.parametrize(
    "answers, cancelled, status, queries",
    [
        ([True] * 3, False, face.OK, 1),
        ([True, True, False], False, face.UNSENT, 0),
        ([True, False], False, face.UNSENT, 0),
        ([False], False, face.UNSENT, 0),
        ([True] * 3, True, face.CANCELLED, 0),
    ],
)
def test_a_delayed_last_byte_is_guarded_again(
    scheduler: Scheduler, answers: list[bool], cancelled: bool, status: str, queries: int
) -> None:
    """The guard was asked before: as the connection was begun, and before the first byte."""
    asked, results = iter(answers), []
    pooled = Pooled(scheduler, UnitStandIn(), lambda req, number: next(asked))
    pooled.pool.idle_limit.is_wary = True
    pooled.pool.limits = pooled.tries.limits = pooled.tries.limits._replace(last_byte_delay=100_000)

    def work() -> None:
        pooled.list()
        sent = pooled.tries.begin(0, 7, SECOND, REQ, pooled.box)
        if cancelled:
            scheduler.after(50_000, sent.cancel)
        results.append(pooled.box.get())
        scheduler.sleep(10_000)

    pooled.run(work)
    assert results[0][:4] == (OUTCOME, 0, 7, status) and len(pooled.unit.queries) == queries
    assert cancelled or list(asked) == []


class SlowReader(UnitStandIn):
    """A unit that reads nothing after its greeting until the test releases it, and then counts."""

    def __init__(self) -> None:
        self.go, self.read, self.over = threading.Event(), 0, threading.Event()
        super().__init__()

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        read_exactly(stream, int.from_bytes(read_exactly(stream, 4)) - 4)
        conn.sendall(pack_message(b"R", bytes(4)) + READY)
        self.go.wait(10)
        with contextlib.suppress(OSError):
            while part := conn.recv(1 << 20):
                self.read += len(part)
        self.over.set()


def test_the_rest_of_a_partly_written_query_is_guarded(scheduler: Scheduler) -> None:
    """Another req could have ended this one by the time the unit takes more."""
    unit, large, results, may = SlowReader(), bytes(32 << 20), [], [True]
    pooled = Pooled(scheduler, unit, lambda req, number: may[0])

    def work() -> None:
        pooled.list()
        pooled.tries.begin(
            0, 7, 5 * SECOND, SimpleNamespace(req="r", with_wait=lambda left: large), pooled.box
        )
        scheduler.sleep(200_000)
        may[0] = False
        unit.go.set()
        results.append(pooled.box.get()[3])

    pooled.run(work)
    assert results == [face.UNSENT] and unit.over.wait(5) and unit.read < len(large)


def test_no_probe_goes_to_a_unit_that_is_gone(scheduler: Scheduler) -> None:
    unit, results = HeldUnit(), []
    unit.go.clear()
    pooled = Pooled(scheduler, unit, lambda req, number: pytest.fail("a probe has no req"))

    def work() -> None:
        pooled.list()
        pooled.tries.probe(7, pooled.box)
        scheduler.sleep(50_000)
        pooled.list(health=face.GONE)
        unit.go.set()
        results.append(pooled.box.get()[:2])

    pooled.run(work)
    assert results == [(7, face.UNSENT)] and unit.queries == [] and not pooled.pool.open_count


class Full:
    """A listener with a full backlog: a connection to it does not come up."""

    def __init__(self) -> None:
        self.sock = socket.create_server((STAND_IN_HOST, 0), backlog=0)
        self.port, self.conns, self.queries = self.sock.getsockname()[1], [], []
        self.own = [socket.socket() for _ in range(8)]
        for result in self.own:
            result.setblocking(False)
            result.connect_ex(self.sock.getsockname())

    def close(self) -> None:
        for sock in (self.sock, *self.own):
            sock.close()


@pytest.mark.parametrize("unit", [HeldUnit, Full])
@pytest.mark.parametrize(
    "changed", [{"health": face.GONE}, {"build": 2}, {"started_at": 5}], ids=["gone", "build", "restart"]
)
def test_a_try_waiting_for_a_removed_unit_is_decided_again(
    scheduler: Scheduler, unit: type, changed: dict
) -> None:
    stand, results = unit(), []
    if unit is HeldUnit:
        stand.go.clear()
    pooled = Pooled(scheduler, stand, lambda req, number: True)
    pooled.pool.limits = pooled.tries.limits = pooled.pool.limits._replace(connect_timeout=4 * SECOND)

    def work() -> None:
        pooled.list()
        began = scheduler.now()
        pooled.tries.begin(0, 7, 5 * SECOND, REQ, pooled.box)
        scheduler.after(100_000, lambda: pooled.list(**changed))
        results.extend([pooled.box.get()[3], scheduler.now() - began < 2 * SECOND])

    pooled.run(work)
    if unit is HeldUnit:
        stand.go.set()
    assert (
        results == [face.UNSENT, True] and pooled.pool.open_count == 0 and not pooled.pool.unit_by_connection
    )


class Awaited(face.NoBudgets):
    """No connection is available at first, and reqs wait for one."""

    room = False

    def allows(self, now: int, name: str, key: str = "") -> bool:
        return self.room

    consume = allows

    def waits_when_exhausted(self, name: str) -> bool:
        return True


@pytest.mark.parametrize(
    "changed, may",
    [({}, True), ({"health": face.GONE}, True), ({"build": 2}, True), ({"started_at": 5}, True), ({}, False)],
    ids=["same", "gone", "build", "restart", "barred"],
)
def test_no_connection_to_a_unit_removed_during_a_budget_wait(
    scheduler: Scheduler, changed: dict, may: bool
) -> None:
    stand, results, allowed = UnitStandIn(), [], [True]
    pooled = Pooled(scheduler, stand, lambda req, number: allowed[0])
    pooled.pool.budgets = shares = Awaited()

    def crossing() -> None:
        pooled.list(**changed)
        shares.room, allowed[0] = True, may

    def work() -> None:
        pooled.list()
        pooled.tries.begin(0, 7, SECOND, REQ, pooled.box)
        scheduler.after(75_000, crossing)
        results.append(pooled.box.get()[3])
        scheduler.sleep(50_000)

    pooled.run(work)
    sent = may and not changed
    assert (results, len(stand.connections)) == ([face.OK if sent else face.UNSENT], int(sent))


@pytest.mark.parametrize(
    "changed", [{"health": face.GONE}, {"build": 2}, {"started_at": 5}], ids=["gone", "build", "restart"]
)
def test_no_connection_to_a_unit_removed_after_the_decision(scheduler: Scheduler, changed: dict) -> None:
    """The list comes before the try's task runs: the guard, which knows the list, refuses."""
    stand, results = UnitStandIn(), []
    pooled = Pooled(scheduler, stand, lambda req, number: False)

    def work() -> None:
        pooled.list()
        pooled.tries.begin(0, 7, SECOND, REQ, pooled.box)
        pooled.list(**changed)
        results.append(pooled.box.get()[3])
        scheduler.sleep(50_000)

    pooled.run(work)
    assert results == [face.UNSENT] and not stand.connections


def test_nothing_is_sent_if_the_guard_fails(scheduler: Scheduler) -> None:
    choices = Dispatcher(scheduler, conftest.SETTINGS, 7, Counters())
    assert not choices.may_write("unheard", 0) and choices.counters.counts["module_faults"] == 1


def late(make_driver: Callable[..., BalancerDriver], **changed: object) -> tuple:
    """Returns a driver whose req's first try waits for its connection at unit 1, of the build on trial."""
    driver = make_driver(protected_stages=0, **changed)
    driver.list((1, "a", 5, 90))
    driver.news(5, stage=1, cap=1.0)
    return driver, driver.req("mark", 9 * SECOND)[-1]


@pytest.mark.parametrize(
    "between, may",
    [
        (lambda one: None, True),
        (lambda one: one.list((1, "a", 5, 90), how=face.CHANGES, health=face.DRAINING), False),
        (lambda one: one.list(), False),
        (lambda one: one.list((1, "a", 4, 90)), False),
        (lambda one: one.list((1, "a", 5, 0)), False),
        (lambda one: one.list((1, "a", 5, 90), (2, "a", 4, 90)), True),
        (lambda one: one.balancer.withdrawn(one.now, "r1"), False),
        (lambda one: one.news(5, standing=1, cap=0.0), False),
        (lambda one: one.news(5, standing=2, cap=1.0), True),
        (lambda one: one.news(6, cap=0.1), True),
        (lambda one: one.wait(1.5), True),
    ],
)
def test_the_guard_is_asked_again_at_the_first_byte(
    make_driver: Callable[..., BalancerDriver], between: Callable, may: bool
) -> None:
    driver, sent = late(make_driver)
    between(driver)
    assert driver.balancer.may_write(driver.now, sent[1], 0) is may


@pytest.mark.parametrize("wait, may", [(0, True), (3 * SECOND // 2, True), (2 * SECOND, False)])
def test_a_repeats_memory_counts_from_the_first_that_may_have_run(
    make_driver: Callable[..., BalancerDriver], wait: int, may: bool
) -> None:
    driver, sent = late(make_driver)
    driver.list((1, "a", 5, 90), (2, "a", 5, 90))
    again = driver.end(sent, 0, face.RESET, 1000)[-1]
    assert again[:3] == (face.SEND, "r1", 2)
    driver.now += wait
    assert driver.balancer.may_write(driver.now, "r1", 1) is may


def test_a_try_at_a_build_on_trial_counts_from_its_bytes(make_driver: Callable[..., BalancerDriver]) -> None:
    """Tries decided before a lower cap applied, or too long ago to count, count when they are written.

    One that may not be written is not counted.
    """
    driver, _ = late(make_driver, cap_free_tries=3)
    driver.req()
    window = driver.balancer._trial_window(5, 0)
    assert [driver.balancer.may_write(driver.now, name, 0) for name in ("r1", "r2")] == [True, True]
    assert list(window.times) == [driver.now] * 2
    driver.now += 2000
    assert driver.balancer.may_write(driver.now, "r1", 0) and driver.balancer.may_write(driver.now, "r1", 0)
    assert list(window.times) == [driver.now - 2000, driver.now]  # its last byte is no second try
    driver.now += driver.balancer.settings.cap_window + 2 * driver.balancer.settings.tick
    driver.news(5, stage=1, cap=0.0001)
    driver.now += driver.balancer.settings.drain_grace
    for _ in range(3):
        assert driver.req()[-1][0] == face.SEND
    assert [driver.balancer.may_write(driver.now, name, 0) for name in ("r1", "r2", "r3")] == [
        False,
        False,
        True,
    ]
    assert list(window.times) == [driver.now] * 3


@pytest.mark.parametrize(
    "statuses, further",
    [
        ([face.BUSY] * 3, 3),
        ([face.UNSENT] + [face.BUSY] * 3, 3),
        ([face.BUSY, face.UNSENT, face.BUSY, face.BUSY], 3),
        ([face.UNSENT] * 2 + [face.BUSY] * 2, 2),
        ([face.UNSENT] * 4, 0),
    ],
)
def test_unsent_tries_are_decided_again_at_no_cost(
    make_driver: Callable[..., BalancerDriver], statuses: list[str], further: int
) -> None:
    """It costs none of the retries that reqs earn, nor, once, one of those that a req may have; but not
    without end.
    """
    driver, taken = make_driver(), []
    driver.balancer.heed(
        driver.now, SimpleNamespace(allows=lambda *_: None, consume=lambda *told: taken.append(told[1:]))
    )
    driver.list(*WARM)
    results = driver.req("read")
    left = driver.balancer.state.retry_tokens
    for number, status in enumerate(statuses):
        assert results[-1][0] == face.SEND
        results = driver.end(results[-1], number, status, 1000)
    assert [result[0] for result in results if result[0] != face.TELL] == [face.SHED]
    assert (left - driver.balancer.state.retry_tokens, taken) == (further, [(face.RESENDS,)] * further)


def test_unsent_tries_are_no_evidence(make_driver: Callable[..., BalancerDriver]) -> None:
    """Neither that a silent unit answered, nor whether another build serves what failed on trial."""
    driver = make_driver(cap_free_tries=1000)
    driver.list(*WARM, (7, "a", 6, 90))
    driver.news(6)
    sent = ()
    while not sent or sent[2] < 7:
        sent = driver.req()[-1]
    unit = driver.balancer.state.units[7]
    driver.balancer.state.reqs[sent[1]].tries[0].unit.open_tries += 1
    since = unit.waiting_since
    again = driver.end(sent, 0, face.FAILED)[-1]
    unit.open_tries -= 1
    elsewhere = driver.balancer.state.units[again[2]]
    elsewhere.open_tries, elsewhere.waiting_since = elsewhere.open_tries + 1, since
    third = driver.end(again, 1, face.UNSENT)[-1]
    assert elsewhere.waiting_since == since
    driver.end(third, 2, face.FAILED)
    assert driver.balancer.state.trial.outcome_count == 0


def test_a_key_that_the_new_build_answers_meanwhile_goes_to_no_earlier_one(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    driver = make_driver(sticky_keys=True)
    driver.list((1, "a", 5, 90))
    assert driver.balancer.new_req(driver.now, "r", "read", "", 9, SECOND, False)[-1][:3] == (
        face.SEND,
        "r",
        1,
    )
    driver.list((1, "a", 5, 90), (7, "a", 6, 90))
    driver.news(6)
    assert driver.balancer.may_write(driver.now, "r", 0)
    driver.balancer.state.sticky_builds[9] = 6
    assert not driver.balancer.may_write(driver.now, "r", 0)
