"""The one place that calls `Balancer`: it passes on the results, in order, all at one clock."""

import logging
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.interface import Result
from laurelcourse.net.counters import Counters
from laurelcourse.net.payloads import BuildState, Tally
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.rules import Balancer
from laurelcourse.settings import Settings

log = logging.getLogger(__name__)


class Dispatcher:
    """Calls the decision module for one front and carries out what it returns."""

    def __init__(self, scheduler: Scheduler, settings: Settings, seed: int, counters: Counters) -> None:
        self.scheduler, self.counters = scheduler, counters
        self.balancer = Balancer(settings, seed, scheduler.now())
        self.mailboxes: dict[str, Mailbox] = {}  # by req
        self.client_has_left: dict[str, Callable[[], bool]] = {}  # by req
        self.has_unit_list = False
        self.handlers: dict[str, Callable[[Result], None]] = {
            face.SEND: self._send_to_req,
            face.SHED: self._send_to_req,
            face.ERROR: self._send_to_req,
            face.CANCEL: self._send_to_req,
            face.WAKE: self._wake,
            face.NOTE: self._note,
        }

    def on(self, verb: str, handler: Callable[..., None]) -> None:
        """Sets who carries out the results with this verb."""
        self.handlers[verb] = lambda result: handler(*result[1:])

    def _call(self, name: str, *args: object, req: str | None = None) -> None:
        now = self.scheduler.now()
        try:
            results = getattr(self.balancer, name)(now, *args)
        except Exception:
            # A fault of the module ends the req at hand; its other results are still carried out.
            log.exception("module fault", extra={"call": name})
            self.counters.add("module_faults")
            results = [result for result in self.balancer.take_results() if result[1:2] != (req,)]
            if req is not None:
                results.append((face.ERROR, req))
                if name != "withdrawn":
                    self._call("withdrawn", req, req=req)
        for result in results:
            self.handlers[result[0]](result)

    def start(self, known: list[face.Listed], release: BuildState) -> None:
        """Starts the module with units and release as last known."""
        self._call("start")
        self.has_unit_list = bool(known)
        self._call("directory", face.CACHED, known)
        self.stage(release)

    def heed(self, budgets: face.Budgets) -> None:
        """From now on the fleet's budgets bind."""
        self._call("heed", budgets)

    def register(self, req: str, mailbox: Mailbox, client_has_left: Callable[[], bool] | None = None) -> bool:
        """Sets where a req's results go and who knows whether its client has left.

        Returns False if a req with this id is under way.
        """
        if self.mailboxes.setdefault(req, mailbox) is not mailbox:
            return False
        if client_has_left:
            self.client_has_left[req] = client_has_left
        return True

    def new_req(self, req: str, route: str, key: int | None, left: int, repeated: bool) -> None:
        """A req has been read."""
        self._call("new_req", req, route, "", key, left, repeated, req=req)

    def outcome(
        self,
        req: str,
        number: int,
        unit: int,
        status: str,
        lag: int,
        last: bool,
        load: dict[str, float],
    ) -> None:
        """A try has ended."""
        self._call("outcome", req, number, unit, status, lag, last, load, req=req)

    def may_write(self, req: str, number: int) -> bool:
        """Returns whether a try may still be written; False after a fault of the module.

        The client may have closed together with what the try waited for, so its connection is asked too.
        """
        try:
            may = self.balancer.may_write(self.scheduler.now(), req, number)
            return may and not (req in self.client_has_left and self.client_has_left[req]())
        except Exception:
            log.exception("module fault", extra={"call": "may_write"})
            self.counters.add("module_faults")
            return False

    def streaming(self, req: str, number: int) -> None:
        """A part of a try's answer has arrived."""
        self._call("streaming", req, number, req=req)

    def complaint(self, unit: int, since: int, route: str) -> None:
        """An answer was wrong that came `since` microseconds ago."""
        self._call("complaint", unit, since, route)

    def withdrawn(self, req: str) -> None:
        """The client has left."""
        self._call("withdrawn", req, req=req)

    def unregister(self, req: str) -> None:
        """The req has its answer, and every try its outcome."""
        self.mailboxes.pop(req, None)
        self.client_has_left.pop(req, None)

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        """The directory's list or changes have arrived, or its watch has broken."""
        self.has_unit_list |= how != face.WATCH_BROKEN
        self._call("directory", how, entries)

    def stage(self, state: BuildState, vote_status: str | None = None) -> None:
        """The deployer reports the newest build, by a notice or as the answer to a vote."""
        self._call(
            "stage",
            state.build,
            state.stage,
            state.standing,
            vote_status is not None,
            vote_status or face.COUNTED,
            state.cap,
            state.since,
        )

    def tally(self, tally: Tally) -> None:
        """The platform reports sampled outcomes."""
        self._call("tally", *tally)

    def peer(self, relay: int, payload: bytes) -> None:
        """A datagram of another relay has arrived."""
        self._call("peer", relay, payload)

    def probed(self, unit: int, status: str, lag: int, load: dict[str, float]) -> None:
        """A health probe has ended."""
        self._call("probed", unit, status, lag, load)

    def _send_to_req(self, result: Result) -> None:
        if mailbox := self.mailboxes.get(result[1]):
            mailbox.put(result)
        else:
            self.counters.add("results_unowned")

    def _wake(self, result: Result) -> None:
        _, delay, token = result
        self.scheduler.after(delay, lambda: self._call("timer", token))

    def _note(self, result: Result) -> None:
        log.info(result[1])
