"""How far an attempt came and why it ended, and what that means for the policy (safety rule 2)."""

import enum

from sloeferry.policy.interface import AttemptOutcome


class AttemptProgress(enum.IntEnum):
    """How far an attempt came; later members came further."""

    NOTHING_WRITTEN = 0
    PARTLY_WRITTEN = 1
    COMPLETELY_WRITTEN = 2
    RESPONSE_BEGUN = 3


class AttemptEnd(enum.Enum):
    """Why an attempt ended."""

    SERVED = "served"
    ERROR = "error response"
    REJECTED = "rejected by the endpoint"
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    # Not sent by this proxy's own doing: refused by the send guard, no descriptor, no address, a dial that this machine could
    # not make, a client that broke off its body.  Never with COMPLETELY_WRITTEN.
    ABORTED_LOCALLY = "not wanted"
    MALFORMED = "malformed response"  # one that cannot be read or does not end, on a connection that stands


_OUTCOME_WHEN_WRITTEN = {
    AttemptEnd.SERVED: AttemptOutcome.SERVED,
    AttemptEnd.ERROR: AttemptOutcome.ERROR,
    AttemptEnd.REJECTED: AttemptOutcome.REJECTED,
    AttemptEnd.CONNECTION_LOST: AttemptOutcome.CONNECTION_LOST,
    AttemptEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
    AttemptEnd.MALFORMED: AttemptOutcome.UNKNOWN,
}


def attempt_outcome(progress: AttemptProgress, end: AttemptEnd) -> AttemptOutcome:
    """Rule 2 by bytes: a request never written completely has not run; one written completely may have.

    A connection that did not come up in time is the endpoint's fault; an attempt not sent by this proxy's own doing tells
    nothing of it.
    """
    is_written = progress >= AttemptProgress.COMPLETELY_WRITTEN
    if end is AttemptEnd.ABORTED_LOCALLY or end is AttemptEnd.CANCELLED and not is_written:
        return AttemptOutcome.NEVER_SENT
    if not is_written:
        return AttemptOutcome.UNREACHABLE
    return _OUTCOME_WHEN_WRITTEN[end]
