"""The leader's record of sessions: when each lease has surely expired, and what each relay could use.

Only a leader has one, created each time that it takes the lead; nothing of it is in the log. All times are
microseconds of the leader's own monotonic clock.

Why no relay takes its lease for valid once the keepers have lapsed it:

1. A holder counts `Terms.holder_lease()` from when it asked; a keeper `Terms.keeper_lease()` from when it
   received that, which is later. With both clocks within the stated drift, the first is the shorter one in
   true time.
2. A leader grants a renewal only after a read index that was requested after its receipt has confirmed it: at
   some moment after the receipt, a quorum was still in its term. A later leader was elected by a quorum of
   which one had confirmed before, so it was elected, and applied its own NOOP, after that receipt.
3. So a new leader, which knows nothing of renewals, counts every live session from the application of its own
   NOOP, and that is later than any receipt that a former leader granted on.
4. Once a leader has proposed a Lapse, it grants that session nothing more: the Lapse may be committed at any
   moment. A Lapse that a former leader proposed is either before this leader's NOOP in the log, and then the
   session is not live when the count begins, or it is never committed.
5. A session that is opened while this leader leads is counted from its application, which is later than the
   first request with that mark, from which its holder counts. (Gray and Cheriton, "Leases", 1989.)
"""

from collections.abc import Iterable

from laurelcourse.fleet.orders import Beat, Terms

SILENT_INTERVALS = 2  # renew intervals without a renewal, after which a demand fades


class Member:
    """One session's lease and demands."""

    __slots__ = ("demands", "lapse_proposed", "renewed_at", "reported_at", "uses")

    def __init__(self, renewed_at: int) -> None:
        self.renewed_at = renewed_at  # the lease counts from here
        self.lapse_proposed = False
        self.demands: dict[str, int] | None = None  # None: not reported to this leader yet
        self.uses: dict[str, int] = {}
        self.reported_at = renewed_at


class Members:
    """All live sessions."""

    __slots__ = ("by_session", "next_expiry", "terms")

    def __init__(self, terms: Terms, now: int, live: Iterable[int]) -> None:
        """`live`: the sessions in the state machine when the leader's own NOOP was applied, `now`."""
        self.terms = terms
        self.by_session = {session: Member(now) for session in sorted(live)}
        self.next_expiry = now + terms.keeper_lease()  # no lease expires earlier; updated only then

    def follow(self, now: int, live: Iterable[int]) -> None:
        """After an entry was applied: new sessions are counted from `now`, ended ones are forgotten."""
        live_sessions = set(live)
        for session in sorted(live_sessions - self.by_session.keys()):
            self.by_session[session] = Member(now)
        for session in sorted(self.by_session.keys() - live_sessions):
            del self.by_session[session]

    def refuses(self, session: int) -> bool:
        """Returns whether a renewal would be refused now."""
        member = self.by_session.get(session)
        return member is None or member.lapse_proposed

    def renew(self, received_at: int, beat: Beat) -> bool:
        """Renews a lease, once a read index requested after `received_at` has confirmed the leader.

        Returns False if the renewal is refused.
        """
        if self.refuses(beat.fence.session):
            return False
        member = self.by_session[beat.fence.session]
        if received_at >= member.reported_at:
            member.demands, member.uses = dict(beat.demands), dict(beat.uses)
            member.reported_at = received_at
        member.renewed_at = max(member.renewed_at, received_at)
        return True

    def take_expired(self, now: int) -> list[int]:
        """Returns the sessions whose leases have expired; from now on their renewals are refused."""
        if now < self.next_expiry:
            return []
        expired = [
            session
            for session, member in sorted(self.by_session.items())
            if not member.lapse_proposed and now >= member.renewed_at + self.terms.keeper_lease()
        ]
        for session in expired:
            self.by_session[session].lapse_proposed = True
        renewed = [member.renewed_at for member in self.by_session.values() if not member.lapse_proposed]
        self.next_expiry = min(renewed, default=now) + self.terms.keeper_lease()
        return expired

    def cancel_lapse(self, session: int) -> None:
        """The session's Lapse was refused and never entered the log."""
        if session in self.by_session:
            member = self.by_session[session]
            member.lapse_proposed = False
            self.next_expiry = min(self.next_expiry, member.renewed_at + self.terms.keeper_lease())

    def due(self) -> int:
        """Returns when `take_expired` has to be called next."""
        return self.next_expiry

    def demand(self, now: int, session: int, budget: str, held: int) -> int:
        """Returns what the session could use.

        That is what it reported, or what it holds until it has reported to this leader: a new leader must not
        ask everything back. After SILENT_INTERVALS without a renewal it falls evenly, to zero at the lease's
        end.
        """
        member = self.by_session.get(session)
        if member is None or member.lapse_proposed:
            return 0
        silent_time = SILENT_INTERVALS * self.terms.renew_interval
        fade_time = max(self.terms.lease - silent_time, 1)
        left = min(max(fade_time - (now - member.reported_at - silent_time), 0), fade_time)
        return (held if member.demands is None else member.demands.get(budget, 0)) * left // fade_time

    def used_ppm(self, session: int, budget: str) -> int:
        """Returns parts in a million that were used of what was granted; -1 if not reported."""
        return self.by_session[session].uses.get(budget, -1)

    def wanted(self) -> dict[str, list[int]]:
        """Returns the sessions that reported a demand, by budget (`name` or `name/key`)."""
        sessions_by_budget: dict[str, list[int]] = {}
        for session, member in sorted(self.by_session.items()):
            for budget in member.demands or ():
                sessions_by_budget.setdefault(budget, []).append(session)
        return sessions_by_budget
