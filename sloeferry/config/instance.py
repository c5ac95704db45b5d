"""Reads the configuration file and the BALANCER_* variables, at startup and again on SIGHUP."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sloeferry.config.errors import ConfigError
from sloeferry.config.settings import Settings
from sloeferry.config.settings_reader import build_settings, flatten_tree

Address = tuple[str, int]  # host, port

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
DEFAULT_MAX_DESCRIPTORS, MIN_DESCRIPTORS = 1024, 64
DEFAULT_MEMORY_MB, MIN_MEMORY_MB, MAX_MEMORY_MB = 192, 16, 1 << 20
BYTES_PER_MB = 1 << 20
# Keys that only request classes of some idempotency have.
IDEMPOTENCY_SPECIFIC_KEYS = {"group", "dedup_window"}


@dataclass(frozen=True, slots=True)
class InstanceConfig:
    """The configuration of one instance: its addresses, limits and settings."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_limit_bytes: int
    cached_endpoints: Mapping[str, Any]  # the last known endpoint list in discovery's format, or empty
    settings: Settings
    admin_address: Address | None = None
    inherited_listener_fd: int | None = None  # the listening socket for clients, if the platform holds it
    file_keys: frozenset[str] = frozenset()  # all keys of the file, to detect those missing on reload


def read_instance_config(environ: Mapping[str, str], previous: InstanceConfig | None = None) -> InstanceConfig:
    """Return the configuration of this instance; raise ConfigError if it is unusable.

    At startup the variables take precedence over the file.  On reload, with the `previous` configuration given, the file takes
    precedence, since it may have been replaced while the environment cannot change.  It then must have every key of the
    previous file, so that a truncated file changes nothing.
    """
    is_reload = previous is not None
    content = _read_file(environ.get("BALANCER_CONFIG"))
    file_keys = _keys_of_file(content)
    if previous and (key := _first_missing_key(previous.file_keys, file_keys)):
        raise ConfigError(key, "missing, the file before had it")
    for key in ("name", "listen", "discovery", "ops"):
        variable, value = environ.get(f"BALANCER_{key.upper()}"), content.get(key)
        content[key] = (value or variable if is_reload else variable or value) or ""
    for key in ("settings", "known", "limits"):
        if not isinstance(content.setdefault(key, {}), dict):
            raise ConfigError(key, "is no object")
    seed = _seed(content.get("seed", "0"))
    max_descriptors, memory_mb = _limits(content["limits"])
    settings = build_settings(flatten_tree(content["settings"]))
    _check_names(settings)
    return InstanceConfig(
        name=str(content["name"]),
        listen=parse_address("listen", content["listen"]),
        discovery=parse_address("discovery", content["discovery"]),
        seed=seed,
        max_descriptors=max_descriptors,
        memory_limit_bytes=int(memory_mb * BYTES_PER_MB),
        cached_endpoints=content["known"],
        settings=settings.aligned_with(previous.settings) if previous else settings,
        admin_address=parse_address("ops", content["ops"]) if content["ops"] else None,
        inherited_listener_fd=_inherited_listener_fd(environ),
        file_keys=file_keys,
    )


def parse_address(key: str, text: Any) -> Address:
    """Return `host:port` as a pair; raise ConfigError for `key`."""
    host, _, port = str(text).rpartition(":")
    if not (host and port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ConfigError(key, f"{text!r} is not an address of the form host:port")
    return host, int(port)


def read_log_options(environ: Mapping[str, str]) -> tuple[str, bool]:
    """Return the log level and whether log lines are JSON objects; raise ConfigError if a variable is invalid."""
    level, form = environ.get("SLOEFERRY_LOG") or "INFO", environ.get("SLOEFERRY_LOG_FORMAT") or "text"
    if level not in LOG_LEVELS:
        raise ConfigError("SLOEFERRY_LOG", f"{level!r} is none of {', '.join(LOG_LEVELS)}")
    if form not in ("text", "json"):
        raise ConfigError("SLOEFERRY_LOG_FORMAT", f"{form!r} is neither text nor json")
    return level, form == "json"


# Contents of the file


def _read_file(path: str | None) -> dict[str, Any]:
    if not path:
        raise ConfigError("BALANCER_CONFIG", "not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            content = json.load(file)
    except OSError as error:
        raise ConfigError("BALANCER_CONFIG", f"{path} can't be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError("BALANCER_CONFIG", f"{path} is not JSON: {error}") from None
    if not isinstance(content, dict):
        raise ConfigError("BALANCER_CONFIG", f"{path} does not hold a JSON object")
    return content


def _seed(text: Any) -> int:
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError("seed", f"{text!r} is no hexadecimal number") from None


def _limits(limits: Mapping[str, Any]) -> tuple[int, float]:
    """Return the maximum number of descriptors and the memory limit in MB."""
    descriptors = limits.get("sockets", DEFAULT_MAX_DESCRIPTORS)
    if isinstance(descriptors, bool) or not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise ConfigError("limits.sockets", f"{descriptors!r} is not a whole number from {MIN_DESCRIPTORS} up")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    is_number = isinstance(memory_mb, (int, float)) and not isinstance(memory_mb, bool)
    if not is_number or not MIN_MEMORY_MB <= memory_mb < MAX_MEMORY_MB:
        raise ConfigError("limits.memory_mb", f"{memory_mb!r} is not a number from {MIN_MEMORY_MB} up, or is too large")
    return descriptors, memory_mb


def _check_names(settings: Settings) -> None:
    """Raise ConfigError unless each request class and each tenant has a unique name."""
    for key, entries in (("schemes", settings.request_classes), ("tenants", settings.tenants)):
        names = [entry.name for entry in entries]
        for at, name in enumerate(names):
            if not isinstance(name, str):
                raise ConfigError(f"settings.{key}.{at}.name", "missing, or no text")
        if len(set(names)) < len(names):
            raise ConfigError(f"settings.{key}", f"{max(names, key=names.count)!r} is there twice")


def _inherited_listener_fd(environ: Mapping[str, str]) -> int | None:
    text = environ.get("BALANCER_LISTEN_FD") or None
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()):
        raise ConfigError("BALANCER_LISTEN_FD", f"{text!r} is not the number of a file descriptor")
    return int(text)


# Keys that a reloaded file must have


def _keys_of_file(content: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys of a file as dotted paths.

    For a list of objects these are the keys common to all objects (`*`), and for request classes also those common to all
    classes of one idempotency.  An empty list has no such keys.
    """
    keys: set[str] = set()

    def walk(node: Any, path: str) -> None:
        if isinstance(node, dict):
            for name, below in node.items():
                if below is not None:
                    keys.add(path + name)
                    walk(below, f"{path}{name}.")
        elif isinstance(node, list) and node and all(isinstance(item, dict) for item in node):
            by_group: dict[str, list[set[str]]] = {}
            for item in node:
                present = {name for name, below in item.items() if below is not None}
                for group in {"*", f"*{item.get('idempotency', '')}"}:
                    by_group.setdefault(group, []).append(present)
            for group, sets in by_group.items():
                keys.update(f"{path}{group}.{name}" for name in set.intersection(*sets))

    walk({name: below for name, below in content.items() if name != "known"}, "")
    return frozenset(keys)


def _first_missing_key(previous: frozenset[str], keys: frozenset[str]) -> str | None:
    """Return the first key of the previous file that this one lacks, or None."""
    # Keys of one idempotency may disappear with its last class, and keys of list entries with the last entry.
    parents = {key.rpartition(".")[0] for key in keys}
    for key in sorted(previous - keys):
        parent, _, name = key.rpartition(".")
        if "*" not in parent or parent in parents and not (parent.endswith("*") and name in IDEMPOTENCY_SPECIFIC_KEYS):
            return key
    return None
