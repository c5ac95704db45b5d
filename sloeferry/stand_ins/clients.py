"""Stand-in clients that keep connections alive, send one request at a time on each, time out and retry.

A client opens a further connection when all of its connections are busy.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from functools import partial
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.bad_clients import OtherRequest
from sloeferry.stand_ins.client_connection import ClientConnection, NoResponse, Response
from sloeferry.stand_ins.client_requests import make_request, make_request_id
from sloeferry.stand_ins.connection_balancer import CONNECT_TIMEOUT_SECONDS, ConnectionBalancer, ProxyListener
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.run_observer import ClientLog
from sloeferry.stand_ins.wire_protocol import RequestKind, RequestOutcome

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest
    from sloeferry.rehearsal.scenario import Scenario

RECONNECT_DELAY_SECONDS = 0.03
MAX_SENT_REQUESTS = 64
MIN_CONNECT_TIMEOUT_SECONDS = 0.001
BACKOFF_JITTER_RANGE = (0.75, 1.25)


class TryResult(NamedTuple):
    """The outcome of one try, and the Retry-After time of its response."""

    outcome: RequestOutcome
    retry_after_seconds: float = 0.0


class StandInClients:
    """All clients of one zone, with their connections and their planned requests."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scenario: "Scenario",
        zone: str,
        planned_requests: Sequence["PlannedRequest"],
        balancer: ConnectionBalancer,
        log: ClientLog,
        rng: Random,
    ):
        self.planned_requests = planned_requests
        self.open_request_count = 0  # requests that have started and are not finished
        self.pools: dict[int, list[ClientConnection]] = {}  # idle connections by client
        self.sent_requests: deque[OtherRequest] = deque(maxlen=MAX_SENT_REQUESTS)  # the last ones
        self._loop = loop
        self._scenario = scenario
        self._settings = scenario.clients
        self._zone = zone
        self._balancer = balancer
        self._log = log
        self._rng = rng

    def schedule_requests(self, now: float) -> None:
        """Schedule all planned requests, relative to the time `now` of the event loop."""
        for planned in self.planned_requests:
            self._loop.call_at(now + planned.starts_at, self._start_request, planned)

    def _start_request(self, planned: "PlannedRequest") -> None:
        self.open_request_count += 1
        self._loop.create_task(self._send_with_retries(planned))

    async def _send_with_retries(self, planned: "PlannedRequest") -> None:
        """Send a request and its retries, and log its final outcome."""
        settings, kind = self._settings, self._scenario.request_classes[planned.class_index].kind
        planned.first_sent_at = self._loop.time()
        for try_number in range(settings.max_retries + 1):
            result = await self._try(planned, try_number)
            planned.try_count += 1
            is_final = result.outcome in (RequestOutcome.SERVED, RequestOutcome.CLIENT_LEFT)
            if is_final or try_number == settings.max_retries:
                break
            never_ran = result.outcome in (RequestOutcome.REJECTED, RequestOutcome.NOT_ACCEPTED)
            if kind == RequestKind.NON_IDEMPOTENT and not never_ran:
                break
            pause_seconds = settings.backoff_ms / 1000 * self._rng.uniform(*BACKOFF_JITTER_RANGE)
            if planned.honours_retry_after:
                pause_seconds = max(pause_seconds, result.retry_after_seconds)
            await asyncio.sleep(pause_seconds)
        self._log.request_ended(planned, result.outcome, self._loop.time())
        self.open_request_count -= 1

    async def _try(self, planned: "PlannedRequest", try_number: int) -> TryResult:
        """Send one try and return its result.

        A request that was sent while the proxy may have been closing an idle connection is sent once more, on a new connection.
        """
        request_id = make_request_id(planned, try_number)
        deadline_ms = self._scenario.request_classes[planned.class_index].deadline_ms
        timeout_seconds = planned.patience_ratio * deadline_ms / 1000
        is_sent_again = False
        while True:
            connection = await self._connect(planned.client, self._loop.time() + timeout_seconds, is_sent_again)
            if connection is None:
                return TryResult(RequestOutcome.NOT_ACCEPTED)
            was_reused = connection.request_count > 0
            response = await self._exchange(connection, planned, try_number, timeout_seconds)
            if response is None:
                return TryResult(RequestOutcome.NOT_ACCEPTED)
            if isinstance(response, Response):
                return self._handle_response(connection, planned, request_id, response)
            if response is NoResponse.TIMED_OUT:
                return self._handle_timeout(connection, planned, request_id)
            may_be_closing_race = was_reused and not connection.has_response_begun and not is_sent_again
            if not (may_be_closing_race and self._log.may_send_again(request_id)):
                outcome = self._log.response_missing(request_id, self._loop.time(), "its connection ended")
                return TryResult(outcome)
            is_sent_again = True

    async def _connect(self, client: int, until: float, needs_new_connection: bool) -> ClientConnection | None:
        """Return an idle connection of the client, or open one; return None if none could be opened until the given time."""
        pool = self.pools.setdefault(client, [])
        if pool and not needs_new_connection:
            connection = pool[-1]
            connection.leave_pool()
            return connection
        while self._loop.time() < until:
            listener = self._balancer.pick(self._zone)
            connection = await self._open_connection(listener, until) if listener else None
            if connection:
                return connection
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)
        return None

    async def _open_connection(self, listener: ProxyListener, until: float) -> ClientConnection | None:
        """Open a connection to a proxy; return None if it fails or takes too long."""
        protocol_factory = partial(ClientConnection, self._loop, listener.name, self._unexpected_response)
        seconds_left = max(MIN_CONNECT_TIMEOUT_SECONDS, until - self._loop.time())
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, seconds_left)):
                _, connection = await self._loop.create_connection(protocol_factory, *listener.address)
                return connection
        except (OSError, TimeoutError):
            return None

    def _unexpected_response(self, connection: ClientConnection) -> None:
        self._log.rule_violated(Rule.ONE_ANSWER, self._loop.time(), f"{connection.proxy} sent a response without a request")

    async def _exchange(
        self, connection: ClientConnection, planned: "PlannedRequest", try_number: int, timeout_seconds: float
    ) -> Response | NoResponse | None:
        """Send one request and wait for its response.

        Return None if the connection ended before the last byte was written: no proxy has accepted the request then.
        """
        request_id = make_request_id(planned, try_number)
        now = self._loop.time()
        self._log.request_started(request_id, planned, connection.proxy, now, now + timeout_seconds)
        body_bytes = self._log.body_bytes(request_id)
        data = make_request(self._scenario, planned, try_number, timeout_seconds * 1000, body_bytes, self._rng)
        if not await self._write(connection, data, planned.sends_slowly):
            return None
        now = self._loop.time()
        self._log.request_written(request_id, now, now + timeout_seconds)
        address = next(each.address for each in self._balancer.listeners if each.name == connection.proxy)
        self.sent_requests.append(OtherRequest(request_id.decode(), data, connection.proxy, tuple(address), now))
        if planned.leaves_early:
            return await connection.wait_for_response(timeout_seconds / 2)
        return await connection.wait_for_response(timeout_seconds + self._log.slack_seconds)

    async def _write(self, connection: ClientConnection, data: bytes, is_slow: bool) -> bool:
        """Write a request, byte by byte if slow; return False if the connection ended before all of it was written."""
        if not is_slow:
            connection.send_request(data)
            return True
        connection.send_request(data[:1])
        for position in range(1, len(data)):
            await asyncio.sleep(self._settings.slow_byte_ms / 1000)
            if connection.is_closed:
                return False
            connection.transport.write(data[position : position + 1])
        return True

    def _handle_timeout(self, connection: ClientConnection, planned: "PlannedRequest", request_id: bytes) -> TryResult:
        now = self._loop.time()
        if planned.leaves_early:
            connection.transport.abort()
            return TryResult(RequestOutcome.CLIENT_LEFT)
        connection.transport.close()
        return TryResult(self._log.response_missing(request_id, now, "its time was over"))

    def _handle_response(
        self, connection: ClientConnection, planned: "PlannedRequest", request_id: bytes, response: Response
    ) -> TryResult:
        now = self._loop.time()
        if response.fields.get(wire_protocol.CONNECTION, b"").lower() == b"close":
            connection.transport.close()
        else:
            connection.enter_pool(self.pools[planned.client], self._settings.idle_timeout_seconds)
        outcome = self._log.response_received(request_id, now, response.status, response.body)
        retry_after = response.fields.get(wire_protocol.RETRY_AFTER, b"0")
        try:
            return TryResult(outcome, float(retry_after))
        except ValueError:
            self._log.rule_violated(Rule.PROTOCOL, now, f"Retry-After: {retry_after!r}")
            return TryResult(outcome)
