"""The fleet's own word of itself in the middle of a run, as operators get it."""

from typing import Any

from sloeferry.fault_testing.placement import Place
from sloeferry.fleet.audit import DEFAULT_BOUND_MS
from sloeferry.fleet.audit import audit_fleet as audit_answers
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress
from sloeferry.fleet.fleet_query import FleetAnswers, query_fleet
from sloeferry.stand_ins.clients import OPS
from sloeferry.stand_ins.discovery import Roster


async def audit_fleet(places: list[Place], discovery: Roster) -> dict[str, Any]:
    """Asks all proxies at their admin addresses; discovery stands at its revision once all have answered."""
    proxies = tuple(ProxyAddress(place.name, (place.address[0], place.address[1] + OPS)) for place in places)
    fleet = FleetConfig(proxies, None)
    answers = await query_fleet(fleet)
    answers = FleetAnswers(answers.proxies, {"revision": discovery.revision})
    return audit_answers(fleet, answers, DEFAULT_BOUND_MS).as_json()
