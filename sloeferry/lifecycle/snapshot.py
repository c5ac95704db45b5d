"""Converts the learned state of a policy to plain data for the next process, and restores it, without I/O.

Entries are keyed by request class name and endpoint id, never by index, since the next process may have other settings.  Times
are float milliseconds of the machine's monotonic clock, which all its processes share.  The keys are those of snapshots written
by earlier releases; no other module spells them.
"""

from collections.abc import Mapping
from math import inf, isfinite
from typing import Any

from sloeferry.policy.endpoints import ENDPOINT_SAMPLES, Endpoint
from sloeferry.policy.histogram import MANY_BINS_BELOW_UNIT, Histogram
from sloeferry.policy.latency_model import LEVEL_SAMPLES, SPREAD_SAMPLES
from sloeferry.policy.policy import Policy
from sloeferry.policy.request_classes import LATENCY_SAMPLES, RequestClass

START_TOLERANCE_MS = 500.0  # two processes may date the same start this far apart
NEVER = -inf

# The key of each value in a snapshot, and the attribute that holds it.
REQUEST_CLASS_ATTRIBUTES = {
    "lost": "loss_rate",
    "hint": "mean_cost_hint",
    "hints": "cost_hint_count",
    "most_left": "longest_time_left_ms",
}
ENDPOINT_ATTRIBUTES = {
    "others": "others_in_flight",
    "heard": "reported_at",
    "fails": "consecutive_failures",
    "rest_until": "ejected_until",
    "pace": "slowdown",
    "learned": "learned_at",
}
OUTLIER_ATTRIBUTES = {"cured": "retry_recovery_ratio", "errs": "error_rate", "refused": "unreachable_rate"}


def take_snapshot(policy: Policy) -> dict[str, Any]:
    """Return the learned latency, slowdowns, last reported load, and rates of errors and arrivals.

    Success rates of kinds and paths, ejections for one class, machine kinds and affinity keys are not included; the next process
    learns them again.
    """
    names = [each.name for each in policy.settings.request_classes]
    return {
        "schemes": {
            name: _request_class(each) for name, each in zip(names, policy.classes.all, strict=True) if not each.is_removed
        },
        "curve": [ratios.to_list() for ratios in policy.latency.level_ratios],
        "spread": policy.latency.spread.to_list(),
        "gap": policy.arrivals.mean_gap_ms,
        "mean_gain": policy.classes.mean_weight,
        **{key: getattr(policy.outliers, name) for key, name in OUTLIER_ATTRIBUTES.items()},
        "backends": {each.endpoint_id: _endpoint(each) for each in policy.table.active.values()},
    }


def _request_class(request_class: RequestClass) -> dict[str, Any]:
    latency = request_class.idle_latency
    attributes = {key: getattr(request_class, name) for key, name in REQUEST_CLASS_ATTRIBUTES.items()}
    return {"unit": latency.unit, "took": latency.to_list(), **attributes}


def _endpoint(endpoint: Endpoint) -> dict[str, Any]:
    return {
        **{key: _finite_or_none(getattr(endpoint, name)) for key, name in ENDPOINT_ATTRIBUTES.items()},
        "launched": endpoint.started_at,
        "others": endpoint.others_in_flight + endpoint.own_in_flight,  # the next process sees this one's attempts as others'
        "slow": endpoint.latency_ratios.to_list(),
        "sent": list(endpoint.recent_sends),
    }


def restore_snapshot(policy: Policy, snapshot: Mapping[str, Any]) -> None:
    """Apply the learned state of an earlier process, after its endpoint list has been applied.

    The whole snapshot is read before any of it is applied: a malformed one raises ValueError, KeyError or TypeError and changes
    nothing.
    """
    assignments: list[tuple[Any, dict[str, Any]]] = []
    for class_settings, request_class in zip(policy.settings.request_classes, policy.classes.all, strict=True):
        if recorded := snapshot["schemes"].get(class_settings.name):
            assignments.append((request_class, _read_request_class(recorded)))
    assignments.append((policy.latency, _read_latency(policy, snapshot)))
    assignments.append((policy.outliers, _read_attributes(snapshot, OUTLIER_ATTRIBUTES)))
    assignments.append((policy.arrivals, {"mean_gap_ms": _number(snapshot["gap"])}))
    assignments.append((policy.classes, {"mean_weight": _number(snapshot["mean_gain"])}))
    sends: list[tuple[Endpoint, list[tuple[float, float]]]] = []
    for endpoint_id, recorded in snapshot["backends"].items():
        endpoint = policy.table.by_id.get(endpoint_id)
        if endpoint is None or abs(endpoint.started_at - _number(recorded["launched"])) > START_TOLERANCE_MS:
            continue  # gone or restarted, so its entry is obsolete
        ratios = Histogram(1.0, ENDPOINT_SAMPLES).restore(recorded["slow"])
        sends.append((endpoint, [(_number(at), _number(work)) for at, work in recorded["sent"]]))
        assignments.append((endpoint, {"latency_ratios": ratios, **_read_attributes(recorded, ENDPOINT_ATTRIBUTES)}))
    for target, values in assignments:
        for name, value in values.items():
            setattr(target, name, value)
    for endpoint, recent_sends in sends:
        endpoint.recent_sends.extend(recent_sends)
        policy.table.activate(endpoint)
    policy.table.invalidate_candidates()
    policy.latency.refresh()


def _read_request_class(recorded: Mapping[str, Any]) -> dict[str, Any]:
    latency = Histogram(_number(recorded["unit"]), LATENCY_SAMPLES, (), MANY_BINS_BELOW_UNIT).restore(recorded["took"])
    return {"idle_latency": latency, **_read_attributes(recorded, REQUEST_CLASS_ATTRIBUTES)}


def _read_latency(policy: Policy, snapshot: Mapping[str, Any]) -> dict[str, Any]:
    if len(snapshot["curve"]) != len(policy.latency.level_ratios):
        raise ValueError("curve: different number of levels than in this policy")
    return {
        "level_ratios": [Histogram(1.0, LEVEL_SAMPLES).restore(bins) for bins in snapshot["curve"]],
        "spread": Histogram(1.0, SPREAD_SAMPLES).restore(snapshot["spread"]),
    }


def _read_attributes(recorded: Mapping[str, Any], attributes: Mapping[str, str]) -> dict[str, float]:
    return {name: _number(recorded[key]) for key, name in attributes.items()}


def _finite_or_none(value: float) -> float | None:
    """Return None for the time that stands for "never", since JSON has no infinity."""
    return None if value == NEVER else value


def _number(recorded: Any) -> float:
    """Return a finite number, or the time for "never" for None; raise ValueError for anything else."""
    if recorded is None:
        return NEVER
    if isinstance(recorded, bool) or not isinstance(recorded, (int, float)) or not isfinite(recorded):
        raise ValueError(f"{recorded!r} is neither a finite number nor null")
    return recorded
