"""The leader's division of budgets: turns the replicated state and the relays' demands into Grants. Pure."""

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Grant
from laurelcourse.fleet.budgets.division import SessionDemand, divide, update_credit
from laurelcourse.fleet.members import Members


class BudgetAllocator:
    """`credit`: how far each session's demand is trusted, by scope; `paused_until`: by scope, after a Grant
    of it was refused.
    """

    __slots__ = ("credit", "paused_until")

    def __init__(self) -> None:
        self.credit: dict[str, dict[int, int]] = {}
        self.paused_until: dict[str, int] = {}

    def grants(self, now: int, books: Books, members: Members) -> list[Grant]:
        """Returns the changes worth proposing, in the order of their scopes."""
        defined = {budget.name: budget for budget in books.budgets()}
        wanted, grants = members.wanted(), []
        scopes = sorted({*books.scopes(), *wanted})
        for scope in scopes:
            name, slash, key = scope.partition("/")
            if name not in defined or (slash and not key) or now < self.paused_until.get(scope, now):
                continue
            self.paused_until.pop(scope, None)
            shares = {session: (granted, wants) for session, granted, wants in books.shares(scope)}
            asked, held_by_others = [], books.pending(scope)
            for session in sorted({*shares, *wanted.get(scope, ())}):
                granted, wants = shares.get(session, (0, 0))
                live = books.session_by_number(session)
                if live is None or members.refuses(session):
                    # Its lease is ending: what it holds is still in use, and it can be asked for nothing.
                    held_by_others += granted
                    continue
                demand = members.demand(now, session, scope, wants + defined[name].floor)
                used = members.used_ppm(session, scope)
                asked.append(SessionDemand(session, demand, granted, wants, used, live.site))
            credit = update_credit(defined[name], asked, self.credit.get(scope, {}))
            self.credit[scope] = credit
            changes = divide(defined[name], tuple(asked), held_by_others, credit)
            if changes:
                grants.append(Grant(scope, tuple(changes)))
        for by_scope in (self.credit, self.paused_until):
            for removed in sorted(by_scope.keys() - set(scopes)):
                del by_scope[removed]
        return grants
