"""Measures platform calls of the leader and the time of version rollouts."""

from __future__ import annotations

import pathlib
import tempfile
import time
from typing import TYPE_CHECKING

import click

from yuccatally_bench import report
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCE_COUNT = 3
MEASUREMENT_S = 10.0
CONVERGENCE_TIMEOUT_S = 60.0
CAPACITY_LAYERS = 12
RATES = {"step_base_ms": 1.0, "token_layer_us": 20.0, "batch": 64}


@click.command()
@click.option("--repeats", default=3, show_default=True)
def command(repeats: int) -> None:
    """Measures control of one placement with 4 and 16 engines."""
    rows = []
    for engines in (4, 16):
        runs = [_run(engines) for _ in range(repeats)]
        columns = {c: tuple(r[c] for r in runs) for c in runs[0]}
        rows.append(report.Row(f"{engines} engines", columns))
    title = (
        f"one placement, {INSTANCE_COUNT} instances, commit {report.commit()}"
    )
    click.echo(report.table(title, rows))


def _run(count: int) -> dict[str, float]:
    engines = tuple(
        site.EngineSpec(
            f"e{number}",
            0,
            0,
            1.0,
            {"pool": "mixed"},
            arguments=("--capacity-layers", str(CAPACITY_LAYERS)),
            rates={**RATES, "max_layers": 6},
        )
        for number in range(count)
    )
    with tempfile.TemporaryDirectory() as folder:
        plan = site.SiteSpec(INSTANCE_COUNT, engines, {})
        deployment = site.Site(plan, pathlib.Path(folder))
        try:
            deployment.start()
            return _measure(deployment, [e.name for e in engines])
        finally:
            deployment.stop()


def _measure(deployment: site.Site, engines: list[str]) -> dict[str, float]:
    _declare_placement(deployment, site.VERSION)
    _wait_until(lambda: _all_ready(deployment, engines, site.VERSION))
    before = (
        _platform_call_count(deployment),
        _report_count(deployment, engines),
    )
    time.sleep(MEASUREMENT_S)
    after = _platform_call_count(deployment), _report_count(deployment, engines)
    figures = {
        "platform calls/s": (after[0] - before[0]) / MEASUREMENT_S,
        "reports/s": (after[1] - before[1]) / MEASUREMENT_S,
    }
    started_at = time.monotonic()
    _declare_placement(deployment, "v2")
    _wait_until(lambda: _all_ready(deployment, engines, "v2"))
    figures["roll s"] = time.monotonic() - started_at
    _leader(deployment).kill()
    started_at = time.monotonic()
    _declare_placement(deployment, "v3")
    _wait_until(lambda: _all_ready(deployment, engines, "v3"))
    figures["roll, holder killed s"] = time.monotonic() - started_at
    return figures


def _declare_placement(deployment: site.Site, version: str) -> None:
    spec = {"model": site.MODEL, "version": version, "selector": "pool=mixed"}
    deployment.declare("placement", "main", spec)


def _platform_call_count(deployment: site.Site) -> int:
    url = f"{deployment.processes['platform'].url}/calls"
    return sum(site.fetch("GET", url).json().values())


def _report_count(deployment: site.Site, engines: list[str]) -> int:
    return sum(_engine_state(deployment, name)["reports"] for name in engines)


def _all_ready(deployment: site.Site, engines: list[str], version: str) -> bool:
    held_versions = [
        {
            (h["version"], h["ready"])
            for h in _engine_state(deployment, n)["holdings"]
        }
        for n in engines
    ]
    return all(h == {(version, True)} for h in held_versions)


def _engine_state(deployment: site.Site, name: str) -> dict:
    url = f"{deployment.processes[name].url}/v1/engine"
    return site.fetch("GET", url).json()


def _leader(deployment: site.Site) -> site.Process:
    platform = deployment.processes["platform"].url
    record = site.fetch("GET", f"{platform}/objects/lease/main").json()
    return deployment.processes[record["spec"]["holder"].rsplit("-", 1)[0]]


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise click.ClickException(
                "the engines did not load the declared version in time"
            )
        time.sleep(0.05)
