"""All records of a play joined, and judged: the four rules by the rehearsal's own judge, and the plan's own properties.

What a process of the rig saw counts at the time when it saw it; one machine, one monotonic clock.  Nothing here is
decided by how long anything took but where a rule itself sets a limit.
"""

from collections import defaultdict
from random import Random

from sloeferry.fault_testing.event_recorder import read
from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.rehearsal.judge import Judge
from sloeferry.rehearsal.record import make_record
from sloeferry.stand_ins.effect_log import RecentWork
from sloeferry.stand_ins.wire_protocol import RequestOutcome

MOMENT = 0.4  # seconds in which who was told may not have taken it in yet
SHOWN = 14  # events of one txn that are printed beside a broken rule


class Bench(Judge):
    """A judge that hears all at once, in order, what a rehearsal's is told as it happens."""

    def __init__(self, scenario, planned_requests):
        super().__init__(scenario, planned_requests)
        self.entered, self.apart, self.hows, self.crossed = {}, defaultdict(list), {}, set()
        self.after, self.unfed, self.deferred = {}, defaultdict(list), []
        self.unreached = defaultdict(list)  # proxy -> spans in which discovery could not be reached from there
        self.audit, self.auditing, self.history, self.old = None, None, defaultdict(list), []
        self.late, self.by_ident, self.about, self.lists = defaultdict(float), defaultdict(list), [], {}

    def violation(self, rule, now, text):
        super().violation(rule, now, text)
        self.about.append((rule, now, text))

    def kept_apart(self, found, now):
        """Whether a fault was on the link between a try's caller and its proxy while it was under way."""
        return any(since <= now and until >= found.sent_at for since, until in self.apart[found.proxy])

    def was_proxy_stopped(self, found):
        return super().was_proxy_stopped(found) or self.kept_apart(found, found.deadline)

    def attempt_received(self, node, zone, ident, since):
        # Held on its way to the proxy, it had less time than the proxy could know.
        found = self.tries[ident]
        ends = found.deadline
        if self.kept_apart(found, ends):
            found.deadline = float("inf")
        super().attempt_received(node, zone, ident, since)
        found.deadline = ends

    def on_refused(self, at, link):
        between, _, ends = link.partition("/")
        if between == "callers":  # a relay took the connection for a proxy that was not there
            self.apart["p" + ends].append((at - MOMENT / 4, at + MOMENT / 4))

    def response_missing(self, ident, now, why):
        found = self.tries[ident]
        # Its link was cut or held by a fault: nobody could have answered there.
        if self.kept_apart(found, now):
            return "apart"
        if ident in self.crossed and not found.attempt_count and not self.was_proxy_killed(found):
            return RequestOutcome.NOT_ACCEPTED  # it crossed the proxy's closing of an idle connection
        return super().response_missing(ident, now, why)

    def hear(self, event):
        at, what, *more = event
        while self.deferred and self.deferred[0][0] <= at:
            when, *said = self.deferred.pop(0)
            self.on_told(when, *said)
        if (call := getattr(self, "on_" + what, None)) is not None:
            call(at, *more)

    def on_begin(self, at):
        self.began_at = at

    def on_asked(self, at, ident, proxy, ends):
        ident = ident.encode()
        self.request_started(ident, self.planned_requests[int(ident[:12], 16)], proxy, at, ends)

    def on_sent(self, at, ident, ends):
        self.request_written(ident.encode(), at, ends)

    def on_answered(self, at, ident, status, own):
        ident = ident.encode()
        body = ident.ljust(self.request_class(ident).response_bytes) if own else b""
        self.response_received(ident, at, status, body)

    def on_crossed(self, at, ident):
        self.crossed.add(ident.encode())

    def on_lost(self, at, ident, why):
        self.hows[int(ident[:12], 16)] = self.response_missing(ident.encode(), at, why)

    def on_ended(self, at, number, how, first, tries):
        ask = self.planned_requests[number]
        ask.first_sent_at, ask.try_count = first, tries
        self.request_ended(ask, self.hows.get(number, how) if how == "lost" else how, at)

    def on_entered(self, at, link, ident, since):
        self.entered[f"s-{int(link.rpartition('/')[2]):04x}", ident] = since

    def on_posted(self, at, node, zone, ident, since):
        # On its way through a link it may have waited: it was sent when its first byte went in.
        self.attempt_received(node, zone, ident.encode(), self.entered.pop((node, ident), since))

    def on_ran(self, at, node, ident):
        self.request_ran(node, ident.encode(), at)

    def on_fell(self, at, node, warmth, sent):
        self.backend_pushed_over(node, at, warmth, [RecentWork(then, work, ident.encode()) for then, work, ident in sent])

    def on_choked(self, at, node):
        self.congestion_began(node)

    def on_breach(self, at, rule, text):
        self.violation(rule, at, text)

    def on_told(self, at, proxy, node, phase, launched):
        # What discovery wrote into a link that holds it is written to the proxy once the link lets it go.
        if until := max((until for since, until in self.unfed[proxy] if since <= at < until), default=0.0):
            self.deferred.append((until, proxy, node, phase, launched))
            self.deferred.sort(key=lambda said: said[0])
        else:
            self.proxy_notified(proxy, node, phase, at, launched)

    def on_listed(self, at, proxy, revision):
        self.lists[proxy] = revision, at
        if self.history[proxy] and revision < self.history[proxy][-1][1]:
            self.history[proxy].clear()  # another count, or another replica: what came before says nothing of it
        self.history[proxy].append((at, revision))

    def on_published(self, at, node, phase):
        self.state_published(node, phase, at)

    def on_started(self, at, node, launched):
        self.backend_started(node, at, launched)

    def on_killed(self, at, proxy):
        self.proxy_killed(proxy, at)

    def on_crashed(self, at, proxy, how):
        self.proxy_crashed(proxy, at, how)

    def on_stopped(self, at, proxy, until):
        self.proxy_stopped(proxy, at, until)

    def on_apart(self, at, proxy, until):
        self.apart[proxy].append((at, until))

    def on_auditing(self, at, revision):
        # Between being told and having read it a moment passes, and the audit takes one too.
        self.auditing = at, revision, {proxy: told for proxy, (told, when) in self.lists.items() if when < at - MOMENT}

    def on_audited(self, at, said):
        self.audit, self.after = said, dict(self.lists)

    def on_unreached(self, at, proxy, until):
        self.unreached[proxy].append((at, until))

    def end_deemed_at(self, proxy, node):
        """What discovery could not have told counts as told so long after it could."""
        deemed = super().end_deemed_at(proxy, node)
        if deemed is None:
            return None
        span = self.scenario.discovery.deemed_notified_seconds
        could = max((until for since, until in self.unreached[proxy] if since <= deemed - span < until), default=None)
        return deemed if could is None else could + span

    def on_unfed(self, at, proxy, until):
        self.unfed[proxy].append((at, until))

    def on_acted(self, at, node, ident, said):
        """The posting's own word, as a node saw it: it acts on nothing older than its proxy was told a moment before."""
        proxy = self.tries[ident.encode()].proxy
        incarnation, _, revision = said.partition("list=")[2].partition(":")[0].partition(".")
        told = max((told for when, told in self.history[proxy] if when < at - MOMENT), default=0)
        kept = [*self.stopped_spans.get(proxy, ()), *self.unfed[proxy]]
        if (
            incarnation == "1"
            and int(revision) < told
            and not any(since - MOMENT <= at <= until + MOMENT for since, until in kept)
        ):
            self.old.append(f"{ident} was posted to {node} by {proxy} on revision {revision}, told of {told} before")

    def audit_failures(self):
        """Where the audit's word and the records contradict each other."""
        if self.audit is None:
            return []
        at, newest, told = self.auditing
        found = []
        for row in self.audit["rows"]:
            name, behind = row["name"], "list" in row.get("behind", ())
            if row["state"] == "unknown":
                if not self.silent(name, at):
                    found.append(f"audit: {name} is called unknown, {row['cause']}, and nothing kept it from answering")
            elif any(since <= at <= until + MOMENT for since, until in self.unfed[name]):
                continue  # what was written to it may wait on its way: either may be true
            elif self.after.get(name, (newest,))[0] != newest and not behind:
                found.append(f"audit: {name} was last told revision {self.after[name][0]} of {newest} and is called current")
            elif told.get(name) == newest and behind:
                found.append(f"audit: {name} was told revision {newest} and is called a straggler: {row['cause']}")
        return found

    def silent(self, name, at):
        """Whether it was killed or stopped just before."""
        return self.killed_at.get(name, -1.0) > at - 30 or any(
            since <= at + MOMENT and until >= at - MOMENT for since, until in self.stopped_spans.get(name, ())
        )

    def on_late(self, at, role, ms):
        # What runs late while all is being started measures nothing yet.
        if self.began_at and at > self.began_at:
            self.late[role] = max(self.late[role], ms)


def judge(plan, seed, records, struck, figures, faults=()):
    """The record of a play; `verdict` is kept, broken or void."""
    bench = Bench(plan, plan_requests(plan, Random(f"{seed}/arrivals")))
    bench.proxy_zones = {f"p{at}": plan.network.zones[at % len(plan.network.zones)] for at in range(plan.proxies.count)}
    events = read(records)
    last = max((event[0] for event in events), default=0.0)
    for event in events:
        for word in event[2:]:
            if type(word) is str and len(word) == 16:
                bench.by_ident[word].append(event)
        bench.hear(event)
    for ask in bench.planned_requests:
        if not ask.outcome:
            bench.violation("1", last, f"txn {ask.number} had no end")
    said = make_record(bench)
    expect, failed = plan.expect, []
    if (service := said["service"]["whole"]) is not None and service < expect.service:
        failed.append(f"service {service:.3f}, at least {expect.service:g} was to be")
    if (lost := said["txns"]["lost"]) > expect.lost:
        failed.append(f"{lost} txns lost, {expect.lost} at the most were to be")
    failed += bench.audit_failures() + bench.old[:5]
    if plan.rig.audit_s and bench.audit is None:
        failed.append("the audit never ended")
    failed += [f"the rig itself: {fault}" for fault in faults]
    if figures.get("ready", plan.proxies.count) < plan.proxies.count:
        failed.append(f"{plan.proxies.count - figures['ready']} proxies were never ready")
    late = {role: round(ms, 1) for role, ms in sorted(bench.late.items())}
    void = [f"{role} ran {ms:g} ms late, {plan.rig.late_ms:g} at the most" for role, ms in late.items() if ms > plan.rig.late_ms]
    broken = bool(failed) or any(said["rules"].values())
    if bench.audit:
        said["audit"] = {key: bench.audit[key] for key in ("current", "straggler", "unknown", "acts_after_bound", "reached")} | {
            "causes": sorted(f"{row['name']}: {row['cause']}" for row in bench.audit["rows"] if row["cause"])
        }
    said |= {
        "plan": plan.name,
        "seed": seed,
        "late_ms": late,
        "failed": failed,
        "void": void,
        "figures": figures,
        "struck": {str(at): some for at, (some, _) in struck.items()},
        "evidence": [evidence(bench, *one) for one in bench.about[:5]],
        "verdict": "void" if void else "broken" if broken else "kept",
    }
    return said


def evidence(bench, rule, now, text):
    """A broken rule, and what all processes wrote down of its txn."""
    for word in text.replace(",", " ").split():
        if word in bench.by_ident:
            events = bench.by_ident[word]
            return {
                "rule": rule,
                "text": text,
                "events": [[round(at - bench.began_at, 4), what, *more] for at, what, *more in events[:SHOWN]],
            }
    return {"rule": rule, "text": text, "events": []}
