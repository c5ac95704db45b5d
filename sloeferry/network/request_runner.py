"""Carries one request of a client from its acceptance to its reply: the policy's commands, one after the other.

Most requests need no task but their connection's own:

1. The connection's task takes the request on and runs its only attempt itself, inline; `RequestContext.on_command` is set to
   `ClientConnection.hand_over`.
2. A command that comes meanwhile (a hedge, a rejection) calls it, once: a new task takes the request and the connection over,
   and the former task is kept until its attempt has ended.
3. When the inline attempt ends, a cleared `on_command` tells `AttemptRunner.run` that this has happened; it reports the end,
   and the former task returns without a reply (`None` up to `ClientConnection.serve`).
"""

import asyncio
import functools
from typing import TYPE_CHECKING

from sloeferry.dispatch.request_context import RequestContext
from sloeferry.network import client_replies, protocol
from sloeferry.network.attempt import OutgoingRequest
from sloeferry.network.body_stream import RequestBodyStream
from sloeferry.network.client_replies import Reply
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS, Message
from sloeferry.network.limited_log import warn
from sloeferry.policy.interface import CancelAttempt, Complete, Reject, SendAttempt

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection

# Of a request, what a backend is told anew.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {protocol.TIME_LEFT_MS}


class RequestRunner:
    """The request that a client's connection has taken on, if it has one."""

    def __init__(self, connection: "ClientConnection"):
        self._connection = connection
        self._server = connection.server
        self.context: RequestContext | None = None  # of the request that is on its way
        self._request_id = b""  # as the client named it
        self.body_stream: RequestBodyStream | None = None  # a long body on its way

    async def start(self, message: Message, unread_ms: float) -> Reply | None:
        """Takes the request on and carries it to its reply; None if another task has taken it over meanwhile.

        `unread_ms`: for how long it lay unread while this program stood still.
        """
        if message.attributes is None:
            is_ready = self._server.lifecycle.reports_ready()
            return Reply(client_replies.OK if is_ready else client_replies.SERVICE_UNAVAILABLE)
        request_id = message.header(protocol.REQUEST_ID) or b""
        open_requests = self._server.open_requests
        if other := open_requests.get(request_id):
            if not other.has_client_left():  # another request's: backends and clients would take one for the other
                return Reply(client_replies.CONFLICT)
            # Its client comes again, and nobody had seen it leave.
            self._server.dispatcher.client_left(other.request_runner.context)
        open_requests[request_id], self._request_id = self._connection, request_id
        try:
            context = self.context = self._server.intake.accept(message, unread_ms)
        except Exception as error:
            return self._fail(error)
        context.has_client_left = self._connection.has_client_left
        return await self.run(self._outgoing_request(context, message), message)

    def _outgoing_request(self, context: RequestContext, message: Message) -> OutgoingRequest:
        length = message.body_bytes if message.is_complete else message.content_length
        headers = message.forwarded_headers(REPLACED_HEADERS)
        head = writer.request_head(message.method, message.url, headers, length)
        self.body_stream = None
        if not message.is_complete:
            self.body_stream = RequestBodyStream(self._connection, message, self._server.dispatcher, context)
        return OutgoingRequest(context, head, self.body_stream or message.body())

    async def run(self, request: OutgoingRequest, message: Message) -> Reply | None:
        """Carries the request to its reply; None if another task has taken it over meanwhile."""
        reply = None
        try:
            reply = await self._run_commands(request, message)
        except Exception as error:
            return self._fail(error)
        except BaseException:  # the connection ends, and with it its request
            self.drop()
            raise
        if reply is not None:
            self._release()
        return reply

    async def _run_commands(self, request: OutgoingRequest, message: Message) -> Reply | None:
        context, attempts = request.context, request.attempts
        while True:
            command = context.commands.popleft() if context.commands else await context.next()
            if isinstance(command, SendAttempt):
                if await self._start_attempt(request, message, command):
                    return None
            elif isinstance(command, CancelAttempt):
                await asyncio.sleep(0)  # a task cancelled before its first step would never report
                if command.attempt_number in attempts:
                    attempts[command.attempt_number].cancel()
            elif isinstance(command, Complete):
                return client_replies.backend_reply(command.response)
            elif isinstance(command, Reject):
                return client_replies.rejection_reply(command.retry_after_ms)
            else:  # Fail, or Abandon with the client still there
                return client_replies.FAILED

    async def _start_attempt(self, request: OutgoingRequest, message: Message, command: SendAttempt) -> bool:
        """Runs the only attempt in this task, others in tasks of their own; whether this task was relieved meanwhile.

        A task for each attempt costs as much as writing it.
        """
        context, attempts, runner = request.context, request.attempts, self._server.attempts
        if attempts or context.commands:
            attempts[command.attempt_number] = self._server.tasks.spawn(runner.run(request, command))
            return False
        attempts[command.attempt_number] = self._connection.task
        context.on_command = functools.partial(self._connection.hand_over, request, message)
        if await runner.run(request, command, is_inline=True):
            return True
        attempts.clear()
        return False

    def _fail(self, error: Exception) -> Reply:
        # In a few words: a stall brings many at once, and their stacks would make it longer.
        warn("request failed", "id={!r} error={!r}", self._request_id, error)
        self.drop()
        return client_replies.FAILED

    def _release(self) -> RequestContext | None:
        """The request, if there is one, is none of this connection's any more."""
        context, self.context = self.context, None
        if self._server.open_requests.get(self._request_id) is self._connection:  # else another has come under that id
            del self._server.open_requests[self._request_id]
        return context

    def drop(self) -> None:
        """Nobody is left who waits for the request: what was commanded ends here, what is out runs to its end."""
        if context := self._release():
            try:
                for response in self._server.dispatcher.abandon(context):
                    if response.body_stream:
                        response.body_stream.close()
            except Exception as error:  # a decision that failed must not keep a connection from its end
                warn("request dropped", "request={} error={!r}", context.request_id, error)
