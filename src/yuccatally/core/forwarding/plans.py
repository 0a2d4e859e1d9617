"""Encoding of plans for the store."""

from __future__ import annotations

from typing import Any

import msgspec

from yuccatally.core.forwarding import pipelines

KIND = "placement"


class PlanFormatError(Exception):
    """An object does not hold a plan."""


def to_spec(plan: pipelines.Plan) -> dict[str, Any]:
    """Returns a plan as an object of the store holds it."""
    return msgspec.to_builtins(plan)


def from_spec(spec: Any) -> pipelines.Plan:
    """Returns the plan that an object of the store holds.

    Raises:
        PlanFormatError: It holds none, or one with a gap or an overlap.
    """
    try:
        plan = msgspec.convert(spec, pipelines.Plan)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlanFormatError(str(error)) from error
    for pipeline in plan.pipelines:
        reached = 0
        for stage in pipeline.stages:
            if stage.first != reached or stage.last <= stage.first:
                raise PlanFormatError(f"{pipeline.name}: gap at {reached}")
            reached = stage.last
    return plan
