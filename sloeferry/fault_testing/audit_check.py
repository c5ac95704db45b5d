"""Whether the fleet's audit and the records of the same run contradict each other."""

from typing import Any, NamedTuple

from sloeferry.rehearsal.proxy_spans import NOTICE_SECONDS, ProxySpans

RECENT_KILL_SECONDS = 30.0
SUMMARY_KEYS = ("current", "straggler", "unknown", "acts_after_bound", "reached")


class WrittenList(NamedTuple):
    """The newest list that was written to a proxy, and when."""

    revision: int
    at: float


class AuditCheck:
    """The audit's result, and what proxies had been notified of before and after it.  Times are loop times."""

    def __init__(self) -> None:
        self.result: dict[str, Any] | None = None
        self.last_written: dict[str, WrittenList] = {}  # proxy -> what was written to it last
        self._began_at = 0.0
        self._newest_revision = 0
        self._notified_before: dict[str, int] = {}
        self._notified_after: dict[str, int] = {}

    def begin(self, at: float, newest_revision: int) -> None:
        """The fleet is asked; discovery stands at that revision."""
        self._began_at = at
        self._newest_revision = newest_revision
        # Between being notified and having read it a moment passes, and the audit takes one too.
        settled = {proxy: written for proxy, written in self.last_written.items() if written.at < at - NOTICE_SECONDS}
        self._notified_before = {proxy: written.revision for proxy, written in settled.items()}

    def end(self, result: dict[str, Any]) -> None:
        """The fleet has answered."""
        self.result = result
        self._notified_after = {proxy: written.revision for proxy, written in self.last_written.items()}

    def failures(self, killed_at: dict[str, float], stopped: ProxySpans, lists_held: ProxySpans) -> list[str]:
        """Where the result and the records contradict each other."""
        if self.result is None:
            return []
        found = (self._row_failure(row, killed_at, stopped, lists_held) for row in self.result["rows"])
        return [text for text in found if text]

    def _row_failure(
        self, row: dict[str, Any], killed_at: dict[str, float], stopped: ProxySpans, lists_held: ProxySpans
    ) -> str | None:
        name = row["name"]
        began_at = self._began_at
        is_reported_behind = "list" in row.get("behind", ())
        newest = self._newest_revision
        if row["state"] == "unknown":
            was_killed = killed_at.get(name, -1.0) > began_at - RECENT_KILL_SECONDS
            if was_killed or stopped.covers(name, began_at, NOTICE_SECONDS):
                return None
            return f"audit: {name} is called unknown, {row['cause']}, and nothing kept it from answering"
        if lists_held.covers(name, began_at, 0.0, NOTICE_SECONDS):
            return None  # what was written to it may wait on its way: either may be true
        after = self._notified_after.get(name, newest)
        if after != newest and not is_reported_behind:
            return f"audit: {name} was last told revision {after} of {newest} and is called current"
        if self._notified_before.get(name) == newest and is_reported_behind:
            return f"audit: {name} was told revision {newest} and is called a straggler: {row['cause']}"
        return None

    def summary(self) -> dict[str, Any]:
        """What of the result goes into the run's record."""
        causes = sorted(f"{row['name']}: {row['cause']}" for row in self.result["rows"] if row["cause"])
        return {**{key: self.result[key] for key in SUMMARY_KEYS}, "causes": causes}
