"""Forwarding of requests and responses, on loopback.  No result depends on how long anything takes."""

import asyncio
import re
from unittest import mock

from sloeferry.policy.policy import Policy
from tests.support.fake_backends import Script, response
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

LOAD_REPORT = 'X-Load-Report: {"inflight":1}'
REQUEST_HEAD = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\n"

# A backend's response to its first request, by the name of the case in the golden file.
BAD_RESPONSES = (
    ("cut", b""),
    ("erred", response("no", 500)),
    ("foreign", response("no", 429)),
    ("busy", response("no", 503)),
    ("rejected", response("no", 503, "X-Rejected: 1")),
    ("half", b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nhalf, Connection: close"),
    ("endless", b"HTTP/1.1 200 X\r\n\r\nno end told, Connection: close"),
    ("huge", response("x" * (1 << 22))),
    ("nonsense", b"220 who is there?\r\n\r\n"),
    # The connection stays open after these, and the proxy must not wait for more.
    ("3 GB", b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nx"),
    ("head without end", b"HTTP/1.1 200 X\r\n" + b"A: b\r\n" * 9000),
    ("1xx without end", b"HTTP/1.1 103 X\r\n\r\n" * 2000),
    ("length too long", b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nshort"),
    ("two lengths", b"HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
)
# Valid responses with surplus bytes after them, an interim response before them, or an unusual load report.
RESPONSES_WITH_MORE = (
    response("x" * 400000),
    response() + b"\x00\xff noise\r\n\r\n",
    response() * 2,
    response("done", 200, 'X-Load-Report: {"inflight":[[["no"'),
    response("done", 200, "X-Load-Report: 7"),
    b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + response(),
    response() + b"HT",
    response(),
)


def test_request_and_response_are_forwarded(check_scenario: ScenarioChecker):
    """Method, path, query, body, id and key are forwarded unchanged, as is the response; connections are reused."""

    async def scenario(harness: ProxyHarness) -> None:
        client = await harness.connect()
        await harness.request("keyed", "some body", client)
        await harness.request("safe", connection=client)
        await harness.request("safe", connection=client, X_Budget_Ms="99999999")

    check_scenario(scenario, "forwarding_unchanged", ProxyHarness({"b": response("done", 200, LOAD_REPORT)}))


class CaseHarness(ProxyHarness):
    """A proxy whose backends send one of the bad responses to their first request, or are unreachable."""

    def __init__(self, case: str, class_name: str, first_response: Script):
        def script(number: int) -> Script:
            return first_response if number == 1 else response()

        is_reachable = first_response is not None
        if is_reachable:
            super().__init__({"b": script, "c": script})
        else:
            super().__init__({}, cached_endpoints=["unreachable"])
        self.case = case
        self.class_name = class_name


def test_bad_response_is_retried_or_failed_by_progress(check_scenario: ScenarioChecker):
    """A backend fails in various ways on its first request, and the bytes written decide what follows.

    A non-idempotent request is rejected only if it has not run, and fails otherwise.  An idempotent one is retried at the other
    backend.  A backend's own 429 or 503 is never forwarded.
    """

    async def scenario(harness: CaseHarness) -> None:
        harness.record(f"-- {harness.case}")
        await harness.request(harness.class_name)

    cases = [CaseHarness(case, class_name, bad) for case, bad in BAD_RESPONSES for class_name in ("once", "safe")]
    cases.append(CaseHarness("refused", "once", None))
    check_scenario(scenario, "forwarding_bad_responses", *cases)


def test_surplus_bytes_after_a_response(check_scenario: ScenarioChecker):
    """A valid response is forwarded whatever its size, the bytes around it and its load report.

    A connection with surplus bytes after a response is closed.
    """

    async def scenario(harness: ProxyHarness) -> None:
        for _ in RESPONSES_WITH_MORE:
            await harness.request("once")

    check_scenario(scenario, "forwarding_surplus_bytes", ProxyHarness({"b": lambda number: RESPONSES_WITH_MORE[number - 1]}))


def test_silent_backend_times_out(check_scenario: ScenarioChecker):
    """A backend never responds.  The client gets a final response before its deadline."""

    async def scenario(harness: ProxyHarness) -> None:
        await harness.request("once")
        await asyncio.sleep(0.7)  # an attempt that timed out counts as in flight for as long again
        await harness.request("safe")

    check_scenario(scenario, "forwarding_silent_backend", ProxyHarness({"b": None}, deadline_ms=300))


def test_closed_idle_connection_is_not_reused(check_scenario: ScenarioChecker):
    """An idle connection that its backend has closed is detected before a request is written to it."""

    async def scenario(harness: ProxyHarness) -> None:
        for _ in range(3):
            await harness.request("once")
            for writer in harness.backends.writers:
                writer.close()
            await asyncio.sleep(0.05)  # until the close has arrived

    check_scenario(scenario, "forwarding_closed_idle_connection", ProxyHarness({"b": response()}))


def test_http_features_of_clients(check_scenario: ScenarioChecker):
    """Pipelining, chunked bodies, HTTP/1.0, Connection: close, Expect: 100-continue and a slow head are supported."""

    async def scenario(harness: ProxyHarness) -> None:
        pipelining = await harness.connect()
        first = (REQUEST_HEAD + "Content-Length: 3\r\n\r\none").encode()
        pipelining[1].write(harness.with_new_ids(first))  # with the next one, both at once
        await harness.send(REQUEST_HEAD + "Content-Length: 3\r\n\r\ntwo", pipelining)
        await harness.send(b"", pipelining)
        await harness.send(REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await harness.send(REQUEST_HEAD.replace("1.1", "1.0", 1) + "Content-Length: 0\r\n\r\n")
        await harness.send(REQUEST_HEAD + "Connection: close\r\nContent-Length: 0\r\n\r\n")
        expecting = await harness.connect()
        head = REQUEST_HEAD + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        expecting[1].write(harness.with_new_ids(head.encode()))
        harness.record((await expecting[0].readuntil(b"\r\n\r\n")).decode().strip())
        await harness.send("body", expecting)
        slow = await harness.connect()
        head = REQUEST_HEAD + "Content-Length: 4\r\n\r\n"
        for part in re.findall(rb"(?s).{1,40}", harness.with_new_ids(head.encode())):
            slow[1].write(part)
            await asyncio.sleep(0.001)
        await harness.send("drip", slow)

    chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nit\r\n3\r\n is\r\n0\r\n\r\n"
    check_scenario(scenario, "forwarding_http_features", ProxyHarness({"b": chunked}))


def test_failing_policy(check_scenario: ScenarioChecker):
    """The policy raises an exception, or never decides.

    Only the request concerned fails, with a response in time; the others are served.
    """

    async def scenario(harness: ProxyHarness) -> None:
        with mock.patch.object(Policy, "request_arrived", side_effect=ZeroDivisionError):
            await harness.request("once")
        with mock.patch.object(Policy, "request_arrived"):
            await harness.request("once")
        await harness.request("safe")
        with mock.patch.object(Policy, "attempt_ended", side_effect=ZeroDivisionError):
            await harness.request("safe")
        await harness.request("safe")

    check_scenario(scenario, "forwarding_failing_policy", ProxyHarness({"b": response()}, deadline_ms=300))
