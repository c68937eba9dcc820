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


def _transfers() -> tuple[Callable[..., Report], float]:
    from laurelcourse.lab import transfers
    return transfers.run, 45.0


LABS = {"transfers": _transfers, "relay": _relay, "tuf": _tuf, "workflows": _workflows}
CALM = frozenset(("tuf",))  # labs that can do without faults


def run(name: str, seed: int, seconds: float | None, as_json: bool, broken: str, calm: bool) -> None:
    from laurelcourse.lab.guards import GUARDS
    if broken and broken not in GUARDS.get(name, {}):
        raise click.UsageError(f"--break takes one of: {', '.join(GUARDS.get(name, {}))}")
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
