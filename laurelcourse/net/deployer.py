"""The deployer: votes, and the stream of notices."""

import logging

from laurelcourse import interface as face
from laurelcourse.net import forms, http
from laurelcourse.net.calls import Pauses, answer
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT, Connection
from laurelcourse.net.counters import Counters
from laurelcourse.net.forms import Address, FormError
from laurelcourse.net.http import Events, HttpError, Response
from laurelcourse.net.scheduler import LATE, Mailbox, Scheduler

VOTES, NOTICES = "/v1/", "/v1/notices"

log = logging.getLogger(__name__)


class Stream:
    """One notices stream: when it began and was last heard, whether it has told anything, has stood for a
    while, has told what was overtaken, and is over."""

    def __init__(self, now: int, address: Address) -> None:
        self.began, self.heard, self.address = now, now, address
        self.spoke = self.stood = self.overtaken = self.over = False
        self.conn: Connection | None = None

    def hang_up(self) -> None:
        """Also while it connects: what comes of that is closed at once."""
        self.over = True
        if self.conn:
            self.conn.close()


class Deployer:
    def __init__(self, scheduler: Scheduler, config: Config, choices: Choices, counters: Counters) -> None:
        self.scheduler, self.limits, self.address = scheduler, config.limits, config.deployer
        self.choices, self.counters = choices, counters
        self.vote_timeout = config.settings.vote_timeout
        self.routes = {route.name for route in config.settings.routes}
        self.changed, self.moved = Mailbox(scheduler), Mailbox(scheduler)
        self.stages = len(config.settings.stage_caps)
        self.heard, self.heard_at = forms.NOWHERE, 0  # the state told last, when
        self.heard_on: Stream | None = None  # and by which stream, if not by a vote's answer
        self.pauses = Pauses(config.limits, config.seed, "notices stream")

    def move(self, address: Address) -> None:
        """Votes and the stream go to another address; a vote that is out ends where it was cast."""
        if address != self.address:
            self.address = address
            self.changed.put(None)
            self.moved.put(None)

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.scheduler.spawn(self._vote, build, stage, verdict)

    def _vote(self, build: int, stage: int, verdict: int) -> None:
        """Each vote has a connection of its own: a late answer can't pass for a later vote's."""
        call = http.request("POST", VOTES, self.address, forms.vote(build, stage, verdict), closes=True)
        until = (cast := self.scheduler.now()) + self.vote_timeout
        status, told = face.BROKE, forms.NOWHERE
        conn = Connection.connect(self.scheduler, self.address, self.limits, until)
        if conn and conn.write(call, until):
            try:
                found = answer(conn, until, self.limits.body)
                status, told = forms.end_of_vote(found.head.status, found.take())
                self._check(told)
            except (HttpError, FormError, ValueError) as error:
                status, told = face.UNANSWERED, forms.NOWHERE
                log.warning("a vote without an answer", extra={"fault": error})
        if conn:
            conn.close()
        self.counters.add(f"votes.{status}")
        told = self._newer(told, cast)
        if status == face.COUNTED:
            self.heard, self.heard_at, self.heard_on = told, self.scheduler.now(), None
        self.choices.stage(told, vote_ended=status)

    def _newer(self, told: forms.State, cast: int) -> forms.State:
        """News may overtake a vote's answer: of what came since it was cast, the later state holds."""
        if self.heard_at < cast or forms.progress(told) >= forms.progress(self.heard):
            return told
        return self.heard._replace(since=self.heard.since + self.scheduler.now() - self.heard_at)

    def _overtaken(self, told: forms.State, stream: Stream) -> bool:
        """A line may lie unread while a vote, or another stream, is told what came behind it. One on a stream
        that began later, or that told the last state itself, was written later."""
        return self.heard_at >= stream.began and self.heard_on is not stream and forms.lifts(told, self.heard)

    def keep_hearing(self) -> None:
        """Holds one stream; one lost, silent or left behind is opened anew, and held until the new one
        speaks."""
        held, tried = None, None
        while True:
            if tried and tried.spoke:
                if held:
                    held.hang_up()
                held, tried = tried, None
            now, silence = self.scheduler.now(), self.limits.silence
            if held and not held.stood and held.heard - held.began >= silence:
                # Not as soon as it speaks: streams that break right behind their first state would be opened
                # again and again after the shortest pause.
                held.stood = True
                self.pauses.worked()
            if held and held.over:
                held = None
                self._rest(self.pauses.failed("the stream ended"))
            elif tried and tried.address != self.address:
                tried.hang_up()
                tried = None
            elif tried and (tried.over or now - tried.heard >= silence):
                tried.hang_up()
                tried = None
                self._rest(self.pauses.failed("no stream"))
            elif tried is None and (
                held is None or now - held.heard >= silence or held.address != self.address or held.overtaken
            ):
                tried = Stream(now, self.address)
                self.counters.add("notices_opened")
                self.scheduler.spawn(self._hear, tried)
            elif self.scheduler.wait(box=self.changed, until=(tried or held).heard + silence) != LATE:
                self.changed.get()

    def _rest(self, pause: int) -> None:
        self.moved.get(self.scheduler.now() + pause)

    def _hear(self, stream: Stream) -> None:
        until = stream.heard + self.limits.silence
        stream.conn = conn = Connection.connect(self.scheduler, stream.address, self.limits, until)
        try:
            if conn and not stream.over and conn.write(http.request("GET", NOTICES, stream.address), until):
                found, events = Response(self.limits.body), Events(self.limits.buffer_most)
                while not found.done and conn.read() == GOT:
                    stream.heard = self.scheduler.now()
                    found.feed(conn.buffer.take())
                    if found.head and found.head.status != 200:
                        raise HttpError(f"status {found.head.status}")
                    for name, data in events.feed(found.take()):
                        self._notice(stream, name, http.form(data))
                        stream.spoke = True
                        self.changed.put(None)
        except (HttpError, FormError, ValueError) as error:
            # What it says from here on can't be told apart from noise.
            self.counters.add("notices_unreadable")
            log.warning("a notices stream can't be read", extra={"fault": error})
        finally:
            stream.hang_up()
            self.changed.put(None)

    def _notice(self, stream: Stream, name: str, fields: dict[str, str]) -> None:
        self.counters.add("notices")
        if name == "progress":
            told = forms.state(fields)
            self._check(told)
            if self._overtaken(told, stream):
                # Should the platform have gone back in truth, a stream opened anew tells so at once.
                stream.overtaken = True
                self.counters.add("notices_overtaken")
                return
            self.heard, self.heard_at, self.heard_on = told, self.scheduler.now(), stream
            self.choices.stage(told)
        elif name == "metrics":
            counted = forms.tally(fields)
            if counted.route in self.routes:
                self.choices.tally(counted)

    def _check(self, told: forms.State) -> None:
        if told.standing == face.ON_TRIAL and told.stage >= self.stages:
            raise FormError(f"no stage {told.stage}")
