"""Formats the record of a run for operators, and shows the progress of a run."""

import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

import click

from sloeferry.rehearsal.proxy_fleet import ProxyFleet
from sloeferry.rehearsal.record import WINDOW_SECONDS


def format_record(record: Mapping[str, Any]) -> str:
    """Return a record as lines of text."""
    service = record["service"]
    parts = " ".join(f"{key} {value:.3f}" for key, value in service.items() if isinstance(value, float) and key != "total")
    costs = " ".join(f"{key} {value:.3f}" for key, value in service["prices"].items())
    counts = ", ".join(f"{value} {key.replace('_', ' ')}" for key, value in record["txns"].items() if value)
    lines = [
        f"{record['scenario']}, seed {record['seed']}, {record['policy']}: service {service['total']:.3f}",
        f"  {parts}; prices: {costs}",
        f"  txns: {counts}",
        "  seconds  asked  service  declined  reversed",
        *map(_format_window, record["windows"]),
        _format_rules(record["rules"]),
    ]
    lines += [f"    {text}" for text in record["breaches"]]
    lines += [f"  error in a process: {text}" for text in record["faults"]]
    return "\n".join(lines)


def _format_window(window: Mapping[str, Any]) -> str:
    service = "      -" if window["service"] is None else f"{window['service']:7.3f}"
    span = f"{window['at']:3.0f}-{window['at'] + WINDOW_SECONDS:3.0f}"
    return f"  {span}  {window['asked']:5d}  {service}  {window['declined']:8d}  {window['reversed']:8d}"


def _format_rules(violations: Mapping[str, int]) -> str:
    broken = [f"{rule}: {count}" for rule, count in violations.items() if count]
    return "  RULES BROKEN: " + ", ".join(broken) if broken else "  rules kept"


def make_progress_reporter(label: str) -> Callable[[float, ProxyFleet], None] | None:
    """Return a function that shows progress on one line of standard error, overwriting it; None if that is not a terminal."""
    if not sys.stderr.isatty():
        return None
    began_at = time.monotonic()

    def show_progress(seconds: float, fleet: ProxyFleet) -> None:
        ended = sum(1 for request in fleet.observer.planned_requests if request.outcome)
        elapsed = time.monotonic() - began_at
        click.echo(f"\r{label}: {seconds:5.1f} s of the run in {elapsed:.0f} s, {ended} txns ended ", nl=False, err=True)

    return show_progress


def clear_progress_line() -> None:
    """Remove the progress line."""
    if sys.stderr.isatty():
        click.echo("\r\033[K", nl=False, err=True)
