"""What one proxy takes on when it has too little time for all that comes: decisions, free of I/O.

A stage of the chain (ports.Stage).  It measures what this proxy gets done, not what it wishes: by how much a
regular beat runs late, and how many txns end in a while.  Only while beats run late all through a window does a
bound stand on the txns open at once, by Little's law: what ends in a part of the SLA time.  The bound follows
what ends, so there is no rate to tune and none to swing; it is let go step by step.  All figures are ratios to
the settings; times in float ms.
"""

from math import inf as INF

AIM = 0.35  # of the quickest SLA time: what a txn may spend here while the bound stands
BEAT = 1 / 16  # of that time: how often the beat is due, and the lateness that is too much
WINDOW = 1.0  # of that time: over which the least lateness counts
STALE = 0.5  # of that time: a beat so late comes from a stall; what waited is mostly late
LONGEST = 0.4  # of the shortest expiry: then it is turned away, whatever that costs
LEAST = 4  # txns open at once that are never too many
GAINS = 0.2  # of the bound: kept for what has the best gain
REPEATS = 0.7  # of the bound: where a client's own further try has none left
SHARES = 0.5  # of the bound: from there on a customer keeps to its fair part
EASE = 1.25  # by so much the bound grows in a window without lateness
RETRIES = 0.2  # further postings for each first one, while the bound stands
CHEAP = 4  # txns turned away for each that is served, before others wait for their turn
PATIENCE = 0.25  # of the quickest SLA time: so long a request waits outside for room


class Door:
    """The bound, and who stays outside while it stands."""

    def __init__(self, proxy):
        self.p = proxy
        self.limit, self.stale = INF, False
        self.open, self.by, self.fair = 0, [], []  # by customer: open; his part of the bound
        self.active = set()  # customers seen in this window
        self.retune()
        self.least, self.since, self.ended, self.barred = INF, 0.0, 0, 0
        self.rate = 0.0  # txns that end in a ms, as of late
        self.purse, self.reposts, self.excess, self.read = 0.0, 0.0, 0.0, 0.0
        self.outside, self.spent, self.usual = INF, 0.0, 0.0  # who waits; ms of txns in a window, and of one

    def retune(self) -> None:
        """The settings as they are now; customers keep their places."""
        proxy = self.p
        self.sla, self.every = proxy.quickest, max(proxy.step, BEAT * proxy.quickest)
        self.patience = PATIENCE * proxy.quickest
        self.longest = LONGEST * min(s.expiry for s in proxy.schemes if not s.dropped)
        self.top = max(s.gain for s in proxy.schemes) or 1.0
        self.pauses = proxy.term("limits.retry_after")
        count = int(proxy.term("tenants.count"))
        self.share = [float(proxy.terms.get(f"tenants.{at}.share") or 1.0) for at in range(count)] or [1.0]
        self.by += [0] * (len(self.share) - len(self.by))
        self.fair += [INF] * (len(self.share) - len(self.fair))

    # What the host measures

    def beat(self, now: float, late: float) -> None:
        """A regular beat, due every `every` ms, ran so late."""
        self.stale = self.stood(late)
        self.least = min(self.least, late)
        if now - self.since < WINDOW * self.sla:
            return
        rate = self.ended / (now - self.since)
        self.rate = rate if rate > self.rate else self.rate + (rate - self.rate) / 4
        self.excess = self.barred / max(1, self.ended)
        if self.least == INF:
            pass
        elif self.least > self.every:
            self.limit = max(LEAST, self.rate * max(AIM * self.sla, 1.5 * self.usual))
        elif self.limit < INF and (self.least < self.every / 4 or not self.outside):
            # Not at once: what was outside would come in together, and the bound swing with it.
            self.limit = self.limit * EASE if self.limit < 8 * (LEAST + self.rate * self.sla) else INF
        elif self.limit == INF and self.ended:
            self.usual += (self.spent / self.ended - self.usual) / 4
        if self.limit < INF:
            whole = sum(self.share[at] for at in self.active) or 1.0
            self.fair = [self.limit * part / whole for part in self.share]
        self.active.clear()
        self.least, self.since, self.ended, self.barred = INF, now, 0, 0
        self.outside, self.spent = INF, 0.0

    # What the chain asks

    def stood(self, late: float) -> bool:
        """Whether being so late (ms) comes from standing still, not from much to do."""
        return late > STALE * self.sla

    def shut(self) -> bool:
        """Whether anybody may have to stay outside now."""
        return self.limit < INF or self.stale

    def bars(self, now: float, scheme, tenant: int, repeat: bool, waited: bool) -> float | None:
        """Turns away, before it is taken, a txn that could not be finished in time; the pause to tell, or None."""
        if self.limit == INF and not self.stale and not waited:
            return None
        self.active.add(tenant)
        room = self.limit * (1 - GAINS + GAINS * scheme.gain / self.top)
        if repeat:  # further tries of clients must not keep a collapse up
            room *= REPEATS
        # One that floods pays first: past half of the bound each customer has its part of those that come.
        if (
            not self.stale
            and not waited
            and self.open < max(LEAST, room)
            and (self.open < SHARES * self.limit or self.by[tenant] < self.fair[tenant])
        ):
            return None
        self.barred += 1
        if not self.pauses:
            return 0.0
        return self.sla * min(8.0, 1 + self.excess) * (0.5 + self.p.rng.random())

    def room(self) -> float:
        """How many more may be taken on now."""
        return 0 if self.stale else self.limit - self.open

    def may_dismiss(self, now: float) -> bool:
        """Turning away has its part of the time, too: beyond it those outside wait for their turn."""
        # Refilled by what ends: a txn turned away costs about a tenth of one served.
        self.purse = min(16 * LEAST, self.purse + (now - self.read) * max(self.rate, 1 / self.sla) * CHEAP)
        self.read = now
        if self.purse < 1:
            return False
        self.purse -= 1
        return True

    def queued(self, n: int) -> None:
        """So many wait outside that could not be let in."""
        self.outside = min(self.outside, n)

    def may_repost(self, now: float, txn) -> bool:
        """Further postings have a budget while the bound stands, or they are what holds a collapse up."""
        if self.limit == INF:
            return True
        if self.reposts < 1:
            return False
        self.reposts -= 1
        return True

    # Word of what happened

    def taken(self, now: float, txn) -> None:
        self.open += 1
        self.by[txn.tenant] += 1
        self.reposts = min(self.reposts + RETRIES, 4 * LEAST)

    def over(self, txn, served: bool) -> None:
        self.open -= 1
        self.by[txn.tenant] -= 1
        if served:
            self.ended += 1
            self.spent += max(0.0, self.p.last - txn.born)

    def behind(self) -> bool:
        return self.shut()
