"""What the platform writes for a proxy: its settings and its configuration, times in microseconds."""

KINDS = {"repeatable": "retryable", "referenced": "dedup", "once-only": "fragile"}  # on the platform's wire


def scheme(name, kind, sla_ms, expiry_ms, gain, group="all", window_ms=0.0):
    """The settings of one request class."""
    return {
        "name": name,
        "idempotency": KINDS[kind],
        "group": group,
        "sla_time": sla_ms * 1000,
        "expiry": expiry_ms * 1000,
        "gain": gain,
        "dedup_window": window_ms * 1000,
    }


def settings(
    schemes,
    customers,
    *,
    instances,
    ordinal,
    zones,
    kinds,
    discovery="subscribe",
    idle_s=30.0,
    cold_s=0.0,
    cold_from=1.0,
    drain_grace_ms=250.0,
    fall_ms=1500.0,
    fall_multiple=3.0,
    must_ask_in_s=10.0,
    cross_zone=0.005,
    probe=0.002,
):
    """The settings of the proxy of that ordinal; `schemes` as `scheme` makes them, `customers` (name, share)."""
    return {
        "instances": instances,
        "ordinal": ordinal,
        "zone": ordinal % len(zones),
        "zones": list(zones),
        "kinds": sorted(kinds),
        "step": 1000,
        "discovery": discovery,
        "schemes": schemes,
        "tenants": [{"name": name, "share": share} for name, share in customers],
        "limits": {
            "most_postings": 4,
            "second_copies": True,
            "cancel": True,
            "probing": True,
            "retry_after": True,
            "conn_idle": idle_s * 1e6,
            "dial_timeout": 200_000,
        },
        "obligations": {
            "drain_grace": drain_grace_ms * 1000,
            "cold": cold_s * 1e6,
            "cold_from": cold_from,
            "fall": fall_ms * 1000,
            "fall_multiple": fall_multiple,
            "must_ask_in": must_ask_in_s * 1e6,
        },
        "tariffs": {"cross_zone": cross_zone, "probe": probe},
        "load_info": {"fields": ["inflight", "queue", "util"], "via": "answers"},
    }


def berth(name, listen, discovery, settings, *, seed, sockets=1024, memory_mb=192, cores=1.0, ops=None, known=None):
    """The configuration of one proxy; addresses are (host, port)."""
    told = {
        "name": name,
        "listen": place(listen),
        "discovery": place(discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": cores, "sockets": sockets, "memory_mb": memory_mb},
        "settings": settings,
    }
    if ops:
        told["ops"] = place(ops)
    if known is not None:
        told["known"] = known
    return told


def place(address):
    """An address as configurations spell it."""
    return address if isinstance(address, str) else "{}:{}".format(*address)
