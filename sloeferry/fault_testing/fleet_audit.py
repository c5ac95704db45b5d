"""The fleet's own word of itself in the middle of a run, as operators get it."""

from typing import Any

from sloeferry.fault_testing.placement import Place
from sloeferry.fleet.ask import ask_all
from sloeferry.fleet.audit import BOUND, audit
from sloeferry.fleet.roll import Proxy, Roll
from sloeferry.stand_ins.clients import OPS
from sloeferry.stand_ins.discovery import Roster


async def audit_fleet(places: list[Place], discovery: Roster) -> dict[str, Any]:
    """Asks all proxies at their admin addresses; discovery stands at its revision once all have answered."""
    proxies = tuple(Proxy(place.name, (place.address[0], place.address[1] + OPS)) for place in places)
    roll = Roll(proxies, None)
    answers, _ = await ask_all(roll, None)
    return audit(roll, answers, {"revision": discovery.revision}, BOUND)
