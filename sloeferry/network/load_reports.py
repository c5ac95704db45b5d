"""Load reports of backends, as the settings name their fields."""

import json
import math
from collections.abc import Sequence

from sloeferry.config.settings import Settings
from sloeferry.network.limited_log import warn

MAX_CACHED_REPORTS = 512  # reports that were read: they say few different things
NO_REPORT: Sequence[float] = ()


class LoadReportReader:
    """Reads reports into figures, in the order of the settings."""

    def __init__(self, settings: Settings):
        self.fields = [name for name in settings.load_reports.fields if name]
        self._remembered: dict[bytes, Sequence[float]] = {}

    def read(self, text: bytes | None) -> Sequence[float]:
        """The figures of a report; none if it is not what it should be."""
        if not text or not self.fields:
            return NO_REPORT
        if (figures := self._remembered.get(text)) is not None:
            return figures
        try:
            report = json.loads(text)
            figures = [float(report[name]) for name in self.fields]
            if all(math.isfinite(figure) for figure in figures):
                if len(self._remembered) >= MAX_CACHED_REPORTS:
                    self._remembered.clear()
                self._remembered[text] = figures
                return figures
        except (ValueError, TypeError, KeyError, RecursionError):
            pass
        warn("load report", "not understood, ignored: {!r}", text[:80])
        return NO_REPORT
