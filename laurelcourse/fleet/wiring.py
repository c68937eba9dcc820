"""Builds a relay's part in its fleet from the operators' settings.

Every relay is a member with a session. One that the settings name as a keeper also replicates the books; if
its disk must not vote, it logs this in one line and goes on as a member.
"""

import logging
import time
from collections.abc import Callable
from pathlib import Path

from laurelcourse.fleet import terms as settings
from laurelcourse.fleet.budgets.holder import Holder
from laurelcourse.fleet.calls import codec
from laurelcourse.fleet.calls.channel import Limits, limits
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.flows_service import FlowsService
from laurelcourse.fleet.calls.forwarder import Forwarder
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.calls.peers import Peers
from laurelcourse.fleet.calls.service import Service
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import Kept
from laurelcourse.fleet.keeper.replica import open_replica
from laurelcourse.fleet.member import Member, Shares
from laurelcourse.fleet.orders import Terms
from laurelcourse.fleet.session import Session
from laurelcourse.fleet.transfers.arrivals import Arrivals
from laurelcourse.fleet.transfers.books_client import BooksClient
from laurelcourse.fleet.transfers.engine import TransferEngine
from laurelcourse.fleet.transfers.receiver import Receiver
from laurelcourse.fleet.transfers.sender import Sender
from laurelcourse.fleet.workflows.engine import WorkflowEngine
from laurelcourse.fleet.workflows.step_sender import StepSender
from laurelcourse.net.assembly import ProcessContext
from laurelcourse.operator import workflows as workflow_settings
from laurelcourse.operator.settings import Fleet
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)

MAX_MAIL_ITEMS = 8192  # results that wait for the task of workflows or of transfers


def clock() -> int:
    """Returns microseconds that also pass during suspension: no lease may outlast a suspended machine."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def join_address(address: tuple[str, int]) -> str:
    """Returns an address as host:port."""
    return "{}:{}".format(*address)


class Keeper:
    """A keeper on this relay: its replica, the service for callers and connections to other keepers."""

    def __init__(
        self, name: str, fleet: Fleet, terms: Terms, bounds: Limits, folder: Path, seed: int
    ) -> None:
        """Starts the replica and its service. Raises OSError if the address is in use."""

        def new_coordinator(kept: Kept) -> Coordinator:
            return Coordinator(
                name,
                settings.site_of(fleet, name),
                terms,
                Prng(seed),
                kept,
                clock(),
                encode=codec.encode_batch,
                decode=codec.decode_batch,
            )

        self.bounds = bounds
        addresses = {keeper.name: join_address(keeper.address) for keeper in fleet.keepers}
        self.peers = Peers(fleet.name, name, addresses, bounds, Prng(seed + 1))
        self.replica = open_replica(
            folder / fleet.folder, fleet.name, name, seed, new_coordinator, self.peers.send, clock, log
        )
        listen = fleet.listen or settings.address_of(fleet, name)
        self.service = Service(
            self.replica,
            fleet.name,
            name,
            join_address(listen),
            bounds,
            Forwarder(fleet.name, name, addresses, bounds),
        )
        self.service.start()

    def close(self) -> None:
        """Refuses new calls, hands leadership over, then ends."""
        self.service.refuse()
        self.replica.stop(self.bounds.call_timeout)
        self.service.stop(self.bounds.keeper_timeout)
        self.peers.close(self.bounds.keeper_timeout)


def join(host: ProcessContext, fleet: Fleet, folder: Path, zone: str) -> None:
    """Joins a fleet with the process of `host`.

    Relative folders start from `folder`; `zone` is this relay's site unless the settings name it.
    """
    terms = settings.terms(fleet)
    name = host.config.name
    seed = host.config.seed
    bounds = limits(terms)
    on_close = []
    if settings.address_of(fleet, name):
        on_close.append(Keeper(name, fleet, terms, bounds, folder, seed).close)
    client = Client(
        fleet.name,
        name,
        {keeper.name: join_address(keeper.address) for keeper in fleet.keepers},
        bounds,
        clock,
        Prng(seed + 2),
    )
    # Seeded differently at each start: the session must not reuse the mark of the process before it.
    session = Session(name, settings.site_of(fleet, name, zone), terms, Prng(seed ^ clock()), clock())
    mailbox = CrossThreadMailbox(host.scheduler, bounds.queue_length)
    waiting = [budget.name for budget in fleet.budgets if budget.when_used_up == "wait"]
    holder = Holder(session, terms.budgets, clock(), waiting)
    member = Member(host.scheduler, session, holder, client, mailbox, clock, host.counters)
    host.main.heed(Shares(holder, clock))
    host.loops.append(member.work)
    if fleet.workflows:
        host.on_close.extend(workflows(host, fleet, member, bounds))
    if fleet.sites:
        host.on_close.extend(transfers(host, fleet, member, bounds, folder))
    host.on_close.extend([lambda: member.close(bounds.keeper_timeout), *on_close])


def transfers(
    host: ProcessContext, fleet: Fleet, member: Member, bounds: Limits, folder: Path
) -> list[Callable[[], None]]:
    """Starts transfers from and to this relay's site; returns what to call at the end."""
    name = host.config.name
    books = BooksClient(member.client, clock)
    site = next((site for site in fleet.sites if any(door.relay == name for door in site.doors)), None)
    if site is None:
        return []
    site_folder = folder / site.folder
    receiver = Receiver(
        fleet.name,
        name,
        site.name,
        Arrivals(site_folder),
        books,
        fleet.beat,
        bounds,
        join_address(next(door.address for door in site.doors if door.relay == name)),
    )
    receiver.start()
    receivers = {
        each.name: tuple((other.relay, join_address(other.address)) for other in each.doors)
        for each in fleet.sites
    }
    engine = TransferEngine(
        member,
        CrossThreadMailbox(host.scheduler, MAX_MAIL_ITEMS),
        site.name,
        site_folder,
        receivers,
        books,
        Sender,
    )
    host.loops.append(engine.work)
    return [lambda: engine.close(bounds.keeper_timeout), lambda: receiver.stop(bounds.keeper_timeout)]


def workflows(host: ProcessContext, fleet: Fleet, member: Member, bounds: Limits) -> list[Callable[[], None]]:
    """Starts workflows and the service for their clients; returns what to call at the end."""
    main = host.main
    routes = host.config.settings.routes
    step_sender = StepSender(
        host.scheduler,
        main.dispatcher,
        main.tries,
        host.counters,
        {route.name: route.repeat_policy for route in routes},
    )
    engine = WorkflowEngine(
        member,
        CrossThreadMailbox(host.scheduler, MAX_MAIL_ITEMS),
        step_sender,
        workflow_settings.to_definitions(fleet, routes),
        Prng(host.config.seed + 3),
    )
    host.loops.append(engine.work)
    on_close = [engine.mailbox.close]
    if fleet.flows_port:
        service = FlowsService(engine, join_address((host.config.listen[0], fleet.flows_port)), bounds)
        service.start()
        on_close.insert(0, lambda: service.stop(bounds.keeper_timeout))
    return on_close
