"""What relays cost the keepers, by their number: in simulated time, without faults, with protobuf's sizes."""

import time
from typing import Any

from laurelcourse.fleet.books.forms import LEVEL, RATE, Budget, GiveBack
from laurelcourse.fleet.calls.codec import decode_batch, to_message
from laurelcourse.fleet.keeper.messages import Bounds, Keepers
from laurelcourse.fleet.orders import Submit, Terms
from laurelcourse.lab.keepers_history import History
from laurelcourse.lab.keepers_relays import OWN_COMMAND, Call, RelayProcess, Relays
from laurelcourse.lab.keepers_simulation import MILLION, KeeperProcess, Process, Simulation

RELAY_COUNTS = (30, 200, 1_000)
KEEPER_NAMES = ("k1", "k2", "k3")
RATE_BUDGET = "tries"

# Microseconds of true time.
RENEW_INTERVAL_US = 2_000_000
LEASE_US = 10_000_000
FIRST_START_US = 3_000_000  # of a relay
SETTLE_US = 6_000_000  # within which all sessions are open, and shares have settled
IDLE_US = 2 * RENEW_INTERVAL_US  # over which the cost of idle relays is counted
LOADED_US = 400_000  # over which commands without a pause are counted

MAX_LOADED_RELAYS = 400  # that send commands without a pause, so that none is refused


class LoadedRelays(Relays):
    """Relays that, once `loaded`, give a share back again as soon as the last time was answered."""

    loaded = False

    def _on_own_result(self, relay: RelayProcess, call: Call, *more: Any) -> None:  # noqa: ANN401
        super()._on_own_result(relay, call, *more)
        if self.loaded:
            self.give_back(relay)

    def give_back(self, relay: RelayProcess) -> None:
        """Gives back the relay's share of the rate."""
        now = relay.clock.local(self.simulation.now)
        shares = relay.session.shares(now)
        if RATE_BUDGET in shares:
            command = relay.session.command(GiveBack(RATE_BUDGET, shares[RATE_BUDGET].granted), now)
            self._call(relay, "submit", Submit((command,)), OWN_COMMAND, command)


class MeteredSimulation(Simulation):
    """Adds up the CPU time in seconds of one keeper, with what carries out its acts here."""

    cpu_seconds = 0.0
    metered: KeeperProcess | None = None

    def work(self, process: Process) -> None:
        """Has a process do its jobs, as far as it can now."""
        start = time.process_time()
        super().work(process)
        if isinstance(process, KeeperProcess) and process is self.metered:
            self.cpu_seconds += time.process_time() - start


def message_size(message: Any) -> int:  # noqa: ANN401
    """Returns the bytes of an order or answer as protobuf has them."""
    return to_message(message).ByteSize()


def _terms(relay_count: int) -> Terms:
    budgets = (
        Budget("conns", LEVEL, 20 * relay_count, 2, relay_count, 0, MILLION),
        Budget(RATE_BUDGET, RATE, 40 * relay_count, 4, relay_count, 0, 0),
    )
    bounds = Bounds(100_000, 1_000_000, 1 << 20, 8, 1 << 16, 4 * relay_count)
    return Terms(
        "fleet",
        lease=LEASE_US,
        drift=1_000,
        renew_interval=RENEW_INTERVAL_US,
        sessions=relay_count,
        bounds=bounds,
        keepers=Keepers(KEEPER_NAMES),
        budgets=budgets,
        snapshot_every=10_000,
    )


def measure(seed: int, relay_count: int) -> dict[str, float]:
    """Returns figures for so many relays at three keepers.

    They are the bytes per second and idle relay, both ways, without gRPC's own; the leader's share of a CPU
    core; the commands per second, with the network and disks simulated; and the commands per second of the
    leader's CPU time.
    """
    terms = _terms(relay_count)
    simulation = MeteredSimulation(seed, terms, KEEPER_NAMES, 3)
    history = History(terms, decode_batch)
    history.check_shares = lambda now: None  # other runs check them; here it would add to what is measured
    names = tuple(f"r{number:04}" for number in range(relay_count))
    relays = LoadedRelays(simulation, history, names, 3, busy=False)
    simulation.on_entry = lambda now, entry: None
    for place, name in enumerate(KEEPER_NAMES):
        simulation.schedule(place, simulation.start, simulation.keepers[name])
    for place, name in enumerate(sorted(relays.relays)):
        start_at = FIRST_START_US + place * RENEW_INTERVAL_US // relay_count
        simulation.schedule(start_at, relays.start, relays.relays[name])
    simulation.run(FIRST_START_US + SETTLE_US)

    simulation.message_size = message_size
    simulation.metered = simulation.leader()
    simulation.run(simulation.now + IDLE_US)
    idle_bytes = simulation.byte_count
    idle_cpu = simulation.cpu_seconds

    simulation.message_size = None
    commands_before = relays.answered_commands
    relays.loaded = True
    for name in sorted(relays.relays)[:MAX_LOADED_RELAYS]:
        relays.give_back(relays.relays[name])
    cpu_before = simulation.cpu_seconds
    simulation.run(simulation.now + LOADED_US)
    commands = relays.answered_commands - commands_before
    loaded_cpu = max(simulation.cpu_seconds - cpu_before, 1e-9)
    return {
        f"bytes_a_relay_a_second_{relay_count}": round(idle_bytes * MILLION / IDLE_US / relay_count, 1),
        f"leader_share_of_core_{relay_count}": round(idle_cpu * MILLION / IDLE_US, 4),
        f"commands_a_second_{relay_count}": round(commands * MILLION / LOADED_US),
        f"commands_a_core_second_{relay_count}": round(commands / loaded_cpu),
    }
