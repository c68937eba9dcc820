"""Relays in simulated time: the `Session` that real relays run; calls may be lost, doubled or late."""

from typing import Any

from laurelcourse.fleet.books.forms import Command, Done, GiveBack
from laurelcourse.fleet.errors import FleetError
from laurelcourse.fleet.orders import Answer, Beat, Question, Renewed, Submit
from laurelcourse.fleet.routing import Attempt, LeaderRoutes
from laurelcourse.fleet.session import ENDED, Session
from laurelcourse.lab.keepers_seen import Holder, Seen
from laurelcourse.lab.keepers_world import SPIN, Clock, Node, World
from laurelcourse.prng import Prng

HOPS = 3  # a call follows the leader that it is told, or turns elsewhere, so often
DEMAND = 70  # of a budget, told with a Beat, less than this
LOOKS = 3  # a look at the books in so many turns of a relay, where it is busy
OWN, LOOK = -1, -2  # calls that are no order of the session
ELSEWHERE = ("no_quorum", "overloaded", "stopping", "unknown_fate")  # as in `calls/client.py`


class Call:
    """One order under way. `asked_at`: as the session gave it; `command`: of the relay's own."""

    __slots__ = ("asked_at", "began", "command", "hops", "kind", "order", "tried")

    def __init__(
        self,
        kind: str,
        order: Any,  # noqa: ANN401
        began: int,
        asked_at: int,
        command: Command | None,
        tried: Attempt,
    ) -> None:
        self.kind, self.order, self.began, self.asked_at = kind, order, began, asked_at
        self.command, self.hops, self.tried = command, 0, tried


class RelayNode(Node):
    __slots__ = ("calls", "demand", "holder", "owed", "routes", "session")

    def __init__(self, name: str, site: str, clock: Clock) -> None:
        super().__init__(name, site, clock)
        self.session: Session | None = None
        self.holder = Holder(name, clock)
        self.calls: dict[int, Call] = {}
        self.routes: LeaderRoutes | None = None
        self.demand = 0
        self.owed: dict[str, int] = {}  # budgets of which a giving back is under way, by the call


class Relays:
    """All relays of one run. `busy`: how eagerly they give back, and look at the books."""

    def __init__(
        self, world: World, seen: Seen, names: tuple[str, ...], sites: int, busy: bool = True
    ) -> None:
        self.world, self.seen, self.busy = world, seen, busy
        self.rng = Prng(world.seed * 31 + 7)
        self.relays: dict[str, RelayNode] = {}
        self.count = self.commands = 0
        world.heard = self.heard
        world.others = self.work
        for place, name in enumerate(names):
            node = RelayNode(name, f"s{place % sites}", world.clock())
            self.relays[name] = world.nodes[name] = node
            seen.holders[name] = node.holder

    # A relay's life

    def start(self, relay: RelayNode) -> None:
        if relay.up:
            return
        self.world.say(f"{relay.name} starts")
        relay.up, relay.paused, relay.wake = True, False, -1
        relay.life += 1
        relay.jobs.clear()
        relay.calls, relay.owed = {}, {}
        keepers = tuple(sorted(self.world.keepers))
        relay.routes = LeaderRoutes(keepers, self.rng.below(len(keepers)), self.world.terms.lease)
        relay.session = relay.holder.session = Session(
            relay.name,
            relay.site,
            self.world.terms,
            Prng(self.rng.below(1 << 31)),
            relay.clock.local(self.world.now),
        )
        self._run(relay)

    def kill(self, relay: RelayNode) -> None:
        if relay.up:
            self.world.say(f"{relay.name} is killed")
            self.seen.shares(self.world.now)
            relay.holder.leave(self.world.terms)
            relay.up, relay.session, relay.holder.session = False, None, None
            relay.life += 1
            relay.jobs.clear()

    def close(self, relay: RelayNode) -> None:
        """As at SIGTERM: it lets go of what it holds, then says so."""
        if relay.up and not relay.paused:
            self.world.say(f"{relay.name} closes")
            self.seen.shares(self.world.now)
            if relay.session.is_usable(relay.clock.local(self.world.now)):
                relay.holder.levels = {}
            relay.session.close(relay.clock.local(self.world.now))
            self._run(relay)

    def work(self, relay: Node) -> None:
        while relay.up and not relay.paused and relay.jobs:
            job = relay.jobs.popleft()
            if job[0] == "answer":
                self._answer(relay, *job[1:])
            elif job[0] == "late" and job[1] in relay.calls:
                call = relay.calls.pop(job[1])
                self._failed(relay, call, "unknown_fate")
                if call.asked_at != LOOK:
                    relay.routes.unheard(relay.clock.local(self.world.now), call.tried)
            self._run(relay)

    def _run(self, relay: RelayNode) -> None:
        """What the session wants sent, what a user of budgets does with its shares, now and then a look."""
        session, now = relay.session, relay.clock.local(self.world.now)
        for order in session.orders(now):
            if isinstance(order, Beat):
                if self.rng.below(4) == 0:
                    relay.demand = self.rng.below(DEMAND)
                session.demands = tuple((one.name, relay.demand) for one in self.world.terms.budgets)
                self._call(relay, "renew", order._replace(demands=session.demands), order.asked_at)
            else:
                for command in order.commands:
                    self.seen.asks(self.world.now, relay.name, command)
                self._call(relay, "submit", order, order.asked_at)
        if self.busy:
            self._come_down(relay, now)
            if self.rng.below(LOOKS) == 0:
                self._look(relay)
        if session.state != ENDED:
            due = max(relay.clock.true(session.due()), self.world.now + SPIN)
            if relay.wake <= self.world.now or due < relay.wake:
                relay.wake = due
                self.world.at(due, self._tick, relay, relay.life)

    def _tick(self, relay: RelayNode, life: int) -> None:
        if relay.life == life and relay.wake == self.world.now:
            relay.wake = -1
            relay.jobs.append(("tick",))
            self.work(relay)

    def _come_down(self, relay: RelayNode, now: int) -> None:
        """Gives back what is asked for, and now and then some more; it uses less before it says so."""
        for name, share in relay.session.shares(now).items():
            keeps = share.wanted
            if self.rng.below(25) == 0:
                keeps = min(keeps, self.rng.below(share.granted + 1))
            if keeps < share.granted and name not in relay.owed:
                try:
                    command = relay.session.command(GiveBack(name, keeps), now)
                except FleetError:
                    continue
                relay.owed[name] = self.count + 1
                relay.holder.holdings(self.world.now, self.world.terms)
                self._call(relay, "submit", Submit((command,)), OWN, command)

    def _look(self, relay: RelayNode) -> None:
        """At any keeper, for one that is cut off must not answer."""
        names = sorted(self.relays)
        question = (
            Question("hash") if self.rng.below(2) else Question("session", names[self.rng.below(len(names))])
        )
        keepers = sorted(self.world.keepers)
        self._call(relay, "ask", question, LOOK, target=keepers[self.rng.below(len(keepers))])

    # Calls

    def _call(
        self,
        relay: RelayNode,
        kind: str,
        order: Any,  # noqa: ANN401
        asked_at: int,
        command: Command | None = None,
        target: str = "",
    ) -> None:
        self.count += 1
        tried = Attempt(target) if target else relay.routes.first(relay.clock.local(self.world.now))
        call = relay.calls[self.count] = Call(kind, order, self.world.now, asked_at, command, tried)
        self._send(relay, self.count, call)
        patience = self.world.terms.lease if kind == "ask" else self.world.terms.renew_interval
        self.world.at(self.world.now + patience, self.world.post, relay.name, relay.life, "late", self.count)

    def _send(self, relay: RelayNode, number: int, call: Call) -> None:
        world, (target, hand_on) = self.world, call.tried
        if world.size:
            world.bytes += world.size(call.order)
        world.send(
            relay.name, target, world.post, target, 0, call.kind, relay.name, number, call.order, hand_on
        )

    def heard(self, name: str, number: int, answer: Answer, by: str) -> None:
        """An answer reaches its relay's process; one to a former life finds no call there."""
        self.world.post(name, 0, "answer", number, answer, by)

    def _answer(self, relay: RelayNode, number: int, answer: Answer, by: str) -> None:
        call = relay.calls.get(number)
        if call is None:
            return
        code = answer.code if isinstance(answer, Done) else ""
        if code == "not_leader" and call.kind != "ask":
            leader = dict(answer.told).get("leader", "")
            then = relay.routes.not_leader(relay.clock.local(self.world.now), call.tried, leader, by)
            if call.hops < HOPS:
                call.hops, call.tried = call.hops + 1, then
                self._send(relay, number, call)
                return
        elif call.kind != "ask":
            self._routed(relay, call.tried, code, by)
        del relay.calls[number]
        if code:
            self._failed(relay, call, code)
            return
        now = relay.clock.local(self.world.now)
        if call.kind == "ask":
            self.seen.looked(call.began, self.world.now, call.order, answer)
            return
        if isinstance(answer, tuple) and not isinstance(answer, Renewed):
            for command, done in zip(call.order.commands, answer, strict=True):
                self.seen.told(call.began, self.world.now, relay.name, command, done)
                self.commands += not done.code
        if call.asked_at == OWN:
            self._own(relay, call, answer[0], now)
        else:
            relay.session.answered(now, call.asked_at, answer)
        self.seen.shares(self.world.now)

    def _routed(self, relay: RelayNode, tried: Attempt, code: str, by: str) -> None:
        if code in ELSEWHERE:
            relay.routes.elsewhere(relay.clock.local(self.world.now), tried, code, by)
        else:
            relay.routes.answered(tried, by)

    def _failed(self, relay: RelayNode, call: Call, code: str) -> None:
        if call.asked_at == OWN:
            relay.session.lost(call.command, code)
            relay.owed = {
                name: number for name, number in relay.owed.items() if call.command.what.budget != name
            }
        elif call.asked_at != LOOK:
            relay.session.failed(relay.clock.local(self.world.now), call.asked_at, code)

    def _own(self, relay: RelayNode, call: Call, done: Done, now: int) -> None:
        relay.owed.pop(call.command.what.budget, None)
        if done.code in ("unknown_fate", "not_leader", "no_quorum", "overloaded", "stopping"):
            relay.session.lost(call.command, done.code)
        else:
            relay.session.confirmed(now, call.command)
