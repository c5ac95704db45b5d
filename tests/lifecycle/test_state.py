"""Lifecycle states of a proxy process, and what is reported in each."""

from collections.abc import Callable, Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.lifecycle.state import CLOSE_IDLE_AFTER_MS, Lifecycle
from tests.support.golden import GoldenFiles

Event = Callable[[Lifecycle], bool | None]

DRAINED_AT_MS = 5.0


def set_other_ready_processes(count: int) -> Event:
    """Return an event that sets the number of other serving processes."""

    def event(lifecycle: Lifecycle) -> None:
        lifecycle.other_ready_processes = count

    return event


EVENTS: Mapping[str, Event] = {
    "list": Lifecycle.first_poll_ended,
    "quiesce": lambda lifecycle: lifecycle.drain(0.0),
    "resume": Lifecycle.resume,
    "sigterm": Lifecycle.stop,
    "another serves": set_other_ready_processes(1),
    "it ends": set_other_ready_processes(0),
}
# Each title lists its events as in the golden file, separated by ", " or a space.
EVENT_SEQUENCES = (
    ("list", ["list"]),
    ("quiesce resume", ["quiesce", "resume"]),
    ("list quiesce quiesce resume resume", ["list", "quiesce", "quiesce", "resume", "resume"]),
    ("list quiesce sigterm resume", ["list", "quiesce", "sigterm", "resume"]),
    ("list quiesce, another serves, it ends, resume", ["list", "quiesce", "another serves", "it ends", "resume"]),
    ("list, another serves, sigterm", ["list", "another serves", "sigterm"]),
    ("another serves, list, sigterm, it ends", ["another serves", "list", "sigterm", "it ends"]),
    ("sigterm list", ["sigterm", "list"]),
)


def test_state_transitions(golden: GoldenFiles):
    """Each event of a sequence leads to the expected state, readiness and accept decision."""
    lines: list[str] = []
    for title, events in EVENT_SEQUENCES:
        lifecycle = Lifecycle()
        lines.append(f"-- {title}")
        for event in events:
            result = EVENTS[event](lifecycle)
            reply = "" if result is None else "yes " if result else "no "
            ready = f"front {lifecycle.reports_ready()}, operators {lifecycle.is_ready()}"
            state = f"{lifecycle.state(3)}, {lifecycle.state(0)}"
            lines.append(f"{event}: {reply}{state}; {ready}, takes in {lifecycle.accepts_connections()}")
    golden.check(lines, "state_transitions")


TIMED_EVENTS: Mapping[str, Event] = EVENTS | {"quiesce": lambda lifecycle: lifecycle.drain(DRAINED_AT_MS)}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sampled_from(sorted(TIMED_EVENTS)), max_size=12))
def test_any_event_order_is_consistent(events: list[str]):
    """After any order of events the state, readiness, accept decision and idle close are consistent."""
    lifecycle = Lifecycle()
    for event in events:
        TIMED_EVENTS[event](lifecycle)
        assert lifecycle.is_ready() == (lifecycle.state(1) == "serving")
        assert not (lifecycle.is_ready() and lifecycle.closes_connections())
        assert lifecycle.accepts_connections() or lifecycle.other_ready_processes, "no process accepts connections"
        assert not lifecycle.may_close_idle(DRAINED_AT_MS + CLOSE_IDLE_AFTER_MS - 1)
