"""Deduplicates requests by idempotency key: a repeat does not run, but waits until the first request of its key is done."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sloeferry.stand_ins.backend_connection import BackendConnection


class WaitingRepeat(NamedTuple):
    """A repeat that waits until the first request of its key is done."""

    connection: "BackendConnection"
    request_id: bytes


@dataclass(slots=True)
class KeyEntry:
    """The state of one idempotency key; `seen_at` is in seconds."""

    seen_at: float
    is_done: bool = False
    _waiting: list[WaitingRepeat] = field(default_factory=list)

    def wait(self, connection: "BackendConnection", request_id: bytes) -> None:
        """Add a repeat that waits for the first request."""
        self._waiting.append(WaitingRepeat(connection, request_id))

    def finish(self) -> list[WaitingRepeat]:
        """Mark the first request as done and return the repeats that have waited for it."""
        self.is_done = True
        waiting = self._waiting
        self._waiting = []
        return waiting


class KeyLookup(NamedTuple):
    """The entry of a key; `is_repeat` is True if it existed already."""

    entry: KeyEntry
    is_repeat: bool


class DeduplicationStore:
    """The idempotency keys that a group of backends shares."""

    def __init__(self):
        self._entries: dict[bytes | None, KeyEntry] = {}

    def look_up(self, key: bytes | None, now: float, window_seconds: float) -> KeyLookup:
        """Return the entry of a key; create it if there is none or its window has ended."""
        entry = self._entries.get(key)
        if entry is not None and now - entry.seen_at <= window_seconds:
            return KeyLookup(entry, True)
        entry = self._entries[key] = KeyEntry(now)
        return KeyLookup(entry, False)


class DeduplicationStores:
    """The stores of all backends: one that all of them share, and one for each zone."""

    def __init__(self):
        self._for_all = DeduplicationStore()
        self._by_zone: dict[str, DeduplicationStore] = {}

    def for_zone(self, zone: str) -> dict[str, DeduplicationStore]:
        """Return the stores of a backend in a zone, keyed by deduplication group: all backends, or those of its zone."""
        return {"all": self._for_all, "zone": self._by_zone.setdefault(zone, DeduplicationStore())}
