"""All budgets at one relay: what it may use, what it asks for and what it gives back. Pure.

There is one `BudgetUse` for each budget, and for each key (a unit, a tenant...) of a budget that is divided
by key. One that was not asked for recently is removed once nothing of it is held, so that keys of removed
units don't accumulate.
"""

from collections.abc import Iterable

from laurelcourse.fleet.books.forms import LEVEL, Budget, GiveBack
from laurelcourse.fleet.budgets.usage import BudgetUse
from laurelcourse.fleet.errors import NoSuchBudgetError
from laurelcourse.fleet.session import Session

MAX_USES = 1024  # scopes at once; keys beyond them share the floor of one use
IDLE_LEASES = 4  # leases without a question after which a use is removed
OVERFLOW_KEY = "*"  # stands for all keys beyond MAX_USES


class Holder:
    """The budgets of one relay. Times are microseconds of the clock by which the lease is measured."""

    __slots__ = ("asked_at", "budgets", "session", "started", "uses", "waiting")

    def __init__(
        self, session: Session, budgets: Iterable[Budget], now: int, waiting: Iterable[str] = ()
    ) -> None:
        """`waiting` are the names of budgets that reqs wait for when they are used up."""
        self.session = session
        self.started = now
        self.waiting = frozenset(waiting)
        self.budgets = {budget.name: budget for budget in budgets}
        self.uses: dict[str, BudgetUse] = {}
        self.asked_at: dict[str, int] = {}

    def allows(self, now: int, name: str, key: str = "", amount: int = 1) -> bool | None:
        """Returns what `consume` would return, without consuming."""
        if self._is_unlimited(now, name):
            return None
        return self._use(now, name, key).allows(now, amount, usable=self.session.is_usable(now))

    def consume(self, now: int, name: str, key: str = "", amount: int = 1) -> bool | None:
        """Consumes an amount of a budget if it may be used now; the lease is checked in this very call.

        Returns None if no budget has this name, or if it has neither a floor nor, without a lease, a share:
        the caller's own limit applies then.
        """
        if self._is_unlimited(now, name):
            return None
        return self._use(now, name, key).consume(now, amount, usable=self.session.is_usable(now))

    def _is_unlimited(self, now: int, name: str) -> bool:
        budget = self.budgets.get(name)
        return budget is None or (
            budget.floor == 0 and budget.kind != LEVEL and not self.session.is_usable(now)
        )

    def release(self, now: int, name: str, key: str = "", amount: int = 1) -> None:
        """Releases an amount of a LEVEL that is no longer held."""
        if name in self.budgets:
            self._use(now, name, key).release(now, amount)

    def _use(self, now: int, name: str, key: str) -> BudgetUse:
        budget = self.budgets.get(name)
        if budget is None:
            raise NoSuchBudgetError(name)
        scope = f"{name}/{key}" if key else name
        if scope not in self.uses and len(self.uses) >= MAX_USES:
            scope = f"{name}/{OVERFLOW_KEY}"
        if scope not in self.uses:
            # An earlier process of this relay may have used its floor of a COUNT just before.
            self.uses[scope] = BudgetUse(budget, self.started + budget.window)
        self.asked_at[scope] = now
        return self.uses[scope]

    def update_session(self, now: int) -> None:
        """Sets what the session reports with its next renewals: demands and recent use."""
        self._remove_idle(now)
        scopes = [scope for scope in sorted(self.uses) if not scope.endswith(f"/{OVERFLOW_KEY}")]
        self.session.demands = tuple((scope, self.uses[scope].demand(now)) for scope in scopes)
        used = [(scope, self.uses[scope].used_ppm(now)) for scope in scopes]
        self.session.uses = tuple((scope, ppm) for scope, ppm in used if ppm >= 0)

    def renewed(self, now: int) -> None:
        """Applies the shares that the session has after a renewal was answered."""
        shares = self.session.shares(now)
        for scope in sorted(shares.keys() - self.uses.keys()):
            name = scope.partition("/")[0]
            if name in self.budgets:
                self.uses[scope] = BudgetUse(self.budgets[name], self.started + self.budgets[name].window)
                self.asked_at[scope] = now
        # What a session has given back ends with it: later shares belong to another session.
        usable = self.session.is_usable(now)
        until = self.session.granted_at + self.session.terms.holder_lease() if usable else 0
        for scope in sorted(self.uses):
            self.uses[scope].set_share(now, shares.get(scope), until)

    def give_backs(self, now: int) -> list[GiveBack]:
        """Returns what this relay gives back, for the caller to send until it is answered."""
        kept = [(scope, self.uses[scope].give_back(now)) for scope in sorted(self.uses)]
        return [GiveBack(scope, keeps) for scope, keeps in kept if keeps is not None]

    def give_back_answered(self, now: int, order: GiveBack) -> None:
        """Records that the books have accepted or refused a give-back."""
        if order.budget in self.uses:
            self.uses[order.budget].give_back_answered(now + self.session.terms.holder_lease())

    def _remove_idle(self, now: int) -> None:
        idle_since = now - IDLE_LEASES * self.session.terms.lease
        for scope in [scope for scope, at in self.asked_at.items() if at < idle_since]:
            use = self.uses[scope]
            if not (use.granted or use.held or use.counted or (use.budget.kind == LEVEL and use.held)):
                del self.uses[scope], self.asked_at[scope]
