"""The state of one request between the network and the policy, with the queue of the policy's commands for it."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any


class CommandQueue:
    """An ordered queue of the policy's commands for one task."""

    def __init__(self):
        self.commands: deque[Any] = deque()
        self._waiter: asyncio.Future | None = None
        # Called once when a command arrives while the task of the request runs an attempt (`network/request_runner.py`).
        self.on_command: Callable[[], None] | None = None

    def push(self, command: Any) -> None:
        """Append a command and wake the task that waits for one."""
        self.commands.append(command)
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)
        elif self.on_command:
            on_command, self.on_command = self.on_command, None
            on_command()

    async def next(self) -> Any:
        """Wait for the next command and return it."""
        while not self.commands:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self.commands.popleft()


class RequestContext(CommandQueue):
    """The state of an accepted request until its last attempt has ended; times in ms of the monotonic clock."""

    def __init__(self, request_id: int, deadline: float, arrived_at: float):
        super().__init__()
        self.request_id = request_id
        self.deadline = deadline
        self.arrived_at = arrived_at
        self.is_answered = False
        self.attempts_in_flight = 0
        self.attempts_sent = 0
        self.version_headers: dict[int, bytes] | None = None  # header lines by attempt number, if attempts carry them
        self.is_abandoned = False  # its client's connection has ended
        self.has_client_left: Callable[[], bool] | None = None
