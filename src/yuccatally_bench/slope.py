"""CPU time of an instance per token and per request, by number of streams."""

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

STREAMS = (8, 64, 512)
TOKENS = 64
STEP_MS = 20.0
WARM_S = 2.0
WINDOW_S = 5.0
RATES = {"step_base_ms": STEP_MS, "token_layer_us": 0.1, "batch": 1024}
ARGUMENTS = ("--token-layer-us", "0.1", "--max-batch", "1024")


@click.command()
@click.option("--repeats", default=3, show_default=True)
def command(repeats: int) -> None:
    """Measures CPU time of one instance from 8 to 512 streams."""
    rows = []
    for streams in STREAMS:
        runs = [_run(streams) for _ in range(repeats)]
        columns = {c: tuple(r[c] for r in runs) for c in runs[0]}
        rows.append(report.Row(f"{streams} streams", columns))
    title = (
        f"\none instance, two stages of {STEP_MS:g} ms, {TOKENS} tokens a "
        f"request, commit {report.commit()}"
    )
    click.echo(report.table(title, rows))


def _run(streams: int) -> dict[str, float]:
    engines = (
        site.EnginePlan(
            "front", 0, 8, STEP_MS, {"p": "a"}, "north", ARGUMENTS, RATES
        ),
        site.EnginePlan(
            "back", 8, 12, STEP_MS, {"p": "b"}, "north", ARGUMENTS, RATES
        ),
    )
    pipelines = {"p": (("p=a", 0, 8), ("p=b", 8, 12))}
    with tempfile.TemporaryDirectory() as folder:
        started = site.Site(
            site.Plan(1, engines, pipelines), pathlib.Path(folder)
        )
        try:
            started.start()
            return asyncio.run(_loaded(started, streams))
        finally:
            started.stop()


async def _loaded(started: site.Site, streams: int) -> dict[str, float]:
    instance = started.of_role("instance")[0]
    asks: list[callers.Ask] = []
    until = time.monotonic() + WARM_S + WINDOW_S
    loops = [
        asyncio.create_task(_stream(instance.url, asks, until))
        for _ in range(streams)
    ]
    await asyncio.sleep(WARM_S)
    cpu_s = throughput.cpu_seconds(instance.popen.pid)
    tokens = sum(a.tokens for a in asks)
    ended = sum(a.ended > 0 for a in asks)
    await asyncio.sleep(WINDOW_S)
    cpu_s = throughput.cpu_seconds(instance.popen.pid) - cpu_s
    tokens = sum(a.tokens for a in asks) - tokens
    ended = sum(a.ended > 0 for a in asks) - ended
    for loop in loops:
        loop.cancel()
    await asyncio.gather(*loops, return_exceptions=True)
    return {
        "cpu us/token": cpu_s * 1e6 / max(1, tokens),
        "cpu ms/request": cpu_s * 1e3 / max(1, ended),
        "tokens/s": tokens / WINDOW_S,
        "cpu share": cpu_s / WINDOW_S,
    }


async def _stream(url: str, asks: list[callers.Ask], until: float) -> None:
    load = callers.Load((), 1.0, 0.0, 0, 0, 30.0, 0)
    body = msgspec.json.encode(
        {
            "model": site.MODEL,
            "prompt": list(range(32, 48)),
            "max_tokens": TOKENS,
            "stream": True,
        }
    )
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < until:
            ask = callers.Ask("desk", "normal")
            asks.append(ask)
            await callers.send(
                session, f"{url}/v1/completions", ask, body, load
            )
