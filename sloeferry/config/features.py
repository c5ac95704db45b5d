"""Reads the operators' file, which enables optional subsystems that aren't part of the platform's configuration.

The variable SLOEFERRY_OPERATOR holds its path; without it no optional subsystem is imported.  The file has one table for each
subsystem.
"""

from dataclasses import dataclass, field, fields

from sloeferry.config.errors import ConfigError
from sloeferry.config.toml_files import read_toml


@dataclass(frozen=True, slots=True)
class DecisionLogFeatures:
    """Switches of the decision log, which records the versions that requests were handled under (table `[versions]`)."""

    tell: bool = False  # answer GET /admin/versions and /admin/acted
    bring_up: bool = False  # allow POST /admin/relist and /admin/reread
    carry: bool = False  # send X-Acted-On with each attempt


@dataclass(frozen=True, slots=True)
class Features:
    """The switches of all optional subsystems."""

    versions: DecisionLogFeatures = field(default_factory=DecisionLogFeatures)


_TABLES = {"versions": DecisionLogFeatures}


def read_features(path: str) -> Features:
    """Return the switches in the operators' file; raise ConfigError if it is unusable."""
    tables = {}
    for table, entries in read_toml("SLOEFERRY_OPERATOR", path).items():
        if table not in _TABLES or not isinstance(entries, dict):
            raise ConfigError(f"{path}: {table}", f"is none of the tables {', '.join(_TABLES)}")
        known = {each.name: each.default for each in fields(_TABLES[table])}
        for key, value in entries.items():
            if key not in known:
                raise ConfigError(f"{path}: {table}.{key}", f"is none of {', '.join(known)}")
            if type(value) is not type(known[key]):
                raise ConfigError(f"{path}: {table}.{key}", f"{value!r} is not of the kind of {known[key]!r}")
        tables[table] = _TABLES[table](**entries)
    return Features(**tables)
