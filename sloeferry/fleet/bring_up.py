"""Makes outdated proxies poll the endpoint list, or reread their file, at a limited rate over the whole fleet.

A proxy with an outdated list is requested to poll the complete list, one with outdated settings to reread its file.  The calls
are sent one after the other, at fixed intervals and in random order, so that discovery gets at most one poll per interval,
however many proxies are outdated.  Proxies that remain outdated are reported; replacing their processes is left to the operators.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from sloeferry.fleet.admin_client import NoAnswer, request_json
from sloeferry.fleet.audit import audit_fleet
from sloeferry.fleet.audit_record import FleetAudit, VersionedItem
from sloeferry.fleet.fleet_config import FleetConfig
from sloeferry.fleet.fleet_query import query_fleet

AUDIT_INTERVAL_SECONDS = 0.5  # while waiting for proxies to update
ADMIN_PATHS = {VersionedItem.ENDPOINT_LIST: "/admin/relist", VersionedItem.SETTINGS: "/admin/reread"}


class BringUpCall(NamedTuple):
    """A call to a proxy; `answer` is "yes", or the reason for its failure."""

    name: str
    item: VersionedItem
    answer: str

    def as_json(self) -> dict[str, str]:
        """Return the entry of the record."""
        return {"name": self.name, "step": self.item.record_name, "answer": self.answer}


@dataclass(frozen=True)
class BringUpResult:
    """The last audit, and the calls that were sent."""

    audit: FleetAudit
    calls: list[BringUpCall]

    def as_json(self) -> dict[str, Any]:
        """Return the record."""
        return self.audit.as_json() | {"calls": [sent_call.as_json() for sent_call in self.calls]}


async def bring_up(
    fleet: FleetConfig,
    call_interval_seconds: float,
    timeout_seconds: float,
    bound_ms: float,
    seed: int = 0,
    on_call: Callable[[str], None] = lambda text: None,
) -> BringUpResult:
    """Call all stragglers at the given interval, then wait until none is left or the timeout has passed."""

    async def audit() -> FleetAudit:
        return audit_fleet(fleet, await query_fleet(fleet), bound_ms)

    loop = asyncio.get_running_loop()
    last_audit = await audit()
    pending_calls = [(row.name, item) for row in last_audit.stragglers() for item in row.outdated_items()]
    Random(seed).shuffle(pending_calls)
    addresses = dict(fleet.proxies)
    calls: list[BringUpCall] = []
    for name, item in pending_calls:
        if calls:
            await asyncio.sleep(call_interval_seconds)
        answer = await request_json(addresses[name], ADMIN_PATHS[item], "POST")
        calls.append(BringUpCall(name, item, answer.evidence if isinstance(answer, NoAnswer) else "yes"))
        on_call(f"{name}: {ADMIN_PATHS[item]}: {calls[-1].answer}")
    deadline = loop.time() + timeout_seconds
    while pending_calls and last_audit.stragglers() and loop.time() < deadline:
        await asyncio.sleep(min(AUDIT_INTERVAL_SECONDS, timeout_seconds))
        last_audit = await audit()
    return BringUpResult(last_audit, calls)
