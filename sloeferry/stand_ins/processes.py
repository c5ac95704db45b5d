"""Starts proxy processes, limits their CPU time and terminates them, without special privileges."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Collection
from time import clock_gettime, monotonic, sleep
from typing import IO, NamedTuple

THROTTLE_INTERVAL_SECONDS = 0.002  # between two checks of the CPU time
MAX_CPU_BURST_SECONDS = 0.01
TERMINATION_TIMEOUT_SECONDS = 3.0  # between SIGTERM and SIGKILL
# Prefixes of environment variables that a proxy must not inherit from its parent process.
NOT_INHERITED_PREFIXES = ("BALANCER_", "PYTHON", "SLOEFERRY")
KB_PER_MB = 1024


class Command(NamedTuple):
    """The arguments and the environment of a process to start."""

    arguments: list[str]
    environment: dict[str, str]


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of a loopback address that are currently unused."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def proxy_command(module: str = "sloeferry") -> Command:
    """Return the command that runs a module as the platform's `run` does; callers may extend the environment."""
    environ = {name: value for name, value in os.environ.items() if not name.startswith(NOT_INHERITED_PREFIXES)}
    return Command([sys.executable, "-m", module], environ)


def start(
    config_path: str | os.PathLike,
    log: int | IO = subprocess.DEVNULL,
    working_directory: str | os.PathLike | None = None,
    fds: Collection[int] = (),
    module: str = "sloeferry",
    **environ: str,
) -> subprocess.Popen:
    """Start a proxy in a process group of its own.

    It runs the code in the folder `working_directory`, or with None in the current one.
    """
    arguments, inherited_environment = proxy_command(module)
    return subprocess.Popen(
        arguments,
        cwd=working_directory,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
        start_new_session=True,
        pass_fds=fds,
        env={**inherited_environment, "BALANCER_CONFIG": str(config_path), **environ},
    )


def send_signal(process: subprocess.Popen, number: int) -> None:
    """Send a signal to a proxy's process group, if it still exists."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, number)


def terminate(process: subprocess.Popen, timeout_seconds: float = TERMINATION_TIMEOUT_SECONDS) -> None:
    """Terminate a process, and kill it if it does not end in time."""
    if process.poll() is not None:
        return
    send_signal(process, signal.SIGCONT)
    send_signal(process, signal.SIGTERM)
    try:
        process.wait(timeout_seconds)
    except subprocess.TimeoutExpired:
        send_signal(process, signal.SIGKILL)
        process.wait()


def memory_mb(pid: int, field: str = "VmRSS") -> float:
    """Return the memory use of a process: VmRSS is the current, VmHWM the largest value."""
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) / KB_PER_MB for line in status if line.startswith(field))


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    return clock_gettime(_cpu_clock(pid))


def _cpu_clock(pid: int) -> int:
    """Return the clock id of a process's CPU time for clock_gettime (on Linux: ~pid << 3 | 2)."""
    return (~pid << 3) | 2


class Throttle(threading.Thread):
    """Limits a process group to a part of one core, by a token bucket of CPU time: it is stopped while the bucket is empty.

    The process is stopped and continued in time slices that are as short as the machine allows.  `cpu_ratio` may be changed
    at any time; None means no limit.  Set `stop_requested` to end the thread.
    """

    def __init__(self, pid: int, cpu_ratio: float | None):
        super().__init__(daemon=True)
        self.cpu_ratio = cpu_ratio
        self.stop_requested = threading.Event()
        self._pid = pid
        self._paused_until = 0.0
        self._is_stopped = False

    def cpu_seconds(self) -> float:
        """Return the CPU time that the process has used."""
        return cpu_seconds(self._pid)

    def pause(self, seconds: float) -> None:
        """Stop the process for a time, like a stall of its machine."""
        self._paused_until = monotonic() + seconds

    def run(self) -> None:
        """Throttle the process until it ends or `stop_requested` is set."""
        try:
            self._throttle()
        except OSError:
            return  # the process has ended
        finally:
            if self._is_stopped:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(self._pid, signal.SIGCONT)

    def _throttle(self) -> None:
        available_seconds, measured_at, used_seconds = 0.0, monotonic(), cpu_seconds(self._pid)
        while not self.stop_requested.is_set():
            sleep(THROTTLE_INTERVAL_SECONDS)
            now, used_now_seconds = monotonic(), cpu_seconds(self._pid)
            if self.cpu_ratio is not None:
                added_seconds = (now - measured_at) * self.cpu_ratio
                available_seconds = min(MAX_CPU_BURST_SECONDS, available_seconds + added_seconds) - (
                    used_now_seconds - used_seconds
                )
            measured_at, used_seconds = now, used_now_seconds
            is_exhausted = self.cpu_ratio is not None and available_seconds <= 0
            self._set_stopped(now < self._paused_until or is_exhausted)

    def _set_stopped(self, is_stopped: bool) -> None:
        if is_stopped != self._is_stopped:
            os.killpg(self._pid, signal.SIGSTOP if is_stopped else signal.SIGCONT)
            self._is_stopped = is_stopped
