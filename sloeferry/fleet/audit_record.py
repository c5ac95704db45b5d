"""Typed results of an audit, and their JSON record; times are in ms."""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from sloeferry.fleet.admin_client import NoAnswerKind

EXIT_CURRENT, EXIT_STRAGGLERS, EXIT_UNKNOWN = 0, 1, 3


class VersionedItem(Enum):
    """An item that has versions.

    `record_name` is its name in the record, `log_key` its key in the decision logs of proxies, and `version_key` the field that
    identifies a version.
    """

    SETTINGS = ("settings", "settings", "digest")
    ENDPOINT_LIST = ("list", "lists", "revision")

    def __init__(self, record_name: str, log_key: str, version_key: str):
        self.record_name = record_name
        self.log_key = log_key
        self.version_key = version_key


class ProxyState(StrEnum):
    """The state of a proxy relative to the newest versions."""

    CURRENT = "current"
    STRAGGLER = "straggler"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class HeldVersions:
    """The versions that a proxy holds, and which items of them are outdated."""

    outdated: list[VersionedItem]
    settings_digest: str
    settings_generation: int
    list_incarnation_and_revision: list[int] | None  # None if it has no list
    confirmed_ms: float | None
    program: str
    up_ms: float


@dataclass(frozen=True)
class ProxyRow:
    """The audit of one proxy; `held` is None if its state is unknown."""

    name: str
    address: str
    state: ProxyState
    cause: str = ""
    evidence: str = ""
    acts_after_bound: int = 0
    held: HeldVersions | None = None

    def outdated_items(self) -> list[VersionedItem]:
        """Return the items of which the proxy is known to hold an outdated version."""
        return self.held.outdated if self.held else []

    def as_json(self) -> dict[str, Any]:
        """Return the row of the record."""
        row: dict[str, Any] = {"name": self.name, "at": self.address, "state": self.state}
        if self.held:
            row["behind"] = [item.record_name for item in self.held.outdated]
        row |= {"cause": self.cause, "evidence": self.evidence}
        if self.held:
            row |= {
                "settings": self.held.settings_digest,
                "generation": self.held.settings_generation,
                "list": self.held.list_incarnation_and_revision,
                "confirmed_ms": self.held.confirmed_ms,
                "program": self.held.program,
                "up_ms": self.held.up_ms,
            }
        return row | {"acts_after_bound": self.acts_after_bound}


class NewestVersions(NamedTuple):
    """The newest versions of the fleet; `by_discovery` is True if the list revision was queried from discovery."""

    settings: str | None  # digest
    list_revision: int | None
    by_discovery: bool

    def of(self, item: VersionedItem) -> str | int | None:
        """Return the newest version of an item."""
        return self.settings if item is VersionedItem.SETTINGS else self.list_revision


@dataclass(frozen=True)
class Contradiction:
    """A revision of the list that proxies hold with different contents, which their settings do not explain."""

    revision: int
    proxies_by_content: dict[str, list[str]]  # digest of the list and digest of the settings -> proxy names

    def as_json(self) -> dict[str, Any]:
        """Return the entry of the record."""
        return {"revision": self.revision, "said": self.proxies_by_content}


# Time (ms) after which a percentage of the fleet had a version; None if it has not been reached.
ReachTimes = dict[str, float | None]


@dataclass(frozen=True)
class FleetAudit:
    """The result of an audit."""

    newest: NewestVersions
    reached: dict[VersionedItem, ReachTimes]
    rows: list[ProxyRow]
    contradictions: list[Contradiction]

    def count(self, state: ProxyState) -> int:
        """Return the number of proxies in a state."""
        return sum(row.state is state for row in self.rows)

    def acts_after_bound(self) -> int:
        """Return the number of acts of all proxies on an old version after the bound."""
        return sum(row.acts_after_bound for row in self.rows)

    def queried_count(self) -> int:
        """Return the number of proxies that were queried, which is less than all if the audit was interrupted."""
        return sum(row.cause != NoAnswerKind.NOT_ASKED.value for row in self.rows)

    def stragglers(self) -> list[ProxyRow]:
        """Return the proxies that do not hold the newest versions."""
        return [row for row in self.rows if row.state is ProxyState.STRAGGLER]

    def exit_status(self) -> int:
        """Return the exit status of the command line."""
        if self.count(ProxyState.STRAGGLER) or self.acts_after_bound():
            return EXIT_STRAGGLERS
        return EXIT_UNKNOWN if self.count(ProxyState.UNKNOWN) else EXIT_CURRENT

    def as_json(self) -> dict[str, Any]:
        """Return the record."""
        return {
            "proxies": len(self.rows),
            **{state.value: self.count(state) for state in ProxyState},
            "newest": {
                "settings": self.newest.settings,
                "list": self.newest.list_revision,
                "by_discovery": self.newest.by_discovery,
            },
            "reached": {item.log_key: times for item, times in self.reached.items()},
            "acts_after_bound": self.acts_after_bound(),
            "rows": [row.as_json() for row in self.rows],
            "contradictions": [contradiction.as_json() for contradiction in self.contradictions],
            "asked": self.queried_count(),
            "exit": self.exit_status(),
        }
