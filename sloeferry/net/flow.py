"""Bodies that are longer than what is held of them: they go on as they come, and nobody takes faster than the other
side gives or wants.  Nothing is read that can't be written yet, so a body of any length costs a buffer."""

from sloeferry import machine
from sloeferry.core import facade as f
from sloeferry.net import http1

SLICE = 16384  # bytes written at a time, each within the time that a write may take
STALLED = 10.0  # seconds without a byte from a backend whose answer has begun


class Broken(Exception):
    """The rest of a body will not come; the reason is in its wire's `fault`."""


class Upload:
    """The body of a request on its way to the one backend that gets all of it.

    Until more has gone out than is held, it can start anew elsewhere; from then on it is bound to its posting.
    The time of its txn begins with its last byte."""

    def __init__(self, guest, message, facade, errand):
        self.guest, self.message, self.facade, self.errand = guest, message, facade, errand
        self.left = errand.ends - f.clock()  # the time that there is from the last byte on
        self.held, self.taken, self.bound, self.began, self.task = message.take(), None, False, None, None
        self.whole, message.flows = False, True  # whether its last byte has come

    def claim(self, seq):
        """Whether a posting may begin to write it: only one at a time does."""
        if self.taken is not None:
            return False
        self.taken = seq
        return True

    def release(self, seq):
        """That posting has ended; one that was refused it must not give away another's."""
        if self.taken == seq:
            self.taken = None

    def start(self):
        """What is held, framed."""
        return self.framed(self.held)

    def framed(self, data):
        return data if self.message.length is not None else http1.chunk(data)

    def bind(self, seq, task):
        """All that was held has gone out."""
        self.held, self.bound, self.task = None, True, task
        self.facade.flows(self.errand, seq)

    async def more(self):
        """What came next, framed, with its last byte the end of the framing too (`whole` from then on).  Raises
        Broken where the client breaks off."""
        while True:
            data, done = self.message.take(), self.message.done
            if data or done:
                data = self.framed(data) if data else b""
                if done:
                    self.whole, self.began, self.task = True, f.clock(), None
                    self.left = self.guest.clients.in_time(self.left)
                    self.facade.whole(self.errand, self.left)
                    data += b"" if self.message.length is not None else b"0\r\n\r\n"
                return data
            if self.guest.wire.fault:
                raise Broken
            await self.guest.pull()


class Download:
    """The body of an answer on its way to the client; it holds the backend's connection until its end."""

    def __init__(self, link, message):
        self.link, self.message, self.since = link, message, machine.monotonic()
        message.flows = True

    def framing(self, old):
        """Header lines that say how long it is; to an `old` client (HTTP/1.0) the connection's end says that."""
        if self.message.length is not None:
            return [b"Content-Length: %d" % self.message.length]
        return [] if old else [b"Transfer-Encoding: chunked"]

    async def pass_on(self, guest, old):
        """All of it; raises Broken where the backend breaks off."""
        chunked = self.message.length is None and not old
        while True:
            data = self.message.take()
            for at in range(0, len(data), SLICE):
                piece = data[at : at + SLICE]
                await guest.send(http1.chunk(piece) if chunked else piece)
            if self.message.done:
                break
            if self.link.wire.fault:
                raise Broken
            self.since = machine.monotonic()
            await self.link.wire.fill()
        if chunked:
            await guest.send(b"0\r\n\r\n")
        link, self.link = self.link, None
        link.done(self.message.keep)

    def stalled(self, now):
        """Whether the backend has given nothing for too long; what the client doesn't take is not its fault."""
        return now > self.since + STALLED

    def close(self):
        if self.link:
            self.link.close()
            self.link = None
