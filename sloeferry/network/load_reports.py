"""Load reports of backends: JSON objects whose fields are named in the settings."""

import json
from collections.abc import Sequence

from sloeferry.config.settings import Settings
from sloeferry.network.limited_log import warn

MAX_CACHED_REPORTS = 512  # parsed reports; few distinct texts occur
MAX_REPORTED_VALUE = 2.0**53  # beyond it, floats no longer count in steps of one, and their sums may overflow
MAX_QUOTED = 80  # characters of an unreadable report in a log line
NO_REPORT: Sequence[float] = ()


class LoadReportReader:
    """Parses load reports into their values, in the order of the settings' fields."""

    def __init__(self, settings: Settings):
        self.fields = [name for name in settings.load_reports.fields if name]
        self._cached_reports: dict[bytes, Sequence[float]] = {}

    def read(self, text: bytes | None) -> Sequence[float]:
        """Return the values of a report, or `NO_REPORT` if it cannot be read; never raise.

        A field that is missing, or no number up to `MAX_REPORTED_VALUE`, makes a report unreadable.  The response that brought it
        is good all the same.
        """
        if not text or not self.fields:
            return NO_REPORT
        if (values := self._cached_reports.get(text)) is not None:
            return values
        try:
            values = self._parse(text)
        except Exception as error:  # the text comes from outside and may hold anything
            warn("load report", "not understood, ignored: {!r} error={!r}", text[:MAX_QUOTED], str(error)[:MAX_QUOTED])
            return NO_REPORT
        if len(self._cached_reports) >= MAX_CACHED_REPORTS:
            self._cached_reports.clear()
        self._cached_reports[text] = values
        return values

    def _parse(self, text: bytes) -> Sequence[float]:
        report = json.loads(text)
        values = [float(report[name]) for name in self.fields]
        if not all(abs(value) <= MAX_REPORTED_VALUE for value in values):  # NaN compares as False
            raise ValueError("no finite number, or too large")
        return values
