"""Encoding of plans as objects of the store."""

from __future__ import annotations

from typing import Any

import msgspec

from yuccatally.core.forwarding import pipelines
from yuccatally.core.objects import content

KIND = "placement"


class PlanFormatError(Exception):
    """An object does not contain a valid plan."""


def to_spec(plan: pipelines.Plan) -> dict[str, Any]:
    """Returns the specification of the object for a plan."""
    return msgspec.to_builtins(plan)


def from_spec(spec: Any) -> pipelines.Plan:
    """Returns the plan that the specification of an object contains.

    Raises:
        PlanFormatError: It is malformed, or a pipeline has a gap or an
            overlap.
    """
    try:
        return content.decode(spec, pipelines.Plan)
    except content.DECODE_ERRORS as error:
        raise PlanFormatError(str(error)) from error
