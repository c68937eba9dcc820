"""All decisions of a keeper around the core, pure: who is answered what, when and by which read of the log.

Every public call gives what is to be done, of which the write is on disk before anything is sent or answered.
Times are whole microseconds of the keeper's own monotonic clock. Renewals rest on the argument in
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
    Lapse,
    Limits,
    Open,
    Places,
    Recall,
)
from laurelcourse.fleet.errors import FleetError, OlderDiskError
from laurelcourse.fleet.keeper.clock import Account
from laurelcourse.fleet.keeper.core import Core
from laurelcourse.fleet.keeper.dividing import Dividing
from laurelcourse.fleet.keeper.forms import BOOKS, LEADER, NOOP, REFUSED, Entry, Keepers, Kept, Message, Out
from laurelcourse.fleet.keeper.moving import Moving
from laurelcourse.fleet.keeper.proving import NOTHING
from laurelcourse.fleet.keeper.together import Together, merged
from laurelcourse.fleet.members import Members
from laurelcourse.fleet.orders import Acts, Beat, Note, Question, Renewed, Share, Submit, Terms
from laurelcourse.fleet.transfers import views as views_of_moves
from laurelcourse.fleet.workflows import views
from laurelcourse.prng import Prng

# The leader's alone. Shrink, by whoever bears no fence, is the operators' word on a link or site.
OWN = (Lapse, Define, Grant, Limits, Places, Recall)
COMING = (Open, Close, Lapse)  # by which sessions come and go
GOING = (Close, Lapse)
FLUSHES = 8  # in a beat, at most, while entries of commands are under way


def older_disk(name: str, core: Core) -> OlderDiskError:
    """What the log says of a keeper that was refused."""
    seen = core.seen_more or NOTHING
    held = f"disk {core.disk} term {core.term} entry {core.last}"
    return OlderDiskError(name, held=held, said=f"disk {seen.disk} term {seen.term} entry {seen.index}")


class Order(NamedTuple):
    """Commands of one asker; without a token they are the leader's own."""

    token: int | None
    commands: tuple[Command, ...]
    size: int  # bytes, as an entry of its own


class Asking(NamedTuple):
    """A Beat or a Question that waits for a read index begun after `heard`."""

    token: int
    heard: int
    what: Beat | Question


class Under(NamedTuple):
    """A proposal under way: `orders` of a batch, or the token of a change."""

    term: int
    orders: tuple[Order, ...]
    change: int | None = None


class Lead:
    """What this keeper knows as a leader, from its own NOOP's application on."""

    __slots__ = (
        "account",
        "beat_at",
        "define",
        "dividing",
        "granting",
        "lapse_after",
        "limit",
        "members",
        "moving",
        "place",
    )

    def __init__(self, now: int, terms: Terms, books: Books) -> None:
        self.members = Members(terms, now, [live.number for live in books.sessions()])
        self.account = Account(now, books.time)
        self.dividing = Dividing()
        self.beat_at = self.lapse_after = now
        self.granting = 0  # Grants under way: the books are about to change
        self.define = books.defined() != terms.budgets
        self.limit = terms.limits is not None and books.limits() != terms.limits
        self.moving = Moving()
        self.place = books.places() != (terms.links, terms.sites)


class Desk:
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
        self.books, self.applied, self.since = Books(), 0, 0  # since: entries applied after a snapshot
        if kept.snapshot is not None:
            self.books, self.applied = Books.restored(kept.snapshot.data), kept.snapshot.index
        self.core = Core(name, terms.bounds, rng, kept, terms.keepers, now)
        self.lead: Lead | None = None
        self.led = 0  # the term in which this keeper leads
        self.stopping = False
        self.tokens = 0  # the core's; askers have theirs
        self.queue: list[Order] = []
        self.flush_at = 0
        self.proposed: dict[int, Under] = {}  # by the core's token, until taken
        self.under: dict[int, Under] = {}  # by index
        self.asking: list[Asking] = []
        self.reading: tuple[int, tuple[Asking, ...]] | None = None  # the core's token
        self.confirmed: list[tuple[int, tuple[Asking, ...]]] = []  # by index, to be applied first
        self.doing = Together()

    @property
    def members(self) -> Members | None:
        return self.lead.members if self.lead else None

    # Calls

    def due(self) -> int:
        times = [self.core.due()]
        if self.lead is not None:
            times.append(self.lead.beat_at)
            times.append(max(self.lead.members.due(), self.lead.lapse_after))
            if self.queue:
                times.append(self.flush_at)
        return min(times)

    def tick(self, now: int) -> Acts:
        self._carry(now, self.core.tick(now))
        return self._end(now)

    def hear(self, now: int, sender: str, message: Message) -> Acts:
        self._carry(now, self.core.hear(now, sender, message))
        return self._end(now)

    def submit(self, now: int, token: int, submit: Submit) -> Acts:
        """Commands of one relay, of which all are tried, or none where the answer is one Done."""
        order = self._order(token, submit.commands)
        refused = self._refused() or self._unfit(order)
        if refused is not None:
            self.doing.answers.append((token, refused))
        elif not submit.commands:
            self.doing.answers.append((token, ()))
        else:
            self._line_up(now, order)
        return self._end(now)

    def renew(self, now: int, token: int, beat: Beat) -> Acts:
        """`now` must be read after the Beat was received, as in `hear` after the message: a time from before
        a pause would count the lease from before the relay asked."""
        self._ask(token, Asking(token, now, beat), self._refused() or self._fenced(beat))
        return self._end(now)

    def ask(self, now: int, token: int, question: Question) -> Acts:
        self._ask(token, Asking(token, now, question), self._refused())
        return self._end(now)

    def change(self, now: int, token: int, keepers: Keepers) -> Acts:
        refused = self._refused()
        if refused is not None:
            self.doing.answers.append((token, refused))
        else:
            own = self._token()
            self.proposed[own] = Under(self.core.term, (), token)
            self._carry(now, self.core.change(now, own, keepers))
        return self._end(now)

    def stop(self, now: int) -> Acts:
        """Leadership goes to another keeper; what is under way is answered as it ends, the rest refused."""
        self.stopping = True
        self._refuse_waiting(Done(code="stopping", to=self.name))
        if self.core.role == LEADER:
            self._carry(now, self.core.hand_over(now))
        return self._end(now)

    # What is refused at once

    def _refused(self) -> Done | None:
        if self.stopping:
            return Done(code="stopping", to=self.name)
        return None if self.core.role == LEADER else self._not_leader()

    def _not_leader(self) -> Done:
        return Done(code="not_leader", to=self.name, told=(("leader", self.core.leader),))

    def _overloaded(self, waiting: int) -> Done:
        told = (("at_most", self.terms.bounds.waiting), ("waiting", waiting))
        return Done(code="overloaded", to=self.name, told=told)

    def _unfit(self, order: Order) -> Done | None:
        for command in order.commands:
            by_leader = isinstance(command.what, Adopt) and command.fence is None
            if isinstance(command.what, OWN) or by_leader:
                told = (("order", type(command.what).__name__.lower()), ("state", "asked by a relay"))
                return Done(code="out_of_order", to=self.name, told=told)
            if command.fence is not None:
                refused = self._dead(command)
                if refused is not None:
                    return refused
        most = self.terms.bounds.batch
        if order.size > most:
            return Done(code="too_large", to=self.name, told=(("at_most", most), ("size", order.size)))
        waiting = sum(len(order.commands) for order in self.queue if order.token is not None)
        return self._overloaded(waiting) if waiting >= self.terms.bounds.waiting else None

    def _dead(self, what: Command | Beat) -> Done | None:
        """Books that are behind can't tell a session that is over from one that they don't know yet: only a
        leader whose NOOP is applied refuses, and not a session of a later term than its own."""
        if what.fence.term > self.core.term:
            return self._not_leader()
        return self.books.refusal(what.fence) if self.lead is not None else None

    def _fenced(self, beat: Beat) -> Done | None:
        refused = self._dead(beat)
        if refused is None and self.lead is not None and self.lead.members.refuses(beat.fence.session):
            return self._lapsing(beat)
        return refused

    def _lapsing(self, beat: Beat) -> Done:
        return Done(code="lapsed_lease", to=beat.fence.name, told=(("session", beat.fence.session),))

    # What waits

    def _ask(self, token: int, asking: Asking, refused: Done | None) -> None:
        waiting = len(self.asking) + (len(self.reading[1]) if self.reading else 0)
        if refused is None and waiting >= self.terms.bounds.waiting:
            refused = self._overloaded(waiting)
        if refused is not None:
            self.doing.answers.append((token, refused))
        else:
            self.asking.append(asking)

    def _order(self, token: int | None, commands: tuple[Command, ...]) -> Order:
        return Order(token, commands, len(self.encode(Batch(0, 0, commands))))

    def _line_up(self, now: int, order: Order) -> None:
        if not self.queue:
            self.flush_at = now + self.terms.beat // FLUSHES
        self.queue.append(order)

    def _own(self, now: int, what: Lapse | Define | Grant | Limits | Places | Recall) -> None:
        self._line_up(now, self._order(None, (Command(None, 0, what),)))

    def _token(self) -> int:
        self.tokens += 1
        return self.tokens

    def _end(self, now: int) -> Acts:
        """All that follows from what has just been heard."""
        self._watch()
        if self.lead is not None:
            self._lapse(now)
            if now >= self.lead.beat_at:
                self._beat(now)
            while self._flush(now):
                pass
        while self.asking and self.reading is None and self.core.role == LEADER:
            token = self._token()
            self.reading, self.asking = (token, tuple(self.asking)), []
            self._carry(now, self.core.read(now, token))
        if self.since >= self.terms.snapshot_every:
            self.since = 0
            self._carry(now, self.core.compact(now, self.applied, self.books.snapshot()))
        self._watch()
        return self.doing.taken()

    def _watch(self) -> None:
        if self.core.role != LEADER or self.core.term != self.led:
            self._lose()
            self.led = self.core.term if self.core.role == LEADER else 0

    def _lose(self) -> None:
        """Nobody waits on for a keeper that leads no more. A proposal may yet be committed by the next."""
        for under in (*self.proposed.values(), *self.under.values()):
            if under.term != self.core.term or self.core.role != LEADER:
                self._unknown(under)
        self.proposed = {
            token: under
            for token, under in self.proposed.items()
            if under.term == self.core.term and self.core.role == LEADER
        }
        self.under = {
            index: under
            for index, under in self.under.items()
            if under.term == self.core.term and self.core.role == LEADER
        }
        if self.core.role != LEADER or (self.led and self.led != self.core.term):
            self._refuse_waiting(self._not_leader())
            self.lead = None

    def _unknown(self, under: Under) -> None:
        tokens = [order.token for order in under.orders if order.token is not None]
        tokens += [] if under.change is None else [under.change]
        self.doing.answers += [(token, Done(code="unknown_fate", to=self.name)) for token in tokens]

    def _refuse_waiting(self, refused: Done) -> None:
        tokens = [order.token for order in self.queue if order.token is not None]
        for asked in (
            self.asking,
            self.reading[1] if self.reading else (),
            *(asked for _, asked in self.confirmed),
        ):
            tokens += [one.token for one in asked]
        self.doing.answers += [(token, refused) for token in tokens]
        self.queue, self.asking, self.reading, self.confirmed = [], [], None, []

    # What the leader does by itself

    def _lapse(self, now: int) -> None:
        if now < self.lead.lapse_after:
            return
        for session in self.lead.members.over(now):
            self._own(now, Lapse(session))
            self._note("info", "lease over", session=session)

    def _beat(self, now: int) -> None:
        lead = self.lead
        lead.beat_at = now + self.terms.beat
        if self.stopping:
            return
        if lead.define:
            lead.define = False
            self._own(now, Define(self.terms.budgets))
        if lead.limit:
            lead.limit = False
            self._own(now, self.terms.limits)
        if lead.place:
            lead.place = False
            self._own(now, Places(self.terms.links, self.terms.sites))
        elif recall := lead.moving.recall(self.books, lead.account.at(now), self.terms.beat):
            self._own(now, recall)
        if not lead.granting:
            for grant in lead.dividing.grants(now, self.books, lead.members):
                lead.granting += 1
                self._own(now, grant)
        waits = any(map(self.books.held, self.books.scopes())) or lead.moving.ends(
            self.books, lead.account.at(now)
        )
        if not self.queue and not self.under and waits:
            # What is free by time is freed by a later batch alone: an empty one brings the time.
            self._propose(now, ())

    def _flush(self, now: int) -> bool:
        """Whether an entry was proposed."""
        busy = self.proposed or self.under
        if not self.queue or (busy and now < self.flush_at):
            return False
        taken = size = 0
        for order in self.queue:
            if taken and size + order.size > self.terms.bounds.batch:
                break
            taken, size = taken + 1, size + order.size
        orders, self.queue = tuple(self.queue[:taken]), self.queue[taken:]
        self.flush_at = now + self.terms.beat // FLUSHES
        self._propose(now, orders)
        return True

    def _propose(self, now: int, orders: tuple[Order, ...]) -> None:
        token, term = self._token(), self.core.term
        commands = tuple(command for order in orders for command in order.commands)
        data = self.encode(Batch(self.lead.account.at(now), term, commands))
        self.proposed[token] = Under(term, orders)
        self._carry(now, self.core.propose(now, token, BOOKS, data))

    # What the core has done

    def _carry(self, now: int, out: Out) -> None:
        self.doing.write = merged(self.doing.write, out.write)
        self.doing.send += out.send
        # Before `apply`: where one keeper is enough, an entry is taken and committed at once.
        for token, index, term in out.taken:
            under = self.proposed.pop(token, None)
            if under is not None:
                self.under[index] = under._replace(term=term)
        if out.restore is not None and out.restore.index > self.applied:
            self.books, self.applied = Books.restored(out.restore.data), out.restore.index
            self.since = 0
            for index in sorted(index for index in self.under if index <= self.applied):
                self._unknown(self.under.pop(index))
        for entry in out.apply:
            self._apply(now, entry)
        self._read(now, out)
        for token, code in out.refused:
            self._not_taken(now, token, code)
        if out.now is not None:
            role, term, leader = out.now
            if role == REFUSED:
                fields = older_disk(self.name, self.core).fields()
                self._note("error", "keeper takes no part", **fields)
            self._note("info", "keeper is now", role=role, term=term, leader=leader)

    def _apply(self, now: int, entry: Entry) -> None:
        self.applied, self.since = entry.index, self.since + 1
        under = self.under.pop(entry.index, None)
        if under is not None and under.term != entry.term:
            self._unknown(under)
            under = None
        dones: tuple[Done, ...] = ()
        if entry.kind == BOOKS:
            dones = self._books(now, entry)
        elif entry.kind == NOOP and self.core.role == LEADER and entry.term == self.core.term:
            self.lead = Lead(now, self.terms, self.books)
        if under is None:
            return
        if under.change is not None:
            self.doing.answers.append((under.change, Done((entry.index,))))
        for order in under.orders:
            mine, dones = dones[: len(order.commands)], dones[len(order.commands) :]
            if order.token is not None:
                self.doing.answers.append((order.token, mine))
            else:
                self._own_done(now, order.commands[0].what, mine[0])

    def _books(self, now: int, entry: Entry) -> tuple[Done, ...]:
        try:
            batch = self.decode(entry.data)
        except (ValueError, FleetError) as error:
            # All keepers of this version read it alike; the index must go on with the log's.
            self._note("error", "entry that can't be read", index=entry.index, fault=str(error)[:200])
            batch = Batch(self.books.time, entry.term, ())
        dones = self.books.apply(entry.index, batch)
        if self.lead is not None and any(isinstance(one.what, COMING) for one in batch.commands):
            self.lead.members.follow(now, [live.number for live in self.books.sessions()])
            if not self.lead.granting and any(isinstance(one.what, GOING) for one in batch.commands):
                # What was held is free: the next beat would only add to the lease that it took.
                self.lead.beat_at = now
        return dones

    def _own_done(
        self, now: int, what: Lapse | Define | Grant | Limits | Places | Recall, done: Done
    ) -> None:
        if isinstance(what, Grant) and self.lead is not None:
            self.lead.granting -= 1
            if done.code:
                self.lead.dividing.rests[what.budget] = now + self.terms.lease
        # A session may have closed before its Lapse, or a Grant to it, came in the log.
        if done.code and done.code != "lapsed_lease":
            self._note(
                "warning",
                "leader's order refused",
                order=type(what).__name__.lower(),
                code=done.code,
                to=done.to,
            )

    def _not_taken(self, now: int, token: int, code: str) -> None:
        if self.reading is not None and self.reading[0] == token:
            asked, self.reading = self.reading[1], None
            self.doing.answers += [(one.token, self._coded(code)) for one in asked]
            return
        under = self.proposed.pop(token, None)
        if under is None:
            return
        if under.change is not None:
            self.doing.answers.append((under.change, self._coded(code)))
        for order in under.orders:
            if order.token is not None:
                self.doing.answers.append((order.token, self._coded(code)))
            elif self.lead is not None:
                self._own_refused(now, order.commands[0].what)

    def _own_refused(self, now: int, what: Lapse | Define | Grant | Limits | Places | Recall) -> None:
        match what:
            case Lapse():
                self.lead.members.spare(what.session)
                self.lead.lapse_after = now + self.terms.beat
            case Define():
                self.lead.define = True
            case Limits():
                self.lead.limit = True
            case Places():
                self.lead.place = True
            case Grant():
                self.lead.granting -= 1

    def _coded(self, code: str) -> Done:
        match code:
            case "not_leader":
                return self._not_leader()
            case "overloaded":
                return self._overloaded(self.terms.bounds.waiting)
            case "unfit_change":
                return Done(code=code, to=self.name, told=(("fault", "not one keeper more or less"),))
        return Done(code=code, to=self.name)

    # Reads

    def _read(self, now: int, out: Out) -> None:
        for token, index in out.reads:
            if self.reading is not None and self.reading[0] == token:
                self.confirmed.append((index, self.reading[1]))
                self.reading = None
        ready = [asked for index, asked in self.confirmed if index <= self.applied]
        self.confirmed = [one for one in self.confirmed if one[0] > self.applied]
        for one in (one for asked in ready for one in asked):
            answer = self._renewed(one) if isinstance(one.what, Beat) else self._looked_up(now, one.what)
            self.doing.answers.append((one.token, answer))

    def _renewed(self, asking: Asking) -> Renewed | Done:
        """The read index was begun after `asking.heard` and has confirmed the lead, see `members.py`."""
        beat = asking.what
        if self.lead is None:
            return self._not_leader()
        refused = self._dead(beat)
        if refused is not None:
            return refused
        if not self.lead.members.renewed(asking.heard, beat):
            return self._lapsing(beat)
        shares = self.books.shares_of(beat.fence.session)
        return Renewed(self.terms.lease, tuple(Share(*one) for one in shares))

    def _looked_up(self, now: int, question: Question) -> Done:
        match question.what:
            case "session":
                live = self.books.session(question.of)
                return Done((*live.fence, live.site) if live else ())
            case "budget":
                budget = self.books.budget(question.of)
                if budget is None:
                    return Done(code="no_such_budget", to=question.of)
                granted = sum(one[1] for one in self.books.shares(question.of))
                return Done((budget.kind, budget.whole, budget.floor, granted, self.books.held(question.of)))
            case "keepers":
                keepers = self.core.keepers
                return Done((self.name, self.core.term, ",".join(keepers.voters), ",".join(keepers.learners)))
            case "flow":
                return self._flows_told(question.of)
            case "flows":
                return self._flows_of(question.of)
            case "moves" | "move" | "plan" if self.lead is not None:
                return self._moves_told(self.lead.account.at(now), question)
            case "hash":
                return Done((self.books.index, self.books.hash()))
        return Done(code="unknown_command", to=self.name, told=(("kind", question.what),))

    def _moves_told(self, time: int, question: Question) -> Done:
        """As `transfers/views.py` has it; of a 'plan', its pieces."""
        moving, of = self.lead.moving, question.of
        if question.what == "plan":
            job = question.job
            if job and (job.origin, job.to) not in {(one.origin, one.to) for one in self.terms.links}:
                return Done(code="no_direct_link", to=job.name, told=(("link", f"{job.origin}>{job.to}"),))
            return Done((time, views_of_moves.pieces(moving.plan(self.books, time, job)) if job else ()))
        owners = ("*", "0", of) if of != "*" else ()  # of 'moves': a session's, and orphans; '*': all
        mine = [
            one
            for one in self.books.jobs()
            if one.job.name == of or (question.what == "moves" and (not owners or str(one.owner) in owners))
        ]
        seen = moving.seen(self.books, time, mine)
        return Done(
            views_of_moves.told(seen._replace(ended=self.books.ended(of) if question.what == "move" else ""))
        )

    def _flows_told(self, numbers: str) -> Done:
        """As `workflows/views.py` has it, in the order asked."""
        found = [int(one) for one in numbers.split(",") if one.isascii() and one.isdigit()]
        return Done(tuple(views.told(self.books.workflow(one)) for one in found[: views.AT_ONCE]))

    def _flows_of(self, session: str) -> Done:
        mine = int(session) if session.isascii() and session.isdigit() else 0
        orphans = self.books.orphans()[: views.NUMBERS]
        live = tuple(one.number for one in self.books.sessions()) if orphans else ()
        return Done((self.books.workflows_of(mine)[: views.NUMBERS], orphans, live))

    def _note(self, level: str, msg: str, **fields: str | int) -> None:
        self.doing.notes.append(Note(level, msg, tuple(fields.items())))
