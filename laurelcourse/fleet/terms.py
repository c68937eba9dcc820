"""From the operators' settings to what the fleet's modules take."""

from laurelcourse.fleet.books.forms import Budget, Link, Site
from laurelcourse.fleet.keeper.forms import Bounds, Keepers
from laurelcourse.fleet.orders import Terms
from laurelcourse.operator import meaning_workflows
from laurelcourse.operator.form import Address, Fleet


def terms(fleet: Fleet) -> Terms:
    """Budgets and keepers sorted by name, so that their order in the file changes nothing in the books."""
    told = fleet.bounds
    budgets = sorted(fleet.budgets, key=lambda one: one.name)

    def longer(time: int) -> int:
        """By a clock that may run fast, such a time is surely over only so much later."""
        return time and time + time * fleet.drift // 1_000_000 + 1

    return Terms(
        fleet=fleet.name,
        lease=fleet.lease,
        drift=fleet.drift,
        beat=fleet.beat,
        sessions=fleet.sessions,
        bounds=Bounds(
            beat=told.heartbeat,
            patience=told.patience,
            batch=told.batch,
            ahead=told.ahead,
            piece=told.piece,
            waiting=told.waiting,
        ),
        keepers=Keepers(tuple(sorted(one.name for one in fleet.keepers))),
        budgets=tuple(
            Budget(
                one.name,
                one.kind,
                one.whole,
                one.floor,
                one.relays,
                longer(one.window),
                longer(one.freed_after),
            )
            for one in budgets
        ),
        snapshot_every=told.snapshot_every,
        limits=meaning_workflows.limits(fleet),
        links=tuple(sorted(Link(one.origin, one.to, one.capacity, one.kept) for one in fleet.links)),
        sites=tuple(sorted(Site(one.name, one.slots) for one in fleet.sites)),
    )


def address_of(fleet: Fleet, relay: str) -> Address | None:
    """Where the others reach this keeper; None for a relay that is a member only."""
    return next((one.address for one in fleet.keepers if one.name == relay), None)


def site_of(fleet: Fleet, relay: str, otherwise: str = "") -> str:
    """A keeper's site as the settings have it; a member's is its own to tell (`otherwise`)."""
    return next((one.site for one in fleet.keepers if one.name == relay), otherwise)
