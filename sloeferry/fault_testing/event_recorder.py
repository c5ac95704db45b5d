"""What a process of the rig saw, written down: one JSON line an event, with the machine's monotonic time.

A scribe stands where a rehearsal's judge stands: stand-ins ask it what a request costs, which every process knows by
itself (what is asked in a play depends on plan and seed alone), and tell it what happened.  The verdict comes later,
from all records together.
"""

from random import Random
from time import monotonic

import msgspec

from sloeferry.rehearsal.arrivals import plan_requests
from sloeferry.stand_ins.effect_log import EffectLog
from sloeferry.stand_ins.http_messages import request_body
from sloeferry.stand_ins.wire_protocol import RequestOutcome, outcome_of_status

BEAT = 0.02  # seconds between two looks at how late a process runs
encode = msgspec.json.encode


class Scribe(EffectLog):
    def __init__(self, plan, seed, path, clock):
        self.plan, self.clock, self.file = plan, clock, open(path, "wb", 1 << 18)
        self.asks = plan_requests(plan, Random(f"{seed}/arrivals"))
        self.began_at, self.slack_seconds = 0.0, plan.obligations.slack_ms / 1000

    def note(self, at, what, *more):
        # A loop's own time is that of its pass, in whole ms: what comes first is told by the machine's clock.
        self.file.write(encode((monotonic(), at, what, *more)) + b"\n")

    def beat(self, loop, role, due=None):
        """Writes down how late this process runs, whenever it does, from now on."""
        if self.file.closed:  # what the loop still had to call when this process ended
            return
        if due is not None and (late := loop.time() - due) > BEAT:
            self.note(loop.time(), "late", role, late * 1000)
        loop.call_later(BEAT, self.beat, loop, role, loop.time() + BEAT)

    def close(self):
        self.file.close()

    # What stand-ins ask

    def ask(self, ident):
        try:
            number = int(ident[:12], 16) if len(ident) == 16 else -1
        except ValueError:
            return None
        return self.asks[number] if 0 <= number < len(self.asks) else None

    def request_class(self, ident):
        found = self.ask(ident)
        return found and self.plan.request_classes[found.class_index]

    def work_ms(self, ident):
        return self.ask(ident).work_ms

    def always_fails(self, ident):
        return self.ask(ident).always_fails

    def body_bytes(self, ident):
        scheme = self.request_class(ident)
        return scheme.body_bytes if scheme.kind != "repeatable" else 0

    # What callers tell

    def request_started(self, ident, ask, proxy, now, ends):
        self.note(now, "asked", ident.decode(), proxy, ends)

    def request_written(self, ident, now, ends):
        self.note(now, "sent", ident.decode(), ends)

    def response_received(self, ident, now, status, body):
        own = status != 200 or body == ident.ljust(self.response_bytes(ident))
        self.note(now, "answered", ident.decode(), status, own)
        return outcome_of_status(status)

    def may_send_again(self, ident):
        """Whether it crossed the end of its connection is known only once all records are there: not asked again."""
        self.note(self.clock(), "crossed", ident.decode())
        return False

    def response_missing(self, ident, now, why):
        self.note(now, "lost", ident.decode(), why)
        return RequestOutcome.UNANSWERED

    def request_ended(self, ask, how, now):
        ask.outcome, ask.ended_at = how, now
        self.note(now, "ended", ask.number, how, ask.first_sent_at, ask.try_count)

    # What nodes tell

    def body_received(self, node, ident, body, now):
        if ident is not None and self.request_class(ident) and body != request_body(ident, self.body_bytes(ident)):
            self.note(now, "breach", "protocol", f"{node} got a body of {len(body)} bytes that is not {ident.decode()}'s own")

    def attempt_received(self, node, zone, ident, since):
        self.note(self.clock(), "posted", node, zone, ident.decode(), since)

    def acted_on_received(self, node, ident, said, now):
        self.note(now, "acted", node, ident.decode(), said.decode("latin-1"))

    def request_ran(self, node, ident, now):
        self.note(now, "ran", node, ident.decode())

    def congestion_began(self, node):
        self.note(self.clock(), "choked", node)

    def backend_pushed_over(self, node, now, warmth, sent):
        self.note(now, "fell", node, warmth, [(then, work, ident.decode()) for then, work, ident in sent])

    def violation(self, rule, now, text):
        self.note(now, "breach", rule, text)

    # What discovery and the play tell

    def proxy_notified(self, proxy, node, phase, now, launched=0):
        self.note(now, "told", proxy, node, phase, launched)

    def list_sent(self, proxy, revision, now):
        self.note(now, "listed", proxy, revision)

    def state_published(self, node, phase, now):
        self.note(now, "published", node, phase)

    def backend_started(self, node, now, launched):
        self.note(now, "started", node, launched)

    def proxy_killed(self, proxy, now):
        self.note(now, "killed", proxy)

    def proxy_crashed(self, proxy, now, how):
        self.note(now, "crashed", proxy, how)

    def proxy_stopped(self, proxy, now, until):
        self.note(now, "stopped", proxy, until)


def read(paths):
    """All events of those records, (at, what, ...), in the order in which they were written."""
    events = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                try:
                    events.append(msgspec.json.decode(line))
                except msgspec.DecodeError:
                    break  # its writer was killed in the middle of a line
    events.sort(key=lambda event: event[0])
    return [event[1:] for event in events]
