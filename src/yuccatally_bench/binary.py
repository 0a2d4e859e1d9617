"""Start, size and memory of the one-file program and of an installation."""

from __future__ import annotations

import contextlib
import pathlib
import sys
import tempfile
import time

import click

from yuccatally_bench import report
from yuccatally_build import archive
from yuccatally_standins import site

READY_TIMEOUT_S = 20.0
IDLE_S = 2.0
POLL_INTERVAL_S = 0.005


@click.command()
@click.option("--runs", default=5, show_default=True)
def command(runs: int) -> None:
    """Starts an instance as one file and as an installation."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        source = pathlib.Path(__file__).parent.parent
        built = archive.build(source, folder / "yuccatally")
        interpreter = str(pathlib.Path(sys.executable).resolve())
        variants = {
            # Not through PATH: a version manager there may start processes.
            "one file": (interpreter, "-IS", str(built.path)),
            "installed": (sys.executable, "-m", "yuccatally"),
        }
        figures: dict[str, list[dict[str, float]]] = {v: [] for v in variants}
        # Variants take turns, so that a busy machine slows both.
        for number in range(runs):
            for variant, program in variants.items():
                run_folder = folder / f"{number}-{variant.replace(' ', '-')}"
                run_folder.mkdir()
                figures[variant].append(_measure(program, run_folder))
    rows = [
        report.Row(
            variant,
            {
                key: tuple(run[key] for run in runs_of_variant)
                for key in runs_of_variant[0]
            },
        )
        for variant, runs_of_variant in figures.items()
    ]
    click.echo(report.table(f"one instance, {runs} runs each", rows))
    click.echo(f"size of the one file: {built.size / 1e6:.1f} MB")


def _measure(
    program: tuple[str, ...], folder: pathlib.Path
) -> dict[str, float]:
    plan = site.Plan(instances=0, engines=(), pipelines={})
    deployment = site.Site(plan, folder, program)
    try:
        deployment.start()
        started_at = time.monotonic()
        process = deployment.start_instance("i1")
        pid = process.popen.pid
        most_children = 0
        while True:
            most_children = max(most_children, _child_count(pid))
            with contextlib.suppress(OSError, ValueError):
                deployment.status(process)
                break
            if time.monotonic() - started_at > READY_TIMEOUT_S:
                raise TimeoutError("the instance did not start")
            time.sleep(POLL_INTERVAL_S)
        ready_s = time.monotonic() - started_at
        time.sleep(IDLE_S)
        most_children = max(most_children, _child_count(pid))
        memory = _memory_kb(pid)
        return {
            "ready s": ready_s,
            "resident MB": memory["VmRSS"] / 1e3,
            "of it memory files MB": memory["RssShmem"] / 1e3,
            "threads": memory["Threads"],
            "child processes": most_children,
        }
    finally:
        deployment.stop()


def _child_count(pid: int) -> int:
    count = 0
    for task in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        with contextlib.suppress(OSError):
            count += len(task.read_text().split())
    return count


def _memory_kb(pid: int) -> dict[str, int]:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    pairs = (line.partition(":") for line in lines)
    return {
        key: int(value.split()[0])
        for key, _, value in pairs
        if key in ("VmRSS", "RssShmem", "Threads")
    }
