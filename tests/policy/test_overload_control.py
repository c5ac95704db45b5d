"""Load shedding before parsing: the limit, the tenants' quotas and the retry budget while it stands."""

from math import inf
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.policy import overload_control
from sloeferry.policy.interface import AttemptOutcome
from sloeferry.policy.overload_control import OverloadController
from sloeferry.policy.request_classes import RequestClass
from sloeferry.policy.requests import Request
from tests.support.golden import GoldenFiles
from tests.support.policy_recorder import PolicyRecorder

# Two tenants, the first with three quarters of all; the third class has the most weight.
SETTINGS = {
    "tenants__count": 2,
    "tenants__0__share": 3.0,
    "tenants__1__share": 1.0,
    "limits__retry_after": True,
    "schemes__2__gain": 5.0,
}
BEATS_PER_WINDOW = 20


def build_controller(**changes: Any) -> tuple[OverloadController, PolicyRecorder]:
    """A controller in the policy of a recorder; the classes have a latency objective of 700 ms."""
    recorder = PolicyRecorder(**SETTINGS | changes)
    controller = OverloadController(recorder.policy)
    recorder.policy.extensions.install(controller)
    return controller, recorder


def play_late_window(controller: OverloadController, now: float, served: int = 60) -> float:
    """One window in which all beats are late and so many requests are served; the time of its end (ms)."""
    controller.served_in_window = served
    for _ in range(BEATS_PER_WINDOW):
        now += controller.lag_sample_interval_ms
        controller.record_loop_lag(now, controller.lag_sample_interval_ms * 2)
    return now


def test_limit_follows_what_is_served(golden: GoldenFiles):
    """The limit comes with a window of late beats alone, follows what is served, and goes step by step."""
    controller, _ = build_controller()
    lines: list[str] = []
    now = 0.0

    def record(event: str) -> None:
        lines.append(f"{event}: bound {controller.concurrency_limit:.1f}, {controller.served_per_ms * 1000:.0f} a second")

    controller.served_in_window = 60
    for beat in range(BEATS_PER_WINDOW):
        now += controller.lag_sample_interval_ms
        controller.record_loop_lag(now, controller.lag_sample_interval_ms * (2 if beat else 0))
    record("one beat in time")
    now = play_late_window(controller, now)
    record("all late")
    now = play_late_window(controller, now, served=20)
    record("less served")
    for _ in range(12):
        controller.record_queue_length(0)
        for _ in range(17):
            now += controller.lag_sample_interval_ms
            controller.record_loop_lag(now, 0.0)
        record("beats in time")
    controller.record_loop_lag(now + 400, 400.0)
    lines.append(f"after a stall: shut {controller.is_shedding()}")
    controller.record_loop_lag(now + 450, 1.0)
    lines.append(f"a beat later: shut {controller.is_shedding()}")
    golden.check(lines, "overload_limit")


def test_tenants_keep_to_their_quota(golden: GoldenFiles):
    """Past half of the limit tenants keep to their quotas.  Retries have less room, the class of most weight has more."""
    controller, recorder = build_controller()
    lines: list[str] = []
    now = play_late_window(controller, 0.0)
    controller.active_tenants = {0, 1}
    now = play_late_window(controller, now)
    classes = recorder.policy.classes.all
    request_id = 0
    for tenant_index in (1, 0):
        taken = 0
        while controller.rejection_delay_ms(now, classes[0], tenant_index, False, False) is None:
            request_id += 1
            taken += 1
            controller.request_accepted(now, Request(request_id, classes[0], now, 900.0, tenant_index))
        lines.append(
            f"bound {controller.concurrency_limit:.0f}: customer {tenant_index} gets {taken}, open {controller.open_requests}"
        )
    for name, class_index, is_retry in (("usual", 0, False), ("best gain", 2, False), ("best gain again", 2, True)):
        delay_ms = controller.rejection_delay_ms(now, classes[class_index], 0, is_retry, False)
        lines.append(f"{name}: {'outside' if delay_ms else 'in'}")
    golden.check(lines, "overload_tenant_quota")


def test_retry_budget():
    """Retries have a budget while a limit stands, and none without one."""
    controller, recorder = build_controller()
    assert all(controller.may_retry(0.0, None) for _ in range(100))
    now = play_late_window(controller, 0.0)
    for request_id in range(20):
        recorder.policy.request_arrived(now, request_id, 0, 0, 0, 900.0, None, False)
    retries = sum(controller.may_retry(now, None) for _ in range(100))
    assert retries == int(20 * overload_control.RETRIES_PER_REQUEST)


def test_nothing_is_learned_while_behind():
    """How long requests take while this proxy is behind says nothing of its endpoints."""
    controller, recorder = build_controller()
    spread = recorder.policy.latency.spread
    recorder.list_endpoints("a")
    for is_overloaded in (False, True):
        controller.concurrency_limit = 50.0 if is_overloaded else inf
        before = spread.count
        recorder.request(int(is_overloaded))
        recorder.end_attempt(int(is_overloaded), 0, AttemptOutcome.SERVED, 0, took_ms=600.0)
        assert (spread.count > before) == (not is_overloaded)


EVENTS = st.sampled_from(["beat", "take", "over", "ask", "stall"])
STEPS = st.lists(st.tuples(EVENTS, st.integers(0, 2), st.integers(0, 1), st.floats(0, 200)), max_size=120)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_properties(steps: list[tuple[str, int, int, float]]):
    """Counts never go wrong; without a limit nobody is rejected; a class of more weight is never rejected alone."""
    controller, recorder = build_controller()
    classes = recorder.policy.classes.all
    now = 0.0
    in_flight: list[Request] = []
    for event, class_index, tenant_index, late_ms in steps:
        now += controller.lag_sample_interval_ms / 2
        if event == "beat":
            controller.record_loop_lag(now, late_ms)
        elif event == "stall":
            controller.record_loop_lag(now, 10 * late_ms)
        elif event == "over" and in_flight:
            controller.request_ended(in_flight.pop(), bool(class_index))
        elif event == "take":
            in_flight.append(Request(len(in_flight), classes[class_index], now, 900.0, tenant_index))
            controller.request_accepted(now, in_flight[-1])
        check_delays(controller, now, classes, tenant_index)
        assert (controller.open_requests, sum(controller.open_requests_by_tenant)) == (len(in_flight), len(in_flight))
        assert controller.concurrency_limit >= overload_control.MIN_CONCURRENCY_LIMIT


def check_delays(controller: OverloadController, now: float, classes: list[RequestClass], tenant_index: int) -> None:
    """Whom the controller would reject now, of each class."""
    delays_ms = [controller.rejection_delay_ms(now, each, tenant_index, False, False) for each in classes]
    if not controller.is_shedding():
        assert delays_ms == [None] * 3
    assert all(delay_ms is None or delay_ms >= 0 for delay_ms in delays_ms)
    if delays_ms[2] is not None:
        assert delays_ms[0] is not None
    is_nearly_free = (
        controller.open_requests < overload_control.MIN_CONCURRENCY_LIMIT
        and controller.open_requests_by_tenant[tenant_index] == 0
    )
    if is_nearly_free and not controller.is_stalled:
        assert delays_ms[2] is None
