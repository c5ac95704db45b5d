"""The bench's frames in both directions, and the errors for malformed frames."""

import io
import struct
from collections.abc import Sequence

import pytest

from sloeferry.bench_adapter.__main__ import serve
from sloeferry.bench_adapter.adapter import Adapter
from sloeferry.bench_adapter.protocol import ProtocolError
from sloeferry.bench_adapter.replies import BenchHost, FrameBuilder

FIRST, SECOND = bytes.fromhex("0a124a07931f"), bytes.fromhex("0a9011f2bc1f")  # endpoint ids
SETTINGS = b"schemes.count=1\nschemes.0.idempotency=retryable\nschemes.0.sla_time=330000\nx=y\n"
RECORD_BYTES = 40
REPLY_BYTES = 24
REPLY_HEADER_BYTES = 8
SEND_ATTEMPT = 65  # command code


def frame_of(clock_us: int, records: Sequence[bytes], tail: bytes = b"") -> bytes:
    """Return a frame with these records and its length field."""
    body = struct.pack("<QI", clock_us, len(records)) + b"".join(record.ljust(RECORD_BYTES, b"\0") for record in records) + tail
    return struct.pack("<I", len(body)) + body


def start_records(instance: int, endpoints: Sequence[bytes]) -> tuple[list[bytes], bytes]:
    """Return the records that start an instance with these endpoints, and their tail."""
    rows = b"".join(struct.pack("<6sHHHBfQ", endpoint_id, 0, 0, 0, 1, 1.0, 0) for endpoint_id in endpoints)
    records = [
        struct.pack("<HH", 12, instance),
        struct.pack("<HQII", 1, 9, len(rows), len(SETTINGS)),
        struct.pack("<HBII", 11, 0, 0, len(endpoints)),
        struct.pack("<HBBI", 2, 3, 0, 41),
    ]
    return records, rows + SETTINGS


def test_request_in_a_frame_is_answered_with_an_attempt():
    """A request arrives in one frame, and the reply to that frame holds its attempt."""
    sink = io.BytesIO()
    records, tail = start_records(3, [FIRST])
    request = struct.pack("<HIHHQIIB", 3, 77, 0, 0, 0, 800000, 0, 0)
    frames = frame_of(6000000, records, tail) + frame_of(6000500, [struct.pack("<HH", 12, 3), request])
    serve(io.BytesIO(frames), sink)
    first = struct.unpack_from("<II", sink.getvalue())
    reply = sink.getvalue()[4 + first[0] :]
    codes = [struct.unpack_from("<H", reply, at)[0] for at in range(REPLY_HEADER_BYTES, len(reply), REPLY_BYTES)]
    assert first == (4, 0)
    assert (codes[0], codes.count(SEND_ATTEMPT)) == (77, 1)
    attempt = reply[REPLY_HEADER_BYTES + REPLY_BYTES * codes.index(SEND_ATTEMPT) :][:REPLY_BYTES]
    assert attempt == struct.pack("<HI6sI8x", SEND_ATTEMPT, 77, FIRST, 0)
    assert len(reply) == 4 + struct.unpack_from("<I", reply)[0]


@pytest.mark.parametrize("at_ms", [1000.0011, 1000.0019, 1000.002, 123456789.0004])
def test_wakeup_times_are_rounded_up(at_ms: float):
    """The bench's clock has a resolution of one microsecond; rounding down would fire a timer early."""
    adapter = Adapter()
    records, tail = start_records(0, [FIRST, SECOND])
    adapter.handle_frame(frame_of(1000001, records, tail)[4:])
    replies = FrameBuilder()
    BenchHost(0, replies).schedule_wakeup(at_ms, 5)
    due_us, token = struct.unpack_from("<QQ", replies.frame(), -22)
    assert at_ms <= due_us / 1000 < at_ms + 0.0011 and token == 5


RECORDS, TAIL = start_records(0, [FIRST])


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (b"\0\0", "2 bytes into a frame's length"),
        (struct.pack("<I", 40) + b"x", "input ends 1 bytes into a frame of 40"),
        (struct.pack("<I", 3) + b"xyz", "shorter than its header"),
        (frame_of(1, [])[:12] + struct.pack("<I", 9), "9 records do not fit"),
        (frame_of(1, [struct.pack("<H", 99)]), "event code 99 is unknown"),
        (frame_of(1, [struct.pack("<H", 3)]), "before any instance"),
        (frame_of(1, RECORDS, TAIL[:10]), "outside the tail"),
        (frame_of(1, RECORDS[:2] + RECORDS[3:], TAIL), "never sent"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_malformed_frame_is_rejected_with_its_cause(frame: bytes, message: str):
    """A malformed frame raises a ProtocolError that names what is wrong."""
    with pytest.raises(ProtocolError, match=message):
        serve(io.BytesIO(frame), io.BytesIO())
