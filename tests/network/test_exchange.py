"""One attempt on the wire as another event comes.  docs/race-conditions.md names the two of each test."""

import asyncio
import contextlib
import select
import socket
import types
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from sloeferry.config.settings_reader import build_settings
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.network import sockets
from sloeferry.network.buffers import BufferPool
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.exchange import Exchange, ExchangePlan
from sloeferry.policy.interface import EndpointState
from tests.support.fake_backends import response
from tests.support.instrumented_harness import NEVER_SECONDS, Gate, InstrumentedHarness, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

FAR_AWAY_MS = 1e12  # a deadline that does not come
CUT_BODY_BYTES = 60_000


class ExchangeMaker:
    """Exchanges with the backend b, by a connection pool of their own."""

    def __init__(self, harness: ProxyHarness):
        self._loop = asyncio.get_running_loop()
        self._dispatcher = types.SimpleNamespace(record_loop_iteration=lambda: None)
        self.pool = ConnectionPool(self._loop, build_settings({"schemes.count": 1}), DescriptorBudget(9), BufferPool())
        self.pool.set_address("b", ("127.0.0.1", harness.backends.ports["b"]))

    def run(self, request: bytes, may_begin: bool = True) -> Awaitable[Any]:
        """Carries out that request."""
        plan = ExchangePlan("b", FAR_AWAY_MS, may_begin=lambda: may_begin, make_request=lambda: request)
        return Exchange(plan, self._dispatcher, self.pool, DeadlineTimers(self._loop)).run()


def end_number(end: AttemptEnd) -> int:
    """The number of an end in the golden files."""
    return list(AttemptEnd).index(end)


def test_endpoint_that_left_while_connecting(check_scenario: ScenarioChecker):
    """Rule 3 counts the first byte: an endpoint that left the list while its connection came up gets none."""

    async def scenario(harness: ProxyHarness) -> None:
        exchanges = ExchangeMaker(harness)
        for may_begin in (True, False):
            result = await exchanges.run(b"GET /x HTTP/1.1\r\n\r\n", may_begin)
            harness.record(f"wanted {may_begin}: reached {result.progress}, why {end_number(result.end)}")
        task = asyncio.get_running_loop().create_task(exchanges.run(b"GET /y HTTP/1.1\r\n\r\n"))
        await wait_until(lambda: harness.backends.requests_received == 2)
        task.cancel()
        result = await task
        kept = len(exchanges.pool.idle["b"])
        harness.record(f"withdrawn: reached {result.progress}, why {end_number(result.end)}, {kept} kept")

    check_scenario(scenario, "sockets_withdrawn", ProxyHarness({"b": lambda number: response() if number < 2 else None}))


def test_two_cancels_and_a_response(check_scenario: ScenarioChecker):
    """An attempt is cancelled twice in one turn of the loop, with its response there but not read.  It may have run, its
    connection is not kept, and the next attempt gets its own response."""

    async def scenario(harness: InstrumentedHarness) -> None:
        exchanges = ExchangeMaker(harness)
        connect = sockets.connect
        connected: list[socket.socket] = []

        async def connect_and_remember(*arguments: Any) -> socket.socket:
            connected.append(await connect(*arguments))
            return connected[-1]

        with mock.patch("sloeferry.network.sockets.connect", connect_and_remember):
            task = asyncio.get_running_loop().create_task(exchanges.run(b"GET /x HTTP/1.1\r\n\r\n"))
            await wait_until(lambda: harness.backends.requests_received == 1)
            harness.backends.writers[-1].write(response("first"))
            while not select.select(connected, [], [], 0)[0]:
                pass  # not one turn of the loop in between
            task.cancel()
            task.cancel()
            result = await task
            kept = len(exchanges.pool.idle.get("b", ()))
            harness.record(f"reached {result.progress}, why {end_number(result.end)}, answer {result.response}, kept {kept}")
            result = await exchanges.run(b"GET /y HTTP/1.1\r\n\r\n")
            harness.record(f"the next one's: {result.response.body()}, seats {exchanges.pool.budget.in_use}")

    check_scenario(
        scenario, "crossing_cancels", InstrumentedHarness({"b": lambda number: None if number == 1 else response("second")})
    )


@contextlib.contextmanager
def patched_connect(gate: Gate, is_held_before: Callable[[], Any], is_held_after: Callable[[], Any]) -> Any:
    """Holds a connection at a gate before or after it comes up, where the conditions say so."""
    connect = sockets.connect

    async def connect_at_gate(*arguments: Any) -> socket.socket | None:
        if is_held_before():
            await gate.wait_until_open()
        sock = await connect(*arguments)
        if is_held_after():
            await gate.wait_until_open()
        return sock

    with mock.patch("sloeferry.network.sockets.connect", connect_at_gate):
        yield


def test_moved_while_connecting(check_scenario: ScenarioChecker):
    """A backend is listed elsewhere while its connection comes up.  That address may be another's by now."""

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        with patched_connect(gate, is_held_before=lambda: False, is_held_after=lambda: not gate.reached.is_set()):
            request = asyncio.ensure_future(harness.request("once"))
            await gate.reached.wait()
            harness.pool.set_address("b", ("127.0.0.1", harness.backends.ports["c"]))
            gate.opened.set()
            await request

    check_scenario(scenario, "crossing_moved", InstrumentedHarness({"b": response("from b"), "c": response("from c")}))


def test_deduplication_window_ends_while_connecting(check_scenario: ScenarioChecker):
    """A deduplicated request's retry is connecting as the window ends in which a repeat is known.  It is not begun."""

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        with patched_connect(gate, lambda: harness.backends.requests_received, is_held_after=lambda: False):
            task = asyncio.ensure_future(harness.request("keyed"))
            await gate.reached.wait()
            [request] = harness.dispatcher.policy.requests.by_id.values()
            request.attempts[0].sent_at -= 2 * request.request_class.deduplication_window_ms
            gate.opened.set()
            await task
        harness.record(harness.residual_state().partition(", out")[0])

    check_scenario(scenario, "crossing_window", InstrumentedHarness({"b": b"", "c": b""}))


def test_cancelled_while_it_reads_the_body(check_scenario: ScenarioChecker):
    """An attempt is cancelled as the next piece of its body is waited for.  The wait is forgotten with it, or the sweep would end
    the response under way 3 s later."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=200000) + b"x" * 100000)
        connection = await client.wait_for_connection(lambda connection: connection.reader.receiving_body_since)
        harness.dispatcher.host.cancel_attempt(connection.request_runner.context.request_id, 0)
        await wait_until(lambda: not harness.dispatcher.requests)
        harness.record(f"its body is waited for still: {bool(connection.reader.receiving_body_since)}")
        client.close()

    check_scenario(scenario, "crossing_pull", InstrumentedHarness({"b": response()}))


def test_new_endpoint_at_the_same_address(check_scenario: ScenarioChecker):
    """An endpoint drains, vanishes, and another is listed at its address.  The new one is none of the former's."""

    async def scenario(harness: InstrumentedHarness) -> None:
        client = harness.discovery_client
        await harness.request("safe")
        harness.discovery.publish_endpoints(("b", "leaving"))
        await wait_until(lambda: client.known_endpoints["b"].state is EndpointState.DRAINING)
        await harness.request("safe")
        harness.backends.ports["new"] = harness.backends.ports["b"]
        harness.discovery.publish_endpoints("new")
        await wait_until(lambda: "new" in client.known_endpoints)
        await harness.request("safe")
        harness.record(f"kept connections of {list(harness.pool.idle)}; known {list(harness.dispatcher.policy.table.by_id)}")

    check_scenario(scenario, "crossing_new", InstrumentedHarness({"b": response()}, deadline_ms=300))


async def received_behind_cut(listener: socket.socket, request: asyncio.Future[str], harness: ProxyHarness) -> int:
    """Accepts a connection and reads nothing of it until the request is answered; the bytes that come then."""
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    harness.record(f"client gets: {await request}")
    byte_count = 0
    with contextlib.suppress(ConnectionResetError):
        while data := await loop.sock_recv(sock, 99999):
            byte_count += len(data)
    sock.close()
    return byte_count


def test_given_up_behind_a_cut(check_scenario: ScenarioChecker):
    """A backend reads nothing, as behind a network cut.  Its request is given up and answered; then the cut is over.  What the
    kernel still held of the request does not reach the backend any more."""

    async def scenario(harness: InstrumentedHarness) -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            harness.backends.ports["cut"] = listener.getsockname()[1]
            harness.discovery.publish_endpoints("cut")
            await wait_until(lambda: set(harness.discovery_client.known_endpoints) == {"cut"})
            data = harness.request_head(class_name="once", body_bytes=CUT_BODY_BYTES) + b"x" * CUT_BODY_BYTES
            request = asyncio.ensure_future(harness.send(data, is_recorded=False))
            byte_count = await received_behind_cut(listener, request, harness)
            harness.record(f"then the backend gets all of it: {byte_count > CUT_BODY_BYTES}")

    check_scenario(scenario, "crossing_cut", InstrumentedHarness({"b": response()}, deadline_ms=400))


class UnsettledHarness(InstrumentedHarness):
    """Each connection to a backend rests before it is used again."""

    DUPLICATE_WAIT_SECONDS = NEVER_SECONDS


def test_second_response(check_scenario: ScenarioChecker):
    """A connection just used rests before the next request goes out on it: a second response, still on its way, would pass for
    that one's.  So does the first of a process, which nothing has warned.  Cancelled meanwhile, the connection is kept."""

    async def scenario(harness: UnsettledHarness) -> None:
        backends = harness.backends
        await harness.request("safe", X_Call_Id="c1")
        [connection] = harness.pool.idle["b"]
        writer = backends.writers[-1]
        sleep = asyncio.sleep
        gate = Gate()
        with mock.patch("asyncio.sleep", lambda seconds: gate.wait_until_open() if seconds > 1 else sleep(seconds)):
            request = asyncio.ensure_future(harness.request("safe", X_Call_Id="c2"))
            await wait_until(lambda: gate.reached.is_set() or backends.requests_received == 2)  # it rests, or it went out
            writer.write(response("again"))
            await wait_until(lambda: connection.sock.fileno() < 0 or not sockets.is_open_and_idle(connection.sock))
            gate.opened.set()
            await request
            gate = Gate()
            client = await harness.send_raw(harness.request_head("c3"))
            await wait_until(lambda: gate.reached.is_set() or backends.requests_received == 3)
            client.connection().task.cancel()  # it carries its attempt itself
            gate.opened.set()
            await wait_until(lambda: not harness.dispatcher.requests)
        harness.record(f"kept: {len(harness.pool.idle['b'])}")
        client.close()

    check_scenario(scenario, "crossing_second", UnsettledHarness({"b": lambda number: response(f"answer {number}")}))
