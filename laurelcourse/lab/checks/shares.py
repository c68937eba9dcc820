"""Whether more of a whole may be in use than there is, by what its holders themselves think usable."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget


class Holding(NamedTuple):
    """What one holder may be using of one budget at this instant: its own word, or what it still held when
    its lease ended and its unit has not yet let go of."""

    holder: str
    budget: str
    amount: int


def over_whole(budgets: Iterable[Budget], holdings: Iterable[Holding]) -> list[str]:
    """One line for each budget of which holdings and the floors of all relays exceed the whole."""
    held: dict[str, list[Holding]] = {}
    for one in holdings:
        held.setdefault(one.budget, []).append(one)
    found = []
    for budget in budgets:
        total = budget.relays * budget.floor + sum(one.amount for one in held.get(budget.name, ()))
        if total > budget.whole:
            told = ", ".join(f"{one.holder} {one.amount}" for one in held[budget.name] if one.amount)
            found.append(f"{budget.name}: {total} of {budget.whole}: {told}")
    return found
