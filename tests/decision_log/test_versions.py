"""Tests of versions: their partial order and their digests."""

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
    """Return settings with these request classes."""
    values_by_key = {f"schemes.{index}.{key}": value for index, each in enumerate(classes) for key, value in each.items()}
    return build_settings({"schemes.count": len(classes), **values_by_key, **values})


@settings(max_examples=200, deadline=None)
@given(VERSIONS, VERSIONS, VERSIONS)
def test_order_is_partial_and_consistent(first: ListVersion, second: ListVersion, third: ListVersion):
    """Swapped versions compare inversely, the order is transitive, and versions of two incarnations are not comparable."""
    assert compare_versions(first, second) == OPPOSITE[compare_versions(second, first)]
    assert (compare_versions(first, second) == VersionOrder.SAME) == (first == second)
    if compare_versions(first, second) == compare_versions(second, third) == VersionOrder.NEWER:
        assert compare_versions(first, third) == VersionOrder.NEWER
    if first.incarnation != second.incarnation:
        assert compare_versions(first, second) == VersionOrder.NOT_COMPARABLE


def test_shared_settings_are_equal_in_all_proxies():
    """Proxies with the same settings have the same version, regardless of their ordinal and zone, the order of request classes
    and the classes of earlier settings."""
    first, second, third = ({"name": name, "gain": weight} for name, weight in (("a", 1.0), ("b", 2.0), ("c", 3.0)))
    started = shared_settings(settings_of(first, second, ordinal=3, zone=1).canonical)
    former = settings_of(third, second, first, ordinal=5)
    assert shared_settings(settings_of(first, second, ordinal=5).aligned_with(former).canonical) == started
    assert shared_settings(settings_of(first, third).canonical) != started
    assert shared_settings(settings_of(first, dict(second, gain=9.0)).canonical) != started


def test_digests_depend_on_content_alone():
    """A digest depends on the content, not on the order of keys or files."""
    assert digest_of({"a": 1, "b": [2, 3]}) == digest_of({"b": [2, 3], "a": 1})
    assert digest_of({"a": 1}) != digest_of({"a": 2})
    assert digest_of_files([("a", b"x"), ("b", b"y")]) == digest_of_files([("b", b"y"), ("a", b"x")])
    assert digest_of_files([("a", b"xb"), ("b", b"y")]) != digest_of_files([("a", b"x"), ("b", b"by")])
    # After a rollback, the newer generation is the newer version.
    assert compare_versions(SettingsVersion(2, "a"), SettingsVersion(1, "b")) == VersionOrder.NEWER
