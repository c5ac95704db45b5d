"""`sloeferry ops`: the operators' calls from a shell.  Exit 0 where the answer is yes, 1 where it is no."""

import http.client
import json
import sys

import click

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import parse_address
from sloeferry.errors import UsageError

PATIENCE = 5.0  # seconds; an answer is due within one


def asked(method, path, at):
    """One call to the proxy whose operators' address that is; whether yes, and the line to say."""
    try:
        host, port = parse_address("--at", at)
    except ConfigError as fault:
        raise UsageError(str(fault)) from None
    connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        said = json.loads(answer.read())
    except (OSError, http.client.HTTPException) as fault:
        return False, f"{at}: no answer: {fault}"
    except ValueError:
        return False, f"{at}: answered {answer.status}, and not in JSON: no proxy's operators' address"
    finally:
        connection.close()
    yes = 200 <= answer.status < 300
    figures = ", ".join(f"{name} {figure}" for name, figure in said.items())
    return yes, f"{at}: {'yes' if yes else 'no'}: {figures}"


@click.group()
def ops():
    """Asks a proxy at its operators' address (`ops` in its configuration)."""


def call(name, method, about):
    @ops.command(name, help=about)
    @click.option("--at", required=True, metavar="HOST:PORT", help="The operators' address.")
    def ask(at):
        yes, line = asked(method, f"/admin/{name}", at)
        click.echo(line)
        sys.exit(not yes)


call("health", "GET", "Whether it is ready to serve.")
call("quiesce", "POST", "Send its clients away; it goes on answering those who come.")
call("resume", "POST", "Take clients in again.")
