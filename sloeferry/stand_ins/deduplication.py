"""What a group of stand-in backends remembers of idempotency keys: a repeat does not run, it waits for the first."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sloeferry.stand_ins.backend_connection import BackendConnection


class WaitingRepeat(NamedTuple):
    """A repeat that waits for the first request of its key to be done."""

    connection: "BackendConnection"
    request_id: bytes


@dataclass(slots=True)
class KeyEntry:
    """One idempotency key; `seen_at` in seconds."""

    seen_at: float
    is_done: bool = False
    _waiting: list[WaitingRepeat] = field(default_factory=list)

    def wait(self, connection: "BackendConnection", request_id: bytes) -> None:
        """A repeat waits for the first request."""
        self._waiting.append(WaitingRepeat(connection, request_id))

    def finish(self) -> list[WaitingRepeat]:
        """The first request is done; who has waited for it."""
        self.is_done = True
        waiting = self._waiting
        self._waiting = []
        return waiting


class KeyLookup(NamedTuple):
    """The entry of a key, and whether it was known already."""

    entry: KeyEntry
    is_repeat: bool


class DeduplicationStore:
    """The idempotency keys that a group of backends shares."""

    def __init__(self):
        self._entries: dict[bytes | None, KeyEntry] = {}

    def look_up(self, key: bytes | None, now: float, window_seconds: float) -> KeyLookup:
        """The entry of a key; a first one, or one whose window has ended, is entered anew."""
        entry = self._entries.get(key)
        if entry is not None and now - entry.seen_at <= window_seconds:
            return KeyLookup(entry, True)
        entry = self._entries[key] = KeyEntry(now)
        return KeyLookup(entry, False)


class DeduplicationStores:
    """The stores of a whole fleet of backends: one that all share, and one for each zone."""

    def __init__(self):
        self._for_all = DeduplicationStore()
        self._by_zone: dict[str, DeduplicationStore] = {}

    def for_zone(self, zone: str) -> dict[str, DeduplicationStore]:
        """Those of a backend there, by the group that a request class names: all backends, or those of its zone."""
        return {"all": self._for_all, "zone": self._by_zone.setdefault(zone, DeduplicationStore())}
