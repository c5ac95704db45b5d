"""Worker process of open-loop clients: python -m sloeferry.load_testing.open_loop_clients, with its plan as JSON on stdin.

Each request is sent when it is due: on an idle connection, on a new connection, or on one of its own that is closed after
it.  While the maximum number of connections is in use, requests wait for a connection, and the newest gets the next one.  A
request waits for at most a quarter of its latency objective.  A client that gives up closes its connection.  The outcomes are
written as JSON to standard output.
"""

import asyncio
import gc
import json
import sys
from random import Random
from time import monotonic
from typing import Any

import uvloop

from sloeferry.load_testing.client_connection import ClientConnection, OpenLoopRequest, Response, encode_request
from sloeferry.load_testing.outcomes import Outcome, OutcomeCounts
from sloeferry.load_testing.plan import Arrival, LoadPlan, RequestClassLoad, arrivals
from sloeferry.stand_ins.wire_protocol import REJECTED_STATUSES, STATUS_OK

# A client waits this long after its request has expired, to distinguish an overdue response from a lost one.
LATE_RESPONSE_WAIT_SECONDS = 0.05
OVERDUE_TOLERANCE_SECONDS = 0.002  # a response is overdue this long after its deadline
DUE_CHECK_INTERVAL_SECONDS = 0.002  # maximum interval between checks for due requests
DUE_CHECKS_PER_SWEEP = 5
MAX_CONNECTION_WAIT_RATIO = 1 / 4  # of the latency objective
SEED_OFFSET = 7  # added to the plan's seed, which the arrivals are drawn from


class OpenLoopClients:
    """Clients of one worker process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: LoadPlan, address: tuple[str, int], starts_at: float):
        self._loop = loop
        self._plan = plan
        self._address = address
        self._starts_at = starts_at
        self._rng = Random(plan.seed + SEED_OFFSET)
        self._bodies = [b"x" * request_class.body_bytes for request_class in plan.request_classes]
        self._idle_connections: list[ClientConnection] = []
        self._waiting_requests: list[OpenLoopRequest] = []  # for a connection, the newest last
        self._open_requests: set[OpenLoopRequest] = set()
        self._open_connections = 0
        self._attempts = 0
        self.counts = OutcomeCounts()
        self.max_delay_seconds = 0.0  # largest delay between a request's due time and its start

    async def run(self) -> None:
        """Send all requests of the plan and wait for the last one to end."""
        upcoming = arrivals(self._plan)
        arrival = next(upcoming, None)
        check_count = 0
        while arrival or self._open_requests:
            now = monotonic()
            while arrival and self._starts_at + arrival.at_seconds <= now:
                self._start_request(arrival, now)
                arrival = next(upcoming, None)
            check_count += 1
            if check_count % DUE_CHECKS_PER_SWEEP == 0:
                self._finish_expired(monotonic())
            await asyncio.sleep(self._pause_seconds(arrival))
        for connection in self._idle_connections:
            connection.transport.close()

    def _pause_seconds(self, arrival: Arrival | None) -> float:
        if arrival is None:
            return DUE_CHECK_INTERVAL_SECONDS
        return min(DUE_CHECK_INTERVAL_SECONDS, max(0, self._starts_at + arrival.at_seconds - monotonic()))

    def _start_request(self, arrival: Arrival, now: float) -> None:
        due_at = self._starts_at + arrival.at_seconds
        self.max_delay_seconds = max(self.max_delay_seconds, now - self._starts_at - arrival.at_seconds)
        request = OpenLoopRequest(arrival, due_at)
        self._open_requests.add(request)
        self._start_attempt(request)

    def _request_class(self, request: OpenLoopRequest) -> RequestClassLoad:
        return self._plan.request_classes[request.arrival.class_index]

    def _max_connection_wait_seconds(self, request: OpenLoopRequest) -> float:
        return self._request_class(request).latency_objective_ms / 1000 * MAX_CONNECTION_WAIT_RATIO

    def _finish_expired(self, now: float) -> None:
        """Finish requests that waited too long for a connection, and expired requests."""
        for request in [each for each in self._waiting_requests if now > each.due_at + self._max_connection_wait_seconds(each)]:
            self._waiting_requests.remove(request)
            self._finish(request, Outcome.UNSENT)
        for request in [each for each in self._open_requests if now > each.expires_at + LATE_RESPONSE_WAIT_SECONDS]:
            connection = request.connection
            request.connection = None
            if connection:
                connection.request = None
                connection.transport.abort()
            self._finish(request, Outcome.LOST if request.sent_at else request.outcome)

    # Attempts

    def _start_attempt(self, request: OpenLoopRequest) -> None:
        if request.is_over:
            return
        if self._idle_connections and not request.arrival.wants_new_connection:
            self._send(self._idle_connections.pop(), request)
        elif self._open_connections < self._plan.clients.max_connections:
            self._open_connections += 1
            self._loop.create_task(self._connect(request))
        else:
            self._waiting_requests.append(request)

    async def _connect(self, request: OpenLoopRequest) -> None:
        connection = ClientConnection(self)
        try:
            await self._loop.create_connection(lambda: connection, *self._address)
        except OSError:
            self._open_connections -= 1
            self._finish(request, Outcome.UNSENT)
            return
        if request.is_over:
            self._release(connection)
        else:
            self._send(connection, request)

    def _release(self, connection: ClientConnection) -> None:
        """Use a free connection for the newest waiting request, or keep it idle."""
        while self._waiting_requests:
            request = self._waiting_requests.pop()
            if not request.is_over:
                self._send(connection, request)
                return
        self._idle_connections.append(connection)

    def _send(self, connection: ClientConnection, request: OpenLoopRequest) -> None:
        if connection.transport.is_closing():
            self._start_attempt(request)
            return
        now = monotonic()
        budget_ms = int((request.expires_at - now) * 1000)
        if budget_ms < 1:
            self._release(connection)
            self._finish(request, request.outcome)
            return
        connection.request = request
        request.connection = connection
        request.sent_at = now
        request.attempts += 1
        self._attempts += 1
        connection.transport.write(self._encode(request, budget_ms))

    def _encode(self, request: OpenLoopRequest, budget_ms: int) -> bytes:
        arrival = request.arrival
        return encode_request(
            request_id=f"{self._plan.seed}-{self._attempts}",
            idempotency_key=f"{self._plan.seed}-{arrival.number}",
            request_class=self._request_class(request),
            tenant=self._plan.tenants[arrival.tenant_index].name,
            arrival=arrival,
            budget_ms=budget_ms,
            is_retry=request.attempts > 1,
            body=self._bodies[arrival.class_index],
        )

    # Callbacks of connections

    def connection_opened(self, connection: ClientConnection) -> None:
        """Count an established connection."""
        self.counts.connections += 1

    def response_received(self, connection: ClientConnection, response: Response) -> None:
        """Finish the request of a response, or schedule a retry."""
        request = connection.request
        connection.request = None
        if request is None:
            self.counts.duplicate_answers += 1
            connection.transport.close()
            return
        now = monotonic()
        request.connection = None
        if response.closes_connection() or request.arrival.wants_new_connection:
            connection.transport.close()
        else:
            self._release(connection)
        if response.status == STATUS_OK:
            self._finish(request, self._served_outcome(request, now))
        elif 400 <= response.status < 500 and response.status not in REJECTED_STATUSES:
            self._finish(request, Outcome.INVALID)
        else:
            self._retry_or_end(request, response, now)

    def _served_outcome(self, request: OpenLoopRequest, now: float) -> Outcome:
        if now > request.expires_at + OVERDUE_TOLERANCE_SECONDS:
            return Outcome.OVERDUE
        duration_ms = (now - request.due_at) * 1000
        self.counts.record_time(Outcome.IN_TIME, duration_ms)
        return Outcome.IN_TIME if duration_ms <= self._request_class(request).latency_objective_ms else Outcome.LATE

    def _retry_or_end(self, request: OpenLoopRequest, response: Response, now: float) -> None:
        request.outcome = Outcome.REJECTED if response.status in REJECTED_STATUSES else Outcome.FAILED
        if request.outcome is Outcome.REJECTED:
            self.counts.record_time(Outcome.REJECTED, (now - request.sent_at) * 1000)
        clients = self._plan.clients
        pause_seconds = clients.backoff_ms / 1000
        retry_after_seconds = response.retry_after_seconds()
        if retry_after_seconds is not None and self._rng.random() < clients.retry_after_ratio:
            pause_seconds = max(pause_seconds, retry_after_seconds)
        if request.attempts > clients.max_retries or now + pause_seconds >= request.expires_at:
            self._finish(request, request.outcome)
            return
        request.sent_at = 0.0
        self._loop.call_later(pause_seconds, self._start_attempt, request)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and send the request in flight on it again."""
        self._open_connections -= 1
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        request = connection.request
        connection.request = None
        if request and not request.is_over:
            self._connection_lost(request)
        elif self._waiting_requests:
            self._start_attempt(self._waiting_requests.pop())

    def _connection_lost(self, request: OpenLoopRequest) -> None:
        if request.attempts > 1 + self._plan.clients.max_retries:
            self._finish(request, Outcome.LOST)
            return
        # The proxy may close an idle connection while a request is being sent on it, so the client sends it once more.
        request.connection = None
        request.sent_at = 0.0
        request.outcome = Outcome.LOST
        self._start_attempt(request)

    def _finish(self, request: OpenLoopRequest, outcome: Outcome) -> None:
        if request.is_over:
            return
        request.is_over = True
        self._open_requests.discard(request)
        self.counts.attempts += request.attempts
        self.counts.count(request.due_at - self._starts_at, outcome, self._request_class(request).priority_weight)


async def run_worker(task: dict[str, Any]) -> dict[str, Any]:
    """Run one worker's part of a plan; return its outcomes in the form of `OutcomeCounts.as_json`."""
    gc.freeze()
    gc.disable()  # not needed: a worker process lives for one run
    plan = LoadPlan.from_json(task["plan"])
    clients = OpenLoopClients(asyncio.get_running_loop(), plan, tuple(task["address"]), task["starts_at"])
    await clients.run()
    return clients.counts.as_json() | {"max_delay_seconds": clients.max_delay_seconds}


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(run_worker(json.load(sys.stdin)))))
