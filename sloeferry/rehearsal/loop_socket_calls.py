"""The socket methods of a simulated event loop; reads, writes and connects cost CPU time."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal.loop_handle import Callback

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedHost
    from sloeferry.rehearsal.simulated_socket import Address, SimulatedSocket
    from sloeferry.rehearsal.simulated_transport import SimulatedServer, SimulatedTransport


class LoopSocketCalls(asyncio.AbstractEventLoop):
    """Implements the socket methods of AbstractEventLoop for a process on a simulated host."""

    def __init__(self, host: "SimulatedHost"):
        self.host = host

    def spend_cpu(self, kind: str) -> None:
        """Spend the CPU time of a call of that kind."""
        raise NotImplementedError

    async def sock_recv_into(self, sock: "SimulatedSocket", buffer: bytearray | memoryview) -> int:
        """Read into the buffer, waiting for data, and return the number of bytes."""
        self.spend_cpu("read")
        while True:
            try:
                return sock.recv_into(buffer)
            except BlockingIOError:
                await sock.waiters.until_readable()

    async def sock_sendall(self, sock: "SimulatedSocket", data: bytes | memoryview) -> None:
        """Send all data, waiting while the send window is full."""
        self.spend_cpu("write")
        view = memoryview(data)
        while True:
            try:
                view = view[sock.send(view) :]
                if not view:
                    return
            except BlockingIOError:
                await sock.waiters.until_writable()

    async def sock_connect(self, sock: "SimulatedSocket", address: "Address") -> None:
        """Connect the socket to an address."""
        self.spend_cpu("dial")
        await sock.connect(address)

    def add_reader(self, sock: "SimulatedSocket", callback: Callback, *arguments: Any) -> None:
        """Call `callback` whenever the socket is readable."""
        sock.waiters.watch(callback, *arguments)

    def remove_reader(self, sock: "SimulatedSocket") -> None:
        """Stop watching the socket."""
        sock.waiters.watch(None)

    async def create_server(
        self,
        factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        *,
        backlog: int = 128,
        **_: Any,
    ) -> "SimulatedServer":
        """Listen on an address and create a protocol for each connection."""
        return self.host.network.create_server(self, factory, (host, port), backlog)

    async def create_connection(
        self, factory: Callable[[], asyncio.Protocol], host: str | None = None, port: int | None = None, **_: Any
    ) -> tuple["SimulatedTransport", asyncio.Protocol]:
        """Connect to an address and return the transport and its protocol."""
        return await self.host.network.create_connection(self, factory, (host, port))
