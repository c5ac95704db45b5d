"""Reads the fleet file: the admin addresses of all proxies, and optionally the address of discovery."""

from typing import Any, NamedTuple

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import Address, parse_address
from sloeferry.config.toml_files import read_toml
from sloeferry.errors import UsageError

KNOWN_KEYS = ("discovery", "proxy")
PROXY_KEYS = {"name", "at"}


class ProxyAddress(NamedTuple):
    """The name and the admin address of a proxy."""

    name: str
    address: Address


class FleetConfig(NamedTuple):
    """All proxies of a fleet; `discovery` is None if it is not to be queried."""

    proxies: tuple[ProxyAddress, ...]
    discovery: Address | None


def read_fleet_config(path: str) -> FleetConfig:
    """Return the fleet that a TOML file describes; raise UsageError, which names the invalid key."""
    try:
        return _parse(path, read_toml("--fleet", path))
    except ConfigError as error:
        raise UsageError(str(error)) from None


def _parse(path: str, document: dict[str, Any]) -> FleetConfig:
    for key in document:
        if key not in KNOWN_KEYS:
            raise UsageError(f"{path}: {key}: is neither discovery nor proxy")
    entries = document.get("proxy", [])
    if not isinstance(entries, list) or not entries:
        raise UsageError(f"{path}: proxy: no proxy is named")
    names: dict[Address, str] = {}
    for index, entry in enumerate(entries):
        key = f"{path}: proxy[{index}]"
        if not isinstance(entry, dict) or set(entry) != PROXY_KEYS or not isinstance(entry["name"], str):
            raise UsageError(f"{key}: has to be a name and an address, at")
        address = parse_address(f"{key}.at", entry["at"])
        if address in names:
            raise UsageError(f"{key}.at: {entry['at']} stands there twice, as {names[address]} and {entry['name']}")
        names[address] = entry["name"]
    discovery = parse_address(f"{path}: discovery", document["discovery"]) if "discovery" in document else None
    return FleetConfig(tuple(ProxyAddress(name, address) for address, name in names.items()), discovery)
