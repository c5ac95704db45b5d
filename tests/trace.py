"""The one helper of the tests: a host that prints every decision, and the comparison with a kept trace."""
import difflib
import pathlib

from sloeferry import decide, ports

SCHEMES = [("retryable", "all"), ("dedup", "zone"), ("fragile", "all")]


class Printer:
    """A host that writes each action down, at the time of the test's own clock."""

    def __init__(self, **more):
        self.lines, self.now, self.wakes, self.sent = [], 0.0, [], {}
        terms = {"schemes.count": len(SCHEMES), "instances": 1, "step": 1.0, "limits.most_postings": 4,
                 "limits.cancel": True, "load_info.fields": "inflight", "load_info.via": "answers"}
        for at, (kind, group) in enumerate(SCHEMES):
            terms.update({f"schemes.{at}.{name}": value for name, value in (
                ("idempotency", kind), ("group", group), ("sla_time", 700.0), ("expiry", 1000.0),
                ("gain", 1.0), ("dedup_window", 300.0))})
        terms.update({name.replace("__", "."): value for name, value in more.items()})
        self.proxy = decide.Proxy(self, 0.0, 7, terms)

    def say(self, text):
        self.lines.append(f"{self.now:7.1f}  {text}")

    def post(self, ref, backend, give_up_after):
        seq = self.sent[ref] = self.sent.get(ref, -1) + 1
        self.say(f"post {ref}/{seq} to {backend}")

    def withdraw(self, ref, seq): self.say(f"withdraw {ref}/{seq}")
    def decline(self, ref, pause): self.say(f"decline {ref}, again after {pause:.0f}")
    def reverse(self, ref): self.say(f"reverse {ref}")
    def probe(self, backend): self.say(f"probe {backend}")
    def watch(self): self.say("watch")
    def note(self, text): self.say(f"note {text}")
    def wake(self, at, token): self.wakes.append((at, token))

    def until(self, now):
        """Let the clock run, with every timer that falls due."""
        while self.wakes and min(self.wakes)[0] <= now:
            at, token = min(self.wakes)
            self.wakes.remove((at, token))
            self.now = max(self.now, at)
            self.proxy.woken(self.now, token)
        self.now = now

    def list(self, *lines, scope=ports.WHOLE):
        """Lines: name, then zone, standing and launched where they matter."""
        full = [tuple(line) + (0, ports.READY, 0.0)[len(line) - 1:] for line in lines]
        self.proxy.listed(self.now, scope, [(n, z, 0, z, s, 1.0, at) for n, z, s, at in full])

    def take(self, ref, scheme=0, left=1000.0, **more):
        self.say(f"   txn {ref} of scheme {scheme}")
        self.proxy.take(self.now, ref, scheme, more.get("tenant", 0), 0, left, None, more.get("repeat", False))

    def report(self, name, inflight):
        """What an answer to a probe brings."""
        self.proxy.probed(self.now, name, ports.SETTLED, 0.5, (inflight,))

    def end(self, ref, seq, how, inflight=None, answered=None, took=50.0):
        self.say(f"   {ref}/{seq} ends: {NAMES[how]}" + ("" if inflight is None else f", reports {inflight}"))
        self.proxy.ended(self.now, ref, seq, how, how == ports.SETTLED if answered is None else answered, took,
                         () if inflight is None else (inflight,))


NAMES = "settled erred turned_away late unreached cut withdrawn never_sent unknown".split()


def compare(test, printer, name):
    """The trace must read as the one kept in tests/kept; people read that one."""
    kept = (pathlib.Path(__file__).parent / "kept" / name).read_text().splitlines()
    diff = list(difflib.unified_diff(kept, printer.lines, "kept", "now", lineterm=""))
    test.assertFalse(diff, "\n" + "\n".join(diff))
