"""What a load plan is run on: proxies, stand-in backends, client processes, and what goes wrong with them."""

import os
import pathlib
import sys
import tempfile
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
MIN_SPARE_CORES = 2  # beside the proxies' own


class BackendFaultKind(StrEnum):
    """What a faulty backend does."""

    SILENT = "silent"  # takes everything, answers nothing
    ERRORS = "errs"  # every request fails at once


class BackendFault(NamedTuple):
    """A backend, by its index, that is faulty for a span of the run."""

    backend: int
    kind: BackendFaultKind
    since_seconds: float
    until_seconds: float


class CpuShareChange(NamedTuple):
    """From this second on the proxies get that share of a core."""

    at_seconds: float
    cpu_share: float


class Stall(NamedTuple):
    """At this second the proxies stand still for so long."""

    at_seconds: float
    stall_seconds: float


@dataclass(frozen=True)
class Deployment:
    """What a plan is run on.  `cpu_share` None: unthrottled; `target`: host:port of a proxy that runs already."""

    cpu_share: float | None = 0.7  # of a core, for each proxy
    proxies: int = 1
    workers: int = 2  # client processes
    backends: int = 12
    backend_cores: int = 4
    backend_queue: int = 40
    work_ms: float = 4.0
    answer_bytes: int = 512
    sockets: int = 1024  # that a proxy may open
    memory_mb: int = 128
    tree: str | None = None  # whose code the proxies run; None: this one
    target: str | None = None
    backend_faults: tuple[BackendFault, ...] = ()
    cpu_share_changes: tuple[CpuShareChange, ...] = ()
    stalls: tuple[Stall, ...] = ()
    restart_at_seconds: float | None = None  # the proxies are killed and started anew
    log_folder: str | None = None  # where the proxies' logs are kept


class CoreAssignment(NamedTuple):
    """Which core each process gets; None: any."""

    proxies: list[int] | list[None]
    others: set[int] | None


def assign_cores(proxies: int) -> CoreAssignment:
    """Proxies get one core each, the rest share what is left; nobody is bound where there are too few."""
    available = sorted(os.sched_getaffinity(0))
    if len(available) < proxies + MIN_SPARE_CORES:
        return CoreAssignment([None] * proxies, None)
    return CoreAssignment(available[-proxies:], set(available[:-proxies]))


def python_module(name: str) -> list[str]:
    """The command that runs a module of this tree."""
    return [sys.executable, "-m", name]


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A folder for configurations and logs, gone with the `with` block."""
    return tempfile.TemporaryDirectory(prefix="sloeferry-load-")
