"""The options of a run."""

from dataclasses import dataclass

from sloeferry.fault_testing.plan import Plan


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of one run; workers parse `plan_text` and resize the plan themselves."""

    plan_text: str
    plan: Plan  # after resizing
    seed: int
    proxy_count: int | None = None  # None: the plan's own
    backend_count: int | None = None  # in total; None: the plan's own
