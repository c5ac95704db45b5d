"""Overload cases: disruptions of a proxy near or beyond its saturation, and the time until it has recovered."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from sloeferry.load_testing.deployment import BackendFault, BackendFaultKind, CpuShareChange, Deployment, Stall
from sloeferry.load_testing.figures import LoadFigures
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.plan import CurvePiece, LoadPlan
from sloeferry.load_testing.saturation import with_workers_for

BASE_LOAD_FACTOR = 0.6  # of saturation: load before and after a disruption
LARGE_BODY_BYTES = 65536

CaseBuilder = Callable[[float, LoadPlan, Deployment], tuple[LoadPlan, Deployment]]
# Pieces of a load curve: (seconds, multiple of saturation).
CurveFactors = tuple[tuple[float, float], ...]
TWICE_SATURATION_CURVE: CurveFactors = ((3, BASE_LOAD_FACTOR), (3, 2.0), (4, BASE_LOAD_FACTOR))


@dataclass(frozen=True)
class OverloadCase:
    """Overload case: builds its plan and deployment from the saturation, and has the time at which its disruption ends."""

    description: str
    build: CaseBuilder
    disruption_ends_seconds: float
    duration_seconds: float = 10.0


class CaseResult(NamedTuple):
    """Figures of a case; `recovery_seconds` is None if the proxy did not recover."""

    figures: LoadFigures
    recovery_seconds: float | None


def _with_curve(plan: LoadPlan, saturation: float, curve_factors: CurveFactors) -> LoadPlan:
    return replace(plan, curve=tuple(CurvePiece(seconds, factor * saturation) for seconds, factor in curve_factors))


def _deployment_case(*curve_factors: tuple[float, float], **deployment_changes: Any) -> CaseBuilder:
    def build(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
        return _with_curve(plan, saturation, curve_factors), replace(deployment, **deployment_changes)

    return build


def _client_case(curve_factors: CurveFactors, **client_changes: Any) -> CaseBuilder:
    def build(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
        clients = replace(plan.clients, **client_changes)
        return replace(_with_curve(plan, saturation, curve_factors), clients=clients), deployment

    return build


def _build_large_bodies(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
    request_classes = tuple(
        replace(each, body_bytes=LARGE_BODY_BYTES if each.has_idempotency_key else 0) for each in plan.request_classes
    )
    plan = replace(_with_curve(plan, saturation, TWICE_SATURATION_CURVE), request_classes=request_classes)
    return plan, replace(deployment, answer_bytes=LARGE_BODY_BYTES)


FAULTY_BACKENDS = (BackendFault(0, BackendFaultKind.SILENT, 3.0, 6.0), BackendFault(1, BackendFaultKind.ERRORS, 3.0, 6.0))

OVERLOAD_CASES = {
    "triples": OverloadCase(
        "load triples at once and stays there", _deployment_case((4, BASE_LOAD_FACTOR), (6, 3 * BASE_LOAD_FACTOR)), 4.0
    ),
    "burst": OverloadCase(
        "a burst of 200 ms at eight times saturation",
        _deployment_case((4, BASE_LOAD_FACTOR), (0.2, 8.0), (5.8, BASE_LOAD_FACTOR)),
        4.2,
    ),
    "reconnect": OverloadCase(
        "proxy restarted under load: all clients reconnect", _deployment_case((10, BASE_LOAD_FACTOR), restart_at_seconds=4.0), 4.0
    ),
    "retry-at-once": OverloadCase(
        "twice saturation; clients retry rejected requests at once, up to three times",
        _client_case(TWICE_SATURATION_CURVE, max_retries=3, backoff_ms=0.0, retry_after_ratio=0.0),
        6.0,
    ),
    "bodies": OverloadCase("64 KiB request and response bodies at twice saturation", _build_large_bodies, 6.0),
    "less-cpu": OverloadCase(
        "0.6 of saturation; the CPU share falls from 0.7 to 0.3 for three seconds",
        _deployment_case((10, 0.6), cpu_share_changes=(CpuShareChange(3.0, 0.3), CpuShareChange(6.0, 0.7))),
        6.0,
    ),
    "stall": OverloadCase(
        "a stall of 500 ms under load", _deployment_case((10, BASE_LOAD_FACTOR), stalls=(Stall(4.0, 0.5),)), 4.5
    ),
    "bad-backends": OverloadCase(
        "twice saturation while one backend is silent and one fails every request",
        _deployment_case(*TWICE_SATURATION_CURVE, backend_faults=FAULTY_BACKENDS),
        6.0,
    ),
    "bad-heads": OverloadCase(
        "twice saturation, half of it invalid requests", _client_case(TWICE_SATURATION_CURVE, invalid_ratio=0.5), 6.0
    ),
    "flood": OverloadCase(
        "four times saturation for three seconds", _deployment_case((3, BASE_LOAD_FACTOR), (3, 4.0), (4, BASE_LOAD_FACTOR)), 6.0
    ),
}


def run_case(name: str, plan: LoadPlan, deployment: Deployment, saturation: float) -> CaseResult:
    """Run a case; `saturation` is in requests per second."""
    case = OVERLOAD_CASES[name]
    plan, deployment = case.build(saturation, plan, deployment)
    max_rate_per_second = max(rate for _, rate in plan.curve)
    figures = run_load(plan, with_workers_for(deployment, max_rate_per_second))
    return CaseResult(figures, figures.counts.recovery_seconds(case.disruption_ends_seconds))
