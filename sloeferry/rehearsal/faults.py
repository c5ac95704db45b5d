"""Injects the faults of a scenario at their times, into the stand-ins and the proxies."""

import typing
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal import scenario_faults
from sloeferry.rehearsal.backend_faults import BackendFaults
from sloeferry.rehearsal.proxy_faults import ProxyFaults
from sloeferry.rehearsal.scenario_faults import Fault

if TYPE_CHECKING:
    from sloeferry.rehearsal.proxy_fleet import ProxyFleet

FaultHandlers = dict[type[Fault], Callable[[Any, Random], None]]

MAX_RELOAD_DELAY_SECONDS = 0.5  # from a move of discovery to the SIGHUP of a proxy


class FaultInjector:
    """Injects the faults of one run."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop
        self.handlers: FaultHandlers = {
            **BackendFaults(fleet).handlers(),
            **ProxyFaults(fleet).handlers(),
            scenario_faults.DiscoveryOutage: self._stop_discovery,
            scenario_faults.DiscoveryMove: self._move_discovery,
            scenario_faults.DiscoveryLag: self._delay_changes,
            **dict.fromkeys(typing.get_args(scenario_faults.RequestFault), self._applied_to_requests),
        }

    def schedule(self, now: float) -> None:
        """Schedule all faults of a run that begins at `now`, a time of the loop."""
        for index, fault in enumerate(self._fleet.scenario.scenario_faults):
            rng = self._fleet.environment.rng(f"trouble-{index}")
            self._loop.call_at(now + fault.at, self.handlers[type(fault)], fault, rng)

    def _applied_to_requests(self, fault: scenario_faults.RequestFault, rng: Random) -> None:
        """Do nothing: `arrivals.py` has applied the fault to the planned requests."""

    # Discovery

    def _stop_discovery(self, fault: scenario_faults.DiscoveryOutage, rng: Random) -> None:
        discovery = self._fleet.discovery
        discovery.stop()
        self._loop.call_later(fault.lasts, lambda: self._loop.create_task(discovery.restart()))

    def _move_discovery(self, fault: scenario_faults.DiscoveryMove, rng: Random) -> None:
        """Restart discovery at other ports, and send proxies a new configuration and SIGHUP."""
        proxies = self._fleet.proxies
        self._fleet.discovery.stop()
        self._loop.create_task(self._fleet.discovery.restart(len(proxies)))
        for proxy in proxies:
            self._loop.call_later(MAX_RELOAD_DELAY_SECONDS * rng.random(), proxy.reload)

    def _delay_changes(self, fault: scenario_faults.DiscoveryLag, rng: Random) -> None:
        discovery = self._fleet.discovery
        discovery.extra_delay_seconds = fault.extra_delay_seconds
        self._loop.call_later(fault.lasts, setattr, discovery, "extra_delay_seconds", 0.0)
