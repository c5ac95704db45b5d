"""Attempts: each sends a request to one endpoint and reports the result to the dispatcher."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from sloeferry import environment
from sloeferry.dispatch.attempt_end import AttemptEnd
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.network import protocol
from sloeferry.network.body_stream import RequestBodyStream
from sloeferry.network.connection_pool import ConnectionPool
from sloeferry.network.deadline_timers import DeadlineTimers
from sloeferry.network.exchange import Exchange, ExchangePlan, ExchangeResult
from sloeferry.network.http1.message import Message
from sloeferry.network.limited_log import warn
from sloeferry.network.load_reports import NO_REPORT, LoadReportReader
from sloeferry.policy.interface import SendAttempt

REJECTION_STATUSES = (503, 504)
# Failing dials are retried for at most this multiple of the pool's `max_pause_seconds`, and never past half of the request's
# time: the protocol counts a request that is given up after that as given up too late.
MAX_DIAL_PAUSE_MULTIPLE = 2


@dataclass(slots=True)
class OutgoingRequest:
    """A request as its attempts send it.

    `head` holds all header lines except those of one attempt: the versions and the time left.
    """

    context: RequestContext
    request_id: bytes  # chosen by the client
    head: bytes
    body: bytes | RequestBodyStream
    attempts: dict[int, asyncio.Task] = field(default_factory=dict)  # the running attempts, by attempt number


class AttemptRunner:
    """Runs the attempts that the policy commands."""

    def __init__(self, dispatcher: Dispatcher, pool: ConnectionPool, timers: DeadlineTimers, load_reports: LoadReportReader):
        self._dispatcher = dispatcher
        self._pool = pool
        self._timers = timers
        self._load_reports = load_reports

    async def run(self, request: OutgoingRequest, command: SendAttempt, is_inline: bool = False) -> None:
        """Run one attempt and report its end.

        `is_inline`: the task of the client connection runs the attempt itself, so that commands which arrive during it go to
        `RequestContext.on_command`.
        """
        context, number = request.context, command.attempt_number
        started_at = environment.monotonic_ms()
        result = await Exchange(self._plan(request, command, started_at), self._dispatcher, self._pool, self._timers).run()
        body = request.body if isinstance(request.body, RequestBodyStream) else None
        if body and not body.is_bound:
            body.release(number)  # all of it is still buffered: another attempt may send it
        elif body and body.last_byte_at_ms:
            started_at = body.last_byte_at_ms  # the time before that was spent by the client, not by the backend
        if is_inline:
            context.on_command = None  # the task is free again and carries out the commands that follow from the report itself
        end, load_report, response = result.end, NO_REPORT, result.response
        if response:
            end = _classify(response)
            load_report = self._load_reports.read(response.header(protocol.LOAD_REPORT))
        if end is not AttemptEnd.SERVED:
            _log_failure(request, command, result._replace(end=end))
        duration_ms = environment.monotonic_ms() - started_at
        is_used = self._report(context, number, result._replace(end=end), duration_ms, load_report)
        if response and response.body_stream and (not is_used or context.is_abandoned):
            response.body_stream.close()

    def _plan(self, request: OutgoingRequest, command: SendAttempt, started_at: float) -> ExchangePlan:
        context, number, endpoint_id = request.context, command.attempt_number, command.endpoint_id
        body = request.body if isinstance(request.body, RequestBodyStream) else None

        def make_request() -> bytes:
            first_part = body.buffered_part() if body else request.body
            versions = context.version_headers[number] if context.version_headers else b""
            time_left_ms = max(1, context.deadline - environment.monotonic_ms())
            time_left = b"%b: %d\r\n" % (protocol.ATTEMPT_TIME_LEFT_MS, time_left_ms)
            return b"%b%b%b\r\n%b" % (request.head, versions, time_left, first_part)

        def may_begin() -> bool:
            is_allowed = self._dispatcher.may_begin_attempt(context, number, endpoint_id)
            return is_allowed and (not body or body.claim(number))

        max_dial_ms = MAX_DIAL_PAUSE_MULTIPLE * self._pool.max_pause_seconds * 1000
        return ExchangePlan(
            endpoint_id,
            context.deadline,
            may_begin,
            make_request,
            on_first_byte=lambda: self._dispatcher.attempt_begins(context, number, endpoint_id),
            body=body,
            attempt_number=number,
            dial_deadline=min((context.arrived_at + context.deadline) / 2, started_at + max_dial_ms),
        )

    def _report(
        self, context: RequestContext, number: int, result: ExchangeResult, duration_ms: float, load_report: Sequence[float]
    ) -> bool:
        """Report an attempt's end and return whether its response is sent to the client."""
        try:
            return self._dispatcher.attempt_ended(
                context, number, result.progress, result.end, duration_ms, load_report, result.response
            )
        except Exception as error:  # an exception in a policy decision must not affect other requests
            logger.opt(exception=True).error("report failed: request={} attempt={} error={!r}", context.request_id, number, error)
            return context.is_answered  # the response is already being sent


def _log_failure(request: OutgoingRequest, command: SendAttempt, result: ExchangeResult) -> None:
    body = request.body if isinstance(request.body, RequestBodyStream) else None
    warn(
        f"attempt {result.end.value}",
        "request={!r} attempt={} backend={} progress={}{}",
        request.request_id,
        command.attempt_number,
        command.endpoint_id,
        result.progress.name,
        f" body_bytes_read={body.received_bytes}" if body else "",
    )


def _classify(response: Message) -> AttemptEnd:
    if response.status == 200:
        return AttemptEnd.SERVED
    is_rejection = response.status in REJECTION_STATUSES and response.header(protocol.IS_REJECTED) == protocol.TRUE
    return AttemptEnd.REJECTED if is_rejection else AttemptEnd.ERROR
