"""The relay process: wiring, start, reload, shutdown."""

import gc
import logging
import os
import signal
import socket
from collections.abc import Callable

from laurelcourse import interface as face
from laurelcourse.fronts.postgres.exchange import Exchange
from laurelcourse.fronts.postgres.front import Front
from laurelcourse.net import signals
from laurelcourse.net.admission import ClientAdmission
from laurelcourse.net.assembly import Assembly, ProcessContext
from laurelcourse.net.config import Config, ConfigError
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.peers import Peers
from laurelcourse.net.scheduler import READ, Clock, Scheduler
from laurelcourse.net.shutdown import LEAVING, OVER, Shutdown

RELOADABLE_FIELDS = ("directory", "deployer")
# Of these the relay has learned later values than the file holds.
IGNORED_ON_RELOAD = (*RELOADABLE_FIELDS, "known", "news")
# Reqs leave no reference cycles behind: frequent collections would cost CPU time that reqs need.
GC_THRESHOLDS = (50_000, 20, 50)
MAX_SIGNALS_PER_READ = 64

log = logging.getLogger(__name__)


class Relay:
    """One relay process: its own front, and further ones that the caller adds."""

    def __init__(
        self,
        config: Config,
        read_config: Callable[[], Config],
        make_fronts: Callable[[ProcessContext], list[Assembly]] = lambda _: [],
    ) -> None:
        """`make_fronts` makes further fronts; the plain relay has none, nor loads their libraries."""
        self.config, self.limits, self.counters = config, config.limits, Counters()
        self.read_config = read_config
        self.scheduler = Scheduler(Clock(), lambda: self.counters.add("tasks_died"))
        self.over, self.shutdown = (
            False,
            Shutdown(self.limits.stop_quiet, self.limits.stop_max_accept, self.limits.stop_min_accept),
        )
        self.reload_count = 0
        self.on_close: list[Callable[[], None]] = []
        self.loops: list[Callable[[], None]] = []
        self.main = self._make_main_front(config)
        context = ProcessContext(self.scheduler, config, self.counters, self.on_close, self.loops, self.main)
        self.fronts = [self.main, *make_fronts(context)]

    def _make_main_front(self, config: Config) -> Assembly:
        """Makes the platform's own front: PostgreSQL, directory, deployer, the other relays."""
        main = Assembly(
            self.scheduler,
            config,
            self.counters,
            lambda _: Exchange(self.scheduler, config.limits, config.load_told, self.counters),
        )
        main.front = Front(
            self.scheduler, config, main.dispatcher, main.lifecycle, main.admission, self.counters
        )
        main.use_directory(Directory(self.scheduler, config, main.dispatcher, main.pool, self.counters))
        main.use_deployer(Deployer(self.scheduler, config, main.dispatcher, self.counters))
        self.peers = Peers(self.scheduler, config, main.dispatcher, self.counters)
        main.dispatcher.on(face.TELL, self.peers.send)
        return main

    def run(self) -> None:
        """Serves until a signal stops it and every req is answered. Raises OSError if it cannot bind."""
        wakeup, waker = socket.socketpair()
        for end in (wakeup, waker):
            end.setblocking(False)
        waker.send(signals.hand_over(waker.fileno()))
        for front in self.fronts:
            front.bind()
        if self.config.peer_listen:
            self.peers.bind(self.config.peer_listen)
            self.scheduler.spawn(self._run_forever, self.peers.listen)
        for front in self.fronts:
            front.start(front.config.known, front.config.news, self._run_forever)
        for loop in self.loops:
            self.scheduler.spawn(self._run_forever, loop)
        self.scheduler.spawn(self._handle_signals, wakeup)
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log.info("serving", extra={"name_of_relay": self.config.name, "pid": os.getpid()})
        self.scheduler.run(lambda: self.over)
        signals.ignore_all()
        for close in self.on_close:
            close()
        log.info("counters", extra=self.counters.fields())

    def _run_forever(self, loop: Callable[[], None]) -> None:
        """Restarts a loop that an exception ended: without it the relay would go on without that input."""
        while True:
            self.scheduler.run_guarded(loop)
            self.scheduler.sleep(self.limits.backoff_max)

    def _handle_signals(self, wakeup: socket.socket) -> None:
        while True:
            self.scheduler.wait(wakeup.fileno(), READ)
            for number in wakeup.recv(MAX_SIGNALS_PER_READ):
                if number == signal.SIGUSR1:
                    log.info("counters", extra=self.counters.fields())
                elif number == signal.SIGHUP:
                    self.reload_count += 1
                    self.scheduler.spawn(self._reload, self.reload_count)
                elif number in signals.STOP_SIGNALS and self.shutdown.begin(self.scheduler.now()):
                    self.scheduler.spawn(self._stop)

    def _reload(self, number: int) -> None:
        """Reads the configuration again.

        A faulty file may be half written, and no second signal need follow: it is read again after growing
        delays, unless a later signal takes over.
        """
        delay = self.limits.backoff_first
        while number == self.reload_count:
            try:
                return self._apply_config(self.read_config())
            except ConfigError as error:
                if delay == self.limits.backoff_first:
                    log.warning("configuration not taken", extra={"fault": error})
            if delay > self.limits.backoff_max:
                return
            self.scheduler.sleep(delay)
            delay *= 2

    def _apply_config(self, new: Config) -> None:
        """Moves directory and deployer; all that is open or learned stays, and so does what cannot change."""
        ignored = [
            name
            for name in Config._fields
            if name not in IGNORED_ON_RELOAD and getattr(new, name) != getattr(self.config, name)
        ]
        moved = [name for name in RELOADABLE_FIELDS if getattr(new, name) != getattr(self.config, name)]
        self.config = self.config._replace(directory=new.directory, deployer=new.deployer)
        self.main.directory.move(new.directory)
        self.main.deployer.move(new.deployer)
        log.info("configuration taken", extra={"moved": ",".join(moved)})
        if ignored:
            log.warning("a change that needs a restart", extra={"fields": ",".join(ignored)})

    def _stop(self) -> None:
        """Accepts while connections still come, closes each between reqs, answers what was taken."""
        admissions = [front.admission for front in self.fronts]
        open_clients = sum(len(admission.open) for admission in admissions)
        log.info("stopping", extra={"clients": open_clients})
        while self._step_shutdown(admissions) == LEAVING:
            self.scheduler.sleep(self.limits.stop_quiet // 8)
        for admission in admissions:
            admission.stop(self.shutdown.began_at + self.limits.stop_reads)
        while self._step_shutdown(admissions) != OVER:
            self.scheduler.sleep(self.limits.stop_quiet // 16)
        self.over = True

    def _step_shutdown(self, admissions: list[ClientAdmission]) -> str:
        return self.shutdown.step(
            self.scheduler.now(),
            max(admission.last_accepted_at for admission in admissions),
            sum(len(admission.open) for admission in admissions),
        )
