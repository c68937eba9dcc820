"""The TUF front: what kiosks ask by HTTP, answered from what is proven, or with a file as it is proven."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from tuf.api.metadata import TargetFile

from laurelcourse.fronts.tuf import http, transfer, uptane
from laurelcourse.fronts.tuf.decide_pace import Pace
from laurelcourse.fronts.tuf.decide_room import Room
from laurelcourse.fronts.tuf.exchange import PART, Download, Report
from laurelcourse.fronts.tuf.http import BadRequestError, Head
from laurelcourse.fronts.tuf.repository import RefusedError, Repository
from laurelcourse.fronts.tuf.transfer import Blocks, Transfer
from laurelcourse.fronts.tuf.trust import MOST_ROLES, View
from laurelcourse.fronts.tuf.uptane import ManifestError, Reports
from laurelcourse.net.admission import Client, ClientAdmission
from laurelcourse.net.connection import GOT
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import Limits
from laurelcourse.net.req import ANSWER, COMPLETED, GONE, SHED, WITHDRAWN, ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.operator.settings import MANIFEST, TARGET, Tuf

SECOND = 1_000_000
KEPT_CHUNKS = 2  # of one file, in memory
READER_PATIENCE = 4  # a client's stretch, as a multiple of a mirror's
LATER = 2 * SECOND  # when to come back where nobody says

log = logging.getLogger(__name__)


class Found(NamedTuple):
    """A target as a path under a repository names it, the length that it had in the view before, and whether
    the path names its hash."""

    target: TargetFile
    older: int | None
    versioned: bool


class Front:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        settings: Tuf,
        lives: ReqLifecycle,
        doors: ClientAdmission,
        repositories: dict[str, Repository],
        room: Room,
        blocks: Blocks,
        name: Callable[[], str],
        counters: Counters,
    ) -> None:
        """`name` gives a req's name."""
        self.scheduler, self.limits, self.settings, self.lifecycle = scheduler, limits, settings, lives
        self.admission, self.repositories, self.room, self.blocks = doors, repositories, room, blocks
        self.name, self.counters = name, counters
        self.timeouts = {route.name: route.timeout for route in settings.routes}
        two = settings.uptane
        self.reports = Reports(bool(two and two.counter), two.memory if two else 0, 1 << 16, 4 << 10)

    # -- a connection

    def serve(self, client: Client) -> None:
        """One client's requests in order, each answered before the next is read."""
        pins: dict[str, View | None] = {}
        began = False
        while (head := self._head(client)) is not None:
            if not began and not self.admission.admit(client):
                self._say(client, head._replace(stays=False), 503, "too many connections", LATER)
                return
            began = client.has_spoken = True
            self.counters.add("asked")
            try:
                stays = self._answer(client, head, pins)
            except BadRequestError as error:
                # A body that was not read would pass for the next request.
                head = head._replace(stays=head.stays and not head.length)
                stays = self._say(client, head, error.status, str(error))
            except RefusedError as error:
                self.counters.add("refused")
                stays = self._say(client, head, 503, str(error), error.back)
            if not stays:
                client.conn.close_gracefully(self.scheduler.now() + self.limits.stop_drain)
                return

    def _head(self, client: Client) -> Head | None:
        buffer = client.conn.buffer
        while True:
            try:
                end = http.end_of_head(buffer.data, buffer.start, buffer.end)
                if end is None:
                    if not self.admission.wait_for_bytes(client, self._unfinished, self.limits.max_idle):
                        return None
                    continue
                self.admission.partial.pop(client, None)
                raw = bytes(buffer.data[buffer.start : end])
                buffer.start = end
                head = http.head(raw)
                body = head.method == "POST"
                if head.length and not body:
                    raise BadRequestError(400, "a body where none is taken")
                return head
            except BadRequestError as error:
                # What follows can't be told apart any more.
                self.counters.add(f"clients_faults.{error.status}")
                words = str(error).encode() + b"\n"
                self.admission.faulty[client] = self.scheduler.now()
                self.admission.close_with_reply(
                    client, http.answer(None, error.status, {}, len(words), False) + words
                )
                return None

    def _unfinished(self) -> bytes:
        return http.answer(None, 408, {}, 0, False)

    def _say(self, client: Client, head: Head, status: int, words: str, back: int = 0) -> bool:
        """A short answer; whether the connection stays."""
        body = words.encode() + b"\n"
        fields = {"Content-Type": "text/plain; charset=utf-8"}
        fields |= {"Retry-After": str(-(-back // SECOND))} if back else {}
        return self._give(client, head, status, fields, body)

    def _give(self, client: Client, head: Head, status: int, fields: dict[str, str], body: bytes) -> bool:
        stays = head.stays and not client.stopping
        raw = http.answer(head, status, fields, len(body), stays)
        self.counters.add(f"answers.{status}")
        return client.conn.write(raw if head.method == "HEAD" else raw + body) and stays

    # -- what is asked

    def _answer(self, client: Client, head: Head, pins: dict[str, View | None]) -> bool:
        path = head.path
        if head.method == "POST":
            if self.settings.uptane is None or path != self.settings.uptane.manifests:
                raise BadRequestError(405, "nothing is posted here")
            return self._manifest(client, head)
        if head.method not in ("GET", "HEAD"):
            raise BadRequestError(405, "GET, HEAD, or POST for manifests")
        for one in self.settings.repositories:
            if path.startswith(one.metadata):
                return self._metadata(client, head, one.name, path.removeprefix(one.metadata), pins)
            if one.targets and path.startswith(one.targets):
                return self._target(client, head, one.name, path.removeprefix(one.targets), pins)
        raise BadRequestError(404, "no such path")

    def _metadata(
        self, client: Client, head: Head, name: str, file: str, pins: dict[str, View | None]
    ) -> bool:
        repository = self.repositories[name]
        found, pins[name] = repository.metadata(file, pins.get(name), Mailbox(self.scheduler))
        if found is None:
            raise BadRequestError(404, "no such metadata")
        fields = {"Content-Type": "application/json", "Age": str(found.age // SECOND)}
        return self._give(client, head, 200, fields, found.raw)

    # -- files

    def _target(self, client: Client, head: Head, name: str, file: str, pins: dict[str, View | None]) -> bool:
        asked = http.segments(file)
        found = self._find(self.repositories[name], asked, Mailbox(self.scheduler))
        if found is None:
            raise BadRequestError(404, "no such target")
        target, pinned = found.target, pins.get(name)
        if pinned and not found.versioned:
            held = self.repositories[name].trust.seek(pinned, asked).target
            if held and held.hashes != target.hashes:
                # Its metadata names a file that is there no more: better told now than found out at the end.
                raise BadRequestError(409, "the repository has moved on: refresh first")
        try:
            etag = f'"{transfer.name_of(target)}"'
        except KeyError:
            raise BadRequestError(502, "a target without a hash that is known here") from None
        self._directed(name, target)
        span = http.wanted(head.fields, target.length, etag) if target.length else None
        first, last = span or (0, target.length - 1)
        fields = {"Content-Type": "application/octet-stream", "Accept-Ranges": "bytes", "ETag": etag}
        fields |= {"Content-Range": f"bytes {first}-{last}/{target.length}"} if span else {}
        if head.method == "HEAD" or not target.length:
            stays = head.stays and not client.stopping
            raw = http.answer(head, 206 if span else 200, fields, last - first + 1, stays)
            return client.conn.write(raw) and stays
        held = min(KEPT_CHUNKS * self.settings.limits.chunk, target.length)
        if why := self.room.enter(client.address, held):
            self.counters.add(f"files_turned_away.{why}")
            raise RefusedError(f"too many files under way ({why})", LATER)
        try:
            moving = Transfer(target, first, last, self.settings.limits.chunk, self.blocks, found.versioned)
            doubt = self.repositories[name].fresh.doubt
            return self._send(client, head, moving, found.older, doubt, fields, 206 if span else 200)
        finally:
            self.room.leave(client.address, held)

    def _find(self, repository: Repository, asked: str, box: Mailbox) -> Found | None:
        """The target that a path means, in the view or the one before; delegated roles are proven on the
        way."""
        trust = repository.trust
        view = trust.view if trust.usable(self.scheduler.now()) else repository.newest(box)
        views = [one for one in (view, trust.before) if one is not None]
        for place, one in enumerate(views):
            for path, digest in trust.paths(asked):
                target = self._sought(repository, one, path, box)
                if target and (not digest or digest in target.hashes.values()):
                    before = views[place + 1 :] and trust.seek(views[place + 1], path).target
                    return Found(target, before.length if before else None, bool(digest))
        return None

    def _sought(self, repository: Repository, view: View, path: str, box: Mailbox) -> TargetFile | None:
        for _ in range(MOST_ROLES + 1):
            sought = repository.trust.seek(view, path)
            if sought.target or not sought.need:
                return sought.target
            if view is not repository.trust.view or not repository.prove(view, sought.need, box):
                return None
        raise RefusedError("too many delegations on the way to a target", LATER)

    def _directed(self, name: str, image: TargetFile) -> None:
        """Uptane: an image passes only if the director says the same of it, or need not have named it."""
        two = self.settings.uptane
        if two is None or name != two.image:
            return
        verdict = self._judge(self.repositories[two.director], image)
        if verdict != uptane.AGREED:
            # The director may have said something newer since it was last asked.
            self.repositories[two.director].newest(Mailbox(self.scheduler))
            verdict = self._judge(self.repositories[two.director], image)
        if verdict == uptane.DISAGREE:
            self.counters.add("uptane_disagree")
            raise BadRequestError(409, "director and image repository disagree on this image")
        if verdict == uptane.UNDIRECTED and two.directed_only:
            raise BadRequestError(404, "the director names no such image")

    def _judge(self, director: Repository, image: TargetFile) -> str:
        """By what the director says now, and said until lately: vehicles may be half-way."""
        if not director.trust.usable(self.scheduler.now()):
            director.newest(Mailbox(self.scheduler))
        views = [
            one
            for one in (director.trust.view, director.trust.before)
            if one and not one.expired(self.scheduler.now())
        ]
        said = [self._sought(director, one, image.path, Mailbox(self.scheduler)) for one in views]
        return uptane.judge(image, [one for one in said if one])

    def _send(
        self,
        client: Client,
        head: Head,
        moving: Transfer,
        older: int | None,
        doubt: Callable[[], None],
        fields: dict[str, str],
        status: int,
    ) -> bool:
        """A file's way to the client, part by part, with an eye on the client while a part is awaited. Once
        its head is out it ends whole, or with the connection."""
        if self._left(client, TARGET):
            return False
        timeout = self.timeouts[TARGET]
        due = self.scheduler.now() + timeout
        acks, box = Mailbox(self.scheduler), Mailbox(self.scheduler)
        asked = Download(self.name(), head.path, timeout // 1000, moving, older, client.mailbox, acks, doubt)
        self.lifecycle.begin(asked, box, client.mailbox)
        reader = Pace(self.settings.limits.floor, READER_PATIENCE * self.settings.limits.floor_over)
        begun, stays = False, head.stays
        while word := self.admission.next_message(client):
            what, *rest = word
            if what == PART:
                raw = b""
                if not begun:
                    begun, stays = True, stays and not client.stopping
                    raw = http.answer(head, status, fields, moving.last - moving.first + 1, stays)
                if self._written(client, raw + rest[0], due, reader):
                    acks.put(True)
                    continue
                self.counters.add("clients_left")
            elif what == ANSWER:
                end, told = rest
                if end == COMPLETED:
                    self.counters.add(f"answers.{status}")
                    return stays and not client.stopping
                if not begun and end == SHED:
                    raise RefusedError("no mirror gives it now", max(told, SECOND))
                if not begun:
                    raise BadRequestError(502, "no mirror gave what is proven")
            # Cut: what is out can't be made whole, or nobody is there to read it.
            self.counters.add("answers.cut")
            box.put((GONE,))
            acks.put(False)
            client.conn.close()
            return False
        self.counters.add("clients_left")
        box.put((GONE,))
        acks.put(False)
        return False

    def _left(self, client: Client, route: str) -> bool:
        """Whether a client had gone before its req was begun, asked right before that: what it asked ahead
        is read late, and is sent on for nobody."""
        if not client.conn.peer_has_closed():
            return False
        self.counters.add("clients_left")
        self.counters.add(f"reqs.{route}.{WITHDRAWN}")
        return True

    def _written(self, client: Client, data: bytes, due: int, reader: Pace) -> bool:
        """Writes a part; a client that reads below the floor is left, however little it reads at a time."""
        view, at = memoryview(data), 0
        while at < len(data):
            began = self.scheduler.now()
            # Small enough that a slow reader shows between two of them.
            piece = view[at : at + (16 << 10)]
            if not client.conn.write(piece, min(due, began + reader.left())):
                return False
            at += len(piece)
            if not reader.add(self.scheduler.now() - began, len(piece)):
                self.counters.add("clients_slow")
                return False
        return True

    # -- manifests

    def _manifest(self, client: Client, head: Head) -> bool:
        if head.length > self.settings.limits.manifest:
            raise BadRequestError(413, f"a manifest over {self.settings.limits.manifest} bytes")
        if "content-length" not in head.fields:
            raise BadRequestError(411, "a manifest names its length")
        body = self._body(client, head)
        if body is None:
            return False
        try:
            one = uptane.manifest(body, self.settings.uptane.counter)
        except ManifestError as error:
            raise BadRequestError(400, f"no manifest: {error}") from None
        if self._left(client, MANIFEST):
            return False
        verdict, given = self.reports.take(self.scheduler.now(), one.key)
        if verdict == uptane.GIVE:
            self.counters.add("manifests_given_again")
            return self._give(client, head, given.status, {}, given.body)
        if verdict == uptane.WAIT:
            return self._say(client, head, 503, "this manifest is under way", LATER)
        if verdict == uptane.UNKNOWN:
            return self._say(client, head, 409, "this manifest may have been taken; it is not sent again")
        return self._report(client, head, one.key, body)

    def _body(self, client: Client, head: Head) -> bytes | None:
        """A manifest's bytes within the time that an unfinished message has; None if they stay out."""
        conn, found = client.conn, bytearray()
        until = self.scheduler.now() + self.limits.message_time
        if head.fields.get("expect", "").lower() == "100-continue":
            conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        while True:
            take = min(len(conn.buffer), head.length - len(found))
            found += conn.buffer.data[conn.buffer.start : conn.buffer.start + take]
            conn.buffer.skip(take)
            if len(found) == head.length:
                return bytes(found)
            if conn.read(until) != GOT:
                self.counters.add("clients_faults.408")
                self.admission.close_with_reply(client, self._unfinished())
                return None

    def _report(self, client: Client, head: Head, key: bytes, body: bytes) -> bool:
        box = Mailbox(self.scheduler)
        kind = head.fields.get("content-type", "application/json")
        asked = Report(self.name(), head.path, self.timeouts[MANIFEST] // 1000, body, kind)
        ended = uptane.LOST  # unless an answer says more
        self.lifecycle.begin(asked, box, client.mailbox)
        try:
            while word := self.admission.next_message(client):
                what, *rest = word
                if what != ANSWER:
                    continue
                end, told = rest
                if end == COMPLETED:
                    ended = uptane.DONE
                    self.reports.ended(self.scheduler.now(), key, ended, told)
                    return self._give(client, head, told.status, {}, told.body)
                if end == SHED:
                    ended = ""
                    return self._say(client, head, 503, "no director takes it now", max(told, SECOND))
                return self._say(client, head, 502, "the manifest may have been taken")
            self.counters.add("clients_left")
            box.put((GONE,))
            return False
        finally:
            if ended != uptane.DONE:
                self.reports.ended(self.scheduler.now(), key, ended)
