"""Generates all requests of a run in advance: for one seed always the same, independent of their outcomes."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import log, sqrt
from random import Random
from typing import NamedTuple

from sloeferry.rehearsal.scenario import Scenario
from sloeferry.rehearsal.scenario_faults import FailingRequests, HeavyRequests, RequestFault, TenantExtraWork
from sloeferry.rehearsal.scenario_tables import RequestClass
from sloeferry.stand_ins.wire_protocol import RequestOutcome

SLOW_SENDER_RATIO = 0.125  # of the requests, in a scenario where clients send some byte by byte


@dataclass(slots=True)
class PlannedRequest:
    """A request of a client with all its tries, and its outcome; times in seconds."""

    number: int
    starts_at: float  # from the start of the run
    class_index: int
    tenant_index: int
    client: int
    work_ms: float
    patience_ratio: float  # of the deadline, for which the client waits in each try
    leaves_early: bool
    sends_slowly: bool
    honours_retry_after: bool
    always_fails: bool = False  # at every backend; does not count for service
    first_sent_at: float = 0.0
    outcome: RequestOutcome | None = None  # None until the client has ended its last try
    ended_at: float = 0.0
    try_count: int = 0


class LognormalShape(NamedTuple):
    """The parameters of a lognormal distribution: mean and standard deviation of the logarithm."""

    log_mean: float
    log_deviation: float


class FaultEffect(NamedTuple):
    """The effect of the scenario's faults on one request."""

    work_ms: float
    always_fails: bool


class LoadSegment(NamedTuple):
    """A span of the run with a constant rate of requests; in seconds and requests per second."""

    begins_at: float
    ends_at: float
    rate: float


def unit_mean_lognormal(variation: float) -> LognormalShape:
    """Return the lognormal distribution with mean 1 and a given coefficient of variation."""
    variance = log(1 + variation * variation)
    return LognormalShape(-variance / 2, sqrt(variance))


def plan_requests(scenario: Scenario, rng: Random) -> list[PlannedRequest]:
    """Return all requests of a run in the order of their start times, which form a Poisson process in each segment."""
    return _RequestGenerator(scenario, rng).generate()


class _RequestGenerator:
    def __init__(self, scenario: Scenario, rng: Random):
        self._scenario = scenario
        self._rng = rng
        self._faults = [fault for fault in scenario.scenario_faults if isinstance(fault, RequestFault)]
        clients = scenario.clients
        zone_count = len(scenario.network.zones)
        self._client_weights = [1 / (1 + clients.zone_skew) ** (client % zone_count) for client in range(clients.count)]

    def generate(self) -> list[PlannedRequest]:
        requests: list[PlannedRequest] = []
        for segment in self._load_segments():
            starts_at = segment.begins_at
            while segment.rate and (starts_at := starts_at + self._rng.expovariate(segment.rate)) < segment.ends_at:
                requests.append(self._draw_request(len(requests), starts_at))
        return requests

    def _load_segments(self) -> Iterator[LoadSegment]:
        seconds, segments = self._scenario.seconds, list(self._scenario.clients.load_curve)
        if sum(length for length, _ in segments) < seconds:
            segments.append((seconds, segments[-1][1]))
        begins_at = 0.0
        for length, rate in segments:
            yield LoadSegment(begins_at, min(begins_at + length, seconds), rate)
            begins_at += length
            if begins_at >= seconds:
                break

    def _draw_request(self, number: int, starts_at: float) -> PlannedRequest:
        """Generate a request with random draws in a fixed order, on which the requests of a seed depend."""
        rng, clients = self._rng, self._scenario.clients
        class_index = self._draw_index([request_class.share for request_class in self._scenario.request_classes])
        tenants = self._scenario.tenants
        tenant_index = self._draw_index([tenant.share for tenant in tenants]) if tenants else 0
        work_ms = self._draw_work_ms(self._scenario.request_classes[class_index])
        effect = self._draw_fault_effect(class_index, tenant_index, starts_at, work_ms)
        return PlannedRequest(
            number,
            starts_at,
            class_index,
            tenant_index,
            client=rng.choices(range(clients.count), self._client_weights)[0],
            work_ms=effect.work_ms,
            patience_ratio=rng.uniform(*clients.patience_range),
            leaves_early=rng.random() < clients.leaves_early_ratio,
            sends_slowly=bool(clients.slow_byte_ms) and rng.random() < SLOW_SENDER_RATIO,
            honours_retry_after=rng.random() < clients.honours_retry_after_ratio,
            always_fails=effect.always_fails,
        )

    def _draw_index(self, shares: Sequence[float]) -> int:
        return self._rng.choices(range(len(shares)), shares)[0]

    def _draw_work_ms(self, request_class: RequestClass) -> float:
        variation = request_class.work_variation
        return request_class.work_ms * (self._rng.lognormvariate(*unit_mean_lognormal(variation)) if variation else 1.0)

    def _draw_fault_effect(self, class_index: int, tenant_index: int, starts_at: float, work_ms: float) -> FaultEffect:
        always_fails = False
        for fault in self._faults:
            is_active = fault.at <= starts_at < fault.at + fault.lasts
            if not (self._affects(fault, class_index, tenant_index) and is_active and self._rng.random() < fault.part):
                continue
            if isinstance(fault, HeavyRequests):
                work_ms *= fault.times
            elif isinstance(fault, TenantExtraWork):
                work_ms += fault.delay_ms
            else:
                always_fails = True
        return FaultEffect(work_ms, always_fails)

    def _affects(self, fault: RequestFault, class_index: int, tenant_index: int) -> bool:
        """Return whether a fault affects requests of a class and tenant."""
        if isinstance(fault, HeavyRequests):
            return fault.class_name == self._scenario.request_classes[class_index].name
        if isinstance(fault, FailingRequests):
            return True
        tenants = self._scenario.tenants
        return bool(tenants) and tenants[tenant_index].name == fault.tenant_name
