"""Process of stand-in backends and discovery on loopback: python -m sloeferry.load_testing.stand_in_process.

It reads its task as JSON from standard input.  A backend has cores and a queue, draws service times from a seed, and reports
its load with each response.  On SIGTERM the process writes its counts to standard output and ends.
"""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass
from random import Random
from time import monotonic
from types import SimpleNamespace
from typing import Any

import uvloop

from sloeferry.load_testing.deployment import BackendFault, BackendFaultKind
from sloeferry.load_testing.proxy_config import MACHINE_KIND, ZONE
from sloeferry.stand_ins.backends import StandInBackend
from sloeferry.stand_ins.discovery import StandInDiscovery
from sloeferry.stand_ins.run_observer import RunObserver
from sloeferry.stand_ins.wire_protocol import BackendState, RequestKind

WORK_SIGMA = 0.5  # of the logarithm of the service time
UNBOUNDED = 1e6  # limit of connections and of idle seconds that is never reached
CERTAIN_ERROR_ODDS = 2.0  # half of the error odds apply when a request arrives, so that every request fails


@dataclass(frozen=True)
class StandInTask:
    """Task of the process; fault times are in seconds of the monotonic clock."""

    backends: tuple[tuple[str, int], ...]  # addresses
    discovery: tuple[str, int]
    cores: int
    queue: int
    work_ms: float
    answer_bytes: int
    seed: int
    max_seconds: float  # then the process ends by itself
    faults: tuple[BackendFault, ...]

    @classmethod
    def from_json(cls, document: dict[str, Any]) -> "StandInTask":
        """Return the task of a JSON document made with `dataclasses.asdict`."""
        backends = tuple((host, port) for host, port in document["backends"])
        host, port = document["discovery"]
        faults = tuple(BackendFault(*fault) for fault in document["faults"])
        return cls(**document | {"backends": backends, "discovery": (host, port), "faults": faults})


class RequestCounter(RunObserver):
    """Effect log for requests of a single class; counts the attempts that executed a request again."""

    def __init__(self, task: StandInTask):
        self._mean_work_ms = task.work_ms
        self._rng = Random(f"{task.seed} work")
        self._request_class = SimpleNamespace(
            kind=RequestKind.IDEMPOTENT, work_ms=task.work_ms, response_bytes=task.answer_bytes, body_bytes=0
        )
        self._started_request_ids: set[bytes] = set()
        self.repeated_executions = 0

    def request_class(self, request_id: bytes) -> SimpleNamespace:
        """Return the class of a request."""
        return self._request_class

    def work_ms(self, request_id: bytes) -> float:
        """Return a request's service time on an idle backend of one core, in ms."""
        return self._mean_work_ms * self._rng.lognormvariate(-WORK_SIGMA * WORK_SIGMA / 2, WORK_SIGMA)

    def request_ran(self, backend: str, request_id: bytes, now: float) -> None:
        """Record that a backend has started to execute a request."""
        self.repeated_executions += request_id in self._started_request_ids
        self._started_request_ids.add(request_id)


async def serve(task: StandInTask) -> dict[str, int]:
    """Run backends and discovery until SIGTERM.

    Return the number of requests `served`, and of attempts that executed a request again (`twice`).
    """
    loop = asyncio.get_running_loop()
    is_over = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, is_over.set)
    loop.call_later(task.max_seconds, is_over.set)
    counter = RequestCounter(task)
    settings = SimpleNamespace(call_ms=0.0, notification_spread_ms=0.0)
    discovery = StandInDiscovery(loop, settings, {"any": task.discovery}, counter, Random(task.seed))
    backends = []
    for index in range(len(task.backends)):
        backend = _build_backend(loop, task, index, counter)
        await backend.start(is_warm=True)
        discovery.publish(backend, BackendState.READY, 0.0)
        backends.append(backend)
    for fault in task.faults:
        _schedule_fault(loop, fault, backends[fault.backend_index])
    await discovery.start()
    print("ready", flush=True)
    await is_over.wait()
    return {"served": sum(backend.served_count for backend in backends), "twice": counter.repeated_executions}


def _build_backend(loop: asyncio.AbstractEventLoop, task: StandInTask, index: int, counter: RequestCounter) -> StandInBackend:
    settings = SimpleNamespace(
        machine_kind=MACHINE_KIND,
        cores=task.cores,
        queue_per_core=task.queue / task.cores,
        speed=1.0,
        warm_up_seconds=0.0,
        initial_capacity_ratio=1.0,
        max_connections=UNBOUNDED,
        idle_timeout_seconds=UNBOUNDED,
        report_interval_ms=0.0,
        drops_expired=False,
        congestion=None,
        buffer_bytes=0,
    )
    rng = Random(f"{task.seed} {index}")
    return StandInBackend(loop, settings, f"b{index}", task.backends[index], ZONE, counter, {}, None, rng)


def _schedule_fault(loop: asyncio.AbstractEventLoop, fault: BackendFault, backend: StandInBackend) -> None:
    change = {"is_cut_off": True} if fault.kind == BackendFaultKind.SILENT else {"error_odds": CERTAIN_ERROR_ODDS}
    loop.call_later(fault.since_seconds - monotonic(), lambda: backend.change(**change))
    loop.call_later(fault.until_seconds - monotonic(), lambda: backend.change(is_cut_off=False, error_odds=0.0))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(serve(StandInTask.from_json(json.load(sys.stdin))))))
