"""`lab keepers --core`: keepers' desks, their books and relays' sessions in simulated time, thousands of runs
from one seed, with all faults at the seam. No keeper's process, no socket, no file; same seed, same run."""

import multiprocessing
import os
import sys
import time
from collections.abc import Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from hashlib import blake2b
from typing import NamedTuple

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Batch, Budget
from laurelcourse.fleet.calls.codec import decode_batch
from laurelcourse.fleet.keeper.messages import BOOKS, Bounds, Entry, Keepers
from laurelcourse.fleet.orders import Terms
from laurelcourse.lab import keepers_guards, keepers_scale
from laurelcourse.lab.checks.logs import Breach
from laurelcourse.lab.keepers_relays import Relays
from laurelcourse.lab.keepers_script import KINDS, Faults, script
from laurelcourse.lab.keepers_seen import Seen
from laurelcourse.lab.keepers_world import World
from laurelcourse.lab.report import Check, Progress, Report, part
from laurelcourse.prng import Prng

SECONDS = 40.0
CHECKS = {
    "two_leaders_in_a_term": "terms in which two keepers sent what only a leader sends",
    "logs_differ": "entries applied by one keeper that another applied otherwise at that index",
    "committed_lost": "answered commands that are in no entry of the log at the end",
    "states_differ": "books at one index that two keepers, or a replay of the log, have otherwise",
    "not_linearizable": "histories of sessions and looks that no single copy could have told",
    "over_whole": "instants at which usable shares and floors exceed a whole, or a lapsed session is used",
    "older_disk_voted": "votes and acknowledgements by a keeper on an older or wiped disk",
    "module_faults": "exceptions out of a desk or a session",
}
BUDGETS = (
    Budget("conns", LEVEL, 60, 1, 8, 0, 500_000),
    Budget("opens", COUNT, 50, 0, 8, 400_000, 0),
    Budget("tries", RATE, 100, 2, 8, 0, 0),
)
BOUNDS = Bounds(
    heartbeat=40_000,
    election_timeout=200_000,
    max_batch_bytes=2_000,
    max_in_flight=4,
    chunk_bytes=500,
    max_waiting=200,
)
TRACED = 3  # broken runs whose trace is printed
LASTS, SETTLES = 4_000_000, 2_000_000  # of a run's faults, and after the last one, true microseconds
CHUNK = 6  # runs that a worker makes before it tells
ENDS = 2.0  # what is under way as the time ends takes so long, seconds


class Ran(NamedTuple):
    """One run. `led`: by kill of a leader, the time until another was heard to lead, true microseconds."""

    seed: int
    kind: str
    steps: int
    commands: int
    handed: int  # orders answered by hand
    breaches: tuple[Breach, ...]
    led: tuple[int, ...]
    refusals: int
    unsettled: int
    leaderless: bool
    print: str  # a hash of all that was applied, told and traced
    trace: tuple[str, ...]


def terms(keepers: Keepers) -> Terms:
    return Terms(
        "fleet",
        lease=1_200_000,
        drift=10_000,
        renew_interval=300_000,
        sessions=64,
        bounds=BOUNDS,
        keepers=keepers,
        budgets=BUDGETS,
        snapshot_every=30,
    )


def one(seed: int, kind: str = "", lasts: int = LASTS, settles: int = SETTLES) -> Ran:
    """A run: faults for `lasts` microseconds, then `settles` without any, after which somebody must lead."""
    rng = Prng(seed * 104729 + 3)
    kinds = sorted(KINDS)
    kind = kind or kinds[seed % len(kinds)]
    many = 5 if rng.below(3) == 0 else 3
    spare = 2 if kind in ("keepers", "all") else 0
    names = tuple(f"k{place}" for place in range(1, many + spare + 1))
    sites = 1 + rng.below(3)
    world = World(seed, terms(Keepers(names[:many])), names, sites)
    seen = Seen(world.terms, decode_batch)
    relays = Relays(world, seen, tuple(f"r{place}" for place in range(1, 4 + rng.below(4))), sites)
    faults = Faults(world, relays)

    def entry(now: int, entry: Entry) -> None:
        seen.entry(now, entry)
        seen.shares(now)

    world.entry = entry
    for name in names:
        world.at(rng.below(100_000), world.start, world.keepers[name])
    for name in sorted(relays.relays):
        world.at(300_000 + rng.below(400_000), relays.start, relays.relays[name])
    for fault in script(seed, kind, lasts):
        world.at(fault.at, faults.befall, fault)
    world.at(lasts, faults.mend_all)
    world.run(lasts + settles)
    return judged(seed, kind, world, relays, seen, faults)


def judged(seed: int, kind: str, world: World, relays: Relays, seen: Seen, faults: Faults) -> Ran:
    leader = world.leader()
    last = leader or max(world.keepers.values(), key=lambda keeper: (keeper.applied, keeper.name))
    # An entry that came and was covered by a snapshot in one write never lay on that disk by itself.
    whole = {index: entry for index, (entry, _) in world.ledger.first.items()} | last.disk.archive
    left = [whole[index] for index in sorted(whole) if index <= last.applied]
    if leader is not None:
        seen.finish(world.now, left)
    breaches = [*world.ledger.breaches, *seen.breaches, *replayed(world, left)]
    led = [
        at - killed
        for killed, term in faults.killed_at
        for at in [next((at for at, found, _ in world.led_at if at > killed and found > term), 0)]
        if at
    ]
    marks = [f"{index} {entry}" for index, entry in sorted(world.ledger.first.items())]
    told = repr(
        (marks, seen.answered, sorted(seen.opens.items()), seen.indexes, list(world.trace), world.steps)
    )
    return Ran(
        seed,
        kind,
        world.steps,
        relays.commands,
        world.handed,
        tuple(breaches),
        tuple(led) if kind == "leaders" else (),
        world.refusals,
        seen.unsettled,
        leader is None,
        blake2b(told.encode(), digest_size=8).hexdigest(),
        tuple(world.trace) if breaches or leader is None else (),
    )


def replayed(world: World, left: list[Entry]) -> list[Breach]:
    """The books made anew from the log, against what keepers had at each index."""
    books, found = Books(), []
    for entry in left:
        if entry.kind == BOOKS:
            batch: Batch = decode_batch(entry.data)
            books.apply(entry.index, batch)
        told = world.ledger.states.get(entry.index)
        if told is not None and told[0] != (ours := books.hash()):
            found.append(
                Breach(
                    "states_differ",
                    world.now,
                    f"books at {entry.index}: {told[1]} {told[0]}, replayed {ours}",
                )
            )
            break
    return found


def several(first: int, many: int, broken: str) -> list[Ran]:
    """What a worker process does. The guard is out while it does so."""
    with keepers_guards.out(broken):
        return [one(seed) for seed in range(first, first + many)]


def rounds(pool: ProcessPoolExecutor, seed: int, until: float, broken: str, cores: int) -> Iterator[Ran]:
    """Runs on so many cores until the time is over, in the order of their seeds."""
    first, at, told = seed * 1_000_000, 0, 0
    under: dict[int, Future] = {}
    done: dict[int, list[Ran]] = {}
    while under or time.monotonic() < until:
        while len(under) < 2 * cores and time.monotonic() < until:
            under[at] = pool.submit(several, first + at * CHUNK, CHUNK, broken)
            at += 1
        wait(under.values(), timeout=1.0, return_when=FIRST_COMPLETED)
        for place in [place for place, future in under.items() if future.done()]:
            done[place] = under.pop(place).result()
        while told in done:
            yield from done.pop(told)
            told += 1


def run(
    seed: int,
    seconds: float = SECONDS,
    broken: str = "",
    progress: Progress | None = None,
    scales: tuple[int, ...] = keepers_scale.RELAYS,
    cores: int = 0,
) -> Report:
    """`seconds` of real time, beside the runs a worker makes the figures by number of relays. With a guard
    taken out (`keepers_guards`) there are only runs."""
    progress = progress or Progress()
    began, cores = time.monotonic(), cores or os.cpu_count() or 1
    ran: list[Ran] = []
    shown = 0
    with ProcessPoolExecutor(cores, multiprocessing.get_context("spawn")) as pool:
        scaled = [pool.submit(keepers_scale.figures, seed, relays) for relays in (() if broken else scales)]
        # What is under way as the time ends is waited for.
        for found in rounds(pool, seed, began + seconds - ENDS, broken, cores):
            ran.append(found)
            if len(ran) % 250 == 0:
                progress.say(f"{len(ran)} runs, {sum(len(one.breaches) for one in ran)} breaches")
            if found.breaches and shown < TRACED:
                shown += 1
                show(found)
        figures: dict[str, float] = {}
        for future in scaled:
            figures |= future.result()
    progress.say(f"{len(ran)} runs in all")
    return report(seed, time.monotonic() - began, ran, figures)


def show(ran: Ran) -> None:
    print(f"seed {ran.seed} ({ran.kind}), {len(ran.breaches)} breaches", file=sys.stderr)
    for breach in ran.breaches[:4]:
        print(f"  {breach.check} at {breach.at / 1000:.3f} ms: {breach.how[:600]}", file=sys.stderr)
    for line in ran.trace[-25:]:
        print(f"    {line[:200]}", file=sys.stderr)


def report(seed: int, seconds: float, ran: list[Ran], more: dict[str, float]) -> Report:
    led = [at / 1000 for found in ran for at in found.led]
    figures = {
        "runs": len(ran),
        "steps": sum(found.steps for found in ran),
        "commands_answered": sum(found.commands for found in ran),
        "orders_handed_on": sum(found.handed for found in ran),
        "older_disks_refused": sum(found.refusals for found in ran),
        "histories_unsettled": sum(found.unsettled for found in ran),
        "runs_without_leader_at_end": sum(found.leaderless for found in ran),
        "leaders_killed": len(led),
        "new_leader_p50_ms": round(part(led, 0.5), 1),
        "new_leader_p99_ms": round(part(led, 0.99), 1),
        **more,
    }
    broken = {
        name: sum(breach.check == name for found in ran for breach in found.breaches) for name in CHECKS
    }
    return Report(
        "keepers",
        seed,
        seconds,
        figures,
        [Check(name, broken[name], 0, what) for name, what in CHECKS.items()],
    )
