"""Reads and validates scenario files; each error names the key that is wrong.

A scenario describes proxies, backends and clients with their zones, the requests that clients send, and the faults with the
times at which they are injected.
"""

import pathlib
from collections.abc import Sequence
from datetime import datetime
from typing import Annotated, NoReturn, TypeVar

import msgspec
from msgspec import Meta, field

from sloeferry.errors import UsageError
from sloeferry.rehearsal.scenario_faults import HeavyRequests, LossyZoneLink, ScenarioFault, TenantExtraWork
from sloeferry.rehearsal.scenario_tables import (
    Backends,
    BalancerSettings,
    Clients,
    Costs,
    DiscoverySettings,
    Name,
    Network,
    Obligations,
    Proxies,
    RequestClass,
    ServiceWeights,
    Table,
    Tenant,
)
from sloeferry.stand_ins.wire_protocol import RequestKind

SHIPPED_FOLDER = pathlib.Path(__file__).parent / "scenarios"
MAX_CURVE_LENGTH_RATIO = 10  # of the length of the load curve to that of the run


class ScenarioError(UsageError):
    """Raised when a scenario or an option of the command line is not valid; the text names the key or option."""


class WarmUpTerms(msgspec.Struct, frozen=True):
    """Bounds on the warm-up of all backends, which operators state in the settings of the proxies."""

    longest_seconds: float
    lowest_initial_capacity_ratio: float


class Scenario(Table, kw_only=True):
    """The contents of a scenario file."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=86400)]
    clock: str = ""  # wall-clock time at the start, like 2026-12-31T23:59:50Z
    proxies: Proxies = field(default=Proxies(), name="bank")
    network: Network = Network()
    backends: list[Backends] = field(name="nodes")
    request_classes: Annotated[list[RequestClass], Meta(min_length=1)] = field(name="scheme")
    tenants: list[Tenant] = field(default_factory=list, name="customer")
    clients: Clients = field(name="callers")
    discovery: DiscoverySettings = DiscoverySettings()
    balancer: BalancerSettings = field(default=BalancerSettings(), name="front")
    obligations: Obligations = Obligations()
    service_weights: ServiceWeights = field(default=ServiceWeights(), name="goal")
    costs: Costs = field(default=Costs(), name="prices")
    scenario_faults: list[ScenarioFault] = field(default_factory=list, name="trouble")

    def warm_up_terms(self) -> WarmUpTerms:
        """Return the longest warm-up of all backends, and the lowest capacity ratio with which one begins."""
        warming = [backends for backends in self.backends if backends.warm_up_seconds]
        return WarmUpTerms(
            max((backends.warm_up_seconds for backends in warming), default=0.0),
            min((backends.initial_capacity_ratio for backends in warming), default=1.0),
        )


AnyScenario = TypeVar("AnyScenario", bound=Scenario)


# Reading


def shipped_names() -> list[str]:
    """Return the names of the scenarios that come with the package."""
    return sorted(path.stem for path in SHIPPED_FOLDER.glob("*.toml"))


def read_scenario(name_or_path: str | pathlib.Path) -> Scenario:
    """Read and validate a scenario, given by its shipped name or its path.  Raises ScenarioError."""
    is_shipped = str(name_or_path) in shipped_names()
    path = SHIPPED_FOLDER / f"{name_or_path}.toml" if is_shipped else pathlib.Path(name_or_path)
    return parse_scenario(read_scenario_text(path, shipped_names()), path.name)


def read_scenario_text(path: pathlib.Path, known_names: Sequence[str]) -> str:
    """Return the text of a file.  Raises ScenarioError, whose text lists `known_names`."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise ScenarioError(
            f"{path}: can't be read: {reason}; the names of the shipped ones are {', '.join(known_names)}"
        ) from None


def parse_scenario(text: str, name: str = "scenario", scenario_type: type[AnyScenario] = Scenario) -> AnyScenario:
    """Parse and validate a scenario in TOML.  Raises ScenarioError.

    `scenario_type` may add further keys.
    """
    try:
        scenario = msgspec.toml.decode(text, type=scenario_type)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ScenarioError(f"{name}: {place.strip('`').removeprefix('$.') or 'top'}: {reason}") from None
    except (msgspec.DecodeError, ValueError) as error:
        raise ScenarioError(f"{name}: is no TOML: {error}") from None
    _ScenarioValidator(scenario, name).validate()
    return scenario


def parse_start_time(clock: str) -> float:
    """Return the Unix time in seconds of a scenario's `clock`.  Raises ValueError."""
    try:
        moment = datetime.fromisoformat(clock)
    except ValueError:
        raise ValueError(f"{clock!r} is no moment like 2026-12-31T23:59:50Z") from None
    if moment.tzinfo is None:
        raise ValueError(f"{clock!r} has no time zone")
    return moment.timestamp()


# Validation


class _ScenarioValidator:
    """Checks the constraints that the types and bounds of single keys do not express."""

    def __init__(self, scenario: Scenario, name: str):
        self._scenario = scenario
        self._name = name
        self._zones = scenario.network.zones
        self._class_names = [request_class.name for request_class in scenario.request_classes]
        self._tenant_names = [tenant.name for tenant in scenario.tenants]

    def validate(self) -> None:
        """Check all constraints.  Raises ScenarioError for the first one that is not met."""
        self._check_names()
        for index, backends in enumerate(self._scenario.backends):
            self._check_zone(f"nodes[{index}].zone", backends.zone)
        for index, request_class in enumerate(self._scenario.request_classes):
            self._check_request_class(f"scheme[{index}]", request_class)
        self._check_clients()
        for index, fault in enumerate(self._scenario.scenario_faults):
            self._check_fault(f"trouble[{index}]", fault)
        self._check_clock()
        weights = self._scenario.service_weights
        if not any((weights.whole, weights.worst_10_seconds, weights.worst_class, weights.worst_tenant)):
            self._fail("goal", "all weights are 0; at least one must be above 0")

    def _fail(self, key: str, reason: str) -> NoReturn:
        raise ScenarioError(f"{self._name}: {key}: {reason}")

    def _check_names(self) -> None:
        for key, names in (("network.zones", self._zones), ("scheme", self._class_names), ("customer", self._tenant_names)):
            if len(set(names)) < len(names):
                self._fail(key, "a name stands twice")

    def _check_zone(self, key: str, zone: str) -> None:
        if zone and zone not in self._zones:
            self._fail(key, f"{zone!r} is none of {', '.join(self._zones)}")

    def _check_request_class(self, key: str, request_class: RequestClass) -> None:
        if request_class.latency_objective_ms > request_class.deadline_ms:
            self._fail(f"{key}.sla_ms", "must not be above its expiry_ms")
        if request_class.kind == RequestKind.DEDUPLICATED and not request_class.deduplication_window_ms:
            self._fail(f"{key}.window_ms", "missing: for how long are repeats of a referenced txn known?")

    def _check_clients(self) -> None:
        clients = self._scenario.clients
        lowest, highest = clients.patience_range
        if not 0 < lowest <= highest:
            self._fail("callers.patience", "the least must be above 0 and no more than the most")
        if sum(length for length, _ in clients.load_curve) > MAX_CURVE_LENGTH_RATIO * self._scenario.seconds:
            self._fail("callers.curve", "must not be more than ten times as long as the run")

    def _check_fault(self, key: str, fault: ScenarioFault) -> None:
        self._check_zone(f"{key}.zone", fault.zone)
        if fault.at > self._scenario.seconds:
            self._fail(f"{key}.at", "comes after the end")
        if isinstance(fault, HeavyRequests) and fault.class_name not in self._class_names:
            self._fail(f"{key}.scheme", f"{fault.class_name!r} is not the name of a scheme")
        if isinstance(fault, TenantExtraWork) and fault.tenant_name not in self._tenant_names:
            self._fail(f"{key}.customer", f"{fault.tenant_name!r} is no customer")
        if isinstance(fault, LossyZoneLink) and not fault.zone:
            self._fail(f"{key}.zone", "missing: the way to which zone?")

    def _check_clock(self) -> None:
        if not self._scenario.clock:
            return
        try:
            parse_start_time(self._scenario.clock)
        except ValueError as error:
            self._fail("clock", str(error))
