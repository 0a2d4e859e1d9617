"""Tests the emulator and the decisions of the core in it."""

from __future__ import annotations

import dataclasses
import pathlib

from click import testing
import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import upstreams
from yuccatally_bench import emulate
from yuccatally_bench.emulation import clock as clock_module
from yuccatally_bench.emulation import experiment as experiment_module
from yuccatally_bench.emulation import pipeline as pipeline_module
from yuccatally_bench.emulation import policies
from yuccatally_bench.emulation import run
from yuccatally_standins import models

EXPERIMENTS = pathlib.Path(__file__).parents[2] / "experiments"


def _load_experiment(
    name: str, length_s: float = 6.0
) -> experiment_module.Experiment:
    experiment = experiment_module.Experiment.from_file(
        EXPERIMENTS / f"{name}.toml"
    )
    return dataclasses.replace(experiment, length_s=length_s)


def _simulate(
    experiment: experiment_module.Experiment,
    policy: str = "core",
    seed: int = 1,
) -> run.Results:
    return run.Run(experiment, policies.POLICIES[policy], seed).simulate()


def _pipeline(
    tokens: float = 60e3, crossing: bool = False
) -> tuple[pipeline_module.Pipeline, clock_module.Clock]:
    data_centres = ("a", "b") if crossing else ("a", "a")
    path = dispatch.Path(
        name="p",
        hops=tuple(
            upstreams.Upstream(
                f"e{n}", 1, "s", f"e{n}:1", p, 96, False, "medium"
            )
            for n, p in enumerate(data_centres)
        ),
        ranges=((0, 40), (40, 80)),
        step_s=0.0136,
        sequence_s=0.0002,
        tokens=tokens,
        slots=96,
        data_centre="a",
    )
    clock = clock_module.Clock()
    link = pipeline_module.SharedLink(models.DEPLOYED_MODEL.pipe_mbps)
    return pipeline_module.Pipeline(
        path, models.DEPLOYED_MODEL, clock, link
    ), clock


def _stream(
    pipeline: pipeline_module.Pipeline,
    clock: clock_module.Clock,
    prompt: int = 800,
    answer: int = 20,
) -> list[float | bool]:
    received: list[float | bool] = []
    pipeline.start(
        pipeline_module.Stream(
            prompt, answer, lambda: received.append(clock.now), received.append
        )
    )
    return received


def test_stream_is_written_whole() -> None:
    """Guards against events that are lost at the end of a stream."""
    pipeline, clock = _pipeline()
    received = _stream(pipeline, clock)
    clock.run(10.0)
    assert received[-1] is True
    assert len(received) == 1 + 20 / pipeline_module.EVENT_TOKENS
    # The prompt takes 8.2 times the declared time, then two steps of 13.8 ms.
    assert received[0] == pytest.approx(800 * 8.2 / 272e3 + 0.0276, rel=0.1)


def test_prompts_wait_on_the_shared_link() -> None:
    """Guards against transfers between data centres that take no time."""
    near, near_clock = _pipeline()
    far, far_clock = _pipeline(crossing=True)
    times = [_stream(near, near_clock), _stream(far, far_clock)]
    near_clock.run(5.0)
    far_clock.run(5.0)
    prompt_s = 800 * models.DEPLOYED_MODEL.activation_bytes / (6500e6 / 8)
    assert times[1][0] - times[0][0] > prompt_s


def test_newest_stream_loses_its_memory() -> None:
    """Guards against streams that use more memory than the path has."""
    pipeline, clock = _pipeline(tokens=1000)
    oldest = _stream(pipeline, clock, prompt=400, answer=200)
    newest = _stream(pipeline, clock, prompt=400, answer=200)
    clock.run(20.0)
    assert pipeline.preemption_count > 0
    assert oldest[-1] is newest[-1] is True
    assert oldest[-2] < newest[-2]


def test_silent_engine_breaks_its_streams_off() -> None:
    """Guards against streams that wait forever for a failed engine."""
    pipeline, clock = _pipeline()
    received = _stream(pipeline, clock, answer=2000)
    clock.run(1.0)
    pipeline.fail(2.0)
    clock.run(4.0)
    assert received[-1] is False
    assert pipeline.streams == []


def test_runs_with_the_same_seed_are_the_same() -> None:
    """Guards against policy comparisons that depend on chance."""
    experiment = _load_experiment("today-losses", 8.0)
    assert (
        _simulate(experiment).first_event_s
        == _simulate(experiment).first_event_s
    )
    assert (
        _simulate(experiment).first_event_s
        != _simulate(experiment, seed=2).first_event_s
    )


def test_sixty_instances_do_not_crowd_on_the_best_pipeline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against herding on outdated outstanding work.

    Load pattern: the grown fleet at its peak, 104 streams per second on 65
    instances. When each pair exchanged outstanding work only every 2.7 s, all
    instances chose the same best path.
    """
    experiment = _load_experiment("grown", 12.0)
    core = _simulate(experiment)
    monkeypatch.setattr(run, "EXCHANGE_INTERVAL_S", 2.7)
    monkeypatch.setattr(dispatch, "CANDIDATE_COUNT", 99)
    crowded = _simulate(experiment)
    assert core.value_per_request > 0.99
    assert crowded.value_per_request < core.value_per_request
    assert crowded.preemption_count > core.preemption_count


def test_losses_under_load_leave_most_answers_in_time() -> None:
    """Guards against failed engines that are not replaced.

    Load pattern: four engines with loaded layers fail one after another in
    today's fleet at its peak, one of them permanently.
    """
    results = [
        _simulate(_load_experiment("today-losses", 30.0), seed=s)
        for s in (1, 2)
    ]
    assert min(f.value_per_request for f in results) > 0.6
    assert all(f.load_count > 0 for f in results)


def test_placement_by_the_core_beats_filling_engines() -> None:
    """Guards against a planner that ignores links and memory."""
    experiment = _load_experiment("today")
    assert (
        _simulate(experiment).value_per_request
        > 2 * _simulate(experiment, "plain-placement").value_per_request
    )


def test_wrong_description_is_named(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a misspelt field of an experiment."""
    text = (EXPERIMENTS / "today.toml").read_text()
    wrong = tmp_path / "wrong.toml"
    wrong.write_text(text.replace("per_s = 15.8", "per_second = 15.8"))
    result = testing.CliRunner().invoke(emulate.command, [str(wrong)])
    assert result.exit_code == 1
    assert "per_second" in result.output


def test_command_prints_a_row_a_policy(tmp_path: pathlib.Path) -> None:
    """Guards against a command that prints only one of several policies."""
    text = (EXPERIMENTS / "today.toml").read_text()
    short = tmp_path / "short.toml"
    short.write_text(text.replace("length_s = 30.0", "length_s = 1.0"))
    result = testing.CliRunner().invoke(
        emulate.command,
        [str(short), "--policy", "core", "--policy", "round-robin"],
    )
    assert result.exit_code == 0, result.output
    rows = result.output.splitlines()
    assert [r.split()[1] for r in rows] == ["policy", "core", "round-robin"]
