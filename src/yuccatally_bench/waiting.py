"""Measures the decisions on waiting requests by queue length and paths."""

from __future__ import annotations

import random
import time

import click

from yuccatally.core.admission import arrivals
from yuccatally.core.admission import service_queue
from yuccatally.core.forwarding import dispatch
from yuccatally_bench import report

QUEUE_LENGTHS = (16, 64, service_queue.MAX_WAITING_COUNT)
ACCOUNT_COUNTS = (24, service_queue.MAX_WAITING_COUNT)
PATH_COUNTS = (10, 100, 330)
DECISION_COUNT = 500


@click.command()
@click.option("--repeats", default=3, show_default=True)
def command(repeats: int) -> None:
    """Measures one arrival and one start with a full queue."""
    rows = []
    for accounts in ACCOUNT_COUNTS:
        for length in QUEUE_LENGTHS:
            runs = [_measure_queue(length, accounts) for _ in range(repeats)]
            name = f"{length} waiting, {accounts} accounts"
            rows.append(report.Row(name, _columns(runs)))
    click.echo(report.table(f"queue, commit {report.commit()}", rows))
    rows = []
    for count in PATH_COUNTS:
        runs = [_measure_paths(count) for _ in range(repeats)]
        rows.append(report.Row(f"{count} paths", _columns(runs)))
    click.echo(report.table("\nchoice of a path, all full", rows))


def _columns(
    runs: list[dict[str, float]],
) -> dict[str, tuple[float, ...]]:
    return {c: tuple(r[c] for r in runs) for c in runs[0]}


def _measure_queue(length: int, accounts: int) -> dict[str, float]:
    queue = service_queue.ServiceQueue("model", random.Random(1), length)
    # The queue holds requests of one second.
    queue.throughput.work_per_s = queue.late_throughput.work_per_s = 1e6
    number = 0
    offer_s = start_s = shed_s = 0.0
    while number < length + DECISION_COUNT:
        now = number * 1e-6
        arrival = arrivals.Arrival(
            request=f"r{number}",
            account=f"a{number % accounts}",
            priority=1 + number % 2,
            tokens=800.0,
            received_at=now,
            objective_s=0.5,
            patience_s=2.0,
            deadline=now + 20.0,
            fingerprint=f"f{number}",
        )
        began = time.perf_counter()
        queue.offer(arrival, now)
        offered = time.perf_counter()
        if len(queue) >= length:
            offer_s += offered - began
            queue.shed_late(now)
            shed = time.perf_counter()
            item = queue.candidates(now)[0]
            queue.start(item, None, now)
            start_s += time.perf_counter() - shed
            shed_s += shed - offered
        number += 1
    return {
        "arrival us": offer_s * 1e6 / DECISION_COUNT,
        "start us": start_s * 1e6 / DECISION_COUNT,
        "tick us": shed_s * 1e6 / DECISION_COUNT,
    }


def _measure_paths(count: int) -> dict[str, float]:
    dispatcher = dispatch.Dispatcher("north", random.Random(1))
    paths = [
        dispatch.Path(f"p{n}", (), (), 0.01, 1e-4, 1e4, 96, "north")
        for n in range(count)
    ]
    for path in paths:
        dispatcher.record_start(path.name, 1e6, 0.0)
    began = time.perf_counter()
    for _ in range(DECISION_COUNT):
        dispatcher.choose_path(paths, 800.0, frozenset(), 0.0)
    seconds = time.perf_counter() - began
    return {"choice us": seconds * 1e6 / DECISION_COUNT}
