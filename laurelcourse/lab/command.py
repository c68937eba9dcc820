"""The command `lab NAME`: runs one lab and prints its report.

Exits with 0, with 1 if a check does not hold, with 2 if the lab could not run.
"""

import sys
from collections.abc import Callable
from typing import NamedTuple

import click

from laurelcourse.lab.report import Progress, Report

EXIT_HOLDS = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class Lab(NamedTuple):
    """A lab's function, and how long it usually runs, in seconds."""

    run: Callable[..., Report]
    seconds: float


# A lab's libraries are loaded only if it runs.


def _relay() -> Lab:
    from laurelcourse.lab import relay

    return Lab(relay.run, 42.0)


def _tuf() -> Lab:
    from laurelcourse.lab import tuf

    return Lab(tuf.run, 50.0)


def _workflows() -> Lab:
    from laurelcourse.lab import workflows

    return Lab(workflows.run, 45.0)


def _keepers() -> Lab:
    from laurelcourse.lab import keepers

    return Lab(keepers.run, keepers.DEFAULT_SECONDS)


def _transfers() -> Lab:
    from laurelcourse.lab import transfers

    return Lab(transfers.run, 45.0)


def _budgets() -> Lab:
    from laurelcourse.lab import budgets

    return Lab(budgets.run, 50.0)


LABS = {
    "budgets": _budgets,
    "keepers": _keepers,
    "relay": _relay,
    "transfers": _transfers,
    "tuf": _tuf,
    "workflows": _workflows,
}
CALM_LABS = frozenset(("tuf",))  # that can run without faults
CORE_LABS = frozenset(("keepers",))  # of pure modules, in simulated time


def guards(name: str) -> tuple[str, ...]:
    """Returns the names of the guards that can be removed in a lab."""
    if name in CORE_LABS:
        # In simulated time the guard is removed in the lab's own processes: no relay is started.
        from laurelcourse.lab import keepers_guards

        return tuple(keepers_guards.GUARDS)
    from laurelcourse.lab.guards import GUARDS

    return tuple(GUARDS.get(name, ()))


def run(
    name: str, seed: int, seconds: float | None, as_json: bool, removed_guard: str, calm: bool, core: bool
) -> None:
    """Runs a lab, prints its report, and exits. Raises click.UsageError if it has no such option."""
    if removed_guard and removed_guard not in guards(name):
        raise click.UsageError(f"--break takes one of: {', '.join(guards(name))}")
    if core != (name in CORE_LABS):
        raise click.UsageError(f"--core goes with: {', '.join(CORE_LABS)}")
    if calm and name not in CALM_LABS:
        raise click.UsageError(f"--calm is for: {', '.join(CALM_LABS)}")
    lab = LABS[name]()
    options = {"calm": True} if calm else {}
    try:
        report = lab.run(seed, seconds or lab.seconds, removed_guard, Progress(), **options)
    except (OSError, RuntimeError, AssertionError) as error:
        click.echo(f"lab {name} could not run: {error}", err=True)
        sys.exit(EXIT_NOT_RUN)
    click.echo(report.as_json() if as_json else report.as_table())
    sys.exit(EXIT_HOLDS if report.holds else EXIT_BROKEN)
