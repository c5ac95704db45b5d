"""What the decisions keep of a scheme, a txn, its postings and a backend: types, no decisions."""

from collections import deque
from math import inf as INF

from sloeferry.core import ports
from sloeferry.core.histogram import Histogram

LEVELS, BOUNDS = (0, 1, 2, 3, 5, 8, 13), (0.5, 1.5, 2.5, 3.4, 4.8, 6.7)  # figures, coarsely; their ends
NEVER_RAN = (ports.TURNED_AWAY, ports.UNREACHED, ports.NEVER_SENT)
BLAMELESS = (ports.NEVER_SENT, ports.UNKNOWN)  # tells nothing of a backend: any may have its answers spoilt
NO_REST = 0, -INF
OUT, MAYBE, NEVER = range(3)  # a posting: no word yet, may have run, known not to have run


class Scheme:
    """What the operators promise for one scheme of txns, and how long its postings take."""

    MUCH, ENOUGH = 0.1, 12  # lost is much; so many postings of another tell whether it loses as much

    def __init__(self, terms, at, former=None):
        """`former`: the same under other settings; what was measured of it goes on."""

        def term(name):
            return terms[f"schemes.{at}.{name}"]

        self.dropped = bool(terms.get(f"schemes.{at}.dropped"))
        self.most = int(terms["limits.most_postings"])
        self.expiry, self.sla, self.gain = term("expiry"), term("sla_time"), term("gain")
        self.kind, self.by_work = term("idempotency"), terms["gain_per"] == "work"
        self.group, self.window = term("group"), term("dedup_window")
        # Of sends to a backend found idle.
        self.took = Histogram(self.sla, 200, [self.sla / 4] * 4, Histogram.FAR_BELOW)
        self.most_left, self.hint, self.hints = 0.0, 0.0, 0  # the longest patience seen; mean hint of cost, of how many
        self.prompt, self.lost = Prompt(), 0.0  # of its postings that no backend refused: left unanswered
        self.lossy_since, self.ends = INF, deque(maxlen=self.ENOUGH)  # since when much is; when the last ones ended
        if former:
            self.took, self.hint, self.hints = former.took, former.hint, former.hints
            self.prompt, self.lost = former.prompt, former.lost

    def ended(self, now, settled):
        """A posting of it was answered, or left unanswered."""
        self.lost += ((not settled) - self.lost) / 16
        self.ends.append(now)
        if self.lost > self.MUCH:
            self.lossy_since = min(self.lossy_since, now)
        elif self.lost < self.MUCH / 4:  # it has passed, not only paused while those who lost it rest
            self.lossy_since = INF

    def tells_of(self, other):
        """Whether enough of its postings have ended since another scheme began to lose: a rare one lags behind."""
        return len(self.ends) == self.ENOUGH and self.ends[0] > other.lossy_since

    def typical(self):
        return self.took.at(0.5)

    def worth(self, size=1.0):
        """The gain of a txn of that size: of each, or of each unit of work."""
        return self.gain * (self.typical() * size if self.by_work else 1.0)

    def size(self, hint):
        """A hint of cost against the mean of the scheme's; 1 without one."""
        if not hint:
            return 1.0
        self.hints = min(100, self.hints + 1)
        self.hint += (hint - self.hint) / self.hints
        return hint / self.hint


class Prompt:
    """Of the postings of one kind (a scheme, a customer) or on one way (to a zone, to a cell): the part answered in
    time of late, in eights.  Those still out count as soon as they are overdue, so what never comes back shows as
    soon as what drags.
    """

    def __init__(self):
        self.part, self.told, self.open, self.unjudged = 1.0, -INF, {}, {}
        self.dragging, self.late, self.factor = False, False, 1.0  # to be kept back; last one; against the best

    def judge(self, now, prompt):
        self.part, self.told, self.late = self.part + (prompt - self.part) / 8, now, not prompt

    def waits(self, now, span):
        """Of a kind that drags one at a time goes on, after one that was late a while later."""
        return self.dragging and bool(self.open or self.late and now - self.told < span)

    def sent(self, posting, judged):
        self.open[posting] = True
        if judged:
            self.unjudged[posting] = True

    def ended(self, now, posting, prompt):
        """Prompt is 1 or 0; None where it tells nothing of how quick they are."""
        self.open.pop(posting, None)
        if self.unjudged.pop(posting, False) and prompt is not None:
            self.judge(now, prompt)

    def look(self, now):
        while self.unjudged and now > (first := next(iter(self.unjudged))).overdue:
            del self.unjudged[first]
            self.judge(now, 0.0)


def compare(sort, now, span):
    """Each one's part against the best of its sort of whom anything was told of late; 1 where it was of none."""
    for one in sort:
        one.look(now)
    best = max([one.part for one in sort if now - one.told < span], default=0.0)
    for one in sort:  # the best is as good as itself, however bad it is
        one.factor = min(1.0, one.part / best) if best else 1.0


class Curve:
    """How a posting stretches with the figure of its backend, by coarse levels of figures."""

    def __init__(self):
        self.seen = [Histogram(1.0, 60) for _ in LEVELS]
        self.stretch = [1.0 + f for f in LEVELS]

    def smooth(self, idle, bound):
        """One not met yet grows from the level below as a full backend's would; `idle`: level 0 is known to be
        idle; `bound`: no level grows by more."""
        below, stretch = 0.0, self.stretch
        for at, seen in enumerate(self.seen):
            guess = below * (LEVELS[at] + 1) / (LEVELS[at - 1] + 1) if at else 1.0
            learned = max(seen.at(0.5), below) if seen.count >= 3 and (at or idle) else guess
            below = stretch[at] = guess if bound and at and guess < learned else learned


class Posting:
    def __init__(self, txn, backend, now, figure, expected):
        self.txn = txn
        self.backend, self.sent, self.figure, self.expected, self.state = backend, now, figure, expected, OUT
        self.how, self.overdue = None, 0.0
        self.dials = backend.own >= backend.links  # no connection there is free

    def judge(self, overdue):
        """To be judged once it ends or is overdue: what drags everywhere tells of no way, a bad way of no kind."""
        self.overdue, good_way, drags = overdue, self.backend.way > 0.3, self.txn.drags()
        for kind in self.txn.kinds:
            kind.sent(self, kind.dragging or good_way and not drags)
        for way in self.backend.ways:
            way.sent(self, not drags)

    def overtaken(self):
        """Three sent there later have settled: this one's connection is dead, its backend is not."""
        done = self.backend.done
        return len(done) == 3 and min(done) > self.sent

    def ended(self, now, how):
        self.state, self.how = NEVER if how in NEVER_RAN else MAYBE, how
        b = self.backend
        if how in (ports.SETTLED, ports.ERRED, ports.TURNED_AWAY):
            b.links = max(b.links, b.own)
        elif how in (ports.UNREACHED, ports.CUT):
            b.links = min(b.links, b.own - 1)
        b.own = max(0, b.own - 1)
        prompt = None if how in BLAMELESS else how == ports.SETTLED and now <= self.overdue
        if prompt is not None and how in (ports.SETTLED, ports.LATE, ports.WITHDRAWN) and not self.txn.drags():
            self.txn.scheme.ended(now, how == ports.SETTLED)
        for kind in self.txn.kinds:
            kind.ended(now, self, prompt if how in (ports.SETTLED, ports.LATE, ports.WITHDRAWN) else None)
        for way in self.backend.ways:
            way.ended(now, self, how == ports.ERRED or prompt if how != ports.TURNED_AWAY else None)


class Txn:
    """A txn taken; `now` to `ends` is all the time there is, `due` is its SLA time."""

    def __init__(self, ref, scheme, now, left, tenant=0, key=0, size=1.0):
        self.ref, self.scheme, self.born, self.tenant, self.key = ref, scheme, now, tenant, key
        self.most = scheme.most  # postings
        self.ends, self.due, self.gain = now + left, now + scheme.sla, scheme.worth(size)
        self.size = size  # its hint of cost, as a multiple of what its scheme's usually say
        self.postings, self.answered, self.kinds = [], False, ()

    def usual(self):
        """How long it takes at an idle backend, in ms."""
        return self.scheme.typical() * self.size

    def drags(self):
        return any(kind.dragging for kind in self.kinds)

    def out(self):
        return any(p.state == OUT for p in self.postings)

    def maybe(self, before=None):
        """The postings (`before` that one, if any) that may have run: out, or ended without proof that they didn't."""
        return [p for p in self.postings[:before] if p.state != NEVER]


class Make:
    """How quick the machines of one kind are, against all machines."""

    def __init__(self, all_machines):
        self.all, self.seen = all_machines, Histogram(1.0, 100, [1.0] * 4)

    QUICKEST = 1 / 8  # no machine is so much quicker than usual: it is the usual that is not known yet

    def pace(self):
        return max(self.QUICKEST, self.seen.at(0.5) / self.all.at(0.5))


class Backend:
    """What this proxy knows of one backend."""

    def __init__(self, ident):
        self.ident, self.zone, self.cell, self.standing, self.launched = ident, 0, 0, ports.READY, 0.0
        self.muted = {}  # the schemes that it leaves unanswered: how often, until when they rest
        self.missing = False  # listed as gone, without a drain before it, and still used
        self.ways, self.way = (), 1.0  # to its zone and to its cell; the worse of them
        self.make = Make(Histogram(1.0, 1, [1.0]))  # shared by all of its kind
        self.fresh_start()

    def fresh_start(self):  # a process just started has no past
        self.others, self.heard = 0.0, -INF  # what other proxies hold here, and as of when
        self.own, self.ghosts = 0, []  # open sends; until when quick errors stay counted
        self.links = 0  # connections there that are likely open
        self.fails, self.errs, self.rest_until, self.waits_since, self.probes_out = 0, 0, 0.0, None, []
        self.slow, self.pace, self.learned = Histogram(1.0, 12, [1.0, 1.0]), 1.0, 0.0
        self.sent = deque()  # (when, work) of late, for the cold budget
        self.done = deque(maxlen=3)  # when the last that settled were sent

    def mutes(self, scheme, now):
        """Whether this scheme rests here."""
        return self.muted.get(scheme, NO_REST)[1] > now

    def mute(self, scheme, now, span):
        often = self.muted.get(scheme, NO_REST)[0] + 1
        self.muted[scheme] = often, now + span * 2 ** min(often, 4)

    def learn(self, ratio, spread, now):
        """Took so much times what its figure explains; `spread`: how all that was expected spreads."""
        make = self.make.pace()
        self.make.all.add(ratio)
        self.make.seen.add(ratio)
        self.slow.add(ratio / make)
        # Not the median: where reports hide a queue, answers are either quick or never come.
        self.pace = max(Make.QUICKEST, make * self.slow.at(0.7) * spread.at(0.5) / spread.at(0.7))
        self.learned = now

    def believed(self, part):
        """Its pace, of which that part is still believed against its kind's."""
        make = self.make.pace()
        return make + (self.pace - make) * part if self.pace != 1.0 else make
