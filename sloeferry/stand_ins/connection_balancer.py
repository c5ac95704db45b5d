"""A stand-in for the connection balancer in front of the proxies: round robin over the proxies of a zone that are up."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.client_connection import ClientConnection, Response

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import BalancerSettings

READY_POLL_INTERVAL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 1.0
READY_REQUEST = b"GET %b HTTP/1.1\r\nHost: front.local\r\n\r\n" % wire_protocol.READY_PATH


class ProxyListener(NamedTuple):
    """The address on which a proxy accepts client connections, and its zone."""

    name: str
    address: tuple[str, int]
    zone: str


class ConnectionBalancer:
    """Assigns client connections to proxies; `alive` holds by proxy name whether it gets new connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: "BalancerSettings", listeners: Sequence[ProxyListener]):
        self.listeners = listeners
        self.alive = dict.fromkeys((listener.name for listener in listeners), False)
        self.poll_seconds = READY_POLL_INTERVAL_SECONDS
        self.settings = settings
        self._loop = loop
        self._last_index: dict[str, int] = {}  # of the round robin, by zone
        self._incarnations = dict.fromkeys(self.alive, 0)  # starts and ends of each proxy so far

    def pick(self, zone: str) -> ProxyListener | None:
        """Return the proxy for the next connection from a zone, preferably in that zone; None if all are down."""
        alive = [listener for listener in self.listeners if self.alive[listener.name]]
        choices = [listener for listener in alive if listener.zone == zone] or alive
        if not choices:
            return None
        index = self._last_index.get(zone, -1) + 1
        self._last_index[zone] = index
        return choices[index % len(choices)]

    def proxy_started(self, name: str) -> None:
        """Handle that a proxy was started: poll it until it is ready."""
        self._incarnations[name] += 1
        self._loop.create_task(self._poll_until_ready(name, self._incarnations[name]))

    def proxy_ended(self, name: str, detection_delay_seconds: float) -> None:
        """Handle that a proxy ended or is leaving: it gets no new connections once `detection_delay_seconds` have passed."""
        self._incarnations[name] += 1
        self._loop.call_later(detection_delay_seconds, self._mark_down, name, self._incarnations[name])

    def _mark_down(self, name: str, incarnation: int) -> None:
        if self._incarnations[name] == incarnation:
            self.alive[name] = False

    async def _poll_until_ready(self, name: str, incarnation: int) -> None:
        address = next(listener.address for listener in self.listeners if listener.name == name)
        while self._incarnations[name] == incarnation:
            if await self._is_ready(address):
                if self._incarnations[name] == incarnation:
                    self.alive[name] = True
                return
            await asyncio.sleep(self.poll_seconds)

    async def _is_ready(self, address: tuple[str, int]) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, connection = await self._loop.create_connection(lambda: ClientConnection(self._loop), *address)
                connection.send_request(READY_REQUEST)
                result = await connection.response
                transport.close()
        except (OSError, TimeoutError):
            return False
        return isinstance(result, Response) and result.status == wire_protocol.STATUS_OK
