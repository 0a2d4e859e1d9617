"""Runs an experiment in the emulator and compares policies."""

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

# Half width of a 95% confidence interval, in standard errors.
NORMAL_95 = 1.96


@click.command()
@click.argument("file", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option(
    "--policy",
    "names",
    multiple=True,
    type=click.Choice(sorted(policies.POLICIES)),
    help="Policy to run; repeatable. Default: all.",
)
@click.option("--load", "loads", multiple=True, type=float, default=(1.0,))
@click.option("--seeds", type=click.IntRange(1, 1000), default=3)
def command(
    file: pathlib.Path,
    names: Sequence[str],
    loads: Sequence[float],
    seeds: int,
) -> None:
    """Prints the results of each policy with 95% confidence intervals."""
    try:
        experiment = experiment_module.Experiment.from_file(file)
    except experiment_module.ExperimentError as error:
        raise click.ClickException(str(error)) from error
    rows = []
    for load in loads:
        for name in names or sorted(policies.POLICIES):
            results = [
                run.Run(
                    experiment.scale_load(load), policies.POLICIES[name], seed
                ).simulate()
                for seed in range(seeds)
            ]
            rows.append([f"{load:g}", name, *_cells(results)])
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


def _cells(results: Sequence[run.Results]) -> list[str]:
    return [
        _interval([result.value_per_request for result in results], 3),
        _interval([result.goodput_per_s for result in results], 1),
        _interval(
            [result.first_event_quantile_s(0.5) * 1e3 for result in results], 0
        ),
        _interval(
            [result.first_event_quantile_s(0.95) * 1e3 for result in results], 0
        ),
        _interval([_outcome_ratio(result, "refused") for result in results], 3),
        _interval([_outcome_ratio(result, "failed") for result in results], 3),
        _interval([_outcome_ratio(result, "late") for result in results], 3),
        _interval([float(result.preemption_count) for result in results], 0),
        _interval([float(result.load_count) for result in results], 0),
        f"{statistics.fmean(result.mean_choice_us for result in results):.0f}",
    ]


def _outcome_ratio(result: run.Results, outcome: str) -> float:
    request_count = sum(t.request_count for t in result.tallies.values())
    matching_count = sum(getattr(t, outcome) for t in result.tallies.values())
    return matching_count / max(1, request_count)


def _interval(values: Sequence[float], digits: int) -> str:
    mean = statistics.fmean(values)
    if len(values) < 2:
        return f"{mean:.{digits}f}"
    half_width = NORMAL_95 * statistics.stdev(values) / math.sqrt(len(values))
    return f"{mean:.{digits}f} ±{half_width:.{digits}f}"
