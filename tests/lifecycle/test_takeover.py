"""Takeover of a proxy by a new process."""

import asyncio
import json
import re
import socket
import sys
from collections.abc import Callable
from pathlib import Path

from sloeferry.policy.interface import EndpointState
from tests.support.fake_backends import response
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder
from tests.support.proxy_harness import READY_REQUEST, Connection, ProxyHarness, run_scenario

POLL_SECONDS = 0.02  # interval between health checks of a process


def test_slow_start_budget_is_divided(golden: GoldenFiles):
    """While two processes form one proxy, each sends an endpoint in warm-up at most half of its budget (safety rule 4)."""
    lines: list[str] = []
    for process_count in (1, 2):
        recorder = PolicyRecorder(
            obligations__cold=10000.0,
            obligations__cold_from=0.5,
            obligations__fall=1500.0,
            obligations__fall_multiple=3.0,
            limits__probing=True,
        )
        policy = recorder.policy
        policy.fleet.process_count = process_count
        recorder.publish_endpoints(("a", 0, EndpointState.READY, 1.0))
        endpoint = policy.table.by_id["a"]
        sent = 0
        while policy.slow_start.may_send(endpoint, 1000.0, 50.0):
            endpoint.recent_sends.append((1000.0, 50.0))
            sent += 1
        lines.append(f"{process_count}: {sent} at once")
    golden.check(lines, "takeover_slow_start_budget")


class ProxyProcesses:
    """Processes of one proxy that inherit one listening socket, each with its own admin address."""

    def __init__(self, harness: ProxyHarness, listener: socket.socket, folder: Path):
        self._harness = harness
        self._listener = listener
        self._folder = folder
        self._admin_ports: list[int] = []

    async def start(self) -> tuple[int, asyncio.subprocess.Process]:
        """Start another process and wait until it is ready; return its index and the process."""
        index = len(self._admin_ports)
        self._admin_ports.append(await self._harness.free_port())
        listen = f"127.0.0.1:{self._listener.getsockname()[1]}"
        config = self._folder / f"config{index}"
        config.write_text(json.dumps(dict(self._harness.config, listen=listen, ops=f"127.0.0.1:{self._admin_ports[index]}")))
        listen_fd = self._listener.fileno()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sloeferry",
            pass_fds=[listen_fd],
            stderr=asyncio.subprocess.DEVNULL,
            env={"BALANCER_CONFIG": str(config), "TMPDIR": str(self._folder), "BALANCER_LISTEN_FD": str(listen_fd)},
        )
        await self.until(index, lambda health: "200 OK" in health)
        return index, process

    async def ask(self, index: int, call: str = "GET /admin/health") -> str:
        """Return the response to an admin call to that process, or "" if the connection is refused."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._admin_ports[index])
        except OSError:
            return ""
        writer.write(f"{call} HTTP/1.1\r\n\r\n".encode())
        received = (await reader.read()).decode()
        writer.close()
        return received

    async def until(self, index: int, condition: Callable[[str], bool]) -> str:
        """Wait until the health of that process meets the condition, and return it."""
        while not condition(health := await self.ask(index)):
            await asyncio.sleep(POLL_SECONDS)
        return health


async def run_takeover(harness: ProxyHarness, processes: ProxyProcesses) -> None:
    """Run a takeover of the first process by a second one, then start a third one and kill it."""
    first, first_process = await processes.start()
    await harness.request("safe")
    kept = await harness.connect()
    await harness.request("safe", connection=kept)
    second, second_process = await processes.start()
    harness.record("the second is ready")
    first_process.terminate()
    await processes.until(first, lambda health: "200 OK" not in health)  # otherwise the signal and the next request race
    await harness.request("safe", connection=kept)
    harness.record(f"the kept connection ends: {await kept[0].read() == b''}")
    await harness.send(READY_REQUEST)
    harness.record(f"the first ends: {await first_process.wait()}")
    await harness.request("safe")
    _, third_process = await processes.start()
    harness.record(f"quiesced beside another: {'200 OK' in await processes.ask(second, 'POST /admin/quiesce')}")
    await harness.send(READY_REQUEST)
    third_process.kill()
    await third_process.wait()
    health = await processes.until(second, lambda health: '"quie' in health)
    harness.record(f"the other is killed: {'503' in health}")
    while "503" not in await harness.send(READY_REQUEST, is_recorded=False):
        await asyncio.sleep(POLL_SECONDS)
    harness.record("it takes clients in again, and says no")
    second_process.terminate()
    harness.record(f"the second ends: {await second_process.wait()}")


def test_second_process_takes_over(golden: GoldenFiles, tmp_path: Path):
    """A second process takes over on the inherited socket while the first serves.  Each request is answered, the first process
    exits on SIGTERM, and a third one that is killed changes nothing."""

    async def scenario(harness: ProxyHarness) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            harness.port = listener.getsockname()[1]
            await run_takeover(harness, ProxyProcesses(harness, listener, tmp_path))

    harness = ProxyHarness({"b": response()})
    run_scenario(scenario, harness)
    # The connection number at the backend depends on the process that sends the request.
    lines = [re.sub(r"backend 1, connection \d+", "backend", line) for line in harness.lines]
    golden.check(lines, "takeover_two_processes")


async def repeat_ids_across_a_takeover(harness: ProxyHarness, processes: ProxyProcesses) -> None:
    """Send an id that the first process has had to the second one, beside it and after its end, and one that it never read."""
    first, first_process = await processes.start()
    await harness.request("safe", X_Call_Id="before")
    kept = await harness.connect()
    await harness.request("safe", X_Call_Id="kept", connection=kept)
    _, second_process = await processes.start()
    first_process.terminate()
    await processes.until(first, lambda health: "200 OK" not in health)
    try:
        await repeat_ids(harness, kept, first_process)
    finally:
        second_process.terminate()
        await second_process.wait()


async def repeat_ids(harness: ProxyHarness, kept: Connection, first_process: asyncio.subprocess.Process) -> None:
    """Send ids again while the first process ends, and after its end."""
    assert await harness.request("safe", X_Call_Id="before") == "409  Connection: close"
    assert await kept[0].read() == b""
    assert await harness.request("safe", X_Call_Id="crossed", connection=kept) in ("closed without a word", "reset")
    assert await harness.request("safe", X_Call_Id="crossed") == "200 done"
    await first_process.wait()
    assert await harness.request("safe", X_Call_Id="kept") == "409  Connection: close"
    assert await harness.request("safe", X_Call_Id="new") == "200 done"


def test_id_that_the_other_process_has_had_is_refused(tmp_path: Path):
    """Guards against a request that runs twice across an upgrade, as its id comes again after its client has left. A client whose
    kept connection ended before its request was read sends it once more, and is served."""

    async def scenario(harness: ProxyHarness) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            harness.port = listener.getsockname()[1]
            await repeat_ids_across_a_takeover(harness, ProxyProcesses(harness, listener, tmp_path))

    run_scenario(scenario, ProxyHarness({"b": response()}))
