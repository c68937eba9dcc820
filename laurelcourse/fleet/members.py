"""The leader's account of sessions: when each lease is surely over, and what each relay could use.

Only a leader has one, made anew each time that it takes the lead; nothing of it is in the log. All times are
microseconds of the leader's own monotonic clock.

Why no relay thinks its lease usable once the keepers have lapsed it:
1. A holder counts `Terms.holds()` from when it asked; a keeper `Terms.binds()` from when it heard, which is
   later. With both clocks within the stated drift, the first is the shorter one in true time.
2. A leader grants a renewal only after a read index begun after it heard has confirmed it: at some moment
   after the hearing, a quorum still held to its term. A later leader was elected by a quorum of which one
   had confirmed before, so it was elected, and applied its own NOOP, after that hearing.
3. So a new leader, which knows nothing of renewals, counts every live session from its own NOOP's
   application, and that is later than any hearing that a former leader granted on.
4. Once a leader has proposed a Lapse, it grants that session nothing more: the Lapse may be committed at any
   moment. A Lapse that a former leader proposed is either before this leader's NOOP in the log, and then the
   session is not live when the count begins, or it is never committed.
5. A session that is opened while this leader leads is counted from its application, which is later than the
   first asking with that mark, from which its holder counts. (Gray and Cheriton, "Leases", 1989.)
"""

from collections.abc import Iterable

from laurelcourse.fleet.orders import Beat, Terms

QUIET = 2  # beats without a word, after which a demand fades


class Member:
    __slots__ = ("demands", "heard", "lapsing", "told", "uses")

    def __init__(self, heard: int) -> None:
        self.heard = heard  # the lease counts from here
        self.lapsing = False  # a Lapse has been proposed
        self.demands: dict[str, int] | None = None  # not told since this leader began
        self.uses: dict[str, int] = {}
        self.told = heard


class Members:
    __slots__ = ("live", "soonest", "terms")

    def __init__(self, terms: Terms, now: int, live: Iterable[int]) -> None:
        """`live`: the sessions in the books as the leader's own NOOP was applied, `now`."""
        self.terms = terms
        self.live = {session: Member(now) for session in sorted(live)}
        self.soonest = now + terms.binds()  # no lease is over before; looked up anew only then

    def follow(self, now: int, live: Iterable[int]) -> None:
        """As an entry has been applied: sessions opened are counted from `now`, those ended are forgotten."""
        there = set(live)
        for session in sorted(there - self.live.keys()):
            self.live[session] = Member(now)
        for session in sorted(self.live.keys() - there):
            del self.live[session]

    def refuses(self, session: int) -> bool:
        """Whether a renewal would be refused if it came now."""
        one = self.live.get(session)
        return one is None or one.lapsing

    def renewed(self, heard: int, beat: Beat) -> bool:
        """To be called when a read index begun after `heard` has confirmed the lead; False: refused."""
        if self.refuses(beat.fence.session):
            return False
        one = self.live[beat.fence.session]
        if heard >= one.told:
            one.demands, one.uses, one.told = dict(beat.demands), dict(beat.uses), heard
        one.heard = max(one.heard, heard)
        return True

    def over(self, now: int) -> list[int]:
        """Sessions that are to be lapsed; from now on their renewals are refused."""
        if now < self.soonest:
            return []
        ended = [
            session
            for session, one in sorted(self.live.items())
            if not one.lapsing and now >= one.heard + self.terms.binds()
        ]
        for session in ended:
            self.live[session].lapsing = True
        heard = [one.heard for one in self.live.values() if not one.lapsing]
        self.soonest = min(heard, default=now) + self.terms.binds()
        return ended

    def spare(self, session: int) -> None:
        """Its Lapse was refused and never stood in the log."""
        if session in self.live:
            self.live[session].lapsing = False
            self.soonest = min(self.soonest, self.live[session].heard + self.terms.binds())

    def due(self) -> int:
        """When `over` is to be asked next."""
        return self.soonest

    def demand(self, now: int, session: int, budget: str, held: int) -> int:
        """What the session could use: as it told, or what it holds until it has told this leader anything
        (a new leader must not ask everything back). After `QUIET` beats without a word it falls evenly, to
        nothing at the end of the lease."""
        one = self.live.get(session)
        if one is None or one.lapsing:
            return 0
        least = QUIET * self.terms.beat
        fades = max(self.terms.lease - least, 1)
        left = min(max(fades - (now - one.told - least), 0), fades)
        return (held if one.demands is None else one.demands.get(budget, 0)) * left // fades

    def used_of(self, session: int, budget: str) -> int:
        """Parts in a million of what it was granted, -1: not told."""
        return self.live[session].uses.get(budget, -1)

    def wanted(self) -> dict[str, list[int]]:
        """The sessions that told a demand, by budget (`name` or `name/key`)."""
        found: dict[str, list[int]] = {}
        for session, one in sorted(self.live.items()):
            for name in one.demands or ():
                found.setdefault(name, []).append(session)
        return found
