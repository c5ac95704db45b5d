"""Versions of settings and lists: an order that never guesses, and digests."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sloeferry.config.settings import Settings
from sloeferry.config.settings_reader import build_settings
from sloeferry.decision_log.recorder import shared_settings
from sloeferry.decision_log.versions import (
    ListVersion,
    SettingsVersion,
    VersionOrder,
    compare_versions,
    digest_of,
    digest_of_files,
)

VERSIONS = st.one_of(st.builds(ListVersion, st.integers(1, 3), st.integers(0, 4), st.sampled_from("ab")))
OPPOSITE = {
    VersionOrder.NEWER: VersionOrder.OLDER,
    VersionOrder.OLDER: VersionOrder.NEWER,
    VersionOrder.SAME: VersionOrder.SAME,
    VersionOrder.NOT_COMPARABLE: VersionOrder.NOT_COMPARABLE,
}


def settings_of(*classes: dict[str, Any], **values: Any) -> Settings:
    """Settings of these request classes."""
    lines = {f"schemes.{index}.{key}": value for index, each in enumerate(classes) for key, value in each.items()}
    return build_settings({"schemes.count": len(classes), **lines, **values})


@settings(max_examples=200, deadline=None)
@given(VERSIONS, VERSIONS, VERSIONS)
def test_order(first: ListVersion, second: ListVersion, third: ListVersion):
    """Turned round it says the opposite; newer than a newer one is newer; nothing is said across two incarnations."""
    assert compare_versions(first, second) == OPPOSITE[compare_versions(second, first)]
    assert (compare_versions(first, second) == VersionOrder.SAME) == (first == second)
    if compare_versions(first, second) == compare_versions(second, third) == VersionOrder.NEWER:
        assert compare_versions(first, third) == VersionOrder.NEWER
    if first.incarnation != second.incarnation:
        assert compare_versions(first, second) == VersionOrder.NOT_COMPARABLE


def test_shared_settings():
    """All proxies that hold the same settings have one version, whatever each held before: its own place, the order of classes
    and those that were dropped make no other."""
    first, second, third = ({"name": name, "gain": weight} for name, weight in (("a", 1.0), ("b", 2.0), ("c", 3.0)))
    started = shared_settings(settings_of(first, second, ordinal=3, zone=1).canonical)
    former = settings_of(third, second, first, ordinal=5)
    assert shared_settings(settings_of(first, second, ordinal=5).aligned_with(former).canonical) == started
    assert shared_settings(settings_of(first, third).canonical) != started
    assert shared_settings(settings_of(first, dict(second, gain=9.0)).canonical) != started


def test_digests():
    """A digest hangs on what is said, not on the order in which it is said."""
    assert digest_of({"a": 1, "b": [2, 3]}) == digest_of({"b": [2, 3], "a": 1})
    assert digest_of({"a": 1}) != digest_of({"a": 2})
    assert digest_of_files([("a", b"x"), ("b", b"y")]) == digest_of_files([("b", b"y"), ("a", b"x")])
    assert digest_of_files([("a", b"xb"), ("b", b"y")]) != digest_of_files([("a", b"x"), ("b", b"by")])
    # A roll-back is the newer one.
    assert compare_versions(SettingsVersion(2, "a"), SettingsVersion(1, "b")) == VersionOrder.NEWER
