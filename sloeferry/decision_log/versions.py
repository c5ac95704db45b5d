"""Versions and their order: total where there is one, and nothing where there is none.

A list's revision is a counter of discovery's.  Counters start anew, and of two replicas one may lag: a revision lower
than the one before is either, and from here nobody can tell which.  So each time it goes back a new incarnation is
counted, and versions of two incarnations are not compared (cf. the epochs of replicated logs, which name the one who
counts; this protocol names nobody).  Settings are counted by what was accepted: a roll-back is a new generation with an
older digest.
"""

import enum
import hashlib
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

DIGEST_DIGITS = 16


class VersionOrder(enum.StrEnum):
    """How one version stands to another."""

    OLDER = "older"
    SAME = "same"
    NEWER = "newer"
    NOT_COMPARABLE = "not comparable"


class SettingsVersion(NamedTuple):
    """A version of the settings."""

    generation: int  # of what this process accepted, from 1
    digest: str


class ListVersion(NamedTuple):
    """A version of the endpoint list."""

    incarnation: int  # how often the count went back, from 1
    revision: int
    digest: str  # of what it says; addresses aside, which may differ from proxy to proxy


Version = SettingsVersion | ListVersion


def compare_versions(one: Version, other: Version) -> VersionOrder:
    """How `one` stands to `other`, both of one proxy's log."""
    if one == other:
        return VersionOrder.SAME
    if isinstance(one, ListVersion):
        if one.incarnation != other.incarnation or one.revision == other.revision:
            return VersionOrder.NOT_COMPARABLE  # one revision that says two things comes of two counts
        return VersionOrder.NEWER if one.revision > other.revision else VersionOrder.OLDER
    return VersionOrder.NEWER if one.generation > other.generation else VersionOrder.OLDER


def digest_of(value: Any) -> str:
    """Of anything that JSON can say; the order of keys does not matter."""
    return hashlib.sha256(json.dumps(value, sort_keys=True, default=str).encode()).hexdigest()[:DIGEST_DIGITS]


def digest_of_files(files: Iterable[tuple[str, bytes]]) -> str:
    """Of a program: (name, content) of all of its files."""
    whole = hashlib.sha256()
    for name, content in sorted(files):
        whole.update(b"%b\0%d\0%b" % (name.encode(), len(content), content))
    return whole.hexdigest()[:DIGEST_DIGITS]
