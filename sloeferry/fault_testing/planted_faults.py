"""Builds of the daemon with one wrong line each: what the rig has to convict.

A planted build is this tree's own `sloeferry`, copied, with one text put in the place of another that stands there
exactly once; where it does not, that is said, for then the table here is behind the code.  Where a second guard would hold
what the first lets through, it is taken out as well: a build that breaks no rule shows nothing of the first.
"""

import pathlib
import shutil
from typing import NamedTuple

from sloeferry.rehearsal.scenario import Fault

PACKAGE = pathlib.Path(__file__).resolve().parents[1]


class Wrong(NamedTuple):
    plan: str  # the plan that convicts it
    rules: str  # which rules may be named for it
    about: str
    path: str
    right: str
    wrong: str
    also: tuple = ()  # the second guard in that file: (right, wrong)


PLANTED = {
    "drain-forgotten": Wrong(
        "lists",
        "3",
        "a node that drains is taken for ready",
        "network/discovery_client.py",
        '"leaving": "draining"',
        '"leaving": "ready"',
    ),
    "changes-unheard": Wrong(
        "lists",
        "3",
        "what changes in the list is not passed on to the decisions",
        "network/discovery_client.py",
        "        self.facade.report_list(whole, list(lines.values()), cached, news, ours)",
        "        whole and self.facade.report_list(whole, list(lines.values()), cached, news, ours)",
    ),
    "news-dropped": Wrong(
        "zombies",
        "3",
        "after it stood still, what discovery wrote is dropped with the watch",
        "network/discovery_client.py",
        "if http1.quiet(sock):",
        "if True:",
    ),
    "late-taken-for-new": Wrong(
        "zombies",
        "1",
        "after it stood still, what lies unread is taken for new",
        "network/clients.py",
        "if self.facade.door.stood(late):",
        "if False:",
        # Its clients have left at their expiry, which a look before the first byte sees.
        ("return self.ended or environment.ended(self.sock)", "return self.ended"),
    ),
    "past-expiry": Wrong(
        "errors",
        "1",
        "a txn's time is taken for longer than it is",
        "dispatch/dispatcher.py",
        "left -= min(self.proxy.late, left / 2)",
        "left += 400",
    ),
    "posted-again": Wrong(
        "links",
        "2",
        "a once-only txn that may have run is posted again",
        "policy/policy.py",
        'return txn.scheme.kind == "referenced" and now < maybe[0].sent + txn.scheme.window - self.p.step',
        "return True",
    ),
    "out-of-group": Wrong(
        "links",
        "2",
        "a referenced txn that may have run is posted out of its group",
        "policy/policy.py",
        'return b.zone == first.zone if scheme.group == "zone" else b.cell == first.cell',
        "return True",
    ),
    "whole-as-unwritten": Wrong(
        "cut-answers",
        "2",
        "a posting that was written whole and cut counts as never run",
        "dispatch/dispatcher.py",
        "    if reached < WHOLE:\n",
        "    if reached <= WHOLE and why == BROKEN:\n",
    ),
    "declined-and-ran": Wrong(
        "errors",
        "2",
        "what may have run is declined",
        "policy/policy.py",
        'if not txn.maybe() or kind == "repeatable" or kind',
        'if True or kind == "repeatable" or kind',
    ),
    "starts-unheeded": Wrong(
        "colds",
        "4",
        "a node that has started anew is taken for warm",
        "policy/policy.py",
        "b.zone, b.cell, b.launched = zone, cell, launched",
        "b.zone, b.cell, b.launched = zone, cell, 0.0",
    ),
    "answered-twice": Wrong(
        "errors",
        "1",
        "a refusal is said twice",
        "network/clients.py",
        "await self.loop.sock_sendall(self.sock, data)\n        self.sending = None",
        'await self.loop.sock_sendall(self.sock, data * (1 + (b" 504 " in data[:16])))\n        self.sending = None',
    ),
    "never-answered": Wrong(
        "errors",
        "1",
        "one in forty answers is never given",
        "network/clients.py",
        "                answer = what[0]\n",
        "                answer = what[0]\n                await asyncio.sleep(3 * (errand.ref % 40 == 7))\n",
    ),
    "error-as-answer": Wrong(
        "errors",
        "1",
        "a node's error is passed on as its answer",
        "network/backends.py",
        "why = f.SERVED if answer.status == 200 else f.REJECTED",
        "why = f.SERVED if answer.status in (200, 500) else f.REJECTED",
    ),
    "ends-at-once": Wrong(
        "deaths",
        "1",
        "told to leave, it drops what it has",
        "__main__.py",
        "        await clients.leave()\n",
        "        clients.shut()\n",
    ),
    "bad-file-ends-it": Wrong(
        "settings",
        "crash",
        "a file that can't be read ends the program",
        "__main__.py",
        'return logger.error("SIGHUP, all stays as it was: {}", fault)',
        "os._exit(3)",
    ),
}


def plant(name, folder):
    """The folder of a tree that has that fault."""
    if name not in PLANTED:
        raise Fault(f"--plant: {name!r} is none of {', '.join(PLANTED)}")
    one, tree = PLANTED[name], pathlib.Path(folder, "planted")
    shutil.copytree(
        PACKAGE, tree / "sloeferry", ignore=shutil.ignore_patterns("__pycache__", "fault_testing", "rehearsal", "load_testing")
    )
    path = tree / "sloeferry" / one.path
    text = path.read_text()
    for right, wrong in filter(None, ((one.right, one.wrong), one.also)):
        if text.count(right) != 1:
            raise Fault(f"--plant: {name}: its line stands {text.count(right)} times in {one.path}")
        text = text.replace(right, wrong)
    path.write_text(text)
    return str(tree)
