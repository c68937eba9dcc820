"""State by life: one upstream try, one req, one unit, the instance."""

import contextlib
import math
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice

from laurelcourse.chance import Chance
from laurelcourse.interface import AT_FAULT, FAILED, GONE, NEVER_RAN, OK, READY, Listed
from laurelcourse.messages import Told, Word
from laurelcourse.settings import GROUP_CELL, GROUP_ZONE, Route, Settings

KEYS = 1 << 16  # remembered at most, where keys stay with a build
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

    def drop(self, at: int) -> None:
        """Takes back one of that time, if it still counts."""
        with contextlib.suppress(ValueError):
            self.times.remove(at)


class Try:
    __slots__ = (
        "build",
        "counted",
        "fresh",
        "may_have_run",
        "number",
        "out",
        "sent",
        "since",
        "status",
        "unit",
    )

    def __init__(self, number: int, unit: "Unit", sent: int, fresh: bool) -> None:
        self.number, self.unit, self.build, self.sent, self.fresh = number, unit, unit.build, sent, fresh
        self.since, self.counted = unit.since, sent  # counted: since when, at a build on trial
        self.out = self.may_have_run = True
        self.status = ""

    def end(self, status: str) -> None:
        self.out, self.may_have_run, self.status = False, status not in NEVER_RAN, status
        self.unit.open -= 1


class Req:
    __slots__ = ("due", "id", "key", "owed", "place", "route", "state", "taken", "tries", "unsent")

    def __init__(self, name: str, route: Route, place: int, key: int | None, taken: int, due: int) -> None:
        self.id, self.route, self.place, self.key, self.taken, self.due = name, route, place, key, taken, due
        self.state = NEW
        self.owed: Try | None = None
        self.tries: list[Try] = []
        self.unsent = False

    def out(self, but: Try | None = None) -> bool:
        return any(one.out and one is not but for one in self.tries)

    def tried(self, unit: "Unit") -> bool:
        return any(one.unit is unit for one in self.tries)

    def blames(self, one: Try) -> bool:
        """Whether a failed try tells against its build: no other build failed the req too; where the unit
        blamed the req, another build served it."""
        others = [other.status for other in self.tries if other.build != one.build]
        return OK in others if one.status == AT_FAULT else not {FAILED, AT_FAULT}.intersection(others)

    def ran(self, but: Try | None = None) -> list[Try]:
        return [one for one in self.tries if one.may_have_run and one is not but]


class Cap:
    """The share of a build on trial, as last told; a lower one binds after the grace, and counts afresh. Told
    again meanwhile it binds no later: else news that repeats itself would put it off for ever."""

    __slots__ = ("coming", "now")

    def __init__(self, share: float) -> None:
        self.now = share
        self.coming: list[tuple[float, int]] = []  # lower and lower ones, and when each binds

    def told(self, share: float, binds: int) -> None:
        while self.coming and self.coming[-1][0] <= share:
            binds = self.coming.pop()[1]
        if share >= self.now:
            self.now = share
        else:
            self.coming.append((share, binds))

    def falls(self, now: int) -> bool:
        falls = False
        while self.coming and now >= self.coming[0][1]:
            self.now, falls = self.coming.pop(0)[0], True
        return falls


class Unit:
    """A unit as the directory lists it, and what this relay saw of it since it started."""

    __slots__ = (
        "aside_for",
        "aside_until",
        "build",
        "cell",
        "clean",
        "doubts",
        "failed",
        "failing",
        "gone",
        "health",
        "heard",
        "id",
        "open",
        "pace",
        "seen",
        "sends",
        "sent",
        "since",
        "size",
        "told",
        "unanswered",
        "zone",
    )

    def __init__(self, now: int, entry: Listed) -> None:
        self.id, self.open = entry.unit, 0
        self.heard = [0, 0, 0]
        self.since = self.build = -1
        self.list(now, entry)

    def list(self, now: int, entry: Listed) -> None:
        """An entry of a unit that leaves need not repeat what it is: else what was sent to a cold one would
        be counted anew, should the leaving be taken back."""
        self.health, self.gone = entry.health, None
        if entry.health != READY and self.build >= 0:
            return
        if (entry.since, entry.build) != (self.since, self.build):
            self.pace, self.failing, self.unanswered = 1.0, 0.0, None
            self.aside_until = self.aside_for = self.clean = 0
            self.seen = self.failed = 0.0
            self.sends, self.sent, self.told = Window(), 0, now  # told: when it was told of this start
            self.doubts: dict[int, tuple[int, bool]] = {}  # by relay, when, and whether the unit erred
        self.zone, self.cell, self.build = entry.zone, entry.cell, entry.build
        self.since, self.size = entry.since, entry.size

    def apart(self, other: "Unit", group: str) -> bool:
        """Whether two units stand in different groups of those that drop each other's repeats; two whose zone
        is unknown may."""
        return (group == GROUP_ZONE and self is not other and (self.zone != other.zone or not self.zone)) or (
            group == GROUP_CELL and self.cell != other.cell
        )

    def doubt(self, relay: int, now: int, erred: bool, until: int) -> None:
        """Keeps a relay's doubt, the newest last; those from before then go."""
        self.doubts.pop(relay, None)
        self.doubts[relay] = (now, erred)
        while self.doubts[oldest := next(iter(self.doubts))][0] <= until:
            del self.doubts[oldest]

    def erred(self, since: int, but: int = -1) -> bool:
        """Whether it has erred at another relay than this one since then."""
        return any(erred and at > since for relay, (at, erred) in self.doubts.items() if relay != but)

    def ended(self) -> tuple[float, float]:
        """How many tries lately ended, and how many of them failed, here and as peers told."""
        return self.seen + self.heard[1], self.failed + self.heard[2]

    def begin(self, now: int, counted: int) -> None:
        """A try begins; of those before it, the ones since then still count."""
        self.open += 1
        self.sent += 1
        self.sends.since(counted)
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

    def usual(self, floor: float) -> tuple[float, float]:
        """Mean and spread of log latency."""
        mean = self.logs / self.timed
        return mean, max(floor, math.sqrt(max(self.squares / self.timed - mean * mean, 0.0)))

    def fade(self, factor: float) -> None:
        self.count *= factor
        self.failed *= factor
        self.timed *= factor
        self.logs *= factor
        self.squares *= factor


class Case:
    """What is known of one build: the weights of the judge, and the sums told to the hashed voters."""

    __slots__ = (
        "build",
        "changed",
        "complained",
        "counted",
        "earlier",
        "heard",
        "own",
        "places",
        "timed",
        "voters",
        "warm",
        "weights",
        "words",
    )

    def __init__(self, build: int, places: int, routes: int, weights: list[float], voters: list[int]) -> None:
        self.build, self.places, self.weights, self.voters = build, places, weights, voters
        self.counted = self.complained = self.warm = 0
        self.timed = 0.0
        self.own = [Sums() for _ in range(routes)]
        self.earlier = [Sums() for _ in range(routes)]
        self.changed: set[int] = set()
        self.heard: dict[tuple[int, int], tuple] = {}
        self.words: dict[int, tuple[int, Word]] = {}

    def rows(self) -> list[tuple]:
        """The sums of the routes that changed since they were last told."""
        places, self.changed = sorted(self.changed), set()
        return [
            (
                place,
                int(own.count),
                int(own.failed),
                int(own.timed),
                own.logs,
                int(old.count),
                int(old.failed),
                int(old.timed),
                old.logs,
                old.squares,
            )
            for place, own, old in ((place, self.own[place], self.earlier[place]) for place in places)
        ]

    def complain(self, place: int) -> None:
        self.complained += 1
        self.changed.add(place)

    def take(self, now: int, relay: int, word: Word) -> None:
        """Keeps a voter's word, unless it is another build's, not a voter's, or overtaken."""
        before = self.words.get(relay, (0, None))[1]
        newer = before is None or (word.epoch, word.number) > (before.epoch, before.number)
        if word.build == self.build and relay in self.voters and newer:
            self.words[relay] = (now, word)

    def agreed(self, since: int, voters: int) -> Word | None:
        """What so many voters bear out of the words heard since then: of each figure, the last of theirs."""
        words = [word for at, word in self.words.values() if at >= since]
        if len(words) < voters:
            return None
        parts, usual = (
            [sorted(column)[-voters] for column in zip(*rows, strict=True)]
            for rows in ([word.posteriors for word in words], [word.usual for word in words])
        )
        counted, wait = (
            sorted(column)[-voters]
            for column in zip(*((word.counted, word.wait) for word in words), strict=True)
        )
        return Word(0, 0, self.build, counted, tuple(parts), tuple(usual), wait)

    def gain(self, relay: int, told: Told) -> tuple[int, list[tuple[int, list[float]]]]:
        """What a peer adds, complaints and sums by route: nothing if overtaken, all since a restart."""
        gained = []
        if told.build != self.build:
            return 0, gained
        for place, row in [(-1, (told.complained,)), *told.rows.items()]:
            epoch, number, before = self.heard.get((relay, place), (-1, -1, ()))
            if (told.epoch, told.number) > (epoch, number):
                self.heard[relay, place] = (told.epoch, told.number, row)
                before = before if epoch == told.epoch else [0] * len(row)
                gained.append((place, [new - old for new, old in zip(row, before, strict=True)]))
        complained = gained.pop(0)[1][0] if gained and gained[0][0] < 0 else 0
        return complained, gained


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


class Group:
    """Ready units that may serve alike: those near, and the rest."""

    __slots__ = ("far", "many", "near")

    def __init__(self, units: list[Unit], home: str | None) -> None:
        self.near = [unit for unit in units if home in (None, unit.zone)]
        self.far = [unit for unit in units if home not in (None, unit.zone)]
        self.many = len(units)

    def at(self, place: int) -> Unit:
        return self.near[place] if place < len(self.near) else self.far[place - len(self.near)]


class Flow:
    """Tries at all relays, as a voter hears of them: how many are open, and how many end."""

    __slots__ = ("at", "ended", "opened", "rate")

    def __init__(self, now: int) -> None:
        self.at, self.ended, self.rate = now, 0.0, 0.0
        self.opened: dict[int, tuple[int, int]] = {}

    def hear(self, now: int, relay: int, opened: int) -> None:
        self.opened[relay] = (now, opened)

    def wait(self, now: int, lasts: int) -> float:
        """How long a try is open, in microseconds, by Little's law (Little 1961): it shows a jam before late
        answers do. What a relay told counts for so long; rates are smoothed over as long; 0 if unknown."""
        took = max(now - self.at, 1)
        self.rate += (self.ended / took - self.rate) * (min(took / lasts, 1.0) if self.rate else 1.0)
        self.at, self.ended = now, 0.0
        self.opened = {relay: told for relay, told in self.opened.items() if now - told[0] < lasts}
        return sum(opened for _, opened in self.opened.values()) / self.rate if self.rate > 0 else 0.0


class Work:
    """What warm units answered here, and in how much time of theirs. It fades while some are warm and stands
    still while all are cold: the answers of those tell what was let through, not what a unit can do."""

    __slots__ = ("answers", "at", "sizes", "units")

    def __init__(self, now: int) -> None:
        self.at, self.answers = now, 0.0
        self.sizes = self.units = 0.0  # each times microseconds

    def passes(self, now: int, lasts: int, warm: list[float]) -> None:
        """Time passes for warm units of these sizes; half of what was fades in so many microseconds."""
        took, self.at = now - self.at, now
        faded = 0.5 ** (took / lasts) if warm else 1.0
        self.answers *= faded
        self.sizes = self.sizes * faded + took * sum(warm)
        self.units = self.units * faded + took * len(warm)

    def took(self, size: float, least: int) -> float:
        """In how many microseconds of one warm unit of this size, no larger than an even one, but `least`."""
        return max(self.sizes / size if size else 0.0, self.units, least)


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
        self.answered, self.work = Window(), Work(now)
        self.keys: dict[int, int] = {}
        self.case: Case | None = None
        self.base = [Sums() for _ in range(routes)]
        self.newer = [Sums() for _ in range(routes)]
        self.typical: list[float] = []
        self.vote = Vote()
        self.ask_at = self.ask_pause = 0
        self.told = self.tell_at = 0
        self.doubted: list[tuple[int, bool]] = []
        self.flow = Flow(now)
        self.beat_at = now
        self.crossing = 0.0
        self.oldest, self.size, self.eldest = 0, 0.0, 0  # of the ready units: first build, sizes, first start
        self.grouped = False
        self.trial = self.others = self.whole = Group([], None)

    def list_units(self, now: int, entries: Iterable[Listed], whole: bool) -> None:
        listed = {entry.unit: entry for entry in entries}
        for name in self.units if whole else ():
            if name not in listed:
                self.units[name].health = GONE
        for name, entry in listed.items():
            if name in self.units:
                self.units[name].list(now, entry)
            else:
                self.units[name] = Unit(now, entry)
        self.ready = [self.units[name] for name in sorted(self.units) if self.units[name].health == READY]
        self.oldest = min((unit.build for unit in self.ready), default=0)
        self.size = sum(unit.size for unit in self.ready)
        self.eldest = min((unit.since for unit in self.ready), default=0)
        self.grouped = False

    def answer(self, now: int, unit: Unit, warm_after: int) -> None:
        self.answered.add(now)
        self.work.answers += unit.health == READY and now - unit.since >= warm_after

    def alike(self, unit: Unit) -> float:
        """How many units of its size the ready ones amount to; no fewer than there are: sizes are rough."""
        return max(self.size / unit.size if unit.size else 0.0, len(self.ready), 1)

    def group(self, on_trial: Callable[[int], bool], home: str | None) -> None:
        """The ready units by where they stand, made anew when the directory or the platform has news."""
        self.trial = Group([unit for unit in self.ready if on_trial(unit.build)], home)
        self.others = Group([unit for unit in self.ready if not on_trial(unit.build)], home)
        self.whole = Group(self.ready, home)
        self.grouped = True

    def turn_over(self, released: bool) -> None:
        """Another build is offered: a released one's sums become the earlier build's."""
        self.base = self.newer if released else self.base
        self.newer = [Sums() for _ in self.base]

    def fade(self, factor: float, least: int, most: int) -> None:
        """Lets what is known of outcomes fade to the most that counts, but not what is too little already."""
        if self.case:
            self.case.timed *= factor
        for sums in self.base + self.newer:
            if sums.count > least:
                sums.fade(min(factor, most / sums.count))

    def lateness(self, routes: tuple[Route, ...], least: int) -> tuple[float, ...]:
        """Each route's usual latency at all builds, as a multiple of its objective; 0 if little is known."""
        found = []
        for old, new, route in zip(self.base, self.newer, routes, strict=True):
            timed = old.timed + new.timed
            found.append(math.exp((old.logs + new.logs) / timed) / route.objective if timed >= least else 0.0)
        return tuple(found)

    def tidy(self, now: int, loads: int, answered: int, s: Settings) -> None:
        """Lets go of what counts no more, however long the relay runs: loads and answers of before then,
        tries and reqs outside the cap's window, units that left, the oldest keys."""
        self.drop_loads(loads)
        self.answered.since(answered)
        self.work.passes(
            now,
            max(s.warm_after, now - answered),
            [unit.size for unit in self.ready if now - unit.since >= s.warm_after],
        )
        counted = now - s.cap_window - s.tick
        for window in self.took:
            window.since(counted)
        self.tried = {at: window for at, window in self.tried.items() if window.since(counted)}
        for unit in [unit for unit in self.units.values() if unit.health == GONE and not unit.open]:
            unit.gone = now if unit.gone is None else unit.gone
            if now - unit.gone > 2 * s.warm_after:  # complaints come late, and a leaving may be taken back
                del self.units[unit.id]
                for _, told in self.loads.values():
                    told.pop(unit.id, None)
        if len(self.keys) > KEYS:
            self.keys = dict(islice(self.keys.items(), KEYS // 2, None))

    def drop_loads(self, before: int) -> None:
        for relay in [relay for relay, (at, _) in self.loads.items() if at <= before]:
            self.hear_loads(relay, before, {})

    def hear_loads(self, relay: int, now: int, told: dict[int, list[int]]) -> dict[int, list[int]]:
        """Keeps each unit's sum of what peers told of it; returns what this peer told before."""
        before = self.loads.pop(relay, (0, {}))[1]
        told = {name: counts for name, counts in told.items() if name in self.units}
        for sign, loads in ((-1, before), (1, told)):
            for name, counts in loads.items():
                unit = self.units[name]
                unit.heard = [have + sign * new for have, new in zip(unit.heard, counts[:3], strict=True)]
        if told:
            self.loads[relay] = (now, told)
        return before
