"""The operators' own file: which subsystems that the platform knows nothing of are on.  Its path is in
SLOEFERRY_OPERATOR; without it nothing of them is imported.  A table a subsystem; a fault names its key."""

from sloeferry import tables
from sloeferry.terms import Fault

# Table, key -> what it is where nothing is said; the kind of a value is that of its default.
TABLES = {"versions": {"tell": False, "bring_up": False, "carry": False}}


def read(path):
    """All tables, complete."""
    told = tables.read("SLOEFERRY_OPERATOR", path)
    for table, said in told.items():
        if table not in TABLES or not isinstance(said, dict):
            raise Fault(f"{path}: {table}: is none of the tables {', '.join(TABLES)}")
        for key, value in said.items():
            if key not in TABLES[table]:
                raise Fault(f"{path}: {table}.{key}: is none of {', '.join(TABLES[table])}")
            if type(value) is not type(TABLES[table][key]):
                raise Fault(f"{path}: {table}.{key}: {value!r} is not of the kind of {TABLES[table][key]!r}")
    return {table: keys | told.get(table, {}) for table, keys in TABLES.items()}
