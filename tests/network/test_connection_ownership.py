"""Which task serves a client connection, after a hedge has handed it over to another one."""

import asyncio
import contextlib
from unittest import mock

import pytest

from sloeferry.network.load_reports import NO_REPORT, LoadReportReader
from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

REQUESTS_BEFORE_HEDGE = 6  # until the policy expects a latency
LOOP_ITERATIONS = 20  # in which a task that has failed would write its own reply


class NamingBackends(FakeBackends):
    """Two backends whose responses name their request; the first attempts for some requests are held until released."""

    def __init__(self):
        super().__init__({"b": None, "c": None})
        self.held: dict[str, asyncio.Event] = {}
        self.waiting: list[str] = []

    async def serve(self, name: str, script: Script, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to a backend."""
        self.begin_connection(name, writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("x-call-id: ")[2].partition("\r\n")[0]
                if released := self.held.pop(request_id, None):
                    self.waiting.append(request_id)
                    await released.wait()
                writer.write(response(f"made for {request_id}", 200, f"X-Load-Report: of {request_id}"))


@pytest.mark.parametrize("end_of_former_task", [None, RuntimeError("read failed"), asyncio.CancelledError()], ids=repr)
def test_former_task_leaves_the_connection_alone(end_of_former_task: BaseException | None):
    """Guards against answers that come one request late: after a hedge, however the task ends that ran the slow attempt, the
    task that took the connection over stays its only reader and writer."""
    backends = NamingBackends()
    reports_read: list[bytes] = []

    def read_report(reader: LoadReportReader, text: bytes | None) -> tuple[float, ...]:
        reports_read.append(text or b"")
        if text == b"of slow" and reports_read.count(text) == 2 and end_of_former_task:
            raise end_of_former_task
        return NO_REPORT

    async def scenario(harness: InstrumentedHarness) -> None:
        connection = await harness.connect()

        async def ask(request_id: str) -> str:
            return await harness.request("safe", connection=connection, X_Call_Id=request_id)

        for number in range(REQUESTS_BEFORE_HEDGE):
            await ask(f"before{number}")
        slow, following = backends.held["slow"], backends.held["following"] = asyncio.Event(), asyncio.Event()
        assert await ask("slow") == "200 made for slow"  # the hedge's response
        answer = asyncio.create_task(ask("following"))
        await wait_until(lambda: "following" in backends.waiting)
        slow.set()
        await wait_until(lambda: reports_read.count(b"of slow") == 2)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        assert len(harness.clients.connections) == 1
        following.set()
        assert await answer == "200 made for following"
        assert await ask("last") == "200 made for last"

    with mock.patch.object(LoadReportReader, "read", read_report):
        run_scenario(scenario, InstrumentedHarness(backends, second_copies=True))
    assert backends.waiting == ["slow", "following"]
