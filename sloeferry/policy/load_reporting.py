"""What kind of load reports there are, and so what of an endpoint's load can be known when one is chosen."""

from dataclasses import dataclass

from sloeferry.config.settings import Settings

IN_FLIGHT_FIELD = "inflight"
REPORT_MAX_AGE_MS = 2000.0  # an older report tells nothing
# Of the mean weight of a request: what health checks for it that find every endpoint busy may cost.
HEALTH_CHECK_COST_SHARE = 0.015
MAX_HEALTH_CHECKS_PER_REQUEST = 16
FREE_HEALTH_CHECKS_PER_REQUEST = 8  # where they cost nothing


@dataclass(frozen=True, slots=True)
class LoadReporting:
    """Fixed for the life of a policy."""

    in_flight_index: int | None  # where a report says how many requests are in flight; None where none says so
    may_health_check: bool
    comes_with_health_checks: bool  # reports come with health checks alone
    is_report_age_unknown: bool  # reports come with responses, and endpoints cannot be asked: they may be of any age
    health_checks_per_request: int  # at most, before an endpoint is chosen; 0: endpoints are not asked

    @classmethod
    def from_settings(cls, settings: Settings) -> "LoadReporting":
        """What the settings allow."""
        fields, reports = settings.load_reports.fields, settings.load_reports
        may_health_check, cost = settings.limits.may_health_check, settings.costs.health_check
        allowance = FREE_HEALTH_CHECKS_PER_REQUEST
        if cost:
            allowance = min(MAX_HEALTH_CHECKS_PER_REQUEST, int(HEALTH_CHECK_COST_SHARE / cost))
        return cls(
            in_flight_index=fields.index(IN_FLIGHT_FIELD) if IN_FLIGHT_FIELD in fields else None,
            may_health_check=may_health_check,
            comes_with_health_checks=reports.has_health_check_reports,
            is_report_age_unknown=reports.has_response_reports and not may_health_check,
            health_checks_per_request=allowance if reports.has_response_reports and may_health_check else 0,
        )
