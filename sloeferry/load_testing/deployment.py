"""The deployment that a load plan runs on: proxies, stand-in backends, client processes and injected faults."""

import os
import pathlib
import sys
import tempfile
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

LOOPBACK = "127.0.0.1"
REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parents[2]
MIN_SPARE_CORES = 2  # for backends and clients, besides one core per proxy


class BackendFaultKind(StrEnum):
    """The behaviour of a faulty backend."""

    SILENT = "silent"  # accepts requests but never responds
    ERRORS = "errs"  # fails every request immediately


class BackendFault(NamedTuple):
    """A fault of one backend during an interval of the run."""

    backend_index: int
    kind: BackendFaultKind
    since_seconds: float
    until_seconds: float


class CpuShareChange(NamedTuple):
    """A change of the proxies' share of a CPU core at a time of the run."""

    at_seconds: float
    cpu_share: float


class Stall(NamedTuple):
    """A pause of all proxies at a time of the run."""

    at_seconds: float
    duration_seconds: float


@dataclass(frozen=True)
class Deployment:
    """The processes and resources of a run.

    `cpu_share` None: not throttled; `target`: host:port of a running proxy to use instead of starting one.
    """

    cpu_share: float | None = 0.7  # of a core, for each proxy
    proxy_count: int = 1
    worker_count: int = 2  # client processes
    backend_count: int = 12
    backend_cores: int = 4
    backend_queue: int = 40
    work_ms: float = 4.0
    answer_bytes: int = 512
    max_sockets: int = 1024  # per proxy
    memory_mb: int = 128
    source_tree: str | None = None  # code that the proxies run; None: this source tree
    target: str | None = None
    backend_faults: tuple[BackendFault, ...] = ()
    cpu_share_changes: tuple[CpuShareChange, ...] = ()
    stalls: tuple[Stall, ...] = ()
    restart_at_seconds: float | None = None  # kill and restart the proxies
    log_folder: str | None = None  # to which the proxies' logs are copied


class CoreAssignment(NamedTuple):
    """The CPU cores of the processes; None: any core."""

    proxies: list[int] | list[None]
    others: set[int] | None


def assign_cores(proxy_count: int) -> CoreAssignment:
    """Assign one core to each proxy and the remaining cores to all other processes.

    No process is pinned when fewer than MIN_SPARE_CORES cores would remain.
    """
    available = sorted(os.sched_getaffinity(0))
    if len(available) < proxy_count + MIN_SPARE_CORES:
        return CoreAssignment([None] * proxy_count, None)
    return CoreAssignment(available[-proxy_count:], set(available[:-proxy_count]))


def python_module(name: str) -> list[str]:
    """Return the command that runs a module of this source tree."""
    return [sys.executable, "-m", name]


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a context manager for a folder of configurations and logs that is deleted on exit."""
    return tempfile.TemporaryDirectory(prefix="sloeferry-load-")
