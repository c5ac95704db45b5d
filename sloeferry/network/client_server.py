"""The clients' side of a proxy: what belongs to it, and who is connected."""

import asyncio
from typing import Any

from sloeferry.config.instance import InstanceConfig
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.lifecycle.state import Lifecycle
from sloeferry.network.admission_queue import AdmissionQueue
from sloeferry.network.attempt import AttemptRunner
from sloeferry.network.buffers import BufferPool
from sloeferry.network.client_connection import ClientConnection
from sloeferry.network.client_shutdown import ClientShutdown
from sloeferry.network.connection_sweeper import ConnectionSweeper
from sloeferry.network.descriptor_budget import DescriptorBudget
from sloeferry.network.listener import Listener
from sloeferry.network.request_intake import RequestIntake
from sloeferry.network.stall_accounting import StallAccounting
from sloeferry.network.task_set import TaskSet


class ClientServer:
    """Serves clients; each concern in a part of its own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        config: InstanceConfig,
        budget: DescriptorBudget,
        buffers: BufferPool,
        attempts: AttemptRunner,
        tasks: TaskSet,
        lifecycle: Lifecycle,
    ):
        self.loop = loop
        self.dispatcher = dispatcher
        self.budget = budget
        self.buffers = buffers
        self.attempts = attempts
        self.tasks = tasks
        self.lifecycle = lifecycle
        self.connections: dict[ClientConnection, None] = {}  # in the order they came
        self.open_requests: dict[bytes, ClientConnection] = {}  # by the clients' own request ids
        self.lingering_close_count = 0  # connections that read on before their end
        self.intake = RequestIntake(dispatcher, lifecycle, config.settings)
        self.admission_queue = AdmissionQueue(loop, dispatcher.overload, buffers)
        self.listener = Listener(self, config.inherited_listener_fd)
        self.stalls = StallAccounting(self)
        self.shutdown = ClientShutdown(self)
        self.sweeper = ConnectionSweeper(self)

    def update_config(self, config: InstanceConfig) -> None:
        """The settings as they are from now on."""
        self.intake.update(config.settings)
        for connection in self.connections:
            for message in connection.stream.pending_messages():
                self.intake.recheck(message)

    def connection_counts(self) -> dict[str, Any]:
        """What operators are told beside the state."""
        return {"connections": len(self.connections), "open": sum(each.is_busy for each in self.connections)}

    def deregister(self, connection: ClientConnection) -> None:
        """A connection ends."""
        self.connections.pop(connection, None)
        if connection.is_in_queue_epoll:
            self.admission_queue.remove(connection)
        self.budget.mark_active(connection)
        self.budget.release()

    def close(self) -> None:
        """The program ends."""
        self.listener.close()
        for connection in list(self.connections):
            connection.close()
