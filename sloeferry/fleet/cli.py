"""`sloeferry fleet`: what is typed, checked and handed on."""

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

MAX_SINCE_SECONDS = 86400.0 * 366  # whatever lies further back is a wrong number

fleet_option = click.option("--fleet", "path", required=True, metavar="FILE", help="TOML: [[proxy]] name and at; discovery.")


@click.group()
def fleet() -> None:
    """Asks every proxy of a fleet at its operators' address.  Figures are the proxies' own word."""


def _query_with_progress(config: FleetConfig, since_seconds: float | None) -> FleetAnswers:
    """All answers; on a terminal it is shown how far it came."""
    shows_progress = sys.stderr.isatty()

    def show(asked: int) -> None:
        if shows_progress:
            click.echo(f"\r{asked} of {len(config.proxies)} asked", nl=False, err=True)

    answers = asyncio.run(query_fleet(config, since_seconds, show))
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
        help="Acts of so long back; all that is kept without it.",
    )
    @click.option(
        "--bound",
        "bound_seconds",
        type=click.FloatRange(0),
        default=DEFAULT_BOUND_MS / 1000,
        show_default=True,
        help="Seconds after a change from which acts on the version before count.",
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
    help="Seconds from one call to the next.",
)
@click.option(
    "--patience",
    "patience_seconds",
    type=click.FloatRange(0),
    default=10.0,
    show_default=True,
    help="Seconds until who still lags is told.",
)
@click.option("--seed", type=click.IntRange(0), default=0, help="Of the order.")
@click.option("--json", "as_json", is_flag=True)
def bring_up_command(path: str, pace_seconds: float, patience_seconds: float, seed: int, as_json: bool) -> None:
    """Has stragglers ask for the list, or read their file, again.  Exit as of an audit afterwards."""

    def say(text: str) -> None:
        click.echo(text, err=True)

    config = read_fleet_config(path)
    result = asyncio.run(bring_up(config, pace_seconds, patience_seconds, DEFAULT_BOUND_MS, seed, say))
    click.echo(json.dumps(result.as_json(), indent=1) if as_json else format_audit(result.audit, with_current=False))
    sys.exit(result.audit.exit_status())


_add_audit_command("versions", True, "Who holds which version, a row a proxy.")
_add_audit_command(
    "audit", False, "Who lags and why.  Exit 0: all on the newest, 1: stragglers or acts after the bound, 3: only unknowns."
)
