"""The kinds of load reports that the settings allow, which limit what is known of an endpoint's load at selection."""

from dataclasses import dataclass

from sloeferry.config.settings import Settings

IN_FLIGHT_FIELD = "inflight"
REPORT_MAX_AGE_MS = 2000.0  # older reports are ignored
# Ratio of the mean request weight that the health checks for one request may cost if they find every endpoint busy.
HEALTH_CHECK_COST_RATIO = 0.015
MAX_HEALTH_CHECKS_PER_REQUEST = 16
FREE_HEALTH_CHECKS_PER_REQUEST = 8  # limit where health checks are free


@dataclass(frozen=True, slots=True)
class LoadReporting:
    """The available load reports, fixed for the lifetime of a policy."""

    in_flight_index: int | None  # field of a report with the requests in flight; None where there is none
    may_health_check: bool
    reports_only_with_health_checks: bool  # load reports come with health checks alone
    # Load reports come with responses and endpoints can't be health-checked, so that a report may be of any age.
    is_report_age_unknown: bool
    health_checks_per_request: int  # maximum before an endpoint is selected; 0: none are sent for requests

    @classmethod
    def from_settings(cls, settings: Settings) -> "LoadReporting":
        """Derive the available load reports from the settings."""
        fields, reports = settings.load_reports.fields, settings.load_reports
        may_health_check, cost = settings.limits.may_health_check, settings.costs.health_check
        max_checks = FREE_HEALTH_CHECKS_PER_REQUEST
        if cost:
            max_checks = min(MAX_HEALTH_CHECKS_PER_REQUEST, int(HEALTH_CHECK_COST_RATIO / cost))
        return cls(
            in_flight_index=fields.index(IN_FLIGHT_FIELD) if IN_FLIGHT_FIELD in fields else None,
            may_health_check=may_health_check,
            reports_only_with_health_checks=reports.has_health_check_reports,
            is_report_age_unknown=reports.has_response_reports and not may_health_check,
            health_checks_per_request=max_checks if reports.has_response_reports and may_health_check else 0,
        )
