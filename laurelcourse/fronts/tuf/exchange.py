"""Questions to mirrors by HTTP/1.1, and what their answers prove: metadata, parts of files, manifests."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from laurelcourse import interface as face
from laurelcourse.fronts.tuf import http, transfer
from laurelcourse.fronts.tuf.decide_pace import Pace
from laurelcourse.fronts.tuf.transfer import Transfer
from laurelcourse.fronts.tuf.trust import BEHIND, PROVEN, SAME, STRANGE, WRONG, Offer
from laurelcourse.fronts.tuf.uptane import Given
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import LATE, MAIL, Mailbox, Scheduler
from laurelcourse.net.tries import MALFORMED
from laurelcourse.operator.settings import MANIFEST, METADATA, TARGET, Limits

PART = "part"
HEARD_SHARE = 8  # of the latency objective: how often a file under way is told of as heard
MOST_ANSWER = 256 << 10  # bytes of a director's answer
FULL = frozenset((429, 503))
ABSENT = frozenset((403, 404, 410))

log = logging.getLogger(__name__)


class Fetch(NamedTuple):
    """A metadata file; `judge` says what bytes are worth, or of none, that the mirror lacks it."""

    req: str
    path: str
    left_ms: int
    most: int
    judge: Callable[[bytes | None], Offer]
    route: str = METADATA
    repeated: bool = False
    key: int | None = None


class Download:
    """A target on its way to one client: parts go through its mailbox, one at a time."""

    route, repeated, key = TARGET, False, None

    def __init__(
        self,
        req: str,
        path: str,
        left_ms: int,
        moving: Transfer,
        older: int | None,
        client: Mailbox,
        acks: Mailbox,
        doubt: Callable[[], None],
    ) -> None:
        """`doubt` hears that a mirror may be ahead of what is proven."""
        self.doubt = doubt
        self.req, self.path, self.left_ms, self.moving, self.older = req, path, left_ms, moving, older
        self.client, self.acks = client, acks

    def pass_on(self, part: bytes) -> bool:
        """Hands a part to the client's task and waits until it is written; whether the client is there."""
        self.client.put((PART, part))
        return bool(self.acks.get())


class Report(NamedTuple):
    """A manifest for the director."""

    req: str
    path: str
    left_ms: int
    body: bytes
    kind: str
    route: str = MANIFEST
    repeated: bool = False
    key: int | None = None


Asked = Fetch | Download | Report


class Answer:
    def __init__(self, asked: Asked | None, unit: int, number: int) -> None:
        self.asked, self.unit, self.number = asked, unit, number
        self.begun = self.ready = False
        self.load: dict[str, float] = {}
        self.lag: int | None = None
        self.parser: h11.Connection | None = None
        self.value: Any = None
        self.ended = ""  # what the answer itself proves, whatever became of the connection

    def whole(self) -> Any:  # noqa: ANN401
        return self.value


class Exchange:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        name: str,
        objective: int,
        counters: Counters,
        judged: Callable[[int, str, Offer], None],
        heard: Callable[[str, int], None],
        full: Callable[[int, bool], None],
    ) -> None:
        """`judged` hears what a mirror's answer was worth, `heard` of each part of a file, `full` of parts
        that begin and end at a mirror."""
        self.scheduler, self.limits, self.name, self.counters = scheduler, limits, name, counters
        self.heard_every = objective // HEARD_SHARE
        self.judged, self.heard, self.full = judged, heard, full
        self.under_way: dict[int, set[Mailbox]] = {}

    def leave(self, unit: int) -> None:
        """A mirror drains or is withdrawn: files that come from it go on elsewhere."""
        for box in list(self.under_way.get(unit, ())):
            box.put(face.CANCEL)

    # -- what tries.py asks of an exchange

    def greet(self, conn: Connection, until: int) -> str:
        return face.OK

    def answer(self, asked: Asked | None, unit: int, number: int) -> Answer:
        return Answer(asked, unit, number)

    def query(self, asked: Asked | None, answer: Answer, left_ms: int) -> bytes:
        fields, body, method = {}, b"", "GET"
        if isinstance(asked, Download) and (span := asked.moving.asks()):
            fields["Range"] = "bytes={}-{}".format(*span)
        elif isinstance(asked, Report):
            method, body, fields["Content-Type"] = "POST", asked.body, asked.kind
        answer.parser, raw = http.request(method, asked.path, "mirror", self.name, fields, body)
        return raw

    def report(self, answer: Answer) -> dict[str, float]:
        return {}

    def status(self, answer: Answer, ended: str) -> str:
        return answer.ended or ended

    def answered(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        asked = answer.asked
        try:
            if isinstance(asked, Fetch):
                return self._fetched(conn, until, answer, box)
            if isinstance(asked, Report):
                return self._reported(conn, until, answer, box)
            return self._downloaded(conn, until, answer, box)
        except h11.RemoteProtocolError as error:
            self.counters.add("mirrors_nonsense")
            log.debug("a mirror speaks nonsense: %s", error)
            return MALFORMED

    # -- one kind of question each

    def _fetched(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        asked: Fetch = answer.asked
        pace = Pace(self.limits.floor, self.limits.floor_over)
        event = self._event(conn, until, answer, box, pace)
        if isinstance(event, str):
            return event
        status = event.status_code
        if status in ABSENT:
            return self._judge(answer, asked.judge(None))
        if status != 200:
            answer.ended = face.BUSY if status in FULL else face.FAILED
            return answer.ended
        found = bytearray()
        while not isinstance(event := self._event(conn, until, answer, box, pace), h11.EndOfMessage):
            if isinstance(event, str):
                return event
            found += event.data
            if len(found) > asked.most:
                return self._judge(answer, Offer(WRONG, f"more than {asked.most} bytes"))
        self._over(answer)
        return self._judge(answer, asked.judge(bytes(found)))

    def _judge(self, answer: Answer, offer: Offer) -> str:
        self.judged(answer.unit, answer.asked.route, offer)
        if offer.verdict in (PROVEN, SAME):
            answer.value, answer.ended = True, face.OK
        else:
            # Neither is evidence of failing; a wrong answer is told of as a complaint.
            answer.ended = face.RESET if offer.verdict == WRONG else face.BUSY
        return answer.ended

    def _reported(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        event = self._event(conn, until, answer, box, None)
        if isinstance(event, str):
            return event
        status, found = event.status_code, bytearray()
        while not isinstance(event := self._event(conn, until, answer, box, None), h11.EndOfMessage):
            if isinstance(event, str):
                return event
            found += event.data
            if len(found) > MOST_ANSWER:
                return MALFORMED
        self._over(answer)
        if status >= 500 or status < 200:
            answer.ended = face.FAILED
        else:
            answer.value, answer.ended = Given(status, bytes(found)), face.OK
        return answer.ended

    def _downloaded(self, conn: Connection, until: int, answer: Answer, box: Mailbox) -> str:
        """A part of a file, from one mirror; whatever ends it, the next goes on from the byte reached."""
        asked: Download = answer.asked
        moving, boxes = asked.moving, self.under_way.setdefault(answer.unit, set())
        boxes.add(box)
        self.full(answer.unit, True)
        pace = Pace(self.limits.floor, self.limits.floor_over)
        began, fetched = self.scheduler.now(), moving.fetched
        try:
            ended = self._part(conn, until, answer, box, pace)
        finally:
            boxes.discard(box)
            if not boxes:
                self.under_way.pop(answer.unit, None)
            self.full(answer.unit, False)
            self.counters.add("bytes_fetched", moving.fetched - fetched)
            moving.left()
        if ended == face.OK:
            answer.lag = pace.lag(0)
        elif ended == face.TIMEOUT and self.scheduler.now() < until:
            self.counters.add("mirrors_stalled")
            answer.lag = max(pace.waited, self.scheduler.now() - began)
        return ended

    def _part(self, conn: Connection, until: int, answer: Answer, box: Mailbox, pace: Pace) -> str:
        asked: Download = answer.asked
        moving, heard_at = asked.moving, self.scheduler.now()
        event = self._event(conn, until, answer, box, pace)
        if isinstance(event, str):
            return event
        if (ended := self._headed(answer, event)) != face.OK:
            return ended
        answer.begun = True
        while moving.state == transfer.READING:
            event = self._event(conn, until, answer, box, pace)
            if isinstance(event, str):
                return event
            if isinstance(event, h11.EndOfMessage):
                self._over(answer)
                return face.RESET  # shorter than it said, in a coding that does not say how long
            for part in moving.take(event.data):
                self.counters.add("bytes_delivered", len(part))
                if not asked.pass_on(part):
                    return face.CANCELLED
            if (now := self.scheduler.now()) - heard_at >= self.heard_every:
                heard_at = now
                self.heard(asked.req, answer.number)
        if moving.state == transfer.PROVEN:
            self.judged(answer.unit, TARGET, Offer(PROVEN))
            answer.value, answer.ended = True, face.OK
            self._drained(answer)
            return face.OK
        # Proven wrong: of one block, or of the whole.
        culprits = moving.culprits()
        verdict = WRONG if moving.versioned else STRANGE
        for unit in culprits:
            self.judged(unit, TARGET, Offer(verdict, "bytes of another file", frozenset(culprits)))
        if not moving.versioned:
            asked.doubt()
        if moving.state == transfer.CUT:
            self.counters.add("files_cut")
            asked.client.put((transfer.CUT,))
        return face.RESET

    def _headed(self, answer: Answer, event: h11.Response) -> str:
        """Whether a mirror's head fits the part that was asked for; what it proves otherwise."""
        asked: Download = answer.asked
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
        status = event.status_code
        if status in ABSENT or status == 416:
            self.judged(answer.unit, TARGET, Offer(BEHIND, f"status {status} for a file that is there"))
            return face.BUSY
        if status not in (200, 206):
            return face.BUSY if status in FULL else face.FAILED
        if fields.get("content-encoding", "identity") != "identity":
            self.judged(answer.unit, TARGET, Offer(WRONG, "a content coding that was not asked for"))
            return face.RESET
        length = fields.get("content-length", "")
        fit = asked.moving.begin(
            answer.unit, status, int(length) if length.isdigit() else None, http.span_of(fields), asked.older
        )
        if fit == transfer.FINE:
            return face.OK
        self.counters.add(f"parts_{fit}")
        if fit != transfer.UNFIT:
            verdict = BEHIND if fit == transfer.OLD else WRONG if asked.moving.versioned else STRANGE
            asked.doubt()
            self.judged(answer.unit, TARGET, Offer(verdict, "a file of another length"))
        return face.RESET if fit == transfer.OTHER else face.BUSY

    # -- reading

    def _event(self, conn: Connection, until: int, answer: Answer, box: Mailbox, pace: Pace | None) -> Any:  # noqa: ANN401
        """The answer's next event, or how the wait for it ended."""
        while True:
            event = answer.parser.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if event is h11.PAUSED:
                return face.RESET
            if event is not h11.NEED_DATA:
                return event
            began = self.scheduler.now()
            reason = conn.read(min(until, began + pace.left()) if pace else until, box)
            now, data = self.scheduler.now(), conn.buffer.take() if reason == GOT else b""
            stalled = pace is not None and not pace.add(now - began, len(data))
            if reason == GOT:
                answer.parser.receive_data(data)
            elif reason == MAIL:
                return face.CANCELLED
            elif reason != LATE:
                return self._at_end(answer)
            if now >= until or stalled:
                return face.TIMEOUT

    def _at_end(self, answer: Answer) -> Any:  # noqa: ANN401
        """The connection ended: that is the end of a body without a length, else a break."""
        try:
            answer.parser.receive_data(b"")
            event = answer.parser.next_event()
        except h11.RemoteProtocolError:
            return face.RESET
        return event if isinstance(event, h11.EndOfMessage) else face.RESET

    def _over(self, answer: Answer) -> None:
        """The answer is whole: its connection may be used again if nothing is behind it."""
        parser = answer.parser
        answer.ready = (
            parser.their_state is h11.DONE and parser.our_state is h11.DONE and not (parser.trailing_data[0])
        )

    def _drained(self, answer: Answer) -> None:
        """All bytes are there: if the end of the answer is too, the connection stays."""
        if isinstance(answer.parser.next_event(), h11.EndOfMessage):
            self._over(answer)
