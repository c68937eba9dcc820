"""What a leader knows of one other keeper's log. Pure.

Ongaro's thesis, 10.2.1; the three states are those of etcd's raft.
"""

from collections import deque

from laurelcourse.fleet.keeper.messages import Mark, Snapshot

PROBE = "probe"  # where the logs diverge is unknown: one message at a time
REPLICATE = "stream"  # messages are sent ahead of their answers, up to a limit
SNAPSHOT = "pieces"  # it lacks entries that the leader has compacted, and is sent a snapshot


class Progress:
    """Replication to one other keeper."""

    __slots__ = (
        "_max_in_flight",
        "_probe_sent",
        "in_flight",
        "last_chunk_at",
        "last_heard",
        "marks",
        "marks_round",
        "marks_sent",
        "match",
        "next",
        "offset",
        "round",
        "sending",
        "state",
    )

    def __init__(self, now: int, next_index: int, max_in_flight: int) -> None:
        self.match, self.next = 0, next_index
        self._max_in_flight, self.last_heard, self.round = max_in_flight, now, 0
        self.marks: tuple[tuple[str, Mark], ...] = ()  # that it is known to have received
        self.marks_sent: tuple[tuple[str, Mark], ...] = ()  # sent last, in `marks_round`
        self.marks_round, self.offset, self.last_chunk_at = 0, 0, 0
        self.sending: Snapshot | None = None
        self._set_state(PROBE)

    def _set_state(self, state: str) -> None:
        self.state, self._probe_sent, self.in_flight = state, False, deque()
        if state != SNAPSHOT:
            self.sending = None

    def record_answer(self, now: int, round_: int) -> None:
        """It answered a message of this round of heartbeats."""
        self.last_heard, self.round = now, max(self.round, round_)
        if self.marks_sent and round_ >= self.marks_round:
            self.marks, self.marks_sent = self.marks_sent, ()

    def send_marks(self, marks: tuple[tuple[str, Mark], ...], round_: int) -> None:
        """Sends marks with each heartbeat from `round_` on until one is answered; known marks are not
        sent.
        """
        if marks != self.marks_sent:
            self.marks_sent, self.marks_round = (marks, round_) if marks != self.marks else ((), 0)

    def may_send(self) -> bool:
        """Returns whether another message with entries may be sent now."""
        return not self._probe_sent if self.state == PROBE else len(self.in_flight) < self._max_in_flight

    def record_sent(self, last: int) -> None:
        """A message with entries up to `last` was sent."""
        if self.state == PROBE:
            self._probe_sent = True
        else:
            self.in_flight.append(last)
            self.next = last + 1

    def record_match(self, index: int) -> None:
        """It holds the leader's log up to `index`; that stays true."""
        self.match = max(self.match, index)
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()
        if self.state == PROBE or (self.sending and self.match >= self.sending.index):
            self._set_state(REPLICATE)
            self.next = self.match + 1
        self.next = max(self.next, self.match + 1)

    def record_mismatch(self, hint: int) -> None:
        """Its log does not match there: goes back to `hint` at most, but never behind what it holds.

        The hint skips a whole term, part of which may match.
        """
        if self.state != SNAPSHOT:
            self.next = max(self.match, min(hint, self.next - 1)) + 1
            self._set_state(PROBE)

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Begins to send a snapshot."""
        self._set_state(SNAPSHOT)
        self.sending, self.offset, self.last_chunk_at = snapshot, 0, -1

    def record_chunk_answer(self, offset: int) -> bool:
        """Returns whether the next chunk should be sent now.

        After an offset that is not ahead (it restarted, or an answer was delayed) the chunk is sent again a
        heartbeat later, so that delayed answers do not multiply what is sent.
        """
        is_ahead = offset > self.offset
        self.offset = min(offset, len(self.sending.data)) if self.sending else 0
        return is_ahead
