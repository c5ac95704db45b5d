"""Writes the replies of a client connection."""

import asyncio
import socket
from typing import TYPE_CHECKING

from sloeferry.network import client_replies, protocol
from sloeferry.network.body_stream import BodyInterruptedError
from sloeferry.network.client_replies import Reply
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.streamed_body import StreamedBody
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import reset_on_close

if TYPE_CHECKING:
    from sloeferry.network.client_connection import ClientConnection

MAX_LOGGED_HEADERS = 12  # of a refused request
# Limits of a lingering close, during which the client can read the reply.
LINGERING_CLOSE_SECONDS, LINGERING_CLOSE_READS = 0.5, 16
MAX_LINGERING_CLOSE_RATIO = 1 / 8  # of the descriptor budget


class ReplyWriter:
    """The sending side of a client connection."""

    def __init__(self, connection: "ClientConnection"):
        self._connection = connection
        self._server = connection.server
        self.response_body: StreamedBody | None = None  # of a response being forwarded
        self._has_used_lingering_close = False

    async def reply(self, message: Message, reply: Reply, keep_alive: bool) -> bool:
        """Write the reply to a request; return whether another request may follow."""
        if 400 <= reply.status < 500:  # a client that sends one bad request tends to send more: close the connection
            return await self.refuse(reply.status)
        if isinstance(reply.body, bytes):
            await self._connection.send(writer.response(reply.status, reply.body, reply.headers, keep_alive))
        else:
            keep_alive = await self._forward(message, reply, reply.body, keep_alive)
        if not message.is_complete:
            await self.lingering_close()  # answered before all of the request's body arrived
        self._connection.mark_idle()
        return keep_alive

    async def _forward(self, message: Message, reply: Reply, body: StreamedBody, keep_alive: bool) -> bool:
        """Forward a response while it is received; return whether another request may follow.

        If the backend connection breaks, the client can detect the truncation: the connection ends before the announced length
        or without the last chunk. Where the response has no framing, the connection is reset.
        """
        self.response_body, framing = body, body.framing(message.is_http10)
        keep_alive = keep_alive and bool(framing)
        try:
            head = writer.response(reply.status, b"", reply.headers, keep_alive, framing)
            await self._connection.send(head)
            await body.forward(self._connection.send, message.is_http10)
            return keep_alive
        except BodyInterruptedError as error:
            warn(
                "response broke off",
                "request={!r} reason={!r} backend={} forwarded_bytes={}",
                message.header(protocol.REQUEST_ID),
                str(error),
                body.endpoint_id,
                body.forwarded_bytes,
            )
            if not framing:
                reset_on_close(self._connection.sock)
            return False
        finally:
            self.response_body = None
            body.close()

    async def reject(self, delay_ms: float, keep_alive: bool = True) -> bool:
        """Reply that a request is rejected before it was accepted; return whether another request may follow."""
        self._connection.is_new = False
        reply = client_replies.rejection_reply(delay_ms)
        await self._connection.send(writer.response(reply.status, headers=reply.headers, keep_alive=keep_alive))
        self._connection.mark_idle()
        return keep_alive

    async def refuse(self, status: int | None) -> bool:
        """Reply with an error status to input that is not forwarded, then close; always return False."""
        if status:
            stream = self._connection.stream
            message, fault = stream.message, stream.fault
            warn(
                "request refused",
                "status={} fault={!r} method={!r} url={!r} headers={!r}",
                status,
                fault.value if fault else "",
                message.method,
                message.url[:80],
                message.headers[:MAX_LOGGED_HEADERS],
            )
            await self._connection.send(writer.response(status, keep_alive=False))
            await self.lingering_close()
        return False

    async def lingering_close(self) -> None:
        """Half-close the socket and read on for a short time before it is closed.

        Closing a socket with unread bytes resets the connection, and the reply would be lost. The number of lingering closes
        and their duration are limited: each holds a descriptor, and a client that has 60 MB left to send would delay all others.
        """
        server, sock = self._server, self._connection.sock
        if self._has_used_lingering_close or server.lingering_close_count >= int(server.budget.limit * MAX_LINGERING_CLOSE_RATIO):
            return
        self._has_used_lingering_close = True
        server.lingering_close_count += 1
        buffer = server.buffers.acquire()
        try:
            sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGERING_CLOSE_SECONDS):
                for _ in range(LINGERING_CLOSE_READS):
                    if not await server.loop.sock_recv_into(sock, buffer):
                        break
        finally:
            server.lingering_close_count -= 1
            server.buffers.release(buffer)

    def detach(self) -> None:
        """Drop the reference to the connection, after its end."""
        del self._connection
