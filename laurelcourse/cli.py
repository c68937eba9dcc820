"""The command line."""

import sys

import click

from laurelcourse import VERSION
from laurelcourse.net import config as configuration
from laurelcourse.net import log
from laurelcourse.net.relay import Relay

CONFIG = click.option("--config", "path", envvar="EDGE_CONFIG", required=True, type=click.Path(),
                      help="The configuration, a JSON file; else the variable EDGE_CONFIG names it.")


def read(path: str) -> configuration.Config:
    try:
        return configuration.read(path)
    except configuration.ConfigError as error:
        click.echo(error, err=True)
        sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A relay that shifts calls between an old and a new build of the units behind it."""


@main.command()
@CONFIG
@click.option("--log-level", default="info", show_default=True,
              type=click.Choice(["debug", "info", "warning", "error"]), help="The least that is logged.")
def serve(path: str, log_level: str) -> None:
    """Serve clients until SIGTERM or SIGINT; SIGHUP reads the file again, SIGUSR1 prints the counters."""
    read_config = read(path)
    log.start(log_level)
    try:
        Relay(read_config, lambda: configuration.read(path)).run()
    except OSError as error:
        click.echo(f"{path}: can't serve: {error}", err=True)
        sys.exit(1)


@main.command()
@CONFIG
def check(path: str) -> None:
    """Read a configuration and say what is wrong with it, without serving."""
    found = read(path)
    click.echo(f"{path}: good: relay {found.name}, {len(found.settings.routes)} routes, "
               f"{len(found.known.entries)} units known")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(VERSION)
