"""The operators' own file: which subsystems that the platform knows nothing of are on.  Its path is in
SLOEFERRY_OPERATOR; without it nothing of them is imported.  A table a subsystem; a fault names its key."""
import tomllib

from sloeferry.terms import Fault

# Table, key -> what it is where nothing is said; the kind of a value is that of its default.
TABLES = {"versions": {"tell": False, "bring_up": False, "carry": False}}


def read(path):
    """All tables, complete."""
    try:
        with open(path, "rb") as file:
            told = tomllib.load(file)
    except OSError as fault:
        raise Fault(f"SLOEFERRY_OPERATOR: {path} can't be read: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise Fault(f"SLOEFERRY_OPERATOR: {path} is no TOML: {fault}") from None
    for table, said in told.items():
        if table not in TABLES or not isinstance(said, dict):
            raise Fault(f"{path}: {table}: is none of the tables {', '.join(TABLES)}")
        for key, value in said.items():
            if key not in TABLES[table]:
                raise Fault(f"{path}: {table}.{key}: is none of {', '.join(TABLES[table])}")
            if type(value) is not type(TABLES[table][key]):
                raise Fault(f"{path}: {table}.{key}: {value!r} is not of the kind of {TABLES[table][key]!r}")
    return {table: keys | told.get(table, {}) for table, keys in TABLES.items()}
