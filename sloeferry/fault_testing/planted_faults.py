"""Builds of the proxy with one wrong line each: what fault testing has to convict.

A planted build is this tree's own `sloeferry`, copied, with texts put in the place of others that stand there exactly once;
where one does not, that is said, for then the table here is behind the code.  Where a second guard would hold what the first
lets through, it is taken out as well: a build that breaks no rule shows nothing of the first.
"""

import pathlib
import shutil
from dataclasses import dataclass
from typing import NamedTuple

from sloeferry.rehearsal.scenario import ScenarioError

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
NOT_COPIED = ("__pycache__", "fault_testing", "rehearsal", "load_testing")


class Edit(NamedTuple):
    """One text in the place of another."""

    path: str  # in the package
    right: str
    wrong: str


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A build with a fault."""

    plan: str  # the plan that convicts it
    rules: str  # which rules may be named for it
    about: str
    edits: tuple[Edit, ...]  # the fault, and the second guards that would hold it


PLANTED = {
    "drain-forgotten": PlantedFault(
        "lists",
        "3",
        "an endpoint that drains is taken for ready",
        (Edit("network/protocol.py", '"leaving": EndpointState.DRAINING', '"leaving": EndpointState.READY'),),
    ),
    "changes-unheard": PlantedFault(
        "lists",
        "3",
        "what changes in the list is not passed on to the policy",
        (
            Edit(
                "network/discovery_client.py",
                "        self.events.list_received(listed.is_complete, ",
                "        listed.is_complete and self.events.list_received(listed.is_complete, ",
            ),
        ),
    ),
    "news-dropped": PlantedFault(
        "zombies",
        "3",
        "after it stood still, what discovery wrote is dropped with the watch",
        (Edit("network/discovery_watch.py", "                if is_open_and_idle(sock):\n", "                if True:\n"),),
    ),
    "late-taken-for-new": PlantedFault(
        "zombies",
        "1",
        "after it stood still, what lies unread is taken for new",
        (
            Edit("network/stall_accounting.py", "if self._server.dispatcher.overload.is_stall(late_ms):", "if False:"),
            # Its clients have left at their deadline, which a look before the first byte sees.
            Edit(
                "network/client_connection.py",
                "return self.is_closed or environment.has_peer_ended(self.sock)",
                "return self.is_closed",
            ),
        ),
    ),
    "past-expiry": PlantedFault(
        "errors",
        "1",
        "a request's time is taken for longer than it is",
        (
            Edit(
                "dispatch/dispatcher.py",
                "time_left_ms -= min(self.policy.timers.lateness_ms, time_left_ms / 2)",
                "time_left_ms += 400",
            ),
        ),
    ),
    "posted-again": PlantedFault(
        "links",
        "2",
        "a non-idempotent request that may have run is sent again",
        (
            Edit(
                "policy/safety_rules.py",
                "        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:\n            return False\n",
                "        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:\n            return True\n",
            ),
        ),
    ),
    "out-of-group": PlantedFault(
        "links",
        "2",
        "a deduplicated request that may have run is sent out of its group",
        (
            Edit(
                "policy/safety_rules.py",
                "return endpoint.zone == first.zone if group is DeduplicationGroup.ZONE else endpoint.cell == first.cell",
                "return True",
            ),
        ),
    ),
    "whole-as-unwritten": PlantedFault(
        "cut-answers",
        "2",
        "an attempt that was written completely and cut counts as never run",
        (
            Edit(
                "dispatch/attempt_end.py",
                "    if not is_written:\n",
                "    if not is_written or end is AttemptEnd.CONNECTION_LOST and progress < AttemptProgress.RESPONSE_BEGUN:\n",
            ),
        ),
    ),
    "declined-and-ran": PlantedFault(
        "errors",
        "2",
        "what may have run is rejected",
        (
            Edit(
                "policy/safety_rules.py",
                "            not request.attempts_that_may_have_run()\n            or request_class",
                "            True\n            or request_class",
            ),
        ),
    ),
    "starts-unheeded": PlantedFault(
        "colds",
        "4",
        "an endpoint that has started anew is taken for warm",
        (
            Edit(
                "policy/endpoint_table.py",
                "endpoint.zone, endpoint.cell, endpoint.started_at = entry.zone, entry.cell, entry.started_at",
                "endpoint.zone, endpoint.cell, endpoint.started_at = entry.zone, entry.cell, 0.0",
            ),
        ),
    ),
    "answered-twice": PlantedFault(
        "errors",
        "1",
        "a failure is said twice",
        (
            Edit(
                "network/client_connection.py",
                "        await self.server.loop.sock_sendall(self.sock, data)\n        self.sending_since = None",
                '        await self.server.loop.sock_sendall(self.sock, data * (1 + (b" 504 " in data[:16])))\n'
                "        self.sending_since = None",
            ),
        ),
    ),
    "never-answered": PlantedFault(
        "errors",
        "1",
        "one in forty responses is never given",
        (
            Edit(
                "network/request_runner.py",
                "            elif isinstance(command, Complete):\n",
                "            elif isinstance(command, Complete):\n"
                "                await asyncio.sleep(3 * (context.request_id % 40 == 7))\n",
            ),
        ),
    ),
    "error-as-answer": PlantedFault(
        "errors",
        "1",
        "a backend's error is passed on as its response",
        (
            Edit(
                "network/attempt.py",
                "    if response.status == 200:\n        return AttemptEnd.SERVED\n",
                "    if response.status in (200, 500):\n        return AttemptEnd.SERVED\n",
            ),
        ),
    ),
    "ends-at-once": PlantedFault(
        "deaths",
        "1",
        "told to stop, it drops what it has",
        (
            Edit(
                "lifecycle/proxy_process.py",
                "        await self.clients.shutdown.run()\n",
                "        self.clients.listener.close()\n",
            ),
        ),
    ),
    "bad-file-ends-it": PlantedFault(
        "settings",
        "crash",
        "a file that can't be read ends the program",
        (
            Edit(
                "lifecycle/reload.py",
                '            logger.error("SIGHUP, all stays as it was: error={!r}", str(error))\n',
                '            __import__("os")._exit(3)\n',
            ),
        ),
    ),
}


def plant(name: str, folder: str) -> str:
    """The folder of a tree that has that fault."""
    if name not in PLANTED:
        raise ScenarioError(f"--plant: {name!r} is none of {', '.join(PLANTED)}")
    tree = pathlib.Path(folder, "planted")
    shutil.copytree(PACKAGE, tree / "sloeferry", ignore=shutil.ignore_patterns(*NOT_COPIED))
    for edit in PLANTED[name].edits:
        path = tree / "sloeferry" / edit.path
        text = path.read_text()
        if text.count(edit.right) != 1:
            raise ScenarioError(f"--plant: {name}: its line stands {text.count(edit.right)} times in {edit.path}")
        path.write_text(text.replace(edit.right, edit.wrong))
    return str(tree)
