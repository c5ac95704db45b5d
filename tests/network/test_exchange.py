"""Races between an exchange with a backend and another event.  docs/race-conditions.md lists the two events of each test."""

import asyncio
import contextlib
import select
import socket
import types
from collections.abc import Awaitable, Callable, Iterator
from typing import Any
from unittest import mock

import pytest

from sloeferry import environment
from sloeferry.config.settings_reader import build_settings
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.network import connection_pool, exchange, sockets
from sloeferry.network.buffers import BufferPool
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.exchange import Exchange, ExchangePlan
from sloeferry.network.memory_budget import MemoryBudget
from sloeferry.policy.interface import EndpointState
from tests.support.fake_backends import response
from tests.support.instrumented_harness import NEVER_SECONDS, Gate, InstrumentedHarness, wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker, run_scenario

NO_DEADLINE_MS = 1e12  # a deadline that is never reached
UNSENT_BODY_BYTES = 60_000  # more than the backend's receive buffer holds


class ExchangeMaker:
    """Runs exchanges with the backend b over a connection pool of its own."""

    def __init__(self, harness: ProxyHarness):
        self._loop = asyncio.get_running_loop()
        self._dispatcher = types.SimpleNamespace(record_loop_iteration=lambda: None)
        self.pool = ConnectionPool(
            self._loop, build_settings({"schemes.count": 1}), DescriptorBudget(9), BufferPool(), MemoryBudget(1 << 28)
        )
        self.pool.set_address("b", ("127.0.0.1", harness.backends.ports["b"]))

    def run(self, request: bytes, may_begin: bool = True, deadline: float = NO_DEADLINE_MS) -> Awaitable[Any]:
        """Run an exchange with that request and return its result."""
        plan = ExchangePlan("b", deadline, may_begin=lambda: may_begin, make_request=lambda: request)
        return Exchange(plan, self._dispatcher, self.pool, DeadlineTimers(self._loop)).run()


def end_number(end: AttemptEnd) -> int:
    """Return the number that stands for an end in the golden files."""
    return list(AttemptEnd).index(end)


def test_endpoint_removed_while_connecting(check_scenario: ScenarioChecker):
    """An endpoint that is removed from the list while a connection to it is established gets no byte.

    Rule 3 applies to the time of the first byte, not to that of the dial.
    """

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

    check_scenario(scenario, "exchange_endpoint_removed", ProxyHarness({"b": lambda number: response() if number < 2 else None}))


def test_cancelled_twice_with_unread_response(check_scenario: ScenarioChecker):
    """An attempt is cancelled twice in one loop iteration while its response is unread.

    It counts as possibly run, its connection is closed, and the next attempt gets its own response.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        exchanges = ExchangeMaker(harness)
        connect = sockets.connect
        connected: list[socket.socket] = []

        async def connect_and_record(*arguments: Any) -> socket.socket:
            connected.append(await connect(*arguments))
            return connected[-1]

        with mock.patch("sloeferry.network.sockets.connect", connect_and_record):
            task = asyncio.get_running_loop().create_task(exchanges.run(b"GET /x HTTP/1.1\r\n\r\n"))
            await wait_until(lambda: harness.backends.requests_received == 1)
            harness.backends.writers[-1].write(response("first"))
            while not select.select(connected, [], [], 0)[0]:
                pass  # wait without yielding to the event loop
            task.cancel()
            task.cancel()
            result = await task
            kept = len(exchanges.pool.idle.get("b", ()))
            harness.record(f"reached {result.progress}, why {end_number(result.end)}, answer {result.response}, kept {kept}")
            result = await exchanges.run(b"GET /y HTTP/1.1\r\n\r\n")
            harness.record(f"the next one's: {result.response.body()}, seats {exchanges.pool.budget.in_use}")

    check_scenario(
        scenario,
        "exchange_cancelled_twice",
        InstrumentedHarness({"b": lambda number: None if number == 1 else response("second")}),
    )


@contextlib.contextmanager
def patched_connect(gate: Gate, is_held_before: Callable[[], Any], is_held_after: Callable[[], Any]) -> Any:
    """Block connects at a gate, before or after the connection is established, while the conditions return true."""
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


def test_address_changes_while_connecting(check_scenario: ScenarioChecker):
    """A backend gets another address while a connection to the old one is established.

    Nothing is sent to the old address, which may belong to another backend by then.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        gate = Gate()
        with patched_connect(gate, is_held_before=lambda: False, is_held_after=lambda: not gate.reached.is_set()):
            request = asyncio.ensure_future(harness.request("once"))
            await gate.reached.wait()
            harness.pool.set_address("b", ("127.0.0.1", harness.backends.ports["c"]))
            gate.opened.set()
            await request

    check_scenario(scenario, "exchange_address_changes", InstrumentedHarness({"b": response("from b"), "c": response("from c")}))


def test_deduplication_window_ends_while_connecting(check_scenario: ScenarioChecker):
    """The deduplication window of a request ends while its retry is connecting.  The retry is not sent."""

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

    check_scenario(scenario, "exchange_deduplication_window_ends", InstrumentedHarness({"b": b"", "c": b""}))


def test_cancelled_while_reading_request_body(check_scenario: ScenarioChecker):
    """An attempt is cancelled while it waits for the next part of the request's body.

    The wait is cleared with it; otherwise the connection sweeper would end the response 3 s later.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        client = await harness.send_raw(harness.request_head(body_bytes=200000) + b"x" * 100000)
        connection = await client.wait_for_connection(lambda connection: connection.reader.receiving_body_since)
        harness.dispatcher.host.cancel_attempt(connection.request_runner.context.request_id, 0)
        await wait_until(lambda: not harness.dispatcher.requests)
        harness.record(f"its body is waited for still: {bool(connection.reader.receiving_body_since)}")
        client.close()

    check_scenario(scenario, "exchange_cancelled_reading_body", InstrumentedHarness({"b": response()}))


def test_new_endpoint_at_the_same_address(check_scenario: ScenarioChecker):
    """An endpoint drains and is removed, and another is listed at its address.

    The new endpoint takes over neither the connections nor the state of the old one.
    """

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

    check_scenario(scenario, "exchange_new_endpoint_same_address", InstrumentedHarness({"b": response()}, deadline_ms=300))


async def received_after_reply(listener: socket.socket, request: asyncio.Future[str], harness: ProxyHarness) -> int:
    """Accept a connection, read nothing until the client has its reply, and return how many bytes arrive after that."""
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    harness.record(f"client gets: {await request}")
    byte_count = 0
    with contextlib.suppress(ConnectionResetError):
        while data := await loop.sock_recv(sock, 99999):
            byte_count += len(data)
    sock.close()
    return byte_count


def test_unsent_bytes_are_discarded_on_timeout(check_scenario: ScenarioChecker):
    """A backend reads nothing, as during a network partition; its request times out, and then the backend reads again.

    The unsent rest of the request in the kernel's send buffer is discarded and does not reach the backend.
    """

    async def scenario(harness: InstrumentedHarness) -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            harness.backends.ports["cut"] = listener.getsockname()[1]  # the backend that reads nothing
            harness.discovery.publish_endpoints("cut")
            await wait_until(lambda: set(harness.discovery_client.known_endpoints) == {"cut"})
            data = harness.request_head(class_name="once", body_bytes=UNSENT_BODY_BYTES) + b"x" * UNSENT_BODY_BYTES
            request = asyncio.ensure_future(harness.send(data, is_recorded=False))
            byte_count = await received_after_reply(listener, request, harness)
            harness.record(f"then the backend gets all of it: {byte_count > UNSENT_BODY_BYTES}")

    check_scenario(scenario, "exchange_network_partition", InstrumentedHarness({"b": response()}, deadline_ms=400))


class EndlessDuplicateWaitHarness(InstrumentedHarness):
    """A proxy whose wait for duplicate responses lasts until the test ends it."""

    DUPLICATE_WAIT_SECONDS = NEVER_SECONDS


@contextlib.contextmanager
def duplicate_waits_at(gate: Gate) -> Iterator[None]:
    """Block waits for duplicate responses at a gate; once it is open, each connection has been idle for long enough."""
    sleep = asyncio.sleep

    async def wait_long_enough(seconds: float) -> None:
        if seconds <= 1:
            return await sleep(seconds)
        await gate.wait_until_open()
        connection_pool.DUPLICATE_RESPONSE_SECONDS = 0.0

    with (
        mock.patch("asyncio.sleep", wait_long_enough),
        mock.patch.object(connection_pool, "DUPLICATE_RESPONSE_SECONDS", NEVER_SECONDS),
    ):
        yield


def test_duplicate_response(check_scenario: ScenarioChecker):
    """A backend sends a duplicate response just after the first.

    The next request waits until no duplicate is due; otherwise it would get the duplicate as its response.  This holds for the
    first duplicate that a process sees, too.  An attempt that is cancelled during the wait leaves the connection in the pool.
    """

    async def scenario(harness: EndlessDuplicateWaitHarness) -> None:
        backends = harness.backends
        await harness.request("safe", X_Call_Id="c1")
        [connection] = harness.pool.idle["b"]
        writer = backends.writers[-1]
        gate = Gate()
        with duplicate_waits_at(gate):
            request = asyncio.ensure_future(harness.request("safe", X_Call_Id="c2"))
            await wait_until(lambda: gate.reached.is_set() or backends.requests_received == 2)  # it waits, or was sent
            writer.write(response("again"))
            await wait_until(lambda: connection.sock.fileno() < 0 or not sockets.is_open_and_idle(connection.sock))
            gate.opened.set()
            await request
        gate = Gate()
        with duplicate_waits_at(gate):
            client = await harness.send_raw(harness.request_head("c3"))
            await wait_until(lambda: gate.reached.is_set() or backends.requests_received == 3)
            client.connection().task.cancel()  # this task runs the attempt inline
            gate.opened.set()
            await wait_until(lambda: not harness.dispatcher.requests)
        harness.record(f"kept: {len(harness.pool.idle['b'])}")
        client.close()

    check_scenario(
        scenario, "exchange_duplicate_response", EndlessDuplicateWaitHarness({"b": lambda number: response(f"answer {number}")})
    )


async def run_health_check(harness: InstrumentedHarness) -> None:
    """Send a health check to the backend b and wait for its end."""
    dispatcher = harness.dispatcher
    with mock.patch.object(dispatcher, "health_check_ended", wraps=dispatcher.health_check_ended) as ended:
        dispatcher.host.send_health_check("b")
        await wait_until(lambda: ended.called)


@pytest.mark.parametrize("has_duplicate", [True, False], ids=["duplicate", "no_duplicate"])
def test_duplicate_response_before_health_check(check_scenario: ScenarioChecker, has_duplicate: bool):
    """Guards against a client that gets a load report: a duplicate response was read as that of a health check.

    The health check waits until no duplicate is due.  Where none comes, it uses the connection of the request before.
    """
    report_due = asyncio.Event()

    async def scenario(harness: EndlessDuplicateWaitHarness) -> None:
        backends = harness.backends
        backends.late_response = response('{"inflight": 0}')
        await harness.request("safe", X_Call_Id="c1")
        [connection] = harness.pool.idle["b"]
        gate = Gate()
        with duplicate_waits_at(gate):
            check = asyncio.ensure_future(run_health_check(harness))
            await wait_until(lambda: gate.reached.is_set() or backends.requests_received == 2)  # it waits, or was sent
            if has_duplicate:
                backends.writers[0].write(response("answer 1"))
                await wait_until(lambda: check.done() or not sockets.is_open_and_idle(connection.sock))
            gate.opened.set()
            await wait_until(lambda: check.done() or backends.requests_received == 2)
            request = asyncio.ensure_future(harness.request("safe", X_Call_Id="c2"))
            await wait_until(lambda: check.done() or backends.requests_received == 3)
            report_due.set()
            await request
            await check
        harness.record(f"connections: {backends.connection_counts['b']}")

    def reply(number: int) -> Any:
        return report_due if number == 2 else response(f"answer {number}")

    name = "exchange_duplicate_before_health_check" if has_duplicate else "exchange_no_duplicate_before_health_check"
    check_scenario(scenario, name, EndlessDuplicateWaitHarness({"b": reply}))


@pytest.mark.parametrize(
    ("body", "is_kept"), [('{"inflight": 0}', True), ("answer to an earlier request", False)], ids=["report", "other"]
)
def test_health_check_answered_with_something_else(check_scenario: ScenarioChecker, body: str, is_kept: bool):
    """Guards against shifted answers: a connection on which a health check got no load report may still owe it that report."""

    async def scenario(harness: InstrumentedHarness) -> None:
        await run_health_check(harness)
        harness.record(f"kept as expected: {len(harness.pool.idle.get('b', ())) == is_kept}")

    check_scenario(scenario, "exchange_health_check_form", InstrumentedHarness({"b": response(body)}))


def test_wait_for_duplicates_ends_by_the_clock():
    """Guards against a wait that a timer ends early: the event loop's timers may fire before the time that they were set to."""

    async def scenario(harness: EndlessDuplicateWaitHarness) -> None:
        await harness.request("safe", X_Call_Id="c1")
        [connection] = harness.pool.idle["b"]
        waits: list[float] = []

        async def end_early(seconds: float) -> None:
            waits.append(seconds)
            if len(waits) == 3:
                connection.idle_since -= NEVER_SECONDS

        connection.mark_in_use()
        with mock.patch("asyncio.sleep", end_early):
            assert await harness.pool._wait_for_duplicates(connection)
        assert len(waits) == 3
        connection.finish(keep_alive=True)

    run_scenario(scenario, EndlessDuplicateWaitHarness({"b": response()}))


def test_response_begun_before_the_deadline_is_forwarded():
    """Guards against a response of unknown length being cut off whose first bytes come just before the deadline."""

    async def scenario(harness: InstrumentedHarness) -> None:
        exchanges = ExchangeMaker(harness)
        exchanges.pool.max_pause_seconds = NEVER_SECONDS
        with mock.patch.object(exchange, "MAX_HOLD_BACK_SECONDS", NEVER_SECONDS):
            result = await exchanges.run(b"GET /x HTTP/1.1\r\n\r\n", deadline=environment.monotonic_ms() + 500)
        assert result.response.body_stream is not None
        assert result.response.take_body() == b"first"
        result.response.body_stream.close()

    begun = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"
    run_scenario(scenario, InstrumentedHarness({"b": begun}))


@pytest.mark.parametrize("has_surplus", [True, False], ids=["surplus", "none"])
def test_surplus_bytes_prolong_the_wait_for_duplicates(has_surplus: bool):
    """Guards against a delayed duplicate response: where one was seen, the wait is longer; elsewhere it stays as it is."""

    async def scenario(harness: EndlessDuplicateWaitHarness) -> None:
        await harness.request("safe", X_Call_Id="c1")
        pool = harness.pool
        [connection] = pool.idle["b"]
        if has_surplus:
            harness.backends.writers[-1].write(response("again"))
            await wait_until(lambda: not sockets.is_open_and_idle(connection.sock))
            await harness.request("safe", X_Call_Id="c2")
        factor = connection_pool.DELAYED_DUPLICATE_MULTIPLE if has_surplus else 1
        assert pool._duplicate_seconds() == NEVER_SECONDS * factor

    run_scenario(scenario, EndlessDuplicateWaitHarness({"b": response()}))


def test_connection_ends_while_catching_up():
    """Guards against writing to a connection that its backend ended while the process caught up after a stall."""

    async def scenario(harness: InstrumentedHarness) -> None:
        exchanges = ExchangeMaker(harness)
        assert (await exchanges.run(b"GET /x HTTP/1.1\r\n\r\n")).response is not None
        [connection] = exchanges.pool.idle["b"]

        async def catch_up() -> None:
            exchanges._dispatcher.record_loop_iteration = lambda: None
            harness.backends.writers[-1].close()
            await wait_until(lambda: not sockets.is_open_and_idle(connection.sock))

        exchanges._dispatcher.record_loop_iteration = lambda: asyncio.ensure_future(catch_up())
        assert (await exchanges.run(b"GET /y HTTP/1.1\r\n\r\n")).response is not None

    run_scenario(scenario, InstrumentedHarness({"b": response()}))


def test_surplus_bytes_found_by_the_sweep_prolong_the_wait():
    """Guards against a delayed duplicate response where the pool's sweep, and no request, finds the first one."""

    async def scenario(harness: EndlessDuplicateWaitHarness) -> None:
        await harness.request("safe", X_Call_Id="c1")
        pool = harness.pool
        [connection] = pool.idle["b"]
        harness.backends.writers[-1].write(response("again"))
        await wait_until(lambda: not sockets.is_open_and_idle(connection.sock))
        pool.max_idle_seconds = 0.01
        sweep = asyncio.ensure_future(pool.sweep())
        await wait_until(lambda: not pool.idle["b"])
        sweep.cancel()
        assert pool._duplicate_seconds() == NEVER_SECONDS * connection_pool.DELAYED_DUPLICATE_MULTIPLE

    run_scenario(scenario, EndlessDuplicateWaitHarness({"b": response()}))
