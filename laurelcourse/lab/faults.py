"""Scripts of faults, drawn from a seed, for labs and tests.

A script is a tuple of faults in the order of their times, whole microseconds from its start. `cluster.py`
injects them into real processes.
"""

from typing import NamedTuple

from laurelcourse.prng import Prng

# Kinds of faults. Processes: killed without writing anything more, started again, stopped and continued by
# signals. KILL_LEADER has LEADER as its target, KILL_ALL has ALL.
KILL = "kill"
RESTART = "restart"
PAUSE = "pause"
WAKE = "wake"
KILL_LEADER = "kill-leader"
KILL_ALL = "kill-all"

# Links between two relays, in both directions but for DEAF, where nothing of the first reaches the second.
CUT = "cut"
SILENT = "silent"
DEAF = "deaf"
HALF_OPEN = "half-open"
SLOW = "slow"
FLAP = "flap"
HEAL = "heal"  # a link, or all links of a site
SITE_CUT = "site-cut"  # all links between a site and the others are silent

# Disks of keepers. All but DISK_FULL and DISK_FREE kill the process, and start it again.
DISK_FULL = "disk-full"
DISK_FREE = "disk-free"
DISK_TORN = "disk-torn"  # the largest file is cut short
OLD_DISK = "old-disk"  # an older copy is put there
DISK_BACK = "disk-back"  # the disk from before is put back

# Clocks: killed, and started with another clock.
WRONG_CLOCK = "wrong-clock"
RIGHT_CLOCK = "right-clock"

# Targets that are no relay's name; the name of a site follows its prefix.
LEADER = "*leader"
ALL = "*all"
SITE = "@"

# The kind that ends a fault, by its kind.
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
LINK_FAULTS = (CUT, SILENT, DEAF, HALF_OPEN, SLOW, FLAP)
DISK_FAULTS = (DISK_FULL, DISK_TORN, OLD_DISK)
DEFAULT_KINDS = (KILL, KILL_LEADER, PAUSE, *LINK_FAULTS, SITE_CUT, DISK_FULL, WRONG_CLOCK)

QUIET_FRACTION = 6  # the last sixth of a script has no faults but wrong clocks, which are put right in it
ATTEMPTS = 20  # to draw a fault that is possible at its time
SECOND_US = 1_000_000
MAX_CLOCK_OFFSET_SECONDS = 3600


class Fault(NamedTuple):
    """A fault, or the end of one."""

    at: int  # microseconds from the start of the script
    kind: str
    targets: tuple[str, ...]  # a relay, two relays, SITE and a site's name, LEADER or ALL
    value: int = 0  # SLOW: delay; FLAP: period; WRONG_CLOCK: offset. Microseconds
    rate: int = 0  # SLOW: bytes per second; WRONG_CLOCK: parts per million that it runs fast


class Plan(NamedTuple):
    """What a script may contain.

    KILL_ALL, and a SITE_CUT that takes more keepers than `max_keepers_down`, happen only with
    `allow_quorum_loss`.
    """

    keepers: tuple[tuple[str, str], ...]  # name and site
    members: tuple[tuple[str, str], ...] = ()
    duration: int = 30_000_000  # microseconds
    gap: int = 1_500_000  # microseconds between the starts of two faults, about
    lease: int = 3_000_000  # microseconds; faults last up to twice as long
    drift: int = 1000  # parts per million that a wrong clock may run fast or slow
    kinds: tuple[str, ...] = DEFAULT_KINDS
    max_keepers_down: int = 1  # or cut off, at once
    max_members_down: int = 1
    allow_quorum_loss: bool = False


def describe(fault: Fault) -> str:
    """Returns a fault as a line of text: time, kind, targets and values."""
    values = {
        SLOW: f" delay={fault.value / 1000:g}ms rate={fault.rate}B/s",
        FLAP: f" period={fault.value / 1000:g}ms",
        WRONG_CLOCK: f" offset={fault.value / SECOND_US:g}s fast={fault.rate}ppm",
    }
    targets = " ".join(fault.targets) + values.get(fault.kind, "")
    return f"{fault.at / SECOND_US:9.3f} s  {fault.kind:12} {targets}"


def generate_script(seed: int, plan: Plan) -> tuple[Fault, ...]:
    """Returns faults and their ends in order.

    All faults have ended when the last `QUIET_FRACTION`th of the time begins, but for wrong clocks, which are
    put right one after the other in the first half of it.
    """
    return _ScriptGenerator(Prng(seed), plan).generate()


class _ScriptGenerator:
    def __init__(self, rng: Prng, plan: Plan) -> None:
        self.rng = rng
        self.plan = plan
        self.keepers = [name for name, _ in plan.keepers]
        self.members = [name for name, _ in plan.members]
        self.sites = dict((*plan.keepers, *plan.members))
        self.faults: list[Fault] = []
        self.faulty_until: dict[tuple[str, ...], int] = {}  # by targets of faults that have not ended
        self.slow: set[tuple[str, ...]] = set()  # of these targets, those that are slow and not down
        self.wrong_clocks: list[str] = []  # relays; other faults may befall them

    def generate(self) -> tuple[Fault, ...]:
        plan = self.plan
        quiet_from = plan.duration - plan.duration // QUIET_FRACTION
        now = 0
        while True:
            now += plan.gap // 2 + self.rng.below(plan.gap)
            if now >= quiet_from:
                return self._ordered(quiet_from)
            for _ in range(ATTEMPTS):
                if self._try_add(now, quiet_from):
                    break

    def _ordered(self, quiet_from: int) -> tuple[Fault, ...]:
        step = (self.plan.duration - quiet_from) // 2 // (len(self.wrong_clocks) + 1)
        self.faults += [
            Fault(quiet_from + (place + 1) * step, RIGHT_CLOCK, (name,))
            for place, name in enumerate(self.wrong_clocks)
        ]
        # Ends come before what begins at the same moment.
        ends = set(ENDS.values())
        return tuple(sorted(self.faults, key=lambda fault: (fault.at, fault.kind not in ends, fault)))

    def _try_add(self, now: int, quiet_from: int) -> bool:
        kind = self._pick(self.plan.kinds)
        targets = self._draw_targets(kind)
        self.faulty_until = {one: until for one, until in self.faulty_until.items() if until > now}
        if not targets or not self._is_possible(kind, targets):
            return False
        end = min(now + self._draw_duration(kind), quiet_from)
        self.faults.append(Fault(now, kind, targets, *self._draw_values(kind)))
        if kind == WRONG_CLOCK:
            self.wrong_clocks.append(targets[0])
            end = now
        else:
            self.faults.append(Fault(end, ENDS[kind], targets))
        # For a while after its end a fault still counts, since a restart takes its time.
        self.faulty_until[targets] = end + self.plan.gap // 4
        if kind == SLOW:
            self.slow.add(targets)
        else:
            self.slow.discard(targets)
        return True

    def _pick(self, choices: tuple | list) -> str:
        return choices[self.rng.below(len(choices))]

    def _draw_targets(self, kind: str) -> tuple[str, ...]:
        """Returns no targets if there are none for this kind."""
        if kind == KILL_LEADER:
            return (LEADER,)
        if kind == KILL_ALL:
            return (ALL,)
        if kind == SITE_CUT:
            sites = sorted(set(self.sites.values()))
            return (SITE + self._pick(sites),) if len(sites) > 1 else ()
        if kind in DISK_FAULTS:
            return (self._pick(self.keepers),)
        relay = self._pick([*self.keepers, *self.members])
        if kind not in LINK_FAULTS:
            return (relay,)
        # Members speak to keepers only.
        others = [name for name in self.keepers if name != relay]
        if not others:
            return ()
        pair = (relay, self._pick(others))
        return pair if kind == DEAF and self.rng.below(2) else tuple(reversed(pair))

    def _draw_duration(self, kind: str) -> int:
        lease = self.plan.lease
        if kind in (KILL, KILL_LEADER, KILL_ALL):
            return self._pick((1, lease // 4, lease + lease // 2))
        if kind == PAUSE:
            return self._pick((lease // 4, lease + lease // 4, 2 * lease))
        return lease // 2 + self.rng.below(lease + lease // 2)

    def _draw_values(self, kind: str) -> tuple[int, int]:
        rng = self.rng
        lease = self.plan.lease
        if kind == SLOW:
            return lease // 100 + rng.below(lease // 20 + 1), 16 << 10 << rng.below(4)
        if kind == FLAP:
            return lease // 40 + rng.below(lease // 4 + 1), 0
        if kind == WRONG_CLOCK:
            seconds = rng.below(2 * MAX_CLOCK_OFFSET_SECONDS) - MAX_CLOCK_OFFSET_SECONDS
            return seconds * SECOND_US, rng.below(self.plan.drift) - self.plan.drift // 2
        return 0, 0

    def _relays(self, targets: tuple[str, ...]) -> set[str]:
        if targets == (ALL,):
            return set(self.sites)
        if targets[0].startswith(SITE):
            return {name for name, site in self.sites.items() if SITE + site == targets[0]}
        return set(targets)

    def _cut_off(self, targets: tuple[str, ...]) -> set[str]:
        """Returns the relays that are down or cut off: of a pair the member, or of two keepers the second."""
        if len(targets) == 2:
            return {next((name for name in targets if name in self.members), targets[1])}
        return self._relays(targets)

    def _is_possible(self, kind: str, targets: tuple[str, ...]) -> bool:
        faulty = self.faulty_until
        overlaps = any(self._relays(one) & self._relays(targets) for one in faulty)
        if overlaps or (kind == KILL_ALL and faulty):
            return False
        if kind == WRONG_CLOCK and targets[0] in self.wrong_clocks:
            return False
        # The end of a site's cut would heal what else befalls one of its links.
        if kind == SITE_CUT and any(len(one) == 2 for one in faulty):
            return False
        if kind in LINK_FAULTS and any(one[0].startswith(SITE) for one in faulty):
            return False
        if kind == SLOW or (self.plan.allow_quorum_loss and kind in (KILL_ALL, SITE_CUT)):
            return True
        down = self._cut_off(targets).union(*(self._cut_off(one) for one in faulty if one not in self.slow))
        # The leader may be a keeper that is not in trouble yet.
        keepers_down = len(down & {*self.keepers, LEADER})
        members_down = len(down & set(self.members))
        return keepers_down <= self.plan.max_keepers_down and members_down <= self.plan.max_members_down
