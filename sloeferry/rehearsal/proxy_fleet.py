"""A play's proxies and all round them: backends, discovery, clients, connection balancer; addresses and configurations.

The same in virtual time and in real time; `play_environment` says what differs between the two.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple, Protocol, TypeVar

from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.faults import FaultInjector
from sloeferry.rehearsal.judge import Judge
from sloeferry.rehearsal.play_environment import PlayEnvironment
from sloeferry.rehearsal.record import make_record
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

LAST_ANSWER_SECONDS = 1.0  # beyond all tries of the last request
TRY_MARGIN_MS = 2000  # beyond the deadline of each try
DISCOVERY_PORT_OFFSET = 500
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0

# The second part of the loopback addresses of each kind of part.
PROXY_BLOCK, BACKEND_BLOCK, DISCOVERY_BLOCK, CLIENTS_BLOCK, BALANCER_BLOCK = 10, 20, 30, 40, 41
ADDRESSES_PER_BLOCK = 250


class HasZone(Protocol):
    """What stands in a zone."""

    zone: str


Located = TypeVar("Located", bound=HasZone)


class BackendPlan(NamedTuple):
    """A backend that stands there from the start."""

    settings: Backends
    zone: str


def loopback_address(block: int, index: int) -> str:
    """A loopback address of its own for each."""
    return f"127.{block}.{index // ADDRESSES_PER_BLOCK}.{index % ADDRESSES_PER_BLOCK + 1}"


def make_backend_id(index: int) -> str:
    """A backend's id, by its number."""
    return f"s-{index:04x}"


def plan_backends(scenario: Scenario) -> list[BackendPlan]:
    """All backends, dealt out over the zones in turn."""
    zones = scenario.network.zones
    planned: list[BackendPlan] = []
    for backends in scenario.backends:
        for _ in range(backends.count):
            planned.append(BackendPlan(backends, backends.zone or zones[len(planned) % len(zones)]))
    return planned


def plan_places(scenario: Scenario, port: int) -> list[ProxyListener]:
    """Where the proxies stand, dealt out over the zones in turn."""
    zones = scenario.network.zones
    return [
        ProxyListener(f"p{index}", (loopback_address(PROXY_BLOCK, index), port), zones[index % len(zones)])
        for index in range(scenario.proxies.count)
    ]


class ProxyFleet:
    """A scenario's proxies and all who stand round them."""

    def __init__(self, scenario: Scenario, environment: PlayEnvironment, port: int = 8000):
        self.scenario = scenario
        self.environment = environment
        self.loop = environment.loop
        self.port = port
        self.judge = Judge(scenario, plan_requests(scenario, environment.rng("arrivals")))
        self.places = plan_places(scenario, port)
        self.judge.proxy_zones = {place.name: place.zone for place in self.places}
        self._deduplication_stores = DeduplicationStores()
        self._backend_count = 0
        zones = scenario.network.zones
        self.discovery = StandInDiscovery(
            environment.place("roster", (loopback_address(DISCOVERY_BLOCK, 0), 0), zones[0]),
            scenario.discovery,
            self.discovery_addresses(),
            self.judge,
            environment.rng("roster"),
        )
        self.backends = [self.make_backend(settings, zone) for settings, zone in plan_backends(scenario)]
        balancer_loop = environment.place("front", (loopback_address(BALANCER_BLOCK, 0), 0), None)
        self.balancer = ConnectionBalancer(balancer_loop, scenario.balancer, self.places)
        self.clients = [self._make_clients(index, zone) for index, zone in enumerate(zones)]
        self.proxies = [environment.make_proxy(self, index) for index in range(scenario.proxies.count)]

    def discovery_addresses(self) -> dict[str, tuple[str, int]]:
        """What each proxy calls for the list."""
        host, first_port = loopback_address(DISCOVERY_BLOCK, 0), self.port + DISCOVERY_PORT_OFFSET
        return {place.name: (host, first_port + index) for index, place in enumerate(self.places)}

    def _make_clients(self, index: int, zone: str) -> StandInClients:
        zone_count = len(self.scenario.network.zones)
        planned = [request for request in self.judge.planned_requests if request.client % zone_count == index]
        loop = self.environment.place(f"callers-{zone}", (loopback_address(CLIENTS_BLOCK, index), 0), None)
        rng = self.environment.rng(f"callers-{zone}")
        return StandInClients(loop, self.scenario, zone, planned, self.balancer, self.judge, rng)

    def make_backend(self, settings: Backends, zone: str) -> StandInBackend:
        """One more backend, not started."""
        index = self._backend_count
        self._backend_count += 1
        address = loopback_address(BACKEND_BLOCK, index), self.port
        backend_id = make_backend_id(index)
        return StandInBackend(
            self.environment.place(backend_id, address, zone),
            settings,
            backend_id,
            address,
            zone,
            self.judge,
            self._deduplication_stores.for_zone(zone),
            self.scenario.obligations,
            self.environment.rng(f"node-{index}"),
        )

    def settings(self, index: int) -> dict[str, Any]:
        """What the platform tells the proxy of that number."""
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
        """The configuration of the proxy of that number, as the platform writes it."""
        name, address, _ = self.places[index]
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
    def pick(part: float, zone: str, rng: Random, candidates: Sequence[Located]) -> list[Located]:
        """That part of those in a zone (everywhere if empty), by chance; at least one where any was asked for."""
        in_zone = [candidate for candidate in candidates if not zone or candidate.zone == zone]
        return rng.sample(in_zone, min(len(in_zone), math.ceil(part * len(in_zone))))

    # The course of a play

    async def open(self) -> None:
        """Starts backends, warm ones, and discovery."""
        for backend in self.backends:
            await backend.start(is_warm=True)
            self.discovery.publish(backend, BackendState.READY, 0.0)
        await self.discovery.start()

    def begin(self, now: float) -> None:
        """Clients and faults begin, at that time of the loop."""
        self.judge.began_at = now
        for clients in self.clients:
            clients.schedule_requests(now)
        FaultInjector(self).schedule(now)

    def is_busy(self) -> bool:
        """Whether a client waits for an answer."""
        return any(clients.open_request_count for clients in self.clients)

    def record(self, now: float) -> dict[str, Any]:
        """The play's record, once all that could end has ended."""
        for request in [request for clients in self.clients for request in clients.planned_requests if not request.outcome]:
            self.judge.violation(Rule.ONE_ANSWER, now, f"txn {request.number} had no end")
        return make_record(self.judge)

    def last_request_seconds(self) -> float:
        """How long the last request may still take, with all its tries."""
        longest_ms = max(request_class.deadline_ms for request_class in self.scenario.request_classes)
        try_count = 1 + self.scenario.clients.max_retries
        return LAST_ANSWER_SECONDS + try_count * (longest_ms + TRY_MARGIN_MS) / 1000
