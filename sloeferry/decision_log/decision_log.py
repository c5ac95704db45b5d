"""Logs when each version of settings and endpoint list was received and applied, which were refused, and the actions under each.

A request counts for the settings under which it was accepted until it ends, an attempt for the endpoint list from which its
endpoint was chosen.  The log is bounded: it keeps the newest `MAX_ENTRIES` settings, lists and refusals each (about 300 bytes
per entry, 60 KB in total), and older versions while they have open requests; dropped versions are counted.  It is installed as
an extension point of the policy that never influences a decision.  Times are float ms of the monotonic clock; operators get
ages, since wall clocks may differ.
"""

from typing import Any, NamedTuple

from sloeferry.decision_log.versions import ListVersion, SettingsVersion, Version, compare_versions

MAX_ENTRIES = 64
MAX_REASON_CHARACTERS = 200
CACHED_SOURCE = "known"  # source of an endpoint list from the cache, which discovery has not confirmed yet


class LogEntry:
    """A version with its times, its number of actions and its open requests."""

    __slots__ = (
        "version",
        "source",
        "received_at",
        "applied_at",
        "first_action_at",
        "last_action_at",
        "action_count",
        "open_requests",
    )

    def __init__(self, version: Version, now: float, source: str):
        self.version = version
        self.source = source
        self.received_at = self.applied_at = now
        self.first_action_at: float | None = None
        self.last_action_at: float | None = None
        self.action_count = 0  # accepted requests for settings, sent attempts for a list
        self.open_requests = 0

    def record_action(self, now: float) -> None:
        """Count an accepted request or a sent attempt."""
        self.first_action_at = self.first_action_at or now
        self.last_action_at = now
        self.action_count += 1

    def as_json(self, now: float) -> dict[str, Any]:
        """Return the entry as the admin calls report it."""

        def age_ms(at: float | None) -> float | None:
            return None if at is None else round(now - at, 1)

        return self.version._asdict() | {
            "by": self.source,
            "heard_ms": age_ms(self.received_at),
            "applied_ms": age_ms(self.applied_at),
            "first_ms": age_ms(self.first_action_at),
            "last_ms": age_ms(self.last_action_at),
            "acts": self.action_count,
            "open": self.open_requests,
        }


class _Refusal(NamedTuple):
    """A version that was refused."""

    at: float
    subject: str
    reason: str

    def as_json(self, now: float) -> dict[str, Any]:
        return {"ago_ms": round(now - self.at, 1), "what": self.subject, "why": self.reason}


class DecisionLog:
    """The decision log of one process."""

    def __init__(self, now: float, program: str):
        self._program = program
        self._began_at = now
        self._confirmed_at: float | None = None  # when discovery last confirmed the list
        self.settings: list[LogEntry] = []
        self.lists: list[LogEntry] = []
        self.refusals: list[_Refusal] = []
        self.dropped = 0
        self._settings_by_request: dict[int, LogEntry] = {}

    # Versions

    def settings_applied(self, now: float, digest: str, source: str) -> None:
        """Record that settings were accepted and are in use from now on."""
        generation = self.settings[-1].version.generation + 1 if self.settings else 1
        self._append_entry(self.settings, SettingsVersion(generation, digest), now, source)

    def list_applied(self, now: float, revision: int, digest: str, source: str) -> None:
        """Record that an endpoint list, or a change of it, was received and is in use from now on."""
        if source != CACHED_SOURCE:
            self.list_confirmed(now)
        previous = self.lists[-1].version if self.lists else ListVersion(1, revision, "")
        if previous.revision == revision and previous.digest == digest:
            return
        has_other_digest = bool(previous.digest) and digest != previous.digest
        has_gone_back = revision < previous.revision or revision == previous.revision and has_other_digest
        version = ListVersion(previous.incarnation + has_gone_back, revision, digest)
        self._append_entry(self.lists, version, now, source)

    def list_confirmed(self, now: float) -> None:
        """Record that discovery has confirmed the current list."""
        self._confirmed_at = now

    def refused(self, now: float, subject: str, reason: Any) -> None:
        """Record that a new version was refused."""
        self.refusals.append(_Refusal(now, subject, str(reason)[:MAX_REASON_CHARACTERS]))
        del self.refusals[:-MAX_ENTRIES]

    def _append_entry(self, entries: list[LogEntry], version: Version, now: float, source: str) -> None:
        entries.append(LogEntry(version, now, source))
        removable = [entry for entry in entries[:-1] if not entry.open_requests]
        if len(entries) > MAX_ENTRIES and removable:
            entries.remove(removable[0])
            self.dropped += 1

    # Methods of ExtensionPoint: the log receives the events and never influences a decision

    def retry_after_if_rejected_ms(
        self, now: float, request_class: Any, tenant_index: int, is_retry: bool, has_waited: bool
    ) -> float | None:
        """Return None: the log never rejects a request."""
        return None

    def may_retry(self, now: float, request: Any) -> bool:
        """Return True: the log never forbids a retry."""
        return True

    def is_overloaded(self) -> bool:
        """Return False: the log never reports overload."""
        return False

    def request_accepted(self, now: float, request: Any) -> None:
        """Count a request for the newest settings."""
        entry = self._settings_by_request[request.request_id] = self.settings[-1]
        entry.record_action(now)
        entry.open_requests += 1

    def request_ended(self, request: Any, is_served: bool) -> None:
        """Remove a request from the open requests of its settings."""
        if entry := self._settings_by_request.pop(request.request_id, None):
            entry.open_requests -= 1

    def attempt_sent(self, now: float) -> None:
        """Count an attempt for the newest list."""
        if self.lists:
            self.lists[-1].record_action(now)

    def version_summary(self, request_id: int) -> str:
        """Return the versions that an attempt of this request acts on now; short, since each attempt may have it as a header."""
        settings = self._settings_by_request.get(request_id, self.settings[-1]).version
        text = f"settings={settings.generation}:{settings.digest}"
        if self.lists:
            list_version = self.lists[-1].version
            text += f";list={list_version.incarnation}.{list_version.revision}:{list_version.digest}"
        return text

    # Reports of the admin calls

    def current(self, now: float) -> dict[str, Any]:
        """Return the versions in use, with their sources and ages, and the time since the list was last confirmed (ms)."""
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
        """Return the versions that were received or acted on within the last `span_ms`, or that have open requests."""

        def recent(entries: list[LogEntry]) -> list[dict[str, Any]]:
            return [
                entry.as_json(now) | {"against_newest": compare_versions(entry.version, entries[-1].version).value}
                for entry in entries
                if entry.open_requests or now - max(entry.received_at, entry.last_action_at or 0.0) <= span_ms
            ]

        refusals = [refusal.as_json(now) for refusal in self.refusals]
        return {
            "settings": recent(self.settings),
            "lists": recent(self.lists),
            "refused": [refusal for refusal in refusals if refusal["ago_ms"] <= span_ms],
            "dropped": self.dropped,
        }
