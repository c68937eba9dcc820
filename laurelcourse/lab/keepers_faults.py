"""Faults of simulated runs, drawn from a seed.

Faults look at what a keeper decides only to aim at the leader, and to keep within what keepers promise about
older disks.
"""

from typing import NamedTuple

from laurelcourse.fleet.keeper.messages import REFUSED, Keepers
from laurelcourse.lab.keepers_relays import Relays
from laurelcourse.lab.keepers_simulation import (
    ChangeKeepers,
    Disk,
    KeeperProcess,
    NetworkConditions,
    Simulation,
    Stop,
    Tick,
)
from laurelcourse.prng import Prng

# Methods of `FaultInjector` by kind of run; one that stands there twice is drawn twice as often.
KINDS = {
    "leaders": ("kill_leader",),
    "network": (
        "cut",
        "cut_one_way",
        "isolate_leader",
        "partition",
        "change_network",
        "change_network",
        "heal",
        "cut_relay_one_way",
        "pause_leader",
        "pause_relay",
    ),
    "crashes": (
        "kill",
        "kill_leader",
        "kill_at_step",
        "kill_at_step",
        "kill_leader_at_step",
        "kill_leader_at_step",
        "kill_all",
        "slow_disk",
        "change_network",
        "kill_relay",
        "stop_leader",
    ),
    "disks": (
        "copy_disk",
        "use_older_disk",
        "use_older_disk",
        "wipe_disk",
        "kill",
        "slow_disk",
        "change_network",
        "kill_at_step",
        "cut",
    ),
    "keepers": (
        "change_keepers",
        "change_keepers",
        "change_keepers",
        "kill_leader",
        "cut",
        "isolate_leader",
        "change_network",
        "kill_at_step",
        "pause",
        "heal",
    ),
    "pauses": ("pause_leader", "pause_leader", "pause_leader", "close_relay", "pause_relay"),
    "hands": (
        "cut_relay_from_leader",
        "cut_relay_from_leader",
        "cut_relay_from_leader",
        "pause",
        "pause_leader",
        "kill_leader",
        "pause_relay",
        "change_network",
        "heal",
    ),
    "relays": (
        "kill_relay",
        "pause_relay",
        "pause_relay",
        "close_relay",
        "cut_relay_one_way",
        "pause_leader",
        "heal",
        "kill_leader",
        "change_network",
    ),
    "all": (
        "cut",
        "cut_one_way",
        "isolate_leader",
        "partition",
        "change_network",
        "heal",
        "kill",
        "kill_leader",
        "kill_at_step",
        "kill_leader_at_step",
        "kill_all",
        "pause",
        "pause_leader",
        "slow_disk",
        "copy_disk",
        "use_older_disk",
        "wipe_disk",
        "jump_clock",
        "change_keepers",
        "change_keepers",
        "kill_relay",
        "pause_relay",
        "close_relay",
        "cut_relay_one_way",
        "stop_leader",
    ),
}
SEPARATE_KINDS = ("leaders", "pauses")  # what one fault leads to ends before the next
SEPARATE_INTERVAL_US = 900_000
FIRST_FAULT_US = 600_000

MIN_DOWN_US = 20_000  # until what was killed is started again
DOWN_JITTER_US = 900_000
MAX_STEPS_TO_DEATH = 12
DISK_DELAYS_US = (0, 20_000, 150_000)
MIN_FALSE_DISK_US = 300_000
FALSE_DISK_JITTER_US = 1_500_000

POOR_NETWORK = NetworkConditions(60_000, 60_000, 60_000)
BAD_NETWORK = NetworkConditions(250_000, 150_000, 400_000)


class Fault(NamedTuple):
    """A fault of a script."""

    at: int  # true microseconds
    kind: str  # a method of `FaultInjector`
    seed: int  # of whatever else it draws


def generate_script(seed: int, kind: str, duration: int) -> tuple[Fault, ...]:
    """Returns between 1 and 12 faults per second of true time, in a run's first `duration` microseconds."""
    rng = Prng(seed * 7919 + 1)
    choices = KINDS[kind]
    interval = SEPARATE_INTERVAL_US if kind in SEPARATE_KINDS else 80_000 + rng.below(240_000)
    at = FIRST_FAULT_US
    script = []
    while at < duration:
        script.append(Fault(at, choices[rng.below(len(choices))], rng.below(1 << 31)))
        at += interval // 2 + rng.below(interval)
    return tuple(script)


class FaultInjector:
    """Injects faults. Each method that `KINDS` names is a fault."""

    def __init__(self, simulation: Simulation, relays: Relays) -> None:
        self.simulation = simulation
        self.relays = relays
        self.disk_copies: dict[str, Disk] = {}  # by keeper, made earlier
        self.killed_leaders: list[tuple[int, int]] = []  # when, and the term
        self.wiped_disk_count = 0

    def inject(self, fault: Fault) -> None:
        """Injects one fault now."""
        getattr(self, fault.kind)(Prng(fault.seed))

    # Targets

    def _keeper(self, rng: Prng) -> KeeperProcess:
        names = sorted(self.simulation.keepers)
        return self.simulation.keepers[names[rng.below(len(names))]]

    def _leader(self, rng: Prng) -> KeeperProcess:
        return self.simulation.leader() or self._keeper(rng)

    def _relay(self, rng: Prng) -> str:
        names = sorted(self.relays.relays)
        return names[rng.below(len(names))]

    # The network

    def _cut(self, source: str, target: str) -> None:
        self.simulation.record(f"no link from {source} to {target}")
        self.simulation.cut_links.add((source, target))

    def cut(self, rng: Prng) -> None:
        """Cuts the link between two keepers."""
        one = self._keeper(rng).name
        other = self._keeper(rng).name
        self._cut(one, other)
        self._cut(other, one)

    def cut_one_way(self, rng: Prng) -> None:
        """Cuts the link from one keeper to another."""
        source = self._keeper(rng).name
        self._cut(source, self._keeper(rng).name)

    def cut_relay_one_way(self, rng: Prng) -> None:
        """Cuts the link from a relay to a keeper, or from the keeper to the relay."""
        relay = self._relay(rng)
        keeper = self._keeper(rng).name
        if rng.below(2):
            self._cut(relay, keeper)
        else:
            self._cut(keeper, relay)

    def cut_relay_from_leader(self, rng: Prng) -> None:
        """Cuts the link between a relay and the leader, so that other keepers must forward its orders."""
        relay = self._relay(rng)
        leader = self._leader(rng).name
        self._cut(relay, leader)
        self._cut(leader, relay)

    def isolate_leader(self, rng: Prng) -> None:
        """Cuts the leader off from the other keepers; relays may still reach it."""
        leader = self._leader(rng).name
        for other in sorted(self.simulation.keepers):
            if other != leader:
                self._cut(leader, other)
                if rng.below(4):
                    self._cut(other, leader)

    def partition(self, rng: Prng) -> None:
        """Divides all processes into two sides."""
        sides = {name: rng.below(2) for name in sorted(self.simulation.processes)}
        self.simulation.cut_links = {
            (one, other) for one in sides for other in sides if sides[one] != sides[other]
        }
        self.simulation.record(f"parted: {sorted(name for name in sides if sides[name])} from the rest")

    def heal(self, rng: Prng) -> None:
        """Restores all links."""
        self.simulation.record("the network is healed")
        self.simulation.cut_links.clear()
        self.simulation.network = NetworkConditions()

    def change_network(self, rng: Prng) -> None:
        """Changes how many messages are lost, duplicated and delayed."""
        self.simulation.network = (POOR_NETWORK, BAD_NETWORK, NetworkConditions())[rng.below(3)]
        self.simulation.record(f"network: {self.simulation.network}")

    # Processes

    def _kill(self, keeper: KeeperProcess, rng: Prng) -> None:
        simulation = self.simulation
        if keeper.up and keeper is simulation.leader():
            self.killed_leaders.append((simulation.now, keeper.coordinator.core.term))
        simulation.kill(keeper)
        restart_at = simulation.now + MIN_DOWN_US + rng.below(DOWN_JITTER_US)
        simulation.schedule(restart_at, simulation.start, keeper)

    def kill(self, rng: Prng) -> None:
        """Kills a keeper."""
        self._kill(self._keeper(rng), rng)

    def kill_leader(self, rng: Prng) -> None:
        """Kills the leader."""
        self._kill(self._leader(rng), rng)

    def kill_all(self, rng: Prng) -> None:
        """Kills all keepers."""
        for name in sorted(self.simulation.keepers):
            self._kill(self.simulation.keepers[name], rng)

    def kill_at_step(self, rng: Prng) -> None:
        """Has a keeper die before or after one of its next writes and messages."""
        self._keeper(rng).steps_to_death = 1 + rng.below(MAX_STEPS_TO_DEATH)

    def kill_leader_at_step(self, rng: Prng) -> None:
        """Has the leader die before or after one of its next writes and messages."""
        self._leader(rng).steps_to_death = 1 + rng.below(MAX_STEPS_TO_DEATH)

    def _pause(self, name: str, rng: Prng) -> None:
        lease = self.simulation.terms.lease
        duration = (lease // 10, lease * 2)[rng.below(2)] + rng.below(lease)
        self.simulation.pause(self.simulation.processes[name], duration)

    def pause(self, rng: Prng) -> None:
        """Pauses a keeper."""
        self._pause(self._keeper(rng).name, rng)

    def pause_leader(self, rng: Prng) -> None:
        """Pauses the leader."""
        self._pause(self._leader(rng).name, rng)

    def slow_disk(self, rng: Prng) -> None:
        """Makes a keeper's disk slower, or as fast as before."""
        keeper = self._keeper(rng)
        keeper.disk_delay = DISK_DELAYS_US[rng.below(3)]
        self.simulation.record(f"{keeper.name}'s disk takes {keeper.disk_delay} us more")

    def jump_clock(self, rng: Prng) -> None:
        """Sets a keeper's clock forward, unless it leads: a leader with such a clock promises nothing."""
        simulation = self.simulation
        keeper = self._keeper(rng)
        if keeper is not simulation.leader() and not keeper.paused:
            simulation.record(f"{keeper.name}'s clock jumps")
            keeper.clock.jump(simulation.now, rng.below(simulation.terms.lease * 4))
            simulation.post(keeper.name, keeper.life, Tick())

    def stop_leader(self, rng: Prng) -> None:
        """Sends the leader SIGTERM, and SIGKILL a while later."""
        simulation = self.simulation
        leader = simulation.leader()
        if leader:
            simulation.record(f"{leader.name} is stopped")
            simulation.post(leader.name, leader.life, Stop())
            simulation.schedule(simulation.now + 200_000 + rng.below(300_000), self._kill, leader, rng)

    # Disks

    def copy_disk(self, rng: Prng) -> None:
        """Copies a keeper's disk, to be used later."""
        keeper = self._keeper(rng)
        if keeper.newest_disk is None:
            self.disk_copies[keeper.name] = keeper.disk.copy()

    def _is_noted(self, keeper: KeeperProcess, disk: Disk) -> bool:
        """Whether enough other keepers have on their disks that this one has held more than `disk`.

        That is so many that each set of others which is large enough to let it in has one of them.
        """
        voters = self.simulation.terms.keepers.voters
        if self.simulation.keepers_changed or keeper.name not in voters:
            return False  # a disk from before a change asks those who were keepers then
        others = [self.simulation.keepers[name] for name in voters if name != keeper.name]
        held = (disk.term, disk.last_index() if disk.last_term() == disk.term else 0)
        noting = [
            other
            for other in others
            if (mark := other.disk.marks.get(keeper.name)) is not None
            and ((mark.disk and mark.disk != disk.id) or (mark.term, mark.index) > held)
        ]
        return len(others) - len(noting) < len(voters) // 2

    def _use_false_disk(self, disk: Disk, keeper: KeeperProcess, rng: Prng) -> None:
        simulation = self.simulation
        in_use = any(other.newest_disk for other in simulation.keepers.values())
        if keeper.newest_disk is not None or in_use or not self._is_noted(keeper, disk):
            return
        simulation.kill(keeper)
        if not self._is_noted(keeper, disk):
            return  # a write that was under way when it died may have been the one that counts
        simulation.record(f"{keeper.name} gets disk {disk.id}, term {disk.term}, up to {disk.last_index()}")
        keeper.newest_disk = keeper.disk
        keeper.disk = disk
        keeper.has_false_disk = True
        simulation.false_disk_count += 1
        simulation.start(keeper)
        end = simulation.now + MIN_FALSE_DISK_US + rng.below(FALSE_DISK_JITTER_US)
        simulation.schedule(end, self.restore_disk, keeper)

    def use_older_disk(self, rng: Prng) -> None:
        """Puts a copy in place of a keeper's disk, for a while."""
        for name in sorted(self.disk_copies):
            self._use_false_disk(self.disk_copies[name].copy(), self.simulation.keepers[name], rng)

    def wipe_disk(self, rng: Prng) -> None:
        """Puts an empty disk in place of a keeper's, for a while."""
        self.wiped_disk_count += 1
        keeper = self._keeper(rng)
        self._use_false_disk(Disk(f"disk-{keeper.name}-{self.wiped_disk_count}"), keeper, rng)

    def restore_disk(self, keeper: KeeperProcess) -> None:
        """Puts the disk back that an old or wiped one replaced, if any."""
        if keeper.newest_disk is not None:
            if keeper.up and keeper.coordinator.core.role == REFUSED:
                self.simulation.refused_disk_count += 1
            self.simulation.kill(keeper)
            keeper.disk = keeper.newest_disk
            keeper.newest_disk = None
            keeper.has_false_disk = False
            self.simulation.start(keeper)

    # Membership

    def change_keepers(self, rng: Prng) -> None:
        """Asks the leader for one learner more, for one promoted, or for one voter less."""
        leader = self.simulation.leader()
        if leader is None:
            return
        current = leader.coordinator.core.keepers
        voters = set(current.voters)
        learners = set(current.learners)
        spare = sorted(set(self.simulation.keepers) - voters - learners)
        choice = rng.below(4)
        if learners and choice < 2:
            promoted = sorted(learners)[rng.below(len(learners))]
            learners.discard(promoted)
            voters.add(promoted)
        elif spare and choice < 3:
            learners.add(spare[rng.below(len(spare))])
        elif len(voters) > 2:
            voters.discard(sorted(voters)[rng.below(len(voters))])
        keepers = Keepers(tuple(sorted(voters)), tuple(sorted(learners)))
        self.simulation.record(f"{leader.name} is asked for {keepers}")
        self.simulation.post(leader.name, leader.life, ChangeKeepers(keepers))

    # Relays

    def kill_relay(self, rng: Prng) -> None:
        """Kills a relay."""
        relay = self.relays.relays[self._relay(rng)]
        self.relays.kill(relay)
        restart_at = self.simulation.now + MIN_DOWN_US + rng.below(2 * DOWN_JITTER_US)
        self.simulation.schedule(restart_at, self.relays.start, relay)

    def close_relay(self, rng: Prng) -> None:
        """Sends a relay SIGTERM, and SIGKILL a while later."""
        simulation = self.simulation
        relay = self.relays.relays[self._relay(rng)]
        self.relays.close(relay)
        simulation.schedule(simulation.now + 400_000, self.relays.kill, relay)
        restart_at = simulation.now + 600_000 + rng.below(DOWN_JITTER_US)
        simulation.schedule(restart_at, self.relays.start, relay)

    def pause_relay(self, rng: Prng) -> None:
        """Pauses a relay."""
        self._pause(self._relay(rng), rng)

    def end_all(self) -> None:
        """Ends all faults: what comes after shows whether the keepers recover."""
        self.heal(Prng(0))
        for name in sorted(self.simulation.processes):
            process = self.simulation.processes[name]
            self.simulation.resume(process, process.life)
        for name in sorted(self.simulation.keepers):
            keeper = self.simulation.keepers[name]
            keeper.steps_to_death = 0
            keeper.disk_delay = 0
            self.restore_disk(keeper)
            self.simulation.start(keeper)
