"""One client's connection: read a request, admit it, dispatch it, reply, and close or read the next."""

import asyncio
import contextlib
import enum
import socket
from typing import TYPE_CHECKING

from loguru import logger

from sloeferry import environment
from sloeferry.network import client_replies
from sloeferry.network.attempt import OutgoingRequest
from sloeferry.network.body_stream import BodyInterruptedError, ResponseBodyStream
from sloeferry.network.client_replies import Reply
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import StreamEnd
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.limited_log import warn
from sloeferry.network.request_carrier import RequestCarrier
from sloeferry.network.request_intake import METHODS
from sloeferry.network.sockets import is_quiet, reset_on_close

if TYPE_CHECKING:
    from sloeferry.network.client_server import ClientServer

# A refused sender has so long, and so many reads, to read why.
LINGER_SECONDS, LINGER_READS = 0.5, 16
LINGERING_RATIO = 8  # one in so many places of the budget may be held by those that linger


class _ReadEnd(enum.Enum):
    """What reading came to."""

    REQUEST = "a request, or what is none"
    REJECTED = "rejected unparsed"
    CLOSING = "no further request is read"


class ClientConnection:
    """What the connection asks, one request after the other.

    `serve` returns at its end; the sweeper, the descriptor budget and the shutdown close it from outside.
    """

    def __init__(self, server: "ClientServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self._loop = server.loop
        self.stream = HttpStream(
            server.loop,
            sock,
            server.buffers,
            is_response=False,
            is_wanted=server.intake.is_wanted,
            reject_unparsed=self.reject_unparsed,
        )
        self.carrier = RequestCarrier(self)
        self.is_busy = False  # a request is on its way
        self.is_new = True  # nothing was asked yet
        self.is_closed = False
        self.rejection_delay_ms = 0.0  # of the last rejection
        # Seconds, monotonic: when it connected, was answered, or began to ask again.
        self.waiting_since = environment.monotonic()
        self.sending_since: float | None = None  # seconds; the sweeper looks at it
        self.receiving_body_since: float | None = None  # seconds
        self.response_body: ResponseBodyStream | None = None  # on its way
        self.is_queued_once = False  # known to the admission queue
        self.queued_since: float | None = None  # ms; since when it may have waited, with others, to be let in
        self.unread_ms = 0.0  # for how long what it sent lay unread while this program stood still
        self._is_reading = False
        self._is_overdue = False
        self._has_lingered = False
        server.connections[self] = None  # in the order they came, not a set's, which is chance's
        self.task = self._loop.create_task(self.serve())

    async def serve(self, carried: tuple[OutgoingRequest, Message] | None = None) -> None:
        """All requests of this connection; `carried` is one under way, taken over from another task."""
        keep_alive: bool | None = True
        try:
            if carried:
                request, message = carried
                keep_alive = await self._reply(message, await self.carrier.carry(request, message))
            while keep_alive:
                keep_alive = await self._serve_next()
            if keep_alive is False and self.stream.fault is not StreamEnd.CLOSED and not is_quiet(self.sock):
                await self._linger()  # it has sent more than was answered
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
        self.task = self._loop.create_task(self.serve((request, message)))

    async def _serve_next(self) -> bool | None:
        """The next request and its reply; whether another may follow, None if another task sees to that."""
        end = await self._read()
        if end is _ReadEnd.CLOSING:
            return False
        if end is _ReadEnd.REJECTED:
            return await self._reject()
        stream = self.stream
        if not stream.completed and not stream.oversized_message():
            is_method_known = stream.message.method in METHODS or stream.fault is not StreamEnd.UNWANTED
            status = client_replies.STATUS_BY_FAULT.get(stream.fault)
            return await self._refuse(status if is_method_known else client_replies.METHOD_NOT_ALLOWED)
        message = stream.completed.pop(0) if stream.completed else stream.message
        self.is_busy, self.is_new = True, False
        unread_ms = self._take_unread_ms(message)
        if unread_ms and message.target and message.target.time_left_ms <= unread_ms:
            # Its time went by while this program stood still: it is rejected, whatever could be taken on.
            message.rejection_delay_ms = self.server.intake.rejection_delay_ms(message, has_waited=True)
        if message.rejection_delay_ms is not None:  # more than its body was to be read, or it was no plain one
            self.rejection_delay_ms = message.rejection_delay_ms
            return await self._reject(self._keeps_alive(message))
        return await self._reply(message, await self.carrier.start(message, unread_ms))

    # Read

    async def _read(self) -> _ReadEnd:
        """Reads until a request is complete, or too long to be held, or cannot be read.

        Nothing is read while a request is out: two bodies for each client would not fit the memory.
        """
        stream, server = self.stream, self.server
        while not stream.completed and not stream.fault and not stream.oversized_message():
            if server.shutdown.is_done_with(self):
                return _ReadEnd.CLOSING
            had_begun = stream.has_begun
            server.budget.mark_waiting(self, self.close_for_another, self.is_new, had_begun)
            if not had_begun and server.dispatcher.overload.is_shedding() and not server.lifecycle.is_stopping:
                await server.admission_queue.park(self)
                if stream.completed or stream.fault or stream.has_begun:  # read there already
                    server.budget.mark_active(self)
                    continue
            end = await self._receive()
            server.budget.mark_active(self)  # something came, if not a complete request: not idle
            if not stream.completed:  # its last byte is yet to come, and its time runs from that
                self.queued_since = None
            if end is StreamEnd.REJECTED_UNPARSED:
                return _ReadEnd.REJECTED
            if stream.has_begun and not had_begun and not self.is_new:
                self.waiting_since = environment.monotonic()  # for all of it, or drops would hold it for ever
            if stream.has_begun and stream.message.expects_continue and not stream.fault:
                stream.message.expects_continue = False
                await self.send(writer.CONTINUE)
        return _ReadEnd.REQUEST

    async def _receive(self) -> StreamEnd | None:
        """Receives once; a request that is overdue ends here, not the task (`time_out_request`)."""
        try:
            self._is_reading = True
            return await self.stream.receive()
        except asyncio.CancelledError:
            if not self._is_overdue or self.is_closed:
                raise
            self.task.uncancel()
            self.stream.fault = StreamEnd.OVERDUE
            return StreamEnd.OVERDUE
        finally:
            self._is_reading = False

    def reject_unparsed(self, buffer: bytearray, n: int, has_waited: bool = False) -> bool:
        """Before anything is parsed, while requests are shed: whether a plain request is rejected here.

        It is for certain where it has waited for too long (`has_waited`).
        """
        delay_ms = self.server.intake.unparsed_rejection_delay_ms(buffer, n, has_waited)
        if delay_ms is None:
            return False
        self.rejection_delay_ms = delay_ms
        return True

    async def receive_body(self) -> None:
        """More of a body that is on its way; how long its client takes for it is looked at by the sweeper."""
        self.receiving_body_since = environment.monotonic()
        try:
            await self.stream.receive()
        finally:  # given up meanwhile it waits for nothing: its response may take long
            self.receiving_body_since = None

    def _take_unread_ms(self, message: Message) -> float:
        """For how long the request lay unread: while this program stood still, or outside with others."""
        unread_ms, self.unread_ms = max(self.unread_ms, self.server.stalls.loop_turned()), 0.0
        if self.queued_since is not None:
            # Not known to the ms: half of its time at the most, or a long crowded listener would reject all.
            most_ms = message.target.time_left_ms / 2 if message.target else 0.0
            queued_ms = environment.monotonic_ms() - self.queued_since
            unread_ms, self.queued_since = max(unread_ms, min(most_ms, queued_ms)), None
        return unread_ms

    # Reply

    async def _reply(self, message: Message, reply: Reply | None) -> bool | None:
        """Writes the reply; whether another request may follow."""
        if reply is None:
            return None
        if 400 <= reply.status < 500:  # whoever asks so once does it again: not on a connection that is kept
            return await self._refuse(reply.status)
        keep_alive = self._keeps_alive(message)
        if isinstance(reply.body, ResponseBodyStream):
            keep_alive = await self._forward_body(message, reply, keep_alive)
        else:
            await self.send(writer.response(reply.status, reply.body, reply.headers, keep_alive))
        if not message.is_complete:
            await self._linger()  # answered before all of its body had come
        self.is_busy, self.waiting_since = False, environment.monotonic()
        return keep_alive

    def _keeps_alive(self, message: Message) -> bool:
        """Whether the connection goes on behind the reply to `message`.

        One that has been read already is taken: a drain ends the connection behind the last of these, not before it (rule 1).
        """
        stream = self.stream
        if not (message.keep_alive and message.is_complete) or stream.fault:
            return False
        return bool(stream.completed or not self.server.lifecycle.closes_connections())

    async def _forward_body(self, message: Message, reply: Reply, keep_alive: bool) -> bool:
        """Sends a response as it comes; whether another request may follow.

        Where its backend breaks off the client can tell: the connection ends before the length that was said, or without
        the last chunk; to one that knows neither it is reset.
        """
        body = self.response_body = reply.body
        framing = body.framing(message.is_http10)
        keep_alive = keep_alive and bool(framing)
        try:
            await self.send(writer.response(reply.status, b"", reply.headers, keep_alive, framing))
            await body.forward(self, message.is_http10)
            return keep_alive
        except BodyInterruptedError:
            warn("response", "broke off on its way: {}", body.backend.stream.fault.value)
            if not framing:
                reset_on_close(self.sock)
            return False
        finally:
            self.response_body = None
            body.close()

    async def _reject(self, keep_alive: bool = True) -> bool:
        """Replies that the request is rejected before it was taken on."""
        self.is_new = False
        reply = client_replies.rejected(self.rejection_delay_ms)
        await self.send(writer.response(reply.status, headers=reply.headers, keep_alive=keep_alive))
        self.is_busy, self.waiting_since = False, environment.monotonic()
        return keep_alive

    async def _refuse(self, status: int | None) -> bool:
        """The last word to one that cannot be read or is not wanted; nothing of what it sent goes on."""
        if status:
            message, fault = self.stream.message, self.stream.fault
            warn(
                "refused",
                "{} {}: {!r} {!r} {!r}",
                status,
                fault.value if fault else "",
                message.method,
                message.url[:80],
                message.headers[:12],
            )
            await self.send(writer.response(status, keep_alive=False))
            await self._linger()
        return False

    async def send(self, data: bytes) -> None:
        """Writes; the sweeper sees to the time: a timer for each write costs more than the write."""
        self.sending_since = environment.monotonic()
        await self._loop.sock_sendall(self.sock, data)
        self.sending_since = None

    # Close

    def has_client_left(self) -> bool:
        """By what the machine knows now."""
        return self.is_closed or environment.has_peer_ended(self.sock)

    def time_out_request(self) -> None:
        """Half a request, and its time is over: it is told so.

        Closed without a word, one whose last byte is on its way would be lost (rule 1).  Only where it waits to read:
        cancelled while it writes, a reply of its own would break off half way.
        """
        if self._is_reading and not self._is_overdue:
            self._is_overdue = True
            self.task.cancel()

    async def _linger(self) -> None:
        """Reads on for a while: closed over unread bytes, a socket resets, and the reply is lost with it.

        Few at a time do so, and not for long: they hold places of the budget, and one with 60 MB to send would take the time
        of all others.
        """
        server = self.server
        if self._has_lingered or server.lingering >= server.budget.limit // LINGERING_RATIO:
            return
        self._has_lingered = True
        server.lingering += 1
        buffer = server.buffers.take()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER_SECONDS):
                for _ in range(LINGER_READS):
                    if not await self._loop.sock_recv_into(self.sock, buffer):
                        break
        finally:
            server.lingering -= 1
            server.buffers.give(buffer)

    def close_for_another(self) -> None:
        """Ends the connection from outside: its place is needed, or nothing more of its body comes.

        Half a request is told so: its last byte may be on its way, and closed without a word it would be lost (rule 1).
        """
        if self.stream.has_begun and not self.sending_since and not self.response_body:
            with contextlib.suppress(OSError):
                self.sock.send(writer.response(client_replies.REQUEST_TIMEOUT, keep_alive=False))
        self.close()

    def close(self) -> None:
        """Closes the connection, also from outside."""
        if self.is_closed:
            return
        context = self.carrier.context
        if context and not (
            context.is_answered or self.stream.has_begun or self.stream.fault or environment.has_peer_ended(self.sock)
        ):
            self.server.dispatcher.guard.closed_unanswered(context)
        self.is_closed = True
        self._end_tasks()
        self.server.forget(self)
        self.stream.close()
        self.sock.close()

    def _end_tasks(self) -> None:
        context, current = self.carrier.context, asyncio.current_task()
        runs_attempt = bool(context and context.on_command)
        if runs_attempt:  # its task runs an attempt, and would take a cancel for a word to that
            context.on_command = None
            self.server.tasks.adopt(self.task)
        elif current is not self.task:
            self.task.cancel()
        self.carrier.drop()
        body = self.carrier.body_stream
        if body and body.task not in (None, current, None if runs_attempt else self.task):
            body.task.cancel()  # it reads from the connection that ends
