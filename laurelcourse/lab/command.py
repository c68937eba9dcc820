"""`lab NAME`: runs one lab and prints its report; exits with 0, 1 if a check does not hold, 2 if it could
not run."""

import sys
from collections.abc import Callable

import click

from laurelcourse.lab.report import Progress, Report


def _relay() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import relay

    return relay.run, 42.0


def _tuf() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import tuf

    return tuf.run, 50.0


def _workflows() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import workflows

    return workflows.run, 45.0


def _keepers() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import keepers

    return keepers.run, keepers.SECONDS


def _transfers() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import transfers

    return transfers.run, 45.0


def _budgets() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import budgets

    return budgets.run, 50.0


LABS = {
    "budgets": _budgets,
    "keepers": _keepers,
    "relay": _relay,
    "transfers": _transfers,
    "tuf": _tuf,
    "workflows": _workflows,
}
CALM = frozenset(("tuf",))  # labs that can do without faults
CORE = frozenset(("keepers",))  # labs of pure modules in simulated time


def guards(name: str) -> tuple[str, ...]:
    """Names of the guards that can be taken out in this lab."""
    if name in CORE:
        # In simulated time the guard goes out of the lab's own processes: no relay is started.
        from laurelcourse.lab import keepers_guards

        return tuple(keepers_guards.GUARDS)
    from laurelcourse.lab.guards import GUARDS

    return tuple(GUARDS.get(name, ()))


def run(
    name: str, seed: int, seconds: float | None, as_json: bool, broken: str, calm: bool, core: bool
) -> None:
    if broken and broken not in guards(name):
        raise click.UsageError(f"--break takes one of: {', '.join(guards(name))}")
    if core != (name in CORE):
        raise click.UsageError(f"--core goes with: {', '.join(CORE)}")
    if calm and name not in CALM:
        raise click.UsageError(f"--calm is for: {', '.join(CALM)}")
    lab, usual = LABS[name]()
    try:
        report = lab(seed, seconds or usual, broken, Progress(), **({"calm": True} if calm else {}))
    except (OSError, RuntimeError, AssertionError) as error:
        click.echo(f"lab {name} could not run: {error}", err=True)
        sys.exit(2)
    click.echo(report.as_json() if as_json else report.as_table())
    sys.exit(0 if report.holds else 1)
