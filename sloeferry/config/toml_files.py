"""Reads the operators' TOML files; the caller checks their contents."""

import tomllib
from typing import Any

from sloeferry.config.errors import ConfigError


def read_toml(source: str, path: str) -> dict[str, Any]:
    """Return the tables of the file at `path`; raise ConfigError for `source`, the option or variable that names the file."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ConfigError(source, f"{path} can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(source, f"{path} is no TOML: {error}") from None
