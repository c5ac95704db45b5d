"""Links between two processes, and what can be done to them: asyncio, loopback, any number in one process.

A link listens for connections (the client's end) and dials the address that it stands for (the server's end).
"""

import asyncio
import enum
import socket
import struct
from dataclasses import dataclass
from typing import Any

from sloeferry.fault_testing.recorded_events import Event, EventSink
from sloeferry.stand_ins.http_messages import MessageReader
from sloeferry.stand_ins.wire_protocol import REQUEST_ID

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 seconds
BACKLOG = 1024
RESET_DELAY_SECONDS = 0.005  # what was let through before a break arrives before the reset

Address = tuple[str, int]


class LinkState(enum.Enum):
    """What a link does at present.  The value is the word that plans use."""

    WHOLE = ""
    HOLD = "hold"  # what is sent waits
    DELAY = "delay"
    CUT = "cut"  # connections are reset, new ones refused
    HALF_OPEN = "half-open"  # the server's end has gone, the client's is not notified
    BREAK = "break"  # each connection is reset after so many bytes


class Direction(enum.Enum):
    """Which way bytes go on a link.  The value is the word that plans use."""

    TO_SERVER = "there"
    TO_CLIENT = "back"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """A state and its figures, as far as it has any.  `byte_limit`: bytes that pass before a break."""

    state: LinkState = LinkState.WHOLE
    direction: Direction = Direction.BOTH
    delay_ms: float = 0.0
    byte_limit: int = 0

    @classmethod
    def from_plan(cls, kind: str, keys: dict[str, Any]) -> "LinkCondition":
        """By the words of a plan: a fault's kind (empty: whole again), and its keys `way`, `ms`, `bytes`."""
        direction = Direction(keys.get("way", Direction.BOTH.value))
        return cls(LinkState(kind), direction, keys.get("ms", 0.0), keys.get("bytes", 0))

    def is_holding(self, direction: Direction) -> bool:
        """Whether what goes that way waits."""
        if self.state is LinkState.HOLD:
            return self.direction in (Direction.BOTH, direction)
        return self.state is LinkState.HALF_OPEN


def reset(transport: asyncio.Transport | None) -> None:
    """Ends a connection with a reset rather than an orderly end."""
    if transport and not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


class Link:
    """One address that stands for another.

    `recorder` is asked to `note` connections that the target refused and, with `records_requests`, when each request's first
    byte came in.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        listen_address: Address,
        target_address: Address,
        recorder: EventSink,
        records_requests: bool = False,
    ):
        self.loop = loop
        self.name = name
        self.target_address = target_address
        self.recorder = recorder
        self.records_requests = records_requests
        self.connections: dict[RelayedConnection, None] = {}
        self.condition = LinkCondition()
        self.server: asyncio.Server | None = None
        self._listen_address = listen_address

    async def open(self) -> None:
        """Listens."""
        self.server = await self.loop.create_server(self._create_client_end, *self._listen_address, backlog=BACKLOG)

    def _create_client_end(self) -> "RelayEnd":
        return RelayEnd(RelayedConnection(self), Direction.TO_SERVER)

    async def set_condition(self, condition: LinkCondition) -> None:
        """From now on; when it is whole again, what was held goes on."""
        was_cut = self.condition.state is LinkState.CUT
        self.condition = condition
        if condition.state is LinkState.CUT:
            await self._cut()
        elif condition.state is LinkState.HALF_OPEN:
            for connection in list(self.connections):
                connection.drop_server()
        elif condition.state is LinkState.WHOLE:
            await self._repair(was_cut)

    async def _cut(self) -> None:
        for connection in list(self.connections):
            connection.reset()
        self.server.close()
        await self.server.wait_closed()

    async def _repair(self, was_cut: bool) -> None:
        if was_cut:
            await self.open()
        for connection in list(self.connections):
            if connection.is_half_open:
                connection.reset()
            else:
                connection.flush()


class RelayedConnection:
    """One connection through a link: two ends, and what waits for either.

    What passes is bytes, or None for the end of the stream.
    """

    def __init__(self, link: Link):
        self.link = link
        self.client_end: RelayEnd | None = None
        self.server_end: RelayEnd | None = None
        self.is_half_open = False
        self._held: list[tuple[Direction, bytes | None]] = []
        self._delivery_due_at = {Direction.TO_SERVER: 0.0, Direction.TO_CLIENT: 0.0}  # of what is on its way, delayed
        self._forwarded_bytes = {Direction.TO_SERVER: 0, Direction.TO_CLIENT: 0}
        self._request_reader = MessageReader() if link.records_requests else None
        self._request_began_at: float | None = None
        link.connections[self] = None

    async def dial(self) -> None:
        """Connects to the link's target."""
        link = self.link
        try:
            await link.loop.create_connection(lambda: RelayEnd(self, Direction.TO_CLIENT), *link.target_address)
        except OSError:  # nobody took what came here, though a connection stood
            link.recorder.note(link.loop.time(), Event.LINK_REFUSED, link.name)
            self.reset()
            return
        self.flush()

    def receive(self, direction: Direction, data: bytes | None) -> None:
        """What one end has sent, on its way to the other."""
        if direction is Direction.TO_SERVER and self._request_reader is not None and data:
            self._note_requests(data)
        self._forward(direction, data)

    def _note_requests(self, data: bytes) -> None:
        link = self.link
        if self._request_began_at is None:
            self._request_began_at = link.loop.time()
        for _, fields, _ in self._request_reader.feed(data):
            if REQUEST_ID in fields:
                request_id = fields[REQUEST_ID].decode("latin-1")
                link.recorder.note(link.loop.time(), Event.LINK_ENTERED, link.name, request_id, self._request_began_at)
            self._request_began_at = None

    def _receiver(self, direction: Direction) -> "RelayEnd | None":
        return self.server_end if direction is Direction.TO_SERVER else self.client_end

    def _forward(self, direction: Direction, data: bytes | None) -> None:
        now = self.link.loop.time()
        condition = self.link.condition
        is_behind_held = any(held_direction is direction for held_direction, _ in self._held)
        if self._receiver(direction) is None or condition.is_holding(direction) or is_behind_held:
            self._held.append((direction, data))
        elif condition.state is LinkState.DELAY or self._delivery_due_at[direction] > now:  # nothing overtakes what is on its way
            self._delivery_due_at[direction] = max(self._delivery_due_at[direction], now + condition.delay_ms / 1000)
            self.link.loop.call_at(self._delivery_due_at[direction], self._deliver, direction, data)
        else:
            self._deliver(direction, data)

    def _deliver(self, direction: Direction, data: bytes | None) -> None:
        receiver = self._receiver(direction)
        if receiver is None or receiver.transport.is_closing():
            return
        if data is None:
            receiver.transport.close()
            return
        condition = self.link.condition
        if condition.state is LinkState.BREAK and condition.direction is direction:
            bytes_left = condition.byte_limit - self._forwarded_bytes[direction]
            if len(data) > bytes_left:
                receiver.transport.write(data[: max(0, bytes_left)])
                self.link.loop.call_later(RESET_DELAY_SECONDS, self.reset)
                return
        self._forwarded_bytes[direction] += len(data)
        receiver.transport.write(data)

    def flush(self) -> None:
        """Passes on what was held, as far as nothing holds it still."""
        held = self._held
        self._held = []
        for direction, data in held:
            self._forward(direction, data)

    def reset(self) -> None:
        """Resets both ends."""
        self.link.connections.pop(self, None)
        for end in (self.client_end, self.server_end):
            reset(end.transport if end else None)

    def drop_server(self) -> None:
        """Resets the server's end; the client's is not notified."""
        self.is_half_open = True
        reset(self.server_end.transport if self.server_end else None)

    def connection_ended(self, direction: Direction, is_reset: bool) -> None:
        """The connection to one end is over: so is the other, in the same way."""
        if self.is_half_open and direction is Direction.TO_CLIENT:
            return
        if is_reset:
            self.reset()
            return
        self.receive(direction, None)
        ends = (self.client_end, self.server_end)
        if all(end is not None and end.transport.is_closing() for end in ends):
            self.link.connections.pop(self, None)


class RelayEnd(asyncio.Protocol):
    """The connection to the client, or to the server.  `direction`: where what it sends goes."""

    def __init__(self, connection: RelayedConnection, direction: Direction):
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self._direction = direction

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The client's end has come: the server is dialled."""
        self.transport = transport
        if self._direction is Direction.TO_SERVER:
            self.connection.client_end = self
            loop = self.connection.link.loop
            loop.create_task(self.connection.dial())
        else:
            self.connection.server_end = self

    def data_received(self, data: bytes) -> None:
        """Bytes from this end."""
        self.connection.receive(self._direction, data)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection to this end is over."""
        self.connection.connection_ended(self._direction, is_reset=error is not None)
