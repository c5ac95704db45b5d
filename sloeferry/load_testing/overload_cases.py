"""Overload cases: what befalls a proxy at or past its saturation, and how long until it serves as before."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from sloeferry.load_testing.deployment import BackendFault, BackendFaultKind, CpuShareChange, Deployment, Stall
from sloeferry.load_testing.figures import LoadFigures
from sloeferry.load_testing.load_run import run_load
from sloeferry.load_testing.plan import CurvePiece, LoadPlan
from sloeferry.load_testing.saturation import with_workers_for

CALM = 0.6  # of saturation: the load before and after
LARGE_BODY_BYTES = 65536

CaseBuilder = Callable[[float, LoadPlan, Deployment], tuple[LoadPlan, Deployment]]
# Pieces of a curve, each (seconds, multiple of saturation).
Pieces = tuple[tuple[float, float], ...]
TWICE_SATURATION: Pieces = ((3, CALM), (3, 2.0), (4, CALM))


@dataclass(frozen=True)
class OverloadCase:
    """A case: how it is built from saturation, and when what befalls the proxy has ended."""

    description: str
    build: CaseBuilder
    disruption_ends_seconds: float
    duration_seconds: float = 10.0


class CaseResult(NamedTuple):
    """The figures of a case; `recovery_seconds` is None where the proxy never served as before."""

    figures: LoadFigures
    recovery_seconds: float | None


def _with_curve(plan: LoadPlan, saturation: float, pieces: Pieces) -> LoadPlan:
    return replace(plan, curve=tuple(CurvePiece(seconds, multiple * saturation) for seconds, multiple in pieces))


def _load(*pieces: tuple[float, float], **deployment_changes: Any) -> CaseBuilder:
    def build(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
        return _with_curve(plan, saturation, pieces), replace(deployment, **deployment_changes)

    return build


def _clients(pieces: Pieces, **client_changes: Any) -> CaseBuilder:
    def build(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
        clients = replace(plan.clients, **client_changes)
        return replace(_with_curve(plan, saturation, pieces), clients=clients), deployment

    return build


def _large_bodies(saturation: float, plan: LoadPlan, deployment: Deployment) -> tuple[LoadPlan, Deployment]:
    request_classes = tuple(
        replace(each, body_bytes=LARGE_BODY_BYTES if each.has_idempotency_key else 0) for each in plan.request_classes
    )
    plan = replace(_with_curve(plan, saturation, TWICE_SATURATION), request_classes=request_classes)
    return plan, replace(deployment, answer_bytes=LARGE_BODY_BYTES)


FAULTY_BACKENDS = (BackendFault(0, BackendFaultKind.SILENT, 3.0, 6.0), BackendFault(1, BackendFaultKind.ERRORS, 3.0, 6.0))

OVERLOAD_CASES = {
    "triples": OverloadCase("load that triples at once and stays", _load((4, CALM), (6, 3 * CALM)), 4.0),
    "burst": OverloadCase("a burst of 200 ms at eight times saturation", _load((4, CALM), (0.2, 8.0), (5.8, CALM)), 4.2),
    "reconnect": OverloadCase("restarted under load: all callers connect anew", _load((10, CALM), restart_at_seconds=4.0), 4.0),
    "retry-at-once": OverloadCase(
        "twice saturation; all retry at once on a decline, three times",
        _clients(TWICE_SATURATION, max_retries=3, backoff_ms=0.0, retry_after_ratio=0.0),
        6.0,
    ),
    "bodies": OverloadCase("64 KiB bodies, there and back, at twice saturation", _large_bodies, 6.0),
    "less-cpu": OverloadCase(
        "half the load; the CPU share falls from 0.7 to 0.3 for three seconds",
        _load((10, 0.6), cpu_share_changes=(CpuShareChange(3.0, 0.3), CpuShareChange(6.0, 0.7))),
        6.0,
    ),
    "stall": OverloadCase("a stall of 500 ms under load", _load((10, CALM), stalls=(Stall(4.0, 0.5),)), 4.5),
    "bad-backends": OverloadCase(
        "twice saturation while one backend is silent and one errs",
        _load(*TWICE_SATURATION, backend_faults=FAULTY_BACKENDS),
        6.0,
    ),
    "bad-heads": OverloadCase(
        "twice saturation, half of it heads that are refused anyway", _clients(TWICE_SATURATION, invalid_ratio=0.5), 6.0
    ),
    "flood": OverloadCase("four times saturation for three seconds", _load((3, CALM), (3, 4.0), (4, CALM)), 6.0),
}


def run_case(name: str, plan: LoadPlan, deployment: Deployment, saturation: float) -> CaseResult:
    """Runs a case; `saturation` in requests a second."""
    case = OVERLOAD_CASES[name]
    plan, deployment = case.build(saturation, plan, deployment)
    highest_rate = max(rate for _, rate in plan.curve)
    figures = run_load(plan, with_workers_for(deployment, highest_rate))
    return CaseResult(figures, figures.counts.recovery_seconds(case.disruption_ends_seconds))
