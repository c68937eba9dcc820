"""Relays in simulated time: they run the `Session` of real relays; calls may be lost, duplicated or late."""

from typing import Any

from laurelcourse.fleet.books.forms import Command, Done, GiveBack
from laurelcourse.fleet.errors import FleetError
from laurelcourse.fleet.orders import Answer, Beat, Question, Renewed, Submit
from laurelcourse.fleet.routing import Attempt, LeaderRoutes
from laurelcourse.fleet.session import ENDED, Session
from laurelcourse.lab.keepers_history import History, ShareHolder
from laurelcourse.lab.keepers_simulation import (
    ANY_LIFE,
    MIN_TIMER_US,
    AnswerCall,
    Clock,
    Order,
    Process,
    Simulation,
    Tick,
    TimeOutCall,
)
from laurelcourse.prng import Prng

MAX_HOPS = 3  # redirects that a call follows
MAX_DEMAND = 70  # of a budget, in a renewal
DEMAND_INTERVAL = 4  # renewals until the demand changes, about
LOOK_INTERVAL = 3  # turns of a relay until it reads the books, about
GIVE_BACK_INTERVAL = 25  # looks at a share until some of it is given back unasked, about

# What a call was made for, in place of the time of the session's order.
OWN_COMMAND = -1
READ = -2

ELSEWHERE_CODES = ("no_quorum", "overloaded", "stopping", "unknown_fate")  # as in `calls/client.py`
LOST_CODES = ("unknown_fate", "not_leader", "no_quorum", "overloaded", "stopping")


class Call:
    """An order under way."""

    __slots__ = ("asked_at", "attempt", "command", "hops", "kind", "order", "start")

    def __init__(
        self,
        kind: str,
        order: Any,  # noqa: ANN401
        start: int,
        asked_at: int,
        command: Command | None,
        attempt: Attempt,
    ) -> None:
        """`asked_at` is as the session gave it, OWN_COMMAND or READ; `command` is the relay's own."""
        self.kind = kind
        self.order = order
        self.start = start  # true time
        self.asked_at = asked_at
        self.command = command
        self.hops = 0
        self.attempt = attempt


class RelayProcess(Process):
    """A relay."""

    __slots__ = ("calls", "demand", "giving_back", "holder", "routes", "session")

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        super().__init__(name, site, clock)
        self.session: Session | None = None
        self.holder = ShareHolder(name, clock)
        self.calls: dict[int, Call] = {}
        self.routes: LeaderRoutes | None = None
        self.demand = 0
        self.giving_back: dict[str, int] = {}  # by budget: the call under way


class Relays:
    """All relays of one run."""

    def __init__(
        self,
        simulation: Simulation,
        history: History,
        names: tuple[str, ...],
        sites: int,
        busy: bool = True,
    ) -> None:
        """`busy` relays give shares back, and read the books."""
        self.simulation = simulation
        self.history = history
        self.busy = busy
        self.rng = Prng(simulation.seed * 31 + 7)
        self.relays: dict[str, RelayProcess] = {}
        self.call_count = 0
        self.answered_commands = 0
        simulation.on_answer = self.on_answer
        simulation.on_relay_work = self.work
        for place, name in enumerate(names):
            relay = RelayProcess(name, f"s{place % sites}", simulation.make_clock())
            self.relays[name] = relay
            simulation.processes[name] = relay
            history.holders[name] = relay.holder

    # Processes

    def start(self, relay: RelayProcess) -> None:
        """Starts a relay, unless it is up."""
        if relay.up:
            return
        self.simulation.record(f"{relay.name} starts")
        relay.up = True
        relay.paused = False
        relay.wake_at = -1
        relay.life += 1
        relay.jobs.clear()
        relay.calls = {}
        relay.giving_back = {}
        keepers = tuple(sorted(self.simulation.keepers))
        relay.routes = LeaderRoutes(keepers, self.rng.below(len(keepers)), self.simulation.terms.lease)
        relay.session = Session(
            relay.name,
            relay.site,
            self.simulation.terms,
            Prng(self.rng.below(1 << 31)),
            relay.clock.local(self.simulation.now),
        )
        relay.holder.session = relay.session
        self._run(relay)

    def kill(self, relay: RelayProcess) -> None:
        """Kills a relay, if it is up."""
        if relay.up:
            self.simulation.record(f"{relay.name} is killed")
            self.history.check_shares(self.simulation.now)
            relay.holder.end_lease(self.simulation.terms)
            relay.up = False
            relay.session = None
            relay.holder.session = None
            relay.life += 1
            relay.jobs.clear()

    def close(self, relay: RelayProcess) -> None:
        """Ends a relay's session, as at SIGTERM: it frees what it holds first."""
        if relay.up and not relay.paused:
            self.simulation.record(f"{relay.name} closes")
            self.history.check_shares(self.simulation.now)
            if relay.session.is_usable(relay.clock.local(self.simulation.now)):
                relay.holder.levels = {}
            relay.session.close(relay.clock.local(self.simulation.now))
            self._run(relay)

    def work(self, relay: Process) -> None:
        """Has a relay do its jobs, as far as it can now."""
        while relay.up and not relay.paused and relay.jobs:
            job = relay.jobs.popleft()
            if isinstance(job, AnswerCall):
                self._on_answer(relay, job)
            elif isinstance(job, TimeOutCall) and job.number in relay.calls:
                call = relay.calls.pop(job.number)
                self._on_failed(relay, call, "unknown_fate")
                if call.asked_at != READ:
                    relay.routes.unheard(relay.clock.local(self.simulation.now), call.attempt)
            self._run(relay)

    def _run(self, relay: RelayProcess) -> None:
        """Sends what the session asks for, does what a user of budgets does, and schedules the next tick."""
        session = relay.session
        now = relay.clock.local(self.simulation.now)
        for order in session.orders(now):
            if isinstance(order, Beat):
                self._renew(relay, order)
            else:
                for command in order.commands:
                    self.history.on_asked(self.simulation.now, relay.name, command)
                self._call(relay, "submit", order, order.asked_at)
        if self.busy:
            self._give_back(relay, now)
            if self.rng.below(LOOK_INTERVAL) == 0:
                self._read(relay)
        if session.state != ENDED:
            due = max(relay.clock.true(session.due()), self.simulation.now + MIN_TIMER_US)
            if relay.wake_at <= self.simulation.now or due < relay.wake_at:
                relay.wake_at = due
                self.simulation.schedule(due, self._on_timer, relay, relay.life)

    def _on_timer(self, relay: RelayProcess, life: int) -> None:
        if relay.life == life and relay.wake_at == self.simulation.now:
            relay.wake_at = -1
            relay.jobs.append(Tick())
            self.work(relay)

    def _renew(self, relay: RelayProcess, order: Beat) -> None:
        if self.rng.below(DEMAND_INTERVAL) == 0:
            relay.demand = self.rng.below(MAX_DEMAND)
        budgets = self.simulation.terms.budgets
        relay.session.demands = tuple((budget.name, relay.demand) for budget in budgets)
        self._call(relay, "renew", order._replace(demands=relay.session.demands), order.asked_at)

    def _give_back(self, relay: RelayProcess, now: int) -> None:
        """Gives back what is asked for, and sometimes more; it uses less before it says so."""
        for name, share in relay.session.shares(now).items():
            keeps = share.wanted
            if self.rng.below(GIVE_BACK_INTERVAL) == 0:
                keeps = min(keeps, self.rng.below(share.granted + 1))
            if keeps < share.granted and name not in relay.giving_back:
                try:
                    command = relay.session.command(GiveBack(name, keeps), now)
                except FleetError:
                    continue
                relay.giving_back[name] = self.call_count + 1
                relay.holder.holdings(self.simulation.now, self.simulation.terms)
                self._call(relay, "submit", Submit((command,)), OWN_COMMAND, command)

    def _read(self, relay: RelayProcess) -> None:
        """Reads at any keeper, for one that is cut off must not answer."""
        names = sorted(self.relays)
        if self.rng.below(2):
            question = Question("hash")
        else:
            question = Question("session", names[self.rng.below(len(names))])
        keepers = sorted(self.simulation.keepers)
        self._call(relay, "ask", question, READ, target=keepers[self.rng.below(len(keepers))])

    # Calls

    def _call(
        self,
        relay: RelayProcess,
        kind: str,
        order: Any,  # noqa: ANN401
        asked_at: int,
        command: Command | None = None,
        target: str = "",
    ) -> None:
        simulation = self.simulation
        self.call_count += 1
        attempt = Attempt(target) if target else relay.routes.first(relay.clock.local(simulation.now))
        call = Call(kind, order, simulation.now, asked_at, command, attempt)
        relay.calls[self.call_count] = call
        self._send(relay, self.call_count, call)
        timeout = simulation.terms.lease if kind == "ask" else simulation.terms.renew_interval
        timed_out = TimeOutCall(self.call_count)
        simulation.schedule(simulation.now + timeout, simulation.post, relay.name, relay.life, timed_out)

    def _send(self, relay: RelayProcess, number: int, call: Call) -> None:
        simulation = self.simulation
        target, may_forward = call.attempt
        if simulation.message_size:
            simulation.byte_count += simulation.message_size(call.order)
        order = Order(call.kind, relay.name, number, call.order, may_forward)
        simulation.send(relay.name, target, simulation.post, target, ANY_LIFE, order)

    def on_answer(self, name: str, number: int, answer: Answer, forwarded_by: str) -> None:
        """Gives a relay an answer; one to a former life finds no call there."""
        self.simulation.post(name, ANY_LIFE, AnswerCall(number, answer, forwarded_by))

    def _on_answer(self, relay: RelayProcess, reply: AnswerCall) -> None:
        simulation = self.simulation
        number, answer, forwarded_by = reply
        call = relay.calls.get(number)
        if call is None:
            return
        code = answer.code if isinstance(answer, Done) else ""
        if code == "not_leader" and call.kind != "ask":
            leader = dict(answer.told).get("leader", "")
            now = relay.clock.local(simulation.now)
            attempt = relay.routes.not_leader(now, call.attempt, leader, forwarded_by)
            if call.hops < MAX_HOPS:
                call.hops += 1
                call.attempt = attempt
                self._send(relay, number, call)
                return
        elif call.kind != "ask":
            self._update_routes(relay, call.attempt, code, forwarded_by)
        del relay.calls[number]
        if code:
            self._on_failed(relay, call, code)
            return
        now = relay.clock.local(simulation.now)
        if call.kind == "ask":
            self.history.on_read(call.start, simulation.now, call.order, answer)
            return
        if isinstance(answer, tuple) and not isinstance(answer, Renewed):
            for command, result in zip(call.order.commands, answer, strict=True):
                self.history.on_result(call.start, simulation.now, relay.name, command, result)
                self.answered_commands += not result.code
        if call.asked_at == OWN_COMMAND:
            self._on_own_result(relay, call, answer[0], now)
        else:
            relay.session.answered(now, call.asked_at, answer, call.kind == "submit")
        self.history.check_shares(simulation.now)

    def _update_routes(self, relay: RelayProcess, attempt: Attempt, code: str, forwarded_by: str) -> None:
        if code in ELSEWHERE_CODES:
            now = relay.clock.local(self.simulation.now)
            relay.routes.elsewhere(now, attempt, code, forwarded_by)
        else:
            relay.routes.answered(attempt, forwarded_by)

    def _on_failed(self, relay: RelayProcess, call: Call, code: str) -> None:
        if call.asked_at == OWN_COMMAND:
            relay.session.lost(call.command, code)
            budget = call.command.what.budget
            relay.giving_back = {name: number for name, number in relay.giving_back.items() if name != budget}
        elif call.asked_at != READ:
            now = relay.clock.local(self.simulation.now)
            relay.session.failed(now, call.asked_at, code, call.kind == "submit")

    def _on_own_result(self, relay: RelayProcess, call: Call, result: Done, now: int) -> None:
        relay.giving_back.pop(call.command.what.budget, None)
        if result.code in LOST_CODES:
            relay.session.lost(call.command, result.code)
        else:
            relay.session.confirmed(now, call.command)
