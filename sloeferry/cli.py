"""The command line `sloeferry COMMAND`; the proxy itself is `python -m sloeferry` and imports none of this."""

import os
import pathlib
import sys
from importlib import import_module
from typing import NamedTuple, NoReturn

import click

from sloeferry.errors import UsageError

USAGE_EXIT_STATUS = 2


class Subsystem(NamedTuple):
    """A subsystem that provides a command: its module, the package extra that it needs, and a description."""

    module: str
    extra: str
    description: str


SUBSYSTEMS = {
    "fleet": Subsystem("sloeferry.fleet.cli", "cli", "Query which proxies of a fleet act on which version"),
    "load": Subsystem("sloeferry.load_testing.cli", "load", "Apply open-loop load on loopback"),
    "ops": Subsystem("sloeferry.fleet.admin_cli", "cli", "Query a proxy at its admin address"),
    "rig": Subsystem("sloeferry.fault_testing.cli", "rehearsal", "Run fault plans with real processes"),
    "rehearse": Subsystem("sloeferry.rehearsal.cli", "rehearsal", "Run scenarios with a whole fleet, in virtual time or live"),
}


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="sloeferry")
def main() -> None:
    """An HTTP load balancer of independent proxies without shared state."""


@main.command()
@click.option("--config", type=click.Path(exists=True, dir_okay=False), help="Overrides BALANCER_CONFIG.")
def serve(config: str | None) -> None:
    """Run one proxy in the foreground."""
    if config:
        os.environ["BALANCER_CONFIG"] = os.path.abspath(config)
    # The proxy replaces this process, so that it doesn't keep the command line's imports in memory.
    os.execv(sys.executable, [sys.executable, "-m", "sloeferry"])


@main.command("check-config")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check_config(file: pathlib.Path) -> None:
    """Read and check a configuration as the proxy does; exit with status 2 and one line if it is invalid."""
    from sloeferry.config.errors import ConfigError
    from sloeferry.config.instance import read_instance_config

    try:
        config = read_instance_config({"BALANCER_CONFIG": str(file)})
    except ConfigError as error:
        _exit_with_usage_error(str(error))
    request_classes = ", ".join(config.settings.class_indexes())
    click.echo(f"{file}: {config.name or 'unnamed'} on {config.listen[0]}:{config.listen[1]}, schemes {request_classes}: good")


def _exit_with_usage_error(error: str) -> NoReturn:
    """Print one line to standard error and exit with status 2."""
    click.echo(f"sloeferry: {error}", err=True)
    sys.exit(USAGE_EXIT_STATUS)


def run() -> None:
    """Run the command line; the entry point, which imports only the subsystem whose command is requested."""
    requested = sys.argv[1:2]
    for command_name, subsystem in SUBSYSTEMS.items():
        if command_name not in requested:
            help_text = f"{subsystem.description} (extra: sloeferry[{subsystem.extra}])."
            main.add_command(click.Command(command_name, help=help_text))
            continue
        try:
            main.add_command(getattr(import_module(subsystem.module), command_name))
        except ModuleNotFoundError as error:
            _exit_with_usage_error(f"{error.name} is missing: install sloeferry[{subsystem.extra}]")
    try:
        main()
    except UsageError as error:
        _exit_with_usage_error(str(error))


if __name__ == "__main__":
    run()
