"""One front with all that serves it: a Balancer, a pool, tries, lives, doors, a directory, a deployer."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from laurelcourse import interface as face
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.doors import Client, Doors
from laurelcourse.net.forms import Members, State
from laurelcourse.net.limits import Limits
from laurelcourse.net.pool import Pool
from laurelcourse.net.req import Lives
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.tries import Exchange, Tries

log = logging.getLogger(__name__)


class Host(NamedTuple):
    """The process that fronts and a fleet's part are made for: `works` are loops that it keeps running,
    `closing` is called at its end, once the scheduler has stopped."""

    scheduler: Scheduler
    config: Config
    counters: Counters
    closing: list[Callable[[], None]]
    works: list[Callable[[], None]]
    main: "Assembly"


class Front(Protocol):
    def serve(self, client: Client) -> None: ...


class Listing(Protocol):
    """Hears the directory in the place of choices, where a front has a word on who may be asked."""

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None: ...


class Assembly:
    """`front` is set by whoever assembles it, before it listens."""

    front: Front

    def __init__(
        self,
        scheduler: Scheduler,
        config: Config,
        counters: Counters,
        exchange: Callable[[Choices], Exchange],
        upstream: Limits | None = None,
    ) -> None:
        """`upstream`: the limits of connections to units, where they differ."""
        self.scheduler, self.config, self.counters = scheduler, config, counters
        self.choices = Choices(scheduler, config.settings, config.seed, counters)
        self.exchange = exchange(self.choices)
        self.pool = Pool(scheduler, upstream or config.limits, self.exchange.greet, counters)
        self.tries = Tries(scheduler, self.pool, self.exchange, counters, self.choices.may_write)
        self.lives = Lives(scheduler, self.choices, self.tries, counters)
        self.doors = Doors(
            scheduler, config.limits, self.pool.drop_idle, counters, lambda client: self.front.serve(client)
        )
        self.probed = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.listing: Listing | None = None
        self.directory: Directory | None = None
        self.deployer: Deployer | None = None
        self.works: list[Callable[[], None]] = [self.pool.sweep]
        self.choices.on(face.PROBE, lambda unit: self.tries.probe(unit, self.probed))
        for verb in (face.VOTE, face.TELL, face.WATCH):
            self.choices.on(verb, lambda *_: None)

    def heed(self, shares: face.Shares) -> None:
        """The fleet's budgets bind this front from now on."""
        self.choices.heed(shares)
        self.pool.shares = shares

    def follow(self, directory: Directory) -> None:
        self.directory = directory
        self.choices.on(face.WATCH, directory.watch)
        self.works.append(directory.follow)

    def hear(self, deployer: Deployer) -> None:
        self.deployer = deployer
        self.choices.on(face.VOTE, deployer.vote)
        self.works.append(deployer.keep_hearing)

    def bind(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.config.listen)

    def start(self, known: Members, news: State, keep: Callable[[Callable[[], None]], None]) -> None:
        """Listens, once units and news as last known are told; `keep` runs a loop anew after a fault."""
        self.pool.listed(known.entries, True)
        entries = [listed for listed, _ in known.entries]
        self.choices.start([] if self.listing else entries, news)
        if self.listing and entries:
            self.listing.directory(face.CACHED, entries)
        self.listener.listen(self.config.limits.backlog)
        self.scheduler.spawn(self.doors.listen, self.listener)
        for work in (*self.works, self._hear_probes):
            self.scheduler.spawn(keep, work)

    def _hear_probes(self) -> None:
        while True:
            self.choices.probed(*self.probed.get())
