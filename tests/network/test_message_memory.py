"""What a received message costs in memory, whatever pieces it comes in."""

import gc
import tracemalloc

import pytest

from sloeferry.network.buffers import BUFFER_BYTES
from sloeferry.network.http1.framing import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, MessageFraming, StreamEnd
from sloeferry.network.http1.message import MAX_SEPARATE_HEADERS, Message

BODY_BYTES = 64_000
CONNECTIONS = 10  # over which the cost is averaged
# docs/body-streaming.md: a connection holds at most the buffered part of a body and a slice.
MAX_HELD_BYTES = MAX_BUFFERED_BODY_BYTES + BUFFER_BYTES
FIRST_LINES = {False: b"POST /api HTTP/1.1\r\nHost: x\r\n", True: b"HTTP/1.1 200 OK\r\n"}  # by whether it is a response
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def feed(wire: bytes, is_response: bool) -> MessageFraming:
    """Return a parser that has received the bytes, in slices as from a socket."""
    framing = MessageFraming(is_response)
    for at in range(0, len(wire), BUFFER_BYTES):
        data = bytearray(wire[at : at + BUFFER_BYTES])
        framing.feed(data, len(data))
    return framing


def held_bytes(wire: bytes, is_response: bool) -> float:
    """Return the memory that a connection holds after it has received the bytes."""
    feed(wire, is_response)  # what is allocated once and cached
    gc.collect()
    tracemalloc.start()
    try:
        framings = [feed(wire, is_response) for _ in range(CONNECTIONS)]
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] / len(framings)
    finally:
        tracemalloc.stop()
    assert not any(framing.fault for framing in framings)
    return held


def chunked_body(chunk_bytes: int) -> bytes:
    """Return a body in chunks of that size, without the last chunk."""
    return b"%x\r\n%b\r\n" % (chunk_bytes, b"m" * chunk_bytes) * (BODY_BYTES // chunk_bytes)


@pytest.mark.parametrize("chunk_bytes", [1, 2, 4, 16, 4000])
@pytest.mark.parametrize("is_response", [False, True], ids=["request", "response"])
def test_body_in_small_chunks_costs_its_bytes(chunk_bytes: int, is_response: bool):
    """Guards against a proxy that is killed for memory, because each chunk is held as an object of its own."""
    wire = FIRST_LINES[is_response] + CHUNKED + chunked_body(chunk_bytes)
    assert held_bytes(wire, is_response) <= MAX_HELD_BYTES


@pytest.mark.parametrize("line", [b"a:b\r\n", b"ab:\r\n", b"name%d:c\r\n"], ids=["short", "empty", "distinct"])
@pytest.mark.parametrize("is_response", [False, True], ids=["request", "response"])
def test_head_of_short_lines_costs_its_bytes(line: bytes, is_response: bool):
    """Guards against a proxy that is killed for memory, because each header line is held as objects of its own."""
    lines = [line.replace(b"%d", b"%d" % number) for number in range(MAX_HEAD_BYTES)]
    wire = b"".join([FIRST_LINES[is_response], *lines])[: MAX_HEAD_BYTES - len(line)]
    assert held_bytes(wire, is_response) <= MAX_HELD_BYTES


@pytest.mark.parametrize("chunk_bytes", [1, 2, 4, 16, 4000])
def test_body_in_small_chunks_is_whole(chunk_bytes: int):
    """The allowed neighbour: the same bodies are received as sent, at once or part by part."""
    body = bytes(at % 251 for at in range(chunk_bytes * 500))[:BODY_BYTES]
    chunks = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    wire = FIRST_LINES[False] + CHUNKED + b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
    (message,) = feed(wire, is_response=False).completed
    assert (message.body(), message.body_bytes, message.take_body(), message.take_body()) == (body, len(body), body, b"")


def message_with(lines: list[bytes]) -> Message:
    """Return the request with these header lines after Host."""
    (message,) = feed(FIRST_LINES[False] + b"\r\n".join(lines) + b"\r\n\r\n", is_response=False).completed
    return message


def test_many_headers_are_forwarded_in_order():
    """The allowed neighbour: a head of hundreds of lines is read and forwarded as it came."""
    lines = [b"Name%d: value %d" % (number, number) for number in range(500)]
    message = message_with([*lines, b"Connection: close, name400", b"empty:"])
    expected = [(b"host", b"x"), *[(b"name%d" % number, b"value %d" % number) for number in range(500) if number != 400]]
    assert message.forwarded_headers({b"connection"}) == [*expected, (b"empty", b"")]
    assert [message.header(name) for name in (b"host", b"name3", b"name499", b"empty", b"name", b"value")] == [
        b"x",
        b"value 3",
        b"value 499",
        b"",
        None,
        None,
    ]


@pytest.mark.parametrize("places", [(0, 1), (0, 99), (98, 99), (97, 99)])
def test_repeated_header_has_no_value(places: tuple[int, int]):
    """A header that comes twice has no value, wherever its lines stand: the ends of messages depend on it."""
    lines = [b"Name%d: value" % number for number in range(100)]
    for place in places:
        lines[place] = b"Key: k"
    message = message_with(lines)
    assert (message.has_header(b"key"), message.header(b"key"), message.has_header(b"name")) == (True, None, False)


def test_length_behind_many_headers_ends_the_body():
    """Content-Length and Transfer-Encoding count, and contradict each other, behind any number of lines."""
    filler = b"".join(b"Name%d: value\r\n" % number for number in range(MAX_SEPARATE_HEADERS))
    (message,) = feed(FIRST_LINES[False] + filler + b"Content-Length: 3\r\n\r\nabc", is_response=False).completed
    assert (message.content_length, message.body()) == (3, b"abc")
    two = feed(FIRST_LINES[False] + filler + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", is_response=False)
    both = feed(FIRST_LINES[False] + filler + b"Content-Length: 3\r\n" + CHUNKED, is_response=False)
    assert (two.fault, both.fault) == (StreamEnd.MALFORMED, StreamEnd.MALFORMED)
