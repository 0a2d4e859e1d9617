"""Plays an experiment in the emulator, policies side by side."""

from __future__ import annotations

import math
import pathlib
import statistics
from typing import TYPE_CHECKING

import click

from yuccatally.cli import output
from yuccatally_bench.emulation import experiment as experiment_module
from yuccatally_bench.emulation import policies
from yuccatally_bench.emulation import run

if TYPE_CHECKING:
    from collections.abc import Sequence

# Half the width of an interval of 95%, in standard errors.
NORMAL_95 = 1.96


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    "--policy",
    "names",
    multiple=True,
    type=click.Choice(sorted(policies.POLICIES)),
    help="Policy to play; several may be given. All if none is.",
)
@click.option("--load", "loads", multiple=True, type=float, default=(1.0,))
@click.option("--seeds", type=click.IntRange(1, 1000), default=3)
def command(
    file: pathlib.Path,
    names: Sequence[str],
    loads: Sequence[float],
    seeds: int,
) -> None:
    """Prints what policies make of an experiment, with 95% intervals."""
    try:
        found = experiment_module.Experiment.from_file(file)
    except experiment_module.ExperimentError as error:
        raise click.ClickException(str(error)) from error
    rows = []
    for load in loads:
        for name in names or sorted(policies.POLICIES):
            figures = [
                run.Run(
                    found.scaled(load), policies.POLICIES[name], seed
                ).play()
                for seed in range(seeds)
            ]
            rows.append([f"{load:g}", name, *_cells(figures)])
    columns = [
        "load",
        "policy",
        "worth",
        "goodput/s",
        "first p50 ms",
        "first p95 ms",
        "refused",
        "failed",
        "late",
        "preempted",
        "loads",
        "choice us",
    ]
    click.echo(output.format_table(columns, rows))


def _cells(figures: Sequence[run.Figures]) -> list[str]:
    return [
        _interval([f.worth for f in figures], 3),
        _interval([f.goodput for f in figures], 1),
        _interval([f.first_quantile_s(0.5) * 1e3 for f in figures], 0),
        _interval([f.first_quantile_s(0.95) * 1e3 for f in figures], 0),
        _interval([_share(f, "refused") for f in figures], 3),
        _interval([_share(f, "failed") for f in figures], 3),
        _interval([_share(f, "late") for f in figures], 3),
        _interval([float(f.preempted) for f in figures], 0),
        _interval([float(f.loads) for f in figures], 0),
        f"{statistics.fmean(f.decision_us for f in figures):.0f}",
    ]


def _share(figures: run.Figures, outcome: str) -> float:
    asked = sum(t.asked for t in figures.tallies.values())
    found = sum(getattr(t, outcome) for t in figures.tallies.values())
    return found / max(1, asked)


def _interval(values: Sequence[float], digits: int) -> str:
    mean = statistics.fmean(values)
    if len(values) < 2:
        return f"{mean:.{digits}f}"
    half = NORMAL_95 * statistics.stdev(values) / math.sqrt(len(values))
    return f"{mean:.{digits}f} ±{half:.{digits}f}"
