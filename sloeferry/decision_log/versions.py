"""Versions of settings and endpoint lists, and their partial order.

The revision of an endpoint list is a counter of discovery.  A revision lower than the previous one means that the counter was
restarted or that a lagging replica answered; a proxy can't distinguish the two.  Each decrease therefore starts a new
incarnation, and versions of different incarnations are not comparable (like epochs of replicated logs, but the protocol doesn't
identify the counting replica).  Settings are numbered as a process accepts them: a rollback is a new generation with an older
digest.
"""

import enum
import hashlib
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

DIGEST_DIGITS = 16


class VersionOrder(enum.StrEnum):
    """The order of one version relative to another."""

    OLDER = "older"
    SAME = "same"
    NEWER = "newer"
    NOT_COMPARABLE = "not comparable"


class SettingsVersion(NamedTuple):
    """A version of the settings."""

    generation: int  # the number of settings accepted by this process so far, from 1
    digest: str


class ListVersion(NamedTuple):
    """A version of the endpoint list."""

    incarnation: int  # 1 plus the number of times the revision decreased
    revision: int
    digest: str  # of the content except addresses, which may differ between proxies


Version = SettingsVersion | ListVersion


def compare_versions(version: Version, other: Version) -> VersionOrder:
    """Return the order of `version` relative to `other`; both have to be from the log of one proxy."""
    if version == other:
        return VersionOrder.SAME
    if isinstance(version, ListVersion):
        if version.incarnation != other.incarnation or version.revision == other.revision:
            return VersionOrder.NOT_COMPARABLE  # one revision with two contents comes from two counters
        return VersionOrder.NEWER if version.revision > other.revision else VersionOrder.OLDER
    return VersionOrder.NEWER if version.generation > other.generation else VersionOrder.OLDER


def digest_of(value: Any) -> str:
    """Return the digest of a JSON value; the order of keys does not matter."""
    return hashlib.sha256(json.dumps(value, sort_keys=True, default=str).encode()).hexdigest()[:DIGEST_DIGITS]


def digest_of_files(files: Iterable[tuple[str, bytes]]) -> str:
    """Return the digest of a program from the (name, content) of all its files."""
    digest = hashlib.sha256()
    for name, content in sorted(files):
        digest.update(b"%b\0%d\0%b" % (name.encode(), len(content), content))
    return digest.hexdigest()[:DIGEST_DIGITS]
