"""Frames both ways, and plain words on what is no frame."""

import io
import struct
import unittest

from sloeferry.bench_adapter.__main__ import serve
from sloeferry.bench_adapter.adapter import Adapter
from sloeferry.bench_adapter.protocol import ProtocolError
from sloeferry.bench_adapter.replies import BenchHost, FrameBuilder

A, B = bytes.fromhex("0a124a07931f"), bytes.fromhex("0a9011f2bc1f")


def batch(clock, records, tail=b""):
    body = struct.pack("<QI", clock, len(records)) + b"".join(r.ljust(40, b"\0") for r in records) + tail
    return struct.pack("<I", len(body)) + body


def start(proxy, entries, terms=b"schemes.count=1\nschemes.0.idempotency=retryable\nschemes.0.sla_time=330000\nx=y\n"):
    rows = b"".join(struct.pack("<6sHHHBfQ", ident, 0, 0, 0, 1, 1.0, 0) for ident in entries)
    return [
        struct.pack("<HH", 12, proxy),
        struct.pack("<HQII", 1, 9, len(rows), len(terms)),
        struct.pack("<HBII", 11, 0, 0, len(entries)),
        struct.pack("<HBBI", 2, 3, 0, 41),
    ], rows + terms


class Frames(unittest.TestCase):
    def test_both_ways(self):
        sink = io.BytesIO()
        records, tail = start(3, [A])
        inbound = struct.pack("<HIHHQIIB", 3, 77, 0, 0, 0, 800000, 0, 0)
        serve(io.BytesIO(batch(6000000, records, tail) + batch(6000500, [struct.pack("<HH", 12, 3), inbound])), sink)
        first = struct.unpack_from("<II", sink.getvalue())
        reply = sink.getvalue()[4 + first[0] :]
        codes = [struct.unpack_from("<H", reply, at)[0] for at in range(8, len(reply), 24)]
        self.assertEqual(first, (4, 0))
        self.assertEqual((codes[0], codes.count(65)), (77, 1))
        call = reply[8 + 24 * codes.index(65) :][:24]
        self.assertEqual(call, struct.pack("<HI6sI8x", 65, 77, A, 0))
        self.assertEqual(len(reply), 4 + struct.unpack_from("<I", reply)[0])

    def test_timers_are_never_early(self):
        adapter = Adapter()
        records, tail = start(0, [A, B])
        adapter.handle_frame(batch(1000001, records, tail)[4:])
        for at in (1000.0011, 1000.0019, 1000.002, 123456789.0004):
            replies = FrameBuilder()
            BenchHost(0, replies).schedule_wakeup(at, 5)
            due, token = struct.unpack_from("<QQ", replies.frame(), -22)
            self.assertTrue(at <= due / 1000 < at + 0.0011 and token == 5, (at, due))

    def test_what_is_no_frame(self):
        records, tail = start(0, [A])
        for frame, words in (
            (b"\0\0", "2 bytes into a frame's length"),
            (struct.pack("<I", 40) + b"x", "input ends 1 bytes into a frame of 40"),
            (struct.pack("<I", 3) + b"xyz", "shorter than its header"),
            (batch(1, [])[:12] + struct.pack("<I", 9), "9 records do not fit"),
            (batch(1, [struct.pack("<H", 99)]), "event code 99 is unknown"),
            (batch(1, [struct.pack("<H", 3)]), "before any instance"),
            (batch(1, records, tail[:10]), "outside the tail"),
            (batch(1, records[:1] + records[3:], tail), "never sent"),
        ):
            if words.startswith("never"):
                frame = batch(1, records[:2] + records[3:], tail)
            with self.assertRaisesRegex(ProtocolError, words):
                serve(io.BytesIO(frame), io.BytesIO())
