"""Overload control: the adaptive concurrency limit, tenant quotas, the retry budget and rejections."""

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

# Two tenants, the first with a quota of three quarters; the third request class has the highest priority weight.
SETTINGS = {
    "tenants__count": 2,
    "tenants__0__share": 3.0,
    "tenants__1__share": 1.0,
    "limits__retry_after": True,
    "schemes__2__gain": 5.0,
}
LAG_SAMPLES_PER_WINDOW = 20


def build_controller(**changes: Any) -> tuple[OverloadController, PolicyRecorder]:
    """Return a controller and the recorder whose policy it extends; all classes have a latency objective of 700 ms."""
    recorder = PolicyRecorder(**SETTINGS | changes)
    controller = OverloadController(recorder.policy)
    recorder.policy.extensions.install(controller)
    return controller, recorder


def run_overloaded_window(controller: OverloadController, now: float, served: int = 60) -> float:
    """Run one window of high event-loop lag in which `served` requests are served; return the time of its end in ms."""
    controller.served_in_window = served
    for _ in range(LAG_SAMPLES_PER_WINDOW):
        now += controller.lag_sample_interval_ms
        controller.record_loop_lag(now, controller.lag_sample_interval_ms * 2)
    return now


def test_limit_follows_rate_served_and_is_removed_stepwise(golden: GoldenFiles):
    """A limit is set only after a whole window of lag, follows the rate served, and is raised in steps until it is removed."""
    controller, _ = build_controller()
    lines: list[str] = []
    now = 0.0

    def record(event: str) -> None:
        lines.append(f"{event}: bound {controller.concurrency_limit:.1f}, {controller.served_per_ms * 1000:.0f} a second")

    controller.served_in_window = 60
    for sample in range(LAG_SAMPLES_PER_WINDOW):
        now += controller.lag_sample_interval_ms
        controller.record_loop_lag(now, controller.lag_sample_interval_ms * (2 if sample else 0))
    record("one beat in time")
    now = run_overloaded_window(controller, now)
    record("all late")
    now = run_overloaded_window(controller, now, served=20)
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


def test_quotas_apply_above_half_of_the_limit(golden: GoldenFiles):
    """Above half of the limit each tenant is held to its quota.  Clients' retries have a lower limit, the class of the highest
    priority weight has a higher one."""
    controller, recorder = build_controller()
    lines: list[str] = []
    now = run_overloaded_window(controller, 0.0)
    controller.active_tenants = {0, 1}
    now = run_overloaded_window(controller, now)
    classes = recorder.policy.classes.all
    request_id = 0
    for tenant_index in (1, 0):
        accepted = 0
        while controller.retry_after_if_rejected_ms(now, classes[0], tenant_index, False, False) is None:
            request_id += 1
            accepted += 1
            controller.request_accepted(now, Request(request_id, classes[0], now, 900.0, tenant_index))
        lines.append(
            f"bound {controller.concurrency_limit:.0f}: customer {tenant_index} gets {accepted}, open {controller.open_requests}"
        )
    for name, class_index, is_retry in (("usual", 0, False), ("best gain", 2, False), ("best gain again", 2, True)):
        delay_ms = controller.retry_after_if_rejected_ms(now, classes[class_index], 0, is_retry, False)
        lines.append(f"{name}: {'outside' if delay_ms else 'in'}")
    golden.check(lines, "overload_tenant_quota")


def test_retry_budget_applies_only_with_a_limit():
    """While there is a concurrency limit, retries are bounded by a budget; without one they are unbounded."""
    controller, recorder = build_controller()
    assert all(controller.may_retry(0.0, None) for _ in range(100))
    now = run_overloaded_window(controller, 0.0)
    for request_id in range(20):
        recorder.policy.request_arrived(now, request_id, 0, 0, 0, 900.0, None, False)
    retries = sum(controller.may_retry(now, None) for _ in range(100))
    assert retries == int(20 * overload_control.RETRY_TOKENS_PER_REQUEST)


def test_latency_is_not_learned_while_overloaded():
    """Latencies of an overloaded proxy do not describe its endpoints, so the latency model ignores them."""
    controller, recorder = build_controller()
    spread = recorder.policy.latency.spread
    recorder.publish_endpoints("a")
    for is_overloaded in (False, True):
        controller.concurrency_limit = 50.0 if is_overloaded else inf
        before = spread.count
        recorder.request(int(is_overloaded))
        recorder.end_attempt(int(is_overloaded), 0, AttemptOutcome.SERVED, 0, took_ms=600.0)
        assert (spread.count > before) == (not is_overloaded)


EVENTS = st.sampled_from(["lag", "accept", "end", "ask", "stall"])
STEPS = st.lists(st.tuples(EVENTS, st.integers(0, 2), st.integers(0, 1), st.floats(0, 200)), max_size=120)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_invariants_of_random_event_sequences(steps: list[tuple[str, int, int, float]]):
    """Counts of open requests match; nothing is rejected without a limit; a class of higher weight is never rejected alone."""
    controller, recorder = build_controller()
    classes = recorder.policy.classes.all
    now = 0.0
    in_flight: list[Request] = []
    for event, class_index, tenant_index, lag_ms in steps:
        now += controller.lag_sample_interval_ms / 2
        if event == "lag":
            controller.record_loop_lag(now, lag_ms)
        elif event == "stall":
            controller.record_loop_lag(now, 10 * lag_ms)
        elif event == "end" and in_flight:
            controller.request_ended(in_flight.pop(), bool(class_index))
        elif event == "accept":
            in_flight.append(Request(len(in_flight), classes[class_index], now, 900.0, tenant_index))
            controller.request_accepted(now, in_flight[-1])
        check_rejections(controller, now, classes, tenant_index)
        assert (controller.open_requests, sum(controller.open_requests_by_tenant)) == (len(in_flight), len(in_flight))
        assert controller.concurrency_limit >= overload_control.MIN_CONCURRENCY_LIMIT


def check_rejections(controller: OverloadController, now: float, classes: list[RequestClass], tenant_index: int) -> None:
    """Check which request classes the controller would reject now."""
    delays_ms = [controller.retry_after_if_rejected_ms(now, each, tenant_index, False, False) for each in classes]
    if not controller.is_shedding():
        assert delays_ms == [None] * 3
    assert all(delay_ms is None or delay_ms >= 0 for delay_ms in delays_ms)
    if delays_ms[2] is not None:
        assert delays_ms[0] is not None
    has_free_capacity = (
        controller.open_requests < overload_control.MIN_CONCURRENCY_LIMIT
        and controller.open_requests_by_tenant[tenant_index] == 0
    )
    if has_free_capacity and not controller.is_stalled:
        assert delays_ms[2] is None
