"""Times by which something must have ended.  Nearly all are called off long before: an alarm costs a push."""

from heapq import heappop, heappush


class Alarms:
    """One timer of the loop for all; an entry is (time, number, [task or None])."""

    STEP = 0.002  # seconds: not more often than this

    def __init__(self, loop):
        self.loop, self.heap, self.count, self.timer, self.due = loop, [], 0, None, 0.0

    def set(self, at, task):
        """Cancels the task at that time of the loop, unless called off; what calls it off, and tells if it rang."""
        self.count += 1
        alarm = Alarm(task)
        heappush(self.heap, (at, self.count, alarm))
        if self.timer is None or at < self.due - self.STEP:
            self.arm(at)
        return alarm

    def arm(self, at):
        if self.timer is not None:
            self.timer.cancel()
        self.due = max(at, self.loop.time() + self.STEP)
        self.timer = self.loop.call_at(self.due, self.ring)

    def ring(self):
        self.timer, now = None, self.loop.time()
        while self.heap and (self.heap[0][2].task is None or self.heap[0][0] <= now):
            alarm = heappop(self.heap)[2]
            if alarm.task is not None:
                alarm.rang = True
                alarm.task.cancel()
        if self.heap:
            self.arm(self.heap[0][0])


class Alarm:
    __slots__ = ("task", "rang")

    def __init__(self, task):
        self.task, self.rang = task, False

    def off(self):
        self.task = None
