"""Injects faults into a deployment under load and counts the outcomes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import tempfile
import time
from typing import TYPE_CHECKING

from yuccatally_bench import report
from yuccatally_standins import engine_faults
from yuccatally_standins import site
from yuccatally_standins import streams

if TYPE_CHECKING:
    import aiohttp

INSTANCE_COUNT = 2
REPLICA_COUNT = 4
CALLER_COUNT = 24
MAX_TOKENS = 60
FAULT_INTERVAL_S = 0.08
# A kill requires a process start, so it is rarer than the other faults.
KILL_RATIO = 0.03
STOP_RATIO = 0.04
RESTART_DELAY_S = 0.4
SETTLE_S = 1.0
STOP_DURATION_S = 1.2
STEP_COMPLETION_S = 0.05
LOAD_TIMEOUT_S = 170.0
# Engines expire an import after 10 s without a step that uses it.
IMPORT_EXPIRY_WAIT_S = 13.0
STAGES = {"a": (0, 4), "b": (4, 8), "c": (8, 12)}
PLAN = site.SiteSpec(
    instances=INSTANCE_COUNT,
    engines=tuple(
        site.EngineSpec(f"{stage}{n}", *layers, 2.0, {"part": stage})
        for stage, layers in STAGES.items()
        for n in range(REPLICA_COUNT)
    ),
    pipelines={"p": tuple((f"part={p}", *r) for p, r in STAGES.items())},
)


@dataclasses.dataclass
class _InjectionRun:
    deployment: site.Site
    session: aiohttp.ClientSession
    rng: random.Random
    faults: int
    answers: list[streams.StreamedAnswer] = dataclasses.field(
        default_factory=list
    )
    injected: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    down: set[str] = dataclasses.field(default_factory=set)
    records_of_killed: list[streams.ExecutionRecord] = dataclasses.field(
        default_factory=list
    )
    stopping: bool = False


async def inject(faults: int, seed: int) -> str:
    """Injects faults and returns a summary of faults and outcomes.

    Args:
        faults: Number of faults.
        seed: Seed of their kinds, engines and order.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = site.Site(PLAN, pathlib.Path(folder))
        try:
            await asyncio.to_thread(deployment.start)
            async with streams.create_session() as session:
                run = _InjectionRun(
                    deployment, session, random.Random(seed), faults
                )
                started_at = time.monotonic()
                await _run_load(run)
                elapsed_s = time.monotonic() - started_at
            return await asyncio.to_thread(_summary, run, seed, elapsed_s)
        finally:
            deployment.stop()


async def _run_load(run: _InjectionRun) -> None:
    callers = [
        asyncio.create_task(_send_requests(run, n)) for n in range(CALLER_COUNT)
    ]
    repairs: list[asyncio.Task[None]] = []
    deadline = time.monotonic() + LOAD_TIMEOUT_S
    while run.injected.total() < run.faults and time.monotonic() < deadline:
        await asyncio.sleep(FAULT_INTERVAL_S)
        await _inject_fault(run, repairs)
    await asyncio.gather(*repairs)
    await asyncio.sleep(SETTLE_S)
    await _subtract_pending(run)
    run.stopping = True
    await asyncio.gather(*callers)


async def _subtract_pending(run: _InjectionRun) -> None:
    for plan in PLAN.engines:
        url = f"{run.deployment.processes[plan.name].url}/faults"
        async with run.session.post(url, json={}) as response:
            for fault in (await response.json())["once"]:
                run.injected[fault] -= 1


async def _send_requests(run: _InjectionRun, number: int) -> None:
    instances = run.deployment.of_role("instance")
    while not run.stopping:
        prompt = f"caller {number}, question {len(run.answers)}: " * 2
        answer = streams.StreamedAnswer(prompt, MAX_TOKENS)
        run.answers.append(answer)
        await streams.stream_answer(
            run.session, instances[number % len(instances)], answer
        )


async def _inject_fault(
    run: _InjectionRun, repairs: list[asyncio.Task[None]]
) -> None:
    names = [p.name for p in PLAN.engines if p.name not in run.down]
    name = run.rng.choice(names)
    # One engine of each stage stays up so that the stage can be served.
    others_down = sum(d[0] == name[0] for d in run.down)
    draw = run.rng.random()
    if draw < KILL_RATIO + STOP_RATIO and others_down < REPLICA_COUNT - 1:
        run.down.add(name)
        process = run.deployment.processes[name]
        if draw < KILL_RATIO:
            await _save_record(run, name)
            process.kill()
            run.injected["kill"] += 1
            repairs.append(asyncio.create_task(_restart(run, name)))
        else:
            process.send_signal(signal.SIGSTOP)
            run.injected["stop"] += 1
            repairs.append(asyncio.create_task(_resume(run, name)))
        return
    fault = run.rng.choice(list(engine_faults.StepFault))
    url = f"{run.deployment.processes[name].url}/faults"
    if name in run.down or await _has_pending_fault(run, url):
        return
    async with run.session.post(url, json={"once": [fault]}):
        run.injected[str(fault)] += 1


async def _save_record(run: _InjectionRun, name: str) -> None:
    """Records the computed steps of an engine before it is killed.

    A step under way completes first so that every computed step is recorded.
    """
    url = f"{run.deployment.processes[name].url}/faults"
    async with run.session.post(url, json={"frozen": True}):
        await asyncio.sleep(STEP_COMPLETION_S)
    plan = next(p for p in PLAN.engines if p.name == name)
    run.records_of_killed.append(
        await asyncio.to_thread(
            streams.fetch_execution_record, run.deployment, plan
        )
    )


async def _has_pending_fault(run: _InjectionRun, url: str) -> bool:
    """Returns whether an injected fault of the engine is still pending.

    Queued faults would all take effect in consecutive steps.
    """
    async with run.session.post(url, json={}) as response:
        return bool((await response.json())["once"])


async def _restart(run: _InjectionRun, name: str) -> None:
    await asyncio.sleep(RESTART_DELAY_S)
    plan = next(p for p in PLAN.engines if p.name == name)
    port = int(run.deployment.processes[name].address.rpartition(":")[2])
    run.deployment.start_engine(plan, port)
    await asyncio.to_thread(site.wait_for_port, run.deployment.processes[name])
    run.down.discard(name)


async def _resume(run: _InjectionRun, name: str) -> None:
    await asyncio.sleep(STOP_DURATION_S)
    run.deployment.processes[name].send_signal(signal.SIGCONT)
    run.down.discard(name)


def _summary(run: _InjectionRun, seed: int, elapsed_s: float) -> str:
    outcomes = collections.Counter(a.outcome or "none" for a in run.answers)
    statuses = [
        run.deployment.status(p) for p in run.deployment.of_role("instance")
    ]
    wrong = streams.find_mismatches(
        run.deployment, run.answers, run.records_of_killed
    )
    refused = collections.Counter(
        a.error_code for a in run.answers if a.error_code
    )
    lines = [
        f"injected faults: {run.injected.total()} in {elapsed_s:.0f} s, "
        f"seed {seed}, commit {report.commit()}",
        f"  by kind: {dict(sorted(run.injected.items()))}",
        f"answers: {len(run.answers)}, by outcome: {dict(outcomes)}, "
        f"whole and right: {sum(a.is_complete for a in run.answers)}",
        f"errors: {dict(refused)}",
        f"lost (no outcome): {outcomes['none']}",
        f"wrong or doubled: {len(wrong)} {wrong[:3]}",
        f"identity holds: {all(s['balanced'] for s in statuses)}, "
        f"in flight: {sum(s['requests']['in_flight'] for s in statuses)}",
        f"sequences left on engines: "
        f"{streams.find_leaks(run.deployment, IMPORT_EXPIRY_WAIT_S)}",
    ]
    return "\n".join(lines)
