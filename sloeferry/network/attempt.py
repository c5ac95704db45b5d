"""One attempt of a request, from the policy's command to the report of its end."""

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
from sloeferry.network.load_reports import NO_REPORT, LoadReportReader
from sloeferry.policy.interface import SendAttempt

REJECTION_STATUSES = (503, 504)
# Given up past half of its time a request is given up too late (protocol): until then a failing dial is waited out,
# and for no longer than two of the longest pauses.
MAX_DIAL_PAUSES = 2


@dataclass(slots=True)
class OutgoingRequest:
    """What each attempt of a request sends; `head` lacks only the time that is left."""

    context: RequestContext
    head: bytes
    body: bytes | RequestBodyStream
    attempts: dict[int, asyncio.Task] = field(default_factory=dict)  # by number, of those that are out


class AttemptRunner:
    """Carries out attempts."""

    def __init__(self, dispatcher: Dispatcher, pool: ConnectionPool, timers: DeadlineTimers, load_reports: LoadReportReader):
        self._dispatcher = dispatcher
        self._pool = pool
        self._timers = timers
        self._load_reports = load_reports

    async def run(self, request: OutgoingRequest, command: SendAttempt, is_inline: bool = False) -> bool:
        """Runs one attempt and reports its end.

        `is_inline`: the task that carries the request runs it itself.  Returns whether another task took the request over
        meanwhile (`RequestContext.on_command`).
        """
        context, number = request.context, command.attempt_number
        began_at = environment.monotonic_ms()
        ended = await Exchange(self._plan(request, command, began_at), self._dispatcher, self._pool, self._timers).run()
        body = request.body if isinstance(request.body, RequestBodyStream) else None
        if body and not body.is_bound:
            body.release(number)  # it is all there still: another attempt may have it
        elif body and body.last_byte_at_ms:
            began_at = body.last_byte_at_ms  # until then the client took the time
        end, load_report, response = ended.end, NO_REPORT, ended.response
        if response:
            load_report = self._load_reports.read(response.header(protocol.LOAD_REPORT))
            end = _classify(response)
        was_taken_over = is_inline and context.on_command is None
        if is_inline:
            context.on_command = None  # back: what the report commands needs nobody else
        took_ms = environment.monotonic_ms() - began_at
        is_used = self._report(context, number, ended._replace(end=end), took_ms, load_report)
        if response and response.body_stream and (not is_used or context.is_abandoned):
            response.body_stream.close()
        return was_taken_over

    def _plan(self, request: OutgoingRequest, command: SendAttempt, began_at: float) -> ExchangePlan:
        context, number, endpoint_id = request.context, command.attempt_number, command.endpoint_id
        body = request.body if isinstance(request.body, RequestBodyStream) else None

        def make_request() -> bytes:
            first_part = body.buffered_part() if body else request.body
            versions = context.version_headers[number] if context.version_headers else b""
            left_ms = max(1, context.deadline - environment.monotonic_ms())
            left = b"%b: %d\r\n" % (protocol.ATTEMPT_TIME_LEFT_MS, left_ms)
            return b"%b%b%b\r\n%b" % (request.head, versions, left, first_part)

        def may_begin() -> bool:
            is_allowed = self._dispatcher.may_begin_attempt(context, number, endpoint_id)
            return is_allowed and (not body or body.claim(number))

        max_dial_ms = MAX_DIAL_PAUSES * self._pool.max_pause_seconds * 1000
        return ExchangePlan(
            endpoint_id,
            context.deadline,
            may_begin,
            make_request,
            on_first_byte=lambda: self._dispatcher.attempt_begins(context, number, endpoint_id),
            body=body,
            attempt_number=number,
            needs_settled=True,
            dial_deadline=min((context.arrived_at + context.deadline) / 2, began_at + max_dial_ms),
        )

    def _report(
        self, context: RequestContext, number: int, ended: ExchangeResult, took_ms: float, load_report: Sequence[float]
    ) -> bool:
        """Whether the attempt's response is the request's."""
        try:
            return self._dispatcher.attempt_ended(
                context, number, ended.progress, ended.end, took_ms, load_report, ended.response
            )
        except Exception as error:  # a decision that failed ends no more than its own part
            logger.opt(exception=True).error("report failed: request={} attempt={} error={!r}", context.request_id, number, error)
            return context.is_answered  # its response is under way all the same


def _classify(response: Message) -> AttemptEnd:
    if response.status == 200:
        return AttemptEnd.SERVED
    is_rejection = response.status in REJECTION_STATUSES and response.header(protocol.IS_REJECTED) == protocol.TRUE
    return AttemptEnd.REJECTED if is_rejection else AttemptEnd.ERROR
