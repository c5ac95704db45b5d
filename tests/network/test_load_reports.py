"""Load reports of backends that cannot be read."""

import asyncio

import pytest

from sloeferry.config.settings_reader import build_settings
from sloeferry.network.load_reports import MAX_REPORTED_VALUE, NO_REPORT, LoadReportReader
from tests.support.fake_backends import response
from tests.support.instrumented_harness import InstrumentedHarness, wait_until
from tests.support.proxy_harness import run_scenario

UNREADABLE_VALUES = [
    "9" * 400,  # no float can hold it
    "-" + "9" * 400,
    "9" * 5000,  # more digits than Python converts
    "1e308",  # the sum of two is infinite
    "1e999",
    "-Infinity",
    "NaN",
    '"many"',
    "[1]",
    "null",
    "[" * 100_000,
    "\N{LATIN SMALL LETTER U WITH DIAERESIS}",
]
READABLE_VALUES = {"0": 0.0, "7": 7.0, "0.5": 0.5, "-1": -1.0, str(int(MAX_REPORTED_VALUE)): MAX_REPORTED_VALUE}


def reader() -> LoadReportReader:
    """Return a reader of reports with one field."""
    return LoadReportReader(build_settings({"schemes.count": 1, "load_info.fields": "inflight"}))


@pytest.mark.parametrize("value", UNREADABLE_VALUES, ids=lambda value: value[:20])
def test_unreadable_report_is_ignored(value: str):
    """Guards against an exception that is raised between a response and the report of its attempt's end."""
    assert reader().read(f'{{"inflight": {value}}}'.encode("latin-1")) is NO_REPORT


@pytest.mark.parametrize(("text", "value"), READABLE_VALUES.items())
def test_readable_report(text: str, value: float):
    """The allowed neighbours of the values above are read."""
    assert reader().read(f'{{"inflight": {text}}}'.encode()) == [value]


@pytest.mark.parametrize("in_flight", ["9" * 400, "0"], ids=["unreadable", "readable"])
def test_good_response_with_any_report_is_served(in_flight: str):
    """Guards against a 504 for a good response whose load report cannot be read, and against its attempt, and health checks with
    such reports, counting as in flight for ever."""
    report = f'{{"inflight": {in_flight}}}'
    backend = response(report, 200, f"X-Load-Report: {report}")  # the same to requests and to health checks

    async def scenario(harness: InstrumentedHarness) -> None:
        connection = await harness.connect()
        for number in range(4):
            answer = await harness.request("safe", connection=connection, X_Call_Id=f"c{number}")
            assert answer == f"200 {report[:40]}"
        endpoint = harness.dispatcher.policy.table.by_id["b"]
        harness.dispatcher.host.send_health_check("b")
        endpoint.health_checks_in_flight.append(0.0)
        checks_before = len(endpoint.health_checks_in_flight)
        await wait_until(lambda: len(endpoint.health_checks_in_flight) < checks_before)
        await asyncio.sleep(0)
        assert (endpoint.own_in_flight, len(harness.dispatcher.requests)) == (0, 0)

    run_scenario(scenario, InstrumentedHarness({"b": backend}))
