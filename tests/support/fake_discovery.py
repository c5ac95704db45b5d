"""Fake discovery on loopback: a test controls its endpoint list, watch events and failures."""

import asyncio
import json
from typing import Any

from tests.support.fake_backends import FakeBackends

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLOSED_PORT = 1  # address of a backend that does not exist: connections are refused

EndpointSpec = str | tuple[str, str]  # a backend's name, or its name and phase


def chunk(text: str) -> bytes:
    """Return one line of a stream as an HTTP chunk."""
    return b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode())


class FakeDiscovery:
    """Discovery that answers each poll with the list of all backends and keeps the watch open.

    A test can replace the responses, push other lines, or let all polls fail.
    """

    def __init__(self, backends: FakeBackends):
        self._backends = backends
        self.is_down = False  # closes each connection after its request
        self.revision = 1
        self.polls: list[str] = []  # request line of each poll
        self.watches: list[asyncio.StreamWriter] = []
        self.scripted_responses: list[bytes] = []  # responses to the next polls, in place of a watch
        self.scripted_writers: list[asyncio.StreamWriter] = []

    def endpoint_entries(self, *endpoints: EndpointSpec) -> list[dict[str, Any]]:
        """Return the entries of an endpoint list."""
        pairs = [(endpoint, "active") if isinstance(endpoint, str) else endpoint for endpoint in endpoints]
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
        """Send one line to all watches."""
        for writer in self.watches:
            if not writer.is_closing():
                writer.write(chunk(text))

    def publish_endpoints(self, *endpoints: EndpointSpec, is_complete: bool = True) -> None:
        """Send a list, or a change of it, to all watches under the next revision."""
        self.revision += 1
        self.push(json.dumps({"revision": self.revision, "complete": is_complete, "members": self.endpoint_entries(*endpoints)}))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one poll."""
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
        """Close all connections."""
        for writer in (*self.scripted_writers, *self.watches):
            writer.close()
