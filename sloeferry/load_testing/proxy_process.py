"""Proxy processes under load: each runs a given source tree on its own core, throttled to a share of it in user space."""

import os
import pathlib
import socket
import subprocess
import threading
from time import monotonic, sleep
from typing import NamedTuple

from sloeferry.load_testing.deployment import REPOSITORY_ROOT, Deployment
from sloeferry.load_testing.plan import LoadPlan, LoadPlanError
from sloeferry.load_testing.proxy_config import proxy_settings, write_proxy_config
from sloeferry.stand_ins import processes

READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
START_TIMEOUT_SECONDS = 20.0
START_POLL_INTERVAL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1
PROBE_TIMEOUT_SECONDS = 2
LAG_PROBE_INTERVAL_SECONDS = 0.02
MAX_RESPONSE_BYTES = 4096
LOG_TAIL_CHARACTERS = 300
UNDECIDED_LOG_LINE = "no answer decided in time"


class LagSample(NamedTuple):
    """Event-loop lag at a time of the monotonic clock."""

    at_seconds: float
    lag_ms: float


class LagProbe(threading.Thread):
    """Measures a proxy's event-loop lag from outside, as the response time of /ready on a separate connection."""

    def __init__(self, address: tuple[str, int]):
        super().__init__(daemon=True)
        self.address = address
        self.stop_event = threading.Event()
        self.samples: list[LagSample] = []

    def run(self) -> None:
        """Probe until stopped, and reconnect whenever the connection ends."""
        while not self.stop_event.is_set():
            try:
                with socket.create_connection(self.address, PROBE_TIMEOUT_SECONDS) as sock:
                    sock.settimeout(PROBE_TIMEOUT_SECONDS)
                    self._probe_on(sock)
            except OSError:
                sleep(LAG_PROBE_INTERVAL_SECONDS)

    def _probe_on(self, sock: socket.socket) -> None:
        while not self.stop_event.is_set():
            began_at = monotonic()
            sock.sendall(READY_REQUEST)
            response = sock.recv(MAX_RESPONSE_BYTES)
            if not response:
                return
            self.samples.append(LagSample(began_at, (monotonic() - began_at) * 1000))
            if b"close" in response:
                return
            sleep(LAG_PROBE_INTERVAL_SECONDS)


class ProxyUnderLoad:
    """Proxy process with its throttle, lag probe and log."""

    def __init__(
        self,
        folder: str,
        ordinal: int,
        address: tuple[str, int],
        discovery: tuple[str, int],
        plan: LoadPlan,
        deployment: Deployment,
        core: int | None,
    ):
        self.name = f"n{ordinal}"
        self.address = address
        self.log = pathlib.Path(folder, f"{self.name}.log")
        config = pathlib.Path(folder, f"{self.name}.json")
        write_proxy_config(
            config,
            self.name,
            address,
            discovery,
            proxy_settings(plan, ordinal, deployment.proxy_count),
            seed=plan.seed,
            socket_limit=deployment.max_sockets,
            memory_mb=deployment.memory_mb,
            cores=deployment.cpu_share or 1.0,
        )
        with open(self.log, "wb") as log:
            self.process = processes.start(config, log, deployment.source_tree or str(REPOSITORY_ROOT))
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        self.throttle = processes.Throttle(self.process.pid, deployment.cpu_share)
        self.lag_probe = LagProbe(address)

    def wait_until_ready(self) -> None:
        """Wait until the proxy is ready, then start its throttle and lag probe.  Raises LoadPlanError."""
        give_up_at = monotonic() + START_TIMEOUT_SECONDS
        while monotonic() < give_up_at and self.process.poll() is None:
            if self._is_ready():
                self.throttle.start()
                self.lag_probe.start()
                return
            sleep(START_POLL_INTERVAL_SECONDS)
        self.end()
        log_tail = self.log.read_text()[-LOG_TAIL_CHARACTERS:]
        raise LoadPlanError(
            f"proxy {self.name}: not ready within {START_TIMEOUT_SECONDS:.0f} s, or its process ended; end of its log: {log_tail}"
        )

    def _is_ready(self) -> bool:
        try:
            with socket.create_connection(self.address, CONNECT_TIMEOUT_SECONDS) as sock:
                sock.settimeout(PROBE_TIMEOUT_SECONDS)
                sock.sendall(READY_REQUEST)
                return b" 200 " in sock.recv(MAX_RESPONSE_BYTES)
        except OSError:
            return False

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far."""
        return self.throttle.cpu_seconds()

    def peak_memory_mb(self) -> float:
        """Return the largest resident set size so far."""
        return processes.memory_mb(self.process.pid, "VmHWM")

    def undecided_requests(self) -> int:
        """Count the requests that the proxy answered because no decision came in time, from its log."""
        return self.log.read_text().count(UNDECIDED_LOG_LINE)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()
        self.end()

    def end(self) -> None:
        """End the process and its throttle and probe threads."""
        self.throttle.stop_requested.set()
        self.lag_probe.stop_event.set()
        if self.throttle.is_alive():
            self.throttle.join()
        processes.terminate(self.process)


def extract_revision(revision: str, folder: str) -> pathlib.Path:
    """Extract an earlier revision of this repository and return its source tree.  Raises LoadPlanError."""
    tree = pathlib.Path(folder, "rev")
    tree.mkdir()
    command = ["git", "-C", str(REPOSITORY_ROOT), "archive", "--format=tar", revision, "sloeferry"]
    archive = subprocess.run(command, capture_output=True)
    if archive.returncode:
        raise LoadPlanError(f"--against: {revision!r} is not a revision of this repository")
    subprocess.run(["tar", "-x", "-C", str(tree)], input=archive.stdout, check=True)
    return tree
