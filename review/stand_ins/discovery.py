"""Discovery: one service that answers a call for the list and keeps watches open, as the protocol page has it."""

import asyncio
import contextlib
import json
from typing import Any

KEEP_ALIVE_SECONDS = 2.0


def entry(endpoint_id: str, address: tuple[str, int], zone: str, kind: str, phase: str = "active") -> dict[str, Any]:
    """Return one entry of the list, of a backend that has run for long."""
    return {
        "id": endpoint_id,
        "host_port": "{}:{}".format(*address),
        "locality": zone,
        "flavor": kind,
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }


class Discovery:
    """Holds the list and tells it, with its changes, on each watch."""

    def __init__(self, members: list[dict[str, Any]]):
        self.members = {each["id"]: each for each in members}
        self.revision = 41
        self._changed = asyncio.Condition()
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self.address = ""
        self.call_timeout_seconds = 1.0
        self.failed_calls = 0
        self.is_crowded = False  # calls that come now wait too long, and fail; open watches go on

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def change(self, endpoint_id: str, phase: str) -> None:
        """Change the phase of a backend and tell it on the open watches."""
        async with self._changed:
            self.revision += 1
            self.members[endpoint_id] = self.members[endpoint_id] | {"phase": phase}
            self._changes.append((self.revision, self.members[endpoint_id]))
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1]
                if self.is_crowded:
                    await asyncio.sleep(self.call_timeout_seconds)
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    self.failed_calls += 1
                    break
                if b"stream=1" in target:
                    await self._watch(writer)
                    break
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = self.revision
        await _write_line(writer, json.dumps(self.whole()).encode())
        while True:
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), KEEP_ALIVE_SECONDS)
                news = [each for revision, each in self._changes if revision > told]
                told = self.revision
            document = {"revision": told, "complete": False, "members": news}
            await _write_line(writer, json.dumps(document).encode() if news else b"")


async def _write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    data = line + b"\n"
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
    await writer.drain()
