"""Raft as a pure core: one keeper of the replicated log.

Ongaro and Ousterhout (2014); from Ongaro's thesis (2014): leadership transfer (3.10), membership changes of
one keeper at a time (4.1), disruptive servers (4.2.3), read index (6.4), pre-vote (9.6). Check quorum as in
etcd's raft.

Each call takes the time (microseconds, monotonic, this keeper's own) and returns an `Out`, which the caller
carries out in its order before the next call; its `write` is on disk before anything else of it. So whatever
this keeper sends, and what it counts of its own log, rests on this `write` or an earlier one, never on a
later one.

At start the caller restores the state machine from `Kept.snapshot`; `applied` counts from there. A keeper
that was restarted hands out again all that is committed behind it. The parts: `log.py` the log, `progress.py`
what a leader knows of the others, `reads.py` pending reads, `membership.py` membership changes, `snapshot.py`
snapshot chunks, `stale_disk.py` older copies of disks.
"""

from laurelcourse.fleet.keeper import membership, snapshot, stale_disk
from laurelcourse.fleet.keeper.log import Log
from laurelcourse.fleet.keeper.messages import (
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
from laurelcourse.fleet.keeper.progress import REPLICATE, SNAPSHOT, Progress
from laurelcourse.fleet.keeper.reads import PendingReads
from laurelcourse.fleet.keeper.stale_disk import Marks, is_older
from laurelcourse.prng import Prng

NEVER_US = 1 << 62


class Core:
    """The state of one keeper."""

    def __init__(self, me: str, bounds: Bounds, rng: Prng, kept: Kept, keepers: Keepers, now: int) -> None:
        """`keepers`: as in the settings; they count only while the log and snapshot name none."""
        self.me, self.bounds, self.rng = me, bounds, rng
        self.role, self.term, self.leader, self.vote = PROVING, kept.term, "", kept.vote
        self.log = Log(kept.snapshot, kept.entries, keepers)
        self.commit = self.applied = self.log.first
        self.marks, self.disk = Marks(me, kept.marks), kept.disk
        self._verified_by: set[str] = set()
        self._verify_until = NEVER_US  # set once enough keepers have verified the disk
        self.known_mark: Mark | None = None  # why it was refused: more than the disk holds, or another disk
        # A disk copied before a vote looks like the disk after it: no new vote in the term found on disk.
        self._no_vote_term = kept.term
        self._written, self._reported = (self.term, self.vote), (self.role, self.term, self.leader)
        # Of a follower and a candidate.
        self._election_at, self._leader_heard_at, self._is_trial = now, -NEVER_US, False
        self._votes: set[str] = set()
        self._incoming: snapshot.IncomingSnapshot | None = None
        # Of a leader.
        self._progress: dict[str, Progress] = {}
        self._round, self._heartbeat_at, self._heartbeat_commit = 0, now, 0
        self._reads = PendingReads()
        self._transfer_to, self._transfer_until = "", 0
        self._clear_out()
        self._check_verified(now)

    @property
    def keepers(self) -> Keepers:
        """The membership in force."""
        return self.log.keepers

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.log.last

    def due(self) -> int:
        """Returns when `tick` has to be called next."""
        if self.role == LEADER:
            until = self._transfer_until if self._transfer_to else NEVER_US
            return min(self._heartbeat_at, self._quorum_lost_at(), until)
        if self.role == PROVING:
            return min(self._heartbeat_at, self._verify_until)
        return NEVER_US if self.role == REFUSED else self._election_at

    def tick(self, now: int) -> Out:
        """Handles timeouts that are due."""
        if self.role == PROVING:
            if now >= self._heartbeat_at:
                self._send_hello(now)
            self._check_verified(now)
        elif self.role in (FOLLOWER, CANDIDATE) and now >= self._election_at:
            self._campaign(now, trial=True)
        elif self.role == LEADER and now >= self._quorum_lost_at():
            self._become(now, FOLLOWER, self.term, "", "no_quorum")
        elif self.role == LEADER:
            if self._transfer_to and now >= self._transfer_until:
                self._transfer_to = ""
            if now >= self._heartbeat_at:
                self._send_heartbeats(now)
        return self._take_out()

    def hear(self, now: int, sender: str, message: Message) -> Out:
        """Handles a message of another keeper."""
        if self.role not in (PROVING, REFUSED) and sender in (*self.keepers.voters, *self.keepers.learners):
            self.marks.note(sender, stale_disk.mark_shown_by(message))
        match message:
            case Hello():
                self._on_hello(sender, message)
            case Known():
                self._on_known(now, sender, message)
            case _ if self.role in (PROVING, REFUSED):
                pass
            case AskVote(trial=True):
                self._on_pre_vote(now, sender, message)
            case AskVote(handed=False) if message.term > self.term and self._hears_leader(now):
                pass  # a keeper that was cut off, or removed, must not depose a leader that is heard
            case Vote(trial=True, granted=True):
                self._on_vote(now, sender, message)
            case _:
                self._on_message_in_term(now, sender, message)
        return self._take_out()

    def propose(self, now: int, token: int, kind: str, data: bytes) -> Out:
        """Appends an entry; `Out.appended` says where.

        It is committed once `apply` hands out an entry with that index and term.
        """
        if self.role != LEADER or self._transfer_to:
            return self._refuse(token, "not_leader")
        if kind == KEEPERS:
            return self._refuse(token, "unfit_change")
        if self._waiting_count() >= self.bounds.max_waiting:
            return self._refuse(token, "overloaded")
        return self._append_and_send(now, token, kind, data)

    def read(self, now: int, token: int) -> Out:
        """Requests a linearizable read.

        `Out.reads` gives the index that must be applied before the read is answered, once a quorum has
        confirmed, after this call, that it knows of no later leader.
        """
        if self.role != LEADER:
            return self._refuse(token, "not_leader")
        if self._waiting_count() >= self.bounds.max_waiting:
            return self._refuse(token, "overloaded")
        self._reads.add(token)
        self._serve_reads()
        return self._take_out()

    def change(self, now: int, token: int, keepers: Keepers) -> Out:
        """Changes the standing of one keeper; the change is in force once it is in the log."""
        if self.role != LEADER or self._transfer_to:
            return self._refuse(token, "not_leader")
        # Without a committed entry of this term, a change by an earlier leader may still become committed,
        # and two majorities would not overlap (Ongaro's note on single-server changes, 2015).
        if not self._has_committed_in_term() or self.log.membership_index > self.commit:
            return self._refuse(token, "change_under_way")
        recent = {
            name
            for name, progress in self._progress.items()
            if now < progress.last_heard + self.bounds.election_timeout
        }
        caught_up = {
            name
            for name in recent
            if self._progress[name].state == REPLICATE
            and self._progress[name].match >= self._heartbeat_commit
        }
        if not membership.is_allowed(self.keepers, keepers, caught_up, recent | {self.me}):
            return self._refuse(token, "unfit_change")
        return self._append_and_send(now, token, KEEPERS, membership.encode_keepers(keepers))

    def hand_over(self, now: int, to: str = "") -> Out:
        """Transfers leadership to the voter named, or to the one furthest ahead.

        It is brought up to date and told to start an election. Proposals are refused meanwhile; if it does
        not lead within an election timeout, this keeper goes on leading.
        """
        candidates = [name for name in self.keepers.voters if name != self.me and to in ("", name)]
        if self.role == LEADER and candidates:
            recent = now - self.bounds.election_timeout
            self._transfer_to = max(
                candidates,
                key=lambda name: (
                    self._progress[name].last_heard > recent,
                    self._progress[name].match,
                    name,
                ),
            )
            self._transfer_until = now + self.bounds.election_timeout
            self._replicate(now, self._transfer_to)
            self._send_take_over()
        return self._take_out()

    def compact(self, now: int, index: int, books: bytes) -> Out:
        """Replaces all entries up to `index`, which was applied, by the state machine's snapshot as of
        then.
        """
        if self.log.first < index <= self.applied:
            self.log.install(Snapshot(index, self.log.term_at(index), self.log.keepers_at(index), books))
        return self._take_out()

    # The result of one call

    def _clear_out(self) -> None:
        self._send: list[tuple[str, Message]] = []
        self._restore: Snapshot | None = None
        self._apply: list[Entry] = []
        self._appended: list[tuple[int, int, int]] = []
        self._confirmed_reads: list[tuple[int, int]] = []
        self._refused: list[tuple[int, str]] = []

    def _take_out(self) -> Out:
        write = None
        if self.log.has_unwritten() or self._written != (self.term, self.vote) or self.marks.urgent:
            write = self.log.take_write(self.term, self.vote, self.marks.take_changed())
            self._written = (self.term, self.vote)
        report = (self.role, self.term, self.leader)
        out = Out(
            write,
            tuple(self._send),
            self._restore,
            tuple(self._apply),
            tuple(self._appended),
            tuple(self._confirmed_reads),
            tuple(self._refused),
            report if report != self._reported else None,
        )
        self._reported = report
        self._clear_out()
        return out

    def _refuse(self, token: int, code: str) -> Out:
        self._refused.append((token, code))
        return self._take_out()

    def _become(self, now: int, role: str, term: int, leader: str, code: str = "not_leader") -> None:
        """The one place where role, term and leader change.

        `code`: with which the pending reads of a deposed leader are refused.
        """
        assert term >= self.term
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role == LEADER and role != LEADER:
            self._refused += [(token, code) for token in self._reads.take_all()]
            self._progress, self._transfer_to = {}, ""
        if role in (FOLLOWER, CANDIDATE) and (role, leader) != (self.role, self.leader):
            self._reset_election_timer(now)
        self.role, self.leader = role, leader

    def _reset_election_timer(self, now: int) -> None:
        timeout = self.bounds.election_timeout
        self._election_at = now + timeout + self.rng.below(timeout)

    def _reset_trial_timer(self, now: int) -> None:
        """A pre-vote changes nothing and may be refused only since others heard the leader a little later."""
        timeout = self.bounds.election_timeout
        self._election_at = now + (timeout + self.rng.below(timeout)) // 2

    # Verifying the disk

    def _own_mark(self) -> Mark:
        return Mark(self.disk, self.term, self.last if self.log.last_term == self.term else 0)

    def _other_voters(self) -> tuple[str, ...]:
        return tuple(name for name in self.keepers.voters if name != self.me)

    def _check_verified(self, now: int) -> None:
        # If not all have answered, one that knows of more may not have been heard yet: an election timeout is
        # waited for it.
        enough = len(self._verified_by) >= len(self.keepers.voters) // 2
        if enough and self._verify_until == NEVER_US:
            self._verify_until = now + self.bounds.election_timeout
        if enough and (now >= self._verify_until or self._verified_by >= set(self._other_voters())):
            self._become(now, FOLLOWER, self.term, "")
            if self.keepers.voters == (self.me,):
                self._election_at = now  # there is no other voter to wait for

    def _send_hello(self, now: int) -> None:
        mark = self._own_mark()  # as at start: nothing changes until the disk is verified
        self._send += [(name, Hello(mark.term, mark.disk, mark.index)) for name in self._other_voters()]
        self._heartbeat_at = now + self.bounds.heartbeat

    def _on_hello(self, sender: str, hello: Hello) -> None:
        held, known = Mark(hello.disk, hello.term, hello.index), self.marks.of(sender)
        older = is_older(held, known)
        # Others than members hold nothing that counts, and must not fill the disk with names.
        if not older and sender in (*self.keepers.voters, *self.keepers.learners):
            self.marks.note(sender, held)
        self._send.append((sender, Known(self.term, hello.disk, older, known)))

    def _on_known(self, now: int, sender: str, known: Known) -> None:
        if self.role != PROVING or known.disk != self.disk or sender not in self._other_voters():
            return
        if known.older or is_older(self._own_mark(), known.mark):
            self.known_mark = known.mark
            self._become(now, REFUSED, self.term, "")
            return
        self._verified_by.add(sender)
        self._check_verified(now)

    # Elections

    def _hears_leader(self, now: int) -> bool:
        return self.role == LEADER or (
            bool(self.leader) and now < self._leader_heard_at + self.bounds.election_timeout
        )

    def _may_lead(self) -> bool:
        """Returns whether this keeper may stand for election.

        It is a voter, or its removal is in its log but not known to be committed: it alone may hold that
        entry, and the others wait for it (thesis, 4.2.2).
        """
        return any(self.me in keepers.voters for keepers in self.log.keepers_since(self.commit))

    def _campaign(self, now: int, trial: bool, handed: bool = False) -> None:
        self._reset_election_timer(now)
        if not self._may_lead():
            self._become(now, FOLLOWER, self.term, "")
            return
        self._become(now, CANDIDATE, self.term if trial else self.term + 1, "")
        if trial:
            self._reset_trial_timer(now)
        self._is_trial, self._votes = trial, {self.me} & set(self.keepers.voters)
        if not trial:
            self.vote = self.me
        ask = AskVote(self.term + trial, self.last, self.log.last_term, trial, handed)
        self._send += [(name, ask) for name in self._other_voters()]
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if len(self._votes) >= membership.quorum(self.keepers):
            if self._is_trial:
                self._campaign(now, trial=False)
            else:
                self._lead(now)

    def _is_up_to_date(self, ask: AskVote) -> bool:
        return (ask.last_term, ask.last_index) >= (self.log.last_term, self.last)

    def _on_pre_vote(self, now: int, sender: str, ask: AskVote) -> None:
        granted = ask.term > self.term and self._is_up_to_date(ask) and not self._hears_leader(now)
        self._send.append((sender, Vote(ask.term if granted else self.term, granted, True)))

    def _on_ask_vote(self, now: int, sender: str, ask: AskVote) -> None:
        may_vote = self.vote == sender or (not self.vote and self.term != self._no_vote_term)
        granted = may_vote and self.role != LEADER and self._is_up_to_date(ask)
        if granted:
            self._become(now, FOLLOWER, self.term, self.leader)
            self.vote = sender
            self._reset_election_timer(now)
        self._send.append((sender, Vote(self.term, granted, False)))

    def _on_vote(self, now: int, sender: str, vote: Vote) -> None:
        asked_for = (
            self.role == CANDIDATE and vote.trial == self._is_trial and vote.term == self.term + vote.trial
        )
        if asked_for and vote.granted and sender in self.keepers.voters:
            self._votes.add(sender)
            self._count_votes(now)

    def _on_take_over(self, now: int, sender: str) -> None:
        if self.role == FOLLOWER and sender == self.leader:
            self._campaign(now, trial=False, handed=True)

    # Messages that count only in this keeper's own term

    def _on_message_in_term(self, now: int, sender: str, message: Message) -> None:
        from_leader = isinstance(message, Append | Piece)
        if message.term < self.term:
            # A leader or candidate of an earlier term learns of the later one and steps down.
            if from_leader:
                # Round 0: the sender may lead in this later term by then, and has counted its rounds anew.
                self._send.append((sender, Appended(self.term, False, self.commit, 0)))
            elif isinstance(message, AskVote):
                self._send.append((sender, Vote(self.term, False, False)))
            return
        if from_leader:
            if self.role == LEADER and message.term == self.term:
                return  # impossible: a term has one leader
            self._become(now, FOLLOWER, message.term, sender)
            self._leader_heard_at = now
            self._reset_election_timer(now)
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
                self._progress[sender].record_answer(now, message.round)
                if isinstance(message, Appended):
                    self._on_appended(now, sender, message)
                else:
                    self._on_piece_taken(now, sender, message)
                if self.role == LEADER:
                    self._serve_reads()

    # Following

    def _on_append(self, sender: str, append: Append) -> None:
        for name, mark in append.marks:
            self.marks.note(name, mark)
        end = append.before_index + len(append.entries)
        if [entry.index for entry in append.entries] != list(range(append.before_index + 1, end + 1)):
            return  # no leader sends this; it must not end the process
        if append.before_index > self.commit and self.log.term_at(append.before_index) != append.before_term:
            answer = Appended(self.term, False, self._mismatch_hint(append), append.round)
            self._send.append((sender, answer))
            return
        for entry in append.entries:
            # Committed entries are the leader's too: they are not compared again, and never removed.
            if entry.index <= self.commit or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.last:
                self.log.cut(entry.index)
            self.log.append(entry)
        # Only what this message has shown to match: behind `end` there may be entries of another leader.
        self._commit_to(min(append.commit, end))
        self._send.append((sender, Appended(self.term, True, max(end, self.commit), append.round)))

    def _mismatch_hint(self, append: Append) -> int:
        """Skips the whole term that does not match (Raft, 5.3); part of what it skips may match."""
        if append.before_index > self.last:
            return self.last
        return self.log.first_of_term(append.before_index) - 1

    def _on_piece(self, sender: str, piece: Piece) -> None:
        if piece.index <= self.commit:
            self._send.append((sender, PieceTaken(self.term, piece.index, piece.offset, True, piece.round)))
            return
        if self._incoming and self._incoming.is_outdated(piece):
            return
        if self._incoming is None or not self._incoming.matches(piece):
            self._incoming = snapshot.IncomingSnapshot(piece)
        complete = self._incoming.add(piece)
        answer = PieceTaken(
            self.term, piece.index, len(self._incoming.data), complete is not None, piece.round
        )
        self._send.append((sender, answer))
        if complete is not None:
            self._incoming = None
            self.log.install(complete)
            self.commit = self.applied = complete.index
            self._restore = complete

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            assert index <= self.last
            self.commit = index
            self._apply += self.log.entries_between(self.applied, index)
            self.applied = index

    # Leading

    def _lead(self, now: int) -> None:
        self._become(now, LEADER, self.term, self.me)
        self._progress, self._round, self._incoming = {}, 0, None
        self._heartbeat_commit = self.commit
        self._update_progress_names(now)
        self._append(NOOP, b"")
        if not self.log.membership_index:
            # From here on the log names the members, and no change of the settings can.
            self._append(KEEPERS, membership.encode_keepers(self.keepers))
        self._send_heartbeats(now)
        self._advance_commit(now)

    def _update_progress_names(self, now: int) -> None:
        names = membership.others(self.keepers, self.me)
        self._progress = {
            name: self._progress.get(name) or Progress(now, self.last + 1, self.bounds.max_in_flight)
            for name in names
        }

    def _append(self, kind: str, data: bytes) -> None:
        self.log.append(Entry(self.last + 1, self.term, kind, data))

    def _append_and_send(self, now: int, token: int, kind: str, data: bytes) -> Out:
        self._append(kind, data)
        self._appended.append((token, self.last, self.term))
        if kind == KEEPERS:
            self._update_progress_names(now)
        for name in self._progress:
            self._replicate(now, name)
        self._advance_commit(now)
        return self._take_out()

    def _has_committed_in_term(self) -> bool:
        """Returns whether this leader committed an entry of its own term, and so knows all that is
        committed.
        """
        return self.log.term_at(self.commit) == self.term

    def _waiting_count(self) -> int:
        return self.last - self.commit + len(self._reads)

    def _quorum_lost_at(self) -> int:
        """Returns when the last quorum that was heard will have been silent for an election timeout."""
        heard = sorted((self._progress[name].last_heard for name in self._other_voters()), reverse=True)
        needed = membership.quorum(self.keepers) - (self.me in self.keepers.voters)
        return heard[needed - 1] + self.bounds.election_timeout if needed else NEVER_US

    def _quorum_value(self, own: int, others: dict[str, int]) -> int:
        """Returns the highest value that a quorum of the voters has reached."""
        reached = [own if name == self.me else others[name] for name in self.keepers.voters]
        return sorted(reached, reverse=True)[membership.quorum(self.keepers) - 1]

    def _advance_commit(self, now: int) -> None:
        """Commits what a quorum holds, up to an entry of the own term only (Raft, 5.4.2 and figure 8)."""
        index = self._quorum_value(
            self.last, {name: progress.match for name, progress in self._progress.items()}
        )
        if index <= self.commit or self.log.term_at(index) != self.term:
            return
        membership_committed = self.commit < self.log.membership_index <= index
        self._commit_to(index)
        if membership_committed:
            for name in self._progress:
                self._send_heartbeat(name)
            if self.me not in self.keepers.voters:
                self._leave(now)
                return
        self._serve_reads()

    def _leave(self, now: int) -> None:
        """This leader removed itself, and that is committed: it asks the one furthest ahead to lead."""
        best = max(self.keepers.voters, key=lambda name: (self._progress[name].match, name))
        self._send.append((best, TakeOver(self.term)))
        self._become(now, FOLLOWER, self.term, "")

    def _send_heartbeats(self, now: int) -> None:
        self._heartbeat_at, self._heartbeat_commit = now + self.bounds.heartbeat, self.commit
        self._round += 1
        marks = self.marks.to_send(self._own_mark())
        for name, progress in self._progress.items():
            progress.send_marks(marks, self._round)
            self._send_heartbeat(name)
            self._replicate(now, name)
        self._send_take_over()
        self._serve_reads()

    def _send_heartbeat(self, name: str) -> None:
        """Sends a message without entries. Its answer shows what was lost; with 0 before it, it shows
        nothing.
        """
        progress = self._progress[name]
        self._begin_snapshot_if_compacted(progress)
        before = 0 if progress.state == SNAPSHOT else progress.next - 1
        term = self.log.term_at(before) if before else 0
        heartbeat = Append(self.term, before, term, (), self.commit, self._round, progress.marks_sent)
        self._send.append((name, heartbeat))

    def _begin_snapshot_if_compacted(self, progress: Progress) -> None:
        """Sends a snapshot where the next entry has been compacted, whatever is in flight."""
        if progress.state != SNAPSHOT and progress.next <= self.log.first and self.log.snapshot:
            progress.begin_snapshot(self.log.snapshot)

    def _replicate(self, now: int, name: str) -> None:
        """Sends entries, or snapshot chunks, as far as may be in flight at once."""
        progress = self._progress[name]
        self._begin_snapshot_if_compacted(progress)
        while progress.state != SNAPSHOT and progress.may_send() and progress.next <= self.last:
            entries = self.log.entries_from(progress.next, self.bounds.max_batch_bytes)
            append = Append(
                self.term,
                progress.next - 1,
                self.log.term_at(progress.next - 1),
                entries,
                self.commit,
                self._round,
            )
            self._send.append((name, append))
            progress.record_sent(entries[-1].index)
        if progress.state == SNAPSHOT and progress.last_chunk_at < 0:
            self._send_chunk(now, name)

    def _send_chunk(self, now: int, name: str) -> None:
        progress = self._progress[name]
        assert progress.sending is not None
        progress.last_chunk_at = now
        chunk = snapshot.chunk_of(
            progress.sending, self.term, progress.offset, self.bounds.chunk_bytes, self._round
        )
        self._send.append((name, chunk))

    def _on_appended(self, now: int, sender: str, answer: Appended) -> None:
        progress = self._progress[sender]
        if answer.ok:
            if answer.index > self.last:
                return  # impossible: it holds up to where this leader has shown it to match
            progress.record_match(answer.index)
            held = answer.index if self.log.term_at(answer.index) == self.term else 0
            self.marks.note(sender, Mark("", self.term, held))
            self._advance_commit(now)
        else:
            progress.record_mismatch(answer.index)
        if self.role != LEADER:
            return
        self._replicate(now, sender)
        if progress.state == SNAPSHOT and now >= progress.last_chunk_at + self.bounds.heartbeat:
            self._send_chunk(now, sender)  # it is alive, but the chunk or its answer was lost
        if sender == self._transfer_to and answer.ok:
            self._send_take_over()

    def _on_piece_taken(self, now: int, sender: str, answer: PieceTaken) -> None:
        progress = self._progress[sender]
        if answer.done:
            progress.record_match(min(answer.index, self.log.last))
            self._advance_commit(now)
            if self.role == LEADER:
                self._replicate(now, sender)
        elif (
            progress.sending
            and answer.index == progress.sending.index
            and progress.record_chunk_answer(answer.offset)
        ):
            self._send_chunk(now, sender)

    def _send_take_over(self) -> None:
        if self._transfer_to and self._progress[self._transfer_to].match == self.last:
            self._send.append((self._transfer_to, TakeOver(self.term)))

    def _serve_reads(self) -> None:
        """Answers confirmed reads, once an entry of the own term is committed.

        Until then this leader may not know the last committed entry.
        """
        if not self._reads or not self._has_committed_in_term():
            return
        self._answer_reads()
        if self._reads.needs_round():
            self._round += 1
            self._reads.begin_round(self._round, self.commit)
            for name in self._other_voters():
                self._send_heartbeat(name)
            self._answer_reads()  # a single voter waits for nobody

    def _answer_reads(self) -> None:
        rounds = {name: progress.round for name, progress in self._progress.items()}
        confirmed_round = self._quorum_value(self._round, rounds)
        self._confirmed_reads += self._reads.take_confirmed(confirmed_round)
