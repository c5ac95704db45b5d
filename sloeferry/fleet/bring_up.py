"""Has stragglers ask for the endpoint list, or read their file, again; the load of it is bounded over the whole fleet.

A proxy that lags with its list is told to ask for it anew, one that lags with its settings to read its file anew: one call
after the other, at a pace and in random order, so that discovery gets no more calls a second than that, however many lag.
What a call does not mend is left to whoever replaces processes, and said.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from sloeferry.fleet.admin_client import NoAnswer, request_json
from sloeferry.fleet.audit import audit_fleet
from sloeferry.fleet.audit_record import FleetAudit, Subject
from sloeferry.fleet.fleet_config import FleetConfig
from sloeferry.fleet.fleet_query import query_fleet

AUDIT_SECONDS = 0.5  # between two audits while something may still come
PATHS = {Subject.ENDPOINT_LIST: "/admin/relist", Subject.SETTINGS: "/admin/reread"}


class BringUpCall(NamedTuple):
    """One call that was made, and what came of it: yes, or why not."""

    name: str
    subject: Subject
    answer: str

    def as_json(self) -> dict[str, str]:
        """The entry of the record."""
        return {"name": self.name, "step": self.subject.word, "answer": self.answer}


@dataclass(frozen=True)
class BringUpResult:
    """The last audit, and the calls made."""

    audit: FleetAudit
    calls: list[BringUpCall]

    def as_json(self) -> dict[str, Any]:
        """The record."""
        return self.audit.as_json() | {"calls": [each.as_json() for each in self.calls]}


async def bring_up(
    fleet: FleetConfig,
    pace_seconds: float,
    patience_seconds: float,
    bound_ms: float,
    seed: int = 0,
    report: Callable[[str], None] = lambda text: None,
) -> BringUpResult:
    """Calls all stragglers, `pace_seconds` apart, and waits `patience_seconds` at most until none is left."""

    async def audit() -> FleetAudit:
        return audit_fleet(fleet, await query_fleet(fleet), bound_ms)

    loop = asyncio.get_running_loop()
    last_audit = await audit()
    due = [(row.name, subject) for row in last_audit.stragglers() for subject in row.behind()]
    Random(seed).shuffle(due)
    addresses = dict(fleet.proxies)
    calls: list[BringUpCall] = []
    for name, subject in due:
        if calls:
            await asyncio.sleep(pace_seconds)
        answer = await request_json(addresses[name], PATHS[subject], "POST")
        calls.append(BringUpCall(name, subject, answer.evidence if isinstance(answer, NoAnswer) else "yes"))
        report(f"{name}: {PATHS[subject]}: {calls[-1].answer}")
    give_up_at = loop.time() + patience_seconds
    while due and last_audit.stragglers() and loop.time() < give_up_at:
        await asyncio.sleep(min(AUDIT_SECONDS, patience_seconds))
        last_audit = await audit()
    return BringUpResult(last_audit, calls)
