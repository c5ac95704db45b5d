"""Backends that respond before they have been sent the whole request."""

import asyncio
import contextlib

import pytest

from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

FIRST_PIECE = b"u" * (MAX_BUFFERED_BODY_BYTES + 1000)  # so long that the body is streamed
LAST_PIECE = b"GET /hidden HTTP/1.1\r\nHost: x\r\nX-Call-Id: hidden\r\n\r\n"  # text that must never run as a request
BODY_BYTES = len(FIRST_PIECE) + len(LAST_PIECE)


class EarlyBackends(FakeBackends):
    """Backends that send some bytes as soon as they have the head of an upload, and read its body by its framing."""

    def __init__(self, early: bytes, late: bytes = b""):
        super().__init__({"b": None})
        self._early = early
        self._late = late  # sent once the body has been read
        self.has_responded = False
        self.messages: list[tuple[str, int]] = []  # the first line of each request read, and the length of its body

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to a backend."""
        self.begin_connection(name, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                is_upload = "\r\ncontent-length: " in head or "\r\ntransfer-encoding: chunked" in head
                writer.write(self._early if is_upload else response("next"))
                self.has_responded = self.has_responded or is_upload
                body = await self._read_body(head, reader)
                self.messages.append((head.partition("\r\n")[0], len(body)))
                if is_upload:
                    writer.write(self._late)

    @staticmethod
    async def _read_body(head: str, reader: asyncio.StreamReader) -> bytes:
        if "transfer-encoding: chunked" not in head:
            return await reader.readexactly(int(head.partition("content-length: ")[2].partition("\r\n")[0] or 0))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body


def upload_pieces(harness: InstrumentedHarness, is_chunked: bool) -> tuple[bytes, bytes]:
    """Return an upload up to its last piece, and its last piece."""
    if not is_chunked:
        return harness.request_head(
            class_name="keyed", headers="Idempotency-Key: k\r\n", body_bytes=BODY_BYTES
        ) + FIRST_PIECE, LAST_PIECE
    head = harness.request_head(class_name="keyed", headers="Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n")
    head = head.replace(b"Content-Length: 0\r\n", b"")
    first, last = (b"%x\r\n%b\r\n" % (len(piece), piece) for piece in (FIRST_PIECE, LAST_PIECE))
    return head + first, last + b"0\r\n\r\n"


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("is_early", [True, False], ids=["early", "in time"])
def test_connection_is_reused_only_after_a_whole_request(is_chunked: bool, status: int, is_early: bool):
    """Guards against a request that runs although no client sent it: a connection that a backend had answered on before the last
    part of an upload was written was used again, and the next request was read as that part. One on which all was written is used
    again."""
    answer = response("upload", status, *(["X-Rejected: 1"] if status == 503 else []))
    backends = EarlyBackends(answer if is_early else b"", b"" if is_early else answer)

    async def scenario(harness: InstrumentedHarness) -> None:
        first, last = upload_pieces(harness, is_chunked)
        client = await harness.send_raw(first)
        await wait_until(lambda: backends.has_responded)
        connection = client.connection()
        assert connection is not None
        await wait_until(lambda: connection.reader.receiving_body_since)  # all but the last piece is written
        await client.send(last)
        received = await asyncio.get_running_loop().sock_recv(client.sock, 9999)
        assert received.startswith(b"HTTP/1.1 %d" % status)
        assert len(harness.pool.idle.get("b", ())) == (0 if is_early else 1)
        if status == 200:  # a backend that has rejected a request gets no other one at once
            assert await harness.request("safe", X_Call_Id="c1") == "200 next"
        client.close()

    run_scenario(scenario, InstrumentedHarness(backends, most_postings=1))
    assert not any("hidden" in first_line for first_line, _ in backends.messages)
    if status == 200:
        assert backends.messages[-1] == ("get /api?q=1 http/1.1", 0)
        assert backends.connection_counts == {"b": 2 if is_early else 1}
