"""What a run is to be."""

from dataclasses import dataclass

from sloeferry.fault_testing.plan import Plan


@dataclass(frozen=True, slots=True)
class RunOptions:
    """One run.  Workers read the plan's text by themselves, and resize it likewise."""

    plan_text: str
    plan: Plan  # resized
    seed: int
    proxy_count: int | None = None  # in place of the plan's own
    backend_count: int | None = None  # in all
