"""Faults of the engine stand-in that apply to single steps."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccatally.core.stages import messages

STALL_S = 0.9
LATE_S = 0.4


class StepFault(enum.StrEnum):
    """A fault of one step."""

    REFUSE = "refuse"
    LOSE = "lose"
    DUPLICATE = "duplicate"
    LATE = "late"
    CROSS = "cross"
    SHIFT = "shift"
    ALIEN = "alien"
    LENGTHEN = "lengthen"
    STALL = "stall"
    DISCONNECT_BEFORE = "disconnect-before"
    DISCONNECT_DURING = "disconnect-during"
    DISCONNECT_AFTER = "disconnect-after"
    SILENCE_IN = "silence-in"
    SILENCE_OUT = "silence-out"


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on.

    Attributes:
        frozen: Steps are not computed; heartbeats are answered.
        silent: Nothing is sent on any connection.
        slow_factor: Factor on the time of each step.
        link_factor: Factor on the delay and transfer time of its link.
        refuse: Reason with which every item is refused; empty for none.
        once: Faults of the next steps, one each.
    """

    frozen: bool = False
    silent: bool = False
    slow_factor: float = 1.0
    link_factor: float = 1.0
    refuse: str = ""
    once: list[str] = dataclasses.field(default_factory=list)


def apply_fault(
    fault: StepFault | None, results: list[messages.StepResult]
) -> list[list[messages.StepResult]]:
    """Returns what is sent in place of each result of a step.

    Args:
        fault: Fault of this step, None for none.
        results: Results of one step, each for one connection and frame.
    """
    first, rest = results[0], [[r] for r in results[1:]]
    match fault:
        case StepFault.LOSE:
            kept = msgspec.structs.replace(first, outputs=first.outputs[1:])
            return [[kept], *rest]
        case StepFault.DUPLICATE:
            return [[r, r] for r in results]
        case StepFault.CROSS if len(results) > 1:
            return [[r] for r in (*results[1:], first)]
        case StepFault.CROSS:
            return [[msgspec.structs.replace(first, frame=first.frame + 1)]]
        case StepFault.SHIFT:
            return [[_first_changed(first, position=1)], *rest]
        case StepFault.ALIEN:
            return [[_first_changed(first, attempt=-1)], *rest]
        case StepFault.LENGTHEN:
            return [[_first_changed(first, extra=1)], *rest]
    return [[r] for r in results]


def _first_changed(
    result: messages.StepResult,
    position: int = 0,
    attempt: int = 0,
    extra: int = 0,
) -> messages.StepResult:
    if not result.outputs:
        return result
    output = result.outputs[0]
    changed = msgspec.structs.replace(
        output,
        position=output.position + position,
        attempt=output.attempt + attempt,
        values=[*output.values, *([0] * extra)],
    )
    return msgspec.structs.replace(
        result, outputs=[changed, *result.outputs[1:]]
    )
