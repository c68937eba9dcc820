"""One front with all that serves it: decisions, connections to units, tries, clients, directory, deployer."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from laurelcourse import interface as face
from laurelcourse.net.admission import Client, ClientAdmission
from laurelcourse.net.config import Config
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.limits import Limits
from laurelcourse.net.payloads import BuildState, UnitList
from laurelcourse.net.pool import Pool
from laurelcourse.net.req import ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.net.spent_ids import SpentIds
from laurelcourse.net.tries import Exchange, TryRunner
from laurelcourse.settings import RETRIABLE

log = logging.getLogger(__name__)


class ProcessContext(NamedTuple):
    """The process that further fronts and a fleet's part are made for."""

    scheduler: Scheduler
    config: Config
    counters: Counters
    on_close: list[Callable[[], None]]  # called at the end of the process, once the scheduler has stopped
    loops: list[Callable[[], None]]  # run as tasks, and restarted after a fault
    main: "Assembly"


class Front(Protocol):
    """Serves clients in one protocol."""

    def serve(self, client: Client) -> None:
        """Serves one client until it leaves; runs in the client's own task."""


class DirectoryListener(Protocol):
    """Receives the directory's news in place of the dispatcher, where a front decides who may be asked."""

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        """Takes a list or changes."""


class Assembly:
    """The parts that one front needs. `front` is set by whoever assembles it, before it listens."""

    front: Front

    def __init__(
        self,
        scheduler: Scheduler,
        config: Config,
        counters: Counters,
        make_exchange: Callable[[Dispatcher], Exchange],
        upstream_limits: Limits | None = None,
    ) -> None:
        """`upstream_limits`: the limits of connections to units, where they differ."""
        self.scheduler, self.config, self.counters = scheduler, config, counters
        self.dispatcher = Dispatcher(scheduler, config.settings, config.seed, counters)
        self.exchange = make_exchange(self.dispatcher)
        self.pool = Pool(scheduler, upstream_limits or config.limits, self.exchange.greet, counters)
        self.tries = TryRunner(scheduler, self.pool, self.exchange, counters, self.dispatcher.may_write)
        self.lifecycle = ReqLifecycle(
            scheduler,
            self.dispatcher,
            self.tries,
            counters,
            SpentIds(config.limits.spent_ids),
            frozenset(route.name for route in config.settings.routes if route.repeat_policy != RETRIABLE),
        )
        self.admission = ClientAdmission(
            scheduler, config.limits, self.pool.drop_idle, counters, lambda client: self.front.serve(client)
        )
        self.probe_reports = Mailbox(scheduler)
        self.listener: socket.socket | None = None
        self.directory_listener: DirectoryListener | None = None
        self.directory: Directory | None = None
        self.deployer: Deployer | None = None
        self.loops: list[Callable[[], None]] = [self.pool.sweep]
        self.dispatcher.on(face.PROBE, lambda unit: self.tries.probe(unit, self.probe_reports))
        for verb in (face.VOTE, face.TELL, face.WATCH):
            self.dispatcher.on(verb, lambda *_: None)

    def heed(self, budgets: face.Budgets) -> None:
        """From now on the fleet's budgets bind this front."""
        self.dispatcher.heed(budgets)
        self.pool.budgets = budgets

    def use_directory(self, directory: Directory) -> None:
        """Takes the list of units from a directory."""
        self.directory = directory
        self.dispatcher.on(face.WATCH, directory.watch)
        self.loops.append(directory.follow)

    def use_deployer(self, deployer: Deployer) -> None:
        """Sends votes to a deployer and listens to its notices."""
        self.deployer = deployer
        self.dispatcher.on(face.VOTE, deployer.vote)
        self.loops.append(deployer.follow)

    def bind(self) -> None:
        """Binds the listener. Raises OSError."""
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.config.listen)

    def start(
        self, known: UnitList, release: BuildState, run_forever: Callable[[Callable[[], None]], None]
    ) -> None:
        """Applies units and release as last known, then listens.

        `run_forever` runs a loop and restarts it after a fault.
        """
        self.pool.update_units(known.entries, True)
        entries = [listed for listed, _ in known.entries]
        self.dispatcher.start([] if self.directory_listener else entries, release)
        if self.directory_listener and entries:
            self.directory_listener.directory(face.CACHED, entries)
        self.listener.listen(self.config.limits.backlog)
        self.scheduler.spawn(self.admission.listen, self.listener)
        for loop in (*self.loops, self._dispatch_probe_reports):
            self.scheduler.spawn(run_forever, loop)

    def _dispatch_probe_reports(self) -> None:
        while True:
            self.dispatcher.probed(*self.probe_reports.get())
