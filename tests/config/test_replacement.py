"""A configuration that replaces the one before."""

import json
import re
import tempfile
from typing import Any

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import InstanceConfig, read_instance_config
from sloeferry.config.settings import Idempotency
from tests.support.golden import GoldenFiles

IDEMPOTENCY_WORDS = {
    Idempotency.IDEMPOTENT: "repeatable",
    Idempotency.DEDUPLICATED: "referenced",
    Idempotency.NON_IDEMPOTENT: "once-only",
}
FORMER = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "ops": "127.0.0.1:3",
    "seed": "1",
    "limits": {"sockets": 256},
    "settings": {
        "schemes": [
            {"name": "a", "idempotency": "retryable", "expiry": 800000, "sla_time": 300000},
            {
                "name": "b",
                "idempotency": "dedup",
                "expiry": 700000,
                "sla_time": 300000,
                "group": "all",
                "dedup_window": 5000000,
            },
        ],
        "tenants": [{"name": "t", "share": 1.0}],
        "limits": {"most_postings": 3},
    },
}
LEFT_OUT = object()
CHANGES: list[tuple[str, Any]] = [
    ("listen", LEFT_OUT),
    ("ops", LEFT_OUT),
    ("settings", LEFT_OUT),
    ("settings.schemes", LEFT_OUT),
    ("settings.schemes.1.expiry", LEFT_OUT),
    ("settings.schemes.0.name", LEFT_OUT),
    ("settings.limits", LEFT_OUT),
    ("settings.limits.most_postings", LEFT_OUT),
    ("settings.schemes.1.dedup_window", LEFT_OUT),
    *(("settings.schemes.0.expiry", value) for value in (0, -1, "soon", "800000", True, None, [], 1e400)),
    *(("settings.limits.most_postings", value) for value in (0, -2, 1.5, "3", None)),
    ("settings.schemes.1.name", "a"),
    ("settings.tenants", []),
]


def read(document: str | dict[str, Any], former: InstanceConfig | None = None) -> InstanceConfig | str:
    """The configuration that a file of that document makes of the former one, or its fault."""
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(document if isinstance(document, str) else json.dumps(document))
        file.flush()
        try:
            return read_instance_config({"BALANCER_CONFIG": file.name}, former)
        except ConfigError as error:
            return str(error).replace(file.name, "FILE")


def changed(path: str, value: Any) -> dict[str, Any]:
    """The former document with the value at that path, or without one."""
    document = node = json.loads(json.dumps(FORMER))
    *way, last = path.split(".")
    for step in way:
        node = node[int(step) if isinstance(node, list) else step]
    if value is LEFT_OUT:
        del node[last]
    else:
        node[last] = value
    return document


def test_rejected_as_a_whole(golden: GoldenFiles):
    """A file that cannot be used is rejected as a whole, with the key and the reason."""
    former = read(FORMER)
    lines: list[str] = []
    text = json.dumps(FORMER)
    for length in (0, 1, len(text) // 2, len(text) - 1):
        lines.append(f"{length} bytes of it: {re.sub(r':.*', '', read(text[:length], former).partition(' is ')[2])}")
    for path, value in CHANGES:
        result = read(changed(path, value), former)
        change = "left out" if value is LEFT_OUT else repr(value)
        lines.append(f"{path} {change}: {result if isinstance(result, str) else 'taken'}")
    golden.check(lines, "settings_turned_down")


def test_indexes(golden: GoldenFiles):
    """A class that was there keeps its index, a new one comes behind, one that is gone keeps its own for requests still open."""
    former = read(FORMER)
    document = json.loads(json.dumps(FORMER))
    classes = document["settings"]["schemes"]
    classes[:] = [dict(classes[0], name="c"), dict(classes[1], expiry=600000)]
    document["settings"]["tenants"].insert(0, {"name": "s", "share": 2.0})
    second = read(document, former)
    classes[:] = [dict(classes[0], name="a", idempotency="fragile")]
    third = read(document, second)
    lines: list[str] = []
    for config in (former, second, third):
        settings = config.settings
        described = [
            f"{index}:{each.name}/{each.deadline_ms:.0f}/{IDEMPOTENCY_WORDS[each.idempotency]}"
            for index, each in enumerate(settings.request_classes)
        ]
        lines.append(f"{settings.class_indexes()} {settings.tenant_indexes()} {' '.join(described)}")
    golden.check(lines, "settings_places")
