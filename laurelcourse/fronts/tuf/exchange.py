"""Asks mirrors by HTTP/1.1 for metadata, parts of files, and to accept manifests; assesses their answers."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from laurelcourse import interface as face
from laurelcourse.fronts.tuf import download, http_messages
from laurelcourse.fronts.tuf.download import Download
from laurelcourse.fronts.tuf.throughput import ThroughputMonitor
from laurelcourse.fronts.tuf.trust import (
    INVALID,
    OUTDATED,
    UNCHANGED,
    UNVERIFIABLE,
    VERIFIED,
    Assessment,
)
from laurelcourse.fronts.tuf.uptane import DirectorAnswer
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.scheduler import LATE, MAIL, Mailbox, Scheduler
from laurelcourse.net.tries import MALFORMED
from laurelcourse.operator.settings import MANIFEST, METADATA, TARGET, Limits

PART = "part"  # a message to the client's task
HEARD_REPORTS_PER_OBJECTIVE = 8  # how often a file in transfer is reported as heard
MAX_DIRECTOR_ANSWER_BYTES = 256 << 10

OK = 200
PARTIAL_CONTENT = 206
RANGE_NOT_SATISFIABLE = 416
OVERLOADED_STATUSES = frozenset((429, 503))
MISSING_STATUSES = frozenset((403, 404, 410))

log = logging.getLogger(__name__)


class MetadataRequest(NamedTuple):
    """A request for a metadata file."""

    req: str
    path: str
    left_ms: int
    max_bytes: int
    assess: Callable[[bytes | None], Assessment]  # of the bytes; of None if the mirror lacks the file
    route: str = METADATA
    repeated: bool = False
    key: int | None = None


class FileRequest:
    """A request for a target on its way to one client: parts pass through its mailbox, one at a time."""

    route = TARGET
    repeated = False
    key = None

    def __init__(
        self,
        req: str,
        path: str,
        left_ms: int,
        download: Download,
        former_length: int | None,
        client: Mailbox,
        acknowledgements: Mailbox,
        mark_outdated: Callable[[], None],
    ) -> None:
        """`mark_outdated` is called when a mirror may be ahead of what is verified."""
        self.req = req
        self.path = path
        self.left_ms = left_ms
        self.download = download
        self.former_length = former_length
        self.client = client
        self.acknowledgements = acknowledgements
        self.mark_outdated = mark_outdated

    def deliver(self, part: bytes) -> bool:
        """Passes a part to the client's task, and waits until it is written; returns whether it was."""
        self.client.put((PART, part))
        return bool(self.acknowledgements.get())


class ManifestRequest(NamedTuple):
    """A manifest for the director."""

    req: str
    path: str
    left_ms: int
    body: bytes
    content_type: str
    route: str = MANIFEST
    repeated: bool = False
    key: int | None = None


MirrorRequest = MetadataRequest | FileRequest | ManifestRequest


class Answer:
    """A mirror's answer; its attributes are those of `net.tries.Answer`."""

    def __init__(self, request: MirrorRequest | None, unit: int, number: int) -> None:
        self.request = request
        self.unit = unit
        self.number = number
        self.begun = False
        self.ready = False  # the connection may be used again
        self.load: dict[str, float] = {}
        self.lag: int | None = None
        self.parser: h11.Connection | None = None
        self.value: Any = None
        self.outcome = ""  # by the answer itself, whatever became of the connection

    def whole(self) -> Any:  # noqa: ANN401
        """Returns the answer's value."""
        return self.value


class Exchange:
    """The mirrors' protocol (`net.tries.Exchange`)."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        name: str,
        objective: int,
        counters: Counters,
        on_assessed: Callable[[int, str, Assessment], None],
        on_heard: Callable[[str, int], None],
        on_part: Callable[[int, bool], None],
    ) -> None:
        """`on_assessed` gets the assessment of each answer (unit, route), `on_heard` each part of a file
        (req, try), `on_part` each part that begins or ends at a mirror.
        """
        self.scheduler = scheduler
        self.limits = limits
        self.name = name
        self.counters = counters
        self.heard_interval = objective // HEARD_REPORTS_PER_OBJECTIVE
        self.on_assessed = on_assessed
        self.on_heard = on_heard
        self.on_part = on_part
        self.readers: dict[int, set[Mailbox]] = {}  # of files, by mirror

    def cancel_files(self, unit: int) -> None:
        """Has files that come from a mirror continue at others: it drains or is withdrawn."""
        for mailbox in list(self.readers.get(unit, ())):
            mailbox.put(face.CANCEL)

    # The protocol of `net.tries.Exchange`

    def greet(self, conn: Connection, deadline: int) -> str:
        """Does nothing: HTTP has no handshake."""
        return face.OK

    def answer(self, request: MirrorRequest | None, unit: int, number: int) -> Answer:
        """Returns an empty answer."""
        return Answer(request, unit, number)

    def query(self, request: MirrorRequest | None, answer: Answer, left_ms: int) -> bytes:
        """Returns the request's bytes."""
        fields, body, method = {}, b"", "GET"
        if isinstance(request, FileRequest) and (span := request.download.range_to_ask()):
            fields["Range"] = "bytes={}-{}".format(*span)
        elif isinstance(request, ManifestRequest):
            method, body, fields["Content-Type"] = "POST", request.body, request.content_type
        answer.parser, raw = http_messages.build_request(
            method, request.path, "mirror", self.name, fields, body
        )
        return raw

    def report(self, answer: Answer) -> dict[str, float]:
        """Returns nothing: mirrors report no load."""
        return {}

    def status(self, answer: Answer, ended: str) -> str:
        """Returns the outcome of the answer itself, if it has one."""
        return answer.outcome or ended

    def answered(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        """Reads an answer; returns how that ended."""
        request = answer.request
        try:
            if isinstance(request, MetadataRequest):
                return self._read_metadata(conn, deadline, answer, mailbox)
            if isinstance(request, ManifestRequest):
                return self._read_director_answer(conn, deadline, answer, mailbox)
            return self._read_file(conn, deadline, answer, mailbox)
        except h11.RemoteProtocolError as error:
            self.counters.add("mirrors_nonsense")
            log.debug("a mirror speaks nonsense: %s", error)
            return MALFORMED

    # Metadata

    def _read_metadata(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        request: MetadataRequest = answer.request
        monitor = ThroughputMonitor(self.limits.floor, self.limits.floor_over)
        event = self._next_event(conn, deadline, answer, mailbox, monitor)
        if isinstance(event, str):
            return event
        status = event.status_code
        if status in MISSING_STATUSES:
            return self._end_metadata(answer, request.assess(None))
        if status != OK:
            answer.outcome = face.BUSY if status in OVERLOADED_STATUSES else face.FAILED
            return answer.outcome
        body = bytearray()
        while not isinstance(
            event := self._next_event(conn, deadline, answer, mailbox, monitor), h11.EndOfMessage
        ):
            if isinstance(event, str):
                return event
            body += event.data
            if len(body) > request.max_bytes:
                return self._end_metadata(answer, Assessment(INVALID, f"more than {request.max_bytes} bytes"))
        self._end_answer(answer)
        return self._end_metadata(answer, request.assess(bytes(body)))

    def _end_metadata(self, answer: Answer, assessment: Assessment) -> str:
        self.on_assessed(answer.unit, answer.request.route, assessment)
        if assessment.verdict in (VERIFIED, UNCHANGED):
            answer.value = True
            answer.outcome = face.OK
        else:
            # Neither shows a failing mirror; an invalid answer is reported as a complaint.
            answer.outcome = face.RESET if assessment.verdict == INVALID else face.BUSY
        return answer.outcome

    # Manifests

    def _read_director_answer(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        event = self._next_event(conn, deadline, answer, mailbox, None)
        if isinstance(event, str):
            return event
        status, body = event.status_code, bytearray()
        while not isinstance(
            event := self._next_event(conn, deadline, answer, mailbox, None), h11.EndOfMessage
        ):
            if isinstance(event, str):
                return event
            body += event.data
            if len(body) > MAX_DIRECTOR_ANSWER_BYTES:
                return MALFORMED
        self._end_answer(answer)
        if status >= 500 or status < 200:
            answer.outcome = face.FAILED
        else:
            answer.value = DirectorAnswer(status, bytes(body))
            answer.outcome = face.OK
        return answer.outcome

    # Files

    def _read_file(self, conn: Connection, deadline: int, answer: Answer, mailbox: Mailbox) -> str:
        """Reads a part of a file from one mirror; the next continues from the byte reached."""
        request: FileRequest = answer.request
        reading, readers = request.download, self.readers.setdefault(answer.unit, set())
        readers.add(mailbox)
        self.on_part(answer.unit, True)
        monitor = ThroughputMonitor(self.limits.floor, self.limits.floor_over)
        began, fetched = self.scheduler.now(), reading.fetched
        try:
            ended = self._read_part(conn, deadline, answer, mailbox, monitor)
        finally:
            readers.discard(mailbox)
            if not readers:
                self.readers.pop(answer.unit, None)
            self.on_part(answer.unit, False)
            self.counters.add("bytes_fetched", reading.fetched - fetched)
            reading.leave_mirror()
        if ended == face.OK:
            answer.lag = monitor.latency(0)
        elif ended == face.TIMEOUT and self.scheduler.now() < deadline:
            self.counters.add("mirrors_stalled")
            answer.lag = max(monitor.total_waited, self.scheduler.now() - began)
        return ended

    def _read_part(
        self,
        conn: Connection,
        deadline: int,
        answer: Answer,
        mailbox: Mailbox,
        monitor: ThroughputMonitor,
    ) -> str:
        request: FileRequest = answer.request
        reading, heard_at = request.download, self.scheduler.now()
        event = self._next_event(conn, deadline, answer, mailbox, monitor)
        if isinstance(event, str):
            return event
        if (ended := self._check_file_head(answer, event)) != face.OK:
            return ended
        answer.begun = True
        while reading.state == download.READING:
            event = self._next_event(conn, deadline, answer, mailbox, monitor)
            if isinstance(event, str):
                return event
            if isinstance(event, h11.EndOfMessage):
                self._end_answer(answer)
                return face.RESET  # too short, in a transfer coding without a length
            for part in reading.add(event.data):
                self.counters.add("bytes_delivered", len(part))
                if not request.deliver(part):
                    return face.CANCELLED
            if (now := self.scheduler.now()) - heard_at >= self.heard_interval:
                heard_at = now
                self.on_heard(request.req, answer.number)
        return self._end_part(answer, request)

    def _end_part(self, answer: Answer, request: FileRequest) -> str:
        reading = request.download
        if reading.state == download.VERIFIED:
            self.on_assessed(answer.unit, TARGET, Assessment(VERIFIED))
            answer.value = True
            answer.outcome = face.OK
            self._end_answer_if_complete(answer)
            return face.OK
        # A block is invalid, or the whole.
        suspects = reading.suspects()
        verdict = INVALID if reading.is_versioned else UNVERIFIABLE
        for unit in suspects:
            self.on_assessed(unit, TARGET, Assessment(verdict, "bytes of another file", frozenset(suspects)))
        if not reading.is_versioned:
            request.mark_outdated()
        if reading.state == download.FAILED:
            self.counters.add("files_cut")
            request.client.put((download.FAILED,))
        return face.RESET

    def _check_file_head(self, answer: Answer, event: h11.Response) -> str:
        """Returns OK if a response head fits the part that was asked for, else how the try ends."""
        request: FileRequest = answer.request
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
        status = event.status_code
        if status in MISSING_STATUSES or status == RANGE_NOT_SATISFIABLE:
            why = f"status {status} for a file that is there"
            self.on_assessed(answer.unit, TARGET, Assessment(OUTDATED, why))
            return face.BUSY
        if status not in (OK, PARTIAL_CONTENT):
            return face.BUSY if status in OVERLOADED_STATUSES else face.FAILED
        if fields.get("content-encoding", "identity") != "identity":
            self.on_assessed(
                answer.unit, TARGET, Assessment(INVALID, "a content coding that was not asked for")
            )
            return face.RESET
        length = fields.get("content-length", "")
        fit = request.download.begin(
            answer.unit,
            status,
            int(length) if length.isdigit() else None,
            http_messages.parse_content_range(fields),
            request.former_length,
        )
        if fit == download.FITS:
            return face.OK
        self.counters.add(f"parts_{fit}")
        if fit != download.NO_RANGES:
            if fit == download.OUTDATED:
                verdict = OUTDATED
            else:
                verdict = INVALID if request.download.is_versioned else UNVERIFIABLE
            request.mark_outdated()
            self.on_assessed(answer.unit, TARGET, Assessment(verdict, "a file of another length"))
        return face.RESET if fit == download.MISMATCH else face.BUSY

    # Reading

    def _next_event(
        self,
        conn: Connection,
        deadline: int,
        answer: Answer,
        mailbox: Mailbox,
        monitor: ThroughputMonitor | None,
    ) -> Any:  # noqa: ANN401
        """Returns the answer's next event, or how waiting for it ended."""
        while True:
            event = answer.parser.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if event is h11.PAUSED:
                return face.RESET
            if event is not h11.NEED_DATA:
                return event
            began = self.scheduler.now()
            reason = conn.read(min(deadline, began + monitor.window_left()) if monitor else deadline, mailbox)
            now, data = self.scheduler.now(), conn.buffer.take() if reason == GOT else b""
            has_stalled = monitor is not None and not monitor.record(now - began, len(data))
            if reason == GOT:
                answer.parser.receive_data(data)
            elif reason == MAIL:
                return face.CANCELLED
            elif reason != LATE:
                return self._event_at_close(answer)
            if now >= deadline or has_stalled:
                return face.TIMEOUT

    def _event_at_close(self, answer: Answer) -> Any:  # noqa: ANN401
        """Returns the end of a body without a length, or RESET: the connection was closed."""
        try:
            answer.parser.receive_data(b"")
            event = answer.parser.next_event()
        except h11.RemoteProtocolError:
            return face.RESET
        return event if isinstance(event, h11.EndOfMessage) else face.RESET

    def _end_answer(self, answer: Answer) -> None:
        """The answer is complete: its connection may be used again if nothing follows."""
        parser = answer.parser
        answer.ready = (
            parser.their_state is h11.DONE and parser.our_state is h11.DONE and not (parser.trailing_data[0])
        )

    def _end_answer_if_complete(self, answer: Answer) -> None:
        """All bytes are read: if the end of the answer is too, the connection may be used again."""
        if isinstance(answer.parser.next_event(), h11.EndOfMessage):
            self._end_answer(answer)
