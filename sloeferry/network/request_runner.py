"""Runs one client request from acceptance to reply by executing the policy's commands in order.

Most requests need no task other than that of their connection:

1. The connection's task accepts the request and runs its only attempt inline; `RequestContext.on_command` is set to
   `ClientConnection.hand_over`.
2. A command that arrives during the attempt (a hedge, a rejection) calls it once: a new task takes over the request and the
   connection, and the previous task is kept until its attempt has ended.
3. When the inline attempt has ended, in whatever way, the previous task finds that it no longer owns the connection
   (`ClientConnection.is_owned_by_current_task`), and returns without a reply (`None` up to `ClientConnection.serve`).
"""

import asyncio
import functools
from typing import TYPE_CHECKING

from sloeferry import environment
from sloeferry.dispatch.request_context import RequestContext
from sloeferry.network import client_replies, protocol
from sloeferry.network.attempt import OutgoingRequest
from sloeferry.network.body_stream import RequestBodyStream
from sloeferry.network.client_replies import Reply
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS, Message
from sloeferry.network.limited_log import warn
from sloeferry.network.upload_reader import UploadReader
from sloeferry.policy.interface import CancelAttempt, Complete, Reject, SendAttempt

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection

# Request headers that are not copied to the backend: the proxy writes its own.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {protocol.TIME_LEFT_MS}


class RequestRunner:
    """Runs the requests of one client connection, one at a time."""

    def __init__(self, connection: "ClientConnection"):
        self._connection = connection
        self._server = connection.server
        self.context: RequestContext | None = None  # of the request in flight
        self._request_id = b""  # chosen by the client
        self.body_stream: RequestBodyStream | None = None  # set while a body is streamed

    async def start(self, message: Message, unread_ms: float) -> Reply | None:
        """Accept the request and run it; return its reply, or None if another task has taken it over.

        `unread_ms` is how long the request waited unread while the event loop was stalled.
        """
        if message.attributes is None:
            is_ready = self._server.lifecycle.reports_ready()
            return Reply(client_replies.OK if is_ready else client_replies.SERVICE_UNAVAILABLE)
        request_id = message.header(protocol.REQUEST_ID) or b""
        open_requests = self._server.open_requests
        # Whether its client is still there or not: backends and clients would confuse two requests with the same id.
        if not self._server.request_ids.add(request_id) or request_id in open_requests:
            return Reply(client_replies.CONFLICT)
        open_requests[request_id], self._request_id = self._connection, request_id
        try:
            context = self.context = self._server.intake.accept(message, unread_ms)
        except Exception as error:
            return self._fail(error)
        context.has_client_left = self._connection.may_client_have_left
        return await self.run(self._outgoing_request(context, message), message)

    def _outgoing_request(self, context: RequestContext, message: Message) -> OutgoingRequest:
        length = message.body_bytes if message.is_complete else message.content_length
        headers = message.forwarded_headers(REPLACED_HEADERS)
        head = writer.request_head(message.method, message.url, headers, length)
        self.body_stream = None
        if not message.is_complete:
            upload = self._upload_reader(context, message)
            self.body_stream = RequestBodyStream(self._connection, message, upload, self._server.dispatcher, context)
        return OutgoingRequest(context, self._request_id, head, self.body_stream or message.body())

    def _upload_reader(self, context: RequestContext, message: Message) -> UploadReader:
        connection = self._connection
        return UploadReader(
            connection.stream,
            connection.client_state,
            self._server.memory,
            connection.reader.receive_body,
            message,
            context.deadline - environment.monotonic_ms(),
        )

    async def run(self, request: OutgoingRequest, message: Message) -> Reply | None:
        """Execute the commands for the request; return its reply, or None if another task has taken it over."""
        reply = None
        try:
            reply = await self._run_commands(request, message)
        except Exception as error:
            return self._fail(error)
        except BaseException:  # the connection is closing, which also ends its request
            if self._connection.is_owned_by_current_task():
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
                await asyncio.sleep(0)  # a task cancelled before its first step would never report its end
                if command.attempt_number in attempts:
                    attempts[command.attempt_number].cancel()
            elif isinstance(command, Complete):
                return client_replies.backend_reply(command.response)
            elif isinstance(command, Reject):
                return client_replies.rejection_reply(command.retry_after_ms)
            else:  # Fail, or Abandon while the client is still connected
                return client_replies.FAILED

    async def _start_attempt(self, request: OutgoingRequest, message: Message, command: SendAttempt) -> bool:
        """Run a lone attempt inline and others in separate tasks; return True if another task has taken over the request.

        Creating a task for an attempt costs as much as writing the attempt to its socket.
        """
        context, attempts, runner = request.context, request.attempts, self._server.attempts
        if attempts or context.commands:
            attempts[command.attempt_number] = self._server.tasks.spawn(runner.run(request, command))
            return False
        attempts[command.attempt_number] = self._connection.task
        context.on_command = functools.partial(self._connection.hand_over, request, message)
        await runner.run(request, command, is_inline=True)
        if not self._connection.is_owned_by_current_task():
            return True
        attempts.clear()
        return False

    def _fail(self, error: Exception) -> Reply | None:
        """End the request with a failure; without effect on the connection if another task has taken it over."""
        # Logged without the stack trace: a stall can make many requests fail at once, and traces would prolong it.
        warn("request failed", "id={!r} error={!r}", self._request_id, error)
        if not self._connection.is_owned_by_current_task():
            return None
        self.drop()
        return client_replies.FAILED

    def _release(self) -> RequestContext | None:
        """Detach the request from this connection and return its context; None if there is none."""
        context, self.context = self.context, None
        if self._server.open_requests.get(self._request_id) is self._connection:  # else the id is reused by now
            del self._server.open_requests[self._request_id]
        return context

    def drop(self) -> None:
        """Detach the request from the connection without a decision of the policy.

        Pending commands are discarded, and open attempts finish.
        """
        if context := self._release():
            try:
                for response in self._server.dispatcher.abandon(context):
                    if response.body_stream:
                        response.body_stream.close()
            except Exception as error:  # a failing decision must not prevent the connection from closing
                warn("request dropped", "request={} error={!r}", context.request_id, error)

    @property
    def request_id(self) -> bytes:
        """Return the client's id of the last request that was accepted."""
        return self._request_id

    def detach(self) -> None:
        """Drop the references to the connection, after its end."""
        del self._connection
        self.body_stream = None
