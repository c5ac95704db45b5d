"""HTTP/1.1 on one socket, with httptools.  What goes wrong is a value, never an exception."""

import asyncio
import errno
import socket
import struct

import httptools

from sloeferry import machine

# Why there is no (further) message.
CLOSED, MALFORMED, TOO_LARGE, UNWANTED, OVERDUE = "closed", "malformed", "too large", "unwanted", "overdue"
DISMISSED = "dismissed"  # no fault: a whole request, seen to before it was parsed
KEPT, HEAD = 65536, 16384  # the most of a body that is held, and all else of a message
LONGEST = 1 << 26  # bytes of the longest body that is passed on
FRAMING = 9  # bytes of chunk lines that a byte of a body may bring along
HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}  # headers that speak of one connection alone, or are written anew
BARE = (204, 304)  # answers that have no body, whatever their head says


class Message:
    """A request or an answer."""

    __slots__ = (
        "url",
        "headers",
        "named",
        "parts",
        "size",
        "asks",
        "barred",
        "method",
        "status",
        "keep",
        "expects",
        "at",
        "headed",
        "done",
        "length",
        "old",
        "link",
        "flows",
    )

    def __init__(self):
        self.url, self.headers, self.named, self.parts, self.size, self.asks = b"", [], {}, [], 0, None
        self.barred = self.link = None
        self.method, self.status, self.keep, self.expects, self.at = b"", 0, False, False, 0.0
        self.headed = self.done = self.old = False  # its head is there; all of it is; it speaks HTTP/1.0
        self.flows = False  # somebody takes it as it comes: at its end it is nobody's next one
        self.length = None  # of its body, where its head tells

    def header(self, name):
        """The one value of a header; None if it is missing or said twice."""
        return self.named.get(name)

    def body(self):
        self.parts = [b"".join(self.parts)]  # not both: bodies are most of the memory
        return self.parts[0]

    def take(self):
        """What has come of its body since the last time."""
        data = b"".join(self.parts)
        self.parts.clear()
        return data

    def passed_on(self, kept_back):
        """Its headers, without those kept back and those that its Connection names: these are for one hop alone."""
        if b"connection" in self.named:
            said = b",".join(value for name, value in self.headers if name == b"connection")
            kept_back = kept_back.union(name.strip().lower() for name in said.split(b","))
        return [header for header in self.headers if header[0] not in kept_back]


class Framing:
    """Bytes in; whole messages, or the bits of one's body as they come, out.  No socket here: strict about what
    says where a message ends, since two readers that disagree about it let one message hide in another.

    `whole` holds the messages that ended; `message` is the one under way once `begun`; `fault` says why no more
    will come.
    """

    def __init__(self, answers, stream=None, wanted=None, most=LONGEST):
        self.stream, self.answers, self.wanted, self.most, self.beside = stream, answers, wanted, most, 0
        self.parser = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)
        self.message, self.whole, self.fault, self.begun = Message(), [], None, False

    def on_message_begin(self):
        self.message, self.begun = Message(), True

    def on_url(self, url):
        self.message.url += url

    def on_header(self, name, value):
        message = self.message
        if message.headed:
            return  # a trailer: it must not pass for a header, of its own message or the next
        name, value = name.lower(), value.strip(b" \t")  # blanks may stand at either end of a value
        message.headers.append((name, value))
        message.named[name] = None if name in message.named else value
        message.size += len(name) + len(value) + 4

    def fail(self, fault):
        self.fault = fault
        raise ValueError(fault)

    def on_headers_complete(self):
        message = self.message
        version = self.parser.get_http_version()
        message.keep, message.old, message.headed = self.parser.should_keep_alive(), version == "1.0", True
        if version not in ("1.0", "1.1"):
            self.fail(MALFORMED)
        named, size, message.size = message.named, len(message.url) + message.size, 0
        if size > HEAD:
            self.fail(TOO_LARGE)
        if b"transfer-encoding" in named:
            # Another coding, or one twice, or chunks to one who can't know of them: where it ends is anybody's guess.
            if (named[b"transfer-encoding"] or b"").lower() != b"chunked" or message.old:
                self.fail(MALFORMED)
        if b"content-length" in named:
            # Two lengths, or one beside chunks: what the next reader takes for the body may hide a request.
            length = named[b"content-length"] or b""
            if not length.isdigit() or b"transfer-encoding" in named:
                self.fail(MALFORMED)
            if len(length) > 9 or int(length) > self.most:
                self.fail(TOO_LARGE)  # here: not a byte more of it is read
            message.length = int(length)
        if self.answers:
            message.status = self.parser.get_status_code()
        else:
            message.method = self.parser.get_method()
            message.expects = b"expect" in named and (named[b"expect"] or b"").lower() == b"100-continue"
            if self.wanted and not self.wanted(message):
                self.fail(UNWANTED)  # before its body, which may be large or never come

    def on_body(self, data):
        self.beside = max(0, self.beside - (1 + FRAMING) * len(data))
        if self.stream is not None:
            return self.stream(self.message, data)
        self.message.size += len(data)
        if self.message.size > self.most:
            self.fail(TOO_LARGE)
        self.message.parts.append(data)

    def on_message_complete(self):
        self.begun, self.message.at, self.message.done = False, machine.monotonic(), True
        if not 100 <= self.message.status < 200:
            if not self.message.flows:  # taken once more it would be sent twice
                self.whole.append(self.message)
            self.beside = 0

    def flowing(self):
        """The message under way, where it is more than is held: whoever wants the rest takes it as it comes."""
        message = self.message
        if not self.begun or not message.headed or not message.size or self.fault:
            return None
        # An answer known to be long is passed on from its first bytes; of a request as much as may be is held,
        # for until more has gone out it can go elsewhere.
        long = self.answers and (message.length or 0) > KEPT
        return message if long or message.size >= KEPT else None

    def untaken(self):
        """The messages that are whole or under way and that nobody has taken yet."""
        return self.whole + [self.message] * (self.begun and not self.message.flows)

    def unmeasured(self):
        """Whether an answer is under way of which nobody knows how long it is."""
        message = self.message
        return self.begun and message.headed and message.length is None and message.status >= 200

    def feed(self, buffer, n):
        """Takes in what has been received; no bytes are an end.  Why nothing more will come, or None."""
        if not n:
            message = self.message
            if self.answers and self.unmeasured() and b"transfer-encoding" not in message.named and message.status not in BARE:
                message.keep = False  # the end of the connection is its end; one that is cut off is reset
                self.on_message_complete()
            self.fault = CLOSED
            return self.fault
        # Counted as it comes: of a head, a chunk line or trailer without end the parser tells nothing,
        # it only grows; and 1xx answers may come for ever, each of them whole.
        self.beside += n
        try:
            self.parser.feed_data(memoryview(buffer)[:n])
            if self.beside > HEAD:
                self.fault = TOO_LARGE
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fault = self.fault or MALFORMED
        return self.fault

    def close(self):
        """A parser and what it calls hold each other: left to the collector, ended connections pile up."""
        self.parser = None


class Wire(Framing):
    """What comes in on a socket.  Nothing is read that nobody asked for: who doesn't take holds the sender back."""

    def __init__(self, loop, sock, buffers, answers, stream=None, wanted=None, most=LONGEST, glance=None):
        super().__init__(answers, stream, wanted, most)
        self.loop, self.sock, self.buffers, self.glance = loop, sock, buffers, glance
        self.filling = None  # a receive that goes on

    def close(self):
        super().close()
        if self.filling:
            self.filling.cancel()
            self.filling = None

    async def waited(self, seconds):
        """Receives once, for so long; whether anything came.  The receive goes on after that, for the next one who
        asks: called off it might have taken bytes already, and they would be missing from the middle of a body."""
        self.filling = self.filling or self.loop.create_task(self.fill(anew=True))
        done, _ = await asyncio.wait([self.filling], timeout=seconds)
        if done:
            await self.fill()
        return bool(done)

    async def fill(self, anew=False):
        """Receives once; None, or why nothing more will come."""
        if self.filling and not anew:
            filling, self.filling = self.filling, None
            return await filling
        buffer = self.buffers.take()
        try:
            n = await self.loop.sock_recv_into(self.sock, buffer)
            if n and self.glance and not self.begun and self.glance(buffer, n):
                return DISMISSED
            return self.feed(buffer, n)
        except OSError:
            self.fault = CLOSED
        finally:
            self.buffers.give(buffer)
        return self.fault


def quiet(sock):
    """Whether a socket stands and there is nothing to be read from it: no bytes and no end."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def let_in(sock):
    """Makes a socket just accepted one that never blocks and holds no small writes back: what is held back goes when
    it is closed over unread bytes.  False, and closed, if it is spoilt already."""
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return True
    except OSError:
        sock.close()
        return False


def reset(sock):
    """Has the machine throw away what of this side's bytes is not out yet once the socket is closed, and say so to
    the other side.  Closed without that they go on whenever they can, be it seconds later, with the end behind them."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:  # it has ended already
        pass


# connect(2): what tells of this machine, not of the one called.  It may have passed in a moment.
OWN_WANT = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EACCES,
        errno.EPERM,
    }
)


async def dial(loop, address, patience):
    """A connected socket, or None if it did not come up in so many ms; an OSError if this machine has none to give, or
    can't reach anybody now."""
    sock = machine.tcp()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(patience / 1000):
            await loop.sock_connect(sock, address)
        return sock
    except TimeoutError:
        sock.close()
        return None
    except OSError as fault:
        sock.close()
        if fault.errno in OWN_WANT:
            raise
        return None
    except BaseException:  # withdrawn while it dialled
        sock.close()
        raise


def opening(method, url, headers, length=0):
    """The head of a request but for its empty line: more headers may follow.  No length: the body comes in chunks."""
    head = [b"%b %b HTTP/1.1\r\n" % (method, url), *[b"%b: %b\r\n" % h for h in headers]]
    if length is None:
        head.append(b"Transfer-Encoding: chunked\r\n")
    elif length or method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % length)
    return b"".join(head)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def request(method, url, headers, body=b""):
    return opening(method, url, headers, len(body)) + b"\r\n" + body


REASONS = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    409: b"Conflict",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def answer(status, body=b"", headers=(), keep=True, framing=None):
    """An answer; with `framing`, its header lines about that, only the head of one whose body follows."""
    head = [
        b"HTTP/1.1 %d %b" % (status, REASONS[status]),
        *([b"Content-Length: %d" % len(body)] if framing is None else framing),
        *(b"%b: %b" % h for h in headers),
    ]
    if not keep:
        head.append(b"Connection: close")
    return b"\r\n".join(head) + b"\r\n\r\n" + body
