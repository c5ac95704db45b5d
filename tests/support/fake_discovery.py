"""A discovery on loopback whose endpoint list, watch events and failures a test plays."""

import asyncio
import json
from typing import Any

from tests.support.fake_backends import FakeBackends

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLOSED_PORT = 1  # of a backend that does not exist: nobody listens there

EndpointSpec = str | tuple[str, str]  # a backend's name; or name and phase


def chunk(text: str) -> bytes:
    """One line of a stream, as one chunk."""
    return b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode())


class FakeDiscovery:
    """Answers each poll with the list of all backends and a watch that stands, unless the test says otherwise."""

    def __init__(self, backends: FakeBackends):
        self._backends = backends
        self.is_down = False  # closes each connection behind its request
        self.revision = 1
        self.polls: list[str] = []  # the request line of each
        self.watches: list[asyncio.StreamWriter] = []
        self.scripted_responses: list[bytes] = []  # to the next polls, in place of a watch
        self.scripted_writers: list[asyncio.StreamWriter] = []

    def endpoint_entries(self, *lines: EndpointSpec) -> list[dict[str, Any]]:
        """The entries of an endpoint list."""
        pairs = [(line, "active") if isinstance(line, str) else line for line in lines]
        return [
            {
                "id": name,
                "host_port": f"127.0.0.1:{self._backends.ports.get(name, CLOSED_PORT)}",
                "locality": "a",
                "flavor": "m",
                "cell": 0,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, phase in pairs
        ]

    def push(self, text: str) -> None:
        """One line to all watches."""
        for writer in self.watches:
            if not writer.is_closing():
                writer.write(chunk(text))

    def publish_endpoints(self, *lines: EndpointSpec, is_complete: bool = True) -> None:
        """A list, or a change of it, of the next revision, to all watches."""
        self.revision += 1
        self.push(json.dumps({"revision": self.revision, "complete": is_complete, "members": self.endpoint_entries(*lines)}))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One poll."""
        self.polls.append((await reader.readuntil(b"\r\n\r\n")).decode().splitlines()[0])
        if self.is_down:
            writer.close()
        elif self.scripted_responses:
            writer.write(self.scripted_responses.pop(0))
            self.scripted_writers.append(writer)
        else:
            writer.write(STREAM_HEAD)
            self.watches.append(writer)
            self.publish_endpoints(*self._backends.scripts)

    def close(self) -> None:
        """Ends all connections."""
        for writer in (*self.scripted_writers, *self.watches):
            writer.close()
