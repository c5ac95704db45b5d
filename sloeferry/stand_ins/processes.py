"""Daemons as processes: how one is started, held to a share of a core, and ended.  No special rights.

`Throttle` reads the process's own CPU clock and stops and continues its process group, so that it gets `share`
of a core and no more, in slices as short as the machine allows.
"""

import os
import signal
import socket
import subprocess
import sys
import threading
from time import clock_gettime, monotonic, sleep

SLICE = 0.002  # seconds between two looks of the throttle
BURST = 0.01  # seconds of CPU that may be saved up
OURS = ("BALANCER_", "PYTHON", "SLOEFERRY")  # what a daemon must not inherit from whoever starts it


def free_ports(host, n):
    """Ports of a loopback address that nobody holds now."""
    socks = [socket.socket() for _ in range(n)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def command(module="sloeferry"):
    """As `run` starts it: the words, and the environment to add to."""
    return [sys.executable, "-m", module], {k: v for k, v in os.environ.items() if not k.startswith(OURS)}


def start(path, log=subprocess.DEVNULL, tree=None, fds=(), module="sloeferry", **environ):
    """A daemon in a process group of its own, with that configuration; `tree`: whose code it runs."""
    words, told = command(module)
    return subprocess.Popen(
        words,
        cwd=tree,
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=log,
        start_new_session=True,
        pass_fds=fds,
        env={**told, "BALANCER_CONFIG": str(path), **environ},
    )


def tell(process, number):
    """A signal to a daemon's group, if it is there still."""
    try:
        os.killpg(process.pid, number)
    except ProcessLookupError:
        pass  # it has just ended


def end(process, patience=3.0):
    """Told to leave, and killed if it does not."""
    if process.poll() is None:
        tell(process, signal.SIGCONT)
        tell(process, signal.SIGTERM)
        try:
            process.wait(patience)
        except subprocess.TimeoutExpired:
            tell(process, signal.SIGKILL)
            process.wait()


def memory(pid, what="VmRSS"):
    """MB of a process: VmRSS now, VmHWM at its largest."""
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith(what))


def cpu_clock(pid):
    """The clock of a process's CPU time, as clock_gettime wants it (Linux: ~pid << 3 | 2)."""
    return (~pid << 3) | 2


def cpu_seconds(pid):
    return clock_gettime(cpu_clock(pid))


class Throttle(threading.Thread):
    """Holds a process group to a share of one core.  `share` may be changed at any time; None holds nothing.
    `pause(seconds)` stands for a machine that stalls."""

    def __init__(self, pid, share):
        super().__init__(daemon=True)
        self.pid, self.share, self.over, self.until = pid, share, threading.Event(), 0.0

    def used(self):
        """CPU seconds of the process so far."""
        return clock_gettime(cpu_clock(self.pid))

    def pause(self, seconds):
        self.until = monotonic() + seconds

    def run(self):
        stopped, purse, at = False, 0.0, monotonic()
        try:
            used = self.used()
            while not self.over.is_set():
                sleep(SLICE)
                now, spent = monotonic(), self.used()
                if self.share is not None:
                    purse = min(BURST, purse + (now - at) * self.share) - (spent - used)
                at, used = now, spent
                stop = now < self.until or self.share is not None and purse <= 0
                if stop != stopped:
                    os.killpg(self.pid, signal.SIGSTOP if stop else signal.SIGCONT)
                    stopped = stop
        except (ProcessLookupError, OSError):
            return  # it has ended
        finally:
            if stopped:
                try:
                    os.killpg(self.pid, signal.SIGCONT)
                except ProcessLookupError:
                    pass
