"""The plain relay without operators' settings: it loads no module of the fleet, and its balancer gets exactly
what comes from outside and is answered as if it were alone.
"""

import signal
from collections.abc import Callable

import pytest
from conftest import SECOND, SETTINGS, Served, wait_until

from laurelcourse import interface as face
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.payloads import BuildState
from laurelcourse.prng import Prng
from laurelcourse.rules import Balancer
from laurelcourse.standins.postgres import build_query

COMPLETED = ("TDCZ", "")
ABSENT = ("grpc", "google", "sqlite3", "lxml", "laurelcourse.fleet", "laurelcourse.operator")
WATCHED = """
import atexit, runpy, sys
absent = {absent!r}
def tell():
    found = sorted(name for name in absent if any((one + ".").startswith(name + ".") for one in sys.modules))
    print("watched", len(sys.modules) > 50, found, file=sys.stderr)
atexit.register(tell)
{also}
runpy.run_module("laurelcourse", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize(
    "also, expected",
    [
        ("", []),
        ("import laurelcourse.fleet.orders", ["laurelcourse.fleet"]),
        ("import sqlite3", ["sqlite3"]),
        ("import laurelcourse.operator.reading", ["laurelcourse.fleet", "laurelcourse.operator", "lxml"]),
    ],
)
def test_the_plain_relay_loads_no_module_of_the_fleet(
    serve: Callable[..., Served], also: str, expected: list[str]
) -> None:
    served = serve(watched=WATCHED.format(absent=ABSENT, also=also))
    assert served.client().ask(build_query())[:2] == COMPLETED
    served.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "configuration taken" in served.log.read_text())
    assert served.client().ask(build_query())[:2] == COMPLETED
    served.process.send_signal(signal.SIGTERM)
    assert served.process.wait(10) == 0
    assert f"watched True {expected}" in served.log.read_text()


class Still:
    """A scheduler whose clock the script sets; timers wait for the script."""

    def __init__(self) -> None:
        self.time = 100 * SECOND
        self.waiting: list[tuple[int, Callable[[], None]]] = []

    def now(self) -> int:
        return self.time

    def after(self, delay: int, work: Callable[[], None]) -> None:
        self.waiting.append((self.time + delay, work))


class Box:
    def __init__(self, put: Callable[[tuple], None]) -> None:
        self.put = put


class Heard:
    """A proxy of a balancer that records each call with its results."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.calls = balancer, []

    def __getattr__(self, name: str) -> Callable:
        def call(now: int, *args: object) -> list:
            results = getattr(self.balancer, name)(now, *args)
            self.calls.append((name, now, args, list(results)))
            return results

        return call


def played(seed: int) -> tuple[list[tuple], list[tuple], list[tuple]]:
    """Plays a script of reqs, lists, news and time through `Choices`.

    Returns what came from outside, by call; what the balancer got and returned; and what was carried out.
    """
    scheduler, rng, carried, outside = Still(), Prng(seed), [], []
    choices = Dispatcher(scheduler, SETTINGS, seed, Counters())
    choices.balancer = heard = Heard(choices.balancer)
    for verb in (face.PROBE, face.TELL, face.WATCH, face.VOTE, face.NOTE):
        choices.on(verb, lambda *args, verb=verb: carried.append((verb, *args)))
    under_way: list[tuple] = []

    def told(name: str, *args: object) -> tuple:
        outside.append((name, scheduler.time, args))
        return args

    def hear(result: tuple) -> None:
        carried.append(result)
        if result[0] == face.SEND:
            tries = sum(carried_out[1] == result[1] for carried_out in carried if carried_out[0] == face.SEND)
            under_way.append((result[1], tries - 1, result[2]))

    def units(build: int) -> list[face.Listed]:
        return [
            face.Listed(
                unit,
                "ab"[unit % 2],
                0,
                build if unit > 4 else 5,
                face.READY,
                1.0,
                scheduler.time - 90 * SECOND,
            )
            for unit in range(1, 7)
        ]

    known, news = units(5), BuildState(5, 0, face.RELEASED, 1.0, 0)
    told("start")
    told("directory", face.CACHED, known)
    told("stage", news.build, news.stage, news.standing, False, face.COUNTED, news.cap, news.since)
    choices.start(known, news)
    for step in range(600):
        scheduler.time += 1 + rng.below(SECOND // 20)
        due = [timer_entry for timer_entry in scheduler.waiting if timer_entry[0] <= scheduler.time]
        scheduler.waiting = [
            timer_entry for timer_entry in scheduler.waiting if timer_entry[0] > scheduler.time
        ]
        for _, work in due:
            told("timer", "beat")
            work()
        if step % 150 == 75:
            choices.directory(*told("directory", face.FULL_LIST, units(6)))
            news = BuildState(6, 0, face.ON_TRIAL, 0.3, scheduler.time)
            told("stage", news.build, news.stage, news.standing, False, face.COUNTED, news.cap, news.since)
            choices.stage(news)
        if rng.below(2):
            name, route = f"r{step}", ("read", "mark", "once")[rng.below(3)]
            choices.register(name, Box(hear))
            told("new_req", name, route, "", None, 2 * SECOND, False)
            choices.new_req(name, route, None, 2 * SECOND, False)
        elif under_way:
            req, number, unit = under_way.pop(rng.below(len(under_way)))
            status = (face.OK, face.OK, face.OK, face.BUSY, face.FAILED, face.TIMEOUT)[rng.below(6)]
            choices.outcome(*told("outcome", req, number, unit, status, 50_000, status == face.OK, {}))
    return outside, heard.calls, carried


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_a_fleet_the_balancer_gets_exactly_the_outside_events(seed: int) -> None:
    outside, calls, carried = played(seed)
    assert [(name, now, args) for name, now, args, _ in calls] == outside
    alone = Balancer(SETTINGS, seed, 100 * SECOND)
    again = [getattr(alone, name)(now, *args) for name, now, args, _ in calls]
    assert again == [results for *_, results in calls]
    given = [result for results in again for result in results if result[0] != face.WAKE]
    assert carried == given and {face.SEND, face.SHED, face.TELL} <= {result[0] for result in given}
    assert len(calls) > 400
