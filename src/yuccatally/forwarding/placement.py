"""Plans of a service from the state of an instance, and their log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.forwarding import pipelines
from yuccatally.core.forwarding import planning
from yuccatally.core.forwarding import room_planning

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.forwarding import rules
    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state

_log = structlog.get_logger()


def make_plan(
    instance_state: state.InstanceState,
    model: rules.Model,
    engines: Iterable[upstreams.Upstream],
    previous: pipelines.Plan,
    fence: int,
) -> pipelines.Plan:
    """Returns the plan for the usable engines; see the two planners."""
    if not instance_state.settings.shares_load:
        return planning.plan(model, engines, previous, fence)
    # Engines list their layers some seconds after they have confirmed them.
    confirmed = [
        dataclasses.replace(e, layers=instance_state.held(e)) for e in engines
    ]
    return room_planning.plan(model, confirmed, previous, fence)


def log_changes(
    instance_state: state.InstanceState, service: str, plan: pipelines.Plan
) -> None:
    """Logs the stages that a new plan changes."""
    previous = instance_state.plans.get(service, pipelines.Plan()).stages
    for pipeline in plan.pipelines:
        changed = [s for s in pipeline.stages if previous.get(s.engine) != s]
        if changed:
            _log.info(
                "pipeline_planned",
                service=service,
                generation=plan.generation,
                pipeline=pipeline.name,
                changed=_format_stages(changed),
            )
    changed = [s for s in plan.replicas if previous.get(s.engine) != s]
    if changed:
        _log.info(
            "replicas_planned",
            service=service,
            generation=plan.generation,
            changed=_format_stages(changed),
        )


def _format_stages(stages: Iterable[pipelines.Stage]) -> str:
    return ",".join(f"{s.engine}={s.first}-{s.last}" for s in stages)
