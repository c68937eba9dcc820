"""The one place that calls `Balancer` and hands its results on, in order, at one clock."""

import logging
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.interface import Result
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.rules import Balancer
from laurelcourse.settings import Settings

log = logging.getLogger(__name__)


class Choices:
    def __init__(self, scheduler: Scheduler, settings: Settings, seed: int, counters: Counters) -> None:
        self.scheduler, self.counters = scheduler, counters
        self.balancer = Balancer(settings, seed, scheduler.now())
        self.boxes: dict[str, Mailbox] = {}
        self.holds_list = False
        self.carry: dict[str, Callable[[Result], None]] = {
            face.SEND: self._to_req, face.SHED: self._to_req, face.ERROR: self._to_req,
            face.CANCEL: self._to_req, face.WAKE: self._wake, face.NOTE: self._note}

    def on(self, verb: str, carry: Callable[..., None]) -> None:
        """Names who carries out the results with this verb."""
        self.carry[verb] = lambda result: carry(*result[1:])

    def call(self, name: str, *args: object, req: str | None = None) -> None:
        now = self.scheduler.now()
        try:
            results = getattr(self.balancer, name)(now, *args)
        except Exception:
            # A fault of the module ends the req at hand; what else it had decided is still carried out.
            log.exception("module fault", extra={"call": name})
            self.counters.add("module_faults")
            results = [one for one in self.balancer.results() if one[1:2] != (req,)]
            if req is not None:
                results.append((face.ERROR, req))
                if name != "withdrawn":
                    self.call("withdrawn", req, req=req)
        for result in results:
            self.carry[result[0]](result)

    def start(self, known: Iterable[face.Listed], news: tuple) -> None:
        self.call("start")
        self.directory(face.CACHED, known)
        self.stage(*news, answers_vote=False)

    def take(self, box: Mailbox, req: str, route: str, key: int | None, left: int, repeated: bool) -> None:
        self.boxes[req] = box
        self.call("new_req", req, route, "", key, left, repeated, req=req)

    def outcome(self, req: str, number: int, unit: int, status: str, lag: int, last: bool,
                load: dict[str, float]) -> None:
        self.call("outcome", req, number, unit, status, lag, last, load, req=req)

    def withdrawn(self, req: str) -> None:
        self.call("withdrawn", req, req=req)

    def done(self, req: str) -> None:
        """The req has its answer, and every try its outcome."""
        del self.boxes[req]

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        self.holds_list |= how != face.BROKEN
        self.call("directory", how, entries)

    def stage(self, build: int, stage: int, standing: int, cap: float, since: int, answers_vote: bool,
              status: str = face.COUNTED) -> None:
        self.call("stage", build, stage, standing, answers_vote, status, cap, since)

    def _to_req(self, result: Result) -> None:
        if box := self.boxes.get(result[1]):
            box.put(result)
        else:
            self.counters.add("results_unowned")

    def _wake(self, result: Result) -> None:
        _, delay, token = result
        self.scheduler.after(delay, lambda: self.call("timer", token))

    def _note(self, result: Result) -> None:
        log.info(result[1])
