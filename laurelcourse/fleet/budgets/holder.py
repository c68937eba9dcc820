"""All budgets at one relay: which it has, what it asks and what it gives back. Pure.

One `Use` for each budget, and for each key of one that is asked for (a unit, a tenant...). A use that nobody
has asked for lately goes, once nothing of it is held, so that keys of units long gone don't add up."""

from collections.abc import Iterable

from laurelcourse.fleet.books.forms import LEVEL, Budget, GiveBack
from laurelcourse.fleet.budgets.use import Use
from laurelcourse.fleet.errors import NoSuchBudgetError
from laurelcourse.fleet.session import Session

USES = 1024  # scopes at once, at most: beyond them a key has its floor in one use together with all such
IDLE_LEASES = 4  # without a word, and its use goes
OTHERS = "*"  # the key of what is beyond


class Holder:
    """Times: microseconds of the clock that the session counts its leases by."""

    __slots__ = ("asked_at", "budgets", "session", "started", "uses", "waiting")

    def __init__(
        self, session: Session, budgets: Iterable[Budget], now: int, waiting: Iterable[str] = ()
    ) -> None:
        """`waiting`: names of budgets that reqs wait for when they are used up."""
        self.session, self.started, self.waiting = session, now, frozenset(waiting)
        self.budgets = {one.name: one for one in budgets}
        self.uses: dict[str, Use] = {}
        self.asked_at: dict[str, int] = {}

    def allows(self, now: int, name: str, key: str = "", amount: int = 1) -> bool | None:
        """Whether `take` would say yes."""
        if self._unbound(now, name):
            return None
        return self._use(now, name, key).could(now, amount, usable=self.session.is_usable(now))

    def consume(self, now: int, name: str, key: str = "", amount: int = 1) -> bool | None:
        """Whether so much of the budget may be used now; if so it counts as used. The lease is looked at in
        this very call. None: no budget has this name, or it has neither a floor nor, without a lease, a
        share: whoever asks is left to its own bound."""
        if self._unbound(now, name):
            return None
        return self._use(now, name, key).take(now, amount, usable=self.session.is_usable(now))

    def _unbound(self, now: int, name: str) -> bool:
        budget = self.budgets.get(name)
        return budget is None or (
            budget.floor == 0 and budget.kind != LEVEL and not self.session.is_usable(now)
        )

    def release(self, now: int, name: str, key: str = "", amount: int = 1) -> None:
        """Of a LEVEL: so much is held no longer."""
        if name in self.budgets:
            self._use(now, name, key).back(now, amount)

    def _use(self, now: int, name: str, key: str) -> Use:
        budget = self.budgets.get(name)
        if budget is None:
            raise NoSuchBudgetError(name)
        scope = f"{name}/{key}" if key else name
        if scope not in self.uses and len(self.uses) >= USES:
            scope = f"{name}/{OTHERS}"
        if scope not in self.uses:
            # A former process of this relay may have used its floor of a COUNT just before.
            self.uses[scope] = Use(budget, self.started + budget.window)
        self.asked_at[scope] = now
        return self.uses[scope]

    def beat(self, now: int) -> None:
        """Before orders are made: what the session tells with its Beats."""
        self._tidy(now)
        scopes = [scope for scope in sorted(self.uses) if not scope.endswith(f"/{OTHERS}")]
        self.session.demands = tuple((scope, self.uses[scope].demand(now)) for scope in scopes)
        used = [(scope, self.uses[scope].used_of(now)) for scope in scopes]
        self.session.uses = tuple((scope, part) for scope, part in used if part >= 0)

    def renewed(self, now: int) -> None:
        """After an answer: the shares that the session has now."""
        shares = self.session.shares(now)
        for scope in sorted(shares.keys() - self.uses.keys()):
            name = scope.partition("/")[0]
            if name in self.budgets:
                self.uses[scope] = Use(self.budgets[name], self.started + self.budgets[name].window)
                self.asked_at[scope] = now
        # A session that is over takes its words with it: what is told next is another one's.
        usable = self.session.is_usable(now)
        until = self.session.granted_at + self.session.terms.holder_lease() if usable else 0
        for scope in sorted(self.uses):
            self.uses[scope].told(now, shares.get(scope), until)

    def give_backs(self, now: int) -> list[GiveBack]:
        found = [(scope, self.uses[scope].keeps(now)) for scope in sorted(self.uses)]
        return [GiveBack(scope, keeps) for scope, keeps in found if keeps is not None]

    def given(self, now: int, what: GiveBack) -> None:
        """The books have answered a giving back, by yes or no."""
        if what.budget in self.uses:
            self.uses[what.budget].given(now + self.session.terms.holder_lease())

    def _tidy(self, now: int) -> None:
        old = now - IDLE_LEASES * self.session.terms.lease
        for scope in [scope for scope, at in self.asked_at.items() if at < old]:
            use = self.uses[scope]
            if not (use.granted or use.held or use.counted or (use.budget.kind == LEVEL and use.held)):
                del self.uses[scope], self.asked_at[scope]
