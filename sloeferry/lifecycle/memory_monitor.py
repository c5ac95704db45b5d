"""Tells in the log when the process comes near its memory limit: one that is killed for memory says nothing more."""

import asyncio

from sloeferry import environment
from sloeferry.network.client_server import ClientServer
from sloeferry.network.limited_log import warn

CHECK_INTERVAL_SECONDS = 0.25
WARNING_RATIO = 0.9  # of the limit


class MemoryMonitor:
    """Compares the resident memory with the limit, for as long as the process runs."""

    def __init__(self, clients: ClientServer, limit_bytes: int):
        self._clients = clients
        self._limit_bytes = limit_bytes
        self.peak_bytes = 0  # of the checks so far

    async def run(self) -> None:
        """Check at intervals, until cancelled."""
        while True:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        resident_bytes = environment.resident_bytes() or 0
        self.peak_bytes = max(self.peak_bytes, resident_bytes)
        if resident_bytes > self._limit_bytes * WARNING_RATIO:
            counts, account = self._clients.connection_counts(), self._clients.memory.gauges()
            warn("memory near its limit", "resident={} counts={} account={}", resident_bytes, counts, account)
