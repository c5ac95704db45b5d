"""Assembles the parts of a proxy that serve clients and keeps track of the client connections."""

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
from sloeferry.network.memory_budget import MemoryBudget
from sloeferry.network.pipelining import PipelineTurns
from sloeferry.network.request_ids import RequestIds
from sloeferry.network.request_intake import RequestIntake
from sloeferry.network.stall_accounting import StallAccounting
from sloeferry.network.task_set import TaskSet


class ClientServer:
    """Owns the client connections and the components that accept, sweep and shut them down."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: Dispatcher,
        config: InstanceConfig,
        budget: DescriptorBudget,
        buffers: BufferPool,
        memory: MemoryBudget,
        request_ids: RequestIds,
        attempts: AttemptRunner,
        tasks: TaskSet,
        lifecycle: Lifecycle,
    ):
        self.loop = loop
        self.dispatcher = dispatcher
        self.budget = budget
        self.buffers = buffers
        self.memory = memory
        self.request_ids = request_ids
        self.attempts = attempts
        self.tasks = tasks
        self.lifecycle = lifecycle
        self.connections: dict[ClientConnection, None] = {}  # in order of arrival
        self.open_requests: dict[bytes, ClientConnection] = {}  # by the request id that the client chose
        self.lingering_close_count = 0  # connections in a lingering close
        self.intake = RequestIntake(dispatcher, lifecycle, config.settings, request_ids)
        self.admission_queue = AdmissionQueue(loop, dispatcher.overload, buffers)
        self.pipeline_turns = PipelineTurns(loop)
        self.listener = Listener(self, config.inherited_listener_fd)
        self.stalls = StallAccounting(self)
        self.shutdown = ClientShutdown(self)
        self.sweeper = ConnectionSweeper(self)

    def update_config(self, config: InstanceConfig) -> None:
        """Apply new settings, also to requests that are read but not yet accepted."""
        self.intake.update(config.settings)
        for connection in self.connections:
            for message in connection.stream.pending_messages():
                self.intake.recheck(message)

    def connection_counts(self) -> dict[str, Any]:
        """Return the numbers of connections and open requests for the admin server."""
        return {"connections": len(self.connections), "open": sum(each.is_busy for each in self.connections)}

    def deregister(self, connection: ClientConnection) -> None:
        """Remove a connection that is closing and release its descriptor."""
        self.connections.pop(connection, None)
        if connection.is_in_queue_epoll:
            self.admission_queue.remove(connection)
        self.budget.mark_active(connection)
        self.budget.release()

    def close(self) -> None:
        """Close the listener and all connections when the program ends."""
        self.listener.close()
        for connection in list(self.connections):
            connection.close()
