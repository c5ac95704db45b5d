"""What the answers of a fleet amount to: who holds which version, who lags, and why.  Free of I/O.

The newest list is discovery's own where it could be asked, else the highest revision that anybody holds.  The newest
settings are those that anybody accepted last (generations count within one process alone).  A cause is named by
elimination; where none is left, that is said.  Two answers that contradict each other are shown side by side.
"""

from sloeferry.decision_log.decision_log import HELD
from sloeferry.fleet.ask import Unknown

BOUND = 6000.0  # ms after which what discovery has to tell counts as told
CUT = 5000.0  # ms without a word from discovery, whose watches say something every 2 s
# Why nothing is known of one, by how its call ended.
UNKNOWN = {
    "down": "nobody listens there",
    "silent": "its machine does not answer",
    "hung": "stopped, or hung",
    "garbled": "answers what can't be understood",
    "another": "another proxy answers there",
    "untold": "does not tell its versions",
    "unasked": "not asked",
}


def newest_settings(known):
    """The digest accepted last by anybody; with no change ever, the one that appeared last."""
    entries = [entry for _, acted in known for entry in acted.get("settings", [])]
    changes = [entry for entry in entries if entry["by"] == "SIGHUP"]
    if changes:
        return min(changes, key=lambda entry: entry["heard_ms"])["digest"]
    first = {}
    for entry in entries:
        first[entry["digest"]] = max(first.get(entry["digest"], 0.0), entry["heard_ms"])
    return min(first, key=first.get) if first else None


def audit(roll, answers, newest, bound_ms):
    """The record: figures, a row a proxy, contradictions.  `bound_ms`: acts on an old version count once a newer one is
    so old."""
    pairs = list(zip(roll.proxies, answers))
    known = [answer for _, answer in pairs if not isinstance(answer, Unknown)]
    settings = newest_settings(known)
    lists = [versions["list"] for versions, _ in known if versions.get("list")]
    told = isinstance(newest, dict) and isinstance(newest.get("revision"), int)
    revision = newest["revision"] if told else max((one["revision"] for one in lists), default=None)
    # How long ago the newest was first met by anybody: the change cannot be younger.
    ages = {
        "settings": max((e["heard_ms"] for _, acted in known for e in acted["settings"] if e["digest"] == settings), default=0.0),
        "list": max((e["heard_ms"] for _, acted in known for e in acted["lists"] if e["revision"] == revision), default=0.0),
    }
    rows = [row(proxy, answer, settings, revision, ages, bound_ms) for proxy, answer in pairs]
    digests = {}
    for proxy, answer in pairs:
        if not isinstance(answer, Unknown) and (held := answer[0].get("list")):
            digests.setdefault(held["revision"], {}).setdefault((answer[0]["settings"]["digest"], held["digest"]), []).append(
                proxy.name
            )
    contradictions = [
        {"revision": at, "said": {f"{digest} under {under}": names for (under, digest), names in sorted(by.items())}}
        for at, by in sorted(digests.items())
        if len({digest for _, digest in by}) > len({under for under, _ in by})
    ]
    states = [one["state"] for one in rows]
    count = {state: states.count(state) for state in ("current", "straggler", "unknown")}
    acts = sum(one["acts_after_bound"] for one in rows)
    return {
        "proxies": len(rows),
        **count,
        "newest": {"settings": settings, "list": revision, "by_discovery": told},
        "reached": curve(pairs, settings, revision, ages),
        "acts_after_bound": acts,
        "rows": rows,
        "contradictions": contradictions,
        "asked": sum(one["cause"] != UNKNOWN["unasked"] for one in rows),
        "exit": 1 if count["straggler"] or acts else 3 if count["unknown"] else 0,
    }


def curve(pairs, settings, revision, ages):
    """Of each change: after how many ms since anybody first had it 50, 90, 99 and 100 % of the fleet did; None where
    that many don't."""
    said = {}
    for what, key, wanted in (("settings", "digest", settings), ("lists", "revision", revision)):
        age, late = ages["settings" if what == "settings" else "list"], []
        for _, answer in pairs:
            heard = [] if isinstance(answer, Unknown) else [e["heard_ms"] for e in answer[1][what] if e[key] == wanted]
            late += [age - max(heard)] if heard else []
        late.sort()
        said[what] = {
            f"{part}%": round(late[need - 1], 1) if (need := -(-len(pairs) * part // 100)) <= len(late) else None
            for part in (50, 90, 99, 100)
        }
    return said


def row(proxy, answer, settings, revision, ages, bound_ms):
    at = "{}:{}".format(*proxy.at)
    if isinstance(answer, Unknown):
        return {
            "name": proxy.name,
            "at": at,
            "state": "unknown",
            "cause": UNKNOWN[answer.how],
            "evidence": answer.why,
            "acts_after_bound": 0,
        }
    versions, acted = answer
    held, listed = versions["settings"], versions.get("list")
    behind = [
        what
        for what, so in (
            ("settings", held["digest"] != settings),
            ("list", revision is not None and (not listed or listed["revision"] != revision)),
        )
        if so
    ]
    acts = sum(
        one["acts"]
        for what, key, wanted, age in (
            ("settings", "digest", settings, ages["settings"]),
            ("lists", "revision", revision, ages["list"]),
        )
        for one in acted[what]
        if one[key] != wanted and one["last_ms"] is not None and age - bound_ms > one["last_ms"]
    )
    cause, evidence = why(versions, behind) if behind else ("", "")
    return {
        "name": proxy.name,
        "at": at,
        "state": "straggler" if behind else "current",
        "behind": behind,
        "cause": cause,
        "evidence": evidence,
        "settings": held["digest"],
        "generation": held["generation"],
        "list": listed and [listed["incarnation"], listed["revision"]],
        "confirmed_ms": versions["confirmed_ms"],
        "program": versions["program"],
        "up_ms": versions["up_ms"],
        "acts_after_bound": acts,
    }


def why(versions, behind):
    """A cause by elimination, and what it rests on."""
    held, listed, refused = versions["settings"], versions.get("list"), versions["refused"]
    confirmed = versions["confirmed_ms"]
    if "list" in behind:
        if listed is None:
            return "has no list", "none was ever heard"
        if confirmed is None or confirmed > CUT:
            ago = "never" if confirmed is None else f"{confirmed / 1000:.1f} s ago"
            if listed["by"] == HELD:
                return "restarted on an old list", f"up for {versions['up_ms'] / 1000:.1f} s, confirmed {ago}"
            return "cut from discovery", f"last word {ago}"
        return (
            "told nothing newer",
            f"its watch at {listed['by'].removeprefix('discovery at ')} spoke {confirmed / 1000:.1f} s ago",
        )
    if refused and refused[-1]["what"] == "settings" and refused[-1]["ago_ms"] < held["heard_ms"]:
        return "refused the file", refused[-1]["why"]
    if held["by"] == "start":
        return "never told to read its file", "as it was started, and no SIGHUP since"
    if held["by"] == "SIGHUP":
        return "never told to read its file", f"the last SIGHUP came {held['heard_ms'] / 1000:.1f} s ago"
    return "cause unknown", ""
