"""Policy host that records each command, and passes the events of a test to its policy."""

from collections.abc import Mapping
from typing import Any

from sloeferry.config.settings_reader import build_settings
from sloeferry.policy.endpoint_staleness import StalenessLimits
from sloeferry.policy.interface import AttemptOutcome, EndpointEntry, EndpointState, ListScope
from sloeferry.policy.policy import Policy

REQUEST_CLASSES = [("retryable", "all"), ("dedup", "zone"), ("fragile", "all")]  # idempotency, deduplication group
REQUEST_CLASS_SETTINGS = {"sla_time": 700.0, "expiry": 1000.0, "gain": 1.0, "dedup_window": 300.0}
SETTINGS = {
    "schemes.count": len(REQUEST_CLASSES),
    "instances": 1,
    "step": 1.0,
    "limits.most_postings": 4,
    "limits.cancel": True,
    "load_info.fields": "inflight",
    "load_info.via": "answers",
}

# Names of outcomes in the golden files.
_NAMES = ["settled", "erred", "turned_away", "late", "unreached", "cut", "withdrawn", "never_sent", "unknown"]
OUTCOME_NAMES = dict(zip(AttemptOutcome, _NAMES, strict=True))

EndpointSpec = str | tuple  # an endpoint's id; or id, zone, state and start time (ms), of which the last ones may be left out
ENDPOINT_DEFAULTS = (0, EndpointState.READY, 0.0)


def _entry(endpoint: EndpointSpec) -> EndpointEntry:
    given = (endpoint,) if isinstance(endpoint, str) else tuple(endpoint)
    endpoint_id, zone, state, started_at = given + ENDPOINT_DEFAULTS[len(given) - 1 :]
    return EndpointEntry(endpoint_id, zone, 0, zone, state, started_at)


def _settings(changes: Mapping[str, Any]) -> dict[str, Any]:
    values: dict[str, Any] = dict(SETTINGS)
    for index, (idempotency, group) in enumerate(REQUEST_CLASSES):
        for name, value in {"idempotency": idempotency, "group": group, **REQUEST_CLASS_SETTINGS}.items():
            values[f"schemes.{index}.{name}"] = value
    return values | {name.replace("__", "."): value for name, value in changes.items()}


class PolicyRecorder:
    """Host of one policy: records the policy's commands with the time of the test's clock (`now`, ms).

    `settings` override the settings above; their keys have `__` in place of the dot.
    """

    def __init__(self, seed: int = 7, limits: StalenessLimits | None = None, **settings: Any):
        self.lines: list[str] = []
        self.now = 0.0
        self.wakeups: list[tuple[float, int]] = []
        self.last_attempt: dict[int, int] = {}  # number of the last attempt, by request
        self.policy = Policy(self, 0.0, seed, build_settings(_settings(settings)), limits or StalenessLimits())

    def record(self, text: str) -> None:
        """Record a line with the current time."""
        self.lines.append(f"{self.now:7.1f}  {text}")

    # PolicyHost: commands are recorded in the words of the golden files

    def send_attempt(self, request_id: int, endpoint_id: str) -> None:
        """Record the sending of an attempt."""
        attempt_number = self.last_attempt[request_id] = self.last_attempt.get(request_id, -1) + 1
        self.record(f"post {request_id}/{attempt_number} to {endpoint_id}")

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Record the cancellation of an attempt."""
        self.record(f"withdraw {request_id}/{attempt_number}")

    def reject(self, request_id: int, retry_after_ms: float) -> None:
        """Record the rejection of a request."""
        self.record(f"decline {request_id}, again after {retry_after_ms:.0f}")

    def fail(self, request_id: int) -> None:
        """Record the failure of a request."""
        self.record(f"reverse {request_id}")

    def send_health_check(self, endpoint_id: str) -> None:
        """Record a health check."""
        self.record(f"probe {endpoint_id}")

    def poll_endpoints(self) -> None:
        """Record a poll of the endpoint list."""
        self.record("watch")

    def schedule_wakeup(self, at: float, token: int) -> None:
        """Add a timer."""
        self.wakeups.append((at, token))

    # Events

    def advance_to(self, now: float) -> None:
        """Advance the clock to that time (ms) and fire the timers that are due."""
        while self.wakeups and min(self.wakeups)[0] <= now:
            at, token = min(self.wakeups)
            self.wakeups.remove((at, token))
            self.now = max(self.now, at)
            self.policy.timer_fired(self.now, token)
        self.now = now

    def advance_by(self, span_ms: float) -> None:
        """Advance the clock by a number of milliseconds."""
        self.advance_to(self.now + span_ms)

    def publish_endpoints(self, *endpoints: EndpointSpec, scope: ListScope = ListScope.COMPLETE) -> None:
        """Pass an endpoint list to the policy."""
        self.policy.endpoints_listed(self.now, scope, [_entry(endpoint) for endpoint in endpoints])

    def request(
        self,
        request_id: int,
        class_index: int = 0,
        time_left_ms: float = 1000.0,
        tenant_index: int = 0,
        is_retry: bool = False,
    ) -> None:
        """Pass the arrival of a request to the policy."""
        self.record(f"   txn {request_id} of scheme {class_index}")
        self.policy.request_arrived(self.now, request_id, class_index, tenant_index, 0, time_left_ms, None, is_retry)

    def report_load(self, endpoint_id: str, in_flight: float) -> None:
        """Pass a health check's load report to the policy."""
        self.policy.health_check_ended(self.now, endpoint_id, AttemptOutcome.SERVED, 0.5, (in_flight,))

    def end_attempt(
        self,
        request_id: int,
        attempt_number: int,
        outcome: AttemptOutcome,
        in_flight: float | None = None,
        is_answered: bool | None = None,
        took_ms: float = 50.0,
    ) -> None:
        """Pass the end of an attempt to the policy, with a load report if `in_flight` is given.

        By default a served attempt answers its request.
        """
        report = "" if in_flight is None else f", reports {in_flight}"
        self.record(f"   {request_id}/{attempt_number} ends: {OUTCOME_NAMES[outcome]}{report}")
        if is_answered is None:
            is_answered = outcome is AttemptOutcome.SERVED
        load_report = () if in_flight is None else (in_flight,)
        self.policy.attempt_ended(self.now, request_id, attempt_number, outcome, is_answered, took_ms, load_report)

    # Queries

    def was_sent(self, request_id: int) -> bool:
        """Return whether an attempt of the request was sent."""
        return request_id in self.last_attempt

    def last_endpoint_id(self) -> str:
        """Return the last word recorded; after `send_attempt` it is the endpoint's id."""
        return self.lines[-1].split()[-1]
