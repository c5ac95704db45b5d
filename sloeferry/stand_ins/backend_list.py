"""The endpoint list that stand-in discovery publishes, with its revisions and its history.

Entries and documents have the platform's JSON format.
"""

from collections.abc import Mapping
from math import inf
from typing import Any, NamedTuple

from sloeferry.stand_ins.wire_protocol import BackendState

BackendEntry = dict[str, Any]
ListDocument = dict[str, Any]


class ListChange(NamedTuple):
    """One published revision of the list."""

    revision: int
    published_at: float  # seconds, time of discovery's event loop
    entry: BackendEntry


def make_backend_entry(
    backend_id: str, address: tuple[str, int], zone: str, machine_kind: str, state: str, started_at_ms: int
) -> BackendEntry:
    """Return the list entry of one backend; `started_at_ms` is Unix time."""
    return {
        "id": backend_id,
        "host_port": "{}:{}".format(*address),
        "locality": zone,
        "flavor": machine_kind,
        "cell": 0,
        "phase": state,
        "size": 1.0,
        "up_since_ms": started_at_ms,
    }


def with_addresses(document: ListDocument, addresses: Mapping[str, str]) -> ListDocument:
    """Return a copy of a document with the given addresses (host:port by backend id) in place of the original ones."""
    entries = [entry | {"host_port": addresses.get(entry["id"], entry["host_port"])} for entry in document["members"]]
    return document | {"members": entries}


class BackendList:
    """The current entries and all revisions published so far."""

    def __init__(self):
        self.revision = 0
        self._entries: dict[str, BackendEntry] = {}
        self._changes: list[ListChange] = []  # published after the last reset of revisions
        self._history: list[ListChange] = []  # these, and the list as of the reset (revision 1)

    def started_at_ms(self, backend_id: str) -> int:
        """Return the start time (Unix time, ms) that a backend is listed with; 0 if it was never listed."""
        entry = self._entries.get(backend_id)
        return entry["up_since_ms"] if entry else 0

    def publish(self, entry: BackendEntry, now: float) -> None:
        """Publish a new or changed entry as the next revision."""
        self.revision += 1
        change = ListChange(self.revision, now, entry)
        self._entries[entry["id"]] = entry
        self._changes.append(change)
        self._history.append(change)

    def reset_revisions(self, now: float) -> None:
        """Restart the revision count: the current list becomes revision 1."""
        self.revision = 1
        self._changes = []
        self._entries = {backend_id: entry for backend_id, entry in self._entries.items() if entry["phase"] != BackendState.GONE}
        self._history = [ListChange(1, now, entry) for entry in self._entries.values()]

    def revision_at(self, until: float) -> int:
        """Return the newest revision published at or before a time; 0 if there was none."""
        return max((change.revision for change in self._history if change.published_at <= until), default=0)

    def document(self, since: int | None, revision: int) -> ListDocument:
        """Return the list as of a revision: all of it, or the latest entry of each backend that changed after `since`."""
        entries = self._entries
        if revision != self.revision:
            entries = {change.entry["id"]: change.entry for change in self._history if change.revision <= revision}
        if since is None:
            listed = [entry for entry in entries.values() if entry["phase"] != BackendState.GONE]
        else:
            changed = dict.fromkeys(change.entry["id"] for change in self._changes if since < change.revision <= revision)
            listed = [entries[backend_id] for backend_id in changed]
        return {"revision": revision, "complete": since is None, "members": listed}


class ListView(NamedTuple):
    """The older state of the list that one proxy is shown instead of the current one."""

    delay_seconds: float = 0.0  # age of the list that it is shown
    until: float = inf  # changes published after this time are hidden
