"""Computes plans from declared objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccatally.core.config import configuration
from yuccatally.core.placement import groups
from yuccatally.core.placement import planner
from yuccatally.core.placement import rates

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccatally.core.objects import kinds
    from yuccatally.core.objects import specs

# A prompt of some paragraphs and an answer of one; used until the shape of
# requests has been measured.
DEFAULT_SHAPE = rates.RequestShape(prefill=512, decode=128)


def plan_placement(
    placement: kinds.Object,
    config: configuration.Configuration,
    links: rates.Links,
    shape: rates.RequestShape = DEFAULT_SHAPE,
    previous: planner.Plan | None = None,
) -> planner.Plan | None:
    """Plans the pipelines of one placement object.

    Args:
        placement: Object of kind ``placement``.
        config: Configuration in force.
        links: Links between data centres.
        shape: Mean size of a request.
        previous: Plan in force.

    Returns:
        The plan, None if the model is not declared.
    """
    spec = placement.spec
    model = config.get("model", spec.model)
    if model is None:
        return None
    workload = groups.ModelWorkload(model.spec.layers, shape)
    return planner.plan(
        workload, eligible(spec, config), links, spec.pipelines, previous
    )


def eligible(
    spec: specs.PlacementSpec, config: configuration.Configuration
) -> Iterator[rates.EngineRates]:
    """Yields the engines that a placement may use.

    Engines without declared rates are skipped, since no throughput can be
    computed for them.
    """
    selected = config.select("engine", spec.selector)
    excluded_names: set[str] = set()
    if spec.exclude:
        excluded = configuration.select(selected, spec.exclude)
        excluded_names = {e.name for e in excluded}
    for engine in selected:
        declared = engine.spec
        sized = declared.batch and declared.max_layers
        if engine.name in excluded_names or not (
            sized and declared.token_layer_us
        ):
            continue
        yield rates.EngineRates(
            name=engine.name,
            step_base_s=declared.step_base_ms / 1e3,
            token_layer_s=declared.token_layer_us / 1e6,
            batch=declared.batch,
            max_layers=declared.max_layers,
            data_centre=declared.data_centre,
        )
