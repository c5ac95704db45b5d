"""Daemons under load: started from a tree, on a core of their own, held to a share of it in user space.

`Throttle` reads the process's own CPU clock and stops and continues its process group, so that it gets `cores`
of a core and no more, in slices as short as the machine allows.  No special rights.
"""
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from time import clock_gettime, monotonic, sleep

from sloeferry.load.plan import Fault, Plan

SLICE = 0.002                            # seconds between two looks of the throttle
BURST = 0.01                             # seconds of CPU that may be saved up
PATIENCE = 20.0                          # seconds for a daemon to become ready


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


def cpu_clock(pid):
    """The clock of a process's CPU time, as clock_gettime wants it (Linux: ~pid << 3 | 2)."""
    return (~pid << 3) | 2


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
            return                       # it has ended
        finally:
            if stopped:
                try:
                    os.killpg(self.pid, signal.SIGCONT)
                except ProcessLookupError:
                    pass


class Lag(threading.Thread):
    """The daemon's loop lag as seen from outside: how long /ready takes on a connection of its own, in ms."""

    def __init__(self, address, every=0.02):
        super().__init__(daemon=True)
        self.address, self.every, self.over, self.seen = address, every, threading.Event(), []

    def run(self):
        while not self.over.is_set():
            try:
                with socket.create_connection(self.address, 2) as sock:
                    sock.settimeout(2)
                    while not self.over.is_set():
                        begun = monotonic()
                        sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                        said = sock.recv(4096)
                        if not said:
                            break
                        self.seen.append((begun, (monotonic() - begun) * 1000))
                        if b"close" in said:
                            break
                        sleep(self.every)
            except OSError:
                sleep(self.every)


def settings(plan: Plan, ordinal: int, instances: int) -> dict:
    """The platform's settings for what the callers of a plan ask, times in microseconds."""
    schemes = [{"name": s.name, "idempotency": "retryable" if s.kind == "repeatable" else "dedup", "group": "all",
                "sla_time": s.sla * 1000, "expiry": s.expiry * 1000, "gain": s.gain, "dedup_window": 30_000_000}
               for s in plan.schemes]
    return {"schemes": schemes, "tenants": [{"name": name, "share": share} for name, share in plan.tenants],
            "discovery": "subscribe", "zones": ["a"], "kinds": ["m"], "instances": instances, "ordinal": ordinal,
            "zone": 0, "step": 1000, "load_info": {"via": "answers", "fields": ["inflight", "queue", "util"]},
            "obligations": {"must_ask_in": 10_000_000, "cold": 23_000_000, "cold_from": 0.12, "fall": 1_500_000,
                            "fall_multiple": 3.0},
            "limits": {"most_postings": 4, "dial_timeout": 200_000, "conn_idle": 30_000_000, "cancel": True,
                       "probing": True, "retry_after": True, "second_copies": True},
            "tariffs": {"probe": 0.002, "cross_zone": 0.005}}


class Daemon:
    """One daemon of a tree, with its throttle and its log."""

    def __init__(self, tree, folder, name, address, discovery, plan, cores, core, sockets, memory, ordinal, instances):
        self.name, self.address = name, address
        path, self.log = pathlib.Path(folder, f"{name}.json"), pathlib.Path(folder, f"{name}.log")
        path.write_text(json.dumps({
            "name": name, "listen": "{}:{}".format(*address), "discovery": discovery, "seed": f"{plan.seed:x}",
            "limits": {"cores": cores or 1.0, "memory_mb": memory, "sockets": sockets},
            "settings": settings(plan, ordinal, instances)}))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "PYTHON"))}
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "sloeferry"], cwd=tree, stdout=log, stderr=log,
                                            start_new_session=True, env=dict(environ, BALANCER_CONFIG=str(path)))
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        self.throttle, self.lag = Throttle(self.process.pid, cores), Lag(address)

    def ready(self):
        until = monotonic() + PATIENCE
        while monotonic() < until and self.process.poll() is None:
            try:
                with socket.create_connection(self.address, 1) as sock:
                    sock.settimeout(2)
                    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in sock.recv(4096):
                        self.throttle.start()
                        self.lag.start()
                        return
            except OSError:
                pass
            sleep(0.05)
        self.end()
        raise Fault(f"daemon {self.name}: not ready in {PATIENCE:.0f} s: {self.log.read_text()[-300:]}")

    def memory(self):
        """Its largest resident size so far, MB."""
        with open(f"/proc/{self.process.pid}/status") as status:
            return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))

    def end(self):
        self.throttle.over.set()
        self.lag.over.set()
        if self.throttle.is_alive():
            self.throttle.join()
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(3)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


def tree_of(revision, folder):
    """An earlier revision of this repository, laid out in a folder of its own."""
    root = pathlib.Path(__file__).resolve().parents[2]
    target = pathlib.Path(folder, "rev")
    target.mkdir()
    archive = subprocess.run(["git", "-C", str(root), "archive", "--format=tar", revision, "sloeferry"],
                             capture_output=True)
    if archive.returncode:
        raise Fault(f"--against: {revision!r} is no revision of this repository")
    subprocess.run(["tar", "-x", "-C", str(target)], input=archive.stdout, check=True)
    return target


def workshop():
    """A folder for configurations and logs, gone with the `with` block."""
    return tempfile.TemporaryDirectory(prefix="sloeferry-load-")
