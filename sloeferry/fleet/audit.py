"""Evaluates the answers of a fleet: which proxy holds which version, which proxies are outdated, and why.  Free of I/O.

The newest list is that of discovery if discovery was queried, else the highest revision that any proxy holds.  The newest
settings are the ones that a proxy accepted last; generations cannot be compared, as each process has its own count.  Causes
are found by elimination and may remain unknown.  Contradicting answers are reported side by side.
"""

from sloeferry.fleet.admin_client import NoAnswer
from sloeferry.fleet.audit_record import (
    Contradiction,
    FleetAudit,
    HeldVersions,
    NewestVersions,
    ProxyRow,
    ProxyState,
    ReachTimes,
    VersionedItem,
)
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress
from sloeferry.fleet.fleet_query import FleetAnswers, ProxyAnswer
from sloeferry.fleet.straggler_cause import find_cause

DEFAULT_BOUND_MS = 6000.0  # time after which a change counts as notified by discovery
REACHED_PERCENTS = (50, 90, 99, 100)


def audit_fleet(fleet: FleetConfig, answers: FleetAnswers, bound_ms: float) -> FleetAudit:
    """Audit a fleet; acts on an old version count once a newer one has been known for longer than `bound_ms`."""
    return _Auditor(answers, bound_ms).audit(fleet)


def _newest_settings(known: list[ProxyAnswer]) -> str | None:
    """Return the digest that any proxy accepted last on SIGHUP, or without any SIGHUP the one that appeared last."""
    entries = [entry for answer in known for entry in answer.acts["settings"]]
    changes = [entry for entry in entries if entry["by"] == "SIGHUP"]
    if changes:
        return min(changes, key=lambda entry: entry["heard_ms"])["digest"]
    oldest_age_ms: dict[str, float] = {}
    for entry in entries:
        oldest_age_ms[entry["digest"]] = max(oldest_age_ms.get(entry["digest"], 0.0), entry["heard_ms"])
    return min(oldest_age_ms, key=oldest_age_ms.__getitem__) if oldest_age_ms else None


def _newest_versions(answers: FleetAnswers) -> NewestVersions:
    known = answers.known()
    settings = _newest_settings(known)
    document = answers.endpoint_list
    if isinstance(document, dict) and isinstance(document.get("revision"), int):
        return NewestVersions(settings, document["revision"], by_discovery=True)
    held = [entry["revision"] for answer in known if (entry := answer.versions.get("list"))]
    return NewestVersions(settings, max(held, default=None), by_discovery=False)


class _Auditor:
    """One audit of the answers against the newest versions."""

    def __init__(self, answers: FleetAnswers, bound_ms: float):
        self._answers = answers
        self._bound_ms = bound_ms
        self._newest = _newest_versions(answers)
        # Time since any proxy first received the newest version, a lower bound of the age of the change.
        self._ages_ms = {item: self._newest_age_ms(item) for item in VersionedItem}

    def _newest_age_ms(self, item: VersionedItem) -> float:
        ages_ms = [age_ms for answer in self._answers.known() for age_ms in self._ages_of_newest_ms(answer, item)]
        return max(ages_ms, default=0.0)

    def _ages_of_newest_ms(self, answer: ProxyAnswer, item: VersionedItem) -> list[float]:
        """Return the time since each occasion on which a proxy received the newest version."""
        newest = self._newest.of(item)
        return [entry["heard_ms"] for entry in answer.acts[item.log_key] if entry[item.version_key] == newest]

    def audit(self, fleet: FleetConfig) -> FleetAudit:
        """Return the complete audit."""
        rows = [self._row(proxy, answer) for proxy, answer in zip(fleet.proxies, self._answers.proxies, strict=True)]
        reached = {item: self._reached(item) for item in VersionedItem}
        return FleetAudit(self._newest, reached, rows, self._contradictions(fleet))

    def _reached(self, item: VersionedItem) -> ReachTimes:
        """Return the time (ms) from when any proxy first had the newest version to when given percentages of the fleet had it."""
        delays_ms = []
        for answer in self._answers.known():
            if ages_ms := self._ages_of_newest_ms(answer, item):
                delays_ms.append(self._ages_ms[item] - max(ages_ms))
        delays_ms.sort()
        times: ReachTimes = {}
        for percent in REACHED_PERCENTS:
            needed = -(-len(self._answers.proxies) * percent // 100)
            times[f"{percent}%"] = round(delays_ms[needed - 1], 1) if needed <= len(delays_ms) else None
        return times

    def _row(self, proxy: ProxyAddress, answer: ProxyAnswer | NoAnswer) -> ProxyRow:
        address = "{}:{}".format(*proxy.address)
        if isinstance(answer, NoAnswer):
            return ProxyRow(proxy.name, address, ProxyState.UNKNOWN, answer.kind.value, answer.evidence)
        outdated = self._outdated_items(answer)
        state = ProxyState.STRAGGLER if outdated else ProxyState.CURRENT
        cause, evidence = find_cause(answer.versions, outdated) if outdated else ("", "")
        held = _held_versions(answer, outdated)
        return ProxyRow(proxy.name, address, state, cause, evidence, self._count_acts_after_bound(answer), held)

    def _outdated_items(self, answer: ProxyAnswer) -> list[VersionedItem]:
        outdated = []
        if answer.versions["settings"]["digest"] != self._newest.settings:
            outdated.append(VersionedItem.SETTINGS)
        held = answer.versions.get("list")
        revision = self._newest.list_revision
        if revision is not None and (not held or held["revision"] != revision):
            outdated.append(VersionedItem.ENDPOINT_LIST)
        return outdated

    def _count_acts_after_bound(self, answer: ProxyAnswer) -> int:
        """Return the number of acts on versions that had been replaced for longer than the bound at the time of the last act."""
        acts = 0
        for item in VersionedItem:
            bound_age_ms = self._ages_ms[item] - self._bound_ms
            for entry in answer.acts[item.log_key]:
                is_old = entry[item.version_key] != self._newest.of(item)
                if is_old and entry["last_ms"] is not None and bound_age_ms > entry["last_ms"]:
                    acts += entry["acts"]
        return acts

    def _contradictions(self, fleet: FleetConfig) -> list[Contradiction]:
        """Return the list revisions that proxies hold with more different contents than their different settings explain."""
        # revision -> (digest of settings, digest of list) -> proxy names
        holders: dict[int, dict[tuple[str, str], list[str]]] = {}
        for proxy, answer in zip(fleet.proxies, self._answers.proxies, strict=True):
            if isinstance(answer, NoAnswer) or not (held := answer.versions.get("list")):
                continue
            held_under = answer.versions["settings"]["digest"], held["digest"]
            holders.setdefault(held["revision"], {}).setdefault(held_under, []).append(proxy.name)
        contradictions = []
        for revision, names in sorted(holders.items()):
            settings_digests = {settings for settings, _ in names}
            list_digests = {content for _, content in names}
            if len(list_digests) > len(settings_digests):
                shown = {f"{content} under {settings}": names[settings, content] for settings, content in sorted(names)}
                contradictions.append(Contradiction(revision, shown))
        return contradictions


def _held_versions(answer: ProxyAnswer, outdated: list[VersionedItem]) -> HeldVersions:
    versions = answer.versions
    held = versions.get("list")
    return HeldVersions(
        outdated,
        versions["settings"]["digest"],
        versions["settings"]["generation"],
        [held["incarnation"], held["revision"]] if held else None,
        versions["confirmed_ms"],
        versions["program"],
        versions["up_ms"],
    )
