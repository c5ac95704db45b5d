"""Backends that respond before they have been sent the whole request."""

import asyncio
import contextlib

import pytest

from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

FIRST_PIECE = b"u" * MAX_BUFFERED_BODY_BYTES  # the body is streamed, and all of this is read before that begins
LAST_PIECE = b"GET /hidden HTTP/1.1\r\nHost: x\r\nX-Call-Id: hidden\r\n\r\n"  # text that must never run as a request
BODY_BYTES = len(FIRST_PIECE) + len(LAST_PIECE)


INTERIM_RESPONSES = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
    "unknown": b"HTTP/1.1 199 What\r\n\r\n",
    "several": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20,
    "begun": b"HTTP/1.1 103 Early Hints\r\nLink: </sty",
}
REST_OF_BEGUN = {"begun": b"le.css>\r\n\r\n"}
SWITCHING_PROTOCOLS = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
MANY_INTERIM_RESPONSES = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000  # more than the bytes that a head may have


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


async def upload_after_early_bytes(harness: InstrumentedHarness, backends: EarlyBackends, is_chunked: bool) -> bytes:
    """Send an upload whose last piece follows the backend's early bytes, and return the bytes that the client receives."""
    first, last = upload_pieces(harness, is_chunked)
    client = await harness.send_raw(first)
    await wait_until(lambda: backends.has_responded)
    connection = client.connection()
    assert connection is not None
    await wait_until(lambda: connection.reader.receiving_body_since)
    with contextlib.suppress(OSError):
        await client.send(last)
    received = await asyncio.get_running_loop().sock_recv(client.sock, 9999)
    client.close()
    return received


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
        received = await upload_after_early_bytes(harness, backends, is_chunked)
        assert received.startswith(b"HTTP/1.1 %d" % status)
        assert len(harness.pool.idle.get("b", ())) == (0 if is_early else 1)
        if status == 200:  # a backend that has rejected a request gets no other one at once
            assert await harness.request("safe", X_Call_Id="c1") == "200 next"

    run_scenario(scenario, InstrumentedHarness(backends, most_postings=1))
    assert not any("hidden" in first_line for first_line, _ in backends.messages)
    if status == 200:
        assert backends.messages[-1] == ("get /api?q=1 http/1.1", 0)
        assert backends.connection_counts == {"b": 2 if is_early else 1}


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("kind", INTERIM_RESPONSES)
def test_interim_response_does_not_end_an_upload(kind: str, is_chunked: bool):
    """Guards against uploads that fail at their deadline, because an interim response was taken for the answer."""
    backends = EarlyBackends(INTERIM_RESPONSES[kind], REST_OF_BEGUN.get(kind, b"") + response("upload"))

    async def scenario(harness: InstrumentedHarness) -> None:
        received = await upload_after_early_bytes(harness, backends, is_chunked)
        assert received.startswith(b"HTTP/1.1 200 ") and received.endswith(b"upload")
        assert await harness.request("safe", X_Call_Id="c1") == "200 next"

    run_scenario(scenario, InstrumentedHarness(backends, most_postings=1))
    assert backends.messages == [("post /api http/1.1", BODY_BYTES), ("get /api?q=1 http/1.1", 0)]
    assert backends.connection_counts == {"b": 1}


@pytest.mark.parametrize("early", [MANY_INTERIM_RESPONSES, SWITCHING_PROTOCOLS], ids=["without end", "switching"])
def test_malformed_interim_responses_end_the_attempt(early: bytes):
    """Interim responses beyond the bytes of a head, and a change of protocols that nobody asked for, end the attempt, and its
    connection is not used again."""
    backends = EarlyBackends(early)

    async def scenario(harness: InstrumentedHarness) -> None:
        received = await upload_after_early_bytes(harness, backends, is_chunked=False)
        assert received.startswith((b"HTTP/1.1 503 ", b"HTTP/1.1 504 "))
        assert not harness.pool.idle.get("b")

    run_scenario(scenario, InstrumentedHarness(backends, most_postings=1))
