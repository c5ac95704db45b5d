"""Plans of the fault soak, drawn from a seed: `soak-17` is the same plan everywhere.

10 to 40 proxies, nodes that are replaced, and five to nine faults that overlap in time: processes killed, stopped, told to
leave, given new settings; wall clocks off; system calls that fail; links held, cut, half open, broken; discovery down, late,
behind, counting anew, or failing each call in one way, for longer than news may go untold.  The rules are the oracle, with
each proxy's own guard of sending (docs/rig.md).
"""

from random import Random

import msgspec

from sloeferry.fault_testing.draw_faults import FILES, TROUBLES, FaultDrawer
from sloeferry.stand_ins.call_failures import CallFailure

SECONDS = 16.0
LONGEST = 9.0  # seconds that discovery's failures last, past the 6 s after which news counts as told


def text(seed: int) -> str:
    """A plan, as TOML."""
    rng = Random(f"soak {seed}")
    proxies, nodes, work = rng.choice([10, 14, 20, 28, 40]), rng.choice([8, 12, 16]), rng.choice([5, 10, 20])

    draw = FaultDrawer(rng, SECONDS, [0.1, 0.3])
    when = draw.when
    failures = [failure.value for failure in CallFailure]
    lists = [
        lambda: when(LONGEST, what="list-fail", how=rng.choice(failures)),
        lambda: when(LONGEST, what="list-fail", how=rng.choice(failures)),
        lambda: when(2, what="list-out"),
        lambda: when(3, what="list-lag"),
        lambda: when(1, what="list-anew"),
        lambda: when(2.5, what="list-older", by_s=rng.choice([1.0, 2.5])),
    ]
    others = [
        lambda: when(2, what="kill"),
        lambda: when(2, what="stop"),
        lambda: when(3, what="term"),
        lambda: when(1, what="hup", lost=rng.choice([0, 0.3]), file=rng.choice(FILES)),
        lambda: when(1, what="clock", by_s=rng.choice([-3600.0, -5.0, 5.0, 3600.0])),
        lambda: when(1, what="calls"),
        lambda: draw.link("nodes"),
        lambda: draw.link("nodes"),
        lambda: draw.link("callers"),
    ]
    faults = [rng.choice(lists)() for _ in range(rng.randint(1, 2))] + [rng.choice(others)() for _ in range(rng.randint(4, 7))]
    schemes = [
        {"name": "pull", "share": 2, "work_ms": work},
        {
            "name": "push",
            "kind": "referenced",
            "group": rng.choice(["all", "zone"]),
            "window_ms": 10000,
            "work_ms": work,
            "body": 300,
        },
        {"name": "page", "kind": "once-only", "work_ms": work, "gain": 2, "body": 100},
    ]
    troubles = [{"what": "deploy", "at": 1.0, "lasts": 8.0, "part": 0.6, "batch": 0.15, "drain_s": rng.choice([0.6, 8.0])}]
    troubles += rng.sample(TROUBLES, rng.randint(0, 2))
    cold = rng.random() < 0.5
    return msgspec.toml.encode(
        {
            "name": f"soak-{seed}",
            "about": "Drawn.",
            "seconds": SECONDS,
            "bank": {"proxies": proxies},
            "network": {"zones": ["a", "b"]},
            "nodes": [
                {
                    "count": nodes,
                    "cores": 2,
                    "cold_s": 4 if cold else 0,
                    "cold_from": 0.2 if cold else 1.0,
                    "idle_s": rng.choice([1, 30]),
                }
            ],
            "scheme": schemes,
            "callers": {
                "curve": [[SECONDS, min(240.0, 0.4 * nodes * 2000 / work)]],
                "clients": 64,
                "impatient": rng.choice([0, 0.1]),
            },
            "discovery": {"notice_s": 0.8, "silent_s": 1.5, "add_s": 0.3},
            "fault": sorted(faults, key=lambda fault: fault["at"]),
            "trouble": troubles,
        }
    ).decode()
