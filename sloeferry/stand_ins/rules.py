"""The rules that a play or run is held to, by the words that records have for them."""

import enum


class Rule(enum.StrEnum):
    """A rule of the platform, or one of the tools' own checks."""

    ONE_ANSWER = "1"  # each request taken gets one answer, its own, before its deadline; nothing is sent for it after
    NO_REPEATED_EFFECT = "2"  # nothing runs twice that must not; what was rejected never ran
    NO_SEND_AFTER_DRAIN = "3"  # nothing new to a backend past the drain grace, once its proxy was notified
    NO_OVERLOAD_IN_WARM_UP = "4"  # a backend that warms up is not pushed over, by all proxies together
    PROTOCOL = "protocol"
    DRAIN = "drain"  # a proxy that operators drain sends its clients away, and comes back when told
    CRASH = "crash"  # no proxy ends by itself
