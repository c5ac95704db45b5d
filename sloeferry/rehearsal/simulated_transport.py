"""What asyncio's protocols stand on in the simulated network: a transport, and a server that makes them."""

import asyncio
from collections.abc import Callable
from typing import Any

from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import WINDOW_BYTES, SimulatedSocket


class SimulatedServer:
    """Accepts connections, each with a protocol of its own."""

    def __init__(self, process: SimulatedProcess, sock: SimulatedSocket, factory: Callable[[], asyncio.Protocol]):
        self._process = process
        self._sock = sock
        self._factory = factory

    def accept(self) -> None:
        """Takes all connections that have come."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            SimulatedTransport(self._process, sock, self._factory())

    def close(self) -> None:
        """As asyncio.Server."""
        self._sock.close()


class SimulatedTransport(asyncio.Transport):
    """What a protocol writes on."""

    def __init__(self, process: SimulatedProcess, sock: SimulatedSocket, protocol: asyncio.Protocol):
        super().__init__()
        self._process = process
        self._sock = sock
        self._protocol = protocol
        self._unsent = b""
        self._is_closing = False
        self._is_lost = False
        protocol.connection_made(self)
        if not sock.is_closed:
            sock.waiters.watch(self._read)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """As asyncio.Transport."""
        return {"peername": self._sock.remote_address, "sockname": self._sock.local_address}.get(name, default)

    def is_closing(self) -> bool:
        """As asyncio.Transport."""
        return self._is_closing

    def _read(self) -> None:
        while not self._is_lost and not self._is_closing:
            try:
                data = self._sock.recv(WINDOW_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._lose(error)
                return
            if not data:
                if not self._protocol.eof_received():
                    self.close()
                return
            self._protocol.data_received(data)

    def write(self, data: bytes) -> None:
        """As asyncio.Transport."""
        if not self._is_closing:
            self._unsent += data
            self._flush()

    def _flush(self) -> None:
        while self._unsent and not self._is_lost:
            try:
                self._unsent = self._unsent[self._sock.send(self._unsent) :]
            except BlockingIOError:
                self._sock.waiters.call_when_writable(self._flush)
                return
            except OSError as error:
                self._lose(error)
                return
        if self._is_closing:
            self._lose(None)

    def close(self) -> None:
        """As asyncio.Transport."""
        if not self._is_closing:
            self._is_closing = True
            self._flush()

    def abort(self) -> None:
        """As asyncio.Transport."""
        if not self._is_lost:
            self._is_closing = True
            self._sock.reset()
            self._lose(None)

    def _lose(self, error: OSError | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._is_closing = True
            self._sock.close()
            self._process.call_soon(self._protocol.connection_lost, error)
