"""Virtual time: one queue of events for a whole bank, and processes, each with an asyncio loop that runs in it.

Nothing here reads a clock, an id or a hash, so that a play depends on its scenario and its seed alone.  A process's
loop runs in passes, as a real one does: what is ready at its beginning, and no more.  What it does costs CPU time
(`spend`); while that lasts nothing else of that process runs, and its clock goes on within the pass.
"""

import asyncio
import signal
from asyncio import events
from collections import deque
from heapq import heappop, heappush
from random import Random

BEGIN = 1000.0  # what monotonic clocks show at the start, in seconds


class World:
    """The clock and what is to happen; `current` is the process that runs now."""

    LUCK = ("network", "proxy", "roster")  # what another draw of chance on the same day changes

    def __init__(self, seed, epoch=0.0, chance=0):
        self.seed, self.chance, self.now, self.epoch = seed, chance, BEGIN, epoch - BEGIN
        self.heap, self.count, self.current = [], 0, None
        self.faults, self.processes = [], []
        self.events = 0

    def rng(self, what):
        """A source of chance for one purpose: what another draws changes nothing in it."""
        return Random(
            f"{self.seed}.{self.chance}/{what}" if self.chance and what.startswith(self.LUCK) else f"{self.seed}/{what}"
        )

    def at(self, when, call, *what):
        """Has it called then; the event, for `off`."""
        self.count += 1
        event = [max(when, self.now), self.count, call, what]
        heappush(self.heap, event)
        return event

    def after(self, seconds, call, *what):
        return self.at(self.now + seconds, call, *what)

    @staticmethod
    def off(event):
        event[2] = None

    def run(self, until):
        """Lets time pass."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, call, what = heappop(heap)
            if call is not None:
                self.now = when
                self.events += 1
                call(*what)
        self.now = max(self.now, until)

    def monotonic(self):
        return self.current.time() if self.current else self.now

    def unix(self):
        return self.epoch + self.monotonic()

    def end(self):
        """Buries all: what is left half done must not wake up when it is collected."""
        self.heap.clear()
        for process in self.processes:
            process.bury()


class Handle:
    """What a loop was asked to call; asyncio's own reads no more of it than this."""

    __slots__ = ("call", "what", "context", "due")

    def __init__(self, call, what, context, due=None):
        self.call, self.what, self.context, self.due = call, what, context, due

    def cancel(self):
        self.call = None

    def cancelled(self):
        return self.call is None

    def when(self):
        return self.due


class Process(asyncio.AbstractEventLoop):
    """One process on a host, and its loop.  `costs` is the CPU time in seconds of each kind of call it makes."""

    def __init__(self, world, host, name, costs=None):
        self.world, self.host, self.name, self.costs = world, host, name, costs or {}
        self.share = 1.0  # of a core that it gets
        self.ready, self.timers, self.count, self.incoming = deque(), [], 0, deque()
        self.running, self.cost, self.free, self.plan = False, 0.0, 0.0, None
        self.dead, self.tasks, self.socks, self.signals = False, {}, {}, {}
        self.left = self.over = None  # how it ended by itself; who is told
        world.processes.append(self)

    # The clock

    def time(self):
        return self.world.now + self.cost

    def spend(self, kind):
        if kind in self.costs:
            self.cost += self.costs[kind] / self.share

    # What asyncio asks of a loop

    def get_debug(self):
        return False

    def is_running(self):
        return self.running

    def is_closed(self):
        return self.dead

    def create_future(self):
        return asyncio.Future(loop=self)

    def create_task(self, work, *, name=None, context=None):
        task = asyncio.Task(work, loop=self, name=name)
        self.tasks[task] = None  # kept until it ends, or chance would collect it
        task.add_done_callback(self.tasks.pop)
        return task

    def call_soon(self, call, *what, context=None):
        return self.put(self.ready, Handle(call, what, context))

    def put(self, queue, handle):
        """For the next pass."""
        if not self.dead:
            queue.append(handle)
            if not self.running:
                self.wake(self.world.now)
        return handle

    def call_later(self, delay, call, *what, context=None):
        return self.call_at(self.time() + delay, call, *what, context=context)

    def call_at(self, when, call, *what, context=None):
        handle = Handle(call, what, context, when)
        if not self.dead:
            self.count += 1
            heappush(self.timers, (when, self.count, handle))
            if not self.running:
                self.wake(when)
        return handle

    def call_exception_handler(self, context):
        if not self.dead:
            self.world.faults.append(f"{self.name}: {context.get('message')}: {context.get('exception')!r}")

    def add_signal_handler(self, number, call, *what):
        self.signals[number] = call, what

    # Its course

    def wake(self, when):
        """Has the next pass begin then, or once it is free."""
        when = max(when, self.free, self.world.now)
        if self.plan is not None:
            if self.plan[0] <= when:
                return
            self.world.off(self.plan)
        self.plan = self.world.at(when, self.turn)

    def turn(self):
        """One pass."""
        world, timers, ready = self.world, self.timers, self.ready
        if world.now < self.free:  # it was halted after this had been planned
            self.plan = None
            return self.wake(self.free)
        self.plan, self.running, self.cost = None, True, 0.0
        world.current = self
        events._set_running_loop(self)
        try:
            # As libuv has it: timers, what is to be called soon, then what has come over the network.  After a stall
            # that decides who learns of it in time.
            while timers and (timers[0][0] <= world.now or timers[0][2].call is None):
                self.run(heappop(timers)[2])
            for _ in range(len(ready)):
                self.run(ready.popleft())
            for _ in range(len(self.incoming)):
                self.run(self.incoming.popleft())
        finally:
            events._set_running_loop(None)
            world.current, self.running = None, False
            self.free, self.cost = max(self.free, world.now + self.cost), 0.0
        if self.dead:
            return
        if ready or self.incoming:
            self.wake(self.free)
        elif timers:
            self.wake(timers[0][0])

    def run(self, handle):
        if (call := handle.call) is None or self.dead:
            return
        try:
            if handle.context is None:
                call(*handle.what)
            else:
                handle.context.run(call, *handle.what)
        except SystemExit as end:
            self.exit(f"exit {end.code}")
        except Exception as fault:
            self.call_exception_handler({"message": "a call failed", "exception": fault})

    def came(self, react):
        """Something has come over the network: seen at the end of the next pass."""
        self.put(self.incoming, Handle(react, (), None))

    def halt(self, seconds):
        """It gets no time at all for so long, and never notices."""
        self.free = max(self.free, self.world.now + seconds)
        if self.plan is not None:
            self.world.off(self.plan)
            self.plan = None
            self.wake(self.free)

    def main(self, work, over):
        """Runs this as all that the process is for; with its end the process ends, and `over` is called."""

        def done(task):
            fault = task.exception() if not task.cancelled() else "cancelled"
            self.exit(repr(fault) if fault else "by itself")

        self.over = over
        self.create_task(work).add_done_callback(done)

    def exit(self, how):
        if self.left is None:
            self.left = how
            self.world.at(self.world.now, self.kill)
            if self.over:
                self.world.at(self.world.now, self.over, self)

    def signal(self, number):
        if number in self.signals:
            call, what = self.signals[number]
            self.call_soon(call, *what)
        elif number != signal.SIGHUP:
            self.kill()

    def kill(self):
        """It is gone at once; its machine resets what was open."""
        if self.dead:
            return
        for sock in list(self.socks.values()):
            sock.reset()
        self.bury()

    def bury(self):
        """Ends what its tasks have half done, here and not when chance collects them; nothing of it reaches anybody."""
        if self.dead:
            return
        self.dead = True
        self.ready.clear()
        self.incoming.clear()
        self.timers.clear()
        if self.plan is not None:
            self.world.off(self.plan)
        before, self.world.current = self.world.current, self
        events._set_running_loop(self)
        try:
            for task in list(self.tasks):
                try:
                    task.get_coro().close()
                except (Exception, asyncio.CancelledError):
                    pass  # it had to end in any case
        finally:
            events._set_running_loop(before)
            self.world.current = before
        for sock in list(self.socks.values()):
            sock.close()
        self.tasks.clear()

    # The network (network.py)

    async def sock_recv_into(self, sock, buffer):
        self.spend("read")
        while True:
            try:
                return sock.recv_into(buffer)
            except BlockingIOError:
                await sock.until_readable()

    async def sock_sendall(self, sock, data):
        self.spend("write")
        view = memoryview(data)
        while True:
            try:
                view = view[sock.send(view) :]
                if not view:
                    return
            except BlockingIOError:
                await sock.until_writable()

    async def sock_connect(self, sock, address):
        self.spend("dial")
        await sock.connect(address)

    def add_reader(self, sock, call, *what):
        sock.watch(call, *what)

    def remove_reader(self, sock):
        sock.watch(None)

    async def create_server(self, factory, host=None, port=None, *, backlog=128, **_):
        return self.host.net.server(self, factory, (host, port), backlog)

    async def create_connection(self, factory, host=None, port=None, **_):
        return await self.host.net.connection(self, factory, (host, port))
