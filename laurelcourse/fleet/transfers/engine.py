"""Carries out a relay's transfers: new jobs at its site, its own, and orphans of its site. One greenlet task.

Nothing is decided here: the leader plans, the state machine says who owns a job and what is proven. Once an
interval all jobs are asked for anew, so what a lost answer would have told is seen an interval later.

A job is submitted as a file NAME.job in the site's folder, beside its bytes NAME: an XML element `job` with
firm, to, begin-in, within (whole microseconds from when it is seen), earnings, slots.
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
    from laurelcourse.fleet.transfers.books_client import BooksClient
    from laurelcourse.fleet.transfers.sender import Sender

log = logging.getLogger(__name__)

MAX_NEW_JOBS = 16  # asked for in one interval
MAX_JOB_FILE_BYTES = 4096
MAX_QUOTED_CHARACTERS = 120  # of a fault, in the log
MICROSECONDS_PER_SECOND = 1_000_000
NUMBERS = ("begin-in", "within", "earnings", "slots")  # attributes of a job's file
PARSER = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False)

OnDone = Callable[[Done], None]


class TransferEngine:
    """The transfers at one relay."""

    def __init__(
        self,
        member: "Member",
        mailbox: CrossThreadMailbox,
        site: str,
        folder: Path,
        receivers: dict[str, tuple[tuple[str, str], ...]],
        books: "BooksClient",
        new_sender: "Callable[..., Sender]",
    ) -> None:
        """`mailbox` gets work from other threads, as a function and its arguments.

        `receivers`: by site, relays and their addresses; `new_sender` makes a stream (`sender.Sender`).
        """
        self.member = member
        self.mailbox = mailbox
        self.site = site
        self.folder = folder
        self.receivers = receivers
        self.books = books
        self.new_sender = new_sender
        self.session = member.session
        self.clock = member.clock
        self.counters = member.counters
        self.interval = self.session.terms.renew_interval
        self.answer_timeout = 2 * member.client.limits.order_timeout
        self.next_refresh = 0
        self.senders: dict[str, Sender] = {}
        self.submitted_at: dict[str, int] = {}  # of jobs whose command awaits its answer
        self.proven: dict[str, int] = {}  # told by the receiver, not recorded yet
        self.next_receiver: dict[str, int] = {}  # which receiver is tried next
        self.finished: set[str] = set()  # submitted files that are asked for no more
        self.recalled: set[str] = set()
        self.without_link: set[str] = set()  # logged once; asked for again, as the link may be added
        self.retry_at: dict[str, int] = {}  # of submitted files whose job another relay has

    def work(self) -> None:
        """Runs until the mailbox is closed."""
        while not self.mailbox.closed:
            now = self.clock()
            if now >= self.next_refresh:
                self.next_refresh = now + self.interval
                self._refresh(now)
            wait = max(0, self.next_refresh - self.clock())
            letter = self.mailbox.get(self.member.scheduler.now() + wait)
            if letter is not None:
                call, args = letter
                call(*args)

    def close(self, timeout: int) -> None:
        """Ends all streams, each within `timeout` microseconds."""
        for name in sorted(self.senders):
            self.senders[name].stop.set()
        for name in sorted(self.senders):
            self.senders[name].join(timeout / MICROSECONDS_PER_SECOND)
        self.mailbox.close()

    def _post_or_drop(self, work: Callable, *args: object) -> None:
        """From any thread. What finds the mailbox full is seen an interval later."""
        try:
            self.mailbox.put((work, args))
        except FleetError:
            self.counters.add("moves.letters_lost")

    # Questions and commands

    def _ask(self, question: Question, on_done: OnDone) -> None:
        asked_at = self.clock()

        def on_answer(answer: Answer | FleetError) -> None:
            self._post_or_drop(self._on_answer, asked_at, answer, on_done)

        try:
            self.member.client.ask(question, on_answer)
        except FleetError:
            self.counters.add("moves.asks_lost")

    def _on_answer(self, asked_at: int, answer: Answer | FleetError, on_done: OnDone) -> None:
        if isinstance(answer, Done) and not answer.code:
            self.books.update_time(asked_at, answer.value[0])
            on_done(answer)
        elif (
            isinstance(answer, Done)
            and answer.code == NoDirectLinkError.code
            and answer.to not in self.without_link
        ):
            self.without_link.add(answer.to)
            error = error_from_code(answer.code, answer.to, dict(answer.told))
            log.warning("transfer can't go", extra=error.fields())

    def _submit(self, job: str, what: What, on_done: OnDone = lambda _: None) -> None:
        now = self.clock()
        try:
            command = self.session.command(what, now)
        except FleetError:
            return
        self.submitted_at[job] = now

        def on_answer(_: Submit, answer: Answer | FleetError) -> None:
            self.submitted_at.pop(job, None)
            if isinstance(answer, FleetError | Done):
                self.session.lost(command, answer.code)
                return
            self.session.confirmed(self.clock(), command)
            self._count(command, answer[0])
            if not answer[0].code:
                on_done(answer[0])

        self.member.send(Submit((command,), now), on_answer)

    def _count(self, command: Command, done: Done) -> None:
        kind = type(command.what).__name__.lower()
        self.counters.add(f"moves.{kind}.{done.code or 'done'}")
        if done.code:
            log.info("transfer's order refused", extra={"order": kind, "code": done.code, "to": done.to})

    # Jobs in the state machine

    def _refresh(self, now: int) -> None:
        for name, since in sorted(self.submitted_at.items()):
            if now > since + self.answer_timeout:
                del self.submitted_at[name]
        has_lease = self.session.is_usable(now)
        lease_end = self._lease_end() if has_lease else 0
        for name in sorted(self.senders):
            sender = self.senders[name]
            # A stream of a session that has ended must not go on by the next one's lease.
            if sender.view.owner == self.session.fence and has_lease:
                sender.until = lease_end
            if sender.ended:
                del self.senders[name]
        if has_lease:
            self._ask(Question("moves", str(self.session.fence.session)), self._on_transfers)

    def _lease_end(self) -> int:
        return self.session.granted_at + self.session.terms.holder_lease()

    def _on_transfers(self, done: Done) -> None:
        now = self.clock()
        if not self.session.is_usable(now):
            return
        transfers, own = views.from_plain(done.value), set()
        for view in transfers.views:
            name = view.job.name
            if name in self.submitted_at:
                continue
            if view.owner == self.session.fence:
                own.add(name)
                self._advance(view, transfers.time)
            elif view.state == ORPHAN and view.job.origin == self.site and (self.folder / name).is_file():
                self._submit(name, Resume(name), lambda _, view=view: self._on_taken_over(view))
        for name in sorted(set(self.senders) - own):
            self.senders[name].stop.set()
        self._submit_new_jobs(transfers.time)

    @staticmethod
    def _on_taken_over(view: views.TransferView) -> None:
        log.info("transfer taken over", extra={"job": view.job.name, "proven": view.proven})

    def _advance(self, view: views.TransferView, time: int) -> None:
        """Does what is next for one of this relay's jobs."""
        job, name = view.job, view.job.name
        proven = max(view.proven, self.proven.get(name, 0))
        sender = self.senders.get(name)
        if sender is not None and (view.state != RESERVED or sender.view.pieces != view.pieces):
            sender.stop.set()
        if view.proven == job.size:
            self._submit(name, Commit(name), lambda _: self._on_committed(name))
        elif proven > view.proven:
            self._submit(name, Progress(name, proven))
        elif view.state == RECALLED and view.pieces:
            self._park(name, sender)
        elif job.deadline <= time:
            self._submit(
                name, Free(name), lambda _: log.warning("transfer late: given up", extra={"job": name})
            )
        elif not view.pieces or view.pieces[-1].until * SLICE_US <= time:
            self._ask(Question("plan", name, job), lambda done: self._on_plan(done, name))
        elif view.state == RESERVED and sender is None:
            self.recalled.discard(name)
            self._start_sender(view)

    def _park(self, name: str, sender: "Sender | None") -> None:
        if name not in self.recalled:
            self.recalled.add(name)
            log.warning("transfer recalled: it earns least where room has gone", extra={"job": name})
        if sender is None:
            # Its reservations are free only once nothing of it is sent any more.
            self._submit(name, Move(name, ()))

    def _on_plan(self, done: Done, name: str) -> None:
        pieces = views.pieces_from_plain(done.value[1])
        if pieces and name not in self.submitted_at:
            self._submit(name, Move(name, pieces))

    def _on_committed(self, name: str) -> None:
        self.proven.pop(name, None)
        self.finished.add(name)
        log.info("transfer committed", extra={"job": name})

    def _start_sender(self, view: views.TransferView) -> None:
        receivers, name = self.receivers.get(view.job.to, ()), view.job.name
        if not receivers or not (self.folder / name).is_file():
            return
        to = receivers[self.next_receiver.get(name, 0) % len(receivers)]
        sender = self.senders[name] = self.new_sender(
            self.session.terms.fleet,
            self.session.name,
            to,
            view,
            self.folder / name,
            self.books,
            self.member.client.limits,
            lambda *report: self._post_or_drop(self._on_report, *report),
            self._lease_end(),
        )
        sender.start()

    def _on_report(self, name: str, report: int | FleetError, sender: "Sender") -> None:
        if isinstance(report, FleetError):
            self.next_receiver[name] = self.next_receiver.get(name, 0) + 1
            self.counters.add(f"moves.stream.{report.code}")
            log.warning("transfer's stream ended", extra=report.fields() | {"job": name})
        elif self.senders.get(name) is sender:
            self.proven[name] = max(report, self.proven.get(name, 0))

    # Job files

    def _submit_new_jobs(self, time: int) -> None:
        try:
            names = sorted(path.stem for path in self.folder.glob("*.job"))
        except OSError:
            return
        asked = 0
        for name in names:
            if (
                name in self.finished
                or name in self.submitted_at
                or asked == MAX_NEW_JOBS
                or self.retry_at.get(name, 0) > time
            ):
                continue
            job = self._read_job(name, time)
            if job is None:
                self.finished.add(name)
                continue
            asked += 1
            self._ask(Question("move", name), lambda done, job=job: self._on_looked_up(done, job))

    def _on_looked_up(self, done: Done, job: Job) -> None:
        transfers = views.from_plain(done.value)
        if transfers.ended:
            self.finished.add(job.name)
        elif transfers.views:
            self.retry_at[job.name] = transfers.time + 2 * self.session.terms.lease
        else:
            self._ask(Question("plan", job.name, job), lambda plan: self._reserve(plan, job))

    def _reserve(self, done: Done, job: Job) -> None:
        pieces = views.pieces_from_plain(done.value[1])
        if pieces and job.name not in self.submitted_at:
            self._submit(job.name, Reserve(job, pieces))

    def _read_job(self, name: str, time: int) -> Job | None:
        path = self.folder / f"{name}.job"
        try:
            element = etree.fromstring(path.read_bytes()[:MAX_JOB_FILE_BYTES], PARSER)
            numbers = {attribute: int(element.get(attribute, "0")) for attribute in NUMBERS}
            size = (self.folder / name).stat().st_size
            return Job(
                name,
                element.get("firm", ""),
                self.site,
                element.get("to", ""),
                size,
                time + numbers["begin-in"],
                time + numbers["within"],
                numbers["earnings"],
                numbers["slots"],
            )
        except (OSError, ValueError, etree.XMLSyntaxError) as error:
            fault = str(error)[:MAX_QUOTED_CHARACTERS]
            log.warning("job can't be read", extra={"job": name, "fault": fault})
            return None
