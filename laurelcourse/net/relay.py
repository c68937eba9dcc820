"""The relay as a whole: start, reload, stop, wiring."""

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
from laurelcourse.net.assembly import Assembly, Host
from laurelcourse.net.config import Config, ConfigError
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.doors import Doors
from laurelcourse.net.relays import Relays
from laurelcourse.net.scheduler import READ, Clock, Scheduler
from laurelcourse.net.stopping import LEAVING, OVER, Stop

log = logging.getLogger(__name__)
MOVES = ("directory", "deployer")  # what a new configuration changes
TOLD_ANEW = (*MOVES, "known", "news")  # of these the relay has heard later than the file was written


class Relay:
    def __init__(
        self,
        config: Config,
        reread: Callable[[], Config],
        more: Callable[[Host], list[Assembly]] = lambda _: [],
    ) -> None:
        """`more` makes the fronts beside the own; the plain relay has none, nor their libraries."""
        self.config, self.limits, self.counters, self.reread = config, config.limits, Counters(), reread
        self.scheduler = Scheduler(Clock(), lambda: self.counters.add("tasks_died"))
        self.over, self.stopping = (
            False,
            Stop(self.limits.stop_quiet, self.limits.stop_accept, self.limits.stop_least),
        )
        self.reloads = 0  # asked for so far
        self.closing: list[Callable[[], None]] = []
        self.works: list[Callable[[], None]] = []
        self.main = self._main(config)
        host = Host(self.scheduler, config, self.counters, self.closing, self.works, self.main)
        self.fronts = [self.main, *more(host)]

    def _main(self, config: Config) -> Assembly:
        """The platform's own front: PostgreSQL, directory, deployer, the other relays."""
        main = Assembly(
            self.scheduler,
            config,
            self.counters,
            lambda _: Exchange(self.scheduler, config.limits, config.load_told, self.counters),
        )
        main.front = Front(self.scheduler, config, main.choices, main.lives, main.doors, self.counters)
        main.follow(Directory(self.scheduler, config, main.choices, main.pool, self.counters))
        main.hear(Deployer(self.scheduler, config, main.choices, self.counters))
        self.relays = Relays(self.scheduler, config, main.choices, self.counters)
        main.choices.on(face.TELL, self.relays.tell)
        return main

    def run(self) -> None:
        """Serves until a signal has stopped it and nothing is owed."""
        wakeup, waker = socket.socketpair()
        for end in (wakeup, waker):
            end.setblocking(False)
        waker.send(signals.hand_over(waker.fileno()))
        for front in self.fronts:
            front.bind()
        if self.config.peer_listen:
            self.relays.bind(self.config.peer_listen)
            self.scheduler.spawn(self._keep, self.relays.hear)
        for front in self.fronts:
            front.start(front.config.known, front.config.news, self._keep)
        for work in self.works:
            self.scheduler.spawn(self._keep, work)
        self.scheduler.spawn(self._signals, wakeup)
        # Reqs leave no cycles behind: looking for them often costs CPU that reqs need.
        gc.freeze()
        gc.set_threshold(50_000, 20, 50)
        log.info("serving", extra={"name_of_relay": self.config.name, "pid": os.getpid()})
        self.scheduler.run(lambda: self.over)
        signals.end()
        for close in self.closing:
            close()
        log.info("counters", extra=self.counters.fields())

    def _keep(self, work: Callable[[], None]) -> None:
        """A loop that a fault ends begins again: without it the relay would go on, deaf."""
        while True:
            self.scheduler.guarded(work)
            self.scheduler.sleep(self.limits.pause_most)

    def _signals(self, wakeup: socket.socket) -> None:
        while True:
            self.scheduler.wait(wakeup.fileno(), READ)
            for number in wakeup.recv(64):
                if number == signal.SIGUSR1:
                    log.info("counters", extra=self.counters.fields())
                elif number == signal.SIGHUP:
                    self.reloads += 1
                    self.scheduler.spawn(self._reload, self.reloads)
                elif number in signals.STOPS and self.stopping.begin(self.scheduler.now()):
                    self.scheduler.spawn(self._stop)

    def _reload(self, asked: int) -> None:
        """Reads the configuration. One that is wrong may be caught half written, and no second signal need
        come: it is read again, after growing pauses, unless a later signal takes over."""
        pause = self.limits.pause_first
        while asked == self.reloads:
            try:
                return self._take(self.reread())
            except ConfigError as error:
                if pause == self.limits.pause_first:
                    log.warning("configuration not taken", extra={"fault": error})
            if pause > self.limits.pause_most:
                return
            self.scheduler.sleep(pause)
            pause *= 2

    def _take(self, found: Config) -> None:
        """Directory and deployer move; all that is open or learned stays, and so does what can't change."""
        kept = [
            name
            for name in Config._fields
            if name not in TOLD_ANEW and getattr(found, name) != getattr(self.config, name)
        ]
        moved = [name for name in MOVES if getattr(found, name) != getattr(self.config, name)]
        self.config = self.config._replace(directory=found.directory, deployer=found.deployer)
        self.main.directory.move(found.directory)
        self.main.deployer.move(found.deployer)
        log.info("configuration taken", extra={"moved": ",".join(moved)})
        if kept:
            log.warning("a change that needs a restart", extra={"fields": ",".join(kept)})

    def _stop(self) -> None:
        """Accepts while connections still come, closes each between reqs, answers what was taken."""
        doors = [front.doors for front in self.fronts]
        log.info("stopping", extra={"clients": sum(len(one.open) for one in doors)})
        while self._stops(doors) == LEAVING:
            self.scheduler.sleep(self.limits.stop_quiet // 8)
        for one in doors:
            one.stop(self.stopping.began + self.limits.stop_late)
        while self._stops(doors) != OVER:
            self.scheduler.sleep(self.limits.stop_quiet // 16)
        self.over = True

    def _stops(self, doors: list[Doors]) -> str:
        return self.stopping.step(
            self.scheduler.now(), max(one.accepted_at for one in doors), sum(len(one.open) for one in doors)
        )
