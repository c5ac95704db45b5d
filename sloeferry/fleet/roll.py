"""The fleet's roll: a file that names every proxy's operators' address, and discovery where it may be asked."""

from typing import NamedTuple

from sloeferry import tables, terms
from sloeferry.faults import Unusable


class Proxy(NamedTuple):
    name: str
    at: tuple[str, int]


class Roll(NamedTuple):
    proxies: tuple[Proxy, ...]
    discovery: tuple[str, int] | None


def read(path):
    """The roll in a TOML file; Unusable names the key that can't be used."""
    try:
        return checked(path, tables.read("--fleet", path))
    except terms.Fault as fault:
        raise Unusable(str(fault)) from None


def checked(path, told):
    for key in told:
        if key not in ("discovery", "proxy"):
            raise Unusable(f"{path}: {key}: is neither discovery nor proxy")
    entries, found, places = told.get("proxy", []), [], {}
    if not isinstance(entries, list) or not entries:
        raise Unusable(f"{path}: proxy: no proxy is named")
    for at, entry in enumerate(entries):
        if not isinstance(entry, dict) or set(entry) != {"name", "at"} or not isinstance(entry["name"], str):
            raise Unusable(f"{path}: proxy[{at}]: has to be a name and an address, at")
        place = terms.address(f"{path}: proxy[{at}].at", entry["at"])
        if place in places:
            raise Unusable(f"{path}: proxy[{at}].at: {entry['at']} stands there twice, as {places[place]} and {entry['name']}")
        places[place] = entry["name"]
        found.append(Proxy(entry["name"], place))
    discovery = terms.address(f"{path}: discovery", told["discovery"]) if "discovery" in told else None
    return Roll(tuple(found), discovery)
