"""One repository as the front serves it: verified metadata, a refresh that all share, delegated roles."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.fronts.tuf import freshness
from laurelcourse.fronts.tuf.exchange import MetadataRequest
from laurelcourse.fronts.tuf.freshness import Freshness, FreshnessBounds
from laurelcourse.fronts.tuf.trust import (
    MAX_ROLES,
    OUTDATED,
    ROOT,
    SNAPSHOT,
    TIMESTAMP,
    VERIFIED,
    Assessment,
    Refresh,
    Trust,
    VerifiedFile,
    View,
    WantedFile,
)
from laurelcourse.net.counters import Counters
from laurelcourse.net.req import ANSWER, COMPLETED, SHED, ReqLifecycle
from laurelcourse.net.scheduler import LATE, Mailbox, Scheduler
from laurelcourse.prng import Prng

MILLISECOND_US = 1000

log = logging.getLogger(__name__)


class RefusedError(Exception):
    """Nothing that is verified can be served now; `retry_after` is in microseconds."""

    def __init__(self, why: str, retry_after: int) -> None:
        super().__init__(why)
        self.retry_after = retry_after


class MetadataFile(NamedTuple):
    """A file to serve."""

    raw: bytes
    age: int  # microseconds since a mirror last confirmed it


class SharedTask:
    """A task in progress, and the mailboxes of all that wait for it."""

    def __init__(self) -> None:
        self.waiting: set[Mailbox] = set()
        self.is_over = False

    def end(self) -> None:
        """Wakes all that wait."""
        self.is_over = True
        for mailbox in self.waiting:
            mailbox.put(None)


class Repository:
    """One repository of a front."""

    def __init__(
        self,
        name: str,
        prefix: str,
        trust: Trust,
        bounds: FreshnessBounds,
        timeout: int,
        scheduler: Scheduler,
        lifecycle: ReqLifecycle,
        new_req_name: Callable[[], str],
        rng: Prng,
        counters: Counters,
        on_adopted: Callable[["Repository"], None],
    ) -> None:
        """`on_adopted` is called with each newer view."""
        self.name = name
        self.prefix = prefix
        self.trust = trust
        self.timeout = timeout
        self.scheduler = scheduler
        self.lifecycle = lifecycle
        self.new_req_name = new_req_name
        self.counters = counters
        self.on_adopted = on_adopted
        self.freshness = Freshness(bounds, rng)
        self.refreshing: SharedTask | None = None
        self.roots_pending_since = 0  # 0: there are none
        self.role_tasks: dict[str, SharedTask] = {}  # by snapshot version and role
        self.retry_after = freshness.MIN_RETRY_AFTER_US

    # For the front

    def newest_view(self, mailbox: Mailbox) -> View:
        """Returns the view for a request for the newest; waits with `mailbox`. Raises RefusedError."""
        now = self.scheduler.now()
        due = now + self.timeout
        while True:
            now = self.scheduler.now()
            is_usable = self.trust.is_usable(now)
            decision = self.freshness.decide(now, is_usable)
            if decision == freshness.SERVE:
                return self.trust.view
            if decision == freshness.REFUSE:
                raise RefusedError("no mirror gives what can be proven", self.freshness.retry_after(now))
            if decision == freshness.REFRESH:
                self.refreshing = SharedTask()
                self.freshness.begin(now)
                self.scheduler.spawn(self._refresh, self.refreshing)
            else:
                self.counters.add("refresh_joined")
            deadline = self.freshness.wait_deadline(now, is_usable, due)
            if not self._wait(self.refreshing, mailbox, deadline):
                now = self.scheduler.now()
                if self.freshness.may_serve(now, self.trust.is_usable(now)):
                    self.counters.add("given_by_age")
                    return self.trust.view
                raise RefusedError("no mirror answers in time", self.freshness.retry_after(now))

    def find_metadata(
        self, name: str, pinned: View | None, mailbox: Mailbox
    ) -> tuple[MetadataFile | None, View | None]:
        """Returns a metadata file, None if it does not exist, and the view that the client has then.

        `pinned`: the view that the client has. Raises RefusedError.
        """
        trust = self.trust
        role, version = trust.parse_name(name)
        if not role:
            return None, pinned
        if role == TIMESTAMP:
            pinned = self.newest_view(mailbox)
            return self._serve(pinned.timestamp), pinned
        if role == ROOT and version == trust.root.version + 1:
            # A client that asks for the next root begins a refresh, and so does the relay.
            self.newest_view(mailbox)
        if pinned is not None and pinned is not trust.view and pinned is not trust.previous_view:
            # Its view is no longer held, and its keys may be revoked; a file of another one would be a
            # mixture.
            if version is None and role != ROOT:
                return None, None
            pinned = None
        pinned = pinned or trust.view
        file = trust.find_file(role, version, pinned)
        if file is None and role != ROOT:
            file = self._find_in_newest(role, version, pinned, mailbox)
        return self._serve(file) if file else None, pinned

    def _find_in_newest(
        self, role: str, version: int | None, pinned: View | None, mailbox: Mailbox
    ) -> VerifiedFile | None:
        view = pinned or self.newest_view(mailbox)
        known = view.file(role)
        if known and version is not None and version > known.version:
            # The client has a newer timestamp from elsewhere.
            view = self.newest_view(mailbox)
        file = self.trust.find_file(role, version, view)
        if file is None and role != SNAPSHOT:
            file = self._find_role(view, role, version, mailbox)
        return file

    def _serve(self, file: VerifiedFile) -> MetadataFile:
        """Raises RefusedError for expired files, except for the roots that lead to the newest one."""
        now = self.scheduler.now()
        if file.is_expired(now) and (file.role != ROOT or file.version == self.trust.root.version):
            raise RefusedError(f"{file.role} has expired", self.freshness.retry_after(now))
        return MetadataFile(file.raw, self.freshness.age(now))

    def _find_role(self, view: View, role: str, version: int | None, mailbox: Mailbox) -> VerifiedFile | None:
        """Returns a delegated role, verified with those on the way to it; None if none leads there."""
        for _ in range(MAX_ROLES):
            if role in view.roles:
                file = view.roles[role]
                return file if version in (None, file.version) else None
            next_role = self.trust.next_role_towards(view, role)
            if next_role is None or not self.verify_role(view, next_role, mailbox):
                return None
        return None

    def verify_role(self, view: View, role: str, mailbox: Mailbox) -> bool:
        """Fetches and verifies a role of this view, once for all that ask.

        Returns False if the view has no such role. Raises RefusedError if no mirror gives it.
        """
        wanted = self.trust.wanted_role_file(view, role)
        if wanted is None:
            return False
        key = f"{view.snapshot.version} {role}"
        if key not in self.role_tasks:
            self.role_tasks[key] = SharedTask()
            self.scheduler.spawn(self._fetch_role, key, view, wanted)
        self._wait(self.role_tasks[key], mailbox, self.scheduler.now() + self.timeout)
        if role not in view.roles:
            raise RefusedError(f"no mirror gives {role}", self.retry_after)
        return True

    # Requests to mirrors

    def _wait(self, task: SharedTask, mailbox: Mailbox, deadline: int) -> bool:
        """Returns whether a task ended in time. The mailbox is the caller's own, and is empty meanwhile."""
        task.waiting.add(mailbox)
        try:
            while not task.is_over and self.scheduler.now() < deadline:
                if self.scheduler.wait(box=mailbox, until=deadline) != LATE:
                    mailbox.items.clear()
        finally:
            task.waiting.discard(mailbox)
            mailbox.items.clear()
        return task.is_over

    def _refresh(self, task: SharedTask) -> None:
        """Fetches root, timestamp, snapshot, targets, each from whichever mirror gives a verified one."""
        refresh, view_before = Refresh(self.trust), self.trust.view
        began, root_before = self.scheduler.now(), self.trust.root.version
        try:
            while (wanted := refresh.next_file()) and (
                self._fetch(wanted, lambda raw: self._add(refresh, raw), began + self.timeout)
                or refresh.try_again()
            ):
                pass
        finally:
            now = self.scheduler.now()
            self._adopt_overdue_roots(now)
            self.freshness.end(now, refresh.done, self.trust.is_usable(now))
            self.counters.add("refresh_worked" if refresh.done else "refresh_failed")
            self.refreshing = None
            task.end()
        if self.trust.view is not view_before or self.trust.root.version != root_before:
            self.on_adopted(self)

    def _adopt_overdue_roots(self, now: int) -> None:
        """Revoked keys are trusted no longer than a refresh may take, whatever the mirrors give."""
        if not self.trust.pending_roots:
            self.roots_pending_since = 0
        elif not self.roots_pending_since:
            self.roots_pending_since = now
        elif now - self.roots_pending_since >= self.timeout:
            self.trust.adopt_pending_roots()
            self.roots_pending_since = 0

    def _add(self, refresh: Refresh, raw: bytes | None) -> Assessment:
        if raw is None:
            return refresh.add_missing()
        return refresh.add(raw, self.scheduler.now())

    def _fetch_role(self, key: str, view: View, wanted: WantedFile) -> None:
        def assess(raw: bytes | None) -> Assessment:
            if raw is None:
                return Assessment(OUTDATED, f"lacks {wanted.role}")
            if wanted.role in view.roles:
                return Assessment(VERIFIED)
            return self.trust.add_role(view, wanted.role, raw, self.scheduler.now())

        task = self.role_tasks[key]
        try:
            self._fetch(wanted, assess, self.scheduler.now() + self.timeout)
        finally:
            del self.role_tasks[key]
            task.end()

    def _fetch(self, wanted: WantedFile, assess: Callable[[bytes | None], Assessment], due: int) -> bool:
        """Runs one req for a metadata file; returns whether a mirror gave a verified one."""
        left_ms = (due - self.scheduler.now()) // MILLISECOND_US
        if left_ms <= 0:
            return False
        mailbox, answers = Mailbox(self.scheduler), Mailbox(self.scheduler)
        self.counters.add(f"asked.{wanted.role if wanted.role in (ROOT, TIMESTAMP) else 'other'}")
        request = MetadataRequest(
            self.new_req_name(), self.prefix + wanted.name, left_ms, wanted.max_bytes, assess
        )
        self.lifecycle.begin(request, mailbox, answers)
        kind, end, retry_after = answers.get()
        self.retry_after = freshness.MIN_RETRY_AFTER_US
        if kind == ANSWER and end == SHED and retry_after:
            self.retry_after = retry_after
        return end == COMPLETED
