"""One request to a backend and its response: connect, write, read, classify."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sloeferry import environment
from sloeferry.dispatch.attempt_end import AttemptEnd, AttemptProgress
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.network.backend_connection import BackendConnection
from sloeferry.network.body_stream import (
    MAX_BACKEND_PAUSE_SECONDS,
    BodyInterruptedError,
    RequestBodyStream,
    ResponseBodyStream,
)
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import is_open_and_idle


class ExchangeResult(NamedTuple):
    """How far an exchange came, and why it ended there; where a response came, its reader says how that counts."""

    progress: AttemptProgress
    end: AttemptEnd
    response: Message | None = None


@dataclass(slots=True)
class ExchangePlan:
    """What an exchange is to do.  Times in ms, monotonic."""

    endpoint_id: str
    deadline: float
    may_begin: Callable[[], bool]  # asked right before the first byte
    make_request: Callable[[], bytes]  # once the connection stands
    on_first_byte: Callable[[], None] | None = None  # told as it goes out
    body: RequestBodyStream | None = None  # longer than what is written at first
    attempt_number: int = 0
    needs_settled: bool = False  # `ConnectionPool.acquire`
    dial_deadline: float = 0.0  # until when this machine's failing to dial is waited out


class Exchange:
    """One run of a plan, in the task that calls `run`."""

    def __init__(self, plan: ExchangePlan, dispatcher: Dispatcher, pool: ConnectionPool, timers: DeadlineTimers):
        self._plan = plan
        self._dispatcher = dispatcher
        self._pool = pool
        self._timers = timers
        self._loop = pool.loop
        self._connection: BackendConnection | None = None
        self._progress = AttemptProgress.NOTHING_WRITTEN
        self._end = AttemptEnd.CONNECTION_LOST
        self._response: Message | None = None

    async def run(self) -> ExchangeResult:
        """Runs it to its end; what goes wrong is part of the result, never an exception."""
        plan = self._plan
        self._task = asyncio.current_task()
        self._read_by = (plan.deadline - environment.monotonic_ms()) / 1000 + self._loop.time()
        self._timer = self._timers.set(self._read_by, self._task)
        try:
            if await self._begin():
                await self._write()
                if self._end is not AttemptEnd.ABORTED_LOCALLY:
                    await self._read()
        except OSError:
            pass
        except asyncio.CancelledError:
            self._task.uncancel()  # the cancellation ends this exchange only; the task goes on
            self._end = self._cancelled_end()
        except Exception as error:  # whatever it was, it has ended, and may have run
            warn("exchange failed", "backend={} error={!r}", plan.endpoint_id, error)
            self._progress = AttemptProgress.COMPLETELY_WRITTEN
        self._timer.cancel()
        self._release_connection()
        return ExchangeResult(self._progress_in_doubt(), self._end, self._response)

    # Phases

    async def _begin(self) -> bool:
        """Connects; whether the request may be written."""
        plan = self._plan
        connection = await self._pool.acquire(plan.endpoint_id, plan.needs_settled, plan.dial_deadline)
        if isinstance(connection, AttemptEnd):
            self._end = connection
            return False
        self._connection = connection
        while catching_up := self._dispatcher.record_loop_iteration():
            await asyncio.wait([catching_up])
        # A dial takes time: the address may be another endpoint's by now.
        is_late = environment.monotonic_ms() >= plan.deadline
        if is_late or not connection.has_current_address() or not plan.may_begin():
            self._end = AttemptEnd.ABORTED_LOCALLY
            return False
        return True

    async def _write(self) -> None:
        """Writes the request; the rest of a long body as it comes."""
        plan = self._plan
        self._progress = AttemptProgress.PARTLY_WRITTEN
        request = plan.make_request()
        if plan.on_first_byte:
            plan.on_first_byte()
        await self._loop.sock_sendall(self._connection.sock, request)
        if plan.body is None:
            self._progress = AttemptProgress.COMPLETELY_WRITTEN
            return
        self._timer.cancel()
        is_answered_early = await self._write_body(plan.body)
        self._read_by = self._loop.time() + plan.body.time_left_ms / 1000
        self._timer = self._timers.set(self._read_by, self._task)
        if not is_answered_early and self._end is not AttemptEnd.ABORTED_LOCALLY:
            self._progress = AttemptProgress.COMPLETELY_WRITTEN

    async def _write_body(self, body: RequestBodyStream) -> bool:
        """Writes the rest of a body; whether the backend has answered already, or ended: the rest is not wanted."""
        body.bind(self._plan.attempt_number, self._task)
        sock = self._connection.sock
        try:
            while not body.is_complete:
                part = await body.next_part()
                if not is_open_and_idle(sock):
                    return True
                timer = self._timers.set(self._loop.time() + MAX_BACKEND_PAUSE_SECONDS, self._task)
                try:
                    await self._loop.sock_sendall(sock, part)
                finally:
                    timer.cancel()
        except BodyInterruptedError:
            self._dispatcher.client_left(body.context)
            self._end = AttemptEnd.ABORTED_LOCALLY
        return False

    async def _read(self) -> None:
        """Reads the response: all of it, or as much as shows that it is passed on as it comes."""
        stream = self._connection.stream
        while not stream.completed and not stream.oversized_message():
            if stream.has_unknown_length() and stream.message.body_bytes:
                # Nobody said how long it is: where it pauses, it is passed on as it comes.
                if not await stream.receive_within(self._pool.max_pause_seconds):
                    self._response = stream.message
                    break
            else:
                await stream.receive()
            if stream.fault:
                break
            if stream.has_begun:
                self._response_began(stream.has_unknown_length())
        self._take_response()

    def _response_began(self, has_unknown_length: bool) -> None:
        """What has begun is written: if the rest stays out, its length was a wrong one."""
        self._progress = AttemptProgress.RESPONSE_BEGUN
        self._timer.cancel()
        pause_ends = self._read_by if has_unknown_length else self._loop.time() + self._pool.max_pause_seconds
        self._timer = self._timers.set(min(self._read_by, pause_ends), self._task)

    def _take_response(self) -> None:
        # Noise behind a complete response does not spoil it: its one length says where it ends.  With two lengths nobody
        # knows; the parser refuses that at the head, so it never counts as complete.
        stream = self._connection.stream
        self._response = self._response or stream.oversized_message()
        if self._response is None and stream.completed:
            self._response = stream.completed.pop(0)
        if self._response:
            self._progress = AttemptProgress.RESPONSE_BEGUN
        elif stream.fault is not StreamEnd.CLOSED:
            self._end = AttemptEnd.MALFORMED

    # Its end

    def _cancelled_end(self) -> AttemptEnd:
        if not self._timer.has_expired:
            return AttemptEnd.CANCELLED
        has_response_begun = self._progress is AttemptProgress.RESPONSE_BEGUN
        if has_response_begun and environment.monotonic_ms() < self._plan.deadline:
            return AttemptEnd.MALFORMED
        return AttemptEnd.TIMED_OUT

    def _release_connection(self) -> None:
        connection, response, body = self._connection, self._response, self._plan.body
        if response and body and not body.is_complete:
            response.keep_alive = False  # it came before all of the request had gone out: what is left there is no response
        if response and not response.is_complete:
            # Whoever passes it on, or has no use for it, lets go of it.
            response.body_stream = ResponseBodyStream(connection, response)
        elif connection is None:
            return
        elif response:
            connection.finish(response.keep_alive)
        elif self._end is not AttemptEnd.ABORTED_LOCALLY:
            connection.abort()
        elif self._progress is AttemptProgress.NOTHING_WRITTEN:
            connection.finish(keep_alive=True)
        else:
            connection.close()

    def _progress_in_doubt(self) -> AttemptProgress:
        """Cancelled or late half way through writing: nobody knows whether the last byte went out.

        Unless it has not even come.
        """
        body = self._plan.body
        is_body_incomplete = body is not None and not body.is_complete
        is_interrupted = self._end in (AttemptEnd.TIMED_OUT, AttemptEnd.CANCELLED)
        if self._progress is AttemptProgress.PARTLY_WRITTEN and is_interrupted and not is_body_incomplete:
            return AttemptProgress.COMPLETELY_WRITTEN
        return self._progress
