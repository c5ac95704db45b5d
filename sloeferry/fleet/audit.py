"""What the answers of a fleet amount to: which proxy holds which version, which ones lag, and why.  Free of I/O.

The newest list is discovery's own where it could be asked, else the highest revision that any proxy holds.  The newest
settings are those that any proxy accepted last (generations count within one process alone).  A cause is named by
elimination; where none is left, that is said.  Two answers that contradict each other are shown side by side.
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
    Subject,
)
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress
from sloeferry.fleet.fleet_query import FleetAnswers, ProxyAnswer
from sloeferry.fleet.straggler_cause import find_cause

DEFAULT_BOUND_MS = 6000.0  # after which what discovery has to tell counts as told
REACHED_PERCENTS = (50, 90, 99, 100)


def audit_fleet(fleet: FleetConfig, answers: FleetAnswers, bound_ms: float) -> FleetAudit:
    """The audit of a fleet; acts on an old version count once a newer one is known for longer than `bound_ms`."""
    return _Auditor(answers, bound_ms).audit(fleet)


def _newest_settings(known: list[ProxyAnswer]) -> str | None:
    """The digest that any proxy accepted last; with no change ever, the one that appeared last."""
    entries = [entry for answer in known for entry in answer.acts["settings"]]
    changes = [entry for entry in entries if entry["by"] == "SIGHUP"]
    if changes:
        return min(changes, key=lambda entry: entry["heard_ms"])["digest"]
    first_heard_ms: dict[str, float] = {}
    for entry in entries:
        first_heard_ms[entry["digest"]] = max(first_heard_ms.get(entry["digest"], 0.0), entry["heard_ms"])
    return min(first_heard_ms, key=first_heard_ms.__getitem__) if first_heard_ms else None


def _newest_versions(answers: FleetAnswers) -> NewestVersions:
    known = answers.known()
    settings = _newest_settings(known)
    document = answers.endpoint_list
    if isinstance(document, dict) and isinstance(document.get("revision"), int):
        return NewestVersions(settings, document["revision"], by_discovery=True)
    held = [entry["revision"] for answer in known if (entry := answer.versions.get("list"))]
    return NewestVersions(settings, max(held, default=None), by_discovery=False)


class _Auditor:
    """One audit: the answers, and what they say of the newest versions."""

    def __init__(self, answers: FleetAnswers, bound_ms: float):
        self._answers = answers
        self._bound_ms = bound_ms
        self._newest = _newest_versions(answers)
        # How long ago the newest was first met by any proxy: the change cannot be younger.
        self._ages_ms = {subject: self._age_ms(subject) for subject in Subject}

    def _age_ms(self, subject: Subject) -> float:
        ages_ms = [age_ms for answer in self._answers.known() for age_ms in self._heard_ms(answer, subject)]
        return max(ages_ms, default=0.0)

    def _heard_ms(self, answer: ProxyAnswer, subject: Subject) -> list[float]:
        """How long ago a proxy heard of the newest version, each time that it did."""
        newest = self._newest.of(subject)
        return [entry["heard_ms"] for entry in answer.acts[subject.log_key] if entry[subject.version_key] == newest]

    def audit(self, fleet: FleetConfig) -> FleetAudit:
        """All that the answers say."""
        rows = [self._row(proxy, answer) for proxy, answer in zip(fleet.proxies, self._answers.proxies, strict=True)]
        reached = {subject: self._reached(subject) for subject in Subject}
        return FleetAudit(self._newest, reached, rows, self._contradictions(fleet))

    def _reached(self, subject: Subject) -> ReachTimes:
        """After how many ms, since any proxy first had it, so many percent of the fleet had the newest version."""
        delays_ms = []
        for answer in self._answers.known():
            if heard_ms := self._heard_ms(answer, subject):
                delays_ms.append(self._ages_ms[subject] - max(heard_ms))
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
        behind = self._behind(answer)
        state = ProxyState.STRAGGLER if behind else ProxyState.CURRENT
        cause, evidence = find_cause(answer.versions, behind) if behind else ("", "")
        held = _held_versions(answer, behind)
        return ProxyRow(proxy.name, address, state, cause, evidence, self._acts_after_bound(answer), held)

    def _behind(self, answer: ProxyAnswer) -> list[Subject]:
        behind = []
        if answer.versions["settings"]["digest"] != self._newest.settings:
            behind.append(Subject.SETTINGS)
        held = answer.versions.get("list")
        revision = self._newest.list_revision
        if revision is not None and (not held or held["revision"] != revision):
            behind.append(Subject.ENDPOINT_LIST)
        return behind

    def _acts_after_bound(self, answer: ProxyAnswer) -> int:
        """Acts on versions that had been replaced for longer than the bound when the last of them was done."""
        acts = 0
        for subject in Subject:
            counts_from_ms = self._ages_ms[subject] - self._bound_ms
            for entry in answer.acts[subject.log_key]:
                is_old = entry[subject.version_key] != self._newest.of(subject)
                if is_old and entry["last_ms"] is not None and counts_from_ms > entry["last_ms"]:
                    acts += entry["acts"]
        return acts

    def _contradictions(self, fleet: FleetConfig) -> list[Contradiction]:
        """Revisions of the list with more contents among the proxies than settings."""
        # revision -> (settings' digest, list's digest) -> names
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


def _held_versions(answer: ProxyAnswer, behind: list[Subject]) -> HeldVersions:
    versions = answer.versions
    held = versions.get("list")
    return HeldVersions(
        behind,
        versions["settings"]["digest"],
        versions["settings"]["generation"],
        [held["incarnation"], held["revision"]] if held else None,
        versions["confirmed_ms"],
        versions["program"],
        versions["up_ms"],
    )
