"""The fleet audit in the middle of a run, over the same admin interface that operators use."""

from typing import Any

from sloeferry.fleet.audit import DEFAULT_BOUND_MS, audit_fleet
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress
from sloeferry.fleet.fleet_query import FleetAnswers, query_fleet
from sloeferry.stand_ins.connection_balancer import ProxyListener
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.wire_protocol import ADMIN_PORT_OFFSET


async def audit_running_fleet(listeners: list[ProxyListener], discovery: StandInDiscovery) -> dict[str, Any]:
    """Query all proxies at their admin addresses, and return the audit against discovery's revision after the last answer."""
    proxies = tuple(
        ProxyAddress(listener.name, (listener.address[0], listener.address[1] + ADMIN_PORT_OFFSET)) for listener in listeners
    )
    fleet = FleetConfig(proxies, None)
    answers = await query_fleet(fleet)
    answers = FleetAnswers(answers.proxies, {"revision": discovery.backend_list.revision})
    return audit_fleet(fleet, answers, DEFAULT_BOUND_MS).as_json()
