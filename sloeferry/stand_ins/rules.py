"""Defines the rules that are checked in rehearsals and test runs, by the names that records use."""

import enum


class Rule(enum.StrEnum):
    """A numbered rule of the platform, or a further check of the test tools."""

    ONE_ANSWER = "1"  # each accepted request gets exactly one response, its own, by its deadline; no attempt is sent afterwards
    # Only idempotent requests run again, and no rejected request has run unless it is idempotent or deduplicated over all
    # backends.
    NO_REPEATED_EFFECT = "2"
    NO_SEND_AFTER_DRAIN = "3"  # no new request to a backend later than the drain grace after the proxy was notified
    NO_OVERLOAD_IN_WARM_UP = "4"  # all proxies together do not overload a backend in its warm-up
    PROTOCOL = "protocol"  # messages are well-formed, and bodies arrive unchanged
    QUIESCE = "drain"  # a quiesced proxy makes its clients reconnect elsewhere, and serves again after resume
    # An upload is answered half a second after its time at the latest, and a long answer that has begun is not cut off.
    UPLOAD = "upload"
    UNSOUND = "unsound"  # no request that is not sound is answered as served
    MEMORY = "memory"  # no proxy process is over its memory limit
    CRASH = "crash"  # no proxy process ends unexpectedly
