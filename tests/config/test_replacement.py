"""Replacement of a configuration on reload."""

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
PREVIOUS = {
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
OMITTED = object()
CHANGES: list[tuple[str, Any]] = [
    ("listen", OMITTED),
    ("ops", OMITTED),
    ("settings", OMITTED),
    ("settings.schemes", OMITTED),
    ("settings.schemes.1.expiry", OMITTED),
    ("settings.schemes.0.name", OMITTED),
    ("settings.limits", OMITTED),
    ("settings.limits.most_postings", OMITTED),
    ("settings.schemes.1.dedup_window", OMITTED),
    *(("settings.schemes.0.expiry", value) for value in (0, -1, "soon", "800000", True, None, [], 1e400)),
    *(("settings.limits.most_postings", value) for value in (0, -2, 1.5, "3", None)),
    ("settings.schemes.1.name", "a"),
    ("settings.tenants", []),
]


def read(document: str | dict[str, Any], previous: InstanceConfig | None = None) -> InstanceConfig | str:
    """Return the configuration read from that content on startup, or on reload of a previous one; or its error."""
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(document if isinstance(document, str) else json.dumps(document))
        file.flush()
        try:
            return read_instance_config({"BALANCER_CONFIG": file.name}, previous)
        except ConfigError as error:
            return str(error).replace(file.name, "FILE")


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the previous document with one value replaced or omitted."""
    document = node = json.loads(json.dumps(PREVIOUS))
    *parents, last = path.split(".")
    for step in parents:
        node = node[int(step) if isinstance(node, list) else step]
    if value is OMITTED:
        del node[last]
    else:
        node[last] = value
    return document


def test_unusable_file_is_rejected_as_a_whole(golden: GoldenFiles):
    """A truncated or invalid file is rejected as a whole, with the key and the reason."""
    previous = read(PREVIOUS)
    lines: list[str] = []
    text = json.dumps(PREVIOUS)
    for length in (0, 1, len(text) // 2, len(text) - 1):
        lines.append(f"{length} bytes of it: {re.sub(r':.*', '', read(text[:length], previous).partition(' is ')[2])}")
    for path, value in CHANGES:
        result = read(changed(path, value), previous)
        change = "left out" if value is OMITTED else repr(value)
        lines.append(f"{path} {change}: {result if isinstance(result, str) else 'taken'}")
    golden.check(lines, "reload_rejected")


def test_request_classes_keep_their_indexes(golden: GoldenFiles):
    """On reload, existing and removed request classes keep their index, which open requests use; new classes are appended."""
    previous = read(PREVIOUS)
    document = json.loads(json.dumps(PREVIOUS))
    classes = document["settings"]["schemes"]
    classes[:] = [dict(classes[0], name="c"), dict(classes[1], expiry=600000)]
    document["settings"]["tenants"].insert(0, {"name": "s", "share": 2.0})
    second = read(document, previous)
    classes[:] = [dict(classes[0], name="a", idempotency="fragile")]
    third = read(document, second)
    lines: list[str] = []
    for config in (previous, second, third):
        settings = config.settings
        described = [
            f"{index}:{each.name}/{each.deadline_ms:.0f}/{IDEMPOTENCY_WORDS[each.idempotency]}"
            for index, each in enumerate(settings.request_classes)
        ]
        lines.append(f"{settings.class_indexes()} {settings.tenant_indexes()} {' '.join(described)}")
    golden.check(lines, "reload_indexes")
