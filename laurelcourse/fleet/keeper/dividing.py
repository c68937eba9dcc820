"""The leader's division of budgets: what the books and the relays' demands come to, as Grants. Pure."""

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Grant
from laurelcourse.fleet.budgets.divide import Asked, credited, divide
from laurelcourse.fleet.members import Members


class Dividing:
    """`credit`: how far each session's word is believed, by scope; `rests`: until when a scope is left
    alone, for its last Grant was refused."""

    __slots__ = ("credit", "rests")

    def __init__(self) -> None:
        self.credit: dict[str, dict[int, int]] = {}
        self.rests: dict[str, int] = {}

    def grants(self, now: int, books: Books, members: Members) -> list[Grant]:
        """The changes worth proposing, by scope in order."""
        defined = {budget.name: budget for budget in books.defined()}
        wanted, found = members.wanted(), []
        scopes = sorted({*books.scopes(), *wanted})
        for scope in scopes:
            name, slash, key = scope.partition("/")
            if name not in defined or (slash and not key) or now < self.rests.get(scope, now):
                continue
            self.rests.pop(scope, None)
            shares = {session: (granted, wants) for session, granted, wants in books.shares(scope)}
            asked, others = [], books.held(scope)
            for session in sorted({*shares, *wanted.get(scope, ())}):
                granted, wants = shares.get(session, (0, 0))
                live = books.numbered(session)
                if live is None or members.refuses(session):
                    others += granted  # being lapsed: still in use, and nothing it could be asked
                    continue
                demand = members.demand(now, session, scope, wants + defined[name].floor)
                used = members.used_of(session, scope)
                asked.append(Asked(session, demand, granted, wants, used, live.site))
            credit = credited(defined[name], asked, self.credit.get(scope, {}))
            self.credit[scope] = credit
            changes = divide(defined[name], tuple(asked), others, credit)
            if changes:
                found.append(Grant(scope, tuple(changes)))
        for kept in (self.credit, self.rests):
            for gone in sorted(kept.keys() - set(scopes)):
                del kept[gone]
        return found
