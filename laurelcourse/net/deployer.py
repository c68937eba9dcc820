"""The deployer's API: votes, and the stream of notices on the newest build."""

import logging

from laurelcourse import interface as face
from laurelcourse.net import http, payloads
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.http import EventParser, HttpError, Response
from laurelcourse.net.http_client import Backoff, read_response
from laurelcourse.net.payloads import Address, PayloadError
from laurelcourse.net.scheduler import LATE, Mailbox, Scheduler

VOTES_PATH = "/v1/"
NOTICES_PATH = "/v1/notices"

log = logging.getLogger(__name__)


class NoticeStream:
    """One stream of notices."""

    def __init__(self, now: int, address: Address) -> None:
        self.opened_at, self.last_heard, self.address = now, now, address
        self.has_spoken = False
        self.is_stable = False  # it has lasted for the silence limit
        self.sent_stale_state = False  # it sent a state older than one already applied
        self.closed = False
        self.conn: Connection | None = None

    def close(self) -> None:
        """Closes the stream; if it is still connecting, the connection is closed once it is up."""
        self.closed = True
        if self.conn:
            self.conn.close()


class Deployer:
    """Casts votes and follows the notices."""

    def __init__(
        self, scheduler: Scheduler, config: Config, dispatcher: Dispatcher, counters: Counters
    ) -> None:
        self.scheduler, self.limits, self.address = scheduler, config.limits, config.deployer
        self.dispatcher, self.counters = dispatcher, counters
        self.vote_timeout = config.settings.vote_timeout
        self.routes = {route.name for route in config.settings.routes}
        self.stream_changed, self.address_changed = Mailbox(scheduler), Mailbox(scheduler)
        self.stage_count = len(config.settings.stage_caps)
        self.last_state, self.last_state_at = payloads.NO_BUILD, 0
        self.last_state_stream: NoticeStream | None = None  # None: it came with a vote's answer
        self.backoff = Backoff(config.limits, config.seed, "notices stream")

    def move(self, address: Address) -> None:
        """Uses another address from now on; a vote under way ends where it was cast."""
        if address != self.address:
            self.address = address
            self.stream_changed.put(None)
            self.address_changed.put(None)

    def vote(self, build: int, stage: int, verdict: int) -> None:
        """Casts a vote in a task of its own."""
        self.scheduler.spawn(self._vote, build, stage, verdict)

    def _vote(self, build: int, stage: int, verdict: int) -> None:
        """Each vote has its own connection, so that a late answer is not taken for a later vote's."""
        request = http.request(
            "POST", VOTES_PATH, self.address, payloads.vote_form(build, stage, verdict), closes=True
        )
        deadline = (cast_at := self.scheduler.now()) + self.vote_timeout
        status, state = face.CALL_FAILED, payloads.NO_BUILD
        conn = Connection.connect(self.scheduler, self.address, self.limits, deadline)
        if conn and conn.write(request, deadline):
            try:
                response = read_response(conn, deadline, self.limits.max_body)
                status, state = payloads.parse_vote_response(response.head.status, response.take())
                self._check_stage(state)
            except (HttpError, PayloadError, ValueError) as error:
                status, state = face.UNANSWERED, payloads.NO_BUILD
                log.warning("a vote without an answer", extra={"fault": error})
        if conn:
            conn.close()
        self.counters.add(f"votes.{status}")
        state = self._latest_state(state, cast_at)
        if status == face.COUNTED:
            self.last_state, self.last_state_at = state, self.scheduler.now()
            self.last_state_stream = None
        self.dispatcher.stage(state, vote_status=status)

    def _latest_state(self, state: payloads.BuildState, cast_at: int) -> payloads.BuildState:
        """Returns the later of a vote's answer and the notices received since the vote was cast."""
        if self.last_state_at < cast_at or payloads.progress(state) >= payloads.progress(self.last_state):
            return state
        age = self.last_state.since + self.scheduler.now() - self.last_state_at
        return self.last_state._replace(since=age)

    def _is_stale(self, state: payloads.BuildState, stream: NoticeStream) -> bool:
        """Returns whether a notice was written before the last state.

        It may lie unread while a vote's answer or another stream brings a later state. A notice was written
        later if its stream was opened later or had itself sent the last state.
        """
        return (
            self.last_state_at >= stream.opened_at
            and self.last_state_stream is not stream
            and payloads.lifts_cap(state, self.last_state)
        )

    def follow(self) -> None:
        """Keeps one stream open; replaces one that is lost, silent or stale once the new one has spoken."""
        current, candidate = None, None
        while True:
            if candidate and candidate.has_spoken:
                if current:
                    current.close()
                current, candidate = candidate, None
            now, silence = self.scheduler.now(), self.limits.silence
            if current and not current.is_stable and current.last_heard - current.opened_at >= silence:
                # Not as soon as it speaks: streams that break right after their first notice would be
                # reopened again and again after the shortest delay.
                current.is_stable = True
                self.backoff.succeeded()
            if current and current.closed:
                current = None
                self._wait(self.backoff.failed("the stream ended"))
            elif candidate and candidate.address != self.address:
                candidate.close()
                candidate = None
            elif candidate and (candidate.closed or now - candidate.last_heard >= silence):
                candidate.close()
                candidate = None
                self._wait(self.backoff.failed("no stream"))
            elif candidate is None and (
                current is None
                or now - current.last_heard >= silence
                or current.address != self.address
                or current.sent_stale_state
            ):
                candidate = NoticeStream(now, self.address)
                self.counters.add("notices_opened")
                self.scheduler.spawn(self._read_stream, candidate)
            elif (
                self.scheduler.wait(
                    box=self.stream_changed, until=(candidate or current).last_heard + silence
                )
                != LATE
            ):
                self.stream_changed.get()

    def _wait(self, delay: int) -> None:
        self.address_changed.get(self.scheduler.now() + delay)

    def _read_stream(self, stream: NoticeStream) -> None:
        deadline = stream.last_heard + self.limits.silence
        stream.conn = conn = Connection.connect(self.scheduler, stream.address, self.limits, deadline)
        try:
            if (
                conn
                and not stream.closed
                and conn.write(http.request("GET", NOTICES_PATH, stream.address), deadline)
            ):
                response, events = Response(self.limits.max_body), EventParser(self.limits.max_buffer)
                while not response.done and conn.read() == GOT:
                    stream.last_heard = self.scheduler.now()
                    response.feed(conn.buffer.take())
                    if response.head and response.head.status != 200:
                        raise HttpError(f"status {response.head.status}")
                    for name, data in events.feed(response.take()):
                        self._take_notice(stream, name, http.parse_form(data))
                        stream.has_spoken = True
                        self.stream_changed.put(None)
        except (HttpError, PayloadError, ValueError) as error:
            # Where the next notice begins is unknown from here on.
            self.counters.add("notices_unreadable")
            log.warning("a notices stream can't be read", extra={"fault": error})
        finally:
            stream.close()
            self.stream_changed.put(None)

    def _take_notice(self, stream: NoticeStream, name: str, fields: dict[str, str]) -> None:
        self.counters.add("notices")
        if name == "progress":
            state = payloads.parse_build_state(fields)
            self._check_stage(state)
            if self._is_stale(state, stream):
                # If the platform really went back, a new stream will say so at once.
                stream.sent_stale_state = True
                self.counters.add("notices_overtaken")
                return
            self.last_state, self.last_state_at = state, self.scheduler.now()
            self.last_state_stream = stream
            self.dispatcher.stage(state)
        elif name == "metrics":
            tally = payloads.parse_tally(fields)
            if tally.route in self.routes:
                self.dispatcher.tally(tally)

    def _check_stage(self, state: payloads.BuildState) -> None:
        if state.standing == face.ON_TRIAL and state.stage >= self.stage_count:
            raise PayloadError(f"no stage {state.stage}")
