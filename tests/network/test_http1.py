"""Framing of HTTP/1.1 messages, compared with an independent parser, for any split of the bytes, and after forwarding."""

import random
import types
from collections.abc import Iterator, Sequence

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.config.settings_reader import build_settings
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import MessageFraming, StreamEnd
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS
from sloeferry.network.request_ids import RequestIds
from sloeferry.network.request_intake import RequestIntake

Headers = list[tuple[bytes, bytes]]
ParsedMessage = tuple[bytes, Headers]  # body, headers

NAME_BYTES = b"abcdefghijklmnopqrstuvwxyzABCXYZ0189-_"
BODY_BYTES = (0, 1, 7, 300, 3000)
PIECE_BYTES = (1, 2, 17, 400)
SEEDS = st.integers(0, 2**32)
REJECTABLE_HEADERS = [b"Host: x", b"X-Call-Id: c1", b"X-Call-Class: safe", b"X-Caller: acme", b"X-Budget-Ms: 300"]


def draw_first_line(rng: random.Random, is_response: bool) -> list[bytes]:
    """Return a random first line, followed by the Host header if it is a request."""
    if is_response:
        return [b"HTTP/1.1 %d %b" % (rng.choice((200, 500, 503)), rng.choice((b"OK", b"", b"Not so good")))]
    method = rng.choice((b"GET", b"POST", b"PUT", b"DELETE"))
    return [b"%b %b HTTP/1.1" % (method, rng.choice((b"/", b"/a?b=c", b"http://h/x"))), b"Host:h"]


def draw_header(rng: random.Random) -> bytes:
    """Return a random header that does not affect framing."""
    name = bytes(rng.choices(NAME_BYTES, k=rng.randint(1, 12)))
    before = rng.choice((b"", b" ", b"\t "))
    return b"X" + name + b":" + before + rng.choice((b"v", b"a b", b"")) + rng.choice((b"", b" "))


def draw_chunks(rng: random.Random, body: bytes) -> bytes:
    """Return the body in random chunks, some with extensions, sometimes with a trailer."""
    text = b""
    while body:
        length = rng.randint(1, len(body))
        text += b"%x%b\r\n%b\r\n" % (length, rng.choice((b"", b";a=b", b';a="b"')), body[:length])
        body = body[length:]
    return text + b"0%b\r\n" % rng.choice((b"", b";last")) + rng.choice((b"", b"X-Trailer: t\r\n")) + b"\r\n"


def draw_messages(rng: random.Random, are_responses: bool) -> tuple[bytes, list[bytes]]:
    """Return the bytes of a sequence of random valid HTTP/1.1 messages, and the body of each."""
    wire = b""
    bodies: list[bytes] = []
    count = rng.randint(1, 3)
    for index in range(count):
        body = rng.randbytes(rng.choice(BODY_BYTES))
        head = draw_first_line(rng, are_responses)
        head += [draw_header(rng) for _ in range(rng.randint(0, 4))]
        may_end = are_responses and index == count - 1  # delimited by the end of the connection
        framing = rng.choice(("length", "chunks", "chunks") + ("end",) * may_end)
        text = body
        if framing == "length":
            name = rng.choice((b"Content-Length", b"content-length"))
            head.append(name + b":%b%d%b" % (rng.choice((b" ", b"")), len(body), rng.choice((b"", b" "))))
        elif framing == "chunks":
            head.append(b"Transfer-Encoding: " + rng.choice((b"chunked", b"Chunked")))
            text = draw_chunks(rng, body)
        wire += b"\r\n".join(head) + b"\r\n\r\n" + text
        bodies.append(body)
    return wire, bodies


def draw_pieces(rng: random.Random, wire: bytes) -> Iterator[bytes]:
    """Yield the bytes in pieces of random length."""
    while wire:
        length = rng.choice((*PIECE_BYTES, len(wire)))
        yield wire[:length]
        wire = wire[length:]


def parse(rng: random.Random, wire: bytes, are_responses: bool) -> list[ParsedMessage]:
    """Return the messages as parsed by the proxy."""
    framing = MessageFraming(are_responses)
    for piece in draw_pieces(rng, wire):
        framing.feed(piece, len(piece))
    framing.feed(b"", 0)
    return [
        (
            message.body(),
            [(name, value.lower() if name == b"transfer-encoding" else value) for name, value in message.all_headers()],
        )
        for message in framing.completed
    ]


def parse_one_independently(wire: bytes, is_response: bool) -> tuple[ParsedMessage | None, bytes]:
    """Return the first message as parsed by an independent parser (None if truncated) and the bytes after it."""
    peer = h11.Connection(h11.CLIENT if is_response else h11.SERVER)
    if is_response:
        peer.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        peer.send(h11.EndOfMessage())
    peer.receive_data(wire)
    body = b""
    headers: Headers = []
    has_ended = False
    while not isinstance(event := peer.next_event(), h11.EndOfMessage):
        if isinstance(event, (h11.Request, h11.Response)):
            headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif has_ended:
            return None, b""
        else:
            has_ended = True
            peer.receive_data(b"")
    return (body, headers), b"" if has_ended else peer.trailing_data[0]


def parse_independently(wire: bytes, are_responses: bool) -> list[ParsedMessage]:
    """Return the messages as parsed by an independent parser, with a new connection for each."""
    messages: list[ParsedMessage] = []
    while wire:
        message, wire = parse_one_independently(wire, are_responses)
        if message is not None:
            messages.append(message)
    return messages


@settings(max_examples=300, deadline=None)
@given(SEEDS, st.booleans())
def test_agrees_with_independent_parser(seed: int, are_responses: bool):
    """The proxy's parser and an independent one return the same messages, whose bodies are those that were generated."""
    rng = random.Random(seed)
    wire, bodies = draw_messages(rng, are_responses)
    messages = parse(rng, wire, are_responses)
    assert messages == parse_independently(wire, are_responses)
    assert [body for body, _ in messages] == bodies


@settings(max_examples=300, deadline=None)
@given(SEEDS, st.booleans())
def test_result_does_not_depend_on_splits(seed: int, are_responses: bool):
    """For messages with one changed byte, the messages and the fault do not depend on how the bytes are split."""
    rng = random.Random(seed)
    wire = bytearray(draw_messages(rng, are_responses)[0])
    wire[rng.randrange(len(wire))] = rng.choice(b"\r\n :,;0aZ\x00\x7f\xff")
    first, second = (parse_to_first_fault(draw_pieces(rng, bytes(wire)), are_responses) for _ in range(2))
    assert first == second


def parse_to_first_fault(pieces: Iterator[bytes], are_responses: bool) -> tuple[Sequence[ParsedMessage], object]:
    """Return the messages before the first fault, and the fault."""
    framing = MessageFraming(are_responses)
    for piece in pieces:
        if framing.feed(piece, len(piece)):
            break
    return [(message.body(), message.all_headers()) for message in framing.completed], framing.fault


@settings(max_examples=300, deadline=None)
@given(SEEDS)
def test_forwarded_as_one_message(seed: int):
    """A request in any valid form is forwarded as exactly one message with the same body and without the original framing."""
    rng = random.Random(seed)
    wire, bodies = draw_messages(rng, are_responses=False)
    framing = MessageFraming(False)
    for piece in draw_pieces(rng, wire):
        framing.feed(piece, len(piece))
    for message, body in zip(framing.completed, bodies, strict=True):
        headers = message.forwarded_headers(HOP_BY_HOP_HEADERS)
        is_chunked = rng.random() < 0.5
        body_bytes = None if is_chunked else message.body_bytes
        sent = writer.request_head(message.method, b"/x", headers, body_bytes) + b"\r\n"
        if is_chunked:
            sent += b"".join(map(writer.chunk, filter(None, (body[:9], body[9:])))) + b"0\r\n\r\n"
        else:
            sent += body
        [(parsed_body, parsed_headers)] = parse_independently(sent, are_responses=False)
        assert parsed_body == body
        assert [header for header in parsed_headers if header[0] not in HOP_BY_HOP_HEADERS] == headers


def draw_plain_request(rng: random.Random) -> bytes:
    """Return a random request that may or may not have the plain form that can be rejected unparsed."""
    length = rng.choice((0, 3, 20))
    extra_headers = (
        b"Content-Length: %d" % length,
        b"content-length:%d " % length,
        b"Content-Length: 3, 3",
        b"X-Caller: other",
        b"Transfer-Encoding: chunked",
        b"Expect: 100-continue",
        b"X : y",
        b" folded",
        b"X:\xff",
        b"X: a\x00b",
        b"Content-Length: +3",
        b"X-A: b\n",
        b"Connection: close",
    )
    first_line = rng.choice((b"POST /api HTTP/1.1", b"GET /api?x HTTP/1.1", b"GET  / HTTP/1.1"))
    head = [first_line, *REJECTABLE_HEADERS]
    for _ in range(rng.randint(0, 3)):
        head.insert(rng.randint(1, len(head)), rng.choice(extra_headers))
    return b"\r\n".join(head) + b"\r\n\r\n" + b"b" * rng.choice((length, length, length + 1, 0))


def shedding_intake() -> RequestIntake:
    """Return a request intake during load shedding."""
    overload = types.SimpleNamespace(is_shedding=lambda: True)
    dispatcher = types.SimpleNamespace(overload=overload, retry_after_if_rejected_ms=lambda *_: 5.0)
    names = {"schemes.count": 1, "schemes.0.name": "safe", "tenants.count": 1, "tenants.0.name": "acme"}
    return RequestIntake(dispatcher, types.SimpleNamespace(is_stopping=False), build_settings(names), RequestIds(1024))


@settings(max_examples=300, deadline=None)
@given(SEEDS)
def test_rejected_unparsed_is_one_complete_request(seed: int):
    """Bytes that are rejected unparsed are exactly one complete request to the parser."""
    text = draw_plain_request(random.Random(seed))
    if shedding_intake().retry_after_if_rejected_unparsed_ms(bytearray(text), len(text)) is not None:
        framing = MessageFraming(False)
        framing.feed(text, len(text))
        assert (len(framing.completed), framing.has_begun, framing.fault) == (1, False, None)


@pytest.mark.parametrize(
    ("length", "fault"), [(32 << 20, None), ((32 << 20) + 1, StreamEnd.TOO_LARGE), (60_000_000, StreamEnd.TOO_LARGE)]
)
def test_length_above_the_longest_sound_body_is_refused(length: int, fault: StreamEnd | None):
    """Guards against a body of 60 MB, which no sound request has, that is forwarded and served; one of 32 MB is read."""
    framing = MessageFraming(is_response=False)
    head = bytearray(b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % length)
    assert framing.feed(head, len(head)) is fault
