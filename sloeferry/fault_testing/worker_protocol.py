"""What a driver and its worker processes write to each other: a JSON line each.

The driver writes a WorkerConfig first, then commands, `[name, arguments...]`, each a method of the worker's role; the worker
writes WorkerReports.
"""

import enum
from typing import Any

import msgspec


class WorkerRole(enum.StrEnum):
    """What a worker process stands for.  The value is the word in records."""

    BACKENDS = "nodes"
    CLIENTS = "callers"
    RELAY = "relay"


class WorkerConfig(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker process is told first."""

    role: WorkerRole
    number: int  # among the workers of its role
    plan_text: str
    proxy_count: int | None  # in place of the plan's own
    backend_count: int | None
    seed: int
    record_path: str
    client_workers: int
    places: list[tuple[str, tuple[str, int], str]]  # proxies: name, address as callers see it, zone


class ReportKind(enum.Enum):
    """What a worker reports; beside each, the report's value."""

    READY = "ready"  # none: it takes commands
    FAILED = "failed"  # text: something that must not happen in a tool
    OPEN_CALLS = "open-calls"  # how many calls have not ended
    BACKEND_STARTED = "backend-started"  # its number
    BACKEND_IDLE = "backend-idle"  # its number: it drains and has nothing left to do
    LINKS_OPEN = "links-open"  # none


class WorkerReport(msgspec.Struct, frozen=True):
    """One line of a worker."""

    kind: ReportKind
    value: Any = None
