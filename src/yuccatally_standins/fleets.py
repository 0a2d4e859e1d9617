"""Fleets of engines whose loads end at once, for tests of placement."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.forwarding import composition
from yuccatally.core.forwarding import path_building
from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import room_composition
from yuccatally.core.forwarding import room_planning
from yuccatally.core.forwarding import upstreams
from yuccatally_standins import models

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

MODEL = models.MIXED_MODEL
MAX_PLAN_COUNT = 40


def engines(
    data_centres: Mapping[str, tuple[int, int, int]] = (
        models.MIXED_DATA_CENTRES
    ),
) -> list[upstreams.Upstream]:
    """Returns empty engines, by the number of cards of each type."""
    return [
        empty_engine(data_centre, card, number)
        for data_centre, counts in data_centres.items()
        for card, count in zip(MODEL.cards, counts, strict=True)
        for number in range(count)
    ]


def empty_engine(
    data_centre: str, card: str, number: int, born_ms: int = 1
) -> upstreams.Upstream:
    """Returns an engine that holds nothing."""
    name = f"{data_centre}-{card}-{number}"
    return upstreams.Upstream(
        name, born_ms, "s", f"{name}:1", data_centre, 96, False, card=card
    )


def without(
    fleet: Iterable[upstreams.Upstream], lost: Iterable[str]
) -> list[upstreams.Upstream]:
    """Returns the engines that are not lost."""
    names = set(lost)
    return [e for e in fleet if e.name not in names]


def load(
    fleet: Iterable[upstreams.Upstream], plan: pipelines.Plan
) -> list[upstreams.Upstream]:
    """Returns the engines once they hold what is planned."""
    return [
        dataclasses.replace(e, layers=plan.stages[e.name].layers)
        if e.name in plan.stages
        else e
        for e in fleet
    ]


def settle(
    fleet: Iterable[upstreams.Upstream], plan: pipelines.Plan
) -> tuple[list[upstreams.Upstream], pipelines.Plan]:
    """Returns the engines and the plan once nothing changes any more."""
    current = list(fleet)
    for _ in range(MAX_PLAN_COUNT):
        following = room_planning.plan(MODEL, current, plan)
        if following is plan:
            return current, plan
        plan = following
        current = load(current, plan)
    raise AssertionError("plans do not settle")


def middle_stages(plan: pipelines.Plan, data_centre: str) -> list[str]:
    """Returns one engine of each pipeline of a data centre."""
    return [
        p.stages[len(p.stages) // 2].engine
        for p in plan.pipelines
        if p.name.startswith(data_centre)
    ]


def planned_tokens(
    fleet: Iterable[upstreams.Upstream], plan: pipelines.Plan
) -> dict[str, float]:
    """Returns the tokens of each pipeline."""
    cards = {e.name: MODEL.cards[e.card] for e in fleet}
    return {
        p.name: min(
            MODEL.tokens(cards[s.engine], s.last - s.first) for s in p.stages
        )
        for p in plan.pipelines
    }


def composed(
    fleet: Iterable[upstreams.Upstream], plan: pipelines.Plan
) -> dict[str, tuple[composition.Hop, ...]]:
    """Returns the hops of the paths on what the engines hold."""
    return dict(
        room_composition.compose(MODEL, plan.pipelines, holdings(fleet, plan))
    )


def path_tokens(
    paths: Mapping[str, tuple[composition.Hop, ...]],
) -> dict[str, float]:
    """Returns the tokens of each path."""
    built = path_building.build_paths(MODEL, paths.items())
    return {p.name: p.tokens for p in built}


def holdings(
    fleet: Iterable[upstreams.Upstream], plan: pipelines.Plan
) -> dict[str, composition.Holding]:
    """Returns the planned layers that the engines hold."""
    found = {}
    for engine in fleet:
        stage = plan.stages.get(engine.name)
        if stage is None or engine.layers is None:
            continue
        first = max(stage.first, engine.layers.first)
        last = min(stage.last, engine.layers.last)
        if stage.born_ms == engine.born_ms and first < last:
            found[engine.name] = composition.Holding(
                engine,
                upstreams.LayerRange(first, last),
                stage.last - stage.first,
            )
    return found
