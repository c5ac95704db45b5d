"""The plain balancer of connections before the proxies: deals them out among the proxies of a zone that it holds for alive."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from sloeferry.stand_ins import wire_protocol
from sloeferry.stand_ins.client_connection import ClientConnection, Response

if TYPE_CHECKING:
    from sloeferry.rehearsal.scenario_tables import BalancerSettings

POLL_SECONDS = 0.05  # between two questions whether a proxy is ready
CONNECT_TIMEOUT_SECONDS = 1.0
READY_REQUEST = b"GET %b HTTP/1.1\r\nHost: front.local\r\n\r\n" % wire_protocol.READY_PATH


class ProxyListener(NamedTuple):
    """Where a proxy takes clients' connections."""

    name: str
    address: tuple[str, int]
    zone: str


class ConnectionBalancer:
    """`alive` says of each proxy, by name, whether it gets new connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: "BalancerSettings", places: Sequence[ProxyListener]):
        self.places = places
        self.alive = dict.fromkeys((place.name for place in places), False)
        self.poll_seconds = POLL_SECONDS
        self.settings = settings
        self._loop = loop
        self._turns: dict[str, int] = {}  # by zone
        self._incarnations = dict.fromkeys(self.alive, 0)  # counts starts and ends of each proxy

    def pick(self, zone: str) -> ProxyListener | None:
        """The proxy for the next connection from a zone; None if all are down."""
        alive = [place for place in self.places if self.alive[place.name]]
        choices = [place for place in alive if place.zone == zone] or alive
        if not choices:
            return None
        turn = self._turns.get(zone, -1) + 1
        self._turns[zone] = turn
        return choices[turn % len(choices)]

    def proxy_started(self, name: str) -> None:
        """A proxy has been started: it is asked until it is ready."""
        self._incarnations[name] += 1
        self._loop.create_task(self._poll_until_ready(name, self._incarnations[name]))

    def proxy_ended(self, name: str, notice_seconds: float) -> None:
        """A proxy has ended, or leaves: that is noticed so much later."""
        self._incarnations[name] += 1
        self._loop.call_later(notice_seconds, self._drop, name, self._incarnations[name])

    def _drop(self, name: str, incarnation: int) -> None:
        if self._incarnations[name] == incarnation:
            self.alive[name] = False

    async def _poll_until_ready(self, name: str, incarnation: int) -> None:
        address = next(place.address for place in self.places if place.name == name)
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
                answer = await connection.response
                transport.close()
        except (OSError, TimeoutError):
            return False
        return isinstance(answer, Response) and answer.status == wire_protocol.STATUS_OK
