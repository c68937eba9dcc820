"""Unit lists, release news and sticky keys that come late, stop twice or go back, with each race forced."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import conftest
import pytest
from conftest import SECOND, BalancerDriver, Served
from test_race_lists import Agent, Asker, drain, left_at

from laurelcourse import interface as face
from laurelcourse.net import payloads
from laurelcourse.net.connection import Connection
from laurelcourse.net.http import HttpError
from laurelcourse.net.http_client import read_response
from laurelcourse.net.limits import limits
from laurelcourse.net.membership import MembershipFilter
from laurelcourse.net.scheduler import Clock, Scheduler
from laurelcourse.settings import SettingsTree
from laurelcourse.standins.base import wait_until
from laurelcourse.standins.settings import PLATFORM_SETTINGS

WAIT, GRACE = 5.0, 0.5  # a watch waits so long; a drained unit is to be left within this


@pytest.fixture
def started(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., Served]]:
    monkeypatch.setattr(conftest, "DirectoryStandIn", Agent)
    with contextlib.ExitStack() as stack:

        def start(discovery: str, grace: float = GRACE) -> Served:
            obligations = PLATFORM_SETTINGS["obligations"] | {"stop_sending_within": 1000 * grace}
            monkeypatch.setattr(
                conftest,
                "PLATFORM_SETTINGS",
                PLATFORM_SETTINGS | {"obligations": obligations, "discovery": discovery},
            )
            where = tmp_path / str(len(list(tmp_path.iterdir())))
            where.mkdir()
            return stack.enter_context(contextlib.closing(Served(where, 1)))

        yield start


def silenced(served: Served, script: list[str]) -> float:
    """Has calls get no answer, by the script, from now on; returns when the first of them came."""
    agent = served.directory
    wait_until(lambda: agent.log and "hold_ms=5000" in agent.log[-1][2])
    before = len(agent.log)
    agent.script = list(script)
    agent.put("s-9", served.units[0].address, phase="left")  # ends the watch that waits
    wait_until(lambda: len(agent.log) > before)
    return agent.log[before][0]


def test_repeated_silence_of_a_polled_directory_has_one_deadline(started: Callable[..., Served]) -> None:
    """A change that the first watch misses counts 2 s after its wait, though the next watch fails as well."""
    ways = []
    for script in (["mute", "mute"], ["half a body", "mute"]):
        served = started("ask")
        began = silenced(served, script)
        ways.append((served, began, drain(served.directory, served), Asker(served)))
    for served, began, late, asker in ways:
        with contextlib.closing(asker):
            last = left_at(served, late, 16)
        calls = [(round(at - began, 2), target) for at, _, target in served.directory.log]
        assert last - began < WAIT + 2 + GRACE, calls


def test_the_list_of_a_returning_directory_counts_at_once(started: Callable[..., Served]) -> None:
    """Earlier calls stay without an answer: the next one has to come within the grace."""
    served = started("push")
    agent = served.directory
    silenced(served, ["mute"] * 4)
    with contextlib.closing(Asker(served)):
        wait_until(lambda: len(agent.log) > 3, 12)
        late, back = drain(agent, served), time.monotonic()
        agent.script = []
        assert left_at(served, late, 8) - back < GRACE, [round(at - back, 2) for at, _, _ in agent.log]


class Silent(Agent):
    """A directory that does not answer a relay's first call, as if it were down when the relay starts."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.script = ["mute"]


def test_a_new_process_gets_a_returning_directorys_list_within_the_grace(
    started: Callable[..., Served], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The grace holds from the first moment of a process: its first call need not time out first."""
    monkeypatch.setattr(conftest, "DirectoryStandIn", Silent)
    served = started("push")
    wait_until(lambda: served.directory.log)
    with contextlib.closing(Asker(served)):
        wait_until(lambda: served.units[0].times)
        late, back = drain(served.directory, served), time.monotonic()
        assert left_at(served, late, 8) - back < GRACE


def test_an_answer_that_came_while_the_relay_was_paused_counts() -> None:
    """The timeout of a call is short: a relay that got no CPU for longer must not consider it failed."""
    settings = {"classes": [{"deadline": 1000}], "limits": {"connect_timeout": 100, "conn_idle": 1000}}
    few = limits(SettingsTree({"limits": {"sockets": 64, "memory_mb": 16}, "settings": settings}))
    scheduler = Scheduler(Clock(), lambda: None)
    ours, theirs = socket.socketpair()
    conn, ends = Connection(scheduler, ours, few), []

    def ask_for() -> None:
        try:
            ends.append(read_response(conn, scheduler.now() + SECOND // 50, few.max_body).take())
        except HttpError as error:
            ends.append(error)

    def stand_still() -> None:
        theirs.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        time.sleep(0.05)

    with contextlib.closing(theirs), contextlib.closing(conn):
        scheduler.spawn(ask_for)
        scheduler.spawn(stand_still)
        scheduler.run(lambda: ends)
    assert ends == [b"{}"]


def heard(unit: int, health: str = face.READY) -> tuple:
    return face.Listed(unit, "a", 0, 1, health, 1.0, 1), ("h", 1)


def test_an_older_list_restores_no_removed_unit() -> None:
    """A unit that a full list leaves out has been removed, and a directory that lags must not undo that."""
    lists = MembershipFilter(payloads.UnitList(40, True, [heard(1), heard(2)]), 6 * SECOND)
    lists.filter(0, payloads.UnitList(50, True, [heard(2)]))
    matching = lists.filter(SECOND, payloads.UnitList(45, True, [heard(1), heard(2)]))
    assert {entry.unit: entry.health for entry, _ in matching.entries} == {1: face.GONE, 2: face.READY}
    # One that starts anew is another life, and so is what a newer list names again.
    again = payloads.UnitList(51, False, [heard(1)])
    assert lists.filter(2 * SECOND, again) == again


def ask(driver: BalancerDriver, key: int | None = 9, route: str = "read") -> tuple:
    driver.made += 1
    return driver.balancer.new_req(driver.now, f"r{driver.made}", route, "", key, 2 * SECOND, False)[-1]


def test_a_key_that_a_later_build_has_answered_goes_to_no_lower_one_on_trial(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """Machines of the next build are listed before its news, while the last news is of a lower build."""
    driver = make_driver(sticky_keys=True, stage_caps=(1.0, 1.0), cap_free_tries=99)
    driver.list((1, "a", 5, 90), (2, "a", 6, 90), (3, "a", 7, 90))
    driver.news(6, cap=1.0)
    driver.balancer.state.sticky_builds[9] = 7
    for _ in range(40):
        sent = ask(driver)
        assert sent[:3:2] == (face.SEND, 3)
        driver.end(sent, 0, face.OK)


def test_a_key_stays_with_the_highest_build_that_has_answered_it(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """A lower build may answer last, to a try that was sent before the higher one answered."""
    driver = make_driver(sticky_keys=True, stage_caps=(1.0, 1.0), cap_free_tries=99)
    driver.list((2, "a", 6, 90))
    driver.news(6, cap=1.0)
    slow = ask(driver)
    driver.list((3, "a", 7, 90))
    quick = ask(driver)
    assert (slow[2], quick[2]) == (2, 3)
    driver.end(quick, 0, face.OK)
    driver.end(slow, 0, face.OK)
    assert driver.balancer.state.sticky_builds == {9: 7}


def test_a_key_answered_by_a_build_that_was_withdrawn_is_served_while_the_next_is_on_trial(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """Keys stay only with the build on trial; otherwise such a key could go nowhere but to the next build."""
    driver = make_driver(sticky_keys=True, cap_free_tries=0, stage_caps=(0.0, 1.0))
    driver.list((1, "a", 5, 90), (3, "a", 7, 90))
    driver.balancer.state.sticky_builds[9] = 6
    driver.news(6, standing=face.WITHDRAWN, cap=0.0)
    assert ask(driver)[:3:2] == (face.SEND, 1)
    driver.news(7, cap=0.0)
    assert ask(driver)[:3:2] == (face.SEND, 1)


def test_a_key_that_a_released_build_answers_goes_to_no_earlier_machine_that_is_left(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """Keys stay in phases 0 and 2, so what the build answers once it is released counts as well."""
    driver = make_driver(sticky_keys=True)
    driver.list((1, "a", 5, 90), (2, "a", 6, 90))
    driver.news(6, standing=face.RELEASED, cap=1.0)
    answered = False
    for _ in range(40):
        sent = ask(driver)
        assert not (answered and sent[2] == 1)
        answered |= sent[2] == 2
        driver.end(sent, 0, face.OK)
    assert answered


@pytest.mark.parametrize("sizes", [(0.25, 1.0), (1.0, 1.0), (4.0, 1.0), (0.0, 0.0)])
def test_load_of_a_small_cold_unit_follows_its_size(
    make_driver: Callable[..., BalancerDriver], sizes: tuple[float, float]
) -> None:
    """The load of a cold unit is judged by what warm units of its size take (WIRE 15.4).

    The warm ones are busy, so that only the guard limits the cold one; one relay has the load of all, at 60%
    of what the fleet can do.
    """
    rate, fellows = 1000, 9
    driver = make_driver(relay_count=1, may_message_peers=False)
    entries = [
        face.Listed(unit, "a", 0, 1, face.READY, sizes[unit > 1], face.START_UNKNOWN_US)
        for unit in range(1, fellows + 2)
    ]
    driver.balancer.directory(driver.now, face.FULL_LIST, entries)
    for _ in range(5 * rate):
        driver.now += SECOND // rate
        driver.balancer.state.recent_answers.add(driver.now)
    driver.balancer.directory(driver.now, face.CHANGES, [entries[0]._replace(started_at=driver.now)])
    for unit in range(2, fellows + 2):
        driver.balancer.state.units[unit].open_tries += 50
    began, sent = driver.now, 0
    while driver.now < began + SECOND:
        driver.now += SECOND // rate
        driver.balancer.state.recent_answers.add(driver.now)
        asked = ask(driver, None)
        sent += asked[2] == 1
        driver.balancer.outcome(driver.now, asked[1], 0, asked[2], face.OK, 5000, True, {})
    part = sizes[0] / (sizes[0] + fellows * sizes[1]) if sizes[0] else 1 / (fellows + 1)
    may = (
        driver.balancer.settings.overload_factor * rate / 0.6 * part * 0.3
    )  # the least that it can do as it starts
    assert 2 <= sent <= may + 2 * may**0.5 + 2, (sent, may)
