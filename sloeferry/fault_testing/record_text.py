"""The text form of the record of a run."""

from typing import Any

Record = dict[str, Any]


def record_text(record: Record) -> str:
    """Return the verdict, the figures, and the broken rules with their evidence, as lines of text."""
    return "\n".join([*_summary(record), *_figures(record["figures"]), *_audit(record), *_violations(record)])


def _summary(record: Record) -> list[str]:
    counts = (f"{value} {key.replace('_', ' ')}" for key, value in record["txns"].items() if value)
    service = record["service"]["whole"]
    lags = ", ".join(f"{role} {ms:g}" for role, ms in record["late_ms"].items())
    return [
        f"{record['plan']}, seed {record['seed']}: {record['verdict']}",
        "  txns: " + ", ".join(counts),
        "  no requests" if service is None else f"  service {service:.3f}",
        "  late by, ms: " + (lags or "nobody"),
    ]


def _figures(figures: Record) -> list[str]:
    lines = []
    for name, values in figures.items():
        if isinstance(values, list):
            minimum, mean, maximum = values
            lines.append(f"  {name}: min {minimum:g}, mean {mean:g}, max {maximum:g}")
    if "ready_s" in figures:
        lines.append(f"  {figures['ready']} ready after {figures['ready_s']:g} s")
    return lines


def _audit(record: Record) -> list[str]:
    if "audit" not in record:
        return []
    audit = record["audit"]
    counts = f"{audit['current']} current, {audit['straggler']} behind, {audit['unknown']} unknown"
    return [f"  audit: {counts}; " + ", ".join(audit["causes"])]


def _violations(record: Record) -> list[str]:
    lines = [f"  VOID: {text}" for text in record["void"]]
    lines += [f"  FAILED: {text}" for text in record["failed"]]
    broken = ", ".join(f"{rule}: {count}" for rule, count in record["rules"].items() if count)
    lines.append(f"  RULES BROKEN: {broken}" if broken else "  rules kept")
    for violation in record["evidence"]:
        lines.append(f"    {violation['rule']}: {violation['text']}")
        lines += [f"      {' '.join(map(str, event))}" for event in violation["events"]]
    return lines
