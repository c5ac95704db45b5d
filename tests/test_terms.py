"""What is said of a configuration that can't be used: each fault names its key."""

import json
import subprocess
import sys
import tempfile
import unittest

from sloeferry.config.errors import ConfigError
from sloeferry.config.instance import read_instance_config
from sloeferry.stand_ins.processes import free_ports
from tests.trace import Lines, compare

GOOD = {
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


class Terms(unittest.TestCase):
    def test_faults(self):
        out = Lines()
        out.lines.append(read(GOOD))
        for path, said in (
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
        ):
            told = node = json.loads(json.dumps(GOOD))
            *way, last = path.split(".")
            for step in way:
                node = node[int(step) if isinstance(node, list) else step]
            node[last] = said
            out.lines.append(f"{path} = {said!r}: {read(told)}")
        out.lines.append(read("no JSON"))
        for environ in ({}, {"BALANCER_CONFIG": "/nowhere"}, {"SLOEFERRY_LOG": "loud"}, {"SLOEFERRY_LOG_FORMAT": "xml"}):
            ended = subprocess.run([sys.executable, "-m", "sloeferry"], env=environ, capture_output=True, text=True)
            out.lines.append(f"exit {ended.returncode}: {ended.stderr.strip()}")
        compare(self, out, "terms")

    def test_json_log(self):
        """One JSON object a line, with the same words as in text."""
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump(GOOD, file)
            file.flush()
            environ = {
                "BALANCER_CONFIG": file.name,
                "BALANCER_LISTEN": f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}",
                "BALANCER_DISCOVERY": "127.0.0.1:1",
                "SLOEFERRY_LOG_FORMAT": "json",
            }
            with subprocess.Popen([sys.executable, "-m", "sloeferry"], env=environ, stderr=subprocess.PIPE) as daemon:
                try:
                    first = json.loads(daemon.stderr.readline())
                finally:
                    daemon.kill()
        self.assertIn("listens on", first["record"]["message"])
        self.assertEqual(first["record"]["level"]["name"], "INFO")


def read(told):
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(told if isinstance(told, str) else json.dumps(told))
        file.flush()
        try:
            berth = read_instance_config({"BALANCER_CONFIG": file.name, "BALANCER_NAME": "n1"})
        except ConfigError as fault:
            return str(fault).replace(file.name, "FILE")
        settings = berth.settings
        classes = settings.request_classes
        kept = {
            "schemes.0.expiry": classes[0].deadline_ms,
            "schemes.0.sla_time": classes[0].latency_objective_ms,
            "schemes.1.sla_time": classes[1].latency_objective_ms,
            "zones": ",".join(settings.zones),
            "load_info.fields": ",".join(settings.load_reports.fields),
            "obligations.must_ask_in": settings.obligations.poll_within_ms,
        }
        lists = settings.tenant_indexes(), {name: at for at, name in enumerate(settings.zones)}
        return f"{berth.name} {berth.listen} {berth.seed} {lists[0]} {lists[1]} {kept}"
