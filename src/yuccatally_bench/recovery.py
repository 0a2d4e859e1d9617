"""Time from a fault of a stage to the next token of the same answers."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import signal
import statistics
import tempfile
import time
from typing import TYPE_CHECKING

import click

from yuccatally_bench import fixed_timeout
from yuccatally_bench import injection
from yuccatally_bench import report
from yuccatally_standins import site
from yuccatally_standins import streams

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

STEP_MS = 4.0
TOKEN_LAYER_S = 20e-6
MAX_TOKENS = 420
TOKENS_BEFORE = 40
STEADY_FROM_S, STEADY_TO_S = 3.2, 4.2
# Streams move in batches, so that a shorter window counts 5 or 6 of them.
WINDOW_S = 0.5
FULL_SHARE = 0.9
VICTIM = "b1"
STAGES = {"a": (0, 4), "b": (4, 8), "c": (8, 12)}
PLAN = site.Plan(
    instances=1,
    engines=tuple(
        site.EnginePlan(f"{part}{n}", *layers, STEP_MS, {"part": part})
        for part, layers in STAGES.items()
        for n in (1, 2)
    ),
    pipelines={"p": tuple((f"part={p}", *r) for p, r in STAGES.items())},
)


def _kill(started: site.Site) -> None:
    started.processes[VICTIM].kill()


def _freeze(started: site.Site) -> None:
    started.processes[VICTIM].send(signal.SIGSTOP)


def _silence(started: site.Site) -> None:
    started.set_faults(VICTIM, once=["silence-out"])


FAULTS: dict[str, Callable[[site.Site], None]] = {
    "kill": _kill,
    "freeze": _freeze,
    "silent link": _silence,
}


@dataclasses.dataclass(frozen=True)
class Result:
    """Figures of one fault, in seconds unless the name says otherwise.

    Attributes:
        step_s: Median time between tokens before the fault.
        next_s: Times from the fault to the next token of affected answers.
        full_s: Time from the fault to 0.9 of the later steady rate.
        prefill_s: Time the remaining engine needs to prefill the tokens so
            far of all affected answers, by its declared rates.
        whole: Share of answers that were whole and right.
        parts: Median of detection, choice and prefill by the instance.
    """

    step_s: float
    next_s: tuple[float, ...]
    full_s: float
    prefill_s: float
    whole: float
    parts: dict[str, float]


@click.command()
@click.option("--rounds", default=3, help="Repetitions of each fault.")
@click.option("--streams", "count", default=32, help="Concurrent answers.")
@click.option("--prompt", "length", default=200, help="Prompt, in tokens.")
@click.option("--only", default="", help="One fault instead of all three.")
@click.option("--faults", default=0, help="Inject this many faults instead.")
@click.option("--seed", default=1, help="Seed of the injected faults.")
def command(
    rounds: int, count: int, length: int, only: str, faults: int, seed: int
) -> None:
    """Recovery of answers beside a restart after a fixed 2 s timeout."""
    if faults:
        click.echo(asyncio.run(injection.inject(faults, seed)))
        return
    prompts = _long_prompts(count, length)
    names = [only] if only else list(FAULTS)
    rows = []
    for name in names:
        found: dict[str, list[Result]] = collections.defaultdict(list)
        for _ in range(rounds):
            for variant, result in asyncio.run(_round(name, prompts)).items():
                found[variant].append(result)
        rows += [
            _row(f"{name}, {variant}", results)
            for variant, results in found.items()
        ]
    title = (
        f"recovery, {count} answers, prompt {length} tokens, {rounds} rounds, "
        f"commit {report.commit()}; seconds"
    )
    click.echo(report.table(title, rows))


async def _round(name: str, prompts: list[str]) -> dict[str, Result]:
    with tempfile.TemporaryDirectory() as folder:
        started = site.Site(PLAN, pathlib.Path(folder))
        try:
            await asyncio.to_thread(started.start)
            async with streams.session() as session:
                ours = await _ours(started, session, name, prompts)
                await asyncio.to_thread(_repair, started)
                base = await _baseline(started, session, name, prompts)
        finally:
            started.stop()
    return {"yuccatally": ours, "restart after 2 s": base}


async def _ours(
    started: site.Site,
    session: aiohttp.ClientSession,
    name: str,
    prompts: list[str],
) -> Result:
    answers = [streams.Answer(p, MAX_TOKENS) for p in prompts]
    node = started.of_role("instance")[0]
    tasks = [
        asyncio.create_task(streams.ask(session, node, a)) for a in answers
    ]
    await streams.until_tokens(answers, TOKENS_BEFORE)
    async with session.get(f"{started.processes[VICTIM].url}/executed") as got:
        served = {entry[0] for entry in await got.json()}
    at = await _act(started, name)
    await asyncio.gather(*tasks)
    affected = [a for a in answers if a.request in served]
    url = f"http://{node.extra['operators']}/metrics"
    shown = site.fetch("GET", url, key=site.OPERATORS_KEY).body.decode()
    return _result(answers, affected, at, _parts(shown))


async def _baseline(
    started: site.Site,
    session: aiohttp.ClientSession,
    name: str,
    prompts: list[str],
) -> Result:
    answers = [streams.Answer(p, MAX_TOKENS) for p in prompts]
    replicas = [[f"{part}{n}" for n in (1, 2)] for part in STAGES]
    driver = fixed_timeout.FixedTimeout(started, replicas)
    await driver.connect(session)
    tasks = [
        asyncio.create_task(driver.answer(i, a)) for i, a in enumerate(answers)
    ]
    await streams.until_tokens(answers, TOKENS_BEFORE)
    at = await _act(started, name)
    await asyncio.gather(*tasks)
    await driver.close()
    # Even answers use the first engine of each stage.
    return _result(answers, answers[::2], at, {})


async def _act(started: site.Site, name: str) -> float:
    at = time.monotonic()
    await asyncio.to_thread(FAULTS[name], started)
    return at


def _result(
    answers: list[streams.Answer],
    affected: list[streams.Answer],
    at: float,
    parts: dict[str, float],
) -> Result:
    gaps = [
        later - earlier
        for a in answers
        for earlier, later in zip(a.times, a.times[1:], strict=False)
        if later < at
    ]
    known = [len(a.prompt) + sum(t < at for t in a.times) for a in affected]
    layers = STAGES[VICTIM[0]][1] - STAGES[VICTIM[0]][0]
    return Result(
        step_s=statistics.median(gaps),
        next_s=interruptions([a.times for a in affected], at),
        full_s=_full_rate_at([t for a in answers for t in a.times], at) - at,
        prefill_s=sum(known) * layers * TOKEN_LAYER_S,
        whole=sum(a.whole for a in answers) / len(answers),
        parts=parts,
    )


class NothingInterruptedError(Exception):
    """No answer was under way when the fault came."""


def interruptions(times: list[list[float]], at: float) -> tuple[float, ...]:
    """Returns when the longest interruption of each answer ended.

    Answers that had ended before the fault are left out: on a busy machine a
    fault can come late.

    Args:
        times: Times of the tokens of each answer, in seconds.
        at: Time of the fault.

    Returns:
        Seconds after the fault, infinite if an answer did not go on.

    Raises:
        NothingInterruptedError: All answers had ended.

    >>> interruptions([[0.0, 1.0, 3.0], [0.0, 0.5]], 1.5)
    (1.5,)
    """
    under_way = [t for t in times if t and t[-1] > at]
    if not under_way:
        raise NothingInterruptedError(
            f"all {len(times)} answers had ended before the fault; "
            "measure with more tokens or on an idle machine"
        )
    return tuple(_longest_gap_end(t, at) - at for t in under_way)


def _longest_gap_end(times: list[float], at: float) -> float:
    """Returns when the longest interruption after the fault ended."""
    ends = [
        (later - max(earlier, at), later)
        for earlier, later in itertools.pairwise(times)
        if at < later < at + STEADY_TO_S
    ]
    return max(ends)[1] if ends else float("inf")


def _full_rate_at(times: list[float], at: float) -> float:
    """Returns the end of the last window below the share of the later rate."""
    steady = sum(at + STEADY_FROM_S <= t < at + STEADY_TO_S for t in times)
    wanted = FULL_SHARE * steady * WINDOW_S / (STEADY_TO_S - STEADY_FROM_S)
    moment = at + STEADY_FROM_S
    while moment > at:
        if sum(moment - WINDOW_S <= t < moment for t in times) < wanted:
            return moment
        moment -= WINDOW_S / 10
    return at


def _row(variant: str, results: list[Result]) -> report.Row:
    allowed = [r.prefill_s for r in results]
    figures = {
        "step": [r.step_s for r in results],
        "next": [statistics.median(r.next_s) for r in results],
        "next max": [max(r.next_s) for r in results],
        "max - prefill": [
            max(r.next_s) - p for r, p in zip(results, allowed, strict=True)
        ],
        "full rate": [r.full_s for r in results],
        "whole": [r.whole for r in results],
    }
    for part in ("detection", "choice", "prefill"):
        figures[part] = [r.parts.get(part, float("nan")) for r in results]
    return report.Row(variant, {k: tuple(v) for k, v in figures.items()})


def _parts(shown: str) -> dict[str, float]:
    found = {}
    for part in ("detection", "choice", "prefill"):
        prefix = f'yuccatally_recovery_{part}_seconds{{quantile="0.5"}} '
        for line in shown.splitlines():
            if line.startswith(prefix):
                found[part] = float(line.removeprefix(prefix))
    return found


def _repair(started: site.Site) -> None:
    process = started.processes[VICTIM]
    if process.popen.poll() is not None:
        port = int(process.address.rpartition(":")[2])
        plan = next(p for p in PLAN.engines if p.name == VICTIM)
        started.start_engine(plan, port)
    process.popen.send_signal(signal.SIGCONT)
    started.await_ready(started.of_role("instance")[0])


def _long_prompts(count: int, length: int) -> list[str]:
    """Returns prompts whose answers do not end before the limit."""
    found = []
    for prompt in streams.prompts(count * 20, length):
        if len(streams.Answer(prompt, MAX_TOKENS).expected) == MAX_TOKENS:
            found.append(prompt)
        if len(found) == count:
            break
    return found
