"""Proxies as processes: how one is started, held to a share of a core, and ended.  No special rights."""

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

THROTTLE_SECONDS = 0.002  # between two looks of the throttle
MAX_SAVED_CPU_SECONDS = 0.01
END_TIMEOUT_SECONDS = 3.0  # from SIGTERM to SIGKILL
# What a proxy must not inherit from whoever starts it.
NOT_INHERITED = ("BALANCER_", "PYTHON", "SLOEFERRY")
KB_PER_MB = 1024


class Command(NamedTuple):
    """How a program is started."""

    words: list[str]
    environ: dict[str, str]


def free_ports(host: str, count: int) -> list[int]:
    """Ports of a loopback address that nobody holds now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def proxy_command(module: str = "sloeferry") -> Command:
    """A module as the platform's `run` starts it; the environment may be added to."""
    environ = {name: value for name, value in os.environ.items() if not name.startswith(NOT_INHERITED)}
    return Command([sys.executable, "-m", module], environ)


def start(
    config_path: str | os.PathLike,
    log: int | IO = subprocess.DEVNULL,
    tree: str | os.PathLike | None = None,
    fds: Collection[int] = (),
    module: str = "sloeferry",
    **environ: str,
) -> subprocess.Popen:
    """A proxy in a process group of its own, with that configuration; `tree`: whose code it runs (None: this folder's)."""
    words, inherited = proxy_command(module)
    return subprocess.Popen(
        words,
        cwd=tree,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
        start_new_session=True,
        pass_fds=fds,
        env={**inherited, "BALANCER_CONFIG": str(config_path), **environ},
    )


def send_signal(process: subprocess.Popen, number: int) -> None:
    """A signal to a proxy's process group, if it is there still."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, number)


def terminate(process: subprocess.Popen, timeout_seconds: float = END_TIMEOUT_SECONDS) -> None:
    """Asks a process to end, and kills it if it does not."""
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
    """Memory of a process: VmRSS now, VmHWM at its largest."""
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) / KB_PER_MB for line in status if line.startswith(field))


def cpu_seconds(pid: int) -> float:
    """CPU time of a process so far."""
    return clock_gettime(_cpu_clock(pid))


def _cpu_clock(pid: int) -> int:
    """The clock of a process's CPU time, as clock_gettime wants it (Linux: ~pid << 3 | 2)."""
    return (~pid << 3) | 2


class Throttle(threading.Thread):
    """Holds a process group to a share of one core, by stopping and continuing it in slices as short as the machine allows.

    `cpu_ratio` may be changed at any time; None holds nothing.  Set `stop_requested` to end it.
    """

    def __init__(self, pid: int, cpu_ratio: float | None):
        super().__init__(daemon=True)
        self.cpu_ratio = cpu_ratio
        self.stop_requested = threading.Event()
        self._pid = pid
        self._paused_until = 0.0
        self._is_stopped = False

    def cpu_seconds(self) -> float:
        """CPU time of the process so far."""
        return cpu_seconds(self._pid)

    def pause(self, seconds: float) -> None:
        """Stands for a machine that stalls."""
        self._paused_until = monotonic() + seconds

    def run(self) -> None:
        """Throttles until it is to stop, or the process has ended."""
        try:
            self._throttle()
        except OSError:
            return  # the process has ended
        finally:
            if self._is_stopped:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(self._pid, signal.SIGCONT)

    def _throttle(self) -> None:
        saved_seconds, looked_at, used_seconds = 0.0, monotonic(), cpu_seconds(self._pid)
        while not self.stop_requested.is_set():
            sleep(THROTTLE_SECONDS)
            now, used_now = monotonic(), cpu_seconds(self._pid)
            if self.cpu_ratio is not None:
                earned_seconds = (now - looked_at) * self.cpu_ratio
                saved_seconds = min(MAX_SAVED_CPU_SECONDS, saved_seconds + earned_seconds) - (used_now - used_seconds)
            looked_at, used_seconds = now, used_now
            has_used_up = self.cpu_ratio is not None and saved_seconds <= 0
            self._set_stopped(now < self._paused_until or has_used_up)

    def _set_stopped(self, is_stopped: bool) -> None:
        if is_stopped != self._is_stopped:
            os.killpg(self._pid, signal.SIGSTOP if is_stopped else signal.SIGCONT)
            self._is_stopped = is_stopped
