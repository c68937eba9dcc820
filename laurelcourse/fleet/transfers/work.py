"""A relay's transfers carried out: jobs laid down at its site, its own, orphans of its site. One task.

Nothing is decided here: the leader plans, the books say whose a job is and what is proven. Each beat they
are looked at anew, so what an answer lost on its way would have told is seen a beat later.

A job is laid down in the site's folder as NAME.job beside its bytes NAME: an XML element `job` with firm, to,
begin-in, within (whole microseconds from when it is seen), earnings, slots.
"""

import logging
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from lxml import etree

from laurelcourse.fleet.books.forms import (
    Command,
    Commit,
    Done,
    Free,
    Job,
    Move,
    Progress,
    Reserve,
    Resume,
    What,
)
from laurelcourse.fleet.books.reservations import ORPHAN, RECALLED, RESERVED
from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls.mailbox import CrossThreadMailbox
from laurelcourse.fleet.errors import FleetError, NoDirectLinkError, error_from_code
from laurelcourse.fleet.orders import Answer, Question, Submit
from laurelcourse.fleet.transfers import views

if TYPE_CHECKING:
    from laurelcourse.fleet.member import Member
    from laurelcourse.fleet.transfers.stream import Books, Sending

log = logging.getLogger(__name__)

NEW = 16  # jobs laid down that are asked for in a beat
FILE = 4096  # bytes of a job's file
PLAIN = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False)
Then = Callable[[Done], None]


class Moves:
    def __init__(
        self,
        member: "Member",
        letters: CrossThreadMailbox,
        site: str,
        folder: Path,
        doors: dict[str, tuple[tuple[str, str], ...]],
        books: "Books",
        begin: "Callable[..., Sending]",
    ) -> None:
        """`begin` makes a stream (`stream.Sending`).
        `doors`: of each site relays and their addresses. `letters`: a function and its arguments."""
        self.member, self.letters, self.site, self.folder = member, letters, site, folder
        self.doors, self.books, self.begin = doors, books, begin
        self.session, self.clock, self.counters = member.session, member.clock, member.counters
        self.beat = self.session.terms.renew_interval
        self.sending: dict[str, Sending] = {}
        self.busy: dict[str, int] = {}  # jobs with an order under way, and since when
        self.proven: dict[str, int] = {}  # told by the far end, not yet by the books
        self.turn: dict[str, int] = {}  # which door of the other site is tried next
        self.done: set[str] = set()  # laid down, and asked for no more
        self.recalled: set[str] = set()
        self.linkless: set[str] = set()  # told of once: asked for on, in case the link is named
        self.rests: dict[str, int] = {}  # laid down, and in others' hands: asked for later
        self.next_at, self.patience = 0, 2 * member.client.limits.order_timeout

    def work(self) -> None:
        while not self.letters.closed:
            now = self.clock()
            if now >= self.next_at:
                self.next_at = now + self.beat
                self._round(now)
            came = self.letters.get(self.member.scheduler.now() + max(0, self.next_at - self.clock()))
            if came is not None:
                work, args = came
                work(*args)

    def close(self, timeout: int) -> None:
        for name in sorted(self.sending):
            self.sending[name].stop.set()
        for name in sorted(self.sending):
            self.sending[name].join(timeout / 1_000_000)
        self.letters.close()

    def _late(self, work: Callable, *args: object) -> None:
        """From any thread. What finds no room is seen in the books a beat later."""
        try:
            self.letters.put((work, args))
        except FleetError:
            self.counters.add("moves.letters_lost")

    # Orders

    def _ask(self, question: Question, then: Then) -> None:
        asked = self.clock()

        def told(answer: Answer | FleetError) -> None:
            self._late(self._answered, asked, answer, then)

        try:
            self.member.client.ask(question, told)
        except FleetError:
            self.counters.add("moves.asks_lost")

    def _answered(self, asked: int, answer: Answer | FleetError, then: Then) -> None:
        if isinstance(answer, Done) and not answer.code:
            self.books.hear(asked, answer.value[0])
            then(answer)
        elif (
            isinstance(answer, Done)
            and answer.code == NoDirectLinkError.code
            and answer.to not in self.linkless
        ):
            self.linkless.add(answer.to)
            log.warning(
                "transfer can't go", extra=error_from_code(answer.code, answer.to, dict(answer.told)).fields()
            )

    def _order(self, job: str, what: What, then: Then = lambda _: None) -> None:
        now = self.clock()
        try:
            command = self.session.command(what, now)
        except FleetError:
            return
        self.busy[job] = now

        def heard(order: Submit, answer: Answer | FleetError) -> None:
            self.busy.pop(job, None)
            if isinstance(answer, FleetError | Done):
                self.session.lost(command, answer.code)
                return
            self.session.confirmed(self.clock(), command)
            self._told(command, answer[0])
            if not answer[0].code:
                then(answer[0])

        self.member.send(Submit((command,), now), heard)

    def _told(self, command: Command, done: Done) -> None:
        kind = type(command.what).__name__.lower()
        self.counters.add(f"moves.{kind}.{done.code or 'done'}")
        if done.code:
            log.info("transfer's order refused", extra={"order": kind, "code": done.code, "to": done.to})

    # A round

    def _round(self, now: int) -> None:
        for name, since in sorted(self.busy.items()):
            if now > since + self.patience:
                del self.busy[name]
        usable = self.session.is_usable(now)
        until = self.session.granted_at + self.session.terms.holder_lease() if usable else 0
        for name in sorted(self.sending):
            one = self.sending[name]
            # A stream of a session that is over must not live on by the next one's lease.
            if one.view.owner == self.session.fence and usable:
                one.until = until
            if one.ended:
                del self.sending[name]
        if usable:
            self._ask(Question("moves", str(self.session.fence.session)), self._seen)

    def _seen(self, done: Done) -> None:
        now = self.clock()
        if not self.session.is_usable(now):
            return
        seen, mine = views.seen(done.value), set()
        for view in seen.views:
            name = view.job.name
            if name in self.busy:
                continue
            if view.owner == self.session.fence:
                mine.add(name)
                self._own(view, seen.time)
            elif view.state == ORPHAN and view.job.origin == self.site and (self.folder / name).is_file():
                self._order(
                    name,
                    Resume(name),
                    lambda _, view=view: log.info(
                        "transfer taken over", extra={"job": view.job.name, "proven": view.proven}
                    ),
                )
        for name in sorted(set(self.sending) - mine):
            self.sending[name].stop.set()
        self._laid_down(seen.time)

    def _own(self, view: views.View, time: int) -> None:
        job, name = view.job, view.job.name
        proven = max(view.proven, self.proven.get(name, 0))
        sending = self.sending.get(name)
        if sending is not None and (view.state != RESERVED or sending.view.pieces != view.pieces):
            sending.stop.set()
        if view.proven == job.size:
            self._order(name, Commit(name), lambda _: self._committed(name))
        elif proven > view.proven:
            self._order(name, Progress(name, proven))
        elif view.state == RECALLED and view.pieces:
            if name not in self.recalled:
                self.recalled.add(name)
                log.warning("transfer recalled: it earns least where room has gone", extra={"job": name})
            if sending is None:
                # What it held is free only once nothing of it is sent any more.
                self._order(name, Move(name, ()))
        elif job.deadline <= time:
            self._order(
                name, Free(name), lambda _: log.warning("transfer late: given up", extra={"job": name})
            )
        elif not view.pieces or view.pieces[-1].until * SLICE_US <= time:
            self._ask(Question("plan", name, job), lambda done: self._planned(done, name))
        elif view.state == RESERVED and sending is None:
            self.recalled.discard(name)
            self._send(view)

    def _planned(self, done: Done, name: str) -> None:
        pieces = views.seen_pieces(done.value[1])
        if pieces and name not in self.busy:
            self._order(name, Move(name, pieces))

    def _committed(self, name: str) -> None:
        self.proven.pop(name, None)
        self.done.add(name)
        log.info("transfer committed", extra={"job": name})

    def _send(self, view: views.View) -> None:
        doors, name = self.doors.get(view.job.to, ()), view.job.name
        if not doors or not (self.folder / name).is_file():
            return
        to = doors[self.turn.get(name, 0) % len(doors)]
        until = self.session.granted_at + self.session.terms.holder_lease()
        one = self.sending[name] = self.begin(
            self.session.terms.fleet,
            self.session.name,
            to,
            view,
            self.folder / name,
            self.books,
            self.member.client.limits,
            lambda *said: self._late(self._said, *said),
            until,
        )
        one.start()

    def _said(self, name: str, what: int | FleetError, sending: "Sending") -> None:
        if isinstance(what, FleetError):
            self.turn[name] = self.turn.get(name, 0) + 1
            self.counters.add(f"moves.stream.{what.code}")
            log.warning("transfer's stream ended", extra=what.fields() | {"job": name})
        elif self.sending.get(name) is sending:
            self.proven[name] = max(what, self.proven.get(name, 0))

    # Jobs laid down

    def _laid_down(self, time: int) -> None:
        try:
            found = sorted(one.stem for one in self.folder.glob("*.job"))
        except OSError:
            return
        asked = 0
        for name in found:
            if name in self.done or name in self.busy or asked == NEW or self.rests.get(name, 0) > time:
                continue
            job = self._job(name, time)
            if job is None:
                self.done.add(name)
                continue
            asked += 1
            self._ask(Question("move", name), lambda done, job=job: self._known(done, job))

    def _known(self, done: Done, job: Job) -> None:
        seen = views.seen(done.value)
        if seen.ended:
            self.done.add(job.name)
        elif seen.views:
            self.rests[job.name] = seen.time + 2 * self.session.terms.lease
        else:
            self._ask(Question("plan", job.name, job), lambda plan: self._reserve(plan, job))

    def _reserve(self, done: Done, job: Job) -> None:
        pieces = views.seen_pieces(done.value[1])
        if pieces and job.name not in self.busy:
            self._order(job.name, Reserve(job, pieces))

    def _job(self, name: str, time: int) -> Job | None:
        path = self.folder / f"{name}.job"
        try:
            told = etree.fromstring(path.read_bytes()[:FILE], PLAIN)
            numbers = {one: int(told.get(one, "0")) for one in ("begin-in", "within", "earnings", "slots")}
            size = (self.folder / name).stat().st_size
            return Job(
                name,
                told.get("firm", ""),
                self.site,
                told.get("to", ""),
                size,
                time + numbers["begin-in"],
                time + numbers["within"],
                numbers["earnings"],
                numbers["slots"],
            )
        except (OSError, ValueError, etree.XMLSyntaxError) as error:
            log.warning("job can't be read", extra={"job": name, "fault": str(error)[:120]})
            return None
