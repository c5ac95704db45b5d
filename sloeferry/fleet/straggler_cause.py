"""Finds by elimination the cause for which a proxy does not hold the newest versions."""

from typing import NamedTuple

from sloeferry.decision_log.decision_log import CACHED_SOURCE
from sloeferry.fleet.audit_record import VersionedItem
from sloeferry.fleet.documents import ListEntry, VersionsDocument

# A proxy without data from discovery for this long counts as cut off; a watch sends a keep-alive every 2 s.
MAX_CONFIRMATION_AGE_MS = 5000.0


class Cause(NamedTuple):
    """A cause, and the evidence for it."""

    cause: str
    evidence: str


def find_cause(versions: VersionsDocument, outdated: list[VersionedItem]) -> Cause:
    """Return the cause for which a proxy holds outdated versions of the given items."""
    if VersionedItem.ENDPOINT_LIST in outdated:
        held = versions.get("list")
        return Cause("has no list", "it never received one") if held is None else _cause_of_old_list(versions, held)
    return _cause_of_old_settings(versions)


def _cause_of_old_list(versions: VersionsDocument, held: ListEntry) -> Cause:
    confirmed_ms = versions["confirmed_ms"]
    if confirmed_ms is not None and confirmed_ms <= MAX_CONFIRMATION_AGE_MS:
        discovery = held["by"].removeprefix("discovery at ")
        return Cause("told nothing newer", f"its watch at {discovery} received data {confirmed_ms / 1000:.1f} s ago")
    ago = "never" if confirmed_ms is None else f"{confirmed_ms / 1000:.1f} s ago"
    if held["by"] == CACHED_SOURCE:
        return Cause("restarted on an old list", f"up for {versions['up_ms'] / 1000:.1f} s, confirmed {ago}")
    return Cause("cut from discovery", f"last data {ago}")


def _cause_of_old_settings(versions: VersionsDocument) -> Cause:
    held = versions["settings"]
    refusals = versions["refused"]
    if refusals and refusals[-1]["what"] == "settings" and refusals[-1]["ago_ms"] < held["heard_ms"]:
        return Cause("refused the file", refusals[-1]["why"])
    if held["by"] == "start":
        return Cause("never told to read its file", "no SIGHUP since its start")
    if held["by"] == "SIGHUP":
        return Cause("never told to read its file", f"the last SIGHUP was {held['heard_ms'] / 1000:.1f} s ago")
    return Cause("cause unknown", "")
