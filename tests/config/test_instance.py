"""Errors of unusable configurations, and the format of the log."""

import json
import subprocess
import sys
import tempfile
from typing import Any

import pytest

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import InstanceConfig, read_instance_config
from sloeferry.stand_ins.processes import free_ports
from tests.support.golden import GoldenFiles

VALID = {
    "name": "n0",
    "listen": "127.0.0.1:8000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "limits": {"sockets": 1024},
    "settings": {
        "schemes": [{"name": "a", "expiry": 800000}, {"name": "b", "sla_time": 320000}],
        "tenants": [{"name": "7"}],
        "zones": ["north", "south"],
        "load_info": {"fields": ["inflight", "queue"]},
    },
}
CHANGES: list[tuple[str, Any]] = [
    ("listen", "8000"),
    ("discovery", "host:0"),
    ("seed", "xyz"),
    ("limits.sockets", 3),
    ("limits", 7),
    ("known", []),
    ("settings", {}),
    ("settings.schemes", []),
    ("settings.schemes.0.name", None),
    ("settings.schemes.1.expiry", 0),
    ("settings.schemes.1.gain", "much"),
    ("settings.tenants.0.name", 4),
    ("settings.family_info", {"warm_keys": 1}),
    ("settings.family_info", {"warm_keys": "yes"}),
    ("settings.limits", {"probing": 1}),
    ("settings.step", -1),
    ("settings.obligations", {"must_ask_in": True}),
    ("settings.obligations", {"only_draining_binds": 1}),
    ("settings.blend", {"log_loss_part": -0.2}),
    ("settings.blend", {"log_loss_part": "much"}),
    ("settings.blend", {"nines_wanted": 0}),
    ("settings.blend", {"nines_wanted": "three"}),
]
ENVIRONMENTS = ({}, {"BALANCER_CONFIG": "/nowhere"}, {"SLOEFERRY_LOG": "loud"}, {"SLOEFERRY_LOG_FORMAT": "xml"})


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the valid document with one value replaced."""
    document = node = json.loads(json.dumps(VALID))
    *parents, last = path.split(".")
    for step in parents:
        node = node[int(step) if isinstance(node, list) else step]
    node[last] = value
    return document


def describe(config: InstanceConfig) -> str:
    """Return a description of a configuration."""
    settings = config.settings
    classes = settings.request_classes
    values = {
        "schemes.0.expiry": classes[0].deadline_ms,
        "schemes.0.sla_time": classes[0].latency_objective_ms,
        "schemes.1.sla_time": classes[1].latency_objective_ms,
        "zones": ",".join(settings.zones),
        "load_info.fields": ",".join(settings.load_reports.fields),
        "obligations.must_ask_in": settings.obligations.poll_within_ms,
    }
    zones = {name: index for index, name in enumerate(settings.zones)}
    return f"{config.name} {config.listen} {config.seed} {settings.tenant_indexes()} {zones} {values}"


def read(document: str | dict[str, Any]) -> str:
    """Return the description of a configuration file with that content, or its error."""
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(document if isinstance(document, str) else json.dumps(document))
        file.flush()
        try:
            return describe(read_instance_config({"BALANCER_CONFIG": file.name, "BALANCER_NAME": "n1"}))
        except ConfigError as error:
            return str(error).replace(file.name, "FILE")


def test_errors_name_their_key(golden: GoldenFiles):
    """The error of an unusable configuration names the faulty key."""
    lines = [read(VALID)]
    lines += [f"{path} = {value!r}: {read(changed(path, value))}" for path, value in CHANGES]
    lines.append(read("no JSON"))
    for environment in ENVIRONMENTS:
        ended = subprocess.run([sys.executable, "-m", "sloeferry"], env=environment, capture_output=True, text=True)
        lines.append(f"exit {ended.returncode}: {ended.stderr.strip()}")
    golden.check(lines, "invalid_configurations")


def test_json_log_has_same_messages():
    """Each line of a JSON log is one object with the message of the text log."""
    with tempfile.NamedTemporaryFile("w") as file:
        json.dump(VALID, file)
        file.flush()
        environment = {
            "BALANCER_CONFIG": file.name,
            "BALANCER_LISTEN": f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}",
            "BALANCER_DISCOVERY": "127.0.0.1:1",
            "SLOEFERRY_LOG_FORMAT": "json",
        }
        with subprocess.Popen([sys.executable, "-m", "sloeferry"], env=environment, stderr=subprocess.PIPE) as process:
            try:
                first = json.loads(process.stderr.readline())
            finally:
                process.kill()
    assert "listens on" in first["record"]["message"]
    assert first["record"]["level"]["name"] == "INFO"


@pytest.mark.parametrize(
    ("path", "value"),
    [("settings.step", 10**400), ("settings.limits", {"most_postings": 10**400}), ("settings.tenants.0.share", 10**400)],
    ids=["time", "count", "share"],
)
def test_number_that_no_float_holds_is_a_config_error(path: str, value: Any):
    """Guards against an OverflowError in place of the one line that names the key: JSON's integers have any number of digits."""
    error = read(changed(path, value))
    assert error.startswith(path) and "is not a number" in error
