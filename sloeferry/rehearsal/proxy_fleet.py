"""Builds the proxies and stand-ins of a run: backends, discovery, clients and connection balancer, with addresses and settings.

This module serves runs in virtual time and live ones alike; `run_environment` defines what differs between the two.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple, Protocol, TypeVar

from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.judge import Judge
from sloeferry.rehearsal.record import make_record
from sloeferry.rehearsal.run_environment import RunEnvironment
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.rehearsal.scenario_tables import Backends
from sloeferry.stand_ins import platform
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.clients import StandInClients
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyListener
from sloeferry.stand_ins.deduplication import DeduplicationStores
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import ADMIN_PORT_OFFSET, BackendState

LAST_RESPONSE_MARGIN_SECONDS = 1.0  # after all attempts of the last request
ATTEMPT_MARGIN_MS = 2000  # after the deadline of each attempt
DISCOVERY_PORT_OFFSET = 500
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0

# The second octet of the loopback addresses, by kind of participant.
PROXY_BLOCK, BACKEND_BLOCK, DISCOVERY_BLOCK, CLIENTS_BLOCK, BALANCER_BLOCK = 10, 20, 30, 40, 41
ADDRESSES_PER_BLOCK = 250


class HasZone(Protocol):
    """An object that belongs to a zone."""

    zone: str


Located = TypeVar("Located", bound=HasZone)


class BackendPlan(NamedTuple):
    """A backend that runs from the start: the settings of its group and its zone."""

    settings: Backends
    zone: str


def loopback_address(block: int, index: int) -> str:
    """Return the loopback address of one participant; each combination of block and index has its own."""
    return f"127.{block}.{index // ADDRESSES_PER_BLOCK}.{index % ADDRESSES_PER_BLOCK + 1}"


def make_backend_id(index: int) -> str:
    """Return the id of the backend with that number."""
    return f"s-{index:04x}"


def plan_backends(scenario: Scenario) -> list[BackendPlan]:
    """Return all initial backends, assigned to the zones in turn unless their group names one."""
    zones = scenario.network.zones
    planned: list[BackendPlan] = []
    for backends in scenario.backends:
        for _ in range(backends.count):
            planned.append(BackendPlan(backends, backends.zone or zones[len(planned) % len(zones)]))
    return planned


def plan_listeners(scenario: Scenario, port: int) -> list[ProxyListener]:
    """Return the names, addresses and zones of the proxies, assigned to the zones in turn."""
    zones = scenario.network.zones
    return [
        ProxyListener(f"p{index}", (loopback_address(PROXY_BLOCK, index), port), zones[index % len(zones)])
        for index in range(scenario.proxies.count)
    ]


class ProxyFleet:
    """Owns the proxies and stand-ins of one run."""

    def __init__(self, scenario: Scenario, environment: RunEnvironment, port: int = 8000):
        self.scenario = scenario
        self.environment = environment
        self.loop = environment.loop
        self.port = port
        self.observer = Judge(scenario, plan_requests(scenario, environment.rng("arrivals")))
        self.listeners = plan_listeners(scenario, port)
        self.observer.proxy_zones = {listener.name: listener.zone for listener in self.listeners}
        self._deduplication_stores = DeduplicationStores()
        self._backend_count = 0
        zones = scenario.network.zones
        self.discovery = StandInDiscovery(
            environment.event_loop_for("roster", (loopback_address(DISCOVERY_BLOCK, 0), 0), zones[0]),
            scenario.discovery,
            self.discovery_addresses(),
            self.observer,
            environment.rng("roster"),
        )
        self.backends = [self.make_backend(settings, zone) for settings, zone in plan_backends(scenario)]
        balancer_loop = environment.event_loop_for("front", (loopback_address(BALANCER_BLOCK, 0), 0), None)
        self.balancer = ConnectionBalancer(balancer_loop, scenario.balancer, self.listeners)
        self.clients = [self._make_clients(index, zone) for index, zone in enumerate(zones)]
        self.proxies = [environment.make_proxy(self, index) for index in range(scenario.proxies.count)]

    def discovery_addresses(self) -> dict[str, tuple[str, int]]:
        """Return the address at which each proxy calls discovery, by the proxy's name."""
        host, first_port = loopback_address(DISCOVERY_BLOCK, 0), self.port + DISCOVERY_PORT_OFFSET
        return {listener.name: (host, first_port + index) for index, listener in enumerate(self.listeners)}

    def _make_clients(self, index: int, zone: str) -> StandInClients:
        zone_count = len(self.scenario.network.zones)
        planned = [request for request in self.observer.planned_requests if request.client % zone_count == index]
        loop = self.environment.event_loop_for(f"callers-{zone}", (loopback_address(CLIENTS_BLOCK, index), 0), None)
        rng = self.environment.rng(f"callers-{zone}")
        return StandInClients(loop, self.scenario, zone, planned, self.balancer, self.observer, rng)

    def make_backend(self, settings: Backends, zone: str) -> StandInBackend:
        """Return another backend, not started."""
        index = self._backend_count
        self._backend_count += 1
        address = loopback_address(BACKEND_BLOCK, index), self.port
        backend_id = make_backend_id(index)
        return StandInBackend(
            self.environment.event_loop_for(backend_id, address, zone),
            settings,
            backend_id,
            address,
            zone,
            self.observer,
            self._deduplication_stores.for_zone(zone),
            self.scenario.obligations,
            self.environment.rng(f"node-{index}"),
        )

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings that the platform gives to the proxy with that number."""
        scenario = self.scenario
        idle_timeouts = [backends.idle_timeout_seconds for backends in scenario.backends]
        request_classes = [
            platform.request_class_settings(
                request_class.name,
                request_class.kind,
                request_class.latency_objective_ms,
                request_class.deadline_ms,
                request_class.priority_weight,
                request_class.deduplication_group,
                request_class.deduplication_window_ms,
            )
            for request_class in scenario.request_classes
        ]
        return platform.proxy_settings(
            request_classes,
            [(tenant.name, tenant.share) for tenant in scenario.tenants],
            instance_count=scenario.proxies.count,
            ordinal=index,
            zones=scenario.network.zones,
            machine_kinds={backends.machine_kind for backends in scenario.backends},
            discovery_mode=scenario.discovery.mode,
            idle_timeout_seconds=min(idle_timeouts, default=DEFAULT_IDLE_TIMEOUT_SECONDS),
            obligations=self._obligation_terms(),
            cross_zone_cost=scenario.costs.cross_zone,
            health_check_cost=scenario.costs.health_check,
        )

    def _obligation_terms(self) -> platform.ObligationTerms:
        warm_up = self.scenario.warm_up_terms()
        obligations = self.scenario.obligations
        return platform.ObligationTerms(
            slow_start_seconds=warm_up.longest_seconds,
            slow_start_initial_ratio=warm_up.lowest_initial_capacity_ratio,
            drain_grace_ms=obligations.drain_grace_ms,
            overload_window_ms=obligations.overload_window_ms,
            overload_multiple=obligations.overload_multiple,
            poll_within_seconds=self.scenario.discovery.max_list_age_seconds,
        )

    def instance_config(self, index: int, seed: int) -> dict[str, Any]:
        """Return the configuration file's content for the proxy with that number, as the platform writes it."""
        name, address, _ = self.listeners[index]
        proxies = self.scenario.proxies
        return platform.instance_config(
            name,
            address,
            self.discovery.addresses[name],
            self.settings(index),
            seed=seed,
            max_sockets=proxies.max_sockets,
            memory_mb=proxies.memory_mb,
            cores=proxies.cpu_share,
            admin=(address[0], address[1] + ADMIN_PORT_OFFSET),
            known_list=self.discovery.last_sent_list(name),
        )

    @staticmethod
    def sample_in_zone(ratio: float, zone: str, rng: Random, candidates: Sequence[Located]) -> list[Located]:
        """Return a random sample of the candidates in a zone (in all zones if `zone` is empty), its size rounded up."""
        in_zone = [candidate for candidate in candidates if not zone or candidate.zone == zone]
        return rng.sample(in_zone, min(len(in_zone), math.ceil(ratio * len(in_zone))))

    # Course of a run

    async def start_stand_ins(self) -> None:
        """Start the backends, warmed up and listed as ready, and discovery."""
        for backend in self.backends:
            await backend.start(is_warm=True)
            self.discovery.publish(backend, BackendState.READY, 0.0)
        await self.discovery.start()

    def begin(self, now: float) -> None:
        """Start the clients' load and the faults at that time of the event loop."""
        self.observer.began_at = now
        for clients in self.clients:
            clients.schedule_requests(now)
        FaultInjector(self).schedule(now)

    def has_open_requests(self) -> bool:
        """Return whether a client is waiting for a response."""
        return any(clients.open_request_count for clients in self.clients)

    def record(self, now: float) -> dict[str, Any]:
        """Return the record of the run; requests without an outcome count as violations."""
        for request in [request for clients in self.clients for request in clients.planned_requests if not request.outcome]:
            self.observer.rule_violated(Rule.ONE_ANSWER, now, f"txn {request.number} had no end")
        return make_record(self.observer)

    def last_request_timeout_seconds(self) -> float:
        """Return how long the last request may take, all its attempts included."""
        longest_ms = max(request_class.deadline_ms for request_class in self.scenario.request_classes)
        attempt_count = 1 + self.scenario.clients.max_retries
        return LAST_RESPONSE_MARGIN_SECONDS + attempt_count * (longest_ms + ATTEMPT_MARGIN_MS) / 1000
