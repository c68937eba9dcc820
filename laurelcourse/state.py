"""State by life: one upstream try, one req, one unit, the instance."""

from collections import deque
from collections.abc import Iterable

from laurelcourse.chance import Chance
from laurelcourse.interface import GONE, READY, Listed
from laurelcourse.messages import Told
from laurelcourse.settings import Route

NEW, TRYING, ENDED = "new", "trying", "ended"


class Window:
    """Times of what happened lately."""

    __slots__ = ("add", "clear", "times")

    def __init__(self) -> None:
        self.times: deque[int] = deque()
        self.add, self.clear = self.times.append, self.times.clear

    def since(self, start: int) -> int:
        while self.times and self.times[0] < start:
            self.times.popleft()
        return len(self.times)


class Try:
    __slots__ = ("build", "fresh", "may_have_run", "number", "out", "sent", "unit")

    def __init__(self, number: int, unit: "Unit", sent: int, fresh: bool) -> None:
        self.number, self.unit, self.build, self.sent, self.fresh = number, unit, unit.build, sent, fresh
        self.out = self.may_have_run = True


class Req:
    __slots__ = ("due", "id", "key", "place", "route", "state", "taken", "tries")

    def __init__(self, name: str, route: Route, place: int, key: int | None, taken: int, due: int) -> None:
        self.id, self.route, self.place, self.key, self.taken, self.due = name, route, place, key, taken, due
        self.state = NEW
        self.tries: list[Try] = []

    def out(self) -> bool:
        return any(one.out for one in self.tries)

    def ran(self) -> list[Try]:
        return [one for one in self.tries if one.may_have_run]


class Cap:
    """The share of a build on trial, as last told; a lower one binds after the grace, and counts afresh."""

    __slots__ = ("binds", "coming", "now")

    def __init__(self, share: float) -> None:
        self.now = self.coming = share
        self.binds = 0

    def told(self, share: float, binds: int) -> None:
        self.now, self.coming, self.binds = max(self.now, share), share, binds

    def falls(self, now: int) -> bool:
        falls = self.coming < self.now and now >= self.binds
        self.now = self.coming if falls else self.now
        return falls


class Unit:
    """A unit as the directory lists it, and what this relay saw of it since it started."""

    __slots__ = ("aside_for", "aside_until", "build", "cell", "clean", "failed", "failing", "health", "id",
                 "open", "pace", "seen", "sends", "since", "size", "unanswered", "zone")

    def __init__(self, entry: Listed) -> None:
        self.id, self.open = entry.unit, 0
        self.since = self.build = -1
        self.list(entry)

    def list(self, entry: Listed) -> None:
        if (entry.since, entry.build) != (self.since, self.build):
            self.pace, self.failing, self.unanswered = 1.0, 0.0, None
            self.aside_until = self.aside_for = self.clean = 0
            self.seen = self.failed = 0.0
            self.sends = Window()
        self.zone, self.cell, self.build, self.health = entry.zone, entry.cell, entry.build, entry.health
        self.size, self.since = entry.size, entry.since

    def begin(self, now: int) -> None:
        self.open += 1
        self.sends.add(now)
        self.unanswered = now if self.unanswered is None else self.unanswered


class Sums:
    """Outcomes of one route: how many, how many failed, how many timed, log latency summed and squared."""

    __slots__ = ("count", "failed", "logs", "squares", "timed")

    def __init__(self) -> None:
        self.count = self.failed = self.timed = self.logs = self.squares = 0.0

    def add(self, count: float, failed: float, timed: float, logs: float, squares: float) -> None:
        self.count += count
        self.failed += failed
        self.timed += timed
        self.logs += logs
        self.squares += squares

    def fade(self, factor: float) -> None:
        self.count *= factor
        self.failed *= factor
        self.timed *= factor
        self.logs *= factor
        self.squares *= factor


class Case:
    """What is known of one build: the weights of the judge, and the sums told to the hashed voters."""

    __slots__ = ("build", "complained", "counted", "earlier", "heard", "own", "places", "timed", "weights")

    def __init__(self, build: int, places: int, routes: int, weights: list[float]) -> None:
        self.build, self.places, self.weights, self.counted, self.complained = build, places, weights, 0, 0
        self.timed = 0.0
        self.own = [Sums() for _ in range(routes)]
        self.earlier = [Sums() for _ in range(routes)]
        self.heard: dict[tuple[int, int], Told] = {}

    def rows(self) -> list[tuple]:
        return [(int(own.count), int(own.failed), int(own.timed), own.logs,
                 int(old.count), int(old.failed), int(old.timed), old.logs, old.squares)
                for own, old in zip(self.own, self.earlier, strict=True)]

    def gain(self, relay: int, told: Told) -> tuple[int, list[list[float]]]:
        """What a peer's running sums add: nothing where they were overtaken, all since a restart."""
        before = self.heard.get((relay, told.first))
        if before and (told.epoch, told.number) <= (before.epoch, before.number):
            return 0, []
        self.heard[relay, told.first] = told
        if not before or before.epoch != told.epoch or len(before.rows) != len(told.rows):
            return told.complained, [list(row) for row in told.rows]
        return told.complained - before.complained, [
            [new - old for new, old in zip(*pair, strict=True)]
            for pair in zip(told.rows, before.rows, strict=True)]


class Vote:
    __slots__ = ("cast", "not_before", "pause", "said")

    def __init__(self) -> None:
        self.said: tuple[int, int, int] | None = None
        self.cast = self.not_before = self.pause = 0


class News:
    """Where the newest build stands, as last told."""

    __slots__ = ("began", "build", "cap", "stage", "standing")

    def __init__(self, build: int, stage: int, standing: int, cap: float, began: int) -> None:
        self.build, self.stage, self.standing, self.cap, self.began = build, stage, standing, cap, began


class Instance:
    def __init__(self, seed: int, now: int, routes: int) -> None:
        self.chance, self.epoch = Chance(seed), now // 1000 % (1 << 32)
        self.units: dict[int, Unit] = {}
        self.ready: list[Unit] = []
        self.reqs: dict[str, Req] = {}
        self.news: News | None = None
        self.cap = Cap(0.0)
        self.tried: dict[tuple[int, int], Window] = {}
        self.took = [Window() for _ in range(routes)]
        self.open, self.usual_open, self.limit, self.strain = 0, 0.0, 20.0, 0.0
        self.retries = 10.0
        self.loads: dict[int, tuple[int, dict[int, list[int]]]] = {}
        self.answered = Window()
        self.keys: dict[int, int] = {}
        self.case: Case | None = None
        self.base = [Sums() for _ in range(routes)]
        self.newer = [Sums() for _ in range(routes)]
        self.typical: list[float] = []
        self.vote = Vote()
        self.ask_at = self.ask_pause = 0
        self.told_at = 0

    def list_units(self, entries: Iterable[Listed], whole: bool) -> None:
        listed = {entry.unit: entry for entry in entries}
        for name in self.units if whole else ():
            if name not in listed:
                self.units[name].health = GONE
        for name, entry in listed.items():
            if name in self.units:
                self.units[name].list(entry)
            else:
                self.units[name] = Unit(entry)
        self.ready = [self.units[name] for name in sorted(self.units) if self.units[name].health == READY]
