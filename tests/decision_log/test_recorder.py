"""Tests of the decision log's admin calls and of the operators' file that enables them."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from sloeferry.config.errors import ConfigError
from sloeferry.config.features import DecisionLogFeatures, Features, read_features
from tests.support.fake_backends import response
from tests.support.golden import GoldenFiles
from tests.support.proxy_harness import ProxyHarness, ScenarioChecker

ROOT = Path(__file__).resolve().parents[2]


@pytest.fixture
def config_file(tmp_path: Path) -> Path:
    """Return the path of the configuration file that a proxy reads on SIGHUP."""
    return tmp_path / "config.json"


@pytest.fixture
def environment(tmp_path: Path, config_file: Path) -> dict[str, str]:
    """Return the environment of a proxy whose decision log is enabled."""
    operators_file = tmp_path / "operator.toml"
    operators_file.write_text("[versions]\ntell = true\ncarry = true\n")
    return {"SLOEFERRY_OPERATOR": str(operators_file), "BALANCER_CONFIG": str(config_file)}


async def ask(harness: ProxyHarness, call: str, is_recorded: bool = True) -> Any:
    """Return the response of an admin call; the record omits ages, digests and ports, which differ between runs."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.admin_port)
    writer.write(f"GET {call} HTTP/1.1\r\n\r\n".encode())
    head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
    writer.close()
    document = json.loads(body)
    text = re.sub(r'"([a-z]+_ms)": [\d.]+', r'"\1": N', json.dumps(document))
    text = re.sub(r'"(program|digest)": "[0-9a-f]{16}"', r'"\1": "D"', re.sub(r"127\.0\.0\.1:\d+|/\S+/", "X", text))
    if is_recorded:
        harness.record(f"{call}: {head.split()[1]} {text}")
    return document


async def ask_versions(harness: ProxyHarness) -> Any:
    """Return the versions that the proxy holds, without recording them."""
    return await ask(harness, "/admin/versions", is_recorded=False)


def test_admin_calls_report_versions(check_scenario: ScenarioChecker, environment: dict[str, str], config_file: Path):
    """Reports the versions in use, their sources, refusals and counts; without the decision log the calls do not exist."""

    async def scenario(harness: ProxyHarness) -> None:
        await ask(harness, "/admin/versions")
        if not harness.environment:
            return
        await harness.request("safe")
        versions = await ask_versions(harness)
        changed = harness.config | {"settings": harness.config["settings"] | {"step": 2000}}
        for text in (json.dumps(changed), "{half"):
            config_file.write_text(text)
            os.kill(os.getpid(), signal.SIGHUP)
            while text == "{half" and not versions["refused"] or versions["settings"]["generation"] < 2:
                await asyncio.sleep(0.01)
                versions = await ask_versions(harness)
        await harness.request("safe")
        harness.discovery.publish_endpoints(("b", "leaving"), is_complete=False)
        while (await ask_versions(harness))["list"]["revision"] != harness.discovery.revision:
            await asyncio.sleep(0.01)
        await ask(harness, "/admin/versions")
        await ask(harness, "/admin/acted")
        for since in ("x", "-1", "nan", "0"):
            await ask(harness, f"/admin/acted?since={since}")

    with_log = ProxyHarness({"b": response()}, has_admin=True, environment=environment)
    check_scenario(scenario, "admin_calls_report_versions", with_log, ProxyHarness({"b": response()}, has_admin=True))


def test_operators_file_errors_name_the_key(golden: GoldenFiles, tmp_path: Path):
    """Each error in the operators' file raises a ConfigError that names the key; an empty file disables all switches."""
    lines: list[str] = []
    path = tmp_path / "operator.toml"
    for text in (
        "[versions]\ntell = 1",
        "[versions]\nshout = true",
        "[version]\ntell = true",
        "versions = 3",
        "[versions",
    ):
        path.write_text(text)
        with pytest.raises(ConfigError) as caught:
            read_features(path)
        lines.append(f"{text!r}  ->  {str(caught.value).replace(str(tmp_path), '')}")
    path.write_text("")
    assert read_features(path) == Features(DecisionLogFeatures(tell=False, bring_up=False, carry=False))
    assert read_features(ROOT / "deploy" / "operator.toml").versions.tell
    with pytest.raises(ConfigError):
        read_features(tmp_path / "none")
    golden.check(lines, "operators_file_errors_name_the_key")


def output_of(code: str) -> str:
    """Return the standard output of a Python program."""
    return subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True).stdout


def test_sighup_during_start_reloads_file(check_scenario: ScenarioChecker, environment: dict[str, str], tmp_path: Path):
    """A SIGHUP during the start must not end the process; the file is read again afterwards."""
    # The process has no SIGHUP handler during the first 0.2 s, and the default action would end it (found by generated plan 19).
    code = (
        "import runpy, signal, sys; sys.modules['uvloop'] = None\n"
        "try: runpy.run_module('sloeferry', run_name='__main__')\n"
        "except ImportError: print(signal.getsignal(signal.SIGHUP) == signal.SIG_DFL)"
    )
    assert output_of(code) == "False\n"

    async def scenario(harness: ProxyHarness) -> None:
        versions = await ask_versions(harness)
        settings = versions["settings"]
        harness.record(f"generation {settings['generation']} by {settings['by']}, refused {len(versions['refused'])}")

    (tmp_path / "operator.toml").write_text("[versions]\ntell = true\n")
    with mock.patch.object(ProxyHarness, "has_pending_reload", True):
        check_scenario(
            scenario, "sighup_during_start_reloads_file", ProxyHarness({"b": response()}, has_admin=True, environment=environment)
        )


def test_disabled_decision_log_is_not_imported():
    """A proxy without an operators' file imports neither the decision log nor the features module."""
    code = (
        "import sys; from sloeferry.lifecycle import proxy_process, startup; proxy_process._read_features({}); "
        "print([name for name in sys.modules if 'decision_log' in name or 'features' in name])"
    )
    assert output_of(code) == "[]\n"
