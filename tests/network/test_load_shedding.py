"""Load shedding over loopback connections."""

import asyncio
from unittest import mock

from sloeferry.policy.overload_control import OverloadController
from tests.support.fake_backends import Script, response
from tests.support.proxy_harness import READY_REQUEST, ProxyHarness, ScenarioChecker, run_scenario

REQUEST_HEAD = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n"


def test_rejections_while_shedding(check_scenario: ScenarioChecker):
    """During load shedding, plain requests and requests that arrive in pieces are rejected with a Retry-After. Invalid requests
    still get a 4xx, and /ready is answered. Afterwards requests are served on the connections that were kept."""

    async def scenario(harness: ProxyHarness) -> None:
        with (
            mock.patch.object(OverloadController, "record_loop_lag"),
            mock.patch.object(OverloadController, "is_shedding", lambda self: True),
            mock.patch.object(OverloadController, "available_slots", lambda self: 1),
        ):
            kept = await harness.connect()
            with mock.patch.object(OverloadController, "retry_after_if_rejected_ms", lambda *_: 250.0):
                await harness.request("safe", connection=kept)
                await harness.request("once", "a body", kept)
                in_pieces = await harness.connect()
                in_pieces[1].write((REQUEST_HEAD + "Content-Length: 6\r\n\r\nin ").encode())
                await asyncio.sleep(0.02)
                await harness.send("two", in_pieces)
                await harness.send(REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
                await harness.send(REQUEST_HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")
                await harness.request("safe", X_Call_Class="unheard")
                await harness.send(READY_REQUEST)
            harness.record("-- let in")
            await harness.request("once", "a body", kept)
        harness.record("-- open")
        await harness.request("safe", connection=kept)
        await harness.request("once", "a body", in_pieces)

    check_scenario(scenario, "load_shedding", ProxyHarness({"b": response()}, retry_after=True))


def attempts_in_flight() -> int:
    """Return the number of attempts that the proxy in this loop is running."""
    return sum("Exchange.run" in repr(task.get_coro()) for task in asyncio.all_tasks())


def test_hedge_during_inline_attempt():
    """A command that arrives while the connection's own task runs an attempt is executed: here a hedge, because the first
    attempt gets no response. Each request is answered once."""
    is_next_silent = False

    def script(number: int) -> Script:
        nonlocal is_next_silent
        if is_next_silent:
            is_next_silent = False
            return None
        return response()

    async def scenario(harness: ProxyHarness) -> None:
        nonlocal is_next_silent
        for _ in range(4):  # so that the policy learns the usual latency
            await harness.request("safe")
        harness.record("-- the next attempt gets no response")
        is_next_silent = True
        await harness.request("safe")
        harness.record(f"answered, {attempts_in_flight()} attempts still in flight")

    harness = ProxyHarness({"b": script, "c": script}, second_copies=True, probing=True)
    run_scenario(scenario, harness)
    received = [line for line in harness.lines if line.startswith("client gets")]
    assert len(received) == 5
    assert received[-1] in ("client gets: 200 done", "client gets: 503 ", "client gets: 504 "), received
