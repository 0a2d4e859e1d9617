"""Compares start time, size and memory of the archive and an installation."""

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
    """Starts an instance from the archive and from an installation."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        source = pathlib.Path(__file__).parent.parent
        built = archive.build(source, folder / "yuccatally")
        interpreter = str(pathlib.Path(sys.executable).resolve())
        variants = {
            # The resolved path bypasses version managers in PATH, which may
            # start child processes of their own.
            "one file": (interpreter, "-IS", str(built.path)),
            "installed": (sys.executable, "-m", "yuccatally"),
        }
        runs_by_variant: dict[str, list[dict[str, float]]] = {
            v: [] for v in variants
        }
        # Variants alternate so that load on the machine affects both.
        for number in range(runs):
            for variant, program in variants.items():
                run_folder = folder / f"{number}-{variant.replace(' ', '-')}"
                run_folder.mkdir()
                runs_by_variant[variant].append(_measure(program, run_folder))
    rows = [
        report.Row(
            variant,
            {
                key: tuple(run[key] for run in runs_of_variant)
                for key in runs_of_variant[0]
            },
        )
        for variant, runs_of_variant in runs_by_variant.items()
    ]
    click.echo(report.table(f"one instance, {runs} runs each", rows))
    click.echo(f"size of the one file: {built.size_bytes / 1e6:.1f} MB")


def _measure(
    program: tuple[str, ...], folder: pathlib.Path
) -> dict[str, float]:
    plan = site.SiteSpec(instances=0, engines=(), pipelines={})
    deployment = site.Site(plan, folder, program)
    try:
        deployment.start()
        started_at = time.monotonic()
        process = deployment.start_instance("i1")
        pid = process.popen.pid
        max_child_count = 0
        while True:
            max_child_count = max(max_child_count, _child_count(pid))
            with contextlib.suppress(OSError, ValueError):
                deployment.status(process)
                break
            if time.monotonic() - started_at > READY_TIMEOUT_S:
                raise TimeoutError("instance i1 did not answer in time")
            time.sleep(POLL_INTERVAL_S)
        ready_s = time.monotonic() - started_at
        time.sleep(IDLE_S)
        max_child_count = max(max_child_count, _child_count(pid))
        memory = _memory_kb(pid)
        return {
            "ready s": ready_s,
            "resident MB": memory["VmRSS"] / 1e3,
            "of it memory files MB": memory["RssShmem"] / 1e3,
            "threads": memory["Threads"],
            "child processes": max_child_count,
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
