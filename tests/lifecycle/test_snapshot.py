"""Transfer of a policy's learned state from one process to the next."""

import dataclasses
import json
import shutil
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from sloeferry.config.settings_reader import build_settings
from sloeferry.lifecycle.snapshot import restore_snapshot, take_snapshot
from sloeferry.lifecycle.snapshot_store import SnapshotStore
from sloeferry.lifecycle.takeover import indexed_names_digest
from sloeferry.policy.interface import AttemptOutcome, EndpointState
from sloeferry.policy.policy import Policy
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

STORED = Path(__file__).resolve().parent / "stored"  # a snapshot of an earlier release, and that release's values
# Learned values that differ from those of a process without a snapshot.
LEARNED_NAMES = (
    "typical_ms",
    "lost",
    "slowdown",
    "failures",
    "ejected_until",
    "in_flight",
    "sends",
    "spread_quantiles",
    "level_medians",
    "mean_gap_ms",
    "mean_weight",
    "error_rate",
)


def recorder_with_endpoints() -> PolicyRecorder:
    """Return the recorder of a policy with three endpoints."""
    recorder = PolicyRecorder()
    recorder.publish_endpoints("a", "b", "c")
    return recorder


def name_classes(policy: Policy) -> None:
    """Give each request class a name, since learned state is keyed by name."""
    named = [dataclasses.replace(each, name=f"s{index}") for index, each in enumerate(policy.settings.request_classes)]
    policy.settings = dataclasses.replace(policy.settings, request_classes=tuple(named))


def summary(policy: Policy) -> list[float]:
    """Return the typical latency (ms) of each class and the slowdown of each endpoint."""
    latencies = [round(each.typical_latency_ms(), 3) for each in policy.classes.all]
    return latencies + [round(each.slowdown, 3) for each in policy.table.ready]


def test_snapshot_restores_learned_state(golden: GoldenFiles):
    """The learned state is restored from a snapshot; a malformed snapshot changes nothing."""
    previous, fresh = recorder_with_endpoints(), recorder_with_endpoints()
    for request_id in range(60):
        previous.request(request_id)
        endpoint_id = next(line for line in previous.lines if f"post {request_id}/0" in line).split()[-1]
        previous.advance_by(20.0)
        previous.end_attempt(request_id, 0, AttemptOutcome.SERVED, 0, took_ms=200.0 if endpoint_id == "a" else 40.0)
    name_classes(previous.policy)
    name_classes(fresh.policy)
    snapshot = json.loads(json.dumps(take_snapshot(previous.policy), allow_nan=False))
    before = summary(fresh.policy)
    for damaged in (
        dict(snapshot, curve=[]),
        dict(snapshot, gap="x"),
        {key: value for key, value in snapshot.items() if key != "spread"},
        dict(snapshot, backends={"a": dict(snapshot["backends"]["a"], sent=[["x", 1]])}),
        dict(snapshot, spread=[-1.0] * 22),
    ):
        with pytest.raises((ValueError, KeyError, TypeError)):
            restore_snapshot(fresh.policy, damaged)
        assert summary(fresh.policy) == before
    restore_snapshot(fresh.policy, snapshot)
    is_same = summary(previous.policy) == summary(fresh.policy)
    lines = [f"before {before}", f"learned {summary(previous.policy)}, taken over the same: {is_same}"]
    golden.check(lines, "snapshot_restored")


def learned_state(policy: Policy) -> Mapping[str, Any]:
    """Return this policy's values of everything that the earlier release stored beside its snapshot."""
    classes = {
        class_settings.name: each
        for class_settings, each in zip(policy.settings.request_classes, policy.classes.all, strict=True)
    }
    endpoints = policy.table.by_id
    outliers, latency = policy.outliers, policy.latency
    return {
        "typical_ms": {name: each.typical_latency_ms() for name, each in classes.items()},
        "lost": {name: each.loss_rate for name, each in classes.items()},
        "slowdown": {name: each.slowdown for name, each in endpoints.items()},
        "failures": {name: each.consecutive_failures for name, each in endpoints.items()},
        "ejected_until": {name: each.ejected_until for name, each in endpoints.items()},
        "in_flight": {name: each.others_in_flight + each.own_in_flight for name, each in endpoints.items()},
        "sends": {name: [list(send) for send in each.recent_sends] for name, each in endpoints.items()},
        "spread_quantiles": [latency.spread.quantile(fraction) for fraction in (0.1, 0.5, 0.9)],
        "level_medians": [ratios.quantile(0.5) for ratios in latency.level_ratios],
        "mean_gap_ms": policy.arrivals.mean_gap_ms,
        "mean_weight": policy.classes.mean_weight,
        "cured": outliers.retry_recovery_ratio,
        "error_rate": outliers.error_rate,
        "unreachable_rate": outliers.unreachable_rate,
    }


def test_snapshot_of_an_earlier_release(tmp_path: Path):
    """An upgraded proxy finds and reads the snapshot of commit 87206be, and restores every learned value: the latency of classes,
    the slowdown of endpoints, and all others."""
    expected = json.loads((STORED / "figures-87206be.json").read_text())
    settings = build_settings(expected["settings"])
    with mock.patch("sloeferry.lifecycle.snapshot_store.boot_id", lambda: expected["boot"]):
        store = SnapshotStore(str(tmp_path), expected["name"], indexed_names_digest(settings))
    assert Path(store.path).name == expected["folder"]
    shutil.copy(STORED / "snapshot-87206be", Path(store.path) / "snapshot")
    snapshot = store.read(expected["now_ms"] + 100.0)
    store.close()
    assert snapshot.endpoints == expected["known"]

    recorder = PolicyRecorder(**{key.replace(".", "__"): value for key, value in expected["settings"].items()})
    recorder.now = expected["now_ms"]
    endpoints = expected["endpoints"].items()
    recorder.publish_endpoints(*((name, each["zone"], EndpointState.READY, each["started_at"]) for name, each in endpoints))
    fresh = learned_state(recorder.policy)
    assert all(fresh[name] != expected[name] for name in LEARNED_NAMES)
    restore_snapshot(recorder.policy, snapshot.learned)
    restored = learned_state(recorder.policy)
    assert restored == {name: expected[name] for name in restored}
    assert json.loads(json.dumps(take_snapshot(recorder.policy))) == snapshot.learned
