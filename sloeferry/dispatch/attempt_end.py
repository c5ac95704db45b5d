"""Progress and end of an attempt, and the outcome that the policy derives from them (safety rule 2)."""

import enum

from sloeferry.policy.interface import AttemptOutcome


class AttemptProgress(enum.IntEnum):
    """The progress of an attempt; a greater value is further progress."""

    NOTHING_WRITTEN = 0
    PARTLY_WRITTEN = 1
    COMPLETELY_WRITTEN = 2
    RESPONSE_BEGUN = 3


class AttemptEnd(enum.Enum):
    """The reason why an attempt ended."""

    SERVED = "served"
    ERROR = "error response"
    REJECTED = "rejected by the endpoint"
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    # Not caused by the endpoint: refused by the send guard, no file descriptor, no address, a local connect error, or a client
    # that cut off its request body.  Never combined with COMPLETELY_WRITTEN.
    ABORTED_LOCALLY = "aborted locally"
    MALFORMED = "malformed response"  # unparsable or unterminated, on a connection that is still open

    NO_MEMORY = "no memory for the response"
    UPLOAD_OVERDUE = "upload overdue"  # the answer is due before the request's body was read to its end


_OUTCOME_WHEN_WRITTEN = {
    AttemptEnd.SERVED: AttemptOutcome.SERVED,
    AttemptEnd.ERROR: AttemptOutcome.ERROR,
    AttemptEnd.REJECTED: AttemptOutcome.REJECTED,
    AttemptEnd.CONNECTION_LOST: AttemptOutcome.CONNECTION_LOST,
    AttemptEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
    AttemptEnd.MALFORMED: AttemptOutcome.UNKNOWN,
    AttemptEnd.NO_MEMORY: AttemptOutcome.UNKNOWN,
    AttemptEnd.UPLOAD_OVERDUE: AttemptOutcome.TIMED_OUT,
}


LOCAL_ENDS = (AttemptEnd.CANCELLED, AttemptEnd.NO_MEMORY, AttemptEnd.UPLOAD_OVERDUE)


def attempt_outcome(progress: AttemptProgress, end: AttemptEnd) -> AttemptOutcome:
    """Return the outcome of an attempt by its written bytes: only a completely written request may have run (safety rule 2).

    A connection that was not established in time counts against the endpoint; an attempt aborted locally does not.
    """
    is_written = progress >= AttemptProgress.COMPLETELY_WRITTEN
    if end is AttemptEnd.ABORTED_LOCALLY or end in LOCAL_ENDS and not is_written:
        return AttemptOutcome.NEVER_SENT
    if not is_written:
        return AttemptOutcome.UNREACHABLE
    return _OUTCOME_WHEN_WRITTEN[end]
