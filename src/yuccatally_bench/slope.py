"""Measures CPU time per token and request by number of streams."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time

import aiohttp
import click
import msgspec

from yuccatally_bench import callers
from yuccatally_bench import report
from yuccatally_bench import throughput
from yuccatally_standins import site

STREAM_COUNTS = (8, 64, 512)
MAX_TOKENS = 64
STEP_MS = 20.0
WARMUP_S = 2.0
WINDOW_S = 5.0
RATES = {"step_base_ms": STEP_MS, "token_layer_us": 0.1, "batch": 1024}
ARGUMENTS = ("--token-layer-us", "0.1", "--max-batch", "1024")


@click.command()
@click.option("--repeats", default=3, show_default=True)
def command(repeats: int) -> None:
    """Measures CPU time of one instance with 8 to 512 streams."""
    rows = []
    for stream_count in STREAM_COUNTS:
        runs = [_run(stream_count) for _ in range(repeats)]
        columns = {c: tuple(r[c] for r in runs) for c in runs[0]}
        rows.append(report.Row(f"{stream_count} streams", columns))
    title = (
        f"\none instance, two stages of {STEP_MS:g} ms, {MAX_TOKENS} tokens a "
        f"request, commit {report.commit()}"
    )
    click.echo(report.table(title, rows))


def _run(stream_count: int) -> dict[str, float]:
    engines = (
        site.EngineSpec(
            "front", 0, 8, STEP_MS, {"p": "a"}, "north", ARGUMENTS, RATES
        ),
        site.EngineSpec(
            "back", 8, 12, STEP_MS, {"p": "b"}, "north", ARGUMENTS, RATES
        ),
    )
    pipelines = {"p": (("p=a", 0, 8), ("p=b", 8, 12))}
    with tempfile.TemporaryDirectory() as folder:
        deployment = site.Site(
            site.SiteSpec(1, engines, pipelines), pathlib.Path(folder)
        )
        try:
            deployment.start()
            return asyncio.run(_measure(deployment, stream_count))
        finally:
            deployment.stop()


async def _measure(
    deployment: site.Site, stream_count: int
) -> dict[str, float]:
    instance = deployment.of_role("instance")[0]
    results: list[callers.RequestResult] = []
    end_at = time.monotonic() + WARMUP_S + WINDOW_S
    tasks = [
        asyncio.create_task(_send_requests(instance.url, results, end_at))
        for _ in range(stream_count)
    ]
    await asyncio.sleep(WARMUP_S)
    cpu_s = throughput.cpu_seconds(instance.popen.pid)
    tokens = sum(a.tokens for a in results)
    ended = sum(a.ended_at > 0 for a in results)
    await asyncio.sleep(WINDOW_S)
    cpu_s = throughput.cpu_seconds(instance.popen.pid) - cpu_s
    tokens = sum(a.tokens for a in results) - tokens
    ended = sum(a.ended_at > 0 for a in results) - ended
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "cpu us/token": cpu_s * 1e6 / max(1, tokens),
        "cpu ms/request": cpu_s * 1e3 / max(1, ended),
        "tokens/s": tokens / WINDOW_S,
        "cpu share": cpu_s / WINDOW_S,
    }


async def _send_requests(
    url: str, results: list[callers.RequestResult], end_at: float
) -> None:
    load = callers.OpenLoad((), 1.0, 0.0, 0, 0, 30.0, 0)
    body = msgspec.json.encode(
        {
            "model": site.MODEL,
            "prompt": list(range(32, 48)),
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
    )
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end_at:
            result = callers.RequestResult("desk", "normal")
            results.append(result)
            await callers.send_request(
                session, f"{url}/v1/completions", result, body, load
            )
