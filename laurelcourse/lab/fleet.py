"""Machines whose builds follow a deployer: what gives way drains first, and comes back as the other build."""

import threading
import time
from collections.abc import Callable

from laurelcourse.lab.report import Progress
from laurelcourse.prng import Prng
from laurelcourse.standins.base import Stand
from laurelcourse.standins.deployer import Rollout
from laurelcourse.standins.directory import DirectoryStand

DRAIN = 1.6  # a machine that gives way to another build drains for so long


class Machine:
    def __init__(self, name: str, stand: Stand, build: int) -> None:
        self.name, self.stand, self.build = name, stand, build
        self.drained = float("inf")  # when the directory said so


class Fleet:
    def __init__(
        self,
        directory: DirectoryStand,
        count: int,
        shares: tuple[float, ...],
        make: Callable[[int], Stand],
        seed: int,
        drain: float = DRAIN,
    ) -> None:
        """`shares` of machines run the build on trial, by stage; `make` starts a machine of a build; one that
        gives way is listed as draining for `drain` seconds."""
        self.drain = drain
        self.directory, self.count, self.shares, self.make = directory, count, shares, make
        self.rng = Prng(seed)
        self.ready: list[Machine] = []
        self.all: list[Machine] = []
        self.released = 1
        self.wanted: tuple[int, float] = (1, 1.0)
        self.over = threading.Event()
        for _ in range(count):
            self._add(1)
        threading.Thread(target=self._follow, daemon=True).start()

    def moved(self, build: int, stage: int, phase: str) -> None:
        """The deployer's news: `Rollout` calls it."""
        share = self.shares[stage] if phase == "Progressing" else float(phase == "Healthy")
        self.released = build if phase == "Healthy" else self.released
        self.wanted = build, share

    def _add(self, build: int) -> None:
        one = Machine(f"u-{len(self.all)}", self.make(build), build)
        self.ready.append(one)
        self.all.append(one)
        self.directory.put(one.name, one.stand.at, build=build)

    def _follow(self) -> None:
        while not self.over.wait(0.05):
            build, share = self.wanted
            have = [one for one in self.ready if one.build == build]
            others = [one for one in self.ready if one.build != build]
            due = max(round(self.count * share), 1 if share else 0)
            if len(have) < due and others:
                self._replace(others[self.rng.below(len(others))], build)
            elif len(have) > due:
                self._replace(have[0], self.released)

    def _replace(self, one: Machine, build: int) -> None:
        self.ready.remove(one)
        self._add(build)
        one.drained = time.monotonic()
        self.directory.put(one.name, one.stand.at, phase="leaving", build=one.build)

        def gone() -> None:
            self.directory.entries.pop(one.name, None)
            self.directory.revision += 1

        timer = threading.Timer(self.drain, gone)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        self.over.set()
        for one in self.all:
            one.stand.close()


def offer(deployer: Rollout, build: int, what: str, until: float, progress: Progress) -> None:
    """Offers a build and waits until it is decided on, or the time is over."""
    deployer.offer(build)
    progress.say(f"build {build} is offered: {what}")
    while not deployer.ended(build) and time.monotonic() < until:
        time.sleep(0.02)
    progress.say(f"build {build}: {deployer.ended(build) or 'undecided'}")
    if not deployer.ended(build):
        deployer.withdraw()
    if deployer.ended(build) == "Aborting":
        time.sleep(DRAIN + 0.5)
        deployer.settle()


def over_cap(
    tries: dict[int, list[tuple[float, int]]],
    taken: dict[int, list[float]],
    deployer: Rollout,
    free: int,
    window: float,
    grace: float,
    edge: float,
) -> int:
    """Tries at a build on trial beyond what their relay might send: at most free + cap x reqs in any window.

    `tries`: by build, when and from which relay; `taken`: by relay, when reqs came. A lower cap binds after
    the grace, and what lies on a window's edge is counted for the relay."""
    over = 0
    for build, seen in tries.items():
        trial = [at for at, one, _, phase, _ in deployer.told if one == build and phase == "Progressing"]
        end = min(
            (at for at, one, _, phase, _ in deployer.told if one == build and phase == "Healthy"),
            default=float("inf"),
        )
        for relay, reqs in taken.items():
            mine = sorted(at for at, one in seen if one == relay and trial and at < end)
            for at in mine:
                count = sum(at - window + edge < one <= at for one in mine)
                base = sum(at - window - edge < one <= at for one in reqs)
                cap = deployer.caps_since(build, at - window - grace, at)
                over += count > free + cap * base
    return over
