"""Consistency check between the fleet's audit and the records of the same run."""

from typing import Any, NamedTuple

from sloeferry.rehearsal.proxy_spans import NOTIFICATION_GRACE_SECONDS, ProxySpans

RECENT_KILL_SECONDS = 30.0  # a proxy killed within this time before the audit may be unknown
SUMMARY_KEYS = ("current", "straggler", "unknown", "acts_after_bound", "reached")


class WrittenList(NamedTuple):
    """The newest endpoint list that discovery wrote to a proxy, and the loop time at which it did."""

    revision: int
    at: float


class AuditCheck:
    """The audit's result, and the list revisions that proxies had been sent before and after it; times are loop times."""

    def __init__(self) -> None:
        self.result: dict[str, Any] | None = None
        self.last_written: dict[str, WrittenList] = {}  # by proxy
        self._began_at = 0.0
        self._newest_revision = 0
        self._notified_before: dict[str, int] = {}
        self._notified_after: dict[str, int] = {}

    def begin(self, at: float, newest_revision: int) -> None:
        """Note that the audit starts while discovery is at that revision."""
        self._began_at = at
        self._newest_revision = newest_revision
        # A list written within NOTIFICATION_GRACE_SECONDS may not have been read yet when the audit query arrives.
        delivered = {
            proxy: written for proxy, written in self.last_written.items() if written.at < at - NOTIFICATION_GRACE_SECONDS
        }
        self._notified_before = {proxy: written.revision for proxy, written in delivered.items()}

    def end(self, result: dict[str, Any]) -> None:
        """Store the audit's result, and the revisions that proxies had been sent by then."""
        self.result = result
        self._notified_after = {proxy: written.revision for proxy, written in self.last_written.items()}

    def failures(self, killed_at: dict[str, float], stopped: ProxySpans, lists_held: ProxySpans) -> list[str]:
        """Return a text for each proxy whose audit row contradicts the records."""
        if self.result is None:
            return []
        texts = (self._row_failure(row, killed_at, stopped, lists_held) for row in self.result["rows"])
        return [text for text in texts if text]

    def _row_failure(
        self, row: dict[str, Any], killed_at: dict[str, float], stopped: ProxySpans, lists_held: ProxySpans
    ) -> str | None:
        name = row["name"]
        began_at = self._began_at
        is_reported_behind = "list" in row.get("behind", ())
        newest_revision = self._newest_revision
        if row["state"] == "unknown":
            was_killed = killed_at.get(name, -1.0) > began_at - RECENT_KILL_SECONDS
            if was_killed or stopped.covers(name, began_at, NOTIFICATION_GRACE_SECONDS):
                return None
            return f"audit: {name} is reported as unknown, {row['cause']}, but no fault kept it from answering"
        if lists_held.covers(name, began_at, 0.0, NOTIFICATION_GRACE_SECONDS):
            return None  # the list may still be held in the link, so either state is correct
        notified_revision = self._notified_after.get(name, newest_revision)
        if notified_revision != newest_revision and not is_reported_behind:
            return f"audit: {name} was last sent revision {notified_revision} of {newest_revision} but is reported as current"
        if self._notified_before.get(name) == newest_revision and is_reported_behind:
            return f"audit: {name} was sent revision {newest_revision} but is reported as a straggler: {row['cause']}"
        return None

    def summary(self) -> dict[str, Any]:
        """Return the part of the result that goes into the run's record."""
        causes = sorted(f"{row['name']}: {row['cause']}" for row in self.result["rows"] if row["cause"])
        return {**{key: self.result[key] for key in SUMMARY_KEYS}, "causes": causes}
