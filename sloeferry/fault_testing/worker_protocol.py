"""The protocol between a driver and its worker processes: one JSON document per line.

The driver writes a WorkerConfig first, then commands `[name, arguments...]`, each of which names a method of the worker's
class; the worker writes WorkerReports.
"""

import enum
from typing import Any

import msgspec


class WorkerRole(enum.StrEnum):
    """The role of a worker process; the value is its name in records."""

    BACKENDS = "nodes"
    CLIENTS = "callers"
    RELAY = "relay"


class WorkerConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of a worker process, the first line that it reads."""

    role: WorkerRole
    number: int  # among the workers of its role
    plan_text: str
    proxy_count: int | None  # None: the plan's own
    backend_count: int | None
    seed: int
    record_path: str
    client_workers: int
    places: list[tuple[str, tuple[str, int], str]]  # proxies: name, address for clients, zone


class ReportKind(enum.Enum):
    """The kind of a report; the comments give the report's value."""

    READY = "ready"  # none: the worker accepts commands
    FAILED = "failed"  # text: an internal error of the worker
    OPEN_REQUESTS = "open-calls"  # number of requests that have not ended
    BACKEND_STARTED = "backend-started"  # number of the backend
    BACKEND_IDLE = "backend-idle"  # number of the backend, which drains and has no requests left
    LINKS_OPEN = "links-open"  # none


class WorkerReport(msgspec.Struct, frozen=True):
    """One line that a worker writes."""

    kind: ReportKind
    value: Any = None
