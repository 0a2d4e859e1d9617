"""Choice of one engine for each stage."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core.generation import actions

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds


@dataclasses.dataclass(frozen=True)
class EngineView:
    """What an instance knows of one engine.

    Attributes:
        connected: Whether its link is up.
        outstanding: Items of this instance that it has not answered.
        sequences: Sequences of this instance that are routed over it.
    """

    connected: bool
    outstanding: int
    sequences: int


def choose(
    model: str,
    version: str,
    config: configuration.Configuration,
    view: Mapping[str, EngineView],
    excluded: frozenset[str] = frozenset(),
) -> actions.Route | None:
    """Chooses the pipeline and engines with the least outstanding work.

    Args:
        model: Name of the model.
        version: Version of the weights.
        config: Objects in force.
        view: State of each engine by name.
        excluded: Engines that must not be used.

    Returns:
        A route, None if no pipeline of the model is whole.
    """
    usable = {
        name: engine
        for name, engine in view.items()
        if engine.connected and name not in excluded
    }
    routes = list(_routes(model, version, config, usable))
    if not routes:
        return None
    return min(routes, key=lambda r: _cost(r, usable))


def _routes(
    model: str,
    version: str,
    config: configuration.Configuration,
    usable: Mapping[str, EngineView],
) -> Iterator[actions.Route]:
    for pipeline in config.of_kind("pipeline"):
        spec = pipeline.spec
        if (spec.model, spec.version) != (model, version):
            continue
        hops = tuple(_hops(pipeline, config, usable))
        if len(hops) == len(spec.stages):
            yield actions.Route(pipeline.name, model, version, hops)


def _hops(
    pipeline: kinds.Object,
    config: configuration.Configuration,
    usable: Mapping[str, EngineView],
) -> Iterator[actions.Hop]:
    for stage in pipeline.spec.stages:
        matching = config.select("engine", stage.selector)
        names = [e.name for e in matching if e.name in usable]
        if names:
            best = min(names, key=lambda n: (usable[n].sequences, n))
            yield actions.Hop(best, stage.first_layer, stage.last_layer)


def _cost(
    route: actions.Route, usable: Mapping[str, EngineView]
) -> tuple[int, str]:
    worst = max(usable[h.engine].sequences for h in route.hops)
    return (worst, route.pipeline)
