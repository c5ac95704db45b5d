"""A simulated loop's calls that use sockets; each costs CPU time."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal.loop_handle import Callback

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedHost
    from sloeferry.rehearsal.simulated_socket import Address, SimulatedSocket
    from sloeferry.rehearsal.simulated_transport import SimulatedServer, SimulatedTransport


class LoopSocketCalls(asyncio.AbstractEventLoop):
    """The loop of a process on a host of the simulated network."""

    def __init__(self, host: "SimulatedHost"):
        self.host = host

    def spend_cpu(self, kind: str) -> None:
        """A call of that kind takes its CPU time."""
        raise NotImplementedError

    async def sock_recv_into(self, sock: "SimulatedSocket", buffer: bytearray | memoryview) -> int:
        """As asyncio calls it."""
        self.spend_cpu("read")
        while True:
            try:
                return sock.recv_into(buffer)
            except BlockingIOError:
                await sock.waiters.until_readable()

    async def sock_sendall(self, sock: "SimulatedSocket", data: bytes | memoryview) -> None:
        """As asyncio calls it."""
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
        """As asyncio calls it."""
        self.spend_cpu("dial")
        await sock.connect(address)

    def add_reader(self, sock: "SimulatedSocket", callback: Callback, *arguments: Any) -> None:
        """As asyncio calls it."""
        sock.waiters.watch(callback, *arguments)

    def remove_reader(self, sock: "SimulatedSocket") -> None:
        """As asyncio calls it."""
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
        """As asyncio calls it."""
        return self.host.network.create_server(self, factory, (host, port), backlog)

    async def create_connection(
        self, factory: Callable[[], asyncio.Protocol], host: str | None = None, port: int | None = None, **_: Any
    ) -> tuple["SimulatedTransport", asyncio.Protocol]:
        """As asyncio calls it."""
        return await self.host.network.create_connection(self, factory, (host, port))
