"""What a process has learned, as plain data, and back: free of I/O.  No decisions.

Learned things go by name and id, never by place: the next process may have other settings.  Times are those of this
machine's monotonic clock, in float ms, which all its processes share.
"""

from sloeferry.core.histogram import Histogram

SAME = 500.0  # ms: starts so near are one start, read off two processes' clocks
BACKEND = ("others", "heard", "fails", "rest_until", "pace", "learned")


def told(proxy):
    """All that makes the next process decide as this one does."""
    board, terms = proxy.board, proxy.terms
    return {
        "schemes": {
            terms[f"schemes.{at}.name"]: {
                "unit": s.took.unit,
                "took": s.took.as_list(),
                "lost": s.lost,
                "hint": s.hint,
                "hints": s.hints,
                "most_left": s.most_left,
            }
            for at, s in enumerate(proxy.schemes)
            if not s.dropped
        },
        "curve": [seen.as_list() for seen in board.curve.seen],
        "spread": board.spread.as_list(),
        "gap": proxy.gap,
        "mean_gain": proxy.mean_gain,
        "cured": board.cured,
        "errs": board.errs,
        "refused": board.refused,
        "backends": {
            b.ident: {
                **{name: finite(getattr(b, name)) for name in BACKEND},
                "launched": b.launched,
                "others": b.others + b.own,
                "slow": b.slow.as_list(),
                "sent": list(b.sent),
            }
            for b in board.known.values()
        },
    }


def taken(proxy, said):
    """Takes over what was told; the list has been taken before.  All of it is read before any of it acts: what is
    not as it should be raises, and changes nothing."""
    board, acts = proxy.board, []
    for at, scheme in enumerate(proxy.schemes):
        one = said["schemes"].get(proxy.terms[f"schemes.{at}.name"])
        if one:
            took = Histogram(number(one["unit"]), scheme.took.keep, (), Histogram.FAR_BELOW).of_list(one["took"])
            figures = {name: number(one[name]) for name in ("lost", "hint", "hints", "most_left")}
            acts.append((scheme, {"took": took, **figures}))
    if len(said["curve"]) != len(board.curve.seen):
        raise ValueError("curve: another number of levels")
    seen = [Histogram(1.0, 60).of_list(one) for one in said["curve"]]
    acts.append((board.curve, {"seen": seen}))
    acts.append(
        (
            board,
            {
                "spread": Histogram(1.0, 400).of_list(said["spread"]),
                **{name: number(said[name]) for name in ("cured", "errs", "refused")},
            },
        )
    )
    acts.append((proxy, {name: number(said[name]) for name in ("gap", "mean_gain")}))
    met = []
    for ident, one in said["backends"].items():
        b = board.all.get(ident)
        if b is None or abs(b.launched - number(one["launched"])) > SAME:
            continue  # gone, or started anew: nothing of it holds
        slow = Histogram(1.0, 12).of_list(one["slow"])
        sent = [(number(at), number(work)) for at, work in one["sent"]]
        acts.append((b, {"slow": slow, **{name: number(one[name]) for name in BACKEND}}))
        met.append((b, sent))
    for target, figures in acts:
        for name, figure in figures.items():
            setattr(target, name, figure)
    for b, sent in met:
        b.sent.extend(sent)
        board.known[b.ident] = b
    board.looked = -float("inf")
    board.smooth()


def finite(figure):
    """JSON has no infinity: a time that never was is told as null."""
    return None if figure == -float("inf") else figure


def number(said):
    """A finite number, or the time that never was; raises ValueError where it is neither."""
    if said is None:
        return -float("inf")
    if isinstance(said, bool) or not isinstance(said, (int, float)) or said != said or abs(said) == float("inf"):
        raise ValueError(f"{said!r} is no number")
    return said
