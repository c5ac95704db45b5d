"""Checks the safety rules immediately before the first byte of each attempt and health check.

Time may have passed since the endpoint was chosen (in the admission queue, for a body, a connect or a failed attempt), so this
module is the one place that checks the rules at the moment of sending.  Refusals are counted by cause.  `audit_attempt` checks
each attempt a second time, against state that it keeps independently: a violation is a defect of the proxy, and is counted and
logged.  The module does no I/O; times are float milliseconds of the monotonic clock.
"""

import enum
from collections import Counter
from typing import Any

from loguru import logger

from sloeferry.dispatch.request_context import RequestContext
from sloeferry.policy.interface import EndpointId, EndpointState
from sloeferry.policy.policy import Policy

MAX_LEAVING_ENDPOINTS = 4096  # draining or gone endpoints remembered; the oldest is dropped


class Refusal(enum.Enum):
    """The reason why an attempt must not begin."""

    REQUEST_OVER = "request over"
    CLIENT_GONE = "client gone"
    DEADLINE = "past its deadline"
    REPEAT_WINDOW = "a repeat might run twice"
    ENDPOINT_LEAVING = "backend draining or gone"
    LIST_STALE = "list stale"


class Violation(enum.Enum):
    """The safety rule broken by a written attempt or by a closed client connection."""

    ANSWERED = "sent for a request that had its answer"
    DEADLINE = "sent past its deadline"
    REPEATED = "sent although an earlier attempt may have run"
    DRAIN = "sent past the drain grace"
    LIST_STALE = "sent by a stale list"
    CLOSED_UNANSWERED = "closed with no answer"


class SendGuard:
    """Checks and audits the attempts of one proxy; `slack_ms` is the time added to each limit on sockets."""

    def __init__(self, policy: Policy, slack_ms: float):
        self._policy = policy
        self._slack_ms = slack_ms
        self.refusals: Counter[Refusal] = Counter()
        self.stale_refusals: Counter[str] = Counter()  # by the cause of the staleness
        self.violations: Counter[Violation] = Counter()
        self._leaving_since: dict[EndpointId, float] = {}  # when an endpoint was first listed as draining or gone

    # State for the audit

    def endpoint_listed(self, now: float, endpoint_id: EndpointId, is_ready: bool) -> None:
        """Record whether a list shows an endpoint as ready."""
        if is_ready:
            self._leaving_since.pop(endpoint_id, None)
            return
        self._leaving_since.setdefault(endpoint_id, now)
        if len(self._leaving_since) > MAX_LEAVING_ENDPOINTS:
            del self._leaving_since[next(iter(self._leaving_since))]

    # Before the first byte

    def endpoint_refusal(self, now: float, endpoint_id: EndpointId) -> Refusal | None:
        """Return why nothing new may be sent to this endpoint now (safety rule 3), or None."""
        if not self._policy.rules.is_list_usable(now):
            return Refusal.LIST_STALE
        endpoint = self._policy.table.by_id.get(endpoint_id)
        if endpoint is None or endpoint.state is not EndpointState.READY:
            return Refusal.ENDPOINT_LEAVING
        return None

    def request_refusal(self, now: float, context: RequestContext, attempt_number: int) -> Refusal | None:
        """Return why nothing more may be sent for this request (safety rules 1 and 2), or None."""
        if context.is_answered:
            return Refusal.REQUEST_OVER
        if now >= context.deadline:
            return Refusal.DEADLINE
        if not self._may_repeat(now, context, attempt_number):
            return Refusal.REPEAT_WINDOW
        return None

    def _may_repeat(self, now: float, context: RequestContext, attempt_number: int) -> bool:
        request = self._policy.requests.by_id.get(context.request_id)
        return request is None or self._policy.rules.may_repeat(request, now, attempt_number)

    def is_allowed(self, refusal: Refusal | None) -> bool:
        """Return whether there is no refusal, and count it if there is one."""
        if refusal is None:
            return True
        self.count_refusal(refusal)
        return False

    def count_refusal(self, refusal: Refusal) -> None:
        """Count an attempt or health check that was not sent, by its reason."""
        self.refusals[refusal] += 1
        if refusal is Refusal.LIST_STALE:
            self.stale_refusals[self._policy.polling.staleness.cause.value] += 1

    # Audit

    def audit_attempt(self, at: float, context: RequestContext, attempt_number: int, endpoint_id: EndpointId) -> Violation | None:
        """Return the rule that an attempt with its first byte written at `at` breaks, or None; count and log a violation."""
        grace_ms = self._policy.settings.obligations.drain_grace_ms + self._slack_ms
        violation = None
        if context.is_answered:
            violation = Violation.ANSWERED
        elif at > context.deadline + self._slack_ms:
            violation = Violation.DEADLINE
        elif at > self._leaving_since.get(endpoint_id, at) + grace_ms:
            violation = Violation.DRAIN
        elif at > self._policy.polling.staleness.usable_until + grace_ms:
            violation = Violation.LIST_STALE
        elif not self._may_repeat(at, context, attempt_number):
            violation = Violation.REPEATED
        if violation:
            self.violations[violation] += 1
            logger.error(
                "send guard violation: cause={!r} request={} attempt={} backend={}",
                violation.value,
                context.request_id,
                attempt_number,
                endpoint_id,
            )
        return violation

    def record_unanswered_close(self, context: RequestContext) -> None:
        """Record that the proxy closed a connection whose client is present and whose complete request has no answer."""
        self.violations[Violation.CLOSED_UNANSWERED] += 1
        logger.error("send guard violation: cause={!r} request={}", Violation.CLOSED_UNANSWERED.value, context.request_id)

    def counters(self) -> dict[str, Any]:
        """Return the counts of refusals and violations for operators."""
        return {
            "refused": {refusal.value: self.refusals[refusal] for refusal in Refusal},
            "refused_stale": dict(self.stale_refusals),
            "violations": {violation.value: self.violations[violation] for violation in Violation},
        }
