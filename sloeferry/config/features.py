"""The operators' own file: which subsystems are on that the platform knows nothing of.

SLOEFERRY_OPERATOR holds its path; without it none of them is imported.  It has one table for each subsystem.
"""

from dataclasses import dataclass, field, fields

from sloeferry.config.errors import ConfigError
from sloeferry.config.toml_files import read_toml


@dataclass(frozen=True, slots=True)
class DecisionLogFeatures:
    """`[versions]`: the log of what was done under which version."""

    tell: bool = False  # answer GET /admin/versions and /admin/acted
    bring_up: bool = False  # allow POST /admin/relist and /admin/reread
    carry: bool = False  # send X-Acted-On with each attempt


@dataclass(frozen=True, slots=True)
class Features:
    """All subsystems' switches."""

    versions: DecisionLogFeatures = field(default_factory=DecisionLogFeatures)


_TABLES = {"versions": DecisionLogFeatures}


def read_features(path: str) -> Features:
    """The switches in the operators' file; raises ConfigError."""
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
