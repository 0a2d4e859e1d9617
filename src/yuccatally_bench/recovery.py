"""Measures the time from a stage fault to the next token of its answers."""

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
TOKENS_BEFORE_FAULT = 40
STEADY_FROM_S, STEADY_TO_S = 3.2, 4.2
# Streams advance in batches; a shorter window contains only 5 or 6 of them.
WINDOW_S = 0.5
FULL_RATE_RATIO = 0.9
FAULTY_ENGINE = "b1"
STAGES = {"a": (0, 4), "b": (4, 8), "c": (8, 12)}
PLAN = site.SiteSpec(
    instances=1,
    engines=tuple(
        site.EngineSpec(f"{stage}{n}", *layers, STEP_MS, {"part": stage})
        for stage, layers in STAGES.items()
        for n in (1, 2)
    ),
    pipelines={"p": tuple((f"part={p}", *r) for p, r in STAGES.items())},
)


def _kill(deployment: site.Site) -> None:
    deployment.processes[FAULTY_ENGINE].kill()


def _freeze(deployment: site.Site) -> None:
    deployment.processes[FAULTY_ENGINE].send_signal(signal.SIGSTOP)


def _silence(deployment: site.Site) -> None:
    deployment.set_faults(FAULTY_ENGINE, once=["silence-out"])


FAULTS: dict[str, Callable[[site.Site], None]] = {
    "kill": _kill,
    "freeze": _freeze,
    "silent link": _silence,
}


@dataclasses.dataclass(frozen=True)
class Result:
    """Results of one fault; times are in seconds.

    Attributes:
        token_interval_s: Median time between tokens before the fault.
        next_token_s: Times from the fault to the next token of each affected
            answer.
        full_rate_s: Time from the fault to 0.9 of the later steady rate.
        prefill_s: Time that the remaining engine needs to prefill the tokens
            of all affected answers, by its declared rates.
        complete_ratio: Ratio of answers that were complete and correct.
        phases_s: Median times of detection, choice and prefill that the
            instance reports.
    """

    token_interval_s: float
    next_token_s: tuple[float, ...]
    full_rate_s: float
    prefill_s: float
    complete_ratio: float
    phases_s: dict[str, float]


@click.command()
@click.option("--rounds", default=3, help="Repetitions of each fault.")
@click.option("--streams", "count", default=32, help="Concurrent answers.")
@click.option(
    "--prompt", "length", default=200, help="Prompt length, in tokens."
)
@click.option("--only", default="", help="Run one kind of fault only.")
@click.option(
    "--faults", default=0, help="Inject this many random faults instead."
)
@click.option("--seed", default=1, help="Seed of the injected faults.")
def command(
    rounds: int, count: int, length: int, only: str, faults: int, seed: int
) -> None:
    """Compares recovery with a restart after a fixed timeout of 2 s."""
    if faults:
        click.echo(asyncio.run(injection.inject(faults, seed)))
        return
    prompts = _select_prompts(count, length)
    names = [only] if only else list(FAULTS)
    rows = []
    for name in names:
        results_by_variant: dict[str, list[Result]] = collections.defaultdict(
            list
        )
        for _ in range(rounds):
            for variant, result in asyncio.run(_round(name, prompts)).items():
                results_by_variant[variant].append(result)
        rows += [
            _row(f"{name}, {variant}", results)
            for variant, results in results_by_variant.items()
        ]
    title = (
        f"recovery, {count} answers, prompt {length} tokens, {rounds} rounds, "
        f"commit {report.commit()}; seconds"
    )
    click.echo(report.table(title, rows))


async def _round(name: str, prompts: list[str]) -> dict[str, Result]:
    with tempfile.TemporaryDirectory() as folder:
        deployment = site.Site(PLAN, pathlib.Path(folder))
        try:
            await asyncio.to_thread(deployment.start)
            async with streams.create_session() as session:
                yuccatally = await _measure_yuccatally(
                    deployment, session, name, prompts
                )
                await asyncio.to_thread(_repair, deployment)
                baseline = await _measure_baseline(
                    deployment, session, name, prompts
                )
        finally:
            deployment.stop()
    return {"yuccatally": yuccatally, "restart after 2 s": baseline}


async def _measure_yuccatally(
    deployment: site.Site,
    session: aiohttp.ClientSession,
    name: str,
    prompts: list[str],
) -> Result:
    answers = [streams.StreamedAnswer(p, MAX_TOKENS) for p in prompts]
    instance = deployment.of_role("instance")[0]
    tasks = [
        asyncio.create_task(streams.stream_answer(session, instance, a))
        for a in answers
    ]
    await streams.wait_for_tokens(answers, TOKENS_BEFORE_FAULT)
    async with session.get(
        f"{deployment.processes[FAULTY_ENGINE].url}/executed"
    ) as response:
        served = {entry[0] for entry in await response.json()}
    fault_at = await _inject_fault(deployment, name)
    await asyncio.gather(*tasks)
    affected = [a for a in answers if a.request_id in served]
    url = f"http://{instance.addresses['operators']}/metrics"
    metrics_text = site.fetch("GET", url, key=site.OPERATORS_KEY).body.decode()
    return _result(answers, affected, fault_at, _phase_durations(metrics_text))


async def _measure_baseline(
    deployment: site.Site,
    session: aiohttp.ClientSession,
    name: str,
    prompts: list[str],
) -> Result:
    answers = [streams.StreamedAnswer(p, MAX_TOKENS) for p in prompts]
    replicas = [[f"{stage}{n}" for n in (1, 2)] for stage in STAGES]
    baseline_driver = fixed_timeout.FixedTimeout(deployment, replicas)
    await baseline_driver.connect(session)
    tasks = [
        asyncio.create_task(baseline_driver.generate(i, a))
        for i, a in enumerate(answers)
    ]
    await streams.wait_for_tokens(answers, TOKENS_BEFORE_FAULT)
    fault_at = await _inject_fault(deployment, name)
    await asyncio.gather(*tasks)
    await baseline_driver.close()
    # Answers with an even index use the first engine of each stage.
    return _result(answers, answers[::2], fault_at, {})


async def _inject_fault(deployment: site.Site, name: str) -> float:
    fault_at = time.monotonic()
    await asyncio.to_thread(FAULTS[name], deployment)
    return fault_at


def _result(
    answers: list[streams.StreamedAnswer],
    affected: list[streams.StreamedAnswer],
    fault_at: float,
    phases_s: dict[str, float],
) -> Result:
    gaps = [
        later - earlier
        for a in answers
        for earlier, later in zip(
            a.token_times, a.token_times[1:], strict=False
        )
        if later < fault_at
    ]
    token_counts = [
        len(a.prompt) + sum(t < fault_at for t in a.token_times)
        for a in affected
    ]
    layers = STAGES[FAULTY_ENGINE[0]][1] - STAGES[FAULTY_ENGINE[0]][0]
    return Result(
        token_interval_s=statistics.median(gaps),
        next_token_s=interruptions([a.token_times for a in affected], fault_at),
        full_rate_s=_full_rate_at(
            [t for a in answers for t in a.token_times], fault_at
        )
        - fault_at,
        prefill_s=sum(token_counts) * layers * TOKEN_LAYER_S,
        complete_ratio=sum(a.is_complete for a in answers) / len(answers),
        phases_s=phases_s,
    )


class NothingInterruptedError(Exception):
    """All answers had ended before the fault."""


def interruptions(
    times: list[list[float]], fault_at: float
) -> tuple[float, ...]:
    """Returns when the longest interruption of each answer ended.

    Answers that ended before the fault are excluded: on a busy machine the
    fault may be injected late.

    Args:
        times: Times of the tokens of each answer, in seconds.
        fault_at: Time of the fault.

    Returns:
        Seconds after the fault, infinite for an answer that did not resume.

    Raises:
        NothingInterruptedError: All answers had ended before the fault.

    >>> interruptions([[0.0, 1.0, 3.0], [0.0, 0.5]], 1.5)
    (1.5,)
    """
    under_way = [t for t in times if t and t[-1] > fault_at]
    if not under_way:
        raise NothingInterruptedError(
            f"all {len(times)} answers ended before the fault; "
            "use longer answers or an idle machine"
        )
    return tuple(_longest_gap_end(t, fault_at) - fault_at for t in under_way)


def _longest_gap_end(times: list[float], fault_at: float) -> float:
    """Returns the end of the longest interruption after the fault."""
    ends = [
        (later - max(earlier, fault_at), later)
        for earlier, later in itertools.pairwise(times)
        if fault_at < later < fault_at + STEADY_TO_S
    ]
    return max(ends)[1] if ends else float("inf")


def _full_rate_at(times: list[float], fault_at: float) -> float:
    """Returns the end of the last window below the full-rate ratio."""
    steady = sum(
        fault_at + STEADY_FROM_S <= t < fault_at + STEADY_TO_S for t in times
    )
    min_count = (
        FULL_RATE_RATIO * steady * WINDOW_S / (STEADY_TO_S - STEADY_FROM_S)
    )
    window_end = fault_at + STEADY_FROM_S
    while window_end > fault_at:
        if (
            sum(window_end - WINDOW_S <= t < window_end for t in times)
            < min_count
        ):
            return window_end
        window_end -= WINDOW_S / 10
    return fault_at


def _row(variant: str, results: list[Result]) -> report.Row:
    prefill_times_s = [r.prefill_s for r in results]
    figures = {
        "step": [r.token_interval_s for r in results],
        "next": [statistics.median(r.next_token_s) for r in results],
        "next max": [max(r.next_token_s) for r in results],
        "max - prefill": [
            max(r.next_token_s) - p
            for r, p in zip(results, prefill_times_s, strict=True)
        ],
        "full rate": [r.full_rate_s for r in results],
        "whole": [r.complete_ratio for r in results],
    }
    for phase in ("detection", "choice", "prefill"):
        figures[phase] = [r.phases_s.get(phase, float("nan")) for r in results]
    return report.Row(variant, {k: tuple(v) for k, v in figures.items()})


def _phase_durations(metrics_text: str) -> dict[str, float]:
    durations_s = {}
    for phase in ("detection", "choice", "prefill"):
        prefix = f'yuccatally_recovery_{phase}_seconds{{quantile="0.5"}} '
        for line in metrics_text.splitlines():
            if line.startswith(prefix):
                durations_s[phase] = float(line.removeprefix(prefix))
    return durations_s


def _repair(deployment: site.Site) -> None:
    process = deployment.processes[FAULTY_ENGINE]
    if process.popen.poll() is not None:
        port = int(process.address.rpartition(":")[2])
        plan = next(p for p in PLAN.engines if p.name == FAULTY_ENGINE)
        deployment.start_engine(plan, port)
    process.popen.send_signal(signal.SIGCONT)
    deployment.await_ready(deployment.of_role("instance")[0])


def _select_prompts(count: int, length: int) -> list[str]:
    """Returns prompts whose answers reach the token limit."""
    selected = []
    for prompt in streams.create_prompts(count * 20, length):
        if (
            len(streams.StreamedAnswer(prompt, MAX_TOKENS).expected)
            == MAX_TOKENS
        ):
            selected.append(prompt)
        if len(selected) == count:
            break
    return selected
