"""Runs a load plan: starts stand-ins, proxies and clients, and collects the figures."""

import json
import os
import pathlib
import signal
import subprocess
from dataclasses import asdict
from enum import StrEnum
from time import monotonic, sleep
from typing import Any, NamedTuple

from sloeferry.load_testing.deployment import (
    LOOPBACK,
    REPOSITORY_ROOT,
    BackendFault,
    Deployment,
    assign_cores,
    python_module,
    temporary_folder,
)
from sloeferry.load_testing.figures import LoadFigures, ProxyFigures, figures_between
from sloeferry.load_testing.outcomes import Outcome, OutcomeCounts
from sloeferry.load_testing.plan import LoadPlan, LoadPlanError
from sloeferry.load_testing.proxy_process import ProxyUnderLoad
from sloeferry.load_testing.stand_in_process import StandInTask
from sloeferry.stand_ins.processes import free_ports

CLIENTS_MODULE = "sloeferry.load_testing.open_loop_clients"
STAND_INS_MODULE = "sloeferry.load_testing.stand_in_process"
WORKER_START_SECONDS = 1.0  # for client processes to start before the first arrival
PROXY_START_SECONDS = 1.5  # estimate for stand-ins and proxies, in addition to WORKER_START_SECONDS
# Excluded from the rates of runs longer than MIN_WARMED_RUN_SECONDS: connections are being opened, and the policy has no
# samples yet.
WARM_UP_SECONDS = 1.0
MIN_WARMED_RUN_SECONDS = 2
PROCESS_GRACE_SECONDS = 60  # after the end of the curve
STAND_INS_STOP_TIMEOUT_SECONDS = 10


class DisruptionKind(StrEnum):
    """The kind of a disruption.  Disruptions at the same time are applied in alphabetical order of their values."""

    RESTART = "restart"
    CPU_SHARE = "share"
    STALL = "stall"


class Disruption(NamedTuple):
    """A disruption of all proxies; `value` is the share of a CPU core, or the stall's duration in seconds."""

    at_seconds: float
    kind: DisruptionKind
    value: float = 0.0


def run_load(plan: LoadPlan, deployment: Deployment) -> LoadFigures:
    """Run a plan once.

    Raises LoadPlanError if a proxy does not start or a client process fails.
    """
    with temporary_folder() as folder:
        run = LoadRun(plan, deployment, folder)
        try:
            return run.execute()
        finally:
            run.stop()


class LoadRun:
    """The processes of one run."""

    def __init__(self, plan: LoadPlan, deployment: Deployment, folder: str):
        self._plan = plan
        self._deployment = deployment
        self._folder = folder
        self._cores = assign_cores(deployment.proxy_count)
        ports = free_ports(LOOPBACK, deployment.backend_count + 1 + deployment.proxy_count)
        addresses = [(LOOPBACK, port) for port in ports]
        self._backend_addresses = tuple(addresses[: deployment.backend_count])
        self._discovery_address = addresses[deployment.backend_count]
        self._proxy_addresses = addresses[deployment.backend_count + 1 :]
        self._curve_starts_at = monotonic() + PROXY_START_SECONDS + WORKER_START_SECONDS
        self._stand_ins: subprocess.Popen[str] | None = None
        self._proxies: list[ProxyUnderLoad] = []
        self._workers: list[subprocess.Popen[str]] = []
        self._cpu_seconds = 0.0  # of all proxies during the curve

    def execute(self) -> LoadFigures:
        """Start all processes, run the curve and return the figures."""
        if self._deployment.target:
            host, _, port = self._deployment.target.rpartition(":")
            self._proxy_addresses = [(host, int(port))]
        else:
            self._start_stand_ins()
            self._start_proxies()
        self._curve_starts_at = max(self._curve_starts_at, monotonic() + WORKER_START_SECONDS)
        self._start_clients()
        self._run_curve()
        return self._collect()

    # Start and end

    def _start_module(self, module: str, task: dict[str, Any]) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            python_module(module), cwd=REPOSITORY_ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        if self._cores.others:
            os.sched_setaffinity(process.pid, self._cores.others)
        process.stdin.write(json.dumps(task))
        process.stdin.close()
        process.stdin = None  # communicate() would flush the closed pipe
        return process

    def _start_stand_ins(self) -> None:
        deployment = self._deployment
        faults = [
            BackendFault(backend_index, kind, self._curve_starts_at + since, self._curve_starts_at + until)
            for backend_index, kind, since, until in deployment.backend_faults
        ]
        task = StandInTask(
            self._backend_addresses,
            self._discovery_address,
            cores=deployment.backend_cores,
            queue=deployment.backend_queue,
            work_ms=deployment.work_ms,
            answer_bytes=deployment.answer_bytes,
            seed=self._plan.seed,
            max_seconds=self._plan.duration_seconds() + PROCESS_GRACE_SECONDS,
            faults=tuple(faults),
        )
        self._stand_ins = self._start_module(STAND_INS_MODULE, asdict(task))
        if self._stand_ins.stdout.readline().strip() != "ready":
            raise LoadPlanError("stand-ins: the process ended or wrote something other than 'ready'")

    def _start_proxies(self) -> None:
        for ordinal in range(self._deployment.proxy_count):
            self._proxies.append(self._start_proxy(ordinal))
        for proxy in self._proxies:
            proxy.wait_until_ready()

    def _start_proxy(self, ordinal: int) -> ProxyUnderLoad:
        return ProxyUnderLoad(
            self._folder,
            ordinal,
            self._proxy_addresses[ordinal],
            self._discovery_address,
            self._plan,
            self._deployment,
            self._cores.proxies[ordinal],
        )

    def _start_clients(self) -> None:
        worker_count = self._deployment.worker_count
        for worker in range(worker_count):
            address = self._proxy_addresses[worker % len(self._proxy_addresses)]
            plan = self._plan.for_worker(worker, worker_count).as_json()
            task = {"plan": plan, "address": address, "starts_at": self._curve_starts_at}
            self._workers.append(self._start_module(CLIENTS_MODULE, task))

    def stop(self) -> None:
        """End all running processes, and copy the proxies' logs if the deployment has a log folder."""
        log_folder = self._deployment.log_folder
        for proxy in self._proxies:
            proxy.end()
            if log_folder:
                pathlib.Path(log_folder, f"{proxy.name}.log").write_bytes(proxy.log.read_bytes())
        for process in (*self._workers, self._stand_ins):
            if process and process.poll() is None:
                process.kill()
                process.wait()

    # The curve

    def _run_curve(self) -> None:
        """Apply the disruptions at their times and wait for the end of the curve."""
        self._sleep_until_second(0.0)
        self._cpu_seconds = -self._total_cpu_seconds()
        for disruption in sorted(self._disruptions()):
            self._sleep_until_second(disruption.at_seconds)
            for ordinal in range(len(self._proxies)):
                self._disrupt(ordinal, disruption)
        self._sleep_until_second(self._plan.duration_seconds())
        self._cpu_seconds += self._total_cpu_seconds()

    def _sleep_until_second(self, at_seconds: float) -> None:
        sleep(max(0.0, self._curve_starts_at + at_seconds - monotonic()))

    def _total_cpu_seconds(self) -> float:
        return sum(proxy.cpu_seconds() for proxy in self._proxies)

    def _disruptions(self) -> list[Disruption]:
        deployment = self._deployment
        disruptions = [Disruption(at, DisruptionKind.CPU_SHARE, share) for at, share in deployment.cpu_share_changes]
        disruptions += [Disruption(at, DisruptionKind.STALL, seconds) for at, seconds in deployment.stalls]
        if deployment.restart_at_seconds is not None:
            disruptions.append(Disruption(deployment.restart_at_seconds, DisruptionKind.RESTART))
        return disruptions

    def _disrupt(self, ordinal: int, disruption: Disruption) -> None:
        proxy = self._proxies[ordinal]
        match disruption.kind:
            case DisruptionKind.CPU_SHARE:
                proxy.throttle.cpu_ratio = disruption.value
            case DisruptionKind.STALL:
                proxy.throttle.pause(disruption.value)
            case DisruptionKind.RESTART:
                self._cpu_seconds += proxy.cpu_seconds()
                proxy.kill()
                self._proxies[ordinal] = self._start_proxy(ordinal)
                self._proxies[ordinal].wait_until_ready()

    # The figures

    def _collect(self) -> LoadFigures:
        counts = OutcomeCounts()
        max_delay_seconds = 0.0
        duration_seconds = self._plan.duration_seconds()
        for worker in self._workers:
            text = worker.communicate(timeout=duration_seconds + PROCESS_GRACE_SECONDS)[0]
            if worker.returncode:
                raise LoadPlanError("clients: a worker process exited with an error")
            part = json.loads(text)
            counts.merge(part)
            max_delay_seconds = max(max_delay_seconds, part["max_delay_seconds"])
        since_seconds = WARM_UP_SECONDS if duration_seconds > MIN_WARMED_RUN_SECONDS else 0.0
        proxies = self._proxy_figures(counts, since_seconds) if self._proxies else None
        backends = self._end_stand_ins() if self._stand_ins else None
        return figures_between(counts, since_seconds, duration_seconds, max_delay_seconds * 1000, proxies, backends)

    def _proxy_figures(self, counts: OutcomeCounts, since_seconds: float) -> ProxyFigures:
        duration_seconds = self._plan.duration_seconds()
        offered = counts.offered(0, duration_seconds)
        lags_ms = self._lags_ms(since_seconds)
        return ProxyFigures(
            cpu_us_per_request=self._cpu_seconds * 1e6 / max(1, offered),
            cpu_us_per_request_in_time=self._cpu_seconds * 1e6 / max(1, counts.total(Outcome.IN_TIME)),
            cpu_ratio=self._cpu_seconds / duration_seconds / self._deployment.proxy_count,
            memory_mb=max(proxy.peak_memory_mb() for proxy in self._proxies),
            median_lag_ms=lags_ms[len(lags_ms) // 2] if lags_ms else float("nan"),
            p99_lag_ms=lags_ms[int(len(lags_ms) * 0.99)] if lags_ms else float("nan"),
            undecided=sum(proxy.undecided_requests() for proxy in self._proxies),
        )

    def _lags_ms(self, since_seconds: float) -> list[float]:
        """Return the event-loop lags of all proxies in the measured interval, smallest first."""
        first = self._curve_starts_at + since_seconds
        end = self._curve_starts_at + self._plan.duration_seconds()
        samples = [sample for proxy in self._proxies for sample in proxy.lag_probe.samples]
        return sorted(sample.lag_ms for sample in samples if first <= sample.at_seconds < end)

    def _end_stand_ins(self) -> dict[str, int]:
        self._stand_ins.send_signal(signal.SIGTERM)
        return json.loads(self._stand_ins.communicate(timeout=STAND_INS_STOP_TIMEOUT_SECONDS)[0])
