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
        return msgspec.convert(spec, pipelines.Plan)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PlanFormatError(str(error)) from error
