"""The bench's wire protocol: record codes and layouts, mapped to the policy's types.

A frame consists of a header, records of one size, and a tail with texts and tables.  Times are microseconds.  The protocol is
specified by the bench's wire page; no other module contains its codes or layouts.
"""

import enum
import struct

from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope

EVENT_BYTES = 40  # size of an incoming record
MAX_TIME_US = 2**64 - 1  # the largest time that a record can hold
US_PER_MS = 1000


class ProtocolError(Exception):
    """Raised when input does not follow the bench's protocol."""


class Event(enum.IntEnum):
    """Codes of incoming records."""

    INSTANCE_STARTED = 1
    ENDPOINTS_LISTED = 2
    REQUEST_ARRIVED = 3
    RESPONSE_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_LEFT = 6
    TIMER_FIRED = 7
    HEALTH_CHECK_ENDED = 8
    PEER_MESSAGE = 9
    INSTANCE_STOPPED = 10
    ENDPOINT_TABLE = 11
    FOR_INSTANCE = 12


class Command(enum.IntEnum):
    """Codes of outgoing records."""

    SEND_ATTEMPT = 65
    REJECT = 66
    FAIL = 67
    CANCEL_ATTEMPT = 68
    SCHEDULE_WAKEUP = 69
    SEND_HEALTH_CHECK = 70
    INSTANCE_FAILED = 74
    POLL_ENDPOINTS = 75
    FROM_INSTANCE = 77


OUTCOMES = {
    0: AttemptOutcome.SERVED,
    1: AttemptOutcome.CANCELLED,
    4: AttemptOutcome.TIMED_OUT,
    8: AttemptOutcome.REJECTED,
    9: AttemptOutcome.NEVER_SENT,
    10: AttemptOutcome.CONNECTION_LOST,
    13: AttemptOutcome.ERROR,
    14: AttemptOutcome.UNREACHABLE,
}  # other codes: unknown
LIST_SCOPES = {
    0: ListScope.COMPLETE,
    1: ListScope.CHANGES,
    2: ListScope.POLL_FAILED,
    3: ListScope.CACHED,
}  # other codes: a poll that failed
ENDPOINT_STATES = {0: EndpointState.GONE, 1: EndpointState.READY}  # other codes: draining

# Bits of a request's flags field
HAS_COST_HINT = 1
IS_RETRY = 2

UINT16, UINT32, UINT64 = struct.Struct("<H"), struct.Struct("<I"), struct.Struct("<Q")
FRAME_IN_HEADER = struct.Struct("<QI")  # time, number of records
FRAME_OUT_HEADER = struct.Struct("<II")  # bytes after this field, number of records
RECORD_CODE = UINT16

# Incoming records, after their code
INSTANCE_STARTED = struct.Struct("<QII")  # seed; settings: offset and length in the tail
ENDPOINT_TABLE = struct.Struct("<BII")  # number of the table; offset in the tail, number of entries
ENDPOINT_TABLE_ENTRY = struct.Struct("<6sHHHBfQ")  # id, zone, kind, cell, state, capacity share, start
ENDPOINTS_LISTED = struct.Struct("<BBI")  # scope, number of the table, revision
REQUEST_ARRIVED = struct.Struct("<IHHQIIB")  # id, class, tenant, key, time left, cost hint, flags
RESPONSE_STARTED = struct.Struct("<I6sIH")  # request, endpoint, time, attempt
ATTEMPT_ENDED = struct.Struct("<IIBH6sHB4f")  # request, took, answered, outcome, endpoint, attempt, report: length, figures
HEALTH_CHECK_ENDED = struct.Struct("<6sHIB4f")  # endpoint, outcome, took, report: length, figures

# Outgoing records, beginning with their code
SEND_ATTEMPT = struct.Struct("<HI6sI8x")  # request, endpoint, timeout of the bench (0: none)
CANCEL_ATTEMPT = struct.Struct("<HIH16x")  # request, attempt
REJECT = struct.Struct("<HII14x")  # request, Retry-After
FAIL = struct.Struct("<HI18x")  # request
SEND_HEALTH_CHECK = struct.Struct("<H6s16x")  # endpoint
SCHEDULE_WAKEUP = struct.Struct("<HQQ6x")  # time, token
POLL_ENDPOINTS = struct.Struct("<HB21x")  # 1: poll
FROM_INSTANCE = struct.Struct("<HH20x")  # the instance that sends the records that follow
INSTANCE_FAILED = struct.Struct("<HII14x")  # text: offset and length in the tail
