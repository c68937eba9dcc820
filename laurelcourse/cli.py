"""The command line."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from laurelcourse import VERSION
from laurelcourse.net import config as configuration
from laurelcourse.net import log
from laurelcourse.net.assembly import Assembly, ProcessContext
from laurelcourse.net.relay import Relay

if TYPE_CHECKING:
    from laurelcourse.operator.settings import Operator

CONFIG_OPTION = click.option(
    "--config",
    "path",
    envvar="EDGE_CONFIG",
    required=True,
    type=click.Path(),
    help="The configuration, a JSON file; else the variable EDGE_CONFIG names it.",
)

OPERATOR_OPTION = click.option(
    "-o",
    "--operator",
    "operator",
    type=click.Path(),
    help="The operators' settings, an XML file: fronts beside the platform's own.",
)


def read_config(path: str) -> configuration.Config:
    """Reads a configuration; prints what is wrong with it and exits with 2."""
    try:
        return configuration.read(path)
    except configuration.ConfigError as error:
        click.echo(error, err=True)
        sys.exit(2)


def read_operator(path: str | None) -> "Operator | None":
    """Reads the operators' settings, if any; prints what is wrong with them and exits with 2."""
    if path is None:
        return None
    # The plain relay does not load the libraries that this needs.
    from laurelcourse.operator import reading

    try:
        return reading.read(path)
    except reading.OperatorError as error:
        click.echo(error, err=True)
        sys.exit(2)


def check_against_routes(operator: "Operator | None", config: configuration.Config | None) -> None:
    """Checks the fleet's workflows against the platform's routes; prints what is wrong and exits with 2."""
    if operator is None or operator.fleet is None or config is None:
        return
    from laurelcourse.operator import workflows

    faults = list(workflows.find_route_faults(operator.fleet, config.settings.routes))
    for fault in faults:
        click.echo(f"{operator.path}:{fault.line}: {fault.message}", err=True)
    if faults:
        sys.exit(2)


def make_fronts(operator: "Operator | None", context: ProcessContext) -> list[Assembly]:
    """Makes the fronts that the operators' settings name, and joins the fleet if they name one.

    The plain relay does not load the libraries that these need.
    """
    folder = Path(operator.path).parent if operator else Path()
    if operator is not None and operator.fleet is not None:
        from laurelcourse.fleet import wiring as fleet

        fleet.join(context, operator.fleet, folder, context.config.settings.zone)
    if operator is None or not operator.fronts:
        return []
    from laurelcourse.fronts.tuf import wiring

    return [wiring.assemble(context, front, len(operator.fronts), folder) for front in operator.fronts]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A relay that shifts calls between an old and a new build of the units behind it."""


@main.command()
@CONFIG_OPTION
@OPERATOR_OPTION
@click.option(
    "--log-level",
    default="info",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error"]),
    help="The least that is logged.",
)
def serve(path: str, operator: str | None, log_level: str) -> None:
    """Serve clients until SIGTERM or SIGINT; SIGHUP reads the file again, SIGUSR1 prints the counters."""
    config = read_config(path)
    settings = read_operator(operator)
    check_against_routes(settings, config)
    log.start(log_level)
    try:
        Relay(config, lambda: configuration.read(path), lambda context: make_fronts(settings, context)).run()
    except configuration.ConfigError as error:
        click.echo(error, err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{path}: can't serve: {error}", err=True)
        sys.exit(1)


@main.command()
@click.option("--config", "path", envvar="EDGE_CONFIG", type=click.Path(), help="As with serve.")
@OPERATOR_OPTION
def check(path: str | None, operator: str | None) -> None:
    """Read a configuration, operators' settings or both, and say what is wrong, without serving."""
    if path is None and operator is None:
        raise click.UsageError("name a file: --config, --operator or both")
    config = None
    if path is not None:
        config = read_config(path)
        click.echo(
            f"{path}: good: relay {config.name}, {len(config.settings.routes)} routes, "
            f"{len(config.known.entries)} units known"
        )
    if (settings := read_operator(operator)) is not None:
        check_against_routes(settings, config)
        fleet = settings.fleet
        fleet_summary = (
            f", {len(fleet.keepers)} keepers, {len(fleet.budgets)} budgets, {len(fleet.workflows)} workflows"
            if fleet
            else ""
        )
        click.echo(f"{operator}: good: {len(settings.fronts)} fronts{fleet_summary}")


@main.command()
@click.argument("name", type=click.Choice(["budgets", "keepers", "relay", "transfers", "tuf", "workflows"]))
@click.option("--seed", default=1, show_default=True, help="Same seed, same script of faults.")
@click.option("--seconds", type=click.FloatRange(5, 600), help="How long it may take, about.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
@click.option("--break", "broken", default="", metavar="GUARD", help="Take a guard out: its check must fail.")
@click.option("--calm", is_flag=True, help="Without faults, where a lab has them.")
@click.option("--core", is_flag=True, help="Pure modules in simulated time (keepers); no process is started.")
def lab(
    name: str, seed: int, seconds: float | None, as_json: bool, broken: str, calm: bool, core: bool
) -> None:
    """Run an experiment on loopback: relays among stand-ins, faults by seed, checks, a report."""
    from laurelcourse.lab import command

    command.run(name, seed, seconds, as_json, broken, calm, core)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)
