"""The command line: `sloeferry VERB`.  `python -m sloeferry` is the daemon itself and imports none of this."""

import os
import pathlib
import sys
from importlib import import_module

import click

from sloeferry.errors import UsageError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="sloeferry")
def main():
    """An HTTP load balancer: proxies that share nothing, one module that chooses."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), help="Goes before BALANCER_CONFIG.")
def serve(config):
    """Runs one proxy in the foreground."""
    if config:
        os.environ["BALANCER_CONFIG"] = os.path.abspath(config)
    # The daemon takes this process over: it stays as light as it is without a command line.
    os.execv(sys.executable, [sys.executable, "-m", "sloeferry"])


@main.command("check-config")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_config(file):
    """Reads and checks a configuration as the daemon would; exit 2 and one line where it can't be used."""
    from sloeferry.config.errors import ConfigError
    from sloeferry.config.instance import read_instance_config

    try:
        berth = read_instance_config({"BALANCER_CONFIG": str(file)})
    except ConfigError as fault:
        click.echo(f"sloeferry: {fault}", err=True)
        sys.exit(2)
    schemes = ", ".join(berth.settings.class_indexes())
    click.echo(f"{file}: {berth.name or 'unnamed'} on {berth.listen[0]}:{berth.listen[1]}, schemes {schemes}: good")


# Verbs of subsystems: the module that has them, the extra it needs, and what they are for.
VERBS = {
    "fleet": ("sloeferry.fleet.cli", "cli", "Asks a whole fleet who acts on which version"),
    "load": ("sloeferry.load_testing.cli", "load", "Open-loop load on loopback"),
    "ops": ("sloeferry.fleet.admin_cli", "cli", "Asks a proxy at its operators' address"),
    "rig": ("sloeferry.fault_testing.cli", "rehearsal", "Plays plans with real processes and faults between them"),
    "rehearse": ("sloeferry.rehearsal.cli", "rehearsal", "Plays days with a whole bank, in virtual time or live"),
}


def run():
    """The entry point: a subsystem's verbs are read in only where they are asked for and its extra is installed."""
    for verb, (module, extra, about) in VERBS.items():
        if verb not in sys.argv[1:2]:
            main.add_command(click.Command(verb, help=f"{about} (extra: sloeferry[{extra}])."))
            continue
        try:
            main.add_command(getattr(import_module(module), verb))
        except ModuleNotFoundError as missing:
            click.echo(f"sloeferry: {missing.name} is missing: install sloeferry[{extra}]", err=True)
            sys.exit(2)
    try:
        main()
    except UsageError as fault:
        click.echo(f"sloeferry: {fault}", err=True)
        sys.exit(2)


if __name__ == "__main__":
    run()
