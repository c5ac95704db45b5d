"""All requests of a play, drawn ahead: the same for the same seed, whatever becomes of them."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import log, sqrt
from random import Random
from typing import NamedTuple

from sloeferry.rehearsal.scenario import Scenario
from sloeferry.rehearsal.scenario_faults import FailingRequests, HeavyRequests, RequestFault, TenantDelay
from sloeferry.rehearsal.scenario_tables import RequestClass
from sloeferry.stand_ins.wire_protocol import RequestOutcome

SLOW_SENDER_RATIO = 0.125  # of the requests, where a scenario has some come byte by byte


@dataclass(slots=True)
class PlannedRequest:
    """One request as its client means it, and what became of it; times in seconds."""

    number: int
    starts_at: float  # from the start of the play
    class_index: int
    tenant_index: int
    client: int
    work_ms: float
    patience_ratio: float  # part of the deadline that a try is given
    leaves_early: bool
    sends_slowly: bool
    honours_retry_after: bool
    always_fails: bool = False  # at any backend; worth nothing
    first_sent_at: float = 0.0
    outcome: RequestOutcome | None = None  # None while its client is not done with it
    ended_at: float = 0.0
    try_count: int = 0


class LognormalShape(NamedTuple):
    """Parameters of a lognormal distribution: those of the logarithm."""

    log_mean: float
    log_deviation: float


class FaultEffect(NamedTuple):
    """What the scenario's faults make of one request."""

    work_ms: float
    always_fails: bool


class LoadSegment(NamedTuple):
    """A span of the play with one rate of requests; seconds, requests a second."""

    begins_at: float
    ends_at: float
    rate: float


def unit_mean_lognormal(variation: float) -> LognormalShape:
    """The lognormal distribution with mean 1 and that coefficient of variation."""
    variance = log(1 + variation * variation)
    return LognormalShape(-variance / 2, sqrt(variance))


def plan_requests(scenario: Scenario, rng: Random) -> list[PlannedRequest]:
    """All requests of a play, in order of time."""
    return _RequestDrawer(scenario, rng).draw()


class _RequestDrawer:
    def __init__(self, scenario: Scenario, rng: Random):
        self._scenario = scenario
        self._rng = rng
        self._faults = [fault for fault in scenario.scenario_faults if isinstance(fault, RequestFault)]
        clients = scenario.clients
        zone_count = len(scenario.network.zones)
        self._client_weights = [1 / (1 + clients.zone_skew) ** (client % zone_count) for client in range(clients.count)]

    def draw(self) -> list[PlannedRequest]:
        requests: list[PlannedRequest] = []
        for piece in self._load_segments():
            starts_at = piece.begins_at
            while piece.rate and (starts_at := starts_at + self._rng.expovariate(piece.rate)) < piece.ends_at:
                requests.append(self._draw_request(len(requests), starts_at))
        return requests

    def _load_segments(self) -> Iterator[LoadSegment]:
        seconds, pieces = self._scenario.seconds, list(self._scenario.clients.load_curve)
        if sum(length for length, _ in pieces) < seconds:
            pieces.append((seconds, pieces[-1][1]))
        begins_at = 0.0
        for length, rate in pieces:
            yield LoadSegment(begins_at, min(begins_at + length, seconds), rate)
            begins_at += length
            if begins_at >= seconds:
                break

    def _draw_request(self, number: int, starts_at: float) -> PlannedRequest:
        """Draws in a fixed order, on which the plays of a seed depend."""
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
            is_on = fault.at <= starts_at < fault.at + fault.lasts
            if not (self._concerns(fault, class_index, tenant_index) and is_on and self._rng.random() < fault.part):
                continue
            if isinstance(fault, HeavyRequests):
                work_ms *= fault.times
            elif isinstance(fault, TenantDelay):
                work_ms += fault.delay_ms
            else:
                always_fails = True
        return FaultEffect(work_ms, always_fails)

    def _concerns(self, fault: RequestFault, class_index: int, tenant_index: int) -> bool:
        """Whether a request is one of the fault's class, or of its tenant."""
        if isinstance(fault, HeavyRequests):
            return fault.class_name == self._scenario.request_classes[class_index].name
        if isinstance(fault, FailingRequests):
            return True
        tenants = self._scenario.tenants
        return bool(tenants) and tenants[tenant_index].name == fault.tenant_name
