"""Makes the record of a run: service as operators compute it, and counters.  For one seed it is the same byte for byte."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import ceil
from typing import Any

from sloeferry.rehearsal.arrivals import PlannedRequest
from sloeferry.rehearsal.judge import Judge
from sloeferry.rehearsal.scenario import Scenario
from sloeferry.stand_ins.wire_protocol import RequestOutcome

WINDOW_SECONDS = 5.0
MIN_WINDOW_RATIO = 1 / 4  # of the mean number of requests; windows with fewer do not count as the worst
WINDOW_OUTCOMES = (RequestOutcome.SERVED, RequestOutcome.REJECTED, RequestOutcome.FAILED)
RECORDED_OUTCOMES = (
    RequestOutcome.SERVED,
    RequestOutcome.REJECTED,
    RequestOutcome.FAILED,
    RequestOutcome.UNANSWERED,
    RequestOutcome.PROXY_KILLED,
    RequestOutcome.CLIENT_LEFT,
    RequestOutcome.NOT_ACCEPTED,
    RequestOutcome.PROXY_STOPPED,
)

Requests = Sequence[PlannedRequest]


def make_record(judge: Judge) -> dict[str, Any]:
    """Return the record of a run.  Its keys are fixed, since stored record files contain them."""
    requests = [request for request in judge.planned_requests if request.outcome]
    service = ServiceScore(judge.scenario)
    windows = split_into_windows(requests, judge.scenario.seconds)
    parts = service_parts(service, requests, windows)
    costs = service_costs(judge, service, requests)
    total = weighted_mean(judge.scenario, parts) - sum(costs.values())
    return {
        "scenario": judge.scenario.name,
        "service": {
            "total": round_figure(total),
            **{key: round_figure(value) for key, value in parts.items()},
            "prices": {key: round_figure(value) for key, value in costs.items()},
        },
        "rules": dict(judge.violation_counts),
        "breaches": judge.violation_texts,
        "windows": [window_record(index, window, service) for index, window in enumerate(windows)],
        "txns": request_counts(judge, service, requests),
        "nodes": {
            "choked": len(judge.congested_backends),
            "fell": judge.pushed_over_count,
            "work_s": round_figure(judge.work_done_ms / 1000),
        },
    }


@dataclass(frozen=True)
class ServiceScore:
    """Computes service: the ratio of priority weight that was served within the latency objective."""

    scenario: Scenario

    def is_in_time(self, request: PlannedRequest) -> bool:
        """Return whether a request was served within its latency objective."""
        return request.outcome == RequestOutcome.SERVED and not self.is_past_objective(request)

    def is_past_objective(self, request: PlannedRequest) -> bool:
        """Return whether a request ended after its latency objective."""
        objective_ms = self.scenario.request_classes[request.class_index].latency_objective_ms
        return request.ended_at - request.first_sent_at > objective_ms / 1000

    def weight(self, requests: Iterable[PlannedRequest]) -> float:
        """Return the total priority weight of requests, without those that always fail."""
        classes = self.scenario.request_classes
        return sum(classes[request.class_index].priority_weight for request in requests if not request.always_fails)

    def ratio(self, requests: Requests) -> float | None:
        """Return the service for some requests; None if their weight is 0."""
        weight = self.weight(requests)
        return self.weight(filter(self.is_in_time, requests)) / weight if weight else None


def split_into_windows(requests: Requests, seconds: float) -> list[list[PlannedRequest]]:
    """Group requests into windows by the planned time of their first try."""
    windows: list[list[PlannedRequest]] = [[] for _ in range(max(1, ceil(seconds / WINDOW_SECONDS)))]
    for request in requests:
        windows[min(int(request.starts_at // WINDOW_SECONDS), len(windows) - 1)].append(request)
    return windows


def service_parts(service: ServiceScore, requests: Requests, windows: Sequence[Requests]) -> dict[str, float | None]:
    """Return the parts of the total service: for the whole run, and for its worst 10 seconds, class and tenant."""
    pairs = [first + second for first, second in pairwise(windows)] or windows
    min_requests = len(requests) / len(windows) * MIN_WINDOW_RATIO
    class_indexes = range(len(service.scenario.request_classes))
    tenant_indexes = range(max(1, len(service.scenario.tenants)))
    by_class = ([request for request in requests if request.class_index == index] for index in class_indexes)
    by_tenant = ([request for request in requests if request.tenant_index == index] for index in tenant_indexes)
    return {
        "whole": service.ratio(requests),
        "worst_10s": lowest_known(service.ratio(pair) for pair in pairs if len(pair) >= min_requests),
        "worst_scheme": lowest_known(map(service.ratio, by_class)),
        "worst_customer": lowest_known(map(service.ratio, by_tenant)),
    }


def weighted_mean(scenario: Scenario, parts: dict[str, float | None]) -> float:
    """Return the weighted mean of the parts of service; a part without requests counts as 1."""
    weights = scenario.service_weights
    part_weights = {
        "whole": weights.whole,
        "worst_10s": weights.worst_10_seconds,
        "worst_scheme": weights.worst_class,
        "worst_customer": weights.worst_tenant,
    }
    weighted = (weight * (1.0 if parts[name] is None else parts[name]) for name, weight in part_weights.items())
    return sum(weighted) / sum(part_weights.values())


def service_costs(judge: Judge, service: ServiceScore, requests: Requests) -> dict[str, float]:
    """Return the costs deducted from service: for wasted work, late rejections and failures, zone crossings, health checks."""
    costs = judge.scenario.costs
    request_count = max(1, len(requests))
    exempt_outcomes = (RequestOutcome.SERVED, RequestOutcome.CLIENT_LEFT)
    late_weight = service.weight(
        request for request in requests if request.outcome not in exempt_outcomes and service.is_past_objective(request)
    )
    useful_ms = sum(request.work_ms for request in requests if request.outcome == RequestOutcome.SERVED)
    requested_ms = sum(request.work_ms for request in requests) or 1.0
    wasted_ms = max(0.0, judge.work_done_ms + judge.health_check_work_ms - useful_ms)
    return {
        "waste": costs.wasted_work * wasted_ms / requested_ms,
        "late": costs.late_answer * late_weight / (service.weight(requests) or 1.0),
        "cross": costs.cross_zone * judge.cross_zone_count / request_count,
        "probe": costs.health_check * judge.health_check_count / request_count,
    }


def window_record(index: int, window: Requests, service: ServiceScore) -> dict[str, Any]:
    """Return the record of one window: its requests, service and outcomes."""
    return {
        "at": round_figure(index * WINDOW_SECONDS),
        "asked": len(window),
        "service": round_figure(service.ratio(window)),
        **{outcome.value: sum(request.outcome == outcome for request in window) for outcome in WINDOW_OUTCOMES},
    }


def request_counts(judge: Judge, service: ServiceScore, requests: Requests) -> dict[str, int]:
    """Return the numbers of requests by outcome, and of tries, attempts, repeated runs, health checks and zone crossings."""
    outcomes = [request.outcome for request in requests]
    return {
        "asked": len(requests),
        "in_time": sum(map(service.is_in_time, requests)),
        **{outcome.value: outcomes.count(outcome) for outcome in RECORDED_OUTCOMES},
        "tries": sum(request.try_count for request in requests),
        "postings": judge.attempt_count,
        "runs_again": judge.repeated_run_count,
        "probes": judge.health_check_count,
        "crossings": judge.cross_zone_count,
    }


def lowest_known(values: Iterable[float | None]) -> float | None:
    """Return the lowest value that is not None; None if there is none."""
    return min((value for value in values if value is not None), default=None)


def round_figure(value: float | None) -> float | None:
    """Round a figure as records have it."""
    return None if value is None else round(value, 6)
