"""Transports and servers of asyncio protocols on the simulated network."""

import asyncio
from collections.abc import Callable
from typing import Any

from sloeferry.rehearsal.simulated_process import SimulatedProcess
from sloeferry.rehearsal.simulated_socket import WINDOW_BYTES, SimulatedSocket


class SimulatedServer:
    """Accepts connections on a listening socket and creates a protocol and a transport for each."""

    def __init__(self, process: SimulatedProcess, sock: SimulatedSocket, factory: Callable[[], asyncio.Protocol]):
        self._process = process
        self._sock = sock
        self._factory = factory

    def accept(self) -> None:
        """Accept all connections in the backlog."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            SimulatedTransport(self._process, sock, self._factory())

    def close(self) -> None:
        """Close the listening socket."""
        self._sock.close()


class SimulatedTransport(asyncio.Transport):
    """Connects a protocol to a simulated socket."""

    def __init__(self, process: SimulatedProcess, sock: SimulatedSocket, protocol: asyncio.Protocol):
        super().__init__()
        self._process = process
        self._sock = sock
        self._protocol = protocol
        self._unsent = b""
        self._is_closing = False
        self._is_ended = False
        protocol.connection_made(self)
        if not sock.is_closed:
            sock.waiters.watch(self._read)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the remote address (`peername`) or the local one (`sockname`), or the default."""
        return {"peername": self._sock.remote_address, "sockname": self._sock.local_address}.get(name, default)

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._is_closing

    def _read(self) -> None:
        while not self._is_ended and not self._is_closing:
            try:
                data = self._sock.recv(WINDOW_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._end_connection(error)
                return
            if not data:
                if not self._protocol.eof_received():
                    self.close()
                return
            self._protocol.data_received(data)

    def write(self, data: bytes) -> None:
        """Send data, buffering what the socket doesn't accept yet."""
        if not self._is_closing:
            self._unsent += data
            self._flush()

    def _flush(self) -> None:
        while self._unsent and not self._is_ended:
            try:
                self._unsent = self._unsent[self._sock.send(self._unsent) :]
            except BlockingIOError:
                self._sock.waiters.call_when_writable(self._flush)
                return
            except OSError as error:
                self._end_connection(error)
                return
        if self._is_closing:
            self._end_connection(None)

    def close(self) -> None:
        """Close the transport after the buffered data has been sent."""
        if not self._is_closing:
            self._is_closing = True
            self._flush()

    def abort(self) -> None:
        """Close the transport immediately with a reset."""
        if not self._is_ended:
            self._is_closing = True
            self._sock.reset()
            self._end_connection(None)

    def _end_connection(self, error: OSError | None) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._is_closing = True
            self._sock.close()
            self._process.call_soon(self._protocol.connection_lost, error)
