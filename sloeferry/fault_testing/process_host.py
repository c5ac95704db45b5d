"""The host of a run's processes: their cores, environment variables and source tree."""

import asyncio
import contextlib
import os
import pathlib

from sloeferry.fault_testing.recorded_events import Event
from sloeferry.rehearsal.live import LiveEnvironment, LiveProxy, ProxyCommand
from sloeferry.stand_ins import processes

SOURCE_TREE = str(pathlib.Path(__file__).resolve().parents[2])
FLAKY_PROXY = "sloeferry.fault_testing.flaky_proxy"
# On three cores or more, processes that measure get this many of every eight cores to themselves.
MEASURING_CORES_PER_8 = 3


class ProcessHost(LiveEnvironment):
    """The environment of processes: those that measure run on cores of their own, proxies on the others."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, folder: str, proxy_tree: str | None):
        super().__init__(loop, seed, folder)
        self.operator_file = pathlib.Path(folder, "operator.toml")
        self.clock_offsets_seconds: dict[int, float] = {}  # proxy -> seconds by which its wall clock is off
        self.failing_call_proxies: set[int] = set()  # proxies with intermittently failing system calls
        self.started_at: dict[int, float] = {}  # proxy -> loop time of the start of its newest process
        self._proxy_tree = proxy_tree or SOURCE_TREE
        cores = sorted(os.sched_getaffinity(0))
        count = max(1, len(cores) * MEASURING_CORES_PER_8 // 8)
        self.measuring_cores = set(cores[:count]) if len(cores) > 2 else set(cores)
        self._proxy_cores = set(cores[count:]) if len(cores) > 2 else set(cores)
        os.sched_setaffinity(0, self.measuring_cores)

    def process_started(self, process: asyncio.subprocess.Process, cores: set[int] | None = None) -> None:
        """Pin a new process to `cores`, or to those of proxies by default."""
        with contextlib.suppress(ProcessLookupError):  # it has already ended, which its waiting task reports
            os.sched_setaffinity(process.pid, cores or self._proxy_cores)

    def command(self, proxy: LiveProxy) -> ProxyCommand:
        """Return how to start a proxy: as `sloeferry`, or as a flaky proxy if its clock, calls or buffers are special."""
        number = proxy.index
        self.started_at[number] = self.loop.time()
        proxy.fleet.observer.note(self.loop.time(), Event.PROXY_STARTED, proxy.name)
        clock_offset_seconds = self.clock_offsets_seconds.get(number)
        has_failing_calls = number in self.failing_call_proxies
        buffer_bytes = proxy.fleet.plan.proxies.buffer_bytes
        is_flaky = clock_offset_seconds is not None or has_failing_calls or buffer_bytes
        arguments, environment = processes.proxy_command(FLAKY_PROXY if is_flaky else "sloeferry")
        if clock_offset_seconds is not None:
            environment["SLOEFERRY_RIG_CLOCK"] = repr(clock_offset_seconds)
        if has_failing_calls:
            environment["SLOEFERRY_RIG_CALLS"] = "yes"
        if buffer_bytes:
            environment["SLOEFERRY_RIG_BUFFERS"] = str(buffer_bytes)
        if proxy.fleet.plan.rig.audit_s:
            environment["SLOEFERRY_OPERATOR"] = str(self.operator_file)
        return ProxyCommand(arguments, environment, self._proxy_tree)
