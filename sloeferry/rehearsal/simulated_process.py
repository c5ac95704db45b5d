"""A process in virtual time, which is an asyncio loop.

The loop runs in passes, as a real one does: what is ready at its beginning, and no more.  What it does costs CPU time
(`spend_cpu`); while that lasts nothing else of that process runs, and its clock goes on within the pass.
"""

import asyncio
import contextlib
import signal
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from contextvars import Context
from functools import partial
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any

from sloeferry.rehearsal.loop_handle import Callback, Handle
from sloeferry.rehearsal.loop_socket_calls import LoopSocketCalls
from sloeferry.rehearsal.virtual_time import ScheduledCall, Scheduler

if TYPE_CHECKING:
    from sloeferry.rehearsal.network import SimulatedHost
    from sloeferry.rehearsal.simulated_socket import SimulatedSocket


class SimulatedProcess(LoopSocketCalls):
    """One process on a host, and its loop; times in seconds."""

    def __init__(self, scheduler: Scheduler, host: "SimulatedHost", name: str, costs: Mapping[str, float] | None = None):
        """`costs` is the CPU time of each kind of call it makes, in seconds."""
        super().__init__(host)
        self.scheduler = scheduler
        self.name = name
        self.costs = costs or {}
        self.cpu_share = 1.0  # of a core
        self.is_dead = False
        self.exit_reason: str | None = None  # where it ended by itself
        self.sockets: dict[int, SimulatedSocket] = {}  # by descriptor
        self._ready: deque[Handle] = deque()
        self._incoming: deque[Handle] = deque()
        self._timers: list[tuple[float, int, Handle]] = []  # a heap
        self._timer_count = 0
        self._is_running = False
        self._cpu_seconds = 0.0  # spent in this pass
        self._free_at = 0.0
        self._next_pass: ScheduledCall | None = None
        self._tasks: dict[asyncio.Task, None] = {}
        self._signal_handlers: dict[int, partial] = {}
        self._on_exit: Callable[[SimulatedProcess], object] | None = None
        scheduler.processes.append(self)

    # The clock

    def time(self) -> float:
        """As asyncio calls it."""
        return self.scheduler.now + self._cpu_seconds

    def spend_cpu(self, kind: str) -> None:
        """A call of that kind takes its CPU time."""
        if kind in self.costs:
            self._cpu_seconds += self.costs[kind] / self.cpu_share

    # What asyncio asks of a loop

    def get_debug(self) -> bool:
        """As asyncio calls it."""
        return False

    def is_running(self) -> bool:
        """As asyncio calls it."""
        return self._is_running

    def is_closed(self) -> bool:
        """As asyncio calls it."""
        return self.is_dead

    def create_future(self) -> asyncio.Future:
        """As asyncio calls it."""
        return asyncio.Future(loop=self)

    def create_task(
        self, work: Coroutine[Any, Any, Any], *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task:
        """As asyncio calls it."""
        task = asyncio.Task(work, loop=self, name=name)
        self._tasks[task] = None  # kept until it ends, or chance would collect it
        task.add_done_callback(self._tasks.pop)
        return task

    def call_soon(self, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """As asyncio calls it."""
        return self._enqueue(self._ready, Handle(callback, arguments, context))

    def _enqueue(self, queue: deque[Handle], handle: Handle) -> Handle:
        """For the next pass."""
        if not self.is_dead:
            queue.append(handle)
            if not self._is_running:
                self._wake(self.scheduler.now)
        return handle

    def call_later(self, delay: float, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """As asyncio calls it."""
        return self.call_at(self.time() + delay, callback, *arguments, context=context)

    def call_at(self, when: float, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """As asyncio calls it."""
        handle = Handle(callback, arguments, context, when)
        if not self.is_dead:
            self._timer_count += 1
            heappush(self._timers, (when, self._timer_count, handle))
            if not self._is_running:
                self._wake(when)
        return handle

    def call_exception_handler(self, context: Mapping[str, Any]) -> None:
        """As asyncio calls it."""
        if not self.is_dead:
            error = f"{self.name}: {context.get('message')}: {context.get('exception')!r}"
            self.scheduler.process_errors.append(error)

    def add_signal_handler(self, number: int, callback: Callback, *arguments: Any) -> None:
        """As asyncio calls it."""
        self._signal_handlers[number] = partial(callback, *arguments)

    # Passes

    def _wake(self, when: float) -> None:
        """Has the next pass begin then, or once it is free."""
        when = max(when, self._free_at, self.scheduler.now)
        if self._next_pass is not None:
            if self._next_pass.at <= when:
                return
            self.scheduler.cancel(self._next_pass)
        self._next_pass = self.scheduler.call_at(when, self._run_pass)

    def _run_pass(self) -> None:
        scheduler = self.scheduler
        self._next_pass = None
        if scheduler.now < self._free_at:  # it was paused after this had been planned
            self._wake(self._free_at)
            return
        self._is_running = True
        self._cpu_seconds = 0.0
        scheduler.current = self
        events._set_running_loop(self)
        try:
            self._run_handles()
        finally:
            events._set_running_loop(None)
            scheduler.current = None
            self._is_running = False
            self._free_at = max(self._free_at, scheduler.now + self._cpu_seconds)
            self._cpu_seconds = 0.0
        if self.is_dead:
            return
        if self._ready or self._incoming:
            self._wake(self._free_at)
        elif self._timers:
            self._wake(self._timers[0][0])

    def _run_handles(self) -> None:
        """As libuv has it: timers, what is to be called soon, then what has come over the network.

        After a stall that decides who learns of it in time.
        """
        scheduler, timers = self.scheduler, self._timers
        while timers and (timers[0][0] <= scheduler.now or timers[0][2].callback is None):
            self._run_handle(heappop(timers)[2])
        for _ in range(len(self._ready)):
            self._run_handle(self._ready.popleft())
        for _ in range(len(self._incoming)):
            self._run_handle(self._incoming.popleft())

    def _run_handle(self, handle: Handle) -> None:
        if (callback := handle.callback) is None or self.is_dead:
            return
        try:
            if handle.context is None:
                callback(*handle.arguments)
            else:
                handle.context.run(callback, *handle.arguments)
        except SystemExit as end:
            self._exit(f"exit {end.code}")
        except Exception as error:
            self.call_exception_handler({"message": "a call failed", "exception": error})

    def call_on_input(self, callback: Callback) -> None:
        """Something has come over the network: seen at the end of the next pass."""
        self._enqueue(self._incoming, Handle(callback, (), None))

    def pause(self, seconds: float) -> None:
        """It gets no time at all for so long, and never notices."""
        self._free_at = max(self._free_at, self.scheduler.now + seconds)
        if self._next_pass is not None:
            self.scheduler.cancel(self._next_pass)
            self._next_pass = None
            self._wake(self._free_at)

    # Its end

    def run_main(self, work: Coroutine[Any, Any, Any], on_exit: Callable[["SimulatedProcess"], object]) -> None:
        """Runs this as all that the process is for; with its end the process ends, and `on_exit` is called."""
        self._on_exit = on_exit
        self.create_task(work).add_done_callback(self._main_ended)

    def _main_ended(self, task: asyncio.Task) -> None:
        error = "cancelled" if task.cancelled() else task.exception()
        self._exit(repr(error) if error else "by itself")

    def _exit(self, reason: str) -> None:
        if self.exit_reason is None:
            self.exit_reason = reason
            self.scheduler.call_at(self.scheduler.now, self.kill)
            if self._on_exit:
                self.scheduler.call_at(self.scheduler.now, self._on_exit, self)

    def send_signal(self, number: int) -> None:
        """A signal: its handler is called, or it is killed."""
        if number in self._signal_handlers:
            self.call_soon(self._signal_handlers[number])
        elif number != signal.SIGHUP:
            self.kill()

    def kill(self) -> None:
        """It is gone at once; its machine resets what was open."""
        if self.is_dead:
            return
        for sock in list(self.sockets.values()):
            sock.reset()
        self.discard()

    def discard(self) -> None:
        """Ends what its tasks have half done, here and not when chance collects them; nothing of it reaches anybody."""
        if self.is_dead:
            return
        self.is_dead = True
        self._ready.clear()
        self._incoming.clear()
        self._timers.clear()
        if self._next_pass is not None:
            self.scheduler.cancel(self._next_pass)
        before = self.scheduler.current
        self.scheduler.current = self
        events._set_running_loop(self)
        try:
            for task in list(self._tasks):
                with contextlib.suppress(Exception, asyncio.CancelledError):  # it has to end in any case
                    task.get_coro().close()
        finally:
            events._set_running_loop(before)
            self.scheduler.current = before
        for sock in list(self.sockets.values()):
            sock.close()
        self._tasks.clear()
