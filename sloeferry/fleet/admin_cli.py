"""The command `sloeferry ops`: admin calls to one proxy; the exit status is 0 if it succeeds, else 1."""

import http.client
import json
import sys
from typing import NamedTuple

import click

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import parse_address
from sloeferry.errors import UsageError

CALL_TIMEOUT_SECONDS = 5.0  # a proxy answers within one second


class AdminAnswer(NamedTuple):
    """The answer of a proxy: success or failure, and the line to print."""

    is_success: bool
    line: str


def call_proxy(method: str, path: str, at: str) -> AdminAnswer:
    """Send one call to the proxy with the admin address `at`; raise UsageError if that is not a valid address."""
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
        return AdminAnswer(False, f"{at}: answered {response.status} without JSON: not the admin address of a proxy")
    finally:
        connection.close()
    is_success = 200 <= response.status < 300
    values = ", ".join(f"{name} {value}" for name, value in document.items())
    return AdminAnswer(is_success, f"{at}: {'yes' if is_success else 'no'}: {values}")


@click.group()
def ops() -> None:
    """Control a proxy through its admin address (`ops` in its configuration)."""


def _add_command(name: str, method: str, description: str) -> None:
    @ops.command(name, help=description)
    @click.option("--at", required=True, metavar="HOST:PORT", help="The admin address of the proxy.")
    def command(at: str) -> None:
        answer = call_proxy(method, f"/admin/{name}", at)
        click.echo(answer.line)
        sys.exit(not answer.is_success)


_add_command("health", "GET", "Show whether it is ready to serve.")
_add_command("quiesce", "POST", "Make its clients reconnect elsewhere; it still answers requests that arrive.")
_add_command("resume", "POST", "Accept clients again.")
