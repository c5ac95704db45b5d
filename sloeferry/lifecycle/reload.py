"""Reloads the configuration on SIGHUP while the process serves."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from sloeferry.config.instance import Address, InstanceConfig, read_instance_config
from sloeferry.config.settings import Settings

if TYPE_CHECKING:
    from sloeferry.decision_log.recorder import DecisionRecorder

# Values that stay fixed for the lifetime of a process, by the name that the log line gives them ("sockets" is the limit of file
# descriptors, "memory" that of memory).  They are compared with the file read last, so that a changed value is logged once.
FIXED_CONFIG: dict[str, Callable[[InstanceConfig], Any]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "ops": lambda config: config.admin_address,
    "sockets": lambda config: config.max_descriptors,
    "memory": lambda config: config.memory_limit_bytes,
}
# Settings used only when the parts are built: the discovery mode, source and fields of load reports, the number and index of
# proxies, the zone.
# Costs, health checks, affinity keys, the tick, zones and machine kinds are fixed, too, but not logged (docs/operations.md).
FIXED_SETTINGS: dict[str, Callable[[Settings], Any]] = {
    "discovery": lambda settings: settings.discovery_mode,
    "load_info.via": lambda settings: settings.load_reports.source,
    "load_info.fields": lambda settings: settings.load_reports.fields,
    "instances": lambda settings: settings.instance_count,
    "ordinal": lambda settings: settings.instance_index,
    "zone": lambda settings: settings.zone,
}


class Reloadable(Protocol):
    """A part of the proxy that uses the configuration."""

    def update_config(self, config: InstanceConfig) -> None:
        """Apply another configuration from now on."""


class ConfigReload:
    """Reads and validates the whole file, then applies it between two events.

    An unusable file changes nothing, and no content of the file may end the process.
    """

    def __init__(
        self,
        config: InstanceConfig,
        environ: Mapping[str, str],
        parts: Sequence[Reloadable],
        move_discovery: Callable[[Address], None],
    ):
        self._config = config
        self._environ = environ
        self._parts = parts
        self._move_discovery = move_discovery
        self.recorder: DecisionRecorder | None = None

    def __call__(self) -> None:
        """Read the configuration again and apply it, or log why it is unusable."""
        try:
            config = read_instance_config(self._environ, self._config)
        except Exception as error:
            if self.recorder:
                self.recorder.refused("settings", error)
            logger.error("SIGHUP, all stays as it was: error={!r}", str(error))
            return
        self._warn_of_fixed(config)
        self._config = replace(config, cached_endpoints={})
        for part in self._parts:
            part.update_config(config)
        if self.recorder:
            self.recorder.settings_applied(config, "SIGHUP")
        self._move_discovery(config.discovery)
        logger.info("SIGHUP, new settings: classes={}", ",".join(config.settings.class_indexes()))

    def _warn_of_fixed(self, config: InstanceConfig) -> None:
        before = self._config
        changed = [key for key, value in FIXED_CONFIG.items() if value(config) != value(before)]
        changed += [
            f"settings.{key}" for key, value in FIXED_SETTINGS.items() if value(config.settings) != value(before.settings)
        ]
        for key in changed:
            logger.warning("SIGHUP: {} can't change while this process runs, it stays as it was", key)
