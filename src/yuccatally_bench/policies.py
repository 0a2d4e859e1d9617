"""Compares routing policies in a simulation, without processes."""

from __future__ import annotations

import dataclasses

import click

from yuccatally.core.routing import router
from yuccatally_bench import model
from yuccatally_bench import report

DURATION_S = 30.0
WARMUP_S = 10.0
MAX_TOKENS = 256
# Account, urgency, share, prefill tokens and answer tokens. All accounts send
# the same token limit but use different parts of it.
ACCOUNT_LOADS = (
    ("briefings", 0, 0.1, 16, 8),
    ("notes", 1, 0.6, 16, 8),
    ("summaries", 1, 0.3, 64, 96),
)
TOTAL_SHARE = sum(share for _, _, share, _, _ in ACCOUNT_LOADS)
MEAN_ANSWER_TOKENS = (
    sum(share * tokens for _, _, share, _, tokens in ACCOUNT_LOADS)
    / TOTAL_SHARE
)
MEAN_PREFILL_TOKENS = (
    sum(share * prefill for _, _, share, prefill, _ in ACCOUNT_LOADS)
    / TOTAL_SHARE
)
VARIANTS = {
    "round-robin": router.Options("round-robin", limits=False),
    "least-outstanding": router.Options("least-outstanding", limits=False),
    "work, token limit": router.Options(demand=False),
    "work, measured demand": router.Options(demand=True),
}


@click.command()
@click.option("--load", "loads", multiple=True, type=float, default=(0.8, 1.3))
@click.option("--repeats", default=5, show_default=True)
@click.option("--deadline", default=8.0, show_default=True)
def command(loads: tuple[float, ...], repeats: int, deadline: float) -> None:
    """Compares policies with three fast and three slow engines per stage."""
    for load in loads:
        rows = []
        for name, options in VARIANTS.items():
            runs = [
                _run(options, load, seed, deadline) for seed in range(repeats)
            ]
            columns = {c: tuple(r[c] for r in runs) for c in runs[0]}
            rows.append(report.Row(name, columns))
        title = (
            f"\ntest clock: offered {load:g} of the bound, accounts that use "
            f"8 and 96 of {MAX_TOKENS} tokens, commit {report.commit()}"
        )
        click.echo(report.table(title, rows))


def _engines() -> list[model.Engine]:
    fast = [model.Engine(f"fast{i}", 8 * (i % 2)) for i in range(6)]
    slow = [
        model.Engine(
            f"slow{i}", 8 * (i % 2), step_base_s=0.024, token_layer_s=0.0002
        )
        for i in range(6)
    ]
    return [
        dataclasses.replace(e, last_layer=e.first_layer + 8)
        for e in (*fast, *slow)
    ]


def bound_requests_per_s(engines: list[model.Engine]) -> float:
    """Returns the requests per second of one stage with full batches."""
    return sum(
        1
        / (
            MEAN_ANSWER_TOKENS * e.step_base_s / e.batch
            + (MEAN_PREFILL_TOKENS + MEAN_ANSWER_TOKENS - 1)
            * 8
            * e.token_layer_s
        )
        for e in engines
        if e.first_layer == 0
    )


def _run(
    options: router.Options, load: float, seed: int, deadline_s: float
) -> dict[str, float]:
    engines = _engines()
    stages = [
        (first, first + 8, [e.name for e in engines if e.first_layer == first])
        for first in (0, 8)
    ]
    simulation = model.Simulation(engines, [stages], 3, options, seed)
    started_at = simulation.now
    rate = bound_requests_per_s(engines)
    simulation.offer(
        rate * load, DURATION_S, ACCOUNT_LOADS, deadline_s, MAX_TOKENS
    )
    simulation.advance(DURATION_S)
    since = started_at + WARMUP_S
    tokens = simulation.tokens_in_time(since, simulation.now)
    figures = {
        "share": tokens / (DURATION_S - WARMUP_S) / rate / MEAN_ANSWER_TOKENS
    }
    for account, _, _, _, _ in ACCOUNT_LOADS:
        ended = [
            r
            for r in simulation.requests
            if r.account == account and r.outcome and r.offered_at >= since
        ]
        latencies_s = sorted(r.latency_s for r in ended if r.in_time) or [0.0]
        figures[f"{account} ok"] = sum(r.in_time for r in ended) / len(ended)
        figures[f"{account} p50 s"] = latencies_s[len(latencies_s) // 2]
        figures[f"{account} p95 s"] = latencies_s[int(len(latencies_s) * 0.95)]
    return figures
