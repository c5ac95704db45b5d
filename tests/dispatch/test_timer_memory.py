"""Timers of requests that are answered are freed long before they are due."""

import asyncio

from sloeferry.dispatch.command_host import MIN_TIMERS_TO_COMPACT as MIN_POLICY_TIMERS
from sloeferry.network.deadline_timers import MIN_TIMERS_TO_COMPACT, DeadlineTimers
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness
from tests.support.proxy_harness import run_coroutine, run_scenario

LONG_DEADLINE_MS = 3_000_000
REQUESTS = 400


def test_timers_of_answered_requests_are_freed():
    """Guards against memory that grows with the rate of requests times their deadline."""

    async def scenario(harness: InstrumentedHarness) -> None:
        reader, writer = connection = await harness.connect()
        for _ in range(REQUESTS):
            await harness.request("safe", connection=connection)
        host, policy = harness.dispatcher.host, harness.dispatcher.policy
        host.run_due_timers(policy)
        assert len(policy.timers) <= 2 * MIN_POLICY_TIMERS

    run_scenario(scenario, InstrumentedHarness({"b": response()}, deadline_ms=LONG_DEADLINE_MS))


def test_cancelled_deadlines_are_freed_and_others_kept():
    """Guards against the same in the heap of deadlines; those that are not cancelled stay, in their order."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        timers = DeadlineTimers(loop)
        tasks = [loop.create_task(asyncio.sleep(LONG_DEADLINE_MS)) for _ in range(2)]
        kept = [timers.set(loop.time() + 0.01 * number, task) for number, task in enumerate(tasks, 1)]
        for _ in range(10 * MIN_TIMERS_TO_COMPACT):
            timers.set(loop.time() + LONG_DEADLINE_MS, tasks[0]).cancel()
        assert len(timers._heap) <= MIN_TIMERS_TO_COMPACT + 1
        await asyncio.wait(tasks)
        assert [task.cancelled() for task in tasks] == [True, True]
        assert [timer.has_expired for timer in kept] == [True, True]

    run_coroutine(scenario())
