"""Serves one client connection: read a request, admit it, dispatch it, reply, then close or read the next."""

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.environment import PeerState
from sloeferry.network import client_replies, protocol
from sloeferry.network.attempt import OutgoingRequest
from sloeferry.network.client_state import MAX_UNNOTICED_AT_INTAKE_MS, MAX_UNNOTICED_MS, ClientState
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.last_byte_bound import MAX_TRANSIT_MS
from sloeferry.network.limited_log import warn
from sloeferry.network.memory_budget import MAX_WAIT_SECONDS
from sloeferry.network.reply_writer import ReplyWriter
from sloeferry.network.request_intake import METHODS
from sloeferry.network.request_reader import ReadOutcome, RequestReader
from sloeferry.network.request_runner import RequestRunner
from sloeferry.network.write_progress import WriteProgress

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

MAX_READ_PAUSE_SECONDS = 5.0  # of a client that is sent a response
MAX_ROOM_WAIT_MS = 100.0  # of new connections, for one whose client pipelines requests


class ClientConnection:
    """A client connection and the task that serves its requests one at a time.

    `serve` returns when the connection ends; the sweeper, the descriptor budget and the shutdown may close it at any time.
    """

    def __init__(self, server: "ClientServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.client_state = ClientState(sock)
        self.reader = RequestReader(self)
        self.stream = self.reader.stream
        self.request_runner = RequestRunner(self)
        self.reply_writer = ReplyWriter(self)
        self.is_busy = False  # a request is in flight
        self.is_new = True  # no request has been received yet
        self.is_closed = False
        self._is_pipelined = False  # the client has sent a request before the answer to the one before
        self.is_in_queue_epoll = False  # the admission queue's
        # Seconds, monotonic: the time of connecting, of the last reply, or of the first byte of the next request.
        self.waiting_since = environment.monotonic()
        self.write_progress = WriteProgress(server.loop, sock, MAX_READ_PAUSE_SECONDS)  # the sweeper looks at it
        server.connections[self] = None  # a dict keeps the order of arrival; that of a set is not reproducible
        self._running_task_count = 0
        self.task = self._start_task()

    def _start_task(self, in_flight: tuple[OutgoingRequest, Message] | None = None) -> asyncio.Task:
        task = self.server.loop.create_task(self.serve(in_flight))
        self._running_task_count += 1
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        """Free the closed connection once its last task has ended, rather than when the garbage collector runs.

        Its parts refer to it, and a cancelled task does through its traceback.
        """
        self._running_task_count -= 1
        if self._running_task_count == 0:
            self.reader.detach()
            self.request_runner.detach()
            self.reply_writer.detach()
            del self.task

    async def serve(self, in_flight: tuple[OutgoingRequest, Message] | None = None) -> None:
        """Serve all requests of this connection; `in_flight` is a request taken over from another task."""
        keep_alive: bool | None = True
        try:
            if in_flight:
                request, message = in_flight
                keep_alive = await self._reply(message, await self.request_runner.run(request, message))
            while keep_alive:
                keep_alive = await self._serve_next()
                if keep_alive and self.stream.has_pending:
                    self._is_pipelined = True
                    await self.server.pipeline_turns.wait()
            if self.is_owned_by_current_task() and self._has_unread_input():
                await self.reply_writer.lingering_close()  # unread bytes would reset the connection
        except OSError:  # the client has disconnected, or a write failed
            pass
        except Exception as error:  # an error ends this connection only
            logger.opt(exception=True).error("connection failed: {!r}", error)
        finally:
            if self.is_owned_by_current_task():
                self.close()

    def is_owned_by_current_task(self) -> bool:
        """Return whether the current task serves this connection: it alone reads requests, writes replies and closes.

        A task loses the connection to the one that `hand_over` starts, and when the connection is closed.
        """
        return not self.is_closed and asyncio.current_task() is self.task

    def _has_unread_input(self) -> bool:
        return self.stream.fault is not StreamEnd.CLOSED and not self.client_state.is_idle()

    def hand_over(self, request: OutgoingRequest, message: Message) -> None:
        """Let a new task execute a command that arrived while this connection's task runs an attempt."""
        self.server.tasks.adopt(self.task)
        self.task = self._start_task((request, message))

    async def _serve_next(self) -> bool | None:
        """Serve the next request; return whether another may follow, or None if another task has taken over."""
        outcome = await self.reader.read()
        if outcome is ReadOutcome.CLOSING:
            return False
        if outcome is ReadOutcome.REJECTED:
            return await self.reply_writer.reject(self.reader.retry_after_if_rejected_ms)
        if outcome is ReadOutcome.NO_MEMORY:
            request_id = self.stream.message.header(protocol.REQUEST_ID)
            warn("no memory for a request", "id={!r} account={}", request_id, self.server.memory.gauges())
            return await self.reply_writer.reject(self.server.intake.retry_after_ms(MAX_WAIT_SECONDS * 1000), keep_alive=False)
        message = self.reader.take_message()
        if message is None:
            return await self.reply_writer.refuse(self._refusal_status())
        self.is_busy, self.is_new = True, False
        unread_ms = self.reader.take_unread_ms(message)
        if message.attributes and not await self._is_client_present(message, unread_ms):
            request_id = message.header(protocol.REQUEST_ID) or b""
            self.server.request_ids.add(request_id)
            warn("client may have ended", "request={!r} held_bytes={}", request_id, self.stream.held_bytes)
            delay_ms = self.server.intake.retry_after_ms(MAX_UNNOTICED_MS)
            return await self.reply_writer.reject(delay_ms, self._keeps_alive(message))
        if unread_ms and message.attributes and message.attributes.time_left_ms <= unread_ms:
            # Its deadline passed while the event loop was stalled: reject it, regardless of free capacity.
            message.retry_after_if_rejected_ms = self.server.intake.retry_after_if_rejected_ms(message, has_waited=True)
        if self._is_pipelined and message.attributes and self._must_make_room():
            message.retry_after_if_rejected_ms = self.server.intake.retry_after_ms(MAX_ROOM_WAIT_MS)
        if message.retry_after_if_rejected_ms is not None and message.attributes:
            self.server.request_ids.add(message.header(protocol.REQUEST_ID) or b"")
        if message.retry_after_if_rejected_ms is not None:  # it was incomplete or not in plain form, so it was parsed first
            return await self.reply_writer.reject(message.retry_after_if_rejected_ms, self._keeps_alive(message))
        return await self._reply(message, await self.request_runner.start(message, unread_ms))

    async def _is_client_present(self, message: Message, unread_ms: float) -> bool:
        """Return whether the client's end would be known by now, reading ahead to find it.

        If more is unread than can be held, it may wait behind that.
        """
        if self.client_state.was_present_lately(MAX_UNNOTICED_AT_INTAKE_MS - unread_ms):
            return True
        if not message.is_complete and unread_ms <= MAX_UNNOTICED_AT_INTAKE_MS:
            return True  # its body is read as it comes
        if message.is_complete and not self.reader.read_ahead():
            return False
        state = self.client_state.observe()
        if state is PeerState.IDLE and self.client_state.may_hold_end_back():
            await asyncio.sleep(MAX_TRANSIT_MS / 1000)
            if message.is_complete and not self.reader.read_ahead():
                return False
            state = self.client_state.observe()
        return state is not PeerState.UNREAD

    def _refusal_status(self) -> int | None:
        """Return the status for input that is not a valid request; None if the client has disconnected."""
        fault = self.stream.fault
        if fault is StreamEnd.UNWANTED and self.stream.message.method not in METHODS:
            return client_replies.METHOD_NOT_ALLOWED
        return client_replies.STATUS_BY_FAULT.get(fault) if fault else None

    async def _reply(self, message: Message, reply: client_replies.Reply | None) -> bool | None:
        """Write the reply; return whether another request may follow, or None if another task has taken over."""
        if reply is None:
            return None
        return await self.reply_writer.reply(message, reply, self._keeps_alive(message))

    def _keeps_alive(self, message: Message) -> bool:
        """Return whether the connection stays open after the reply to `message`.

        Pipelined requests that have been read are still served: a drain closes the connection after the last one (safety
        rule 1).
        """
        if not (message.keep_alive and message.is_complete) or self.stream.fault:
            return False
        if self.stream.has_pending:
            return True
        return not self.server.lifecycle.closes_connections() and not self._must_make_room()

    def _must_make_room(self) -> bool:
        """Return whether a client that has sent further requests already holds a descriptor for which others wait.

        It never waits for a request, which is when a descriptor is taken from a connection.
        """
        if not self.server.listener.has_backlog_waited(MAX_ROOM_WAIT_MS):
            return False
        return self.stream.has_pending or not self.client_state.is_idle()

    def mark_idle(self) -> None:
        """Record that the request was answered and the connection waits for the next."""
        self.is_busy, self.waiting_since = False, environment.monotonic()
        self.stream.forget_message()
        self.write_progress.restart()

    async def send(self, data: bytes) -> None:
        """Send data; the sweeper ends a write that stalls, because a timer for each write costs more than the write."""
        await self.write_progress.send(data)

    def is_sending(self) -> bool:
        """Return whether a write has begun and not ended."""
        return self.write_progress.waiting_since is not None

    def may_client_have_left(self) -> bool:
        """Return whether no attempt may begin for the client any more: its end has arrived, or may wait behind unread bytes."""
        return self.is_closed or self.client_state.may_have_ended()

    # Close

    def evict(self) -> None:
        """Close the connection because its descriptor is needed or its request body has stalled.

        A partial request is answered with 408: its last byte may be in transit, and without a reply the request would be lost
        (safety rule 1).
        """
        if self.stream.has_begun and not self.is_sending() and not self.reply_writer.response_body:
            with contextlib.suppress(OSError):
                self.sock.send(writer.response(client_replies.REQUEST_TIMEOUT, keep_alive=False))
        self.close()

    def close(self) -> None:
        """Close the connection; any task may call this."""
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
        """Return whether a complete request would stay unanswered while its client still waits."""
        context, stream = self.request_runner.context, self.stream
        if context is None or context.is_answered or stream.has_begun or stream.fault:
            return False
        return not self.client_state.observe().has_ended

    def _end_tasks(self) -> None:
        context, current = self.request_runner.context, asyncio.current_task()
        runs_attempt = context is not None and context.on_command is not None
        if context is not None and runs_attempt:  # the task runs an attempt inline: a cancel would cancel the attempt
            context.on_command = None
            self.server.tasks.adopt(self.task)
        elif current is not self.task:
            self.task.cancel()
        self.request_runner.drop()
        body = self.request_runner.body_stream
        if body:
            body.stop_reading()
        if body and body.task not in (None, current, None if runs_attempt else self.task):
            body.task.cancel()  # it reads from this connection
