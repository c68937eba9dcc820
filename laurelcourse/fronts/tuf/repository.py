"""One repository as the front serves it: what is proven, the refresh that all share, roles on the way."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from laurelcourse.fronts.tuf import decide_fresh
from laurelcourse.fronts.tuf.decide_fresh import Freshness
from laurelcourse.fronts.tuf.exchange import Fetch
from laurelcourse.fronts.tuf.trust import (
    BEHIND,
    MOST_ROLES,
    PROVEN,
    ROOT,
    SNAPSHOT,
    TIMESTAMP,
    Offer,
    Proven,
    Refresh,
    Trust,
    View,
    Want,
)
from laurelcourse.net.counters import Counters
from laurelcourse.net.req import ANSWER, COMPLETED, SHED, ReqLifecycle
from laurelcourse.net.scheduler import Mailbox, Scheduler
from laurelcourse.prng import Prng

log = logging.getLogger(__name__)


class RefusedError(Exception):
    """Nothing that is proven can be given now; `back` is when to come back, in microseconds."""

    def __init__(self, why: str, back: int) -> None:
        super().__init__(why)
        self.back = back


class Given(NamedTuple):
    raw: bytes
    age: int  # microseconds since a mirror last bore it out


class Shared:
    """One question under way, for all who wait on it."""

    def __init__(self) -> None:
        self.waiting: set[Mailbox] = set()
        self.over = False

    def end(self) -> None:
        self.over = True
        for box in self.waiting:
            box.put(None)


class Repository:
    def __init__(
        self,
        name: str,
        prefix: str,
        trust: Trust,
        bounds: decide_fresh.Bounds,
        timeout: int,
        scheduler: Scheduler,
        lives: ReqLifecycle,
        names: Callable[[], str],
        rng: Prng,
        counters: Counters,
        adopted: Callable[["Repository"], None],
    ) -> None:
        """`names` gives a req's name; `adopted` hears of each newer view."""
        self.name, self.prefix, self.trust, self.timeout = name, prefix, trust, timeout
        self.scheduler, self.lifecycle, self.names, self.counters = scheduler, lives, names, counters
        self.adopted = adopted
        self.fresh = Freshness(bounds, rng)
        self.refreshing: Shared | None = None
        self.ahead_since = 0  # when later roots came that no whole view is proven under
        self.roles: dict[str, Shared] = {}
        self.back = decide_fresh.COME_BACK_LEAST

    # -- what the front asks

    def newest(self, box: Mailbox) -> View:
        """The view to give to one who asks for the newest; raises RefusedError. `box` is where to wake it."""
        now = self.scheduler.now()
        due = now + self.timeout
        while True:
            now = self.scheduler.now()
            usable = self.trust.usable(now)
            verdict = self.fresh.ask(now, usable)
            if verdict == decide_fresh.GIVE:
                return self.trust.view
            if verdict == decide_fresh.REFUSE:
                raise RefusedError("no mirror gives what can be proven", self.fresh.come_back(now))
            if verdict == decide_fresh.BEGIN:
                self.refreshing = Shared()
                self.fresh.begin(now)
                self.scheduler.spawn(self._refresh, self.refreshing)
            else:
                self.counters.add("refresh_joined")
            if not self._wait(self.refreshing, box, self.fresh.waits_until(now, usable, due)):
                now = self.scheduler.now()
                if self.fresh.may_serve(now, self.trust.usable(now)):
                    self.counters.add("given_by_age")
                    return self.trust.view
                raise RefusedError("no mirror answers in time", self.fresh.come_back(now))

    def metadata(self, name: str, pinned: View | None, box: Mailbox) -> tuple[Given | None, View | None]:
        """A metadata file, and the view that the client holds by now; None for one that is not there."""
        trust = self.trust
        role, version = trust.named(name)
        if not role:
            return None, pinned
        if role == TIMESTAMP:
            pinned = self.newest(box)
            return self._given(pinned.timestamp), pinned
        if role == ROOT and version == trust.root.version + 1:
            # Whoever asks for the next root is at the beginning of a refresh: so is the relay.
            self.newest(box)
        if pinned is not None and pinned is not trust.view and pinned is not trust.before:
            # Its view is held no more, and may have lost its keys; a file of another would be mixed with it.
            if version is None and role != ROOT:
                return None, None
            pinned = None
        pinned = pinned or trust.view
        found = trust.held(role, version, pinned)
        if found is None and role != ROOT:
            view = pinned or self.newest(box)
            have = view.of(role)
            if have and version is not None and version > have.version:
                # It has a newer timestamp from elsewhere.
                view = self.newest(box)
            found = trust.held(role, version, view)
            if found is None and role != SNAPSHOT:
                found = self._role(view, role, version, box)
        return self._given(found) if found else None, pinned

    def _given(self, found: Proven) -> Given:
        """Whatever has expired by now is not given, but for the roots that lead to the newest."""
        now = self.scheduler.now()
        if found.expired(now) and (found.role != ROOT or found.version == self.trust.root.version):
            raise RefusedError(f"{found.role} has expired", self.fresh.come_back(now))
        return Given(found.raw, self.fresh.age(now))

    def _role(self, view: View, role: str, version: int | None, box: Mailbox) -> Proven | None:
        """A delegated role, proven with those on the way to it; None if none leads there."""
        for _ in range(MOST_ROLES):
            if role in view.roles:
                found = view.roles[role]
                return found if version in (None, found.version) else None
            need = self.trust.reach(view, role)
            if need is None or not self.prove(view, need, box):
                return None
        return None

    def prove(self, view: View, role: str, box: Mailbox) -> bool:
        """Fetches and proves a role of this view, once for all who ask; False if the view knows none so
        named. Raises RefusedError if no mirror gives it."""
        want = self.trust.want_role(view, role)
        if want is None:
            return False
        key = f"{view.snapshot.version} {role}"
        if key not in self.roles:
            self.roles[key] = Shared()
            self.scheduler.spawn(self._prove, key, view, want)
        self._wait(self.roles[key], box, self.scheduler.now() + self.timeout)
        if role not in view.roles:
            raise RefusedError(f"no mirror gives {role}", self.back)
        return True

    # -- questions under way

    def _wait(self, shared: Shared, box: Mailbox, until: int) -> bool:
        """Whether it ended by then. The box is the waiter's own, and holds nothing else meanwhile."""
        shared.waiting.add(box)
        try:
            while not shared.over and self.scheduler.now() < until:
                if self.scheduler.wait(box=box, until=until) != "late":
                    box.items.clear()
        finally:
            shared.waiting.discard(box)
            box.items.clear()
        return shared.over

    def _refresh(self, shared: Shared) -> None:
        """Root, timestamp, snapshot, targets, each at whichever mirror gives what is proven."""
        refresh, before = Refresh(self.trust), self.trust.view
        began, roots = self.scheduler.now(), self.trust.root.version
        try:
            while (want := refresh.wants()) and (
                self._fetch(want, lambda raw: self._judged(refresh, raw), began + self.timeout)
                or refresh.failed()
            ):
                pass
        finally:
            now = self.scheduler.now()
            self._settle(now)
            self.fresh.ended(now, refresh.done, self.trust.usable(now))
            self.counters.add("refresh_worked" if refresh.done else "refresh_failed")
            self.refreshing = None
            shared.end()
        if self.trust.view is not before or self.trust.root.version != roots:
            self.adopted(self)

    def _settle(self, now: int) -> None:
        """Revoked keys are trusted no longer than a refresh may take, whatever the mirrors give."""
        if not self.trust.ahead:
            self.ahead_since = 0
        elif not self.ahead_since:
            self.ahead_since = now
        elif now - self.ahead_since >= self.timeout:
            self.trust.settle()
            self.ahead_since = 0

    def _judged(self, refresh: Refresh, raw: bytes | None) -> Offer:
        if raw is None:
            return refresh.lacks()
        return refresh.offer(raw, self.scheduler.now())

    def _prove(self, key: str, view: View, want: Want) -> None:
        def judge(raw: bytes | None) -> Offer:
            if raw is None:
                return Offer(BEHIND, f"lacks {want.role}")
            if want.role in view.roles:
                return Offer(PROVEN)
            return self.trust.offer_role(view, want.role, raw, self.scheduler.now())

        shared = self.roles[key]
        try:
            self._fetch(want, judge, self.scheduler.now() + self.timeout)
        finally:
            del self.roles[key]
            shared.end()

    def _fetch(self, want: Want, judge: Callable[[bytes | None], Offer], due: int) -> bool:
        """One req for a file of metadata, through the same life as any; whether a mirror gave it proven."""
        left = (due - self.scheduler.now()) // 1000
        if left <= 0:
            return False
        box, answers = Mailbox(self.scheduler), Mailbox(self.scheduler)
        self.counters.add(f"asked.{want.role if want.role in (ROOT, TIMESTAMP) else 'other'}")
        fetch = Fetch(self.names(), self.prefix + want.name, left, want.most, judge)
        self.lifecycle.begin(fetch, box, answers)
        what, end, told = answers.get()
        self.back = told if what == ANSWER and end == SHED and told else decide_fresh.COME_BACK_LEAST
        return end == COMPLETED
