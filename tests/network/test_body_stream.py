"""Streaming of request and response bodies that are longer than the buffer."""

import asyncio
import types
from collections.abc import Mapping, Sequence

import h11

from sloeferry.network.body_stream import RequestBodyStream
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES
from sloeferry.network.http1.message import Message
from tests.support.fake_backends import FakeBackends, Script, content_length, response
from tests.support.instrumented_harness import wait_until
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

KEYED_HEAD = (
    "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: keyed\r\nX-Caller: acme\r\n"
    "Idempotency-Key: k1\r\nX-Budget-Ms: 3000\r\n"
)
CHUNKED_HEAD = (
    "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\n"
    "X-Budget-Ms: 3000\r\nTransfer-Encoding: chunked\r\n"
)
PIECE_SECONDS = 0.15  # between two pieces of a response
STEADY_PIECES = 120  # of a response that takes longer than its deadline, or than the longest pause


def test_one_attempt_at_a_time_writes_the_body():
    """The end of a second attempt, which was refused the body, does not release the claim of the first."""
    stream = RequestBodyStream(None, Message(), None, None, types.SimpleNamespace())
    assert (stream.claim(0), stream.claim(1)) == (True, False)
    stream.release(1)
    assert not stream.claim(2)
    stream.release(0)
    assert stream.claim(2)


class LongBodyBackends(FakeBackends):
    """Backends that receive long bodies and record only their length.

    A script may be a list of the pieces of a response, which are sent with pauses in between.
    """

    def __init__(self, scripts: Mapping[str, Script], early_response: bytes = b""):
        super().__init__(scripts)
        self.requests_begun = 0
        self.early_response = early_response  # if given, it is sent before the request body is read
        self.closes_after_response = False
        self.piece_seconds = PIECE_SECONDS

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to a backend."""
        label = f"  backend, connection {self.begin_connection(name, writer)}"
        try:
            while await self._serve_request(label, script, reader, writer):
                pass
        except asyncio.IncompleteReadError as error:
            if error.partial:
                self.record(f"{label}: broken off")
        except (OSError, asyncio.LimitOverrunError):
            pass

    async def _serve_request(
        self, label: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.requests_begun += 1
        if self.early_response:
            writer.write(self.early_response)
            return True
        is_chunked = "chunked" in head
        byte_count = await self._read_chunks(reader) if is_chunked else content_length(head)
        if not is_chunked:
            await reader.readexactly(byte_count)
        self.requests_received += 1
        self.record(f"{label}: {head.split()[0]} with {byte_count} bytes{' in chunks' if is_chunked else ''}")
        reply = script(self.requests_received) if callable(script) else script
        last = await self._write_pieces(reply if isinstance(reply, list) else [reply], writer)
        if self.closes_after_response or b"Connection: close" in last:
            writer.close()
            return False
        return True

    @staticmethod
    async def _read_chunks(reader: asyncio.StreamReader) -> int:
        byte_count = 0
        while length := int(await reader.readuntil(b"\r\n"), 16):
            byte_count += len(await reader.readexactly(length + 2)) - 2
        await reader.readexactly(2)
        return byte_count

    async def _write_pieces(self, pieces: Sequence[bytes], writer: asyncio.StreamWriter) -> bytes:
        *before, last = pieces
        for piece in before:
            writer.write(piece)
            await asyncio.sleep(self.piece_seconds)
        writer.write(last)
        return last


class ReceivedResponse:
    """A response as parsed by an independent parser."""

    def __init__(self) -> None:
        self._peer = h11.Connection(h11.CLIENT)
        self._peer.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        self._peer.send(h11.EndOfMessage())
        self._head: tuple[int, list[str]] | None = None
        self._byte_count = 0
        self._begin = b""
        self._is_complete = False

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Read until the response is complete or truncated."""
        try:
            while not self._is_complete:
                await self._take(self._peer.next_event(), reader)
        except (h11.RemoteProtocolError, OSError):
            pass

    async def _take(self, event: object, reader: asyncio.StreamReader) -> None:
        if event is h11.NEED_DATA:
            self._peer.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            self._head = event.status_code, [name.decode() for name, _ in event.headers]
        elif isinstance(event, h11.Data):
            self._byte_count += len(event.data)
            self._begin = (self._begin + event.data)[:16]
        else:
            self._is_complete = isinstance(event, h11.EndOfMessage)

    def __str__(self) -> str:
        begin = bytes(self._begin).decode() if self._byte_count < 99 else ""
        return f"{self._head}, {self._byte_count} bytes, {begin} {'whole' if self._is_complete else 'not whole'}"


async def record_response(harness: ProxyHarness, http_version: str) -> None:
    """Send one request with the given HTTP version and record the whole response."""
    reader, writer = await harness.connect()
    request = (
        f"GET /api HTTP/{http_version}\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: safe\r\nX-Caller: acme\r\n"
        "X-Budget-Ms: 3000\r\nConnection: close\r\n\r\n"
    )
    writer.write(harness.with_new_ids(request.encode()))
    received = ReceivedResponse()
    await received.receive(reader)
    writer.close()
    harness.record(f"client of {http_version}: {received}")


def test_trailers_are_not_headers(check_scenario: ScenarioChecker):
    """A trailer is not taken for a header and does not affect the framing of the forwarded message."""

    async def scenario(harness: ProxyHarness) -> None:
        head = CHUNKED_HEAD
        await harness.send(head + "\r\n5;x=y\r\nhello\r\n0\r\nX-Tail: 1\r\n\r\n")
        for trailer in ("Content-Length: 400", "Transfer-Encoding: identity", "X-Load: 1", "X-Call-Id: c2"):
            await harness.send(head + f"\r\n3\r\nabc\r\n0\r\n{trailer}\r\n\r\n")
        await harness.send(head + "Connection: x-secret\r\nX-Secret: mine\r\n\r\n0\r\n\r\n")
        await harness.send(head.replace("HTTP/1.1", "HTTP/1.0", 1) + "\r\n3\r\nabc\r\n0\r\n\r\n")
        await harness.send(head.replace("HTTP/1.1", "HTTP/2.0", 1) + "\r\n0\r\n\r\n")
        await harness.send(head.replace(": chunked", ": gzip, chunked", 1) + "\r\n0\r\n\r\n")
        await harness.send(head.replace("acme", "acme \t").replace("once", "once  ") + "\r\n0\r\n\r\n")

    harness = ProxyHarness({"b": response()})
    harness.backends.records_all_headers = True
    check_scenario(scenario, "body_trailers", harness)


def test_long_responses_are_forwarded(check_scenario: ScenarioChecker):
    """Long responses, delimited by a length, by chunks or by the end of the connection, are forwarded completely, also to
    HTTP/1.0 clients. A client can detect a truncated response. Connections are reused where possible."""
    long_body = "x" * (3 * MAX_BUFFERED_BODY_BYTES)
    lengths = (1, 70000, 9, MAX_BUFFERED_BODY_BYTES)
    chunks = b"".join(b"%x\r\n%b\r\n" % (length, b"x" * length) for length in lengths) + b"0\r\nX-Late: 1\r\n\r\n"
    head = b"HTTP/1.1 200 X\r\n"
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    with_length = response(long_body)
    cases = (  # name, response, HTTP versions of the clients that request it, whether the backend cuts the connection
        ("length", with_length, ("1.1", "1.0"), False),
        ("chunks", chunked, ("1.1", "1.0"), False),
        ("to the end", head + b"Connection: close\r\n\r\n" + long_body.encode(), ("1.1",), False),
        ("length, cut", with_length[:-9], ("1.1",), True),
        ("chunks, cut", chunked[:-30], ("1.1",), True),
        ("short", response(), ("1.1",), False),
    )
    replies = [reply for _, reply, http_versions, _ in cases for _ in http_versions]
    backends = LongBodyBackends({"b": lambda number: replies[number - 1]})

    async def scenario(harness: ProxyHarness) -> None:
        for name, _, http_versions, is_cut in cases:
            backends.closes_after_response = is_cut
            harness.record(f"-- {name}")
            for http_version in http_versions:
                await record_response(harness, http_version)

    check_scenario(scenario, "body_long_responses", ProxyHarness(backends))


def test_paused_response_is_complete(check_scenario: ScenarioChecker):
    """A response of unknown length pauses before and after its forwarding has started. No part of it is lost, regardless of which
    task was waiting for it."""

    async def scenario(harness: ProxyHarness) -> None:
        for _ in range(4):
            await record_response(harness, "1.1")

    pieces = [
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"5\r\nfirst\r\n",
        b"6\r\nsec",
        b"ond\r\n5\r\nth",
        b"ird\r\n0\r\n\r\n",
    ]
    check_scenario(scenario, "body_paused_response", ProxyHarness(LongBodyBackends({"b": pieces}), deadline_ms=400))


def test_slow_steady_response_is_forwarded(check_scenario: ScenarioChecker):
    """Guards against a long response being cut off at the deadline because its length is unknown and its backend never pauses.

    Short responses in chunks, which come at once, are still held whole and sent with their length.
    """
    head = b"HTTP/1.1 200 X\r\n"
    chunked_head = head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = [b"280\r\n%b\r\n" % (b"x" * 640)] * STEADY_PIECES
    cases = (  # name, response, whether the backend closes the connection after it
        ("chunks", [chunked_head, *chunks, b"0\r\n\r\n"], False),
        ("to the end", [head + b"Connection: close\r\n\r\n", *[b"x" * 640] * STEADY_PIECES], True),
        ("short, at once", chunked_head + b"5\r\nfirst\r\n0\r\n\r\n", False),
    )
    backends = LongBodyBackends({"b": lambda number: cases[number - 1][1]})
    backends.piece_seconds = 0.02

    async def scenario(harness: ProxyHarness) -> None:
        for name, _, is_closed in cases:
            backends.closes_after_response = is_closed
            harness.record(f"-- {name}")
            await record_response(harness, "1.1")

    check_scenario(scenario, "body_steady_response", ProxyHarness(backends, deadline_ms=1500))


def test_wait_before_the_body(check_scenario: ScenarioChecker):
    """Guards against a response being cut off between its parts: after an interim response that came in two pieces, and after
    the head of a long response.

    A short response whose stated length does not come is still given up, and another attempt made.
    """
    pause = [b""] * STEADY_PIECES
    interim = [b"HTTP/1.1 103 Early", b" Hints\r\n\r\n", *pause, response("after the interim response")]
    long_response = response("x" * (2 * MAX_BUFFERED_BODY_BYTES))
    head, separator, body = long_response.partition(b"\r\n\r\n")
    cases = (  # name, and the responses of the attempts
        ("interim response", [interim]),
        ("head of a long response", [[head + separator, *pause, body]]),
        ("short length", [[b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", *pause, b""], response("second")]),
    )
    replies = [reply for _, attempts in cases for reply in attempts]

    def reply_to(number: int) -> Script:
        return replies[number - 1]

    backends = LongBodyBackends({"b": reply_to, "c": reply_to})
    backends.piece_seconds = 0.02

    async def scenario(harness: ProxyHarness) -> None:
        for name, _ in cases:
            harness.record(f"-- {name}")
            await record_response(harness, "1.1")

    check_scenario(scenario, "body_wait_before_body", ProxyHarness(backends, deadline_ms=3000))


def test_long_request_is_sent_once(check_scenario: ScenarioChecker):
    """A body longer than the buffer is sent once, to one backend. A client may disconnect in the middle of it, and the next
    request is served."""
    backends = LongBodyBackends({"b": response()})

    async def scenario(harness: ProxyHarness) -> None:
        body = "y" * (4 * MAX_BUFFERED_BODY_BYTES)
        connection = await harness.connect()
        await harness.request("once", body, connection)
        await harness.request("once", "short", connection)
        await harness.request("safe", X_Call_Id="c7")
        harness.record("-- in chunks")
        chunks = "".join(f"{length:x}\r\n{'z' * length}\r\n" for length in (5, 70000, 70000, 1))
        await harness.send(KEYED_HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n")
        harness.record("-- the client breaks off")
        _, writer = await harness.connect()
        upload = KEYED_HEAD + f"Content-Length: {len(body)}\r\n\r\n" + body[: 2 * MAX_BUFFERED_BODY_BYTES]
        writer.write(harness.with_new_ids(upload.encode()))
        await writer.drain()
        await wait_until(lambda: backends.requests_begun >= 5)
        writer.transport.abort()
        await wait_until(lambda: harness.lines[-1].endswith("broken off"))
        await harness.request("safe", X_Call_Id="c8")

    check_scenario(scenario, "body_long_requests", ProxyHarness(backends))


def test_response_before_end_of_request_body(check_scenario: ScenarioChecker):
    """A backend responds before it has received the request body. The client gets the response, and its connection is closed."""
    backends = LongBodyBackends({"b": response()}, early_response=response("early"))

    async def scenario(harness: ProxyHarness) -> None:
        body = "y" * (2 * MAX_BUFFERED_BODY_BYTES)
        reader, writer = await harness.connect()
        writer.write((KEYED_HEAD + f"Content-Length: {4 * MAX_BUFFERED_BODY_BYTES}\r\n\r\n" + body).encode())
        await wait_until(lambda: backends.requests_begun)
        writer.write(body[:MAX_BUFFERED_BODY_BYTES].encode())
        head = await reader.readuntil(b"\r\n\r\n")
        harness.record(f"client gets: {head.split()[1].decode()}, {b'Connection: close' in head}")
        harness.record("-- the next one goes on a connection of its own: what was left there is nobody's beginning")
        backends.early_response = b""
        await harness.request("keyed", "next", X_Call_Id="c2", Idempotency_Key="k2")

    check_scenario(scenario, "body_early_response", ProxyHarness(backends))
