"""The verdict of a run: its joined records, judged by the four safety rules and the plan's expectations."""

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

MAX_SHOWN_EVENTS = 14  # events of a request, per broken rule
MAX_SHOWN_VIOLATIONS = 5
MAX_SHOWN_STALE_ATTEMPTS = 5


class Verdict(enum.StrEnum):
    """The verdict on the proxies of a run."""

    KEPT = "kept"
    BROKEN = "broken"  # a rule or an expectation of the plan was violated
    VOID = "void"  # a measuring process ran late, so that the run proves nothing


@dataclass(slots=True)
class RunResult:
    """The output of a run: records, fault targets, figures and errors."""

    record_paths: Sequence[pathlib.Path | str]
    targets: list[FaultTargets] = field(default_factory=list)  # by number of the fault
    figures: dict[str, Any] = field(default_factory=dict)  # of the processes, copied into the run's record
    process_errors: list[str] = field(default_factory=list)  # of the driver and the workers, and errors that proxies logged


def judge_run(plan: Plan, seed: int, result: RunResult) -> dict[str, Any]:
    """Return the run's record, as it is written as JSON."""
    judge = RecordJudge(plan, plan_requests(plan, Random(f"{seed}/arrivals")))
    zones = plan.network.zones
    judge.proxy_zones = {f"p{number}": zones[number % len(zones)] for number in range(plan.proxies.count)}
    replay = RecordReplay(judge)
    evidence = Evidence(judge, read_events(result.record_paths))
    last_at = max((event[0] for event in evidence.events), default=0.0)
    for event in evidence.events:
        replay.replay(event)
    judge.judge_uploads()
    for planned in judge.planned_requests:
        if not planned.outcome:
            judge.rule_violated(Rule.ONE_ANSWER, last_at, f"request {planned.number} has no recorded end")
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
        "figures": {**result.figures, "uploads": len(judge.uploads)},
        "struck": {str(number): targets.proxies for number, targets in enumerate(result.targets)},
        "evidence": [evidence.for_violation(violation) for violation in judge.violation_log[:MAX_SHOWN_VIOLATIONS]],
        "verdict": _verdict(bool(void_reasons), is_broken).value,
    }


def _verdict(is_void: bool, is_broken: bool) -> Verdict:
    if is_void:
        return Verdict.VOID
    return Verdict.BROKEN if is_broken else Verdict.KEPT


def _failures(plan: Plan, replay: RecordReplay, record: dict[str, Any], result: RunResult) -> list[str]:
    """Return a text for each expectation of the plan, other than the rules, that was not met."""
    failures = []
    service = record["service"]["whole"]
    if service is not None and service < plan.expect.service:
        failures.append(f"service {service:.3f} is below the {plan.expect.service:g} that the plan expects")
    lost = record["txns"]["lost"]
    if lost > plan.expect.lost:
        failures.append(f"{lost} txns lost, {plan.expect.lost} at the most were to be")
    failures += replay.audit_failures()
    failures += replay.stale_attempts[:MAX_SHOWN_STALE_ATTEMPTS]
    if plan.rig.audit_s and replay.audit.result is None:
        failures.append("the audit did not end before the run")
    failures += [f"error in a process of the run: {error}" for error in result.process_errors]
    proxies = plan.proxies.count
    ready = result.figures.get("ready", proxies)
    if ready < proxies:
        failures.append(f"{proxies - ready} proxies did not become ready")
    return failures


class Evidence:
    """All events, and the events of each request by its id."""

    def __init__(self, judge: RecordJudge, events: list[RecordedEvent]):
        self.events = events
        self._judge = judge
        self._events_by_request_id: defaultdict[str, list[RecordedEvent]] = defaultdict(list)
        for event in events:
            for value in event[2:]:
                if type(value) is str and len(value) == ID_CHARACTERS:
                    self._events_by_request_id[value].append(event)

    def for_violation(self, violation: Violation) -> dict[str, Any]:
        """Return a broken rule together with the events of its request in all records."""
        request_ids = (value for value in violation.text.replace(",", " ").split() if value in self._events_by_request_id)
        events = self._events_by_request_id.get(next(request_ids, ""), [])
        shown = [[round(at - self._judge.began_at, 4), event, *fields] for at, event, *fields in events[:MAX_SHOWN_EVENTS]]
        return {"rule": violation.rule, "text": violation.text, "events": shown}
