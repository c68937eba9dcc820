"""A small world in simulated time: clocks that differ, a network that loses, doubles and delays, disks that
are slow, and keepers that are killed, paused and brought back. All chance is from one seed.

Nothing here knows what a keeper decides: it drives the `Coordinator` that real processes run, and carries
out its `Acts` as they do, one after the other, with a point to die at before and after each write and each
send.
"""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls.codec import decode_batch, encode_batch
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import LEADER, Entry, Kept, Mark, Snapshot, Write
from laurelcourse.fleet.orders import Acts, Answer, Terms
from laurelcourse.fleet.routing import forward_target
from laurelcourse.lab.checks.logs import Breach, Ledger
from laurelcourse.prng import Prng

SPIN = 500  # what is due at once again and again gets no further without it, microseconds
WRITE = (150, 2_500)  # a write to disk takes so long, least and most
NEAR, FAR = 120, 6_000  # one way within a site, and between sites, at least
MILLION = 1_000_000


class Weather(NamedTuple):
    """What befalls each message: parts of a million lost and doubled, and a further delay of up to `late`."""

    lost: int = 0
    doubled: int = 0
    late: int = 300


class Clock:
    """A process's own monotonic clock, against true time. It is fast or slow by a fixed part of a million."""

    __slots__ = ("base", "ppm", "since")

    def __init__(self, base: int, ppm: int) -> None:
        self.base, self.ppm, self.since = base, ppm, 0

    def local(self, true: int) -> int:
        return self.base + (true - self.since) * (MILLION + self.ppm) // MILLION

    def true(self, local: int) -> int:
        """The first true time at which the clock shows at least this."""
        return self.since - (self.base - local) * MILLION // (MILLION + self.ppm) + 1

    def jump(self, true: int, by: int) -> None:
        self.base, self.since = self.local(true) + by, true


class Disk:
    """What is durable. `archive` keeps entries that a snapshot took the place of, for the checks alone."""

    __slots__ = ("archive", "disk", "entries", "marks", "snapshot", "term", "vote")

    def __init__(self, disk: str) -> None:
        self.disk, self.term, self.vote = disk, 0, ""
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.marks: dict[str, Mark] = {}
        self.archive: dict[int, Entry] = {}

    def save(self, write: Write, first: dict[int, tuple[Entry, str]]) -> None:
        self.term, self.vote = write.term, write.vote
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            if write.snapshot_whole:
                self.entries = []
                self.archive = {
                    index: entry for index, (entry, _) in first.items() if index <= write.snapshot.index
                }
            else:
                self.entries = [one for one in self.entries if one.index > write.snapshot.index]
        if write.cut:
            self.entries = [one for one in self.entries if one.index < write.cut]
            self.archive = {index: entry for index, entry in self.archive.items() if index < write.cut}
        self.entries += write.entries
        self.archive.update((one.index, one) for one in write.entries)
        if write.marks is not None:
            self.marks = dict(write.marks)
        base = self.snapshot.index if self.snapshot else 0
        if any(one.index != base + 1 + place for place, one in enumerate(self.entries)):
            raise AssertionError(f"the log on disk {self.disk} does not go on from {base}")

    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0

    def kept(self) -> Kept:
        return Kept(self.disk, self.term, self.vote, self.snapshot, tuple(self.entries), dict(self.marks))

    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term if self.snapshot else 0

    def copy(self) -> "Disk":
        one = Disk(self.disk)
        one.term, one.vote, one.snapshot = self.term, self.vote, self.snapshot
        one.entries, one.marks, one.archive = list(self.entries), dict(self.marks), dict(self.archive)
        return one


class Node:
    """A process: alive in its `life`, or not; paused until woken; what waits for it."""

    __slots__ = ("clock", "jobs", "life", "name", "paused", "site", "up", "wake")

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        self.name, self.site, self.clock = name, site, clock
        self.life, self.up, self.paused, self.wake = 0, False, False, -1
        self.jobs: deque[tuple] = deque()


class Asked(NamedTuple):
    """An order as it reached a keeper. `asker`: a relay, or a keeper that hands it on; `call`: its number."""

    kind: str
    asker: str
    call: int
    order: Any
    hand_on: bool = False


class KeeperNode(Node):
    __slots__ = (
        "applied",
        "asked",
        "busy",
        "desk",
        "disk",
        "doom",
        "false_disk",
        "good",
        "hands",
        "slow",
        "token",
        "writing",
    )

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        super().__init__(name, site, clock)
        self.disk = Disk(f"disk-{name}-0")
        self.desk: Coordinator | None = None
        self.asked: dict[int, Asked] = {}  # by token
        self.hands: dict[int, Asked] = {}  # handed on, by the number given to the leader
        self.token, self.applied, self.doom, self.slow = 0, 0, 0, 0
        self.busy, self.false_disk = False, False
        self.writing: Write | None = None
        self.good: Disk | None = None  # the true one, while an old or wiped one is there


class World:
    """Events in true time, in whole microseconds; two at one time in the order in which they were made."""

    def __init__(self, seed: int, terms: Terms, names: tuple[str, ...], sites: int) -> None:
        self.seed, self.terms, self.rng = seed, terms, Prng(seed)
        self.now = self.steps = self._count = 0
        self.events: list[tuple] = []
        self.ledger = Ledger()
        self.weather = Weather()
        self.cuts: set[tuple[str, str]] = set()
        self.nodes: dict[str, Node] = {}
        self.keepers: dict[str, KeeperNode] = {}
        self.heard: Callable[[str, int, Answer, str], None]  # an answer reaches its relay; from whom, by hand
        self.others: Callable[[Node], None]  # a process that is no keeper has something to do
        self.entry: Callable[[int, Entry], None]  # an entry was applied for the first time
        self.trace: deque[str] = deque(maxlen=60)
        self.bytes = self.false_disks = self.refusals = self.handed = 0
        self.changed = False  # a change of the keepers has been asked for
        self.size: Callable[[Any], int] | None = None
        self.led_at: list[tuple[int, int, str]] = []  # when a term's leader was first heard, true time
        for place, name in enumerate(names):
            node = KeeperNode(name, f"s{place % sites}", self.clock())
            self.keepers[name] = self.nodes[name] = node

    def clock(self) -> Clock:
        """Any start; as fast or slow as the terms allow, most often at one of the two ends."""
        drift = self.terms.drift
        return Clock(
            self.rng.below(1 << 40),
            (-drift, drift, self.rng.below(2 * drift + 1) - drift)[self.rng.below(3)],
        )

    def at(self, when: int, do: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        self._count += 1
        heapq.heappush(self.events, (when, self._count, do, args))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self.events)
            self.steps += 1
            do(*args)
        self.now = until

    def say(self, words: str) -> None:
        self.trace.append(f"{self.now / 1000:10.3f} ms  {words}")

    # The network

    def send(self, source: str, target: str, do: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        rng, weather = self.rng, self.weather
        if (source, target) in self.cuts or rng.below(MILLION) < weather.lost:
            return
        far = FAR if self.nodes[source].site != self.nodes[target].site else NEAR
        for _ in range(2 if rng.below(MILLION) < weather.doubled else 1):
            self.at(self.now + far + rng.below(far // 4 + 1) + rng.below(weather.late + 1), do, *args)

    # Keepers

    def start(self, keeper: KeeperNode) -> None:
        if keeper.up:
            return
        keeper.up, keeper.paused, keeper.busy, keeper.wake = True, False, False, -1
        keeper.life += 1
        keeper.applied = keeper.disk.snapshot.index if keeper.disk.snapshot else 0
        keeper.jobs.clear()
        keeper.asked.clear()
        keeper.hands.clear()
        disk = keeper.disk
        self.say(f"{keeper.name} starts: disk {disk.disk}, term {disk.term}, to {disk.last()}")
        keeper.desk = Coordinator(
            keeper.name,
            keeper.site,
            self.terms,
            Prng(self.rng.below(1 << 31)),
            keeper.disk.kept(),
            keeper.clock.local(self.now),
            encode=encode_batch,
            decode=decode_batch,
        )
        # What its snapshot stands for it may have applied and died before anybody saw it.
        for index in range(1, keeper.applied + 1):
            if index in keeper.disk.archive:
                self._saw(keeper, keeper.disk.archive[index])
        if keeper.applied:
            self.ledger.state(self.now, keeper.name, keeper.applied, keeper.desk.books.hash())
        self.wake(keeper)

    def kill(self, keeper: KeeperNode) -> None:
        """kill -9: a write under way is on disk whole, or not at all."""
        if not keeper.up:
            return
        self.say(f"{keeper.name} is killed")
        if keeper.writing is not None and self.rng.below(2):
            keeper.disk.save(keeper.writing, self.ledger.first)
        keeper.up, keeper.desk, keeper.writing, keeper.doom = False, None, None, 0
        keeper.life += 1
        keeper.jobs.clear()

    def pause(self, node: Node, lasts: int) -> None:
        if node.up and not node.paused:
            self.say(f"{node.name} is paused for {lasts // 1000} ms")
            node.paused = True
            self.at(self.now + lasts, self.resume, node, node.life)

    def resume(self, node: Node, life: int) -> None:
        if node.life == life and node.paused:
            self.say(f"{node.name} wakes, {len(node.jobs)} things wait")
            node.paused = False
            node.jobs.append(("tick",))
            self._mix(node.jobs)
            self.work(node)

    def _mix(self, jobs: deque[tuple]) -> None:
        """A backlog came by many connections, and the timer is one more: which is read first is chance. What
        was under way as the process was paused goes on first."""
        first = 1 if jobs[0][0] == "rest" else 0
        for place in range(len(jobs) - 1, first, -1):
            other = first + self.rng.below(place - first + 1)
            jobs[place], jobs[other] = jobs[other], jobs[place]

    def post(self, name: str, life: int, *job: Any) -> None:  # noqa: ANN401
        """A job for a process; `life` 0 for whichever life it is in."""
        node = self.nodes[name]
        if node.up and life in (0, node.life):
            node.jobs.append(job)
            self.work(node)

    def work(self, node: Node) -> None:
        if not isinstance(node, KeeperNode):
            self.others(node)
        else:
            while node.up and not node.busy and not node.paused and node.jobs:
                self._one(node, node.jobs.popleft())

    def _one(self, keeper: KeeperNode, job: tuple) -> None:
        desk, now = keeper.desk, keeper.clock.local(self.now)
        kind = job[0]
        if kind == "rest":
            self._rest(keeper, job[1])
            return
        if kind == "by hand":
            self._by_hand(keeper, *job[1:])
            return
        try:
            if kind == "tick":
                acts = desk.tick(now)
            elif kind == "hear":
                acts = desk.hear(now, job[1], job[2])
            elif kind == "stop":
                acts = desk.stop(now)
            elif kind == "change":
                self.changed = True
                keeper.token += 1
                acts = desk.change(now, keeper.token, job[1])
            else:
                keeper.token += 1
                asked = keeper.asked[keeper.token] = Asked(*job)
                acts = getattr(desk, kind)(now, keeper.token, asked.order)
        except Exception as fault:
            self.ledger.breaches.append(
                Breach("module_faults", self.now, f"{keeper.name} {job[0]}: {fault!r}")
            )
            self.kill(keeper)
            return
        if acts.write is None:
            self._rest(keeper, acts)
        elif not self._dies(keeper):
            keeper.busy, keeper.writing = True, acts.write
            self.at(
                self.now + WRITE[0] + self.rng.below(WRITE[1]) + keeper.slow,
                self._written,
                keeper,
                keeper.life,
                acts,
            )

    def _written(self, keeper: KeeperNode, life: int, acts: Acts) -> None:
        if keeper.life != life:
            return
        keeper.disk.save(acts.write, self.ledger.first)
        keeper.writing, keeper.busy = None, False
        if self._dies(keeper):
            return
        keeper.jobs.appendleft(("rest", acts))
        self.work(keeper)

    def _dies(self, keeper: KeeperNode) -> bool:
        """A point at which a keeper that is doomed may die."""
        if keeper.doom:
            keeper.doom -= 1
            if not keeper.doom:
                self.kill(keeper)
                self.at(self.now + 20_000 + self.rng.below(1_500_000), self.start, keeper)
        return not keeper.up

    def _rest(self, keeper: KeeperNode, acts: Acts) -> None:
        self._applied(keeper)
        for target, message in acts.send:
            if target in self.keepers:
                self.sent(keeper, message)
                self.send(keeper.name, target, self.post, target, 0, "hear", keeper.name, message)
                if keeper.doom and self._dies(keeper):
                    return
        for token, answer in acts.answers:
            asked = keeper.asked.pop(token, None)
            if asked:
                self._answer(keeper, asked, answer)
                if keeper.doom and self._dies(keeper):
                    return
        for note in acts.notes:
            self.say(f"{keeper.name} notes {note.level} {note.msg} {dict(note.fields)}")
        self.wake(keeper)

    def _answer(self, keeper: KeeperNode, asked: Asked, answer: Answer) -> None:
        """To whoever asked, or the order goes on to the leader. Without the bound that real ones have on its
        time: the later it comes there, the harder."""
        if self.size:
            self.bytes += self.size(answer)
        if leader := forward_target(asked.hand_on, answer, keeper.name, self.keepers):
            self._count += 1
            keeper.hands[self._count] = asked
            self.send(
                keeper.name, leader, self.post, leader, 0, asked.kind, keeper.name, self._count, asked.order
            )
        elif asked.asker in self.keepers:
            self.send(
                keeper.name,
                asked.asker,
                self.post,
                asked.asker,
                0,
                "by hand",
                asked.call,
                answer,
                keeper.name,
            )
        else:
            self.send(keeper.name, asked.asker, self.heard, asked.asker, asked.call, answer, "")

    def _by_hand(self, keeper: KeeperNode, number: int, answer: Answer, leader: str) -> None:
        """The leader's answer; one to a former life, or one that comes twice, finds nobody who waits."""
        asked = keeper.hands.pop(number, None)
        if asked is not None:
            self.handed += not (isinstance(answer, Done) and answer.code)
            self.send(keeper.name, asked.asker, self.heard, asked.asker, asked.call, answer, leader)

    def sent(self, keeper: KeeperNode, message: Any) -> None:  # noqa: ANN401
        leads = len(self.ledger.leads)
        self.ledger.sent(self.now, keeper.name, message)
        if len(self.ledger.leads) > leads:
            self.say(f"{keeper.name} leads term {message.term}")
            self.led_at.append((self.now, message.term, keeper.name))
        if keeper.false_disk and (getattr(message, "granted", False) or getattr(message, "ok", False)):
            self.ledger.breaches.append(Breach("older_disk_voted", self.now, f"{keeper.name}: {message}"))

    def _applied(self, keeper: KeeperNode) -> None:
        core = keeper.desk.core
        if core.applied <= keeper.applied:
            return
        base = keeper.disk.snapshot.index if keeper.disk.snapshot else 0
        for index in range(keeper.applied + 1, core.applied + 1):
            entry = keeper.disk.archive.get(index)
            if entry is not None:
                self._saw(keeper, entry)
            elif index > base:
                self.ledger.breaches.append(
                    Breach("logs_differ", self.now, f"{keeper.name} applied {index}, which its disk lacks")
                )
        keeper.applied = core.applied
        if core.applied % 3 == 0:
            self.ledger.state(self.now, keeper.name, core.applied, keeper.desk.books.hash())

    def _saw(self, keeper: KeeperNode, entry: Entry) -> None:
        if entry.index > self.ledger.last:
            self.entry(self.now, entry)
        self.ledger.applied(self.now, keeper.name, entry)

    def wake(self, keeper: KeeperNode) -> None:
        if keeper.up:
            due = max(keeper.clock.true(keeper.desk.due()), self.now + SPIN)
            if keeper.wake < self.now or due < keeper.wake:
                keeper.wake = due
                self.at(due, self._tick, keeper, keeper.life)

    def _tick(self, keeper: KeeperNode, life: int) -> None:
        if keeper.life == life and keeper.wake == self.now:
            keeper.wake = -1
            if not keeper.paused:
                keeper.jobs.append(("tick",))
                self.work(keeper)

    def leader(self) -> KeeperNode | None:
        """Who leads in the newest term, as the keepers that are up say of themselves (for aiming faults)."""
        found = [one for one in self.keepers.values() if one.up and one.desk.core.role == LEADER]
        return max(found, key=lambda one: (one.desk.core.term, one.name), default=None)
