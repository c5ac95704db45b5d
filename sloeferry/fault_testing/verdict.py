"""The verdict of a run: all its records joined, and held against the four rules and the plan's own expectations."""

import enum
import pathlib
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from sloeferry.fault_testing.event_recorder import ID_CHARACTERS, RecordedEvent, read_events
from sloeferry.fault_testing.placement import FaultTargets
from sloeferry.fault_testing.plan import Plan
from sloeferry.fault_testing.record_judge import RecordJudge, Violation
from sloeferry.fault_testing.record_replay import RecordReplay
from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.record import make_record
from sloeferry.stand_ins.rules import Rule

MAX_SHOWN_EVENTS = 14  # of a request that are shown beside a broken rule
MAX_SHOWN_VIOLATIONS = 5
MAX_SHOWN_STALE_ATTEMPTS = 5


class Verdict(enum.StrEnum):
    """What a run says of the proxies."""

    KEPT = "kept"
    BROKEN = "broken"  # a rule, or what the plan expects
    VOID = "void"  # who measures ran late: it says nothing


@dataclass(slots=True)
class RunResult:
    """What a run left behind."""

    record_paths: Sequence[pathlib.Path | str]
    targets: list[FaultTargets] = field(default_factory=list)  # of each fault of the plan
    figures: dict[str, Any] = field(default_factory=dict)  # of the processes, as they go into the run's record
    tool_errors: list[str] = field(default_factory=list)  # of the tool's own processes, and errors that proxies logged


def judge_run(plan: Plan, seed: int, result: RunResult) -> dict[str, Any]:
    """The run's record, as it is written as JSON."""
    judge = RecordJudge(plan, plan_requests(plan, Random(f"{seed}/arrivals")))
    zones = plan.network.zones
    judge.proxy_zones = {f"p{number}": zones[number % len(zones)] for number in range(plan.proxies.count)}
    replay = RecordReplay(judge)
    evidence = Evidence(judge, read_events(result.record_paths))
    last_at = max((event[0] for event in evidence.events), default=0.0)
    for event in evidence.events:
        replay.replay(event)
    for planned in judge.planned_requests:
        if not planned.outcome:
            judge.violation(Rule.ONE_ANSWER, last_at, f"txn {planned.number} had no end")
    record = make_record(judge)
    failures = _failures(plan, replay, record, result)
    max_lag_ms = {role: round(ms, 1) for role, ms in sorted(replay.max_lag_ms.items())}
    void_reasons = [
        f"{role} ran {ms:g} ms late, {plan.rig.late_ms:g} at the most" for role, ms in max_lag_ms.items() if ms > plan.rig.late_ms
    ]
    is_broken = bool(failures) or any(record["rules"].values())
    if replay.audit.result:
        record["audit"] = replay.audit.summary()
    return record | {
        "plan": plan.name,
        "seed": seed,
        "late_ms": max_lag_ms,
        "failed": failures,
        "void": void_reasons,
        "figures": result.figures,
        "struck": {str(number): targets.proxies for number, targets in enumerate(result.targets)},
        "evidence": [evidence.for_violation(violation) for violation in judge.violation_log[:MAX_SHOWN_VIOLATIONS]],
        "verdict": _verdict(bool(void_reasons), is_broken).value,
    }


def _verdict(is_void: bool, is_broken: bool) -> Verdict:
    if is_void:
        return Verdict.VOID
    return Verdict.BROKEN if is_broken else Verdict.KEPT


def _failures(plan: Plan, replay: RecordReplay, record: dict[str, Any], result: RunResult) -> list[str]:
    """What the plan expects beside the rules, and was not so."""
    failures = []
    service = record["service"]["whole"]
    if service is not None and service < plan.expect.service:
        failures.append(f"service {service:.3f}, at least {plan.expect.service:g} was to be")
    lost = record["txns"]["lost"]
    if lost > plan.expect.lost:
        failures.append(f"{lost} txns lost, {plan.expect.lost} at the most were to be")
    failures += replay.audit_failures()
    failures += replay.stale_attempts[:MAX_SHOWN_STALE_ATTEMPTS]
    if plan.rig.audit_s and replay.audit.result is None:
        failures.append("the audit never ended")
    failures += [f"the rig itself: {fault}" for fault in result.tool_errors]
    proxies = plan.proxies.count
    ready = result.figures.get("ready", proxies)
    if ready < proxies:
        failures.append(f"{proxies - ready} proxies were never ready")
    return failures


class Evidence:
    """All events, and those of each request by its id."""

    def __init__(self, judge: RecordJudge, events: list[RecordedEvent]):
        self.events = events
        self._judge = judge
        self._by_request_id: defaultdict[str, list[RecordedEvent]] = defaultdict(list)
        for event in events:
            for word in event[2:]:
                if type(word) is str and len(word) == ID_CHARACTERS:
                    self._by_request_id[word].append(event)

    def for_violation(self, violation: Violation) -> dict[str, Any]:
        """A broken rule, and what all processes recorded of its request."""
        request_ids = (word for word in violation.text.replace(",", " ").split() if word in self._by_request_id)
        events = self._by_request_id.get(next(request_ids, ""), [])
        shown = [[round(at - self._judge.began_at, 4), event, *fields] for at, event, *fields in events[:MAX_SHOWN_EVENTS]]
        return {"rule": violation.rule, "text": violation.text, "events": shown}
