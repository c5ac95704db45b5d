"""One request on its way between the network and the policy, and the queue of commands for whoever carries it."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any


class CommandQueue:
    """Commands of the policy, in order, for one task."""

    def __init__(self):
        self.commands: deque[Any] = deque()
        self._waiter: asyncio.Future | None = None
        # Called once when a command comes while the task that carries the request runs an attempt (`network/request_runner.py`).
        self.on_command: Callable[[], None] | None = None

    def push(self, command: Any) -> None:
        """Adds a command and wakes whoever waits for it."""
        self.commands.append(command)
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)
        elif self.on_command:
            on_command, self.on_command = self.on_command, None
            on_command()

    async def next(self) -> Any:
        """The next command, once there is one."""
        while not self.commands:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.commands.popleft()


class RequestContext(CommandQueue):
    """A request that was taken on, until its last attempt has ended.  Times in ms of the monotonic clock."""

    def __init__(self, request_id: int, deadline: float, arrived_at: float):
        super().__init__()
        self.request_id = request_id
        self.deadline = deadline
        self.arrived_at = arrived_at
        self.is_answered = False
        self.attempts_in_flight = 0
        self.attempts_sent = 0
        self.version_headers: dict[int, bytes] | None = None  # header lines by attempt number, where attempts carry them
        self.is_abandoned = False  # its client's connection has ended
        self.has_client_left: Callable[[], bool] | None = None
