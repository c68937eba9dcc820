"""What relays cost the keepers, by their number: simulated time, no faults, sizes as protobuf has them."""

import time
from typing import Any

from laurelcourse.fleet.books.forms import LEVEL, RATE, Budget, GiveBack
from laurelcourse.fleet.calls.codec import decode_batch, to_message
from laurelcourse.fleet.keeper.messages import Bounds, Keepers
from laurelcourse.fleet.orders import Submit, Terms
from laurelcourse.lab.keepers_relays import OWN, Call, RelayNode, Relays
from laurelcourse.lab.keepers_seen import Seen
from laurelcourse.lab.keepers_world import MILLION, KeeperNode, World

RELAYS = (30, 200, 1_000)
BEAT, LEASE = 2_000_000, 10_000_000
OPENS = 6_000_000  # within this all have opened, and shares have settled
RESTS = 2 * BEAT  # what a relay at rest costs is counted over this
LOADED = 400_000  # commands without a pause are counted over this
AT_ONCE = 400  # relays that ask without a pause, at most, so that nothing is refused


class Loaded(Relays):
    """Relays that, once `loads` is set, give a share back again as soon as the last time was answered."""

    loads = False

    def _own(self, relay: RelayNode, call: Call, *told: Any) -> None:  # noqa: ANN401
        super()._own(relay, call, *told)
        if self.loads:
            self.give(relay)

    def give(self, relay: RelayNode) -> None:
        now = relay.clock.local(self.world.now)
        shares = relay.session.shares(now)
        if "tries" in shares:
            command = relay.session.command(GiveBack("tries", shares["tries"].granted), now)
            self._call(relay, "submit", Submit((command,)), OWN, command)


class Metered(World):
    """Adds up the CPU time that a leader's desk takes, seconds, with what carries its acts out here."""

    spent = 0.0

    def work(self, node: Any) -> None:  # noqa: ANN401
        began = time.process_time()
        super().work(node)
        if isinstance(node, KeeperNode) and node is self.ahead:
            self.spent += time.process_time() - began

    ahead: KeeperNode | None = None


def size(form: Any) -> int:  # noqa: ANN401
    return to_message(form).ByteSize()


def figures(seed: int, many: int) -> dict[str, float]:
    """For so many relays at three keepers: bytes a second and relay at rest, both ways, without gRPC's own;
    the leader's desk in parts of a core; commands a second, with the network and disks simulated."""
    budgets = (
        Budget("conns", LEVEL, 20 * many, 2, many, 0, MILLION),
        Budget("tries", RATE, 40 * many, 4, many, 0, 0),
    )
    names = ("k1", "k2", "k3")
    bounds = Bounds(100_000, 1_000_000, 1 << 20, 8, 1 << 16, 4 * many)
    terms = Terms("fleet", LEASE, 1_000, BEAT, many, bounds, Keepers(names), budgets, 10_000)
    world = Metered(seed, terms, names, 3)
    seen = Seen(terms, decode_batch)
    seen.shares = lambda now: None  # looked at by the other runs; here it would cost what is measured
    relays = Loaded(world, seen, tuple(f"r{place:04}" for place in range(many)), 3, busy=False)
    world.entry = lambda now, entry: None
    for place, name in enumerate(names):
        world.at(place, world.start, world.keepers[name])
    for place, name in enumerate(sorted(relays.relays)):
        world.at(3_000_000 + place * BEAT // many, relays.start, relays.relays[name])
    world.run(3_000_000 + OPENS)
    world.size, world.ahead = size, world.leader()
    began = world.now
    world.run(began + RESTS)
    rest, spent = world.bytes, world.spent
    world.size, before = None, relays.commands
    relays.loads = True
    for name in sorted(relays.relays)[:AT_ONCE]:
        relays.give(relays.relays[name])
    began, spent_before = world.now, world.spent
    world.run(began + LOADED)
    done = relays.commands - before
    return {
        f"bytes_a_relay_a_second_{many}": round(rest * MILLION / RESTS / many, 1),
        f"leader_share_of_core_{many}": round(spent * MILLION / RESTS, 4),
        f"commands_a_second_{many}": round(done * MILLION / LOADED),
        f"commands_a_core_second_{many}": round(done / max(world.spent - spent_before, 1e-9)),
    }
