"""Keepers in simulated time.

Processes have clocks that differ, a network that loses, duplicates and delays messages, and disks that are
slow; they are killed, paused and started again. All chance comes from one seed.

Nothing here knows what a keeper decides: the simulation drives the `Coordinator` that real processes run, and
carries out its `Acts` as they do, one after the other. A keeper may die before and after each write and each
message.
"""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.calls.codec import decode_batch, encode_batch
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import (
    LEADER,
    Entry,
    Keepers,
    Kept,
    Mark,
    Message,
    Snapshot,
    Write,
)
from laurelcourse.fleet.orders import Acts, Answer, Terms
from laurelcourse.fleet.routing import forward_target
from laurelcourse.lab.checks.logs import Breach, LogChecker
from laurelcourse.prng import Prng

MILLION = 1_000_000
MIN_TIMER_US = 500  # without it, a timer that is due again at once would stop the time
MIN_WRITE_US = 150
WRITE_JITTER_US = 2_500
SAME_SITE_DELAY_US = 120  # one way, at least
CROSS_SITE_DELAY_US = 6_000
MIN_DOWN_US = 20_000  # of a keeper that died between two steps
DOWN_JITTER_US = 1_500_000
MAX_CLOCK_START_US = 1 << 40
TRACE_LINES = 60
STATE_CHECK_INTERVAL = 3  # entries


class NetworkConditions(NamedTuple):
    """What may befall each message."""

    lost_ppm: int = 0
    duplicated_ppm: int = 0
    jitter_us: int = 300  # a further delay, at most


class Clock:
    """A process's monotonic clock, which is fast or slow by a fixed rate against true time."""

    __slots__ = ("base", "fast_ppm", "since")

    def __init__(self, base: int, fast_ppm: int) -> None:
        self.base = base
        self.fast_ppm = fast_ppm
        self.since = 0  # true time at which the clock showed `base`

    def local(self, true: int) -> int:
        """Returns what the clock shows at a true time."""
        return self.base + (true - self.since) * (MILLION + self.fast_ppm) // MILLION

    def true(self, local: int) -> int:
        """Returns the first true time at which the clock shows at least this."""
        return self.since - (self.base - local) * MILLION // (MILLION + self.fast_ppm) + 1

    def jump(self, true: int, by: int) -> None:
        """Sets the clock forward at a true time."""
        self.base = self.local(true) + by
        self.since = true


class Disk:
    """What a keeper has saved. `archive` keeps entries that a snapshot replaced, for the checks alone."""

    __slots__ = ("archive", "entries", "id", "marks", "snapshot", "term", "vote")

    def __init__(self, disk_id: str) -> None:
        self.id = disk_id
        self.term = 0
        self.vote = ""
        self.snapshot: Snapshot | None = None
        self.entries: list[Entry] = []
        self.marks: dict[str, Mark] = {}
        self.archive: dict[int, Entry] = {}

    def save(self, write: Write, first_applied: dict[int, tuple[Entry, str]]) -> None:
        """Saves a write. Raises AssertionError if the log has a gap afterwards."""
        self.term = write.term
        self.vote = write.vote
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            if write.snapshot_whole:
                self.entries = []
                self.archive = {
                    index: entry
                    for index, (entry, _) in first_applied.items()
                    if index <= write.snapshot.index
                }
            else:
                self.entries = [entry for entry in self.entries if entry.index > write.snapshot.index]
        if write.cut:
            self.entries = [entry for entry in self.entries if entry.index < write.cut]
            self.archive = {index: entry for index, entry in self.archive.items() if index < write.cut}
        self.entries += write.entries
        self.archive.update((entry.index, entry) for entry in write.entries)
        if write.marks is not None:
            self.marks = dict(write.marks)
        base = self.snapshot_index()
        if any(entry.index != base + 1 + place for place, entry in enumerate(self.entries)):
            raise AssertionError(f"the log on disk {self.id} does not go on from {base}")

    def snapshot_index(self) -> int:
        """Returns the index of the last entry in the snapshot; 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot_index()

    def last_term(self) -> int:
        """Returns the term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.term if self.snapshot else 0

    def kept(self) -> Kept:
        """Returns what a keeper starts with."""
        return Kept(self.id, self.term, self.vote, self.snapshot, tuple(self.entries), dict(self.marks))

    def copy(self) -> "Disk":
        """Returns a copy."""
        other = Disk(self.id)
        other.term = self.term
        other.vote = self.vote
        other.snapshot = self.snapshot
        other.entries = list(self.entries)
        other.marks = dict(self.marks)
        other.archive = dict(self.archive)
        return other


# Jobs of a process, which it does one after the other.


class Tick(NamedTuple):
    """A timer is due."""


class Receive(NamedTuple):
    """A message from another keeper."""

    sender: str
    message: Message


class Stop(NamedTuple):
    """SIGTERM."""


class ChangeKeepers(NamedTuple):
    """An operator's wish for other keepers."""

    keepers: Keepers


class Order(NamedTuple):
    """An order as it reached a keeper. `call` is the number that the asker gave it."""

    kind: str
    asker: str  # a relay, or a keeper that forwards it
    call: int
    order: Any
    may_forward: bool = False


class CarryOut(NamedTuple):
    """What remains of acts once their write is on disk."""

    acts: Acts


class ForwardedAnswer(NamedTuple):
    """The leader's answer to an order that this keeper forwarded."""

    number: int
    answer: Answer
    leader: str


class AnswerCall(NamedTuple):
    """An answer to a relay's call; `forwarded_by` names the leader if a keeper forwarded the call."""

    number: int
    answer: Answer
    forwarded_by: str


class TimeOutCall(NamedTuple):
    """A relay's call has been under way for too long."""

    number: int


Job = Tick | Receive | Stop | ChangeKeepers | Order | CarryOut | ForwardedAnswer | AnswerCall | TimeOutCall

ANY_LIFE = 0


class Process:
    """A process. Each start begins another `life`; jobs wait while it is paused or busy."""

    __slots__ = ("clock", "jobs", "life", "name", "paused", "site", "up", "wake_at")

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        self.name = name
        self.site = site
        self.clock = clock
        self.life = 0
        self.up = False
        self.paused = False
        self.wake_at = -1  # true time of its timer
        self.jobs: deque[Job] = deque()


class KeeperProcess(Process):
    """A keeper."""

    __slots__ = (
        "applied",
        "busy",
        "coordinator",
        "disk",
        "disk_delay",
        "forwarded",
        "has_false_disk",
        "newest_disk",
        "orders",
        "steps_to_death",
        "token",
        "write",
    )

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        super().__init__(name, site, clock)
        self.disk = Disk(f"disk-{name}-0")
        self.coordinator: Coordinator | None = None
        self.orders: dict[int, Order] = {}  # by token
        self.forwarded: dict[int, Order] = {}  # by the number given to the leader
        self.token = 0
        self.applied = 0  # index of the last entry that was checked
        self.steps_to_death = 0  # writes and messages; 0: it does not die
        self.disk_delay = 0  # microseconds more for each write
        self.busy = False  # with a write
        self.write: Write | None = None  # under way
        self.has_false_disk = False
        self.newest_disk: Disk | None = None  # set aside while an old or wiped one is used


class Simulation:
    """Events in true time, in whole microseconds; of two at one time, the one scheduled first comes first."""

    def __init__(self, seed: int, terms: Terms, names: tuple[str, ...], sites: int) -> None:
        self.seed = seed
        self.terms = terms
        self.rng = Prng(seed)
        self.now = 0
        self.steps = 0
        self._count = 0
        self.events: list[tuple] = []  # heap of time, number, function, arguments
        self.log_checker = LogChecker()
        self.network = NetworkConditions()
        self.cut_links: set[tuple[str, str]] = set()  # from, to
        self.processes: dict[str, Process] = {}
        self.keepers: dict[str, KeeperProcess] = {}
        # Set by whoever simulates relays and checks.
        self.on_answer: Callable[[str, int, Answer, str], None]  # relay, call, answer, leader if forwarded
        self.on_relay_work: Callable[[Process], None]
        self.on_entry: Callable[[int, Entry], None]  # applied for the first time, and when
        self.trace: deque[str] = deque(maxlen=TRACE_LINES)
        self.byte_count = 0
        self.false_disk_count = 0
        self.refused_disk_count = 0
        self.forwarded_count = 0  # orders answered through another keeper
        self.keepers_changed = False  # another set of keepers was asked for
        self.message_size: Callable[[Any], int] | None = None  # bytes are counted only with it
        self.leader_times: list[tuple[int, int, str]] = []  # true time, term and leader, when first heard
        for place, name in enumerate(names):
            keeper = KeeperProcess(name, f"s{place % sites}", self.make_clock())
            self.keepers[name] = keeper
            self.processes[name] = keeper

    def make_clock(self) -> Clock:
        """Returns a clock with any start, as fast or slow as the terms allow, often at one of the ends."""
        drift = self.terms.drift
        return Clock(
            self.rng.below(MAX_CLOCK_START_US),
            (-drift, drift, self.rng.below(2 * drift + 1) - drift)[self.rng.below(3)],
        )

    def schedule(self, at: int, action: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Has `action` called at a true time."""
        self._count += 1
        heapq.heappush(self.events, (at, self._count, action, args))

    def run(self, until: int) -> None:
        """Runs all events up to a true time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            self.steps += 1
            action(*args)
        self.now = until

    def record(self, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append(f"{self.now / 1000:10.3f} ms  {text}")

    # The network

    def send(self, source: str, target: str, action: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Has `action` called once a message from source to target arrives, if it does."""
        rng = self.rng
        network = self.network
        if (source, target) in self.cut_links or rng.below(MILLION) < network.lost_ppm:
            return
        same_site = self.processes[source].site == self.processes[target].site
        delay = SAME_SITE_DELAY_US if same_site else CROSS_SITE_DELAY_US
        for _ in range(2 if rng.below(MILLION) < network.duplicated_ppm else 1):
            at = self.now + delay + rng.below(delay // 4 + 1) + rng.below(network.jitter_us + 1)
            self.schedule(at, action, *args)

    def post(self, name: str, life: int, job: Job) -> None:
        """Gives a process a job, if it is in this life or `life` is ANY_LIFE."""
        process = self.processes[name]
        if process.up and life in (ANY_LIFE, process.life):
            process.jobs.append(job)
            self.work(process)

    # Keepers

    def start(self, keeper: KeeperProcess) -> None:
        """Starts a keeper with what is on its disk, unless it is up."""
        if keeper.up:
            return
        keeper.up = True
        keeper.paused = False
        keeper.busy = False
        keeper.wake_at = -1
        keeper.life += 1
        keeper.applied = keeper.disk.snapshot_index()
        keeper.jobs.clear()
        keeper.orders.clear()
        keeper.forwarded.clear()
        disk = keeper.disk
        self.record(f"{keeper.name} starts: disk {disk.id}, term {disk.term}, to {disk.last_index()}")
        keeper.coordinator = Coordinator(
            keeper.name,
            keeper.site,
            self.terms,
            Prng(self.rng.below(1 << 31)),
            keeper.disk.kept(),
            keeper.clock.local(self.now),
            encode=encode_batch,
            decode=decode_batch,
        )
        # It may have applied the entries of its snapshot and died before that was checked.
        for index in range(1, keeper.applied + 1):
            if index in keeper.disk.archive:
                self._check_entry(keeper, keeper.disk.archive[index])
        if keeper.applied:
            self._check_state(keeper, keeper.applied)
        self.schedule_wake(keeper)

    def kill(self, keeper: KeeperProcess) -> None:
        """Kills a keeper: a write under way is on disk whole, or not at all."""
        if not keeper.up:
            return
        self.record(f"{keeper.name} is killed")
        if keeper.write is not None and self.rng.below(2):
            keeper.disk.save(keeper.write, self.log_checker.first_applied)
        keeper.up = False
        keeper.coordinator = None
        keeper.write = None
        keeper.steps_to_death = 0
        keeper.life += 1
        keeper.jobs.clear()

    def pause(self, process: Process, duration: int) -> None:
        """Pauses a process for `duration` microseconds."""
        if process.up and not process.paused:
            self.record(f"{process.name} is paused for {duration // 1000} ms")
            process.paused = True
            self.schedule(self.now + duration, self.resume, process, process.life)

    def resume(self, process: Process, life: int) -> None:
        """Ends a pause, if the process is still in this life."""
        if process.life == life and process.paused:
            self.record(f"{process.name} wakes, {len(process.jobs)} things wait")
            process.paused = False
            process.jobs.append(Tick())
            self._shuffle(process.jobs)
            self.work(process)

    def _shuffle(self, jobs: deque[Job]) -> None:
        """Shuffles a backlog: it came by many connections and a timer, and which is read first is chance.

        What was under way as the process was paused goes on first.
        """
        first = 1 if isinstance(jobs[0], CarryOut) else 0
        for place in range(len(jobs) - 1, first, -1):
            other = first + self.rng.below(place - first + 1)
            jobs[place], jobs[other] = jobs[other], jobs[place]

    def work(self, process: Process) -> None:
        """Has a process do its jobs, as far as it can now."""
        if not isinstance(process, KeeperProcess):
            self.on_relay_work(process)
            return
        while process.up and not process.busy and not process.paused and process.jobs:
            self._run_job(process, process.jobs.popleft())

    def _run_job(self, keeper: KeeperProcess, job: Job) -> None:
        if isinstance(job, CarryOut):
            self._carry_out(keeper, job.acts)
            return
        if isinstance(job, ForwardedAnswer):
            self._on_forwarded_answer(keeper, job)
            return
        try:
            acts = self._decide(keeper, job)
        except Exception as error:
            # Any exception out of a keeper's modules is what this check is for.
            kind = job.kind if isinstance(job, Order) else type(job).__name__
            self.log_checker.breaches.append(
                Breach("module_faults", self.now, f"{keeper.name} {kind}: {error!r}")
            )
            self.kill(keeper)
            return
        if acts.write is None:
            self._carry_out(keeper, acts)
        elif not self._dies(keeper):
            keeper.busy = True
            keeper.write = acts.write
            duration = MIN_WRITE_US + self.rng.below(WRITE_JITTER_US) + keeper.disk_delay
            self.schedule(self.now + duration, self._on_written, keeper, keeper.life, acts)

    def _decide(self, keeper: KeeperProcess, job: Job) -> Acts:
        coordinator = keeper.coordinator
        now = keeper.clock.local(self.now)
        if isinstance(job, Tick):
            return coordinator.tick(now)
        if isinstance(job, Receive):
            return coordinator.hear(now, job.sender, job.message)
        if isinstance(job, Stop):
            return coordinator.stop(now)
        keeper.token += 1
        if isinstance(job, ChangeKeepers):
            self.keepers_changed = True
            return coordinator.change(now, keeper.token, job.keepers)
        keeper.orders[keeper.token] = job
        return getattr(coordinator, job.kind)(now, keeper.token, job.order)

    def _on_written(self, keeper: KeeperProcess, life: int, acts: Acts) -> None:
        if keeper.life != life:
            return
        keeper.disk.save(acts.write, self.log_checker.first_applied)
        keeper.write = None
        keeper.busy = False
        if self._dies(keeper):
            return
        keeper.jobs.appendleft(CarryOut(acts))
        self.work(keeper)

    def _dies(self, keeper: KeeperProcess) -> bool:
        """Counts a step of a keeper that is about to die, and returns whether it is dead."""
        if keeper.steps_to_death:
            keeper.steps_to_death -= 1
            if not keeper.steps_to_death:
                self.kill(keeper)
                restart_at = self.now + MIN_DOWN_US + self.rng.below(DOWN_JITTER_US)
                self.schedule(restart_at, self.start, keeper)
        return not keeper.up

    def _carry_out(self, keeper: KeeperProcess, acts: Acts) -> None:
        self._check_applied(keeper)
        for target, message in acts.send:
            if target in self.keepers:
                self._check_sent(keeper, message)
                self.send(keeper.name, target, self.post, target, ANY_LIFE, Receive(keeper.name, message))
                if keeper.steps_to_death and self._dies(keeper):
                    return
        for token, answer in acts.answers:
            order = keeper.orders.pop(token, None)
            if order:
                self._answer(keeper, order, answer)
                if keeper.steps_to_death and self._dies(keeper):
                    return
        for note in acts.notes:
            self.record(f"{keeper.name} notes {note.level} {note.msg} {dict(note.fields)}")
        self.schedule_wake(keeper)

    def _answer(self, keeper: KeeperProcess, order: Order, answer: Answer) -> None:
        """Answers whoever asked, or forwards the order to the leader.

        Unlike real keepers it forwards without a time limit: the later an order arrives, the harder the test.
        """
        name = keeper.name
        if self.message_size:
            self.byte_count += self.message_size(answer)
        if leader := forward_target(order.may_forward, answer, name, self.keepers):
            self._count += 1
            keeper.forwarded[self._count] = order
            forwarded = Order(order.kind, name, self._count, order.order)
            self.send(name, leader, self.post, leader, ANY_LIFE, forwarded)
        elif order.asker in self.keepers:
            reply = ForwardedAnswer(order.call, answer, name)
            self.send(name, order.asker, self.post, order.asker, ANY_LIFE, reply)
        else:
            self.send(name, order.asker, self.on_answer, order.asker, order.call, answer, "")

    def _on_forwarded_answer(self, keeper: KeeperProcess, reply: ForwardedAnswer) -> None:
        """Passes the leader's answer on; one to a former life, or one that comes twice, has no order."""
        order = keeper.forwarded.pop(reply.number, None)
        if order is not None:
            self.forwarded_count += not (isinstance(reply.answer, Done) and reply.answer.code)
            self.send(
                keeper.name,
                order.asker,
                self.on_answer,
                order.asker,
                order.call,
                reply.answer,
                reply.leader,
            )

    # Checks

    def _check_sent(self, keeper: KeeperProcess, message: Message) -> None:
        leader_count = len(self.log_checker.leaders)
        self.log_checker.on_sent(self.now, keeper.name, message)
        if len(self.log_checker.leaders) > leader_count:
            self.record(f"{keeper.name} leads term {message.term}")
            self.leader_times.append((self.now, message.term, keeper.name))
        agrees = getattr(message, "granted", False) or getattr(message, "ok", False)
        if keeper.has_false_disk and agrees:
            self.log_checker.breaches.append(
                Breach("older_disk_voted", self.now, f"{keeper.name}: {message}")
            )

    def _check_applied(self, keeper: KeeperProcess) -> None:
        applied = keeper.coordinator.core.applied
        if applied <= keeper.applied:
            return
        snapshot_index = keeper.disk.snapshot_index()
        for index in range(keeper.applied + 1, applied + 1):
            entry = keeper.disk.archive.get(index)
            if entry is not None:
                self._check_entry(keeper, entry)
            elif index > snapshot_index:
                self.log_checker.breaches.append(
                    Breach("logs_differ", self.now, f"{keeper.name} applied {index}, which its disk lacks")
                )
        keeper.applied = applied
        if applied % STATE_CHECK_INTERVAL == 0:
            self._check_state(keeper, applied)

    def _check_entry(self, keeper: KeeperProcess, entry: Entry) -> None:
        if entry.index > self.log_checker.last_index:
            self.on_entry(self.now, entry)
        self.log_checker.on_applied(self.now, keeper.name, entry)

    def _check_state(self, keeper: KeeperProcess, index: int) -> None:
        self.log_checker.on_state(self.now, keeper.name, index, keeper.coordinator.books.hash())

    # Timers

    def schedule_wake(self, keeper: KeeperProcess) -> None:
        """Schedules the keeper's next tick."""
        if keeper.up:
            due = max(keeper.clock.true(keeper.coordinator.due()), self.now + MIN_TIMER_US)
            if keeper.wake_at < self.now or due < keeper.wake_at:
                keeper.wake_at = due
                self.schedule(due, self._on_timer, keeper, keeper.life)

    def _on_timer(self, keeper: KeeperProcess, life: int) -> None:
        if keeper.life == life and keeper.wake_at == self.now:
            keeper.wake_at = -1
            if not keeper.paused:
                keeper.jobs.append(Tick())
                self.work(keeper)

    def leader(self) -> KeeperProcess | None:
        """Returns the keeper that says it leads in the newest term, to aim faults at; None if none does."""
        leaders = [
            keeper for keeper in self.keepers.values() if keeper.up and keeper.coordinator.core.role == LEADER
        ]
        return max(leaders, key=lambda keeper: (keeper.coordinator.core.term, keeper.name), default=None)
