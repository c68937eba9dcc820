"""Checks that no more of a budget is in use than there is, by what its holders consider usable."""

from collections.abc import Iterable
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Budget


class Holding(NamedTuple):
    """What one holder may be using of one budget at one instant.

    That is what it considers usable, or what it still held when its lease ended and its unit has not freed
    yet.
    """

    holder: str
    budget: str
    amount: int


def budgets_exceeded(budgets: Iterable[Budget], holdings: Iterable[Holding]) -> list[str]:
    """Returns one line for each budget that holdings and the floors of all relays exceed."""
    by_budget: dict[str, list[Holding]] = {}
    for holding in holdings:
        by_budget.setdefault(holding.budget, []).append(holding)
    lines = []
    for budget in budgets:
        budget_holdings = by_budget.get(budget.name, [])
        total = budget.relays * budget.floor + sum(holding.amount for holding in budget_holdings)
        if total > budget.whole:
            holders = ", ".join(
                f"{holding.holder} {holding.amount}" for holding in budget_holdings if holding.amount
            )
            lines.append(f"{budget.name}: {total} of {budget.whole}: {holders}")
    return lines
