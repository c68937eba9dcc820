"""Budgets of the state machine: shares of a whole, of which never more may be in use than there is.

Of each scope (a budget, or a key of it) the part `whole - relays * floor` is divided; the floors of all
relays take the rest. In use may be what is granted, and what was granted before and is not surely out of use:
both are counted (O'Neil, "The escrow transactional method", 1986). Amounts are whole numbers, times
microseconds.
"""

from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget, Define, GiveBack, Grant
from laurelcourse.fleet.books.state import (
    MAX_AMOUNT,
    MAX_BUDGETS,
    MAX_NUMBER,
    MAX_PENDING,
    MAX_SCOPES,
    MAX_SESSIONS,
    MAX_SHARES,
    Scope,
    Session,
    State,
    is_number,
    is_text,
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

# How a holder came to hold less.
GIVEN_BACK = "given_back"
CLOSED = "closed"
LAPSED = "lapsed"

NO_SHARE = (0, 0)  # granted, wanted


def divisible(budget: Budget) -> int:
    """Returns what can be granted in all."""
    return budget.whole - budget.relays * budget.floor


def budget_name(scope: str) -> str:
    """Returns the budget's name of a scope: `name` or `name/key`."""
    return scope.partition("/")[0]


def define(state: State, command: Define) -> None:
    """Sets the whole list of budgets, or nothing.

    Raises UnreadableError, CrowdedError, DefinitionRefusedError or FloorsOverWholeError.
    """
    if type(command.budgets) is not tuple or not all(type(budget) is Budget for budget in command.budgets):
        raise UnreadableError("define", fault="budgets")
    if len(command.budgets) > MAX_BUDGETS:
        raise CrowdedError("define", held=len(command.budgets), at_most=MAX_BUDGETS, of="budgets")
    for budget in command.budgets:
        _check_budget(budget)
    new = {budget.name: budget for budget in command.budgets}
    if len(new) < len(command.budgets):
        raise DefinitionRefusedError("define", fault="two budgets have one name")
    known = state.removed_budgets | state.budgets
    for name in sorted({budget_name(scope) for scope in state.scopes} & new.keys()):
        # What is held as a level must not be freed like a rate.
        if new[name].kind != known[name].kind:
            raise DefinitionRefusedError(name, fault="its kind changes while in use: give it another name")
    state.budgets = new
    state.removed_budgets = {}
    for scope in sorted(state.scopes):
        name = budget_name(scope)
        if name not in new:
            # Its holders are asked to give all back; until then it is in use, and its rules must be known.
            state.removed_budgets[name] = known[name]
            for session, (granted, _) in sorted(state.scopes[scope].shares.items()):
                _set_share(state, scope, session, granted, 0)


def _check_budget(budget: Budget) -> None:
    if not is_text(budget.name) or "/" in budget.name:
        raise DefinitionRefusedError("define", fault="a budget's name")
    fits = (
        budget.kind in (RATE, LEVEL, COUNT)
        and is_number(budget.whole, 1)
        and is_number(budget.floor)
        and is_number(budget.relays, 0, MAX_SESSIONS)
        and is_number(budget.freed_after)
        and is_number(budget.window, *((1, MAX_AMOUNT) if budget.kind == COUNT else (0, 0)))
    )
    if not fits:
        raise DefinitionRefusedError(budget.name, fault="a kind or figure out of its bounds")
    if divisible(budget) < 0:
        raise FloorsOverWholeError(
            budget.name, relays=budget.relays, sum=budget.relays * budget.floor, whole=budget.whole
        )


def grant(state: State, command: Grant) -> None:
    """Grants all of the shares, or none.

    Raises UnreadableError, NoSuchBudgetError, LapsedLeaseError, OverWholeError or CrowdedError.
    """
    if not (
        type(command.shares) is tuple
        and len(command.shares) <= MAX_SESSIONS
        and all(map(_is_share, command.shares))
    ):
        raise UnreadableError("grant", fault="shares")
    budget = _find_budget(state.budgets, command.budget)
    shares = dict(command.shares)
    if len(shares) < len(command.shares):
        raise UnreadableError(command.budget, fault="two shares for one session")
    for session in sorted(shares):
        if session not in state.live_sessions:
            raise LapsedLeaseError(f"session {session}", session=session)
    scope = state.scopes.get(command.budget) or Scope()
    more = sum(max(share - scope.shares.get(session, NO_SHARE)[0], 0) for session, share in shares.items())
    # After the whole was lowered, more may be granted than there is: that stands, and may be asked back.
    if more and (total := scope.in_use() + more) > divisible(budget):
        raise OverWholeError(command.budget, sum=total, whole=divisible(budget))
    new = sum(share > 0 and session not in scope.shares for session, share in shares.items())
    if new and command.budget not in state.scopes and len(state.scopes) >= MAX_SCOPES:
        raise CrowdedError(command.budget, held=len(state.scopes), at_most=MAX_SCOPES, of="keys of budgets")
    if state.share_count + new > MAX_SHARES:
        raise CrowdedError(command.budget, held=state.share_count, at_most=MAX_SHARES, of="shares of budgets")
    for session in sorted(shares):
        granted = scope.shares.get(session, NO_SHARE)[0]
        _set_share(state, command.budget, session, max(granted, shares[session]), shares[session])


def _is_share(value: object) -> bool:
    return (
        type(value) is tuple
        and len(value) == 2
        and is_number(value[0], 1, MAX_NUMBER)
        and is_number(value[1])
    )


def _find_budget(budgets: dict[str, Budget], scope: str) -> Budget:
    name, slash, key = scope.partition("/") if is_text(scope) else ("", "", "")
    if name not in budgets or (slash and not key):
        raise NoSuchBudgetError(scope if is_text(scope) else "budget")
    return budgets[name]


def give_back(state: State, session: Session, command: GiveBack) -> int:
    """Lowers a session's share and returns what it still holds.

    Raises UnreadableError, NoSuchBudgetError or NotHeldError.
    """
    if not is_number(command.keeps):
        raise UnreadableError(session.fence.name, fault="keeps")
    budget = _find_budget(state.removed_budgets | state.budgets, command.budget)
    scope = state.scopes.get(command.budget) or Scope()
    number = session.fence.session
    granted, wanted = scope.shares.get(number, NO_SHARE)
    if command.keeps > granted:
        raise NotHeldError(command.budget, session=number, held=granted, said=command.keeps)
    _add_pending(state, command.budget, granted - command.keeps, _time_in_use(budget, GIVEN_BACK))
    _set_share(state, command.budget, number, command.keeps, min(wanted, command.keeps))
    return command.keeps


def release(state: State, session: Session, reason: str) -> None:
    """Removes all shares of a session that ends; what may still be in use is counted on."""
    known = state.removed_budgets | state.budgets
    for scope in sorted(session.scopes):
        granted, _ = state.scopes[scope].shares[session.fence.session]
        _add_pending(state, scope, granted, _time_in_use(known[budget_name(scope)], reason))
        _set_share(state, scope, session.fence.session, 0, 0)


def _time_in_use(budget: Budget, reason: str) -> int:
    """Returns for how long an amount may still be in use after its holder no longer holds it."""
    if budget.kind == COUNT:
        return budget.window
    return budget.freed_after if budget.kind == LEVEL and reason == LAPSED else 0


def _add_pending(state: State, scope: str, amount: int, duration: int) -> None:
    if not amount or not duration:
        return
    pending = state.scopes[scope].pending
    free_at = state.time + duration
    amounts = dict(pending)
    amounts[free_at] = amounts.get(free_at, 0) + amount
    pending[:] = sorted(amounts.items())
    if len(pending) > MAX_PENDING:
        # The last two are near in time and become one; the earlier ones are free on time. Later is safe.
        (_, amount_before), (latest, last_amount) = pending[-2:]
        pending[-2:] = [(latest, amount_before + last_amount)]
    state.next_release = min(state.next_release, pending[0][0])


def _set_share(state: State, name: str, session: int, granted: int, wanted: int) -> None:
    """The one place where a share changes, is added or removed."""
    scope = state.scopes.setdefault(name, Scope())
    state.share_count += (granted > 0) - (session in scope.shares)
    if granted:
        scope.shares[session] = granted, wanted
        state.live_sessions[session].scopes.add(name)
    else:
        scope.shares.pop(session, None)
        state.live_sessions[session].scopes.discard(name)
    _remove_if_empty(state, name)


def _remove_if_empty(state: State, scope: str) -> None:
    if state.scopes[scope].shares or state.scopes[scope].pending:
        return
    del state.scopes[scope]
    name = budget_name(scope)
    if name in state.removed_budgets and all(budget_name(other) != name for other in state.scopes):
        del state.removed_budgets[name]


def release_pending(state: State) -> None:
    """Frees the pending amounts that are surely out of use by the state machine's time."""
    if state.time < state.next_release:
        return
    state.next_release = MAX_NUMBER
    for scope in sorted(state.scopes):
        pending = state.scopes[scope].pending
        pending[:] = [entry for entry in pending if entry[0] > state.time]
        if pending:
            state.next_release = min(state.next_release, pending[0][0])
        _remove_if_empty(state, scope)
