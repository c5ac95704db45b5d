"""`sloeferry ops`: admin calls to one proxy from a shell.  Exit 0 where the answer is yes, 1 where it is no."""

import http.client
import json
import sys
from typing import NamedTuple

import click

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import parse_address
from sloeferry.errors import UsageError

CALL_TIMEOUT_SECONDS = 5.0  # an answer is due within one


class AdminAnswer(NamedTuple):
    """Whether a proxy says yes, and the line to print."""

    is_yes: bool
    line: str


def call_proxy(method: str, path: str, at: str) -> AdminAnswer:
    """One call to the proxy whose admin address that is; raises UsageError where it is no address."""
    try:
        host, port = parse_address("--at", at)
    except ConfigError as error:
        raise UsageError(str(error)) from None
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        document = json.loads(response.read())
    except (OSError, http.client.HTTPException) as error:
        return AdminAnswer(False, f"{at}: no answer: {error}")
    except ValueError:
        return AdminAnswer(False, f"{at}: answered {response.status}, and not in JSON: no proxy's operators' address")
    finally:
        connection.close()
    is_yes = 200 <= response.status < 300
    figures = ", ".join(f"{name} {figure}" for name, figure in document.items())
    return AdminAnswer(is_yes, f"{at}: {'yes' if is_yes else 'no'}: {figures}")


@click.group()
def ops() -> None:
    """Asks a proxy at its operators' address (`ops` in its configuration)."""


def _add_command(name: str, method: str, description: str) -> None:
    @ops.command(name, help=description)
    @click.option("--at", required=True, metavar="HOST:PORT", help="The operators' address.")
    def command(at: str) -> None:
        answer = call_proxy(method, f"/admin/{name}", at)
        click.echo(answer.line)
        sys.exit(not answer.is_yes)


_add_command("health", "GET", "Whether it is ready to serve.")
_add_command("quiesce", "POST", "Send its clients away; it goes on answering those who come.")
_add_command("resume", "POST", "Take clients in again.")
