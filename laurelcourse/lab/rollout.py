"""Machines whose builds follow a deployer: one that is replaced drains first, and another takes its place."""

import threading
import time
from collections.abc import Callable

from laurelcourse.lab.report import Progress
from laurelcourse.prng import Prng
from laurelcourse.standins.base import StandIn
from laurelcourse.standins.deployer import RolloutDeployer
from laurelcourse.standins.directory import DirectoryStandIn

DRAIN_SECONDS = 1.6
SETTLE_SECONDS = 0.5  # after a build was withdrawn and its machines have drained
FOLLOW_INTERVAL = 0.05  # seconds
POLL_INTERVAL = 0.02  # seconds


class Machine:
    """A stand-in of a unit or mirror, and its build."""

    def __init__(self, name: str, stand_in: StandIn, build: int) -> None:
        self.name = name
        self.stand_in = stand_in
        self.build = build
        self.drained_at = float("inf")  # monotonic seconds: when the directory said that it drains


class MachinePool:
    """Machines of a released build and of a build on trial."""

    def __init__(
        self,
        directory: DirectoryStandIn,
        count: int,
        shares: tuple[float, ...],
        make: Callable[[int], StandIn],
        seed: int,
        drain_seconds: float = DRAIN_SECONDS,
    ) -> None:
        """Starts `count` machines of build 1.

        `shares` of them run the build on trial, by stage. `make` starts a machine of a build. One that is
        replaced is listed as draining for `drain_seconds`.
        """
        self.drain_seconds = drain_seconds
        self.directory = directory
        self.count = count
        self.shares = shares
        self.make = make
        self.rng = Prng(seed)
        self.active: list[Machine] = []
        self.all: list[Machine] = []
        self.released_build = 1
        self.wanted: tuple[int, float] = (1, 1.0)  # build, share
        self.over = threading.Event()
        for _ in range(count):
            self._add(1)
        threading.Thread(target=self._follow, daemon=True).start()

    def on_rollout(self, build: int, stage: int, phase: str) -> None:
        """Takes the deployer's news."""
        share = self.shares[stage] if phase == "Progressing" else float(phase == "Healthy")
        if phase == "Healthy":
            self.released_build = build
        self.wanted = (build, share)

    def _add(self, build: int) -> None:
        machine = Machine(f"u-{len(self.all)}", self.make(build), build)
        self.active.append(machine)
        self.all.append(machine)
        self.directory.put(machine.name, machine.stand_in.address, build=build)

    def _follow(self) -> None:
        while not self.over.wait(FOLLOW_INTERVAL):
            build, share = self.wanted
            current = [machine for machine in self.active if machine.build == build]
            others = [machine for machine in self.active if machine.build != build]
            wanted_count = max(round(self.count * share), 1 if share else 0)
            if len(current) < wanted_count and others:
                self._replace(others[self.rng.below(len(others))], build)
            elif len(current) > wanted_count:
                self._replace(current[0], self.released_build)

    def _replace(self, machine: Machine, build: int) -> None:
        self.active.remove(machine)
        self._add(build)
        machine.drained_at = time.monotonic()
        self.directory.put(machine.name, machine.stand_in.address, phase="leaving", build=machine.build)

        def remove() -> None:
            self.directory.entries.pop(machine.name, None)
            self.directory.revision += 1

        timer = threading.Timer(self.drain_seconds, remove)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """Stops following the deployer, and closes all machines."""
        self.over.set()
        for machine in self.all:
            machine.stand_in.close()


def offer_build(
    deployer: RolloutDeployer, build: int, description: str, until: float, progress: Progress
) -> None:
    """Offers a build, and waits until it is decided on or, at `until` (monotonic seconds), withdraws it."""
    deployer.offer(build)
    progress.say(f"build {build} is offered: {description}")
    while not deployer.end_phase(build) and time.monotonic() < until:
        time.sleep(POLL_INTERVAL)
    progress.say(f"build {build}: {deployer.end_phase(build) or 'undecided'}")
    if not deployer.end_phase(build):
        deployer.withdraw()
    if deployer.end_phase(build) == "Aborting":
        time.sleep(DRAIN_SECONDS + SETTLE_SECONDS)
        deployer.settle()


def count_over_cap(
    tries: dict[int, list[tuple[float, int]]],
    request_times: dict[int, list[float]],
    deployer: RolloutDeployer,
    free: int,
    window: float,
    grace: float,
    tolerance: float,
) -> int:
    """Returns how many tries at a build on trial exceed what their relay may send.

    A relay may send `free` + cap x requests in any window. `tries` has, by build, when each was seen and its
    relay; `request_times` has, by relay, when requests came. A lower cap binds after `grace`; a request
    within `tolerance` of a window's edge counts for the relay. All times are monotonic seconds.
    """
    over = 0
    for build, build_tries in tries.items():
        trial_times = [
            at for at, one, _, phase, _ in deployer.history if one == build and phase == "Progressing"
        ]
        end = min(
            (at for at, one, _, phase, _ in deployer.history if one == build and phase == "Healthy"),
            default=float("inf"),
        )
        for relay, relay_requests in request_times.items():
            relay_tries = sorted(at for at, one in build_tries if one == relay and trial_times and at < end)
            for at in relay_tries:
                try_count = sum(at - window + tolerance < one <= at for one in relay_tries)
                request_count = sum(at - window - tolerance < one <= at for one in relay_requests)
                cap = deployer.max_cap(build, at - window - grace, at)
                over += try_count > free + cap * request_count
    return over
