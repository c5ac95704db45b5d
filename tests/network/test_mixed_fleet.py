"""A fleet of mixed configurations during a migration, on loopback: two proxies in front of the same backends."""

import asyncio

from tests.support.fake_backends import FakeBackends, Script, response
from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import ProxyHarness, run_coroutine

NEW_SETTINGS = {"instances": 2, "ordinal": 1, "family_info": {"warm_keys": True}}
NO_LOAD = 'X-Load-Report: {"inflight":0}'
SERVED = "200"


def test_both_configurations_serve_and_respect_drains(golden: GoldenFiles):
    """A proxy of each configuration forwards to the same backends.

    Each request gets one response, and no request goes to the backend that drains.
    """
    lines: list[str] = []
    attempts: list[str] = []  # the backend of each attempt

    def script_of(name: str) -> Script:
        def script(number: int) -> bytes:
            attempts.append(name)
            return response(name, SERVED, NO_LOAD)

        return script

    async def scenario() -> None:
        backends = FakeBackends({name: script_of(name) for name in "bcd"})
        old = ProxyHarness(backends, settings={"instances": 2})
        new = ProxyHarness(backends, settings=NEW_SETTINGS)
        async with old, new:
            results: dict[str, list[str]] = {"old": [], "new": []}
            for number in range(20):
                results["old"].append(await old.request("safe", X_Call_Id=f"o{number}", X_Call_Info="entity=k1"))
                results["new"].append(await new.request("safe", X_Call_Id=f"n{number}", X_Call_Info="work=3,entity=k1"))
            for configuration, received in results.items():
                served = sum(result.startswith(SERVED) for result in received)
                used = {result.partition(" ")[2] for result in received}
                lines.append(f"{configuration}: {len(received)} asked, {served} served, by {len(used)} backends")
            draining = results["new"][-1].partition(" ")[2]
            lines.append(f"begun at backends: {len(attempts)}")
            for harness in (old, new):
                harness.discovery.publish_endpoints((draining, "leaving"), is_complete=False)
            await asyncio.sleep(0.1)  # until the list has arrived and is applied
            attempts.clear()
            for number in range(10):
                for prefix, harness in (("p", old), ("q", new)):
                    result = await harness.request("safe", X_Call_Id=f"{prefix}{number}", X_Call_Info="entity=k1")
                    assert result.startswith(SERVED)
            lines.append(f"to the one that drains, of {len(attempts)}: {attempts.count(draining)}")

    run_coroutine(scenario())
    golden.check(lines, "mixed_fleet_forwarding")
