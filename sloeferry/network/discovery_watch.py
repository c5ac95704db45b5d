"""One poll of discovery, which becomes a watch once its list has arrived."""

import asyncio
import contextlib
import enum
import socket
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING, Any

from sloeferry import environment
from sloeferry.network import protocol, sockets
from sloeferry.network.http1 import writer
from sloeferry.network.http1.message import Message
from sloeferry.network.http1.stream import HttpStream
from sloeferry.network.json_stream import JsonStream
from sloeferry.network.limited_log import warn
from sloeferry.network.sockets import is_open_and_idle
from sloeferry.policy.endpoint_staleness import PollEnd

if TYPE_CHECKING:
    from sloeferry.network.discovery_client import DiscoveryClient

MAX_SILENCE_SECONDS = 2.5  # discovery sends a list or a keep-alive line on an open watch at least every 2 s
# Discovery that ends a poll within this ratio of the poll timeout is reachable but overloaded.
QUICK_END_RATIO = 0.25
# A poll without a byte of a response after this ratio of the poll timeout counts as a sign of an outage.
OUTAGE_RATIO = 0.5
MAX_LIST_CHARACTERS = 1 << 22
MAX_QUOTED = 120  # characters of a truncated list in a log line
SILENT_REASON, RESET_REASON = "silent", "reset"


class PollPhase(enum.IntEnum):
    """The phases of a poll, in their order."""

    NOT_DIALED = 0  # no descriptor, or the dial failed with a local error
    DIALED = 1
    CONNECTED = 2
    ANSWERED = 3  # a response with status 200 has begun
    WATCHING = 4  # the list has arrived


class DiscoveryWatch:
    """Dials discovery, requests the list, and applies its changes until the response ends.  Times in ms, monotonic."""

    def __init__(self, client: "DiscoveryClient", number: int):
        self._client = client
        self._loop = client.loop
        self.number = number  # identifies the poll in the log
        self.phase = PollPhase.NOT_DIALED
        self.began_at = environment.monotonic_ms()
        self.tried_at = self.began_at  # when the last dial began, or the request was written
        self.silent_since: float | None = None  # when the watch was last heard from, if it was given up as silent
        self.was_reset = False  # the connection ended with an error, not with the end of the stream
        self._is_outage_check_done = False
        self._json_stream = JsonStream()
        self._documents: list[Any] = []  # received and not yet applied
        self._is_alive = False  # a keep-alive line has arrived

    def poll_end(self, now: float, poll_timeout_ms: float) -> PollEnd:
        """Return how a poll that brought no list failed."""
        if self.phase is PollPhase.NOT_DIALED:
            return PollEnd.NOT_SENT
        if self.phase is PollPhase.DIALED:
            return PollEnd.UNREACHABLE
        if self.phase is PollPhase.ANSWERED or now - self.tried_at < QUICK_END_RATIO * poll_timeout_ms:
            return PollEnd.REFUSED
        return PollEnd.UNANSWERED

    async def run(self) -> str:
        """Run the poll and its watch to the end, and return the reason for the end."""
        sock = await self._dial()
        if sock is None:
            return "no connection"
        client = self._client
        client.open_sockets[sock] = None
        try:
            return await self._follow(sock)
        finally:
            del client.open_sockets[sock]
            sock.close()
            client.budget.release()

    # Dial

    async def _dial(self) -> socket.socket | None:
        """Dial until a connection is established; return None without a descriptor or after the poll timeout.

        A dial that does not arrive costs discovery nothing, and during a network partition drains go unnoticed for as long as
        the list is missing (rule 3).  While a silent watch has not been replaced, no attempt is sent once the list is stale;
        the dialing then continues past the timeout, since a backoff between polls would outlast the partition.
        """
        client = self._client
        if not client.budget.acquire():
            return None
        ends_at, sock = self._loop.time() + client.poll_timeout_ms / 1000, None
        try:
            while not (sock := await self._dial_once()):
                client.use_cached_list()
                if self.phase is PollPhase.DIALED and client.is_current_task():
                    client.events.dial_failed(self.began_at, self.tried_at)
                if self._loop.time() >= ends_at and not client.events.is_watch_overdue():
                    return None
                await asyncio.sleep(client.redial_pause_ms / 1000)
            self.phase = PollPhase.CONNECTED
            return sock
        finally:
            if not sock:
                client.budget.release()

    async def _dial_once(self) -> socket.socket | None:
        """Dial once, and return None if no connection is established.

        A local error is not evidence that discovery is unreachable: the phase returns to `NOT_DIALED`.
        """
        self.tried_at = environment.monotonic_ms()
        try:
            sock = await sockets.connect(self._loop, self._client.address, self._client.connect_timeout_ms)
        except OSError as error:
            warn("dial failed", "discovery={}:{} error={!r}", *self._client.address, error)
            self.phase = PollPhase.NOT_DIALED
            return None
        self.phase = PollPhase.DIALED
        return sock

    # Request and watch

    def _request(self) -> bytes:
        client = self._client
        parameter = "" if client.revision is None else f"{protocol.REVISION_PARAMETER}{client.revision}"
        host = "{}:{}".format(*client.address).encode()
        return writer.request(b"GET", (protocol.ENDPOINTS_PATH + parameter).encode(), [(b"Host", host)])

    async def _follow(self, sock: socket.socket) -> str:
        """Request the list, apply lists and changes until the response ends, and return the reason for the end."""
        client = self._client
        stream = HttpStream(
            self._loop, sock, client.buffers, is_response=True, on_body=self._receive_body, reads_large_bodies=True
        )
        try:
            # Before the list arrives the poll timeout applies, since the poll may wait in discovery's queue; after that the
            # silence limit of a watch applies.
            silent_at = self._loop.time() + client.poll_timeout_ms / 1000
            async with asyncio.timeout_at(silent_at):
                await self._loop.sock_sendall(sock, self._request())
            if not await self._apply_until_end(stream, sock, silent_at):
                return SILENT_REASON
        except TimeoutError:
            self.silent_since = self.tried_at
            return SILENT_REASON
        except OSError as error:
            return str(error)
        finally:
            # A restarted discovery may have lost its revisions and never report a change after the requested revision: the next
            # poll requests the complete list.
            if self.phase is not PollPhase.WATCHING and 200 <= stream.message.status < 500:
                client.revision = None
            self.was_reset = stream.was_reset
            stream.close()
        if self._json_stream.pending:
            warn("endpoint list", "cut short, ignored: {!r}", self._json_stream.pending[:MAX_QUOTED])
        if stream.was_reset:
            return RESET_REASON
        return stream.fault.value if stream.fault else f"answered {stream.message.status}, ended"

    async def _apply_until_end(self, stream: HttpStream, sock: socket.socket, silent_at: float) -> bool:
        """Apply lists until the response ends; return False if the watch has fallen silent instead.

        `silent_at`: the event loop's time (seconds) at which the watch counts as silent if nothing arrives before.
        """
        heard_at = self.tried_at = environment.monotonic_ms()
        while not stream.fault and not stream.completed and len(self._json_stream.pending) < MAX_LIST_CHARACTERS:
            if not await self._receive(stream, sock, silent_at):
                # After a stall of this process the time may have passed while changes lie unread in the socket.  If they were
                # dropped with the watch, they would be known only once the next watch has its list (rule 3).
                if is_open_and_idle(sock):
                    self.silent_since = heard_at
                    return False
                silent_at = self._loop.time() + MAX_SILENCE_SECONDS
            is_alive = self._is_alive or bool(self._documents)
            while self._documents:
                if self._client.apply_list(self._documents.pop(0), self.number):
                    self.phase = PollPhase.WATCHING
            # A keep-alive line, empty or unreadable, confirms the list only if the watch has received its list and is not in
            # the middle of another document.
            if is_alive and self.phase is PollPhase.WATCHING:
                silent_at, heard_at = self._loop.time() + MAX_SILENCE_SECONDS, environment.monotonic_ms()
                self._client.watch_confirmed()
            self._is_alive = False
        return True

    async def _receive(self, stream: HttpStream, sock: socket.socket, receive_until: float) -> bool:
        """Receive once, and return False if nothing arrives until `receive_until` (event loop time).

        If the response has not begun after `OUTAGE_RATIO` of the poll timeout, a possible outage is reported once.
        """
        if self.phase < PollPhase.ANSWERED and not self._is_outage_check_done:
            self._is_outage_check_done = True
            outage_at = self.tried_at + OUTAGE_RATIO * self._client.poll_timeout_ms
            if await stream.receive_within(max(0.0, (outage_at - environment.monotonic_ms()) / 1000)):
                return True
            if self._client.is_current_task() and is_open_and_idle(sock):
                self._client.events.poll_waiting(self.began_at, self.tried_at)
        return await stream.receive_within(max(0.0, receive_until - self._loop.time()))

    def _receive_body(self, message: Message, data: bytes) -> None:
        if message.status != 200:
            return
        if self.phase < PollPhase.ANSWERED:
            self._report_discovery_time(message)
            self.phase = PollPhase.ANSWERED
        self._documents.extend(self._json_stream.feed(data))
        self._is_alive = self._is_alive or b"\n" in data and not self._json_stream.pending

    def _report_discovery_time(self, message: Message) -> None:
        """Report discovery's clock from the Date header, if there is one (RFC 9110, 6.6.1)."""
        if date := message.header(b"date"):
            with contextlib.suppress(ValueError, OverflowError):
                self._client.events.discovery_time_received(parsedate_to_datetime(date.decode("latin-1")).timestamp() * 1000)
