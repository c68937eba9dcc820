"""The environment of the TUF lab: repositories that publish, and mirrors that follow and fail by a seed."""

import hashlib
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.lab.rollout import MachinePool
from laurelcourse.lab.tuf_clients import file_content
from laurelcourse.prng import Prng
from laurelcourse.standins.mirror import MirrorStandIn
from laurelcourse.standins.repository import TufRepository

LARGE_FILE = "large.bin"
SIZES = {"small.bin": 3000, "app/medium.bin": 150_000, LARGE_FILE: 2_000_000}  # bytes, by path
BAD_BUILD = 2
GOOD_BUILD = 3
MIRROR_RATE = 6e6  # bytes per second

HONEST_MIRRORS = 2  # that no fault befalls, but while all are down

# Route and mode of faults of a mirror; without a route, the mirror fails as a whole.
FAULTS = (
    ("metadata", "mixed"),
    ("metadata", "forged"),
    ("metadata", "flipped"),
    ("metadata", "endless"),
    ("metadata", "frozen"),
    ("metadata", "frozen"),
    ("metadata", "frozen"),
    ("target", "flipped"),
    ("target", "longer"),
    ("target", "shorter"),
    ("target", "stall"),
    ("target", "drip"),
    ("target", "torn"),
    ("target", "unranged"),
    ("target", "misranged"),
    ("target", "elsewhere"),
    ("", "failing"),
    ("", "busy"),
    ("", "slow"),
    ("", "reset"),
    ("manifest", "lost"),
    ("manifest", "failing"),
)
FAULT_INTERVAL = 0.9  # seconds
PUBLISH_INTERVAL = 3.0  # seconds
MAX_SYNC_DELAY = 0.8  # seconds until a mirror follows
POLL_INTERVAL = 0.02  # seconds

# Faults of all mirrors at once: how long they last in seconds, and when they begin, as a share of the time.
DOWN_SECONDS = 1.2
DOWN_SHARE = 0.85
LOST_SECONDS = 2.0
LOST_SHARE = 0.3
FREEZE_SECONDS = 7.0
FREEZE_SHARE = 0.35


class ScheduledAction(NamedTuple):
    """Something to do at a time (monotonic seconds)."""

    at: float
    action: Callable[[], object]


class Environment:
    """Repositories and mirrors, and what was published when."""

    def __init__(self, seed: int, calm: bool, deduplicating: bool) -> None:
        """`calm`: without faults; `deduplicating`: the director drops repeated manifests."""
        self.rng = Prng(seed)
        self.calm = calm
        self.duration = 0.0  # seconds
        self.repositories = {
            "/image/": TufRepository(),
            "/plain/": TufRepository(False),
            "/fw/": TufRepository(),
            "/director/": TufRepository(),
        }
        self.version = 0
        self.hashes: set[str] = set()  # of all that was ever published
        self.published: list[tuple[float, int]] = []  # when each timestamp of the plain repository came out
        self.director = "deduped" if deduplicating else ""
        self.counted: set = set()
        self.manifests: list = []
        self.down_periods: list[tuple[float, float]] = []  # when no mirror gave metadata or files
        self.lost_periods: list[tuple[float, float]] = []  # when each director's answer was lost
        self.over = threading.Event()
        self.frozen: set[MirrorStandIn] = set()
        self.scheduled: list[ScheduledAction] = []
        for name in ("/image/", "/plain/"):
            self.repositories[name].delegate("targets", "app", ["app/*"])
        self.publish()

    def publish(self) -> None:
        """Publishes the next version of each repository."""
        self.version += 1
        for prefix, repository in self.repositories.items():
            for path, size in SIZES.items():
                self._add_file(prefix, repository, path, size)
            if self.version % 3 == 0:
                repository.rotate(("timestamp", "snapshot", "targets", "root")[self.version // 3 % 4])
            repository.publish()
            self.hashes |= {hashlib.sha256(raw).hexdigest() for raw in repository.newest.metadata.values()}
        self.published.append((time.monotonic(), self.repositories["/plain/"].newest.version))

    def _add_file(self, prefix: str, repository: TufRepository, path: str, size: int) -> None:
        delegated = path.startswith("app/") and prefix in ("/image/", "/plain/")
        custom = {
            "/fw/": {"hardwareIds": ["ecu"]},
            "/director/": {"ecuIdentifiers": {"1": {"hardwareId": "ecu"}}},
        }.get(prefix)
        # Metadata is signed anew more often than files change, and the large one stays.
        version = 1 if path == LARGE_FILE else 1 + self.version // 3
        target = repository.add(
            path, file_content(path, version, size), "app" if delegated else "targets", custom
        )
        self.hashes.add(target.hashes["sha256"])

    def make_mirror(self, build: int) -> MirrorStandIn:
        """Starts a mirror that runs a build."""
        mirror = MirrorStandIn(self.repositories, rate=MIRROR_RATE, director=self.director)
        mirror.counted = self.counted  # one director behind all
        mirror.manifests = self.manifests
        mirror.modes = {"target": "flipped"} if build == BAD_BUILD else {}
        return mirror

    def run(self, pool: MachinePool) -> None:
        """Publishes, syncs each mirror a little later, and lets faults come and go until it is over."""
        start = time.monotonic()
        next_fault = start
        next_publish = start + PUBLISH_INTERVAL
        outages = [
            ScheduledAction(start + self.duration * DOWN_SHARE, lambda: self._take_down(pool)),
            ScheduledAction(start + self.duration * FREEZE_SHARE, lambda: self._freeze(pool)),
            ScheduledAction(start + self.duration * LOST_SHARE, lambda: self._lose_answers(pool)),
        ]
        while not self.over.wait(POLL_INTERVAL):
            now = time.monotonic()
            self._run_due(self.scheduled, now)
            if now >= next_publish:
                next_publish = now + PUBLISH_INTERVAL
                self.publish()
                for machine in pool.active:
                    delay = self.rng.fraction() * MAX_SYNC_DELAY
                    self._schedule(now + delay, lambda mirror=machine.stand_in: self._sync(mirror))
            if not self.calm and now >= next_fault:
                next_fault = now + FAULT_INTERVAL
                self._inject_fault(pool, now)
            if not self.calm:
                self._run_due(outages, now)

    @staticmethod
    def _run_due(actions: list[ScheduledAction], now: float) -> None:
        for scheduled in [one for one in actions if one.at <= now]:
            actions.remove(scheduled)
            scheduled.action()

    def _schedule(self, at: float, action: Callable[[], object]) -> None:
        self.scheduled.append(ScheduledAction(at, action))

    def _freeze(self, pool: MachinePool) -> None:
        """Has all but the honest mirrors stay at what they have, until long after the others have gone on."""
        end = time.monotonic() + FREEZE_SECONDS
        for mirror in [machine.stand_in for machine in pool.active[HONEST_MIRRORS:]]:
            self.frozen.add(mirror)
            self._schedule(end, lambda mirror=mirror: self.frozen.discard(mirror))

    def _sync(self, mirror: MirrorStandIn) -> None:
        if mirror not in self.frozen:
            mirror.sync()

    def _inject_fault(self, pool: MachinePool, now: float) -> None:
        """Injects a fault at one of the mirrors beyond the honest ones, for some seconds."""
        released = [machine for machine in pool.active if machine.build == pool.released_build]
        faulty = released[HONEST_MIRRORS:]
        if not faulty:
            return
        mirror = faulty[self.rng.below(len(faulty))].stand_in
        route, mode = FAULTS[self.rng.below(len(FAULTS))]
        end = now + 1.0 + 4.0 * self.rng.fraction()
        if mode == "frozen":
            self.frozen.add(mirror)
            self._schedule(end, lambda: self.frozen.discard(mirror))
        elif route:
            mirror.modes[route] = mode
            self._schedule(end, lambda: mirror.modes.pop(route, None))
        elif mirror.mode == "ok":
            mirror.mode = mode
            self._schedule(end, lambda: setattr(mirror, "mode", "ok"))

    def _take_down(self, pool: MachinePool) -> None:
        self._fail_all(pool, ("metadata", "target"), "failing", DOWN_SECONDS, self.down_periods)

    def _lose_answers(self, pool: MachinePool) -> None:
        self._fail_all(pool, ("manifest",), "lost", LOST_SECONDS, self.lost_periods)

    def _fail_all(
        self,
        pool: MachinePool,
        routes: tuple[str, ...],
        mode: str,
        seconds: float,
        periods: list[tuple[float, float]],
    ) -> None:
        """Injects a fault at all mirrors at once, and notes its period."""
        now = time.monotonic()
        periods.append((now, now + seconds))
        for machine, route in [(machine, route) for machine in pool.active for route in routes]:
            modes = machine.stand_in.modes
            modes[route] = mode
            self._schedule(now + seconds, lambda modes=modes, route=route: modes.pop(route, None))
