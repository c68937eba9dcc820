"""Whether the fleet's settings make sense: keepers, leases, bounds and budgets."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.fleet.books.forms import COUNT, LEVEL
from laurelcourse.operator.form import Budget, Fault, Fleet
from laurelcourse.operator.same import off_range, twice

COUNTS = (3, 5)
MOST_DRIFT = 200_000  # a fifth: beyond it a lease is no measure of time
BEATS = 4  # in a lease, so that some renewals may be lost
LEAST_BEAT, LONGEST_LEASE = 10_000, 600_000_000
HEARTBEATS = 3  # in a keeper's patience, so that a lost one starts no election
LEAST_PIECE, MOST_PIECE = 4 << 10, 3 << 20  # gRPC takes messages up to 4 MiB unless told otherwise


def faults(fleet: Fleet, beside: Path) -> Iterator[Fault]:
    yield from _keepers(fleet)
    yield from _folder(fleet, beside)
    yield from _times(fleet)
    yield from _bounds(fleet)
    yield from twice("budget", ((one.line, one.name) for one in fleet.budgets))
    for one in fleet.budgets:
        yield from _budget(one, fleet)


def _keepers(fleet: Fleet) -> Iterator[Fault]:
    count = len(fleet.keepers)
    if fleet.alone and count != 1:
        yield Fault(fleet.line, f'alone="true" with {count} keepers: name one, or drop alone')
    elif not fleet.alone and count == 1:
        yield Fault(fleet.line, '1 keeper: name 3 or 5, or say alone="true" if its death may end the books')
    elif not fleet.alone and count not in COUNTS:
        yield Fault(
            fleet.line,
            f"{count} keepers: there must be 3 or 5, since one more than an odd number "
            "survives no more deaths",
        )
    yield from twice("keeper", ((one.line, one.name) for one in fleet.keepers))
    yield from twice("keeper address", ((one.line, one.address) for one in fleet.keepers))
    yield from off_range(
        [(one.line, one.address) for one in fleet.keepers]
        + ([(fleet.line, fleet.listen)] if fleet.listen else [])
    )
    sites = {one.site for one in fleet.keepers}
    if fleet.spread and count > 1 and len(sites) < 2:
        yield Fault(
            fleet.line,
            f"all keepers are at site {min(sites)}: spread them over two sites at least, "
            'best three, or say spread="false" if the fleet has one site only',
        )
    if count > fleet.sessions:
        yield Fault(fleet.line, f"sessions is {fleet.sessions}: each of {count} keepers holds one")


def _folder(fleet: Fleet, beside: Path) -> Iterator[Fault]:
    if not fleet.folder:
        yield Fault(fleet.line, "no folder: say where a keeper's books last over a restart")
    elif (beside / fleet.folder).exists() and not (beside / fleet.folder).is_dir():
        yield Fault(fleet.line, f"folder {fleet.folder} is a file: name a folder, which is made if need be")


def _times(fleet: Fleet) -> Iterator[Fault]:
    if not 0 < fleet.drift <= MOST_DRIFT:
        yield Fault(
            fleet.line,
            f"drift must be from 1 to {MOST_DRIFT} parts of a million: no two clocks "
            "agree wholly, and one that is further off measures no lease",
        )
        return
    if fleet.beat < LEAST_BEAT:
        yield Fault(fleet.line, "beat must be 10ms at least")
    elif fleet.beat * BEATS > fleet.lease:
        yield Fault(fleet.line, "beat must be a quarter of the lease at most: a lost renewal ends no lease")
    if fleet.lease > LONGEST_LEASE:
        yield Fault(fleet.line, "lease must be 10min at most: the shares of a dead relay lie idle so long")


def _bounds(fleet: Fleet) -> Iterator[Fault]:
    bounds = fleet.bounds
    if bounds.heartbeat <= 0 or bounds.heartbeat > fleet.beat:
        yield Fault(bounds.line, "heartbeat must be above 0 and no longer than the fleet's beat")
    elif bounds.patience < bounds.heartbeat * HEARTBEATS:
        yield Fault(bounds.line, "patience must be 3 heartbeats at least, or a late one starts an election")
    # An election takes up to twice the patience, and the renewal after it a beat.
    held = fleet.lease - fleet.lease * fleet.drift // 1_000_000
    if bounds.patience * 2 + fleet.beat * 2 > held:
        yield Fault(
            bounds.line,
            "lease, less drift, must hold 2 times patience and 2 beats, or each change "
            "of the keepers' leader takes all shares away: a longer lease, or less patience",
        )
    for name, value in (("batch", bounds.batch), ("piece", bounds.piece)):
        if not LEAST_PIECE <= value <= MOST_PIECE:
            yield Fault(bounds.line, f"{name} must be from 4KiB to 3MiB")
    if bounds.waiting < len(fleet.keepers):
        yield Fault(bounds.line, "waiting must be as many as there are keepers at least")


def _budget(one: Budget, fleet: Fleet) -> Iterator[Fault]:
    if one.whole <= 0:
        yield Fault(one.line, f"budget {one.name} has a whole of 0: it must be above")
    elif one.floor * one.relays > one.whole:
        yield Fault(
            one.line,
            f"budget {one.name}: floors of {one.floor} for {one.relays} relays are "
            f"{one.floor * one.relays}, over the whole of {one.whole}: a floor of "
            f"{one.whole // one.relays} at most",
        )
    if one.relays < len(fleet.keepers) or one.relays > fleet.sessions:
        yield Fault(
            one.line,
            f"budget {one.name}: relays must be from {len(fleet.keepers)}, the keepers, to "
            f"{fleet.sessions}, the sessions",
        )
    if one.kind == COUNT and one.window <= 0:
        yield Fault(one.line, f"budget {one.name} is a count without a window: say over what time")
    if one.kind != COUNT and one.window:
        yield Fault(one.line, f"budget {one.name} is a {one.kind} with a window: only a count has one")
    if one.kind == LEVEL and one.freed_after <= 0:
        yield Fault(
            one.line,
            f"budget {one.name} is a level without freed-after: say how long after its "
            "holder's lease the other end lets go by itself",
        )
    if one.kind != LEVEL and one.freed_after:
        yield Fault(one.line, f"budget {one.name} is a {one.kind} with freed-after: only a level has one")
    if one.when_used_up == "other" and one.scope not in ("unit", "site"):
        yield Fault(
            one.line,
            f'budget {one.name}: when-used-up="other" wants scope unit or site, since no '
            f"other unit has more of a {one.scope}'s: wait or shed",
        )
