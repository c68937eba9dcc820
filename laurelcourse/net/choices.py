"""The one place that calls `Balancer` and hands its results on, in order, at one clock."""

import logging
from collections.abc import Callable, Iterable

from laurelcourse import interface as face
from laurelcourse.interface import Result
from laurelcourse.net.counters import Counters
from laurelcourse.net.forms import State, Tally
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.rules import Balancer
from laurelcourse.settings import Settings

log = logging.getLogger(__name__)


class Choices:
    def __init__(self, scheduler: Scheduler, settings: Settings, seed: int, counters: Counters) -> None:
        self.scheduler, self.counters = scheduler, counters
        self.balancer = Balancer(settings, seed, scheduler.now())
        self.boxes: dict[str, Mailbox] = {}
        self.left: dict[str, Callable[[], bool]] = {}
        self.holds_list = False
        self.carry: dict[str, Callable[[Result], None]] = {
            face.SEND: self._to_req,
            face.SHED: self._to_req,
            face.ERROR: self._to_req,
            face.CANCEL: self._to_req,
            face.WAKE: self._wake,
            face.NOTE: self._note,
        }

    def on(self, verb: str, carry: Callable[..., None]) -> None:
        """Names who carries out the results with this verb."""
        self.carry[verb] = lambda result: carry(*result[1:])

    def _call(self, name: str, *args: object, req: str | None = None) -> None:
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
                    self._call("withdrawn", req, req=req)
        for result in results:
            self.carry[result[0]](result)

    def start(self, known: list[face.Listed], news: State) -> None:
        self._call("start")
        self.holds_list = bool(known)
        self._call("directory", face.CACHED, known)
        self.stage(news)

    def heed(self, shares: face.Shares) -> None:
        """The fleet's budgets bind from now on."""
        self._call("heed", shares)

    def expect(self, req: str, box: Mailbox, left: Callable[[], bool] | None = None) -> bool:
        """Where the req's results go, and who tells that its client has left; False if one with its id is
        under way."""
        if self.boxes.setdefault(req, box) is not box:
            return False
        if left:
            self.left[req] = left
        return True

    def take(self, req: str, route: str, key: int | None, left: int, repeated: bool) -> None:
        self._call("new_req", req, route, "", key, left, repeated, req=req)

    def outcome(
        self, req: str, number: int, unit: int, status: str, lag: int, last: bool, load: dict[str, float]
    ) -> None:
        self._call("outcome", req, number, unit, status, lag, last, load, req=req)

    def may_write(self, req: str, number: int) -> bool:
        """Whether a try may still be written. What a fault of the module leaves open is not sent. A close
        that came with what the try waited for may not have been heard yet: the connection is asked."""
        try:
            may = self.balancer.may_write(self.scheduler.now(), req, number)
            return may and not (req in self.left and self.left[req]())
        except Exception:
            log.exception("module fault", extra={"call": "may_write"})
            self.counters.add("module_faults")
            return False

    def streaming(self, req: str, number: int) -> None:
        """A part of the answer of a try has come."""
        self._call("streaming", req, number, req=req)

    def complaint(self, unit: int, since: int, route: str) -> None:
        """An answer of so long ago was wrong."""
        self._call("complaint", unit, since, route)

    def withdrawn(self, req: str) -> None:
        self._call("withdrawn", req, req=req)

    def done(self, req: str) -> None:
        """The req has its answer, and every try its outcome."""
        self.boxes.pop(req, None)
        self.left.pop(req, None)

    def directory(self, how: str, entries: Iterable[face.Listed]) -> None:
        self.holds_list |= how != face.BROKEN
        self._call("directory", how, entries)

    def stage(self, news: State, vote_ended: str | None = None) -> None:
        """News of the newest build, unasked or as the end of a vote."""
        self._call(
            "stage",
            news.build,
            news.stage,
            news.standing,
            vote_ended is not None,
            vote_ended or face.COUNTED,
            news.cap,
            news.since,
        )

    def tally(self, found: Tally) -> None:
        self._call("tally", *found)

    def peer(self, relay: int, payload: bytes) -> None:
        self._call("peer", relay, payload)

    def probed(self, unit: int, status: str, lag: int, load: dict[str, float]) -> None:
        self._call("probed", unit, status, lag, load)

    def _to_req(self, result: Result) -> None:
        if box := self.boxes.get(result[1]):
            box.put(result)
        else:
            self.counters.add("results_unowned")

    def _wake(self, result: Result) -> None:
        _, delay, token = result
        self.scheduler.after(delay, lambda: self._call("timer", token))

    def _note(self, result: Result) -> None:
        log.info(result[1])
