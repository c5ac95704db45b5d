"""Load reports of backends: JSON objects whose fields are named in the settings."""

import json
import math
from collections.abc import Sequence

from sloeferry.config.settings import Settings
from sloeferry.network.limited_log import warn

MAX_CACHED_REPORTS = 512  # parsed reports; few distinct texts occur
NO_REPORT: Sequence[float] = ()


class LoadReportReader:
    """Parses load reports into their values, in the order of the settings' fields."""

    def __init__(self, settings: Settings):
        self.fields = [name for name in settings.load_reports.fields if name]
        self._cached_reports: dict[bytes, Sequence[float]] = {}

    def read(self, text: bytes | None) -> Sequence[float]:
        """Return the values of a report, or `NO_REPORT` if a field is missing or not a finite number."""
        if not text or not self.fields:
            return NO_REPORT
        if (values := self._cached_reports.get(text)) is not None:
            return values
        try:
            report = json.loads(text)
            values = [float(report[name]) for name in self.fields]
            if all(math.isfinite(value) for value in values):
                if len(self._cached_reports) >= MAX_CACHED_REPORTS:
                    self._cached_reports.clear()
                self._cached_reports[text] = values
                return values
        except (ValueError, TypeError, KeyError, RecursionError):
            pass
        warn("load report", "not understood, ignored: {!r}", text[:80])
        return NO_REPORT
