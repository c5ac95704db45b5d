"""The adapter: the bench's frames on standard input become calls, calls back become its replies.

One `decide.Proxy` an instance, no shared state, no decisions.  Microseconds become milliseconds
here; timers are rounded up, so that none is early.
"""

import struct
import sys

from sloeferry import terms
from sloeferry.core import decide, ports

OUTCOMES = {
    0: ports.SETTLED,
    13: ports.ERRED,
    8: ports.TURNED_AWAY,
    4: ports.LATE,
    14: ports.UNREACHED,
    10: ports.CUT,
    1: ports.WITHDRAWN,
    9: ports.NEVER_SENT,
}
SCOPES = {0: ports.WHOLE, 1: ports.CHANGES, 2: ports.FAILED, 3: ports.CACHED}
STANDINGS = {0: ports.GONE, 1: ports.READY, 2: ports.DRAINING}
EVENT, ACTION = 40, 24
MOST = 2**64 - 1

_head, _reply = struct.Struct("<QI"), struct.Struct("<II")
_code, _u16, _u32, _u64, _span = (struct.Struct(f) for f in ("<H", "<H", "<I", "<Q", "<II"))
_line = struct.Struct("<6sHHHBfQ")
_begin, _directory, _sync = struct.Struct("<QII"), struct.Struct("<BII"), struct.Struct("<BBI")
_inbound, _ended, _probed = struct.Struct("<IHHQIIB"), struct.Struct("<IIBH6sHB4f"), struct.Struct("<6sHIB4f")
_opened = struct.Struct("<I6sIH")
_post, _ref_seq, _ref_pause = struct.Struct("<HI6sI8x"), struct.Struct("<HIH16x"), struct.Struct("<HII14x")
_ref, _backend, _wake = struct.Struct("<HI18x"), struct.Struct("<H6s16x"), struct.Struct("<HQQ6x")
_as, _text, _observe = struct.Struct("<HH20x"), struct.Struct("<HII14x"), struct.Struct("<HB21x")


class BadFrame(Exception):
    """What came in is not the wire's."""


class Out:
    """The replies of one batch; every Host of the process writes here."""

    def __init__(self):
        self.clear()

    def clear(self):
        self.records, self.tail, self.who = [], b"", None

    def add(self, who, record):
        if who != self.who:
            self.who = who
            self.records.append(_as.pack(77, who))
        self.records.append(record)

    def say(self, who, code, text):
        data = text.encode()
        self.add(who, _text.pack(code, len(self.tail), len(data)))
        self.tail += data

    def frame(self):
        body = b"".join(self.records) + self.tail
        return _reply.pack(len(body) + 4, len(self.records)) + body


class Host:
    """One instance's way out: each call becomes one record."""

    def __init__(self, who, out):
        self.who, self.out = who, out

    def post(self, ref, backend, give_up_after):
        self.out.add(self.who, _post.pack(65, ref, backend, max(0, int(give_up_after * 1000))))

    def withdraw(self, ref, seq):
        self.out.add(self.who, _ref_seq.pack(68, ref, seq))

    def decline(self, ref, pause):
        self.out.add(self.who, _ref_pause.pack(66, ref, int(pause * 1000)))

    def reverse(self, ref):
        self.out.add(self.who, _ref.pack(67, ref))

    def probe(self, backend):
        self.out.add(self.who, _backend.pack(70, backend))

    def wake(self, at, token):
        self.out.add(self.who, _wake.pack(69, min(MOST, -int(-at * 1000 // 1)), token))

    def watch(self):
        self.out.add(self.who, _observe.pack(75, 1))

    def note(self, text):
        self.out.say(self.who, 73, text)


class Adapter:
    """Turns one frame into its reply."""

    def __init__(self):
        self.out, self.proxies, self.lists = Out(), {}, {}

    def batch(self, body):
        if len(body) < _head.size:
            raise BadFrame(f"frame of {len(body)} bytes is shorter than its header")
        clock, count = _head.unpack_from(body)
        tail = _head.size + count * EVENT
        if tail > len(body):
            raise BadFrame(f"{count} records do not fit a frame of {len(body)} bytes")
        self.body, self.tail, self.now, self.who = body, tail, clock / 1000, None
        self.out.clear()
        for at in range(_head.size, tail, EVENT):
            self.event(_code.unpack_from(body, at)[0], body, at + 2)
        return self.out.frame()

    def cut(self, start, length):
        start += self.tail
        if start + length > len(self.body):
            raise BadFrame(f"offset {start - self.tail} with length {length} lies outside the tail")
        return self.body[start : start + length]

    def event(self, code, body, at):
        if code == 12:
            self.who = _u16.unpack_from(body, at)[0]
            return
        if code == 11:
            number, start, count = _directory.unpack_from(body, at)
            self.lists[number] = [
                line[:4] + (STANDINGS.get(line[4], ports.DRAINING), line[5], line[6] / 1000)
                for line in _line.iter_unpack(self.cut(start, count * _line.size))
            ]
            return
        if code not in CALLS:
            raise BadFrame(f"event code {code} is unknown")
        if self.who is None:
            raise BadFrame(f"event code {code} comes before any instance is named")
        try:
            if code == 1:
                seed, start, length = _begin.unpack_from(body, at)
                told = terms.complete(terms.of_lines(self.cut(start, length).decode()))
                self.proxies[self.who] = decide.Proxy(Host(self.who, self.out), self.now, seed, told)
            elif code == 10:
                self.proxies.pop(self.who, None)
            elif self.who in self.proxies:
                CALLS[code](self, self.proxies[self.who], body, at)
        except BadFrame:
            raise
        except Exception as fault:  # the module has failed: say so on the wire, never go on
            self.out.say(self.who, 74, f"{type(fault).__name__}: {fault}")
            sys.excepthook(type(fault), fault, fault.__traceback__)

    def sync(self, proxy, body, at):
        scope, number, _ = _sync.unpack_from(body, at)
        scope = SCOPES.get(scope, ports.FAILED)
        if scope != ports.FAILED and number not in self.lists:
            raise BadFrame(f"list number {number} was never sent")
        proxy.listed(self.now, scope, () if scope == ports.FAILED else self.lists[number])

    def inbound(self, proxy, body, at):
        ref, scheme, tenant, key, left, work, bits = _inbound.unpack_from(body, at)
        proxy.take(self.now, ref, scheme, tenant, key, left / 1000, work / 1000 if bits & 1 else None, bool(bits & 2))

    def opened(self, proxy, body, at):
        ref, _, _, seq = _opened.unpack_from(body, at)
        proxy.started(self.now, ref, seq)

    def ended(self, proxy, body, at):
        ref, took, answered, how, _, seq, n, *report = _ended.unpack_from(body, at)
        proxy.ended(self.now, ref, seq, OUTCOMES.get(how, ports.UNKNOWN), bool(answered), took / 1000, report[:n])

    def probed(self, proxy, body, at):
        backend, how, took, n, *report = _probed.unpack_from(body, at)
        proxy.probed(self.now, backend, OUTCOMES.get(how, ports.UNKNOWN), took / 1000, report[:n])

    def gave_up(self, proxy, body, at):
        proxy.left(self.now, _u32.unpack_from(body, at)[0])

    def due(self, proxy, body, at):
        proxy.woken(self.now, _u64.unpack_from(body, at)[0])

    def unused(self, proxy, body, at):
        """A message of a peer: nothing here talks to peers."""


CALLS = {
    1: None,
    2: Adapter.sync,
    3: Adapter.inbound,
    4: Adapter.opened,
    5: Adapter.ended,
    6: Adapter.gave_up,
    7: Adapter.due,
    8: Adapter.probed,
    9: Adapter.unused,
    10: None,
}


def main(source, sink):
    adapter = Adapter()
    while head := source.read(4):
        if len(head) < 4:
            raise BadFrame(f"input ends {len(head)} bytes into a frame's length")
        size = _u32.unpack(head)[0]
        body = source.read(size)
        if len(body) < size:
            raise BadFrame(f"input ends {len(body)} bytes into a frame of {size}")
        sink.write(adapter.batch(body))
        sink.flush()


if __name__ == "__main__":
    try:
        main(sys.stdin.buffer, sys.stdout.buffer)
    except BadFrame as fault:
        sys.exit(f"simhost: {fault}")
