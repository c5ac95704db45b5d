"""What one instance is told at its start, and again on SIGHUP: the configuration file and the BALANCER_* variables."""

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
# Keys of a request class that only some kinds of classes have.
IDEMPOTENCY_SPECIFIC_KEYS = {"group", "dedup_window"}


@dataclass(frozen=True, slots=True)
class InstanceConfig:
    """Where this instance stands, its limits and its settings."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_limit_bytes: int  # checked, and compared on a reload; buffers and descriptors bound the memory in use
    cached_endpoints: Mapping[str, Any]  # the endpoint list as last held, in discovery's form; empty if there is none
    settings: Settings
    admin_address: Address | None = None
    inherited_listener_fd: int | None = None  # the clients' listening socket, where the platform holds it
    file_keys: frozenset[str] = frozenset()  # every key of the file, to tell a later file that lacks one


def read_instance_config(environ: Mapping[str, str], former: InstanceConfig | None = None) -> InstanceConfig:
    """The configuration of this instance; raises ConfigError.

    At the start the variables take precedence over the file.  Read again, with the `former` configuration at hand, the file
    takes precedence: it may have been replaced, the environment cannot have been.  Then it has to have every key that the
    former one had, so that a file cut short changes nothing.
    """
    is_reload = former is not None
    content = _read_file(environ.get("BALANCER_CONFIG"))
    file_keys = _keys_of_file(content)
    if former and (key := _first_missing_key(former.file_keys, file_keys)):
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
        settings=settings.aligned_with(former.settings) if former else settings,
        admin_address=parse_address("ops", content["ops"]) if content["ops"] else None,
        inherited_listener_fd=_inherited_listener_fd(environ),
        file_keys=file_keys,
    )


def parse_address(key: str, text: Any) -> Address:
    """`host:port` as a pair; raises ConfigError for `key`."""
    host, _, port = str(text).rpartition(":")
    if not (host and port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise ConfigError(key, f"{text!r} is not an address of the form host:port")
    return host, int(port)


def read_log_options(environ: Mapping[str, str]) -> tuple[str, bool]:
    """The level of the log, and whether each line is a JSON object; raises ConfigError."""
    level, form = environ.get("SLOEFERRY_LOG") or "INFO", environ.get("SLOEFERRY_LOG_FORMAT") or "text"
    if level not in LOG_LEVELS:
        raise ConfigError("SLOEFERRY_LOG", f"{level!r} is none of {', '.join(LOG_LEVELS)}")
    if form not in ("text", "json"):
        raise ConfigError("SLOEFERRY_LOG_FORMAT", f"{form!r} is neither text nor json")
    return level, form == "json"


# The file


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
        raise ConfigError("BALANCER_CONFIG", f"{path} holds no object")
    return content


def _seed(text: Any) -> int:
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigError("seed", f"{text!r} is no hexadecimal number") from None


def _limits(limits: Mapping[str, Any]) -> tuple[int, float]:
    """The most descriptors, and the memory in MB."""
    descriptors = limits.get("sockets", DEFAULT_MAX_DESCRIPTORS)
    if isinstance(descriptors, bool) or not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise ConfigError("limits.sockets", f"{descriptors!r} is not a whole number from {MIN_DESCRIPTORS} up")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    is_number = isinstance(memory_mb, (int, float)) and not isinstance(memory_mb, bool)
    if not is_number or not MIN_MEMORY_MB <= memory_mb < MAX_MEMORY_MB:
        raise ConfigError("limits.memory_mb", f"{memory_mb!r} is not a number from {MIN_MEMORY_MB} up")
    return descriptors, memory_mb


def _check_names(settings: Settings) -> None:
    """Each class and each tenant has a name of its own."""
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
        raise ConfigError("BALANCER_LISTEN_FD", f"{text!r} is no number of a descriptor")
    return int(text)


# What a later file may lack


def _keys_of_file(content: Mapping[str, Any]) -> frozenset[str]:
    """The keys of a file as dotted paths.

    Of a list's objects those that all of them have (`*`), and for request classes those that all of one idempotency have.
    What an empty list holds cannot be told: it has no entry that could lack a key.
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


def _first_missing_key(former: frozenset[str], keys: frozenset[str]) -> str | None:
    """The first key that the former file had and this one lacks; None if it has them all."""
    # Keys of one idempotency may go with its last class; keys of a list's entries with its last entry.
    parents = {key.rpartition(".")[0] for key in keys}
    for key in sorted(former - keys):
        parent, _, name = key.rpartition(".")
        if "*" not in parent or parent in parents and not (parent.endswith("*") and name in IDEMPOTENCY_SPECIFIC_KEYS):
            return key
    return None
