"""Nothing is sent on any path of a request or health check if the endpoint list becomes stale before the first byte.

All paths read the same deadline of the list, whatever the cause of the staleness; the tests move it forward.  The causes are
tested in tests/policy/test_endpoint_staleness.py.
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
    """Make the list count as stale from now on."""
    harness.dispatcher.endpoint_events.staleness.usable_until = 0.0


def was_refused(harness: InstrumentedHarness) -> bool:
    """Return whether the send guard refused anything because of a stale list."""
    return harness.dispatcher.guard.refusals[Refusal.LIST_STALE] > 0


def test_request_on_stale_list_is_rejected(check_scenario: ScenarioChecker):
    """A request that arrives while the list is stale is rejected at once."""

    async def scenario(harness: InstrumentedHarness) -> None:
        make_stale(harness)
        await harness.request("safe")
        harness.record(f"refused for a stale list: {was_refused(harness)}")

    check_scenario(scenario, "stale_first", InstrumentedHarness({"b": response()}))


def test_list_becomes_stale_while_connecting(check_scenario: ScenarioChecker):
    """The list becomes stale while the connection to the backend is established; the attempt is refused."""

    async def scenario(harness: InstrumentedHarness) -> None:
        connect = sockets.connect

        async def connect_and_make_stale(*arguments: Any) -> socket.socket | None:
            sock = await connect(*arguments)
            make_stale(harness)
            return sock

        with mock.patch("sloeferry.network.sockets.connect", connect_and_make_stale):
            await harness.request("once")
        harness.record(f"asked {harness.backends.requests_received}, refused {was_refused(harness)}")

    check_scenario(scenario, "stale_while_connecting", InstrumentedHarness({"b": response()}))


def stale_before_first_byte(body: str = "") -> Scenario:
    """Return a scenario in which the list becomes stale while an attempt waits immediately before its first byte."""

    async def scenario(harness: InstrumentedHarness) -> None:
        with harness.before_first_byte() as gate:
            call = asyncio.ensure_future(harness.request("once", body=body))
            await gate.reached.wait()
            make_stale(harness)
            gate.opened.set()
            await call
        harness.record(f"asked {harness.backends.requests_received}")

    return scenario


def test_list_becomes_stale_before_first_byte(check_scenario: ScenarioChecker):
    """The list becomes stale while the attempt waits immediately before its first byte, as it does after a stall."""
    check_scenario(stale_before_first_byte(), "stale_wait", InstrumentedHarness({"b": response()}))


def test_list_becomes_stale_before_retry(check_scenario: ScenarioChecker):
    """The list becomes stale before the first attempt in flight fails; there is no retry, although it would be safe."""

    async def scenario(harness: InstrumentedHarness) -> None:
        await harness.request("safe")
        harness.record(f"asked {harness.backends.requests_received}")

    def reject(number: int) -> bytes:
        make_stale(harness)
        return response("no", 503, "X-Rejected: 1")

    harness = InstrumentedHarness({"b": reject, "c": reject})
    check_scenario(scenario, "stale_retry", harness)


def test_list_becomes_stale_before_streamed_body(check_scenario: ScenarioChecker):
    """The list becomes stale before the first byte of a request with a streamed body."""
    check_scenario(stale_before_first_byte(body="x" * 200_000), "stale_upload", InstrumentedHarness({"b": response()}))


def test_list_becomes_stale_before_health_check(check_scenario: ScenarioChecker):
    """The list becomes stale between the command and the first byte of a health check."""

    async def scenario(harness: InstrumentedHarness) -> None:
        dispatcher = harness.dispatcher
        with mock.patch.object(dispatcher, "health_check_ended", wraps=dispatcher.health_check_ended) as ended:
            make_stale(harness)
            dispatcher.host.send_health_check("b")
            await wait_until(lambda: ended.called)
        harness.record(f"asked {harness.backends.requests_received}")

    check_scenario(scenario, "stale_health_check", InstrumentedHarness({"b": response()}, probing=True))


def test_list_becomes_stale_before_hedged_request(check_scenario: ScenarioChecker):
    """The list becomes stale while an attempt is in flight; no hedged request is sent when one is due."""
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
