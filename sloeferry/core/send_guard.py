"""The one guard of sending: asked right before the first byte of each attempt and probe, and checked once it is written.

Whatever a request has waited for since its backend was chosen (the admission queue, a body, a dial, a failed attempt), its
attempt begins only if nothing forbids it now.  What is refused is counted by cause.  `check_written` holds each attempt
against the rules once more, by facts of its own: what it counts is a defect, and is logged.  Free of I/O; times are float
milliseconds, monotonic.
"""

import enum
from collections import Counter

LEFT_KEPT = 4096  # backends remembered as told to leave, the newest


class Refusal(enum.Enum):
    """Why an attempt must not begin."""

    REQUEST_OVER = "request over"
    CLIENT_GONE = "client gone"
    DEADLINE = "past its deadline"
    REPEAT_WINDOW = "a repeat might run twice"
    BACKEND_LEAVING = "backend draining or gone"
    LIST_STALE = "list stale"


class Violation(enum.Enum):
    """What an attempt that was written has broken, or the end of a client's connection."""

    ANSWERED = "sent for a request that had its answer"
    DEADLINE = "sent past its deadline"
    REPEATED = "sent although an earlier attempt may have run"
    DRAIN = "sent past the drain grace"
    LIST_STALE = "sent by a stale list"
    CLOSED_UNANSWERED = "closed with no answer"


class SendGuard:
    """Guards the attempts of one proxy.  `slack` is by how much (ms) limits are longer on sockets."""

    def __init__(self, proxy, slack: float):
        self.proxy, self.slack = proxy, slack
        self.refused: Counter[Refusal] = Counter()
        self.refused_stale: Counter[str] = Counter()  # by what made the list stale
        self.violations: Counter[Violation] = Counter()
        self.left: dict = {}  # backend -> when it was told to leave, or gone

    # Facts

    def listed(self, now: float, backend, ready: bool) -> None:
        """What a list says of a backend."""
        if ready:
            self.left.pop(backend, None)
            return
        self.left.setdefault(backend, now)
        if len(self.left) > LEFT_KEPT:
            del self.left[next(iter(self.left))]

    # Before the first byte

    def backend_refusal(self, now: float, backend) -> Refusal | None:
        """Why nothing new may be sent to this backend now (rule 3); None if it may."""
        if not self.proxy.rules.list_usable(now):
            return Refusal.LIST_STALE
        known = self.proxy.board.all.get(backend)
        if known is None or not self.proxy.rules.in_use(known, now):
            return Refusal.BACKEND_LEAVING
        return None

    def request_refusal(self, now: float, errand, seq: int) -> Refusal | None:
        """Why nothing more may be sent for this request (rules 1 and 2); None if it may."""
        if errand.over:
            return Refusal.REQUEST_OVER
        if now >= errand.ends:
            return Refusal.DEADLINE
        request = self.proxy.ledger.txns.get(errand.ref)
        if request is not None and not self.proxy.rules.may_repeat(request, now, seq):
            return Refusal.REPEAT_WINDOW
        return None

    def refuse(self, cause: Refusal | None) -> bool:
        """Whether the attempt may begin; counted if not."""
        if cause is None:
            return True
        self.refused[cause] += 1
        if cause is Refusal.LIST_STALE:
            self.refused_stale[self.proxy.discovery.staleness.cause.value] += 1
        return False

    # Once it is written

    def check_written(self, at: float, errand, seq: int, backend) -> Violation | None:
        """An attempt's first bytes were handed over at `at`: what that broke, None if nothing."""
        grace = self.proxy.term("obligations.drain_grace") + self.slack
        request = self.proxy.ledger.txns.get(errand.ref)
        broken = None
        if errand.over:
            broken = Violation.ANSWERED
        elif at > errand.ends + self.slack:
            broken = Violation.DEADLINE
        elif at > self.left.get(backend, at) + grace:
            broken = Violation.DRAIN
        elif at > self.proxy.discovery.staleness.usable_until + grace:
            broken = Violation.LIST_STALE
        elif request is not None and not self.proxy.rules.may_repeat(request, at, seq):
            broken = Violation.REPEATED
        if broken:
            self.violations[broken] += 1
        return broken

    def figures(self) -> dict:
        """The counters, for operators."""
        return {
            "refused": {cause.value: self.refused[cause] for cause in Refusal},
            "refused_stale": dict(self.refused_stale),
            "violations": {kind.value: self.violations[kind] for kind in Violation},
        }
