"""The one place where configuration is read, checked and given defaults; a fault names its key.

The settings come as nested JSON to the proxy and as lines of path=value to the simulator's adapter.
Both end as the same plain map of dotted names to values, its times in float milliseconds, complete:
whoever reads it finds every name below.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, NamedTuple

TIMES = {
    "expiry",
    "sla_time",
    "dedup_window",
    "conn_idle",
    "dial_timeout",
    "max_retry_after",
    "cold",
    "drain_grace",
    "fall",
    "grace_to_answer",
    "must_ask_in",
    "step",
}  # given in microseconds
DEFAULTS = {
    "discovery": "automatic",
    "gain_per": "request",
    "instances": 1,
    "kinds": "",
    "ordinal": 0,
    "step": 1.0,
    "tenants.count": 0,
    "zone": 0,
    "zones": "",
    "blend.log_loss_part": 0.0,
    "blend.nines_wanted": 3.0,
    "family_info.warm_keys": False,
    "limits.cancel": False,
    "limits.conn_idle": 10000.0,
    "limits.dial_timeout": 250.0,
    "limits.most_postings": 1,
    "limits.probing": False,
    "limits.retry_after": False,
    "limits.second_copies": False,
    "load_info.fields": "",
    "load_info.via": "none",
    "obligations.cold": 0.0,
    "obligations.cold_from": 1.0,
    "obligations.fall": 1000.0,
    "obligations.fall_multiple": 1.0,
    "obligations.drain_grace": 250.0,
    "obligations.must_ask_in": 10000.0,
    "obligations.only_draining_binds": False,
    "tariffs.cross_zone": 0.0,
    "tariffs.probe": 0.0,
}
SCHEME = {"dedup_window": 0.0, "expiry": 1000.0, "gain": 1.0, "group": "all", "idempotency": ""}
KINDS = {"retryable": "repeatable", "dedup": "referenced"}  # any other word is once-only
LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
ABOVE_NOUGHT = {
    "expiry",
    "sla_time",
    "conn_idle",
    "dial_timeout",
    "must_ask_in",
    "fall",
    "step",
    "instances",
    "most_postings",
    "cold_from",
    "nines_wanted",
}
WHOLE = {"most_postings", "count"}  # numbers that are no fractions
OF_A_KIND = {"group", "dedup_window"}  # of a scheme, where its kind has them


class Fault(Exception):
    """The configuration can't be used; the text names the key."""


class Berth(NamedTuple):
    """Where this instance stands, and what it is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int
    known: Mapping[str, Any]
    terms: Mapping[str, Any]
    ops: tuple[str, int] | None = None
    inherited: int | None = None  # the clients' listening socket, where the platform holds it
    keys: frozenset = frozenset()  # every key that was there, to tell a later file that lacks one

    def named(self, what):
        """The index of each name in a list of objects of the terms, without those that were dropped."""
        return {
            self.terms[f"{what}.{at}.name"]: at
            for at in range(int(self.terms[f"{what}.count"]))
            if not self.terms.get(f"{what}.{at}.dropped")
        }

    def places(self, what):
        """The same for a list of plain names."""
        return {name: at for at, name in enumerate(self.terms[what].split(","))}


def value(name, said):
    """A setting as number, truth value or text; times in milliseconds."""
    if isinstance(said, str):
        if said in ("true", "false"):
            return said == "true"
        try:
            said = float(said)
        except ValueError:
            return said
    if isinstance(said, bool) or said is None:
        return said
    return said / 1000 if name.rpartition(".")[2] in TIMES else said


def of_lines(text):
    """The settings, path=value a line, as a plain map."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return {name: value(name, said) for name, _, said in pairs}


def of_tree(node, path=""):
    """The settings, nested, as the same plain map."""
    if isinstance(node, list) and not any(isinstance(item, (dict, list)) for item in node):
        node = ",".join(str(item) for item in node)
    if isinstance(node, (dict, list)):
        flat = {f"{path}.count": len(node)} if isinstance(node, list) else {}
        for name, below in node.items() if isinstance(node, dict) else enumerate(node):
            flat.update(of_tree(below, f"{path}.{name}" if path else name))
        return flat
    if path.endswith(".name") or isinstance(node, str):  # JSON says itself what is a number
        return {path: node}
    return {path: value(path, node)}


def keys_of(told):
    """The keys of a configuration, a path each: of a list's objects those that all of them have, and for schemes
    those that all of their kind have.  What an empty list holds can't be told: it has none to lack."""
    keys = set()

    def walk(node, path):
        if isinstance(node, dict):
            for name, below in node.items():
                if below is not None:
                    keys.add(path + name)
                    walk(below, f"{path}{name}.")
        elif isinstance(node, list) and node and all(isinstance(item, dict) for item in node):
            kinds = {}
            for item in node:
                for kind in {"*", f"*{item.get('idempotency', '')}"}:
                    kinds.setdefault(kind, []).append({name for name, below in item.items() if below is not None})
            for kind, sets in kinds.items():
                keys.update(f"{path}{kind}.{name}" for name in set.intersection(*sets))

    walk({name: below for name, below in told.items() if name != "known"}, "")
    return frozenset(keys)


def lacking(former, keys):
    """The first key that the former file had and this one lacks; None if it has them all."""
    # What belongs to a kind of scheme may go with its last scheme; what is in a list that is empty now, with it.
    kinds = {key.rpartition(".")[0] for key in keys}
    for key in sorted(former - keys):
        parent, _, name = key.rpartition(".")
        if "*" not in parent or parent in kinds and not (parent.endswith("*") and name in OF_A_KIND):
            return key
    return None


def aligned(terms, former):
    """The terms with each scheme and customer at the place where it stood in the former ones: who comes new stands
    behind, and who is not named any more keeps what he had, marked as dropped.  What counts by place goes on."""
    terms = dict(terms)
    for what in ("schemes", "tenants"):
        ours = {terms[f"{what}.{at}.name"]: at for at in range(int(terms[f"{what}.count"]))}
        names = [former[f"{what}.{at}.name"] for at in range(int(former[f"{what}.count"]))]
        lines = []
        for at, name in enumerate([*names, *(name for name in ours if name not in names)]):
            source, place = (terms, ours[name]) if name in ours else (former, at)
            start = f"{what}.{place}."
            line = {key[len(start) :]: said for key, said in source.items() if key.startswith(start)}
            lines.append(line | {"dropped": name not in ours})
        terms = {key: said for key, said in terms.items() if not key.startswith(f"{what}.")}
        terms[f"{what}.count"] = len(lines)
        terms.update({f"{what}.{at}.{key}": said for at, line in enumerate(lines) for key, said in line.items()})
    return terms


def checked(key, said, default):
    """A setting that must be of its default's kind."""
    if isinstance(default, str):
        return str(said)
    if isinstance(default, bool):
        if not isinstance(said, bool):
            raise Fault(f"settings.{key}: {said!r} is neither true nor false")
    elif isinstance(said, bool) or not isinstance(said, (int, float)) or not math.isfinite(said) or said < 0:
        raise Fault(f"settings.{key}: {said!r} is not a number from 0 up")
    elif not said and key.rpartition(".")[2] in ABOVE_NOUGHT:
        raise Fault(f"settings.{key}: must be above 0")
    elif key.rpartition(".")[2] in WHOLE and said != int(said):
        raise Fault(f"settings.{key}: {said!r} is no whole number")
    return said


def complete(told):
    """The settings checked, with defaults for what was not said; the kinds of schemes in our words."""
    told = {key: said for key, said in told.items() if said is not None}
    count = told.get("schemes.count")
    if isinstance(count, bool) or not isinstance(count, (int, float)) or count < 1:
        raise Fault("settings.schemes: missing, or no list of one scheme or more")
    defaults = dict(DEFAULTS)
    for at in range(int(count)):
        defaults.update({f"schemes.{at}.{name}": default for name, default in SCHEME.items()})
        expiry = f"schemes.{at}.expiry"
        defaults[f"schemes.{at}.sla_time"] = checked(expiry, told.get(expiry, SCHEME["expiry"]), 0.0)
    terms = told | {key: checked(key, told.get(key, default), default) for key, default in defaults.items()}
    for at in range(int(count)):
        key = f"schemes.{at}.idempotency"
        terms[key] = KINDS.get(terms[key], "once-only")
    return terms


def address(key, text):
    host, _, port = str(text).rpartition(":")
    if not (host and port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise Fault(f"{key}: {text!r} is not an address of the form host:port")
    return host, int(port)


def log_terms(environ):
    """The level of the log, and whether each line is a JSON object."""
    level, form = environ.get("SLOEFERRY_LOG") or "INFO", environ.get("SLOEFERRY_LOG_FORMAT") or "text"
    if level not in LEVELS:
        raise Fault(f"SLOEFERRY_LOG: {level!r} is none of {', '.join(LEVELS)}")
    if form not in ("text", "json"):
        raise Fault(f"SLOEFERRY_LOG_FORMAT: {form!r} is neither text nor json")
    return level, form == "json"


def read(environ, former=None):
    """All that an instance is told: the file that BALANCER_CONFIG names; the other variables go before it.
    Read again, with the `former` berth at hand, the file goes first: it may have been replaced, the environment
    can't have been.  Then it has to have all keys that the former one had, and nothing of it is taken if not."""
    again = former is not None
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise Fault("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as fault:
        raise Fault(f"BALANCER_CONFIG: {path} can't be read: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise Fault(f"BALANCER_CONFIG: {path} is not JSON: {fault}") from None
    if not isinstance(told, dict):
        raise Fault(f"BALANCER_CONFIG: {path} holds no object")
    keys = keys_of(told)
    if again and (key := lacking(former.keys, keys)):
        raise Fault(f"{key}: missing, the file before had it")
    for key in ("name", "listen", "discovery", "ops"):
        said = environ.get(f"BALANCER_{key.upper()}"), told.get(key)
        told[key] = said[again] or said[not again] or ""
    for key in ("settings", "known", "limits"):
        if not isinstance(told.setdefault(key, {}), dict):
            raise Fault(f"{key}: is no object")
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError:
        raise Fault(f"seed: {told['seed']!r} is no hexadecimal number") from None
    sockets = told["limits"].get("sockets", 1024)
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise Fault(f"limits.sockets: {sockets!r} is not a whole number from 64 up")
    memory = told["limits"].get("memory_mb", 192)
    if isinstance(memory, bool) or not isinstance(memory, (int, float)) or not 16 <= memory < 1 << 20:
        raise Fault(f"limits.memory_mb: {memory!r} is not a number from 16 up")
    terms = complete(of_tree(told["settings"]))
    for what in ("schemes", "tenants"):
        for at in range(int(terms[f"{what}.count"])):
            if not isinstance(terms.get(f"{what}.{at}.name"), str):
                raise Fault(f"settings.{what}.{at}.name: missing, or no text")
        names = [terms[f"{what}.{at}.name"] for at in range(int(terms[f"{what}.count"]))]
        if len(set(names)) < len(names):
            raise Fault(f"settings.{what}: {max(names, key=names.count)!r} is there twice")
    listen, discovery = (address(key, told[key]) for key in ("listen", "discovery"))
    ops = address("ops", told["ops"]) if told["ops"] else None
    inherited = environ.get("BALANCER_LISTEN_FD") or None
    if inherited and not (inherited.isascii() and inherited.isdecimal()):
        raise Fault(f"BALANCER_LISTEN_FD: {inherited!r} is no number of a descriptor")
    return Berth(
        str(told["name"]),
        listen,
        discovery,
        seed,
        sockets,
        int(memory * (1 << 20)),
        told["known"],
        aligned(terms, former.terms) if again else terms,
        ops,
        inherited and int(inherited),
        keys,
    )
