"""One client's connection: read a request, admit it, dispatch it, reply, and close or read the next."""

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.network import client_replies
from sloeferry.network.attempt import OutgoingRequest
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.reply_writer import ReplyWriter
from sloeferry.network.request_intake import METHODS
from sloeferry.network.request_reader import ReadOutcome, RequestReader
from sloeferry.network.request_runner import RequestRunner
from sloeferry.network.sockets import is_open_and_idle

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer


class ClientConnection:
    """What the connection asks, one request after the other.

    `serve` returns at its end; the sweeper, the descriptor budget and the shutdown close it from outside.
    """

    def __init__(self, server: "ClientServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.reader = RequestReader(self)
        self.stream = self.reader.stream
        self.request_runner = RequestRunner(self)
        self.reply_writer = ReplyWriter(self)
        self.is_busy = False  # a request is on its way
        self.is_new = True  # nothing was asked yet
        self.is_closed = False
        self.is_in_queue_epoll = False  # to the admission queue
        # Seconds, monotonic: when it connected, was answered, or began to ask again.
        self.waiting_since = environment.monotonic()
        self.sending_since: float | None = None  # seconds; the sweeper looks at it
        server.connections[self] = None  # in the order they came, not a set's, which is chance's
        self.task = server.loop.create_task(self.serve())

    async def serve(self, carried: tuple[OutgoingRequest, Message] | None = None) -> None:
        """All requests of this connection; `carried` is one under way, taken over from another task."""
        keep_alive: bool | None = True
        try:
            if carried:
                request, message = carried
                keep_alive = await self._reply(message, await self.request_runner.run(request, message))
            while keep_alive:
                keep_alive = await self._serve_next()
            if keep_alive is False and self.stream.fault is not StreamEnd.CLOSED and not is_open_and_idle(self.sock):
                await self.reply_writer.lingering_close()  # it has sent more than was answered
        except OSError:  # the client has gone, or takes nothing more
            keep_alive = False
        except Exception as error:  # exceptions stop here: this connection ends, no other
            logger.opt(exception=True).error("connection failed: {!r}", error)
            keep_alive = False
        finally:
            if keep_alive is not None:  # handed over, it is another task's by now
                self.close()

    def hand_over(self, request: OutgoingRequest, message: Message) -> None:
        """A command has come while this connection's own task runs an attempt: another task carries it out."""
        self.server.tasks.adopt(self.task)
        self.task = self.server.loop.create_task(self.serve((request, message)))

    async def _serve_next(self) -> bool | None:
        """The next request and its reply; whether another may follow, None if another task sees to that."""
        end = await self.reader.read()
        if end is ReadOutcome.CLOSING:
            return False
        if end is ReadOutcome.REJECTED:
            return await self.reply_writer.reject(self.reader.rejection_delay_ms)
        message = self.reader.take_message()
        if message is None:
            return await self.reply_writer.refuse(self._refusal_status())
        self.is_busy, self.is_new = True, False
        unread_ms = self.reader.take_unread_ms(message)
        if unread_ms and message.attributes and message.attributes.time_left_ms <= unread_ms:
            # Its time went by while this program stood still: it is rejected, whatever could be taken on.
            message.rejection_delay_ms = self.server.intake.rejection_delay_ms(message, has_waited=True)
        if message.rejection_delay_ms is not None:  # more than its body was to be read, or it was no plain one
            return await self.reply_writer.reject(message.rejection_delay_ms, self._keeps_alive(message))
        return await self._reply(message, await self.request_runner.start(message, unread_ms))

    def _refusal_status(self) -> int | None:
        """The status for what cannot be read; None if nobody is left to read it."""
        fault = self.stream.fault
        if fault is StreamEnd.UNWANTED and self.stream.message.method not in METHODS:
            return client_replies.METHOD_NOT_ALLOWED
        return client_replies.STATUS_BY_FAULT.get(fault) if fault else None

    async def _reply(self, message: Message, reply: client_replies.Reply | None) -> bool | None:
        """Writes the reply; whether another request may follow, None if another task sees to that."""
        if reply is None:
            return None
        return await self.reply_writer.reply(message, reply, self._keeps_alive(message))

    def _keeps_alive(self, message: Message) -> bool:
        """Whether the connection goes on behind the reply to `message`.

        One that has been read already is taken: a drain ends the connection behind the last of these, not before it (rule 1).
        """
        if not (message.keep_alive and message.is_complete) or self.stream.fault:
            return False
        return bool(self.stream.completed or not self.server.lifecycle.closes_connections())

    def mark_idle(self) -> None:
        """A request was answered: the connection waits for the next."""
        self.is_busy, self.waiting_since = False, environment.monotonic()

    async def send(self, data: bytes) -> None:
        """Writes; the sweeper sees to the time: a timer for each write costs more than the write."""
        self.sending_since = environment.monotonic()
        await self.server.loop.sock_sendall(self.sock, data)
        self.sending_since = None

    def has_client_left(self) -> bool:
        """By what the machine knows now."""
        return self.is_closed or environment.has_peer_ended(self.sock)

    # Close

    def evict(self) -> None:
        """Ends the connection from outside: its place is needed, or nothing more of its body comes.

        Half a request is told so: its last byte may be on its way, and closed without a word it would be lost (rule 1).
        """
        if self.stream.has_begun and not self.sending_since and not self.reply_writer.response_body:
            with contextlib.suppress(OSError):
                self.sock.send(writer.response(client_replies.REQUEST_TIMEOUT, keep_alive=False))
        self.close()

    def close(self) -> None:
        """Closes the connection, also from outside."""
        if self.is_closed:
            return
        if self._leaves_client_unanswered():
            self.server.dispatcher.guard.record_unanswered_close(self.request_runner.context)
        self.is_closed = True
        self._end_tasks()
        self.server.deregister(self)
        self.stream.close()
        self.sock.close()

    def _leaves_client_unanswered(self) -> bool:
        """Whether it is closed with a complete request unanswered, its client waiting."""
        context, stream = self.request_runner.context, self.stream
        if context is None or context.is_answered or stream.has_begun or stream.fault:
            return False
        return not environment.has_peer_ended(self.sock)

    def _end_tasks(self) -> None:
        context, current = self.request_runner.context, asyncio.current_task()
        runs_attempt = context is not None and context.on_command is not None
        if context is not None and runs_attempt:  # its task runs an attempt, and would take a cancel for a word to that
            context.on_command = None
            self.server.tasks.adopt(self.task)
        elif current is not self.task:
            self.task.cancel()
        self.request_runner.drop()
        body = self.request_runner.body_stream
        if body and body.task not in (None, current, None if runs_attempt else self.task):
            body.task.cancel()  # it reads from the connection that ends
