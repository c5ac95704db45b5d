"""The decision log: which version was heard of and applied when, what was refused, and what was done under each.

A request belongs to the settings under which it was taken on, for as long as it is open; an attempt to the list on which its
endpoint was chosen.  Bounded: of settings, lists and refusals the newest `MAX_ENTRIES` each are kept (some 300 bytes an entry,
60 KB in all), older ones with open requests until these end; what was dropped is counted.  An extension point of the policy
that decides nothing.  Times in float ms, monotonic; what is told are ages, since wall clocks may be off.
"""

from typing import Any, NamedTuple

from sloeferry.decision_log.versions import ListVersion, SettingsVersion, Version, compare_versions

MAX_ENTRIES = 64
MAX_REASON_CHARACTERS = 200
CACHED_SOURCE = "known"  # the source of a list as last held: nobody has confirmed that it still stands


class LogEntry:
    """One version, and what was done under it."""

    __slots__ = (
        "version",
        "source",
        "heard_at",
        "applied_at",
        "first_action_at",
        "last_action_at",
        "action_count",
        "open_requests",
    )

    def __init__(self, version: Version, now: float, source: str):
        self.version = version
        self.source = source
        self.heard_at = self.applied_at = now
        self.first_action_at: float | None = None
        self.last_action_at: float | None = None
        self.action_count = 0  # requests taken on under settings, attempts by a list
        self.open_requests = 0

    def record_action(self, now: float) -> None:
        """Something was done under it."""
        self.first_action_at = self.first_action_at or now
        self.last_action_at = now
        self.action_count += 1

    def as_json(self, now: float) -> dict[str, Any]:
        """What operators are told of it."""

        def age_ms(at: float | None) -> float | None:
            return None if at is None else round(now - at, 1)

        return self.version._asdict() | {
            "by": self.source,
            "heard_ms": age_ms(self.heard_at),
            "applied_ms": age_ms(self.applied_at),
            "first_ms": age_ms(self.first_action_at),
            "last_ms": age_ms(self.last_action_at),
            "acts": self.action_count,
            "open": self.open_requests,
        }


class _Refusal(NamedTuple):
    """A version that was not taken."""

    at: float
    what: str
    reason: str

    def as_json(self, now: float) -> dict[str, Any]:
        return {"ago_ms": round(now - self.at, 1), "what": self.what, "why": self.reason}


class DecisionLog:
    """The log of one process."""

    def __init__(self, now: float, program: str):
        self._program = program
        self._began_at = now
        self._confirmed_at: float | None = None  # when whoever tells the list last said that it still stands
        self.settings: list[LogEntry] = []
        self.lists: list[LogEntry] = []
        self.refusals: list[_Refusal] = []
        self.dropped = 0
        self._settings_by_request: dict[int, LogEntry] = {}

    # Versions

    def settings_applied(self, now: float, digest: str, source: str) -> None:
        """Settings were accepted; they act from now on."""
        generation = self.settings[-1].version.generation + 1 if self.settings else 1
        self._enter(self.settings, SettingsVersion(generation, digest), now, source)

    def list_applied(self, now: float, revision: int, digest: str, source: str) -> None:
        """A list, or a change of it, has come and acts."""
        if source != CACHED_SOURCE:
            self.list_confirmed(now)
        before = self.lists[-1].version if self.lists else ListVersion(1, revision, "")
        if before.revision == revision and before.digest == digest:
            return
        has_changed = bool(before.digest) and digest != before.digest
        went_back = revision < before.revision or revision == before.revision and has_changed
        version = ListVersion(before.incarnation + went_back, revision, digest)
        self._enter(self.lists, version, now, source)

    def list_confirmed(self, now: float) -> None:
        """Whoever tells the list says that it still stands."""
        self._confirmed_at = now

    def refused(self, now: float, what: str, reason: Any) -> None:
        """Something new was not taken."""
        self.refusals.append(_Refusal(now, what, str(reason)[:MAX_REASON_CHARACTERS]))
        del self.refusals[:-MAX_ENTRIES]

    def _enter(self, entries: list[LogEntry], version: Version, now: float, source: str) -> None:
        entries.append(LogEntry(version, now, source))
        spare = [entry for entry in entries[:-1] if not entry.open_requests]
        if len(entries) > MAX_ENTRIES and spare:
            entries.remove(spare[0])
            self.dropped += 1

    # ExtensionPoint: it is told, and decides nothing

    def retry_after_if_rejected_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Rejects nothing."""
        return None

    def may_retry(self, now: float, request: Any) -> bool:
        """Forbids nothing."""
        return True

    def is_overloaded(self) -> bool:
        """Never."""
        return False

    def request_accepted(self, now: float, request: Any) -> None:
        """A request belongs to the newest settings."""
        entry = self._settings_by_request[request.request_id] = self.settings[-1]
        entry.record_action(now)
        entry.open_requests += 1

    def request_ended(self, request: Any, is_served: bool) -> None:
        """A request is open no more."""
        if entry := self._settings_by_request.pop(request.request_id, None):
            entry.open_requests -= 1

    def attempt_sent(self, now: float) -> None:
        """An attempt belongs to the newest list."""
        if self.lists:
            self.lists[-1].record_action(now)

    def version_summary(self, request_id: int) -> str:
        """What an attempt of that request, chosen now, acts on, for a header; short, for it goes with each."""
        settings = self._settings_by_request.get(request_id, self.settings[-1]).version
        text = f"settings={settings.generation}:{settings.digest}"
        if self.lists:
            listed = self.lists[-1].version
            text += f";list={listed.incarnation}.{listed.revision}:{listed.digest}"
        return text

    # For operators

    def current(self, now: float) -> dict[str, Any]:
        """What the process acts on now, since when, by whose word, and how long ago that was last confirmed (ms)."""
        return {
            "program": self._program,
            "up_ms": round(now - self._began_at),
            "settings": self.settings[-1].as_json(now) if self.settings else None,
            "list": self.lists[-1].as_json(now) if self.lists else None,
            "confirmed_ms": self._confirmed_at and round(now - self._confirmed_at),
            "open": len(self._settings_by_request),
            "refused": [refusal.as_json(now) for refusal in self.refusals[-1:]],
        }

    def recent_entries(self, now: float, span_ms: float) -> dict[str, Any]:
        """The log of the last `span_ms`: versions that came or acted in that time, or have open requests."""

        def recent(entries: list[LogEntry]) -> list[dict[str, Any]]:
            return [
                entry.as_json(now) | {"against_newest": compare_versions(entry.version, entries[-1].version).value}
                for entry in entries
                if entry.open_requests or now - max(entry.heard_at, entry.last_action_at or 0.0) <= span_ms
            ]

        refusals = [refusal.as_json(now) for refusal in self.refusals]
        return {
            "settings": recent(self.settings),
            "lists": recent(self.lists),
            "refused": [refusal for refusal in refusals if refusal["ago_ms"] <= span_ms],
            "dropped": self.dropped,
        }
