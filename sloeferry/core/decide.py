"""All decisions of one proxy.  A host makes one Proxy an instance and calls it as Front in ports.py
says; it acts on Host there.  Words, times and the meaning of every call are defined in that file.

A txn passes a chain of stages, each of which passes it on, keeps it or ends it:
  Ledger (one answer, expiry) -> Ask (fresh reports) -> Gate (hold or decline)
  -> Reposting (further postings, rule 2) -> Board.choose (the estimate).
What comes back runs through the chain the other way.  Rules holds the four rules: every posting and
every decline goes through it."""

import functools
from bisect import bisect
from collections import defaultdict
from math import inf as INF
from random import Random

from sloeferry.core import ports
from sloeferry.core.histogram import Histogram
from sloeferry.core.keys import Keys
from sloeferry.core.records import BLAMELESS, BOUNDS, OUT, Backend, Curve, Make, Posting, Prompt, Scheme, Txn, compare
from sloeferry.core.stages import Stages
from sloeferry.core.staleness import AT_ONCE, BY_SETTINGS_ALONE, ListStaleness
from sloeferry.core.timers import Timers


class Rules:
    """The four rules.  Nothing is posted or declined but through here."""

    OVERDUE = 0.125  # of the SLA time: what is back by then is in time, whatever was expected

    def __init__(self, proxy):
        self.p = proxy
        self.cold, self.cold_from, self.fall, self.multiple = (
            proxy.term(f"obligations.{name}") for name in ("cold", "cold_from", "fall", "fall_multiple")
        )
        self.copies = int(proxy.term("limits.second_copies"))

    def warmth(self, b, now):
        """The least part of its capacity that a backend has by now; 1 once it is warm."""
        age = max(0.0, now - b.launched)
        return 1.0 if age >= self.cold else self.cold_from + (1 - self.cold_from) * age / self.cold

    def cold_room(self, b, now, work):
        """Rule 4: may this proxy send so much work to this backend now?"""
        if self.warmth(b, now) == 1.0:
            return True
        board, budget = self.p.board, self.multiple * self.warmth(b, now)
        # Hundreds of proxies have parts far below one txn; a report just in speaks for all, for one send.
        recent = b.sent and b.sent[-1][0] > now - self.fall or board.dated or now - b.heard > board.fresh_for
        if not recent and (b.others + b.own + 1) * work <= budget * self.fall / 2:
            return True
        # Its part of one core, less some slack: what a warm one of more cores gets pushed cold ones over.
        share = 0.85 * self.fall / max(1.0, self.p.instances * self.p.processes)
        span = self.fall * max(1.0, work / budget / share)  # a txn over the budget waits longer for its turn
        while b.sent and b.sent[0][0] <= now - span:
            b.sent.popleft()
        # First sends take turns too, or all proxies together push over the just started.
        wait = self.p.turn * self.fall * max(0.0, work / (self.multiple * self.cold_from * share) - 1)
        return now >= b.launched + wait and (not b.sent or sum(w for _, w in b.sent) + work <= budget * share)

    def drops_repeats(self, txn, b):
        """Rule 2: would this backend know a repeat of this txn, or is there none to know?"""
        maybe, scheme = txn.maybe(), txn.scheme
        if not maybe or scheme.kind == "repeatable" or scheme.group == "all":
            return True
        first = maybe[0].backend
        return b.zone == first.zone if scheme.group == "zone" else b.cell == first.cell

    def may_post(self, txn, now, instead=None):
        """Rules 1 and 2, wherever it goes; `instead` is a posting that is about to be withdrawn."""
        out = sum(p.state == OUT and p is not instead for p in txn.postings)
        over = txn.answered or now >= txn.ends or len(txn.postings) >= txn.most or out > self.copies
        return not over and self.may_repeat(txn, now)

    def may_repeat(self, txn, now, before=None):
        """Rule 2: of what was posted (`before` that one) nothing may have run, or repeats do no harm."""
        if not (maybe := txn.maybe(before)) or txn.scheme.kind == "repeatable":
            return True
        return txn.scheme.kind == "referenced" and now < maybe[0].sent + txn.scheme.window - self.p.step

    def in_use(self, b, now):
        """Rule 3: known to run, not draining, and the list no older than it may be."""
        return b.standing == ports.READY and self.list_usable(now)

    def list_usable(self, now):
        """Rule 3: whether the list is young enough to send by; the one reader of its staleness."""
        return self.p.discovery.staleness.usable(now)

    def post(self, txn, b, now, expected):
        """The one place that sends; None where a rule forbids it."""
        work = txn.usual()
        if not (self.in_use(b, now) and self.may_post(txn, now) and self.drops_repeats(txn, b) and self.cold_room(b, now, work)):
            return None
        posting = Posting(txn, b, now, self.p.board.figure(b, now), expected)
        txn.postings.append(posting)
        least = self.OVERDUE * txn.scheme.sla + 4 * self.p.late + 2 * self.p.step
        posting.judge(now + min(txn.scheme.sla, max(least, self.p.board.overdue * expected)))
        b.own, b.waits_since, self.p.board.known[b.ident] = b.own + 1, b.waits_since or now, b
        if self.warmth(b, now) < 1.0:
            b.sent.append((now, work))
        self.p.host.post(txn.ref, b.ident, 0.0)
        return posting

    def finish(self, txn, pause=0.0):
        """Rule 1: the one final answer of a txn that no backend settled."""
        if txn.answered:
            return
        kind, group = txn.scheme.kind, txn.scheme.group
        if not txn.maybe() or kind == "repeatable" or kind == "referenced" and group == "all":
            self.p.host.decline(txn.ref, pause)  # rule 2: it says that trying again is harmless
        else:
            self.p.host.reverse(txn.ref)


class Discovery:
    """When the list is asked for: discovery is shared and of limited capacity, so calls are spread out.  How long the
    list may be used meanwhile is decided by `staleness`."""

    QUICK = 10000.0  # ms: with more patience a failed call is repeated as soon as with this
    # Of the time after which news counts as told, the longest mean pause: with the longest wait for an answer before and
    # behind it (QUICK's quarter is more than discovery takes) an outage is known to go on before that time is over.
    PAUSE = 2 / 9

    def __init__(self, proxy, now, limits):
        self.p, self.fails, self.waiting = proxy, 0, 0
        self.told_since = None  # since when the watch that stands has told its list
        self.asks = proxy.term("discovery") == "subscribe"
        self.patience = proxy.term("obligations.must_ask_in")
        self.staleness = ListStaleness(now, self.patience, self.asks, limits)
        if self.asks:
            proxy.later(now + (proxy.ordinal + proxy.rng.random()) / proxy.instances * self.patience / 4, self.ask)

    def retune(self, patience):
        self.patience = self.staleness.must_ask_in = patience

    def ask(self, now, number=None):
        if number not in (None, self.waiting):
            return  # that call has been answered meanwhile
        self.waiting += 1
        self.staleness.call_began(now)
        self.p.host.watch()
        self.p.later(now + self.patience / 2, self.ask, self.waiting)

    def answer(self, now, scope):
        """Any list answers the call, or shows that the subscription stands; a failure starts anew."""
        self.waiting += 1
        if scope not in (ports.FAILED, ports.ENDED):
            self.fails, self.told_since = 0, self.told_since or now
            self.staleness.answered(now)
            return
        self.staleness.unanswered(now)
        stood, self.told_since = self.told_since is not None and now - self.told_since >= AT_ONCE, None
        if scope == ports.ENDED and stood:
            # Whatever ended it, news may have come meanwhile; and whether discovery is there shows at once.
            return self.p.later(now + self.p.rng.random() * AT_ONCE / 2, self.ask)
        self.fails = min(self.fails + 1, 3)
        wait = min(self.pause() * 2**self.fails, self.PAUSE * self.staleness.limits.news)
        self.p.later(now + wait * (0.5 + self.p.rng.random()), self.ask)

    def pause(self):
        return min(self.patience, self.QUICK) / 16


class Board:
    """The backends: list, reports, own sends, health.  Every pick is made here."""

    HALF_POINT = 0.005  # what a convenience may cost, by its tariff
    CROWD = 0.55  # of the SLA time: a queue that takes longer only overdrives its backend
    QUEUE = 0.1  # of a mean gain: what each place in a queue costs those behind it
    OVERDUE = 0.9  # of all are back by then
    DRAG, AGAIN = 0.2, 0.4  # the part in time at which a kind drags, and no longer does
    SQUEEZED = 0.1  # of dials refused: from there on open connections go first
    HEAVY = 0.3  # of its SLA time: a txn that takes longer goes where it ends first
    WAY = 0.5  # of the part that the best way has in time: one with less is bad
    FAR, SLOW = 4, 1.6  # times as many lost as of any other scheme; a pace beyond reports

    def __init__(self, proxy, now):
        self.p, self.home, self.all = proxy, proxy.zone, {}
        # Listed as ready, with news of late; whether probes go round; of three ends one teaches; last look.
        self.zones, self.cells, self.probes = (defaultdict(Prompt) for _ in range(3))  # ways
        self.open, self.known, self.turning, self.third = [], {}, False, 0
        self.looked, self.blamed, self.missing = -INF, -INF, proxy.term("obligations.only_draining_binds")
        fields = proxy.term("load_info.fields").split(",")
        self.field = fields.index("inflight") if "inflight" in fields else None
        via, self.probing = proxy.term("load_info.via"), proxy.term("limits.probing")
        # Told with answers: backends can be asked first, or what they say is of an age that nobody knows.
        told, self.by_probe = via == "answers", via == "probe"
        self.asked, self.dated = told and self.probing, told and not self.probing
        self.age_limit, self.probe_every, self.fresh_for = 2000.0, 1000.0, 4 * proxy.step
        self.tariff, self.cross = proxy.term("tariffs.probe"), proxy.term("tariffs.cross_zone")
        self.curve = Curve()
        self.stretch = self.curve.stretch
        self.fit, self.ready, self.mean, self.out, self.turnover = [], 0, [0.0, 0.0], [0.0, 0.0], 1.0
        self.makes = defaultdict(functools.partial(Make, Histogram(1.0, 100, [1.0] * 4)))  # of machines
        self.spread = Histogram(1.0, 400, [0.5, 0.7, 1.0, 1.4, 2.0])
        self.smooth()
        self.cured, self.errs, self.refused = 1.0, 0.0, 0.0  # part of erring txns, of postings, of dials
        self.sick, self.keys, self.keyed = (), Keys(), proxy.term("family_info.warm_keys")

    def listed(self, now, scope, lines):
        for ident, zone, kind, cell, standing, _, launched in lines:
            if (b := self.all.get(ident)) is None:
                b = self.all[ident] = Backend(ident)
                if self.probing and not self.turning:
                    self.turning = True
                    self.p.later(now + self.p.rng.random() * self.probe_every, self.probe_in_turn, 0)
            elif launched != b.launched and launched:
                b.fresh_start()
            b.zone, b.cell, b.launched = zone, cell, launched
            self.told(b, standing)
            b.ways, b.make = (self.zones[zone], self.cells[cell]), self.makes[kind]
        self.looked = -INF
        if scope != ports.CHANGES:  # who is missing from a whole list is gone
            named = {line[0] for line in lines}
            for b in self.all.values():
                self.told(b, b.standing if b.ident in named else ports.GONE)
        # Ids are ever new: who is gone, with nothing out, is forgotten, or a long day fills the memory.
        for b in [b for b in self.all.values() if b.standing == ports.GONE and not (b.own or b.probes_out)]:
            del self.all[b.ident]
            self.known.pop(b.ident, None)
        self.open = [b for b in self.all.values() if b.standing == ports.READY]
        self.keys.orders.clear()

    def told(self, b, standing):
        """Where draining alone binds, one merely gone is used until it fails: the list may be wrong."""
        b.missing = standing == ports.GONE and self.missing and b.standing == ports.READY
        b.standing = standing if not b.missing else ports.READY

    def probe_in_turn(self, now, turn):
        """Each backend in use once a second; more often where half a point in a hundred pays for it."""
        every, due = self.probe_every, [b for b in self.known.values() if b.fails or b.probes_out]
        if self.by_probe:
            every = min(every, max(every / 5, len(self.open) * self.tariff / self.HALF_POINT * self.p.gap))
            every, due = every / max(1, len(self.open)), self.open and [self.open[turn % len(self.open)]]
        # One timer for all: with a timer for each, hundreds of proxies do little else.
        self.p.later(now + every, self.probe_in_turn, turn + 1)
        for b in due:
            self.probe(b, now)

    def probe(self, b, now):
        if b.standing == ports.READY and self.probing and len(b.probes_out) < 3:
            b.probes_out.append(now)
            self.known[b.ident] = b
            self.p.host.probe(b.ident)

    def report(self, b, now, report):
        b.waits_since, self.known[b.ident] = now if b.own else None, b
        if self.field is not None and len(report) > self.field:
            b.others, b.heard = max(0.0, round(report[self.field]) - b.own), now

    def bad(self, b, now):
        """A backend that errs, refuses connections or is silent rests, longer each time."""
        b.fails, self.known[b.ident] = b.fails + 1, b
        if b.missing:  # neither the list nor its own answers speak for it
            b.standing, b.missing, self.looked = ports.GONE, False, -INF
            self.open.remove(b)
        if b.fails >= 2 or self.dated:  # where nobody can be asked no second txn is spent to be sure
            rest = self.probe_every / 2 * 2 ** min(b.fails - 2 + 2 * self.dated, 4 + self.dated)
            b.rest_until = now + rest * (0.75 + self.p.rng.random() / 2)

    def erred(self, txn, b, now):
        """Whether the txn or the backend is to blame for an error shows where the txn is tried next.  One
        that errs so often in a row that chance can't have sent it so many bad txns is to blame as well."""
        b.errs += 1
        if any(p.how == ports.ERRED for p in txn.postings[:-1]):
            self.cured -= self.cured / 8  # at two backends: the txn
        elif self.cured > 0.5:
            # A quick error must not make a backend look empty: its send stays counted for a while.
            b.ghosts.append(now + 4 * txn.usual())
        if self.errs**b.errs < 0.001 or txn.scheme.kind == "once-only" and self.cured > 0.5:
            self.bad(b, now)

    def cure(self, txn, now):
        """It settled: whoever erred with it before is to blame."""
        for posting in txn.postings:
            if posting.how == ports.ERRED:
                self.cured += (1 - self.cured) / 8
                self.bad(posting.backend, now)

    def lossy(self, scheme, b, now):
        """Overdue there means lost: the way is bad, or far more of the scheme is than of the others."""
        others = scheme.lost > scheme.MUCH and [s.lost for s in self.p.schemes if s is not scheme and s.tells_of(scheme)]
        return b.way < 1.0 or others and scheme.lost > self.FAR * max(others)

    def silent(self, b, now):
        """A probe is unanswered or, where they are dear, nothing was heard for longer than answers take."""
        # No silence: a proxy with a txn a second hears by its own long txn alone; a late host reads late.
        if self.probing and not self.by_probe:
            return bool(b.probes_out) and now - b.probes_out[0] > max(self.p.ask.patience, 4 * self.p.late)
        return b.waits_since is not None and now - b.waits_since > self.longest

    def usable(self, now):
        """Who may be picked, without the sick as long as more than half are well; anew every few steps."""
        if now < self.looked + self.fresh_for:
            return self.fit
        passed, self.looked = now - self.looked, now
        listed = self.open if self.p.rules.list_usable(now) else []
        self.known = known = {
            ident: b
            for ident, b in self.known.items()
            if b.own or b.ghosts or b.probes_out or b.fails or now - b.heard <= self.age_limit
        }
        sick = {b.ident for b in known.values() if b.standing == ports.READY and (b.rest_until > now or self.silent(b, now))}
        self.sick = sick = sick if 2 * len(sick) < len(listed) else ()
        self.ready = len(listed)
        # Those without news are all alike: a few at random stand for them, or a pick costs a whole fleet.
        some = self.p.rng.sample(listed, min(len(listed), 3 * self.p.ask.AT_ONCE))
        news = [b for b in known.values() if b.standing == ports.READY and b.ident not in sick and listed]
        self.fit = news + [b for b in some if b.ident not in known]
        self.blame(now)
        self.near, self.away = ([b for b in self.fit if (b.zone == self.home) == at] for at in (True, False))
        self.turnover = min([s.typical() for s in self.p.schemes])
        self.fade = self.age_limit / 2 if self.dated else self.turnover
        span = max(self.fade, 16 * self.p.gap)  # a few reports must not speak for all unknown
        heard = [b for b in self.fit if now - b.heard <= self.age_limit]
        warm = [b for b in heard if b.launched <= now - self.p.rules.cold]  # the cold speak for no others
        fresh = [
            (2 ** ((b.heard - now) / span), b.others if warm else self.weight(b.others, self.pace(b, now)), b.zone == self.home)
            for b in warm or heard
        ]
        others = (self.p.instances - 1) / max(self.ready, 1)
        for here in (False, True):
            # Where a crossing is dear zones are loaded apart: a full home must not make the others look full.
            these = [f for f in fresh if f[2] == here or self.cross <= 2 * self.HALF_POINT]
            # Unheard and never tried, a zone with room would stay unheard: it counts as empty until it tells.
            these = these or (fresh if here or not self.dated else ())
            self.mean[here] = sum(w * n for w, n, _ in these) / sum(f[0] for f in these) if these else 0.0
            if self.dated:  # what takes long reports late: what is out tells before it, if all do alike
                out = sum(b.own + len(b.ghosts) for b in known.values() if (b.zone == self.home) == here)
                self.out[here] += (out - self.out[here]) * (1 - 0.5 ** (8 * passed / self.age_limit))
                self.mean[here] = max(self.mean[here], self.out[here] * others)
        return self.fit

    def blame(self, now):
        """What comes back in time of each scheme and customer, from each zone and cell, against the best of
        its sort.  A kind overdue wherever it goes holds places that others need: one at a time goes on, to
        tell when that has ended.  A way bad for this proxy alone shows in no report: it counts for less."""
        if now < self.blamed + self.p.quickest / 16:  # a look at all of them costs time
            return
        kinds, ways = sum(self.p.kinds, []), [w.values() for w in (self.zones, self.cells, self.probes)]
        self.blamed = now
        for sort in (*self.p.kinds, *ways):
            compare(sort, now, self.age_limit)
        for sort in self.p.kinds:
            if all(one.dragging for one in sort if now - one.told < self.age_limit):
                for one in sort:
                    one.dragging = False  # all that are met drag: none of them is to blame
        for kind in kinds:
            before = kind.dragging
            # Once it jams all, others are no better: it is trusted again by what it does itself.
            kind.dragging = kind.part < self.AGAIN if before else kind.part < self.DRAG and kind.factor < 0.25
            if kind.dragging > before:  # what the others suffered from it is held against nobody
                for one in sum(map(list, ways), kinds):
                    one.part = one.part if one.dragging else max(one.part, 0.5)
                    one.unjudged.clear()
                for posting in kind.open if self.p.term("limits.cancel") else ():
                    self.p.host.withdraw(posting.txn.ref, posting.txn.postings.index(posting))
        for way in sum(map(list, ways), []):  # believed ever less, or it would never be tried again
            part = 1 - (1 - way.factor) * 0.5 ** ((now - way.told) / self.age_limit)
            way.factor = max(0.05, part) if part < self.WAY else 1.0
        for b in self.fit:
            b.way = min(b.ways[0].factor, b.ways[1].factor, self.probes[b.zone].factor)

    def smooth(self):
        """What is usual and what is late by now, and the stretch of each level of figures."""
        self.longest = max([s.typical() for s in self.p.schemes]) * self.spread.at(0.98)
        self.overdue = max(3.0, self.spread.at(self.OVERDUE))
        # In a rush what a late start taught would keep all from being sent, and so from better news.
        self.curve.smooth(not self.dated, self.p.rushed() and self.p.ask.few)

    def figure(self, b, now):
        """Latest report + own sends begun after it - own sends it counted that have ended since.
        A report's word on others fades, by half in the time a posting takes, into the mean of fresh ones,
        and is void past the age limit.  Else all proxies flock to whichever backend looked empty last."""
        while b.ghosts and b.ghosts[0] <= now:
            b.ghosts.pop(0)
        own, age, mean = b.own + len(b.ghosts), now - b.heard, self.mean[b.zone == self.home]
        if b.launched > now - self.p.rules.cold and (pace := self.pace(b, now)) > self.SLOW:
            mean = max(0.0, (mean + 1) / pace - 1)  # of the load that all share a cold one holds less
        if age > self.age_limit:
            return own + mean
        # Who looked empty fills at once, by all who heard it; who was full stays so while reports hold.
        half = self.fade if b.others > mean else self.turnover
        return own + mean + (b.others - mean) * 0.5 ** (age / half)

    def pace(self, b, now):
        """How much longer than usual a posting takes here: as measured, or as the least warmth says."""
        if b.slow.count < 6 and (warmth := self.p.rules.warmth(b, now)) < 1.0:
            return max(b.pace, 1 / warmth)
        # What was slow is believed ever less, or it would never be tried again.
        return b.believed(0.5 ** ((now - b.learned) / (4 * self.age_limit)))

    def weight(self, figure, pace, part=1.0):
        """The figure; more for the slow or cold, whose reports mislead, less for who knows the txn's key."""
        return round((figure + 1) * (pace if pace > self.SLOW else 1.0) * part - 1, 9)  # or ties are none

    def stuck(self):
        """Less is out than this proxy's part of one a backend: only what is sent mends its beliefs."""
        # A like part each is too much where parts are below one: there a third of them tells as much.
        out = sum(b.own + len(b.ghosts) * self.dated for b in (self.fit, self.known.values())[self.dated])
        return out < max(1, self.ready / self.p.instances) and (not self.dated or self.p.rng.random() < 1 / 3)

    def choose(self, txn, now, leave_out=()):
        """The lowest estimate wins, ties at random; another zone only where the gain beats the tariff.
        Returns the backend, the odds that it answers within the SLA time, and how long is expected."""
        rules, work, crowd, aside = self.p.rules, txn.usual(), self.CROWD * txn.scheme.sla, None
        free, stretch, cold, found = not txn.postings, self.stretch, now - rules.cold, (None, 0.0, 0.0)
        self.usable(now)
        heavy = txn.scheme.hint and work * stretch[0] > self.HEAVY * txn.scheme.sla
        lowest, keepers = INF, self.keys.keepers(txn.key, self.open)
        seat = max(0.05, 1 - self.refused) if self.refused > self.SQUEEZED else 1.0  # odds of a new one
        more = [b for b in keepers if b.ident not in self.sick and b not in self.fit] if self.fit else []
        for backends in (self.near, self.away):
            # Where not even certainty there would pay for the crossing, the others need no look.
            if found[0] and not self.dated and (1 - found[1]) * txn.gain <= self.cross * self.p.mean_gain:
                break
            if more:
                backends = backends + [b for b in more if (b.zone == self.home) == (backends is self.near)]
            least, ties = INF, []
            for b in backends:
                if b.muted and b.mutes(txn.scheme, now) or not free and (b in leave_out or not rules.drops_repeats(txn, b)):
                    continue
                figure, pace = self.figure(b, now), self.pace(b, now)
                part = self.keys.known if b in keepers else 1.0
                takes = work * pace * part * stretch[bisect(BOUNDS, figure)]
                if full := takes > crowd and takes > 1.5 * work * pace * part * stretch[0]:
                    # Crowded: no odds; out of the race where others were just asked.
                    aside = not (self.p.rushed() and self.stuck()) if aside is None else aside
                    if aside and self.p.ask.few:
                        continue
                if b.launched > cold and not rules.cold_room(b, now, work):  # few are cold: a call costs time
                    continue
                good = b.way * (seat if b.own >= b.links else 1.0)
                weight = takes / good if heavy else self.weight(figure, pace, part / good)
                if weight < least:
                    least, ties = weight, [(b, takes, full)]
                elif weight == least:
                    ties.append((b, takes, full))
            if ties:
                b, takes, full = self.p.rng.choice(ties)
                odds = 0.0 if full else self.spread.under((txn.due - now) / takes)
                # Where nobody can be asked the queue spared counts for a crossing too: others wait in it.
                spared = self.QUEUE * (lowest - least) if self.dated and lowest < INF else 0.0
                price = (self.cross - spared) * self.p.mean_gain
                if found[0] is None or (odds * b.way - found[1]) * txn.gain > price:
                    found = (b, odds * b.way, takes)
                lowest = min(lowest, least)
        return found[0], found[1] / found[0].way if found[0] else 0.0, found[2]

    def learn(self, txn, posting, took, now, how=ports.SETTLED):
        """What a settled (or given up) posting tells of its scheme, its backend and the fleet."""
        self.third = (self.third + 1) % 3  # in a rush a third teaches as much
        if self.third and self.p.rushed() or self.p.stages.behind() or txn.drags():
            return  # behind: times are its own
        typical, level, b, whole = txn.usual(), bisect(BOUNDS, posting.figure), posting.backend, took
        if txn.key:  # against what it would take without: where known, and elsewhere
            kept = b in self.keys.keepers(txn.key, self.open)
            self.keys.learn(kept, took / (typical * self.stretch[level]))
            took /= self.keys.known if kept else 1.0
        b.learn(took / (typical * self.stretch[level]), self.spread, now)
        if self.p.rules.warmth(b, now) < 1.0:  # that a cold one takes long tells of no queue elsewhere
            return
        if how == ports.SETTLED if self.dated else level == 0:  # only the asked are known to be idle
            txn.scheme.took.add(took * self.stretch[0] / self.stretch[level] / txn.size)
        self.curve.seen[level].add(took / typical)
        self.spread.add(whole / posting.expected)
        self.smooth()


class Ledger:
    """First stage: each txn taken has one answer, and before its expiry."""

    def __init__(self, proxy, after):
        self.p, self.after, self.txns = proxy, after, {}

    def take(self, txn, now):
        self.txns[txn.ref] = txn
        self.p.stages.taken(now, txn)
        self.p.later(txn.ends - 2 * self.p.step, self.expire, txn)
        self.after.take(txn, now)

    def expire(self, now, txn):
        if not txn.answered and not txn.out():
            self.end(txn)

    def end(self, txn, pause=None):
        """Given up: said at once, with when to come back where clients are told."""
        pause = pause or (txn.scheme.sla if txn.drags() else txn.usual())
        self.p.rules.finish(txn, pause * self.p.term("limits.retry_after"))
        self.forget(txn)

    def forget(self, txn, served=False):
        if not txn.answered:
            self.p.stages.over(txn, served)
        txn.answered = True
        if not txn.out():
            self.txns.pop(txn.ref, None)


class Ask:
    """Second stage: where a probe costs next to nothing, the lowest are asked before the pick, a few at
    a time until one is idle: among many backends some are, however busy the first few."""

    AT_ONCE, WAVES = 3, 4

    def __init__(self, proxy, after):
        self.p, self.after, self.waiting, self.purse = proxy, after, [], 0.0
        # A point and a half in a hundred, for asking in vain alone: where all are busy, more finds no place.
        few = min(16, int(0.015 / proxy.board.tariff)) if proxy.board.tariff else 8
        self.few, self.patience = few if proxy.board.asked else 0, 4 * proxy.step

    def take(self, txn, now):
        # This proxy itself is behind by a good part of the SLA time: what it takes on makes all others late.
        behind = 0 if self.p.stages.all else 4 * self.p.late / txn.scheme.sla - 1
        if behind > 0 and self.p.rng.random() < behind:
            return self.p.ledger.end(txn, txn.scheme.sla)
        self.purse = min(self.purse + self.few, 8.0 * self.few)
        # Where txns come faster than an answer, asking only adds to the work that keeps this proxy from them.
        self.look(txn, now, 0 if self.p.rushed() else self.WAVES)

    def look(self, txn, now, waves):
        entry = (txn, self.refresh(now) if waves else (), waves)
        if not entry[1]:
            return self.after.take(txn, now)
        self.waiting.append(entry)
        self.p.later(now + self.patience, self.go_on, entry)

    def refresh(self, now):
        """Ask those that look lowest, unless one just heard of is idle; as far as the purse goes."""
        board = self.p.board
        usable = board.usable(now) if self.purse >= 1 else ()
        # Unheard, cold backends count for as much as others: asked first, they would get all of the purse.
        weights = [(board.weight(board.figure(b, now), board.pace(b, now)), b) for b in usable]
        if any(now - b.heard <= self.patience and weight < 0.5 for weight, b in weights):
            self.purse += self.AT_ONCE
            return ()
        lowest = sorted((weight, self.p.rng.random(), b) for weight, b in weights)
        lowest = [b for _, _, b in lowest if now - b.heard > self.patience][: self.AT_ONCE]
        for b in lowest:
            if not b.probes_out and self.purse >= 1:
                self.purse -= 1
                board.probe(b, now)
        return [(b, now) for b in lowest if b.probes_out]

    def heard(self, now):
        """Go on with what waits once all that was asked has answered."""
        for entry in list(self.waiting):
            if all(not b.probes_out or b.probes_out[0] > at for b, at in entry[1]):
                self.go_on(now, entry)
        self.p.gate.drain(now)

    def go_on(self, now, entry):
        if entry in self.waiting:
            self.waiting.remove(entry)
            self.p.board.looked = -INF  # else who was not asked still looks as idle as before
            if not entry[0].answered:
                self.look(entry[0], now, entry[2] - 1)


class Gate:
    """Third stage: what can't meet its SLA time is held for a short while, best gain first, or declined."""

    NEAR = 0.75  # of the odds at an idle backend: less than that is a queue too long

    def __init__(self, proxy, after):
        self.p, self.after, self.held, self.ticking = proxy, after, [], False

    def take(self, txn, now):
        self.held.append(txn)
        self.drain(now)

    def drain(self, now):
        """Post what has good odds, best gain first; decline what has waited in vain or has no room."""
        board, kept, misses, looks, asks = self.p.board, [], 0, 0, self.p.ask.few or self.p.board.by_probe
        most = 9 if self.p.late > self.p.ask.patience / 2 else INF
        self.held.sort(key=lambda t: (-t.gain / t.usual(), t.due))
        for txn in self.held:
            if any(kind.waits(now, 4 * txn.scheme.sla) for kind in txn.kinds):
                self.p.ledger.end(txn)
            if txn.answered:
                continue
            waited = now - txn.born > txn.scheme.sla / 4 * min(2.0, txn.gain / (self.p.mean_gain or 1.0))
            # Little time: after three in vain the next event looks further; one that is behind bounds all.
            look = misses < 3 or waited and looks < most
            looks += look
            b, odds, takes = board.choose(txn, now) if look else (None, 0.0, 0.0)
            pace = txn.usual() * board.stretch[0] * (board.pace(b, now) if b else 1.0)
            bar = self.NEAR * board.spread.under(txn.scheme.sla / pace)
            # Nobody is asked, and nothing was heard of the lowest: only what is sent brings news.
            blind = self.p.rushed() or b and not asks and now - b.heard > board.fade
            if b is not None and (odds >= bar and odds > 0.05 or blind and board.stuck()):
                self.after.post(txn, b, now, takes)
            elif look and waited or board.spread.under((txn.due - now) / pace) < bar:
                self.p.ledger.end(txn)
            else:
                misses += 1
                kept.append(txn)
        # No more are held than can hope for a place: what ends here in the time that a txn may wait.
        out = sum(b.own for b in board.known.values()) if kept else 0
        while kept and len(kept) > 1 + out * kept[-1].scheme.sla / 4 / kept[-1].scheme.typical():
            self.p.ledger.end(kept.pop())
        self.held = kept
        if kept and not self.ticking:
            self.ticking = True
            self.p.later(now + kept[0].scheme.sla / 20, self.tick)

    def tick(self, now):
        self.ticking = False
        if self.held and self.p.late < self.p.ask.patience / 2:  # else this proxy has no time to ask
            self.p.ask.refresh(now)
        self.drain(now)


class Reposting:
    """Last stage: the posting itself, a second look while it is out, and a further one after it."""

    def __init__(self, proxy):
        self.p = proxy

    def post(self, txn, b, now, takes):
        posting = self.p.rules.post(txn, b, now, takes)
        if posting is None and not txn.out():
            self.p.ledger.end(txn)
        elif posting and txn.scheme.kind != "once-only":
            first = now + min(self.p.board.longest, 3 * takes if self.p.rules.copies else INF)
            first = posting.overdue if self.p.board.lossy(txn.scheme, b, now) else first
            self.p.later(first, self.review, txn, posting)

    def review(self, now, txn, posting, asked=False):
        """A backend or a connection fell silent with this txn (it stalls, or died unseen): ask another."""
        p, rules, b = self.p, self.p.rules, posting.backend
        lost = rules.copies and posting.overtaken() or (now >= posting.overdue and p.board.lossy(txn.scheme, b, now))
        if txn.answered or posting.state != OUT or now >= txn.due:
            return
        if not lost and rules.copies and now < posting.sent + p.board.longest:
            return p.later(posting.sent + p.board.longest, self.review, txn, posting)
        if not (lost or p.board.by_probe or asked):
            p.board.probe(b, now)
            return p.later(now + p.ask.patience + p.step, self.review, txn, posting, True)
        lost = lost or p.board.silent(b, now)
        if lost and rules.may_post(txn, now, posting) and p.stages.may_repost(now, txn):
            b, odds, takes = p.board.choose(txn, now, [x.backend for x in txn.postings])
            if odds > 0.3 and rules.copies:
                return self.post(txn, b, now, takes)
            if odds > 0.3 and p.term("limits.cancel"):
                return p.host.withdraw(txn.ref, txn.postings.index(posting))
        p.later(now + txn.scheme.typical() / 4, self.review, txn, posting)

    def back(self, txn, now):
        """A posting ended without an answer: another one, or the end."""
        if txn.answered or txn.out():
            return
        erred = txn.postings[-1].how == ports.ERRED and self.p.board.cured < 0.5
        if now >= txn.ends - 2 * self.p.step or txn.drags() or erred and self.p.rng.random() > 0.2:
            return self.p.ledger.end(txn)  # no time, or no hope but to see whether that has ended
        b, odds, takes = self.p.board.choose(txn, now, [x.backend for x in txn.postings])
        if odds > 0.1 and self.p.rules.may_post(txn, now) and self.p.stages.may_repost(now, txn):
            self.post(txn, b, now, takes)
        elif not txn.maybe():
            self.p.gate.take(txn, now)
        else:
            self.p.ledger.end(txn)


class Proxy(Timers):
    """One instance: takes the host's calls, keeps the timers and the chain."""

    def __init__(self, host, now, seed, terms, limits=BY_SETTINGS_ALONE):
        super().__init__(host)
        # gap: between txns taken; processes: that are this one proxy, while one takes over from another
        self.gap, self.last, self.processes, self.rng = max(50.0, 4 * terms["step"]), now, 1, Random(seed)
        self.schemes, self.kinds = [], ([], [])
        self.settle(terms)
        self.instances, self.ordinal = int(self.term("instances")), int(self.term("ordinal"))
        self.step, self.stages = terms["step"], Stages()  # of other subsystems, as the host installs them
        self.zone, self.turn = self.term("zone"), self.ordinal * 0.618034 % 1  # spread over the bank
        self.mean_gain = sum(s.worth() for s in self.schemes) / len(self.schemes)
        self.discovery, self.board, self.reposting = Discovery(self, now, limits), Board(self, now), Reposting(self)
        self.gate = Gate(self, self.reposting)
        self.ask = Ask(self, self.gate)
        self.ledger = Ledger(self, self.ask)

    def barred(self, now, scheme, tenant, repeat, waited):
        """Before a txn is taken on: the pause with which a stage turns it away, or None."""
        if (pause := self.stages.bars(now, self.schemes[scheme], tenant, repeat, waited)) is not None:
            self.came(now)
        return pause

    def came(self, now):
        self.gap, self.last = self.gap + (min(now - self.last, 1000.0) - self.gap) / 100, now

    def rushed(self):
        return self.gap < 4 * self.step  # txns come faster than a question is answered

    def settle(self, terms):
        """The settings, at the start or others, each scheme and customer at its place (terms.aligned).
        Open txns keep the schemes under which they were taken; what was learned of each goes on."""
        self.terms, self.term, known = terms, terms.__getitem__, self.kinds[1]
        schemes, tenants = (range(int(terms[f"{what}.count"])) for what in ("schemes", "tenants"))
        self.schemes = [Scheme(terms, at, *self.schemes[at : at + 1]) for at in schemes]
        self.kinds = [s.prompt for s in self.schemes], known + [Prompt() for _ in tenants[len(known) :]]
        self.longest = self.quickest = min(s.sla for s in self.schemes if not s.dropped)
        self.rules = Rules(self)

    def retune(self, terms):
        self.settle(terms)
        self.discovery.retune(self.term("obligations.must_ask_in"))
        self.board.smooth()

    def flows(self, now, ref, seq):
        """More of the body has gone out than is kept: no other posting can follow, and how long it takes
        is the client's doing."""
        if txn := self.ledger.txns.get(ref):
            txn.most, posting = 0, txn.postings[seq]
            for one in (*txn.kinds, *posting.backend.ways):
                one.ended(now, posting, None)

    def listed(self, now, scope, lines, answers=True):
        if scope not in (ports.FAILED, ports.ENDED):
            self.board.listed(now, scope, lines)
        if answers and scope != ports.CACHED and self.discovery.asks:
            self.discovery.answer(now, scope)

    def take(self, now, ref, scheme, tenant, key, left, work, repeat):
        scheme = self.schemes[scheme]
        txn = Txn(ref, scheme, now, left, tenant, key if self.board.keyed else 0, scheme.size(work))
        txn.kinds = (scheme.prompt, *self.kinds[1][tenant : tenant + 1])
        self.board.keys.met(txn.key)
        self.mean_gain += (txn.gain - self.mean_gain) / 100
        self.came(now)
        scheme.most_left = max(scheme.most_left, left)
        if repeat and left < scheme.most_left - 2 * self.step:
            txn.due = now + left - (scheme.expiry - scheme.sla)  # its first try began that much earlier
        self.ledger.take(txn, now)

    def started(self, now, ref, seq):
        self.left(now, ref)  # the stream is the client's now

    def ended(self, now, ref, seq, how, answered, took, report):
        txn = self.ledger.txns.get(ref)
        if txn is None or seq >= len(txn.postings) or txn.postings[seq].state != OUT:
            return
        posting, b = txn.postings[seq], txn.postings[seq].backend
        posting.ended(now, how)
        if report:
            self.board.report(b, now, report)
        self.board.errs += ((how == ports.ERRED) - self.board.errs) / 32
        self.board.refused += posting.dials * ((how == ports.UNREACHED) - self.board.refused) / 32
        if how == ports.SETTLED:
            b.fails, b.rest_until, b.errs = 0, 0.0, 0
            b.muted.pop(txn.scheme, None)
            b.done.append(posting.sent)
            self.board.learn(txn, posting, took, now)
            self.board.cure(txn, now)
        elif how in (ports.LATE, ports.WITHDRAWN):
            slow, scheme = took > posting.expected and b.way == 1.0, txn.scheme
            dead = b.probes_out and self.board.silent(b, now)  # no probe is answered: all are lost
            if slow and not dead and (scheme in b.muted or self.board.lossy(scheme, b, now)):
                b.mute(scheme, now, self.board.age_limit)  # it serves the others: it need not rest
            elif slow and not (self.rules.copies and posting.overtaken()):
                self.board.learn(txn, posting, took * 1.5, now, how)
            if self.board.dated:  # given up here, it goes on there: no report says so in time
                b.ghosts.append(now + took)
            late = self.board.dated and how == ports.LATE and took > 2 * posting.expected
            if (late or self.board.silent(b, now)) and not (txn.drags() or b.mutes(scheme, now)):
                self.board.bad(b, now)
        elif how == ports.ERRED:
            self.board.erred(txn, b, now)
        elif how not in BLAMELESS:
            b.ghosts.append(now + 4 * txn.usual())
            if how != ports.UNREACHED or b.links <= 0:  # else it has no seat for one more, but serves
                self.board.bad(b, now)
            if how == ports.TURNED_AWAY:  # a full house, whatever its reports say
                self.board.learn(txn, posting, max(posting.expected, txn.scheme.sla), now, how)
        if how != ports.LATE and not b.own:
            b.waits_since = None
        if answered or txn.answered:
            self.ledger.forget(txn, how == ports.SETTLED)
        else:
            self.reposting.back(txn, now)
        self.gate.drain(now)

    def probed(self, now, backend, how, took, report):
        if (b := self.board.all.get(backend)) is None:
            return
        del b.probes_out[:1]
        if self.board.by_probe and how not in BLAMELESS:  # apart: they may pass where postings are lost
            self.board.probes[b.zone].judge(now, how == ports.SETTLED)
        if how == ports.SETTLED:
            self.board.report(b, now, report)
        elif how not in BLAMELESS:  # this proxy's own want, of a connection say, tells nothing of b
            self.board.bad(b, now)
        self.ask.heard(now)

    def left(self, now, ref):
        if txn := self.ledger.txns.get(ref):
            self.ledger.forget(txn)
