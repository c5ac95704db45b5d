"""`sloeferry fleet`: what is typed, checked and handed on."""

import asyncio
import json
import math
import sys

import click

from sloeferry.errors import UsageError
from sloeferry.fleet import roll as r
from sloeferry.fleet.ask import ask_all
from sloeferry.fleet.audit import BOUND
from sloeferry.fleet.audit import audit as audited
from sloeferry.fleet.bring_up import bring_up

OLD = 86400.0 * 366  # seconds: whatever lies further back is a wrong number


@click.group()
def fleet():
    """Asks every proxy of a fleet at its operators' address.  Figures are the proxies' own word."""


def asked(path, since):
    """The roll, all answers and discovery's; an interrupted one says how far it came."""
    if since is not None and not 0 <= since <= OLD:
        raise UsageError(f"--since: {since:g} is not a number of seconds from 0 up: what is to come has no acts")
    roll = r.read(path)

    def progress(done):
        if sys.stderr.isatty():
            click.echo(f"\r{done} of {len(roll.proxies)} asked", nl=False, err=True)

    answers, newest = asyncio.run(ask_all(roll, since, progress))
    if sys.stderr.isatty():
        click.echo("\r\033[K", nl=False, err=True)
    return roll, answers, newest


def table(said, everybody):
    """People's view: figures, then whoever is not on the newest."""
    newest, lines = said["newest"], []
    lines.append(
        f"{said['proxies']} proxies: {said['current']} on the newest, {said['straggler']} behind, "
        f"{said['unknown']} unknown; {said['acts_after_bound']} acts on an old version after the bound"
    )
    by = "discovery's word" if newest["by_discovery"] else "the highest that anybody holds"
    lines.append(f"newest: settings {newest['settings']}, list {newest['list']} ({by})")
    for what, reached in said["reached"].items():
        lines.append(
            f"  {what} reached "
            + ", ".join(f"{part} {'not yet' if ms is None else f'after {ms / 1000:.1f} s'}" for part, ms in reached.items())
        )
    rows = [row for row in said["rows"] if everybody or row["state"] != "current"]
    if rows:
        wide = max(len(row["name"]) for row in rows)
        lines.append(f"  {'name':{wide}s}  state      settings          list      cause")
        lines += [
            f"  {row['name']:{wide}s}  {row['state']:9s}  {row.get('settings', '-'):16s}  "
            f"{'-' if not row.get('list') else '{}/{}'.format(*row['list']):8s}  "
            f"{row['cause']}{': ' if row['evidence'] else ''}{row['evidence']}"
            for row in rows
        ]
    for one in said["contradictions"]:
        lines.append(f"  revision {one['revision']} says two things:")
        lines += [f"    {digest}: {', '.join(names)}" for digest, names in one["said"].items()]
    if said["asked"] < said["proxies"]:
        lines.append(f"  interrupted: {said['asked']} of {said['proxies']} were asked")
    return "\n".join(lines)


def verb(name, everybody, about):
    @fleet.command(name, help=about)
    @click.option("--fleet", "path", required=True, metavar="FILE", help="TOML: [[proxy]] name and at; discovery.")
    @click.option("--since", type=float, metavar="SECONDS", help="Acts of so long back; all that is kept without it.")
    @click.option(
        "--bound",
        type=click.FloatRange(0),
        default=BOUND / 1000,
        show_default=True,
        help="Seconds after a change from which acts on the version before count.",
    )
    @click.option("--json", "as_json", is_flag=True)
    def command(path, since, bound, as_json):
        if since is not None and math.isnan(since):
            raise UsageError("--since: is no number")
        said = audited(*asked(path, since), bound * 1000)
        click.echo(json.dumps(said, indent=1) if as_json else table(said, everybody))
        sys.exit(said["exit"])


@fleet.command("bring-up")
@click.option("--fleet", "path", required=True, metavar="FILE", help="TOML: [[proxy]] name and at; discovery.")
@click.option("--pace", type=click.FloatRange(0.001), default=0.1, show_default=True, help="Seconds from one call to the next.")
@click.option(
    "--patience", type=click.FloatRange(0), default=10.0, show_default=True, help="Seconds until who still lags is told."
)
@click.option("--seed", type=click.IntRange(0), default=0, help="Of the order.")
@click.option("--json", "as_json", is_flag=True)
def bring(path, pace, patience, seed, as_json):
    """Has stragglers ask for the list, or read their file, again.  Exit as of an audit afterwards."""
    said = asyncio.run(bring_up(r.read(path), pace, patience, BOUND, seed, lambda text: click.echo(text, err=True)))
    click.echo(json.dumps(said, indent=1) if as_json else table(said, False))
    sys.exit(said["exit"])


verb("versions", True, "Who holds which version, a row a proxy.")
verb("audit", False, "Who lags and why.  Exit 0: all on the newest, 1: stragglers or acts after the bound, 3: only unknowns.")
