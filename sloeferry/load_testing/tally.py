"""What came of each txn, counted by second and in HDR histograms; no I/O.

A txn's time runs from when it was to be asked for, not from when the caller came to ask: else a daemon that
stands still for a second would hide all that should have come in it (coordinated omission).
"""

from hdrh.histogram import HdrHistogram

# In time; answered after its SLA time; declined; reversed; no answer before its expiry though written whole;
# answered after expiry; never written, since no connection could be had; refused with a 4xx as it deserved.
INTIME, LATE, DECLINED, REVERSED, LOST, OVERDUE, UNSENT, REFUSED = KINDS = (
    "in_time",
    "late",
    "declined",
    "reversed",
    "lost",
    "overdue",
    "unsent",
    "refused",
)
LOWEST, HIGHEST, DIGITS = 1, 60_000_000, 3  # microseconds


class Tally:
    """Counts of one play, or of several workers' parts of it."""

    def __init__(self):
        self.by_second: dict[int, dict[str, int]] = {}
        self.answers = HdrHistogram(LOWEST, HIGHEST, DIGITS)  # settled, from when it was due to be asked
        self.declines = HdrHistogram(LOWEST, HIGHEST, DIGITS)  # from its writing
        self.worth = [0.0, 0.0]  # gain in time, gain asked for
        self.more = {"tries": 0, "connections": 0, "twice": 0}

    def count(self, at: float, kind: str, gain: float = 0.0) -> None:
        """One txn, due `at` seconds from the start, has ended as `kind`."""
        second = self.by_second.setdefault(int(at), {})
        second[kind] = second.get(kind, 0) + 1
        if kind != REFUSED:
            self.worth[1] += gain
            self.worth[0] += gain * (kind == INTIME)

    def time(self, kind: str, ms: float) -> None:
        histogram = self.declines if kind == DECLINED else self.answers
        histogram.record_value(max(LOWEST, min(HIGHEST, int(ms * 1000))))

    def as_json(self) -> dict:
        return {
            "by_second": {str(at): kinds for at, kinds in sorted(self.by_second.items())},
            "worth": self.worth,
            "answers": self.answers.encode().decode(),
            "declines": self.declines.encode().decode(),
            "more": self.more,
        }

    def add(self, told: dict) -> None:
        """Takes in another worker's part, as `as_json` made it."""
        for at, kinds in told["by_second"].items():
            second = self.by_second.setdefault(int(at), {})
            for kind, n in kinds.items():
                second[kind] = second.get(kind, 0) + n
        self.worth = [a + b for a, b in zip(self.worth, told["worth"])]
        self.answers.decode_and_add(told["answers"])
        self.declines.decode_and_add(told["declines"])
        for name, n in told["more"].items():
            self.more[name] = self.more.get(name, 0) + n

    def total(self, kind: str, since: float = 0.0, until: float = float("inf")) -> int:
        return sum(kinds.get(kind, 0) for at, kinds in self.by_second.items() if since <= at < until)

    def offered(self, since: float = 0.0, until: float = float("inf")) -> int:
        return sum(self.total(kind, since, until) for kind in KINDS)

    def figures(self, since: float, until: float) -> dict:
        """Rates a second between two whole seconds, and percentiles in ms of the whole play."""
        length = max(1e-9, until - since)
        rates = {kind: self.total(kind, since, until) / length for kind in KINDS}
        times = {f"p{part:g}": self.answers.get_value_at_percentile(part) / 1000 for part in (50, 99, 99.9)}
        return {
            "offered": self.offered(since, until) / length,
            **rates,
            **times,
            "decline_p50": self.declines.get_value_at_percentile(50) / 1000,
            "gain": self.worth[0] / self.worth[1] if self.worth[1] else 0.0,
            **self.more,
        }

    def recovered(self, since: float, bar: float = 0.9) -> float | None:
        """Seconds after `since` until the share in time of what deserves an answer is over the bar and stays there;
        None: never."""

        def wanted(at):  # a head that no proxy takes is refused, as it should be
            return self.offered(at, at + 1) - self.total(REFUSED, at, at + 1)

        seconds = sorted(at for at in self.by_second if at >= since)
        bad = [at for at in seconds if self.total(INTIME, at, at + 1) < bar * wanted(at)]
        if bad and bad[-1] == seconds[-1]:
            return None
        return bad[-1] + 1 - since if bad else 0.0
