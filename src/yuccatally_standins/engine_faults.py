"""Faults that tests inject into the simulated engine."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccatally.core.stages import messages

STALL_S = 0.9
LATE_RESULT_DELAY_S = 0.4


class StepFault(enum.StrEnum):
    """A fault of one step.

    Attributes:
        REFUSE: The first item is refused.
        LOSE: The first output is not sent.
        DUPLICATE: Every result is sent twice.
        LATE: The results are sent later.
        CROSS: Results are sent for the wrong connection or frame.
        SHIFT: The first output has the wrong position.
        ALIEN: The first output names an attempt that does not exist.
        LENGTHEN: The first output has one value too many.
        STALL: The step takes longer.
        DISCONNECT_BEFORE: The connections break before the step.
        DISCONNECT_DURING: The connections break before the results are sent.
        DISCONNECT_AFTER: The connections break after the results are sent.
        SILENCE_IN: The connection of the first item ignores all messages.
        SILENCE_OUT: The connection of the first item sends no messages.
    """

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
    """Faults that a test enables.

    Attributes:
        frozen: Whether steps are not computed; pings are still answered.
        silent: Whether nothing is sent on any connection.
        slow_factor: Factor for the time of each step.
        link_factor: Factor for the delay and transfer time of the link.
        refuse: Reason with which every item is refused; empty for none.
        once: Faults of the next steps, one for each step.
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
    """Returns the results that are sent in place of each result of a step.

    Args:
        fault: Fault of this step, or None.
        results: Results of one step, each for one connection and frame.
    """
    first, rest = results[0], [[r] for r in results[1:]]
    match fault:
        case StepFault.LOSE:
            shortened = msgspec.structs.replace(
                first, outputs=first.outputs[1:]
            )
            return [[shortened], *rest]
        case StepFault.DUPLICATE:
            return [[r, r] for r in results]
        case StepFault.CROSS if len(results) > 1:
            return [[r] for r in (*results[1:], first)]
        case StepFault.CROSS:
            return [[msgspec.structs.replace(first, frame=first.frame + 1)]]
        case StepFault.SHIFT:
            return [[_alter_first_output(first, position_change=1)], *rest]
        case StepFault.ALIEN:
            return [[_alter_first_output(first, attempt_change=-1)], *rest]
        case StepFault.LENGTHEN:
            return [[_alter_first_output(first, extra_values=1)], *rest]
    return [[r] for r in results]


def _alter_first_output(
    result: messages.StepResult,
    position_change: int = 0,
    attempt_change: int = 0,
    extra_values: int = 0,
) -> messages.StepResult:
    if not result.outputs:
        return result
    output = result.outputs[0]
    changed = msgspec.structs.replace(
        output,
        position=output.position + position_change,
        attempt=output.attempt + attempt_change,
        values=[*output.values, *([0] * extra_values)],
    )
    return msgspec.structs.replace(
        result, outputs=[changed, *result.outputs[1:]]
    )
