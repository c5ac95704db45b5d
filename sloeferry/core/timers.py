"""The timers of one instance: what is called when, and by how much the host runs late.  No decisions."""

from sloeferry.core.records import Txn


class Timers:
    def __init__(self, host):
        # late: by how much timers run late, the host has no time to spare; of one stall no more than `longest`
        self.host, self.timers, self.token, self.late, self.longest = host, {}, 0, 0.0, 0.0

    def moot(self, token):
        """Whether a timer is for a txn that has been answered: a host need not wake up for it."""
        what = self.timers.get(token, ((),))[-1]
        return bool(what) and what[0].__class__ is Txn and what[0].answered

    def later(self, at, do, *what):
        self.token += 1
        self.timers[self.token] = (at, do, what)
        self.host.wake(at, self.token)

    def woken(self, now, token):
        at, do, what = self.timers.pop(token, (now, None, ()))
        self.late += (min(now - at, self.longest) - self.late) / 8  # one long stall is no want of time
        if do:
            do(now, *what)
