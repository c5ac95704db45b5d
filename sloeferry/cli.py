"""The command line: `sloeferry VERB`.  `python -m sloeferry` is the proxy itself and imports none of this."""

import os
import pathlib
import sys
from importlib import import_module
from typing import NamedTuple, NoReturn

import click

from sloeferry.errors import UsageError

USAGE_EXIT_STATUS = 2


class Subsystem(NamedTuple):
    """A verb that a subsystem brings, and the extra of the package that it needs."""

    module: str
    extra: str
    description: str


SUBSYSTEMS = {
    "fleet": Subsystem("sloeferry.fleet.cli", "cli", "Asks a whole fleet who acts on which version"),
    "load": Subsystem("sloeferry.load_testing.cli", "load", "Open-loop load on loopback"),
    "ops": Subsystem("sloeferry.fleet.admin_cli", "cli", "Asks a proxy at its operators' address"),
    "rig": Subsystem("sloeferry.fault_testing.cli", "rehearsal", "Plays plans with real processes and faults between them"),
    "rehearse": Subsystem("sloeferry.rehearsal.cli", "rehearsal", "Plays days with a whole bank, in virtual time or live"),
}


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="sloeferry")
def main() -> None:
    """An HTTP load balancer: proxies that share nothing, one module that chooses."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), help="Goes before BALANCER_CONFIG.")
def serve(config: str | None) -> None:
    """Runs one proxy in the foreground."""
    if config:
        os.environ["BALANCER_CONFIG"] = os.path.abspath(config)
    # The proxy takes this process over: it stays as light as it is without a command line.
    os.execv(sys.executable, [sys.executable, "-m", "sloeferry"])


@main.command("check-config")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_config(file: pathlib.Path) -> None:
    """Reads and checks a configuration as the daemon would; exit 2 and one line where it can't be used."""
    from sloeferry.config.errors import ConfigError
    from sloeferry.config.instance import read_instance_config

    try:
        config = read_instance_config({"BALANCER_CONFIG": str(file)})
    except ConfigError as error:
        _exit_on(str(error))
    request_classes = ", ".join(config.settings.class_indexes())
    click.echo(f"{file}: {config.name or 'unnamed'} on {config.listen[0]}:{config.listen[1]}, schemes {request_classes}: good")


def _exit_on(error: str) -> NoReturn:
    """One line, and the end."""
    click.echo(f"sloeferry: {error}", err=True)
    sys.exit(USAGE_EXIT_STATUS)


def run() -> None:
    """The entry point: a subsystem is imported only where it is asked for and its extra is installed."""
    asked = sys.argv[1:2]
    for verb, subsystem in SUBSYSTEMS.items():
        if verb not in asked:
            text = f"{subsystem.description} (extra: sloeferry[{subsystem.extra}])."
            main.add_command(click.Command(verb, help=text))
            continue
        try:
            main.add_command(getattr(import_module(subsystem.module), verb))
        except ModuleNotFoundError as error:
            _exit_on(f"{error.name} is missing: install sloeferry[{subsystem.extra}]")
    try:
        main()
    except UsageError as error:
        _exit_on(str(error))


if __name__ == "__main__":
    run()
