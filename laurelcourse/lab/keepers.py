"""`lab keepers --core`: keepers and relays' sessions in simulated time, thousands of runs from one seed.

All faults are injected into the simulation: there is no keeper's process, no socket and no file, and the same
seed gives the same run.
"""

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
from laurelcourse.lab import keepers_scale
from laurelcourse.lab.checks.logs import Breach
from laurelcourse.lab.keepers_faults import KINDS, FaultInjector, generate_script
from laurelcourse.lab.keepers_guards import without_guard
from laurelcourse.lab.keepers_history import History
from laurelcourse.lab.keepers_relays import Relays
from laurelcourse.lab.keepers_simulation import Simulation
from laurelcourse.lab.report import Check, Progress, Report, quantile
from laurelcourse.prng import Prng

DEFAULT_SECONDS = 40.0
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

# A run, in microseconds of true time.
FAULT_DURATION_US = 4_000_000
SETTLE_DURATION_US = 2_000_000  # after the last fault

RUNS_PER_TASK = 6  # that a worker makes before it returns them
FINISH_SECONDS = 2.0  # that what is under way takes as the time ends
PROGRESS_INTERVAL = 250  # runs

# Of breaches, on standard error.
SHOWN_RUNS = 3
SHOWN_BREACHES = 4
SHOWN_TRACE_LINES = 25


class RunResult(NamedTuple):
    """What one simulated run found."""

    seed: int
    kind: str
    steps: int
    commands: int
    forwarded: int  # orders answered through another keeper
    breaches: tuple[Breach, ...]
    new_leader_times: tuple[int, ...]  # true microseconds from a leader's kill until another was heard
    refused_disks: int
    undecided: int  # histories
    leaderless: bool  # at the end
    fingerprint: str  # a hash of all that was applied, answered and traced
    trace: tuple[str, ...]


def make_terms(keepers: Keepers) -> Terms:
    """Returns the terms of the simulated fleet."""
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


def simulate(
    seed: int, kind: str = "", faults_us: int = FAULT_DURATION_US, settle_us: int = SETTLE_DURATION_US
) -> RunResult:
    """Simulates one run: faults, and then a time without any, after which there must be a leader."""
    rng = Prng(seed * 104729 + 3)
    kinds = sorted(KINDS)
    kind = kind or kinds[seed % len(kinds)]
    voter_count = 5 if rng.below(3) == 0 else 3
    spare_count = 2 if kind in ("keepers", "all") else 0
    names = tuple(f"k{number}" for number in range(1, voter_count + spare_count + 1))
    sites = 1 + rng.below(3)
    simulation = Simulation(seed, make_terms(Keepers(names[:voter_count])), names, sites)
    history = History(simulation.terms, decode_batch)
    relay_names = tuple(f"r{number}" for number in range(1, 4 + rng.below(4)))
    relays = Relays(simulation, history, relay_names, sites)
    injector = FaultInjector(simulation, relays)

    def on_entry(now: int, entry: Entry) -> None:
        history.on_entry(now, entry)
        history.check_shares(now)

    simulation.on_entry = on_entry
    for name in names:
        simulation.schedule(rng.below(100_000), simulation.start, simulation.keepers[name])
    for name in sorted(relays.relays):
        simulation.schedule(300_000 + rng.below(400_000), relays.start, relays.relays[name])
    for fault in generate_script(seed, kind, faults_us):
        simulation.schedule(fault.at, injector.inject, fault)
    simulation.schedule(faults_us, injector.end_all)
    simulation.run(faults_us + settle_us)
    return make_result(seed, kind, simulation, relays, history, injector)


def make_result(
    seed: int,
    kind: str,
    simulation: Simulation,
    relays: Relays,
    history: History,
    injector: FaultInjector,
) -> RunResult:
    """Checks what is left at the end of a run, and returns its result."""
    leader = simulation.leader()
    last = leader or max(simulation.keepers.values(), key=lambda keeper: (keeper.applied, keeper.name))
    # An entry that came and was covered by a snapshot in one write was never saved by itself.
    first_applied = simulation.log_checker.first_applied
    entries = {index: entry for index, (entry, _) in first_applied.items()} | last.disk.archive
    left = [entries[index] for index in sorted(entries) if index <= last.applied]
    if leader is not None:
        history.finish(simulation.now, left)
    breaches = [
        *simulation.log_checker.breaches,
        *history.breaches,
        *check_replayed(simulation, left),
    ]
    return RunResult(
        seed,
        kind,
        simulation.steps,
        relays.answered_commands,
        simulation.forwarded_count,
        tuple(breaches),
        _new_leader_times(simulation, injector) if kind == "leaders" else (),
        simulation.refused_disk_count,
        history.undecided,
        leader is None,
        _fingerprint(simulation, history),
        tuple(simulation.trace) if breaches or leader is None else (),
    )


def _new_leader_times(simulation: Simulation, injector: FaultInjector) -> tuple[int, ...]:
    times = []
    for killed_at, killed_term in injector.killed_leaders:
        later = [at for at, term, _ in simulation.leader_times if at > killed_at and term > killed_term]
        if later:
            times.append(later[0] - killed_at)
    return tuple(times)


def _fingerprint(simulation: Simulation, history: History) -> str:
    first_applied = simulation.log_checker.first_applied
    entries = [f"{index} {entry}" for index, entry in sorted(first_applied.items())]
    text = repr(
        (
            entries,
            history.answered,
            sorted(history.opens.items()),
            history.hash_reads,
            list(simulation.trace),
            simulation.steps,
        )
    )
    return blake2b(text.encode(), digest_size=8).hexdigest()


def check_replayed(simulation: Simulation, left: list[Entry]) -> list[Breach]:
    """Compares the books that a replay of the log makes with what keepers had at each index."""
    books = Books()
    for entry in left:
        if entry.kind == BOOKS:
            batch: Batch = decode_batch(entry.data)
            books.apply(entry.index, batch)
        known = simulation.log_checker.state_hashes.get(entry.index)
        if known is None:
            continue
        known_hash, keeper = known
        replayed_hash = books.hash()
        if known_hash != replayed_hash:
            description = f"books at {entry.index}: {keeper} {known_hash}, replayed {replayed_hash}"
            return [Breach("states_differ", simulation.now, description)]
    return []


def simulate_several(first_seed: int, count: int, removed_guard: str) -> list[RunResult]:
    """Simulates so many runs, in a worker process, without one of the guards."""
    with without_guard(removed_guard):
        return [simulate(seed) for seed in range(first_seed, first_seed + count)]


def generate_results(
    pool: ProcessPoolExecutor, seed: int, until: float, removed_guard: str, cores: int
) -> Iterator[RunResult]:
    """Simulates runs on so many cores until the time is over, and yields them in the order of their seeds."""
    first_seed = seed * 1_000_000
    submitted = 0
    yielded = 0
    pending: dict[int, Future] = {}
    done: dict[int, list[RunResult]] = {}
    while pending or time.monotonic() < until:
        while len(pending) < 2 * cores and time.monotonic() < until:
            task_seed = first_seed + submitted * RUNS_PER_TASK
            pending[submitted] = pool.submit(simulate_several, task_seed, RUNS_PER_TASK, removed_guard)
            submitted += 1
        wait(pending.values(), timeout=1.0, return_when=FIRST_COMPLETED)
        for number in [number for number, future in pending.items() if future.done()]:
            done[number] = pending.pop(number).result()
        while yielded in done:
            yield from done.pop(yielded)
            yielded += 1


def run(
    seed: int,
    seconds: float = DEFAULT_SECONDS,
    removed_guard: str = "",
    progress: Progress | None = None,
    relay_counts: tuple[int, ...] = keepers_scale.RELAY_COUNTS,
    cores: int = 0,
) -> Report:
    """Runs the lab for `seconds` of real time.

    Beside the runs a worker measures what relays cost; with a guard removed there are only runs.
    """
    progress = progress or Progress()
    start = time.monotonic()
    cores = cores or os.cpu_count() or 1
    results: list[RunResult] = []
    shown = 0
    with ProcessPoolExecutor(cores, multiprocessing.get_context("spawn")) as pool:
        counts = () if removed_guard else relay_counts
        measurements = [pool.submit(keepers_scale.measure, seed, count) for count in counts]
        # What is under way as the time ends is waited for.
        until = start + seconds - FINISH_SECONDS
        for result in generate_results(pool, seed, until, removed_guard, cores):
            results.append(result)
            if len(results) % PROGRESS_INTERVAL == 0:
                breach_count = sum(len(one.breaches) for one in results)
                progress.say(f"{len(results)} runs, {breach_count} breaches")
            if result.breaches and shown < SHOWN_RUNS:
                shown += 1
                show_breaches(result)
        figures: dict[str, float] = {}
        for measurement in measurements:
            figures |= measurement.result()
    progress.say(f"{len(results)} runs in all")
    return make_report(seed, time.monotonic() - start, results, figures)


def show_breaches(result: RunResult) -> None:
    """Prints some of a run's breaches, and the end of its trace, on standard error."""
    print(f"seed {result.seed} ({result.kind}), {len(result.breaches)} breaches", file=sys.stderr)
    for breach in result.breaches[:SHOWN_BREACHES]:
        print(f"  {breach.check} at {breach.at / 1000:.3f} ms: {breach.description[:600]}", file=sys.stderr)
    for line in result.trace[-SHOWN_TRACE_LINES:]:
        print(f"    {line[:200]}", file=sys.stderr)


def make_report(
    seed: int, seconds: float, results: list[RunResult], more_figures: dict[str, float]
) -> Report:
    """Returns the report of all runs."""
    new_leader_ms = [at / 1000 for result in results for at in result.new_leader_times]
    figures = {
        "runs": len(results),
        "steps": sum(result.steps for result in results),
        "commands_answered": sum(result.commands for result in results),
        "orders_handed_on": sum(result.forwarded for result in results),
        "older_disks_refused": sum(result.refused_disks for result in results),
        "histories_unsettled": sum(result.undecided for result in results),
        "runs_without_leader_at_end": sum(result.leaderless for result in results),
        "leaders_killed": len(new_leader_ms),
        "new_leader_p50_ms": round(quantile(new_leader_ms, 0.5), 1),
        "new_leader_p99_ms": round(quantile(new_leader_ms, 0.99), 1),
        **more_figures,
    }
    breach_counts = {
        name: sum(breach.check == name for result in results for breach in result.breaches) for name in CHECKS
    }
    checks = [Check(name, breach_counts[name], 0, description) for name, description in CHECKS.items()]
    return Report("keepers", seed, seconds, figures, checks)
