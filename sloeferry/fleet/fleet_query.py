"""Queries all proxies of a fleet concurrently; the state of a proxy that does not answer is unknown."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

from sloeferry.fleet.admin_client import JsonObject, NoAnswer, NoAnswerKind, request_json
from sloeferry.fleet.documents import ActsDocument, VersionsDocument
from sloeferry.fleet.fleet_config import FleetConfig, ProxyAddress

MAX_CONCURRENT_CALLS = 64


class ProxyAnswer(NamedTuple):
    """The versions and the acts that a proxy reports."""

    versions: VersionsDocument
    acts: ActsDocument


class FleetAnswers(NamedTuple):
    """The proxies' answers in the order of the fleet file; `endpoint_list` is None if discovery was not queried."""

    proxies: list[ProxyAnswer | NoAnswer]
    endpoint_list: JsonObject | NoAnswer | None

    def known(self) -> list[ProxyAnswer]:
        """Return the answers of the proxies that answered."""
        return [answer for answer in self.proxies if not isinstance(answer, NoAnswer)]


async def query_fleet(
    fleet: FleetConfig, since_seconds: float | None = None, progress: Callable[[int], None] = lambda queried: None
) -> FleetAnswers:
    """Query all proxies and discovery for the acts of the last `since_seconds`, or for all that are kept.

    `progress` is called with the number of proxies queried so far.  If cancelled, it returns the answers received so far.
    """
    query = _FleetQuery(fleet, since_seconds, progress)
    tasks = [asyncio.create_task(query.query_proxy(index, proxy)) for index, proxy in enumerate(fleet.proxies)]
    if fleet.discovery:
        tasks.append(asyncio.create_task(query.query_discovery(fleet.discovery)))
    try:
        await asyncio.gather(*tasks)
    except asyncio.CancelledError:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
    return FleetAnswers(query.answers, query.endpoint_list)


class _FleetQuery:
    """A query in progress, with the answers received so far."""

    def __init__(self, fleet: FleetConfig, since_seconds: float | None, progress: Callable[[int], None]):
        not_asked = NoAnswer(NoAnswerKind.NOT_ASKED, "the audit was interrupted")
        self.answers: list[ProxyAnswer | NoAnswer] = [not_asked] * len(fleet.proxies)
        self.endpoint_list: JsonObject | NoAnswer | None = None
        self._acts_path = "/admin/acted" if since_seconds is None else f"/admin/acted?since={since_seconds:g}"
        self._progress = progress
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def query_proxy(self, index: int, proxy: ProxyAddress) -> None:
        """Query one proxy."""
        async with self._semaphore:
            self.answers[index] = await self._query(proxy)
            self._progress(sum(not _is_not_asked(answer) for answer in self.answers))

    async def _query(self, proxy: ProxyAddress) -> ProxyAnswer | NoAnswer:
        versions = await request_json(proxy.address, "/admin/versions")
        if isinstance(versions, NoAnswer):
            return versions
        if versions.get("name") != proxy.name:
            return NoAnswer(NoAnswerKind.WRONG_PROXY, f"it reports the name {versions.get('name')!r}")
        acts = await request_json(proxy.address, self._acts_path)
        if isinstance(acts, NoAnswer):
            return acts
        return ProxyAnswer(cast(VersionsDocument, versions), cast(ActsDocument, acts))

    async def query_discovery(self, address: tuple[str, int]) -> None:
        """Query discovery for the endpoint list."""
        self.endpoint_list = await request_json(address, "/v1/endpoints")


def _is_not_asked(answer: ProxyAnswer | NoAnswer) -> bool:
    return isinstance(answer, NoAnswer) and answer.kind is NoAnswerKind.NOT_ASKED
