"""The deployer: votes, and the stream of notices."""

import logging
from xml.etree import ElementTree

from laurelcourse import interface as face
from laurelcourse.net import http
from laurelcourse.net.calls import answer
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.directory import Pauses
from laurelcourse.net.http import Events, HttpError, Response
from laurelcourse.net.scheduler import LATE, Mailbox, Scheduler

VERDICTS = {face.NO_VOTE: "blank", face.VOTE_ON: "go", face.VOTE_HOLD: "stay", face.VOTE_BACK: "stop"}
PHASES = {"Progressing": face.ON_TRIAL, "Aborting": face.GOING_BACK, "Healthy": face.RELEASED,
          "Aborted": face.WITHDRAWN}
ENDS = {"limit": face.REFUSED, "moot": face.VOID, "error": face.BROKE, "malformed": face.BROKE}
VOTES, NOTICES = "/v1/", "/v1/notices"
NOWHERE = (0, 0, face.ON_TRIAL, 0.0, 0)

log = logging.getLogger(__name__)


def state(fields: dict) -> tuple[int, int, int, float, int]:
    """Where a build stands: build, stage, standing, cap, and for how long."""
    try:
        return (int(fields["build"]), int(fields["stage"]), PHASES[fields["phase"]], float(fields["cap"]),
                round(float(fields["age_ms"]) * 1000))
    except (KeyError, TypeError, ValueError) as error:
        raise HttpError(f"an unreadable state: {type(error).__name__} {error}") from None


def end_of_vote(status: int, body: bytes) -> tuple[str, tuple]:
    """What a vote's answer says: its end, and the state it tells."""
    try:
        root = ElementTree.fromstring(body)
    except ElementTree.ParseError:
        raise HttpError("an answer that is not XML") from None
    if status == 200:
        item = root.find("results/item")
        if item is None:
            raise HttpError("an answer without an item")
        return face.COUNTED, state({part.tag: part.text for part in item})
    code = root.findtext("Code") if root.tag == "Error" else root.findtext(".//Error/Code")
    if code not in ENDS:
        raise HttpError(f"status {status} with code {code}")
    return ENDS[code], NOWHERE


class Stream:
    """One notices stream: when it was last heard, and whether it has told anything."""

    def __init__(self, now: int) -> None:
        self.heard, self.spoke, self.over = now, False, False
        self.conn: Connection | None = None


class Deployer:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, counters: Counters) -> None:
        self.scheduler, self.limits, self.address = scheduler, config.limits, config.deployer
        self.choices, self.counters = choices, counters
        self.vote_timeout = config.settings.vote_timeout
        self.routes = {route.name for route in config.settings.routes}
        self.host = "{}:{}".format(*config.deployer)
        self.changed = Mailbox(scheduler)
        first, most = config.limits.pause_first, config.limits.pause_most
        self.pauses = Pauses(scheduler, first, most, config.seed, "deployer's notices")

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.scheduler.spawn("vote", self._vote, build, stage, verdict)

    def _vote(self, build: int, stage: int, verdict: int) -> None:
        """Each vote has a connection of its own: a late answer can't pass for a later vote's."""
        form = {"Action": "CastVote", "build": build, "stage": stage, "verdict": VERDICTS[verdict]}
        until = self.scheduler.now() + self.vote_timeout
        status, told = face.BROKE, NOWHERE
        conn = Connection.connect(self.scheduler, self.address, self.limits, until)
        if conn:
            try:
                if conn.write(http.request("POST", VOTES, self.host, form, closes=True), until):
                    status = face.UNANSWERED
                    found = answer(conn, until, self.limits.body)
                    status, told = end_of_vote(found.head.status, found.take())
            except HttpError as error:
                log.warning("a vote's answer", extra={"fault": error})
            finally:
                conn.close()
        self.counters.add(f"votes.{status}")
        self.choices.stage(*told, answers_vote=True, status=status)

    def keep_hearing(self) -> None:
        """Holds one stream; one lost or silent is opened anew, and held until the new one speaks."""
        held, tried = None, None
        while True:
            now = self.scheduler.now()
            if tried and tried.spoke:
                self._hang_up(held)
                held, tried = tried, None
                self.pauses.worked()
            if held and held.over:
                held = None
            if tried and (tried.over or now - tried.heard >= self.limits.silence):
                self._hang_up(tried)
                tried = None
                self.scheduler.sleep(self.pauses.failed("no stream"))
                continue
            silent_at = held.heard + self.limits.silence if held else now
            if tried is None and now >= silent_at:
                tried = self._open()
            due = tried.heard + self.limits.silence if tried else silent_at
            if self.scheduler.wait(box=self.changed, until=due) != LATE:
                self.changed.get()

    def _open(self) -> Stream:
        stream = Stream(self.scheduler.now())
        self.counters.add("notices_opened")
        self.scheduler.spawn("notices", self._hear, stream)
        return stream

    def _hang_up(self, stream: Stream | None) -> None:
        if stream and stream.conn:
            stream.conn.close()

    def _hear(self, stream: Stream) -> None:
        until = stream.heard + self.limits.silence
        stream.conn = conn = Connection.connect(self.scheduler, self.address, self.limits, until)
        try:
            if conn and conn.write(http.request("GET", NOTICES, self.host), until):
                found, events = Response(self.limits.body), Events(self.limits.buffer_most)
                while not found.done and conn.read() == GOT:
                    stream.heard = self.scheduler.now()
                    found.feed(conn.buffer.take())
                    if found.head and found.head.status != 200:
                        raise HttpError(f"status {found.head.status}")
                    for name, data in events.feed(found.take()):
                        self._notice(name, http.form(data))
                        if not stream.spoke:
                            stream.spoke = True
                            self.changed.put(None)
        except HttpError as error:
            self.counters.add("notices_unreadable")
            log.warning("a notices stream", extra={"fault": error})
        finally:
            if conn:
                conn.close()
            stream.over = True
            self.changed.put(None)

    def _notice(self, name: str, fields: dict[str, str]) -> None:
        self.counters.add("notices")
        try:
            if name == "progress":
                self.choices.stage(*state(fields), answers_vote=False)
            elif name == "metrics" and fields["class"] in self.routes:
                since, mean = (round(float(fields.get(one) or 0) * 1000) for one in ("age_ms", "mean_ms"))
                self.choices.call("tally", since, mean, int(fields["build"]), fields["class"],
                                  int(fields["failed"]), int(fields["count"]))
        except (HttpError, KeyError, ValueError) as error:
            self.counters.add("notices_unreadable")
            log.warning("a notice", extra={"fault": error})
