"""A relay's own side of its session with the keepers: pure; its state is changed by `Session._turn` alone.

All times are microseconds of the relay's own monotonic clock. The lease counts from when the relay asked for
what was granted, never from when the answer came, and `usable` is looked at before each use: a relay that
wakes from a pause finds out before it acts. The keepers' half of the argument is in `members.py`.
"""

from typing import NamedTuple

from laurelcourse.fleet.books.forms import Close, Command, Done, Fence, GiveBack, Open, What
from laurelcourse.fleet.errors import LapsedLeaseError, OverloadedError
from laurelcourse.fleet.orders import Answer, Beat, Renewed, Share, Submit, Terms
from laurelcourse.prng import Prng

AWAY, OPENING, HELD, LAPSED = "away", "opening", "held", "lapsed"
CLOSING, ENDED = "closing", "ended"
TURNS = {  # LAPSED: over by the own clock; the keepers may still have the session, and renew it
    AWAY: (OPENING, ENDED),
    OPENING: (HELD, AWAY, ENDED),
    HELD: (LAPSED, OPENING, CLOSING),
    LAPSED: (HELD, OPENING, CLOSING),
    CLOSING: (ENDED,),
    ENDED: (),
}

OVER = ("lapsed_lease", "fenced_off")  # the keepers have ended the session
MARKS = 64  # the books know what came of so many marks
MARK_BOUND = 1 << 31
DOUBLINGS = 5  # of the pause between openings, in beats; never longer than a lease


class Kept(NamedTuple):
    """A share given back: no more than `keeps` may be used until an answer surely knows of it."""

    budget: str
    keeps: int
    made: int
    lower: bool  # than what could be used until then: seen again that low, it was carried out
    known: int | None = None  # when its outcome was heard


class Session:
    def __init__(self, name: str, site: str, terms: Terms, rng: Prng, now: int) -> None:
        """`chance`: seeded otherwise at each start of the process, for its `Open` must not bear the mark of
        the one before."""
        self.name, self.site, self.terms, self.rng = name, site, terms, rng
        self.state = AWAY
        self.fence: Fence | None = None
        self.demands: tuple[tuple[str, int], ...] = ()  # told with each Beat, as in `orders.Beat`;
        self.uses: tuple[tuple[str, int], ...] = ()  # set by whoever uses budgets
        self.now = now  # the latest that was told
        self.next_at = now  # when the next order is due
        self.failures = 0  # openings that came to nothing, in a row
        self.mark = self.open_mark = 0
        self.first_asked = now  # of the Open under way, with its mark
        self.granted_at: int | None = None  # asking time of the newest answer granted
        self.held: dict[str, Share] = {}
        self.given_back: dict[int, Kept] = {}  # by mark
        self.unknown: dict[int, Command] = {}  # by mark
        self.out: dict[int, tuple[int, ...]] = {}  # orders under way: marks by asking time
        self.found: list[tuple[Command, Done]] = []

    def _turn(self, state: str) -> None:
        """The one place where `state` changes."""
        if state not in TURNS[self.state]:
            raise AssertionError(f"session {self.name}: {self.state} can't become {state}")
        self.state = state
        if state == OPENING:
            self._forget()
        if state in (LAPSED, CLOSING, ENDED):
            self.held = {}

    def _forget(self) -> None:
        """The session before is over: what came of orders unanswered, nobody will tell any more."""
        for mark in sorted(self.unknown):
            self.found.append((self.unknown[mark], Done(code="unknown_fate", to=self.name)))
        self.unknown, self.out, self.held, self.given_back = {}, {}, {}, {}
        self.fence, self.granted_at, self.mark = None, None, 0
        self.open_mark = 1 + self.rng.below(MARK_BOUND)

    def _look(self, now: int) -> None:
        """A pause is found out here, whoever asks first after it."""
        self.now = max(self.now, now)
        if self.state == HELD and not self._in_lease(now):
            self._turn(LAPSED)
            self.next_at = now

    def _in_lease(self, now: int) -> bool:
        return self.granted_at is not None and now < self.granted_at + self.terms.holds()

    def due(self) -> int:
        """When `orders` is wanted next."""
        if self.state == HELD and self.granted_at is not None:
            return min(self.next_at, self.granted_at + self.terms.holds())
        return self.next_at

    def usable(self, now: int) -> bool:
        self._look(now)
        return self.state == HELD and self._in_lease(now)

    def shares(self, now: int) -> dict[str, Share]:
        """By budget, in order; empty when the lease is not usable. Never more than was kept at a giving
        back: answers that set out before the keepers heard of it still tell the former share."""
        if not self.usable(now):
            return {}
        return {name: self._capped(self.held[name]) for name in sorted(self.held)}

    def _capped(self, share: Share) -> Share:
        least = min(
            (kept.keeps for kept in self.given_back.values() if kept.budget == share.budget),
            default=share.granted,
        )
        return share._replace(granted=min(share.granted, least), wanted=min(share.wanted, least))

    def orders(self, now: int) -> list[Submit | Beat]:
        """What is to be sent now. `asked_at` in each is to be given back with its answer."""
        self._look(now)
        if now < self.next_at or self.state == ENDED:
            return []
        if self.state == AWAY:
            self._turn(OPENING)
            self.first_asked = now
        # An order that is never answered nor failed must not hold up the next one for ever.
        self.next_at = now + (self.terms.lease if self.state == OPENING else self.terms.beat)
        self.out = {asked: marks for asked, marks in self.out.items() if asked > now - 2 * self.terms.lease}
        if self.state == OPENING:
            self.out[now] = (self.open_mark,)
            return [Submit((Command(None, self.open_mark, Open(self.name, self.site)),), now)]
        if self.state == CLOSING:
            self.out[now] = (self.mark,)
            return [Submit((Command(self.fence, self.mark, Close()),), now)]
        self.out[now] = tuple(sorted(self.unknown))
        lost = tuple(self.unknown[mark] for mark in sorted(self.unknown))
        return [Beat(self.fence, self.demands, now, self.uses), *([Submit(lost, now)] if lost else [])]

    def answered(self, now: int, asked_at: int, answer: Answer) -> None:
        """An answer to an order of `orders`; one to an order of a former session is passed over."""
        self._look(now)
        if asked_at not in self.out or self.state == ENDED:
            return
        if isinstance(answer, Renewed):
            self._renewed(now, asked_at, answer)
        elif isinstance(answer, Done):
            self.failed(now, asked_at, answer.code)
        elif self.state == OPENING:
            self._opened(now, answer[0])
        elif self.state == CLOSING:
            if self.out[asked_at] == (self.mark,):
                self._turn(ENDED)
        else:
            for mark, done in zip(self.out[asked_at], answer, strict=True):
                if mark in self.unknown and done.code not in ("unknown_fate", "not_leader"):
                    self.found.append((self.unknown[mark], done))
                    self.known(now, self.unknown.pop(mark))
            if any(done.code in OVER for done in answer):
                self._reopen(now)

    def _renewed(self, now: int, asked_at: int, answer: Renewed) -> None:
        if self.state not in (HELD, LAPSED) or (self.granted_at is not None and asked_at < self.granted_at):
            return
        self.granted_at = asked_at
        if not self._in_lease(now):
            return  # it came too late to be of use
        self.held = {share.budget: share for share in answer.shares}
        self._uncap(now, asked_at)
        if self.state == LAPSED:
            self._turn(HELD)

    def _uncap(self, now: int, asked_at: int) -> None:
        """A cap goes with an answer to a Beat asked after the outcome was heard. What was granted falls by
        the session's own word alone: an answer that shows it that low proves that the word was heard."""
        for mark, kept in sorted(self.given_back.items()):
            share = self.held.get(kept.budget)
            alone = sum(other.budget == kept.budget for other in self.given_back.values()) == 1
            if kept.known is not None and asked_at > kept.known:
                del self.given_back[mark]
            elif (
                kept.known is None
                and alone
                and kept.lower
                and asked_at > kept.made
                and (share is None or share.granted <= kept.keeps)
            ):
                self.given_back[mark] = kept._replace(known=now)

    def _opened(self, now: int, done: Done) -> None:
        if done.code:
            # With another mark: the books' word on this one is a refusal for good.
            self._away(now)
            return
        self.fence, self.failures = Fence(*done.value), 0
        self.out = {}
        self._turn(HELD)
        # The keepers count from when the Open was applied, which may have been at the first asking.
        self.granted_at, self.next_at = self.first_asked, now
        self._look(now)

    def _away(self, now: int) -> None:
        self._turn(AWAY)
        self._pause(now)

    def _pause(self, now: int) -> None:
        """Growing, and scattered, so that a fleet that lost its keepers does not come back at one instant."""
        longest = min(self.terms.beat << min(self.failures, DOUBLINGS), self.terms.lease)
        self.failures += 1
        self.next_at = now + longest // 2 + self.rng.below(max(longest // 2, 1))

    def _reopen(self, now: int) -> None:
        self._turn(OPENING)
        self.first_asked = self.next_at = now

    def failed(self, now: int, asked_at: int, code: str) -> None:
        """An order of `orders` was refused, or no answer came. What may have been done is asked for again
        with the same mark."""
        self._look(now)
        if asked_at not in self.out:
            return
        if self.state == OPENING:
            self._pause(now)
        elif self.state == CLOSING:
            if code in OVER:
                self._turn(ENDED)
        elif self.state in (HELD, LAPSED) and code in OVER:
            self._reopen(now)
        self.out.pop(asked_at, None)

    def command(self, what: What, now: int = 0) -> Command:
        """With the fence and the next mark. LapsedLeaseError: the lease is not usable. OverloadedError: one
        of unknown fate would fall out of what the books remember."""
        now = max(now, self.now)
        if not self.usable(now):
            raise LapsedLeaseError(self.name, session=self.fence.session if self.fence else 0)
        if self.unknown and self.mark + 1 - min(self.unknown) >= MARKS:
            raise OverloadedError(self.name, waiting=len(self.unknown), at_most=MARKS)
        self.mark += 1
        if isinstance(what, GiveBack):
            share = self.held.get(what.budget)
            lower = share is not None and what.keeps < self._capped(share).granted
            self.given_back[self.mark] = Kept(what.budget, what.keeps, now, lower)
        return Command(self.fence, self.mark, what)

    def lost(self, command: Command, code: str) -> None:
        """No answer came (`code` says why): given again with each Beat until one does, see `settled`."""
        if command.fence == self.fence and self.state in (HELD, LAPSED):
            self.unknown[command.mark] = command
        else:
            self.found.append((command, Done(code="unknown_fate", to=self.name, told=(("why", code),))))

    def known(self, now: int, command: Command) -> None:
        """The command was answered, whatever with: Beats asked from now on know of it."""
        self.now = max(self.now, now)
        kept = self.given_back.get(command.mark)
        if kept is not None and command.fence == self.fence:
            self.given_back[command.mark] = kept._replace(known=self.now)

    def settled(self) -> list[tuple[Command, Done]]:
        """What came of the commands told `lost`, each once."""
        found, self.found = self.found, []
        return found

    def close(self, now: int) -> None:
        """Nothing is used any more; what is held is given back at once."""
        self._look(now)
        if self.state in (HELD, LAPSED):
            self.mark += 1
            self._turn(CLOSING)
            self.next_at = now
        elif self.state in (AWAY, OPENING):
            # An Open under way is left to lapse: its fence is not known here.
            self._turn(ENDED)
