"""SIGHUP: another configuration, while the process serves."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from loguru import logger

from sloeferry.config.instance import Address, InstanceConfig, read_instance_config
from sloeferry.config.settings import Settings

if TYPE_CHECKING:
    from sloeferry.decision_log.recorder import DecisionRecorder

# What a process keeps from its start to its end, by the words of its log lines.  Compared with the file read before: a value
# that stays changed is not warned of again.
FIXED_CONFIG: dict[str, Callable[[InstanceConfig], Any]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "ops": lambda config: config.admin_address,
    "sockets": lambda config: config.max_descriptors,
    "memory": lambda config: config.memory_limit_bytes,
}
# Settings by which parts were built: where load reports come from and what is in them, which of how many proxies this is, where.
# Costs, health checks, affinity keys, the tick, zones and kinds are fixed as well, without a line (docs/operations.md).
FIXED_SETTINGS: dict[str, Callable[[Settings], Any]] = {
    "discovery": lambda settings: settings.discovery_mode,
    "load_info.via": lambda settings: settings.load_reports.source,
    "load_info.fields": lambda settings: settings.load_reports.fields,
    "instances": lambda settings: settings.instance_count,
    "ordinal": lambda settings: settings.instance_index,
    "zone": lambda settings: settings.zone,
}


class Reloadable(Protocol):
    """A part of the proxy that acts on the configuration."""

    def update_config(self, config: InstanceConfig) -> None:
        """Another configuration holds from now on."""


class ConfigReload:
    """Reads and checks the file completely before anything of it acts, between two events.

    A file that cannot be used changes nothing, and nothing in it may end the program.
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
        """Reloads."""
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
