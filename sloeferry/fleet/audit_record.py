"""What an audit finds, typed, and the JSON record that it makes.  Times in ms."""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from sloeferry.fleet.admin_client import NoAnswerKind

EXIT_CURRENT, EXIT_STRAGGLERS, EXIT_UNKNOWN = 0, 1, 3


class Subject(Enum):
    """What has versions.

    `word` names it in the record, `log_key` in the proxies' log of acts, and `version_key` what tells two versions apart.
    """

    SETTINGS = ("settings", "settings", "digest")
    ENDPOINT_LIST = ("list", "lists", "revision")

    def __init__(self, word: str, log_key: str, version_key: str):
        self.word = word
        self.log_key = log_key
        self.version_key = version_key


class ProxyState(StrEnum):
    """How a proxy stands to the newest versions."""

    CURRENT = "current"
    STRAGGLER = "straggler"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class HeldVersions:
    """What a proxy that answered holds, and what of it is not the newest."""

    behind: list[Subject]
    settings_digest: str
    settings_generation: int
    list_incarnation_and_revision: list[int] | None  # None: it has no list
    confirmed_ms: float | None
    program: str
    up_ms: float


@dataclass(frozen=True)
class ProxyRow:
    """One proxy; `held` is None where it is unknown."""

    name: str
    address: str
    state: ProxyState
    cause: str = ""
    evidence: str = ""
    acts_after_bound: int = 0
    held: HeldVersions | None = None

    def behind(self) -> list[Subject]:
        """What it holds that is not the newest, as far as that is known."""
        return self.held.behind if self.held else []

    def as_json(self) -> dict[str, Any]:
        """The row of the record."""
        row: dict[str, Any] = {"name": self.name, "at": self.address, "state": self.state}
        if self.held:
            row["behind"] = [subject.word for subject in self.held.behind]
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
    """The newest of the fleet; the list's is `by_discovery` where that could be asked."""

    settings: str | None  # digest
    list_revision: int | None
    by_discovery: bool

    def of(self, subject: Subject) -> str | int | None:
        """The newest version of a subject."""
        return self.settings if subject is Subject.SETTINGS else self.list_revision


@dataclass(frozen=True)
class Contradiction:
    """One revision of the list that proxies hold differently, and not for their settings alone."""

    revision: int
    proxies_by_content: dict[str, list[str]]  # digest of the list, under which settings -> names

    def as_json(self) -> dict[str, Any]:
        """The entry of the record."""
        return {"revision": self.revision, "said": self.proxies_by_content}


# After how many ms so many percent of the fleet had a version; None: not yet.
ReachTimes = dict[str, float | None]


@dataclass(frozen=True)
class FleetAudit:
    """All that an audit finds."""

    newest: NewestVersions
    reached: dict[Subject, ReachTimes]
    rows: list[ProxyRow]
    contradictions: list[Contradiction]

    def count(self, state: ProxyState) -> int:
        """Proxies in that state."""
        return sum(row.state is state for row in self.rows)

    def acts_after_bound(self) -> int:
        """Acts on an old version, all proxies together."""
        return sum(row.acts_after_bound for row in self.rows)

    def asked(self) -> int:
        """Proxies that were asked before an interruption."""
        return sum(row.cause != NoAnswerKind.NOT_ASKED.value for row in self.rows)

    def stragglers(self) -> list[ProxyRow]:
        """The proxies that are not on the newest versions."""
        return [row for row in self.rows if row.state is ProxyState.STRAGGLER]

    def exit_status(self) -> int:
        """Of the command line."""
        if self.count(ProxyState.STRAGGLER) or self.acts_after_bound():
            return EXIT_STRAGGLERS
        return EXIT_UNKNOWN if self.count(ProxyState.UNKNOWN) else EXIT_CURRENT

    def as_json(self) -> dict[str, Any]:
        """The record."""
        return {
            "proxies": len(self.rows),
            **{state.value: self.count(state) for state in ProxyState},
            "newest": {
                "settings": self.newest.settings,
                "list": self.newest.list_revision,
                "by_discovery": self.newest.by_discovery,
            },
            "reached": {subject.log_key: times for subject, times in self.reached.items()},
            "acts_after_bound": self.acts_after_bound(),
            "rows": [row.as_json() for row in self.rows],
            "contradictions": [contradiction.as_json() for contradiction in self.contradictions],
            "asked": self.asked(),
            "exit": self.exit_status(),
        }
