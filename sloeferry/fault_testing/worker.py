"""A worker process of stand-ins: python -m sloeferry.fault_testing.worker, started by a driver (worker_protocol.py).

It writes reports that the driver needs at once to standard output, and observed events to the process's record.
"""

import asyncio
import os
import sys
from typing import Any

import msgspec
import uvloop

from sloeferry.fault_testing.event_recorder import EventRecorder
from sloeferry.fault_testing.garbage_collection import tune_garbage_collection
from sloeferry.fault_testing.plan import parse_plan, resize
from sloeferry.fault_testing.worker_protocol import ReportKind, WorkerConfig
from sloeferry.fault_testing.worker_roles import WORKER_CLASSES, Worker, send_report


class CommandReader(asyncio.Protocol):
    """A reader that runs the driver's commands one after the other, and stops the worker when the pipe closes."""

    def __init__(self, worker: Worker):
        self._worker = worker
        self._unread = b""
        self._commands: asyncio.Queue[list[Any]] = asyncio.Queue()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Queue the commands in these bytes, and keep an incomplete line."""
        *lines, self._unread = (self._unread + data).split(b"\n")
        for line in lines:
            self._commands.put_nowait(msgspec.json.decode(line))

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the worker, since the driver has exited."""
        self._worker.stop_requested.set()

    async def _run(self) -> None:
        while True:
            name, *arguments = await self._commands.get()
            try:
                await getattr(self._worker, name)(*arguments)
            except Exception as error:  # the worker goes on; the driver counts the run as failed
                send_report(ReportKind.FAILED, f"{name} {arguments!r:.200}: {error!r}")


def _report_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    send_report(ReportKind.FAILED, f"{context.get('message')}: {context.get('exception')!r}")


async def run_worker(config: WorkerConfig) -> None:
    """Run one worker until it is stopped."""
    loop = asyncio.get_running_loop()
    plan = resize(parse_plan(config.plan_text), config.proxy_count, config.backend_count)
    recorder = EventRecorder(plan, config.seed, config.record_path, loop.time)
    loop.set_exception_handler(_report_exception)
    worker = WORKER_CLASSES[config.role](loop, config, plan, recorder)
    tune_garbage_collection()
    recorder.monitor_loop_lag(loop, config.role.value)
    await loop.connect_read_pipe(lambda: CommandReader(worker), sys.stdin)
    send_report(ReportKind.READY)
    await worker.stop_requested.wait()
    recorder.close()


def main() -> None:
    """Read the configuration from standard input and run the worker.

    The read is unbuffered, because the event loop reads the commands that follow.
    """
    with os.fdopen(os.dup(0), "rb", 0) as first_line:
        config = msgspec.json.decode(first_line.readline(), type=WorkerConfig)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_worker(config))


if __name__ == "__main__":
    main()
