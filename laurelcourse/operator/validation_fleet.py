"""Validates the fleet's settings: keepers, leases, bounds and budgets."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.fleet.books.forms import COUNT, LEVEL
from laurelcourse.operator.checks import find_duplicates, find_invalid_addresses
from laurelcourse.operator.settings import Budget, Fault, Fleet

KEEPER_COUNTS = (3, 5)
MAX_DRIFT_PPM = 200_000  # a fifth: beyond that a lease is no measure of time
MILLION = 1_000_000
MIN_RENEWALS_PER_LEASE = 4  # so that some may be lost
MIN_RENEW_INTERVAL_US = 10_000
MAX_LEASE_US = 600_000_000
MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3  # so that a lost one starts no election
MIN_MESSAGE_BYTES = 4 << 10
MAX_MESSAGE_BYTES = 3 << 20  # gRPC accepts messages up to 4 MiB unless told otherwise


def find_faults(fleet: Fleet, settings_folder: Path) -> Iterator[Fault]:
    """Yields all faults. Relative folders start from `settings_folder`."""
    yield from _find_keeper_faults(fleet)
    yield from _find_folder_faults(fleet, settings_folder)
    yield from _find_time_faults(fleet)
    yield from _find_bounds_faults(fleet)
    yield from find_duplicates("budget", ((budget.line, budget.name) for budget in fleet.budgets))
    for budget in fleet.budgets:
        yield from _find_budget_faults(budget, fleet)


def _find_keeper_faults(fleet: Fleet) -> Iterator[Fault]:
    count = len(fleet.keepers)
    if fleet.alone and count != 1:
        yield Fault(fleet.line, f'alone="true" with {count} keepers: name one, or drop alone')
    elif not fleet.alone and count == 1:
        yield Fault(fleet.line, '1 keeper: name 3 or 5, or say alone="true" if its death may end the books')
    elif not fleet.alone and count not in KEEPER_COUNTS:
        yield Fault(
            fleet.line,
            f"{count} keepers: there must be 3 or 5, since one more than an odd number "
            "survives no more deaths",
        )
    yield from find_duplicates("keeper", ((keeper.line, keeper.name) for keeper in fleet.keepers))
    yield from find_duplicates("keeper address", ((keeper.line, keeper.address) for keeper in fleet.keepers))
    yield from find_invalid_addresses(
        [(keeper.line, keeper.address) for keeper in fleet.keepers]
        + ([(fleet.line, fleet.listen)] if fleet.listen else [])
    )
    sites = {keeper.site for keeper in fleet.keepers}
    if fleet.spread and count > 1 and len(sites) < 2:
        yield Fault(
            fleet.line,
            f"all keepers are at site {min(sites)}: spread them over two sites at least, "
            'best three, or say spread="false" if the fleet has one site only',
        )
    if count > fleet.sessions:
        yield Fault(fleet.line, f"sessions is {fleet.sessions}: each of {count} keepers holds one")


def _find_folder_faults(fleet: Fleet, settings_folder: Path) -> Iterator[Fault]:
    if not fleet.folder:
        yield Fault(fleet.line, "no folder: say where a keeper's books last over a restart")
    elif (settings_folder / fleet.folder).exists() and not (settings_folder / fleet.folder).is_dir():
        yield Fault(fleet.line, f"folder {fleet.folder} is a file: name a folder, which is made if need be")


def _find_time_faults(fleet: Fleet) -> Iterator[Fault]:
    if not 0 < fleet.drift <= MAX_DRIFT_PPM:
        yield Fault(
            fleet.line,
            f"drift must be from 1 to {MAX_DRIFT_PPM} parts of a million: no two clocks "
            "agree wholly, and one that is further off measures no lease",
        )
        return
    if fleet.beat < MIN_RENEW_INTERVAL_US:
        yield Fault(fleet.line, "beat must be 10ms at least")
    elif fleet.beat * MIN_RENEWALS_PER_LEASE > fleet.lease:
        yield Fault(fleet.line, "beat must be a quarter of the lease at most: a lost renewal ends no lease")
    if fleet.lease > MAX_LEASE_US:
        yield Fault(fleet.line, "lease must be 10min at most: the shares of a dead relay lie idle so long")


def _find_bounds_faults(fleet: Fleet) -> Iterator[Fault]:
    bounds = fleet.bounds
    if bounds.heartbeat <= 0 or bounds.heartbeat > fleet.beat:
        yield Fault(bounds.line, "heartbeat must be above 0 and no longer than the fleet's beat")
    elif bounds.patience < bounds.heartbeat * MIN_HEARTBEATS_PER_ELECTION_TIMEOUT:
        yield Fault(bounds.line, "patience must be 3 heartbeats at least, or a late one starts an election")
    # An election takes up to two election timeouts, and the renewal after it a renew interval.
    usable_lease = fleet.lease - fleet.lease * fleet.drift // MILLION
    if bounds.patience * 2 + fleet.beat * 2 > usable_lease:
        yield Fault(
            bounds.line,
            "lease, less drift, must hold 2 times patience and 2 beats, or each change "
            "of the keepers' leader takes all shares away: a longer lease, or less patience",
        )
    for name, value in (("batch", bounds.batch), ("piece", bounds.piece)):
        if not MIN_MESSAGE_BYTES <= value <= MAX_MESSAGE_BYTES:
            yield Fault(bounds.line, f"{name} must be from 4KiB to 3MiB")
    if bounds.waiting < len(fleet.keepers):
        yield Fault(bounds.line, "waiting must be as many as there are keepers at least")


def _find_budget_faults(budget: Budget, fleet: Fleet) -> Iterator[Fault]:
    name, line = budget.name, budget.line
    if budget.whole <= 0:
        yield Fault(line, f"budget {name} has a whole of 0: it must be above")
    elif budget.floor * budget.relays > budget.whole:
        yield Fault(
            line,
            f"budget {name}: floors of {budget.floor} for {budget.relays} relays are "
            f"{budget.floor * budget.relays}, over the whole of {budget.whole}: a floor of "
            f"{budget.whole // budget.relays} at most",
        )
    if budget.relays < len(fleet.keepers) or budget.relays > fleet.sessions:
        yield Fault(
            line,
            f"budget {name}: relays must be from {len(fleet.keepers)}, the keepers, to "
            f"{fleet.sessions}, the sessions",
        )
    if budget.kind == COUNT and budget.window <= 0:
        yield Fault(line, f"budget {name} is a count without a window: say over what time")
    if budget.kind != COUNT and budget.window:
        yield Fault(line, f"budget {name} is a {budget.kind} with a window: only a count has one")
    if budget.kind == LEVEL and budget.freed_after <= 0:
        yield Fault(
            line,
            f"budget {name} is a level without freed-after: say how long after its "
            "holder's lease the other end lets go by itself",
        )
    if budget.kind != LEVEL and budget.freed_after:
        yield Fault(line, f"budget {name} is a {budget.kind} with freed-after: only a level has one")
    if budget.when_used_up == "other" and budget.scope not in ("unit", "site"):
        yield Fault(
            line,
            f'budget {name}: when-used-up="other" wants scope unit or site, since no '
            f"other unit has more of a {budget.scope}'s: wait or shed",
        )
