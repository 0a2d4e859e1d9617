"""Routing policies on small engines and a test clock, without processes."""

from __future__ import annotations

import dataclasses

import click

from yuccatally.core.routing import router
from yuccatally_bench import model
from yuccatally_bench import report

SECONDS = 30.0
WARM_S = 10.0
STATED_TOKENS = 256
# Accounts differ in what they use of the same token limit.
CALLERS = (
    ("briefings", 0, 0.1, 16, 8),
    ("notes", 1, 0.6, 16, 8),
    ("summaries", 1, 0.3, 64, 96),
)
PARTS = sum(part for _, _, part, _, _ in CALLERS)
TOKENS = sum(part * tokens for _, _, part, _, tokens in CALLERS) / PARTS
PREFILL = sum(part * prefill for _, _, part, prefill, _ in CALLERS) / PARTS
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
    """Compares policies on three fast and three slow engines a stage."""
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
            f"8 and 96 of {STATED_TOKENS} tokens, commit {report.commit()}"
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


def bound(engines: list[model.Engine]) -> float:
    """Returns the requests per second of one stage at full steps."""
    return sum(
        1
        / (
            TOKENS * e.step_base_s / e.batch
            + (PREFILL + TOKENS - 1) * 8 * e.token_layer_s
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
    site = model.Site(engines, [stages], 3, options, seed)
    started = site.now
    rate = bound(engines)
    site.offer(rate * load, SECONDS, CALLERS, deadline_s, STATED_TOKENS)
    site.advance(SECONDS)
    since = started + WARM_S
    tokens = site.good_tokens(since, site.now)
    figures = {"share": tokens / (SECONDS - WARM_S) / rate / TOKENS}
    for account, _, _, _, _ in CALLERS:
        asked = [
            r
            for r in site.runs
            if r.account == account and r.outcome and r.offered_at >= since
        ]
        times = sorted(r.latency_s for r in asked if r.good) or [0.0]
        figures[f"{account} ok"] = sum(r.good for r in asked) / len(asked)
        figures[f"{account} p50 s"] = times[len(times) // 2]
        figures[f"{account} p95 s"] = times[int(len(times) * 0.95)]
    return figures
