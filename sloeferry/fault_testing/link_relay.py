"""TCP relay for links between two processes, which can hold, delay, cut or break connections.

One process relays any number of links on loopback, with asyncio.  A link listens for connections (the client end) and
connects to its target address (the server end) for each.
"""

import asyncio
import enum
from dataclasses import dataclass
from typing import Any

from sloeferry.fault_testing.recorded_events import Event, EventSink
from sloeferry.stand_ins.http_messages import MessageReader
from sloeferry.stand_ins.transports import reset
from sloeferry.stand_ins.wire_protocol import REQUEST_ID

BACKLOG = 1024
RESET_DELAY_SECONDS = 0.005  # so that bytes forwarded before a break arrive before the reset

Address = tuple[str, int]


class LinkState(enum.Enum):
    """The present behaviour of a link; the value is the name in plans."""

    NORMAL = ""
    HOLD = "hold"  # sent bytes are queued
    DELAY = "delay"
    CUT = "cut"  # connections are reset, new ones refused
    HALF_OPEN = "half-open"  # the server end is reset, the client end is not notified
    BREAK = "break"  # each connection is reset after `byte_limit` bytes


class Direction(enum.Enum):
    """The direction of bytes on a link; the value is the name in plans."""

    TO_SERVER = "there"
    TO_CLIENT = "back"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """The state of a link and its parameters; `byte_limit` is the number of bytes forwarded before a break."""

    state: LinkState = LinkState.NORMAL
    direction: Direction = Direction.BOTH
    delay_ms: float = 0.0
    byte_limit: int = 0

    @classmethod
    def from_plan(cls, kind: str, keys: dict[str, Any]) -> "LinkCondition":
        """Return the condition for a fault's kind (empty: normal) and its keys `way`, `ms` and `bytes`, as plans have them."""
        direction = Direction(keys.get("way", Direction.BOTH.value))
        return cls(LinkState(kind), direction, keys.get("ms", 0.0), keys.get("bytes", 0))

    def is_holding(self, direction: Direction) -> bool:
        """Return True if bytes in that direction are queued."""
        if self.state is LinkState.HOLD:
            return self.direction in (Direction.BOTH, direction)
        return self.state is LinkState.HALF_OPEN


class Link:
    """A listening address that relays connections to a target address.

    It notes in `recorder` each connection that the target refused and, with `records_requests`, the arrival time of each
    request's first byte.
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
        """Start to listen."""
        self.server = await self.loop.create_server(self._create_client_end, *self._listen_address, backlog=BACKLOG)

    def _create_client_end(self) -> "RelayEnd":
        return RelayEnd(RelayedConnection(self), Direction.TO_SERVER)

    async def set_condition(self, condition: LinkCondition) -> None:
        """Apply a condition from now on; when the link returns to normal, queued bytes are forwarded."""
        was_cut = self.condition.state is LinkState.CUT
        self.condition = condition
        if condition.state is LinkState.CUT:
            await self._cut()
        elif condition.state is LinkState.HALF_OPEN:
            for connection in list(self.connections):
                connection.drop_server()
        elif condition.state is LinkState.NORMAL:
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
    """One connection through a link: its two ends, and the data queued for either.

    Data is bytes, or None for the end of the stream.
    """

    def __init__(self, link: Link):
        self.link = link
        self.client_end: RelayEnd | None = None
        self.server_end: RelayEnd | None = None
        self.is_half_open = False
        self._queued: list[tuple[Direction, bytes | None]] = []
        self._delivery_due_at = {Direction.TO_SERVER: 0.0, Direction.TO_CLIENT: 0.0}  # of the last delayed data
        self._forwarded_bytes = {Direction.TO_SERVER: 0, Direction.TO_CLIENT: 0}
        self._request_reader = MessageReader() if link.records_requests else None
        self._request_began_at: float | None = None
        link.connections[self] = None

    async def dial(self) -> None:
        """Connect to the link's target."""
        link = self.link
        try:
            await link.loop.create_connection(lambda: RelayEnd(self, Direction.TO_CLIENT), *link.target_address)
        except OSError:  # the target refused, although the client's connection to the relay was accepted
            link.recorder.note(link.loop.time(), Event.LINK_REFUSED, link.name)
            self.reset()
            return
        self.flush()

    def receive(self, direction: Direction, data: bytes | None) -> None:
        """Handle data that one end has sent, and forward it to the other."""
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
        is_behind_queued = any(queued_direction is direction for queued_direction, _ in self._queued)
        if self._receiver(direction) is None or condition.is_holding(direction) or is_behind_queued:
            self._queued.append((direction, data))
        elif condition.state is LinkState.DELAY or self._delivery_due_at[direction] > now:  # data must not overtake delayed data
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
        """Forward queued data, as far as the present condition allows."""
        queued = self._queued
        self._queued = []
        for direction, data in queued:
            self._forward(direction, data)

    def reset(self) -> None:
        """Reset both ends."""
        self.link.connections.pop(self, None)
        for end in (self.client_end, self.server_end):
            reset(end.transport if end else None)

    def drop_server(self) -> None:
        """Reset the server end without notifying the client end."""
        self.is_half_open = True
        reset(self.server_end.transport if self.server_end else None)

    def connection_ended(self, direction: Direction, is_reset: bool) -> None:
        """Close or reset the other end in the same way as one end was."""
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
    """The connection to the client or to the server; `direction` is the direction of the data that it receives."""

    def __init__(self, connection: RelayedConnection, direction: Direction):
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self._direction = direction

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; if it is the client end, connect to the server."""
        self.transport = transport
        if self._direction is Direction.TO_SERVER:
            self.connection.client_end = self
            loop = self.connection.link.loop
            loop.create_task(self.connection.dial())
        else:
            self.connection.server_end = self

    def data_received(self, data: bytes) -> None:
        """Pass on bytes from this end."""
        self.connection.receive(self._direction, data)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the close or reset of this end."""
        self.connection.connection_ended(self._direction, is_reset=error is not None)
