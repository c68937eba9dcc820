"""The TUF front: answers HTTP requests with verified metadata, and with files as they are verified."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from tuf.api.metadata import TargetFile

from laurelcourse.fronts.tuf import download, http_messages, uptane
from laurelcourse.fronts.tuf.download import BlockHashes, Download
from laurelcourse.fronts.tuf.exchange import PART, FileRequest, ManifestRequest
from laurelcourse.fronts.tuf.file_admission import FileAdmission
from laurelcourse.fronts.tuf.http_messages import BadRequestError, RequestHead
from laurelcourse.fronts.tuf.repository import RefusedError, Repository
from laurelcourse.fronts.tuf.throughput import ThroughputMonitor
from laurelcourse.fronts.tuf.trust import MAX_ROLES, View
from laurelcourse.fronts.tuf.uptane import ManifestError, ManifestLog
from laurelcourse.net.admission import Client, ClientAdmission
from laurelcourse.net.connection import GOT
from laurelcourse.net.counters import Counters
from laurelcourse.net.limits import Limits
from laurelcourse.net.req import ANSWER, COMPLETED, GONE, SHED, WITHDRAWN, ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.operator.settings import MANIFEST, TARGET, Tuf

SECOND_US = 1_000_000
MILLISECOND_US = 1000
HELD_CHUNKS = 2  # of one file, in memory
CLIENT_WINDOW_FACTOR = 4  # a client's throughput is measured over so many times a mirror's window
CLIENT_WRITE_BYTES = 16 << 10  # small enough that a slow client shows between two writes
DEFAULT_RETRY_AFTER_US = 2 * SECOND_US
MAX_MANIFESTS = 1 << 16  # remembered
MANIFEST_BYTES = 512  # of memory for each, without its answer
MAX_KEPT_ANSWER_BYTES = 4 << 10  # of a director's answer

Pins = dict[str, View | None]  # by repository: the view that a connection's client has

log = logging.getLogger(__name__)


class FoundTarget(NamedTuple):
    """A target that a path under a repository means."""

    target: TargetFile
    former_length: int | None  # in the previous view
    is_versioned: bool  # the path contains its hash


class FileResponse(NamedTuple):
    """The head of a response with a file."""

    status: int
    fields: dict[str, str]
    length: int


class Front:
    """Serves the clients of one TUF front."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        settings: Tuf,
        lifecycle: ReqLifecycle,
        admission: ClientAdmission,
        repositories: dict[str, Repository],
        files: FileAdmission,
        blocks: BlockHashes,
        new_req_name: Callable[[], str],
        counters: Counters,
    ) -> None:
        self.scheduler = scheduler
        self.limits = limits
        self.settings = settings
        self.lifecycle = lifecycle
        self.admission = admission
        self.repositories = repositories
        self.files = files
        self.blocks = blocks
        self.new_req_name = new_req_name
        self.counters = counters
        self.timeouts = {route.name: route.timeout for route in settings.routes}
        director = settings.uptane
        self.manifests = ManifestLog(
            bool(director and director.counter),
            director.memory if director else 0,
            min(MAX_MANIFESTS, 2 * limits.unfinished_bytes // MANIFEST_BYTES),
            MAX_KEPT_ANSWER_BYTES,
            limits.unfinished_bytes,
        )

    # Connections

    def serve(self, client: Client) -> None:
        """Answers one client's requests in order."""
        pins: Pins = {}
        began = False
        while (head := self._read_head(client)) is not None:
            if not began and not self.admission.admit(client):
                self._respond_text(
                    client,
                    head._replace(stays=False),
                    503,
                    "too many connections",
                    DEFAULT_RETRY_AFTER_US,
                )
                return
            began = client.has_spoken = True
            self.counters.add("asked")
            try:
                stays = self._handle(client, head, pins)
            except BadRequestError as error:
                # A body that was not read would pass for the next request.
                head = head._replace(stays=head.stays and not head.length)
                stays = self._respond_text(client, head, error.status, str(error))
            except RefusedError as error:
                self.counters.add("refused")
                stays = self._respond_text(client, head, 503, str(error), error.retry_after)
            if not stays:
                client.conn.close_gracefully(self.scheduler.now() + self.limits.stop_drain)
                return

    def _read_head(self, client: Client) -> RequestHead | None:
        buffer = client.conn.buffer
        self.admission.wait_for_turn(client)
        while True:
            try:
                end = http_messages.find_head_end(buffer.data, buffer.start, buffer.end)
                if end is None:
                    if not self.admission.wait_for_bytes(
                        client, self._timeout_response, self.limits.max_idle
                    ):
                        return None
                    continue
                self.admission.end_message(client)
                raw = bytes(buffer.data[buffer.start : end])
                buffer.start = end
                head = http_messages.parse_head(raw)
                if head.length and head.method != "POST":
                    raise BadRequestError(400, "a body where none is taken")
                return head
            except BadRequestError as error:
                # Where the next request begins is unknown from here on.
                self.counters.add(f"clients_faults.{error.status}")
                body = str(error).encode() + b"\n"
                self.admission.faulty[client] = self.scheduler.now()
                response = http_messages.build_response(None, error.status, {}, len(body), False)
                self.admission.close_with_reply(client, response + body)
                return None

    def _timeout_response(self) -> bytes:
        return http_messages.build_response(None, 408, {}, 0, False)

    def _respond_text(
        self, client: Client, head: RequestHead, status: int, message: str, retry_after: int = 0
    ) -> bool:
        """Sends a short text; returns whether the connection stays open."""
        body = message.encode() + b"\n"
        fields = {"Content-Type": "text/plain; charset=utf-8"}
        fields |= {"Retry-After": str(-(-retry_after // SECOND_US))} if retry_after else {}
        return self._respond(client, head, status, fields, body)

    def _respond(
        self, client: Client, head: RequestHead, status: int, fields: dict[str, str], body: bytes
    ) -> bool:
        """Sends a response; returns whether the connection stays open."""
        stays = head.stays and not client.stopping
        raw = http_messages.build_response(head, status, fields, len(body), stays)
        self.counters.add(f"answers.{status}")
        return client.conn.write(raw if head.method == "HEAD" else raw + body) and stays

    # Requests

    def _handle(self, client: Client, head: RequestHead, pins: Pins) -> bool:
        path = head.path
        if head.method == "POST":
            if self.settings.uptane is None or path != self.settings.uptane.manifests:
                raise BadRequestError(405, "nothing is posted here")
            return self._handle_manifest(client, head)
        if head.method not in ("GET", "HEAD"):
            raise BadRequestError(405, "GET, HEAD, or POST for manifests")
        for repository in self.settings.repositories:
            if path.startswith(repository.metadata):
                name = path.removeprefix(repository.metadata)
                return self._handle_metadata(client, head, repository.name, name, pins)
            if repository.targets and path.startswith(repository.targets):
                name = path.removeprefix(repository.targets)
                return self._handle_target(client, head, repository.name, name, pins)
        raise BadRequestError(404, "no such path")

    def _handle_metadata(
        self, client: Client, head: RequestHead, repository_name: str, name: str, pins: Pins
    ) -> bool:
        repository = self.repositories[repository_name]
        file, pins[repository_name] = repository.find_metadata(
            name, pins.get(repository_name), Mailbox(self.scheduler)
        )
        if file is None:
            raise BadRequestError(404, "no such metadata")
        fields = {"Content-Type": "application/json", "Age": str(file.age // SECOND_US)}
        return self._respond(client, head, 200, fields, file.raw)

    # Files

    def _handle_target(
        self, client: Client, head: RequestHead, repository_name: str, name: str, pins: Pins
    ) -> bool:
        repository = self.repositories[repository_name]
        path = http_messages.decode_path(name)
        found_target = self._find_target(repository, path, Mailbox(self.scheduler))
        if found_target is None:
            raise BadRequestError(404, "no such target")
        target = found_target.target
        self._check_pinned(repository, path, found_target, pins.get(repository_name))
        try:
            etag = f'"{download.file_id(target)}"'
        except KeyError:
            raise BadRequestError(502, "a target without a hash that is known here") from None
        self._check_director(repository_name, target)
        span = http_messages.requested_range(head.fields, target.length, etag) if target.length else None
        first, last = span or (0, target.length - 1)
        fields = {"Content-Type": "application/octet-stream", "Accept-Ranges": "bytes", "ETag": etag}
        fields |= {"Content-Range": f"bytes {first}-{last}/{target.length}"} if span else {}
        response = FileResponse(206 if span else 200, fields, last - first + 1)
        if head.method == "HEAD" or not target.length:
            stays = head.stays and not client.stopping
            raw = http_messages.build_response(head, response.status, fields, response.length, stays)
            return client.conn.write(raw) and stays
        held = min(HELD_CHUNKS * self.settings.limits.chunk, target.length)
        if why := self.files.admit(client.address, held):
            self.counters.add(f"files_turned_away.{why}")
            raise RefusedError(f"too many files under way ({why})", DEFAULT_RETRY_AFTER_US)
        try:
            reading = Download(
                target, first, last, self.settings.limits.chunk, self.blocks, found_target.is_versioned
            )
            mark_outdated = repository.freshness.mark_outdated
            return self._send_file(client, head, reading, found_target.former_length, mark_outdated, response)
        finally:
            self.files.release(client.address, held)

    @staticmethod
    def _check_pinned(
        repository: Repository, path: str, found_target: FoundTarget, pinned: View | None
    ) -> None:
        """Raises BadRequestError if the client's metadata names a file that no longer exists.

        It would otherwise find out only at the end.
        """
        if pinned is None or found_target.is_versioned:
            return
        known = repository.trust.find_target(pinned, path).target
        if known and known.hashes != found_target.target.hashes:
            raise BadRequestError(409, "the repository has moved on: refresh first")

    def _find_target(self, repository: Repository, path: str, mailbox: Mailbox) -> FoundTarget | None:
        """Returns the target that a path means, in the current view or the previous one.

        Delegated roles are verified on the way.
        """
        trust = repository.trust
        is_usable = trust.is_usable(self.scheduler.now())
        current = trust.view if is_usable else repository.newest_view(mailbox)
        views = [view for view in (current, trust.previous_view) if view is not None]
        for index, view in enumerate(views):
            for target_path, digest in trust.possible_targets(path):
                target = self._search_target(repository, view, target_path, mailbox)
                if target and (not digest or digest in target.hashes.values()):
                    former = views[index + 1 :] and trust.find_target(views[index + 1], target_path).target
                    return FoundTarget(target, former.length if former else None, bool(digest))
        return None

    def _search_target(
        self, repository: Repository, view: View, path: str, mailbox: Mailbox
    ) -> TargetFile | None:
        for _ in range(MAX_ROLES + 1):
            result = repository.trust.find_target(view, path)
            if result.target or not result.missing_role:
                return result.target
            if view is not repository.trust.view or not repository.verify_role(
                view, result.missing_role, mailbox
            ):
                return None
        raise RefusedError("too many delegations on the way to a target", DEFAULT_RETRY_AFTER_US)

    def _check_director(self, repository_name: str, image: TargetFile) -> None:
        """Uptane: raises BadRequestError unless the director agrees, or need not have named the image."""
        uptane_settings = self.settings.uptane
        if uptane_settings is None or repository_name != uptane_settings.image:
            return
        director = self.repositories[uptane_settings.director]
        verdict = self._compare_with_director(director, image)
        if verdict != uptane.AGREED:
            # The director may have published something newer since it was last asked.
            director.newest_view(Mailbox(self.scheduler))
            verdict = self._compare_with_director(director, image)
        if verdict == uptane.DISAGREE:
            self.counters.add("uptane_disagree")
            raise BadRequestError(409, "director and image repository disagree on this image")
        if verdict == uptane.UNDIRECTED and uptane_settings.directed_only:
            raise BadRequestError(404, "the director names no such image")

    def _compare_with_director(self, director: Repository, image: TargetFile) -> str:
        """Compares with the current and the previous view: vehicles may be in the middle of a refresh."""
        if not director.trust.is_usable(self.scheduler.now()):
            director.newest_view(Mailbox(self.scheduler))
        views = [
            view
            for view in (director.trust.view, director.trust.previous_view)
            if view and not view.is_expired(self.scheduler.now())
        ]
        directed = [
            self._search_target(director, view, image.path, Mailbox(self.scheduler)) for view in views
        ]
        return uptane.compare_image(image, [target for target in directed if target])

    def _send_file(
        self,
        client: Client,
        head: RequestHead,
        reading: Download,
        former_length: int | None,
        mark_outdated: Callable[[], None],
        response: FileResponse,
    ) -> bool:
        """Sends a file to the client part by part, and notices if the client leaves meanwhile.

        Once its head is sent, the response ends complete or with the connection.
        """
        if self._has_left(client, TARGET):
            return False
        timeout = self.timeouts[TARGET]
        due = self.scheduler.now() + timeout
        acknowledgements, mailbox = Mailbox(self.scheduler), Mailbox(self.scheduler)
        request = FileRequest(
            self.new_req_name(),
            head.path,
            timeout // MILLISECOND_US,
            reading,
            former_length,
            client.mailbox,
            acknowledgements,
            mark_outdated,
        )
        conn = client.conn
        self.lifecycle.begin(
            request, mailbox, client.mailbox, conn.peer_has_closed, close_is_hidden=conn.may_hide_close
        )
        floor, floor_over = self.settings.limits.floor, self.settings.limits.floor_over
        monitor = ThroughputMonitor(floor, CLIENT_WINDOW_FACTOR * floor_over)
        begun, stays = False, head.stays
        while message := self.admission.next_message(client):
            kind, *content = message
            if kind == PART:
                raw = b""
                if not begun:
                    begun, stays = True, stays and not client.stopping
                    raw = http_messages.build_response(
                        head, response.status, response.fields, response.length, stays
                    )
                if self._write(client, raw + content[0], due, monitor):
                    acknowledgements.put(True)
                    continue
                self.counters.add("clients_left")
            elif kind == ANSWER:
                end, retry_after = content
                if end == COMPLETED:
                    self.counters.add(f"answers.{response.status}")
                    return stays and not client.stopping
                if not begun and end == SHED:
                    raise RefusedError("no mirror gives it now", max(retry_after, SECOND_US))
                if not begun:
                    raise BadRequestError(502, "no mirror gave what is proven")
            # What was sent can't be completed, or nobody reads it.
            self.counters.add("answers.cut")
            mailbox.put((GONE,))
            acknowledgements.put(False)
            client.conn.close()
            return False
        self.counters.add("clients_left")
        mailbox.put((GONE,))
        acknowledgements.put(False)
        return False

    def _has_left(self, client: Client, route: str) -> bool:
        """Returns whether a client had left before its req began.

        Requests sent ahead are read late; they are not forwarded for a client that has left.
        """
        if not client.conn.peer_has_closed():
            return False
        self.counters.add("clients_left")
        self.counters.add(f"reqs.{route}.{WITHDRAWN}")
        return True

    def _write(self, client: Client, data: bytes, due: int, monitor: ThroughputMonitor) -> bool:
        """Writes a part; returns False for a client that reads too slowly, however little at a time."""
        view, offset = memoryview(data), 0
        while offset < len(data):
            began = self.scheduler.now()
            piece = view[offset : offset + CLIENT_WRITE_BYTES]
            if not client.conn.write(piece, min(due, began + monitor.window_left())):
                return False
            offset += len(piece)
            if not monitor.record(self.scheduler.now() - began, len(piece)):
                self.counters.add("clients_slow")
                return False
        return True

    # Manifests

    def _handle_manifest(self, client: Client, head: RequestHead) -> bool:
        if head.length > self.settings.limits.manifest:
            raise BadRequestError(413, f"a manifest over {self.settings.limits.manifest} bytes")
        if "content-length" not in head.fields:
            raise BadRequestError(411, "a manifest names its length")
        body = self._read_body(client, head)
        if body is None:
            return False
        try:
            manifest = uptane.parse_manifest(body, self.settings.uptane.counter)
        except ManifestError as error:
            raise BadRequestError(400, f"no manifest: {error}") from None
        if self._has_left(client, MANIFEST):
            return False
        action, answer = self.manifests.begin(
            self.scheduler.now(), manifest.key, None if self.manifests.deduplicated else client.number
        )
        if action == uptane.ANSWER:
            self.counters.add("manifests_given_again")
            return self._respond(client, head, answer.status, {}, answer.body)
        if action == uptane.WAIT:
            return self._respond_text(client, head, 503, "this manifest is under way", DEFAULT_RETRY_AFTER_US)
        if action == uptane.UNKNOWN:
            return self._respond_text(
                client, head, 409, "this manifest may have been taken; it is not sent again"
            )
        return self._send_manifest(client, head, manifest.key, body)

    def _read_body(self, client: Client, head: RequestHead) -> bytes | None:
        """Returns a manifest's bytes; None if they don't arrive in time."""
        conn, body = client.conn, bytearray()
        now = self.scheduler.now()
        deadline = now + self.limits.message_time
        self.admission.partial[client] = now
        if head.fields.get("expect", "").lower() == "100-continue":
            conn.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        while True:
            count = min(len(conn.buffer), head.length - len(body))
            body += conn.buffer.data[conn.buffer.start : conn.buffer.start + count]
            conn.buffer.skip(count)
            if len(body) == head.length:
                self.admission.end_message(client)
                return bytes(body)
            client.body_bytes = len(body)
            if not self.admission.wait_for_memory(client):
                return None
            if conn.read(deadline + client.memory_wait) != GOT:
                self.counters.add("clients_faults.408")
                self.admission.close_with_reply(client, self._timeout_response())
                return None

    def _send_manifest(self, client: Client, head: RequestHead, key: bytes, body: bytes) -> bool:
        mailbox = Mailbox(self.scheduler)
        content_type = head.fields.get("content-type", "application/json")
        timeout_ms = self.timeouts[MANIFEST] // MILLISECOND_US
        request = ManifestRequest(self.new_req_name(), head.path, timeout_ms, body, content_type)
        state = uptane.LOST  # unless an answer says more
        on_over = self.admission.hold_message(len(body))
        if on_over is None:
            self.manifests.end(self.scheduler.now(), key, "")
            raise RefusedError("too many large manifests are under way", DEFAULT_RETRY_AFTER_US)
        conn = client.conn
        self.lifecycle.begin(
            request, mailbox, client.mailbox, conn.peer_has_closed, on_over, conn.may_hide_close
        )
        try:
            while message := self.admission.next_message(client):
                kind, *content = message
                if kind != ANSWER:
                    continue
                end, result = content
                if end == COMPLETED:
                    state = uptane.DONE
                    self.manifests.end(self.scheduler.now(), key, state, result)
                    return self._respond(client, head, result.status, {}, result.body)
                if end == SHED:
                    state = ""
                    retry_after = max(result, SECOND_US)
                    return self._respond_text(client, head, 503, "no director takes it now", retry_after)
                return self._respond_text(client, head, 502, "the manifest may have been taken")
            self.counters.add("clients_left")
            mailbox.put((GONE,))
            return False
        finally:
            if state != uptane.DONE:
                self.manifests.end(self.scheduler.now(), key, state)
