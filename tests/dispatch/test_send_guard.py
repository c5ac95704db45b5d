"""Refusals of the send guard before an attempt's first byte, and violations that its audit finds."""

import types

import pytest

from sloeferry.dispatch.send_guard import MAX_LEAVING_ENDPOINTS, Refusal, SendGuard, Violation
from sloeferry.policy.endpoint_staleness import SOCKET_LIMITS
from sloeferry.policy.interface import AttemptOutcome, EndpointState, ListScope
from tests.support.policy_recorder import PolicyRecorder

SLACK_MS = 50.0
GRACE_MS = 250.0


@pytest.fixture
def recorder() -> PolicyRecorder:
    """Return a policy with two endpoints and a list that was confirmed at time 0."""
    recorder = PolicyRecorder(limits=SOCKET_LIMITS, discovery="subscribe", obligations__drain_grace=GRACE_MS)
    recorder.publish_endpoints("a", "b")
    recorder.policy.polling.staleness.confirmed(0.0)
    return recorder


@pytest.fixture
def guard(recorder: PolicyRecorder) -> SendGuard:
    """Return the send guard of that policy."""
    return SendGuard(recorder.policy, SLACK_MS)


def context(request_id: int = 0, deadline: float = 1000.0, is_answered: bool = False) -> types.SimpleNamespace:
    """Return a request context with the attributes that the send guard reads."""
    return types.SimpleNamespace(request_id=request_id, deadline=deadline, is_answered=is_answered, has_client_left=None)


def test_refusals_are_counted_by_cause(recorder: PolicyRecorder, guard: SendGuard):
    """Each cause refuses on its own; refusals are counted by cause, and for a stale list by the cause of its staleness."""
    now = 10.0
    assert (guard.request_refusal(now, context(), 0) or guard.endpoint_refusal(now, "a")) is None
    assert guard.request_refusal(now, context(is_answered=True), 0) == Refusal.REQUEST_OVER
    assert guard.request_refusal(now, context(deadline=10.0), 0) == Refusal.DEADLINE
    assert guard.endpoint_refusal(now, "unlisted") == Refusal.ENDPOINT_LEAVING
    recorder.publish_endpoints(("a", 0, EndpointState.DRAINING), scope=ListScope.CHANGES)
    assert guard.endpoint_refusal(now, "a") == Refusal.ENDPOINT_LEAVING
    stale = recorder.policy.polling.staleness.usable_until + 1
    assert guard.endpoint_refusal(stale, "b") == Refusal.LIST_STALE
    for cause in Refusal:
        assert not guard.is_allowed(cause)
    assert guard.is_allowed(None)
    assert guard.counters()["refused"] == {cause.value: 1 for cause in Refusal}
    assert guard.counters()["refused_stale"] == {"watched": 1}


def test_non_idempotent_request_that_may_have_run_is_not_repeated(recorder: PolicyRecorder, guard: SendGuard):
    """A second attempt of a non-idempotent request is refused and audited as a violation if the first may have run."""
    recorder.request(1, class_index=2)
    recorder.policy.requests.by_id[1].attempts[0].end(20.0, AttemptOutcome.CONNECTION_LOST)
    assert guard.request_refusal(30.0, context(1), 1) == Refusal.REPEAT_WINDOW
    assert guard.audit_attempt(30.0, context(1), 1, "a") == Violation.REPEATED


def test_audit_finds_violations(recorder: PolicyRecorder, guard: SendGuard):
    """The audit uses the time when an endpoint was listed as leaving and the deadlines of the list and the request."""
    usable_until = recorder.policy.polling.staleness.usable_until
    guard.endpoint_listed(100.0, "a", False)
    for at, request, endpoint_id, violation in (
        (100.0 + GRACE_MS + SLACK_MS, context(), "a", None),
        (101.0 + GRACE_MS + SLACK_MS, context(), "a", Violation.DRAIN),
        (101.0 + GRACE_MS + SLACK_MS, context(), "b", None),
        (1051.0, context(), "b", Violation.DEADLINE),
        (10.0, context(is_answered=True), "b", Violation.ANSWERED),
        (usable_until + GRACE_MS + SLACK_MS + 1, context(deadline=99999.0), "b", Violation.LIST_STALE),
    ):
        assert guard.audit_attempt(at, request, 0, endpoint_id) == violation
    guard.endpoint_listed(2000.0, "a", True)
    assert guard.audit_attempt(900.0, context(), 0, "a") is None
    assert sum(guard.counters()["violations"].values()) == 4


def test_oldest_leaving_endpoints_are_forgotten(guard: SendGuard):
    """The number of remembered leaving endpoints is limited; the oldest are dropped first."""
    for at in range(MAX_LEAVING_ENDPOINTS + 5):
        guard.endpoint_listed(float(at), at, False)
    assert (len(guard._leaving_since), min(guard._leaving_since)) == (MAX_LEAVING_ENDPOINTS, 5)
