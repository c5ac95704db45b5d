"""What is counted, from the wire alone: the four rules and service as the operators count it.

Callers, nodes and discovery tell it what they send and see, with the time; the proxies' own word is not heard.
Free of I/O.
"""

from dataclasses import dataclass, field
from math import log, sqrt
from random import Random

from sloeferry.rehearsal.scenario import BadTxns, Heavy, Waits
from sloeferry.stand_ins.http_messages import content

WINDOW = 5.0  # seconds
RULES = ("1", "2", "3", "4", "protocol", "drain", "crash")
TEXTS = 20  # breaches that are kept in words


@dataclass(slots=True)
class Ask:
    """One txn as its client means it; drawn ahead."""

    number: int
    at: float  # seconds from the start
    scheme: int
    customer: int
    client: int
    work: float
    patience: float  # part of the expiry that a try is given
    leaves: bool
    drips: bool
    honours: bool
    bad: bool = False  # errs at any node, worth nothing
    first: float = 0.0
    how: str = ""  # how it ended
    ended: float = 0.0
    tries: int = 0


@dataclass(slots=True)
class Try:
    """One request: an id of its own."""

    ask: Ask
    ends: float
    proxy: str
    at: float
    answered: float = 0.0
    status: int = 0
    posted: int = 0
    runs: int = 0


def arrivals(scenario, rng: Random):
    """All that is asked in a play, the same for the same seed whatever is answered."""
    schemes, customers = scenario.scheme, scenario.customer
    drawn = [t for t in scenario.trouble if isinstance(t, Heavy | BadTxns | Waits)]
    low, high = scenario.callers.patience
    begun, found, pieces = 0.0, [], list(scenario.callers.curve)
    if sum(length for length, _ in pieces) < scenario.seconds:
        pieces.append((scenario.seconds, pieces[-1][1]))
    weights = [
        1 / (1 + scenario.callers.skew) ** (client % len(scenario.network.zones)) for client in range(scenario.callers.clients)
    ]
    for length, rate in pieces:
        at, end = begun, min(begun + length, scenario.seconds)
        while rate and (at := at + rng.expovariate(rate)) < end:
            scheme = rng.choices(range(len(schemes)), [s.share for s in schemes])[0]
            customer = rng.choices(range(len(customers)), [c.share for c in customers])[0] if customers else 0
            told = schemes[scheme]
            work = told.work_ms * (rng.lognormvariate(*shape(told.spread)) if told.spread else 1.0)
            bad = False
            for trouble in drawn:
                if (
                    strikes(trouble, told, customers[customer : customer + 1])
                    and trouble.at <= at < trouble.at + trouble.lasts
                    and rng.random() < trouble.part
                ):
                    if isinstance(trouble, Heavy):
                        work *= trouble.times
                    elif isinstance(trouble, Waits):
                        work += trouble.ms
                    else:
                        bad = True
            found.append(
                Ask(
                    len(found),
                    at,
                    scheme,
                    customer,
                    rng.choices(range(scenario.callers.clients), weights)[0],
                    work,
                    rng.uniform(low, high),
                    rng.random() < scenario.callers.impatient,
                    bool(scenario.callers.drip_ms) and rng.random() < 0.125,
                    rng.random() < scenario.callers.honour,
                    bad,
                )
            )
        begun += length
        if begun >= scenario.seconds:
            break
    return found


def strikes(trouble, scheme, customer):
    """Whether a trouble that is drawn with the arrivals is one of this scheme's, or of this customer's (if any)."""
    if isinstance(trouble, Heavy):
        return trouble.scheme == scheme.name
    return isinstance(trouble, BadTxns) or any(c.name == trouble.customer for c in customer)


def shape(cv):
    """Of a lognormal with mean 1 and that coefficient of variation."""
    variance = log(1 + cv * cv)
    return -variance / 2, sqrt(variance)


@dataclass
class Judge:
    """`proxies`: the zone of each."""

    scenario: object
    asks: list
    begin: float = 0.0
    proxies: dict = field(default_factory=dict)

    def __post_init__(self):
        self.tries, self.breaches, self.texts = {}, dict.fromkeys(RULES, 0), []
        self.gone, self.deemed, self.killed, self.stops = {}, {}, {}, {}
        self.launched, self.heard, self.fallen = {}, {}, 0  # node -> when it started cold, in both clocks
        self.work_done = self.probe_work = 0.0
        self.probes = self.crossings = self.postings = self.repeats = 0
        self.choked_nodes = {}
        rules = self.scenario.obligations
        self.grace, self.slack = rules.drain_grace_ms / 1000, rules.slack_ms / 1000

    def breach(self, rule, now, text):
        self.breaches[rule] += 1
        if len(self.texts) < TEXTS:
            self.texts.append(
                f"{now - self.begin:9.4f} rule {rule}: {text}" if rule.isdigit() else f"{now - self.begin:9.4f} {rule}: {text}"
            )

    # The ledger, for nodes

    def scheme(self, ident):
        found = self.tries.get(ident)
        return self.scenario.scheme[found.ask.scheme] if found else None

    def work(self, ident):
        return self.tries[ident].ask.work

    def bad(self, ident):
        return self.tries[ident].ask.bad

    def proxy(self, ident):
        """The proxy that has this try."""
        return self.tries[ident].proxy

    def latest(self, proxy):
        """When a proxy was last asked anything."""
        return max((found.at for found in self.tries.values() if found.proxy == proxy), default=0.0)

    def answer_size(self, ident):
        return self.scheme(ident).answer

    def body_size(self, ident):
        scheme = self.scheme(ident)
        return scheme.body if scheme.kind != "repeatable" else 0

    def got(self, node, ident, body, now):
        """A request came to a node whole: its body is the one that its client sent."""
        if self.scheme(ident) and body != content(ident, self.body_size(ident)):
            self.breach("protocol", now, f"{node} got {len(body)} bytes as the body of {name(ident)}, which are not its own")

    def over(self, ident, now):
        return now >= self.tries[ident].ends

    # What callers tell

    def asked(self, ident, ask, proxy, now, ends):
        """A request is being written; `sent` tells when its last byte was."""
        self.tries[ident] = Try(ask, ends, proxy, now)

    def sent(self, ident, now, ends):
        self.tries[ident].at, self.tries[ident].ends = now, ends

    def answered(self, ident, now, status, body):
        """A whole answer came; how the try ended."""
        found, scheme = self.tries[ident], self.scheme(ident)
        if found.answered:
            self.breach("1", now, f"{name(ident)} was answered twice")
        found.answered, found.status = now, status
        if now > found.ends + self.slack and not self.stood(found):
            self.breach("1", now, f"{name(ident)} was answered {1000 * (now - found.ends):.0f} ms past its expiry")
        if status == 200:
            if not found.runs and scheme.kind != "referenced" or body != ident.ljust(scheme.answer):
                self.breach("1", now, f"{name(ident)} was served what no node made for it")
            return "settled"
        if status in (429, 503):
            if found.runs:
                self.declined_ran(ident, now, scheme)
            return "declined"
        return "reversed"

    def declined_ran(self, ident, now, scheme):
        if scheme.kind == "once-only" or scheme.kind == "referenced" and scheme.group != "all":
            self.breach("2", now, f"{name(ident)}, {scheme.kind}, was declined and has run")

    def unheard(self, ident):
        """Whether a request may have crossed the end of an idle connection: no proxy died, and no node has it."""
        found = self.tries[ident]
        return not found.posted and not self.died(found)

    def died(self, found):
        """Whether its proxy was killed while it had this."""
        return self.killed.get(found.proxy, -1.0) >= found.at - self.slack

    def lost(self, ident, now, why):
        """No answer came: its connection ended, or its time did.  A proxy that was killed with it is excused."""
        found = self.tries[ident]
        if self.died(found):
            return "killed"
        if self.stood(found):
            return "late"
        self.breach("1", now, f"{name(ident)} got no answer from {found.proxy}: {why}")
        return "lost"

    def stopped(self, proxy, now, until):
        self.stops.setdefault(proxy, []).append((now, until))

    def stood(self, found):
        """Whether its proxy's machine stood still at its expiry, or for half of its time: nobody can answer then."""
        spans = [
            (min(until, found.ends) - max(since, found.at), since <= found.ends <= until + self.slack)
            for since, until in self.stops.get(found.proxy, ())
        ]
        return any(at_end for _, at_end in spans) or sum(max(0.0, span) for span, _ in spans) >= (found.ends - found.at) / 2

    def ended(self, ask, how, now):
        ask.how, ask.ended = how, now

    # What nodes tell

    def posted(self, node, zone, ident, since):
        found = self.tries[ident]
        found.posted += 1
        self.postings += 1
        if since > found.ends + self.slack:
            self.breach("1", since, f"{name(ident)} was sent to {node} {1000 * (since - found.ends):.0f} ms past its expiry")
        if found.answered and since > found.answered + self.slack:
            self.breach("1", since, f"{name(ident)} was sent to {node} after its answer")
        self.crossings += self.proxies[found.proxy] != zone
        told = self.told_when(found.proxy, node)
        if told is not None and since > told + self.grace + self.slack:
            self.breach("3", since, f"{name(ident)} was sent to {node} {1000 * (since - told):.0f} ms after its proxy was told")

    def told_when(self, proxy, node):
        """When that proxy was told, or counts as told, that this node wants nothing new; None if it does want."""
        known = [when for when in (self.gone.get((proxy, node)), self.deemed_when(proxy, node)) if when is not None]
        return min(known, default=None)

    def deemed_when(self, proxy, node):
        """When that proxy counts as told of this node's end, whether or not word of it arrived."""
        return self.deemed.get(node)

    def acted(self, node, ident, said, now):
        pass

    def ran(self, node, ident, now):
        found, scheme = self.tries[ident], self.scheme(ident)
        found.runs += 1
        if found.runs > 1:
            self.repeats += 1
            if scheme.kind != "repeatable":
                self.breach("2", now, f"{name(ident)}, {scheme.kind}, ran again, on {node}")
        if found.status in (429, 503):
            self.declined_ran(ident, now, scheme)

    def worked(self, ms):
        self.work_done += ms

    def probed(self, node, work):
        self.probes += 1
        self.probe_work += work

    def choked(self, node):
        self.choked_nodes[node] = None

    # What discovery and the play tell

    def listed(self, proxy, revision, now):
        pass

    def told(self, proxy, node, phase, now, launched=0):
        if self.heard.get((proxy, node), (0, 0.0))[0] != launched:
            self.heard[proxy, node] = launched, now
        if phase == "active":
            self.gone.pop((proxy, node), None)
        else:
            self.gone.setdefault((proxy, node), now)

    def published(self, node, phase, now):
        if phase == "active":
            self.deemed.pop(node, None)
        else:
            self.deemed.setdefault(node, now + self.scenario.discovery.deemed_s)

    def started(self, node, now, launched):
        """It runs again: what was never told of its end counts as told no more.  `launched`: as discovery will say,
        in ms."""
        self.deemed.pop(node, None)
        self.launched[node] = now, launched

    def knew_start(self, node, ident, then):
        """Whether the proxy of a try had been told that this node has started anew, or counted as told."""
        began, launched = self.launched.get(node, (then, 0))
        heard, when = self.heard.get((self.tries[ident].proxy, node), (0, 0.0))
        return heard >= launched and when <= then or then >= began + self.scenario.discovery.deemed_s

    def fell(self, node, now, warmth, sent):
        """Rule 4 holds against those who could know: two thirds of the work came from who was told."""
        self.fallen += 1
        if (
            sum(work for then, work, ident in sent if self.knew_start(node, ident, then))
            >= sum(work for _, work, _ in sent) * 2 / 3
        ):
            self.breach("4", now, f"{node} fell over at {warmth:.2f} of its capacity")

    def was_killed(self, proxy, now):
        self.killed[proxy] = now

    def crashed(self, proxy, now, how):
        self.breach("crash", now, f"{proxy} ended: {how}")
        self.was_killed(proxy, now)

    # The figures

    def in_time(self, ask):
        return ask.how == "settled" and ask.ended - ask.first <= self.scenario.scheme[ask.scheme].sla_ms / 1000

    def gain(self, asks):
        return sum(self.scenario.scheme[a.scheme].gain for a in asks if not a.bad)

    def share(self, asks):
        asked = self.gain(asks)
        return self.gain(filter(self.in_time, asks)) / asked if asked else None

    def record(self):
        """All that a play is worth telling, for one seed the same to the byte."""
        scenario, asks = self.scenario, [ask for ask in self.asks if ask.how]
        windows = [[] for _ in range(max(1, int(-(-scenario.seconds // WINDOW))))]
        for ask in asks:
            windows[min(int(ask.at // WINDOW), len(windows) - 1)].append(ask)
        pairs = [a + b for a, b in zip(windows, windows[1:])] or windows
        enough = len(asks) / len(windows) / 4  # a window with next to nobody is no worst one
        parts = {
            "whole": self.share(asks),
            "worst_10s": least(self.share(pair) for pair in pairs if len(pair) >= enough),
            "worst_scheme": least(self.share([a for a in asks if a.scheme == at]) for at in range(len(scenario.scheme))),
            "worst_customer": least(
                self.share([a for a in asks if a.customer == at]) for at in range(max(1, len(scenario.customer)))
            ),
        }
        weights = {key: getattr(scenario.goal, key) for key in parts}
        total = sum(weights.values())
        count, prices = max(1, len(asks)), scenario.prices
        gain = self.gain(asks) or 1.0
        late = self.gain(
            a for a in asks if a.how not in ("settled", "left") and a.ended - a.first > scenario.scheme[a.scheme].sla_ms / 1000
        )
        useful = sum(a.work for a in asks if a.how == "settled")
        asked = sum(a.work for a in asks) or 1.0
        prices = {
            "waste": prices.waste * max(0.0, self.work_done + self.probe_work - useful) / asked,
            "late": prices.late * late / gain,
            "cross": prices.cross * self.crossings / count,
            "probe": prices.probe * self.probes / count,
        }
        # Where nobody asked anything, nothing was left undone.
        mixed = sum(weights[key] * (1.0 if parts[key] is None else parts[key]) for key in parts) / total
        hows = [a.how for a in asks]
        return {
            "scenario": scenario.name,
            "service": {
                "total": near(mixed - sum(prices.values())),
                **{key: near(value) for key, value in parts.items()},
                "prices": {key: near(value) for key, value in prices.items()},
            },
            "rules": dict(self.breaches),
            "breaches": self.texts,
            "windows": [
                {
                    "at": near(at * WINDOW),
                    "asked": len(window),
                    "service": near(self.share(window)),
                    **{how: sum(a.how == how for a in window) for how in ("settled", "declined", "reversed")},
                }
                for at, window in enumerate(windows)
            ],
            "txns": {
                "asked": len(asks),
                "in_time": sum(map(self.in_time, asks)),
                **{
                    how: hows.count(how)
                    for how in ("settled", "declined", "reversed", "lost", "killed", "left", "untaken", "late")
                },
                "tries": sum(a.tries for a in asks),
                "postings": self.postings,
                "runs_again": self.repeats,
                "probes": self.probes,
                "crossings": self.crossings,
            },
            "nodes": {"choked": len(self.choked_nodes), "fell": self.fallen, "work_s": near(self.work_done / 1000)},
        }


def name(ident):
    return ident.decode("latin-1")


def least(values):
    return min((value for value in values if value is not None), default=None)


def near(value):
    return None if value is None else round(value, 6)
