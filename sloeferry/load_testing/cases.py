"""Hard cases: what befalls a daemon at or past its saturation, and how long until it serves as before."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from sloeferry.load_testing.plan import Habits, Plan
from sloeferry.load_testing.play import Rig, play
from sloeferry.load_testing.step import rig_for

CALM = 0.6  # of saturation: the load before and after


@dataclass(frozen=True)
class Case:
    """A case: what it is, how the play is made from saturation, and when what befalls has ended (seconds)."""

    about: str
    make: Callable[[float, Plan, Rig], tuple[Plan, Rig]]
    ended: float
    length: float = 10.0


def curve(*pieces):
    """Pieces of (seconds, multiples of saturation)."""
    return lambda rate, plan: replace(plan, curve=tuple((s, m * rate) for s, m in pieces))


def load(*pieces, **rig_more):
    return lambda rate, plan, rig: (curve(*pieces)(rate, plan), replace(rig, **rig_more))


def habits(pieces, **more):
    def make(rate, plan, rig):
        plan = curve(*pieces)(rate, plan)
        return replace(plan, habits=Habits(**{**vars(plan.habits), **more})), rig

    return make


def bodies(rate, plan, rig):
    schemes = tuple(replace(s, body=65536 if s.kind == "referenced" else 0) for s in plan.schemes)
    return replace(curve((3, CALM), (3, 2.0), (4, CALM))(rate, plan), schemes=schemes), replace(rig, body=65536)


def saturated_trouble(rate, plan, rig):
    return (
        curve((3, CALM), (3, 2.0), (4, CALM))(rate, plan),
        replace(rig, troubles=((0, "silent", 3.0, 6.0), (1, "errs", 3.0, 6.0))),
    )


CASES = {
    "triples": Case("load that triples at once and stays", load((4, CALM), (6, 3 * CALM)), 4.0),
    "burst": Case("a burst of 200 ms at eight times saturation", load((4, CALM), (0.2, 8.0), (5.8, CALM)), 4.2),
    "reconnect": Case("restarted under load: all callers connect anew", load((10, CALM), restart=4.0), 4.0),
    "retry-at-once": Case(
        "twice saturation; all retry at once on a decline, three times",
        habits(((3, CALM), (3, 2.0), (4, CALM)), retries=3, backoff=0.0, honour=0.0),
        6.0,
    ),
    "bodies": Case("64 KiB bodies, there and back, at twice saturation", bodies, 6.0),
    "less-cpu": Case(
        "half the load; the CPU share falls from 0.7 to 0.3 for three seconds",
        load((10, 0.6), shares=((3.0, 0.3), (6.0, 0.7))),
        6.0,
    ),
    "stall": Case("a stall of 500 ms under load", load((10, CALM), stalls=((4.0, 0.5),)), 4.5),
    "bad-backends": Case("twice saturation while one backend is silent and one errs", saturated_trouble, 6.0),
    "bad-heads": Case(
        "twice saturation, half of it heads that are refused anyway", habits(((3, CALM), (3, 2.0), (4, CALM)), refused=0.5), 6.0
    ),
    "flood": Case("four times saturation for three seconds", load((3, CALM), (3, 4.0), (4, CALM)), 6.0),
}


def run(name: str, plan: Plan, rig: Rig, rate: float) -> dict:
    """Plays a case at a saturation `rate`; its figures with `recovery`, seconds, None where it never came."""
    case = CASES[name]
    plan, rig = case.make(rate, plan, rig)
    said = play(plan, rig_for(rig, max(r for _, r in plan.curve)))
    said["recovery"] = said["recovered"](case.ended)
    return said
