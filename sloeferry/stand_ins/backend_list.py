"""The list of backends that stand-in discovery publishes: its entries, its revisions, and what it was at earlier times.

Entries and documents are as the platform writes them.
"""

from collections.abc import Mapping
from math import inf
from typing import Any, NamedTuple

from sloeferry.stand_ins.wire_protocol import BackendState

Entry = dict[str, Any]
Document = dict[str, Any]


class Change(NamedTuple):
    """One publication."""

    revision: int
    published_at: float  # seconds of discovery's loop
    entry: Entry


def make_backend_entry(
    backend_id: str, address: tuple[str, int], zone: str, machine_kind: str, state: str, started_at_ms: int
) -> Entry:
    """One backend's entry; `started_at_ms` is Unix time."""
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


def with_addresses(document: Document, addresses: Mapping[str, str]) -> Document:
    """The same document, with other addresses for some backends."""
    entries = [entry | {"host_port": addresses.get(entry["id"], entry["host_port"])} for entry in document["members"]]
    return document | {"members": entries}


class BackendList:
    """All that was ever published."""

    def __init__(self):
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._changes: list[Change] = []  # published since revisions were last reset, without what stood there at the reset
        self._history: list[Change] = []

    def started_at_ms(self, backend_id: str) -> int:
        """When a backend was last listed as started; 0 for one that was never listed."""
        entry = self._entries.get(backend_id)
        return entry["up_since_ms"] if entry else 0

    def publish(self, entry: Entry, now: float) -> None:
        """An entry is added or changed."""
        self.revision += 1
        change = Change(self.revision, now, entry)
        self._entries[entry["id"]] = entry
        self._changes.append(change)
        self._history.append(change)

    def reset_revisions(self, now: float) -> None:
        """The count is lost: what stands in the list is its revision 1."""
        self.revision = 1
        self._changes = []
        self._entries = {backend_id: entry for backend_id, entry in self._entries.items() if entry["phase"] != BackendState.GONE}
        self._history = [Change(1, now, entry) for entry in self._entries.values()]

    def revision_at(self, until: float) -> int:
        """The newest revision at that time; 0 if there was none."""
        return max((change.revision for change in self._history if change.published_at <= until), default=0)

    def document(self, since: int | None, revision: int) -> Document:
        """The list as of a revision: all of it, or what changed after `since`, with the latest entry of each backend."""
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
    """What of the list a proxy is shown instead of the newest."""

    delay_seconds: float = 0.0  # it is shown the list as it was so long ago
    until: float = inf  # and nothing that was published after this time
