"""Starts proxies by the command of the deploy file, keeps the record of a case, and ends all that it started."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0  # the platform's limit for a start
RUN_SECONDS = 110.0
PORTS = 16_000  # below the system's range, for proxies
READY_ANSWER_SECONDS = 2.0


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a free port of the loopback address, below those that the system gives to listeners and connections by itself.

    A port of the system's own range could go to another process between this call and the start of the proxy.
    """
    first = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii").split()[0])
    while True:
        port = random.randrange(max(1024, first - PORTS), first)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Testbed:
    """The record, the temporary folder and the processes of one run."""

    def __init__(self, folder: pathlib.Path):
        self.record_path = folder / "record.txt"
        self._record = self.record_path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line to the record."""
        self._record.write(f"{self.now():9.4f} {text}\n")

    async def start_proxy(
        self,
        name: str,
        settings: dict[str, Any],
        discovery: str,
        known: dict[str, Any] | None = None,
        address: tuple[str, int] | None = None,
    ) -> tuple[tuple[str, int], subprocess.Popen]:
        """Start a proxy as the platform does and wait until it is ready.

        `known`: the list as it last had it; `address`: its own, after a restart.
        """
        address = address or (HOST, free_port())
        temporary = pathlib.Path(tempfile.mkdtemp(prefix=name, dir=self.folder))
        config = {
            "name": name,
            "listen": "{}:{}".format(*address),
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"revision": 0, "complete": True, "members": []},
            "settings": settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER_", "SLOEFERRY_"))} | {
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": discovery,
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.processes.append(process)
        await self._wait_until_ready(name, address, process)
        self.note(f"proxy {name} is ready")
        return address, process

    async def _wait_until_ready(self, name: str, address: tuple[str, int], process: subprocess.Popen) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline and process.poll() is None:
            with contextlib.suppress(OSError, IndexError, TimeoutError):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(), READY_ANSWER_SECONDS)
                writer.close()
                if answer.split()[1] == b"200":
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"proxy {name} is not ready")

    def kill(self, process: subprocess.Popen) -> None:
        """Kill a proxy outright."""
        self.processes.remove(process)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def close(self) -> None:
        """End all processes that this run started, and remove its temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def play(folder: pathlib.Path, case: Callable[[Testbed], Coroutine[Any, Any, list[str]]]) -> None:
    """Play a case, which returns the breaks of its rule, and exit with the status that tells the result."""

    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupt)
    bed = Testbed(folder)
    status = COULD_NOT_RUN
    try:
        breaks = asyncio.run(asyncio.wait_for(case(bed), RUN_SECONDS))
        for process in bed.processes:
            if process.poll() is not None:
                raise CannotRunError(f"a proxy ended with status {process.returncode}")
        for line in breaks:
            bed.note(f"BREAK {line}")
        status = BROKEN if breaks else HELD
        bed.note(f"result: breaks={len(breaks)} trouble={has_trouble()}")
        print(f"breaks={len(breaks)} trouble={has_trouble()}", *breaks[:5], sep="\n")
    except (CannotRunError, OSError, TimeoutError, KeyboardInterrupt) as error:
        bed.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        bed.close()
    sys.exit(status)
