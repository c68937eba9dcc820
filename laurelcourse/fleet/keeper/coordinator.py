"""All decisions of a keeper around the Raft core: who is answered what, when, and by which read of the log.
Pure.

Every public call returns what has to be done; its write is on disk before anything is sent or answered. Times
are whole microseconds of the keeper's own monotonic clock. Renewals rest on the argument in
`fleet/members.py`; read index: Ongaro's thesis (2014), section 6.4.
"""

from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import (
    Adopt,
    Batch,
    Close,
    Command,
    Define,
    Done,
    Grant,
    Job,
    Lapse,
    Limits,
    Open,
    Places,
    Recall,
)
from laurelcourse.fleet.errors import FleetError, OlderDiskError, PlanUnfitError, describe_fault
from laurelcourse.fleet.keeper.allocation import BudgetAllocator
from laurelcourse.fleet.keeper.batching import ActionBatch, merge_writes
from laurelcourse.fleet.keeper.core import Core
from laurelcourse.fleet.keeper.leader_clock import LeaderClock
from laurelcourse.fleet.keeper.messages import (
    BOOKS,
    LEADER,
    NOOP,
    REFUSED,
    Entry,
    Keepers,
    Kept,
    Message,
    Out,
)
from laurelcourse.fleet.keeper.stale_disk import NO_MARK
from laurelcourse.fleet.keeper.transfer_planning import TransferPlanner
from laurelcourse.fleet.members import Members
from laurelcourse.fleet.orders import Acts, Beat, Note, Question, Renewed, Share, Submit, Terms
from laurelcourse.fleet.transfers import views as transfer_views
from laurelcourse.fleet.workflows import views as workflow_views
from laurelcourse.prng import Prng

LeaderCommand = Lapse | Define | Grant | Limits | Places | Recall

# Only the leader gives these. Shrink is the operators', and is given without a fence.
LEADER_COMMANDS = (Lapse, Define, Grant, Limits, Places, Recall)
SESSION_CHANGES = (Open, Close, Lapse)
SESSION_ENDS = (Close, Lapse)
FLUSHES_PER_INTERVAL = 8  # batches in a renew interval at most, while another one is in flight


def older_disk_error(name: str, core: Core) -> OlderDiskError:
    """Returns the error of a keeper whose disk is an older copy."""
    known = core.known_mark or NO_MARK
    held = f"disk {core.disk} term {core.term} entry {core.last}"
    return OlderDiskError(name, held=held, said=f"disk {known.disk} term {known.term} entry {known.index}")


class Order(NamedTuple):
    """Commands of one client; without a token they are the leader's own."""

    token: int | None
    commands: tuple[Command, ...]
    size: int  # bytes, as an entry of its own


class PendingRead(NamedTuple):
    """A renewal or a question that waits for a read index requested after `received_at`."""

    token: int
    received_at: int
    what: Beat | Question


class Proposal(NamedTuple):
    """A proposal in flight: `orders` of a batch, or the token of a membership change."""

    term: int
    orders: tuple[Order, ...]
    change: int | None = None


class LeaderState:
    """What this keeper knows as a leader, from the application of its own NOOP on."""

    __slots__ = (
        "allocator",
        "clock",
        "grants_in_flight",
        "interval_at",
        "lapse_after",
        "members",
        "must_define",
        "must_set_limits",
        "must_set_places",
        "planner",
    )

    def __init__(self, now: int, terms: Terms, books: Books) -> None:
        self.members = Members(terms, now, [live.number for live in books.sessions()])
        self.clock = LeaderClock(now, books.time)
        self.allocator = BudgetAllocator()
        self.planner = TransferPlanner()
        self.interval_at = self.lapse_after = now
        self.grants_in_flight = 0  # the state machine is about to change
        # Whether the settings differ from what the state machine holds.
        self.must_define = books.budgets() != terms.budgets
        self.must_set_limits = terms.limits is not None and books.workflow_limits() != terms.limits
        self.must_set_places = books.places() != (terms.links, terms.sites)


class Coordinator:
    """Connects clients, the Raft core and the replicated state machine."""

    def __init__(
        self,
        name: str,
        site: str,
        terms: Terms,
        rng: Prng,
        kept: Kept,
        now: int,
        *,
        encode: Callable[[Batch], bytes],
        decode: Callable[[bytes], Batch],
    ) -> None:
        """`decode` raises ValueError or FleetError. Raises DamagedBooksError."""
        self.name, self.site, self.terms = name, site, terms
        self.encode, self.decode = encode, decode
        self.books, self.applied = Books(), 0
        self.applied_since_snapshot = 0
        if kept.snapshot is not None:
            self.books, self.applied = Books.from_snapshot(kept.snapshot.data), kept.snapshot.index
        self.core = Core(name, terms.bounds, rng, kept, terms.keepers, now)
        self.leader_state: LeaderState | None = None
        self.leading_term = 0  # the term in which this keeper leads
        self.stopping = False
        self.last_token = 0  # of the core; clients have their own
        self.queue: list[Order] = []
        self.flush_at = 0
        self.proposals: dict[int, Proposal] = {}  # by the core's token, until appended
        self.appended: dict[int, Proposal] = {}  # by index, until committed
        self.waiting_reads: list[PendingRead] = []
        self.current_read: tuple[int, tuple[PendingRead, ...]] | None = None  # with the core's token
        self.confirmed_reads: list[tuple[int, tuple[PendingRead, ...]]] = []  # by index to be applied first
        self.actions = ActionBatch()

    @property
    def members(self) -> Members | None:
        """The sessions' leases, while this keeper leads."""
        return self.leader_state.members if self.leader_state else None

    # Calls

    def due(self) -> int:
        """Returns when `tick` has to be called next."""
        times = [self.core.due()]
        if self.leader_state is not None:
            times.append(self.leader_state.interval_at)
            times.append(max(self.leader_state.members.due(), self.leader_state.lapse_after))
            if self.queue:
                times.append(self.flush_at)
        return min(times)

    def tick(self, now: int) -> Acts:
        """Handles timeouts that are due."""
        self._carry_out(now, self.core.tick(now))
        return self._finish(now)

    def hear(self, now: int, sender: str, message: Message) -> Acts:
        """Handles a message of another keeper."""
        self._carry_out(now, self.core.hear(now, sender, message))
        return self._finish(now)

    def submit(self, now: int, token: int, submit: Submit) -> Acts:
        """Takes commands of one relay: all are tried, or none if the answer is a single Done."""
        order = self._make_order(token, submit.commands)
        refused = self._refusal() or self._order_refusal(order)
        if refused is not None:
            self.actions.answers.append((token, refused))
        elif not submit.commands:
            self.actions.answers.append((token, ()))
        else:
            self._enqueue(now, order)
        return self._finish(now)

    def renew(self, now: int, token: int, beat: Beat) -> Acts:
        """Renews a session's lease.

        `now` has to be read after the Beat was received, as in `hear` after the message: a time from before a
        pause would count the lease from before the relay asked.
        """
        self._add_read(token, PendingRead(token, now, beat), self._refusal() or self._renewal_refusal(beat))
        return self._finish(now)

    def ask(self, now: int, token: int, question: Question) -> Acts:
        """Answers a question by a linearizable read."""
        self._add_read(token, PendingRead(token, now, question), self._refusal())
        return self._finish(now)

    def change(self, now: int, token: int, keepers: Keepers) -> Acts:
        """Changes the membership of the keepers."""
        refused = self._refusal()
        if refused is not None:
            self.actions.answers.append((token, refused))
        else:
            core_token = self._next_token()
            self.proposals[core_token] = Proposal(self.core.term, (), token)
            self._carry_out(now, self.core.change(now, core_token, keepers))
        return self._finish(now)

    def stop(self, now: int) -> Acts:
        """Transfers leadership; what is in flight is answered as it ends, the rest is refused."""
        self.stopping = True
        self._refuse_waiting(Done(code="stopping", to=self.name))
        if self.core.role == LEADER:
            self._carry_out(now, self.core.hand_over(now))
        return self._finish(now)

    # What is refused at once

    def _refusal(self) -> Done | None:
        if self.stopping:
            return Done(code="stopping", to=self.name)
        return None if self.core.role == LEADER else self._not_leader()

    def _not_leader(self) -> Done:
        return Done(code="not_leader", to=self.name, told=(("leader", self.core.leader),))

    def _overloaded(self, waiting: int) -> Done:
        told = (("at_most", self.terms.bounds.max_waiting), ("waiting", waiting))
        return Done(code="overloaded", to=self.name, told=told)

    def _order_refusal(self, order: Order) -> Done | None:
        for command in order.commands:
            by_leader = isinstance(command.what, Adopt) and command.fence is None
            if isinstance(command.what, LEADER_COMMANDS) or by_leader:
                told = (("order", type(command.what).__name__.lower()), ("state", "asked by a relay"))
                return Done(code="out_of_order", to=self.name, told=told)
            if command.fence is not None:
                refused = self._fence_refusal(command)
                if refused is not None:
                    return refused
        max_size = self.terms.bounds.max_batch_bytes
        if order.size > max_size:
            return Done(code="too_large", to=self.name, told=(("at_most", max_size), ("size", order.size)))
        waiting = sum(len(queued.commands) for queued in self.queue if queued.token is not None)
        return self._overloaded(waiting) if waiting >= self.terms.bounds.max_waiting else None

    def _fence_refusal(self, what: Command | Beat) -> Done | None:
        """Returns the refusal of a session that is over.

        A state machine that lags cannot tell such a session from one that it does not know yet: only a leader
        whose NOOP is applied refuses, and never a session of a later term than its own.
        """
        if what.fence.term > self.core.term:
            return self._not_leader()
        return self.books.fence_refusal(what.fence) if self.leader_state is not None else None

    def _renewal_refusal(self, beat: Beat) -> Done | None:
        refused = self._fence_refusal(beat)
        if (
            refused is None
            and self.leader_state is not None
            and self.leader_state.members.refuses(beat.fence.session)
        ):
            return self._lapsed(beat)
        return refused

    def _lapsed(self, beat: Beat) -> Done:
        return Done(code="lapsed_lease", to=beat.fence.name, told=(("session", beat.fence.session),))

    # What waits

    def _add_read(self, token: int, read: PendingRead, refused: Done | None) -> None:
        waiting = len(self.waiting_reads) + (len(self.current_read[1]) if self.current_read else 0)
        if refused is None and waiting >= self.terms.bounds.max_waiting:
            refused = self._overloaded(waiting)
        if refused is not None:
            self.actions.answers.append((token, refused))
        else:
            self.waiting_reads.append(read)

    def _make_order(self, token: int | None, commands: tuple[Command, ...]) -> Order:
        return Order(token, commands, len(self.encode(Batch(0, 0, commands))))

    def _enqueue(self, now: int, order: Order) -> None:
        if not self.queue:
            self.flush_at = now + self.terms.renew_interval // FLUSHES_PER_INTERVAL
        self.queue.append(order)

    def _enqueue_own(self, now: int, what: LeaderCommand) -> None:
        self._enqueue(now, self._make_order(None, (Command(None, 0, what),)))

    def _next_token(self) -> int:
        self.last_token += 1
        return self.last_token

    def _finish(self, now: int) -> Acts:
        """Does all that follows from what has just been handled; returns the actions."""
        self._follow_role()
        if self.leader_state is not None:
            self._lapse_expired(now)
            if now >= self.leader_state.interval_at:
                self._run_interval(now)
            while self._flush(now):
                pass
        while self.waiting_reads and self.current_read is None and self.core.role == LEADER:
            token = self._next_token()
            self.current_read, self.waiting_reads = (token, tuple(self.waiting_reads)), []
            self._carry_out(now, self.core.read(now, token))
        if self.applied_since_snapshot >= self.terms.snapshot_every:
            self.applied_since_snapshot = 0
            self._carry_out(now, self.core.compact(now, self.applied, self.books.snapshot()))
        self._follow_role()
        return self.actions.take()

    def _follow_role(self) -> None:
        if self.core.role != LEADER or self.core.term != self.leading_term:
            self._drop_leadership()
            self.leading_term = self.core.term if self.core.role == LEADER else 0

    def _drop_leadership(self) -> None:
        """Answers clients of a keeper that no longer leads. The next leader may still commit its
        proposals.
        """
        for proposal in (*self.proposals.values(), *self.appended.values()):
            if proposal.term != self.core.term or self.core.role != LEADER:
                self._answer_unknown(proposal)
        self.proposals = {
            token: proposal
            for token, proposal in self.proposals.items()
            if proposal.term == self.core.term and self.core.role == LEADER
        }
        self.appended = {
            index: proposal
            for index, proposal in self.appended.items()
            if proposal.term == self.core.term and self.core.role == LEADER
        }
        if self.core.role != LEADER or (self.leading_term and self.leading_term != self.core.term):
            self._refuse_waiting(self._not_leader())
            self.leader_state = None

    def _answer_unknown(self, proposal: Proposal) -> None:
        tokens = [order.token for order in proposal.orders if order.token is not None]
        tokens += [] if proposal.change is None else [proposal.change]
        self.actions.answers += [(token, Done(code="unknown_fate", to=self.name)) for token in tokens]

    def _refuse_waiting(self, refused: Done) -> None:
        tokens = [order.token for order in self.queue if order.token is not None]
        for reads in (
            self.waiting_reads,
            self.current_read[1] if self.current_read else (),
            *(reads for _, reads in self.confirmed_reads),
        ):
            tokens += [read.token for read in reads]
        self.actions.answers += [(token, refused) for token in tokens]
        self.queue, self.waiting_reads, self.current_read, self.confirmed_reads = [], [], None, []

    # What the leader does by itself

    def _lapse_expired(self, now: int) -> None:
        if now < self.leader_state.lapse_after:
            return
        for session in self.leader_state.members.take_expired(now):
            self._enqueue_own(now, Lapse(session))
            self._note("info", "lease over", session=session)

    def _run_interval(self, now: int) -> None:
        leader = self.leader_state
        leader.interval_at = now + self.terms.renew_interval
        if self.stopping:
            return
        if leader.must_define:
            leader.must_define = False
            self._enqueue_own(now, Define(self.terms.budgets))
        if leader.must_set_limits:
            leader.must_set_limits = False
            self._enqueue_own(now, self.terms.limits)
        if leader.must_set_places:
            leader.must_set_places = False
            self._enqueue_own(now, Places(self.terms.links, self.terms.sites))
        elif recall := self._recall(now):
            self._enqueue_own(now, recall)
        if not leader.grants_in_flight:
            for grant in leader.allocator.grants(now, self.books, leader.members):
                leader.grants_in_flight += 1
                self._enqueue_own(now, grant)
        needs_time = any(map(self.books.pending, self.books.scopes())) or leader.planner.has_expired(
            self.books, leader.clock.at(now)
        )
        if not self.queue and not self.appended and needs_time:
            # What is freed by time is freed by a later batch only: an empty one carries the time.
            self._propose(now, ())

    def _flush(self, now: int) -> bool:
        """Proposes a batch of queued orders; returns whether it did."""
        busy = self.proposals or self.appended
        if not self.queue or (busy and now < self.flush_at):
            return False
        count = size = 0
        for order in self.queue:
            if count and size + order.size > self.terms.bounds.max_batch_bytes:
                break
            count, size = count + 1, size + order.size
        orders, self.queue = tuple(self.queue[:count]), self.queue[count:]
        self.flush_at = now + self.terms.renew_interval // FLUSHES_PER_INTERVAL
        self._propose(now, orders)
        return True

    def _propose(self, now: int, orders: tuple[Order, ...]) -> None:
        token, term = self._next_token(), self.core.term
        commands = tuple(command for order in orders for command in order.commands)
        data = self.encode(Batch(self.leader_state.clock.at(now), term, commands))
        self.proposals[token] = Proposal(term, orders)
        self._carry_out(now, self.core.propose(now, token, BOOKS, data))

    # What the core has done

    def _carry_out(self, now: int, out: Out) -> None:
        self.actions.write = merge_writes(self.actions.write, out.write)
        self.actions.send += out.send
        # Before `apply`: a single keeper appends and commits an entry at once.
        for token, index, term in out.appended:
            proposal = self.proposals.pop(token, None)
            if proposal is not None:
                self.appended[index] = proposal._replace(term=term)
        if out.restore is not None and out.restore.index > self.applied:
            self.books, self.applied = Books.from_snapshot(out.restore.data), out.restore.index
            self.applied_since_snapshot = 0
            for index in sorted(index for index in self.appended if index <= self.applied):
                self._answer_unknown(self.appended.pop(index))
        for entry in out.apply:
            self._apply(now, entry)
        self._answer_reads(now, out)
        for token, code in out.refused:
            self._on_refused(now, token, code)
        if out.role_change is not None:
            role, term, leader = out.role_change
            if role == REFUSED:
                fields = older_disk_error(self.name, self.core).fields()
                self._note("error", "keeper takes no part", **fields)
            self._note("info", "keeper is now", role=role, term=term, leader=leader)

    def _apply(self, now: int, entry: Entry) -> None:
        self.applied, self.applied_since_snapshot = entry.index, self.applied_since_snapshot + 1
        proposal = self.appended.pop(entry.index, None)
        if proposal is not None and proposal.term != entry.term:
            self._answer_unknown(proposal)
            proposal = None
        results: tuple[Done, ...] = ()
        if entry.kind == BOOKS:
            results = self._apply_batch(now, entry)
        elif entry.kind == NOOP and self.core.role == LEADER and entry.term == self.core.term:
            self.leader_state = LeaderState(now, self.terms, self.books)
        if proposal is None:
            return
        if proposal.change is not None:
            self.actions.answers.append((proposal.change, Done((entry.index,))))
        for order in proposal.orders:
            own_results, results = results[: len(order.commands)], results[len(order.commands) :]
            if order.token is not None:
                self.actions.answers.append((order.token, own_results))
            else:
                self._on_own_result(now, order.commands[0].what, own_results[0])

    def _apply_batch(self, now: int, entry: Entry) -> tuple[Done, ...]:
        try:
            batch = self.decode(entry.data)
        except (ValueError, FleetError) as error:
            # All keepers of this version read it alike; the state machine's index must follow the log's.
            fault = str(error)[:200]
            self._note("error", "entry that can't be read", index=entry.index, fault=fault)
            batch = Batch(self.books.time, entry.term, ())
        results = self.books.apply(entry.index, batch)
        if self.leader_state is not None and any(
            isinstance(command.what, SESSION_CHANGES) for command in batch.commands
        ):
            live_sessions = [live.number for live in self.books.sessions()]
            self.leader_state.members.follow(now, live_sessions)
            if not self.leader_state.grants_in_flight and any(
                isinstance(command.what, SESSION_ENDS) for command in batch.commands
            ):
                # What was held is free: waiting for the next interval would only add to the lease's time.
                self.leader_state.interval_at = now
        return results

    def _on_own_result(self, now: int, what: LeaderCommand, result: Done) -> None:
        if isinstance(what, Grant) and self.leader_state is not None:
            self.leader_state.grants_in_flight -= 1
            if result.code:
                self.leader_state.allocator.paused_until[what.budget] = now + self.terms.lease
        # A session may have closed before its Lapse, or a Grant to it, came in the log.
        if result.code and result.code != "lapsed_lease":
            order = type(what).__name__.lower()
            self._note("warning", "leader's order refused", order=order, code=result.code, to=result.to)

    def _on_refused(self, now: int, token: int, code: str) -> None:
        if self.current_read is not None and self.current_read[0] == token:
            reads, self.current_read = self.current_read[1], None
            self.actions.answers += [(read.token, self._refusal_by_code(code)) for read in reads]
            return
        proposal = self.proposals.pop(token, None)
        if proposal is None:
            return
        if proposal.change is not None:
            self.actions.answers.append((proposal.change, self._refusal_by_code(code)))
        for order in proposal.orders:
            if order.token is not None:
                self.actions.answers.append((order.token, self._refusal_by_code(code)))
            elif self.leader_state is not None:
                self._on_own_refused(now, order.commands[0].what)

    def _on_own_refused(self, now: int, what: LeaderCommand) -> None:
        match what:
            case Lapse():
                self.leader_state.members.cancel_lapse(what.session)
                self.leader_state.lapse_after = now + self.terms.renew_interval
            case Define():
                self.leader_state.must_define = True
            case Limits():
                self.leader_state.must_set_limits = True
            case Places():
                self.leader_state.must_set_places = True
            case Grant():
                self.leader_state.grants_in_flight -= 1

    def _refusal_by_code(self, code: str) -> Done:
        match code:
            case "not_leader":
                return self._not_leader()
            case "overloaded":
                return self._overloaded(self.terms.bounds.max_waiting)
            case "unfit_change":
                return Done(code=code, to=self.name, told=(("fault", "not one keeper more or less"),))
        return Done(code=code, to=self.name)

    # Reads

    def _answer_reads(self, now: int, out: Out) -> None:
        for token, index in out.reads:
            if self.current_read is not None and self.current_read[0] == token:
                self.confirmed_reads.append((index, self.current_read[1]))
                self.current_read = None
        ready = [reads for index, reads in self.confirmed_reads if index <= self.applied]
        self.confirmed_reads = [
            confirmed for confirmed in self.confirmed_reads if confirmed[0] > self.applied
        ]
        for read in (read for reads in ready for read in reads):
            answer = (
                self._renewed(read) if isinstance(read.what, Beat) else self._answer_question(now, read.what)
            )
            self.actions.answers.append((read.token, answer))

    def _renewed(self, read: PendingRead) -> Renewed | Done:
        """Grants a renewal: the read index, requested after `received_at`, has confirmed the leader.

        See `members.py`.
        """
        beat = read.what
        if self.leader_state is None:
            return self._not_leader()
        refused = self._fence_refusal(beat)
        if refused is not None:
            return refused
        if not self.leader_state.members.renew(read.received_at, beat):
            return self._lapsed(beat)
        shares = self.books.session_shares(beat.fence.session)
        return Renewed(self.terms.lease, tuple(Share(*share) for share in shares))

    def _answer_question(self, now: int, question: Question) -> Done:
        match question.what:
            case "session":
                live = self.books.session(question.of)
                return Done((*live.fence, live.site) if live else ())
            case "budget":
                budget = self.books.budget(question.of)
                if budget is None:
                    return Done(code="no_such_budget", to=question.of)
                granted = sum(share[1] for share in self.books.shares(question.of))
                return Done(
                    (budget.kind, budget.whole, budget.floor, granted, self.books.pending(question.of))
                )
            case "keepers":
                keepers = self.core.keepers
                return Done((self.name, self.core.term, ",".join(keepers.voters), ",".join(keepers.learners)))
            case "flow":
                return self._answer_workflows(question.of)
            case "flows":
                return self._answer_workflow_numbers(question.of)
            case "moves" | "move" | "plan" if self.leader_state is not None:
                return self._answer_transfers(self.leader_state.clock.at(now), question)
            case "hash":
                return Done((self.books.index, self.books.hash()))
        return Done(code="unknown_command", to=self.name, told=(("kind", question.what),))

    def _answer_transfers(self, time: int, question: Question) -> Done:
        """Answers in the form of `transfers/views.py`; a 'plan' is answered with its stretches."""
        planner, of = self.leader_state.planner, question.of
        if question.what == "plan":
            job = question.job
            if job and (job.origin, job.to) not in {(link.origin, link.to) for link in self.terms.links}:
                return Done(code="no_direct_link", to=job.name, told=(("link", f"{job.origin}>{job.to}"),))
            return self._plan(time, job) if job else Done((time, ()))
        owners = ("*", "0", of) if of != "*" else ()  # of 'moves': a session's and orphans; '*': all
        jobs = [
            known
            for known in self.books.jobs()
            if known.job.name == of
            or (question.what == "moves" and (not owners or str(known.owner) in owners))
        ]
        view = planner.view(self.books, time, jobs)
        ended = self.books.job_end(of) if question.what == "move" else ""
        return Done(transfer_views.to_plain(view._replace(ended=ended)))

    # The planner works on whatever figures jobs have. Its plans are proposals, so a fault of it costs a plan,
    # and must not end the keeper.

    def _recall(self, now: int) -> Recall | None:
        leader = self.leader_state
        try:
            return leader.planner.recall(self.books, leader.clock.at(now), self.terms.renew_interval)
        except Exception as error:
            self._note("error", "planning failed", fault=describe_fault(error))
            leader.planner.waiting_jobs = {}
            return None

    def _plan(self, time: int, job: Job) -> Done:
        try:
            stretches = self.leader_state.planner.plan(self.books, time, job)
        except Exception as error:
            fault = describe_fault(error)
            self._note("error", "planning failed", job=job.name, fault=fault)
            return Done(code=PlanUnfitError.code, to=job.name, told=(("fault", fault),))
        return Done((time, transfer_views.pieces_to_plain(stretches)))

    def _answer_workflows(self, numbers: str) -> Done:
        """Answers in the form of `workflows/views.py`, in the order asked for."""
        wanted = [int(number) for number in numbers.split(",") if number.isascii() and number.isdigit()]
        return Done(
            tuple(
                workflow_views.to_plain(self.books.workflow(number))
                for number in wanted[: workflow_views.MAX_VIEWS]
            )
        )

    def _answer_workflow_numbers(self, session: str) -> Done:
        number = int(session) if session.isascii() and session.isdigit() else 0
        orphans = self.books.orphaned_workflows()[: workflow_views.MAX_NUMBERS]
        live = tuple(live.number for live in self.books.sessions()) if orphans else ()
        return Done((self.books.workflows_owned_by(number)[: workflow_views.MAX_NUMBERS], orphans, live))

    def _note(self, level: str, msg: str, **fields: str | int) -> None:
        self.actions.notes.append(Note(level, msg, tuple(fields.items())))
