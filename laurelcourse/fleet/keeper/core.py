"""One keeper of the replicated log: Raft as a pure core.

Ongaro and Ousterhout (2014); from Ongaro's thesis (2014): leadership transfer (3.10), changes of one keeper
at a time (4.1), disturbing keepers (4.2.3), read index (6.4), pre-vote (9.6). Check quorum as in etcd's raft.

Each call takes the time (microseconds, monotonic, this keeper's own) and returns an `Out`, which the caller
carries out in its order before the next call; its `write` is on disk before anything else of it. So whatever
this keeper says, and what it counts of its own log, rests on this `write` or an earlier one, never on a
later one.

The books of `Kept.snapshot` are the caller's to restore at start; `applied` counts from there. A keeper that
was restarted hands out again all that is committed behind it. The parts: `log.py` the log, `progress.py`
what a leader knows of the others, `reads.py` reads that wait, `changes.py` the keepers, `snapshot.py` pieces,
`proving.py` older disks.
"""

from laurelcourse.fleet.keeper import changes, proving, snapshot
from laurelcourse.fleet.keeper.forms import (
    CANDIDATE,
    FOLLOWER,
    KEEPERS,
    LEADER,
    NOOP,
    PROVING,
    REFUSED,
    Append,
    Appended,
    AskVote,
    Bounds,
    Entry,
    Hello,
    Keepers,
    Kept,
    Known,
    Mark,
    Message,
    Out,
    Piece,
    PieceTaken,
    Snapshot,
    TakeOver,
    Vote,
)
from laurelcourse.fleet.keeper.log import Log
from laurelcourse.fleet.keeper.progress import PIECES, STREAM, Progress
from laurelcourse.fleet.keeper.proving import Marks, older
from laurelcourse.fleet.keeper.reads import Reads
from laurelcourse.prng import Prng

NEVER = 1 << 62  # microseconds


class Core:
    def __init__(self, me: str, bounds: Bounds, rng: Prng, kept: Kept, keepers: Keepers, now: int) -> None:
        """`keepers`: as the settings have them; they count only while the log and snapshot name none."""
        self.me, self.bounds, self.rng = me, bounds, rng
        self.role, self.term, self.leader, self.vote = PROVING, kept.term, "", kept.vote
        self.log = Log(kept.snapshot, kept.entries, keepers)
        self.commit = self.applied = self.log.first
        self.marks, self.disk = Marks(me, kept.marks), kept.disk
        self._proved: set[str] = set()
        self._proved_at = NEVER  # when so many are enough
        self.seen_more: Mark | None = None  # why it was refused: more than the disk holds, or another disk
        # a disk copied before a vote looks like the disk after it: no new vote in the term found on disk
        self._spent_term = kept.term
        self._saved, self._told = (self.term, self.vote), (self.role, self.term, self.leader)
        # of a follower and a candidate
        self._deadline, self._heard, self._trial = now, -NEVER, False
        self._votes: set[str] = set()
        self._incoming: snapshot.Incoming | None = None
        # of a leader
        self._progress: dict[str, Progress] = {}
        self._round, self._beat_at, self._beat_commit = 0, now, 0
        self._reads = Reads()
        self._handing, self._handing_until = "", 0
        self._draft()
        self._prove(now)

    @property
    def keepers(self) -> Keepers:
        return self.log.keepers

    @property
    def last(self) -> int:
        return self.log.last

    def due(self) -> int:
        """When `tick` is wanted next."""
        if self.role == LEADER:
            until = self._handing_until if self._handing else NEVER
            return min(self._beat_at, self._alone_at(), until)
        if self.role == PROVING:
            return min(self._beat_at, self._proved_at)
        return NEVER if self.role == REFUSED else self._deadline

    def tick(self, now: int) -> Out:
        if self.role == PROVING:
            if now >= self._beat_at:
                self._hello(now)
            self._prove(now)
        elif self.role in (FOLLOWER, CANDIDATE) and now >= self._deadline:
            self._campaign(now, trial=True)
        elif self.role == LEADER and now >= self._alone_at():
            self._become(now, FOLLOWER, self.term, "", "no_quorum")
        elif self.role == LEADER:
            if self._handing and now >= self._handing_until:
                self._handing = ""
            if now >= self._beat_at:
                self._beat(now)
        return self._out()

    def hear(self, now: int, sender: str, message: Message) -> Out:
        if self.role not in (PROVING, REFUSED) and sender in (*self.keepers.voters, *self.keepers.learners):
            self.marks.note(sender, proving.shown(message))
        match message:
            case Hello():
                self._on_hello(sender, message)
            case Known():
                self._on_known(now, sender, message)
            case _ if self.role in (PROVING, REFUSED):
                pass
            case AskVote(trial=True):
                self._on_trial(now, sender, message)
            case AskVote(handed=False) if message.term > self.term and self._hears_leader(now):
                pass  # a keeper that was cut off, or removed, must not end the term of a leader that is heard
            case Vote(trial=True, granted=True):
                self._on_vote(now, sender, message)
            case _:
                self._in_term(now, sender, message)
        return self._out()

    def propose(self, now: int, token: int, kind: str, data: bytes) -> Out:
        """Appended at once; `Out.taken` says where. Committed if `apply` hands out that index and term."""
        if self.role != LEADER or self._handing:
            return self._refuse(token, "not_leader")
        if kind == KEEPERS:
            return self._refuse(token, "unfit_change")
        if self._waiting() >= self.bounds.waiting:
            return self._refuse(token, "overloaded")
        return self._take(now, token, kind, data)

    def read(self, now: int, token: int) -> Out:
        """`Out.reads` gives the index that must be applied before this is answered, once a quorum has
        confirmed, after this call, that no later leader is known to it."""
        if self.role != LEADER:
            return self._refuse(token, "not_leader")
        if self._waiting() >= self.bounds.waiting:
            return self._refuse(token, "overloaded")
        self._reads.add(token)
        self._serve_reads()
        return self._out()

    def change(self, now: int, token: int, keepers: Keepers) -> Out:
        """One voter or learner more or less, or one of them the other, in force once it is in the log."""
        if self.role != LEADER or self._handing:
            return self._refuse(token, "not_leader")
        # without an entry of this term committed, a change by a leader before this one may still come to
        # light, and two majorities would not overlap (Ongaro's note on single-server changes, 2015)
        if not self._settled() or self.log.changed_at > self.commit:
            return self._refuse(token, "change_under_way")
        recent = {name for name, one in self._progress.items() if now < one.heard + self.bounds.patience}
        caught_up = {
            name
            for name in recent
            if self._progress[name].state == STREAM and self._progress[name].match >= self._beat_commit
        }
        if not changes.fit(self.keepers, keepers, caught_up, recent | {self.me}):
            return self._refuse(token, "unfit_change")
        return self._take(now, token, KEEPERS, changes.told_keepers(keepers))

    def hand_over(self, now: int, to: str = "") -> Out:
        """The voter named, or the one furthest ahead, is brought up to date and told to be elected. Proposals
        are refused meanwhile; if it has not come to lead within a patience, this keeper leads on."""
        able = [name for name in self.keepers.voters if name != self.me and to in ("", name)]
        if self.role == LEADER and able:
            recent = now - self.bounds.patience
            self._handing = max(
                able, key=lambda name: (self._progress[name].heard > recent, self._progress[name].match, name)
            )
            self._handing_until = now + self.bounds.patience
            self._feed(now, self._handing)
            self._say_take_over()
        return self._out()

    def compact(self, now: int, index: int, books: bytes) -> Out:
        """`books` as of `index`, which was applied, stand for all entries up to it."""
        if self.log.first < index <= self.applied:
            self.log.take(Snapshot(index, self.log.term_at(index), self.log.keepers_at(index), books))
        return self._out()

    # What one call leads to

    def _draft(self) -> None:
        self._send: list[tuple[str, Message]] = []
        self._restore: Snapshot | None = None
        self._apply: list[Entry] = []
        self._taken: list[tuple[int, int, int]] = []
        self._answered: list[tuple[int, int]] = []
        self._refused: list[tuple[int, str]] = []

    def _out(self) -> Out:
        write = None
        if self.log.unwritten() or self._saved != (self.term, self.vote) or self.marks.urgent:
            write = self.log.written(self.term, self.vote, self.marks.written())
            self._saved = (self.term, self.vote)
        told = (self.role, self.term, self.leader)
        out = Out(
            write,
            tuple(self._send),
            self._restore,
            tuple(self._apply),
            tuple(self._taken),
            tuple(self._answered),
            tuple(self._refused),
            told if told != self._told else None,
        )
        self._told = told
        self._draft()
        return out

    def _refuse(self, token: int, code: str) -> Out:
        self._refused.append((token, code))
        return self._out()

    def _become(self, now: int, role: str, term: int, leader: str, why: str = "not_leader") -> None:
        """The one place where role, term and leader change. `why`: told to reads that a leader leaves."""
        assert term >= self.term
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role == LEADER and role != LEADER:
            self._refused += [(token, why) for token in self._reads.drop()]
            self._progress, self._handing = {}, ""
        if role in (FOLLOWER, CANDIDATE) and (role, leader) != (self.role, self.leader):
            self._rearm(now)
        self.role, self.leader = role, leader

    def _rearm(self, now: int) -> None:
        self._deadline = now + self.bounds.patience + self.rng.below(self.bounds.patience)

    def _rearm_trial(self, now: int) -> None:
        """A trial changes nothing and may be refused only because others heard the leader a little later."""
        self._deadline = now + (self.bounds.patience + self.rng.below(self.bounds.patience)) // 2

    # Proving

    def _held(self) -> Mark:
        return Mark(self.disk, self.term, self.last if self.log.last_term == self.term else 0)

    def _others(self) -> tuple[str, ...]:
        return tuple(name for name in self.keepers.voters if name != self.me)

    def _prove(self, now: int) -> None:
        # With fewer than all, one that has noted more may not be heard yet: it is asked for a patience.
        enough = len(self._proved) >= len(self.keepers.voters) // 2
        if enough and self._proved_at == NEVER:
            self._proved_at = now + self.bounds.patience
        if enough and (now >= self._proved_at or self._proved >= set(self._others())):
            self._become(now, FOLLOWER, self.term, "")
            if self.keepers.voters == (self.me,):
                self._deadline = now  # there is nobody whom waiting would spare

    def _hello(self, now: int) -> None:
        held = self._held()  # as at start: nothing is taken while it is proved
        self._send += [(name, Hello(held.term, held.disk, held.index)) for name in self._others()]
        self._beat_at = now + self.bounds.beat

    def _on_hello(self, sender: str, hello: Hello) -> None:
        held, seen = Mark(hello.disk, hello.term, hello.index), self.marks.of(sender)
        is_older = older(held, seen)
        # one that is no keeper yet holds nothing that counts; whoever calls must not fill the disk with names
        if not is_older and sender in (*self.keepers.voters, *self.keepers.learners):
            self.marks.note(sender, held)
        self._send.append((sender, Known(self.term, hello.disk, is_older, seen)))

    def _on_known(self, now: int, sender: str, known: Known) -> None:
        if self.role != PROVING or known.disk != self.disk or sender not in self._others():
            return
        if known.older or older(self._held(), known.mark):
            self.seen_more = known.mark
            self._become(now, REFUSED, self.term, "")
            return
        self._proved.add(sender)
        self._prove(now)

    # Elections

    def _hears_leader(self, now: int) -> bool:
        return self.role == LEADER or (bool(self.leader) and now < self._heard + self.bounds.patience)

    def _may_lead(self) -> bool:
        """A voter; or one whose removal is in its log but not known to be committed: it alone may hold that
        entry, and the others wait for it (thesis, 4.2.2)."""
        return any(self.me in keepers.voters for keepers in self.log.keepers_since(self.commit))

    def _campaign(self, now: int, trial: bool, handed: bool = False) -> None:
        self._rearm(now)
        if not self._may_lead():
            self._become(now, FOLLOWER, self.term, "")
            return
        self._become(now, CANDIDATE, self.term if trial else self.term + 1, "")
        if trial:
            self._rearm_trial(now)
        self._trial, self._votes = trial, {self.me} & set(self.keepers.voters)
        if not trial:
            self.vote = self.me
        ask = AskVote(self.term + trial, self.last, self.log.last_term, trial, handed)
        self._send += [(name, ask) for name in self._others()]
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if len(self._votes) >= changes.quorum(self.keepers):
            if self._trial:
                self._campaign(now, trial=False)
            else:
                self._lead(now)

    def _up_to_date(self, ask: AskVote) -> bool:
        return (ask.last_term, ask.last_index) >= (self.log.last_term, self.last)

    def _on_trial(self, now: int, sender: str, ask: AskVote) -> None:
        granted = ask.term > self.term and self._up_to_date(ask) and not self._hears_leader(now)
        self._send.append((sender, Vote(ask.term if granted else self.term, granted, True)))

    def _on_ask_vote(self, now: int, sender: str, ask: AskVote) -> None:
        free = self.vote == sender or (not self.vote and self.term != self._spent_term)
        granted = free and self.role != LEADER and self._up_to_date(ask)
        if granted:
            self._become(now, FOLLOWER, self.term, self.leader)
            self.vote = sender
            self._rearm(now)
        self._send.append((sender, Vote(self.term, granted, False)))

    def _on_vote(self, now: int, sender: str, vote: Vote) -> None:
        asked = self.role == CANDIDATE and vote.trial == self._trial and vote.term == self.term + vote.trial
        if asked and vote.granted and sender in self.keepers.voters:
            self._votes.add(sender)
            self._count_votes(now)

    def _on_take_over(self, now: int, sender: str) -> None:
        if self.role == FOLLOWER and sender == self.leader:
            self._campaign(now, trial=False, handed=True)

    # Messages that count only in this keeper's own term

    def _in_term(self, now: int, sender: str, message: Message) -> None:
        from_leader = isinstance(message, Append | Piece)
        if message.term < self.term:
            # whoever still leads, or asks, in a term gone by hears of the later one and gives up
            if from_leader:
                # no round: the sender may come to lead in this later term, and has counted rounds anew then
                self._send.append((sender, Appended(self.term, False, self.commit, 0)))
            elif isinstance(message, AskVote):
                self._send.append((sender, Vote(self.term, False, False)))
            return
        if from_leader:
            if self.role == LEADER and message.term == self.term:
                return  # can't be: a term has one leader
            self._become(now, FOLLOWER, message.term, sender)
            self._heard = now
            self._rearm(now)
        elif message.term > self.term:
            self._become(now, FOLLOWER, message.term, "")
        match message:
            case AskVote():
                self._on_ask_vote(now, sender, message)
            case Vote():
                self._on_vote(now, sender, message)
            case Append():
                self._on_append(sender, message)
            case Piece():
                self._on_piece(sender, message)
            case TakeOver():
                self._on_take_over(now, sender)
            case Appended() | PieceTaken() if self.role == LEADER and sender in self._progress:
                self._progress[sender].answered(now, message.round)
                if isinstance(message, Appended):
                    self._on_appended(now, sender, message)
                else:
                    self._on_piece_taken(now, sender, message)
                if self.role == LEADER:
                    self._serve_reads()

    # Following

    def _on_append(self, sender: str, sent: Append) -> None:
        for name, mark in sent.marks:
            self.marks.note(name, mark)
        end = sent.before_index + len(sent.entries)
        if [one.index for one in sent.entries] != list(range(sent.before_index + 1, end + 1)):
            return  # no leader sends this; it must not end the process
        if sent.before_index > self.commit and self.log.term_at(sent.before_index) != sent.before_term:
            self._send.append((sender, Appended(self.term, False, self._hint(sent), sent.round)))
            return
        for entry in sent.entries:
            # what is committed is the leader's too and is never looked at again, least of all cut
            if entry.index <= self.commit or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.last:
                self.log.cut(entry.index)
            self.log.append(entry)
        # only what this message has shown to match: behind `end` may stand what another leader left
        self._commit_to(min(sent.commit, end))
        self._send.append((sender, Appended(self.term, True, max(end, self.commit), sent.round)))

    def _hint(self, sent: Append) -> int:
        """Past the whole term that does not match (Raft, 5.3); of what it passes over, part may match."""
        if sent.before_index > self.last:
            return self.last
        return self.log.term_begins(sent.before_index) - 1

    def _on_piece(self, sender: str, piece: Piece) -> None:
        if piece.index <= self.commit:
            self._send.append((sender, PieceTaken(self.term, piece.index, piece.offset, True, piece.round)))
            return
        if self._incoming and self._incoming.outdated(piece):
            return
        if self._incoming is None or not self._incoming.same(piece):
            self._incoming = snapshot.Incoming(piece)
        whole = self._incoming.take(piece)
        taken = PieceTaken(self.term, piece.index, len(self._incoming.data), whole is not None, piece.round)
        self._send.append((sender, taken))
        if whole is not None:
            self._incoming = None
            self.log.take(whole)
            self.commit = self.applied = whole.index
            self._restore = whole

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            assert index <= self.last
            self.commit = index
            self._apply += self.log.between(self.applied, index)
            self.applied = index

    # Leading

    def _lead(self, now: int) -> None:
        self._become(now, LEADER, self.term, self.me)
        self._progress, self._round, self._incoming = {}, 0, None
        self._beat_commit = self.commit
        self._sync_progress(now)
        self._append(NOOP, b"")
        if not self.log.changed_at:
            # from here on the log says who the keepers are, and no edit of the settings can
            self._append(KEEPERS, changes.told_keepers(self.keepers))
        self._beat(now)
        self._advance(now)

    def _sync_progress(self, now: int) -> None:
        names = changes.others(self.keepers, self.me)
        self._progress = {
            name: self._progress.get(name) or Progress(now, self.last + 1, self.bounds.ahead)
            for name in names
        }

    def _append(self, kind: str, data: bytes) -> None:
        self.log.append(Entry(self.last + 1, self.term, kind, data))

    def _take(self, now: int, token: int, kind: str, data: bytes) -> Out:
        self._append(kind, data)
        self._taken.append((token, self.last, self.term))
        if kind == KEEPERS:
            self._sync_progress(now)
        for name in self._progress:
            self._feed(now, name)
        self._advance(now)
        return self._out()

    def _settled(self) -> bool:
        """Whether this leader has committed an entry of its own term, and so knows all that is committed."""
        return self.log.term_at(self.commit) == self.term

    def _waiting(self) -> int:
        return self.last - self.commit + len(self._reads)

    def _alone_at(self) -> int:
        """When the last quorum that was heard will have been silent for a patience."""
        heard = sorted((self._progress[name].heard for name in self._others()), reverse=True)
        needed = changes.quorum(self.keepers) - (self.me in self.keepers.voters)
        return heard[needed - 1] + self.bounds.patience if needed else NEVER

    def _agreed(self, mine: int, theirs: dict[str, int]) -> int:
        """The most that a quorum of the voters has reached."""
        reached = [mine if name == self.me else theirs[name] for name in self.keepers.voters]
        return sorted(reached, reverse=True)[changes.quorum(self.keepers) - 1]

    def _advance(self, now: int) -> None:
        """Commits what a quorum holds, by entries of the own term only (Raft, 5.4.2 and figure 8)."""
        index = self._agreed(self.last, {name: one.match for name, one in self._progress.items()})
        if index <= self.commit or self.log.term_at(index) != self.term:
            return
        changed = self.commit < self.log.changed_at <= index
        self._commit_to(index)
        if changed:
            for name in self._progress:
                self._pulse(name)
            if self.me not in self.keepers.voters:
                self._leave(now)
                return
        self._serve_reads()

    def _leave(self, now: int) -> None:
        """Removed itself, and this is committed: the one furthest ahead is asked to lead."""
        best = max(self.keepers.voters, key=lambda name: (self._progress[name].match, name))
        self._send.append((best, TakeOver(self.term)))
        self._become(now, FOLLOWER, self.term, "")

    def _beat(self, now: int) -> None:
        self._beat_at, self._beat_commit = now + self.bounds.beat, self.commit
        self._round += 1
        told = self.marks.told(self._held())
        for name, one in self._progress.items():
            one.tell(told, self._round)
            self._pulse(name)
            self._feed(now, name)
        self._say_take_over()
        self._serve_reads()

    def _pulse(self, name: str) -> None:
        """A message without entries. Its answer tells what was lost on the way; with 0 before it, nothing."""
        one = self._progress[name]
        self._turn_to_pieces(one)
        before = 0 if one.state == PIECES else one.next - 1
        term = self.log.term_at(before) if before else 0
        pulse = Append(self.term, before, term, (), self.commit, self._round, one.marks_sent)
        self._send.append((name, pulse))

    def _turn_to_pieces(self, one: Progress) -> None:
        """What it is to be sent next has been cut off, whatever is under way to it."""
        if one.state != PIECES and one.next <= self.log.first and self.log.snapshot:
            one.send_pieces(self.log.snapshot)

    def _feed(self, now: int, name: str) -> None:
        """Entries, or pieces, as far as may be under way at once."""
        one = self._progress[name]
        self._turn_to_pieces(one)
        while one.state != PIECES and one.may_send() and one.next <= self.last:
            entries = self.log.part(one.next, self.bounds.batch)
            self._send.append(
                (
                    name,
                    Append(
                        self.term,
                        one.next - 1,
                        self.log.term_at(one.next - 1),
                        entries,
                        self.commit,
                        self._round,
                    ),
                )
            )
            one.sent(entries[-1].index)
        if one.state == PIECES and one.piece_at < 0:
            self._send_piece(now, name)

    def _send_piece(self, now: int, name: str) -> None:
        one = self._progress[name]
        assert one.sending is not None
        one.piece_at = now
        piece = snapshot.piece_of(one.sending, self.term, one.offset, self.bounds.piece, self._round)
        self._send.append((name, piece))

    def _on_appended(self, now: int, sender: str, answer: Appended) -> None:
        one = self._progress[sender]
        if answer.ok:
            if answer.index > self.last:
                return  # can't be: it holds up to where this leader has shown it to match
            one.holds(answer.index)
            held = answer.index if self.log.term_at(answer.index) == self.term else 0
            self.marks.note(sender, Mark("", self.term, held))
            self._advance(now)
        else:
            one.lacks(answer.index)
        if self.role != LEADER:
            return
        self._feed(now, sender)
        if one.state == PIECES and now >= one.piece_at + self.bounds.beat:
            self._send_piece(now, sender)  # it is there, but the piece or its answer was lost
        if sender == self._handing and answer.ok:
            self._say_take_over()

    def _on_piece_taken(self, now: int, sender: str, taken: PieceTaken) -> None:
        one = self._progress[sender]
        if taken.done:
            one.holds(min(taken.index, self.log.last))
            self._advance(now)
            if self.role == LEADER:
                self._feed(now, sender)
        elif one.sending and taken.index == one.sending.index and one.piece_taken(taken.offset):
            self._send_piece(now, sender)

    def _say_take_over(self) -> None:
        if self._handing and self._progress[self._handing].match == self.last:
            self._send.append((self._handing, TakeOver(self.term)))

    def _serve_reads(self) -> None:
        """Not before an entry of the own term is committed: until then this leader may not know the last."""
        if not self._reads or not self._settled():
            return
        self._answer_reads()
        if self._reads.wants_round():
            self._round += 1
            self._reads.begin(self._round, self.commit)
            for name in self._others():
                self._pulse(name)
            self._answer_reads()  # the only voter has nobody to wait for

    def _answer_reads(self) -> None:
        rounds = {name: one.round for name, one in self._progress.items()}
        self._answered += self._reads.confirmed(self._agreed(self._round, rounds))
