"""Framing, and bodies that are longer than what is held of them."""

import asyncio
import random
import types
import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from sloeferry.config.settings_reader import build_settings
from sloeferry.network.body_stream import RequestBodyStream
from sloeferry.network.http1 import writer
from sloeferry.network.http1.framing import MAX_HELD_BODY_BYTES, MessageFraming
from sloeferry.network.http1.message import HOP_BY_HOP_HEADERS, Message
from sloeferry.network.request_intake import RequestIntake
from tests.trace import Harbour, answer, play

TOKEN = b"abcdefghijklmnopqrstuvwxyzABCXYZ0189-_"


def drawn(rng, answers):
    """Messages in any form that HTTP/1.1 allows, in a row: the bytes, and the body of each."""
    wire, bodies, count = b"", [], rng.randint(1, 3)
    for at in range(count):
        body = rng.randbytes(rng.choice((0, 1, 7, 300, 3000)))
        head = (
            [b"HTTP/1.1 %d %b" % (rng.choice((200, 500, 503)), rng.choice((b"OK", b"", b"Not so good")))]
            if answers
            else [
                b"%b %b HTTP/1.1"
                % (rng.choice((b"GET", b"POST", b"PUT", b"DELETE")), rng.choice((b"/", b"/a?b=c", b"http://h/x"))),
                b"Host:h",
            ]
        )
        for _ in range(rng.randint(0, 4)):
            name = bytes(rng.choices(TOKEN, k=rng.randint(1, 12)))
            head.append(
                b"X" + name + b":" + rng.choice((b"", b" ", b"\t ")) + rng.choice((b"v", b"a b", b"")) + rng.choice((b"", b" "))
            )
        how = rng.choice(("length", "chunks", "chunks") + ("end",) * (answers and at == count - 1))
        if how == "length":
            head.append(
                rng.choice((b"Content-Length", b"content-length"))
                + b":%b%d%b" % (rng.choice((b" ", b"")), len(body), rng.choice((b"", b" ")))
            )
            text = body
        elif how == "end":
            text = body
        else:
            head.append(b"Transfer-Encoding: " + rng.choice((b"chunked", b"Chunked")))
            text, rest = b"", body
            while rest:
                n = rng.randint(1, len(rest))
                text += b"%x%b\r\n%b\r\n" % (n, rng.choice((b"", b";a=b", b';a="b"')), rest[:n])
                rest = rest[n:]
            text += b"0%b\r\n" % rng.choice((b"", b";last")) + rng.choice((b"", b"X-Trailer: t\r\n")) + b"\r\n"
        wire += b"\r\n".join(head) + b"\r\n\r\n" + text
        bodies.append(body)
        if answers and how == "end":
            break
    return wire, bodies


def pieces(rng, wire):
    while wire:
        n = rng.choice((1, 2, 17, 400, len(wire)))
        yield wire[:n]
        wire = wire[n:]


def ours(rng, wire, answers):
    framing, found = MessageFraming(answers), []
    for piece in pieces(rng, wire):
        framing.feed(piece, len(piece))
    framing.feed(b"", 0)
    for message in framing.completed:
        found.append(
            (
                message.body(),
                [(name, value.lower() if name == b"transfer-encoding" else value) for name, value in message.headers],
            )
        )
    return found


def theirs(wire, answers):
    """The same by an independent parser, a connection for each message."""
    found = []
    while wire:
        peer, ended = h11.Connection(h11.CLIENT if answers else h11.SERVER), False
        if answers:
            peer.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
            peer.send(h11.EndOfMessage())
        peer.receive_data(wire)
        while not isinstance(event := peer.next_event(), h11.EndOfMessage):
            if isinstance(event, (h11.Request, h11.Response)):
                body, headers = b"", [(bytes(name), bytes(value)) for name, value in event.headers]
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif ended:
                return found
            else:
                ended = True
                peer.receive_data(b"")
        found.append((body, headers))
        wire = b"" if ended else peer.trailing_data[0]
    return found


def alike(seed, answers):
    """One draw: what both parsers make of it; None where they agree with each other and with what was drawn."""
    rng = random.Random(seed)
    wire, bodies = drawn(rng, answers)
    a, b = ours(rng, wire, answers), theirs(wire, answers)
    return None if a == b and [body for body, _ in a] == bodies else (wire, bodies, a, b)


class Frames(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 2**32), st.booleans())
    def test_like_an_independent_parser(self, seed, answers):
        self.assertIsNone(alike(seed, answers))

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 2**32), st.booleans())
    def test_where_it_was_cut_is_all_the_same(self, seed, answers):
        """However a message is cut, and if one byte of it is another, the same comes out, or the same fault."""
        rng = random.Random(seed)
        wire = bytearray(drawn(rng, answers)[0])
        wire[rng.randrange(len(wire))] = rng.choice(b"\r\n :,;0aZ\x00\x7f\xff")
        seen = []
        for _ in range(2):
            framing = MessageFraming(answers)
            for piece in pieces(rng, bytes(wire)):
                if framing.feed(piece, len(piece)):
                    break
            seen.append(([(m.body(), m.headers) for m in framing.completed], framing.fault))
        self.assertEqual(*seen)

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 2**32))
    def test_what_is_sent_on(self, seed):
        """A request read in any form goes on as exactly one message, with that body and none of its framing."""
        rng = random.Random(seed)
        wire, bodies = drawn(rng, False)
        framing = MessageFraming(False)
        for piece in pieces(rng, wire):
            framing.feed(piece, len(piece))
        for message, body in zip(framing.completed, bodies, strict=True):
            headers = message.forwarded_headers(HOP_BY_HOP_HEADERS)
            chunked = rng.random() < 0.5
            sent = writer.request_head(message.method, b"/x", headers, None if chunked else message.body_bytes) + b"\r\n"
            sent += b"".join(map(writer.chunk, filter(None, (body[:9], body[9:])))) + b"0\r\n\r\n" if chunked else body
            [(found, said)] = theirs(sent, False)
            self.assertEqual(found, body)
            self.assertEqual([h for h in said if h[0] not in HOP_BY_HOP_HEADERS], headers)

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 2**32))
    def test_plain_is_plain(self, seed):
        """What the door turns away unparsed is, to the parser, one whole request of that length, and no more."""
        rng = random.Random(seed)
        length = rng.choice((0, 3, 20))
        head = [
            rng.choice((b"POST /api HTTP/1.1", b"GET /api?x HTTP/1.1", b"GET  / HTTP/1.1")),
            b"Host: x",
            b"X-Call-Id: c1",
            b"X-Call-Class: safe",
            b"X-Caller: acme",
            b"X-Budget-Ms: 300",
        ]
        for _ in range(rng.randint(0, 3)):
            head.insert(
                rng.randint(1, len(head)),
                rng.choice(
                    (
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
                ),
            )
        text = b"\r\n".join(head) + b"\r\n\r\n" + b"b" * rng.choice((length, length, length + 1, 0))
        overload = types.SimpleNamespace(is_shedding=lambda: True)
        dispatcher = types.SimpleNamespace(overload=overload, rejection_delay_ms=lambda *_: 5.0)
        named = {"schemes.count": 1, "schemes.0.name": "safe", "tenants.count": 1, "tenants.0.name": "acme"}
        intake = RequestIntake(dispatcher, types.SimpleNamespace(is_stopping=False), build_settings(named))
        if intake.unparsed_rejection_delay_ms(bytearray(text), len(text)) is not None:
            framing = MessageFraming(False)
            framing.feed(text, len(text))
            self.assertEqual((len(framing.completed), framing.has_begun, framing.fault), (1, False, None))


class Claims(unittest.TestCase):
    def test_one_at_a_time(self):
        """A second posting that is refused the body and ends leaves it to the first: nobody else gets it meanwhile."""
        message = Message()
        upload = RequestBodyStream(None, message, None, types.SimpleNamespace(deadline=0.0))
        self.assertEqual((upload.claim(0), upload.claim(1)), (True, False))
        upload.release(1)
        self.assertFalse(upload.claim(2))
        upload.release(0)
        self.assertTrue(upload.claim(2))


class Flows(unittest.TestCase):
    def setUp(self):
        logger.remove()

    def test_trailers(self):
        """A trailer is no header: it frames nothing of what is sent on."""

        async def story(h):
            head = (
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: once\r\nX-Caller: acme\r\n"
                "X-Budget-Ms: 3000\r\nTransfer-Encoding: chunked\r\n"
            )
            await h.ask(head + "\r\n5;x=y\r\nhello\r\n0\r\nX-Tail: 1\r\n\r\n")
            for trailer in ("Content-Length: 400", "Transfer-Encoding: identity", "X-Load: 1", "X-Call-Id: c2"):
                await h.ask(head + f"\r\n3\r\nabc\r\n0\r\n{trailer}\r\n\r\n")
            await h.ask(head + "Connection: x-secret\r\nX-Secret: mine\r\n\r\n0\r\n\r\n")
            await h.ask(head.replace("HTTP/1.1", "HTTP/1.0", 1) + "\r\n3\r\nabc\r\n0\r\n\r\n")
            await h.ask(head.replace("HTTP/1.1", "HTTP/2.0", 1) + "\r\n0\r\n\r\n")
            await h.ask(head.replace(": chunked", ": gzip, chunked", 1) + "\r\n0\r\n\r\n")
            await h.ask(head.replace("acme", "acme \t").replace("once", "once  ") + "\r\n0\r\n\r\n")

        h = Harbour({"b": answer()})
        h.show_head = True
        play(self, story, "flow_trailers", h)

    def test_long_answers(self):
        """With a length, in chunks, to the end of the connection: passed on whole, to old clients too; cut off,
        the client can tell; the connection is used again where it may be."""
        long, head = b"x" * (3 * MAX_HELD_BODY_BYTES), b"HTTP/1.1 200 X\r\n"
        chunks = b"".join(b"%x\r\n%b\r\n" % (n, b"x" * n) for n in (1, 70000, 9, MAX_HELD_BODY_BYTES)) + b"0\r\nX-Late: 1\r\n\r\n"
        said = [
            answer("x" * len(long)),
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
            head + b"Connection: close\r\n\r\n" + long,
            answer("x" * len(long))[:-9],
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks[:-30],
            answer(),
        ]

        async def story(h):
            for at, what in enumerate(said):
                h.cut = at in (3, 4)
                h.say(f"-- {['length', 'chunks', 'to the end', 'length, cut', 'chunks, cut', 'short'][at]}")
                await h.take_all("1.1")
                if at < 2:
                    await h.take_all("1.0")

        order = [0, 0, 1, 1, 2, 3, 4, 5]
        play(self, story, "flow_long_answers", Tap({"b": lambda n: said[order[n - 1]]}))

    def test_pauses(self):
        """An answer of no said length that pauses, before and after it is begun to be passed on: nothing of it is
        missing in the middle, whoever was waiting for it."""

        async def story(h):
            for _ in range(4):
                await h.take_all("1.1")

        parts = [
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"5\r\nfirst\r\n",
            b"6\r\nsec",
            b"ond\r\n5\r\nth",
            b"ird\r\n0\r\n\r\n",
        ]
        play(self, story, "flow_pauses", Tap({"b": parts}, expiry=400))

    def test_long_requests(self):
        """A body longer than what is held goes to one backend, once; a dead one before it costs nothing; its client
        may break off; a backend may answer before it has all of it."""

        async def story(h):
            body = "y" * (4 * MAX_HELD_BODY_BYTES)
            connection = await h.open()
            await h.call("once", body, connection)
            await h.call("once", "short", connection)
            await h.call("safe", X_Call_Id="c7")
            h.say("-- in chunks")
            head = (
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: keyed\r\nX-Caller: acme\r\n"
                "Idempotency-Key: k1\r\nX-Budget-Ms: 3000\r\n"
            )
            parts = "".join(f"{n:x}\r\n{'z' * n}\r\n" for n in (5, 70000, 70000, 1))
            await h.ask(head + "Transfer-Encoding: chunked\r\n\r\n" + parts + "0\r\n\r\n")
            h.say("-- the client breaks off")
            _, writer = await h.open()
            writer.write((head + f"Content-Length: {len(body)}\r\n\r\n" + body[: 2 * MAX_HELD_BODY_BYTES]).encode())
            await writer.drain()
            while h.begun < 5:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            while not h.lines[-1].endswith("broken off"):
                await asyncio.sleep(0.01)
            await h.call("safe", X_Call_Id="c8")

        play(self, story, "flow_long_requests", Tap({"b": answer()}, known=None))

    def test_early_answer(self):
        """Answered before its body has come: the client gets it, and its connection ends."""

        async def story(h):
            body = "y" * (2 * MAX_HELD_BODY_BYTES)
            reader, writer = await h.open()
            writer.write(
                (
                    "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: keyed\r\nX-Caller: acme\r\n"
                    f"Idempotency-Key: k1\r\nX-Budget-Ms: 3000\r\nContent-Length: {4 * MAX_HELD_BODY_BYTES}\r\n\r\n" + body
                ).encode()
            )
            while h.begun < 1:
                await asyncio.sleep(0.01)
            writer.write(body[:MAX_HELD_BODY_BYTES].encode())
            got = await reader.readuntil(b"\r\n\r\n")
            h.say(f"client gets: {got.split()[1].decode()}, {b'Connection: close' in got}")
            h.say("-- the next one goes on a connection of its own: what was left there is nobody's beginning")
            h.early = b""
            await h.call("keyed", "next", X_Call_Id="c2", Idempotency_Key="k2")

        early = answer("early")
        play(self, story, "flow_early", Tap({"b": answer()}, early=early))


class Tap(Harbour):
    """Backends that take long bodies, and a client that takes long answers."""

    def __init__(self, *what, early=b"", **more):
        super().__init__(*what, **more)
        self.begun, self.cut, self.early = 0, False, early

    async def backend(self, name, script, reader, writer):
        self.writers.append(writer)
        connection = self.count[name] = self.count.get(name, 0) + 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                self.begun += 1
                if self.early:
                    writer.write(self.early)
                    continue
                if "chunked" in head:
                    size = 0
                    while n := int(await reader.readuntil(b"\r\n"), 16):
                        size += len(await reader.readexactly(n + 2)) - 2
                    await reader.readexactly(2)
                else:
                    size = int((head.split("content-length: ") + ["0"])[1].split("\r\n")[0])
                    await reader.readexactly(size)
                self.asked += 1
                self.say(
                    f"  backend, connection {connection}: {head.split()[0]} with {size} bytes"
                    f"{' in chunks' if 'chunked' in head else ''}"
                )
                what = script(self.asked) if callable(script) else script
                if isinstance(what, list):
                    *before, what = what
                    for part in before:
                        writer.write(part)
                        await asyncio.sleep(0.15)
                writer.write(what)
                if self.cut or b"Connection: close" in what:
                    return writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as fault:
            if isinstance(fault, asyncio.IncompleteReadError) and fault.partial:
                self.say(f"  backend, connection {connection}: broken off")

    async def take_all(self, version):
        """One request, and all of what comes back, by an independent parser or to the end."""
        reader, writer = await self.open()
        writer.write(
            f"GET /api HTTP/{version}\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: safe\r\nX-Caller: acme\r\n"
            "X-Budget-Ms: 3000\r\nConnection: close\r\n\r\n".encode()
        )
        peer, size, start, whole = h11.Connection(h11.CLIENT), 0, b"", False
        peer.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        peer.send(h11.EndOfMessage())
        head = None
        try:
            while not whole:
                event = peer.next_event()
                if event is h11.NEED_DATA:
                    peer.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    head = event.status_code, [name.decode() for name, _ in event.headers]
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    start = (start + event.data)[:16]
                else:
                    whole = isinstance(event, h11.EndOfMessage)
        except (h11.RemoteProtocolError, OSError):
            pass
        writer.close()
        self.say(
            f"client of {version}: {head}, {size} bytes, "
            f"{bytes(start).decode() if size < 99 else ''} {'whole' if whole else 'not whole'}"
        )


if __name__ == "__main__":
    unittest.main()
