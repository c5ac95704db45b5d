"""The connection balancer in front of the proxies, for clients in several processes."""

import asyncio
from collections.abc import Callable

from sloeferry.rehearsal.scenario_tables import BalancerSettings
from sloeferry.stand_ins.connection_balancer import ConnectionBalancer, ProxyListener

MIN_POLL_INTERVAL_SECONDS = 0.05
MAX_POLLS_PER_SECOND = 400  # total for all proxies


class ObservedLiveness(dict[str, bool]):
    """The liveness of each proxy by name; `on_change` is called with every value that is set."""

    def __init__(self, alive: dict[str, bool], on_change: Callable[[str, bool], None]):
        super().__init__(alive)
        self._on_change = on_change

    def __setitem__(self, proxy: str, is_alive: bool) -> None:
        super().__setitem__(proxy, is_alive)
        self._on_change(proxy, is_alive)


class SharedBalancer(ConnectionBalancer):
    """A connection balancer whose driver process polls the readiness of proxies; `on_change` informs the client workers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: BalancerSettings,
        listeners: list[ProxyListener],
        on_change: Callable[[str, bool], None],
    ):
        super().__init__(loop, settings, listeners)
        self.alive = ObservedLiveness(self.alive, on_change)
        self.poll_seconds = max(MIN_POLL_INTERVAL_SECONDS, len(listeners) / MAX_POLLS_PER_SECOND)
