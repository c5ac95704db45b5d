"""Builds of the proxy with one planted fault each, which fault testing has to detect.

A planted build is a copy of this tree's `sloeferry` with edits applied.  The text that an edit replaces has to occur exactly
once in its file; otherwise planting fails, since this table is out of date.  If a second guard would mask the fault, it is
disabled as well: a build that violates no rule would not show that the fault is detected.
"""

import pathlib
import shutil
from dataclasses import dataclass
from typing import NamedTuple

from sloeferry.rehearsal.scenario import ScenarioError

PACKAGE = pathlib.Path(__file__).resolve().parents[1]
NOT_COPIED = ("__pycache__", "fault_testing", "rehearsal", "load_testing")


class Edit(NamedTuple):
    """The replacement of the text `right` by the text `wrong`."""

    path: str  # relative to the package
    right: str
    wrong: str


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A fault that can be planted, and the plan that detects it."""

    plan: str  # the plan that detects it
    rules: str  # the rule that the run reports as broken
    about: str
    edits: tuple[Edit, ...]  # the fault, and the removal of second guards that would mask it


PLANTED = {
    "drain-forgotten": PlantedFault(
        "lists",
        "3",
        "a draining endpoint is treated as ready",
        (Edit("network/protocol.py", '"leaving": EndpointState.DRAINING', '"leaving": EndpointState.READY'),),
    ),
    "changes-unheard": PlantedFault(
        "lists",
        "3",
        "changes of the endpoint list are not passed on to the policy",
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
        "after the process was stopped, unread updates of discovery are dropped with the watch",
        (Edit("network/discovery_watch.py", "                if is_open_and_idle(sock):\n", "                if True:\n"),),
    ),
    "late-taken-for-new": PlantedFault(
        "zombies",
        "1",
        "after the process was stopped, unread requests are treated as just received",
        (
            Edit("network/stall_accounting.py", "if self._server.dispatcher.overload.is_stall(late_ms):", "if False:"),
            # Its clients have closed at their deadline, which the check before the first byte of a response detects.
            Edit(
                "network/client_connection.py",
                "return self.is_closed or self.client_state.may_have_ended()",
                "return self.is_closed",
            ),
        ),
    ),
    "past-expiry": PlantedFault(
        "errors",
        "1",
        "a request's time budget is overestimated",
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
        "a deduplicated request that may have run is sent outside its deduplication group",
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
        "an attempt whose connection was lost after it was fully written counts as never run",
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
        "a request that may have run is rejected",
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
        "a restarted endpoint is treated as warm",
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
        "a 504 response is sent twice",
        (
            Edit(
                "network/write_progress.py",
                "        await self._loop.sock_sendall(self._sock, data)\n        self.waiting_since = None",
                '        await self._loop.sock_sendall(self._sock, data * (1 + (b" 504 " in data[:16])))\n'
                "        self.waiting_since = None",
            ),
        ),
    ),
    "never-answered": PlantedFault(
        "errors",
        "1",
        "one in forty responses is delayed by three seconds",
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
        "at SIGTERM the process drops its open requests",
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
        "an unreadable settings file ends the process at SIGHUP",
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
    """Create a source tree with that fault, and return its path."""
    if name not in PLANTED:
        raise ScenarioError(f"--plant: {name!r} is unknown, expected one of {', '.join(PLANTED)}")
    tree = pathlib.Path(folder, "planted")
    shutil.copytree(PACKAGE, tree / "sloeferry", ignore=shutil.ignore_patterns(*NOT_COPIED))
    for edit in PLANTED[name].edits:
        path = tree / "sloeferry" / edit.path
        text = path.read_text()
        if text.count(edit.right) != 1:
            raise ScenarioError(
                f"--plant: {name}: the line to replace occurs {text.count(edit.right)} times, expected once, in {edit.path}"
            )
        path.write_text(text.replace(edit.right, edit.wrong))
    return str(tree)
