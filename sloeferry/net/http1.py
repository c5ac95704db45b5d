"""HTTP/1.1 on one socket, with httptools.  What goes wrong is a value, never an exception."""
import asyncio
import socket

import httptools

from sloeferry import machine

# Why there is no (further) message.
CLOSED, MALFORMED, TOO_LARGE, UNWANTED, OVERDUE = "closed", "malformed", "too large", "unwanted", "overdue"
DISMISSED = "dismissed"                  # no fault: a whole request, seen to before it was parsed
BODY, HEAD = 65536, 16384                # the most that a request's body may hold, and all else of a message
FRAMING = 9                              # bytes of chunk lines that a byte of a body may bring along
HOP = {b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
       b"expect", b"content-length"}     # headers that speak of one connection alone, or are written anew


class Message:
    """A request or an answer."""
    __slots__ = ("url", "headers", "named", "parts", "size", "asks", "barred", "method", "status", "keep",
                 "expects", "at")

    def __init__(self):
        self.url, self.headers, self.named, self.parts, self.size, self.asks = b"", [], {}, [], 0, None
        self.barred = None
        self.method, self.status, self.keep, self.expects, self.at = b"", 0, False, False, 0.0

    def header(self, name):
        """The one value of a header; None if it is missing or said twice."""
        return self.named.get(name)

    def body(self):
        self.parts = [b"".join(self.parts)]      # not both: bodies are most of the memory
        return self.parts[0]


class Wire:
    """What comes in on a socket: whole messages, or with `stream` the bits of one's body as they come."""

    def __init__(self, loop, sock, buffers, answers, stream=None, wanted=None, most=BODY, glance=None):
        self.loop, self.sock, self.buffers, self.stream, self.glance = loop, sock, buffers, stream, glance
        self.answers, self.wanted, self.most, self.beside = answers, wanted, most, 0
        self.parser = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)
        self.message, self.whole, self.fault, self.begun = Message(), [], None, False

    def on_message_begin(self):
        self.message, self.begun = Message(), True

    def on_url(self, url):
        self.message.url += url

    def on_header(self, name, value):
        name, message = name.lower(), self.message
        message.headers.append((name, value))
        message.named[name] = None if name in message.named else value
        message.size += len(name) + len(value) + 4

    def fail(self, fault):
        self.fault = fault
        raise ValueError(fault)

    def on_headers_complete(self):
        message = self.message
        message.keep = self.parser.should_keep_alive()
        named, size, message.size = message.named, len(message.url) + message.size, 0
        if size > HEAD:
            self.fail(TOO_LARGE)
        if b"content-length" in named:
            # Two lengths, or one beside chunks: what the next reader takes for the body may hide a request.
            length = (named[b"content-length"] or b"").strip()
            if not length.isdigit() or b"transfer-encoding" in named:
                self.fail(MALFORMED)
            if len(length) > 9 or int(length) > self.most:
                self.fail(TOO_LARGE)     # here: not a byte more of 60 MB, or of 3 GB, is read
        if self.answers:
            message.status = self.parser.get_status_code()
        else:
            message.method = self.parser.get_method()
            message.expects = b"expect" in named and (named[b"expect"] or b"").lower() == b"100-continue"
            if self.wanted and not self.wanted(message):
                self.fail(UNWANTED)      # before its body, which may be large or never come

    def on_body(self, data):
        self.beside = max(0, self.beside - (1 + FRAMING) * len(data))
        if self.stream is not None:
            return self.stream(self.message, data)
        self.message.size += len(data)
        if self.message.size > self.most:
            self.fail(TOO_LARGE)
        self.message.parts.append(data)

    def on_message_complete(self):
        self.begun, self.message.at = False, machine.monotonic()
        if not 100 <= self.message.status < 200:
            self.whole.append(self.message)
            self.beside = 0

    async def fill(self):
        """Receive once; None, or why nothing more will come."""
        buffer = self.buffers.take()
        try:
            n = await self.loop.sock_recv_into(self.sock, buffer)
            if n and self.glance and not self.begun and self.glance(buffer, n):
                return DISMISSED
            return self.take(buffer, n)
        except OSError:
            self.fault = CLOSED
        finally:
            self.buffers.give(buffer)
        return self.fault

    def take(self, buffer, n):
        """Takes in what has been received; no bytes are an end."""
        if not n:
            self.fault = CLOSED          # an answer of no stated length ends so too: a cut, for all we know
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


def gone(sock):
    """Whether the other side has closed, and nothing is left to be read from it."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def quiet(sock):
    """Whether a socket stands and there is nothing to be read from it: no bytes and no end."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


async def dial(loop, address, patience):
    """A connected socket, or None; an OSError if this machine has no socket to give."""
    sock = machine.tcp()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(patience / 1000):
            await loop.sock_connect(sock, address)
        return sock
    except (OSError, TimeoutError):
        sock.close()
        return None
    except BaseException:                # withdrawn while it dialled
        sock.close()
        raise


def opening(method, url, headers, length=0):
    """The head of a request but for its empty line: more headers may follow."""
    head = [b"%b %b HTTP/1.1\r\n" % (method, url), *[b"%b: %b\r\n" % h for h in headers]]
    if length or method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % length)
    return b"".join(head)


def request(method, url, headers, body=b""):
    return opening(method, url, headers, len(body)) + b"\r\n" + body


REASONS = {200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 408: b"Request Timeout", 413: b"Content Too Large",
           409: b"Conflict", 503: b"Service Unavailable", 504: b"Gateway Timeout"}


def answer(status, body=b"", headers=(), keep=True):
    head = [b"HTTP/1.1 %d %b" % (status, REASONS[status]), b"Content-Length: %d" % len(body),
            *(b"%b: %b" % h for h in headers)]
    if not keep:
        head.append(b"Connection: close")
    return b"\r\n".join(head) + b"\r\n\r\n" + body
