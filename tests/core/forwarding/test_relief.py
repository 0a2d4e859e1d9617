"""Tests the relief of stages with too little memory."""

from __future__ import annotations

import dataclasses
import itertools

import pytest

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import relief
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import fleets

MODEL = fleets.MODEL
# The fourth stage, of eight layers, has memory for four thousand tokens.
ENDS = (26, 52, 60, 68, 74, 80)


@pytest.fixture(name="stages")
def _stages() -> tuple[pipelines.Stage, ...]:
    cards = ("a100", "a100", "l4", "v100", "l4", "l4")
    return tuple(
        pipelines.Stage(f"a-{card}-{number}", 1, first, last)
        for number, (card, (first, last)) in enumerate(
            zip(cards, itertools.pairwise((0, *ENDS)), strict=True)
        )
    )


def _relieve(
    stages: tuple[pipelines.Stage, ...],
    spares: list[upstreams.Upstream],
    replicas: dict[str, pipelines.Stage] | None = None,
) -> relief.Relief:
    usable = {
        s.engine: fleets.empty_engine("a", s.engine.split("-")[1], number)
        for number, s in enumerate(stages)
    } | {e.name: e for e in spares}
    return relief.relieve(
        MODEL,
        usable,
        [e.name for e in spares],
        {"a-1": stages},
        replicas or {},
    )


def test_weak_stage_serves_until_the_new_engine_holds_its_part(
    stages: tuple[pipelines.Stage, ...],
) -> None:
    """Guards against a relief that takes away what serves."""
    spare = fleets.empty_engine("a", "v100", 9)
    first = _relieve(stages, [spare])
    assert not first.stages
    taken = first.replicas[spare.name]
    assert stages[3].layers.covers(taken.first, taken.last)
    again = _relieve(stages, [spare], first.replicas)
    assert again == first
    loaded = dataclasses.replace(spare, layers=taken.layers)
    second = _relieve(stages, [loaded], first.replicas)
    pipeline = pipelines.Pipeline("a-1", second.stages["a-1"])
    assert pipeline.layers == MODEL.layers
    card = MODEL.cards["v100"]
    assert all(
        MODEL.tokens(card, s.last - s.first) >= relief.MIN_STAGE_TOKENS
        for s in pipeline.stages
        if "v100" in s.engine
    )


def test_stages_with_enough_memory_stay(
    stages: tuple[pipelines.Stage, ...],
) -> None:
    """Guards against loads that gain nothing."""
    spare = fleets.empty_engine("a", "v100", 9)
    strong = tuple(s for s in stages if "v100" not in s.engine)
    assert _relieve(strong, [spare]) == relief.Relief({}, {})


def test_engines_of_other_data_centres_do_not_relieve(
    stages: tuple[pipelines.Stage, ...],
) -> None:
    """Guards against prompts on the link between data centres."""
    spare = fleets.empty_engine("b", "v100", 9)
    assert _relieve(stages, [spare]) == relief.Relief({}, {})
