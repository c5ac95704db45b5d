"""Open-loop clients, one worker process: python -m sloeferry.load_testing.open_loop_clients, with its plan as JSON on stdin.

Each request goes out when it is due: on a kept connection that is free, on a new one, or on one of its own.  Where all
connections that clients may hold are taken, the newest request waits first, and for a quarter of its latency objective at
most.  A client that gives up closes its connection.  How all ended is written as JSON on standard output.
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

# A client still listens for so long past its patience, to tell a late answer from none.
LISTEN_ON_SECONDS = 0.05
OVERDUE_SECONDS = 0.002  # an answer so much past its deadline is overdue
DUE_CHECK_SECONDS = 0.002  # between two looks at what is due
DUE_CHECKS_PER_SWEEP = 5
MAX_CONNECTION_WAIT_RATIO = 1 / 4  # of the latency objective
SEED_OFFSET = 7  # from the plan's seed, which draws the arrivals


class OpenLoopClients:
    """All clients of one worker."""

    def __init__(self, loop: asyncio.AbstractEventLoop, plan: LoadPlan, address: tuple[str, int], starts_at: float):
        self._loop = loop
        self._plan = plan
        self._address = address
        self._starts_at = starts_at
        self._rng = Random(plan.seed + SEED_OFFSET)
        self._bodies = [b"x" * request_class.body_bytes for request_class in plan.request_classes]
        self._idle: list[ClientConnection] = []
        self._waiting: list[OpenLoopRequest] = []  # for a connection
        self._open_requests: set[OpenLoopRequest] = set()
        self._open_connections = 0
        self._attempts = 0
        self.counts = OutcomeCounts()
        self.max_delay_seconds = 0.0  # by how much this worker itself ran late

    async def run(self) -> None:
        """Sends the whole plan and waits for its last request to end."""
        upcoming = arrivals(self._plan)
        arrival = next(upcoming, None)
        checks = 0
        while arrival or self._open_requests:
            now = monotonic()
            while arrival and self._starts_at + arrival.at_seconds <= now:
                self._take(arrival, now)
                arrival = next(upcoming, None)
            checks += 1
            if checks % DUE_CHECKS_PER_SWEEP == 0:
                self._sweep(monotonic())
            await asyncio.sleep(self._pause_seconds(arrival))
        for connection in self._idle:
            connection.transport.close()

    def _pause_seconds(self, arrival: Arrival | None) -> float:
        if arrival is None:
            return DUE_CHECK_SECONDS
        return min(DUE_CHECK_SECONDS, max(0, self._starts_at + arrival.at_seconds - monotonic()))

    def _take(self, arrival: Arrival, now: float) -> None:
        due_at = self._starts_at + arrival.at_seconds
        self.max_delay_seconds = max(self.max_delay_seconds, now - self._starts_at - arrival.at_seconds)
        request = OpenLoopRequest(arrival, due_at)
        self._open_requests.add(request)
        self._begin_attempt(request)

    def _request_class(self, request: OpenLoopRequest) -> RequestClassLoad:
        return self._plan.request_classes[request.arrival.class_index]

    def _max_wait_seconds(self, request: OpenLoopRequest) -> float:
        return self._request_class(request).latency_objective_ms / 1000 * MAX_CONNECTION_WAIT_RATIO

    def _sweep(self, now: float) -> None:
        """Ends what has waited too long for a connection, or whose time is over."""
        for request in [each for each in self._waiting if now > each.due_at + self._max_wait_seconds(each)]:
            self._waiting.remove(request)
            self._end(request, Outcome.UNSENT)
        for request in [each for each in self._open_requests if now > each.ends_at + LISTEN_ON_SECONDS]:
            connection = request.connection
            request.connection = None
            if connection:
                connection.request = None
                connection.transport.abort()
            self._end(request, Outcome.LOST if request.sent_at else request.outcome)

    # Attempts

    def _begin_attempt(self, request: OpenLoopRequest) -> None:
        if request.is_over:
            return
        if self._idle and not request.arrival.wants_new_connection:
            self._send(self._idle.pop(), request)
        elif self._open_connections < self._plan.clients.max_connections:
            self._open_connections += 1
            self._loop.create_task(self._connect(request))
        else:
            self._waiting.append(request)

    async def _connect(self, request: OpenLoopRequest) -> None:
        connection = ClientConnection(self)
        try:
            await self._loop.create_connection(lambda: connection, *self._address)
        except OSError:
            self._open_connections -= 1
            self._end(request, Outcome.UNSENT)
            return
        if request.is_over:
            self._release(connection)
        else:
            self._send(connection, request)

    def _release(self, connection: ClientConnection) -> None:
        """A connection is free: the newest that waits has it, or nobody."""
        while self._waiting:
            request = self._waiting.pop()
            if not request.is_over:
                self._send(connection, request)
                return
        self._idle.append(connection)

    def _send(self, connection: ClientConnection, request: OpenLoopRequest) -> None:
        if connection.transport.is_closing():
            self._begin_attempt(request)
            return
        now = monotonic()
        budget_ms = int((request.ends_at - now) * 1000)
        if budget_ms < 1:
            self._release(connection)
            self._end(request, request.outcome)
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

    # What connections tell

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self.counts.connections += 1

    def response_received(self, connection: ClientConnection, response: Response) -> None:
        """A response has come: the request ends, or another attempt follows."""
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
            self._end(request, self._served_outcome(request, now))
        elif 400 <= response.status < 500 and response.status not in REJECTED_STATUSES:
            self._end(request, Outcome.INVALID)
        else:
            self._retry_or_end(request, response, now)

    def _served_outcome(self, request: OpenLoopRequest, now: float) -> Outcome:
        if now > request.ends_at + OVERDUE_SECONDS:
            return Outcome.OVERDUE
        took_ms = (now - request.due_at) * 1000
        self.counts.record_time(Outcome.IN_TIME, took_ms)
        return Outcome.IN_TIME if took_ms <= self._request_class(request).latency_objective_ms else Outcome.LATE

    def _retry_or_end(self, request: OpenLoopRequest, response: Response, now: float) -> None:
        request.outcome = Outcome.REJECTED if response.status in REJECTED_STATUSES else Outcome.FAILED
        if request.outcome is Outcome.REJECTED:
            self.counts.record_time(Outcome.REJECTED, (now - request.sent_at) * 1000)
        clients = self._plan.clients
        pause_seconds = clients.backoff_ms / 1000
        retry_after_seconds = response.retry_after_seconds()
        if retry_after_seconds is not None and self._rng.random() < clients.retry_after_ratio:
            pause_seconds = max(pause_seconds, retry_after_seconds)
        if request.attempts > clients.max_retries or now + pause_seconds >= request.ends_at:
            self._end(request, request.outcome)
            return
        request.sent_at = 0.0
        self._loop.call_later(pause_seconds, self._begin_attempt, request)

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection has ended; what was in flight on it is sent again."""
        self._open_connections -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        request = connection.request
        connection.request = None
        if request and not request.is_over:
            self._connection_lost(request)
        elif self._waiting:
            self._begin_attempt(self._waiting.pop())

    def _connection_lost(self, request: OpenLoopRequest) -> None:
        if request.attempts > 1 + self._plan.clients.max_retries:
            self._end(request, Outcome.LOST)
            return
        # The proxy may close an idle connection just as a request is sent on it: the client sends it once more.
        request.connection = None
        request.sent_at = 0.0
        request.outcome = Outcome.LOST
        self._begin_attempt(request)

    def _end(self, request: OpenLoopRequest, outcome: Outcome) -> None:
        if request.is_over:
            return
        request.is_over = True
        self._open_requests.discard(request)
        self.counts.attempts += request.attempts
        self.counts.count(request.due_at - self._starts_at, outcome, self._request_class(request).priority_weight)


async def run_worker(task: dict[str, Any]) -> dict[str, Any]:
    """Runs one worker's part of a plan; its outcomes, as `OutcomeCounts` writes them."""
    gc.freeze()
    gc.disable()  # a worker lives for one run
    plan = LoadPlan.from_json(task["plan"])
    clients = OpenLoopClients(asyncio.get_running_loop(), plan, tuple(task["address"]), task["starts_at"])
    await clients.run()
    return clients.counts.as_json() | {"max_delay_seconds": clients.max_delay_seconds}


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(run_worker(json.load(sys.stdin)))))
