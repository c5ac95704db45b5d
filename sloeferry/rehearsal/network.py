"""A TCP network in memory, on a world's clock: hosts in zones, latency, bytes in pieces, bounded buffers, resets.

`Sock` behaves as a socket that never blocks, as far as the daemon uses one; `Transport` is what asyncio's protocols
write on, for the stand-ins.  What is in flight arrives in order.  A host that is cut off says nothing: its connections
stand, and nothing comes or goes.
"""

import asyncio
import errno
import os
import select
import socket
from collections import deque

SENT = 131072  # bytes that may be under way or unread on a connection, each way
LATER = 1.0  # seconds until a connect that found a full table is tried again
BLOCKED = BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))


def broken(number):
    return OSError(number, os.strerror(number))


class Host:
    """A machine: an address in a zone.  `cut`: off from the network, without a word to anybody."""

    def __init__(self, net, ip, zone):
        self.net, self.ip, self.zone, self.cut = net, ip, zone, False
        net.hosts[ip] = self


class Net:
    """All hosts and what is between them.  Latencies are one way, in seconds."""

    def __init__(self, world, same=0.0002, cross=0.001, client=0.0, jitter=0.0, pieces=0.0):
        self.world, self.same, self.cross, self.jitter, self.pieces = world, same, cross, jitter, pieces
        self.client = client  # more, to and from callers' hosts (zone None)
        self.hosts, self.listeners, self.socks, self.fds = {}, {}, {}, 100
        self.rng, self.bytes, self.ports = world.rng("network"), 0, 32768

    def latency(self, a, b):
        if a.zone is None or b.zone is None:
            base = self.client + self.same
        else:
            base = self.same if a.zone == b.zone else self.cross
        return base * (1 + self.jitter * self.rng.random()) if self.jitter else base

    def sock(self, process=None):
        """What `machine.tcp` gives in a rehearsal."""
        return Sock(self, process or self.world.current)

    def syn(self, sock, address, tries=0):
        target = self.hosts.get(address[0])
        if target is None or sock.closed:
            return  # no such machine: nothing ever comes back
        late = self.latency(sock.process.host, target)
        self.world.at(sock.process.time() + late, self.arrive, sock, target, address, late, tries)

    def arrive(self, sock, target, address, late, tries):
        """A connect at its target's machine."""
        source = sock.process.host
        if target.cut or source.cut or sock.closed:
            return
        listener = self.listeners.get(address)
        if listener is None:
            self.world.after(late, sock.refused)
        elif len(listener.backlog) >= listener.most:
            self.world.after(LATER * 2 ** min(tries, 5), self.syn, sock, address, tries + 1)
        else:
            other = Sock(self, listener.process)
            other.peer, sock.peer = sock, other
            other.address, other.remote = address, (source.ip, sock.port())
            sock.remote = address
            listener.backlog.append(other)
            listener.stir()
            self.world.after(late, sock.established)

    def carry(self, sock, kind, data=b"", more=0.0):
        """Sends something to the other end, behind all before it."""
        source, peer = sock.process.host, sock.peer
        if source.cut or peer is None:
            return
        when = max(sock.process.time() + self.latency(source, peer.process.host) + more, sock.last)
        sock.last = when
        self.world.at(when, self.deliver, sock, peer, kind, data)

    def deliver(self, sock, peer, kind, data):
        if peer.process.host.cut or sock.process.host.cut:
            return
        if peer.closed:
            if kind == "data":  # nobody is there any more: said so, without a socket
                self.world.after(self.latency(peer.process.host, sock.process.host), sock.broke)
            return
        if kind == "data":
            self.bytes += len(data)
            peer.inbox.append(data)
        elif kind == "end":
            peer.eof = True
        else:
            return peer.broke()
        peer.stir()

    # What asyncio's streams of protocols stand on

    def server(self, process, factory, address, backlog):
        sock = Sock(self, process)
        sock.bind(address)
        sock.listen(backlog)
        server = Server(process, sock, factory)
        sock.watch(server.accept)
        return server

    async def connection(self, process, factory, address):
        sock = Sock(self, process)
        try:
            await sock.connect(address)
        except BaseException:
            sock.close()
            raise
        protocol = factory()
        return Transport(process, sock, protocol), protocol


class Sock:
    """One end of a connection, or a listener."""

    def __init__(self, net, process):
        self.net, self.process = net, process
        net.fds += 1
        self.fd = net.fds
        self.peer = self.address = self.remote = self.backlog = self.fault = self.epoll = None
        self.inbox, self.out, self.last = deque(), 0, 0.0
        self.eof = self.ended = self.closed = self.up = False
        self.reader = self.writer = self.gate = self.call = None
        self.most, self.stirred, self.armed = 0, False, False
        net.socks[self.fd] = process.socks[self.fd] = self

    # As a socket

    def fileno(self):
        return -1 if self.closed else self.fd

    def setblocking(self, flag):
        if flag:
            raise ValueError("sockets here never block")

    def setsockopt(self, *what):
        pass

    def port(self):
        self.net.ports += 1
        self.address = self.process.host.ip, 32768 + self.net.ports % 28000
        return self.address[1]

    def bind(self, address):
        if address in self.net.listeners:
            raise broken(errno.EADDRINUSE)
        if address[0] != self.process.host.ip:
            raise broken(errno.EADDRNOTAVAIL)
        self.address = address

    def listen(self, most):
        self.backlog, self.most = deque(), most
        self.net.listeners[self.address] = self

    def accept(self):
        if self.closed:
            raise broken(errno.EBADF)
        if not self.backlog:
            raise BLOCKED
        self.process.spend("accept")
        sock = self.backlog.popleft()
        sock.up = True
        return sock, sock.remote

    def recv(self, most, flags=0):
        self.check()
        if not self.inbox:
            if self.fault:
                raise broken(self.fault)
            if self.eof:
                return b""
            raise BLOCKED
        chunk = self.inbox[0]
        if flags & socket.MSG_PEEK:
            return chunk[:most]
        if len(chunk) <= most:
            self.inbox.popleft()
        else:
            self.inbox[0] = chunk[most:]
            chunk = chunk[:most]
        self.took(len(chunk))
        return chunk

    def recv_into(self, buffer):
        """As much as is there: a read ends at no piece's end."""
        room, n = len(buffer), 0
        while n < room:
            try:
                chunk = self.recv(room - n)
            except OSError:
                if n:
                    break
                raise
            if not chunk:
                break
            buffer[n : n + len(chunk)] = chunk
            n += len(chunk)
        return n

    def send(self, data):
        self.check()
        if self.fault:
            raise broken(self.fault)
        if not self.up:
            raise broken(errno.ENOTCONN)
        if self.ended:
            raise broken(errno.EPIPE)
        n = min(len(data), SENT - self.out)
        if n <= 0:
            raise BLOCKED
        self.out += n
        rest, pieces = bytes(data[:n]), self.net.pieces
        while pieces and len(rest) > 1 and self.net.rng.random() < pieces:
            cut = self.net.rng.randrange(1, len(rest))
            self.net.carry(self, "data", rest[:cut], self.net.rng.random() * 2 * self.net.same)
            rest = rest[cut:]
        self.net.carry(self, "data", rest)
        return n

    def shutdown(self, how):
        self.check()
        if not self.up or self.fault:
            raise broken(errno.ENOTCONN)
        if how != socket.SHUT_RD and not self.ended:
            self.ended = True
            self.net.carry(self, "end")

    def close(self):
        """With bytes unread it ends as a reset, as TCP has it."""
        if self.closed:
            return
        if self.backlog is None:
            if self.peer is not None and self.up and not self.fault:
                if self.inbox:
                    self.net.carry(self, "reset")
                elif not self.ended:
                    self.net.carry(self, "end")
            elif self.peer is not None and not self.fault:  # it was still coming up
                self.peer.broke()
        else:
            if self.net.listeners.get(self.address) is self:
                del self.net.listeners[self.address]
            for waiting in list(self.backlog):
                waiting.reset()
        self.forget()

    # What happens to it

    def check(self):
        if self.closed:
            raise broken(errno.EBADF)

    def forget(self):
        self.closed = True
        self.inbox.clear()
        self.net.socks.pop(self.fd, None)
        self.process.socks.pop(self.fd, None)

    def reset(self):
        """Ended from its own side, as one whose process was killed."""
        if self.backlog is None and self.peer is not None and not self.closed and not self.fault:
            self.net.carry(self, "reset")
            return self.forget()
        self.close()

    def broke(self):
        """The other side has reset it."""
        if not self.closed and not self.fault:
            self.fault = errno.ECONNRESET
            if self.gate and not self.gate.done():
                self.gate.set_exception(broken(errno.ECONNRESET))
            self.free()
            self.stir()

    def refused(self):
        if not self.closed and self.gate and not self.gate.done():
            self.fault = errno.ECONNREFUSED
            self.gate.set_exception(broken(errno.ECONNREFUSED))

    def established(self):
        peer = self.peer
        if self.closed or self.fault or peer.process.host.cut or self.process.host.cut:
            return
        self.up = True
        if self.gate and not self.gate.done():
            self.gate.set_result(None)

    async def connect(self, address):
        self.gate = self.process.create_future()
        self.net.syn(self, address)
        await self.gate

    def took(self, n):
        """Bytes have been read: there is room for the other side to send more."""
        if (peer := self.peer) is not None:
            peer.out -= n
            if peer.writer is not None:
                self.net.world.after(self.net.same, peer.free)

    def free(self):
        writer, self.writer = self.writer, None
        if isinstance(writer, asyncio.Future):
            if not writer.done():
                writer.set_result(None)
        elif writer is not None:
            self.process.call_soon(writer)

    def readable(self):
        return bool(self.inbox or self.eof or self.fault or self.backlog)

    def stir(self):
        """Something may be read: whoever waits for that is told once its process comes to it."""
        if self.epoll is not None:
            self.epoll.stir(self)  # the kernel's own, which needs no process
        if not self.stirred and (self.reader is not None or self.call):
            self.stirred = True
            self.process.came(self.react)

    def react(self):
        self.stirred = False
        if self.reader is not None:
            reader, self.reader = self.reader, None
            if not reader.done():
                reader.set_result(None)
        if self.call and not self.closed:
            call, what = self.call
            call(*what)
            # Watched as a level, not an edge: what was left is seen again.
            if self.backlog and self.call:
                self.stir()

    def watch(self, call, *what):
        self.call = (call, what) if call else None
        if call and self.readable():
            self.stir()

    def until_readable(self):
        self.check()
        self.reader = self.process.create_future()
        if self.readable():  # it came between the look and this
            self.stir()
        return self.reader

    def until_writable(self):
        self.check()
        self.writer = self.process.create_future()
        return self.writer


class Epoll:
    """As much of select.epoll as the daemon uses: one-shot, for reading."""

    def __init__(self, net):
        self.net, self.hot = net, {}

    def register(self, fd, flags):
        sock = self.net.socks[fd]
        sock.epoll = self
        self.modify(fd, flags)

    def modify(self, fd, flags):
        sock = self.net.socks[fd]
        sock.armed = True
        if sock.readable():
            self.hot[fd] = None

    def stir(self, sock):
        if sock.armed:
            self.hot[sock.fd] = None

    def poll(self, patience, most):
        found = []
        for fd in list(self.hot)[:most]:
            del self.hot[fd]
            sock = self.net.socks.get(fd)
            if sock is not None and sock.armed:
                sock.armed = False
                found.append((fd, select.EPOLLIN))
        return found


class Server:
    def __init__(self, process, sock, factory):
        self.process, self.sock, self.factory = process, sock, factory

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            Transport(self.process, sock, self.factory())

    def close(self):
        self.sock.close()


class Transport(asyncio.Transport):
    """What a protocol writes on."""

    def __init__(self, process, sock, protocol):
        super().__init__()
        self.process, self.sock, self.protocol = process, sock, protocol
        self.rest, self.closing, self.over = b"", False, False
        protocol.connection_made(self)
        if not sock.closed:
            sock.watch(self.read)

    def get_extra_info(self, name, default=None):
        return {"peername": self.sock.remote, "sockname": self.sock.address}.get(name, default)

    def is_closing(self):
        return self.closing

    def read(self):
        while not self.over and not self.closing:
            try:
                data = self.sock.recv(SENT)
            except BlockingIOError:
                return
            except OSError as fault:
                return self.lost(fault)
            if not data:
                if not self.protocol.eof_received():
                    self.close()
                return
            self.protocol.data_received(data)

    def write(self, data):
        if not self.closing:
            self.rest += data
            self.flush()

    def flush(self):
        while self.rest and not self.over:
            try:
                self.rest = self.rest[self.sock.send(self.rest) :]
            except BlockingIOError:
                self.sock.writer = self.flush
                return
            except OSError as fault:
                return self.lost(fault)
        if self.closing:
            self.lost(None)

    def close(self):
        if not self.closing:
            self.closing = True
            self.flush()

    def abort(self):
        if not self.over:
            self.closing = True
            self.sock.reset()
            self.lost(None)

    def lost(self, fault):
        if not self.over:
            self.over = self.closing = True
            self.sock.close()
            self.process.call_soon(self.protocol.connection_lost, fault)
