"""Translates between placements, plans, pipeline objects and states."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import xxhash

from yuccatally.core.control import states
from yuccatally.core.placement import objects
from yuccatally.core.placement import planner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.config import configuration
    from yuccatally.core.objects import kinds
    from yuccatally.core.placement import rates

PLACEMENT_LABEL = "placement"
_NAME_SELECTOR_PREFIX = "name="


def desired_state(
    placement: kinds.Object,
    config: configuration.Configuration,
    links: rates.Links,
    declared: Iterable[states.Pipeline],
) -> tuple[states.DesiredState, planner.Plan] | None:
    """Returns the desired state of a placement.

    Args:
        placement: Object of kind ``placement``.
        config: Configuration in force.
        links: Links between data centres.
        declared: Pipelines that are currently declared for the placement.

    Returns:
        The desired state and the plan with its reasons; None if the model is
        not declared.
    """
    previous = _declared_plan(declared)
    plan = objects.plan_placement(placement, config, links, previous=previous)
    if plan is None:
        return None
    spec = placement.spec
    pipelines = tuple(
        states.Pipeline(
            pipeline_name(placement.name, p.number, spec.version),
            spec.model,
            spec.version,
            tuple(
                states.Stage(
                    s.engine,
                    states.Range(
                        spec.model, spec.version, s.first_layer, s.last_layer
                    ),
                )
                for s in p.stages
            ),
        )
        for p in plan.pipelines
    )
    target = states.DesiredState(
        placement.name, spec.model, spec.version, pipelines
    )
    return target, plan


def pipeline_name(placement: str, number: int, version: str) -> str:
    """Returns the name of a pipeline object.

    A version is free text, so the name contains its digest.
    """
    digest = xxhash.xxh32_hexdigest(version.encode())
    return f"{placement[:48]}-{number}-{digest}"


def declared_pipelines(
    placement: str, candidates: Iterable[kinds.Object]
) -> tuple[states.Pipeline, ...]:
    """Returns the pipelines that are declared for a placement."""
    return tuple(
        states.Pipeline(
            o.name,
            o.spec.model,
            o.spec.version,
            tuple(
                states.Stage(
                    s.selector.removeprefix(_NAME_SELECTOR_PREFIX),
                    states.Range(
                        o.spec.model,
                        o.spec.version,
                        s.first_layer,
                        s.last_layer,
                    ),
                )
                for s in o.spec.stages
            ),
        )
        for o in candidates
        if o.kind == "pipeline" and o.labels.get(PLACEMENT_LABEL) == placement
    )


def pipeline_spec(pipeline: states.Pipeline) -> dict[str, Any]:
    """Returns the specification of a pipeline object."""
    return {
        "model": pipeline.model,
        "version": pipeline.version,
        "stages": [
            {
                "selector": f"{_NAME_SELECTOR_PREFIX}{s.engine}",
                "first_layer": s.range.first_layer,
                "last_layer": s.range.last_layer,
            }
            for s in pipeline.stages
        ],
    }


def _declared_plan(declared: Iterable[states.Pipeline]) -> planner.Plan | None:
    """Returns the plan that corresponds to the declared pipelines.

    During a version change, the last declared pipeline of each number is used.
    """
    pipelines = {}
    for pipeline in declared:
        number = int(pipeline.name.rsplit("-", 2)[1])
        stages = tuple(
            planner.Stage(s.engine, s.range.first_layer, s.range.last_layer)
            for s in pipeline.stages
        )
        pipelines[number] = planner.Pipeline(number, stages, 0.0, ())
    if not pipelines:
        return None
    ordered = tuple(pipelines[n] for n in sorted(pipelines))
    return planner.Plan(ordered, (), "declared")
