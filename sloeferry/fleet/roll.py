"""The fleet's roll: a file that names every proxy's operators' address, and discovery where it may be asked."""

from typing import NamedTuple

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import parse_address
from sloeferry.config.toml_files import read_toml
from sloeferry.errors import UsageError


class Proxy(NamedTuple):
    name: str
    at: tuple[str, int]


class Roll(NamedTuple):
    proxies: tuple[Proxy, ...]
    discovery: tuple[str, int] | None


def read(path):
    """The roll in a TOML file; Unusable names the key that can't be used."""
    try:
        return checked(path, read_toml("--fleet", path))
    except ConfigError as fault:
        raise UsageError(str(fault)) from None


def checked(path, told):
    for key in told:
        if key not in ("discovery", "proxy"):
            raise UsageError(f"{path}: {key}: is neither discovery nor proxy")
    entries, found, places = told.get("proxy", []), [], {}
    if not isinstance(entries, list) or not entries:
        raise UsageError(f"{path}: proxy: no proxy is named")
    for at, entry in enumerate(entries):
        if not isinstance(entry, dict) or set(entry) != {"name", "at"} or not isinstance(entry["name"], str):
            raise UsageError(f"{path}: proxy[{at}]: has to be a name and an address, at")
        place = parse_address(f"{path}: proxy[{at}].at", entry["at"])
        if place in places:
            raise UsageError(f"{path}: proxy[{at}].at: {entry['at']} stands there twice, as {places[place]} and {entry['name']}")
        places[place] = entry["name"]
        found.append(Proxy(entry["name"], place))
    discovery = parse_address(f"{path}: discovery", told["discovery"]) if "discovery" in told else None
    return Roll(tuple(found), discovery)
