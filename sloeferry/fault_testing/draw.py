"""Plans drawn from a seed: `drawn-17` is the same plan everywhere.

One fault at the most keeps a proxy from the list, and for less than the time after which it counts as told (`deemed_s`):
two in a row could keep a drain from a proxy for longer, and no proxy could keep rule 3 then.
"""

from random import Random

import msgspec

from sloeferry.fault_testing.draw_faults import FILES, TROUBLES, FaultDrawer

SECONDS = 9.0


def text(seed):
    """A plan, as TOML."""
    rng = Random(f"plan {seed}")
    proxies, cores = rng.choice([6, 12, 18, 24]), rng.choice([1, 2, 4])
    nodes = rng.choice([6, 10, 16])
    work = rng.choice([2, 10, 20, 40])
    load = rng.uniform(0.2, 0.7)
    cold = rng.random() < 0.6
    schemes = [
        {"name": "pull", "share": rng.choice([1, 3]), "work_ms": work},
        {
            "name": "push",
            "kind": "referenced",
            "group": rng.choice(["all", "zone"]),
            "window_ms": 10000,
            "work_ms": work,
            "body": rng.choice([100, 3000]),
        },
        {"name": "page", "kind": "once-only", "work_ms": work, "gain": 2, "body": 100},
    ]
    schemes = rng.sample(schemes, rng.randint(1, 3))
    rate = min(300.0, load * nodes * cores * 1000 / work)

    draw = FaultDrawer(rng, SECONDS, [0.1, 0.3, 0.6])
    when = draw.when
    lists = [
        lambda: when(2, what="list-out"),
        lambda: when(3, what="list-lag"),
        lambda: when(1, what="list-anew"),
        lambda: when(2.5, what="list-older", by_s=rng.choice([1.0, 2.5])),
        lambda: draw.link("discovery"),
    ]
    others = [
        lambda: when(2, what="kill"),
        lambda: when(2, what="stop"),
        lambda: when(3, what="term"),
        lambda: when(
            1,
            what="hup",
            lost=rng.choice([0, 0.3]),
            sla=rng.choice([0.7, 1.5]),
            file=rng.choice(FILES),
        ),
        lambda: when(1, what="clock", by_s=rng.choice([-7200.0, 30.0, 7200.0])),
        lambda: draw.link("nodes"),
        lambda: draw.link("nodes"),
        lambda: draw.link("callers"),
    ]
    faults = [rng.choice(lists)()] + [rng.choice(others)() for _ in range(rng.randint(1, 4))]
    troubles = [{"what": "deploy", "at": 1.0, "lasts": 4.0, "part": 0.6, "batch": 0.15, "drain_s": 0.6}]
    troubles += rng.sample([*TROUBLES, {"what": "slow", "at": 2.0, "lasts": 4.0, "part": 0.3, "times": 3}], rng.randint(0, 2))
    return msgspec.toml.encode(
        {
            "name": f"drawn-{seed}",
            "about": "Drawn.",
            "seconds": SECONDS,
            "bank": {"proxies": proxies},
            "network": {"zones": ["a", "b"]},
            "nodes": [
                {
                    "count": nodes,
                    "cores": cores,
                    "cold_s": 4 if cold else 0,
                    "cold_from": 0.2 if cold else 1.0,
                    "idle_s": rng.choice([1, 30]),
                }
            ],
            "scheme": schemes,
            "callers": {"curve": [[SECONDS, rate]], "clients": 48, "impatient": rng.choice([0, 0.1])},
            "discovery": {"notice_s": 0.8, "silent_s": 1.5, "add_s": 0.3, "mode": rng.choice(["subscribe", "automatic"])},
            # Nothing is promised of service under what was drawn; a txn may be lost only by what the judge excuses.
            "fault": sorted(faults, key=lambda fault: fault["at"]),
            "trouble": troubles,
        }
    ).decode()
