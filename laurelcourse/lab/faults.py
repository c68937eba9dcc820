"""The script of faults from a seed: one form for tests, the simulation and labs.

Pure: a script is a list of values in the order of their times, whole microseconds from its start. Whoever
carries it out (`lab/host.py`, the simulation) does with each what stands beside its kind below."""

from typing import NamedTuple

from laurelcourse.prng import Prng

KILL, RESTART = "kill", "restart"  # at once, nothing written any more; started anew
PAUSE, WAKE = "pause", "wake"  # SIGSTOP, SIGCONT
KILL_LEADER, KILL_ALL = "kill-leader", "kill-all"  # whoever leads then (named LEADER); all (named ALL)
CUT, SILENT = "cut", "silent"  # between two, both ways: reset and refused; not heard
DEAF = "deaf"  # what the first sends does not reach the second
HALF_OPEN, SLOW, FLAP = "half-open", "slow", "flap"  # between two, both ways
HEAL = "heal"  # the ways between these two, or from and to this site
SITE_CUT = "site-cut"  # all ways between this site and the others
DISK_FULL, DISK_FREE = "disk-full", "disk-free"  # writes are refused; taken again
DISK_TORN, OLD_DISK = "disk-torn", "old-disk"  # killed, its file cut short or an older one put there,
DISK_BACK = "disk-back"  # and started; ended, its own file put back, and started
WRONG_CLOCK, RIGHT_CLOCK = "wrong-clock", "right-clock"  # killed and started with another clock
LEADER, ALL, SITE = "*leader", "*all", "@"  # no relay's name has these; a site's stands after its "@"

ENDS = {
    KILL: RESTART,
    KILL_LEADER: RESTART,
    KILL_ALL: RESTART,
    PAUSE: WAKE,
    CUT: HEAL,
    SILENT: HEAL,
    DEAF: HEAL,
    HALF_OPEN: HEAL,
    SLOW: HEAL,
    FLAP: HEAL,
    SITE_CUT: HEAL,
    DISK_FULL: DISK_FREE,
    DISK_TORN: DISK_BACK,
    OLD_DISK: DISK_BACK,
    WRONG_CLOCK: RIGHT_CLOCK,
}
LINKS = (CUT, SILENT, DEAF, HALF_OPEN, SLOW, FLAP)
DISKS = (DISK_FULL, DISK_TORN, OLD_DISK)
USUAL = (KILL, KILL_LEADER, PAUSE, *LINKS, SITE_CUT, DISK_FULL, WRONG_CLOCK)
QUIET = 6  # a part of the script, at its end, in which nothing but clocks is put right
TRIES = 20  # for a fault that may happen now


class Fault(NamedTuple):
    at: int
    kind: str
    who: tuple[str, ...]  # a relay, two relays, "@" and a site (SITE_CUT, its HEAL), LEADER or ALL
    figure: int = 0  # SLOW: delay; FLAP: period; WRONG_CLOCK: offset. Microseconds
    rate: int = 0  # SLOW: bytes a second; WRONG_CLOCK: parts of a million that it runs fast


class Plan(NamedTuple):
    """What may happen. `down`: keepers that may be down or cut off at once, `members_down` the same of
    members. KILL_ALL, and a SITE_CUT of more keepers than `down`, happen only with `beyond`."""

    keepers: tuple[tuple[str, str], ...]  # name and site
    members: tuple[tuple[str, str], ...] = ()
    lasts: int = 30_000_000
    gap: int = 1_500_000  # between the starts of two faults, about
    lease: int = 3_000_000  # faults last from none to twice as long
    drift: int = 1000  # parts of a million that a wrong clock may run fast or slow
    kinds: tuple[str, ...] = USUAL
    down: int = 1
    members_down: int = 1
    beyond: bool = False


def line(fault: Fault) -> str:
    """A fault as a line for people."""
    figures = {
        SLOW: f" delay={fault.figure / 1000:g}ms rate={fault.rate}B/s",
        FLAP: f" period={fault.figure / 1000:g}ms",
        WRONG_CLOCK: f" offset={fault.figure / 1_000_000:g}s fast={fault.rate}ppm",
    }
    whom = " ".join(fault.who) + figures.get(fault.kind, "")
    return f"{fault.at / 1_000_000:9.3f} s  {fault.kind:12} {whom}"


def script(seed: int, plan: Plan) -> tuple[Fault, ...]:
    """Faults and their ends in order. Every fault has ended when the last `QUIET`th of the time begins, but
    for wrong clocks, which are put right one after the other in the first half of it."""
    return _Writer(Prng(seed), plan).write()


class _Writer:
    def __init__(self, rng: Prng, plan: Plan) -> None:
        self.rng, self.plan = rng, plan
        self.keepers = [name for name, _ in plan.keepers]
        self.members = [name for name, _ in plan.members]
        self.sites = dict((*plan.keepers, *plan.members))
        self.found: list[Fault] = []
        # Who is in trouble, and until when: relays, pairs, sites, LEADER and ALL.
        self.busy: dict[tuple[str, ...], int] = {}
        self.slow: set[tuple[str, ...]] = set()  # of them those that are slow, and not down
        self.clocks: list[str] = []  # whose clock is wrong; other faults may meet them

    def write(self) -> tuple[Fault, ...]:
        plan = self.plan
        last, now = plan.lasts - plan.lasts // QUIET, 0
        while True:
            now += plan.gap // 2 + self.rng.below(plan.gap)
            if now >= last:
                return self._ordered(last)
            for _ in range(TRIES):
                if self._begin(now, last):
                    break

    def _ordered(self, last: int) -> tuple[Fault, ...]:
        step = (self.plan.lasts - last) // 2 // (len(self.clocks) + 1)
        self.found += [
            Fault(last + (place + 1) * step, RIGHT_CLOCK, (name,)) for place, name in enumerate(self.clocks)
        ]
        # Ends come before what begins at the same moment.
        ends = set(ENDS.values())
        return tuple(sorted(self.found, key=lambda one: (one.at, one.kind not in ends, one)))

    def _begin(self, now: int, last: int) -> bool:
        kind = self._one(self.plan.kinds)
        who = self._who(kind)
        self.busy = {one: until for one, until in self.busy.items() if until > now}
        if not who or not self._may(kind, who):
            return False
        ends = min(now + self._lasts(kind), last)
        self.found.append(Fault(now, kind, who, *self._figures(kind)))
        if kind == WRONG_CLOCK:
            self.clocks.append(who[0])
            ends = now
        else:
            self.found.append(Fault(ends, ENDS[kind], who))
        # For a while after its end a fault still counts, since a restart takes its time.
        self.busy[who] = ends + self.plan.gap // 4
        (self.slow.add if kind == SLOW else self.slow.discard)(who)
        return True

    def _one(self, of: tuple | list) -> str:
        return of[self.rng.below(len(of))]

    def _who(self, kind: str) -> tuple[str, ...]:
        if kind == KILL_LEADER:
            return (LEADER,)
        if kind == KILL_ALL:
            return (ALL,)
        if kind == SITE_CUT:
            sites = sorted(set(self.sites.values()))
            return (SITE + self._one(sites),) if len(sites) > 1 else ()
        if kind in DISKS:
            return (self._one(self.keepers),)
        one = self._one([*self.keepers, *self.members])
        if kind not in LINKS:
            return (one,)
        # Members speak to keepers only.
        others = [name for name in self.keepers if name != one]
        if not others:
            return ()
        pair = (one, self._one(others))
        return pair if kind == DEAF and self.rng.below(2) else tuple(reversed(pair))

    def _lasts(self, kind: str) -> int:
        lease = self.plan.lease
        if kind in (KILL, KILL_LEADER, KILL_ALL):
            return self._one((1, lease // 4, lease + lease // 2))
        if kind == PAUSE:
            return self._one((lease // 4, lease + lease // 4, 2 * lease))
        return lease // 2 + self.rng.below(lease + lease // 2)

    def _figures(self, kind: str) -> tuple[int, int]:
        rng, lease = self.rng, self.plan.lease
        if kind == SLOW:
            return lease // 100 + rng.below(lease // 20 + 1), 16 << 10 << rng.below(4)
        if kind == FLAP:
            return lease // 40 + rng.below(lease // 4 + 1), 0
        if kind == WRONG_CLOCK:
            return rng.below(7200) * 1_000_000 - 3_600_000_000, rng.below(
                self.plan.drift
            ) - self.plan.drift // 2
        return 0, 0

    def _relays(self, who: tuple[str, ...]) -> set[str]:
        if who == (ALL,):
            return set(self.sites)
        if who[0].startswith(SITE):
            return {name for name, site in self.sites.items() if SITE + site == who[0]}
        return set(who)

    def _down(self, who: tuple[str, ...]) -> set[str]:
        """Of a pair one is cut off from the other: the member, or of two keepers the second."""
        if len(who) == 2:
            return {next((name for name in who if name in self.members), who[1])}
        return self._relays(who)

    def _may(self, kind: str, who: tuple[str, ...]) -> bool:
        met = [one for one in self.busy if self._relays(one) & self._relays(who)]
        if met or (kind == KILL_ALL and self.busy) or (kind == WRONG_CLOCK and who[0] in self.clocks):
            return False
        # The end of a site's cut would heal what else befalls a way of it.
        if kind == SITE_CUT and any(len(one) == 2 for one in self.busy):
            return False
        if kind in LINKS and any(one[0].startswith(SITE) for one in self.busy):
            return False
        if kind == SLOW or (self.plan.beyond and kind in (KILL_ALL, SITE_CUT)):
            return True
        down = self._down(who).union(*(self._down(one) for one in self.busy if one not in self.slow))
        # Whoever leads may be one that is not in trouble yet.
        keepers = len(down & {*self.keepers, LEADER})
        return keepers <= self.plan.down and len(down & set(self.members)) <= self.plan.members_down
