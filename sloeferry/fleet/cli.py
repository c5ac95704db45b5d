"""The command line of `sloeferry fleet`."""

import asyncio
import json
import math
import sys

import click

from sloeferry.errors import UsageError
from sloeferry.fleet.audit import DEFAULT_BOUND_MS, audit_fleet
from sloeferry.fleet.bring_up import bring_up
from sloeferry.fleet.fleet_config import FleetConfig, read_fleet_config
from sloeferry.fleet.fleet_query import FleetAnswers, query_fleet
from sloeferry.fleet.report import format_audit

MAX_SINCE_SECONDS = 86400.0 * 366  # a longer time is rejected as a mistake

fleet_option = click.option(
    "--fleet",
    "path",
    required=True,
    metavar="FILE",
    help="TOML file with a table [[proxy]] (keys `name` and `at`) per proxy, and optionally the key `discovery`.",
)


@click.group()
def fleet() -> None:
    """Query every proxy of a fleet at its admin address.  All figures are as reported by the proxies."""


def _query_with_progress(config: FleetConfig, since_seconds: float | None) -> FleetAnswers:
    """Return the answers of the fleet; show the progress if standard error is a terminal."""
    shows_progress = sys.stderr.isatty()

    def show_progress(queried: int) -> None:
        if shows_progress:
            click.echo(f"\r{queried} of {len(config.proxies)} proxies queried", nl=False, err=True)

    answers = asyncio.run(query_fleet(config, since_seconds, show_progress))
    if shows_progress:
        click.echo("\r\033[K", nl=False, err=True)
    return answers


def _check_since(since_seconds: float | None) -> None:
    if since_seconds is None:
        return
    if math.isnan(since_seconds):
        raise UsageError("--since: is no number")
    if not 0 <= since_seconds <= MAX_SINCE_SECONDS:
        raise UsageError(f"--since: {since_seconds:g} is not a number of seconds from 0 up: what is to come has no acts")


def _add_audit_command(name: str, with_current: bool, description: str) -> None:
    @fleet.command(name, help=description)
    @fleet_option
    @click.option(
        "--since",
        "since_seconds",
        type=float,
        metavar="SECONDS",
        help="Only acts of the last SECONDS; without it all that are kept.",
    )
    @click.option(
        "--bound",
        "bound_seconds",
        type=click.FloatRange(0),
        default=DEFAULT_BOUND_MS / 1000,
        show_default=True,
        help="Seconds after a change from which acts on the previous version count.",
    )
    @click.option("--json", "as_json", is_flag=True)
    def command(path: str, since_seconds: float | None, bound_seconds: float, as_json: bool) -> None:
        _check_since(since_seconds)
        config = read_fleet_config(path)
        audit = audit_fleet(config, _query_with_progress(config, since_seconds), bound_seconds * 1000)
        click.echo(json.dumps(audit.as_json(), indent=1) if as_json else format_audit(audit, with_current))
        sys.exit(audit.exit_status())


@fleet.command("bring-up")
@fleet_option
@click.option(
    "--pace",
    "pace_seconds",
    type=click.FloatRange(0.001),
    default=0.1,
    show_default=True,
    help="Seconds between two calls.",
)
@click.option(
    "--patience",
    "patience_seconds",
    type=click.FloatRange(0),
    default=10.0,
    show_default=True,
    help="Seconds to wait for stragglers before the result is printed.",
)
@click.option("--seed", type=click.IntRange(0), default=0, help="Seed of the order of the calls.")
@click.option("--json", "as_json", is_flag=True)
def bring_up_command(path: str, pace_seconds: float, patience_seconds: float, seed: int, as_json: bool) -> None:
    """Make stragglers poll the list, or reread their file.  The exit status is that of an audit made afterwards."""

    def print_progress(text: str) -> None:
        click.echo(text, err=True)

    config = read_fleet_config(path)
    result = asyncio.run(bring_up(config, pace_seconds, patience_seconds, DEFAULT_BOUND_MS, seed, print_progress))
    click.echo(json.dumps(result.as_json(), indent=1) if as_json else format_audit(result.audit, with_current=False))
    sys.exit(result.audit.exit_status())


_add_audit_command("versions", True, "Show the versions that each proxy holds.")
_add_audit_command(
    "audit",
    False,
    "Show stragglers and causes.  Exit 0: all current, 1: stragglers or acts after the bound, "
    "3: no stragglers, but unknown proxies.",
)
