"""The time from which a message of discovery confirms the endpoint list."""

from unittest import mock

import pytest

from sloeferry import environment
from sloeferry.config.settings_reader import build_settings
from sloeferry.dispatch.dispatcher import Dispatcher
from sloeferry.policy.endpoint_staleness import WATCH_DELAY_MS


@pytest.mark.parametrize("is_timer_first", [False, True], ids=["network first", "timer first"])
def test_data_read_after_stall_confirms_only_last_iteration(is_timer_first: bool):
    """Data read after a stall of the process may have been written at any time since the last loop iteration.  It confirms the
    list no later than that, whether the timer or the network runs first."""
    settings = build_settings({"schemes.count": 1, "schemes.0.sla_time": 300.0, "discovery": "subscribe"})
    clock_seconds = [1000.0]
    with mock.patch.object(environment, "monotonic", lambda: clock_seconds[0]):
        dispatcher = Dispatcher(1, settings, lambda at: None)
        events, monitor = dispatcher.endpoint_events, dispatcher.loop_monitor
        clock_seconds[0] += 2.0
        monitor.last_iteration_at = clock_seconds[0] * 1000
        events.watch_confirmed()
        assert events.staleness.trusted_until == 1_002_000.0 - WATCH_DELAY_MS
        clock_seconds[0] += 5.0
        if is_timer_first:
            monitor.iteration_before_stall_at = monitor.last_iteration_at
            monitor.last_iteration_at = clock_seconds[0] * 1000
            monitor.catch_up_task = object()
        events.watch_confirmed()
        assert events.staleness.trusted_until == 1_002_000.0 - WATCH_DELAY_MS
        monitor.last_iteration_at = clock_seconds[0] * 1000
        monitor.catch_up_task = None
        events.watch_confirmed()
        assert events.staleness.trusted_until == 1_007_000.0 - WATCH_DELAY_MS
