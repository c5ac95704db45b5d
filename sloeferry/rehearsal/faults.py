"""What goes wrong, and when: each fault of a scenario is carried out on the stand-ins and the proxies."""

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

MAX_RELOAD_DELAY_SECONDS = 0.5  # until a proxy gets its SIGHUP once discovery has moved


class FaultInjector:
    """Carries out the faults of one play."""

    def __init__(self, fleet: "ProxyFleet"):
        self._fleet = fleet
        self._loop = fleet.loop
        self.handlers: FaultHandlers = {
            **BackendFaults(fleet).handlers(),
            **ProxyFaults(fleet).handlers(),
            scenario_faults.DiscoveryOutage: self._stop_discovery,
            scenario_faults.DiscoveryMove: self._move_discovery,
            scenario_faults.DiscoveryLag: self._delay_changes,
            **dict.fromkeys(typing.get_args(scenario_faults.RequestFault), self._drawn_with_requests),
        }

    def schedule(self, now: float) -> None:
        """The play begins, at that time of the loop."""
        for index, fault in enumerate(self._fleet.scenario.scenario_faults):
            rng = self._fleet.environment.rng(f"trouble-{index}")
            self._loop.call_at(now + fault.at, self.handlers[type(fault)], fault, rng)

    def _drawn_with_requests(self, fault: scenario_faults.RequestFault, rng: Random) -> None:
        """Nothing is left to do: `arrivals.py` has drawn the requests with it."""

    # Discovery

    def _stop_discovery(self, fault: scenario_faults.DiscoveryOutage, rng: Random) -> None:
        discovery = self._fleet.discovery
        discovery.stop()
        self._loop.call_later(fault.lasts, lambda: self._loop.create_task(discovery.restart()))

    def _move_discovery(self, fault: scenario_faults.DiscoveryMove, rng: Random) -> None:
        """It goes on elsewhere; proxies are told by a new configuration and SIGHUP."""
        proxies = self._fleet.proxies
        self._fleet.discovery.stop()
        self._loop.create_task(self._fleet.discovery.restart(len(proxies)))
        for proxy in proxies:
            self._loop.call_later(MAX_RELOAD_DELAY_SECONDS * rng.random(), proxy.reload)

    def _delay_changes(self, fault: scenario_faults.DiscoveryLag, rng: Random) -> None:
        discovery = self._fleet.discovery
        discovery.extra_delay_seconds = fault.extra_delay_seconds
        self._loop.call_later(fault.lasts, setattr, discovery, "extra_delay_seconds", 0.0)
