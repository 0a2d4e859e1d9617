"""Calls that control makes, and how long a roll takes with its holder lost."""

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

INSTANCES = 3
WINDOW_S = 10.0
LIMIT_S = 60.0
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
    title = f"one placement, {INSTANCES} instances, commit {report.commit()}"
    click.echo(report.table(title, rows))


def _run(count: int) -> dict[str, float]:
    engines = tuple(
        site.EnginePlan(
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
        plan = site.Plan(INSTANCES, engines, {})
        started = site.Site(plan, pathlib.Path(folder))
        try:
            started.start()
            return _measured(started, [e.name for e in engines])
        finally:
            started.stop()


def _measured(started: site.Site, engines: list[str]) -> dict[str, float]:
    _place(started, site.VERSION)
    _until(lambda: _all_hold(started, engines, site.VERSION))
    before = _calls(started), _reports(started, engines)
    time.sleep(WINDOW_S)
    after = _calls(started), _reports(started, engines)
    figures = {
        "platform calls/s": (after[0] - before[0]) / WINDOW_S,
        "reports/s": (after[1] - before[1]) / WINDOW_S,
    }
    begun = time.monotonic()
    _place(started, "v2")
    _until(lambda: _all_hold(started, engines, "v2"))
    figures["roll s"] = time.monotonic() - begun
    _holder(started).kill()
    begun = time.monotonic()
    _place(started, "v3")
    _until(lambda: _all_hold(started, engines, "v3"))
    figures["roll, holder killed s"] = time.monotonic() - begun
    return figures


def _place(started: site.Site, version: str) -> None:
    spec = {"model": site.MODEL, "version": version, "selector": "pool=mixed"}
    started.declare("placement", "main", spec)


def _calls(started: site.Site) -> int:
    url = f"{started.processes['platform'].url}/calls"
    return sum(site.fetch("GET", url).json().values())


def _reports(started: site.Site, engines: list[str]) -> int:
    return sum(_described(started, name)["reports"] for name in engines)


def _all_hold(started: site.Site, engines: list[str], version: str) -> bool:
    held = [
        {(h["version"], h["ready"]) for h in _described(started, n)["holdings"]}
        for n in engines
    ]
    return all(h == {(version, True)} for h in held)


def _described(started: site.Site, name: str) -> dict:
    url = f"{started.processes[name].url}/v1/engine"
    return site.fetch("GET", url).json()


def _holder(started: site.Site) -> site.Process:
    platform = started.processes["platform"].url
    record = site.fetch("GET", f"{platform}/objects/lease/main").json()
    return started.processes[record["spec"]["holder"].rsplit("-", 1)[0]]


def _until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise click.ClickException("control did not get there")
        time.sleep(0.05)
