"""Daemons under load: started from a tree, on a core of their own, held to a share of it in user space."""

import json
import os
import pathlib
import socket
import subprocess
import tempfile
import threading
from time import monotonic, sleep

from sloeferry.load_testing.plan import LoadPlanError, Plan
from sloeferry.stand_ins import platform, processes

PATIENCE = 20.0  # seconds for a daemon to become ready


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
    """The platform's settings for what the callers of a plan ask."""
    schemes = [
        platform.request_class_settings(
            s.name,
            "repeatable" if s.kind == "repeatable" else "referenced",
            s.sla,
            s.expiry,
            s.gain,
            deduplication_window_ms=30_000,
        )
        for s in plan.schemes
    ]
    return platform.proxy_settings(
        schemes,
        plan.tenants,
        instance_count=instances,
        ordinal=ordinal,
        zones=["a"],
        machine_kinds=["m"],
        obligations=platform.ObligationTerms(slow_start_seconds=23.0, slow_start_initial_ratio=0.12),
    )


class Daemon:
    """One daemon of a tree, with its throttle and its log."""

    def __init__(self, tree, folder, name, address, discovery, plan, cores, core, sockets, memory, ordinal, instances):
        self.name, self.address = name, address
        path, self.log = pathlib.Path(folder, f"{name}.json"), pathlib.Path(folder, f"{name}.log")
        path.write_text(
            json.dumps(
                platform.instance_config(
                    name,
                    address,
                    discovery,
                    settings(plan, ordinal, instances),
                    seed=plan.seed,
                    max_sockets=sockets,
                    memory_mb=memory,
                    cores=cores or 1.0,
                )
            )
        )
        with open(self.log, "wb") as log:
            self.process = processes.start(path, log, tree)
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})
        self.throttle, self.lag = processes.Throttle(self.process.pid, cores), Lag(address)

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
        raise LoadPlanError(f"daemon {self.name}: not ready in {PATIENCE:.0f} s: {self.log.read_text()[-300:]}")

    def memory(self):
        """Its largest resident size so far, MB."""
        return processes.memory_mb(self.process.pid, "VmHWM")

    def end(self):
        self.throttle.stop_requested.set()
        self.lag.over.set()
        if self.throttle.is_alive():
            self.throttle.join()
        processes.end(self.process)


def tree_of(revision, folder):
    """An earlier revision of this repository, laid out in a folder of its own."""
    root = pathlib.Path(__file__).resolve().parents[2]
    target = pathlib.Path(folder, "rev")
    target.mkdir()
    archive = subprocess.run(["git", "-C", str(root), "archive", "--format=tar", revision, "sloeferry"], capture_output=True)
    if archive.returncode:
        raise LoadPlanError(f"--against: {revision!r} is no revision of this repository")
    subprocess.run(["tar", "-x", "-C", str(target)], input=archive.stdout, check=True)
    return target


def workshop():
    """A folder for configurations and logs, gone with the `with` block."""
    return tempfile.TemporaryDirectory(prefix="sloeferry-load-")
