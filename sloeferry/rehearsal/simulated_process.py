"""An asyncio event loop that simulates one process in virtual time.

The loop runs in iterations, as a real one does: each runs the callbacks that were ready at its start.  Calls of system functions
cost CPU time (`spend_cpu`), which advances the process's clock within the iteration and delays its next one.
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
    """One process on a simulated host, which is also its event loop; times in seconds."""

    def __init__(self, scheduler: Scheduler, host: "SimulatedHost", name: str, costs: Mapping[str, float] | None = None):
        """Create a process; `costs` holds the CPU time of each kind of call, in seconds."""
        super().__init__(host)
        self.scheduler = scheduler
        self.name = name
        self.costs = costs or {}
        self.cpu_share = 1.0  # share of a core
        self.is_dead = False
        self.exit_reason: str | None = None  # set when its main task ends or SystemExit is raised, not by `kill`
        self.sockets: dict[int, SimulatedSocket] = {}  # by descriptor
        self._ready: deque[Handle] = deque()
        self._incoming: deque[Handle] = deque()
        self._timers: list[tuple[float, int, Handle]] = []  # a heap
        self._timer_count = 0
        self._is_running = False
        self._cpu_seconds = 0.0  # spent in this iteration
        self._busy_until = 0.0
        self._next_iteration: ScheduledCall | None = None
        self._tasks: dict[asyncio.Task, None] = {}
        self._signal_handlers: dict[int, partial] = {}
        self._exit_callback: Callable[[SimulatedProcess], object] | None = None
        scheduler.processes.append(self)

    # The clock

    def time(self) -> float:
        """Return the process's monotonic clock, which includes the CPU time spent in this iteration."""
        return self.scheduler.now + self._cpu_seconds

    def spend_cpu(self, kind: str) -> None:
        """Advance the process's clock by the CPU time of a call of that kind, divided by its share of a core."""
        if kind in self.costs:
            self._cpu_seconds += self.costs[kind] / self.cpu_share

    # Methods of AbstractEventLoop

    def get_debug(self) -> bool:
        """Return False: there is no debug mode."""
        return False

    def is_running(self) -> bool:
        """Return whether an iteration of this loop is running."""
        return self._is_running

    def is_closed(self) -> bool:
        """Return whether the process has ended."""
        return self.is_dead

    def create_future(self) -> asyncio.Future:
        """Return a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coroutine: Coroutine[Any, Any, Any], *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.Task(coroutine, loop=self, name=name)
        self._tasks[task] = None  # asyncio holds weak references: the garbage collector could destroy it
        task.add_done_callback(self._tasks.pop)
        return task

    def call_soon(self, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """Schedule a callback for the next iteration."""
        return self._enqueue(self._ready, Handle(callback, arguments, context))

    def _enqueue(self, queue: deque[Handle], handle: Handle) -> Handle:
        """Append a handle to a queue of the next iteration, and schedule that iteration."""
        if not self.is_dead:
            queue.append(handle)
            if not self._is_running:
                self._wake(self.scheduler.now)
        return handle

    def call_later(self, delay: float, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """Schedule a callback after `delay` seconds of the process's clock."""
        return self.call_at(self.time() + delay, callback, *arguments, context=context)

    def call_at(self, when: float, callback: Callback, *arguments: Any, context: Context | None = None) -> Handle:
        """Schedule a callback for the time `when` of the process's clock."""
        handle = Handle(callback, arguments, context, when)
        if not self.is_dead:
            self._timer_count += 1
            heappush(self._timers, (when, self._timer_count, handle))
            if not self._is_running:
                self._wake(when)
        return handle

    def call_exception_handler(self, context: Mapping[str, Any]) -> None:
        """Record an unhandled error of this process."""
        if not self.is_dead:
            error = f"{self.name}: {context.get('message')}: {context.get('exception')!r}"
            self.scheduler.process_errors.append(error)

    def add_signal_handler(self, number: int, callback: Callback, *arguments: Any) -> None:
        """Set the handler of a signal."""
        self._signal_handlers[number] = partial(callback, *arguments)

    # Iterations

    def _wake(self, when: float) -> None:
        """Schedule the next iteration for `when`, or for the time at which the process is free if that is later."""
        when = max(when, self._busy_until, self.scheduler.now)
        if self._next_iteration is not None:
            if self._next_iteration.at <= when:
                return
            self.scheduler.cancel(self._next_iteration)
        self._next_iteration = self.scheduler.call_at(when, self._run_iteration)

    def _run_iteration(self) -> None:
        scheduler = self.scheduler
        self._next_iteration = None
        if scheduler.now < self._busy_until:  # the process was paused after this iteration had been scheduled
            self._wake(self._busy_until)
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
            self._busy_until = max(self._busy_until, scheduler.now + self._cpu_seconds)
            self._cpu_seconds = 0.0
        if self.is_dead:
            return
        if self._ready or self._incoming:
            self._wake(self._busy_until)
        elif self._timers:
            self._wake(self._timers[0][0])

    def _run_handles(self) -> None:
        """Run due timers, then `call_soon` callbacks, then those of received segments, the order of libuv.

        After a stall this order decides whether a timeout or the data that arrived before it takes effect.
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
        """Schedule a callback for received data; it runs at the end of the next iteration."""
        self._enqueue(self._incoming, Handle(callback, (), None))

    def pause(self, seconds: float) -> None:
        """Give the process no CPU time for `seconds`; it isn't notified, as with SIGSTOP."""
        self._busy_until = max(self._busy_until, self.scheduler.now + seconds)
        if self._next_iteration is not None:
            self.scheduler.cancel(self._next_iteration)
            self._next_iteration = None
            self._wake(self._busy_until)

    # End of the process

    def run_main(self, coroutine: Coroutine[Any, Any, Any], on_exit: Callable[["SimulatedProcess"], object]) -> None:
        """Run the main coroutine; when it ends the process exits and `on_exit` is called."""
        self._exit_callback = on_exit
        self.create_task(coroutine).add_done_callback(self._main_ended)

    def _main_ended(self, task: asyncio.Task) -> None:
        error = "cancelled" if task.cancelled() else task.exception()
        self._exit(repr(error) if error else "by itself")

    def _exit(self, reason: str) -> None:
        if self.exit_reason is None:
            self.exit_reason = reason
            self.scheduler.call_at(self.scheduler.now, self.kill)
            if self._exit_callback:
                self.scheduler.call_at(self.scheduler.now, self._exit_callback, self)

    def send_signal(self, number: int) -> None:
        """Deliver a signal: call its handler, or kill the process if there is none; SIGHUP without a handler is ignored."""
        if number in self._signal_handlers:
            self.call_soon(self._signal_handlers[number])
        elif number != signal.SIGHUP:
            self.kill()

    def kill(self) -> None:
        """End the process immediately; its open connections are reset."""
        if self.is_dead:
            return
        for sock in list(self.sockets.values()):
            sock.reset()
        self.discard()

    def discard(self) -> None:
        """Close the process and its unfinished tasks without sending anything to its peers.

        Tasks are closed here, since the garbage collector would otherwise close them at an unpredictable time.
        """
        if self.is_dead:
            return
        self.is_dead = True
        self._ready.clear()
        self._incoming.clear()
        self._timers.clear()
        if self._next_iteration is not None:
            self.scheduler.cancel(self._next_iteration)
        previous = self.scheduler.current
        self.scheduler.current = self
        events._set_running_loop(self)
        try:
            for task in list(self._tasks):
                with contextlib.suppress(Exception, asyncio.CancelledError):  # the process ends even if its tasks raise
                    task.get_coro().close()
        finally:
            events._set_running_loop(previous)
            self.scheduler.current = previous
        for sock in list(self.sockets.values()):
            sock.close()
        self._tasks.clear()
