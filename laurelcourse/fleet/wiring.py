"""A relay's part in the fleet's common books, put together from the operators' settings.

Every relay is a member, with a session. One that the settings name as a keeper also keeps the books: if its
disk can't be voted with, it says so in one line and serves on as a member."""

import logging
import time
from collections.abc import Callable
from pathlib import Path

from laurelcourse.fleet import terms as settings
from laurelcourse.fleet.budgets.holder import Holder
from laurelcourse.fleet.calls import codec
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.flows_service import FlowsService
from laurelcourse.fleet.calls.hands import Hands
from laurelcourse.fleet.calls.mailbox import Letters
from laurelcourse.fleet.calls.peers import Peers
from laurelcourse.fleet.calls.service import Service
from laurelcourse.fleet.calls.ways import Limits, limits
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import Kept
from laurelcourse.fleet.keeper.replica import open_replica
from laurelcourse.fleet.member import Member, Shares
from laurelcourse.fleet.orders import Terms
from laurelcourse.fleet.session import Session
from laurelcourse.fleet.transfers.arrivals import Arrivals
from laurelcourse.fleet.transfers.stream import Books, Door, Sending
from laurelcourse.fleet.transfers.work import Moves
from laurelcourse.fleet.workflows.steps import Steps
from laurelcourse.fleet.workflows.work import Flows
from laurelcourse.net.assembly import ProcessContext
from laurelcourse.operator import meaning_workflows as meaning
from laurelcourse.operator.form import Fleet
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)

LETTERS = 8192  # of workflows, waiting for their task


def clock() -> int:
    """Microseconds that go on while the machine sleeps: a lease must not outlast a suspended machine."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def shown(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


class Keeper:
    """The books' keeping on this relay: disk, decisions, and the way to the other keepers."""

    def __init__(
        self, name: str, fleet: Fleet, terms: Terms, bounds: Limits, folder: Path, seed: int
    ) -> None:
        """Raises OSError when the address is taken."""

        def desk(kept: Kept) -> Coordinator:
            return Coordinator(
                name,
                settings.site_of(fleet, name),
                terms,
                Prng(seed),
                kept,
                clock(),
                encode=codec.packed,
                decode=codec.unpacked,
            )

        self.bounds = bounds
        addresses = {one.name: shown(one.address) for one in fleet.keepers}
        self.peers = Peers(fleet.name, name, addresses, bounds, Prng(seed + 1))
        self.keeping = open_replica(
            folder / fleet.folder, fleet.name, name, seed, desk, self.peers.send, clock, log
        )
        listen = fleet.listen or settings.address_of(fleet, name)
        self.service = Service(
            self.keeping, fleet.name, name, shown(listen), bounds, Hands(fleet.name, name, addresses, bounds)
        )
        self.service.start()

    def close(self) -> None:
        """Hands the lead over while what comes is refused, then ends."""
        self.service.refuse()
        self.keeping.stop(self.bounds.call)
        self.service.stop(self.bounds.talk)
        self.peers.close(self.bounds.talk)


def join(host: ProcessContext, fleet: Fleet, folder: Path, zone: str) -> None:
    """`folder`: where relative names start from; `zone`: this relay's site if it is a member alone."""
    terms, name, seed = settings.terms(fleet), host.config.name, host.config.seed
    bounds, ends = limits(terms), []
    if settings.address_of(fleet, name):
        ends.append(Keeper(name, fleet, terms, bounds, folder, seed).close)
    client = Client(
        fleet.name,
        name,
        {one.name: shown(one.address) for one in fleet.keepers},
        bounds,
        clock,
        Prng(seed + 2),
    )
    # Another chance at each start of the process, for its session must not bear the mark of the one before.
    session = Session(name, settings.site_of(fleet, name, zone), terms, Prng(seed ^ clock()), clock())
    letters = Letters(host.scheduler, bounds.queue)
    waiting = [one.name for one in fleet.budgets if one.when_used_up == "wait"]
    holder = Holder(session, terms.budgets, clock(), waiting)
    member = Member(host.scheduler, session, holder, client, letters, clock, host.counters)
    host.main.heed(Shares(holder, clock))
    host.loops.append(member.work)
    if fleet.workflows:
        host.on_close.extend(workflows(host, fleet, member, bounds))
    if fleet.sites:
        host.on_close.extend(transfers(host, fleet, member, bounds, folder))
    host.on_close.extend([lambda: member.close(bounds.talk), *ends])


def transfers(
    host: ProcessContext, fleet: Fleet, member: Member, bounds: Limits, folder: Path
) -> list[Callable[[], None]]:
    """Transfers from this relay's site, and into it; gives what is to be called at the end."""
    name, books = host.config.name, Books(member.client, clock)
    site = next((one for one in fleet.sites if any(door.relay == name for door in one.doors)), None)
    if site is None:
        return []
    place = folder / site.folder
    door = Door(
        fleet.name,
        name,
        site.name,
        Arrivals(place),
        books,
        fleet.beat,
        bounds,
        shown(next(one.address for one in site.doors if one.relay == name)),
    )
    door.start()
    doors = {one.name: tuple((each.relay, shown(each.address)) for each in one.doors) for one in fleet.sites}
    moves = Moves(member, Letters(host.scheduler, LETTERS), site.name, place, doors, books, Sending)
    host.loops.append(moves.work)
    return [lambda: moves.close(bounds.talk), lambda: door.stop(bounds.talk)]


def workflows(host: ProcessContext, fleet: Fleet, member: Member, bounds: Limits) -> list[Callable[[], None]]:
    """Workflows at this relay, and the service for their clients; gives what is to be called at the end."""
    main, routes = host.main, host.config.settings.routes
    steps = Steps(
        host.scheduler,
        main.dispatcher,
        main.tries,
        host.counters,
        {one.name: one.repeat_policy for one in routes},
    )
    flows = Flows(
        member,
        Letters(host.scheduler, LETTERS),
        steps,
        meaning.definitions(fleet, routes),
        Prng(host.config.seed + 3),
    )
    host.loops.append(flows.work)
    ends = [flows.letters.close]
    if fleet.flows_port:
        service = FlowsService(flows, shown((host.config.listen[0], fleet.flows_port)), bounds)
        service.start()
        ends.insert(0, lambda: service.stop(bounds.talk))
    return ends
