"""What a leader knows of one other keeper's log. Pure.

Thesis 10.2.1; the three states are those of etcd's raft.
"""

from collections import deque

from laurelcourse.fleet.keeper.forms import Mark, Snapshot

PROBE, STREAM, PIECES = "probe", "stream", "pieces"


class Progress:
    """PROBE: where the logs part is not known, one message at a time. STREAM: messages run ahead of their
    answers, up to a bound. PIECES: it lacks what the leader has cut off, and is sent a snapshot."""

    __slots__ = (
        "_ahead",
        "_asked",
        "heard",
        "marks",
        "marks_round",
        "marks_sent",
        "match",
        "next",
        "offset",
        "piece_at",
        "round",
        "sending",
        "state",
        "under_way",
    )

    def __init__(self, now: int, following: int, ahead: int) -> None:
        self.match, self.next, self._ahead, self.heard, self.round = 0, following, ahead, now, 0
        self.marks: tuple[tuple[str, Mark], ...] = ()  # that it is known to have
        self.marks_sent: tuple[tuple[str, Mark], ...] = ()  # sent last, in `marks_round`
        self.marks_round, self.offset, self.piece_at = 0, 0, 0
        self.sending: Snapshot | None = None
        self._be(PROBE)

    def _be(self, state: str) -> None:
        self.state, self._asked, self.under_way = state, False, deque()
        if state != PIECES:
            self.sending = None

    def answered(self, now: int, round_: int) -> None:
        self.heard, self.round = now, max(self.round, round_)
        if self.marks_sent and round_ >= self.marks_round:
            self.marks, self.marks_sent = self.marks_sent, ()

    def tell(self, marks: tuple[tuple[str, Mark], ...], round_: int) -> None:
        """Marks go with each heartbeat from `round_` on until one is answered; at rest, none go."""
        if marks != self.marks_sent:
            self.marks_sent, self.marks_round = (marks, round_) if marks != self.marks else ((), 0)

    def may_send(self) -> bool:
        return not self._asked if self.state == PROBE else len(self.under_way) < self._ahead

    def sent(self, last: int) -> None:
        """A message with entries up to `last` is under way."""
        if self.state == PROBE:
            self._asked = True
        else:
            self.under_way.append(last)
            self.next = last + 1

    def holds(self, index: int) -> None:
        """It said that it holds the leader's log up to `index`; what it said once stays true."""
        self.match = max(self.match, index)
        while self.under_way and self.under_way[0] <= self.match:
            self.under_way.popleft()
        if self.state == PROBE or (self.sending and self.match >= self.sending.index):
            self._be(STREAM)
            self.next = self.match + 1
        self.next = max(self.next, self.match + 1)

    def lacks(self, hint: int) -> None:
        """It could not go on from there: back to `hint` at the most, but never behind what it holds: the hint
        passes over a whole term, part of which may match."""
        if self.state != PIECES:
            self.next = max(self.match, min(hint, self.next - 1)) + 1
            self._be(PROBE)

    def send_pieces(self, snapshot: Snapshot) -> None:
        self._be(PIECES)
        self.sending, self.offset, self.piece_at = snapshot, 0, -1

    def piece_taken(self, offset: int) -> bool:
        """Whether the next piece is to be sent now. After an offset that lies back (the other started anew,
        or an answer came late) it is sent again a beat later, lest late answers double what is sent."""
        further = offset > self.offset
        self.offset = min(offset, len(self.sending.data)) if self.sending else 0
        return further
