"""Tests plans over engines of different speeds and links."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from yuccatally.core.config import configuration
from yuccatally.core.control import targets
from yuccatally.core.objects import kinds
from yuccatally.core.placement import groups
from yuccatally.core.placement import objects
from yuccatally.core.placement import planner
from yuccatally.core.placement import rates

WORKLOAD = groups.ModelWorkload(12, rates.RequestShape(24, 16))
DATA_CENTRES = ("north", "south")


def engine(
    name: str,
    layer_us: float = 100,
    data_centre: str = "north",
    layers: int = 8,
) -> rates.EngineRates:
    return rates.EngineRates(
        name, 0.016, layer_us / 1e6, 16, layers, data_centre
    )


@strategies.composite
def fleets(draw: strategies.DrawFn) -> list[rates.EngineRates]:
    count = draw(strategies.integers(0, 14))
    return [
        engine(
            f"e{i}",
            draw(strategies.sampled_from((50, 100, 400))),
            draw(strategies.sampled_from(DATA_CENTRES)),
            draw(strategies.integers(1, 14)),
        )
        for i in range(count)
    ]


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(fleets(), strategies.integers(0, 3), strategies.randoms())
def test_plan_covers_the_layers(
    fleet: list[rates.EngineRates], count: int, rng: random.Random
) -> None:
    """Guards against gaps, overlaps, full memory and shared engines."""
    links = rates.Links({("north", "south"): rates.LinkRates(0.01, 0.001)})
    first = planner.plan(WORKLOAD, fleet, links, count)
    remaining = [e for e in fleet if rng.random() < 0.8]
    for plan, available in (
        (first, fleet),
        (planner.plan(WORKLOAD, remaining, links, count, first), remaining),
    ):
        limits = {e.name: e.max_layers for e in available}
        used = [s.engine for p in plan.pipelines for s in p.stages]
        assert len(used) == len(set(used))
        assert set(used) | set(plan.unused) == limits.keys()
        assert len(plan.pipelines) <= (count or len(available))
        for pipeline in plan.pipelines:
            ends = [0, *(s.last_layer for s in pipeline.stages)]
            assert [s.first_layer for s in pipeline.stages] == ends[:-1]
            assert ends[-1] == WORKLOAD.layers
            for stage in pipeline.stages:
                held = stage.last_layer - stage.first_layer
                assert 0 < held <= limits[stage.engine]


@pytest.mark.parametrize(
    ("fleet", "links", "expected"),
    [
        pytest.param(
            [engine("fast", 50), engine("slow", 200)],
            rates.Links(),
            {("fast", 0, 8), ("slow", 8, 12)},
            id="a fast engine takes as many layers as fit",
        ),
        pytest.param(
            [engine("near", 100, "near"), engine("far", 100, "far")],
            rates.Links({("far", "near"): rates.LinkRates(0.0, 0.1)}),
            {("near", 0, 6), ("far", 6, 12)},
            id="activations do not cross the slow direction of a link",
        ),
        pytest.param(
            [engine("a"), engine("b"), engine("hopeless", 40_000)],
            rates.Links(),
            {("a", 0, 6), ("b", 6, 12)},
            id="an engine that would slow a pipeline down is left out",
        ),
    ],
)
def test_best_split(
    fleet: list[rates.EngineRates],
    links: rates.Links,
    expected: set[tuple[str, int, int]],
) -> None:
    """Guards against splits of layers that ignore speed and links."""
    plan = planner.plan(WORKLOAD, fleet, links)
    stages = {dataclasses.astuple(s) for p in plan.pipelines for s in p.stages}
    assert stages == expected
    assert all(len(p.reasons) >= len(p.stages) for p in plan.pipelines)


@pytest.mark.parametrize(
    ("failed_count", "kept"),
    [(1, 9), (2, 8)],
)
def test_plan_is_stable(failed_count: int, kept: int) -> None:
    """Guards against moving weights because of an unrelated change."""
    fleet = [engine(f"e{i:02}") for i in range(20)]
    first = planner.plan(WORKLOAD, fleet, rates.Links())
    failed = {p.stages[0].engine for p in first.pipelines[:failed_count]}
    remaining = [e for e in fleet if e.name not in failed]
    second = planner.plan(WORKLOAD, remaining, rates.Links(), previous=first)
    same = {p.stages for p in first.pipelines} & {
        p.stages for p in second.pipelines
    }
    assert len(first.pipelines) == 10
    assert len(same) == kept


def test_greedy_plan_is_close_to_the_engines_own_rates() -> None:
    """Guards against a heuristic that strands engines of a large fleet."""
    rng = random.Random(3)
    fleet = [
        engine(f"e{i}", rng.choice((50, 100, 400)), rng.choice(DATA_CENTRES))
        for i in range(400)
    ]
    plan = planner.plan(WORKLOAD, fleet, rates.Links())
    ideal = sum(
        e.max_layers
        / WORKLOAD.layers
        / e.request_s(e.max_layers, WORKLOAD.shape)
        for e in fleet
    )
    assert plan.requests_per_s > 0.85 * ideal


@pytest.mark.parametrize(
    ("spec", "allowed", "pipelines"),
    [
        ({}, {"e0", "e1", "e2", "e3"}, 2),
        ({"selector": "pool=a"}, {"e0", "e2"}, 1),
        ({"exclude": "name=e3"}, {"e0", "e1", "e2"}, 1),
        ({"exclude": "pool=a"}, {"e1", "e3"}, 1),
        ({"pipelines": 1}, {"e0", "e1", "e2", "e3"}, 1),
    ],
)
def test_placement_object(
    spec: dict[str, object], allowed: set[str], pipelines: int
) -> None:
    """Guards against a plan that ignores the operators' labels."""
    config = configuration.Configuration()
    rated = {
        "data_centre": "north",
        "step_base_ms": 16.0,
        "token_layer_us": 100.0,
        "batch": 16,
        "max_layers": 6,
    }
    raw = [
        {
            "kind": "model",
            "name": "m",
            "spec": {"layers": 12, "version": "v1"},
        },
        {
            "kind": "placement",
            "name": "p",
            "spec": {"model": "m", "version": "v1", **spec},
        },
        {
            "kind": "engine",
            "name": "unrated",
            "spec": {"address": "127.0.0.1:1", "data_centre": "north"},
        },
        *(
            {
                "kind": "engine",
                "name": f"e{i}",
                "labels": {"pool": "ab"[i % 2]},
                "spec": {"address": "127.0.0.1:1", **rated},
            }
            for i in range(4)
        ),
    ]
    decoded = tuple(kinds.decode(r).ok for r in raw)
    config.apply_snapshot(configuration.Snapshot(1, decoded))
    placement = config.get("placement", "p")
    assert placement is not None
    plan = objects.plan_placement(placement, config, rates.Links())
    assert plan is not None
    assert len(plan.pipelines) == pipelines
    assert {e for p in plan.pipelines for e in p.engines} <= allowed
    desired = targets.desired_state(placement, config, rates.Links(), ())
    assert desired is not None
    raw = [
        {"kind": "pipeline", "name": p.name, "spec": targets.pipeline_spec(p)}
        for p in desired[0].pipelines
    ]
    declared = [kinds.decode(r).ok.spec for r in raw]
    assert len(declared) == pipelines
    assert all(s.stages[-1].last_layer == 12 for s in declared)
