"""One poll of discovery, and the watch that it becomes once its list has come."""

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

MAX_SILENCE_SECONDS = 2.5  # a watch says something every 2 s
# Of a poll's patience: discovery that ends it sooner is there, and has no time.
QUICK_END_RATIO = 0.25
# Of it: a poll that waits on with no byte of a response is taken for an outage's.
OUTAGE_RATIO = 0.5
MAX_LIST_CHARACTERS = 1 << 22
MAX_QUOTED = 120  # characters of what was cut short
SILENT = "silent"


class PollPhase(enum.IntEnum):
    """How far a poll came."""

    NOT_DIALED = 0  # this machine could not dial: no descriptor, or another local error
    DIALED = 1
    CONNECTED = 2
    ANSWERED = 3  # a response with status 200 has begun
    WATCHING = 4  # it brought its list


class DiscoveryWatch:
    """Dials, asks for the list, and follows its changes until it ends.  Times in ms, monotonic."""

    def __init__(self, client: "DiscoveryClient", number: int):
        self._client = client
        self._loop = client.loop
        self.number = number  # in the log
        self.phase = PollPhase.NOT_DIALED
        self.began_at = environment.monotonic_ms()
        self.tried_at = self.began_at  # when its last dial began, or its request was written
        self.silent_since: float | None = None  # when it was last heard, if it was given up as silent
        self._is_outage_considered = False
        self._json = JsonStream()
        self._documents: list[Any] = []  # received and not taken in yet
        self._is_alive = False  # an empty line came, a sign of life

    def poll_end(self, now: float, poll_timeout_ms: float) -> PollEnd:
        """How it failed, if it brought no list; `poll_timeout_ms` is for how long a poll may take."""
        if self.phase is PollPhase.NOT_DIALED:
            return PollEnd.NOT_SENT
        if self.phase is PollPhase.DIALED:
            return PollEnd.UNREACHABLE
        if self.phase is PollPhase.ANSWERED or now - self.tried_at < QUICK_END_RATIO * poll_timeout_ms:
            return PollEnd.REFUSED
        return PollEnd.UNANSWERED

    async def run(self) -> str:
        """From its dial to its end; why it ended."""
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
        """Dials again and again for as long as a poll may take.

        One that never arrived cost discovery nothing, and after a network cut every second without the list is one in which
        drains go unheard (rule 3).  Where one may have been missed nothing is sent from some time on, and it dials until it
        is through: a pause between two polls would go on when the cut is over.
        """
        client = self._client
        if not client.budget.acquire():
            return None
        until, sock = self._loop.time() + client.poll_timeout_ms / 1000, None
        try:
            while not (sock := await self._dial_once()):
                client.use_cached_list()
                if self.phase is PollPhase.DIALED and client.is_current_task():
                    client.events.poll_waiting(self.began_at, self.tried_at)
                if self._loop.time() >= until and not client.events.is_watch_overdue():
                    return None
                await asyncio.sleep(client.redial_pause_ms / 1000)
            self.phase = PollPhase.CONNECTED
            return sock
        finally:
            if not sock:
                client.budget.release()

    async def _dial_once(self) -> socket.socket | None:
        """One dial; None if no connection came up.  What this machine cannot do tells nothing of discovery."""
        self.tried_at = environment.monotonic_ms()
        try:
            sock = await sockets.connect(self._loop, self._client.address, self._client.connect_timeout_ms)
        except OSError as error:
            warn("dial failed", "discovery={}:{} error={!r}", *self._client.address, error)
            self.phase = PollPhase.NOT_DIALED
            return None
        self.phase = PollPhase.DIALED
        return sock

    # Ask and follow

    def _request(self) -> bytes:
        client = self._client
        after = "" if client.revision is None else f"{protocol.REVISION_PARAMETER}{client.revision}"
        host = "{}:{}".format(*client.address).encode()
        return writer.request(b"GET", (protocol.ENDPOINTS_PATH + after).encode(), [(b"Host", host)])

    async def _follow(self, sock: socket.socket) -> str:
        """Takes what comes, list by list, until it ends; why it did."""
        client = self._client
        stream = HttpStream(self._loop, sock, client.buffers, is_response=True, on_body=self._body_came)
        try:
            # A poll waits its turn at discovery; a watch that stands says something now and then.
            due = self._loop.time() + client.poll_timeout_ms / 1000
            async with asyncio.timeout_at(due):
                await self._loop.sock_sendall(sock, self._request())
            if not await self._take_in_until_end(stream, sock, due):
                return SILENT
        except TimeoutError:
            self.silent_since = self.tried_at
            return SILENT
        except OSError as error:
            return str(error)
        finally:
            # It may know nothing of the revision named, having begun anew: nothing would ever have changed after that.
            if self.phase is not PollPhase.WATCHING and 200 <= stream.message.status < 500:
                client.revision = None
            stream.close()
        if self._json.pending:
            warn("endpoint list", "cut short, ignored: {!r}", self._json.pending[:MAX_QUOTED])
        return stream.fault.value if stream.fault else f"answered {stream.message.status}, ended"

    async def _take_in_until_end(self, stream: HttpStream, sock: socket.socket, due: float) -> bool:
        """Whether discovery ended it; else it fell silent.  `due` is in seconds of the loop."""
        heard_at = self.tried_at = environment.monotonic_ms()
        while not stream.fault and not stream.completed and len(self._json.pending) < MAX_LIST_CHARACTERS:
            if not await self._receive(stream, sock, due):
                # After this program stood still the time is over before anything is read: what lies there are changes,
                # and dropped with the watch they would be heard only when the next one stands (rule 3).
                if is_open_and_idle(sock):
                    self.silent_since = heard_at
                    return False
                due = self._loop.time() + MAX_SILENCE_SECONDS
            is_alive = self._is_alive or bool(self._documents)
            while self._documents:
                if self._client.apply_list(self._documents.pop(0), self.number):
                    self.phase = PollPhase.WATCHING
            # A sign of life, an empty line or what cannot be read, is one of a watch that has told its list and is not
            # half way through another.
            if is_alive and self.phase is PollPhase.WATCHING:
                due, heard_at = self._loop.time() + MAX_SILENCE_SECONDS, environment.monotonic_ms()
                self._client.watch_confirmed()
            self._is_alive = False
        return True

    async def _receive(self, stream: HttpStream, sock: socket.socket, due: float) -> bool:
        """Receives once, until `due`; whether anything came."""
        if self.phase < PollPhase.ANSWERED and not self._is_outage_considered:
            self._is_outage_considered = True
            outage_at = self.tried_at + OUTAGE_RATIO * self._client.poll_timeout_ms
            if await stream.receive_within(max(0.0, (outage_at - environment.monotonic_ms()) / 1000)):
                return True
            if self._client.is_current_task() and is_open_and_idle(sock):
                self._client.events.poll_waiting(self.began_at, self.tried_at)
        return await stream.receive_within(max(0.0, due - self._loop.time()))

    def _body_came(self, message: Message, data: bytes) -> None:
        if message.status != 200:
            return
        if self.phase < PollPhase.ANSWERED:
            self._tell_time(message)
            self.phase = PollPhase.ANSWERED
        self._documents.extend(self._json.feed(data))
        self._is_alive = self._is_alive or b"\n" in data and not self._json.pending

    def _tell_time(self, message: Message) -> None:
        """What time discovery says it is, where it says so (RFC 9110, 6.6.1)."""
        if date := message.header(b"date"):
            with contextlib.suppress(ValueError, OverflowError):
                self._client.events.discovery_time_received(parsedate_to_datetime(date.decode("latin-1")).timestamp() * 1000)
