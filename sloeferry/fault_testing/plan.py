"""Plan files: a rehearsal's scenario, extended with faults of processes, links and discovery.

Plans are read, validated and given defaults in one place; an error names its key.  Keys that end in `_ms` are milliseconds,
other times are seconds.
"""

import pathlib
import re
from typing import Annotated, NoReturn

import msgspec
from msgspec import Meta

from sloeferry.fault_testing import hostile_plan_generator, short_plan_generator, slow_peer_plan_generator, soak_plan_generator
from sloeferry.fault_testing.plan_faults import AnyFault, DiscoveryDowntime, Fault, Kill, Stop, Termination
from sloeferry.rehearsal import scenario as scenarios
from sloeferry.rehearsal import scenario_faults
from sloeferry.rehearsal.scenario import Scenario, ScenarioError
from sloeferry.rehearsal.scenario_tables import Positive, Ratio, Table

SHIPPED_FOLDER = pathlib.Path(__file__).parent / "plans"
MAX_PROXIES = 400  # on one machine
GENERATED_NAME = re.compile(r"(drawn|soak|hostile|slow)-(\d{1,9})")
GENERATORS = {
    "drawn": short_plan_generator.generate_plan,
    "soak": soak_plan_generator.generate_plan,
    "hostile": hostile_plan_generator.generate_plan,
    "slow": slow_peer_plan_generator.generate_plan,
}
# Faults that also exist in virtual time, and the corresponding scenario fault.
VIRTUAL_COUNTERPARTS = {
    Kill: scenario_faults.ProxyCrash,
    Stop: scenario_faults.ProxyPause,
    Termination: scenario_faults.ProxyRollingRestart,
    DiscoveryDowntime: scenario_faults.DiscoveryOutage,
}
# Scenario faults that plans reject: a process fault does the same, or real processes cannot reproduce them.
UNSUPPORTED_SCENARIO_FAULTS = (
    scenario_faults.OneSidedLoss,
    scenario_faults.LossyZoneLink,
    scenario_faults.DiscoveryMove,
    scenario_faults.ProxyCpuLimit,
    scenario_faults.ProxyQuiesce,
    scenario_faults.DiscoveryOutage,
)


class RigSettings(Table):
    """The processes of a run other than the proxies, and its audit.

    A run is void if a measuring process had an event-loop lag above `late_ms`.  At `audit_s` the fleet is audited, and the
    result is compared with the records.
    """

    nodes: Annotated[int, Meta(ge=1, le=8)] = 1
    callers: Annotated[int, Meta(ge=1, le=8)] = 1
    late_ms: Positive = 200.0
    audit_s: Positive | None = None


class Expectations(Table):
    """The plan's expectations of its proxies, in addition to the four safety rules.

    `service` is the minimum ratio of the priority weights that is served in time; `lost` is the maximum number of requests
    without a response, whatever the cause.
    """

    service: Ratio = 0.0
    lost: Annotated[int, Meta(ge=0)] = 0


class Plan(Scenario, kw_only=True):
    """A scenario with faults of processes, links and discovery."""

    rig: RigSettings = RigSettings()
    process_faults: list[AnyFault] = msgspec.field(default_factory=list, name="fault")
    expect: Expectations = Expectations()


def shipped_names() -> list[str]:
    """Return the names of the plans that the package contains."""
    return sorted(path.stem for path in SHIPPED_FOLDER.glob("*.toml"))


def read_plan_text(name: str) -> str:
    """Return the text of a plan, given a shipped name, that of a generator with a seed, such as `soak-1`, or a path."""
    if drawn := GENERATED_NAME.fullmatch(name):
        return GENERATORS[drawn[1]](int(drawn[2])).to_toml()
    path = SHIPPED_FOLDER / f"{name}.toml" if name in shipped_names() else pathlib.Path(name)
    return scenarios.read_scenario_text(path, [*shipped_names(), *(f"{kind}-N" for kind in GENERATORS)])


def read_plan(name: str) -> Plan:
    """Return the validated plan of that name or path; raises ScenarioError."""
    return parse_plan(read_plan_text(name), pathlib.Path(name).name)


def parse_plan(text: str, name: str = "plan") -> Plan:
    """Return the validated plan in that TOML text; raises ScenarioError, which names the key."""
    plan = scenarios.parse_scenario(text, name, Plan)
    if plan.proxies.count > MAX_PROXIES:
        _reject(name, "bank.proxies", f"{plan.proxies.count} proxies are too many for one machine, {MAX_PROXIES} at most")
    if plan.clock:
        _reject(name, "clock", "the machine's clock is never set; use a clock fault")
    for index, fault in enumerate(plan.scenario_faults):
        if isinstance(fault, UNSUPPORTED_SCENARIO_FAULTS):
            _reject(name, f"trouble[{index}].what", "exists in virtual time alone; see the faults")
    if plan.rig.audit_s and plan.rig.audit_s > plan.seconds:
        _reject(name, "rig.audit_s", "is after the end of the plan")
    for index, fault in enumerate(plan.process_faults):
        _check_fault(plan, fault, name, f"fault[{index}]")
    return plan


def _check_fault(plan: Plan, fault: Fault, name: str, key: str) -> None:
    if fault.at_seconds + fault.lasts_seconds > plan.seconds:
        _reject(name, f"{key}.lasts", "goes on past the end")
    for number in fault.proxies:
        if number >= plan.proxies.count:
            _reject(name, f"{key}.proxies", f"there is no proxy {number}")


def _reject(name: str, key: str, reason: str) -> NoReturn:
    raise ScenarioError(f"{name}: {key}: {reason}")


def resize(plan: Plan, proxies: int | None = None, backends: int | None = None) -> Plan:
    """Return the plan with that number of proxies, and of backends in total; the load scales with the backends."""
    replace = msgspec.structs.replace
    if proxies:
        plan = replace(plan, proxies=replace(plan.proxies, count=proxies))
    if backends:
        before = sum(group.count for group in plan.backends)
        groups = [replace(group, count=max(1, round(group.count * backends / before))) for group in plan.backends]
        after = sum(group.count for group in groups)
        curve = [(seconds, rate * after / before) for seconds, rate in plan.clients.load_curve]
        plan = replace(plan, backends=groups, clients=replace(plan.clients, load_curve=curve))
    return plan


def to_virtual_scenario(plan: Plan) -> tuple[Scenario, list[str]]:
    """Return the scenario for virtual time, and the kinds of the faults that do not exist there."""
    faults = list(plan.scenario_faults)
    left_out = []
    for fault in plan.process_faults:
        fault_type = VIRTUAL_COUNTERPARTS.get(type(fault))
        if fault_type is None:
            left_out.append(fault.kind)
            continue
        ratio = len(fault.proxies) / plan.proxies.count if fault.proxies else fault.target_ratio
        if fault_type is scenario_faults.ProxyPause:
            faults.append(fault_type(at=fault.at_seconds, part=ratio, pause_ms=fault.lasts_seconds * 1000))
        else:
            faults.append(fault_type(at=fault.at_seconds, part=ratio, lasts=fault.lasts_seconds))
    fields = {name: getattr(plan, name) for name in Scenario.__struct_fields__}
    return Scenario(**{**fields, "scenario_faults": faults}), left_out
