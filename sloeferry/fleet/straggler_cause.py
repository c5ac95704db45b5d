"""Why a proxy is not on the newest versions, by elimination."""

from typing import NamedTuple

from sloeferry.decision_log.decision_log import CACHED_SOURCE
from sloeferry.fleet.audit_record import Subject
from sloeferry.fleet.documents import ListEntry, VersionsDocument

# Without a word from discovery, whose watches say something every 2 s.
CUT_OFF_MS = 5000.0


class Cause(NamedTuple):
    """A cause, and what it rests on."""

    cause: str
    evidence: str


def find_cause(versions: VersionsDocument, behind: list[Subject]) -> Cause:
    """The cause of a proxy that is behind with the given subjects."""
    if Subject.ENDPOINT_LIST in behind:
        held = versions.get("list")
        return Cause("has no list", "none was ever heard") if held is None else _cause_of_old_list(versions, held)
    return _cause_of_old_settings(versions)


def _cause_of_old_list(versions: VersionsDocument, held: ListEntry) -> Cause:
    confirmed_ms = versions["confirmed_ms"]
    if confirmed_ms is not None and confirmed_ms <= CUT_OFF_MS:
        discovery = held["by"].removeprefix("discovery at ")
        return Cause("told nothing newer", f"its watch at {discovery} spoke {confirmed_ms / 1000:.1f} s ago")
    ago = "never" if confirmed_ms is None else f"{confirmed_ms / 1000:.1f} s ago"
    if held["by"] == CACHED_SOURCE:
        return Cause("restarted on an old list", f"up for {versions['up_ms'] / 1000:.1f} s, confirmed {ago}")
    return Cause("cut from discovery", f"last word {ago}")


def _cause_of_old_settings(versions: VersionsDocument) -> Cause:
    held = versions["settings"]
    refusals = versions["refused"]
    if refusals and refusals[-1]["what"] == "settings" and refusals[-1]["ago_ms"] < held["heard_ms"]:
        return Cause("refused the file", refusals[-1]["why"])
    if held["by"] == "start":
        return Cause("never told to read its file", "as it was started, and no SIGHUP since")
    if held["by"] == "SIGHUP":
        return Cause("never told to read its file", f"the last SIGHUP came {held['heard_ms'] / 1000:.1f} s ago")
    return Cause("cause unknown", "")
