"""Stragglers made current, in order of force, each step bounded over the whole fleet.

Who lags with its list is told to ask for it anew, who lags with its settings to read its file anew: one call after the
other, `pace` seconds apart and in an order by chance, so that discovery gets no more calls a second than that, however many
lag.  What a call does not mend is left to whoever replaces processes, and said.
"""

import asyncio
from random import Random

from sloeferry.fleet.ask import Unknown, ask_all, call
from sloeferry.fleet.audit import audit

LOOK = 0.5  # seconds between two audits while something may still come
STEPS = {"list": "/admin/relist", "settings": "/admin/reread"}


async def bring_up(roll, pace, patience, bound_ms, seed=0, say=lambda text: None):
    """The last audit's record, with the calls made and what came of each."""
    loop, rng = asyncio.get_running_loop(), Random(seed)
    said = audit(roll, *await ask_all(roll, None), bound_ms)
    calls, places = [], {proxy.name: proxy.at for proxy in roll.proxies}
    wanted = [(row["name"], what) for row in said["rows"] if row["state"] == "straggler" for what in row["behind"]]
    rng.shuffle(wanted)
    for turn, (name, what) in enumerate(wanted):
        if turn:
            await asyncio.sleep(pace)
        got = await call(places[name], STEPS[what], "POST")
        calls.append({"name": name, "step": what, "answer": got.why if isinstance(got, Unknown) else "yes"})
        say(f"{name}: {STEPS[what]}: {calls[-1]['answer']}")
    until = loop.time() + patience
    while wanted and said["straggler"] and loop.time() < until:
        await asyncio.sleep(min(LOOK, patience))
        said = audit(roll, *await ask_all(roll, None), bound_ms)
    return said | {"calls": calls}
