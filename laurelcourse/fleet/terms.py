"""Converts the operators' settings to what the fleet's modules take."""

from laurelcourse.fleet.books.forms import Budget, Link, Site
from laurelcourse.fleet.keeper.messages import Bounds, Keepers
from laurelcourse.fleet.orders import Terms
from laurelcourse.operator import workflows
from laurelcourse.operator.settings import Address, Fleet

MILLION = 1_000_000


def terms(fleet: Fleet) -> Terms:
    """Returns the terms of a fleet.

    Budgets and keepers are sorted by name, so that their order in the file does not change the replicated
    state.
    """
    bounds = fleet.bounds
    budgets = sorted(fleet.budgets, key=lambda budget: budget.name)

    def with_drift(time: int) -> int:
        """Returns the time after which another clock, which may run fast, has surely counted `time`."""
        return time and time + time * fleet.drift // MILLION + 1

    return Terms(
        fleet=fleet.name,
        lease=fleet.lease,
        drift=fleet.drift,
        renew_interval=fleet.beat,
        sessions=fleet.sessions,
        bounds=Bounds(
            heartbeat=bounds.heartbeat,
            election_timeout=bounds.patience,
            max_batch_bytes=bounds.batch,
            max_in_flight=bounds.ahead,
            chunk_bytes=bounds.piece,
            max_waiting=bounds.waiting,
        ),
        keepers=Keepers(tuple(sorted(keeper.name for keeper in fleet.keepers))),
        budgets=tuple(
            Budget(
                budget.name,
                budget.kind,
                budget.whole,
                budget.floor,
                budget.relays,
                with_drift(budget.window),
                with_drift(budget.freed_after),
            )
            for budget in budgets
        ),
        snapshot_every=bounds.snapshot_every,
        limits=workflows.to_limits(fleet),
        links=tuple(sorted(Link(link.origin, link.to, link.capacity, link.kept) for link in fleet.links)),
        sites=tuple(sorted(Site(site.name, site.slots) for site in fleet.sites)),
    )


def address_of(fleet: Fleet, relay: str) -> Address | None:
    """Returns where the others reach a keeper; None for a relay that is no keeper."""
    return next((keeper.address for keeper in fleet.keepers if keeper.name == relay), None)


def site_of(fleet: Fleet, relay: str, otherwise: str = "") -> str:
    """Returns a keeper's site from the settings; a relay that is no keeper reports its own (`otherwise`)."""
    return next((keeper.site for keeper in fleet.keepers if keeper.name == relay), otherwise)
