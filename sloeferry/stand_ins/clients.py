"""Stand-in clients: they keep connections, send one request at a time on each, open more when all are busy, give up, retry."""

import asyncio
from collections.abc import Sequence
from functools import partial
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.client_connection import ClientConnection, NoResponse, Response
from sloeferry.stand_ins.client_requests import make_request, make_request_id
from sloeferry.stand_ins.connection_balancer import CONNECT_TIMEOUT_SECONDS, ConnectionBalancer, ProxyListener
from sloeferry.stand_ins.effect_log import ClientLog
from sloeferry.stand_ins.rules import Rule
from sloeferry.stand_ins.wire_protocol import RequestKind, RequestOutcome

if TYPE_CHECKING:
    from sloeferry.rehearsal.arrivals import PlannedRequest
    from sloeferry.rehearsal.scenario import Scenario

RECONNECT_SECONDS = 0.03  # until another connection is tried
MIN_CONNECT_SECONDS = 0.001
BACKOFF_SPREAD = (0.75, 1.25)


class TryResult(NamedTuple):
    """How one try ended, and what it was told to wait before the next."""

    outcome: RequestOutcome
    retry_after_seconds: float = 0.0


class StandInClients:
    """All clients of one zone."""

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
        self.open_request_count = 0  # requests whose client is not done with them
        self.pools: dict[int, list[ClientConnection]] = {}  # idle connections by client
        self._loop = loop
        self._scenario = scenario
        self._settings = scenario.clients
        self._zone = zone
        self._balancer = balancer
        self._log = log
        self._rng = rng

    def schedule_requests(self, now: float) -> None:
        """The play begins, at that time of the loop."""
        for planned in self.planned_requests:
            self._loop.call_at(now + planned.starts_at, self._start, planned)

    def _start(self, planned: "PlannedRequest") -> None:
        self.open_request_count += 1
        self._loop.create_task(self._carry(planned))

    async def _carry(self, planned: "PlannedRequest") -> None:
        """One request, with all the tries that its client gives it."""
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
            pause_seconds = settings.backoff_ms / 1000 * self._rng.uniform(*BACKOFF_SPREAD)
            if planned.honours_retry_after:
                pause_seconds = max(pause_seconds, result.retry_after_seconds)
            await asyncio.sleep(pause_seconds)
        self._log.request_ended(planned, result.outcome, self._loop.time())
        self.open_request_count -= 1

    async def _try(self, planned: "PlannedRequest", try_number: int) -> TryResult:
        """One try; a request that may have crossed the closing of an idle connection is sent once more, on a new one."""
        request_id = make_request_id(planned, try_number)
        deadline_ms = self._scenario.request_classes[planned.class_index].deadline_ms
        patience_seconds = planned.patience_ratio * deadline_ms / 1000
        is_sent_again = False
        while True:
            connection = await self._connect(planned.client, self._loop.time() + patience_seconds, is_sent_again)
            if connection is None:
                return TryResult(RequestOutcome.NOT_ACCEPTED)
            was_kept = connection.request_count > 0
            answer = await self._exchange(connection, planned, try_number, patience_seconds)
            if answer is None:
                return TryResult(RequestOutcome.NOT_ACCEPTED)
            if isinstance(answer, Response):
                return self._answered(connection, planned, request_id, answer)
            if answer is NoResponse.TIMED_OUT:
                return self._timed_out(connection, planned, request_id)
            may_have_crossed = was_kept and not connection.has_response_begun and not is_sent_again
            if not (may_have_crossed and self._log.may_send_again(request_id)):
                outcome = self._log.response_missing(request_id, self._loop.time(), "its connection ended")
                return TryResult(outcome)
            is_sent_again = True

    async def _connect(self, client: int, until: float, is_new_wanted: bool) -> ClientConnection | None:
        """A connection: one that is kept, or a new one while there is time."""
        pool = self.pools.setdefault(client, [])
        if pool and not is_new_wanted:
            connection = pool[-1]
            connection.leave_pool()
            return connection
        while self._loop.time() < until:
            place = self._balancer.pick(self._zone)
            connection = await self._open_connection(place, until) if place else None
            if connection:
                return connection
            await asyncio.sleep(RECONNECT_SECONDS)
        return None

    async def _open_connection(self, place: ProxyListener, until: float) -> ClientConnection | None:
        """A new connection to a proxy; None if it does not come up in time."""
        make = partial(ClientConnection, self._loop, place.name, self._unexpected_response)
        seconds_left = max(MIN_CONNECT_SECONDS, until - self._loop.time())
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, seconds_left)):
                _, connection = await self._loop.create_connection(make, *place.address)
                return connection
        except (OSError, TimeoutError):
            return None

    def _unexpected_response(self, connection: ClientConnection) -> None:
        self._log.violation(Rule.ONE_ANSWER, self._loop.time(), f"{connection.proxy} sent an answer more than it was asked for")

    async def _exchange(
        self, connection: ClientConnection, planned: "PlannedRequest", try_number: int, patience_seconds: float
    ) -> Response | NoResponse | None:
        """Sends one request and waits; None if the connection ended before its last byte was written: nobody has taken it."""
        request_id = make_request_id(planned, try_number)
        now = self._loop.time()
        self._log.request_started(request_id, planned, connection.proxy, now, now + patience_seconds)
        body_bytes = self._log.body_bytes(request_id)
        data = make_request(self._scenario, planned, try_number, patience_seconds * 1000, body_bytes, self._rng)
        if not await self._write(connection, data, planned.sends_slowly):
            return None
        now = self._loop.time()
        self._log.request_written(request_id, now, now + patience_seconds)
        if planned.leaves_early:
            return await connection.wait_for_response(patience_seconds / 2)
        return await connection.wait_for_response(patience_seconds + self._log.slack_seconds)

    async def _write(self, connection: ClientConnection, data: bytes, is_slow: bool) -> bool:
        """Whether all of it was written before the connection ended."""
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

    def _timed_out(self, connection: ClientConnection, planned: "PlannedRequest", request_id: bytes) -> TryResult:
        now = self._loop.time()
        if planned.leaves_early:
            connection.transport.abort()
            return TryResult(RequestOutcome.CLIENT_LEFT)
        connection.transport.close()
        return TryResult(self._log.response_missing(request_id, now, "its time was over"))

    def _answered(
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
            self._log.violation(Rule.PROTOCOL, now, f"Retry-After: {retry_after!r}")
            return TryResult(outcome)
