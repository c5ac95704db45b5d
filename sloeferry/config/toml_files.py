"""Reads the operators' TOML files.  What a file may hold is for its reader to check."""

import tomllib
from typing import Any

from sloeferry.config.errors import ConfigError


def read_toml(source: str, path: str) -> dict[str, Any]:
    """All tables of the file at `path`; `source` is the option or variable that names it.  Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ConfigError(source, f"{path} can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(source, f"{path} is no TOML: {error}") from None
