"""Graceful shutdown on SIGTERM, also while other events occur."""

import asyncio
import contextlib
import json
import os
import re
import signal
from pathlib import Path
from unittest import mock

import pytest

from sloeferry.network import listener
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, QuietBackendsHarness, RawClient, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker


def test_graceful_shutdown(check_scenario: ScenarioChecker):
    """After SIGTERM, requests in flight and new requests are answered, and then the process exits."""
    release = asyncio.Event()

    async def scenario(harness: ProxyHarness) -> None:
        idle, fresh = await harness.connect(), await harness.connect()
        await harness.request("safe", connection=idle)
        in_flight = asyncio.get_running_loop().create_task(harness.request("safe", X_Call_Id="c0"))
        await wait_until(lambda: harness.backends.requests_received == 2)
        os.kill(os.getpid(), signal.SIGTERM)
        harness.record("SIGTERM")
        harness.record(f"the idle connection ends: {await idle[0].read() == b''}")
        await harness.request("safe", connection=fresh)
        await harness.request("safe")
        release.set()
        await in_flight
        await harness.proxy_task
        harness.record("the program has ended")

    check_scenario(scenario, "graceful_shutdown", ProxyHarness({"b": lambda number: release if number == 2 else response()}))


def test_sigterm_with_exhausted_descriptors(check_scenario: ScenarioChecker):
    """A client that connected and sent a request while all descriptors were in use is served after SIGTERM, not reset."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        harness.clients.budget.limit = 1
        await wait_until(lambda: not harness.clients.connections)
        busy = asyncio.ensure_future(harness.send(harness.request_head("c1"), is_recorded=False))
        await wait_until(lambda: harness.backends.requests_received)
        client = await harness.send_raw(harness.request_head("last"))
        with (
            mock.patch("sloeferry.network.client_shutdown.NEW_CONNECTION_GRACE_SECONDS", 0.02),
            mock.patch("sloeferry.network.client_shutdown.LAST_REQUEST_GRACE_SECONDS", 0.02),
        ):
            os.kill(os.getpid(), signal.SIGTERM)
            client_listener = harness.clients.listener
            with mock.patch.object(client_listener, "accept", wraps=client_listener.accept) as accept:
                # The last accept call before the listener is closed.
                await wait_until(lambda: mock.call(listener.BACKLOG) in accept.call_args_list)
                release.set()
                await busy
                with contextlib.suppress(OSError):
                    await client.record_received(15)
                await harness.proxy_task
        client.close()
        harness.record("the program has ended")

    check_scenario(scenario, "sigterm_descriptors_exhausted", QuietBackendsHarness({"b": lambda number: release}, descriptors=64))


def test_sigterm_with_pipelined_request(check_scenario: ScenarioChecker):
    """On SIGTERM a request is in flight and the next one of the same connection has been read.  The second is also answered, and
    the connection is closed after it."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        loop = asyncio.get_running_loop()
        client = await harness.send_raw(harness.request_head("c1") + harness.request_head("c2"))
        await wait_until(lambda: harness.backends.requests_received)
        await harness.stop_proxy()
        release.set()
        received = b""
        while more := await loop.sock_recv(client.sock, 999):
            received += more
        client.close()
        harness.record(f"client gets: {re.findall(rb'HTTP.*|Connection.*', received)}")

    check_scenario(
        scenario, "sigterm_pipelined_request", InstrumentedHarness({"b": lambda number: release if number == 1 else response()})
    )


async def send_all_but_last_byte(harness: InstrumentedHarness, byte_count: int) -> RawClient:
    """Send a request except for its last byte, and return once the proxy has begun to read it."""
    client = await harness.send_raw(harness.request_head(f"c{byte_count}", body_bytes=byte_count) + b"x" * (byte_count - 1))
    await client.wait_for_connection(lambda connection: connection.stream.has_begun)
    return client


def test_last_byte_long_after_sigterm(check_scenario: ScenarioChecker):
    """A request's last byte arrives so late after SIGTERM that SIGKILL may precede its deadline.  The response is sent before
    SIGKILL may come, also for a streamed body."""

    async def scenario(harness: InstrumentedHarness) -> None:
        dispatcher = harness.dispatcher
        clients = [await send_all_but_last_byte(harness, byte_count) for byte_count in (4, 200000)]
        await wait_until(lambda: dispatcher.requests)
        with (
            mock.patch("sloeferry.network.client_shutdown.KILL_DELAY_SECONDS", -harness.deadline_ms / 2000),
            mock.patch.object(dispatcher, "accept_request", wraps=dispatcher.accept_request) as accept_request,
            mock.patch.object(dispatcher, "body_received", wraps=dispatcher.body_received) as body_received,
        ):
            await harness.stop_proxy()
            for client in clients:
                client.sock.send(b"x")
                await client.record_received(15)
                client.close()
        times_left_ms = [call.args[2] for call in accept_request.call_args_list]
        times_left_ms += [call.args[1] for call in body_received.call_args_list]
        harness.record(f"in half of their time: {[time_left <= harness.deadline_ms / 2 for time_left in times_left_ms]}")

    check_scenario(scenario, "sigterm_late_last_byte", QuietBackendsHarness({"b": response()}))


def test_simultaneous_signals_while_shedding(check_scenario: ScenarioChecker, tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    """SIGTERM twice and SIGHUP arrive at the same time, while load is shed and a request is queued unread.  The request is
    answered, and the process exits."""

    async def scenario(harness: InstrumentedHarness) -> None:
        config_file = tmp_path / "config.json"
        config_file.write_text(json.dumps(harness.config))
        monkeypatch.setenv("BALANCER_CONFIG", str(config_file))
        harness.dispatcher.overload.concurrency_limit = 0.0
        client = await harness.send_raw(harness.request_head())
        await wait_until(lambda: harness.clients.admission_queue.waiting)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        await client.record_received(15)
        await harness.proxy_task
        client.close()
        harness.record("the program has ended")

    check_scenario(scenario, "sigterm_and_sighup", InstrumentedHarness({"b": response()}))
