"""Budgets in the books: shares of a whole, of which never more may be in use than there is.

Of each scope (a budget, or a key of it) the part whole - relays * floor is divided; the floors of all relays
take the rest. In use may be what is granted, and what was granted and is not surely over: both are counted
(escrow: O'Neil, "The escrow transactional method", 1986). Amounts are whole numbers, times microseconds.
"""

from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget, Define, GiveBack, Grant
from laurelcourse.fleet.books.state import (
    AMOUNT,
    BUDGETS,
    NUMBER,
    PIECES,
    SCOPES,
    SESSIONS,
    SHARES,
    Scope,
    Session,
    State,
    number,
    text,
)
from laurelcourse.fleet.errors import (
    CrowdedError,
    DefinitionRefusedError,
    FloorsOverWholeError,
    LapsedLeaseError,
    NoSuchBudgetError,
    NotHeldError,
    OverWholeError,
    UnreadableError,
)

# how a holder came to hold less
GIVEN_BACK, CLOSED, LAPSED = "given_back", "closed", "lapsed"


def divided(budget: Budget) -> int:
    """What there is to grant."""
    return budget.whole - budget.relays * budget.floor


def named(scope: str) -> str:
    """The budget's name, of `name` or `name/key`."""
    return scope.partition("/")[0]


def define(state: State, what: Define) -> None:
    """The whole list or none. Raises UnreadableError, CrowdedError, DefinitionRefusedError,
    FloorsOverWholeError."""
    if type(what.budgets) is not tuple or not all(type(one) is Budget for one in what.budgets):
        raise UnreadableError("define", fault="budgets")
    if len(what.budgets) > BUDGETS:
        raise CrowdedError("define", held=len(what.budgets), at_most=BUDGETS, of="budgets")
    for budget in what.budgets:
        _check(budget)
    new = {budget.name: budget for budget in what.budgets}
    if len(new) < len(what.budgets):
        raise DefinitionRefusedError("define", fault="two budgets have one name")
    known = state.leaving | state.budgets
    for base in sorted({named(name) for name in state.scopes} & new.keys()):
        # What is held as a level must not be freed like a rate.
        if new[base].kind != known[base].kind:
            raise DefinitionRefusedError(base, fault="its kind changes while in use: give it another name")
    state.budgets = new
    state.leaving = {}
    for name in sorted(state.scopes):
        base = named(name)
        if base not in new:
            # Its holders are asked to give all back; until then it is in use, and its rules must be known.
            state.leaving[base] = known[base]
            for session, (granted, _) in sorted(state.scopes[name].shares.items()):
                _put(state, name, session, granted, 0)


def _check(budget: Budget) -> None:
    if not text(budget.name) or "/" in budget.name:
        raise DefinitionRefusedError("define", fault="a budget's name")
    fits = (
        budget.kind in (RATE, LEVEL, COUNT)
        and number(budget.whole, 1)
        and number(budget.floor)
        and number(budget.relays, 0, SESSIONS)
        and number(budget.freed_after)
        and number(budget.window, *((1, AMOUNT) if budget.kind == COUNT else (0, 0)))
    )
    if not fits:
        raise DefinitionRefusedError(budget.name, fault="a kind or figure out of its bounds")
    if divided(budget) < 0:
        raise FloorsOverWholeError(
            budget.name, relays=budget.relays, sum=budget.relays * budget.floor, whole=budget.whole
        )


def grant(state: State, what: Grant) -> None:
    """All shares or none. Raises UnreadableError, NoSuchBudgetError, LapsedLeaseError, OverWholeError,
    CrowdedError."""
    if not (type(what.shares) is tuple and len(what.shares) <= SESSIONS and all(map(_is_share, what.shares))):
        raise UnreadableError("grant", fault="shares")
    budget = _known(state.budgets, what.budget)
    shares = dict(what.shares)
    if len(shares) < len(what.shares):
        raise UnreadableError(what.budget, fault="two shares for one session")
    for session in sorted(shares):
        if session not in state.live:
            raise LapsedLeaseError(f"session {session}", session=session)
    scope = state.scopes.get(what.budget) or Scope()
    more = sum(max(share - scope.shares.get(session, (0, 0))[0], 0) for session, share in shares.items())
    # With a lowered whole more may be granted than there is: that stands, and may be asked back.
    if more and (total := scope.in_use() + more) > divided(budget):
        raise OverWholeError(what.budget, sum=total, whole=divided(budget))
    new = sum(share > 0 and session not in scope.shares for session, share in shares.items())
    if new and what.budget not in state.scopes and len(state.scopes) >= SCOPES:
        raise CrowdedError(what.budget, held=len(state.scopes), at_most=SCOPES, of="keys of budgets")
    if state.shares + new > SHARES:
        raise CrowdedError(what.budget, held=state.shares, at_most=SHARES, of="shares of budgets")
    for session in sorted(shares):
        granted = scope.shares.get(session, (0, 0))[0]
        _put(state, what.budget, session, max(granted, shares[session]), shares[session])


def _is_share(one: object) -> bool:
    return type(one) is tuple and len(one) == 2 and number(one[0], 1, NUMBER) and number(one[1])


def _known(budgets: dict[str, Budget], scope: str) -> Budget:
    name, slash, key = scope.partition("/") if text(scope) else ("", "", "")
    if name not in budgets or (slash and not key):
        raise NoSuchBudgetError(scope if text(scope) else "budget")
    return budgets[name]


def give_back(state: State, session: Session, what: GiveBack) -> int:
    """What it still holds. Raises UnreadableError, NoSuchBudgetError, NotHeldError."""
    if not number(what.keeps):
        raise UnreadableError(session.fence.name, fault="keeps")
    budget = _known(state.leaving | state.budgets, what.budget)
    scope = state.scopes.get(what.budget) or Scope()
    number_of = session.fence.session
    granted, wanted = scope.shares.get(number_of, (0, 0))
    if what.keeps > granted:
        raise NotHeldError(what.budget, session=number_of, held=granted, said=what.keeps)
    _let_go(state, what.budget, granted - what.keeps, _lasts(budget, GIVEN_BACK))
    _put(state, what.budget, number_of, what.keeps, min(wanted, what.keeps))
    return what.keeps


def release(state: State, session: Session, how: str) -> None:
    """A session is over: nothing is its share any more, but what may be in use is counted on."""
    known = state.leaving | state.budgets
    for name in sorted(session.scopes):
        granted, _ = state.scopes[name].shares[session.fence.session]
        _let_go(state, name, granted, _lasts(known[named(name)], how))
        _put(state, name, session.fence.session, 0, 0)


def _lasts(budget: Budget, how: str) -> int:
    """How long an amount may still be in use after its holder let it go, or was let go."""
    if budget.kind == COUNT:
        return budget.window
    return budget.freed_after if budget.kind == LEVEL and how == LAPSED else 0


def _let_go(state: State, name: str, amount: int, lasts: int) -> None:
    if not amount or not lasts:
        return
    pieces, when = state.scopes[name].pieces, state.time + lasts
    when_free = dict(pieces)
    when_free[when] = when_free.get(when, 0) + amount
    pieces[:] = sorted(when_free.items())
    if len(pieces) > PIECES:
        # Later than needed is safe; two that are near in time become one, so the earlier are free on time.
        (_, one), (latest, two) = pieces[-2:]
        pieces[-2:] = [(latest, one + two)]
    state.next_free = min(state.next_free, pieces[0][0])


def _put(state: State, name: str, session: int, granted: int, wanted: int) -> None:
    """The one place where a share changes, comes or goes."""
    scope = state.scopes.setdefault(name, Scope())
    state.shares += (granted > 0) - (session in scope.shares)
    if granted:
        scope.shares[session] = granted, wanted
        state.live[session].scopes.add(name)
    else:
        scope.shares.pop(session, None)
        state.live[session].scopes.discard(name)
    _drop_empty(state, name)


def _drop_empty(state: State, name: str) -> None:
    if state.scopes[name].shares or state.scopes[name].pieces:
        return
    del state.scopes[name]
    base = named(name)
    if base in state.leaving and all(named(other) != base for other in state.scopes):
        del state.leaving[base]


def free(state: State) -> None:
    """What is surely over by the books' time is there to be granted."""
    if state.time < state.next_free:
        return
    state.next_free = NUMBER
    for name in sorted(state.scopes):
        pieces = state.scopes[name].pieces
        pieces[:] = [piece for piece in pieces if piece[0] > state.time]
        if pieces:
            state.next_free = min(state.next_free, pieces[0][0])
        _drop_empty(state, name)
