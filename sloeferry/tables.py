"""Files of operators' tables (TOML), read in one way.  What the file may hold is its reader's to check."""

import tomllib

from sloeferry.terms import Fault


def read(what, path):
    """All tables of the file at `path`, which `what` names: an option, a variable.  A Fault says why there are none."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as fault:
        raise Fault(f"{what}: {path} can't be read: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise Fault(f"{what}: {path} is no TOML: {fault}") from None
