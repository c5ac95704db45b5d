"""Each path by which a request or health check reaches a backend, with the list gone stale on the way: nothing is sent.

However the list went stale (tests/policy/test_endpoint_staleness.py has each way), the paths read one deadline; here it is
brought forward.
"""

import asyncio
import socket
from typing import Any
from unittest import mock

from sloeferry.dispatch.send_guard import Refusal
from sloeferry.network import sockets
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import Scenario, ScenarioChecker


def make_stale(harness: InstrumentedHarness) -> None:
    """The list counts as stale from now on."""
    harness.dispatcher.endpoint_events.staleness.usable_until = 0.0


def was_refused(harness: InstrumentedHarness) -> bool:
    """Whether the send guard refused anything for a stale list."""
    return harness.dispatcher.guard.refusals[Refusal.LIST_STALE] > 0


def test_first_attempt(check_scenario: ScenarioChecker):
    """A request comes when the list is stale already.  It is rejected at once."""

    async def scenario(harness: InstrumentedHarness) -> None:
        make_stale(harness)
        await harness.request("safe")
        harness.record(f"refused for a stale list: {was_refused(harness)}")

    check_scenario(scenario, "stale_first", InstrumentedHarness({"b": response()}))


def test_after_connecting(check_scenario: ScenarioChecker):
    """The list goes stale while the connection to the backend comes up."""

    async def scenario(harness: InstrumentedHarness) -> None:
        connect = sockets.connect

        async def connect_and_make_stale(*arguments: Any) -> socket.socket | None:
            sock = await connect(*arguments)
            make_stale(harness)
            return sock

        with mock.patch("sloeferry.network.sockets.connect", connect_and_make_stale):
            await harness.request("once")
        harness.record(f"asked {harness.backends.requests_received}, refused {was_refused(harness)}")

    check_scenario(scenario, "stale_dial", InstrumentedHarness({"b": response()}))


def stale_before_first_byte(body: str = "") -> Scenario:
    """The list goes stale while the attempt waits right before its first byte."""

    async def scenario(harness: InstrumentedHarness) -> None:
        with harness.before_first_byte() as gate:
            call = asyncio.ensure_future(harness.request("once", body=body))
            await gate.reached.wait()
            make_stale(harness)
            gate.opened.set()
            await call
        harness.record(f"asked {harness.backends.requests_received}")

    return scenario


def test_after_a_wait(check_scenario: ScenarioChecker):
    """The list goes stale while the attempt waits right before its first byte, as after a stall."""
    check_scenario(stale_before_first_byte(), "stale_wait", InstrumentedHarness({"b": response()}))


def test_retry(check_scenario: ScenarioChecker):
    """The list goes stale while the first attempt is out, which fails.  There is no retry, though it would be safe."""

    async def scenario(harness: InstrumentedHarness) -> None:
        await harness.request("safe")
        harness.record(f"asked {harness.backends.requests_received}")

    def reject(number: int) -> bytes:
        make_stale(harness)
        return response("no", 503, "X-Rejected: 1")

    harness = InstrumentedHarness({"b": reject, "c": reject})
    check_scenario(scenario, "stale_retry", harness)


def test_upload(check_scenario: ScenarioChecker):
    """The list goes stale before the first byte of a streamed body."""
    check_scenario(stale_before_first_byte(body="x" * 200_000), "stale_upload", InstrumentedHarness({"b": response()}))


def test_health_check(check_scenario: ScenarioChecker):
    """A health check was commanded, and the list goes stale before it is written."""

    async def scenario(harness: InstrumentedHarness) -> None:
        dispatcher = harness.dispatcher
        with mock.patch.object(dispatcher, "health_check_ended", wraps=dispatcher.health_check_ended) as ended:
            make_stale(harness)
            dispatcher.host.send_health_check("b")
            await wait_until(lambda: ended.called)
        harness.record(f"asked {harness.backends.requests_received}")

    check_scenario(scenario, "stale_probe", InstrumentedHarness({"b": response()}, probing=True))


def test_hedge(check_scenario: ScenarioChecker):
    """A hedged request is due beside an attempt that is out.  None is begun by a stale list."""
    release = asyncio.Event()

    async def scenario(harness: InstrumentedHarness) -> None:
        call = asyncio.ensure_future(harness.request("safe"))
        await wait_until(lambda: harness.backends.requests_received)
        make_stale(harness)
        policy = harness.dispatcher.policy
        [request] = policy.requests.by_id.values()
        policy.table.candidates_chosen_at = -1e9
        now = request.attempts[0].overdue_at + 1
        policy.retries._review(now, request, request.attempts[0], True)
        harness.record(f"attempts {len(request.attempts)}, asked {harness.backends.requests_received}")
        release.set()
        await call

    check_scenario(scenario, "stale_hedge", InstrumentedHarness({"b": release, "c": release}, second_copies=True))
