"""Invalid requests, request ids that are in flight, and clients that disconnect."""

import asyncio
from unittest import mock

from tests.support.fake_backends import response
from tests.support.instrumented_harness import wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

BAD_HEADERS = {"X_Call_Id": None, "X_Call_Class": "unheard", "X_Caller": "nobody", "X_Budget_Ms": "soon", "Host": None}
GOOD_HEAD = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c9\r\nX-Call-Class: once\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n"
BAD_REQUESTS = (
    b"\x00\xff\x16\x03\x01 nonsense\r\n\r\n",
    "GET / HTTP/1.1\r\nbad header\r\n\r\n",
    "POST /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET /" + "x" * 20000 + " HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.1\r\n" + "A: b\r\n" * 5000 + "\r\n",
    "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + "x" * 70000,
    # None of these ends or has a valid length; they must be refused without waiting for more than the head.
    "GET / HTTP/1.1\r\nEndless: " + "x" * 40000,
    "GET / HTTP/1.1\r\n" + "y" * 40000,
    GOOD_HEAD + "Transfer-Encoding: chunked\r\n\r\n1;" + "x" * 40000,
    GOOD_HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + "A: b\r\n" * 9000,
    GOOD_HEAD + "Content-Length: 90000000\r\n\r\nx",
    GOOD_HEAD.replace("once", "unheard") + "Content-Length: 9\r\n\r\n",
    GOOD_HEAD + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GOOD_HEAD,
    GOOD_HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + GOOD_HEAD,
    GOOD_HEAD + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    GOOD_HEAD + "Content-Length: 3, 3\r\n\r\nabc",
    GOOD_HEAD + "Content-Length: +3\r\n\r\nabc",
)
HALF_REQUESTS = ("", "GET /api HTTP/1.1\r\nX-Call", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nxx")


def test_bad_requests_get_4xx_or_close(check_scenario: ScenarioChecker):
    """Each invalid request gets a 4xx or a closed connection, and the next valid request is served."""

    async def scenario(harness: ProxyHarness) -> None:
        for name, value in BAD_HEADERS.items():
            await harness.request("safe", **{name: value})
        await harness.request("keyed", Idempotency_Key=None)
        await harness.request("safe", X_Budget_Ms="-1")
        await harness.request("safe", X_Budget_Ms="²")
        for text in BAD_REQUESTS:
            harness.record(f"client sends: {text[:30]!r} .. {text[-30:]!r}")
            await harness.send(text)
        with mock.patch("sloeferry.network.connection_sweeper.READ_TIMEOUT_SECONDS", 0.1):
            for part in HALF_REQUESTS[:2]:
                reader, writer = await harness.connect()
                writer.write(part.encode())
                harness.record(f"client sends: {part!r}, then waits: {await reader.read()!r}")
        for part in HALF_REQUESTS:
            _, writer = await harness.connect()
            writer.write(part.encode())
            writer.close()  # in the middle of a request
        await harness.request("safe")

    check_scenario(scenario, "bad_requests", ProxyHarness({"b": response()}))


def test_repeated_request_id_is_refused(check_scenario: ScenarioChecker):
    """A request id is refused a second time, while it is in flight and once it is answered; a new one is served."""
    release = asyncio.Event()

    async def scenario(harness: ProxyHarness) -> None:
        first = asyncio.get_running_loop().create_task(harness.request("once"))
        await wait_until(lambda: harness.backends.requests_received)
        await harness.request("safe")
        await harness.request("once")
        release.set()
        await first
        await harness.request("safe")
        await harness.request("safe", X_Call_Id="c2")

    harness = ProxyHarness({"b": lambda number: release if number == 1 else response()})
    harness.keeps_request_ids = True
    check_scenario(scenario, "open_request_id", harness)


def test_disconnect_affects_no_other_client(check_scenario: ScenarioChecker):
    """A client that disconnects while its request is in flight does not affect other clients."""

    async def scenario(harness: ProxyHarness) -> None:
        _, writer = await harness.connect()
        writer.write(
            b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c0\r\nX-Call-Class: once\r\n"
            b"X-Caller: acme\r\nX-Budget-Ms: 900\r\nContent-Length: 0\r\n\r\n"
        )
        await wait_until(lambda: harness.backends.requests_received)
        writer.transport.abort()
        await harness.request("safe")

    check_scenario(scenario, "client_disconnect", ProxyHarness({"b": lambda number: response() if number > 1 else None}))
