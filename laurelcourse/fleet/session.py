"""A relay's side of its session with the keepers. Pure; `Session._set_state` is the one place where it
changes.

All times are microseconds of the relay's own monotonic clock. The lease counts from when the relay asked for
what was granted, never from when the answer came, and `is_usable` is checked before each use: a relay that
wakes from a pause notices before it acts. The keepers' half of the argument is in `members.py`.
"""

from typing import NamedTuple

from laurelcourse.fleet.books.forms import (
    Begin,
    Close,
    Command,
    Done,
    Fence,
    GiveBack,
    Move,
    Open,
    Reserve,
    What,
)
from laurelcourse.fleet.errors import LapsedLeaseError, OverloadedError
from laurelcourse.fleet.orders import Answer, Beat, Renewed, Share, Submit, Terms
from laurelcourse.prng import Prng

# States, and which may follow.
AWAY = "away"
OPENING = "opening"
HELD = "held"
LAPSED = "lapsed"  # by the own clock; the keepers may still have the session, and renew it
CLOSING = "closing"
ENDED = "ended"
NEXT_STATES = {
    AWAY: (OPENING, ENDED),
    OPENING: (HELD, AWAY, ENDED),
    HELD: (LAPSED, OPENING, CLOSING),
    LAPSED: (HELD, OPENING, CLOSING),
    CLOSING: (ENDED,),
    ENDED: (),
}

SESSION_OVER_CODES = ("lapsed_lease", "fenced_off")  # the keepers have ended the session
UNSENDABLE_CODES = ("too_large", "unreadable")  # of a message that no repetition brings to the keepers
MAX_REPEATED = 32  # commands of unknown fate in one message
MAX_LARGE_REPEATED = 2  # of those, as each may hold a whole definition or plan
BLOCKED_LEASES = 2  # without any result while renewals are answered, after which the session is given up
REMEMBERED_MARKS = 64  # results that the state machine remembers for a session
OPEN_MARK_BOUND = 1 << 31
MAX_BACKOFF_DOUBLINGS = 5  # of the renew interval; never longer than a lease


class GivenBack(NamedTuple):
    """A share being given back: no more than `keeps` may be used until an answer surely includes it."""

    budget: str
    keeps: int
    given_at: int
    lowers: bool  # it is less than was usable: a share seen that low proves that it was carried out
    confirmed_at: int | None = None  # when its result was received


class Session:
    """One relay's session: its lease, shares, and commands of unknown fate."""

    def __init__(self, name: str, site: str, terms: Terms, rng: Prng, now: int) -> None:
        """`rng` must be seeded differently at each start: an `Open` must not repeat the mark of the last
        one.
        """
        self.name, self.site, self.terms, self.rng = name, site, terms, rng
        self.state = AWAY
        self.fence: Fence | None = None
        # Sent with each Beat, see `orders.Beat`; set by the user of the budgets.
        self.demands: tuple[tuple[str, int], ...] = ()
        self.uses: tuple[tuple[str, int], ...] = ()
        self.now = now  # the latest time seen
        self.next_at = now  # when the next order is due
        self.failures = 0  # failed openings in a row
        self.mark = self.open_mark = 0
        self.first_asked = now  # of the Open with the current mark
        self.granted_at: int | None = None  # when the newest lease granted was asked for
        self.held: dict[str, Share] = {}
        self.given_back: dict[int, GivenBack] = {}  # by mark
        self.unknown: dict[int, Command] = {}  # commands of unknown fate, by mark
        self.in_flight: dict[int, tuple[int, ...]] = {}  # marks of orders but repeats, by asking time
        self.repeats: dict[int, tuple[int, ...]] = {}  # marks of commands that were repeated, by asking time
        self.blocked_since: int | None = None  # from when on renewals are answered, and no command is
        self.results: list[tuple[Command, Done]] = []

    def _set_state(self, state: str) -> None:
        """The one place where `state` changes."""
        if state not in NEXT_STATES[self.state]:
            raise AssertionError(f"session {self.name}: {self.state} can't become {state}")
        self.state = state
        if state == OPENING:
            self._forget_session()
        if state in (LAPSED, CLOSING, ENDED):
            self.held = {}

    def _forget_session(self) -> None:
        """The former session is over: the fate of its unanswered commands stays unknown."""
        for mark in sorted(self.unknown):
            self.results.append((self.unknown[mark], Done(code="unknown_fate", to=self.name)))
        self.unknown, self.in_flight, self.held, self.given_back = {}, {}, {}, {}
        self.repeats, self.blocked_since = {}, None
        self.fence, self.granted_at, self.mark = None, None, 0
        self.open_mark = 1 + self.rng.below(OPEN_MARK_BOUND)

    def _check_lease(self, now: int) -> None:
        """Notices a lease that ended during a pause, whichever method is called first after it."""
        self.now = max(self.now, now)
        if self.state == HELD and not self._in_lease(now):
            self._set_state(LAPSED)
            self.next_at = now

    def _in_lease(self, now: int) -> bool:
        return self.granted_at is not None and now < self.granted_at + self.terms.holder_lease()

    def due(self) -> int:
        """Returns when `orders` has to be called next."""
        if self.state == HELD and self.granted_at is not None:
            return min(self.next_at, self.granted_at + self.terms.holder_lease())
        return self.next_at

    def is_usable(self, now: int) -> bool:
        """Returns whether the lease is valid now."""
        self._check_lease(now)
        return self.state == HELD and self._in_lease(now)

    def shares(self, now: int) -> dict[str, Share]:
        """Returns the shares by budget, in order; none when the lease is not valid.

        They never exceed what was kept in a GiveBack: answers sent before the keepers applied it still have
        the former share.
        """
        if not self.is_usable(now):
            return {}
        return {name: self._capped(self.held[name]) for name in sorted(self.held)}

    def _capped(self, share: Share) -> Share:
        cap = min(
            (
                given_back.keeps
                for given_back in self.given_back.values()
                if given_back.budget == share.budget
            ),
            default=share.granted,
        )
        return share._replace(granted=min(share.granted, cap), wanted=min(share.wanted, cap))

    def orders(self, now: int) -> list[Submit | Beat]:
        """Returns what has to be sent now. `asked_at` of each has to be passed back with its answer."""
        self._check_lease(now)
        if now < self.next_at or self.state == ENDED:
            return []
        if self.state == AWAY:
            self._set_state(OPENING)
            self.first_asked = now
        if self._is_blocked(now):
            self._reopen(now)
        # An order that is never answered nor fails must not delay the next one for ever.
        self.next_at = now + (self.terms.lease if self.state == OPENING else self.terms.renew_interval)
        self.in_flight = self._recent(self.in_flight, now)
        self.repeats = self._recent(self.repeats, now)
        if self.state == OPENING:
            self.in_flight[now] = (self.open_mark,)
            return [Submit((Command(None, self.open_mark, Open(self.name, self.site)),), now)]
        if self.state == CLOSING:
            self.in_flight[now] = (self.mark,)
            return [Submit((Command(self.fence, self.mark, Close()),), now)]
        self.in_flight[now] = ()
        beat = Beat(self.fence, self.demands, now, self.uses)
        repeats = self._next_repeats()
        if not repeats:
            return [beat]
        self.repeats[now] = tuple(command.mark for command in repeats)
        return [beat, Submit(repeats, now)]

    def _recent(self, orders: dict[int, tuple[int, ...]], now: int) -> dict[int, tuple[int, ...]]:
        """Returns the orders that may yet be answered."""
        return {asked: marks for asked, marks in orders.items() if asked > now - 2 * self.terms.lease}

    def _next_repeats(self) -> tuple[Command, ...]:
        """Returns the first commands of unknown fate, as many as fit into one message with the first one."""
        commands, large = [], 0
        for mark in sorted(self.unknown)[:MAX_REPEATED]:
            command = self.unknown[mark]
            large += isinstance(command.what, Begin | Reserve | Move)
            if large > MAX_LARGE_REPEATED:
                break
            commands.append(command)
        return tuple(commands)

    def _is_blocked(self, now: int) -> bool:
        """Returns whether this relay is taken for alive, but has had no command carried out for long.

        It must not keep what it can't act on: the session is left to lapse, and others take over.
        """
        return (
            self.state == HELD
            and self.blocked_since is not None
            and now - self.blocked_since > BLOCKED_LEASES * self.terms.lease
        )

    def answered(self, now: int, asked_at: int, answer: Answer, is_repeat: bool = False) -> None:
        """Handles the answer to an order of `orders`; one of a former session is ignored.

        `is_repeat`: it answers the Submit that was sent beside a Beat.
        """
        self._check_lease(now)
        if self.state == ENDED:
            return
        if isinstance(answer, Done):
            self.failed(now, asked_at, answer.code, is_repeat)
        elif self.state in (HELD, LAPSED) and not isinstance(answer, Renewed):
            self._on_repeated(now, asked_at, answer)
        elif asked_at not in self.in_flight:
            return
        elif isinstance(answer, Renewed):
            self._on_renewed(now, asked_at, answer)
        elif self.state == OPENING:
            self._on_opened(now, answer[0])
        elif self.state == CLOSING and self.in_flight[asked_at] == (self.mark,):
            self._set_state(ENDED)

    def _on_repeated(self, now: int, asked_at: int, results: tuple[Done, ...]) -> None:
        if asked_at not in self.repeats:
            return
        for mark, result in zip(self.repeats[asked_at], results, strict=True):
            if mark in self.unknown and result.code not in ("unknown_fate", "not_leader"):
                self.results.append((self.unknown[mark], result))
                self.confirmed(now, self.unknown.pop(mark))
        if any(result.code in SESSION_OVER_CODES for result in results):
            self._reopen(now)

    def _on_renewed(self, now: int, asked_at: int, answer: Renewed) -> None:
        if self.state not in (HELD, LAPSED) or (self.granted_at is not None and asked_at < self.granted_at):
            return
        self.granted_at = asked_at
        if not self._in_lease(now):
            return  # it came too late to be of use
        self.held = {share.budget: share for share in answer.shares}
        self._remove_caps(now, asked_at)
        if not self.unknown or self.state == LAPSED:
            self.blocked_since = None
        elif self.blocked_since is None:
            self.blocked_since = now
        if self.state == LAPSED:
            self._set_state(HELD)

    def _remove_caps(self, now: int, asked_at: int) -> None:
        """Removes caps of given-back shares that the answer surely includes.

        That is so for an answer to a Beat asked after the result was received. And since only the session
        itself lowers what was granted, an answer with a share that low proves that the GiveBack was carried
        out.
        """
        for mark, given_back in sorted(self.given_back.items()):
            share = self.held.get(given_back.budget)
            only_one = sum(other.budget == given_back.budget for other in self.given_back.values()) == 1
            if given_back.confirmed_at is not None and asked_at > given_back.confirmed_at:
                del self.given_back[mark]
            elif (
                given_back.confirmed_at is None
                and only_one
                and given_back.lowers
                and asked_at > given_back.given_at
                and (share is None or share.granted <= given_back.keeps)
            ):
                self.given_back[mark] = given_back._replace(confirmed_at=now)

    def _on_opened(self, now: int, result: Done) -> None:
        if result.code:
            # The next try has another mark: the state machine's refusal of this one is final.
            self._set_state(AWAY)
            self._back_off(now)
            return
        self.fence, self.failures = Fence(*result.value), 0
        self.in_flight = {}
        self._set_state(HELD)
        # The keepers count from the Open's application, which may have followed the first request.
        self.granted_at, self.next_at = self.first_asked, now
        self._check_lease(now)

    def _back_off(self, now: int) -> None:
        """Backs off with jitter, so that a fleet that lost its keepers does not reconnect at one instant."""
        max_delay = min(
            self.terms.renew_interval << min(self.failures, MAX_BACKOFF_DOUBLINGS), self.terms.lease
        )
        self.failures += 1
        self.next_at = now + max_delay // 2 + self.rng.below(max(max_delay // 2, 1))

    def _reopen(self, now: int) -> None:
        self._set_state(OPENING)
        self.first_asked = self.next_at = now

    def failed(self, now: int, asked_at: int, code: str, is_repeat: bool = False) -> None:
        """An order of `orders` was refused or not answered.

        What may have been carried out is repeated with the same mark. `is_repeat` is as in `answered`.
        """
        self._check_lease(now)
        if is_repeat and self.state in (HELD, LAPSED):
            self._on_repeat_failed(now, asked_at, code)
            return
        if asked_at not in self.in_flight:
            return
        if self.state == OPENING:
            self._back_off(now)
        elif self.state == CLOSING:
            if code in SESSION_OVER_CODES:
                self._set_state(ENDED)
        elif self.state in (HELD, LAPSED) and code in SESSION_OVER_CODES:
            self._reopen(now)
        self.in_flight.pop(asked_at, None)

    def _on_repeat_failed(self, now: int, asked_at: int, code: str) -> None:
        """The Beat beside the repeats is not concerned. What can never be sent goes back to who gave it."""
        marks = self.repeats.pop(asked_at, ())
        if marks and code in SESSION_OVER_CODES:
            self._reopen(now)
        elif code in UNSENDABLE_CODES:
            result = Done(code="unknown_fate", to=self.name, told=(("why", code),))
            self.results.extend((self.unknown.pop(mark), result) for mark in marks if mark in self.unknown)

    def command(self, what: What, now: int = 0) -> Command:
        """Returns a command with the fence and the next mark.

        Raises LapsedLeaseError if the lease is not valid, and OverloadedError if a command of unknown fate
        would drop out of the results that the state machine remembers.
        """
        now = max(now, self.now)
        if not self.is_usable(now):
            raise LapsedLeaseError(self.name, session=self.fence.session if self.fence else 0)
        if self.unknown and self.mark + 1 - min(self.unknown) >= REMEMBERED_MARKS:
            raise OverloadedError(self.name, waiting=len(self.unknown), at_most=REMEMBERED_MARKS)
        self.mark += 1
        if isinstance(what, GiveBack):
            share = self.held.get(what.budget)
            lowers = share is not None and what.keeps < self._capped(share).granted
            self.given_back[self.mark] = GivenBack(what.budget, what.keeps, now, lowers)
        return Command(self.fence, self.mark, what)

    def lost(self, command: Command, code: str) -> None:
        """No answer came (`code` says why): the command is repeated with each Beat until `take_results` has
        it.
        """
        if command.fence == self.fence and self.state in (HELD, LAPSED):
            self.unknown[command.mark] = command
        else:
            result = Done(code="unknown_fate", to=self.name, told=(("why", code),))
            self.results.append((command, result))

    def confirmed(self, now: int, command: Command) -> None:
        """The command was answered, with whatever result: later Beats include its effect."""
        self.now = max(self.now, now)
        self.blocked_since = None
        given_back = self.given_back.get(command.mark)
        if given_back is not None and command.fence == self.fence:
            self.given_back[command.mark] = given_back._replace(confirmed_at=self.now)

    def take_results(self) -> list[tuple[Command, Done]]:
        """Returns the results of commands that were `lost`, each once."""
        results, self.results = self.results, []
        return results

    def close(self, now: int) -> None:
        """Ends the session: nothing is used any more, and what is held is given back at once."""
        self._check_lease(now)
        if self.state in (HELD, LAPSED):
            self.mark += 1
            self._set_state(CLOSING)
            self.next_at = now
        elif self.state in (AWAY, OPENING):
            # An Open in flight is left to lapse: its fence is not known here.
            self._set_state(ENDED)
