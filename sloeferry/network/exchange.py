"""One HTTP exchange with a backend: connect, write the request, read the response, classify the result."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sloeferry import environment
from sloeferry.dispatch.attempt_end import AttemptEnd, AttemptProgress
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.network.backend_connection import BackendConnection
from sloeferry.network.body_stream import (
    BodyInterruptedError,
    RequestBodyStream,
    ResponseBodyStream,
)
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.limited_log import warn
from sloeferry.network.memory_budget import SMALL_MESSAGE_BYTES, STREAMED_BODY_BYTES, buffered_response_bytes
from sloeferry.network.request_writer import RequestWriter
from sloeferry.network.sockets import is_open_and_idle

MAX_HOLD_BACK_SECONDS = 1.0  # a long response of which the backend's bytes are held back for 2 s counts as lost
# The policy gives a request up two ticks before its deadline; a tick lasts up to 12.5 ms.
FORWARD_BEFORE_DEADLINE_SECONDS = 0.025


class ExchangeResult(NamedTuple):
    """The result of an exchange: its progress and why it ended.

    `end` does not depend on the response's status: the caller classifies the response, if there is one.
    """

    progress: AttemptProgress
    end: AttemptEnd
    response: Message | None = None


@dataclass(slots=True)
class ExchangePlan:
    """The parameters of one exchange.  Times in ms, monotonic."""

    endpoint_id: str
    deadline: float
    may_begin: Callable[[], bool]  # called once the connection is established, before `make_request`
    make_request: Callable[[], bytes]  # called after `may_begin` has returned True
    on_first_byte: Callable[[], None] | None = None  # called after `make_request`, immediately before the first byte
    body: RequestBodyStream | None = None  # a body of which `make_request` contains only the first part
    attempt_number: int = 0
    dial_deadline: float = 0.0  # until then, dials that fail with a local error are retried
    # Whether a response can be the one to this request; if it cannot, the connection is not used again.
    recognizes: Callable[[Message], bool] = lambda response: True


class Exchange:
    """Runs one plan, once, in the task that calls `run`."""

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
        self._stream_at: float | None = None  # when a response of unknown length is streamed; the event loop's time

    async def run(self) -> ExchangeResult:
        """Run the exchange and return its result; failures are part of the result and never raised."""
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
            self._task.uncancel()  # the cancellation ends only this exchange; the task continues
            self._end = self._cancelled_end()
        except Exception as error:  # an unexpected error: assume that the backend may have run the request
            warn("exchange failed", "backend={} error={!r}", plan.endpoint_id, error)
            self._progress = AttemptProgress.COMPLETELY_WRITTEN
        self._timer.cancel()
        self._release_connection()
        return ExchangeResult(self._conservative_progress(), self._end, self._response)

    # Phases

    async def _begin(self) -> bool:
        """Connect, and return whether the request may be written."""
        plan = self._plan
        connection = await self._acquire_connection()
        if connection is None:
            return False
        # The deadline may have passed and the address may belong to another endpoint since the dial began.
        is_late = environment.monotonic_ms() >= plan.deadline
        if is_late or not connection.has_current_address() or not plan.may_begin():
            self._end = AttemptEnd.ABORTED_LOCALLY
            return False
        return True

    async def _acquire_connection(self) -> BackendConnection | None:
        """Take a connection once this process is up to date after a stall; return None, with the reason in `_end`, if there is
        none.

        A connection on which something arrives during that wait is closed, and another one taken: its backend has ended it, or
        would have its bytes read as the response.
        """
        plan = self._plan
        while True:
            connection = await self._pool.acquire(plan.endpoint_id, plan.dial_deadline)
            if isinstance(connection, AttemptEnd):
                self._end = connection
                return None
            self._connection = connection
            if not await self._catch_up() or is_open_and_idle(connection.sock):
                return connection
            self._connection = None
            connection.close()

    async def _catch_up(self) -> bool:
        """Wait until all that discovery wrote during a stall is applied; return whether there was anything to wait for."""
        has_waited = False
        while catching_up := self._dispatcher.record_loop_iteration():
            await asyncio.wait([catching_up])
            has_waited = True
        return has_waited

    async def _write(self) -> None:
        """Write the request, and the rest of a streamed body as it is received."""
        plan = self._plan
        self._progress = AttemptProgress.PARTLY_WRITTEN
        request = plan.make_request()
        if plan.on_first_byte:
            plan.on_first_byte()
        self._connection.request_begins()
        self._writer = RequestWriter(self._loop, self._connection)
        if await self._writer.send(request):
            return
        if plan.body is None:
            self._request_written()
            return
        self._timer.cancel()
        is_answered_early = await self._write_body(plan.body)
        if is_answered_early and not plan.body.is_complete:
            self._limit_time_after_body(plan.body)
        if not is_answered_early and self._end is not AttemptEnd.ABORTED_LOCALLY:
            self._request_written()

    def _limit_time_after_body(self, body: RequestBodyStream) -> None:
        """Limit the rest of the exchange to the request's time left once nothing more of its body is to be read."""
        self._read_by = self._loop.time() + body.time_left_ms(environment.monotonic_ms()) / 1000
        self._timer = self._timers.set(self._read_by, self._task)

    def _request_written(self) -> None:
        self._progress = AttemptProgress.COMPLETELY_WRITTEN
        self._connection.request_written()

    async def _write_body(self, body: RequestBodyStream) -> bool:
        """Write the rest of a streamed body, and return whether the backend responded or closed before its end.

        In that case the backend does not need the rest, and it is not written.
        """
        body.bind(self._plan.attempt_number, self._task)
        try:
            with body.writing_to(self._connection, self._task) as writes:
                while not body.is_complete:
                    part = await body.next_part()
                    if body.is_complete:
                        self._limit_time_after_body(body)
                    if await self._writer.is_answered() or await self._writer.send(part, writes.send):
                        return True
        except BodyInterruptedError:
            self._dispatcher.client_left(body.context)
            self._end = AttemptEnd.ABORTED_LOCALLY
        return False

    async def _read(self) -> None:
        """Read the whole response, or its beginning if it is to be streamed to the client."""
        stream = self._connection.stream
        while not stream.completed and not stream.fault and not stream.oversized_message():
            if not self._may_be_buffered(stream.message):
                self._response = stream.message
                break
            if self._may_be_streamed(stream):
                if not await self._receive_while_held_back(stream):
                    self._response = stream.message
                    break
            else:
                await stream.receive()
            if stream.fault:
                break
            if not stream.completed:
                self._limit_response_time(stream)
        self._take_response()

    def _may_be_buffered(self, response: Message) -> bool:
        """Reserve memory for a response that may be large; return False if there is none, so that it has to be streamed."""
        known_bytes = response.body_bytes if response.content_length is None else response.content_length
        is_small = not response.is_head_complete or known_bytes <= SMALL_MESSAGE_BYTES
        if is_small or response.reservation or not response.body_bytes:
            return True
        response.reservation = self._pool.memory.reserve_for_response(buffered_response_bytes(response.content_length))
        return response.reservation is not None

    def _reserve_streaming(self, response: Message) -> bool:
        """Reserve memory for a response that is forwarded in parts; return whether there was enough."""
        if response.reservation is None:
            response.reservation = self._pool.memory.reserve_for_response(STREAMED_BODY_BYTES)
        return response.reservation is not None

    @staticmethod
    def _may_be_streamed(stream: HttpStream) -> bool:
        """Return whether a response may be streamed as far as it has come.

        The head of a long one is enough, since its first bytes alone are due in time.  One of unknown length may be short: its
        last byte is.
        """
        if stream.has_unknown_length():
            return stream.message.body_bytes > 0
        return stream.has_begun and stream.message.is_head_complete and stream.has_long_body()

    async def _receive_while_held_back(self, stream: HttpStream) -> bool:
        """Receive more of a response of unknown length, or that is known to be long; return False once it is to be streamed.

        Only the time of the first bytes of a long response is limited.  They are held back for a limited time, however steadily
        more comes, and no longer than to shortly before the deadline.
        """
        now = self._loop.time()
        if self._stream_at is None:
            is_long = stream.has_long_body()
            hold_back_seconds = MAX_HOLD_BACK_SECONDS if is_long else min(self._pool.max_pause_seconds, MAX_HOLD_BACK_SECONDS)
            self._stream_at = min(now + hold_back_seconds, self._read_by - FORWARD_BEFORE_DEADLINE_SECONDS)
        return now < self._stream_at and await stream.receive_within(self._stream_at - now)

    def _limit_response_time(self, stream: HttpStream) -> None:
        """Record whether the response has begun, and limit the wait for the rest of it.

        The backend writes a short response without pauses: if the rest does not arrive, its stated length was wrong.  A long one,
        one of unknown length, and one announced by an interim response (1xx) may come later.
        """
        if stream.has_begun:
            self._progress = AttemptProgress.RESPONSE_BEGUN
        self._timer.cancel()
        pause_ends_at = self._read_by
        if stream.has_begun and not stream.has_unknown_length() and not stream.has_long_body():
            pause_ends_at = self._loop.time() + self._pool.max_pause_seconds
        self._timer = self._timers.set(min(self._read_by, pause_ends_at), self._task)

    def _take_response(self) -> None:
        # Bytes after a complete response do not invalidate it, since its length states where it ends.  A response with two
        # lengths has no defined end; the parser rejects its head, so it never counts as complete.
        stream = self._connection.stream
        self._response = self._response or stream.oversized_message()
        if self._response and not self._reserve_streaming(self._response):
            self._response, self._end = None, AttemptEnd.NO_MEMORY
            return
        if self._response is None and stream.completed:
            self._response = stream.completed.pop(0)
        if self._response:
            self._progress = AttemptProgress.RESPONSE_BEGUN
        elif stream.fault is not StreamEnd.CLOSED:
            self._end = AttemptEnd.MALFORMED

    # Result

    def _cancelled_end(self) -> AttemptEnd:
        if self._plan.body and self._plan.body.is_overdue:
            return AttemptEnd.UPLOAD_OVERDUE
        if not self._timer.has_expired:
            return AttemptEnd.CANCELLED
        has_response_begun = self._progress is AttemptProgress.RESPONSE_BEGUN
        if has_response_begun and environment.monotonic_ms() < self._plan.deadline:
            return AttemptEnd.MALFORMED
        return AttemptEnd.TIMED_OUT

    def _release_connection(self) -> None:
        connection, response = self._connection, self._response
        if response and not response.is_complete:
            # The stream owns the connection from here on; it is released when the response is forwarded or closed.
            response.body_stream = ResponseBodyStream(connection, response)
        elif connection is None:
            return
        elif response:
            connection.finish(response.keep_alive and self._plan.recognizes(response))
        elif self._end is not AttemptEnd.ABORTED_LOCALLY:
            connection.abort()
        elif self._progress is AttemptProgress.NOTHING_WRITTEN:
            connection.finish(keep_alive=True)
        else:
            connection.close()

    def _conservative_progress(self) -> AttemptProgress:
        """Return the progress; an interrupted write counts as complete, since its last byte may have been sent.

        It counts as partial if the client has not sent the body's last byte yet.
        """
        body = self._plan.body
        is_body_incomplete = body is not None and not body.is_complete
        is_interrupted = self._end in (AttemptEnd.TIMED_OUT, AttemptEnd.CANCELLED)
        if self._progress is AttemptProgress.PARTLY_WRITTEN and is_interrupted and not is_body_incomplete:
            return AttemptProgress.COMPLETELY_WRITTEN
        return self._progress
